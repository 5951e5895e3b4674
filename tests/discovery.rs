//! The watch of the list with agents that fall silent, send incomplete answers, or return.

mod support;

use std::io::Write;
use std::time::{Duration, Instant};
use support::*;

/// 6 s after its watch has fallen silent a proxy counts as notified of what it missed. Half a second later no new request may
/// go to a host that drains.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

/// A host that answers every statement with this value.
fn host_with_value(value: &'static str) -> Host {
    Host::start(move |_, _| Reply::Row(value))
}

#[test]
fn a_silent_watch_is_reopened_before_the_proxy_counts_as_notified() {
    let (old, new) = (host_with_value("old"), host_with_value("new"));
    let proxy = Proxy::start(&[&old], 1024);
    assert!(proxy.agent.next_request().contains("index=41 "));
    let silent = Instant::now();
    proxy.agent.silence_watches();
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(&list(42, true, &[(&new, "SERVING")]));
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=42 "));
    assert!(silent.elapsed() < NOTIFIED_AFTER - Duration::from_millis(500), "{:?}", silent.elapsed());
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("new"));
}

/// While it is down, discovery accepts calls and does not answer. It may return at any moment.
#[test]
fn an_unanswered_call_is_given_up_and_made_again() {
    let host = host_with_value("v");
    let proxy = Proxy::start(&[&host], 1024);
    proxy.agent.next_request();
    let next = Agent::scripted(&[Call::NoAnswer, Call::Refuse, Call::NoAnswer]);
    let started = Instant::now();
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    for _ in 0..4 {
        assert!(next.next_request().contains("stream=1&index=41 "));
    }
    assert!(started.elapsed() < NOTIFIED_AFTER - Duration::from_millis(500), "{:?}", started.elapsed());
}

/// The configuration is reloaded while a call is unanswered.
#[test]
fn a_reload_gives_up_an_unanswered_call_at_once() {
    let host = host_with_value("v");
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

/// Bytes arrive all the time, but no line ends.
#[test]
fn a_line_that_never_ends_counts_as_a_silent_watch() {
    let host = host_with_value("v");
    let proxy = Proxy::start(&[&host], 1024);
    proxy.agent.next_request();
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n".to_vec();
    let next = Agent::scripted(&[Call::Bytes(head)]);
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    next.next_request();
    let started = Instant::now();
    let again = loop {
        let _ = next.write_raw(b" ");
        if let Some(asked) = next.next_request_within(Duration::from_millis(50)) {
            break asked;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "the watch is not reopened");
    };
    assert!(again.contains("stream=1&index=41 "));
    assert!(started.elapsed() < NOTIFIED_AFTER - Duration::from_millis(500), "{:?}", started.elapsed());
}

#[test]
fn a_list_as_indented_json_is_applied() {
    let (old, new) = (host_with_value("old"), host_with_value("new"));
    let proxy = Proxy::start(&[&old], 1024);
    proxy.agent.next_request();
    // Braces and quotes inside a string do not end the message.
    let flat = list(42, true, &[(&new, "SERVING")]).replace("\"type\":\"m\"", "\"type\":\"m}\\\"{\"");
    let value: serde_json::Value = serde_json::from_str(&flat).expect("JSON");
    proxy.agent.send_line(&serde_json::to_string_pretty(&value).expect("JSON"));
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=42 "));
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("new"));
}

/// An incomplete message, then complete ones. The proxy reopens the watch once to receive the incomplete one again. If it is
/// incomplete again, the messages after it are still applied.
#[test]
fn an_incomplete_message_is_requested_again_and_does_not_block_later_ones() {
    let (old, new) = (host_with_value("old"), host_with_value("new"));
    let proxy = Proxy::start(&[&old], 1024);
    assert!(proxy.agent.next_request().contains("index=41 "));
    let whole = list(42, false, &[(&old, "DRAINING"), (&new, "SERVING")]);
    let incomplete = &whole[..whole.len() / 2];
    proxy.agent.send_line(incomplete);
    // The next message shows that the one before it is incomplete.
    proxy.agent.send_line(&list(43, false, &[(&new, "SERVING")]));
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(incomplete);
    proxy.agent.send_line(&list(43, false, &[(&new, "SERVING")]));
    proxy.agent.end_watch();
    // The message after it is applied, but the index does not advance past the incomplete one.
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(&whole);
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=42 "));
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("new"));
}

/// An HTTP answer without a length ends with the connection. A reset does not end it.
#[test]
fn an_answer_without_a_length_that_is_reset_is_not_applied() {
    let (old, new) = (host_with_value("old"), host_with_value("new"));
    let answer = |host: &Host| {
        let text = list(42, true, &[(host, "SERVING")]);
        [b"HTTP/1.1 200 OK\r\n\r\n".as_slice(), text.as_bytes()].concat()
    };
    let proxy = Proxy::start(&[&old], 1024);
    proxy.agent.next_request();
    // This agent does not know the index any more, so the whole list is requested.
    let unknown = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n".to_vec();
    let next = Agent::scripted(&[Call::Bytes(unknown), Call::Reset(answer(&new)), Call::Refuse]);
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    assert!(next.next_request().contains("stream=1&index=41 "));
    for _ in 0..3 {
        assert!(next.next_request().ends_with("GET /registry/instances HTTP/1.1"));
    }
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("old"));
}

/// Idle clients fill their share of the descriptors while discovery is down. The machine enforces the limit.
#[test]
fn discovery_and_hosts_get_descriptors_while_clients_fill_their_share() {
    let (old, new) = (host_with_value("old"), host_with_value("new"));
    let proxy = Proxy::start(&[&old], 96);
    proxy.agent.next_request();
    let next = Agent::scripted(&vec![Call::NoAnswer; 1_000]);
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    next.next_request();
    let idle_clients: Vec<Client> = (0..39).map(|_| proxy.client()).collect();
    // Further clients are refused or replace another one, so that some connections are being closed.
    let others: Vec<Client> = (0..60).map(|_| Client::connect(proxy.address)).collect();
    let back = Agent::start();
    let returned = Instant::now();
    proxy.reload(&proxy.agent.address.to_string(), &back.address.to_string());
    assert!(back.next_request().contains("stream=1&index=41 "));
    back.send_line(&list(42, true, &[(&new, "SERVING")]));
    back.end_watch();
    assert!(back.next_request().contains("stream=1&index=42 "));
    assert!(returned.elapsed() < Duration::from_millis(900), "{:?}", returned.elapsed());
    // A new client is accepted once one of the silent clients has been closed.
    let served = (0..).find_map(|id| {
        let mut client = Client::connect(proxy.address);
        let both = [startup(), query(&read(&format!("{id}"), "history", 9000))].concat();
        let sent = client.stream.write_all(&both).is_ok() && client.answer().end == End::Ready;
        let value = sent.then(|| client.answer().value).flatten();
        assert!(value.is_some() || returned.elapsed() < TEST_TIMEOUT, "no new client is served");
        value
    });
    assert_eq!(served.as_deref(), Some("new"));
    drop((idle_clients, others));
}
