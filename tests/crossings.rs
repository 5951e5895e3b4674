//! Crossings: a request, an answer, a signal or a close that comes at the very moment of another. Each is forced, by
//! peers that hold back until told or by a program that is frozen while both happen. `docs/crossings.md` is the table.

mod support;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::Mutex;
use std::sync::mpsc::{Sender, channel};
use std::time::{Duration, Instant};
use support::*;

fn served(value: &'static str) -> Host {
    Host::start(move |_, _| Reply::Row(value))
}

/// A host that answers each query with what it is told to then.
fn told() -> (Host, Sender<Reply>) {
    let (tell, told) = channel::<Reply>();
    let told = Mutex::new(told);
    let answer = move |_: usize, _: &str| {
        told.lock().expect("lock").recv_timeout(TEST_TIMEOUT).unwrap_or(Reply::NoAnswer)
    };
    (Host::start(answer), tell)
}

fn linger(ms: u32) -> impl Fn(String) -> String {
    move |config| config.replacen('{', &format!("{{\"linger_ms\":{ms},"), 1)
}

fn write(id: &str, patience_ms: u32) -> String {
    format!(
        "/* id={id},c=ingest,d={patience_ms},k=5c0f{id},cluster=3 */ INSERT INTO entries VALUES ('7f', '1')"
    )
}

/// The stop's time ends long before the client's patience does.
#[test]
fn a_stop_answers_what_is_still_open_in_words_and_what_came_behind_it() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let mute = Host::without_sessions();
    let mut proxy = Proxy::start_with(&[&host], 1024, linger(100));
    let mut never = Proxy::start_with(&[&mute], 1024, |c| {
        linger(100)(c).replace("\"dialTimeoutUs\":1500000", "\"dialTimeoutUs\":19000000")
    });
    let (mut sent, mut unsent, mut half) = (proxy.client(), never.client(), proxy.client());
    let behind: Vec<u8> = ["2", "3"].iter().flat_map(|id| query(&read(id, "history", 20_000))).collect();
    sent.send(&[query(&write("1", 20_000)), behind].concat());
    host.next_query();
    unsent.send(&query(&write("4", 20_000)));
    assert_eq!(mute.next_event(), HostEvent::Opened);
    proxy.signal("TERM");
    never.signal("TERM");
    proxy.logged("stops");
    half.send(&query(&read("5", "history", 9_000))[..30]);
    // It may have run.
    let answer = sent.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("40003", End::Ready), "{}", answer.message);
    // They have not.
    for _ in 0..2 {
        let answer = sent.answer();
        assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready));
    }
    assert_eq!(sent.answer().end, End::Closed);
    let answer = unsent.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("53300", End::Ready));
    assert_eq!(half.answer().code, "08P01");
    assert!(proxy.wait().success() && never.wait().success());
    assert_eq!(host.next_event(), HostEvent::Closed);
}

/// A request on a resting connection that is being shut: the client sees the end, and no reset.
#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_begun_and_resets_nothing() {
    let host = served("v");
    let mut proxy = Proxy::start_with(&[&host], 1024, linger(1));
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

/// All of it is there at once when the program goes on: what was written before the shutdown is answered.
#[test]
fn a_request_that_comes_with_the_signal_is_answered_whichever_is_seen_first() {
    let host = served("v");
    let mut proxy = Proxy::start_with(&[&host], 1024, linger(1));
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

/// Asks these at once, the first as id 1; its answer and the client's departure come at the same moment. The next client's
/// request has to be the next that the host sees.
fn leaves_as_the_answer_comes(texts: &[String], reply: Reply) {
    let (host, tell) = told();
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    let all: Vec<u8> = texts.iter().flat_map(|text| query(text)).collect();
    client.send(&all);
    assert!(host.next_query().contains("id=1,"));
    proxy.pause();
    drop(client);
    tell.send(reply).expect("the host waits");
    host.wait_for_reply();
    proxy.resume();
    tell.send(Reply::Row("v")).expect("the host waits");
    assert_eq!(proxy.client().query(&read("9", "history", 9000)).value.as_deref(), Some("v"));
    assert!(host.next_query().contains("id=9,"));
}

/// An error that would be followed by another attempt.
#[test]
fn no_further_attempt_begins_for_a_client_that_left_as_the_answer_came() {
    leaves_as_the_answer_comes(&[read("1", "history", 20_000)], Reply::Error("XX000"));
}

/// A read waits for the write before it, and must not begin because that has its answer.
#[test]
fn no_request_behind_another_begins_for_a_client_that_left() {
    leaves_as_the_answer_comes(&[write("1", 20_000), read("2", "history", 20_000)], Reply::Row("v"));
}

/// A session at a host comes up while its client leaves: both are seen at once, longer after the departure than an attempt
/// may begin.
#[test]
fn no_attempt_begins_as_its_connection_comes_up_for_a_client_that_left() {
    let host = served("v");
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

/// It has sent more than is read ahead, so its end is behind bytes that nobody reads.
#[test]
fn a_departure_behind_more_than_is_read_ahead_withdraws_the_attempt() {
    let host = Host::start(|_, _| Reply::NoAnswer);
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    host.next_query();
    client.send(&query("SELECT 1").repeat((3 << 20) / 14));
    let left = Instant::now();
    drop(client);
    assert_eq!(host.next_event(), HostEvent::Closed);
    assert!(left.elapsed() < TEST_TIMEOUT / 2, "the attempt ended with its time, not with its client");
    assert!(proxy.memory_kb() < 40_000, "{} KB", proxy.memory_kb());
}

/// What is read ahead is bounded, and the request that was open has its answer before the client hears so.
#[test]
fn a_client_that_sends_too_much_ahead_hears_so_behind_its_answer() {
    let (host, tell) = told();
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    assert!(host.next_query().contains("id=1,"));
    // More than both machines' buffers hold: most of it has been read when this returns.
    client.send(&query("SELECT 1").repeat((16 << 20) / 14));
    tell.send(Reply::Row("v")).expect("the host waits");
    assert_eq!(client.answer().value.as_deref(), Some("v"));
    let answer = client.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("53200", End::Closed));
}

/// 96 descriptors: 39 for clients. All of them ask before the list is there, and leave.
#[test]
fn clients_that_leave_before_the_proxy_is_ready_give_their_places_back() {
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

/// Told while it cannot serve yet, or before it has looked at anything: it ends, in order.
#[test]
fn a_stop_before_the_list_is_there_and_one_that_comes_twice_end_in_order() {
    let mut proxy = Proxy::start_with(&[], 1024, linger(1));
    let mut client = proxy.client();
    client.send(&query(""));
    // Another is answered after it: the empty query waits by now.
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).code, "57P03");
    proxy.signal("TERM");
    proxy.logged("stops");
    proxy.signal("TERM");
    let answer = client.answer();
    assert_eq!((answer.code.as_str(), answer.end), ("57P03", End::Ready));
    assert_eq!(client.answer().end, End::Closed);
    assert!(proxy.wait().success());
}

/// The host ends a connection at rest, with half of a line, in the moment in which a request is written to it.
#[test]
fn a_host_that_shuts_a_resting_connection_with_half_a_line_costs_no_attempt() {
    let (host, tell) = told();
    let one = |config: String| config.replace("\"mostTries\":10", "\"mostTries\":1");
    let proxy = Proxy::start_with(&[&host], 1024, one);
    let mut client = proxy.client();
    tell.send(Reply::Row("v")).expect("the host waits");
    assert_eq!(client.query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    host.next_query();
    proxy.pause();
    client.send(&query(&read("2", "history", 9000)));
    host.end_connections(b"E\0\0\0");
    assert_eq!(host.next_event(), HostEvent::Closed);
    proxy.resume();
    tell.send(Reply::Row("w")).expect("the host waits");
    let answer = client.answer();
    assert_eq!(answer.value.as_deref(), Some("w"), "{answer:?}");
    assert_eq!(host.next_event(), HostEvent::Opened);
}

/// It writes on and on and reads nothing; whoever is beside it is served.
#[test]
fn a_client_that_sends_much_and_goes_harms_nobody() {
    let host = served("v");
    let proxy = Proxy::start(&[&host], 1024);
    for _ in 0..20 {
        let mut client = proxy.client();
        let much = query("SELECT 1").repeat(200 * 1024 / 14);
        // It may be told to go in the middle of this.
        let sent = client.stream.write_all(&much);
        assert!(sent.is_ok() || sent.is_err_and(|e| e.kind() != ErrorKind::WouldBlock));
    }
    assert_eq!(proxy.client().query(&read("1", "history", 9000)).value.as_deref(), Some("v"));
    assert!(proxy.memory_kb() < 40_000, "{} KB", proxy.memory_kb());
}

/// The first attempt may have run; the connection for the next comes up when the key may be forgotten.
#[test]
fn a_keyed_write_does_not_go_again_over_a_connection_that_came_up_after_its_window() {
    let host = Host::with_slow_sessions(std::time::Duration::from_millis(900));
    let window = |config: String| config.replace("\"dedupWindowUs\":9000000", "\"dedupWindowUs\":700000");
    let proxy = Proxy::start_with(&[&host], 1024, window);
    let answer = proxy.client().query(&write("1", 9_000));
    assert_eq!((answer.code.as_str(), answer.end), ("40003", End::Ready), "{}", answer.message);
    assert!(host.next_query().contains("id=1,"));
    assert_eq!(host.next_event(), HostEvent::Closed);
    assert_eq!(host.next_event(), HostEvent::Opened);
    // The late connection is there for whoever comes next, or closed; no query came over it before.
    let next = proxy.client().query(&write("2", 9_000));
    assert_eq!(next.value.as_deref(), Some("v"));
    assert!(host.next_query().contains("id=2,"));
}

/// The configuration is a pipe: the program stands in the middle of its start until the test writes to it.
#[test]
fn signals_before_the_configuration_is_read_end_nothing_outright() {
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
        let tell = |signal: &str| {
            let kill = format!("kill -{signal} {id}");
            assert!(Command::new("sh").args(["-c", &kill]).status().expect("kill").success());
        };
        tell(signal);
        writer.write_all(config("127.0.0.1:0").as_bytes()).expect("the program reads");
        drop(writer);
        let mut lines = BufReader::new(child.stderr.take().expect("piped"));
        let mut log = String::new();
        if served {
            while !log.contains("serves on") {
                assert!(lines.read_line(&mut log).expect("text") > 0, "after {signal}: {log}");
            }
            // It was heard: the configuration is read again.
            let again = std::fs::OpenOptions::new().write(true).open(&pipe);
            again.expect("the program reads").write_all(config("127.0.0.1:0").as_bytes()).expect("it reads");
            tell("TERM");
        }
        lines.read_to_string(&mut log).expect("text");
        let status = child.wait().expect("it ends");
        assert_eq!(status.code(), Some(0), "after {signal}: {status}, {log}");
        assert_eq!(log.contains("reloaded"), served, "{log}");
    }
    std::fs::remove_file(&pipe).expect("removed");
}

/// An answer without the role and the end that follow its command's.
fn row_alone() -> Vec<u8> {
    let mut whole = row("v");
    let rest = [message(b'S', b"server_role\0writer\0"), message(b'Z', b"I")].concat();
    assert!(whole.ends_with(&rest));
    whole.truncate(whole.len() - rest.len());
    whole
}

/// The same without the command's end: nobody can tell that it is whole.
fn unfinished_row() -> Vec<u8> {
    let mut unfinished = row_alone();
    let complete = message(b'C', b"SELECT 1\0");
    assert!(unfinished.ends_with(&complete));
    unfinished.truncate(unfinished.len() - complete.len());
    unfinished
}

/// A primary that says it is none, in an answer that does not end. Behind its command's end the answer is whole.
#[test]
fn what_an_answer_tells_of_its_host_counts_though_the_answer_does_not_end_in_time() {
    for (beginning, code, value) in [(unfinished_row(), "53300", None), (row_alone(), "", Some("v"))] {
        let told = [beginning, message(b'S', b"server_role\0reader\0")].concat();
        let host = Host::start(move |_, _| Reply::Bytes(told.clone()));
        let proxy = Proxy::start(&[&host], 1024);
        let answer = proxy.client().query(&read("1", "browse", 700));
        assert_eq!((answer.code.as_str(), answer.value.as_deref()), (code, value));
        proxy.logged("is no longer primary");
    }
}

/// The same, where the client leaves as the answer comes.
#[test]
fn what_an_answer_tells_of_its_host_counts_though_its_client_left_at_that_moment() {
    let (host, tell) = told();
    let proxy = Proxy::start(&[&host], 1024);
    let mut client = proxy.client();
    client.send(&query(&read("1", "history", 20_000)));
    assert!(host.next_query().contains("id=1,"));
    proxy.pause();
    drop(client);
    let text = [row_alone(), message(b'S', b"server_role\0reader\0"), message(b'Z', b"I")].concat();
    tell.send(Reply::Bytes(text)).expect("the host waits");
    host.wait_for_reply();
    proxy.resume();
    proxy.logged("is no longer primary");
}

/// All places are taken by clients that have said nothing yet, and one that asks waits for a place as the stop comes: it is
/// not dropped over what it has written.
#[test]
fn a_connection_that_waits_for_a_place_as_the_stop_comes_is_not_reset() {
    let host = served("v");
    // 39 places for clients.
    let mut proxy = Proxy::start_with(&[&host], 96, linger(300));
    let silent: Vec<Client> = (0..39).map(|_| Client::connect(proxy.address)).collect();
    let mut asking = Client::connect(proxy.address);
    asking.send(&[startup(), query(&read("1", "history", 9000))].concat());
    proxy.wait_until_all_accepted();
    proxy.signal("TERM");
    let mut came = Vec::new();
    let ended = asking.stream.read_to_end(&mut came);
    assert!(ended.is_ok(), "{ended:?} behind {} bytes", came.len());
    assert!(!came.is_empty(), "neither an answer nor a refusal");
    drop(silent);
    assert!(proxy.wait().success());
}

/// A host takes the beginning of a statement and then reads nothing for a while: what the statement tells of the time that is
/// left was true when its first byte went, and is 0.3 s too much when its last one does. "id … at …" as `patience_exceeded`
/// in the log, and the same in the figures.
#[test]
fn a_statement_whose_write_stalls_tells_its_host_no_more_time_than_its_client_has() {
    let stuck = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    // Small segments and a small window: the machine takes little of a statement at once.
    stuck.set_recv_buffer_size(4_096).expect("set");
    stuck.set_tcp_mss(536).expect("set");
    stuck.bind(&SocketAddr::new(loopback_address(), 0).into()).expect("bound");
    stuck.listen(64).expect("it listens");
    let listener = TcpListener::from(stuck);
    let mut stuck = Host::start(|_, _| Reply::Row("v"));
    stuck.address = listener.local_addr().expect("bound");
    let (read_on, may_read) = std::sync::mpsc::channel::<()>();
    let (tell, whole) = std::sync::mpsc::channel();
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
            let _ = tell.send(rest.ends_with(b"'\0"));
        }
    });
    let proxy = Proxy::with_console(&[&stuck], 1024);
    let mut client = proxy.client();
    let statement = format!("{} WHERE ref = '{}'", read("1", "history", 9_000), "x".repeat(150 * 1024));
    client.send(&query(&statement));
    proxy.wait_for_open_requests(1);
    wait_until_after(unix_ms() + 300);
    read_on.send(()).expect("the host waits");
    assert!(!whole.recv_timeout(TEST_TIMEOUT).expect("the host reads"), "the host has all of it, 0.3 s late");
    assert_eq!(proxy.stats()["invariants"]["patience_exceeded"], 0);
    assert_eq!(client.answer().end, End::Ready);
}

/// Opens a session and returns the length that the head of its first statement tells; nothing where it ends before.
fn statement_length(stream: &mut TcpStream) -> Option<usize> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    stream.read_exact(&mut vec![0; u32::from_be_bytes(length) as usize - 4]).ok()?;
    stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).ok()?;
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    Some(u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize)
}
