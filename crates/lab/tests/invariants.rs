//! Tests of the proxies' own invariants. Each test activates a mutant, a single wrong line in the code that decides, and
//! expects that a proxy counts the matching violation; without the mutant no proxy counts any. The tests need
//! `--features mutants`; without it there is nothing to run.
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

/// A plan of a small fleet with a long dial timeout and with writes that must not run twice.
fn small_plan(seed: u64, faults: Vec<Fault>) -> Plan {
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

/// Checks on eight seeds that with the mutant a proxy counts the violation on at least one, and that without the mutant no
/// rule is broken and no proxy counts any violation.
fn assert_violation_counted(name: &'static str, violation: Violation, plan: &Plan) {
    let mut count = 0;
    for seed in plan.seed * 100..plan.seed * 100 + 8 {
        let plan = Plan { seed, ..plan.clone() };
        mutants::set("");
        let without_mutant = run(&plan, false);
        assert_eq!(
            (without_mutant.broken, without_mutant.violations.len()),
            (None, 0),
            "{name}: without the mutant, seed {seed}"
        );
        assert!(without_mutant.counts.served > 100, "{name}: {:?}", without_mutant.counts);
        mutants::set(name);
        let with_mutant = run(&plan, false);
        mutants::set("");
        count += with_mutant.violations.get(&violation).copied().unwrap_or(0);
    }
    assert!(count > 0, "{name}: no proxy counted {violation:?}");
    eprintln!("{name}: {violation:?} counted {count} times");
}

/// Connections to hosts are established late, by proxies whose writes are delayed while their clients disconnect.
#[test]
fn attempt_for_a_disconnected_client_is_counted() {
    let late_sessions = (0..3).map(|host| fault(0, 8_000, FaultKind::LateSessions(host, 400)));
    let write_delays = (0..2).map(|proxy| fault(0, 8_000, FaultKind::WriteDelays(proxy, 8)));
    let plan =
        Plan { rest_ms: 20, clients: 40, ..small_plan(101, late_sessions.chain(write_delays).collect()) };
    assert_violation_counted("departures are not asked for", Violation::StartedForDeparted, &plan);
}

/// Connections are established so late that their host has been draining for longer than the grace.
#[test]
fn attempt_at_a_draining_host_is_counted() {
    let late_sessions = (0..3).map(|host| fault(0, 8_000, FaultKind::LateSessions(host, 1_500)));
    let drains = (0..3u64).map(|n| fault(1_500 + 1_500 * n, 1_300, FaultKind::HostDrain(1 + n as usize % 2)));
    let plan = small_plan(102, late_sessions.chain(drains).collect());
    assert_violation_counted("drains are not asked for", Violation::StartedAtDraining, &plan);
}

/// The primary sends invalid answers now and then, and the connections of retries are established after the deduplication
/// window of their keys.
#[test]
fn retry_after_the_deduplication_window_is_counted() {
    let late_sessions = fault(0, 8_000, FaultKind::LateSessions(0, 1_200));
    let invalid_answers = (0..12u64).map(|n| fault(500 + 600 * n, 100, FaultKind::InvalidAnswers(0)));
    let plan = Plan { clients: 40, ..small_plan(103, invalid_answers.chain([late_sessions]).collect()) };
    assert_violation_counted("attempts begin unchecked", Violation::RepeatedTooLate, &plan);
}

#[test]
fn second_attempt_beside_one_in_flight_is_counted() {
    assert_violation_counted(
        "attempts are ordered twice",
        Violation::SecondAttempt,
        &small_plan(104, vec![]),
    );
}

#[test]
fn attempt_with_a_longer_deadline_than_its_client_is_counted() {
    assert_violation_counted("patience grows", Violation::PatienceExceeded, &small_plan(105, vec![]));
}

/// Writes that must not run twice fail at their host, and the proxy refuses them although they may have run.
#[test]
fn refusal_of_a_write_that_may_have_run_is_counted() {
    let faults = vec![fault(1_000, 6_000, FaultKind::HostErrors(0))];
    assert_violation_counted(
        "refusals promise anything",
        Violation::RefusedAfterRun,
        &small_plan(106, faults),
    );
}

#[test]
fn close_with_an_unanswered_request_is_counted() {
    assert_violation_counted("closes unanswered", Violation::ClosedUnanswered, &small_plan(107, vec![]));
}
