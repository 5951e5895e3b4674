//! Tests of the program with scripted hosts, clients and discovery: one for each failure that has occurred or is guarded
//! against.

mod support;

use std::io::{Read, Write};
use std::time::Instant;
use support::*;

fn host_serving(value: &'static str) -> Host {
    Host::start(move |_, _| Reply::Row(value))
}

#[test]
fn a_request_is_forwarded_unchanged_except_for_its_patience() {
    let host = host_serving("v\u{1}1");
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = Client::connect(proxy.address);
    let text = "/* id=9b1f03aa,c=ingest,d=7000,k=5c0f6e1a,cluster=3 */ INSERT INTO entries (ref, payload) \
                VALUES ('7f', '\\x9f03') RETURNING payload";
    client.send(&[startup(), query(text)].concat());
    assert_eq!(client.answer().end, End::Ready);
    let answer = client.answer();
    assert_eq!((answer.value.as_deref(), answer.end), (Some("v\u{1}1"), End::Ready));
    let forwarded = host.next_query();
    let (before, rest) = forwarded.split_once(",d=").expect("a patience");
    let (patience, after) = rest.split_once(',').expect("more");
    assert_eq!(format!("{before},d=7000,{after}"), text);
    assert!((1..7000).contains(&patience.parse().expect("a number")), "{patience}");
}

#[test]
fn a_host_connection_is_reused_and_a_closed_one_is_not_written_to() {
    // The second answer is followed by the end of the connection.
    let host = Host::start(|n, _| if n == 1 { Reply::Close(row("v")) } else { Reply::Row("v") });
    // With one attempt per request, a request that was written to a closed connection could not be retried.
    let one_attempt = |config: String| config.replace("\"mostTries\":10", "\"mostTries\":1");
    let proxy = Proxy::start_with(&[&host], 1024, one_attempt);
    let mut client = proxy.client();
    for id in ["1", "2"] {
        assert_eq!(client.query(&read(id, "history", 9000)).value.as_deref(), Some("v"));
    }
    assert_eq!(host.next_event(), HostEvent::Opened);
    assert!(matches!((host.next_event(), host.next_event()), (HostEvent::Query(_), HostEvent::Query(_))));
    assert_eq!(host.next_event(), HostEvent::Closed);
    assert_eq!(client.query(&read("3", "history", 9000)).value.as_deref(), Some("v"));
    assert_eq!(host.next_event(), HostEvent::Opened);
}

#[test]
fn a_malformed_answer_closes_its_connection_and_a_retry_serves() {
    let malformed = message(b'T', b"\0\x05");
    let host =
        Host::start(move |n, _| if n == 0 { Reply::Bytes(malformed.clone()) } else { Reply::Row("v") });
    let proxy = Proxy::start(&[&host], 1024);
    let answer = proxy.client().query(&read("1", "history", 9000));
    assert_eq!(answer.value.as_deref(), Some("v"), "{answer:?}");
    while host.next_event() != HostEvent::Closed {}
}

#[test]
fn invalid_answers_end_their_attempt_and_bytes_behind_an_answer_are_not_used() {
    let long_row = [b"D".as_slice(), &100_000u32.to_be_bytes(), b"\0\x01\0\0\0\x01v"].concat();
    let huge_row = [b"D".as_slice(), &3_000_000_000u32.to_be_bytes(), b"\0\x01", &[b'v'; 4096]].concat();
    let endless = [b"C".as_slice(), &100_000u32.to_be_bytes(), b"SELECT"].concat();
    let good = row("good");
    let until_ready = good[..good.len() - 6].to_vec();
    // The answer to the first attempt of each request; the second attempt gets a valid row.
    let first_answers = vec![
        ("1", long_row),
        ("2", huge_row),
        ("3", endless),
        ("4", [good.clone(), row("stale")].concat()),
        ("5", [good, b"noise".to_vec()].concat()),
        ("6", [until_ready, b"noise".to_vec()].concat()),
    ];
    let attempted = std::sync::Mutex::new(std::collections::HashSet::new());
    let script = first_answers.clone();
    let host = Host::start(move |_, text| {
        let first = script.iter().find(|(id, _)| text.contains(&format!("id={id},")));
        match first.filter(|(id, _)| attempted.lock().expect("lock").insert(*id)) {
            Some((_, bytes)) => Reply::Bytes(bytes.clone()),
            None if text == "SHOW usage" => Reply::Row("x0=\u{fffd}9,x1,util=nan"),
            None => Reply::Row("v"),
        }
    });
    let probes = |config: String| config.replace("\"cancel\":true", "\"cancel\":true,\"mayProbe\":true");
    let proxy = Proxy::start_with(&[&host], 1024, probes);
    let mut client = proxy.client();
    for (id, _) in &first_answers {
        let answer = client.query(&read(id, "history", 9000));
        let expected = if *id < "4" { "v" } else { "good" };
        assert_eq!(answer.value.as_deref(), Some(expected), "{id}: {answer:?}");
        let next = client.query(&read(&format!("{id}b"), "history", 9000));
        assert_eq!(next.value.as_deref(), Some("v"), "after {id}: {next:?}");
    }
}

#[test]
fn a_statement_that_the_host_rejects_is_not_retried_and_its_client_gets_the_error() {
    let host = Host::start(|n, _| if n == 0 { Reply::Error("42601") } else { Reply::Row("v") });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    assert_eq!(client.query(&read("1", "history", 9000)).code, "42601");
    assert_eq!(client.query(&read("2", "history", 9000)).value.as_deref(), Some("v"));
}

#[test]
fn the_memory_of_replaced_hosts_is_freed() {
    let proxy = Proxy::start_with(&[], 1024, |config| config.replace("\"coldUs\":15000000", "\"coldUs\":1"));
    proxy.agent.next_request();
    let entry = |i: usize, status: &str| {
        format!(r#"{{"name":"h-{i:032}","address":"127.0.0.1:9","group":3,"status":"{status}"}}"#)
    };
    const BATCH: usize = 500;
    let replace = |round: usize| {
        let old = (round.saturating_sub(1) * BATCH..round * BATCH).map(|i| entry(i, "DELETED"));
        let new = (round * BATCH..(round + 1) * BATCH).map(|i| entry(i, "SERVING"));
        let all: Vec<String> = old.chain(new).collect();
        let index = 42 + round;
        proxy
            .agent
            .send_line(&format!(r#"{{"index":{index},"snapshot":false,"endpoints":[{}]}}"#, all.join(",")));
    };
    let memory_after = |rounds: std::ops::Range<usize>| {
        let index = 41 + rounds.end;
        rounds.for_each(replace);
        proxy.agent.end_watch();
        assert!(proxy.agent.next_request().contains(&format!("index={index} ")));
        proxy.memory_kb()
    };
    // Three parts of the proxy store hosts. 40,000 more hosts would take 3 MB in any one of them.
    let (early, late) = (memory_after(0..20), memory_after(20..100));
    assert!(late < early + 2_000, "{early} KB, then {late} KB");
}

#[test]
fn a_read_that_was_rejected_or_failed_is_retried_on_the_same_connection() {
    let host =
        Host::start(|n, _| ["72000", "53300", "XX000"].get(n).map_or(Reply::Row("v"), |c| Reply::Error(c)));
    let proxy = Proxy::start(&[&host], 1024);
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    assert_eq!(host.next_event(), HostEvent::Opened);
    for _ in 0..4 {
        assert!(matches!(host.next_event(), HostEvent::Query(_)));
    }
}

#[test]
fn a_read_is_refused_and_its_attempt_closed_when_its_time_is_over() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let sent = Instant::now();
    // The class has no worth after its latency target, though the client would wait for 60 s.
    let answer = client.query(&read("1", "browse", 60_000));
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready));
    assert!(answer.detail.is_some_and(|d| d.parse::<u64>().is_ok_and(|ms| ms > 0)));
    assert!(sent.elapsed() < TEST_TIMEOUT);
    assert_eq!(host.next_event(), HostEvent::Opened);
    assert!(matches!(host.next_event(), HostEvent::Query(_)));
    assert_eq!(host.next_event(), HostEvent::Closed);
}

#[test]
fn a_write_that_may_have_run_is_retried_with_its_key_inside_its_window() {
    let host = Host::start(|n, _| if n == 0 { Reply::Close(vec![]) } else { Reply::Row("v") });
    let proxy = Proxy::start(&[&host], 1024);
    let text = "/* id=1,c=ingest,d=9000,k=5c0f,cluster=3 */ INSERT INTO entries VALUES ('7f', '1')";
    assert_eq!(proxy.client().query(text).value.as_deref(), Some("v"));
    for attempt in [host.next_query(), host.next_query()] {
        assert!(attempt.contains("id=1,") && attempt.contains("k=5c0f,"), "{attempt}");
    }
}

#[test]
fn a_write_without_a_connection_is_refused_since_it_did_not_run() {
    let host = Host::without_sessions();
    let proxy = Proxy::start(&[&host], 1024);
    // The request's deadline is before the dial's timeout.
    let text = "/* id=1,c=ingest,d=1000,k=5c0f,cluster=3 */ INSERT INTO entries VALUES ('7f', '1')";
    let answer = proxy.client().query(text);
    assert_eq!((host.next_event(), answer.code.as_str()), (HostEvent::Opened, "53300"));
}

/// Guards against an unreachable host that is dialled again and again, because no read waits for half of the dial timeout.
/// Of 40 reads, only the first one or two may fail on it.
#[test]
fn a_dial_that_ends_with_a_short_read_marks_its_host_as_unreachable() {
    let (first, mute, good) = (host_serving("v"), Host::without_sessions(), host_serving("v"));
    let proxy = Proxy::start(&[&first, &mute, &good], 1024);
    let mut client = proxy.client();
    let answers = (0..40).map(|n| client.query(&read(&format!("{n}"), "browse", 700)).value);
    let unserved = answers.filter(Option::is_none).count();
    assert!(unserved <= 2, "{unserved} of 40");
}

#[test]
fn an_attempt_is_withdrawn_when_its_client_closes() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    host.next_query();
    let disconnected = Instant::now();
    drop(client);
    assert_eq!(host.next_event(), HostEvent::Closed);
    assert!(
        disconnected.elapsed() < TEST_TIMEOUT / 2,
        "the attempt ended at its deadline, not with its client"
    );
}

#[test]
fn invalid_requests_get_an_error_that_names_the_reason() {
    let host = host_serving("v");
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = Client::connect(proxy.address);
    // TLS and GSSAPI are declined, and the session goes on unencrypted.
    for code in [80_877_103u32, 80_877_104] {
        client.send(&[8u32.to_be_bytes(), code.to_be_bytes()].concat());
        let mut declined = [0];
        client.stream.read_exact(&mut declined).expect("an answer");
        assert_eq!(&declined, b"N");
    }
    client.send(&startup());
    assert_eq!(client.answer().end, End::Ready);
    for (text, code, reason) in [
        ("SELECT 1", "42601", "comment"),
        ("/* id=1,c=browse,d=soon,cluster=3 */ SELECT 1", "42601", "soon"),
        ("/* id=1,c=order,d=90,cluster=3 */ SELECT 1", "42704", "order"),
        ("/* id=1,c=browse,d=90,cluster=8 */ SELECT 1", "42704", "group 8"),
    ] {
        let answer = client.query(text);
        assert_eq!((answer.code.as_str(), answer.end), (code, End::Ready), "{text}");
        assert!(answer.message.contains(reason), "{}", answer.message);
    }
    // There is one error for all messages up to the Sync.
    client.send(
        &[message(b'P', b"\0SELECT 1\0\0\0"), message(b'E', b"\0\0\0\0\0"), message(b'S', b"")].concat(),
    );
    assert_eq!(client.answer().code, "0A000");
    assert_eq!(client.query(&read("2", "history", 9000)).value.as_deref(), Some("v"));
    // A message that is too long and one of an unknown type end the connection.
    for bytes in [&b"Q\x7f\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n"] {
        let mut client = proxy.client();
        client.send(bytes);
        let answer = client.answer();
        assert_eq!((answer.code.as_str(), answer.end), ("08P01", End::Closed));
    }
}

/// The slots for clients with 96 descriptors.
const CLIENT_SLOTS: usize = 39;

#[test]
fn a_client_beyond_the_limit_is_refused_at_once_and_a_freed_slot_is_reused() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start(&[&host], 96);
    proxy.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    let mut clients: Vec<Client> = (0..CLIENT_SLOTS).map(|_| proxy.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        // A client that sent a message just now, or has an open request, keeps its slot.
        assert!(client.query("").empty);
        client.send(&query(&read(&format!("b{i}"), "ingest", 20_000)));
    }
    // The refusal comes without any message of the client.
    let answer = Client::connect(proxy.address).answer();
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Closed));
    // The proxy handles this disconnect before it accepts the next client: the client sees the connection end.
    let last = clients.pop().expect("some");
    last.stream.shutdown(std::net::Shutdown::Write).expect("open");
    assert_eq!(Client { stream: last.stream }.answer().end, End::Closed);
    assert!(proxy.client().query("").empty);
}

#[test]
fn idle_clients_are_evicted_for_clients_with_requests() {
    let host = host_serving("v");
    let proxy = Proxy::start(&[&host], 96);
    // Discovery has sent a list, so nothing waits for it.
    proxy.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    // One client never opens a session. The others do, and send only an empty query and an invalid statement.
    let silent = |i: usize| {
        let opens = i > 0;
        let mut client = if opens { proxy.client() } else { Client::connect(proxy.address) };
        assert!(!opens || (client.query("").empty && client.query("*").code == "42601"));
        client
    };
    let silent: Vec<Client> = (0..CLIENT_SLOTS).map(silent).collect();
    let mut asking = [proxy.client(), proxy.client()];
    for (client, id) in asking.iter_mut().zip(["1", "1b"]) {
        assert_eq!(client.query(&read(id, "history", 9000)).value.as_deref(), Some("v"));
    }
    for mut client in silent {
        assert_eq!(client.answer().end, End::Closed);
    }
    let ask_once = |id: usize| {
        let mut client = Client::connect(proxy.address);
        // A refused connection may be closed before the client has written this.
        let _ =
            client.stream.write_all(&[startup(), query(&read(&format!("{id}"), "history", 9000))].concat());
        (client.answer().end == End::Ready).then(|| (client.answer().value, client))
    };
    let mut served = Vec::new();
    let started = Instant::now();
    // Clients that are refused meanwhile try again, since others may stay idle for 2 s.
    for id in 2.. {
        served.extend(ask_once(id));
        assert!(started.elapsed() < TEST_TIMEOUT, "{} served", served.len());
        if served.len() > CLIENT_SLOTS {
            break;
        }
    }
    assert!(served.iter().all(|(value, _)| value.as_deref() == Some("v")));
}

#[test]
fn many_clients_that_keep_idle_connections_are_served_without_long_waits() {
    let host = host_serving("v");
    let proxy = Proxy::start(&[&host], 96);
    let mut open = std::collections::VecDeque::new();
    let started = Instant::now();
    for id in 0..100 {
        if open.len() == 12 {
            let mut oldest: Client = open.pop_front().expect("some");
            assert_eq!(oldest.answer().end, End::Closed);
        }
        let mut client = proxy.client();
        assert_eq!(client.query(&read(&format!("{id}"), "history", 9000)).value.as_deref(), Some("v"));
        open.push_back(client);
    }
    // If each connection stayed idle for 2 s, this would take over 14 s.
    assert!(started.elapsed().as_secs() < 12, "{:?}", started.elapsed());
}

#[test]
fn a_partial_message_and_one_of_60_mb_get_an_error() {
    let host = host_serving("v");
    let proxy = Proxy::start(&[&host], 1024);
    let partial = &query(&read("1", "history", 9000))[..40];
    let (mut new, mut old) = (Client::connect(proxy.address), proxy.client());
    assert_eq!(old.query(&read("2", "history", 9000)).value.as_deref(), Some("v"));
    new.send(&[&startup(), partial].concat());
    assert_eq!(new.answer().end, End::Ready);
    old.send(partial);
    for mut client in [new, old] {
        let answer = client.answer();
        assert_eq!((answer.code.as_str(), answer.end), ("08P01", End::Closed));
    }
    let mut long = proxy.client();
    long.send(&[&b"Q"[..], &(60u32 << 20).to_be_bytes()].concat());
    // A reset while this is written would fail the test.
    (0..960).for_each(|_| long.send(&[b'x'; 64 << 10]));
    let answer = long.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("08P01", End::Closed));
}

#[test]
fn commands_sent_together_are_answered_in_order_and_an_open_id_is_rejected() {
    let (answer_now, may_answer) = std::sync::mpsc::channel::<()>();
    let may_answer = std::sync::Mutex::new(may_answer);
    let host = Host::start(move |_, _| {
        let _ = may_answer.lock().expect("lock").recv_timeout(TEST_TIMEOUT);
        Reply::Row("v")
    });
    let proxy = Proxy::start(&[&host], 1024);
    let (mut first, mut other) = (proxy.client(), proxy.client());
    let invalid_encoding = message(b'Q', b"/* \xff\xfe */ SELECT 1\0");
    let many = query("SELECT 1").repeat(500);
    first.send(&[invalid_encoding, many, query(&read("1", "history", 9000))].concat());
    // The commands before the request are answered while the request is in flight.
    assert_eq!(first.answer().code, "22021");
    assert!((0..500).all(|_| first.answer().code == "42601"));
    assert_eq!(host.next_event(), HostEvent::Opened);
    let answer = other.query(&read("1", "history", 9000));
    assert_eq!((answer.code.as_str(), answer.end), ("42710", End::Ready));
    answer_now.send(()).expect("the host waits");
    assert_eq!(first.answer().value.as_deref(), Some("v"));
    // The id of a request that was answered just now is still in use.
    assert_eq!(other.query(&read("1", "history", 9000)).code, "42710");
}

#[test]
fn a_watch_that_ends_is_reopened_and_an_invalid_update_is_ignored() {
    let (old, new) = (host_serving("old"), host_serving("new"));
    let proxy = Proxy::start(&[&old], 1024);
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(r#"{"index":99,"snapshot":true,"endpoints":[{"name":"x","address":"nowhere"}]}"#);
    // The proxy asks again from the index of its list.
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(&list(43, false, &[(&old, "SERVING")]));
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=43 "));
    let mut client = proxy.client();
    assert_eq!(client.query(&read("1", "history", 9000)).value.as_deref(), Some("old"));
    // A full list doesn't name the old host, whose idle connection is closed.
    proxy.agent.send_line(&list(44, true, &[(&new, "SERVING")]));
    while old.next_event() != HostEvent::Closed {}
    assert_eq!(client.query(&read("2", "history", 9000)).value.as_deref(), Some("new"));
}

#[test]
fn a_draining_host_gets_no_new_requests() {
    let (primary, replica) = (host_serving("primary"), host_serving("replica"));
    let proxy = Proxy::start(&[&primary, &replica], 1024);
    let mut client = proxy.client();
    // Reads go to replicas as long as there are any.
    assert_eq!(client.query(&read("1", "browse", 9000)).value.as_deref(), Some("replica"));
    proxy.agent.next_request();
    proxy.agent.send_line(&list(44, true, &[(&primary, "SERVING"), (&replica, "DRAINING")]));
    proxy.agent.end_watch();
    // The watch is reopened at that index, so the list has been applied.
    assert!(proxy.agent.next_request().contains("index=44 "));
    for id in ["2", "3", "4", "5"] {
        assert_eq!(client.query(&read(id, "browse", 9000)).value.as_deref(), Some("primary"));
    }
}

#[test]
fn the_role_in_a_probe_report_counts() {
    // The host is listed as the primary. It reports that it is a replica (x1=0), with a position in Unix seconds.
    let host = Host::start(|_, _| Reply::Row("x0=1700000000.250,x1=0.000,util=0.61,queue=0"));
    let probes = |config: String| config.replace("\"cancel\":true", "\"cancel\":true,\"mayProbe\":true");
    let proxy = Proxy::start_with(&[&host], 1024, probes);
    proxy.logged("is no longer primary");
    assert_eq!(host.next_query(), "SHOW usage");
}

#[test]
fn an_empty_query_is_answered_only_once_requests_can_be_served() {
    let host = host_serving("v");
    // Without a known list, no request can be served before discovery answers.
    let proxy = Proxy::start(&[], 1024);
    let mut client = proxy.client();
    let answer = client.query(&read("1", "history", 9000));
    assert_eq!((answer.code.as_str(), answer.detail.as_deref()), ("57P03", Some("250")));
    client.send(&[query(""), query(&read("2", "history", 9000))].concat());
    // Another client is answered meanwhile. The empty query waits, and so does the request behind it.
    assert_eq!(proxy.client().query(&read("3", "history", 9000)).code, "57P03");
    proxy.agent.next_request();
    proxy.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    assert!(client.answer().empty);
    assert_eq!(client.answer().value.as_deref(), Some("v"));
}

/// After a release, a hundred proxies start at once. Each serves from its cached list without waiting for discovery.
#[test]
fn one_of_many_proxies_serves_from_its_cached_list_at_once() {
    let host = host_serving("v");
    let proxy =
        Proxy::start_with(&[&host], 1024, |c| c.replace("\"balancers\":1,", "\"balancers\":4000000000,"));
    let started = std::time::Instant::now();
    let mut client = proxy.client();
    client.send(&query(""));
    assert!(client.answer().empty);
    // A proxy among few waits a second for discovery.
    assert!(started.elapsed() < std::time::Duration::from_millis(900));
    assert_eq!(client.query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
}

/// An overloaded discovery refuses the watch. If proxies then asked for full lists, it would stay overloaded.
#[test]
fn a_refused_watch_is_retried_without_asking_for_a_full_list() {
    let host = host_serving("v");
    let proxy = Proxy::start(&[&host], 1024);
    let next_agent = Agent::refusing_first(2);
    proxy.reload(&proxy.agent.address.to_string(), &next_agent.address.to_string());
    for _ in 0..3 {
        assert!(next_agent.next_request().contains("stream=1&index=41 "));
    }
}

/// Discovery sends a list with thousands of entries, then a truncated one, then one with an older index. The proxy goes on
/// serving, and reopens the watch at the index of the last valid list.
#[test]
fn long_truncated_and_older_lists_are_handled() {
    let host = host_serving("v");
    let proxy = Proxy::start(&[&host], 1024);
    proxy.agent.next_request();
    let many: Vec<(&Host, &str)> = (0..4_000).map(|_| (&host, "SERVING")).collect();
    let name = format!("s-{}", host.address.port());
    // Each entry gets a name of its own.
    let parts: Vec<String> = list(42, true, &many).split(&name).map(str::to_string).collect();
    let line: String = parts.iter().enumerate().map(|(n, part)| format!("{part}s-{n}")).collect();
    let line = line.trim_end_matches("s-4000").to_string();
    proxy.agent.send_line(&line);
    proxy.agent.send_line(&line[..line.len() / 2]);
    proxy.logged("the list stays as it was");
    assert!(proxy.agent.next_request().contains("stream=1&index=42 "));
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    proxy.agent.send_line(&list(7, true, &[(&host, "SERVING")]));
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=7 "));
    assert_eq!(proxy.client().query(&read("2", "history", 9000)).value.as_deref(), Some("v"));
}

#[test]
fn sigterm_answers_open_requests_serves_new_clients_for_a_while_and_exits_with_0() {
    let (answer_now, may_answer) = std::sync::mpsc::channel::<()>();
    let may_answer = std::sync::Mutex::new(may_answer);
    let host = Host::start(move |_, text| {
        if text.contains("id=1,") {
            let _ = may_answer.lock().expect("lock").recv_timeout(TEST_TIMEOUT);
        }
        Reply::Row("v")
    });
    let linger = |config: String| config.replacen('{', "{\"linger_ms\":3000,", 1);
    let mut proxy = Proxy::start_with(&[&host], 1024, linger);
    let (mut busy, mut idle) = (proxy.client(), proxy.client());
    busy.send(&query(&read("1", "history", 9000)));
    assert_eq!(host.next_event(), HostEvent::Opened);
    proxy.signal("TERM");
    assert_eq!(proxy.client().query(&read("2", "history", 9000)).value.as_deref(), Some("v"));
    // The idle connection is closed at once, the busy one only after its answer.
    assert_eq!(idle.answer().end, End::Closed);
    answer_now.send(()).expect("the host waits");
    assert_eq!(busy.answer().value.as_deref(), Some("v"));
    assert_eq!(busy.answer().end, End::Closed);
    assert!(proxy.wait().success());
}

#[test]
fn a_reload_moves_the_watch_and_survives_an_invalid_file_and_a_stop() {
    let (answer_now, may_answer) = std::sync::mpsc::channel::<()>();
    let may_answer = std::sync::Mutex::new(may_answer);
    let old = Host::start(move |_, _| {
        let _ = may_answer.lock().expect("lock").recv_timeout(TEST_TIMEOUT);
        Reply::Row("old")
    });
    let new = host_serving("new");
    let mut proxy = Proxy::start(&[&old], 1024);
    proxy.agent.next_request();
    let mut busy = proxy.client();
    busy.send(&query(&read("1", "history", 9000)));
    assert_eq!(old.next_event(), HostEvent::Opened);
    proxy.reload("retryable", "repeatable");
    proxy.logged("stays as it was: settings: effect");
    // The new agent is used although the environment still names the first one.
    let next_agent = Agent::start();
    proxy.reload(&proxy.agent.address.to_string(), &next_agent.address.to_string());
    assert!(next_agent.next_request().contains("stream=1&index=41 "));
    next_agent.send_line(&list(42, true, &[(&new, "SERVING")]));
    next_agent.end_watch();
    assert!(next_agent.next_request().contains("index=42 "));
    assert_eq!(proxy.client().query(&read("2", "history", 9000)).value.as_deref(), Some("new"));
    // A request that was open before the reload is still answered, although a stop and another reload come together.
    proxy.signal("TERM");
    proxy.signal("HUP");
    answer_now.send(()).expect("the host waits");
    assert_eq!(busy.answer().value.as_deref(), Some("old"));
    assert!(proxy.wait().success());
}

#[test]
fn an_invalid_configuration_ends_the_program_with_one_line_that_names_the_key() {
    let valid = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":{SETTINGS}}}"#
    );
    for (from, to, key) in [
        ("127.0.0.1:0", "here", "listen"),
        ("127.0.0.1:1", "", "discovery"),
        ("\"seed\"", "\"console\":\"here\",\"seed\"", "console"),
        ("1f", "xyz", "seed"),
        ("\"settings\"", "\"setings\"", "settings"),
        ("retryable", "repeatable", "effect"),
        ("\"balancers\":1,", "", "balancers"),
        ("\"balancers\":1,", "\"balancers\":-1,", "balancers"),
        ("\"seed\"", "\"limits\":{\"sockets\":9},\"seed\"", "limits.sockets"),
        ("\"seed\"", "\"limits\":{\"memory_mb\":9},\"seed\"", "limits.memory_mb"),
        ("\"seed\"", "\"linger_ms\":60001,\"seed\"", "linger_ms"),
        ("\"seed\"", "\"known\":{\"index\":1},\"seed\"", "known"),
        ("{", "", "LB_CONFIG"),
    ] {
        let out = start_program(&valid.replacen(from, to, 1), &[]).0.wait_with_output().expect("it ends");
        let log = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{key}: {log}");
        assert!(log.lines().count() == 1 && log.contains(key), "{key}: {log}");
    }
}
