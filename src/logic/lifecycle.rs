//! The life cycle of a request, from its arrival to its final answer: attempts, retries, waiting and
//! refusals.
//!
//! `choose_host` chooses the host of an attempt, and `invariants.rs` decides whether a retry or a refusal is
//! allowed. Nothing here may send a second attempt of a request while another is outstanding.

use super::*;

impl Router {
    /// Whether another attempt of a request is allowed now.
    pub(super) fn may_send(&self, r: &Request) -> bool {
        if r.closed || r.streaming.is_some() || r.attempts.len() >= self.settings.limits.max_attempts {
            return false;
        }
        // Never two attempts at once, even where the deployment permits hedging.
        r.outstanding() == 0 && self.now < self.repeatable_until(r, &r.attempts)
    }

    /// Until when another attempt may begin after the attempts in `before`.
    pub(super) fn repeatable_until(&self, r: &Request, before: &[Attempt]) -> Micros {
        let first = Attempt::first_possibly_run(before).map(|a| a.sent);
        self.settings.classes[r.class].idempotency.repeatable_until(first, r.plain)
    }

    /// Whether the client may be told that a further try is harmless.
    pub(super) fn may_refuse(&self, r: &Request) -> bool {
        let may_have_run = Attempt::first_possibly_run(&r.attempts).is_some();
        let refusable =
            invariants::may_refuse(self.settings.classes[r.class].idempotency, may_have_run, r.plain);
        refusable || mutants::on("refusals promise anything")
    }

    /// Takes in a request that arrived: refuses it under overload, or else sends or holds it.
    /// `is_incomplete`: its last bytes have not arrived.
    pub(super) fn admit(&mut self, a: &RequestInfo, is_incomplete: bool) {
        self.budgets.credit_request(self.settings.proxy_count);
        if self.settings.classes.len() <= usize::from(a.class) {
            return self.actions.push(Action::Refuse { id: a.id, retry_in: 0 });
        }
        let required_position = self.carried_position(a);
        let class = usize::from(a.class);
        self.observed.plain_until =
            if a.plain { self.now + PLAIN_ACTIVE_US } else { self.observed.plain_until };
        let arrived = self.now;
        let draw = self.rng.rand_float();
        let over_quota = self.tenant_quotas.exceeds_quota(a.tenant, self.now);
        let r =
            Request { draw, required_position, arrived, is_incomplete, over_quota, ..Request::from_info(a) };
        if self.requests.insert(a.id, r).is_some() {
            return;
        }
        if self.rng.rand_float() < self.refusal_share(a.group, class, a.client_retry) {
            self.conclude(a.id);
        } else {
            self.dispatch(a.id);
        }
    }

    /// The usual duration of an attempt in microseconds: as the request expects, else the median of its
    /// class.
    pub(super) fn usual_duration(&self, r: &Request) -> f64 {
        if r.expected_duration > 0 { r.expected_duration as f64 } else { self.classes[r.class].p50 }
    }

    /// Sends a request to a host, holds it if no host can take it now, or concludes it if no attempt can
    /// serve it any more.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        let Some(mut r) = self.requests.remove(&id) else { return };
        r.required_position = self.required_position(&r);
        let until = r.sendable_until(&self.settings.classes[r.class]);
        // An attempt with little more than the usual duration left mostly times out. A held request is looked
        // at again with the next tick, so two ticks are the least.
        let min_left = (self.usual_duration(&r) * MIN_TIME_LEFT_RATIO) as u64;
        let open = self.may_send(&r) && self.now + min_left.max(2 * TICK_US) < until;
        let target = open.then(|| self.choose_host(&r));
        self.requests.insert(id, r);
        match target {
            Some(Some(i)) => self.send(id, i),
            Some(None) => self.hold(id),
            None => self.conclude(id),
        }
    }

    /// Holds a request until a host can take it.
    pub(super) fn hold(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.held = true;
        let g = self.groups.entry(r.group).or_default();
        let c = &self.settings.classes[r.class];
        g.held.push(id);
        g.bounded_held_at = c.bound().map_or(g.bounded_held_at, |_| self.now);
    }

    /// Sends an attempt of a request to a host.
    pub(super) fn send(&mut self, id: RequestId, i: usize) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let until = r.useful_until(&self.settings.classes[r.class]);
        let timeout = if until < r.give_up_at { until.saturating_sub(self.now).max(1) } else { 0 };
        r.held = false;
        r.attempts.push(Attempt { host: i, sent: self.now, outcome: None });
        let s = &mut self.hosts[i];
        s.in_flight += u32::from(!r.is_incomplete);
        s.update_in_flight_average(IN_FLIGHT_OLD_WEIGHT);
        self.actions.push(Action::Send { id, host: s.id, timeout });
        if mutants::on("attempts are ordered twice") {
            self.actions.push(Action::Send { id, host: s.id, timeout });
        }
        if self.settings.classes[r.class].access == Access::Write
            && self.settings.session_tokens == SessionTokens::TrackedByProxy
        {
            self.sessions.write_begins(r.session);
        }
    }

    /// Gives the final answer of a request that no attempt can serve any more: a refusal if a further try is
    /// harmless, else a failure.
    pub(super) fn conclude(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.closed) else { return };
        let c = &self.settings.classes[r.class];
        if self.may_refuse(r) {
            // A client retry after the latency target earns little: such a client is to wait for the longest
            // time, the others for a random short one.
            let longest =
                if self.settings.limits.retry_after { self.settings.limits.max_retry_after } else { 0 };
            let short = longest / 4 + self.rng.rand_range(0..(longest / 4).max(1));
            let retry_in =
                if self.now - r.arrived + short >= c.latency_target { longest } else { short.min(longest) };
            self.actions.push(Action::Refuse { id, retry_in });
        } else {
            self.actions.push(Action::Fail(id));
        }
        self.close(id);
    }

    /// Closes a request that has its final answer or whose client disconnected.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.closed = true;
        // Cancels outstanding attempts, except one whose answer has begun to stream to the client.
        let outstanding = r.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        let cancels = outstanding.filter(|(n, _)| self.settings.limits.cancel && r.streaming != Some(*n));
        self.actions.extend(cancels.map(|(n, _)| Action::Cancel(id, n as u8)));
        if r.outstanding() == 0 {
            self.requests.remove(&id);
        }
    }

    /// Takes in the end of an attempt: what it shows of its host, then the request's next step, then the held
    /// requests of the group.
    pub(super) fn attempt_ended(&mut self, e: &AttemptResult) {
        let (id, outcome) = (e.id, e.outcome);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(e.attempt)) else { return };
        if a.outcome.is_some() || self.host_index.get(&e.host) != Some(&a.host) {
            return;
        }
        a.outcome = Some(outcome);
        let i = a.host;
        let (class, session, group) = (r.class, r.session, r.group);
        let is_incomplete = r.is_incomplete;
        let expected_duration = r.expected_duration;
        r.closed |= e.finished;
        let closed = r.closed;
        let access = self.settings.classes[class].access;
        let s = &mut self.hosts[i];
        s.in_flight = s.in_flight.saturating_sub(u32::from(!is_incomplete));
        s.update_in_flight_average(IN_FLIGHT_OLD_WEIGHT);
        self.track_connections(i, outcome, e.latency);
        self.record_outcome(i, class, outcome, e.latency, expected_duration);
        // A member that hands its role over still claims to be the primary while it rejects writes. If the
        // claim were believed each time, a held write would spend all its attempts on that member in a
        // moment.
        let claim_is_false =
            outcome == Outcome::Unsuitable && matches!(access, Access::Write | Access::StrongRead);
        let role = e.note.role.filter(|_| !claim_is_false);
        self.apply_report(e.host, HostReport { role, ..e.note }, true);
        if claim_is_false {
            self.apply_role(i, Role::Replica, self.now, true);
        }
        if (access, self.settings.session_tokens) == (Access::Write, SessionTokens::TrackedByProxy) {
            self.sessions.write_ends(session, committed_by(e, self.now), self.now);
        }
        let group_holds_requests = self.groups.get_mut(&group).is_some_and(|g| {
            g.search_request = g.search_request.filter(|&s| s != id);
            !g.held.is_empty()
        });
        if closed {
            self.close(id);
        } else {
            self.retry(id, outcome, e.latency);
        }
        if group_holds_requests {
            self.release_held(group);
        }
    }

    /// After a failed attempt: dispatches the request again if the budget of retries lasts, else concludes
    /// it.
    pub(super) fn retry(&mut self, id: RequestId, outcome: Outcome, latency: Micros) {
        let Some(r) = self.requests.get(&id) else { return };
        if !outcome.never_ran() {
            // An attempt that failed at once cost its host next to nothing, and the next one may serve.
            let spent = latency as f64 / self.usual_duration(r).max(1.0);
            let cost = if matches!(outcome, Outcome::Error | Outcome::Reset) { spent.min(1.0) } else { 1.0 };
            if self.budgets.retries < cost {
                return self.conclude(id);
            }
            self.budgets.retries -= cost;
        } else if r.attempts.len() >= 3 && outcome == Outcome::Unsuitable {
            // Several hosts rejected the request: the next attempt waits for the tick.
            return self.hold(id);
        }
        self.dispatch(id);
    }

    /// Dispatches the held requests of a group. Each is sent, held again, or concluded if no attempt can
    /// serve it any more.
    pub(super) fn release_held(&mut self, group: GroupId) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        // The highest worth per microsecond of work first, then the newest: the oldest have too little time
        // left to be served.
        let mut held = std::mem::take(&mut g.held);
        let worth_per_us = |id: &RequestId| {
            self.requests.get(id).map_or(0.0, |r| r.worth(&self.settings) / self.usual_duration(r))
        };
        let arrived = |id: &RequestId| self.requests.get(id).map_or(0, |r| r.arrived);
        held.sort_by(|a, b| worth_per_us(b).total_cmp(&worth_per_us(a)).then(arrived(b).cmp(&arrived(a))));
        for id in held {
            if self.requests.get(&id).is_some_and(|r| !r.closed) {
                self.dispatch(id);
            }
        }
    }
}
