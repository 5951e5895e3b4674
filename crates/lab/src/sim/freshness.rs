//! Which commits a read must reflect: the answers that hosts have written to each process of a proxy, and which hosts
//! have been primary. It owns what it was told of these. It is pure, and never forgives what was merely lost on its way.

use super::world::{Machine, Micros};
use std::collections::BTreeMap;

/// What was written to a process counts as known to it after this long, whether or not it arrived.
pub const KNOWN_AFTER: Micros = 100_000;

/// A commit, and when the answer that tells of it was written.
#[derive(Clone, Copy, Debug)]
struct Commit {
    written: Micros,
    position: Micros,
}

/// The commits that each process was told of, by session, and what it was told of old primaries.
#[derive(Default)]
pub struct Freshness {
    commits: BTreeMap<(Machine, String), Vec<Commit>>,
    /// Hosts that have been primary, and when each last ceased to be.
    demoted: BTreeMap<usize, Micros>,
    /// When each host first told a process, since it ceased to be primary, that it is a replica.
    replica_notes: BTreeMap<(Machine, usize), Micros>,
}

impl Freshness {
    /// A host is the primary of its group no more.
    pub fn primary_demoted(&mut self, now: Micros, host: usize) {
        self.demoted.insert(host, now);
        self.replica_notes.retain(|key, _| key.1 != host);
    }

    /// A host writes the answer to a write of this session, which it committed at this position.
    pub fn commit_reported(&mut self, now: Micros, process: Machine, session: &str, position: Micros) {
        let commits = self.commits.entry((process, session.to_string())).or_default();
        commits.push(Commit { written: now, position });
    }

    /// A host writes a note that says it is a replica.
    pub fn replica_reported(&mut self, now: Micros, process: Machine, host: usize) {
        self.replica_notes.entry((process, host)).or_insert(now);
    }

    /// The position that a session's read, sent by this process at this time, must have reached.
    pub fn required_position(&self, process: Machine, session: &str, sent: Micros) -> Micros {
        let commits = self.commits.get(&(process, session.to_string()));
        let known = commits.into_iter().flatten().filter(|c| c.written + KNOWN_AFTER <= sent);
        known.map(|c| c.position).max().unwrap_or(0)
    }

    /// Whether a read sent at this time may have been meant for a primary that the host no longer is.
    pub fn may_target_former_primary(&self, process: Machine, host: usize, sent: Micros) -> bool {
        let told = self.replica_notes.get(&(process, host));
        self.demoted.contains_key(&host) && told.is_none_or(|told| told + KNOWN_AFTER > sent)
    }
}
