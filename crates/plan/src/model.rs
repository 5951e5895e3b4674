//! The model of one group under load: the utilization of its resources, the share of each class served in time, and
//! the steady state of the loop in which failed requests are retried and add to the load. The loop is solved as a
//! fixed point; a group may have two, and both are then reported.

use crate::fleet::{Access, ClassLoad, Fleet, Group, Load};
use crate::queue::{Service, Station, mixed};
use std::collections::BTreeMap;

/// The utilization from which a station counts as saturated: the queueing formulas end at 1.
const MAX_UTILIZATION: f64 = 0.985;
/// The damped iteration towards the fixed point: its most steps, the part of the way that the first step goes, the
/// number of steps after which a step is half as long, and the change below which the point counts as reached.
/// Guards against an iteration that oscillates round a steep point for ever.
const MAX_ITERATIONS: usize = 400;
const FIRST_STEP: f64 = 0.4;
const STEP_HALVED_AFTER: f64 = 40.0;
const TOLERANCE: f64 = 1e-6;
/// Two fixed points whose worth differs by more than this are two states.
const DISTINCT_STATES: f64 = 0.05;

/// Changes to the fleet and its load, for questions that begin with "what if".
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// All of the load, this many times.
    pub load: f64,
    /// Some classes, this many times.
    pub classes: BTreeMap<String, f64>,
    /// Applying a write takes this many times as long.
    pub apply: f64,
    /// What hosts can do, as a share: under 1 while they are cold.
    pub warmth: f64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario { load: 1.0, classes: BTreeMap::new(), apply: 1.0, warmth: 1.0 }
    }
}

/// A resource that may be the first to saturate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// The cores of a group's primary, by its writes.
    PrimaryCores,
    /// All cores of a group.
    GroupCores,
    /// The one thread by which a replica applies the log.
    ApplyThread,
    /// Connections of a host.
    Connections,
    /// Cores of the proxies.
    ProxyCores,
    /// What goes between rooms.
    Crossing,
}

impl Resource {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Resource::PrimaryCores => "primary cores",
            Resource::GroupCores => "group cores",
            Resource::ApplyThread => "apply thread",
            Resource::Connections => "connections",
            Resource::ProxyCores => "proxy cores",
            Resource::Crossing => "crossing",
        }
    }
}

/// The service that one class gets in one group.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// Its name.
    pub class: String,
    /// First tries a second.
    pub asked: f64,
    /// The share of requests that are served in time, by whichever try.
    pub in_time: f64,
    /// What each is worth.
    pub worth: f64,
}

/// One steady state of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The service that each class gets.
    pub served: Vec<Served>,
    /// The utilization of each resource of the group, 1 being its bound.
    pub busy: Vec<(Resource, f64)>,
    /// Attempts for each request: 1 where nothing is retried.
    pub amplification: f64,
    /// The share of bounded reads that replicas are too far behind for.
    pub out_of_bound: f64,
}

impl State {
    /// The share of the worth asked for that is served in time.
    pub fn worth(&self) -> f64 {
        let asked: f64 = self.served.iter().map(|s| s.asked * s.worth).sum();
        let got: f64 = self.served.iter().map(|s| s.asked * s.worth * s.in_time).sum();
        if asked > 0.0 { got / asked } else { 1.0 }
    }
    /// The lowest share in time of any class that is asked for.
    pub fn worst(&self) -> f64 {
        self.served.iter().filter(|s| s.asked > 0.0).map(|s| s.in_time).fold(1.0, f64::min)
    }
}

/// The steady states of a group: the one reached from no failures, and the one reached from all failing if it differs.
#[derive(Clone, Debug, PartialEq)]
pub struct SteadyStates {
    /// The better state.
    pub better: State,
    /// The worse one, a metastable state: the group does not leave it by itself.
    pub worse: Option<State>,
}

/// One class as a group sees it.
struct ClassDemand<'a> {
    name: &'a str,
    access: Access,
    /// First tries a second in this group.
    asked: f64,
    /// Seconds of a core of speed 1.
    mean: f64,
    cv2: f64,
    goal: f64,
    bound: f64,
    worth: f64,
    retries: u32,
    wasted: f64,
    service: Service,
}

/// What the hosts of a group can do.
#[derive(Clone, Copy)]
struct HostCapacity {
    primary: f64,
    primary_servers: u32,
    replicas: u32,
    /// Cores of all replicas, and the servers of one.
    replica_cores: f64,
    replica_servers: u32,
    /// Speed of a replica's core, for its apply thread.
    speed: f64,
    connections: f64,
    /// Cores of the primary and of all, however few connections they can be reached by.
    whole: (f64, f64),
    /// What the connections of the primary and of all could keep busy.
    reach: (f64, f64),
}

/// Shares of the groups in the load, by their place.
pub fn group_shares(fleet: &Fleet, load: &Load) -> Vec<f64> {
    let of =
        |g: &Group| if load.groups.is_empty() { g.share } else { *load.groups.get(&g.id).unwrap_or(&0.0) };
    let all: f64 = fleet.groups.iter().map(of).sum();
    fleet.groups.iter().map(|g| if all > 0.0 { of(g) / all } else { 0.0 }).collect()
}

fn host_capacity(fleet: &Fleet, group: &Group, warmth: f64) -> HostCapacity {
    let kind = |name: &str| fleet.kinds.get(name);
    let mut h = HostCapacity {
        primary: 0.0,
        primary_servers: 1,
        replicas: 0,
        replica_cores: 0.0,
        replica_servers: 1,
        speed: 1.0,
        connections: f64::INFINITY,
        whole: (0.0, 0.0),
        reach: (0.0, 0.0),
    };
    for m in &group.members {
        let Some(k) = kind(&m.kind) else { continue };
        // A host that holds fewer connections than it has cores keeps only so many busy.
        let servers = k.cores.min(k.connections);
        let cores = f64::from(servers) * k.speed * warmth;
        h.connections = h.connections.min(f64::from(k.connections));
        let all = |each: u32| f64::from(each) * k.speed * warmth * f64::from(m.count);
        (h.whole.1, h.reach.1) = (h.whole.1 + all(k.cores), h.reach.1 + all(k.connections));
        if m.primary {
            (h.whole.0, h.reach.0) = (all(k.cores), all(k.connections));
        }
        if m.primary {
            (h.primary, h.primary_servers) = (cores, servers);
        } else {
            h.replicas += m.count;
            h.replica_cores += cores * f64::from(m.count);
            h.replica_servers = servers;
            h.speed = k.speed;
        }
    }
    h
}

fn class_demands<'a>(
    fleet: &'a Fleet, load: &'a Load, share: f64, scenario: &Scenario,
) -> Vec<ClassDemand<'a>> {
    let part = |(name, c): (&'a String, &'a ClassLoad)| {
        let class = fleet.classes.get(name)?;
        let times = scenario.load * scenario.classes.get(name).copied().unwrap_or(1.0);
        let mean = c.mean_ms / 1e3;
        Some(ClassDemand {
            name,
            access: class.access,
            asked: c.per_s * share * times,
            mean,
            cv2: c.cv2,
            goal: (class.goal_ms - 2.0 * fleet.crossing.ms * fleet.crossing.share).max(0.1) / 1e3,
            bound: class.bound_ms / 1e3,
            worth: class.worth,
            retries: class.retries,
            wasted: class.wasted,
            service: Service::new(mean, c.cv2),
        })
    };
    load.classes.iter().filter_map(part).collect()
}

/// The result of one step of the iteration.
struct Iteration {
    fails: Vec<f64>,
    busy: Vec<(Resource, f64)>,
    out_of_bound: f64,
}

/// The attempts a second of a class where this share of them fails, and those of them that hosts work on: of failed
/// attempts only the wasted part.
fn attempt_rates(p: &ClassDemand, fails: f64) -> (f64, f64) {
    let all: f64 = (0..=p.retries).map(|k| fails.powi(k as i32)).sum();
    (p.asked * all, p.asked * all * (1.0 - fails + fails * p.wasted))
}

fn iterate(parts: &[ClassDemand], h: &HostCapacity, apply: f64, fails: &[f64]) -> Iteration {
    let worked: Vec<f64> = parts.iter().zip(fails).map(|(p, f)| attempt_rates(p, *f).1).collect();
    let writes: f64 =
        parts.iter().zip(&worked).filter(|(p, _)| p.access == Access::Write).map(|(_, r)| *r).sum();
    // A replica that is cold applies no slower: the thread is one, and the log comes first.
    let log = Station { servers: 1, rate: writes, mean: apply / h.speed, cv2: 1.0 };
    let lag = Service::new(log.mean, 0.5);
    let behind = |p: &ClassDemand| match p.access {
        Access::Bounded if h.replicas == 0 || log.utilisation() >= MAX_UTILIZATION => 1.0,
        Access::Bounded if apply > 0.0 => log.late(&lag, p.bound),
        _ => 0.0,
    };
    let out: Vec<f64> = parts.iter().map(behind).collect();
    // What only the primary may do, and what any may.
    let (mut bound, mut free) = (0.0, 0.0);
    for ((p, r), o) in parts.iter().zip(&worked).zip(&out) {
        let work = r * p.mean;
        match p.access {
            Access::Write => bound += work,
            Access::Bounded | Access::Any => {
                bound += work * o;
                free += work * (1.0 - o);
            }
        }
    }
    let (cp, cr) = (h.primary.max(1e-9), h.replica_cores);
    // Replicas first; the primary takes what makes both equally busy.
    let at_primary = if cr > 0.0 { ((free * cp - cr * bound) / (cr + cp)).clamp(0.0, free) } else { free };
    let split = if free > 0.0 { at_primary / free } else { 0.0 };
    let primary_share =
        |p: &ClassDemand, o: f64| if p.access == Access::Write { 1.0 } else { o + (1.0 - o) * split };
    let speed = |cores: f64, servers: u32| cores / f64::from(servers.max(1));
    let (sp, sr) =
        (speed(cp, h.primary_servers), speed(cr / f64::from(h.replicas.max(1)), h.replica_servers).max(1e-9));
    let each = || parts.iter().zip(&worked).zip(&out);
    let primary = mixed(
        h.primary_servers,
        each().map(|((p, r), &o)| (r * primary_share(p, o), p.mean / sp.max(1e-9), p.cv2)),
    );
    let replica = mixed(
        h.replica_servers,
        each().map(|((p, r), &o)| {
            (r * (1.0 - primary_share(p, o)) / f64::from(h.replicas.max(1)), p.mean / sr, p.cv2)
        }),
    );
    let late = |station: &Station, p: &ClassDemand, speed: f64| {
        let rho = station.utilisation();
        // Beyond what it can do the newest go first, so that what it does is in time, and the rest is not.
        let (kept, station) = if rho > MAX_UTILIZATION {
            (MAX_UTILIZATION / rho, Station { rate: station.rate * MAX_UTILIZATION / rho, ..*station })
        } else {
            (1.0, *station)
        };
        // A slower core stretches the service: the goal shrinks instead.
        let on_time = 1.0 - late_share(&station, p, speed);
        1.0 - kept * on_time
    };
    let fails = each()
        .map(|((p, _), &o)| {
            let share = primary_share(p, o);
            let at_replica = if share < 1.0 { late(&replica, p, sr) } else { 0.0 };
            share * late(&primary, p, sp) + (1.0 - share) * at_replica
        })
        .collect();
    let written: f64 =
        parts.iter().zip(&worked).filter(|(p, _)| p.access == Access::Write).map(|(p, r)| p.mean * r).sum();
    let in_host = |s: &Station| {
        let s = Station {
            rate: s.rate.min(s.rate * MAX_UTILIZATION / s.utilisation().max(MAX_UTILIZATION)),
            ..*s
        };
        s.rate * (s.mean_wait().min(1e6) + s.mean)
    };
    let mut busy = vec![
        (Resource::PrimaryCores, written / cp),
        (Resource::GroupCores, (bound + free) / (cp + cr)),
        (Resource::Connections, in_host(&primary).max(in_host(&replica)) / h.connections),
    ];
    if h.replicas > 0 {
        busy.push((Resource::ApplyThread, log.utilisation()));
    }
    let bounded: Vec<f64> =
        parts.iter().zip(&out).filter(|(p, _)| p.access == Access::Bounded).map(|(_, o)| *o).collect();
    let out_of_bound = bounded.iter().copied().fold(0.0, f64::max);
    Iteration { fails, busy, out_of_bound }
}

fn late_share(station: &Station, p: &ClassDemand, speed: f64) -> f64 {
    // In units of this host's core.
    let unit = Station { mean: station.mean * speed, rate: station.rate / speed, ..*station };
    unit.late(&p.service, p.goal * speed)
}

fn find_fixed_point(parts: &[ClassDemand], h: &HostCapacity, apply: f64, from: f64) -> State {
    let mut fails = vec![from; parts.len()];
    let mut last = iterate(parts, h, apply, &fails);
    for step in 0..MAX_ITERATIONS {
        let part = FIRST_STEP / (1.0 + step as f64 / STEP_HALVED_AFTER);
        let moved = fails.iter().zip(&last.fails).map(|(a, b)| (a - b).abs()).fold(0.0, f64::max);
        fails.iter_mut().zip(&last.fails).for_each(|(a, b)| *a += part * (b - *a));
        last = iterate(parts, h, apply, &fails);
        if moved < TOLERANCE {
            break;
        }
    }
    let (mut first, mut all) = (0.0, 0.0);
    let served = parts.iter().zip(&fails).map(|(p, f)| {
        first += p.asked;
        all += attempt_rates(p, *f).0;
        let in_time = 1.0 - f.powi(p.retries as i32 + 1);
        Served { class: p.name.to_string(), asked: p.asked, in_time, worth: p.worth }
    });
    let served = served.collect();
    let amplification = if first > 0.0 { all / first } else { 1.0 };
    State { served, busy: last.busy, amplification, out_of_bound: last.out_of_bound }
}

/// The steady states of a group under its share of a load.
pub fn steady_states(
    fleet: &Fleet, group: &Group, load: &Load, share: f64, scenario: &Scenario,
) -> SteadyStates {
    let parts = class_demands(fleet, load, share, scenario);
    let h = host_capacity(fleet, group, scenario.warmth);
    let apply = load.apply_ms / 1e3 * scenario.apply;
    let better = find_fixed_point(&parts, &h, apply, 0.0);
    let worse = find_fixed_point(&parts, &h, apply, 1.0);
    let apart = (better.worth() - worse.worth()).abs() > DISTINCT_STATES;
    SteadyStates { better, worse: apart.then_some(worse) }
}

/// The utilization of each resource without queues, failures or retries: what is in proportion to the load.
pub fn utilizations(
    fleet: &Fleet, group: &Group, load: &Load, share: f64, scenario: &Scenario,
) -> Vec<(Resource, f64)> {
    let parts = class_demands(fleet, load, share, scenario);
    let h = host_capacity(fleet, group, scenario.warmth);
    let work = |wanted: fn(Access) -> bool| -> f64 {
        parts.iter().filter(|p| wanted(p.access)).map(|p| p.asked * p.mean).sum()
    };
    let written = work(|n| n == Access::Write);
    let writes: f64 = parts.iter().filter(|p| p.access == Access::Write).map(|p| p.asked).sum();
    let all = work(|_| true);
    let part = |work: f64, of: f64| work / of.max(1e-9);
    let mut out = vec![
        (Resource::PrimaryCores, part(written, h.whole.0)),
        (Resource::GroupCores, part(all, h.whole.1)),
        // All in service and none waiting: a host cannot hold fewer.
        (Resource::Connections, part(written, h.reach.0).max(part(all, h.reach.1))),
    ];
    if h.replicas > 0 {
        out.push((Resource::ApplyThread, writes * load.apply_ms / 1e3 * scenario.apply / h.speed));
    }
    out
}
