//! The clients of a run. Most send a request and wait for the answer. Some send several at once, disconnect with a request
//! open, send a part of a message and stay connected, or keep an idle connection for long. Like drivers, they check whether
//! a connection has ended before they send on it. They send no request twice. A crowd is further connections that only
//! occupy the slots of a proxy.

use super::checker::{Checker, Class, RequestEnd, classes};
use super::process::SoakProxy;
use crate::wire;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use oorandom::Rand64;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client waits for this long after its deadline before a request counts as unanswered.
const EXTRA_WAIT: Duration = Duration::from_secs(2);
/// A client that sends a part of a message gets an error or the end of its connection within this time: 3 s, two delays of
/// the process of 150 ms, and the way.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(3_400);
/// The value of a long write. A statement has it in hexadecimal, so it is longer than what a proxy holds whole.
const LONG_VALUE_BYTES: usize = 100_000;
/// The wait before a client connects again after a failure.
const RECONNECT_DELAY: Duration = Duration::from_millis(40);
/// Timeout of opening a session, and of the query that checks whether a proxy serves.
const SESSION_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one proxy.
pub struct Client {
    number: usize,
    proxy: Rc<SoakProxy>,
    checker: Rc<RefCell<Checker>>,
    groups: usize,
    classes: [Class; 4],
    rng: Rand64,
    /// The number of requests so far.
    request_count: u64,
}

/// What a client does next.
enum Action {
    /// Sends a request and waits for its answer.
    Query,
    /// Sends a write whose statement a proxy passes on in pieces, and waits for its answer.
    LongWrite,
    /// Sends this many requests at once and waits for their answers.
    Pipeline(u64),
    /// Sends a request and disconnects soon after.
    Disconnect,
    /// Sends a part of a message and nothing more.
    SendPartialMessage,
    /// Keeps the connection idle.
    StayIdle,
}

impl Client {
    pub fn new(
        number: usize, seed: u64, proxy: Rc<SoakProxy>, checker: Rc<RefCell<Checker>>, groups: usize,
    ) -> Client {
        let rng = Rand64::new((u128::from(seed) << 32) + number as u128);
        Client { number, proxy, checker, groups, classes: classes(seed), rng, request_count: 0 }
    }

    /// Uses connections until `end`.
    pub async fn run(mut self, end: Instant) {
        let mut connection = None;
        while Instant::now() < end {
            let mut stream = match connection.take() {
                Some(stream) => stream,
                None => match open_session(self.proxy.address).await {
                    Ok(stream) => stream,
                    Err(_) => {
                        Timer::after(RECONNECT_DELAY).await;
                        continue;
                    }
                },
            };
            // An error means that the connection has ended.
            if self.use_connection(&mut stream).await.unwrap_or(false) {
                connection = Some(stream);
            }
            let pause_ms = 20 + self.rng.rand_range(0..100);
            Timer::after(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Draws the next action.
    fn next_action(&mut self) -> Action {
        match self.rng.rand_range(0..100) {
            0..=69 => Action::Query,
            70..=77 => Action::LongWrite,
            78..=85 => Action::Pipeline(2 + self.rng.rand_range(0..3)),
            86..=92 => Action::Disconnect,
            93..=94 => Action::SendPartialMessage,
            _ => Action::StayIdle,
        }
    }

    /// Does the next action on a connection; returns whether the connection may be used again.
    async fn use_connection(&mut self, stream: &mut Async<TcpStream>) -> io::Result<bool> {
        if has_ended(stream) {
            return Ok(false);
        }
        match self.next_action() {
            Action::Query => {
                let request = self.statement();
                self.send_requests(stream, vec![request]).await
            }
            Action::LongWrite => {
                let request = self.long_write();
                self.send_requests(stream, vec![request]).await
            }
            Action::Pipeline(count) => {
                let requests = (0..count).map(|_| self.statement()).collect();
                self.send_requests(stream, requests).await
            }
            Action::Disconnect => {
                let (id, statement, class) = self.statement();
                let port = stream.get_ref().local_addr()?.port();
                self.checker.borrow_mut().request_sent(&id, class, self.proxy.number, port);
                let sent = stream.write_all(&query(&statement)).await;
                let wait_ms = self.rng.rand_range(0..40);
                Timer::after(Duration::from_millis(wait_ms)).await;
                self.checker.borrow_mut().client_disconnected(&id);
                sent.map(|()| false)
            }
            Action::SendPartialMessage => self.send_partial_message(stream).await,
            Action::StayIdle => {
                let idle_ms = 200 + self.rng.rand_range(0..1_500);
                Timer::after(Duration::from_millis(idle_ms)).await;
                Ok(true)
            }
        }
    }

    /// Draws the next request: its id, its statement and its class.
    fn statement(&mut self) -> (String, String, Class) {
        let class = self.classes[self.rng.rand_range(0..self.classes.len() as u64) as usize];
        self.statement_of(class, "1")
    }

    /// The next write with a long value.
    fn long_write(&mut self) -> (String, String, Class) {
        let writes: Vec<Class> = self.classes.iter().filter(|class| class.is_write).copied().collect();
        let class = writes[self.rng.rand_range(0..writes.len() as u64) as usize];
        self.statement_of(class, &"7f".repeat(LONG_VALUE_BYTES))
    }

    /// The next request of a class: its id, its statement and its class.
    fn statement_of(&mut self, class: Class, value: &str) -> (String, String, Class) {
        self.request_count += 1;
        let group = self.rng.rand_range(0..self.groups as u64);
        let id = format!("q{}-{}", self.number, self.request_count);
        let deadline_ms = class.deadline.as_millis();
        let key = if class.name == "ingest" { format!(",k=k{id}") } else { String::new() };
        let comment = format!("/* id={id},c={},d={deadline_ms}{key},cluster={group} */", class.name);
        let statement = match class.is_write {
            true => {
                format!(
                    "{comment} INSERT INTO entries (ref, payload) VALUES ('{id}', '{value}') RETURNING payload"
                )
            }
            false => format!("{comment} SELECT payload FROM entries WHERE ref = '{id}'"),
        };
        (id, statement, class)
    }

    /// Sends these requests at once and waits for their answers; returns whether the connection is still open.
    async fn send_requests(
        &mut self, stream: &mut Async<TcpStream>, requests: Vec<(String, String, Class)>,
    ) -> io::Result<bool> {
        let port = stream.get_ref().local_addr()?.port();
        let bytes: Vec<u8> = requests.iter().flat_map(|(_, statement, _)| query(statement)).collect();
        for (id, _, class) in &requests {
            self.checker.borrow_mut().request_sent(id, *class, self.proxy.number, port);
        }
        let mut is_open = stream.write_all(&bytes).await.is_ok();
        for (id, ..) in &requests {
            self.checker.borrow_mut().request_written(id);
        }
        // Answers come in the order of the requests, so each may need the time of all before it.
        let total_time: Duration = requests.iter().map(|(.., class)| class.deadline).sum();
        let give_up_at = Instant::now() + total_time + EXTRA_WAIT;
        for (index, (id, ..)) in requests.iter().enumerate() {
            if index > 0 {
                self.checker.borrow_mut().request_reached_head(id);
            }
            let answer =
                async { Some(if is_open { read_answer(stream).await } else { Ok(RequestEnd::Closed) }) };
            let too_late = async {
                Timer::at(give_up_at).await;
                None
            };
            // A request without an answer stays open in the checker.
            let Some(answer) = future::or(answer, too_late).await else { return Ok(false) };
            let end = answer.unwrap_or(RequestEnd::Closed);
            is_open &= end != RequestEnd::Closed;
            self.checker.borrow_mut().request_ended(id, end);
        }
        Ok(is_open)
    }

    /// Sends half a message and nothing more, and checks that an error or the end of the connection follows in time.
    async fn send_partial_message(&mut self, stream: &mut Async<TcpStream>) -> io::Result<bool> {
        let message = query("SELECT payload FROM entries");
        stream.write_all(&message[..message.len() / 2]).await?;
        let sent = Instant::now();
        let answer = async { Some(read_answer(stream).await) };
        let too_late = async {
            Timer::after(PARTIAL_MESSAGE_TIMEOUT).await;
            None
        };
        if future::or(answer, too_late).await.is_none() {
            let (proxy, elapsed) = (self.proxy.number, sent.elapsed());
            self.checker
                .borrow_mut()
                .add_violation(format!("proxy {proxy}: half a message, and nothing in {elapsed:?}"));
        }
        Ok(false)
    }
}

/// Whether an idle connection has ended, or has received anything, such as an error before its end.
fn has_ended(stream: &Async<TcpStream>) -> bool {
    !matches!(stream.get_ref().peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Opens `count` connections that only occupy slots, and closes them after `duration`. Every other one sends no startup message,
/// the others are idle sessions.
pub async fn crowd(address: SocketAddr, count: usize, duration: Duration) {
    let end = Instant::now() + duration;
    let mut connections = Vec::new();
    for index in 0..count {
        let session = async {
            match index % 2 {
                0 => Async::<TcpStream>::connect(address).await,
                _ => open_session(address).await,
            }
        };
        let timeout = async {
            Timer::at(end).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        // A connection that gets no slot is refused, or waits to be accepted.
        connections.extend(future::or(session, timeout).await);
    }
    Timer::at(end).await;
}

/// Encodes a query message.
fn query(text: &str) -> Vec<u8> {
    wire::message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// Opens a session.
async fn open_session(address: SocketAddr) -> io::Result<Async<TcpStream>> {
    let session = async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        stream.write_all(&wire::startup("web", "orders")).await?;
        match read_answer(&mut stream).await? {
            RequestEnd::Failed => Ok(stream),
            other => Err(io::Error::other(format!("{other:?} at the start of a session"))),
        }
    };
    let timeout = async {
        Timer::after(SESSION_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(session, timeout).await
}

/// Whether a proxy at this address serves clients.
pub async fn is_serving(address: SocketAddr) -> bool {
    let Ok(mut stream) = open_session(address).await else { return false };
    let answer = async {
        stream.write_all(&query("")).await?;
        read_answer(&mut stream).await
    };
    let timeout = async {
        Timer::after(SESSION_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    // An empty query is answered with neither a row nor an error.
    matches!(future::or(answer, timeout).await, Ok(RequestEnd::Failed))
}

/// Reads an answer up to ReadyForQuery. Anything but a row or a refusal counts as failed. Where the connection ends behind an
/// error, the error counts.
async fn read_answer(stream: &mut Async<TcpStream>) -> io::Result<RequestEnd> {
    let (mut value, mut code) = (None, None);
    loop {
        let mut head = [0; 5];
        if let Err(e) = stream.read_exact(&mut head).await {
            return code.map_or(Err(e), |code: String| Ok(end_of_error(&code)));
        }
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let mut body = vec![0; length.saturating_sub(4)];
        stream.read_exact(&mut body).await?;
        match head[0] {
            b'Z' => {
                return Ok(match (value, code) {
                    (_, Some(code)) => end_of_error(&code),
                    (Some(value), None) => RequestEnd::Served(value),
                    (None, None) => RequestEnd::Failed,
                });
            }
            b'D' => value = Some(String::from_utf8_lossy(body.get(6..).unwrap_or(&[])).into_owned()),
            b'E' => {
                let mut fields = body.split(|b| *b == 0);
                let field = fields.find(|f| f.first() == Some(&b'C'));
                code = field.map(|f| String::from_utf8_lossy(&f[1..]).into_owned());
            }
            _ => {}
        }
    }
}

/// How a request ended that was answered with an error of this SQLSTATE: 53300 and 57P03 are refusals.
fn end_of_error(code: &str) -> RequestEnd {
    if code == "53300" || code == "57P03" { RequestEnd::Refused } else { RequestEnd::Failed }
}
