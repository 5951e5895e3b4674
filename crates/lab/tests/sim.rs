//! The simulation itself: the same day twice to the byte, days that hold the rules, and plans that shrink.

use sillfold_lab::sim::plan::{Family, Fault, Plan, What};
use sillfold_lab::sim::run;
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
        let fault = |at_ms, for_ms, what| Fault { at_ms, for_ms, what };
        let faults = vec![
            fault(1_000, 2_000, What::Room(1)),
            fault(1_500, 1_500, What::Hung(0)),
            fault(1_800, 2_500, What::Drain(0)),
            fault(2_000 + seed * 130, 300, What::ProxyKilled(0, seed * 3)),
            fault(2_500, 1_000, What::ProxyReplaced(1)),
            fault(2_000, 3_000, What::Rude(1, 4)),
            fault(3_000, 1_500, What::Handover(0)),
        ];
        let family = [Family::Silent, Family::Bounce, Family::Await][seed as usize % 3];
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
            choppy: true,
            talk: false,
            blind: false,
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
        let plan = Plan::of(seed);
        let text = serde_json::to_string(&plan).expect("it is written");
        assert_eq!(sillfold_conf::parse::<Plan>("plan", &text), Ok(plan.clone()));
        let size = |p: &Plan| p.faults.len() + p.clients + usize::from(p.choppy) + usize::from(p.talk);
        assert!(plan.smaller().iter().all(|s| size(s) < size(&plan)));
        assert_eq!(Plan::of(seed), plan);
    }
    let wrong = sillfold_conf::parse::<Plan>("plan", r#"{"seed": 1, "proxies": 0}"#);
    assert!(wrong.is_err_and(|e| e[0].starts_with("plan:")));
}
