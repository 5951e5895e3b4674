//! Time-driven work: averages, percentiles, held requests, probes, subscriptions and updates for the peers.

use super::*;

impl Router {
    /// The work of one tick, every `TICK_US`.
    pub(super) fn tick(&mut self) {
        if self.now >= self.schedule.update {
            self.schedule.update = self.now + UPDATE_INTERVAL_US;
            self.send_probes();
            self.send_peer_updates();
            let usual = self.observed.mean_latency;
            self.hosts.iter_mut().for_each(|host| {
                host.update_tail_latency(self.now, SAMPLE_AGE_US, TAIL_RATIO, OLD_WEIGHT, usual)
            });
            self.classes.iter_mut().for_each(|c| c.update_median(8));
        }
        // The age of an outstanding attempt counts in the score before there is a sample, so that a host that
        // stops answering shows at once.
        let scales: Vec<f64> = (0..self.classes.len()).map(|c| self.work_scale(c, 0)).collect();
        update_pending(&mut self.hosts, &self.requests, &scales, self.now, IN_FLIGHT_OLD_WEIGHT);
        let ids: Vec<GroupId> =
            self.groups.iter().filter(|group| !group.1.held.is_empty()).map(|group| *group.0).collect();
        for id in ids {
            self.release_held(id);
            self.search_primary(id);
        }
        if self.schedule.subscribe_at.is_some_and(|t| self.now >= t) {
            self.schedule.subscribe_at = None;
            self.actions.push(Action::Subscribe);
        }
    }

    /// Probes each host without a known position once, and a host whose position is too old for the tightest
    /// bound every `PROBE_INTERVAL_US`, as far as the budget lasts.
    pub(super) fn send_probes(&mut self) {
        if !self.settings.limits.probes || self.budgets.probes < 1.0 {
            return;
        }
        let tightest_bound = self.tightest_bound;
        let plain = self.now < self.observed.plain_until;
        let needs_probe = |index: &usize| {
            let host = &self.hosts[*index];
            let unknown = host.position.is_none() || host.position_unknown;
            let zone_lost = self.observed.zones.was_lost(host.zone);
            let behind = zone_lost
                || unknown
                || self.estimated_position(*index, plain).saturating_add(tightest_bound) < self.now;
            let due = host
                .probed_at
                .is_none_or(|t| t + PROBE_INTERVAL_US <= self.now && tightest_bound < Micros::MAX);
            // Where answers carry positions, a host that answers or is still cold needs no probe.
            let quiet = host.in_flight == 0 && host.last_answer + PROBE_INTERVAL_US <= self.now;
            let useful = plain
                || self.needs_probes_for_positions()
                || (quiet && self.hosts[*index].cold_share(self.now, &self.settings.safety).is_none());
            host.listed == HostStatus::Ready
                && self.left_out_since(host.id).is_none()
                && behind
                && due
                && useful
        };
        let mut due: Vec<usize> = (0..self.hosts.len()).filter(needs_probe).collect();
        // First the hosts of lost zones and those that started lately, then those probed longest ago. Each
        // proxy begins with another host.
        let offset = |index: usize| (index + self.settings.ordinal as usize) % self.hosts.len();
        let is_urgent = |host: &HostState| host.position_unknown || self.observed.zones.was_lost(host.zone);
        due.sort_by_key(|&index| {
            (!is_urgent(&self.hosts[index]), self.hosts[index].probed_at, offset(index))
        });
        for index in due.into_iter().take(self.budgets.probes as usize) {
            let host = &mut self.hosts[index];
            host.probed_at = Some(self.now);
            self.budgets.probes -= 1.0;
            self.actions.push(Action::Probe(host.id));
        }
    }

    /// Sends updates to the peers, several at once, as far as the budget of bytes lasts. The head of a
    /// message takes the space of two updates.
    pub(super) fn send_peer_updates(&mut self) {
        let peers = f64::from(self.settings.proxy_count.max(1) - 1);
        let capacity = ((self.budgets.peer_bytes / peers) as usize).min(256) / PEER_UPDATE_BYTES;
        if capacity < 6 || peers == 0.0 || !self.settings.limits.peers {
            return;
        }
        let updates = collect_peer_updates(
            &mut self.hosts,
            &self.groups,
            &mut self.tenant_quotas,
            self.now,
            capacity - 2,
        );
        self.budgets.peer_bytes -= (updates.len() * PEER_UPDATE_BYTES) as f64 * peers;
        self.actions.extend((!updates.is_empty()).then_some(Action::Broadcast(updates)));
    }
}
