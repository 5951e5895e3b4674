//! The cases of the review: each starts the proxy among stand-ins, with or without its disruption, writes what happened to
//! `record.txt` in its folder, and says by its exit code whether the rule held. `write-order`, `left-behind` and
//! `slow-readers` are the cases 1 to 3; the other scenes are faults that REPORT.md lists beside them.

mod altered_statement;
mod drain_busy;
mod gone_unseen;
mod left_behind;
mod long_pipeline;
mod plain_broken;
mod plain_write;
mod slow_readers;
mod stand;
mod switched_on;
mod wire;
mod write_order;

use stand::Record;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Whether the rule of a case held.
pub enum Verdict {
    Held,
    Broken(String),
}

/// One run of a case: its folder, its record, and whether the disruption happens.
pub struct Run {
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-stand CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let result = std::panic::catch_unwind(|| start(&case, Path::new(&folder), trouble));
    match result {
        Ok(Ok(Verdict::Held)) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Ok(Verdict::Broken(how))) => {
            println!("the rule was broken: {how}");
            ExitCode::from(1)
        }
        Ok(Err(e)) => {
            println!("the case could not run: {e}");
            ExitCode::from(2)
        }
        Err(_) => ExitCode::from(2),
    }
}

fn start(case: &str, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::new(folder)?;
    record.line(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let run = Run { folder: folder.to_path_buf(), record: record.clone(), trouble };
    let verdict = match case {
        "altered-statement" => altered_statement::run(&run),
        "long-pipeline" => long_pipeline::run(&run),
        "switched-on" => switched_on::run(&run),
        "left-behind" => left_behind::run(&run),
        "write-order" => write_order::run(&run),
        "drain-busy" => drain_busy::run(&run),
        "plain-broken" => plain_broken::run(&run),
        "gone-unseen" => gone_unseen::run(&run),
        "plain-write" => plain_write::run(&run),
        "slow-readers" => slow_readers::run(&run, slow_readers::MEMORY),
        "bystanders" => slow_readers::run(&run, slow_readers::BYSTANDERS),
        _ => Err(io::Error::other(format!("no case {case:?}"))),
    };
    match &verdict {
        Ok(Verdict::Held) => record.line("verdict: the rule held"),
        Ok(Verdict::Broken(how)) => record.line(format!("verdict: the rule was broken: {how}")),
        Err(e) => record.line(format!("verdict: the case could not run: {e}")),
    }
    verdict
}
