//! Runs `sillfold-plan` on the example fleet and load of `deploy/`, and checks its answers and its errors for invalid
//! input.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The path of an example file.
fn example_path(name: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name).display().to_string()
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sillfold-plan")).args(args).output().expect("the program runs")
}

/// Asks a question about the example fleet and load.
fn ask(question: &str, more_args: &[&str]) -> Output {
    let (fleet, load) = (example_path("fleet.json5"), example_path("load.json5"));
    let args = [&[question, "--fleet", fleet.as_str(), "--load", load.as_str()], more_args].concat();
    run(&args)
}

/// The standard output of a run that succeeded.
fn stdout_of(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Writes a temporary file and returns its path.
fn write_temp_file(name: &str, text: &[u8]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sillfold-plan-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn questions_are_answered_in_text_and_json() {
    let text = stdout_of(&ask("saturate", &[]));
    assert!(
        text.starts_with("1. ") && text.contains("hangs most on") && text.contains("the goal is missed"),
        "{text}"
    );
    let json: serde_json::Value = serde_json::from_slice(&ask("saturate", &["--json"]).stdout).expect("JSON");
    let limits = json["answer"]["limits"].as_array().expect("limits");
    assert_eq!(limits.len(), 4);
    let multiple = |i: usize, key: &str| limits[i]["times"][key].as_f64().expect("a number");
    assert!(
        (0..4).all(
            |i| multiple(i, "low") <= multiple(i, "value") && multiple(i, "value") <= multiple(i, "high")
        )
    );
    assert!((0..3).all(|i| multiple(i, "value") <= multiple(i + 1, "value")));
    let text = stdout_of(&ask("size", &["--times", "1.5"]));
    assert!(text.lines().count() == 2 && text.contains("group 1: "), "{text}");
    let text = stdout_of(&ask("size", &["--class", "ingest=9"]));
    assert!(text.contains("no number of replicas will do"), "{text}");
    let text = stdout_of(&ask("lose", &["--room", "south"]));
    assert!(text.contains("groups [1] have to find another primary") && text.contains("cold"), "{text}");
    assert!(stdout_of(&ask("lose", &["--primary"])).starts_with("1 hosts are gone"));
    assert!(stdout_of(&ask("lose", &["--kind", "std"])).contains("nothing is left of groups [0, 1]"));
    let text = stdout_of(&ask("what-if", &["--times", "2.2", "--apply", "20"]));
    assert!(text.contains("busiest: apply thread") && text.contains("browse: "), "{text}");
    let text = stdout_of(&ask("compare", &["--other", &example_path("fleet.json5")]));
    assert!(text.contains("B bears 1.00 times what A does"), "{text}");
    let text = stdout_of(&ask("view", &["--once"]));
    assert!(text.contains("1.00 times the load") && text.contains("primary cores of group"), "{text}");
}

#[test]
fn html_page_is_self_contained() {
    let path = write_temp_file("page.html", b"");
    stdout_of(&ask("saturate", &["--html", path.to_str().expect("a path")]));
    let page = std::fs::read_to_string(&path).expect("a page");
    assert!(page.matches("<svg").count() == 2 && page.ends_with("</html>\n"), "{page}");
    assert!(["<script", "src=", "href="].iter().all(|reference| !page.contains(reference)));
    let _ = std::fs::remove_file(path);
}

#[test]
fn invalid_input_is_reported_with_its_place() {
    let fleet = std::fs::read_to_string(example_path("fleet.json5")).expect("the example");
    for (from, to, expected) in [
        ("cores: 4", "cores: 0", ":5:18: kinds.std.cores: lower than 1"),
        ("primary: true", "primary: false", "groups[0].members: 0 primaries"),
        ("room: 'north', primary", "room: 'east', primary", "groups[0].members[0].room: no room \"east\""),
        ("need: 'any'", "need: 'some'", "classes.history.need"),
        ("rooms:", "room:", "unknown field `room`"),
    ] {
        assert!(fleet.contains(from), "{from}");
        let path = write_temp_file("fleet.json5", fleet.replacen(from, to, 1).as_bytes());
        let output = run(&["check", path.to_str().expect("a path")]);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(2) && errors.contains(expected), "{expected}: {errors}");
        let _ = std::fs::remove_file(path);
    }
    assert!(stdout_of(&run(&["check", &example_path("fleet.json5")])).contains("sound; 9 hosts in 2 groups"));
    for args in [["--class", "nobody=2"], ["--class", "browse"], ["--times", "0"], ["--goal", "1.5"]] {
        assert_eq!(ask("what-if", &args).status.code(), Some(2), "{args:?}");
    }
    assert_eq!(ask("lose", &["--room", "nowhere"]).status.code(), Some(2));
    let schema: serde_json::Value =
        serde_json::from_slice(&run(&["check", "--schema"]).stdout).expect("JSON");
    assert!(schema["fleet"]["properties"]["groups"].is_object() && schema["load"].is_object());
}

#[test]
fn captures_serve_as_load_and_damage_is_reported_with_its_line() {
    use sillfold_capture::{Header, RecordedOutcome, Recorder, VERSION, encode_line};
    let header = Header { sillfold_capture: VERSION, name: "n0".into(), started_ms: 0, sample: 1 };
    let mut text = encode_line(&header).expect("a line");
    let mut recorder = Recorder::new(vec!["browse".into(), "ingest".into()], 1);
    for i in 0..60u64 {
        for n in 0..100u64 {
            recorder.request_arrived(0, (n % 2) as u32, 0);
            recorder.attempt_ended(0, (n % 2) as u32, RecordedOutcome::Served(20_000 + n * 300));
        }
        recorder.request_arrived(1, 0, 0);
        recorder.attempt_ended(1, 0, RecordedOutcome::Served(80_000));
        text += &encode_line(&recorder.take_record(i * 1_000, 1_000)).expect("a line");
    }
    let intact = write_temp_file("whole", text.as_bytes());
    let path = intact.to_str().expect("a path");
    let shown = stdout_of(&run(&["capture", "show", path]));
    assert!(shown.contains("60 s, 60 records") && shown.contains("browse: 6000 requests"), "{shown}");
    let fleet = example_path("fleet.json5");
    let output = run(&["saturate", "--fleet", &fleet, "--capture", path, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let notes = json["notes"].to_string();
    assert!(notes.contains("--apply-ms") && notes.contains("60 samples only"), "{notes}");
    // 100 requests per second of 35 ms keep 3.5 cores busy, half of them in each group. The groups
    // have 20 and 16 cores.
    let first = json["answer"]["limits"][0]["times"]["value"].as_f64().expect("a number");
    assert!((7.0..11.0).contains(&first), "{json}");
    let two_proxies = run(&[
        "saturate",
        "--fleet",
        &fleet,
        "--capture",
        path,
        "--capture",
        path,
        "--side-by-side",
        "--json",
    ]);
    let json: serde_json::Value = serde_json::from_slice(&two_proxies.stdout).expect("JSON");
    let second = json["answer"]["limits"][0]["times"]["value"].as_f64().expect("a number");
    assert!((first / second - 2.0).abs() < 0.01, "{first} {second}");
    let damaged = write_temp_file("torn", &text.as_bytes()[..text.len() - 40]);
    let output = run(&["capture", "show", damaged.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 61: cut short, or changed"), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("59 records"), "{output:?}");
    let not_a_capture = run(&["capture", "show", &fleet]);
    assert!(
        not_a_capture.status.code() == Some(2)
            && String::from_utf8_lossy(&not_a_capture.stderr).contains("no capture")
    );
    for path in [intact, damaged] {
        let _ = std::fs::remove_file(path);
    }
}
