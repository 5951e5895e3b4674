//! Overload: limits of attempts out at a server, and reads that are better refused on arrival.

use super::*;

impl Router {
    /// The share of a class's requests to a group that are better refused at once. Where one attempt of each
    /// router is too many, only fewer help: servers that jam fall behind, and what times out goes on. How bad
    /// it is shows soonest over all groups; which ones, in their part of it, where a first event counts only
    /// if groups jam alike. Where what is served is quick, what is silent is out of reach, and no jam.
    pub(super) fn jammed(&self, group: GroupId, class: usize, client_retry: bool) -> f64 {
        let (c, blur) = (&self.set.classes[class], self.blur());
        let read = c.access != Access::Write && blur > 0.0;
        let Some(g) = self.groups.get(&group).filter(|_| read) else { return 0.0 };
        // A read of any data is not turned away for its age: that counts only beside want of room.
        let bad =
            |t: Tally| t.late + if c.access == Access::AnyRead { t.missed.min(t.late) } else { t.missed };
        let (all, here) =
            (self.seen.jam.at(self.now, JAM_HALF_LIFE_US), g.jam.at(self.now, GROUP_HALF_LIFE_US));
        let groups = self.groups.values().map(|g| g.jam.at(self.now, GROUP_HALF_LIFE_US));
        let (usual, apart) = spread(groups.map(|t| (bad(t), t.of)).collect(), JAM_FEW);
        let alike = (2.0 - apart).clamp(0.0, 1.0);
        let part = (bad(here) - 1.0 + alike + GROUP_AS_ALL * alike)
            / (here.of * usual + GROUP_FEW + GROUP_AS_ALL * alike);
        let strain = ((all.slow + 1.0) / (all.served + 1.0) / JAM_SLOW).min(1.0);
        let share = bad(all) * strain / (all.of + JAM_FEW) * part;
        // A repeat of the client's own is late: worth no more than that, it makes way first.
        let (over, most) = if client_retry { (JAM_OVER * c.late_worth, 1.0) } else { (JAM_OVER, JAM_MOST) };
        ((share - over) * JAM_GAIN * blur).clamp(0.0, most)
    }

    /// The limit follows what comes back: up with answers in time, cut when too many are late, overdue or
    /// turned away. It answers overload, slow, still and cold servers alike; waiting moves to this router.
    pub(super) fn adapt(&mut self, i: usize, class: usize, outcome: Outcome, latency: Micros) {
        let (latency_target, usual) =
            (self.set.classes[class].latency_target as f64, self.classes[class].p50);
        let s = &mut self.hosts[i];
        // Where timed-out work goes on, a limit of one still sends too much: pause, the longer the lower. By
        // lot below one: a hundred routers which paused together must not come back together.
        let lot = if s.limit < 1.0 { 0.5 + self.rng.rand_float() } else { 1.0 };
        let paused = |gap: Micros, times: f64| ((gap as f64 * times * lot) as u64).min(LIST_AGE);
        let (thin, sent) = (1.0 / (s.limit * s.limit), self.now.saturating_sub(latency));
        let (late, pause) = match outcome {
            Outcome::Ok => (latency as f64 > latency_target * LATE_AT, 0),
            // What was sent later was answered soon: this one was lost, and there is room.
            Outcome::Timeout if s.soon_sent > sent && latency as f64 > usual * LOST => return,
            Outcome::Timeout => (true, paused(PERIOD, thin)),
            Outcome::Overloaded => (true, paused(FULL_GAP, thin.max(1.0))),
            _ => return,
        };
        s.soon_sent = if late { s.soon_sent } else { s.soon_sent.max(sent) };
        s.full_until = s.full_until.max(self.now + pause);
        s.late = if outcome == Outcome::Overloaded { 1.0 } else { s.late };
        s.late = averaged(s.late, f64::from(late), OLD);
        if s.late > LATE_SHARE {
            if late && self.now >= s.cut_at {
                // One attempt of each of a hundred routers is too much as well.
                let least = (FEW / f64::from(self.set.proxy_count.max(1))).min(1.0);
                s.limit = (s.limit.min(f64::from(s.in_flight) + 1.0) * CUT).max(least);
                s.cut_at = self.now + CUT_GAP;
                s.late = LATE_SHARE / 2.0;
            }
        } else if !late && f64::from(s.in_flight) + 1.0 >= s.limit / 2.0 {
            s.limit += (1.0 / s.limit).min(s.limit);
        }
    }
}
