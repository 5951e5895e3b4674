//! Answers that are passed on in pieces, as fast as the client takes them: a long value, and the answer to a plain statement.
//! Pieces are as large as the client's memory allows. This module must never write to a client, nor use the pool.

use super::connection::{ReadError, apply_parameter};
use super::{AttemptConnection, STALL_TIMEOUT};
use crate::HostReport;
use crate::net::core::StreamedWrite;
use crate::net::memory::AnswerMemory;
use crate::net::world;
use crate::net::{read_into, timeout_at, warn_rate_limited};
use crate::pg::{self, AnswerForwarder, Column, ErrorFields, ForwardStep, ReadBuffer};
use std::io::{self, ErrorKind};
use std::time::Instant;

/// The part of an answer to a plain statement that is held in memory. An answer that fits is passed on only when it is
/// complete, so that another attempt is still possible if it breaks off.
const MAX_PLAIN_ANSWER_BYTES: usize = 64 * 1024;
/// The most of a streamed answer that is read at once, if there is memory for it.
const STREAMED_PIECE_BYTES: usize = 32 * 1024;
/// The memory for streaming an answer in such pieces: one that was read, and one that is due to the client.
const STREAM_BYTES: usize = 2 * STREAMED_PIECE_BYTES;
/// The memory for holding the answer to a plain statement: what is held, a message that is being received, and a piece
/// beyond each.
const PLAIN_ANSWER_BYTES: usize =
    MAX_PLAIN_ANSWER_BYTES + pg::MAX_PLAIN_DECODED_BYTES + 2 * STREAMED_PIECE_BYTES + 16 * 1024;

/// An answer with one long value, which is read from the host as fast as the client takes it.
pub struct StreamedValue {
    pub(super) attempt: AttemptConnection,
    pub column: Column,
    /// The length of the value.
    pub value_bytes: usize,
    /// The part of the value that is not read yet.
    pub(super) remaining: usize,
    /// The deadline of the client for the first byte.
    pub(super) first_byte_deadline: Instant,
    /// The write that this is the answer to, if any.
    pub write: Option<StreamedWrite>,
}

impl StreamedValue {
    /// The number of bytes of the value that are not read yet.
    pub fn remaining_bytes(&self) -> usize {
        self.remaining
    }

    /// The bytes that were received and not passed on.
    pub fn buffered_bytes(&self) -> usize {
        self.attempt.connection.read_buffer.capacity()
    }

    /// Appends the next piece of the value and returns its length, 0 at the value's end. Pieces are small where `memory`
    /// has no room for large ones. Fails if the value breaks off.
    pub async fn read_piece(&mut self, out: &mut Vec<u8>, memory: &AnswerMemory) -> io::Result<usize> {
        let max_bytes = piece_bytes(memory);
        let connection = &mut self.attempt.connection;
        if self.remaining > 0 && connection.read_buffer.is_empty() {
            let stall_deadline = world::now() + STALL_TIMEOUT;
            let deadline = if self.remaining == self.value_bytes {
                stall_deadline.min(self.first_byte_deadline)
            } else {
                stall_deadline
            };
            let read = read_into(&connection.stream, &mut connection.read_buffer, max_bytes);
            let read = timeout_at(deadline, read).await;
            if read.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        let moved = connection.read_buffer.move_to(out, self.remaining);
        self.remaining -= moved;
        Ok(moved)
    }
}

/// How much of a streamed answer is read at once.
fn piece_bytes(memory: &AnswerMemory) -> usize {
    if memory.hold(STREAM_BYTES) { STREAMED_PIECE_BYTES } else { memory.buffer_bytes() }
}

/// How much more may be read of the answer to a plain statement. `None` if there is no memory for a message that has to
/// be received as a whole.
fn plain_receive_room(read_buffer: &ReadBuffer, memory: &AnswerMemory) -> Option<usize> {
    if memory.reserved_bytes() >= PLAIN_ANSWER_BYTES {
        return Some(STREAMED_PIECE_BYTES);
    }
    let room = memory.buffer_bytes().saturating_sub(read_buffer.len());
    if room > 0 { Some(room) } else { memory.hold(PLAIN_ANSWER_BYTES).then_some(STREAMED_PIECE_BYTES) }
}

/// How much of the answer to a plain statement is held at once.
pub(super) fn max_plain_bytes(memory: &AnswerMemory) -> usize {
    if memory.hold(PLAIN_ANSWER_BYTES) { MAX_PLAIN_ANSWER_BYTES } else { memory.buffer_bytes() }
}

/// The answer to a plain statement, of which a part is not read yet.
pub struct StreamedAnswer {
    pub(super) attempt: AttemptConnection,
    pub(super) forwarder: AnswerForwarder,
    /// What the answer has reported about its host so far.
    pub report: HostReport,
    /// The beginning of the answer, for the client.
    pub beginning: Vec<u8>,
    /// Whether the state of the database session differs from what it was before the statement.
    pub(super) is_session_changed: bool,
}

/// The result of reading a part of the answer to a plain statement.
pub(super) enum AnswerStep {
    /// Something was read, or the buffer is full.
    Progress,
    /// The answer is complete.
    Complete,
    /// The host rejected the statement.
    Rejected(ErrorFields),
}

impl StreamedAnswer {
    pub(super) fn new(attempt: AttemptConnection) -> StreamedAnswer {
        let (forwarder, report, beginning) = Default::default();
        StreamedAnswer { attempt, forwarder, report, beginning, is_session_changed: false }
    }

    /// The bytes that were received and not passed on.
    pub fn buffered_bytes(&self) -> usize {
        self.beginning.capacity() + self.attempt.connection.read_buffer.capacity()
    }

    /// Appends what has arrived of the answer, up to `max_bytes` in `out`. Waits only if nothing has arrived.
    pub(super) async fn read_step(
        &mut self, out: &mut Vec<u8>, max_bytes: usize, memory: &AnswerMemory,
    ) -> Result<AnswerStep, ReadError> {
        let connection = &mut self.attempt.connection;
        let mut has_progress = false;
        while out.len() < max_bytes {
            match self
                .forwarder
                .forward(&mut connection.read_buffer, out)
                .map_err(|e| ReadError::Protocol(e.0))?
            {
                ForwardStep::Forwarded => has_progress = true,
                ForwardStep::NeedsInput if has_progress => break,
                ForwardStep::NeedsInput => {
                    let Some(max_bytes) = plain_receive_room(&connection.read_buffer, memory) else {
                        return Err(ReadError::Protocol(
                            "there is no memory for a message of an answer".into(),
                        ));
                    };
                    match read_into(&connection.stream, &mut connection.read_buffer, max_bytes).await {
                        Ok(1..) => has_progress = true,
                        _ => return Err(ReadError::Disconnected),
                    }
                }
                ForwardStep::ParameterStatus { name, value } => {
                    self.is_session_changed |= !apply_parameter(&mut self.report, &name, &value);
                }
                ForwardStep::Error(e) => return Ok(AnswerStep::Rejected(e)),
                ForwardStep::Ready(idle) => {
                    self.is_session_changed |= !idle;
                    return Ok(AnswerStep::Complete);
                }
            }
        }
        Ok(AnswerStep::Progress)
    }

    /// Appends the next piece of the answer. Returns false at the answer's end. Fails if the answer breaks off.
    pub async fn read_piece(&mut self, out: &mut Vec<u8>, memory: &AnswerMemory) -> io::Result<bool> {
        let step = self.read_step(out, max_plain_bytes(memory), memory);
        let step = timeout_at(world::now() + STALL_TIMEOUT, step).await;
        match step.unwrap_or(Err(ReadError::Disconnected)) {
            Ok(AnswerStep::Progress) => Ok(true),
            Ok(AnswerStep::Complete) => Ok(false),
            Ok(AnswerStep::Rejected(_)) => Err(ErrorKind::InvalidData.into()),
            Err(ReadError::Disconnected | ReadError::TimedOut) => Err(ErrorKind::UnexpectedEof.into()),
            Err(ReadError::Protocol(error)) => {
                warn_rate_limited(|| {
                    format!("hosts: {}: {error}; the answer breaks off", self.attempt.connection.address)
                });
                Err(ErrorKind::InvalidData.into())
            }
        }
    }
}
