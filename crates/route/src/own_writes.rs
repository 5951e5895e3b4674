//! A session's own writes: from which position on its reads must see the data. It owns that position. It must
//! never let it fall, and never take a write for not seen where its position is unknown.

use std::fmt;

/// A time on the module's clock, in microseconds.
pub type Micros = u64;

/// The last commit that a session may know of.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnWrites {
    after: Option<Micros>,
}

impl fmt::Debug for OwnWrites {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "after {:?}", self.after)
    }
}

impl OwnWrites {
    /// A write was answered at this time; `commit` is its position, where the answer tells one. Otherwise it was
    /// before the answer, so whoever has reached that time has it.
    pub fn record_answered(&mut self, commit: Option<Micros>, now: Micros) {
        // A position ahead of the clock is no position.
        let at = commit.filter(|&c| c <= now).unwrap_or(now);
        self.after = self.after.max(Some(at));
    }

    /// A write ended with no answer that tells whether it ran: if it did, then by now, as far as this side knows.
    pub fn record_unknown(&mut self, now: Micros) {
        self.after = self.after.max(Some(now));
    }

    /// The position that the session's bounded reads must have reached.
    pub fn required_position(&self) -> Option<Micros> {
        self.after
    }
}
