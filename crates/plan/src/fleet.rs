//! The input of the planner: the descriptions of a fleet and of its load, with the bounds of each field, and the checks
//! of one against the other. The unit of a field is in its name or its comment. The module must compute no answers.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A fleet: its hosts and proxies, and the classes of requests that it serves.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The zones (machine rooms), by name.
    #[garde(length(min = 1, max = 64))]
    pub rooms: Vec<String>,
    /// The machine types, by name.
    #[garde(length(min = 1), dive)]
    pub kinds: BTreeMap<String, HostType>,
    /// The groups; the hosts of a group hold the same data.
    #[garde(length(min = 1, max = 10_000), dive)]
    pub groups: Vec<Group>,
    /// The proxies in front of the hosts.
    #[garde(dive)]
    pub proxies: Proxies,
    /// The traffic between zones.
    #[serde(default)]
    #[garde(dive)]
    pub crossing: CrossZoneTraffic,
    /// The request classes, by name.
    #[garde(length(min = 1), dive)]
    pub classes: BTreeMap<String, Class>,
    /// The relative error of figures that are written by hand, here or in a load.
    #[serde(default = "default_error")]
    #[garde(range(min = 0.0, max = 1.0))]
    pub error: f64,
}

fn default_error() -> f64 {
    0.1
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Kind")]
pub struct HostType {
    /// Cores of a host. Each core works on one request at a time.
    #[garde(range(min = 1, max = 1_024))]
    pub cores: u32,
    /// The most connections that a host holds.
    #[serde(default = "default_connections")]
    #[garde(range(min = 1))]
    pub connections: u32,
    /// The speed of a core, relative to the core on which the load's times were measured.
    #[serde(default = "one")]
    #[garde(range(min = 0.01, max = 100.0))]
    pub speed: f64,
    /// The capacity of a host that has just started, as a share of its warm capacity.
    #[serde(default = "default_cold_share")]
    #[garde(range(min = 0.01, max = 1.0))]
    pub cold_share: f64,
    /// The time from a host's start until it is warm, in seconds.
    #[serde(default = "default_warm_s")]
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub warm_s: f64,
}

fn default_connections() -> u32 {
    10_000
}
fn one() -> f64 {
    1.0
}
fn default_cold_share() -> f64 {
    0.2
}
fn default_warm_s() -> f64 {
    15.0
}

/// A group: one primary and its replicas.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The group's id.
    #[garde(skip)]
    pub id: u32,
    /// The group's share of the load, relative to the other groups. Shares in the load take precedence.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub share: f64,
    /// The group's hosts, in sets of identical ones.
    #[garde(length(min = 1, max = 1_000), dive)]
    pub members: Vec<HostSet>,
}

/// Identical hosts of a group.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Member")]
pub struct HostSet {
    /// The hosts' machine type.
    #[garde(length(min = 1))]
    pub kind: String,
    /// The hosts' zone.
    #[garde(length(min = 1))]
    pub room: String,
    /// The number of hosts.
    #[serde(default = "single")]
    #[garde(range(min = 1, max = 10_000))]
    pub count: u32,
    /// Whether this host is the primary. Exactly one host of a group is.
    #[serde(default)]
    #[garde(skip)]
    pub primary: bool,
}

fn single() -> u32 {
    1
}

/// The proxies.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Proxies {
    /// The number of proxies.
    #[garde(range(min = 1, max = 10_000))]
    pub count: u32,
    /// The cores of each proxy.
    #[garde(range(min = 0.01, max = 1_024.0))]
    pub cores: f64,
    /// The processor time of a request at a proxy, in microseconds.
    #[garde(range(min = 0.1, max = 1e6))]
    pub cpu_us: f64,
}

/// The traffic between zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Crossing")]
pub struct CrossZoneTraffic {
    /// The latency between two zones, one way, in milliseconds.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub ms: f64,
    /// The share of requests that go to another zone.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// The most requests per second that may go to another zone; none for no bound.
    #[garde(inner(range(min = 0.1)))]
    pub most_per_s: Option<f64>,
}

/// The data access of a class: whether it writes, and how recent the data that it reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Need")]
pub enum Access {
    /// A write: only the primary takes it.
    Write,
    /// A read of data no older than the class's bound.
    Bounded,
    /// A read from any member of the group, however old its data.
    Any,
}

/// A request class: what its clients want, and how they retry.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The data access of the class.
    #[garde(skip)]
    #[serde(rename = "need")]
    pub access: Access,
    /// The response time within which a request counts as served in time, in milliseconds.
    #[garde(range(min = 1.0, max = 1e6))]
    pub goal_ms: f64,
    /// The bound on the age of the data that a bounded class reads, in milliseconds.
    #[serde(default = "default_bound_ms")]
    #[garde(range(min = 1.0, max = 1e6))]
    pub bound_ms: f64,
    /// The worth of a request that is served in time.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// The most retries that a client makes by itself.
    #[serde(default)]
    #[garde(range(max = 10))]
    pub retries: u32,
    /// The share of failed attempts that hosts work on nevertheless: 0 where the proxy refuses requests in time,
    /// 1 where clients give up and hosts continue.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub wasted: f64,
}

fn default_bound_ms() -> f64 {
    1_000.0
}

/// A load: the arrival rate and the service time of each class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The time over which the load was captured, in seconds; 0 where it was written by hand.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub seconds: f64,
    /// The load of each class, by class name.
    #[garde(length(min = 1), dive)]
    pub classes: BTreeMap<String, ClassLoad>,
    /// The time that a replica takes to apply one write, in milliseconds.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub apply_ms: f64,
    /// The relative shares of the groups, by group id; empty where they are not known.
    #[serde(default)]
    #[garde(skip)]
    pub groups: BTreeMap<u32, f64>,
}

/// The load of one class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// First attempts per second, over the whole fleet.
    #[garde(range(min = 0.0, max = 1e9))]
    pub per_s: f64,
    /// The mean time that a core works on a request, in milliseconds.
    #[garde(range(min = 0.001, max = 1e6))]
    pub mean_ms: f64,
    /// The squared coefficient of variation of the time that a core works on a request.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e4))]
    pub cv2: f64,
    /// The number of requests measured; 0 where the figures were written by hand.
    #[serde(default)]
    #[garde(skip)]
    pub samples: u64,
}

impl Fleet {
    /// Contradictions within the description, one line each, which begins with the key.
    pub fn inconsistencies(&self) -> Vec<String> {
        let mut out = Vec::new();
        let mut ids = BTreeSet::new();
        for (i, g) in self.groups.iter().enumerate() {
            if !ids.insert(g.id) {
                out.push(format!("groups[{i}].id: {} is another group's", g.id));
            }
            let primaries: u32 = g.members.iter().filter(|m| m.primary).map(|m| m.count).sum();
            if primaries != 1 {
                out.push(format!("groups[{i}].members: {primaries} primaries; a group has one"));
            }
            for (j, m) in g.members.iter().enumerate() {
                if !self.kinds.contains_key(&m.kind) {
                    out.push(format!("groups[{i}].members[{j}].kind: no kind {:?}", m.kind));
                }
                if !self.rooms.contains(&m.room) {
                    out.push(format!("groups[{i}].members[{j}].room: no room {:?}", m.room));
                }
            }
        }
        out
    }

    /// Warnings, one line each, where a load contradicts this fleet or has too little data for sound answers.
    pub fn load_warnings(&self, load: &Load) -> Vec<String> {
        let mut out = Vec::new();
        for name in load.classes.keys().filter(|n| !self.classes.contains_key(*n)) {
            out.push(format!("the load has the class {name:?}, the fleet none of that name"));
        }
        for id in load.groups.keys().filter(|id| self.groups.iter().all(|g| g.id != **id)) {
            out.push(format!("the load has group {id}, the fleet none of that number"));
        }
        let busy_cores: f64 = load.classes.values().map(|c| c.per_s * c.mean_ms / 1e3).sum();
        let cores: f64 = self.groups.iter().map(|g| self.cores(g, false)).sum();
        if load.seconds > 0.0 && busy_cores > cores {
            out.push(format!(
                "the load was served with {busy_cores:.1} cores busy, the fleet has {cores:.1}"
            ));
        }
        let undersampled = load.classes.iter().filter(|c| (1..100).contains(&c.1.samples));
        out.extend(
            undersampled.map(|(n, c)| format!("class {n:?} has {} samples only: too few to tell", c.samples)),
        );
        if load.seconds > 0.0 && load.seconds < 30.0 {
            out.push(format!("the load was watched for {:.0} s only: too short to tell", load.seconds));
        }
        out
    }

    /// The cores of a group, in cores of speed 1; only those of its replicas if `replicas_only`.
    pub fn cores(&self, group: &Group, replicas_only: bool) -> f64 {
        let members = group.members.iter().filter(|m| !(replicas_only && m.primary));
        let cores = |m: &HostSet| {
            self.kinds.get(&m.kind).map_or(0.0, |k| f64::from(k.cores) * k.speed * f64::from(m.count))
        };
        members.map(cores).sum()
    }

    /// The number of hosts of all groups.
    pub fn hosts(&self) -> u32 {
        self.groups.iter().flat_map(|g| &g.members).map(|m| m.count).sum()
    }

    /// The fleet without the hosts for which `is_lost` holds, and the ids of the groups that lose all hosts: the fleet
    /// no longer contains those. A group that loses its primary gets a replica in its place, if it has one.
    pub fn without(&self, is_lost: impl Fn(&Group, &HostSet) -> bool) -> (Fleet, Vec<u32>) {
        let mut left = self.clone();
        for g in &mut left.groups {
            let original = g.clone();
            g.members.retain(|m| !is_lost(&original, m));
            if !g.members.iter().any(|m| m.primary)
                && let Some(index) = g.members.iter().position(|m| m.count > 0)
            {
                let mut new_primary = g.members[index].clone();
                (new_primary.count, new_primary.primary) = (1, true);
                g.members[index].count -= 1;
                g.members.retain(|m| m.count > 0);
                g.members.insert(0, new_primary);
            }
        }
        let gone = left.groups.iter().filter(|g| g.members.is_empty()).map(|g| g.id).collect();
        left.groups.retain(|g| !g.members.is_empty());
        (left, gone)
    }
}
