//! What time alone brings about: ages, percentiles, probes, news to the other routers.

use super::*;

impl Router {
    pub(super) fn tick(&mut self) {
        if self.now >= self.due.period {
            self.due.period = self.now + PERIOD;
            self.probe();
            self.tell();
            self.hosts.iter_mut().for_each(|s| s.clamp(self.now, LIST_AGE, TAIL_RATIO, OLD, self.seen.mean));
            self.classes.iter_mut().for_each(|c| c.take_median(8));
        }
        // The age of what is out counts in the score before a sample does: a standstill shows at once.
        let scales: Vec<f64> = (0..self.classes.len()).map(|c| self.scale(c, 0)).collect();
        age(&mut self.hosts, &self.requests, &scales, self.now, Q_OLD);
        let ids: Vec<GroupId> = self.groups.iter().filter(|g| !g.1.held.is_empty()).map(|g| *g.0).collect();
        for id in ids {
            self.release(id);
            self.scout(id);
        }
        if self.due.ask.is_some_and(|t| self.now >= t) {
            self.due.ask = None;
            self.out.push(Action::Subscribe);
        }
    }

    /// Each unheard server once; one whose position is too old for the tightest bound now and then.
    pub(super) fn probe(&mut self) {
        if !self.set.limits.probes || self.budgets.probes < 1.0 {
            return;
        }
        let (tightest, plain) = (self.tightest, self.now < self.seen.plain_until);
        let due = |i: &usize| {
            let s = &self.hosts[*i];
            let unheard = s.position.is_none() || s.unheard;
            let lost = self.seen.zones.has_lost(s.zone);
            let behind = lost || unheard || self.reached(*i, plain).saturating_add(tightest) < self.now;
            let due = s.probed_at.is_none_or(|t| t + PROBE_GAP <= self.now && tightest < Micros::MAX);
            // Where answers tell positions, one that answers, or is still cold, need not be asked.
            let quiet = s.in_flight == 0 && s.last_answer + PROBE_GAP <= self.now;
            let fit = plain
                || self.blind()
                || (quiet && self.hosts[*i].cold_share(self.now, &self.set.safety).is_none());
            s.listed == HostStatus::Ready && self.left_out_since(s.id).is_none() && behind && due && fit
        };
        let mut due: Vec<usize> = (0..self.hosts.len()).filter(due).collect();
        // Those of lost zones and those that started lately first, then longest unasked; each router begins
        // elsewhere.
        let from = |i: usize| (i + self.set.ordinal as usize) % self.hosts.len();
        let soon = |s: &HostState| s.unheard || self.seen.zones.has_lost(s.zone);
        due.sort_by_key(|&i| (!soon(&self.hosts[i]), self.hosts[i].probed_at, from(i)));
        for i in due.into_iter().take(self.budgets.probes as usize) {
            let s = &mut self.hosts[i];
            s.probed_at = Some(self.now);
            self.budgets.probes -= 1.0;
            self.out.push(Action::Probe(s.id));
        }
    }

    /// News for the peers, a few at once, as far as own requests pay; a message's head takes two places.
    pub(super) fn tell(&mut self) {
        let peers = f64::from(self.set.proxy_count.max(1) - 1);
        let room = ((self.budgets.peer_bytes / peers) as usize).min(256) / LINE;
        if room < 6 || peers == 0.0 || !self.set.limits.peers {
            return;
        }
        let news = news(&mut self.hosts, &self.groups, &mut self.shares, self.now, room - 2);
        self.budgets.peer_bytes -= (news.len() * LINE) as f64 * peers;
        self.out.extend((!news.is_empty()).then_some(Action::Broadcast(news)));
    }
}
