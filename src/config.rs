//! The platform's configuration: reads the environment and the `LB_CONFIG` file, validates them and fills in defaults.
//! The module owns the names of the keys, and each error message names the faulty key. It must not open a socket, and
//! no other module may read the environment.
//!
//! At startup the variables `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_CONSOLE` take precedence over the same keys of
//! the file. A reload validates the file as at startup. If its `discovery` has changed, the new value takes precedence
//! over the variable, since the environment of a running process cannot change. All other keys take effect at the next
//! start.

use crate::memory::{MemoryPlan, ProcessLimits};
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

/// Descriptors reserved for the listener, discovery, signals, the log and the runtime.
const RESERVED_SOCKETS: usize = 32;
/// The minimum of `limits.sockets`: with fewer descriptors the program cannot work.
const MIN_SOCKETS: usize = 96;
/// The default of `limits.memory_mb`.
const DEFAULT_MEMORY_MB: usize = 192;
/// The minimum of `limits.memory_mb`: with less memory the program cannot work.
const MIN_MEMORY_MB: usize = 16;
/// The default of `linger_ms`. Clients still connect up to 0.4 s after SIGTERM; this is a little longer.
const DEFAULT_LINGER_MS: u64 = 500;
/// The maximum of `linger_ms`, so that a stop ends in a bounded time.
const MAX_LINGER_MS: u64 = 60_000;
/// The time taken off the client's deadline for sending the answer back, so that it arrives in time.
const RESPONSE_MARGIN_US: Micros = 4_000;

/// The configuration of a process.
pub struct Config {
    /// The name of this proxy.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The address of the operators' console; none disables the console.
    pub console: Option<SocketAddr>,
    /// `TMPDIR`, the directory for state that outlasts an upgrade.
    pub state_dir: Option<PathBuf>,
    /// The seed of this proxy's random numbers.
    pub seed: u64,
    /// The list of hosts that this proxy last received; it may be old.
    pub known_list: Option<Listing>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The settings that the program itself needs.
    pub program_settings: ProgramSettings,
    /// The limit of open client connections.
    pub max_clients: usize,
    /// How the memory of the process is divided.
    pub memory_plan: MemoryPlan,
    /// The limit of open connections to database hosts.
    pub max_host_connections: usize,
    /// The addresses for exchanging datagrams with peers; none if the settings do not permit it or addresses are missing.
    pub peer_endpoints: Option<PeerEndpoints>,
    /// How long the proxy still accepts clients after SIGTERM.
    pub linger: Duration,
    /// The time taken off the client's deadline for sending the answer back.
    pub response_margin: Micros,
    /// The seed that decides which system calls fail; for tests only.
    #[cfg(feature = "faults")]
    pub faults: Option<u64>,
    /// The mutant that is switched on; for tests only.
    #[cfg(feature = "mutants")]
    pub mutant: Option<String>,
    /// The contents of the file, to find at a reload which keys have changed.
    file: File,
}

/// The keys of the file.
#[derive(Clone, Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    /// The address on which this proxy receives datagrams of its peers.
    peer_listen: Option<String>,
    /// The addresses of all proxies, by ordinal.
    peers: Option<Vec<String>>,
    /// One address that reaches all proxies.
    peers_all: Option<String>,
    /// Hexadecimal.
    seed: Option<String>,
    limits: Option<LimitsConf>,
    linger_ms: Option<u64>,
    known: Option<serde_json::Value>,
    settings: Option<serde_json::Value>,
}

/// Limits of the process.
#[derive(Clone, Deserialize, PartialEq)]
struct LimitsConf {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl Config {
    /// Reads the environment and the file that `LB_CONFIG` names.
    pub fn load() -> Result<Config, String> {
        Config::parse(&read_file()?, |key| env::var(key).ok())
    }

    /// Reads and validates a platform file; ignores the environment.
    pub fn from_file(path: &Path) -> Result<Config, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Config::parse(&text, |_| None)
    }

    /// Validates the text of a platform file; ignores the environment. `state_dir` stands in for `TMPDIR`.
    pub fn from_text(text: &[u8], state_dir: Option<PathBuf>) -> Result<Config, String> {
        Ok(Config { state_dir, ..Config::parse(text, |_| None)? })
    }

    /// Reads the file again. Takes over a changed `discovery`, and returns the other changed keys, which take effect at the
    /// next start. After an error the configuration is unchanged.
    pub fn reload(&mut self) -> Result<Vec<&'static str>, String> {
        let fresh = Config::parse(&read_file()?, |key| env::var(key).ok())?;
        let (old, new) = (&self.file, &fresh.file);
        if let Some(discovery) = new.discovery.clone().filter(|d| old.discovery.as_ref() != Some(d)) {
            self.discovery = address("discovery", Some(discovery), "LB_DISCOVERY")?;
        }
        let keys = [
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
        Ok(keys.into_iter().filter(|key| key.1).map(|key| key.0).collect())
    }

    /// Validates the text of the file; `var` gives the environment variables that take precedence.
    fn parse(text: &[u8], var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let mut file: File = serde_json::from_slice(text).map_err(|e| format!("LB_CONFIG: {e}"))?;
        let listen = address("listen", var("LB_LISTEN").or(file.listen.clone()), "LB_LISTEN")?;
        let discovery = var("LB_DISCOVERY").or(file.discovery.clone());
        let discovery = address("discovery", discovery, "LB_DISCOVERY")?;
        // Validates the file's address even if the variable hides it, since a reload may use it.
        file.discovery.clone().map(|d| address("discovery", Some(d), "LB_DISCOVERY")).transpose()?;
        let console = var("LB_CONSOLE").or(file.console.clone());
        let console = console.map(|c| address("console", Some(c), "LB_CONSOLE")).transpose()?;
        let name = var("LB_NAME").or(file.name.clone()).ok_or("name: missing (or set LB_NAME)")?;
        let seed = match &file.seed {
            Some(text) => u64::from_str_radix(text, 16)
                .map_err(|_| format!("seed: {text:?} is not a hexadecimal number of 64 bits"))?,
            // Proxies must not draw the same random numbers, so the default seed comes from the name and the process id.
            None => fnv1a(&name) ^ u64::from(std::process::id()),
        };
        let known_list = file.known.take().map(|v| Listing::from_value(v).map_err(|e| format!("known: {e}")));
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
        if sockets < MIN_SOCKETS {
            return Err(format!("limits.sockets: {sockets} is under {MIN_SOCKETS}"));
        }
        let memory_mb = file.limits.as_ref().and_then(|l| l.memory_mb).unwrap_or(DEFAULT_MEMORY_MB);
        if memory_mb < MIN_MEMORY_MB {
            return Err(format!("limits.memory_mb: {memory_mb} is under {MIN_MEMORY_MB}"));
        }
        let linger_ms = file.linger_ms.unwrap_or(DEFAULT_LINGER_MS);
        if linger_ms > MAX_LINGER_MS {
            return Err(format!("linger_ms: {linger_ms} is over {MAX_LINGER_MS}"));
        }
        let peer_endpoints = peer_endpoints(&file, &settings)?;
        let reserved = RESERVED_SOCKETS
            + console.map_or(0, |_| CONSOLE_CONNECTIONS)
            + usize::from(peer_endpoints.is_some());
        // Two fifths of the other descriptors are for database hosts, the rest for clients.
        let max_host_connections = (sockets - reserved) * 2 / 5;
        let max_clients = sockets - reserved - max_host_connections;
        Ok(Config {
            name,
            listen,
            discovery,
            console,
            state_dir: var("TMPDIR").filter(|t| !t.is_empty()).map(PathBuf::from),
            seed,
            known_list: known_list.transpose()?,
            settings,
            program_settings,
            max_clients,
            memory_plan: MemoryPlan::divide(&ProcessLimits {
                memory_bytes: memory_mb.saturating_mul(1 << 20),
                sockets,
                max_clients,
                max_host_connections,
            }),
            max_host_connections,
            peer_endpoints,
            linger: Duration::from_millis(linger_ms),
            response_margin: RESPONSE_MARGIN_US,
            #[cfg(feature = "mutants")]
            mutant: var("SILLFOLD_MUTANT"),
            #[cfg(feature = "faults")]
            faults: var("SILLFOLD_FAULTS").and_then(|seed| seed.parse().ok()),
            file,
        })
    }
}

/// The addresses for exchanging datagrams with peers. All given addresses are validated. The result is none unless the
/// settings permit the exchange and the file gives `peer_listen` and `peers`.
fn peer_endpoints(file: &File, settings: &Settings) -> Result<Option<PeerEndpoints>, String> {
    let parse = |key: &str, text: &String| {
        text.parse().map_err(|_| format!("{key}: {text:?} is no address and port"))
    };
    let listen = file.peer_listen.as_ref().map(|t| parse("peer_listen", t)).transpose()?;
    let all = file.peers_all.as_ref().map(|t| parse("peers_all", t)).transpose()?;
    let each = file.peers.iter().flatten().enumerate().map(|(n, t)| parse(&format!("peers[{n}]"), t));
    let each: Vec<SocketAddr> = each.collect::<Result<_, _>>()?;
    let Some(listen) = listen.filter(|_| settings.limits.peers && !each.is_empty()) else { return Ok(None) };
    let Ok(ordinal) = u16::try_from(settings.ordinal) else { return Ok(None) };
    Ok(Some(PeerEndpoints { ordinal, listen, each, all }))
}

/// Reads the file that `LB_CONFIG` names.
fn read_file() -> Result<Vec<u8>, String> {
    let path = env::var("LB_CONFIG").map_err(|_| "LB_CONFIG: not set".to_string())?;
    std::fs::read(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))
}

/// Parses the address of a key; the error names the key and the variable that takes precedence over it.
fn address(key: &str, value: Option<String>, var: &str) -> Result<SocketAddr, String> {
    let text = value.ok_or_else(|| format!("{key}: missing (or set {var})"))?;
    text.parse().map_err(|_| format!("{key}: {text:?} is no address and port (key {key} or {var})"))
}
