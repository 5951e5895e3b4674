//! Configuration: the one place where the environment and the `LB_CONFIG` file are read, checked
//! and given defaults. It owns the names of the keys; every message it returns names the faulty
//! one. It must never open a socket, and nothing else may read the environment.
//!
//! `LB_NAME`, `LB_LISTEN` and `LB_DISCOVERY` outrank the same keys of the file.

use crate::net::core::fnv1a;
use crate::net::discovery::Listing;
use serde::Deserialize;
use sillfold::settings::{self, Dialect};
use sillfold::{Micros, Settings};
use std::env;
use std::net::SocketAddr;
use std::time::Duration;

/// Descriptors kept for the listener, discovery, signals, the log and the runtime.
const SPARE_SOCKETS: usize = 32;
/// The fewest descriptors with which the program can work.
const LEAST_SOCKETS: usize = 96;
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
    pub seed: u64,
    /// The list as this proxy last had it, maybe old.
    pub known: Option<Listing>,
    pub settings: Settings,
    pub dialect: Dialect,
    /// Client connections that may be open at once.
    pub most_clients: usize,
    /// Connections to database hosts that may be open at once.
    pub most_host_connections: usize,
    /// For how long clients are still taken in after SIGTERM.
    pub linger: Duration,
    pub way_back: Micros,
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    limits: Option<LimitsConf>,
    linger_ms: Option<u64>,
    known: Option<serde_json::Value>,
    settings: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct LimitsConf {
    sockets: Option<usize>,
}

impl Config {
    /// Reads the environment and the file it names.
    pub fn load() -> Result<Config, String> {
        let path = env::var("LB_CONFIG").map_err(|_| "LB_CONFIG: not set".to_string())?;
        let text = std::fs::read(&path).map_err(|e| format!("LB_CONFIG: {path}: {e}"))?;
        Config::parse(&text, |key| env::var(key).ok())
    }

    /// Checks the text of the file, with the variables that outrank it.
    fn parse(text: &[u8], var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        let file: File = serde_json::from_slice(text).map_err(|e| format!("LB_CONFIG: {e}"))?;
        let listen = address("listen", var("LB_LISTEN").or(file.listen), "LB_LISTEN")?;
        let discovery = address("discovery", var("LB_DISCOVERY").or(file.discovery), "LB_DISCOVERY")?;
        let name = var("LB_NAME").or(file.name).ok_or("name: missing (or set LB_NAME)")?;
        let seed = match file.seed {
            Some(text) => u64::from_str_radix(&text, 16)
                .map_err(|_| format!("seed: {text:?} is not a hexadecimal number of 64 bits"))?,
            // No proxy may draw the same lots as another: fall back on what tells them apart.
            None => fnv1a(&name) ^ u64::from(std::process::id()),
        };
        let known = file.known.map(|v| Listing::from_value(v).map_err(|e| format!("known: {e}")));
        let settings = file.settings.ok_or("settings: missing")?.to_string();
        let (settings, dialect) = settings::parse(settings.as_bytes()).map_err(|e| e.to_string())?;
        for (key, value) in
            [("dialTimeoutUs", dialect.dial_timeout_us), ("keepaliveUs", dialect.keepalive_us)]
        {
            if value == 0 {
                return Err(format!("settings: ceilings.{key}: must be over 0"));
            }
        }
        if dialect.classes.iter().any(String::is_empty) {
            return Err("settings: classes: every class needs a name".into());
        }
        if settings.limits.second_copies {
            return Err("settings: ceilings.secondCopies: this proxy sends no second copies".into());
        }
        let sockets = file.limits.and_then(|l| l.sockets).unwrap_or(1024);
        if sockets < LEAST_SOCKETS {
            return Err(format!("limits.sockets: {sockets} is under {LEAST_SOCKETS}"));
        }
        let linger_ms = file.linger_ms.unwrap_or(LINGER_MS);
        if linger_ms > MOST_LINGER_MS {
            return Err(format!("linger_ms: {linger_ms} is over {MOST_LINGER_MS}"));
        }
        let most_host_connections = (sockets - SPARE_SOCKETS) * 2 / 5;
        let most_clients = sockets - SPARE_SOCKETS - most_host_connections;
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            known: known.transpose()?,
            settings,
            dialect,
            most_clients,
            most_host_connections,
            linger: Duration::from_millis(linger_ms),
            way_back: WAY_BACK,
        })
    }
}

fn address(key: &str, value: Option<String>, var: &str) -> Result<SocketAddr, String> {
    let text = value.ok_or_else(|| format!("{key}: missing (or set {var})"))?;
    text.parse().map_err(|_| format!("{key}: {text:?} is no address and port (key {key} or {var})"))
}
