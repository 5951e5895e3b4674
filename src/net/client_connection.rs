//! One client's connection. It reads and writes bytes, and applies the timeouts and memory limits of a client. It owns the
//! connection, the bytes received but not decoded, and the bytes due but not written. It must never interpret a request,
//! nor know whether one is open.
//!
//! A client that sends nothing, or only a part of a message, is disconnected after `CONTINUE_TIMEOUT`.

use super::admission::{Admission, IDLE_TIMEOUT, IDLE_TIMEOUT_CROWDED, IDLE_TIMEOUT_OVERCROWDED};
use super::memory::{ConnectionMemory, Reservation};
use super::work;
use super::world::{self, READ_BYTES, Stream};
use super::{read_into, timeout_at};
use crate::invariants::CloseReason;
use crate::mutants;
use crate::pg::{
    self, Decoded, ErrorFields, Frontend, MAX_MESSAGE_BYTES, MAX_STARTUP_BYTES, ReadBuffer, Startup, code,
};
use crate::upload_clock::UploadClock;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The timeout for the next bytes of a client that has sent a part of a message, or nothing yet. A client that stops in
/// the middle has to get an error or a close within 3 s, and a normal client may take 2 s for the head of a message.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The timeout for a message that is buffered as a whole. Guards against a client that sends a byte now and then.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);
/// A client that reads nothing of an answer for this long is disconnected. Normal clients read slowly at times.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// After the last message, the connection is closed once the client has sent nothing for this long.
const LINGER_QUIET: Duration = Duration::from_millis(200);
/// After the last message, the connection is closed after this time at the latest. A client that is still sending 60 MB
/// has to receive the error.
const MAX_LINGER: Duration = Duration::from_secs(3);
/// Once the stop's time is over, a closing connection waits this much longer at most: SIGKILL follows soon.
const LINGER_AFTER_CUT_OFF: Duration = Duration::from_millis(50);
/// How much a client may send behind an open request.
const MAX_READ_AHEAD_BYTES: usize = 1 << 20;
/// How many receive times are kept for the bytes that were read ahead. Bytes beyond share the last one.
const MAX_RECEIVE_TIMES: usize = 64;
/// How often a connection that isn't read is checked for a disconnected client.
const HANGUP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// When idle connections are closed, one without any request so far gets this much longer: the request that the client
/// wrote behind its startup message may be on its way.
const NO_REQUEST_GRACE: Duration = Duration::from_millis(200);
/// How much of the buffer for due bytes is kept once they are written.
const KEPT_OUT_BYTES: usize = 1024;
/// Answers that are ready are written together, up to this length.
const MAX_COALESCED_BYTES: usize = 64 * 1024;

/// Appends an error that ends the session.
pub fn put_fatal(out: &mut Vec<u8>, code: &str, message: &str) {
    let fields =
        ErrorFields { code: code.into(), message: message.into(), fatal: true, ..Default::default() };
    pg::put_error(out, &fields);
}

/// Receives what a client sends, in the turn of its session.
async fn receive_into(stream: &Stream, read_buffer: &mut ReadBuffer, max_bytes: usize) -> io::Result<usize> {
    work::turn().await;
    read_into(stream, read_buffer, max_bytes).await
}

/// Receives what a client sends and drops it, in the turn of its session.
async fn discard_received(stream: &Stream) -> io::Result<usize> {
    work::turn().await;
    stream.read_with(|_| ()).await
}

/// How a wait for more bytes ended.
pub enum ReadResult {
    /// There are bytes in the read buffer.
    Bytes,
    /// The connection has ended, or has to end: it was idle for too long, or its slot is wanted for another client.
    End,
    /// The rest of a message did not come in time.
    TooSlow,
    /// There is no memory for more of the message.
    TooMuch,
}

/// Why an open request is abandoned: no further attempt starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AbandonReason {
    /// The client has closed the connection, or takes no answers any more.
    ClientDisconnected,
    /// The stop's time is over: the request gets its final answer now.
    CutOff,
}

/// The result of reading ahead behind an open request.
pub enum ReadAhead {
    Bytes,
    Abandoned(AbandonReason),
}

/// What happens to the bytes beyond the read-ahead limits.
#[derive(Clone, Copy, PartialEq)]
pub enum ReadAheadMode {
    /// They stay unread until there is space.
    Bounded,
    /// They are discarded, and the session ends behind its answers.
    Discard,
}

/// When bytes behind an open request were received.
struct ReceiveTime {
    /// The number of bytes that the connection had received by then.
    end_offset: u64,
    at: Instant,
}

/// One client's connection.
pub struct ClientConnection<'a> {
    admission: &'a Rc<Admission>,
    stream: Rc<Stream>,
    /// Why the connection ends, once that is known.
    close_reason: Option<CloseReason>,
    opened_at: Instant,
    /// Bytes that were received and not decoded yet.
    pub read_buffer: ReadBuffer,
    /// The number of bytes received since the connection was opened.
    received_bytes: u64,
    /// The receive times of the bytes that were read behind an open request.
    receive_times: VecDeque<ReceiveTime>,
    /// What the pipelined requests and their answers hold.
    pub request_bytes: usize,
    pub memory: ConnectionMemory,
    /// What the read buffer holds beyond `buffer_bytes`.
    read_memory: Reservation,
    /// Bytes that are due to the client and not written yet.
    pub out: Vec<u8>,
    /// What `out` holds beyond `buffer_bytes`.
    out_memory: Reservation,
    /// The socket did not take all of the last bytes at once: the client reads slowly.
    write_blocked: bool,
    /// The session's start is over: what comes are messages of the session.
    pub in_session: bool,
    /// The session has received a complete message.
    pub received_message: bool,
    /// The session has received a request.
    pub received_request: bool,
    /// Since when the read buffer has held only a part of a message.
    pub partial_since: Option<Instant>,
    /// The connection was asked to end, because another client needs its slot.
    pub evicted: bool,
    /// The client has sent more than the read-ahead limits allow.
    pub overrun: bool,
    /// When bytes of the client were last received, or a wait for them ended.
    last_received: Instant,
    /// Notified when the connection has to end because another client needs its slot.
    eviction: (Sender<()>, Receiver<()>),
}

impl<'a> ClientConnection<'a> {
    pub fn new(admission: &'a Rc<Admission>, stream: Rc<Stream>) -> ClientConnection<'a> {
        let memory = admission.connection_memory();
        ClientConnection {
            admission,
            stream,
            close_reason: None,
            opened_at: world::now(),
            read_buffer: ReadBuffer::default(),
            received_bytes: 0,
            receive_times: VecDeque::new(),
            request_bytes: 0,
            read_memory: memory.received.reserve_nothing(),
            out: Vec::new(),
            out_memory: memory.answers.reserve_nothing(),
            memory,
            write_blocked: false,
            in_session: false,
            received_message: false,
            received_request: false,
            partial_since: None,
            evicted: false,
            overrun: false,
            last_received: world::now(),
            eviction: async_channel::bounded(1),
        }
    }

    /// Sets why the connection ends, unless that is known already.
    pub fn set_close_reason(&mut self, reason: CloseReason) {
        self.close_reason.get_or_insert(reason);
    }

    /// Decodes the next message of the session, in the task's turn. A message counts as work by its length.
    pub async fn decode_message(&mut self) -> Decoded<Frontend> {
        work::turn().await;
        self.decode_message_now()
    }

    /// The same without a wait for the task's turn, for callers that check it.
    pub fn decode_message_now(&mut self) -> Decoded<Frontend> {
        let before = self.read_buffer.len();
        let decoded = pg::decode_frontend(&mut self.read_buffer);
        work::charge_message(before - self.read_buffer.len());
        decoded
    }

    /// Decodes the next message before the session begins, in the task's turn.
    pub async fn decode_startup(&mut self) -> Decoded<Startup> {
        work::turn().await;
        let before = self.read_buffer.len();
        let decoded = pg::decode_startup(&mut self.read_buffer);
        work::charge_message(before - self.read_buffer.len());
        decoded
    }

    /// Whether bytes of the client wait in the socket, or its connection has ended.
    pub fn has_unread_bytes(&self) -> bool {
        !self.stream.is_idle()
    }

    /// The limits on clients, and the state of a stop.
    pub fn admission(&self) -> &'a Rc<Admission> {
        self.admission
    }

    /// The client's stream.
    pub fn stream(&self) -> Rc<Stream> {
        self.stream.clone()
    }

    /// Waits for a part of the `wanted` bytes of a statement that is streamed, and keeps it; while there is no memory for it, waits
    /// for memory. Returns why the request is abandoned, if it is. Returns now and then without either.
    pub async fn receive_ahead(&mut self, wanted: usize, clock: &mut UploadClock) -> Option<AbandonReason> {
        let admission = self.admission;
        let cut_off = async {
            admission.until_cut_off().await;
            Some(AbandonReason::CutOff)
        };
        let received = async {
            let Some(max_bytes) = self.streamed_room(wanted) else {
                world::after(HANGUP_CHECK_INTERVAL).await;
                return self.is_hung_up().then_some(AbandonReason::ClientDisconnected);
            };
            let has_waited = !clock.look(world::now(), self.has_unread_bytes());
            let read = receive_into(&self.stream, &mut self.read_buffer, max_bytes);
            match timeout_at(world::now() + HANGUP_CHECK_INTERVAL, read).await {
                None => None,
                Some(Ok(count @ 1..)) => {
                    self.received_bytes += count as u64;
                    self.last_received = world::now();
                    if has_waited {
                        clock.received_after_wait(self.last_received);
                    }
                    None
                }
                Some(Ok(_) | Err(_)) => Some(AbandonReason::ClientDisconnected),
            }
        };
        future::or(received, cut_off).await
    }

    /// How much of the `wanted` bytes of a streamed statement may be received now. `None` if there is no memory.
    fn streamed_room(&mut self, wanted: usize) -> Option<usize> {
        let (held, buffer_bytes) = (self.read_buffer.len(), self.memory.buffer_bytes);
        let more = wanted.min(READ_BYTES);
        let is_granted = held + more <= MAX_READ_AHEAD_BYTES
            && self.read_memory.grow_to((held + more).saturating_sub(buffer_bytes));
        let limit = if is_granted { held + more } else { buffer_bytes };
        Some(limit.saturating_sub(held).min(wanted)).filter(|&room| room > 0)
    }

    /// Whether the client has sent bytes that are not decoded yet.
    pub fn has_unread_input(&self) -> bool {
        !self.read_buffer.is_empty() || !self.stream.is_idle()
    }

    /// Why the connection ends: the client has ended it, if nothing else is known.
    pub fn close_reason(&self) -> CloseReason {
        self.close_reason.unwrap_or(CloseReason::ClientEnded)
    }

    /// Waits for more bytes of a message that has begun, unless the read buffer holds some.
    pub async fn read_more(&mut self) -> io::Result<ReadResult> {
        if !self.read_buffer.is_empty() {
            return Ok(ReadResult::Bytes);
        }
        // Large pieces where there is memory for one that was read, and one that is due to a host.
        let has_memory = self.read_memory.grow_to(2 * READ_BYTES);
        let max_bytes = if has_memory { READ_BYTES } else { self.memory.buffer_bytes };
        let read = receive_into(&self.stream, &mut self.read_buffer, max_bytes);
        match timeout_at(world::now() + CONTINUE_TIMEOUT, read).await {
            Some(Ok(n @ 1..)) => {
                self.received_bytes += n as u64;
                self.last_received = world::now();
                Ok(ReadResult::Bytes)
            }
            Some(Ok(_)) => {
                self.set_close_reason(CloseReason::ClientEnded);
                Ok(ReadResult::End)
            }
            Some(Err(e)) => {
                self.set_close_reason(CloseReason::ReadFailed);
                Err(e)
            }
            None => Ok(ReadResult::TooSlow),
        }
    }

    /// Appends an error that doesn't end the session.
    pub fn put_error(&mut self, code: &str, message: &str) {
        let fields = ErrorFields { code: code.into(), message: message.into(), ..Default::default() };
        pg::put_error(&mut self.out, &fields);
    }

    /// Writes an error that ends the session.
    pub async fn send_fatal(&mut self, code: &str, message: &str) -> io::Result<()> {
        put_fatal(&mut self.out, code, message);
        self.flush().await
    }

    /// Ends the session after a read that gave no bytes, with an error where the client is at fault.
    pub async fn end_session(&mut self, reason: ReadResult) -> io::Result<()> {
        match reason {
            ReadResult::TooSlow => self.set_close_reason(CloseReason::TooSlow),
            ReadResult::TooMuch => self.set_close_reason(CloseReason::TooMuch),
            ReadResult::Bytes | ReadResult::End => {}
        }
        match reason {
            ReadResult::TooSlow => {
                self.send_fatal(code::PROTOCOL_VIOLATION, "what was begun did not end in time").await
            }
            ReadResult::TooMuch => {
                self.send_fatal(code::OUT_OF_MEMORY, "too much is being sent here at once").await
            }
            ReadResult::Bytes | ReadResult::End => Ok(()),
        }
    }

    /// Appends bytes that are due to the client.
    pub fn put_bytes(&mut self, mut bytes: Vec<u8>) {
        if self.out.is_empty() {
            self.out = bytes;
        } else {
            pg::reserve_in_steps(&mut self.out, bytes.len());
            self.out.append(&mut bytes);
        }
    }

    /// Keeps the memory of an answer that is about to be due, until it is written.
    pub fn keep_until_written(&mut self, answer: Option<Reservation>) {
        answer.into_iter().for_each(|reservation| self.out_memory.absorb(reservation));
    }

    /// Whether an answer of `more` bytes has to wait until what is due has been written.
    pub fn must_write_before(&self, more: usize) -> bool {
        !self.out.is_empty() && (self.out.len() + more > MAX_COALESCED_BYTES || self.is_out_full())
    }

    /// Whether what is due has to be written before anything else is done.
    pub fn is_out_full(&self) -> bool {
        self.out.len() > self.out_memory.bytes() + self.memory.buffer_bytes
    }

    /// Writes the bytes that are due. While requests of the connection are open, it also fails once the client has closed
    /// the connection, so that these requests end.
    pub async fn flush(&mut self) -> io::Result<()> {
        let flushed = self.write_due().await;
        if let Err(e) = &flushed {
            let disconnected = e.kind() == io::ErrorKind::ConnectionAborted;
            self.set_close_reason(if disconnected {
                CloseReason::ClientLeft
            } else {
                CloseReason::WriteFailed
            });
        }
        flushed
    }

    /// Writes all bytes that are due.
    async fn write_due(&mut self) -> io::Result<()> {
        let mut written = 0;
        let mut is_blocked = false;
        while written < self.out.len() {
            let disconnected = async {
                self.until_hung_up().await;
                Err(io::ErrorKind::ConnectionAborted.into())
            };
            written += match self.request_bytes {
                0 => self.write_part(written).await?,
                _ => future::or(self.write_part(written), disconnected).await?,
            };
            is_blocked |= written < self.out.len();
        }
        self.write_blocked |= is_blocked;
        self.out.clear();
        self.out.shrink_to(KEPT_OUT_BYTES);
        self.out_memory.shrink_to(0);
        Ok(())
    }

    /// Where the client reads slowly, waits until its socket takes a whole answer. Guards against an answer that holds memory,
    /// or a host's connection, for as long as the client takes to read the ones before. Ends too if the client
    /// disconnects or reads nothing, and once the stop's time is over.
    pub async fn until_writable(&mut self) {
        if !std::mem::take(&mut self.write_blocked) {
            return;
        }
        let writable = async { drop(self.stream.until_writable().await) };
        let abandoned = future::or(self.until_hung_up(), self.admission.until_cut_off());
        let waited = future::or(writable, abandoned);
        timeout_at(world::now() + WRITE_TIMEOUT, waited).await;
    }

    /// Writes some of the bytes that are due, beginning at `from`. Returns how many.
    async fn write_part(&self, from: usize) -> io::Result<usize> {
        let written = timeout_at(world::now() + WRITE_TIMEOUT, self.stream.write(&self.out[from..])).await;
        match written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))? {
            0 => Err(io::ErrorKind::WriteZero.into()),
            n => Ok(n),
        }
    }

    /// Writes the bytes that are due, then waits for more from the client, up to the timeout that applies to it.
    pub async fn flush_and_read(&mut self) -> io::Result<ReadResult> {
        self.flush().await?;
        self.return_unused_memory();
        let now = world::now();
        let idle = self.read_buffer.is_empty();
        if idle && !self.receive_times.is_empty() {
            self.receive_times = VecDeque::new();
        }
        if idle && self.received_request && self.admission.closes_after_answer() && self.is_quiet() {
            self.set_close_reason(CloseReason::Stopping);
            return Ok(ReadResult::End);
        }
        if !idle {
            self.partial_since.get_or_insert(now);
        }
        let until = match self.partial_since {
            _ if !self.received_message => {
                Some((self.last_received + CONTINUE_TIMEOUT).min(self.opened_at + MESSAGE_TIMEOUT))
            }
            Some(since) => {
                Some((self.last_received.max(since) + CONTINUE_TIMEOUT).min(since + MESSAGE_TIMEOUT))
            }
            None if !self.received_request => Some(now + IDLE_TIMEOUT_CROWDED),
            None => None,
        };
        let admission = self.admission;
        let eviction = self.eviction.1.clone();
        let received_request = self.received_request;
        if until.is_none() {
            admission.evict_longest_idle();
        }
        let timed_out = async {
            match until {
                Some(until) => world::at(until).await,
                // The timeout depends on how many connections are idle, which may change meanwhile.
                None => {
                    for idle_time in [IDLE_TIMEOUT_OVERCROWDED, IDLE_TIMEOUT_CROWDED, IDLE_TIMEOUT] {
                        world::at(now + idle_time).await;
                        if admission.idle_timeout() <= idle_time {
                            break;
                        }
                    }
                }
            }
            None
        };
        // Drops an eviction that came during an earlier wait, which ended by itself.
        let _ = eviction.try_recv();
        let _idle_entry = (idle || !self.received_request)
            .then(|| admission.register_idle(self.received_request, self.eviction.0.clone()));
        // Reading takes precedence: a request that has been received already is still served.
        let Some(max_bytes) = self.receive_room() else { return Ok(ReadResult::TooMuch) };
        let read = async { Some(receive_into(&self.stream, &mut self.read_buffer, max_bytes).await) };
        // A connection that was opened after the idle ones were closed stays open for its refusal, with the usual timeouts.
        let opened_late = self.admission.opened_after_idle_close(self.opened_at);
        let mut stopping = false;
        let closing = async {
            if !idle || opened_late {
                admission.until_cut_off().await;
            } else {
                let _ = admission.closing_idle().recv().await;
                if !received_request {
                    future::or(world::after(NO_REQUEST_GRACE), admission.until_cut_off()).await;
                }
            }
            stopping = true;
            None
        };
        let mut evicted = false;
        let evicting = async {
            let _ = eviction.recv().await;
            evicted = true;
            Some(Ok(0))
        };
        let read = future::or(read, future::or(closing, future::or(evicting, timed_out))).await;
        self.last_received = world::now();
        self.evicted = evicted;
        match read {
            Some(Ok(n)) if n > 0 => {
                self.received_bytes += n as u64;
                return Ok(ReadResult::Bytes);
            }
            Some(Err(e)) => {
                self.set_close_reason(CloseReason::ReadFailed);
                return Err(e);
            }
            // A client that has sent a part of a message gets an error.
            None if !idle => return Ok(ReadResult::TooSlow),
            None if stopping => self.set_close_reason(CloseReason::Stopping),
            Some(Ok(_)) if !evicted => self.set_close_reason(CloseReason::ClientEnded),
            _ => self.set_close_reason(CloseReason::Rested),
        }
        Ok(ReadResult::End)
    }

    /// Whether the stream has no unread bytes. Guards against a close while a request waits to be read.
    fn is_quiet(&self) -> bool {
        self.stream.is_idle()
    }

    /// How many bytes may be received now, for which memory is reserved where they don't fit into a buffer. `None` if there
    /// is no memory.
    fn receive_room(&mut self) -> Option<usize> {
        let (held, buffer_bytes) = (self.read_buffer.len(), self.memory.buffer_bytes);
        let wanted = match self.read_buffer.message_bytes() {
            _ if !self.in_session => buffer_bytes.max(MAX_STARTUP_BYTES),
            Some(message) if held < message && message <= 1 + MAX_MESSAGE_BYTES => message.max(buffer_bytes),
            _ if held < buffer_bytes => buffer_bytes,
            _ => held + READ_BYTES,
        };
        let is_granted = !self.in_session || self.read_memory.grow_to(wanted.saturating_sub(buffer_bytes));
        let limit = if is_granted { wanted } else { buffer_bytes };
        Some(limit.saturating_sub(held)).filter(|&room| room > 0)
    }

    /// Returns the reserved memory that the read buffer doesn't need any more.
    pub fn return_unused_memory(&mut self) {
        let needed = self.read_buffer.capacity().saturating_sub(self.memory.buffer_bytes);
        self.read_memory.shrink_to(needed);
    }

    /// The memory of a statement of this length that was decoded from the read buffer.
    pub fn take_statement_memory(&mut self, statement_bytes: usize) -> Reservation {
        // Compacting moves what was read behind the statement, so it is left out where the statement needs no memory.
        if self.read_memory.bytes() == 0 || statement_bytes <= self.memory.buffer_bytes {
            return self.memory.received.reserve_nothing();
        }
        work::charge_moved(self.read_buffer.len());
        self.read_buffer.compact();
        let memory = self.read_memory.split_off(statement_bytes.saturating_sub(self.memory.buffer_bytes));
        self.return_unused_memory();
        memory
    }

    /// The beginning of a statement for which there is no memory, and whose rest is streamed to a host. `None` if the
    /// message is none, if there is memory for it, or if its beginning has not arrived.
    pub fn decode_unbuffered_query(&mut self) -> Option<Frontend> {
        let message_bytes =
            self.read_buffer.message_bytes().filter(|&bytes| bytes <= 1 + MAX_MESSAGE_BYTES)?;
        if self.read_memory.grow_to(message_bytes.saturating_sub(self.memory.buffer_bytes)) {
            return None;
        }
        let beginning = pg::decode_unbuffered_query(&mut self.read_buffer)?;
        self.return_unused_memory();
        Some(beginning)
    }

    /// When the last byte of the message that was decoded last was received.
    pub fn received_at(&mut self) -> Instant {
        let end = self.received_bytes - self.read_buffer.len() as u64;
        while self.receive_times.front().is_some_and(|a| a.end_offset < end) {
            self.receive_times.pop_front();
        }
        self.receive_times.front().map_or(self.last_received, |a| a.at)
    }

    /// Returns once the open request is abandoned. With `reads`, what the client sends meanwhile is kept, up to
    /// `MAX_READ_AHEAD_BYTES` and the connection's part of the memory. Bytes beyond stay unread: they may be requests.
    pub async fn until_abandoned(&mut self, reads: bool) -> AbandonReason {
        if !reads {
            let cut_off = async {
                self.admission.until_cut_off().await;
                AbandonReason::CutOff
            };
            let disconnected = async {
                self.until_hung_up().await;
                AbandonReason::ClientDisconnected
            };
            return future::or(disconnected, cut_off).await;
        }
        loop {
            if let ReadAhead::Abandoned(reason) = self.read_ahead(ReadAheadMode::Bounded).await {
                return reason;
            }
        }
    }

    /// Reads what the client sends behind an open request, or returns why the request is abandoned.
    pub async fn read_ahead(&mut self, mode: ReadAheadMode) -> ReadAhead {
        let admission = self.admission;
        let cut_off = async {
            admission.until_cut_off().await;
            ReadAhead::Abandoned(AbandonReason::CutOff)
        };
        let read = async {
            if self.receive(mode).await {
                ReadAhead::Bytes
            } else {
                ReadAhead::Abandoned(AbandonReason::ClientDisconnected)
            }
        };
        future::or(read, cut_off).await
    }

    /// Waits for bytes behind an open request; false once the client has closed its connection.
    async fn receive(&mut self, mode: ReadAheadMode) -> bool {
        if mutants::on("departures are not seen") {
            return future::pending().await;
        }
        let too_much = self.read_buffer.len() > MAX_READ_AHEAD_BYTES;
        if too_much && mode == ReadAheadMode::Bounded && !self.overrun {
            self.until_hung_up().await;
            return false;
        }
        self.overrun |= too_much;
        if self.overrun {
            return matches!(discard_received(&self.stream).await, Ok(1..));
        }
        let Some(max_bytes) = self.until_room().await else { return false };
        let read = receive_into(&self.stream, &mut self.read_buffer, max_bytes).await;
        if let Ok(count) = read {
            self.note_received(count);
        }
        matches!(read, Ok(1..))
    }

    /// Waits until there is memory for more of what the client sends, and returns for how much. `None` once the client has
    /// closed its connection.
    async fn until_room(&mut self) -> Option<usize> {
        loop {
            match self.receive_room() {
                Some(max_bytes) => return Some(max_bytes),
                None if self.is_hung_up() => return None,
                None => world::after(HANGUP_CHECK_INTERVAL).await,
            }
        }
    }

    /// Keeps the receive time of `count` bytes that were just read behind an open request.
    fn note_received(&mut self, count: usize) {
        if self.receive_times.is_empty() && self.read_buffer.len() > count {
            self.receive_times
                .push_back(ReceiveTime { end_offset: self.received_bytes, at: self.last_received });
        }
        self.received_bytes += count as u64;
        let is_full = self.receive_times.len() >= MAX_RECEIVE_TIMES;
        match self.receive_times.back_mut() {
            Some(last) if is_full => last.end_offset = self.received_bytes,
            _ => self
                .receive_times
                .push_back(ReceiveTime { end_offset: self.received_bytes, at: world::now() }),
        }
    }

    /// Returns once the client has closed its connection. Reads nothing meanwhile.
    async fn until_hung_up(&self) {
        if mutants::on("departures are not seen") {
            return future::pending().await;
        }
        while !self.is_hung_up() {
            world::after(HANGUP_CHECK_INTERVAL).await;
        }
    }

    /// Whether the client has closed its connection, even if bytes that it sent before are still unread.
    pub fn is_hung_up(&self) -> bool {
        self.stream.is_hung_up()
    }

    /// Closes gracefully: shuts down the sending side, then reads and discards until the client is done. A close with
    /// unread input would reset the connection, and the client would lose the last answer. A request that comes meanwhile
    /// isn't started: its client sees the end of the connection before any answer, and retries on another one.
    pub async fn linger(&mut self) {
        if mutants::on("closes at once") || self.stream.shutdown().is_err() {
            return;
        }
        self.read_buffer.clear();
        self.read_memory.shrink_to(0);
        self.out = Vec::new();
        self.out_memory.shrink_to(0);
        let drained = async {
            while let Some(Ok(n)) =
                timeout_at(world::now() + LINGER_QUIET, discard_received(&self.stream)).await
                && n > 0
            {}
        };
        let drained = async {
            timeout_at(world::now() + MAX_LINGER, drained).await;
        };
        let cut_off = async {
            self.admission.until_cut_off().await;
            world::after(LINGER_AFTER_CUT_OFF).await;
        };
        future::or(drained, cut_off).await;
    }
}
