//! What each session has written, as far as this proxy can know: the position that a read of the session must see.
//!
//! A write attempt is *in progress* from its sending to its end. Its answer may have been written, and lost on the
//! way, at any moment of that, so the write may be committed without this proxy having heard of it. Once the attempt
//! has ended, the commit lies at the position its answer told, or at the moment of the end at the latest.

use crate::api::{AttemptResult, Micros, Outcome, SessionEvent};
use crate::mutants;
use std::collections::{BTreeMap, BTreeSet};

/// Sessions that are remembered.
const MOST_SESSIONS: usize = 50_000;
/// A commit's position is told rounded up, by clocks that may be ahead. One that is further ahead is no position:
/// believed, it would bind every session once it is forgotten.
const MOST_AHEAD: Micros = 10_000_000;
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
    /// Takes in what sessions write beside attempts.
    pub fn hear(&mut self, news: SessionEvent, now: Micros) {
        match news {
            SessionEvent::Started => self.raise_floor(now),
            SessionEvent::OtherProcess(runs) => {
                self.written_elsewhere = runs;
                self.raise_floor(now);
            }
            SessionEvent::StreamBegins(session) => self.begins(session),
            SessionEvent::StreamEnds(session, commit) => {
                self.ends(session, Some(commit.unwrap_or(now)), now);
            }
        }
    }

    /// A write attempt of the session is sent.
    pub fn begins(&mut self, session: u64) {
        self.writes.entry(session).or_default().in_progress += 1;
    }

    /// A write attempt of the session has ended; where it may have run, it was committed at this position at the latest.
    pub fn ends(&mut self, session: u64, committed: Option<Micros>, now: Micros) {
        let Some(writes) = self.writes.get_mut(&session) else { return };
        writes.in_progress = writes.in_progress.saturating_sub(1);
        let committed = committed.map(|position| if position > now + MOST_AHEAD { now } else { position });
        if let Some(position) = committed.filter(|&position| position > writes.committed) {
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
pub(crate) fn committed_by(ended: &AttemptResult, now: Micros) -> Option<Micros> {
    match (ended.outcome, ended.note.position) {
        (Outcome::Ok, Some(position)) => Some(position),
        (Outcome::Ok, None) => Some(now),
        _ if mutants::on("unknown writes are forgotten") => None,
        (outcome, _) => (!outcome.never_ran()).then_some(now),
    }
}
