//! Simulated clients: those that ask as they should and hold the proxy to the rules, and rude ones. They own what
//! they wait for. They must never forgive what the page on rules does not.

use super::check::AnsweredRequest;
use super::deployment::{Access, Class, Idempotency, SessionTokens};
use super::host::{Fleet, read_message};
use super::world::Micros;
use crate::wire;
use futures_lite::future;
use sillfold::net::world::{self, Stream};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A connection that ends this soon after a request was sent was closed before that was there.
const CROSSED: Micros = 12_000;

/// A proxy, as its clients know it.
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// When a process there was last killed: what was out then has no answer.
    pub killed_at: Cell<Option<Micros>>,
    /// Until when clients ask.
    pub until: Micros,
    /// Requests that are out.
    pub in_flight: Cell<usize>,
}

/// A client that behaves: which proxies it may ask, and in which sessions.
pub struct Client {
    /// Its number.
    pub number: usize,
    /// The proxies that it asks; more than one for a client that roams.
    pub targets: Vec<Rc<Target>>,
    /// The first session that it shares with others, and how many there are.
    pub sessions: (u64, u64),
    /// Groups of hosts; a session's data are in one of them.
    pub groups: usize,
    /// Its mean rest between two requests, in milliseconds.
    pub rest_ms: u64,
}

impl Client {
    /// One of its sessions, by lot.
    fn session(&self, fleet: &Fleet) -> u64 {
        self.sessions.0 + fleet.world.draw_below(self.sessions.1)
    }

    /// One of its proxies, by lot.
    fn target(&self, fleet: &Fleet) -> Rc<Target> {
        self.targets[fleet.world.draw_below(self.targets.len() as u64) as usize].clone()
    }
}

/// Asks one request after the other, on as few connections as the proxy allows.
pub async fn run_client(fleet: Rc<Fleet>, client: Client) {
    let w = fleet.world.clone();
    let Client { number, rest_ms, .. } = client;
    let (mut count, mut mark) = (0, 0);
    let mut target = client.target(&fleet);
    let mut connection: Option<(Stream, Vec<u8>)> = None;
    loop {
        let rest = (-(rest_ms as f64) * 1e3 * (1.0 - w.draw_fraction()).ln()) as u64;
        world::after(Duration::from_micros(rest.min(10_000_000))).await;
        if w.now() >= target.until {
            return;
        }
        // Rested for long, a connection may end at any moment: usual clients look before they ask.
        if let Some((stream, mut came)) = connection.take() {
            let ended =
                !stream.is_idle() && !matches!(stream.read_with(|part| came.extend(part)).await, Ok(1..));
            // A last error may say why it ends.
            if came.first().is_some_and(|kind| *kind != b'E') {
                let what = format!("{} bytes that nobody asked for", came.len());
                fleet.checker.borrow_mut().unexpected_reply(w.now(), &format!("client {number}"), &what);
            }
            connection = (!ended && came.is_empty()).then_some((stream, came));
        }
        let (mut stream, mut came) = match connection.take() {
            Some(open) => open,
            None => {
                target = client.target(&fleet);
                let Some(stream) = connect(target.address).await else {
                    world::after(Duration::from_millis(50 + w.draw_below(100))).await;
                    continue;
                };
                (stream, Vec::new())
            }
        };
        count += 1;
        target.in_flight.set(target.in_flight.get() + 1);
        let kept = run_request(&fleet, &target, &mut stream, &mut came, (&client, count), &mut mark).await;
        target.in_flight.set(target.in_flight.get() - 1);
        if kept && w.draw_below(20) > 0 {
            connection = Some((stream, came));
        }
    }
}

/// Opens a session; nothing where that fails in any way.
async fn connect(address: SocketAddr) -> Option<Stream> {
    let opened = async {
        let stream = Stream::connect(address).await.ok()?;
        stream.write_all(&wire::startup("web", "orders")).await.ok()?;
        let mut came = Vec::new();
        loop {
            match read_message(&stream, &mut came).await.ok()?? {
                (b'Z', _) => return Some(stream),
                (b'E', _) => return None,
                _ => {}
            }
        }
    };
    let time_is_up = async {
        world::after(Duration::from_secs(2)).await;
        None
    };
    future::or(opened, time_is_up).await
}

/// One request up to its answer; whether the connection may serve another.
async fn run_request(
    fleet: &Rc<Fleet>, target: &Target, stream: &mut Stream, came: &mut Vec<u8>,
    (client, count): (&Client, u64), mark: &mut u64,
) -> bool {
    let w = &fleet.world;
    let class = draw_class(fleet);
    let number = client.number;
    let id = format!("q{number}.{count}");
    let session = client.session(fleet);
    let group = session % client.groups as u64;
    let session = format!("s{session}");
    let is_marked =
        class.access == Access::SessionRead && fleet.deployment.tokens == SessionTokens::FromClient;
    let key = if class.idempotency == Idempotency::Idempotent { String::new() } else { format!(",k={id}") };
    // A mark is of the group that the write was in: clients here keep one of the latest write to any, in time.
    let after = if is_marked && *mark > 0 { format!(",after={mark}") } else { String::new() };
    let (name, d) = (&class.name, class.deadline_ms);
    let verb = match class.access {
        Access::Write => format!("INSERT INTO e VALUES ('{session}')"),
        _ => format!("SELECT v FROM e WHERE k = '{session}'"),
    };
    let text = format!("/* id={id},c={name},d={d}{key}{after},cluster={group} */ {verb}");
    let sent = w.now();
    let brought = if is_marked { fleet.position_of_mark(*mark) } else { 0 };
    w.trace(|| format!("client {number} asks {id} of {name} in group {group}, session {session} "));
    fleet.checker.borrow_mut().counts.asked += 1;
    if stream.write_all(&wire::message(b'Q', &[text.as_bytes(), b"\0"].concat())).await.is_err() {
        fleet.checker.borrow_mut().counts.excused += 1;
        return false;
    }
    let (mut value, mut error) = (None, None);
    // Some give up in the middle of it, and close.
    let leaves = if w.draw_below(25) == 0 {
        sent + 1_000 + w.draw_below(class.deadline_ms * 500)
    } else {
        Micros::MAX
    };
    loop {
        if w.now() >= leaves {
            let mut checker = fleet.checker.borrow_mut();
            checker.client_disconnected(w.now(), &id);
            checker.counts.excused += 1;
            drop(checker);
            w.trace(|| format!("client {number} leaves while {id} is open"));
            return false;
        }
        let message = async { Some(read_message(stream, came).await) };
        let look = Duration::from_micros(leaves.saturating_sub(w.now()).min(500_000));
        let late = async {
            world::after(look).await;
            None
        };
        let message = future::or(message, late).await;
        let (now, mut checker) = (w.now(), fleet.checker.borrow_mut());
        match message {
            None if target.killed_at.get().is_some_and(|at| at >= sent) => {
                checker.counts.excused += 1;
                return false;
            }
            None => {
                // Nothing came for a while; the wait goes on while it may.
                checker.check_deadline(now, &id, &class, sent, false);
                if checker.broken.is_some() {
                    return false;
                }
            }
            Some(Ok(Some((b'D', body)))) => {
                let text = body.get(6..).map(|v| String::from_utf8_lossy(v).into_owned());
                if value.replace(text.unwrap_or_default()).is_some() {
                    checker.unexpected_reply(now, &id, "two rows");
                }
            }
            Some(Ok(Some((b'E', body)))) => {
                let code = String::from_utf8_lossy(&body)
                    .split('\0')
                    .find_map(|f| f.strip_prefix('C').map(String::from));
                if error.replace(code.unwrap_or_default()).is_some() {
                    checker.unexpected_reply(now, &id, "two errors");
                }
            }
            Some(Ok(Some((b'Z', _)))) => {
                checker.check_deadline(now, &id, &class, sent, true);
                match (value, error) {
                    (Some(value), None) => {
                        let (id, class, session) = (&id, &*class, &session);
                        checker.value_received(
                            now,
                            AnsweredRequest { id, class, session, sent, write_position: brought },
                            &value,
                        );
                        if class.access == Access::Write {
                            // It was committed by now.
                            *mark = w.unix_ms();
                        }
                    }
                    (None, Some(code)) => {
                        checker.error_received(now, &id, |since, by| w.was_disrupted(since, by));
                        drop(checker);
                        w.trace(|| format!("client {number} has {code} for {id}"));
                    }
                    _ => checker.unexpected_reply(now, &id, "neither a row nor an error"),
                }
                return true;
            }
            Some(Ok(Some(_))) => {}
            Some(Ok(None) | Err(_)) => {
                if target.killed_at.get().is_some_and(|at| at + 5_000 >= sent) {
                    checker.counts.excused += 1;
                } else if error.is_some() || value.is_some() || now > sent + CROSSED {
                    checker.unexpected_reply(now, &id, "its connection ended before the answer did");
                } else {
                    // The proxy closed before the request was there.
                    checker.counts.excused += 1;
                }
                return false;
            }
        }
    }
}

/// The class of the next request, by lot.
fn draw_class(fleet: &Fleet) -> Rc<Class> {
    let mut lot = fleet.world.draw_fraction();
    let class = fleet.classes.iter().find(|c| {
        lot -= c.share;
        lot < 0.0
    });
    class.unwrap_or(&fleet.classes[0]).clone()
}

/// A client that does not behave, for so long; what it asks is of no rule's concern but that others are served.
pub async fn run_misbehaving_client(fleet: Rc<Fleet>, target: Rc<Target>, until: Micros) {
    let w = fleet.world.clone();
    while w.now() < until {
        let Ok(stream) = Stream::connect(target.address).await else {
            world::after(Duration::from_millis(100)).await;
            continue;
        };
        let startup = wire::startup("web", "orders");
        let parts: &[&[u8]] = match w.draw_below(5) {
            0 => &[&startup[..startup.len() / 2]],
            1 => &[&[0xff; 64]],
            2 => &[&startup, b"Q\0\0\x01\0half"],
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
        let left = until.saturating_sub(w.now()).min(500_000 + w.draw_below(4_000_000));
        let reads = async { while let Ok(1..) = stream.read_with(|_| ()).await {} };
        future::or(reads, world::after(Duration::from_micros(left))).await;
        world::after(Duration::from_millis(10 + w.draw_below(100))).await;
    }
}
