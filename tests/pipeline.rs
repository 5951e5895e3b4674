//! Pipelined requests: requests that one client sends without waiting for the answers before. They start and are answered
//! in their order, and run at the same time. Hosts hold each answer back until the test releases it.

mod support;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;
use support::*;

/// Holds back the answers of hosts until they are released, by the request's id.
#[derive(Clone, Default)]
struct Gate {
    held: Arc<(Mutex<BTreeSet<String>>, Condvar)>,
}

impl Gate {
    fn holding(ids: &[&str]) -> Gate {
        let gate = Gate::default();
        gate.held.0.lock().expect("lock").extend(ids.iter().map(ToString::to_string));
        gate
    }
    fn release(&self, id: &str) {
        self.held.0.lock().expect("lock").remove(id);
        self.held.1.notify_all();
    }
    fn wait_until_released(&self, id: &str) {
        let held = self.held.0.lock().expect("lock");
        let waited = self.held.1.wait_timeout_while(held, TEST_TIMEOUT, |held| held.contains(id));
        drop(waited.expect("lock"));
    }
}

/// The id in a statement.
fn id_of(text: &str) -> String {
    let id = text.split("id=").nth(1).and_then(|rest| rest.split(',').next());
    id.expect("an id").to_string()
}

/// A host that answers each request with a row that holds its id.
fn host_echoing_ids(gate: &Gate) -> Host {
    let gate = gate.clone();
    Host::start(move |_, text| {
        let id = id_of(text);
        gate.wait_until_released(&id);
        Reply::Bytes(row(&id))
    })
}

fn history(id: &str) -> String {
    read(id, "history", 20_000)
}

fn write(id: &str) -> String {
    format!("/* id={id},c=ingest,d=20000,k=5c0f{id},cluster=3 */ INSERT INTO entries VALUES ('7f', '1')")
}

fn queries(texts: &[String]) -> Vec<u8> {
    texts.iter().flat_map(|text| query(text)).collect()
}

/// The ids of the next queries that a host receives, sorted.
fn next_ids(host: &Host, count: usize) -> Vec<String> {
    let mut ids: Vec<String> = (0..count).map(|_| id_of(&host.next_query())).collect();
    ids.sort();
    ids
}

fn assert_served(client: &mut Client, id: &str) {
    let answer = client.answer();
    assert_eq!((answer.value.as_deref(), &answer.end), (Some(id), &End::Ready), "{answer:?}");
}

/// Asserts that no other pipelined request has started: the next request that the host receives is that of another client.
fn assert_next_is_of_another_client(proxy: &Proxy, host: &Host, id: &str) {
    let mut other = proxy.client();
    other.send(&query(&history(id)));
    assert_eq!(id_of(&host.next_query()), id);
    assert_served(&mut other, id);
}

/// Asserts that this client has no answer yet, although a later request of another client has been answered.
fn assert_no_answer_yet(proxy: &Proxy, client: &Client, id: &str) {
    assert_eq!(proxy.client().query(&history(id)).value.as_deref(), Some(id));
    client.stream.set_nonblocking(true).expect("set");
    let peeked = client.stream.peek(&mut [0]);
    client.stream.set_nonblocking(false).expect("set");
    assert!(peeked.is_err(), "an answer came before its turn");
}

#[test]
fn twenty_reads_run_at_the_same_time_and_are_answered_in_order() {
    let gate = Gate::holding(&["10"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let ids: Vec<String> = (10..30).map(|id| id.to_string()).collect();
    client.send(&queries(&ids.iter().map(|id| history(id)).collect::<Vec<_>>()));
    assert_eq!(next_ids(&host, 20), ids);
    for _ in 1..20 {
        host.wait_for_reply();
    }
    // The hosts have answered all others, and these answers wait for their turn.
    assert_no_answer_yet(&proxy, &client, "99");
    gate.release("10");
    ids.iter().for_each(|id| assert_served(&mut client, id));
    assert!(client.query("").empty);
}

/// The third answer waits for the second one only, and is written before the host answers the fourth request.
#[test]
fn an_answer_waits_only_for_those_before_it() {
    let gate = Gate::holding(&["1", "2", "4"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&["1", "2", "3", "4"].map(history)));
    assert_eq!(next_ids(&host, 4), ["1", "2", "3", "4"]);
    gate.release("1");
    assert_served(&mut client, "1");
    assert_no_answer_yet(&proxy, &client, "9");
    gate.release("2");
    assert_served(&mut client, "2");
    assert_served(&mut client, "3");
    assert_no_answer_yet(&proxy, &client, "10");
    gate.release("4");
    assert_served(&mut client, "4");
}

/// The attempt of the second request is withdrawn at its deadline, long before its turn. It gets an error in its turn.
#[test]
fn a_pipelined_request_that_times_out_does_not_delay_others() {
    let gate = Gate::holding(&["1"]);
    let host_gate = gate.clone();
    let host = Host::start(move |_, text| match id_of(text).as_str() {
        "2" => Reply::NoAnswer,
        id => {
            host_gate.wait_until_released(id);
            Reply::Bytes(row(id))
        }
    });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&[history("1"), read("2", "browse", 700), history("3")]));
    assert_eq!(next_ids(&host, 3), ["1", "2", "3"]);
    while host.next_event() != HostEvent::Closed {}
    assert_no_answer_yet(&proxy, &client, "9");
    gate.release("1");
    assert_served(&mut client, "1");
    let answer = client.answer();
    assert!(answer.value.is_none() && !answer.code.is_empty(), "{answer:?}");
    assert_eq!(answer.end, End::Ready);
    assert_served(&mut client, "3");
}

/// A read waits behind a write until after its deadline, which counts from its last byte, not from its turn.
#[test]
fn the_deadline_of_a_waiting_request_counts_from_its_last_byte() {
    let gate = Gate::holding(&["1", "7"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let (mut client, mut later) = (proxy.client(), proxy.client());
    client.send(&queries(&[write("1"), read("2", "browse", 700)]));
    assert_eq!(id_of(&host.next_query()), "1");
    // Sent later and with a longer deadline, so that the other's deadline has passed when this one's has.
    later.send(&query(&read("7", "browse", 1000)));
    assert_eq!(id_of(&host.next_query()), "7");
    assert!(later.answer().value.is_none());
    gate.release("1");
    assert_served(&mut client, "1");
    let answer = client.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready), "{}", answer.message);
    gate.release("7");
    assert_next_is_of_another_client(&proxy, &host, "9");
}

#[test]
fn a_write_starts_after_all_answers_before_it_and_delays_the_reads_behind_it() {
    let gate = Gate::holding(&["1", "2", "3", "4", "5"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&[history("1"), history("2"), write("3"), history("4"), history("5")]));
    assert_eq!(next_ids(&host, 2), ["1", "2"]);
    assert_next_is_of_another_client(&proxy, &host, "9");
    gate.release("2");
    assert_next_is_of_another_client(&proxy, &host, "10");
    gate.release("1");
    assert_served(&mut client, "1");
    assert_served(&mut client, "2");
    assert_eq!(id_of(&host.next_query()), "3");
    assert_next_is_of_another_client(&proxy, &host, "11");
    gate.release("3");
    assert_served(&mut client, "3");
    assert_eq!(next_ids(&host, 2), ["4", "5"]);
    gate.release("5");
    gate.release("4");
    assert_served(&mut client, "4");
    assert_served(&mut client, "5");
}

/// An empty query and an invalid statement are answered in their turn too, and requests behind them start after that.
#[test]
fn an_empty_query_and_an_error_are_answered_in_order() {
    let gate = Gate::holding(&["1"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let invalid = "SELECT 1".to_string();
    client.send(&queries(&[history("1"), history("2"), String::new(), history("3"), invalid, history("4")]));
    assert_eq!(next_ids(&host, 2), ["1", "2"]);
    gate.release("1");
    assert_served(&mut client, "1");
    assert_served(&mut client, "2");
    assert!(client.answer().empty);
    assert_served(&mut client, "3");
    assert_eq!(client.answer().code, "42601");
    assert_served(&mut client, "4");
}

/// The id of a pipelined request is in use.
#[test]
fn two_pipelined_requests_cannot_use_the_same_id() {
    let gate = Gate::holding(&["1"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&[history("1"), history("2"), history("2"), history("3")]));
    assert_eq!(next_ids(&host, 2), ["1", "2"]);
    gate.release("1");
    assert_served(&mut client, "1");
    assert_served(&mut client, "2");
    assert_eq!(client.answer().code, "42710");
    assert_served(&mut client, "3");
}

/// The attempt of the second request fails while the first is in flight. The retry starts before the first is answered.
#[test]
fn a_pipelined_request_is_retried_while_earlier_ones_are_in_flight() {
    let gate = Gate::holding(&["1"]);
    let host_gate = gate.clone();
    let failed = Mutex::new(false);
    let host = Host::start(move |_, text| {
        let id = id_of(text);
        if id == "2" && !std::mem::replace(&mut *failed.lock().expect("lock"), true) {
            return Reply::Close(vec![]);
        }
        host_gate.wait_until_released(&id);
        Reply::Bytes(row(&id))
    });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&["1", "2", "3"].map(history)));
    assert_eq!(next_ids(&host, 4), ["1", "2", "2", "3"]);
    gate.release("1");
    ["1", "2", "3"].iter().for_each(|id| assert_served(&mut client, id));
}

/// With 96 descriptors, 25 are for hosts, and one client may have three requests open at once.
#[test]
fn one_client_may_use_only_a_share_of_the_host_connections() {
    let gate = Gate::holding(&["1"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 96);
    let mut client = proxy.client();
    let ids: Vec<String> = (1..=40).map(|id| id.to_string()).collect();
    client.send(&queries(&ids.iter().map(|id| history(id)).collect::<Vec<_>>()));
    let open = 3;
    assert_eq!(next_ids(&host, open), ids[..open]);
    assert_next_is_of_another_client(&proxy, &host, "99");
    gate.release("1");
    ids.iter().for_each(|id| assert_served(&mut client, id));
}

/// A client sends 4 MiB of requests behind a slow one, more than the read-ahead limit. Reading waits, and no request is
/// lost.
#[test]
fn reading_waits_at_the_read_ahead_limit_and_no_request_is_lost() {
    let gate = Gate::holding(&["1"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let ids: Vec<String> = (1..=1024).map(|id| id.to_string()).collect();
    let padding = "x".repeat(4096);
    let all: Vec<u8> = ids.iter().flat_map(|id| query(&format!("{} -- {padding}", history(id)))).collect();
    let mut sending = client.stream.try_clone().expect("clone");
    let sender = thread::spawn(move || sending.write_all(&all).expect("the program reads"));
    while id_of(&host.next_query()) != "1" {}
    assert_eq!(proxy.client().query(&history("0")).value.as_deref(), Some("0"));
    assert!(proxy.memory_kb() < 20_000, "{} KB", proxy.memory_kb());
    gate.release("1");
    ids.iter().for_each(|id| assert_served(&mut client, id));
    sender.join().expect("all was sent");
    assert!(proxy.memory_kb() < 20_000, "{} KB", proxy.memory_kb());
}

/// Reads whose answers are more than the sockets hold, and then two writes of the same group.
fn reads_and_two_writes(name: &str) -> Vec<u8> {
    let reads = (0..15).map(|number| history(&format!("{name}r{number}")));
    let writes = ["w1", "w2"].map(|number| write(&format!("{name}{number}")));
    queries(&reads.chain(writes).collect::<Vec<_>>())
}

/// A host that answers reads with long values, and holds the writes back that are named.
fn host_with_long_reads(gate: &Gate) -> Host {
    let gate = gate.clone();
    Host::start(move |_, text| {
        let id = id_of(text);
        gate.wait_until_released(&id);
        Reply::Bytes(row(&if id.contains('r') { "v".repeat(60 << 10) } else { id }))
    })
}

/// Guards against two writes of one client that run in the wrong order: the second one started while the answers before the
/// first one were being written.
#[test]
fn writes_run_in_their_order_while_the_answers_before_them_are_written() {
    const STEP_BYTES: usize = 16 << 10;
    let gate = Gate::holding(&["w1"]);
    let host = host_with_long_reads(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&reads_and_two_writes(""));
    let mut reads: Vec<String> = (0..15).map(|number| format!("r{number}")).collect();
    reads.sort();
    assert_eq!(next_ids(&host, 15), reads);
    // The client reads slowly, so that at each moment the answers before the writes may be in part written.
    let mut step = vec![0; STEP_BYTES];
    for _ in 0..15 * (60 << 10) / STEP_BYTES {
        client.stream.read_exact(&mut step).expect("answers");
        assert!(proxy.client().query("").empty);
    }
    assert_eq!(id_of(&host.next_query()), "w1");
    assert_next_is_of_another_client(&proxy, &host, "9");
    gate.release("w1");
    assert_eq!(id_of(&host.next_query()), "w2");
}

/// Guards against writes that are refused for good: an attempt of a client that left while answers were written to it was
/// never ended, and took a place at its host.
#[test]
fn clients_that_leave_while_answers_are_written_leave_no_attempt_behind() {
    const CLIENTS: usize = 110;
    const STEP_BYTES: usize = 8 << 10;
    let first_read = |client: usize| format!("{client}first");
    let held_write = |client: usize| format!("{client}w1");
    let held: Vec<String> = (0..CLIENTS).flat_map(|c| [first_read(c), held_write(c)]).collect();
    let gate = Gate::holding(&held.iter().map(String::as_str).collect::<Vec<_>>());
    let (other_group, host) = (host_echoing_ids(&gate), host_with_long_reads(&gate));
    let proxy = Proxy::start_with(&[&other_group, &host], 1024, |config| {
        config.replacen(r#""group":3"#, r#""group":4"#, 1)
    });
    for number in 0..CLIENTS {
        let mut client = proxy.client();
        let first = history(&first_read(number)).replace("cluster=3", "cluster=4");
        client.send(&[query(&first), reads_and_two_writes(&number.to_string())].concat());
        // The write begins, and the answers before it wait for the first one.
        while id_of(&host.next_query()) != held_write(number) {}
        gate.release(&first_read(number));
        // Each client reads a little more than the one before, and leaves.
        client.stream.read_exact(&mut vec![0; number * STEP_BYTES]).expect("answers");
        assert!(proxy.client().query("").empty);
    }
    for number in 0..30 {
        let id = format!("x{number}");
        let mut client = proxy.client();
        client.send(&query(&write(&id)));
        assert_served(&mut client, &id);
    }
}

/// Guards against a connection that ends over long writes behind one another: what was read behind the first one beyond the
/// limit was discarded.
#[test]
fn long_writes_behind_one_another_are_all_answered() {
    let gate = Gate::holding(&["1"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let ids = ["1", "2", "3", "4"];
    let padding = "x".repeat(2 << 20);
    let all: Vec<u8> = ids.iter().flat_map(|id| query(&format!("{} -- {padding}", write(id)))).collect();
    let mut sending = client.stream.try_clone().expect("clone");
    let sender = thread::spawn(move || sending.write_all(&all));
    assert_eq!(id_of(&host.next_query()), "1");
    assert_eq!(proxy.client().query(&history("0")).value.as_deref(), Some("0"));
    gate.release("1");
    ids.iter().for_each(|id| assert_served(&mut client, id));
    sender.join().expect("a thread").expect("all was sent");
    assert!(proxy.memory_kb() < 20_000, "{} KB", proxy.memory_kb());
}

/// With statements of 150 KB, the limit on the bytes of a pipeline applies before that on its requests.
#[test]
fn the_bytes_of_pipelined_requests_are_limited() {
    let gate = Gate::holding(&["1"]);
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let ids: Vec<String> = (1..=12).map(|id| id.to_string()).collect();
    let padding = "x".repeat(150 << 10);
    let all: Vec<u8> = ids.iter().flat_map(|id| query(&format!("{} -- {padding}", history(id)))).collect();
    let mut sending = client.stream.try_clone().expect("clone");
    let sender = thread::spawn(move || sending.write_all(&all).expect("the program reads"));
    // Answered requests hold little memory, so the next ones may start.
    assert_eq!(next_ids(&host, 12).len(), 12);
    gate.release("1");
    ids.iter().for_each(|id| assert_served(&mut client, id));
    sender.join().expect("all was sent");
    assert!(proxy.memory_kb() < 20_000, "{} KB", proxy.memory_kb());
}

/// Guards against requests that were read before there was room for them, and wait for the end of the first one though there
/// is room again.
#[test]
fn requests_that_were_read_start_when_others_end_and_make_room() {
    let ids: Vec<String> = (1..=12).map(|id| id.to_string()).collect();
    let gate = Gate::holding(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    let host = host_echoing_ids(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let padding = "x".repeat(150 << 10);
    let all: Vec<u8> = ids.iter().flat_map(|id| query(&format!("{} -- {padding}", history(id)))).collect();
    let mut sending = client.stream.try_clone().expect("clone");
    thread::spawn(move || sending.write_all(&all).expect("the program reads")).join().expect("all was sent");
    // All is read by then, and nothing more comes.
    thread::sleep(std::time::Duration::from_millis(500));
    ids[1..].iter().for_each(|id| gate.release(id));
    assert_eq!(next_ids(&host, 12).len(), 12);
    gate.release("1");
    ids.iter().for_each(|id| assert_served(&mut client, id));
}

/// Three requests are in flight, and two wait: a write, and a read behind it. When the client disconnects, the three are
/// withdrawn, and the others never start.
#[test]
fn all_pipelined_requests_are_withdrawn_when_the_client_disconnects() {
    let host = Host::start(|_, text| match id_of(text).as_str() {
        "9" => Reply::Bytes(row("9")),
        _ => Reply::NoAnswer,
    });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let texts = [history("1"), history("2"), history("3"), write("4"), history("5")];
    client.send(&queries(&texts));
    assert_eq!(next_ids(&host, 3), ["1", "2", "3"]);
    let disconnected = Instant::now();
    drop(client);
    for _ in 0..3 {
        assert_eq!(host.next_event(), HostEvent::Closed);
    }
    assert!(
        disconnected.elapsed() < TEST_TIMEOUT / 2,
        "they ended at their deadlines, not with their client"
    );
    assert_next_is_of_another_client(&proxy, &host, "9");
}

/// The stop's time ends long before the client's deadlines.
#[test]
fn a_stop_answers_all_pipelined_requests_in_order() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let linger = |config: String| config.replacen('{', "{\"linger_ms\":100,", 1);
    let mut proxy = Proxy::start_with(&[&host], 1024, linger);
    let mut client = proxy.client();
    client.send(&queries(&[history("1"), history("2"), history("3"), write("4"), history("5")]));
    assert_eq!(next_ids(&host, 3), ["1", "2", "3"]);
    proxy.signal("TERM");
    // The requests in flight may have run, the others have not.
    for code in ["40003", "40003", "40003", "53300", "53300"] {
        let answer = client.answer();
        assert_eq!((answer.code.as_str(), answer.end), (code, End::Ready), "{}", answer.message);
    }
    assert_eq!(client.answer().end, End::Closed);
    assert!(proxy.wait().success());
}

/// A host drains with requests in flight, and then closes their connections. They are retried at another host.
#[test]
fn pipelined_requests_survive_the_drain_and_reset_of_their_host() {
    let gate = Gate::holding(&["1", "2", "3"]);
    let (old, new) = (host_echoing_ids(&gate), host_echoing_ids(&Gate::default()));
    let proxy = Proxy::start(&[&old], 1024);
    let mut client = proxy.client();
    client.send(&queries(&["1", "2", "3"].map(history)));
    assert_eq!(next_ids(&old, 3), ["1", "2", "3"]);
    proxy.agent.send_line(&list(42, true, &[(&new, "SERVING"), (&old, "DRAINING")]));
    // New requests go to the new host, which shows that the list has been applied.
    let ids = (100..200).map(|id| id.to_string());
    let mut answered = ids.map(|id| proxy.client().query(&history(&id)).value.as_deref() == Some(&id));
    assert!(answered.all(|served| served));
    assert_eq!(new.next_event(), HostEvent::Opened);
    old.end_connections(b"");
    ["1", "2", "3"].iter().for_each(|id| assert_served(&mut client, id));
    client.send(&queries(&["4", "5"].map(history)));
    assert_served(&mut client, "4");
    assert_served(&mut client, "5");
}

/// A long value is streamed in its turn, and requests behind it run meanwhile.
#[test]
fn a_long_value_is_streamed_in_its_turn_and_delays_no_request() {
    const VALUE_BYTES: usize = 2 << 20;
    let gate = Gate::holding(&["1"]);
    let host_gate = gate.clone();
    let host = Host::start(move |_, text| {
        let id = id_of(text);
        host_gate.wait_until_released(&id);
        let value = if id == "2" { "v".repeat(VALUE_BYTES) } else { id };
        Reply::Bytes(row(&value))
    });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&["1", "2"].map(history)));
    assert_eq!(next_ids(&host, 2), ["1", "2"]);
    assert_no_answer_yet(&proxy, &client, "8");
    assert_eq!(id_of(&host.next_query()), "8");
    gate.release("1");
    assert_served(&mut client, "1");
    assert_eq!(client.answer().value.map(|v| v.len()), Some(VALUE_BYTES));
    client.send(&queries(&["3", "4"].map(history)));
    assert_served(&mut client, "3");
    assert_served(&mut client, "4");
}

/// A list with a primary of its own for group 3 and for group 4.
fn two_groups(third: &Host, fourth: &Host) -> String {
    let entry = |host: &Host, group: u32| {
        format!(
            r#"{{"name":"s-{}","address":"{}","zone":"a","type":"m","group":{group},"status":"SERVING","weight":1.0,"since_ms":1,"access":"writer"}}"#,
            host.address.port(),
            host.address
        )
    };
    format!(r#"{{"index":50,"snapshot":true,"endpoints":[{},{}]}}"#, entry(third, 3), entry(fourth, 4))
}

/// Guards against a write that begins when the head of the value of the write before it has come: that one is committed
/// behind its value, and the client's last write is lost.
#[test]
fn a_write_behind_a_long_value_of_another_write_begins_when_that_one_is_committed() {
    const LONG_VALUE_BYTES: usize = 75_000;
    let (reply, pieces) = Reply::streamed();
    let third = Host::start(move |_, text| match id_of(text).as_str() {
        "first" => reply.clone(),
        _ => Reply::Row("second"),
    });
    let gate = Gate::holding(&["read"]);
    let fourth = host_echoing_ids(&gate);
    let proxy = Proxy::with_console(&[&third], 1024);
    proxy.agent.next_request();
    proxy.agent.send_line(&two_groups(&third, &fourth));
    let read_of_another_group = history("read").replace("cluster=3", "cluster=4");
    let mut client = proxy.client();
    while client.query(&history("known").replace("cluster=3", "cluster=4")).code == "42704" {}
    client.send(&queries(&[read_of_another_group, write("first"), write("last")]));
    assert_eq!(id_of(&third.next_query()), "first");
    let answer = row(&"v".repeat(LONG_VALUE_BYTES));
    let (head, rest) = answer.split_at(LONG_VALUE_BYTES / 2);
    pieces.send(head.to_vec()).expect("the host waits");
    // Another client's write to the group is free to begin, so it comes first.
    thread::sleep(std::time::Duration::from_millis(200));
    let mut other = proxy.client();
    other.send(&query(&write("other")));
    assert_eq!(id_of(&third.next_query()), "other");
    gate.release("read");
    assert_served(&mut client, "read");
    pieces.send(rest.to_vec()).expect("the host waits");
    drop(pieces);
    assert_eq!(client.answer().value.map(|value| value.len()), Some(LONG_VALUE_BYTES));
    assert_eq!(id_of(&third.next_query()), "last");
    assert_eq!(client.answer().value.as_deref(), Some("second"));
}
