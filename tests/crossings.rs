//! Races between two events: a request, an answer, a signal or a close that comes at the very moment of another. The tests
//! force each race, with peers that hold back until the test lets them go on, or with a program that is frozen while both
//! events happen. `docs/crossings.md` lists the races.

mod support;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};
use support::*;

fn host_serving(value: &'static str) -> Host {
    Host::start(move |_, _| Reply::Row(value))
}

/// A host that answers each query with the next reply that the test sends.
fn host_replying_on_demand() -> (Host, Sender<Reply>) {
    let (reply_sender, replies) = channel::<Reply>();
    let replies = Mutex::new(replies);
    let script = move |_: usize, _: &str| {
        replies.lock().expect("lock").recv_timeout(TEST_TIMEOUT).unwrap_or(Reply::NoAnswer)
    };
    (Host::start(script), reply_sender)
}

fn with_linger_ms(ms: u32) -> impl Fn(String) -> String {
    move |config| config.replacen('{', &format!("{{\"linger_ms\":{ms},"), 1)
}

fn write(id: &str, patience_ms: u32) -> String {
    format!(
        "/* id={id},c=ingest,d={patience_ms},k=5c0f{id},cluster=3 */ INSERT INTO entries VALUES ('7f', '1')"
    )
}

/// The stop's time ends long before the clients' deadlines. One write was sent to its host, another has no connection yet,
/// and a third client sends only a part of its request.
#[test]
fn a_stop_answers_open_and_pipelined_requests_with_errors() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let mute = Host::without_sessions();
    let mut proxy = Proxy::start_with(&[&host], 1024, with_linger_ms(100));
    let mut proxy_without_connection = Proxy::start_with(&[&mute], 1024, |c| {
        with_linger_ms(100)(c).replace("\"dialTimeoutUs\":1500000", "\"dialTimeoutUs\":19000000")
    });
    let mut sent = proxy.client();
    let mut unsent = proxy_without_connection.client();
    let mut partial = proxy.client();
    let pipelined: Vec<u8> = ["2", "3"].iter().flat_map(|id| query(&read(id, "history", 20_000))).collect();
    sent.send(&[query(&write("1", 20_000)), pipelined].concat());
    host.next_query();
    unsent.send(&query(&write("4", 20_000)));
    assert_eq!(mute.next_event(), HostEvent::Opened);
    proxy.signal("TERM");
    proxy_without_connection.signal("TERM");
    proxy.logged("stops");
    partial.send(&query(&read("5", "history", 9_000))[..30]);
    // The write may have run.
    let answer = sent.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("40003", End::Ready), "{}", answer.message);
    // The pipelined reads have not run.
    for _ in 0..2 {
        let answer = sent.answer();
        assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready));
    }
    assert_eq!(sent.answer().end, End::Closed);
    let answer = unsent.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready));
    assert_eq!(partial.answer().code, "08P01");
    assert!(proxy.wait().success() && proxy_without_connection.wait().success());
    assert_eq!(host.next_event(), HostEvent::Closed);
}

/// The client sends a request on an idle connection that the proxy is closing. It sees the end of the connection, and no
/// reset.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_started_and_not_reset() {
    let host = host_serving("v");
    let mut proxy = Proxy::start_with(&[&host], 1024, with_linger_ms(1));
    let mut client = proxy.client();
    assert_eq!(client.query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    proxy.signal("TERM");
    assert_eq!(client.answer().end, End::Closed);
    client.send(&query(&read("2", "history", 9000)));
    assert!(proxy.wait().success());
    let after = client.stream.read(&mut [0]);
    assert!(matches!(after, Ok(0)), "{after:?}");
    assert_eq!(host.next_event(), HostEvent::Opened);
    assert!(matches!(host.next_event(), HostEvent::Query(text) if text.contains("id=1,")));
    assert_eq!(host.next_event(), HostEvent::Closed);
}

/// The signals and the requests are there at once when the frozen program goes on. Requests that were written before the
/// shutdown are answered.
#[test]
fn a_request_that_comes_with_sigterm_is_answered() {
    let host = host_serving("v");
    let mut proxy = Proxy::start_with(&[&host], 1024, with_linger_ms(1));
    let (mut old, mut new) = (proxy.client(), Client::connect(proxy.address));
    proxy.pause();
    proxy.signal("TERM");
    proxy.signal("HUP");
    proxy.signal("TERM");
    old.send(&query(&read("1", "history", 9000)));
    new.send(&[startup(), query(&read("2", "history", 9000))].concat());
    proxy.resume();
    assert_eq!(old.answer().value.as_deref(), Some("v"));
    assert_eq!(new.answer().end, End::Ready);
    assert_eq!(new.answer().value.as_deref(), Some("v"));
    assert_eq!((old.answer().end, new.answer().end), (End::Closed, End::Closed));
    assert!(proxy.wait().success());
}

/// Sends these requests at once, the first with id 1. Its answer and the client's disconnect come at the same moment. The
/// next request that the host receives has to be that of another client.
fn client_disconnects_with_the_answer(texts: &[String], reply: Reply) {
    let (host, reply_sender) = host_replying_on_demand();
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let all: Vec<u8> = texts.iter().flat_map(|text| query(text)).collect();
    client.send(&all);
    assert!(host.next_query().contains("id=1,"));
    proxy.pause();
    drop(client);
    reply_sender.send(reply).expect("the host waits");
    host.wait_for_reply();
    proxy.resume();
    reply_sender.send(Reply::Row("v")).expect("the host waits");
    assert_eq!(proxy.client().query(&read("9", "history", 9000)).value.as_deref(), Some("v"));
    assert!(host.next_query().contains("id=9,"));
}

/// The answer is an error, after which the proxy would start another attempt.
#[test]
fn no_retry_starts_for_a_client_that_disconnects_with_the_answer() {
    client_disconnects_with_the_answer(&[read("1", "history", 20_000)], Reply::Error("XX000"));
}

/// A pipelined read waits for the write before it, and must not start when the write has its answer.
#[test]
fn no_pipelined_request_starts_for_a_client_that_disconnects_with_the_answer() {
    client_disconnects_with_the_answer(&[write("1", 20_000), read("2", "history", 20_000)], Reply::Row("v"));
}

/// A session at a host comes up while the client disconnects. The proxy sees both at once, later after the disconnect than
/// an attempt may start.
#[test]
fn no_attempt_starts_on_a_new_connection_for_a_disconnected_client() {
    let host = host_serving("v");
    host.hold_sessions();
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    assert_eq!(host.next_event(), HostEvent::Opened);
    proxy.pause();
    drop(client);
    host.release_sessions();
    host.wait_for_session();
    proxy.resume();
    assert_eq!(proxy.client().query(&read("9", "history", 9_000)).value.as_deref(), Some("v"));
    assert!(host.next_query().contains("id=9,"));
}

/// The client has sent more than the read-ahead limit, so its end of the connection is behind bytes that are discarded.
#[test]
fn a_disconnect_behind_more_than_the_read_ahead_limit_withdraws_the_attempt() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    host.next_query();
    client.send(&query("SELECT 1").repeat((3 << 20) / 14));
    let disconnected = Instant::now();
    drop(client);
    assert_eq!(host.next_event(), HostEvent::Closed);
    assert!(
        disconnected.elapsed() < TEST_TIMEOUT / 2,
        "the attempt ended at its deadline, not with its client"
    );
    assert!(proxy.memory_kb() < 40_000, "{} KB", proxy.memory_kb());
}

/// The read-ahead is limited. The open request is answered before the client gets the error.
#[test]
fn a_client_beyond_the_read_ahead_limit_gets_an_error_behind_its_answer() {
    let (host, reply_sender) = host_replying_on_demand();
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    assert!(host.next_query().contains("id=1,"));
    // More than the socket buffers hold: the proxy has read most of it when this returns.
    client.send(&query("SELECT 1").repeat((16 << 20) / 14));
    reply_sender.send(Reply::Row("v")).expect("the host waits");
    assert_eq!(client.answer().value.as_deref(), Some("v"));
    let answer = client.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("53200", End::Closed));
}

/// With 96 descriptors there are 39 slots for clients. All these clients send a query before there is a list, and
/// disconnect.
#[test]
fn clients_that_disconnect_before_the_proxy_is_ready_free_their_slots() {
    let proxy = Proxy::start(&[], 96);
    let waiting: Vec<Client> = (0..39)
        .map(|_| {
            let mut client = proxy.client();
            client.send(&query(""));
            client
        })
        .collect();
    let full = Client::connect(proxy.address).answer();
    assert_eq!(full.code, "53300");
    for client in waiting {
        client.stream.shutdown(Shutdown::Write).expect("open");
        assert_eq!(Client { stream: client.stream }.answer().end, End::Closed);
    }
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).code, "57P03");
}

/// SIGTERM comes while the proxy can't serve yet, and then once more.
#[test]
fn a_stop_without_a_list_and_a_second_sigterm_end_in_order() {
    let mut proxy = Proxy::start_with(&[], 1024, with_linger_ms(1));
    let mut client = proxy.client();
    client.send(&query(""));
    // A later request of another client is answered, so the empty query waits by now.
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).code, "57P03");
    proxy.signal("TERM");
    proxy.logged("stops");
    proxy.signal("TERM");
    let answer = client.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("57P03", End::Ready));
    assert_eq!(client.answer().end, End::Closed);
    assert!(proxy.wait().success());
}

/// The host ends an idle connection, with a part of a message, at the moment in which a request would be written to it.
#[test]
fn an_idle_host_connection_that_ends_with_a_partial_message_costs_no_attempt() {
    let (host, reply_sender) = host_replying_on_demand();
    let one_attempt = |config: String| config.replace("\"mostTries\":10", "\"mostTries\":1");
    let proxy = Proxy::start_with(&[&host], 1024, one_attempt);
    let mut client = proxy.client();
    reply_sender.send(Reply::Row("v")).expect("the host waits");
    assert_eq!(client.query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    host.next_query();
    proxy.pause();
    client.send(&query(&read("2", "history", 9000)));
    host.end_connections(b"E\0\0\0");
    assert_eq!(host.next_event(), HostEvent::Closed);
    proxy.resume();
    reply_sender.send(Reply::Row("w")).expect("the host waits");
    let answer = client.answer();
    assert_eq!(answer.value.as_deref(), Some("w"), "{answer:?}");
    assert_eq!(host.next_event(), HostEvent::Opened);
}

/// Each client writes 200 KB, reads nothing and disconnects. Other clients are served.
#[test]
fn a_client_that_sends_much_and_disconnects_does_not_affect_others() {
    let host = host_serving("v");
    let proxy = Proxy::start(&[&host], 1024);
    for _ in 0..20 {
        let mut client = proxy.client();
        let many_queries = query("SELECT 1").repeat(200 * 1024 / 14);
        // The proxy may close the connection in the middle of this.
        let sent = client.stream.write_all(&many_queries);
        assert!(sent.is_ok() || sent.is_err_and(|e| e.kind() != ErrorKind::WouldBlock));
    }
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    assert!(proxy.memory_kb() < 40_000, "{} KB", proxy.memory_kb());
}

/// The first attempt may have run. The connection for the next one comes up when hosts may have forgotten the key.
#[test]
fn a_keyed_write_is_not_retried_after_its_deduplication_window() {
    let host = Host::with_slow_sessions(std::time::Duration::from_millis(900));
    let window = |config: String| config.replace("\"dedupWindowUs\":9000000", "\"dedupWindowUs\":700000");
    let proxy = Proxy::start_with(&[&host], 1024, window);
    let answer = proxy.client().query(&write("1", 9_000));
    assert_eq!((answer.code.as_str(), answer.end), ("40003", End::Ready), "{}", answer.message);
    assert!(host.next_query().contains("id=1,"));
    assert_eq!(host.next_event(), HostEvent::Closed);
    assert_eq!(host.next_event(), HostEvent::Opened);
    // The late connection serves the next client or is closed; no query was written to it before.
    let next_answer = proxy.client().query(&write("2", 9_000));
    assert_eq!(next_answer.value.as_deref(), Some("v"));
    assert!(host.next_query().contains("id=2,"));
}

/// The configuration is a pipe, which holds the program in the middle of its start until the test writes to it.
#[test]
fn signals_before_the_configuration_is_read_are_handled_in_order() {
    let agent = Agent::start();
    let pipe = std::env::temp_dir().join(format!("sillfold-{}-early", std::process::id()));
    assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo").success());
    let config = |listen: &str| {
        let agent = agent.address;
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{agent}","seed":"1f","linger_ms":1,"settings":{SETTINGS}}}"#
        )
    };
    for (signal, served) in [("TERM", false), ("HUP", true)] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_sillfold"))
            .env("LB_CONFIG", &pipe)
            .env_remove("TMPDIR")
            .stderr(std::process::Stdio::piped())
            .spawn()
            .expect("the program starts");
        // Returns once the program reads.
        let mut writer = std::fs::OpenOptions::new().write(true).open(&pipe).expect("the program reads");
        let id = child.id();
        let send_signal = |signal: &str| {
            let kill = format!("kill -{signal} {id}");
            assert!(Command::new("sh").args(["-c", &kill]).status().expect("kill").success());
        };
        send_signal(signal);
        writer.write_all(config("127.0.0.1:0").as_bytes()).expect("the program reads");
        drop(writer);
        let mut lines = BufReader::new(child.stderr.take().expect("piped"));
        let mut log = String::new();
        if served {
            while !log.contains("serves on") {
                assert!(lines.read_line(&mut log).expect("text") > 0, "after {signal}: {log}");
            }
            // The program handles SIGHUP by reading the configuration again.
            let again = std::fs::OpenOptions::new().write(true).open(&pipe);
            again.expect("the program reads").write_all(config("127.0.0.1:0").as_bytes()).expect("it reads");
            send_signal("TERM");
        }
        lines.read_to_string(&mut log).expect("text");
        let status = child.wait().expect("it ends");
        assert_eq!(status.code(), Some(0), "after {signal}: {status}, {log}");
        assert_eq!(log.contains("reloaded"), served, "{log}");
    }
    std::fs::remove_file(&pipe).expect("removed");
}

/// An answer up to the end of its command, without the role and the end of the answer that follow.
fn row_alone() -> Vec<u8> {
    let mut whole = row("v");
    let rest = [message(b'S', b"server_role\0writer\0"), message(b'Z', b"I")].concat();
    assert!(whole.ends_with(&rest));
    whole.truncate(whole.len() - rest.len());
    whole
}

/// The same without the end of the command, so that the answer isn't complete.
fn unfinished_row() -> Vec<u8> {
    let mut unfinished = row_alone();
    let complete = message(b'C', b"SELECT 1\0");
    assert!(unfinished.ends_with(&complete));
    unfinished.truncate(unfinished.len() - complete.len());
    unfinished
}

/// A host that is listed as primary reports that it is a replica, in an answer that does not end. An answer whose command
/// has ended is complete all the same.
#[test]
fn the_role_in_an_answer_counts_though_the_answer_does_not_end_in_time() {
    for (beginning, code, value) in [(unfinished_row(), "53300", None), (row_alone(), "", Some("v"))] {
        let partial_answer = [beginning, message(b'S', b"server_role\0reader\0")].concat();
        let host = Host::start(move |_, _| Reply::Bytes(partial_answer.clone()));
        let proxy = Proxy::start(&[&host], 1024);
        let answer = proxy.client().query(&read("1", "browse", 700));
        assert_eq!((answer.code.as_str(), answer.value.as_deref()), (code, value));
        proxy.logged("is no longer primary");
    }
}

/// The same, where the client disconnects with the answer.
#[test]
fn the_role_in_an_answer_counts_though_its_client_disconnects_with_it() {
    let (host, reply_sender) = host_replying_on_demand();
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    assert!(host.next_query().contains("id=1,"));
    proxy.pause();
    drop(client);
    let text = [row_alone(), message(b'S', b"server_role\0reader\0"), message(b'Z', b"I")].concat();
    reply_sender.send(Reply::Bytes(text)).expect("the host waits");
    host.wait_for_reply();
    proxy.resume();
    proxy.logged("is no longer primary");
}

/// All slots are taken by clients that have sent nothing yet, and a client with a request waits for a slot when the stop
/// comes. Its connection must not be reset with its request unread.
#[test]
fn a_connection_that_waits_for_a_slot_at_a_stop_is_not_reset() {
    let host = host_serving("v");
    // 39 slots for clients.
    let mut proxy = Proxy::start_with(&[&host], 96, with_linger_ms(300));
    let silent: Vec<Client> = (0..39).map(|_| Client::connect(proxy.address)).collect();
    let mut asking = Client::connect(proxy.address);
    asking.send(&[startup(), query(&read("1", "history", 9000))].concat());
    proxy.wait_until_all_accepted();
    proxy.signal("TERM");
    let mut received = Vec::new();
    let ended = asking.stream.read_to_end(&mut received);
    assert!(ended.is_ok(), "{ended:?} behind {} bytes", received.len());
    assert!(!received.is_empty(), "neither an answer nor a refusal");
    drop(silent);
    assert!(proxy.wait().success());
}

/// A host reads the beginning of a statement and then nothing for a while. The remaining patience in the statement is right
/// when its first byte is written, and 0.3 s too long when its last one is. Without the check, the log and the figures
/// report `patience_exceeded`.
#[test]
fn a_statement_whose_write_stalls_tells_its_host_no_more_time_than_its_client_has() {
    let stuck = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // With small segments and a small window, the sockets buffer little of a statement.
    stuck.set_recv_buffer_size(4_096).expect("set");
    stuck.set_tcp_mss(536).expect("set");
    stuck.bind(&SocketAddr::new(loopback_address(), 0).into()).expect("bound");
    stuck.listen(64).expect("it listens");
    let listener = TcpListener::from(stuck);
    let mut stuck = Host::start(|_, _| Reply::Row("v"));
    stuck.address = listener.local_addr().expect("bound");
    let (read_on, may_read) = std::sync::mpsc::channel::<()>();
    let (completeness, is_complete) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut small = Vec::new();
        for mut stream in listener.incoming().flatten() {
            if statement_length(&mut stream).is_none_or(|length| length < 1_024) {
                small.push(stream);
                continue;
            }
            let _ = may_read.recv_timeout(TEST_TIMEOUT);
            let mut rest = Vec::new();
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = stream.read_to_end(&mut rest);
            let _ = completeness.send(rest.ends_with(b"'\0"));
        }
    });
    let proxy = Proxy::with_console(&[&stuck], 1024);
    let mut client = proxy.client();
    let statement = format!("{} WHERE ref = '{}'", read("1", "history", 9_000), "x".repeat(150 * 1024));
    client.send(&query(&statement));
    proxy.wait_for_open_requests(1);
    wait_until_after(unix_ms() + 300);
    read_on.send(()).expect("the host waits");
    let complete = is_complete.recv_timeout(TEST_TIMEOUT).expect("the host reads");
    assert!(!complete, "the host has the complete statement, 0.3 s late");
    assert_eq!(proxy.stats()["invariants"]["patience_exceeded"], 0);
    assert_eq!(client.answer().end, End::Ready);
}

/// Opens a session and returns the length in the head of its first statement; `None` if the connection ends before.
fn statement_length(stream: &mut TcpStream) -> Option<usize> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).ok()?;
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    Some(u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize)
}
