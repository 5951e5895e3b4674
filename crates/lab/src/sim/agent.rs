//! Simulates discovery: an agent that serves the list of hosts over HTTP, as a single response or as a watched stream.
//! The agent reports to the rule checker which proxies know that a host drains or is gone. It must not report that a
//! proxy knows a list that could not reach the proxy.

use super::deployment::ListRole;
use super::host::Fleet;
use super::world::Micros;
use sillfold::net::scheduler::Spawner;
use sillfold::net::world::{self, Listener, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How often the agent looks for changes of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How often a watch without changes receives an empty line.
const KEEPALIVE_INTERVAL_US: Micros = 2_000_000;
/// A list arrives within this time after it was sent, unless the network is blocked.
pub const LIST_DELIVERY_US: Micros = 15_000;
/// A proxy that can reach discovery must know the list after this time, even if its watches and requests failed.
const LIST_KNOWN_AFTER_US: Micros = 6_000_000;

/// An agent of discovery.
pub struct Agent {
    fleet: Rc<Fleet>,
    /// While this holds a version, the list is stale: it no longer changes.
    pub stale_version: Cell<Option<u64>>,
    /// The served list: its version, its text, and which hosts it reports as draining or gone.
    served: RefCell<(u64, String, Vec<bool>)>,
    /// Which hosts the list reports as primary.
    listed_primaries: RefCell<Vec<bool>>,
    /// The machine on which the agent runs.
    machine: Cell<usize>,
    /// The number of watches opened so far.
    opened_watches: Cell<u64>,
    /// The number of the last watch that is silent; all watches before it are silent too.
    last_silent_watch: Cell<u64>,
    /// By the machine of a proxy process, since when the agent can reach it.
    reachable_since: RefCell<BTreeMap<usize, Micros>>,
}

impl Agent {
    /// An agent that lists the hosts of this fleet and runs on this machine.
    pub fn new(fleet: Rc<Fleet>, machine: usize) -> Agent {
        let (stale_version, served, machine) = (Cell::new(None), Default::default(), Cell::new(machine));
        let (opened_watches, last_silent_watch, reachable_since, listed_primaries) = Default::default();
        Agent {
            fleet,
            stale_version,
            served,
            listed_primaries,
            machine,
            opened_watches,
            last_silent_watch,
            reachable_since,
        }
    }

    /// From now on all open watches receive nothing, and stay open.
    pub fn silence_watches(&self) {
        self.last_silent_watch.set(self.opened_watches.get());
    }

    /// Records that a proxy process, which can now request the list, started on this machine.
    pub fn proxy_started(&self, machine: usize) {
        self.reachable_since.borrow_mut().insert(machine, self.fleet.world.now());
    }

    /// Reports to the rule checker from when proxies must know that hosts drain or are gone, whether or not they have
    /// requested the list. Runs until the simulation ends.
    pub async fn record_list_deadlines(self: Rc<Agent>) {
        let mut off_since: BTreeMap<usize, Micros> = BTreeMap::new();
        loop {
            let now = self.fleet.world.now();
            // Brings the served list up to date.
            self.list();
            for (host, off) in self.served.borrow().2.iter().enumerate() {
                if *off {
                    off_since.entry(host).or_insert(now);
                } else {
                    off_since.remove(&host);
                }
            }
            for (proxy, since) in self.reachable_since.borrow_mut().iter_mut() {
                if self.fleet.world.is_blocked(self.machine.get(), *proxy) {
                    *since = now;
                    continue;
                }
                for (host, off) in &off_since {
                    self.fleet.checker.borrow_mut().record_host_status(
                        *proxy,
                        *host,
                        true,
                        LIST_KNOWN_AFTER_US + *off.max(since),
                    );
                }
            }
            world::after(POLL_INTERVAL).await;
        }
    }

    /// Updates the roles in the list: each change of a role shows after the delay of the deployment.
    fn update_roles(&self) {
        let now = self.fleet.world.now();
        let role = self.fleet.deployment.list_role;
        let hosts = self.fleet.hosts.borrow();
        let mut listed = self.listed_primaries.borrow_mut();
        if listed.len() < hosts.len() {
            *listed = hosts.iter().map(|host| host.primary && role != ListRole::Absent).collect();
        }
        let ListRole::Delayed(delay_ms) = role else { return };
        for (host, listed) in hosts.iter().zip(listed.iter_mut()) {
            if host.primary != *listed && host.role_since + delay_ms * 1_000 <= now {
                *listed = host.primary;
                self.fleet.list_version.set(self.fleet.list_version.get() + 1);
            }
        }
    }

    /// The version and the text of the list as the agent serves it.
    fn list(&self) -> (u64, String) {
        self.update_roles();
        let version = self.fleet.list_version.get();
        let mut served = self.served.borrow_mut();
        if served.0 != version && self.stale_version.get().is_none() {
            let run_start_unix_ms = self.fleet.world.unix_ms() - self.fleet.world.now() / 1_000;
            let hosts = self.fleet.hosts.borrow();
            let listed = self.listed_primaries.borrow();
            let entries = hosts.iter().zip(listed.iter()).map(|(host, primary)| {
                serde_json::json!({
                    "name": host.name, "address": host.address.to_string(), "zone": self.fleet.deployment.zone_name(host.zone),
                    "type": "m", "group": host.group, "status": host.status, "weight": 1.0,
                    "since_ms": if host.started == 0 { 1 } else { run_start_unix_ms + host.started / 1_000 },
                    "access": if *primary { "writer" } else { "reader" },
                })
            });
            let entries: Vec<serde_json::Value> = entries.collect();
            let text =
                serde_json::json!({"index": version, "snapshot": true, "endpoints": entries}).to_string();
            let off = hosts.iter().map(|host| host.status != "SERVING").collect();
            *served = (version, text, off);
        }
        (served.0, served.1.clone())
    }

    /// Accepts connections until the listener fails.
    pub async fn serve(self: Rc<Agent>, listener: Listener, spawner: Spawner) {
        while let Ok(stream) = listener.accept().await {
            let (peer, _) = self.fleet.world.last_accepted();
            let agent = self.clone();
            spawner.spawn(async move {
                let _ = agent.serve_connection(stream, peer).await;
            });
        }
    }

    /// Reports to the rule checker that a proxy is sent the list and so knows which hosts drain or are gone.
    fn record_sent_list(&self, peer: usize) {
        let world = &self.fleet.world;
        if world.is_blocked(self.machine.get(), peer) {
            return;
        }
        let by = world.now() + LIST_DELIVERY_US;
        for (host, off) in self.served.borrow().2.iter().enumerate() {
            self.fleet.checker.borrow_mut().record_host_status(peer, host, *off, by);
        }
    }

    /// Answers one request: with the list, or with a stream that carries each new version of it.
    async fn serve_connection(&self, stream: Stream, peer: usize) -> std::io::Result<()> {
        let mut received = Vec::new();
        while !received.windows(4).any(|w| w == b"\r\n\r\n") {
            if received.len() > 4096 || stream.read_with(|part| received.extend(part)).await? == 0 {
                return Ok(());
            }
        }
        let head = String::from_utf8_lossy(&received).into_owned();
        let path = head.split(' ').nth(1).unwrap_or("").to_string();
        if !path.contains("stream=1") {
            let (_, text) = self.list();
            self.record_sent_list(peer);
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", text.len());
            return stream.write_all([head, text].concat().as_bytes()).await;
        }
        let known = path.split("index=").nth(1).and_then(|i| i.split('&').next()?.parse::<u64>().ok());
        let mut known = known.unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut last_sent = self.fleet.world.now();
        self.opened_watches.set(self.opened_watches.get() + 1);
        let number = self.opened_watches.get();
        loop {
            if self.last_silent_watch.get() >= number {
                // The watch stays open until the proxy closes it.
                while stream.read_with(|_| ()).await? > 0 {}
                return Ok(());
            }
            let (version, text) = self.list();
            let now = self.fleet.world.now();
            if version != known || now >= last_sent + KEEPALIVE_INTERVAL_US {
                let line = if version == known { String::new() } else { text };
                if version != known {
                    self.record_sent_list(peer);
                }
                (known, last_sent) = (version, now);
                stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
            }
            world::after(POLL_INTERVAL).await;
        }
    }
}
