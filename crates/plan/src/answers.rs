//! The questions that the planner answers: what saturates first, how many hosts a goal needs, what an outage does, and
//! what-if questions. The module calls [`crate::model`] for each group. It must give every computed figure with its
//! interval and the input to which the figure is most sensitive.

use crate::fleet::{Access, Fleet, Group, HostSet, Load};
use crate::model::{Resource, Scenario, SteadyStates, group_shares, steady_states, utilizations};
use serde::Serialize;

/// The most groups whose steady states are computed for one answer: the busiest ones. Bounds the time of an answer for
/// a fleet with very many groups.
const MAX_EXAMINED_GROUPS: usize = 8;
/// The greatest multiple of the load that is searched.
const MAX_LOAD_MULTIPLE: f64 = 1_000.0;

/// A computed figure with its interval, and the input to which it is most sensitive.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The figure, computed from the inputs as they are given.
    pub value: f64,
    /// The lower end of the interval.
    pub low: f64,
    /// The upper end of the interval.
    pub high: f64,
    /// The input to which the figure is most sensitive.
    pub hangs_on: String,
}

/// An input whose error changes the answers. A `String` is the name of a class.
#[derive(Clone, Debug, PartialEq)]
enum Input {
    /// The arrival rate of a class.
    Rate(String),
    /// The mean service time of a class.
    MeanTime(String),
    /// The variation of the service time of a class.
    TimeVariation(String),
    /// The time that a replica takes to apply a write.
    ApplyTime,
    /// The speed of the hosts' cores.
    CoreSpeed,
    /// The processor time of a request at a proxy.
    ProxyTime,
}

impl Input {
    /// The input's name in reports.
    fn name(&self) -> String {
        match self {
            Input::Rate(c) => format!("how much of {c} comes"),
            Input::MeanTime(c) => format!("what {c} takes"),
            Input::TimeVariation(c) => format!("how {c}'s times vary"),
            Input::ApplyTime => "what applying a write takes".into(),
            Input::CoreSpeed => "what a core can do".into(),
            Input::ProxyTime => "what a request takes at a proxy".into(),
        }
    }

    /// The relative error of the input: from the number of samples where the load was captured, else as the fleet's
    /// description gives it.
    fn error(&self, fleet: &Fleet, load: &Load) -> f64 {
        let sampled_error = |class: &String, variance: f64| {
            let samples = load.classes.get(class).map_or(0, |c| c.samples);
            // Two standard errors, and 2 % that remain however many samples there are.
            if samples > 0 { 2.0 * (variance / samples as f64).sqrt() + 0.02 } else { fleet.error }
        };
        match self {
            Input::Rate(c) => sampled_error(c, 1.0),
            Input::MeanTime(c) => sampled_error(c, load.classes.get(c).map_or(1.0, |l| l.cv2)),
            Input::TimeVariation(c) => 2.0 * sampled_error(c, 4.0),
            Input::ApplyTime | Input::CoreSpeed | Input::ProxyTime => fleet.error,
        }
    }

    /// The fleet and the load with this input multiplied by `factor`.
    fn scaled(&self, fleet: &Fleet, load: &Load, factor: f64) -> (Fleet, Load) {
        let (mut fleet, mut load) = (fleet.clone(), load.clone());
        let scale_class =
            |load: &mut Load, name: &String, f: fn(&mut crate::fleet::ClassLoad) -> &mut f64| {
                if let Some(c) = load.classes.get_mut(name) {
                    *f(c) *= factor;
                }
            };
        match self {
            Input::Rate(c) => scale_class(&mut load, c, |l| &mut l.per_s),
            Input::MeanTime(c) => scale_class(&mut load, c, |l| &mut l.mean_ms),
            Input::TimeVariation(c) => scale_class(&mut load, c, |l| &mut l.cv2),
            Input::ApplyTime => load.apply_ms *= factor,
            Input::CoreSpeed => fleet.kinds.values_mut().for_each(|k| k.speed *= factor),
            Input::ProxyTime => fleet.proxies.cpu_us *= factor,
        }
        (fleet, load)
    }
}

/// The inputs whose errors count for a load.
fn inputs(load: &Load) -> Vec<Input> {
    let class_inputs =
        |c: &String| [Input::Rate(c.clone()), Input::MeanTime(c.clone()), Input::TimeVariation(c.clone())];
    let classes = load.classes.keys().flat_map(class_inputs);
    classes.chain([Input::ApplyTime, Input::CoreSpeed, Input::ProxyTime]).collect()
}

/// Computes a figure with its interval. Each input is scaled up and down by its error on its own. The interval
/// reaches below and above the value by the root of the sum of the squared decreases and increases.
fn figure(fleet: &Fleet, load: &Load, compute: impl Fn(&Fleet, &Load) -> f64) -> Figure {
    let value = compute(fleet, load);
    let (mut down_squares, mut up_squares) = (0.0, 0.0);
    let (mut widest, mut hangs_on) = (0.0, "none of the inputs".to_string());
    for input in inputs(load) {
        let error = input.error(fleet, load);
        let difference = |factor: f64| {
            let (fleet, load) = input.scaled(fleet, load, factor);
            compute(&fleet, &load) - value
        };
        let ends = [difference(1.0 + error), difference((1.0 - error).max(0.05))];
        let (low, high) = (ends[0].min(ends[1]).min(0.0), ends[0].max(ends[1]).max(0.0));
        down_squares += low * low;
        up_squares += high * high;
        if high - low > widest {
            (widest, hangs_on) = (high - low, input.name());
        }
    }
    Figure { value, low: value - f64::sqrt(down_squares), high: value + f64::sqrt(up_squares), hangs_on }
}

/// A resource, and the multiple of the load at which it saturates.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Limit {
    /// The resource's name.
    pub resource: &'static str,
    /// The owner of the resource: a group, or the fleet.
    pub of: String,
    /// The multiple of the load at which the resource saturates.
    pub times: Figure,
}

/// The resources that saturate first, and the load at which the goal is missed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Saturation {
    /// The resource that saturates first, and the next three; of each resource, only the owner that saturates first.
    pub limits: Vec<Limit>,
    /// The multiple of the load at which the goal is missed, with queues, failures and retries included.
    pub goal: Figure,
    /// The group that misses the goal first.
    pub goal_group: u32,
    /// The least multiple with a second, metastable state, which the fleet does not leave by itself. None if no
    /// multiple up to twice that of the goal has one.
    pub trap: Option<f64>,
}

/// A limit without its interval: the resource, the index of its group (none for a resource of the whole fleet), and the
/// multiple of the load at which the resource saturates.
type PointLimit = (Resource, Option<usize>, f64);

/// The limits of all resources that are used at all, the one that saturates first at the front.
fn limits(fleet: &Fleet, load: &Load, scenario: &Scenario) -> Vec<PointLimit> {
    let mut out = Vec::new();
    for (i, (g, share)) in fleet.groups.iter().zip(group_shares(fleet, load)).enumerate() {
        let found = utilizations(fleet, g, load, share, scenario);
        out.extend(found.into_iter().filter(|b| b.1 > 0.0).map(|(r, b)| (r, Some(i), 1.0 / b)));
    }
    let total_rate: f64 = load.classes.values().map(|c| c.per_s).sum::<f64>() * scenario.load;
    let proxy_capacity = f64::from(fleet.proxies.count) * fleet.proxies.cores * 1e6 / fleet.proxies.cpu_us;
    if total_rate > 0.0 {
        out.push((Resource::ProxyCores, None, proxy_capacity / total_rate));
        if let Some(max_rate) = fleet.crossing.most_per_s.filter(|_| fleet.crossing.share > 0.0) {
            out.push((Resource::CrossZone, None, max_rate / (total_rate * fleet.crossing.share)));
        }
    }
    out.sort_by(|a, b| a.2.total_cmp(&b.2));
    out
}

/// The multiple at which the resource of a known limit saturates for a fleet and a load that differ slightly.
fn one_limit(fleet: &Fleet, load: &Load, scenario: &Scenario, limit: &PointLimit) -> f64 {
    let found = match limit.1 {
        Some(i) => {
            let share = group_shares(fleet, load)[i];
            utilizations(fleet, &fleet.groups[i], load, share, scenario)
                .into_iter()
                .find(|b| b.0 == limit.0)
                .map(|b| 1.0 / b.1.max(1e-12))
        }
        None => limits(fleet, load, scenario).into_iter().find(|l| l.0 == limit.0).map(|l| l.2),
    };
    found.unwrap_or(MAX_LOAD_MULTIPLE).min(MAX_LOAD_MULTIPLE)
}

/// The greatest multiple of the load at which a group serves the share `goal` of each class in time; 0 if there is
/// none. `group` is an index into `fleet.groups`.
pub fn max_load_multiple(fleet: &Fleet, load: &Load, group: usize, goal: f64, scenario: &Scenario) -> f64 {
    let share = group_shares(fleet, load)[group];
    let met = |multiple: f64| {
        let scenario = Scenario { load: scenario.load * multiple, ..scenario.clone() };
        steady_states(fleet, &fleet.groups[group], load, share, &scenario).better.lowest_in_time() >= goal
    };
    if !met(1e-3) {
        return 0.0;
    }
    let (mut low, mut high) = (1e-3, 1.0);
    while met(high) && high < MAX_LOAD_MULTIPLE {
        (low, high) = (high, high * 2.0);
    }
    for _ in 0..24 {
        let middle = (low + high) / 2.0;
        if met(middle) { low = middle } else { high = middle }
    }
    low
}

/// The indices of the busiest groups, the busiest first.
fn busiest_groups(fleet: &Fleet, load: &Load, scenario: &Scenario) -> Vec<usize> {
    let mut groups = Vec::new();
    for (_, group, _) in limits(fleet, load, scenario) {
        if let Some(i) = group.filter(|i| !groups.contains(i)) {
            groups.push(i);
        }
    }
    // Groups with the same hosts and the same share have the same answer: one of them is enough.
    let mut known: Vec<(&[HostSet], u64)> = Vec::new();
    let shares = group_shares(fleet, load);
    groups.retain(|&i| {
        let key = (fleet.groups[i].members.as_slice(), shares[i].to_bits());
        let new = !known.contains(&key);
        known.push(key);
        new
    });
    groups.truncate(MAX_EXAMINED_GROUPS);
    groups
}

/// The resource that saturates first, the next three, and the multiple of the load at which the goal is missed: the
/// share `goal` of each class in time.
pub fn saturate(fleet: &Fleet, load: &Load, goal: f64, scenario: &Scenario) -> Saturation {
    let mut chosen: Vec<PointLimit> = Vec::new();
    for limit in limits(fleet, load, scenario) {
        // One limit for each resource: that of the owner that saturates first.
        if chosen.iter().all(|c| c.0 != limit.0) {
            chosen.push(limit);
        }
    }
    chosen.truncate(4);
    let owner = |limit: &PointLimit| match limit.1 {
        Some(i) => format!("group {}", fleet.groups[i].id),
        None => "the fleet".to_string(),
    };
    let limits = chosen.iter().map(|limit| Limit {
        resource: limit.0.name(),
        of: owner(limit),
        times: figure(fleet, load, |f, l| one_limit(f, l, scenario, limit)),
    });
    let limits = limits.collect();
    let examined = busiest_groups(fleet, load, scenario);
    let multiples = examined.iter().map(|&i| (i, max_load_multiple(fleet, load, i, goal, scenario)));
    let (first_group, multiple) = multiples.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, 0.0));
    let goal_at = figure(fleet, load, |f, l| max_load_multiple(f, l, first_group, goal, scenario));
    let share = group_shares(fleet, load)[first_group];
    let trap = (1..=40).map(|k| multiple * f64::from(k) / 20.0).find(|&t| {
        let scenario = Scenario { load: scenario.load * t, ..scenario.clone() };
        steady_states(fleet, &fleet.groups[first_group], load, share, &scenario).worse.is_some()
    });
    Saturation { limits, goal: goal_at, goal_group: fleet.groups[first_group].id, trap }
}

/// The number of hosts that one group needs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Size {
    /// The group's id.
    pub group: u32,
    /// Hosts that the group has.
    pub has: u32,
    /// The fewest hosts that meet the goal; none where no number of replicas meets it.
    pub needs: Option<u32>,
    /// The lower end of the interval of `needs`, from the errors of the inputs.
    pub low: Option<u32>,
    /// The upper end of that interval; none where it is beyond the numbers that are tried.
    pub high: Option<u32>,
    /// Where no number of replicas meets the goal: the reason.
    pub bound_by: Option<String>,
    /// The input to which `needs` is most sensitive.
    pub hangs_on: String,
}

/// The most replicas of a group that are tried.
const MAX_REPLICAS: u32 = 512;

/// The fleet with this number of replicas in one group, all of the kind of its first replica, or else of its primary.
fn resized(fleet: &Fleet, group: usize, replicas: u32) -> Fleet {
    let mut fleet = fleet.clone();
    let g = &mut fleet.groups[group];
    let template = g.members.iter().find(|m| !m.primary).or(g.members.first()).cloned();
    g.members.retain(|m| m.primary);
    if let Some(mut m) = template.filter(|_| replicas > 0) {
        (m.primary, m.count) = (false, replicas);
        g.members.push(m);
    }
    fleet
}

/// The fewest hosts of a group, its primary included, that meet the goal; none if `MAX_REPLICAS` replicas do not.
fn fewest_hosts(fleet: &Fleet, load: &Load, group: usize, goal: f64, scenario: &Scenario) -> Option<u32> {
    let met = |replicas: u32| {
        let fleet = resized(fleet, group, replicas);
        let share = group_shares(&fleet, load)[group];
        steady_states(&fleet, &fleet.groups[group], load, share, scenario).better.lowest_in_time() >= goal
    };
    let mut high = 1;
    if met(0) {
        return Some(1);
    }
    while !met(high) {
        high *= 2;
        if high > MAX_REPLICAS {
            return None;
        }
    }
    let mut low = high / 2;
    while high - low > 1 {
        let middle = (low + high) / 2;
        if met(middle) { high = middle } else { low = middle }
    }
    Some(high + 1)
}

/// The fewest hosts of each group, its primary included, that serve the share `goal` of each class in time.
pub fn size(fleet: &Fleet, load: &Load, goal: f64, scenario: &Scenario) -> Vec<Size> {
    let group_size = |i: usize, g: &Group| {
        let needs = fewest_hosts(fleet, load, i, goal, scenario);
        let hosts = |f: &Fleet, l: &Load| {
            fewest_hosts(f, l, i, goal, scenario).map_or(f64::from(MAX_REPLICAS), f64::from)
        };
        let range = figure(fleet, load, hosts);
        let bound_by = needs.is_none().then(|| unmet_reason(fleet, load, i, scenario));
        let in_range = |x: f64| (x < f64::from(MAX_REPLICAS)).then_some(x.round().max(1.0) as u32);
        Size {
            group: g.id,
            has: g.members.iter().map(|m| m.count).sum(),
            needs,
            low: needs.and(in_range(range.low)),
            high: needs.and(in_range(range.high.ceil())),
            bound_by,
            hangs_on: range.hangs_on,
        }
    };
    fleet.groups.iter().enumerate().map(|(i, g)| group_size(i, g)).collect()
}

/// The reason why no number of replicas makes a group meet the goal.
fn unmet_reason(fleet: &Fleet, load: &Load, group: usize, scenario: &Scenario) -> String {
    let fleet = resized(fleet, group, MAX_REPLICAS);
    let share = group_shares(&fleet, load)[group];
    let found = utilizations(&fleet, &fleet.groups[group], load, share, scenario);
    let primary = found.iter().find(|b| b.0 == Resource::PrimaryCores).map_or(0.0, |b| b.1);
    let apply = found.iter().find(|b| b.0 == Resource::ApplyThread).map_or(0.0, |b| b.1);
    if primary >= 0.6 || apply >= 0.6 {
        let groups = primary.max(apply).ceil().max(2.0);
        let bottleneck =
            if primary >= apply { "writes keep its primary" } else { "writes keep each apply thread" };
        return format!(
            "{bottleneck} {:.0} % busy: more groups (at least {groups}), not more replicas",
            100.0 * primary.max(apply)
        );
    }
    "a class's own work takes longer than its goal too often: faster cores, or another goal".into()
}

/// The hosts that an outage takes.
#[derive(Clone, Debug, PartialEq)]
pub enum Outage {
    /// All hosts of a zone (a machine room).
    Zone(String),
    /// All hosts of a machine type.
    HostType(String),
    /// The primary of the group whose primary is busiest.
    BusiestPrimary,
}

/// The consequences of an outage.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loss {
    /// The number of lost hosts.
    pub hosts: u32,
    /// The ids of groups that lose all hosts.
    pub groups_gone: Vec<u32>,
    /// The ids of groups that lose their primary and keep some replicas: they take no writes until a replica is
    /// promoted.
    pub primaries_gone: Vec<u32>,
    /// The share of the worth that is served in time during the outage, once new primaries are promoted.
    pub served: Figure,
    /// Seconds after the lost hosts return cold until each group serves nine tenths of the worth that it served before
    /// the outage; none if a group does not recover by itself.
    pub back_after_s: Option<f64>,
}

/// The share of the worth that the fleet serves in time, where the share `gone` of the load belongs to lost groups.
fn served_worth(fleet: &Fleet, load: &Load, scenario: &Scenario, gone: f64) -> f64 {
    let shares = group_shares(fleet, load);
    // Groups with the same hosts and the same share have the same result.
    let mut known_results: Vec<(&[HostSet], u64, f64)> = Vec::new();
    let mut sum = 0.0;
    for (g, share) in fleet.groups.iter().zip(&shares).filter(|g| *g.1 > 0.0) {
        let known = known_results.iter().find(|m| m.0 == g.members.as_slice() && m.1 == share.to_bits());
        let group_worth = match known {
            Some(m) => m.2,
            None => {
                let computed = steady_states(fleet, g, load, *share, scenario).better.worth();
                known_results.push((&g.members, share.to_bits(), computed));
                computed
            }
        };
        sum += share * group_worth;
    }
    sum * (1.0 - gone)
}

/// The share of the worth served during an outage, and the time to recover once the lost hosts return.
pub fn lose(fleet: &Fleet, load: &Load, outage: &Outage, scenario: &Scenario) -> Loss {
    let all_limits = limits(fleet, load, scenario);
    let busiest = all_limits.iter().find(|l| l.0 == Resource::PrimaryCores).and_then(|l| l.1);
    let busiest_id = busiest.map(|i| fleet.groups[i].id);
    let is_lost = |g: &Group, m: &HostSet| match outage {
        Outage::Zone(zone) => m.room == *zone,
        Outage::HostType(kind) => m.kind == *kind,
        Outage::BusiestPrimary => m.primary && Some(g.id) == busiest_id,
    };
    let (left, groups_gone) = fleet.without(is_lost);
    let host_count = |f: &Fleet| f.hosts();
    let hosts = host_count(fleet) - host_count(&left);
    let without_primary =
        fleet.groups.iter().filter(|g| g.members.iter().any(|m| m.primary && is_lost(g, m)));
    let primaries_gone: Vec<u32> =
        without_primary.map(|g| g.id).filter(|id| !groups_gone.contains(id)).collect();
    let shares = group_shares(fleet, load);
    let group_parts = fleet.groups.iter().zip(&shares);
    let gone: f64 = group_parts.filter(|(g, _)| groups_gone.contains(&g.id)).map(|(_, s)| s).sum();
    // The load of lost groups is not moved to other groups: those keep their own.
    let without_gone = |l: &Load| {
        let mut l = l.clone();
        l.classes.values_mut().for_each(|c| c.per_s *= 1.0 - gone);
        l
    };
    let served = figure(fleet, load, |f, l| {
        let (left, _) = f.without(is_lost);
        served_worth(&left, &without_gone(l), scenario, gone)
    });
    Loss {
        hosts,
        groups_gone,
        primaries_gone,
        served,
        back_after_s: recovery_time(fleet, load, scenario, is_lost),
    }
}

/// Seconds until the slowest group whose lost hosts return cold serves nine tenths of the worth that it served before
/// the outage; none if a group does not reach that. A group starts from its worse state, as it failed before.
fn recovery_time(
    fleet: &Fleet, load: &Load, scenario: &Scenario, is_lost: impl Fn(&Group, &HostSet) -> bool,
) -> Option<f64> {
    let shares = group_shares(fleet, load);
    let mut slowest: f64 = 0.0;
    for (i, g) in fleet.groups.iter().enumerate() {
        let lost_hosts: Vec<&HostSet> = g.members.iter().filter(|m| is_lost(g, m)).collect();
        let Some(warm_up_s) =
            lost_hosts.iter().filter_map(|m| fleet.kinds.get(&m.kind)).map(|k| k.warm_s).reduce(f64::max)
        else {
            continue;
        };
        let before = steady_states(fleet, g, load, shares[i], scenario).better.worth();
        let lost_cores = fleet.cores(g, false) - {
            let mut left = g.clone();
            left.members.retain(|m| !is_lost(g, m));
            fleet.cores(&left, false)
        };
        let cold_shares = lost_hosts.iter().filter_map(|m| fleet.kinds.get(&m.kind)).map(|k| k.cold_share);
        let cold_share = cold_shares.fold(1.0, f64::min);
        let all_cores = fleet.cores(g, false).max(1e-9);
        let recovered_at = (0..=40).map(|k| f64::from(k) / 40.0).find(|warm_up_share| {
            let capacity_share =
                1.0 - lost_cores / all_cores * (1.0 - (cold_share + (1.0 - cold_share) * warm_up_share));
            let scenario = Scenario { capacity_share, ..scenario.clone() };
            let found: SteadyStates = steady_states(fleet, g, load, shares[i], &scenario);
            // A group that was failing stays in the worse state as long as that state exists.
            found.worse.unwrap_or(found.better).worth() >= 0.9 * before
        });
        slowest = slowest.max(recovered_at? * warm_up_s);
    }
    Some(slowest)
}

/// The state of the fleet under a scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WhatIf {
    /// The share of the worth that is served in time.
    pub worth: Figure,
    /// The share of each class served in time, in the group where it is lowest.
    pub classes: Vec<(String, f64)>,
    /// The share of bounded reads for which replicas lag too far behind, in the group where it is highest.
    pub out_of_bound: f64,
    /// Attempts per request, in the group where they are most.
    pub amplification: f64,
    /// The busiest resource: its name, its owner and its utilization.
    pub busiest: (String, String, f64),
    /// The ids of groups that also have a worse, metastable state, which they would not leave by themselves.
    pub trapped: Vec<u32>,
}

/// The state of the fleet under a scenario, from its busiest groups.
pub fn what_if(fleet: &Fleet, load: &Load, scenario: &Scenario) -> WhatIf {
    let shares = group_shares(fleet, load);
    let mut classes: Vec<(String, f64)> = Vec::new();
    let (mut out_of_bound, mut amplification, mut trapped) = (0.0f64, 1.0f64, Vec::new());
    for i in busiest_groups(fleet, load, scenario) {
        let found = steady_states(fleet, &fleet.groups[i], load, shares[i], scenario);
        for s in &found.better.classes {
            match classes.iter_mut().find(|c| c.0 == s.class) {
                Some(c) => c.1 = c.1.min(s.in_time),
                None => classes.push((s.class.clone(), s.in_time)),
            }
        }
        out_of_bound = out_of_bound.max(found.better.out_of_bound);
        amplification = amplification.max(found.better.amplification);
        trapped.extend(found.worse.map(|_| fleet.groups[i].id));
    }
    let first_limit = limits(fleet, load, scenario).into_iter().next();
    let busiest =
        first_limit.map_or(("nothing".into(), "the fleet".into(), 0.0), |(resource, group, multiple)| {
            let owner = group.map_or("the fleet".into(), |i| format!("group {}", fleet.groups[i].id));
            (resource.name().to_string(), owner, 1.0 / multiple)
        });
    let worth = figure(fleet, load, |f, l| served_worth(f, l, scenario, 0.0));
    WhatIf { worth, classes, out_of_bound, amplification, busiest, trapped }
}

/// Whether a load contains any writes. Without writes, the limits of primaries and apply threads are not known.
pub fn has_writes(fleet: &Fleet, load: &Load) -> bool {
    let is_write = |n: &String| fleet.classes.get(n).is_some_and(|c| c.access == Access::Write);
    load.classes.iter().any(|(n, c)| c.per_s > 0.0 && is_write(n))
}
