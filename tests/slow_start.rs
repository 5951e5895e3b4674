//! Tests slow start over a whole fleet, with the decision module alone: what all proxies together send a cold
//! host stays within the capacity that it has at that moment. This holds for any number of proxies and for
//! traffic that is spread over them unevenly.

use sillfold::*;
use std::collections::{BTreeMap, VecDeque};

/// A millisecond, in microseconds.
const MS: Micros = 1_000;
/// When the simulation begins, in microseconds.
const T0: Micros = 10_000_000_000;
/// Members of the group.
const MEMBERS: u32 = 5;
/// The capacity of a warm host, in requests per second.
const WARM_CAPACITY_PER_S: f64 = 100.0;
/// The capacity of a host at its start, as a share of its warm capacity.
const START_CAPACITY: f64 = 0.2;
/// How long a host is cold after its start, in microseconds.
const COLD_DURATION_US: Micros = 15_000 * MS;
/// This many times its present capacity overloads a host, if it lasts for `OVERLOAD_DURATION_US`.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// How long such a load lasts until it overloads a host, in microseconds.
const OVERLOAD_DURATION_US: Micros = 1_000 * MS;
/// The latency of each answer, in microseconds.
const LATENCY_US: Micros = 20 * MS;

fn settings(proxy_count: u32) -> Settings {
    let class = |access, idempotency| Class {
        access,
        idempotency,
        latency_target: 300 * MS,
        deadline: 2_000 * MS,
        worth: 3.0,
        late_worth: 0.3,
        latency_target_stretch: 0.0,
    };
    Settings {
        proxy_count,
        ordinal: 0,
        zone: 0,
        classes: vec![
            class(Access::BoundedRead(800 * MS), Idempotency::Idempotent),
            class(Access::AnyRead, Idempotency::Idempotent),
            class(Access::Write, Idempotency::Keyed(DedupScope::Group, 1_200 * MS)),
        ],
        list_mode: ListMode::Pushed,
        list_role: ListRole::Delayed,
        lag_check: LagCheck::Wait(100 * MS),
        session_tokens: SessionTokens::FromClient,
        cross_zone_costs: false,
        answers_carry_positions: true,
        limits: Limits {
            cancel: true,
            probes: false,
            peers: false,
            retry_after: true,
            max_retry_after: 1_000 * MS,
            hedging: false,
            max_attempts: 10,
        },
        safety: Safety {
            drain_grace: 500 * MS,
            only_draining_binds: false,
            start_capacity: START_CAPACITY,
            cold_duration: COLD_DURATION_US,
            overload_multiple: OVERLOAD_MULTIPLE,
            overload_duration: OVERLOAD_DURATION_US,
            max_list_age: 10_000 * MS,
        },
        quotas: Vec::new(),
        over_quota_worth: 1.0,
    }
}

/// An event of the simulation at one proxy.
enum ProxyEvent {
    /// A client's request arrives.
    Arrival,
    /// A timer of the module with this mark expires.
    Timer(u64),
    /// A host answers an attempt that was sent to it at `sent`.
    Answer { id: RequestId, attempt: u8, host: HostId, sent: Micros },
}

/// What the cold hosts are sent in one run.
#[derive(Debug)]
struct ColdLoad {
    /// The attempts in the worst second of a cold host, the one with the highest share of its budget.
    sent: usize,
    /// The attempts that the host could be sent in that second.
    budget: f64,
    /// The attempts at all cold hosts since their start.
    cold: usize,
    /// The attempts at all hosts since then.
    all: usize,
}

/// Simulates a group under `load` times its warm capacity, which `proxy_count` proxies send it: one of them
/// gets several times the mean of the traffic and most get little. The last `restarted` members of the group
/// start again.
fn simulate(proxy_count: u32, load: f64, restarted: u32, seed: u64) -> ColdLoad {
    simulate_with_clock_offset(proxy_count, load, restarted, seed, 0, StartReport::ListUpdate)
}

/// How proxies learn that hosts have started.
#[derive(Clone, Copy, PartialEq)]
enum StartReport {
    /// By an update 2 s after their first list.
    ListUpdate,
    /// By their first list: the proxies have started just then, too.
    FirstList,
}

/// Does the same as `simulate`, with start times by a clock that is `clock_ahead` microseconds ahead of the
/// proxies'.
fn simulate_with_clock_offset(
    proxy_count: u32, load: f64, restarted: u32, seed: u64, clock_ahead: i64, start_report: StartReport,
) -> ColdLoad {
    let mut rng = oorandom::Rand64::new(u128::from(seed) * 1_000 + u128::from(proxy_count));
    let mut routers: Vec<Router> = (0..proxy_count)
        .map(|n| Router::new(Settings { ordinal: n, ..settings(proxy_count) }, seed * 10_007 + u64::from(n)))
        .collect();
    let mut traffic_shares: Vec<f64> = (0..proxy_count).map(|n| 1.0 / f64::from(n + 2)).collect();
    let sum: f64 = traffic_shares.iter().sum();
    traffic_shares.iter_mut().for_each(|share| *share /= sum);
    let entry = |host: HostId, started: Micros| HostEntry {
        host,
        zone: 0,
        machine_type: 0,
        group: 0,
        state: HostStatus::Ready,
        weight: 1.0,
        primary: host == 1,
        started,
    };
    let start = if start_report == StartReport::ListUpdate { T0 + 2_000 * MS } else { T0 };
    let reported_start = start.saturating_add_signed(clock_ahead);
    // The number keeps events of one time in the order of their scheduling.
    let mut pending: BTreeMap<(Micros, u64), (usize, ProxyEvent)> = BTreeMap::new();
    let mut event_number = 0;
    let mut schedule = |pending: &mut BTreeMap<_, _>, at: Micros, proxy: usize, event: ProxyEvent| {
        event_number += 1;
        pending.insert((at, event_number), (proxy, event));
    };
    let arrivals_per_us = load * WARM_CAPACITY_PER_S * f64::from(MEMBERS) / 1e6;
    let draw_gap = |rng: &mut oorandom::Rand64, traffic_share: f64| {
        (-(1.0 - rng.rand_float()).ln() / (arrivals_per_us * traffic_share)) as Micros
    };
    for (proxy, traffic_share) in traffic_shares.iter().enumerate() {
        let at = T0 + draw_gap(&mut rng, *traffic_share);
        schedule(&mut pending, at, proxy, ProxyEvent::Arrival);
    }
    let mut last_id = 0;
    let mut start_reported = start_report == StartReport::FirstList;
    let mut actions = Vec::new();
    let start_in_first_list =
        |host| if start_reported && host + restarted > MEMBERS { reported_start } else { 0 };
    let first_list: Vec<HostEntry> =
        (1..=MEMBERS).map(|host| entry(host, start_in_first_list(host))).collect();
    for router in &mut routers {
        router.handle(
            T0,
            &[Event::List { update: ListUpdate::Full, entries: first_list.clone().into() }],
            &mut actions,
        );
        actions.clear();
    }
    let mut recent: BTreeMap<HostId, VecDeque<Micros>> = BTreeMap::new();
    let mut worst = ColdLoad { sent: 0, budget: 1.0, cold: 0, all: 0 };
    let mut attempts: Vec<BTreeMap<RequestId, u8>> = (0..proxy_count).map(|_| BTreeMap::new()).collect();
    while let Some(((now, _), (proxy, proxy_event))) = pending.pop_first() {
        if now > start + COLD_DURATION_US {
            break;
        }
        if now >= start && !start_reported {
            start_reported = true;
            let update: Vec<HostEntry> = (0..restarted).map(|k| entry(MEMBERS - k, reported_start)).collect();
            for router in &mut routers {
                router.handle(
                    now,
                    &[Event::List { update: ListUpdate::Delta, entries: update.clone().into() }],
                    &mut actions,
                );
                actions.clear();
            }
        }
        let event = match proxy_event {
            ProxyEvent::Arrival => {
                schedule(
                    &mut pending,
                    now + 1 + draw_gap(&mut rng, traffic_shares[proxy]),
                    proxy,
                    ProxyEvent::Arrival,
                );
                last_id += 1;
                let draw = rng.rand_float();
                let class = if draw < 0.5 { 0 } else { u8::from(draw < 0.9) + 2 * u8::from(draw >= 0.9) };
                let request = RequestInfo {
                    id: last_id,
                    class,
                    give_up_at: now + 2_000 * MS,
                    ..RequestInfo::default()
                };
                Event::Request(request)
            }
            ProxyEvent::Timer(mark) => Event::Timer(mark),
            ProxyEvent::Answer { id, attempt, host, sent } => {
                let primary = host == 1;
                let note = HostReport {
                    role: Some(if primary { Role::Primary } else { Role::Replica }),
                    position: Some(now - if primary { 0 } else { 10 * MS }),
                    in_flight: None,
                };
                Event::Outcome(AttemptResult {
                    id,
                    attempt,
                    host,
                    outcome: Outcome::Ok,
                    latency: now - sent,
                    finished: true,
                    note,
                    report: HostReport::default(),
                })
            }
        };
        routers[proxy].handle(now, &[event], &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Timer { at, mark } => {
                    schedule(&mut pending, at.max(now + 1), proxy, ProxyEvent::Timer(mark));
                }
                Action::Send { id, host, .. } => {
                    let attempt = attempts[proxy].entry(id).or_insert(0);
                    schedule(
                        &mut pending,
                        now + LATENCY_US,
                        proxy,
                        ProxyEvent::Answer { id, attempt: *attempt, host, sent: now },
                    );
                    *attempt += 1;
                    if now < start {
                        continue;
                    }
                    worst.all += 1;
                    if host + restarted <= MEMBERS {
                        continue;
                    }
                    worst.cold += 1;
                    let sent = recent.entry(host).or_default();
                    sent.push_back(now);
                    while sent.front().is_some_and(|at| at + OVERLOAD_DURATION_US <= now) {
                        sent.pop_front();
                    }
                    let warmed_up = (now - start) as f64 / COLD_DURATION_US as f64;
                    let capacity_share = START_CAPACITY + (1.0 - START_CAPACITY) * warmed_up;
                    let overload_at = OVERLOAD_MULTIPLE
                        * capacity_share
                        * WARM_CAPACITY_PER_S
                        * OVERLOAD_DURATION_US as f64
                        / 1e6;
                    // Random arrivals exceed their mean: two standard deviations and two attempts are
                    // allowed.
                    let budget = overload_at + 2.0 * overload_at.sqrt() + 2.0;
                    if sent.len() as f64 / budget > worst.sent as f64 / worst.budget {
                        (worst.sent, worst.budget) = (sent.len(), budget);
                    }
                }
                _ => {}
            }
        }
    }
    worst
}

/// A cold host may be sent more than what overloads it by chance only, and no more with thirty proxies than
/// with one.
#[test]
fn a_cold_host_is_not_overloaded_by_any_number_of_proxies() {
    for proxy_count in [1, 3, 8, 9, 20, 30, 300] {
        for (load, restarted) in [(1.0, 1), (1.0, 4), (1.5, 1), (1.5, 2), (2.2, 1)] {
            let seed = u64::from(proxy_count) + restarted as u64;
            let worst = simulate(proxy_count, load, restarted, seed);
            eprintln!(
                "seed {seed}: {proxy_count} proxies, load {load}, {restarted} of {MEMBERS} restarted: {worst:?}"
            );
            let case = format!("{proxy_count} proxies, load {load}, {restarted} restarted: {worst:?}");
            assert!(worst.sent as f64 <= worst.budget, "{case}");
            // The host is not left out either: where work warms a host up, it would stay cold.
            assert!(worst.cold * 100 > worst.all, "{case}");
        }
    }
}

/// As a proxy starts, the wall clock of its machine may be behind the hosts' clocks or ahead of them. A host
/// whose start is reported later is cold all the same.
#[test]
fn a_server_whose_start_is_told_by_another_clock_is_cold() {
    for ahead_ms in [-3_600_000, -5_000, 2, 5_000, 3_600_000] {
        for (proxy_count, load, restarted) in [(1, 1.0, 1), (3, 1.5, 2), (30, 1.5, 1)] {
            let seed = u64::from(proxy_count) + 40;
            let clock_ahead = ahead_ms * MS as i64;
            let start_report = StartReport::ListUpdate;
            let worst =
                simulate_with_clock_offset(proxy_count, load, restarted, seed, clock_ahead, start_report);
            let case = format!(
                "seed {seed}: {proxy_count} proxies, {ahead_ms} ms ahead, {restarted} restarted: {worst:?}"
            );
            assert!(worst.sent as f64 <= worst.budget, "{case}");
            assert!(worst.cold * 100 > worst.all, "{case}");
        }
    }
}

/// The proxies' wall clocks are off as they start, and their first list holds hosts that have started just
/// before. By a clock ahead of the hosts' those starts look old, so that the hosts would count as warm:
/// nothing in the list tells such a start from an old one.
#[test]
fn a_server_that_started_just_before_a_router_with_a_clock_ahead_is_cold() {
    for ahead_ms in [-3_600_000, -60_000, 0, 3_600_000] {
        for (proxy_count, load, restarted) in [(1, 1.0, 1), (3, 1.5, 2), (30, 1.5, 1)] {
            let seed = u64::from(proxy_count) + 60;
            let clock_ahead = ahead_ms * MS as i64;
            let start_report = StartReport::FirstList;
            let worst =
                simulate_with_clock_offset(proxy_count, load, restarted, seed, clock_ahead, start_report);
            let case = format!(
                "seed {seed}: {proxy_count} proxies, {ahead_ms} ms ahead, {restarted} restarted: {worst:?}"
            );
            assert!(worst.sent as f64 <= worst.budget, "{case}");
        }
    }
}
