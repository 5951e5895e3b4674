//! The choice of a host for an attempt.
//!
//! It reads scores, freshness, slow start and concurrency limits, and draws the host. It must not send.

use super::*;

impl Router {
    /// The host for a request's next attempt; `None` if the request has to wait.
    ///
    /// Writes and strong reads go to the primary. For other reads each eligible member gets a tier and a
    /// score. The lowest tier that has a member decides; among its members with a free slot, one near the
    /// lowest score is drawn.
    pub(super) fn choose_host(&mut self, request: &Request) -> Option<usize> {
        let group = self.groups.get(&request.group)?;
        let access = self.settings.classes[request.class].access;
        let primary = group.primary;
        if matches!(access, Access::Write | Access::StrongRead) {
            let index = primary?;
            let open = self.may_receive(index, true) && self.is_healthy(index);
            return (open
                && self.hosts[index].has_free_slot(self.now)
                && self.slow_start_admits(index, request, true))
            .then_some(index);
        }
        // One sample says little: a host counts as fast or slow only as far as this router has seen it so.
        let unobserved = self.unobserved_share();
        let usual = (self.observed.mean_latency, FLEET_MEAN_SAMPLES * self.unobserved_share());
        let lowest = group.members.iter().filter_map(|&index| self.hosts[index].weighted_latency(usual));
        let lowest = lowest.min_by(f64::total_cmp).unwrap_or(DEFAULT_LATENCY_US);
        let is_long = access == Access::AnyRead && self.is_long(request.class);
        let yields_to_bounded = access == Access::AnyRead
            && group.bounded_held_at + BOUNDED_PRIORITY_US > self.now
            && !request.plain;
        let mut rank = 0;
        // (tier, score, host, has a free slot)
        let mut options: Vec<(u32, f64, usize, bool)> = Vec::new();
        for &index in &group.members {
            let host = &self.hosts[index];
            if !self.may_receive(index, false) || !self.slow_start_admits(index, request, false) {
                continue;
            }
            let behind = self.now.saturating_sub(self.estimated_position(index, false));
            let latency = host.weighted_latency(usual).unwrap_or(lowest).max(host.oldest_pending);
            let errors = host.current_error_share(self.now, ERROR_HALF_LIFE_US);
            let mut points =
                score(latency, host.in_flight_average, host.wait) * (1.0 + ERROR_PENALTY * errors);
            points *= if self.settings.cross_zone_costs && host.zone != self.settings.zone {
                CROSS_ZONE_PENALTY
            } else {
                1.0
            };
            // With many proxies, if each tried each host, there would be hundreds of handshakes at each host,
            // and as many timeouts at a bad one. So a router stays with hosts that serve; the first is
            // random.
            points *= match host.cold_share(self.now, &self.settings.safety) {
                Some(_) => COLD_SCORE_FACTOR,
                None if host.last_response_ok => 1.0,
                None => 1.0 + (UNPROVEN_PENALTY - 1.0) * unobserved,
            };
            // While bounded reads wait, a read that any member can serve leaves those inside the bound to
            // them.
            let mut tier =
                u32::from(yields_to_bounded && (primary == Some(index) || behind <= self.tightest_bound));
            if primary == Some(index) {
                points *= if is_long { LONG_READ_RANK_PENALTY.powi(4) } else { PRIMARY_PENALTY };
            } else if is_long {
                // A long read may delay a replica's replay of the log. Long reads gather on a replica whose
                // data is old already, and at every proxy on the same one by id, so that the others stay
                // current.
                points *= LONG_READ_RANK_PENALTY.powi(rank.min(3)) / (behind.max(TICK_US) as f64).powi(2);
                rank += 1;
            } else if !self.is_current_enough(index, request) {
                // Where replicas check freshness, the most current one comes first. Elsewhere the answer
                // would be stale.
                if !self.is_checked_by_host(request) {
                    continue;
                }
                points = behind as f64;
                tier = 2;
            }
            tier += if self.is_healthy(index) { 0 } else { 3 };
            tier += if request.attempts.iter().any(|a| a.host == index) { 6 } else { 0 };
            options.push((tier, points, index, self.hosts[index].has_free_slot(self.now)));
        }
        let tier = options.iter().map(|option| option.0).min()?;
        // If the whole tier is at capacity, the request waits for it: the next tier would only reject the
        // read.
        options.retain(|option| option.0 == tier && option.3);
        let best = options.iter().map(|option| option.1).min_by(f64::total_cmp)?;
        options.retain(|option| option.1 <= best * NEAR_BEST_RATIO);
        let drawn = self.rng.rand_range(0..options.len() as u64) as usize;
        Some(options[drawn].2)
    }

    /// Whether a class takes long beside the others: by its mean latency, or by its latency target if there
    /// is no sample yet.
    pub(super) fn is_long(&self, class: usize) -> bool {
        let class_state = &self.classes[class];
        let latency_target = self.settings.classes[class].latency_target as f64;
        let shortest_target =
            self.settings.classes.iter().map(|settings| settings.latency_target).min().unwrap_or(0) as f64;
        if class_state.mean > 0.0 {
            self.work_scale(class, 0) < LONG_CLASS_RATIO
        } else {
            shortest_target < latency_target * LONG_CLASS_RATIO / 2.0
        }
    }
}
