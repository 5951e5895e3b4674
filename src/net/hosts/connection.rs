//! One connection to a database host: how it is opened, its messages, and the outcome that an answer amounts to. It owns
//! the descriptor, which is released in one place, the drop of a `ConnectionPermit`. It must never choose a host, and must
//! not use the pool.

use super::{StreamedAnswer, StreamedValue};
use crate::mutants;
use crate::net::core::Clock;
use crate::net::memory::AnswerMemory;
use crate::net::world::{self, Stream};
use crate::net::{read_into, timeout_at, warn_rate_limited};
use crate::pg::{self, Backend, Column, Decoded, ErrorFields, ReadBuffer, Row, code};
use crate::{HostReport, Outcome, Role};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long to wait, after the end of an answer, for the host's message that it is ready for the next query.
pub(super) const READY_TIMEOUT: Duration = Duration::from_millis(100);
/// What follows a row in an answer: its tag and the report on its host. It is read with the row.
const TRAILING_BYTES: usize = 1024;
/// The wait before another connect after this machine lacked a resource for one.
pub(super) const SHORTAGE_WAIT: Duration = Duration::from_millis(10);

/// The permit for one open connection. Its drop decrements the number of open connections.
pub(super) struct ConnectionPermit(pub(super) Rc<Cell<usize>>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        if mutants::on("descriptors are kept") {
            return;
        }
        self.0.set(self.0.get() - 1);
    }
}

/// An open connection to a database host, whose session has started.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) address: SocketAddr,
    pub(super) read_buffer: ReadBuffer,
    /// How much is read of a message for which no memory is reserved.
    pub(super) buffer_bytes: usize,
    /// When the connection was opened, or last returned to its pool.
    pub(super) idle_since: Instant,
    _permit: ConnectionPermit,
}

/// Why no usable message was read.
pub(super) enum ReadError {
    /// The connection ended or failed.
    Disconnected,
    /// No message came before the deadline.
    TimedOut,
    /// The host sent something that is not a message, or not one that is valid here.
    Protocol(String),
}

/// The result of an attempt.
pub struct CompletedAttempt {
    pub outcome: Outcome,
    /// What the answer reported about the host.
    pub report: HostReport,
    pub row: Option<Row>,
    /// An error of the statement itself, which any other host would return too.
    pub statement_error: Option<ErrorFields>,
    /// A row whose value is too long to hold in memory and is not read yet.
    pub long_value: Option<Box<StreamedValue>>,
    /// The complete answer to a plain statement.
    pub plain_answer: Option<Vec<u8>>,
    /// The beginning of the answer to a plain statement, with the connection on which the rest comes.
    pub plain_stream: Option<Box<StreamedAnswer>>,
}

impl CompletedAttempt {
    pub(super) fn without_answer(outcome: Outcome) -> CompletedAttempt {
        let (report, row, statement_error, long_value, plain_answer, plain_stream) = Default::default();
        CompletedAttempt { outcome, report, row, statement_error, long_value, plain_answer, plain_stream }
    }
}

/// Adds a parameter that a host has sent to the report about it. Returns false if it is none of the parameters that answers
/// carry, and so shows that a setting of the session has changed.
pub(super) fn apply_parameter(report: &mut HostReport, name: &str, value: &str) -> bool {
    match (name, value) {
        ("server_role", "writer") => report.role = Some(Role::Primary),
        ("server_role", "reader") => report.role = Some(Role::Replica),
        ("commit_clock", ms) => {
            let ahead_ms = if mutants::on("positions run ahead") { 3_000 } else { 0 };
            report.position = ms.parse().ok().map(|ms: u64| Clock::from_unix_ms(ms + ahead_ms));
        }
        ("usage" | "server_role", _) => {}
        _ => return false,
    }
    true
}

/// The answer to a query.
pub(super) enum Answer {
    /// The result of the attempt, and whether the connection may serve another one.
    Complete(CompletedAttempt, bool),
    /// A row with one long value, of which nothing is read yet.
    LongValue { report: HostReport, column: Column, value_bytes: usize },
}

impl Connection {
    /// Opens a connection and its session. Nothing of a request is written here, so the request has not run, whatever
    /// fails. While this machine lacks a resource for the connect, sets `shortage` and tries again.
    pub(super) async fn connect(
        address: SocketAddr, permit: ConnectionPermit, startup: &[u8], buffer_bytes: usize,
        shortage: &Cell<bool>,
    ) -> Result<Connection, Outcome> {
        let stream = loop {
            match Stream::connect(address).await {
                Ok(stream) => break stream,
                Err(e) if world::is_local_shortage(&e) => {
                    shortage.set(true);
                    warn_rate_limited(|| format!("hosts: {address}: connecting: {e}; trying again"));
                    world::after(SHORTAGE_WAIT).await;
                }
                Err(_) => return Err(Outcome::ConnectFailed),
            }
        };
        shortage.set(false);
        stream.no_delay().map_err(|_| Outcome::ConnectFailed)?;
        stream.limit_receive_buffer();
        let (read_buffer, idle_since) = (ReadBuffer::default(), world::now());
        let mut connection =
            Connection { stream, address, read_buffer, buffer_bytes, idle_since, _permit: permit };
        connection.stream.write_all(startup).await.map_err(|_| Outcome::ConnectFailed)?;
        loop {
            match connection.message().await {
                Ok(Backend::ReadyForQuery) => return Ok(connection),
                Ok(Backend::Error(e)) if e.code == code::TOO_MANY_CONNECTIONS => {
                    return Err(Outcome::Overloaded);
                }
                Ok(Backend::AuthenticationOk | Backend::ParameterStatus { .. } | Backend::Ignored) => {}
                Ok(other) => {
                    warn_rate_limited(|| {
                        format!("hosts: {address}: {other:?} at a session's start; the connect has failed")
                    });
                    return Err(Outcome::ConnectFailed);
                }
                Err(ReadError::Protocol(error)) => {
                    warn_rate_limited(|| format!("hosts: {address}: {error}; the connect has failed"));
                    return Err(Outcome::ConnectFailed);
                }
                Err(ReadError::Disconnected | ReadError::TimedOut) => return Err(Outcome::ConnectFailed),
            }
        }
    }

    /// Whether the connection has been idle for less than `max_idle`, has not ended, and has received nothing that no query
    /// asked for.
    pub(super) fn is_usable(&self, max_idle: Duration) -> bool {
        self.stream.is_idle() && self.read_buffer.is_empty() && world::since(self.idle_since) < max_idle
    }

    /// Reads the next message, which has to fit into the connection's own buffer.
    pub(super) async fn message(&mut self) -> Result<Backend, ReadError> {
        let memory = AnswerMemory::buffer_only(self.buffer_bytes);
        self.message_before(None, &memory, || {}).await
    }

    /// Reads the next message, before the deadline if there is one. A row for which there is no memory becomes a long one,
    /// whose value is not read. `on_wait` is called before each wait for more bytes.
    pub(super) async fn message_before(
        &mut self, deadline: Option<Instant>, memory: &AnswerMemory, on_wait: impl Fn(),
    ) -> Result<Backend, ReadError> {
        loop {
            match self.decode_message() {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => on_wait(),
                Err(e) => return Err(ReadError::Protocol(e.0)),
            }
            let Some(max_bytes) = self.receive_room(memory) else {
                return self.unbuffered_message();
            };
            let read = read_into(&self.stream, &mut self.read_buffer, max_bytes);
            let read = match deadline {
                Some(deadline) => timeout_at(deadline, read).await.ok_or(ReadError::TimedOut)?,
                None => read.await,
            };
            if !matches!(read, Ok(1..)) {
                return Err(ReadError::Disconnected);
            }
        }
    }

    fn decode_message(&mut self) -> Decoded<Backend> {
        pg::decode_backend(&mut self.read_buffer)
    }

    /// How much may be read: the rest of the message that has begun, with what may follow it. `None` if there is no memory
    /// for the message.
    pub(super) fn receive_room(&self, memory: &AnswerMemory) -> Option<usize> {
        let held = self.read_buffer.len();
        if let Some(message_bytes) = self.read_buffer.message_bytes().filter(|&b| b > self.buffer_bytes) {
            let wanted = message_bytes + TRAILING_BYTES;
            return memory.hold(wanted).then(|| wanted.saturating_sub(held).max(1));
        }
        Some(self.buffer_bytes.saturating_sub(held).max(1))
    }

    /// The message that has begun and for which there is no memory: a row whose value is streamed, or an error.
    fn unbuffered_message(&mut self) -> Result<Backend, ReadError> {
        let value_bytes = pg::decode_unbuffered_row(&mut self.read_buffer);
        value_bytes
            .map(Backend::LongRow)
            .ok_or_else(|| ReadError::Protocol("there is no memory for a message of an answer".into()))
    }

    /// Reads messages up to the next one that is not a parameter. Adds parameters to the report.
    pub(super) async fn next(&mut self, report: &mut HostReport) -> Option<Backend> {
        loop {
            match self.message().await.ok()? {
                Backend::ParameterStatus { name, value } => drop(apply_parameter(report, &name, &value)),
                Backend::Ignored => {}
                other => return Some(other),
            }
        }
    }

    /// Reads the answer to the query that was written, and holds it in `memory`. `on_wait` is called before each wait for more bytes, and `partial`
    /// holds what the answer has reported about the host so far. Once the answer is complete except for the message that
    /// the host is ready again, waits at most `READY_TIMEOUT` for that message.
    pub(super) async fn read_answer(
        &mut self, partial: &Cell<HostReport>, memory: &AnswerMemory, on_wait: impl Fn(),
    ) -> Answer {
        let (mut report, mut statement_error) = (HostReport::default(), None);
        let (mut column, mut value, mut row, mut error) = (None, None, None, None);
        let mut complete_since = None;
        let read_error = loop {
            if complete_since.is_none() && (row.is_some() || error.is_some()) {
                complete_since = Some(world::now()).filter(|_| !mutants::on("answers wait for readiness"));
            }
            let deadline = complete_since.map(|since| since + READY_TIMEOUT);
            match self.message_before(deadline, memory, &on_wait).await {
                Ok(Backend::ReadyForQuery) => break None,
                Ok(Backend::ParameterStatus { name, value }) => {
                    apply_parameter(&mut report, &name, &value);
                    // The caller uses `partial` when the attempt has timed out. A claim to be the primary is outdated by
                    // then, so only a replica's role is kept.
                    partial.set(HostReport {
                        role: report.role.filter(|role| *role == Role::Replica),
                        ..report
                    });
                }
                Ok(Backend::RowDescription(mut columns)) if columns.len() == 1 => column = columns.pop(),
                Ok(Backend::DataRow(mut values)) if values.len() == 1 && value.is_none() => {
                    value = values.pop();
                }
                Ok(Backend::LongRow(length)) if column.is_some() && value.is_none() && error.is_none() => {
                    // The answer is valid up to here. From the value's first byte on no further attempt is possible.
                    let Some(column) = column.take() else { continue };
                    return Answer::LongValue { report, column, value_bytes: length };
                }
                Ok(Backend::CommandComplete(tag)) => match (column.take(), value.take()) {
                    (Some(column), Some(value)) => row = Some(Row { column, value, tag }),
                    _ => break Some(ReadError::Protocol(format!("{tag} without one row of one column"))),
                },
                Ok(Backend::Error(e)) => error = Some(e),
                Ok(Backend::Ignored) => {}
                Ok(other) => break Some(ReadError::Protocol(format!("{other:?} in an answer"))),
                Err(e) => break Some(e),
            }
        };
        if let Some(ReadError::Protocol(error)) = &read_error {
            warn_rate_limited(|| format!("hosts: {}: {error}; the connection is closed", self.address));
        }
        let outcome = match (&error, &row, &read_error) {
            (Some(e), ..) => match e.code.as_str() {
                code::READ_ONLY | code::SNAPSHOT_TOO_OLD => Outcome::Unsuitable,
                code::TOO_MANY_CONNECTIONS => Outcome::Overloaded,
                // Guards against an invalid statement that is tried at one host after the other, and counts as a failure
                // of each.
                other if code::is_statement_error(other) => {
                    statement_error = error.take();
                    Outcome::NotSent
                }
                _ => Outcome::Error,
            },
            // The answer is complete up to its tag. What follows makes only the connection unusable.
            (None, Some(_), _) => Outcome::Ok,
            (None, None, Some(ReadError::Protocol(_))) => Outcome::Error,
            (None, None, Some(ReadError::Disconnected)) if mutants::on("a reset never ran") => {
                Outcome::ConnectFailed
            }
            (None, None, Some(ReadError::Disconnected)) => Outcome::Reset,
            (None, None, None | Some(ReadError::TimedOut)) => Outcome::Error,
        };
        let row = row.filter(|_| outcome == Outcome::Ok);
        // Guards against unrequested bytes that pass for the answer to the next request.
        let reusable = read_error.is_none() && self.read_buffer.is_empty();
        Answer::Complete(
            CompletedAttempt { report, row, statement_error, ..CompletedAttempt::without_answer(outcome) },
            reusable,
        )
    }
}
