//! Tests the rules of `sillfold::invariants` at the edges of their limits: whether an attempt may start, a
//! request may be refused and a connection may be closed.

use sillfold::invariants::*;
use sillfold::{Access, Class, DedupScope, Idempotency};

/// A millisecond, in microseconds.
const MS: u64 = 1_000;
/// How long attempts may start at a host that drains, in microseconds.
const DRAIN_GRACE_US: u64 = 500 * MS;
/// The clock's reading in these tests, in microseconds.
const NOW: u64 = 1_000_000 * MS;

/// A request whose attempt may start at any time.
const REQUEST: RequestStart =
    RequestStart { open: true, current: true, repeatable_until: u64::MAX, forgotten_at: u64::MAX };

/// The start of an attempt at a host that has been unavailable for this long, in microseconds.
fn start(unavailable_for: Option<u64>) -> AttemptStart {
    AttemptStart {
        unavailable_for,
        drain_grace: DRAIN_GRACE_US,
        client_disconnected: false,
        request: REQUEST,
    }
}

/// An attempt that may start is written inside the grace, even if the process stalls for `MAX_STALL_US` (150
/// ms) between reading the clock and writing.
#[test]
fn drain_grace_covers_a_stall_of_the_process() {
    for unavailable_ms in 0..=600 {
        let start = start(Some(unavailable_ms * MS));
        let allowed = may_start(&start, NOW).is_ok();
        assert!(
            !allowed || unavailable_ms * MS + MAX_STALL_US < DRAIN_GRACE_US,
            "unavailable for {unavailable_ms} ms"
        );
        let started = StartedAttempt {
            unavailable_for: Some(unavailable_ms * MS + MAX_STALL_US),
            announced_time: 0,
            give_up_at: u64::MAX,
        };
        assert!(
            !allowed || check_started(&start, &started, NOW + MAX_STALL_US).is_none(),
            "unavailable for {unavailable_ms} ms"
        );
    }
    assert!(may_start(&start(Some(300 * MS)), NOW).is_ok(), "the margin does not use up the grace");
    assert!(may_start(&start(None), NOW).is_ok());
    assert_eq!(may_start(&start(Some(DRAIN_GRACE_US)), NOW), Err(Denial::HostOff));
    assert!(!accepts_new_attempts(Some(0), 100 * MS), "the grace is shorter than a stall");
}

/// A retry that may start is written inside the deduplication window, even if the process stalls for
/// `MAX_STALL_US`.
#[test]
fn dedup_window_covers_a_stall_of_the_process() {
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
        // A window that is shorter than a stall allows no retry.
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
    assert_eq!(
        Idempotency::Keyed(DedupScope::All, 9).forgotten_at(Some(NOW), true),
        0,
        "a plain request carries no key"
    );
}

#[test]
fn no_attempt_starts_for_a_disconnected_client_a_closed_request_or_an_outdated_host() {
    let disconnected = AttemptStart { client_disconnected: true, ..start(None) };
    assert_eq!(may_start(&disconnected, NOW), Err(Denial::ClientLeft));
    let closed = AttemptStart { request: RequestStart { open: false, ..REQUEST }, ..start(None) };
    assert_eq!(may_start(&closed, NOW), Err(Denial::RequestOver));
    let outdated = AttemptStart { request: RequestStart { current: false, ..REQUEST }, ..start(None) };
    assert_eq!(may_start(&outdated, NOW), Err(Denial::ServerOutdated));
}

#[test]
fn announced_time_does_not_exceed_the_remaining_time_of_the_client() {
    let give_up_at = NOW + 400 * MS;
    let announcing = |announced_ms: u64| StartedAttempt {
        unavailable_for: None,
        announced_time: announced_ms * MS,
        give_up_at,
    };
    assert_eq!(check_started(&start(None), &announcing(400), NOW), None);
    assert_eq!(check_started(&start(None), &announcing(400), NOW + MAX_STALL_US), None);
    assert_eq!(check_started(&start(None), &announcing(551), NOW), Some(Violation::PatienceExceeded));
}

/// A stall as the signal arrives and another as the last answers are written end before SIGKILL, which
/// follows 0.7 s after the longest wait of 3 s.
#[test]
fn a_stopping_proxy_cuts_requests_off_before_sigkill() {
    for linger_ms in [0, 1, 300, 500, 700] {
        let cut_off = cut_off_after(linger_ms * MS, 3_000 * MS);
        assert!(cut_off + 2 * MAX_STALL_US <= 3_700 * MS, "linger {linger_ms} ms: {cut_off}");
        assert!(cut_off >= 3_000 * MS + linger_ms.min(400) * MS);
    }
    assert_eq!(cut_off_after(60_000 * MS, 3_000 * MS), 63_000 * MS, "a long linger time is kept");
}

/// Guards against a plain write that runs twice where its class may be repeated.
#[test]
fn a_plain_write_may_never_be_repeated_and_a_plain_read_as_its_class_allows() {
    let class = |access| Class {
        access,
        idempotency: Idempotency::Idempotent,
        latency_target: 0,
        deadline: 0,
        worth: 1.0,
        late_worth: 0.0,
        latency_target_stretch: 0.0,
    };
    let (write, read) = (class(Access::Write), class(Access::AnyRead));
    assert_eq!(write.idempotency_of(true), Idempotency::NotIdempotent);
    assert_eq!(write.idempotency_of(false), Idempotency::Idempotent);
    assert_eq!(read.idempotency_of(true), Idempotency::Idempotent);
}

#[test]
fn a_request_is_refused_only_if_a_further_try_is_harmless() {
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
    assert!(!may_refuse(keyed(DedupScope::All), true, true), "a plain statement carries no key");
}

#[test]
fn close_reasons_that_allow_unanswered_requests() {
    use CloseReason::*;
    for reason in [TooSlow, TooMuch, Malformed, Rested, Stopping, Full] {
        assert!(may_close(reason, 0) && !may_close(reason, 1), "{reason:?}");
    }
    for reason in [ClientEnded, ClientLeft, ReadFailed, WriteFailed] {
        assert!(may_close(reason, 3), "{reason:?}");
    }
    assert!(may_close(ValueBrokenOff, 1) && !may_close(ValueBrokenOff, 2));
}
