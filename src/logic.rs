//! Every decision of the router. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Ordinary path: each eligible replica is scored by tail-adjusted latency x (own in-flight + 1,
//! averaged) cubed + wait, and a read goes to a random one within 20% of the lowest score.
//! What departs from that, and when, is listed in `docs/design.md`.

use crate::api::*;
use crate::invariants::{self, RequestStart, Start};
use crate::mutants;
use crate::sessions::{PRESENT, Sessions, committed_by};
pub use crate::state::tail_adjusted;
use crate::state::*;
use oorandom::Rand64;
use std::collections::BTreeMap;

// ---- Tunables. Times in microseconds, shares as fractions. ----

/// p99 at or over this multiple of p90 marks a tail worth clamping (thesis: 2).
pub const ALPHA: f64 = 2.0;
/// A read goes to a random replica within this multiple of the lowest score.
const NEAR: f64 = 1.2;
/// Weight of the old value in the in-flight average: in-flight is exact, so it is followed closely.
const Q_OLD: f64 = 0.3;
/// Weight of the old value in the other averages.
const OLD: f64 = 0.9;
/// Latencies kept per replica, and how long one counts: short, so that a recovery shows soon.
const LIST_LEN: usize = 40;
const LIST_AGE: Micros = 5_000_000;
/// Latencies kept per class, and the weight of the old value in its mean.
const CLASS_OLD: f64 = 0.98;
const CLASS_LEN: usize = 128;
/// Step of the percentiles, probes, news to peers and rounds through the members.
const PERIOD: Micros = 100_000;
/// Time-driven decisions are looked at this often.
const TICK: Micros = 10_000;
/// Latency of a replica when nobody in its group has a sample.
const L_DEFAULT: f64 = 10_000.0;
/// The primary competes for reads that replicas can serve at this multiple of its score.
const PRIMARY_HANDICAP: f64 = 2.0;
/// A replica in another zone competes at this multiple of its score, where crossings cost.
const ABROAD: f64 = 1.5;
/// A read of any data is long if the mean read is under this share of it; each further replica, in id
/// order, competes for those at this multiple of the one before.
const LONG: f64 = 0.5;
const GATHER: f64 = 16.0;
/// A replica known outside the bound is probed at most this often.
const PROBE_GAP: Micros = 500_000;
/// An error share of one multiplies a replica's score by this + 1; the share halves in so long, so that it
/// is tried again. What one error adds: few servers fail now and then, those that do fail most.
const ERROR_POINTS: f64 = 10.0;
const ERROR_HALF: f64 = 4_000_000.0;
const ERROR_ADDS: f64 = 0.3;
/// First ejection, and first wait after a failed subscription; doubled with each repeat, so often at most.
const BACKOFF: Micros = 500_000;
const DOUBLINGS: u32 = 3;
/// Attempts a router may have outstanding at a server it knows nothing of.
const LIMIT: f64 = 4.0;
/// An answer over this share of its aim is late; over the second share of late ones the limit is cut
/// to the third figure, not more often than the fourth.
const LATE_AT: f64 = 0.5;
const LATE_SHARE: f64 = 0.10;
const CUT: f64 = 0.5;
/// A wait over so many times the usual one is none for want of room, where what was sent later was answered.
const LOST: f64 = 10.0;
/// So many routers each see much. Their limits go down to one, those of more to a fraction of one: a pause.
const FEW: f64 = 8.0;
/// What many routers do beside, each as far as it sees too little (`blur`): a server's latency is weighed
/// with so many samples of the mean, and one whose last word was no answer competes at this multiple.
const LEAN: f64 = 2.0;
const UNPROVEN: f64 = 8.0;
/// Of reads, so many times what comes to nothing beyond this share is refused, at most the third figure, less
/// if fewer than the fourth of those served are slow; so many attempts more count as good. A group's part is
/// learnt over longer, by so many events from others.
const JAM_OVER: f64 = 0.15;
const JAM_GAIN: f64 = 5.0;
const JAM_MOST: f64 = 0.7;
const JAM_SLOW: f64 = 0.2;
const JAM_HALF: f64 = 1_000_000.0;
const JAM_FEW: f64 = 4.0;
const GROUP_HALF: f64 = 15_000_000.0;
const GROUP_FEW: f64 = 0.25;
const GROUP_AS_ALL: f64 = 2.0;
const CUT_GAP: Micros = 200_000;
/// A request is sent only with so many times its class's usual time left.
const LEAST: f64 = 1.5;
/// Of its share of the work a cold server gets this part.
const SLOT: f64 = 0.9;
/// The same among many routers, each of which sees too little to notice in time that the warm ones are full;
/// and the share of the multiple that tips one over that it may get at most.
const SLOT_MANY: f64 = 1.1;
const TIP_MANY: f64 = 0.6;
/// A cold server competes at this multiple of its score for the lots it is open to: they are its whole
/// share, and one lost to a warm server is not made up for.
const OWN_LOT: f64 = 0.25;
/// A server that was full is left alone for this long.
const FULL_GAP: Micros = 30_000;
/// Over this share of attempts refused within so long, connections are scarce. A full table refuses within a
/// round trip; a slow handshake ends in a dial time-out. Weight of the old value in that share.
const SCARCE: f64 = 0.2;
const REFUSED: Micros = 50_000;
const SCARCE_OLD: f64 = 0.95;
/// So many servers of a zone without an answer, more where a router sees more (`blur`), and none from the
/// zone between: it is held to be lost for so long after the last. One of hundreds sees too little of each.
const ZONE_SILENT: f64 = 2.7;
const ZONE_LOST_FOR: Micros = 4_000_000;
/// Known positions are kept fresh for so long after a plain request.
const PLAIN_FOR: Micros = 5_000_000;
/// While a bounded read was held so lately, members inside the bound are left to such.
const SHORT_FOR: Micros = 300_000;

/// The cubic score.
pub fn score(latency: f64, q: f64, wait: f64) -> f64 {
    q * q * q * latency + wait
}

/// The decision module of one router.
pub struct Router {
    set: Settings,
    now: Micros,
    out: Vec<Action>,
    rng: Rand64,
    index: BTreeMap<ServerId, usize>,
    servers: Vec<Server>,
    groups: BTreeMap<GroupId, Group>,
    classes: Vec<ClassState>,
    requests: BTreeMap<RequestId, Request>,
    sessions: Sessions,
    shares: Shares,
    /// The tightest bound of any class.
    tightest: Micros,
    /// Servers that operators leave out, and since when; no news of the list touches it.
    out_by_hand: BTreeMap<ServerId, Micros>,
    budgets: Budgets,
    seen: Observed,
    due: Due,
}

impl Router {
    /// A router that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Router {
        let class = |c: &Class| ClassState::expecting(c.aim as f64 / 4.0);
        Router {
            classes: settings.classes.iter().map(class).collect(),
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            out: Vec::new(),
            index: BTreeMap::new(),
            servers: Vec::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            sessions: Sessions::default(),
            shares: Shares::new(&settings.quotas, settings.routers),
            tightest: settings.classes.iter().filter_map(Class::bound).min().unwrap_or(Micros::MAX),
            out_by_hand: BTreeMap::new(),
            budgets: Budgets::new(),
            seen: Observed::default(),
            due: Due::default(),
            set: settings,
        }
    }

    /// Takes the events of one moment in order and appends what to do.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // After an idle spell nothing is counted any more.
        if self.now > self.due.tick + TICK {
            self.servers.iter_mut().for_each(|s| s.q = f64::from(s.in_flight) + 1.0);
        }
        if self.due.tick == 0 && self.set.list_mode == ListMode::OnRequest {
            self.due.ask = Some(self.now + self.rng.rand_range(0..200_000));
        }
        for event in events {
            match event {
                Event::Request(a) => self.arrive(a, false),
                Event::Coming(a) => self.arrive(a, true),
                Event::Whole(id, at) => whole(&mut self.servers, &mut self.requests, *id, *at, self.now),
                Event::Outcome(r) => {
                    self.returned(r);
                    self.report(r.server, r.report, false);
                }
                Event::ClientGone(id) => self.close(*id),
                Event::Streaming(id, attempt) => {
                    self.requests.entry(*id).and_modify(|r| r.streaming = Some(usize::from(*attempt)));
                }
                Event::Probed { server, ok, report } => {
                    self.index.get(server).copied().into_iter().for_each(|i| self.answered(i, *ok));
                    self.report(*server, if *ok { *report } else { Report::default() }, false);
                }
                Event::Noted { server, note } => self.report(*server, *note, true),
                Event::Sessions(news) => self.sessions.hear(*news, self.now),
                Event::Timer(_) => {}
                Event::ByHand { server, out, since } => self.by_hand(*server, *out, *since),
                Event::Peer { from, news } => {
                    let (servers, groups, index) = (&mut self.servers, &mut self.groups, &self.index);
                    take_news(servers, groups, index, &mut self.shares, (*from, news), self.now, PROBE_GAP);
                }
                Event::List { kind, entries } => self.list(*kind, entries),
            }
        }
        if self.now >= self.due.tick {
            self.due.tick = self.now + TICK;
            self.tick();
        }
        // An idle router wakes for nothing but the list.
        let next = if self.requests.is_empty() { self.due.ask } else { Some(self.due.tick) };
        if let Some(at) = next.filter(|&at| self.due.timer <= self.now || at < self.due.timer) {
            self.due.timer = at;
            self.out.push(Action::Timer { at, mark: 0 });
        }
        out.append(&mut self.out);
    }

    /// The position that a request brings with it, which its reads must see.
    fn brought(&self, a: &Arrival) -> Micros {
        let carried = self.set.tokens == Tokens::Carried;
        let session = carried && self.set.classes[usize::from(a.class)].need == Need::Session;
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
    fn must_see(&self, r: &Request) -> Micros {
        let session = self.set.classes[r.class].need == Need::Session && !r.plain;
        let asked_before = r.held || !r.attempts.is_empty();
        match session && self.set.tokens == Tokens::Remembered {
            false => r.token,
            true if asked_before && mutants::on("sessions are read at arrival") => r.token,
            // The answer to a write that is out may be lost, and its commit be known to its server alone.
            // Servers that check turn such a read away themselves.
            true if !self.checked(r) && self.sessions.is_writing(r.session) => PRESENT,
            true => self.sessions.committed(r.session),
        }
    }

    /// How much of what the servers do a router does not see: nothing where few routers are, else most.
    fn blur(&self) -> f64 {
        (1.0 - FEW / f64::from(self.set.routers.max(1))).max(0.0)
    }

    /// Whether a server may be tried as any other: its zone is not lost, or it started since.
    fn healthy(&self, i: usize) -> bool {
        let s = &self.servers[i];
        s.healthy(self.now) && !self.seen.zones.is_lost(s.zone, s.listed_start, self.now)
    }

    /// A server answered, or left something unanswered for its whole time.
    fn answered(&mut self, i: usize, answer: bool) {
        let (zone, s) = (self.servers[i].zone, &mut self.servers[i]);
        (s.silent_at, s.proven) = (if answer { 0 } else { self.now }, answer);
        if answer {
            return self.seen.zones.answered(zone, self.now);
        }
        let heard = self.seen.zones.last_answer(zone);
        let silent = self.servers.iter().filter(|s| s.zone == zone && s.silent_at > heard).count();
        if silent as f64 * self.blur() >= ZONE_SILENT {
            self.seen.zones.lost(zone, self.now, self.now + ZONE_LOST_FOR);
        }
    }

    /// Whether the list lets this router send to a server.
    fn sendable(&self, i: usize, primary_work: bool) -> bool {
        let s = &self.servers[i];
        // Until a successor is known writes may still go there, well inside the grace.
        let spared = |told: Micros| primary_work && self.now - told < self.set.safety.drain_grace / 2;
        match s.listed {
            _ if self.out_since(s.id).is_some_and(|since| !spared(since.min(self.now))) => false,
            Listed::Ready => true,
            Listed::Draining => spared(s.told_at),
            Listed::Gone => self.set.safety.only_draining_binds && !s.seen_draining,
        }
    }

    /// How many servers are listed, and how many of them get nothing, or only one attempt to see.
    pub fn hosts(&self) -> (usize, usize) {
        count(&self.servers, |s| self.out_since(s.id).is_some())
    }

    /// Since when operators leave a server out, if they do.
    pub fn out_since(&self, server: ServerId) -> Option<Micros> {
        self.out_by_hand.get(&server).copied()
    }

    /// The rule on drains binds from the first call out until the call back; then the server is cold.
    fn by_hand(&mut self, server: ServerId, out: bool, since: Micros) {
        // Another process may have given the order by a clock that is ahead.
        let since = since.min(self.now);
        if out {
            self.out_by_hand.entry(server).or_insert(since);
            self.out.push(Action::CloseIdle(server));
            return;
        }
        let out = self.out_by_hand.remove(&server);
        let Some(s) = self.index.get(&server).map(|&i| &mut self.servers[i]) else { return };
        s.used_again(out, since, LIMIT, self.now.saturating_sub(self.set.safety.cold));
    }

    /// Slow start without sight of the other routers: each request drew a lot, and a cold server is open to
    /// the lots of its own slot, as wide as its present share of what the members can do, but not so wide
    /// that little more tips it over. All routers together send it no more; further attempts go elsewhere.
    fn lets_in(&self, i: usize, r: &Request, primary_work: bool) -> bool {
        let Some(share) = self.servers[i].cold_share(self.now, &self.set.safety) else { return true };
        let tip = self.set.safety.tip_multiple / 2.0;
        let Some(g) = self.groups.get(&self.servers[i].group) else { return false };
        if primary_work {
            // What all routers held in an election must not arrive at once: let in by and by.
            let since = self.now.saturating_sub(g.found_at) as f64;
            let ramp = since / (self.set.safety.overload_for.max(1) as f64 * 2.0);
            return r.lot < share * tip.max(1.0) * ramp.min(1.0);
        }
        // Members lost within this while count too, but for those that new ones replace: a lone cold one
        // must not take the whole group's work.
        let before = |s: &&Server| {
            let lost = s.told_at.saturating_add(self.set.safety.cold) > self.now;
            s.joined.saturating_add(self.set.safety.cold) <= self.now && (s.listed == Listed::Ready || lost)
        };
        let before = g.members.iter().map(|&m| &self.servers[m]).filter(before).count();
        let open: Vec<usize> =
            g.members.iter().copied().filter(|&m| self.servers[m].listed == Listed::Ready).collect();
        let slots = open.len().max(before) as f64;
        let slot = open.iter().position(|&m| m == i).unwrap_or(0) as f64;
        // From the top: a new primary takes the low lots.
        let place = (1.0 - r.lot) * slots - slot;
        let able = |&m: &usize| self.servers[m].cold_share(self.now, &self.set.safety).unwrap_or(1.0);
        let able: f64 = open.iter().filter(|&&m| self.sendable(m, false)).map(able).sum();
        let part = slots / able.max(share);
        let most = self.set.safety.tip_multiple * TIP_MANY;
        let part = averaged(part.min(tip) * SLOT, (part * SLOT_MANY).min(most), 1.0 - self.blur());
        r.attempts.is_empty() && (0.0..share * part).contains(&place)
    }

    /// The position a server is held to have. Where replicas turn stale reads away themselves, it is as far
    /// behind the clock as when last heard: one of hundreds of routers hears a server once in many seconds,
    /// and known positions alone would send every bounded read to the primary. One unheard for long may try,
    /// but not one that started lately: it goes on from an old copy, and a probe will tell.
    fn reached(&self, i: usize, plain: bool) -> Micros {
        let s = &self.servers[i];
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
    fn blind(&self) -> bool {
        self.set.limits.probes && !self.set.positions
    }

    /// Whether what a member is known to have applied is recent enough for a request.
    fn current_enough(&self, i: usize, r: &Request) -> bool {
        let reached = || self.reached(i, r.plain);
        match self.set.classes[r.class].need {
            Need::Any | Need::Write => true,
            Need::Bounded(bound) => {
                reached().saturating_add(bound) >= self.now && (!r.plain || reached() >= r.token)
            }
            Need::Session => reached() >= r.token,
            Need::Fresh => false,
        }
    }

    /// Whether servers turn a read away themselves for which they are too far behind.
    fn checked(&self, r: &Request) -> bool {
        self.set.lag_check != LagCheck::Unchecked && !r.plain
    }

    /// What the start of a request's latest attempt rests on, asked as its connection is up and its first byte is about
    /// to go. Since its server was chosen, that may have fallen behind or lost its role, a write of the session may have
    /// begun or ended, and the window for repeats may be over.
    pub fn starts(&mut self, now: Micros, id: RequestId) -> RequestStart {
        const OVER: RequestStart =
            RequestStart { open: false, current: false, repeatable_until: 0, forgotten_at: Micros::MAX };
        self.now = self.now.max(now);
        let Some(token) = self.requests.get(&id).map(|r| self.must_see(r)) else { return OVER };
        self.requests.entry(id).and_modify(|r| r.token = token);
        let r = &self.requests[&id];
        let Some((latest, before)) = r.attempts.split_last().filter(|_| !r.closed) else { return OVER };
        let primary = self.groups.get(&r.group).and_then(|g| g.primary) == Some(latest.server);
        let current = primary || self.checked(r) || self.current_enough(latest.server, r);
        let effect = self.set.classes[r.class].effect;
        let first = Attempt::may_have_run(before).map(|a| a.sent);
        let repeatable_until = effect.repeatable_until(first, r.plain);
        RequestStart {
            open: true,
            current,
            repeatable_until,
            forgotten_at: effect.forgotten_at(first, r.plain),
        }
    }

    /// Whether the latest attempt of a request may begin, as far as the request tells.
    pub fn may_begin(&mut self, now: Micros, id: RequestId) -> bool {
        let request = self.starts(now, id);
        let start = Start { off_for: None, drain_grace: 0, client_left: false, request };
        invariants::may_start(&start, self.now).is_ok()
    }

    /// What an answer to what was sent at this time amounts to where it says itself that it is older than the
    /// read may be. Guards against a primary that handed over and has not said so yet.
    pub fn stale_outcome(
        &self, id: RequestId, from: ServerId, note: &Report, sent: Micros,
    ) -> Option<Outcome> {
        let r = self.requests.get(&id).filter(|r| !self.checked(r))?;
        let known = self.index.get(&from).and_then(|&i| self.servers[i].position);
        self.set.classes[r.class].stale_outcome(note, known, r.token, sent)
    }

    /// Where to send a request now; `None` where it has to wait.
    fn route(&mut self, r: &Request) -> Option<usize> {
        let group = self.groups.get(&r.group)?;
        let need = self.set.classes[r.class].need;
        let primary = group.primary;
        if matches!(need, Need::Write | Need::Fresh) {
            let i = primary?;
            let open = self.sendable(i, true) && self.healthy(i);
            return (open && self.servers[i].has_room(self.now) && self.lets_in(i, r, true)).then_some(i);
        }
        // One sample says little: a host passes for fast or slow only as far as this router has seen it so.
        let (blur, usual) = (self.blur(), (self.seen.mean, LEAN * self.blur()));
        let lowest = group.members.iter().filter_map(|&i| self.servers[i].weighed(usual));
        let lowest = lowest.min_by(f64::total_cmp).unwrap_or(L_DEFAULT);
        let long = need == Need::Any && self.is_long(r.class);
        let short = need == Need::Any && group.short_at + SHORT_FOR > self.now && !r.plain;
        let mut rank = 0;
        // (tier, score): the lowest tier that has a member decides.
        let mut options: Vec<(u32, f64, usize, bool)> = Vec::new();
        for &i in &group.members {
            let s = &self.servers[i];
            if !self.sendable(i, false) || !self.lets_in(i, r, false) {
                continue;
            }
            let behind = self.now.saturating_sub(self.reached(i, false));
            let latency = s.weighed(usual).unwrap_or(lowest).max(s.pending);
            let errors = s.errors(self.now, ERROR_HALF);
            let mut points = score(latency, s.q, s.wait) * (1.0 + ERROR_POINTS * errors);
            points *= if self.set.crossings_cost && s.zone != self.set.zone { ABROAD } else { 1.0 };
            // Where each router tries each server, that is hundreds of handshakes for each, and as many
            // time-outs for one that is bad: stay with what serves, first drawn by lot.
            points *= match s.cold_share(self.now, &self.set.safety) {
                Some(_) => OWN_LOT,
                None if s.proven => 1.0,
                None => 1.0 + (UNPROVEN - 1.0) * blur,
            };
            // What any member serves leaves those inside the bound to reads that need one, while such wait.
            let mut tier = u32::from(short && (primary == Some(i) || behind <= self.tightest));
            if primary == Some(i) {
                points *= if long { GATHER.powi(4) } else { PRIMARY_HANDICAP };
            } else if long {
                // It may hold up the log. It gathers where data is old already, and at every router on the
                // same replica by id, so that the others stay current.
                points *= GATHER.powi(rank.min(3)) / (behind.max(TICK) as f64).powi(2);
                rank += 1;
            } else if !self.current_enough(i, r) {
                // Where replicas check, the most advanced first; elsewhere the data would be stale.
                if !self.checked(r) {
                    continue;
                }
                points = behind as f64;
                tier = 2;
            }
            tier += if self.healthy(i) { 0 } else { 3 };
            tier += if r.attempts.iter().any(|a| a.server == i) { 6 } else { 0 };
            options.push((tier, points, i, self.servers[i].has_room(self.now)));
        }
        let tier = options.iter().map(|o| o.0).min()?;
        // A full tier is waited for: the next one would only turn the read away.
        options.retain(|o| o.0 == tier && o.3);
        let best = options.iter().map(|o| o.1).min_by(f64::total_cmp)?;
        options.retain(|o| o.1 <= best * NEAR);
        let n = self.rng.rand_range(0..options.len() as u64) as usize;
        Some(options[n].2)
    }

    /// Whether a class is long beside the others: by its work, before any was seen by its aim.
    fn is_long(&self, class: usize) -> bool {
        let (c, aim) = (&self.classes[class], self.set.classes[class].aim as f64);
        let least = self.set.classes.iter().map(|c| c.aim).min().unwrap_or(0) as f64;
        if c.mean > 0.0 { self.scale(class, 0) < LONG } else { least < aim * LONG / 2.0 }
    }

    // ---- Request lifecycle ----

    /// Whether the rules allow another attempt now.
    fn may_send(&self, r: &Request) -> bool {
        if r.closed || r.streaming.is_some() || r.attempts.len() >= self.set.limits.max_attempts {
            return false;
        }
        // Never two at once, even where copies are allowed.
        r.outstanding() == 0 && self.now < self.repeatable_until(r, &r.attempts)
    }

    /// Until when another attempt may begin behind these.
    fn repeatable_until(&self, r: &Request, before: &[Attempt]) -> Micros {
        let first = Attempt::may_have_run(before).map(|a| a.sent);
        self.set.classes[r.class].effect.repeatable_until(first, r.plain)
    }

    fn may_refuse(&self, r: &Request) -> bool {
        let may_have_run = Attempt::may_have_run(&r.attempts).is_some();
        let refusable = invariants::may_refuse(self.set.classes[r.class].effect, may_have_run, r.plain);
        refusable || mutants::on("refusals promise anything")
    }

    fn arrive(&mut self, a: &Arrival, coming: bool) {
        self.budgets.request(self.set.routers);
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
        if self.rng.rand_float() < self.jammed(a.group, class, a.again) {
            self.finish(a.id);
        } else {
            self.dispatch(a.id);
        }
    }

    /// The share of a class's requests to a group that are better refused at once. Where one attempt of each
    /// router is too many, only fewer help: servers that jam fall behind, and what times out goes on. How bad
    /// it is shows soonest over all groups; which ones, in their part of it, where a first event counts only
    /// if groups jam alike. Where what is served is quick, what is silent is out of reach, and no jam.
    fn jammed(&self, group: GroupId, class: usize, again: bool) -> f64 {
        let (c, blur) = (&self.set.classes[class], self.blur());
        let read = c.need != Need::Write && blur > 0.0;
        let Some(g) = self.groups.get(&group).filter(|_| read) else { return 0.0 };
        // A read of any data is not turned away for its age: that counts only beside want of room.
        let bad = |t: Tally| t.late + if c.need == Need::Any { t.missed.min(t.late) } else { t.missed };
        let (all, here) = (self.seen.jam.at(self.now, JAM_HALF), g.jam.at(self.now, GROUP_HALF));
        let groups = self.groups.values().map(|g| g.jam.at(self.now, GROUP_HALF));
        let (usual, apart) = spread(groups.map(|t| (bad(t), t.of)).collect(), JAM_FEW);
        let alike = (2.0 - apart).clamp(0.0, 1.0);
        let part = (bad(here) - 1.0 + alike + GROUP_AS_ALL * alike)
            / (here.of * usual + GROUP_FEW + GROUP_AS_ALL * alike);
        let strain = ((all.slow + 1.0) / (all.served + 1.0) / JAM_SLOW).min(1.0);
        let share = bad(all) * strain / (all.of + JAM_FEW) * part;
        // A repeat of the client's own is late: worth no more than that, it makes way first.
        let (over, most) = if again { (JAM_OVER * c.late_worth, 1.0) } else { (JAM_OVER, JAM_MOST) };
        ((share - over) * JAM_GAIN * blur).clamp(0.0, most)
    }

    /// What an attempt at a request usually takes: as told, else as its class shows.
    fn usual(&self, r: &Request) -> f64 {
        if r.expected > 0 { r.expected as f64 } else { self.classes[r.class].p50 }
    }

    fn dispatch(&mut self, id: RequestId) {
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

    fn hold(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.held = true;
        let (g, c) = (self.groups.entry(r.group).or_default(), &self.set.classes[r.class]);
        g.held.push(id);
        g.short_at = c.bound().map_or(g.short_at, |_| self.now);
    }

    fn send(&mut self, id: RequestId, i: usize) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let until = r.useful_until(&self.set.classes[r.class]);
        let timeout = if until < r.give_up_at { until.saturating_sub(self.now).max(1) } else { 0 };
        r.held = false;
        r.attempts.push(Attempt { server: i, sent: self.now, outcome: None });
        let s = &mut self.servers[i];
        s.in_flight += u32::from(!r.coming);
        s.count(Q_OLD);
        self.out.push(Action::Send { id, server: s.id, timeout });
        if mutants::on("attempts are ordered twice") {
            self.out.push(Action::Send { id, server: s.id, timeout });
        }
        if self.set.classes[r.class].need == Need::Write && self.set.tokens == Tokens::Remembered {
            self.sessions.begins(r.session);
        }
    }

    /// The final answer of a request that no attempt can serve any more, at once.
    fn finish(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.closed) else { return };
        let c = &self.set.classes[r.class];
        if self.may_refuse(r) {
            // A try after the aim earns little: send those away for long, the others for a while.
            let most = if self.set.limits.retry_after { self.set.limits.max_retry_after } else { 0 };
            let soon = most / 4 + self.rng.rand_range(0..(most / 4).max(1));
            let retry_in = if self.now - r.arrived + soon >= c.aim { most } else { soon.min(most) };
            self.out.push(Action::Refuse { id, retry_in });
        } else {
            self.out.push(Action::Fail(id));
        }
        self.close(id);
    }

    fn close(&mut self, id: RequestId) {
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

    fn returned(&mut self, e: &Returned) {
        let (id, outcome) = (e.id, e.outcome);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(e.attempt)) else { return };
        if a.outcome.is_some() || self.index.get(&e.server) != Some(&a.server) {
            return;
        }
        a.outcome = Some(outcome);
        let i = a.server;
        let (class, session, group, coming, expected) = (r.class, r.session, r.group, r.coming, r.expected);
        r.closed |= e.finished;
        let closed = r.closed;
        let need = self.set.classes[class].need;
        let s = &mut self.servers[i];
        s.in_flight = s.in_flight.saturating_sub(u32::from(!coming));
        s.count(Q_OLD);
        self.connections(i, outcome, e.latency);
        self.evidence(i, class, outcome, e.latency, expected);
        // A member that hands its role over still calls itself primary while it turns writes away: taken for
        // one each time, a held write would spend all its attempts on it within a moment.
        let untrue = outcome == Outcome::Miss && matches!(need, Need::Write | Need::Fresh);
        self.report(e.server, Report { role: e.note.role.filter(|_| !untrue), ..e.note }, true);
        if untrue {
            self.role(i, Role::Replica, self.now, true);
        }
        if (need, self.set.tokens) == (Need::Write, Tokens::Remembered) {
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
    fn again(&mut self, id: RequestId, outcome: Outcome, latency: Micros) {
        let Some(r) = self.requests.get(&id) else { return };
        if !outcome.never_ran() {
            // What failed at once cost its server next to nothing, and the next try may serve.
            let quick = latency as f64 / self.usual(r).max(1.0);
            let cost = if matches!(outcome, Outcome::Error | Outcome::Reset) { quick.min(1.0) } else { 1.0 };
            if self.budgets.retries < cost {
                return self.finish(id);
            }
            self.budgets.retries -= cost;
        } else if r.attempts.len() >= 3 && outcome == Outcome::Miss {
            // Turned away all round: the next look is with the tick, not at once.
            return self.hold(id);
        }
        self.dispatch(id);
    }

    /// Where servers accept few connections an idle one keeps another router out: all are closed when that
    /// shows, and each again as it falls idle.
    fn connections(&mut self, i: usize, outcome: Outcome, latency: Micros) {
        let failed = outcome == Outcome::ConnectFailed;
        let was = self.seen.unconnected;
        self.seen.unconnected = averaged(was, f64::from(failed && latency < REFUSED), SCARCE_OLD);
        if was <= SCARCE && self.seen.unconnected > SCARCE {
            let idle = self.servers.iter().filter(|s| s.in_flight == 0 && s.last_answer > 0);
            self.out.extend(idle.map(|s| Action::CloseIdle(s.id)));
        } else if self.seen.unconnected > SCARCE && self.servers[i].in_flight == 0 && !failed {
            self.out.push(Action::CloseIdle(self.servers[i].id));
        }
    }

    /// Latency lists and health. Only served attempts (and time-outs, by at least their wait) are
    /// samples: a replica that turns work away quickly must not look fast.
    fn evidence(&mut self, i: usize, class: usize, outcome: Outcome, latency: Micros, expected: Micros) {
        let (scale, value) = (self.scale(class, expected), latency as f64);
        self.adapt(i, class, outcome, latency);
        let told = matches!(outcome, Outcome::Ok | Outcome::Timeout | Outcome::Full | Outcome::Miss);
        let read = told && self.set.classes[class].need != Need::Write;
        if let Some(g) = self.groups.get_mut(&self.servers[i].group).filter(|_| read) {
            let slow = value > self.set.classes[class].aim as f64 * LATE_AT;
            self.seen.jam.add(self.now, JAM_HALF, outcome, slow);
            g.jam.add(self.now, GROUP_HALF, outcome, slow);
        }
        let s = &mut self.servers[i];
        let lost = outcome == Outcome::ConnectFailed && s.lost(latency >= REFUSED);
        let answer = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Miss);
        s.last_answer = if answer { self.now } else { s.last_answer };
        if answer || outcome == Outcome::Timeout || (lost && latency >= REFUSED) {
            self.answered(i, answer);
        }
        let s = &mut self.servers[i];
        match outcome {
            Outcome::Ok => {
                s.sample(self.now, value * scale, LIST_LEN);
                s.error_share *= 1.0 - ERROR_ADDS;
                (s.strikes, s.refusals) = (0, 0);
                self.classes[class].served(value, CLASS_OLD, CLASS_LEN);
                blend(&mut self.seen.mean, value, CLASS_OLD);
            }
            Outcome::Timeout | Outcome::Cancelled if s.adjusted.is_none_or(|l| value * scale > l) => {
                s.sample(self.now, value * scale, LIST_LEN);
            }
            // It says itself that it was outside the bound, and no answer would tell so.
            Outcome::Miss => {
                if let Need::Bounded(bound) = self.set.classes[class].need {
                    (s.lag, s.heard_at) = (s.lag.max(bound + latency), self.now);
                }
            }
            Outcome::Error | Outcome::Reset => {
                s.error_share = averaged(s.errors(self.now, ERROR_HALF), 1.0, 1.0 - ERROR_ADDS);
                (s.error_at, s.proven) = (self.now, false);
            }
            Outcome::ConnectFailed if lost && s.ejected_until <= self.now => {
                let (wait, id) = (BACKOFF << s.strikes.min(DOUBLINGS), s.id);
                let members = self.groups.get(&s.group).map_or(&[][..], |g| &g.members);
                let ejected = members.iter().filter(|&&m| self.servers[m].ejected_until > self.now).count();
                // The rest must be able to carry the load.
                if ejected * 2 < members.len() {
                    let s = &mut self.servers[i];
                    s.ejected_until = self.now + wait;
                    s.strikes += 1;
                    self.out.extend((s.strikes == 1).then(|| Action::Log(format!("server {id} ejected"))));
                }
            }
            _ => {}
        }
    }

    /// The limit follows what comes back: up with answers in time, cut when too many are late, overdue or
    /// turned away. It answers overload, slow, still and cold servers alike; waiting moves to this router.
    fn adapt(&mut self, i: usize, class: usize, outcome: Outcome, latency: Micros) {
        let (aim, usual) = (self.set.classes[class].aim as f64, self.classes[class].p50);
        let s = &mut self.servers[i];
        // Where timed-out work goes on, a limit of one still sends too much: pause, the longer the lower. By
        // lot below one: a hundred routers which paused together must not come back together.
        let lot = if s.limit < 1.0 { 0.5 + self.rng.rand_float() } else { 1.0 };
        let paused = |gap: Micros, times: f64| ((gap as f64 * times * lot) as u64).min(LIST_AGE);
        let (thin, sent) = (1.0 / (s.limit * s.limit), self.now.saturating_sub(latency));
        let (late, pause) = match outcome {
            Outcome::Ok => (latency as f64 > aim * LATE_AT, 0),
            // What was sent later was answered soon: this one was lost, and there is room.
            Outcome::Timeout if s.soon_sent > sent && latency as f64 > usual * LOST => return,
            Outcome::Timeout => (true, paused(PERIOD, thin)),
            Outcome::Full => (true, paused(FULL_GAP, thin.max(1.0))),
            _ => return,
        };
        s.soon_sent = if late { s.soon_sent } else { s.soon_sent.max(sent) };
        s.full_until = s.full_until.max(self.now + pause);
        s.late = if outcome == Outcome::Full { 1.0 } else { s.late };
        s.late = averaged(s.late, f64::from(late), OLD);
        if s.late > LATE_SHARE {
            if late && self.now >= s.cut_at {
                // One attempt of each of a hundred routers is too much as well.
                let least = (FEW / f64::from(self.set.routers.max(1))).min(1.0);
                s.limit = (s.limit.min(f64::from(s.in_flight) + 1.0) * CUT).max(least);
                s.cut_at = self.now + CUT_GAP;
                s.late = LATE_SHARE / 2.0;
            }
        } else if !late && f64::from(s.in_flight) + 1.0 >= s.limit / 2.0 {
            s.limit += (1.0 / s.limit).min(s.limit);
        }
    }

    /// Classes of different work share a latency list: each sample counts in units of the mean class.
    /// Guards against a server that got the long ones, by their class or as told, passing for a slow one.
    fn scale(&self, class: usize, expected: Micros) -> f64 {
        let usual = if expected > 0 { expected as f64 } else { self.classes[class].mean };
        if usual > 0.0 && self.seen.mean > 0.0 { self.seen.mean / usual } else { 1.0 }
    }

    // ---- Primary tracking ----

    fn report(&mut self, server: ServerId, r: Report, direct: bool) {
        let Some(&i) = self.index.get(&server) else { return };
        let s = &mut self.servers[i];
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
    fn role(&mut self, i: usize, role: Role, at: Micros, direct: bool) {
        let s = &mut self.servers[i];
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
                self.servers[i].told_peers = 0;
                // What was held meanwhile must not arrive as a flood.
                self.servers[i].limit = self.servers[i].limit.min(LIMIT);
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
    fn scout(&mut self, group: GroupId) {
        let Some(g) = self.groups.get(&group) else { return };
        let known = g.primary.is_some_and(|p| self.sendable(p, true) && self.healthy(p));
        if known || g.scout.is_some() || self.now < g.scout_at || g.members.is_empty() {
            return;
        }
        let fits = |id: &&RequestId| {
            let Some(r) = self.requests.get(id) else { return false };
            let need = self.set.classes[r.class].need;
            let checked = need == Need::Fresh && self.set.lag_check != LagCheck::Unchecked;
            (need == Need::Write || checked)
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

    // ---- Time: held requests, ages, clamps, news ----

    fn tick(&mut self) {
        if self.now >= self.due.period {
            self.due.period = self.now + PERIOD;
            self.probe();
            self.tell();
            self.servers.iter_mut().for_each(|s| s.clamp(self.now, LIST_AGE, ALPHA, OLD, self.seen.mean));
            self.classes.iter_mut().for_each(|c| c.take_median(8));
        }
        // The age of what is out counts in the score before a sample does: a standstill shows at once.
        let scales: Vec<f64> = (0..self.classes.len()).map(|c| self.scale(c, 0)).collect();
        age(&mut self.servers, &self.requests, &scales, self.now, Q_OLD);
        let ids: Vec<GroupId> = self.groups.iter().filter(|g| !g.1.held.is_empty()).map(|g| *g.0).collect();
        for id in ids {
            self.release(id);
            self.scout(id);
        }
        if self.due.ask.is_some_and(|t| self.now >= t) {
            self.due.ask = None;
            self.out.push(Action::Subscribe);
        }
    }

    /// Held requests go out when they can, and get their final answer once they no longer can.
    fn release(&mut self, group: GroupId) {
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

    // ---- List, probes, peers ----

    fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        if kind == ListKind::Failed {
            let wait = BACKOFF << self.due.ask_fails.min(DOUBLINGS);
            self.due.ask_fails += 1;
            self.due.ask = Some(self.now + wait / 2 + self.rng.rand_range(0..wait));
            return;
        }
        self.due.ask_fails = if kind == ListKind::Cached { self.due.ask_fails } else { 0 };
        // Servers come with new ids without end: one gone for long, and in no request, is let go.
        let (before, any) =
            (self.now.saturating_sub(self.set.safety.cold), !self.set.safety.only_draining_binds);
        forget(&mut self.servers, &mut self.index, &mut self.groups, &self.requests, any, before);
        for i in 0..self.servers.len() {
            if kind != ListKind::Delta && entries.iter().all(|e| e.server != self.servers[i].id) {
                self.listed_as(i, Listed::Gone);
            }
        }
        for e in entries {
            let fresh = !self.index.contains_key(&e.server);
            if fresh && e.state == Listed::Gone {
                continue;
            }
            if fresh {
                let joined = if self.seen.listed_once { self.now } else { 0 };
                add_server(&mut self.servers, &mut self.index, &mut self.groups, e, (LIMIT, joined));
            }
            let i = self.index[&e.server];
            let (new, news) = (fresh && self.seen.listed_once, kind == ListKind::Delta);
            self.servers[i].started_at(e.started, self.now, self.set.safety.cold, new, news);
            self.listed_as(i, e.state);
            let Some(g) = self.groups.get_mut(&self.servers[i].group) else { continue };
            if e.primary && self.set.list_role != ListRole::Silent {
                g.hint = Some(i);
                g.primary = g.primary.or(Some(i).filter(|_| !self.seen.listed_once));
            }
        }
        self.seen.listed_once = true;
    }

    fn listed_as(&mut self, i: usize, state: Listed) {
        if !self.servers[i].listed_as(state, self.now) {
            return;
        }
        // Where only draining binds, a list that empties takes no primary away: answers outrank it.
        let lost = state == Listed::Gone && !self.sendable(i, true);
        let Some(g) = self.groups.get_mut(&self.servers[i].group) else { return };
        g.primary = g.primary.filter(|&p| !lost || p != i);
    }

    /// Each unheard server once; one whose position is too old for the tightest bound now and then.
    fn probe(&mut self) {
        if !self.set.limits.probes || self.budgets.probes < 1.0 {
            return;
        }
        let (tightest, plain) = (self.tightest, self.now < self.seen.plain_until);
        let due = |i: &usize| {
            let s = &self.servers[*i];
            let unheard = s.position.is_none() || s.unheard;
            let lost = self.seen.zones.has_lost(s.zone);
            let behind = lost || unheard || self.reached(*i, plain).saturating_add(tightest) < self.now;
            let due = s.probed_at.is_none_or(|t| t + PROBE_GAP <= self.now && tightest < Micros::MAX);
            // Where answers tell positions, one that answers, or is still cold, need not be asked.
            let quiet = s.in_flight == 0 && s.last_answer + PROBE_GAP <= self.now;
            let fit = plain
                || self.blind()
                || (quiet && self.servers[*i].cold_share(self.now, &self.set.safety).is_none());
            s.listed == Listed::Ready && self.out_since(s.id).is_none() && behind && due && fit
        };
        let mut due: Vec<usize> = (0..self.servers.len()).filter(due).collect();
        // Those of lost zones and those that started lately first, then longest unasked; each router begins
        // elsewhere.
        let from = |i: usize| (i + self.set.ordinal as usize) % self.servers.len();
        let soon = |s: &Server| s.unheard || self.seen.zones.has_lost(s.zone);
        due.sort_by_key(|&i| (!soon(&self.servers[i]), self.servers[i].probed_at, from(i)));
        for i in due.into_iter().take(self.budgets.probes as usize) {
            let s = &mut self.servers[i];
            s.probed_at = Some(self.now);
            self.budgets.probes -= 1.0;
            self.out.push(Action::Probe(s.id));
        }
    }

    /// News for the peers, a few at once, as far as own requests pay; a message's head takes two places.
    fn tell(&mut self) {
        let peers = f64::from(self.set.routers.max(1) - 1);
        let room = ((self.budgets.peer_bytes / peers) as usize).min(256) / LINE;
        if room < 6 || peers == 0.0 || !self.set.limits.peers {
            return;
        }
        let news = news(&mut self.servers, &self.groups, &mut self.shares, self.now, room - 2);
        self.budgets.peer_bytes -= (news.len() * LINE) as f64 * peers;
        self.out.extend((!news.is_empty()).then_some(Action::TellAll(news)));
    }
}
