//! Online estimation of capacity and admission control: the capacity of each host, the work offered to its group, and
//! the headroom that is left. Under overload it decides which requests to refuse: those worth least for their work. Pure:
//! the caller passes the time and reports what happened. It never refuses a request to a group whose capacity limit was
//! not yet observed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::Serialize;
use std::collections::BTreeMap;

/// A time in microseconds.
pub type Micros = u64;

/// Rates, capacities and admitted shares are updated at this interval.
const UPDATE_INTERVAL_US: Micros = 100_000;
/// Weight of the old value of a rate, for each update interval. It halves in about 0.7 s.
const RATE_DECAY: f64 = 0.905;
/// Relative step by which a class's service time follows the median of its latencies at hosts that are not overloaded,
/// that is, the service without waiting.
const MEDIAN_STEP: f64 = 0.02;
/// An attempt that took longer than this multiple of its class's service time has waited: the host had no free core.
/// With the usual variation and no waiting, 2 (cv^2 0.3) to 9 (cv^2 1) in 100 attempts take longer. Guards against idle
/// hosts that are taken for overloaded ones.
const QUEUED_FACTOR: f64 = 3.0;
/// A host is overloaded if more than this share of its attempts waited or were rejected.
const OVERLOADED_SHARE: f64 = 0.3;
/// Share of the difference by which an observed capacity follows the work of an overloaded host at each update.
const CAPACITY_STEP: f64 = 0.2;
/// An observed capacity is trusted for this long.
const CAPACITY_VALID_FOR_US: Micros = 30_000_000;
/// Factor by which the observed capacity of a host that is not overloaded grows at each update. Guards against a limit
/// that was observed too low and is never reached again, because no more requests are admitted.
const CAPACITY_GROWTH: f64 = 1.004;
/// The smallest share of a class that is admitted. Without any admitted request, nothing would show that the class fits
/// again.
const MIN_ADMITTED_SHARE: f64 = 0.02;
/// Share of a group's capacity that is given to requests.
const USABLE_SHARE: f64 = 0.95;
/// Classes whose worth for their work is at least this share of the best one's are in the same tier.
const SAME_TIER_SHARE: f64 = 0.6;
/// Attempts after which a class's service time counts for admission.
const MIN_SAMPLES: u32 = 20;
/// The most hosts, and the most groups, that are tracked.
const MAX_ENTRIES: usize = 4_096;
/// A host or group without events for this long is forgotten.
const FORGET_AFTER_US: Micros = 60_000_000;

/// A class of requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// The worth of a request that is served in time.
    pub worth: f64,
    /// Whether its requests are writes, which only primaries serve.
    pub writes: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served after this time.
    Served(Micros),
    /// Rejected because of overload, or no answer in time.
    Overloaded,
    /// Anything else, which says nothing about capacity.
    Other,
}

/// The measurements of a host.
#[derive(Default)]
struct Host {
    group: u32,
    /// Rate of the work that it serves, in core-seconds per second.
    work_rate: f64,
    /// Work served since the last update, in core-seconds.
    served_work: f64,
    /// Attempts that ended since the last update.
    attempts: u32,
    /// Those of them that waited or were rejected.
    overloaded_attempts: u32,
    /// Smoothed share of attempts that waited or were rejected.
    overloaded_share: f64,
    /// The observed capacity in core-seconds per second, and when the host was last overloaded.
    capacity: Option<(f64, Micros)>,
    /// The highest work rate without overload.
    max_work_rate: f64,
    /// Whether it has served a write.
    primary: bool,
    last_event: Micros,
}

/// The measurements of a group.
#[derive(Default)]
struct Group {
    /// Requests per second, by class.
    arrival_rates: Vec<f64>,
    /// Requests since the last update, by class.
    arrivals: Vec<u32>,
    /// The last replication lag in seconds, and when it was reported.
    lag: Option<(f64, Micros)>,
    /// Smoothed growth of the lag, in seconds per second.
    lag_growth: f64,
    /// The share of each class that is admitted.
    admitted_shares: Vec<f64>,
    last_event: Micros,
}

/// The headroom of a group, as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GroupHeadroom {
    /// The share of the group's capacity that is not requested. Negative if more is requested than the group can serve.
    pub headroom: f64,
    /// Whether the capacity was observed. If not, the highest work rate so far stands for it.
    pub seen: bool,
    /// The headroom of the group's primary, by the group's writes.
    pub primary: f64,
    /// How well replicas keep up with the replication log: 1 if their lag doesn't grow, 0 if they apply nothing.
    pub apply_slack: f64,
    /// The resource that saturates next.
    pub next: &'static str,
    /// The share of each class that is admitted.
    pub admitted: Vec<f64>,
}

/// Measures the capacity and the load of all groups, and decides which requests to admit.
pub struct Headroom {
    classes: Vec<Class>,
    /// The service time of each class without waiting, in seconds.
    service_times: Vec<f64>,
    /// Served attempts of each class.
    samples: Vec<u32>,
    hosts: BTreeMap<u32, Host>,
    groups: BTreeMap<u32, Group>,
    next_update: Micros,
}

impl Headroom {
    /// No measurements yet, for these classes.
    pub fn new(classes: Vec<Class>) -> Headroom {
        let n = classes.len();
        let (hosts, groups) = Default::default();
        Headroom { classes, service_times: vec![0.0; n], samples: vec![0; n], hosts, groups, next_update: 0 }
    }

    /// Records the arrival of a request and decides whether to admit it. `draw` is uniform from 0 to 1.
    pub fn admit(&mut self, class: u8, group: u32, draw: f64, now: Micros) -> bool {
        self.update(now);
        let n = self.classes.len();
        let class = usize::from(class);
        if class >= n || (self.groups.len() >= MAX_ENTRIES && !self.groups.contains_key(&group)) {
            return true;
        }
        let group = self.groups.entry(group).or_default();
        group.last_event = now;
        group.arrival_rates.resize(n, 0.0);
        group.arrivals.resize(n, 0);
        group.admitted_shares.resize(n, 1.0);
        group.arrivals[class] += 1;
        draw < group.admitted_shares[class]
    }

    /// Records how an attempt at a host ended.
    pub fn attempt_ended(&mut self, class: u8, group: u32, host: u32, outcome: AttemptOutcome, now: Micros) {
        self.update(now);
        let class_index = usize::from(class);
        let Some(class) = self.classes.get(class_index).copied() else { return };
        if self.hosts.len() >= MAX_ENTRIES && !self.hosts.contains_key(&host) {
            return;
        }
        let host = self.hosts.entry(host).or_default();
        (host.group, host.last_event) = (group, now);
        match outcome {
            AttemptOutcome::Served(us) => {
                let latency = us as f64 / 1e6;
                let service_time = &mut self.service_times[class_index];
                if self.samples[class_index] == 0 {
                    *service_time = latency;
                } else if host.overloaded_share <= OVERLOADED_SHARE {
                    // The first steps are larger. Otherwise the service time of a rare class would stay near its first
                    // latency for a minute.
                    let step = MEDIAN_STEP.max(0.3 / f64::from(self.samples[class_index] + 1));
                    *service_time *= if latency > *service_time { 1.0 + step } else { 1.0 - step };
                }
                self.samples[class_index] = self.samples[class_index].saturating_add(1);
                host.served_work += *service_time;
                host.attempts += 1;
                host.overloaded_attempts += u32::from(latency > *service_time * QUEUED_FACTOR);
                host.primary |= class.writes;
            }
            AttemptOutcome::Overloaded => {
                host.attempts += 1;
                host.overloaded_attempts += 1;
            }
            AttemptOutcome::Other => {}
        }
    }

    /// Records how far a replica of the group is behind the replication log.
    pub fn replica_lag(&mut self, group: u32, lag: Micros, now: Micros) {
        let Some(group) = self.groups.get_mut(&group) else { return };
        let lag = lag as f64 / 1e6;
        match group.lag {
            Some((last_lag, at)) if now > at + UPDATE_INTERVAL_US => {
                let growth = (lag - last_lag) / ((now - at) as f64 / 1e6);
                group.lag_growth = 0.7 * group.lag_growth + 0.3 * growth.clamp(-1.0, 1.0);
                group.lag = Some((lag, now));
            }
            Some(_) => {}
            None => group.lag = Some((lag, now)),
        }
    }

    /// Updates rates, capacities and admitted shares if an update is due.
    fn update(&mut self, now: Micros) {
        if self.next_update == 0 {
            self.next_update = now + UPDATE_INTERVAL_US;
        }
        if now < self.next_update {
            return;
        }
        // After a time without calls, one longer interval replaces all the missed ones.
        let interval = (now + UPDATE_INTERVAL_US - self.next_update) as f64 / 1e6;
        let old_weight = RATE_DECAY.powf(interval / (UPDATE_INTERVAL_US as f64 / 1e6));
        self.next_update = now + UPDATE_INTERVAL_US;
        self.hosts.retain(|_, host| host.last_event + FORGET_AFTER_US > now);
        self.groups.retain(|_, group| group.last_event + FORGET_AFTER_US > now);
        for host in self.hosts.values_mut() {
            host.work_rate = old_weight * host.work_rate + (1.0 - old_weight) * host.served_work / interval;
            if host.attempts > 0 {
                let share = f64::from(host.overloaded_attempts) / f64::from(host.attempts);
                let weight = 1.0 - RATE_DECAY.powf(f64::from(host.attempts) / 4.0);
                host.overloaded_share += weight * (share - host.overloaded_share);
            }
            if host.attempts == 0 {
                // Guards against a host without attempts because nothing is admitted: its observed capacity expires.
                host.overloaded_share *= RATE_DECAY;
                host.capacity = host.capacity.filter(|c| c.1 + CAPACITY_VALID_FOR_US > now);
            } else if host.overloaded_share > OVERLOADED_SHARE {
                let capacity =
                    host.capacity.map_or(host.work_rate, |c| c.0 + CAPACITY_STEP * (host.work_rate - c.0));
                host.capacity = Some((capacity.max(1e-6), now));
            } else {
                host.max_work_rate = (host.max_work_rate * 0.9999).max(host.work_rate);
                // A host that is not overloaded has at least the capacity of its work rate. Whether it has more is tried
                // in small steps.
                let grown = |c: (f64, Micros)| ((c.0 * CAPACITY_GROWTH).max(host.work_rate), c.1);
                host.capacity = host.capacity.filter(|c| c.1 + CAPACITY_VALID_FOR_US > now).map(grown);
            }
            (host.served_work, host.attempts, host.overloaded_attempts) = (0.0, 0, 0);
        }
        for group in self.groups.values_mut() {
            for (rate, arrivals) in group.arrival_rates.iter_mut().zip(&mut group.arrivals) {
                *rate = old_weight * *rate + (1.0 - old_weight) * f64::from(*arrivals) / interval;
                *arrivals = 0;
            }
        }
        let ids: Vec<u32> = self.groups.keys().copied().collect();
        for id in ids {
            let shares = self.admission_shares(id);
            if let Some(group) = self.groups.get_mut(&id) {
                group.admitted_shares = shares;
            }
        }
    }

    /// The capacity of a group's hosts in core-seconds per second, and whether that of each was observed. With
    /// `primary_only`, that of the primary alone.
    fn capacity(&self, group: u32, primary_only: bool) -> (f64, bool) {
        let hosts = self.hosts.values().filter(|host| host.group == group && (host.primary || !primary_only));
        hosts.fold((0.0, true), |(sum, observed), host| match host.capacity {
            Some((capacity, _)) => (sum + capacity, observed),
            None => (sum + host.max_work_rate, false),
        })
    }

    /// The work that arrives at a group, by class, in core-seconds per second.
    fn offered_work(&self, group: u32) -> Vec<f64> {
        let rates = self.groups.get(&group).map_or(&[][..], |g| &g.arrival_rates);
        rates.iter().zip(&self.service_times).map(|(rate, service_time)| rate * service_time).collect()
    }

    /// The share of each class to admit: as much as fits, the classes with the most worth for their work first.
    fn admission_shares(&self, group: u32) -> Vec<f64> {
        let n = self.classes.len();
        let (capacity, observed) = self.capacity(group, false);
        let offered = self.offered_work(group);
        if !observed || offered.len() < n || offered.iter().sum::<f64>() <= capacity * USABLE_SHARE {
            return vec![1.0; n];
        }
        let mut order: Vec<usize> = (0..n).collect();
        let value = |class: usize| self.classes[class].worth / self.service_times[class].max(1e-6);
        order.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
        // The service time of a class with few samples is too uncertain to limit it.
        order.retain(|&class| self.samples[class] >= MIN_SAMPLES && offered[class] > 0.0);
        let mut free_capacity = capacity * USABLE_SHARE;
        let mut shares = vec![1.0; n];
        let mut remaining = order.as_slice();
        while let Some(&first) = remaining.first() {
            // Classes of similar value are admitted in equal shares. Guards against a rare class that is shut out by the
            // error of its measured service time.
            let tier_len =
                remaining.iter().take_while(|&&class| value(class) >= SAME_TIER_SHARE * value(first)).count();
            let (tier, lower_tiers) = remaining.split_at(tier_len.max(1));
            let tier_work: f64 = tier.iter().map(|&class| offered[class]).sum();
            tier.iter().for_each(|&class| {
                shares[class] = (free_capacity / tier_work).clamp(MIN_ADMITTED_SHARE, 1.0)
            });
            free_capacity = (free_capacity - tier_work).max(0.0);
            remaining = lower_tiers;
        }
        shares
    }

    /// The headroom of each group.
    pub fn by_group(&self) -> BTreeMap<u32, GroupHeadroom> {
        let group_headroom = |(&id, group): (&u32, &Group)| {
            let offered = self.offered_work(id);
            let free_share =
                |work: f64, capacity: f64| if capacity > 0.0 { 1.0 - work / capacity } else { 0.0 };
            let (capacity, seen) = self.capacity(id, false);
            let headroom = free_share(offered.iter().sum(), capacity);
            let write_work: f64 = offered
                .iter()
                .zip(&self.classes)
                .filter(|(_, class)| class.writes)
                .map(|(work, _)| *work)
                .sum();
            let (primary_capacity, _) = self.capacity(id, true);
            let primary = if write_work > 0.0 { free_share(write_work, primary_capacity) } else { 1.0 };
            let apply_slack = (1.0 - group.lag_growth.max(0.0)).clamp(0.0, 1.0);
            let next = match () {
                () if apply_slack < 0.9 => "apply thread",
                () if primary < headroom => "primary cores",
                () => "group cores",
            };
            let admitted = group.admitted_shares.clone();
            (id, GroupHeadroom { headroom, seen, primary, apply_slack, next, admitted })
        };
        self.groups.iter().map(group_headroom).collect()
    }
}
