//! A client's connection: what it sends and what it is sent, as bytes in time. It owns one connection, what has come and
//! is not read, what is due and not written, and the times that a client has. It must never read a request, nor
//! know whether one is open.
//!
//! Who says nothing, or half of something, is closed after `PROMPT`.

use super::admission::{Admission, IDLE, IDLE_CROWDED, IDLE_THRONGED, MemoryShare};
use super::world::{self, Stream};
use super::{read_into, timeout_at};
use crate::invariants::CloseReason;
use crate::mutants;
use crate::pg::{self, ErrorFields, ReadBuffer, code};
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A client that has begun to say something, or said nothing yet, has this long to go on: an error or a
/// close is owed within 3 s to whoever stops in the middle, and a usual client may take 2 s for a head.
const PROMPT: Duration = Duration::from_millis(2_500);
/// A message that is taken whole has to be within this. Guards against a byte now and then.
const LONGEST_MESSAGE: Duration = Duration::from_secs(30);
/// A client that takes nothing of an answer for this long is given up. Usual ones read slowly at times.
const STUCK: Duration = Duration::from_secs(15);
/// After a last message the connection is closed once the client has sent nothing for this long, or
/// after the longest farewell: one that is still sending 60 MB has to hear the error.
const FAREWELL: Duration = Duration::from_millis(200);
const LONGEST_FAREWELL: Duration = Duration::from_secs(3);
/// What a client may have sent behind a request that is open.
const MAX_READ_AHEAD_BYTES: usize = 1 << 20;
/// The most receive_times that are told apart of what is read ahead; those beyond count as the last of them.
const MAX_ARRIVALS: usize = 64;
/// Where nothing is read, the machine is asked this often whether the client has left.
const LOOK: Duration = Duration::from_millis(50);
/// A connection that never asked anything is given this long when all are closed: what the client
/// wrote behind its startup message may be on its way.
const UNASKED: Duration = Duration::from_millis(200);
/// What a connection may have sent without a share in the common allowance.
const OWN_BYTES: usize = 8 * 1024;

/// A last error.
pub fn put_fatal(out: &mut Vec<u8>, code: &str, message: &str) {
    let fields =
        ErrorFields { code: code.into(), message: message.into(), fatal: true, ..Default::default() };
    pg::put_error(out, &fields);
}

/// Why a wait for more bytes ended.
pub enum ReadResult {
    Bytes,
    /// The connection ended, or its time or its place was up.
    End,
    /// What was begun did not go on in time, or there is no room for more of it.
    TooSlow,
    TooMuch,
}

/// Why nothing more is begun for a request that is open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Abandoned {
    /// Its client has closed the connection, or takes no answers from it.
    ClientGone,
    /// The time of the stop is over: it gets its last answer now.
    CutOff,
}

/// What came of reading behind a request that is open.
pub enum ReadAhead {
    Bytes,
    Abandoned(Abandoned),
}

/// How much is read behind a request that is open.
#[derive(Clone, Copy, PartialEq)]
pub enum ReadAheadMode {
    /// What is within the bounds, and then nothing until there is room.
    Bounded,
    /// What is within the bounds; the rest is passed over, and the session ends behind its answers.
    Discard,
}

/// Bytes that came behind a request that is open.
struct ReceiveTime {
    /// The number of bytes that had come by then.
    upto: u64,
    at: Instant,
}

/// One client's connection.
pub struct ClientConnection<'a> {
    all: &'a Rc<Admission>,
    stream: Rc<Stream>,
    /// Why it ends, where it does.
    ends: Option<CloseReason>,
    begun: Instant,
    pub read_buffer: ReadBuffer,
    /// How many bytes have come.
    received: u64,
    /// When those came that were read behind an open request.
    receive_times: VecDeque<ReceiveTime>,
    /// The memory of requests that were taken and not answered yet.
    pub taken_bytes: usize,
    share: MemoryShare,
    pub out: Vec<u8>,
    /// A whole message of the session has come.
    pub spoken: bool,
    /// A request has come, and was taken.
    pub asked: bool,
    /// Since when a part of a message waits for the rest.
    pub partial: Option<Instant>,
    /// It rests no longer because another wants its place.
    pub evicted: bool,
    /// It has sent more than is read ahead.
    pub overrun: bool,
    /// When the client last said anything.
    heard: Instant,
    /// Told when the place is wanted for another.
    go: (Sender<()>, Receiver<()>),
}

impl<'a> ClientConnection<'a> {
    pub fn new(all: &'a Rc<Admission>, stream: Rc<Stream>) -> ClientConnection<'a> {
        ClientConnection {
            all,
            stream,
            ends: None,
            begun: world::now(),
            read_buffer: ReadBuffer::default(),
            received: 0,
            receive_times: VecDeque::new(),
            taken_bytes: 0,
            share: all.bytes(),
            out: Vec::new(),
            spoken: false,
            asked: false,
            partial: None,
            evicted: false,
            overrun: false,
            heard: world::now(),
            go: async_channel::bounded(1),
        }
    }

    /// It ends for this reason; the first one counts.
    pub fn end(&mut self, reason: CloseReason) {
        self.ends.get_or_insert(reason);
    }

    /// Whether its client has sent something that is not taken yet.
    pub fn has_more(&self) -> bool {
        !self.read_buffer.is_empty() || !self.stream.is_idle()
    }

    /// Why it ends: its client has ended it where nothing else is known.
    pub fn close_reason(&self) -> CloseReason {
        self.ends.unwrap_or(CloseReason::ClientEnded)
    }

    /// Bytes of a message that has begun, those that wait or the next.
    pub async fn more(&mut self) -> io::Result<ReadResult> {
        if !self.read_buffer.is_empty() {
            return Ok(ReadResult::Bytes);
        }
        match timeout_at(world::now() + PROMPT, read_into(&self.stream, &mut self.read_buffer)).await {
            Some(Ok(n @ 1..)) => {
                self.received += n as u64;
                self.heard = world::now();
                Ok(ReadResult::Bytes)
            }
            Some(Ok(_)) => {
                self.end(CloseReason::ClientEnded);
                Ok(ReadResult::End)
            }
            Some(Err(e)) => {
                self.end(CloseReason::ReadFailed);
                Err(e)
            }
            None => Ok(ReadResult::TooSlow),
        }
    }

    pub fn error(&mut self, code: &str, message: &str) {
        let fields = ErrorFields { code: code.into(), message: message.into(), ..Default::default() };
        pg::put_error(&mut self.out, &fields);
    }

    /// A last error.
    pub async fn fatal(&mut self, code: &str, message: &str) -> io::Result<()> {
        put_fatal(&mut self.out, code, message);
        self.flush().await
    }

    /// The end of the session.
    pub async fn over(&mut self, why: ReadResult) -> io::Result<()> {
        match why {
            ReadResult::TooSlow => self.end(CloseReason::TooSlow),
            ReadResult::TooMuch => self.end(CloseReason::TooMuch),
            ReadResult::Bytes | ReadResult::End => {}
        }
        match why {
            ReadResult::TooSlow => {
                self.fatal(code::PROTOCOL_VIOLATION, "what was begun did not end in time").await
            }
            ReadResult::TooMuch => {
                self.fatal(code::OUT_OF_MEMORY, "too much is being sent here at once").await
            }
            ReadResult::Bytes | ReadResult::End => Ok(()),
        }
    }

    /// Writes what is due. Where requests are open behind it, it also fails once the client has closed the connection, so
    /// that they end with it.
    pub async fn flush(&mut self) -> io::Result<()> {
        let flushed = self.write_due().await;
        if let Err(e) = &flushed {
            let left = e.kind() == io::ErrorKind::ConnectionAborted;
            self.end(if left { CloseReason::ClientLeft } else { CloseReason::WriteFailed });
        }
        flushed
    }

    async fn write_due(&mut self) -> io::Result<()> {
        let mut written = 0;
        while written < self.out.len() {
            let gone = async {
                self.hung_up().await;
                Err(io::ErrorKind::ConnectionAborted.into())
            };
            written += match self.taken_bytes {
                0 => self.write_part(written).await?,
                _ => future::or(self.write_part(written), gone).await?,
            };
        }
        self.out.clear();
        self.out.shrink_to(OWN_BYTES);
        Ok(())
    }

    /// Writes a part of what is due.
    async fn write_part(&self, from: usize) -> io::Result<usize> {
        let part = timeout_at(world::now() + STUCK, self.stream.write(&self.out[from..])).await;
        match part.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))? {
            0 => Err(io::ErrorKind::WriteZero.into()),
            n => Ok(n),
        }
    }

    /// Writes what is due, then waits for more, for as long as the client may take.
    pub async fn flush_and_read(&mut self) -> io::Result<ReadResult> {
        self.flush().await?;
        let now = world::now();
        let resting = self.read_buffer.is_empty();
        if resting && !self.receive_times.is_empty() {
            self.receive_times = VecDeque::new();
        }
        if resting && self.asked && self.all.answered_last() && self.nothing_came() {
            self.end(CloseReason::Stopping);
            return Ok(ReadResult::End);
        }
        if !resting {
            self.partial.get_or_insert(now);
        }
        let until = match self.partial {
            _ if !self.spoken => Some((self.heard + PROMPT).min(self.begun + LONGEST_MESSAGE)),
            Some(since) => Some((self.heard.max(since) + PROMPT).min(since + LONGEST_MESSAGE)),
            None if !self.asked => Some(now + IDLE_CROWDED),
            None => None,
        };
        let (all, go, asked) = (self.all, self.go.1.clone(), self.asked);
        if until.is_none() {
            all.thin_out();
        }
        let time_is_up = async {
            match until {
                Some(until) => world::at(until).await,
                // Looked at again as it rests: a crowd may have come since.
                None => {
                    for rest in [IDLE_THRONGED, IDLE_CROWDED, IDLE] {
                        world::at(now + rest).await;
                        if all.may_rest() <= rest {
                            break;
                        }
                    }
                }
            }
            None
        };
        // Asked to go in an earlier wait, which ended by itself.
        let _ = go.try_recv();
        let _seat = (resting || !self.asked).then(|| all.seat(self.asked, self.go.0.clone()));
        // Reading comes first: a request that is here already is still served.
        let read = async { Some(read_into(&self.stream, &mut self.read_buffer).await) };
        // Whoever came that late hears its refusal, and rests no longer than others of its kind.
        let late = self.all.is_late(self.begun);
        let mut stops = false;
        let closing = async {
            if !resting || late {
                all.until_cut_off().await;
            } else {
                let _ = all.closing().recv().await;
                if !asked {
                    future::or(world::after(UNASKED), all.until_cut_off()).await;
                }
            }
            stops = true;
            None
        };
        let mut evicted = false;
        let asked_to_go = async {
            let _ = go.recv().await;
            evicted = true;
            Some(Ok(0))
        };
        let read = future::or(read, future::or(closing, future::or(asked_to_go, time_is_up))).await;
        self.heard = world::now();
        self.evicted = evicted;
        match read {
            Some(Ok(n)) if n > 0 => {
                self.received += n as u64;
                return Ok(if self.affordable() { ReadResult::Bytes } else { ReadResult::TooMuch });
            }
            Some(Err(e)) => {
                self.end(CloseReason::ReadFailed);
                return Err(e);
            }
            // Half of a message hears that it came too late.
            None if !resting => return Ok(ReadResult::TooSlow),
            None if stops => self.end(CloseReason::Stopping),
            Some(Ok(_)) if !evicted => self.end(CloseReason::ClientEnded),
            _ => self.end(CloseReason::Rested),
        }
        Ok(ReadResult::End)
    }

    /// Whether nothing waits to be read. Guards against a close on a request that is here already.
    fn nothing_came(&self) -> bool {
        self.stream.is_idle()
    }

    /// Whether what this client has sent, beside what all others have, fits into the memory.
    pub fn affordable(&mut self) -> bool {
        self.share.set((self.read_buffer.capacity() + self.taken_bytes).saturating_sub(OWN_BYTES));
        self.share.is_empty() || self.all.fits()
    }

    /// When the last byte came of the message that was decoded last.
    pub fn came(&mut self) -> Instant {
        let end = self.received - self.read_buffer.len() as u64;
        while self.receive_times.front().is_some_and(|a| a.upto < end) {
            self.receive_times.pop_front();
        }
        self.receive_times.front().map_or(self.heard, |a| a.at)
    }

    /// Returns once nothing more is to be begun for the request that is open. Where it `reads`, what the client sends
    /// meanwhile is kept, up to `MAX_READ_AHEAD_BYTES` and what all may have sent; beyond that it is passed over, and the session ends
    /// behind the answer: a client's end shows only to whoever reads up to it.
    pub async fn abandoned(&mut self, reads: bool) -> Abandoned {
        if !reads {
            let cut_off = async {
                self.all.until_cut_off().await;
                Abandoned::CutOff
            };
            let gone = async {
                self.hung_up().await;
                Abandoned::ClientGone
            };
            return future::or(gone, cut_off).await;
        }
        loop {
            if let ReadAhead::Abandoned(why) = self.read_ahead(ReadAheadMode::Discard).await {
                return why;
            }
            // Others have their turn while much comes.
            future::yield_now().await;
        }
    }

    /// Reads what the client sends behind a request that is open, or returns why nothing more is to be begun for it.
    pub async fn read_ahead(&mut self, ahead: ReadAheadMode) -> ReadAhead {
        let all = self.all;
        let cut_off = async {
            all.until_cut_off().await;
            ReadAhead::Abandoned(Abandoned::CutOff)
        };
        let read = async {
            if self.receive(ahead).await {
                ReadAhead::Bytes
            } else {
                ReadAhead::Abandoned(Abandoned::ClientGone)
            }
        };
        future::or(read, cut_off).await
    }

    /// Waits for bytes behind a request that is open; false once the client has closed its connection.
    async fn receive(&mut self, ahead: ReadAheadMode) -> bool {
        if mutants::on("departures are not seen") {
            return future::pending().await;
        }
        let too_much = self.read_buffer.len() > MAX_READ_AHEAD_BYTES || !self.affordable();
        if too_much && ahead == ReadAheadMode::Bounded && !self.overrun {
            self.hung_up().await;
            return false;
        }
        self.overrun |= too_much;
        let read = match self.overrun {
            true => self.stream.read_with(|_| ()).await,
            false => {
                let read = read_into(&self.stream, &mut self.read_buffer).await;
                if let Ok(n) = read {
                    self.arrived(n);
                }
                read
            }
        };
        matches!(read, Ok(1..))
    }

    /// Keeps when these bytes came, which were read behind an open request.
    fn arrived(&mut self, count: usize) {
        if self.receive_times.is_empty() && self.read_buffer.len() > count {
            self.receive_times.push_back(ReceiveTime { upto: self.received, at: self.heard });
        }
        self.received += count as u64;
        let many = self.receive_times.len() >= MAX_ARRIVALS;
        match self.receive_times.back_mut() {
            Some(last) if many => last.upto = self.received,
            _ => self.receive_times.push_back(ReceiveTime { upto: self.received, at: world::now() }),
        }
    }

    /// Returns once the client has closed its connection, of which nothing is read.
    async fn hung_up(&self) {
        if mutants::on("departures are not seen") {
            return future::pending().await;
        }
        while !self.is_hung_up() {
            world::after(LOOK).await;
        }
    }

    /// Whether the client has closed its connection, also where what it sent before is not read.
    pub fn is_hung_up(&self) -> bool {
        self.stream.is_hung_up()
    }

    /// The lingering close: ends the sending and reads on, into nothing, until the client is done. Closing over
    /// unread input would reset the connection, and what was said last with it. A request that crosses this is not
    /// begun: its client sees the end before any answer, and asks again elsewhere.
    pub async fn farewell(&mut self) {
        if mutants::on("closes at once") || self.stream.shutdown().is_err() {
            return;
        }
        self.read_buffer.clear();
        self.share.set(0);
        let drained = async {
            while let Some(Ok(n)) = timeout_at(world::now() + FAREWELL, self.stream.read_with(|_| ())).await
                && n > 0
            {
                // Others have their turn while 60 MB come.
                future::yield_now().await;
            }
        };
        timeout_at(world::now() + LONGEST_FAREWELL, drained).await;
    }
}
