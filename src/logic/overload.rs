//! Overload: the share of reads to refuse on arrival, and the concurrency limit of each host.
//!
//! It reads the tallies that `evidence.rs` keeps. It must not refuse or send a request itself.

use super::*;

impl Router {
    /// The share of a class's requests to a group that are refused on arrival; 0 for writes and in small
    /// fleets.
    ///
    /// Where one attempt of each proxy is too many, only fewer requests help: overloaded hosts fall behind,
    /// and they go on working on attempts that have timed out. The severity shows soonest over all groups.
    /// The group's part of it is its failures over those expected of it; a group's first failure counts only
    /// as far as groups are alike (see `failure_spread`). Where served reads are quick, hosts that don't
    /// answer are unreachable rather than overloaded, and less is refused.
    pub(super) fn refusal_share(&self, group_id: GroupId, class: usize, client_retry: bool) -> f64 {
        let class_settings = &self.settings.classes[class];
        let unobserved = self.unobserved_share();
        let applies = class_settings.access != Access::Write && unobserved > 0.0;
        let Some(group) = self.groups.get(&group_id).filter(|_| applies) else { return 0.0 };
        // No host rejects an `AnyRead` because it lags. So rejections of other reads for lag count at most as
        // much as reads that are late or rejected as overloaded.
        let failures = |tally: ReadTally| {
            tally.late
                + if class_settings.access == Access::AnyRead {
                    tally.stale.min(tally.late)
                } else {
                    tally.stale
                }
        };
        let all = self.observed.read_outcomes.decayed(self.now, OVERLOAD_HALF_LIFE_US);
        let here = group.read_outcomes.decayed(self.now, GROUP_OVERLOAD_HALF_LIFE_US);
        let groups = self
            .groups
            .values()
            .map(|group| group.read_outcomes.decayed(self.now, GROUP_OVERLOAD_HALF_LIFE_US));
        let (usual, dispersion) = failure_spread(
            groups.map(|tally| (failures(tally), tally.total)).collect(),
            OVERLOAD_PRIOR_READS,
        );
        // 1 if the groups differ by chance alone, 0 if they differ by twice that or more.
        let alike = (2.0 - dispersion).clamp(0.0, 1.0);
        let part = (failures(here) - 1.0 + alike + GROUP_POOLED_EVENTS * alike)
            / (here.total * usual + GROUP_PRIOR_EVENTS + GROUP_POOLED_EVENTS * alike);
        let slowness = ((all.slow + 1.0) / (all.served + 1.0) / OVERLOAD_SLOW_SHARE).min(1.0);
        let share = failures(all) * slowness / (all.total + OVERLOAD_PRIOR_READS) * part;
        // A client retry is late and worth no more than a late answer, so it is refused first.
        let (tolerated, max_refused) = if client_retry {
            (OVERLOAD_TOLERATED_SHARE * class_settings.late_worth, 1.0)
        } else {
            (OVERLOAD_TOLERATED_SHARE, OVERLOAD_MAX_REFUSED_SHARE)
        };
        ((share - tolerated) * OVERLOAD_GAIN * unobserved).clamp(0.0, max_refused)
    }

    /// Adapts a host's concurrency limit to the outcome of an attempt: up with answers in time, cut when too
    /// many are late, timed out or rejected as overloaded.
    ///
    /// The limit covers overloaded, slow, unresponsive and cold hosts alike; requests beyond it wait at this
    /// proxy.
    pub(super) fn adapt_concurrency_limit(
        &mut self, index: usize, class: usize, outcome: Outcome, latency: Micros,
    ) {
        let latency_target = self.settings.classes[class].latency_target as f64;
        let usual = self.classes[class].p50;
        let host = &mut self.hosts[index];
        // Where hosts go on working on timed-out attempts, even a limit of 1 sends too much: pause, for
        // longer if the limit is lower. Below 1 the pause is random, so that a hundred proxies that paused
        // together don't come back together.
        let jitter = if host.concurrency_limit < 1.0 { 0.5 + self.rng.rand_float() } else { 1.0 };
        let pause_of =
            |base: Micros, factor: f64| ((base as f64 * factor * jitter) as u64).min(SAMPLE_AGE_US);
        let pause_factor = 1.0 / (host.concurrency_limit * host.concurrency_limit);
        let sent = self.now.saturating_sub(latency);
        let (late, pause) = match outcome {
            Outcome::Ok => (latency as f64 > latency_target * LATE_TARGET_RATIO, 0),
            // A later attempt was answered in time: this answer was lost, and the host has capacity.
            Outcome::Timeout
                if host.last_quick_sent_at > sent && latency as f64 > usual * LOST_ANSWER_RATIO =>
            {
                return;
            }
            Outcome::Timeout => (true, pause_of(UPDATE_INTERVAL_US, pause_factor)),
            Outcome::Overloaded => (true, pause_of(OVERLOADED_PAUSE_US, pause_factor.max(1.0))),
            _ => return,
        };
        host.last_quick_sent_at =
            if late { host.last_quick_sent_at } else { host.last_quick_sent_at.max(sent) };
        host.paused_until = host.paused_until.max(self.now + pause);
        host.late_share = if outcome == Outcome::Overloaded { 1.0 } else { host.late_share };
        host.late_share = moving_average(host.late_share, f64::from(late), OLD_WEIGHT);
        if host.late_share > MAX_LATE_SHARE {
            if late && self.now >= host.next_limit_cut_at {
                // With a hundred proxies, one attempt of each is too much as well.
                let min_limit = (SMALL_FLEET_PROXIES / f64::from(self.settings.proxy_count.max(1))).min(1.0);
                host.concurrency_limit = (host.concurrency_limit.min(f64::from(host.in_flight) + 1.0)
                    * LIMIT_CUT_FACTOR)
                    .max(min_limit);
                host.next_limit_cut_at = self.now + LIMIT_CUT_INTERVAL_US;
                host.late_share = MAX_LATE_SHARE / 2.0;
            }
        } else if !late && f64::from(host.in_flight) + 1.0 >= host.concurrency_limit / 2.0 {
            host.concurrency_limit += (1.0 / host.concurrency_limit).min(host.concurrency_limit);
        }
    }
}
