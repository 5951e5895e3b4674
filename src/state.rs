//! Plain records that `logic.rs` keeps, and what they take in. Nothing is chosen here.

use crate::api::{
    Class, GroupId, HostEntry, HostId, HostStatus, Micros, Outcome, PeerUpdate, RequestId, RequestInfo,
    Safety, Settings,
};
use crate::mutants;
use std::collections::{BTreeMap, VecDeque};

/// What this router knows of one server.
#[derive(Default)]
pub(crate) struct HostState {
    pub id: HostId,
    /// No server: a place kept for the next one.
    pub vacant: bool,
    pub group: GroupId,
    pub zone: u8,
    pub listed: HostStatus,
    /// When the list first named it; 0 if the first list did.
    pub joined: Micros,
    /// When the router was told that it drains or is gone.
    pub told_at: Micros,
    pub seen_draining: bool,
    /// Start of the process where it may still be cold.
    pub started: Option<Micros>,
    pub listed_start: Micros,
    pub samples: VecDeque<(Micros, f64)>,
    pub adjusted: Option<f64>,
    pub wait: f64,
    pub in_flight: u32,
    pub q: f64,
    /// Age of the oldest unanswered attempt in the same unit as the samples.
    pub pending: f64,
    pub last_answer: Micros,
    /// When it last left something unanswered for its whole time; 0 after an answer.
    pub silent_at: Micros,
    /// The last that was heard of it was an answer, and no error.
    pub proven: bool,
    pub position: Option<Micros>,
    /// Distance of the position behind the clock when last heard, and when that was.
    pub lag: Micros,
    pub heard_at: Micros,
    /// Nothing is known of where its present process stands.
    pub unheard: bool,
    pub role_at: Micros,
    pub told_peers: Micros,
    pub probed_at: Option<Micros>,
    /// Share of errors as of this time.
    pub error_share: f64,
    pub error_at: Micros,
    pub strikes: u32,
    /// Connections refused since the last answer.
    pub refusals: u32,
    pub ejected_until: Micros,
    /// Attempts this router may have outstanding here; see `adapt`.
    pub limit: f64,
    pub late: f64,
    /// When the last was sent of those that were answered soon.
    pub soon_sent: Micros,
    pub cut_at: Micros,
    pub full_until: Micros,
}

/// News of a start come within so long, lists that run late and outages of discovery included.
const LATEST_NEWS: Micros = 60_000_000;
/// Wall clocks differ by less than this. A start before that is no fault of a clock.
const MOST_SKEW: Micros = 2 * 3_600_000_000;
/// What a server's last latency has over the usual one halves so often in the time for which latencies count.
const FADES: f64 = 4.0;

impl HostState {
    /// Adds a latency to the list, which keeps the newest `most`.
    pub fn sample(&mut self, now: Micros, latency: f64, most: usize) {
        push(&mut self.samples, (now, latency), most);
        if self.adjusted.is_none() {
            self.adjusted = Some(latency);
        }
    }

    /// Takes the present in-flight count into its average, the old value weighing `old`.
    pub fn count(&mut self, old: f64) {
        self.q = averaged(self.q, f64::from(self.in_flight) + 1.0, old);
    }

    /// The present share of errors, which halves in this time.
    pub fn errors(&self, now: Micros, half: f64) -> f64 {
        self.error_share * (-((now - self.error_at) as f64) / half).exp2()
    }

    /// Its latency, weighed with so many samples of the usual one.
    pub fn weighed(&self, (usual, weight): (f64, f64)) -> Option<f64> {
        let n = self.samples.len() as f64;
        let weight = if usual > 0.0 { weight } else { 0.0 };
        self.adjusted.map(|own| if weight > 0.0 { (n * own + weight * usual) / (n + weight) } else { own })
    }

    /// Takes in a position, which was told this much later at most: it shows what the lag was at most, and
    /// about at least.
    pub fn stands_at(&mut self, position: Micros, now: Micros, later: Micros) {
        if later == 0 || self.position < Some(position) {
            let most = now - position;
            self.lag = self.lag.clamp(most.saturating_sub(later), most);
            (self.heard_at, self.unheard) = (now, false);
        }
        self.position = self.position.max(Some(position));
    }

    /// Takes in its state on the list; false if it is the same as before.
    pub fn listed_as(&mut self, state: HostStatus, now: Micros) -> bool {
        if state == self.listed {
            return false;
        }
        if self.listed == HostStatus::Ready {
            self.told_at = now;
        }
        self.seen_draining =
            state == HostStatus::Draining || (self.seen_draining && state == HostStatus::Removed);
        self.listed = state;
        true
    }

    /// Counts a connection that failed, slowly or at once. Whether the server is lost: one that was
    /// refused may be a hiccup of the network, a second one without an answer between is none.
    pub fn lost(&mut self, slowly: bool) -> bool {
        self.refusals += 1;
        self.proven = false;
        slowly || self.refusals > 1
    }

    /// Algorithms 1 and 2 of the thesis, over the latencies of this age; averages weigh `old`. What the last of
    /// them has over the usual one fades once it is older than that. Guards against a server that was slow once
    /// being left alone for good: who sends it nothing learns nothing new of it.
    pub fn clamp(&mut self, now: Micros, age: Micros, alpha: f64, old: f64, usual: f64) {
        while self.samples.len() > 1 && self.samples[0].0 + age < now {
            self.samples.pop_front();
        }
        let Some(&(at, latest)) = self.samples.back() else { return };
        let sorted = sorted(self.samples.iter().map(|s| s.1));
        let stale = now.saturating_sub(at + age) as f64 / age as f64;
        let shown = tail_adjusted(&sorted, latest, alpha);
        self.adjusted = Some(shown.min(usual + (shown - usual) * (-stale * FADES).exp2()));
        let over = sorted.iter().sum::<f64>() / sorted.len() as f64 - percentile(&sorted, 10.0);
        self.wait = averaged(self.wait, over.max(0.0), old);
    }

    /// Whether it may be tried: after an ejection one attempt at a time until one is served.
    pub fn healthy(&self, now: Micros) -> bool {
        now >= self.ejected_until && (self.strikes == 0 || self.in_flight == 0)
    }

    pub fn has_room(&self, now: Micros) -> bool {
        now >= self.full_until && f64::from(self.in_flight) < self.limit
    }

    /// Its present share of its full capacity, while it is cold.
    pub fn cold_share(&self, now: Micros, safety: &Safety) -> Option<f64> {
        let age = now.saturating_sub(self.started?) as f64;
        let rise = age / safety.cold_duration.max(1) as f64;
        let start = safety.start_capacity;
        (rise < 1.0).then(|| (start + (1.0 - start) * rise).clamp(0.01, 1.0))
    }

    /// Takes in the start that the list tells; one that is `new` there with none has just started. The clock that it
    /// is told by may differ from this one: one ahead of it was just now, and so was one that is `news` and some time
    /// ago, since news of a start come within seconds.
    pub fn started_at(&mut self, started: Micros, now: Micros, cold_duration: Micros, new: bool, news: bool) {
        // Another start than before, not only a later one: a clock may have been stepped back between.
        if started != self.listed_start && started > 0 {
            self.listed_start = started;
            let age = now.saturating_sub(started);
            let too_old_for_news = news && (cold_duration + LATEST_NEWS..MOST_SKEW).contains(&age);
            let is_skewed = started > now || too_old_for_news;
            let by_another_clock = is_skewed && !mutants::on("starts are believed");
            let at = if by_another_clock { now } else { started };
            if at <= now && at.saturating_add(cold_duration) > now {
                self.restarted(at);
            }
        } else if new && started == 0 {
            self.restarted(now);
        }
    }

    /// Forgets what an earlier process showed; the present one started at this time.
    pub fn restarted(&mut self, at: Micros) {
        self.started = Some(at);
        self.unheard = true;
        self.samples.clear();
        self.adjusted = None;
        self.wait = 0.0;
        self.error_share = 0.0;
        self.ejected_until = 0;
    }

    /// As after a restart, with nothing left of what held it back. Guards against a server that comes
    /// back from the operators' hands and stays unused for what its earlier process showed.
    /// It was out since the first time and is used since the second; where the list tells a start between,
    /// that counts. Back since before this time, it is warm for long.
    pub fn used_again(&mut self, out: Option<Micros>, since: Micros, limit: f64, before: Micros) {
        if since <= before {
            return;
        }
        let known = out.is_some_and(|out| out < self.listed_start && self.listed_start < since);
        self.restarted(if known { self.listed_start } else { since });
        (self.strikes, self.refusals, self.limit, self.late) = (0, 0, limit, 0.0);
        (self.full_until, self.cut_at) = (0, 0);
    }
}

/// How many servers are listed, and how many of them drain, answer no connections, or are left out.
pub(crate) fn count(hosts: &[HostState], out: impl Fn(&HostState) -> bool) -> (usize, usize) {
    let listed = || hosts.iter().filter(|s| s.listed != HostStatus::Removed);
    let away = |s: &&HostState| s.listed == HostStatus::Draining || s.strikes > 0 || out(s);
    (listed().count(), listed().filter(away).count())
}

/// Appends to a list that keeps the newest `most`.
pub(crate) fn push<T>(list: &mut VecDeque<T>, value: T, most: usize) {
    if list.len() >= most {
        list.pop_front();
    }
    list.push_back(value);
}

/// The values in rising order.
pub(crate) fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut out: Vec<f64> = values.collect();
    out.sort_by(f64::total_cmp);
    out
}

/// Nearest rank, as in the thesis; `sorted` must not be empty.
pub(crate) fn percentile(sorted: &[f64], p: f64) -> f64 {
    let rank = (p / 100.0 * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}

/// The latency that stands for a list: p90 where the tail is long (p99 at `alpha` times it or more),
/// else p95 where the far tail is long, else the latest value.
pub fn tail_adjusted(sorted: &[f64], latest: f64, alpha: f64) -> f64 {
    let at = |p| percentile(sorted, p);
    if at(99.0) >= alpha * at(90.0) {
        at(90.0)
    } else if at(99.9) >= alpha * at(95.0) {
        at(95.0)
    } else {
        latest
    }
}

/// A group of servers, by their indices.
#[derive(Default)]
pub(crate) struct Group {
    /// Members in id order.
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    /// Position at which the primary's role was last confirmed.
    pub primary_at: Micros,
    /// When this router learned of the primary.
    pub found_at: Micros,
    /// The primary according to the list.
    pub hint: Option<usize>,
    /// Requests waiting for a server.
    pub held: Vec<RequestId>,
    /// The held request that is out looking for the primary.
    pub scout: Option<RequestId>,
    pub scout_next: usize,
    pub scout_at: Micros,
    /// Reads that came to nothing here.
    pub jam: Tally,
    /// When a bounded read last had to wait here.
    pub short_at: Micros,
}

/// Counts of reads that halve with time: those without an answer in time or turned away for want of room, those
/// turned away as too far behind, and all.
#[derive(Clone, Copy, Default)]
pub(crate) struct Tally {
    pub late: f64,
    /// Those served, and of them those that took over half of what is wanted.
    pub served: f64,
    pub slow: f64,
    pub missed: f64,
    pub of: f64,
    at: Micros,
}

impl Tally {
    /// The counts as of now; they halve in this time. What faded only with the next attempt would have a router at
    /// rest refuse for what is long over.
    pub fn at(self, now: Micros, half: f64) -> Tally {
        let left = (-(now.saturating_sub(self.at) as f64) / half).exp2();
        let (served, slow) = (self.served * left, self.slow * left);
        Tally {
            late: self.late * left,
            served,
            slow,
            missed: self.missed * left,
            of: self.of * left,
            at: now,
        }
    }

    /// Counts one more read.
    pub fn add(&mut self, now: Micros, half: f64, outcome: Outcome, slow: bool) {
        *self = self.at(now, half);
        self.late += f64::from(matches!(outcome, Outcome::Timeout | Outcome::Overloaded));
        self.missed += f64::from(outcome == Outcome::Unsuitable);
        self.served += f64::from(outcome == Outcome::Ok);
        self.slow += f64::from(outcome == Outcome::Ok && slow);
        self.of += 1.0;
    }
}

/// The share of all counts (events, of so many) that are events, so many more counted as none; and how far each is
/// from that share, in squares, in the mean, beside what chance makes of such small numbers: 1 if they are alike.
pub(crate) fn spread(counts: Vec<(f64, f64)>, more: f64) -> (f64, f64) {
    let sum = counts.iter().fold((0.0, 0.0), |s, c| (s.0 + c.0, s.1 + c.1));
    let usual = sum.0 / (sum.1 + more);
    let seen: Vec<_> = counts.into_iter().filter(|c| c.1 > 0.0).collect();
    // So little is expected of most that a divisor of nothing is near.
    let apart = seen.iter().map(|c| (c.0 - c.1 * usual).powi(2) / (c.1 * usual).max(0.01)).sum::<f64>();
    (usual, apart / seen.len().max(1) as f64)
}

/// What tenants ask for of late, and what is left of their quotas. All routers serve one quota: the part of
/// this one is its part of what they are asked, as far as they tell each other; else all count alike.
#[derive(Default)]
pub(crate) struct Shares {
    proxy_count: f64,
    tenants: Vec<Share>,
    /// What other routers were asked last, in requests a second, and when they said so.
    others: BTreeMap<u16, (Micros, Vec<f64>)>,
    /// When the others were last told what this one is asked.
    told_at: Micros,
}

/// One tenant.
#[derive(Clone, Copy)]
struct Share {
    quota: f64,
    /// Requests that halve with time, as of `at`.
    asked: f64,
    /// What may come at once, in requests.
    left: f64,
    at: Micros,
}

/// What was asked counts half as much after this long.
const ASKED_HALF: f64 = 2_000_000.0;
/// What may come at once of a quota, in seconds of it.
const AT_ONCE: f64 = 0.2;
/// The others are told this often, and what one was asked counts for so long.
const TELL_EVERY: Micros = 500_000;
const TOLD_FOR: Micros = 3_000_000;

impl Shares {
    pub fn new(quotas: &[f64], proxy_count: u32) -> Shares {
        let share = |&quota: &f64| Share { quota, asked: 0.0, left: 0.0, at: 0 };
        let proxy_count = f64::from(proxy_count.max(1));
        Shares { proxy_count, tenants: quotas.iter().map(share).collect(), ..Shares::default() }
    }

    /// Counts one more request of a tenant; whether it lies beyond the quota, of which a moment's worth may
    /// come at once. What no quota binds never does.
    pub fn beyond(&mut self, tenant: Option<u16>, now: Micros) -> bool {
        let Some(t) = tenant.map(usize::from).filter(|&t| t < self.tenants.len()) else { return false };
        let own = self.tenants[t].rate(now);
        let fresh = self.others.values().filter(|o| o.0 + TOLD_FOR > now);
        let (heard, others) = fresh.fold((0, 0.0), |s, o| (s.0 + 1, s.1 + o.1.get(t).unwrap_or(&0.0)));
        let share = &mut self.tenants[t];
        let part = if heard > 0 { own / (own + others).max(1e-9) } else { 1.0 / self.proxy_count };
        let (mine, idle) = (share.quota * part, now.saturating_sub(share.at) as f64);
        share.asked = share.asked * (-idle / ASKED_HALF).exp2() + 1.0;
        share.left = (share.left + mine * idle / 1e6).min((mine * AT_ONCE).max(1.0));
        share.at = now;
        let beyond = share.left < 1.0;
        share.left -= f64::from(!beyond);
        beyond
    }

    /// What each tenant asks this router for, where it is time to tell the others.
    pub fn news(&mut self, now: Micros) -> Vec<PeerUpdate> {
        if now < self.told_at + TELL_EVERY {
            return Vec::new();
        }
        self.told_at = now;
        (0..)
            .zip(&self.tenants)
            .map(|(tenant, t)| PeerUpdate::TenantRate { tenant, per_s: t.rate(now) })
            .collect()
    }

    /// Another router was asked for so much.
    pub fn told(&mut self, from: u16, tenant: u16, per_s: f64, now: Micros) {
        let (t, n) = (usize::from(tenant), self.tenants.len());
        if t < n && per_s.is_finite() && per_s >= 0.0 {
            let other = self.others.entry(from).or_insert_with(|| (now, vec![0.0; n]));
            other.0 = now;
            other.1[t] = per_s;
        }
    }
}

impl Share {
    fn rate(&self, now: Micros) -> f64 {
        let idle = now.saturating_sub(self.at) as f64;
        self.asked * (-idle / ASKED_HALF).exp2() * std::f64::consts::LN_2 / ASKED_HALF * 1e6
    }
}

/// When things are next due.
#[derive(Default)]
pub(crate) struct Due {
    pub tick: Micros,
    pub period: Micros,
    /// The latest timer asked for.
    pub timer: Micros,
    /// The next subscription call.
    pub ask: Option<Micros>,
    pub ask_fails: u32,
}

/// What each request adds to the budget of retries, and what that holds at most; a retry takes 1.
const RETRY_SHARE: f64 = 0.15;
const RETRY_MAX: f64 = 10.0;
/// What each request adds to those of probes and of bytes to peers, and the probes that may gather.
const PROBE_SHARE: f64 = 0.05;
const PROBE_MAX: f64 = 10.0;
const PEER_BYTES: f64 = 25.0;
/// Bytes that a message to a peer holds.
const PEER_MESSAGE: f64 = 256.0;

/// What may be spent beside requests. It follows the router's own requests, so that hundreds of routers stay as cheap
/// as two.
pub(crate) struct Budgets {
    pub retries: f64,
    pub probes: f64,
    pub peer_bytes: f64,
}

impl Budgets {
    pub fn new() -> Budgets {
        Budgets { retries: RETRY_MAX, probes: 1.0, peer_bytes: 0.0 }
    }

    /// A request has come to one of so many routers.
    pub fn request(&mut self, proxy_count: u32) {
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_MAX);
        self.probes = (self.probes + PROBE_SHARE).min(PROBE_MAX);
        self.peer_bytes = (self.peer_bytes + PEER_BYTES).min(PEER_MESSAGE * f64::from(proxy_count));
    }
}

/// What has been seen over all servers.
#[derive(Default)]
pub(crate) struct Observed {
    /// Mean latency of what was served.
    pub mean: f64,
    /// Recent share of attempts that got no connection.
    pub unconnected: f64,
    /// Reads that came to nothing of late, of all.
    pub jam: Tally,
    pub zones: Zones,
    /// Whether a list has come.
    pub listed_once: bool,
    /// Until when plain reads are expected, for which known positions alone count.
    pub plain_until: Micros,
}

/// When each zone last answered, and which are held to be lost.
#[derive(Default)]
pub(crate) struct Zones {
    answers: BTreeMap<u8, Micros>,
    /// Since when and until when.
    lost: BTreeMap<u8, (Micros, Micros)>,
}

impl Zones {
    pub fn answered(&mut self, zone: u8, now: Micros) {
        self.answers.insert(zone, now);
        self.lost.remove(&zone);
    }

    pub fn last_answer(&self, zone: u8) -> Micros {
        self.answers.get(&zone).copied().unwrap_or(0)
    }

    /// A zone is held to be lost until then, since now if it was not yet.
    pub fn lost(&mut self, zone: u8, now: Micros, until: Micros) {
        self.lost.entry(zone).or_insert((now, 0)).1 = until;
    }

    /// Whether a zone was held to be lost and has not answered since.
    pub fn has_lost(&self, zone: u8) -> bool {
        self.lost.contains_key(&zone)
    }

    /// Whether a server that started then is held to be lost with its zone.
    pub fn is_lost(&self, zone: u8, started: Micros, now: Micros) -> bool {
        self.lost.get(&zone).is_some_and(|&(since, until)| started <= since && until >= now)
    }
}

/// What has been seen of a class.
#[derive(Default)]
pub(crate) struct ClassState {
    pub samples: VecDeque<f64>,
    pub mean: f64,
    pub p50: f64,
}

impl ClassState {
    /// A class of which nothing has been seen yet.
    pub fn expecting(p50: f64) -> ClassState {
        ClassState { p50, ..ClassState::default() }
    }
    /// The median of what is kept, once there are so many.
    pub fn take_median(&mut self, least: usize) {
        if self.samples.len() >= least {
            self.p50 = percentile(&sorted(self.samples.iter().copied()), 50.0);
        }
    }
    /// Takes in the latency of a served attempt.
    pub fn served(&mut self, latency: f64, old: f64, most: usize) {
        blend(&mut self.mean, latency, old);
        push(&mut self.samples, latency, most);
    }
}

/// A moving average, the value before weighing `old`.
pub(crate) fn averaged(before: f64, value: f64, old: f64) -> f64 {
    old * before + (1.0 - old) * value
}

/// Moves an average that starts at 0 towards a value, the old one weighing `old`.
pub(crate) fn blend(mean: &mut f64, value: f64, old: f64) {
    *mean = if *mean > 0.0 { averaged(*mean, value, old) } else { value };
}

/// One attempt; no outcome yet while it is outstanding.
pub(crate) struct Attempt {
    pub host: usize,
    pub sent: Micros,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// The first of these that is not proven to have had no effect.
    pub fn may_have_run(attempts: &[Attempt]) -> Option<&Attempt> {
        attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }
}

/// A client's request, kept until it is closed and every attempt has returned.
#[derive(Default)]
pub(crate) struct Request {
    pub class: usize,
    pub group: GroupId,
    pub session: u64,
    /// Drawn at arrival, from 0 to 1.
    pub lot: f64,
    /// Position that its reads must see: as brought, or as of the beginning of its latest attempt.
    pub token: Micros,
    pub arrived: Micros,
    pub give_up_at: Micros,
    pub attempts: Vec<Attempt>,
    pub held: bool,
    /// Its last bytes are still to come: no server works on it.
    pub coming: bool,
    /// Servers know nothing of its terms.
    pub plain: bool,
    /// What an attempt is expected to take; 0 where only the class tells.
    pub expected_duration: Micros,
    /// The attempt whose answer has begun to stream.
    pub streaming: Option<usize>,
    pub closed: bool,
    /// It lies beyond its tenant's quota.
    pub beyond: bool,
}

impl Request {
    /// One that has arrived, as told.
    pub fn of(a: &RequestInfo) -> Request {
        let &RequestInfo { group, session, give_up_at, plain, expected_duration, class, .. } = a;
        Request {
            class: usize::from(class),
            group,
            session,
            give_up_at,
            plain,
            expected_duration,
            ..Request::default()
        }
    }
    /// Attempts without an outcome.
    pub fn outstanding(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
    /// What an answer in time is worth.
    pub fn worth(&self, set: &Settings) -> f64 {
        set.classes[self.class].worth * if self.beyond { set.over_quota_worth } else { 1.0 }
    }
    /// Until when an answer is worth anything.
    pub fn useful_until(&self, c: &Class) -> Micros {
        if c.latency_target_stretch <= 0.0 && (c.late_worth <= 0.0 || (self.held && c.late_worth < 0.5)) {
            self.give_up_at.min(self.arrived.saturating_add(c.latency_target))
        } else {
            self.give_up_at
        }
    }
    /// Until when it may be sent. Guards against a client that waits in vain for most of its time: from
    /// half of it on, a held one is better off elsewhere.
    pub fn sendable_until(&self, c: &Class) -> Micros {
        let half = self.arrived + self.give_up_at.saturating_sub(self.arrived) / 2;
        self.useful_until(c).min(if self.held { half } else { self.give_up_at })
    }
}

/// Bytes that one piece of news takes in a message.
pub(crate) const LINE: usize = 13;

/// What there is to tell the peers, so many pieces: what tenants ask for now and then, and the positions that they have
/// not been told for longest.
pub(crate) fn news(
    hosts: &mut [HostState], groups: &BTreeMap<GroupId, Group>, shares: &mut Shares, now: Micros, room: usize,
) -> Vec<PeerUpdate> {
    let mut news = shares.news(now);
    let fresh = |i: &usize| hosts[*i].position > Some(hosts[*i].told_peers);
    let mut untold: Vec<usize> = (0..hosts.len()).filter(fresh).collect();
    untold.sort_by_key(|&i| hosts[i].told_peers);
    for i in untold.into_iter().take(room.saturating_sub(news.len())) {
        let s = &mut hosts[i];
        s.told_peers = s.position.unwrap_or(0);
        let primary = groups.get(&s.group).is_some_and(|g| g.primary == Some(i));
        news.push(PeerUpdate::HostPosition { host: s.id, position: s.told_peers, primary });
    }
    news
}

/// Takes in what a peer says of a server. Its word loosens nothing: the position counts as a lag, which servers that
/// check make good where it is wrong, and never as a position known; a primary is one to ask first. The one that is
/// held for it is dropped only where that left something unanswered since: one word ousts nobody.
pub(crate) fn told(
    hosts: &mut [HostState], groups: &mut BTreeMap<GroupId, Group>, i: usize, (at, primary): (Micros, bool),
    now: Micros, later: Micros,
) {
    if at > now {
        // Ahead of the clock, it is no position.
        return;
    }
    let s = &mut hosts[i];
    if s.position.max(Some(s.told_peers)) < Some(at) {
        s.lag = s.lag.clamp((now - at).saturating_sub(later), now - at);
        (s.heard_at, s.unheard) = (now, false);
    }
    s.told_peers = s.told_peers.max(at);
    s.position = if mutants::on("peers are believed") { s.position.max(Some(at)) } else { s.position };
    if let Some(g) = groups.get_mut(&s.group)
        && primary
        && at > g.primary_at
        && g.primary != Some(i)
    {
        g.hint = Some(i);
        g.primary = g.primary.filter(|&p| hosts[p].silent_at == 0);
    }
}

/// Takes in what another router says.
pub(crate) fn take_news(
    hosts: &mut [HostState], groups: &mut BTreeMap<GroupId, Group>, index: &BTreeMap<HostId, usize>,
    shares: &mut Shares, (from, news): (u16, &[PeerUpdate]), now: Micros, later: Micros,
) {
    for n in news {
        match *n {
            PeerUpdate::TenantRate { tenant, per_s } => shares.told(from, tenant, per_s, now),
            PeerUpdate::HostPosition { host, position, primary } => {
                let Some(&i) = index.get(&host) else { continue };
                told(hosts, groups, i, (position, primary), now, later);
            }
        }
    }
}

/// A request whose bytes were still coming is whole: its time begins, and its attempt is one in hand.
/// Guards against a client that writes slowly passing for a slow server, or filling its limit.
pub(crate) fn whole(
    hosts: &mut [HostState], requests: &mut BTreeMap<RequestId, Request>, id: RequestId, give_up_at: Micros,
    now: Micros,
) {
    let Some(r) = requests.get_mut(&id).filter(|r| r.coming) else { return };
    (r.coming, r.arrived, r.give_up_at) = (false, now, give_up_at);
    for a in r.attempts.iter_mut().filter(|a| a.outcome.is_none()) {
        a.sent = now;
        hosts[a.host].in_flight += 1;
    }
}

/// Takes the age of what is out at each server, in units of the mean class, and its in-flight count.
pub(crate) fn age(
    hosts: &mut [HostState], requests: &BTreeMap<RequestId, Request>, scales: &[f64], now: Micros, old: f64,
) {
    for s in hosts.iter_mut() {
        s.pending = 0.0;
        s.count(old);
    }
    for r in requests.values().filter(|r| !r.coming) {
        for a in r.attempts.iter().filter(|a| a.outcome.is_none()) {
            let s = &mut hosts[a.host];
            s.pending = s.pending.max((now - a.sent) as f64 * scales[r.class]);
        }
    }
}

/// Lets servers go that left before this time and that no request has been to, and keeps their places
/// for new ones. Those that only left the list without draining go only if `any` may.
pub(crate) fn forget(
    hosts: &mut [HostState], index: &mut BTreeMap<HostId, usize>, groups: &mut BTreeMap<GroupId, Group>,
    requests: &BTreeMap<RequestId, Request>, any: bool, before: Micros,
) {
    for (i, s) in hosts.iter_mut().enumerate() {
        let gone = s.listed == HostStatus::Removed && (any || s.seen_draining) && s.told_at < before;
        if s.vacant || !gone || requests.values().any(|r| r.attempts.iter().any(|a| a.host == i)) {
            continue;
        }
        index.remove(&s.id);
        if let Some(g) = groups.get_mut(&s.group) {
            g.members.retain(|&m| m != i);
            g.primary = g.primary.filter(|&m| m != i);
            g.hint = g.hint.filter(|&m| m != i);
        }
        *s = HostState { vacant: true, listed: HostStatus::Removed, ..HostState::default() };
    }
}

/// Adds a server that the list names for the first time, or anew after it was forgotten.
pub(crate) fn add_host(
    hosts: &mut Vec<HostState>, index: &mut BTreeMap<HostId, usize>, groups: &mut BTreeMap<GroupId, Group>,
    e: &HostEntry, (limit, joined): (f64, Micros),
) {
    let i = hosts.iter().position(|s| s.vacant).unwrap_or(hosts.len());
    if i == hosts.len() {
        hosts.push(HostState::default());
    }
    let (id, group, zone) = (e.host, e.group, e.zone);
    hosts[i] = HostState { id, group, zone, joined, q: 1.0, limit, ..HostState::default() };
    index.insert(e.host, i);
    let members = &mut groups.entry(e.group).or_default().members;
    members.push(i);
    members.sort_by_key(|&m| hosts[m].id);
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What the others are asked for tells a router's part of a quota of 100 a second, of which four routers that do not
    /// talk have a quarter each.
    #[test]
    fn a_routers_part_of_a_quota_is_its_part_of_what_all_are_asked() {
        let beyond = |others: Option<f64>| {
            let mut shares = Shares::new(&[100.0], 4);
            // 90 a second for five seconds; the last second's tell.
            let asks = (0..450u64).map(|n| {
                let now = 1_000_000 + n * 11_111;
                if let Some(per_s) = others.filter(|_| n % 45 == 0) {
                    shares.told(2, 0, per_s, now);
                }
                (n, shares.beyond(Some(0), now))
            });
            asks.filter(|&(n, beyond)| n >= 360 && beyond).count()
        };
        let [alone, small, large] = [None, Some(10.0), Some(90.0)].map(beyond);
        assert!((60..=70).contains(&alone), "{alone}");
        assert!(small <= 4, "{small}");
        assert!((34..=46).contains(&large), "{large}");
    }

    /// What was told long ago, or makes no sense, counts no more.
    #[test]
    fn old_and_senseless_words_count_nothing() {
        let mut shares = Shares::new(&[100.0], 4);
        shares.told(2, 0, 1e9, 1_000_000);
        shares.told(3, 0, f64::NAN, 9_000_000);
        shares.told(4, 0, -5.0, 9_000_000);
        shares.told(5, 7, 5.0, 9_000_000);
        let beyond = (0..5).filter(|_| shares.beyond(Some(0), 9_000_000)).count();
        assert!(beyond == 0, "{beyond} of a fifth of a second's worth of 25 a second");
        assert!(!shares.beyond(None, 9_000_000) && !shares.beyond(Some(9), 9_000_000));
    }
}
