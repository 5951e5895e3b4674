//! The questions that the planner answers: what saturates first, how many hosts a goal needs, what an outage does, and
//! what-if questions. Every figure comes with its interval and the input to which it is most sensitive.

use crate::fleet::{Access, Fleet, Group, HostSet, Load};
use crate::model::{Resource, Scenario, SteadyStates, group_shares, steady_states, utilizations};
use serde::Serialize;

/// Groups that are looked at closely where there are very many: those that are busiest.
const CLOSELY: usize = 8;
/// The most of a load that is looked for.
const MOST_TIMES: f64 = 1_000.0;

/// A figure with its interval, and the input to which it is most sensitive.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The figure.
    pub value: f64,
    /// The interval's lower end.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
    /// The input to which it is most sensitive.
    pub hangs_on: String,
}

/// An input whose error moves answers.
#[derive(Clone, Debug, PartialEq)]
enum Input {
    Rate(String),
    Work(String),
    Spread(String),
    Apply,
    Cores,
    ProxyWork,
}

impl Input {
    fn name(&self) -> String {
        match self {
            Input::Rate(c) => format!("how much of {c} comes"),
            Input::Work(c) => format!("what {c} takes"),
            Input::Spread(c) => format!("how {c}'s times vary"),
            Input::Apply => "what applying a write takes".into(),
            Input::Cores => "what a core can do".into(),
            Input::ProxyWork => "what a request takes at a proxy".into(),
        }
    }

    /// Its relative error: of what was seen by the number of samples, of what was written as the file says.
    fn error(&self, fleet: &Fleet, load: &Load) -> f64 {
        let seen = |class: &String, variance: f64| {
            let samples = load.classes.get(class).map_or(0, |c| c.samples);
            // Two standard errors, and two in a hundred that no number of samples takes away.
            if samples > 0 { 2.0 * (variance / samples as f64).sqrt() + 0.02 } else { fleet.error }
        };
        match self {
            Input::Rate(c) => seen(c, 1.0),
            Input::Work(c) => seen(c, load.classes.get(c).map_or(1.0, |l| l.cv2)),
            Input::Spread(c) => 2.0 * seen(c, 4.0),
            Input::Apply | Input::Cores | Input::ProxyWork => fleet.error,
        }
    }

    /// The fleet and the load with this input moved.
    fn moved(&self, fleet: &Fleet, load: &Load, times: f64) -> (Fleet, Load) {
        let (mut fleet, mut load) = (fleet.clone(), load.clone());
        let class = |load: &mut Load, name: &String, f: fn(&mut crate::fleet::ClassLoad) -> &mut f64| {
            if let Some(c) = load.classes.get_mut(name) {
                *f(c) *= times;
            }
        };
        match self {
            Input::Rate(c) => class(&mut load, c, |l| &mut l.per_s),
            Input::Work(c) => class(&mut load, c, |l| &mut l.mean_ms),
            Input::Spread(c) => class(&mut load, c, |l| &mut l.cv2),
            Input::Apply => load.apply_ms *= times,
            Input::Cores => fleet.kinds.values_mut().for_each(|k| k.speed *= times),
            Input::ProxyWork => fleet.proxies.cpu_us *= times,
        }
        (fleet, load)
    }
}

fn inputs(load: &Load) -> Vec<Input> {
    let each = |c: &String| [Input::Rate(c.clone()), Input::Work(c.clone()), Input::Spread(c.clone())];
    let classes = load.classes.keys().flat_map(each);
    classes.chain([Input::Apply, Input::Cores, Input::ProxyWork]).collect()
}

/// A figure with its interval: each input is moved by its error, the squares of what that does add up.
fn figure(fleet: &Fleet, load: &Load, ask: impl Fn(&Fleet, &Load) -> f64) -> Figure {
    let value = ask(fleet, load);
    let (mut down, mut up, mut most, mut hangs_on) = (0.0, 0.0, 0.0, "none of the inputs".to_string());
    for input in inputs(load) {
        let error = input.error(fleet, load);
        let at = |times: f64| {
            let (fleet, load) = input.moved(fleet, load, times);
            ask(&fleet, &load) - value
        };
        let ends = [at(1.0 + error), at((1.0 - error).max(0.05))];
        let (low, high) = (ends[0].min(ends[1]).min(0.0), ends[0].max(ends[1]).max(0.0));
        down += low * low;
        up += high * high;
        if high - low > most {
            (most, hangs_on) = (high - low, input.name());
        }
    }
    Figure { value, low: value - f64::sqrt(down), high: value + f64::sqrt(up), hangs_on }
}

/// A resource, and the multiple of the load at which it saturates.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Limit {
    /// The resource.
    pub resource: &'static str,
    /// Whose it is.
    pub of: String,
    /// The multiple of the load.
    pub times: Figure,
}

/// What saturates.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Saturation {
    /// The first resource, and the next three of other kinds or groups.
    pub limits: Vec<Limit>,
    /// The multiple at which, queues, failures and further tries included, the goal is missed.
    pub goal: Figure,
    /// The group whose goal that is.
    pub goal_group: u32,
    /// The least multiple with a second, metastable state, which the fleet does not leave by itself; none if no
    /// multiple under twice the goal's has one.
    pub trap: Option<f64>,
}

/// One limit, without its interval: resource, group by place if it is one's, multiple.
type Bare = (Resource, Option<usize>, f64);

fn limits(fleet: &Fleet, load: &Load, scenario: &Scenario) -> Vec<Bare> {
    let mut out = Vec::new();
    for (i, (g, share)) in fleet.groups.iter().zip(group_shares(fleet, load)).enumerate() {
        let found = utilizations(fleet, g, load, share, scenario);
        out.extend(found.into_iter().filter(|b| b.1 > 0.0).map(|(r, b)| (r, Some(i), 1.0 / b)));
    }
    let all: f64 = load.classes.values().map(|c| c.per_s).sum::<f64>() * scenario.load;
    let proxies = f64::from(fleet.proxies.count) * fleet.proxies.cores * 1e6 / fleet.proxies.cpu_us;
    if all > 0.0 {
        out.push((Resource::ProxyCores, None, proxies / all));
        if let Some(most) = fleet.crossing.most_per_s.filter(|_| fleet.crossing.share > 0.0) {
            out.push((Resource::Crossing, None, most / (all * fleet.crossing.share)));
        }
    }
    out.sort_by(|a, b| a.2.total_cmp(&b.2));
    out
}

fn one_limit(fleet: &Fleet, load: &Load, scenario: &Scenario, which: &Bare) -> f64 {
    let found = match which.1 {
        Some(i) => {
            let share = group_shares(fleet, load)[i];
            utilizations(fleet, &fleet.groups[i], load, share, scenario)
                .into_iter()
                .find(|b| b.0 == which.0)
                .map(|b| 1.0 / b.1.max(1e-12))
        }
        None => limits(fleet, load, scenario).into_iter().find(|l| l.0 == which.0).map(|l| l.2),
    };
    found.unwrap_or(MOST_TIMES).min(MOST_TIMES)
}

/// The greatest multiple of the load at which this share of each class of a group is served in time; 0 if none is.
pub fn max_load_multiple(fleet: &Fleet, load: &Load, group: usize, goal: f64, scenario: &Scenario) -> f64 {
    let share = group_shares(fleet, load)[group];
    let met = |times: f64| {
        let scenario = Scenario { load: scenario.load * times, ..scenario.clone() };
        steady_states(fleet, &fleet.groups[group], load, share, &scenario).better.worst() >= goal
    };
    if !met(1e-3) {
        return 0.0;
    }
    let (mut low, mut high) = (1e-3, 1.0);
    while met(high) && high < MOST_TIMES {
        (low, high) = (high, high * 2.0);
    }
    for _ in 0..24 {
        let middle = (low + high) / 2.0;
        if met(middle) { low = middle } else { high = middle }
    }
    low
}

/// The groups that are busiest, by their places.
fn busiest(fleet: &Fleet, load: &Load, scenario: &Scenario) -> Vec<usize> {
    let mut seen = Vec::new();
    for (_, group, _) in limits(fleet, load, scenario) {
        if let Some(i) = group.filter(|i| !seen.contains(i)) {
            seen.push(i);
        }
    }
    // Alike ones have the same answer.
    let mut kinds: Vec<(&[HostSet], u64)> = Vec::new();
    let all = group_shares(fleet, load);
    seen.retain(|&i| {
        let key = (fleet.groups[i].members.as_slice(), all[i].to_bits());
        let new = !kinds.contains(&key);
        kinds.push(key);
        new
    });
    seen.truncate(CLOSELY);
    seen
}

/// What saturates first, and the next three; and when the goal is missed, that share of each class in time.
pub fn saturate(fleet: &Fleet, load: &Load, goal: f64, scenario: &Scenario) -> Saturation {
    let mut chosen: Vec<Bare> = Vec::new();
    for limit in limits(fleet, load, scenario) {
        // One line for each kind of resource: the first of its kind is the one that matters.
        if chosen.iter().all(|c| c.0 != limit.0) {
            chosen.push(limit);
        }
    }
    chosen.truncate(4);
    let of = |which: &Bare| match which.1 {
        Some(i) => format!("group {}", fleet.groups[i].id),
        None => "the fleet".to_string(),
    };
    let limits = chosen.iter().map(|which| Limit {
        resource: which.0.name(),
        of: of(which),
        times: figure(fleet, load, |f, l| one_limit(f, l, scenario, which)),
    });
    let limits = limits.collect();
    let near = busiest(fleet, load, scenario);
    let least = near.iter().map(|&i| (i, max_load_multiple(fleet, load, i, goal, scenario)));
    let (at, times) = least.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, 0.0));
    let goal_at = figure(fleet, load, |f, l| max_load_multiple(f, l, at, goal, scenario));
    let share = group_shares(fleet, load)[at];
    let trap = (1..=40).map(|k| times * f64::from(k) / 20.0).find(|&t| {
        let scenario = Scenario { load: scenario.load * t, ..scenario.clone() };
        steady_states(fleet, &fleet.groups[at], load, share, &scenario).worse.is_some()
    });
    Saturation { limits, goal: goal_at, goal_group: fleet.groups[at].id, trap }
}

/// What one group needs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Size {
    /// The group.
    pub group: u32,
    /// Hosts that it has.
    pub has: u32,
    /// The fewest that meet the goal; none where no number of replicas does.
    pub needs: Option<u32>,
    /// The interval of that number, by the errors of the inputs.
    pub low: Option<u32>,
    /// Its upper end.
    pub high: Option<u32>,
    /// Where no number does: what stands against it.
    pub bound_by: Option<String>,
    /// The input to which it is most sensitive.
    pub hangs_on: String,
}

/// The most replicas that are tried.
const MOST_REPLICAS: u32 = 512;

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

fn fewest(fleet: &Fleet, load: &Load, group: usize, goal: f64, scenario: &Scenario) -> Option<u32> {
    let met = |replicas: u32| {
        let fleet = resized(fleet, group, replicas);
        let share = group_shares(&fleet, load)[group];
        steady_states(&fleet, &fleet.groups[group], load, share, scenario).better.worst() >= goal
    };
    let mut high = 1;
    if met(0) {
        return Some(1);
    }
    while !met(high) {
        high *= 2;
        if high > MOST_REPLICAS {
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

/// The fewest hosts of each group, its primary included, that serve this share of each class in time.
pub fn size(fleet: &Fleet, load: &Load, goal: f64, scenario: &Scenario) -> Vec<Size> {
    let one = |i: usize, g: &Group| {
        let needs = fewest(fleet, load, i, goal, scenario);
        let asked =
            |f: &Fleet, l: &Load| fewest(f, l, i, goal, scenario).map_or(f64::from(MOST_REPLICAS), f64::from);
        let range = figure(fleet, load, asked);
        let bound_by = needs.is_none().then(|| why_not(fleet, load, i, scenario));
        let whole = |x: f64| (x < f64::from(MOST_REPLICAS)).then_some(x.round().max(1.0) as u32);
        Size {
            group: g.id,
            has: g.members.iter().map(|m| m.count).sum(),
            needs,
            low: needs.and(whole(range.low)),
            high: needs.and(whole(range.high.ceil())),
            bound_by,
            hangs_on: range.hangs_on,
        }
    };
    fleet.groups.iter().enumerate().map(|(i, g)| one(i, g)).collect()
}

/// What no number of replicas changes.
fn why_not(fleet: &Fleet, load: &Load, group: usize, scenario: &Scenario) -> String {
    let fleet = resized(fleet, group, MOST_REPLICAS);
    let share = group_shares(&fleet, load)[group];
    let found = utilizations(&fleet, &fleet.groups[group], load, share, scenario);
    let primary = found.iter().find(|b| b.0 == Resource::PrimaryCores).map_or(0.0, |b| b.1);
    let apply = found.iter().find(|b| b.0 == Resource::ApplyThread).map_or(0.0, |b| b.1);
    if primary >= 0.6 || apply >= 0.6 {
        let groups = primary.max(apply).ceil().max(2.0);
        let what = if primary >= apply { "writes keep its primary" } else { "writes keep each apply thread" };
        return format!(
            "{what} {:.0} % busy: more groups (at least {groups}), not more replicas",
            100.0 * primary.max(apply)
        );
    }
    "a class's own work takes longer than its goal too often: faster cores, or another goal".into()
}

/// What an outage takes.
#[derive(Clone, Debug, PartialEq)]
pub enum Lost {
    /// A machine room.
    Room(String),
    /// All hosts of a kind.
    Kind(String),
    /// The primary of the group whose primary is busiest.
    BusiestPrimary,
}

/// The consequences of an outage.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loss {
    /// Hosts that are gone.
    pub hosts: u32,
    /// Groups of which nothing is left.
    pub groups_gone: Vec<u32>,
    /// Groups that have to find another primary, and take no writes meanwhile.
    pub primaries_gone: Vec<u32>,
    /// The share of the worth that is served in time while it lasts, once new primaries are found.
    pub served: Figure,
    /// Once what was lost is back and cold: seconds until nine tenths of what was served before are again;
    /// none if that never comes by itself.
    pub back_after_s: Option<f64>,
}

fn worth(fleet: &Fleet, load: &Load, scenario: &Scenario, gone: f64) -> f64 {
    let all = group_shares(fleet, load);
    let mut memo: Vec<(&[HostSet], u64, f64)> = Vec::new();
    let mut sum = 0.0;
    for (g, share) in fleet.groups.iter().zip(&all).filter(|g| *g.1 > 0.0) {
        let known = memo.iter().find(|m| m.0 == g.members.as_slice() && m.1 == share.to_bits());
        let one = match known {
            Some(m) => m.2,
            None => {
                let one = steady_states(fleet, g, load, *share, scenario).better.worth();
                memo.push((&g.members, share.to_bits(), one));
                one
            }
        };
        sum += share * one;
    }
    sum * (1.0 - gone)
}

/// What is served when something is lost, and whether all is as before once it is back.
pub fn lose(fleet: &Fleet, load: &Load, lost: &Lost, scenario: &Scenario) -> Loss {
    let first = limits(fleet, load, scenario);
    let busiest = first.iter().find(|l| l.0 == Resource::PrimaryCores).and_then(|l| l.1);
    let busiest = busiest.map(|i| fleet.groups[i].id);
    let hit = |g: &Group, m: &HostSet| match lost {
        Lost::Room(room) => m.room == *room,
        Lost::Kind(kind) => m.kind == *kind,
        Lost::BusiestPrimary => m.primary && Some(g.id) == busiest,
    };
    let (left, groups_gone) = fleet.without(hit);
    let count = |f: &Fleet| f.hosts();
    let hosts = count(fleet) - count(&left);
    let primaries = fleet.groups.iter().filter(|g| g.members.iter().any(|m| m.primary && hit(g, m)));
    let primaries_gone: Vec<u32> = primaries.map(|g| g.id).filter(|id| !groups_gone.contains(id)).collect();
    let all = group_shares(fleet, load);
    let parts = fleet.groups.iter().zip(&all);
    let gone: f64 = parts.filter(|(g, _)| groups_gone.contains(&g.id)).map(|(_, s)| s).sum();
    // The load of groups that are gone goes nowhere: the others keep theirs.
    let keep = |l: &Load| {
        let mut l = l.clone();
        l.classes.values_mut().for_each(|c| c.per_s *= 1.0 - gone);
        l
    };
    let served = figure(fleet, load, |f, l| {
        let (left, _) = f.without(hit);
        worth(&left, &keep(l), scenario, gone)
    });
    Loss { hosts, groups_gone, primaries_gone, served, back_after_s: back_after(fleet, load, scenario, hit) }
}

/// Seconds until a group whose lost members return cold serves nine tenths of what it did, from the state of a
/// group that was failing: the slowest group counts.
fn back_after(
    fleet: &Fleet, load: &Load, scenario: &Scenario, hit: impl Fn(&Group, &HostSet) -> bool,
) -> Option<f64> {
    let all = group_shares(fleet, load);
    let mut slowest: f64 = 0.0;
    for (i, g) in fleet.groups.iter().enumerate() {
        let members: Vec<&HostSet> = g.members.iter().filter(|m| hit(g, m)).collect();
        let Some(warm) =
            members.iter().filter_map(|m| fleet.kinds.get(&m.kind)).map(|k| k.warm_s).reduce(f64::max)
        else {
            continue;
        };
        let before = steady_states(fleet, g, load, all[i], scenario).better.worth();
        let lost = fleet.cores(g, false) - {
            let mut left = g.clone();
            left.members.retain(|m| !hit(g, m));
            fleet.cores(&left, false)
        };
        let cold = members.iter().filter_map(|m| fleet.kinds.get(&m.kind)).map(|k| k.cold_share);
        let cold = cold.fold(1.0, f64::min);
        let whole = fleet.cores(g, false).max(1e-9);
        let back = (0..=40).map(|k| f64::from(k) / 40.0).find(|at| {
            let warmth = 1.0 - lost / whole * (1.0 - (cold + (1.0 - cold) * at));
            let scenario = Scenario { warmth, ..scenario.clone() };
            let found: SteadyStates = steady_states(fleet, g, load, all[i], &scenario);
            // A group that was failing stays in the worse state as long as there is one.
            found.worse.unwrap_or(found.better).worth() >= 0.9 * before
        });
        slowest = slowest.max(back? * warm);
    }
    Some(slowest)
}

/// The state of the fleet under some change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WhatIf {
    /// The share of the worth that is served in time.
    pub worth: Figure,
    /// The share of each class, in the group where it is lowest.
    pub classes: Vec<(String, f64)>,
    /// The share of bounded reads that replicas are too far behind for, where it is highest.
    pub out_of_bound: f64,
    /// Attempts for each request, in the group where they are most.
    pub amplification: f64,
    /// The resource that is busiest, whose, and how busy.
    pub busiest: (String, String, f64),
    /// Groups that have a metastable worse state besides, which they would not leave by themselves.
    pub trapped: Vec<u32>,
}

/// What the fleet does under a change.
pub fn what_if(fleet: &Fleet, load: &Load, scenario: &Scenario) -> WhatIf {
    let all = group_shares(fleet, load);
    let mut classes: Vec<(String, f64)> = Vec::new();
    let (mut out_of_bound, mut amplification, mut trapped) = (0.0f64, 1.0f64, Vec::new());
    for i in busiest(fleet, load, scenario) {
        let found = steady_states(fleet, &fleet.groups[i], load, all[i], scenario);
        for s in &found.better.served {
            match classes.iter_mut().find(|c| c.0 == s.class) {
                Some(c) => c.1 = c.1.min(s.in_time),
                None => classes.push((s.class.clone(), s.in_time)),
            }
        }
        out_of_bound = out_of_bound.max(found.better.out_of_bound);
        amplification = amplification.max(found.better.amplification);
        trapped.extend(found.worse.map(|_| fleet.groups[i].id));
    }
    let first = limits(fleet, load, scenario).into_iter().next();
    let busiest = first.map_or(("nothing".into(), "the fleet".into(), 0.0), |(r, i, times)| {
        let of = i.map_or("the fleet".into(), |i| format!("group {}", fleet.groups[i].id));
        (r.name().to_string(), of, 1.0 / times)
    });
    let worth = figure(fleet, load, |f, l| worth(f, l, scenario, 0.0));
    WhatIf { worth, classes, out_of_bound, amplification, busiest, trapped }
}

/// Whether a load holds any writes at all; a plan without them says nothing of primaries.
pub fn has_writes(fleet: &Fleet, load: &Load) -> bool {
    let writes = |n: &String| fleet.classes.get(n).is_some_and(|c| c.access == Access::Write);
    load.classes.iter().any(|(n, c)| c.per_s > 0.0 && writes(n))
}
