//! Tests of the simulation itself: replays are identical, rules hold under combined faults, plans are read back and
//! shrunk, and the drawn deployments cover all pairs of settings.

use sillfold_lab::sim::deployment::{
    Access, DedupScope, Deployment, Idempotency, LagCheck, ListRole, MAX_CLASSES, MAX_ZONES, SessionTokens,
};
use sillfold_lab::sim::plan::{Family, Fault, FaultKind, Plan};
use sillfold_lab::sim::run;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::process::Command;

/// Replays run in separate processes, so that an address, a thread or the order of a hash map that affects a run shows.
#[test]
fn replays_of_a_seed_are_identical() {
    let replay = |seed: &str| {
        let program = env!("CARGO_BIN_EXE_sillfold-lab");
        let done =
            Command::new(program).args(["sim", "--replay", seed]).output().expect("sillfold-lab starts");
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
        done.stdout
    };
    let (first, second, other) = (replay("3"), replay("3"), replay("4"));
    assert!(first.len() > 10_000 && first == second && first != other);
}

/// Combines the hardest faults on several seeds, with partial reads and writes: the hosts of a zone lose power and return
/// cold, a primary hangs, a host drains, a primary is handed over, a proxy is killed during its work, another is replaced,
/// and clients misbehave.
#[test]
fn rules_hold_under_combined_faults() {
    for seed in 1..=6 {
        let fault = |at_ms, for_ms, kind| Fault { at_ms, for_ms, kind };
        let faults = vec![
            fault(1_000, 2_000, FaultKind::ZonePowerLoss(1)),
            fault(1_500, 1_500, FaultKind::HostHung(0)),
            fault(1_800, 2_500, FaultKind::HostDrain(0)),
            fault(2_000 + seed * 130, 300, FaultKind::ProxyKilled(0, seed * 3)),
            fault(2_500, 1_000, FaultKind::ProxyReplaced(1)),
            fault(2_000, 3_000, FaultKind::MisbehavingClients(1, 4)),
            fault(3_000, 1_500, FaultKind::PrimaryHandover(0)),
        ];
        let family = [Family::Unchecked, Family::Reject, Family::Wait][seed as usize % 3];
        let (proxies, groups, members, clients, rest_ms) = (2, 2, 4, 12, 80);
        let plan = Plan {
            seed,
            family,
            proxies,
            groups,
            members,
            clients,
            rest_ms,
            for_ms: 7_000,
            partial_io: true,
            peer_messages: false,
            positions_from_probes_only: false,
            deployment: None,
            faults,
        };
        let outcome = run(&plan, false);
        assert_eq!(outcome.broken, None, "seed {seed}");
        let counts = outcome.counts;
        assert!(
            counts.served > 300 && counts.errors > 0 && counts.attempts > counts.served,
            "seed {seed}: {counts:?}"
        );
    }
}

#[test]
fn plan_round_trips_through_json_and_shrinks() {
    for seed in 1..50 {
        let plan = Plan::from_seed(seed);
        let text = serde_json::to_string(&plan).expect("a plan is serialised");
        assert_eq!(sillfold_conf::parse::<Plan>("plan", &text), Ok(plan.clone()));
        let size =
            |p: &Plan| p.faults.len() + p.clients + usize::from(p.partial_io) + usize::from(p.peer_messages);
        assert!(plan.smaller().iter().all(|smaller| size(smaller) < size(&plan)));
        assert_eq!(Plan::from_seed(seed), plan);
    }
    let incomplete = sillfold_conf::parse::<Plan>("plan", r#"{"seed": 1, "proxies": 0}"#);
    assert!(incomplete.is_err_and(|e| e[0].starts_with("plan:")));
}

/// The seeds whose deployments must together contain every pair of settings.
const SEEDS: std::ops::Range<u64> = 1..401;

/// Counts the distinct values, or pairs of values, that `setting` returns for the deployments of [`SEEDS`].
fn count_distinct<T: Debug>(setting: impl Fn(&Deployment) -> T) -> usize {
    let values: BTreeSet<String> = SEEDS
        .filter_map(|seed| Plan::from_seed(seed).deployment)
        .map(|d| format!("{:?}", setting(&d)))
        .collect();
    eprintln!("{values:?}");
    values.len()
}

/// The kind of lag check, without its wait.
fn lag_check(d: &Deployment) -> &'static str {
    d.lag_check.name()
}

/// The way in which the list reports roles, without its delay.
fn list_role(d: &Deployment) -> &'static str {
    d.list_role.name()
}

#[test]
fn seeds_cover_every_pair_of_settings() {
    assert_eq!(count_distinct(|d| (d.tokens, lag_check(d))), 2 * 3);
    assert_eq!(count_distinct(|d| (d.tokens, list_role(d))), 2 * 3);
    assert_eq!(count_distinct(|d| (lag_check(d), d.answer_positions)), 3 * 2);
    assert_eq!(count_distinct(|d| (d.probes, d.answer_positions)), 2 * 2);
    assert_eq!(count_distinct(|d| (d.tokens, d.synchronous_commit)), 2 * 2);
    assert_eq!(count_distinct(|d| (lag_check(d), list_role(d))), 3 * 3);
    assert_eq!(count_distinct(|d| (lag_check(d), d.probes)), 3 * 2);
    assert_eq!(count_distinct(|d| (d.cancel, d.max_retry_after_ms > 0)), 2 * 2);
    assert_eq!(count_distinct(|d| d.classes.len()), MAX_CLASSES);
    assert_eq!(count_distinct(|d| d.zones), MAX_ZONES);
    assert_eq!(count_distinct(|d| d.max_attempts), 10);
}

/// The seeds cover every access and idempotency of classes with both kinds of session tokens, and small and large numbers
/// of proxies.
#[test]
fn seeds_cover_every_kind_of_class_and_sizes_of_tiers() {
    let plans: Vec<Plan> = SEEDS.map(Plan::from_seed).collect();
    let named = plans.iter().filter_map(|p| Some(p.deployment.as_ref()?.named_proxies));
    assert!(named.clone().any(|proxies| proxies == 1) && named.clone().any(|proxies| proxies > 300));
    assert!(plans.iter().any(|p| p.proxies > 100) && plans.iter().all(|p| p.proxies < 4 || p.clients == 1));
    let mut kinds = BTreeSet::new();
    for plan in &plans {
        let d = plan.deployment();
        assert!(d.named_proxies >= plan.proxies, "seed {}", plan.seed);
        for class in &d.classes {
            let access = match class.access {
                Access::AnyRead => "any",
                Access::BoundedRead(_) => "bounded",
                Access::SessionRead => "session",
                Access::Write => "write",
            };
            let idempotency = match class.idempotency {
                Idempotency::Idempotent => "safe",
                Idempotency::NotIdempotent => "once",
                Idempotency::Keyed(DedupScope::All, _) => "all",
                Idempotency::Keyed(DedupScope::Zone, _) => "zone",
                Idempotency::Keyed(DedupScope::Group, _) => "group",
            };
            kinds.insert((d.tokens, access, idempotency));
        }
        let has = |access| d.classes.iter().any(|c| c.access == access);
        assert!(!has(Access::SessionRead) || has(Access::Write), "seed {}", plan.seed);
    }
    assert_eq!(kinds.len(), 2 * 4 * 5, "{kinds:?}");
}

/// Plans written before plans had deployments, with the former names of two faults, load with their former meaning.
#[test]
fn plan_without_deployment_gets_the_standard_one_of_six_classes() {
    let text = r#"{"seed": 7, "family": "bounce", "proxies": 2, "groups": 1, "members": 3, "clients": 4,
        "rest_ms": 60, "for_ms": 3000, "choppy": false, "blind": true,
        "faults": [{"at_ms": 500, "what": "watches_hushed"}, {"at_ms": 600, "for_ms": 9, "what": {"liar": 1}}]}"#;
    let plan = sillfold_conf::parse::<Plan>("plan", text).expect("the plan is parsed");
    assert_eq!(plan.faults[0].kind, FaultKind::SilentWatches);
    assert_eq!(plan.faults[1].kind, FaultKind::ForgedPeer(1));
    let d = plan.deployment();
    assert_eq!(
        (d.tokens, d.lag_check, d.list_role),
        (SessionTokens::FromClient, LagCheck::Reject, ListRole::Delayed(0))
    );
    assert_eq!((d.answer_positions, d.classes.len()), (false, 6));
    let settings = d.settings(1, plan.proxies, plan.peer_messages);
    assert!(sillfold::settings::parse(settings.to_string().as_bytes()).is_ok());
}

/// Guards against a second attempt at a request that is not idempotent. A former primary answers a read from data that are
/// too old: the proxy must not pass the answer on, and must not send the request again.
#[test]
fn read_with_a_stale_answer_is_not_retried_if_not_idempotent() {
    let handovers = (0..10u64).map(|n| (700 + 700 * n, 500, FaultKind::PrimaryHandover(0)));
    let lags = (0..3).map(|host| (600, 7_000, FaultKind::ReplicaLag(host, 2_000)));
    let faults: Vec<Fault> =
        handovers.chain(lags).map(|(at_ms, for_ms, kind)| Fault { at_ms, for_ms, kind }).collect();
    let mut deployment = Deployment {
        tokens: SessionTokens::TrackedByProxy,
        ..Deployment::standard(Family::Unchecked, false)
    };
    deployment.classes.iter_mut().for_each(|class| class.idempotency = Idempotency::NotIdempotent);
    let drawn = Plan::from_seed(1);
    for seed in 1..=24 {
        let plan = Plan {
            seed,
            proxies: 2,
            groups: 1,
            members: 3,
            clients: 12,
            rest_ms: 40,
            for_ms: 8_000,
            partial_io: false,
            peer_messages: false,
            deployment: Some(deployment.clone()),
            faults: faults.clone(),
            ..drawn.clone()
        };
        assert_eq!(run(&plan, false).broken, None, "seed {seed}");
    }
}

/// A manual override binds a new version that starts beside the one that received it, also while the new version cannot
/// read the folder of overrides for longer than the grace of a drain.
#[test]
fn an_order_by_hand_binds_a_version_that_starts_while_the_folder_cannot_be_read() {
    let fault = |at_ms, for_ms, kind| Fault { at_ms, for_ms, kind };
    let faults = vec![
        fault(1_000, 6_000, FaultKind::HostOverride(0, 1)),
        fault(2_000, 2_500, FaultKind::DiskUnreadable(0)),
        fault(2_200, 3_000, FaultKind::ProxyReplaced(0)),
    ];
    let plan = Plan {
        proxies: 1,
        groups: 1,
        members: 3,
        clients: 20,
        rest_ms: 40,
        for_ms: 8_000,
        faults,
        ..Plan::from_seed(1)
    };
    assert_eq!(run(&plan, false).broken, None);
}
