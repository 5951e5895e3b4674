//! The proxy as a process: its configuration, its start and its end. It must never leave a process behind.

use crate::client::Client;
use std::io::{self, BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);
const PORT: u16 = 20433;

/// A loopback address of this process's own, for peers that listen at any port of it.
pub fn loopback_address() -> IpAddr {
    // The upper half of these; the stories' other peers have the lower.
    own(0)
}

/// The same for the nth proxy, whose ports are always the same. Guards against two proxies at one address, of which
/// the second would find the console's port taken.
fn own(n: u32) -> IpAddr {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    IpAddr::from([127, 192 + (n % 60) as u8, a, b.max(1)])
}

/// The settings of a deployment with one proxy: `browse` is a read at most 800 ms old, `history` any read,
/// `ingest` a keyed write. Hosts check no bound; they may be probed.
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

/// A proxy that runs; it is ended when this goes.
pub struct Proxy {
    child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where operators call.
    pub console: SocketAddr,
    log: Receiver<String>,
    directory: PathBuf,
}

impl Proxy {
    /// Starts `program`, maybe under other words that run it, and waits until it serves.
    pub fn start(
        program: &[&str], at: SocketAddr, discovery: SocketAddr, settings: &serde_json::Value,
        operator: Option<&str>,
    ) -> io::Result<Proxy> {
        let proxy = Proxy::begin(program, at, discovery, settings, operator)?;
        proxy.logged("serves on")?;
        // It answers the empty query once it has heard of discovery's list.
        let answer = Client::connect(at, "web", "orders")?.query("")?;
        if answer.empty { Ok(proxy) } else { Err(io::Error::other(format!("not ready: {answer:?}"))) }
    }

    /// Starts it at an address of its own.
    pub fn start_at_own_address(
        program: &[&str], discovery: SocketAddr, settings: &serde_json::Value, operator: Option<&str>,
    ) -> io::Result<Proxy> {
        static NEXT: AtomicU32 = AtomicU32::new(1);
        let at = SocketAddr::new(own(NEXT.fetch_add(1, Ordering::Relaxed)), PORT);
        Proxy::start(program, at, discovery, settings, operator)
    }

    fn begin(
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
        let (tell, log) = channel();
        if let Some(stderr) = child.stderr.take() {
            std::thread::spawn(move || {
                // Read to the end, so that the program is never held up.
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let _ = tell.send(line);
                }
            });
        }
        Ok(Proxy { child, address: at, console, log, directory })
    }

    /// The id of its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The operator's file that it was given.
    pub fn operator_file(&self) -> PathBuf {
        self.directory.join("operator.json5")
    }

    /// Waits for a line of its log that holds this.
    pub fn logged(&self, text: &str) -> io::Result<String> {
        loop {
            let line = self.log.recv_timeout(PATIENCE).map_err(|_| {
                io::Error::new(io::ErrorKind::TimedOut, format!("the proxy never logged {text:?}"))
            })?;
            if line.contains(text) {
                return Ok(line);
            }
        }
    }

    /// Sends it a signal, by the machine's `kill`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill").args([&format!("-{name}"), &self.id().to_string()]).status().map(|_| ())
    }

    /// Waits for its end; its exit code.
    pub fn wait(&mut self) -> io::Result<Option<i32>> {
        self.child.wait().map(|s| s.code())
    }

    /// Memory that it holds and has held at most, in KB.
    pub fn memory_kb(&self) -> io::Result<(u64, u64)> {
        let status = std::fs::read_to_string(Path::new("/proc").join(self.id().to_string()).join("status"))?;
        let get = |key: &str| {
            let line = status.lines().find(|l| l.starts_with(key));
            line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
        };
        Ok((get("VmRSS:"), get("VmHWM:")))
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
