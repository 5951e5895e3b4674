//! The position that a session's reads must have reached to see the session's own writes. Pure: the caller passes
//! the time and reports each write's outcome. The position must never move back, and a write whose position is
//! unknown must still raise it.

use std::fmt;

/// A time on the decision module's clock, in microseconds.
pub type Micros = u64;

/// The position of the latest commit that the session's writes may have made.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnWrites {
    required_position: Option<Micros>,
}

impl fmt::Debug for OwnWrites {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "after {:?}", self.required_position)
    }
}

impl OwnWrites {
    /// Records a write that was answered at `now`. `commit` is its position if the answer reports one. Without
    /// it, `now` is used: the commit preceded the answer, so a host that has reached `now` has the write.
    pub fn record_answered(&mut self, commit: Option<Micros>, now: Micros) {
        // A position ahead of the clock is invalid.
        let position = commit.filter(|&c| c <= now).unwrap_or(now);
        self.required_position = self.required_position.max(Some(position));
    }

    /// Records a write that ended at `now` without an answer that tells whether it ran. If it ran, its commit is
    /// assumed to be no later than `now`.
    pub fn record_unknown(&mut self, now: Micros) {
        self.required_position = self.required_position.max(Some(now));
    }

    /// The position that a host must have reached to serve the session's bounded reads, if the session has written.
    pub fn required_position(&self) -> Option<Micros> {
        self.required_position
    }
}
