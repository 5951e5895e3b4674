//! Everything that touches sockets, in parts each of which knows only those before it: `faults` makes system calls fail
//! on order, in tests only, `world` is the door to the machine, `endpoints` plain configuration of the proxy's own sockets, `backoff` the waits between tries, `listing`
//! the list as a message; `events` counts what happens by its reason; `core` owns the decision module, time and the figures; `capture` the record of load, `hosts`
//! the connections to database hosts, `discovery` the watch of the list, `peers` the talk with other proxies,
//! `statements` the desk for plain statements, `admission` clients' places, `line` their connections, `life` a request's
//! life, `pipeline` the requests of a connection behind one another, `client` their sessions, `override_files` the files of orders by hand,
//! `host_overrides` those orders in one process, `upgrade` what processes beside each other tell and share, `console` the operators' door, `proxy` all of them; `signals` what a
//! running program follows.
//! This file holds only what they share; it must never decide nor keep state beyond a moment.

#![warn(clippy::disallowed_methods)]

pub mod admission;
pub mod backoff;
pub mod capture;
pub mod client;
pub mod console;
pub mod core;
pub mod discovery;
pub mod endpoints;
pub mod events;
pub mod faults;
pub mod host_overrides;
pub mod hosts;
pub mod life;
pub mod line;
pub mod listing;
pub mod override_files;
pub mod peers;
pub mod pipeline;
pub mod proxy;
pub mod signals;
pub mod statements;
pub mod upgrade;
pub mod world;

use crate::pg::Inbox;
use futures_lite::future;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;
use world::Stream;

/// Complaints about peers that are written in a second; of the others only the number is.
const MAX_COMPLAINTS_PER_SECOND: u32 = 10;

thread_local! {
    /// Since when complaints are counted, and how many there were.
    static COMPLAINED: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// What a process holds of the limits, and whether it is ready to serve.
#[derive(Clone, Copy, Default, Deserialize, Serialize)]
pub struct ResourceUsage {
    pub ready: bool,
    pub clients: usize,
    pub bytes: usize,
    pub hosts: usize,
}

impl ResourceUsage {
    /// What two processes hold together; one of them that is ready is enough.
    fn with(self, other: &ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            ready: self.ready || other.ready,
            clients: self.clients.saturating_add(other.clients),
            bytes: self.bytes.saturating_add(other.bytes),
            hosts: self.hosts.saturating_add(other.hosts),
        }
    }
}

/// A limit that two processes may have to share.
pub struct SharedLimit {
    whole: usize,
    mine: Cell<usize>,
}

impl SharedLimit {
    pub fn new(whole: usize) -> SharedLimit {
        SharedLimit { whole, mine: Cell::new(whole) }
    }
    pub fn get(&self) -> usize {
        self.mine.get()
    }
    /// Beside a process that holds so much, this one may have half of what neither holds.
    pub fn share(&self, mine: usize, theirs: Option<usize>) {
        let shared = |theirs: usize| mine + self.whole.saturating_sub(mine.saturating_add(theirs)) / 2;
        self.mine.set(theirs.map_or(self.whole, shared));
    }
}

/// Waits for bytes and puts them into the inbox; 0 at the end of the connection.
async fn read_into(stream: &Stream, inbox: &mut Inbox) -> io::Result<usize> {
    stream.read_with(|bytes| inbox.put(bytes)).await
}

/// The future's result, or nothing once the time has come; the future is then dropped.
pub async fn timeout_at<T>(when: Instant, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        world::at(when).await;
        None
    })
    .await
}

/// Writes a line about a peer's misbehaviour. Guards against a peer that fills the log.
pub fn warn_rate_limited(line: impl FnOnce() -> String) {
    let (since, count) = COMPLAINED.get();
    let fresh = since.is_none_or(|since| world::since(since) > Duration::from_secs(1));
    if fresh && count > MAX_COMPLAINTS_PER_SECOND {
        warn!(target: "peers", "... and {} more such lines", count - MAX_COMPLAINTS_PER_SECOND);
    }
    let (since, count) = if fresh { (Some(world::now()), 0) } else { (since, count) };
    if count < MAX_COMPLAINTS_PER_SECOND {
        warn!(target: "peers", "{}", line());
    }
    COMPLAINED.set((since, count + 1));
}
