//! Which servers there are and may be sent to: the list, drains, orders by hand, lost zones.

use super::*;

impl Router {
    /// Whether a server may be tried as any other: its zone is not lost, or it started since.
    pub(super) fn healthy(&self, i: usize) -> bool {
        let s = &self.servers[i];
        s.healthy(self.now) && !self.seen.zones.is_lost(s.zone, s.listed_start, self.now)
    }

    /// Whether the list lets this router send to a server.
    pub(super) fn sendable(&self, i: usize, primary_work: bool) -> bool {
        let s = &self.servers[i];
        // Until a successor is known writes may still go there, well inside the grace.
        let spared = |told: Micros| primary_work && self.now - told < self.set.safety.drain_grace / 2;
        match s.listed {
            _ if self.out_since(s.id).is_some_and(|since| !spared(since.min(self.now))) => false,
            Listed::Ready => true,
            Listed::Draining => spared(s.told_at),
            Listed::Gone => self.set.safety.only_draining_binds && !s.seen_draining,
        }
    }

    /// How many servers are listed, and how many of them get nothing, or only one attempt to see.
    pub fn hosts(&self) -> (usize, usize) {
        count(&self.servers, |s| self.out_since(s.id).is_some())
    }

    /// Since when operators leave a server out, if they do.
    pub fn out_since(&self, server: ServerId) -> Option<Micros> {
        self.out_by_hand.get(&server).copied()
    }

    /// The rule on drains binds from the first call out until the call back; then the server is cold.
    pub(super) fn by_hand(&mut self, server: ServerId, out: bool, since: Micros) {
        // Another process may have given the order by a clock that is ahead.
        let since = since.min(self.now);
        if out {
            self.out_by_hand.entry(server).or_insert(since);
            self.out.push(Action::CloseIdle(server));
            return;
        }
        let out = self.out_by_hand.remove(&server);
        let Some(s) = self.index.get(&server).map(|&i| &mut self.servers[i]) else { return };
        s.used_again(out, since, LIMIT, self.now.saturating_sub(self.set.safety.cold));
    }

    pub(super) fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            let wait = BACKOFF << self.due.ask_fails.min(DOUBLINGS);
            self.due.ask_fails += 1;
            self.due.ask = Some(self.now + wait / 2 + self.rng.rand_range(0..wait));
            return;
        }
        self.due.ask_fails = if kind == ListKind::Cached { self.due.ask_fails } else { 0 };
        // Servers come with new ids without end: one gone for long, and in no request, is let go.
        let (before, any) =
            (self.now.saturating_sub(self.set.safety.cold), !self.set.safety.only_draining_binds);
        forget(&mut self.servers, &mut self.index, &mut self.groups, &self.requests, any, before);
        for i in 0..self.servers.len() {
            if kind != ListKind::Delta && entries.iter().all(|e| e.server != self.servers[i].id) {
                self.listed_as(i, Listed::Gone);
            }
        }
        for e in entries {
            let fresh = !self.index.contains_key(&e.server);
            if fresh && e.state == Listed::Gone {
                continue;
            }
            if fresh {
                let joined = if self.seen.listed_once { self.now } else { 0 };
                add_server(&mut self.servers, &mut self.index, &mut self.groups, e, (LIMIT, joined));
            }
            let i = self.index[&e.server];
            let (new, news) = (fresh && self.seen.listed_once, kind == ListKind::Delta);
            self.servers[i].started_at(e.started, self.now, self.set.safety.cold, new, news);
            self.listed_as(i, e.state);
            let Some(g) = self.groups.get_mut(&self.servers[i].group) else { continue };
            if e.primary && self.set.list_role != ListRole::Silent {
                g.hint = Some(i);
                g.primary = g.primary.or(Some(i).filter(|_| !self.seen.listed_once));
            }
        }
        self.seen.listed_once = true;
    }

    pub(super) fn listed_as(&mut self, i: usize, state: Listed) {
        if !self.servers[i].listed_as(state, self.now) {
            return;
        }
        // Where only draining binds, a list that empties takes no primary away: answers outrank it.
        let lost = state == Listed::Gone && !self.sendable(i, true);
        let Some(g) = self.groups.get_mut(&self.servers[i].group) else { return };
        g.primary = g.primary.filter(|&p| !lost || p != i);
    }
}
