//! Simulates 300 proxies that share nothing and 120 hosts in one thread, and tests what the proxies'
//! decisions add up to. The hosts are a rough model: running attempts share the cores, and one thread applies
//! the replication log beside them. The model ranks variants of the decision module; it does not predict a
//! deployment's figures. Seeds are fixed.

use oorandom::Rand64;
use sillfold::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A millisecond, in microseconds.
const MS: Micros = 1_000;
/// When the simulation begins, in microseconds.
const T0: Micros = 1_000_000_000;
/// The number of groups.
const GROUPS: usize = 24;
/// The number of members per group.
const MEMBERS: usize = 5;
/// The number of hosts in all groups.
const HOSTS: usize = GROUPS * MEMBERS;
/// The length of a step of the model, in microseconds.
const STEP_US: Micros = 2 * MS;
/// The staleness bound of bounded reads, in microseconds.
const STALENESS_BOUND_US: Micros = 800 * MS;
/// How long a replica waits to catch up before it rejects a bounded read, in microseconds.
const CATCH_UP_WAIT_US: Micros = 100 * MS;
/// The cores of a host.
const CORES: f64 = 4.0;
/// The attempts that a host runs at once.
const RUN_SLOTS: usize = 16;
/// The attempts that a host queues beyond `RUN_SLOTS`; it rejects further ones.
const QUEUE_SLOTS: usize = 80;
/// The share of a core that applying the replication log takes at full load.
const APPLY_CORE_SHARE: f64 = 0.55;
/// The mean work of a request by class, in microseconds of a core: bounded reads, reads of any data, writes.
const MEAN_WORK_US: [f64; 3] = [35e3, 58e3, 87e3];
/// The share of each class in the requests.
const CLASS_SHARES: [f64; 3] = [0.55, 0.37, 0.08];
/// The work of establishing a connection, in microseconds of a core.
const HANDSHAKE_US: Micros = 7 * MS;

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
            class(Access::BoundedRead(STALENESS_BOUND_US), Idempotency::Idempotent, 200, 800, 3.0, 0.0),
            class(Access::AnyRead, Idempotency::Idempotent, 300, 750, 3.0, 0.2),
            class(Access::Write, Idempotency::Keyed(DedupScope::Group, 1_200 * MS), 750, 2_000, 4.0, 0.5),
        ],
        list_mode: ListMode::Pushed,
        list_role: ListRole::Delayed,
        lag_check: LagCheck::Wait(CATCH_UP_WAIT_US),
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

/// An attempt that a host runs or queues.
struct Job {
    /// The index of the proxy that sent the attempt.
    proxy: usize,
    id: RequestId,
    attempt: u8,
    class: usize,
    /// The work that is left, in microseconds of a core.
    work_left: f64,
    /// When the attempt reached the host.
    arrived: Micros,
}

/// The model of a database host.
#[derive(Default)]
struct Host {
    /// The attempts in their order of arrival; the first `RUN_SLOTS` of them run.
    jobs: Vec<Job>,
    primary: bool,
    /// The work that a core does per unit of time.
    speed: f64,
    /// The replication lag, in microseconds.
    lag: f64,
}

/// A request that a proxy has not answered yet.
struct OpenRequest {
    class: usize,
    /// When the request arrived at the proxy.
    arrived: Micros,
    /// The number of attempts so far.
    attempts: u8,
    /// When the latest attempt was sent.
    sent: Micros,
    /// Whether the latest attempt is outstanding.
    outstanding: bool,
}

/// When an attempt times out, with its proxy, request, number and host.
type AttemptTimeout = (Micros, usize, RequestId, u8, HostId);

/// The proxies, the hosts and what is pending between them.
struct Fleet {
    now: Micros,
    /// The decision module of each proxy.
    routers: Vec<Router>,
    hosts: Vec<Host>,
    /// Draws the requests. The work has its own generator, so that all variants get the same requests.
    rng: Rand64,
    /// Draws the work of attempts.
    work_rng: Rand64,
    /// The open requests, by proxy and id.
    requests: BTreeMap<(usize, RequestId), OpenRequest>,
    /// The timers of the modules: when, and of which proxy.
    timers: BinaryHeap<Reverse<(Micros, usize)>>,
    timeouts: BinaryHeap<Reverse<AttemptTimeout>>,
    /// The number of idle connections of a proxy to a host.
    idle: BTreeMap<(usize, HostId), usize>,
    totals: Totals,
}

/// What a run counts; arrays are by class.
#[derive(Clone, Debug, Default, PartialEq)]
struct Totals {
    /// The requests that arrived.
    arrived: [u32; 3],
    /// The requests that were answered within the latency target.
    in_time: [u32; 3],
    /// The connections that were established.
    handshakes: u32,
    /// The attempts that timed out.
    timeouts: u32,
    /// The attempts that a host rejected because its data or its role did not suit them.
    unsuitable: u32,
    /// The requests that were refused before any attempt.
    refused_unsent: u32,
    /// The attempts sent, by host.
    sent: Vec<u32>,
}

impl Totals {
    /// The share of requests that were answered within the latency target.
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time.iter().sum::<u32>()) / f64::from(self.arrived.iter().sum::<u32>().max(1))
    }
    /// The number of connections established per request.
    fn handshakes_per_request(&self) -> f64 {
        f64::from(self.handshakes) / f64::from(self.arrived.iter().sum::<u32>().max(1))
    }
}

impl Fleet {
    /// Builds a fleet whose proxies have the list of all hosts.
    fn new(proxy_count: usize, seed: u64) -> Fleet {
        let mut rng = Rand64::new(u128::from(seed));
        let host = |i: usize, rng: &mut Rand64| Host {
            primary: i.is_multiple_of(MEMBERS),
            speed: 0.8 + 0.3 * rng.rand_float(),
            ..Host::default()
        };
        let hosts = (0..HOSTS).map(|i| host(i, &mut rng)).collect();
        let routers: Vec<Router> = (0..proxy_count)
            .map(|n| Router::new(settings(proxy_count as u32, n as u32), seed * 1_000 + n as u64))
            .collect();
        let mut fleet = Fleet {
            now: T0,
            routers,
            hosts,
            rng,
            work_rng: Rand64::new(u128::from(seed) + 1_000_000),
            requests: BTreeMap::new(),
            timers: BinaryHeap::new(),
            timeouts: BinaryHeap::new(),
            idle: BTreeMap::new(),
            totals: Totals { sent: vec![0; HOSTS], ..Totals::default() },
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
        let entries: Vec<HostEntry> = (0..HOSTS).map(entry).collect();
        for proxy in 0..fleet.routers.len() {
            fleet.handle_event(
                proxy,
                Event::List { update: ListUpdate::Full, entries: entries.clone().into() },
            );
        }
        fleet
    }

    /// Draws the work of an attempt from an exponential distribution with this mean.
    fn draw_work(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.work_rng.rand_float()).ln()
    }

    /// Passes an event to the decision module of a proxy and carries out the actions.
    fn handle_event(&mut self, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.routers[proxy].handle(self.now, &[event], &mut actions);
        for action in actions {
            match action {
                Action::Send { id, host: host_id, timeout, .. } => {
                    self.send_attempt(proxy, id, host_id, timeout);
                }
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    if let Some(request) = self.requests.remove(&(proxy, id)) {
                        self.totals.refused_unsent += u32::from(request.attempts == 0);
                    }
                }
                Action::Timer { at, .. } => self.timers.push(Reverse((at, proxy))),
                Action::Probe(host_id) => {
                    // The reported position is 100 ms old.
                    let host = &self.hosts[host_id as usize];
                    let role = if host.primary { Role::Primary } else { Role::Replica };
                    let position = self.now - host.lag as Micros - 100 * MS;
                    let report = HostReport { position: Some(position), role: Some(role), in_flight: None };
                    self.handle_event(proxy, Event::Probed { host: host_id, ok: true, report });
                }
                Action::CloseIdle(host_id) => drop(self.idle.remove(&(proxy, host_id))),
                Action::Cancel(..) | Action::Broadcast(_) | Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    /// Sends an attempt of a request to a host, which runs, queues or rejects it.
    fn send_attempt(&mut self, proxy: usize, id: RequestId, host_id: HostId, timeout: Micros) {
        let Some(request) = self.requests.get_mut(&(proxy, id)) else { return };
        let attempt = request.attempts;
        (request.attempts, request.sent, request.outstanding) = (attempt + 1, self.now, true);
        let class = request.class;
        let times_out_at = if timeout > 0 { self.now + timeout } else { request.arrived + 1_500 * MS };
        self.timeouts.push(Reverse((times_out_at, proxy, id, attempt, host_id)));
        let idle = self.idle.entry((proxy, host_id)).or_insert(0);
        let dialled = *idle == 0;
        *idle = idle.saturating_sub(1);
        self.totals.handshakes += u32::from(dialled);
        self.totals.sent[host_id as usize] += 1;
        let work_left = self.draw_work(MEAN_WORK_US[class]) + if dialled { HANDSHAKE_US as f64 } else { 0.0 };
        let host = &mut self.hosts[host_id as usize];
        if class == 2 && !host.primary {
            return self.end_attempt(proxy, id, attempt, host_id, Outcome::Unsuitable);
        }
        if host.jobs.len() >= RUN_SLOTS + QUEUE_SLOTS {
            return self.end_attempt(proxy, id, attempt, host_id, Outcome::Overloaded);
        }
        host.jobs.push(Job { proxy, id, attempt, class, work_left, arrived: self.now });
    }

    /// Ends an attempt. Its connection becomes idle, except after a timeout. An outstanding attempt is
    /// reported to its proxy.
    fn end_attempt(&mut self, proxy: usize, id: RequestId, attempt: u8, host_id: HostId, outcome: Outcome) {
        if outcome != Outcome::Timeout {
            *self.idle.entry((proxy, host_id)).or_insert(0) += 1;
        }
        let Some(request) = self.requests.get_mut(&(proxy, id)) else { return };
        if !request.outstanding || request.attempts != attempt + 1 {
            return;
        }
        request.outstanding = false;
        let latency = self.now - request.sent;
        let class = request.class;
        let request_duration = self.now - request.arrived;
        let finished = outcome == Outcome::Ok;
        self.totals.timeouts += u32::from(outcome == Outcome::Timeout);
        self.totals.unsuitable += u32::from(outcome == Outcome::Unsuitable);
        if finished {
            let latency_target = [200, 300, 750][class] * MS;
            self.totals.in_time[class] += u32::from(request_duration <= latency_target);
            self.requests.remove(&(proxy, id));
        }
        let role = if self.hosts[host_id as usize].primary { Role::Primary } else { Role::Replica };
        let note = HostReport { position: None, role: Some(role), in_flight: None };
        let report = HostReport::default();
        let end = AttemptResult { id, attempt, host: host_id, outcome, latency, finished, note, report };
        self.handle_event(proxy, Event::Outcome(end));
    }

    /// Advances all hosts by one step. `load` is the requests' share of the hosts' capacity; applying the log
    /// grows with it.
    fn run_hosts(&mut self, load: f64) {
        let mut ended = Vec::new();
        for (i, host) in self.hosts.iter_mut().enumerate() {
            let running = host.jobs.len().min(RUN_SLOTS) as f64;
            // Attempts beyond the number of cores slow each other down.
            let contention = 1.0 + 0.02 * (running - CORES).max(0.0);
            let cores = CORES * host.speed - if host.primary { 0.0 } else { APPLY_CORE_SHARE * load };
            let work_rate = (cores / running.max(1.0)).min(host.speed) / contention;
            for job in host.jobs.iter_mut().take(RUN_SLOTS) {
                job.work_left -= STEP_US as f64 * work_rate;
            }
            if !host.primary {
                // The thread that applies the log gets the same share of the cores as every running attempt.
                let apply_rate = (CORES / (running + 1.0)).min(1.0) / (APPLY_CORE_SHARE * load).max(0.01);
                host.lag = (host.lag + STEP_US as f64 * (1.0 - apply_rate)).max(10e3);
            }
            let (lag, primary, now) = (host.lag as Micros, host.primary, self.now);
            let mut slot = 0;
            host.jobs.retain(|job| {
                slot += 1;
                let stale = job.class == 0 && !primary && slot <= RUN_SLOTS && lag > STALENESS_BOUND_US;
                let outcome = match () {
                    () if stale && job.arrived + CATCH_UP_WAIT_US <= now => Outcome::Unsuitable,
                    () if !stale && job.work_left <= 0.0 => Outcome::Ok,
                    () => return true,
                };
                ended.push((job.proxy, job.id, job.attempt, i as HostId, outcome));
                false
            });
        }
        for (proxy, id, attempt, host_id, outcome) in ended {
            self.end_attempt(proxy, id, attempt, host_id, outcome);
        }
    }

    /// Runs the fleet until `load` is zero and every request is answered. `load` is the share of the hosts'
    /// capacity that the requests take, as a function of the seconds since the start of the run.
    fn run(&mut self, load: impl Fn(f64) -> f64) {
        let begun = self.now;
        let (cumulative_group_shares, cumulative_proxy_shares): (Vec<f64>, Vec<f64>) = {
            let mut draw_cumulative_shares = |n: usize, min_weight: f64| -> Vec<f64> {
                let weights: Vec<f64> = (0..n).map(|_| min_weight + self.rng.rand_float()).collect();
                let sum: f64 = weights.iter().sum();
                weights.iter().scan(0.0, |total, weight| Some((*total += weight / sum, *total).1)).collect()
            };
            (draw_cumulative_shares(GROUPS, 1.2), draw_cumulative_shares(self.routers.len(), 0.3))
        };
        let mean_work: f64 = MEAN_WORK_US.iter().zip(CLASS_SHARES).map(|(work, share)| work * share).sum();
        let capacity_per_s = HOSTS as f64 * (CORES * 0.95 - APPLY_CORE_SHARE * 0.8) * 1e6 / mean_work;
        let mut id = 0;
        loop {
            let load = load((self.now - begun) as f64 / 1e6);
            if load <= 0.0 && self.requests.is_empty() {
                return;
            }
            self.run_hosts(load);
            let mut expected_arrivals = capacity_per_s * load * STEP_US as f64 / 1e6;
            while expected_arrivals > 0.0 && self.rng.rand_float() < expected_arrivals {
                expected_arrivals -= 1.0;
                id += 1;
                let pick = |cumulative_shares: &[f64], draw: f64| {
                    cumulative_shares.partition_point(|&s| s < draw).min(cumulative_shares.len() - 1)
                };
                let group = pick(&cumulative_group_shares, self.rng.rand_float());
                let proxy = pick(&cumulative_proxy_shares, self.rng.rand_float());
                let class =
                    pick(&[CLASS_SHARES[0], CLASS_SHARES[0] + CLASS_SHARES[1], 1.0], self.rng.rand_float());
                self.totals.arrived[class] += 1;
                let request =
                    OpenRequest { class, arrived: self.now, attempts: 0, sent: 0, outstanding: false };
                self.requests.insert((proxy, id), request);
                let client_deadline = [640, 600, 1_500][class] * MS;
                let info = RequestInfo {
                    id,
                    class: class as u8,
                    group: group as GroupId,
                    give_up_at: self.now + client_deadline,
                    ..RequestInfo::default()
                };
                self.handle_event(proxy, Event::Request(info));
            }
            while let Some(&Reverse((at, proxy, id, attempt, host_id))) = self.timeouts.peek() {
                if at > self.now {
                    break;
                }
                self.timeouts.pop();
                let outstanding = self
                    .requests
                    .get(&(proxy, id))
                    .is_some_and(|request| request.outstanding && request.attempts == attempt + 1);
                if outstanding {
                    self.end_attempt(proxy, id, attempt, host_id, Outcome::Timeout);
                }
            }
            while let Some(&Reverse((at, proxy))) = self.timers.peek() {
                if at > self.now {
                    break;
                }
                self.timers.pop();
                self.handle_event(proxy, Event::Timer(0));
            }
            self.now += STEP_US;
        }
    }
}

/// Runs a fleet without faults under a load of 0.5 that rises to 0.78 for four seconds, and returns the
/// totals.
fn run_burst(proxy_count: usize, seed: u64) -> Totals {
    let mut fleet = Fleet::new(proxy_count, seed);
    fleet.run(|s| match s {
        s if s < 5.0 => 0.5,
        s if s < 9.0 => 0.78,
        s if s < 14.0 => 0.5,
        _ => 0.0,
    });
    fleet.totals
}

/// Guards against an overload that outlasts the burst: reads time out, replicas fall behind with their log,
/// and each proxy opens connections to each host. This happened while a proxy knew nothing but its own few
/// samples: 0.84 of the requests were in time on seed 1 and 0.81 on seed 2, with 0.42 handshakes per request.
#[test]
fn three_hundred_proxies_recover_from_a_burst() {
    for (seed, min_in_time) in [(1, 0.86), (2, 0.83)] {
        let totals = run_burst(300, seed);
        eprintln!(
            "seed {seed}: {:.4} in time, {:.3} handshakes per request",
            totals.in_time_share(),
            totals.handshakes_per_request()
        );
        eprintln!(
            "{} timeouts, {} unsuitable, {} refused unsent",
            totals.timeouts, totals.unsuitable, totals.refused_unsent
        );
        assert!(totals.in_time_share() > min_in_time, "seed {seed}: {:.4}", totals.in_time_share());
        assert!(totals.handshakes_per_request() < 0.3, "seed {seed}: {:.4}", totals.handshakes_per_request());
        // Every host gets more than a fifth of the mean number of attempts and less than three times the
        // mean.
        let mean = totals.sent.iter().sum::<u32>() / HOSTS as u32;
        assert!(
            totals.sent.iter().all(|&n| n > mean / 5 && n < mean * 3),
            "seed {seed}: {mean} {:?}",
            totals.sent
        );
    }
}
