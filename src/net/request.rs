//! A request's life, from its ticket to its answer: `RequestHandler::serve` reads from top to bottom. It owns nothing beyond that:
//! the connection is its line's, the attempt its host's owner's, the turn of its answer its session's. It must never choose
//! a host or judge an outcome: at each point of choice it asks the core.

use super::admission::Admission;
use super::client_connection::{Abandoned, ClientConnection, ReadResult};
use super::core::{AttemptEnd, Core, Directive, Request, RequestHandle};
use super::events::RefusalReason;
use super::hosts::{
    ApprovedStart, AttemptConnection, AttemptContext, CompletedAttempt, Hosts, StreamedAnswer, StreamedValue,
};
use super::statements::PlainRoute;
use super::world::{self, Stream};
use crate::invariants::{self, Violation};
use crate::mutants;
use crate::pg::{self, ErrorFields, Row, Statement};
use crate::{HostId, HostReport, Micros, Outcome};
use futures_lite::future;
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// A value that was broken off is filled in pieces of so many bytes.
const FILLER_BYTES: usize = 32 * 1024;
/// The longest wait that is believed of a client.
const MOST_PATIENCE_MS: u64 = 60_000;

/// The one final answer to a request.
pub enum FinalAnswer {
    Served(Row),
    /// The answer to a plain statement, all of its results.
    Plain(Vec<u8>),
    /// The client has its row already, and the end of the command.
    Streamed,
    Refused {
        retry_in: Micros,
    },
    Failed,
    /// The statement itself was wrong, as a database host says.
    Rejected(ErrorFields),
}

/// What a request ends with, until its turn comes.
pub enum PendingAnswer {
    Complete(FinalAnswer),
    /// A row whose value is passed on as its client takes it.
    StreamedRow(Box<StreamedValue>),
    /// The same of all that a plain statement gives.
    StreamedResult(Box<StreamedAnswer>),
}

impl PendingAnswer {
    /// The memory that it holds.
    pub fn held_bytes(&self) -> usize {
        match self {
            PendingAnswer::Complete(FinalAnswer::Served(row)) => row.value.as_ref().map_or(0, Vec::len),
            PendingAnswer::Complete(FinalAnswer::Plain(bytes)) => bytes.len(),
            PendingAnswer::Complete(FinalAnswer::Rejected(fields)) => fields.raw.len(),
            PendingAnswer::Complete(
                FinalAnswer::Streamed | FinalAnswer::Refused { .. } | FinalAnswer::Failed,
            ) => 0,
            // What has come of them waits at their connections.
            PendingAnswer::StreamedRow(_) | PendingAnswer::StreamedResult(_) => 0,
        }
    }
}

/// What a session has seen of its client, told to all its open requests. The session works on them in one task, so
/// that nobody has to be woken.
pub struct ClientWatch {
    stream: Rc<Stream>,
    abandoned: Cell<Option<Abandoned>>,
    /// A request wants the connection looked at once more before it begins another attempt.
    wants_look: Cell<bool>,
}

impl ClientWatch {
    pub fn new(stream: Rc<Stream>) -> ClientWatch {
        ClientWatch { stream, abandoned: Cell::default(), wants_look: Cell::default() }
    }

    /// Whether the client has closed the connection, as the machine knows at this moment: its end may be there, and not
    /// read yet.
    pub fn has_left(&self) -> bool {
        let known = self.abandoned.get() == Some(Abandoned::ClientGone);
        known || (self.stream.is_hung_up() && !mutants::on("departures are not seen"))
    }

    /// From now on nothing more is begun.
    pub fn abandon(&self, why: Abandoned) {
        self.abandoned.set(Some(why));
    }

    /// The connection has been looked at.
    pub fn looked(&self) {
        self.wants_look.set(false);
    }

    /// Whether it is to be looked at again at once.
    pub fn wants_look(&self) -> bool {
        self.wants_look.get()
    }

    /// Returns once the connection has been looked at again.
    async fn look(&self) {
        self.wants_look.set(true);
        let waits = || self.wants_look.get() && self.abandoned.get().is_none();
        poll_fn(|_| if waits() { Poll::Pending } else { Poll::Ready(()) }).await;
    }

    /// Returns once nothing more is to be begun.
    async fn abandoned(&self) -> Abandoned {
        poll_fn(|_| self.abandoned.get().map_or(Poll::Pending, Poll::Ready)).await
    }
}

/// How a request hears of its client.
pub enum ClientLink<'l, 'a> {
    /// Its statement is whole, and its session reads on meanwhile.
    Watched(&'l ClientWatch),
    /// So many bytes of its statement are still to come, which it reads itself.
    Reading { line: &'l mut ClientConnection<'a>, left: &'l mut usize },
}

impl ClientLink<'_, '_> {
    /// How many bytes of the statement are still to come.
    fn left(&self) -> usize {
        match self {
            ClientLink::Watched(_) => 0,
            ClientLink::Reading { left, .. } => **left,
        }
    }

    /// Whether the client has closed the connection, as the machine knows at this moment.
    fn has_left(&self) -> bool {
        match self {
            ClientLink::Watched(watch) => watch.has_left(),
            ClientLink::Reading { line, .. } => line.is_hung_up(),
        }
    }

    /// Returns once nothing more is to be begun for the request.
    async fn abandoned(&mut self) -> Abandoned {
        match self {
            ClientLink::Watched(watch) => watch.abandoned().await,
            // What is still to come of a long statement stays where it is until a host is chosen.
            ClientLink::Reading { line, left } => line.abandoned(**left == 0).await,
        }
    }

    /// The client comes first: guards against another attempt that begins for one that has left.
    async fn look(&self) {
        if let ClientLink::Watched(watch) = self {
            watch.look().await;
        }
    }
}

/// Why a long statement did not get to a host.
enum UploadError {
    /// The outcome that the lack of a connection amounts to; nothing has run.
    NoConnection(Outcome),
    /// The client broke it off.
    BrokenOff,
}

/// When the client of a statement whose last byte came then gives it up, less the way back: the
/// answer has to be there by then, not only on its way.
pub fn give_up_at(statement: &Statement, came: Micros, way_back: Micros) -> Micros {
    let patience = statement.deadline_ms.min(MOST_PATIENCE_MS) * 1_000;
    came + patience.saturating_sub(way_back).max(patience / 2)
}

/// One request, while it is served.
pub struct RequestHandler<'l, 'a> {
    pub client: ClientLink<'l, 'a>,
    pub core: &'l Rc<Core>,
    pub hosts: &'l Rc<Hosts>,
    pub admission: &'l Rc<Admission>,
    pub way_back: Micros,
    /// What the last answer told of its commit, and how long it took.
    pub told: Option<(Option<Micros>, Duration)>,
}

/// One attempt, as the module orders it.
struct Attempt {
    host: HostId,
    number: u8,
    until: Micros,
    /// When it began, for what the module hears of its host.
    begun: Instant,
    begun_at: Micros,
}

/// What ended an attempt.
enum AttemptEvent {
    Ended(CompletedAttempt),
    Ordered(Directive),
    Uploaded(Result<AttemptConnection, UploadError>),
    Abandoned(Abandoned),
}

impl AttemptEvent {
    /// How the attempt ended.
    fn outcome(&self) -> Outcome {
        match self {
            AttemptEvent::Ended(attempted) => attempted.outcome,
            AttemptEvent::Uploaded(Err(UploadError::NoConnection(outcome))) => *outcome,
            AttemptEvent::Uploaded(_) | AttemptEvent::Ordered(_) | AttemptEvent::Abandoned(_) => {
                Outcome::Cancelled
            }
        }
    }
}

/// What follows on the end of an attempt.
enum NextStep {
    /// The end of the request.
    Done(Option<PendingAnswer>),
    /// The module's next order, where it has come already.
    Order(Option<Directive>),
}

impl RequestHandler<'_, '_> {
    /// The life of one request. Nothing if its client left before it was answered, or can no longer be answered in order.
    pub async fn serve(
        &mut self, call: &Request, statement: &Statement, plain: Option<&PlainRoute>,
    ) -> Option<PendingAnswer> {
        let (core, hosts) = (self.core, self.hosts);
        // At the door, before it could wait for anything.
        if self.admission.is_cut_off() {
            return self.refuse(&statement.id, RefusalReason::Stopping, core.retry_in);
        }
        if !core.lets_in(call) {
            return self.refuse(&statement.id, RefusalReason::Headroom, core.retry_in);
        }
        let writes = plain.is_some_and(|p| p.writes);
        let ticket = core.open(call, self.client.left() > 0);
        // Whether any attempt was written whole: only what was not is harmless to try again.
        let sent_on = Cell::new(false);
        let written = || {
            sent_on.set(true);
            core.count(call.class, |c| &mut c.backend_calls);
        };
        let watch = match &self.client {
            ClientLink::Watched(watch) => Some(*watch),
            ClientLink::Reading { .. } => None,
        };
        let asks = |now| AttemptContext {
            client_disconnected: watch.is_some_and(ClientWatch::has_left),
            request: ticket.start_conditions(now),
        };
        let (mut order, mut before, mut may_have_run) = (None, None, false);
        loop {
            let next = match self.next_order(&ticket, order.take()).await {
                Ok(order) => order,
                Err(why) => {
                    ticket.abandoned();
                    return self.last_answer(why, &statement.id, sent_on.get());
                }
            };
            let (host, number, until) = match next {
                Directive::Attempt { host, number, until } => (host, number, until),
                Directive::Refuse { retry_in } => {
                    self.check_refusal(call, &statement.id, may_have_run);
                    return self.refuse(&statement.id, RefusalReason::Module, retry_in);
                }
                Directive::Fail => return whole(FinalAnswer::Failed),
                // The attempt ended on its own just before.
                Directive::Withdraw => continue,
            };
            if let Some(outcome) = before.take() {
                core.events.repeated(&statement.id, outcome);
            }
            let heard = Cell::default();
            let begun = world::now();
            let begun_at = core.clock.micros(begun);
            let mut attempt = Attempt { host, number, until, begun, begun_at };
            let coming = self.client.left();
            // Whichever comes first; the others are dropped here, and with an attempt its connection:
            // it is closed before the module hears of it, so that no second copy can be out.
            let mut happened = if coming > 0 {
                self.upload(&attempt, &ticket, statement).await
            } else {
                let attempt = pin!(hosts.attempt(host, statement, writes, until, asks, written, &heard));
                self.beside(attempt, &ticket).await
            };
            // What was passed on in pieces is not here any more for another attempt.
            let once = self.client.left() < coming;
            if once {
                // The client's pace says nothing of the host's.
                attempt.begun = world::now();
            }
            if let AttemptEvent::Uploaded(Ok(opened)) = happened {
                // Its last byte is here: its time begins.
                let give_up_at = give_up_at(statement, core.clock.now(), self.way_back);
                written();
                ticket.whole(give_up_at);
                let answer = pin!(hosts.read_answer(opened, give_up_at, &heard));
                happened = self.beside(answer, &ticket).await;
            }
            let ended = happened.outcome();
            may_have_run |= !ended.never_ran();
            before = Some(ended);
            let next = match happened {
                AttemptEvent::Ended(attempted) => {
                    self.take_in(attempted, &attempt, &ticket, call, statement, once)
                }
                AttemptEvent::Uploaded(Err(UploadError::NoConnection(outcome))) => {
                    if once {
                        ticket.answered();
                    }
                    attempt.ended(&ticket, outcome, HostReport::default());
                    let refused = || self.refuse(&statement.id, RefusalReason::NoConnection, core.retry_in);
                    if once { NextStep::Done(refused()) } else { NextStep::Order(None) }
                }
                AttemptEvent::Ordered(other) => {
                    if matches!(other, Directive::Attempt { .. }) {
                        let about = format_args!("id {:?}", statement.id);
                        core.events.violated(Violation::SecondAttempt, &about);
                    }
                    attempt.ended(&ticket, Outcome::Cancelled, heard.get());
                    NextStep::Order(Some(other))
                }
                AttemptEvent::Uploaded(_) => {
                    ticket.abandoned();
                    attempt.ended(&ticket, Outcome::Cancelled, HostReport::default());
                    NextStep::Done(None)
                }
                AttemptEvent::Abandoned(why) => {
                    ticket.abandoned();
                    attempt.ended(&ticket, Outcome::Cancelled, heard.get());
                    NextStep::Done(self.last_answer(why, &statement.id, sent_on.get()))
                }
            };
            match next {
                NextStep::Done(answer) => return answer,
                NextStep::Order(next) => order = next,
            }
            self.client.look().await;
        }
    }

    /// The module's next order, or why none is followed any more.
    async fn next_order(
        &mut self, ticket: &RequestHandle<'_>, had: Option<Directive>,
    ) -> Result<Directive, Abandoned> {
        let abandoned = async { Err(self.client.abandoned().await) };
        let ordered = async {
            match had {
                Some(order) => Ok(order),
                None => Ok(ticket.order().await),
            }
        };
        future::or(abandoned, ordered).await
    }

    /// The answer to a request that is abandoned: none to a client that has left.
    fn last_answer(&self, why: Abandoned, id: &str, sent_on: bool) -> Option<PendingAnswer> {
        match why {
            Abandoned::ClientGone => None,
            Abandoned::CutOff if sent_on => whole(FinalAnswer::Failed),
            Abandoned::CutOff => self.refuse(id, RefusalReason::Stopping, self.core.retry_in),
        }
    }

    /// A refusal: no further try does harm.
    fn refuse(&self, id: &str, reason: RefusalReason, retry_in: Micros) -> Option<PendingAnswer> {
        self.core.events.refused(id, reason);
        whole(FinalAnswer::Refused { retry_in })
    }

    /// Tells where a request is refused that must not run again, and may have run.
    fn check_refusal(&self, call: &Request, id: &str, may_have_run: bool) {
        let Some(idempotency) = self.core.idempotency(call.class) else { return };
        if !invariants::may_refuse(idempotency, may_have_run, call.plain) {
            self.core.events.violated(Violation::RefusedAfterRun, &format_args!("id {id:?}"));
        }
    }

    /// Takes in what came of an attempt, which cannot be made again where it is made `once`.
    fn take_in(
        &mut self, attempted: CompletedAttempt, attempt: &Attempt, ticket: &RequestHandle<'_>,
        call: &Request, statement: &Statement, once: bool,
    ) -> NextStep {
        let CompletedAttempt {
            mut outcome,
            report: note,
            mut row,
            statement_error: rejected,
            long_value: long,
            plain_answer: plain,
            plain_stream: stream,
        } = attempted;
        if let Some(e) = rejected {
            ticket.answered();
            attempt.ended(ticket, outcome, note);
            return NextStep::Done(whole(FinalAnswer::Rejected(e)));
        }
        if let Some(mut long) = long {
            long.write = self.core.streamed_write(call);
            // The host has done its work: a slow reader must not look like a slow host.
            attempt.ended(ticket, outcome, note);
            return NextStep::Done(Some(PendingAnswer::StreamedRow(long)));
        }
        if let Some(stream) = stream {
            // As with a long row: the host has begun, and the rest is as fast as its reader.
            self.told = Some((note.position, world::since(attempt.begun)));
            attempt.ended(ticket, outcome, note);
            return NextStep::Done(Some(PendingAnswer::StreamedResult(stream)));
        }
        if let Some(bytes) = plain {
            self.told = Some((note.position, world::since(attempt.begun)));
            attempt.ended(ticket, outcome, note);
            return NextStep::Done(whole(FinalAnswer::Plain(bytes)));
        }
        let stale = || ticket.stale_outcome(attempt.host, &note, attempt.begun_at);
        if let Some(stale) = row.as_ref().filter(|_| !once).and_then(|_| stale()) {
            (outcome, row) = (stale, None);
        }
        if once {
            ticket.answered();
        }
        attempt.ended(ticket, outcome, note);
        match row {
            Some(row) => NextStep::Done(whole(FinalAnswer::Served(row))),
            None if once && outcome.never_ran() => {
                let retry_in = self.core.retry_in;
                NextStep::Done(self.refuse(&statement.id, RefusalReason::NoConnection, retry_in))
            }
            None if once => NextStep::Done(whole(FinalAnswer::Failed)),
            None => NextStep::Order(None),
        }
    }

    /// The work, unless the module orders something else before, the client leaves, or the stop's time is over. An answer
    /// that is here comes first, for what it tells of its server; whether another attempt begins is looked at behind it.
    async fn beside(
        &mut self, work: Pin<&mut impl Future<Output = CompletedAttempt>>, ticket: &RequestHandle<'_>,
    ) -> AttemptEvent {
        let work = async { AttemptEvent::Ended(work.await) };
        let ordered = async { AttemptEvent::Ordered(ticket.order().await) };
        let abandoned = async { AttemptEvent::Abandoned(self.client.abandoned().await) };
        future::or(work, future::or(ordered, abandoned)).await
    }

    /// Passes on a long statement, unless the module orders something else before, or the stop's time is over.
    async fn upload(
        &mut self, attempt: &Attempt, ticket: &RequestHandle<'_>, statement: &Statement,
    ) -> AttemptEvent {
        let (hosts, admission) = (self.hosts, self.admission);
        let upload = async {
            let client = &self.client;
            let asks = |now| AttemptContext {
                client_disconnected: client.has_left(),
                request: ticket.start_conditions(now),
            };
            let opened = hosts.open(attempt.host, &statement.id, attempt.until, asks).await;
            let (opened, start) = opened.map_err(UploadError::NoConnection)?;
            match &mut self.client {
                ClientLink::Reading { line, left } => {
                    let mut upload = LongUpload { hosts, opened, statement, left };
                    upload.begin(start).await?;
                    upload.pass_on(line).await?;
                    Ok(upload.opened)
                }
                // It is whole already.
                ClientLink::Watched(_) => Ok(opened),
            }
        };
        let upload = async { AttemptEvent::Uploaded(upload.await) };
        let ordered = async { AttemptEvent::Ordered(ticket.order().await) };
        let cut_off = async {
            admission.until_cut_off().await;
            AttemptEvent::Abandoned(Abandoned::CutOff)
        };
        future::or(upload, future::or(ordered, cut_off)).await
    }
}

fn whole(verdict: FinalAnswer) -> Option<PendingAnswer> {
    Some(PendingAnswer::Complete(verdict))
}

impl Attempt {
    /// It has ended: the module hears how.
    fn ended(&self, ticket: &RequestHandle<'_>, outcome: Outcome, note: HostReport) {
        let latency = world::since(self.begun);
        ticket.ended(AttemptEnd { host: self.host, number: self.number, outcome, latency, note });
    }
}

/// A long statement that is passed on as its client writes it.
struct LongUpload<'u> {
    hosts: &'u Hosts,
    opened: AttemptConnection,
    statement: &'u Statement,
    left: &'u mut usize,
}

impl LongUpload<'_> {
    /// Passes on its beginning.
    async fn begin(&mut self, start: ApprovedStart) -> Result<(), UploadError> {
        let mut piece = Vec::new();
        pg::put_long_query(&mut piece, self.statement.text(), *self.left);
        self.write(&piece).await?;
        // Its client's own time is passed on, and runs from its last byte.
        self.hosts.check_started(&self.opened, &start, &self.statement.id, 0, Micros::MAX);
        Ok(())
    }

    /// Passes on the rest, up to its last byte.
    async fn pass_on(&mut self, line: &mut ClientConnection<'_>) -> Result<(), UploadError> {
        let mut piece = Vec::new();
        while *self.left > 0 {
            match line.more().await {
                Ok(ReadResult::Bytes) => {}
                Ok(why) => {
                    // It hears so; the connection ends in either case.
                    let _ = line.over(why).await;
                    return Err(UploadError::BrokenOff);
                }
                Err(_) => return Err(UploadError::BrokenOff),
            }
            piece.clear();
            *self.left -= line.read_buffer.move_to(&mut piece, *self.left);
            self.write(&piece).await?;
        }
        Ok(())
    }

    async fn write(&mut self, piece: &[u8]) -> Result<(), UploadError> {
        let written = self.opened.write(piece).await;
        written.map_err(|_| UploadError::NoConnection(Outcome::ConnectFailed))
    }
}

/// What came of a value that is passed on in pieces.
pub enum StreamResult {
    Whole,
    /// Its host broke it off before the client had any of it.
    Nothing,
    /// Its host broke it off, so many bytes before its end.
    BrokenOff {
        missing: usize,
    },
    /// Its client takes nothing any more.
    NotTaken,
}

/// Passes on a value as fast as its client takes it.
pub async fn pass_on_value(
    line: &mut ClientConnection<'_>, hosts: &Hosts, mut long: Box<StreamedValue>,
) -> StreamResult {
    let before = line.out.len();
    pg::put_long_row(&mut line.out, &long.column, long.value_bytes);
    let mut begun = false;
    loop {
        match long.read_piece(&mut line.out).await {
            Ok(0) => break,
            Ok(_) => {}
            Err(_) if begun => return StreamResult::BrokenOff { missing: long.remaining_bytes() },
            Err(_) => {
                line.out.truncate(before);
                return StreamResult::Nothing;
            }
        }
        begun = true;
        if line.flush().await.is_err() {
            return StreamResult::NotTaken;
        }
    }
    match hosts.finish_value(long).await {
        Some(tag) => {
            pg::put_command_complete(&mut line.out, &tag);
            StreamResult::Whole
        }
        None => StreamResult::BrokenOff { missing: 0 },
    }
}

/// Fills a value that was broken off up to its length, so that the message ends and others can follow it. An error in place
/// of the command's end tells the client that the value is none.
pub async fn fill_value(line: &mut ClientConnection<'_>, mut missing: usize) -> io::Result<()> {
    while missing > 0 {
        let piece = missing.min(FILLER_BYTES);
        line.out.resize(line.out.len() + piece, b' ');
        line.flush().await?;
        missing -= piece;
    }
    Ok(())
}

/// Passes on the answer to a plain statement as fast as its client takes it: what it tells of its commit. Nothing if the
/// host breaks it off.
pub async fn pass_on_plain(
    line: &mut ClientConnection<'_>, hosts: &Hosts, mut answer: Box<StreamedAnswer>,
) -> Option<Option<Micros>> {
    line.out.append(&mut answer.beginning);
    line.flush().await.ok()?;
    while answer.read_piece(&mut line.out).await.ok()? {
        line.flush().await.ok()?;
    }
    let position = answer.report.position;
    hosts.return_plain_connection(*answer);
    Some(position)
}
