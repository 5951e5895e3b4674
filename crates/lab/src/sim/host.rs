//! Simulated database hosts: a process of each, what its group replicates, and what it does when it fails. It owns
//! the state of all hosts. It must never be kinder than the real ones: a replica shows no more than it has applied,
//! and turns writes away.

use super::check::{Book, Class, Effect, Need, State};
use super::plan::Family;
use super::world::{Us, World};
use crate::wire;
use futures_lite::future;
use sillfold::net::world::{self, Listener, Spawner, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Cores of a host, and sessions that it takes.
pub const CORES: usize = 4;
const SESSIONS: usize = 100;
/// Work that waits longer than this for a core is turned away.
const MOST_WAIT: Us = 600_000;
/// For how long a host lets a read wait for what it has not applied.
pub const CATCH_UP: Us = 100_000;
/// A message past this is none.
const MOST_MESSAGE: usize = 1 << 20;

/// What a host does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    /// Nothing.
    #[default]
    Well,
    /// It fails requests at once.
    Errors,
    /// It says what is no answer, or half of one.
    Garbage,
}

/// A host, whatever process runs there.
pub struct Host {
    /// Its name in the list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its group and room.
    pub group: usize,
    /// See there.
    pub zone: u8,
    /// Whether it takes writes.
    pub primary: bool,
    /// How far behind it applies.
    pub lag: Us,
    /// When its process started; 0 long ago.
    pub started: Us,
    /// Its state in the list.
    pub status: &'static str,
    /// What it does wrong, and how many times slower it works.
    pub mode: Mode,
    /// See there.
    pub slow: u64,
    /// Some of its sessions come up so late.
    pub late: Us,
    applied: Us,
    busy_until: [Us; CORES],
    sessions: usize,
}

/// All hosts, and what they share with discovery and clients.
pub struct Fleet {
    /// The world.
    pub world: Rc<World>,
    /// All hosts, by number.
    pub hosts: RefCell<Vec<Host>>,
    /// The rules.
    pub book: RefCell<Book>,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// How replicas treat reads that they are too far behind for.
    pub family: Family,
    /// Whether answers tell no position, but for a write's commit.
    pub blind: bool,
    /// Grows with each change of the list.
    pub index: Cell<u64>,
    keys: RefCell<BTreeMap<(usize, String), (Us, String)>>,
    serial: Cell<u64>,
}

/// A session's place at its host; dropping it gives it back.
struct Session(Rc<Fleet>, usize);

impl Drop for Session {
    fn drop(&mut self) {
        self.0.hosts.borrow_mut()[self.1].sessions -= 1;
    }
}

/// What a host knows of a request.
struct Asked<'a> {
    id: &'a str,
    class: Class,
    group: usize,
    after: Option<u64>,
    key: Option<&'a str>,
}

impl Fleet {
    /// A fleet in this world, of hosts that are well and warm.
    pub fn new(world: Rc<World>, book: Book, classes: Vec<Class>, family: Family, blind: bool) -> Fleet {
        let (hosts, keys) = (RefCell::default(), RefCell::default());
        let (index, serial) = (Cell::new(1), Cell::new(0));
        Fleet { world, hosts, book: RefCell::new(book), classes, family, blind, index, keys, serial }
    }

    /// One more host.
    pub fn add(&self, group: usize, zone: u8, address: SocketAddr, primary: bool) {
        let mut hosts = self.hosts.borrow_mut();
        let name = format!("s-{}", hosts.len());
        let (lag, started, status, mode, slow) = (20_000, 0, "SERVING", Mode::Well, 1);
        let (busy_until, sessions, applied) = ([0; CORES], 0, 0);
        hosts.push(Host {
            name,
            address,
            group,
            zone,
            primary,
            lag,
            started,
            status,
            mode,
            slow,
            late: 0,
            applied,
            busy_until,
            sessions,
        });
    }

    /// Changes a host, and tells discovery where that shows in the list.
    pub fn change(&self, host: usize, what: impl FnOnce(&mut Host)) {
        self.applied(host);
        what(&mut self.hosts.borrow_mut()[host]);
        self.index.set(self.index.get() + 1);
    }

    /// The host's process begins anew, with nothing in hand.
    pub fn begins(&self, host: usize, started: Us) {
        let h = &mut self.hosts.borrow_mut()[host];
        (h.busy_until, h.started) = ([0; CORES], started);
    }

    /// Up to where a host has applied its group's log; it never takes back what it has.
    fn applied(&self, host: usize) -> Us {
        let h = &mut self.hosts.borrow_mut()[host];
        h.applied = h.applied.max(self.world.now().saturating_sub(if h.primary { 0 } else { h.lag }));
        h.applied
    }

    /// From now on a host applies so far behind.
    pub fn lags(&self, host: usize, lag: Us) {
        self.applied(host);
        self.hosts.borrow_mut()[host].lag = lag;
    }

    /// When so much work, with all before it, is done; nothing where it would wait too long for a core.
    fn takes(&self, host: usize, work: f64) -> Option<Us> {
        let now = self.world.now();
        let h = &mut self.hosts.borrow_mut()[host];
        let core = h.busy_until.iter_mut().min()?;
        let begin = (*core).max(now);
        if begin > now + MOST_WAIT {
            return None;
        }
        *core = begin + (work * h.slow as f64) as Us;
        Some(*core)
    }

    /// A host's process, for as long as it lives.
    pub async fn serve(self: Rc<Fleet>, host: usize, listener: Listener, spawner: Spawner) {
        while let Ok(stream) = listener.accept().await {
            let (peer, number) = self.world.accepted();
            let fleet = self.clone();
            spawner.spawn(async move {
                fleet.hosts.borrow_mut()[host].sessions += 1;
                let session = Session(fleet.clone(), host);
                let _ = fleet.converse(host, &stream, peer, number).await;
                drop(session);
            });
        }
    }

    async fn converse(
        self: &Rc<Fleet>, host: usize, stream: &Stream, peer: usize, number: u64,
    ) -> std::io::Result<()> {
        let mut came = Vec::new();
        loop {
            if came.len() >= 4 {
                let len = u32::from_be_bytes([came[0], came[1], came[2], came[3]]) as usize;
                if came.len() >= len.max(8) {
                    came.drain(..len.max(8));
                    break;
                }
            }
            if stream.read_with(|part| came.extend(part)).await? == 0 {
                return Ok(());
            }
        }
        let late = self.hosts.borrow()[host].late;
        if late > 0 && self.world.draw(2) == 0 {
            world::after(Duration::from_micros(late)).await;
        }
        if self.hosts.borrow()[host].sessions > SESSIONS {
            return stream.write_all(&wire::error("53300", "too many connections")).await;
        }
        let welcome =
            [wire::message(b'R', &[0; 4]), wire::status("server_version", "17.0"), wire::ready()].concat();
        stream.write_all(&welcome).await?;
        loop {
            let Some((kind, body)) = next(stream, &mut came).await? else { return Ok(()) };
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
            let answer = if text.trim() == "SHOW usage" {
                let (x0, x1) = (self.applied(host), u8::from(self.hosts.borrow()[host].primary));
                let x0 = (x0 as f64 / 1e3 + (self.world.unix_ms() - self.world.now() / 1_000) as f64) / 1e3;
                row(&format!("x0={x0:.3},x1={x1},util=0.1,queue=0"), "SHOW")
            } else {
                match self.request(host, &text, peer, number, stream).await {
                    Some(answer) => answer,
                    None => return Ok(()),
                }
            };
            stream.write_all(&answer).await?;
        }
    }

    /// One request; nothing where the connection is to end without an answer.
    async fn request(
        self: &Rc<Fleet>, host: usize, text: &str, peer: usize, number: u64, stream: &Stream,
    ) -> Option<Vec<u8>> {
        let w = &self.world;
        let Some(asked) = self.read(text) else {
            let what = format!("machine {peer} sent host {host} what is no request: {text:?}");
            self.book.borrow_mut().breaks("no answer nobody made", w.now(), what, &[]);
            return None;
        };
        let (class, id) = (asked.class, asked.id);
        w.note(|| format!("host {host} has {id} from machine {peer}"));
        let from = (peer, number, w.sent(number));
        let group = self.hosts.borrow()[host].group;
        if group != asked.group {
            let what = format!("{id} is for group {} and came to host {host} of {group}", asked.group);
            self.book.borrow_mut().breaks("no answer nobody made", w.now(), what, &[id]);
        }
        let held = |n| w.held_open(n);
        let index = self.book.borrow_mut().attempt(w.now(), id, &class, (host, group), from, held);
        let ended = |state| self.book.borrow_mut().ended(id, index, state);
        let refuse = |code: &str, why: &str| {
            ended(State::Refused);
            w.note(|| format!("host {host} turns {id} away: {why}"));
            Some(
                [wire::error(code, why), self.notes(host, self.applied(host), false), wire::ready()].concat(),
            )
        };
        let (mode, primary, started) = {
            let h = &self.hosts.borrow()[host];
            (h.mode, h.primary, h.started)
        };
        match mode {
            Mode::Well => {}
            Mode::Errors => {
                ended(State::Ran);
                return Some([wire::error("XX000", "a fast error"), wire::ready()].concat());
            }
            Mode::Garbage => {
                ended(State::Ran);
                let (whole, cut) = (row("half", "SELECT 1"), w.draw(40) as usize);
                let bytes = if w.draw(2) == 0 { vec![0xff; 1 + cut] } else { whole[..cut].to_vec() };
                let _ = stream.write_all(&bytes).await;
                return None;
            }
        }
        if class.need == Need::Write && !primary {
            return refuse("25006", "cannot execute INSERT in a read-only transaction");
        }
        let work = -class.work * (1.0 - w.lot()).ln();
        if started > 0 {
            self.book.borrow_mut().works(w.now(), host, started, work);
        }
        let fresh = |fleet: &Fleet| {
            let at = fleet.applied(host);
            match class.need {
                Need::Bounded(bound) => at + bound >= w.now(),
                Need::Mark => asked.after.is_none_or(|ms| at + 1_000 >= self.mark(ms)),
                Need::Any | Need::Write => true,
            }
        };
        let begun = w.now();
        while self.family != Family::Silent && !fresh(self) {
            if self.family == Family::Bounce || w.now() >= begun + CATCH_UP {
                return refuse("72000", "too far behind");
            }
            world::after(Duration::from_millis(5)).await;
        }
        let Some(done) = self.takes(host, work) else { return refuse("53300", "no slot is free") };
        // What was read is as of the beginning of the work.
        let position = self.applied(host);
        if !self.lasts(stream, done.saturating_sub(w.now())).await {
            // It ran all the same: where nobody waits any more, its work is done.
            ended(State::Ran);
            return None;
        }
        ended(State::Ran);
        self.serial.set(self.serial.get() + 1);
        let mut value = format!("v{host}.{}", self.serial.get());
        if let (Effect::Keyed(window), Some(key)) = (class.effect, asked.key) {
            let mut keys = self.keys.borrow_mut();
            let kept = keys.entry((group, key.to_string())).or_insert((w.now(), value.clone()));
            if w.now().saturating_sub(kept.0) > window {
                *kept = (w.now(), value.clone());
            }
            value = kept.1.clone();
        }
        self.book.borrow_mut().makes(&value, id, position);
        w.note(|| format!("host {host} answers {id} with {value}"));
        Some(row_with(
            &value,
            if class.need == Need::Write { "INSERT 0 1" } else { "SELECT 1" },
            &self.notes(host, position, class.need == Need::Write),
        ))
    }

    /// Waits as long as the work takes; false if whoever asked has left meanwhile.
    async fn lasts(&self, stream: &Stream, work: Us) -> bool {
        let done = async {
            world::after(Duration::from_micros(work)).await;
            true
        };
        let left = async {
            // Nobody asks twice before the answer.
            while let Ok(1..) = stream.read_with(|_| ()).await {}
            false
        };
        future::or(done, left).await
    }

    /// A mark in Unix milliseconds as a position.
    pub fn mark(&self, ms: u64) -> Us {
        let begin = self.world.unix_ms() - self.world.now() / 1_000;
        ms.saturating_sub(begin) * 1_000
    }

    /// What an answer tells of its host: its role, and the position of what was read, or of a write's commit.
    fn notes(&self, host: usize, position: Us, commit: bool) -> Vec<u8> {
        let role = if self.hosts.borrow()[host].primary { "writer" } else { "reader" };
        if self.blind && !commit {
            return wire::status("server_role", role);
        }
        let begin = self.world.unix_ms() - self.world.now() / 1_000;
        let position = begin + position / 1_000;
        [wire::status("server_role", role), wire::status("commit_clock", &position.to_string())].concat()
    }

    fn read<'a>(&self, text: &'a str) -> Option<Asked<'a>> {
        let (comment, _) = text.strip_prefix("/*")?.split_once("*/")?;
        let get = |name: &str| {
            comment
                .split(',')
                .filter_map(|p| p.split_once('='))
                .find(|p| p.0.trim() == name)
                .map(|p| p.1.trim())
        };
        let class = *self.classes.iter().find(|c| Some(c.name) == get("c"))?;
        let (after, key) = (get("after").and_then(|a| a.parse().ok()), get("k"));
        Some(Asked { id: get("id")?, class, group: get("cluster")?.parse().ok()?, after, key })
    }
}

/// The next message, or nothing at the end of the connection.
pub async fn next(stream: &Stream, came: &mut Vec<u8>) -> std::io::Result<Option<(u8, Vec<u8>)>> {
    loop {
        if came.len() >= 5 {
            let len = u32::from_be_bytes([came[1], came[2], came[3], came[4]]) as usize;
            if !(4..MOST_MESSAGE).contains(&len) {
                return Err(std::io::Error::other(format!("a message of {len} bytes")));
            }
            if came.len() > len {
                let message: Vec<u8> = came.drain(..=len).collect();
                return Ok(Some((message[0], message[5..].to_vec())));
            }
        }
        if stream.read_with(|part| came.extend(part)).await? == 0 {
            return Ok(None);
        }
    }
}

fn row(value: &str, tag: &str) -> Vec<u8> {
    row_with(value, tag, &[])
}

fn row_with(value: &str, tag: &str, notes: &[u8]) -> Vec<u8> {
    let parts = [wire::description(&["v"]), wire::row(&[Some(value)]), wire::complete(tag), notes.to_vec()];
    [parts.concat(), wire::ready()].concat()
}
