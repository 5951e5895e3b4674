//! Simulated discovery: the list of hosts over HTTP, whole or watched. It owns what it has told whom. It must never
//! tell the book that a proxy knows what could not reach it.

use super::deployment::ListRole;
use super::host::Fleet;
use super::world::Micros;
use sillfold::net::world::{self, Listener, Spawner, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Changes are looked for this often, and a silent watch gets an empty line this often.
const LOOK: Duration = Duration::from_millis(10);
const BEAT: Micros = 2_000_000;
/// What is told is there by then, unless the way is cut.
pub const LIST_DELIVERY_TIME: Micros = 15_000;
/// What discovery has and could be heard counts as told after this long, whatever became of watches and calls.
const TOLD: Micros = 6_000_000;

/// Discovery's agent.
pub struct Agent {
    fleet: Rc<Fleet>,
    /// The list stays as it was, for as long as this holds one.
    pub stale_version: Cell<Option<u64>>,
    /// The version, the text, and which hosts it says are off.
    kept: RefCell<(u64, String, Vec<bool>)>,
    /// Which hosts the list calls primary.
    listed_primaries: RefCell<Vec<bool>>,
    machine: Cell<usize>,
    /// Watches opened so far, and up to which of them nothing is said any more.
    opened: Cell<u64>,
    silent: Cell<u64>,
    /// Since when each proxy's process could reach this one.
    reaches: RefCell<BTreeMap<usize, Micros>>,
}

impl Agent {
    /// An agent of this fleet.
    pub fn new(fleet: Rc<Fleet>, machine: usize) -> Agent {
        let (stale_version, kept, machine) = (Cell::new(None), Default::default(), Cell::new(machine));
        let (opened, silent, reaches, listed_primaries) = Default::default();
        Agent { fleet, stale_version, kept, listed_primaries, machine, opened, silent, reaches }
    }

    /// All open watches fall silent, and stay open.
    pub fn silence_watches(&self) {
        self.silent.set(self.opened.get());
    }

    /// From now on a proxy's process can ask, on this machine.
    pub fn proxy_started(&self, peer: usize) {
        self.reaches.borrow_mut().insert(peer, self.fleet.world.now());
    }

    /// Tells the book what counts as told by and by, whether or not anybody asked.
    pub async fn record_list_deadlines(self: Rc<Agent>) {
        let mut off_since: BTreeMap<usize, Micros> = BTreeMap::new();
        loop {
            let (now, _) = (self.fleet.world.now(), self.list());
            for (i, off) in self.kept.borrow().2.iter().enumerate() {
                if *off {
                    off_since.entry(i).or_insert(now);
                } else {
                    off_since.remove(&i);
                }
            }
            for (peer, since) in self.reaches.borrow_mut().iter_mut() {
                if self.fleet.world.is_blocked(self.machine.get(), *peer) {
                    *since = now;
                    continue;
                }
                for (host, off) in &off_since {
                    self.fleet.checker.borrow_mut().record_host_status(
                        *peer,
                        *host,
                        true,
                        TOLD + *off.max(since),
                    );
                }
            }
            world::after(LOOK).await;
        }
    }

    /// Takes over the roles that are to show in the list by now.
    fn update_roles(&self) {
        let now = self.fleet.world.now();
        let role = self.fleet.deployment.list_role;
        let hosts = self.fleet.hosts.borrow();
        let mut listed = self.listed_primaries.borrow_mut();
        if listed.len() < hosts.len() {
            *listed = hosts.iter().map(|h| h.primary && role != ListRole::Absent).collect();
        }
        let ListRole::Delayed(delay_ms) = role else { return };
        for (host, listed) in hosts.iter().zip(listed.iter_mut()) {
            if host.primary != *listed && host.role_since + delay_ms * 1_000 <= now {
                *listed = host.primary;
                self.fleet.list_version.set(self.fleet.list_version.get() + 1);
            }
        }
    }

    /// The list as it is told, and its version.
    fn list(&self) -> (u64, String) {
        self.update_roles();
        let now = self.fleet.list_version.get();
        let mut kept = self.kept.borrow_mut();
        if kept.0 != now && self.stale_version.get().is_none() {
            let unix = self.fleet.world.unix_ms() - self.fleet.world.now() / 1_000;
            let hosts = self.fleet.hosts.borrow();
            let listed = self.listed_primaries.borrow();
            let entries = hosts.iter().zip(listed.iter()).map(|(h, primary)| {
                serde_json::json!({
                    "name": h.name, "address": h.address.to_string(), "zone": self.fleet.deployment.zone_name(h.zone),
                    "type": "m", "group": h.group, "status": h.status, "weight": 1.0,
                    "since_ms": if h.started == 0 { 1 } else { unix + h.started / 1_000 },
                    "access": if *primary { "writer" } else { "reader" },
                })
            });
            let entries: Vec<serde_json::Value> = entries.collect();
            let text = serde_json::json!({"index": now, "snapshot": true, "endpoints": entries}).to_string();
            let off = hosts.iter().map(|h| h.status != "SERVING").collect();
            *kept = (now, text, off);
        }
        (kept.0, kept.1.clone())
    }

    /// Serves for as long as its machine lives.
    pub async fn serve(self: Rc<Agent>, listener: Listener, spawner: Spawner) {
        while let Ok(stream) = listener.accept().await {
            let (peer, _) = self.fleet.world.last_accepted();
            let agent = self.clone();
            spawner.spawn(async move {
                let _ = agent.talk(stream, peer).await;
            });
        }
    }

    /// What a list says of hosts that are off, for the book.
    fn told(&self, peer: usize) {
        let world = &self.fleet.world;
        if world.is_blocked(self.machine.get(), peer) {
            return;
        }
        let by = world.now() + LIST_DELIVERY_TIME;
        for (i, off) in self.kept.borrow().2.iter().enumerate() {
            self.fleet.checker.borrow_mut().record_host_status(peer, i, *off, by);
        }
    }

    async fn talk(&self, stream: Stream, peer: usize) -> std::io::Result<()> {
        let mut came = Vec::new();
        while !came.windows(4).any(|w| w == b"\r\n\r\n") {
            if came.len() > 4096 || stream.read_with(|part| came.extend(part)).await? == 0 {
                return Ok(());
            }
        }
        let head = String::from_utf8_lossy(&came).into_owned();
        let path = head.split(' ').nth(1).unwrap_or("").to_string();
        if !path.contains("stream=1") {
            let (_, text) = self.list();
            self.told(peer);
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", text.len());
            return stream.write_all([head, text].concat().as_bytes()).await;
        }
        let known = path.split("index=").nth(1).and_then(|i| i.split('&').next()?.parse::<u64>().ok());
        let mut known = known.unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut said = self.fleet.world.now();
        self.opened.set(self.opened.get() + 1);
        let number = self.opened.get();
        loop {
            if self.silent.get() >= number {
                // It stays open until the other side ends it.
                while stream.read_with(|_| ()).await? > 0 {}
                return Ok(());
            }
            let (index, text) = self.list();
            let now = self.fleet.world.now();
            if index != known || now >= said + BEAT {
                let line = if index == known { String::new() } else { text };
                if index != known {
                    self.told(peer);
                }
                (known, said) = (index, now);
                stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
            }
            world::after(LOOK).await;
        }
    }
}
