//! A request's life, from its ticket to its one final answer: `Life::serve` reads from top to bottom. It owns nothing
//! beyond that: the connection is its line's, the attempt its host's owner's. It must never choose a host or judge an
//! outcome: at each point of choice it asks the core.

use super::admission::Admission;
use super::core::{Call, Core, Ending, Order, Ticket};
use super::hosts::{Attempted, Hosts, LongAnswer, Opened, PlainAnswer};
use super::line::{Abandoned, Came, Line};
use super::statements::Terms;
use super::world;
use crate::pg::{self, ErrorFields, Row, Statement};
use crate::{Micros, Outcome};
use futures_lite::future;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

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
    pub line: &'l mut Line<'a>,
    pub core: &'l Rc<Core>,
    pub hosts: &'l Rc<Hosts>,
    pub admission: &'l Rc<Admission>,
    pub way_back: Micros,
    /// What the last answer told of its commit, and how long it took.
    pub told: Option<(Option<Micros>, Duration)>,
}

impl Life<'_, '_> {
    /// The life of one request, of which so many bytes are still to come. Nothing if its client left before
    /// it was answered, or can no longer be answered in order.
    pub async fn serve(
        &mut self, call: &Call, statement: &Statement, plain: Option<&Terms>, left: &mut usize,
    ) -> Option<Verdict> {
        enum Happened {
            Ended(Attempted),
            Ordered(Order),
            Uploaded(Result<Opened, Upload>),
            Abandoned(Abandoned),
        }
        let (core, hosts, admission) = (self.core.clone(), self.hosts.clone(), self.admission.clone());
        let writes = plain.is_some_and(|p| p.writes);
        let ticket = core.open(call, *left > 0);
        // Whether any attempt was written whole: only what was not is harmless to try again.
        let sent_on = Cell::new(false);
        let written = || {
            sent_on.set(true);
            core.count(call.class, |c| &mut c.backend_calls);
        };
        // The answer to a request that is abandoned: none to a client that has left.
        let last = |why| match why {
            Abandoned::ClientGone => None,
            Abandoned::CutOff if sent_on.get() => Some(Verdict::Failed),
            Abandoned::CutOff => Some(Verdict::Refused { retry_in: core.retry_in }),
        };
        let mut order = None;
        loop {
            // The client comes first: guards against an attempt that begins for one that has left. What is still to
            // come of a long statement stays where it is until a host is chosen.
            let abandoned = async { Err(self.line.abandoned(*left == 0).await) };
            let ordered = async {
                match order.take() {
                    Some(order) => Ok(order),
                    None => Ok(ticket.order().await),
                }
            };
            let next = match future::or(abandoned, ordered).await {
                Ok(order) => order,
                Err(why) => {
                    ticket.abandoned();
                    return last(why);
                }
            };
            let (server, number, until) = match next {
                Order::Attempt { server, number, until } => (server, number, until),
                Order::Refuse { retry_in } => return Some(Verdict::Refused { retry_in }),
                Order::Fail => return Some(Verdict::Failed),
                // The attempt ended on its own just before.
                Order::Withdraw => continue,
            };
            let heard = Cell::default();
            let may_begin = || ticket.may_begin();
            let (mut sent, coming, sent_at) = (world::now(), *left, core.clock.now());
            // Whichever comes first; the others are dropped here, and with an attempt its connection:
            // it is closed before the module hears of it, so that no second copy can be out.
            let mut happened = if coming > 0 {
                let upload = async {
                    let opened = hosts.open(server, until, may_begin).await.map_err(Upload::NoConnection)?;
                    self.upload(opened, statement, left).await
                };
                let upload = async { Happened::Uploaded(upload.await) };
                let ordered = async { Happened::Ordered(ticket.order().await) };
                let cut_off = async {
                    admission.until_cut_off().await;
                    Happened::Abandoned(Abandoned::CutOff)
                };
                future::or(upload, future::or(ordered, cut_off)).await
            } else {
                let attempt = hosts.attempt(server, statement, writes, until, may_begin, written, &heard);
                let attempt = async { Happened::Ended(attempt.await) };
                self.beside(attempt, &ticket, Happened::Ordered, Happened::Abandoned).await
            };
            // What was passed on in pieces is not here any more for another attempt.
            let once = *left < coming;
            if once {
                // The client's pace says nothing of the host's.
                sent = world::now();
            }
            if let Happened::Uploaded(Ok(opened)) = happened {
                // Its last byte is here: its time begins.
                let give_up_at = give_up_at(statement, core.clock.now(), self.way_back);
                written();
                ticket.whole(give_up_at);
                let answer = async { Happened::Ended(hosts.answer(opened, give_up_at, &heard).await) };
                happened = self.beside(answer, &ticket, Happened::Ordered, Happened::Abandoned).await;
            }
            let ended = |outcome, note| {
                ticket.ended(Ending { server, number, outcome, latency: world::since(sent), note });
            };
            match happened {
                Happened::Ended(Attempted { outcome, note, rejected: Some(e), .. }) => {
                    ticket.answered();
                    ended(outcome, note);
                    return Some(Verdict::Rejected(e));
                }
                Happened::Ended(Attempted { outcome, note, long: Some(mut long), .. }) => {
                    long.write = core.streamed_write(call);
                    // The host has done its work: a slow reader must not look like a slow host.
                    ended(outcome, note);
                    return self.pass_on(long).await;
                }
                Happened::Ended(Attempted { outcome, note, stream: Some(stream), .. }) => {
                    // As with a long row: the host has begun, and the rest is as fast as its reader.
                    self.told = Some((note.position, world::since(sent)));
                    ended(outcome, note);
                    return self.pass_on_plain(stream).await;
                }
                Happened::Ended(Attempted { outcome, note, plain: Some(bytes), .. }) => {
                    self.told = Some((note.position, world::since(sent)));
                    ended(outcome, note);
                    return Some(Verdict::Plain(bytes));
                }
                Happened::Ended(Attempted { mut outcome, note, mut row, .. }) => {
                    if let Some(stale) =
                        ticket.stale_outcome(server, &note, sent_at).filter(|_| !once && row.is_some())
                    {
                        (outcome, row) = (stale, None);
                    }
                    if once {
                        ticket.answered();
                    }
                    ended(outcome, note);
                    match row {
                        Some(row) => return Some(Verdict::Served(row)),
                        None if once && outcome.never_ran() => {
                            return Some(Verdict::Refused { retry_in: core.retry_in });
                        }
                        None if once => return Some(Verdict::Failed),
                        None => {}
                    }
                }
                Happened::Uploaded(Err(Upload::NoConnection(outcome))) => {
                    if once {
                        ticket.answered();
                    }
                    ended(outcome, Default::default());
                    if once {
                        return Some(Verdict::Refused { retry_in: core.retry_in });
                    }
                }
                Happened::Ordered(other) => {
                    ended(Outcome::Cancelled, heard.get());
                    order = Some(other);
                }
                Happened::Uploaded(_) => {
                    ticket.abandoned();
                    ended(Outcome::Cancelled, Default::default());
                    return None;
                }
                Happened::Abandoned(why) => {
                    ticket.abandoned();
                    ended(Outcome::Cancelled, heard.get());
                    return last(why);
                }
            }
        }
    }

    /// The work, unless the module orders something else before, the client leaves, or the stop's time is over. An answer
    /// that is here comes first, for what it tells of its server; whether another attempt begins is looked at behind it.
    async fn beside<T>(
        &mut self, work: impl Future<Output = T>, ticket: &Ticket<'_>, ordered: impl FnOnce(Order) -> T,
        abandoned: impl FnOnce(Abandoned) -> T,
    ) -> T {
        let ordered = async { ordered(ticket.order().await) };
        let abandoned = async { abandoned(self.line.abandoned(true).await) };
        future::or(work, future::or(ordered, abandoned)).await
    }

    /// Passes on a long statement as its client writes it, up to its last byte.
    async fn upload(
        &mut self, mut opened: Opened, statement: &Statement, left: &mut usize,
    ) -> Result<Opened, Upload> {
        let broken = |_| Upload::NoConnection(Outcome::ConnectFailed);
        if self.line.is_hung_up() {
            return Err(Upload::BrokenOff);
        }
        let mut piece = Vec::new();
        pg::put_long_query(&mut piece, statement.text(), *left);
        opened.write(&piece).await.map_err(broken)?;
        while *left > 0 {
            match self.line.more().await {
                Ok(Came::Bytes) => {}
                Ok(why) => {
                    // It hears so; the connection ends in either case.
                    let _ = self.line.over(why).await;
                    return Err(Upload::BrokenOff);
                }
                Err(_) => return Err(Upload::BrokenOff),
            }
            piece.clear();
            *left -= self.line.inbox.move_to(&mut piece, *left);
            opened.write(&piece).await.map_err(broken)?;
        }
        Ok(opened)
    }

    /// Passes on a value as fast as its client takes it. Nothing if the host breaks it off: only the end
    /// of the connection tells the client so.
    async fn pass_on(&mut self, mut long: Box<LongAnswer>) -> Option<Verdict> {
        pg::put_long_row(&mut self.line.out, &long.column, long.value);
        while long.piece(&mut self.line.out).await.ok()? > 0 {
            self.line.flush().await.ok()?;
        }
        pg::put_complete(&mut self.line.out, &self.hosts.finish(long).await?);
        Some(Verdict::Passed)
    }

    /// Passes on the answer to a plain statement as fast as its client takes it. Nothing if the host breaks it off.
    async fn pass_on_plain(&mut self, mut answer: Box<PlainAnswer>) -> Option<Verdict> {
        self.line.out.append(&mut answer.beginning);
        self.line.flush().await.ok()?;
        while answer.piece(&mut self.line.out).await.ok()? {
            self.line.flush().await.ok()?;
        }
        // Where a commit was is told at the end.
        if let (Some((position, _)), Some(at)) = (&mut self.told, answer.note.position) {
            *position = Some(at);
        }
        self.hosts.give_back_plain(*answer);
        Some(Verdict::Passed)
    }
}
