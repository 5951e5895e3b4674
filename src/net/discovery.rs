//! Discovery: fetches the list of database hosts once, then watches it for changes. This module owns the connection to
//! discovery's agent and the index of the last message. It passes each valid message to the core and to the owner of host
//! connections, and reconnects for as long as the program runs. It must never touch a connection to a database host, and
//! an invalid message must never change the list.

use super::backoff::Backoff;
use super::core::Core;
use super::hosts::Hosts;
use super::listing::Listing;
use super::timeout_at;
use super::world::{self, Stream};
use crate::mutants;
use async_channel::Receiver;
use futures_lite::future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::warn;

const PATH: &str = "/registry/instances";
/// The heartbeat timeout. The agent sends a line every 2 s, which may be empty. A watch without a complete line for this
/// long is broken. 6 s after a watch has fallen silent the proxy counts as notified of what it missed, and the next watch
/// must open within that time.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(4_250);
/// A watch that lasted longer than this counts as successful.
const MIN_WATCH_DURATION: Duration = Duration::from_secs(1);
/// The longest message, line or body that is held in memory.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Keeps the list current, starting from the version `known`. `moved` delivers the address of a new agent: the connection
/// to the old agent is dropped at once, whatever its state, and the watch continues at the same index.
pub async fn run(
    mut agent: SocketAddr, moved: Receiver<SocketAddr>, known: Option<u64>, mut backoff: Backoff,
    core: &Core, hosts: &Hosts,
) {
    let mut index = known;
    let mut reader = MessageReader::default();
    let answer_timeout = backoff.answer_timeout;
    let mut delay = if known.is_some() { backoff.after_success() } else { Duration::ZERO };
    if mutants::on("starts late") {
        delay = Duration::from_secs(12);
    }
    loop {
        let watch = async {
            world::after(delay).await;
            let mut accepted = None;
            let fetches_list = index.is_none();
            let end =
                session(agent, answer_timeout, &mut index, &mut accepted, &mut reader, core, hosts).await;
            if let Err(error) = &end {
                warn!(target: "discovery", "{error}; discovery is called again");
            }
            // A watch that lasted for a while is reopened soon, since the proxy counts as notified of drains that begin
            // meanwhile. After a refusal the delay grows. An agent that was slow to refuse did not hold a watch, so the
            // time counts from the accepted answer.
            let has_lasted = accepted.is_some_and(|at: Instant| world::since(at) > MIN_WATCH_DURATION);
            // Guards against a proxy that has fetched the whole list, and then waits for its turn before it watches.
            delay = if has_lasted || (fetches_list && end.is_ok() && index.is_some()) {
                backoff.after_success()
            } else if mutants::on("turns are long") {
                Duration::from_secs(20)
            } else {
                backoff.after_failure()
            };
            None
        };
        // Guards against a move to another agent that waits for the end of a call to a silent one.
        let next = future::or(watch, async {
            match moved.recv().await {
                Ok(next) => Some(next),
                Err(_) => future::pending().await,
            }
        });
        if let Some(next) = next.await {
            (agent, delay) = (next, backoff.after_success());
        }
    }
}

/// One connection to the agent: fetches the whole list if no version is known, otherwise watches until the watch ends. Sets
/// `accepted` to when the agent accepted the call.
async fn session(
    agent: SocketAddr, answer_timeout: Duration, index: &mut Option<u64>, accepted: &mut Option<Instant>,
    reader: &mut MessageReader, core: &Core, hosts: &Hosts,
) -> Result<(), String> {
    let path = match *index {
        None => PATH.to_string(),
        Some(at) => format!("{PATH}?stream=1&index={at}"),
    };
    let http = timeout_at(world::now() + answer_timeout, HttpResponse::get(agent, &path)).await;
    let mut http = http.ok_or("no answer in time")??;
    if http.status != 200 {
        // The agent may no longer know this index, so the next call fetches the whole list. Status 429 is excluded: guards
        // against a hundred proxies that request whole lists instead of changes from an overloaded discovery.
        if (400..500).contains(&http.status) && http.status != 429 {
            *index = None;
        }
        return Err(format!("status {} for {path}", http.status));
    }
    *accepted = Some(world::now());
    let mut apply = |listing: &Listing| hosts.apply_listing(&core.apply_listing(listing, false), listing);
    if path == PATH {
        let body = timeout_at(world::now() + HEARTBEAT_TIMEOUT, http.body()).await;
        let parsed = Listing::parse(&body.ok_or("a list that does not end in time")??);
        let listing = parsed.map_err(|e| format!("the list stays as it was: {e}"))?;
        apply(&listing);
        *index = Some(listing.index);
        return Ok(());
    }
    reader.discard_partial();
    // Whether a message of this watch could not be read, and no whole list has followed it.
    let mut is_incomplete = false;
    let heartbeat_timeout =
        if mutants::on("silent watches are kept") { HEARTBEAT_TIMEOUT * 100 } else { HEARTBEAT_TIMEOUT };
    loop {
        // The timeout applies to complete lines. Guards against a line that never ends.
        let line = timeout_at(world::now() + heartbeat_timeout, http.line()).await;
        let Some(line) = line.ok_or("silent for too long")?? else { return Ok(()) };
        match reader.add_line(&line) {
            Ok(None) => {}
            Ok(Some(listing)) => {
                apply(&listing);
                // After a message that could not be read, the index advances only with a whole list, which includes what
                // that message changed.
                if !is_incomplete || listing.full {
                    (*index, is_incomplete, reader.has_retried) = (Some(listing.index), false, false);
                }
            }
            // The watch is reopened once to receive the message again. Guards against a message that is always invalid,
            // and prevents all messages after it.
            Err((error, _)) if !std::mem::replace(&mut reader.has_retried, true) => {
                return Err(format!("the list stays as it was: {error}"));
            }
            Err((error, next)) => {
                is_incomplete = true;
                warn!(target: "discovery", "the list stays as it was, again: {error}; the watch goes on");
                next.iter().for_each(&mut apply);
            }
        }
    }
}

/// Assembles the messages of a watch from their lines, since a list may be indented JSON over several lines.
#[derive(Default)]
struct MessageReader {
    /// The lines of an incomplete message, and the number of braces and brackets that are open after them.
    text: Vec<u8>,
    depth: usize,
    /// Whether the text so far ends inside a string, and after a backslash there.
    in_string: bool,
    is_escaped: bool,
    /// Whether a watch was reopened because of a message that could not be read, and the index has not advanced since.
    has_retried: bool,
}

impl MessageReader {
    /// Discards an incomplete message. Returns whether there was one.
    fn discard_partial(&mut self) -> bool {
        (self.depth, self.in_string, self.is_escaped) = Default::default();
        !std::mem::take(&mut self.text).is_empty()
    }

    /// Adds a line. Returns the message that it completes, if any. The error says why a message could not be read, and
    /// holds the message that followed an incomplete one, if any.
    fn add_line(&mut self, line: &[u8]) -> Result<Option<Listing>, (String, Option<Listing>)> {
        let incomplete = || "a message that does not end".to_string();
        if line.iter().all(u8::is_ascii_whitespace) {
            // A heartbeat comes only between messages.
            return if self.discard_partial() { Err((incomplete(), None)) } else { Ok(None) };
        }
        if !self.text.is_empty()
            && line.starts_with(b"{")
            && let Ok(next) = Listing::parse(line)
        {
            self.discard_partial();
            return Err((incomplete(), Some(next)));
        }
        for b in line {
            match b {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' if self.in_string => self.is_escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'{' | b'[' if !self.in_string => self.depth += 1,
                b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        self.text.extend_from_slice(line);
        self.text.push(b'\n');
        if self.depth > 0 && self.text.len() <= MAX_MESSAGE_BYTES {
            return Ok(None);
        }
        let parsed = Listing::parse(&self.text);
        self.discard_partial();
        parsed.map(Some).map_err(|e| (e, None))
    }
}

/// How the end of an HTTP body is marked.
enum BodyFraming {
    /// By chunks: the bytes that are left of the present one, and whether no chunk has begun yet.
    Chunked { left: usize, first: bool },
    /// By the content length, of which this many bytes are left.
    Length(usize),
    /// By the end of the connection.
    ConnectionEnd,
}

/// An HTTP response, whose body is read as it arrives.
struct HttpResponse {
    stream: Stream,
    status: u16,
    framing: BodyFraming,
    /// Bytes received and not parsed yet.
    raw: Vec<u8>,
    /// Bytes of the body that are not consumed yet.
    body: Vec<u8>,
    /// Whether the whole body was received.
    is_complete: bool,
}

impl HttpResponse {
    /// Sends a request and reads the head of the response.
    async fn get(agent: SocketAddr, path: &str) -> Result<HttpResponse, String> {
        let stream = Stream::connect(agent).await.map_err(|e| format!("connecting: {e}"))?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {agent}\r\nAccept: application/json\r\n\r\n");
        stream.write_all(request.as_bytes()).await.map_err(|e| format!("sending the request: {e}"))?;
        let framing = BodyFraming::ConnectionEnd;
        let mut http =
            HttpResponse { stream, status: 0, framing, raw: vec![], body: vec![], is_complete: false };
        while !http.parse_head()? {
            if !http.read_more().await? {
                return Err("the answer ends in its head".into());
            }
        }
        Ok(http)
    }

    /// Parses the head. Returns false while it is incomplete.
    fn parse_head(&mut self) -> Result<bool, String> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(&self.raw).map_err(|e| format!("the head: {e}"))?;
        let httparse::Status::Complete(head_bytes) = parsed else { return Ok(false) };
        self.status = head.code.unwrap_or(0);
        for h in head.headers.iter() {
            let value = std::str::from_utf8(h.value).unwrap_or("").trim();
            if h.name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
                self.framing = BodyFraming::Chunked { left: 0, first: true };
            } else if h.name.eq_ignore_ascii_case("content-length") {
                let length = value.parse().map_err(|_| format!("content-length {value:?}"))?;
                self.framing = BodyFraming::Length(length);
            }
        }
        self.raw.drain(..head_bytes);
        Ok(true)
    }

    /// Waits for bytes and reads them. Returns false at the end of the connection.
    async fn read_more(&mut self) -> Result<bool, String> {
        let raw = &mut self.raw;
        let read = self.stream.read_with(|part| raw.extend(part)).await;
        let n = read.map_err(|e| format!("reading: {e}"))?;
        if self.raw.len() > MAX_MESSAGE_BYTES || self.body.len() > MAX_MESSAGE_BYTES {
            return Err(format!("an answer of over {MAX_MESSAGE_BYTES} bytes"));
        }
        Ok(n > 0)
    }

    /// Moves the bytes of the body from `raw` to `body`, without the framing.
    fn unwrap_body(&mut self) -> Result<(), String> {
        match &mut self.framing {
            BodyFraming::ConnectionEnd => self.body.append(&mut self.raw),
            BodyFraming::Length(left) => {
                let n = self.raw.len().min(*left);
                self.body.extend(self.raw.drain(..n));
                *left -= n;
                self.is_complete |= *left == 0;
            }
            BodyFraming::Chunked { left, first } => loop {
                let n = self.raw.len().min(*left);
                self.body.extend(self.raw.drain(..n));
                *left -= n;
                if *left > 0 || self.is_complete {
                    return Ok(());
                }
                // A line end closes the chunk before. The size of the next chunk follows it.
                let line_end_bytes = if *first { 0 } else { 2 };
                if self.raw.len() < line_end_bytes {
                    return Ok(());
                }
                match httparse::parse_chunk_size(&self.raw[line_end_bytes..]) {
                    Ok(httparse::Status::Complete((at, size))) => {
                        *left = usize::try_from(size).map_err(|_| "a chunk too large".to_string())?;
                        *first = false;
                        self.is_complete = size == 0;
                        self.raw.drain(..line_end_bytes + at);
                    }
                    Ok(httparse::Status::Partial) => return Ok(()),
                    Err(_) => return Err("a chunk has no size".into()),
                }
            },
        }
        Ok(())
    }

    /// Reads the next line of the body, without its line end. Returns `None` at the body's end.
    async fn line(&mut self) -> Result<Option<Vec<u8>>, String> {
        loop {
            self.unwrap_body()?;
            if let Some(end) = self.body.iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.body.drain(..=end).collect();
                line.pop();
                return Ok(Some(line));
            }
            if self.is_complete || !self.read_more().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the whole body.
    async fn body(&mut self) -> Result<Vec<u8>, String> {
        loop {
            self.unwrap_body()?;
            let ends_with_connection = matches!(self.framing, BodyFraming::ConnectionEnd);
            if self.is_complete {
                return Ok(std::mem::take(&mut self.body));
            }
            if !self.read_more().await? {
                return if ends_with_connection {
                    Ok(std::mem::take(&mut self.body))
                } else {
                    Err("the body ends before its declared length".into())
                };
            }
        }
    }
}
