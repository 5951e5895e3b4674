//! A client sends reads and then two writes to one row behind one another, and reads the answers as they come. The writes
//! have to run in the order in which it sent them.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, BufReader, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The reads before the writes.
const READS: usize = 15;
/// The length of each value that is read; the protocol has 64 KiB at most.
const VALUE_BYTES: usize = 60 * 1024;
/// The work of a read, of the first read, and of a write.
const WORK: Duration = Duration::from_millis(50);
const FIRST_WORK: Duration = Duration::from_millis(100);
const WRITE_WORK: Duration = Duration::from_millis(80);
/// The row that is written twice.
const ROW: &str = "7f3a9c21e0b4d655";

/// What has run on the row, and its value.
#[derive(Default)]
struct Row {
    begun: Vec<u8>,
    committed: Vec<u8>,
}

fn read(number: usize) -> Vec<u8> {
    let id = format!("{number:016x}");
    wire::query(format!(
        "/* id=5a{id},c=history,d=750,cluster=0 */ SELECT payload FROM entries WHERE ref = '{id}'"
    ))
}

/// The write that sets the row to `value`.
fn write(value: u8) -> Vec<u8> {
    wire::query(format!(
        "/* id=5b{value:016x},c=ingest,d=2000,k=5c{value:014x},cluster=0 */ INSERT INTO entries (ref, payload) \
         VALUES ('{ROW}', '\\x{value:02x}') RETURNING payload"
    ))
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let row: Arc<Mutex<Row>> = Arc::default();
    let mut hosts = Vec::new();
    for member in 0..5 {
        let (row, host_record) = (row.clone(), record.clone());
        let address = start_host(member == 0, move |bytes| {
            let text = std::str::from_utf8(bytes).unwrap_or("");
            let Some(reference) = text.split('\'').nth(1).filter(|_| text.starts_with("/* id=")) else {
                return Act::Error("08P01");
            };
            if !text.contains("INSERT") {
                thread::sleep(if reference.ends_with("0000") { FIRST_WORK } else { WORK });
                return Act::Row(reference.bytes().cycle().take(VALUE_BYTES).collect());
            }
            let value = text.split("'\\x").nth(1).and_then(|t| u8::from_str_radix(t.get(..2)?, 16).ok());
            let Some(value) = value else { return Act::Error("08P01") };
            host_record.line(format!("primary: begins the write of {value:02x}"));
            row.lock().expect("lock").begun.push(value);
            thread::sleep(WRITE_WORK);
            row.lock().expect("lock").committed.push(value);
            host_record.line(format!("primary: has committed the write of {value:02x}"));
            Act::Row(vec![value])
        })?;
        hosts.push(Listed { name: format!("s-{member}"), address, primary: member == 0, group: 0 });
    }
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let start =
        Start { known, settings: settings("dedup"), memory_mb: 192, sockets: 1024, operator_file: None };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;

    let mut stream = proxy.connect()?;
    let mut reader = BufReader::with_capacity(1 << 16, stream.try_clone()?);
    let requests: Vec<Vec<u8>> = (0..READS).map(read).chain([write(1), write(2)]).collect();
    if run.trouble {
        stream.write_all(&requests.concat())?;
        record.line(format!(
            "client: has sent {READS} reads, the write of 01 and the write of 02, in this order, at once"
        ));
    }
    let mut answers = Vec::new();
    for (number, request) in requests.iter().enumerate() {
        if !run.trouble {
            record.line(format!("client: sends request {number}"));
            stream.write_all(request)?;
        }
        let answer = wire::read_answer(&mut reader)?;
        let what = match &answer {
            Answer::Served(value) if value.len() == 1 => format!("served, {:02x}", value[0]),
            Answer::Served(value) => format!("served, {} bytes", value.len()),
            Answer::Error(code) => format!("error {code}"),
        };
        record.line(format!("client: answer {number} is {what}"));
        answers.push(answer);
    }
    let Row { begun, committed } = &*row.lock().expect("lock");
    record.line(format!("begun in the order {begun:02x?}, committed in the order {committed:02x?}"));
    if let Some(status) = proxy.ended() {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    let both_served = answers[READS..].iter().all(|answer| matches!(answer, Answer::Served(_)));
    if begun.len() == 2 && (begun != &[1, 2] || committed != &[1, 2]) {
        return Ok(Verdict::Broken(format!(
            "the write that was sent second began before the first had its answer: committed in the order {committed:02x?}, both \
             served: {both_served}; the row holds {:02x}, and its client's last write was 02",
            committed.last().copied().unwrap_or(0)
        )));
    }
    if !both_served {
        return Err(io::Error::other("the writes were not both served"));
    }
    Ok(Verdict::Held)
}
