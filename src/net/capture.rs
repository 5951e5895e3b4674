//! The record of load for the planner, among files: it takes what the core's recorder holds, interval by interval, and
//! appends it to a file that is put aside when it is long enough. It must never hold up a request: a slow disk is
//! waited for elsewhere, and a full one costs records only.

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

/// Records load for as long as the future is kept; nothing where the operator's file names no file.
pub async fn run(core: Rc<Core>, conf: CaptureConf, name: String) {
    let Some(file) = conf.file.as_ref().map(PathBuf::from) else { return };
    core.set_recorder(Some(Recorder::new(core.program_settings.class_names.clone(), conf.sample)));
    info!(target: "capture", "load is recorded to {}", file.display());
    let started_ms = core.clock.now() / 1_000;
    let header = Header { sillfold_capture: VERSION, name, started_ms, sample: conf.sample };
    let every = Duration::from_millis(conf.every_ms);
    let (mut due, mut begun, mut failing, mut fresh) = (world::now() + every, started_ms, false, true);
    loop {
        world::at(due).await;
        due = (due + every).max(world::now());
        let now = core.clock.now() / 1_000;
        let Some(record) = core.take_record(begun, now - begun) else { return };
        begun = now;
        let (Ok(header), Ok(record)) = (encode_line(&header), encode_line(&record)) else { continue };
        let (path, most, keep) = (file.clone(), conf.most_kb * 1024, conf.keep);
        // Another process may have left a file there: a new one is begun, and that one put aside.
        let done = blocking::unblock(move || append(&path, &header, &record, most, keep, fresh)).await;
        fresh &= done.is_err();
        if let (Err(e), false) = (&done, failing) {
            warn!(target: "capture", "{}: {e}; records are lost until it can be written again", file.display());
        }
        failing = done.is_err();
    }
}

#[allow(clippy::disallowed_methods, reason = "on a thread for slow disks, which no simulated day has")]
/// Appends a record; a file that would grow too long, or is not this process's, is put aside first.
fn append(path: &Path, header: &str, record: &str, most: u64, keep: u32, fresh: bool) -> io::Result<()> {
    let length = fs::metadata(path).map_or(0, |m| m.len());
    if length > 0 && (fresh || length + record.len() as u64 > most) {
        for n in (1..=keep).rev() {
            let from = if n == 1 { path.to_path_buf() } else { aside(path, n - 1) };
            if from.exists() {
                fs::rename(from, aside(path, n))?;
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

fn aside(path: &Path, n: u32) -> PathBuf {
    let mut name = path.as_os_str().to_os_string();
    name.push(format!(".{n}"));
    PathBuf::from(name)
}
