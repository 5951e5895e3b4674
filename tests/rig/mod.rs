//! Runs the decision module of one proxy on scripted events, for tests of its decisions.
#![allow(dead_code, reason = "each test file uses a part")]

use sillfold::*;
use std::collections::BTreeMap;

/// A millisecond on the proxy's clock.
pub const MS: Micros = 1_000;
/// The time at which each rig starts.
pub const START: Micros = 1_000_000_000;

/// A class with a latency target of 400 ms and a deadline of 2 s.
pub fn class(access: Access, idempotency: Idempotency) -> Class {
    Class {
        access,
        idempotency,
        latency_target: 400 * MS,
        deadline: 2_000 * MS,
        worth: 1.0,
        late_worth: 0.5,
        latency_target_stretch: 0.0,
    }
}

/// Settings of a deployment of two proxies. Classes: 0 any read, 1 read with a lag bound of 300 ms, 2 session read, 3 strong
/// read, 4 write that is not idempotent, 5 write with a key.
pub fn settings() -> Settings {
    Settings {
        proxy_count: 2,
        ordinal: 0,
        zone: 0,
        classes: vec![
            class(Access::AnyRead, Idempotency::Idempotent),
            class(Access::BoundedRead(300 * MS), Idempotency::Idempotent),
            class(Access::SessionRead, Idempotency::Idempotent),
            class(Access::StrongRead, Idempotency::Idempotent),
            class(Access::Write, Idempotency::NotIdempotent),
            class(Access::Write, Idempotency::Keyed(DedupScope::Group, 1_000 * MS)),
        ],
        list_mode: ListMode::Pushed,
        list_role: ListRole::Delayed,
        lag_check: LagCheck::Unchecked,
        session_tokens: SessionTokens::FromClient,
        cross_zone_costs: false,
        answers_carry_positions: true,
        limits: Limits {
            cancel: true,
            probes: true,
            peers: false,
            retry_after: true,
            max_retry_after: 1_000 * MS,
            hedging: false,
            max_attempts: 6,
        },
        safety: Safety {
            drain_grace: 2_000 * MS,
            only_draining_binds: false,
            start_capacity: 0.2,
            cold_duration: 10_000 * MS,
            overload_multiple: 3.0,
            overload_duration: 2_000 * MS,
            max_list_age: 10_000 * MS,
        },
        quotas: Vec::new(),
        over_quota_worth: 1.0,
    }
}

pub fn entry(host: HostId, state: HostStatus, primary: bool, started: Micros) -> HostEntry {
    HostEntry { host, zone: 0, machine_type: 0, group: 0, state, weight: 1.0, primary, started }
}

pub fn list(kind: ListUpdate, entries: Vec<HostEntry>) -> Event {
    Event::List { update: kind, entries: entries.into() }
}

/// A cached list of the hosts 1 (the primary by the list), 2 and 3.
pub fn three_hosts() -> Event {
    let ready = |id, primary| entry(id, HostStatus::Ready, primary, 0);
    list(ListUpdate::Cached, vec![ready(1, true), ready(2, false), ready(3, false)])
}

/// A request of session 9 to group 0, with a deadline of 2 s.
pub fn request(id: RequestId, class: u8, now: Micros) -> Event {
    Event::Request(RequestInfo {
        id,
        class,
        session: 9,
        give_up_at: now + 2_000 * MS,
        group: 0,
        token_ms: 0.0,
        ..RequestInfo::default()
    })
}

/// A request without a session, with a deadline of 100 ms.
pub fn short_request(id: RequestId, class: u8, group: GroupId, now: Micros) -> Event {
    Event::Request(RequestInfo {
        id,
        class,
        session: 0,
        give_up_at: now + 100 * MS,
        group,
        token_ms: 0.0,
        ..RequestInfo::default()
    })
}

/// The decision module of a proxy with three hosts, and the proxy's clock.
pub struct Rig {
    pub router: Router,
    pub now: Micros,
    /// The number of attempts of each request so far.
    pub attempts_sent: BTreeMap<RequestId, u8>,
    /// The hosts of all probes so far, in order.
    pub probed: Vec<HostId>,
}

impl Rig {
    pub fn new(settings: Settings) -> Rig {
        let mut rig = Rig {
            router: Router::new(settings, 11),
            now: START,
            attempts_sent: BTreeMap::new(),
            probed: Vec::new(),
        };
        rig.advance(0, &[three_hosts()]);
        rig
    }
    /// Advances the clock by `elapsed` and hands over the events; returns the actions.
    pub fn advance(&mut self, elapsed: Micros, events: &[Event]) -> Vec<Action> {
        self.now += elapsed;
        let mut actions = Vec::new();
        self.router.handle(self.now, events, &mut actions);
        for action in &actions {
            if let Action::Send { id, .. } = action {
                *self.attempts_sent.entry(*id).or_insert(0) += 1;
            }
            if let Action::Probe(host) = action {
                self.probed.push(*host);
            }
        }
        actions
    }
    /// Hands over a request of `request`.
    pub fn send_request(&mut self, id: RequestId, class: u8) -> Vec<Action> {
        let event = request(id, class, self.now);
        self.advance(0, &[event])
    }
    /// Ends the latest attempt of a request after `latency`. Its answer reports the role of the host, and a position `behind`
    /// the clock.
    pub fn end_attempt(
        &mut self, id: RequestId, host: HostId, outcome: Outcome, latency: Micros, role: Role, behind: Micros,
    ) -> Vec<Action> {
        self.now += latency;
        let note = HostReport { position: Some(self.now - behind), role: Some(role), in_flight: None };
        let answered =
            matches!(outcome, Outcome::Ok | Outcome::Unsuitable | Outcome::Overloaded | Outcome::Error);
        let event = Event::Outcome(AttemptResult {
            id,
            attempt: self.attempts_sent[&id] - 1,
            host,
            outcome,
            latency,
            finished: outcome == Outcome::Ok,
            note: if answered { note } else { HostReport::default() },
            report: HostReport::default(),
        });
        self.advance(0, &[event])
    }
    /// The same, where the answer reports nothing on its host.
    pub fn end_attempt_without_report(
        &mut self, id: RequestId, host: HostId, outcome: Outcome, latency: Micros,
    ) {
        self.now += latency;
        let attempt = self.attempts_sent[&id] - 1;
        let finished = outcome == Outcome::Ok;
        let (note, report) = Default::default();
        let event = AttemptResult { id, attempt, host, outcome, latency, finished, note, report };
        self.advance(0, &[Event::Outcome(event)]);
    }
    /// Hands over a probe of a host that reports its role and a position `behind` the clock.
    pub fn receive_probe(&mut self, host: HostId, role: Role, behind: Micros) {
        let report = HostReport { position: Some(self.now - behind), role: Some(role), in_flight: None };
        self.advance(0, &[Event::Probed { host, ok: true, report }]);
    }
}

/// The host to which these actions send an attempt of a request.
pub fn sent_to(actions: &[Action], id: RequestId) -> Option<HostId> {
    actions.iter().find_map(|action| match action {
        Action::Send { id: sent, host, .. } if *sent == id => Some(*host),
        _ => None,
    })
}

/// The role of a host: host 1 is the primary.
pub fn role_of(host: HostId) -> Role {
    if host == 1 { Role::Primary } else { Role::Replica }
}

/// Whether these actions refuse a request.
pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { id: refused, .. } if *refused == id))
}

/// Whether these actions end a request as failed.
pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}
