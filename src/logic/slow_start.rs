//! Slow start: how much a host gets that has just started.
//!
//! Proxies don't see each other's work, so each decides alone, by the random draw of the request.

use super::*;

impl Router {
    /// Whether slow start lets a host take an attempt of a request. A warm host takes every attempt.
    ///
    /// Each request has a draw between 0 and 1, and each ready member has a slot, an equal part of that
    /// range. A cold host takes the first attempts of the requests whose draws lie in its slot, over a part
    /// of the slot that matches its present capacity beside the other members', with a bound below what would
    /// overload it. So all proxies together send it no more than that; further attempts go elsewhere.
    ///
    /// `primary_work`: the attempt goes to the host as the primary of its group.
    pub(super) fn slow_start_admits(&self, index: usize, request: &Request, primary_work: bool) -> bool {
        let Some(share) = self.hosts[index].cold_share(self.now, &self.settings.safety) else { return true };
        let safe_multiple = self.settings.safety.overload_multiple / 2.0;
        let Some(group) = self.groups.get(&self.hosts[index].group) else { return false };
        if primary_work {
            // The requests that all proxies held during an election are admitted gradually.
            let since_found = self.now.saturating_sub(group.primary_found_at) as f64;
            let ramp = since_found / (self.settings.safety.overload_duration.max(1) as f64 * 2.0);
            return request.draw < share * safe_multiple.max(1.0) * ramp.min(1.0);
        }
        // Members that left within `cold_duration` still have a slot, unless new members replace them: a lone
        // cold host must not take the whole group's work.
        let was_member = |host: &&HostState| {
            let left_lately =
                host.unavailable_since.saturating_add(self.settings.safety.cold_duration) > self.now;
            host.first_listed_at.saturating_add(self.settings.safety.cold_duration) <= self.now
                && (host.listed == HostStatus::Ready || left_lately)
        };
        let earlier_members =
            group.members.iter().map(|&member| &self.hosts[member]).filter(was_member).count();
        let ready: Vec<usize> = group
            .members
            .iter()
            .copied()
            .filter(|&member| self.hosts[member].listed == HostStatus::Ready)
            .collect();
        let slots = ready.len().max(earlier_members) as f64;
        let slot = ready.iter().position(|&member| member == index).unwrap_or(0) as f64;
        // Slots are counted from the highest draw down, since a new primary takes the low draws.
        let place_in_slot = (1.0 - request.draw) * slots - slot;
        let capacity =
            |&member: &usize| self.hosts[member].cold_share(self.now, &self.settings.safety).unwrap_or(1.0);
        let capacity: f64 =
            ready.iter().filter(|&&member| self.may_receive(member, false)).map(capacity).sum();
        let load = slots / capacity.max(share);
        let max_load = self.settings.safety.overload_multiple * COLD_MAX_OVERLOAD_SHARE_MANY_PROXIES;
        let width = moving_average(
            load.min(safe_multiple) * COLD_SLOT_SHARE,
            (load * COLD_SLOT_SHARE_MANY_PROXIES).min(max_load),
            1.0 - self.unobserved_share(),
        );
        request.attempts.is_empty() && (0.0..share * width).contains(&place_in_slot)
    }
}
