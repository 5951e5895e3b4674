//! The decision module of one router among scripted events, for tests of its decisions.
#![allow(dead_code, reason = "each file of tests uses its part")]

use sillfold::*;
use std::collections::BTreeMap;

/// A millisecond on the router's clock.
pub const MS: Micros = 1_000;
/// When each rig begins.
pub const T0: Micros = 1_000_000_000;

pub fn class(need: Need, effect: Effect) -> Class {
    Class { need, effect, aim: 400 * MS, deadline: 2_000 * MS, worth: 1.0, late_worth: 0.5, aim_stretch: 0.0 }
}

/// Classes: 0 any, 1 bounded 300 ms, 2 session, 3 fresh, 4 unsafe write, 5 keyed write.
pub fn settings() -> Settings {
    Settings {
        routers: 2,
        ordinal: 0,
        zone: 0,
        classes: vec![
            class(Need::Any, Effect::Safe),
            class(Need::Bounded(300 * MS), Effect::Safe),
            class(Need::Session, Effect::Safe),
            class(Need::Fresh, Effect::Safe),
            class(Need::Write, Effect::Unsafe),
            class(Need::Write, Effect::Keyed(DedupScope::Group, 1_000 * MS)),
        ],
        list_mode: ListMode::Pushed,
        list_role: ListRole::Late,
        lag_check: LagCheck::Unchecked,
        tokens: Tokens::Carried,
        crossings_cost: false,
        positions: true,
        limits: Limits {
            cancel: true,
            probes: true,
            peers: false,
            retry_after: true,
            max_retry_after: 1_000 * MS,
            second_copies: false,
            max_attempts: 6,
        },
        safety: Safety {
            drain_grace: 2_000 * MS,
            only_draining_binds: false,
            start_capacity: 0.2,
            cold: 10_000 * MS,
            tip_multiple: 3.0,
            overload_for: 2_000 * MS,
            ask_within: 10_000 * MS,
        },
        quotas: Vec::new(),
        over_quota_worth: 1.0,
    }
}

pub fn entry(server: ServerId, state: Listed, primary: bool, started: Micros) -> Entry {
    Entry { server, zone: 0, kind: 0, group: 0, state, weight: 1.0, primary, started }
}

pub fn list(kind: ListKind, entries: Vec<Entry>) -> Event {
    Event::List { kind, entries: entries.into() }
}

/// Servers 1 (primary, by the list's hint), 2 and 3.
pub fn three() -> Event {
    let ready = |id, primary| entry(id, Listed::Ready, primary, 0);
    list(ListKind::Cached, vec![ready(1, true), ready(2, false), ready(3, false)])
}

pub fn request(id: RequestId, class: u8, now: Micros) -> Event {
    Event::Request(Arrival {
        id,
        class,
        session: 9,
        give_up_at: now + 2_000 * MS,
        group: 0,
        token_ms: 0.0,
        ..Arrival::default()
    })
}

/// A request of no session that its client gives up after 100 ms.
pub fn brief(id: RequestId, class: u8, group: GroupId, now: Micros) -> Event {
    Event::Request(Arrival {
        id,
        class,
        session: 0,
        give_up_at: now + 100 * MS,
        group,
        token_ms: 0.0,
        ..Arrival::default()
    })
}

/// A router of three servers among scripted events, and its clock.
pub struct Rig {
    pub router: Router,
    pub now: Micros,
    pub sent: BTreeMap<RequestId, u8>,
    pub probed: Vec<ServerId>,
}

impl Rig {
    pub fn new(settings: Settings) -> Rig {
        let mut rig =
            Rig { router: Router::new(settings, 11), now: T0, sent: BTreeMap::new(), probed: Vec::new() };
        rig.at(0, &[three()]);
        rig
    }
    /// Advances the clock and hands in events.
    pub fn at(&mut self, later: Micros, events: &[Event]) -> Vec<Action> {
        self.now += later;
        let mut out = Vec::new();
        self.router.handle(self.now, events, &mut out);
        for a in &out {
            if let Action::Send { id, .. } = a {
                *self.sent.entry(*id).or_insert(0) += 1;
            }
            if let Action::Probe(server) = a {
                self.probed.push(*server);
            }
        }
        out
    }
    pub fn ask(&mut self, id: RequestId, class: u8) -> Vec<Action> {
        let event = request(id, class, self.now);
        self.at(0, &[event])
    }
    /// The last attempt of a request ends after `latency` with a position `behind` the clock.
    pub fn end(
        &mut self, id: RequestId, server: ServerId, outcome: Outcome, latency: Micros, role: Role,
        behind: Micros,
    ) -> Vec<Action> {
        self.now += latency;
        let note = Report { position: Some(self.now - behind), role: Some(role), in_flight: None };
        let answered = matches!(outcome, Outcome::Ok | Outcome::Miss | Outcome::Full | Outcome::Error);
        let event = Event::Outcome(Returned {
            id,
            attempt: self.sent[&id] - 1,
            server,
            outcome,
            latency,
            finished: outcome == Outcome::Ok,
            note: if answered { note } else { Report::default() },
            report: Report::default(),
        });
        self.at(0, &[event])
    }
    /// The same, where answers tell nothing of their server.
    pub fn end_untold(&mut self, id: RequestId, server: ServerId, outcome: Outcome, latency: Micros) {
        self.now += latency;
        let (attempt, finished) = (self.sent[&id] - 1, outcome == Outcome::Ok);
        let (note, report) = Default::default();
        let event = Returned { id, attempt, server, outcome, latency, finished, note, report };
        self.at(0, &[Event::Outcome(event)]);
    }
    pub fn heard(&mut self, server: ServerId, role: Role, behind: Micros) {
        let report = Report { position: Some(self.now - behind), role: Some(role), in_flight: None };
        self.at(0, &[Event::Probed { server, ok: true, report }]);
    }
}

pub fn target(actions: &[Action], id: RequestId) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { id: i, server, .. } if *i == id => Some(*server),
        _ => None,
    })
}

/// In these scenarios server 1 is primary.
pub fn role_of(server: ServerId) -> Role {
    if server == 1 { Role::Primary } else { Role::Replica }
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: i, .. } if *i == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}
