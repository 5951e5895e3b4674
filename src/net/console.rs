//! The operators' console: HTTP/1.1, with one call on each connection. It owns its connections, whose number is fixed, so
//! that clients and hosts cannot use their descriptors. The length of heads and bodies and the time of a call are limited.
//! It calls the core, the clients' owner, the process exchange and the peers. It must never count requests, judge a host or
//! keep state of its own.

use super::client::Clients;
use super::core::Core;
use super::endpoints::CONSOLE_CONNECTIONS;
use super::peers::Peers;
use super::scheduler::Spawner;
use super::upgrade::Upgrade;
use super::world::{self, Listener, Stream};
use super::{timeout_at, warn_rate_limited};
use async_channel::{Receiver, Sender};
use futures_lite::future;
use serde::Deserialize;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long a caller may take to send a complete call.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a caller may take to read the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum length of a call's head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The maximum length of a call's body.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// The maximum number of a call's headers.
const MAX_HEADERS: usize = 64;
/// The wait after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The console and its open connections.
pub struct Console {
    core: Rc<Core>,
    clients: Rc<Clients>,
    upgrade: Rc<Upgrade>,
    peers: Option<Rc<Peers>>,
    executor: Spawner,
    /// The sender of each connection's request to close, by the connection's number: the oldest connection is first.
    connections: RefCell<BTreeMap<u64, Sender<()>>>,
}

/// An open connection, by its number. Its drop removes the connection from the console.
struct ConnectionGuard<'a>(&'a Console, u64);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.connections.borrow_mut().remove(&self.1);
    }
}

/// A complete call.
struct Call {
    method: String,
    path: String,
    body: Vec<u8>,
}

/// An answer: the HTTP status and a JSON object.
struct Answer(u16, serde_json::Value);

fn error_answer(status: u16, why: impl Into<String>) -> Answer {
    Answer(status, json!({ "error": why.into() }))
}

impl Console {
    pub fn new(
        core: Rc<Core>, clients: Rc<Clients>, upgrade: Rc<Upgrade>, peers: Option<Rc<Peers>>,
        executor: Spawner,
    ) -> Console {
        Console { core, clients, upgrade, peers, executor, connections: RefCell::default() }
    }

    /// Accepts calls for as long as the program runs.
    pub async fn run(self: Rc<Console>, listener: Listener) {
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok(stream) => stream,
                Err(e) => {
                    warn_rate_limited(|| format!("console: accepting: {e}; trying again"));
                    world::after(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            // Guards against slow callers that keep others out: if all connections are in use, the oldest is closed.
            let is_full = self.connections.borrow().len() >= CONSOLE_CONNECTIONS;
            let oldest = if is_full { self.connections.borrow_mut().pop_first() } else { None };
            oldest.map(|(_, close)| close.try_send(()));
            let (close, close_requested) = async_channel::bounded(1);
            self.connections.borrow_mut().insert(number, close);
            let console = self.clone();
            self.executor.spawn(async move { console.serve(stream, number, close_requested).await });
            // The connection that was told to close does so before the next one is accepted.
            future::yield_now().await;
        }
    }

    /// Serves one connection: reads a call, answers it, and closes the connection.
    async fn serve(&self, stream: Stream, number: u64, close: Receiver<()>) {
        let _guard = ConnectionGuard(self, number);
        let close_requested = async {
            let _ = close.recv().await;
            None
        };
        let read = async {
            let call = timeout_at(world::now() + CALL_TIMEOUT, read_call(&stream)).await;
            Some(call.unwrap_or_else(|| Err(error_answer(408, "no whole call came in time"))))
        };
        let answer = match future::or(read, close_requested).await {
            Some(Ok(call)) => self.answer(&call),
            Some(Err(answer)) => answer,
            None => return,
        };
        let body = answer.1.to_string();
        let text = format!(
            "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}\n",
            answer.0,
            reason(answer.0),
            body.len() + 1
        );
        let write = async {
            if stream.write_all(text.as_bytes()).await.is_ok() && stream.shutdown().is_ok() {
                // Reads the rest of the input, since a close with unread input would discard the answer.
                while let Ok(1..) = stream.read_with(|_| ()).await {}
            }
        };
        timeout_at(world::now() + ANSWER_TIMEOUT, future::or(write, async { _ = close.recv().await })).await;
    }

    /// Leaves the host that the body names out, or uses it again.
    fn override_host(&self, body: &[u8], left_out: bool) -> Answer {
        let host = match serde_json::from_slice::<HostCall>(body) {
            Ok(HostCall { host }) => host,
            Err(e) => return error_answer(400, format!("the body is no {{\"who\":\"ID\"}}: {e}")),
        };
        if !self.core.knows_host(&host) {
            return error_answer(404, format!("no database host is called {host:?}"));
        }
        match self.upgrade.set_override(&host, left_out) {
            Ok(applied) => {
                let body = json!({
                    "who": host, "down": left_out, "processes": 1 + self.upgrade.connections(),
                    "outlasts_processes": applied.outlasts_process,
                });
                Answer(200, body)
            }
            Err(why) => error_answer(500, format!("{why}; the order holds nowhere, nothing has changed")),
        }
    }

    /// Performs a call and returns its answer.
    fn answer(&self, call: &Call) -> Answer {
        let routes = [
            ("GET", "/ops/readiness"),
            ("GET", "/ops/stats"),
            ("POST", "/ops/database-hosts/down"),
            ("POST", "/ops/database-hosts/up"),
            ("POST", "/ops/drain/start"),
            ("POST", "/ops/drain/stop"),
        ];
        let path = call.path.split('?').next().unwrap_or("");
        let Some((method, _)) = routes.iter().find(|r| r.1 == path) else {
            return error_answer(404, format!("nothing is at {path}"));
        };
        if call.method != *method {
            return error_answer(405, format!("{path} takes {method}, not {}", call.method));
        }
        match path {
            "/ops/readiness" => match self.clients.admission.not_ready_reason() {
                None => Answer(200, json!({"ready": true})),
                Some(why) => Answer(503, json!({"ready": false, "why": why})),
            },
            "/ops/stats" => match serde_json::to_value(self.core.figures()) {
                Ok(mut stats) => {
                    stats["scheduler"] = json!(self.executor.figures());
                    stats["client_memory"] = json!(self.clients.admission.memory_figures());
                    if let Some(statements) = self.clients.statements() {
                        stats["statements"] = json!(statements.figures());
                    }
                    #[cfg(feature = "faults")]
                    {
                        stats["faults"] = json!(super::faults::injected_counts());
                    }
                    if let Some(peers) = &self.peers {
                        stats["peers"] = json!(peers.counters());
                    }
                    Answer(200, stats)
                }
                Err(e) => error_answer(500, e.to_string()),
            },
            "/ops/database-hosts/down" => self.override_host(&call.body, true),
            "/ops/database-hosts/up" => self.override_host(&call.body, false),
            "/ops/drain/start" => {
                self.clients.admission.start_draining();
                Answer(200, json!({"draining": true}))
            }
            _ => {
                self.clients.admission.stop_draining();
                Answer(200, json!({"draining": false}))
            }
        }
    }
}

/// The body of a call about one database host.
#[derive(Deserialize)]
struct HostCall {
    #[serde(rename = "who")]
    host: String,
}

/// Reads one call. The error is the answer to the caller.
async fn read_call(stream: &Stream) -> Result<Call, Answer> {
    let mut bytes = Vec::new();
    loop {
        if let Some(call) = parse(&bytes)? {
            return Ok(call);
        }
        match stream.read_with(|part| bytes.extend_from_slice(part)).await {
            Ok(1..) => {}
            _ => return Err(error_answer(400, "the call ends early")),
        }
    }
}

/// Parses a call. Returns `None` while it is incomplete.
fn parse(bytes: &[u8]) -> Result<Option<Call>, Answer> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let head_bytes = match head.parse(bytes).map_err(|e| error_answer(400, format!("the head: {e}")))? {
        httparse::Status::Complete(head_bytes) if head_bytes <= MAX_HEAD_BYTES => head_bytes,
        httparse::Status::Partial if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(error_answer(431, format!("a head of over {MAX_HEAD_BYTES} bytes"))),
    };
    let mut body_bytes = 0;
    for h in head.headers.iter() {
        if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(error_answer(411, "a body needs a content-length"));
        }
        if h.name.eq_ignore_ascii_case("content-length") {
            let value = std::str::from_utf8(h.value).ok().and_then(|v| v.trim().parse().ok());
            body_bytes = value.ok_or_else(|| error_answer(400, "the content-length is no number"))?;
        }
    }
    if body_bytes > MAX_BODY_BYTES {
        return Err(error_answer(413, format!("a body of over {MAX_BODY_BYTES} bytes")));
    }
    let Some(body) = bytes.get(head_bytes..head_bytes + body_bytes) else { return Ok(None) };
    let text = |t: Option<&str>| t.unwrap_or("").to_string();
    Ok(Some(Call { method: text(head.method), path: text(head.path), body: body.to_vec() }))
}

/// The reason phrase of a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Bad Request",
    }
}
