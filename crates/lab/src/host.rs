//! Stand-in for a database host. It keeps one table of references and payloads, applies its group's log with a lag if it is
//! a replica, and fails where a test injects a fault. It must never be more lenient than a real host: a replica rejects
//! every write, and shows no write that it has not applied.

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

/// The wall clock in Unix milliseconds. All positions of the log are times of this clock.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// A group of hosts, with its replication log.
#[derive(Default)]
pub struct Group {
    /// Committed writes in the order of their positions: position in Unix milliseconds, reference, payload.
    log: Mutex<Vec<(u64, String, String)>>,
}

impl Group {
    /// A group with an empty log.
    pub fn new() -> Arc<Group> {
        Arc::new(Group::default())
    }

    /// Appends a write to the log and returns its position, which no other write has.
    fn commit(&self, key: &str, payload: &str) -> u64 {
        let mut log = self.log.lock().expect("no writer panics");
        let position = now_ms().max(log.last().map_or(0, |write| write.0 + 1));
        log.push((position, key.into(), payload.into()));
        position
    }

    /// The payload of a reference at a position of the log.
    fn get(&self, key: &str, position: u64) -> Option<String> {
        let log = self.log.lock().expect("no writer panics");
        log.iter().rev().find(|write| write.0 <= position && write.1 == key).map(|write| write.2.clone())
    }

    /// The number of writes to a reference.
    pub fn writes_of(&self, key: &str) -> usize {
        self.log.lock().expect("no writer panics").iter().filter(|write| write.1 == key).count()
    }
}

/// A fault, which a host applies to one statement.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Runs the statement, and closes the connection instead of answering.
    RunThenReset,
    /// Closes the connection without running the statement.
    Reset,
    /// Answers with an error of this SQLSTATE instead of running the statement.
    Error(&'static str),
    /// Sends nothing, and keeps the connection open until the other side closes it.
    Hang,
    /// Sends these bytes as the answer, without running the statement.
    RawBytes(Vec<u8>),
    /// Runs the statement, sends this many bytes of the answer, and closes the connection.
    Truncated(usize),
}

/// What happened at a host, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum HostEvent {
    /// A session was opened: its user and its database.
    Opened(String, String),
    /// A query was received; probes are not reported.
    Query(String),
    /// A session ended.
    Closed,
}

/// The configuration of a host.
#[derive(Clone, Debug)]
pub struct Options {
    /// The host's name in discovery's list.
    pub name: String,
    /// Whether the host is the primary at its start, and so accepts writes.
    pub primary: bool,
    /// How far the host lags behind the log, if it is a replica.
    pub lag: Duration,
    /// Whether answers report the commit position; a plain PostgreSQL server does not.
    pub reports_commit: bool,
    /// The time that every statement takes, besides the work of a `capacity`.
    pub service_time: Duration,
    /// The capacity; without one the host works on any number of requests at once.
    pub capacity: Option<Capacity>,
}

/// The capacity of a host: its cores work on one request each, and a replica has one thread that applies the log.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Requests that the host works on at the same time.
    pub cores: u32,
    /// Requests that the host holds at the same time, with those that wait for a core; it rejects further ones.
    pub slots: u32,
    /// Sessions that the host holds at the same time; it rejects further ones.
    pub connections: u32,
    /// The service time of a request by the name of its class: the mean in milliseconds, and the squared coefficient of
    /// variation. A class that is not named takes 1 ms.
    pub work: BTreeMap<String, (f64, f64)>,
    /// The time that a replica takes to apply one write.
    pub apply: Duration,
    /// The seed of the random service times.
    pub seed: u64,
}

/// The queue for the cores: requests get a core in the order of their arrival.
#[derive(Default)]
struct CoreQueue {
    /// Cores in use.
    busy_cores: u32,
    /// Requests that wait for a core or have one.
    requests: u32,
    /// The ticket of the next request that arrives.
    next_ticket: u64,
    /// The ticket of the next request that gets a core.
    next_served: u64,
}

/// How far a replica has applied its group's log.
#[derive(Default)]
struct ApplyProgress {
    /// The number of writes that are applied.
    writes: usize,
    /// When the thread applied the last of them, in Unix milliseconds.
    done_at_ms: f64,
    /// The position of the last of them.
    position: u64,
}

impl Default for Options {
    fn default() -> Options {
        let (name, primary, lag, service_time) = ("s-1".into(), true, Duration::ZERO, Duration::ZERO);
        Options { name, primary, lag, reports_commit: true, service_time, capacity: None }
    }
}

/// What the host shares with the threads of its sessions.
struct Shared {
    options: Options,
    group: Arc<Group>,
    lag_ms: AtomicU64,
    primary: AtomicBool,
    faults: Mutex<VecDeque<Fault>>,
    event_sender: Sender<HostEvent>,
    rejected_writes: AtomicU64,
    functions: Functions,
    cores: Mutex<CoreQueue>,
    core_free: Condvar,
    sessions: AtomicU64,
    service_time_rng: Mutex<StdRng>,
    apply_progress: Mutex<ApplyProgress>,
}

/// A stand-in host, which runs until the program ends.
pub struct Host {
    /// The address on which the host listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    events: Receiver<HostEvent>,
}

impl Host {
    /// Starts a host at a free port of `ip`.
    pub fn start(ip: IpAddr, group: &Arc<Group>, options: Options) -> io::Result<Host> {
        Host::start_at(SocketAddr::new(ip, 0), group, options)
    }

    /// Starts a host at this address and port.
    pub fn start_at(address: SocketAddr, group: &Arc<Group>, options: Options) -> io::Result<Host> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (event_sender, events) = channel();
        let shared = Arc::new(Shared {
            lag_ms: AtomicU64::new(options.lag.as_millis() as u64),
            primary: AtomicBool::new(options.primary),
            group: group.clone(),
            service_time_rng: Mutex::new(StdRng::seed_from_u64(
                options.capacity.as_ref().map_or(0, |c| c.seed),
            )),
            cores: Mutex::default(),
            core_free: Condvar::new(),
            sessions: AtomicU64::new(0),
            apply_progress: Mutex::default(),
            options,
            faults: Mutex::default(),
            event_sender,
            rejected_writes: AtomicU64::new(0),
            functions: Functions::default(),
        });
        let listener_shared = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = listener_shared.clone();
                thread::spawn(move || {
                    // An error means that the connection has ended, which is reported as such.
                    let _ = shared.serve_session(stream);
                    let _ = shared.event_sender.send(HostEvent::Closed);
                });
            }
        });
        Ok(Host { address, shared, events })
    }

    /// The name in discovery's list.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// Whether the host is the primary now.
    pub fn is_primary(&self) -> bool {
        self.shared.primary.load(Ordering::Relaxed)
    }

    /// Makes the host the primary, or a replica.
    pub fn set_primary(&self, primary: bool) {
        self.shared.primary.store(primary, Ordering::Relaxed);
    }

    /// Sets how far the host lags behind the log as a replica.
    pub fn set_lag(&self, lag: Duration) {
        self.shared.lag_ms.store(lag.as_millis() as u64, Ordering::Relaxed);
    }

    /// Applies a fault to the next statement that is no probe. Several faults apply to one statement each, in order.
    pub fn inject_fault(&self, fault: Fault) {
        self.shared.faults.lock().expect("no one panics there").push_back(fault);
    }

    /// The number of writes that the host rejected because it was a replica.
    pub fn rejected_writes(&self) -> u64 {
        self.shared.rejected_writes.load(Ordering::Relaxed)
    }

    /// Waits for the next event; `None` if there is none within the timeout.
    pub fn next_event(&self, timeout: Duration) -> Option<HostEvent> {
        self.events.recv_timeout(timeout).ok()
    }

    /// Takes all events so far that were not taken yet, and returns the queries among them.
    pub fn take_queries(&self) -> Vec<String> {
        let queries = self.events.try_iter().filter_map(|event| match event {
            HostEvent::Query(text) => Some(text),
            HostEvent::Opened(..) | HostEvent::Closed => None,
        });
        queries.collect()
    }
}

impl Shared {
    /// The position up to which the host shows the log, in Unix milliseconds; a primary shows all of it.
    fn applied_position(&self) -> u64 {
        if self.primary.load(Ordering::Relaxed) {
            return u64::MAX;
        }
        let received = now_ms() - self.lag_ms.load(Ordering::Relaxed);
        match &self.options.capacity {
            Some(c) if !c.apply.is_zero() => {
                self.applied_by_one_thread(received, c.apply.as_secs_f64() * 1e3)
            }
            _ => received,
        }
    }

    /// The position of a replica that has received the log up to `received` and whose one thread takes `apply_ms` for each
    /// write.
    fn applied_by_one_thread(&self, received: u64, apply_ms: f64) -> u64 {
        let log = self.group.log.lock().expect("no writer panics");
        let mut progress = self.apply_progress.lock().expect("no one panics there");
        let now = now_ms() as f64;
        while let Some(write) = log.get(progress.writes).filter(|write| write.0 <= received) {
            let done = progress.done_at_ms.max(write.0 as f64) + apply_ms;
            if done > now {
                // The thread still works on this write; all before it are applied.
                return progress.position.max(write.0 - 1);
            }
            (progress.writes, progress.done_at_ms, progress.position) = (progress.writes + 1, done, write.0);
        }
        received
    }

    /// Waits for a core and works on a request of this class for its random service time, whose distribution is log-normal.
    /// Returns false at once if no slot is free.
    fn work(&self, capacity: &Capacity, class: &str) -> bool {
        let mut queue = self.cores.lock().expect("no one panics there");
        if queue.requests >= capacity.slots {
            return false;
        }
        queue.requests += 1;
        let own_ticket = queue.next_ticket;
        queue.next_ticket += 1;
        while queue.busy_cores >= capacity.cores || queue.next_served != own_ticket {
            queue = self.core_free.wait(queue).expect("no one panics there");
        }
        queue.next_served += 1;
        queue.busy_cores += 1;
        drop(queue);
        self.core_free.notify_all();
        let (mean_ms, cv2) = capacity.work.get(class).copied().unwrap_or((1.0, 0.0));
        let sigma2 = (1.0 + cv2).ln();
        let distribution = LogNormal::new(mean_ms.ln() - sigma2 / 2.0, sigma2.sqrt());
        let ms = distribution
            .map_or(mean_ms, |d| d.sample(&mut *self.service_time_rng.lock().expect("no one panics there")));
        thread::sleep(Duration::from_secs_f64(ms / 1e3));
        let mut queue = self.cores.lock().expect("no one panics there");
        queue.busy_cores -= 1;
        queue.requests -= 1;
        drop(queue);
        self.core_free.notify_all();
        true
    }

    /// Serves a session until it ends.
    fn serve_session(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (user, database) = read_startup(&mut stream)?;
        let _session_count = SessionCount(&self.sessions);
        let sessions = self.sessions.fetch_add(1, Ordering::Relaxed) + 1;
        if self.options.capacity.as_ref().is_some_and(|capacity| sessions > u64::from(capacity.connections)) {
            return stream.write_all(&wire::error_response("53300", "too many connections"));
        }
        let _ = self.event_sender.send(HostEvent::Opened(user, database));
        let session_start = [
            wire::message(b'R', &[0; 4]),
            wire::parameter_status("server_version", "17.0"),
            wire::parameter_status("client_encoding", "UTF8"),
            wire::message(b'K', &[0, 0, 0, 1, 0, 0, 0, 2]),
            wire::ready_for_query(),
        ];
        stream.write_all(&session_start.concat())?;
        loop {
            let (kind, body) = wire::read_message(&mut stream)?;
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
            let probe = text.trim() == "SHOW usage";
            if !probe {
                let _ = self.event_sender.send(HostEvent::Query(text.clone()));
            }
            if let Some(capacity) = self.options.capacity.as_ref().filter(|_| !probe) {
                let class = text.split(",c=").nth(1).and_then(|t| t.split(',').next()).unwrap_or("");
                if !self.work(capacity, class) {
                    stream.write_all(
                        &[wire::error_response("53300", "no slot is free"), wire::ready_for_query()].concat(),
                    )?;
                    continue;
                }
            }
            let fault =
                if probe { None } else { self.faults.lock().expect("no one panics there").pop_front() };
            match fault {
                None => self.answer(&text, &mut stream)?,
                Some(Fault::RunThenReset) => {
                    let mut unsent = Vec::new();
                    self.answer(&text, &mut unsent)?;
                    return stream.shutdown(Shutdown::Both);
                }
                Some(Fault::Reset) => return stream.shutdown(Shutdown::Both),
                Some(Fault::Error(code)) => {
                    stream.write_all(
                        &[wire::error_response(code, "an injected fault"), wire::ready_for_query()].concat(),
                    )?;
                }
                Some(Fault::Hang) => {
                    let mut byte = [0];
                    let _ = stream.read(&mut byte);
                    return Ok(());
                }
                Some(Fault::RawBytes(bytes)) => stream.write_all(&bytes)?,
                Some(Fault::Truncated(bytes)) => {
                    let mut answer = Vec::new();
                    self.answer(&text, &mut answer)?;
                    stream.write_all(&answer[..bytes.min(answer.len())])?;
                    return stream.shutdown(Shutdown::Both);
                }
            }
        }
    }

    /// Runs the statements of a query up to the first error, and writes the complete answer.
    fn answer(&self, text: &str, out: &mut impl Write) -> io::Result<()> {
        thread::sleep(self.options.service_time);
        let mut commit = None;
        for statement in split_statements(text) {
            if let Err((code, message)) = self.run(statement, out, &mut commit)? {
                out.write_all(&wire::error_response(code, &message))?;
                break;
            }
        }
        let role = if self.primary.load(Ordering::Relaxed) { "writer" } else { "reader" };
        out.write_all(&wire::parameter_status("server_role", role))?;
        // With a capacity, every answer reports the position of its host, not only that of a write.
        let position = self.options.capacity.as_ref().map(|_| self.applied_position().min(now_ms()));
        if let Some(position) = commit.or(position).filter(|_| self.options.reports_commit) {
            out.write_all(&wire::parameter_status("commit_clock", &position.to_string()))?;
        }
        out.write_all(&wire::ready_for_query())
    }

    /// Runs one statement and writes its result. `commit` gets the position of a write. The inner error is the SQLSTATE and
    /// the message of an ErrorResponse.
    fn run(
        &self, text: &str, out: &mut impl Write, commit: &mut Option<u64>,
    ) -> io::Result<Result<(), (&'static str, String)>> {
        let mut reader = StatementReader::default();
        if let Err(e) = reader.read(text) {
            return Ok(Err(("42601", e.message().into())));
        }
        let analysis = analyze(reader.shape(), &self.functions, &ParseLimits::default());
        let shape = reader.shape();
        let literal = |i: usize| reader.literals().get(i).and_then(|s| literal_text(&text[s.span.clone()]));
        let key = |name: &str| {
            let key = analysis.keys.iter().find(|k| *k.column == *name)?;
            literal(usize::from(key.literal_index))
        };
        if shape == "show usage " {
            let x1 = u8::from(self.primary.load(Ordering::Relaxed));
            let x0 = self.applied_position().min(now_ms()) as f64 / 1e3;
            let usage = format!("x0={x0:.3},x1={x1},util=0.1,queue=0");
            write_table(out, &["usage"], &[vec![Some(&usage)]], "SHOW")?;
            return Ok(Ok(()));
        }
        if analysis.effect == Effect::Write {
            return self.change(shape, &analysis, key("ref"), key("payload"), out, commit);
        }
        if shape.contains("generate_series (") {
            let numbers: Vec<usize> =
                (0..reader.literals().len()).filter_map(|i| literal(i)?.parse().ok()).collect();
            let rows = numbers.last().copied().unwrap_or(0);
            let filler_bytes =
                if shape.contains("repeat (") { numbers.first().copied().unwrap_or(1) } else { 1 };
            return write_series(out, rows, filler_bytes).map(Ok);
        }
        if let Some(key) = key("ref") {
            let payload = self.group.get(&key, self.applied_position());
            let rows: Vec<Vec<Option<&str>>> = payload.iter().map(|p| vec![Some(p.as_str())]).collect();
            write_table(out, &["payload"], &rows, "SELECT")?;
            return Ok(Ok(()));
        }
        write_table(out, &["answer"], &[vec![Some("ok")]], "SELECT")?;
        Ok(Ok(()))
    }

    /// Runs a write: rejects it at a replica, and appends it to the log at the primary.
    fn change(
        &self, shape: &str, analysis: &Analysis, key: Option<String>, payload: Option<String>,
        out: &mut impl Write, commit: &mut Option<u64>,
    ) -> io::Result<Result<(), (&'static str, String)>> {
        if !self.primary.load(Ordering::Relaxed) {
            self.rejected_writes.fetch_add(1, Ordering::Relaxed);
            let message = format!("cannot execute {} in a read-only transaction", analysis.reason);
            return Ok(Err(("25006", message)));
        }
        let payload = payload.unwrap_or_default();
        *commit = Some(self.group.commit(&key.unwrap_or_default(), &payload));
        let verb = shape.split(' ').next().unwrap_or("").to_uppercase();
        let tag = if verb == "INSERT" { "INSERT 0 1".into() } else { format!("{verb} 1") };
        if shape.contains(" returning ") {
            out.write_all(&wire::row_description(&["payload"]))?;
            out.write_all(&wire::data_row(&[Some(&payload)]))?;
        }
        out.write_all(&wire::command_complete(&tag))?;
        Ok(Ok(()))
    }
}

/// A session that is counted; dropping this takes it out of the count.
struct SessionCount<'a>(&'a AtomicU64);

impl Drop for SessionCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Writes a result with these columns and rows.
fn write_table(
    out: &mut impl Write, columns: &[&str], rows: &[Vec<Option<&str>>], verb: &str,
) -> io::Result<()> {
    out.write_all(&wire::row_description(columns))?;
    for row in rows {
        out.write_all(&wire::data_row(row))?;
    }
    let tag = if verb == "SELECT" { format!("SELECT {}", rows.len()) } else { verb.to_string() };
    out.write_all(&wire::command_complete(&tag))
}

/// Bytes of rows that are written at once.
const SERIES_CHUNK_BYTES: usize = 64 * 1024;

/// Writes a result of `rows` rows with three columns: the row's number, NULL, and a text of `filler_bytes`.
fn write_series(out: &mut impl Write, rows: usize, filler_bytes: usize) -> io::Result<()> {
    out.write_all(&wire::row_description(&["n", "nothing", "filler"]))?;
    let filler = "x".repeat(filler_bytes);
    let mut chunk = Vec::new();
    for n in 1..=rows {
        chunk.extend(wire::data_row(&[Some(&n.to_string()), None, Some(&filler)]));
        if chunk.len() > SERIES_CHUNK_BYTES {
            out.write_all(&chunk)?;
            chunk.clear();
        }
    }
    out.write_all(&chunk)?;
    out.write_all(&wire::command_complete(&format!("SELECT {rows}")))
}

/// Splits a query into its statements, without empty ones. A semicolon between single quotes separates nothing; other kinds
/// of quotes and comments are not recognised.
fn split_statements(text: &str) -> Vec<&str> {
    let mut statements = Vec::new();
    let mut start = 0;
    let mut quoted = false;
    for (at, c) in text.char_indices() {
        match c {
            '\'' => quoted = !quoted,
            ';' if !quoted => {
                statements.push(&text[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    statements.push(&text[start..]);
    statements.retain(|statement| !statement.trim().is_empty());
    statements
}

/// Reads the startup message, after declining requests for encryption; returns the user and the database.
fn read_startup(stream: &mut TcpStream) -> io::Result<(String, String)> {
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let length = u32::from_be_bytes(length) as usize;
        if !(8..=10_000).contains(&length) {
            return Err(io::Error::other("length of a startup message expected"));
        }
        let mut body = vec![0; length - 4];
        stream.read_exact(&mut body)?;
        // The codes of SSLRequest and GSSENCRequest: both are declined, and the startup message follows.
        if [80_877_103u32, 80_877_104].iter().any(|c| body.starts_with(&c.to_be_bytes())) {
            stream.write_all(b"N")?;
            continue;
        }
        let texts: Vec<String> =
            body[4..].split(|&b| b == 0).map(|t| String::from_utf8_lossy(t).into_owned()).collect();
        let parameter = |name: &str| {
            let index = texts.iter().step_by(2).position(|t| t == name);
            index.and_then(|index| texts.get(2 * index + 1)).cloned().unwrap_or_default()
        };
        return Ok((parameter("user"), parameter("database")));
    }
}
