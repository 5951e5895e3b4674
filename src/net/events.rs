//! What happens to requests and connections, counted by its reason and written to the log with the request's id: closes,
//! refusals, repeats, attempts that were not started, and broken invariants. It owns the counters. It must never decide
//! anything, nor fill the log: all but broken invariants is written at the level `debug` only.

use super::world;
use crate::Outcome;
use crate::invariants::{CloseReason, Denial, Violation};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::{Duration, Instant};
use tracing::{debug, error};

/// Broken invariants that are written in a second; of the others only the number is.
const MOST_REPORTS: u32 = 10;

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The decision module sees no host that can serve it in time.
    Module,
    /// No list of database hosts is there yet.
    NoList,
    /// The time of the stop was over.
    Stopping,
    /// The hosts' headroom is used up.
    Headroom,
    /// A long statement found no connection to a host.
    NoConnection,
    /// All places for clients were taken.
    Full,
}

/// What ended the attempt before a repeat.
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
    /// The reason for another attempt behind one that ended so; none behind one that was served.
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
    /// Since when reports of broken invariants are counted, and how many there were.
    reports: Cell<(Option<Instant>, u32)>,
}

/// What operators are told.
#[derive(Serialize)]
pub struct EventFigures {
    closes: BTreeMap<CloseReason, u64>,
    refusals: BTreeMap<RefusalReason, u64>,
    repeats: BTreeMap<RepeatReason, u64>,
    denied_starts: BTreeMap<Denial, u64>,
    /// Every invariant is there from the start; each is to stay 0.
    invariants: BTreeMap<Violation, u64>,
}

fn count<K: Ord>(counters: &RefCell<BTreeMap<K, u64>>, key: K) {
    *counters.borrow_mut().entry(key).or_default() += 1;
}

impl Events {
    /// A client's connection is closed.
    pub fn closed(&self, reason: CloseReason) {
        debug!(target: "clients", ?reason, "closed");
        count(&self.closes, reason);
    }

    /// A request was refused.
    pub fn refused(&self, id: &str, reason: RefusalReason) {
        debug!(target: "requests", id, ?reason, "refused");
        count(&self.refusals, reason);
    }

    /// Another attempt at a request follows on this outcome.
    pub fn repeated(&self, id: &str, outcome: Outcome) {
        let Some(reason) = RepeatReason::of(outcome) else { return };
        debug!(target: "requests", id, ?reason, "repeated");
        count(&self.repeats, reason);
    }

    /// An attempt was not started.
    pub fn denied(&self, id: &str, reason: Denial) {
        debug!(target: "requests", id, ?reason, "not started");
        count(&self.denials, reason);
    }

    /// An invariant was broken.
    pub fn violated(&self, what: Violation, about: &dyn Display) {
        count(&self.violations, what);
        let (since, reports) = self.reports.get();
        let fresh = since.is_none_or(|since| world::since(since) > Duration::from_secs(1));
        let (since, reports) = if fresh { (Some(world::now()), 0) } else { (since, reports) };
        if reports < MOST_REPORTS {
            error!(target: "invariants", ?what, "broken: {about}");
        }
        self.reports.set((since, reports + 1));
    }

    /// How often each invariant was broken.
    pub fn violations(&self) -> BTreeMap<Violation, u64> {
        let counted = self.violations.borrow();
        Violation::ALL.iter().map(|v| (*v, counted.get(v).copied().unwrap_or(0))).collect()
    }

    /// Whether an invariant was broken at all.
    pub fn is_violated(&self) -> bool {
        !self.violations.borrow().is_empty()
    }

    /// The figures of this moment.
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
