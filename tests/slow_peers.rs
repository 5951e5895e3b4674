//! Hosts and clients that read or write slowly: long answers go on as long as they come, answers to long requests come in
//! time, and memory stays within its limit.

mod support;

use sillfold_lab::flood::{Flood, FloodClients, Terms};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// A statement longer than what the sockets on its way hold, in bytes.
const LONG_STATEMENT_BYTES: usize = 8 << 20;
/// An answer is final this long after its request's time at the latest.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// A console, and a latency target of the class `history` that fits short deadlines.
fn with_short_targets(config: String) -> String {
    add_console(config.replace("\"sloUs\":9000000", "\"sloUs\":100000").replace("1600000", "100000"))
}

/// A host that opens sessions, and reads nothing of the statements behind them.
fn start_host_that_stops_reading() -> SocketAddr {
    let listener = TcpListener::bind((loopback_address(), 0)).expect("a loopback port");
    let address = listener.local_addr().expect("bound");
    let open_session = |mut stream: TcpStream| -> std::io::Result<TcpStream> {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4])?;
        stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat())?;
        Ok(stream)
    };
    thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming().flatten() {
            open.extend(open_session(stream));
        }
    });
    address
}

/// A list with this host alone, the primary of group 3.
fn list_of(address: SocketAddr) -> String {
    format!(
        r#"{{"index":42,"snapshot":true,"endpoints":[{{"name":"s-1","address":"{address}","zone":"a","type":"m","group":3,"status":"SERVING","weight":1.0,"since_ms":1,"access":"writer"}}]}}"#
    )
}

/// Guards against a final answer that comes when the host has read a long request, however slowly: the upload had no deadline.
#[test]
fn a_long_request_that_its_host_reads_slowly_is_answered_in_its_time() {
    let deadline = Duration::from_millis(1_000);
    let proxy = Proxy::start_with(&[], 1024, with_short_targets);
    proxy.agent.next_request();
    proxy.agent.send_line(&list_of(start_host_that_stops_reading()));
    let mut client = proxy.client();
    assert!(client.query("").empty);
    let value = "5a".repeat(LONG_STATEMENT_BYTES / 2);
    let statement = query(&format!(
        "/* id=long,c=ingest,d={},k=1,cluster=3 */ INSERT INTO entries VALUES ('7f', '{value}')",
        deadline.as_millis()
    ));
    let mut sender = client.stream.try_clone().expect("clone");
    let sent = thread::spawn(move || {
        sender.write_all(&statement).expect("the program reads");
        Instant::now()
    });
    let answer = client.answer();
    let answered = Instant::now();
    // The client's time begins with its last byte, which the proxy reads once it has given the host up.
    let late = answered.saturating_duration_since(sent.join().expect("sent") + deadline);
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready));
    assert!(late < ANSWER_GRACE, "{late:?} behind its time");
    assert!(client.query("").empty);
}

/// Guards against a limit on the time of an answer that has begun: its host writes it more slowly than its client waits.
#[test]
fn a_long_answer_that_its_host_writes_slowly_is_passed_on_whole() {
    let (reply, pieces) = Reply::streamed();
    let host = Host::start(move |_, _| reply.clone());
    let proxy = Proxy::start_with(&[&host], 1024, with_short_targets);
    let mut client = proxy.client();
    client.send(&query(&read("long", "history", 600)));
    let value = "x".repeat(200 * 1024);
    for piece in row(&value).chunks(40 * 1024) {
        pieces.send(piece.to_vec()).expect("the host waits");
        thread::sleep(Duration::from_millis(300));
    }
    drop(pieces);
    assert_eq!(client.answer().value, Some(value));
}

/// Guards against the kill for memory while hundreds of clients are connected at once that write slowly, stop half way
/// through a large request, send heads of very many short fields or read long answers slowly.
#[test]
fn hundreds_of_slow_clients_stay_within_the_memory_limit() {
    const MEMORY_MB: u64 = 48;
    const CLIENTS: usize = 320;
    let value = "v".repeat(300 * 1024);
    let long = row(&value);
    let host = Host::start(
        move |_, text| if text.contains("id=r") { Reply::Bytes(long.clone()) } else { Reply::Row("v") },
    );
    let with_limit = |config: String| {
        let limit = format!("\"limits\":{{\"memory_mb\":{MEMORY_MB},");
        add_console(config.replace("\"limits\":{", &limit))
    };
    let proxy = Proxy::start_with(&[&host], 1024, with_limit);
    let large = query(&format!("{} -- {}", read("h", "history", 20_000), "x".repeat(150 * 1024)));
    let fields = ",a=b".repeat(35_000);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| proxy.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        match number % 4 {
            0 => client.send(&large[..large.len() / 2]),
            1 => client.send(&large[..10 * (number + 1)]),
            2 => client
                .send(&query(&format!("/* id=m{number},c=history,d=20000,cluster=3{fields} */ SELECT 1"))),
            _ => client.send(
                &(0..6)
                    .flat_map(|n| query(&read(&format!("r{number}-{n}"), "history", 20_000)))
                    .collect::<Vec<u8>>(),
            ),
        }
    }
    let answer = proxy.client().query(&read("other", "browse", 15_000));
    assert!(answer.value.is_some() || answer.code == "53300", "{answer:?}");
    for (number, client) in clients.iter_mut().enumerate().filter(|(number, _)| number % 4 == 3) {
        let answer = client.answer();
        assert!(
            answer.value.as_deref() == Some(&*value) || answer.code == "53300",
            "client {number}: {:?}",
            answer.code
        );
    }
    let peak = proxy.peak_memory_kb();
    assert!(peak < MEMORY_MB << 10, "{peak} KB");
}

/// Guards against a stop that waits for clients that send on and on: SIGKILL comes 0.7 s behind the longest deadline.
#[test]
fn a_process_ends_in_time_while_clients_send_at_full_speed() {
    let host = Host::start(|_, _| Reply::Row("v"));
    let short_deadlines = |config: String| config.replace("\"deadlineUs\":20000000", "\"deadlineUs\":500000");
    for flood in [Flood::EncryptionRequests, Flood::BytesBehindAnError, Flood::NewTenants, Flood::Mixed] {
        let mut proxy = Proxy::start_with(&[&host], 1024, short_deadlines);
        let terms = Terms { read_class: "history", write_class: "ingest", group: 3, deadline_ms: 500 };
        let flood_clients = FloodClients::start(flood, 6, proxy.address, terms, 0);
        thread::sleep(Duration::from_millis(200));
        proxy.signal("TERM");
        let signalled = Instant::now();
        assert!(proxy.wait().success(), "{flood:?}");
        let elapsed = signalled.elapsed();
        drop(flood_clients);
        eprintln!("{flood:?}: ends after {elapsed:?}");
        assert!(elapsed < Duration::from_millis(500 + 700), "{flood:?}: {elapsed:?}");
    }
}

/// Guards against a stop that waits for a host that stalls inside a streamed answer: SIGKILL comes before it gives up.
#[test]
fn a_stop_does_not_wait_for_a_host_that_stalls_inside_an_answer() {
    let (reply, pieces) = Reply::streamed();
    let host = Host::start(move |_, _| reply.clone());
    let mut proxy = Proxy::start_with(&[&host], 1024, |config| {
        with_short_targets(config.replace("\"deadlineUs\":20000000", "\"deadlineUs\":500000"))
    });
    let mut client = proxy.client();
    client.send(&query(&read("stalls", "history", 500)));
    host.next_query();
    let answer = row(&"x".repeat(200 * 1024));
    pieces.send(answer[..100 * 1024].to_vec()).expect("the host waits");
    thread::sleep(Duration::from_millis(100));
    proxy.signal("TERM");
    let signalled = Instant::now();
    assert!(proxy.wait().success());
    let elapsed = signalled.elapsed();
    assert!(elapsed < Duration::from_millis(500 + 700), "{elapsed:?}");
}
