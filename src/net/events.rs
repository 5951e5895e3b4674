//! Counts what happens to requests and connections by its reason, and logs it with the request's id: closes, refusals,
//! retries, attempts that were not started, and broken invariants. It owns the counters. It must never decide anything,
//! nor fill the log: everything but broken invariants is logged at the level `debug`.

use super::world;
use crate::Outcome;
use crate::invariants::{CloseReason, Denial, Violation};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::{Duration, Instant};
use tracing::{debug, error};

/// How many broken invariants are logged per second; those beyond are only counted.
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

/// The counters, by reason.
#[derive(Default)]
pub struct Events {
    closes: RefCell<BTreeMap<CloseReason, u64>>,
    refusals: RefCell<BTreeMap<RefusalReason, u64>>,
    repeats: RefCell<BTreeMap<RepeatReason, u64>>,
    denials: RefCell<BTreeMap<Denial, u64>>,
    violations: RefCell<BTreeMap<Violation, u64>>,
    /// When the current second of reports of broken invariants began, and how many there were in it.
    reports: Cell<(Option<Instant>, u32)>,
}

/// The counters that the operators' console shows.
#[derive(Serialize)]
pub struct EventFigures {
    closes: BTreeMap<CloseReason, u64>,
    refusals: BTreeMap<RefusalReason, u64>,
    repeats: BTreeMap<RepeatReason, u64>,
    denied_starts: BTreeMap<Denial, u64>,
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

    /// Counts an attempt as not started.
    pub fn denied(&self, id: &str, reason: Denial) {
        debug!(target: "requests", id, ?reason, "not started");
        count(&self.denials, reason);
    }

    /// Counts and logs a broken invariant; `about` names the request or connection.
    pub fn violated(&self, what: Violation, about: &dyn Display) {
        count(&self.violations, what);
        let (since, reports) = self.reports.get();
        let new_second = since.is_none_or(|since| world::since(since) > Duration::from_secs(1));
        let (since, reports) = if new_second { (Some(world::now()), 0) } else { (since, reports) };
        if reports < MAX_REPORTS_PER_SECOND {
            error!(target: "invariants", ?what, "broken: {about}");
        }
        self.reports.set((since, reports + 1));
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
            denied_starts: self.denials.borrow().clone(),
            invariants: self.violations(),
        }
    }
}
