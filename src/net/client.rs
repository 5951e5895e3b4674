//! Clients: one task for each connection. It owns the connections to clients, their descriptors
//! and the life of each request, which reads from top to bottom in `Session::serve`. Every request
//! taken gets exactly one answer here. It must never choose a host or judge an outcome: at each
//! point of choice it asks the core.

use super::by;
use super::core::{Call, Clock, Core, Ending, Order, fnv1a};
use super::hosts::{Attempted, Hosts};
use crate::pg::{self, ErrorFields, Frontend, Row, Startup, Statement, code};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use sillfold::{Micros, Outcome};
use std::cell::Cell;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client must have opened its session by then.
const STARTUP: Duration = Duration::from_secs(10);
/// A client that takes nothing of an answer for this long is given up.
const STUCK: Duration = Duration::from_secs(5);
/// After a last message the client gets this long to read it before its connection is closed.
const FAREWELL: Duration = Duration::from_millis(200);
/// Connections past the limit that may hear a refusal at the same time.
const REFUSALS: usize = 8;
/// The wait after a failed accept, so that a full table of descriptors does not make the loop spin.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// The longest wait that is believed of a client.
const MOST_PATIENCE_MS: u64 = 60_000;

/// All clients, and what their tasks share.
pub struct Clients {
    core: Rc<Core>,
    hosts: Rc<Hosts>,
    most: usize,
    way_back: Micros,
    open: Rc<Cell<usize>>,
    /// Connections past the limit that are hearing so. Guards against their farewells taking the
    /// places of clients that could be served.
    refusing: Rc<Cell<usize>>,
    /// Closed once no idle connection is to be kept.
    closing: (Sender<()>, Receiver<()>),
    /// Told whenever a connection has ended.
    ended: (Sender<()>, Receiver<()>),
}

/// A client's descriptor in the budget; dropping it gives it back.
struct Slot {
    count: Rc<Cell<usize>>,
    ended: Sender<()>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        let _ = self.ended.try_send(());
    }
}

impl Clients {
    pub fn new(core: Rc<Core>, hosts: Rc<Hosts>, most: usize, way_back: Micros) -> Clients {
        let (open, refusing) = (Rc::default(), Rc::default());
        let (closing, ended) = (async_channel::bounded(1), async_channel::bounded(1));
        Clients { core, hosts, most, way_back, open, refusing, closing, ended }
    }

    /// Accepts for as long as the future is kept.
    pub async fn accept(
        self: &Rc<Clients>, listener: &Async<TcpListener>, executor: &LocalExecutor<'static>,
    ) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.begin(stream, executor),
                Err(e) => {
                    eprintln!("clients: accepting: {e}");
                    Timer::after(ACCEPT_WAIT).await;
                }
            }
        }
    }

    /// Takes what the machine has accepted already: those clients think they are connected.
    pub fn accept_rest(self: &Rc<Clients>, listener: &Async<TcpListener>, executor: &LocalExecutor<'static>) {
        while let Ok((stream, _)) = listener.get_ref().accept() {
            match Async::new(stream) {
                Ok(stream) => self.begin(stream, executor),
                Err(e) => eprintln!("clients: accepting: {e}"),
            }
        }
    }

    fn begin(self: &Rc<Clients>, stream: Async<TcpStream>, executor: &LocalExecutor<'static>) {
        let refused = self.open.get() >= self.most;
        let (count, most) = if refused { (&self.refusing, REFUSALS) } else { (&self.open, self.most) };
        if count.get() >= most {
            return;
        }
        count.set(count.get() + 1);
        let slot = Slot { count: count.clone(), ended: self.ended.0.clone() };
        let all = self.clone();
        let task = async move {
            let _ = stream.get_ref().set_nodelay(true);
            // Given back only after the connection is closed.
            let _slot = slot;
            let mut session = Session { all: &all, stream, buf: Vec::new(), out: Vec::new() };
            // An error here is the client's connection failing: there is nobody left to tell.
            if let Ok(true) = session.run(refused).await {
                session.farewell().await;
            }
        };
        executor.spawn(task).detach();
    }

    /// Closes idle connections, and the others once they have been answered; returns when all are.
    pub async fn close(&self) {
        self.closing.0.close();
        while self.open.get() > 0 {
            let _ = self.ended.1.recv().await;
        }
    }
}

/// The one final answer to a request.
enum Verdict {
    Served(Row),
    Refused { retry_in: Micros },
    Failed,
}

/// One client's connection.
struct Session<'a> {
    all: &'a Rc<Clients>,
    stream: Async<TcpStream>,
    buf: Vec<u8>,
    out: Vec<u8>,
}

impl Session<'_> {
    /// From the startup packet to the end; true if a last message has to be read before the close.
    async fn run(&mut self, refused: bool) -> io::Result<bool> {
        let begun = by(Instant::now() + STARTUP, self.startup(refused)).await;
        match begun {
            Some(Ok(true)) => {}
            Some(Ok(false)) => return Ok(true),
            Some(Err(e)) => return Err(e),
            None => return Ok(false),
        }
        let mut skipping = false;
        loop {
            let message = match pg::decode_frontend(&mut self.buf) {
                Ok(Some(message)) => message,
                Ok(None) => {
                    if !self.flush_and_read().await? {
                        return Ok(false);
                    }
                    continue;
                }
                Err(e) => {
                    self.fatal(code::PROTOCOL_VIOLATION, &e.0).await?;
                    return Ok(true);
                }
            };
            match message {
                Frontend::Terminate => return Ok(false),
                Frontend::Sync => {
                    skipping = false;
                    pg::put_ready(&mut self.out);
                }
                Frontend::Flush => {}
                Frontend::Extended if skipping => {}
                Frontend::Extended => {
                    // As in PostgreSQL, what follows up to the next Sync is skipped.
                    skipping = true;
                    self.error(code::FEATURE_NOT_SUPPORTED, "only simple queries are served here");
                }
                Frontend::Query(text) if text.trim().trim_end_matches(';').is_empty() => {
                    self.all.core.ready().await;
                    pg::put_empty_query(&mut self.out);
                    pg::put_ready(&mut self.out);
                }
                Frontend::Query(text) => {
                    let came = self.all.core.clock.now();
                    match self.read_request(text, came) {
                        Ok((call, statement)) => match self.serve(&call, &statement).await {
                            Some(verdict) => self.put_verdict(verdict),
                            None => return Ok(false),
                        },
                        Err(e) => pg::put_error(&mut self.out, &e),
                    }
                    pg::put_ready(&mut self.out);
                }
            }
        }
    }

    /// The life of one request. Nothing if its client left before it was answered.
    async fn serve(&mut self, call: &Call, statement: &Statement) -> Option<Verdict> {
        enum Happened {
            Ended(Attempted),
            Ordered(Order),
            ClientGone,
        }
        let (core, hosts) = (self.all.core.clone(), self.all.hosts.clone());
        let ticket = core.open(call);
        let mut order = None;
        loop {
            let next = match order.take() {
                Some(order) => order,
                None => match future::or(async { Some(ticket.order().await) }, self.gone()).await {
                    Some(order) => order,
                    None => {
                        ticket.client_gone();
                        return None;
                    }
                },
            };
            let (server, number, until) = match next {
                Order::Attempt { server, number, until } => (server, number, until),
                Order::Refuse { retry_in } => return Some(Verdict::Refused { retry_in }),
                Order::Fail => return Some(Verdict::Failed),
                // The attempt ended on its own just before.
                Order::Withdraw => continue,
            };
            let sent = Instant::now();
            // Whichever comes first; the others are dropped here, and with an attempt its connection:
            // it is closed before the module hears of it, so that no second copy can be out.
            let happened = future::or(
                async { Happened::Ended(hosts.attempt(server, statement, until).await) },
                future::or(async { Happened::Ordered(ticket.order().await) }, async {
                    self.gone::<()>().await;
                    Happened::ClientGone
                }),
            )
            .await;
            let ended = |outcome, note| {
                ticket.ended(Ending { server, number, outcome, latency: sent.elapsed(), note });
            };
            match happened {
                Happened::Ended(Attempted { outcome, note, row }) => {
                    ended(outcome, note);
                    if let Some(row) = row {
                        return Some(Verdict::Served(row));
                    }
                }
                Happened::Ordered(other) => {
                    ended(Outcome::Cancelled, Default::default());
                    order = Some(other);
                }
                Happened::ClientGone => {
                    ticket.client_gone();
                    ended(Outcome::Cancelled, Default::default());
                    return None;
                }
            }
        }
    }

    /// Reads a request; the error is what the client is told instead.
    fn read_request(&self, text: String, came: Micros) -> Result<(Call, Statement), ErrorFields> {
        let error =
            |code: &str, message: String| ErrorFields { code: code.into(), message, ..Default::default() };
        let core = &self.all.core;
        let statement = Statement::parse(text).map_err(|what| error(code::SYNTAX_ERROR, what))?;
        let class = core.dialect.classes.iter().position(|c| *c == statement.class);
        let class = class.and_then(|i| u8::try_from(i).ok());
        let class = class
            .ok_or_else(|| error(code::UNDEFINED_OBJECT, format!("no class {:?} here", statement.class)))?;
        if !core.knows_servers() {
            return Err(error(code::CANNOT_CONNECT_NOW, "no database host is known yet".into()));
        }
        if !core.knows_group(statement.group) {
            let what = format!("no group {} in the list of database hosts", statement.group);
            return Err(error(code::UNDEFINED_OBJECT, what));
        }
        let patience = statement.patience_ms.min(MOST_PATIENCE_MS) * 1_000;
        let call = Call {
            class,
            session: fnv1a(statement.key()),
            group: statement.group,
            // The answer has to be there by then, not only on its way.
            give_up_at: came + patience.saturating_sub(self.all.way_back).max(patience / 2),
            after: statement.after_ms.map(Clock::from_unix_ms),
        };
        Ok((call, statement))
    }

    fn put_verdict(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Served(row) => pg::put_row(&mut self.out, &row),
            Verdict::Refused { retry_in } => {
                let fields = ErrorFields {
                    code: code::TOO_MANY_CONNECTIONS.into(),
                    message: "refused: trying again later is harmless".into(),
                    retry_in_ms: Some(retry_in.div_ceil(1_000)).filter(|&ms| ms > 0),
                    fatal: false,
                };
                pg::put_error(&mut self.out, &fields);
            }
            Verdict::Failed => self.error(code::COMPLETION_UNKNOWN, "failed: it may or may not have run"),
        }
    }

    /// Opens the session; false if it was turned away.
    async fn startup(&mut self, refused: bool) -> io::Result<bool> {
        loop {
            match pg::decode_startup(&mut self.buf) {
                Ok(None) => {
                    if !self.flush_and_read().await? {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                }
                Ok(Some(Startup::Encryption)) => self.out.push(b'N'),
                Ok(Some(Startup::Cancel)) => return Err(io::ErrorKind::ConnectionAborted.into()),
                Ok(Some(Startup::Session { .. })) if refused => {
                    self.fatal(code::TOO_MANY_CONNECTIONS, "all connections are in use").await?;
                    return Ok(false);
                }
                Ok(Some(Startup::Session { minor, options })) => {
                    if minor > 0 || !options.is_empty() {
                        pg::put_negotiate(&mut self.out, &options);
                    }
                    pg::put_welcome(&mut self.out);
                    return Ok(true);
                }
                Err(e) => {
                    self.fatal(code::PROTOCOL_VIOLATION, &e.0).await?;
                    return Ok(false);
                }
            }
        }
    }

    fn error(&mut self, code: &str, message: &str) {
        let fields = ErrorFields { code: code.into(), message: message.into(), ..Default::default() };
        pg::put_error(&mut self.out, &fields);
    }

    /// A last error.
    async fn fatal(&mut self, code: &str, message: &str) -> io::Result<()> {
        let fields =
            ErrorFields { code: code.into(), message: message.into(), fatal: true, retry_in_ms: None };
        pg::put_error(&mut self.out, &fields);
        self.flush().await
    }

    async fn flush(&mut self) -> io::Result<()> {
        let written = by(Instant::now() + STUCK, self.stream.write_all(&self.out)).await;
        self.out.clear();
        written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Writes what is due, then waits for more; false at the end of the connection, or when the
    /// program is closing and the client has begun nothing.
    async fn flush_and_read(&mut self) -> io::Result<bool> {
        self.flush().await?;
        let mut part = [0; 4096];
        let idle = self.buf.is_empty();
        // Reading comes first: a request that is here already is still served.
        let read = future::or(async { Some(self.stream.read(&mut part).await) }, async {
            if !idle {
                future::pending::<()>().await;
            }
            let _ = self.all.closing.1.recv().await;
            None
        });
        match read.await {
            Some(Ok(n)) if n > 0 => {
                self.buf.extend(&part[..n]);
                Ok(true)
            }
            Some(Ok(_)) | None => Ok(false),
            Some(Err(e)) => Err(e),
        }
    }

    /// Returns nothing once the client has closed its connection. What it sends meanwhile is kept,
    /// up to the longest message.
    async fn gone<T>(&mut self) -> Option<T> {
        let mut part = [0; 1024];
        while self.buf.len() <= pg::MOST_BYTES {
            match self.stream.read(&mut part).await {
                Ok(n) if n > 0 => self.buf.extend(&part[..n]),
                _ => return None,
            }
        }
        future::pending().await
    }

    /// Ends the sending and waits a little for the client's end: closing over unread input would
    /// reset the connection, and the last message with it.
    async fn farewell(&mut self) {
        if self.stream.get_ref().shutdown(Shutdown::Write).is_ok() {
            self.buf.clear();
            let drained = async {
                let mut part = [0; 1024];
                while matches!(self.stream.read(&mut part).await, Ok(n) if n > 0) {}
            };
            by(Instant::now() + FAREWELL, drained).await;
        }
    }
}
