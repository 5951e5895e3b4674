//! The operators' door: HTTP/1.1, one call to a connection. It owns its connections, a fixed number
//! of descriptors that neither clients nor hosts can take. Heads, bodies and times are bounded. It
//! must never count, judge a host or keep state: it asks the core and the clients' owner.

use super::client::Clients;
use super::core::Core;
use super::endpoints::CONSOLE_CONNECTIONS;
use super::peers::Peers;
use super::upgrade::Upgrade;
use super::world::{self, Listener, Spawner, Stream};
use super::{timeout_at, warn_rate_limited};
use async_channel::{Receiver, Sender};
use futures_lite::future;
use serde::Deserialize;
use serde_json::json;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A whole call has to come within this.
const CALL: Duration = Duration::from_millis(2_500);
/// An answer has to be taken within this.
const TAKEN: Duration = Duration::from_secs(1);
/// The longest head and body of a call, and the most headers.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const MAX_BODY_BYTES: usize = 4 * 1024;
const MOST_HEADERS: usize = 64;
/// The wait after a failed accept.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// The door, and who stands there without a whole call, the longest first, with how each is told to go.
pub struct Console {
    core: Rc<Core>,
    clients: Rc<Clients>,
    upgrade: Rc<Upgrade>,
    peers: Option<Rc<Peers>>,
    callers: RefCell<BTreeMap<u64, Sender<()>>>,
}

/// A caller's place; dropping it gives it back.
struct Place<'a>(&'a Console, u64);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.callers.borrow_mut().remove(&self.1);
    }
}

/// A whole call.
struct Call {
    method: String,
    path: String,
    body: Vec<u8>,
}

/// What is answered: the status, and a JSON object.
struct Answer(u16, serde_json::Value);

fn no(status: u16, why: impl Into<String>) -> Answer {
    Answer(status, json!({ "error": why.into() }))
}

impl Console {
    pub fn new(
        core: Rc<Core>, clients: Rc<Clients>, upgrade: Rc<Upgrade>, peers: Option<Rc<Peers>>,
    ) -> Console {
        Console { core, clients, upgrade, peers, callers: RefCell::default() }
    }

    /// Takes calls for as long as the program runs.
    pub async fn run(self: Rc<Console>, listener: Listener, executor: Spawner) {
        for number in 0.. {
            let stream = match listener.accept().await {
                Ok(stream) => stream,
                Err(e) => {
                    warn_rate_limited(|| format!("console: accepting: {e}"));
                    world::after(ACCEPT_WAIT).await;
                    continue;
                }
            };
            // Guards against slow callers that shut out one with a whole call: the first come goes.
            let full = self.callers.borrow().len() >= CONSOLE_CONNECTIONS;
            let oldest = if full { self.callers.borrow_mut().pop_first() } else { None };
            oldest.map(|(_, go)| go.try_send(()));
            let (go, asked_to_go) = async_channel::bounded(1);
            self.callers.borrow_mut().insert(number, go);
            let console = self.clone();
            executor.spawn(async move { console.call(stream, number, asked_to_go).await });
            // Whoever was told to go has gone before the next one comes.
            future::yield_now().await;
        }
    }

    async fn call(&self, stream: Stream, number: u64, go: Receiver<()>) {
        let _place = Place(self, number);
        let asked_to_go = async {
            let _ = go.recv().await;
            None
        };
        let whole = async {
            let call = timeout_at(world::now() + CALL, read_call(&stream)).await;
            Some(call.unwrap_or_else(|| Err(no(408, "no whole call came in time"))))
        };
        let answer = match future::or(whole, asked_to_go).await {
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
        let last = async {
            if stream.write_all(text.as_bytes()).await.is_ok() && stream.shutdown().is_ok() {
                // Closing over unread input would take the answer with it.
                while let Ok(1..) = stream.read_with(|_| ()).await {}
            }
        };
        timeout_at(world::now() + TAKEN, future::or(last, async { _ = go.recv().await })).await;
    }

    fn by_hand(&self, body: &[u8], out: bool) -> Answer {
        let who = match serde_json::from_slice::<Who>(body) {
            Ok(Who { who }) => who,
            Err(e) => return no(400, format!("the body is no {{\"who\":\"ID\"}}: {e}")),
        };
        if !self.core.knows(&who) {
            return no(404, format!("no database host is called {who:?}"));
        }
        match self.upgrade.set_override(&who, out) {
            Ok(taken) => {
                let body = json!({
                    "who": who, "down": out, "processes": 1 + self.upgrade.connections(),
                    "outlasts_processes": taken.outlasts_process,
                });
                Answer(200, body)
            }
            Err(why) => no(500, format!("{why}; the order holds nowhere, nothing has changed")),
        }
    }

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
            return no(404, format!("nothing is at {path}"));
        };
        if call.method != *method {
            return no(405, format!("{path} takes {method}, not {}", call.method));
        }
        match path {
            "/ops/readiness" => match self.clients.admission.unready() {
                None => Answer(200, json!({"ready": true})),
                Some(why) => Answer(503, json!({"ready": false, "why": why})),
            },
            "/ops/stats" => match serde_json::to_value(self.core.figures()) {
                Ok(mut figures) => {
                    if let Some(statements) = self.clients.statements() {
                        figures["statements"] = json!(statements.figures());
                    }
                    #[cfg(feature = "faults")]
                    {
                        figures["faults"] = json!(super::faults::injected_counts());
                    }
                    if let Some(peers) = &self.peers {
                        figures["peers"] = json!(peers.figures());
                    }
                    Answer(200, figures)
                }
                Err(e) => no(500, e.to_string()),
            },
            "/ops/database-hosts/down" => self.by_hand(&call.body, true),
            "/ops/database-hosts/up" => self.by_hand(&call.body, false),
            "/ops/drain/start" => {
                self.clients.admission.drain();
                Answer(200, json!({"draining": true}))
            }
            _ => {
                self.clients.admission.undrain();
                Answer(200, json!({"draining": false}))
            }
        }
    }
}

/// The body of a call about one database host.
#[derive(Deserialize)]
struct Who {
    who: String,
}

/// Reads one call; the error is what the caller is told instead.
async fn read_call(stream: &Stream) -> Result<Call, Answer> {
    let mut bytes = Vec::new();
    loop {
        if let Some(call) = parse(&bytes)? {
            return Ok(call);
        }
        match stream.read_with(|part| bytes.extend_from_slice(part)).await {
            Ok(1..) => {}
            _ => return Err(no(400, "the call ends early")),
        }
    }
}

/// Reads the call once it is whole.
fn parse(bytes: &[u8]) -> Result<Option<Call>, Answer> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let len = match head.parse(bytes).map_err(|e| no(400, format!("the head: {e}")))? {
        httparse::Status::Complete(len) if len <= MAX_HEAD_BYTES => len,
        httparse::Status::Partial if bytes.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(no(431, format!("a head of over {MAX_HEAD_BYTES} bytes"))),
    };
    let mut length = 0;
    for h in head.headers.iter() {
        if h.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(no(411, "a body needs a content-length"));
        }
        if h.name.eq_ignore_ascii_case("content-length") {
            let value = std::str::from_utf8(h.value).ok().and_then(|v| v.trim().parse().ok());
            length = value.ok_or_else(|| no(400, "the content-length is no number"))?;
        }
    }
    if length > MAX_BODY_BYTES {
        return Err(no(413, format!("a body of over {MAX_BODY_BYTES} bytes")));
    }
    let Some(body) = bytes.get(len..len + length) else { return Ok(None) };
    let text = |t: Option<&str>| t.unwrap_or("").to_string();
    Ok(Some(Call { method: text(head.method), path: text(head.path), body: body.to_vec() }))
}

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
