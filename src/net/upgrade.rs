//! The exchange between versions of the program that run side by side, during an upgrade or a rollback. The processes
//! connect through a Unix socket in `$TMPDIR`. Each one sends what it holds of the limits and which manual overrides it
//! knows, and learns from the end of a connection that the other process has ended. This module calls the admission of
//! clients and the owner of host connections to share their limits, and `host_overrides` to exchange overrides. It must
//! never prevent a start: what is not available is logged, and the program continues without it.

use super::admission::Admission;
use super::core::Core;
use super::host_overrides::{AppliedOverride, HostOverrides};
use super::hosts::Hosts;
use super::scheduler::Spawner;
use super::world::{self, Listener, Stream};
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

/// The name of the socket in `$TMPDIR`.
const SOCKET_NAME: &str = "sillfold.sock";
/// The interval at which processes send each other what they hold, and new overrides. It is well inside the grace of a
/// drain.
const SEND_INTERVAL: Duration = Duration::from_millis(50);
/// A process that has sent nothing for this long is not relied on to serve. What it held still counts as held.
const READY_EXPIRY: Duration = Duration::from_secs(2);
/// How long a new process waits for the processes that it found to report what they hold and which overrides they know.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum length of what another process has sent and this one has not parsed: several messages.
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// The maximum length of all host names in one message. Escaped as JSON, the message stays well below
/// `MAX_UNREAD_BYTES`.
const MAX_NAME_BYTES_PER_MESSAGE: usize = 4 * 1024;
/// The interval at which the folder is read while something in it could not be read, or while a process of an earlier
/// version runs beside this one, which sends no overrides.
const UNREAD_FOLDER_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which an override that could not be written is written again.
const WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which the folder is read while other processes run that send their overrides.
const SHARED_FOLDER_INTERVAL: Duration = Duration::from_secs(1);
/// How long no other process must have run until a process counts as alone. Where the process between two others ends,
/// these connect to each other well within this time.
const ALONE_TIME: Duration = Duration::from_secs(5);
/// The wait before another accept or connect after this machine lacked a resource for one.
const SHORTAGE_WAIT: Duration = Duration::from_millis(20);
/// The maximum number of retries of a connect to the process that may run already, while this machine lacks a resource for
/// the connect.
const MAX_CONNECTS: u32 = 100;

/// What a process sends to another one, as one line of JSON. Later versions may add keys.
#[derive(Serialize)]
struct Message {
    /// A number that differs from process to process.
    process: u64,
    #[serde(flatten)]
    held: ResourceUsage,
    /// Manual overrides that changed since the message before.
    #[serde(rename = "orders")]
    overrides: Vec<OverrideMessage>,
    /// Whether this process has sent all overrides that it knows and claimed the ids in use on this machine, and waits for
    /// no other process itself.
    complete: bool,
    /// Whether this version claims the ids of requests on this machine.
    claims_ids: bool,
}

/// The same message as it is received, from any version.
#[derive(Deserialize)]
struct ReceivedMessage {
    /// 0 from a process whose version does not send it.
    #[serde(default)]
    process: u64,
    #[serde(flatten)]
    held: ResourceUsage,
    /// `None` from a process whose version sends no overrides. Each override is parsed separately, so that an invalid one
    /// does not affect the others.
    #[serde(rename = "orders")]
    overrides: Option<Vec<serde_json::Value>>,
    #[serde(default)]
    complete: bool,
    /// False from a process whose version does not send it.
    #[serde(default)]
    claims_ids: bool,
}

/// The state of a connection to another process.
struct OtherProcess {
    /// What the other process holds, together with all processes that it knows except this one.
    held: ResourceUsage,
    /// When the last message of the other process was received.
    last_message: Instant,
    /// Whether the other process ran before this one. This process then waits for its introduction.
    is_earlier: bool,
    /// Whether the other process has sent everything that it holds and knows.
    is_introduced: bool,
    /// Whether the version of the other process sends manual overrides.
    sends_overrides: bool,
}

/// This process's part of the exchange with other processes.
pub struct Upgrade {
    dir: Option<PathBuf>,
    core: Rc<Core>,
    admission: Rc<Admission>,
    hosts: Rc<Hosts>,
    overrides: HostOverrides,
    /// A number that differs from process to process.
    process: u64,
    /// The other processes, by the number of the connection.
    others: RefCell<BTreeMap<u64, OtherProcess>>,
    /// The number of the next connection.
    next_connection: Cell<u64>,
    /// Whether a later process has replaced this one's socket by its own.
    is_superseded: Cell<bool>,
    /// Held while this process listens at a socket. A replacement closes the channel, which ends the task that accepts at the
    /// earlier socket.
    listening: RefCell<Option<Sender<()>>>,
    /// Notified when another process has ended.
    ended: (Sender<()>, Receiver<()>),
    /// Notified at each message of another process up to its introduction, and when another process has ended.
    introduced: (Sender<()>, Receiver<()>),
    /// Notified when the folder must be read.
    folder_due: (Sender<()>, Receiver<()>),
}

impl Upgrade {
    pub fn new(dir: Option<PathBuf>, core: Rc<Core>, admission: Rc<Admission>, hosts: Rc<Hosts>) -> Upgrade {
        Upgrade {
            overrides: HostOverrides::new(dir.as_deref(), core.clone()),
            dir,
            core,
            admission,
            hosts,
            process: world::unique_number(),
            others: RefCell::default(),
            next_connection: Cell::default(),
            is_superseded: Cell::default(),
            listening: RefCell::default(),
            ended: async_channel::bounded(1),
            introduced: async_channel::bounded(1),
            folder_due: async_channel::bounded(1),
        }
    }

    // ---- The other processes ----

    /// Connects to the process that runs already, if there is one, and replaces its socket by this process's.
    pub fn start(self: &Rc<Upgrade>, executor: &Spawner) {
        let Some(dir) = self.dir.clone() else { return };
        let upgrade = self.clone();
        executor.spawn(async move { upgrade.maintain_folder().await });
        let (upgrade, spawner, path) = (self.clone(), executor.clone(), dir.join(SOCKET_NAME));
        match self.connect(&path) {
            ConnectResult::Connected(stream) => self.start_exchange(stream, true, executor),
            ConnectResult::NoProcess => {}
            ConnectResult::Shortage => {
                // Assume that a process is there until a connect shows whether one is.
                let number = self.add_connection(true);
                executor.spawn(async move { upgrade.retry_start(number, &path, &spawner).await });
                return;
            }
        }
        self.listen(&path, executor);
    }

    fn connect(&self, path: &Path) -> ConnectResult {
        match Stream::connect_local(path) {
            Ok(stream) => ConnectResult::Connected(stream),
            Err(e) if e.kind() == io::ErrorKind::NotFound => ConnectResult::NoProcess,
            Err(e) if world::is_local_shortage(&e) => ConnectResult::Shortage,
            Err(e) => {
                info!(target: "upgrade", "{}: no process listens there: {e}; this one takes the socket over", path.display());
                ConnectResult::NoProcess
            }
        }
    }

    /// Connects again to the process that may run already, then listens, whatever the result.
    async fn retry_start(self: Rc<Upgrade>, number: u64, path: &Path, executor: &Spawner) {
        for _ in 0..MAX_CONNECTS {
            world::after(SHORTAGE_WAIT).await;
            match self.connect(path) {
                ConnectResult::Connected(stream) => {
                    self.start_exchange(stream, true, executor);
                    break;
                }
                ConnectResult::NoProcess => break,
                ConnectResult::Shortage => {}
            }
        }
        self.remove_connection(number);
        self.stop_sharing_ids(executor);
        self.listen(path, executor);
    }

    /// Listens at a socket of its own, which atomically replaces the socket of the process before.
    fn listen(self: &Rc<Upgrade>, path: &Path, executor: &Spawner) {
        let own_path = path.with_file_name(format!("{SOCKET_NAME}.{}", self.process));
        let listener = match Listener::local(path, &own_path) {
            Ok(listener) => listener,
            Err(e) => {
                return info!(target: "upgrade", "{}: {e}; the program goes on, but a new version will not find \
                    this process", own_path.display());
            }
        };
        // No process can find an earlier socket of this process any more, so the task that accepts there ends.
        let (listening, replaced) = async_channel::bounded(1);
        self.listening.replace(Some(listening));
        let (upgrade, spawner) = (self.clone(), executor.clone());
        executor.spawn(async move {
            future::or(upgrade.accept(&listener, &spawner), async { _ = replaced.recv().await }).await;
        });
    }

    /// Accepts connections of later processes, for as long as the program runs.
    async fn accept(self: Rc<Upgrade>, listener: &Listener, executor: &Spawner) {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    info!(target: "upgrade", "a new process has started");
                    self.is_superseded.set(true);
                    self.start_exchange(stream, false, executor);
                }
                Err(e) => {
                    warn_rate_limited(|| format!("upgrade: accepting: {e}"));
                    world::after(SHORTAGE_WAIT).await;
                }
            }
        }
    }

    fn start_exchange(self: &Rc<Upgrade>, stream: Stream, is_earlier: bool, executor: &Spawner) {
        let (upgrade, spawner, number) = (self.clone(), executor.clone(), self.add_connection(is_earlier));
        info!(target: "upgrade", "another process runs");
        let exchange = async move {
            let end = upgrade.exchange(&stream, number).await;
            drop(stream);
            upgrade.remove_connection(number);
            upgrade.stop_sharing_ids(&spawner);
            if end == ExchangeEnd::Disconnected {
                upgrade.connect_to_latest(&spawner);
            }
        };
        executor.spawn(exchange);
    }

    /// Connects to the latest process after a process between this one and the latest has ended. If no process listens,
    /// the latest one has ended, and this process listens again.
    fn connect_to_latest(self: &Rc<Upgrade>, executor: &Spawner) {
        let Some(dir) = self.dir.as_ref().filter(|_| self.is_superseded.get()) else { return };
        let path = dir.join(SOCKET_NAME);
        match self.connect(&path) {
            ConnectResult::Connected(stream) => self.start_exchange(stream, false, executor),
            ConnectResult::NoProcess => {
                self.is_superseded.set(false);
                self.listen(&path, executor);
            }
            ConnectResult::Shortage => {
                let (upgrade, spawner) = (self.clone(), executor.clone());
                executor.spawn(async move {
                    world::after(SHORTAGE_WAIT).await;
                    upgrade.connect_to_latest(&spawner);
                });
            }
        }
    }

    /// Adds a connection to another process. Returns the connection's number.
    fn add_connection(&self, is_earlier: bool) -> u64 {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        let other = OtherProcess {
            held: ResourceUsage::default(),
            last_message: world::now(),
            is_earlier,
            is_introduced: false,
            sends_overrides: true,
        };
        self.others.borrow_mut().insert(number, other);
        self.share_limits();
        self.admission.ids.share();
        self.core.set_other_process(true);
        let _ = self.folder_due.0.try_send(());
        number
    }

    /// Stops to claim ids on this machine once no other process has run for `ALONE_TIME`.
    fn stop_sharing_ids(self: &Rc<Upgrade>, executor: &Spawner) {
        if self.has_other_process() {
            return;
        }
        let (upgrade, last_connection) = (self.clone(), self.next_connection.get());
        executor.spawn(async move {
            world::after(ALONE_TIME).await;
            if !upgrade.has_other_process() && upgrade.next_connection.get() == last_connection {
                upgrade.admission.ids.stop_sharing();
            }
        });
    }

    /// Removes a connection whose other process has ended, if it was not removed before.
    fn remove_connection(&self, number: u64) {
        if self.others.borrow_mut().remove(&number).is_none() {
            return;
        }
        info!(target: "upgrade", "the other process has ended");
        self.share_limits();
        self.core.set_other_process(self.has_other_process());
        self.overrides.read_folder(false);
        self.overrides.save();
        let _ = self.folder_due.0.try_send(());
        let _ = self.ended.0.try_send(());
        let _ = self.introduced.0.try_send(());
    }

    /// Sends messages to the other process and receives its messages, until it ends. A process that is stopped for a while
    /// sends nothing, and what it held still counts as held.
    async fn exchange(&self, stream: &Stream, number: u64) -> ExchangeEnd {
        future::or(self.receive(stream, number), self.send(stream, number)).await
    }

    async fn send(&self, stream: &Stream, number: u64) -> ExchangeEnd {
        let mut sent_change = 0;
        loop {
            self.admission.ids.retry_file();
            // The other process serves clients once this one has sent a complete message.
            self.admission.ids.claim_earlier().await;
            let (overrides, last) = match self.overrides.last_change() {
                last if last == sent_change || mutants::on("orders are not told") => (Vec::new(), last),
                _ => self.overrides.changed_after(sent_change, MAX_NAME_BYTES_PER_MESSAGE),
            };
            sent_change = last;
            let all_sent = sent_change == self.overrides.last_change();
            let held = self.held_except(number);
            let complete = all_sent && self.is_introduced();
            let message = Message { process: self.process, held, overrides, complete, claims_ids: true };
            let Ok(mut line) = serde_json::to_vec(&message) else {
                return ExchangeEnd::Disconnected;
            };
            line.push(b'\n');
            if stream.write_all(&line).await.is_err() {
                return ExchangeEnd::Disconnected;
            }
            if all_sent {
                world::after(SEND_INTERVAL).await;
            }
        }
    }

    async fn receive(&self, stream: &Stream, number: u64) -> ExchangeEnd {
        let mut unread = Vec::new();
        loop {
            let Some(end) = unread.iter().position(|b| *b == b'\n') else {
                let read = stream.read_with(|part| unread.extend(part)).await;
                // Guards against a line without an end.
                if !matches!(read, Ok(1..)) || unread.len() > MAX_UNREAD_BYTES {
                    return ExchangeEnd::Disconnected;
                }
                continue;
            };
            match serde_json::from_slice::<ReceivedMessage>(&unread[..end]) {
                Ok(message) if message.process == self.process => {
                    // This process has connected to its own socket, so no process is later. The flag is cleared before
                    // the other side of this connection ends, which would connect again.
                    self.is_superseded.set(false);
                    return ExchangeEnd::OwnSocket;
                }
                Ok(message) => self.apply(number, message),
                Err(e) => {
                    info!(target: "upgrade", "the other process sent an invalid message: {e}; its connection is closed");
                    return ExchangeEnd::Disconnected;
                }
            }
            unread.drain(..=end);
        }
    }

    /// What this process holds, together with all others except the one of this connection.
    fn held_except(&self, number: u64) -> ResourceUsage {
        let clients = self.admission.usage();
        let ready = self.admission.not_ready_reason().is_none();
        let own = ResourceUsage {
            ready,
            clients: clients.connections,
            bytes: clients.received_bytes,
            answer_bytes: clients.answer_bytes,
            hosts: self.hosts.open_connections(),
        };
        let others = self.others.borrow();
        others
            .iter()
            .filter(|(n, _)| **n != number)
            .fold(own, |sum, (_, other)| sum.combined_with(&other.held))
    }

    /// Applies a message of another process: its overrides and what it holds.
    fn apply(&self, number: u64, message: ReceivedMessage) {
        let sends_overrides = message.overrides.is_some();
        message.overrides.iter().flatten().for_each(|value| self.overrides.receive(value));
        let was_introduced = {
            let mut others = self.others.borrow_mut();
            let Some(other) = others.get_mut(&number) else { return };
            (other.held, other.last_message, other.sends_overrides) =
                (message.held, world::now(), sends_overrides);
            let was_introduced = other.is_introduced;
            if !was_introduced && !message.claims_ids {
                info!(target: "upgrade", "the version of the other process claims no ids: one may be served twice");
            }
            // A version that sends no overrides is introduced by its first message.
            other.is_introduced |= message.complete || !sends_overrides;
            was_introduced
        };
        self.share_limits();
        if !was_introduced {
            let _ = self.introduced.0.try_send(());
            let _ = self.folder_due.0.try_send(());
        }
    }

    /// Whether each process that ran before this one has sent everything that it holds and knows.
    fn is_introduced(&self) -> bool {
        self.others.borrow().values().all(|other| !other.is_earlier || other.is_introduced)
    }

    /// Returns once each process that ran before this one has sent everything that it holds and knows, or after
    /// `INTRODUCTION_TIMEOUT`: a process that hangs must not prevent a start. Guards against a first request to a host of
    /// which only the process before knows that it is left out, and against using a part of a limit that the process
    /// before holds.
    pub async fn wait_for_introductions(&self) {
        let introduced = async {
            while !self.is_introduced() {
                let _ = self.introduced.1.recv().await;
            }
        };
        if timeout_at(world::now() + INTRODUCTION_TIMEOUT, introduced).await.is_none() {
            info!(target: "upgrade", "the other process has not introduced itself in time; the start goes on");
        }
    }

    /// Shares the limits between the processes, so that all together stay inside them. What no process holds is divided
    /// evenly.
    fn share_limits(&self) {
        let others = self
            .others
            .borrow()
            .values()
            .map(|other| other.held)
            .reduce(|sum, held| sum.combined_with(&held));
        self.admission.share_limits(others);
        self.hosts.share_limit(others);
    }

    /// Whether another process runs.
    pub fn has_other_process(&self) -> bool {
        !self.others.borrow().is_empty()
    }

    /// Whether another process accepts clients.
    pub fn other_is_ready(&self) -> bool {
        self.others
            .borrow()
            .values()
            .any(|other| other.held.ready && world::since(other.last_message) < READY_EXPIRY)
    }

    /// The number of open connections to other processes.
    pub fn connections(&self) -> usize {
        self.others.borrow().len()
    }

    /// Returns once no other process runs.
    pub async fn wait_until_alone(&self) {
        while self.has_other_process() {
            let _ = self.ended.1.recv().await;
        }
    }

    // ---- Manual overrides ----

    /// Leaves a database host out, or uses it again, here and in other processes. The error says why the override failed;
    /// nothing has changed then.
    pub fn set_override(&self, host: &str, left_out: bool) -> Result<AppliedOverride, String> {
        self.overrides.set(host, left_out)
    }

    /// Reads the folder and writes what is missing there, whenever `folder_wait` or a notification says so, for as long as
    /// the program runs.
    async fn maintain_folder(&self) {
        loop {
            let due = async {
                match self.folder_wait() {
                    Some(wait) => world::after(wait).await,
                    None => future::pending().await,
                }
            };
            future::or(due, async { _ = self.folder_due.1.recv().await }).await;
            self.overrides.read_folder(false);
            self.overrides.save();
        }
    }

    /// The wait before the folder is read and written again. `None` if no other process could have changed it and
    /// nothing is missing.
    fn folder_wait(&self) -> Option<Duration> {
        let depends_on_folder = self.others.borrow().values().any(|other| !other.sends_overrides);
        if self.overrides.has_unread_files() || depends_on_folder {
            Some(UNREAD_FOLDER_INTERVAL)
        } else if self.overrides.has_unsaved() {
            Some(WRITE_RETRY_INTERVAL)
        } else {
            Some(SHARED_FOLDER_INTERVAL).filter(|_| self.has_other_process())
        }
    }
}

/// The result of a connect to the socket of a process that may run.
enum ConnectResult {
    Connected(Stream),
    NoProcess,
    /// This machine lacked a resource for the connect.
    Shortage,
}

/// How an exchange ended.
#[derive(PartialEq)]
enum ExchangeEnd {
    Disconnected,
    /// This process connected to its own socket.
    OwnSocket,
}
