//! Slow start: what a server that has just started may get, without sight of the other routers.

use super::*;

impl Router {
    /// Slow start without sight of the other routers: each request drew a lot, and a cold server is open to
    /// the lots of its own slot, as wide as its present share of what the members can do, but not so wide
    /// that little more tips it over. All routers together send it no more; further attempts go elsewhere.
    pub(super) fn lets_in(&self, i: usize, r: &Request, primary_work: bool) -> bool {
        let Some(share) = self.hosts[i].cold_share(self.now, &self.set.safety) else { return true };
        let tip = self.set.safety.overload_multiple / 2.0;
        let Some(g) = self.groups.get(&self.hosts[i].group) else { return false };
        if primary_work {
            // What all routers held in an election must not arrive at once: let in by and by.
            let since = self.now.saturating_sub(g.found_at) as f64;
            let ramp = since / (self.set.safety.overload_duration.max(1) as f64 * 2.0);
            return r.lot < share * tip.max(1.0) * ramp.min(1.0);
        }
        // Members lost within this while count too, but for those that new ones replace: a lone cold one
        // must not take the whole group's work.
        let before = |s: &&HostState| {
            let lost = s.told_at.saturating_add(self.set.safety.cold_duration) > self.now;
            s.joined.saturating_add(self.set.safety.cold_duration) <= self.now
                && (s.listed == HostStatus::Ready || lost)
        };
        let before = g.members.iter().map(|&m| &self.hosts[m]).filter(before).count();
        let open: Vec<usize> =
            g.members.iter().copied().filter(|&m| self.hosts[m].listed == HostStatus::Ready).collect();
        let slots = open.len().max(before) as f64;
        let slot = open.iter().position(|&m| m == i).unwrap_or(0) as f64;
        // From the top: a new primary takes the low lots.
        let place = (1.0 - r.lot) * slots - slot;
        let able = |&m: &usize| self.hosts[m].cold_share(self.now, &self.set.safety).unwrap_or(1.0);
        let able: f64 = open.iter().filter(|&&m| self.sendable(m, false)).map(able).sum();
        let part = slots / able.max(share);
        let most = self.set.safety.overload_multiple * TIP_MANY;
        let part = averaged(part.min(tip) * SLOT, (part * SLOT_MANY).min(most), 1.0 - self.blur());
        r.attempts.is_empty() && (0.0..share * part).contains(&place)
    }
}
