//! The records that the decision module (`logic.rs`) keeps of hosts, groups, classes, requests, tenants and
//! budgets, and how each is updated.
//!
//! Nothing here chooses a host or decides about a request.

use crate::api::{
    Class, GroupId, HostEntry, HostId, HostStatus, Micros, Outcome, PeerUpdate, RequestId, RequestInfo,
    Safety, Settings,
};
use crate::mutants;
use std::collections::{BTreeMap, VecDeque};

/// What this router knows of one host.
#[derive(Default)]
pub(crate) struct HostState {
    pub id: HostId,
    /// This entry holds no host; the next new host takes it.
    pub vacant: bool,
    pub group: GroupId,
    pub zone: u8,
    /// Status on the list.
    pub listed: HostStatus,
    /// When the list first named the host; 0 if the first list did.
    pub first_listed_at: Micros,
    /// When this router learned that the host drains or is removed.
    pub unavailable_since: Micros,
    /// The list has shown the host as draining, and not as ready since.
    pub seen_draining: bool,
    /// Start of the host's process, if the process may still be cold.
    pub started: Option<Micros>,
    /// Start according to the list; 0 if the list told none.
    pub listed_start: Micros,
    /// Latencies of recent attempts with the time of each, oldest first, in units of the mean class.
    pub samples: VecDeque<(Micros, f64)>,
    /// Tail-adjusted latency; see `tail_adjusted`.
    pub tail_latency: Option<f64>,
    /// Average wait: how far the mean of the samples lies above their p10.
    pub wait: f64,
    /// Attempts of this router that are outstanding here.
    pub in_flight: u32,
    /// Average of `in_flight` + 1.
    pub in_flight_average: f64,
    /// Age of the oldest unanswered attempt, in the unit of the samples.
    pub oldest_pending: f64,
    /// When the host last answered.
    pub last_answer: Micros,
    /// When the host last left an attempt unanswered for its whole timeout; 0 after an answer.
    pub unanswered_at: Micros,
    /// The host's last response was an answer and no error.
    pub last_response_ok: bool,
    /// The latest position that the host itself has reported.
    pub position: Option<Micros>,
    /// How far the position was behind the clock when it was last received.
    pub lag: Micros,
    /// When `lag` was last received.
    pub position_received_at: Micros,
    /// No position is known of the host's present process.
    pub position_unknown: bool,
    /// Position or time of the latest claim of a role, by which claims are ordered.
    pub role_at: Micros,
    /// The latest position that was sent to the peers or received from them.
    pub announced_position: Micros,
    pub probed_at: Option<Micros>,
    /// Share of errors as of `error_at`.
    pub error_share: f64,
    pub error_at: Micros,
    /// Ejections since the host last served an attempt.
    pub ejections: u32,
    /// Failed connections since the host last served an attempt.
    pub failed_connections: u32,
    pub ejected_until: Micros,
    /// Attempts that this router may have outstanding here; see `Router::adapt_concurrency_limit`.
    pub concurrency_limit: f64,
    /// Average share of late answers.
    pub late_share: f64,
    /// When the latest attempt that was answered in time was sent.
    pub last_quick_sent_at: Micros,
    /// The concurrency limit is not cut again before this time.
    pub next_limit_cut_at: Micros,
    /// The host gets no attempt before this time.
    pub paused_until: Micros,
}

/// A delta list names a started host within this time, delayed lists and outages of discovery included.
const MAX_START_NEWS_DELAY_US: Micros = 60_000_000;
/// Clocks of two machines differ by less than this. A difference of more is no clock error.
const MAX_CLOCK_SKEW_US: Micros = 2 * 3_600_000_000;
/// How often the excess of a host's last latency over the usual one halves within the age at which samples
/// expire.
const EXCESS_HALVINGS: f64 = 4.0;

impl HostState {
    /// Adds a latency to the samples and drops the oldest one if there are `max_len` already.
    pub fn add_sample(&mut self, now: Micros, latency: f64, max_len: usize) {
        push_bounded(&mut self.samples, (now, latency), max_len);
        if self.tail_latency.is_none() {
            self.tail_latency = Some(latency);
        }
    }

    /// Updates the in-flight average from the present count; the old value weighs `old_weight`.
    pub fn update_in_flight_average(&mut self, old_weight: f64) {
        self.in_flight_average =
            moving_average(self.in_flight_average, f64::from(self.in_flight) + 1.0, old_weight);
    }

    /// The present share of errors; it halves every `half_life` microseconds.
    pub fn current_error_share(&self, now: Micros, half_life: f64) -> f64 {
        self.error_share * (-((now - self.error_at) as f64) / half_life).exp2()
    }

    /// The tail-adjusted latency, averaged with `weight` samples of the `usual` latency of all hosts.
    pub fn weighted_latency(&self, (usual, weight): (f64, f64)) -> Option<f64> {
        let own_weight = self.samples.len() as f64;
        let weight = if usual > 0.0 { weight } else { 0.0 };
        self.tail_latency.map(|own| {
            if weight > 0.0 { (own_weight * own + weight * usual) / (own_weight + weight) } else { own }
        })
    }

    /// Records a position that the host held at most `max_age` ago. The lag at that time was at most
    /// `now - position`, and at least that less `max_age`.
    pub fn record_position(&mut self, position: Micros, now: Micros, max_age: Micros) {
        if max_age == 0 || self.position < Some(position) {
            let max_lag = now - position;
            self.lag = self.lag.clamp(max_lag.saturating_sub(max_age), max_lag);
            (self.position_received_at, self.position_unknown) = (now, false);
        }
        self.position = self.position.max(Some(position));
    }

    /// Sets the status on the list. Returns false if the status is the same as before.
    pub fn set_status(&mut self, status: HostStatus, now: Micros) -> bool {
        if status == self.listed {
            return false;
        }
        if self.listed == HostStatus::Ready {
            self.unavailable_since = now;
        }
        self.seen_draining =
            status == HostStatus::Draining || (self.seen_draining && status == HostStatus::Removed);
        self.listed = status;
        true
    }

    /// Counts a connection that failed, by a timeout (`timed_out`) or at once. Returns whether the host
    /// counts as unreachable. One refused connection may be a short fault of the network; a second one
    /// without an answer in between is none.
    pub fn connection_failed(&mut self, timed_out: bool) -> bool {
        self.failed_connections += 1;
        self.last_response_ok = false;
        timed_out || self.failed_connections > 1
    }

    /// Updates the tail-adjusted latency and the average wait: algorithms 1 and 2 of the thesis, over the
    /// samples that are at most `max_age` old. The old average of the wait weighs `old_weight`.
    ///
    /// The latest sample stays when it expires, and its excess over the `usual` latency fades. Guards against
    /// a host that was slow once and gets no attempts for good: without attempts there are no new samples.
    pub fn update_tail_latency(
        &mut self, now: Micros, max_age: Micros, tail_ratio: f64, old_weight: f64, usual: f64,
    ) {
        while self.samples.len() > 1 && self.samples[0].0 + max_age < now {
            self.samples.pop_front();
        }
        let Some(&(latest_at, latest)) = self.samples.back() else { return };
        let sorted = sorted(self.samples.iter().map(|sample| sample.1));
        let expired_ages = now.saturating_sub(latest_at + max_age) as f64 / max_age as f64;
        let adjusted = tail_adjusted(&sorted, latest, tail_ratio);
        let faded = usual + (adjusted - usual) * (-expired_ages * EXCESS_HALVINGS).exp2();
        self.tail_latency = Some(adjusted.min(faded));
        let above_p10 = sorted.iter().sum::<f64>() / sorted.len() as f64 - percentile(&sorted, 10.0);
        self.wait = moving_average(self.wait, above_p10.max(0.0), old_weight);
    }

    /// Whether the host may be tried. After an ejection it gets one attempt at a time until it serves one.
    pub fn is_healthy(&self, now: Micros) -> bool {
        now >= self.ejected_until && (self.ejections == 0 || self.in_flight == 0)
    }

    /// Whether the host is not paused and below its concurrency limit.
    pub fn has_free_slot(&self, now: Micros) -> bool {
        now >= self.paused_until && f64::from(self.in_flight) < self.concurrency_limit
    }

    /// The host's present capacity as a share of its full capacity, while the host is cold. It rises linearly
    /// from `start_capacity` to 1 over `cold_duration`.
    pub fn cold_share(&self, now: Micros, safety: &Safety) -> Option<f64> {
        let age = now.saturating_sub(self.started?) as f64;
        let progress = age / safety.cold_duration.max(1) as f64;
        let start = safety.start_capacity;
        (progress < 1.0).then(|| (start + (1.0 - start) * progress).clamp(0.01, 1.0))
    }

    /// Records the start that the list tells (0 for none). A host that is `new` on the list without a start
    /// has just started.
    ///
    /// The clock behind the start may differ from this proxy's. A start in the future counts as now. So does
    /// one in a change of the list (`is_change`) that is too old for a change: changes arrive within seconds.
    pub fn record_start(
        &mut self, started: Micros, now: Micros, cold_duration: Micros, new: bool, is_change: bool,
    ) {
        // Any other start counts, not only a later one: a clock may have been set back in between.
        if started != self.listed_start && started > 0 {
            self.listed_start = started;
            let age = now.saturating_sub(started);
            let too_old_for_change =
                is_change && (cold_duration + MAX_START_NEWS_DELAY_US..MAX_CLOCK_SKEW_US).contains(&age);
            let is_skewed = started > now || too_old_for_change;
            let by_another_clock = is_skewed && !mutants::on("starts are believed");
            let at = if by_another_clock { now } else { started };
            if at <= now && at.saturating_add(cold_duration) > now {
                self.reset_for_restart(at);
            }
        } else if new && started == 0 {
            self.reset_for_restart(now);
        }
    }

    /// Discards what was learned from an earlier process; the present process started at `at`.
    pub fn reset_for_restart(&mut self, at: Micros) {
        self.started = Some(at);
        self.position_unknown = true;
        self.samples.clear();
        self.tail_latency = None;
        self.wait = 0.0;
        self.error_share = 0.0;
        self.ejected_until = 0;
    }

    /// Readmits a host that operators left out since `left_out_since` and use again since `since`: as after a
    /// restart, without pauses, ejections or a cut concurrency limit. Guards against a host that operators
    /// bring back and that stays unused because of its earlier process.
    ///
    /// If the list told a start between the two times, that start counts. A host that is used again since
    /// `warm_before` or earlier is warm by now and stays as it is.
    pub fn readmit(
        &mut self, left_out_since: Option<Micros>, since: Micros, concurrency_limit: f64, warm_before: Micros,
    ) {
        if since <= warm_before {
            return;
        }
        let start_is_listed =
            left_out_since.is_some_and(|out| out < self.listed_start && self.listed_start < since);
        self.reset_for_restart(if start_is_listed { self.listed_start } else { since });
        (self.ejections, self.failed_connections, self.concurrency_limit, self.late_share) =
            (0, 0, concurrency_limit, 0.0);
        (self.paused_until, self.next_limit_cut_at) = (0, 0);
    }
}

/// Counts the hosts on the list, and those of them that drain, are ejected or are left out by operators.
pub(crate) fn count_hosts(hosts: &[HostState], is_left_out: impl Fn(&HostState) -> bool) -> (usize, usize) {
    let listed = || hosts.iter().filter(|host| host.listed != HostStatus::Removed);
    let unavailable =
        |host: &&HostState| host.listed == HostStatus::Draining || host.ejections > 0 || is_left_out(host);
    (listed().count(), listed().filter(unavailable).count())
}

/// Appends to a list and drops its oldest value if it has `max_len` already.
pub(crate) fn push_bounded<T>(list: &mut VecDeque<T>, value: T, max_len: usize) {
    if list.len() >= max_len {
        list.pop_front();
    }
    list.push_back(value);
}

/// The values in ascending order.
pub(crate) fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut out: Vec<f64> = values.collect();
    out.sort_by(f64::total_cmp);
    out
}

/// The `p`th percentile by nearest rank, as in the thesis. `sorted` must not be empty.
pub(crate) fn percentile(sorted: &[f64], p: f64) -> f64 {
    let rank = (p / 100.0 * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}

/// The latency that represents a list: its p90 if the tail is long (p99 is at least `tail_ratio` times p90),
/// else its p95 if the far tail is long (p99.9 is at least `tail_ratio` times p95), else the latest value.
pub fn tail_adjusted(sorted: &[f64], latest: f64, tail_ratio: f64) -> f64 {
    let at = |p| percentile(sorted, p);
    if at(99.0) >= tail_ratio * at(90.0) {
        at(90.0)
    } else if at(99.9) >= tail_ratio * at(95.0) {
        at(95.0)
    } else {
        latest
    }
}

/// A group of hosts, which are named by their indices.
#[derive(Default)]
pub(crate) struct Group {
    /// Members in the order of their ids.
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    /// Position at which the primary's role was last confirmed.
    pub primary_at: Micros,
    /// When this router learned of the primary.
    pub primary_found_at: Micros,
    /// The primary according to the list or to a peer.
    pub listed_primary: Option<usize>,
    /// Requests that wait for a host.
    pub held: Vec<RequestId>,
    /// The held request whose attempt is out to find the primary.
    pub search_request: Option<RequestId>,
    /// Where the search for the primary goes on in the order of members.
    pub search_next: usize,
    /// The next round of the search begins no sooner than this.
    pub search_at: Micros,
    /// Recent reads here, and those of them that failed.
    pub read_outcomes: ReadTally,
    /// When a bounded read was last held here.
    pub bounded_held_at: Micros,
}

/// Counts of reads that halve with time.
#[derive(Clone, Copy, Default)]
pub(crate) struct ReadTally {
    /// Reads without an answer in time, or rejected because their host was overloaded.
    pub late: f64,
    /// Reads that were served.
    pub served: f64,
    /// Served reads that took over half of their latency target.
    pub slow: f64,
    /// Reads that were rejected because their replica lagged too far.
    pub stale: f64,
    /// All reads.
    pub total: f64,
    /// The time of these counts.
    at: Micros,
}

impl ReadTally {
    /// The counts as of now; they halve every `half_life` microseconds. Guards against a router without
    /// requests that would still refuse for an overload that is long over.
    pub fn decayed(self, now: Micros, half_life: f64) -> ReadTally {
        let remaining = (-(now.saturating_sub(self.at) as f64) / half_life).exp2();
        let served = self.served * remaining;
        let slow = self.slow * remaining;
        ReadTally {
            late: self.late * remaining,
            served,
            slow,
            stale: self.stale * remaining,
            total: self.total * remaining,
            at: now,
        }
    }

    /// Counts one more read.
    pub fn add(&mut self, now: Micros, half_life: f64, outcome: Outcome, slow: bool) {
        *self = self.decayed(now, half_life);
        self.late += f64::from(matches!(outcome, Outcome::Timeout | Outcome::Overloaded));
        self.stale += f64::from(outcome == Outcome::Unsuitable);
        self.served += f64::from(outcome == Outcome::Ok);
        self.slow += f64::from(outcome == Outcome::Ok && slow);
        self.total += 1.0;
    }
}

/// Compares the failures of several groups. Each count is (failures, reads).
///
/// Returns the share of failures in all reads, with `prior` further reads that didn't fail, and the
/// dispersion of the groups around that share: the mean of (failures - expected)^2 / expected, which is near
/// 1 if the groups differ by chance alone.
pub(crate) fn failure_spread(counts: Vec<(f64, f64)>, prior: f64) -> (f64, f64) {
    let sum = counts.iter().fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    let usual = sum.0 / (sum.1 + prior);
    let seen: Vec<_> = counts.into_iter().filter(|count| count.1 > 0.0).collect();
    // Most groups have so few reads that the expected failures come near 0; the bound avoids a division by 0.
    let squares = seen
        .iter()
        .map(|count| (count.0 - count.1 * usual).powi(2) / (count.1 * usual).max(0.01))
        .sum::<f64>();
    (usual, squares / seen.len().max(1) as f64)
}

/// The tenants' recent request rates, and what remains of their quotas.
///
/// All proxies share one quota. This proxy's part of it is its part of the requests that all proxies receive,
/// as far as the peers report theirs; without reports each proxy has an equal part.
#[derive(Default)]
pub(crate) struct TenantQuotas {
    proxy_count: f64,
    tenants: Vec<TenantQuota>,
    /// The rates that each peer last reported, in requests per second, and the time of the report.
    peers: BTreeMap<u16, (Micros, Vec<f64>)>,
    /// When this proxy last reported its rates to the peers.
    announced_at: Micros,
}

/// One tenant's quota at this proxy.
#[derive(Clone, Copy)]
struct TenantQuota {
    /// Requests per second at all proxies together.
    quota: f64,
    /// Number of requests, halving with time, as of `at`.
    requested: f64,
    /// Requests that may come at once, as of `at`.
    available: f64,
    at: Micros,
}

/// Half-life of the count of a tenant's requests.
const TENANT_RATE_HALF_LIFE_US: f64 = 2_000_000.0;
/// The part of a quota that may come at once, in seconds of the quota.
const QUOTA_BURST_SECONDS: f64 = 0.2;
/// Interval at which the tenants' rates are reported to the peers.
const TENANT_RATE_INTERVAL_US: Micros = 500_000;
/// Age at which a peer's report of its rates expires.
const TENANT_RATE_EXPIRY_US: Micros = 3_000_000;

impl TenantQuotas {
    pub fn new(quotas: &[f64], proxy_count: u32) -> TenantQuotas {
        let tenant = |&quota: &f64| TenantQuota { quota, requested: 0.0, available: 0.0, at: 0 };
        let proxy_count = f64::from(proxy_count.max(1));
        TenantQuotas { proxy_count, tenants: quotas.iter().map(tenant).collect(), ..TenantQuotas::default() }
    }

    /// Counts one more request of a tenant. Returns whether the request exceeds this proxy's part of the
    /// quota, of which `QUOTA_BURST_SECONDS` may come at once. A request without a known tenant never does.
    pub fn exceeds_quota(&mut self, tenant: Option<u16>, now: Micros) -> bool {
        let Some(tenant_index) =
            tenant.map(usize::from).filter(|&tenant_index| tenant_index < self.tenants.len())
        else {
            return false;
        };
        let own_rate = self.tenants[tenant_index].rate(now);
        let recent = self.peers.values().filter(|peer| peer.0 + TENANT_RATE_EXPIRY_US > now);
        let (reporting, peer_rate) =
            recent.fold((0, 0.0), |sum, peer| (sum.0 + 1, sum.1 + peer.1.get(tenant_index).unwrap_or(&0.0)));
        let state = &mut self.tenants[tenant_index];
        let part =
            if reporting > 0 { own_rate / (own_rate + peer_rate).max(1e-9) } else { 1.0 / self.proxy_count };
        let own_quota = state.quota * part;
        let elapsed = now.saturating_sub(state.at) as f64;
        state.requested = state.requested * (-elapsed / TENANT_RATE_HALF_LIFE_US).exp2() + 1.0;
        state.available =
            (state.available + own_quota * elapsed / 1e6).min((own_quota * QUOTA_BURST_SECONDS).max(1.0));
        state.at = now;
        let exceeds = state.available < 1.0;
        state.available -= f64::from(!exceeds);
        exceeds
    }

    /// The tenants' rates for the peers, once every `TENANT_RATE_INTERVAL_US`; otherwise nothing.
    pub fn rates_to_announce(&mut self, now: Micros) -> Vec<PeerUpdate> {
        if now < self.announced_at + TENANT_RATE_INTERVAL_US {
            return Vec::new();
        }
        self.announced_at = now;
        (0..)
            .zip(&self.tenants)
            .map(|(tenant, quota)| PeerUpdate::TenantRate { tenant, per_s: quota.rate(now) })
            .collect()
    }

    /// Records a tenant's rate at a peer. Ignores rates that are no number or negative, and unknown tenants.
    pub fn record_peer_rate(&mut self, from: u16, tenant: u16, per_s: f64, now: Micros) {
        let (tenant_index, tenant_count) = (usize::from(tenant), self.tenants.len());
        if tenant_index < tenant_count && per_s.is_finite() && per_s >= 0.0 {
            let peer = self.peers.entry(from).or_insert_with(|| (now, vec![0.0; tenant_count]));
            peer.0 = now;
            peer.1[tenant_index] = per_s;
        }
    }
}

impl TenantQuota {
    /// The tenant's recent rate at this proxy, in requests per second.
    fn rate(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.requested * (-elapsed / TENANT_RATE_HALF_LIFE_US).exp2() * std::f64::consts::LN_2
            / TENANT_RATE_HALF_LIFE_US
            * 1e6
    }
}

/// When time-driven work is next due.
#[derive(Default)]
pub(crate) struct Schedule {
    /// The next tick.
    pub tick: Micros,
    /// The next round of probes, peer updates and percentiles.
    pub update: Micros,
    /// The latest timer that was requested.
    pub timer: Micros,
    /// The next subscription.
    pub subscribe_at: Option<Micros>,
    /// Subscriptions that failed in a row.
    pub subscribe_failures: u32,
}

/// What each request adds to the budget of retries; a retry takes up to 1.
const RETRIES_PER_REQUEST: f64 = 0.15;
/// The most that the budget of retries holds.
const MAX_RETRIES: f64 = 10.0;
/// What each request adds to the budget of probes; a probe takes 1.
const PROBES_PER_REQUEST: f64 = 0.05;
/// The most that the budget of probes holds.
const MAX_PROBES: f64 = 10.0;
/// What each request adds to the budget of bytes to peers.
const PEER_BYTES_PER_REQUEST: f64 = 25.0;
/// Bytes that a message to a peer holds. The budget of bytes holds one message to each proxy.
const PEER_MESSAGE_BYTES: f64 = 256.0;

/// Budgets of the work beside first attempts. They grow with the router's own requests, so that hundreds of
/// proxies together cost the hosts no more than two.
pub(crate) struct Budgets {
    pub retries: f64,
    pub probes: f64,
    pub peer_bytes: f64,
}

impl Budgets {
    pub fn new() -> Budgets {
        Budgets { retries: MAX_RETRIES, probes: 1.0, peer_bytes: 0.0 }
    }

    /// Adds what one request earns, at one of `proxy_count` proxies.
    pub fn credit_request(&mut self, proxy_count: u32) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
        self.probes = (self.probes + PROBES_PER_REQUEST).min(MAX_PROBES);
        self.peer_bytes =
            (self.peer_bytes + PEER_BYTES_PER_REQUEST).min(PEER_MESSAGE_BYTES * f64::from(proxy_count));
    }
}

/// What has been observed over all hosts.
#[derive(Default)]
pub(crate) struct Observed {
    /// Mean latency of served attempts.
    pub mean_latency: f64,
    /// Recent share of attempts that were refused a connection quickly.
    pub refused_share: f64,
    /// Recent reads in all groups, and those of them that failed.
    pub read_outcomes: ReadTally,
    pub zones: Zones,
    /// Whether a list has come.
    pub listed_once: bool,
    /// Until when plain reads are expected; for these only known positions count.
    pub plain_until: Micros,
}

/// When each zone last answered, and which zones count as lost.
#[derive(Default)]
pub(crate) struct Zones {
    answers: BTreeMap<u8, Micros>,
    /// Since when and until when each lost zone counts as lost.
    lost: BTreeMap<u8, (Micros, Micros)>,
}

impl Zones {
    /// A host of the zone answered: the zone is not lost.
    pub fn answered(&mut self, zone: u8, now: Micros) {
        self.answers.insert(zone, now);
        self.lost.remove(&zone);
    }

    /// When a host of the zone last answered; 0 for never.
    pub fn last_answer(&self, zone: u8) -> Micros {
        self.answers.get(&zone).copied().unwrap_or(0)
    }

    /// Marks a zone as lost until `until`; since now, if it was not lost before.
    pub fn mark_lost(&mut self, zone: u8, now: Micros, until: Micros) {
        self.lost.entry(zone).or_insert((now, 0)).1 = until;
    }

    /// Whether a zone was marked as lost and has not answered since.
    pub fn was_lost(&self, zone: u8) -> bool {
        self.lost.contains_key(&zone)
    }

    /// Whether a host that started at `started` is lost with its zone.
    pub fn is_lost(&self, zone: u8, started: Micros, now: Micros) -> bool {
        self.lost.get(&zone).is_some_and(|&(since, until)| started <= since && until >= now)
    }
}

/// The latencies of a class.
#[derive(Default)]
pub(crate) struct ClassState {
    /// Latencies of served attempts, oldest first.
    pub samples: VecDeque<f64>,
    pub mean: f64,
    /// The median.
    pub p50: f64,
}

impl ClassState {
    /// A class without samples, with an assumed median.
    pub fn with_median(p50: f64) -> ClassState {
        ClassState { p50, ..ClassState::default() }
    }
    /// Updates the median from the samples, if there are at least `min_len`.
    pub fn update_median(&mut self, min_len: usize) {
        if self.samples.len() >= min_len {
            self.p50 = percentile(&sorted(self.samples.iter().copied()), 50.0);
        }
    }
    /// Adds the latency of a served attempt.
    pub fn add_served(&mut self, latency: f64, old_weight: f64, max_len: usize) {
        update_mean(&mut self.mean, latency, old_weight);
        push_bounded(&mut self.samples, latency, max_len);
    }
}

/// A moving average, in which the value before weighs `old_weight`.
pub(crate) fn moving_average(before: f64, value: f64, old_weight: f64) -> f64 {
    old_weight * before + (1.0 - old_weight) * value
}

/// Moves an average towards a value. An average of 0 has no value yet and takes this one.
pub(crate) fn update_mean(mean: &mut f64, value: f64, old_weight: f64) {
    *mean = if *mean > 0.0 { moving_average(*mean, value, old_weight) } else { value };
}

/// One attempt of a request.
pub(crate) struct Attempt {
    /// The host's index.
    pub host: usize,
    pub sent: Micros,
    /// How it ended; none while it is outstanding.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// The first attempt that is not proven to have had no effect.
    pub fn first_possibly_run(attempts: &[Attempt]) -> Option<&Attempt> {
        attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }
}

/// A client's request, which is kept until it is closed and every attempt has ended.
#[derive(Default)]
pub(crate) struct Request {
    pub class: usize,
    pub group: GroupId,
    pub session: u64,
    /// Uniform random number from 0 to 1, drawn on arrival.
    pub draw: f64,
    /// Position that the request's reads must see, as of the beginning of its latest attempt.
    pub required_position: Micros,
    pub arrived: Micros,
    /// When the client stops waiting.
    pub give_up_at: Micros,
    pub attempts: Vec<Attempt>,
    /// It waits for a host.
    pub held: bool,
    /// Its last bytes have not arrived, so no host works on it.
    pub is_incomplete: bool,
    /// Hosts know nothing of its terms; see `RequestInfo::plain`.
    pub plain: bool,
    /// Expected duration of an attempt; 0 if only the class tells.
    pub expected_duration: Micros,
    /// The attempt whose answer has begun to stream.
    pub streaming: Option<usize>,
    pub closed: bool,
    /// An earlier request of the same connection was open when it arrived.
    pub pipelined: bool,
    /// It exceeds its tenant's quota.
    pub over_quota: bool,
}

impl Request {
    /// A request as it arrived.
    pub fn from_info(info: &RequestInfo) -> Request {
        let &RequestInfo { group, session, give_up_at, plain, expected_duration, class, pipelined, .. } =
            info;
        Request {
            class: usize::from(class),
            group,
            session,
            give_up_at,
            plain,
            expected_duration,
            pipelined,
            ..Request::default()
        }
    }
    /// Number of attempts without an outcome.
    pub fn outstanding(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
    /// The worth of an answer in time.
    pub fn worth(&self, settings: &Settings) -> f64 {
        settings.classes[self.class].worth * if self.over_quota { settings.over_quota_worth } else { 1.0 }
    }
    /// Until when an answer is worth enough to wait for.
    pub fn useful_until(&self, class: &Class) -> Micros {
        if class.latency_target_stretch <= 0.0
            && (class.late_worth <= 0.0 || (self.held && class.late_worth < 0.5))
        {
            self.give_up_at.min(self.arrived.saturating_add(class.latency_target))
        } else {
            self.give_up_at
        }
    }
    /// Until when an attempt may be sent. A held request may be sent for half of its client's time only.
    /// Guards against a client that waits in vain for most of its time: from half of it on, a retry elsewhere
    /// serves the client better.
    pub fn sendable_until(&self, class: &Class) -> Micros {
        let half = self.arrived + self.give_up_at.saturating_sub(self.arrived) / 2;
        self.useful_until(class).min(if self.held { half } else { self.give_up_at })
    }
}

/// Bytes that one update takes in a message to a peer.
pub(crate) const PEER_UPDATE_BYTES: usize = 13;

/// Collects up to `max_len` updates for the peers: the tenants' rates if they are due, and the positions that
/// were announced longest ago.
pub(crate) fn collect_peer_updates(
    hosts: &mut [HostState], groups: &BTreeMap<GroupId, Group>, quotas: &mut TenantQuotas, now: Micros,
    max_len: usize,
) -> Vec<PeerUpdate> {
    let mut updates = quotas.rates_to_announce(now);
    let is_new = |index: &usize| hosts[*index].position > Some(hosts[*index].announced_position);
    let mut unannounced: Vec<usize> = (0..hosts.len()).filter(is_new).collect();
    unannounced.sort_by_key(|&index| hosts[index].announced_position);
    for index in unannounced.into_iter().take(max_len.saturating_sub(updates.len())) {
        let host = &mut hosts[index];
        host.announced_position = host.position.unwrap_or(0);
        let primary = groups.get(&host.group).is_some_and(|group| group.primary == Some(index));
        updates.push(PeerUpdate::HostPosition { host: host.id, position: host.announced_position, primary });
    }
    updates
}

/// Applies a host's position, and whether the host is the primary, as a peer reports them. The position is at
/// most `max_age` old.
///
/// A peer's report relaxes no check. Its position counts only as a lag, which hosts that check freshness make
/// good if it is wrong, and never as a known position. A reported primary is the first host to ask. The
/// present primary is dropped only if it has left an attempt unanswered since its last answer: a report alone
/// replaces no primary.
pub(crate) fn apply_peer_position(
    hosts: &mut [HostState], groups: &mut BTreeMap<GroupId, Group>, index: usize,
    (reported, primary): (Micros, bool), now: Micros, max_age: Micros,
) {
    if reported > now {
        // A position ahead of the clock is not valid.
        return;
    }
    let host = &mut hosts[index];
    if host.position.max(Some(host.announced_position)) < Some(reported) {
        host.lag = host.lag.clamp((now - reported).saturating_sub(max_age), now - reported);
        (host.position_received_at, host.position_unknown) = (now, false);
    }
    host.announced_position = host.announced_position.max(reported);
    host.position =
        if mutants::on("peers are believed") { host.position.max(Some(reported)) } else { host.position };
    if let Some(group) = groups.get_mut(&host.group)
        && primary
        && reported > group.primary_at
        && group.primary != Some(index)
    {
        group.listed_primary = Some(index);
        group.primary = group.primary.filter(|&p| hosts[p].unanswered_at == 0);
    }
}

/// Applies a peer's message. Its positions are at most `max_age` old.
pub(crate) fn apply_peer_updates(
    hosts: &mut [HostState], groups: &mut BTreeMap<GroupId, Group>, host_index: &BTreeMap<HostId, usize>,
    quotas: &mut TenantQuotas, (from, updates): (u16, &[PeerUpdate]), now: Micros, max_age: Micros,
) {
    for update in updates {
        match *update {
            PeerUpdate::TenantRate { tenant, per_s } => quotas.record_peer_rate(from, tenant, per_s, now),
            PeerUpdate::HostPosition { host, position, primary } => {
                let Some(&index) = host_index.get(&host) else { continue };
                apply_peer_position(hosts, groups, index, (position, primary), now, max_age);
            }
        }
    }
}

/// The last byte of a request has arrived: its time begins, and its attempt counts as in flight.
/// Guards against a client that writes slowly and makes its host look slow, or uses up the host's concurrency
/// limit.
pub(crate) fn complete_request(
    hosts: &mut [HostState], requests: &mut BTreeMap<RequestId, Request>, id: RequestId, give_up_at: Micros,
    now: Micros,
) {
    let Some(request) = requests.get_mut(&id).filter(|request| request.is_incomplete) else { return };
    // The last byte may have arrived before now.
    let patience = request.give_up_at.saturating_sub(request.arrived);
    let arrived = give_up_at.saturating_sub(patience).clamp(request.arrived, now.max(request.arrived));
    (request.is_incomplete, request.arrived, request.give_up_at) = (false, arrived, give_up_at);
    for attempt in request.attempts.iter_mut().filter(|attempt| attempt.outcome.is_none()) {
        attempt.sent = now;
        hosts[attempt.host].in_flight += 1;
    }
}

/// Updates each host's in-flight average and the age of its oldest outstanding attempt. `scales` converts the
/// age of an attempt of each class to units of the mean class.
pub(crate) fn update_pending(
    hosts: &mut [HostState], requests: &BTreeMap<RequestId, Request>, scales: &[f64], now: Micros,
    old_weight: f64,
) {
    for host in hosts.iter_mut() {
        host.oldest_pending = 0.0;
        host.update_in_flight_average(old_weight);
    }
    for request in requests.values().filter(|request| !request.is_incomplete) {
        for attempt in request.attempts.iter().filter(|attempt| attempt.outcome.is_none()) {
            let host = &mut hosts[attempt.host];
            host.oldest_pending =
                host.oldest_pending.max((now - attempt.sent) as f64 * scales[request.class]);
        }
    }
}

/// Forgets hosts that were removed before `before` and have no attempt of a kept request; new hosts take
/// their entries. A host that left the list without draining is forgotten only if `without_drain` is set.
pub(crate) fn forget_removed_hosts(
    hosts: &mut [HostState], host_index: &mut BTreeMap<HostId, usize>, groups: &mut BTreeMap<GroupId, Group>,
    requests: &BTreeMap<RequestId, Request>, without_drain: bool, before: Micros,
) {
    for (index, host) in hosts.iter_mut().enumerate() {
        let is_removed = host.listed == HostStatus::Removed
            && (without_drain || host.seen_draining)
            && host.unavailable_since < before;
        if host.vacant
            || !is_removed
            || requests.values().any(|request| request.attempts.iter().any(|a| a.host == index))
        {
            continue;
        }
        host_index.remove(&host.id);
        if let Some(group) = groups.get_mut(&host.group) {
            group.members.retain(|&member| member != index);
            group.primary = group.primary.filter(|&member| member != index);
            group.listed_primary = group.listed_primary.filter(|&member| member != index);
        }
        *host = HostState { vacant: true, listed: HostStatus::Removed, ..HostState::default() };
    }
}

/// Adds a host that the list names for the first time, or again after it was forgotten.
pub(crate) fn add_host(
    hosts: &mut Vec<HostState>, host_index: &mut BTreeMap<HostId, usize>,
    groups: &mut BTreeMap<GroupId, Group>, entry: &HostEntry,
    (concurrency_limit, first_listed_at): (f64, Micros),
) {
    let index = hosts.iter().position(|host| host.vacant).unwrap_or(hosts.len());
    if index == hosts.len() {
        hosts.push(HostState::default());
    }
    let (id, group, zone) = (entry.host, entry.group, entry.zone);
    hosts[index] = HostState {
        id,
        group,
        zone,
        first_listed_at,
        in_flight_average: 1.0,
        concurrency_limit,
        ..HostState::default()
    };
    host_index.insert(entry.host, index);
    let members = &mut groups.entry(entry.group).or_default().members;
    members.push(index);
    members.sort_by_key(|&member| hosts[member].id);
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A proxy's part of a quota of 100 requests per second is its part of the requests at all proxies;
    /// without reports each of four proxies has a quarter.
    #[test]
    fn proxy_part_of_quota_follows_reported_rates() {
        let exceeding = |peer_rate: Option<f64>| {
            let mut quotas = TenantQuotas::new(&[100.0], 4);
            // 90 requests per second for five seconds, of which the last second is counted.
            let requests = (0..450u64).map(|n| {
                let now = 1_000_000 + n * 11_111;
                if let Some(per_s) = peer_rate.filter(|_| n % 45 == 0) {
                    quotas.record_peer_rate(2, 0, per_s, now);
                }
                (n, quotas.exceeds_quota(Some(0), now))
            });
            requests.filter(|&(n, exceeds)| n >= 360 && exceeds).count()
        };
        let [alone, small, large] = [None, Some(10.0), Some(90.0)].map(exceeding);
        assert!((60..=70).contains(&alone), "{alone}");
        assert!(small <= 4, "{small}");
        assert!((34..=46).contains(&large), "{large}");
    }

    /// Expired reports and rates that are no valid number have no effect on the quota.
    #[test]
    fn expired_and_invalid_peer_rates_are_ignored() {
        let mut quotas = TenantQuotas::new(&[100.0], 4);
        quotas.record_peer_rate(2, 0, 1e9, 1_000_000);
        quotas.record_peer_rate(3, 0, f64::NAN, 9_000_000);
        quotas.record_peer_rate(4, 0, -5.0, 9_000_000);
        quotas.record_peer_rate(5, 7, 5.0, 9_000_000);
        let exceeding = (0..5).filter(|_| quotas.exceeds_quota(Some(0), 9_000_000)).count();
        assert!(exceeding == 0, "{exceeding} of a burst of 0.2 seconds of 25 requests per second");
        assert!(!quotas.exceeds_quota(None, 9_000_000) && !quotas.exceeds_quota(Some(9), 9_000_000));
    }
}
