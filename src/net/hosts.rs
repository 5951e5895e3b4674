//! Connections to database hosts: dialling, the idle pool, attempts and probes. It owns every such
//! connection and its descriptor, which is given back in one place, the drop of a `Slot`. It must
//! never choose a host, never send anything a second time by itself, and never put a connection
//! back before the host has said that it is ready for the next query.

mod connection;

use super::core::{Chore, Clock, Core, StreamedWrite};
use super::listing::{Listing, Status};
use super::world::{self, Spawner};
use super::{ResourceUsage, SharedLimit, read_into, timeout_at, warn_rate_limited};
use crate::invariants::{self, Denial, RequestStart, Start, Started};
use crate::mutants;
use crate::pg::{self, Backend, Column, ErrorFields, Passed, Passing, PlainError, Statement};
use crate::{HostId, HostReport, Micros, Outcome, Role};
use async_channel::Receiver;
pub use connection::CompletedAttempt;
use connection::{AFTERMATH, Answered, Broken, Connection, Slot, note_from};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

/// The pool is looked through this often for connections that ended or grew old.
const UPKEEP: Duration = Duration::from_millis(500);
/// Share of the idle limit after which a connection is no longer used: a request written to it as
/// the host closes it would end as a reset.
const FRESH: f64 = 0.8;
/// A host that gives or takes nothing of a long value for this long has broken off.
const STALLED: Duration = Duration::from_secs(15);
/// So much of the answer to a plain statement is held: what fits is passed on whole, and may still be asked for
/// elsewhere if it breaks off.
const MAX_PLAIN_ANSWER_BYTES: usize = 64 * 1024;
/// A dial that got no answer for this long tells that its host is out of reach, whatever time-out dials have: a
/// handshake takes some round trips, and reads that end before half of a long time-out would never find out.
const TELLS: Duration = Duration::from_millis(100);

struct Host {
    address: SocketAddr,
    idle: Vec<Connection>,
    /// When discovery first told that it drains or is gone.
    off_since: Option<Instant>,
}

/// What a request's task knows as its attempt is about to start.
#[derive(Clone, Copy)]
pub struct AttemptContext {
    /// Its client has closed the connection.
    pub client_disconnected: bool,
    pub request: RequestStart,
}

/// A connection on which one attempt may be written.
pub struct AttemptConnection {
    host_id: HostId,
    connection: Connection,
}

/// What the start of an attempt rests on, and when that was asked.
pub struct ApprovedStart {
    start: Start,
    at: Micros,
}

impl AttemptConnection {
    /// Writes a piece of a statement; an error also where the host takes nothing for long.
    pub async fn write(&mut self, mut piece: &[u8]) -> io::Result<()> {
        while !piece.is_empty() {
            let written = timeout_at(world::now() + STALLED, self.connection.stream.write(piece)).await;
            match written.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))? {
                0 => return Err(ErrorKind::WriteZero.into()),
                n => piece = &piece[n..],
            }
        }
        Ok(())
    }
}

/// An answer whose value is read as fast as its reader takes it.
pub struct StreamedValue {
    opened: AttemptConnection,
    pub column: Column,
    /// Bytes of the value, and those still to come.
    pub value_bytes: usize,
    left: usize,
    /// Until when its client waits, as long as nothing of it has come.
    until: Instant,
    /// Where it is that to a write.
    pub write: Option<StreamedWrite>,
}

impl StreamedValue {
    /// Bytes of the value that are still to come.
    pub fn remaining_bytes(&self) -> usize {
        self.left
    }

    /// Appends what has come of the value; 0 at its end, an error where it breaks off.
    pub async fn read_piece(&mut self, out: &mut Vec<u8>) -> io::Result<usize> {
        let c = &mut self.opened.connection;
        if self.left > 0 && c.inbox.is_empty() {
            let stalled = world::now() + STALLED;
            let until = if self.left == self.value_bytes { stalled.min(self.until) } else { stalled };
            let read = timeout_at(until, read_into(&c.stream, &mut c.inbox)).await;
            if read.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let n = c.inbox.move_to(out, self.left);
        self.left -= n;
        Ok(n)
    }
}

/// The answer to a plain statement, of which a part is still to come.
pub struct StreamedAnswer {
    opened: AttemptConnection,
    passing: Passing,
    /// What the answer tells of its server, so far.
    pub report: HostReport,
    /// What has come and is for the client.
    pub beginning: Vec<u8>,
    /// Its session is not as it was.
    changed: bool,
}

/// Why an answer to a plain statement goes on, or does not.
enum Step {
    /// Something came, or what is held is enough.
    On,
    Ready,
    Refused(ErrorFields),
}

impl StreamedAnswer {
    fn new(opened: AttemptConnection) -> StreamedAnswer {
        let (passing, report, beginning) = Default::default();
        StreamedAnswer { opened, passing, report, beginning, changed: false }
    }

    /// Takes what is here of the answer, or waits for more where nothing is; up to so many bytes in `out`.
    async fn step(&mut self, out: &mut Vec<u8>, most: usize) -> Result<Step, Broken> {
        let c = &mut self.opened.connection;
        let mut some = false;
        while out.len() < most {
            match self.passing.pass(&mut c.inbox, out).map_err(|e| Broken::Nonsense(e.0))? {
                Passed::Some => some = true,
                Passed::Starved if some => break,
                Passed::Starved => match read_into(&c.stream, &mut c.inbox).await {
                    Ok(1..) => some = true,
                    _ => return Err(Broken::Ended),
                },
                Passed::Note { name, value } => self.changed |= !note_from(&mut self.report, &name, &value),
                Passed::Refused(e) => return Ok(Step::Refused(e)),
                Passed::Ready(idle) => {
                    self.changed |= !idle;
                    return Ok(Step::Ready);
                }
            }
        }
        Ok(Step::On)
    }

    /// Appends what has come since; false at the end of the answer, an error where it breaks off.
    pub async fn read_piece(&mut self, out: &mut Vec<u8>) -> io::Result<bool> {
        let step = timeout_at(world::now() + STALLED, self.step(out, MAX_PLAIN_ANSWER_BYTES)).await;
        match step.unwrap_or(Err(Broken::Ended)) {
            Ok(Step::On) => Ok(true),
            Ok(Step::Ready) => Ok(false),
            Ok(Step::Refused(_)) => Err(ErrorKind::InvalidData.into()),
            Err(Broken::Ended | Broken::Silent) => Err(ErrorKind::UnexpectedEof.into()),
            Err(Broken::Nonsense(what)) => {
                warn_rate_limited(|| format!("hosts: {}: {what}", self.opened.connection.address));
                Err(ErrorKind::InvalidData.into())
            }
        }
    }
}

/// Owner of all connections to database hosts.
pub struct Hosts {
    core: Rc<Core>,
    hosts: RefCell<BTreeMap<HostId, Host>>,
    open: Rc<Cell<usize>>,
    most: SharedLimit,
    dial_timeout: Duration,
    fresh: Duration,
    drain_grace: Micros,
    /// The startup message of every session.
    startup: Vec<u8>,
}

impl Hosts {
    /// An owner of none yet, which opens sessions as this user in this database.
    pub fn new(core: Rc<Core>, most: usize, drain_grace: Micros, user: &str, database: &str) -> Hosts {
        let mut startup = Vec::new();
        pg::put_startup(&mut startup, user, database);
        Hosts {
            startup,
            hosts: RefCell::default(),
            open: Rc::default(),
            most: SharedLimit::new(most),
            dial_timeout: Duration::from_micros(core.dialect.dial_timeout_us),
            fresh: Duration::from_micros(core.dialect.keepalive_us).mul_f64(FRESH),
            drain_grace,
            core,
        }
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Connections that may be open.
    pub fn max_connections(&self) -> usize {
        self.most.get()
    }

    /// Another process holds so much of the limits, or none does any more.
    pub fn share_limit(&self, other: Option<ResourceUsage>) {
        self.most.share(self.open.get(), other.map(|o| o.hosts));
    }

    /// News of the list; `ids` are the numbers of its entries.
    pub fn listed(&self, ids: &[HostId], listing: &Listing) {
        let mut hosts = self.hosts.borrow_mut();
        for gone in self.core.forget() {
            hosts.remove(&gone);
        }
        let now = world::now();
        if listing.full {
            for (id, host) in hosts.iter_mut().filter(|(id, _)| !ids.contains(id)) {
                if host.off_since.is_none() {
                    debug!(target: "hosts", address = %host.address, number = id, "not listed any more");
                }
                host.off_since.get_or_insert(now);
                host.idle.clear();
            }
        }
        for (&id, e) in ids.iter().zip(&listing.entries) {
            if let Some(address) = e.socket.filter(|_| e.status != Status::Deleted) {
                let host =
                    hosts.entry(id).or_insert_with(|| Host { address, idle: Vec::new(), off_since: None });
                if host.address != address {
                    host.idle.clear();
                    host.address = address;
                }
            }
            let Some(host) = hosts.get_mut(&id) else { continue };
            if host.off_since.is_some() != (e.status != Status::Serving) {
                debug!(target: "hosts", host = %e.name, status = ?e.status, "listed anew");
            }
            match e.status {
                Status::Serving => host.off_since = None,
                Status::Draining => drop(host.off_since.get_or_insert(now)),
                Status::Deleted => {
                    host.off_since.get_or_insert(now);
                    host.idle.clear();
                }
            }
        }
    }

    /// One attempt at a statement that is whole, from the choice of a connection to the answer. `asks` is called once its
    /// connection is up. It ends at `until` at the latest; dropping the future closes the connection, which withdraws
    /// the attempt. `written` is called once the last byte is, and `heard` holds what its answer has told of the server
    /// so far.
    #[allow(clippy::too_many_arguments, reason = "all that an attempt depends on")]
    pub async fn attempt(
        &self, host_id: HostId, statement: &Statement, writes: bool, until: Micros,
        asks: impl Fn(Micros) -> AttemptContext, written: impl FnOnce(), heard: &Cell<HostReport>,
    ) -> CompletedAttempt {
        let deadline = self.core.clock.instant(until);
        let (opened, start) = match self.open(host_id, &statement.id, until, asks).await {
            Ok(opened) => opened,
            Err(outcome) => return CompletedAttempt::without_answer(outcome),
        };
        let extra = if mutants::on("patience grows") { 1_000 } else { 0 };
        let patience_ms = until.saturating_sub(start.at).div_ceil(1_000).max(1) + extra;
        let mut query = Vec::new();
        pg::put_query(&mut query, &statement.with_patience(patience_ms));
        // Its last byte must not go when the time that its head tells is true no longer; without it, nothing has run.
        let told_until = self.core.clock.instant(invariants::write_until(start.at));
        match timeout_at(deadline.min(told_until), opened.connection.stream.write_all(&query)).await {
            Some(Ok(())) => written(),
            Some(Err(_)) | None => return CompletedAttempt::without_answer(Outcome::ConnectFailed),
        }
        self.check_started(&opened, &start, &statement.id, patience_ms * 1_000, until);
        if statement.is_plain() {
            return self.plain_answer(opened, until, writes).await;
        }
        self.read_answer(opened, until, heard).await
    }

    /// Tells where an attempt that has been written must not have been.
    pub fn check_started(
        &self, opened: &AttemptConnection, start: &ApprovedStart, id: &str, patience: Micros,
        give_up_at: Micros,
    ) {
        let now = self.core.clock.now();
        let off_for = start.start.off_for.map(|off| off + now.saturating_sub(start.at));
        let started = Started { off_for, patience, give_up_at };
        if let Some(violation) = invariants::check_started(&start.start, &started, now) {
            let address = opened.connection.address;
            self.core.events.violated(violation, &format_args!("id {id:?} at {address}"));
        }
    }

    /// The answer to a plain statement: whole where it fits into what is held, else its beginning. Until then
    /// nothing of it is the client's, and the module may still ask elsewhere.
    async fn plain_answer(&self, opened: AttemptConnection, until: Micros, writes: bool) -> CompletedAttempt {
        let mut answer = StreamedAnswer::new(opened);
        let mut held = Vec::new();
        let whole = async {
            loop {
                match answer.step(&mut held, MAX_PLAIN_ANSWER_BYTES).await {
                    Ok(Step::On) if held.len() < MAX_PLAIN_ANSWER_BYTES => {}
                    other => return other,
                }
            }
        };
        let Some(ended) = timeout_at(self.core.clock.instant(until), whole).await else {
            return CompletedAttempt {
                report: answer.report,
                ..CompletedAttempt::without_answer(Outcome::Timeout)
            };
        };
        let (address, report) = (answer.opened.connection.address, answer.report);
        match ended {
            Ok(Step::On) => {
                answer.beginning = held;
                let plain_stream = Some(Box::new(answer));
                CompletedAttempt { report, plain_stream, ..CompletedAttempt::without_answer(Outcome::Ok) }
            }
            Ok(Step::Ready) if answer.passing.begun() => {
                self.return_plain_connection(answer);
                CompletedAttempt {
                    report,
                    plain_answer: Some(held),
                    ..CompletedAttempt::without_answer(Outcome::Ok)
                }
            }
            Ok(Step::Ready) => {
                warn_rate_limited(|| format!("hosts: {address}: an answer that holds nothing"));
                CompletedAttempt { report, ..CompletedAttempt::without_answer(Outcome::Error) }
            }
            Ok(Step::Refused(e)) => {
                // The session goes on behind its error, if it says so soon.
                let ready = async {
                    loop {
                        match answer.step(&mut held, MAX_PLAIN_ANSWER_BYTES).await {
                            Ok(Step::On) => {}
                            other => return matches!(other, Ok(Step::Ready)),
                        }
                    }
                };
                if timeout_at(world::now() + AFTERMATH, ready).await == Some(true) {
                    self.return_plain_connection(answer);
                }
                let outcome = match pg::plain_error(&e.code, writes) {
                    PlainError::Miss => Outcome::Unsuitable,
                    PlainError::Full => Outcome::Overloaded,
                    PlainError::Failed => Outcome::Error,
                    PlainError::Answer => {
                        let statement_error = Some(e);
                        return CompletedAttempt {
                            report,
                            statement_error,
                            ..CompletedAttempt::without_answer(Outcome::NotSent)
                        };
                    }
                };
                CompletedAttempt { report, ..CompletedAttempt::without_answer(outcome) }
            }
            Err(Broken::Nonsense(what)) => {
                warn_rate_limited(|| format!("hosts: {address}: {what}"));
                CompletedAttempt { report, ..CompletedAttempt::without_answer(Outcome::Error) }
            }
            Err(Broken::Ended | Broken::Silent) => {
                CompletedAttempt { report, ..CompletedAttempt::without_answer(Outcome::Reset) }
            }
        }
    }

    /// Keeps the connection of an answer that has ended, if its session is as it was.
    pub fn return_plain_connection(&self, answer: StreamedAnswer) {
        // Guards against a setting, or an open transaction, that the next client's statement would meet.
        if !answer.changed && answer.opened.connection.inbox.is_empty() {
            self.give_back(answer.opened.host_id, answer.opened.connection);
        }
    }

    /// A connection on which an attempt may be written, or the outcome that its lack amounts to. `asks` is called once it
    /// is up, however late: what the choice of the server rested on may be true no longer.
    pub async fn open(
        &self, host_id: HostId, id: &str, until: Micros, asks: impl Fn(Micros) -> AttemptContext,
    ) -> Result<(AttemptConnection, ApprovedStart), Outcome> {
        let deadline = self.core.clock.instant(until);
        let begun = world::now();
        let dialled = (begun + self.dial_timeout).min(deadline);
        let shortage = Cell::new(false);
        let connection = match timeout_at(dialled, self.connection(host_id, &shortage)).await {
            Some(connection) => connection?,
            // What this machine lacks says nothing of the host.
            None if shortage.get() => return Err(Outcome::NotSent),
            // Nothing was written, so it is no time-out. Guards against a lost host passing for a slow
            // one: a class whose time is shorter than the dial's would never show that it is out of
            // reach. A dial that was given too little time to tell proves nothing of the host.
            None if world::since(begun) < TELLS.min(self.dial_timeout / 2) => return Err(Outcome::NotSent),
            None => return Err(Outcome::ConnectFailed),
        };
        let at = self.core.clock.now();
        let AttemptContext { client_disconnected: client_left, request } = asks(at);
        let (off_for, drain_grace) = (self.off_for(host_id), self.drain_grace);
        let start = Start { off_for, drain_grace, client_left, request };
        if let Err(denial) = invariants::may_start(&start, at) {
            self.core.events.denied(id, denial);
            if denial != Denial::HostOff {
                self.give_back(host_id, connection);
            }
            return Err(Outcome::NotSent);
        }
        Ok((AttemptConnection { host_id, connection }, ApprovedStart { start, at }))
    }

    /// The answer to what was written, by this time at the latest. What it has told of the server counts, also where it
    /// does not end in time: guards against a primary that says it is none and is read from as one.
    pub async fn read_answer(
        &self, mut opened: AttemptConnection, until: Micros, heard: &Cell<HostReport>,
    ) -> CompletedAttempt {
        let soon = if mutants::on("an attempt is left behind") { 50_000 } else { Micros::MAX };
        let until = until.min(self.core.clock.now().saturating_add(soon));
        let (host_id, told) = (opened.host_id, Cell::new(false));
        // What binds is told at once, though the rest of the answer may never come.
        let waits = || {
            if heard.get().role == Some(Role::Replica) && !told.replace(true) {
                self.core.noted(host_id, heard.get());
            }
        };
        match timeout_at(self.core.clock.instant(until), opened.connection.answer(heard, waits)).await {
            Some(Answered::Whole(attempted, reusable)) => {
                if reusable {
                    self.give_back(opened.host_id, opened.connection);
                }
                attempted
            }
            Some(Answered::Long { report, column, value }) => {
                let until = self.core.clock.instant(until);
                let long =
                    StreamedValue { opened, column, value_bytes: value, left: value, until, write: None };
                let long_value = Some(Box::new(long));
                CompletedAttempt { report, long_value, ..CompletedAttempt::without_answer(Outcome::Ok) }
            }
            // Guards against a host that answers late, into the next request's connection.
            None if mutants::on("late answers stay") => {
                self.give_back(opened.host_id, opened.connection);
                CompletedAttempt::without_answer(Outcome::Timeout)
            }
            None if mutants::on("an attempt is left behind") => {
                std::mem::forget(opened);
                CompletedAttempt::without_answer(Outcome::Reset)
            }
            None => {
                CompletedAttempt { report: heard.get(), ..CompletedAttempt::without_answer(Outcome::Timeout) }
            }
        }
    }

    /// What comes behind the value of a long answer: the command's tag, if it ends as it should.
    pub async fn finish_value(&self, long: Box<StreamedValue>) -> Option<String> {
        let StreamedValue { opened: AttemptConnection { host_id, mut connection }, write, .. } = *long;
        let mut report = HostReport::default();
        let Backend::CommandComplete(tag) =
            timeout_at(world::now() + STALLED, connection.next(&mut report)).await??
        else {
            return None;
        };
        // The client waits for this only as long as it makes no difference.
        let ready = timeout_at(world::now() + AFTERMATH, connection.next(&mut report)).await.flatten();
        if let Some(mut write) = write {
            write.commit = report.position;
        }
        if report.role == Some(Role::Replica) {
            // The value was read long before: where it stood then says nothing of how far it is behind.
            self.core.noted(host_id, HostReport { position: None, ..report });
        }
        if ready == Some(Backend::ReadyForQuery) && connection.inbox.is_empty() {
            self.give_back(host_id, connection);
        }
        Some(tag)
    }

    /// Asks a host for its report.
    async fn probe(&self, host_id: HostId) {
        let by_when = world::now() + self.dial_timeout;
        let report = timeout_at(by_when, async {
            let mut connection = self.connection(host_id, &Cell::default()).await.ok()?;
            if !invariants::takes_new(self.off_for(host_id), self.drain_grace) {
                return None;
            }
            let mut query = Vec::new();
            pg::put_query(&mut query, "SHOW usage");
            connection.stream.write_all(&query).await.ok()?;
            let heard = Cell::default();
            let Answered::Whole(attempted, reusable) = connection.answer(&heard, || {}).await else {
                return None;
            };
            if reusable {
                self.give_back(host_id, connection);
            }
            let value = attempted.row?.value?;
            Some(self.parse_report(std::str::from_utf8(&value).ok()?))
        });
        let report = report.await.flatten();
        self.core.probed(host_id, report);
    }

    /// Reads `x0=1767225600.123,x1=1,util=0.61`.
    fn parse_report(&self, text: &str) -> HostReport {
        let d = &self.core.dialect;
        let get = |index: Option<usize>| {
            let name = d.fields.get(index?)?;
            let value = text.split(',').filter_map(|p| p.split_once('=')).find(|p| p.0.trim() == name)?.1;
            value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
        };
        HostReport {
            position: get(d.position).map(Clock::from_unix_s),
            role: get(d.role).map(|r| if r > 0.5 { Role::Primary } else { Role::Replica }),
            in_flight: get(d.in_flight),
        }
    }

    /// For how long the host has been known to drain, to be gone or to be left out, if it is.
    fn off_for(&self, host_id: HostId) -> Option<Micros> {
        let told = self.hosts.borrow().get(&host_id).and_then(|h| h.off_since);
        let told = told.map(|at| world::since(at).as_micros() as Micros);
        let since = self.core.out_since(host_id);
        let by_hand = since.map(|at| self.core.clock.now().saturating_sub(at));
        told.max(by_hand)
    }

    /// An idle connection that still stands, or a new one; or the outcome that its lack amounts to.
    /// `shortage` tells whether one could not be dialled for want of something on this machine.
    async fn connection(&self, host_id: HostId, shortage: &Cell<bool>) -> Result<Connection, Outcome> {
        let address = {
            let mut hosts = self.hosts.borrow_mut();
            let host = hosts.get_mut(&host_id).ok_or(Outcome::ConnectFailed)?;
            while let Some(connection) = host.idle.pop() {
                if connection.usable(self.fresh) {
                    return Ok(connection);
                }
            }
            host.address
        };
        // Our own want of a descriptor says nothing of the host's health.
        let slot = self.slot().ok_or(Outcome::NotSent)?;
        Connection::dial(address, slot, &self.startup, shortage).await
    }

    /// A descriptor for one more connection; where none is left, that of the longest idle one.
    fn slot(&self) -> Option<Slot> {
        if self.open.get() >= self.most.get() {
            let mut hosts = self.hosts.borrow_mut();
            let waiting = hosts.values_mut().filter(|h| !h.idle.is_empty());
            // The first of a pool has waited longest: the last is taken first.
            waiting.min_by_key(|h| h.idle[0].idle_since)?.idle.remove(0);
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(self.open.clone()))
    }

    fn give_back(&self, host_id: HostId, mut connection: Connection) {
        if self.off_for(host_id).is_some() {
            return;
        }
        let mut hosts = self.hosts.borrow_mut();
        let Some(host) = hosts.get_mut(&host_id) else { return };
        connection.idle_since = world::now();
        // Guards against keeping a connection to where the host no longer is.
        if connection.address == host.address {
            host.idle.push(connection);
        }
    }

    fn close_idle(&self, host_id: HostId) {
        self.hosts.borrow_mut().get_mut(&host_id).into_iter().for_each(|h| h.idle.clear());
    }

    /// Closes idle connections that ended or grew old, for as long as the program runs.
    pub async fn run_pool_maintenance(&self) {
        loop {
            world::after(UPKEEP).await;
            for host in self.hosts.borrow_mut().values_mut() {
                host.idle.retain(|c| c.usable(self.fresh));
            }
        }
    }

    /// Does what the module asks for beside requests, for as long as the program runs.
    pub async fn run_chores(self: Rc<Hosts>, todo: Receiver<Chore>, executor: Spawner) {
        while let Ok(chore) = todo.recv().await {
            match chore {
                Chore::CloseIdle(host_id) => self.close_idle(host_id),
                Chore::Probe(host_id) => {
                    let hosts = self.clone();
                    executor.spawn(async move { hosts.probe(host_id).await });
                }
            }
        }
    }
}
