//! The memory that a proxy holds for its clients stays within `limits.memory_mb`, whatever they send and however slowly
//! they read. A client that reads slowly costs only itself.

mod support;

use std::sync::Mutex;
use std::sync::mpsc::channel;
use std::time::Instant;
use support::*;

/// The length of a value that is held as a whole.
const VALUE_BYTES: usize = 60 * 1024;

/// A change of the configuration: this memory limit, and a console.
fn with_memory_mb(memory_mb: u64) -> impl Fn(String) -> String {
    move |config| {
        let limit = format!("\"limits\":{{\"memory_mb\":{memory_mb},");
        add_console(config.replace("\"limits\":{", &limit))
    }
}

/// A host whose values begin with the id of their request, and have this length.
fn host_with_values(value_bytes: usize) -> Host {
    Host::start(move |_, text| Reply::Bytes(row(&value_of(request_id(text), value_bytes))))
}

fn value_of(id: &str, value_bytes: usize) -> String {
    [id, &"x".repeat(value_bytes - id.len())].concat()
}

/// Reads of one client that are sent at once. Each names its client and its number.
fn pipelined_reads(client: usize, count: usize) -> Vec<u8> {
    let reads = (0..count).map(|number| read(&format!("{client}-{number}"), "history", 20_000));
    reads.flat_map(|text| query(&text)).collect()
}

/// A write of this payload.
fn write(id: &str, payload: &str) -> Vec<u8> {
    query(&format!(
        "/* id={id},c=ingest,d=20000,k={id},cluster=3 */ INSERT INTO entries VALUES ('7f', '{payload}')"
    ))
}

/// Clients that send this many reads each and read nothing yet.
fn slow_readers(proxy: &Proxy, clients: usize, reads: usize) -> Vec<Client> {
    let open = |number| {
        let mut client = proxy.client();
        client.send(&pipelined_reads(number, reads));
        client
    };
    (0..clients).map(open).collect()
}

fn assert_all_served(client: &mut Client, number: usize, reads: usize) {
    for read in 0..reads {
        let answer = client.answer();
        let expected = value_of(&format!("{number}-{read}"), VALUE_BYTES);
        assert!(answer.value == Some(expected), "read {read} of client {number}: {:?}", answer.code);
    }
}

/// Waits until nothing is reserved for any client.
fn wait_until_all_is_returned(proxy: &Proxy) {
    let started = Instant::now();
    loop {
        let memory = proxy.stats()["client_memory"].clone();
        if ["received", "answers"].iter().all(|pool| memory[pool]["held_bytes"] == 0) {
            return;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{memory}");
    }
}

/// Guards against the kill for memory of a proxy whose clients read slowly: their answers, 158 MiB here, were all held.
#[test]
fn answers_that_clients_do_not_read_yet_stay_within_the_memory_limit() {
    const MEMORY_MB: u64 = 64;
    let (clients, reads) = (60, 45);
    let host = host_with_values(VALUE_BYTES);
    let proxy = Proxy::start_with(&[&host], 1024, with_memory_mb(MEMORY_MB));
    let mut slow = slow_readers(&proxy, clients, reads);
    // Others are served meanwhile.
    for number in 0..10 {
        let answer = proxy.client().query(&read(&format!("q{number}"), "browse", 5_000));
        assert!(answer.value.is_some(), "{answer:?}");
    }
    for (number, client) in slow.iter_mut().enumerate() {
        assert_all_served(client, number, reads);
    }
    assert!(proxy.peak_memory_kb() < MEMORY_MB << 10, "{} KB", proxy.peak_memory_kb());
    wait_until_all_is_returned(&proxy);
}

/// Guards against an end of the connections of clients that send little, while answers for slow readers are held.
#[test]
fn writes_are_taken_and_answered_while_answers_for_slow_readers_are_held() {
    let host = host_with_values(VALUE_BYTES);
    let proxy = Proxy::start_with(&[&host], 1024, with_memory_mb(48));
    let slow = slow_readers(&proxy, 60, 45);
    let payload = "5a".repeat(12 << 10);
    for client in 0..10 {
        let write = |number: usize| write(&format!("w{client}-{number}"), &payload);
        let mut writer = proxy.client();
        writer.send(&(0..4).flat_map(write).collect::<Vec<u8>>());
        for number in 0..4 {
            let answer = writer.answer();
            assert!(answer.value.is_some() && answer.end == End::Ready, "write {number}: {answer:?}");
        }
    }
    drop(slow);
    wait_until_all_is_returned(&proxy);
}

/// Guards against requests that wait in pipelines without being counted: each holds more than its statement.
#[test]
fn many_short_pipelined_requests_stay_within_the_memory_limit() {
    const MEMORY_MB: u64 = 48;
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start_with(&[&host], 1024, with_memory_mb(MEMORY_MB));
    let writes_of = |client: usize| {
        // Each write waits for the one before, and the first one is not answered.
        (0..47).flat_map(|number| write(&format!("{client}-{number}"), "1")).collect::<Vec<u8>>()
    };
    let mut clients: Vec<Client> = (0..200).map(|_| proxy.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&writes_of(number));
    }
    assert!(proxy.client().query("").empty);
    assert!(proxy.peak_memory_kb() < MEMORY_MB << 10, "{} KB", proxy.peak_memory_kb());
    drop(clients);
    wait_until_all_is_returned(&proxy);
}

/// Guards against errors that are due to a client which reads none of them. Each of ten clients has sent 70,000 faulty
/// statements behind a request, and the errors have seven times their length.
#[test]
fn errors_that_clients_do_not_read_stay_within_the_memory_limit() {
    const MEMORY_MB: u64 = 48;
    const FAULTY_STATEMENTS: usize = 70_000;
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let host = Host::start(move |_, _| {
        let _ = released.lock().expect("lock").recv();
        Reply::Row("v")
    });
    let proxy = Proxy::start_with(&[&host], 1024, with_memory_mb(MEMORY_MB));
    let mut clients: Vec<Client> = (0..10).map(|_| proxy.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&query(&read(&format!("{number}"), "history", 20_000)));
        client.send(&query("SELECT 1").repeat(FAULTY_STATEMENTS));
    }
    assert!(proxy.client().query("").empty);
    drop(release);
    for client in &mut clients {
        assert_eq!(client.answer().value.as_deref(), Some("v"));
    }
    for _ in 0..FAULTY_STATEMENTS {
        assert_eq!(clients[0].answer().code, "42601");
    }
    assert!(proxy.peak_memory_kb() < MEMORY_MB << 10, "{} KB", proxy.peak_memory_kb());
}

/// Guards against statements that use up the memory together. What can't be held passes on in pieces, and is served.
#[test]
fn long_statements_of_many_clients_are_all_served_within_the_memory_limit() {
    const MEMORY_MB: u64 = 48;
    let host = host_with_values(16);
    let proxy = Proxy::start_with(&[&host], 1024, with_memory_mb(MEMORY_MB));
    let padding = "x".repeat(150 << 10);
    let mut clients: Vec<Client> = (0..300).map(|_| proxy.client()).collect();
    let statement =
        |number: usize| query(&format!("{} -- {padding}", read(&format!("s{number}"), "history", 20_000)));
    // Most of each statement comes first, and the rest once all clients have sent that much.
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&statement(number)[..140 << 10]);
    }
    for (number, client) in clients.iter_mut().enumerate() {
        client.send(&statement(number)[140 << 10..]);
        let answer = client.answer();
        assert_eq!(answer.value, Some(value_of(&format!("s{number}"), 16)), "{answer:?}");
    }
    assert!(proxy.peak_memory_kb() < MEMORY_MB << 10, "{} KB", proxy.peak_memory_kb());
    wait_until_all_is_returned(&proxy);
}

/// A load on one proxy: all clients send their reads at once, and read the answers only when all have sent.
#[derive(Clone, Copy, Debug)]
struct Load {
    memory_mb: u64,
    sockets: u32,
    clients: usize,
    reads: usize,
    value_bytes: usize,
}

/// Guards against a limit that holds for one size only.
#[test]
fn the_memory_limit_holds_for_every_size_depth_and_number_of_clients() {
    let load = |memory_mb, sockets, clients, reads, value_bytes| Load {
        memory_mb,
        sockets,
        clients,
        reads,
        value_bytes,
    };
    for load in [
        load(32, 1024, 340, 1, 60 << 10),
        load(32, 1024, 340, 20, 7 << 10),
        load(32, 1024, 340, 47, 100),
        load(32, 256, 85, 100, 64 << 10),
        load(32, 256, 85, 100, 9 << 10),
        load(32, 1024, 340, 3, 200 << 10),
        load(64, 1024, 340, 20, 64 << 10),
        load(192, 1024, 340, 47, 60 << 10),
    ] {
        let host = host_with_values(load.value_bytes);
        let proxy = Proxy::start_with(&[&host], load.sockets, with_memory_mb(load.memory_mb));
        let mut clients = slow_readers(&proxy, load.clients, load.reads);
        let mut served = 0;
        for client in &mut clients {
            for _ in 0..load.reads {
                let answer = client.answer();
                assert_eq!(answer.end, End::Ready, "{load:?}: {answer:?}");
                served += usize::from(answer.value.is_some());
            }
        }
        let peak = proxy.peak_memory_kb();
        eprintln!("{load:?}: {peak} KB at most");
        assert_eq!(served, load.clients * load.reads, "{load:?}");
        assert!(peak < load.memory_mb << 10, "{load:?}: {peak} KB");
    }
}
