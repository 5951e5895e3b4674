//! One connection to a database host: its dial, its messages, and what an answer amounts to. It owns the descriptor, which
//! is given back in one place, the drop of a `Slot`. It must never choose a host, nor know of the pool.

use super::{StreamedAnswer, StreamedValue};
use crate::mutants;
use crate::net::core::Clock;
use crate::net::world::{self, Stream};
use crate::net::{read_into, timeout_at, warn_rate_limited};
use crate::pg::{self, Backend, Column, ErrorFields, Inbox, Row, code};
use crate::{HostReport, Outcome, Role};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Behind the end of an answer this long is waited for the word that the host is ready again.
pub(super) const AFTERMATH: Duration = Duration::from_millis(100);
/// The wait before a connection is dialled again that could not be made for want of something on this machine.
const SHORTAGE_WAIT: Duration = Duration::from_millis(10);

/// A descriptor in the budget; dropping it gives it back.
pub(super) struct Slot(pub(super) Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        if mutants::on("descriptors are kept") {
            return;
        }
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a database host.
pub(super) struct Connection {
    pub(super) stream: Stream,
    pub(super) address: SocketAddr,
    pub(super) inbox: Inbox,
    pub(super) idle_since: Instant,
    _slot: Slot,
}

/// Why there was no usable message.
pub(super) enum Broken {
    /// The connection ended or failed.
    Ended,
    /// Nothing came in time.
    Silent,
    /// The host sent what is no message, or none that belongs here.
    Nonsense(String),
}

/// What came of an attempt.
pub struct CompletedAttempt {
    pub outcome: Outcome,
    pub report: HostReport,
    pub row: Option<Row>,
    /// What the host holds against the statement itself, as any other host would.
    pub statement_error: Option<ErrorFields>,
    /// A row that is served, and whose value is still to come.
    pub long_value: Option<Box<StreamedValue>>,
    /// The whole answer to a plain statement.
    pub plain_answer: Option<Vec<u8>>,
    /// The beginning of one, and where the rest comes from.
    pub plain_stream: Option<Box<StreamedAnswer>>,
}

impl CompletedAttempt {
    pub(super) fn without_answer(outcome: Outcome) -> CompletedAttempt {
        let (report, row, statement_error, long_value, plain_answer, plain_stream) = Default::default();
        CompletedAttempt { outcome, report, row, statement_error, long_value, plain_answer, plain_stream }
    }
}

/// Takes in a report of a host's; false if it is none of those that answers carry, but says that a setting of the
/// session has changed.
pub(super) fn note_from(report: &mut HostReport, name: &str, value: &str) -> bool {
    match (name, value) {
        ("server_role", "writer") => report.role = Some(Role::Primary),
        ("server_role", "reader") => report.role = Some(Role::Replica),
        ("commit_clock", ms) => {
            let ahead = if mutants::on("positions run ahead") { 3_000 } else { 0 };
            report.position = ms.parse().ok().map(|ms: u64| Clock::from_unix_ms(ms + ahead));
        }
        ("usage" | "server_role", _) => {}
        _ => return false,
    }
    true
}

/// What an answer turned out to be.
pub(super) enum Answered {
    /// With whether the connection may serve another.
    Whole(CompletedAttempt, bool),
    Long {
        report: HostReport,
        column: Column,
        value: usize,
    },
}

impl Connection {
    /// Opens a connection and its session. Nothing of a request is written here, so whatever goes
    /// wrong, the request has not run.
    pub(super) async fn dial(
        address: SocketAddr, slot: Slot, startup: &[u8], shortage: &Cell<bool>,
    ) -> Result<Connection, Outcome> {
        let stream = loop {
            match Stream::connect(address).await {
                Ok(stream) => break stream,
                Err(e) if world::is_local_shortage(&e) => {
                    shortage.set(true);
                    warn_rate_limited(|| format!("hosts: {address}: connecting: {e}"));
                    world::after(SHORTAGE_WAIT).await;
                }
                Err(_) => return Err(Outcome::ConnectFailed),
            }
        };
        shortage.set(false);
        stream.no_delay().map_err(|_| Outcome::ConnectFailed)?;
        stream.limit_receive_buffer();
        let (inbox, idle_since) = (Inbox::default(), world::now());
        let mut connection = Connection { stream, address, inbox, idle_since, _slot: slot };
        connection.stream.write_all(startup).await.map_err(|_| Outcome::ConnectFailed)?;
        loop {
            match connection.message().await {
                Ok(Backend::ReadyForQuery) => return Ok(connection),
                Ok(Backend::Error(e)) if e.code == code::TOO_MANY_CONNECTIONS => {
                    return Err(Outcome::Overloaded);
                }
                Ok(Backend::AuthenticationOk | Backend::ParameterStatus { .. } | Backend::Skipped) => {}
                Ok(other) => {
                    warn_rate_limited(|| format!("hosts: {address}: {other:?} at a session's start"));
                    return Err(Outcome::ConnectFailed);
                }
                Err(Broken::Nonsense(what)) => {
                    warn_rate_limited(|| format!("hosts: {address}: {what}"));
                    return Err(Outcome::ConnectFailed);
                }
                Err(Broken::Ended | Broken::Silent) => return Err(Outcome::ConnectFailed),
            }
        }
    }

    /// Whether it is young enough, and neither ended nor spoken on while nobody asked.
    pub(super) fn usable(&self, fresh: Duration) -> bool {
        self.stream.is_idle() && self.inbox.is_empty() && world::since(self.idle_since) < fresh
    }

    pub(super) async fn message(&mut self) -> Result<Backend, Broken> {
        self.message_by(None, || {}).await
    }

    /// The next message, where one comes by this time; `waits` is called before each wait for more of it.
    pub(super) async fn message_by(
        &mut self, when: Option<Instant>, waits: impl Fn(),
    ) -> Result<Backend, Broken> {
        loop {
            match pg::decode_backend(&mut self.inbox) {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => waits(),
                Err(e) => return Err(Broken::Nonsense(e.0)),
            }
            let more = read_into(&self.stream, &mut self.inbox);
            let more = match when {
                Some(when) => timeout_at(when, more).await.ok_or(Broken::Silent)?,
                None => more.await,
            };
            if !matches!(more, Ok(1..)) {
                return Err(Broken::Ended);
            }
        }
    }

    /// The next message that is more than a report; notes are taken in.
    pub(super) async fn next(&mut self, report: &mut HostReport) -> Option<Backend> {
        loop {
            match self.message().await.ok()? {
                Backend::ParameterStatus { name, value } => drop(note_from(report, &name, &value)),
                Backend::Skipped => {}
                other => return Some(other),
            }
        }
    }

    /// Reads the answer to the query that is out: what it amounts to, and whether the connection may serve another.
    /// `waits` is called before each wait for more of it. Once it is complete but for the word that the host is ready
    /// again, that is waited for only as long as it makes no difference.
    pub(super) async fn answer(&mut self, heard: &Cell<HostReport>, waits: impl Fn()) -> Answered {
        let (mut report, mut statement_error) = (HostReport::default(), None);
        let (mut column, mut value, mut row, mut refused) = (None, None, None, None);
        let mut complete_since = None;
        let ended = loop {
            if complete_since.is_none() && (row.is_some() || refused.is_some()) {
                complete_since = Some(world::now()).filter(|_| !mutants::on("answers wait for readiness"));
            }
            match self.message_by(complete_since.map(|since| since + AFTERMATH), &waits).await {
                Ok(Backend::ReadyForQuery) => break None,
                Ok(Backend::ParameterStatus { name, value }) => {
                    note_from(&mut report, &name, &value);
                    // Heard at the end of an attempt that waits out its time, a claim to be the primary is an old one.
                    heard.set(HostReport {
                        role: report.role.filter(|role| *role == Role::Replica),
                        ..report
                    });
                }
                Ok(Backend::RowDescription(mut columns)) if columns.len() == 1 => column = columns.pop(),
                Ok(Backend::DataRow(mut values)) if values.len() == 1 && value.is_none() => {
                    value = values.pop();
                }
                Ok(Backend::LongRow(length)) if column.is_some() && value.is_none() && refused.is_none() => {
                    // Checked up to here; from its first byte on there is no second try.
                    let Some(column) = column.take() else { continue };
                    return Answered::Long { report, column, value: length };
                }
                Ok(Backend::CommandComplete(tag)) => match (column.take(), value.take()) {
                    (Some(column), Some(value)) => row = Some(Row { column, value, tag }),
                    _ => break Some(Broken::Nonsense(format!("{tag} without one row of one column"))),
                },
                Ok(Backend::Error(e)) => refused = Some(e),
                Ok(Backend::Skipped) => {}
                Ok(other) => break Some(Broken::Nonsense(format!("{other:?} in an answer"))),
                Err(broken) => break Some(broken),
            }
        };
        if let Some(Broken::Nonsense(what)) = &ended {
            warn_rate_limited(|| format!("hosts: {}: {what}", self.address));
        }
        let outcome = match (&refused, &row, &ended) {
            (Some(e), ..) => match e.code.as_str() {
                code::READ_ONLY | code::SNAPSHOT_TOO_OLD => Outcome::Unsuitable,
                code::TOO_MANY_CONNECTIONS => Outcome::Overloaded,
                // Guards against a statement that makes no sense being tried at one host after the
                // other, and being held against each of them.
                other if code::blames_statement(other) => {
                    statement_error = refused.take();
                    Outcome::NotSent
                }
                _ => Outcome::Error,
            },
            // Whole up to its end: what comes behind it spoils the connection only.
            (None, Some(_), _) => Outcome::Ok,
            (None, None, Some(Broken::Nonsense(_))) => Outcome::Error,
            (None, None, Some(Broken::Ended)) if mutants::on("a reset never ran") => Outcome::ConnectFailed,
            (None, None, Some(Broken::Ended)) => Outcome::Reset,
            (None, None, None | Some(Broken::Silent)) => Outcome::Error,
        };
        let row = row.filter(|_| outcome == Outcome::Ok);
        // Guards against something unasked passing for the answer to the next request.
        let reusable = ended.is_none() && self.inbox.is_empty();
        Answered::Whole(
            CompletedAttempt { report, row, statement_error, ..CompletedAttempt::without_answer(outcome) },
            reusable,
        )
    }
}
