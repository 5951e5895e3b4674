//! Runs the proxy as a child process: writes its configuration, starts it, reads its log and ends it. It must never leave a
//! process behind.

use crate::client::Client;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Longest wait for a line of the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(20);
/// The port on which a proxy at its own address listens; the console has the next one.
const PORT: u16 = 20433;

/// A loopback address that only this process uses, for stand-ins that listen at any free port.
pub fn loopback_address() -> IpAddr {
    own_address(0)
}

/// The loopback address of the nth proxy of this process. Proxies have fixed ports: of two at the same address, the second
/// would find the console's port in use. These addresses begin with 127.192 to 127.251, those of the
/// tests' support with 127.64 to 127.191.
fn own_address(n: u32) -> IpAddr {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    IpAddr::from([127, 192 + (n % 60) as u8, a, b.max(1)])
}

/// The settings of a deployment with one proxy. Class `browse` reads data at most 800 ms old, `history` reads data of any
/// age, `ingest` is a keyed write. Hosts don't check the bound themselves; the proxy may probe them.
pub fn settings() -> serde_json::Value {
    serde_json::json!({
        "balancers": 1, "ordinal": 0, "zone": 0, "membershipMode": "pushed", "azs": ["a"],
        "hostTypes": ["m"], "loadInfo": {"fields": ["x0", "x1", "util", "queue"]},
        "classes": [
            {"name": "browse", "deadlineUs": 20e6, "effect": "retryable", "sloUs": 5e6, "worth": 3.0,
             "lateWorth": 0.9},
            {"name": "history", "deadlineUs": 20e6, "effect": "retryable", "sloUs": 9e6, "worth": 3.0,
             "lateWorth": 0.9},
            {"name": "ingest", "deadlineUs": 20e6, "effect": "dedup", "dedupScope": "cell",
             "dedupWindowUs": 1.2e6, "sloUs": 5e6, "worth": 4.0, "lateWorth": 0.5}
        ],
        "familyInfo": {"behind": "silent", "classRead": ["lag_bound", "eventual", "mutate"],
            "positions": false, "roleInList": "trailing", "stalenessBoundUs": [800_000, 0, 0],
            "writeMarks": "brought", "zeroUs": 0},
        "ceilings": {"mostTries": 10, "dialTimeoutUs": 1_500_000, "cancel": true, "retryAfter": true,
            "maxRetryAfterUs": 1_000_000, "mayProbe": true},
        "safety": {"drainGraceUs": 500_000, "startCapacity": 0.2, "coldUs": 15_000_000, "tipMultiple": 3.0,
            "overloadForUs": 1_000_000, "askWithinUs": 10_000_000}
    })
}

/// A running proxy; dropping it kills the process and removes its directory.
pub struct Proxy {
    child: Child,
    /// The address on which the proxy serves clients.
    pub address: SocketAddr,
    /// The address of the operators' console.
    pub console: SocketAddr,
    log: Receiver<String>,
    directory: PathBuf,
}

impl Proxy {
    /// Starts the proxy at `at` and waits until it serves. `program` is the command line: the proxy's program, with a wrapper
    /// such as valgrind and its arguments before it where wanted. `operator` is the text of the operator's file.
    pub fn start(
        program: &[&str], at: SocketAddr, discovery: SocketAddr, settings: &serde_json::Value,
        operator: Option<&str>,
    ) -> io::Result<Proxy> {
        let proxy = Proxy::spawn(program, at, discovery, settings, operator)?;
        proxy.logged("serves on")?;
        // The proxy answers the empty query once it has received the list of hosts.
        let answer = Client::connect(at, "web", "orders")?.query("")?;
        if answer.empty {
            Ok(proxy)
        } else {
            Err(io::Error::other(format!("the proxy is not ready: {answer:?}")))
        }
    }

    /// Starts the proxy at an address that no other proxy of this process uses.
    pub fn start_at_own_address(
        program: &[&str], discovery: SocketAddr, settings: &serde_json::Value, operator: Option<&str>,
    ) -> io::Result<Proxy> {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let at = SocketAddr::new(own_address(NEXT.fetch_add(1, Ordering::Relaxed)), PORT);
        Proxy::start(program, at, discovery, settings, operator)
    }

    /// Writes the configuration and starts the process, without waiting for it.
    fn spawn(
        program: &[&str], at: SocketAddr, discovery: SocketAddr, settings: &serde_json::Value,
        operator: Option<&str>,
    ) -> io::Result<Proxy> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("sillfold-lab-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(directory.join("tmp"))?;
        let console = SocketAddr::new(at.ip(), at.port() + 1);
        let config = serde_json::json!({
            "name": "n0", "listen": at.to_string(), "discovery": discovery.to_string(),
            "console": console.to_string(), "seed": "1f", "settings": settings
        });
        std::fs::write(directory.join("config.json"), config.to_string())?;
        let mut command = Command::new(program[0]);
        command.args(&program[1..]);
        if let Some(text) = operator {
            let path = directory.join("operator.json5");
            std::fs::write(&path, text)?;
            command.args(["serve", "--operator"]).arg(path);
        }
        let vars = ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONSOLE", "SILLFOLD_FILE"];
        for var in vars {
            command.env_remove(var);
        }
        command.env("LB_CONFIG", directory.join("config.json")).env("TMPDIR", directory.join("tmp"));
        let mut child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let (line_sender, log) = channel();
        if let Some(stderr) = child.stderr.take() {
            std::thread::spawn(move || {
                // Reads to the end: a full pipe would block the proxy.
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let _ = line_sender.send(line);
                }
            });
        }
        Ok(Proxy { child, address: at, console, log, directory })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The path of the operator's file that the proxy was started with.
    pub fn operator_file(&self) -> PathBuf {
        self.directory.join("operator.json5")
    }

    /// Waits for the next log line that contains `text`, and returns it.
    pub fn logged(&self, text: &str) -> io::Result<String> {
        loop {
            let line = self.log.recv_timeout(LOG_TIMEOUT).map_err(|_| {
                io::Error::new(io::ErrorKind::TimedOut, format!("the proxy never logged {text:?}"))
            })?;
            if line.contains(text) {
                return Ok(line);
            }
        }
    }

    /// Sends a signal by the system's `kill` command; `name` is without SIG.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill").args([&format!("-{name}"), &self.id().to_string()]).status().map(|_| ())
    }

    /// Waits for the process to end; returns its exit code, or nothing if a signal ended it.
    pub fn wait(&mut self) -> io::Result<Option<i32>> {
        self.child.wait().map(|s| s.code())
    }

    /// The current and the highest resident memory of the process, in KB.
    pub fn memory_kb(&self) -> io::Result<(u64, u64)> {
        let status = std::fs::read_to_string(Path::new("/proc").join(self.id().to_string()).join("status"))?;
        let value_kb = |key: &str| {
            let line = status.lines().find(|line| line.starts_with(key));
            line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
        };
        Ok((value_kb("VmRSS:"), value_kb("VmHWM:")))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
