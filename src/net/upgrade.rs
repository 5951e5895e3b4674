//! Versions of the program side by side: a Unix socket in `$TMPDIR`, by which each process knows from its end that another
//! lives, what it holds of the limits and which orders by hand it knows. It must never hinder a start: what cannot be had
//! is logged, and the program goes on without.

use super::admission::Admission;
use super::core::Core;
use super::host_overrides::{AppliedOverride, HostOverrides};
use super::hosts::Hosts;
use super::world::{self, Listener, Spawner, Stream};
use super::{ResourceUsage, timeout_at, warn_rate_limited};
use crate::mutants;
use crate::overrides::OverrideMessage;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

const SOCKET: &str = "sillfold.sock";
/// Processes tell each other what they hold, and new orders, this often: well inside the grace of a drain.
const EXCHANGE: Duration = Duration::from_millis(50);
/// A process that has said nothing for this long is not counted on to serve. It still holds what it held.
const SILENT: Duration = Duration::from_secs(2);
/// A new process waits for so long to hear what those that it found hold, and which orders they know.
const INTRODUCTION: Duration = Duration::from_secs(2);
/// What another process may have said that is not read, in bytes: some lines.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// Orders in one line have names of so many bytes together: escaped as JSON, a line stays well inside the above.
const MAX_NAME_BYTES_A_LINE: usize = 4 * 1024;
/// The folder is read again this often while something in it could not be read, or a process of an earlier version,
/// which tells no orders, runs beside this one.
const READ_AGAIN: Duration = Duration::from_millis(50);
/// An order that could not be written is written again this often.
const WRITE_AGAIN: Duration = Duration::from_millis(500);
/// The folder is read this often beside processes that tell their orders.
const READ_BESIDE: Duration = Duration::from_secs(1);
/// The wait before another process is accepted, or dialled, again where the machine lacks something.
const SHORTAGE_WAIT: Duration = Duration::from_millis(20);
/// How often it is dialled then.
const MAX_DIALS: u32 = 100;

/// What processes tell each other, as a line. Later versions may add keys.
#[derive(Serialize)]
struct Line {
    /// Tells processes apart.
    process: u64,
    #[serde(flatten)]
    held: ResourceUsage,
    /// Orders by hand that changed since the line before.
    orders: Vec<OverrideMessage>,
    /// Whether all orders that this process knows, and those that it waits to hear, have been told.
    complete: bool,
}

/// The same as it is heard.
#[derive(Deserialize)]
struct HeardLine {
    /// 0 from a process of a version that does not say it.
    #[serde(default)]
    process: u64,
    #[serde(flatten)]
    held: ResourceUsage,
    /// None from a process of a version that tells no orders. Each is read for itself: one that makes no sense hinders
    /// no other.
    orders: Option<Vec<serde_json::Value>>,
    #[serde(default)]
    complete: bool,
}

/// Another process, while it lives.
struct Peer {
    /// What it holds, with all that it knows of but this one.
    held: ResourceUsage,
    /// When it last said so.
    heard: Instant,
    /// Whether it ran before this one, which then waits for its introduction.
    is_earlier: bool,
    /// Whether it has told all that it holds and knows.
    is_introduced: bool,
    /// Whether it tells orders by hand.
    tells_orders: bool,
}

pub struct Upgrade {
    dir: Option<PathBuf>,
    core: Rc<Core>,
    admission: Rc<Admission>,
    hosts: Rc<Hosts>,
    orders: HostOverrides,
    /// Tells this process from others.
    process: u64,
    /// The other processes, by the number of the meeting.
    peers: RefCell<BTreeMap<u64, Peer>>,
    meetings: Cell<u64>,
    /// A later process has put its socket in the place of this one's.
    is_superseded: Cell<bool>,
    /// Closed once this process listens at a new socket.
    place: RefCell<Option<Sender<()>>>,
    /// Told when another process has ended.
    ended: (Sender<()>, Receiver<()>),
    /// Told when another process was heard for the first time, or has ended.
    introduced: (Sender<()>, Receiver<()>),
    /// Told when the folder is to be looked at.
    folder_due: (Sender<()>, Receiver<()>),
}

impl Upgrade {
    pub fn new(dir: Option<PathBuf>, core: Rc<Core>, admission: Rc<Admission>, hosts: Rc<Hosts>) -> Upgrade {
        Upgrade {
            orders: HostOverrides::new(dir.as_deref(), core.clone()),
            dir,
            core,
            admission,
            hosts,
            process: world::unique_number(),
            peers: RefCell::default(),
            meetings: Cell::default(),
            is_superseded: Cell::default(),
            place: RefCell::default(),
            ended: async_channel::bounded(1),
            introduced: async_channel::bounded(1),
            folder_due: async_channel::bounded(1),
        }
    }

    // ---- The other processes ----

    /// Finds the process that runs already, if there is one, and takes its place at the socket.
    pub fn start(self: &Rc<Upgrade>, executor: &Spawner) {
        let Some(dir) = self.dir.clone() else { return };
        let upgrade = self.clone();
        executor.spawn(async move { upgrade.keep_folder().await });
        let (upgrade, spawner, path) = (self.clone(), executor.clone(), dir.join(SOCKET));
        match self.dial(&path) {
            Dialled::Met(stream) => self.begin_exchange(stream, true, executor),
            Dialled::Nobody => {}
            Dialled::Shortage => {
                // Whoever is there is counted on until that is known.
                let number = self.begin_meeting(true);
                executor.spawn(async move { upgrade.meet_later(number, &path, &spawner).await });
                return;
            }
        }
        self.take_place(&path, executor);
    }

    fn dial(&self, path: &Path) -> Dialled {
        match Stream::connect_local(path) {
            Ok(stream) => Dialled::Met(stream),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Dialled::Nobody,
            Err(e) if world::is_local_shortage(&e) => Dialled::Shortage,
            Err(e) => {
                info!(target: "upgrade", "{}: nobody is there: {e}", path.display());
                Dialled::Nobody
            }
        }
    }

    /// Goes on to dial the process that may be there; then takes its place, whatever came of it.
    async fn meet_later(self: Rc<Upgrade>, number: u64, path: &Path, executor: &Spawner) {
        for _ in 0..MAX_DIALS {
            world::after(SHORTAGE_WAIT).await;
            match self.dial(path) {
                Dialled::Met(stream) => {
                    self.begin_exchange(stream, true, executor);
                    break;
                }
                Dialled::Nobody => break,
                Dialled::Shortage => {}
            }
        }
        self.end_meeting(number);
        self.take_place(path, executor);
    }

    /// Puts a socket of its own in place whole, over what the process before has left there.
    fn take_place(self: &Rc<Upgrade>, path: &Path, executor: &Spawner) {
        let own = path.with_file_name(format!("{SOCKET}.{}", self.process));
        let listener = match Listener::local(path, &own) {
            Ok(listener) => listener,
            Err(e) => {
                return info!(target: "upgrade", "{}: {e}; a new version will not find this one", own.display());
            }
        };
        // Nobody can reach a listener that stood there before.
        let (place, left) = async_channel::bounded(1);
        self.place.replace(Some(place));
        let (upgrade, spawner) = (self.clone(), executor.clone());
        executor.spawn(async move {
            future::or(upgrade.accept(&listener, &spawner), async { _ = left.recv().await }).await;
        });
    }

    /// Meets all later processes, for as long as the program runs.
    async fn accept(self: Rc<Upgrade>, listener: &Listener, executor: &Spawner) {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    info!(target: "upgrade", "a new process has started");
                    self.is_superseded.set(true);
                    self.begin_exchange(stream, false, executor);
                }
                Err(e) => {
                    warn_rate_limited(|| format!("upgrade: accepting: {e}"));
                    world::after(SHORTAGE_WAIT).await;
                }
            }
        }
    }

    fn begin_exchange(self: &Rc<Upgrade>, stream: Stream, is_earlier: bool, executor: &Spawner) {
        let (upgrade, spawner, number) = (self.clone(), executor.clone(), self.begin_meeting(is_earlier));
        info!(target: "upgrade", "another process runs");
        let exchange = async move {
            let other = upgrade.exchange(&stream, number).await;
            drop(stream);
            upgrade.end_meeting(number);
            if other == Ended::Gone {
                upgrade.meet_again(&spawner);
            }
        };
        executor.spawn(exchange);
    }

    /// Whoever stands between this process and the latest one has ended: the latest one is met directly. Where that is the
    /// one that has ended, this process is found at its place again.
    fn meet_again(self: &Rc<Upgrade>, executor: &Spawner) {
        let Some(dir) = self.dir.as_ref().filter(|_| self.is_superseded.get()) else { return };
        let path = dir.join(SOCKET);
        match self.dial(&path) {
            Dialled::Met(stream) => self.begin_exchange(stream, false, executor),
            Dialled::Nobody => {
                self.is_superseded.set(false);
                self.take_place(&path, executor);
            }
            Dialled::Shortage => {
                let (upgrade, spawner) = (self.clone(), executor.clone());
                executor.spawn(async move {
                    world::after(SHORTAGE_WAIT).await;
                    upgrade.meet_again(&spawner);
                });
            }
        }
    }

    /// Another process is met: the number of the meeting.
    fn begin_meeting(&self, is_earlier: bool) -> u64 {
        let number = self.meetings.get();
        self.meetings.set(number + 1);
        let peer = Peer {
            held: ResourceUsage::default(),
            heard: world::now(),
            is_earlier,
            is_introduced: false,
            tells_orders: true,
        };
        self.peers.borrow_mut().insert(number, peer);
        self.share_limits();
        self.core.other_process(true);
        let _ = self.folder_due.0.try_send(());
        number
    }

    /// That meeting is over.
    fn end_meeting(&self, number: u64) {
        if self.peers.borrow_mut().remove(&number).is_none() {
            return;
        }
        info!(target: "upgrade", "the other process has ended");
        self.share_limits();
        self.core.other_process(self.has_other_process());
        self.orders.read_folder(false);
        self.orders.save();
        let _ = self.folder_due.0.try_send(());
        let _ = self.ended.0.try_send(());
        let _ = self.introduced.0.try_send(());
    }

    /// Tells the other process what this one holds and hears the same of it, until it ends. A process that is stopped
    /// for a while says nothing, and holds on to what it has.
    async fn exchange(&self, stream: &Stream, number: u64) -> Ended {
        future::or(self.hear(stream, number), self.tell(stream, number)).await
    }

    async fn tell(&self, stream: &Stream, number: u64) -> Ended {
        let mut told = 0;
        loop {
            let (orders, last) = match self.orders.last_change() {
                last if last == told || mutants::on("orders are not told") => (Vec::new(), last),
                _ => self.orders.changed_after(told, MAX_NAME_BYTES_A_LINE),
            };
            told = last;
            let all_told = told == self.orders.last_change();
            let held = self.held_beside(number);
            let complete = all_told && self.is_introduced();
            let Ok(mut line) = serde_json::to_vec(&Line { process: self.process, held, orders, complete })
            else {
                return Ended::Gone;
            };
            line.push(b'\n');
            if stream.write_all(&line).await.is_err() {
                return Ended::Gone;
            }
            if all_told {
                world::after(EXCHANGE).await;
            }
        }
    }

    async fn hear(&self, stream: &Stream, number: u64) -> Ended {
        let mut came = Vec::new();
        loop {
            let Some(end) = came.iter().position(|b| *b == b'\n') else {
                let read = stream.read_with(|part| came.extend(part)).await;
                // Guards against a line without an end.
                if !matches!(read, Ok(1..)) || came.len() > MAX_UNREAD_BYTES {
                    return Ended::Gone;
                }
                continue;
            };
            match serde_json::from_slice::<HeardLine>(&came[..end]) {
                Ok(line) if line.process == self.process => {
                    // The socket is its own: nobody is later. Said before the other side of this very connection ends,
                    // which would dial it again.
                    self.is_superseded.set(false);
                    return Ended::Itself;
                }
                Ok(line) => self.take_in(number, line),
                Err(e) => {
                    info!(target: "upgrade", "the other process: {e}");
                    return Ended::Gone;
                }
            }
            came.drain(..=end);
        }
    }

    /// What this process holds, with all others but that of this meeting.
    fn held_beside(&self, number: u64) -> ResourceUsage {
        let (clients, bytes) = self.admission.held();
        let ready = self.admission.unready().is_none();
        let own = ResourceUsage { ready, clients, bytes, hosts: self.hosts.open_connections() };
        let peers = self.peers.borrow();
        peers.iter().filter(|(n, _)| **n != number).fold(own, |sum, (_, peer)| sum.with(&peer.held))
    }

    /// Another process says what it holds and knows.
    fn take_in(&self, number: u64, line: HeardLine) {
        let tells_orders = line.orders.is_some();
        line.orders.iter().flatten().for_each(|told| self.orders.hear(told));
        let was_introduced = {
            let mut peers = self.peers.borrow_mut();
            let Some(peer) = peers.get_mut(&number) else { return };
            (peer.held, peer.heard, peer.tells_orders) = (line.held, world::now(), tells_orders);
            let was_introduced = peer.is_introduced;
            // A version that tells no orders has said all it has to say.
            peer.is_introduced |= line.complete || !tells_orders;
            was_introduced
        };
        self.share_limits();
        if !was_introduced {
            let _ = self.introduced.0.try_send(());
            let _ = self.folder_due.0.try_send(());
        }
    }

    /// Whether each process that ran before this one has told all that it holds and knows.
    fn is_introduced(&self) -> bool {
        self.peers.borrow().values().all(|peer| !peer.is_earlier || peer.is_introduced)
    }

    /// Returns once that is so, or after a while: one that is held up must not hinder a start. Guards against a first
    /// request that goes to a host which only the process before knows to be left out, and against taking a limit's part
    /// that it holds.
    pub async fn wait_for_introductions(&self) {
        let introduced = async {
            while !self.is_introduced() {
                let _ = self.introduced.1.recv().await;
            }
        };
        if timeout_at(world::now() + INTRODUCTION, introduced).await.is_none() {
            info!(target: "upgrade", "the other process says nothing; not waited for any longer");
        }
    }

    /// All together stay inside the limits: what nobody holds is shared out evenly.
    fn share_limits(&self) {
        let others = self.peers.borrow().values().map(|peer| peer.held).reduce(|sum, held| sum.with(&held));
        self.admission.share(others);
        self.hosts.share_limit(others);
    }

    /// Whether another process lives.
    pub fn has_other_process(&self) -> bool {
        !self.peers.borrow().is_empty()
    }

    /// Whether another process takes clients.
    pub fn other_is_ready(&self) -> bool {
        self.peers.borrow().values().any(|peer| peer.held.ready && world::since(peer.heard) < SILENT)
    }

    /// Connections to other processes that are open.
    pub fn connections(&self) -> usize {
        self.peers.borrow().len()
    }

    /// Returns once no other process lives.
    pub async fn wait_until_alone(&self) {
        while self.has_other_process() {
            let _ = self.ended.1.recv().await;
        }
    }

    // ---- Orders by hand ----

    /// Leaves a database host out, or uses it again, here and in other processes; the error is why not, and nothing has
    /// changed then.
    pub fn set_override(&self, host: &str, out: bool) -> Result<AppliedOverride, String> {
        self.orders.give(host, out)
    }

    /// Reads the folder and writes what is missing there, as often as that may bring something, for as long as the
    /// program runs.
    async fn keep_folder(&self) {
        loop {
            let due = async {
                match self.folder_wait() {
                    Some(wait) => world::after(wait).await,
                    None => future::pending().await,
                }
            };
            future::or(due, async { _ = self.folder_due.1.recv().await }).await;
            self.orders.read_folder(false);
            self.orders.save();
        }
    }

    /// When the folder is to be looked at again; never, where nobody else could have changed it and nothing is missing.
    fn folder_wait(&self) -> Option<Duration> {
        let hears_by_folder = self.peers.borrow().values().any(|peer| !peer.tells_orders);
        if self.orders.is_unread() || hears_by_folder {
            Some(READ_AGAIN)
        } else if self.orders.is_unsaved() {
            Some(WRITE_AGAIN)
        } else {
            Some(READ_BESIDE).filter(|_| self.has_other_process())
        }
    }
}

/// What came of looking for a process that runs already.
enum Dialled {
    Met(Stream),
    Nobody,
    /// It could not be tried for want of something on this machine.
    Shortage,
}

/// How an exchange ended.
#[derive(PartialEq)]
enum Ended {
    Gone,
    /// This process met itself.
    Itself,
}
