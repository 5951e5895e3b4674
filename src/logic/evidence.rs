//! What the end of an attempt tells of its server: health, latency, errors, lost zones.

use super::*;

impl Router {
    /// A server answered, or left something unanswered for its whole time.
    pub(super) fn answered(&mut self, i: usize, answer: bool) {
        let (zone, s) = (self.hosts[i].zone, &mut self.hosts[i]);
        (s.silent_at, s.proven) = (if answer { 0 } else { self.now }, answer);
        if answer {
            return self.seen.zones.answered(zone, self.now);
        }
        let heard = self.seen.zones.last_answer(zone);
        let silent = self.hosts.iter().filter(|s| s.zone == zone && s.silent_at > heard).count();
        if silent as f64 * self.blur() >= ZONE_SILENT {
            self.seen.zones.lost(zone, self.now, self.now + ZONE_LOST_FOR);
        }
    }

    /// Where servers accept few connections an idle one keeps another router out: all are closed when that
    /// shows, and each again as it falls idle.
    pub(super) fn connections(&mut self, i: usize, outcome: Outcome, latency: Micros) {
        let failed = outcome == Outcome::ConnectFailed;
        let was = self.seen.unconnected;
        self.seen.unconnected = averaged(was, f64::from(failed && latency < REFUSED), SCARCE_OLD);
        if was <= SCARCE && self.seen.unconnected > SCARCE {
            let idle = self.hosts.iter().filter(|s| s.in_flight == 0 && s.last_answer > 0);
            self.out.extend(idle.map(|s| Action::CloseIdle(s.id)));
        } else if self.seen.unconnected > SCARCE && self.hosts[i].in_flight == 0 && !failed {
            self.out.push(Action::CloseIdle(self.hosts[i].id));
        }
    }

    /// Latency lists and health. Only served attempts (and time-outs, by at least their wait) are
    /// samples: a replica that turns work away quickly must not look fast.
    pub(super) fn evidence(
        &mut self, i: usize, class: usize, outcome: Outcome, latency: Micros, expected_duration: Micros,
    ) {
        let (scale, value) = (self.scale(class, expected_duration), latency as f64);
        self.adapt(i, class, outcome, latency);
        let told =
            matches!(outcome, Outcome::Ok | Outcome::Timeout | Outcome::Overloaded | Outcome::Unsuitable);
        let read = told && self.set.classes[class].access != Access::Write;
        if let Some(g) = self.groups.get_mut(&self.hosts[i].group).filter(|_| read) {
            let slow = value > self.set.classes[class].latency_target as f64 * LATE_AT;
            self.seen.jam.add(self.now, JAM_HALF_LIFE_US, outcome, slow);
            g.jam.add(self.now, GROUP_HALF_LIFE_US, outcome, slow);
        }
        let s = &mut self.hosts[i];
        let lost = outcome == Outcome::ConnectFailed && s.lost(latency >= REFUSED);
        let answer =
            matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Overloaded | Outcome::Unsuitable);
        s.last_answer = if answer { self.now } else { s.last_answer };
        if answer || outcome == Outcome::Timeout || (lost && latency >= REFUSED) {
            self.answered(i, answer);
        }
        let s = &mut self.hosts[i];
        match outcome {
            Outcome::Ok => {
                s.sample(self.now, value * scale, LIST_LEN);
                s.error_share *= 1.0 - ERROR_ADDS;
                (s.strikes, s.refusals) = (0, 0);
                self.classes[class].served(value, CLASS_OLD, CLASS_LEN);
                blend(&mut self.seen.mean, value, CLASS_OLD);
            }
            Outcome::Timeout | Outcome::Cancelled if s.adjusted.is_none_or(|l| value * scale > l) => {
                s.sample(self.now, value * scale, LIST_LEN);
            }
            // It says itself that it was outside the bound, and no answer would tell so.
            Outcome::Unsuitable => {
                if let Access::BoundedRead(bound) = self.set.classes[class].access {
                    (s.lag, s.heard_at) = (s.lag.max(bound + latency), self.now);
                }
            }
            Outcome::Error | Outcome::Reset => {
                s.error_share = averaged(s.errors(self.now, ERROR_HALF_LIFE_US), 1.0, 1.0 - ERROR_ADDS);
                (s.error_at, s.proven) = (self.now, false);
            }
            Outcome::ConnectFailed if lost && s.ejected_until <= self.now => {
                let (wait, id) = (BACKOFF << s.strikes.min(DOUBLINGS), s.id);
                let members = self.groups.get(&s.group).map_or(&[][..], |g| &g.members);
                let ejected = members.iter().filter(|&&m| self.hosts[m].ejected_until > self.now).count();
                // The rest must be able to carry the load.
                if ejected * 2 < members.len() {
                    let s = &mut self.hosts[i];
                    s.ejected_until = self.now + wait;
                    s.strikes += 1;
                    self.out.extend((s.strikes == 1).then(|| Action::Log(format!("server {id} ejected"))));
                }
            }
            _ => {}
        }
    }

    /// Classes of different work share a latency list: each sample counts in units of the mean class.
    /// Guards against a server that got the long ones, by their class or as told, passing for a slow one.
    pub(super) fn scale(&self, class: usize, expected_duration: Micros) -> f64 {
        let usual = if expected_duration > 0 { expected_duration as f64 } else { self.classes[class].mean };
        if usual > 0.0 && self.seen.mean > 0.0 { self.seen.mean / usual } else { 1.0 }
    }
}
