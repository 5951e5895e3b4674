//! Discovery: the list of database hosts, fetched once and then watched. It owns the connection to
//! discovery's agent and the index of the last news. It reconnects for as long as the program runs.
//! It must never touch a connection to a database host, and bad news must never spoil the list.

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
/// The heartbeat time-out. A line comes every 2 s, empty or not; a watch without a whole one for this long is broken.
/// What it misses counts as told 6 s after it fell silent, and the watch that follows needs its time inside that.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(4_250);
/// A watch that held for so long went well.
const HELD: Duration = Duration::from_secs(1);
/// The longest message, line or body that is kept.
const MOST_BYTES: usize = 4 << 20;

/// Keeps the list current, from the version that is known, at the agent last moved to. A move leaves
/// the old agent at once, whatever is out there, and the watch goes on where it was.
pub async fn run(
    mut agent: SocketAddr, moved: Receiver<SocketAddr>, known: Option<u64>, mut backoff: Backoff,
    core: &Core, hosts: &Hosts,
) {
    let mut index = known;
    let (mut news, answer) = (PeerUpdate::default(), backoff.answer);
    let mut wait = if known.is_some() { backoff.soon() } else { Duration::ZERO };
    if mutants::on("starts late") {
        wait = Duration::from_secs(12);
    }
    loop {
        let watch = async {
            world::after(wait).await;
            let mut accepted = None;
            let whole = index.is_none();
            let ended = session(agent, answer, &mut index, &mut accepted, &mut news, core, hosts).await;
            if let Err(what) = &ended {
                warn!(target: "discovery", "{what}");
            }
            // A watch that held for a while is reopened soon: what drains meanwhile counts as told. A refusal is
            // not hammered, and one that was long in coming is no watch that held.
            let held = accepted.is_some_and(|at: Instant| world::since(at) > HELD);
            // Guards against a proxy that has the whole list, and waits a turn before it watches.
            wait = if held || (whole && ended.is_ok() && index.is_some()) {
                backoff.soon()
            } else if mutants::on("turns are long") {
                Duration::from_secs(20)
            } else {
                backoff.failed()
            };
            None
        };
        // Guards against a move that waits for the end of a try at an agent that is silent.
        let next = future::or(watch, async {
            match moved.recv().await {
                Ok(next) => Some(next),
                Err(_) => future::pending().await,
            }
        });
        if let Some(next) = next.await {
            (agent, wait) = (next, backoff.soon());
        }
    }
}

/// One connection: the whole list where none is known, then a watch until it ends.
async fn session(
    agent: SocketAddr, answer: Duration, index: &mut Option<u64>, accepted: &mut Option<Instant>,
    news: &mut PeerUpdate, core: &Core, hosts: &Hosts,
) -> Result<(), String> {
    let path = match *index {
        None => PATH.to_string(),
        Some(at) => format!("{PATH}?stream=1&index={at}"),
    };
    let http = timeout_at(world::now() + answer, Http::get(agent, &path)).await;
    let mut http = http.ok_or("no answer in time")??;
    if http.status != 200 {
        // The version may be one that discovery no longer knows: begin again with the whole list. Guards
        // against a hundred proxies that ask an overbooked discovery for whole lists instead of news.
        if (400..500).contains(&http.status) && http.status != 429 {
            *index = None;
        }
        return Err(format!("status {} for {path}", http.status));
    }
    *accepted = Some(world::now());
    let mut apply = |listing: &Listing| hosts.listed(&core.list(listing, false), listing);
    if path == PATH {
        let whole = timeout_at(world::now() + HEARTBEAT_TIMEOUT, http.whole()).await;
        let whole = Listing::parse(&whole.ok_or("a list that does not end in time")??);
        let listing = whole.map_err(|e| format!("the list stays as it was: {e}"))?;
        apply(&listing);
        *index = Some(listing.index);
        return Ok(());
    }
    news.drop_begun();
    // A message of this watch was lost, and none has told of its changes since.
    let mut lost = false;
    let patience =
        if mutants::on("silent watches are kept") { HEARTBEAT_TIMEOUT * 100 } else { HEARTBEAT_TIMEOUT };
    loop {
        // Whole lines count: guards against one that goes on and on.
        let line = timeout_at(world::now() + patience, http.line()).await;
        let Some(line) = line.ok_or("silent for too long")?? else { return Ok(()) };
        match news.take(&line) {
            Ok(None) => {}
            Ok(Some(listing)) => {
                apply(&listing);
                // Behind a message that was lost, only a whole list says what that one did.
                if !lost || listing.full {
                    (*index, lost, news.spoilt) = (Some(listing.index), false, false);
                }
            }
            // Asked for again, once; guards against a message that is always bad, and keeps out all behind it.
            Err((what, _)) if !std::mem::replace(&mut news.spoilt, true) => {
                return Err(format!("the list stays as it was: {what}"));
            }
            Err((what, next)) => {
                lost = true;
                warn!(target: "discovery", "the list stays as it was, again: {what}");
                next.iter().for_each(&mut apply);
            }
        }
    }
}

/// The messages of a watch, put together from their lines: a list may come indented, over many of them.
#[derive(Default)]
struct PeerUpdate {
    /// Lines of a message that is not whole yet, and how far into it they lead.
    text: Vec<u8>,
    depth: usize,
    /// In a string, and behind a backslash there.
    quoted: bool,
    escaped: bool,
    /// A watch was left for a message that could not be read, and none has told of its changes since.
    spoilt: bool,
}

impl PeerUpdate {
    /// What was begun is over, whatever it was; whether there was something.
    fn drop_begun(&mut self) -> bool {
        (self.depth, self.quoted, self.escaped) = Default::default();
        !std::mem::take(&mut self.text).is_empty()
    }

    /// Takes in a line: a message where one ends with it, or why there is none, with what came behind a torn one.
    fn take(&mut self, line: &[u8]) -> Result<Option<Listing>, (String, Option<Listing>)> {
        let torn = || "a message that does not end".to_string();
        if line.iter().all(u8::is_ascii_whitespace) {
            // A heartbeat comes between messages.
            return if self.drop_begun() { Err((torn(), None)) } else { Ok(None) };
        }
        if !self.text.is_empty()
            && line.starts_with(b"{")
            && let Ok(next) = Listing::parse(line)
        {
            self.drop_begun();
            return Err((torn(), Some(next)));
        }
        for b in line {
            match b {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'{' | b'[' if !self.quoted => self.depth += 1,
                b'}' | b']' if !self.quoted => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        self.text.extend_from_slice(line);
        self.text.push(b'\n');
        if self.depth > 0 && self.text.len() <= MOST_BYTES {
            return Ok(None);
        }
        let parsed = Listing::parse(&self.text);
        self.drop_begun();
        parsed.map(Some).map_err(|e| (e, None))
    }
}

/// How the body of an answer is delimited.
enum Delimited {
    Chunked { left: usize, first: bool },
    Length(usize),
    End,
}

/// One HTTP answer, read as it comes.
struct Http {
    stream: Stream,
    status: u16,
    delimited: Delimited,
    raw: Vec<u8>,
    body: Vec<u8>,
    ended: bool,
}

impl Http {
    async fn get(agent: SocketAddr, path: &str) -> Result<Http, String> {
        let stream = Stream::connect(agent).await.map_err(|e| format!("connecting: {e}"))?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {agent}\r\nAccept: application/json\r\n\r\n");
        stream.write_all(request.as_bytes()).await.map_err(|e| format!("asking: {e}"))?;
        let mut http =
            Http { stream, status: 0, delimited: Delimited::End, raw: vec![], body: vec![], ended: false };
        while !http.head()? {
            if !http.more().await? {
                return Err("the answer ends in its head".into());
            }
        }
        Ok(http)
    }

    /// Reads the head once it is whole.
    fn head(&mut self) -> Result<bool, String> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let parsed = head.parse(&self.raw).map_err(|e| format!("the head: {e}"))?;
        let httparse::Status::Complete(len) = parsed else { return Ok(false) };
        self.status = head.code.unwrap_or(0);
        for h in head.headers.iter() {
            let value = std::str::from_utf8(h.value).unwrap_or("").trim();
            if h.name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
                self.delimited = Delimited::Chunked { left: 0, first: true };
            } else if h.name.eq_ignore_ascii_case("content-length") {
                let length = value.parse().map_err(|_| format!("content-length {value:?}"))?;
                self.delimited = Delimited::Length(length);
            }
        }
        self.raw.drain(..len);
        Ok(true)
    }

    /// Reads what has come; false at the end of the connection.
    async fn more(&mut self) -> Result<bool, String> {
        let raw = &mut self.raw;
        let read = self.stream.read_with(|part| raw.extend(part)).await;
        let n = read.map_err(|e| format!("reading: {e}"))?;
        if self.raw.len() > MOST_BYTES || self.body.len() > MOST_BYTES {
            return Err(format!("an answer of over {MOST_BYTES} bytes"));
        }
        Ok(n > 0)
    }

    /// Moves what is body from the raw bytes to the body.
    fn unwrap_body(&mut self) -> Result<(), String> {
        match &mut self.delimited {
            Delimited::End => self.body.append(&mut self.raw),
            Delimited::Length(left) => {
                let n = self.raw.len().min(*left);
                self.body.extend(self.raw.drain(..n));
                *left -= n;
                self.ended |= *left == 0;
            }
            Delimited::Chunked { left, first } => loop {
                let n = self.raw.len().min(*left);
                self.body.extend(self.raw.drain(..n));
                *left -= n;
                if *left > 0 || self.ended {
                    return Ok(());
                }
                // A line end closes the chunk before, then comes the size of the next.
                let skip = if *first { 0 } else { 2 };
                if self.raw.len() < skip {
                    return Ok(());
                }
                match httparse::parse_chunk_size(&self.raw[skip..]) {
                    Ok(httparse::Status::Complete((at, size))) => {
                        *left = usize::try_from(size).map_err(|_| "a chunk too large".to_string())?;
                        *first = false;
                        self.ended = size == 0;
                        self.raw.drain(..skip + at);
                    }
                    Ok(httparse::Status::Partial) => return Ok(()),
                    Err(_) => return Err("a chunk has no size".into()),
                }
            },
        }
        Ok(())
    }

    /// The next line of the body, without its end.
    async fn line(&mut self) -> Result<Option<Vec<u8>>, String> {
        loop {
            self.unwrap_body()?;
            if let Some(end) = self.body.iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.body.drain(..=end).collect();
                line.pop();
                return Ok(Some(line));
            }
            if self.ended || !self.more().await? {
                return Ok(None);
            }
        }
    }

    /// The whole body.
    async fn whole(&mut self) -> Result<Vec<u8>, String> {
        loop {
            self.unwrap_body()?;
            let to_the_end = matches!(self.delimited, Delimited::End);
            if self.ended {
                return Ok(std::mem::take(&mut self.body));
            }
            if !self.more().await? {
                return if to_the_end { Ok(std::mem::take(&mut self.body)) } else { Err("cut short".into()) };
            }
        }
    }
}
