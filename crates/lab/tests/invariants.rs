//! The proxies' own invariants: each catches a wrong line in what decides, on order, and none is broken without one. Run
//! with `--features mutants`; without it there is nothing to run.
#![cfg(feature = "mutants")]

use sillfold::invariants::Violation;
use sillfold::mutants;
use sillfold_lab::sim::deployment::{Access, Class, DedupScope, Deployment, Idempotency, LagCheck};
use sillfold_lab::sim::plan::{Family, Fault, FaultKind, Plan};
use sillfold_lab::sim::run;

fn fault(at_ms: u64, for_ms: u64, kind: FaultKind) -> Fault {
    Fault { at_ms, for_ms, kind }
}

fn class(name: &str, access: Access, idempotency: Idempotency, deadline_ms: u64, share: f64) -> Class {
    Class {
        name: name.into(),
        access,
        idempotency,
        deadline_ms,
        aim_ms: deadline_ms / 2,
        worth: 3.0,
        late_worth: 0.5,
        aim_stretch: 0.0,
        work_us: 4_000.0,
        share,
    }
}

/// A small fleet in which connections may take long to come up, with writes that must not run twice.
fn day(seed: u64, faults: Vec<Fault>) -> Plan {
    let keyed = Idempotency::Keyed(DedupScope::Group, 300);
    let classes = vec![
        class("read", Access::AnyRead, Idempotency::Idempotent, 2_500, 0.5),
        class("keyed", Access::Write, keyed, 2_500, 0.3),
        class("once", Access::Write, Idempotency::NotIdempotent, 1_500, 0.2),
    ];
    let deployment = Deployment {
        dial_timeout_ms: 1_600,
        lag_check: LagCheck::Reject,
        max_attempts: 8,
        classes,
        ..Deployment::standard(Family::Wait, false)
    };
    Plan {
        seed,
        family: Family::Wait,
        proxies: 2,
        groups: 1,
        members: 3,
        clients: 20,
        rest_ms: 60,
        for_ms: 8_000,
        partial_io: false,
        peer_messages: false,
        positions_from_probes_only: false,
        deployment: Some(deployment),
        faults,
    }
}

/// The wrong line makes a proxy count this on one of some seeds; without it none counts anything on any.
fn counted(name: &'static str, violation: Violation, plan: &Plan) {
    let mut found = 0;
    for seed in plan.seed * 100..plan.seed * 100 + 8 {
        let plan = Plan { seed, ..plan.clone() };
        mutants::set("");
        let well = run(&plan, false);
        assert_eq!((well.broken, well.violations.len()), (None, 0), "{name}: without it, seed {seed}");
        assert!(well.counts.served > 100, "{name}: {:?}", well.counts);
        mutants::set(name);
        let wrong = run(&plan, false);
        mutants::set("");
        found += wrong.violations.get(&violation).copied().unwrap_or(0);
    }
    assert!(found > 0, "{name}: no proxy counted {violation:?}");
    eprintln!("{name}: {violation:?} counted {found} times");
}

/// Connections come up late, at proxies that are held up while their clients leave.
#[test]
fn an_attempt_that_starts_for_a_client_that_left() {
    let late = (0..3).map(|host| fault(0, 8_000, FaultKind::LateSessions(host, 400)));
    let held_up = (0..2).map(|proxy| fault(0, 8_000, FaultKind::WriteDelays(proxy, 8)));
    let plan = Plan { rest_ms: 20, clients: 40, ..day(101, late.chain(held_up).collect()) };
    counted("departures are not asked for", Violation::StartedForDeparted, &plan);
}

/// Connections come up so late that their host has drained for long.
#[test]
fn an_attempt_that_starts_at_a_host_that_drains() {
    let late = (0..3).map(|host| fault(0, 8_000, FaultKind::LateSessions(host, 1_500)));
    let drains = (0..3u64).map(|n| fault(1_500 + 1_500 * n, 1_300, FaultKind::HostDrain(1 + n as usize % 2)));
    let plan = day(102, late.chain(drains).collect());
    counted("drains are not asked for", Violation::StartedAtDraining, &plan);
}

/// The primary says nonsense now and then, and connections for repeats come up when keys are forgotten.
#[test]
fn a_repeat_that_starts_when_its_key_is_forgotten() {
    let late = fault(0, 8_000, FaultKind::LateSessions(0, 1_200));
    let nonsense = (0..12u64).map(|n| fault(500 + 600 * n, 100, FaultKind::InvalidAnswers(0)));
    let plan = Plan { clients: 40, ..day(103, nonsense.chain([late]).collect()) };
    counted("attempts begin unchecked", Violation::RepeatedTooLate, &plan);
}

#[test]
fn an_attempt_that_is_ordered_while_another_is_out() {
    counted("attempts are ordered twice", Violation::SecondAttempt, &day(104, vec![]));
}

#[test]
fn an_attempt_that_tells_more_time_than_its_client_has() {
    counted("patience grows", Violation::PatienceExceeded, &day(105, vec![]));
}

/// Writes that must not run twice fail, and are refused.
#[test]
fn a_refusal_of_what_may_have_run() {
    let faults = vec![fault(1_000, 6_000, FaultKind::HostErrors(0))];
    counted("refusals promise anything", Violation::RefusedAfterRun, &day(106, faults));
}

#[test]
fn a_connection_that_is_closed_with_a_request_unanswered() {
    counted("closes unanswered", Violation::ClosedUnanswered, &day(107, vec![]));
}
