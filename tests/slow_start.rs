//! Slow start over a whole fleet, pure: what all routers together send a server that has just started stays within
//! what it can take, however many they are and however unevenly traffic is spread over them.

use sillfold::*;
use std::collections::{BTreeMap, VecDeque};

const MS: Micros = 1_000;
const T0: Micros = 10_000_000_000;
/// Members of the group, and how many of them start anew.
const MEMBERS: u32 = 5;
/// What a warm server can do, in requests a second; a cold one begins at this share of it, and is warm after so long.
const ABLE: f64 = 100.0;
const START: f64 = 0.2;
const COLD: Micros = 15_000 * MS;
/// So many times what it can do at that moment, for so long, tips it over.
const TIP: f64 = 3.0;
const WINDOW: Micros = 1_000 * MS;
/// What an answer takes.
const TAKES: Micros = 20 * MS;

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
            start_capacity: START,
            cold_duration: COLD,
            overload_multiple: TIP,
            overload_duration: WINDOW,
            max_list_age: 10_000 * MS,
        },
        quotas: Vec::new(),
        over_quota_worth: 1.0,
    }
}

/// What happens to a router.
enum Happens {
    Arrives,
    Wakes(u64),
    Answered { id: RequestId, attempt: u8, host: HostId, sent: Micros },
}

/// The worst second of a server that starts anew: what it was sent over what it could be sent.
#[derive(Debug)]
struct Worst {
    sent: usize,
    budget: f64,
    /// Cold servers got so many of all requests.
    cold: usize,
    all: usize,
}

/// So many routers, of which one gets several times the mean and most little, ask a group for so many times what it can
/// do; all members but the primary, or so many of them, start anew.
fn day(proxy_count: u32, load: f64, anew: u32, seed: u64) -> Worst {
    day_with_clocks(proxy_count, load, anew, seed, 0, Told::AsNews)
}

/// How routers hear of a start.
#[derive(Clone, Copy, PartialEq)]
enum Told {
    /// A while after their first list.
    AsNews,
    /// By their first list: they have started just then, too.
    ByTheFirstList,
}

/// The same, where the clock by which starts are told differs from the routers' by so much.
fn day_with_clocks(proxy_count: u32, load: f64, anew: u32, seed: u64, ahead: i64, by: Told) -> Worst {
    let mut lots = oorandom::Rand64::new(u128::from(seed) * 1_000 + u128::from(proxy_count));
    let mut all: Vec<Router> = (0..proxy_count)
        .map(|n| Router::new(Settings { ordinal: n, ..settings(proxy_count) }, seed * 10_007 + u64::from(n)))
        .collect();
    let mut parts: Vec<f64> = (0..proxy_count).map(|n| 1.0 / f64::from(n + 2)).collect();
    let sum: f64 = parts.iter().sum();
    parts.iter_mut().for_each(|p| *p /= sum);
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
    let start = if by == Told::AsNews { T0 + 2_000 * MS } else { T0 };
    let told_start = start.saturating_add_signed(ahead);
    let mut due: BTreeMap<(Micros, u64), (usize, Happens)> = BTreeMap::new();
    let mut number = 0;
    let mut put = |due: &mut BTreeMap<_, _>, at: Micros, router: usize, what: Happens| {
        number += 1;
        due.insert((at, number), (router, what));
    };
    let per_us = load * ABLE * f64::from(MEMBERS) / 1e6;
    let gap = |lots: &mut oorandom::Rand64, part: f64| {
        (-(1.0 - lots.rand_float()).ln() / (per_us * part)) as Micros
    };
    for (n, part) in parts.iter().enumerate() {
        let at = T0 + gap(&mut lots, *part);
        put(&mut due, at, n, Happens::Arrives);
    }
    let (mut ids, mut told) = (0, by == Told::ByTheFirstList);
    let mut out = Vec::new();
    let started = |host| if told && host + anew > MEMBERS { told_start } else { 0 };
    let known: Vec<HostEntry> = (1..=MEMBERS).map(|host| entry(host, started(host))).collect();
    for router in &mut all {
        router.handle(
            T0,
            &[Event::List { update: ListUpdate::Full, entries: known.clone().into() }],
            &mut out,
        );
        out.clear();
    }
    let mut recent: BTreeMap<HostId, VecDeque<Micros>> = BTreeMap::new();
    let mut worst = Worst { sent: 0, budget: 1.0, cold: 0, all: 0 };
    let mut attempts: Vec<BTreeMap<RequestId, u8>> = (0..proxy_count).map(|_| BTreeMap::new()).collect();
    while let Some(((now, _), (n, what))) = due.pop_first() {
        if now > start + COLD {
            break;
        }
        if now >= start && !told {
            told = true;
            let news: Vec<HostEntry> = (0..anew).map(|k| entry(MEMBERS - k, told_start)).collect();
            for router in &mut all {
                router.handle(
                    now,
                    &[Event::List { update: ListUpdate::Delta, entries: news.clone().into() }],
                    &mut out,
                );
                out.clear();
            }
        }
        let event = match what {
            Happens::Arrives => {
                put(&mut due, now + 1 + gap(&mut lots, parts[n]), n, Happens::Arrives);
                ids += 1;
                let lot = lots.rand_float();
                let class = if lot < 0.5 { 0 } else { u8::from(lot < 0.9) + 2 * u8::from(lot >= 0.9) };
                let arrival =
                    RequestInfo { id: ids, class, give_up_at: now + 2_000 * MS, ..RequestInfo::default() };
                Event::Request(arrival)
            }
            Happens::Wakes(mark) => Event::Timer(mark),
            Happens::Answered { id, attempt, host, sent } => {
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
        all[n].handle(now, &[event], &mut out);
        for action in out.drain(..) {
            match action {
                Action::Timer { at, mark } => put(&mut due, at.max(now + 1), n, Happens::Wakes(mark)),
                Action::Send { id, host, .. } => {
                    let attempt = attempts[n].entry(id).or_insert(0);
                    put(
                        &mut due,
                        now + TAKES,
                        n,
                        Happens::Answered { id, attempt: *attempt, host, sent: now },
                    );
                    *attempt += 1;
                    if now < start {
                        continue;
                    }
                    worst.all += 1;
                    if host + anew <= MEMBERS {
                        continue;
                    }
                    worst.cold += 1;
                    let sent = recent.entry(host).or_default();
                    sent.push_back(now);
                    while sent.front().is_some_and(|at| at + WINDOW <= now) {
                        sent.pop_front();
                    }
                    let warm = (now - start) as f64 / COLD as f64;
                    let share = START + (1.0 - START) * warm;
                    let budget = TIP * share * ABLE * WINDOW as f64 / 1e6;
                    let most = budget + 2.0 * budget.sqrt() + 2.0;
                    if sent.len() as f64 / most > worst.sent as f64 / worst.budget {
                        (worst.sent, worst.budget) = (sent.len(), most);
                    }
                }
                _ => {}
            }
        }
    }
    worst
}

/// Beyond what tips a cold server over only chance is allowed, and no more of it with thirty routers than with one.
#[test]
fn a_cold_server_is_sent_no_more_than_it_can_take_by_any_number_of_routers() {
    for proxy_count in [1, 3, 8, 9, 20, 30, 300] {
        for (load, anew) in [(1.0, 1), (1.0, 4), (1.5, 1), (1.5, 2), (2.2, 1)] {
            let seed = u64::from(proxy_count) + anew as u64;
            let worst = day(proxy_count, load, anew, seed);
            eprintln!("seed {seed}: {proxy_count} routers, load {load}, {anew} of {MEMBERS} anew: {worst:?}");
            let told = format!("{proxy_count} routers, load {load}, {anew} anew: {worst:?}");
            assert!(worst.sent as f64 <= worst.budget, "{told}");
            // Nor is it left out: then it would stay cold wherever work is what warms.
            assert!(worst.cold * 100 > worst.all, "{told}");
        }
    }
}

/// A machine's wall clock may be behind the servers' as its router starts, or ahead: a server whose start is told then
/// is as cold as any other.
#[test]
fn a_server_whose_start_is_told_by_another_clock_is_cold() {
    for ahead_ms in [-3_600_000, -5_000, 2, 5_000, 3_600_000] {
        for (proxy_count, load, anew) in [(1, 1.0, 1), (3, 1.5, 2), (30, 1.5, 1)] {
            let seed = u64::from(proxy_count) + 40;
            let worst = day_with_clocks(proxy_count, load, anew, seed, ahead_ms * MS as i64, Told::AsNews);
            let told =
                format!("seed {seed}: {proxy_count} routers, {ahead_ms} ms ahead, {anew} anew: {worst:?}");
            assert!(worst.sent as f64 <= worst.budget, "{told}");
            assert!(worst.cold * 100 > worst.all, "{told}");
        }
    }
}

/// A router's wall clock is off as it starts, and its first list holds servers that have started just before: by a clock
/// ahead of theirs they count as warm for long. Nothing in the list tells such a start from an old one.
#[test]
fn a_server_that_started_just_before_a_router_with_a_clock_ahead_is_cold() {
    for ahead_ms in [-3_600_000, -60_000, 0, 3_600_000] {
        for (proxy_count, load, anew) in [(1, 1.0, 1), (3, 1.5, 2), (30, 1.5, 1)] {
            let seed = u64::from(proxy_count) + 60;
            let by = Told::ByTheFirstList;
            let worst = day_with_clocks(proxy_count, load, anew, seed, ahead_ms * MS as i64, by);
            let told =
                format!("seed {seed}: {proxy_count} routers, {ahead_ms} ms ahead, {anew} anew: {worst:?}");
            assert!(worst.sent as f64 <= worst.budget, "{told}");
        }
    }
}
