//! The primary of each group: claims of roles in their order, and the search for an unknown primary.
//!
//! A host's own claim decides; the list and peers only say which host to ask first.

use super::*;

impl Router {
    /// Takes in a host's report. `direct`: the report comes with the host's answer; otherwise it is some time
    /// old.
    pub(super) fn apply_report(&mut self, host: HostId, r: HostReport, direct: bool) {
        let Some(&i) = self.host_index.get(&host) else { return };
        let s = &mut self.hosts[i];
        // A position ahead of the clock is not valid.
        let position = r.position.filter(|&p| p <= self.now);
        let max_age = if direct { 0 } else { PROBE_INTERVAL_US };
        position.into_iter().for_each(|p| s.record_position(p, self.now, max_age));
        if let Some(role) = r.role {
            let at = position.unwrap_or(if direct { self.now } else { 0 });
            self.apply_role(i, role, at, direct);
        }
    }

    /// Takes in a host's claim of a role. `at` orders claims: a claim in an answer (`direct`) is the newest
    /// of its host, one in a report is as old as the report's position.
    pub(super) fn apply_role(&mut self, i: usize, role: Role, at: Micros, direct: bool) {
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
                g.primary_found_at = self.now;
                self.hosts[i].announced_position = 0;
                // The requests that were held in the meantime must not all reach the host at once.
                self.hosts[i].concurrency_limit =
                    self.hosts[i].concurrency_limit.min(INITIAL_CONCURRENCY_LIMIT);
                self.actions.push(Action::Log(format!("server {id} is primary")));
            }
            Role::Replica if g.primary == Some(i) => {
                g.primary = None;
                g.search_at = self.now;
                g.search_next = 0;
                self.actions.push(Action::Log(format!("server {id} is no longer primary")));
            }
            _ => {}
        }
    }

    /// Searches for the primary of a group with one held request at a time: first at the primary according to
    /// the list, then at the other members by id.
    pub(super) fn search_primary(&mut self, group: GroupId) {
        let Some(g) = self.groups.get(&group) else { return };
        let known = g.primary.is_some_and(|p| self.may_receive(p, true) && self.is_healthy(p));
        if known || g.search_request.is_some() || self.now < g.search_at || g.members.is_empty() {
            return;
        }
        // A write, or a strong read where hosts check freshness, that keeps one attempt for the primary
        // itself.
        let can_search = |id: &&RequestId| {
            let Some(r) = self.requests.get(id) else { return false };
            let access = self.settings.classes[r.class].access;
            let checked = access == Access::StrongRead && self.settings.lag_check != LagCheck::Unchecked;
            (access == Access::Write || checked)
                && self.may_send(r)
                && r.attempts.len() + 1 < self.settings.limits.max_attempts
        };
        let searcher = g.held.iter().filter(can_search).min_by_key(|id| self.requests[id].attempts.len());
        let Some(&id) = searcher else { return };
        let mut order = g.members.clone();
        order.sort_by_key(|&m| g.listed_primary != Some(m));
        let n = order.len();
        // A cold member is asked no more than it may be read from, since hundreds of proxies search at once.
        let may_ask = |m: usize| {
            self.is_healthy(m)
                && self.may_receive(m, true)
                && self.slow_start_admits(m, &self.requests[&id], false)
        };
        let found = (g.search_next..n).find(|&k| may_ask(order[k]));
        let next = found.map_or(n, |k| k + 1);
        let target = found.map(|k| order[k]);
        let Some(g) = self.groups.get_mut(&group) else { return };
        g.search_next = next;
        if next >= n {
            g.search_next = 0;
            g.search_at = self.now + UPDATE_INTERVAL_US;
        }
        if let Some(m) = target {
            g.search_request = Some(id);
            g.held.retain(|&h| h != id);
            self.send(id, m);
        }
    }
}
