//! Runs one case of the second review. `stand2 CASE ROOT FOLDER`: ROOT is the repository, FOLDER is where `record.txt`
//! goes. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.

mod block;
mod hang;
mod keys;
mod leave;
mod order;
mod rig;
mod search;
mod temp;
mod twin;
mod upload;

use rig::Record;
use std::path::PathBuf;
use std::process::exit;

/// What a case needs to know.
pub struct Case {
    pub root: PathBuf,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, folder] = args.as_slice() else {
        eprintln!("usage: stand2 CASE ROOT FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|v| v == "0");
    let case = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Case { root: PathBuf::from(root), record, trouble: !trouble },
        Err(e) => {
            eprintln!("{e}");
            exit(2);
        }
    };
    case.record.line(format!("case {name}, trouble: {}", case.trouble));
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        println!("the case could not run: it took too long");
        rig::kill_all();
        exit(2);
    });
    // A broken rule is told in words; `None` says that it held.
    let verdict = match name.as_str() {
        "hang" => hang::run(&case),
        "keys" => keys::run(&case),
        "block" => block::run(&case),
        "chain" => block::run_chain(&case),
        "leave" => leave::run(&case),
        "order" => order::run(&case),
        "search" => search::run(&case),
        "temp" => temp::run(&case),
        "twin" => twin::run(&case),
        "upload" => upload::run(&case),
        other => Err(format!("no case {other:?}")),
    };
    let (code, text) = match verdict {
        Ok(None) => (0, "the rule held".to_string()),
        Ok(Some(broken)) => (1, format!("BROKEN: {broken}")),
        Err(e) => (2, format!("the case could not run: {e}")),
    };
    case.record.line(&text);
    println!("{text}");
    exit(code);
}
