//! The life cycle of a request, from its arrival to its final answer: attempts, retries and refusals.
//!
//! `choose_host` chooses the host of an attempt, and `invariants.rs` decides whether a retry or a refusal is
//! allowed. Nothing here may send a second attempt of a request while another is outstanding.

use super::*;

impl Router {
    /// Whether another attempt of a request is allowed now.
    pub(super) fn may_send(&self, request: &Request) -> bool {
        if request.closed
            || request.streaming.is_some()
            || request.attempts.len() >= self.settings.limits.max_attempts
        {
            return false;
        }
        // Never two attempts at once, even where the deployment permits hedging.
        request.outstanding() == 0 && self.now < self.repeatable_until(request, &request.attempts)
    }

    /// Until when another attempt may begin after the attempts in `before`.
    pub(super) fn repeatable_until(&self, request: &Request, before: &[Attempt]) -> Micros {
        let first = Attempt::first_possibly_run(before).map(|a| a.sent);
        let idempotency = self.settings.classes[request.class].idempotency_of(request.plain);
        idempotency.repeatable_until(first, request.plain)
    }

    /// Whether the client may be told that a further try is harmless.
    pub(super) fn may_refuse(&self, request: &Request) -> bool {
        let may_have_run = Attempt::first_possibly_run(&request.attempts).is_some();
        let refusable = invariants::may_refuse(
            self.settings.classes[request.class].idempotency_of(request.plain),
            may_have_run,
            request.plain,
        );
        refusable || mutants::on("refusals promise anything")
    }

    /// Handles a request that arrived: refuses it under overload, or else sends or holds it.
    /// `is_incomplete`: its last bytes have not arrived.
    pub(super) fn admit(&mut self, info: &RequestInfo, is_incomplete: bool) {
        self.budgets.credit_request(self.settings.proxy_count);
        if self.settings.classes.len() <= usize::from(info.class) {
            return self.actions.push(Action::Refuse { id: info.id, retry_in: 0 });
        }
        let required_position = self.carried_position(info);
        let class = usize::from(info.class);
        self.observed.plain_until =
            if info.plain { self.now + PLAIN_ACTIVE_US } else { self.observed.plain_until };
        let arrived = self.now;
        let draw = self.rng.rand_float();
        let over_quota = self.tenant_quotas.exceeds_quota(info.tenant, self.now);
        let request = Request {
            draw,
            required_position,
            arrived,
            is_incomplete,
            over_quota,
            ..Request::from_info(info)
        };
        if self.requests.insert(info.id, request).is_some() {
            return;
        }
        if self.rng.rand_float() < self.refusal_share(info.group, class, info.client_retry) {
            self.conclude(info.id);
        } else {
            self.dispatch(info.id);
        }
    }

    /// The usual duration of an attempt in microseconds: as the request expects, else the median of its
    /// class.
    pub(super) fn usual_duration(&self, request: &Request) -> f64 {
        if request.expected_duration > 0 {
            request.expected_duration as f64
        } else {
            self.classes[request.class].p50
        }
    }

    /// Until when an attempt of a request may start. One with little more than the usual duration left mostly
    /// times out. A held request is looked at again with the next tick, so two ticks are the least.
    pub(super) fn last_start(&self, request: &Request) -> Micros {
        let until = request.sendable_until(&self.settings.classes[request.class]);
        let min_left = (self.usual_duration(request) * MIN_TIME_LEFT_RATIO) as u64;
        until.saturating_sub(min_left.max(2 * TICK_US))
    }

    /// Sends a request to a host, holds it if no host can take it now, or concludes it if no attempt can
    /// serve it any more.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        request.required_position = self.required_position(&request);
        let open = self.may_send(&request) && self.now < self.last_start(&request);
        let target = open.then(|| self.choose_host(&request));
        self.requests.insert(id, request);
        match target {
            Some(Some(index)) => self.send(id, index),
            Some(None) => self.hold(id),
            None => self.conclude(id),
        }
    }

    /// Sends an attempt of a request to a host.
    pub(super) fn send(&mut self, id: RequestId, index: usize) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let until = request.useful_until(&self.settings.classes[request.class]);
        let timeout = if until < request.give_up_at { until.saturating_sub(self.now).max(1) } else { 0 };
        request.held = false;
        request.attempts.push(Attempt { host: index, sent: self.now, outcome: None });
        let host = &mut self.hosts[index];
        host.in_flight += u32::from(!request.is_incomplete);
        host.update_in_flight_average(IN_FLIGHT_OLD_WEIGHT);
        self.actions.push(Action::Send { id, host: host.id, timeout });
        if mutants::on("attempts are ordered twice") {
            self.actions.push(Action::Send { id, host: host.id, timeout });
        }
        if self.settings.classes[request.class].access == Access::Write
            && self.settings.session_tokens == SessionTokens::TrackedByProxy
        {
            self.sessions.write_begins(request.session);
        }
    }

    /// Gives the final answer of a request that no attempt can serve any more: a refusal if a further try is
    /// harmless, else a failure.
    pub(super) fn conclude(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.closed) else { return };
        let class = &self.settings.classes[request.class];
        if self.may_refuse(request) {
            // A client retry after the latency target earns little: such a client is to wait for the longest
            // time, the others for a random short one.
            let longest =
                if self.settings.limits.retry_after { self.settings.limits.max_retry_after } else { 0 };
            let short = longest / 4 + self.rng.rand_range(0..(longest / 4).max(1));
            let retry_in = if self.now - request.arrived + short >= class.latency_target {
                longest
            } else {
                short.min(longest)
            };
            self.actions.push(Action::Refuse { id, retry_in });
        } else {
            self.actions.push(Action::Fail(id));
        }
        self.close(id);
    }

    /// Closes a request that has its final answer or whose client disconnected.
    pub(super) fn close(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.closed = true;
        // Cancels outstanding attempts, except one whose answer has begun to stream to the client.
        let outstanding = request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        let cancels = outstanding
            .filter(|(number, _)| self.settings.limits.cancel && request.streaming != Some(*number));
        self.actions.extend(cancels.map(|(number, _)| Action::Cancel(id, number as u8)));
        if request.outstanding() == 0 {
            self.requests.remove(&id);
        }
    }

    /// Handles the end of an attempt: records what it shows of its host, takes the request's next step, and
    /// releases the held requests of the group.
    pub(super) fn attempt_ended(&mut self, result: &AttemptResult) {
        let (id, outcome) = (result.id, result.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(usize::from(result.attempt)) else { return };
        if attempt.outcome.is_some() || self.host_index.get(&result.host) != Some(&attempt.host) {
            return;
        }
        attempt.outcome = Some(outcome);
        let index = attempt.host;
        let (class, session, group_id) = (request.class, request.session, request.group);
        let is_incomplete = request.is_incomplete;
        let expected_duration = request.expected_duration;
        request.closed |= result.finished;
        let closed = request.closed;
        let access = self.settings.classes[class].access;
        let host = &mut self.hosts[index];
        host.in_flight = host.in_flight.saturating_sub(u32::from(!is_incomplete));
        host.update_in_flight_average(IN_FLIGHT_OLD_WEIGHT);
        self.track_connections(index, outcome, result.latency);
        self.record_outcome(index, class, outcome, result.latency, expected_duration);
        // A member that hands its role over still claims to be the primary while it rejects writes. If the
        // claim were believed each time, a held write would spend all its attempts on that member in a
        // moment.
        let claim_is_false =
            outcome == Outcome::Unsuitable && matches!(access, Access::Write | Access::StrongRead);
        let role = result.note.role.filter(|_| !claim_is_false);
        self.apply_report(result.host, HostReport { role, ..result.note }, true);
        if claim_is_false {
            self.apply_role(index, Role::Replica, self.now, true);
        }
        if (access, self.settings.session_tokens) == (Access::Write, SessionTokens::TrackedByProxy) {
            self.sessions.write_ends(session, committed_by(result, self.now), self.now);
        }
        let group_holds_requests = self.groups.get_mut(&group_id).is_some_and(|group| {
            group.search_request = group.search_request.filter(|&searcher| searcher != id);
            !group.held.is_empty()
        });
        if closed {
            self.close(id);
        } else {
            self.retry(id, outcome, result.latency);
        }
        if group_holds_requests {
            self.release_some_held(group_id);
        }
    }

    /// After a failed attempt: dispatches the request again if the budget of retries lasts, else concludes
    /// it.
    pub(super) fn retry(&mut self, id: RequestId, outcome: Outcome, latency: Micros) {
        let Some(request) = self.requests.get(&id) else { return };
        if !outcome.never_ran() {
            // An attempt that failed at once cost its host next to nothing, and the next one may serve.
            let spent = latency as f64 / self.usual_duration(request).max(1.0);
            let cost = if matches!(outcome, Outcome::Error | Outcome::Reset) { spent.min(1.0) } else { 1.0 };
            if self.budgets.retries < cost {
                return self.conclude(id);
            }
            self.budgets.retries -= cost;
        } else if request.attempts.len() >= 3 && outcome == Outcome::Unsuitable {
            // Several hosts rejected the request: the next attempt waits for the tick.
            return self.hold(id);
        }
        self.dispatch(id);
    }
}
