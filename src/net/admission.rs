//! Limits on clients: how many connections they may have, and for how long a connection may be idle. It owns the memory
//! that connections share, and the request ids in use. It also holds the state of a drain and of a stop. It must never read
//! or write a connection, nor interpret a request.
//!
//! Slots for connections are scarce, and only an open request has a right to one. A connection that is idle between
//! requests is closed after `IDLE_TIMEOUT`, or after `IDLE_TIMEOUT_CROWDED` when a new connection finds no free slot.

use super::core::Core;
use super::memory::{ClientMemory, ConnectionMemory, MemoryFigures};
use super::request_ids::RequestIds;
use super::scheduler::Spawner;
use super::world;
use super::{ResourceUsage, SharedLimit, timeout_at};
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// A connection that is idle for this long between requests is closed. Guards against clients that send one request and
/// keep the connection.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The idle timeout while more than 1/8 of all slots are idle, and of a connection without any request so far.
pub const IDLE_TIMEOUT_CROWDED: Duration = Duration::from_secs(2);
/// The idle timeout while more than 2/8 of all slots are idle.
pub const IDLE_TIMEOUT_OVERCROWDED: Duration = Duration::from_millis(300);
/// Idle connections are a crowd when they are more than this fraction (1/8) of all slots.
const CROWD_DIVISOR: usize = 8;
/// In a crowd, each connection that becomes idle evicts the one that has been idle for longest, if for at least this long.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);
/// A connection without any request so far that sends nothing for this long is evicted when a new one needs its slot.
const NO_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a new connection waits for the slot of one that was evicted.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);
/// This long after the start of a drain, connections are closed behind their answers. Until then, the load balancer in
/// front learns to send no more clients.
const DRAIN_CLOSE_ANSWERED: Duration = Duration::from_millis(500);
/// This long after the start of a drain, idle connections are closed. Guards against a close that crosses a request: the
/// connections of clients that send often have been closed behind an answer by then.
pub const DRAIN_CLOSE_IDLE: Duration = Duration::from_millis(1_500);
/// Once a stop's time is over, requests that come are still refused for this long. Then a client that sends on and on must
/// not keep the process from ending before SIGKILL.
const LAST_REQUESTS_TIME: Duration = Duration::from_millis(100);
/// How many connections beyond the limit may receive a refusal at the same time.
const MAX_REFUSALS: usize = 16;
/// How long a connection beyond the limit waits to be refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Descriptors that another process needs besides those of its clients and hosts.
const OTHER_PROCESS_DESCRIPTORS: usize = 32;

/// The limits on all clients, and the state of a drain or a stop.
pub struct Admission {
    core: Rc<Core>,
    /// How many connections clients may have.
    max_open: SharedLimit,
    memory: ClientMemory,
    /// The number of connections with a slot.
    open: Rc<Cell<usize>>,
    /// The number of connections beyond the limit that are being refused. Counted apart, so that their closes don't take
    /// the slots of clients that could be served.
    refusing: Rc<Cell<usize>>,
    idle_connections: RefCell<IdleConnections>,
    /// The request ids in use.
    pub ids: RequestIds,
    /// Closed once idle connections have to end; replaced when a drain is called off.
    closing_idle: RefCell<(Sender<()>, Receiver<()>)>,
    /// Closed once the stop's time is over, and open requests get their final answers at once.
    cut_off: (Sender<()>, Receiver<()>),
    /// When the stop's time was over.
    cut_off_at: Cell<Option<Instant>>,
    /// Since when the proxy has been draining.
    draining: Cell<Option<Instant>>,
    stopping: Cell<bool>,
    /// Whether clients are accepted: a new version accepts them once it can serve.
    accepting: Cell<bool>,
    /// Another version accepts clients in place of this one.
    replaced: Cell<bool>,
    executor: Spawner,
    /// Notified whenever a connection has ended.
    ended: (Sender<()>, Receiver<()>),
}

/// What clients hold of the limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientUsage {
    /// Connections with a slot.
    pub connections: usize,
    /// Reserved bytes of what clients have sent and is not answered yet.
    pub received_bytes: usize,
    /// Reserved bytes of answers that their clients have not read yet.
    pub answer_bytes: usize,
}

/// The connections without an open request: since when each is idle, and the sender that notifies it to end. Connections
/// that never sent a request that a host could answer are kept apart. Guards against many clients that open sessions, send
/// one message and stay, and would count as normal clients between requests.
#[derive(Default)]
struct IdleConnections {
    without_request: BTreeMap<(Instant, u64), Sender<()>>,
    between_requests: BTreeMap<(Instant, u64), Sender<()>>,
    last_number: u64,
}

/// A client's slot in the limit on connections; dropping it frees the slot.
pub struct ClientSlot {
    count: Rc<Cell<usize>>,
    ended: Sender<()>,
}

impl ClientSlot {
    fn counted_in(count: &Rc<Cell<usize>>, ended: &Sender<()>) -> ClientSlot {
        count.set(count.get() + 1);
        ClientSlot { count: count.clone(), ended: ended.clone() }
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        let _ = self.ended.try_send(());
    }
}

/// The registration of an idle connection; dropping it removes the connection from the idle ones.
pub struct IdleEntry<'a> {
    admission: &'a Admission,
    had_request: bool,
    key: (Instant, u64),
}

impl Drop for IdleEntry<'_> {
    fn drop(&mut self) {
        let mut idle_connections = self.admission.idle_connections.borrow_mut();
        idle_connections.kind_mut(self.had_request).remove(&self.key);
    }
}

impl IdleConnections {
    /// The idle connections that had a request before, or those that had none.
    fn kind_mut(&mut self, had_request: bool) -> &mut BTreeMap<(Instant, u64), Sender<()>> {
        if had_request { &mut self.between_requests } else { &mut self.without_request }
    }
}

impl Admission {
    pub fn new(
        core: Rc<Core>, max_open: usize, memory: ClientMemory, ids: RequestIds, executor: Spawner,
    ) -> Admission {
        Admission {
            core,
            max_open: SharedLimit::new(max_open),
            memory,
            open: Rc::default(),
            refusing: Rc::default(),
            idle_connections: RefCell::default(),
            ids,
            closing_idle: RefCell::new(async_channel::bounded(1)),
            cut_off: async_channel::bounded(1),
            cut_off_at: Cell::new(None),
            draining: Cell::new(None),
            stopping: Cell::new(false),
            accepting: Cell::new(false),
            replaced: Cell::new(false),
            executor,
            ended: async_channel::bounded(1),
        }
    }

    /// Records that clients are accepted from now on.
    pub fn start_accepting(&self) {
        self.accepting.set(true);
    }

    /// Takes a slot for a new connection, and returns whether the connection can only be refused on it. `None` if there is
    /// no slot even for that.
    pub fn take_slot(&self) -> Option<(ClientSlot, bool)> {
        let refused = self.is_full();
        let (count, max_count) =
            if refused { (&self.refusing, MAX_REFUSALS) } else { (&self.open, self.max_open.get()) };
        if count.get() >= max_count {
            return None;
        }
        Some((ClientSlot::counted_in(count, &self.ended.0), refused))
    }

    /// Returns once there is a slot for a new connection, at least to refuse it, or after `REFUSAL_TIMEOUT`. Guards against
    /// a burst of connections that are reset with their input unread: meanwhile the next ones wait in the listener's
    /// backlog.
    pub async fn until_slot(&self) {
        let has_none = || self.is_full() && self.refusing.get() >= MAX_REFUSALS;
        let freed = async {
            while has_none() {
                let _ = self.ended.1.recv().await;
            }
        };
        if has_none() {
            timeout_at(world::now() + REFUSAL_TIMEOUT, freed).await;
        }
    }

    /// Counts a connection that is closing as a refused one, which frees its slot at once; false if too many are being
    /// refused.
    pub fn move_to_refused(&self, slot: &mut ClientSlot) -> bool {
        let may_move = self.refusing.get() < MAX_REFUSALS;
        if may_move {
            *slot = ClientSlot::counted_in(&self.refusing, &self.ended.0);
        }
        may_move
    }

    /// Whether all slots are taken.
    pub fn is_full(&self) -> bool {
        self.open.get() >= self.max_open.get()
    }

    /// The memory of a new connection, which holds nothing yet.
    pub fn connection_memory(&self) -> ConnectionMemory {
        self.memory.connection()
    }

    /// What clients' connections hold of the shared memory.
    pub fn memory_figures(&self) -> MemoryFigures {
        self.memory.figures()
    }

    /// Whether a connection was opened after a drain closed the idle ones. It then has to receive its refusal.
    pub fn opened_after_idle_close(&self, opened_at: Instant) -> bool {
        let after_idle_close = self.draining.get().is_some_and(|since| opened_at > since + DRAIN_CLOSE_IDLE);
        after_idle_close && !self.stopping.get()
    }

    /// A receiver that is closed once idle connections have to end.
    pub fn closing_idle(&self) -> Receiver<()> {
        self.closing_idle.borrow().1.clone()
    }

    /// If all slots are taken, evicts the connection that has been idle for longest: one that never sent a request, or one
    /// between requests. Guards against idle connections that keep out clients with requests.
    pub async fn evict_idle(&self) {
        if !self.is_full() {
            return;
        }
        let longest_idle_since = |had_request| {
            self.idle_connections.borrow_mut().kind_mut(had_request).keys().next().map(|key| key.0)
        };
        let between_requests =
            longest_idle_since(true).filter(|&since| world::since(since) >= IDLE_TIMEOUT_CROWDED);
        let had_request = match longest_idle_since(false) {
            Some(since) if world::since(since) >= NO_REQUEST_TIMEOUT || between_requests.is_none() => {
                // The wait is short even for a crowd of such connections: their timeouts end at the same time.
                world::at(since + NO_REQUEST_TIMEOUT).await;
                false
            }
            _ if between_requests.is_some() => true,
            _ => return,
        };
        let evicted = self.idle_connections.borrow_mut().kind_mut(had_request).pop_first();
        if evicted.is_some_and(|(_, eviction)| eviction.try_send(()).is_ok()) {
            let slot_freed = async {
                while self.is_full() {
                    let _ = self.ended.1.recv().await;
                }
            };
            timeout_at(world::now() + EVICTION_TIMEOUT, slot_freed).await;
        }
    }

    /// How long connections may be idle between requests. The more are idle, the shorter it is.
    pub fn idle_timeout(&self) -> Duration {
        let idle = self.idle_connections.borrow().between_requests.len();
        let crowd = self.max_open.get() / CROWD_DIVISOR;
        match idle {
            _ if idle > 2 * crowd => IDLE_TIMEOUT_OVERCROWDED,
            _ if idle > crowd => IDLE_TIMEOUT_CROWDED,
            _ => IDLE_TIMEOUT,
        }
    }

    /// Called when a connection becomes idle: if many are idle, evicts the one that has been idle for longest.
    pub fn evict_longest_idle(&self) {
        let crowded = self.idle_timeout() < IDLE_TIMEOUT;
        let mut idle_connections = self.idle_connections.borrow_mut();
        if crowded
            && let Some(oldest) = idle_connections.between_requests.first_entry()
            && world::since(oldest.key().0) >= MIN_IDLE_BEFORE_EVICTION
        {
            let _ = oldest.remove().try_send(());
        }
    }

    /// Registers a connection as idle from now on; `eviction` is notified if it has to end for another client.
    pub fn register_idle(&self, had_request: bool, eviction: Sender<()>) -> IdleEntry<'_> {
        let mut idle_connections = self.idle_connections.borrow_mut();
        idle_connections.last_number += 1;
        let key = (world::now(), idle_connections.last_number);
        idle_connections.kind_mut(had_request).insert(key, eviction);
        IdleEntry { admission: self, had_request, key }
    }

    /// Why the proxy is not ready to serve, if it is not.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        match self.draining.get() {
            _ if self.stopping.get() => Some("it stops"),
            Some(_) => Some("it drains"),
            None if !self.accepting.get() => Some("it takes no clients yet"),
            None if !self.core.is_ready() => Some("no list of database hosts yet"),
            None => None,
        }
    }

    /// Starts a drain: the proxy is not ready any more, and its clients' connections end one by one.
    pub fn start_draining(self: &Rc<Admission>) {
        if self.draining.get().is_some() {
            return;
        }
        let since = world::now();
        self.draining.set(Some(since));
        info!(target: "clients", "draining: the proxy is not ready, and closes its clients' connections");
        let admission = self.clone();
        let close_idle = async move {
            world::at(since + DRAIN_CLOSE_IDLE).await;
            // The drain may have been called off, or started anew, meanwhile.
            if admission.draining.get() == Some(since) {
                admission.closing_idle.borrow().0.close();
            }
        };
        self.executor.spawn(close_idle);
    }

    /// Calls off a drain: the proxy serves clients again.
    pub fn stop_draining(&self) {
        if self.draining.take().is_some() {
            *self.closing_idle.borrow_mut() = async_channel::bounded(1);
            info!(target: "clients", "the drain is called off: the proxy keeps its clients' connections again");
        }
    }

    /// Whether connections are closed behind their answers.
    pub fn closes_after_answer(&self) -> bool {
        self.replaced.get()
            || self.draining.get().is_some_and(|since| world::since(since) >= DRAIN_CLOSE_ANSWERED)
    }

    /// Records that the program is about to end: the proxy is not ready any more, but goes on serving.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Records that another version accepts the clients: connections are closed behind their answers from now on.
    pub fn close_after_answers(&self) {
        self.replaced.set(true);
    }

    /// Records that the time allowed for the stop is over: open requests, and requests on open connections, get their final
    /// answers at once.
    pub fn cut_off(&self) {
        self.cut_off_at.set(Some(world::now()));
        self.cut_off.0.close();
    }

    /// Whether sessions end behind their answers, whatever their clients send on: the stop's time has been over for
    /// `LAST_REQUESTS_TIME`.
    pub fn ends_sessions(&self) -> bool {
        self.cut_off_at.get().is_some_and(|at| world::since(at) >= LAST_REQUESTS_TIME)
    }

    /// Whether the stop's time is over.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.0.is_closed()
    }

    /// Returns once the stop's time is over.
    pub async fn until_cut_off(&self) {
        let _ = self.cut_off.1.recv().await;
    }

    /// What clients hold of the limits.
    pub fn usage(&self) -> ClientUsage {
        let (received_bytes, answer_bytes) = self.memory.held();
        ClientUsage { connections: self.open.get(), received_bytes, answer_bytes }
    }

    /// Shares the limits with another process, which uses this much of them; `None` if there is no other.
    pub fn share_limits(&self, other: Option<ResourceUsage>) {
        self.max_open.share(self.open.get(), other.map(|held| held.clients + OTHER_PROCESS_DESCRIPTORS));
        self.memory.share(other);
    }

    /// Closes idle connections at once, and the others behind their answers; returns when all are closed.
    pub async fn close(&self) {
        self.stop();
        self.closing_idle.borrow().0.close();
        while self.open.get() + self.refusing.get() > 0 {
            let _ = self.ended.1.recv().await;
        }
    }
}
