//! Admission: who of the clients may have a place, and for how long. It owns the descriptors of connections to
//! clients, the bytes that they may have sent, the ids of their requests, and what a drain or a stop asks of them. It must
//! never read or write a connection, nor know what a request says.
//!
//! Places are scarce, and only a request has a right to one. Who rests between requests goes after `IDLE`, or after
//! `IDLE_CROWDED` when a newcomer finds no place.

use super::core::Core;
use super::world::{self, Spawner};
use super::{ResourceUsage, SharedLimit, timeout_at};
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// A connection that rests for this long between requests is closed, or after the shorter times where
/// many do, or twice as many. Guards against clients that ask once and stay.
pub const IDLE: Duration = Duration::from_secs(10);
pub const IDLE_CROWDED: Duration = Duration::from_secs(2);
pub const IDLE_THRONGED: Duration = Duration::from_millis(300);
/// Many are one part in so many of all places.
const CROWDED: usize = 8;
/// Where many rest, the longest at rest goes for each newcomer among them, after this long.
const IDLE_THINNED: Duration = Duration::from_millis(100);
/// A connection that never made a request and says nothing for this long gives its place to a newcomer.
const SILENT: Duration = Duration::from_millis(50);
/// For how long a newcomer may have to wait for a place that is being given up.
const GIVE_UP: Duration = Duration::from_millis(100);
/// After the start of a drain, connections are closed behind their answers from the first of these
/// on, in which the front learns to turn away, and at rest from the second on. Guards against a close
/// that catches a request on its way: whoever asks often is gone by then.
const DRAIN_ANSWERED: Duration = Duration::from_millis(500);
pub const DRAIN_AT_REST: Duration = Duration::from_millis(1_500);
/// Connections past the limit that may hear a refusal at the same time.
const REFUSALS: usize = 16;
/// For how long one waits to hear its refusal.
const REFUSED_LATER: Duration = Duration::from_millis(250);
/// Descriptors that another process needs beside those of its clients and hosts.
const OTHER_PROCESS: usize = 32;
/// An id counts as taken for this long after its request was answered.
const ID_KEPT: Duration = Duration::from_secs(2);

/// Admission, and what the tasks of all clients share.
pub struct Admission {
    core: Rc<Core>,
    most: SharedLimit,
    /// What all clients together may have sent and not been answered, in bytes.
    most_bytes: SharedLimit,
    open: Rc<Cell<usize>>,
    /// Connections past the limit that are hearing so. Guards against their farewells taking the
    /// places of clients that could be served.
    refusing: Rc<Cell<usize>>,
    bytes: Rc<Cell<usize>>,
    waiting: RefCell<IdleConnections>,
    ids: RefCell<Ids>,
    /// Closed once no idle connection is to be kept; a drain that is called off puts a new one in place.
    closing: RefCell<(Sender<()>, Receiver<()>)>,
    /// Closed once requests that are still open get their last answers, whatever came of them.
    cut_off: (Sender<()>, Receiver<()>),
    /// Since when the proxy drains.
    draining: Cell<Option<Instant>>,
    stopping: Cell<bool>,
    /// Whether clients are taken: a new version begins with it once it can serve.
    listening: Cell<bool>,
    /// Another version takes clients in this one's stead.
    relieved: Cell<bool>,
    executor: Spawner,
    /// Told whenever a connection has ended.
    ended: (Sender<()>, Receiver<()>),
}

/// Connections without an open request, since when, and how each is told to go: those that never
/// asked anything that a host could answer, and those that rest between requests. Guards against a
/// crowd that opens sessions, says a word and stays, and counts as usual clients at rest.
#[derive(Default)]
struct IdleConnections {
    silent: BTreeMap<(Instant, u64), Sender<()>>,
    idle: BTreeMap<(Instant, u64), Sender<()>>,
    last: u64,
}

/// Ids of requests that are open or were just now. Guards against a client that sends another's id:
/// database hosts would take it for a second copy of the other's request.
#[derive(Default)]
struct Ids {
    hasher: RandomState,
    taken: HashSet<u64>,
    ended: VecDeque<(Instant, u64)>,
}

/// A client's descriptor in the budget; dropping it gives it back.
pub struct ClientSlot {
    count: Rc<Cell<usize>>,
    ended: Sender<()>,
}

impl ClientSlot {
    fn of(count: &Rc<Cell<usize>>, ended: &Sender<()>) -> ClientSlot {
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

/// A session's part of the common allowance of bytes; dropping it gives it back.
pub struct MemoryShare {
    all: Rc<Cell<usize>>,
    mine: usize,
}

impl MemoryShare {
    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.mine == 0
    }

    pub fn set(&mut self, bytes: usize) {
        self.all.set(self.all.get() - self.mine + bytes);
        self.mine = bytes;
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A place among those waiting; dropping it gives it up.
pub struct IdleEntry<'a> {
    all: &'a Admission,
    asked: bool,
    key: (Instant, u64),
}

impl Drop for IdleEntry<'_> {
    fn drop(&mut self) {
        let mut waiting = self.all.waiting.borrow_mut();
        waiting.of(self.asked).remove(&self.key);
    }
}

impl IdleConnections {
    fn of(&mut self, asked: bool) -> &mut BTreeMap<(Instant, u64), Sender<()>> {
        if asked { &mut self.idle } else { &mut self.silent }
    }
}

/// An id in use; dropping it keeps the id for a moment more.
pub struct IdClaim<'a> {
    all: &'a Admission,
    id: u64,
}

impl Drop for IdClaim<'_> {
    fn drop(&mut self) {
        self.all.ids.borrow_mut().ended.push_back((world::now(), self.id));
    }
}

impl Admission {
    pub fn new(core: Rc<Core>, most: usize, most_bytes: usize, executor: Spawner) -> Admission {
        let (open, refusing, bytes) = (Rc::default(), Rc::default(), Rc::default());
        let (waiting, ids) = (RefCell::default(), RefCell::default());
        let (closing, ended) = (RefCell::new(async_channel::bounded(1)), async_channel::bounded(1));
        Admission {
            core,
            most: SharedLimit::new(most),
            most_bytes: SharedLimit::new(most_bytes),
            open,
            refusing,
            bytes,
            waiting,
            ids,
            closing,
            cut_off: async_channel::bounded(1),
            draining: Cell::new(None),
            stopping: Cell::new(false),
            listening: Cell::new(false),
            relieved: Cell::new(false),
            executor,
            ended,
        }
    }

    /// From now on clients are taken.
    pub fn begin(&self) {
        self.listening.set(true);
    }

    /// A place for one more connection, and whether it is only one to be refused on; nothing where there is none.
    pub fn place(&self) -> Option<(ClientSlot, bool)> {
        let refused = self.is_full();
        let (count, most) = if refused { (&self.refusing, REFUSALS) } else { (&self.open, self.most.get()) };
        if count.get() >= most {
            return None;
        }
        Some((ClientSlot::of(count, &self.ended.0), refused))
    }

    /// Returns once there is a place for one more connection, if only to be refused on, or after a while without one.
    /// Guards against a burst of newcomers that are closed over what they have written: until then the machine holds
    /// those behind.
    pub async fn until_place(&self) {
        let has_none = || self.is_full() && self.refusing.get() >= REFUSALS;
        let freed = async {
            while has_none() {
                let _ = self.ended.1.recv().await;
            }
        };
        if has_none() {
            timeout_at(world::now() + REFUSED_LATER, freed).await;
        }
    }

    /// Moves a connection that only has to end among those that hear a refusal, so that its place is free at once;
    /// false where they are too many.
    pub fn vacate(&self, slot: &mut ClientSlot) -> bool {
        let room = self.refusing.get() < REFUSALS;
        if room {
            *slot = ClientSlot::of(&self.refusing, &self.ended.0);
        }
        room
    }

    /// Whether all places are taken.
    pub fn is_full(&self) -> bool {
        self.open.get() >= self.most.get()
    }

    /// A part of the common allowance of bytes, empty yet.
    pub fn bytes(&self) -> MemoryShare {
        MemoryShare { all: self.bytes.clone(), mine: 0 }
    }

    /// Whether what all clients have sent fits into the memory.
    pub fn fits(&self) -> bool {
        self.bytes.get() <= self.most_bytes.get()
    }

    /// Whether a connection that began then came after those at rest were told to go, and is to hear its refusal.
    pub fn is_late(&self, begun: Instant) -> bool {
        let late = self.draining.get().is_some_and(|since| begun > since + DRAIN_AT_REST);
        late && !self.stopping.get()
    }

    /// Closed once no idle connection is to be kept.
    pub fn closing(&self) -> Receiver<()> {
        self.closing.borrow().1.clone()
    }

    /// Where all places are taken, asks for that of whoever has been silent, or idle, for longest.
    /// Guards against connections that only stand there keeping out clients that want something.
    pub async fn make_room(&self) {
        if !self.is_full() {
            return;
        }
        let since = |asked| self.waiting.borrow_mut().of(asked).keys().next().map(|k| k.0);
        let idle = since(true).filter(|&since| world::since(since) >= IDLE_CROWDED);
        let idle = match since(false) {
            Some(silent) if world::since(silent) >= SILENT || idle.is_none() => {
                // Waited for: a whole crowd of silent ones is through in a moment.
                world::at(silent + SILENT).await;
                false
            }
            _ if idle.is_some() => true,
            _ => return,
        };
        let asked = self.waiting.borrow_mut().of(idle).pop_first();
        if asked.is_some_and(|(_, go)| go.try_send(()).is_ok()) {
            let left = async {
                while self.is_full() {
                    let _ = self.ended.1.recv().await;
                }
            };
            timeout_at(world::now() + GIVE_UP, left).await;
        }
    }

    /// Takes an id for a request; nothing if it is another's.
    pub fn claim(&self, id: &str) -> Option<IdClaim<'_>> {
        let mut ids = self.ids.borrow_mut();
        while let Some(&(_, old)) = ids.ended.front().filter(|e| world::since(e.0) > ID_KEPT) {
            ids.ended.pop_front();
            ids.taken.remove(&old);
        }
        let id = ids.hasher.hash_one(id);
        ids.taken.insert(id).then(|| IdClaim { all: self, id })
    }

    /// For how long connections may rest between requests, as many as do now.
    pub fn may_rest(&self) -> Duration {
        let (idle, many) = (self.waiting.borrow().idle.len(), self.most.get() / CROWDED);
        match idle {
            _ if idle > 2 * many => IDLE_THRONGED,
            _ if idle > many => IDLE_CROWDED,
            _ => IDLE,
        }
    }

    /// Where many rest and one more comes to rest, tells the one that has rested for longest to go.
    pub fn thin_out(&self) {
        let crowded = self.may_rest() < IDLE;
        let mut waiting = self.waiting.borrow_mut();
        if crowded
            && let Some(oldest) = waiting.idle.first_entry()
            && world::since(oldest.key().0) >= IDLE_THINNED
        {
            let _ = oldest.remove().try_send(());
        }
    }

    /// A place among those that wait, from now on.
    pub fn seat(&self, asked: bool, go: Sender<()>) -> IdleEntry<'_> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.last += 1;
        let key = (world::now(), waiting.last);
        waiting.of(asked).insert(key, go);
        IdleEntry { all: self, asked, key }
    }

    /// Why the proxy is not ready to serve, if it is not.
    pub fn not_ready_reason(&self) -> Option<&'static str> {
        match self.draining.get() {
            _ if self.stopping.get() => Some("it stops"),
            Some(_) => Some("it drains"),
            None if !self.listening.get() => Some("it takes no clients yet"),
            None if !self.core.is_ready() => Some("no list of database hosts yet"),
            None => None,
        }
    }

    /// From now on the proxy is not ready, and its clients' connections end one by one.
    pub fn start_draining(self: &Rc<Admission>) {
        if self.draining.get().is_some() {
            return;
        }
        let since = world::now();
        self.draining.set(Some(since));
        info!(target: "clients", "draining");
        let all = self.clone();
        let at_rest = async move {
            world::at(since + DRAIN_AT_REST).await;
            if all.draining.get() == Some(since) {
                all.closing.borrow().0.close();
            }
        };
        self.executor.spawn(at_rest);
    }

    /// Takes clients again.
    pub fn stop_draining(&self) {
        if self.draining.take().is_some() {
            *self.closing.borrow_mut() = async_channel::bounded(1);
            info!(target: "clients", "draining no more");
        }
    }

    /// Whether a connection is to end behind its answer.
    pub fn answered_last(&self) -> bool {
        self.relieved.get() || self.draining.get().is_some_and(|since| world::since(since) >= DRAIN_ANSWERED)
    }

    /// The program is about to end: it is not ready any more, and serves as ever.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Another version takes clients: connections end behind their answers from now on.
    pub fn relieve(&self) {
        self.relieved.set(true);
    }

    /// The time of the stop is over: what is open, or comes on a connection that is, gets an answer at once.
    pub fn cut_off(&self) {
        self.cut_off.0.close();
    }

    /// Whether it is.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.0.is_closed()
    }

    /// Returns once it is.
    pub async fn until_cut_off(&self) {
        let _ = self.cut_off.1.recv().await;
    }

    /// Connections that are open, and bytes that their clients have sent.
    pub fn usage(&self) -> (usize, usize) {
        (self.open.get(), self.bytes.get())
    }

    /// Another process holds so much of the limits, or none does any more.
    pub fn share_limits(&self, other: Option<ResourceUsage>) {
        let ((open, bytes), own) = (self.usage(), other.map(|o| (o.clients + OTHER_PROCESS, o.bytes)));
        self.most.share(open, own.map(|o| o.0));
        self.most_bytes.share(bytes, own.map(|o| o.1));
    }

    /// Closes idle connections, and the others once they have been answered; returns when all are.
    pub async fn close(&self) {
        self.stop();
        self.closing.borrow().0.close();
        while self.open.get() + self.refusing.get() > 0 {
            let _ = self.ended.1.recv().await;
        }
    }
}
