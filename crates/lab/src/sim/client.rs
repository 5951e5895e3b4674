//! Simulates clients. Some send valid requests and report every answer to the rule checker; others send broken or
//! incomplete messages. A client must not excuse a missing or wrong answer where the rules do not excuse it.

use super::check::AnsweredRequest;
use super::deployment::{Access, Class, Idempotency, SessionTokens};
use super::host::{Fleet, read_message};
use super::world::{Micros, World};
use crate::flood::{Flood, Terms};
use crate::wire;
use futures_lite::future;
use sillfold::net::world::{self, Stream};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A connection that ends within this time after a request was sent was closed before the request arrived.
const CLOSED_BEFORE_ARRIVAL_US: Micros = 12_000;

/// How much a flooding client sends before it waits.
const FLOOD_BYTES: usize = 64 * 1024;
/// The wait of a flooding client.
const FLOOD_PAUSE: Duration = Duration::from_millis(10);
/// The client deadline of the requests of a flood.
const FLOOD_DEADLINE_MS: u64 = 1_000;

/// A proxy to which clients send requests.
pub struct Target {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    /// When a process of the proxy was last killed: the requests in flight then get no answer.
    pub killed_at: Cell<Option<Micros>>,
    /// When clients stop sending requests.
    pub until: Micros,
    /// The number of requests in flight.
    pub in_flight: Cell<usize>,
}

/// A client that sends valid requests: to which proxies, and in which sessions.
pub struct Client {
    /// The number of the client.
    pub number: usize,
    /// The proxies that the client uses; more than one for a client that changes between proxies.
    pub targets: Vec<Rc<Target>>,
    /// The first of the sessions that the client shares with others, and their number.
    pub sessions: (u64, u64),
    /// The number of groups of hosts; a session's data are in one of them.
    pub groups: usize,
    /// The mean pause between two requests, in milliseconds.
    pub rest_ms: u64,
}

impl Client {
    /// Draws one of the sessions of the client.
    fn draw_session(&self, fleet: &Fleet) -> u64 {
        self.sessions.0 + fleet.world.draw_below(self.sessions.1)
    }

    /// Draws one of the proxies of the client.
    fn draw_target(&self, fleet: &Fleet) -> Rc<Target> {
        self.targets[fleet.world.draw_below(self.targets.len() as u64) as usize].clone()
    }
}

/// Sends one request after the other until the end of the target, with pauses in between. A connection is used again
/// as long as the proxy leaves it open, except for one in 20 on average, which the client closes.
pub async fn run_client(fleet: Rc<Fleet>, client: Client) {
    let w = fleet.world.clone();
    let Client { number, rest_ms, .. } = client;
    let (mut request_number, mut last_write_ms) = (0, 0);
    let mut target = client.draw_target(&fleet);
    let mut connection: Option<(Stream, Vec<u8>)> = None;
    loop {
        let pause_us = (-(rest_ms as f64) * 1e3 * (1.0 - w.draw_fraction()).ln()) as u64;
        world::after(Duration::from_micros(pause_us.min(10_000_000))).await;
        if w.now() >= target.until {
            return;
        }
        // The proxy may close an idle connection at any time: as usual clients do, check it before the next request.
        if let Some((stream, mut received)) = connection.take() {
            let ended =
                !stream.is_idle() && !matches!(stream.read_with(|part| received.extend(part)).await, Ok(1..));
            // The proxy may send an error that says why it closes the connection.
            if received.first().is_some_and(|kind| *kind != b'E') {
                let description = format!("{} bytes received without a request", received.len());
                fleet.checker.borrow_mut().unexpected_reply(
                    w.now(),
                    &format!("client {number}"),
                    &description,
                );
            }
            connection = (!ended && received.is_empty()).then_some((stream, received));
        }
        let (mut stream, mut received) = match connection.take() {
            Some(open) => open,
            None => {
                target = client.draw_target(&fleet);
                let Some(stream) = connect(target.address).await else {
                    world::after(Duration::from_millis(50 + w.draw_below(100))).await;
                    continue;
                };
                (stream, Vec::new())
            }
        };
        request_number += 1;
        target.in_flight.set(target.in_flight.get() + 1);
        let is_usable = run_request(
            &fleet,
            &target,
            &mut stream,
            &mut received,
            (&client, request_number),
            &mut last_write_ms,
        )
        .await;
        target.in_flight.set(target.in_flight.get() - 1);
        if is_usable && w.draw_below(20) > 0 {
            connection = Some((stream, received));
        }
    }
}

/// Opens a session with the proxy; `None` if the connection or the startup fails or takes longer than two seconds.
pub async fn connect(address: SocketAddr) -> Option<Stream> {
    let opened = async {
        let stream = Stream::connect(address).await.ok()?;
        stream.write_all(&wire::startup("web", "orders")).await.ok()?;
        let mut received = Vec::new();
        loop {
            match read_message(&stream, &mut received).await.ok()?? {
                (b'Z', _) => return Some(stream),
                (b'E', _) => return None,
                _ => {}
            }
        }
    };
    let timeout = async {
        world::after(Duration::from_secs(2)).await;
        None
    };
    future::or(opened, timeout).await
}

/// Sends one request and checks its answer. Returns whether the connection may carry another request.
async fn run_request(
    fleet: &Rc<Fleet>, target: &Target, stream: &mut Stream, received: &mut Vec<u8>,
    (client, request_number): (&Client, u64), last_write_ms: &mut u64,
) -> bool {
    let w = &fleet.world;
    let class = draw_class(fleet);
    let number = client.number;
    let id = format!("q{number}.{request_number}");
    let session = client.draw_session(fleet);
    let group = session % client.groups as u64;
    let session = format!("s{session}");
    let carries_write_position =
        class.access == Access::SessionRead && fleet.deployment.tokens == SessionTokens::FromClient;
    let key = if class.idempotency == Idempotency::Idempotent { String::new() } else { format!(",k={id}") };
    // Positions belong to the group of the write. As positions are times here, one for all groups is enough: that of
    // the latest write to any group.
    let after = if carries_write_position && *last_write_ms > 0 {
        format!(",after={last_write_ms}")
    } else {
        String::new()
    };
    let (name, deadline_ms) = (&class.name, class.deadline_ms);
    let statement = match class.access {
        Access::Write => format!("INSERT INTO e VALUES ('{session}')"),
        _ => format!("SELECT v FROM e WHERE k = '{session}'"),
    };
    let text = format!("/* id={id},c={name},d={deadline_ms}{key}{after},cluster={group} */ {statement}");
    let sent = w.now();
    let write_position = if carries_write_position { fleet.position_at_unix_ms(*last_write_ms) } else { 0 };
    w.trace(|| format!("client {number} asks {id} of {name} in group {group}, session {session} "));
    fleet.checker.borrow_mut().counts.asked += 1;
    if stream.write_all(&wire::message(b'Q', &[text.as_bytes(), b"\0"].concat())).await.is_err() {
        fleet.checker.borrow_mut().counts.excused += 1;
        return false;
    }
    let _recent = fleet.begin_recent(&id, &text, target.address);
    let (mut value, mut error) = (None, None);
    // One request in 25 on average is given up: the client closes its connection.
    let gives_up_at = if w.draw_below(25) == 0 {
        sent + 1_000 + w.draw_below(class.deadline_ms * 500)
    } else {
        Micros::MAX
    };
    loop {
        if w.now() >= gives_up_at {
            let mut checker = fleet.checker.borrow_mut();
            checker.client_disconnected(w.now(), &id);
            checker.counts.excused += 1;
            drop(checker);
            w.trace(|| format!("client {number} leaves while {id} is open"));
            return false;
        }
        let message = async { Some(read_message(stream, received).await) };
        let wait = Duration::from_micros(gives_up_at.saturating_sub(w.now()).min(500_000));
        let waited = async {
            world::after(wait).await;
            None
        };
        let message = future::or(message, waited).await;
        let (now, mut checker) = (w.now(), fleet.checker.borrow_mut());
        match message {
            None if target.killed_at.get().is_some_and(|at| at >= sent) => {
                checker.counts.excused += 1;
                return false;
            }
            None => {
                // No message arrived in this time. The client waits on, unless the deadline has passed.
                checker.check_deadline(now, &id, &class, sent, false);
                if checker.broken.is_some() {
                    return false;
                }
            }
            Some(Ok(Some((b'D', body)))) => {
                let text = body.get(6..).map(|value| String::from_utf8_lossy(value).into_owned());
                if value.replace(text.unwrap_or_default()).is_some() {
                    checker.unexpected_reply(now, &id, "received two rows");
                }
            }
            Some(Ok(Some((b'E', body)))) => {
                let code = String::from_utf8_lossy(&body)
                    .split('\0')
                    .find_map(|field| field.strip_prefix('C').map(String::from));
                if error.replace(code.unwrap_or_default()).is_some() {
                    checker.unexpected_reply(now, &id, "received two errors");
                }
            }
            Some(Ok(Some((b'Z', _)))) => {
                checker.check_deadline(now, &id, &class, sent, true);
                match (value, error) {
                    (Some(value), None) => {
                        let (id, class, session) = (&id, &*class, &session);
                        checker.value_received(
                            now,
                            AnsweredRequest { id, class, session, sent, write_position },
                            &value,
                        );
                        if class.access == Access::Write {
                            // The write was committed by now.
                            *last_write_ms = w.unix_ms();
                        }
                    }
                    (None, Some(code)) => {
                        checker.error_received(now, &id, |since, by| w.was_disrupted(since, by));
                        drop(checker);
                        w.trace(|| format!("client {number} has {code} for {id}"));
                    }
                    _ => checker.unexpected_reply(now, &id, "received not exactly one row or one error"),
                }
                return true;
            }
            Some(Ok(Some(_))) => {}
            Some(Ok(None) | Err(_)) => {
                // Up to 5 ms after a kill, a client may still send a request over a connection of the killed process.
                if target.killed_at.get().is_some_and(|at| at + 5_000 >= sent) {
                    checker.counts.excused += 1;
                } else if error.is_some() || value.is_some() || now > sent + CLOSED_BEFORE_ARRIVAL_US {
                    checker.unexpected_reply(now, &id, "the connection ended before the answer was complete");
                } else {
                    // The proxy closed the connection before the request arrived.
                    checker.counts.excused += 1;
                }
                return false;
            }
        }
    }
}

/// Draws the class of the next request, by the shares of the classes.
fn draw_class(fleet: &Fleet) -> Rc<Class> {
    let mut draw = fleet.world.draw_fraction();
    let class = fleet.classes.iter().find(|class| {
        draw -= class.share;
        draw < 0.0
    });
    class.unwrap_or(&fleet.classes[0]).clone()
}

/// Runs a client that sends broken or incomplete messages until this time. No rule applies to its own requests; it must
/// only not affect those of other clients.
pub async fn run_misbehaving_client(fleet: Rc<Fleet>, target: Rc<Target>, until: Micros) {
    let w = fleet.world.clone();
    // Longer than what a proxy holds without a reservation.
    let half_of_a_long_query = [b"Q\0\0\x80\0".as_slice(), &[b'x'; 0x4000]].concat();
    while w.now() < until {
        let Ok(stream) = Stream::connect(target.address).await else {
            world::after(Duration::from_millis(100)).await;
            continue;
        };
        let startup = wire::startup("web", "orders");
        let parts: &[&[u8]] = match w.draw_below(5) {
            0 => &[&startup[..startup.len() / 2]],
            1 => &[&[0xff; 64]],
            2 => &[&startup, &half_of_a_long_query],
            3 => &[&startup, b"\xfe\xff\xff\xff\xff\xff"],
            _ => &[&startup, b"Q\0\0\0\x0fSELECT 1;\0\0"],
        };
        for part in parts {
            if stream.write_all(part).await.is_err() {
                break;
            }
        }
        if w.draw_below(3) == 0 {
            let _ = stream.shutdown();
        }
        let remaining_us = until.saturating_sub(w.now()).min(500_000 + w.draw_below(4_000_000));
        let drained = async { while let Ok(1..) = stream.read_with(|_| ()).await {} };
        future::or(drained, world::after(Duration::from_micros(remaining_us))).await;
        world::after(Duration::from_millis(10 + w.draw_below(100))).await;
    }
}

/// Runs a client that sends messages of one kind as fast as the network takes them, until this time. No rule applies to its own
/// requests. In virtual time a poll takes no time, so the client waits now and then.
pub async fn run_flooding_client(fleet: Rc<Fleet>, target: Rc<Target>, until: Micros) {
    let w = fleet.world.clone();
    let flood = Flood::ALL[w.draw_below(Flood::ALL.len() as u64) as usize];
    let class = fleet.classes[0].name.clone();
    while w.now() < until {
        let Ok(stream) = Stream::connect(target.address).await else {
            world::after(Duration::from_millis(100)).await;
            continue;
        };
        let sent = send_flood(&w, &stream, flood, &class, until);
        let drained = async { while let Ok(1..) = stream.read_with(|_| ()).await {} };
        let remaining = Duration::from_micros(until.saturating_sub(w.now()));
        future::or(future::or(sent, drained), world::after(remaining)).await;
        world::after(FLOOD_PAUSE).await;
    }
}

/// Sends a flood on one connection, up to its end.
async fn send_flood(w: &World, stream: &Stream, flood: Flood, class: &str, until: Micros) {
    if flood.begins_session() && stream.write_all(&wire::startup("web", "orders")).await.is_err() {
        return;
    }
    while w.now() < until {
        let terms = Terms { read_class: class, write_class: class, group: 0, deadline_ms: FLOOD_DEADLINE_MS };
        let chunk = flood.chunk(FLOOD_BYTES, &terms, || w.draw_below(u64::MAX));
        if stream.write_all(&chunk).await.is_err() || flood.reconnects() {
            return;
        }
        world::after(FLOOD_PAUSE).await;
    }
}
