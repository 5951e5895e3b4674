//! A client sends more writes than the proxy reads ahead, and goes, while the group takes no writes. Nothing may begin for it
//! more than 0.1 s behind its close.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire;
use crate::{Run, Verdict};
use std::io::{self, BufReader, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The writes that the client means to send, each with a value of 64 KiB.
const WRITES: usize = 60;
const VALUE_BYTES: usize = 64 * 1024;
/// For how long the client sends what its machine takes.
const SENDING: Duration = Duration::from_millis(100);
/// How long the group takes no writes: a primary that drains hands over within 0.56 to 0.91 s.
const HANDOVER: Duration = Duration::from_millis(700);

fn write(number: usize) -> Vec<u8> {
    let hex = "9f".repeat(VALUE_BYTES);
    wire::query(format!(
        "/* id=5b{number:016x},c=ingest,d=2000,k={number:016x},cluster=0 */ INSERT INTO entries (ref, payload) VALUES \
         ('{number:016x}', '\\x{hex}') RETURNING payload"
    ))
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let handover: Arc<Mutex<Option<Instant>>> = Arc::default();
    let begun: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut hosts = Vec::new();
    for member in 0..3 {
        let (handover, begun, host_record) = (handover.clone(), begun.clone(), record.clone());
        let address = start_host(member == 0, move |_| {
            let waits = handover.lock().expect("lock").is_some_and(|since| since.elapsed() < HANDOVER);
            begun.lock().expect("lock").push(Instant::now());
            if waits {
                host_record.line("primary: turns a write away, it hands over");
                return Act::Error("25006");
            }
            host_record.line("primary: begins a write");
            thread::sleep(Duration::from_millis(80));
            Act::Row(vec![0x9f])
        })?;
        hosts.push(Listed { name: format!("s-{member}"), address, primary: member == 0, group: 0 });
    }
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let start =
        Start { known, settings: settings("dedup"), memory_mb: 192, sockets: 1024, operator_file: None };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;
    *handover.lock().expect("lock") = Some(Instant::now());
    record.line("primary: hands over, and takes no writes meanwhile");
    let mut stream = proxy.connect()?;
    let all: Vec<u8> = (0..WRITES).flat_map(write).collect();
    let closed_at;
    if run.trouble {
        stream.set_nonblocking(true)?;
        let (until, mut sent) = (Instant::now() + SENDING, 0);
        while Instant::now() < until && sent < all.len() {
            match stream.write(&all[sent..]) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => thread::sleep(Duration::from_millis(5)),
                Err(e) => return Err(e),
            }
        }
        drop(stream);
        closed_at = Instant::now();
        record.line(format!("client: has sent {sent} of {} bytes, and has closed its connection", all.len()));
    } else {
        stream.write_all(&write(0))?;
        thread::sleep(SENDING);
        drop(BufReader::new(stream));
        closed_at = Instant::now();
        record.line("client: has sent one write, and has closed its connection");
    }
    thread::sleep(Duration::from_millis(2_500));
    if let Some(status) = proxy.ended() {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    let late = begun.lock().expect("lock").iter().filter_map(|at| at.checked_duration_since(closed_at)).max();
    match late {
        Some(late) if late > Duration::from_millis(100) => {
            Ok(Verdict::Broken(format!("an attempt began {late:.1?} behind its client's close")))
        }
        _ => Ok(Verdict::Held),
    }
}
