//! Requests that one client sends behind one another: they are read, begun and answered in the order in which they came, and
//! worked on together. Hosts hold each answer back until the test lets it go.

mod support;

use std::collections::BTreeSet;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Instant;
use support::*;

/// Answers that hosts hold back until they are let go, by the request's id.
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
    fn let_go(&self, id: &str) {
        self.held.0.lock().expect("lock").remove(id);
        self.held.1.notify_all();
    }
    fn pass(&self, id: &str) {
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

/// A host whose every row is the id of its request.
fn echoing(gate: &Gate) -> Host {
    let gate = gate.clone();
    Host::start(move |_, text| {
        let id = id_of(text);
        gate.pass(&id);
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

/// The ids of the next queries that a host sees, sorted.
fn seen(host: &Host, count: usize) -> Vec<String> {
    let mut ids: Vec<String> = (0..count).map(|_| id_of(&host.next_query())).collect();
    ids.sort();
    ids
}

fn assert_served(client: &mut Client, id: &str) {
    let answer = client.answer();
    assert_eq!((answer.value.as_deref(), &answer.end), (Some(id), &End::Ready), "{answer:?}");
}

/// Nothing was begun of what should not be: another client's request is the next that the host sees.
fn assert_next_is_anothers(proxy: &Proxy, host: &Host, id: &str) {
    let mut other = proxy.client();
    other.send(&query(&history(id)));
    assert_eq!(id_of(&host.next_query()), id);
    assert_served(&mut other, id);
}

/// Nothing has come for this client, though another's request that was sent later has been answered.
fn assert_nothing_came(proxy: &Proxy, client: &Client, id: &str) {
    assert_eq!(proxy.client().query(&history(id)).value.as_deref(), Some(id));
    client.stream.set_nonblocking(true).expect("set");
    let came = client.stream.peek(&mut [0]);
    client.stream.set_nonblocking(false).expect("set");
    assert!(came.is_err(), "an answer came before its turn");
}

#[test]
fn twenty_reads_are_worked_on_while_the_first_is_slow_and_answered_in_order() {
    let gate = Gate::holding(&["10"]);
    let host = echoing(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let ids: Vec<String> = (10..30).map(|id| id.to_string()).collect();
    client.send(&queries(&ids.iter().map(|id| history(id)).collect::<Vec<_>>()));
    assert_eq!(seen(&host, 20), ids);
    for _ in 1..20 {
        host.wait_for_reply();
    }
    // All others have their answers, which wait for their turn.
    assert_nothing_came(&proxy, &client, "99");
    gate.let_go("10");
    ids.iter().for_each(|id| assert_served(&mut client, id));
    assert!(client.query("").empty);
}

/// The third waits for the second only, and is there before the fourth has its own.
#[test]
fn an_answer_waits_for_those_before_it_and_for_no_other() {
    let gate = Gate::holding(&["1", "2", "4"]);
    let host = echoing(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&["1", "2", "3", "4"].map(history)));
    assert_eq!(seen(&host, 4), ["1", "2", "3", "4"]);
    gate.let_go("1");
    assert_served(&mut client, "1");
    assert_nothing_came(&proxy, &client, "9");
    gate.let_go("2");
    assert_served(&mut client, "2");
    assert_served(&mut client, "3");
    assert_nothing_came(&proxy, &client, "10");
    gate.let_go("4");
    assert_served(&mut client, "4");
}

/// Its attempt is withdrawn at its own time, long before its turn.
#[test]
fn one_whose_time_ends_is_answered_in_words_in_its_turn_and_holds_up_nobody() {
    let gate = Gate::holding(&["1"]);
    let passing = gate.clone();
    let host = Host::start(move |_, text| match id_of(text).as_str() {
        "2" => Reply::NoAnswer,
        id => {
            passing.pass(id);
            Reply::Bytes(row(id))
        }
    });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&[history("1"), read("2", "browse", 700), history("3")]));
    assert_eq!(seen(&host, 3), ["1", "2", "3"]);
    while host.next_event() != HostEvent::Closed {}
    assert_nothing_came(&proxy, &client, "9");
    gate.let_go("1");
    assert_served(&mut client, "1");
    let answer = client.answer();
    assert!(answer.value.is_none() && !answer.code.is_empty(), "{answer:?}");
    assert_eq!(answer.end, End::Ready);
    assert_served(&mut client, "3");
}

/// It waits behind a write for longer than its client does: its time has run from its last byte, not from its turn.
#[test]
fn the_time_of_one_that_cannot_begin_runs_from_its_last_byte() {
    let gate = Gate::holding(&["1", "7"]);
    let host = echoing(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let (mut client, mut later) = (proxy.client(), proxy.client());
    client.send(&queries(&[write("1"), read("2", "browse", 700)]));
    assert_eq!(id_of(&host.next_query()), "1");
    // Sent behind it and with more time, so that the other's is over when this one's is.
    later.send(&query(&read("7", "browse", 1000)));
    assert_eq!(id_of(&host.next_query()), "7");
    assert!(later.answer().value.is_none());
    gate.let_go("1");
    assert_served(&mut client, "1");
    let answer = client.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready), "{}", answer.message);
    gate.let_go("7");
    assert_next_is_anothers(&proxy, &host, "9");
}

#[test]
fn a_write_begins_behind_all_before_it_and_what_is_behind_it_begins_when_it_has_its_answer() {
    let gate = Gate::holding(&["1", "2", "3", "4", "5"]);
    let host = echoing(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&[history("1"), history("2"), write("3"), history("4"), history("5")]));
    assert_eq!(seen(&host, 2), ["1", "2"]);
    assert_next_is_anothers(&proxy, &host, "9");
    gate.let_go("2");
    assert_next_is_anothers(&proxy, &host, "10");
    gate.let_go("1");
    assert_served(&mut client, "1");
    assert_served(&mut client, "2");
    assert_eq!(id_of(&host.next_query()), "3");
    assert_next_is_anothers(&proxy, &host, "11");
    gate.let_go("3");
    assert_served(&mut client, "3");
    assert_eq!(seen(&host, 2), ["4", "5"]);
    gate.let_go("5");
    gate.let_go("4");
    assert_served(&mut client, "4");
    assert_served(&mut client, "5");
}

/// What is no request is answered in its turn too, and what is behind it is begun behind that.
#[test]
fn an_empty_query_and_an_error_keep_their_places() {
    let gate = Gate::holding(&["1"]);
    let host = echoing(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let nonsense = "SELECT 1".to_string();
    client.send(&queries(&[history("1"), history("2"), String::new(), history("3"), nonsense, history("4")]));
    assert_eq!(seen(&host, 2), ["1", "2"]);
    gate.let_go("1");
    assert_served(&mut client, "1");
    assert_served(&mut client, "2");
    assert!(client.answer().empty);
    assert_served(&mut client, "3");
    assert_eq!(client.answer().code, "42601");
    assert_served(&mut client, "4");
}

/// An id that is open behind another is open.
#[test]
fn an_id_is_taken_for_one_request_only_also_behind_another() {
    let gate = Gate::holding(&["1"]);
    let host = echoing(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&[history("1"), history("2"), history("2"), history("3")]));
    assert_eq!(seen(&host, 2), ["1", "2"]);
    gate.let_go("1");
    assert_served(&mut client, "1");
    assert_served(&mut client, "2");
    assert_eq!(client.answer().code, "42710");
    assert_served(&mut client, "3");
}

/// The attempt of the second fails while the first is out; the next is made before the first has its answer.
#[test]
fn one_in_the_middle_is_repeated_while_those_before_it_are_out() {
    let gate = Gate::holding(&["1"]);
    let passing = gate.clone();
    let failed = Mutex::new(false);
    let host = Host::start(move |_, text| {
        let id = id_of(text);
        if id == "2" && !std::mem::replace(&mut *failed.lock().expect("lock"), true) {
            return Reply::Close(vec![]);
        }
        passing.pass(&id);
        Reply::Bytes(row(&id))
    });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&["1", "2", "3"].map(history)));
    assert_eq!(seen(&host, 4), ["1", "2", "2", "3"]);
    gate.let_go("1");
    ["1", "2", "3"].iter().for_each(|id| assert_served(&mut client, id));
}

/// 96 descriptors, 25 of them for hosts: three requests of one client are open at once.
#[test]
fn no_more_are_open_at_once_than_the_share_of_one_client_and_all_are_answered() {
    let gate = Gate::holding(&["1"]);
    let host = echoing(&gate);
    let proxy = Proxy::start(&[&host], 96);
    let mut client = proxy.client();
    let ids: Vec<String> = (1..=40).map(|id| id.to_string()).collect();
    client.send(&queries(&ids.iter().map(|id| history(id)).collect::<Vec<_>>()));
    let open = 3;
    assert_eq!(seen(&host, open), ids[..open]);
    assert_next_is_anothers(&proxy, &host, "99");
    gate.let_go("1");
    ids.iter().for_each(|id| assert_served(&mut client, id));
}

/// Four MiB of requests behind a slow one, more than is read ahead: reading waits, and none is lost.
#[test]
fn reading_waits_where_more_is_sent_than_is_kept_and_nothing_is_lost() {
    let gate = Gate::holding(&["1"]);
    let host = echoing(&gate);
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
    gate.let_go("1");
    ids.iter().for_each(|id| assert_served(&mut client, id));
    sender.join().expect("all was sent");
    assert!(proxy.memory_kb() < 20_000, "{} KB", proxy.memory_kb());
}

/// Statements of 150 KB: what is taken is bounded by its bytes before it is by its number.
#[test]
fn no_more_bytes_are_taken_than_one_client_may_have_open() {
    let gate = Gate::holding(&["1"]);
    let host = echoing(&gate);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let ids: Vec<String> = (1..=12).map(|id| id.to_string()).collect();
    let padding = "x".repeat(150 << 10);
    let all: Vec<u8> = ids.iter().flat_map(|id| query(&format!("{} -- {padding}", history(id)))).collect();
    let mut sending = client.stream.try_clone().expect("clone");
    let sender = thread::spawn(move || sending.write_all(&all).expect("the program reads"));
    // Those that have their answers hold little any more, and let others in.
    assert_eq!(seen(&host, 12).len(), 12);
    gate.let_go("1");
    ids.iter().for_each(|id| assert_served(&mut client, id));
    sender.join().expect("all was sent");
    assert!(proxy.memory_kb() < 20_000, "{} KB", proxy.memory_kb());
}

/// Three are out and two wait, a write and a read behind it: the three are withdrawn, and the others never begin.
#[test]
fn all_are_withdrawn_once_their_client_leaves() {
    let host = Host::start(|_, text| match id_of(text).as_str() {
        "9" => Reply::Bytes(row("9")),
        _ => Reply::NoAnswer,
    });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let texts = [history("1"), history("2"), history("3"), write("4"), history("5")];
    client.send(&queries(&texts));
    assert_eq!(seen(&host, 3), ["1", "2", "3"]);
    let left = Instant::now();
    drop(client);
    for _ in 0..3 {
        assert_eq!(host.next_event(), HostEvent::Closed);
    }
    assert!(left.elapsed() < TEST_TIMEOUT / 2, "they ended with their time, not with their client");
    assert_next_is_anothers(&proxy, &host, "9");
}

/// The stop's time ends long before the clients' patience does.
#[test]
fn a_stop_answers_all_that_were_taken_in_their_order() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let linger = |config: String| config.replacen('{', "{\"linger_ms\":100,", 1);
    let mut proxy = Proxy::start_with(&[&host], 1024, linger);
    let mut client = proxy.client();
    client.send(&queries(&[history("1"), history("2"), history("3"), write("4"), history("5")]));
    assert_eq!(seen(&host, 3), ["1", "2", "3"]);
    proxy.signal("TERM");
    // Those that are out may have run, the others have not.
    for code in ["40003", "40003", "40003", "53300", "53300"] {
        let answer = client.answer();
        assert_eq!((answer.code.as_str(), answer.end), (code, End::Ready), "{}", answer.message);
    }
    assert_eq!(client.answer().end, End::Closed);
    assert!(proxy.wait().success());
}

/// The host drains while requests are at it, and then ends them all: they are made again at another.
#[test]
fn a_reset_and_a_drain_of_a_host_under_many_requests_lose_none() {
    let gate = Gate::holding(&["1", "2", "3"]);
    let (old, new) = (echoing(&gate), echoing(&Gate::default()));
    let proxy = Proxy::start(&[&old], 1024);
    let mut client = proxy.client();
    client.send(&queries(&["1", "2", "3"].map(history)));
    assert_eq!(seen(&old, 3), ["1", "2", "3"]);
    proxy.agent.send_line(&list(42, true, &[(&new, "SERVING"), (&old, "DRAINING")]));
    // What comes from now on goes to the new host, which shows that the list is known.
    let asked = (100..200).map(|id| id.to_string());
    let mut answered = asked.map(|id| proxy.client().query(&history(&id)).value.as_deref() == Some(&id));
    assert!(answered.all(|served| served));
    assert_eq!(new.next_event(), HostEvent::Opened);
    old.end_connections(b"");
    ["1", "2", "3"].iter().for_each(|id| assert_served(&mut client, id));
    client.send(&queries(&["4", "5"].map(history)));
    assert_served(&mut client, "4");
    assert_served(&mut client, "5");
}

/// A long value is passed on at its turn, and those behind it are worked on while its reader is slow.
#[test]
fn a_long_value_waits_for_its_turn_and_holds_up_no_work() {
    const LONG: usize = 2 << 20;
    let gate = Gate::holding(&["1"]);
    let passing = gate.clone();
    let host = Host::start(move |_, text| {
        let id = id_of(text);
        passing.pass(&id);
        let value = if id == "2" { "v".repeat(LONG) } else { id };
        Reply::Bytes(row(&value))
    });
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&queries(&["1", "2"].map(history)));
    assert_eq!(seen(&host, 2), ["1", "2"]);
    assert_nothing_came(&proxy, &client, "8");
    assert_eq!(id_of(&host.next_query()), "8");
    gate.let_go("1");
    assert_served(&mut client, "1");
    assert_eq!(client.answer().value.map(|v| v.len()), Some(LONG));
    client.send(&queries(&["3", "4"].map(history)));
    assert_served(&mut client, "3");
    assert_served(&mut client, "4");
}
