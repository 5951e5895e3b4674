//! Proxies that talk: the real program, with the test as one of its peers, and two of it with each other. The test's
//! own words are made by the same crate, since their form is tested there.

mod support;

use sillfold_talk::{Datagram, Item, Message, Sender};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::*;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64
}

/// A host that tells where it stands when it is probed, this far behind.
fn tells(behind_ms: u64) -> Host {
    Host::start(move |_, text| match text {
        "SHOW usage" => {
            let x0 = (unix_ms() - behind_ms) as f64 / 1e3;
            Reply::Bytes(row(&format!("x0={x0:.3},x1=1,util=0.1,queue=0")))
        }
        _ => Reply::Row("v"),
    })
}

/// A socket that passes for a peer.
fn peer() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
    socket.set_read_timeout(Some(PATIENCE)).expect("set");
    socket
}

fn at(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("bound")
}

/// An address that nobody has now.
fn free() -> SocketAddr {
    at(&peer())
}

/// The configuration of proxy `ordinal` of those that talk at these addresses.
fn talking(config: String, ordinal: usize, each: &[SocketAddr]) -> String {
    let listed: Vec<String> = each.iter().map(|a| format!("\"{a}\"")).collect();
    let keys = format!("{{\"peer_listen\":\"{}\",\"peers\":[{}],", each[ordinal], listed.join(","));
    config
        .replacen('{', &keys, 1)
        .replace(
            "\"balancers\":1,\"ordinal\":0",
            &format!("\"balancers\":{},\"ordinal\":{ordinal}", each.len()),
        )
        .replace("\"cancel\":true", "\"cancel\":true,\"mayProbe\":true,\"peerMessages\":true")
}

fn start(host: &Host, ordinal: usize, each: &[SocketAddr]) -> Proxy {
    Proxy::start_with(&[host], 1024, |config| {
        let listen = config.split('"').nth(7).expect("the address").replace("20433", "20480");
        talking(config.replacen('{', &format!("{{\"console\":\"{listen}\","), 1), ordinal, each)
    })
}

/// Waits until a figure of the talk is so.
fn until(proxy: &Proxy, figure: &str, so: impl Fn(u64) -> bool) -> u64 {
    let begun = Instant::now();
    loop {
        let value = proxy.figures()["peers"][figure].as_u64().expect("the figure is there");
        if so(value) {
            return value;
        }
        assert!(begun.elapsed() < PATIENCE, "{figure} is {value}");
    }
}

#[test]
fn two_proxies_tell_each_other_where_a_host_stands() {
    let (host, each) = (tells(20), [free(), free()]);
    let proxies = [start(&host, 0, &each), start(&host, 1, &each)];
    for proxy in &proxies {
        proxy.agent.line(&list(42, true, &[(&host, "SERVING")]));
    }
    let mut client = proxies[0].client();
    let begun = Instant::now();
    for n in 0.. {
        // Requests pay for the talk.
        assert_eq!(client.ask(&read(&format!("t{n}"), "history", 9000)).value.as_deref(), Some("v"));
        if proxies[1].figures()["peers"]["heard"].as_u64() > Some(0) {
            break;
        }
        assert!(begun.elapsed() < PATIENCE, "{}", proxies[1].figures());
    }
    let figures = proxies[0].figures();
    let (sent, bytes) = (figures["peers"]["sent"].as_u64(), figures["peers"]["bytes"].as_u64());
    assert!(sent > Some(0) && bytes <= sent.map(|n| n * 256), "{figures}");
}

/// Strangers, nonsense, words of another version, too long ones and floods: each is counted, and a request is served
/// beside them in the time it takes.
#[test]
fn what_is_no_peers_word_costs_nothing_but_a_count() {
    let (host, own, stranger) = (tells(20), peer(), peer());
    let listen = free();
    let proxy = start(&host, 0, &[listen, at(&own)]);
    proxy.logged("talks with");
    let sender = Sender { ordinal: 1, incarnation: unix_ms(), sequence: 1 };
    let (word, _) = Datagram::pack(sender, &[Item::TenantRate { tenant: 0, tenths_per_s: 5 }]);
    stranger.send_to(word.bytes(), listen).expect("sent");
    until(&proxy, "foreign", |n| n == 1);
    own.send_to(word.bytes(), listen).expect("sent");
    until(&proxy, "heard", |n| n == 1);
    own.send_to(word.bytes(), listen).expect("sent");
    until(&proxy, "repeated", |n| n == 1);
    for bytes in [&b""[..], b"nonsense", &[0; 256], &[1; 257], &[255; 60_000]] {
        own.send_to(bytes, listen).expect("sent");
    }
    until(&proxy, "unreadable", |n| n == 5);
    let older = Sender { incarnation: sender.incarnation - 1, ..sender };
    own.send_to(Datagram::pack(older, &[]).0.bytes(), listen).expect("sent");
    until(&proxy, "outdated", |n| n == 1);
    // More in a moment than is read in a second.
    for _ in 0..20_000 {
        let _ = stranger.send_to(&[7; 256], listen);
    }
    let (mut client, asked) = (proxy.client(), Instant::now());
    assert_eq!(client.ask(&read("beside", "history", 9000)).value.as_deref(), Some("v"));
    assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    let figures = proxy.figures();
    assert_eq!((&figures["peers"]["heard"], figures["inflight"].as_u64()), (&1.into(), Some(0)));
}

/// The test, as the peer, is told positions in datagrams that any proxy can read.
#[test]
fn what_is_said_names_hosts_as_all_do() {
    let (host, own) = (tells(30), peer());
    let proxy = start(&host, 0, &[free(), at(&own)]);
    proxy.agent.line(&list(42, true, &[(&host, "SERVING")]));
    let mut client = proxy.client();
    let told = std::thread::spawn(move || {
        let mut bytes = [0; 2_000];
        loop {
            let n = own.recv(&mut bytes).expect("something is said");
            let message = Message::read(&bytes[..n]).expect("it can be read");
            if let Some(Item::HostPosition { host, position_ms, primary }) = message.items.first().copied() {
                return (n, message.sender.ordinal, host, position_ms, primary);
            }
        }
    });
    for n in 0.. {
        client.ask(&read(&format!("s{n}"), "history", 9000));
        if told.is_finished() {
            break;
        }
    }
    let (n, ordinal, named, position_ms, primary) = told.join().expect("told");
    let name = format!("s-{}", host.address.port());
    let lag = unix_ms().saturating_sub(position_ms);
    assert!(n <= 256 && ordinal == 0 && primary && (30..20_000).contains(&lag), "{n} {ordinal} {lag}");
    assert_eq!(named, sillfold::net::core::shared_host_id(&name));
}

/// The old version has the address until it is told to stop; then the new one talks, and is another process to all.
#[test]
fn a_new_version_talks_once_the_old_one_stops() {
    let (host, own) = (tells(20), peer());
    let listen = free();
    let mut old = start(&host, 0, &[listen, at(&own)]);
    old.logged("talks with");
    old.agent.line(&list(42, true, &[(&host, "SERVING")]));
    let new = old.beside();
    new.logged("another process has it");
    new.agent.line(&list(43, true, &[(&host, "SERVING")]));
    new.logged("serves on");
    let say = |number| {
        let sender = Sender { ordinal: 1, incarnation: 5, sequence: number };
        own.send_to(Datagram::pack(sender, &[]).0.bytes(), listen).expect("sent");
    };
    say(1);
    until(&old, "heard", |n| n == 1);
    assert_eq!(new.figures()["peers"]["heard"], 0);
    let told = Instant::now();
    old.signal("TERM");
    new.logged("talks with");
    assert!(told.elapsed() < Duration::from_millis(1_500), "{:?}", told.elapsed());
    say(2);
    until(&new, "heard", |n| n == 1);
    assert!(old.wait().success());
}

/// Where the settings do not allow talk, the addresses are checked and left alone.
#[test]
fn without_leave_nothing_listens_and_a_bad_address_is_named() {
    let (host, listen, other) = (tells(20), free(), free());
    let proxy = Proxy::start_with(&[&host], 1024, |config| {
        talking(config, 0, &[listen, other]).replace("\"peerMessages\":true", "\"peerMessages\":false")
    });
    UdpSocket::bind(listen).expect("nobody has it");
    drop(proxy);
    let config = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","peers":["127.0.0.1:3","here"],"settings":SETTINGS}"#;
    let (child, _) = program(&config.replace("SETTINGS", SETTINGS), &[]);
    let out = child.wait_with_output().expect("it ends");
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("peers[1]: \"here\" is no address"), "{out:?}");
}
