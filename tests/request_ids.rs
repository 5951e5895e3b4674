//! The id of a request has one holder among the processes of a machine, whichever had it first: in upgrades, rollbacks and
//! series of both, and when a process is killed, hangs, or is of a version that claims no ids.

mod support;

use sillfold::answered_ids::{BUCKET_BYTES, Bucket, ID_RETENTION, IdHash};
use sillfold::net::core::fnv1a;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use support::*;

/// The connections that each test opens: the system deals them out to the processes that listen.
const CONNECTIONS: usize = 16;

/// A primary that holds the writes whose id begins with `open` until it is told to answer them, and counts how often each id
/// was sent to it.
struct CountingHost {
    host: Host,
    runs: Arc<Mutex<BTreeMap<String, usize>>>,
    released: Arc<(Mutex<bool>, Condvar)>,
}

impl CountingHost {
    fn start() -> CountingHost {
        let runs: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
        let released: Arc<(Mutex<bool>, Condvar)> = Arc::default();
        let (counted, gate) = (runs.clone(), released.clone());
        let host = Host::start(move |_, text| {
            let id = request_id(text).to_string();
            *counted.lock().expect("lock").entry(id.clone()).or_default() += 1;
            if id.starts_with("open") {
                let waiting = gate.0.lock().expect("lock");
                drop(gate.1.wait_timeout_while(waiting, TEST_TIMEOUT, |released| !*released).expect("lock"));
            }
            Reply::Row("stored")
        });
        CountingHost { host, runs, released }
    }

    fn release(&self) {
        *self.released.0.lock().expect("lock") = true;
        self.released.1.notify_all();
    }

    fn runs(&self, id: &str) -> usize {
        self.runs.lock().expect("lock").get(id).copied().unwrap_or(0)
    }

    fn wait_for_run(&self, id: &str) {
        let started = Instant::now();
        while self.runs(id) == 0 {
            assert!(started.elapsed() < TEST_TIMEOUT, "{id} does not come to the host");
            std::thread::yield_now();
        }
    }
}

fn write(id: &str) -> Vec<u8> {
    query(&format!(
        "/* id={id},c=ingest,d=15000,k=5c0f{id},cluster=3 */ INSERT INTO entries VALUES ('7f', '1')"
    ))
}

/// Starts a process beside this one, and waits until it serves.
fn start_nth_beside(proxy: &Proxy, host: &CountingHost, nth: u16) -> Proxy {
    let next = proxy.start_nth_beside(nth);
    next.agent.send_line(&list(42, true, &[(&host.host, "SERVING")]));
    next.logged("serves on");
    next
}

/// Sends this id on many connections, and asserts that each is told that it is in use.
fn assert_in_use(proxy: &Proxy, host: &CountingHost, id: &str) {
    let runs = host.runs(id);
    let mut clients: Vec<Client> = (0..CONNECTIONS).map(|_| proxy.client()).collect();
    clients.iter_mut().for_each(|client| client.send(&write(id)));
    for client in &mut clients {
        assert_eq!(client.answer().code, "42710", "{id}");
    }
    assert_eq!(host.runs(id), runs, "{id} came to the host again");
}

/// Guards against an id that is open, or was answered a moment ago, at the process before, and is served at the new one.
#[test]
fn an_id_in_use_before_an_upgrade_is_refused_by_both_processes() {
    let host = CountingHost::start();
    let old = Proxy::with_console(&[&host.host], 1024);
    let mut first = old.client();
    first.send(&write("open1"));
    host.wait_for_run("open1");
    let _new = start_nth_beside(&old, &host, 1);
    assert_in_use(&old, &host, "open1");
    let mut second = old.client();
    assert_eq!(
        second.query(std::str::from_utf8(&write("done1")[5..]).expect("text").trim_end_matches('\0')).code,
        ""
    );
    assert_in_use(&old, &host, "done1");
    host.release();
    assert_eq!(first.answer().value.as_deref(), Some("stored"));
    assert_in_use(&old, &host, "open1");
}

/// Guards against an id that the process before answered just before the new one began.
#[test]
fn an_id_answered_just_before_an_upgrade_is_refused_by_the_new_process() {
    let host = CountingHost::start();
    let old = Proxy::with_console(&[&host.host], 1024);
    let new = old.start_nth_beside(1);
    new.logged("another process runs");
    let mut client = old.client();
    client.send(&write("done2"));
    assert_eq!(client.answer().value.as_deref(), Some("stored"));
    let answered = Instant::now();
    new.agent.send_line(&list(42, true, &[(&host.host, "SERVING")]));
    new.logged("serves on");
    // The process before ends: its record has to outlast it.
    old.signal("KILL");
    if answered.elapsed() < ID_RETENTION / 2 {
        std::thread::sleep(Duration::from_millis(100));
        assert_in_use(&new, &host, "done2");
    }
    std::thread::sleep((ID_RETENTION + Duration::from_millis(100)).saturating_sub(answered.elapsed()));
    let mut client = new.client();
    client.send(&write("done2"));
    assert_eq!(client.answer().value.as_deref(), Some("stored"));
}

/// Guards against an id that stays claimed when its process is killed, and against one that is forgotten when a process in
/// between is killed: the first and the last then find each other.
#[test]
fn an_id_is_freed_by_the_death_of_its_process_alone() {
    let host = CountingHost::start();
    let first = Proxy::with_console(&[&host.host], 1024);
    let mut client = first.client();
    client.send(&write("open3"));
    host.wait_for_run("open3");
    let second = start_nth_beside(&first, &host, 1);
    let third = start_nth_beside(&first, &host, 2);
    assert_in_use(&first, &host, "open3");
    drop(second);
    first.logged("the other process has ended");
    third.logged("the other process has ended");
    third.logged("a new process has started");
    assert_in_use(&first, &host, "open3");
    first.signal("KILL");
    third.logged("the other process has ended");
    host.release();
    // The kill has freed the lock by now: the connection between the two ends with the same process.
    let mut client = third.client();
    client.send(&write("open3"));
    assert_eq!(client.answer().value.as_deref(), Some("stored"));
    assert_eq!(host.runs("open3"), 2);
}

/// Guards against a rollback that frees the ids of the process that goes on.
#[test]
fn an_id_stays_in_use_over_a_rollback_and_another_upgrade() {
    let host = CountingHost::start();
    let old = Proxy::with_console(&[&host.host], 1024);
    let mut client = old.client();
    client.send(&write("open4"));
    host.wait_for_run("open4");
    let mut new = start_nth_beside(&old, &host, 1);
    new.signal("TERM");
    assert!(new.wait().success());
    old.logged("the other process has ended");
    let _next = start_nth_beside(&old, &host, 2);
    assert_in_use(&old, &host, "open4");
    host.release();
    assert_eq!(client.answer().value.as_deref(), Some("stored"));
}

/// Guards against a process that hangs: its ids stay in use, and nobody waits for it.
#[test]
fn an_id_of_a_hung_process_is_refused_at_once_by_the_other() {
    let host = CountingHost::start();
    let old = Proxy::with_console(&[&host.host], 1024);
    let mut client = old.client();
    client.send(&write("open5"));
    host.wait_for_run("open5");
    let _new = start_nth_beside(&old, &host, 1);
    let mut clients: Vec<Client> = (0..CONNECTIONS).map(|_| old.client()).collect();
    old.pause();
    clients.iter_mut().for_each(|client| client.send(&write("open5")));
    std::thread::sleep(Duration::from_millis(500));
    let mut refused = 0;
    for client in &mut clients {
        // Connections of the hung process stay silent.
        client.stream.set_nonblocking(true).expect("set");
        let is_silent = matches!(client.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        client.stream.set_nonblocking(false).expect("set");
        if !is_silent {
            let answer = client.answer();
            assert_eq!(answer.code, "42710", "{answer:?}");
            refused += 1;
        }
    }
    assert!(refused > 0, "no connection belongs to the new process");
    assert_eq!(host.runs("open5"), 1);
    old.resume();
    host.release();
    assert_eq!(client.answer().value.as_deref(), Some("stored"));
}

/// Guards against a start or a request that depends on the file of ids, or on a version that claims none.
#[test]
fn requests_are_served_and_counted_where_ids_cannot_be_claimed() {
    let host = CountingHost::start();
    let old = Proxy::with_console(&[&host.host], 1024);
    std::fs::create_dir(old.directory.join("sillfold.ids")).expect("the path is free");
    let mut other = UnixStream::connect(old.directory.join("sillfold.sock")).expect("it listens");
    other
        .write_all(
            b"{\"process\":1,\"ready\":true,\"clients\":0,\"bytes\":0,\"hosts\":0,\"complete\":true}\n",
        )
        .expect("it reads");
    old.logged("claims no ids");
    let mut client = old.client();
    client.send(&write("plain6"));
    assert_eq!(client.answer().value.as_deref(), Some("stored"));
    assert!(old.stats()["failed_id_claims"].as_u64() > Some(0));
}

/// Guards against a file that a process alone opens or writes for each request.
#[test]
fn a_process_alone_uses_no_file_of_ids() {
    let host = CountingHost::start();
    let proxy = Proxy::with_console(&[&host.host], 1024);
    let mut client = proxy.client();
    client.send(&write("plain7"));
    assert_eq!(client.answer().value.as_deref(), Some("stored"));
    assert!(!proxy.directory.join("sillfold.ids").exists());
}

/// Guards against ids that differ in some digits and are all kept in a few buckets, where they replace each other.
#[test]
fn ids_that_differ_in_some_digits_are_spread_over_the_table() {
    let mut in_bucket: BTreeMap<u64, usize> = BTreeMap::new();
    for id in (1..=60).flat_map(|client| (1..30).map(move |number| format!("q{client}.{number}"))) {
        *in_bucket.entry(IdHash(fnv1a(&id)).bucket_offset()).or_default() += 1;
    }
    assert!(in_bucket.values().all(|ids| *ids <= 4), "{:?}", in_bucket.values().max());
}

/// A bucket keeps the ids that were answered last, each once, and forgets them in time. Guards against records that are
/// replaced by those of earlier answers: a process that hears of another one records what it has answered in any order.
#[test]
fn a_bucket_of_answered_ids_keeps_the_newest_in_whatever_order_they_are_recorded() {
    let start = 50_000_000;
    let now = start + 10;
    let ids: Vec<u64> = (1..=5).collect();
    let orders = [vec![1, 2, 3, 4, 5], vec![5, 4, 3, 2], vec![3, 2, 5, 4], vec![2, 5, 3, 4]];
    for order in orders {
        let mut bucket = Bucket::default();
        for &number in order.iter().flat_map(|number| [number, number]) {
            let id = IdHash(number << 20);
            let write = bucket.record_answered(id, start + number, now);
            let place = (write.offset - id.bucket_offset()) as usize;
            assert!(place + write.bytes.len() <= BUCKET_BYTES);
            bucket.0[place..place + write.bytes.len()].copy_from_slice(&write.bytes);
        }
        let held: Vec<u64> =
            ids.iter().copied().filter(|id| bucket.contains(IdHash(id << 20), now)).collect();
        assert_eq!(held, [2, 3, 4, 5], "{order:?}");
        let later = start + 4 + ID_RETENTION.as_micros() as u64;
        assert!(bucket.contains(IdHash(4 << 20), later) && !bucket.contains(IdHash(3 << 20), later));
        // A time that has not come yet is from before a restart of the machine.
        assert!(!bucket.contains(IdHash(4 << 20), start));
    }
}
