//! Tests which hosts a session's read may go to, where the proxy tracks the session's writes and hosts answer
//! from the data they have. Host 1 is the primary, hosts 2 and 3 are replicas. Class 1 is a bounded read,
//! class 2 a session read, class 3 a strong read, class 4 a write and class 5 a keyed write.

mod rig;

use rig::*;
use sillfold::*;

/// The class of session reads.
const SESSION_READ: u8 = 2;
/// The class of writes that are not idempotent.
const WRITE: u8 = 4;
/// The class of writes with a deduplication key.
const KEYED_WRITE: u8 = 5;
/// The host that the list names as primary.
const PRIMARY: HostId = 1;
/// One of the two replicas; the other one is host 3.
const REPLICA: HostId = 2;

/// Settings under which the proxy tracks the writes of sessions.
fn tracking_settings(lag_check: LagCheck) -> Settings {
    Settings { session_tokens: SessionTokens::TrackedByProxy, lag_check, ..settings() }
}

/// Both replicas report a position that is `behind` the clock.
fn report_replica_positions(rig: &mut Rig, behind: Micros) {
    rig.receive_probe(REPLICA, Role::Replica, behind);
    rig.receive_probe(3, Role::Replica, behind);
}

/// Both replicas are current, and a write of this class is outstanding at the primary.
fn rig_with_outstanding_write(class: u8) -> Rig {
    let mut rig = Rig::new(tracking_settings(LagCheck::Unchecked));
    report_replica_positions(&mut rig, 0);
    let out = rig.send_request(1, class);
    assert_eq!(sent_to(&out, 1), Some(PRIMARY));
    rig
}

/// The hosts that the session's next six reads go to. The client of each disconnects at once.
fn hosts_of_session_reads(rig: &mut Rig, first_id: RequestId) -> Vec<Option<HostId>> {
    let send_read = |id| {
        let host = sent_to(&rig.send_request(id, SESSION_READ), id);
        rig.advance(0, &[Event::ClientGone(id)]);
        if let Some(host) = host {
            rig.end_attempt_without_report(id, host, Outcome::NotSent, 0);
        }
        host
    };
    (first_id..first_id + 6).map(send_read).collect()
}

/// Whether no read goes to a replica. A held read goes to no host yet.
fn none_at_a_replica(hosts: &[Option<HostId>]) -> bool {
    hosts.iter().all(|host| host.is_none_or(|host| host == PRIMARY))
}

#[test]
fn session_reads_go_to_the_primary_while_a_write_is_outstanding() {
    let mut rig = rig_with_outstanding_write(WRITE);
    let hosts = hosts_of_session_reads(&mut rig, 10);
    assert!(none_at_a_replica(&hosts), "{hosts:?}");
    // The write does not bind another session.
    let other = RequestInfo {
        id: 30,
        class: SESSION_READ,
        session: 8,
        give_up_at: rig.now + 2_000 * MS,
        ..RequestInfo::default()
    };
    let out = rig.advance(0, &[Event::Request(other)]);
    assert!(sent_to(&out, 30).is_some_and(|host| host != PRIMARY), "{out:?}");
}

/// Hosts that check the token themselves see the commit without the proxy.
#[test]
fn an_outstanding_write_binds_no_read_where_hosts_check_positions() {
    for lag_check in [LagCheck::Reject, LagCheck::Wait(20 * MS)] {
        let mut rig = Rig::new(tracking_settings(lag_check));
        report_replica_positions(&mut rig, 0);
        rig.send_request(1, WRITE);
        let hosts = hosts_of_session_reads(&mut rig, 10);
        assert!(hosts.iter().any(|host| host.is_some_and(|host| host != PRIMARY)), "{hosts:?}");
    }
}

#[test]
fn a_write_that_ended_without_an_answer_binds_reads_as_of_its_end() {
    for class in [WRITE, KEYED_WRITE] {
        for outcome in [Outcome::Timeout, Outcome::Cancelled, Outcome::Reset, Outcome::Error] {
            let mut rig = rig_with_outstanding_write(class);
            rig.end_attempt_without_report(1, PRIMARY, outcome, 30 * MS);
            // A keyed write that is retried is outstanding again.
            rig.advance(0, &[Event::ClientGone(1)]);
            rig.attempts_sent
                .get(&1)
                .filter(|&&n| n > 1)
                .is_some()
                .then(|| rig.end_attempt_without_report(1, PRIMARY, outcome, 0));
            let ended = rig.now;
            report_replica_positions(&mut rig, 1);
            let hosts = hosts_of_session_reads(&mut rig, 10);
            assert!(none_at_a_replica(&hosts), "class {class}, {outcome:?}: {hosts:?}");
            rig.advance(5 * MS, &[]);
            let since_end = rig.now - ended;
            report_replica_positions(&mut rig, since_end);
            let hosts = hosts_of_session_reads(&mut rig, 20);
            assert!(
                !none_at_a_replica(&hosts),
                "class {class}, {outcome:?}: the replicas have reached the end: {hosts:?}"
            );
        }
    }
}

#[test]
fn a_write_that_never_ran_binds_no_read() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Unsuitable] {
        let mut rig = rig_with_outstanding_write(WRITE);
        rig.advance(0, &[Event::ClientGone(1)]);
        rig.end_attempt_without_report(1, PRIMARY, outcome, 0);
        let hosts = hosts_of_session_reads(&mut rig, 10);
        assert!(!none_at_a_replica(&hosts), "{outcome:?}: {hosts:?}");
    }
}

/// The client disconnects and the request is closed; its attempt ends later.
#[test]
fn a_write_of_a_disconnected_client_binds_reads_before_and_after_its_attempt_ends() {
    let mut rig = rig_with_outstanding_write(WRITE);
    rig.advance(0, &[Event::ClientGone(1)]);
    let hosts = hosts_of_session_reads(&mut rig, 10);
    assert!(none_at_a_replica(&hosts), "the write is outstanding: {hosts:?}");
    rig.end_attempt_without_report(1, PRIMARY, Outcome::Cancelled, 3 * MS);
    report_replica_positions(&mut rig, MS);
    let hosts = hosts_of_session_reads(&mut rig, 20);
    assert!(none_at_a_replica(&hosts), "the write may have run: {hosts:?}");
}

/// Hosts report commits rounded up to the millisecond and positions rounded down.
#[test]
fn a_replica_serves_the_session_from_the_commit_position_on() {
    for (short_of_commit, has_commit) in [(0, true), (MS, false), (1, false)] {
        let mut rig = rig_with_outstanding_write(WRITE);
        rig.end_attempt(1, PRIMARY, Outcome::Ok, 20 * MS, Role::Primary, 0);
        let commit = rig.now;
        rig.advance(10 * MS, &[]);
        let behind = rig.now - commit + short_of_commit;
        report_replica_positions(&mut rig, behind);
        let hosts = hosts_of_session_reads(&mut rig, 10);
        assert_eq!(
            !none_at_a_replica(&hosts),
            has_commit,
            "{short_of_commit} us short of the commit: {hosts:?}"
        );
    }
}

/// While the read waits for its connection to the replica, a write of the session begins, or begins and ends.
#[test]
fn a_read_does_not_start_at_a_replica_that_lacks_a_later_write() {
    for write_ended in [false, true] {
        let mut rig = Rig::new(tracking_settings(LagCheck::Unchecked));
        report_replica_positions(&mut rig, 0);
        let (read, host) = (10..30)
            .find_map(|id| {
                Some((id, sent_to(&rig.send_request(id, SESSION_READ), id).filter(|&host| host != PRIMARY)?))
            })
            .expect("a read goes to a replica");
        assert!(rig.router.may_start_attempt(rig.now, read));
        let out = rig.advance(MS, &[request(1, WRITE, rig.now + MS)]);
        assert_eq!(sent_to(&out, 1), Some(PRIMARY));
        if write_ended {
            rig.end_attempt(1, PRIMARY, Outcome::Ok, 20 * MS, Role::Primary, 0);
        }
        assert!(!rig.router.may_start_attempt(rig.now, read), "the write has ended: {write_ended}");
        // The attempt ends as not sent, and the read goes to the primary.
        let out = rig.end_attempt(read, host, Outcome::NotSent, 0, Role::Replica, 0);
        assert_eq!(sent_to(&out, read), Some(PRIMARY), "{out:?}");
        assert!(rig.router.may_start_attempt(rig.now, read));
    }
}

/// A write of the session ends between the read's first attempt and its retry.
#[test]
fn the_retry_of_a_read_sees_a_later_write() {
    let mut rig = Rig::new(tracking_settings(LagCheck::Unchecked));
    report_replica_positions(&mut rig, 0);
    let (read, host) = (10..30)
        .find_map(|id| {
            Some((id, sent_to(&rig.send_request(id, SESSION_READ), id).filter(|&host| host != PRIMARY)?))
        })
        .expect("a read goes to a replica");
    rig.advance(0, &[request(1, WRITE, rig.now)]);
    rig.end_attempt(1, PRIMARY, Outcome::Ok, 20 * MS, Role::Primary, 0);
    let out = rig.end_attempt(read, host, Outcome::Error, MS, Role::Replica, 25 * MS);
    assert_eq!(sent_to(&out, read), Some(PRIMARY), "{out:?}");
}

/// While the read is held for want of a primary, its session writes at the new primary. That write binds the
/// read when it is sent.
#[test]
fn a_held_read_sees_a_write_that_ended_meanwhile() {
    let mut rig = rig_with_outstanding_write(WRITE);
    rig.end_attempt_without_report(1, PRIMARY, Outcome::Ok, 20 * MS);
    let first_commit = rig.now;
    let note = HostReport { position: Some(START), role: Some(Role::Replica), in_flight: None };
    rig.advance(5 * MS, &[Event::PartialAnswer { host: PRIMARY, note }]);
    assert_eq!(sent_to(&rig.send_request(2, SESSION_READ), 2), None, "no member has the session's write");
    rig.send_request(3, WRITE);
    let out = rig.advance(10 * MS, &[Event::Timer(0)]);
    let new_primary = sent_to(&out, 3).expect("a write is sent to find the primary");
    let out = rig.end_attempt(3, new_primary, Outcome::Ok, 20 * MS, Role::Primary, 0);
    let sent = sent_to(&out, 2);
    assert!(sent.is_none_or(|host| host == new_primary), "{out:?}");
    // The other replica has the first write now, but not the second.
    let other = if new_primary == REPLICA { 3 } else { REPLICA };
    let behind = rig.now - first_commit - MS;
    rig.receive_probe(other, Role::Replica, behind);
    let out = rig.advance(10 * MS, &[Event::Timer(0)]);
    let sent = sent.or(sent_to(&out, 2));
    assert_eq!(sent, Some(new_primary), "{out:?}");
}

/// The replica's last report becomes older than the bound while the read waits for its connection.
#[test]
fn a_bounded_read_does_not_start_at_a_replica_beyond_the_bound() {
    /// The class of bounded reads.
    const BOUNDED_READ: u8 = 1;
    for tokens in [SessionTokens::FromClient, SessionTokens::TrackedByProxy] {
        let mut rig = Rig::new(Settings { session_tokens: tokens, ..tracking_settings(LagCheck::Unchecked) });
        report_replica_positions(&mut rig, 100 * MS);
        let (read, host) = (10..30)
            .find_map(|id| {
                Some((id, sent_to(&rig.send_request(id, BOUNDED_READ), id).filter(|&host| host != PRIMARY)?))
            })
            .expect("a read goes to a replica");
        assert!(rig.router.may_start_attempt(rig.now + 200 * MS, read), "at the bound");
        assert!(!rig.router.may_start_attempt(rig.now + 201 * MS, read), "beyond the bound");
        rig.receive_probe(host, Role::Replica, 0);
        assert!(rig.router.may_start_attempt(rig.now + 201 * MS, read), "the replica has reported since");
    }
}

/// A read is sent to the primary, which reports before the read starts that it is a replica.
#[test]
fn a_read_does_not_start_at_a_former_primary() {
    for class in [SESSION_READ, 1, 3] {
        let mut rig = Rig::new(tracking_settings(LagCheck::Unchecked));
        rig.send_request(1, WRITE);
        rig.end_attempt_without_report(1, PRIMARY, Outcome::Ok, 5 * MS);
        assert_eq!(sent_to(&rig.send_request(2, class), 2), Some(PRIMARY));
        let note =
            HostReport { position: Some(rig.now - 400 * MS), role: Some(Role::Replica), in_flight: None };
        // An answer of which only the beginning arrives reports the role.
        rig.advance(500 * MS, &[Event::PartialAnswer { host: PRIMARY, note }]);
        assert!(!rig.router.may_start_attempt(rig.now, 2), "class {class}");
    }
}

/// The proxy tracks a limited number of sessions. The writes of a session that it no longer tracks bind the
/// reads of all sessions, through the floor: no read misses a write that it must see.
#[test]
fn the_floor_binds_sessions_that_are_no_longer_tracked() {
    /// One session more than the proxy tracks.
    const SESSIONS: u64 = 50_001;
    let mut rig = Rig::new(tracking_settings(LagCheck::Unchecked));
    report_replica_positions(&mut rig, 0);
    let before_writes = rig.now;
    for n in 0..SESSIONS {
        let id = 1_000 + n as RequestId;
        let write = RequestInfo {
            id,
            class: WRITE,
            session: 100 + n,
            give_up_at: rig.now + 2_000 * MS,
            ..RequestInfo::default()
        };
        let out = rig.advance(0, &[Event::Request(write)]);
        assert_eq!(sent_to(&out, id), Some(PRIMARY));
        rig.end_attempt(id, PRIMARY, Outcome::Ok, 10, Role::Primary, 0);
    }
    let read_six_times = |rig: &mut Rig, session, first_id: RequestId| -> Vec<Option<HostId>> {
        let send_read = |id| {
            let read = RequestInfo {
                id,
                class: SESSION_READ,
                session,
                give_up_at: rig.now + 2_000 * MS,
                ..RequestInfo::default()
            };
            let host = sent_to(&rig.advance(0, &[Event::Request(read)]), id);
            if let Some(host) = host {
                rig.end_attempt(id, host, Outcome::Ok, MS, role_of(host), rig.now - before_writes);
            }
            host
        };
        (first_id..first_id + 6).map(send_read).collect()
    };
    // The first session is no longer tracked, so the floor binds it. It also binds a session that never
    // wrote.
    let of_untracked_session = read_six_times(&mut rig, 100, 900_000);
    assert!(none_at_a_replica(&of_untracked_session), "{of_untracked_session:?}");
    let of_session_without_writes = read_six_times(&mut rig, 7, 900_100);
    assert!(none_at_a_replica(&of_session_without_writes), "{of_session_without_writes:?}");
}

/// A proxy that takes over does not know which writes its predecessor answered before its own start. While
/// both run, the other one may answer a write at any moment.
#[test]
fn writes_that_another_process_answered_bind_reads() {
    let mut rig = Rig::new(tracking_settings(LagCheck::Unchecked));
    rig.advance(0, &[Event::Sessions(SessionEvent::Started)]);
    report_replica_positions(&mut rig, MS);
    let hosts = hosts_of_session_reads(&mut rig, 10);
    assert!(none_at_a_replica(&hosts), "the replicas are behind this proxy's start: {hosts:?}");
    report_replica_positions(&mut rig, 0);
    let hosts = hosts_of_session_reads(&mut rig, 20);
    assert!(!none_at_a_replica(&hosts), "{hosts:?}");
    rig.advance(5 * MS, &[Event::Sessions(SessionEvent::OtherProcess(true))]);
    report_replica_positions(&mut rig, 0);
    let hosts = hosts_of_session_reads(&mut rig, 30);
    assert!(none_at_a_replica(&hosts), "the other proxy runs: {hosts:?}");
    rig.advance(5 * MS, &[Event::Sessions(SessionEvent::OtherProcess(false))]);
    let hosts = hosts_of_session_reads(&mut rig, 40);
    assert!(none_at_a_replica(&hosts), "the replicas are behind the other proxy's end: {hosts:?}");
    report_replica_positions(&mut rig, 0);
    let hosts = hosts_of_session_reads(&mut rig, 50);
    assert!(!none_at_a_replica(&hosts), "{hosts:?}");
}

/// The attempt ends when its answer begins to stream; the write commits when the stream ends.
#[test]
fn a_write_with_a_streamed_answer_binds_reads_as_of_the_end_of_the_stream() {
    for commit_reported in [true, false] {
        let mut rig = rig_with_outstanding_write(WRITE);
        rig.advance(0, &[Event::Sessions(SessionEvent::StreamBegins(9))]);
        rig.end_attempt_without_report(1, PRIMARY, Outcome::Ok, 5 * MS);
        rig.advance(10 * MS, &[]);
        report_replica_positions(&mut rig, 0);
        let hosts = hosts_of_session_reads(&mut rig, 10);
        assert!(none_at_a_replica(&hosts), "the answer is being streamed: {hosts:?}");
        rig.advance(
            10 * MS,
            &[Event::Sessions(SessionEvent::StreamEnds(9, commit_reported.then_some(rig.now + 10 * MS)))],
        );
        let hosts = hosts_of_session_reads(&mut rig, 20);
        assert!(none_at_a_replica(&hosts), "the write has committed: {hosts:?}");
        report_replica_positions(&mut rig, 0);
        let hosts = hosts_of_session_reads(&mut rig, 30);
        assert!(!none_at_a_replica(&hosts), "{hosts:?}");
    }
}

/// The clocks of hosts may be ahead of the proxy's, so a commit position that is a little ahead counts as
/// reported. An implausible one must not bind the session's reads for good: the write then binds them as of
/// its end.
#[test]
fn a_commit_ahead_of_the_clock_binds_reads_unless_it_is_implausible() {
    for (ahead, binds) in [(300 * MS, true), (3_600_000 * MS, false)] {
        let mut rig = rig_with_outstanding_write(WRITE);
        rig.now += 5 * MS;
        let note = HostReport { position: Some(rig.now + ahead), role: Some(Role::Primary), in_flight: None };
        let (report, outcome, latency) = (HostReport::default(), Outcome::Ok, 5 * MS);
        let end = AttemptResult {
            id: 1,
            attempt: 0,
            host: PRIMARY,
            outcome,
            latency,
            finished: true,
            note,
            report,
        };
        rig.advance(0, &[Event::Outcome(end)]);
        rig.advance(100 * MS, &[]);
        report_replica_positions(&mut rig, 0);
        let hosts = hosts_of_session_reads(&mut rig, 10);
        assert_eq!(none_at_a_replica(&hosts), binds, "{ahead} us ahead: {hosts:?}");
    }
}
