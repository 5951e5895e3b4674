//! The program among scripted peers: a story for each failure that was met or is guarded against.

mod support;

use std::io::{Read, Write};
use std::time::Instant;
use support::*;

fn served(value: &'static str) -> Host {
    Host::start(move |_, _| Reply::Row(value))
}

#[test]
fn a_request_behind_the_startup_message_is_passed_on_unchanged_but_for_its_patience() {
    let host = served("v\u{1}1");
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = Client::connect(proxy.address);
    let text = "/* id=9b1f03aa,c=ingest,d=7000,k=5c0f6e1a,cluster=3 */ INSERT INTO entries (ref, payload) \
                VALUES ('7f', '\\x9f03') RETURNING payload";
    client.send(&[startup(), query(text)].concat());
    assert_eq!(client.answer().end, End::Ready);
    let answer = client.answer();
    assert_eq!((answer.value.as_deref(), answer.end), (Some("v\u{1}1"), End::Ready));
    let passed = host.next_query();
    let (before, rest) = passed.split_once(",d=").expect("a patience");
    let (patience, after) = rest.split_once(',').expect("more");
    assert_eq!(format!("{before},d=7000,{after}"), text);
    assert!((1..7000).contains(&patience.parse().expect("a number")), "{patience}");
}

#[test]
fn one_connection_serves_request_after_request_and_a_dead_one_is_not_written_to() {
    // The second answer is followed by the end of the connection.
    let host = Host::start(|n, _| if n == 1 { Reply::Close(row("v")) } else { Reply::Row("v") });
    // With one attempt a request, none can make good for one that was written to a dead connection.
    let one = |config: String| config.replace("\"mostTries\":10", "\"mostTries\":1");
    let proxy = Proxy::start_with(&[&host], 1024, one);
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
fn nonsense_from_a_host_fails_the_attempt_closes_its_connection_and_another_attempt_serves() {
    let nonsense = message(b'T', b"\0\x05");
    let host = Host::start(move |n, _| if n == 0 { Reply::Bytes(nonsense.clone()) } else { Reply::Row("v") });
    let proxy = Proxy::start(&[&host], 1024);
    let answer = proxy.client().query(&read("1", "history", 9000));
    assert_eq!(answer.value.as_deref(), Some("v"), "{answer:?}");
    while host.next_event() != HostEvent::Closed {}
}

#[test]
fn spoilt_answers_end_their_attempt_at_once_and_what_comes_behind_a_good_one_serves_nobody() {
    let long_row = [b"D".as_slice(), &100_000u32.to_be_bytes(), b"\0\x01\0\0\0\x01v"].concat();
    let huge_row = [b"D".as_slice(), &3_000_000_000u32.to_be_bytes(), b"\0\x01", &[b'v'; 4096]].concat();
    let endless = [b"C".as_slice(), &100_000u32.to_be_bytes(), b"SELECT"].concat();
    let good = row("good");
    let until_ready = good[..good.len() - 6].to_vec();
    // Per request the bytes of its first attempt; the second gets a plain row.
    let firsts = vec![
        ("1", long_row),
        ("2", huge_row),
        ("3", endless),
        ("4", [good.clone(), row("stale")].concat()),
        ("5", [good, b"noise".to_vec()].concat()),
        ("6", [until_ready, b"noise".to_vec()].concat()),
    ];
    let tried = std::sync::Mutex::new(std::collections::HashSet::new());
    let script = firsts.clone();
    let host = Host::start(move |_, text| {
        let first = script.iter().find(|(id, _)| text.contains(&format!("id={id},")));
        match first.filter(|(id, _)| tried.lock().expect("lock").insert(*id)) {
            Some((_, bytes)) => Reply::Bytes(bytes.clone()),
            None if text == "SHOW usage" => Reply::Row("x0=\u{fffd}9,x1,util=nan"),
            None => Reply::Row("v"),
        }
    });
    let probes = |config: String| config.replace("\"cancel\":true", "\"cancel\":true,\"mayProbe\":true");
    let proxy = Proxy::start_with(&[&host], 1024, probes);
    let mut client = proxy.client();
    for (id, _) in &firsts {
        let served = client.query(&read(id, "history", 9000));
        let expected = if *id < "4" { "v" } else { "good" };
        assert_eq!(served.value.as_deref(), Some(expected), "{id}: {served:?}");
        let next = client.query(&read(&format!("{id}b"), "history", 9000));
        assert_eq!(next.value.as_deref(), Some("v"), "after {id}: {next:?}");
    }
}

#[test]
fn a_statement_that_the_host_cannot_use_is_tried_once_and_its_client_hears_why() {
    let host = Host::start(|n, _| if n == 0 { Reply::Error("42601") } else { Reply::Row("v") });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    assert_eq!(client.query(&read("1", "history", 9000)).code, "42601");
    assert_eq!(client.query(&read("2", "history", 9000)).value.as_deref(), Some("v"));
}

#[test]
fn hosts_that_are_replaced_without_end_are_forgotten() {
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
    // 40,000 hosts more would take 3 MB in any one of the three places that know them.
    let (early, late) = (memory_after(0..20), memory_after(20..100));
    assert!(late < early + 2_000, "{early} KB, then {late} KB");
}

#[test]
fn a_read_that_was_turned_away_or_failed_goes_out_again_on_the_same_connection() {
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
fn a_read_is_refused_at_once_when_its_time_is_up_and_the_attempt_is_closed_before_the_answer() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let asked = Instant::now();
    // Worth nothing after its aim, though its client would wait for 60 s.
    let answer = client.query(&read("1", "browse", 60_000));
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready));
    assert!(answer.detail.is_some_and(|d| d.parse::<u64>().is_ok_and(|ms| ms > 0)));
    assert!(asked.elapsed() < TEST_TIMEOUT);
    assert_eq!(host.next_event(), HostEvent::Opened);
    assert!(matches!(host.next_event(), HostEvent::Query(_)));
    assert_eq!(host.next_event(), HostEvent::Closed);
}

#[test]
fn a_write_that_may_have_run_is_repeated_inside_its_window_with_its_key() {
    let host = Host::start(|n, _| if n == 0 { Reply::Close(vec![]) } else { Reply::Row("v") });
    let proxy = Proxy::start(&[&host], 1024);
    let text = "/* id=1,c=ingest,d=9000,k=5c0f,cluster=3 */ INSERT INTO entries VALUES ('7f', '1')";
    assert_eq!(proxy.client().query(text).value.as_deref(), Some("v"));
    for passed in [host.next_query(), host.next_query()] {
        assert!(passed.contains("id=1,") && passed.contains("k=5c0f,"), "{passed}");
    }
}

#[test]
fn a_write_whose_connection_never_came_up_is_refused_and_not_failed_since_it_never_ran() {
    let host = Host::without_sessions();
    let proxy = Proxy::start(&[&host], 1024);
    // Its time ends before that of the dial.
    let text = "/* id=1,c=ingest,d=1000,k=5c0f,cluster=3 */ INSERT INTO entries VALUES ('7f', '1')";
    let answer = proxy.client().query(text);
    assert_eq!((host.next_event(), answer.code.as_str()), (HostEvent::Opened, "53300"));
}

/// Guards against a host out of reach that is dialled again and again, since no read waits for half of the dial's
/// time-out: of 40 reads only the first one or two may be lost to it.
#[test]
fn a_dial_that_short_reads_cut_off_tells_that_its_host_is_out_of_reach() {
    let (first, mute, good) = (served("v"), Host::without_sessions(), served("v"));
    let proxy = Proxy::start(&[&first, &mute, &good], 1024);
    let mut client = proxy.client();
    let answers = (0..40).map(|n| client.query(&read(&format!("{n}"), "browse", 700)).value);
    let lost = answers.filter(Option::is_none).count();
    assert!(lost <= 2, "{lost} of 40");
}

#[test]
fn an_attempt_is_withdrawn_when_its_client_closes() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    host.next_query();
    let left = Instant::now();
    drop(client);
    assert_eq!(host.next_event(), HostEvent::Closed);
    assert!(left.elapsed() < TEST_TIMEOUT / 2, "the attempt ended with its time, not with its client");
}

#[test]
fn what_is_no_request_gets_an_error_that_says_why() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = Client::connect(proxy.address);
    // TLS and GSSAPI are declined, and the session goes on in plain.
    for code in [80_877_103u32, 80_877_104] {
        client.send(&[8u32.to_be_bytes(), code.to_be_bytes()].concat());
        let mut declined = [0];
        client.stream.read_exact(&mut declined).expect("an answer");
        assert_eq!(&declined, b"N");
    }
    client.send(&startup());
    assert_eq!(client.answer().end, End::Ready);
    for (text, code, says) in [
        ("SELECT 1", "42601", "comment"),
        ("/* id=1,c=browse,d=soon,cluster=3 */ SELECT 1", "42601", "soon"),
        ("/* id=1,c=order,d=90,cluster=3 */ SELECT 1", "42704", "order"),
        ("/* id=1,c=browse,d=90,cluster=8 */ SELECT 1", "42704", "group 8"),
    ] {
        let answer = client.query(text);
        assert_eq!((answer.code.as_str(), answer.end), (code, End::Ready), "{text}");
        assert!(answer.message.contains(says), "{}", answer.message);
    }
    // One error for all up to the Sync.
    client.send(
        &[message(b'P', b"\0SELECT 1\0\0\0"), message(b'E', b"\0\0\0\0\0"), message(b'S', b"")].concat(),
    );
    assert_eq!(client.answer().code, "0A000");
    assert_eq!(client.query(&read("2", "history", 9000)).value.as_deref(), Some("v"));
    // Too long to be a message, and of no known type: the end of the connection.
    for bytes in [&b"Q\x7f\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n"] {
        let mut client = proxy.client();
        client.send(bytes);
        let answer = client.answer();
        assert_eq!((answer.code.as_str(), answer.end), ("08P01", End::Closed));
    }
}

/// 96 descriptors: 39 for clients.
const PLACES: usize = 39;

#[test]
fn past_the_descriptors_a_client_is_refused_at_once_and_a_place_given_back_serves_again() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start(&[&host], 96);
    proxy.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    let mut clients: Vec<Client> = (0..PLACES).map(|_| proxy.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        // Whoever has spoken just now, or asks for something, keeps its place.
        assert!(client.query("").empty);
        client.send(&query(&read(&format!("b{i}"), "ingest", 20_000)));
    }
    // It need not say anything to hear so.
    let answer = Client::connect(proxy.address).answer();
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Closed));
    // This one is told before the next one is accepted: it ends a connection and sees it end.
    let last = clients.pop().expect("some");
    last.stream.shutdown(std::net::Shutdown::Write).expect("open");
    assert_eq!(Client { stream: last.stream }.answer().end, End::Closed);
    assert!(proxy.client().query("").empty);
}

#[test]
fn clients_that_say_nothing_or_ask_once_and_stay_give_their_places_to_others() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 96);
    // Discovery has spoken: nothing waits for it.
    proxy.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    // One never opens a session, the others do and say a word that is no request.
    let silent = |i: usize| {
        let opens = i > 0;
        let mut client = if opens { proxy.client() } else { Client::connect(proxy.address) };
        assert!(!opens || (client.query("").empty && client.query("*").code == "42601"));
        client
    };
    let silent: Vec<Client> = (0..PLACES).map(silent).collect();
    let mut asking = [proxy.client(), proxy.client()];
    for (client, id) in asking.iter_mut().zip(["1", "1b"]) {
        assert_eq!(client.query(&read(id, "history", 9000)).value.as_deref(), Some("v"));
    }
    for mut client in silent {
        assert_eq!(client.answer().end, End::Closed);
    }
    let ask_once = |id: usize| {
        let mut client = Client::connect(proxy.address);
        // One that is refused may be closed before it has written this.
        let _ =
            client.stream.write_all(&[startup(), query(&read(&format!("{id}"), "history", 9000))].concat());
        (client.answer().end == End::Ready).then(|| (client.answer().value, client))
    };
    let (mut stay, asked) = (Vec::new(), Instant::now());
    // Whoever is refused meanwhile tries again, since others may rest for 2 s.
    for id in 2.. {
        stay.extend(ask_once(id));
        assert!(asked.elapsed() < TEST_TIMEOUT, "{} served", stay.len());
        if stay.len() > PLACES {
            break;
        }
    }
    assert!(stay.iter().all(|(value, _)| value.as_deref() == Some("v")));
}

#[test]
fn a_crowd_that_may_open_few_connections_asks_once_on_each_and_stays_is_served_on() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 96);
    let (mut open, begun) = (std::collections::VecDeque::new(), Instant::now());
    for id in 0..100 {
        if open.len() == 12 {
            let mut oldest: Client = open.pop_front().expect("some");
            assert_eq!(oldest.answer().end, End::Closed);
        }
        let mut client = proxy.client();
        assert_eq!(client.query(&read(&format!("{id}"), "history", 9000)).value.as_deref(), Some("v"));
        open.push_back(client);
    }
    // At 2 s of rest each this would take over 14 s.
    assert!(begun.elapsed().as_secs() < 12, "{:?}", begun.elapsed());
}

#[test]
fn what_is_begun_and_not_ended_gets_an_error_as_does_a_client_that_goes_on_with_60_mb() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 1024);
    let half = &query(&read("1", "history", 9000))[..40];
    let (mut new, mut old) = (Client::connect(proxy.address), proxy.client());
    assert_eq!(old.query(&read("2", "history", 9000)).value.as_deref(), Some("v"));
    new.send(&[&startup(), half].concat());
    assert_eq!(new.answer().end, End::Ready);
    old.send(half);
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
fn commands_that_come_together_are_answered_one_by_one_and_no_id_is_open_twice() {
    let (answer_now, may_answer) = std::sync::mpsc::channel::<()>();
    let may_answer = std::sync::Mutex::new(may_answer);
    let host = Host::start(move |_, _| {
        let _ = may_answer.lock().expect("lock").recv_timeout(TEST_TIMEOUT);
        Reply::Row("v")
    });
    let proxy = Proxy::start(&[&host], 1024);
    let (mut first, mut other) = (proxy.client(), proxy.client());
    let odd = message(b'Q', b"/* \xff\xfe */ SELECT 1\0");
    let many = query("SELECT 1").repeat(500);
    first.send(&[odd, many, query(&read("1", "history", 9000))].concat());
    // All that before the request is answered while the request itself is out.
    assert_eq!(first.answer().code, "22021");
    assert!((0..500).all(|_| first.answer().code == "42601"));
    assert_eq!(host.next_event(), HostEvent::Opened);
    let answer = other.query(&read("1", "history", 9000));
    assert_eq!((answer.code.as_str(), answer.end), ("42710", End::Ready));
    answer_now.send(()).expect("the host waits");
    assert_eq!(first.answer().value.as_deref(), Some("v"));
    // An id that ended just now is no other's either.
    assert_eq!(other.query(&read("1", "history", 9000)).code, "42710");
}

#[test]
fn a_watch_that_ends_is_reopened_where_it_was_and_bad_news_leaves_the_list() {
    let (old, new) = (served("old"), served("new"));
    let proxy = Proxy::start(&[&old], 1024);
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(r#"{"index":99,"snapshot":true,"endpoints":[{"name":"x","address":"nowhere"}]}"#);
    // What it said is asked for again, where the list stands.
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
    proxy.agent.send_line(&list(43, false, &[(&old, "SERVING")]));
    proxy.agent.end_watch();
    assert!(proxy.agent.next_request().contains("stream=1&index=43 "));
    let mut client = proxy.client();
    assert_eq!(client.query(&read("1", "history", 9000)).value.as_deref(), Some("old"));
    // A whole list without the old host: it is gone, and its idle connection is closed.
    proxy.agent.send_line(&list(44, true, &[(&new, "SERVING")]));
    while old.next_event() != HostEvent::Closed {}
    assert_eq!(client.query(&read("2", "history", 9000)).value.as_deref(), Some("new"));
}

#[test]
fn a_host_that_drains_gets_nothing_new() {
    let (primary, replica) = (served("primary"), served("replica"));
    let proxy = Proxy::start(&[&primary, &replica], 1024);
    let mut client = proxy.client();
    // Reads go to replicas, as long as there are any.
    assert_eq!(client.query(&read("1", "browse", 9000)).value.as_deref(), Some("replica"));
    proxy.agent.next_request();
    proxy.agent.send_line(&list(44, true, &[(&primary, "SERVING"), (&replica, "DRAINING")]));
    proxy.agent.end_watch();
    // Reopened at that version: the news has been taken in.
    assert!(proxy.agent.next_request().contains("index=44 "));
    for id in ["2", "3", "4", "5"] {
        assert_eq!(client.query(&read(id, "browse", 9000)).value.as_deref(), Some("primary"));
    }
}

#[test]
fn a_probe_reads_the_report_and_what_it_tells_of_the_role_counts() {
    // Listed as the primary, it says itself that it is none (x1=0), at a position in Unix seconds.
    let host = Host::start(|_, _| Reply::Row("x0=1700000000.250,x1=0.000,util=0.61,queue=0"));
    let probes = |config: String| config.replace("\"cancel\":true", "\"cancel\":true,\"mayProbe\":true");
    let proxy = Proxy::start_with(&[&host], 1024, probes);
    proxy.logged("is no longer primary");
    assert_eq!(host.next_query(), "SHOW usage");
}

#[test]
fn an_empty_query_is_answered_only_once_requests_can_be_served() {
    let host = served("v");
    // No list is known: nothing can be served before discovery speaks.
    let proxy = Proxy::start(&[], 1024);
    let mut client = proxy.client();
    let answer = client.query(&read("1", "history", 9000));
    assert_eq!((answer.code.as_str(), answer.detail.as_deref()), ("57P03", Some("250")));
    client.send(&[query(""), query(&read("2", "history", 9000))].concat());
    // Another client is answered meanwhile: the empty query waits, and what follows it.
    assert_eq!(proxy.client().query(&read("3", "history", 9000)).code, "57P03");
    proxy.agent.next_request();
    proxy.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    assert!(client.answer().empty);
    assert_eq!(client.answer().value.as_deref(), Some("v"));
}

/// After a release a hundred proxies start at once: each serves from the list it had, whatever discovery says.
#[test]
fn one_of_many_proxies_serves_from_the_list_it_had_before_discovery_speaks() {
    let host = served("v");
    let proxy =
        Proxy::start_with(&[&host], 1024, |c| c.replace("\"balancers\":1,", "\"balancers\":4000000000,"));
    let began = std::time::Instant::now();
    let mut client = proxy.client();
    client.send(&query(""));
    assert!(client.answer().empty);
    // Fewer wait a second for discovery.
    assert!(began.elapsed() < std::time::Duration::from_millis(900));
    assert_eq!(client.query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    assert!(proxy.agent.next_request().contains("stream=1&index=41 "));
}

/// Whole lists for those that want only news would keep an overbooked discovery so.
#[test]
fn a_watch_that_is_turned_away_is_asked_for_again_and_no_whole_list() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 1024);
    let next = Agent::refusing_first(2);
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    for _ in 0..3 {
        assert!(next.next_request().contains("stream=1&index=41 "));
    }
}

/// Thousands of lines, then a line cut off, then one whose version goes back: the proxy serves on, and goes on
/// from the version that it was told last.
#[test]
fn a_list_of_thousands_of_lines_and_one_that_goes_back_are_taken_as_they_come() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 1024);
    proxy.agent.next_request();
    let many: Vec<(&Host, &str)> = (0..4_000).map(|_| (&host, "SERVING")).collect();
    let name = format!("s-{}", host.address.port());
    let line: Vec<String> = list(42, true, &many).split(&name).map(str::to_string).collect();
    let line: String = line.iter().enumerate().map(|(n, part)| format!("{part}s-{n}")).collect();
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
fn sigterm_answers_what_was_taken_serves_newcomers_for_a_while_and_exits_with_0() {
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
    // The idle connection ends by itself; the busy one only after its answer.
    assert_eq!(idle.answer().end, End::Closed);
    answer_now.send(()).expect("the host waits");
    assert_eq!(busy.answer().value.as_deref(), Some("v"));
    assert_eq!(busy.answer().end, End::Closed);
    assert!(proxy.wait().success());
}

#[test]
fn a_reload_moves_the_watch_and_a_bad_file_or_a_stop_at_the_same_time_does_no_harm() {
    let (answer_now, may_answer) = std::sync::mpsc::channel::<()>();
    let may_answer = std::sync::Mutex::new(may_answer);
    let old = Host::start(move |_, _| {
        let _ = may_answer.lock().expect("lock").recv_timeout(TEST_TIMEOUT);
        Reply::Row("old")
    });
    let new = served("new");
    let mut proxy = Proxy::start(&[&old], 1024);
    proxy.agent.next_request();
    let mut busy = proxy.client();
    busy.send(&query(&read("1", "history", 9000)));
    assert_eq!(old.next_event(), HostEvent::Opened);
    proxy.reload("retryable", "repeatable");
    proxy.logged("stays as it was: settings: effect");
    // Though the environment still names the first agent.
    let next = Agent::start();
    proxy.reload(&proxy.agent.address.to_string(), &next.address.to_string());
    assert!(next.next_request().contains("stream=1&index=41 "));
    next.send_line(&list(42, true, &[(&new, "SERVING")]));
    next.end_watch();
    assert!(next.next_request().contains("index=42 "));
    assert_eq!(proxy.client().query(&read("2", "history", 9000)).value.as_deref(), Some("new"));
    // What was open before the reload is still answered, though a stop comes with another one.
    proxy.signal("TERM");
    proxy.signal("HUP");
    answer_now.send(()).expect("the host waits");
    assert_eq!(busy.answer().value.as_deref(), Some("old"));
    assert!(proxy.wait().success());
}

#[test]
fn a_bad_configuration_ends_the_program_with_one_line_that_names_the_key() {
    let good = format!(
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
        let out = start_program(&good.replacen(from, to, 1), &[]).0.wait_with_output().expect("it ends");
        let log = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{key}: {log}");
        assert!(log.lines().count() == 1 && log.contains(key), "{key}: {log}");
    }
}
