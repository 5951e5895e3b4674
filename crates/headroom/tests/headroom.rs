//! Estimated capacity of hosts with a limit, and admission of load that exceeds it.

use sillfold_headroom::*;

const US_PER_MS: Micros = 1_000;

/// A simulated group of hosts, in steps of 10 ms. Beyond its capacity, a host serves attempts late or rejects them.
struct Simulation {
    headroom: Headroom,
    now: Micros,
    hosts: u32,
    /// Core-seconds per second of each host.
    host_capacity: f64,
    rng_state: u64,
    /// Work admitted per step in core-seconds, smoothed.
    work: f64,
    /// Requests admitted in the last run, by class.
    admitted: [u32; 3],
    /// Requests that arrived in the last run, by class.
    arrived: [u32; 3],
}

/// The service time of each class, in seconds.
const SERVICE_TIMES_S: [f64; 3] = [0.03, 0.06, 0.08];

impl Simulation {
    fn new(hosts: u32, host_capacity: f64) -> Simulation {
        let class = |worth, writes| Class { worth, writes };
        let classes = vec![class(3.0, false), class(3.0, false), class(4.0, true)];
        let headroom = Headroom::new(classes);
        Simulation {
            headroom,
            now: 1,
            hosts,
            host_capacity,
            rng_state: 1,
            work: 0.0,
            admitted: [0; 3],
            arrived: [0; 3],
        }
    }

    fn draw(&mut self) -> f64 {
        self.rng_state =
            self.rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.rng_state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Runs with this many requests per second of each class.
    fn run(&mut self, rates: [f64; 3], seconds: f64) {
        (self.admitted, self.arrived) = ([0; 3], [0; 3]);
        let mut due = [0.0; 3];
        for _ in 0..(seconds * 100.0) as u32 {
            self.now += 10 * US_PER_MS;
            let capacity = f64::from(self.hosts) * self.host_capacity * 0.01;
            let mut admitted_classes = Vec::new();
            for c in 0..3 {
                due[c] += rates[c] * 0.01;
                while due[c] >= 1.0 {
                    due[c] -= 1.0;
                    self.arrived[c] += 1;
                    let draw = self.draw();
                    if self.headroom.admit(c as u8, 7, draw, self.now) {
                        self.admitted[c] += 1;
                        admitted_classes.push(c);
                    }
                }
            }
            // Smoothed, so that one random step does not overload a host.
            self.work =
                0.95 * self.work + 0.05 * admitted_classes.iter().map(|&c| SERVICE_TIMES_S[c]).sum::<f64>();
            for c in admitted_classes {
                let host = if c == 2 { 0 } else { (self.draw() * f64::from(self.hosts)) as u32 };
                // Beyond the capacity, a request is served after waiting, or rejected.
                let outcome = match self.work > capacity {
                    false => AttemptOutcome::Served((SERVICE_TIMES_S[c] * 1e6) as Micros),
                    true if self.draw() < capacity / self.work => {
                        AttemptOutcome::Served((SERVICE_TIMES_S[c] * 4e6) as Micros)
                    }
                    true => AttemptOutcome::Overloaded,
                };
                self.headroom.attempt_ended(c as u8, 7, host, outcome, self.now);
            }
        }
    }
}

#[test]
fn all_requests_are_admitted_until_capacity_is_observed() {
    let mut simulation = Simulation::new(3, 4.0);
    simulation.run([100.0, 40.0, 10.0], 5.0);
    assert_eq!(simulation.admitted, simulation.arrived);
    let group = simulation.headroom.by_group().remove(&7).expect("the group");
    assert!(!group.seen && group.admitted == [1.0; 3], "{group:?}");
    // At half the load, the highest work rate so far counts as the capacity.
    simulation.run([50.0, 20.0, 5.0], 10.0);
    let group = simulation.headroom.by_group().remove(&7).expect("the group");
    assert!((0.4..0.6).contains(&group.headroom), "{group:?}");
    assert_eq!((simulation.admitted, group.apply_slack), (simulation.arrived, 1.0));
}

#[test]
fn overload_admits_classes_by_worth_per_work_until_all_fit_again() {
    let mut simulation = Simulation::new(3, 4.0);
    simulation.run([100.0, 40.0, 10.0], 3.0);
    // The requests need 20 core-seconds per second, and the hosts have 12.
    simulation.run([300.0, 150.0, 25.0], 10.0);
    let group = simulation.headroom.by_group().remove(&7).expect("the group");
    assert!(group.seen && group.headroom < -0.2, "{group:?}");
    simulation.run([300.0, 150.0, 25.0], 5.0);
    let admitted_share = |c: usize| f64::from(simulation.admitted[c]) / f64::from(simulation.arrived[c]);
    // The classes are worth 100, 50 and 50 per second of work, so the first is admitted first.
    assert!(
        admitted_share(0) > 0.9 && admitted_share(1) < 0.7,
        "{} {} {}",
        admitted_share(0),
        admitted_share(1),
        admitted_share(2)
    );
    simulation.run([60.0, 20.0, 5.0], 4.0);
    simulation.run([60.0, 20.0, 5.0], 2.0);
    assert_eq!(simulation.admitted, simulation.arrived, "all requests fit");
}

#[test]
fn observed_capacity_expires_under_light_load() {
    let mut simulation = Simulation::new(2, 4.0);
    simulation.run([300.0, 100.0, 20.0], 8.0);
    assert!(simulation.headroom.by_group()[&7].seen);
    // During 40 s of light load the observed capacity expires.
    simulation.run([20.0, 5.0, 1.0], 40.0);
    simulation.host_capacity = 40.0;
    simulation.run([300.0, 100.0, 20.0], 2.0);
    assert_eq!(simulation.admitted, simulation.arrived);
    assert!(!simulation.headroom.by_group()[&7].seen);
}

#[test]
fn next_saturated_resource_is_named() {
    let mut simulation = Simulation::new(4, 4.0);
    simulation.run([20.0, 5.0, 45.0], 5.0);
    simulation.run([20.0, 5.0, 45.0], 5.0);
    assert_eq!(simulation.headroom.by_group()[&7].next, "primary cores");
    // The replicas' lag grows by 0.6 s per second.
    let mut lag = 100 * US_PER_MS;
    for _ in 0..30 {
        simulation.now += 200 * US_PER_MS;
        lag += 120 * US_PER_MS;
        simulation.headroom.replica_lag(7, lag, simulation.now);
    }
    let group = simulation.headroom.by_group().remove(&7).expect("the group");
    assert!(group.next == "apply thread" && (0.3..0.5).contains(&group.apply_slack), "{group:?}");
}

#[test]
fn extreme_input_keeps_figures_finite_and_memory_bounded() {
    let mut headroom = Headroom::new(vec![Class { worth: 1.0, writes: false }]);
    for i in 0..20_000u32 {
        assert!(headroom.admit((i % 3) as u8, i, 0.999, u64::from(i)));
        headroom.attempt_ended(
            (i % 3) as u8,
            i,
            i,
            AttemptOutcome::Served(u64::from(i % 5) * (u64::MAX / 5)),
            u64::from(i),
        );
        headroom.replica_lag(i, u64::MAX, u64::from(i));
    }
    let groups = headroom.by_group();
    assert!(
        groups.len() <= 4_096 && groups.values().all(|g| g.headroom.is_finite() && g.apply_slack.is_finite())
    );
    // The clock goes back, and then jumps ahead.
    headroom.admit(0, 1, 0.5, 5);
    headroom.admit(0, 1, 0.5, u64::MAX / 2);
    assert!(headroom.by_group().len() <= 1);
    assert!(Headroom::new(Vec::new()).admit(0, 1, 0.9, 1));
}
