//! Freshness: the position that a read must see, and whether a host is known to have reached it.
//!
//! Both are asked at each choice of a host, before the first byte of an attempt, and of each answer.

use super::*;

impl Router {
    /// The position that a request carries, as the age of the session's last write; 0 if it carries none.
    pub(super) fn carried_position(&self, info: &RequestInfo) -> Micros {
        let is_carried = self.settings.session_tokens == SessionTokens::FromClient;
        let session_read =
            is_carried && self.settings.classes[usize::from(info.class)].access == Access::SessionRead;
        match info.token_ms {
            // Rounded up by a millisecond. The write before a plain statement was seen by the proxy itself,
            // so a bounded read has to see it too.
            ms if ms > 0.0 && (session_read || info.plain) => {
                self.now.saturating_sub((ms * 1e3) as u64) + 1_000
            }
            // With an invalid age the read has to see everything up to now.
            ms if ms != 0.0 && session_read => self.now,
            _ => 0,
        }
    }

    /// The position that a read must see if its attempt begins now.
    ///
    /// Only this function answers the question: at each choice of a host, and again before the first byte of
    /// the attempt.
    pub(super) fn required_position(&self, request: &Request) -> Micros {
        let session_read =
            self.settings.classes[request.class].access == Access::SessionRead && !request.plain;
        let asked_before = request.held || !request.attempts.is_empty();
        match session_read && self.settings.session_tokens == SessionTokens::TrackedByProxy {
            false => request.required_position,
            true if asked_before && mutants::on("sessions are read at arrival") => request.required_position,
            // The answer to an outstanding write may be lost, so that only its host knows the commit. Hosts
            // that check freshness reject such a read themselves.
            true if !self.is_checked_by_host(request) && self.sessions.is_writing(request.session) => {
                PRIMARY_ONLY
            }
            true => self.sessions.committed(request.session),
        }
    }

    /// The position that a host is assumed to have reached. `plain`: for a plain read.
    ///
    /// Where replicas reject stale reads themselves, a host is assumed to lag as far as when its position was
    /// last received. One of hundreds of proxies hears from a host once in many seconds, and with known
    /// positions alone it would send every bounded read to the primary. A host without a report for long is
    /// assumed to be current, unless it started lately: then it continues from an old copy, and a probe will
    /// show its position.
    pub(super) fn estimated_position(&self, index: usize, plain: bool) -> Micros {
        let host = &self.hosts[index];
        let known = host.position.unwrap_or(0);
        let started_lately = host.started.is_some_and(|at| at + SAMPLE_AGE_US > self.now);
        // No host rejects a plain read for its lag, so only the known position counts.
        if plain
            || self.settings.lag_check == LagCheck::Unchecked
            || (host.position_unknown && started_lately && self.needs_probes_for_positions())
        {
            return known;
        }
        let lag_is_recent = host.position_received_at > 0
            && host.position_received_at + SAMPLE_AGE_US + 2 * host.lag > self.now;
        known.max(self.now - if lag_is_recent { host.lag.min(self.now) } else { 0 })
    }

    /// Whether hosts report their positions to probes only.
    pub(super) fn needs_probes_for_positions(&self) -> bool {
        self.settings.limits.probes && !self.settings.answers_carry_positions
    }

    /// Whether a host's assumed position is recent enough for a request.
    pub(super) fn is_current_enough(&self, index: usize, request: &Request) -> bool {
        let position = || self.estimated_position(index, request.plain);
        match self.settings.classes[request.class].access {
            Access::AnyRead | Access::Write => true,
            Access::BoundedRead(bound) => {
                position().saturating_add(bound) >= self.now
                    && (!request.plain || position() >= request.required_position)
            }
            Access::SessionRead => position() >= request.required_position,
            Access::StrongRead => false,
        }
    }

    /// Whether hosts themselves reject this read if they lag too far.
    pub(super) fn is_checked_by_host(&self, request: &Request) -> bool {
        self.settings.lag_check != LagCheck::Unchecked && !request.plain
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
        let Some(position) = self.requests.get(&id).map(|request| self.required_position(request)) else {
            return OVER;
        };
        self.requests.entry(id).and_modify(|request| request.required_position = position);
        let request = &self.requests[&id];
        let Some((latest, before)) = request.attempts.split_last().filter(|_| !request.closed) else {
            return OVER;
        };
        let to_primary = self.groups.get(&request.group).and_then(|group| group.primary) == Some(latest.host);
        let current =
            to_primary || self.is_checked_by_host(request) || self.is_current_enough(latest.host, request);
        let idempotency = self.settings.classes[request.class].idempotency_of(request.plain);
        let first = Attempt::first_possibly_run(before).map(|a| a.sent);
        let repeatable_until = idempotency.repeatable_until(first, request.plain);
        RequestStart {
            open: true,
            current,
            repeatable_until,
            forgotten_at: idempotency.forgotten_at(first, request.plain),
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
        let request = self.requests.get(&id).filter(|request| !self.is_checked_by_host(request))?;
        let known = self.host_index.get(&from).and_then(|&index| self.hosts[index].position);
        self.settings.classes[request.class].stale_outcome(note, known, request.required_position, sent)
    }
}
