//! Routing of plain statements through the crate's public interface.

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

fn write_rule(name: &str) -> Rule {
    Rule { reads: false, writes: true, class: "ingest".into(), ..rule(name) }
}

fn patterns(names: &[&str]) -> Vec<TablePattern> {
    names.iter().map(|n| TablePattern::new(n)).collect()
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|n| n.to_string()).collect()
}

fn router(rules: Vec<Rule>) -> StatementRouter {
    StatementRouter::new(Options { rules, ..Options::default() })
}

fn route(router: &mut StatementRouter, text: &str) -> Result<Route, RouteError> {
    let statement = router.read(text).expect("a statement");
    router.route(&statement, text, "web", "orders")
}

fn shape(text: &str) -> Shape {
    let mut reader = StatementReader::default();
    reader.read(text).expect("a statement");
    Shape::new(reader.shape(), analyze(reader.shape(), &Functions::default(), &ParseLimits::default()))
}

#[test]
fn first_matching_rule_gives_the_route() {
    let rules = vec![
        Rule { tables: patterns(&["logs", "app.*"]), group: GroupSelector::Constant(1), ..rule("logs") },
        Rule { users: names(&["web"]), databases: names(&["orders"]), deadline_ms: 70, ..rule("web") },
        Rule { class: "history".into(), ..rule("rest") },
        Rule { tables: patterns(&["entries"]), ..write_rule("writes") },
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
        let statement = router.read(text).expect(text);
        let found = router.route(&statement, text, user, "orders");
        assert_eq!(found.as_ref().ok().map(|r| r.rule_index), expected, "{text}: {found:?}");
        if let Ok(found) = found {
            assert_eq!(found.writes, expected == Some(3), "{text}");
        }
    }
}

#[test]
fn unsupported_statements_are_refused_under_any_rules() {
    let all_rules = || vec![rule("reads"), write_rule("writes")];
    let mut lenient = router(all_rules());
    let mut strict = StatementRouter::new(Options {
        rules: all_rules(),
        allow_multiple_statements: false,
        ..Options::default()
    });
    for (text, expected) in [
        ("BEGIN", "no transaction"),
        ("BEGIN; SELECT 1; COMMIT", "no transaction"),
        ("SET x = 1", "no state of a session"),
        ("SELECT set_config('a', 'b', false)", "no state of a session"),
        ("INSERT INTO t SELECT pg_advisory_lock(1)", "no state of a session"),
        ("COPY t TO STDOUT", "no data stream"),
    ] {
        for router in [&mut lenient, &mut strict] {
            match route(router, text) {
                Err(RouteError::NotSupported(message)) => {
                    assert!(message.contains(expected), "{text}: {message}")
                }
                other => panic!("{text}: {other:?}"),
            }
        }
    }
    assert!(route(&mut lenient, "SELECT 1; SELECT 2").expect("to the primary").writes);
    assert!(matches!(route(&mut strict, "SELECT 1; SELECT 2"), Err(RouteError::NotSupported(_))));
    assert!(!route(&mut strict, "SELECT 1;").expect("one").writes);
    let refused = route(&mut router(vec![rule("reads")]), "DELETE FROM t WHERE a = 1");
    let Err(RouteError::NoRoute(message)) = refused else { panic!("{refused:?}") };
    assert!(["write", "tables t", "\"web\"", "DELETE"].iter().all(|p| message.contains(p)), "{message}");
}

#[test]
fn text_with_ambiguous_quoting_is_a_write_though_its_shape_is_a_read() {
    let mut router = router(vec![rule("reads"), write_rule("writes")]);
    assert!(!route(&mut router, "SELECT 'a' FROM t").expect("a read").writes);
    let statement = router.read("SELECT 'a\\' FROM t").expect("a statement");
    assert!(statement.cached && statement.effect == Effect::Write, "{}", statement.reason);
    assert!(route(&mut router, "SELECT 'a\\' FROM t").expect("a write").writes);
    assert!(!route(&mut router, "SELECT 'b' FROM t").expect("a read again").writes);
    // Its literal gives no group either.
    let key = GroupSelector::ByKey { column: "ref".into(), groups: vec![1, 2] };
    let mut keyed = StatementRouter::new(Options {
        rules: vec![Rule { group: key, ..write_rule("w") }],
        ..Options::default()
    });
    let refused = route(&mut keyed, "DELETE FROM t WHERE a = 'x\\' AND ref = 'y'");
    assert!(matches!(refused, Err(RouteError::NoRoute(_))), "{refused:?}");
}

#[test]
fn group_comes_from_tables_or_from_one_key_literal() {
    let table_groups = vec![
        (TablePattern::new("entries"), 3),
        (TablePattern::new("app.*"), 4),
        (TablePattern::new("e2"), 3),
    ];
    let mut by_table = router(vec![Rule { group: GroupSelector::ByTable(table_groups), ..rule("t") }]);
    assert_eq!(route(&mut by_table, "SELECT 1 FROM entries, public.e2").map(|r| r.group), Ok(3));
    assert_eq!(route(&mut by_table, "SELECT 1 FROM app.x").map(|r| r.group), Ok(4));
    for text in ["SELECT 1 FROM entries, app.x", "SELECT 1 FROM entries, other", "SELECT 1"] {
        assert!(matches!(route(&mut by_table, text), Err(RouteError::NoRoute(_))), "{text}");
    }
    let groups = vec![7, 8, 9, 10];
    let key = || GroupSelector::ByKey { column: "ref".into(), groups: groups.clone() };
    let rules = vec![Rule { group: key(), ..rule("r") }, Rule { group: key(), ..write_rule("w") }];
    let mut by_key = router(rules);
    let expected = rendezvous("it's 7f", &groups);
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
        Ok(rendezvous("-7", &groups))
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
fn added_group_takes_keys_from_all_groups_and_moves_no_others() {
    let (before, after) = (vec![1, 2, 3, 4], vec![4, 5, 3, 1, 2]);
    let mut keys_by_group: BTreeMap<u32, u32> = BTreeMap::new();
    for i in 0..20_000 {
        let key = format!("key-{i}");
        let (old, new) = (rendezvous(&key, &before), rendezvous(&key, &after));
        assert!(new == old || new == Some(5), "{key}: {old:?} to {new:?}");
        *keys_by_group.entry(new.expect("a group")).or_default() += 1;
    }
    // Each group should have a fifth, 4,000 keys; the standard deviation is 57.
    assert!(keys_by_group.values().all(|&n| (3_700..4_300).contains(&n)), "{keys_by_group:?}");
    assert_eq!(rendezvous("x", &[]), None);
}

#[test]
fn faulty_rules_are_reported() {
    let ms = |from: u64, below: u64| DurationRange {
        from_us: from * 1_000,
        below_us: below.saturating_mul(1_000),
    };
    let classes: Classes = [("browse".to_string(), false), ("ingest".to_string(), true)].into();
    let fault_texts = |rules: &[Rule]| -> Vec<String> {
        find_faults(rules, Some(&classes)).iter().map(|f| f.to_string()).collect()
    };
    let short = Rule { cost: ms(0, 20), ..rule("short") };
    let long = Rule { cost: ms(20, u64::MAX), class: "ingest".into(), ..rule("long") };
    let rest = rule("rest");
    assert_eq!(fault_texts(&[short.clone(), long.clone()]), Vec::<String>::new());
    // Two rules together match every statement that the third could match.
    let texts = fault_texts(&[short.clone(), long.clone(), rest.clone()]);
    assert_eq!(texts, ["rule \"rest\" is shadowed by short, long"]);
    assert_eq!(fault_texts(&[short.clone(), rest.clone()]), Vec::<String>::new());
    assert_eq!(fault_texts(&[rest.clone(), short.clone()]), ["rule \"short\" is shadowed by rest"]);
    // A rule for some users doesn't shadow a later rule for all.
    let web = Rule { users: names(&["web"]), ..rule("web") };
    assert_eq!(fault_texts(&[web.clone(), rest.clone()]), Vec::<String>::new());
    let both = Rule { users: names(&["web", "batch"]), ..rule("both") };
    let batch = Rule { users: names(&["batch"]), ..rule("batch") };
    assert_eq!(fault_texts(&[web.clone(), batch, both]), ["rule \"both\" is shadowed by web, batch"]);
    // A list of tables shadows its subsets, but neither a longer list nor a rule for all tables.
    let on_tables = |name: &str, names: &[&str]| Rule { tables: patterns(names), ..rule(name) };
    let texts = fault_texts(&[on_tables("a", &["x", "app.*"]), on_tables("b", &["app.y", "public.x"])]);
    assert_eq!(texts, ["rule \"b\" is shadowed by a"]);
    assert_eq!(
        fault_texts(&[on_tables("a", &["x"]), on_tables("b", &["y"]), on_tables("c", &["x", "y"])]),
        Vec::<String>::new()
    );
    assert_eq!(fault_texts(&[on_tables("a", &["x"]), rule("b")]), Vec::<String>::new());
    // Overlapping rules that give different terms are reported, unless one covers the other.
    let overlapping = Rule { users: names(&["web"]), deadline_ms: 5, ..rule("fast") };
    assert_eq!(
        fault_texts(&[overlapping, short.clone()]),
        ["rules \"fast\" and \"short\" overlap and differ; where both match, \"fast\" counts"]
    );
    for (faulty, expected) in [
        (Rule { cost: ms(5, 5), ..rule("faulty") }, "cost_ms holds no time"),
        (Rule { tail: ms(9, 3), ..rule("faulty") }, "tail_ms holds no time"),
        (Rule { cost: ms(10, 20), tail: ms(0, 10), ..rule("faulty") }, "a tail is never shorter"),
        (Rule { reads: false, ..rule("faulty") }, "neither reads nor writes"),
        (Rule { writes: true, ..rule("faulty") }, "class \"browse\" only reads"),
        (Rule { class: "none".into(), ..rule("faulty") }, "there is no class \"none\""),
        (
            Rule { group: GroupSelector::ByKey { column: "a".into(), groups: vec![] }, ..rule("faulty") },
            "it names no groups",
        ),
    ] {
        let faults = find_faults(std::slice::from_ref(&faulty), Some(&classes));
        assert!(
            faults.len() == 1 && faults[0].is_error() && faults[0].to_string().contains(expected),
            "{faults:?}"
        );
    }
    // Without classes, an unknown class is no fault.
    assert_eq!(find_faults(&[Rule { class: "none".into(), ..rule("faulty") }], None), []);
}

#[test]
fn histogram_quantiles_are_within_nine_percent_and_old_samples_fade() {
    let mut rng = oorandom::Rand64::new(5);
    let mut histogram = DurationHistogram::default();
    let mut durations_us: Vec<f64> = Vec::new();
    for _ in 0..200 {
        let us = 50.0 * (rng.rand_float() * 9.0).exp();
        histogram.record(us as u64);
        durations_us.push(us);
    }
    durations_us.sort_by(f64::total_cmp);
    for (quantile, index) in [(0.5, 99), (0.95, 189)] {
        let estimate = histogram.quantile(quantile).expect("samples");
        let ratio = estimate / durations_us[index];
        assert!((0.91..1.1).contains(&ratio), "{quantile}: {estimate} for {}", durations_us[index]);
    }
    // After three times as many samples of another size, the median is that size.
    (0..600).for_each(|_| histogram.record(1_000_000));
    let estimate = histogram.quantile(0.5).expect("samples");
    assert!((900_000.0..1_100_000.0).contains(&estimate), "{estimate}");
    assert!(histogram.len() <= 256);
    for extreme in [0, 1, u64::MAX] {
        histogram.record(extreme);
    }
    assert_eq!(DurationHistogram::default().quantile(0.5), None);
}

#[test]
fn new_shape_is_estimated_from_its_syntax_tree_and_its_tables() {
    let mut router = router(vec![]);
    let mut estimate = |text: &str| router.read(text).expect(text).estimate;
    // Each is estimated to take longer than the one before.
    let rising = [
        "SELECT a FROM t WHERE ref = 'x'",
        "SELECT a FROM t WHERE b > 1 LIMIT 5",
        "SELECT a FROM t WHERE b > 1",
        "SELECT a FROM t",
        "SELECT a, count(*) FROM t GROUP BY a",
        "SELECT a, count(*) FROM t JOIN u ON true JOIN v ON true GROUP BY a ORDER BY 2",
    ];
    let medians_us: Vec<u64> = rising.iter().map(|t| estimate(t).p50_us).collect();
    assert!(medians_us.is_sorted_by(|a, b| a < b), "{medians_us:?}");
    // Slow statements on a table raise the estimate of a new shape on it, and hardly that of other shapes.
    let before =
        (estimate("SELECT b FROM slow LIMIT 1").p50_us, estimate("SELECT b FROM quick LIMIT 1").p50_us);
    for _ in 0..20 {
        let statement = router.read("SELECT a FROM slow WHERE c = 1").expect("a read");
        router.record_duration(&statement.shape, 400_000);
        let statement = router.read("SELECT a FROM quick WHERE c = 1").expect("a read");
        router.record_duration(&statement.shape, 1_000);
    }
    let mut estimate = |text: &str| router.read(text).expect(text).estimate;
    let after =
        (estimate("SELECT b FROM slow LIMIT 1").p50_us, estimate("SELECT b FROM quick LIMIT 1").p50_us);
    assert!(after.0 > 50 * before.0 && after.1 <= 2 * before.1, "{before:?}, then {after:?}");
    // The shape that was measured has the duration that was recorded.
    let measured = estimate("SELECT a FROM slow WHERE c = 7");
    assert!((360_000..440_000).contains(&measured.p50_us) && measured.samples == 20, "{measured:?}");
    // One sample moves the guess but doesn't replace it.
    let statement = router.read("SELECT z FROM quick WHERE z > 3 LIMIT 3").expect("a read");
    router.record_duration(&statement.shape, 10_000_000);
    let moved = router.read("SELECT z FROM quick WHERE z > 3 LIMIT 3").expect("a read").estimate;
    assert!(
        (statement.estimate.p50_us + 1..1_000_000).contains(&moved.p50_us),
        "{:?}, {moved:?}",
        statement.estimate
    );
}

#[test]
fn estimate_selects_the_rule() {
    let short = Rule { cost: DurationRange { from_us: 0, below_us: 50_000 }, ..rule("short") };
    let mut router = router(vec![short, Rule { class: "history".into(), ..rule("long") }]);
    let text = "SELECT a FROM t WHERE ref = 'x'";
    assert_eq!(route(&mut router, text).expect("a route").rule_index, 0);
    for _ in 0..10 {
        let statement = router.read(text).expect("a read");
        router.record_duration(&statement.shape, 120_000);
    }
    let found = route(&mut router, text).expect("a route");
    assert_eq!(found.rule_index, 1);
    assert!((108_000..132_000).contains(&found.expected_us), "{found:?}");
}

/// A hasher that gives every text the same hash.
#[derive(Clone, Default)]
struct ConstantHasher;

impl std::hash::Hasher for ConstantHasher {
    fn finish(&self) -> u64 {
        7
    }
    fn write(&mut self, _: &[u8]) {}
}

impl std::hash::BuildHasher for ConstantHasher {
    type Hasher = ConstantHasher;
    fn build_hasher(&self) -> ConstantHasher {
        ConstantHasher
    }
}

#[test]
fn shapes_with_colliding_hashes_keep_their_analysis() {
    let mut cache = ShapeCache::with_hasher(1 << 20, 4096, ConstantHasher);
    let texts: Vec<String> =
        (0..200).map(|i| format!("SELECT {}(a) FROM t{i}", ["lower", "purge"][i % 2])).collect();
    texts.iter().for_each(|t| cache.put(Rc::new(shape(t))));
    for (i, text) in texts.iter().enumerate() {
        let wanted = shape(text);
        let found = cache.get(wanted.text().as_bytes()).expect("kept");
        assert_eq!(found.text(), wanted.text());
        assert_eq!(found.analysis.effect, [Effect::Read, Effect::Write][i % 2]);
    }
    assert!(cache.get(b"select lower ( b ) from t0 ").is_none());
}

#[test]
fn one_off_shapes_evict_no_reused_shape_and_stay_within_the_byte_bound() {
    const CACHE_BYTES: usize = 1 << 20;
    let mut router = StatementRouter::new(Options { cache_bytes: CACHE_BYTES, ..Options::default() });
    let reused: Vec<String> = (0..100).map(|i| format!("SELECT a{i} FROM t WHERE b = 1")).collect();
    for text in reused.iter().cycle().take(400) {
        router.read(text).expect("a statement");
    }
    let (mut hits, mut max_bytes) = (0, 0);
    for i in 0..20_000 {
        router.read(&format!("SELECT x{i} FROM u{i} WHERE y{i} = {i}")).expect("a statement");
        hits += u32::from(router.read(&reused[i % 100]).expect("a statement").cached);
        max_bytes = max_bytes.max(router.shape_cache().bytes());
    }
    assert!(hits >= 19_800, "{hits} of 20000");
    assert!(
        max_bytes <= CACHE_BYTES as u64 && router.shape_cache().len() > 500,
        "{max_bytes} bytes, {}",
        router.shape_cache().len()
    );
    // A shape that is too long is analyzed each time and never cached.
    let long = format!("SELECT {} FROM t", vec!["a"; 6_000].join(" , "));
    let before = router.shape_cache().len();
    assert!(!router.read(&long).expect("a statement").cached && !router.read(&long).expect("one").cached);
    assert!(router.shape_cache().len() <= before + 1);
}

#[test]
fn statements_between_a_refused_begin_and_its_end_are_refused() {
    let mut router = router(vec![rule("reads"), write_rule("writes")]);
    let mut advance =
        |state: &mut TransactionState, text: &str| state.advance(router.transaction_control(text));
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
            let mut state = TransactionState::Idle;
            assert_eq!(advance(&mut state, begin), TransactionStep::Process, "refused by the router");
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
                // The statement behind would be lost without an error.
                "ROLLBACK; INSERT INTO t (a) VALUES (1)",
                "ROLLBACK; INSERT INTO t (a) VALUES (1); COMMIT",
                // They begin a transaction like the one that they end.
                "ROLLBACK AND CHAIN",
                "COMMIT WORK AND CHAIN",
                "",
            ] {
                assert_eq!(
                    (advance(&mut state, inside), state),
                    (TransactionStep::Refuse, TransactionState::Refused),
                    "{begin} {inside}"
                );
            }
            assert_eq!(
                (advance(&mut state, end), state),
                (TransactionStep::End, TransactionState::Idle),
                "{begin} {end}"
            );
        }
    }
    // A transaction within one text is refused as a whole and leaves none open, and neither does a lone control
    // statement.
    for whole in ["BEGIN; UPDATE t SET a = 1; COMMIT", "COMMIT", "SAVEPOINT s", "ROLLBACK", "SELECT 'BEGIN'"]
    {
        let mut state = TransactionState::Idle;
        assert_eq!(
            (advance(&mut state, whole), state),
            (TransactionStep::Process, TransactionState::Idle),
            "{whole}"
        );
    }
}

#[test]
fn own_writes_position_never_moves_back() {
    let mut writes = OwnWrites::default();
    assert_eq!(writes.required_position(), None);
    writes.record_answered(Some(900), 1_000);
    assert_eq!(writes.required_position(), Some(900));
    writes.record_answered(Some(500), 1_100);
    assert_eq!(writes.required_position(), Some(900));
    // Without a valid position, the time of the answer counts.
    writes.record_answered(None, 1_200);
    assert_eq!(writes.required_position(), Some(1_200));
    writes.record_answered(Some(9_999), 1_300);
    assert_eq!(writes.required_position(), Some(1_300));
    writes.record_unknown(1_250);
    assert_eq!(writes.required_position(), Some(1_300));
    writes.record_unknown(1_400);
    assert_eq!(writes.required_position(), Some(1_400));
}

fn any_rule() -> impl Strategy<Value = Rule> {
    let range = || {
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
    (any::<bool>(), any::<bool>(), tables, range(), range(), names(), names()).prop_map(
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
    fn rule_is_shadowed_or_unreachable_exactly_if_no_statement_reaches_it(
        rules in prop::collection::vec(any_rule(), 1..6),
    ) {
        let mut rules = rules;
        rules.iter_mut().enumerate().for_each(|(i, r)| r.name = i.to_string());
        let query = analyze("select 0 ", &Functions::new(&FunctionAdditions::default()), &ParseLimits::default());
        // Every combination of properties that these rules could distinguish.
        let mut reached = BTreeSet::new();
        let table_sets: Vec<Vec<Box<str>>> = (0..16u8)
            .map(|bits| {
                let names = ["a", "b", "s.c", "s.d"].iter().enumerate();
                names.filter(|(i, _)| bits >> i & 1 == 1).map(|(_, n)| Box::from(*n)).collect()
            })
            .chain([vec![Box::from("z")]])
            .collect();
        for tables in table_sets {
            for effect in [Effect::Read, Effect::Write] {
                let mut analysis = query.clone();
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
        let faults = find_faults(&rules, None);
        for (i, rule) in rules.iter().enumerate() {
            let reported = faults.iter().any(|f| match f {
                RuleFault::Unreachable(name, _) | RuleFault::Shadowed(name, _) => *name == rule.name,
                RuleFault::Overlap(..) => false,
            });
            prop_assert_eq!(reported, !reached.contains(&i), "rule {}: {:?}\n{:?}", i, faults, rules);
        }
    }
}
