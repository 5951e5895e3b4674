//! What the cases share: the record, free addresses, the proxy as a process, discovery's agent, database hosts and
//! clients. The stand-ins speak as the protocol page describes; each uses one thread per connection.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case that cannot run, as opposed to a rule that was broken or held.
pub type Run<T> = Result<T, String>;

pub fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// What was sent, answered and run, one event a line with its time.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Run<Record> {
        let file = File::create(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Record(Arc::new((Mutex::new(file), Instant::now()))))
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.1.elapsed().as_secs_f64();
        if let Ok(mut file) = self.0.0.lock() {
            let _ = writeln!(file, "{at:9.4} {}", text.as_ref());
        }
    }
    pub fn elapsed(&self) -> f64 {
        self.0.1.elapsed().as_secs_f64()
    }
}

/// A text cut to what a line of the record shows.
pub fn short(text: &str) -> String {
    let cut: String = text.chars().take(150).collect();
    if cut.len() < text.len() { format!("{cut}... ({} bytes)", text.len()) } else { cut }
}

/// A free loopback address.
pub fn free_address() -> Run<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("a free port: {e}"))?;
    listener.local_addr().map_err(|e| format!("a free port: {e}"))
}

/// A folder of its own in the temporary directory, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Run<Folder> {
        let path = std::env::temp_dir().join(format!("review2-{}-{}", std::process::id(), unix_us()));
        fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }
    pub fn write(&self, name: &str, text: &str) -> Run<PathBuf> {
        let path = self.0.join(name);
        fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends whatever was started, for a case that takes too long.
pub fn kill_all() {
    for pid in STARTED.lock().map(|pids| pids.clone()).unwrap_or_default() {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
    }
}

/// A proxy that was started with the deploy file's `run`. It is killed when dropped.
pub struct Proxy {
    child: Child,
    pub listen: SocketAddr,
    pub console: SocketAddr,
}

/// The deploy file's `run`.
pub fn run_command(root: &Path) -> Run<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|e| format!("balancer.toml: {e}"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.strip_suffix('"'));
    line.map(str::to_string).ok_or_else(|| "balancer.toml has no run".to_string())
}

pub struct ProxyOptions<'a> {
    pub root: &'a Path,
    pub folder: &'a Folder,
    pub name: &'a str,
    pub discovery: SocketAddr,
    pub settings: &'a str,
    /// The operator's file, if any.
    pub operator: Option<&'a str>,
    pub known: Option<&'a str>,
    pub listen: Option<SocketAddr>,
    /// The folder that stands for TMPDIR; one of its own if none is given.
    pub tmpdir: Option<PathBuf>,
}

impl Proxy {
    pub fn start(options: &ProxyOptions, record: &Record) -> Run<Proxy> {
        let ProxyOptions { root, folder, name, discovery, settings, .. } = options;
        let listen = options.listen.map_or_else(free_address, Ok)?;
        let console = free_address()?;
        let known = options.known.map(|k| format!(",\"known\":{k}")).unwrap_or_default();
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"console\":\"{console}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}}{known},\
             \"settings\":{settings}}}"
        );
        let config = folder.write(&format!("{name}.json"), &config)?;
        let tmpdir = options.tmpdir.clone().unwrap_or_else(|| folder.0.join(format!("{name}.tmp")));
        fs::create_dir_all(&tmpdir).map_err(|e| format!("{}: {e}", tmpdir.display()))?;
        let log = File::options().create(true).append(true).open(folder.0.join(format!("{name}.log")));
        let log = log.map_err(|e| format!("log: {e}"))?;
        let run = run_command(root)?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).current_dir(root).stdin(Stdio::null());
        command.env("LB_CONFIG", config).env("LB_NAME", name).env("LB_LISTEN", listen.to_string());
        command.env("LB_DISCOVERY", discovery.to_string()).env("LB_CONSOLE", console.to_string());
        command.env("TMPDIR", tmpdir);
        command.stdout(log.try_clone().map_err(|e| e.to_string())?).stderr(log);
        if let Some(operator) = options.operator {
            command.env("SILLFOLD_FILE", folder.write(&format!("{name}.json5"), operator)?);
        }
        let child = command.spawn().map_err(|e| format!("{run}: {e}"))?;
        STARTED.lock().unwrap().push(child.id());
        record.line(format!("proxy {name} started, pid {}, clients at {listen}", child.id()));
        Ok(Proxy { child, listen, console })
    }

    /// Waits until the proxy answers the empty query with yes.
    pub fn wait_until_ready(&mut self, limit: Duration) -> Run<()> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("the proxy ended at its start: {status}"));
            }
            if let Ok(mut client) = Client::connect(self.listen, Duration::from_secs(1))
                && let Ok(answer) = client.query("", Duration::from_secs(2))
                && answer.empty
            {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(30));
        }
        Err("the proxy did not become ready".into())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
    }

    /// The exit status, if the proxy has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|s| s.to_string())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- Discovery's agent ----

struct AgentState {
    index: u64,
    /// The entries by name, as JSON.
    entries: BTreeMap<String, String>,
    /// Changes: the index and the JSON entry.
    changes: Vec<(u64, String)>,
}

/// Discovery's agent: the whole list, and watches with a line for each change and an empty line every 2 s.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<AgentState>, Condvar)>,
}

pub struct Entry<'a> {
    pub name: &'a str,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'a str,
    pub writer: bool,
    pub since_ms: u64,
}

impl Entry<'_> {
    pub fn json(&self) -> String {
        let access = if self.writer { "writer" } else { "reader" };
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"m\",\"group\":{},\"status\":\"{}\",\
             \"weight\":1.0,\"since_ms\":{},\"access\":\"{access}\"}}",
            self.name, self.address, self.group, self.status, self.since_ms
        )
    }
}

impl Agent {
    pub fn start(entries: &[Entry]) -> Run<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("the agent: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let entries = entries.iter().map(|e| (e.name.to_string(), e.json())).collect();
        let state = AgentState { index: 41, entries, changes: Vec::new() };
        let agent = Agent { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = serving.clone();
                thread::spawn(move || drop(agent.serve(stream)));
            }
        });
        Ok(agent)
    }

    /// Tells a change of one entry.
    pub fn tell(&self, entry: &Entry) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        state.entries.insert(entry.name.to_string(), entry.json());
        state.changes.push((index, entry.json()));
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        let mut bytes = [0; 1024];
        while !head.windows(4).any(|w| w == b"\r\n\r\n") {
            match stream.read(&mut bytes)? {
                0 => return Ok(()),
                n => head.extend_from_slice(&bytes[..n]),
            }
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or("").to_string();
        if !path.contains("stream=1") {
            let state = self.state.0.lock().unwrap();
            let list: Vec<&str> = state.entries.values().map(String::as_str).collect();
            let body = format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", state.index, list.join(","));
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            return stream.write_all(body.as_bytes());
        }
        let mut index: u64 = path.rsplit("index=").next().and_then(|i| i.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        loop {
            let state = self.state.0.lock().unwrap();
            let (state, _) =
                self.state.1.wait_timeout_while(state, Duration::from_secs(2), |s| s.index <= index).unwrap();
            let changed: Vec<&str> =
                state.changes.iter().filter(|c| c.0 > index).map(|c| c.1.as_str()).collect();
            let line = if changed.is_empty() {
                "\n".to_string()
            } else {
                index = state.index;
                format!("{{\"index\":{index},\"snapshot\":false,\"endpoints\":[{}]}}\n", changed.join(","))
            };
            drop(state);
            stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
        }
    }
}

// ---- Database hosts ----

/// What a host answers to a statement.
pub enum Reply {
    /// Rows of one column, and the command's tag.
    Rows(Vec<String>, String),
    /// No rows, only the command's tag.
    Done(String),
    /// An error with its code.
    Error(&'static str, String),
    /// Several results in the order of the statements.
    Several(Vec<Reply>),
    /// One row that is written in pieces, with a wait behind each. What it wrote is committed behind it, then its command is
    /// complete.
    Slowly { value: String, pieces: usize, wait: Duration, commit: Box<dyn Fn() + Send + Sync>, tag: String },
    /// Nothing; the connection stays open.
    Silence,
    /// The connection ends without an answer.
    Close,
}

/// The reply to a statement. The number is that of the connection: a session at a host is one connection.
type Answer = dyn Fn(&str, u64) -> Reply + Send + Sync;

/// A database host. `answer` gives the reply to a statement, once its last byte has come.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    pub primary: Arc<std::sync::atomic::AtomicBool>,
    /// The position, in microseconds since 1970; 0 stands for the present.
    pub position: Arc<AtomicU64>,
    /// Takes what it is sent, probes included, and answers none of it.
    pub hangs: Arc<std::sync::atomic::AtomicBool>,
    /// For how long the welcome on each third connection waits, in milliseconds.
    pub late_ms: Arc<AtomicU64>,
    /// The connection is closed behind each answer to a request.
    pub closes: Arc<std::sync::atomic::AtomicBool>,
    /// The whole statements that came, and when the first byte of each did.
    pub begun: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Host {
    pub fn start(name: &str, primary: bool, record: &Record, answer: Box<Answer>) -> Run<Host> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("host {name}: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let host = Host {
            name: name.to_string(),
            address,
            primary: Arc::new(primary.into()),
            position: Arc::default(),
            hangs: Arc::default(),
            late_ms: Arc::default(),
            closes: Arc::default(),
            begun: Arc::default(),
        };
        let (serving, record, answer) = (host.clone(), record.clone(), Arc::<Answer>::from(answer));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (host, record, answer) = (serving.clone(), record.clone(), answer.clone());
                thread::spawn(move || drop(host.serve(stream, &record, &*answer)));
            }
        });
        Ok(host)
    }

    fn position_us(&self) -> u64 {
        match self.position.load(Ordering::SeqCst) {
            0 => unix_us(),
            at => at,
        }
    }

    fn is_primary(&self) -> bool {
        self.primary.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream, record: &Record, answer: &Answer) -> io::Result<()> {
        static CONNECTIONS: AtomicU64 = AtomicU64::new(1);
        let number = CONNECTIONS.fetch_add(1, Ordering::SeqCst);
        stream.set_nodelay(true)?;
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut packet = vec![0; (u32::from_be_bytes(length) as usize).clamp(4, 10_000) - 4];
        stream.read_exact(&mut packet)?;
        let late_ms = self.late_ms.load(Ordering::SeqCst);
        if late_ms > 0 && number % 3 == 0 {
            record.line(format!("host {}: connection {number} comes up {late_ms} ms late", self.name));
            thread::sleep(Duration::from_millis(late_ms));
        }
        let mut out = Vec::new();
        put(&mut out, b'R', &0u32.to_be_bytes());
        put(&mut out, b'Z', b"I");
        stream.write_all(&out)?;
        loop {
            let mut kind = [0];
            stream.read_exact(&mut kind)?;
            let began = Instant::now();
            let (kind, body) = read_message_behind(kind[0], &mut stream)?;
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            let mut out = Vec::new();
            if text.trim().is_empty() {
                put(&mut out, b'I', b"");
            } else if self.hangs.load(Ordering::SeqCst) && matches!(text.as_str(), "SHOW usage" | "SELECT 1") {
                let mut bytes = [0; 64];
                while stream.read(&mut bytes)? > 0 {}
                return Ok(());
            } else if text == "SHOW usage" {
                let at = self.position_us() as f64 / 1e6;
                let role = i32::from(self.is_primary());
                put_rows(&mut out, &[format!("x0={at:.6},x1={role},util=0.1,queue=0")]);
                put(&mut out, b'C', b"SHOW\0");
            } else if text == "SELECT 1" {
                put_rows(&mut out, &["1".to_string()]);
                put(&mut out, b'C', b"SELECT 1\0");
            } else {
                self.begun.lock().unwrap().push((began, text.chars().take(200).collect()));
                record.line(format!("host {} gets on connection {number}: {}", self.name, short(&text)));
                let reply = answer(&text, number);
                let writes = text.contains("INSERT") || text.contains("DELETE") || text.contains("UPDATE");
                let role = if self.is_primary() { "writer" } else { "reader" };
                put(&mut out, b'S', format!("server_role\0{role}\0").as_bytes());
                if writes && self.is_primary() {
                    put(&mut out, b'S', format!("commit_clock\0{}\0", unix_us() / 1000).as_bytes());
                }
                if let Reply::Slowly { value, pieces, wait, commit, tag } = &reply {
                    let mut row = Vec::new();
                    put_rows(&mut row, std::slice::from_ref(value));
                    for piece in row.chunks(row.len().div_ceil(*pieces)) {
                        stream.write_all(piece)?;
                        thread::sleep(*wait);
                    }
                    commit();
                    put(&mut out, b'C', format!("{tag}\0").as_bytes());
                }
                match self.put_reply(&mut out, &reply) {
                    Sent::Answer => {}
                    Sent::Silence => {
                        let mut bytes = [0; 64];
                        while stream.read(&mut bytes)? > 0 {}
                        return Ok(());
                    }
                    Sent::Close => return Ok(()),
                }
            }
            put(&mut out, b'Z', b"I");
            stream.write_all(&out)?;
            if self.closes.load(Ordering::SeqCst) && !matches!(text.as_str(), "" | "SHOW usage" | "SELECT 1") {
                return Ok(());
            }
        }
    }

    fn put_reply(&self, out: &mut Vec<u8>, reply: &Reply) -> Sent {
        match reply {
            Reply::Rows(rows, tag) => {
                put_rows(out, rows);
                put(out, b'C', format!("{tag}\0").as_bytes());
            }
            Reply::Done(tag) => put(out, b'C', format!("{tag}\0").as_bytes()),
            Reply::Error(code, message) => {
                put(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{message}\0\0").as_bytes());
            }
            Reply::Several(replies) => {
                for reply in replies {
                    match self.put_reply(out, reply) {
                        Sent::Answer => {}
                        other => return other,
                    }
                }
            }
            Reply::Slowly { .. } => {}
            Reply::Silence => return Sent::Silence,
            Reply::Close => return Sent::Close,
        }
        Sent::Answer
    }
}

enum Sent {
    Answer,
    Silence,
    Close,
}

fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend((4 + body.len() as u32).to_be_bytes());
    out.extend_from_slice(body);
}

fn put_rows(out: &mut Vec<u8>, rows: &[String]) {
    let mut description = vec![0, 1];
    description.extend_from_slice(b"payload\0");
    description.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
    put(out, b'T', &description);
    for row in rows {
        let mut body = vec![0, 1];
        body.extend((row.len() as u32).to_be_bytes());
        body.extend_from_slice(row.as_bytes());
        put(out, b'D', &body);
    }
}

fn read_message(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut kind = [0];
    stream.read_exact(&mut kind)?;
    read_message_behind(kind[0], stream)
}

/// The rest of a message whose kind has been read.
fn read_message_behind(kind: u8, stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).clamp(4, 16 << 20) - 4];
    stream.read_exact(&mut body)?;
    Ok((kind, body))
}

// ---- Clients ----

/// What a client heard up to ReadyForQuery.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    pub rows: Vec<String>,
    /// The tags of the commands that were completed, in order.
    pub tags: Vec<String>,
    /// Code and message of each error.
    pub errors: Vec<(String, String)>,
    pub empty: bool,
    /// The status of the session in ReadyForQuery.
    pub status: char,
}

/// A client with one connection.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<Client> {
        let mut stream = TcpStream::connect_timeout(&to, limit)?;
        stream.set_nodelay(true)?;
        let mut body = 196_608u32.to_be_bytes().to_vec();
        body.extend_from_slice(b"user\0web\0database\0orders\0\0");
        let mut packet = (4 + body.len() as u32).to_be_bytes().to_vec();
        packet.extend(body);
        stream.write_all(&packet)?;
        let mut client = Client { stream };
        client.hear(limit)?;
        Ok(client)
    }

    /// Sends a statement and waits for its whole answer.
    pub fn query(&mut self, text: &str, limit: Duration) -> io::Result<Heard> {
        self.send(text)?;
        self.hear(limit)
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        let mut out = Vec::new();
        let mut body = text.as_bytes().to_vec();
        body.push(0);
        put(&mut out, b'Q', &body);
        self.stream.write_all(&out)
    }

    /// Sends a statement in pieces, with a wait behind each.
    pub fn send_slowly(&mut self, text: &str, piece: usize, wait: Duration) -> io::Result<()> {
        let mut out = Vec::new();
        let mut body = text.as_bytes().to_vec();
        body.push(0);
        put(&mut out, b'Q', &body);
        for piece in out.chunks(piece) {
            self.stream.write_all(piece)?;
            thread::sleep(wait);
        }
        Ok(())
    }

    /// Waits for the next whole answer; the error kind tells a time-out from the end of the connection.
    pub fn hear(&mut self, limit: Duration) -> io::Result<Heard> {
        let until = Instant::now() + limit;
        let mut heard = Heard::default();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
            let (kind, body) = read_message(&mut self.stream).map_err(|e| match e.kind() {
                ErrorKind::WouldBlock => ErrorKind::TimedOut.into(),
                _ => e,
            })?;
            let text = |bytes: &[u8]| {
                String::from_utf8_lossy(bytes.split(|b| *b == 0).next().unwrap_or(&[])).into_owned()
            };
            match kind {
                b'D' => heard.rows.push(String::from_utf8_lossy(body.get(6..).unwrap_or(&[])).into_owned()),
                b'C' => heard.tags.push(text(&body)),
                b'I' => heard.empty = true,
                b'E' => {
                    let field = |name: u8| {
                        body.split(|b| *b == 0).find(|f| f.first() == Some(&name)).map(|f| text(&f[1..]))
                    };
                    heard.errors.push((field(b'C').unwrap_or_default(), field(b'M').unwrap_or_default()));
                }
                b'Z' => {
                    heard.status = body.first().copied().unwrap_or(b'?') as char;
                    return Ok(heard);
                }
                _ => {}
            }
        }
    }
}

/// Settings like those of the first site, with one proxy. `behind` is what a replica does with a read for which it lags
/// too far.
pub fn settings(behind: &str) -> String {
    format!(
        "{{\"balancers\":1,\"ordinal\":0,\"zone\":0,\"membershipMode\":\"pushed\",\"azs\":[\"a\",\"b\"],\
         \"hostTypes\":[\"m\"],\"loadInfo\":{{\"how\":\"pull\",\"fields\":[\"x0\",\"x1\",\"util\",\"queue\"]}},\
         \"classes\":[\
         {{\"name\":\"browse\",\"deadlineUs\":800000,\"effect\":\"retryable\",\"sloUs\":200000,\"worth\":3.0}},\
         {{\"name\":\"history\",\"deadlineUs\":750000,\"effect\":\"retryable\",\"lateWorth\":0.2,\"sloUs\":300000,\
         \"worth\":3.0}},\
         {{\"name\":\"ingest\",\"deadlineUs\":2000000,\"effect\":\"dedup\",\"dedupScope\":\"cell\",\
         \"dedupWindowUs\":1200000,\"lateWorth\":0.5,\"sloUs\":750000,\"worth\":4.0}}],\
         \"familyInfo\":{{\"behind\":\"{behind}\",\"catchUpWaitUs\":100000,\
         \"classRead\":[\"lag_bound\",\"eventual\",\"mutate\"],\"positions\":false,\"roleInList\":\"trailing\",\
         \"stalenessBoundUs\":[800000,0,0],\"writeMarks\":\"brought\",\"zeroUs\":0}},\
         \"ceilings\":{{\"mostTries\":10,\"dialTimeoutUs\":250000,\"keepaliveUs\":20000000,\"cancel\":true,\
         \"mayProbe\":true,\"retryAfter\":true,\"maxRetryAfterUs\":1000000,\"streamsPerConn\":1}},\
         \"callers\":{{\"marksRetry\":true}},\
         \"safety\":{{\"answerSlackUs\":500000,\"drainGraceUs\":500000,\"startCapacity\":0.2,\"coldUs\":15000000,\
         \"tipMultiple\":3.0,\"overloadForUs\":1000000,\"askWithinUs\":10000000}}}}"
    )
}
