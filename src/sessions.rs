//! What each session has written, as far as this proxy can know: the position that a read of the session must
//! see.
//!
//! A write attempt is *in progress* from its sending to its end. At any moment in between the host may have
//! committed the write and its answer may have been lost, so the write may be committed without this proxy's
//! knowledge. Once the attempt has ended, the commit lies at the position in its answer, or at the end of the
//! attempt at the latest.

use crate::api::{AttemptResult, Micros, Outcome, SessionEvent};
use crate::mutants;
use std::collections::{BTreeMap, BTreeSet};

/// Number of sessions whose commits are kept.
const MAX_SESSIONS: usize = 50_000;
/// A reported commit position is rounded up, by a clock that may be ahead. One further ahead than this is not
/// valid; if it were accepted, it would bind every session once its own session is evicted.
const MAX_POSITION_AHEAD_US: Micros = 10_000_000;
/// A position that no replica ever reaches, so that only the primary serves the read.
pub(crate) const PRIMARY_ONLY: Micros = Micros::MAX;

/// One session's writes.
#[derive(Default)]
struct SessionWrites {
    /// The latest position at which one of them may have been committed; 0 if none is kept.
    committed: Micros,
    /// Outstanding write attempts.
    in_progress: u32,
}

/// The writes of all sessions, in bounded memory. An evicted commit raises a floor that binds every session.
#[derive(Default)]
pub(crate) struct Sessions {
    writes: BTreeMap<u64, SessionWrites>,
    /// Commits that are kept, oldest first, with their sessions.
    by_position: BTreeSet<(Micros, u64)>,
    /// Every session must see at least this position.
    floor: Micros,
    /// Another process takes writes of the same sessions.
    written_elsewhere: bool,
}

impl Sessions {
    /// Applies an event on sessions' writes that is not the start or the end of an attempt.
    pub fn apply_event(&mut self, event: SessionEvent, now: Micros) {
        match event {
            SessionEvent::Started => self.raise_floor(now),
            SessionEvent::OtherProcess(runs) => {
                self.written_elsewhere = runs;
                self.raise_floor(now);
            }
            SessionEvent::StreamBegins(session) => self.write_begins(session),
            SessionEvent::StreamEnds(session, commit) => {
                self.write_ends(session, Some(commit.unwrap_or(now)), now);
            }
        }
    }

    /// A write attempt of the session is sent.
    pub fn write_begins(&mut self, session: u64) {
        self.writes.entry(session).or_default().in_progress += 1;
    }

    /// A write attempt of the session has ended. If it may have run, it was committed at `committed` at the
    /// latest.
    pub fn write_ends(&mut self, session: u64, committed: Option<Micros>, now: Micros) {
        let Some(writes) = self.writes.get_mut(&session) else { return };
        writes.in_progress = writes.in_progress.saturating_sub(1);
        let committed =
            committed.map(|position| if position > now + MAX_POSITION_AHEAD_US { now } else { position });
        if let Some(position) = committed.filter(|&position| position > writes.committed) {
            self.by_position.remove(&(writes.committed, session));
            writes.committed = position;
            self.by_position.insert((position, session));
        }
        self.drop_if_empty(session);
        while self.by_position.len() > MAX_SESSIONS {
            self.evict_oldest();
        }
    }

    /// The position that a read of the session must see, apart from writes in progress.
    pub fn committed(&self, session: u64) -> Micros {
        self.writes.get(&session).map_or(0, |writes| writes.committed).max(self.floor)
    }

    /// Whether a write of the session may be committed at any moment: a write attempt is outstanding, here or
    /// at another process.
    pub fn is_writing(&self, session: u64) -> bool {
        let in_progress = || self.writes.get(&session).is_some_and(|writes| writes.in_progress > 0);
        (self.written_elsewhere || in_progress()) && !mutants::on("writes in progress are ignored")
    }

    /// From now on every session must see at least this position.
    fn raise_floor(&mut self, position: Micros) {
        self.floor = self.floor.max(position);
    }

    fn evict_oldest(&mut self) {
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

/// The latest position at which a write attempt may have been committed; `None` if it had no effect. An
/// attempt that ended without its answer counts as committed at its end: the answer may be on its way, or
/// unread.
pub(crate) fn committed_by(ended: &AttemptResult, now: Micros) -> Option<Micros> {
    match (ended.outcome, ended.note.position) {
        (Outcome::Ok, Some(position)) => Some(position),
        (Outcome::Ok, None) => Some(now),
        _ if mutants::on("unknown writes are forgotten") => None,
        (outcome, _) => (!outcome.never_ran()).then_some(now),
    }
}
