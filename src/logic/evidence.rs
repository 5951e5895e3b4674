//! What the end of an attempt shows of its host: health, latency, errors, scarce connections and lost zones.
//!
//! It updates the records of the host, its group and its class. It must not send or conclude a request.

use super::*;

impl Router {
    /// Records that a host answered (`answer`), or left an attempt unanswered for its whole timeout.
    pub(super) fn note_response(&mut self, index: usize, answer: bool) {
        let zone = self.hosts[index].zone;
        let host = &mut self.hosts[index];
        (host.unanswered_at, host.last_response_ok) = (if answer { 0 } else { self.now }, answer);
        if answer {
            return self.observed.zones.answered(zone, self.now);
        }
        let last_answer = self.observed.zones.last_answer(zone);
        let silent_hosts =
            self.hosts.iter().filter(|host| host.zone == zone && host.unanswered_at > last_answer).count();
        if silent_hosts as f64 * self.unobserved_share() >= ZONE_SILENT_HOSTS {
            self.observed.zones.mark_lost(zone, self.now, self.now + ZONE_LOST_US);
        }
    }

    /// Closes idle connections where hosts accept few: an idle one keeps another proxy out. All idle
    /// connections are closed when the shortage shows, and each further one as it becomes idle.
    pub(super) fn track_connections(&mut self, index: usize, outcome: Outcome, latency: Micros) {
        let failed = outcome == Outcome::ConnectFailed;
        let before = self.observed.refused_share;
        let refused = f64::from(failed && latency < QUICK_REFUSAL_US);
        self.observed.refused_share = moving_average(before, refused, SCARCE_OLD_WEIGHT);
        if before <= SCARCE_CONNECTIONS_SHARE && self.observed.refused_share > SCARCE_CONNECTIONS_SHARE {
            let idle = self.hosts.iter().filter(|host| host.in_flight == 0 && host.last_answer > 0);
            self.actions.extend(idle.map(|host| Action::CloseIdle(host.id)));
        } else if self.observed.refused_share > SCARCE_CONNECTIONS_SHARE
            && self.hosts[index].in_flight == 0
            && !failed
        {
            self.actions.push(Action::CloseIdle(self.hosts[index].id));
        }
    }

    /// Updates latencies, health and tallies with the outcome of an attempt.
    ///
    /// Only served attempts are latency samples, and attempts that timed out or were cancelled, with the time
    /// that they waited, if that is longer than the host's latency: a replica that rejects work quickly must
    /// not look fast.
    pub(super) fn record_outcome(
        &mut self, index: usize, class: usize, outcome: Outcome, latency: Micros, expected_duration: Micros,
    ) {
        let scale = self.work_scale(class, expected_duration);
        let latency_us = latency as f64;
        self.adapt_concurrency_limit(index, class, outcome, latency);
        let is_tallied =
            matches!(outcome, Outcome::Ok | Outcome::Timeout | Outcome::Overloaded | Outcome::Unsuitable);
        let is_tallied_read = is_tallied && self.settings.classes[class].access != Access::Write;
        if let Some(group) = self.groups.get_mut(&self.hosts[index].group).filter(|_| is_tallied_read) {
            let slow = latency_us > self.settings.classes[class].latency_target as f64 * LATE_TARGET_RATIO;
            self.observed.read_outcomes.add(self.now, OVERLOAD_HALF_LIFE_US, outcome, slow);
            group.read_outcomes.add(self.now, GROUP_OVERLOAD_HALF_LIFE_US, outcome, slow);
        }
        let host = &mut self.hosts[index];
        let unreachable =
            outcome == Outcome::ConnectFailed && host.connection_failed(latency >= QUICK_REFUSAL_US);
        let answer =
            matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Overloaded | Outcome::Unsuitable);
        host.last_answer = if answer { self.now } else { host.last_answer };
        if answer || outcome == Outcome::Timeout || (unreachable && latency >= QUICK_REFUSAL_US) {
            self.note_response(index, answer);
        }
        let host = &mut self.hosts[index];
        match outcome {
            Outcome::Ok => {
                host.add_sample(self.now, latency_us * scale, HOST_SAMPLES);
                host.error_share *= 1.0 - ERROR_WEIGHT;
                (host.ejections, host.failed_connections) = (0, 0);
                self.classes[class].add_served(latency_us, CLASS_OLD_WEIGHT, CLASS_SAMPLES);
                update_mean(&mut self.observed.mean_latency, latency_us, CLASS_OLD_WEIGHT);
            }
            Outcome::Timeout | Outcome::Cancelled
                if host.tail_latency.is_none_or(|l| latency_us * scale > l) =>
            {
                host.add_sample(self.now, latency_us * scale, HOST_SAMPLES);
            }
            // By rejecting the read the host shows that it was outside the bound, which no answer would tell.
            Outcome::Unsuitable => {
                if let Access::BoundedRead(bound) = self.settings.classes[class].access {
                    (host.lag, host.position_received_at) = (host.lag.max(bound + latency), self.now);
                }
            }
            Outcome::Error | Outcome::Reset => {
                host.error_share = moving_average(
                    host.current_error_share(self.now, ERROR_HALF_LIFE_US),
                    1.0,
                    1.0 - ERROR_WEIGHT,
                );
                (host.error_at, host.last_response_ok) = (self.now, false);
            }
            Outcome::ConnectFailed if unreachable && host.ejected_until <= self.now => {
                let wait = BACKOFF_US << host.ejections.min(MAX_BACKOFF_DOUBLINGS);
                let id = host.id;
                let members = self.groups.get(&host.group).map_or(&[][..], |group| &group.members);
                let ejected =
                    members.iter().filter(|&&member| self.hosts[member].ejected_until > self.now).count();
                // The members that remain must be able to carry the load.
                if ejected * 2 < members.len() {
                    let host = &mut self.hosts[index];
                    host.ejected_until = self.now + wait;
                    host.ejections += 1;
                    self.actions
                        .extend((host.ejections == 1).then(|| Action::Log(format!("server {id} ejected"))));
                }
            }
            _ => {}
        }
    }

    /// The factor that converts a latency to units of the mean class, so that classes of different work share
    /// a list of samples. Guards against a host that looks slow because it got the long requests, long by
    /// their class or by `expected_duration`.
    pub(super) fn work_scale(&self, class: usize, expected_duration: Micros) -> f64 {
        let usual = if expected_duration > 0 { expected_duration as f64 } else { self.classes[class].mean };
        if usual > 0.0 && self.observed.mean_latency > 0.0 { self.observed.mean_latency / usual } else { 1.0 }
    }
}
