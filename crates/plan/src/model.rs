//! The model of one group under load: the utilization of its resources, the share of each class served in time, and
//! the steady state of the feedback loop in which failed requests are retried and add to the load. The module calls
//! the queueing formulas of [`crate::queue`]. It solves the loop as a fixed point; a group may have two fixed points,
//! and the module must report both.

use crate::fleet::{Access, ClassLoad, Fleet, Group, Load};
use crate::queue::{ServiceTime, Station, mixed};
use std::collections::BTreeMap;

/// The utilization above which a station counts as saturated, because the queueing formulas diverge at 1.
const MAX_UTILIZATION: f64 = 0.985;
/// The most steps of the damped iteration towards the fixed point. Guards against an iteration that oscillates around
/// a steep point without end.
const MAX_ITERATIONS: usize = 400;
/// The share of the distance to the new value that the first step of the iteration covers.
const FIRST_STEP: f64 = 0.4;
/// The number of steps after which a step covers half as much as the first one.
const STEP_HALVED_AFTER: f64 = 40.0;
/// The change of a failure share below which the fixed point counts as reached.
const TOLERANCE: f64 = 1e-6;
/// Two fixed points count as two states if the shares of the worth that they serve differ by more than this.
const DISTINCT_STATES: f64 = 0.05;

/// Changes to the fleet and its load, for what-if questions.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Multiple of the load of all classes.
    pub load: f64,
    /// Further multiples of the load, by class name.
    pub classes: BTreeMap<String, f64>,
    /// Multiple of the time that a replica takes to apply a write.
    pub apply: f64,
    /// The share of their capacity that hosts provide: below 1 while they are cold.
    pub capacity_share: f64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario { load: 1.0, classes: BTreeMap::new(), apply: 1.0, capacity_share: 1.0 }
    }
}

/// A resource that can saturate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Resource {
    /// The cores of a group's primary, used by writes.
    PrimaryCores,
    /// The cores of all hosts of a group.
    GroupCores,
    /// The single thread by which a replica applies the replication log.
    ApplyThread,
    /// The connections of a host.
    Connections,
    /// The cores of the proxies.
    ProxyCores,
    /// The requests between zones.
    CrossZone,
}

impl Resource {
    /// The resource's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Resource::PrimaryCores => "primary cores",
            Resource::GroupCores => "group cores",
            Resource::ApplyThread => "apply thread",
            Resource::Connections => "connections",
            Resource::ProxyCores => "proxy cores",
            Resource::CrossZone => "crossing",
        }
    }
}

/// The service that one class receives in one group.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassService {
    /// The class's name.
    pub class: String,
    /// First attempts per second.
    pub rate: f64,
    /// The share of requests that are served in time, at any attempt.
    pub in_time: f64,
    /// The worth of one request.
    pub worth: f64,
}

/// One steady state of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The service of each class.
    pub classes: Vec<ClassService>,
    /// The utilization of each resource of the group; 1 is its limit.
    pub utilizations: Vec<(Resource, f64)>,
    /// Attempts per request: 1 where nothing is retried.
    pub amplification: f64,
    /// The share of bounded reads for which replicas lag too far behind.
    pub out_of_bound: f64,
}

impl State {
    /// The share of the requested worth that is served in time.
    pub fn worth(&self) -> f64 {
        let requested: f64 = self.classes.iter().map(|s| s.rate * s.worth).sum();
        let served: f64 = self.classes.iter().map(|s| s.rate * s.worth * s.in_time).sum();
        if requested > 0.0 { served / requested } else { 1.0 }
    }
    /// The lowest share served in time among the classes that have any load.
    pub fn lowest_in_time(&self) -> f64 {
        self.classes.iter().filter(|s| s.rate > 0.0).map(|s| s.in_time).fold(1.0, f64::min)
    }
}

/// The steady states of a group: the one reached when no request fails at first, and the one reached when all fail at
/// first, if the two differ.
#[derive(Clone, Debug, PartialEq)]
pub struct SteadyStates {
    /// The better state.
    pub better: State,
    /// The worse state. It is metastable: the group does not leave it by itself.
    pub worse: Option<State>,
}

/// The load of one class on a group, and what its clients want.
struct ClassDemand<'a> {
    name: &'a str,
    access: Access,
    /// First attempts per second in this group.
    rate: f64,
    /// Mean time on a core of speed 1, in seconds.
    mean: f64,
    cv2: f64,
    /// The response time that clients want, in seconds, without the time between zones.
    goal: f64,
    /// The bound on the age of the data, in seconds.
    bound: f64,
    worth: f64,
    /// Retries that a client makes.
    retries: u32,
    /// The share of failed attempts that hosts work on nevertheless.
    wasted: f64,
    /// The time on a core of speed 1.
    service: ServiceTime,
}

/// The capacity of a group's hosts, in cores of speed 1 where nothing else is said.
#[derive(Clone, Copy)]
struct HostCapacity {
    /// Cores of the primary that its connections can keep busy.
    primary_cores: f64,
    /// Requests that the primary works on at a time.
    primary_servers: u32,
    /// Number of replicas.
    replicas: u32,
    /// Cores of all replicas that their connections can keep busy.
    replica_cores: f64,
    /// Requests that one replica works on at a time.
    replica_servers: u32,
    /// Speed of one core of a replica, for its apply thread.
    replica_speed: f64,
    /// The fewest connections of any host.
    connections: f64,
    /// Cores of the primary, whatever its number of connections.
    primary_all_cores: f64,
    /// Cores of all hosts, whatever their number of connections.
    group_all_cores: f64,
    /// Cores that the connections of the primary could keep busy if it had as many.
    primary_reachable_cores: f64,
    /// Cores that the connections of all hosts could keep busy if they had as many.
    group_reachable_cores: f64,
}

/// The share of each group in the load, in the order of `fleet.groups`. The load's own shares take precedence over the
/// fleet's.
pub fn group_shares(fleet: &Fleet, load: &Load) -> Vec<f64> {
    let weight =
        |g: &Group| if load.groups.is_empty() { g.share } else { *load.groups.get(&g.id).unwrap_or(&0.0) };
    let total: f64 = fleet.groups.iter().map(weight).sum();
    fleet.groups.iter().map(|g| if total > 0.0 { weight(g) / total } else { 0.0 }).collect()
}

fn host_capacity(fleet: &Fleet, group: &Group, capacity_share: f64) -> HostCapacity {
    let host_type = |name: &str| fleet.kinds.get(name);
    let mut capacity = HostCapacity {
        primary_cores: 0.0,
        primary_servers: 1,
        replicas: 0,
        replica_cores: 0.0,
        replica_servers: 1,
        replica_speed: 1.0,
        connections: f64::INFINITY,
        primary_all_cores: 0.0,
        group_all_cores: 0.0,
        primary_reachable_cores: 0.0,
        group_reachable_cores: 0.0,
    };
    for hosts in &group.members {
        let Some(kind) = host_type(&hosts.kind) else { continue };
        // A host with fewer connections than cores keeps only one core per connection busy.
        let servers = kind.cores.min(kind.connections);
        let cores = f64::from(servers) * kind.speed * capacity_share;
        capacity.connections = capacity.connections.min(f64::from(kind.connections));
        let all_hosts =
            |per_host: u32| f64::from(per_host) * kind.speed * capacity_share * f64::from(hosts.count);
        capacity.group_all_cores += all_hosts(kind.cores);
        capacity.group_reachable_cores += all_hosts(kind.connections);
        if hosts.primary {
            capacity.primary_all_cores = all_hosts(kind.cores);
            capacity.primary_reachable_cores = all_hosts(kind.connections);
        }
        if hosts.primary {
            capacity.primary_cores = cores;
            capacity.primary_servers = servers;
        } else {
            capacity.replicas += hosts.count;
            capacity.replica_cores += cores * f64::from(hosts.count);
            capacity.replica_servers = servers;
            capacity.replica_speed = kind.speed;
        }
    }
    capacity
}

/// The demand of each class on a group with this share of the load. Classes that the fleet lacks are left out.
fn class_demands<'a>(
    fleet: &'a Fleet, load: &'a Load, share: f64, scenario: &Scenario,
) -> Vec<ClassDemand<'a>> {
    let demand = |(name, c): (&'a String, &'a ClassLoad)| {
        let class = fleet.classes.get(name)?;
        let multiple = scenario.load * scenario.classes.get(name).copied().unwrap_or(1.0);
        let mean = c.mean_ms / 1e3;
        Some(ClassDemand {
            name,
            access: class.access,
            rate: c.per_s * share * multiple,
            mean,
            cv2: c.cv2,
            goal: (class.goal_ms - 2.0 * fleet.crossing.ms * fleet.crossing.share).max(0.1) / 1e3,
            bound: class.bound_ms / 1e3,
            worth: class.worth,
            retries: class.retries,
            wasted: class.wasted,
            service: ServiceTime::new(mean, c.cv2),
        })
    };
    load.classes.iter().filter_map(demand).collect()
}

/// The result of one step of the iteration.
struct Iteration {
    /// The share of attempts that fail, by class.
    failure_shares: Vec<f64>,
    utilizations: Vec<(Resource, f64)>,
    out_of_bound: f64,
}

/// The attempts per second of a class of whose attempts this share fails, and the attempts per second that hosts work
/// on: of the failed attempts only the wasted share.
fn attempt_rates(demand: &ClassDemand, failure_share: f64) -> (f64, f64) {
    let attempts: f64 = (0..=demand.retries).map(|k| failure_share.powi(k as i32)).sum();
    (demand.rate * attempts, demand.rate * attempts * (1.0 - failure_share + failure_share * demand.wasted))
}

/// One step: the failure shares that follow where attempts fail at the given shares. `apply` is the time that a replica
/// of speed 1 takes to apply a write, in seconds.
fn iterate(
    demands: &[ClassDemand], capacity: &HostCapacity, apply: f64, failure_shares: &[f64],
) -> Iteration {
    let worked_rates: Vec<f64> =
        demands.iter().zip(failure_shares).map(|(demand, f)| attempt_rates(demand, *f).1).collect();
    let write_rate: f64 = demands
        .iter()
        .zip(&worked_rates)
        .filter(|(demand, _)| demand.access == Access::Write)
        .map(|(_, rate)| *rate)
        .sum();
    // A cold replica applies at full speed: a single thread applies the log, and the log has precedence.
    let log = Station { servers: 1, rate: write_rate, mean: apply / capacity.replica_speed, cv2: 1.0 };
    let apply_time = ServiceTime::new(log.mean, 0.5);
    let share_out_of_bound = |demand: &ClassDemand| match demand.access {
        Access::Bounded if capacity.replicas == 0 || log.utilization() >= MAX_UTILIZATION => 1.0,
        Access::Bounded if apply > 0.0 => log.response_exceeds(&apply_time, demand.bound),
        _ => 0.0,
    };
    let shares_out_of_bound: Vec<f64> = demands.iter().map(share_out_of_bound).collect();
    // Work, in busy cores of speed 1, that only the primary may do, and work that any host may do.
    let (mut primary_only, mut any_host) = (0.0, 0.0);
    for ((demand, rate), lagging_share) in demands.iter().zip(&worked_rates).zip(&shares_out_of_bound) {
        let work = rate * demand.mean;
        match demand.access {
            Access::Write => primary_only += work,
            Access::Bounded | Access::Any => {
                primary_only += work * lagging_share;
                any_host += work * (1.0 - lagging_share);
            }
        }
    }
    let (primary_cores, replica_cores) = (capacity.primary_cores.max(1e-9), capacity.replica_cores);
    // Replicas take this work first; the primary takes the part that makes both equally busy.
    let at_primary = if replica_cores > 0.0 {
        ((any_host * primary_cores - replica_cores * primary_only) / (replica_cores + primary_cores))
            .clamp(0.0, any_host)
    } else {
        any_host
    };
    let split = if any_host > 0.0 { at_primary / any_host } else { 0.0 };
    let primary_share = |demand: &ClassDemand, lagging_share: f64| {
        if demand.access == Access::Write { 1.0 } else { lagging_share + (1.0 - lagging_share) * split }
    };
    let speed = |cores: f64, servers: u32| cores / f64::from(servers.max(1));
    let (primary_server_speed, replica_server_speed) = (
        speed(primary_cores, capacity.primary_servers),
        speed(replica_cores / f64::from(capacity.replicas.max(1)), capacity.replica_servers).max(1e-9),
    );
    let each_class = || demands.iter().zip(&worked_rates).zip(&shares_out_of_bound);
    let primary = mixed(
        capacity.primary_servers,
        each_class().map(|((demand, rate), &lagging_share)| {
            (
                rate * primary_share(demand, lagging_share),
                demand.mean / primary_server_speed.max(1e-9),
                demand.cv2,
            )
        }),
    );
    let replica = mixed(
        capacity.replica_servers,
        each_class().map(|((demand, rate), &lagging_share)| {
            (
                rate * (1.0 - primary_share(demand, lagging_share)) / f64::from(capacity.replicas.max(1)),
                demand.mean / replica_server_speed,
                demand.cv2,
            )
        }),
    );
    let failure_share = |station: &Station, demand: &ClassDemand, speed: f64| {
        let rho = station.utilization();
        // An overloaded host serves the newest requests first: those that it serves are in time, the others fail.
        let (served_share, station) = if rho > MAX_UTILIZATION {
            (MAX_UTILIZATION / rho, Station { rate: station.rate * MAX_UTILIZATION / rho, ..*station })
        } else {
            (1.0, *station)
        };
        // A slower core lengthens the service time; `late_share` shortens the goal instead, which is the same.
        let in_time = 1.0 - late_share(&station, demand, speed);
        1.0 - served_share * in_time
    };
    let failure_shares = each_class()
        .map(|((demand, _), &lagging_share)| {
            let share = primary_share(demand, lagging_share);
            let at_replica =
                if share < 1.0 { failure_share(&replica, demand, replica_server_speed) } else { 0.0 };
            share * failure_share(&primary, demand, primary_server_speed) + (1.0 - share) * at_replica
        })
        .collect();
    let write_work: f64 = demands
        .iter()
        .zip(&worked_rates)
        .filter(|(demand, _)| demand.access == Access::Write)
        .map(|(demand, rate)| demand.mean * rate)
        .sum();
    // The mean number of requests that wait or are in service at a host, by Little's law.
    let requests_in_host = |s: &Station| {
        let s = Station {
            rate: s.rate.min(s.rate * MAX_UTILIZATION / s.utilization().max(MAX_UTILIZATION)),
            ..*s
        };
        s.rate * (s.mean_wait().min(1e6) + s.mean)
    };
    let mut utilizations = vec![
        (Resource::PrimaryCores, write_work / primary_cores),
        (Resource::GroupCores, (primary_only + any_host) / (primary_cores + replica_cores)),
        (
            Resource::Connections,
            requests_in_host(&primary).max(requests_in_host(&replica)) / capacity.connections,
        ),
    ];
    if capacity.replicas > 0 {
        utilizations.push((Resource::ApplyThread, log.utilization()));
    }
    let bounded: Vec<f64> = demands
        .iter()
        .zip(&shares_out_of_bound)
        .filter(|(demand, _)| demand.access == Access::Bounded)
        .map(|(_, lagging_share)| *lagging_share)
        .collect();
    let out_of_bound = bounded.iter().copied().fold(0.0, f64::max);
    Iteration { failure_shares, utilizations, out_of_bound }
}

/// The share of responses of a class that exceed its goal at a station whose cores have this speed.
fn late_share(station: &Station, demand: &ClassDemand, speed: f64) -> f64 {
    // Times are converted to those of a core of speed 1, in which the class's service time is given.
    let unit_speed = Station { mean: station.mean * speed, rate: station.rate / speed, ..*station };
    unit_speed.response_exceeds(&demand.service, demand.goal * speed)
}

/// The steady state that a damped iteration reaches from this failure share of all classes.
fn find_fixed_point(demands: &[ClassDemand], capacity: &HostCapacity, apply: f64, initial: f64) -> State {
    let mut failure_shares = vec![initial; demands.len()];
    let mut last = iterate(demands, capacity, apply, &failure_shares);
    for step in 0..MAX_ITERATIONS {
        let damping = FIRST_STEP / (1.0 + step as f64 / STEP_HALVED_AFTER);
        let largest_change =
            failure_shares.iter().zip(&last.failure_shares).map(|(a, b)| (a - b).abs()).fold(0.0, f64::max);
        failure_shares.iter_mut().zip(&last.failure_shares).for_each(|(a, b)| *a += damping * (b - *a));
        last = iterate(demands, capacity, apply, &failure_shares);
        if largest_change < TOLERANCE {
            break;
        }
    }
    let (mut first_attempts, mut attempts) = (0.0, 0.0);
    let classes = demands.iter().zip(&failure_shares).map(|(demand, f)| {
        first_attempts += demand.rate;
        attempts += attempt_rates(demand, *f).0;
        let in_time = 1.0 - f.powi(demand.retries as i32 + 1);
        ClassService { class: demand.name.to_string(), rate: demand.rate, in_time, worth: demand.worth }
    });
    let classes = classes.collect();
    let amplification = if first_attempts > 0.0 { attempts / first_attempts } else { 1.0 };
    State { classes, utilizations: last.utilizations, amplification, out_of_bound: last.out_of_bound }
}

/// The steady states of a group under its share of a load.
pub fn steady_states(
    fleet: &Fleet, group: &Group, load: &Load, share: f64, scenario: &Scenario,
) -> SteadyStates {
    let demands = class_demands(fleet, load, share, scenario);
    let capacity = host_capacity(fleet, group, scenario.capacity_share);
    let apply = load.apply_ms / 1e3 * scenario.apply;
    let better = find_fixed_point(&demands, &capacity, apply, 0.0);
    let worse = find_fixed_point(&demands, &capacity, apply, 1.0);
    let distinct = (better.worth() - worse.worth()).abs() > DISTINCT_STATES;
    SteadyStates { better, worse: distinct.then_some(worse) }
}

/// The utilization of each resource without queues, failures or retries. It is proportional to the load.
pub fn utilizations(
    fleet: &Fleet, group: &Group, load: &Load, share: f64, scenario: &Scenario,
) -> Vec<(Resource, f64)> {
    let demands = class_demands(fleet, load, share, scenario);
    let capacity = host_capacity(fleet, group, scenario.capacity_share);
    let work = |selected: fn(Access) -> bool| -> f64 {
        demands.iter().filter(|demand| selected(demand.access)).map(|demand| demand.rate * demand.mean).sum()
    };
    let write_work = work(|access| access == Access::Write);
    let write_rate: f64 =
        demands.iter().filter(|demand| demand.access == Access::Write).map(|demand| demand.rate).sum();
    let all_work = work(|_| true);
    let utilization = |work: f64, cores: f64| work / cores.max(1e-9);
    let mut out = vec![
        (Resource::PrimaryCores, utilization(write_work, capacity.primary_all_cores)),
        (Resource::GroupCores, utilization(all_work, capacity.group_all_cores)),
        // Each request in service holds a connection, and none waits: a host cannot use fewer connections.
        (
            Resource::Connections,
            utilization(write_work, capacity.primary_reachable_cores)
                .max(utilization(all_work, capacity.group_reachable_cores)),
        ),
    ];
    if capacity.replicas > 0 {
        out.push((
            Resource::ApplyThread,
            write_rate * load.apply_ms / 1e3 * scenario.apply / capacity.replica_speed,
        ));
    }
    out
}
