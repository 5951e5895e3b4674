//! Hosts that operators leave out by hand, where folders, clocks and other processes do not behave: what was ordered binds.

mod support;

use std::path::PathBuf;
use std::time::Duration;
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
    assert_eq!(proxy.call("POST", &format!("/ops/database-hosts/{what}"), &who).0, 200);
}

/// A version beside this one that has its list.
fn beside(proxy: &Proxy, hosts: &[&Host]) -> Proxy {
    beside_at(proxy, hosts, 1)
}

/// The same, the so manieth one.
fn beside_at(proxy: &Proxy, hosts: &[&Host], nth: u16) -> Proxy {
    let next = proxy.nth_beside(nth);
    let hosts: Vec<(&Host, &str)> = hosts.iter().map(|&h| (h, "SERVING")).collect();
    next.agent.line(&list(42, true, &hosts));
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
    assert_eq!(next.figures()["hosts_down"], 0);
    std::fs::remove_dir(&file).expect("it is empty");
    std::fs::rename(&aside, &file).expect("it is put back");
    next.logged("was left out by hand");
    assert_eq!(next.figures()["hosts_down"], 1);
}

/// An order of a process whose clock was an hour behind when it started.
#[test]
fn a_host_is_used_again_also_where_the_order_seems_old() {
    let (primary, replica) = (served("primary"), served("replica"));
    let old = Proxy::with_console(&[&primary, &replica], 1024);
    order(&old, &replica, "down");
    let new = beside(&old, &[&primary, &replica]);
    assert_eq!(new.figures()["hosts_down"], 1);
    let (file, next) = (file_of(&old, &replica), old.directory.join("next"));
    let an_hour_ago = (unix_ms() - 3_600_000) * 1_000;
    std::fs::write(&next, format!("up {an_hour_ago}")).expect("written");
    std::fs::rename(&next, &file).expect("put in place");
    new.logged("was used again by hand");
    assert_eq!(new.figures()["hosts_down"], 0);
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
    new.agent.asked();
    old.freeze();
    // The watch of the other is quiet meanwhile: only time passes.
    assert_eq!(new.agent.asked_within(Duration::from_millis(2_600)), None);
    old.thaw();
    order(&new, &replica, "down");
    old.logged("was left out by hand");
}
