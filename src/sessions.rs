//! What each session has written, as far as this proxy can know: the position that a read of the session must see.
//!
//! A write attempt is *in progress* from its sending to its end. Its answer may have been written, and lost on the
//! way, at any moment of that, so the write may be committed without this proxy having heard of it. Once the attempt
//! has ended, the commit lies at the position its answer told, or at the moment of the end at the latest.

use crate::api::{Micros, Outcome, Returned};
use crate::mutants;
use std::collections::{BTreeMap, BTreeSet};

/// Sessions that are remembered.
const MOST_SESSIONS: usize = 50_000;
/// A commit's position is told rounded up to the millisecond, so far ahead of the clock at most.
const COMMIT_AHEAD: Micros = 1_000;
/// A position that no replica is ever known to have reached: only the primary serves such a read.
pub(crate) const PRESENT: Micros = Micros::MAX;

/// One session's writes.
#[derive(Default)]
struct SessionWrites {
    /// The latest position at which one of them may have been committed; 0 where none is remembered.
    committed: Micros,
    /// Attempts that are out.
    in_progress: u32,
}

/// The writes of all sessions, in bounded memory: what is forgotten raises a floor that binds every session.
#[derive(Default)]
pub(crate) struct Sessions {
    writes: BTreeMap<u64, SessionWrites>,
    /// Remembered commits, oldest first, with their sessions.
    by_position: BTreeSet<(Micros, u64)>,
    floor: Micros,
    /// Another process takes writes of the same sessions.
    written_elsewhere: bool,
}

impl Sessions {
    /// Whether another process takes writes of the same sessions. What one has answered up to now binds every session.
    pub fn written_elsewhere(&mut self, runs: bool, now: Micros) {
        self.written_elsewhere = runs;
        self.raise_floor(now);
    }

    /// A write attempt of the session is sent.
    pub fn begins(&mut self, session: u64) {
        self.writes.entry(session).or_default().in_progress += 1;
    }

    /// A write attempt of the session has ended.
    pub fn ends(&mut self, session: u64, ended: &Returned, now: Micros) {
        let Some(writes) = self.writes.get_mut(&session) else { return };
        writes.in_progress = writes.in_progress.saturating_sub(1);
        if let Some(position) = committed_by(ended, now).filter(|&position| position > writes.committed) {
            self.by_position.remove(&(writes.committed, session));
            writes.committed = position;
            self.by_position.insert((position, session));
        }
        self.drop_if_empty(session);
        while self.by_position.len() > MOST_SESSIONS {
            self.forget_oldest();
        }
    }

    /// Position that a read of the session must see, writes in progress aside.
    pub fn committed(&self, session: u64) -> Micros {
        self.writes.get(&session).map_or(0, |writes| writes.committed).max(self.floor)
    }

    /// Whether a write of the session may be committed at any moment: an attempt is out, here or at another process.
    pub fn is_writing(&self, session: u64) -> bool {
        let in_progress = || self.writes.get(&session).is_some_and(|writes| writes.in_progress > 0);
        (self.written_elsewhere || in_progress()) && !mutants::on("writes in progress are ignored")
    }

    /// From now on every session must see at least this position.
    fn raise_floor(&mut self, position: Micros) {
        self.floor = self.floor.max(position);
    }

    fn forget_oldest(&mut self) {
        let Some((position, session)) = self.by_position.pop_first() else { return };
        self.raise_floor(position);
        if let Some(writes) = self.writes.get_mut(&session) {
            writes.committed = 0;
        }
        self.drop_if_empty(session);
    }

    fn drop_if_empty(&mut self, session: u64) {
        if self.writes.get(&session).is_some_and(|writes| writes.committed == 0 && writes.in_progress == 0) {
            self.writes.remove(&session);
        }
    }
}

/// Where a write attempt may have run, the position that it was committed at, at the latest. What ended without its
/// answer counts as committed at its end: the answer may be on its way, or unread.
fn committed_by(ended: &Returned, now: Micros) -> Option<Micros> {
    match (ended.outcome, ended.note.position) {
        (Outcome::Ok, Some(position)) => Some(position.min(now + COMMIT_AHEAD)),
        (Outcome::Ok, None) => Some(now),
        _ if mutants::on("unknown writes are forgotten") => None,
        (outcome, _) => (!outcome.never_ran()).then_some(now),
    }
}
