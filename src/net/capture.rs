//! Writes the record of load for the planner. It takes what the core's recorder holds, interval by interval, and appends it
//! to a file, which is rotated when it is long enough. It must never delay a request: a slow disk blocks another thread,
//! and a full disk costs only records.

use super::core::Core;
use super::world;
use crate::operator::CaptureConf;
use sillfold_capture::{Header, Recorder, VERSION, encode_line};
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Records load until the future is dropped. Returns at once if the operator's file names no file.
pub async fn run(core: Rc<Core>, conf: CaptureConf, name: String) {
    let Some(file) = conf.file.as_ref().map(PathBuf::from) else { return };
    core.set_recorder(Some(Recorder::new(core.program_settings.class_names.clone(), conf.sample)));
    info!(target: "capture", "load is recorded to {}", file.display());
    let started_ms = core.clock.now() / 1_000;
    let header = Header { sillfold_capture: VERSION, name, started_ms, sample: conf.sample };
    let interval = Duration::from_millis(conf.every_ms);
    let mut due = world::now() + interval;
    let mut interval_start_ms = started_ms;
    let mut is_failing = false;
    // Whether this process has not written to the file yet.
    let mut is_first = true;
    loop {
        world::at(due).await;
        due = (due + interval).max(world::now());
        let now_ms = core.clock.now() / 1_000;
        let Some(record) = core.take_record(interval_start_ms, now_ms - interval_start_ms) else { return };
        interval_start_ms = now_ms;
        let (Ok(header), Ok(record)) = (encode_line(&header), encode_line(&record)) else { continue };
        let path = file.clone();
        let max_bytes = conf.most_kb * 1024;
        let keep = conf.keep;
        let written =
            blocking::unblock(move || append(&path, &header, &record, max_bytes, keep, is_first)).await;
        is_first &= written.is_err();
        if let (Err(e), false) = (&written, is_failing) {
            warn!(target: "capture", "{}: {e}; records are lost until it can be written again", file.display());
        }
        is_failing = written.is_err();
    }
}

#[allow(clippy::disallowed_methods, reason = "on a thread for slow disks, which no simulation has")]
/// Appends a record to the file. Rotates the file first if the record would make it longer than `max_bytes`, or if this is
/// the process's first record, since another process may have left the file. `keep` rotated files are kept.
fn append(
    path: &Path, header: &str, record: &str, max_bytes: u64, keep: u32, is_first: bool,
) -> io::Result<()> {
    let length = fs::metadata(path).map_or(0, |m| m.len());
    if length > 0 && (is_first || length + record.len() as u64 > max_bytes) {
        for n in (1..=keep).rev() {
            let from = if n == 1 { path.to_path_buf() } else { rotated_path(path, n - 1) };
            if from.exists() {
                fs::rename(from, rotated_path(path, n))?;
            }
        }
        if keep == 0 {
            fs::remove_file(path)?;
        }
    }
    let mut file = OpenOptions::new().create(true).append(true).open(path)?;
    if file.metadata()?.len() == 0 {
        file.write_all(header.as_bytes())?;
    }
    file.write_all(record.as_bytes())
}

/// The path of the `n`th rotated file, the latest first.
fn rotated_path(path: &Path, n: u32) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(format!(".{n}"));
    PathBuf::from(name)
}
