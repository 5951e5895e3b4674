//! The proxy around the decision module: everything that uses sockets, timers and files. Each module uses only modules
//! listed before it:
//!
//! - `faults`: system calls that fail on a schedule, in tests only;
//! - `work`: the work that a task does in its turn;
//! - `world`: clocks, timers, sockets and files, real or simulated;
//! - `scheduler`: runs the tasks of a process in turns;
//! - `endpoints`: plain configuration of the proxy's own sockets;
//! - `backoff`: the delays between calls to discovery;
//! - `listing`: the list of database hosts as a message;
//! - `memory`: the memory that connections hold beyond their buffers;
//! - `events`: counts and logs of closes, refusals, retries and broken invariants, by reason;
//! - `core`: owns the decision module, the clock and the metrics;
//! - `capture`: the record of load for the planner;
//! - `hosts`: connections to database hosts;
//! - `discovery`: the watch of the list;
//! - `peers`: datagrams from and to other proxies;
//! - `statements`: classification of plain statements;
//! - `request_ids`: the request ids in use;
//! - `admission`: limits on clients;
//! - `client_connection`: a client's connection;
//! - `request`: one request from its arrival to its answer;
//! - `upload`: a long statement on its way from its client to its host;
//! - `pipeline`: the requests of a connection, answered in order;
//! - `session`: one client's session;
//! - `client`: accepts clients;
//! - `override_files`: the files of manual overrides;
//! - `host_overrides`: the manual overrides of one process;
//! - `upgrade`: the exchange between processes that run side by side;
//! - `console`: HTTP for operators;
//! - `proxy`: all of these together;
//! - `signals`: the signals that a running program handles.
//!
//! This file holds only what several of them share. It must never make a decision about a request, nor keep state beyond
//! the rate of log lines.

#![warn(clippy::disallowed_methods)]

pub mod admission;
pub mod backoff;
pub mod capture;
pub mod client;
pub mod client_connection;
pub mod console;
pub mod core;
pub mod discovery;
pub mod endpoints;
pub mod events;
pub mod faults;
pub mod host_overrides;
pub mod hosts;
pub mod listing;
pub mod memory;
pub mod override_files;
pub mod peers;
pub mod pipeline;
pub mod proxy;
pub mod request;
pub mod request_ids;
pub mod scheduler;
pub mod session;
pub mod signals;
pub mod statements;
pub mod upgrade;
pub mod upload;
pub mod work;
pub mod world;

use crate::pg::ReadBuffer;
use futures_lite::future;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::time::{Duration, Instant};
use tracing::warn;
use world::Stream;

/// The maximum number of warnings that are written in a second. Further ones are only counted.
const MAX_WARNINGS_PER_SECOND: u32 = 10;

thread_local! {
    /// The start of the second in which warnings are counted, and their number.
    static WARNINGS: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
}

/// What a process holds of the limits, and whether it is ready to serve.
#[derive(Clone, Copy, Default, Deserialize, Serialize)]
pub struct ResourceUsage {
    pub ready: bool,
    /// Open connections of clients.
    pub clients: usize,
    /// Bytes received from clients and held in memory.
    pub bytes: usize,
    /// Bytes of answers that their clients have not read yet. 0 from a process whose version does not send it.
    #[serde(default)]
    pub answer_bytes: usize,
    /// Open connections to database hosts.
    pub hosts: usize,
}

impl ResourceUsage {
    /// What two processes hold together. The sum is ready if one of them is.
    fn combined_with(self, other: &ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            ready: self.ready || other.ready,
            clients: self.clients.saturating_add(other.clients),
            bytes: self.bytes.saturating_add(other.bytes),
            answer_bytes: self.answer_bytes.saturating_add(other.answer_bytes),
            hosts: self.hosts.saturating_add(other.hosts),
        }
    }
}

/// A limit that this process may have to share with other processes.
pub struct SharedLimit {
    total: usize,
    own: Cell<usize>,
}

impl SharedLimit {
    pub fn new(total: usize) -> SharedLimit {
        SharedLimit { total, own: Cell::new(total) }
    }
    /// The part of the limit that this process may use.
    pub fn get(&self) -> usize {
        self.own.get()
    }
    /// Shares the limit with other processes, which hold `other_held`: this process may use what it holds, and half of what
    /// no process holds. Without other processes it may use the whole limit.
    pub fn share(&self, own_held: usize, other_held: Option<usize>) {
        let shared =
            |other_held: usize| own_held + self.total.saturating_sub(own_held.saturating_add(other_held)) / 2;
        self.own.set(other_held.map_or(self.total, shared));
    }
}

/// Waits for bytes and puts at most `max_bytes` of them into the read buffer. Returns 0 at the end of the connection.
async fn read_into(stream: &Stream, read_buffer: &mut ReadBuffer, max_bytes: usize) -> io::Result<usize> {
    work::charge_moved(read_buffer.len());
    stream.read_at_most(max_bytes, |bytes| read_buffer.append(bytes)).await
}

/// Returns the future's result, or `None` once the deadline has passed. The future is then dropped.
pub async fn timeout_at<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        world::at(deadline).await;
        None
    })
    .await
}

/// Logs a warning, at most `MAX_WARNINGS_PER_SECOND` of them in a second. Guards against a client or host whose errors
/// fill the log.
pub fn warn_rate_limited(line: impl FnOnce() -> String) {
    let (since, count) = WARNINGS.get();
    let is_new_second = since.is_none_or(|since| world::since(since) > Duration::from_secs(1));
    if is_new_second && count > MAX_WARNINGS_PER_SECOND {
        let omitted = count - MAX_WARNINGS_PER_SECOND;
        warn!(target: "peers", "... and {omitted} more warnings, which are not logged");
    }
    let (since, count) = if is_new_second { (Some(world::now()), 0) } else { (since, count) };
    if count < MAX_WARNINGS_PER_SECOND {
        warn!(target: "peers", "{}", line());
    }
    WARNINGS.set((since, count + 1));
}
