//! Serves one request, from its arrival to its final answer; `RequestHandler::serve` is the sequence. The client's
//! connection belongs to `client_connection`, an attempt to `hosts`, and the order of answers to `client` and `pipeline`.
//! The handler must never choose a host or judge an outcome: it follows the directives of the core.

use super::admission::Admission;
use super::client_connection::{AbandonReason, ClientConnection};
use super::core::{Arrival, AttemptEnd, Core, Directive, Request, RequestHandle};
use super::events::{LateTimes, RefusalReason};
use super::hosts::{
    ApprovedStart, AttemptConnection, AttemptContext, CompletedAttempt, Hosts, StreamedAnswer, StreamedValue,
};
use super::memory::AnswerMemory;
use super::scheduler;
use super::statements::PlainRoute;
use super::upload::{IncomingStatement, LongUpload, UploadError};
use super::work;
use super::world::{self, Stream};
use crate::invariants::{self, Violation};
use crate::mutants;
use crate::pg::{self, ErrorFields, Row};
use crate::statement::Statement;
use crate::{HostId, HostReport, Micros, Outcome};
use futures_lite::future;
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// The size of the pieces in which a truncated value is padded to its length.
const PADDING_BYTES: usize = 4 * 1024;
/// The length of an error message of the proxy's own, rounded up.
const SHORT_ERROR_BYTES: usize = 128;
/// Once the stop's time is over, an answer that is streamed is broken off if its host sends nothing for this long.
const MAX_PAUSE_AFTER_CUT_OFF: Duration = Duration::from_millis(100);
/// A client that announces a longer wait counts as waiting this long.
const MAX_PATIENCE_MS: u64 = 60_000;

/// The final answer to a request.
pub enum FinalAnswer {
    /// The row of the request.
    Served(Row),
    /// The answer to a plain statement, with all of its results.
    Plain(Vec<u8>),
    /// The row and the end of the command were streamed to the client already.
    Streamed,
    /// The request has not run; the client may retry it after the delay.
    Refused { retry_in: Micros },
    /// The request may or may not have run.
    Failed,
    /// A database host rejected the statement itself.
    Rejected(ErrorFields),
}

impl FinalAnswer {
    /// The bytes of memory that the answer holds, or takes as messages if that is more.
    pub fn held_bytes(&self) -> usize {
        match self {
            FinalAnswer::Served(row) => row.held_bytes(),
            FinalAnswer::Plain(bytes) => bytes.capacity(),
            FinalAnswer::Rejected(fields) => fields.held_bytes(),
            FinalAnswer::Refused { .. } | FinalAnswer::Failed => SHORT_ERROR_BYTES,
            FinalAnswer::Streamed => 0,
        }
    }
}

/// The answer to a request, until its turn on the connection comes.
pub enum PendingAnswer {
    Complete(FinalAnswer),
    /// A row whose value is streamed as fast as the client reads it.
    StreamedRow(Box<StreamedValue>),
    /// The results of a plain statement, streamed as fast as the client reads them.
    StreamedResult(Box<StreamedAnswer>),
}

impl PendingAnswer {
    /// Whether the request is over at its host. A host may commit a write behind the value of its answer, so a request whose
    /// answer is still streamed is open, whatever of it has come.
    pub fn is_over(&self) -> bool {
        matches!(self, PendingAnswer::Complete(_)) || mutants::on("a value's head ends a write")
    }

    /// The bytes of memory that the answer holds, or takes as messages if that is more.
    pub fn held_bytes(&self) -> usize {
        match self {
            PendingAnswer::Complete(answer) => answer.held_bytes(),
            PendingAnswer::StreamedRow(value) => value.buffered_bytes(),
            PendingAnswer::StreamedResult(answer) => answer.buffered_bytes(),
        }
    }
}

/// The state of a client's connection, which its session shares with all the open requests of the connection. The session
/// polls these requests in its own task, so that no waker is needed.
pub struct ClientWatch {
    stream: Rc<Stream>,
    abandoned: Cell<Option<AbandonReason>>,
    /// A request asks the session to check the connection before the request starts another attempt.
    needs_check: Cell<bool>,
}

impl ClientWatch {
    pub fn new(stream: Rc<Stream>) -> ClientWatch {
        ClientWatch { stream, abandoned: Cell::default(), needs_check: Cell::default() }
    }

    /// Whether the client has closed the connection, as the operating system knows now: the end may not have been read
    /// yet.
    pub fn is_disconnected(&self) -> bool {
        let known = self.abandoned.get() == Some(AbandonReason::ClientDisconnected);
        known || (self.stream.is_hung_up() && !mutants::on("departures are not seen"))
    }

    /// Abandons all requests of the connection: no further attempt starts.
    pub fn abandon(&self, reason: AbandonReason) {
        self.abandoned.set(Some(reason));
    }

    /// Records that the session has checked the connection.
    pub fn checked(&self) {
        self.needs_check.set(false);
    }

    /// Whether a request waits for the connection to be checked.
    pub fn needs_check(&self) -> bool {
        self.needs_check.get()
    }

    /// Asks the session to check the connection, and returns once it has.
    async fn until_checked(&self) {
        self.needs_check.set(true);
        let waits = || self.needs_check.get() && self.abandoned.get().is_none();
        poll_fn(|_| if waits() { Poll::Pending } else { Poll::Ready(()) }).await;
    }

    /// Returns once the requests are abandoned.
    async fn until_abandoned(&self) -> AbandonReason {
        poll_fn(|_| self.abandoned.get().map_or(Poll::Pending, Poll::Ready)).await
    }
}

/// How a request handler watches its client.
pub enum ClientLink<'l, 'a> {
    /// The statement is complete. The session goes on reading from the connection.
    Complete(&'l ClientWatch),
    /// A part of the statement is still to come, or to be passed on. The request handler reads it itself.
    Uploading(IncomingStatement<'l, 'a>),
}

impl ClientLink<'_, '_> {
    /// The bytes of the statement that are not passed on yet.
    fn remaining(&self) -> usize {
        match self {
            ClientLink::Complete(_) => 0,
            ClientLink::Uploading(incoming) => incoming.remaining(),
        }
    }

    /// Returns once the session has checked the connection. Guards against a further attempt for a client that has
    /// disconnected.
    async fn until_checked(&self) {
        if let ClientLink::Complete(watch) = self {
            watch.until_checked().await;
        }
    }
}

/// When the client of a statement, whose last byte was received at `received_at`, stops waiting. The time that the answer
/// takes to the client is subtracted, since the answer has to arrive by then; at most half of the patience is.
pub fn give_up_at(statement: &Statement, received_at: Micros, response_margin: Micros) -> Micros {
    let patience = statement.deadline_ms.min(MAX_PATIENCE_MS) * 1_000;
    received_at + patience.saturating_sub(response_margin).max(patience / 2)
}

/// Serves one request.
pub struct RequestHandler<'l, 'a> {
    pub client: ClientLink<'l, 'a>,
    pub core: &'l Rc<Core>,
    pub hosts: &'l Rc<Hosts>,
    pub admission: &'l Rc<Admission>,
    /// The memory in which the answer is held.
    pub memory: &'l AnswerMemory,
    /// The time taken off the client's deadline for sending the answer back.
    pub response_margin: Micros,
    /// The commit position that the last answer reported, and how long the attempt took; of plain statements only.
    pub commit_and_duration: Option<(Option<Micros>, Duration)>,
}

/// One attempt, as the module directed it.
struct Attempt {
    host: HostId,
    number: u8,
    deadline: Micros,
    /// The start of the latency that the module receives. Set again after an upload, even a partial one.
    started: Instant,
    /// When the attempt started, in the module's time.
    started_at: Micros,
}

/// What ended the wait for an attempt.
enum AttemptEvent {
    Ended(CompletedAttempt),
    /// The module sent another directive.
    Directed(Directive),
    /// The upload of a long statement ended.
    Uploaded(Result<AttemptConnection, UploadError>),
    Abandoned(AbandonReason),
}

impl AttemptEvent {
    /// The outcome of the attempt.
    fn outcome(&self) -> Outcome {
        match self {
            AttemptEvent::Ended(attempted) => attempted.outcome,
            AttemptEvent::Uploaded(Err(UploadError::NoConnection(outcome))) => *outcome,
            AttemptEvent::Uploaded(_) | AttemptEvent::Directed(_) | AttemptEvent::Abandoned(_) => {
                Outcome::Cancelled
            }
        }
    }
}

/// What follows the end of an attempt.
enum NextStep {
    /// The request has ended with this answer.
    Done(Option<PendingAnswer>),
    /// Follow the module's next directive, which may have been received already.
    Follow(Option<Directive>),
}

impl RequestHandler<'_, '_> {
    /// Serves the request, and returns its answer. `None` if the client disconnected before the answer, or if the
    /// connection can't carry an answer any more. Records why an answer is late.
    pub async fn serve(
        &mut self, request: &Request, statement: &Statement, plain: Option<&PlainRoute>,
    ) -> Option<PendingAnswer> {
        let started = self.core.clock.now();
        let is_complete = self.client.remaining() == 0;
        let answer = self.serve_attempts(request, statement, plain).await;
        if answer.is_some() && is_complete {
            self.record_lateness(request, &statement.id, started);
        }
        answer
    }

    /// Records what took most of the time of a request whose answer comes after the client's deadline. `started` is when
    /// its serving began.
    fn record_lateness(&self, request: &Request, id: &str, started: Micros) {
        let now = self.core.clock.now();
        // The margin is the client's own time.
        let deadline = request.give_up_at + self.response_margin;
        if now <= deadline {
            return;
        }
        let Arrival { received_at, unread, turn_waits } = request.arrival;
        let turn = scheduler::waits().turns.saturating_sub(turn_waits).as_micros() as Micros;
        let times = LateTimes {
            unread: unread.as_micros() as Micros,
            not_started: started.saturating_sub(received_at),
            turn,
            hosts: now.saturating_sub(started).saturating_sub(turn),
        };
        self.core.events.late(id, now - deadline, times);
    }

    /// Follows the module's directives up to the answer.
    async fn serve_attempts(
        &mut self, request: &Request, statement: &Statement, plain: Option<&PlainRoute>,
    ) -> Option<PendingAnswer> {
        let (core, hosts) = (self.core, self.hosts);
        // Checked first, so that no request waits once the time allowed for the stop is over.
        if self.admission.is_cut_off() {
            return self.refuse(&statement.id, RefusalReason::Stopping, core.retry_in);
        }
        if !core.admits(request) {
            return self.refuse(&statement.id, RefusalReason::Headroom, core.retry_in);
        }
        let writes = plain.is_some_and(|p| p.writes);
        let handle = core.open(request, self.client.remaining() > 0);
        // Whether any attempt was written completely: a client may retry only what wasn't.
        let any_written = Cell::new(false);
        let on_written = || {
            any_written.set(true);
            core.count(request.class, |c| &mut c.backend_calls);
        };
        let watch = match &self.client {
            ClientLink::Complete(watch) => Some(*watch),
            ClientLink::Uploading { .. } => None,
        };
        let start_conditions = |now| AttemptContext {
            client_disconnected: watch.is_some_and(ClientWatch::is_disconnected),
            request: handle.start_conditions(now),
        };
        let mut received_directive = None;
        let mut last_outcome = None;
        let mut may_have_run = false;
        loop {
            let directive = match self.next_directive(&handle, statement, received_directive.take()).await {
                Ok(directive) => directive,
                Err(reason) => {
                    handle.abandon();
                    return self.abandoned_answer(reason, &statement.id, any_written.get());
                }
            };
            let (host, number, deadline) = match directive {
                Directive::Attempt { host, number, deadline } => (host, number, deadline),
                Directive::Refuse { retry_in } => {
                    self.check_refusal(request, &statement.id, may_have_run);
                    return self.refuse(&statement.id, RefusalReason::Module, retry_in);
                }
                Directive::Fail => return complete(FinalAnswer::Failed),
                // The attempt ended by itself just before the directive.
                Directive::Withdraw => continue,
            };
            if let Some(outcome) = last_outcome.take() {
                core.events.retried(&statement.id, outcome);
            }
            // What an answer that isn't complete yet has reported about its host.
            let partial_report = Cell::default();
            let started = world::now();
            let started_at = core.clock.micros(started);
            let mut attempt = Attempt { host, number, deadline, started, started_at };
            let remaining_before = self.client.remaining();
            // The first event ends the wait and drops the other futures. A dropped attempt closes its connection before
            // the module is told of the end, so that no two attempts can be in flight.
            let mut event = if remaining_before > 0 {
                self.upload(&attempt, &handle, statement).await
            } else {
                let attempt = pin!(hosts.attempt(
                    host,
                    statement,
                    writes,
                    deadline,
                    start_conditions,
                    on_written,
                    &partial_report,
                    self.memory
                ));
                self.until_attempt_event(attempt, &handle, statement).await
            };
            // The uploaded part of a statement isn't kept, so no other attempt can send it.
            let not_repeatable = self.client.remaining() < remaining_before;
            if not_repeatable {
                // The client's speed must not count as the host's latency.
                attempt.started = world::now();
            }
            if let AttemptEvent::Uploaded(Ok(opened)) = event {
                let give_up_at = self.give_up_at(request, statement);
                on_written();
                handle.complete(give_up_at);
                let answer = pin!(hosts.read_answer(opened, give_up_at, &partial_report, self.memory));
                event = self.until_attempt_event(answer, &handle, statement).await;
            }
            let outcome = event.outcome();
            may_have_run |= !outcome.never_ran();
            last_outcome = Some(outcome);
            let next_step = match event {
                AttemptEvent::Ended(attempted) => {
                    self.handle_attempt_end(attempted, &attempt, &handle, request, statement, not_repeatable)
                }
                AttemptEvent::Uploaded(Err(UploadError::NoConnection(outcome))) => {
                    if not_repeatable {
                        handle.mark_answered();
                    }
                    attempt.ended(&handle, outcome, HostReport::default());
                    let refused = || self.refuse(&statement.id, RefusalReason::NoConnection, core.retry_in);
                    if not_repeatable { NextStep::Done(refused()) } else { NextStep::Follow(None) }
                }
                AttemptEvent::Directed(directive) => {
                    if matches!(directive, Directive::Attempt { .. }) {
                        let about = format_args!("id {:?}", statement.id);
                        core.events.violated(Violation::SecondAttempt, &about);
                    }
                    attempt.ended(&handle, Outcome::Cancelled, partial_report.get());
                    NextStep::Follow(Some(directive))
                }
                AttemptEvent::Uploaded(_) => {
                    handle.abandon();
                    attempt.ended(&handle, Outcome::Cancelled, HostReport::default());
                    NextStep::Done(None)
                }
                AttemptEvent::Abandoned(reason) => {
                    handle.abandon();
                    attempt.ended(&handle, Outcome::Cancelled, partial_report.get());
                    NextStep::Done(self.abandoned_answer(reason, &statement.id, any_written.get()))
                }
            };
            match next_step {
                NextStep::Done(answer) => return answer,
                NextStep::Follow(directive) => received_directive = directive,
            }
            self.client.until_checked().await;
        }
    }

    /// When the client stops waiting, as far as its last byte has been received.
    fn give_up_at(&self, request: &Request, statement: &Statement) -> Micros {
        match &self.client {
            ClientLink::Complete(_) => request.give_up_at,
            ClientLink::Uploading(incoming) => {
                let last_byte_at = self.core.clock.micros(incoming.last_byte_at());
                give_up_at(statement, last_byte_at, self.response_margin)
            }
        }
    }

    /// The next directive: the one `received` already, or the module's next. An error if the request is abandoned first.
    async fn next_directive(
        &mut self, handle: &RequestHandle<'_>, statement: &Statement, received: Option<Directive>,
    ) -> Result<Directive, AbandonReason> {
        let abandoned = async { Err(self.until_abandoned(handle, statement).await) };
        let directed = async {
            match received {
                Some(directive) => Ok(directive),
                None => Ok(handle.next_directive().await),
            }
        };
        future::or(abandoned, directed).await
    }

    /// Returns once the request is abandoned. Meanwhile receives what is still to come of its statement, and tells the module
    /// when the client's time has begun.
    async fn until_abandoned(&mut self, handle: &RequestHandle<'_>, statement: &Statement) -> AbandonReason {
        let incoming = match &mut self.client {
            ClientLink::Complete(watch) => return watch.until_abandoned().await,
            ClientLink::Uploading(incoming) => incoming,
        };
        if incoming.remaining() == 0 {
            return incoming.connection.until_abandoned(true).await;
        }
        if let Some(reason) = incoming.receive_rest().await {
            return reason;
        }
        let last_byte_at = self.core.clock.micros(incoming.last_byte_at());
        handle.complete(give_up_at(statement, last_byte_at, self.response_margin));
        incoming.connection.until_abandoned(false).await
    }

    /// The answer to an abandoned request; `None` if its client has disconnected.
    fn abandoned_answer(&self, reason: AbandonReason, id: &str, any_written: bool) -> Option<PendingAnswer> {
        match reason {
            AbandonReason::ClientDisconnected => None,
            AbandonReason::CutOff if any_written => complete(FinalAnswer::Failed),
            AbandonReason::CutOff => self.refuse(id, RefusalReason::Stopping, self.core.retry_in),
        }
    }

    /// Refuses the request, which tells the client that a retry is harmless.
    fn refuse(&self, id: &str, reason: RefusalReason, retry_in: Micros) -> Option<PendingAnswer> {
        self.core.events.refused(id, reason);
        complete(FinalAnswer::Refused { retry_in })
    }

    /// Reports a broken invariant if the request is about to be refused, may have run, and must not run twice.
    fn check_refusal(&self, request: &Request, id: &str, may_have_run: bool) {
        let Some(idempotency) = self.core.idempotency(request) else { return };
        if !invariants::may_refuse(idempotency, may_have_run, request.plain) {
            self.core.events.violated(Violation::RefusedAfterRun, &format_args!("id {id:?}"));
        }
    }

    /// Reports the end of an attempt to the module, and returns the request's next step.
    fn handle_attempt_end(
        &mut self, attempted: CompletedAttempt, attempt: &Attempt, handle: &RequestHandle<'_>,
        request: &Request, statement: &Statement, not_repeatable: bool,
    ) -> NextStep {
        let CompletedAttempt {
            mut outcome,
            report,
            mut row,
            statement_error,
            long_value,
            plain_answer,
            plain_stream,
        } = attempted;
        if let Some(error) = statement_error {
            handle.mark_answered();
            attempt.ended(handle, outcome, report);
            return NextStep::Done(complete(FinalAnswer::Rejected(error)));
        }
        if let Some(mut value) = long_value {
            value.write = self.core.begin_streamed_write(request);
            // The attempt ends here for the module: a client that reads slowly must not count as a slow host.
            attempt.ended(handle, outcome, report);
            return NextStep::Done(Some(PendingAnswer::StreamedRow(value)));
        }
        if let Some(stream) = plain_stream {
            // As for a long row: the rest is as fast as the client reads it.
            self.commit_and_duration = Some((report.position, world::since(attempt.started)));
            attempt.ended(handle, outcome, report);
            return NextStep::Done(Some(PendingAnswer::StreamedResult(stream)));
        }
        if let Some(bytes) = plain_answer {
            self.commit_and_duration = Some((report.position, world::since(attempt.started)));
            attempt.ended(handle, outcome, report);
            return NextStep::Done(complete(FinalAnswer::Plain(bytes)));
        }
        let stale_outcome = || handle.stale_outcome(attempt.host, &report, attempt.started_at);
        if let Some(stale) = row.as_ref().filter(|_| !not_repeatable).and_then(|_| stale_outcome()) {
            outcome = stale;
            row = None;
        }
        if not_repeatable {
            handle.mark_answered();
        }
        attempt.ended(handle, outcome, report);
        match row {
            Some(row) => NextStep::Done(complete(FinalAnswer::Served(row))),
            None if not_repeatable && outcome.never_ran() => {
                let retry_in = self.core.retry_in;
                NextStep::Done(self.refuse(&statement.id, RefusalReason::NoConnection, retry_in))
            }
            None if not_repeatable => NextStep::Done(complete(FinalAnswer::Failed)),
            None => NextStep::Follow(None),
        }
    }

    /// Waits for the end of an attempt, the module's next directive or the request's abandonment. An answer that has been
    /// received takes precedence, for what it reports about its host; the connection is checked after it, before another
    /// attempt starts.
    async fn until_attempt_event(
        &mut self, attempt: Pin<&mut impl Future<Output = CompletedAttempt>>, handle: &RequestHandle<'_>,
        statement: &Statement,
    ) -> AttemptEvent {
        let ended = async { AttemptEvent::Ended(attempt.await) };
        let directed = async { AttemptEvent::Directed(handle.next_directive().await) };
        let abandoned = async { AttemptEvent::Abandoned(self.until_abandoned(handle, statement).await) };
        future::or(ended, future::or(directed, abandoned)).await
    }

    /// Streams a long statement to the attempt's host. The module's next directive, a client that leaves before the statement
    /// is begun, or the end of the stop's time ends the upload.
    async fn upload(
        &mut self, attempt: &Attempt, handle: &RequestHandle<'_>, statement: &Statement,
    ) -> AttemptEvent {
        let (core, hosts, admission) = (self.core, self.hosts, self.admission);
        let response_margin = self.response_margin;
        let upload = async {
            let (opened, start) = match self.open_for_upload(attempt, handle, statement).await {
                Ok(opened) => opened,
                Err(event) => return event,
            };
            let incoming = match &mut self.client {
                ClientLink::Uploading(incoming) => incoming,
                // A complete statement needs no upload.
                ClientLink::Complete(_) => return AttemptEvent::Uploaded(Ok(opened)),
            };
            let clock = &core.clock;
            let upload = LongUpload::new(hosts, clock, opened, statement, incoming, response_margin);
            AttemptEvent::Uploaded(upload.run(start).await)
        };
        let directed = async { AttemptEvent::Directed(handle.next_directive().await) };
        let cut_off = async {
            admission.until_cut_off().await;
            AttemptEvent::Abandoned(AbandonReason::CutOff)
        };
        future::or(upload, future::or(directed, cut_off)).await
    }

    /// Opens a connection for a long statement, and receives the statement meanwhile. An error is what ends the attempt.
    async fn open_for_upload(
        &mut self, attempt: &Attempt, handle: &RequestHandle<'_>, statement: &Statement,
    ) -> Result<(AttemptConnection, ApprovedStart), AttemptEvent> {
        let stream = match &self.client {
            ClientLink::Uploading(incoming) => Some(incoming.connection.stream()),
            ClientLink::Complete(_) => None,
        };
        let start_conditions = |now| AttemptContext {
            client_disconnected: stream.as_ref().is_some_and(|stream| stream.is_hung_up()),
            request: handle.start_conditions(now),
        };
        let hosts = self.hosts;
        let opened = async {
            let opened = hosts.open(attempt.host, &statement.id, attempt.deadline, start_conditions).await;
            opened.map_err(|outcome| AttemptEvent::Uploaded(Err(UploadError::NoConnection(outcome))))
        };
        let abandoned = async { Err(AttemptEvent::Abandoned(self.until_abandoned(handle, statement).await)) };
        // The client's connection is polled first. Guards against an attempt that starts for a client that has left.
        future::or(abandoned, opened).await
    }
}

fn complete(answer: FinalAnswer) -> Option<PendingAnswer> {
    Some(PendingAnswer::Complete(answer))
}

impl Attempt {
    /// Reports the end of the attempt to the module.
    fn ended(&self, handle: &RequestHandle<'_>, outcome: Outcome, note: HostReport) {
        let latency = world::since(self.started);
        handle.attempt_ended(AttemptEnd { host: self.host, number: self.number, outcome, latency, note });
    }
}

/// How the streaming of a value to the client ended.
pub enum StreamResult {
    /// The client has the value and the end of the command.
    Complete,
    /// The host broke off the value before any of it was written to the client.
    NothingSent,
    /// The host broke off the value, `missing` bytes before its end.
    BrokenOff { missing: usize },
    /// Writing to the client failed.
    ClientFailed,
}

/// Returns what `read` returns, a read of an answer that is streamed. Fails once the stop's time is over and nothing comes for
/// `MAX_PAUSE_AFTER_CUT_OFF`. Guards against a stop that waits for a host that stalls.
async fn read_streamed<T>(admission: &Admission, read: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let stalled = async {
        admission.until_cut_off().await;
        world::after(MAX_PAUSE_AFTER_CUT_OFF).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(read, stalled).await
}

/// Streams a value to the client as fast as the client reads it.
pub async fn stream_value(
    connection: &mut ClientConnection<'_>, hosts: &Hosts, mut value: Box<StreamedValue>,
    memory: &AnswerMemory,
) -> StreamResult {
    let length_before = connection.out.len();
    pg::put_long_row(&mut connection.out, &value.column, value.value_bytes);
    let admission = connection.admission();
    let mut any_sent = false;
    loop {
        match read_streamed(admission, value.read_piece(&mut connection.out, memory)).await {
            Ok(0) => break,
            Ok(_) => {}
            Err(_) if any_sent => return StreamResult::BrokenOff { missing: value.remaining_bytes() },
            Err(_) => {
                connection.out.truncate(length_before);
                return StreamResult::NothingSent;
            }
        }
        any_sent = true;
        if connection.flush().await.is_err() {
            return StreamResult::ClientFailed;
        }
    }
    let finished = async { hosts.finish_value(value).await.ok_or(io::ErrorKind::InvalidData.into()) };
    match read_streamed(admission, finished).await {
        Ok(tag) => {
            pg::put_command_complete(&mut connection.out, &tag);
            StreamResult::Complete
        }
        Err(_) => StreamResult::BrokenOff { missing: 0 },
    }
}

/// Pads a value that its host broke off to its announced length, so that other messages can follow it. The caller sends an
/// error in place of the command's end, which tells the client that the value is not valid.
pub async fn pad_value(connection: &mut ClientConnection<'_>, mut missing: usize) -> io::Result<()> {
    while missing > 0 {
        work::pause().await;
        let piece = missing.min(PADDING_BYTES);
        connection.out.resize(connection.out.len() + piece, b' ');
        connection.flush().await?;
        missing -= piece;
    }
    Ok(())
}

/// Streams the answer to a plain statement as fast as the client reads it. Returns the commit position that the answer
/// reports, if any; the outer `None` means that the host broke off the answer, or that writing to the client failed.
pub async fn stream_plain_answer(
    connection: &mut ClientConnection<'_>, hosts: &Hosts, mut answer: Box<StreamedAnswer>,
    memory: &AnswerMemory,
) -> Option<Option<Micros>> {
    connection.put_bytes(std::mem::take(&mut answer.beginning));
    connection.flush().await.ok()?;
    let admission = connection.admission();
    while read_streamed(admission, answer.read_piece(&mut connection.out, memory)).await.ok()? {
        connection.flush().await.ok()?;
    }
    let position = answer.report.position;
    hosts.return_plain_connection(*answer);
    Some(position)
}
