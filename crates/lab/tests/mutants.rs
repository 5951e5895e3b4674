//! Tests that each rule of the simulation detects a fault. Each test activates a mutant, a single wrong line in the code
//! of the proxy, and expects that the simulation reports the matching rule as broken; without the mutant no rule is
//! broken. The tests need `--features mutants`; without it there is nothing to run.
#![cfg(feature = "mutants")]

use sillfold::mutants;
use sillfold_lab::sim::deployment::{Access, Class, Deployment, Idempotency, LagCheck, SessionTokens};
use sillfold_lab::sim::plan::{Family, Fault, FaultKind, Plan};
use sillfold_lab::sim::run;

/// A plan of a small, busy fleet with these faults; nothing but its seed is drawn.
fn small_plan(seed: u64, family: Family, faults: Vec<Fault>) -> Plan {
    let (proxies, groups, members, clients, rest_ms) = (2, 1, 3, 10, 60);
    let (for_ms, partial_io, peer_messages, positions_from_probes_only) = (8_000, false, false, false);
    Plan {
        seed,
        family,
        proxies,
        groups,
        members,
        clients,
        rest_ms,
        for_ms,
        partial_io,
        peer_messages,
        positions_from_probes_only,
        deployment: None,
        faults,
    }
}

fn fault(at_ms: u64, for_ms: u64, kind: FaultKind) -> Fault {
    Fault { at_ms, for_ms, kind }
}

/// Checks on up to eight seeds that with the mutant the first broken rule is `rule`, and that without the mutant no rule
/// is broken. Stops at the first seed on which the mutant breaks a rule.
fn assert_rule_broken(name: &'static str, rule: &str, plan: &Plan) {
    for seed in plan.seed * 100..plan.seed * 100 + 8 {
        let plan = Plan { seed, ..plan.clone() };
        mutants::set("");
        let without_mutant = run(&plan, false);
        assert_eq!(without_mutant.broken, None, "{name}: without the mutant, seed {seed}");
        assert!(without_mutant.counts.served > 100, "{name}: {:?}", without_mutant.counts);
        mutants::set(name);
        let with_mutant = run(&plan, false);
        mutants::set("");
        let Some((broken, step, trace)) = with_mutant.broken else { continue };
        eprintln!(
            "{name}: seed {seed}, {} at {} us, step {step}: {}",
            broken.rule, broken.at, broken.description
        );
        trace.iter().for_each(|line| eprintln!("    {line}"));
        return assert_eq!(broken.rule, rule, "{name}: {}", broken.description);
    }
    panic!("{name}: no rule was broken");
}

#[test]
fn missing_final_answer_breaks_its_rule() {
    let faults = vec![
        fault(2_000, 3_000, FaultKind::PrimaryHandover(0)),
        fault(2_000, 3_000, FaultKind::HostErrors(0)),
    ];
    assert_rule_broken("no final answer", "one final answer in time", &small_plan(1, Family::Wait, faults));
}

#[test]
fn second_answer_breaks_its_rule() {
    assert_rule_broken(
        "closes unanswered",
        "one final answer in time",
        &small_plan(15, Family::Wait, vec![]),
    );
    assert_rule_broken("two answers", "one final answer in time", &small_plan(2, Family::Wait, vec![]));
}

#[test]
fn second_attempt_beside_one_in_flight_breaks_its_rule() {
    let faults = vec![
        fault(2_000, 3_000, FaultKind::SlowHost(1, 20)),
        fault(2_000, 3_000, FaultKind::SlowHost(0, 20)),
    ];
    assert_rule_broken("an attempt is left behind", "one attempt out", &small_plan(3, Family::Wait, faults));
}

#[test]
fn retry_of_a_write_that_may_have_run_breaks_its_rule() {
    let faults =
        vec![fault(1_500, 3_000, FaultKind::SlowHost(0, 10)), fault(2_000, 200, FaultKind::HostKilled(0))];
    assert_rule_broken(
        "a reset never ran",
        "no repeat beyond the class",
        &small_plan(4, Family::Wait, faults),
    );
}

#[test]
fn retry_after_the_deduplication_window_breaks_its_rule() {
    // The old primary is killed while it works on writes, and the new one takes over after the window of their keys.
    let faults = vec![
        fault(1_000, 950, FaultKind::SlowHost(0, 6)),
        fault(1_950, 250, FaultKind::HostKilled(0)),
        fault(1_950, 900, FaultKind::PrimaryHandover(0)),
    ];
    let plan = Plan { clients: 30, ..small_plan(5, Family::Wait, faults) };
    assert_rule_broken("keys are kept longer", "no repeat beyond the class", &plan);
}

#[test]
fn attempt_at_a_draining_host_breaks_its_rule() {
    let faults = vec![fault(2_000, 3_000, FaultKind::HostDrain(1))];
    assert_rule_broken(
        "deaf to drains",
        "nothing new to a draining host",
        &small_plan(6, Family::Wait, faults),
    );
}

/// A manual override must bind the process that starts after a kill, also if no other process runs that could pass it on.
/// `override_not_passed_to_a_new_version_breaks_its_rule` covers the exchange between two processes.
#[test]
fn attempt_at_a_host_left_out_by_override_breaks_its_rule() {
    let faults = vec![
        fault(1_500, 4_500, FaultKind::HostOverride(0, 1)),
        fault(3_000, 300, FaultKind::ProxyKilled(0, 5)),
    ];
    assert_rule_broken(
        "files are not read",
        "nothing new to a draining host",
        &small_plan(13, Family::Wait, faults),
    );
}

#[test]
fn overload_of_a_cold_host_breaks_its_rule() {
    let faults = vec![fault(2_000, 1_000, FaultKind::HostKilled(1))];
    let plan = Plan { proxies: 4, clients: 40, rest_ms: 15, ..small_plan(7, Family::Wait, faults) };
    assert_rule_broken("cold is warm", "no cold host tipped over", &plan);
}

/// Reads and writes of both proxies are sometimes interrupted by signals.
#[test]
fn close_after_an_interrupted_call_breaks_its_rule() {
    let faults = (0..2).map(|proxy| fault(0, 20_000, FaultKind::Interruptions(proxy))).collect();
    assert_rule_broken(
        "interruptions end connections",
        "no close over what was sent",
        &small_plan(30, Family::Wait, faults),
    );
}

/// All proxies start with clocks that are an hour behind; then a host starts, whose clock is right. A proxy that compares
/// the two clocks takes the cold host for a warm one.
#[test]
fn start_time_by_another_clock_breaks_the_rule_on_cold_hosts() {
    let steps = (0..4).map(|proxy| fault(0, 60_000, FaultKind::ClockStep(proxy, -3_600_000)));
    let starts = (0..4).map(|proxy| fault(300, 200, FaultKind::ProxyKilled(proxy, 5)));
    let faults = steps.chain(starts).chain([fault(2_000, 1_000, FaultKind::HostKilled(1))]).collect();
    let plan = Plan { proxies: 4, clients: 40, rest_ms: 15, ..small_plan(29, Family::Wait, faults) };
    assert_rule_broken("starts are believed", "no cold host tipped over", &plan);
}

#[test]
fn stale_read_breaks_its_rule() {
    let faults = vec![
        fault(2_000, 4_000, FaultKind::ReplicaLag(1, 3_000)),
        fault(2_000, 4_000, FaultKind::ReplicaLag(2, 3_000)),
    ];
    assert_rule_broken("positions run ahead", "no stale read", &small_plan(8, Family::Unchecked, faults));
    // Guards against a former fault of the proxy, found by seed 1955: reads were sent to a former primary as if it still
    // were the primary.
    let handovers =
        (0..16u64).map(|n| fault(1_000 + 400 * n, 300, FaultKind::PrimaryHandover(n as usize % 4)));
    let lags = (0..12).map(|host| fault(900, 7_000, FaultKind::ReplicaLag(host, 2_000)));
    let faults = lags.chain(handovers).collect();
    let plan =
        Plan { proxies: 3, groups: 4, rest_ms: 400, clients: 4, ..small_plan(14, Family::Unchecked, faults) };
    assert_rule_broken("stale answers pass", "no stale read", &plan);
}

/// A forged peer reports false positions. A proxy that believes them passes on stale reads where hosts do not check and
/// answers carry no positions.
#[test]
fn trust_in_forged_positions_of_a_peer_breaks_the_rule_on_stale_reads() {
    let faults = vec![
        fault(1_000, 6_000, FaultKind::ReplicaLag(1, 3_000)),
        fault(1_000, 6_000, FaultKind::ReplicaLag(2, 3_000)),
        fault(1_500, 5_000, FaultKind::ForgedPeer(1)),
    ];
    let plan = Plan {
        peer_messages: true,
        positions_from_probes_only: true,
        ..small_plan(16, Family::Unchecked, faults)
    };
    assert_rule_broken("peers are believed", "no stale read", &plan);
}

#[test]
fn answer_to_another_request_breaks_its_rule() {
    let faults = vec![
        fault(2_000, 3_000, FaultKind::SlowHost(1, 30)),
        fault(2_000, 3_000, FaultKind::SlowHost(2, 30)),
    ];
    assert_rule_broken("late answers stay", "no answer nobody made", &small_plan(9, Family::Wait, faults));
}

#[test]
fn leaked_slots_and_descriptors_break_their_rule() {
    assert_rule_broken("places are kept", "everything is given back", &small_plan(10, Family::Wait, vec![]));
    let faults =
        vec![fault(2_000, 500, FaultKind::HostKilled(1)), fault(4_000, 500, FaultKind::HostKilled(2))];
    assert_rule_broken(
        "descriptors are kept",
        "everything is given back",
        &small_plan(11, Family::Wait, faults),
    );
}

/// Clients send parts of long statements, for which memory is reserved.
#[test]
fn memory_that_stays_reserved_breaks_its_rule() {
    let faults = vec![fault(1_000, 4_000, FaultKind::MisbehavingClients(0, 4))];
    let plan = small_plan(13, Family::Wait, faults);
    assert_rule_broken("reservations are kept", "everything is given back", &plan);
}

#[test]
fn proxy_that_does_not_stop_breaks_its_rule() {
    let faults = vec![fault(2_000, 500, FaultKind::ProxyReplaced(0))];
    assert_rule_broken("never stops", "nothing waits for ever", &small_plan(12, Family::Wait, faults));
}

/// All watches fall silent, and a host drains afterwards.
#[test]
fn silent_watch_that_is_kept_breaks_the_rule_on_draining_hosts() {
    let faults =
        vec![fault(1_000, 0, FaultKind::SilentWatches), fault(1_500, 12_000, FaultKind::HostDrain(1))];
    let plan = Plan { for_ms: 14_000, ..small_plan(17, Family::Wait, faults) };
    assert_rule_broken("silent watches are kept", "nothing new to a draining host", &plan);
}

/// Discovery is unreachable for a while, and reachable again before a host drains.
#[test]
fn long_delay_between_discovery_calls_breaks_the_rule_on_draining_hosts() {
    let faults = vec![
        fault(1_000, 6_000, FaultKind::DiscoveryUnreachable(0)),
        fault(1_000, 6_000, FaultKind::DiscoveryUnreachable(1)),
        fault(7_500, 9_000, FaultKind::HostDrain(1)),
    ];
    let plan = Plan { for_ms: 18_000, ..small_plan(18, Family::Wait, faults) };
    assert_rule_broken("turns are long", "nothing new to a draining host", &plan);
}

/// Writes wait for a primary, and their clients disconnect.
#[test]
fn attempt_for_a_disconnected_client_breaks_its_rule() {
    let faults = vec![
        fault(1_500, 1_500, FaultKind::PrimaryHandover(0)),
        fault(4_500, 1_500, FaultKind::PrimaryHandover(0)),
    ];
    let plan = Plan { clients: 40, rest_ms: 20, ..small_plan(19, Family::Wait, faults) };
    assert_rule_broken("departures are not seen", "nothing begun for a client that left", &plan);
}

/// A proxy is replaced again and again while many clients send requests.
#[test]
fn close_over_a_received_request_breaks_its_rule() {
    let faults: Vec<Fault> =
        (0..8u64).map(|n| fault(800 + 800 * n, 300, FaultKind::ProxyReplaced(0))).collect();
    let plan = Plan { clients: 60, rest_ms: 10, ..small_plan(20, Family::Wait, faults) };
    assert_rule_broken("closes at once", "no close over what was sent", &plan);
}

#[test]
fn late_readiness_breaks_its_rule() {
    let faults = vec![fault(2_000, 300, FaultKind::ProxyKilled(0, 5))];
    let plan = Plan { for_ms: 14_000, ..small_plan(21, Family::Wait, faults) };
    assert_rule_broken("starts late", "ready in time", &plan);
}

/// Slow hosts work on requests for longer than a stop may take.
#[test]
fn stop_with_open_requests_breaks_its_rule() {
    let slow = (0..3).map(|host| fault(1_500, 5_000, FaultKind::SlowHost(host, 400)));
    let replaced = (0..6).map(|proxy| fault(2_500, 500, FaultKind::ProxyReplaced(proxy)));
    let plan =
        Plan { proxies: 6, clients: 40, ..small_plan(22, Family::Wait, slow.chain(replaced).collect()) };
    assert_rule_broken("stops with requests open", "everything is given back", &plan);
}

/// A deployment whose proxies track the writes of sessions, and whose replicas do not check their lag and are this far
/// behind.
fn with_tracked_writes(replication_delay_ms: u64) -> Deployment {
    let class = |name: &str, access, deadline_ms, share| Class {
        name: name.into(),
        access,
        idempotency: Idempotency::Idempotent,
        deadline_ms,
        aim_ms: deadline_ms / 2,
        worth: 3.0,
        late_worth: 0.5,
        aim_stretch: 0.0,
        work_us: 4_000.0,
        share,
    };
    let classes = vec![
        class("write", Access::Write, 400, 0.05),
        class("own", Access::SessionRead, 2_000, 0.65),
        class("recent", Access::BoundedRead(500), 1_500, 0.3),
    ];
    Deployment {
        tokens: SessionTokens::TrackedByProxy,
        lag_check: LagCheck::Unchecked,
        replication_delay_ms,
        dial_timeout_ms: 1_500,
        classes,
        ..Deployment::default()
    }
}

/// A plan of a small fleet with this deployment and these faults.
fn plan_with_deployment(seed: u64, deployment: Deployment, faults: Vec<Fault>) -> Plan {
    Plan { deployment: Some(deployment), rest_ms: 120, ..small_plan(seed, Family::Unchecked, faults) }
}

/// The answers to writes are lost, so their attempts end without an answer.
#[test]
fn forgotten_write_of_unknown_result_breaks_the_rule_on_stale_reads() {
    let faults = vec![fault(1_000, 6_000, FaultKind::LostAnswers(0, 50))];
    assert_rule_broken(
        "unknown writes are forgotten",
        "no stale read",
        &plan_with_deployment(23, with_tracked_writes(1_000), faults),
    );
}

/// Reads wait for connections that are established late, while their own session writes.
#[test]
fn session_position_as_of_arrival_breaks_the_rule_on_stale_reads() {
    let faults: Vec<Fault> = [1, 2].map(|host| fault(0, 8_000, FaultKind::LateSessions(host, 900))).into();
    assert_rule_broken(
        "sessions are read at arrival",
        "no stale read",
        &plan_with_deployment(24, with_tracked_writes(700), faults),
    );
}

/// The answers to writes are delayed.
#[test]
fn ignored_write_in_flight_breaks_the_rule_on_stale_reads() {
    let faults = vec![fault(1_000, 6_000, FaultKind::DelayedAnswers(0, 50, 300))];
    assert_rule_broken(
        "writes in progress are ignored",
        "no stale read",
        &plan_with_deployment(25, with_tracked_writes(1_000), faults),
    );
}

/// Connections are established so late that the host no longer fits the request for which it was chosen.
#[test]
fn attempt_without_a_check_at_its_start_breaks_the_rule_on_stale_reads() {
    let faults: Vec<Fault> = [1, 2].map(|host| fault(0, 8_000, FaultKind::LateSessions(host, 900))).into();
    assert_rule_broken(
        "attempts begin unchecked",
        "no stale read",
        &plan_with_deployment(26, with_tracked_writes(700), faults),
    );
}

/// A former primary reports its new role and then nothing more; its later answers end before their status parameters.
#[test]
fn role_read_only_at_the_end_of_an_answer_breaks_the_rule_on_stale_reads() {
    let faults = vec![
        fault(2_900, 5_000, FaultKind::ReplicaLag(0, 5_000)),
        fault(2_950, 350, FaultKind::RoleOnlyAnswers(0, 100)),
        fault(3_000, 5_000, FaultKind::PrimaryHandover(0)),
        fault(3_300, 3_000, FaultKind::CutAnswers(0, 100)),
    ];
    assert_rule_broken(
        "notes wait for the answer's end",
        "no stale read",
        &plan_with_deployment(27, with_tracked_writes(1_000), faults),
    );
}

/// Answers to writes end after the completion of their command. No stale read shows this fault: while such an attempt
/// waits, the reads of its session go to the primary, and when it ends the write counts as committed.
#[test]
fn withheld_complete_answer_breaks_its_rule() {
    let faults = vec![fault(1_000, 6_000, FaultKind::CutAnswers(0, 60))];
    let plan = plan_with_deployment(28, with_tracked_writes(1_000), faults);
    assert_rule_broken("answers wait for readiness", "no complete answer is withheld", &plan);
}

/// A new version starts while the folder of overrides cannot be read, and the process beside it passes none on.
#[test]
fn override_not_passed_to_a_new_version_breaks_its_rule() {
    let faults = vec![
        fault(1_000, 6_000, FaultKind::HostOverride(0, 1)),
        fault(2_000, 2_500, FaultKind::DiskUnreadable(0)),
        fault(2_200, 3_000, FaultKind::ProxyReplaced(0)),
    ];
    let plan = Plan { proxies: 1, clients: 20, rest_ms: 40, ..small_plan(50, Family::Wait, faults) };
    assert_rule_broken("orders are not told", "nothing new to a draining host", &plan);
}

#[test]
fn turn_without_an_end_breaks_its_rule() {
    let faults = vec![fault(2_000, 300, FaultKind::FloodingClients(0, 12))];
    assert_rule_broken("turns have no end", "no task holds the core", &small_plan(41, Family::Wait, faults));
}

/// Clients send the ids of others' requests while a new version runs beside the old one.
#[test]
fn foreign_id_served_over_an_upgrade_breaks_its_rule() {
    let faults = vec![
        fault(1_500, 5_500, FaultKind::ForeignIds(0, 8)),
        fault(2_000, 3_000, FaultKind::ProxyReplaced(0)),
    ];
    let plan = Plan { clients: 30, ..small_plan(60, Family::Wait, faults) };
    assert_rule_broken("ids are not shared", "an id has one holder", &plan);
}

/// The first of two writes of a pipeline has a long value, behind which its host commits.
#[test]
fn write_before_the_commit_of_the_one_before_breaks_its_rule() {
    let faults = vec![
        fault(1_000, 6_000, FaultKind::PipeliningClients(0, 6)),
        fault(1_500, 5_000, FaultKind::SlowHost(3, 8)),
    ];
    let plan = Plan { groups: 2, ..small_plan(61, Family::Wait, faults) };
    assert_rule_broken("a value's head ends a write", "the last write stays", &plan);
}
