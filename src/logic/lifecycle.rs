//! A request from its arrival to its final answer: attempts, repeats, waiting, refusals.

use super::*;

impl Router {
    /// Whether the rules allow another attempt now.
    pub(super) fn may_send(&self, r: &Request) -> bool {
        if r.closed || r.streaming.is_some() || r.attempts.len() >= self.set.limits.max_attempts {
            return false;
        }
        // Never two at once, even where copies are allowed.
        r.outstanding() == 0 && self.now < self.repeatable_until(r, &r.attempts)
    }

    /// Until when another attempt may begin behind these.
    pub(super) fn repeatable_until(&self, r: &Request, before: &[Attempt]) -> Micros {
        let first = Attempt::may_have_run(before).map(|a| a.sent);
        self.set.classes[r.class].idempotency.repeatable_until(first, r.plain)
    }

    pub(super) fn may_refuse(&self, r: &Request) -> bool {
        let may_have_run = Attempt::may_have_run(&r.attempts).is_some();
        let refusable = invariants::may_refuse(self.set.classes[r.class].idempotency, may_have_run, r.plain);
        refusable || mutants::on("refusals promise anything")
    }

    pub(super) fn arrive(&mut self, a: &RequestInfo, coming: bool) {
        self.budgets.request(self.set.proxy_count);
        if self.set.classes.len() <= usize::from(a.class) {
            return self.out.push(Action::Refuse { id: a.id, retry_in: 0 });
        }
        let (token, class) = (self.brought(a), usize::from(a.class));
        self.seen.plain_until = if a.plain { self.now + PLAIN_FOR } else { self.seen.plain_until };
        let (arrived, lot, beyond) =
            (self.now, self.rng.rand_float(), self.shares.beyond(a.tenant, self.now));
        let r = Request { lot, token, arrived, coming, beyond, ..Request::of(a) };
        if self.requests.insert(a.id, r).is_some() {
            return;
        }
        if self.rng.rand_float() < self.jammed(a.group, class, a.client_retry) {
            self.finish(a.id);
        } else {
            self.dispatch(a.id);
        }
    }

    /// What an attempt at a request usually takes: as told, else as its class shows.
    pub(super) fn usual(&self, r: &Request) -> f64 {
        if r.expected_duration > 0 { r.expected_duration as f64 } else { self.classes[r.class].p50 }
    }

    pub(super) fn dispatch(&mut self, id: RequestId) {
        let Some(mut r) = self.requests.remove(&id) else { return };
        r.token = self.must_see(&r);
        let until = r.sendable_until(&self.set.classes[r.class]);
        // What gets little more than the usual time mostly runs out of it; the next look comes with a tick.
        let quick = (self.usual(&r) * LEAST) as u64;
        let open = self.may_send(&r) && self.now + quick.max(2 * TICK) < until;
        let target = open.then(|| self.route(&r));
        self.requests.insert(id, r);
        match target {
            Some(Some(i)) => self.send(id, i),
            Some(None) => self.hold(id),
            None => self.finish(id),
        }
    }

    pub(super) fn hold(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.held = true;
        let (g, c) = (self.groups.entry(r.group).or_default(), &self.set.classes[r.class]);
        g.held.push(id);
        g.short_at = c.bound().map_or(g.short_at, |_| self.now);
    }

    pub(super) fn send(&mut self, id: RequestId, i: usize) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let until = r.useful_until(&self.set.classes[r.class]);
        let timeout = if until < r.give_up_at { until.saturating_sub(self.now).max(1) } else { 0 };
        r.held = false;
        r.attempts.push(Attempt { host: i, sent: self.now, outcome: None });
        let s = &mut self.hosts[i];
        s.in_flight += u32::from(!r.coming);
        s.count(Q_OLD);
        self.out.push(Action::Send { id, host: s.id, timeout });
        if mutants::on("attempts are ordered twice") {
            self.out.push(Action::Send { id, host: s.id, timeout });
        }
        if self.set.classes[r.class].access == Access::Write
            && self.set.tokens == SessionTokens::TrackedByProxy
        {
            self.sessions.begins(r.session);
        }
    }

    /// The final answer of a request that no attempt can serve any more, at once.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.closed) else { return };
        let c = &self.set.classes[r.class];
        if self.may_refuse(r) {
            // A try after the aim earns little: send those away for long, the others for a while.
            let most = if self.set.limits.retry_after { self.set.limits.max_retry_after } else { 0 };
            let soon = most / 4 + self.rng.rand_range(0..(most / 4).max(1));
            let retry_in =
                if self.now - r.arrived + soon >= c.latency_target { most } else { soon.min(most) };
            self.out.push(Action::Refuse { id, retry_in });
        } else {
            self.out.push(Action::Fail(id));
        }
        self.close(id);
    }

    pub(super) fn close(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.closed = true;
        // Withdraws what is still out; an attempt whose answer has begun is the client's.
        let out = r.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none());
        let cancels = out.filter(|(n, _)| self.set.limits.cancel && r.streaming != Some(*n));
        self.out.extend(cancels.map(|(n, _)| Action::Cancel(id, n as u8)));
        if r.outstanding() == 0 {
            self.requests.remove(&id);
        }
    }

    pub(super) fn returned(&mut self, e: &AttemptResult) {
        let (id, outcome) = (e.id, e.outcome);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(e.attempt)) else { return };
        if a.outcome.is_some() || self.index.get(&e.host) != Some(&a.host) {
            return;
        }
        a.outcome = Some(outcome);
        let i = a.host;
        let (class, session, group, coming, expected_duration) =
            (r.class, r.session, r.group, r.coming, r.expected_duration);
        r.closed |= e.finished;
        let closed = r.closed;
        let access = self.set.classes[class].access;
        let s = &mut self.hosts[i];
        s.in_flight = s.in_flight.saturating_sub(u32::from(!coming));
        s.count(Q_OLD);
        self.connections(i, outcome, e.latency);
        self.evidence(i, class, outcome, e.latency, expected_duration);
        // A member that hands its role over still calls itself primary while it turns writes away: taken for
        // one each time, a held write would spend all its attempts on it within a moment.
        let untrue = outcome == Outcome::Unsuitable && matches!(access, Access::Write | Access::StrongRead);
        self.report(e.host, HostReport { role: e.note.role.filter(|_| !untrue), ..e.note }, true);
        if untrue {
            self.role(i, Role::Replica, self.now, true);
        }
        if (access, self.set.tokens) == (Access::Write, SessionTokens::TrackedByProxy) {
            self.sessions.ends(session, committed_by(e, self.now), self.now);
        }
        let dirty = self.groups.get_mut(&group).is_some_and(|g| {
            g.scout = g.scout.filter(|&s| s != id);
            !g.held.is_empty()
        });
        if closed {
            self.close(id);
        } else {
            self.again(id, outcome, e.latency);
        }
        if dirty {
            self.release(group);
        }
    }

    /// After a failed attempt: another, if the rules allow it and the budget lasts.
    pub(super) fn again(&mut self, id: RequestId, outcome: Outcome, latency: Micros) {
        let Some(r) = self.requests.get(&id) else { return };
        if !outcome.never_ran() {
            // What failed at once cost its server next to nothing, and the next try may serve.
            let quick = latency as f64 / self.usual(r).max(1.0);
            let cost = if matches!(outcome, Outcome::Error | Outcome::Reset) { quick.min(1.0) } else { 1.0 };
            if self.budgets.retries < cost {
                return self.finish(id);
            }
            self.budgets.retries -= cost;
        } else if r.attempts.len() >= 3 && outcome == Outcome::Unsuitable {
            // Turned away all round: the next look is with the tick, not at once.
            return self.hold(id);
        }
        self.dispatch(id);
    }

    /// Held requests go out when they can, and get their final answer once they no longer can.
    pub(super) fn release(&mut self, group: GroupId) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        // Most worth per work first, then the newest: the oldest have too little time left to be served.
        let mut held = std::mem::take(&mut g.held);
        let value =
            |id: &RequestId| self.requests.get(id).map_or(0.0, |r| r.worth(&self.set) / self.usual(r));
        let came = |id: &RequestId| self.requests.get(id).map_or(0, |r| r.arrived);
        held.sort_by(|a, b| value(b).total_cmp(&value(a)).then(came(b).cmp(&came(a))));
        for id in held {
            if self.requests.get(&id).is_some_and(|r| !r.closed) {
                self.dispatch(id);
            }
        }
    }
}
