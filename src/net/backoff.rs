//! Delays between calls to discovery, which many proxies may call at the same time. This module owns the number of failures
//! in a row and the random numbers for the delays. It must never sleep, ask for the time or open anything.

use crate::ListMode;
use oorandom::Rand64;
use std::time::Duration;

/// A proxy counts as notified of what discovery knows this long after it could reach discovery, whatever happened to the
/// calls before. The longest call that is given up and the longest delay after it are shorter than this together, and leave
/// time for the next call.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// How long a call may be without an answer where lists are pushed. The agent runs on the proxy's own machine, and answers
/// at once or not at all.
const PUSHED_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a call may be without an answer where lists are requested. A service that all proxies call may be slow to
/// refuse.
const REQUESTED_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The base of the own part of the delay, which is doubled with each failure.
const BASE_DELAY: Duration = Duration::from_millis(50);
/// The maximum of the own part of the delay where lists are pushed.
const MAX_PUSHED_DELAY: Duration = Duration::from_millis(200);
/// The maximum of the own part of the delay where lists are requested.
const MAX_REQUESTED_DELAY: Duration = Duration::from_millis(500);
/// Up to this many proxies may call a service at the same time. Only more than that take turns.
const MAX_PROXIES_WITHOUT_TURNS: u32 = 8;
/// The time that each further proxy adds to the turn. Proxies that start together, as after a release or when a service
/// drops its connections, call about this far apart.
const TURN_PER_PROXY: Duration = Duration::from_millis(50);
/// How often the turn is doubled at most, once with each failure after the first.
const MAX_TURN_DOUBLINGS: u32 = 1;
/// The maximum delay of a call that follows a success, however many proxies call. A host may drain meanwhile, and the proxy
/// must know half a second later.
const MAX_DELAY_AFTER_SUCCESS: Duration = Duration::from_millis(250);
/// The maximum turn, however many proxies there are.
const MAX_TURN: Duration = Duration::from_secs(3);

/// Whether this many proxies take turns.
pub fn takes_turns(proxies: u32) -> bool {
    proxies > MAX_PROXIES_WITHOUT_TURNS
}

/// Delays that grow with each failure, with jitter, so that proxies that failed together do not call again together.
pub struct Backoff {
    /// How long a call may be without an answer.
    pub answer_timeout: Duration,
    /// The time over which the calls of all proxies are spread.
    turn: Duration,
    /// The maximum of the own part of the delay.
    max_delay: Duration,
    /// The number of failures in a row, as far as it matters.
    failures: u32,
    rng: Rand64,
}

impl Backoff {
    /// The delays of one of `proxies` proxies. Where lists are pushed, each proxy calls an agent of its own and needs no
    /// turn.
    pub fn new(mode: ListMode, proxies: u32, seed: u64) -> Backoff {
        let turn =
            TURN_PER_PROXY.saturating_mul(proxies.saturating_sub(MAX_PROXIES_WITHOUT_TURNS)).min(MAX_TURN);
        let (answer_timeout, turn, max_delay) = match mode {
            ListMode::Pushed => (PUSHED_ANSWER_TIMEOUT, Duration::ZERO, MAX_PUSHED_DELAY),
            ListMode::OnRequest => (REQUESTED_ANSWER_TIMEOUT, turn, MAX_REQUESTED_DELAY),
        };
        Backoff { answer_timeout, turn, max_delay, failures: 0, rng: Rand64::new(u128::from(seed)) }
    }

    /// The delay before the first call, or before the next call after a successful one.
    pub fn after_success(&mut self) -> Duration {
        self.failures = 0;
        self.turn.min(MAX_DELAY_AFTER_SUCCESS).mul_f64(self.rng.rand_float())
    }

    /// The delay after a failed call.
    pub fn after_failure(&mut self) -> Duration {
        self.failures = (self.failures + 1).min(MAX_TURN_DOUBLINGS + 8);
        let own_delay = BASE_DELAY.saturating_mul(1 << self.failures).min(self.max_delay);
        let turn = self.turn.saturating_mul(1 << (self.failures - 1).min(MAX_TURN_DOUBLINGS)).min(MAX_TURN);
        own_delay.mul_f64(0.5 + self.rng.rand_float() / 2.0) + turn.mul_f64(self.rng.rand_float())
    }
}
