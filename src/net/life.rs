//! A request's life, from its ticket to its answer: `Life::serve` reads from top to bottom. It owns nothing beyond that:
//! the connection is its line's, the attempt its host's owner's, the turn of its answer its session's. It must never choose
//! a host or judge an outcome: at each point of choice it asks the core.

use super::admission::Admission;
use super::core::{Call, Core, Directive, Ending, Ticket};
use super::events::RefusalReason;
use super::hosts::{
    ApprovedStart, AttemptConnection, AttemptContext, CompletedAttempt, Hosts, StreamedAnswer, StreamedValue,
};
use super::line::{Abandoned, Came, Line};
use super::statements::Terms;
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
pub enum Verdict {
    Served(Row),
    /// The answer to a plain statement, all of its results.
    Plain(Vec<u8>),
    /// The client has its row already, and the end of the command.
    Passed,
    Refused {
        retry_in: Micros,
    },
    Failed,
    /// The statement itself was wrong, as a database host says.
    Rejected(ErrorFields),
}

/// What a request ends with, until its turn comes.
pub enum Answer {
    Whole(Verdict),
    /// A row whose value is passed on as its client takes it.
    Long(Box<StreamedValue>),
    /// The same of all that a plain statement gives.
    Stream(Box<StreamedAnswer>),
}

impl Answer {
    /// The memory that it holds.
    pub fn held_bytes(&self) -> usize {
        match self {
            Answer::Whole(Verdict::Served(row)) => row.value.as_ref().map_or(0, Vec::len),
            Answer::Whole(Verdict::Plain(bytes)) => bytes.len(),
            Answer::Whole(Verdict::Rejected(fields)) => fields.whole.len(),
            Answer::Whole(Verdict::Passed | Verdict::Refused { .. } | Verdict::Failed) => 0,
            // What has come of them waits at their connections.
            Answer::Long(_) | Answer::Stream(_) => 0,
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
pub enum Client<'l, 'a> {
    /// Its statement is whole, and its session reads on meanwhile.
    Watched(&'l ClientWatch),
    /// So many bytes of its statement are still to come, which it reads itself.
    Reading { line: &'l mut Line<'a>, left: &'l mut usize },
}

impl Client<'_, '_> {
    /// How many bytes of the statement are still to come.
    fn left(&self) -> usize {
        match self {
            Client::Watched(_) => 0,
            Client::Reading { left, .. } => **left,
        }
    }

    /// Whether the client has closed the connection, as the machine knows at this moment.
    fn has_left(&self) -> bool {
        match self {
            Client::Watched(watch) => watch.has_left(),
            Client::Reading { line, .. } => line.is_hung_up(),
        }
    }

    /// Returns once nothing more is to be begun for the request.
    async fn abandoned(&mut self) -> Abandoned {
        match self {
            Client::Watched(watch) => watch.abandoned().await,
            // What is still to come of a long statement stays where it is until a host is chosen.
            Client::Reading { line, left } => line.abandoned(**left == 0).await,
        }
    }

    /// The client comes first: guards against another attempt that begins for one that has left.
    async fn look(&self) {
        if let Client::Watched(watch) = self {
            watch.look().await;
        }
    }
}

/// Why a long statement did not get to a host.
enum Upload {
    /// The outcome that the lack of a connection amounts to; nothing has run.
    NoConnection(Outcome),
    /// The client broke it off.
    BrokenOff,
}

/// When the client of a statement whose last byte came then gives it up, less the way back: the
/// answer has to be there by then, not only on its way.
pub fn give_up_at(statement: &Statement, came: Micros, way_back: Micros) -> Micros {
    let patience = statement.patience_ms.min(MOST_PATIENCE_MS) * 1_000;
    came + patience.saturating_sub(way_back).max(patience / 2)
}

/// One request, while it is served.
pub struct Life<'l, 'a> {
    pub client: Client<'l, 'a>,
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
enum Happened {
    Ended(CompletedAttempt),
    Ordered(Directive),
    Uploaded(Result<AttemptConnection, Upload>),
    Abandoned(Abandoned),
}

impl Happened {
    /// How the attempt ended.
    fn outcome(&self) -> Outcome {
        match self {
            Happened::Ended(attempted) => attempted.outcome,
            Happened::Uploaded(Err(Upload::NoConnection(outcome))) => *outcome,
            Happened::Uploaded(_) | Happened::Ordered(_) | Happened::Abandoned(_) => Outcome::Cancelled,
        }
    }
}

/// What follows on the end of an attempt.
enum Next {
    /// The end of the request.
    Done(Option<Answer>),
    /// The module's next order, where it has come already.
    Order(Option<Directive>),
}

impl Life<'_, '_> {
    /// The life of one request. Nothing if its client left before it was answered, or can no longer be answered in order.
    pub async fn serve(
        &mut self, call: &Call, statement: &Statement, plain: Option<&Terms>,
    ) -> Option<Answer> {
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
            Client::Watched(watch) => Some(*watch),
            Client::Reading { .. } => None,
        };
        let asks = |now| AttemptContext {
            client_disconnected: watch.is_some_and(ClientWatch::has_left),
            request: ticket.starts(now),
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
                Directive::Fail => return whole(Verdict::Failed),
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
            if let Happened::Uploaded(Ok(opened)) = happened {
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
                Happened::Ended(attempted) => {
                    self.take_in(attempted, &attempt, &ticket, call, statement, once)
                }
                Happened::Uploaded(Err(Upload::NoConnection(outcome))) => {
                    if once {
                        ticket.answered();
                    }
                    attempt.ended(&ticket, outcome, HostReport::default());
                    let refused = || self.refuse(&statement.id, RefusalReason::NoConnection, core.retry_in);
                    if once { Next::Done(refused()) } else { Next::Order(None) }
                }
                Happened::Ordered(other) => {
                    if matches!(other, Directive::Attempt { .. }) {
                        let about = format_args!("id {:?}", statement.id);
                        core.events.violated(Violation::SecondAttempt, &about);
                    }
                    attempt.ended(&ticket, Outcome::Cancelled, heard.get());
                    Next::Order(Some(other))
                }
                Happened::Uploaded(_) => {
                    ticket.abandoned();
                    attempt.ended(&ticket, Outcome::Cancelled, HostReport::default());
                    Next::Done(None)
                }
                Happened::Abandoned(why) => {
                    ticket.abandoned();
                    attempt.ended(&ticket, Outcome::Cancelled, heard.get());
                    Next::Done(self.last_answer(why, &statement.id, sent_on.get()))
                }
            };
            match next {
                Next::Done(answer) => return answer,
                Next::Order(next) => order = next,
            }
            self.client.look().await;
        }
    }

    /// The module's next order, or why none is followed any more.
    async fn next_order(
        &mut self, ticket: &Ticket<'_>, had: Option<Directive>,
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
    fn last_answer(&self, why: Abandoned, id: &str, sent_on: bool) -> Option<Answer> {
        match why {
            Abandoned::ClientGone => None,
            Abandoned::CutOff if sent_on => whole(Verdict::Failed),
            Abandoned::CutOff => self.refuse(id, RefusalReason::Stopping, self.core.retry_in),
        }
    }

    /// A refusal: no further try does harm.
    fn refuse(&self, id: &str, reason: RefusalReason, retry_in: Micros) -> Option<Answer> {
        self.core.events.refused(id, reason);
        whole(Verdict::Refused { retry_in })
    }

    /// Tells where a request is refused that must not run again, and may have run.
    fn check_refusal(&self, call: &Call, id: &str, may_have_run: bool) {
        let Some(idempotency) = self.core.idempotency(call.class) else { return };
        if !invariants::may_refuse(idempotency, may_have_run, call.plain) {
            self.core.events.violated(Violation::RefusedAfterRun, &format_args!("id {id:?}"));
        }
    }

    /// Takes in what came of an attempt, which cannot be made again where it is made `once`.
    fn take_in(
        &mut self, attempted: CompletedAttempt, attempt: &Attempt, ticket: &Ticket<'_>, call: &Call,
        statement: &Statement, once: bool,
    ) -> Next {
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
            return Next::Done(whole(Verdict::Rejected(e)));
        }
        if let Some(mut long) = long {
            long.write = self.core.streamed_write(call);
            // The host has done its work: a slow reader must not look like a slow host.
            attempt.ended(ticket, outcome, note);
            return Next::Done(Some(Answer::Long(long)));
        }
        if let Some(stream) = stream {
            // As with a long row: the host has begun, and the rest is as fast as its reader.
            self.told = Some((note.position, world::since(attempt.begun)));
            attempt.ended(ticket, outcome, note);
            return Next::Done(Some(Answer::Stream(stream)));
        }
        if let Some(bytes) = plain {
            self.told = Some((note.position, world::since(attempt.begun)));
            attempt.ended(ticket, outcome, note);
            return Next::Done(whole(Verdict::Plain(bytes)));
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
            Some(row) => Next::Done(whole(Verdict::Served(row))),
            None if once && outcome.never_ran() => {
                let retry_in = self.core.retry_in;
                Next::Done(self.refuse(&statement.id, RefusalReason::NoConnection, retry_in))
            }
            None if once => Next::Done(whole(Verdict::Failed)),
            None => Next::Order(None),
        }
    }

    /// The work, unless the module orders something else before, the client leaves, or the stop's time is over. An answer
    /// that is here comes first, for what it tells of its server; whether another attempt begins is looked at behind it.
    async fn beside(
        &mut self, work: Pin<&mut impl Future<Output = CompletedAttempt>>, ticket: &Ticket<'_>,
    ) -> Happened {
        let work = async { Happened::Ended(work.await) };
        let ordered = async { Happened::Ordered(ticket.order().await) };
        let abandoned = async { Happened::Abandoned(self.client.abandoned().await) };
        future::or(work, future::or(ordered, abandoned)).await
    }

    /// Passes on a long statement, unless the module orders something else before, or the stop's time is over.
    async fn upload(&mut self, attempt: &Attempt, ticket: &Ticket<'_>, statement: &Statement) -> Happened {
        let (hosts, admission) = (self.hosts, self.admission);
        let upload = async {
            let client = &self.client;
            let asks =
                |now| AttemptContext { client_disconnected: client.has_left(), request: ticket.starts(now) };
            let opened = hosts.open(attempt.host, &statement.id, attempt.until, asks).await;
            let (opened, start) = opened.map_err(Upload::NoConnection)?;
            match &mut self.client {
                Client::Reading { line, left } => {
                    let mut upload = LongUpload { hosts, opened, statement, left };
                    upload.begin(start).await?;
                    upload.pass_on(line).await?;
                    Ok(upload.opened)
                }
                // It is whole already.
                Client::Watched(_) => Ok(opened),
            }
        };
        let upload = async { Happened::Uploaded(upload.await) };
        let ordered = async { Happened::Ordered(ticket.order().await) };
        let cut_off = async {
            admission.until_cut_off().await;
            Happened::Abandoned(Abandoned::CutOff)
        };
        future::or(upload, future::or(ordered, cut_off)).await
    }
}

fn whole(verdict: Verdict) -> Option<Answer> {
    Some(Answer::Whole(verdict))
}

impl Attempt {
    /// It has ended: the module hears how.
    fn ended(&self, ticket: &Ticket<'_>, outcome: Outcome, note: HostReport) {
        let latency = world::since(self.begun);
        ticket.ended(Ending { host: self.host, number: self.number, outcome, latency, note });
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
    async fn begin(&mut self, start: ApprovedStart) -> Result<(), Upload> {
        let mut piece = Vec::new();
        pg::put_long_query(&mut piece, self.statement.text(), *self.left);
        self.write(&piece).await?;
        // Its client's own time is passed on, and runs from its last byte.
        self.hosts.check_started(&self.opened, &start, &self.statement.id, 0, Micros::MAX);
        Ok(())
    }

    /// Passes on the rest, up to its last byte.
    async fn pass_on(&mut self, line: &mut Line<'_>) -> Result<(), Upload> {
        let mut piece = Vec::new();
        while *self.left > 0 {
            match line.more().await {
                Ok(Came::Bytes) => {}
                Ok(why) => {
                    // It hears so; the connection ends in either case.
                    let _ = line.over(why).await;
                    return Err(Upload::BrokenOff);
                }
                Err(_) => return Err(Upload::BrokenOff),
            }
            piece.clear();
            *self.left -= line.inbox.move_to(&mut piece, *self.left);
            self.write(&piece).await?;
        }
        Ok(())
    }

    async fn write(&mut self, piece: &[u8]) -> Result<(), Upload> {
        let written = self.opened.write(piece).await;
        written.map_err(|_| Upload::NoConnection(Outcome::ConnectFailed))
    }
}

/// What came of a value that is passed on in pieces.
pub enum PassedOn {
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
pub async fn pass_on_value(line: &mut Line<'_>, hosts: &Hosts, mut long: Box<StreamedValue>) -> PassedOn {
    let before = line.out.len();
    pg::put_long_row(&mut line.out, &long.column, long.value_bytes);
    let mut begun = false;
    loop {
        match long.read_piece(&mut line.out).await {
            Ok(0) => break,
            Ok(_) => {}
            Err(_) if begun => return PassedOn::BrokenOff { missing: long.remaining_bytes() },
            Err(_) => {
                line.out.truncate(before);
                return PassedOn::Nothing;
            }
        }
        begun = true;
        if line.flush().await.is_err() {
            return PassedOn::NotTaken;
        }
    }
    match hosts.finish_value(long).await {
        Some(tag) => {
            pg::put_complete(&mut line.out, &tag);
            PassedOn::Whole
        }
        None => PassedOn::BrokenOff { missing: 0 },
    }
}

/// Fills a value that was broken off up to its length, so that the message ends and others can follow it. An error in place
/// of the command's end tells the client that the value is none.
pub async fn fill_value(line: &mut Line<'_>, mut missing: usize) -> io::Result<()> {
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
    line: &mut Line<'_>, hosts: &Hosts, mut answer: Box<StreamedAnswer>,
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
