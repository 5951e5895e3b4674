//! Some clients send a few requests behind one another, read slowly, and leave. Then a client sends one write after the other.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Clients that leave, one after the other.
const LEAVERS: usize = 12;
/// The reads that each of them sends, between another read and a write.
const READS: usize = 14;
/// The length of each value; the protocol has 64 KiB at most.
const VALUE_BYTES: usize = 60 * 1024;
/// The work of a read of 1 KiB or 60 KiB in group 0, of the first read, which is in group 1, and of a write.
const WORK: Duration = Duration::from_millis(50);
const FIRST_WORK: Duration = Duration::from_millis(100);
const WRITE_WORK: Duration = Duration::from_millis(100);
/// How long a client that leaves has read nothing before.
const PATIENCE: Duration = Duration::from_millis(700);
/// The writes of the client that comes behind them, one each `WRITE_INTERVAL`.
const WRITES: usize = 30;
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

fn read(id: &str, group: u32) -> Vec<u8> {
    wire::query(format!(
        "/* id=5a{id},c=history,d=750,cluster={group} */ SELECT payload FROM entries WHERE ref = '{id}'"
    ))
}

fn write(id: &str) -> Vec<u8> {
    wire::query(format!(
        "/* id=5b{id},c=ingest,d=2000,k={id},cluster=0 */ INSERT INTO entries (ref, payload) VALUES ('{id}', '\\x9f03') \
         RETURNING payload"
    ))
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let writes_begun = Arc::new(AtomicUsize::new(0));
    let mut hosts = Vec::new();
    for group in 0..2 {
        for member in 0..4 {
            let (begun, host_record) = (writes_begun.clone(), record.clone());
            let address = start_host(member == 0, move |bytes| {
                let text = std::str::from_utf8(bytes).unwrap_or("");
                let Some(id) = text.split('\'').nth(1).filter(|_| text.starts_with("/* id=")) else {
                    return Act::Error("08P01");
                };
                if text.contains("INSERT") {
                    host_record.line(format!("primary of group {group}: begins write {id}"));
                    begun.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(WRITE_WORK);
                    return Act::Row(vec![0x9f, 0x03]);
                }
                thread::sleep(if group == 1 { FIRST_WORK } else { WORK });
                Act::Row(id.bytes().cycle().take(VALUE_BYTES).collect())
            })?;
            hosts.push(Listed { name: format!("s-{group}-{member}"), address, primary: member == 0, group });
        }
    }
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let start =
        Start { known, settings: settings("dedup"), memory_mb: 192, sockets: 1024, operator_file: None };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;

    for number in 0..LEAVERS {
        let mut stream = proxy.connect()?;
        let mut out = read(&format!("{number:08x}{:08x}", 0), 1);
        for n in 1..=READS {
            out.extend(read(&format!("{number:08x}{n:08x}"), 0));
        }
        out.extend(write(&format!("{number:08x}{:08x}", READS + 1)));
        stream.write_all(&out)?;
        if run.trouble {
            thread::sleep(PATIENCE);
            record.line(format!(
                "client {number}: leaves with its {} requests, of which it has read no answer",
                READS + 2
            ));
            drop(stream);
        } else {
            let mut reader = BufReader::new(stream);
            let mut served = 0;
            for _ in 0..READS + 2 {
                served += usize::from(matches!(wire::read_answer(&mut reader)?, Answer::Served(_)));
            }
            record.line(format!("client {number}: has read all its {} answers, {served} served", READS + 2));
        }
    }
    // What the others have left behind is over by now: the longest time that any of them waits is 2 s.
    thread::sleep(Duration::from_millis(2_500));

    let begun_before = writes_begun.load(Ordering::SeqCst);
    let mut client: TcpStream = proxy.connect()?;
    let started = Instant::now();
    let [mut served, mut refused, mut failed] = [0, 0, 0];
    for number in 0..WRITES {
        let wait = (WRITE_INTERVAL * number as u32).saturating_sub(started.elapsed());
        thread::sleep(wait);
        client.write_all(&write(&format!("{:08x}{number:08x}", 0xffff)))?;
        let answer = wire::read_answer(&mut client)?;
        match &answer {
            Answer::Served(_) => served += 1,
            answer if answer.is_refusal() => refused += 1,
            Answer::Error(_) => failed += 1,
        }
        record.line(format!("worker: write {number} is answered {answer:?}"));
    }
    let took = started.elapsed();
    let begun = writes_begun.load(Ordering::SeqCst) - begun_before;
    record.line(format!(
        "worker: {served} served, {refused} refused, {failed} failed in {took:.1?}; {begun} attempts came to the primary"
    ));
    if let Some(status) = proxy.ended() {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    if served == 0 && begun == 0 && refused + failed >= 15 && took >= Duration::from_secs(4) {
        return Ok(Verdict::Broken(format!(
            "the proxy rejected all {WRITES} that it got, for {took:.1?} on end, with no attempt in between"
        )));
    }
    Ok(Verdict::Held)
}
