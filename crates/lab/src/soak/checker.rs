//! Checks the rules of a run. Clients, hosts and agents report what they do and receive; the checker keeps that history and
//! the violations. The bounds are those that the proxy promises, plus what a delay of this process itself adds to its
//! observations.

use crate::flood::is_flood_id;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Longest delay of a process between reading its clock and a write; the injected faults cause such delays in every process.
const MAX_PROCESS_DELAY: Duration = Duration::from_millis(150);
/// Longest time that a message takes between two processes of this machine.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(30);
/// A new attempt may reach a host for this long after its proxy was notified that the host drains.
const DRAIN_GRACE: Duration = Duration::from_millis(500);
/// An attempt may start for this long after its client disconnected.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// The time that a host is given may exceed the time that is left to the client by this much.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A request is answered within this time after its deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// A request may stay unanswered if its client wrote it this shortly before the connection ended: the two crossed.
const CLOSE_CROSSING_TIME: Duration = Duration::from_millis(100);
/// Two attempts of a request count as outstanding at once if the first has not ended this long after the start of the second.
const OVERLAP_GRACE: Duration = Duration::from_millis(60);

/// The effect of running a request a second time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// None.
    Idempotent,
    /// None within this time: the second run is recognised by the request's key.
    Keyed(Duration),
    /// Harm: the request must not run twice.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// The name in the settings.
    pub name: &'static str,
    pub idempotency: Idempotency,
    pub is_write: bool,
    /// The client deadline, counted from sending the request.
    pub deadline: Duration,
}

/// The classes of a run, in the order of the settings. In one run of three a class has a deadline longer than 3 s, the
/// least time that a stopping proxy has.
pub fn classes(seed: u64) -> [Class; 4] {
    let mut classes = CLASSES;
    if seed.is_multiple_of(3) {
        classes[1].deadline = Duration::from_secs(5);
    }
    classes
}

const CLASSES: [Class; 4] = [
    Class {
        name: "browse",
        idempotency: Idempotency::Idempotent,
        is_write: false,
        deadline: Duration::from_millis(700),
    },
    Class {
        name: "history",
        idempotency: Idempotency::Idempotent,
        is_write: false,
        deadline: Duration::from_millis(1_200),
    },
    Class {
        name: "ingest",
        idempotency: Idempotency::Keyed(Duration::from_millis(900)),
        is_write: true,
        deadline: Duration::from_millis(1_500),
    },
    Class {
        name: "post",
        idempotency: Idempotency::NotIdempotent,
        is_write: true,
        deadline: Duration::from_millis(1_000),
    },
];

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEnd {
    /// With an answer of this value.
    Served(String),
    /// With an error that says that the request was refused.
    Refused,
    /// With another error, or an answer without a row.
    Failed,
    /// With the end of the connection, without an answer.
    Closed,
}

/// The state of an attempt at its host.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    Outstanding,
    MayHaveRun,
    NeverRan,
}

/// An attempt of a request, from the arrival of its statement at a host.
struct Attempt {
    host: usize,
    started: Instant,
    /// When the attempt was answered or its connection ended.
    ended: Option<Instant>,
    state: AttemptState,
}

/// A request and its attempts so far.
struct Request {
    class: Class,
    proxy: usize,
    /// The port of the client's end of the connection.
    client_port: u16,
    sent: Instant,
    /// When the client disconnected without waiting for the answer.
    disconnected: Option<Instant>,
    /// When the previous request of the connection was answered: a proxy may answer late by the time before that.
    head_since: Instant,
    /// When the request was answered, or its client disconnected.
    ended: Option<Instant>,
    attempts: Vec<Attempt>,
}

/// Why a proxy must send no new attempts to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainSource {
    /// Discovery's list says that the host drains.
    List,
    /// An operator left the host out.
    ByHand,
}

/// The kill of a process.
struct Kill {
    proxy: usize,
    at: Instant,
    /// The ports of the clients' ends of the connections that the process held, or that waited to be accepted.
    client_ports: BTreeSet<u16>,
}

/// The history of a run, and its violations.
#[derive(Default)]
pub struct Checker {
    /// All requests by their ids.
    requests: BTreeMap<String, Request>,
    /// Since when a proxy must send no new attempts to a host: by proxy, host and reason.
    drained_since: BTreeMap<(usize, usize, DrainSource), Instant>,
    kills: Vec<Kill>,
    /// The delays of this process itself: when each was noticed, and how long it was.
    observer_delays: Vec<(Instant, Duration)>,
    /// The number of requests by how they ended.
    ends: BTreeMap<String, u64>,
    violations: Vec<String>,
}

impl Checker {
    /// Adds a violation, with the time of day in UTC before its text.
    pub fn add_violation(&mut self, text: String) {
        let ms_of_day = super::host::unix_ms() % 86_400_000;
        let hours = ms_of_day / 3_600_000;
        let minutes = ms_of_day / 60_000 % 60;
        let ms = ms_of_day % 60_000;
        let seconds = format!("{:02}.{:03}", ms / 1_000, ms % 1_000);
        self.violations.push(format!("{hours:02}:{minutes:02}:{seconds} {text}"));
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    pub fn ends(&self) -> &BTreeMap<String, u64> {
        &self.ends
    }

    fn count_end(&mut self, end: &str) {
        *self.ends.entry(end.to_string()).or_default() += 1;
    }

    /// Reports that this process itself was delayed until now. Shorter delays than 3 ms are ignored.
    pub fn record_observer_delay(&mut self, delay: Duration) {
        if delay > Duration::from_millis(3) {
            self.observer_delays.push((Instant::now(), delay));
        }
    }

    /// How much later this process may have noticed something between these moments: twice its longest delay around them.
    fn observer_delay(&self, from: Instant, to: Instant) -> Duration {
        let margin = Duration::from_millis(500);
        let near = |(at, _): &&(Instant, Duration)| *at + margin >= from && *at <= to + margin;
        let longest = self.observer_delays.iter().filter(near).map(|delay| delay.1).max();
        longest.unwrap_or_default() * 2
    }

    /// Reports that a client has sent a request to a proxy, from this port.
    pub fn request_sent(&mut self, id: &str, class: Class, proxy: usize, client_port: u16) {
        let sent = Instant::now();
        let (disconnected, ended, attempts) = Default::default();
        let request =
            Request { class, proxy, client_port, sent, disconnected, head_since: sent, ended, attempts };
        self.requests.insert(id.to_string(), request);
    }

    /// Reports that a client has written the last byte of a request, with which its time begins.
    pub fn request_written(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            let now = Instant::now();
            (request.sent, request.head_since) = (now, now);
        }
    }

    /// Reports that all requests before this one on its connection are answered.
    pub fn request_reached_head(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.head_since = Instant::now();
        }
    }

    /// Reports that a client has closed the connection of an open request.
    pub fn client_disconnected(&mut self, id: &str) {
        self.count_end("left");
        if let Some(request) = self.requests.get_mut(id) {
            let now = Instant::now();
            (request.disconnected, request.ended) = (Some(now), Some(now));
        }
    }

    /// Reports that a proxy was notified to send no new attempts to a host.
    pub fn drain_reported(&mut self, proxy: usize, host: usize, source: DrainSource) {
        self.drained_since.entry((proxy, host, source)).or_insert_with(Instant::now);
    }

    /// Reports that a proxy may send new attempts to a host again.
    pub fn drain_ended(&mut self, proxy: usize, host: usize, source: DrainSource) {
        self.drained_since.remove(&(proxy, host, source));
    }

    /// Reports that a process of a proxy starts. The proxy counts as notified now of all that its agent and its folder hold.
    pub fn process_started(&mut self, proxy: usize) {
        let of_proxy = self.drained_since.iter_mut().filter(|((p, ..), _)| *p == proxy);
        of_proxy.for_each(|(_, since)| *since = Instant::now());
    }

    /// Reports that a process of a proxy is killed, which holds connections from these ports.
    pub fn process_killed(&mut self, proxy: usize, client_ports: BTreeSet<u16>) {
        self.kills.push(Kill { proxy, at: Instant::now(), client_ports });
    }

    /// Whether the process to which a request was sent was killed since.
    fn was_process_killed(&self, request: &Request) -> bool {
        let mut kills = self.kills.iter().filter(|kill| kill.proxy == request.proxy);
        kills.any(|kill| kill.at >= request.sent && kill.client_ports.contains(&request.client_port))
    }

    /// Reports that a host has received a complete statement, with `time_left` in its comment. Checks that the attempt was
    /// allowed, and returns its number; nothing for an unknown request.
    pub fn statement_received(
        &mut self, proxy: usize, host: usize, id: &str, time_left: Duration,
    ) -> Option<usize> {
        let now = Instant::now();
        let observer_delay =
            self.requests.get(id).map_or(Duration::ZERO, |request| self.observer_delay(request.sent, now));
        if is_flood_id(id) {
            return None;
        }
        let Some(request) = self.requests.get(id) else {
            self.add_violation(format!("host {host} has {id}, which nobody asked"));
            return None;
        };
        let mut faults = Vec::new();
        for source in [DrainSource::List, DrainSource::ByHand] {
            let Some(since) = self.drained_since.get(&(proxy, host, source)) else { continue };
            let delay =
                now.saturating_duration_since(*since + DRAIN_GRACE + MAX_TRANSIT_TIME + observer_delay);
            if delay > Duration::ZERO {
                faults
                    .push(format!("sent to host {host} {delay:?} behind the grace of a drain ({source:?})"));
            }
        }
        if let Some(disconnected) = request.disconnected.filter(|disconnected| {
            now > *disconnected + DISCONNECT_GRACE + MAX_PROCESS_DELAY + MAX_TRANSIT_TIME + observer_delay
        }) {
            faults.push(format!("sent to host {host} {:?} after its client left", now - disconnected));
        }
        let client_deadline = request.sent + request.class.deadline;
        let client_time_left = client_deadline.saturating_duration_since(now);
        if time_left
            > client_time_left + DEADLINE_SLACK + MAX_PROCESS_DELAY + MAX_TRANSIT_TIME + observer_delay
        {
            faults.push(format!("told host {host} {time_left:?}, its client has {client_time_left:?}"));
        }
        if let Some(earlier) = request.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan)
        {
            let elapsed = now.saturating_duration_since(earlier.started);
            match request.class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    faults.push(format!("again at host {host}, {elapsed:?} after {}", earlier.host))
                }
                Idempotency::Keyed(window) if elapsed > window + MAX_TRANSIT_TIME + observer_delay => {
                    faults.push(format!(
                        "again at host {host} after {elapsed:?}, its key is kept for {window:?}"
                    ));
                }
                Idempotency::Keyed(_) => {}
            }
        }
        let request_proxy = request.proxy;
        for fault in faults {
            self.add_violation(format!("{id} of proxy {request_proxy}: {fault}"));
        }
        let request = self.requests.get_mut(id)?;
        request.attempts.push(Attempt { host, started: now, ended: None, state: AttemptState::Outstanding });
        Some(request.attempts.len() - 1)
    }

    /// Reports that an attempt was answered, or that its connection has ended.
    pub fn attempt_ended(&mut self, id: &str, attempt: usize, never_ran: bool) {
        let Some(attempt) = self.requests.get_mut(id).and_then(|request| request.attempts.get_mut(attempt))
        else {
            return;
        };
        attempt.ended.get_or_insert_with(Instant::now);
        if attempt.state == AttemptState::Outstanding {
            attempt.state = if never_ran { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        }
    }

    /// Reports how a request ended for its client, and checks the answer and its time.
    pub fn request_ended(&mut self, id: &str, end: RequestEnd) {
        let now = Instant::now();
        let Some(request) = self.requests.get_mut(id) else { return };
        request.ended = Some(now);
        let (sent, class, proxy, head_since) =
            (request.sent, request.class, request.proxy, request.head_since);
        let has_attempts = !request.attempts.is_empty();
        let may_have_run = request.attempts.iter().any(|attempt| attempt.state != AttemptState::NeverRan);
        let observer_delay = self.observer_delay(sent, now);
        let was_process_killed =
            self.requests.get(id).is_some_and(|request| self.was_process_killed(request));
        let due =
            (sent + class.deadline).max(head_since) + ANSWER_GRACE + 2 * MAX_PROCESS_DELAY + observer_delay;
        let delay = now.saturating_duration_since(due);
        if delay > Duration::ZERO && !was_process_killed {
            self.add_violation(format!(
                "{id} of proxy {proxy}, {}: answered {delay:?} too late: {end:?}",
                class.name
            ));
        }
        match &end {
            RequestEnd::Served(value) if value != id => {
                self.add_violation(format!("{id} of proxy {proxy} got {value:?}"));
            }
            RequestEnd::Refused if may_have_run && class.idempotency != Idempotency::Idempotent => {
                self.add_violation(format!(
                    "{id} of proxy {proxy}, {}: refused, and may have run",
                    class.name
                ));
            }
            RequestEnd::Closed if has_attempts && !was_process_killed => {
                self.add_violation(format!(
                    "{id} of proxy {proxy}, {}: begun, and closed unanswered",
                    class.name
                ));
            }
            RequestEnd::Closed
                if !was_process_killed && now > sent + CLOSE_CROSSING_TIME + observer_delay =>
            {
                let age = now - sent;
                self.add_violation(format!(
                    "{id} of proxy {proxy}, {}: written {age:?} before its connection ended, unanswered",
                    class.name
                ));
            }
            _ => {}
        }
        let name = match end {
            RequestEnd::Served(_) => "served",
            RequestEnd::Refused => "refused",
            RequestEnd::Failed => "failed",
            RequestEnd::Closed if was_process_killed => "closed by a kill",
            RequestEnd::Closed => "crossed the end",
        };
        self.count_end(name);
    }

    /// Checks at the end of the run that every request was answered, and that no two attempts of one were outstanding at once.
    pub fn check_end_of_run(&mut self) {
        let mut violations = Vec::new();
        for (id, request) in &self.requests {
            let was_killed = self.was_process_killed(request);
            if request.ended.is_none() && !was_killed {
                violations
                    .push(format!("{id} of proxy {}, {}: no answer", request.proxy, request.class.name));
            }
            let pairs = request.attempts.windows(2);
            for pair in pairs.filter(|p| p[0].ended.is_none_or(|ended| ended > p[1].started + OVERLAP_GRACE))
            {
                let (first, second) = (pair[0].host, pair[1].host);
                let observer_delay = self.observer_delay(pair[0].started, pair[1].started);
                if pair[0].ended.is_none_or(|ended| ended > pair[1].started + OVERLAP_GRACE + observer_delay)
                {
                    violations.push(format!("{id}: out at host {second} while host {first} has it"));
                }
            }
        }
        self.violations.append(&mut violations);
    }
}
