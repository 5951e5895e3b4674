//! Sizes: 350 proxies and 700 servers, and 1,024 of each. Nothing is cut off in silence: every server of a list is
//! known and routable, every proxy is heard and spoken to, and the process stays small. `docs/sizes.md` is the table of
//! what is bounded. Pure routers draw their lots from seed 1, the program from `1f`.

mod support;

use sillfold::*;
use sillfold_talk::{Datagram, Item, Message, PeerChannel, Sender};
use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};
use support::{ManyHosts, PATIENCE, Proxy, add_console, unix_ms};

/// Proxies and servers of the deployments that are looked at.
const DEPLOYMENTS: [(u32, u32); 2] = [(350, 700), (1_024, 1_024)];
const MOST_PROXIES: usize = 1_024;
const MOST_SERVERS: usize = 1_024;
/// A list with servers that left it lately.
const LONG_LIST: usize = 3_700;
const MEMBERS: u32 = 5;
/// A process has to stay under this.
const MOST_MEMORY_KB: u64 = 48 * 1024;

const MS: Micros = 1_000;
const T0: Micros = 1_000_000_000;
/// The module's step of news to peers.
const PERIOD: Micros = 100 * MS;

// ---- Pure routers ----

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
        tokens: SessionTokens::TrackedByProxy,
        cross_zone_costs: false,
        positions: true,
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

/// A router and what it was told so far.
struct Model {
    router: Router,
    now: Micros,
    requests: RequestId,
}

impl Model {
    /// One of so many, with so many servers in groups of this size.
    fn start(proxies: u32, hosts: u32, members: u32) -> Model {
        let mut model = Model { router: Router::new(settings(proxies), 1), now: T0, requests: 0 };
        let entries = (0..hosts).map(|host| entry(host, members, HostStatus::Ready)).collect();
        model.tell(Event::List { kind: ListUpdate::Full, entries });
        model
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, &[event], &mut actions);
        actions
    }

    fn arrival(&mut self, class: u8, group: GroupId) -> RequestInfo {
        self.requests += 1;
        let give_up_at = self.now + 2_000 * MS;
        RequestInfo { id: self.requests, class, group, give_up_at, ..RequestInfo::default() }
    }

    /// Where a read of this group goes; it is answered there.
    fn read_goes_to(&mut self, group: GroupId) -> Option<HostId> {
        let arrival = self.arrival(0, group);
        let id = arrival.id;
        let actions = self.tell(Event::Request(arrival));
        let host = actions.iter().find_map(|action| match action {
            Action::Send { host, .. } => Some(*host),
            _ => None,
        })?;
        self.now += MS;
        self.tell(Event::Outcome(AttemptResult {
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

fn entry(host: HostId, members: u32, state: HostStatus) -> HostEntry {
    HostEntry {
        host,
        zone: 0,
        kind: 0,
        group: host / members,
        state,
        weight: 1.0,
        primary: host.is_multiple_of(members),
        started: 0,
    }
}

/// Each server in turn is the only one of its group that takes work.
#[test]
fn every_server_of_a_large_list_is_routable() {
    for (proxies, hosts) in DEPLOYMENTS {
        let mut model = Model::start(proxies, hosts, MEMBERS);
        assert_eq!(model.router.host_counts(), (hosts as usize, 0));
        for host in 0..hosts {
            let group = host / MEMBERS;
            let members = group * MEMBERS..((group + 1) * MEMBERS).min(hosts);
            let state = |member| if member == host { HostStatus::Ready } else { HostStatus::Draining };
            let entries = members.map(|member| entry(member, MEMBERS, state(member))).collect();
            model.tell(Event::List { kind: ListUpdate::Delta, entries });
            assert_eq!(model.read_goes_to(group), Some(host), "{proxies} proxies, {hosts} servers");
        }
    }
}

/// The same, where all are members of one group.
#[test]
fn every_server_of_a_large_group_is_routable() {
    for (proxies, hosts) in DEPLOYMENTS {
        let mut model = Model::start(proxies, hosts, hosts);
        let mut routed = BTreeSet::new();
        for _ in 0..hosts {
            let host = model.read_goes_to(0).expect("one takes it");
            assert!(routed.insert(host), "{host} drains");
            let entries = [entry(host, hosts, HostStatus::Draining)].into();
            model.tell(Event::List { kind: ListUpdate::Delta, entries });
        }
        assert_eq!(model.read_goes_to(0), None);
    }
}

/// Requests pay for what is said; those of a class that nobody knows pay too, and cost the model little.
#[test]
fn the_position_of_every_server_is_told_to_the_other_proxies() {
    for (proxies, hosts) in DEPLOYMENTS {
        let mut model = Model::start(proxies, hosts, MEMBERS);
        for host in 0..hosts {
            let report = HostReport { position: Some(model.now - MS), ..HostReport::default() };
            model.tell(Event::Probed { host, ok: true, report });
        }
        let (mut told, mut longest) = (BTreeSet::new(), 0);
        for _ in 0..hosts {
            model.now += PERIOD;
            for _ in 0..proxies * 12 {
                let arrival = model.arrival(u8::MAX, 0);
                for action in model.tell(Event::Request(arrival)) {
                    let Action::Broadcast(news) = action else { continue };
                    longest = longest.max(datagram_length(&news));
                    told.extend(news.iter().filter_map(|news| match news {
                        PeerUpdate::HostPosition { host, .. } => Some(*host),
                        PeerUpdate::TenantRate { .. } => None,
                    }));
                }
            }
            if told.len() == hosts as usize {
                break;
            }
        }
        assert_eq!(told.len(), hosts as usize, "{proxies} proxies");
        println!("{proxies} proxies, {hosts} servers: the longest datagram has {longest} bytes");
    }
}

/// The length of the one datagram that holds all of it.
fn datagram_length(news: &[PeerUpdate]) -> usize {
    let shared = |host| Some(u32::MAX - host);
    let items: Vec<Item> = news.iter().filter_map(|&news| talk::to_item(news, shared)).collect();
    let sender = Sender { ordinal: u16::MAX, incarnation: unix_ms(), sequence: u32::MAX };
    let (datagram, packed) = Datagram::pack(sender, &items);
    assert_eq!(packed, news.len());
    datagram.bytes().len()
}

// ---- The talk, pure ----

/// A proxy says something with each of the module's periods at most.
#[test]
fn the_words_of_every_proxy_are_read_however_many_there_are() {
    for (proxies, _) in DEPLOYMENTS {
        let mut doors: Vec<PeerChannel> =
            (1..proxies).map(|n| PeerChannel::new(n as u16, proxies as usize, 1_000)).collect();
        let mut own = PeerChannel::new(0, proxies as usize, 1_000);
        let periods = 1_000_000 / PERIOD;
        for period in 0..periods {
            let now = T0 + period * PERIOD;
            for (n, door) in (1..).zip(&mut doors) {
                let (datagram, _) = door.pack(&[Item::TenantRate { tenant: 0, tenths_per_s: 5 }]);
                assert_eq!(own.reserve_read(now), Ok(()), "period {period}, proxy {n} of {proxies}");
                assert!(own.receive(Some(n), datagram.bytes(), now / MS).is_ok());
            }
        }
        assert_eq!(own.counters.heard, periods * u64::from(proxies - 1));
    }
}

// ---- The program ----

/// One entry of a list, in a single line or indented.
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

/// Waits until the program knows so many hosts.
fn knows_hosts(proxy: &Proxy, count: usize) {
    let begun = Instant::now();
    while proxy.figures()["hosts_listed"].as_u64() != Some(count as u64) {
        assert!(begun.elapsed() < PATIENCE, "{} of {count}", proxy.figures()["hosts_listed"]);
    }
}

fn is_small(proxy: &Proxy, what: &str) {
    let memory = proxy.memory_kb();
    println!("{what}: {memory} KB");
    assert!(memory < MOST_MEMORY_KB, "{what}: {memory} KB");
}

#[test]
fn a_long_list_is_taken_whole_in_one_line_and_indented() {
    let nobody = "127.0.0.1:9".parse().expect("an address");
    let proxy = Proxy::with_console(&[], 1024);
    proxy.agent.asked();
    let sizes = [350, 700, MOST_SERVERS, LONG_LIST].into_iter().enumerate();
    for (step, count) in sizes {
        let entries: Vec<_> = (0..count).map(|n| listed(n, n / MEMBERS as usize, nobody)).collect();
        let index = 100 + 2 * step;
        proxy.agent.line(&list(index, entries.clone()).to_string());
        knows_hosts(&proxy, count);
        // Another number of hosts, so that it shows that this one was taken too.
        let indented = serde_json::to_string_pretty(&list(index + 1, entries[..count - 1].to_vec()));
        proxy.agent.line(&indented.expect("JSON"));
        knows_hosts(&proxy, count - 1);
        proxy.agent.end_watch();
        assert!(proxy.agent.asked().contains(&format!("index={} ", index + 1)));
        is_small(&proxy, &format!("a list of {count} hosts, in one line and indented"));
    }
}

/// Under its usual limit of descriptors, which is lower than the number of hosts.
#[test]
fn every_host_of_a_large_list_is_reached() {
    let hosts = ManyHosts::start(MOST_SERVERS);
    let proxy = Proxy::with_console(&[], 1024);
    proxy.agent.asked();
    let entries = hosts.addresses.iter().enumerate().map(|(n, &address)| listed(n, n, address)).collect();
    proxy.agent.line(&list(42, entries).to_string());
    knows_hosts(&proxy, MOST_SERVERS);
    let mut client = proxy.client();
    for round in 0..2 {
        for group in 0..MOST_SERVERS {
            let id = format!("{round}-{group}");
            let statement =
                support::read(&id, "history", 9_000).replace("cluster=3", &format!("cluster={group}"));
            let answer = client.ask(&statement);
            assert_eq!(answer.value, Some(group.to_string()), "{}", answer.message);
        }
    }
    is_small(&proxy, &format!("{MOST_SERVERS} hosts asked twice each"));
}

/// The program as the first of many proxies, the others of which are sockets of the test.
struct Fleet {
    proxy: Proxy,
    /// Where the program is spoken to.
    listen: SocketAddr,
    others: Vec<UdpSocket>,
}

fn among(proxies: usize, hosts: &[&support::Host], change: impl Fn(String) -> String) -> Fleet {
    let bind = |_| UdpSocket::bind("127.0.0.1:0").expect("a loopback port");
    let others: Vec<UdpSocket> = (1..proxies).map(bind).collect();
    let listen = SocketAddr::new(support::address(), 20_500);
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

/// They speak at the same moment, while the program stands still; and more often in a second than 2,000 times.
#[test]
fn every_other_proxy_is_heard_also_where_all_speak_at_once() {
    for (proxies, _) in DEPLOYMENTS {
        let Fleet { proxy, listen, others } = among(proxies as usize, &[], |config| config);
        let incarnation = unix_ms();
        for round in 1..=3 {
            proxy.freeze();
            for (n, socket) in (1..).zip(&others) {
                let sender = Sender { ordinal: n, incarnation, sequence: round };
                let item = Item::TenantRate { tenant: 0, tenths_per_s: 5 };
                socket.send_to(Datagram::pack(sender, &[item]).0.bytes(), listen).expect("sent");
            }
            proxy.thaw();
            let expected = u64::from(round) * others.len() as u64;
            let begun = Instant::now();
            while proxy.figures()["peers"]["heard"].as_u64() != Some(expected) {
                let figures = proxy.figures();
                assert!(begun.elapsed() < PATIENCE / 4, "round {round}: {expected}, {}", figures["peers"]);
            }
        }
        assert_eq!(proxy.figures()["peers"]["floods"].as_u64(), Some(0));
        is_small(&proxy, &format!("{proxies} proxies heard three times each"));
    }
}

/// Where its host stands, which every answer tells.
#[test]
fn every_other_proxy_is_spoken_to() {
    let state = support::HostState {
        value: "v",
        role: support::HostRole::Writer,
        position: support::HostPosition::Now,
    };
    let host = support::ScriptedHost::start(state);
    let Fleet { proxy, others, .. } = among(MOST_PROXIES, &[&host.host], |config| {
        config.replace("\"positions\":false", "\"positions\":true")
    });
    let mut client = proxy.client();
    let begun = Instant::now();
    for n in 0.. {
        client.ask(&support::read(&format!("pays-{n}"), "history", 9_000));
        if n % 100 == 0 && proxy.figures()["peers"]["sent"].as_u64() > Some(0) {
            break;
        }
        assert!(begun.elapsed() < PATIENCE, "{}", proxy.figures()["peers"]);
    }
    for (n, socket) in (1..).zip(&others) {
        socket.set_read_timeout(Some(Duration::from_secs(5))).expect("set");
        let mut bytes = [0; 512];
        let length = socket.recv(&mut bytes).unwrap_or_else(|e| panic!("proxy {n}: {e}"));
        let message = Message::read(&bytes[..length]).expect("a datagram");
        assert!(matches!(message.items[..], [Item::HostPosition { primary: true, .. }]), "{message:?}");
    }
}

/// More of them than two datagrams hold.
#[test]
fn what_every_tenant_asks_for_is_said_however_many_there_are() {
    const TENANTS: usize = 400;
    let host = support::Host::start(|_, _| support::Reply::Row("v"));
    let tenants: Vec<String> = (0..TENANTS).map(|n| format!(r#"{{"name":"t{n}","quotaRps":5}}"#)).collect();
    let Fleet { proxy, others, .. } = among(2, &[&host], |config| {
        config.replace("\"azs\":", &format!("\"tenants\":[{}],\"azs\":", tenants.join(",")))
    });
    others[0].set_read_timeout(Some(Duration::from_millis(1))).expect("set");
    let (mut client, mut told, begun) = (proxy.client(), BTreeSet::new(), Instant::now());
    for n in 0.. {
        client.ask(&support::read(&format!("pays-{n}"), "history", 9_000));
        let mut bytes = [0; 512];
        while let Ok(length) = others[0].recv(&mut bytes) {
            let message = Message::read(&bytes[..length]).expect("a datagram");
            told.extend(message.items.iter().filter_map(|item| match item {
                Item::TenantRate { tenant, .. } => Some(*tenant),
                Item::HostPosition { .. } => None,
            }));
        }
        if told.len() == TENANTS {
            return;
        }
        assert!(begun.elapsed() < PATIENCE / 2, "{} of {TENANTS}, the last is {:?}", told.len(), told.last());
    }
}
