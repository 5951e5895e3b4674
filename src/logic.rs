//! Every decision of the router: its state, its figures and the order in which events are taken in. Each subject is a module
//! of its own below. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Ordinary path: each eligible replica is scored by tail-adjusted latency x (own in-flight + 1,
//! averaged) cubed + wait, and a read goes to a random one within 20% of the lowest score.
//! What departs from that, and when, is listed in `docs/design.md`.

mod background;
mod evidence;
mod freshness;
mod lifecycle;
mod membership;
mod overload;
mod primary;
mod routing;
mod slow_start;

use crate::api::*;
use crate::invariants::{self, AttemptStart, RequestStart};
use crate::mutants;
use crate::sessions::{PRESENT, Sessions, committed_by};
pub use crate::state::tail_adjusted;
use crate::state::*;
use oorandom::Rand64;
use std::collections::BTreeMap;

// ---- Tunables. Times in microseconds, shares as fractions. ----

/// p99 at or over this multiple of p90 marks a tail worth clamping (thesis: 2).
pub const TAIL_RATIO: f64 = 2.0;
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
const DEFAULT_LATENCY_US: f64 = 10_000.0;
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
const ERROR_HALF_LIFE_US: f64 = 4_000_000.0;
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
const JAM_HALF_LIFE_US: f64 = 1_000_000.0;
const JAM_FEW: f64 = 4.0;
const GROUP_HALF_LIFE_US: f64 = 15_000_000.0;
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
    index: BTreeMap<HostId, usize>,
    hosts: Vec<HostState>,
    groups: BTreeMap<GroupId, Group>,
    classes: Vec<ClassState>,
    requests: BTreeMap<RequestId, Request>,
    sessions: Sessions,
    shares: Shares,
    /// The tightest bound of any class.
    tightest: Micros,
    /// Servers that operators leave out, and since when; no news of the list touches it.
    out_by_hand: BTreeMap<HostId, Micros>,
    budgets: Budgets,
    seen: Observed,
    due: Due,
}

impl Router {
    /// A router that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Router {
        let class = |c: &Class| ClassState::expecting(c.latency_target as f64 / 4.0);
        Router {
            classes: settings.classes.iter().map(class).collect(),
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            out: Vec::new(),
            index: BTreeMap::new(),
            hosts: Vec::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            sessions: Sessions::default(),
            shares: Shares::new(&settings.quotas, settings.proxy_count),
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
            self.hosts.iter_mut().for_each(|s| s.q = f64::from(s.in_flight) + 1.0);
        }
        if self.due.tick == 0 && self.set.list_mode == ListMode::OnRequest {
            self.due.ask = Some(self.now + self.rng.rand_range(0..200_000));
        }
        for event in events {
            match event {
                Event::Request(a) => self.arrive(a, false),
                Event::RequestHead(a) => self.arrive(a, true),
                Event::RequestComplete(id, at) => {
                    whole(&mut self.hosts, &mut self.requests, *id, *at, self.now)
                }
                Event::Outcome(r) => {
                    self.returned(r);
                    self.report(r.host, r.report, false);
                }
                Event::ClientGone(id) => self.close(*id),
                Event::Streaming(id, attempt) => {
                    self.requests.entry(*id).and_modify(|r| r.streaming = Some(usize::from(*attempt)));
                }
                Event::Probed { host, ok, report } => {
                    self.index.get(host).copied().into_iter().for_each(|i| self.answered(i, *ok));
                    self.report(*host, if *ok { *report } else { HostReport::default() }, false);
                }
                Event::PartialAnswer { host, note } => self.report(*host, *note, true),
                Event::Sessions(news) => self.sessions.hear(*news, self.now),
                Event::Timer(_) => {}
                Event::HostOverride { host, left_out, since } => self.by_hand(*host, *left_out, *since),
                Event::Peer { from, news } => {
                    let (hosts, groups, index) = (&mut self.hosts, &mut self.groups, &self.index);
                    take_news(hosts, groups, index, &mut self.shares, (*from, news), self.now, PROBE_GAP);
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

    /// How much of what the servers do a router does not see: nothing where few routers are, else most.
    fn blur(&self) -> f64 {
        (1.0 - FEW / f64::from(self.set.proxy_count.max(1))).max(0.0)
    }
}
