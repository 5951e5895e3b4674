//! What is learnt of hosts that have an end, and what is turned away of what does not fit.

use sillfold_headroom::*;

const MS: Micros = 1_000;

/// A group of hosts that do so many core-seconds a second each, and wait or turn away beyond; a step is 10 ms.
struct Rig {
    headroom: Headroom,
    now: Micros,
    hosts: u32,
    each: f64,
    lot: u64,
    work: f64,
    admitted: [u32; 3],
    came: [u32; 3],
}

const SERVICE: [f64; 3] = [0.03, 0.06, 0.08];

impl Rig {
    fn new(hosts: u32, each: f64) -> Rig {
        let class = |worth, writes| Class { worth, writes };
        let classes = vec![class(3.0, false), class(3.0, false), class(4.0, true)];
        let headroom = Headroom::new(classes);
        Rig { headroom, now: 1, hosts, each, lot: 1, work: 0.0, admitted: [0; 3], came: [0; 3] }
    }

    fn draw(&mut self) -> f64 {
        self.lot = self.lot.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.lot >> 11) as f64 / (1u64 << 53) as f64
    }

    /// So many a second of each class, for some seconds.
    fn run(&mut self, rates: [f64; 3], seconds: f64) {
        (self.admitted, self.came) = ([0; 3], [0; 3]);
        let mut owed = [0.0; 3];
        for _ in 0..(seconds * 100.0) as u32 {
            self.now += 10 * MS;
            let room = f64::from(self.hosts) * self.each * 0.01;
            let mut inside = Vec::new();
            for c in 0..3 {
                owed[c] += rates[c] * 0.01;
                while owed[c] >= 1.0 {
                    owed[c] -= 1.0;
                    self.came[c] += 1;
                    let lot = self.draw();
                    if self.headroom.admit(c as u8, 7, lot, self.now) {
                        self.admitted[c] += 1;
                        inside.push(c);
                    }
                }
            }
            // Over a while, so that one step's chance does not fill a host.
            self.work = 0.95 * self.work + 0.05 * inside.iter().map(|&c| SERVICE[c]).sum::<f64>();
            for c in inside {
                let host = if c == 2 { 0 } else { (self.draw() * f64::from(self.hosts)) as u32 };
                // Beyond what hosts can do, what is served waited, and the rest is turned away.
                let ended = match self.work > room {
                    false => AttemptOutcome::Served((SERVICE[c] * 1e6) as Micros),
                    true if self.draw() < room / self.work => {
                        AttemptOutcome::Served((SERVICE[c] * 4e6) as Micros)
                    }
                    true => AttemptOutcome::Overloaded,
                };
                self.headroom.attempt_ended(c as u8, 7, host, ended, self.now);
            }
        }
    }
}

#[test]
fn nothing_is_turned_away_before_the_end_was_seen_and_headroom_is_what_is_left() {
    let mut rig = Rig::new(3, 4.0);
    rig.run([100.0, 40.0, 10.0], 5.0);
    assert_eq!(rig.admitted, rig.came);
    let left = rig.headroom.by_group().remove(&7).expect("the group");
    assert!(!left.seen && left.admitted == [1.0; 3], "{left:?}");
    // Less of the same: what it did is what it can do at least.
    rig.run([50.0, 20.0, 5.0], 10.0);
    let left = rig.headroom.by_group().remove(&7).expect("the group");
    assert!((0.4..0.6).contains(&left.headroom), "{left:?}");
    assert_eq!((rig.admitted, left.apply_slack), (rig.came, 1.0));
}

#[test]
fn of_too_much_the_worthiest_for_their_work_are_let_in_and_all_are_again_once_it_fits() {
    let mut rig = Rig::new(3, 4.0);
    rig.run([100.0, 40.0, 10.0], 3.0);
    // 20 core-seconds a second for the 12 that there are.
    rig.run([300.0, 150.0, 25.0], 10.0);
    let left = rig.headroom.by_group().remove(&7).expect("the group");
    assert!(left.seen && left.headroom < -0.2, "{left:?}");
    rig.run([300.0, 150.0, 25.0], 5.0);
    let part = |c: usize| f64::from(rig.admitted[c]) / f64::from(rig.came[c]);
    // Worth 100, 50 and 50 for a second of work each: the first is let in first.
    assert!(part(0) > 0.9 && part(1) < 0.7, "{} {} {}", part(0), part(1), part(2));
    rig.run([60.0, 20.0, 5.0], 4.0);
    rig.run([60.0, 20.0, 5.0], 2.0);
    assert_eq!(rig.admitted, rig.came, "all of what fits is let in");
}

#[test]
fn a_host_that_can_do_more_than_was_thought_is_believed_and_an_old_end_is_forgotten() {
    let mut rig = Rig::new(2, 4.0);
    rig.run([300.0, 100.0, 20.0], 8.0);
    assert!(rig.headroom.by_group()[&7].seen);
    // Forty seconds of little: the end that was seen is too old to turn anybody away by.
    rig.run([20.0, 5.0, 1.0], 40.0);
    rig.each = 40.0;
    rig.run([300.0, 100.0, 20.0], 2.0);
    assert_eq!(rig.admitted, rig.came);
    assert!(!rig.headroom.by_group()[&7].seen);
}

#[test]
fn what_saturates_next_is_named() {
    let mut rig = Rig::new(4, 4.0);
    rig.run([20.0, 5.0, 45.0], 5.0);
    rig.run([20.0, 5.0, 45.0], 5.0);
    assert_eq!(rig.headroom.by_group()[&7].next, "primary cores");
    // Replicas fall behind by 0.6 s each second.
    let mut lag = 100 * MS;
    for _ in 0..30 {
        rig.now += 200 * MS;
        lag += 120 * MS;
        rig.headroom.replica_lag(7, lag, rig.now);
    }
    let left = rig.headroom.by_group().remove(&7).expect("the group");
    assert!(left.next == "apply thread" && (0.3..0.5).contains(&left.apply_slack), "{left:?}");
}

#[test]
fn odd_input_and_floods_of_hosts_and_groups_leave_it_sound_and_bounded() {
    let mut h = Headroom::new(vec![Class { worth: 1.0, writes: false }]);
    for i in 0..20_000u32 {
        assert!(h.admit((i % 3) as u8, i, 0.999, u64::from(i)));
        h.attempt_ended(
            (i % 3) as u8,
            i,
            i,
            AttemptOutcome::Served(u64::from(i % 5) * (u64::MAX / 5)),
            u64::from(i),
        );
        h.replica_lag(i, u64::MAX, u64::from(i));
    }
    let left = h.by_group();
    assert!(
        left.len() <= 4_096 && left.values().all(|l| l.headroom.is_finite() && l.apply_slack.is_finite())
    );
    // A clock that stands or goes back, and one that leaps.
    h.admit(0, 1, 0.5, 5);
    h.admit(0, 1, 0.5, u64::MAX / 2);
    assert!(h.by_group().len() <= 1);
    assert!(Headroom::new(Vec::new()).admit(0, 1, 0.9, 1));
}
