//! The decision module: decides where each request goes, when it is retried and when it is refused.
//!
//! This file holds the tunable constants, the state of [`Router`] and the order in which events are handled.
//! Each subject has a submodule. The interface (settings, events, actions) is `src/api.rs`; the records that
//! the router keeps are in `src/state.rs`. The module must not read a clock or do I/O.
//!
//! In the ordinary case each eligible replica gets the score
//! `tail-adjusted latency x (average of own in-flight + 1) cubed + wait`, and a read goes to a random replica
//! within 20% of the lowest score. `docs/design.md` lists the exceptions and their conditions.

mod background;
mod evidence;
mod freshness;
mod lifecycle;
mod membership;
mod overload;
mod primary;
mod routing;
mod slow_start;
mod waiting;

use crate::api::*;
use crate::invariants::{self, AttemptStart, RequestStart};
use crate::mutants;
use crate::sessions::{PRIMARY_ONLY, Sessions, committed_by};
pub use crate::state::tail_adjusted;
use crate::state::*;
use oorandom::Rand64;
use std::collections::BTreeMap;

// ---- Tunable constants: times in microseconds, shares as fractions of 1. ----

/// A latency list has a long tail, which is clamped, where its p99 is at least this multiple of its p90
/// (thesis: 2).
pub const TAIL_RATIO: f64 = 2.0;
/// A read goes to a random replica whose score is at most this multiple of the lowest score.
const NEAR_BEST_RATIO: f64 = 1.2;
/// Weight of the old value in the in-flight average. In-flight is known exactly, so the average follows it
/// closely.
const IN_FLIGHT_OLD_WEIGHT: f64 = 0.3;
/// Weight of the old value in the averages of a host's wait and of its late share.
const OLD_WEIGHT: f64 = 0.9;
/// Latency samples kept per host.
const HOST_SAMPLES: usize = 40;
/// Age at which a latency sample expires. Short, so that a recovery shows soon. Also the longest pause of a
/// host, and how long a received lag and a recent start of a host count in `Router::estimated_position`.
const SAMPLE_AGE_US: Micros = 5_000_000;
/// Weight of the old value in the mean latency of a class and of all classes.
const CLASS_OLD_WEIGHT: f64 = 0.98;
/// Latency samples kept per class.
const CLASS_SAMPLES: usize = 128;
/// Interval of percentile updates, probes, peer updates and rounds of the search for the primary; also the
/// pause of a host after a timeout at a concurrency limit of 1.
const UPDATE_INTERVAL_US: Micros = 100_000;
/// Interval at which time-driven decisions are made.
const TICK_US: Micros = 10_000;
/// Latency assumed for a replica when no member of its group has a sample.
const DEFAULT_LATENCY_US: f64 = 10_000.0;
/// Multiplies the primary's score for reads that replicas can serve too.
const PRIMARY_PENALTY: f64 = 2.0;
/// Multiplies the score of a replica in another zone, where cross-zone attempts cost.
const CROSS_ZONE_PENALTY: f64 = 1.5;
/// A class of `AnyRead` is long if the mean latency over all classes is under this share of its own mean.
const LONG_CLASS_RATIO: f64 = 0.5;
/// For long reads each further replica, in id order, has its score multiplied by this once more.
const LONG_READ_RANK_PENALTY: f64 = 16.0;
/// Shortest time between two probes of a replica that is known to lie outside the bound. A position that is
/// not taken from an answer may be this old.
const PROBE_INTERVAL_US: Micros = 500_000;
/// An error share of 1 multiplies a replica's score by this + 1.
const ERROR_PENALTY: f64 = 10.0;
/// Half-life of a host's error share, after which the host is tried again.
const ERROR_HALF_LIFE_US: f64 = 4_000_000.0;
/// Weight of one error in the error share. High, because few hosts fail only now and then: a host that fails
/// usually fails most of its attempts.
const ERROR_WEIGHT: f64 = 0.3;
/// First ejection of a host, and first wait after a failed subscription. Doubles with each repetition.
const BACKOFF_US: Micros = 500_000;
/// How often `BACKOFF_US` doubles at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Concurrency limit (attempts that this router may have outstanding at a host) of a host of which nothing is
/// known.
const INITIAL_CONCURRENCY_LIMIT: f64 = 4.0;
/// An answer is late if it takes more than this share of its class's latency target.
const LATE_TARGET_RATIO: f64 = 0.5;
/// The concurrency limit is cut if more than this share of the answers is late.
const MAX_LATE_SHARE: f64 = 0.10;
/// A cut multiplies the concurrency limit by this.
const LIMIT_CUT_FACTOR: f64 = 0.5;
/// A timed-out attempt that waited more than this multiple of its class's median counts as a lost answer
/// rather than as a lack of capacity, if a later attempt was answered in time.
const LOST_ANSWER_RATIO: f64 = 10.0;

/// Up to this many proxies, each sees enough of the hosts, and concurrency limits go down to 1. With more
/// proxies, limits go down to a fraction of 1, which means a pause.
const SMALL_FLEET_PROXIES: f64 = 8.0;
/// Samples of the mean latency that are mixed into a host's own, times `Router::unobserved_share`.
const FLEET_MEAN_SAMPLES: f64 = 2.0;
/// Multiplies the score of a host whose last response was an error or no answer; less so, the smaller
/// `Router::unobserved_share` is.
const UNPROVEN_PENALTY: f64 = 8.0;

/// Share of reads without a useful answer up to which nothing is refused.
const OVERLOAD_TOLERATED_SHARE: f64 = 0.15;
/// The share of reads to refuse is the part above `OVERLOAD_TOLERATED_SHARE` times this.
const OVERLOAD_GAIN: f64 = 5.0;
/// Largest share of reads to refuse, client retries excepted.
const OVERLOAD_MAX_REFUSED_SHARE: f64 = 0.7;
/// Fewer reads are refused if less than this share of the served reads is slow.
const OVERLOAD_SLOW_SHARE: f64 = 0.2;
/// Half-life of the counts of reads over all groups.
const OVERLOAD_HALF_LIFE_US: f64 = 1_000_000.0;
/// Reads that are added to the counts as served, so that a few reads prove nothing.
const OVERLOAD_PRIOR_READS: f64 = 4.0;
/// Half-life of the counts of reads of one group; a group sees fewer reads, and learns over a longer time.
const GROUP_OVERLOAD_HALF_LIFE_US: f64 = 15_000_000.0;
/// Events that are added to those expected of one group.
const GROUP_PRIOR_EVENTS: f64 = 0.25;
/// Events that are added to those of one group and to those expected of it, as far as groups are alike.
const GROUP_POOLED_EVENTS: f64 = 2.0;
/// Shortest time between two cuts of a host's concurrency limit.
const LIMIT_CUT_INTERVAL_US: Micros = 200_000;
/// A request is sent only if at least this multiple of its usual time is left.
const MIN_TIME_LEFT_RATIO: f64 = 1.5;

/// A cold host gets this part of its share of the work.
const COLD_SLOT_SHARE: f64 = 0.9;
/// As `COLD_SLOT_SHARE`, with many proxies: each of them sees too little to notice in time that the warm
/// hosts are at capacity.
const COLD_SLOT_SHARE_MANY_PROXIES: f64 = 1.1;
/// With many proxies a cold host gets at most this share of the multiple of its capacity that overloads it.
const COLD_MAX_OVERLOAD_SHARE_MANY_PROXIES: f64 = 0.6;
/// Multiplies a cold host's score for the draws that it is open to. These draws are its whole share, and one
/// that goes to a warm host is not made up for.
const COLD_SCORE_FACTOR: f64 = 0.25;
/// After a host rejected an attempt as overloaded, it gets no attempt for this long; longer if its
/// concurrency limit is below 1.
const OVERLOADED_PAUSE_US: Micros = 30_000;

/// Connections are scarce if more than this share of attempts is refused a connection quickly.
const SCARCE_CONNECTIONS_SHARE: f64 = 0.2;
/// A failed connection counts as refused if it fails within this time. A host whose connection table is full
/// refuses within a round trip; a slow handshake ends in a dial timeout.
const QUICK_REFUSAL_US: Micros = 50_000;
/// Weight of the old value in the share of refused connections.
const SCARCE_OLD_WEIGHT: f64 = 0.95;
/// A zone counts as lost if this many of its hosts left an attempt unanswered and none answered since. Fewer
/// proxies, which see more, need more hosts (see `Router::unobserved_share`); one of hundreds of proxies sees
/// too little of each host.
const ZONE_SILENT_HOSTS: f64 = 2.7;
/// How long a zone counts as lost after the last such host.
const ZONE_LOST_US: Micros = 4_000_000;

/// After a plain request, known positions are kept fresh by probes for this long.
const PLAIN_ACTIVE_US: Micros = 5_000_000;
/// After a bounded read was held, members inside the tightest bound are left to bounded reads for this long.
const BOUNDED_PRIORITY_US: Micros = 300_000;

/// The cubic score of a host: average latency in microseconds, average of in-flight + 1, average wait in
/// microseconds.
pub fn score(latency: f64, in_flight: f64, wait: f64) -> f64 {
    in_flight * in_flight * in_flight * latency + wait
}

/// The decision module of one proxy.
pub struct Router {
    settings: Settings,
    now: Micros,
    /// Actions of the call to `handle` that is running.
    actions: Vec<Action>,
    rng: Rand64,
    /// Index in `hosts` of each known host.
    host_index: BTreeMap<HostId, usize>,
    hosts: Vec<HostState>,
    groups: BTreeMap<GroupId, Group>,
    classes: Vec<ClassState>,
    requests: BTreeMap<RequestId, Request>,
    sessions: Sessions,
    tenant_quotas: TenantQuotas,
    /// The tightest bound of any class.
    tightest_bound: Micros,
    /// Hosts that operators leave out, and since when. List updates don't change it.
    left_out: BTreeMap<HostId, Micros>,
    budgets: Budgets,
    observed: Observed,
    schedule: Schedule,
}

impl Router {
    /// A router that knows nothing but its settings. `seed` determines its random draws.
    pub fn new(settings: Settings, seed: u64) -> Router {
        // A quarter of the latency target stands in for the median until there are samples.
        let class = |c: &Class| ClassState::with_median(c.latency_target as f64 / 4.0);
        Router {
            classes: settings.classes.iter().map(class).collect(),
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            actions: Vec::new(),
            host_index: BTreeMap::new(),
            hosts: Vec::new(),
            groups: BTreeMap::new(),
            requests: BTreeMap::new(),
            sessions: Sessions::default(),
            tenant_quotas: TenantQuotas::new(&settings.quotas, settings.proxy_count),
            tightest_bound: settings.classes.iter().filter_map(Class::bound).min().unwrap_or(Micros::MAX),
            left_out: BTreeMap::new(),
            budgets: Budgets::new(),
            observed: Observed::default(),
            schedule: Schedule::default(),
            settings,
        }
    }

    /// Handles the events of one moment in order and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // The in-flight averages get no updates in an idle spell, so they start again from the present
        // counts.
        if self.now > self.schedule.tick + TICK_US {
            self.hosts.iter_mut().for_each(|host| host.in_flight_average = f64::from(host.in_flight) + 1.0);
        }
        if self.schedule.tick == 0 && self.settings.list_mode == ListMode::OnRequest {
            self.schedule.subscribe_at = Some(self.now + self.rng.rand_range(0..200_000));
        }
        for event in events {
            match event {
                Event::Request(request) => self.admit(request, false),
                Event::RequestHead(request) => self.admit(request, true),
                Event::RequestComplete(id, give_up_at) => {
                    complete_request(&mut self.hosts, &mut self.requests, *id, *give_up_at, self.now)
                }
                Event::Outcome(result) => {
                    self.attempt_ended(result);
                    self.apply_report(result.host, result.report, false);
                }
                Event::ClientGone(id) => self.close(*id),
                Event::Streaming(id, attempt) => {
                    self.requests
                        .entry(*id)
                        .and_modify(|request| request.streaming = Some(usize::from(*attempt)));
                }
                Event::Probed { host, ok, report } => {
                    self.host_index
                        .get(host)
                        .copied()
                        .into_iter()
                        .for_each(|index| self.note_response(index, *ok));
                    self.apply_report(*host, if *ok { *report } else { HostReport::default() }, false);
                }
                Event::PartialAnswer { host, note } => self.apply_report(*host, *note, true),
                Event::Sessions(session_event) => self.sessions.apply_event(*session_event, self.now),
                Event::Timer(_) => {}
                Event::HostOverride { host, left_out, since } => {
                    self.apply_override(*host, *left_out, *since)
                }
                Event::Peer { from, updates } => {
                    let (hosts, groups, index) = (&mut self.hosts, &mut self.groups, &self.host_index);
                    apply_peer_updates(
                        hosts,
                        groups,
                        index,
                        &mut self.tenant_quotas,
                        (*from, updates),
                        self.now,
                        PROBE_INTERVAL_US,
                    );
                }
                Event::List { update, entries } => self.apply_list(*update, entries),
            }
        }
        if self.now >= self.schedule.tick {
            self.schedule.tick = self.now + TICK_US;
            self.tick();
        }
        // A router without requests needs a timer only for its next subscription.
        let next =
            if self.requests.is_empty() { self.schedule.subscribe_at } else { Some(self.schedule.tick) };
        if let Some(at) = next.filter(|&at| self.schedule.timer <= self.now || at < self.schedule.timer) {
            self.schedule.timer = at;
            self.actions.push(Action::Timer { at, mark: 0 });
        }
        out.append(&mut self.actions);
    }

    /// The share of the hosts' work that this router does not see: 0 with up to `SMALL_FLEET_PROXIES`
    /// proxies, near 1 with hundreds.
    fn unobserved_share(&self) -> f64 {
        (1.0 - SMALL_FLEET_PROXIES / f64::from(self.settings.proxy_count.max(1))).max(0.0)
    }
}
