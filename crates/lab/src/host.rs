//! A stand-in for a database host: it keeps one table of references and payloads, follows its group's log with a
//! lag if it is a replica, and fails on order. It must never be kinder than a real one: a replica turns every
//! write away, and what it has not applied it does not show.

use crate::wire;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal};
use sillfold_route::sql::{Analysis, Effect, Functions, ParseLimits, StatementReader, analyze, literal_text};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Now, in milliseconds since 1970: the one clock of all positions.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The log of a group: what was committed, in order.
#[derive(Default)]
pub struct Group {
    log: Mutex<Vec<(u64, String, String)>>,
}

impl Group {
    /// A group that holds nothing.
    pub fn new() -> Arc<Group> {
        Arc::new(Group::default())
    }

    fn commit(&self, key: &str, payload: &str) -> u64 {
        let mut log = self.log.lock().expect("no writer panics");
        let at = now_ms().max(log.last().map_or(0, |l| l.0 + 1));
        log.push((at, key.into(), payload.into()));
        at
    }

    fn get(&self, key: &str, up_to: u64) -> Option<String> {
        let log = self.log.lock().expect("no writer panics");
        log.iter().rev().find(|l| l.0 <= up_to && l.1 == key).map(|l| l.2.clone())
    }

    /// How often a reference was written.
    pub fn writes_of(&self, key: &str) -> usize {
        self.log.lock().expect("no writer panics").iter().filter(|l| l.1 == key).count()
    }
}

/// What a host does wrong, once.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Runs the next statement, and ends the connection instead of answering.
    RunThenReset,
    /// Ends the connection without running it.
    Reset,
    /// Answers with an error of this code instead of running it.
    Error(&'static str),
    /// Says nothing, and keeps the connection.
    Hang,
    /// Answers these bytes.
    RawBytes(Vec<u8>),
    /// Answers so much of what it would, and ends the connection.
    Truncated(usize),
}

/// What a host has seen, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// A session was opened by this user in this database.
    Opened(String, String),
    /// A query came; probes are not told.
    Query(String),
    /// A session ended.
    Closed,
}

/// How a host is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name in discovery's list.
    pub name: String,
    /// Whether it takes writes.
    pub primary: bool,
    /// How far it is behind the log.
    pub lag: Duration,
    /// Whether the answer to a write tells its commit; a plain PostgreSQL server does not.
    pub reports_commit: bool,
    /// How long a statement takes.
    pub service_time: Duration,
    /// What it can do; without one it does everything at once.
    pub capacity: Option<Capacity>,
}

/// What a host can do: cores that work on one request each, and one thread that applies the log.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Requests that it works on at a time.
    pub cores: u32,
    /// Requests that it holds at a time, waiting ones included; one more is turned away.
    pub slots: u32,
    /// Sessions that it holds; one more is turned away.
    pub connections: u32,
    /// What a core takes for a request, by class: mean in milliseconds, squared coefficient of variation.
    pub work: BTreeMap<String, (f64, f64)>,
    /// What applying one write takes at a replica.
    pub apply: Duration,
    /// Of the draws of service times.
    pub seed: u64,
}

/// Cores in use, and who waits for one, first come first served.
#[derive(Default)]
struct Cores {
    busy: u32,
    inside: u32,
    next: u64,
    serving: u64,
}

/// How far a replica has applied its group's log.
#[derive(Default)]
struct Applied {
    entries: usize,
    /// When the thread is done with the last of them.
    done_at: f64,
    position: u64,
}

impl Default for Options {
    fn default() -> Options {
        let (name, primary, lag, service_time) = ("s-1".into(), true, Duration::ZERO, Duration::ZERO);
        Options { name, primary, lag, reports_commit: true, service_time, capacity: None }
    }
}

struct Shared {
    options: Options,
    group: Arc<Group>,
    lag_ms: AtomicU64,
    primary: AtomicBool,
    faults: Mutex<VecDeque<Fault>>,
    tell: Sender<HostEvent>,
    rejected_writes: AtomicU64,
    functions: Functions,
    cores: Mutex<Cores>,
    core_free: Condvar,
    sessions: AtomicU64,
    draws: Mutex<StdRng>,
    apply: Mutex<Applied>,
}

/// A host that runs until the program ends.
pub struct Host {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    seen: Receiver<HostEvent>,
}

impl Host {
    /// Starts one at a free port of this address.
    pub fn start(at: IpAddr, group: &Arc<Group>, options: Options) -> io::Result<Host> {
        Host::start_at(SocketAddr::new(at, 0), group, options)
    }

    /// The same at this very port.
    pub fn start_at(at: SocketAddr, group: &Arc<Group>, options: Options) -> io::Result<Host> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let (tell, seen) = channel();
        let shared = Arc::new(Shared {
            lag_ms: AtomicU64::new(options.lag.as_millis() as u64),
            primary: AtomicBool::new(options.primary),
            group: group.clone(),
            draws: Mutex::new(StdRng::seed_from_u64(options.capacity.as_ref().map_or(0, |c| c.seed))),
            cores: Mutex::default(),
            core_free: Condvar::new(),
            sessions: AtomicU64::new(0),
            apply: Mutex::default(),
            options,
            faults: Mutex::default(),
            tell,
            rejected_writes: AtomicU64::new(0),
            functions: Functions::default(),
        });
        let all = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = all.clone();
                thread::spawn(move || {
                    // A connection that fails has ended; that is all there is to tell.
                    let _ = shared.converse(stream);
                    let _ = shared.tell.send(HostEvent::Closed);
                });
            }
        });
        Ok(Host { address, shared, seen })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// Whether it takes writes.
    pub fn is_primary(&self) -> bool {
        self.shared.primary.load(Ordering::Relaxed)
    }

    /// From now on it takes writes, or none.
    pub fn set_primary(&self, primary: bool) {
        self.shared.primary.store(primary, Ordering::Relaxed);
    }

    /// From now on it is so far behind.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lag_ms.store(lag.as_millis() as u64, Ordering::Relaxed);
    }

    /// The next statement that is no probe meets this fault; several wait their turn.
    pub fn inject_fault(&self, fault: Fault) {
        self.shared.faults.lock().expect("no one panics there").push_back(fault);
    }

    /// Statements that it had to turn away because they write and it is a replica.
    pub fn rejected_writes(&self) -> u64 {
        self.shared.rejected_writes.load(Ordering::Relaxed)
    }

    /// What it sees next; nothing within this time.
    pub fn next_event(&self, within: Duration) -> Option<HostEvent> {
        self.seen.recv_timeout(within).ok()
    }

    /// All queries that it has seen and that were not told yet.
    pub fn take_queries(&self) -> Vec<String> {
        let queries = self.seen.try_iter().filter_map(|s| match s {
            HostEvent::Query(text) => Some(text),
            HostEvent::Opened(..) | HostEvent::Closed => None,
        });
        queries.collect()
    }
}

impl Shared {
    fn applied(&self) -> u64 {
        if self.primary.load(Ordering::Relaxed) {
            return u64::MAX;
        }
        let shipped = now_ms() - self.lag_ms.load(Ordering::Relaxed);
        match &self.options.capacity {
            Some(c) if !c.apply.is_zero() => self.applied_by_one(shipped, c.apply.as_secs_f64() * 1e3),
            _ => shipped,
        }
    }

    /// The position of a replica whose one thread takes so many milliseconds for each write.
    fn applied_by_one(&self, shipped: u64, each: f64) -> u64 {
        let log = self.group.log.lock().expect("no writer panics");
        let mut at = self.apply.lock().expect("no one panics there");
        let now = now_ms() as f64;
        while let Some(entry) = log.get(at.entries).filter(|e| e.0 <= shipped) {
            let done = at.done_at.max(entry.0 as f64) + each;
            if done > now {
                // It works on this one: all before it is there.
                return at.position.max(entry.0 - 1);
            }
            (at.entries, at.done_at, at.position) = (at.entries + 1, done, entry.0);
        }
        shipped
    }

    /// Works on a request of this class for as long as it takes; false if there is no slot for it.
    fn work(&self, c: &Capacity, class: &str) -> bool {
        let mut cores = self.cores.lock().expect("no one panics there");
        if cores.inside >= c.slots {
            return false;
        }
        cores.inside += 1;
        let mine = cores.next;
        cores.next += 1;
        while cores.busy >= c.cores || cores.serving != mine {
            cores = self.core_free.wait(cores).expect("no one panics there");
        }
        cores.serving += 1;
        cores.busy += 1;
        drop(cores);
        self.core_free.notify_all();
        let (mean, cv2) = c.work.get(class).copied().unwrap_or((1.0, 0.0));
        let sigma2 = (1.0 + cv2).ln();
        let spread = LogNormal::new(mean.ln() - sigma2 / 2.0, sigma2.sqrt());
        let ms = spread.map_or(mean, |s| s.sample(&mut *self.draws.lock().expect("no one panics there")));
        thread::sleep(Duration::from_secs_f64(ms / 1e3));
        let mut cores = self.cores.lock().expect("no one panics there");
        cores.busy -= 1;
        cores.inside -= 1;
        drop(cores);
        self.core_free.notify_all();
        true
    }

    fn converse(&self, mut s: TcpStream) -> io::Result<()> {
        s.set_nodelay(true)?;
        let (user, database) = open(&mut s)?;
        let _session = Session(&self.sessions);
        let sessions = self.sessions.fetch_add(1, Ordering::Relaxed) + 1;
        if self.options.capacity.as_ref().is_some_and(|c| sessions > u64::from(c.connections)) {
            return s.write_all(&wire::error_response("53300", "too many connections"));
        }
        let _ = self.tell.send(HostEvent::Opened(user, database));
        let welcome = [
            wire::message(b'R', &[0; 4]),
            wire::parameter_status("server_version", "17.0"),
            wire::parameter_status("client_encoding", "UTF8"),
            wire::message(b'K', &[0, 0, 0, 1, 0, 0, 0, 2]),
            wire::ready_for_query(),
        ];
        s.write_all(&welcome.concat())?;
        loop {
            let (kind, body) = wire::read_message(&mut s)?;
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
            let probe = text.trim() == "SHOW usage";
            if !probe {
                let _ = self.tell.send(HostEvent::Query(text.clone()));
            }
            if let Some(c) = self.options.capacity.as_ref().filter(|_| !probe) {
                let class = text.split(",c=").nth(1).and_then(|t| t.split(',').next()).unwrap_or("");
                if !self.work(c, class) {
                    s.write_all(
                        &[wire::error_response("53300", "no slot is free"), wire::ready_for_query()].concat(),
                    )?;
                    continue;
                }
            }
            let fault =
                if probe { None } else { self.faults.lock().expect("no one panics there").pop_front() };
            match fault {
                None => self.answer(&text, &mut s)?,
                Some(Fault::RunThenReset) => {
                    let mut lost = Vec::new();
                    self.answer(&text, &mut lost)?;
                    return s.shutdown(Shutdown::Both);
                }
                Some(Fault::Reset) => return s.shutdown(Shutdown::Both),
                Some(Fault::Error(code)) => {
                    s.write_all(
                        &[wire::error_response(code, "as ordered"), wire::ready_for_query()].concat(),
                    )?;
                }
                Some(Fault::Hang) => {
                    let mut end = [0];
                    let _ = s.read(&mut end);
                    return Ok(());
                }
                Some(Fault::RawBytes(bytes)) => s.write_all(&bytes)?,
                Some(Fault::Truncated(bytes)) => {
                    let mut whole = Vec::new();
                    self.answer(&text, &mut whole)?;
                    s.write_all(&whole[..bytes.min(whole.len())])?;
                    return s.shutdown(Shutdown::Both);
                }
            }
        }
    }

    /// Runs all statements of a text, as one: an error ends them.
    fn answer(&self, text: &str, out: &mut impl Write) -> io::Result<()> {
        thread::sleep(self.options.service_time);
        let mut commit = None;
        for part in split(text) {
            if let Err((code, what)) = self.run(part, out, &mut commit)? {
                out.write_all(&wire::error_response(code, &what))?;
                break;
            }
        }
        let role = if self.primary.load(Ordering::Relaxed) { "writer" } else { "reader" };
        out.write_all(&wire::parameter_status("server_role", role))?;
        // Where its work is measured, every answer tells how far its host is.
        let position = self.options.capacity.as_ref().map(|_| self.applied().min(now_ms()));
        if let Some(at) = commit.or(position).filter(|_| self.options.reports_commit) {
            out.write_all(&wire::parameter_status("commit_clock", &at.to_string()))?;
        }
        out.write_all(&wire::ready_for_query())
    }

    fn run(
        &self, text: &str, out: &mut impl Write, commit: &mut Option<u64>,
    ) -> io::Result<Result<(), (&'static str, String)>> {
        let mut reading = StatementReader::default();
        if let Err(e) = reading.read(text) {
            return Ok(Err(("42601", e.message().into())));
        }
        let analysis = analyze(reading.shape(), &self.functions, &ParseLimits::default());
        let shape = reading.shape();
        let literal = |i: usize| reading.literals().get(i).and_then(|s| literal_text(&text[s.span.clone()]));
        let key = |name: &str| {
            let key = analysis.keys.iter().find(|k| *k.column == *name)?;
            literal(usize::from(key.literal_index))
        };
        if shape == "show usage " {
            let x1 = u8::from(self.primary.load(Ordering::Relaxed));
            let x0 = self.applied().min(now_ms()) as f64 / 1e3;
            let usage = format!("x0={x0:.3},x1={x1},util=0.1,queue=0");
            table(out, &["usage"], &[vec![Some(&usage)]], "SHOW")?;
            return Ok(Ok(()));
        }
        if analysis.effect == Effect::Write {
            return self.change(shape, &analysis, key("ref"), key("payload"), out, commit);
        }
        if shape.contains("generate_series (") {
            let numbers: Vec<usize> =
                (0..reading.literals().len()).filter_map(|i| literal(i)?.parse().ok()).collect();
            let rows = numbers.last().copied().unwrap_or(0);
            let wide = if shape.contains("repeat (") { numbers.first().copied().unwrap_or(1) } else { 1 };
            return series(out, rows, wide).map(Ok);
        }
        if let Some(key) = key("ref") {
            let payload = self.group.get(&key, self.applied());
            let rows: Vec<Vec<Option<&str>>> = payload.iter().map(|p| vec![Some(p.as_str())]).collect();
            table(out, &["payload"], &rows, "SELECT")?;
            return Ok(Ok(()));
        }
        table(out, &["answer"], &[vec![Some("ok")]], "SELECT")?;
        Ok(Ok(()))
    }

    fn change(
        &self, shape: &str, analysis: &Analysis, key: Option<String>, payload: Option<String>,
        out: &mut impl Write, commit: &mut Option<u64>,
    ) -> io::Result<Result<(), (&'static str, String)>> {
        if !self.primary.load(Ordering::Relaxed) {
            self.rejected_writes.fetch_add(1, Ordering::Relaxed);
            let what = format!("cannot execute {} in a read-only transaction", analysis.reason);
            return Ok(Err(("25006", what)));
        }
        let payload = payload.unwrap_or_default();
        *commit = Some(self.group.commit(&key.unwrap_or_default(), &payload));
        let first = shape.split(' ').next().unwrap_or("").to_uppercase();
        let tag = if first == "INSERT" { "INSERT 0 1".into() } else { format!("{first} 1") };
        if shape.contains(" returning ") {
            out.write_all(&wire::row_description(&["payload"]))?;
            out.write_all(&wire::data_row(&[Some(&payload)]))?;
        }
        out.write_all(&wire::command_complete(&tag))?;
        Ok(Ok(()))
    }
}

/// A session in the count; dropping it takes it out.
struct Session<'a>(&'a AtomicU64);

impl Drop for Session<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn table(out: &mut impl Write, columns: &[&str], rows: &[Vec<Option<&str>>], verb: &str) -> io::Result<()> {
    out.write_all(&wire::row_description(columns))?;
    for row in rows {
        out.write_all(&wire::data_row(row))?;
    }
    let tag = if verb == "SELECT" { format!("SELECT {}", rows.len()) } else { verb.to_string() };
    out.write_all(&wire::command_complete(&tag))
}

/// So many rows of three columns, the last so wide.
fn series(out: &mut impl Write, rows: usize, wide: usize) -> io::Result<()> {
    out.write_all(&wire::row_description(&["n", "nothing", "filler"]))?;
    let filler = "x".repeat(wide);
    let mut part = Vec::new();
    for n in 1..=rows {
        part.extend(wire::data_row(&[Some(&n.to_string()), None, Some(&filler)]));
        if part.len() > 64 * 1024 {
            out.write_all(&part)?;
            part.clear();
        }
    }
    out.write_all(&part)?;
    out.write_all(&wire::command_complete(&format!("SELECT {rows}")))
}

/// The statements of a text: this stand-in knows plain quotes only.
fn split(text: &str) -> Vec<&str> {
    let (mut parts, mut from, mut quoted) = (Vec::new(), 0, false);
    for (at, c) in text.char_indices() {
        match c {
            '\'' => quoted = !quoted,
            ';' if !quoted => {
                parts.push(&text[from..at]);
                from = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&text[from..]);
    parts.retain(|p| !p.trim().is_empty());
    parts
}

/// Takes the startup message: the user and the database.
fn open(s: &mut TcpStream) -> io::Result<(String, String)> {
    loop {
        let mut len = [0; 4];
        s.read_exact(&mut len)?;
        let len = u32::from_be_bytes(len) as usize;
        if !(8..=10_000).contains(&len) {
            return Err(io::Error::other("no startup message"));
        }
        let mut body = vec![0; len - 4];
        s.read_exact(&mut body)?;
        // Encryption is declined, and the session begins in plain.
        if [80_877_103u32, 80_877_104].iter().any(|c| body.starts_with(&c.to_be_bytes())) {
            s.write_all(b"N")?;
            continue;
        }
        let texts: Vec<String> =
            body[4..].split(|&b| b == 0).map(|t| String::from_utf8_lossy(t).into_owned()).collect();
        let get = |name: &str| {
            let at = texts.iter().step_by(2).position(|t| t == name);
            at.and_then(|at| texts.get(2 * at + 1)).cloned().unwrap_or_default()
        };
        return Ok((get("user"), get("database")));
    }
}
