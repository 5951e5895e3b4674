//! The command line: the output and exit codes of `explain` and `check`.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

/// Runs the program with these arguments and this standard input, up to its exit.
fn run(arguments: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sillfold"))
        .args(arguments)
        .env_remove("LB_CONFIG")
        .env_remove("SILLFOLD_FILE")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    // The program may exit before it has read all input.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("it ends")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The JSON objects on standard output, one per line.
fn objects(output: &Output) -> Vec<serde_json::Value> {
    text(&output.stdout).lines().map(|l| serde_json::from_str(l).expect("an object a line")).collect()
}

/// A temporary file, which is removed at the end of the test.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &[u8]) -> File {
        let path = std::env::temp_dir().join(format!("sillfold-cli-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("written");
        File(path)
    }
    fn path(&self) -> &str {
        self.0.to_str().expect("a path")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn explain_handles_lines_in_order_and_reports_invalid_ones() {
    let lines: &[&[u8]] = &[
        br#"{"sql":"SELECT a FROM t WHERE b = 1"}"#,
        br#"{"sql":"DELETE FROM t"}"#,
        b"no json",
        br#"{"sql":"select  a from t where b=2 -- again"}"#,
        br#"{"text":"SELECT 1"}"#,
        br#"{"sql":"SET x = 1"}"#,
        b"{\"sql\":\"\xff\"}",
        b"",
        br#"{"sql":"SELECT 'x\u0000y'"}"#,
        br#"{"sql":"SELECT 1; SELECT 2"}"#,
        br#"{"sql":"SELECT 'unended"}"#,
        br#"{"sql":7}"#,
        br#"{"sql":"SELECT purge()"}"#,
    ];
    let file = File::new("lines", &lines.join(&b'\n'));
    let output = run(&["explain", "--json", "--file", file.path()], b"");
    assert_eq!(output.status.code(), Some(1));
    let explanations = objects(&output);
    let get = |key: &str| -> Vec<String> {
        explanations.iter().map(|o| o[key].to_string().replace('"', "")).collect()
    };
    assert_eq!(get("effect"), ["read", "write", "read", "session", "invalid", "read", "invalid", "write"]);
    let targets = ["replica", "primary", "replica", "refuse", "refuse", "primary", "refuse", "primary"];
    assert_eq!(get("target"), targets);
    assert_eq!(get("statements"), ["1", "1", "1", "1", "0", "2", "0", "1"]);
    assert_eq!(get("cached"), ["false", "false", "true", "false", "false", "false", "false", "false"]);
    let shapes = get("shape");
    assert!(shapes[0] == shapes[2] && shapes[0] != shapes[1] && shapes[0].len() == 16, "{shapes:?}");
    assert!(explanations.iter().all(|o| o["cost_us"].is_u64()
        && o["why"].is_string()
        && o.as_object().is_some_and(|o| o.len() == 7)));
    assert!(explanations[7]["why"].as_str().is_some_and(|w| w.contains("purge()")));
    let errors = text(&output.stderr);
    let invalid_lines: Vec<&str> =
        errors.lines().filter_map(|l| l.strip_prefix("line ")?.split(':').next()).collect();
    assert_eq!(invalid_lines, ["3", "5", "7", "12"], "{errors}");
}

#[test]
fn explain_reads_a_statement_from_an_argument_standard_input_or_a_file() {
    let output = run(&["explain", "--json", "SELECT 1"], b"");
    assert_eq!((output.status.code(), objects(&output).len()), (Some(0), 1));
    let output = run(&["explain", "--json"], b"SELECT 1;\nDELETE FROM t");
    assert_eq!(objects(&output)[0]["statements"], 2);
    let output = run(&["explain", "--json"], b"SELECT '\xff'");
    assert_eq!(objects(&output)[0]["effect"], "invalid");
    let output = run(&["explain", "UPDATE t SET a = 1"], b"");
    assert!(text(&output.stdout).starts_with("write    primary  "), "{output:?}");
    let output = run(&["explain", "--json", "--file", "/nowhere/at/all"], b"");
    assert_eq!(output.status.code(), Some(2));
    let output =
        run(&["explain", "--json", "--file", "-"], b"{\"sql\":\"SELECT 1\"}\n{\"sql\":\"SELECT 2\"}");
    assert_eq!(objects(&output)[1]["cached"], true);
    // A very long and deeply nested statement is explained too.
    let deep = format!("SELECT {}1{}", "(".repeat(100_000), ")".repeat(100_000));
    let output = run(&["explain", "--json"], deep.as_bytes());
    assert_eq!((output.status.code(), objects(&output)[0]["effect"].as_str()), (Some(0), Some("write")));
}

const RULES: &str = "{statements: {functions: {known: ['gis.area']}, rules: [
    {name: 'mine', effects: ['read'], tables: ['entries'], users: ['school'], class: 'browse', deadline_ms: 800,
     group: {by_key: {column: 'ref', among: [1, 2]}}},
    {name: 'rest', effects: ['read'], class: 'history', deadline_ms: 750, group: {constant: 7}}]}}";

#[test]
fn explain_applies_the_functions_and_rules_of_the_operators_file() {
    let file = File::new("rules.json5", RULES.as_bytes());
    let explain = |statement: &str, user: &str| {
        let arguments = ["explain", "--json", "--config", file.path(), "--user", user, statement];
        let output = run(&arguments, b"");
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        objects(&output).remove(0)
    };
    let mine = explain("SELECT gis.area(x) FROM entries WHERE ref = 'a'", "school");
    assert_eq!(
        (&mine["rule"], &mine["class"], &mine["target"]),
        (&"mine".into(), &"browse".into(), &"replica".into())
    );
    assert!(mine["group"] == 1 || mine["group"] == 2);
    assert_eq!(explain("SELECT 1 FROM entries", "web")["group"], 7);
    let refused = explain("SELECT 1 FROM entries", "school");
    assert_eq!(refused["target"], "refuse");
    assert!(refused["why"].as_str().is_some_and(|w| w.contains("ref is equal to no literal")), "{refused}");
    let refused = explain("DELETE FROM entries", "web");
    assert!(refused["target"] == "refuse" && refused["why"].as_str().is_some_and(|w| w.contains("no rule")));
}

#[test]
fn check_reports_the_key_and_place_of_each_error() {
    let rule = "{name: 'a', effects: ['read'], class: 'browse', deadline_ms: 800, group: {constant: 3}}";
    let file_with = |rules: &str| {
        format!(
            "{{\n  // A comment.\n  statements: {{\n    enabled: true,\n    rules: [\n      {rules},\n    ],\n  }},\n}}"
        )
    };
    let with_changed_rule = |from: &str, to: &str| file_with(&rule.replace(from, to));
    let with_second_rule = |text: &str| file_with(&format!("{rule},\n      {text}"));
    for (text, expected) in [
        (file_with(rule), None),
        ("{}".into(), None),
        ("{statements: {enabled: true}}".into(), Some(":1:14: statements.rules: no rule")),
        ("".into(), Some(":1:1: ")),
        ("{statements: 7}".into(), Some(":1:14: statements: ")),
        ("{} more".into(), Some("1:4: ")),
        ("{statement: {}}".into(), Some("unknown field `statement`")),
        ("{hosts: {user: ''}}".into(), Some(":1:16: hosts.user: ")),
        (
            with_changed_rule("deadline_ms: 800", "deadline_ms: 0"),
            Some(":6:68: statements.rules[0].deadline_ms: "),
        ),
        (
            with_changed_rule("deadline_ms: 800", "deadline_ms: '1'"),
            Some("statements.rules[0].deadline_ms: "),
        ),
        (with_changed_rule("['read']", "['reed']"), Some("statements.rules[0].effects")),
        (with_changed_rule("['read']", "[]"), Some(":6:28: statements.rules[0].effects: ")),
        (with_changed_rule("class: 'browse', ", ""), Some("missing field `class`")),
        (with_changed_rule("class:", "clas: 1, class:"), Some("unknown field `clas`")),
        (
            with_changed_rule("class:", "tables: ['a', 'b*'], class:"),
            Some("statements.rules[0].tables[1]: is no table"),
        ),
        (
            with_changed_rule("class:", "cost_ms: {from: 9, below: 3}, class:"),
            Some(":6:7: statements.rules[0]: rule \"a\" is unreachable"),
        ),
        (
            with_changed_rule("{constant: 3}", "{by_key: {column: '', among: [1]}}"),
            Some("statements.rules[0].group"),
        ),
        (with_second_rule(rule), Some(":7:14: statements.rules[1].name: \"a\" is another rule's")),
        (
            with_second_rule(&rule.replace("'a'", "'b'")),
            Some(":7:7: statements.rules[1]: rule \"b\" is shadowed by a"),
        ),
        (file_with(&rule.replace("800", "61000")), Some("deadline_ms")),
        ("{statements: {cache_kb: 1}}".into(), Some(":1:25: statements.cache_kb: ")),
    ] {
        let file = File::new("check.json5", text.as_bytes());
        let output = run(&["check", file.path()], b"");
        let errors = stderr(&output);
        match expected {
            None => assert_eq!(output.status.code(), Some(0), "{text}: {errors}"),
            Some(part) => {
                assert_eq!(output.status.code(), Some(2), "{text}: {errors}");
                assert!(errors.contains(part), "{text}\n{errors}\nhas no {part}");
                assert!(errors.contains(file.path()), "{errors}");
            }
        }
    }
    // An overlap of rules is a note, not an error.
    let overlap = "{statements: {rules: [
        {name: 'a', effects: ['read'], users: ['x'], class: 'c', deadline_ms: 1, group: {constant: 1}},
        {name: 'b', effects: ['read'], tables: ['t'], class: 'd', deadline_ms: 1, group: {constant: 1}}]}}";
    let file = File::new("overlap.json5", overlap.as_bytes());
    let output = run(&["check", file.path()], b"");
    assert_eq!(output.status.code(), Some(0));
    assert!(
        stderr(&output).contains(":3:9: statements.rules[1]: rules \"a\" and \"b\" overlap"),
        "{output:?}"
    );
    assert_eq!(run(&["check", "/nowhere/at/all"], b"").status.code(), Some(2));
    assert_eq!(run(&["check"], b"").status.code(), Some(2));
}

fn stderr(output: &Output) -> String {
    text(&output.stderr)
}

#[test]
fn check_accepts_the_supplied_files_and_prints_a_schema() {
    for name in ["deploy/sillfold.json5", "deploy/demo.json5"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(name);
        let output = run(&["check", path.to_str().expect("a path")], b"");
        assert_eq!((output.status.code(), stderr(&output).as_str()), (Some(0), ""), "{name}");
    }
    // The example holds the default values, except for the rules.
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/sillfold.json5");
    let example = std::fs::read_to_string(path).expect("the example");
    assert!(example.contains("enabled: false"));
    let output = run(&["check", "--schema"], b"");
    let schema: serde_json::Value = serde_json::from_slice(&output.stdout).expect("a schema");
    assert_eq!((output.status.code(), &schema["title"]), (Some(0), &"File".into()));
    assert!(schema["$defs"]["RuleConf"]["properties"]["deadline_ms"].is_object(), "{schema}");
    let help = text(&run(&["--help"], b"").stdout);
    assert!(["serve", "check", "explain"].iter().all(|w| help.contains(w)), "{help}");
}
