//! Three hundred routers and a hundred and twenty servers in one thread: what routers that share nothing do
//! together. The servers are a rough model (cores shared by what is in work, a log applied by one thread beside
//! it); what they show is the order of variants, not a deployment's figures. Seeds are fixed.

use oorandom::Rand64;
use sillfold::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const MS: Micros = 1_000;
const T0: Micros = 1_000_000_000;
const GROUPS: usize = 24;
const MEMBERS: usize = 5;
const SERVERS: usize = GROUPS * MEMBERS;
/// The model moves in steps of this length.
const STEP: Micros = 2 * MS;
const BOUND: Micros = 800 * MS;
const CATCH_UP: Micros = 100 * MS;
/// A server's cores, what it works on at once, and the share of a core that applying takes at full load.
const CORES: f64 = 4.0;
const SLOTS: usize = 16;
const QUEUE: usize = 80;
const APPLY: f64 = 0.55;
/// Mean work of a class: bounded reads, reads of any data, writes.
const WORK: [f64; 3] = [35e3, 58e3, 87e3];
const SHARE: [f64; 3] = [0.55, 0.37, 0.08];
const HANDSHAKE: Micros = 7 * MS;

fn settings(proxy_count: u32, ordinal: u32) -> Settings {
    let class = |access, idempotency, latency_target: Micros, deadline: Micros, worth, late_worth| Class {
        access,
        idempotency,
        latency_target: latency_target * MS,
        deadline: deadline * MS,
        worth,
        late_worth,
        latency_target_stretch: 0.0,
    };
    Settings {
        proxy_count,
        ordinal,
        zone: (ordinal % 2) as u8,
        classes: vec![
            class(Access::BoundedRead(BOUND), Idempotency::Idempotent, 200, 800, 3.0, 0.0),
            class(Access::AnyRead, Idempotency::Idempotent, 300, 750, 3.0, 0.2),
            class(Access::Write, Idempotency::Keyed(DedupScope::Group, 1_200 * MS), 750, 2_000, 4.0, 0.5),
        ],
        list_mode: ListMode::Pushed,
        list_role: ListRole::Delayed,
        lag_check: LagCheck::Wait(CATCH_UP),
        session_tokens: SessionTokens::FromClient,
        cross_zone_costs: true,
        answers_carry_positions: false,
        limits: Limits {
            cancel: true,
            probes: true,
            peers: false,
            retry_after: true,
            max_retry_after: 1_000 * MS,
            hedging: false,
            max_attempts: 10,
        },
        safety: Safety {
            drain_grace: 500 * MS,
            only_draining_binds: false,
            start_capacity: 0.2,
            cold_duration: 15_000 * MS,
            overload_multiple: 3.0,
            overload_duration: 1_000 * MS,
            max_list_age: 10_000 * MS,
        },
        quotas: Vec::new(),
        over_quota_worth: 1.0,
    }
}

/// What is with a server: whose it is, and the work that is left.
struct Job {
    router: usize,
    id: RequestId,
    attempt: u8,
    class: usize,
    left: f64,
    came: Micros,
}

#[derive(Default)]
struct Host {
    jobs: Vec<Job>,
    primary: bool,
    speed: f64,
    /// How far the log is behind.
    lag: f64,
}

/// One request at its router: its class, when it came, the server and number of its last attempt, and the time
/// by which its router stops waiting for that.
struct Out {
    class: usize,
    came: Micros,
    attempts: u8,
    sent: Micros,
    open: bool,
}

/// When an attempt times out: its router, request, number and server.
type Limit = (Micros, usize, RequestId, u8, HostId);

struct Fleet {
    now: Micros,
    routers: Vec<Router>,
    hosts: Vec<Host>,
    /// What is asked for, and what it costs: apart, so that variants meet the same day.
    rng: Rand64,
    costs: Rand64,
    out: BTreeMap<(usize, RequestId), Out>,
    wakes: BinaryHeap<Reverse<(Micros, usize)>>,
    limits: BinaryHeap<Reverse<Limit>>,
    /// Idle connections of a router to a server.
    idle: BTreeMap<(usize, HostId), usize>,
    seen: Seen,
}

/// What came of it, by class.
#[derive(Clone, Debug, Default, PartialEq)]
struct Seen {
    asked: [u32; 3],
    in_time: [u32; 3],
    handshakes: u32,
    timeouts: u32,
    misses: u32,
    refused_unsent: u32,
    sent: Vec<u32>,
}

impl Seen {
    fn all(&self) -> f64 {
        f64::from(self.in_time.iter().sum::<u32>()) / f64::from(self.asked.iter().sum::<u32>().max(1))
    }
    fn handshakes(&self) -> f64 {
        f64::from(self.handshakes) / f64::from(self.asked.iter().sum::<u32>().max(1))
    }
}

impl Fleet {
    fn new(routers: usize, seed: u64) -> Fleet {
        let mut rng = Rand64::new(u128::from(seed));
        let host = |i: usize, rng: &mut Rand64| Host {
            primary: i.is_multiple_of(MEMBERS),
            speed: 0.8 + 0.3 * rng.rand_float(),
            ..Host::default()
        };
        let hosts = (0..SERVERS).map(|i| host(i, &mut rng)).collect();
        let routers: Vec<Router> = (0..routers)
            .map(|n| Router::new(settings(routers as u32, n as u32), seed * 1_000 + n as u64))
            .collect();
        let mut fleet = Fleet {
            now: T0,
            routers,
            hosts,
            rng,
            costs: Rand64::new(u128::from(seed) + 1_000_000),
            out: BTreeMap::new(),
            wakes: BinaryHeap::new(),
            limits: BinaryHeap::new(),
            idle: BTreeMap::new(),
            seen: Seen { sent: vec![0; SERVERS], ..Seen::default() },
        };
        let entry = |i: usize| HostEntry {
            host: i as HostId,
            zone: (i % 2) as u8,
            machine_type: 0,
            group: (i / MEMBERS) as GroupId,
            state: HostStatus::Ready,
            weight: 1.0,
            primary: i.is_multiple_of(MEMBERS),
            started: 0,
        };
        let entries: Vec<HostEntry> = (0..SERVERS).map(entry).collect();
        for r in 0..fleet.routers.len() {
            fleet.feed(r, Event::List { update: ListUpdate::Full, entries: entries.clone().into() });
        }
        fleet
    }

    /// Work with this mean, drawn from an exponential distribution.
    fn draw(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.costs.rand_float()).ln()
    }

    fn feed(&mut self, router: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[router].handle(self.now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::Send { id, host: host_id, timeout, .. } => self.sent(router, id, host_id, timeout),
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    if let Some(out) = self.out.remove(&(router, id)) {
                        self.seen.refused_unsent += u32::from(out.attempts == 0);
                    }
                }
                Action::Timer { at, .. } => self.wakes.push(Reverse((at, router))),
                Action::Probe(host_id) => {
                    // The report is some time old.
                    let host = &self.hosts[host_id as usize];
                    let role = if host.primary { Role::Primary } else { Role::Replica };
                    let position = self.now - host.lag as Micros - 100 * MS;
                    let report = HostReport { position: Some(position), role: Some(role), in_flight: None };
                    self.feed(router, Event::Probed { host: host_id, ok: true, report });
                }
                Action::CloseIdle(host_id) => drop(self.idle.remove(&(router, host_id))),
                Action::Cancel(..) | Action::Broadcast(_) | Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn sent(&mut self, router: usize, id: RequestId, host_id: HostId, timeout: Micros) {
        let Some(out) = self.out.get_mut(&(router, id)) else { return };
        let attempt = out.attempts;
        (out.attempts, out.sent, out.open) = (attempt + 1, self.now, true);
        let class = out.class;
        let until = if timeout > 0 { self.now + timeout } else { out.came + 1_500 * MS };
        self.limits.push(Reverse((until, router, id, attempt, host_id)));
        let idle = self.idle.entry((router, host_id)).or_insert(0);
        let dialled = *idle == 0;
        *idle = idle.saturating_sub(1);
        self.seen.handshakes += u32::from(dialled);
        self.seen.sent[host_id as usize] += 1;
        let left = self.draw(WORK[class]) + if dialled { HANDSHAKE as f64 } else { 0.0 };
        let host = &mut self.hosts[host_id as usize];
        if class == 2 && !host.primary {
            return self.ended(router, id, attempt, host_id, Outcome::Unsuitable);
        }
        if host.jobs.len() >= SLOTS + QUEUE {
            return self.ended(router, id, attempt, host_id, Outcome::Overloaded);
        }
        host.jobs.push(Job { router, id, attempt, class, left, came: self.now });
    }

    fn ended(&mut self, router: usize, id: RequestId, attempt: u8, host_id: HostId, outcome: Outcome) {
        if outcome != Outcome::Timeout {
            *self.idle.entry((router, host_id)).or_insert(0) += 1;
        }
        let Some(out) = self.out.get_mut(&(router, id)) else { return };
        if !out.open || out.attempts != attempt + 1 {
            return;
        }
        out.open = false;
        let (latency, class, took) = (self.now - out.sent, out.class, self.now - out.came);
        let finished = outcome == Outcome::Ok;
        self.seen.timeouts += u32::from(outcome == Outcome::Timeout);
        self.seen.misses += u32::from(outcome == Outcome::Unsuitable);
        if finished {
            let latency_target = [200, 300, 750][class] * MS;
            self.seen.in_time[class] += u32::from(took <= latency_target);
            self.out.remove(&(router, id));
        }
        let role = if self.hosts[host_id as usize].primary { Role::Primary } else { Role::Replica };
        let note = HostReport { position: None, role: Some(role), in_flight: None };
        let report = HostReport::default();
        let end = AttemptResult { id, attempt, host: host_id, outcome, latency, finished, note, report };
        self.feed(router, Event::Outcome(end));
    }

    /// All servers work for one step.
    fn work(&mut self, load: f64) {
        let mut ended = Vec::new();
        for (i, host) in self.hosts.iter_mut().enumerate() {
            let at_work = host.jobs.len().min(SLOTS) as f64;
            // Too many at once cost more than their own work.
            let waste = 1.0 + 0.02 * (at_work - CORES).max(0.0);
            let cores = CORES * host.speed - if host.primary { 0.0 } else { APPLY * load };
            let pace = (cores / at_work.max(1.0)).min(host.speed) / waste;
            for job in host.jobs.iter_mut().take(SLOTS) {
                job.left -= STEP as f64 * pace;
            }
            if !host.primary {
                // One thread applies, and has its share of the cores like every other.
                let applied = (CORES / (at_work + 1.0)).min(1.0) / (APPLY * load).max(0.01);
                host.lag = (host.lag + STEP as f64 * (1.0 - applied)).max(10e3);
            }
            let (lag, primary, now) = (host.lag as Micros, host.primary, self.now);
            let mut slot = 0;
            host.jobs.retain(|job| {
                slot += 1;
                let stale = job.class == 0 && !primary && slot <= SLOTS && lag > BOUND;
                let outcome = match () {
                    () if stale && job.came + CATCH_UP <= now => Outcome::Unsuitable,
                    () if !stale && job.left <= 0.0 => Outcome::Ok,
                    () => return true,
                };
                ended.push((job.router, job.id, job.attempt, i as HostId, outcome));
                false
            });
        }
        for (router, id, attempt, host_id, outcome) in ended {
            self.ended(router, id, attempt, host_id, outcome);
        }
    }

    /// So many seconds; `load` is the share of what the servers can do that is asked for in each.
    fn run(&mut self, load: impl Fn(f64) -> f64) {
        let begun = self.now;
        let (groups, routers): (Vec<f64>, Vec<f64>) = {
            let mut skewed = |n: usize, least: f64| -> Vec<f64> {
                let raw: Vec<f64> = (0..n).map(|_| least + self.rng.rand_float()).collect();
                let sum: f64 = raw.iter().sum();
                raw.iter().scan(0.0, |at, x| Some((*at += x / sum, *at).1)).collect()
            };
            (skewed(GROUPS, 1.2), skewed(self.routers.len(), 0.3))
        };
        let mean: f64 = WORK.iter().zip(SHARE).map(|(w, s)| w * s).sum();
        let full = SERVERS as f64 * (CORES * 0.95 - APPLY * 0.8) * 1e6 / mean;
        let mut id = 0;
        loop {
            let load = load((self.now - begun) as f64 / 1e6);
            if load <= 0.0 && self.out.is_empty() {
                return;
            }
            self.work(load);
            let mut due = full * load * STEP as f64 / 1e6;
            while due > 0.0 && self.rng.rand_float() < due {
                due -= 1.0;
                id += 1;
                let pick =
                    |shares: &[f64], lot: f64| shares.partition_point(|&s| s < lot).min(shares.len() - 1);
                let group = pick(&groups, self.rng.rand_float());
                let router = pick(&routers, self.rng.rand_float());
                let class = pick(&[SHARE[0], SHARE[0] + SHARE[1], 1.0], self.rng.rand_float());
                self.seen.asked[class] += 1;
                let out = Out { class, came: self.now, attempts: 0, sent: 0, open: false };
                self.out.insert((router, id), out);
                let patience = [640, 600, 1_500][class] * MS;
                let arrival = RequestInfo {
                    id,
                    class: class as u8,
                    group: group as GroupId,
                    give_up_at: self.now + patience,
                    ..RequestInfo::default()
                };
                self.feed(router, Event::Request(arrival));
            }
            while let Some(&Reverse((at, router, id, attempt, host_id))) = self.limits.peek() {
                if at > self.now {
                    break;
                }
                self.limits.pop();
                let open = self.out.get(&(router, id)).is_some_and(|o| o.open && o.attempts == attempt + 1);
                if open {
                    self.ended(router, id, attempt, host_id, Outcome::Timeout);
                }
            }
            while let Some(&Reverse((at, router))) = self.wakes.peek() {
                if at > self.now {
                    break;
                }
                self.wakes.pop();
                self.feed(router, Event::Timer(0));
            }
            self.now += STEP;
        }
    }
}

/// A burst of half as much again in the middle of a day without faults, as seen from all routers together.
fn burst(routers: usize, seed: u64) -> Seen {
    let mut fleet = Fleet::new(routers, seed);
    fleet.run(|s| match s {
        s if s < 5.0 => 0.5,
        s if s < 9.0 => 0.78,
        s if s < 14.0 => 0.5,
        _ => 0.0,
    });
    fleet.seen
}

/// Reads that time out, replicas that cannot apply their log, handshakes of each router with each server: a burst
/// outlasted itself while routers knew of nothing but their own few samples. Seen on the code before: 0.84 of the
/// requests in time on seed 1 and 0.81 on seed 2, 0.42 handshakes a request.
#[test]
fn three_hundred_routers_get_through_a_burst_that_none_of_them_sees() {
    for (seed, least) in [(1, 0.86), (2, 0.83)] {
        let seen = burst(300, seed);
        eprintln!("seed {seed}: {:.4} in time, {:.3} handshakes a request", seen.all(), seen.handshakes());
        eprintln!(
            "{} time-outs, {} misses, {} refused unsent",
            seen.timeouts, seen.misses, seen.refused_unsent
        );
        assert!(seen.all() > least, "seed {seed}: {:.4}", seen.all());
        assert!(seen.handshakes() < 0.3, "seed {seed}: {:.4}", seen.handshakes());
        // Staying with what serves must not leave a server out, nor heap all on one.
        let mean = seen.sent.iter().sum::<u32>() / SERVERS as u32;
        assert!(
            seen.sent.iter().all(|&n| n > mean / 5 && n < mean * 3),
            "seed {seed}: {mean} {:?}",
            seen.sent
        );
    }
}
