//! Freshness: the position that a read must see, and whether a host is known to have reached it.
//!
//! Both are asked at each choice of a host, before the first byte of an attempt, and of each answer.

use super::*;

impl Router {
    /// The position that a request carries, as the age of the session's last write; 0 if it carries none.
    pub(super) fn carried_position(&self, a: &RequestInfo) -> Micros {
        let is_carried = self.settings.session_tokens == SessionTokens::FromClient;
        let session_read =
            is_carried && self.settings.classes[usize::from(a.class)].access == Access::SessionRead;
        match a.token_ms {
            // Rounded up by a millisecond. The write before a plain statement was seen by the proxy itself,
            // so a bounded read has to see it too.
            ms if ms > 0.0 && (session_read || a.plain) => self.now.saturating_sub((ms * 1e3) as u64) + 1_000,
            // With an invalid age the read has to see everything up to now.
            ms if ms != 0.0 && session_read => self.now,
            _ => 0,
        }
    }

    /// The position that a read must see if its attempt begins now.
    ///
    /// Only this function answers the question: at each choice of a host, and again before the first byte of
    /// the attempt.
    pub(super) fn required_position(&self, r: &Request) -> Micros {
        let session_read = self.settings.classes[r.class].access == Access::SessionRead && !r.plain;
        let asked_before = r.held || !r.attempts.is_empty();
        match session_read && self.settings.session_tokens == SessionTokens::TrackedByProxy {
            false => r.required_position,
            true if asked_before && mutants::on("sessions are read at arrival") => r.required_position,
            // The answer to an outstanding write may be lost, so that only its host knows the commit. Hosts
            // that check freshness reject such a read themselves.
            true if !self.is_checked_by_host(r) && self.sessions.is_writing(r.session) => PRIMARY_ONLY,
            true => self.sessions.committed(r.session),
        }
    }

    /// The position that a host is assumed to have reached. `plain`: for a plain read.
    ///
    /// Where replicas reject stale reads themselves, a host is assumed to lag as far as when its position was
    /// last received. One of hundreds of proxies hears from a host once in many seconds, and with known
    /// positions alone it would send every bounded read to the primary. A host without a report for long is
    /// assumed to be current, unless it started lately: then it continues from an old copy, and a probe will
    /// show its position.
    pub(super) fn estimated_position(&self, i: usize, plain: bool) -> Micros {
        let s = &self.hosts[i];
        let known = s.position.unwrap_or(0);
        let started_lately = s.started.is_some_and(|at| at + SAMPLE_AGE_US > self.now);
        // No host rejects a plain read for its lag, so only the known position counts.
        if plain
            || self.settings.lag_check == LagCheck::Unchecked
            || (s.position_unknown && started_lately && self.needs_probes_for_positions())
        {
            return known;
        }
        let lag_is_recent =
            s.position_received_at > 0 && s.position_received_at + SAMPLE_AGE_US + 2 * s.lag > self.now;
        known.max(self.now - if lag_is_recent { s.lag.min(self.now) } else { 0 })
    }

    /// Whether hosts report their positions to probes only.
    pub(super) fn needs_probes_for_positions(&self) -> bool {
        self.settings.limits.probes && !self.settings.answers_carry_positions
    }

    /// Whether a host's assumed position is recent enough for a request.
    pub(super) fn is_current_enough(&self, i: usize, r: &Request) -> bool {
        let position = || self.estimated_position(i, r.plain);
        match self.settings.classes[r.class].access {
            Access::AnyRead | Access::Write => true,
            Access::BoundedRead(bound) => {
                position().saturating_add(bound) >= self.now
                    && (!r.plain || position() >= r.required_position)
            }
            Access::SessionRead => position() >= r.required_position,
            Access::StrongRead => false,
        }
    }

    /// Whether hosts themselves reject this read if they lag too far.
    pub(super) fn is_checked_by_host(&self, r: &Request) -> bool {
        self.settings.lag_check != LagCheck::Unchecked && !r.plain
    }

    /// The conditions for the start of a request's latest attempt, asked once its connection is up and before
    /// its first byte goes out.
    ///
    /// Since the host was chosen it may have fallen behind or lost its role, a write of the session may have
    /// begun or ended, and the window for a repetition may have passed.
    pub fn start_conditions(&mut self, now: Micros, id: RequestId) -> RequestStart {
        const OVER: RequestStart =
            RequestStart { open: false, current: false, repeatable_until: 0, forgotten_at: Micros::MAX };
        self.now = self.now.max(now);
        let Some(position) = self.requests.get(&id).map(|r| self.required_position(r)) else { return OVER };
        self.requests.entry(id).and_modify(|r| r.required_position = position);
        let r = &self.requests[&id];
        let Some((latest, before)) = r.attempts.split_last().filter(|_| !r.closed) else { return OVER };
        let to_primary = self.groups.get(&r.group).and_then(|g| g.primary) == Some(latest.host);
        let current = to_primary || self.is_checked_by_host(r) || self.is_current_enough(latest.host, r);
        let idempotency = self.settings.classes[r.class].idempotency;
        let first = Attempt::first_possibly_run(before).map(|a| a.sent);
        let repeatable_until = idempotency.repeatable_until(first, r.plain);
        RequestStart {
            open: true,
            current,
            repeatable_until,
            forgotten_at: idempotency.forgotten_at(first, r.plain),
        }
    }

    /// Whether a request's latest attempt may start, as far as the request alone decides.
    pub fn may_start_attempt(&mut self, now: Micros, id: RequestId) -> bool {
        let request = self.start_conditions(now, id);
        let start =
            AttemptStart { unavailable_for: None, drain_grace: 0, client_disconnected: false, request };
        invariants::may_start(&start, self.now).is_ok()
    }

    /// The outcome of an attempt that was sent at `sent`, if its answer shows that the data are older than
    /// the read allows. Guards against a primary that has handed its role over and doesn't know it yet.
    pub fn stale_outcome(
        &self, id: RequestId, from: HostId, note: &HostReport, sent: Micros,
    ) -> Option<Outcome> {
        let r = self.requests.get(&id).filter(|r| !self.is_checked_by_host(r))?;
        let known = self.host_index.get(&from).and_then(|&i| self.hosts[i].position);
        self.settings.classes[r.class].stale_outcome(note, known, r.required_position, sent)
    }
}
