//! The work that a task does between two turns: a count of bytes and calls, charged where the work is done. The count is
//! the same in every run, unlike a time, so a simulation can judge it. This module owns the costs and the limits. It must
//! never choose which task runs next; `scheduler` does that.
//!
//! There are two limits. A task whose turn is used up takes in nothing new: what a client sends waits at `turn().await` for
//! its next turn. What it has taken in goes on, so that the requests of a client that sends too much leave the hosts and
//! their connections to others soon; but no poll does more than `MAX_POLL`, where `pause().await` ends it. Reads of a
//! stream pause by themselves, so a loop that reads needs no limit of its own. Writes never wait here: nothing
//! may come between the last check of an attempt and its first byte.

use crate::mutants;
use std::cell::Cell;
use std::future::poll_fn;
use std::task::Poll;

/// The work of one byte that is received, decoded or sent. All costs are multiples of it; it takes about a nanosecond.
pub const BYTE: u64 = 1;
/// The same for a plain statement, whose shape is read.
const PLAIN_BYTE: u64 = 30;
/// The work of a statement besides its bytes, with an answer that is an error.
const STATEMENT: u64 = 500;
/// The work of a byte of a statement that is parsed; its head may consist of fields of a few bytes.
const PARSED_BYTE: u64 = 3;
/// So many bytes are moved in memory for the work of one.
const MOVED_BYTES_PER_UNIT: u64 = 16;
/// The work of a system call that receives, besides its bytes.
pub const RECEIVE_CALL: u64 = 2_000;
/// The work of a system call that sends, besides its bytes: on this machine's own network it also delivers them.
pub const SEND_CALL: u64 = 8_000;
/// The work of opening or accepting a connection.
pub const CONNECTION: u64 = 20_000;
/// The work of a call that reads, writes or locks a few bytes of a file.
pub const FILE_CALL: u64 = 1_000;
/// The work of a message besides its bytes.
pub const MESSAGE: u64 = 200;
/// The work of one event of the decision module.
pub const MODULE_EVENT: u64 = 6_000;
/// The work of polling one open request.
pub const REQUEST_POLL: u64 = 500;

/// The work after which a task's turn is used up.
pub const MAX_TURN: u64 = 250_000;
/// The work after which a poll ends, whatever its task may still do.
pub const MAX_POLL: u64 = 250_000;
/// The most work that one step between two waits may add to a turn: a whole message, decoded and passed on.
pub const MAX_STEP: u64 = 750_000;

/// What a task has done in one poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollResult {
    /// The work of the task's turn so far.
    pub spent: u64,
    /// Whether the task has received bytes.
    pub has_received: bool,
    /// Whether the poll ended at `MAX_POLL`, and has to go on.
    pub is_paused: bool,
}

thread_local! {
    /// The work of the task that is polled, in its present turn.
    static SPENT: Cell<u64> = const { Cell::new(0) };
    /// The work at which that turn is used up. Outside of any task there is no limit.
    static TURN_LIMIT: Cell<u64> = const { Cell::new(u64::MAX) };
    /// The work at which the poll ends.
    static POLL_LIMIT: Cell<u64> = const { Cell::new(u64::MAX) };
    static HAS_RECEIVED: Cell<bool> = const { Cell::new(false) };
    static IS_PAUSED: Cell<bool> = const { Cell::new(false) };
}

/// Begins a poll of a task that has spent this much of its turn already. It takes in something new only if it `has_turn`.
#[inline]
pub fn begin(spent: u64, has_turn: bool) {
    let is_limited = !mutants::on("turns have no end");
    let poll_limit = if is_limited { spent + MAX_POLL } else { u64::MAX };
    let turn_limit = if is_limited { MAX_TURN } else { u64::MAX };
    SPENT.set(spent);
    POLL_LIMIT.set(poll_limit);
    TURN_LIMIT.set(if has_turn { turn_limit.min(poll_limit) } else { 0 });
    HAS_RECEIVED.set(false);
    IS_PAUSED.set(false);
}

/// Ends the poll, and returns what the task has done.
#[inline]
pub fn end() -> PollResult {
    TURN_LIMIT.set(u64::MAX);
    POLL_LIMIT.set(u64::MAX);
    PollResult { spent: SPENT.get(), has_received: HAS_RECEIVED.get(), is_paused: IS_PAUSED.get() }
}

/// Counts work of the present task.
#[inline]
pub fn charge(work: u64) {
    SPENT.set(SPENT.get().saturating_add(work));
}

/// Counts a call that received this many bytes.
#[inline]
pub fn charge_received(bytes: usize) {
    charge(RECEIVE_CALL + bytes as u64 * BYTE);
    HAS_RECEIVED.set(true);
}

/// Counts a call that sent this many bytes.
#[inline]
pub fn charge_sent(bytes: usize) {
    charge(SEND_CALL + bytes as u64 * BYTE);
}

/// Counts a statement of this length that was parsed.
#[inline]
pub fn charge_parsed(bytes: usize) {
    charge(STATEMENT + bytes as u64 * PARSED_BYTE);
}

/// Counts a plain statement of this length whose shape was read.
#[inline]
pub fn charge_shape(bytes: usize) {
    charge(bytes as u64 * PLAIN_BYTE);
}

/// Counts this many bytes that are moved in memory.
#[inline]
pub fn charge_moved(bytes: usize) {
    charge(bytes as u64 / MOVED_BYTES_PER_UNIT);
}

/// Counts a message of this length that was decoded or encoded.
#[inline]
pub fn charge_message(bytes: usize) {
    charge(MESSAGE + bytes as u64 * BYTE);
}

/// Whether the present task may take in nothing new before its next turn.
#[inline]
pub fn is_used_up() -> bool {
    SPENT.get() >= TURN_LIMIT.get()
}

/// Whether this poll has to end. The scheduler then polls the task again soon.
#[inline]
pub fn has_to_pause() -> bool {
    let has_to_pause = SPENT.get() >= POLL_LIMIT.get();
    if has_to_pause {
        IS_PAUSED.set(true);
    }
    has_to_pause
}

/// Returns at once while the task has a part of its turn left, otherwise in its next turn. The scheduler polls the task
/// again then, so that no waker is needed.
#[inline]
pub async fn turn() {
    poll_fn(|_| if is_used_up() { Poll::Pending } else { Poll::Ready(()) }).await;
}

/// Returns at once, or in the task's next poll if this one has done enough.
#[inline]
pub async fn pause() {
    poll_fn(|_| if has_to_pause() { Poll::Pending } else { Poll::Ready(()) }).await;
}
