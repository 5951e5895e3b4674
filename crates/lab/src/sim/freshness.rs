//! Determines which commits a read must reflect. [`Freshness`] keeps the commits that hosts have reported to each proxy
//! process, and which hosts have been primary. A report counts as known even if it was lost on its way. The module must
//! not read a proxy's state or a clock.

use super::world::{Machine, Micros};
use std::collections::BTreeMap;

/// A process counts as having received an answer this long after the host wrote it, whether or not the answer arrived.
pub const KNOWN_AFTER_US: Micros = 100_000;

/// A commit, and when a host wrote the answer that reports it.
#[derive(Clone, Copy, Debug)]
struct Commit {
    written: Micros,
    position: Micros,
}

/// The commits reported to each process, by session, and the reports of former primaries.
#[derive(Default)]
pub struct Freshness {
    /// By process and session, the reported commits in order of their answers.
    commits: BTreeMap<(Machine, String), Vec<Commit>>,
    /// By host that has been primary, when it last stopped being primary.
    demoted: BTreeMap<usize, Micros>,
    /// By process and host, when the host first reported to the process that it is a replica, since its last demotion.
    replica_reports: BTreeMap<(Machine, usize), Micros>,
}

impl Freshness {
    /// Records that a host is no longer the primary of its group.
    pub fn primary_demoted(&mut self, now: Micros, host: usize) {
        self.demoted.insert(host, now);
        self.replica_reports.retain(|key, _| key.1 != host);
    }

    /// Records that a host writes the answer to a write of this session, which it committed at this position.
    pub fn commit_reported(&mut self, now: Micros, process: Machine, session: &str, position: Micros) {
        let commits = self.commits.entry((process, session.to_string())).or_default();
        commits.push(Commit { written: now, position });
    }

    /// Records that a host reports to a process that the host is a replica.
    pub fn replica_reported(&mut self, now: Micros, process: Machine, host: usize) {
        self.replica_reports.entry((process, host)).or_insert(now);
    }

    /// The position that the data must have reached for a session's read that this process sends at this time; 0 if no
    /// commit of the session is known to the process.
    pub fn required_position(&self, process: Machine, session: &str, sent: Micros) -> Micros {
        let commits = self.commits.get(&(process, session.to_string()));
        let known = commits.into_iter().flatten().filter(|commit| commit.written + KNOWN_AFTER_US <= sent);
        known.map(|commit| commit.position).max().unwrap_or(0)
    }

    /// Whether a process that sends a read to this host at this time may still believe that the host is the primary,
    /// although it no longer is.
    pub fn may_target_former_primary(&self, process: Machine, host: usize, sent: Micros) -> bool {
        let reported_at = self.replica_reports.get(&(process, host));
        self.demoted.contains_key(&host) && reported_at.is_none_or(|at| at + KNOWN_AFTER_US > sent)
    }
}
