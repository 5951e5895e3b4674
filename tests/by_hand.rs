//! Manual overrides of hosts stay in effect when the folder cannot be read, clocks differ, or other processes end, hang or
//! send invalid messages.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use support::*;

/// A host that answers every statement with this value.
fn host_with_value(value: &'static str) -> Host {
    Host::start(move |_, _| Reply::Row(value))
}

/// The host's name in the list and in operators' calls.
fn name_of(host: &Host) -> String {
    format!("s-{}", host.address.port())
}

/// The file that holds the override of a host.
fn override_file(proxy: &Proxy, host: &Host) -> PathBuf {
    let hex: String = name_of(host).bytes().map(|b| format!("{b:02x}")).collect();
    proxy.directory.join("hosts").join(hex)
}

/// Leaves the host out (`direction` is "down") or uses it again ("up") by a call to this process.
fn set_override(proxy: &Proxy, host: &Host, direction: &str) {
    let who = format!(r#"{{"who":"{}"}}"#, name_of(host));
    assert_eq!(proxy.console_request("POST", &format!("/ops/database-hosts/{direction}"), &who).0, 200);
}

/// Replaces the folder of overrides by a file, so that nothing in it can be read or written until `restore`.
struct BrokenFolder {
    hosts: PathBuf,
    aside: PathBuf,
}

impl BrokenFolder {
    fn replace(proxy: &Proxy) -> BrokenFolder {
        let (hosts, aside) = (proxy.directory.join("hosts"), proxy.directory.join("aside"));
        std::fs::rename(&hosts, &aside).expect("the folder is there");
        std::fs::write(&hosts, "").expect("the path is free");
        BrokenFolder { hosts, aside }
    }

    fn restore(self) {
        std::fs::remove_file(&self.hosts).expect("it exists");
        std::fs::rename(&self.aside, &self.hosts).expect("the path is free again");
    }
}

/// A stand-in for a process that runs beside a proxy: one of another version, or one that sends invalid messages.
struct OtherProcess {
    stream: UnixStream,
    lines: BufReader<UnixStream>,
}

impl OtherProcess {
    /// Connects as a process that starts later than the proxy.
    fn connect(proxy: &Proxy) -> OtherProcess {
        let stream = UnixStream::connect(proxy.directory.join("sillfold.sock")).expect("it listens");
        OtherProcess::with_stream(stream)
    }

    /// Uses a connection that the proxy has opened.
    fn with_stream(stream: UnixStream) -> OtherProcess {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let lines = BufReader::new(stream.try_clone().expect("a copy"));
        OtherProcess { stream, lines }
    }

    fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).expect("the proxy keeps the connection");
    }

    /// Sends overrides. Each is a JSON object with host, out and stamp.
    fn send_overrides(&mut self, overrides: &str) {
        let held = r#""process":1,"ready":true,"clients":0,"bytes":0,"hosts":0"#;
        self.send_line(&format!(r#"{{{held},"orders":[{overrides}],"complete":true}}"#));
    }

    /// The next message of the proxy. `None` if the proxy has closed the connection.
    fn receive(&mut self) -> Option<serde_json::Value> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(1..) => Some(serde_json::from_str(&line).expect("JSON")),
            _ => None,
        }
    }

    /// The first override of the next message that holds any.
    fn receive_override(&mut self) -> serde_json::Value {
        let started = Instant::now();
        loop {
            let line = self.receive().expect("the proxy keeps the connection");
            assert!(started.elapsed() < TEST_TIMEOUT, "no override is sent");
            if let Some(first) = line["orders"].as_array().and_then(|overrides| overrides.first()) {
                return first.clone();
            }
        }
    }
}

fn now_us() -> u64 {
    unix_ms() * 1_000
}

/// Starts a new version beside this one and waits until it serves.
fn start_beside(proxy: &Proxy, hosts: &[&Host]) -> Proxy {
    start_nth_beside(proxy, hosts, 1)
}

/// The same as the `nth` process beside this one.
fn start_nth_beside(proxy: &Proxy, hosts: &[&Host], nth: u16) -> Proxy {
    let next = proxy.start_nth_beside(nth);
    let hosts: Vec<(&Host, &str)> = hosts.iter().map(|&h| (h, "SERVING")).collect();
    next.agent.send_line(&list(42, true, &hosts));
    next.logged("serves on");
    next
}

/// The override's file cannot be read when the next process starts, and can be read later. No other process runs by then.
#[test]
fn an_override_whose_file_is_unreadable_at_the_start_is_applied_once_readable() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let first = Proxy::with_console(&[&primary, &replica], 1024);
    set_override(&first, &replica, "down");
    let (file, aside) = (override_file(&first, &replica), first.directory.join("aside"));
    first.signal("KILL");
    std::fs::rename(&file, &aside).expect("the override is in its file");
    std::fs::create_dir(&file).expect("the path is free");
    let next = start_beside(&first, &[&primary, &replica]);
    assert_eq!(next.stats()["hosts_down"], 0);
    std::fs::remove_dir(&file).expect("it is empty");
    std::fs::rename(&aside, &file).expect("the path is free again");
    next.logged("was left out by a manual override");
    assert_eq!(next.stats()["hosts_down"], 1);
}

/// An earlier version, whose clock was an hour behind when it started, writes a file without a comparable stamp.
#[test]
fn an_override_from_a_clock_that_is_behind_is_applied() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let old = Proxy::with_console(&[&primary, &replica], 1024);
    set_override(&old, &replica, "down");
    let new = start_beside(&old, &[&primary, &replica]);
    assert_eq!(new.stats()["hosts_down"], 1);
    let (file, next) = (override_file(&old, &replica), old.directory.join("next"));
    let an_hour_ago = (unix_ms() - 3_600_000) * 1_000;
    std::fs::write(&next, format!("up {an_hour_ago}")).expect("written");
    std::fs::rename(&next, &file).expect("put in place");
    new.logged("was used again by a manual override");
    assert_eq!(new.stats()["hosts_down"], 0);
}

/// The second of three processes is killed. The first and the third connect to each other and exchange overrides.
#[test]
fn the_first_and_third_process_exchange_overrides_after_the_second_was_killed() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    let second = start_beside(&first, &hosts);
    first.logged("a new process has started");
    let third = start_nth_beside(&first, &hosts, 2);
    second.logged("a new process has started");
    second.signal("KILL");
    first.logged("the other process has ended");
    third.logged("the other process has ended");
    set_override(&first, &replica, "down");
    third.logged("was left out by a manual override");
    set_override(&third, &replica, "up");
    first.logged("was used again by a manual override");
}

/// A process is stopped for longer than the expiry of its readiness. Overrides reach it once it continues.
#[test]
fn a_stopped_process_receives_overrides_once_it_continues() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let old = Proxy::with_console(&hosts, 1024);
    let new = start_beside(&old, &hosts);
    old.logged("a new process has started");
    new.agent.next_request();
    old.pause();
    // Waits for 2.6 s: the other process's watch is open, so it makes no new call.
    assert_eq!(new.agent.next_request_within(Duration::from_millis(2_600)), None);
    old.resume();
    set_override(&new, &replica, "down");
    old.logged("was left out by a manual override");
}

/// Guards against a new version that accepts clients as soon as it has its list, and learns from the folder alone which hosts
/// are left out. While the folder cannot be read, it would use hosts that the process beside it has left out (found by
/// simulated seed 5036: a request was sent to a host 555,713 us after it was left out).
#[test]
fn a_new_version_is_not_ready_before_it_knows_the_overrides_of_the_process_beside_it() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let old = Proxy::with_console(&hosts, 1024);
    set_override(&old, &replica, "down");
    let folder = BrokenFolder::replace(&old);
    old.pause();
    let new = old.start_beside();
    new.agent.send_line(&list(42, true, &[(&primary, "SERVING"), (&replica, "SERVING")]));
    // It has its list, but it is not ready while the other process sends nothing.
    new.logged("another process runs");
    while new.stats()["hosts_listed"] != 2 {}
    assert_eq!(new.console_request("GET", "/ops/readiness", "").0, 503);
    old.resume();
    new.logged("was left out by a manual override");
    new.logged("serves on");
    assert_eq!(new.stats()["hosts_down"], 1);
    folder.restore();
}

/// A new version also waits because the first message of the process before tells what that process holds of the limits.
/// Without it the new version would use half of each limit.
#[test]
fn a_hung_process_delays_the_start_of_a_new_version_by_a_bounded_time() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let old = Proxy::with_console(&[&primary, &replica], 1024);
    old.pause();
    let started = Instant::now();
    let new = start_beside(&old, &[&primary, &replica]);
    assert!(started.elapsed() > Duration::from_millis(1_500), "it did not wait");
    assert!(started.elapsed() < Duration::from_secs(6), "it must be ready within 10 s, with a margin");
    old.resume();
    set_override(&old, &replica, "down");
    new.logged("was left out by a manual override");
}

#[test]
fn overrides_of_the_first_process_reach_the_third_through_the_second() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    set_override(&first, &replica, "down");
    let folder = BrokenFolder::replace(&first);
    let second = start_beside(&first, &hosts);
    let third = start_nth_beside(&first, &hosts, 2);
    for later in [&second, &third] {
        assert_eq!(later.stats()["hosts_down"], 1);
    }
    folder.restore();
}

/// The process that accepted an override ends while the folder is broken, and the override's file is lost. A process that has
/// received the override keeps it, and writes it to its file as soon as it can.
#[test]
fn an_override_outlives_the_process_that_accepted_it_and_its_file() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    set_override(&first, &replica, "down");
    let folder = BrokenFolder::replace(&first);
    let second = start_beside(&first, &hosts);
    first.signal("KILL");
    second.logged("the other process has ended");
    std::fs::remove_dir_all(&folder.aside).expect("it exists");
    std::fs::create_dir(&folder.aside).expect("the path is free");
    folder.restore();
    second.logged("is in its file again");
    second.signal("KILL");
    let third = start_nth_beside(&first, &hosts, 2);
    // No other process runs, so this one serves before it has its list.
    while third.stats()["hosts_listed"] != 2 {}
    assert_eq!(third.stats()["hosts_down"], 1);
}

/// An override that cannot be written to its file fails, and has no effect in any process. The answer to one that succeeds
/// holds the number of processes, and that it outlasts them.
#[test]
fn the_answer_to_an_override_says_whether_it_is_in_effect_and_outlasts_the_processes() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let old = Proxy::with_console(&hosts, 1024);
    let new = start_beside(&old, &hosts);
    old.logged("a new process has started");
    let folder = BrokenFolder::replace(&old);
    let who = format!(r#"{{"who":"{}"}}"#, name_of(&replica));
    let (status, text) = old.console_request("POST", "/ops/database-hosts/down", &who);
    assert!(
        status == 500 && text.contains("the order holds nowhere, nothing has changed"),
        "{status} {text}"
    );
    assert_eq!((&old.stats()["hosts_down"], &new.stats()["hosts_down"]), (&0.into(), &0.into()));
    folder.restore();
    let (status, text) = old.console_request("POST", "/ops/database-hosts/down", &who);
    let answer: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((status, &answer["processes"], &answer["outlasts_processes"]), (200, &2.into(), &true.into()));
    new.logged("was left out by a manual override");
    let left: Vec<_> = std::fs::read_dir(old.directory.join("hosts")).expect("it exists").collect();
    assert_eq!(left.len(), 1, "an incomplete file is left: {left:?}");
}

/// The override before was given by a process whose clock is an hour ahead. An override that is given with knowledge of it
/// still replaces it, both in messages and in the file. A message alone is enough to use a host again.
#[test]
fn an_override_given_with_knowledge_of_another_replaces_it_whatever_the_clocks() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let proxy = Proxy::with_console(&[&primary, &replica], 1024);
    let mut other = OtherProcess::connect(&proxy);
    let (host, ahead) = (name_of(&replica), now_us() + 3_600_000_000);
    other.send_overrides(&format!(r#"{{"host":"{host}","out":true,"stamp":{ahead}}}"#));
    proxy.logged("was left out by a manual override");
    assert_eq!(other.receive_override()["stamp"], ahead);
    set_override(&proxy, &replica, "up");
    let back = other.receive_override();
    assert_eq!((&back["out"], &back["stamp"]), (&false.into(), &(ahead + 1).into()));
    let text = std::fs::read_to_string(override_file(&proxy, &replica)).expect("it exists");
    assert_eq!(text, format!("up +{}", ahead + 1));
    // The override of before has no effect when it is sent again. One with a later stamp has.
    other.send_overrides(&format!(r#"{{"host":"{host}","out":true,"stamp":{ahead}}}"#));
    other.send_overrides(&format!(r#"{{"host":"{host}","out":true,"stamp":{}}}"#, ahead + 2));
    proxy.logged("was left out by a manual override");
    other.send_overrides(&format!(r#"{{"host":"{host}","out":false,"stamp":{}}}"#, ahead + 3));
    proxy.logged("was used again by a manual override");
    assert_eq!(proxy.stats()["hosts_down"], 0);
}

/// A process of an earlier version sends no overrides. A new version waits only for its first message, and reads what it
/// writes into the folder well within the grace of a drain.
#[test]
fn overrides_of_an_earlier_version_that_sends_none_are_read_from_the_folder() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let gone = Proxy::with_console(&hosts, 1024);
    gone.signal("KILL");
    let socket = gone.directory.join("sillfold.sock");
    std::fs::remove_file(&socket).expect("the socket is left");
    let listener = UnixListener::bind(&socket).expect("the path is free");
    let proxy = gone.start_beside();
    proxy.agent.send_line(&list(42, true, &[(&primary, "SERVING"), (&replica, "SERVING")]));
    let (stream, _) = listener.accept().expect("the proxy connects");
    let mut other = OtherProcess::with_stream(stream);
    other.send_line(r#"{"process":1,"ready":true,"clients":3,"bytes":0,"hosts":2}"#);
    proxy.logged("serves on");
    let (file, next) = (override_file(&gone, &replica), gone.directory.join("next"));
    std::fs::write(&next, format!("down {}", now_us())).expect("written");
    std::fs::rename(&next, &file).expect("put in place");
    let written = Instant::now();
    proxy.logged("was left out by a manual override");
    assert!(written.elapsed() < Duration::from_millis(500), "{:?}", written.elapsed());
    // The file keeps the text of the earlier version, which can read no other.
    assert!(std::fs::read_to_string(&file).expect("it exists").starts_with("down 1"));
}

/// As many hosts as a list may have, with the longest names. Each override is sent once, in messages that every version
/// accepts.
#[test]
fn a_thousand_overrides_with_long_names_are_sent_once_in_messages_of_bounded_length() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let gone = Proxy::with_console(&hosts, 1024);
    gone.signal("KILL");
    for n in 0..1_024 {
        let name: String = format!("{n:0>126}\u{1}").bytes().map(|b| format!("{b:02x}")).collect();
        std::fs::write(gone.directory.join("hosts").join(name), format!("down {}", now_us()))
            .expect("written");
    }
    let proxy = start_beside(&gone, &hosts);
    let mut other = OtherProcess::connect(&proxy);
    let (mut received, mut bytes, mut lines) = (0, 0, 0);
    let started = Instant::now();
    loop {
        let line = other.receive().expect("the proxy keeps the connection");
        assert!(started.elapsed() < TEST_TIMEOUT, "not all overrides were sent");
        assert!(line.to_string().len() < 48 * 1024, "{} bytes", line.to_string().len());
        received += line["orders"].as_array().expect("overrides").len();
        if line["complete"] == true {
            break;
        }
    }
    assert_eq!(received, 1_024);
    while lines < 20 {
        bytes += other.receive().expect("the proxy keeps the connection").to_string().len();
        lines += 1;
    }
    assert!(bytes < 20 * 200, "{bytes} bytes in 20 messages without a change");
}

/// Invalid messages of another process neither crash a proxy nor put a host back into use.
#[test]
fn invalid_messages_of_another_process_are_ignored_or_close_the_connection() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let proxy = Proxy::with_console(&[&primary, &replica], 1024);
    set_override(&proxy, &replica, "down");
    let host = name_of(&replica);
    let mut other = OtherProcess::connect(&proxy);
    let in_years = now_us() + 100 * 365 * 86_400 * 1_000_000;
    for (item, why) in [
        (format!(r#"{{"host":"{host}","out":false,"stamp":{in_years}}}"#), "too far ahead"),
        (format!(r#"{{"host":"{host}","out":false,"stamp":-1}}"#), "from another process is ignored"),
        (format!(r#"{{"host":"{host}","out":"no"}}"#), "from another process is ignored"),
        ("7".into(), "from another process is ignored"),
        (format!(r#"{{"host":"{}","out":true,"stamp":1}}"#, "x".repeat(500)), "too long"),
    ] {
        other.send_overrides(&item);
        proxy.logged(why);
    }
    // An override older than the one in effect; then one of an unknown host, with a key of a later version.
    other.send_overrides(&format!(r#"{{"host":"{host}","out":false,"stamp":5}}"#));
    other.send_overrides(r#"{"host":"nobody","out":true,"stamp":5,"by":"me"}"#);
    proxy.logged("nobody was left out by a manual override");
    assert_eq!(proxy.stats()["hosts_down"], 1);
    for bad in ["nonsense".to_string(), "x".repeat(70_000)] {
        other.send_line(&bad);
        while other.receive().is_some() {}
        proxy.logged("the other process has ended");
        other = OtherProcess::connect(&proxy);
    }
    assert_eq!(proxy.stats()["hosts_down"], 1);
}

/// Guards against a process that connects to itself in a loop. It had become the latest, but still counted as superseded, since
/// an older process had connected to it. When that process ended, it connected to the latest one, which was itself, and did so
/// again each time. A soak of three versions in a row logged "another process runs" 71,754 times within 8 s in one process,
/// which slowed down its clients.
#[test]
fn a_process_that_is_the_latest_does_not_meet_itself_again_and_again() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    let second = start_beside(&first, &hosts);
    let third = start_nth_beside(&first, &hosts, 2);
    second.signal("KILL");
    third.logged("a new process has started");
    first.signal("KILL");
    third.logged("the other process has ended");
    let exchanges = third.logs_within("another process runs", Duration::from_millis(500));
    assert!(exchanges <= 4, "{exchanges} exchanges without another process");
}

/// A new version is rolled back: it starts beside another, and ends. Guards against its socket staying in place of the other
/// process's. The next version would find no process there, and would use the whole limits of descriptors and bytes beside a
/// process that holds a part of them.
#[test]
fn a_version_that_starts_after_one_was_taken_back_finds_the_process_that_runs() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    let second = start_beside(&first, &hosts);
    first.logged("a new process has started");
    second.signal("KILL");
    first.logged("no process listens there");
    let third = start_nth_beside(&first, &hosts, 2);
    first.logged("a new process has started");
    set_override(&third, &replica, "down");
    first.logged("was left out by a manual override");
}

/// The folder was removed while the program ran. The next override creates it again. An override whose file cannot be replaced
/// leaves no temporary file.
#[test]
fn an_order_makes_the_folder_again_and_one_that_fails_leaves_no_half_file() {
    let (primary, replica) = (host_with_value("primary"), host_with_value("replica"));
    let proxy = Proxy::with_console(&[&primary, &replica], 1024);
    std::fs::remove_dir_all(proxy.directory.join("hosts")).expect("it exists");
    set_override(&proxy, &replica, "down");
    assert!(override_file(&proxy, &replica).is_file());
    std::fs::create_dir(override_file(&proxy, &primary)).expect("the path is free");
    let who = format!(r#"{{"who":"{}"}}"#, name_of(&primary));
    assert_eq!(proxy.console_request("POST", "/ops/database-hosts/down", &who).0, 500);
    let names = std::fs::read_dir(proxy.directory.join("hosts")).expect("it exists");
    let names: Vec<_> = names.map(|entry| entry.expect("an entry").file_name()).collect();
    assert!(names.iter().all(|name| !name.to_string_lossy().starts_with('.')), "{names:?}");
}
