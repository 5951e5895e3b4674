//! Clients send some commands at once, and read the answers slowly. The platform kills the proxy over its memory.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 192;
const SOCKETS: usize = 1024;
/// Under a third of the descriptors.
const CLIENTS: usize = 72;
/// The commands that each client sends at once.
const COMMANDS: usize = 100;
/// A client comes each so often: 100 requests in 320 ms are 312 a second.
const CLIENT_INTERVAL: Duration = Duration::from_millis(320);
/// The length of each value; the protocol has 64 KiB at most.
const VALUE_BYTES: usize = 60 * 1024;
const WORK: Duration = Duration::from_millis(30);
/// A slow client reads this much, each so often.
const SLOW_READ_BYTES: usize = 8 * 1024;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(100);
/// How long the platform watches the memory after the last client has come.
const WATCH: Duration = Duration::from_secs(10);

/// A stream that is read slowly until `fast` is set.
struct Paced<'a> {
    stream: TcpStream,
    fast: &'a AtomicBool,
}

impl Read for Paced<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        if self.fast.load(Ordering::Relaxed) {
            return self.stream.read(into);
        }
        thread::sleep(SLOW_READ_INTERVAL);
        let length = into.len().min(SLOW_READ_BYTES);
        self.stream.read(&mut into[..length])
    }
}

fn reference(client: usize, command: usize) -> String {
    format!("{client:08x}{command:08x}")
}

/// The value that a host has under a reference.
fn value_of(reference: &str) -> Vec<u8> {
    reference.bytes().cycle().take(VALUE_BYTES).collect()
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let mut hosts = Vec::new();
    for number in 0..5 {
        let address = start_host(number == 0, |bytes| {
            let text = std::str::from_utf8(bytes).unwrap_or("");
            thread::sleep(WORK);
            match text.split('\'').nth(1) {
                Some(reference) if text.starts_with("/* id=") => Act::Row(value_of(reference)),
                _ => Act::Error("08P01"),
            }
        })?;
        hosts.push(Listed { name: format!("s-{number}"), address, primary: number == 0 });
    }
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let settings = settings("dedup");
    let start = Start { known, settings, memory_mb: MEMORY_MB, sockets: SOCKETS, operator_file: None };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;
    let address = proxy.address;

    let fast = AtomicBool::new(!run.trouble);
    let (served, refused, failed, lost, wrong) = Default::default();
    let (served, refused, failed, lost, wrong): (AtomicUsize, AtomicUsize, AtomicUsize, AtomicUsize, AtomicUsize) =
        (served, refused, failed, lost, wrong);
    let client = |number: usize| -> io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        wire::open_session(&mut stream)?;
        let mut out = Vec::new();
        for command in 0..COMMANDS {
            let reference = reference(number, command);
            out.extend(wire::query(&format!(
                "/* id=5a{reference},c=history,d=750,cluster=0 */ SELECT payload FROM entries WHERE ref = '{reference}'"
            )));
        }
        stream.write_all(&out)?;
        record.line(format!("client {number}: has sent {COMMANDS} requests"));
        let mut paced = Paced { stream, fast: &fast };
        let mut counts = [0; 3];
        for command in 0..COMMANDS {
            match wire::read_answer(&mut paced) {
                Ok(Answer::Served(value)) if value != value_of(&reference(number, command)) => {
                    wrong.fetch_add(1, Ordering::SeqCst);
                }
                Ok(Answer::Served(_)) => counts[0] += 1,
                Ok(answer) if answer.is_refusal() => counts[1] += 1,
                Ok(_) => counts[2] += 1,
                Err(e) => {
                    let left = COMMANDS - command;
                    lost.fetch_add(left, Ordering::SeqCst);
                    record.line(format!("client {number}: {left} requests are not answered: {e}"));
                    break;
                }
            }
        }
        record.line(format!("client {number}: {} served, {} refused, {} failed", counts[0], counts[1], counts[2]));
        for (total, count) in [&served, &refused, &failed].into_iter().zip(counts) {
            total.fetch_add(count, Ordering::SeqCst);
        }
        Ok(())
    };
    let client = &client;
    let (mut peak_kib, mut killed, mut ended) = (0, false, None);
    thread::scope(|scope| {
        let started = Instant::now();
        let mut came = 0;
        let mut next_line = Duration::ZERO;
        while started.elapsed() < CLIENT_INTERVAL * CLIENTS as u32 + WATCH {
            if came < CLIENTS && started.elapsed() >= CLIENT_INTERVAL * came as u32 {
                let number = came;
                scope.spawn(move || {
                    if let Err(e) = client(number) {
                        record.line(format!("client {number}: {e}"));
                    }
                });
                came += 1;
            }
            if let Some(status) = proxy.ended() {
                ended = Some(status);
                break;
            }
            let memory_kib = proxy.memory_kib().unwrap_or(0);
            peak_kib = peak_kib.max(memory_kib);
            if started.elapsed() >= next_line {
                next_line += Duration::from_millis(500);
                record.line(format!("platform: the proxy holds {memory_kib} KiB"));
            }
            if memory_kib > MEMORY_MB as u64 * 1024 {
                record.line(format!("platform: the proxy holds {memory_kib} KiB, over {MEMORY_MB} MB, and is killed"));
                proxy.kill();
                killed = true;
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        fast.store(true, Ordering::Relaxed);
    });
    let count = |c: &AtomicUsize| c.load(Ordering::SeqCst);
    record.line(format!(
        "{} served, {} refused, {} failed, {} lost; the proxy held {peak_kib} KiB at most",
        count(&served),
        count(&refused),
        count(&failed),
        count(&lost)
    ));
    if let Some(status) = ended {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    if count(&wrong) > 0 {
        return Ok(Verdict::Broken(format!("{} answers hold another value", count(&wrong))));
    }
    if killed {
        return Ok(Verdict::Broken(format!(
            "the proxy held {peak_kib} KiB of {} and was killed; {} requests were lost",
            MEMORY_MB * 1024,
            count(&lost)
        )));
    }
    if count(&served) < CLIENTS * COMMANDS / 4 {
        return Err(io::Error::other("too few requests were served for this case to say anything"));
    }
    Ok(Verdict::Held)
}
