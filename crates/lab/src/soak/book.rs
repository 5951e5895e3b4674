//! The rules of a run, as a book that is told what clients, hosts and agents see. It owns what it was told and what broke
//! a rule. The figures are those of the terms; what this process saw late by its own fault is added.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A process may be held up by so much between its clock and a write: failing calls on order do that to every process.
const HOLD_UP: Duration = Duration::from_millis(150);
/// What a message takes on its way at most, on this machine.
const WAY: Duration = Duration::from_millis(30);
/// Something new may reach a host for so long after its proxy was told that it drains.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// An attempt may begin for so long after its client left.
const DEPARTURE: Duration = Duration::from_millis(100);
/// The time told to a host may exceed what its client has left by this.
const PATIENCE_SLACK: Duration = Duration::from_millis(150);
/// A request has its answer by then, counted from its time.
const LATE: Duration = Duration::from_millis(500);
/// What a client wrote may cross the end of its connection for so long.
const CROSSING: Duration = Duration::from_millis(100);
/// Two attempts count as out at once where the end of the first is not seen for so long behind the second.
const SECOND_LOOK: Duration = Duration::from_millis(60);

/// What a second run of a request does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// No harm.
    Safe,
    /// Recognised by its key within this time.
    Keyed(Duration),
    /// It must not be.
    Once,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
    pub writes: bool,
    pub patience: Duration,
}

/// The classes of a run, in the order of the settings. In one run of three a class waits for longer than the 3 s that the
/// end of a stop counts with at least.
pub fn classes(seed: u64) -> [Class; 4] {
    let mut classes = CLASSES;
    if seed.is_multiple_of(3) {
        classes[1].patience = Duration::from_secs(5);
    }
    classes
}

const CLASSES: [Class; 4] = [
    Class { name: "browse", effect: Effect::Safe, writes: false, patience: Duration::from_millis(700) },
    Class { name: "history", effect: Effect::Safe, writes: false, patience: Duration::from_millis(1_200) },
    Class {
        name: "ingest",
        effect: Effect::Keyed(Duration::from_millis(900)),
        writes: true,
        patience: Duration::from_millis(1_500),
    },
    Class { name: "post", effect: Effect::Once, writes: true, patience: Duration::from_millis(1_000) },
];

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Served(String),
    Refused,
    Failed,
    /// The connection ended with no answer.
    Closed,
}

/// Where an attempt stands, as its host knows.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Out,
    MayHaveRun,
    NeverRan,
}

struct Attempt {
    host: usize,
    at: Instant,
    /// When its end, or that of its connection, was seen.
    over: Option<Instant>,
    state: State,
}

struct Request {
    class: Class,
    proxy: usize,
    /// The client's end of its connection.
    port: u16,
    sent: Instant,
    left: Option<Instant>,
    /// When the one before it on its connection was answered: the time before that does not count.
    turn: Instant,
    /// When it was answered, or needs no answer any more.
    ended: Option<Instant>,
    attempts: Vec<Attempt>,
}

/// Who says that a host takes nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    List,
    ByHand,
}

/// A process that was killed.
struct Kill {
    proxy: usize,
    at: Instant,
    /// The clients' ends of the connections that it held, or that waited to be accepted.
    ports: BTreeSet<u16>,
}

/// What was seen, and what broke a rule.
#[derive(Default)]
pub struct Book {
    requests: BTreeMap<String, Request>,
    /// Since when each proxy knows that a host takes nothing new.
    off: BTreeMap<(usize, usize, Source), Instant>,
    /// Processes that were killed.
    kills: Vec<Kill>,
    /// When this process was late, and by how much.
    late: Vec<(Instant, Duration)>,
    ends: BTreeMap<String, u64>,
    broken: Vec<String>,
}

impl Book {
    pub fn breaks(&mut self, what: String) {
        let of_day = super::host::unix_ms() % 86_400_000;
        let (hours, minutes, ms) = (of_day / 3_600_000, of_day / 60_000 % 60, of_day % 60_000);
        let seconds = format!("{:02}.{:03}", ms / 1_000, ms % 1_000);
        self.broken.push(format!("{hours:02}:{minutes:02}:{seconds} {what}"));
    }

    pub fn broken(&self) -> &[String] {
        &self.broken
    }

    pub fn ends(&self) -> &BTreeMap<String, u64> {
        &self.ends
    }

    fn count(&mut self, what: &str) {
        *self.ends.entry(what.to_string()).or_default() += 1;
    }

    /// This process was held up by so much, up to now.
    pub fn observer_was_late(&mut self, by: Duration) {
        if by > Duration::from_millis(3) {
            self.late.push((Instant::now(), by));
        }
    }

    /// By how much this process was held up at most around these moments.
    fn own_fault(&self, from: Instant, to: Instant) -> Duration {
        let margin = Duration::from_millis(500);
        let near = |(at, _): &&(Instant, Duration)| *at + margin >= from && *at <= to + margin;
        let worst = self.late.iter().filter(near).map(|l| l.1).max();
        worst.unwrap_or_default() * 2
    }

    /// A client has sent a request to a proxy, from this port.
    pub fn sends(&mut self, id: &str, class: Class, proxy: usize, port: u16) {
        let sent = Instant::now();
        let (left, ended, attempts) = Default::default();
        let request = Request { class, proxy, port, sent, left, turn: sent, ended, attempts };
        self.requests.insert(id.to_string(), request);
    }

    /// All that were sent before a request on its connection have been answered.
    pub fn has_its_turn(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.turn = Instant::now();
        }
    }

    /// A client has closed the connection of a request that is open.
    pub fn leaves(&mut self, id: &str) {
        self.count("left");
        if let Some(request) = self.requests.get_mut(id) {
            let now = Instant::now();
            (request.left, request.ended) = (Some(now), Some(now));
        }
    }

    /// A proxy was told that a host takes nothing new.
    pub fn tells_off(&mut self, proxy: usize, host: usize, source: Source) {
        self.off.entry((proxy, host, source)).or_insert_with(Instant::now);
    }

    /// It takes something new again.
    pub fn tells_on(&mut self, proxy: usize, host: usize, source: Source) {
        self.off.remove(&(proxy, host, source));
    }

    /// A process of a proxy starts: what its agent and its folder have counts as told from its first moment.
    pub fn starts(&mut self, proxy: usize) {
        let of_proxy = self.off.iter_mut().filter(|((p, ..), _)| *p == proxy);
        of_proxy.for_each(|(_, since)| *since = Instant::now());
    }

    /// A process of a proxy is killed, which holds connections from these ports.
    pub fn kills(&mut self, proxy: usize, ports: BTreeSet<u16>) {
        self.kills.push(Kill { proxy, at: Instant::now(), ports });
    }

    /// Whether the process that a request was sent to was killed since.
    fn was_killed(&self, request: &Request) -> bool {
        let mut kills = self.kills.iter().filter(|kill| kill.proxy == request.proxy);
        kills.any(|kill| kill.at >= request.sent && kill.ports.contains(&request.port))
    }

    /// A host has a whole statement; the number of the attempt.
    pub fn arrives(&mut self, proxy: usize, host: usize, id: &str, told: Duration) -> Option<usize> {
        let now = Instant::now();
        let own = self.requests.get(id).map_or(Duration::ZERO, |r| self.own_fault(r.sent, now));
        let Some(request) = self.requests.get(id) else {
            self.breaks(format!("host {host} has {id}, which nobody asked"));
            return None;
        };
        let mut faults = Vec::new();
        for source in [Source::List, Source::ByHand] {
            let Some(since) = self.off.get(&(proxy, host, source)) else { continue };
            let late = now.saturating_duration_since(*since + DRAIN_GRACE + WAY + own);
            if late > Duration::ZERO {
                faults.push(format!("sent to host {host} {late:?} behind the grace of a drain ({source:?})"));
            }
        }
        if let Some(left) = request.left.filter(|left| now > *left + DEPARTURE + HOLD_UP + WAY + own) {
            faults.push(format!("sent to host {host} {:?} after its client left", now - left));
        }
        let client_waits = request.sent + request.class.patience;
        let client_has = client_waits.saturating_duration_since(now);
        if told > client_has + PATIENCE_SLACK + HOLD_UP + WAY + own {
            faults.push(format!("told host {host} {told:?}, its client has {client_has:?}"));
        }
        if let Some(first) = request.attempts.iter().find(|a| a.state != State::NeverRan) {
            let after = now.saturating_duration_since(first.at);
            match request.class.effect {
                Effect::Safe => {}
                Effect::Once => faults.push(format!("again at host {host}, {after:?} after {}", first.host)),
                Effect::Keyed(window) if after > window + WAY + own => {
                    faults.push(format!(
                        "again at host {host} after {after:?}, its key is kept for {window:?}"
                    ));
                }
                Effect::Keyed(_) => {}
            }
        }
        let proxy_of = request.proxy;
        for fault in faults {
            self.breaks(format!("{id} of proxy {proxy_of}: {fault}"));
        }
        let request = self.requests.get_mut(id)?;
        request.attempts.push(Attempt { host, at: now, over: None, state: State::Out });
        Some(request.attempts.len() - 1)
    }

    /// An attempt was answered, or its connection has ended.
    pub fn attempt_ends(&mut self, id: &str, attempt: usize, never_ran: bool) {
        let Some(a) = self.requests.get_mut(id).and_then(|r| r.attempts.get_mut(attempt)) else { return };
        a.over.get_or_insert_with(Instant::now);
        if a.state == State::Out {
            a.state = if never_ran { State::NeverRan } else { State::MayHaveRun };
        }
    }

    /// How a request ended at its client.
    pub fn ends_as(&mut self, id: &str, end: End) {
        let now = Instant::now();
        let Some(request) = self.requests.get_mut(id) else { return };
        request.ended = Some(now);
        let (sent, class, proxy, turn) = (request.sent, request.class, request.proxy, request.turn);
        let was_begun = !request.attempts.is_empty();
        let served = request.attempts.iter().any(|a| a.state != State::NeverRan);
        let own = self.own_fault(sent, now);
        let was_killed = self.requests.get(id).is_some_and(|request| self.was_killed(request));
        let due = (sent + class.patience).max(turn) + LATE + 2 * HOLD_UP + own;
        let late = now.saturating_duration_since(due);
        if late > Duration::ZERO && !was_killed {
            self.breaks(format!(
                "{id} of proxy {proxy}, {}: answered {late:?} too late: {end:?}",
                class.name
            ));
        }
        match &end {
            End::Served(value) if value != id => {
                self.breaks(format!("{id} of proxy {proxy} got {value:?}"));
            }
            End::Refused if served && class.effect != Effect::Safe => {
                self.breaks(format!("{id} of proxy {proxy}, {}: refused, and may have run", class.name));
            }
            End::Closed if was_begun && !was_killed => {
                self.breaks(format!("{id} of proxy {proxy}, {}: begun, and closed unanswered", class.name));
            }
            End::Closed if !was_killed && now > sent + CROSSING + own => {
                let before = now - sent;
                self.breaks(format!(
                    "{id} of proxy {proxy}, {}: written {before:?} before its connection ended, unanswered",
                    class.name
                ));
            }
            _ => {}
        }
        let what = match end {
            End::Served(_) => "served",
            End::Refused => "refused",
            End::Failed => "failed",
            End::Closed if was_killed => "closed by a kill",
            End::Closed => "crossed the end",
        };
        self.count(what);
    }

    /// No request is made any more, and all have had their time.
    pub fn rested(&mut self) {
        let mut faults = Vec::new();
        for (id, request) in &self.requests {
            let killed = self.was_killed(request);
            if request.ended.is_none() && !killed {
                faults.push(format!("{id} of proxy {}, {}: no answer", request.proxy, request.class.name));
            }
            let pairs = request.attempts.windows(2);
            for pair in pairs.filter(|p| p[0].over.is_none_or(|over| over > p[1].at + SECOND_LOOK)) {
                let (first, second) = (pair[0].host, pair[1].host);
                let own = self.own_fault(pair[0].at, pair[1].at);
                if pair[0].over.is_none_or(|over| over > pair[1].at + SECOND_LOOK + own) {
                    faults.push(format!("{id}: out at host {second} while host {first} has it"));
                }
            }
        }
        self.broken.append(&mut faults);
    }
}
