//! Counts what happens to requests and connections by its reason, and logs it with the request's id: closes, refusals,
//! retries, attempts that were not started, late answers, and broken invariants. It owns the counters. It must never decide anything,
//! nor fill the log: all but broken invariants and late answers is logged at the level `debug`.

use super::{warn_rate_limited, world};
use crate::invariants::{CloseReason, Denial, Violation};
use crate::{Micros, Outcome};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant};
use tracing::{debug, error, info};

/// How many broken invariants and late answers each are logged per second; those beyond are only counted.
const MAX_REPORTS_PER_SECOND: u32 = 10;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The decision module sees no host that can serve the request in time.
    Module,
    /// There is no list of database hosts yet.
    NoList,
    /// The stop's time was over.
    Stopping,
    /// The hosts' headroom is used up.
    Headroom,
    /// There was no connection to a host for a long statement.
    NoConnection,
    /// All slots for clients were taken.
    Full,
    /// There was no memory for a plain statement.
    Memory,
}

/// Why the id of a request was found in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum IdConflict {
    /// This process has a request with the id, or answered one a moment ago.
    SameProcess,
    /// Another process of this machine has, or did.
    OtherProcess,
    /// An open request of this process and one of another process had the id before the two knew of each other.
    BeforeSharing,
}

/// What ended the attempt before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatReason {
    Error,
    Full,
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    NotStarted,
    Miss,
}

impl RepeatReason {
    /// The reason for a retry after an attempt with this outcome; `None` after one that was served.
    pub fn of(outcome: Outcome) -> Option<RepeatReason> {
        Some(match outcome {
            Outcome::Ok => return None,
            Outcome::Error => RepeatReason::Error,
            Outcome::Overloaded => RepeatReason::Full,
            Outcome::Timeout => RepeatReason::Timeout,
            Outcome::ConnectFailed => RepeatReason::ConnectFailed,
            Outcome::Reset => RepeatReason::Reset,
            Outcome::Cancelled => RepeatReason::Cancelled,
            Outcome::NotSent => RepeatReason::NotStarted,
            Outcome::Unsuitable => RepeatReason::Miss,
        })
    }
}

/// What took most of the time of a request that was answered late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LateReason {
    /// Its bytes were not read: the core was busy.
    Unread,
    /// It was read, and waited for earlier requests of its connection.
    NotStarted,
    /// Its session had used up its turn.
    Turn,
    /// Hosts were slow, or none could take it.
    Hosts,
}

/// Where the time of a late request went, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LateTimes {
    /// From the arrival of its bytes, at the earliest, to their reading.
    pub unread: Micros,
    /// From its last byte to the start of its serving.
    pub not_started: Micros,
    /// While it was served and its session waited for its turn.
    pub turn: Micros,
    /// The rest of its serving.
    pub hosts: Micros,
}

impl LateTimes {
    /// What took most of the time.
    pub fn reason(&self) -> LateReason {
        let times = [
            (self.unread, LateReason::Unread),
            (self.not_started, LateReason::NotStarted),
            (self.turn, LateReason::Turn),
            (self.hosts, LateReason::Hosts),
        ];
        times.into_iter().max_by_key(|(time, _)| *time).map_or(LateReason::Hosts, |(_, reason)| reason)
    }
}

/// The counters, by reason.
#[derive(Default)]
pub struct Events {
    closes: RefCell<BTreeMap<CloseReason, u64>>,
    refusals: RefCell<BTreeMap<RefusalReason, u64>>,
    repeats: RefCell<BTreeMap<RepeatReason, u64>>,
    late: RefCell<BTreeMap<LateReason, u64>>,
    denials: RefCell<BTreeMap<Denial, u64>>,
    id_conflicts: RefCell<BTreeMap<IdConflict, u64>>,
    /// How often an id could not be claimed on this machine although other processes run.
    failed_id_claims: Cell<u64>,
    violations: RefCell<BTreeMap<Violation, u64>>,
    violation_reports: ReportLimit,
    late_reports: ReportLimit,
}

/// The reports of one kind in the current second.
#[derive(Default)]
struct ReportLimit {
    /// When the second began, and how many reports there were in it.
    second: Cell<(Option<Instant>, u32)>,
}

impl ReportLimit {
    /// Whether one more report may be logged; counts it.
    fn admit(&self) -> bool {
        let (since, reports) = self.second.get();
        let is_new = since.is_none_or(|since| world::since(since) > Duration::from_secs(1));
        let (since, reports) = if is_new { (Some(world::now()), 0) } else { (since, reports) };
        self.second.set((since, reports + 1));
        reports < MAX_REPORTS_PER_SECOND
    }
}

/// The counters that the operators' console shows.
#[derive(Serialize)]
pub struct EventFigures {
    closes: BTreeMap<CloseReason, u64>,
    refusals: BTreeMap<RefusalReason, u64>,
    repeats: BTreeMap<RepeatReason, u64>,
    /// Answers behind their clients' deadlines.
    late: BTreeMap<LateReason, u64>,
    denied_starts: BTreeMap<Denial, u64>,
    id_conflicts: BTreeMap<IdConflict, u64>,
    failed_id_claims: u64,
    /// Every invariant is listed from the start; each counter has to stay 0.
    invariants: BTreeMap<Violation, u64>,
}

fn count<K: Ord>(counters: &RefCell<BTreeMap<K, u64>>, key: K) {
    *counters.borrow_mut().entry(key).or_default() += 1;
}

impl Events {
    /// Counts a client's connection as closed.
    pub fn closed(&self, reason: CloseReason) {
        debug!(target: "clients", ?reason, "closed");
        count(&self.closes, reason);
    }

    /// Counts a request as refused.
    pub fn refused(&self, id: &str, reason: RefusalReason) {
        debug!(target: "requests", id, ?reason, "refused");
        count(&self.refusals, reason);
    }

    /// Counts a retry of a request after an attempt with this outcome.
    pub fn retried(&self, id: &str, outcome: Outcome) {
        let Some(reason) = RepeatReason::of(outcome) else { return };
        debug!(target: "requests", id, ?reason, "repeated");
        count(&self.repeats, reason);
    }

    /// Counts a request as answered late, `by` microseconds behind its client's deadline.
    pub fn late(&self, id: &str, by: Micros, times: LateTimes) {
        let reason = times.reason();
        count(&self.late, reason);
        if !self.late_reports.admit() {
            return;
        }
        info!(target: "requests", id, ?reason, by_us = by, unread_us = times.unread, not_started_us = times.not_started,
            turn_us = times.turn, hosts_us = times.hosts, "answered late");
    }

    /// Counts an attempt as not started.
    pub fn denied(&self, id: &str, reason: Denial) {
        debug!(target: "requests", id, ?reason, "not started");
        count(&self.denials, reason);
    }

    /// Counts a request whose id was found in use.
    pub fn id_conflict(&self, id: &str, conflict: IdConflict) {
        debug!(target: "requests", id, ?conflict, "the id is in use");
        count(&self.id_conflicts, conflict);
    }

    /// Counts and logs that an id could not be claimed on this machine.
    pub fn id_claim_failed(&self, error: &io::Error) {
        self.failed_id_claims.set(self.failed_id_claims.get() + 1);
        warn_rate_limited(|| format!("ids: an id could not be claimed on this machine: {error}"));
    }

    /// Counts and logs a broken invariant; `about` names the request or connection.
    pub fn violated(&self, what: Violation, about: &dyn Display) {
        count(&self.violations, what);
        if self.violation_reports.admit() {
            error!(target: "invariants", ?what, "broken: {about}");
        }
    }

    /// How often each invariant was broken.
    pub fn violations(&self) -> BTreeMap<Violation, u64> {
        let counted = self.violations.borrow();
        Violation::ALL.iter().map(|v| (*v, counted.get(v).copied().unwrap_or(0))).collect()
    }

    /// Whether any invariant was broken.
    pub fn is_violated(&self) -> bool {
        !self.violations.borrow().is_empty()
    }

    /// The current counters.
    pub fn figures(&self) -> EventFigures {
        EventFigures {
            closes: self.closes.borrow().clone(),
            refusals: self.refusals.borrow().clone(),
            repeats: self.repeats.borrow().clone(),
            late: self.late.borrow().clone(),
            denied_starts: self.denials.borrow().clone(),
            id_conflicts: self.id_conflicts.borrow().clone(),
            failed_id_claims: self.failed_id_claims.get(),
            invariants: self.violations(),
        }
    }
}
