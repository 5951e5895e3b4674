//! The simulation itself: the same day twice to the byte, days that hold the rules, and plans that shrink.

use sillfold_lab::sim::deployment::{
    Access, DedupScope, Deployment, Idempotency, LagCheck, ListRole, MAX_CLASSES, MAX_ZONES, SessionTokens,
};
use sillfold_lab::sim::plan::{Family, Fault, FaultKind, Plan};
use sillfold_lab::sim::run;
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::process::Command;

/// In two processes: an address, a thread or the order of a hash map that leaks in shows.
#[test]
fn one_seed_is_one_day_to_the_byte() {
    let replay = |seed: &str| {
        let program = env!("CARGO_BIN_EXE_sillfold-lab");
        let done = Command::new(program).args(["sim", "--replay", seed]).output().expect("it runs");
        assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
        done.stdout
    };
    let (first, second, other) = (replay("3"), replay("3"), replay("4"));
    assert!(first.len() > 10_000 && first == second && first != other);
}

/// A room that comes back cold while a primary hangs and a proxy is killed in the middle of its work: the hard
/// cases together, on several seeds, with all that is cut into parts.
#[test]
fn rules_hold_while_a_room_returns_cold_beside_a_hung_primary_and_a_killed_proxy() {
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
        let c = outcome.counts;
        assert!(c.served > 300 && c.errors > 0 && c.attempts > c.served, "seed {seed}: {c:?}");
    }
}

#[test]
fn a_plan_is_read_back_as_it_was_written_and_shrinks() {
    for seed in 1..50 {
        let plan = Plan::from_seed(seed);
        let text = serde_json::to_string(&plan).expect("it is written");
        assert_eq!(sillfold_conf::parse::<Plan>("plan", &text), Ok(plan.clone()));
        let size =
            |p: &Plan| p.faults.len() + p.clients + usize::from(p.partial_io) + usize::from(p.peer_messages);
        assert!(plan.smaller().iter().all(|s| size(s) < size(&plan)));
        assert_eq!(Plan::from_seed(seed), plan);
    }
    let wrong = sillfold_conf::parse::<Plan>("plan", r#"{"seed": 1, "proxies": 0}"#);
    assert!(wrong.is_err_and(|e| e[0].starts_with("plan:")));
}

/// The seeds whose deployments have to hold every pair of settings.
const SEEDS: std::ops::Range<u64> = 1..401;

/// How many values, or pairs of values, of the deployments' settings occur.
fn count<T: Debug>(of: impl Fn(&Deployment) -> T) -> usize {
    let values: BTreeSet<String> =
        SEEDS.filter_map(|seed| Plan::from_seed(seed).deployment).map(|d| format!("{:?}", of(&d))).collect();
    eprintln!("{values:?}");
    values.len()
}

/// A check without how long it waits.
fn check(d: &Deployment) -> &'static str {
    d.lag_check.name()
}

/// A way of listing roles without how late it is.
fn list_role(d: &Deployment) -> &'static str {
    d.list_role.name()
}

#[test]
fn every_pair_of_settings_is_drawn() {
    assert_eq!(count(|d| (d.tokens, check(d))), 2 * 3);
    assert_eq!(count(|d| (d.tokens, list_role(d))), 2 * 3);
    assert_eq!(count(|d| (check(d), d.answer_positions)), 3 * 2);
    assert_eq!(count(|d| (d.probes, d.answer_positions)), 2 * 2);
    assert_eq!(count(|d| (d.tokens, d.synchronous_commit)), 2 * 2);
    assert_eq!(count(|d| (check(d), list_role(d))), 3 * 3);
    assert_eq!(count(|d| (check(d), d.probes)), 3 * 2);
    assert_eq!(count(|d| (d.cancel, d.max_retry_after_ms > 0)), 2 * 2);
    assert_eq!(count(|d| d.classes.len()), MAX_CLASSES);
    assert_eq!(count(|d| d.zones), MAX_ZONES);
    assert_eq!(count(|d| d.max_attempts), 10);
}

/// Each kind of class and of repeat, under each way in which sessions' writes are known; and tiers of any size.
#[test]
fn every_kind_of_class_and_every_size_of_tier_is_drawn() {
    let plans: Vec<Plan> = SEEDS.map(Plan::from_seed).collect();
    let named = plans.iter().filter_map(|p| Some(p.deployment.as_ref()?.named_proxies));
    assert!(named.clone().any(|n| n == 1) && named.clone().any(|n| n > 300));
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

/// Plans of before there were deployments load, and mean what they did.
#[test]
fn a_plan_without_a_deployment_is_that_of_six_classes() {
    let text = r#"{"seed": 7, "family": "bounce", "proxies": 2, "groups": 1, "members": 3, "clients": 4,
        "rest_ms": 60, "for_ms": 3000, "choppy": false, "blind": true,
        "faults": [{"at_ms": 500, "what": "watches_hushed"}, {"at_ms": 600, "for_ms": 9, "what": {"liar": 1}}]}"#;
    let plan = sillfold_conf::parse::<Plan>("plan", text).expect("it is read");
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

/// A primary that has handed over answers from data that are too old: the answer is not passed on, and the request, which
/// must not run twice, is not sent again.
#[test]
fn a_read_whose_answer_is_too_old_does_not_run_twice() {
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

/// The folder cannot be read for longer than the grace of a drain while a new version starts beside one that has the order.
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
