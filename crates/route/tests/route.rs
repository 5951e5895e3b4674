//! Decisions about plain statements, seen through the crate's public interface.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sillfold_route::sql::{Effect, FunctionAdditions, Functions, ParseLimits, StatementReader, analyze};
use sillfold_route::*;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

fn rule(name: &str) -> Rule {
    Rule {
        name: name.into(),
        reads: true,
        writes: false,
        tables: Vec::new(),
        cost: DurationRange::default(),
        tail: DurationRange::default(),
        users: BTreeSet::new(),
        databases: BTreeSet::new(),
        class: "browse".into(),
        deadline_ms: 800,
        group: GroupSelector::Constant(3),
    }
}

fn writing(name: &str) -> Rule {
    Rule { reads: false, writes: true, class: "ingest".into(), ..rule(name) }
}

fn tables(names: &[&str]) -> Vec<TablePattern> {
    names.iter().map(|n| TablePattern::new(n)).collect()
}

fn set(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|n| n.to_string()).collect()
}

fn router(rules: Vec<Rule>) -> StatementRouter {
    StatementRouter::new(Options { rules, ..Options::default() })
}

fn route(router: &mut StatementRouter, text: &str) -> Result<Route, RouteError> {
    let read = router.read(text).expect("a statement");
    router.route(&read, text, "web", "orders")
}

fn shape(text: &str) -> Shape {
    let mut reading = StatementReader::default();
    reading.read(text).expect("a statement");
    Shape::new(reading.shape(), analyze(reading.shape(), &Functions::default(), &ParseLimits::default()))
}

#[test]
fn the_first_rule_that_matches_gives_the_terms() {
    let rules = vec![
        Rule { tables: tables(&["logs", "app.*"]), group: GroupSelector::Constant(1), ..rule("logs") },
        Rule { users: set(&["web"]), databases: set(&["orders"]), deadline_ms: 70, ..rule("web") },
        Rule { class: "history".into(), ..rule("rest") },
        Rule { tables: tables(&["entries"]), ..writing("writes") },
    ];
    let mut router = router(rules);
    for (text, user, expected) in [
        ("SELECT 1 FROM logs", "web", Some(0)),
        ("SELECT 1 FROM public.logs", "web", Some(0)),
        ("SELECT 1 FROM logs JOIN app.hosts USING (id)", "x", Some(0)),
        ("SELECT 1 FROM logs, other", "x", Some(2)),
        ("SELECT 1 FROM app.a.b", "x", Some(2)),
        ("SELECT 1", "web", Some(1)),
        ("SELECT 1", "x", Some(2)),
        ("INSERT INTO entries VALUES (1)", "x", Some(3)),
        ("SELECT 1 FROM entries; SELECT 2 FROM entries", "x", Some(3)),
        ("INSERT INTO logs VALUES (1)", "x", None),
        ("SELECT nextval('s')", "x", None),
        ("DROP TABLE entries", "x", None),
    ] {
        let read = router.read(text).expect(text);
        let found = router.route(&read, text, user, "orders");
        assert_eq!(found.as_ref().ok().map(|r| r.rule_index), expected, "{text}: {found:?}");
        if let Ok(found) = found {
            assert_eq!(found.writes, expected == Some(3), "{text}");
        }
    }
}

#[test]
fn what_cannot_be_carried_is_refused_whatever_the_rules_say() {
    let everything = || vec![rule("reads"), writing("writes")];
    let mut lenient = router(everything());
    let mut strict = StatementRouter::new(Options {
        rules: everything(),
        allow_multiple_statements: false,
        ..Options::default()
    });
    for (text, what) in [
        ("BEGIN", "no transaction"),
        ("BEGIN; SELECT 1; COMMIT", "no transaction"),
        ("SET x = 1", "no state of a session"),
        ("SELECT set_config('a', 'b', false)", "no state of a session"),
        ("INSERT INTO t SELECT pg_advisory_lock(1)", "no state of a session"),
        ("COPY t TO STDOUT", "no data stream"),
    ] {
        for router in [&mut lenient, &mut strict] {
            match route(router, text) {
                Err(RouteError::NotSupported(why)) => assert!(why.contains(what), "{text}: {why}"),
                other => panic!("{text}: {other:?}"),
            }
        }
    }
    assert!(route(&mut lenient, "SELECT 1; SELECT 2").expect("to the primary").writes);
    assert!(matches!(route(&mut strict, "SELECT 1; SELECT 2"), Err(RouteError::NotSupported(_))));
    assert!(!route(&mut strict, "SELECT 1;").expect("one").writes);
    let refused = route(&mut router(vec![rule("reads")]), "DELETE FROM t WHERE a = 1");
    let Err(RouteError::NoRoute(why)) = refused else { panic!("{refused:?}") };
    assert!(["write", "tables t", "\"web\"", "DELETE"].iter().all(|p| why.contains(p)), "{why}");
}

#[test]
fn a_text_that_may_be_cut_otherwise_is_no_read_though_its_shape_is_one() {
    let mut router = router(vec![rule("reads"), writing("writes")]);
    assert!(!route(&mut router, "SELECT 'a' FROM t").expect("a read").writes);
    let read = router.read("SELECT 'a\\' FROM t").expect("a statement");
    assert!(read.cached && read.effect == Effect::Write, "{}", read.reason);
    assert!(route(&mut router, "SELECT 'a\\' FROM t").expect("a write").writes);
    assert!(!route(&mut router, "SELECT 'b' FROM t").expect("a read again").writes);
    // Nor does its literal give a group.
    let key = GroupSelector::ByKey { column: "ref".into(), groups: vec![1, 2] };
    let mut keyed = StatementRouter::new(Options {
        rules: vec![Rule { group: key, ..writing("w") }],
        ..Options::default()
    });
    let refused = route(&mut keyed, "DELETE FROM t WHERE a = 'x\\' AND ref = 'y'");
    assert!(matches!(refused, Err(RouteError::NoRoute(_))), "{refused:?}");
}

#[test]
fn groups_come_from_tables_or_from_one_certain_key() {
    let by_table = vec![
        (TablePattern::new("entries"), 3),
        (TablePattern::new("app.*"), 4),
        (TablePattern::new("e2"), 3),
    ];
    let mut by_table = router(vec![Rule { group: GroupSelector::ByTable(by_table), ..rule("t") }]);
    assert_eq!(route(&mut by_table, "SELECT 1 FROM entries, public.e2").map(|r| r.group), Ok(3));
    assert_eq!(route(&mut by_table, "SELECT 1 FROM app.x").map(|r| r.group), Ok(4));
    for text in ["SELECT 1 FROM entries, app.x", "SELECT 1 FROM entries, other", "SELECT 1"] {
        assert!(matches!(route(&mut by_table, text), Err(RouteError::NoRoute(_))), "{text}");
    }
    let among = vec![7, 8, 9, 10];
    let key = || GroupSelector::ByKey { column: "ref".into(), groups: among.clone() };
    let rules = vec![Rule { group: key(), ..rule("r") }, Rule { group: key(), ..writing("w") }];
    let mut by_key = router(rules);
    let expected = rendezvous("it's 7f", &among);
    for text in [
        "SELECT 1 FROM t WHERE ref = 'it''s 7f'",
        "SELECT 1 FROM t WHERE a = 'x' AND t.ref = $$it's 7f$$ AND b IN ('y', 'z')",
        "SELECT 1 FROM t WHERE 'it''s 7f' = ref",
        "SELECT 1 FROM t WHERE ref IN ('it''s 7f')",
        "SELECT 1 FROM t WHERE ref = 'it''s 7f' AND ref = 'it''s 7f'",
        "INSERT INTO t (a, ref) VALUES (1, 'it''s 7f')",
        "UPDATE t SET a = 'b' WHERE ref = 'it''s 7f'",
    ] {
        assert_eq!(route(&mut by_key, text).map(|r| Some(r.group)), Ok(expected), "{text}");
    }
    assert_eq!(
        route(&mut by_key, "SELECT 1 FROM t WHERE ref = -07").map(|r| Some(r.group)),
        Ok(rendezvous("-7", &among))
    );
    for text in [
        "SELECT 1 FROM t",
        "SELECT 1 FROM t WHERE ref = 'a' OR x = 1",
        "SELECT 1 FROM t WHERE ref IN ('a', 'b')",
        "SELECT 1 FROM t WHERE ref = 'a' AND ref = 'b'",
        "SELECT 1 FROM t WHERE ref = E'a\\n'",
        "SELECT 1 FROM t WHERE ref = 1.0",
        "SELECT 1 FROM t WHERE ref = lower('A')",
        "INSERT INTO t (ref) VALUES ('a'), ('b')",
        "INSERT INTO t VALUES ('a')",
        "UPDATE t SET a = 1 WHERE ref = 'a'; DELETE FROM t",
        "SELECT 1 FROM t WHERE ref = 'a' UNION SELECT 2 FROM t",
    ] {
        let refused = route(&mut by_key, text);
        assert!(matches!(refused, Err(RouteError::NoRoute(_))), "{text}: {refused:?}");
    }
}

#[test]
fn a_group_that_is_added_takes_keys_from_all_and_moves_no_other() {
    let (before, after) = (vec![1, 2, 3, 4], vec![4, 5, 3, 1, 2]);
    let mut held: BTreeMap<u32, u32> = BTreeMap::new();
    for i in 0..20_000 {
        let key = format!("key-{i}");
        let (old, new) = (rendezvous(&key, &before), rendezvous(&key, &after));
        assert!(new == old || new == Some(5), "{key}: {old:?} to {new:?}");
        *held.entry(new.expect("a group")).or_default() += 1;
    }
    // A fifth each, 4,000; the standard deviation is 57.
    assert!(held.values().all(|&n| (3_700..4_300).contains(&n)), "{held:?}");
    assert_eq!(rendezvous("x", &[]), None);
}

#[test]
fn rules_that_cannot_be_meant_so_are_named() {
    let ms = |from: u64, below: u64| DurationRange {
        from_us: from * 1_000,
        below_us: below.saturating_mul(1_000),
    };
    let classes: Classes = [("browse".to_string(), false), ("ingest".to_string(), true)].into();
    let found = |rules: &[Rule]| -> Vec<String> {
        find_faults(rules, Some(&classes)).iter().map(|f| f.to_string()).collect()
    };
    let short = Rule { cost: ms(0, 20), ..rule("short") };
    let long = Rule { cost: ms(20, u64::MAX), class: "ingest".into(), ..rule("long") };
    let rest = rule("rest");
    assert_eq!(found(&[short.clone(), long.clone()]), Vec::<String>::new());
    // Two together take all that the third could.
    let text = found(&[short.clone(), long.clone(), rest.clone()]);
    assert_eq!(text, ["rule \"rest\" is shadowed by short, long"]);
    assert_eq!(found(&[short.clone(), rest.clone()]), Vec::<String>::new());
    assert_eq!(found(&[rest.clone(), short.clone()]), ["rule \"short\" is shadowed by rest"]);
    // One by users and one by the others is not the same as all.
    let web = Rule { users: set(&["web"]), ..rule("web") };
    assert_eq!(found(&[web.clone(), rest.clone()]), Vec::<String>::new());
    let both = Rule { users: set(&["web", "batch"]), ..rule("both") };
    let batch = Rule { users: set(&["batch"]), ..rule("batch") };
    assert_eq!(found(&[web.clone(), batch, both]), ["rule \"both\" is shadowed by web, batch"]);
    // Tables: a list shadows its parts, never a longer one, nor a rule for any.
    let t = |name: &str, names: &[&str]| Rule { tables: tables(names), ..rule(name) };
    let text = found(&[t("a", &["x", "app.*"]), t("b", &["app.y", "public.x"])]);
    assert_eq!(text, ["rule \"b\" is shadowed by a"]);
    assert_eq!(found(&[t("a", &["x"]), t("b", &["y"]), t("c", &["x", "y"])]), Vec::<String>::new());
    assert_eq!(found(&[t("a", &["x"]), rule("b")]), Vec::<String>::new());
    // Overlaps that differ; nested ones are the way rules are meant.
    let differs = Rule { users: set(&["web"]), deadline_ms: 5, ..rule("fast") };
    assert_eq!(
        found(&[differs, short.clone()]),
        ["rules \"fast\" and \"short\" overlap and differ; where both match, \"fast\" counts"]
    );
    for (odd, why) in [
        (Rule { cost: ms(5, 5), ..rule("odd") }, "cost_ms holds no time"),
        (Rule { tail: ms(9, 3), ..rule("odd") }, "tail_ms holds no time"),
        (Rule { cost: ms(10, 20), tail: ms(0, 10), ..rule("odd") }, "a tail is never shorter"),
        (Rule { reads: false, ..rule("odd") }, "neither reads nor writes"),
        (Rule { writes: true, ..rule("odd") }, "class \"browse\" only reads"),
        (Rule { class: "none".into(), ..rule("odd") }, "there is no class \"none\""),
        (
            Rule { group: GroupSelector::ByKey { column: "a".into(), groups: vec![] }, ..rule("odd") },
            "it names no groups",
        ),
    ] {
        let all = find_faults(std::slice::from_ref(&odd), Some(&classes));
        assert!(all.len() == 1 && all[0].is_error() && all[0].to_string().contains(why), "{all:?}");
    }
    // Without classes, what only they tell is not claimed.
    assert_eq!(find_faults(&[Rule { class: "none".into(), ..rule("odd") }], None), []);
}

#[test]
fn sketches_tell_quantiles_within_nine_percent_and_forget() {
    let mut rng = oorandom::Rand64::new(5);
    let mut sketch = DurationHistogram::default();
    let mut seen: Vec<f64> = Vec::new();
    for _ in 0..200 {
        let us = 50.0 * (rng.rand_float() * 9.0).exp();
        sketch.record(us as u64);
        seen.push(us);
    }
    seen.sort_by(f64::total_cmp);
    for (q, at) in [(0.5, 99), (0.95, 189)] {
        let told = sketch.quantile(q).expect("samples");
        let ratio = told / seen[at];
        assert!((0.91..1.1).contains(&ratio), "{q}: {told} for {}", seen[at]);
    }
    // Once three times as many of another size came, the median is theirs.
    (0..600).for_each(|_| sketch.record(1_000_000));
    let told = sketch.quantile(0.5).expect("samples");
    assert!((900_000.0..1_100_000.0).contains(&told), "{told}");
    assert!(sketch.len() <= 256);
    for odd in [0, 1, u64::MAX] {
        sketch.record(odd);
    }
    assert_eq!(DurationHistogram::default().quantile(0.5), None);
}

#[test]
fn a_new_shape_starts_from_its_tree_and_from_what_its_tables_took() {
    let mut router = router(vec![]);
    let mut cost = |text: &str| router.read(text).expect(text).estimate;
    // Each is expected to take longer than the one before.
    let rising = [
        "SELECT a FROM t WHERE ref = 'x'",
        "SELECT a FROM t WHERE b > 1 LIMIT 5",
        "SELECT a FROM t WHERE b > 1",
        "SELECT a FROM t",
        "SELECT a, count(*) FROM t GROUP BY a",
        "SELECT a, count(*) FROM t JOIN u ON true JOIN v ON true GROUP BY a ORDER BY 2",
    ];
    let costs: Vec<u64> = rising.iter().map(|t| cost(t).p50_us).collect();
    assert!(costs.is_sorted_by(|a, b| a < b), "{costs:?}");
    // One of a slow table makes a new one of that table slow, and others hardly.
    let before = (cost("SELECT b FROM slow LIMIT 1").p50_us, cost("SELECT b FROM quick LIMIT 1").p50_us);
    for _ in 0..20 {
        let read = router.read("SELECT a FROM slow WHERE c = 1").expect("a read");
        router.record_duration(&read.shape, 400_000);
        let read = router.read("SELECT a FROM quick WHERE c = 1").expect("a read");
        router.record_duration(&read.shape, 1_000);
    }
    let mut cost = |text: &str| router.read(text).expect(text).estimate;
    let after = (cost("SELECT b FROM slow LIMIT 1").p50_us, cost("SELECT b FROM quick LIMIT 1").p50_us);
    assert!(after.0 > 50 * before.0 && after.1 <= 2 * before.1, "{before:?}, then {after:?}");
    // The one that was seen itself tells what it took.
    let own = cost("SELECT a FROM slow WHERE c = 7");
    assert!((360_000..440_000).contains(&own.p50_us) && own.samples == 20, "{own:?}");
    // One sample moves a guess, and does not replace it.
    let read = router.read("SELECT z FROM quick WHERE z > 3 LIMIT 3").expect("a read");
    router.record_duration(&read.shape, 10_000_000);
    let moved = router.read("SELECT z FROM quick WHERE z > 3 LIMIT 3").expect("a read").estimate;
    assert!((read.estimate.p50_us + 1..1_000_000).contains(&moved.p50_us), "{:?}, {moved:?}", read.estimate);
}

#[test]
fn the_estimate_chooses_the_rule() {
    let short = Rule { cost: DurationRange { from_us: 0, below_us: 50_000 }, ..rule("short") };
    let mut router = router(vec![short, Rule { class: "history".into(), ..rule("long") }]);
    let text = "SELECT a FROM t WHERE ref = 'x'";
    assert_eq!(route(&mut router, text).expect("a route").rule_index, 0);
    for _ in 0..10 {
        let read = router.read(text).expect("a read");
        router.record_duration(&read.shape, 120_000);
    }
    let found = route(&mut router, text).expect("a route");
    assert_eq!(found.rule_index, 1);
    assert!((108_000..132_000).contains(&found.expected_us), "{found:?}");
}

/// Gives every text the same number.
#[derive(Clone, Default)]
struct Same;

impl std::hash::Hasher for Same {
    fn finish(&self) -> u64 {
        7
    }
    fn write(&mut self, _: &[u8]) {}
}

impl std::hash::BuildHasher for Same {
    type Hasher = Same;
    fn build_hasher(&self) -> Same {
        Same
    }
}

#[test]
fn shapes_whose_hashes_collide_keep_their_own_verdicts() {
    let mut shapes = ShapeCache::with_hasher(1 << 20, 4096, Same);
    let texts: Vec<String> =
        (0..200).map(|i| format!("SELECT {}(a) FROM t{i}", ["lower", "purge"][i % 2])).collect();
    texts.iter().for_each(|t| shapes.put(Rc::new(shape(t))));
    for (i, text) in texts.iter().enumerate() {
        let wanted = shape(text);
        let found = shapes.get(wanted.text().as_bytes()).expect("kept");
        assert_eq!(found.text(), wanted.text());
        assert_eq!(found.analysis.effect, [Effect::Read, Effect::Write][i % 2]);
    }
    assert!(shapes.get(b"select lower ( b ) from t0 ").is_none());
}

#[test]
fn a_flood_of_one_off_shapes_evicts_nothing_useful_and_stays_within_its_bytes() {
    const BOUND: usize = 1 << 20;
    let mut router = StatementRouter::new(Options { cache_bytes: BOUND, ..Options::default() });
    let useful: Vec<String> = (0..100).map(|i| format!("SELECT a{i} FROM t WHERE b = 1")).collect();
    for text in useful.iter().cycle().take(400) {
        router.read(text).expect("a statement");
    }
    let (mut hits, mut most) = (0, 0);
    for i in 0..20_000 {
        router.read(&format!("SELECT x{i} FROM u{i} WHERE y{i} = {i}")).expect("a statement");
        hits += u32::from(router.read(&useful[i % 100]).expect("a statement").cached);
        most = most.max(router.shape_cache().bytes());
    }
    assert!(hits >= 19_800, "{hits} of 20000");
    assert!(
        most <= BOUND as u64 && router.shape_cache().len() > 500,
        "{most} bytes, {}",
        router.shape_cache().len()
    );
    // A shape that is too long is judged each time, and kept never.
    let long = format!("SELECT {} FROM t", vec!["a"; 6_000].join(" , "));
    let before = router.shape_cache().len();
    assert!(!router.read(&long).expect("a statement").cached && !router.read(&long).expect("one").cached);
    assert!(router.shape_cache().len() <= before + 1);
}

#[test]
fn nothing_passes_between_a_refused_begin_and_its_end() {
    let mut router = router(vec![rule("reads"), writing("writes")]);
    let mut met = |block: &mut TransactionState, text: &str| block.advance(router.transaction_control(text));
    for begin in
        ["BEGIN", "start transaction read only", "/* x */ BEGIN WORK;", "SELECT 1; BEGIN; UPDATE t SET a = 1"]
    {
        for end in [
            "COMMIT",
            "END",
            "ROLLBACK;",
            "abort",
            "COMMIT AND NO CHAIN",
            "PREPARE TRANSACTION 'x'",
            "SELECT 1; COMMIT",
        ] {
            let mut block = TransactionState::Idle;
            assert_eq!(met(&mut block, begin), TransactionStep::Process, "refused for its own reason");
            for inside in [
                "UPDATE t SET a = 1",
                "SELECT 1",
                "SAVEPOINT s",
                "ROLLBACK TO SAVEPOINT s",
                "ROLLBACK TO s",
                "BEGIN",
                "SELECT 'unended",
                "COMMIT PREPARED 'x'",
                "SET x = 1",
                "COMMIT; BEGIN",
                "",
            ] {
                assert_eq!(
                    (met(&mut block, inside), block),
                    (TransactionStep::Refuse, TransactionState::Refused),
                    "{begin} {inside}"
                );
            }
            assert_eq!(
                (met(&mut block, end), block),
                (TransactionStep::End, TransactionState::Idle),
                "{begin} {end}"
            );
        }
    }
    // What opens and closes in one text is refused whole, and leaves nothing open; nor does what stands alone.
    for whole in ["BEGIN; UPDATE t SET a = 1; COMMIT", "COMMIT", "SAVEPOINT s", "ROLLBACK", "SELECT 'BEGIN'"]
    {
        let mut block = TransactionState::Idle;
        assert_eq!(
            (met(&mut block, whole), block),
            (TransactionStep::Process, TransactionState::Idle),
            "{whole}"
        );
    }
}

#[test]
fn own_writes_only_move_on() {
    let mut own = OwnWrites::default();
    assert_eq!(own.required_position(), None);
    own.record_answered(Some(900), 1_000);
    assert_eq!(own.required_position(), Some(900));
    own.record_answered(Some(500), 1_100);
    assert_eq!(own.required_position(), Some(900));
    // Unknown, or ahead of the clock: by the answer it was there.
    own.record_answered(None, 1_200);
    assert_eq!(own.required_position(), Some(1_200));
    own.record_answered(Some(9_999), 1_300);
    assert_eq!(own.required_position(), Some(1_300));
    own.record_unknown(1_250);
    assert_eq!(own.required_position(), Some(1_300));
    own.record_unknown(1_400);
    assert_eq!(own.required_position(), Some(1_400));
}

fn any_rule() -> impl Strategy<Value = Rule> {
    let band = || {
        (0u64..4, 1u64..5).prop_map(|(a, b)| DurationRange {
            from_us: a.min(b),
            below_us: if b == 4 { u64::MAX } else { b },
        })
    };
    let names =
        || prop::collection::btree_set(prop::sample::select(vec!["u", "v"]).prop_map(String::from), 0..3);
    let tables = prop::collection::vec(
        prop::sample::select(vec!["a", "b", "s.*", "s.c"]).prop_map(TablePattern::new),
        0..3,
    );
    (any::<bool>(), any::<bool>(), tables, band(), band(), names(), names()).prop_map(
        |(reads, writes, tables, cost, tail, users, databases)| Rule {
            reads,
            writes,
            tables,
            cost,
            tail,
            users,
            databases,
            ..rule("")
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_500, failure_persistence: None, rng_seed: RngSeed::Fixed(9), ..ProptestConfig::default() })]

    #[test]
    fn a_rule_is_called_shadowed_or_unreachable_just_if_no_statement_gets_to_it(
        rules in prop::collection::vec(any_rule(), 1..6),
    ) {
        let mut rules = rules;
        rules.iter_mut().enumerate().for_each(|(i, r)| r.name = i.to_string());
        let blank = analyze("select 0 ", &Functions::new(&FunctionAdditions::default()), &ParseLimits::default());
        // Every kind of statement that these rules could tell apart.
        let mut reached = BTreeSet::new();
        let options: Vec<Vec<Box<str>>> = (0..16u8)
            .map(|bits| {
                let names = ["a", "b", "s.c", "s.d"].iter().enumerate();
                names.filter(|(i, _)| bits >> i & 1 == 1).map(|(_, n)| Box::from(*n)).collect()
            })
            .chain([vec![Box::from("z")]])
            .collect();
        for tables in options {
            for effect in [Effect::Read, Effect::Write] {
                let mut analysis = blank.clone();
                (analysis.effect, analysis.tables) = (effect, tables.clone());
                for (p50_us, p95_us) in (0..6).flat_map(|a| (a..6).map(move |b| (a, b))) {
                    for user in ["u", "v", "w"] {
                        for database in ["u", "v", "w"] {
                            let facts = StatementFacts { analysis: &analysis, statement_count: 1, p50_us, p95_us, user, database };
                            reached.extend(rules.iter().position(|r| r.matches(&facts)));
                        }
                    }
                }
            }
        }
        let found = find_faults(&rules, None);
        for (i, rule) in rules.iter().enumerate() {
            let named = found.iter().any(|f| match f {
                RuleFault::Unreachable(name, _) | RuleFault::Shadowed(name, _) => *name == rule.name,
                RuleFault::Overlap(..) => false,
            });
            prop_assert_eq!(named, !reached.contains(&i), "rule {}: {:?}\n{:?}", i, found, rules);
        }
    }
}
