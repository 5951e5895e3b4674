//! The program: what it prints of the examples that come with it, and what it says of files that will not do.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn deploy(name: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name).display().to_string()
}

fn run(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sillfold-plan")).args(words).output().expect("the program runs")
}

fn ask(question: &str, more: &[&str]) -> Output {
    let (fleet, load) = (deploy("fleet.json5"), deploy("load.json5"));
    let words = [&[question, "--fleet", fleet.as_str(), "--load", load.as_str()], more].concat();
    run(&words)
}

fn said(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn file(name: &str, text: &[u8]) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sillfold-plan-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("written");
    path
}

#[test]
fn every_question_has_its_answer_in_text_and_in_json() {
    let text = said(&ask("saturate", &[]));
    assert!(
        text.starts_with("1. ") && text.contains("hangs most on") && text.contains("the goal is missed"),
        "{text}"
    );
    let json: serde_json::Value = serde_json::from_slice(&ask("saturate", &["--json"]).stdout).expect("JSON");
    let limits = json["answer"]["limits"].as_array().expect("limits");
    assert_eq!(limits.len(), 4);
    let at = |i: usize, key: &str| limits[i]["times"][key].as_f64().expect("a number");
    assert!((0..4).all(|i| at(i, "low") <= at(i, "value") && at(i, "value") <= at(i, "high")));
    assert!((0..3).all(|i| at(i, "value") <= at(i + 1, "value")));
    let text = said(&ask("size", &["--times", "1.5"]));
    assert!(text.lines().count() == 2 && text.contains("group 1: "), "{text}");
    let text = said(&ask("size", &["--class", "ingest=9"]));
    assert!(text.contains("no number of replicas will do"), "{text}");
    let text = said(&ask("lose", &["--room", "south"]));
    assert!(text.contains("groups [1] have to find another primary") && text.contains("cold"), "{text}");
    assert!(said(&ask("lose", &["--primary"])).starts_with("1 hosts are gone"));
    assert!(said(&ask("lose", &["--kind", "std"])).contains("nothing is left of groups [0, 1]"));
    let text = said(&ask("what-if", &["--times", "2.2", "--apply", "20"]));
    assert!(text.contains("busiest: apply thread") && text.contains("browse: "), "{text}");
    let text = said(&ask("compare", &["--other", &deploy("fleet.json5")]));
    assert!(text.contains("B bears 1.00 times what A does"), "{text}");
    let text = said(&ask("view", &["--once"]));
    assert!(text.contains("1.00 times the load") && text.contains("primary cores of group"), "{text}");
}

#[test]
fn the_page_stands_alone() {
    let path = file("page.html", b"");
    said(&ask("saturate", &["--html", path.to_str().expect("a path")]));
    let page = std::fs::read_to_string(&path).expect("a page");
    assert!(page.matches("<svg").count() == 2 && page.ends_with("</html>\n"), "{page}");
    assert!(["<script", "src=", "href="].iter().all(|w| !page.contains(w)));
    let _ = std::fs::remove_file(path);
}

#[test]
fn what_will_not_do_is_named_with_its_place() {
    let fleet = std::fs::read_to_string(deploy("fleet.json5")).expect("the example");
    for (from, to, what) in [
        ("cores: 4", "cores: 0", ":5:18: kinds.std.cores: lower than 1"),
        ("primary: true", "primary: false", "groups[0].members: 0 primaries"),
        ("room: 'north', primary", "room: 'east', primary", "groups[0].members[0].room: no room \"east\""),
        ("need: 'any'", "need: 'some'", "classes.history.need"),
        ("rooms:", "room:", "unknown field `room`"),
    ] {
        assert!(fleet.contains(from), "{from}");
        let path = file("fleet.json5", fleet.replacen(from, to, 1).as_bytes());
        let output = run(&["check", path.to_str().expect("a path")]);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(2) && errors.contains(what), "{what}: {errors}");
        let _ = std::fs::remove_file(path);
    }
    assert!(said(&run(&["check", &deploy("fleet.json5")])).contains("sound; 9 hosts in 2 groups"));
    for words in [["--class", "nobody=2"], ["--class", "browse"], ["--times", "0"], ["--goal", "1.5"]] {
        assert_eq!(ask("what-if", &words).status.code(), Some(2), "{words:?}");
    }
    assert_eq!(ask("lose", &["--room", "nowhere"]).status.code(), Some(2));
    let schema: serde_json::Value =
        serde_json::from_slice(&run(&["check", "--schema"]).stdout).expect("JSON");
    assert!(schema["fleet"]["properties"]["groups"].is_object() && schema["load"].is_object());
}

#[test]
fn a_capture_is_shown_and_asked_and_a_torn_one_says_where() {
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
    let whole = file("whole", text.as_bytes());
    let path = whole.to_str().expect("a path");
    let shown = said(&run(&["capture", "show", path]));
    assert!(shown.contains("60 s, 60 records") && shown.contains("browse: 6000 requests"), "{shown}");
    let fleet = deploy("fleet.json5");
    let output = run(&["saturate", "--fleet", &fleet, "--capture", path, "--json"]);
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let notes = json["notes"].to_string();
    assert!(notes.contains("--apply-ms") && notes.contains("60 samples only"), "{notes}");
    // 100 a second of 35 ms are 3.5 cores, half of them in each group of 20 and 16.
    let first = json["answer"]["limits"][0]["times"]["value"].as_f64().expect("a number");
    assert!((7.0..11.0).contains(&first), "{json}");
    let twice = run(&[
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
    let json: serde_json::Value = serde_json::from_slice(&twice.stdout).expect("JSON");
    let second = json["answer"]["limits"][0]["times"]["value"].as_f64().expect("a number");
    assert!((first / second - 2.0).abs() < 0.01, "{first} {second}");
    let torn = file("torn", &text.as_bytes()[..text.len() - 40]);
    let output = run(&["capture", "show", torn.to_str().expect("a path")]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("line 61: cut short, or changed"), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).contains("59 records"), "{output:?}");
    let foreign = run(&["capture", "show", &fleet]);
    assert!(
        foreign.status.code() == Some(2) && String::from_utf8_lossy(&foreign.stderr).contains("no capture")
    );
    for path in [whole, torn] {
        let _ = std::fs::remove_file(path);
    }
}
