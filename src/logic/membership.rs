//! Which hosts there are and which of them may get attempts: the list, drains, manual overrides, lost zones.

use super::*;

impl Router {
    /// Whether a host may be tried like any other: it is not ejected, and its zone is not lost or the host
    /// started after the loss.
    pub(super) fn is_healthy(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        host.is_healthy(self.now) && !self.observed.zones.is_lost(host.zone, host.listed_start, self.now)
    }

    /// Whether the list and the operators allow this router to send to a host. `primary_work`: the attempt
    /// goes to the host as the primary of its group.
    pub(super) fn may_receive(&self, index: usize, primary_work: bool) -> bool {
        let host = &self.hosts[index];
        // Until a successor is known the old primary may still get writes, for half of the grace.
        let in_grace =
            |since: Micros| primary_work && self.now - since < self.settings.safety.drain_grace / 2;
        match host.listed {
            _ if self.left_out_since(host.id).is_some_and(|since| !in_grace(since.min(self.now))) => false,
            HostStatus::Ready => true,
            HostStatus::Draining => in_grace(host.unavailable_since),
            HostStatus::Removed => self.settings.safety.only_draining_binds && !host.seen_draining,
        }
    }

    /// The number of hosts on the list, and of those among them that get nothing, or one attempt at a time to
    /// see whether they answer.
    pub fn host_counts(&self) -> (usize, usize) {
        count_hosts(&self.hosts, |host| self.left_out_since(host.id).is_some())
    }

    /// Since when operators leave a host out, if they do.
    pub fn left_out_since(&self, host_id: HostId) -> Option<Micros> {
        self.left_out.get(&host_id).copied()
    }

    /// Applies a manual override. The rule on drains applies from the first order to leave the host out
    /// until it is used again; from then on the host is cold.
    pub(super) fn apply_override(&mut self, host_id: HostId, left_out: bool, since: Micros) {
        // Another process may have recorded the override by a clock that is ahead.
        let since = since.min(self.now);
        if left_out {
            self.left_out.entry(host_id).or_insert(since);
            self.actions.push(Action::CloseIdle(host_id));
            return;
        }
        let left_out_since = self.left_out.remove(&host_id);
        let Some(host) = self.host_index.get(&host_id).map(|&index| &mut self.hosts[index]) else { return };
        let warm_before = self.now.saturating_sub(self.settings.safety.cold_duration);
        host.readmit(left_out_since, since, INITIAL_CONCURRENCY_LIMIT, warm_before);
    }

    /// Applies an update of the list.
    pub(super) fn apply_list(&mut self, update: ListUpdate, entries: &[HostEntry]) {
        if update == ListUpdate::Failed {
            let wait = BACKOFF_US << self.schedule.subscribe_failures.min(MAX_BACKOFF_DOUBLINGS);
            self.schedule.subscribe_failures += 1;
            self.schedule.subscribe_at = Some(self.now + wait / 2 + self.rng.rand_range(0..wait));
            return;
        }
        self.schedule.subscribe_failures =
            if update == ListUpdate::Cached { self.schedule.subscribe_failures } else { 0 };
        // New hosts bring new ids without end, so a host that was removed long ago and is in no request is
        // forgotten.
        let removed_before = self.now.saturating_sub(self.settings.safety.cold_duration);
        let without_drain = !self.settings.safety.only_draining_binds;
        forget_removed_hosts(
            &mut self.hosts,
            &mut self.host_index,
            &mut self.groups,
            &self.requests,
            without_drain,
            removed_before,
        );
        for index in 0..self.hosts.len() {
            if update != ListUpdate::Delta && entries.iter().all(|entry| entry.host != self.hosts[index].id) {
                self.apply_status(index, HostStatus::Removed);
            }
        }
        for entry in entries {
            let is_unknown = !self.host_index.contains_key(&entry.host);
            if is_unknown && entry.state == HostStatus::Removed {
                continue;
            }
            if is_unknown {
                let first_listed_at = if self.observed.listed_once { self.now } else { 0 };
                add_host(
                    &mut self.hosts,
                    &mut self.host_index,
                    &mut self.groups,
                    entry,
                    (INITIAL_CONCURRENCY_LIMIT, first_listed_at),
                );
            }
            let index = self.host_index[&entry.host];
            let is_new = is_unknown && self.observed.listed_once;
            let is_change = update == ListUpdate::Delta;
            let cold_duration = self.settings.safety.cold_duration;
            self.hosts[index].record_start(entry.started, self.now, cold_duration, is_new, is_change);
            self.apply_status(index, entry.state);
            let Some(group) = self.groups.get_mut(&self.hosts[index].group) else { continue };
            if entry.primary && self.settings.list_role != ListRole::Absent {
                group.listed_primary = Some(index);
                // Only the first list sets the primary itself.
                group.primary = group.primary.or(Some(index).filter(|_| !self.observed.listed_once));
            }
        }
        self.observed.listed_once = true;
    }

    /// Sets a host's status on the list. A primary that was removed is no primary any more.
    pub(super) fn apply_status(&mut self, index: usize, status: HostStatus) {
        if !self.hosts[index].set_status(status, self.now) {
            return;
        }
        // Where only draining binds, a list without the primary changes nothing: the hosts' answers outrank
        // it.
        let is_gone = status == HostStatus::Removed && !self.may_receive(index, true);
        let Some(group) = self.groups.get_mut(&self.hosts[index].group) else { return };
        group.primary = group.primary.filter(|&p| !is_gone || p != index);
    }
}
