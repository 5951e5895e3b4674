//! The proxies of a run and their processes: starts them, sends signals and operators' requests, and ends them. This module
//! owns their configurations, directories and logs. It must leave no process behind.

use super::agent::Agents;
use super::checker::{Checker, Class, DrainSource, Idempotency, classes};
use super::client;
use super::directory_of;
use super::plan::Signal;
use crate::flood::{Flood, FloodClients, Terms};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The first of the ports on which proxies serve; the seed of the run selects one.
const FIRST_PORT: u16 = 20433;
/// The first of the ports of consoles. Processes that run beside each other have one port each.
const FIRST_CONSOLE_PORT: u16 = 20500;
/// The number of console ports of a run; the processes of a proxy use them in turn.
const CONSOLE_PORT_COUNT: u64 = 64;
/// The most time that a process has after SIGTERM; it has as long as the longest client deadline if that is shorter.
const MAX_STOP_TIME: Duration = Duration::from_secs(3);
/// The client deadline of the requests of a flood.
const FLOOD_DEADLINE_MS: u64 = 1_000;
/// The most floods of a proxy.
const MAX_FLOODS: u64 = 100;
/// The ids of each flood have numbers of their own, this many at most.
const FLOOD_NUMBERS: u64 = 1_000_000_000;
/// SIGKILL follows this long after the time that a process has after SIGTERM.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The number of connections of a crowd; more than the slots of a process.
const CROWD_CONNECTIONS: usize = 150;
/// How long a crowd may occupy slots before the process gets SIGTERM.
const CROWD_LEAD_TIME: Duration = Duration::from_millis(300);
/// The interval of checks whether a starting process catches signals.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Longest freeze of a process. A longer one, with the delay of an injected fault behind it, could exceed what the rules
/// allow for.
const MAX_FREEZE: Duration = Duration::from_millis(80);
/// A process has read its configuration within this time after its start.
const CONFIG_READ_TIME: Duration = Duration::from_secs(1);
/// The interval between two configurations or signals in quick succession.
const RELOAD_INTERVAL: Duration = Duration::from_millis(30);
/// Timeout of an operator's request.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The wait before an operator's request is sent again.
const CONSOLE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A process of a proxy; dropping it kills the process.
pub struct Process {
    child: RefCell<Child>,
    id: u32,
    console: SocketAddr,
    config_path: PathBuf,
    started: Instant,
    /// Whether the process got a signal to end, so that its end is expected.
    is_ending: Cell<bool>,
    /// The lines of the log that `keep_log` keeps.
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Sends a signal by the system's `kill`, unless the process has ended.
    fn signal(&self, name: &str) {
        if self.exit_code().is_some() {
            return;
        }
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &self.id.to_string()])
            .stderr(Stdio::null())
            .status();
    }

    /// The exit code of the process, or -1 if a signal ended it; `None` while it runs.
    fn exit_code(&self) -> Option<i32> {
        let status = self.child.borrow_mut().try_wait().ok().flatten()?;
        Some(status.code().unwrap_or(-1))
    }

    /// Waits until the process catches SIGHUP: before that, the signal would end it. Also returns if the process ends.
    async fn wait_until_catching_signals(&self) {
        /// The bit of SIGHUP in the masks of signals in `/proc/PID/status`.
        const SIGHUP_BIT: u64 = 1;
        let path = format!("/proc/{}/status", self.id);
        while self.exit_code().is_none() {
            let status = std::fs::read_to_string(&path).unwrap_or_default();
            let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
            let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
            if caught.is_some_and(|mask| mask & SIGHUP_BIT != 0) {
                return;
            }
            Timer::after(SIGNAL_CHECK_INTERVAL).await;
        }
    }

    /// The ports of the clients' ends of the connections to this address that the process holds, or that wait to be accepted.
    fn client_ports(&self, address: SocketAddr) -> BTreeSet<u16> {
        let socket_inodes: BTreeSet<String> = std::fs::read_dir(format!("/proc/{}/fd", self.id))
            .into_iter()
            .flatten()
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .filter_map(|link| Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_string()))
            .collect();
        let IpAddr::V4(ip) = address.ip() else { return BTreeSet::new() };
        let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let port_of = |line: &str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let (remote, inode) = (fields.get(2)?, fields.get(9)?);
            let is_own = fields.get(1) == Some(&&*local) && (*inode == "0" || socket_inodes.contains(*inode));
            u16::from_str_radix(remote.split(':').nth(1)?, 16).ok().filter(|_| is_own)
        };
        table.lines().filter_map(port_of).collect()
    }

    /// Waits for the process to end, and returns its exit code as `exit_code` does.
    async fn wait_for_end(&self) -> i32 {
        loop {
            if let Some(code) = self.exit_code() {
                return code;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let mut child = self.child.borrow_mut();
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// One proxy of a run: its address, and the processes that serve there after or beside one another.
pub struct SoakProxy {
    pub number: usize,
    pub address: SocketAddr,
    seed: u64,
    program: PathBuf,
    directory: PathBuf,
    /// The addresses of its agent.
    agent_addresses: [SocketAddr; 2],
    /// The index of the address that the configuration names now.
    agent_index: Cell<usize>,
    /// The number of processes that were started.
    process_count: Cell<u64>,
    /// The number of floods so far.
    flood_count: Cell<u64>,
    /// All processes, in the order of their starts.
    processes: RefCell<Vec<Rc<Process>>>,
}

/// The settings of a deployment with these classes, the last two of which write.
fn settings(proxies: usize, classes: &[Class]) -> serde_json::Value {
    let classes: Vec<_> = classes
        .iter()
        .map(|class| {
            let deadline_us = class.deadline.as_micros() as f64;
            let mut json = serde_json::json!({"name": class.name, "deadlineUs": deadline_us, "effect": "retryable",
                "sloUs": deadline_us / 2.0, "worth": 3.0, "lateWorth": 0.5});
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => json["effect"] = "fragile".into(),
                Idempotency::Keyed(window) => {
                    json["effect"] = "dedup".into();
                    json["dedupScope"] = "cell".into();
                    json["dedupWindowUs"] = (window.as_micros() as f64).into();
                }
            }
            json
        })
        .collect();
    serde_json::json!({
        "balancers": proxies, "ordinal": 0, "zone": 0, "membershipMode": "pushed", "azs": ["a"],
        "hostTypes": ["m"], "loadInfo": {"fields": ["x0", "x1"]}, "classes": classes,
        "familyInfo": {"behind": "await", "catchUpWaitUs": 20_000, "positions": true, "roleInList": "trailing",
            "classRead": ["lag_bound", "eventual", "mutate", "mutate"], "stalenessBoundUs": [800_000, 0, 0, 0],
            "writeMarks": "brought", "zeroUs": 0},
        "ceilings": {"mostTries": 8, "dialTimeoutUs": 1_000_000, "cancel": true, "retryAfter": true,
            "maxRetryAfterUs": 300_000},
        "safety": {"drainGraceUs": 500_000, "startCapacity": 0.2, "coldUs": 5_000_000, "tipMultiple": 3.0,
            "overloadForUs": 1_000_000, "askWithinUs": 10_000_000}
    })
}

impl SoakProxy {
    /// A proxy without processes, with its directory below that of the run.
    pub fn new(
        number: usize, seed: u64, program: &Path, run_directory: &Path, agents: &Agents,
    ) -> io::Result<SoakProxy> {
        let directory = directory_of(run_directory, number);
        std::fs::create_dir_all(directory.join("tmp"))?;
        let [_, _, a, b] = std::process::id().to_be_bytes();
        let ip = IpAddr::from([127, 2 + (number % 60) as u8, a, b.max(1)]);
        Ok(SoakProxy {
            number,
            address: SocketAddr::new(ip, FIRST_PORT + (seed % 32) as u16),
            seed,
            program: program.to_path_buf(),
            directory,
            agent_addresses: agents.addresses(number),
            agent_index: Cell::default(),
            process_count: Cell::default(),
            flood_count: Cell::default(),
            processes: RefCell::default(),
        })
    }

    /// The number of processes that were started.
    pub fn process_count(&self) -> u64 {
        self.process_count.get()
    }

    /// The configuration of a process with this console.
    fn config(&self, console: SocketAddr) -> String {
        serde_json::json!({
            "name": format!("n{}", self.number), "listen": self.address.to_string(),
            "discovery": self.agent_addresses[self.agent_index.get()].to_string(), "console": console.to_string(),
            "seed": format!("{:x}", self.seed * 1_000 + self.number as u64), "linger_ms": 400,
            "limits": {"sockets": 256, "memory_mb": 48}, "settings": settings(1, &classes(self.seed)),
        })
        .to_string()
    }

    /// Starts a further process, with injected faults of a seed of its own.
    pub fn start(&self, checker: &RefCell<Checker>) -> io::Result<()> {
        let process_number = self.process_count.get();
        self.process_count.set(process_number + 1);
        let port = FIRST_CONSOLE_PORT
            + (self.seed % 32) as u16 * CONSOLE_PORT_COUNT as u16
            + (process_number % CONSOLE_PORT_COUNT) as u16;
        let console = SocketAddr::new(self.address.ip(), port);
        let config_path = self.directory.join(format!("config-{process_number}.json"));
        std::fs::write(&config_path, self.config(console))?;
        let fault_seed = self.seed * 100_000 + self.number as u64 * 100 + process_number;
        let mut command = Command::new(&self.program);
        for key in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONSOLE", "SILLFOLD_FILE"] {
            command.env_remove(key);
        }
        command.env("LB_CONFIG", &config_path).env("TMPDIR", self.directory.join("tmp"));
        command.env("SILLFOLD_FAULTS", fault_seed.to_string()).env("SILLFOLD_LOG_LEVEL", "debug");
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let log_lines = Arc::new(Mutex::new(Vec::new()));
        if let Some(stderr) = child.stderr.take() {
            let (lines, path) = (log_lines.clone(), self.directory.join(format!("log-{process_number}")));
            std::thread::spawn(move || keep_log(stderr, &lines, &path));
        }
        let id = child.id();
        let child = RefCell::new(child);
        let is_ending = Cell::new(false);
        self.processes.borrow_mut().push(Rc::new(Process {
            child,
            id,
            console,
            config_path,
            started: Instant::now(),
            is_ending,
            log_lines,
        }));
        checker.borrow_mut().process_started(self.number);
        Ok(())
    }

    /// Starts a further process; a violation if that fails.
    fn start_or_report(&self, checker: &RefCell<Checker>) {
        if let Err(e) = self.start(checker) {
            checker.borrow_mut().add_violation(format!("proxy {} cannot be started: {e}", self.number));
        }
    }

    /// The running process that was started last, among those without a signal to end.
    fn latest(&self) -> Option<Rc<Process>> {
        let processes = self.processes.borrow();
        processes.iter().rev().find(|p| !p.is_ending.get() && p.exit_code().is_none()).cloned()
    }

    /// Kills the latest process, and starts another after `pause`.
    pub async fn kill(self: Rc<SoakProxy>, pause: Duration, checker: &RefCell<Checker>) {
        let Some(process) = self.latest() else { return };
        process.is_ending.set(true);
        // While the process is stopped, its connections do not change until they are recorded.
        process.signal("STOP");
        checker.borrow_mut().process_killed(self.number, process.client_ports(self.address));
        process.signal("KILL");
        Timer::after(pause).await;
        self.start_or_report(checker);
    }

    /// How long after SIGTERM a process gets SIGKILL.
    fn kill_after(&self) -> Duration {
        let longest_deadline =
            classes(self.seed).iter().map(|class| class.deadline).max().unwrap_or_default();
        longest_deadline.min(MAX_STOP_TIME) + KILL_MARGIN
    }

    /// Sends SIGTERM to a process, then `signals` at their times, and SIGKILL if it has not ended when that is due. A violation
    /// if the process does not exit with 0.
    async fn stop_process(
        &self, process: &Process, signals: &[(Duration, Signal)], checker: &RefCell<Checker>,
    ) {
        process.is_ending.set(true);
        process.signal("TERM");
        let started = Instant::now();
        let series = async {
            for (at, signal) in signals {
                Timer::at(started + *at).await;
                process.signal(signal.name());
            }
            future::pending().await
        };
        let killed = async {
            Timer::after(self.kill_after()).await;
            process.signal("KILL");
            None
        };
        let ended = async { Some(process.wait_for_end().await) };
        let code = future::or(ended, future::or(series, killed)).await;
        if code != Some(0) {
            let after = started.elapsed();
            checker
                .borrow_mut()
                .add_violation(format!("proxy {} ends as {code:?} after {after:?}", self.number));
        }
    }

    /// Stops the latest process gracefully, and starts another once it has ended.
    pub async fn restart(
        self: Rc<SoakProxy>, signals: Vec<(Duration, Signal)>, is_crowded: bool, checker: &RefCell<Checker>,
    ) {
        let Some(process) = self.latest() else { return };
        let stopped = async {
            if is_crowded {
                Timer::after(CROWD_LEAD_TIME).await;
            }
            if !process.is_ending.get() {
                self.stop_process(&process, &signals, checker).await;
                self.start_or_report(checker);
            }
        };
        let crowd = async {
            if is_crowded {
                client::crowd(self.address, CROWD_CONNECTIONS, CROWD_LEAD_TIME + self.kill_after()).await;
            }
        };
        future::zip(stopped, crowd).await;
    }

    /// Opens a crowd of connections that only occupy slots.
    pub async fn crowd(self: Rc<SoakProxy>, duration: Duration) {
        client::crowd(self.address, CROWD_CONNECTIONS, duration).await;
    }

    /// Has this number of clients send at full speed.
    pub async fn flood(self: Rc<SoakProxy>, flood: Flood, clients: usize, duration: Duration) {
        self.flood_count.set(self.flood_count.get() + 1);
        let first_number = (self.number as u64 * MAX_FLOODS + self.flood_count.get()) * FLOOD_NUMBERS;
        let terms =
            Terms { read_class: "history", write_class: "ingest", group: 0, deadline_ms: FLOOD_DEADLINE_MS };
        let clients = FloodClients::start(flood, clients, self.address, terms, first_number);
        Timer::after(duration).await;
        drop(clients);
    }

    /// Starts two processes beside the latest one, one after the other, and stops the older ones gracefully after a pause. The
    /// newest gets SIGHUP several times while it starts.
    pub async fn upgrade_twice(self: Rc<SoakProxy>, pause: Duration, checker: &RefCell<Checker>) {
        let Some(first) = self.latest() else { return };
        self.start_or_report(checker);
        let Some(second) = self.latest() else { return };
        Timer::after(pause / 4).await;
        self.start_or_report(checker);
        if let Some(newest) = self.latest() {
            newest.wait_until_catching_signals().await;
            for _ in 0..4 {
                newest.signal("HUP");
                Timer::after(RELOAD_INTERVAL).await;
            }
        }
        Timer::after(pause).await;
        for older in [first, second] {
            if !older.is_ending.get() {
                self.stop_process(&older, &[], checker).await;
            }
        }
    }

    /// Starts a process beside the latest one, and stops it gracefully before it serves.
    pub async fn stop_while_starting(self: Rc<SoakProxy>, checker: &RefCell<Checker>) {
        if self.latest().is_none() {
            return;
        }
        self.start_or_report(checker);
        let newest = self.processes.borrow().last().cloned();
        let Some(newest) = newest else { return };
        newest.is_ending.set(true);
        newest.wait_until_catching_signals().await;
        newest.signal("HUP");
        self.stop_process(
            &newest,
            &[(RELOAD_INTERVAL, Signal::Hup), (RELOAD_INTERVAL, Signal::Int)],
            checker,
        )
        .await;
    }

    /// Starts a process beside the latest one, and stops the older one gracefully after `pause`.
    pub async fn upgrade(self: Rc<SoakProxy>, pause: Duration, checker: &RefCell<Checker>) {
        let Some(process) = self.latest() else { return };
        self.start_or_report(checker);
        Timer::after(pause).await;
        if !process.is_ending.get() {
            self.stop_process(&process, &[], checker).await;
        }
    }

    /// Stops the latest process by SIGSTOP for `duration`, at most `MAX_FREEZE`.
    pub async fn freeze(self: Rc<SoakProxy>, duration: Duration) {
        let Some(process) = self.latest() else { return };
        process.signal("STOP");
        Timer::after(duration.min(MAX_FREEZE)).await;
        process.signal("CONT");
    }

    /// Reloads the latest process with a new configuration `times` times. Each moves discovery to the other address.
    pub async fn reload(self: Rc<SoakProxy>, times: u32, checker: &RefCell<Checker>) {
        for _ in 0..times {
            let Some(process) = self.latest() else { return };
            self.agent_index.set(1 - self.agent_index.get());
            self.put_config(&process, &self.config(process.console), checker);
            process.signal("HUP");
            Timer::after(RELOAD_INTERVAL).await;
        }
    }

    /// Reloads the latest process with an invalid configuration, and then restores the file without a signal.
    pub async fn reload_invalid(self: Rc<SoakProxy>, checker: &RefCell<Checker>) {
        // A process that is still starting would read the invalid configuration first, and end.
        let Some(process) = self.latest().filter(|p| p.started.elapsed() > CONFIG_READ_TIME) else { return };
        self.put_config(&process, "{\"name\":", checker);
        process.signal("HUP");
        Timer::after(RELOAD_INTERVAL * 4).await;
        self.put_config(&process, &self.config(process.console), checker);
    }

    /// Replaces the configuration file of a process.
    fn put_config(&self, process: &Process, text: &str, checker: &RefCell<Checker>) {
        let next = process.config_path.with_extension("next");
        let result = std::fs::write(&next, text).and_then(|()| std::fs::rename(&next, &process.config_path));
        if let Err(e) = result {
            checker.borrow_mut().add_violation(format!("proxy {}: the configuration: {e}", self.number));
        }
    }

    /// Leaves a host out by an operator's request, and has it used again after `duration`.
    pub async fn leave_out(
        self: Rc<SoakProxy>, host: usize, name: &str, duration: Duration, checker: &RefCell<Checker>,
    ) {
        let body = serde_json::json!({"who": name}).to_string();
        let Some(process) = self.latest() else { return };
        let path = "/ops/database-hosts/down";
        match send_request(process.console, "POST", path, &body).await {
            Ok((200, _)) => checker.borrow_mut().drain_reported(self.number, host, DrainSource::ByHand),
            Ok(_) => return,
            // The process may have accepted the request or not: the checker does not judge it, and it is undone all the same.
            Err(_) => {}
        }
        Timer::after(duration).await;
        checker.borrow_mut().drain_ended(self.number, host, DrainSource::ByHand);
        loop {
            let path = "/ops/database-hosts/up";
            if let Some(process) = self.latest()
                && send_request(process.console, "POST", path, &body)
                    .await
                    .is_ok_and(|answer| answer.0 == 200)
            {
                return;
            }
            Timer::after(CONSOLE_RETRY_DELAY).await;
        }
    }

    /// Reads the statistics of all running processes; a violation for each invariant that was broken, and for
    /// a process whose statistics cannot be read although it got no signal to end.
    pub async fn check_invariants(&self, checker: &RefCell<Checker>) {
        let running: Vec<_> =
            self.processes.borrow().iter().filter(|p| p.exit_code().is_none()).cloned().collect();
        for process in running {
            let answer = send_request(process.console, "GET", "/ops/stats", "").await;
            let figures =
                answer.ok().and_then(|answer| serde_json::from_str::<serde_json::Value>(&answer.1).ok());
            let Some(figures) = figures else {
                if !process.is_ending.get() {
                    checker.borrow_mut().add_violation(format!("proxy {}: no figures", self.number));
                }
                continue;
            };
            let invariants = figures["invariants"].as_object().into_iter().flatten();
            for (name, count) in invariants.filter(|(_, count)| count.as_u64() != Some(0)) {
                checker.borrow_mut().add_violation(format!("proxy {}: {name} {count} times", self.number));
            }
        }
    }

    /// Sends SIGTERM to all running processes, and SIGCONT before it for one that is frozen.
    pub fn signal_all_to_end(&self) {
        for process in self.processes.borrow().iter().filter(|p| p.exit_code().is_none()) {
            process.signal("CONT");
            process.is_ending.set(true);
            process.signal("TERM");
        }
    }

    /// Waits for all processes to end, with SIGKILL for those that take too long; a violation for each that ended
    /// without a signal to end, or with an unexpected exit code.
    pub async fn wait_for_all(&self, checker: &RefCell<Checker>) {
        let processes = self.processes.borrow().clone();
        for process in processes {
            let killed = async {
                Timer::after(self.kill_after()).await;
                process.signal("KILL");
                None
            };
            let code = future::or(async { Some(process.wait_for_end().await) }, killed).await;
            // -1 is the exit of a process that was killed by the plan.
            if !matches!(code, Some(0 | -1)) || !process.is_ending.get() {
                checker
                    .borrow_mut()
                    .add_violation(format!("proxy {}: a process ended as {code:?}", self.number));
            }
        }
    }

    /// Reads the logs: adds violations for broken invariants and panics, and the counts of injected faults to `faults`.
    pub fn read_logs(&self, checker: &RefCell<Checker>, faults: &mut BTreeMap<String, u64>) {
        for process in self.processes.borrow().iter() {
            let Ok(lines) = process.log_lines.lock() else { continue };
            for line in lines.iter() {
                if line.contains("ERROR invariants") || line.contains("panicked") {
                    checker.borrow_mut().add_violation(format!("proxy {}: {line}", self.number));
                }
                let injected =
                    line.strip_prefix("faults met: ").and_then(|json| serde_json::from_str(json).ok());
                let injected: BTreeMap<String, u64> = injected.unwrap_or_default();
                injected.into_iter().for_each(|(kind, count)| *faults.entry(kind).or_default() += count);
            }
        }
    }
}

/// Writes the whole log of a process to a file, and keeps those lines in memory that `read_logs` needs.
fn keep_log(stderr: impl io::Read, lines: &Mutex<Vec<String>>, path: &Path) {
    use io::Write;
    let mut file = std::fs::File::create(path).ok();
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if let Some(file) = &mut file {
            let _ = writeln!(file, "{line}");
        }
        let is_kept = ["ERROR", "panicked", "faults met"].iter().any(|word| line.contains(word));
        if let (true, Ok(mut lines)) = (is_kept, lines.lock()) {
            lines.push(line);
        }
    }
}

/// Sends an operator's request to a console; returns the status and the body of the answer.
async fn send_request(
    console: SocketAddr, method: &str, path: &str, body: &str,
) -> io::Result<(u16, String)> {
    let text = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let exchange = async {
        let mut stream = Async::<TcpStream>::connect(console).await?;
        stream.write_all(text.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok());
        let (_, body) = answer.split_once("\r\n\r\n").unwrap_or(("", ""));
        Ok((status.ok_or(io::ErrorKind::InvalidData)?, body.to_string()))
    };
    let timeout = async {
        Timer::after(CONSOLE_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(exchange, timeout).await
}
