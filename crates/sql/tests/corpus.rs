//! Checks the corpus of difficult statements, and properties that hold for every statement.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sillfold_sql::*;

/// The effect that the proxy uses, and its reason: that of the shape, made stricter if the quoting is ambiguous.
fn effect_and_reason(text: &str) -> (Effect, String) {
    let mut reader = StatementReader::default();
    if let Err(e) = reader.read(text) {
        return (Effect::Invalid, e.message().to_string());
    }
    let analysis = reader.analyze(&Functions::default(), &ParseLimits::default());
    (analysis.effect, analysis.reason.into_owned())
}

fn shape(text: &str) -> String {
    let mut reader = StatementReader::default();
    reader.read(text).unwrap_or_else(|e| panic!("{text}: {e:?}"));
    reader.shape().to_string()
}

#[test]
fn corpus_statements_have_the_expected_effect_and_reason() {
    let corpus = include_str!("corpus.txt");
    let (mut count, mut wrong) = (0, Vec::new());
    for line in corpus.lines().filter(|l| !l.starts_with('#') && !l.is_empty()) {
        let mut parts = line.splitn(3, " | ");
        let [expected_effect, expected_reason] =
            [parts.next(), parts.next()].map(|p| p.expect("three parts"));
        let text = parts.next().unwrap_or("").replace('⏎', "\n");
        let (effect, reason) = effect_and_reason(&text);
        count += 1;
        if effect.name() != expected_effect || !reason.contains(expected_reason) {
            wrong.push(format!(
                "{text}\n    {expected_effect} for {expected_reason:?}, found {} for {reason:?}",
                effect.name()
            ));
        }
    }
    assert!(wrong.is_empty(), "{} of {count}:\n{}", wrong.len(), wrong.join("\n"));
    assert!(count >= 250, "{count} statements");
}

#[test]
fn lists_and_rows_fold_into_one_shape_and_significant_tokens_do_not() {
    let same = [
        ["SELECT a FROM t WHERE b IN (1)", "select  a from t where b in (1, -2,3,\n4);"],
        ["SELECT a FROM t WHERE b IN ('x')", "SELECT a FROM t WHERE b IN ('y', E'z', $$w$$)"],
        ["INSERT INTO t (a, b) VALUES (1, 'x')", "INSERT INTO t (a, b) VALUES (1, 'x'), (2, 'y'), (3, 'z')"],
        ["SELECT 1 WHERE (a, b) IN ((1, 2))", "SELECT 1 WHERE (a, b) IN ((1, 2), (3, 4), (5, 6))"],
        ["SELECT 'a'", "SELECT /* b */ 'c' -- d"],
        ["SELECT ARRAY[1, 2]", "SELECT ARRAY[1]"],
        ["INSERT INTO t VALUES (now(), 1)", "INSERT INTO t VALUES (now(), 1), (now(), 2)"],
        ["SELECT a FROM t WHERE b = ANY ('{1}')", "SELECT a FROM t WHERE b = ANY ('{1,2}')"],
    ];
    for [a, b] in same {
        assert_eq!(shape(a), shape(b));
    }
    let different = [
        ["SELECT lower('a')", "SELECT upper('a')"],
        ["SELECT \"Lower\"('a')", "SELECT \"lower\"('a')"],
        ["SELECT f(1)", "SELECT f(1), f(1)"],
        ["SELECT a FROM t LIMIT 1", "SELECT a FROM t"],
        ["INSERT INTO t VALUES (1), (purge())", "INSERT INTO t VALUES (1), (2)"],
        ["SELECT a IN (1, 2, purge())", "SELECT a IN (1, 2)"],
        ["SELECT 'a' 'b'", "SELECT 'a'"],
        ["SELECT 1; SELECT 1", "SELECT 1"],
        ["SELECT a+b", "SELECT a-b"],
        ["SELECT f(1, 2)", "SELECT f(1)"],
        ["SELECT a IN (1 - 1, 2)", "SELECT a IN (1, 2)"],
        ["SELECT f (1), (1)", "SELECT f (1)"],
    ];
    for [a, b] in different {
        assert_ne!(shape(a), shape(b), "{a} and {b}");
    }
}

#[test]
fn keys_are_columns_equal_to_a_literal_in_every_row() {
    let keys = |text: &str| {
        let mut reader = StatementReader::default();
        reader.read(text).expect(text);
        let analysis = reader.analyze(&Functions::default(), &ParseLimits::default());
        let value = |k: &KeyLiteral| {
            let literal = &reader.literals()[usize::from(k.literal_index)];
            let text = literal_text(&text[literal.span.clone()]);
            let sign = if k.negative { "-" } else { "" };
            let folded = if literal.folded { "..." } else { "" };
            format!("{}={sign}{}{folded}", k.column, text.as_deref().unwrap_or("?"))
        };
        let mut found: Vec<String> = analysis.keys.iter().map(value).collect();
        found.sort();
        found.join(" ")
    };
    assert_eq!(keys("SELECT 'x', 5 FROM t WHERE t.ref = 'it''s' AND 007 = (n) AND o > 3"), "n=7 ref=it's");
    assert_eq!(keys("SELECT 1 FROM t WHERE ref = 'a' OR n = 1"), "");
    assert_eq!(keys("SELECT 1 FROM t WHERE NOT (ref = 'a')"), "");
    assert_eq!(keys("SELECT 1 FROM t WHERE ref IN ('a')"), "ref=a");
    assert_eq!(keys("SELECT 1 FROM t WHERE ref IN ('a', 'b')"), "ref=a...");
    // Guards against a sign that is left out: the key of another group.
    assert_eq!(keys("SELECT 1 FROM t WHERE n IN (-7)"), "n=-7");
    assert_eq!(keys("SELECT 1 FROM t WHERE n IN (+7)"), "n=7");
    assert_eq!(keys("DELETE FROM t WHERE n IN (-7, 7)"), "n=-7...");
    assert_eq!(keys("SELECT 1 FROM t WHERE ref NOT IN ('a')"), "");
    assert_eq!(keys("INSERT INTO t (n, ref, p) VALUES (-4, $q$a$q$, E'\\x')"), "n=-4 p=? ref=a");
    assert_eq!(keys("INSERT INTO t (ref, p) VALUES ('a', 1), ('b', 2)"), "p=1... ref=a...");
    assert_eq!(keys("UPDATE t SET p = 1 WHERE ref = 'a'::text"), "ref=a");
    assert_eq!(keys("DELETE FROM t WHERE (ref = 'a' AND (n = 2))"), "n=2 ref=a");
    assert_eq!(keys("SELECT 1 FROM t WHERE ref = 'a\\b' AND n = 1.0"), "n=? ref=?");
    assert_eq!(keys("SELECT 1 FROM t WHERE ref = (SELECT 'a')"), "");
    assert_eq!(keys("SELECT 1 FROM (SELECT 1 FROM t WHERE ref = 'a') s"), "");
}

#[test]
fn excessive_depth_length_or_count_is_a_write_in_bounded_time() {
    let depth = 100_000;
    let texts = [
        format!("SELECT {}1{}", "(".repeat(depth), ")".repeat(depth)),
        format!("SELECT {}", "(".repeat(depth)),
        format!("SELECT {}1", "- ".repeat(depth)),
        format!("SELECT {}true", "NOT ".repeat(depth)),
        format!("SELECT 1{}", " + 1".repeat(depth)),
        format!("SELECT 1{}", "::int".repeat(depth)),
        format!("SELECT 1{}", " UNION SELECT 1".repeat(depth)),
        format!("SELECT {}1{}", "CASE WHEN ".repeat(depth), " THEN 1 END".repeat(depth)),
        format!("SELECT {}1", "ARRAY[".repeat(depth)),
        format!("{}SELECT 1", "EXPLAIN ".repeat(depth)),
        format!("SELECT a{}", ".b".repeat(depth)),
        format!("SELECT f{}", " (f".repeat(depth)),
        format!("SELECT {}", "f(".repeat(1_500)),
        format!("SELECT 1 FROM t{}", " JOIN t ON true".repeat(depth)),
        format!("SELECT 1 FROM {}t", "t JOIN (".repeat(90)),
        format!("WITH a AS ({}SELECT 1", "WITH a AS (".repeat(depth)),
        "SELECT 1;".repeat(depth),
        format!("SELECT {}", "a b ".repeat(depth)),
    ];
    for text in &texts {
        let begun = std::time::Instant::now();
        let (effect, reason) = effect_and_reason(text);
        let head: String = text.chars().take(40).collect();
        assert_eq!(effect, Effect::Write, "{head}: {reason}");
        // This is far longer than linear time needs and far shorter than quadratic time.
        assert!(begun.elapsed().as_secs() < 5, "{head}: {:?}", begun.elapsed());
    }
    // Statements within the limits are parsed and walked without exhausting a test's stack.
    let limits = ParseLimits::default();
    for (text, read) in [
        (format!("SELECT {}1{}", "(".repeat(limits.max_depth), ")".repeat(limits.max_depth)), true),
        (format!("SELECT 1{}", " + 1".repeat(limits.max_operators)), true),
        (format!("SELECT 1{}", " + 1".repeat(limits.max_operators + 1)), false),
        (format!("SELECT a FROM t WHERE {}", vec!["a = 1"; 100].join(" OR ")), true),
    ] {
        assert_eq!(effect_and_reason(&text).0 == Effect::Read, read, "{}", &text[..40]);
    }
    let mut reader = StatementReader::default();
    assert_eq!(reader.read_bytes(b"SELECT '\xff'").err(), Some(ReadError::Encoding));
    assert_eq!(reader.read_bytes(b"SELECT 1\0").err(), Some(ReadError::Nul));
    // A failed read leaves nothing behind.
    reader.read("SELECT 2").expect("read");
    assert_eq!(reader.shape(), "select 0 ");
}

#[test]
fn function_additions_change_the_effect() {
    let effect = |text: &str, additions: &FunctionAdditions| {
        let mut reader = StatementReader::default();
        reader.read(text).expect(text);
        reader.analyze(&Functions::new(additions), &ParseLimits::default()).effect
    };
    let no_additions = FunctionAdditions::default();
    let additions_under_test = FunctionAdditions {
        side_effect_free: vec!["gis.area".into(), "bearing".into()],
        with_effects: vec!["audit_view".into(), "lower".into(), "app.touching".into()],
        omit_builtin: false,
    };
    for (text, before, after) in [
        ("SELECT gis.area(x) FROM t", Effect::Write, Effect::Read),
        ("SELECT bearing(x), upper(y) FROM t", Effect::Write, Effect::Read),
        ("SELECT app.bearing(x) FROM t", Effect::Write, Effect::Write),
        ("SELECT area.gis(x) FROM t", Effect::Write, Effect::Write),
        ("SELECT * FROM audit_view", Effect::Read, Effect::Write),
        ("SELECT * FROM \"audit_view\"", Effect::Read, Effect::Write),
        ("SELECT t.audit_view FROM t", Effect::Read, Effect::Write),
        ("SELECT * FROM app.touching", Effect::Read, Effect::Write),
        ("SELECT lower(x) FROM t", Effect::Read, Effect::Write),
    ] {
        assert_eq!(
            (effect(text, &no_additions), effect(text, &additions_under_test)),
            (before, after),
            "{text}"
        );
    }
    let without_builtin = FunctionAdditions { omit_builtin: true, ..FunctionAdditions::default() };
    assert_eq!(effect("SELECT upper(x) FROM t", &without_builtin), Effect::Write);
}

/// Nests a payload in syntax that only reads. Each of `wraps` selects one more level: `e` marks a text that is an
/// expression so far, `q` a query, and `s` a whole statement that can't be nested further.
fn nested_in_read_syntax(payload: Payload, wraps: &[u8]) -> String {
    let (mut text, mut kind) = match payload {
        Payload::Call(call) => (call.to_string(), 'e'),
        Payload::Query(query) => (query.to_string(), 'q'),
    };
    for wrap in wraps {
        (text, kind) = match (kind, wrap % 12) {
            ('e', 0) => (format!("({text})"), 'e'),
            ('e', 1) => (format!("COALESCE(NULL, {text}, lower('x'))"), 'e'),
            ('e', 2) => (format!("CASE WHEN a IS NULL THEN 1 ELSE {text} END"), 'e'),
            ('e', 3) => (format!("SELECT a, {text} AS b FROM t WHERE c IN (1, 2)"), 'q'),
            ('e', 4) => (format!("SELECT 1 FROM t WHERE a = 'it''s' AND {text} IS NOT NULL"), 'q'),
            ('e', 5) => (format!("VALUES (1), ({text}), (1)"), 'q'),
            ('e', 6) => (format!("ARRAY[1, {text}]"), 'e'),
            ('e', 7) => (format!("/* x */ {text} -- y\n"), 'e'),
            ('e', 8) => (format!("{text}::text"), 'e'),
            ('e', 9) => (format!("SELECT a FROM t ORDER BY {text} LIMIT 1"), 'q'),
            ('e', 10) => (format!("lower(CAST({text} AS text))"), 'e'),
            ('e', _) => (format!("SELECT x FROM t WHERE y IN (1, 2, {text}, 3)"), 'q'),
            (_, 0) => (format!("({text})"), 'q'),
            (_, 1) => (format!("SELECT * FROM ({text}) AS s"), 'q'),
            (_, 2) => (format!("WITH w AS ({text}) SELECT 1"), 'q'),
            (_, 3) => (format!("SELECT 1 UNION ALL ({text})"), 'q'),
            (_, 4) => (format!("SELECT EXISTS ({text})"), 'q'),
            (_, 5) => (format!("(SELECT a FROM t WHERE b IN ({text}))"), 'q'),
            (_, 6) => (format!("ARRAY({text})"), 'e'),
            (_, 7) => (format!("SELECT 'a;b'; {text}; SELECT $$c$$"), 's'),
            (_, 8) => (format!("EXPLAIN ANALYZE {text}"), 's'),
            (_, 9) => (format!("WITH RECURSIVE w (a, b) AS MATERIALIZED ({text}) SELECT a FROM w"), 'q'),
            (_, 10) => (format!("/* /* n */ */ {text}"), 'q'),
            (_, _) => (format!("SELECT a, ({text}) FROM t FETCH FIRST 1 ROW ONLY"), 'q'),
        };
        if kind == 's' {
            return text;
        }
    }
    if kind == 'e' { format!("SELECT {text}") } else { text }
}

/// What is nested.
#[derive(Clone, Copy, Debug)]
enum Payload {
    Call(&'static str),
    Query(&'static str),
}

/// Payloads that write.
const WRITES: [Payload; 12] = [
    Payload::Call("purge()"),
    Payload::Call("nextval('s')"),
    Payload::Call("app.lower('x')"),
    Payload::Call("\"Lower\"('x')"),
    Payload::Call("purge /* c */ (1, 2)"),
    Payload::Call("set_config('a', 'b', true)"),
    Payload::Query("DELETE FROM t RETURNING a"),
    Payload::Query("INSERT INTO t VALUES (1), (2) RETURNING a"),
    Payload::Query("UPDATE t SET a = 'x' RETURNING a"),
    Payload::Query("SELECT a FROM t FOR UPDATE"),
    Payload::Query("SELECT a INTO u FROM t"),
    Payload::Query("WITH d AS (DELETE FROM t RETURNING a) SELECT a FROM d"),
];

/// Changes the case of letters and the form of white space outside of quotes, which leaves the statement the same.
fn with_random_case_and_space(text: &str, seed: u64) -> String {
    let mut out = String::new();
    let (mut state, mut quote) = (seed | 1, None);
    for c in text.chars() {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let draw = state >> 33;
        match (quote, c) {
            (None, '\'' | '"' | '$') => quote = Some(c),
            (Some(q), c) if q == c => quote = None,
            _ => {}
        }
        match c {
            ' ' if quote.is_none() => {
                out.push_str([" ", "\n", "\t", "  ", " /* DELETE */ "][(draw % 5) as usize])
            }
            c if quote.is_none() && draw % 3 == 0 => out.extend(c.to_uppercase()),
            c => out.push(c),
        }
    }
    out
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(0x0511_f01d), ..ProptestConfig::default() })]

    #[test]
    fn write_nested_in_read_syntax_stays_a_write(
        write_index in 0..WRITES.len(), wraps in prop::collection::vec(any::<u8>(), 0..6), seed in any::<u64>(),
    ) {
        let text = nested_in_read_syntax(WRITES[write_index], &wraps);
        let text = if text.contains("--") { text } else { with_random_case_and_space(&text, seed) };
        let (effect, reason) = effect_and_reason(&text);
        prop_assert!(effect >= Effect::Write, "{:?} {} for {}", text, effect.name(), reason);
    }

    #[test]
    fn known_function_nested_in_read_syntax_is_a_read(
        wraps in prop::collection::vec(any::<u8>().prop_filter("one statement", |w| w % 12 != 8), 0..4),
        seed in any::<u64>(),
    ) {
        // Guards against the test above passing because nothing is ever a read.
        let text = nested_in_read_syntax(Payload::Call("upper('x')"), &wraps);
        let text = if text.contains("--") { text } else { with_random_case_and_space(&text, seed) };
        let (effect, reason) = effect_and_reason(&text);
        prop_assert!(effect == Effect::Read, "{:?} {} for {}", text, effect.name(), reason);
    }

    #[test]
    fn any_text_is_read_without_a_panic_and_its_shape_has_itself_as_shape(
        text in prop::collection::vec(prop::sample::select(vec![
            "'", "''", "\"", "$$", "$a$", "E'", "\\", "/*", "*/", "--", "\n", "(", ")", "[", "]", ",", ";",
            "select", "in", "values", "array", "begin", "atomic", "create", "end", "case", "1", "-", "+", ".", ":",
            "x", "f", " ", "é", "U&", "b'", "@", "1.5e", "$1", "any", "with", "as", "table", "from", "\u{1}",
        ]), 0..60),
    ) {
        let text = text.concat();
        let mut reader = StatementReader::default();
        if reader.read(&text).is_ok() {
            let first_effect = reader.analyze(&Functions::default(), &ParseLimits::default()).effect;
            let (shape, literal_count) = (reader.shape().to_string(), reader.literals().len());
            for literal in reader.literals() {
                prop_assert!(text.get(literal.span.clone()).is_some());
            }
            reader.read(&shape).expect("a shape is a statement");
            prop_assert_eq!(reader.shape(), &shape);
            prop_assert_eq!(reader.literals().len(), literal_count);
            prop_assert!(reader.analyze(&Functions::default(), &ParseLimits::default()).effect <= first_effect);
        }
    }
}
