//! The exchange of datagrams between proxies: the real program with the test as one of its peers, and two programs with
//! each other. The test encodes its datagrams with the same crate, whose own tests cover the format.

mod support;

use sillfold_talk::{Datagram, Item, Message, Sender};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::*;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64
}

/// A host that reports its position when it is probed: this far behind the present, and primary.
fn host_with_position(behind_ms: u64) -> Host {
    Host::start(move |_, text| match text {
        "SHOW usage" => {
            let x0 = (unix_ms() - behind_ms) as f64 / 1e3;
            Reply::Bytes(row(&format!("x0={x0:.3},x1=1,util=0.1,queue=0")))
        }
        _ => Reply::Row("v"),
    })
}

/// A socket that stands in for a peer.
fn peer_socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
    socket.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    socket
}

fn address_of(socket: &UdpSocket) -> SocketAddr {
    socket.local_addr().expect("bound")
}

/// An address that no socket is bound to.
fn unused_address() -> SocketAddr {
    address_of(&peer_socket())
}

/// The configuration of proxy `ordinal` of a fleet that exchanges datagrams at these addresses.
fn with_peers(config: String, ordinal: usize, each: &[SocketAddr]) -> String {
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

/// Starts proxy `ordinal` of the fleet at these addresses, with a console.
fn start(host: &Host, ordinal: usize, each: &[SocketAddr]) -> Proxy {
    Proxy::start_with(&[host], 1024, |config| {
        let listen = config.split('"').nth(7).expect("the address").replace("20433", "20480");
        with_peers(config.replacen('{', &format!("{{\"console\":\"{listen}\","), 1), ordinal, each)
    })
}

/// Waits until a figure of the exchange meets the condition, and returns it.
fn wait_for_figure(proxy: &Proxy, figure: &str, condition: impl Fn(u64) -> bool) -> u64 {
    let started = Instant::now();
    loop {
        let value = proxy.stats()["peers"][figure].as_u64().expect("the figure is there");
        if condition(value) {
            return value;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{figure} is {value}");
    }
}

#[test]
fn two_proxies_exchange_the_position_of_a_host() {
    let (host, each) = (host_with_position(20), [unused_address(), unused_address()]);
    let proxies = [start(&host, 0, &each), start(&host, 1, &each)];
    for proxy in &proxies {
        proxy.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    }
    let mut client = proxies[0].client();
    let started = Instant::now();
    for n in 0.. {
        // The proxy sends datagrams in proportion to its requests.
        assert_eq!(client.query(&read(&format!("t{n}"), "history", 9000)).value.as_deref(), Some("v"));
        if proxies[1].stats()["peers"]["heard"].as_u64() > Some(0) {
            break;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{}", proxies[1].stats());
    }
    let figures = proxies[0].stats();
    let (sent, bytes) = (figures["peers"]["sent"].as_u64(), figures["peers"]["bytes"].as_u64());
    assert!(sent > Some(0) && bytes <= sent.map(|n| n * 256), "{figures}");
}

/// Datagrams from unknown addresses, invalid, outdated and too long ones, and floods are counted, and do not delay a
/// request.
#[test]
fn dropped_datagrams_are_counted_and_do_not_delay_requests() {
    let (host, own, stranger) = (host_with_position(20), peer_socket(), peer_socket());
    let listen = unused_address();
    let proxy = start(&host, 0, &[listen, address_of(&own)]);
    proxy.logged("talks with");
    let sender = Sender { ordinal: 1, incarnation: unix_ms(), sequence: 1 };
    let (datagram, _) = Datagram::pack(sender, &[Item::TenantRate { tenant: 0, tenths_per_s: 5 }]);
    stranger.send_to(datagram.bytes(), listen).expect("sent");
    wait_for_figure(&proxy, "foreign", |n| n == 1);
    own.send_to(datagram.bytes(), listen).expect("sent");
    wait_for_figure(&proxy, "heard", |n| n == 1);
    own.send_to(datagram.bytes(), listen).expect("sent");
    wait_for_figure(&proxy, "repeated", |n| n == 1);
    for bytes in [&b""[..], b"nonsense", &[0; 256], &[1; 257], &[255; 60_000]] {
        own.send_to(bytes, listen).expect("sent");
    }
    wait_for_figure(&proxy, "unreadable", |n| n == 5);
    let older = Sender { incarnation: sender.incarnation - 1, ..sender };
    own.send_to(Datagram::pack(older, &[]).0.bytes(), listen).expect("sent");
    wait_for_figure(&proxy, "outdated", |n| n == 1);
    // Sends more datagrams at once than are read in a second.
    for _ in 0..20_000 {
        let _ = stranger.send_to(&[7; 256], listen);
    }
    let mut client = proxy.client();
    let asked = Instant::now();
    assert_eq!(client.query(&read("beside", "history", 9000)).value.as_deref(), Some("v"));
    assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
    let figures = proxy.stats();
    assert_eq!((&figures["peers"]["heard"], figures["inflight"].as_u64()), (&1.into(), Some(0)));
}

/// The test, as a peer, receives the position of a host under the hash of its name.
#[test]
fn datagrams_name_hosts_by_the_hash_of_their_name() {
    let (host, own) = (host_with_position(30), peer_socket());
    let proxy = start(&host, 0, &[unused_address(), address_of(&own)]);
    proxy.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    let mut client = proxy.client();
    let receiver = std::thread::spawn(move || {
        let mut bytes = [0; 2_000];
        loop {
            let n = own.recv(&mut bytes).expect("a datagram arrives");
            let message = Message::read(&bytes[..n]).expect("the datagram is valid");
            if let Some(Item::HostPosition { host, position_ms, primary }) = message.items.first().copied() {
                return (n, message.sender.ordinal, host, position_ms, primary);
            }
        }
    });
    for n in 0.. {
        client.query(&read(&format!("s{n}"), "history", 9000));
        if receiver.is_finished() {
            break;
        }
    }
    let (n, ordinal, named, position_ms, primary) = receiver.join().expect("a position is received");
    let name = format!("s-{}", host.address.port());
    let lag = unix_ms().saturating_sub(position_ms);
    assert!(n <= 256 && ordinal == 0 && primary && (30..20_000).contains(&lag), "{n} {ordinal} {lag}");
    assert_eq!(named, sillfold::net::core::shared_host_id(&name));
}

/// The old version holds the address until SIGTERM; then the new version takes it over, as another process to the peers.
#[test]
fn a_new_version_exchanges_datagrams_once_the_old_one_stops() {
    let (host, own) = (host_with_position(20), peer_socket());
    let listen = unused_address();
    let mut old = start(&host, 0, &[listen, address_of(&own)]);
    old.logged("talks with");
    old.agent.send_line(&list(42, true, &[(&host, "SERVING")]));
    let new = old.start_beside();
    new.logged("another process has it");
    new.agent.send_line(&list(43, true, &[(&host, "SERVING")]));
    new.logged("serves on");
    let send = |sequence| {
        let sender = Sender { ordinal: 1, incarnation: 5, sequence };
        own.send_to(Datagram::pack(sender, &[]).0.bytes(), listen).expect("sent");
    };
    send(1);
    wait_for_figure(&old, "heard", |n| n == 1);
    assert_eq!(new.stats()["peers"]["heard"], 0);
    let stopped = Instant::now();
    old.signal("TERM");
    new.logged("talks with");
    assert!(stopped.elapsed() < Duration::from_millis(1_500), "{:?}", stopped.elapsed());
    send(2);
    wait_for_figure(&new, "heard", |n| n == 1);
    assert!(old.wait().success());
}

/// If the settings do not permit the exchange, the addresses are validated but not used.
#[test]
fn without_permission_no_socket_is_bound_and_an_invalid_address_is_reported() {
    let (host, listen, other) = (host_with_position(20), unused_address(), unused_address());
    let proxy = Proxy::start_with(&[&host], 1024, |config| {
        with_peers(config, 0, &[listen, other]).replace("\"peerMessages\":true", "\"peerMessages\":false")
    });
    UdpSocket::bind(listen).expect("the address is unused");
    drop(proxy);
    let config = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","peers":["127.0.0.1:3","here"],"settings":SETTINGS}"#;
    let (child, _) = start_program(&config.replace("SETTINGS", SETTINGS), &[]);
    let out = child.wait_with_output().expect("it ends");
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("peers[1]: \"here\" is no address"), "{out:?}");
}
