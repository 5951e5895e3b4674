//! The time of a long statement begins with its last byte, once, whatever its request waits for: a host, a connection, or a
//! host that reads slowly. A client that leaves meanwhile, or writes slowly, costs nobody else.

mod rig;
mod support;

use rig::{MS, Rig, request, sent_to};
use sillfold::upload_clock::UploadClock;
use sillfold::{Event, Outcome, Role};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The class of writes with a key, in the rig's settings.
const KEYED_WRITE: u8 = 5;
/// Longer than what is held whole.
const LONG_VALUE_BYTES: usize = 200 * 1024;
/// How much more time than is left may be announced to a host.
const ANNOUNCED_SLACK_MS: u64 = 150;
/// An answer is final this long after its request's time at the latest.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

fn long_write(id: &str, deadline: Duration) -> Vec<u8> {
    let value = "7f".repeat(LONG_VALUE_BYTES / 2);
    query(&format!(
        "/* id={id},c=ingest,d={},k={id},cluster=3 */ INSERT INTO entries VALUES ('7f', '{value}')",
        deadline.as_millis()
    ))
}

/// The remaining time that a statement announces, in milliseconds.
fn announced_ms(statement: &str) -> u64 {
    let value = statement.split(",d=").nth(1).and_then(|rest| rest.split(',').next());
    value.and_then(|ms| ms.parse().ok()).expect("a time")
}

/// Guards against a long statement whose time begins anew when its connection is open: its host is told all of it, and the
/// client hears the end too late.
#[test]
fn the_time_of_a_long_write_that_waited_for_its_connection_is_not_counted_anew() {
    let (deadline, wait) = (Duration::from_millis(1_400), Duration::from_millis(700));
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start_with(&[&host], 1024, |c| c.replace("1500000", "1300000"));
    host.hold_sessions();
    let mut client = proxy.client();
    client.send(&long_write("late", deadline));
    let sent = Instant::now();
    thread::sleep(wait);
    host.release_sessions();
    let announced = announced_ms(&host.next_query());
    let left = deadline.saturating_sub(wait).as_millis() as u64;
    assert!(announced <= left + ANNOUNCED_SLACK_MS, "{announced} ms announced, {left} ms left");
    assert_eq!(client.answer().code, "40003");
    let answered = sent.elapsed();
    assert!(answered < deadline + ANSWER_GRACE, "answered after {answered:?}");
}

/// Guards against a time that begins before the last byte of a client that writes slowly.
#[test]
fn the_time_of_a_long_write_begins_with_its_last_byte() {
    let (deadline, pause) = (Duration::from_millis(1_000), Duration::from_millis(700));
    let (reply, pieces) = Reply::streamed();
    let host = Host::start(move |_, _| reply.clone());
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let statement = long_write("slow", deadline);
    let (first, second) = statement.split_at(statement.len() / 2);
    client.send(first);
    thread::sleep(pause);
    client.send(second);
    assert_eq!(announced_ms(&host.next_query()), deadline.as_millis() as u64);
    thread::sleep(pause);
    pieces.send(row("stored")).expect("the host waits");
    drop(pieces);
    assert_eq!(client.answer().value.as_deref(), Some("stored"));
}

/// Guards against a long write that begins at its host for a client that left while the connection came up.
#[test]
fn a_long_write_whose_client_left_before_the_connection_was_open_never_begins() {
    let host = Host::start(|_, _| Reply::Row("stored"));
    let proxy = Proxy::with_console(&[&host], 1024);
    host.hold_sessions();
    let mut client = proxy.client();
    client.send(&long_write("gone", Duration::from_secs(5)));
    assert_eq!(host.next_event(), HostEvent::Opened);
    thread::sleep(Duration::from_millis(100));
    drop(client);
    thread::sleep(Duration::from_millis(150));
    host.release_sessions();
    let answer = proxy
        .client()
        .query("/* id=next,c=ingest,d=5000,k=1,cluster=3 */ INSERT INTO entries VALUES ('1', '1')");
    assert_eq!(answer.value.as_deref(), Some("stored"));
    assert!(host.next_query().contains("id=next"), "the write of the client that left was sent");
}

/// Guards against a client that stays connected and never ends its statement: it may be the first to look for a new primary,
/// and no other write was sent until its last byte.
#[test]
fn a_write_that_is_still_being_sent_holds_up_no_search_for_the_primary() {
    let mut rig = Rig::new(rig::settings());
    // The primary says that it is none any more, and the client of this write leaves.
    let primary = sent_to(&rig.send_request(1, KEYED_WRITE), 1).expect("a write is sent to the primary");
    rig.end_attempt(1, primary, Outcome::Unsuitable, MS, Role::Replica, 0);
    rig.advance(0, &[Event::ClientGone(1)]);
    let Event::Request(long) = request(2, KEYED_WRITE, rig.now) else { panic!("a request") };
    let mut actions = rig.advance(MS, &[Event::RequestHead(long)]);
    actions.extend((0..20).flat_map(|_| rig.advance(10 * MS, &[])));
    assert!(sent_to(&actions, 2).is_some(), "the long write is the only one, so it searches");
    let mut actions = rig.send_request(3, KEYED_WRITE);
    actions.extend((0..100).flat_map(|_| rig.advance(10 * MS, &[])));
    assert!(sent_to(&actions, 3).is_some(), "the small write waits for the long one's last byte");
}

/// What is seen of a statement's bytes, and since when its client may have written the last one, in milliseconds.
#[test]
fn the_last_byte_is_never_taken_for_later_than_it_was_written() {
    let begin = Instant::now();
    let at = |ms| begin + Duration::from_millis(ms);
    let last_byte_ms = |clock: &UploadClock| clock.last_byte_at().duration_since(begin).as_millis();
    // Held for 700 ms with all bytes waiting: written at once. A short wait is only their way.
    let mut clock = UploadClock::new(begin);
    clock.look(at(700), true);
    assert_eq!(last_byte_ms(&clock), 0);
    clock.look(at(701), false);
    clock.received_after_wait(at(703));
    assert!(last_byte_ms(&clock) <= 3);
    // A long wait shows that the client had written nothing.
    clock.look(at(704), false);
    clock.received_after_wait(at(1_000));
    assert_eq!(last_byte_ms(&clock), 1_000);
    // Read as it comes, in short waits: each counts.
    for ms in (1_000..2_000).step_by(10) {
        clock.look(at(ms), false);
        clock.received_after_wait(at(ms + 9));
    }
    assert!(last_byte_ms(&clock) >= 1_990);
    // Its host reads slowly, and bytes wait meanwhile.
    clock.look(at(2_400), true);
    clock.look(at(2_800), true);
    clock.look(at(2_801), false);
    clock.received_after_wait(at(2_802));
    assert!((1_990..=2_010).contains(&last_byte_ms(&clock)));
}
