//! Which servers there are and may be sent to: the list, drains, orders by hand, lost zones.

use super::*;

impl Router {
    /// Whether a server may be tried as any other: its zone is not lost, or it started since.
    pub(super) fn healthy(&self, i: usize) -> bool {
        let s = &self.hosts[i];
        s.healthy(self.now) && !self.seen.zones.is_lost(s.zone, s.listed_start, self.now)
    }

    /// Whether the list lets this router send to a server.
    pub(super) fn sendable(&self, i: usize, primary_work: bool) -> bool {
        let s = &self.hosts[i];
        // Until a successor is known writes may still go there, well inside the grace.
        let spared = |told: Micros| primary_work && self.now - told < self.set.safety.drain_grace / 2;
        match s.listed {
            _ if self.left_out_since(s.id).is_some_and(|since| !spared(since.min(self.now))) => false,
            HostStatus::Ready => true,
            HostStatus::Draining => spared(s.told_at),
            HostStatus::Removed => self.set.safety.only_draining_binds && !s.seen_draining,
        }
    }

    /// How many servers are listed, and how many of them get nothing, or only one attempt to see.
    pub fn host_counts(&self) -> (usize, usize) {
        count(&self.hosts, |s| self.left_out_since(s.id).is_some())
    }

    /// Since when operators leave a server out, if they do.
    pub fn left_out_since(&self, host: HostId) -> Option<Micros> {
        self.out_by_hand.get(&host).copied()
    }

    /// The rule on drains binds from the first call out until the call back; then the server is cold.
    pub(super) fn by_hand(&mut self, host: HostId, out: bool, since: Micros) {
        // Another process may have given the order by a clock that is ahead.
        let since = since.min(self.now);
        if out {
            self.out_by_hand.entry(host).or_insert(since);
            self.out.push(Action::CloseIdle(host));
            return;
        }
        let out = self.out_by_hand.remove(&host);
        let Some(s) = self.index.get(&host).map(|&i| &mut self.hosts[i]) else { return };
        s.used_again(out, since, LIMIT, self.now.saturating_sub(self.set.safety.cold_duration));
    }

    pub(super) fn list(&mut self, kind: ListUpdate, entries: &[HostEntry]) {
        if kind == ListUpdate::Failed {
            let wait = BACKOFF << self.due.ask_fails.min(DOUBLINGS);
            self.due.ask_fails += 1;
            self.due.ask = Some(self.now + wait / 2 + self.rng.rand_range(0..wait));
            return;
        }
        self.due.ask_fails = if kind == ListUpdate::Cached { self.due.ask_fails } else { 0 };
        // Servers come with new ids without end: one gone for long, and in no request, is let go.
        let (before, any) =
            (self.now.saturating_sub(self.set.safety.cold_duration), !self.set.safety.only_draining_binds);
        forget(&mut self.hosts, &mut self.index, &mut self.groups, &self.requests, any, before);
        for i in 0..self.hosts.len() {
            if kind != ListUpdate::Delta && entries.iter().all(|e| e.host != self.hosts[i].id) {
                self.listed_as(i, HostStatus::Removed);
            }
        }
        for e in entries {
            let fresh = !self.index.contains_key(&e.host);
            if fresh && e.state == HostStatus::Removed {
                continue;
            }
            if fresh {
                let joined = if self.seen.listed_once { self.now } else { 0 };
                add_host(&mut self.hosts, &mut self.index, &mut self.groups, e, (LIMIT, joined));
            }
            let i = self.index[&e.host];
            let (new, news) = (fresh && self.seen.listed_once, kind == ListUpdate::Delta);
            self.hosts[i].started_at(e.started, self.now, self.set.safety.cold_duration, new, news);
            self.listed_as(i, e.state);
            let Some(g) = self.groups.get_mut(&self.hosts[i].group) else { continue };
            if e.primary && self.set.list_role != ListRole::Absent {
                g.hint = Some(i);
                g.primary = g.primary.or(Some(i).filter(|_| !self.seen.listed_once));
            }
        }
        self.seen.listed_once = true;
    }

    pub(super) fn listed_as(&mut self, i: usize, state: HostStatus) {
        if !self.hosts[i].listed_as(state, self.now) {
            return;
        }
        // Where only draining binds, a list that empties takes no primary away: answers outrank it.
        let lost = state == HostStatus::Removed && !self.sendable(i, true);
        let Some(g) = self.groups.get_mut(&self.hosts[i].group) else { return };
        g.primary = g.primary.filter(|&p| !lost || p != i);
    }
}
