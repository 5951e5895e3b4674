//! The watch of the list among agents that fall silent, answer half, or come back: a story for each.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};
use support::*;

/// What a silent watch misses counts as told 6 s after it fell silent, and half a second later nothing new may go to
/// a host that drains.
const TOLD: Duration = Duration::from_secs(6);

fn served(value: &'static str) -> Host {
    Host::start(move |_, _| Reply::Row(value))
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_before_what_it_misses_counts_as_told() {
    let (old, new) = (served("old"), served("new"));
    let proxy = Proxy::start(&[&old], 1024);
    assert!(proxy.agent.next_request().contains("index=41 "));
    let silent = Instant::now();
    proxy.agent.silence_watches();
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(&list(42, true, &[(&new, "SERVING")]));
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=42 "));
    assert!(silent.elapsed() < TOLD - Duration::from_millis(500), "{:?}", silent.elapsed());
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("new"));
}

/// Down, discovery takes calls and says nothing; it may be back the moment after.
#[test]
fn a_call_without_an_answer_is_given_up_and_made_again() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 1024);
    proxy.agent.next_request();
    let next = Agent::scripted(&[Call::NoAnswer, Call::Refuse, Call::NoAnswer]);
    let asked = Instant::now();
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    for _ in 0..4 {
        assert!(next.next_request().contains("stream=1&index=41 "));
    }
    assert!(asked.elapsed() < TOLD - Duration::from_millis(500), "{:?}", asked.elapsed());
}

/// A new configuration comes while a call is out that nobody answers.
#[test]
fn a_reload_leaves_a_call_that_is_out_at_once() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 1024);
    proxy.agent.next_request();
    let silent = Agent::scripted(&vec![Call::NoAnswer; 100]);
    proxy.reload(&proxy.agent.address.to_string(), &silent.address.to_string());
    silent.next_request();
    let (moved, next) = (Instant::now(), Agent::start());
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    assert!(next.next_request().contains("stream=1&index=41 "));
    assert!(moved.elapsed() < Duration::from_millis(900), "{:?}", moved.elapsed());
}

/// Bytes come all the time, and never the end of a line.
#[test]
fn a_line_that_goes_on_and_on_is_a_silent_watch() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 1024);
    proxy.agent.next_request();
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n".to_vec();
    let next = Agent::scripted(&[Call::Bytes(head)]);
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    next.next_request();
    let begun = Instant::now();
    let again = loop {
        let _ = next.write_raw(b" ");
        if let Some(asked) = next.next_request_within(Duration::from_millis(50)) {
            break asked;
        }
        assert!(begun.elapsed() < TEST_TIMEOUT, "the watch is kept");
    };
    assert!(again.contains("stream=1&index=41 "));
    assert!(begun.elapsed() < TOLD - Duration::from_millis(500), "{:?}", begun.elapsed());
}

#[test]
fn a_list_that_comes_indented_over_many_lines_is_taken() {
    let (old, new) = (served("old"), served("new"));
    let proxy = Proxy::start(&[&old], 1024);
    proxy.agent.next_request();
    // Braces and quotes in a name are no end of anything.
    let flat = list(42, true, &[(&new, "SERVING")]).replace("\"type\":\"m\"", "\"type\":\"m}\\\"{\"");
    let value: serde_json::Value = serde_json::from_str(&flat).expect("JSON");
    proxy.agent.send_line(&serde_json::to_string_pretty(&value).expect("JSON"));
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=42 "));
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("new"));
}

/// Half a message, then whole ones: what it said is asked for again, once. Always bad, it does not keep out the rest.
#[test]
fn a_torn_message_is_asked_for_again_and_keeps_nothing_out() {
    let (old, new) = (served("old"), served("new"));
    let proxy = Proxy::start(&[&old], 1024);
    assert!(proxy.agent.next_request().contains("index=41 "));
    let whole = list(42, false, &[(&old, "DRAINING"), (&new, "SERVING")]);
    let torn = &whole[..whole.len() / 2];
    proxy.agent.send_line(torn);
    // The line behind it ends it.
    proxy.agent.send_line(&list(43, false, &[(&new, "SERVING")]));
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(torn);
    proxy.agent.send_line(&list(43, false, &[(&new, "SERVING")]));
    proxy.agent.end_watch();
    // What is behind it has been taken, and is no reason to take the torn one for heard.
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(&whole);
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=42 "));
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("new"));
}

/// Over HTTP an answer may have no length: its end is the end of the connection, and a reset is none.
#[test]
fn an_answer_without_a_length_that_is_reset_is_no_list() {
    let (old, new) = (served("old"), served("new"));
    let answer = |host: &Host| {
        let text = list(42, true, &[(host, "SERVING")]);
        [b"HTTP/1.1 200 OK\r\n\r\n".as_slice(), text.as_bytes()].concat()
    };
    let proxy = Proxy::start(&[&old], 1024);
    proxy.agent.next_request();
    // Its version is no more known there: the whole list is asked for.
    let unknown = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n".to_vec();
    let next = Agent::scripted(&[Call::Bytes(unknown), Call::Reset(answer(&new)), Call::Refuse]);
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    assert!(next.next_request().contains("stream=1&index=41 "));
    for _ in 0..3 {
        assert!(next.next_request().ends_with("GET /registry/instances HTTP/1.1"));
    }
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("old"));
}

/// Clients that rest fill all their places while discovery is down, and the machine holds the program to its limit.
#[test]
fn a_watch_and_hosts_get_their_descriptors_beside_clients_that_fill_theirs() {
    let (old, new) = (served("old"), served("new"));
    let proxy = Proxy::start(&[&old], 96);
    proxy.agent.next_request();
    let next = Agent::scripted(&vec![Call::NoAnswer; 1_000]);
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    next.next_request();
    let crowd: Vec<Client> = (0..39).map(|_| proxy.client()).collect();
    // Further ones are refused, or take a place from another: some connections are in the middle of their close.
    let others: Vec<Client> = (0..60).map(|_| Client::connect(proxy.address)).collect();
    let back = Agent::start();
    let returned = Instant::now();
    proxy.reload(&proxy.agent.address.to_string(), &back.address.to_string());
    assert!(back.next_request().contains("stream=1&index=41 "));
    back.send_line(&list(42, true, &[(&new, "SERVING")]));
    back.end_watch();
    assert!(back.next_request().contains("stream=1&index=42 "));
    assert!(returned.elapsed() < Duration::from_millis(900), "{:?}", returned.elapsed());
    // A newcomer has a place once one of those that are silent has made way.
    let served = (0..).find_map(|id| {
        let mut client = Client::connect(proxy.address);
        let both = [startup(), query(&read(&format!("{id}"), "history", 9000))].concat();
        let sent = client.stream.write_all(&both).is_ok() && client.answer().end == End::Ready;
        let value = sent.then(|| client.answer().value).flatten();
        assert!(value.is_some() || returned.elapsed() < TEST_TIMEOUT, "no newcomer is served");
        value
    });
    assert_eq!(served.as_deref(), Some("new"));
    drop((crowd, others));
}
