//! Who is primary: claims in their order, and the search for one that is unknown.

use super::*;

impl Router {
    pub(super) fn report(&mut self, host: HostId, r: HostReport, direct: bool) {
        let Some(&i) = self.index.get(&host) else { return };
        let s = &mut self.hosts[i];
        // A position ahead of the clock is no position.
        let position = r.position.filter(|&p| p <= self.now);
        // A report is some time old.
        position.into_iter().for_each(|p| s.stands_at(p, self.now, if direct { 0 } else { PROBE_GAP }));
        if let Some(role) = r.role {
            let at = position.unwrap_or(if direct { self.now } else { 0 });
            self.role(i, role, at, direct);
        }
    }

    /// `at` orders claims: an answer is the newest word of its server, a report as old as its position.
    pub(super) fn role(&mut self, i: usize, role: Role, at: Micros, direct: bool) {
        let s = &mut self.hosts[i];
        if !direct && at <= s.role_at {
            return;
        }
        s.role_at = s.role_at.max(at);
        let id = s.id;
        let Some(g) = self.groups.get_mut(&s.group) else { return };
        match role {
            Role::Primary if g.primary == Some(i) => g.primary_at = g.primary_at.max(at),
            Role::Primary if at >= g.primary_at => {
                g.primary = Some(i);
                g.primary_at = at;
                g.found_at = self.now;
                self.hosts[i].told_peers = 0;
                // What was held meanwhile must not arrive as a flood.
                self.hosts[i].limit = self.hosts[i].limit.min(LIMIT);
                self.out.push(Action::Log(format!("server {id} is primary")));
            }
            Role::Replica if g.primary == Some(i) => {
                g.primary = None;
                g.scout_at = self.now;
                g.scout_next = 0;
                self.out.push(Action::Log(format!("server {id} is no longer primary")));
            }
            _ => {}
        }
    }

    /// Looks for the primary with one held write at a time, the list's hint first, then by id.
    pub(super) fn scout(&mut self, group: GroupId) {
        let Some(g) = self.groups.get(&group) else { return };
        let known = g.primary.is_some_and(|p| self.sendable(p, true) && self.healthy(p));
        if known || g.scout.is_some() || self.now < g.scout_at || g.members.is_empty() {
            return;
        }
        let fits = |id: &&RequestId| {
            let Some(r) = self.requests.get(id) else { return false };
            let access = self.set.classes[r.class].access;
            let checked = access == Access::StrongRead && self.set.lag_check != LagCheck::Unchecked;
            (access == Access::Write || checked)
                && self.may_send(r)
                && r.attempts.len() + 1 < self.set.limits.max_attempts
        };
        let scout = g.held.iter().filter(fits).min_by_key(|id| self.requests[id].attempts.len());
        let Some(&id) = scout else { return };
        let mut order = g.members.clone();
        order.sort_by_key(|&m| g.hint != Some(m));
        let n = order.len();
        // A cold member is asked no more than it is read from: hundreds of routers look at once.
        let fit = |m: usize| {
            self.healthy(m) && self.sendable(m, true) && self.lets_in(m, &self.requests[&id], false)
        };
        let found = (g.scout_next..n).find(|&k| fit(order[k]));
        let (next, target) = (found.map_or(n, |k| k + 1), found.map(|k| order[k]));
        let Some(g) = self.groups.get_mut(&group) else { return };
        g.scout_next = next;
        if next >= n {
            g.scout_next = 0;
            g.scout_at = self.now + PERIOD;
        }
        if let Some(m) = target {
            g.scout = Some(id);
            g.held.retain(|&h| h != id);
            self.send(id, m);
        }
    }
}
