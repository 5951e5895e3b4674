//! Connections to database hosts: connecting, the pools of idle connections, attempts and probes. This module owns every
//! such connection and its descriptor, which is released in one place, the drop of a `ConnectionPermit`. It calls the core
//! for the time and the lists of hosts, and reports to it what hosts say about themselves. It must never choose a host,
//! must never send a statement a second time by itself, and must never return a connection to its pool before the host has
//! reported that it is ready for the next query.

mod connection;
mod streaming;

use super::core::{Clock, Core, HostTask};
use super::listing::{Listing, Status};
use super::memory::AnswerMemory;
use super::scheduler::Spawner;
use super::world;
use super::{ResourceUsage, SharedLimit, timeout_at, warn_rate_limited};
use crate::invariants::{self, AttemptStart, Denial, RequestStart, StartedAttempt};
use crate::mutants;
use crate::pg::{self, Backend, PlainError};
use crate::statement::Statement;
use crate::{HostId, HostReport, Micros, Outcome, Role};
use async_channel::Receiver;
pub use connection::CompletedAttempt;
use connection::{Answer, Connection, ConnectionPermit, READY_TIMEOUT, ReadError, SHORTAGE_WAIT};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use streaming::{AnswerStep, max_plain_bytes};
pub use streaming::{StreamedAnswer, StreamedValue};
use tracing::debug;

/// The interval at which pools are searched for connections that ended or are too old.
const POOL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The share of a host's idle limit after which an idle connection is no longer used. A request that is written as the
/// host closes the connection would end as a reset.
const USABLE_IDLE_SHARE: f64 = 0.8;
/// A host that sends or accepts nothing of a long value for this long has broken it off.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// A statement of up to this length is copied, and so written at once.
const MAX_COPIED_STATEMENT_BYTES: usize = 2 * 1024;
/// A connect without an answer for this long shows that its host is out of reach, however long the connect timeout is. A
/// handshake takes a few round trips. With half of a long timeout as the only bound, reads with shorter deadlines would
/// never detect such a host.
const CONCLUSIVE_CONNECT: Duration = Duration::from_millis(100);
/// How long an attempt waits for one of the permitted connections while all are in use.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// The connections to one database host.
struct HostPool {
    address: SocketAddr,
    /// Idle connections, the longest idle first.
    idle: Vec<Connection>,
    /// When discovery first reported that the host drains or is removed.
    unavailable_since: Option<Instant>,
}

/// What the request's handler knows as an attempt is about to start.
#[derive(Clone, Copy)]
pub struct AttemptContext {
    /// Whether the client has closed its connection.
    pub client_disconnected: bool,
    pub request: RequestStart,
}

/// A connection on which one attempt may be written.
pub struct AttemptConnection {
    host: HostId,
    connection: Connection,
}

/// The conditions under which the start of an attempt was allowed, and when they were checked.
pub struct ApprovedStart {
    conditions: AttemptStart,
    checked_at: Micros,
}

impl AttemptConnection {
    /// Writes a complete statement, of which no part begins after `deadline`. A long one is not copied as a whole.
    async fn write_query(
        &mut self, statement: &Statement, patience_ms: u64, deadline: Instant,
    ) -> io::Result<()> {
        let mut beginning = Vec::new();
        let rest = pg::put_query_head(&mut beginning, statement, patience_ms);
        if beginning.len() + rest.len() < MAX_COPIED_STATEMENT_BYTES {
            beginning.extend_from_slice(rest);
            beginning.push(pg::TEXT_END);
            return self.write_before(&beginning, deadline).await;
        }
        self.write_before(&beginning, deadline).await?;
        self.write_before(rest, deadline).await?;
        self.write_before(&[pg::TEXT_END], deadline).await
    }

    /// Writes bytes, of which no part begins after `deadline`. Guards against a process that is held up at one part and
    /// writes the next ones all the same.
    pub async fn write_before(&mut self, mut bytes: &[u8], deadline: Instant) -> io::Result<()> {
        while !bytes.is_empty() {
            if world::now() >= deadline {
                return Err(ErrorKind::TimedOut.into());
            }
            match self.connection.stream.write(bytes).await? {
                0 => return Err(ErrorKind::WriteZero.into()),
                n => bytes = &bytes[n..],
            }
        }
        Ok(())
    }

    /// Writes a piece of a statement. Fails too if the host accepts nothing for `STALL_TIMEOUT`.
    pub async fn write(&mut self, mut piece: &[u8]) -> io::Result<()> {
        while !piece.is_empty() {
            let written = timeout_at(world::now() + STALL_TIMEOUT, self.connection.stream.write(piece)).await;
            match written.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))? {
                0 => return Err(ErrorKind::WriteZero.into()),
                n => piece = &piece[n..],
            }
        }
        Ok(())
    }
}

/// The owner of all connections to database hosts.
pub struct Hosts {
    core: Rc<Core>,
    pools: RefCell<BTreeMap<HostId, HostPool>>,
    /// The number of open connections, idle ones included.
    open: Rc<Cell<usize>>,
    limit: SharedLimit,
    connect_timeout: Duration,
    /// How long a connection may be idle and still be used.
    max_idle: Duration,
    drain_grace: Micros,
    /// How much each connection reads of a message for which no memory is reserved.
    buffer_bytes: usize,
    /// The startup message of every session.
    startup: Vec<u8>,
}

impl Hosts {
    /// An owner without connections. It will open at most `limit` of them, with sessions as `user` in `database`.
    pub fn new(
        core: Rc<Core>, limit: usize, buffer_bytes: usize, drain_grace: Micros, user: &str, database: &str,
    ) -> Hosts {
        let mut startup = Vec::new();
        pg::put_startup(&mut startup, user, database);
        Hosts {
            startup,
            pools: RefCell::default(),
            open: Rc::default(),
            limit: SharedLimit::new(limit),
            connect_timeout: Duration::from_micros(core.program_settings.dial_timeout_us),
            max_idle: Duration::from_micros(core.program_settings.keepalive_us).mul_f64(USABLE_IDLE_SHARE),
            drain_grace,
            buffer_bytes,
            core,
        }
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// The maximum number of open connections.
    pub fn max_connections(&self) -> usize {
        self.limit.get()
    }

    /// Shares the limit with the other processes on this machine, which together hold `others`; `None` if there are none.
    pub fn share_limit(&self, others: Option<ResourceUsage>) {
        self.limit.share(self.open.get(), others.map(|o| o.hosts));
    }

    /// Applies a message of discovery. `ids` are the numbers of its entries.
    pub fn apply_listing(&self, ids: &[HostId], listing: &Listing) {
        let mut pools = self.pools.borrow_mut();
        for forgotten in self.core.forget_removed_hosts() {
            pools.remove(&forgotten);
        }
        let now = world::now();
        if listing.full {
            for (id, pool) in pools.iter_mut().filter(|(id, _)| !ids.contains(id)) {
                if pool.unavailable_since.is_none() {
                    debug!(target: "hosts", address = %pool.address, number = id, "not in the list any more; \
                        gets no new attempts");
                }
                pool.unavailable_since.get_or_insert(now);
                pool.idle.clear();
            }
        }
        for (&id, entry) in ids.iter().zip(&listing.entries) {
            if let Some(address) = entry.socket.filter(|_| entry.status != Status::Deleted) {
                let pool = pools.entry(id).or_insert_with(|| HostPool {
                    address,
                    idle: Vec::new(),
                    unavailable_since: None,
                });
                if pool.address != address {
                    pool.idle.clear();
                    pool.address = address;
                }
            }
            let Some(pool) = pools.get_mut(&id) else { continue };
            if pool.unavailable_since.is_some() != (entry.status != Status::Serving) {
                debug!(target: "hosts", host = %entry.name, status = ?entry.status, "the host's status in the list changed");
            }
            match entry.status {
                Status::Serving => pool.unavailable_since = None,
                Status::Draining => drop(pool.unavailable_since.get_or_insert(now)),
                Status::Deleted => {
                    pool.unavailable_since.get_or_insert(now);
                    pool.idle.clear();
                }
            }
        }
    }

    /// Makes one attempt at a complete statement, from the choice of a connection to the answer. The attempt ends by
    /// `deadline`. Dropping the future closes the connection, which withdraws the attempt.
    ///
    /// `context` is called once the connection is open. `on_written` is called once the last byte is written. `partial`
    /// holds what the answer has reported about the host so far. The answer is held in `memory`.
    #[allow(clippy::too_many_arguments, reason = "all that an attempt depends on")]
    pub async fn attempt(
        &self, host: HostId, statement: &Statement, writes: bool, deadline: Micros,
        context: impl Fn(Micros) -> AttemptContext, on_written: impl FnOnce(), partial: &Cell<HostReport>,
        memory: &AnswerMemory,
    ) -> CompletedAttempt {
        let deadline_instant = self.core.clock.instant(deadline);
        let (mut attempt, start) = match self.open(host, &statement.id, deadline, context).await {
            Ok(opened) => opened,
            Err(outcome) => return CompletedAttempt::without_answer(outcome),
        };
        let extra_ms = if mutants::on("patience grows") { 1_000 } else { 0 };
        let patience_ms = deadline.saturating_sub(start.checked_at).div_ceil(1_000).max(1) + extra_ms;
        // The statement's head holds the time that is left. The last byte must not be written once that is outdated.
        // Without its last byte nothing of the statement has run.
        let write_deadline = self.core.clock.instant(invariants::write_deadline(start.checked_at));
        let write_deadline = deadline_instant.min(write_deadline);
        let write = attempt.write_query(statement, patience_ms, write_deadline);
        match timeout_at(write_deadline, write).await {
            Some(Ok(())) => on_written(),
            Some(Err(_)) | None => return CompletedAttempt::without_answer(Outcome::ConnectFailed),
        }
        self.check_started(&attempt, &start, &statement.id, patience_ms * 1_000, deadline);
        if statement.is_plain() {
            return self.read_plain_answer(attempt, deadline, writes, memory).await;
        }
        self.read_answer(attempt, deadline, partial, memory).await
    }

    /// Reports an invariant that a written attempt has broken, if any. `announced_time` is the time that the statement announces
    /// to its host, and `give_up_at` is when the attempt ends.
    pub fn check_started(
        &self, attempt: &AttemptConnection, start: &ApprovedStart, id: &str, announced_time: Micros,
        give_up_at: Micros,
    ) {
        let now = self.core.clock.now();
        let unavailable_for =
            start.conditions.unavailable_for.map(|before| before + now.saturating_sub(start.checked_at));
        let started = StartedAttempt { unavailable_for, announced_time, give_up_at };
        if let Some(violation) = invariants::check_started(&start.conditions, &started, now) {
            let address = attempt.connection.address;
            self.core.events.violated(violation, &format_args!("id {id:?} at {address}"));
        }
    }

    /// Reads the answer to a plain statement: the complete answer if it fits into `MAX_PLAIN_ANSWER_BYTES` and the memory,
    /// otherwise its beginning. Nothing is passed to the client before this returns, so that another attempt is still possible.
    async fn read_plain_answer(
        &self, attempt: AttemptConnection, deadline: Micros, writes: bool, memory: &AnswerMemory,
    ) -> CompletedAttempt {
        let mut answer = StreamedAnswer::new(attempt);
        let mut held = Vec::new();
        let read_held = async {
            let mut max_bytes = memory.buffer_bytes();
            loop {
                match answer.read_step(&mut held, max_bytes, memory).await {
                    Ok(AnswerStep::Progress) if held.len() < max_bytes => {}
                    Ok(AnswerStep::Progress) if max_bytes < max_plain_bytes(memory) => {
                        max_bytes = max_plain_bytes(memory);
                    }
                    other => return other,
                }
            }
        };
        let Some(end) = timeout_at(self.core.clock.instant(deadline), read_held).await else {
            return CompletedAttempt {
                report: answer.report,
                ..CompletedAttempt::without_answer(Outcome::Timeout)
            };
        };
        let (address, report) = (answer.attempt.connection.address, answer.report);
        match end {
            Ok(AnswerStep::Progress) => {
                answer.beginning = held;
                let plain_stream = Some(Box::new(answer));
                CompletedAttempt { report, plain_stream, ..CompletedAttempt::without_answer(Outcome::Ok) }
            }
            Ok(AnswerStep::Complete) if answer.forwarder.started() => {
                self.return_plain_connection(answer);
                CompletedAttempt {
                    report,
                    plain_answer: Some(held),
                    ..CompletedAttempt::without_answer(Outcome::Ok)
                }
            }
            Ok(AnswerStep::Complete) => {
                warn_rate_limited(|| format!("hosts: {address}: an empty answer; the attempt has failed"));
                CompletedAttempt { report, ..CompletedAttempt::without_answer(Outcome::Error) }
            }
            Ok(AnswerStep::Rejected(e)) => {
                // The session continues after the error if the host soon reports that it is ready. What else it sends is
                // dropped.
                let ready = async {
                    loop {
                        future::yield_now().await;
                        held.clear();
                        match answer.read_step(&mut held, memory.buffer_bytes(), memory).await {
                            Ok(AnswerStep::Progress) => {}
                            other => return matches!(other, Ok(AnswerStep::Complete)),
                        }
                    }
                };
                if timeout_at(world::now() + READY_TIMEOUT, ready).await == Some(true) {
                    self.return_plain_connection(answer);
                }
                let outcome = match pg::classify_plain_error(&e.code, writes) {
                    PlainError::Unsuitable => Outcome::Unsuitable,
                    PlainError::Overloaded => Outcome::Overloaded,
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
            Err(ReadError::Protocol(error)) => {
                warn_rate_limited(|| format!("hosts: {address}: {error}; the attempt has failed"));
                CompletedAttempt { report, ..CompletedAttempt::without_answer(Outcome::Error) }
            }
            Err(ReadError::Disconnected | ReadError::TimedOut) => {
                CompletedAttempt { report, ..CompletedAttempt::without_answer(Outcome::Reset) }
            }
        }
    }

    /// Returns the connection of a complete answer to its pool, if its session is unchanged.
    pub fn return_plain_connection(&self, answer: StreamedAnswer) {
        // Guards against a setting or an open transaction that would affect the next client's statement.
        if !answer.is_session_changed && answer.attempt.connection.read_buffer.is_empty() {
            self.return_to_pool(answer.attempt.host, answer.attempt.connection);
        }
    }

    /// Opens a connection on which an attempt may be written, or returns the outcome of the attempt that has none.
    /// `context` is called once the connection is open, however late: the conditions under which the host was chosen may
    /// have changed.
    pub async fn open(
        &self, host: HostId, id: &str, deadline: Micros, context: impl Fn(Micros) -> AttemptContext,
    ) -> Result<(AttemptConnection, ApprovedStart), Outcome> {
        let deadline = self.core.clock.instant(deadline);
        let started = world::now();
        let connect_deadline = (started + self.connect_timeout).min(deadline);
        let shortage = Cell::new(false);
        let connection = match timeout_at(connect_deadline, self.connection(host, &shortage)).await {
            Some(connection) => connection?,
            // A resource that this machine lacks says nothing about the host.
            None if shortage.get() => return Err(Outcome::NotSent),
            // Nothing was written, so this is not a timeout of the host. Guards against an unreachable host that passes
            // for a slow one: a class whose deadlines are shorter than the connect timeout would never show that the host
            // is out of reach. A connect that had too little time proves nothing about the host.
            None if world::since(started) < CONCLUSIVE_CONNECT.min(self.connect_timeout / 2) => {
                return Err(Outcome::NotSent);
            }
            None => return Err(Outcome::ConnectFailed),
        };
        let checked_at = self.core.clock.now();
        let AttemptContext { client_disconnected, request } = context(checked_at);
        let (unavailable_for, drain_grace) = (self.unavailable_for(host), self.drain_grace);
        let conditions = AttemptStart { unavailable_for, drain_grace, client_disconnected, request };
        if let Err(denial) = invariants::may_start(&conditions, checked_at) {
            self.core.events.denied(id, denial);
            if denial != Denial::HostOff {
                self.return_to_pool(host, connection);
            }
            return Err(Outcome::NotSent);
        }
        Ok((AttemptConnection { host, connection }, ApprovedStart { conditions, checked_at }))
    }

    /// Reads the answer to a statement that was written, until `deadline` at the latest. What the answer has reported
    /// about the host counts even if it does not end in time. Guards against a primary that reports that it is none and
    /// is still used as one.
    pub async fn read_answer(
        &self, mut attempt: AttemptConnection, deadline: Micros, partial: &Cell<HostReport>,
        memory: &AnswerMemory,
    ) -> CompletedAttempt {
        let max_wait = if mutants::on("an attempt is left behind") { 50_000 } else { Micros::MAX };
        let deadline = deadline.min(self.core.clock.now().saturating_add(max_wait));
        let (host, is_reported) = (attempt.host, Cell::new(false));
        // The report of a replica is passed to the core at once, since the rest of the answer may never come.
        let on_wait = || {
            if partial.get().role == Some(Role::Replica) && !is_reported.replace(true) {
                self.core.partial_answer(host, partial.get());
            }
        };
        let answer = attempt.connection.read_answer(partial, memory, on_wait);
        match timeout_at(self.core.clock.instant(deadline), answer).await {
            Some(Answer::Complete(completed, reusable)) => {
                if reusable {
                    self.return_to_pool(attempt.host, attempt.connection);
                }
                completed
            }
            Some(Answer::LongValue { report, column, value_bytes }) => {
                let first_byte_deadline = self.core.clock.instant(deadline);
                let long_value = StreamedValue {
                    attempt,
                    column,
                    value_bytes,
                    remaining: value_bytes,
                    first_byte_deadline,
                    write: None,
                };
                let long_value = Some(Box::new(long_value));
                CompletedAttempt { report, long_value, ..CompletedAttempt::without_answer(Outcome::Ok) }
            }
            // Without this mutant the connection is closed. Guards against a late answer of the host, which the next
            // request on the connection would take for its own.
            None if mutants::on("late answers stay") => {
                self.return_to_pool(attempt.host, attempt.connection);
                CompletedAttempt::without_answer(Outcome::Timeout)
            }
            None if mutants::on("an attempt is left behind") => {
                std::mem::forget(attempt);
                CompletedAttempt::without_answer(Outcome::Reset)
            }
            None => CompletedAttempt {
                report: partial.get(),
                ..CompletedAttempt::without_answer(Outcome::Timeout)
            },
        }
    }

    /// Reads what follows the value of a long answer. Returns the command's tag, or `None` if the answer breaks off.
    pub async fn finish_value(&self, value: Box<StreamedValue>) -> Option<String> {
        let StreamedValue { attempt: AttemptConnection { host, mut connection }, write, .. } = *value;
        let mut report = HostReport::default();
        let Backend::CommandComplete(tag) =
            timeout_at(world::now() + STALL_TIMEOUT, connection.next(&mut report)).await??
        else {
            return None;
        };
        // The client waits for this too, so the wait is too short to matter.
        let ready = timeout_at(world::now() + READY_TIMEOUT, connection.next(&mut report)).await.flatten();
        if let Some(mut write) = write {
            write.commit = report.position;
        }
        if report.role == Some(Role::Replica) {
            // The value was read long before, so the position of that time does not show how far the host lags now.
            self.core.partial_answer(host, HostReport { position: None, ..report });
        }
        if ready == Some(Backend::ReadyForQuery) && connection.read_buffer.is_empty() {
            self.return_to_pool(host, connection);
        }
        Some(tag)
    }

    /// Asks a host for a report about itself and passes it to the core.
    async fn probe(&self, host: HostId) {
        let deadline = world::now() + self.connect_timeout;
        let report = timeout_at(deadline, async {
            let mut connection = self.connection(host, &Cell::default()).await.ok()?;
            if !invariants::accepts_new_attempts(self.unavailable_for(host), self.drain_grace) {
                return None;
            }
            let mut query = Vec::new();
            pg::put_query(&mut query, "SHOW usage");
            connection.stream.write_all(&query).await.ok()?;
            let partial = Cell::default();
            let memory = AnswerMemory::buffer_only(self.buffer_bytes);
            let answer = connection.read_answer(&partial, &memory, || {}).await;
            let Answer::Complete(completed, reusable) = answer else {
                return None;
            };
            if reusable {
                self.return_to_pool(host, connection);
            }
            let value = completed.row?.value?;
            Some(self.parse_report(std::str::from_utf8(&value).ok()?))
        });
        let report = report.await.flatten();
        self.core.probe_finished(host, report);
    }

    /// Parses the answer to `SHOW usage`, such as `x0=1767225600.123,x1=1,util=0.61`. The settings name the fields.
    fn parse_report(&self, text: &str) -> HostReport {
        let settings = &self.core.program_settings;
        let field = |index: Option<usize>| {
            let name = settings.report_fields.get(index?)?;
            let value =
                text.split(',').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0.trim() == name)?.1;
            value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)
        };
        HostReport {
            position: field(settings.position_index).map(Clock::from_unix_s),
            role: field(settings.role_index).map(|r| if r > 0.5 { Role::Primary } else { Role::Replica }),
            in_flight: field(settings.in_flight_index),
        }
    }

    /// How long it has been known that the host drains, is removed or is left out by a manual override. `None` if none of
    /// these is true.
    fn unavailable_for(&self, host: HostId) -> Option<Micros> {
        let unavailable_since = self.pools.borrow().get(&host).and_then(|pool| pool.unavailable_since);
        let unavailable_by_list = unavailable_since.map(|at| world::since(at).as_micros() as Micros);
        let override_since = self.core.left_out_since(host);
        let unavailable_by_override = override_since.map(|at| self.core.clock.now().saturating_sub(at));
        unavailable_by_list.max(unavailable_by_override)
    }

    /// Returns an idle connection that is still usable, or a new one, or the outcome of an attempt that gets none. Sets
    /// `shortage` to whether the connect waits because this machine lacks a resource.
    async fn connection(&self, host: HostId, shortage: &Cell<bool>) -> Result<Connection, Outcome> {
        let give_up_at = world::now() + PERMIT_TIMEOUT;
        loop {
            let address = match self.take_idle(host)? {
                Ok(connection) => return Ok(connection),
                Err(address) => address,
            };
            if let Some(permit) = self.acquire_permit() {
                return Connection::connect(address, permit, &self.startup, self.buffer_bytes, shortage)
                    .await;
            }
            // A lack of descriptors in this process says nothing about the host's health. Guards against a request that
            // makes all its attempts in the moment in which every connection is in use.
            if world::now() >= give_up_at {
                return Err(Outcome::NotSent);
            }
            shortage.set(true);
            world::after(SHORTAGE_WAIT).await;
        }
    }

    /// Takes an idle connection to a host that is still usable; without one, returns the address to connect to.
    fn take_idle(&self, host: HostId) -> Result<Result<Connection, SocketAddr>, Outcome> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&host).ok_or(Outcome::ConnectFailed)?;
        while let Some(connection) = pool.idle.pop() {
            if connection.is_usable(self.max_idle) {
                return Ok(Ok(connection));
            }
        }
        Ok(Err(pool.address))
    }

    /// Acquires a permit for one more connection. If the limit is reached, the connection that has been idle for longest is
    /// closed first.
    fn acquire_permit(&self) -> Option<ConnectionPermit> {
        if self.open.get() >= self.limit.get() {
            let mut pools = self.pools.borrow_mut();
            let with_idle = pools.values_mut().filter(|pool| !pool.idle.is_empty());
            // The first connection of a pool has been idle for longest, since connections are taken from the end.
            with_idle.min_by_key(|pool| pool.idle[0].idle_since)?.idle.remove(0);
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit(self.open.clone()))
    }

    /// Returns a connection to its host's pool, unless the host drains, is removed or is left out.
    fn return_to_pool(&self, host: HostId, mut connection: Connection) {
        if self.unavailable_for(host).is_some() {
            return;
        }
        let mut pools = self.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&host) else { return };
        connection.idle_since = world::now();
        // Guards against keeping a connection to an address that the host has left.
        if connection.address == pool.address {
            pool.idle.push(connection);
        }
    }

    fn close_idle(&self, host: HostId) {
        self.pools.borrow_mut().get_mut(&host).into_iter().for_each(|pool| pool.idle.clear());
    }

    /// Closes idle connections that ended or are too old, for as long as the program runs.
    pub async fn run_pool_maintenance(&self) {
        loop {
            world::after(POOL_CHECK_INTERVAL).await;
            for pool in self.pools.borrow_mut().values_mut() {
                pool.idle.retain(|c| c.is_usable(self.max_idle));
            }
        }
    }

    /// Does the decision module's tasks that belong to no request, for as long as the program runs.
    pub async fn run_host_tasks(self: Rc<Hosts>, tasks: Receiver<HostTask>, executor: Spawner) {
        while let Ok(task) = tasks.recv().await {
            match task {
                HostTask::CloseIdle(host) => self.close_idle(host),
                HostTask::Probe(host) => {
                    let hosts = self.clone();
                    executor.spawn(async move { hosts.probe(host).await });
                }
            }
        }
    }
}
