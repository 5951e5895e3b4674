//! The choice of a server for a request.

use super::*;

impl Router {
    /// Where to send a request now; `None` where it has to wait.
    pub(super) fn route(&mut self, r: &Request) -> Option<usize> {
        let group = self.groups.get(&r.group)?;
        let access = self.set.classes[r.class].access;
        let primary = group.primary;
        if matches!(access, Access::Write | Access::StrongRead) {
            let i = primary?;
            let open = self.sendable(i, true) && self.healthy(i);
            return (open && self.hosts[i].has_room(self.now) && self.lets_in(i, r, true)).then_some(i);
        }
        // One sample says little: a host passes for fast or slow only as far as this router has seen it so.
        let (blur, usual) = (self.blur(), (self.seen.mean, LEAN * self.blur()));
        let lowest = group.members.iter().filter_map(|&i| self.hosts[i].weighed(usual));
        let lowest = lowest.min_by(f64::total_cmp).unwrap_or(DEFAULT_LATENCY_US);
        let long = access == Access::AnyRead && self.is_long(r.class);
        let short = access == Access::AnyRead && group.short_at + SHORT_FOR > self.now && !r.plain;
        let mut rank = 0;
        // (tier, score): the lowest tier that has a member decides.
        let mut options: Vec<(u32, f64, usize, bool)> = Vec::new();
        for &i in &group.members {
            let s = &self.hosts[i];
            if !self.sendable(i, false) || !self.lets_in(i, r, false) {
                continue;
            }
            let behind = self.now.saturating_sub(self.reached(i, false));
            let latency = s.weighed(usual).unwrap_or(lowest).max(s.pending);
            let errors = s.errors(self.now, ERROR_HALF_LIFE_US);
            let mut points = score(latency, s.q, s.wait) * (1.0 + ERROR_POINTS * errors);
            points *= if self.set.cross_zone_costs && s.zone != self.set.zone { ABROAD } else { 1.0 };
            // Where each router tries each server, that is hundreds of handshakes for each, and as many
            // time-outs for one that is bad: stay with what serves, first drawn by lot.
            points *= match s.cold_share(self.now, &self.set.safety) {
                Some(_) => OWN_LOT,
                None if s.proven => 1.0,
                None => 1.0 + (UNPROVEN - 1.0) * blur,
            };
            // What any member serves leaves those inside the bound to reads that need one, while such wait.
            let mut tier = u32::from(short && (primary == Some(i) || behind <= self.tightest));
            if primary == Some(i) {
                points *= if long { GATHER.powi(4) } else { PRIMARY_HANDICAP };
            } else if long {
                // It may hold up the log. It gathers where data is old already, and at every router on the
                // same replica by id, so that the others stay current.
                points *= GATHER.powi(rank.min(3)) / (behind.max(TICK) as f64).powi(2);
                rank += 1;
            } else if !self.current_enough(i, r) {
                // Where replicas check, the most advanced first; elsewhere the data would be stale.
                if !self.checked(r) {
                    continue;
                }
                points = behind as f64;
                tier = 2;
            }
            tier += if self.healthy(i) { 0 } else { 3 };
            tier += if r.attempts.iter().any(|a| a.host == i) { 6 } else { 0 };
            options.push((tier, points, i, self.hosts[i].has_room(self.now)));
        }
        let tier = options.iter().map(|o| o.0).min()?;
        // A full tier is waited for: the next one would only turn the read away.
        options.retain(|o| o.0 == tier && o.3);
        let best = options.iter().map(|o| o.1).min_by(f64::total_cmp)?;
        options.retain(|o| o.1 <= best * NEAR);
        let n = self.rng.rand_range(0..options.len() as u64) as usize;
        Some(options[n].2)
    }

    /// Whether a class is long beside the others: by its work, before any was seen by its aim.
    pub(super) fn is_long(&self, class: usize) -> bool {
        let (c, latency_target) = (&self.classes[class], self.set.classes[class].latency_target as f64);
        let least = self.set.classes.iter().map(|c| c.latency_target).min().unwrap_or(0) as f64;
        if c.mean > 0.0 { self.scale(class, 0) < LONG } else { least < latency_target * LONG / 2.0 }
    }
}
