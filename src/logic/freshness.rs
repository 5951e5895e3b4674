//! What data a read must see, and whether a server is known to have them; asked at each choice, at the first byte and of each
//! answer.

use super::*;

impl Router {
    /// The position that a request brings with it, which its reads must see.
    pub(super) fn brought(&self, a: &RequestInfo) -> Micros {
        let carried = self.set.tokens == SessionTokens::FromClient;
        let session = carried && self.set.classes[usize::from(a.class)].access == Access::SessionRead;
        match a.token_ms {
            // Rounded up by a millisecond. Of a plain statement the proxy itself saw the write: a bounded
            // read is to see it too.
            ms if ms > 0.0 && (session || a.plain) => self.now.saturating_sub((ms * 1e3) as u64) + 1_000,
            // An age that makes no sense asks for the present.
            ms if ms != 0.0 && session => self.now,
            _ => 0,
        }
    }

    /// The position that a read must see if its attempt begins now. Nothing else answers this question: it is
    /// asked at each choice of a server, and again as the attempt's first byte is about to go.
    pub(super) fn must_see(&self, r: &Request) -> Micros {
        let session = self.set.classes[r.class].access == Access::SessionRead && !r.plain;
        let asked_before = r.held || !r.attempts.is_empty();
        match session && self.set.tokens == SessionTokens::TrackedByProxy {
            false => r.token,
            true if asked_before && mutants::on("sessions are read at arrival") => r.token,
            // The answer to a write that is out may be lost, and its commit be known to its server alone.
            // Servers that check turn such a read away themselves.
            true if !self.checked(r) && self.sessions.is_writing(r.session) => PRESENT,
            true => self.sessions.committed(r.session),
        }
    }

    /// The position a server is held to have. Where replicas turn stale reads away themselves, it is as far
    /// behind the clock as when last heard: one of hundreds of routers hears a server once in many seconds,
    /// and known positions alone would send every bounded read to the primary. One unheard for long may try,
    /// but not one that started lately: it goes on from an old copy, and a probe will tell.
    pub(super) fn reached(&self, i: usize, plain: bool) -> Micros {
        let s = &self.hosts[i];
        let known = s.position.unwrap_or(0);
        let lately = s.started.is_some_and(|at| at + LIST_AGE > self.now);
        // Of a plain read no server turns one away: only what is known counts.
        if plain || self.set.lag_check == LagCheck::Unchecked || (s.unheard && lately && self.blind()) {
            return known;
        }
        let trusted = s.heard_at > 0 && s.heard_at + LIST_AGE + 2 * s.lag > self.now;
        known.max(self.now - if trusted { s.lag.min(self.now) } else { 0 })
    }

    /// Whether positions show in probes only.
    pub(super) fn blind(&self) -> bool {
        self.set.limits.probes && !self.set.positions
    }

    /// Whether what a member is known to have applied is recent enough for a request.
    pub(super) fn current_enough(&self, i: usize, r: &Request) -> bool {
        let reached = || self.reached(i, r.plain);
        match self.set.classes[r.class].access {
            Access::AnyRead | Access::Write => true,
            Access::BoundedRead(bound) => {
                reached().saturating_add(bound) >= self.now && (!r.plain || reached() >= r.token)
            }
            Access::SessionRead => reached() >= r.token,
            Access::StrongRead => false,
        }
    }

    /// Whether servers turn a read away themselves for which they are too far behind.
    pub(super) fn checked(&self, r: &Request) -> bool {
        self.set.lag_check != LagCheck::Unchecked && !r.plain
    }

    /// What the start of a request's latest attempt rests on, asked as its connection is up and its first byte is about
    /// to go. Since its server was chosen, that may have fallen behind or lost its role, a write of the session may have
    /// begun or ended, and the window for repeats may be over.
    pub fn start_conditions(&mut self, now: Micros, id: RequestId) -> RequestStart {
        const OVER: RequestStart =
            RequestStart { open: false, current: false, repeatable_until: 0, forgotten_at: Micros::MAX };
        self.now = self.now.max(now);
        let Some(token) = self.requests.get(&id).map(|r| self.must_see(r)) else { return OVER };
        self.requests.entry(id).and_modify(|r| r.token = token);
        let r = &self.requests[&id];
        let Some((latest, before)) = r.attempts.split_last().filter(|_| !r.closed) else { return OVER };
        let primary = self.groups.get(&r.group).and_then(|g| g.primary) == Some(latest.host);
        let current = primary || self.checked(r) || self.current_enough(latest.host, r);
        let idempotency = self.set.classes[r.class].idempotency;
        let first = Attempt::may_have_run(before).map(|a| a.sent);
        let repeatable_until = idempotency.repeatable_until(first, r.plain);
        RequestStart {
            open: true,
            current,
            repeatable_until,
            forgotten_at: idempotency.forgotten_at(first, r.plain),
        }
    }

    /// Whether the latest attempt of a request may begin, as far as the request tells.
    pub fn may_start_attempt(&mut self, now: Micros, id: RequestId) -> bool {
        let request = self.start_conditions(now, id);
        let start =
            AttemptStart { unavailable_for: None, drain_grace: 0, client_disconnected: false, request };
        invariants::may_start(&start, self.now).is_ok()
    }

    /// What an answer to what was sent at this time amounts to where it says itself that it is older than the
    /// read may be. Guards against a primary that handed over and has not said so yet.
    pub fn stale_outcome(
        &self, id: RequestId, from: HostId, note: &HostReport, sent: Micros,
    ) -> Option<Outcome> {
        let r = self.requests.get(&id).filter(|r| !self.checked(r))?;
        let known = self.index.get(&from).and_then(|&i| self.hosts[i].position);
        self.set.classes[r.class].stale_outcome(note, known, r.token, sent)
    }
}
