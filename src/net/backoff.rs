//! How long to wait between tries at something that many proxies ask for. It owns the count of failures in a
//! row and the lots for the waits. It must never sleep, ask for the time or open anything.

use crate::ListMode;
use oorandom::Rand64;
use std::time::Duration;

/// What discovery has to tell counts as told so long after it could be reached, whatever became of the calls before:
/// the longest call that is given up and the longest wait behind it are shorter together, and leave time for the next.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// How long a call may be without an answer. An agent of the proxy's own machine answers at once or not at all; a service
/// that all proxies ask may be slow to refuse.
const ANSWER_PUSHED: Duration = Duration::from_millis(1_000);
const ANSWER_ASKED: Duration = Duration::from_millis(2_000);
/// The first wait, doubled with each failure up to the longest.
const FIRST: Duration = Duration::from_millis(50);
const LONGEST_PUSHED: Duration = Duration::from_millis(200);
const LONGEST_ASKED: Duration = Duration::from_millis(500);
/// So few proxies need not mind each other.
const FEW: u32 = 8;
/// For each proxy beyond those, what is shared gets so much time: all that begin at once, as after a release
/// or when a service drops its callers, come about so far apart. Doubled with each failure, so often at most.
const APART: Duration = Duration::from_millis(50);
const DOUBLINGS: u32 = 1;
/// What is to be heard at once is asked for within this time, however many ask: a server may drain meanwhile, and
/// the proxy is to know half a second later.
const SOON: Duration = Duration::from_millis(250);
/// However many there are: one must not wait longer than this for its turn.
const LONGEST_TURN: Duration = Duration::from_secs(3);

/// Whether so many proxies take turns.
pub fn takes_turns(proxies: u32) -> bool {
    proxies > FEW
}

/// Waits that grow, with jitter, so that proxies which failed together do not come back together.
pub struct Backoff {
    /// How long a call may be without an answer.
    pub answer: Duration,
    turn: Duration,
    longest: Duration,
    fails: u32,
    lots: Rand64,
}

impl Backoff {
    /// For one of so many proxies. Where lists are pushed each asks an agent of its own, at no cost to the others.
    pub fn new(mode: ListMode, proxies: u32, seed: u64) -> Backoff {
        let turn = APART.saturating_mul(proxies.saturating_sub(FEW)).min(LONGEST_TURN);
        let (answer, turn, longest) = match mode {
            ListMode::Pushed => (ANSWER_PUSHED, Duration::ZERO, LONGEST_PUSHED),
            ListMode::OnRequest => (ANSWER_ASKED, turn, LONGEST_ASKED),
        };
        Backoff { answer, turn, longest, fails: 0, lots: Rand64::new(u128::from(seed)) }
    }

    /// The wait before a first try, or before the next one after one that went well.
    pub fn soon(&mut self) -> Duration {
        self.fails = 0;
        self.turn.min(SOON).mul_f64(self.lots.rand_float())
    }

    /// The wait after one more failure.
    pub fn failed(&mut self) -> Duration {
        self.fails = (self.fails + 1).min(DOUBLINGS + 8);
        let own = FIRST.saturating_mul(1 << self.fails).min(self.longest);
        let turn = self.turn.saturating_mul(1 << (self.fails - 1).min(DOUBLINGS)).min(LONGEST_TURN);
        own.mul_f64(0.5 + self.lots.rand_float() / 2.0) + turn.mul_f64(self.lots.rand_float())
    }
}
