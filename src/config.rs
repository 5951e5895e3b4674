//! Configuration: the one place where the environment and the `LB_CONFIG` file are read, checked
//! and given defaults. It owns the names of the keys; every message it returns names the faulty
//! one. It must never open a socket, and nothing else may read the environment.
//!
//! At the start `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONSOLE` outrank the same keys of the file. On a
//! reload the file is checked as at a start; a `discovery` that it names anew then wins, since the
//! environment of a running program cannot change. All other keys count at the next start.

use crate::net::core::fnv1a;
use crate::net::endpoints::{CONSOLE_CONNECTIONS, PeerEndpoints};
use crate::net::listing::Listing;
use crate::settings::{self, ProgramSettings};
use crate::{Micros, Settings};
use serde::Deserialize;
use std::env;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Descriptors kept for the listener, discovery, signals, the log and the runtime.
const SPARE_SOCKETS: usize = 32;
/// The fewest descriptors with which the program can work.
const LEAST_SOCKETS: usize = 96;
/// Memory in MB: the default, and the least with which the program can work.
const MEMORY_MB: usize = 192;
const LEAST_MEMORY_MB: usize = 16;
/// One part in so many of the memory is for what clients have sent.
const CLIENT_BYTES_SHARE: usize = 4;
/// After SIGTERM clients still come for up to 0.4 s; served for a little longer than that.
const LINGER_MS: u64 = 500;
/// The longest such while that makes sense: a stop is to end some day.
const MOST_LINGER_MS: u64 = 60_000;
/// Kept back from a client's patience for the way back, so that the answer is there in time.
const WAY_BACK: Micros = 4_000;

/// Everything the program is told at its start.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call; none, no door.
    pub console: Option<SocketAddr>,
    /// Where what outlasts an upgrade is kept: `TMPDIR`.
    pub state_dir: Option<PathBuf>,
    pub seed: u64,
    /// The list as this proxy last had it, maybe old.
    pub known_list: Option<Listing>,
    pub settings: Settings,
    pub program_settings: ProgramSettings,
    /// Client connections that may be open at once.
    pub max_clients: usize,
    /// Bytes that all clients together may have sent and not been answered.
    pub max_client_bytes: usize,
    /// Connections to database hosts that may be open at once.
    pub max_host_connections: usize,
    /// Where proxies talk to each other; none where the settings do not allow it, or no address is named.
    pub talk: Option<PeerEndpoints>,
    /// For how long clients are still taken in after SIGTERM.
    pub linger: Duration,
    pub response_margin: Micros,
    /// The seed by which system calls fail, in tests.
    #[cfg(feature = "faults")]
    pub faults: Option<u64>,
    /// The wrong line that is to be in the program, in tests of what looks for it.
    #[cfg(feature = "mutants")]
    pub mutant: Option<String>,
    /// What the file itself says, to tell at a reload what is new.
    file: File,
}

#[derive(Clone, Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    peer_listen: Option<String>,
    peers: Option<Vec<String>>,
    peers_all: Option<String>,
    seed: Option<String>,
    limits: Option<LimitsConf>,
    linger_ms: Option<u64>,
    known: Option<serde_json::Value>,
    settings: Option<serde_json::Value>,
}

#[derive(Clone, Deserialize, PartialEq)]
struct LimitsConf {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl Config {
    /// Reads the environment and the file it names.
    pub fn load() -> Result<Config, String> {
        Config::parse(&read_file()?, |key| env::var(key).ok())
    }

    /// Reads and checks another platform file, whatever the environment says.
    pub fn from_file(path: &Path) -> Result<Config, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Config::parse(&text, |_| None)
    }

    /// Checks a text, whatever the environment says, but for where what outlasts the process is kept.
    pub fn from_text(text: &[u8], tmp: Option<PathBuf>) -> Result<Config, String> {
        Ok(Config { state_dir: tmp, ..Config::parse(text, |_| None)? })
    }

    /// Reads the file again, whole. The discovery that counts from now on is taken over; returned are
    /// the other keys that differ, which count at the next start. After an error nothing has changed.
    pub fn reload(&mut self) -> Result<Vec<&'static str>, String> {
        let fresh = Config::parse(&read_file()?, |key| env::var(key).ok())?;
        let (old, new) = (&self.file, &fresh.file);
        if let Some(discovery) = new.discovery.clone().filter(|d| old.discovery.as_ref() != Some(d)) {
            self.discovery = address("discovery", Some(discovery), "LB_DISCOVERY")?;
        }
        let differs = [
            ("name", old.name != new.name),
            ("listen", old.listen != new.listen),
            ("console", old.console != new.console),
            ("peer_listen", old.peer_listen != new.peer_listen),
            ("peers", old.peers != new.peers),
            ("peers_all", old.peers_all != new.peers_all),
            ("limits", old.limits != new.limits),
            ("linger_ms", old.linger_ms != new.linger_ms),
            ("settings", old.settings != new.settings),
        ];
        self.file = fresh.file;
        Ok(differs.into_iter().filter(|d| d.1).map(|d| d.0).collect())
    }

    /// Checks the text of the file, with the variables that outrank it.
    fn parse(text: &[u8], var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let mut file: File = serde_json::from_slice(text).map_err(|e| format!("LB_CONFIG: {e}"))?;
        let listen = address("listen", var("LB_LISTEN").or(file.listen.clone()), "LB_LISTEN")?;
        let discovery = var("LB_DISCOVERY").or(file.discovery.clone());
        let discovery = address("discovery", discovery, "LB_DISCOVERY")?;
        // Guards against an address of the file that the environment hides today and a reload would use.
        file.discovery.clone().map(|d| address("discovery", Some(d), "LB_DISCOVERY")).transpose()?;
        let console = var("LB_CONSOLE").or(file.console.clone());
        let console = console.map(|c| address("console", Some(c), "LB_CONSOLE")).transpose()?;
        let name = var("LB_NAME").or(file.name.clone()).ok_or("name: missing (or set LB_NAME)")?;
        let seed = match &file.seed {
            Some(text) => u64::from_str_radix(text, 16)
                .map_err(|_| format!("seed: {text:?} is not a hexadecimal number of 64 bits"))?,
            // No proxy may draw the same lots as another: fall back on what tells them apart.
            None => fnv1a(&name) ^ u64::from(std::process::id()),
        };
        let known = file.known.take().map(|v| Listing::from_value(v).map_err(|e| format!("known: {e}")));
        let settings = file.settings.as_ref().ok_or("settings: missing")?.to_string();
        let (settings, program_settings) = settings::parse(settings.as_bytes()).map_err(|e| e.to_string())?;
        for (key, value) in [
            ("dialTimeoutUs", program_settings.dial_timeout_us),
            ("keepaliveUs", program_settings.keepalive_us),
        ] {
            if value == 0 {
                return Err(format!("settings: ceilings.{key}: must be over 0"));
            }
        }
        if program_settings.class_names.iter().any(String::is_empty) {
            return Err("settings: classes: every class needs a name".into());
        }
        if settings.limits.hedging {
            return Err("settings: ceilings.secondCopies: this proxy sends no second copies".into());
        }
        let sockets = file.limits.as_ref().and_then(|l| l.sockets).unwrap_or(1024);
        if sockets < LEAST_SOCKETS {
            return Err(format!("limits.sockets: {sockets} is under {LEAST_SOCKETS}"));
        }
        let memory_mb = file.limits.as_ref().and_then(|l| l.memory_mb).unwrap_or(MEMORY_MB);
        if memory_mb < LEAST_MEMORY_MB {
            return Err(format!("limits.memory_mb: {memory_mb} is under {LEAST_MEMORY_MB}"));
        }
        let linger_ms = file.linger_ms.unwrap_or(LINGER_MS);
        if linger_ms > MOST_LINGER_MS {
            return Err(format!("linger_ms: {linger_ms} is over {MOST_LINGER_MS}"));
        }
        let talk = talk(&file, &settings)?;
        let spare = SPARE_SOCKETS + console.map_or(0, |_| CONSOLE_CONNECTIONS) + usize::from(talk.is_some());
        let max_host_connections = (sockets - spare) * 2 / 5;
        let max_clients = sockets - spare - max_host_connections;
        Ok(Config {
            name,
            listen,
            discovery,
            console,
            state_dir: var("TMPDIR").filter(|t| !t.is_empty()).map(PathBuf::from),
            seed,
            known_list: known.transpose()?,
            settings,
            program_settings,
            max_clients,
            max_client_bytes: memory_mb * (1 << 20) / CLIENT_BYTES_SHARE,
            max_host_connections,
            talk,
            linger: Duration::from_millis(linger_ms),
            response_margin: WAY_BACK,
            #[cfg(feature = "mutants")]
            mutant: var("SILLFOLD_MUTANT"),
            #[cfg(feature = "faults")]
            faults: var("SILLFOLD_FAULTS").and_then(|seed| seed.parse().ok()),
            file,
        })
    }
}

/// The addresses of the talk. They are checked wherever they are named; only where the settings allow talk, and they
/// name where to listen and others, is there any.
fn talk(file: &File, settings: &Settings) -> Result<Option<PeerEndpoints>, String> {
    let one = |key: &str, text: &String| {
        text.parse().map_err(|_| format!("{key}: {text:?} is no address and port"))
    };
    let listen = file.peer_listen.as_ref().map(|t| one("peer_listen", t)).transpose()?;
    let all = file.peers_all.as_ref().map(|t| one("peers_all", t)).transpose()?;
    let each = file.peers.iter().flatten().enumerate().map(|(n, t)| one(&format!("peers[{n}]"), t));
    let each: Vec<SocketAddr> = each.collect::<Result<_, _>>()?;
    let Some(listen) = listen.filter(|_| settings.limits.peers && !each.is_empty()) else { return Ok(None) };
    let Ok(ordinal) = u16::try_from(settings.ordinal) else { return Ok(None) };
    Ok(Some(PeerEndpoints { ordinal, listen, each, all }))
}

fn read_file() -> Result<Vec<u8>, String> {
    let path = env::var("LB_CONFIG").map_err(|_| "LB_CONFIG: not set".to_string())?;
    std::fs::read(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))
}

fn address(key: &str, value: Option<String>, var: &str) -> Result<SocketAddr, String> {
    let text = value.ok_or_else(|| format!("{key}: missing (or set {var})"))?;
    text.parse().map_err(|_| format!("{key}: {text:?} is no address and port (key {key} or {var})"))
}
