//! The rules that decide whether something may start, be refused or be closed, at the edges of their limits.

use sillfold::invariants::*;
use sillfold::{DedupScope, Idempotency};

const MS: u64 = 1_000;
const GRACE: u64 = 500 * MS;
const NOW: u64 = 1_000_000 * MS;

const REQUEST: RequestStart =
    RequestStart { open: true, current: true, repeatable_until: u64::MAX, forgotten_at: u64::MAX };

fn start(unavailable_for: Option<u64>) -> AttemptStart {
    AttemptStart { unavailable_for, drain_grace: GRACE, client_disconnected: false, request: REQUEST }
}

/// Held up by 150 ms behind the look at the clock, the write is still inside the grace.
#[test]
fn the_grace_of_a_drain_covers_a_hold_up_of_the_process() {
    for off_ms in 0..=600 {
        let start = start(Some(off_ms * MS));
        let may = may_start(&start, NOW).is_ok();
        assert!(!may || off_ms * MS + MAX_STALL_US < GRACE, "off for {off_ms} ms");
        let started = StartedAttempt {
            unavailable_for: Some(off_ms * MS + MAX_STALL_US),
            announced_time: 0,
            give_up_at: u64::MAX,
        };
        assert!(!may || check_started(&start, &started, NOW + MAX_STALL_US).is_none(), "off for {off_ms} ms");
    }
    assert!(may_start(&start(Some(300 * MS)), NOW).is_ok(), "a drain takes no more than it needs");
    assert!(may_start(&start(None), NOW).is_ok());
    assert_eq!(may_start(&start(Some(GRACE)), NOW), Err(Denial::HostOff));
    assert!(!accepts_new_attempts(Some(0), 100 * MS), "a grace that is shorter than a hold-up");
}

/// The same of the window in which a repeat is recognised.
#[test]
fn a_window_for_repeats_covers_a_hold_up_of_the_process() {
    for window_ms in [100, 300, 1_200, 5_000] {
        let idempotency = Idempotency::Keyed(DedupScope::Group, window_ms * MS);
        let until = idempotency.repeatable_until(Some(NOW), false);
        assert!(until == NOW || until + MAX_STALL_US < NOW + window_ms * MS, "{window_ms} ms: until {until}");
        let request = RequestStart {
            repeatable_until: until,
            forgotten_at: idempotency.forgotten_at(Some(NOW), false),
            ..REQUEST
        };
        let start = AttemptStart { request, ..start(None) };
        assert_eq!(may_start(&start, until), Err(Denial::WindowOver));
        let started = StartedAttempt { unavailable_for: None, announced_time: 0, give_up_at: u64::MAX };
        // A window that is shorter than a hold-up is none.
        if until > NOW {
            assert!(may_start(&start, until - 1).is_ok());
            assert_eq!(check_started(&start, &started, until + MAX_STALL_US), None);
        }
        let late = NOW + window_ms * MS + 1;
        assert_eq!(check_started(&start, &started, late), Some(Violation::RepeatedTooLate));
    }
    assert_eq!(Idempotency::NotIdempotent.forgotten_at(Some(NOW), false), 0);
    assert_eq!(Idempotency::NotIdempotent.forgotten_at(None, false), u64::MAX);
    assert_eq!(Idempotency::Idempotent.forgotten_at(Some(NOW), false), u64::MAX);
    assert_eq!(Idempotency::Keyed(DedupScope::All, 9).forgotten_at(Some(NOW), true), 0, "it brings no key");
}

#[test]
fn nothing_starts_for_a_client_that_left_or_a_request_that_is_over() {
    let left = AttemptStart { client_disconnected: true, ..start(None) };
    assert_eq!(may_start(&left, NOW), Err(Denial::ClientLeft));
    let over = AttemptStart { request: RequestStart { open: false, ..REQUEST }, ..start(None) };
    assert_eq!(may_start(&over, NOW), Err(Denial::RequestOver));
    let outdated = AttemptStart { request: RequestStart { current: false, ..REQUEST }, ..start(None) };
    assert_eq!(may_start(&outdated, NOW), Err(Denial::ServerOutdated));
}

#[test]
fn the_time_told_to_a_host_is_checked_against_what_its_client_has_left() {
    let give_up_at = NOW + 400 * MS;
    let told = |patience_ms: u64| StartedAttempt {
        unavailable_for: None,
        announced_time: patience_ms * MS,
        give_up_at,
    };
    assert_eq!(check_started(&start(None), &told(400), NOW), None);
    assert_eq!(check_started(&start(None), &told(400), NOW + MAX_STALL_US), None);
    assert_eq!(check_started(&start(None), &told(551), NOW), Some(Violation::PatienceExceeded));
}

/// Two hold-ups, as the signal comes and as the answers go, end before SIGKILL, 0.7 s behind the longest wait.
#[test]
fn a_stop_gives_its_last_answers_before_it_is_killed() {
    for linger_ms in [0, 1, 300, 500, 700] {
        let cut_off = cut_off_after(linger_ms * MS, 3_000 * MS);
        assert!(cut_off + 2 * MAX_STALL_US <= 3_700 * MS, "linger {linger_ms} ms: {cut_off}");
        assert!(cut_off >= 3_000 * MS + linger_ms.min(400) * MS);
    }
    assert_eq!(cut_off_after(60_000 * MS, 3_000 * MS), 63_000 * MS, "an operator who lingers has the time");
}

#[test]
fn a_refusal_promises_that_a_further_try_is_harmless() {
    let keyed = |scope| Idempotency::Keyed(scope, 9);
    for idempotency in [
        Idempotency::Idempotent,
        Idempotency::NotIdempotent,
        keyed(DedupScope::All),
        keyed(DedupScope::Group),
    ] {
        assert!(may_refuse(idempotency, false, false));
    }
    assert!(
        may_refuse(Idempotency::Idempotent, true, false) && may_refuse(keyed(DedupScope::All), true, false)
    );
    assert!(
        !may_refuse(Idempotency::NotIdempotent, true, false)
            && !may_refuse(keyed(DedupScope::Group), true, false)
    );
    assert!(!may_refuse(keyed(DedupScope::All), true, true), "a plain statement brings no key");
}

#[test]
fn no_connection_is_closed_with_a_request_unanswered_but_by_its_client() {
    use CloseReason::*;
    for reason in [TooSlow, TooMuch, Malformed, Rested, Stopping, Full] {
        assert!(may_close(reason, 0) && !may_close(reason, 1), "{reason:?}");
    }
    for reason in [ClientEnded, ClientLeft, ReadFailed, WriteFailed] {
        assert!(may_close(reason, 3), "{reason:?}");
    }
    assert!(may_close(ValueBrokenOff, 1) && !may_close(ValueBrokenOff, 2));
}
