//! Stand-ins on loopback addresses: discovery's agent, database hosts, and the platform that starts the proxy.

use crate::wire;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The record of a case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn new(folder: &Path) -> io::Result<Record> {
        Ok(Record(Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)), Instant::now()))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.1.elapsed().as_secs_f64();
        let _ = writeln!(self.0.lock().expect("lock"), "{at:9.4} {}", text.as_ref());
    }
}

/// A short form of a statement, for the record; bytes that are no ASCII as `\xNN`.
pub fn short(text: &[u8]) -> String {
    let head = text[..text.len().min(150)].escape_ascii();
    if text.len() > 150 { format!("{head}... ({} bytes)", text.len()) } else { head.to_string() }
}

/// One database host of the list.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub primary: bool,
    pub group: u32,
}

/// The list of database hosts as JSON.
pub fn list(hosts: &[Listed]) -> String {
    let entries: Vec<String> = hosts
        .iter()
        .map(|h| {
            format!(
                r#"{{"name":"{}","address":"{}","zone":"a","type":"std-4core","group":{},"status":"SERVING","weight":1.0,"since_ms":0,"access":"{}"}}"#,
                h.name,
                h.address,
                h.group,
                if h.primary { "writer" } else { "reader" }
            )
        })
        .collect();
    format!(r#"{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, entries.join(","))
}

/// Starts discovery's agent, which tells one list and then an empty line every 2 s.
pub fn start_agent(list: String) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || drop(serve_agent(stream, &list)));
        }
    });
    Ok(address)
}

fn serve_agent(stream: TcpStream, list: &str) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut request = String::new();
    reader.read_line(&mut request)?;
    let mut line = String::from("x");
    while !line.trim().is_empty() {
        line.clear();
        reader.read_line(&mut line)?;
    }
    let mut stream = stream;
    if !request.contains("stream=1") {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        return write!(stream, "{head}Content-Length: {}\r\n\r\n{list}", list.len());
    }
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&format!("{list}\n")))?;
    loop {
        thread::sleep(Duration::from_secs(2));
        write!(stream, "{}", chunk("\n"))?;
    }
}

/// What a database host does with a statement.
pub enum Act {
    /// Answers with this value.
    Row(Vec<u8>),
    /// Answers with this error.
    Error(&'static str),
    /// Ends the connection without an answer.
    Reset,
    /// Answers with a row of this value, and ends the connection behind this many bytes of the answer.
    Broken(Vec<u8>, usize),
}

/// Starts a database host. `run` gets each statement that is no probe, once its last byte has come, and may take its time.
pub fn start_host(
    primary: bool, run: impl Fn(&[u8]) -> Act + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let run = Arc::new(run);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let run = run.clone();
            thread::spawn(move || drop(serve_host(stream, primary, &*run)));
        }
    });
    Ok(address)
}

fn serve_host(mut stream: TcpStream, primary: bool, run: &dyn Fn(&[u8]) -> Act) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut startup = vec![0; (u32::from_be_bytes(length) as usize).clamp(8, 10_000) - 4];
    stream.read_exact(&mut startup)?;
    stream.write_all(&[wire::message(b'R', &[0; 4]), wire::ready()].concat())?;
    let mut reader = BufReader::with_capacity(1 << 16, stream.try_clone()?);
    loop {
        let (kind, body) = wire::read_message(&mut reader)?;
        if kind != b'Q' {
            return Ok(());
        }
        let bytes = body.strip_suffix(b"\0").unwrap_or(&body);
        let text = std::str::from_utf8(bytes);
        let trimmed = text.unwrap_or("not UTF-8").trim();
        let mut out = Vec::new();
        if trimmed.is_empty() {
            out.extend(wire::message(b'I', &[]));
        } else if trimmed == "SHOW usage" {
            let x0 = unix_ms() as f64 / 1e3;
            let usage = format!("x0={x0:.3},x1={},util=0.1,queue=0", u8::from(primary));
            out.extend(wire::row(usage.as_bytes(), "SHOW"));
        } else if trimmed == "SELECT 1" {
            out.extend(wire::row(b"1", "SELECT 1"));
        } else {
            let writes = trimmed.contains("INSERT") || trimmed.contains("UPDATE");
            let act = match text {
                // As PostgreSQL does: invalid byte sequence for encoding "UTF8".
                Err(_) => Act::Error("22021"),
                Ok(_) if writes && !primary => Act::Error("25006"),
                Ok(_) => run(bytes),
            };
            match act {
                Act::Row(value) => {
                    out.extend(wire::row(&value, if writes { "INSERT 0 1" } else { "SELECT 1" }));
                    out.extend(wire::parameter("server_role", if primary { "writer" } else { "reader" }));
                    if writes {
                        out.extend(wire::parameter("commit_clock", &unix_ms().to_string()));
                    }
                }
                Act::Error(code) => {
                    out.extend(wire::error(code, "not here"));
                    out.extend(wire::parameter("server_role", if primary { "writer" } else { "reader" }));
                }
                Act::Broken(value, bytes) => {
                    stream.write_all(&wire::row(&value, "SELECT 1")[..bytes])?;
                    return stream.shutdown(Shutdown::Both);
                }
                Act::Reset => return stream.shutdown(Shutdown::Both),
            }
        }
        out.extend(wire::ready());
        stream.write_all(&out)?;
    }
}

/// How long a run may take.
const MAX_RUN: Duration = Duration::from_secs(110);

/// A port that is free just now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The running proxy, started as the platform starts it; ended when this is dropped.
pub struct Proxy {
    pub address: SocketAddr,
    /// Where operators call.
    pub console: SocketAddr,
    child: Child,
    folder: PathBuf,
    record: Record,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for line in fs::read_to_string(self.folder.join("log")).unwrap_or_default().lines() {
            self.record.line(format!("log of the proxy: {line}"));
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The settings of a small deployment, after the first site's. `ingest` is the effect of the write class.
pub fn settings(ingest: &str) -> String {
    format!(
        r#"{{"azs":["a","b"],"balancers":3,"callers":{{"marksRetry":true}},
"ceilings":{{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":100000,"dialTimeoutUs":250000,"keepaliveUs":30000000,
"maxOpen":20000,"maxRetryAfterUs":1000000,"mayProbe":true,"mostTries":10,"peerMessages":false,"retryAfter":true,
"secondCopies":false,"streamsPerConn":1}},
"classes":[
{{"deadlineUs":800000,"dedupScope":"all","dedupWindowUs":5000000,"effect":"retryable","lateWorth":0.0,"name":"browse",
"sloUs":200000,"stream":false,"worth":3.0}},
{{"deadlineUs":750000,"dedupScope":"all","dedupWindowUs":5000000,"effect":"retryable","lateWorth":0.2,"name":"history",
"sloUs":300000,"stream":false,"worth":3.0}},
{{"deadlineUs":2000000,"dedupScope":"cell","dedupWindowUs":1200000,"effect":"{ingest}","lateWorth":0.5,"name":"ingest",
"sloUs":750000,"stream":false,"worth":4.0}}],
"familyInfo":{{"behind":"await","catchUpWaitUs":100000,"classRead":["lag_bound","eventual","mutate"],"commitWaits":true,
"notes":"position in ms after zero x 4, plus 1 from a primary or 2 from a replica","positions":false,
"reportX0":"position in seconds after zero","reportX1":"1 from a primary","roleInList":"trailing",
"stalenessBoundUs":[800000,0,0],"writeMarks":"brought","zeroUs":0}},
"fees":{{"crossZone":0.035,"lateFail":0.03,"probe":0.02,"waste":0.03}},
"hostTypes":["std-4core"],"layers":["archive-db"],
"loadInfo":{{"fields":["x0","x1","util","queue"],"how":"pull"}},"membershipMode":"pushed","ordinal":0,
"overShareWorth":0.1,
"safety":{{"answerSlackUs":20000,"askWithinUs":10000000,"coldUs":15000000,"drainGraceUs":500000,
"overloadForUs":1000000,"startCapacity":0.2,"tipMultiple":3.0}},
"tenants":[],"tickUs":5000,"tier":0,"weights":"silent","worthBy":"request","zone":0}}"#
    )
}

/// What differs from case to case in how the proxy is started.
pub struct Start<'s> {
    /// The list of database hosts as the proxy last had it, which is the present one.
    pub known: String,
    pub settings: String,
    pub memory_mb: usize,
    pub sockets: usize,
    /// The operator's file.
    pub operator_file: Option<&'s str>,
}

impl Proxy {
    /// Starts the proxy by the deploy file's command, from the repository's root, and waits until it answers the empty
    /// query.
    pub fn start(case: &Path, record: &Record, agent: SocketAddr, start: Start<'_>) -> io::Result<Proxy> {
        let root = case.join("../..").canonicalize()?;
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or_else(|| io::Error::other("the deploy file has no run"))?;
        let name = format!("sillfold-review-{}-{}", std::process::id(), unix_ms());
        let folder = std::env::temp_dir().join(name);
        let state = folder.join("state");
        fs::create_dir_all(&state)?;
        let (address, console) = (free_address()?, free_address()?);
        let mut config = String::new();
        let _ = write!(
            config,
            r#"{{"name":"n0","listen":"{address}","discovery":"{agent}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{},
"settings":{}}}"#,
            start.memory_mb, start.sockets, start.known, start.settings
        );
        let config_path = folder.join("config.json");
        fs::write(&config_path, &config)?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).current_dir(&root);
        command.env("LB_NAME", "n0").env("LB_LISTEN", address.to_string());
        command.env("LB_DISCOVERY", agent.to_string()).env("LB_CONFIG", &config_path);
        command.env("TMPDIR", &state).env_remove("SILLFOLD_FILE").env("LB_CONSOLE", console.to_string());
        if let Some(text) = start.operator_file {
            let path = folder.join("operator.json5");
            fs::write(&path, text)?;
            command.env("SILLFOLD_FILE", &path);
        }
        let log = File::create(folder.join("log"))?;
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        record.line(format!(
            "platform: starts {run:?}, listen {address}, {} MB, {} descriptors",
            start.memory_mb, start.sockets
        ));
        let mut proxy = Proxy { address, console, child: command.spawn()?, folder, record: record.clone() };
        proxy.end_in_time();
        let until = Instant::now() + Duration::from_secs(15);
        loop {
            if let Some(status) = proxy.child.try_wait()? {
                return Err(io::Error::other(format!("the proxy ended at its start: {status}")));
            }
            if proxy.is_ready().unwrap_or(false) {
                record.line("front: the proxy answers the empty query");
                return Ok(proxy);
            }
            if Instant::now() > until {
                return Err(io::Error::other("the proxy is not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Guards against a run of over 120 s: ends the proxy and this process, as a case that could not run.
    fn end_in_time(&self) {
        let (id, folder, record) = (self.child.id(), self.folder.clone(), self.record.clone());
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            record.line("verdict: the case could not run: it takes too long");
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {id}")).status();
            let _ = fs::remove_dir_all(folder);
            std::process::exit(2);
        });
    }

    fn is_ready(&self) -> io::Result<bool> {
        let mut stream = self.connect()?;
        stream.write_all(&wire::query(""))?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        Ok(wire::read_answer(&mut stream)? == wire::Answer::Served(Vec::new()))
    }

    /// A client's connection whose session is open.
    pub fn connect(&self) -> io::Result<TcpStream> {
        self.connect_to("orders")
    }

    /// The same, with the name of a database in its startup message.
    pub fn connect_to(&self, database: &str) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_read_timeout(Some(Duration::from_secs(30)))?;
        wire::open_session(&mut stream, database)?;
        Ok(stream)
    }

    /// An operator's call without a body; the first line of its answer.
    pub fn call(&self, method: &str, path: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect(self.console)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: console\r\nContent-Length: 0\r\n\r\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line.trim().to_string())
    }

    /// The operator writes a new file, and sends SIGHUP to the process.
    pub fn replace_operator_file(&self, text: &str) -> io::Result<()> {
        let (path, next) = (self.folder.join("operator.json5"), self.folder.join("operator.next"));
        fs::write(&next, text)?;
        fs::rename(&next, &path)?;
        let status =
            Command::new("/bin/sh").arg("-c").arg(format!("kill -HUP {}", self.child.id())).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("SIGHUP could not be sent")) }
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// The memory that the process holds, in KiB, as the machine counts it: anonymous and file pages.
    pub fn memory_kib(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// The platform kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
