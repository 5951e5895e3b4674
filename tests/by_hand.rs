//! Hosts that operators leave out by hand, where folders, clocks and other processes do not behave: what was ordered binds.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use support::*;

fn served(value: &'static str) -> Host {
    Host::start(move |_, _| Reply::Row(value))
}

/// What operators call a host.
fn name_of(host: &Host) -> String {
    format!("s-{}", host.address.port())
}

/// The file that holds what was ordered of a host.
fn file_of(proxy: &Proxy, host: &Host) -> PathBuf {
    let hex: String = name_of(host).bytes().map(|b| format!("{b:02x}")).collect();
    proxy.directory.join("hosts").join(hex)
}

fn order(proxy: &Proxy, host: &Host, what: &str) {
    let who = format!(r#"{{"who":"{}"}}"#, name_of(host));
    assert_eq!(proxy.console_request("POST", &format!("/ops/database-hosts/{what}"), &who).0, 200);
}

/// Neither the folder of orders nor anything in it can be read or written, until `restore`.
struct BrokenFolder {
    hosts: PathBuf,
    aside: PathBuf,
}

impl BrokenFolder {
    fn of(proxy: &Proxy) -> BrokenFolder {
        let (hosts, aside) = (proxy.directory.join("hosts"), proxy.directory.join("aside"));
        std::fs::rename(&hosts, &aside).expect("the folder is there");
        std::fs::write(&hosts, "").expect("nothing is there");
        BrokenFolder { hosts, aside }
    }

    fn restore(self) {
        std::fs::remove_file(&self.hosts).expect("it is there");
        std::fs::rename(&self.aside, &self.hosts).expect("it is put back");
    }
}

/// A process of another version, or one that does not behave, beside a proxy.
struct OtherProcess {
    stream: UnixStream,
    lines: BufReader<UnixStream>,
}

impl OtherProcess {
    /// One that starts later.
    fn beside(proxy: &Proxy) -> OtherProcess {
        let stream = UnixStream::connect(proxy.directory.join("sillfold.sock")).expect("it listens");
        OtherProcess::over(stream)
    }

    fn over(stream: UnixStream) -> OtherProcess {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let lines = BufReader::new(stream.try_clone().expect("a copy"));
        OtherProcess { stream, lines }
    }

    fn says(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).expect("it is there");
    }

    /// Tells orders, each as host, out and stamp, as JSON.
    fn tells(&mut self, orders: &str) {
        let held = r#""process":1,"ready":true,"clients":0,"bytes":0,"hosts":0"#;
        self.says(&format!(r#"{{{held},"orders":[{orders}],"complete":true}}"#));
    }

    /// The next line of the proxy's; nothing where it has ended the meeting.
    fn hears(&mut self) -> Option<serde_json::Value> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(1..) => Some(serde_json::from_str(&line).expect("JSON")),
            _ => None,
        }
    }

    /// The first order that it is told now.
    fn hears_order(&mut self) -> serde_json::Value {
        let asked = Instant::now();
        loop {
            let line = self.hears().expect("the proxy goes on");
            assert!(asked.elapsed() < TEST_TIMEOUT, "no order is told");
            if let Some(order) = line["orders"].as_array().and_then(|orders| orders.first()) {
                return order.clone();
            }
        }
    }
}

fn now_us() -> u64 {
    unix_ms() * 1_000
}

/// A version beside this one that has its list.
fn beside(proxy: &Proxy, hosts: &[&Host]) -> Proxy {
    beside_at(proxy, hosts, 1)
}

/// The same, the so manieth one.
fn beside_at(proxy: &Proxy, hosts: &[&Host], nth: u16) -> Proxy {
    let next = proxy.start_nth_beside(nth);
    let hosts: Vec<(&Host, &str)> = hosts.iter().map(|&h| (h, "SERVING")).collect();
    next.agent.send_line(&list(42, true, &hosts));
    next.logged("serves on");
    next
}

/// The file cannot be read as the next process starts, and can be later; no other process lives by then.
#[test]
fn a_host_left_out_by_hand_stays_out_though_its_file_cannot_be_read_at_the_start() {
    let (primary, replica) = (served("primary"), served("replica"));
    let first = Proxy::with_console(&[&primary, &replica], 1024);
    order(&first, &replica, "down");
    let (file, aside) = (file_of(&first, &replica), first.directory.join("aside"));
    first.signal("KILL");
    std::fs::rename(&file, &aside).expect("the order is in its file");
    std::fs::create_dir(&file).expect("nothing is there");
    let next = beside(&first, &[&primary, &replica]);
    assert_eq!(next.stats()["hosts_down"], 0);
    std::fs::remove_dir(&file).expect("it is empty");
    std::fs::rename(&aside, &file).expect("it is put back");
    next.logged("was left out by hand");
    assert_eq!(next.stats()["hosts_down"], 1);
}

/// An order of a process whose clock was an hour behind when it started.
#[test]
fn a_host_is_used_again_also_where_the_order_seems_old() {
    let (primary, replica) = (served("primary"), served("replica"));
    let old = Proxy::with_console(&[&primary, &replica], 1024);
    order(&old, &replica, "down");
    let new = beside(&old, &[&primary, &replica]);
    assert_eq!(new.stats()["hosts_down"], 1);
    let (file, next) = (file_of(&old, &replica), old.directory.join("next"));
    let an_hour_ago = (unix_ms() - 3_600_000) * 1_000;
    std::fs::write(&next, format!("up {an_hour_ago}")).expect("written");
    std::fs::rename(&next, &file).expect("put in place");
    new.logged("was used again by hand");
    assert_eq!(new.stats()["hosts_down"], 0);
}

/// Of three processes the one in the middle is killed: the first and the third hear of each other's orders all the same.
#[test]
fn an_order_reaches_a_third_process_though_the_second_was_killed() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    let second = beside(&first, &hosts);
    first.logged("a new process has started");
    let third = beside_at(&first, &hosts, 2);
    second.logged("a new process has started");
    second.signal("KILL");
    first.logged("the other process has ended");
    third.logged("the other process has ended");
    order(&first, &replica, "down");
    third.logged("was left out by hand");
    order(&third, &replica, "up");
    first.logged("was used again by hand");
}

/// Nothing is heard of a process for longer than any silence that counts; when it goes on, orders reach it.
#[test]
fn a_process_that_is_stopped_for_a_while_is_not_taken_for_ended() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let old = Proxy::with_console(&hosts, 1024);
    let new = beside(&old, &hosts);
    old.logged("a new process has started");
    new.agent.next_request();
    old.pause();
    // The watch of the other is quiet meanwhile: only time passes.
    assert_eq!(new.agent.next_request_within(Duration::from_millis(2_600)), None);
    old.resume();
    order(&new, &replica, "down");
    old.logged("was left out by hand");
}

/// A new version took clients as soon as it had its list, and learnt from the folder alone what operators had left out:
/// while the folder could not be read it sent to hosts that the process beside it had out (simulated seed 5036: "sent to
/// host 1, left out by hand 555713 us before", from the new process's machine only, with "read again" in its log).
#[test]
fn a_new_version_takes_clients_only_once_it_knows_the_orders_of_the_process_beside_it() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let old = Proxy::with_console(&hosts, 1024);
    order(&old, &replica, "down");
    let folder = BrokenFolder::of(&old);
    old.pause();
    let new = old.start_beside();
    new.agent.send_line(&list(42, true, &[(&primary, "SERVING"), (&replica, "SERVING")]));
    // It has its list, and for as long as the other says nothing it is not ready.
    new.logged("another process runs");
    while new.stats()["hosts_listed"] != 2 {}
    assert_eq!(new.console_request("GET", "/ops/readiness", "").0, 503);
    old.resume();
    new.logged("was left out by hand");
    new.logged("serves on");
    assert_eq!(new.stats()["hosts_down"], 1);
    folder.restore();
}

/// What the process before holds of the limits was learnt from its first line, too: until then a new one counted on half
/// of everything.
#[test]
fn a_process_that_says_nothing_holds_up_a_new_version_for_a_bounded_time_only() {
    let (primary, replica) = (served("primary"), served("replica"));
    let old = Proxy::with_console(&[&primary, &replica], 1024);
    old.pause();
    let started = Instant::now();
    let new = beside(&old, &[&primary, &replica]);
    assert!(started.elapsed() > Duration::from_millis(1_500), "it did not wait");
    assert!(started.elapsed() < Duration::from_secs(6), "ready by 10 s, with room");
    old.resume();
    order(&old, &replica, "down");
    new.logged("was left out by hand");
}

#[test]
fn a_third_version_hears_the_orders_of_the_first_through_the_second() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    order(&first, &replica, "down");
    let folder = BrokenFolder::of(&first);
    let second = beside(&first, &hosts);
    let third = beside_at(&first, &hosts, 2);
    for later in [&second, &third] {
        assert_eq!(later.stats()["hosts_down"], 1);
    }
    folder.restore();
}

/// The process that took an order ends while the folder fails, and what was in it is gone: it lives on in those that heard
/// it, and is in its file for the next one as soon as that can be written.
#[test]
fn an_order_outlives_the_only_process_that_took_it() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    order(&first, &replica, "down");
    let folder = BrokenFolder::of(&first);
    let second = beside(&first, &hosts);
    first.signal("KILL");
    second.logged("the other process has ended");
    std::fs::remove_dir_all(&folder.aside).expect("it is there");
    std::fs::create_dir(&folder.aside).expect("nothing is there");
    folder.restore();
    second.logged("is in its file again");
    second.signal("KILL");
    let third = beside_at(&first, &hosts, 2);
    // Nobody is beside it: it serves before its list is there.
    while third.stats()["hosts_listed"] != 2 {}
    assert_eq!(third.stats()["hosts_down"], 1);
}

/// An order that cannot be written holds nowhere, and its operator hears so; one that can hears for how many processes it
/// holds, and that it outlasts them.
#[test]
fn an_operator_hears_whether_an_order_holds_and_for_which_processes() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let old = Proxy::with_console(&hosts, 1024);
    let new = beside(&old, &hosts);
    old.logged("a new process has started");
    let folder = BrokenFolder::of(&old);
    let who = format!(r#"{{"who":"{}"}}"#, name_of(&replica));
    let (status, text) = old.console_request("POST", "/ops/database-hosts/down", &who);
    assert!(
        status == 500 && text.contains("the order holds nowhere, nothing has changed"),
        "{status} {text}"
    );
    assert_eq!((&old.stats()["hosts_down"], &new.stats()["hosts_down"]), (&0.into(), &0.into()));
    folder.restore();
    let (status, text) = old.console_request("POST", "/ops/database-hosts/down", &who);
    let said: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((status, &said["processes"], &said["outlasts_processes"]), (200, &2.into(), &true.into()));
    new.logged("was left out by hand");
    let left: Vec<_> = std::fs::read_dir(old.directory.join("hosts")).expect("it is there").collect();
    assert_eq!(left.len(), 1, "half a file is left: {left:?}");
}

/// A process whose clock was an hour ahead as it started gave the order before: the later one counts all the same, in the
/// line as in the file. Without a word of it in any file, a host comes back by the line alone.
#[test]
fn of_two_orders_the_one_given_in_knowledge_of_the_other_counts_whatever_the_clocks_say() {
    let (primary, replica) = (served("primary"), served("replica"));
    let proxy = Proxy::with_console(&[&primary, &replica], 1024);
    let mut other = OtherProcess::beside(&proxy);
    let (host, ahead) = (name_of(&replica), now_us() + 3_600_000_000);
    other.tells(&format!(r#"{{"host":"{host}","out":true,"stamp":{ahead}}}"#));
    proxy.logged("was left out by hand");
    assert_eq!(other.hears_order()["stamp"], ahead);
    order(&proxy, &replica, "up");
    let back = other.hears_order();
    assert_eq!((&back["out"], &back["stamp"]), (&false.into(), &(ahead + 1).into()));
    let text = std::fs::read_to_string(file_of(&proxy, &replica)).expect("it is there");
    assert_eq!(text, format!("up +{}", ahead + 1));
    // What the other gave before is no news, and one that it gives behind it counts.
    other.tells(&format!(r#"{{"host":"{host}","out":true,"stamp":{ahead}}}"#));
    other.tells(&format!(r#"{{"host":"{host}","out":true,"stamp":{}}}"#, ahead + 2));
    proxy.logged("was left out by hand");
    other.tells(&format!(r#"{{"host":"{host}","out":false,"stamp":{}}}"#, ahead + 3));
    proxy.logged("was used again by hand");
    assert_eq!(proxy.stats()["hosts_down"], 0);
}

/// A process of an earlier version tells no orders: it is not waited for beyond its first line, and what it puts into the
/// folder is heard well inside the grace of a drain.
#[test]
fn an_earlier_version_that_tells_no_orders_is_heard_through_the_folder() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let gone = Proxy::with_console(&hosts, 1024);
    gone.signal("KILL");
    let socket = gone.directory.join("sillfold.sock");
    std::fs::remove_file(&socket).expect("it was left");
    let listener = UnixListener::bind(&socket).expect("nothing is there");
    let proxy = gone.start_beside();
    proxy.agent.send_line(&list(42, true, &[(&primary, "SERVING"), (&replica, "SERVING")]));
    let (stream, _) = listener.accept().expect("it is met");
    let mut other = OtherProcess::over(stream);
    other.says(r#"{"process":1,"ready":true,"clients":3,"bytes":0,"hosts":2}"#);
    proxy.logged("serves on");
    let (file, next) = (file_of(&gone, &replica), gone.directory.join("next"));
    std::fs::write(&next, format!("down {}", now_us())).expect("written");
    std::fs::rename(&next, &file).expect("put in place");
    let written = Instant::now();
    proxy.logged("was left out by hand");
    assert!(written.elapsed() < Duration::from_millis(500), "{:?}", written.elapsed());
    // Written by it, the text stays as that version can read it.
    assert!(std::fs::read_to_string(&file).expect("it is there").starts_with("down 1"));
}

/// As many hosts as a list may have, with the longest names: told in lines that any version can take in, and only once.
#[test]
fn a_thousand_orders_with_long_names_are_told_once_in_lines_of_bounded_length() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let gone = Proxy::with_console(&hosts, 1024);
    gone.signal("KILL");
    for n in 0..1_024 {
        let name: String = format!("{n:0>126}\u{1}").bytes().map(|b| format!("{b:02x}")).collect();
        std::fs::write(gone.directory.join("hosts").join(name), format!("down {}", now_us()))
            .expect("written");
    }
    let proxy = beside(&gone, &hosts);
    let mut other = OtherProcess::beside(&proxy);
    let (mut told, mut bytes, mut lines) = (0, 0, 0);
    let met = Instant::now();
    loop {
        let line = other.hears().expect("the proxy goes on");
        assert!(met.elapsed() < TEST_TIMEOUT, "not all is told");
        assert!(line.to_string().len() < 48 * 1024, "{} bytes", line.to_string().len());
        told += line["orders"].as_array().expect("orders").len();
        if line["complete"] == true {
            break;
        }
    }
    assert_eq!(told, 1_024);
    while lines < 20 {
        bytes += other.hears().expect("the proxy goes on").to_string().len();
        lines += 1;
    }
    assert!(bytes < 20 * 200, "{bytes} bytes in a second that brought nothing new");
}

/// No line of another process crashes a proxy or puts a host back into use that was not ordered back.
#[test]
fn lines_that_make_no_sense_are_passed_over_or_end_their_meeting() {
    let (primary, replica) = (served("primary"), served("replica"));
    let proxy = Proxy::with_console(&[&primary, &replica], 1024);
    order(&proxy, &replica, "down");
    let host = name_of(&replica);
    let mut other = OtherProcess::beside(&proxy);
    let in_years = now_us() + 100 * 365 * 86_400 * 1_000_000;
    for (item, why) in [
        (format!(r#"{{"host":"{host}","out":false,"stamp":{in_years}}}"#), "too far ahead"),
        (format!(r#"{{"host":"{host}","out":false,"stamp":-1}}"#), "another process told"),
        (format!(r#"{{"host":"{host}","out":"no"}}"#), "another process told"),
        ("7".into(), "another process told"),
        (format!(r#"{{"host":"{}","out":true,"stamp":1}}"#, "x".repeat(500)), "too long"),
    ] {
        other.tells(&item);
        proxy.logged(why);
    }
    // An order of before it was left out, of a host that nobody knows, and keys of a later version.
    other.tells(&format!(r#"{{"host":"{host}","out":false,"stamp":5}}"#));
    other.tells(r#"{"host":"nobody","out":true,"stamp":5,"by":"me"}"#);
    proxy.logged("nobody was left out by hand");
    assert_eq!(proxy.stats()["hosts_down"], 1);
    for bad in ["nonsense".to_string(), "x".repeat(70_000)] {
        other.says(&bad);
        while other.hears().is_some() {}
        proxy.logged("the other process has ended");
        other = OtherProcess::beside(&proxy);
    }
    assert_eq!(proxy.stats()["hosts_down"], 1);
}

/// A process that had become the latest still took itself for superseded, since an older one had called it: when that ended it
/// dialled the latest, which was itself, and did so again and again. A soak of three versions in a row showed it: 71,754 lines
/// "another process runs" in one log within 8 s, all the while at the cost of its clients.
#[test]
fn a_process_that_is_the_latest_does_not_meet_itself_again_and_again() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    let second = beside(&first, &hosts);
    let third = beside_at(&first, &hosts, 2);
    second.signal("KILL");
    third.logged("a new process has started");
    first.signal("KILL");
    third.logged("the other process has ended");
    let meetings = third.logs_within("another process runs", Duration::from_millis(500));
    assert!(meetings <= 4, "{meetings} meetings with nobody there");
}

/// A version is taken back: it started beside one, and ended. Its socket stood in the place of the other's, so the next
/// version found nobody there, and took all descriptors and bytes as its own beside a process that held them.
#[test]
fn a_version_that_starts_after_one_was_taken_back_finds_the_process_that_runs() {
    let (primary, replica) = (served("primary"), served("replica"));
    let hosts = [&primary, &replica];
    let first = Proxy::with_console(&hosts, 1024);
    let second = beside(&first, &hosts);
    first.logged("a new process has started");
    second.signal("KILL");
    first.logged("nobody is there");
    let third = beside_at(&first, &hosts, 2);
    first.logged("a new process has started");
    order(&third, &replica, "down");
    first.logged("was left out by hand");
}

/// The folder was removed while the program ran, or could not be made at its start: it is made with the next order. One
/// that is written and cannot be put in its place leaves nothing of it behind.
#[test]
fn an_order_makes_the_folder_again_and_one_that_fails_leaves_no_half_file() {
    let (primary, replica) = (served("primary"), served("replica"));
    let proxy = Proxy::with_console(&[&primary, &replica], 1024);
    std::fs::remove_dir_all(proxy.directory.join("hosts")).expect("it is there");
    order(&proxy, &replica, "down");
    assert!(file_of(&proxy, &replica).is_file());
    std::fs::create_dir(file_of(&proxy, &primary)).expect("nothing is there");
    let who = format!(r#"{{"who":"{}"}}"#, name_of(&primary));
    assert_eq!(proxy.console_request("POST", "/ops/database-hosts/down", &who).0, 500);
    let names = std::fs::read_dir(proxy.directory.join("hosts")).expect("it is there");
    let names: Vec<_> = names.map(|entry| entry.expect("an entry").file_name()).collect();
    assert!(names.iter().all(|name| !name.to_string_lossy().starts_with('.')), "{names:?}");
}
