//! What a read of a session must see where the router remembers the session's writes, and servers answer from what
//! they have. Server 1 is the primary, 2 and 3 are replicas; class 2 reads a session, 4 and 5 write.

mod rig;

use rig::*;
use sillfold::*;

const READ: u8 = 2;
const WRITE: u8 = 4;
const KEYED_WRITE: u8 = 5;
const PRIMARY: HostId = 1;
const REPLICA: HostId = 2;

fn remembering(lag_check: LagCheck) -> Settings {
    Settings { session_tokens: SessionTokens::TrackedByProxy, lag_check, ..settings() }
}

/// Both replicas are known so far behind.
fn replicas_behind(rig: &mut Rig, behind: Micros) {
    rig.receive_probe(REPLICA, Role::Replica, behind);
    rig.receive_probe(3, Role::Replica, behind);
}

/// Replicas that are current, a write that is out, and then replicas that are not.
fn write_out(class: u8) -> Rig {
    let mut rig = Rig::new(remembering(LagCheck::Unchecked));
    replicas_behind(&mut rig, 0);
    let out = rig.send_request(1, class);
    assert_eq!(sent_to(&out, 1), Some(PRIMARY));
    rig
}

/// Where the session's next reads go; each is withdrawn at once.
fn read_goes_to(rig: &mut Rig, first_id: RequestId) -> Vec<Option<HostId>> {
    let ask = |id| {
        let host = sent_to(&rig.send_request(id, READ), id);
        rig.advance(0, &[Event::ClientGone(id)]);
        if let Some(host) = host {
            rig.end_attempt_without_report(id, host, Outcome::NotSent, 0);
        }
        host
    };
    (first_id..first_id + 6).map(ask).collect()
}

/// Held reads go nowhere yet.
fn no_replica(to: &[Option<HostId>]) -> bool {
    to.iter().all(|host| host.is_none_or(|host| host == PRIMARY))
}

#[test]
fn while_a_write_is_out_its_sessions_reads_go_to_the_primary() {
    let mut rig = write_out(WRITE);
    let to = read_goes_to(&mut rig, 10);
    assert!(no_replica(&to), "{to:?}");
    // Another session is not bound.
    let other = RequestInfo {
        id: 30,
        class: READ,
        session: 8,
        give_up_at: rig.now + 2_000 * MS,
        ..RequestInfo::default()
    };
    let out = rig.advance(0, &[Event::Request(other)]);
    assert!(sent_to(&out, 30).is_some_and(|host| host != PRIMARY), "{out:?}");
}

/// Servers that check know of the commit, whoever else does.
#[test]
fn where_servers_check_a_write_that_is_out_binds_no_read() {
    for lag_check in [LagCheck::Reject, LagCheck::Wait(20 * MS)] {
        let mut rig = Rig::new(remembering(lag_check));
        replicas_behind(&mut rig, 0);
        rig.send_request(1, WRITE);
        let to = read_goes_to(&mut rig, 10);
        assert!(to.iter().any(|host| host.is_some_and(|host| host != PRIMARY)), "{to:?}");
    }
}

#[test]
fn a_write_that_ended_without_an_answer_binds_as_of_its_end() {
    for class in [WRITE, KEYED_WRITE] {
        for outcome in [Outcome::Timeout, Outcome::Cancelled, Outcome::Reset, Outcome::Error] {
            let mut rig = write_out(class);
            rig.end_attempt_without_report(1, PRIMARY, outcome, 30 * MS);
            // A keyed write that is sent again is out again.
            rig.advance(0, &[Event::ClientGone(1)]);
            rig.attempts_sent
                .get(&1)
                .filter(|&&n| n > 1)
                .is_some()
                .then(|| rig.end_attempt_without_report(1, PRIMARY, outcome, 0));
            let ended = rig.now;
            replicas_behind(&mut rig, 1);
            let to = read_goes_to(&mut rig, 10);
            assert!(no_replica(&to), "class {class}, {outcome:?}: {to:?}");
            rig.advance(5 * MS, &[]);
            let reached = rig.now - ended;
            replicas_behind(&mut rig, reached);
            let to = read_goes_to(&mut rig, 20);
            assert!(!no_replica(&to), "class {class}, {outcome:?}: a replica has reached it: {to:?}");
        }
    }
}

#[test]
fn a_write_that_never_ran_binds_nothing() {
    for outcome in [Outcome::Overloaded, Outcome::ConnectFailed, Outcome::NotSent, Outcome::Unsuitable] {
        let mut rig = write_out(WRITE);
        rig.advance(0, &[Event::ClientGone(1)]);
        rig.end_attempt_without_report(1, PRIMARY, outcome, 0);
        let to = read_goes_to(&mut rig, 10);
        assert!(!no_replica(&to), "{outcome:?}: {to:?}");
    }
}

/// The client left, the request is closed, and its attempt ends only now.
#[test]
fn a_write_whose_client_left_binds_once_its_attempt_has_ended() {
    let mut rig = write_out(WRITE);
    rig.advance(0, &[Event::ClientGone(1)]);
    let to = read_goes_to(&mut rig, 10);
    assert!(no_replica(&to), "it is out: {to:?}");
    rig.end_attempt_without_report(1, PRIMARY, Outcome::Cancelled, 3 * MS);
    replicas_behind(&mut rig, MS);
    let to = read_goes_to(&mut rig, 20);
    assert!(no_replica(&to), "it may have run: {to:?}");
}

/// Commits are told rounded up to the millisecond, positions rounded down.
#[test]
fn a_replica_at_the_commit_itself_has_it_and_one_a_millisecond_before_has_not() {
    for (short_of, has_it) in [(0, true), (MS, false), (1, false)] {
        let mut rig = write_out(WRITE);
        rig.end_attempt(1, PRIMARY, Outcome::Ok, 20 * MS, Role::Primary, 0);
        let commit = rig.now;
        rig.advance(10 * MS, &[]);
        let behind = rig.now - commit + short_of;
        replicas_behind(&mut rig, behind);
        let to = read_goes_to(&mut rig, 10);
        assert_eq!(!no_replica(&to), has_it, "{short_of} us short of it: {to:?}");
    }
}

/// The read's connection comes up late; meanwhile the session's write begins, or also ends.
#[test]
fn a_read_does_not_begin_at_a_replica_that_misses_what_was_written_since_it_was_chosen() {
    for ended in [false, true] {
        let mut rig = Rig::new(remembering(LagCheck::Unchecked));
        replicas_behind(&mut rig, 0);
        let (read, host) = (10..30)
            .find_map(|id| {
                Some((id, sent_to(&rig.send_request(id, READ), id).filter(|&host| host != PRIMARY)?))
            })
            .expect("a read goes to a replica");
        assert!(rig.router.may_start_attempt(rig.now, read));
        let out = rig.advance(MS, &[request(1, WRITE, rig.now + MS)]);
        assert_eq!(sent_to(&out, 1), Some(PRIMARY));
        if ended {
            rig.end_attempt(1, PRIMARY, Outcome::Ok, 20 * MS, Role::Primary, 0);
        }
        assert!(!rig.router.may_start_attempt(rig.now, read), "the write has ended: {ended}");
        // It is told so, and goes to the primary.
        let out = rig.end_attempt(read, host, Outcome::NotSent, 0, Role::Replica, 0);
        assert_eq!(sent_to(&out, read), Some(PRIMARY), "{out:?}");
        assert!(rig.router.may_start_attempt(rig.now, read));
    }
}

#[test]
fn a_read_s_repeat_sees_what_was_written_since_its_first_attempt() {
    let mut rig = Rig::new(remembering(LagCheck::Unchecked));
    replicas_behind(&mut rig, 0);
    let (read, host) = (10..30)
        .find_map(|id| Some((id, sent_to(&rig.send_request(id, READ), id).filter(|&host| host != PRIMARY)?)))
        .expect("a read goes to a replica");
    rig.advance(0, &[request(1, WRITE, rig.now)]);
    rig.end_attempt(1, PRIMARY, Outcome::Ok, 20 * MS, Role::Primary, 0);
    let out = rig.end_attempt(read, host, Outcome::Error, MS, Role::Replica, 25 * MS);
    assert_eq!(sent_to(&out, read), Some(PRIMARY), "{out:?}");
}

/// The read waits for a primary; what its session writes meanwhile at the new one binds it as it goes out.
#[test]
fn a_held_read_sees_what_was_written_while_it_was_held() {
    let mut rig = write_out(WRITE);
    rig.end_attempt_without_report(1, PRIMARY, Outcome::Ok, 20 * MS);
    let first_commit = rig.now;
    let note = HostReport { position: Some(START), role: Some(Role::Replica), in_flight: None };
    rig.advance(5 * MS, &[Event::PartialAnswer { host: PRIMARY, note }]);
    assert_eq!(sent_to(&rig.send_request(2, READ), 2), None, "no member has what the session wrote");
    rig.send_request(3, WRITE);
    let out = rig.advance(10 * MS, &[Event::Timer(0)]);
    let new_primary = sent_to(&out, 3).expect("it looks for the primary");
    let out = rig.end_attempt(3, new_primary, Outcome::Ok, 20 * MS, Role::Primary, 0);
    let sent = sent_to(&out, 2);
    assert!(sent.is_none_or(|host| host == new_primary), "{out:?}");
    // Another replica has the first write by now, and not the second.
    let other = if new_primary == REPLICA { 3 } else { REPLICA };
    let behind = rig.now - first_commit - MS;
    rig.receive_probe(other, Role::Replica, behind);
    let out = rig.advance(10 * MS, &[Event::Timer(0)]);
    let sent = sent.or(sent_to(&out, 2));
    assert_eq!(sent, Some(new_primary), "{out:?}");
}

/// A bounded read whose connection comes up after the replica has left the bound.
#[test]
fn a_bounded_read_does_not_begin_at_a_replica_that_has_left_the_bound() {
    const BOUNDED: u8 = 1;
    for tokens in [SessionTokens::FromClient, SessionTokens::TrackedByProxy] {
        let mut rig = Rig::new(Settings { session_tokens: tokens, ..remembering(LagCheck::Unchecked) });
        replicas_behind(&mut rig, 100 * MS);
        let (read, host) = (10..30)
            .find_map(|id| {
                Some((id, sent_to(&rig.send_request(id, BOUNDED), id).filter(|&host| host != PRIMARY)?))
            })
            .expect("a read goes to a replica");
        assert!(rig.router.may_start_attempt(rig.now + 200 * MS, read), "on the bound");
        assert!(!rig.router.may_start_attempt(rig.now + 201 * MS, read), "beyond it");
        rig.receive_probe(host, Role::Replica, 0);
        assert!(rig.router.may_start_attempt(rig.now + 201 * MS, read), "it was heard of since");
    }
}

/// A read that was sent to the primary does not begin there once that says that it is none.
#[test]
fn a_read_does_not_begin_at_a_primary_that_handed_over() {
    for class in [READ, 1, 3] {
        let mut rig = Rig::new(remembering(LagCheck::Unchecked));
        rig.send_request(1, WRITE);
        rig.end_attempt_without_report(1, PRIMARY, Outcome::Ok, 5 * MS);
        assert_eq!(sent_to(&rig.send_request(2, class), 2), Some(PRIMARY));
        let note =
            HostReport { position: Some(rig.now - 400 * MS), role: Some(Role::Replica), in_flight: None };
        // Told by an answer whose rest never comes.
        rig.advance(500 * MS, &[Event::PartialAnswer { host: PRIMARY, note }]);
        assert!(!rig.router.may_start_attempt(rig.now, 2), "class {class}");
    }
}

/// What more than the remembered sessions wrote binds all of them: nothing is forgotten that a read must see.
#[test]
fn sessions_that_are_not_remembered_any_more_are_bound_by_the_floor() {
    const SESSIONS: u64 = 50_001;
    let mut rig = Rig::new(remembering(LagCheck::Unchecked));
    replicas_behind(&mut rig, 0);
    let before = rig.now;
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
    let reads = |rig: &mut Rig, session, first: RequestId| -> Vec<Option<HostId>> {
        let ask = |id| {
            let read = RequestInfo {
                id,
                class: READ,
                session,
                give_up_at: rig.now + 2_000 * MS,
                ..RequestInfo::default()
            };
            let host = sent_to(&rig.advance(0, &[Event::Request(read)]), id);
            if let Some(host) = host {
                rig.end_attempt(id, host, Outcome::Ok, MS, role_of(host), rig.now - before);
            }
            host
        };
        (first..first + 6).map(ask).collect()
    };
    // The first session is forgotten, and binds with the floor; one that never wrote is bound as well.
    let first = reads(&mut rig, 100, 900_000);
    assert!(no_replica(&first), "{first:?}");
    let never = reads(&mut rig, 7, 900_100);
    assert!(no_replica(&never), "{never:?}");
}

/// A process that takes over knows nothing of what the one before it has answered, up to its own start; while both run,
/// the other may answer a write at any moment.
#[test]
fn what_another_process_answered_binds_the_reads_of_this_one() {
    let mut rig = Rig::new(remembering(LagCheck::Unchecked));
    rig.advance(0, &[Event::Sessions(SessionEvent::Started)]);
    replicas_behind(&mut rig, MS);
    let to = read_goes_to(&mut rig, 10);
    assert!(no_replica(&to), "behind this one's start: {to:?}");
    replicas_behind(&mut rig, 0);
    let to = read_goes_to(&mut rig, 20);
    assert!(!no_replica(&to), "{to:?}");
    rig.advance(5 * MS, &[Event::Sessions(SessionEvent::OtherProcess(true))]);
    replicas_behind(&mut rig, 0);
    let to = read_goes_to(&mut rig, 30);
    assert!(no_replica(&to), "the other runs: {to:?}");
    rig.advance(5 * MS, &[Event::Sessions(SessionEvent::OtherProcess(false))]);
    let to = read_goes_to(&mut rig, 40);
    assert!(no_replica(&to), "behind the other's end: {to:?}");
    replicas_behind(&mut rig, 0);
    let to = read_goes_to(&mut rig, 50);
    assert!(!no_replica(&to), "{to:?}");
}

/// Its attempt has ended with the beginning of its answer; it commits with the end.
#[test]
fn a_write_whose_answer_is_passed_on_binds_up_to_its_end() {
    for told in [true, false] {
        let mut rig = write_out(WRITE);
        rig.advance(0, &[Event::Sessions(SessionEvent::StreamBegins(9))]);
        rig.end_attempt_without_report(1, PRIMARY, Outcome::Ok, 5 * MS);
        rig.advance(10 * MS, &[]);
        replicas_behind(&mut rig, 0);
        let to = read_goes_to(&mut rig, 10);
        assert!(no_replica(&to), "it is passed on: {to:?}");
        rig.advance(
            10 * MS,
            &[Event::Sessions(SessionEvent::StreamEnds(9, told.then_some(rig.now + 10 * MS)))],
        );
        let to = read_goes_to(&mut rig, 20);
        assert!(no_replica(&to), "it has committed: {to:?}");
        replicas_behind(&mut rig, 0);
        let to = read_goes_to(&mut rig, 30);
        assert!(!no_replica(&to), "{to:?}");
    }
}

/// Clocks of servers may be ahead; a position that makes no sense must not bind for good.
#[test]
fn a_commit_ahead_of_the_clock_binds_as_told_and_one_beyond_belief_as_of_its_end() {
    for (ahead, binds) in [(300 * MS, true), (3_600_000 * MS, false)] {
        let mut rig = write_out(WRITE);
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
        replicas_behind(&mut rig, 0);
        let to = read_goes_to(&mut rig, 10);
        assert_eq!(no_replica(&to), binds, "{ahead} us ahead: {to:?}");
    }
}
