//! The primary of each group: claims of roles in their order, and the search for an unknown primary.
//!
//! A host's own claim decides; the list and peers only say which host to ask first.

use super::*;

impl Router {
    /// Applies a host's report. `direct`: the report comes with the host's answer; otherwise it is some time
    /// old.
    pub(super) fn apply_report(&mut self, host_id: HostId, report: HostReport, direct: bool) {
        let Some(&index) = self.host_index.get(&host_id) else { return };
        let host = &mut self.hosts[index];
        // A position ahead of the clock is not valid.
        let position = report.position.filter(|&position| position <= self.now);
        let max_age = if direct { 0 } else { PROBE_INTERVAL_US };
        position.into_iter().for_each(|position| host.record_position(position, self.now, max_age));
        if let Some(role) = report.role {
            let at = position.unwrap_or(if direct { self.now } else { 0 });
            self.apply_role(index, role, at, direct);
        }
    }

    /// Applies a host's claim of a role. `at` orders claims: a claim in an answer (`direct`) is the newest
    /// of its host, one in a report is as old as the report's position.
    pub(super) fn apply_role(&mut self, index: usize, role: Role, at: Micros, direct: bool) {
        let host = &mut self.hosts[index];
        if !direct && at <= host.role_at {
            return;
        }
        host.role_at = host.role_at.max(at);
        let id = host.id;
        let Some(group) = self.groups.get_mut(&host.group) else { return };
        match role {
            Role::Primary if group.primary == Some(index) => group.primary_at = group.primary_at.max(at),
            Role::Primary if at >= group.primary_at => {
                group.primary = Some(index);
                group.primary_at = at;
                group.primary_found_at = self.now;
                self.hosts[index].announced_position = 0;
                // The requests that were held in the meantime must not all reach the host at once.
                self.hosts[index].concurrency_limit =
                    self.hosts[index].concurrency_limit.min(INITIAL_CONCURRENCY_LIMIT);
                self.actions.push(Action::Log(format!("server {id} is primary")));
            }
            Role::Replica if group.primary == Some(index) => {
                group.primary = None;
                group.search_at = self.now;
                group.search_next = 0;
                self.actions.push(Action::Log(format!("server {id} is no longer primary")));
            }
            _ => {}
        }
    }

    /// Searches for the primary of a group with one held request at a time: first at the primary according to
    /// the list, then at the other members by id.
    pub(super) fn search_primary(&mut self, group_id: GroupId) {
        let Some(group) = self.groups.get(&group_id) else { return };
        let known = group.primary.is_some_and(|p| self.may_receive(p, true) && self.is_healthy(p));
        if known || self.now < group.search_at || group.members.is_empty() {
            return;
        }
        // A request whose client still sends it may search for as long as the client takes, so it holds up no other search.
        let is_complete = |id: RequestId| self.requests.get(&id).is_some_and(|r| !r.is_incomplete);
        let is_searching = group.search_request.is_some();
        if group.search_request.is_some_and(is_complete) {
            return;
        }
        // A write, or a strong read where hosts check freshness, that keeps one attempt for the primary
        // itself.
        let can_search = |id: &&RequestId| {
            let Some(request) = self.requests.get(id) else { return false };
            let access = self.settings.classes[request.class].access;
            let checked = access == Access::StrongRead && self.settings.lag_check != LagCheck::Unchecked;
            (access == Access::Write || checked)
                && !(is_searching && request.is_incomplete)
                && self.may_send(request)
                && request.attempts.len() + 1 < self.settings.limits.max_attempts
        };
        let rank = |id: &&RequestId| (self.requests[*id].is_incomplete, self.requests[*id].attempts.len());
        let searcher = group.held.iter().filter(can_search).min_by_key(rank);
        let Some(&id) = searcher else { return };
        let mut order = group.members.clone();
        order.sort_by_key(|&member| group.listed_primary != Some(member));
        let member_count = order.len();
        // A cold member is asked no more than it may be read from, since hundreds of proxies search at once.
        let may_ask = |member: usize| {
            self.is_healthy(member)
                && self.may_receive(member, true)
                && self.slow_start_admits(member, &self.requests[&id], false)
        };
        let found = (group.search_next..member_count).find(|&place| may_ask(order[place]));
        let next = found.map_or(member_count, |place| place + 1);
        let target = found.map(|place| order[place]);
        let Some(group) = self.groups.get_mut(&group_id) else { return };
        group.search_next = next;
        if next >= member_count {
            group.search_next = 0;
            group.search_at = self.now + UPDATE_INTERVAL_US;
        }
        if let Some(member) = target {
            group.search_request = Some(id);
            group.held.retain(|&h| h != id);
            self.send(id, member);
        }
    }
}
