//! Versions of the program side by side, and what must outlast an upgrade. It owns all that lies
//! in `$TMPDIR`: a Unix socket, by which each process knows from its end that another lives and what
//! it holds, and a file for each database host that operators left out or took back. It must never
//! hinder a start: what is left over or cannot be read is logged, and the program goes on without.

use super::admission::Admission;
use super::core::Core;
use super::hosts::Hosts;
use super::world::{self, Listener, Spawner, Stream};
use super::{Held, complain};
use crate::Micros;
use crate::mutants;
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
const HOSTS: &str = "hosts";
/// Processes tell each other what they hold, and look for orders that another took, this often: well inside the grace of
/// a drain.
const EXCHANGE: Duration = Duration::from_millis(50);
/// A process that has said nothing for this long is not counted on to serve. It still holds what it held.
const SILENT: Duration = Duration::from_secs(2);
/// What another process may have said that is not read: some lines.
const MOST_LINES: usize = 64 * 1024;
/// An order that could not be read is read again this often.
const READ_AGAIN: Duration = Duration::from_millis(50);
/// The wait before another process is accepted, or dialled, again where the machine lacks something.
const SHORTAGE_WAIT: Duration = Duration::from_millis(20);
/// How often it is dialled then.
const DIALS: u32 = 100;
/// That a host was used again is of no more use after this long: it is warm.
const KEPT: Micros = 60_000_000;

/// What processes tell each other, as a line.
#[derive(Deserialize, Serialize)]
struct Line {
    /// Tells processes apart; 0 from one of a version that does not say it.
    #[serde(default)]
    process: u64,
    #[serde(flatten)]
    held: Held,
}

/// Another process, while it lives.
struct Other {
    /// What it holds, with all that it knows of but this one.
    held: Held,
    /// When it last said so.
    heard: Instant,
}

pub struct Upgrade {
    dir: Option<PathBuf>,
    core: Rc<Core>,
    admission: Rc<Admission>,
    hosts: Rc<Hosts>,
    /// What each host's file said when it was last read or written.
    seen: RefCell<BTreeMap<String, String>>,
    /// Something in the folder could not be read, and has to be.
    unread: Cell<bool>,
    /// Tells this process from others.
    process: u64,
    /// The other processes, by the number of the meeting.
    others: RefCell<BTreeMap<u64, Other>>,
    meetings: Cell<u64>,
    /// A later process has put its socket in the place of this one's.
    is_superseded: Cell<bool>,
    /// Told when another process has ended.
    ended: (Sender<()>, Receiver<()>),
}

impl Upgrade {
    pub fn new(dir: Option<PathBuf>, core: Rc<Core>, admission: Rc<Admission>, hosts: Rc<Hosts>) -> Upgrade {
        let upgrade = Upgrade {
            dir,
            core,
            admission,
            hosts,
            seen: RefCell::default(),
            unread: Cell::default(),
            process: world::lot(),
            others: RefCell::default(),
            meetings: Cell::default(),
            is_superseded: Cell::default(),
            ended: async_channel::bounded(1),
        };
        if let Some(dir) = &upgrade.dir
            && let Err(e) = world::make_dirs(&dir.join(HOSTS))
        {
            info!(target: "upgrade", "{}: {e}; hosts left out by hand are forgotten with this process",
                dir.display()
            );
        }
        upgrade.read_hands(true);
        upgrade
    }

    // ---- The other processes ----

    /// Finds the process that runs already, if there is one, and takes its place at the socket.
    pub fn meet(self: &Rc<Upgrade>, executor: &Spawner) {
        let Some(dir) = self.dir.clone() else { return };
        if self.unread.get() {
            let upgrade = self.clone();
            executor.spawn(async move { upgrade.read_until_all_is_read().await });
        }
        let (upgrade, spawner, path) = (self.clone(), executor.clone(), dir.join(SOCKET));
        match self.dial(&path) {
            Dialled::Met(stream) => self.begin_exchange(stream, executor),
            Dialled::Nobody => {}
            Dialled::Shortage => {
                // Whoever is there is counted on until that is known.
                let number = self.meets();
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
        for _ in 0..DIALS {
            world::after(SHORTAGE_WAIT).await;
            match self.dial(path) {
                Dialled::Met(stream) => {
                    self.begin_exchange(stream, executor);
                    break;
                }
                Dialled::Nobody => break,
                Dialled::Shortage => {}
            }
        }
        self.parts(number);
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
        let (upgrade, spawner) = (self.clone(), executor.clone());
        executor.spawn(async move { upgrade.accept(&listener, &spawner).await });
    }

    /// Meets all later processes, for as long as the program runs.
    async fn accept(self: Rc<Upgrade>, listener: &Listener, executor: &Spawner) {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    info!(target: "upgrade", "a new process has started");
                    self.is_superseded.set(true);
                    self.begin_exchange(stream, executor);
                }
                Err(e) => {
                    complain(|| format!("upgrade: accepting: {e}"));
                    world::after(SHORTAGE_WAIT).await;
                }
            }
        }
    }

    fn begin_exchange(self: &Rc<Upgrade>, stream: Stream, executor: &Spawner) {
        let (upgrade, spawner, number) = (self.clone(), executor.clone(), self.meets());
        info!(target: "upgrade", "another process runs");
        let exchange = async move {
            let other = upgrade.exchange(&stream, number).await;
            drop(stream);
            upgrade.parts(number);
            if other == Ended::Gone {
                upgrade.meet_again(&spawner);
            }
        };
        executor.spawn(exchange);
    }

    /// Whoever stands between this process and the latest one has ended: the latest one is met directly.
    fn meet_again(self: &Rc<Upgrade>, executor: &Spawner) {
        let Some(dir) = self.dir.as_ref().filter(|_| self.is_superseded.get()) else { return };
        if let Dialled::Met(stream) = self.dial(&dir.join(SOCKET)) {
            self.begin_exchange(stream, executor);
        }
    }

    /// Another process is met: the number of the meeting.
    fn meets(&self) -> u64 {
        let number = self.meetings.get();
        self.meetings.set(number + 1);
        self.hears(number, Held::default());
        self.core.other_process(true);
        number
    }

    /// That meeting is over.
    fn parts(&self, number: u64) {
        if self.others.borrow_mut().remove(&number).is_none() {
            return;
        }
        info!(target: "upgrade", "the other process has ended");
        self.share_limits();
        self.core.other_process(self.accompanied());
        self.read_hands(false);
        let _ = self.ended.0.try_send(());
    }

    /// Tells the other process what this one holds and hears the same of it, until it ends. A process that is stopped
    /// for a while says nothing, and holds on to what it has.
    async fn exchange(&self, stream: &Stream, number: u64) -> Ended {
        let tell = async {
            loop {
                let line = Line { process: self.process, held: self.held_beside(number) };
                let Ok(mut line) = serde_json::to_vec(&line) else { return Ended::Gone };
                line.push(b'\n');
                if stream.write_all(&line).await.is_err() {
                    return Ended::Gone;
                }
                world::after(EXCHANGE).await;
            }
        };
        let read_hands = async {
            loop {
                self.read_hands(false);
                world::after(EXCHANGE).await;
            }
        };
        future::or(self.hear(stream, number), future::or(tell, read_hands)).await
    }

    async fn hear(&self, stream: &Stream, number: u64) -> Ended {
        let mut came = Vec::new();
        loop {
            let Some(end) = came.iter().position(|b| *b == b'\n') else {
                let read = stream.read_with(|part| came.extend(part)).await;
                // Guards against a line without an end.
                if !matches!(read, Ok(1..)) || came.len() > MOST_LINES {
                    return Ended::Gone;
                }
                continue;
            };
            match serde_json::from_slice::<Line>(&came[..end]) {
                Ok(line) if line.process == self.process => return Ended::Itself,
                Ok(line) => self.hears(number, line.held),
                Err(e) => {
                    info!(target: "upgrade", "the other process: {e}");
                    return Ended::Gone;
                }
            }
            came.drain(..=end);
        }
    }

    /// What this process holds, with all others but that of this meeting.
    fn held_beside(&self, number: u64) -> Held {
        let (clients, bytes) = self.admission.held();
        let ready = self.admission.unready().is_none();
        let own = Held { ready, clients, bytes, hosts: self.hosts.held() };
        let others = self.others.borrow();
        others.iter().filter(|(n, _)| **n != number).fold(own, |sum, (_, other)| sum.with(&other.held))
    }

    /// Another process says what it holds.
    fn hears(&self, number: u64, held: Held) {
        self.others.borrow_mut().insert(number, Other { held, heard: world::now() });
        self.share_limits();
    }

    /// All together stay inside the limits: what nobody holds is shared out evenly.
    fn share_limits(&self) {
        let others = self.others.borrow().values().map(|o| o.held).reduce(|sum, held| sum.with(&held));
        self.admission.share(others);
        self.hosts.share(others);
    }

    /// Whether another process lives.
    pub fn accompanied(&self) -> bool {
        !self.others.borrow().is_empty()
    }

    /// Whether another process takes clients.
    pub fn relieved(&self) -> bool {
        self.others.borrow().values().any(|o| o.held.ready && world::since(o.heard) < SILENT)
    }

    /// Connections to other processes that are open.
    pub fn meetings(&self) -> usize {
        self.others.borrow().len()
    }

    /// Returns once no other process lives.
    pub async fn alone(&self) {
        while self.accompanied() {
            let _ = self.ended.1.recv().await;
        }
    }

    // ---- Hosts by hand ----

    /// Leaves a database host out, or uses it again, here and in the other process; the error is why not.
    /// It is in the file before this returns.
    pub fn by_hand(&self, name: &str, out: bool) -> Result<(), String> {
        if self.core.is_out(name) == out {
            return Ok(());
        }
        let since = self.core.clock.now();
        let text = format!("{} {since}", if out { "down" } else { "up" });
        if let Some(dir) = &self.dir {
            let dir = dir.join(HOSTS);
            // It may not have been possible at the start.
            let _ = world::make_dirs(&dir);
            let (path, next) = (dir.join(file_name(name)), dir.join(format!(".{}", world::lot())));
            let put = world::put_whole(&path, &next, &text);
            put.map_err(|e| format!("{}: {e}", path.display()))?;
            self.seen.borrow_mut().insert(name.to_string(), text);
        }
        info!(target: "upgrade", "{name} is {} by hand", if out { "left out" } else { "used again" });
        self.core.by_hand(name, out, since);
        Ok(())
    }

    /// Reads on until nothing is left that could not be read: guards against a host that comes back into use since its
    /// file could not be read at the start.
    async fn read_until_all_is_read(&self) {
        while self.unread.get() {
            world::after(READ_AGAIN).await;
            self.read_hands(false);
        }
    }

    /// Takes in what the files say that was not seen yet.
    fn read_hands(&self, starting: bool) {
        let Some(dir) = self.dir.as_ref().filter(|_| !mutants::on("files are not read")) else { return };
        let paths = match world::list(&dir.join(HOSTS)) {
            Ok(paths) => paths,
            Err(e) => {
                complain(|| format!("upgrade: {}: {e}; read again", dir.join(HOSTS).display()));
                return self.unread.set(true);
            }
        };
        let mut unread = false;
        for path in paths {
            let leave = || info!(target: "upgrade", "{}: unreadable, left as it is", path.display());
            let Some(name) = host_named(&path) else {
                if starting {
                    leave();
                }
                continue;
            };
            match world::read_text(&path).map(|text| Order::parse(&text).map(|order| (text, order))) {
                Ok(Some((text, order))) => self.take_order(&path, &name, text, order),
                Ok(None) if starting => leave(),
                Ok(None) => {}
                Err(e) if e.kind() == io::ErrorKind::NotFound => {}
                Err(e) => {
                    unread = true;
                    complain(|| format!("upgrade: {}: {e}; read again", path.display()));
                }
            }
        }
        self.unread.set(unread);
    }

    /// An order that was not seen yet counts, whatever time it tells: it may be that of another clock.
    fn take_order(&self, path: &Path, name: &str, text: String, order: Order) {
        if self.seen.borrow().get(name) == Some(&text) {
            return;
        }
        self.seen.borrow_mut().insert(name.to_string(), text);
        let Order { out, since } = order;
        if out || self.core.is_out(name) || since + KEPT > self.core.clock.now() {
            info!(target: "upgrade", "{name} was {} by hand", if out { "left out" } else { "used again" });
            self.core.by_hand(name, out, since);
        } else {
            // Warm for long: it says nothing any more.
            let _ = world::remove(path);
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

/// What operators ordered of a host, as its file says.
struct Order {
    out: bool,
    since: Micros,
}

impl Order {
    fn parse(text: &str) -> Option<Order> {
        let (state, since) = text.split_once(' ')?;
        let out = match state {
            "down" => true,
            "up" => false,
            _ => return None,
        };
        Some(Order { out, since: since.parse().ok()? })
    }
}

/// A host's name as a file's: names are any text.
fn file_name(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

/// The host whose file this is.
fn host_named(path: &Path) -> Option<String> {
    let hex = path.file_name()?.to_str()?;
    let pairs = hex.as_bytes().chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok());
    String::from_utf8(pairs.collect::<Option<_>>()?).ok()
}
