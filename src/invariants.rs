//! The rules that hold whenever an attempt starts, a request is refused or a connection is closed.
//!
//! Every code path asks here whether it may do so now (`may_start`, `may_refuse`, `may_close`). Afterwards
//! `check_started` and the `Violation`s report, from values that are read again, whether a rule was broken
//! all the same. The functions are pure: durations and flags in, a verdict out. This module must not choose a
//! host, read a clock or keep state of a request.

use crate::api::{Access, Class, DedupScope, Idempotency, Micros};
use crate::mutants;
use serde::Serialize;

/// The longest stall of a process between reading its clock and writing, in microseconds.
pub const MAX_STALL_US: Micros = 150_000;
/// Time that a write takes to reach its host, with the reading of the clock before it, in microseconds.
const WRITE_DELAY_US: Micros = 25_000;
/// No attempt starts for a client that disconnected longer ago than this, in microseconds.
pub const DISCONNECT_GRACE_US: Micros = 100_000;
/// The time that an attempt announces to its host may exceed the client's remaining time by this, in
/// microseconds.
pub const DEADLINE_SLACK_US: Micros = 150_000;
/// Until when the last byte of an attempt may be written whose head was built at `made`. The head announces
/// the client's remaining time as of `made`, which may be too long by `DEADLINE_SLACK_US`; the write itself
/// takes `WRITE_DELAY_US` of that.
pub fn write_deadline(made: Micros) -> Micros {
    made + DEADLINE_SLACK_US - WRITE_DELAY_US
}

/// Whether the last byte of a statement must not be written any more, because its head announces more time than is left: the
/// write itself takes `WRITE_DELAY_US` of what may be announced beyond.
pub fn is_announcement_outdated(announced: Micros, left: Micros) -> bool {
    announced > left + DEADLINE_SLACK_US - WRITE_DELAY_US
}

/// SIGKILL follows SIGTERM no sooner than after the longest wait of a client and this, in microseconds.
const SIGKILL_DELAY_US: Micros = 700_000;

/// Until when a request that may have run first at `first` may start again, if hosts recognise a repetition
/// for `window`. The margin covers a stall of the process, the delay of a write, and clocks whose rates
/// differ by up to a twentieth.
pub fn repeatable_until(first: Micros, window: Micros) -> Micros {
    let drift = window / 20;
    first + window.saturating_sub(drift + MAX_STALL_US + WRITE_DELAY_US)
}

impl Class {
    /// What a second run of a request does. A `plain` write carries nothing by which a host recognises its repetition, whatever
    /// its class allows others.
    pub fn idempotency_of(&self, plain: bool) -> Idempotency {
        let is_plain_write = plain && self.access == Access::Write;
        if is_plain_write { Idempotency::NotIdempotent } else { self.idempotency }
    }
}

impl Idempotency {
    /// Until when a request may be sent once more. `first`: when the first attempt that may have run was
    /// sent. A `plain` request carries no key.
    pub fn repeatable_until(&self, first: Option<Micros>, plain: bool) -> Micros {
        match (*self, first) {
            (_, None) | (Idempotency::Idempotent, _) => Micros::MAX,
            // The next host may be in another zone, and without a key no host drops a repetition.
            (Idempotency::NotIdempotent | Idempotency::Keyed(DedupScope::Zone, _), _) => 0,
            (Idempotency::Keyed(..), _) if plain => 0,
            (Idempotency::Keyed(_, window), Some(first)) => repeatable_until(first, window),
        }
    }

    /// When hosts forget a request, so that a repetition would run; 0 if no host recognises a repetition.
    /// `first`: when the first attempt that may have run was sent.
    pub fn forgotten_at(&self, first: Option<Micros>, plain: bool) -> Micros {
        match (*self, first) {
            (_, None) | (Idempotency::Idempotent, _) => Micros::MAX,
            (Idempotency::Keyed(DedupScope::All | DedupScope::Group, window), Some(first)) if !plain => {
                first + window
            }
            (Idempotency::NotIdempotent | Idempotency::Keyed(..), _) => 0,
        }
    }
}

/// How long after SIGTERM a stopping proxy ends the requests that are still open, in microseconds.
///
/// This is late enough for requests that arrived before clients moved to other proxies, and early enough that
/// a stall as the signal arrives and another as the last answers are written end before SIGKILL.
pub fn cut_off_after(linger: Micros, longest_wait: Micros) -> Micros {
    const MAX_LINGER_US: Micros = SIGKILL_DELAY_US - 2 * MAX_STALL_US;
    // If the operator sets a longer linger, SIGKILL also comes later.
    longest_wait + if linger > SIGKILL_DELAY_US { linger } else { linger.min(MAX_LINGER_US) }
}

/// The conditions for the start of an attempt, read before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart {
    /// For how long the host has been known to drain, to be removed or to be left out; `None` if it takes
    /// work.
    pub unavailable_for: Option<Micros>,
    /// For how long after that an attempt may still start there.
    pub drain_grace: Micros,
    /// The client has closed the connection.
    pub client_disconnected: bool,
    /// The conditions that the decision module knows.
    pub request: RequestStart,
}

/// The decision module's conditions for the start of a request's latest attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestStart {
    /// The request is still open.
    pub open: bool,
    /// The host's data are recent enough for the request.
    pub current: bool,
    /// Until when the attempt may start; `Micros::MAX` for any time.
    pub repeatable_until: Micros,
    /// When hosts forget the request's first attempt; `Micros::MAX` if there was none or a repetition does no
    /// harm.
    pub forgotten_at: Micros,
}

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// The client has disconnected.
    ClientLeft,
    /// The host drains, is removed or is left out.
    HostOff,
    /// The request is closed.
    RequestOver,
    /// The host's data are too old for the request by now, or the host lost its role.
    ServerOutdated,
    /// Hosts may not recognise the attempt as a repetition any more.
    WindowOver,
}

/// Whether a new attempt or probe may still be written to a host. `unavailable_for`: for how long it has been
/// known to drain, to be removed or to be left out, if it is.
pub fn accepts_new_attempts(unavailable_for: Option<Micros>, drain_grace: Micros) -> bool {
    let margin = if mutants::on("hold-ups are not covered") { 0 } else { MAX_STALL_US + WRITE_DELAY_US };
    unavailable_for.is_none_or(|duration| duration + margin <= drain_grace)
}

/// Whether an attempt may start now.
pub fn may_start(start: &AttemptStart, now: Micros) -> Result<(), Denial> {
    if start.client_disconnected && !mutants::on("departures are not asked for") {
        return Err(Denial::ClientLeft);
    }
    if !accepts_new_attempts(start.unavailable_for, start.drain_grace)
        && !mutants::on("drains are not asked for")
    {
        return Err(Denial::HostOff);
    }
    if !start.request.open {
        return Err(Denial::RequestOver);
    }
    if !start.request.current && !mutants::on("attempts begin unchecked") {
        return Err(Denial::ServerOutdated);
    }
    if now >= start.request.repeatable_until && !mutants::on("attempts begin unchecked") {
        return Err(Denial::WindowOver);
    }
    Ok(())
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// An attempt started for a client that had disconnected.
    StartedForDeparted,
    /// An attempt started at a host that drains, is removed or is left out, after the grace.
    StartedAtDraining,
    /// A repetition started when hosts may have forgotten the first attempt.
    RepeatedTooLate,
    /// An attempt was ordered while another one of its request was outstanding.
    SecondAttempt,
    /// An attempt announced more time to its host than the client has left, beyond the slack.
    PatienceExceeded,
    /// A request that may have run and must not run again was refused, which promises that a further try is
    /// harmless.
    RefusedAfterRun,
    /// A connection was closed with a request that was read and not answered.
    ClosedUnanswered,
}

impl Violation {
    /// All violations, in the order of the variants.
    pub const ALL: [Violation; 7] = [
        Violation::StartedForDeparted,
        Violation::StartedAtDraining,
        Violation::RepeatedTooLate,
        Violation::SecondAttempt,
        Violation::PatienceExceeded,
        Violation::RefusedAfterRun,
        Violation::ClosedUnanswered,
    ];
}

/// An attempt as it was written.
#[derive(Clone, Copy, Debug)]
pub struct StartedAttempt {
    /// For how long the host had been known to drain, to be removed or to be left out; `None` if it took
    /// work.
    pub unavailable_for: Option<Micros>,
    /// The remaining time that the attempt announced to its host.
    pub announced_time: Micros,
    /// When the client stops waiting.
    pub give_up_at: Micros,
}

/// The rule that an attempt broke, if any. The attempt was allowed under the conditions `start` and was
/// written at `now`.
pub fn check_started(start: &AttemptStart, started: &StartedAttempt, now: Micros) -> Option<Violation> {
    let left = started.give_up_at.saturating_sub(now);
    if start.client_disconnected {
        Some(Violation::StartedForDeparted)
    } else if started.unavailable_for.is_some_and(|duration| duration > start.drain_grace) {
        Some(Violation::StartedAtDraining)
    } else if now > start.request.forgotten_at {
        Some(Violation::RepeatedTooLate)
    } else if started.announced_time > left + DEADLINE_SLACK_US {
        Some(Violation::PatienceExceeded)
    } else {
        None
    }
}

/// Whether a request may be refused, which tells its client that a further try is harmless.
pub fn may_refuse(idempotency: Idempotency, may_have_run: bool, plain: bool) -> bool {
    let recognised = matches!(idempotency, Idempotency::Keyed(DedupScope::All, _)) && !plain;
    !may_have_run || idempotency == Idempotency::Idempotent || recognised
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// The client closed the connection, or announced that it does.
    ClientEnded,
    /// The client disconnected with open requests.
    ClientLeft,
    /// Reading from the connection failed.
    ReadFailed,
    /// Writing to the connection failed, or the client read nothing for long.
    WriteFailed,
    /// The client began a message and did not continue it in time.
    TooSlow,
    /// The client sent too much at once.
    TooMuch,
    /// The client sent bytes that are no valid message.
    Malformed,
    /// The connection was idle for long, or was idle and another client needs its slot.
    Rested,
    /// The proxy drains or stops.
    Stopping,
    /// There was no free slot for the connection.
    Full,
    /// A host broke off a value of which the client has a part.
    ValueBrokenOff,
}

/// Whether a connection may be closed for this reason with `unanswered` requests that were read and not
/// answered.
pub fn may_close(reason: CloseReason, unanswered: usize) -> bool {
    use CloseReason::*;
    let by_client = matches!(reason, ClientEnded | ClientLeft | ReadFailed | WriteFailed);
    unanswered == 0 || by_client || (reason == ValueBrokenOff && unanswered == 1)
}
