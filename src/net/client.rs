//! Clients: one task for each connection. It owns how sessions begin and end and the order of their requests, each of
//! which gets exactly one answer here; the request's life is `life`, what is worked on behind another `pipeline`, the
//! connection `line`, its place `admission`. It must never choose a host or judge an outcome.

use super::admission::{Admission, IdClaim};
use super::client_connection::{
    Abandoned, ClientConnection, ReadAhead, ReadAheadMode, ReadResult, put_fatal,
};
use super::core::{Clock, Core, Request, fnv1a};
use super::events::RefusalReason;
use super::hosts::Hosts;
use super::pipeline::{Pipeline, PipelineEntry, Progress, RequestScope};
use super::request::{
    ClientLink, ClientWatch, FinalAnswer, PendingAnswer, RequestHandler, StreamResult, fill_value,
    give_up_at, pass_on_plain, pass_on_value,
};
use super::statements::{PlainRoute, StatementRefusal, Statements};
use super::warn_rate_limited;
use super::world::{self, Listener, Spawner, Stream};
use crate::Micros;
use crate::invariants::{self, CloseReason, Violation};
use crate::mutants;
use crate::pg::{self, ErrorFields, Frontend, Malformed, Startup, Statement, code};
use futures_lite::future;
use sillfold_route::{OwnWrites, TransactionState, TransactionStep};
use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tracing::warn;

/// The wait after a failed accept, so that a full table of descriptors does not make the loop spin; and how often in a row
/// one is tried again at a stop.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);
const ACCEPT_TRIES: u32 = 25;

/// One connection may have requests open, each of which may need a connection to a host, up to one part in so many of
/// these: several such clients at once leave room for others.
const PIPELINE_SHARE: usize = 8;
/// What the requests behind one another of one connection, and their answers, may hold before no more are begun.
const MOST_TAKEN_BYTES: usize = 1 << 20;

/// All clients, and what their tasks share.
pub struct Clients {
    core: Rc<Core>,
    hosts: Rc<Hosts>,
    /// Their places.
    pub admission: Rc<Admission>,
    way_back: Micros,
    /// How plain statements are read, if they are served.
    statements: RefCell<Option<Rc<Statements>>>,
    /// A connection that was accepted and waits for a place. It outlasts whoever waits with it.
    newcomer: RefCell<Option<Stream>>,
    executor: Spawner,
}

impl Clients {
    pub fn new(
        core: Rc<Core>, hosts: Rc<Hosts>, admission: Admission, way_back: Micros, executor: Spawner,
    ) -> Clients {
        Clients {
            core,
            hosts,
            admission: Rc::new(admission),
            way_back,
            statements: RefCell::default(),
            newcomer: RefCell::default(),
            executor,
        }
    }

    /// From now on plain statements are served so, or not at all.
    pub fn set_statements(&self, statements: Option<Rc<Statements>>) {
        *self.statements.borrow_mut() = statements;
    }

    /// How plain statements are read, if they are served.
    pub fn statements(&self) -> Option<Rc<Statements>> {
        self.statements.borrow().clone()
    }

    /// Accepts for as long as the future is kept.
    pub async fn accept(self: &Rc<Clients>, listener: &Listener) {
        self.admission.begin();
        self.begin_newcomer();
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    self.newcomer.replace(Some(stream));
                    self.admission.make_room().await;
                    self.admission.until_place().await;
                    self.begin_newcomer();
                    // It takes its seat before the next one may have to ask for a place.
                    future::yield_now().await;
                }
                Err(e) => {
                    warn_rate_limited(|| format!("clients: accepting: {e}"));
                    world::after(ACCEPT_WAIT).await;
                }
            }
        }
    }

    /// Takes what the machine has accepted already: those clients think they are connected.
    pub async fn accept_rest(self: &Rc<Clients>, listener: &Listener) {
        self.begin_newcomer();
        let mut tries = ACCEPT_TRIES;
        while let Some(stream) = listener.accept_now() {
            match stream {
                Ok(stream) => {
                    tries = ACCEPT_TRIES;
                    self.newcomer.replace(Some(stream));
                    self.admission.until_place().await;
                    self.begin_newcomer();
                }
                Err(e) if tries == 0 => return warn!(target: "clients", "accepting at the stop: {e}"),
                Err(e) => {
                    warn_rate_limited(|| format!("clients: accepting: {e}"));
                    tries -= 1;
                    world::after(ACCEPT_WAIT).await;
                }
            }
        }
    }

    /// Guards against a stop that drops the connection for which a place was waited.
    fn begin_newcomer(self: &Rc<Clients>) {
        let newcomer = self.newcomer.take();
        newcomer.into_iter().for_each(|stream| self.begin(stream));
    }

    fn begin(self: &Rc<Clients>, stream: Stream) {
        let _ = stream.no_delay();
        stream.limit_send_buffer();
        if self.admission.is_full() {
            // At once, whatever the client says: it fits into any new connection's buffer.
            let mut out = Vec::new();
            put_fatal(&mut out, code::TOO_MANY_CONNECTIONS, "all connections are in use");
            stream.write_now(&out);
            self.core.events.refused("", RefusalReason::Full);
        }
        let Some((slot, refused)) = self.admission.place() else {
            return self.core.events.closed(CloseReason::Full);
        };
        let all = self.clone();
        let task = async move {
            // Given back only after the connection is closed.
            let mut slot = slot;
            let stream = Rc::new(stream);
            let watch = ClientWatch::new(stream.clone());
            let mut session = Session::new(&all, stream, &watch);
            if refused {
                session.line.end(CloseReason::Full);
            }
            // An error here is the client's connection failing: there is nobody left to tell.
            let ended = refused || session.run().await.is_ok();
            session.closes();
            session.pipeline.abandon();
            if ended && (!session.line.evicted || all.admission.vacate(&mut slot)) {
                session.line.farewell().await;
            }
        };
        self.executor.spawn(task);
    }
}

/// When to come again, in milliseconds, if that is to be said.
fn advice(retry_in: Micros) -> Option<u64> {
    Some(retry_in.div_ceil(1_000)).filter(|&ms| ms > 0)
}

/// Whether there is no statement in a text.
fn is_empty(text: &str) -> bool {
    text.trim().trim_end_matches(';').is_empty()
}

/// A request as it was read.
struct DecodedRequest<'a> {
    call: Request,
    statement: Statement,
    /// A plain statement has no id, and is not claimed.
    claim: Option<IdClaim<'a>>,
    plain: Option<PlainRoute>,
}

/// What a session does next.
enum NextItem<'a> {
    /// When its last byte came.
    Message(Frontend, Micros),
    /// One that was read behind another.
    Request(Box<Result<Option<DecodedRequest<'a>>, StatementRefusal>>),
    Malformed(Malformed),
}

/// What a session waits for while a request is open.
enum DriveEvent<T> {
    Done(T),
    Read(ReadAhead),
    /// A request wants the connection looked at.
    Look,
}

/// One client's session.
struct Session<'a> {
    all: &'a Rc<Clients>,
    line: ClientConnection<'a>,
    watch: &'a ClientWatch,
    /// The requests that were read behind another.
    pipeline: Pipeline<'a>,
    /// What was read behind them, and has to wait until all are answered.
    held: Option<NextItem<'a>>,
    /// A request was read whose turn it is, and its answer is not written yet.
    unanswered: bool,
    /// Who asks and where, as the startup message says; kept only where plain statements are served.
    who: Option<Box<(String, String)>>,
    /// What this session's plain statements have written.
    own: OwnWrites,
    /// Whether it stands in a transaction that was refused.
    block: TransactionState,
    /// What the last answer told of its commit, and how long it took.
    told: Told,
}

/// What the answer to a plain statement told of its commit, and how long it took.
type Told = Option<(Option<Micros>, Duration)>;

impl Clients {
    /// A request's life, as it begins.
    fn life<'l, 'a>(&'l self, client: ClientLink<'l, 'a>) -> RequestHandler<'l, 'a> {
        let Clients { core, hosts, admission, way_back, .. } = self;
        RequestHandler { client, core, hosts, admission, way_back: *way_back, told: None }
    }
}

impl<'a> Session<'a> {
    fn new(all: &'a Rc<Clients>, stream: Rc<Stream>, watch: &'a ClientWatch) -> Session<'a> {
        let (who, own, block, told) = Default::default();
        let (line, pipeline) = (ClientConnection::new(&all.admission, stream), Pipeline::new(watch));
        Session { all, line, watch, pipeline, held: None, unanswered: false, who, own, block, told }
    }

    /// The connection is about to be closed: tells why, and where it must not be.
    fn closes(&self) {
        let (reason, events) = (self.line.close_reason(), &self.all.core.events);
        events.closed(reason);
        let held = matches!(&self.held, Some(NextItem::Request(request)) if matches!(**request, Ok(Some(_))));
        let unanswered = usize::from(self.unanswered) + self.pipeline.len() + usize::from(held);
        if !invariants::may_close(reason, unanswered) {
            let about = format_args!("{unanswered} requests, {reason:?}");
            events.violated(Violation::ClosedUnanswered, &about);
        }
    }

    /// From the startup packet to the end.
    async fn run(&mut self) -> io::Result<()> {
        if !self.startup().await? {
            return Ok(());
        }
        let mut skipping = false;
        while let Some(next) = self.next().await? {
            let goes_on = match next {
                NextItem::Message(message, came) => self.message(message, came, &mut skipping).await?,
                NextItem::Request(read) => self.request(*read).await?,
                NextItem::Malformed(e) => {
                    self.line.end(CloseReason::Malformed);
                    return self.line.fatal(code::PROTOCOL_VIOLATION, &e.0).await;
                }
            };
            if !goes_on {
                return Ok(());
            }
            if self.line.overrun {
                return self.line.over(ReadResult::TooMuch).await;
            }
            if !self.line.read_buffer.is_empty() {
                // Where hundreds of commands come at once, others have their turn between two.
                future::yield_now().await;
            }
        }
        Ok(())
    }

    /// What comes next; nothing if the session ends instead.
    async fn next(&mut self) -> io::Result<Option<NextItem<'a>>> {
        if let Some(held) = self.held.take() {
            return Ok(Some(held));
        }
        loop {
            match pg::decode_frontend(&mut self.line.read_buffer) {
                Ok(Some(message)) => return Ok(Some(NextItem::Message(message, self.came()))),
                Ok(None) => match self.line.flush_and_read().await? {
                    ReadResult::Bytes => {}
                    other => return self.line.over(other).await.map(|()| None),
                },
                Err(e) => return Ok(Some(NextItem::Malformed(e))),
            }
        }
    }

    /// One message, up to its answer; false if the session ends.
    async fn message(&mut self, message: Frontend, came: Micros, skipping: &mut bool) -> io::Result<bool> {
        (self.line.spoken, self.line.partial) = (true, None);
        self.line.affordable();
        match message {
            Frontend::Terminate => return Ok(false),
            Frontend::Sync => {
                *skipping = false;
                self.ready();
            }
            Frontend::Flush => {}
            Frontend::ExtendedQuery if *skipping => {}
            Frontend::ExtendedQuery => {
                // As in PostgreSQL, what follows up to the next Sync is skipped.
                *skipping = true;
                self.line.error(code::FEATURE_NOT_SUPPORTED, "only simple queries are served here");
            }
            Frontend::Invalid(e) => {
                self.line.error(code::UNTRANSLATABLE, &e.0);
                self.ready();
            }
            Frontend::Query(text) if is_empty(&text) => return self.empty_query().await,
            Frontend::Query(text) if self.inside(&text) => {}
            Frontend::Query(text) => {
                let read = self.read_request(text, came, 0);
                return self.request(read).await;
            }
            Frontend::LongQuery(beginning, left) => {
                return self.long_request(beginning, came, left).await;
            }
        }
        Ok(true)
    }

    /// When the last byte came of the message that was decoded last.
    fn came(&mut self) -> Micros {
        self.all.core.clock.micros(self.line.came())
    }

    /// Answers a query without a statement once the proxy is ready; false if its client has left.
    async fn empty_query(&mut self) -> io::Result<bool> {
        self.line.flush().await?;
        let core = &self.all.core;
        let ready = async {
            core.ready().await;
            None
        };
        let abandoned = async { Some(self.line.abandoned(true).await) };
        if future::or(ready, abandoned).await == Some(Abandoned::ClientGone) {
            self.line.end(CloseReason::ClientLeft);
            return Ok(false);
        }
        match self.all.admission.not_ready_reason() {
            None => pg::put_empty_query(&mut self.line.out),
            Some(why) => self.line.error(code::CANNOT_CONNECT_NOW, why),
        }
        self.ready();
        Ok(true)
    }

    /// One request up to its answer, and all that were read behind it up to theirs; false if one had none and the connection
    /// has to end.
    async fn request(
        &mut self, read: Result<Option<DecodedRequest<'a>>, StatementRefusal>,
    ) -> io::Result<bool> {
        let asked = match read {
            Ok(Some(asked)) => asked,
            Ok(None) => {
                pg::put_empty_query(&mut self.line.out);
                self.ready();
                return Ok(true);
            }
            Err(StatementRefusal { fields, control }) => {
                self.block.advance(control);
                pg::put_error(&mut self.line.out, &fields);
                self.ready();
                return Ok(true);
            }
        };
        self.line.asked = true;
        self.unanswered = true;
        // The answers to commands before this one do not wait for its own.
        self.line.flush().await?;
        let scope = self.scope(&asked.call);
        let answer = {
            let mut life = self.all.life(ClientLink::Watched(self.watch));
            let answer = {
                let served = pin!(life.serve(&asked.call, &asked.statement, asked.plain.as_ref()));
                self.drive(served, scope, asked.plain.is_some()).await
            };
            self.told = life.told;
            answer
        };
        if !self.answer(answer, scope, asked.plain.as_ref()).await? {
            return Ok(false);
        }
        drop(asked);
        while let Some(entry) = self.pipeline.pop() {
            if !self.next_in_turn(entry).await? {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// The answer to a request that was read behind another, whose turn it is now.
    async fn next_in_turn(&mut self, entry: PipelineEntry<'a>) -> io::Result<bool> {
        let PipelineEntry { scope, claim, progress, .. } = entry;
        let answer = match progress {
            Progress::Answered(answer) => answer,
            Progress::Unanswered { mut serving, .. } => {
                self.unanswered = true;
                self.flush().await?;
                self.drive(serving.as_mut(), scope, false).await
            }
        };
        let answered = self.answer(answer, scope, None).await;
        drop(claim);
        answered
    }

    /// Writes what is due, and works on the requests behind it meanwhile.
    async fn flush(&mut self) -> io::Result<()> {
        self.count_taken();
        self.pipeline.beside(self.line.flush()).await
    }

    /// Works on the request whose turn it is, and on those behind it, which are read and begun meanwhile, unless it has to be
    /// `alone`.
    async fn drive<T>(
        &mut self, mut head: Pin<&mut (impl Future<Output = T> + ?Sized)>, scope: RequestScope, alone: bool,
    ) -> T {
        let mut much_comes = false;
        loop {
            if !alone {
                self.take_behind();
            }
            let ahead = if self.may_wait(alone) { ReadAheadMode::Bounded } else { ReadAheadMode::Discard };
            match self.next_event(head.as_mut(), &scope, ahead, much_comes).await {
                DriveEvent::Done(done) => return done,
                DriveEvent::Look => much_comes = false,
                DriveEvent::Read(ReadAhead::Bytes) => much_comes = true,
                DriveEvent::Read(ReadAhead::Abandoned(why)) => {
                    self.watch.abandon(why);
                    return self.end_all(head).await;
                }
            }
        }
    }

    /// The next event while the request `head` is open.
    async fn next_event<T>(
        &mut self, mut head: Pin<&mut (impl Future<Output = T> + ?Sized)>, scope: &RequestScope,
        ahead: ReadAheadMode, much_comes: bool,
    ) -> DriveEvent<T> {
        let read = async {
            if much_comes {
                // Others have their turn while it does.
                future::yield_now().await;
            }
            self.line.read_ahead(ahead).await
        };
        let mut read = pin!(read);
        poll_fn(|context| {
            // The client comes first: guards against an attempt that begins for one that has left.
            if let Poll::Ready(read) = read.as_mut().poll(context) {
                return Poll::Ready(DriveEvent::Read(read));
            }
            self.watch.looked();
            if let Poll::Ready(done) = head.as_mut().poll(context) {
                return Poll::Ready(DriveEvent::Done(done));
            }
            self.pipeline.advance(Some(scope), context);
            if self.watch.wants_look() { Poll::Ready(DriveEvent::Look) } else { Poll::Pending }
        })
        .await
    }

    /// The end of requests that are abandoned: each that has begun ends by itself, and at once.
    async fn end_all<T>(&mut self, mut head: Pin<&mut (impl Future<Output = T> + ?Sized)>) -> T {
        poll_fn(|context| {
            let done = head.as_mut().poll(context);
            self.pipeline.end_begun(context);
            done
        })
        .await
    }

    /// Whether reading may wait for room: what comes are requests, more than are begun at once, or one that is long.
    fn may_wait(&self, alone: bool) -> bool {
        match &self.held {
            _ if alone => false,
            None => true,
            Some(NextItem::Message(message, _)) => matches!(message, Frontend::LongQuery(..)),
            Some(NextItem::Request(_) | NextItem::Malformed(_)) => false,
        }
    }

    /// Takes the requests that have come behind an open one, as far as there is room; all else is held, and so is what
    /// comes behind it.
    fn take_behind(&mut self) {
        while self.held.is_none() && !self.line.read_buffer.is_empty() && self.has_room() {
            let message = match pg::decode_frontend(&mut self.line.read_buffer) {
                Ok(Some(message)) => message,
                Ok(None) => return,
                Err(e) => {
                    self.held = Some(NextItem::Malformed(e));
                    return;
                }
            };
            let came = self.came();
            self.held = match message {
                Frontend::Query(text) if !is_empty(&text) && self.is_independent(&text) => {
                    match self.read_request(text, came, 0) {
                        Ok(Some(DecodedRequest { call, statement, claim: Some(claim), plain: None })) => {
                            self.begin_behind(call, statement, claim);
                            None
                        }
                        other => Some(NextItem::Request(Box::new(other))),
                    }
                }
                other => Some(NextItem::Message(other, came)),
            };
            self.count_taken();
        }
    }

    /// Whether one more request may be begun behind the others.
    fn has_room(&mut self) -> bool {
        let most = self.all.hosts.max_connections() / PIPELINE_SHARE;
        self.pipeline.len() + 1 < most && self.line.taken_bytes < MOST_TAKEN_BYTES && self.line.affordable()
    }

    /// Whether a statement depends on nothing that its session did before. Plain ones do: what a session wrote, and a
    /// transaction that was refused, count for those behind.
    fn is_independent(&self, text: &str) -> bool {
        self.block != TransactionState::Refused
            && (self.all.statements().is_none() || Statement::has_request_comment(text))
    }

    fn begin_behind(&mut self, call: Request, statement: Statement, claim: IdClaim<'a>) {
        let (all, watch) = (self.all, self.watch);
        let (scope, bytes) = (self.scope(&call), statement.text().len());
        let serving =
            Box::pin(
                async move { all.life(ClientLink::Watched(watch)).serve(&call, &statement, None).await },
            );
        let progress = Progress::Unanswered { serving, begun: false };
        self.pipeline.push(PipelineEntry { scope, claim, bytes, progress });
    }

    /// Counts the memory of what was taken.
    fn count_taken(&mut self) {
        self.line.taken_bytes = self.pipeline.held_bytes();
    }

    fn scope(&self, call: &Request) -> RequestScope {
        RequestScope { class: call.class, group: call.group, writes: self.all.core.writes(call.class) }
    }

    /// One request of which so many bytes are still to come, up to its answer; false if there was none and the connection has
    /// to end.
    async fn long_request(&mut self, beginning: String, came: Micros, mut left: usize) -> io::Result<bool> {
        if !self.inside(&beginning) {
            match self.read_request(beginning, came, left) {
                Ok(Some(asked)) => {
                    self.line.asked = true;
                    self.unanswered = true;
                    self.line.flush().await?;
                    let client = ClientLink::Reading { line: &mut self.line, left: &mut left };
                    let mut life = self.all.life(client);
                    let answer = life.serve(&asked.call, &asked.statement, asked.plain.as_ref()).await;
                    self.told = life.told;
                    let scope = self.scope(&asked.call);
                    if !self.answer(answer, scope, asked.plain.as_ref()).await? {
                        return Ok(false);
                    }
                }
                other => drop(self.request(other).await?),
            }
        }
        // What is left of one that had its answer before its end.
        self.line.flush().await?;
        while left > 0 {
            match self.line.more().await? {
                ReadResult::Bytes => left -= self.line.read_buffer.discard(left),
                other => return self.line.over(other).await.map(|()| false),
            }
        }
        Ok(true)
    }

    /// Gives a request its answer; false if there is none and the connection has to end.
    async fn answer(
        &mut self, answer: Option<PendingAnswer>, of: RequestScope, plain: Option<&PlainRoute>,
    ) -> io::Result<bool> {
        let Some(answer) = answer else {
            self.line.end(CloseReason::ClientLeft);
            return Ok(false);
        };
        if mutants::on("closes unanswered") {
            self.line.end(CloseReason::Rested);
            return Ok(false);
        }
        let Some(verdict) = self.pass_on(answer).await else {
            self.line.end(CloseReason::ValueBrokenOff);
            return Ok(false);
        };
        self.unanswered = false;
        if let Some(terms) = plain {
            self.note_plain(terms, &verdict);
        }
        let core = &self.all.core;
        match &verdict {
            FinalAnswer::Refused { .. } => core.note(|r| r.request_unserved(of.class, of.group, true)),
            FinalAnswer::Failed => core.note(|r| r.request_unserved(of.class, of.group, false)),
            _ => {}
        }
        self.put_verdict(of.class, verdict);
        self.ready();
        Ok(true)
    }

    /// Whether something came behind the request whose turn it is, also where it was not read yet.
    fn has_requests_behind(&self) -> bool {
        !self.pipeline.is_empty() || self.held.is_some() || self.line.has_more()
    }

    /// Passes on what does not fit into the memory, and works on the requests behind it meanwhile. Nothing if the host
    /// broke it off.
    async fn pass_on(&mut self, answer: PendingAnswer) -> Option<FinalAnswer> {
        let (line, hosts) = (&mut self.line, &self.all.hosts);
        match answer {
            PendingAnswer::StreamedRow(long) => {
                match self.pipeline.beside(pass_on_value(line, hosts, long)).await {
                    StreamResult::Whole => Some(FinalAnswer::Streamed),
                    StreamResult::Nothing => Some(FinalAnswer::Failed),
                    StreamResult::BrokenOff { missing } if self.has_requests_behind() => {
                        // The end of the connection would be the clearer word, but it would take their answers with it.
                        self.pipeline.beside(fill_value(&mut self.line, missing)).await.ok()?;
                        Some(FinalAnswer::Failed)
                    }
                    StreamResult::BrokenOff { .. } | StreamResult::NotTaken => None,
                }
            }
            PendingAnswer::StreamedResult(stream) => {
                let told_at = pass_on_plain(line, hosts, stream).await?;
                // Where a commit was is told at the end.
                if let (Some((position, _)), Some(at)) = (&mut self.told, told_at) {
                    *position = Some(at);
                }
                Some(FinalAnswer::Streamed)
            }
            PendingAnswer::Complete(verdict) => Some(verdict),
        }
    }

    /// Whether a text stands in a transaction that was refused, and has its answer by that.
    fn inside(&mut self, text: &str) -> bool {
        let met = match self.all.statements().filter(|_| self.block == TransactionState::Refused) {
            Some(statements) => self.block.advance(statements.control(text)),
            None => TransactionStep::Process,
        };
        match met {
            TransactionStep::Process => return false,
            TransactionStep::End => pg::put_command_complete(&mut self.line.out, "ROLLBACK"),
            TransactionStep::Refuse => {
                let what = "the transaction was refused, and so is all in it, up to COMMIT or ROLLBACK";
                self.line.error(code::FAILED_TRANSACTION, what);
            }
        }
        self.ready();
        true
    }

    fn ready(&mut self) {
        pg::put_ready(&mut self.line.out, self.block == TransactionState::Refused);
    }

    /// Takes in how a plain statement ended: what its shape took, and what the session wrote.
    fn note_plain(&mut self, terms: &PlainRoute, verdict: &FinalAnswer) {
        if let (Some(statements), Some((_, took))) = (self.all.statements(), self.told) {
            statements.learn(terms, took);
            self.all.core.note(|r| r.shape_served(terms.shape_number(), took.as_micros() as u64));
        }
        let now = self.all.core.clock.now();
        match verdict {
            _ if !terms.writes => {}
            FinalAnswer::Served(_) | FinalAnswer::Plain(_) | FinalAnswer::Streamed => {
                self.own.record_answered(self.told.and_then(|t| t.0), now);
            }
            FinalAnswer::Failed => self.own.record_unknown(now),
            // It did not run, or was undone.
            FinalAnswer::Refused { .. } | FinalAnswer::Rejected(_) => {}
        }
    }

    /// Reads a request, of which so many bytes are still to come; the error is what the client is told instead.
    /// Nothing if there is no statement in it.
    fn read_request(
        &self, text: String, came: Micros, left: usize,
    ) -> Result<Option<DecodedRequest<'a>>, StatementRefusal> {
        let fields =
            |code: &str, message: String| ErrorFields { code: code.into(), message, ..Default::default() };
        let error = |code: &str, message: String| StatementRefusal::from(fields(code, message));
        let core = &self.all.core;
        let statements = self.all.statements().filter(|_| !Statement::has_request_comment(&text));
        let (class, statement, plain) = match statements {
            Some(_) if left > 0 => {
                let what = format!("a plain statement of over {} bytes", pg::MAX_MESSAGE_BYTES);
                return Err(error(code::LIMIT_EXCEEDED, what));
            }
            Some(statements) => {
                let (user, database) = self.who.as_deref().map_or(("", ""), |w| (&w.0, &w.1));
                let Some(terms) = statements.terms(&text, user, database)? else { return Ok(None) };
                let statement = Statement::plain(text, terms.deadline_ms, terms.group);
                (terms.class, statement, Some(terms))
            }
            None => {
                let statement = Statement::parse(text).map_err(|what| error(code::SYNTAX_ERROR, what))?;
                let class = core.program_settings.class_names.iter().position(|c| *c == statement.class);
                let class = class.and_then(|i| u8::try_from(i).ok());
                let no_class = || format!("no class {:?} here", statement.class);
                let class = class.ok_or_else(|| error(code::UNDEFINED_OBJECT, no_class()))?;
                (class, statement, None)
            }
        };
        if !core.knows_any_host() {
            core.count(class, |c| &mut c.busy);
            core.events.refused(&statement.id, RefusalReason::NoList);
            let refused = fields(code::CANNOT_CONNECT_NOW, "no database host is known yet".into());
            return Err(ErrorFields { retry_in_ms: advice(core.retry_in), ..refused }.into());
        }
        if !core.knows_group(statement.group) {
            let what = format!("no group {} in the list of database hosts", statement.group);
            return Err(error(code::UNDEFINED_OBJECT, what));
        }
        let claim = match plain {
            Some(_) => None,
            None => Some(self.all.admission.claim(&statement.id).ok_or_else(|| {
                let what = format!("id {:?} is that of another request", statement.id);
                error(code::DUPLICATE_OBJECT, what)
            })?),
        };
        let call = Request {
            class,
            session: if plain.is_some() { 0 } else { fnv1a(statement.session_key()) },
            group: statement.group,
            give_up_at: give_up_at(&statement, came, self.all.way_back),
            after: match plain {
                Some(_) => self.own.required_position(),
                None => statement.after_ms.map(Clock::from_unix_ms),
            },
            again: statement.client_retry,
            tenant: statement.tenant.as_deref().and_then(|t| core.tenant(t)),
            // A write whose comment names no key is never repeated either.
            plain: plain.is_some() || !statement.keyed && core.is_keyed(class),
            expected: plain.as_ref().map_or(0, |p| p.expected),
        };
        Ok(Some(DecodedRequest { call, statement, claim, plain }))
    }

    fn put_verdict(&mut self, class: u8, verdict: FinalAnswer) {
        self.all.core.count(class, |c| match verdict {
            FinalAnswer::Served(_) | FinalAnswer::Plain(_) | FinalAnswer::Streamed => &mut c.success,
            FinalAnswer::Refused { .. } => &mut c.busy,
            FinalAnswer::Failed | FinalAnswer::Rejected(_) => &mut c.failure,
        });
        match verdict {
            FinalAnswer::Served(row) if mutants::on("two answers") => {
                pg::put_row(&mut self.line.out, &row);
                self.ready();
                pg::put_row(&mut self.line.out, &row);
            }
            FinalAnswer::Served(row) => pg::put_row(&mut self.line.out, &row),
            FinalAnswer::Plain(bytes) if self.line.out.is_empty() => self.line.out = bytes,
            FinalAnswer::Plain(bytes) => self.line.out.extend(bytes),
            FinalAnswer::Streamed => {}
            FinalAnswer::Refused { retry_in } => {
                let fields = ErrorFields {
                    code: code::TOO_MANY_CONNECTIONS.into(),
                    message: "refused: trying again later is harmless".into(),
                    retry_in_ms: advice(retry_in),
                    ..Default::default()
                };
                pg::put_error(&mut self.line.out, &fields);
            }
            FinalAnswer::Rejected(e) => pg::put_error(&mut self.line.out, &ErrorFields { fatal: false, ..e }),
            FinalAnswer::Failed => {
                self.line.error(code::COMPLETION_UNKNOWN, "failed: it may or may not have run")
            }
        }
    }

    /// Opens the session; false if it ends instead.
    async fn startup(&mut self) -> io::Result<bool> {
        loop {
            match pg::decode_startup(&mut self.line.read_buffer) {
                Ok(None) => match self.line.flush_and_read().await? {
                    ReadResult::Bytes => {}
                    other => return self.line.over(other).await.map(|()| false),
                },
                Ok(Some(Startup::Encryption)) => self.line.out.push(b'N'),
                Ok(Some(Startup::Cancel)) => return Ok(false),
                Ok(Some(Startup::Session { minor, options, user, database })) => {
                    self.who = self.all.statements().map(|_| Box::new((user, database)));
                    if minor > 0 || !options.is_empty() {
                        pg::put_negotiate_protocol_version(&mut self.line.out, &options);
                    }
                    pg::put_welcome(&mut self.line.out);
                    return Ok(true);
                }
                Err(e) => return self.line.fatal(code::PROTOCOL_VIOLATION, &e.0).await.map(|()| false),
            }
        }
    }
}
