//! Clients: one task for each connection. It owns how sessions begin and end and the order of their requests, each of
//! which gets exactly one answer here; the request's life is `life`, the connection `line`, its place `admission`. It must
//! never choose a host or judge an outcome.

use super::admission::{Admission, Claim};
use super::complain;
use super::core::{Call, Clock, Core, fnv1a};
use super::hosts::Hosts;
use super::life::{Life, Verdict, give_up_at};
use super::line::{Abandoned, Came, Line, put_fatal};
use super::statements::{Statements, Terms, Turned};
use super::world::{self, Listener, Spawner, Stream};
use crate::Micros;
use crate::mutants;
use crate::pg::{self, ErrorFields, Frontend, Startup, Statement, code};
use futures_lite::future;
use sillfold_route::{Block, Met, OwnWrites};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// The wait after a failed accept, so that a full table of descriptors does not make the loop spin.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// All clients, and what their tasks share.
pub struct Clients {
    core: Rc<Core>,
    hosts: Rc<Hosts>,
    /// Their places.
    pub admission: Rc<Admission>,
    way_back: Micros,
    /// How plain statements are read, if they are served.
    statements: RefCell<Option<Rc<Statements>>>,
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
            executor,
        }
    }

    /// From now on plain statements are served so, or not at all.
    pub fn serve_plain(&self, statements: Option<Rc<Statements>>) {
        *self.statements.borrow_mut() = statements;
    }

    /// How plain statements are read, if they are served.
    pub fn statements(&self) -> Option<Rc<Statements>> {
        self.statements.borrow().clone()
    }

    /// Accepts for as long as the future is kept.
    pub async fn accept(self: &Rc<Clients>, listener: &Listener) {
        self.admission.begin();
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    self.admission.make_room().await;
                    self.begin(stream);
                    // It takes its seat before the next one may have to ask for a place.
                    future::yield_now().await;
                }
                Err(e) => {
                    complain(|| format!("clients: accepting: {e}"));
                    world::after(ACCEPT_WAIT).await;
                }
            }
        }
    }

    /// Takes what the machine has accepted already: those clients think they are connected.
    pub fn accept_rest(self: &Rc<Clients>, listener: &Listener) {
        while let Some(stream) = listener.accept_now() {
            match stream {
                Ok(stream) => self.begin(stream),
                Err(e) => warn!(target: "clients", "accepting: {e}"),
            }
        }
    }

    fn begin(self: &Rc<Clients>, stream: Stream) {
        let _ = stream.no_delay();
        stream.bound_sending();
        if self.admission.is_full() {
            // At once, whatever the client says: it fits into any new connection's buffer.
            let mut out = Vec::new();
            put_fatal(&mut out, code::TOO_MANY_CONNECTIONS, "all connections are in use");
            stream.write_now(&out);
        }
        let Some((slot, refused)) = self.admission.place() else { return };
        let all = self.clone();
        let task = async move {
            // Given back only after the connection is closed.
            let mut slot = slot;
            let mut session = Session::new(&all, stream);
            // An error here is the client's connection failing: there is nobody left to tell.
            let ended = refused || session.run().await.is_ok();
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

/// A request as it was read.
struct Asked<'a> {
    call: Call,
    statement: Statement,
    /// A plain statement has no id, and is not claimed.
    _claim: Option<Claim<'a>>,
    plain: Option<Terms>,
}

/// One client's session.
struct Session<'a> {
    all: &'a Rc<Clients>,
    line: Line<'a>,
    /// Who asks and where, as the startup message says; kept only where plain statements are served.
    who: Option<Box<(String, String)>>,
    /// What this session's plain statements have written.
    own: OwnWrites,
    /// Whether it stands in a transaction that was refused.
    block: Block,
    /// What the last answer told of its commit, and how long it took.
    told: Option<(Option<Micros>, Duration)>,
}

impl<'a> Session<'a> {
    fn new(all: &'a Rc<Clients>, stream: Stream) -> Session<'a> {
        let (who, own, block, told) = Default::default();
        Session { all, line: Line::new(&all.admission, stream), who, own, block, told }
    }

    /// From the startup packet to the end.
    async fn run(&mut self) -> io::Result<()> {
        if !self.startup().await? {
            return Ok(());
        }
        let mut skipping = false;
        loop {
            let message = match pg::decode_frontend(&mut self.line.inbox) {
                Ok(Some(message)) => message,
                Ok(None) => match self.line.flush_and_read().await? {
                    Came::Bytes => continue,
                    other => return self.line.over(other).await,
                },
                Err(e) => return self.line.fatal(code::PROTOCOL_VIOLATION, &e.0).await,
            };
            (self.line.spoken, self.line.partial) = (true, None);
            self.line.affordable();
            match message {
                Frontend::Terminate => return Ok(()),
                Frontend::Sync => {
                    skipping = false;
                    self.ready();
                }
                Frontend::Flush => {}
                Frontend::Extended if skipping => {}
                Frontend::Extended => {
                    // As in PostgreSQL, what follows up to the next Sync is skipped.
                    skipping = true;
                    self.line.error(code::FEATURE_NOT_SUPPORTED, "only simple queries are served here");
                }
                Frontend::Unreadable(e) => {
                    self.line.error(code::UNTRANSLATABLE, &e.0);
                    self.ready();
                }
                Frontend::Query(text) if text.trim().trim_end_matches(';').is_empty() => {
                    self.line.flush().await?;
                    let core = &self.all.core;
                    let ready = async {
                        core.ready().await;
                        None
                    };
                    let abandoned = async { Some(self.line.abandoned(true).await) };
                    if future::or(ready, abandoned).await == Some(Abandoned::ClientGone) {
                        return Ok(());
                    }
                    match self.all.admission.unready() {
                        None => pg::put_empty_query(&mut self.line.out),
                        Some(why) => self.line.error(code::CANNOT_CONNECT_NOW, why),
                    }
                    self.ready();
                }
                Frontend::Query(text) => {
                    if !self.request(text, &mut 0).await? {
                        return Ok(());
                    }
                }
                Frontend::LongQuery(beginning, mut left) => {
                    if !self.request(beginning, &mut left).await? {
                        return Ok(());
                    }
                    // What is left of one that had its answer before its end.
                    self.line.flush().await?;
                    while left > 0 {
                        match self.line.more().await? {
                            Came::Bytes => left -= self.line.inbox.skip(left),
                            other => return self.line.over(other).await,
                        }
                    }
                }
            }
            if self.line.overrun {
                return self.line.over(Came::TooMuch).await;
            }
            if !self.line.inbox.is_empty() {
                // Where hundreds of commands come at once, others have their turn between two.
                future::yield_now().await;
            }
        }
    }

    /// One request, of which so many bytes are still to come, up to its answer; false if there was none
    /// and the connection has to end.
    async fn request(&mut self, text: String, left: &mut usize) -> io::Result<bool> {
        let came = self.all.core.clock.now();
        match self.inside(&text) {
            Met::Passes => {}
            Met::Ended => {
                pg::put_complete(&mut self.line.out, "ROLLBACK");
                self.ready();
                return Ok(true);
            }
            Met::Inside => {
                let what = "the transaction was refused, and so is all in it, up to COMMIT or ROLLBACK";
                self.line.error(code::FAILED_TRANSACTION, what);
                self.ready();
                return Ok(true);
            }
        }
        match self.read_request(text, came, *left) {
            Ok(Some(Asked { call, statement, plain, .. })) => {
                self.line.asked = true;
                // The answers to commands before this one do not wait for its own.
                self.line.flush().await?;
                self.told = None;
                let stopped = self.all.admission.is_cut_off();
                let verdict = if !stopped && self.all.core.lets_in(&call) {
                    let (line, all) = (&mut self.line, self.all);
                    let (core, hosts, admission, way_back) =
                        (&all.core, &all.hosts, &all.admission, all.way_back);
                    let mut life = Life { line, core, hosts, admission, way_back, told: None };
                    let verdict = life.serve(&call, &statement, plain.as_ref(), left).await;
                    self.told = life.told;
                    verdict
                } else {
                    // At the door, before it could wait for anything.
                    Some(Verdict::Refused { retry_in: self.all.core.retry_in })
                };
                match verdict {
                    Some(_) if mutants::on("closes unanswered") => return Ok(false),
                    Some(verdict) => {
                        if let Some(terms) = &plain {
                            self.note_plain(terms, &verdict);
                        }
                        let core = &self.all.core;
                        match &verdict {
                            Verdict::Refused { .. } => {
                                core.note(|r| r.unserved(call.class, call.group, true))
                            }
                            Verdict::Failed => core.note(|r| r.unserved(call.class, call.group, false)),
                            _ => {}
                        }
                        self.put_verdict(call.class, verdict);
                    }
                    None => return Ok(false),
                }
            }
            Ok(None) => pg::put_empty_query(&mut self.line.out),
            Err(Turned { fields, control }) => {
                self.block.meets(control);
                pg::put_error(&mut self.line.out, &fields);
            }
        }
        self.ready();
        Ok(true)
    }

    /// What becomes of a text by the transaction that its session asked for before.
    fn inside(&mut self, text: &str) -> Met {
        match self.all.statements().filter(|_| self.block == Block::Refused) {
            Some(statements) => self.block.meets(statements.control(text)),
            None => Met::Passes,
        }
    }

    fn ready(&mut self) {
        pg::put_ready(&mut self.line.out, self.block == Block::Refused);
    }

    /// Takes in how a plain statement ended: what its shape took, and what the session wrote.
    fn note_plain(&mut self, terms: &Terms, verdict: &Verdict) {
        if let (Some(statements), Some((_, took))) = (self.all.statements(), self.told) {
            statements.learn(terms, took);
            self.all.core.note(|r| r.shape(terms.shape_number(), took.as_micros() as u64));
        }
        let now = self.all.core.clock.now();
        match verdict {
            _ if !terms.writes => {}
            Verdict::Served(_) | Verdict::Plain(_) | Verdict::Passed => {
                self.own.answered(self.told.and_then(|t| t.0), now);
            }
            Verdict::Failed => self.own.unknown(now),
            // It did not run, or was undone.
            Verdict::Refused { .. } | Verdict::Rejected(_) => {}
        }
    }

    /// Reads a request, of which so many bytes are still to come; the error is what the client is told instead.
    /// Nothing if there is no statement in it.
    fn read_request(&self, text: String, came: Micros, left: usize) -> Result<Option<Asked<'a>>, Turned> {
        let fields =
            |code: &str, message: String| ErrorFields { code: code.into(), message, ..Default::default() };
        let error = |code: &str, message: String| Turned::from(fields(code, message));
        let core = &self.all.core;
        let statements = self.all.statements().filter(|_| !Statement::is_commented(&text));
        let (class, statement, plain) = match statements {
            Some(_) if left > 0 => {
                let what = format!("a plain statement of over {} bytes", pg::MOST_BYTES);
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
                let class = core.dialect.classes.iter().position(|c| *c == statement.class);
                let class = class.and_then(|i| u8::try_from(i).ok());
                let no_class = || format!("no class {:?} here", statement.class);
                let class = class.ok_or_else(|| error(code::UNDEFINED_OBJECT, no_class()))?;
                (class, statement, None)
            }
        };
        if !core.knows_servers() {
            core.count(class, |c| &mut c.busy);
            let refused = fields(code::CANNOT_CONNECT_NOW, "no database host is known yet".into());
            return Err(ErrorFields { retry_in_ms: advice(core.retry_in), ..refused }.into());
        }
        if !core.knows_group(statement.group) {
            let what = format!("no group {} in the list of database hosts", statement.group);
            return Err(error(code::UNDEFINED_OBJECT, what));
        }
        let _claim = match plain {
            Some(_) => None,
            None => Some(self.all.admission.claim(&statement.id).ok_or_else(|| {
                let what = format!("id {:?} is that of another request", statement.id);
                error(code::DUPLICATE_OBJECT, what)
            })?),
        };
        let call = Call {
            class,
            session: if plain.is_some() { 0 } else { fnv1a(statement.key()) },
            group: statement.group,
            give_up_at: give_up_at(&statement, came, self.all.way_back),
            after: match plain {
                Some(_) => self.own.after(),
                None => statement.after_ms.map(Clock::from_unix_ms),
            },
            again: statement.again,
            tenant: statement.tenant.as_deref().and_then(|t| core.tenant(t)),
            // A write whose comment names no key is never repeated either.
            plain: plain.is_some() || !statement.keyed && core.is_keyed(class),
            expected: plain.as_ref().map_or(0, |p| p.expected),
        };
        Ok(Some(Asked { call, statement, _claim, plain }))
    }

    fn put_verdict(&mut self, class: u8, verdict: Verdict) {
        self.all.core.count(class, |c| match verdict {
            Verdict::Served(_) | Verdict::Plain(_) | Verdict::Passed => &mut c.success,
            Verdict::Refused { .. } => &mut c.busy,
            Verdict::Failed | Verdict::Rejected(_) => &mut c.failure,
        });
        match verdict {
            Verdict::Served(row) if mutants::on("two answers") => {
                pg::put_row(&mut self.line.out, &row);
                self.ready();
                pg::put_row(&mut self.line.out, &row);
            }
            Verdict::Served(row) => pg::put_row(&mut self.line.out, &row),
            Verdict::Plain(bytes) if self.line.out.is_empty() => self.line.out = bytes,
            Verdict::Plain(bytes) => self.line.out.extend(bytes),
            Verdict::Passed => {}
            Verdict::Refused { retry_in } => {
                let fields = ErrorFields {
                    code: code::TOO_MANY_CONNECTIONS.into(),
                    message: "refused: trying again later is harmless".into(),
                    retry_in_ms: advice(retry_in),
                    ..Default::default()
                };
                pg::put_error(&mut self.line.out, &fields);
            }
            Verdict::Rejected(e) => pg::put_error(&mut self.line.out, &ErrorFields { fatal: false, ..e }),
            Verdict::Failed => {
                self.line.error(code::COMPLETION_UNKNOWN, "failed: it may or may not have run")
            }
        }
    }

    /// Opens the session; false if it ends instead.
    async fn startup(&mut self) -> io::Result<bool> {
        loop {
            match pg::decode_startup(&mut self.line.inbox) {
                Ok(None) => match self.line.flush_and_read().await? {
                    Came::Bytes => {}
                    other => return self.line.over(other).await.map(|()| false),
                },
                Ok(Some(Startup::Encryption)) => self.line.out.push(b'N'),
                Ok(Some(Startup::Cancel)) => return Ok(false),
                Ok(Some(Startup::Session { minor, options, user, database })) => {
                    self.who = self.all.statements().map(|_| Box::new((user, database)));
                    if minor > 0 || !options.is_empty() {
                        pg::put_negotiate(&mut self.line.out, &options);
                    }
                    pg::put_welcome(&mut self.line.out);
                    return Ok(true);
                }
                Err(e) => return self.line.fatal(code::PROTOCOL_VIOLATION, &e.0).await.map(|()| false),
            }
        }
    }
}
