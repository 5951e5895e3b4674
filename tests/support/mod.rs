//! Scripted peers on loopback sockets: discovery's agent, database hosts, clients, and the program
//! among them. Everything a peer sees is an event that a test waits for; nothing here sleeps.
#![allow(dead_code, reason = "each file of stories uses its part of the peers")]

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longer than anything here takes: only a broken program makes a test wait this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub const SETTINGS: &str = r#"{"balancers":1,"ordinal":0,"zone":0,"membershipMode":"pushed",
"azs":["a","b"],"hostTypes":["m"],"loadInfo":{"fields":["x0","x1","util","queue"]},
"classes":[
{"name":"browse","deadlineUs":20000000,"effect":"retryable","sloUs":1500000,"worth":3.0},
{"name":"history","deadlineUs":20000000,"effect":"retryable","lateWorth":0.9,"sloUs":9000000,"worth":3.0},
{"name":"ingest","deadlineUs":20000000,"effect":"dedup","dedupScope":"cell","dedupWindowUs":9000000,
 "lateWorth":0.5,"sloUs":1600000,"worth":4.0}],
"familyInfo":{"behind":"await","catchUpWaitUs":100000,"classRead":["lag_bound","eventual","mutate"],
"positions":false,"roleInList":"trailing","stalenessBoundUs":[800000,0,0],"writeMarks":"brought","zeroUs":0},
"ceilings":{"mostTries":10,"dialTimeoutUs":1500000,"cancel":true,"retryAfter":true,"maxRetryAfterUs":1000000},
"safety":{"drainGraceUs":500000,"startCapacity":0.2,"coldUs":15000000,"tipMultiple":3.0,
"overloadForUs":1000000,"askWithinUs":10000000}}"#;

/// Discovery says something this often.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// The ports on which the program listens, at an address of its own.
const PORT: u16 = 20433;
const CONSOLE_PORT: u16 = 20480;

/// A loopback address that nothing else uses. A port is never bound twice: a child that another test
/// is just starting holds a copy of every listener until it runs its program.
pub fn loopback_address() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let [_, _, a, b] = std::process::id().to_be_bytes();
    IpAddr::from([127, 64 + (NEXT.fetch_add(1, Ordering::Relaxed) % 128) as u8, a, b.max(1)])
}

/// A directory that nothing else uses, outside the tree: a Unix socket's path may not be long.
fn new_directory() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("sillfold-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).expect("a directory");
    path
}

/// Lists name a host by its port: no two have the same.
fn bind_listener() -> TcpListener {
    static USED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let listener = TcpListener::bind((loopback_address(), 0)).expect("a loopback port");
        let port = listener.local_addr().expect("bound").port();
        if USED.lock().expect("lock").insert(port) {
            return listener;
        }
    }
}

/// What a database host does with a query.
#[derive(Clone)]
pub enum Reply {
    Row(&'static str),
    Error(&'static str),
    NoAnswer,
    Bytes(Vec<u8>),
    /// Ends the connection, after writing this.
    Close(Vec<u8>),
    /// Writes each piece as it comes, until there is nobody left to send one.
    Streamed(Arc<Mutex<Receiver<Vec<u8>>>>),
}

impl Reply {
    /// A reply whose pieces are sent by the test.
    pub fn streamed() -> (Reply, Sender<Vec<u8>>) {
        let (send, pieces) = channel();
        (Reply::Streamed(Arc::new(Mutex::new(pieces))), send)
    }
}

#[derive(Debug, PartialEq)]
pub enum HostEvent {
    Opened,
    Query(String),
    Closed,
}

pub struct Host {
    pub address: SocketAddr,
    pub events: Receiver<HostEvent>,
    /// Its connections, open or not.
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// HostSenders after each reply is written.
    replies: Receiver<()>,
    /// HostSenders after each session's beginning is written.
    sessions: Receiver<()>,
    /// By how much sessions come up late, but for the first.
    late: Arc<Mutex<Duration>>,
    /// Shut while no session may come up.
    gate: Arc<SessionGate>,
}

/// What threads wait at while it is shut.
#[derive(Default)]
struct SessionGate {
    shut: Mutex<bool>,
    opened: Condvar,
}

impl SessionGate {
    fn set(&self, shut: bool) {
        *self.shut.lock().expect("lock") = shut;
        self.opened.notify_all();
    }
    fn pass(&self) {
        let shut = self.shut.lock().expect("lock");
        drop(self.opened.wait_while(shut, |shut| *shut).expect("lock"));
    }
}

impl Host {
    /// A primary whose every query is answered by the script, which gets its number.
    pub fn start(script: impl Fn(usize, &str) -> Reply + Send + Sync + 'static) -> Host {
        let listener = bind_listener();
        let address = listener.local_addr().expect("bound");
        let (event_sender, events) = channel();
        let (script, count) = (Arc::new(script), Arc::new(Mutex::new(0)));
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let accepted = connections.clone();
        let (replied, replies) = channel();
        let (began, sessions) = channel();
        let late: Arc<Mutex<Duration>> = Arc::default();
        let delay = late.clone();
        let gate: Arc<SessionGate> = Arc::default();
        let held_at = gate.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let copy = || stream.try_clone().expect("clone");
                accepted.lock().expect("lock").push(copy());
                let own = copy();
                let (script, count, event_sender) = (script.clone(), count.clone(), event_sender.clone());
                let delay = if accepted.lock().expect("lock").len() > 1 {
                    *delay.lock().expect("lock")
                } else {
                    Duration::ZERO
                };
                let (replied, began, gate) = (replied.clone(), began.clone(), held_at.clone());
                thread::spawn(move || {
                    let _ = event_sender.send(HostEvent::Opened);
                    thread::sleep(delay);
                    gate.pass();
                    let _ = converse(
                        stream,
                        &*script,
                        &count,
                        HostSenders { seen: &event_sender, replied: &replied, began: &began },
                    );
                    // `end_connections` holds a copy.
                    let _ = own.shutdown(std::net::Shutdown::Both);
                    let _ = event_sender.send(HostEvent::Closed);
                });
            }
        });
        Host { address, events, connections, replies, sessions, late, gate }
    }
    /// One whose first session comes up at once, and the others so much later; it closes on the first query.
    pub fn with_slow_sessions(delay: Duration) -> Host {
        let host = Host::start(|n, _| if n == 0 { Reply::Close(vec![]) } else { Reply::Row("v") });
        *host.late.lock().expect("lock") = delay;
        host
    }
    /// One at which no session ever comes up.
    pub fn without_sessions() -> Host {
        let listener = bind_listener();
        let address = listener.local_addr().expect("bound");
        let (event_sender, events) = channel();
        thread::spawn(move || {
            let mut kept = Vec::new();
            for stream in listener.incoming().flatten() {
                kept.push(stream);
                let _ = event_sender.send(HostEvent::Opened);
            }
        });
        let (connections, late, gate) = Default::default();
        Host { address, events, connections, replies: channel().1, sessions: channel().1, late, gate }
    }
    /// Writes this to all of its connections and ends them.
    pub fn end_connections(&self, last: &[u8]) {
        for mut stream in self.connections.lock().expect("lock").drain(..) {
            let _ = stream.write_all(last);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// From now on connections are accepted, and no session on them comes up until `release_sessions`.
    pub fn hold_sessions(&self) {
        self.gate.set(true);
    }
    pub fn release_sessions(&self) {
        self.gate.set(false);
    }

    /// Waits until the next session's beginning has been written.
    pub fn wait_for_session(&self) {
        self.sessions.recv_timeout(TEST_TIMEOUT).expect("a session comes up");
    }

    /// How many replies have been written that the test has not looked at; they count as looked at then.
    pub fn take_reply_count(&self) -> usize {
        self.replies.try_iter().count()
    }
    /// Waits until the next reply has been written.
    pub fn wait_for_reply(&self) {
        self.replies.recv_timeout(TEST_TIMEOUT).expect("the host replies");
    }
    pub fn next_event(&self) -> HostEvent {
        self.events.recv_timeout(TEST_TIMEOUT).expect("the host sees something")
    }
    /// Skips to the next query.
    pub fn next_query(&self) -> String {
        loop {
            if let HostEvent::Query(text) = self.next_event() {
                return text;
            }
        }
    }
}

/// Who is told of what happens on a host's connections.
struct HostSenders<'a> {
    seen: &'a Sender<HostEvent>,
    replied: &'a Sender<()>,
    began: &'a Sender<()>,
}

fn converse(
    mut s: TcpStream, script: &dyn Fn(usize, &str) -> Reply, count: &Mutex<usize>, told: HostSenders<'_>,
) -> std::io::Result<()> {
    let mut len = [0; 4];
    s.read_exact(&mut len)?;
    s.read_exact(&mut vec![0; u32::from_be_bytes(len) as usize - 4])?;
    s.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
    let _ = told.began.send(());
    loop {
        let (kind, body) = read_message(&mut s)?;
        if kind != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        let n = {
            let mut count = count.lock().expect("count");
            *count += 1;
            *count - 1
        };
        // HostEvent before it is answered: a script may wait for what the test does then.
        let _ = told.seen.send(HostEvent::Query(text.clone()));
        let reply = script(n, &text);
        match reply {
            Reply::Row(value) => s.write_all(&row(value))?,
            Reply::Error(code) => s.write_all(&error(code))?,
            Reply::NoAnswer => {}
            Reply::Bytes(bytes) => s.write_all(&bytes)?,
            Reply::Close(bytes) => return s.write_all(&bytes),
            Reply::Streamed(pieces) => {
                let pieces = pieces.lock().expect("lock");
                while let Ok(piece) = pieces.recv_timeout(TEST_TIMEOUT) {
                    s.write_all(&piece)?;
                }
            }
        }
        let _ = told.replied.send(());
    }
}

/// Many database hosts in one thread, each at a port of its own. Each answers every statement with its own number.
pub struct ManyHosts {
    pub addresses: Vec<SocketAddr>,
}

impl ManyHosts {
    pub fn start(count: usize) -> ManyHosts {
        let address = loopback_address();
        let listen = |_| TcpListener::bind((address, 0)).expect("a loopback port");
        let listeners: Vec<TcpListener> = (0..count).map(listen).collect();
        let addresses = listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
        thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            for (number, listener) in listeners.into_iter().enumerate() {
                let listener = Async::new(listener).expect("a listener");
                executor.spawn(serve_sessions(executor.clone(), listener, number)).detach();
            }
            async_io::block_on(executor.run(future::pending::<()>()));
        });
        ManyHosts { addresses }
    }
}

async fn serve_sessions(executor: Rc<LocalExecutor<'static>>, listener: Async<TcpListener>, number: usize) {
    while let Ok((stream, _)) = listener.accept().await {
        let session = async move {
            // An error is the end of the connection.
            let _ = serve_session(stream, number).await;
        };
        executor.spawn(session).detach();
    }
}

async fn serve_session(mut stream: Async<TcpStream>, number: usize) -> std::io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).await?;
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).await?;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head).await?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]);
        stream.read_exact(&mut vec![0; length as usize - 4]).await?;
        if head[0] != b'Q' {
            return Ok(());
        }
        stream.write_all(&row(&number.to_string())).await?;
    }
}

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let len = (body.len() as u32 + 4).to_be_bytes();
    [&[kind], &len[..], body].concat()
}

/// A whole answer with one value, from a primary.
pub fn row(value: &str) -> Vec<u8> {
    HostAnswer { value, role: Some(HostRole::Writer), commit_ms: None }.complete()
}

/// The role that an answer tells of its host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostRole {
    Writer,
    Reader,
}

impl HostRole {
    fn name(self) -> &'static str {
        match self {
            HostRole::Writer => "writer",
            HostRole::Reader => "reader",
        }
    }
}

/// An answer with one value, and what it tells of its host.
#[derive(Clone, Copy, Debug)]
pub struct HostAnswer<'a> {
    pub value: &'a str,
    pub role: Option<HostRole>,
    /// The position in Unix milliseconds, where it is told.
    pub commit_ms: Option<u64>,
}

impl HostAnswer<'_> {
    /// All of it, up to ReadyForQuery.
    pub fn complete(&self) -> Vec<u8> {
        [self.up_to_completion(), self.host_report(), message(b'Z', b"I")].concat()
    }
    /// Up to CommandComplete: neither the notes on the host nor ReadyForQuery.
    pub fn up_to_completion(&self) -> Vec<u8> {
        [row_data(self.value), message(b'C', b"SELECT 1\0")].concat()
    }
    /// The row and the notes on the host, without CommandComplete.
    pub fn row_and_report(&self) -> Vec<u8> {
        [row_data(self.value), self.host_report()].concat()
    }
    fn host_report(&self) -> Vec<u8> {
        let note = |name: &str, value: &str| message(b'S', format!("{name}\0{value}\0").as_bytes());
        let role = self.role.map(|role| note("server_role", role.name()));
        let commit = self.commit_ms.map(|ms| note("commit_clock", &ms.to_string()));
        [role.unwrap_or_default(), commit.unwrap_or_default()].concat()
    }
}

/// RowDescription and DataRow of one value.
fn row_data(value: &str) -> Vec<u8> {
    let mut description = b"\0\x01payload\0".to_vec();
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    let data = [&b"\0\x01"[..], &(value.len() as u32).to_be_bytes(), value.as_bytes()].concat();
    [message(b'T', &description), message(b'D', &data)].concat()
}

/// The wall clock, in whole Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Returns once the wall clock is past this Unix millisecond.
pub fn wait_until_after(ms: u64) {
    while unix_ms() <= ms {
        thread::park_timeout(Duration::from_millis(ms + 1 - unix_ms().min(ms)));
    }
}

/// The id in a statement's comment.
pub fn request_id(statement: &str) -> &str {
    statement.split("id=").nth(1).and_then(|rest| rest.split(',').next()).unwrap_or("")
}

/// A database host that answers every statement at once from the state that it is in, but for those that the test
/// answers itself, by their ids.
pub struct ScriptedHost {
    pub host: Host,
    state: Arc<Mutex<HostState>>,
    replies: Arc<Mutex<BTreeMap<String, VecDeque<Receiver<Reply>>>>>,
}

/// What the answers of a `ScriptedHost` tell.
#[derive(Clone, Copy, Debug)]
pub struct HostState {
    pub value: &'static str,
    pub role: HostRole,
    pub position: HostPosition,
}

/// The position that answers tell.
#[derive(Clone, Copy, Debug)]
pub enum HostPosition {
    /// The moment of the answer.
    Now,
    UnixMs(u64),
}

impl HostState {
    pub fn answer(&self) -> HostAnswer<'static> {
        let commit_ms = match self.position {
            HostPosition::Now => unix_ms(),
            HostPosition::UnixMs(ms) => ms,
        };
        HostAnswer { value: self.value, role: Some(self.role), commit_ms: Some(commit_ms) }
    }
}

impl ScriptedHost {
    pub fn start(state: HostState) -> ScriptedHost {
        let state = Arc::new(Mutex::new(state));
        let replies: Arc<Mutex<BTreeMap<String, VecDeque<Receiver<Reply>>>>> = Arc::default();
        let (current, own_replies) = (state.clone(), replies.clone());
        let host = Host::start(move |_, statement| {
            let own = own_replies
                .lock()
                .expect("lock")
                .get_mut(request_id(statement))
                .and_then(VecDeque::pop_front);
            match own {
                Some(reply) => reply.recv_timeout(TEST_TIMEOUT).unwrap_or(Reply::NoAnswer),
                None => Reply::Bytes(current.lock().expect("lock").answer().complete()),
            }
        });
        ScriptedHost { host, state, replies }
    }
    /// The next statement of this id is answered with what is sent here, once it is.
    pub fn hold(&self, id: &str) -> Sender<Reply> {
        let (reply, held) = channel();
        self.replies.lock().expect("lock").entry(id.to_string()).or_default().push_back(held);
        reply
    }
    /// The next statement of this id is answered with this.
    pub fn reply(&self, id: &str, reply: Reply) {
        self.hold(id).send(reply).expect("kept");
    }
    pub fn state(&self) -> HostState {
        *self.state.lock().expect("lock")
    }
    pub fn set_position(&self, position: HostPosition) {
        self.state.lock().expect("lock").position = position;
    }
    /// Waits until the host sees the statement of this id; what comes before it is passed over.
    pub fn wait_for_statement(&self, id: &str) {
        while request_id(&self.host.next_query()) != id {}
    }
    /// What the host has seen so far and the test has not looked at.
    pub fn take_events(&self) -> Vec<HostEvent> {
        self.host.events.try_iter().collect()
    }
}

pub fn error(code: &str) -> Vec<u8> {
    let body = [b"SERROR\0C", code.as_bytes(), b"\0Mno\0\0"].concat();
    [message(b'E', &body), message(b'Z', b"I")].concat()
}

fn read_message(s: &mut TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    s.read_exact(&mut head)?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    s.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// What an agent does with a call.
#[derive(Clone)]
pub enum Call {
    /// It is a watch, which gets a line now and then, empty where nothing is to be said.
    Watch,
    Refuse,
    /// Accepted, and left without an answer.
    NoAnswer,
    /// Writes this; what follows is up to the test.
    Bytes(Vec<u8>),
    /// Writes this and resets the connection.
    Reset(Vec<u8>),
}

/// Of an agent, what its connections share.
#[derive(Default)]
struct AgentState {
    /// What is to become of the next calls; the others are watches.
    calls: VecDeque<Call>,
    /// Where the newest watch hears what to write.
    newest: Option<Sender<Option<String>>>,
    /// What no watch was there for.
    waiting: Vec<Option<String>>,
    /// Watches opened so far, and of how many nothing is heard any more.
    opened: usize,
    hushed: usize,
    /// The connection of the latest call.
    latest: Option<TcpStream>,
}

/// Discovery's agent: what was requests of it, and the lines that its newest watch gets.
pub struct Agent {
    pub address: SocketAddr,
    requests: Receiver<String>,
    desk: Arc<Mutex<AgentState>>,
}

impl Agent {
    pub fn start() -> Agent {
        Agent::scripted(&[])
    }
    /// One that turns so many calls away first.
    pub fn refusing_first(refusals: usize) -> Agent {
        Agent::scripted(&vec![Call::Refuse; refusals])
    }
    /// One that does this with its first calls.
    pub fn scripted(calls: &[Call]) -> Agent {
        let listener = bind_listener();
        let address = listener.local_addr().expect("bound");
        let (tell, requests) = channel();
        let desk = Arc::new(Mutex::new(AgentState {
            calls: calls.iter().cloned().collect(),
            ..AgentState::default()
        }));
        let own = desk.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (desk, tell) = (own.clone(), tell.clone());
                thread::spawn(move || {
                    let own = stream.try_clone().expect("clone");
                    // The desk may hold a copy.
                    if answer_call(stream, &desk, &tell) {
                        let _ = own.shutdown(std::net::Shutdown::Both);
                    }
                });
            }
        });
        Agent { address, requests, desk }
    }
    pub fn next_request(&self) -> String {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("the agent is requests")
    }
    /// The same, for so long at most.
    pub fn next_request_within(&self, span: Duration) -> Option<String> {
        self.requests.recv_timeout(span).ok()
    }
    /// What becomes of the calls to come, before they are watches again.
    pub fn next_calls(&self, calls: &[Call]) {
        self.desk.lock().expect("lock").calls.extend(calls.iter().cloned());
    }
    pub fn send_line(&self, line: &str) {
        self.send(Some(line.to_string()));
    }
    pub fn end_watch(&self) {
        self.send(None);
    }
    fn send(&self, message: Option<String>) {
        let mut desk = self.desk.lock().expect("lock");
        let left = match &desk.newest {
            Some(watch) => watch.send(message).err().map(|e| e.0),
            None => Some(message),
        };
        desk.waiting.extend(left);
    }
    /// All open watches fall silent; they stay open.
    pub fn silence_watches(&self) {
        let mut desk = self.desk.lock().expect("lock");
        (desk.hushed, desk.newest) = (desk.opened, None);
    }
    /// Writes bytes, as they are, to the connection of the latest call.
    pub fn write_raw(&self, bytes: &[u8]) -> std::io::Result<()> {
        self.desk.lock().expect("lock").latest.as_ref().expect("a call").write_all(bytes)
    }
}

/// Whether the connection is to be ended in order.
fn answer_call(mut s: TcpStream, desk: &Mutex<AgentState>, tell: &Sender<String>) -> bool {
    let mut request = String::new();
    let mut read = BufReader::new(s.try_clone().expect("clone"));
    while !request.ends_with("\r\n\r\n") && read.read_line(&mut request).is_ok_and(|n| n > 0) {}
    let (call, next, number) = {
        let mut desk = desk.lock().expect("lock");
        desk.latest = Some(s.try_clone().expect("clone"));
        let call = desk.calls.pop_front().unwrap_or(Call::Watch);
        let (lines, next) = channel();
        if matches!(call, Call::Watch) {
            desk.opened += 1;
            desk.waiting.drain(..).for_each(|line| lines.send(line).expect("kept"));
            desk.newest = Some(lines);
        }
        (call, next, desk.opened)
    };
    let _ = tell.send(request.lines().next().unwrap_or("").to_string());
    match call {
        Call::Watch => {}
        Call::Refuse => {
            let _ = s.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        Call::NoAnswer => return hold(s),
        Call::Bytes(bytes) => {
            let _ = s.write_all(&bytes);
            return hold(s);
        }
        Call::Reset(bytes) => {
            let _ = s.write_all(&bytes);
            // Read before it is reset: a reset may overtake what it follows.
            while unread_by_peer(&s) {
                thread::yield_now();
            }
            let _ = socket2::SockRef::from(&s).set_linger(Some(Duration::ZERO));
            desk.lock().expect("lock").latest = None;
            return false;
        }
    }
    let _ = s.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    loop {
        let line = match next.recv_timeout(LIST_INTERVAL) {
            Ok(Some(line)) => line,
            _ if desk.lock().expect("lock").hushed >= number => return hold(s),
            Err(RecvTimeoutError::Timeout) => String::new(),
            Ok(None) | Err(RecvTimeoutError::Disconnected) => return true,
        };
        let _ = write!(s, "{:x}\r\n{line}\n\r\n", line.len() + 1);
    }
}

/// An address as the table of sockets has it.
fn hex(address: SocketAddr) -> String {
    match address.ip() {
        IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port()),
        IpAddr::V6(_) => String::new(),
    }
}

/// Whether something that was written to this connection is still on its way. The table of sockets tells.
fn unread_by_peer(s: &TcpStream) -> bool {
    let (Ok(own), Ok(peer)) = (s.local_addr(), s.peer_addr()) else { return false };
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let row = table.lines().find(|l| l.contains(&format!(" {} {} ", hex(peer), hex(own))));
    let queues = row.and_then(|l| l.split_whitespace().nth(4)).unwrap_or("00000000:00000000");
    !queues.ends_with(":00000000")
}

/// Keeps a connection open and says nothing, until the other side ends it.
fn hold(mut s: TcpStream) -> bool {
    while matches!(s.read(&mut [0; 1024]), Ok(1..)) {}
    true
}

/// A list, in discovery's form; the first host is the primary of group 3, and all started long ago.
pub fn list(index: u32, full: bool, hosts: &[(&Host, &str)]) -> String {
    let entries: Vec<String> = (hosts.iter().enumerate())
        .map(|(i, (h, status))| {
            let access = if i == 0 { "writer" } else { "reader" };
            format!(
                r#"{{"name":"s-{}","address":"{}","zone":"a","type":"m","group":3,"status":"{status}","weight":1.0,"since_ms":1,"access":"{access}"}}"#,
                h.address.port(),
                h.address
            )
        })
        .collect();
    format!(r#"{{"index":{index},"snapshot":{full},"endpoints":[{}]}}"#, entries.join(","))
}

/// Adds a door for operators to a configuration.
pub fn add_console(config: String) -> String {
    let listen = config.split('"').nth(7).expect("the address");
    let listen = listen.replace(&PORT.to_string(), &CONSOLE_PORT.to_string());
    config.replacen('{', &format!("{{\"console\":\"{listen}\","), 1)
}

/// The program, with the peers it was told of.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    pub console: SocketAddr,
    pub agent: Agent,
    log: Receiver<String>,
    config: String,
    path: PathBuf,
    /// Its TMPDIR.
    pub directory: PathBuf,
    owns_directory: bool,
}

impl Proxy {
    /// Starts it with this list as the known one; it serves once this returns.
    pub fn start(known: &[&Host], sockets: u32) -> Proxy {
        Proxy::start_with(known, sockets, |config| config)
    }
    /// The same, with a door for operators.
    pub fn with_console(known: &[&Host], sockets: u32) -> Proxy {
        Proxy::start_with(known, sockets, add_console)
    }
    /// The same, on a configuration that has been changed.
    pub fn start_with(known: &[&Host], sockets: u32, change: impl Fn(String) -> String) -> Proxy {
        let agent = Agent::start();
        let address = SocketAddr::new(loopback_address(), PORT);
        let known: Vec<(&Host, &str)> = known.iter().map(|&h| (h, "SERVING")).collect();
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{}","seed":"1f","limits":{{"sockets":{sockets}}},"known":{},"settings":{SETTINGS}}}"#,
            agent.address,
            list(41, true, &known)
        );
        let proxy = Proxy::run(agent, address, change(config), new_directory());
        proxy.logged("serves on");
        proxy
    }
    /// A new version beside this one, at the same address and in the same directory, with a door and an
    /// agent of its own. It knows no list, so it serves only once its agent has spoken.
    pub fn start_beside(&self) -> Proxy {
        self.start_nth_beside(1)
    }
    /// The same, where others are beside it already.
    pub fn start_nth_beside(&self, nth: u16) -> Proxy {
        let agent = Agent::start();
        let config = self.config.replace(&self.agent.address.to_string(), &agent.address.to_string());
        let (before, rest) = config.split_once(r#""known":"#).expect("a list");
        let (_, after) = rest.split_once(r#","settings""#).expect("settings");
        let known = r#"{"index":41,"snapshot":true,"endpoints":[]}"#;
        let config = format!(r#"{before}"known":{known},"settings"{after}"#);
        let config = config.replace(&CONSOLE_PORT.to_string(), &(CONSOLE_PORT + nth).to_string());
        let mut proxy = Proxy::run(agent, self.address, config, self.directory.clone());
        proxy.console.set_port(CONSOLE_PORT + nth);
        proxy.owns_directory = false;
        proxy
    }
    fn run(agent: Agent, address: SocketAddr, config: String, directory: PathBuf) -> Proxy {
        // As deployed: the environment names discovery too.
        let tmp = directory.to_str().expect("a path");
        let env = [("LB_DISCOVERY", &*agent.address.to_string()), ("TMPDIR", tmp)];
        let (mut child, path) = start_program(&config, &env);
        let log = BufReader::new(child.stderr.take().expect("piped"));
        let (tell, lines) = channel();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                eprintln!("{line}");
                let _ = tell.send(line);
            }
        });
        let console = SocketAddr::new(address.ip(), CONSOLE_PORT);
        Proxy { child, address, console, agent, log: lines, config, path, directory, owns_directory: true }
    }
    /// Waits for a line of the log that holds this.
    pub fn logged(&self, text: &str) {
        while !self.log.recv_timeout(TEST_TIMEOUT).expect("the program says so").contains(text) {}
    }
    /// How many lines of the log that hold this come within so long.
    pub fn logs_within(&self, text: &str, span: Duration) -> usize {
        let until = Instant::now() + span;
        let next = || self.log.recv_timeout(until.saturating_duration_since(Instant::now())).ok();
        std::iter::from_fn(next).filter(|line| line.contains(text)).count()
    }
    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.address);
        client.send(&startup());
        assert_eq!(client.answer().end, End::Ready);
        client
    }
    /// One call of an operator: the status, and what is said.
    pub fn console_request(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        send_console_request(
            self.console,
            format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        )
    }
    /// Waits until no connection is left that waits to be accepted. The table of sockets tells.
    pub fn wait_until_all_accepted(&self) {
        let begun = Instant::now();
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
            let listens = format!(" {} 00000000:0000 0A ", hex(self.address));
            let row = table.lines().find(|l| l.contains(&listens)).expect("it listens");
            let queues = row.split_whitespace().nth(4).unwrap_or("");
            if queues.ends_with(":00000000") {
                return;
            }
            assert!(begun.elapsed() < TEST_TIMEOUT, "connections wait to be accepted");
        }
    }
    /// Waits until so many requests are open in the program.
    pub fn wait_for_open_requests(&self, requests: u64) {
        let begun = Instant::now();
        while self.stats()["inflight"].as_u64() != Some(requests) {
            assert!(begun.elapsed() < TEST_TIMEOUT, "{} open, not {requests}", self.stats()["inflight"]);
        }
    }
    pub fn stats(&self) -> serde_json::Value {
        serde_json::from_str(&self.console_request("GET", "/ops/stats", "").1).expect("JSON")
    }
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("kill").success());
    }
    /// Stops it where it stands: what happens until `resume` is there at once then.
    pub fn pause(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let state = || {
            std::fs::read_to_string(&stat).expect("it runs").rsplit(") ").next().map(|s| s[..1].to_string())
        };
        while state().as_deref() != Some("T") {
            thread::yield_now();
        }
    }
    pub fn resume(&self) {
        self.signal("CONT");
    }
    /// Its memory in KB, as the kernel counts it.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }
    /// Puts a changed configuration in place of the file and says so.
    pub fn reload(&self, from: &str, to: &str) {
        let next = self.path.with_extension("next");
        std::fs::write(&next, self.config.replace(from, to)).expect("the configuration is written");
        std::fs::rename(&next, &self.path).expect("it is put in place");
        self.signal("HUP");
    }
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the program ends")
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if self.owns_directory {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Sends an operator's call as it stands and reads the answer to its end.
pub fn send_console_request(console: SocketAddr, text: String) -> (u16, String) {
    let mut stream = TcpStream::connect(console).expect("the door is open");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream.write_all(text.as_bytes()).expect("the program reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
    (status, answer.split_once("\r\n\r\n").expect("a body").1.to_string())
}

/// Starts the program on a configuration, whose file is returned too. The machine holds it to as many descriptors as its
/// configuration says, where it says so; to fewer where it holds a key `descriptors`, which the program does not know.
pub fn start_program(config: &str, env: &[(&str, &str)]) -> (Child, PathBuf) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("sillfold-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).expect("the configuration is written");
    let named = config
        .split("\"descriptors\":")
        .nth(1)
        .map(|n| n.split(|c: char| !c.is_ascii_digit()).next().unwrap_or(""));
    let sockets = config
        .split("\"sockets\":")
        .nth(1)
        .map(|n| n.split(|c: char| !c.is_ascii_digit()).next().unwrap_or(""));
    let sockets = sockets.filter(|n| n.parse().is_ok_and(|n: u32| n >= 96));
    let limit = named.or(sockets).unwrap_or("1024");
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -n \"$1\"; exec \"$0\""]).arg(env!("CARGO_BIN_EXE_sillfold")).arg(limit);
    for key in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONSOLE", "TMPDIR"] {
        command.env_remove(key);
    }
    command.envs(env.iter().copied()).env("LB_CONFIG", &path).stderr(Stdio::piped());
    (command.spawn().expect("the program starts"), path)
}

pub fn startup() -> Vec<u8> {
    let body = [&196_608u32.to_be_bytes()[..], b"user\0web\0database\0orders\0\0"].concat();
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// A statement in the clients' form.
pub fn read(id: &str, class: &str, patience_ms: u32) -> String {
    format!("/* id={id},c={class},d={patience_ms},cluster=3 */ SELECT payload FROM entries WHERE ref = '7f'")
}

#[derive(Debug, Default, PartialEq)]
pub enum End {
    /// ReadyForQuery came.
    Ready,
    #[default]
    Closed,
}

#[derive(Debug, Default)]
pub struct Answer {
    pub value: Option<String>,
    pub empty: bool,
    /// Fields of an ErrorResponse: code, message, detail.
    pub code: String,
    pub message: String,
    pub detail: Option<String>,
    pub end: End,
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the program accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        Client { stream }
    }
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the program reads");
    }
    pub fn query(&mut self, text: &str) -> Answer {
        self.send(&query(text));
        self.answer()
    }
    /// Reads up to ReadyForQuery or the end of the connection.
    pub fn answer(&mut self) -> Answer {
        let mut answer = Answer::default();
        loop {
            let (kind, body) = match read_message(&mut self.stream) {
                Ok(message) => message,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("no answer: {answer:?}"),
                Err(_) => return answer,
            };
            match kind {
                b'Z' => {
                    answer.end = End::Ready;
                    return answer;
                }
                b'I' => answer.empty = true,
                b'D' => answer.value = Some(String::from_utf8_lossy(&body[6..]).into_owned()),
                b'E' => {
                    for field in body.split(|&b| b == 0).filter(|f| !f.is_empty()) {
                        let text = String::from_utf8_lossy(&field[1..]).into_owned();
                        match field[0] {
                            b'C' => answer.code = text,
                            b'M' => answer.message = text,
                            b'D' => answer.detail = Some(text),
                            _ => {}
                        }
                    }
                }
                _ => {}
            }
        }
    }
}
