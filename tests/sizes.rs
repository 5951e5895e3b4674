//! Large deployments: 350 proxies with 700 hosts, and 1,024 of each. Nothing is silently cut off: every host of a list is
//! known and routable, datagrams from and to every proxy arrive, and the process stays small. `docs/sizes.md` lists the
//! limits. Routers without a program draw their random numbers from seed 1, the program from seed `1f`.

mod support;

use sillfold::*;
use sillfold_talk::{Datagram, Item, Message, PeerChannel, Sender};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};
use support::{ManyHosts, Proxy, TEST_TIMEOUT, add_console, unix_ms};

/// The numbers of proxies and hosts of the tested deployments.
const DEPLOYMENTS: [(u32, u32); 2] = [(350, 700), (1_024, 1_024)];
/// The proxies of the largest deployment.
const MAX_PROXIES: usize = 1_024;
/// The hosts of the largest deployment.
const MAX_HOSTS: usize = 1_024;
/// The hosts of a list that still holds recently removed ones.
const LONG_LIST_HOSTS: usize = 3_700;
/// The hosts of a group.
const MEMBERS: u32 = 5;
/// The memory limit of a process.
const MAX_MEMORY_KB: u64 = 48 * 1024;

/// A millisecond.
const MS: Micros = 1_000;
/// The time at which a model starts.
const START_US: Micros = 1_000_000_000;
/// The interval at which the decision module sends updates to peers.
const BROADCAST_INTERVAL_US: Micros = 100 * MS;

// ---- Routers without a program ----

fn settings(proxies: u32) -> Settings {
    let class = |access, idempotency| Class {
        access,
        idempotency,
        latency_target: 300 * MS,
        deadline: 2_000 * MS,
        worth: 3.0,
        late_worth: 0.3,
        latency_target_stretch: 0.0,
    };
    Settings {
        proxy_count: proxies,
        ordinal: 0,
        zone: 0,
        classes: vec![class(Access::AnyRead, Idempotency::Idempotent)],
        list_mode: ListMode::Pushed,
        list_role: ListRole::Delayed,
        lag_check: LagCheck::Unchecked,
        session_tokens: SessionTokens::TrackedByProxy,
        cross_zone_costs: false,
        answers_carry_positions: true,
        limits: Limits {
            cancel: true,
            probes: false,
            peers: true,
            retry_after: true,
            max_retry_after: 1_000 * MS,
            hedging: false,
            max_attempts: 10,
        },
        safety: Safety {
            drain_grace: 500 * MS,
            only_draining_binds: false,
            start_capacity: 0.2,
            cold_duration: 15_000 * MS,
            overload_multiple: 3.0,
            overload_duration: 1_000 * MS,
            max_list_age: 10_000 * MS,
        },
        quotas: Vec::new(),
        over_quota_worth: 1.0,
    }
}

/// A router with a simulated clock.
struct Model {
    router: Router,
    now: Micros,
    /// The id of the last request.
    last_request: RequestId,
}

impl Model {
    /// One of `proxies` proxies, with a list of `hosts` hosts in groups of `members`.
    fn start(proxies: u32, hosts: u32, members: u32) -> Model {
        let mut model = Model { router: Router::new(settings(proxies), 1), now: START_US, last_request: 0 };
        let entries = (0..hosts).map(|host| entry(host, members, HostStatus::Ready)).collect();
        model.handle(Event::List { update: ListUpdate::Full, entries });
        model
    }

    /// Handles an event; returns the router's actions.
    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, &[event], &mut actions);
        actions
    }

    /// A new request, which its client gives up after two seconds.
    fn new_request(&mut self, class: u8, group: GroupId) -> RequestInfo {
        self.last_request += 1;
        let give_up_at = self.now + 2_000 * MS;
        RequestInfo { id: self.last_request, class, group, give_up_at, ..RequestInfo::default() }
    }

    /// Sends a read to this group and answers it; returns the host it was sent to.
    fn route_read(&mut self, group: GroupId) -> Option<HostId> {
        let request = self.new_request(0, group);
        let id = request.id;
        let actions = self.handle(Event::Request(request));
        let host = actions.iter().find_map(|action| match action {
            Action::Send { host, .. } => Some(*host),
            _ => None,
        })?;
        self.now += MS;
        self.handle(Event::Outcome(AttemptResult {
            id,
            attempt: 0,
            host,
            outcome: Outcome::Ok,
            latency: MS,
            finished: true,
            note: HostReport::default(),
            report: HostReport::default(),
        }));
        Some(host)
    }
}

/// The list's entry of a host in groups of `members`; the first host of each group is the primary.
fn entry(host: HostId, members: u32, state: HostStatus) -> HostEntry {
    HostEntry {
        host,
        zone: 0,
        machine_type: 0,
        group: host / members,
        state,
        weight: 1.0,
        primary: host.is_multiple_of(members),
        started: 0,
    }
}

/// Each host in turn is the only one of its group that isn't draining.
#[test]
fn every_host_of_a_large_list_is_routable() {
    for (proxies, hosts) in DEPLOYMENTS {
        let mut model = Model::start(proxies, hosts, MEMBERS);
        assert_eq!(model.router.host_counts(), (hosts as usize, 0));
        for host in 0..hosts {
            let group = host / MEMBERS;
            let members = group * MEMBERS..((group + 1) * MEMBERS).min(hosts);
            let state = |member| if member == host { HostStatus::Ready } else { HostStatus::Draining };
            let entries = members.map(|member| entry(member, MEMBERS, state(member))).collect();
            model.handle(Event::List { update: ListUpdate::Delta, entries });
            assert_eq!(model.route_read(group), Some(host), "{proxies} proxies, {hosts} hosts");
        }
    }
}

/// The same with all hosts in one group.
#[test]
fn every_host_of_a_large_group_is_routable() {
    for (proxies, hosts) in DEPLOYMENTS {
        let mut model = Model::start(proxies, hosts, hosts);
        let mut routed = BTreeSet::new();
        for _ in 0..hosts {
            let host = model.route_read(0).expect("a host is ready");
            assert!(routed.insert(host), "{host} drains");
            let entries = [entry(host, hosts, HostStatus::Draining)].into();
            model.handle(Event::List { update: ListUpdate::Delta, entries });
        }
        assert_eq!(model.route_read(0), None);
    }
}

/// The router sends updates in proportion to its requests. Requests of an unknown class count too, and are cheap for
/// the model.
#[test]
fn the_position_of_every_host_is_broadcast() {
    for (proxies, hosts) in DEPLOYMENTS {
        let mut model = Model::start(proxies, hosts, MEMBERS);
        for host in 0..hosts {
            let report = HostReport { position: Some(model.now - MS), ..HostReport::default() };
            model.handle(Event::Probed { host, ok: true, report });
        }
        let mut broadcast_hosts = BTreeSet::new();
        let mut longest = 0;
        for _ in 0..hosts {
            model.now += BROADCAST_INTERVAL_US;
            for _ in 0..proxies * 12 {
                let request = model.new_request(u8::MAX, 0);
                for action in model.handle(Event::Request(request)) {
                    let Action::Broadcast(updates) = action else { continue };
                    longest = longest.max(datagram_length(&updates));
                    broadcast_hosts.extend(updates.iter().filter_map(|update| match update {
                        PeerUpdate::HostPosition { host, .. } => Some(*host),
                        PeerUpdate::TenantRate { .. } => None,
                    }));
                }
            }
            if broadcast_hosts.len() == hosts as usize {
                break;
            }
        }
        assert_eq!(broadcast_hosts.len(), hosts as usize, "{proxies} proxies");
        println!("{proxies} proxies, {hosts} hosts: the longest datagram has {longest} bytes");
    }
}

/// The length of one datagram with all updates. Fails if they do not fit.
fn datagram_length(updates: &[PeerUpdate]) -> usize {
    let name_hash = |host| Some(u32::MAX - host);
    let items: Vec<Item> = updates.iter().filter_map(|&update| talk::to_item(update, name_hash)).collect();
    let sender = Sender { ordinal: u16::MAX, incarnation: unix_ms(), sequence: u32::MAX };
    let (datagram, packed) = Datagram::pack(sender, &items);
    assert_eq!(packed, updates.len());
    datagram.bytes().len()
}

// ---- Datagrams without a program ----

/// Each proxy sends at most one datagram per broadcast interval.
#[test]
fn the_datagrams_of_every_proxy_are_read() {
    for (proxies, _) in DEPLOYMENTS {
        let mut peers: Vec<PeerChannel> =
            (1..proxies).map(|n| PeerChannel::new(n as u16, proxies as usize, 1_000)).collect();
        let mut own = PeerChannel::new(0, proxies as usize, 1_000);
        let intervals = 1_000_000 / BROADCAST_INTERVAL_US;
        for interval in 0..intervals {
            let now = START_US + interval * BROADCAST_INTERVAL_US;
            for (n, peer) in (1..).zip(&mut peers) {
                let (datagram, _) = peer.pack(&[Item::TenantRate { tenant: 0, tenths_per_s: 5 }]);
                assert_eq!(own.reserve_read(now), Ok(()), "interval {interval}, proxy {n} of {proxies}");
                assert!(own.receive(Some(n), datagram.bytes(), now / MS).is_ok());
            }
        }
        assert_eq!(own.counters.heard, intervals * u64::from(proxies - 1));
    }
}

// ---- The program ----

/// An entry of the discovery service's list.
fn listed(number: usize, group: usize, address: SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "name": format!("replica-{number:06}.storage.internal.example"),
        "address": address.to_string(),
        "zone": "a",
        "type": "m",
        "group": group,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": 1,
        "access": if number.is_multiple_of(MEMBERS as usize) { "writer" } else { "reader" },
    })
}

fn list(index: usize, entries: Vec<serde_json::Value>) -> serde_json::Value {
    serde_json::json!({ "index": index, "snapshot": true, "endpoints": entries })
}

/// Waits until the program's list has this number of hosts.
fn wait_for_hosts(proxy: &Proxy, count: usize) {
    let started = Instant::now();
    while proxy.stats()["hosts_listed"].as_u64() != Some(count as u64) {
        assert!(started.elapsed() < TEST_TIMEOUT, "{} of {count}", proxy.stats()["hosts_listed"]);
    }
}

/// Checks that the process stays under its memory limit.
fn assert_small(proxy: &Proxy, situation: &str) {
    let memory = proxy.memory_kb();
    println!("{situation}: {memory} KB");
    assert!(memory < MAX_MEMORY_KB, "{situation}: {memory} KB");
}

#[test]
fn a_long_list_is_accepted_in_one_line_and_indented() {
    let unused_address = "127.0.0.1:9".parse().expect("an address");
    let proxy = Proxy::with_console(&[], 1024);
    proxy.agent.next_request();
    let sizes = [350, 700, MAX_HOSTS, LONG_LIST_HOSTS].into_iter().enumerate();
    for (step, count) in sizes {
        let entries: Vec<_> = (0..count).map(|n| listed(n, n / MEMBERS as usize, unused_address)).collect();
        let index = 100 + 2 * step;
        proxy.agent.send_line(&list(index, entries.clone()).to_string());
        wait_for_hosts(&proxy, count);
        // Has one host less, so that the test sees whether this list is accepted too.
        let indented = serde_json::to_string_pretty(&list(index + 1, entries[..count - 1].to_vec()));
        proxy.agent.send_line(&indented.expect("JSON"));
        wait_for_hosts(&proxy, count - 1);
        proxy.agent.end_watch();
        assert!(proxy.agent.next_request().contains(&format!("index={} ", index + 1)));
        assert_small(&proxy, &format!("a list of {count} hosts, in one line and indented"));
    }
}

/// The limit of descriptors leaves fewer connections to hosts than there are hosts.
#[test]
fn every_host_of_a_large_list_is_reached() {
    let hosts = ManyHosts::start(MAX_HOSTS);
    let proxy = Proxy::with_console(&[], 1024);
    proxy.agent.next_request();
    let entries = hosts.addresses.iter().enumerate().map(|(n, &address)| listed(n, n, address)).collect();
    proxy.agent.send_line(&list(42, entries).to_string());
    wait_for_hosts(&proxy, MAX_HOSTS);
    let mut client = proxy.client();
    for round in 0..2 {
        for group in 0..MAX_HOSTS {
            let id = format!("{round}-{group}");
            let statement =
                support::read(&id, "history", 9_000).replace("cluster=3", &format!("cluster={group}"));
            let answer = client.query(&statement);
            assert_eq!(answer.value, Some(group.to_string()), "{}", answer.message);
        }
    }
    assert_small(&proxy, &format!("{MAX_HOSTS} hosts asked twice each"));
}

/// The program as the first of many proxies; the others are sockets of the test.
struct Fleet {
    proxy: Proxy,
    /// The address on which the program receives datagrams.
    listen: SocketAddr,
    others: Vec<UdpSocket>,
}

/// Starts the program with these hosts as the first of `proxies` proxies; `change` edits its configuration.
fn start_fleet(proxies: usize, hosts: &[&support::Host], change: impl Fn(String) -> String) -> Fleet {
    let bind = |_| UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
    let others: Vec<UdpSocket> = (1..proxies).map(bind).collect();
    let listen = SocketAddr::new(support::loopback_address(), 20_500);
    let addresses = others.iter().map(|socket| socket.local_addr().expect("bound"));
    let each: Vec<String> = [listen].into_iter().chain(addresses).map(|a| format!("\"{a}\"")).collect();
    let proxy = Proxy::start_with(hosts, 1024, |config| {
        let keys = format!("{{\"peer_listen\":\"{listen}\",\"peers\":[{}],", each.join(","));
        let config = add_console(change(config)).replacen('{', &keys, 1);
        let config = config.replace("\"balancers\":1,", &format!("\"balancers\":{proxies},"));
        config.replace("\"cancel\":true", "\"cancel\":true,\"peerMessages\":true")
    });
    proxy.logged("talks with");
    Fleet { proxy, listen, others }
}

/// All peers send at the same moment, while the program is suspended, and together more than 2,000 datagrams per second.
#[test]
fn datagrams_of_all_peers_at_once_are_received() {
    for (proxies, _) in DEPLOYMENTS {
        let Fleet { proxy, listen, others } = start_fleet(proxies as usize, &[], |config| config);
        let incarnation = unix_ms();
        for round in 1..=3 {
            proxy.pause();
            for (n, socket) in (1..).zip(&others) {
                let sender = Sender { ordinal: n, incarnation, sequence: round };
                let item = Item::TenantRate { tenant: 0, tenths_per_s: 5 };
                socket.send_to(Datagram::pack(sender, &[item]).0.bytes(), listen).expect("sent");
            }
            proxy.resume();
            let expected = u64::from(round) * others.len() as u64;
            let started = Instant::now();
            while proxy.stats()["peers"]["heard"].as_u64() != Some(expected) {
                let figures = proxy.stats();
                assert!(
                    started.elapsed() < TEST_TIMEOUT / 4,
                    "round {round}: {expected}, {}",
                    figures["peers"]
                );
            }
        }
        assert_eq!(proxy.stats()["peers"]["floods"].as_u64(), Some(0));
        assert_small(&proxy, &format!("{proxies} proxies heard three times each"));
    }
}

/// The program broadcasts the position of its host, which each answer carries.
#[test]
fn every_peer_receives_datagrams() {
    let state = support::HostState {
        value: "v",
        role: support::HostRole::Writer,
        position: support::HostPosition::Now,
    };
    let host = support::ScriptedHost::start(state);
    let Fleet { proxy, others, .. } = start_fleet(MAX_PROXIES, &[&host.host], |config| {
        config.replace("\"positions\":false", "\"positions\":true")
    });
    let mut client = proxy.client();
    let started = Instant::now();
    for n in 0.. {
        client.query(&support::read(&format!("request-{n}"), "history", 9_000));
        if n % 100 == 0 && proxy.stats()["peers"]["sent"].as_u64() > Some(0) {
            break;
        }
        assert!(started.elapsed() < TEST_TIMEOUT, "{}", proxy.stats()["peers"]);
    }
    for (n, socket) in (1..).zip(&others) {
        socket.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
        let mut bytes = [0; 512];
        let length = socket.recv(&mut bytes).unwrap_or_else(|e| panic!("proxy {n}: {e}"));
        let message = Message::read(&bytes[..length]).expect("a datagram");
        assert!(matches!(message.items[..], [Item::HostPosition { primary: true, .. }]), "{message:?}");
    }
}

/// Two datagrams cannot hold the rates of all tenants.
#[test]
fn the_rate_of_every_tenant_is_broadcast() {
    const TENANTS: usize = 400;
    let host = support::Host::start(|_, _| support::Reply::Row("v"));
    let tenants: Vec<String> = (0..TENANTS).map(|n| format!(r#"{{"name":"t{n}","quotaRps":5}}"#)).collect();
    let Fleet { proxy, others, .. } = start_fleet(2, &[&host], |config| {
        config.replace("\"azs\":", &format!("\"tenants\":[{}],\"azs\":", tenants.join(",")))
    });
    others[0].set_read_timeout(Some(Duration::from_millis(1))).expect("set");
    let mut client = proxy.client();
    let mut received_tenants = BTreeSet::new();
    let started = Instant::now();
    for n in 0.. {
        client.query(&support::read(&format!("request-{n}"), "history", 9_000));
        let mut bytes = [0; 512];
        while let Ok(length) = others[0].recv(&mut bytes) {
            let message = Message::read(&bytes[..length]).expect("a datagram");
            received_tenants.extend(message.items.iter().filter_map(|item| match item {
                Item::TenantRate { tenant, .. } => Some(*tenant),
                Item::HostPosition { .. } => None,
            }));
        }
        if received_tenants.len() == TENANTS {
            return;
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT / 2,
            "{} of {TENANTS}, the last is {:?}",
            received_tenants.len(),
            received_tenants.last()
        );
    }
}
