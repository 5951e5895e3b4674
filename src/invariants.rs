//! What has to hold whenever an attempt starts, a request is refused or a connection is closed, whatever code path does it:
//! the one place that decides whether it may be done now (`may_start`, `may_refuse`, `may_close`), and that tells
//! afterwards, from facts taken anew, whether it was done all the same (`Violation`). Pure: spans and flags in, a verdict
//! out. It must never choose a host, read a clock or keep anything of a request.

use crate::api::{DedupScope, Idempotency, Micros};
use crate::mutants;
use serde::Serialize;

/// A process may be held up for so long between reading its clock and writing.
pub const MAX_STALL_US: Micros = 150_000;
/// The way of a write to its host, and the look at the clock before it.
const WRITE_DELAY_US: Micros = 25_000;
/// Nothing begins for a client that left longer ago than this.
pub const DISCONNECT_GRACE_US: Micros = 100_000;
/// The time that an attempt tells its host may exceed what the client has left by this.
pub const DEADLINE_SLACK_US: Micros = 150_000;
/// Until when the last byte of an attempt may go whose head was made at this time: what it tells its host of the time
/// that is left may be too much by the slack then, less the way.
pub fn write_deadline(made: Micros) -> Micros {
    made + DEADLINE_SLACK_US - WRITE_DELAY_US
}

/// SIGKILL follows SIGTERM no sooner than the longest wait of a client and this.
const SIGKILL_DELAY_US: Micros = 700_000;

/// Until when a request that may have run first at this time may start again, where a repeat is recognised for `window`.
/// A hold-up, the way, and clocks that differ a little are left room for.
pub fn repeatable_until(first: Micros, window: Micros) -> Micros {
    let drift = window / 20;
    first + window.saturating_sub(drift + MAX_STALL_US + WRITE_DELAY_US)
}

impl Idempotency {
    /// Until when a request may be sent once more, as its first send that may have run tells; `plain` ones bring no key.
    pub fn repeatable_until(&self, first: Option<Micros>, plain: bool) -> Micros {
        match (*self, first) {
            (_, None) | (Idempotency::Idempotent, _) => Micros::MAX,
            // A zone need not be that of the next server, and without a key nobody drops a repeat.
            (Idempotency::NotIdempotent | Idempotency::Keyed(DedupScope::Zone, _), _) => 0,
            (Idempotency::Keyed(..), _) if plain => 0,
            (Idempotency::Keyed(_, window), Some(first)) => repeatable_until(first, window),
        }
    }

    /// When servers forget a request, as its first send that may have run tells: 0 where a repeat is recognised nowhere.
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

/// When a stop cuts off what is still open, counted from SIGTERM: late enough for whoever came before clients turned
/// away, early enough that a hold-up as the signal comes and another as the answers go end before SIGKILL.
pub fn cut_off_after(linger: Micros, longest_wait: Micros) -> Micros {
    const REJECTION_WINDOW_US: Micros = SIGKILL_DELAY_US - 2 * MAX_STALL_US;
    // Whoever lingers for longer than that is not killed so soon.
    longest_wait + if linger > SIGKILL_DELAY_US { linger } else { linger.min(REJECTION_WINDOW_US) }
}

/// What is known as the first byte of an attempt is about to go.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart {
    /// For how long its host has been known to drain, to be gone or to be left out, if it is.
    pub unavailable_for: Option<Micros>,
    /// For how long after that something may still begin there.
    pub drain_grace: Micros,
    /// Its client has closed the connection.
    pub client_disconnected: bool,
    /// What the decision module says of the request.
    pub request: RequestStart,
}

/// What the decision module says of a request whose latest attempt is about to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestStart {
    /// It is open still.
    pub open: bool,
    /// The data of its server are recent enough for it.
    pub current: bool,
    /// Until when it may start; `Micros::MAX` where nothing bounds that.
    pub repeatable_until: Micros,
    /// When servers forget its first attempt; `Micros::MAX` where there was none, or a repeat does no harm.
    pub forgotten_at: Micros,
}

/// Why an attempt may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// Its client has left.
    ClientLeft,
    /// Its host drains, is gone or is left out.
    HostOff,
    /// Its request is over.
    RequestOver,
    /// The data of its server are too old for it by now, or its server lost its role.
    ServerOutdated,
    /// A repeat would not be recognised any more.
    WindowOver,
}

/// Whether something new may still be written to a host that has been off for so long, if it is.
pub fn accepts_new_attempts(unavailable_for: Option<Micros>, drain_grace: Micros) -> bool {
    let margin = if mutants::on("hold-ups are not covered") { 0 } else { MAX_STALL_US + WRITE_DELAY_US };
    unavailable_for.is_none_or(|off| off + margin <= drain_grace)
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

/// What was done although it must not be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// An attempt started for a client that had left.
    StartedForDeparted,
    /// An attempt started at a host that drains, is gone or is left out, beyond the grace.
    StartedAtDraining,
    /// A repeat started when its first attempt may be forgotten.
    RepeatedTooLate,
    /// An attempt was ordered while another of its request was out.
    SecondAttempt,
    /// An attempt told its host more time than its client has left.
    PatienceExceeded,
    /// A request that may have run, and must not run again, was refused with the promise that a further try is harmless.
    RefusedAfterRun,
    /// A connection was closed with a request that was read and not answered.
    ClosedUnanswered,
}

impl Violation {
    /// All of them.
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

/// What is known of an attempt once it is written.
#[derive(Clone, Copy, Debug)]
pub struct StartedAttempt {
    /// For how long its host had been known to be off as it was written.
    pub unavailable_for: Option<Micros>,
    /// The time that its host was told it has.
    pub announced_time: Micros,
    /// Until when its client waits.
    pub give_up_at: Micros,
}

/// What was wrong with an attempt that was written at this time, after this start.
pub fn check_started(start: &AttemptStart, started: &StartedAttempt, now: Micros) -> Option<Violation> {
    let left = started.give_up_at.saturating_sub(now);
    if start.client_disconnected {
        Some(Violation::StartedForDeparted)
    } else if started.unavailable_for.is_some_and(|off| off > start.drain_grace) {
        Some(Violation::StartedAtDraining)
    } else if now > start.request.forgotten_at {
        Some(Violation::RepeatedTooLate)
    } else if started.announced_time > left + DEADLINE_SLACK_US {
        Some(Violation::PatienceExceeded)
    } else {
        None
    }
}

/// Whether a request may be refused: whether its client may be told that a further try is harmless.
pub fn may_refuse(idempotency: Idempotency, may_have_run: bool, plain: bool) -> bool {
    let recognised = matches!(idempotency, Idempotency::Keyed(DedupScope::All, _)) && !plain;
    !may_have_run || idempotency == Idempotency::Idempotent || recognised
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CloseReason {
    /// Its client has ended it, or said that it does.
    ClientEnded,
    /// Its client left with requests open.
    ClientLeft,
    /// Reading from it failed.
    ReadFailed,
    /// Writing to it failed, or its client took nothing for long.
    WriteFailed,
    /// What its client had begun did not go on in time.
    TooSlow,
    /// Its client sent too much at once.
    TooMuch,
    /// What its client sent makes no sense.
    Malformed,
    /// It rested for long, or others want its place.
    Rested,
    /// The proxy drains or stops.
    Stopping,
    /// There was no place for it.
    Full,
    /// A host broke off a value of which its client has a part.
    ValueBrokenOff,
}

/// Whether a connection may be closed for this reason with so many requests read and not answered.
pub fn may_close(reason: CloseReason, unanswered: usize) -> bool {
    use CloseReason::*;
    let by_client = matches!(reason, ClientEnded | ClientLeft | ReadFailed | WriteFailed);
    unanswered == 0 || by_client || (reason == ValueBrokenOff && unanswered == 1)
}
