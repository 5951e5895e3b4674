//! One client's session: decodes messages, serves requests in order, and writes exactly one answer to each. It calls
//! `request` for the serving of one request, `pipeline` for the requests behind another, `client_connection` for the bytes,
//! and `admission` for request ids. It must never choose a host or judge an outcome.

use super::admission::Admission;
use super::client_connection::{AbandonReason, ClientConnection, ReadAhead, ReadAheadMode, ReadResult};
use super::core::{Arrival, Clock, Core, Request, fnv1a};
use super::events::RefusalReason;
use super::hosts::Hosts;
use super::memory::{AnswerMemory, Reservation};
use super::pipeline::{EntryMemory, Pipeline, PipelineEntry, Progress, RequestScope};
use super::request::{
    ClientLink, ClientWatch, FinalAnswer, PendingAnswer, RequestHandler, StreamResult, give_up_at, pad_value,
    stream_plain_answer, stream_value,
};
use super::request_ids::IdClaim;
use super::scheduler;
use super::statements::{PlainRoute, StatementRefusal, Statements};
use super::upload::IncomingStatement;
use super::work;
use super::world::{self, Stream};
use crate::Micros;
use crate::invariants::{self, CloseReason, Violation};
use crate::mutants;
use crate::pg::{self, ErrorFields, Frontend, Malformed, Startup, code};
use crate::statement::{Statement, quote};
use futures_lite::future;
use sillfold_route::{OwnWrites, TransactionState, TransactionStep};
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// The open requests of one connection may need at most this fraction (1/8) of the connections to hosts, so that several
/// clients with many open requests leave connections for others.
const PIPELINE_SHARE_DIVISOR: usize = 8;
/// How many bytes the pipelined requests of one connection and their answers may hold before no more requests start.
const MAX_PIPELINE_BYTES: usize = 1 << 20;
/// The names of user and database have at most this length together. PostgreSQL's have 63 bytes each.
const MAX_NAME_BYTES: usize = 512;
/// The memory of a pipelined request besides its statement, until it is answered: the state of its serving, its copy of the
/// statement's head and its entry at the core.
const PIPELINED_REQUEST_BYTES: usize = 16 * 1024;

/// What all sessions share.
pub struct SessionContext {
    pub core: Rc<Core>,
    pub hosts: Rc<Hosts>,
    pub admission: Rc<Admission>,
    /// The time taken off a client's deadline for sending the answer back.
    pub response_margin: Micros,
    /// How plain statements are routed, if they are served.
    pub statements: RefCell<Option<Rc<Statements>>>,
}

/// The retry delay for a client in milliseconds; `None` where no advice is given.
fn retry_advice_ms(retry_in: Micros) -> Option<u64> {
    Some(retry_in.div_ceil(1_000)).filter(|&ms| ms > 0)
}

/// Whether the text holds no statement, only surrounding white space and trailing semicolons.
fn is_empty(text: &str) -> bool {
    text.trim().trim_end_matches(';').is_empty()
}

/// A request that was decoded and not served yet.
struct DecodedRequest<'a> {
    request: Request,
    statement: Statement,
    /// The claim of the request's id. A plain statement has no id.
    claim: Option<IdClaim<'a>>,
    /// How a plain statement is routed; `None` for a statement with the leading comment of a request.
    plain: Option<PlainRoute>,
    /// The memory of the statement, until the request is answered.
    memory: Reservation,
}

/// What a session handles next.
enum NextItem<'a> {
    /// A message, when its last byte was received, and the memory of its statement.
    Message(Frontend, Micros, Reservation),
    /// The result of decoding a request that was read behind another.
    Request(Box<Result<Option<DecodedRequest<'a>>, StatementRefusal>>),
    Malformed(Malformed),
}

/// What a session waits for while a request is open.
enum DriveEvent<T> {
    /// The request has its answer.
    Done(T),
    /// The connection was read.
    Read(ReadAhead),
    /// The task has its next turn.
    NextTurn,
    /// A request waits for the connection to be checked.
    CheckConnection,
    /// The limits of the pipeline admit more requests, of which some may have been read before.
    Room,
}

/// One client's session.
pub struct Session<'a> {
    context: &'a SessionContext,
    pub connection: ClientConnection<'a>,
    watch: &'a ClientWatch,
    /// The requests that were read behind the open one.
    pipeline: Pipeline<'a>,
    /// An item behind the pipeline that can't join it, and is handled once all requests before it are answered.
    deferred: Option<NextItem<'a>>,
    /// The request whose turn it is has no answer yet.
    unanswered: bool,
    /// When the last answer was due.
    answered_at: Option<Instant>,
    /// The user and the database of the startup message. Plain statements may be switched on while the session is open.
    user_and_database: Option<Box<(String, String)>>,
    /// The writes of this session's plain statements, which its reads have to see.
    own_writes: OwnWrites,
    /// Whether the session is in a transaction block that was refused.
    transaction: TransactionState,
    /// Of the plain statement that was served last.
    commit_and_duration: CommitAndDuration,
}

/// The commit position that the answer to a plain statement reported, and how long the statement took.
type CommitAndDuration = Option<(Option<Micros>, Duration)>;

impl SessionContext {
    /// Sets how plain statements are routed; `None` turns them off.
    pub fn set_statements(&self, statements: Option<Rc<Statements>>) {
        *self.statements.borrow_mut() = statements;
    }

    /// How plain statements are routed, if they are served.
    pub fn statements(&self) -> Option<Rc<Statements>> {
        self.statements.borrow().clone()
    }

    /// A handler for one request, whose answer is held in `memory`.
    fn request_handler<'l, 'a>(
        &'l self, client: ClientLink<'l, 'a>, memory: &'l AnswerMemory,
    ) -> RequestHandler<'l, 'a> {
        let SessionContext { core, hosts, admission, response_margin, .. } = self;
        RequestHandler {
            client,
            core,
            hosts,
            admission,
            memory,
            response_margin: *response_margin,
            commit_and_duration: None,
        }
    }
}

impl<'a> Session<'a> {
    pub fn new(context: &'a SessionContext, stream: Rc<Stream>, watch: &'a ClientWatch) -> Session<'a> {
        Session {
            context,
            connection: ClientConnection::new(&context.admission, stream),
            watch,
            pipeline: Pipeline::new(watch),
            deferred: None,
            unanswered: false,
            answered_at: None,
            user_and_database: None,
            own_writes: OwnWrites::default(),
            transaction: TransactionState::default(),
            commit_and_duration: None,
        }
    }

    /// Withdraws the requests that are open, since the connection is closing, and drops what is deferred.
    pub fn abandon(&mut self) {
        self.pipeline.abandon();
        self.deferred = None;
    }

    /// Counts the connection as closed, just before it is, and reports a broken invariant if requests lose their answers.
    pub fn record_close(&self) {
        let reason = self.connection.close_reason();
        let events = &self.context.core.events;
        events.closed(reason);
        let deferred_request =
            matches!(&self.deferred, Some(NextItem::Request(request)) if matches!(**request, Ok(Some(_))));
        let unanswered = usize::from(self.unanswered) + self.pipeline.len() + usize::from(deferred_request);
        if !invariants::may_close(reason, unanswered) {
            let about = format_args!("{unanswered} requests, {reason:?}");
            events.violated(Violation::ClosedUnanswered, &about);
        }
    }

    /// Runs the session, from the startup message to its end.
    pub async fn run(&mut self) -> io::Result<()> {
        if !self.startup().await? {
            return Ok(());
        }
        let mut skipping = false;
        while let Some(item) = self.next_item().await? {
            let goes_on = match item {
                NextItem::Message(message, received_at, memory) => {
                    self.handle_message(message, received_at, memory, &mut skipping).await?
                }
                NextItem::Request(decoded) => self.serve_request(*decoded).await?,
                NextItem::Malformed(e) => {
                    self.connection.set_close_reason(CloseReason::Malformed);
                    return self.connection.send_fatal(code::PROTOCOL_VIOLATION, &e.0).await;
                }
            };
            if !goes_on {
                return Ok(());
            }
            if self.connection.is_out_full() {
                self.connection.flush().await?;
            }
            if self.deferred.is_none() && self.context.admission.ends_sessions() {
                self.connection.set_close_reason(CloseReason::Stopping);
                return self.connection.flush().await;
            }
            if self.connection.overrun {
                return self.connection.end_session(ReadResult::TooMuch).await;
            }
        }
        Ok(())
    }

    /// Waits for the next item; `None` if the session ends.
    async fn next_item(&mut self) -> io::Result<Option<NextItem<'a>>> {
        if let Some(deferred) = self.deferred.take() {
            return Ok(Some(deferred));
        }
        loop {
            match self.connection.decode_message().await {
                Ok(Some(message)) => return Ok(Some(self.received_message(message))),
                Ok(None) if let Some(beginning) = self.connection.decode_unbuffered_query() => {
                    return Ok(Some(self.received_message(beginning)));
                }
                Ok(None) => match self.connection.flush_and_read().await? {
                    ReadResult::Bytes => {}
                    other => return self.connection.end_session(other).await.map(|()| None),
                },
                Err(e) => return Ok(Some(NextItem::Malformed(e))),
            }
        }
    }

    /// The item for a message that was just decoded, with the memory that its statement needs.
    fn received_message(&mut self, message: Frontend) -> NextItem<'a> {
        let received_at = self.received_at();
        let statement_bytes = match &message {
            Frontend::Query(text) => text.len(),
            _ => 0,
        };
        let memory = self.connection.take_statement_memory(statement_bytes);
        NextItem::Message(message, received_at, memory)
    }

    /// Handles one message, up to its answer; false if the session ends.
    async fn handle_message(
        &mut self, message: Frontend, received_at: Micros, memory: Reservation, skipping: &mut bool,
    ) -> io::Result<bool> {
        self.connection.received_message = true;
        self.connection.partial_since = None;
        self.connection.return_unused_memory();
        match message {
            Frontend::Terminate => return Ok(false),
            Frontend::Sync => {
                *skipping = false;
                self.put_ready();
            }
            Frontend::Flush => {}
            Frontend::ExtendedQuery if *skipping => {}
            Frontend::ExtendedQuery => {
                // As in PostgreSQL, messages are skipped up to the next Sync.
                *skipping = true;
                self.connection.put_error(code::FEATURE_NOT_SUPPORTED, "only simple queries are served here");
            }
            Frontend::Invalid(e) => {
                self.connection.put_error(code::UNTRANSLATABLE, &e.0);
                self.put_ready();
            }
            Frontend::InvalidLong(e, remaining) => {
                self.connection.put_error(code::UNTRANSLATABLE, &e.0);
                self.put_ready();
                return Box::pin(self.skip_statement(remaining)).await;
            }
            Frontend::Query(text) if is_empty(&text) => return self.empty_query().await,
            Frontend::Query(text) if self.answer_in_refused_block(&text) => {}
            Frontend::Query(text) => {
                let decoded = self.decode_request(text, received_at, 0, memory);
                return self.serve_request(decoded).await;
            }
            Frontend::LongQuery(beginning, remaining) => {
                // On the heap, as other parts that few sessions need, so that a connection at rest takes little memory.
                return Box::pin(self.serve_long_request(beginning, received_at, remaining)).await;
            }
        }
        Ok(true)
    }

    /// When the last byte of the message that was decoded last was received.
    fn received_at(&mut self) -> Micros {
        self.context.core.clock.micros(self.connection.received_at())
    }

    /// Answers a query without a statement once the proxy is ready; false if the client disconnects first.
    async fn empty_query(&mut self) -> io::Result<bool> {
        self.connection.flush().await?;
        let core = &self.context.core;
        let ready = async {
            core.ready().await;
            None
        };
        let abandoned = async { Some(self.connection.until_abandoned(true).await) };
        if future::or(ready, abandoned).await == Some(AbandonReason::ClientDisconnected) {
            self.connection.set_close_reason(CloseReason::ClientLeft);
            return Ok(false);
        }
        match self.context.admission.not_ready_reason() {
            None => pg::put_empty_query(&mut self.connection.out),
            Some(reason) => self.connection.put_error(code::CANNOT_CONNECT_NOW, reason),
        }
        self.put_ready();
        Ok(true)
    }

    /// Serves one request, then the requests that were read behind it, and writes their answers; false if one has no answer
    /// and the connection has to end.
    async fn serve_request(
        &mut self, decoded: Result<Option<DecodedRequest<'a>>, StatementRefusal>,
    ) -> io::Result<bool> {
        let decoded = match decoded {
            Ok(Some(decoded)) => decoded,
            Ok(None) => {
                pg::put_empty_query(&mut self.connection.out);
                self.put_ready();
                return Ok(true);
            }
            Err(StatementRefusal { fields, control }) => {
                self.transaction.advance(control);
                pg::put_error(&mut self.connection.out, &fields);
                self.put_ready();
                return Ok(true);
            }
        };
        self.connection.received_request = true;
        self.unanswered = true;
        // The answers to earlier commands don't wait for this request.
        self.flush_before_start().await?;
        let scope = self.scope(&decoded.request);
        let memory = self.connection.memory.answer();
        let answer = {
            let mut handler = self.context.request_handler(ClientLink::Complete(self.watch), &memory);
            let answer = {
                let mut serving =
                    Box::pin(handler.serve(&decoded.request, &decoded.statement, decoded.plain.as_ref()));
                self.drive_head(serving.as_mut(), scope, decoded.plain.is_some()).await
            };
            self.commit_and_duration = handler.commit_and_duration;
            answer
        };
        let DecodedRequest { plain, claim, .. } = decoded;
        if !self.write_answer(answer, scope, plain.as_ref(), &memory).await? {
            return Ok(false);
        }
        drop(claim);
        while !self.pipeline.is_empty() {
            if !self.answer_next().await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Completes the pipelined request whose turn has come, and writes its answer; false if the connection has to end.
    async fn answer_next(&mut self) -> io::Result<bool> {
        // The request stays in the pipeline while earlier answers are written: those behind it wait for it, and it is
        // withdrawn with them if the client has gone.
        match self.pipeline.first_progress() {
            Some(Progress::Unanswered { started: false, .. }) => self.flush_before_start().await?,
            Some(Progress::Unanswered { started: true, .. }) => self.flush().await?,
            Some(Progress::Answered(_)) | None => {}
        }
        let Some(entry) = self.pipeline.pop() else { return Ok(true) };
        let PipelineEntry { scope, claim, progress, memory, .. } = entry;
        let answer = match progress {
            Progress::Answered(answer) => answer,
            Progress::Unanswered { mut serving, .. } => {
                self.unanswered = true;
                self.drive_head(serving.as_mut(), scope, false).await
            }
        };
        drop(memory.request);
        let answered = self.write_answer(answer, scope, None, &memory.answer).await;
        drop(claim);
        answered
    }

    /// Writes the bytes that are due. Pipelined requests go on meanwhile.
    async fn flush(&mut self) -> io::Result<()> {
        self.flush_while_open(None).await
    }

    /// The same while `head`, the request whose turn it is, may still be open.
    async fn flush_while_open(&mut self, head: Option<&RequestScope>) -> io::Result<()> {
        self.update_request_bytes();
        self.pipeline.run_alongside(head, self.connection.flush()).await
    }

    /// Writes the bytes that are due before the next request starts, and waits until its answer can be written as well.
    async fn flush_before_start(&mut self) -> io::Result<()> {
        self.flush().await?;
        self.pipeline.run_alongside(None, self.connection.until_writable()).await;
        Ok(())
    }

    /// Drives the request whose turn it is, `head`, to its end. Unless it is `exclusive`, requests behind it are read and
    /// served meanwhile.
    async fn drive_head<T>(
        &mut self, mut head: Pin<&mut (impl Future<Output = T> + ?Sized)>, scope: RequestScope,
        exclusive: bool,
    ) -> T {
        loop {
            if !exclusive {
                self.read_pipelined();
            }
            let mode = if self.may_leave_unread() { ReadAheadMode::Bounded } else { ReadAheadMode::Discard };
            match self.next_event(head.as_mut(), &scope, mode).await {
                DriveEvent::Done(done) => return done,
                DriveEvent::CheckConnection | DriveEvent::NextTurn | DriveEvent::Read(ReadAhead::Bytes) => {}
                DriveEvent::Room => self.update_request_bytes(),
                DriveEvent::Read(ReadAhead::Abandoned(reason)) => {
                    self.watch.abandon(reason);
                    return self.end_abandoned(head).await;
                }
            }
        }
    }

    /// Waits for the next event while the request `head` is open.
    async fn next_event<T>(
        &mut self, mut head: Pin<&mut (impl Future<Output = T> + ?Sized)>, scope: &RequestScope,
        mode: ReadAheadMode,
    ) -> DriveEvent<T> {
        // Requests that were read and did not fit wait until others end, which no bytes announce.
        let awaits_room =
            self.deferred.is_none() && !self.connection.read_buffer.is_empty() && !self.may_pipeline_more();
        let max_requests = self.max_pipelined();
        let read = async {
            if work::is_used_up() {
                // What was received already may be decoded then.
                work::turn().await;
                return DriveEvent::NextTurn;
            }
            DriveEvent::Read(self.connection.read_ahead(mode).await)
        };
        let mut read = pin!(read);
        poll_fn(|context| {
            // The connection is polled first. Guards against an attempt that starts for a disconnected client.
            if let Poll::Ready(event) = read.as_mut().poll(context) {
                return Poll::Ready(event);
            }
            self.watch.checked();
            if let Poll::Ready(done) = head.as_mut().poll(context) {
                return Poll::Ready(DriveEvent::Done(done));
            }
            self.pipeline.poll(Some(scope), context);
            if awaits_room && self.pipeline.has_room(max_requests, MAX_PIPELINE_BYTES) {
                return Poll::Ready(DriveEvent::Room);
            }
            if self.watch.needs_check() { Poll::Ready(DriveEvent::CheckConnection) } else { Poll::Pending }
        })
        .await
    }

    /// Polls the abandoned requests once more, upon which each that has started ends. Returns the result of `head`.
    async fn end_abandoned<T>(&mut self, mut head: Pin<&mut (impl Future<Output = T> + ?Sized)>) -> T {
        poll_fn(|context| {
            let done = head.as_mut().poll(context);
            self.pipeline.poll_started(context);
            done
        })
        .await
    }

    /// Whether bytes beyond the read-ahead limits may stay unread: true unless they come behind an item that is no request,
    /// so that a client which sends on and on gets its error.
    fn may_leave_unread(&self) -> bool {
        match &self.deferred {
            None => true,
            Some(NextItem::Message(message, ..)) => {
                matches!(message, Frontend::Query(_) | Frontend::LongQuery(..) | Frontend::InvalidLong(..))
            }
            Some(NextItem::Request(decoded)) => decoded.is_ok(),
            Some(NextItem::Malformed(_)) => false,
        }
    }

    /// Decodes the requests that were received behind the open one and adds them to the pipeline, up to its limits and to
    /// the end of the task's turn. Any other item is deferred, and reading stops there.
    fn read_pipelined(&mut self) {
        while self.deferred.is_none()
            && !self.connection.read_buffer.is_empty()
            && self.may_pipeline_more()
            && !work::is_used_up()
        {
            let message_bytes = self.connection.read_buffer.message_bytes().unwrap_or(0);
            // Without memory the request stays in the buffer until its turn.
            let wanted = message_bytes.min(pg::MAX_MESSAGE_BYTES) + PIPELINED_REQUEST_BYTES;
            let Some(mut memory) = self.connection.memory.received.reserve(wanted) else { return };
            let message = match self.connection.decode_message_now() {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(e) => {
                    self.deferred = Some(NextItem::Malformed(e));
                    return;
                }
            };
            let received_at = self.received_at();
            self.connection.return_unused_memory();
            self.deferred = match message {
                Frontend::Query(text) if !is_empty(&text) && self.is_independent(&text) => {
                    match self.decode_request(text, received_at, 0, memory) {
                        Ok(Some(DecodedRequest {
                            request,
                            statement,
                            claim: Some(claim),
                            plain: None,
                            memory,
                        })) => {
                            self.push_pipelined(request, statement, claim, memory);
                            None
                        }
                        other => Some(NextItem::Request(Box::new(other))),
                    }
                }
                other => {
                    if !matches!(other, Frontend::Query(_)) {
                        memory.shrink_to(pg::STATEMENT_HEAD_BYTES);
                    }
                    Some(NextItem::Message(other, received_at, memory))
                }
            };
            self.update_request_bytes();
        }
    }

    /// Whether the limits admit one more request to the pipeline.
    fn may_pipeline_more(&self) -> bool {
        let has_bytes = self.connection.request_bytes < MAX_PIPELINE_BYTES;
        has_bytes && self.pipeline.len() < self.max_pipelined()
    }

    /// How many requests may be pipelined behind the one whose turn it is.
    fn max_pipelined(&self) -> usize {
        (self.context.hosts.max_connections() / PIPELINE_SHARE_DIVISOR).saturating_sub(1)
    }

    /// Whether a statement doesn't depend on earlier ones of its session. Plain statements do: they have to see the
    /// session's writes, and a transaction that was refused applies to those behind it.
    fn is_independent(&self, text: &str) -> bool {
        self.transaction != TransactionState::Refused
            && (self.context.statements().is_none() || Statement::has_request_comment(text))
    }

    /// Adds a request to the pipeline.
    fn push_pipelined(
        &mut self, request: Request, statement: Statement, claim: IdClaim<'a>, memory: Reservation,
    ) {
        let context = self.context;
        let watch = self.watch;
        let scope = self.scope(&request);
        let bytes = statement.text().len();
        let answer_memory = Rc::new(self.connection.memory.answer());
        let memory = EntryMemory { request: memory, answer: answer_memory.clone() };
        let serving = async move {
            let link = ClientLink::Complete(watch);
            let mut handler = context.request_handler(link, &answer_memory);
            handler.serve(&request, &statement, None).await
        };
        debug_assert!(size_of_val(&serving) < PIPELINED_REQUEST_BYTES, "{}", size_of_val(&serving));
        let progress = Progress::Unanswered { serving: Box::pin(serving), started: false };
        self.pipeline.push(PipelineEntry { scope, claim, bytes, memory, progress });
    }

    /// Updates the memory that the pipelined requests hold.
    fn update_request_bytes(&mut self) {
        self.connection.request_bytes = self.pipeline.held_bytes();
    }

    /// What the order of a request among others depends on.
    fn scope(&self, request: &Request) -> RequestScope {
        RequestScope {
            class: request.class,
            group: request.group,
            writes: self.context.core.writes(request.class),
        }
    }

    /// Serves one request of which `remaining` bytes are still to come, and writes its answer; false if it has none and the
    /// connection has to end.
    async fn serve_long_request(
        &mut self, beginning: String, received_at: Micros, mut remaining: usize,
    ) -> io::Result<bool> {
        // The time spent behind earlier requests of the connection does not count.
        let clock = &self.context.core.clock;
        let begun_at = self.answered_at.map_or(received_at, |at| received_at.max(clock.micros(at)));
        if !self.answer_in_refused_block(&beginning) {
            let memory = self.connection.memory.received.reserve_nothing();
            match self.decode_request(beginning, begun_at, remaining, memory) {
                Ok(Some(decoded)) => {
                    self.connection.received_request = true;
                    self.unanswered = true;
                    self.connection.flush().await?;
                    let memory = self.connection.memory.answer();
                    let begun_at = self.context.core.clock.instant(begun_at);
                    let incoming = IncomingStatement::new(&mut self.connection, &mut remaining, begun_at);
                    let client = ClientLink::Uploading(incoming);
                    let mut handler = self.context.request_handler(client, &memory);
                    let answer =
                        handler.serve(&decoded.request, &decoded.statement, decoded.plain.as_ref()).await;
                    self.commit_and_duration = handler.commit_and_duration;
                    let scope = self.scope(&decoded.request);
                    if !self.write_answer(answer, scope, decoded.plain.as_ref(), &memory).await? {
                        return Ok(false);
                    }
                }
                other => drop(self.serve_request(other).await?),
            }
        }
        self.skip_statement(remaining).await
    }

    /// Skips the `remaining` bytes of a statement that was answered before its end; false if the connection has to end.
    async fn skip_statement(&mut self, mut remaining: usize) -> io::Result<bool> {
        self.connection.flush().await?;
        while remaining > 0 {
            match self.connection.read_more().await? {
                ReadResult::Bytes => remaining -= self.connection.read_buffer.discard(remaining),
                other => return self.connection.end_session(other).await.map(|()| false),
            }
        }
        Ok(true)
    }

    /// Writes the answer to a request, and counts it; false if there is none and the connection has to end.
    async fn write_answer(
        &mut self, answer: Option<PendingAnswer>, scope: RequestScope, plain: Option<&PlainRoute>,
        memory: &AnswerMemory,
    ) -> io::Result<bool> {
        let Some(answer) = answer else {
            self.connection.set_close_reason(CloseReason::ClientLeft);
            return Ok(false);
        };
        if mutants::on("closes unanswered") {
            self.connection.set_close_reason(CloseReason::Rested);
            return Ok(false);
        }
        memory.shrink_to(answer.held_bytes());
        if self.connection.must_write_before(answer.held_bytes()) {
            let head = (!answer.is_over()).then_some(&scope);
            self.flush_while_open(head).await?;
        }
        let Some(answer) = self.stream_answer(answer, scope, memory).await else {
            self.connection.set_close_reason(CloseReason::ValueBrokenOff);
            return Ok(false);
        };
        self.unanswered = false;
        self.answered_at = Some(world::now());
        if let Some(route) = plain {
            self.record_plain(route, &answer);
        }
        let core = &self.context.core;
        match &answer {
            FinalAnswer::Refused { .. } => {
                core.record_load(|r| r.request_unserved(scope.class, scope.group, true))
            }
            FinalAnswer::Failed => core.record_load(|r| r.request_unserved(scope.class, scope.group, false)),
            _ => {}
        }
        self.put_final_answer(scope.class, answer);
        self.put_ready();
        self.connection.keep_until_written(memory.take());
        Ok(true)
    }

    /// Whether the client has sent anything behind the request whose turn it is, even if it is still unread.
    fn has_requests_behind(&self) -> bool {
        !self.pipeline.is_empty() || self.deferred.is_some() || self.connection.has_unread_input()
    }

    /// Streams an answer that isn't complete to the client, and returns what remains to be written. `None` if the answer
    /// broke off and the connection has to end. Pipelined requests go on while a long row is streamed, but for those that
    /// have to follow a write: it is committed behind its value.
    async fn stream_answer(
        &mut self, answer: PendingAnswer, scope: RequestScope, memory: &AnswerMemory,
    ) -> Option<FinalAnswer> {
        let (connection, hosts) = (&mut self.connection, &self.context.hosts);
        match answer {
            PendingAnswer::StreamedRow(long) => {
                let streaming = Box::pin(stream_value(connection, hosts, long, memory));
                match self.pipeline.run_alongside(Some(&scope), streaming).await {
                    StreamResult::Complete => Some(FinalAnswer::Streamed),
                    StreamResult::NothingSent => Some(FinalAnswer::Failed),
                    StreamResult::BrokenOff { missing } if self.has_requests_behind() => {
                        // Closing the connection would tell the client more clearly that the value is not valid, but the
                        // requests behind this one would lose their answers.
                        let padding = pad_value(&mut self.connection, missing);
                        self.pipeline.run_alongside(Some(&scope), padding).await.ok()?;
                        Some(FinalAnswer::Failed)
                    }
                    StreamResult::BrokenOff { .. } | StreamResult::ClientFailed => None,
                }
            }
            PendingAnswer::StreamedResult(stream) => {
                let commit_position = stream_plain_answer(connection, hosts, stream, memory).await?;
                // The position of a commit is reported at the answer's end.
                if let (Some((position, _)), Some(commit_position)) =
                    (&mut self.commit_and_duration, commit_position)
                {
                    *position = Some(commit_position);
                }
                Some(FinalAnswer::Streamed)
            }
            PendingAnswer::Complete(answer) => Some(answer),
        }
    }

    /// Answers a statement inside a transaction block that was refused; false if the session isn't in one.
    fn answer_in_refused_block(&mut self, text: &str) -> bool {
        let step = match self.context.statements().filter(|_| self.transaction == TransactionState::Refused) {
            Some(statements) => self.transaction.advance(statements.transaction_control(text)),
            None => TransactionStep::Process,
        };
        match step {
            TransactionStep::Process => return false,
            TransactionStep::End => pg::put_command_complete(&mut self.connection.out, "ROLLBACK"),
            TransactionStep::Refuse => {
                let message = "the transaction was refused, and so is all in it, up to COMMIT or ROLLBACK";
                self.connection.put_error(code::FAILED_TRANSACTION, message);
            }
        }
        self.put_ready();
        true
    }

    /// Tells the client that the session is ready for the next query.
    fn put_ready(&mut self) {
        pg::put_ready(&mut self.connection.out, self.transaction == TransactionState::Refused);
    }

    /// Records the end of a plain statement: the duration for its shape, and the session's write.
    fn record_plain(&mut self, route: &PlainRoute, answer: &FinalAnswer) {
        if let (Some(statements), Some((_, duration))) = (self.context.statements(), self.commit_and_duration)
        {
            statements.record_duration(route, duration);
            self.context
                .core
                .record_load(|r| r.shape_served(route.shape_number(), duration.as_micros() as u64));
        }
        let now = self.context.core.clock.now();
        match answer {
            _ if !route.writes => {}
            FinalAnswer::Served(_) | FinalAnswer::Plain(_) | FinalAnswer::Streamed => {
                let commit_position = self.commit_and_duration.and_then(|t| t.0);
                self.own_writes.record_answered(commit_position, now);
            }
            FinalAnswer::Failed => self.own_writes.record_unknown(now),
            // The write did not run, or was rolled back.
            FinalAnswer::Refused { .. } | FinalAnswer::Rejected(_) => {}
        }
    }

    /// Decodes a request of which `remaining` bytes are still to come. `Ok(None)` if the text holds no statement; the error
    /// is the client's answer.
    fn decode_request(
        &self, text: String, received_at: Micros, remaining: usize, memory: Reservation,
    ) -> Result<Option<DecodedRequest<'a>>, StatementRefusal> {
        let fields =
            |code: &str, message: String| ErrorFields { code: code.into(), message, ..Default::default() };
        let error = |code: &str, message: String| StatementRefusal::from(fields(code, message));
        work::charge_parsed(text.len());
        let core = &self.context.core;
        let statements = self.context.statements().filter(|_| !Statement::has_request_comment(&text));
        let (class, statement, plain) = match statements {
            Some(_) if remaining > 0 && text.len() + remaining < pg::MAX_MESSAGE_BYTES => {
                core.events.refused("", RefusalReason::Memory);
                let message = "no memory for a statement of this length: trying again later is harmless";
                let refused = fields(code::TOO_MANY_CONNECTIONS, message.into());
                return Err(ErrorFields { retry_in_ms: retry_advice_ms(core.retry_in), ..refused }.into());
            }
            Some(_) if remaining > 0 => {
                let message = format!("a plain statement of over {} bytes", pg::MAX_MESSAGE_BYTES);
                return Err(error(code::LIMIT_EXCEEDED, message));
            }
            Some(statements) => {
                let (user, database) =
                    self.user_and_database.as_deref().map_or(("", ""), |names| (&names.0, &names.1));
                work::charge_shape(text.len());
                let Some(route) = statements.route(&text, user, database)? else { return Ok(None) };
                let statement = Statement::plain(text, route.deadline_ms, route.group);
                (route.class, statement, Some(route))
            }
            None => {
                let statement =
                    Statement::parse(text).map_err(|message| error(code::SYNTAX_ERROR, message))?;
                let class = core.program_settings.class_names.iter().position(|c| *c == statement.class);
                let class = class.and_then(|index| u8::try_from(index).ok());
                let no_class = || format!("no class {} here", quote(&statement.class));
                let class = class.ok_or_else(|| error(code::UNDEFINED_OBJECT, no_class()))?;
                (class, statement, None)
            }
        };
        if !core.knows_any_host() {
            core.count(class, |c| &mut c.busy);
            core.events.refused(&statement.id, RefusalReason::NoList);
            let refused = fields(code::CANNOT_CONNECT_NOW, "no database host is known yet".into());
            return Err(ErrorFields { retry_in_ms: retry_advice_ms(core.retry_in), ..refused }.into());
        }
        if !core.knows_group(statement.group) {
            let message = format!("no group {} in the list of database hosts", statement.group);
            return Err(error(code::UNDEFINED_OBJECT, message));
        }
        let claim = match plain {
            Some(_) => None,
            None => Some(self.context.admission.ids.claim(&statement.id).ok_or_else(|| {
                let message = format!("id {} is that of another request", quote(&statement.id));
                error(code::DUPLICATE_OBJECT, message)
            })?),
        };
        let waits = scheduler::waits();
        let request = Request {
            class,
            session: if plain.is_some() { 0 } else { fnv1a(statement.session_key()) },
            group: statement.group,
            give_up_at: give_up_at(&statement, received_at, self.context.response_margin),
            min_position: match plain {
                Some(_) => self.own_writes.required_position(),
                None => statement.after_ms.map(Clock::from_unix_ms),
            },
            client_retry: statement.client_retry,
            tenant: statement.tenant.as_deref().and_then(|t| core.tenant(t)),
            // A write of a keyed class whose comment names no key must not be retried either.
            plain: plain.is_some() || !statement.keyed && core.is_keyed(class),
            expected_duration: plain.as_ref().map_or(0, |p| p.expected_duration),
            pipelined: self.unanswered || !self.pipeline.is_empty(),
            arrival: Arrival { received_at, unread: waits.since_arrival, turn_waits: waits.turns },
        };
        Ok(Some(DecodedRequest { request, statement, claim, plain, memory }))
    }

    /// Appends a final answer to the bytes that are due, and counts it.
    fn put_final_answer(&mut self, class: u8, answer: FinalAnswer) {
        self.context.core.count(class, |c| match answer {
            FinalAnswer::Served(_) | FinalAnswer::Plain(_) | FinalAnswer::Streamed => &mut c.success,
            FinalAnswer::Refused { .. } => &mut c.busy,
            FinalAnswer::Failed | FinalAnswer::Rejected(_) => &mut c.failure,
        });
        match answer {
            FinalAnswer::Served(row) if mutants::on("two answers") => {
                pg::put_row(&mut self.connection.out, &row);
                self.put_ready();
                pg::put_row(&mut self.connection.out, &row);
            }
            FinalAnswer::Served(row) => pg::put_row(&mut self.connection.out, &row),
            FinalAnswer::Plain(bytes) => self.connection.put_bytes(bytes),
            FinalAnswer::Streamed => {}
            FinalAnswer::Refused { retry_in } => {
                let fields = ErrorFields {
                    code: code::TOO_MANY_CONNECTIONS.into(),
                    message: "refused: trying again later is harmless".into(),
                    retry_in_ms: retry_advice_ms(retry_in),
                    ..Default::default()
                };
                pg::put_error(&mut self.connection.out, &fields);
            }
            FinalAnswer::Rejected(e) => {
                pg::put_error(&mut self.connection.out, &ErrorFields { fatal: false, ..e })
            }
            FinalAnswer::Failed => {
                self.connection.put_error(code::COMPLETION_UNKNOWN, "failed: it may or may not have run")
            }
        }
    }

    /// Handles the startup messages, up to the welcome; false if the session ends instead.
    async fn startup(&mut self) -> io::Result<bool> {
        loop {
            match self.connection.decode_startup().await {
                Ok(None) => match self.connection.flush_and_read().await? {
                    ReadResult::Bytes => {}
                    other => return self.connection.end_session(other).await.map(|()| false),
                },
                Ok(Some(Startup::Encryption)) => self.connection.out.push(b'N'),
                Ok(Some(Startup::Cancel)) => return Ok(false),
                Ok(Some(Startup::Session { minor, options, user, database })) => {
                    if user.len() + database.len() > MAX_NAME_BYTES {
                        let message = "the names of user and database are too long";
                        return self
                            .connection
                            .send_fatal(code::PROTOCOL_VIOLATION, message)
                            .await
                            .map(|()| false);
                    }
                    self.user_and_database = Some(Box::new((user, database)));
                    if minor > 0 || !options.is_empty() {
                        pg::put_negotiate_protocol_version(&mut self.connection.out, &options);
                    }
                    pg::put_welcome(&mut self.connection.out);
                    self.connection.in_session = true;
                    return Ok(true);
                }
                Err(e) => {
                    return self.connection.send_fatal(code::PROTOCOL_VIOLATION, &e.0).await.map(|()| false);
                }
            }
        }
    }
}
