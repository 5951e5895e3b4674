//! Clients send some commands at once, and read the answers slowly. The platform kills a proxy over its memory. In the other
//! scene, further clients come behind the slow ones, send a few writes at once, and read at full speed.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SOCKETS: usize = 1024;
/// The writes that a client sends at once that comes later and reads at full speed.
const WRITES: usize = 4;
const WRITERS: usize = 10;
const WRITE_BYTES: usize = 12 * 1024;

/// How many clients come, under a third of the descriptors.
#[derive(Clone, Copy)]
pub struct Load {
    /// The limit of the configuration.
    memory_mb: usize,
    pub clients: usize,
    /// The commands that each client sends at once.
    pub commands: usize,
    /// A client comes each so often.
    pub interval: Duration,
    /// How long the platform watches the memory after the last client has come.
    pub watch: Duration,
    /// Whether the writers come behind them.
    pub writers: bool,
}
/// 100 requests in 320 ms are 312 a second.
pub const BYSTANDERS: Load = Load {
    memory_mb: 192,
    clients: 45,
    commands: 100,
    interval: Duration::from_millis(320),
    watch: Duration::from_secs(3),
    writers: true,
};
/// 45 requests in 150 ms are 300 a second.
pub const MEMORY: Load = Load {
    memory_mb: 96,
    clients: 240,
    commands: 45,
    interval: Duration::from_millis(150),
    watch: Duration::from_secs(5),
    writers: false,
};
/// The length of each value; the protocol has 64 KiB at most.
const VALUE_BYTES: usize = 60 * 1024;
const WORK: Duration = Duration::from_millis(30);
/// A slow client reads this much, each so often: a value takes it 0.67 s, less than the 0.75 s that it waits for each.
const SLOW_READ_BYTES: usize = 9 * 1024;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(100);

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

pub fn run(run: &Run, load: Load) -> io::Result<Verdict> {
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
        hosts.push(Listed { name: format!("s-{number}"), address, primary: number == 0, group: 0 });
    }
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let settings = settings("dedup");
    let start = Start { known, settings, memory_mb: load.memory_mb, sockets: SOCKETS, operator_file: None };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;
    let address = proxy.address;

    let fast = AtomicBool::new(!run.trouble);
    let [served, refused, failed, lost, wrong] = [const { AtomicUsize::new(0) }; 5];
    let client = |number: usize| -> io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        wire::open_session(&mut stream, "orders")?;
        let mut out = Vec::new();
        for command in 0..load.commands {
            let reference = reference(number, command);
            out.extend(wire::query(&format!(
                "/* id=5a{reference},c=history,d=750,cluster=0 */ SELECT payload FROM entries WHERE ref = '{reference}'"
            )));
        }
        stream.write_all(&out)?;
        record.line(format!("client {number}: has sent {} requests", load.commands));
        let paced = Paced { stream, fast: &fast };
        let mut paced = BufReader::with_capacity(SLOW_READ_BYTES, paced);
        let mut counts = [0; 3];
        for command in 0..load.commands {
            match wire::read_answer(&mut paced) {
                Ok(Answer::Served(value)) if value != value_of(&reference(number, command)) => {
                    wrong.fetch_add(1, Ordering::SeqCst);
                }
                Ok(Answer::Served(_)) => counts[0] += 1,
                Ok(answer) if answer.is_refusal() => counts[1] += 1,
                Ok(_) => counts[2] += 1,
                Err(e) => {
                    let left = load.commands - command;
                    lost.fetch_add(left, Ordering::SeqCst);
                    record.line(format!("client {number}: {left} requests are not answered: {e}"));
                    break;
                }
            }
        }
        record.line(format!(
            "client {number}: {} served, {} refused, {} failed",
            counts[0], counts[1], counts[2]
        ));
        for (total, count) in [&served, &refused, &failed].into_iter().zip(counts) {
            total.fetch_add(count, Ordering::SeqCst);
        }
        Ok(())
    };
    let client = &client;
    let lost_writes = AtomicUsize::new(0);
    let writer = |number: usize| -> io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        wire::open_session(&mut stream, "orders")?;
        let mut out = Vec::new();
        for write in 0..WRITES {
            let (reference, hex) = (reference(1_000 + number, write), "5a".repeat(WRITE_BYTES));
            out.extend(wire::query(format!(
                "/* id=5b{reference},c=ingest,d=2000,k={reference},cluster=0 */ INSERT INTO entries (ref, payload) \
                 VALUES ('{reference}', '\\x{hex}') RETURNING payload"
            )));
        }
        stream.write_all(&out)?;
        record.line(format!("writer {number}: has written {WRITES} writes, {} bytes together", out.len()));
        for write in 0..WRITES {
            match wire::read_answer(&mut stream) {
                Ok(Answer::Served(value)) => {
                    record.line(format!("writer {number}: write {write} is served, {} bytes", value.len()))
                }
                Ok(Answer::Error(code)) => {
                    record.line(format!("writer {number}: write {write} is answered by error {code}"))
                }
                Err(e) => {
                    lost_writes.fetch_add(WRITES - write, Ordering::SeqCst);
                    record.line(format!(
                        "writer {number}: the connection ends with {} writes unanswered: {e}",
                        WRITES - write
                    ));
                    break;
                }
            }
        }
        Ok(())
    };
    let writer = &writer;
    let (mut peak_kib, mut killed, mut ended) = (0, false, None);
    thread::scope(|scope| {
        let started = Instant::now();
        let mut came = 0;
        let mut next_line = Duration::ZERO;
        while started.elapsed() < load.interval * load.clients as u32 + load.watch {
            if came < load.clients && started.elapsed() >= load.interval * came as u32 {
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
            if memory_kib > load.memory_mb as u64 * 1024 {
                record.line(format!(
                    "platform: the proxy holds {memory_kib} KiB, over {} MB, and is killed",
                    load.memory_mb
                ));
                proxy.kill();
                killed = true;
                break;
            }
            thread::sleep(Duration::from_millis(10));
        }
        if load.writers && !killed && ended.is_none() {
            let mut writers = Vec::new();
            for number in 0..WRITERS {
                writers.push(scope.spawn(move || writer(number)));
                thread::sleep(Duration::from_millis(50));
            }
            for (number, writer) in writers.into_iter().enumerate() {
                if let Err(e) = writer.join().expect("a writer's thread") {
                    record.line(format!("writer {number}: {e}"));
                }
            }
            ended = proxy.ended();
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
            load.memory_mb * 1024,
            count(&lost)
        )));
    }
    if count(&lost_writes) > 0 {
        return Ok(Verdict::Broken(format!(
            "the proxy ended connections with {} of {} writes unanswered that were written whole",
            count(&lost_writes),
            WRITERS * WRITES
        )));
    }
    if count(&lost) > 0 {
        return Ok(Verdict::Broken(format!("{} requests were lost", count(&lost))));
    }
    if count(&served) < load.clients * load.commands / 4 {
        return Err(io::Error::other("too few requests were served for this case to say anything"));
    }
    Ok(Verdict::Held)
}
