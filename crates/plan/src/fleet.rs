//! The input of the planner: the description of a fleet and of its load, with the bounds of each field. The unit of a
//! field is in its name or its comment.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A fleet: what it consists of, and what clients want of it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The machine rooms.
    #[garde(length(min = 1, max = 64))]
    pub rooms: Vec<String>,
    /// Machine types, by name.
    #[garde(length(min = 1), dive)]
    pub kinds: BTreeMap<String, HostType>,
    /// Groups of hosts that hold the same data.
    #[garde(length(min = 1, max = 10_000), dive)]
    pub groups: Vec<Group>,
    /// The proxies before them.
    #[garde(dive)]
    pub proxies: Proxies,
    /// What goes between rooms.
    #[serde(default)]
    #[garde(dive)]
    pub crossing: CrossZoneTraffic,
    /// Request classes, by name.
    #[garde(length(min = 1), dive)]
    pub classes: BTreeMap<String, Class>,
    /// The relative error of figures that are written here or in a load.
    #[serde(default = "tenth")]
    #[garde(range(min = 0.0, max = 1.0))]
    pub error: f64,
}

fn tenth() -> f64 {
    0.1
}

/// A machine type.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct HostType {
    /// Cores, each of which works on one request at a time.
    #[garde(range(min = 1, max = 1_024))]
    pub cores: u32,
    /// Connections that it holds at most.
    #[serde(default = "many")]
    #[garde(range(min = 1))]
    pub connections: u32,
    /// How fast a core is beside the one on which the load's times were taken.
    #[serde(default = "one")]
    #[garde(range(min = 0.01, max = 100.0))]
    pub speed: f64,
    /// What a host that has just started can do, as a share.
    #[serde(default = "fifth")]
    #[garde(range(min = 0.01, max = 1.0))]
    pub cold_share: f64,
    /// How long it takes to be warm, in seconds.
    #[serde(default = "quarter_minute")]
    #[garde(range(min = 0.0, max = 86_400.0))]
    pub warm_s: f64,
}

fn many() -> u32 {
    10_000
}
fn one() -> f64 {
    1.0
}
fn fifth() -> f64 {
    0.2
}
fn quarter_minute() -> f64 {
    15.0
}

/// A group: one primary and its replicas.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Its number.
    #[garde(skip)]
    pub id: u32,
    /// Its part of the load beside the other groups'; where the load tells shares, those count.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub share: f64,
    /// Its members.
    #[garde(length(min = 1, max = 1_000), dive)]
    pub members: Vec<HostSet>,
}

/// Hosts of a group that are alike.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct HostSet {
    /// Their machine type.
    #[garde(length(min = 1))]
    pub kind: String,
    /// Their room.
    #[garde(length(min = 1))]
    pub room: String,
    /// How many.
    #[serde(default = "single")]
    #[garde(range(min = 1, max = 10_000))]
    pub count: u32,
    /// Whether this one is the primary; exactly one of a group is.
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
    /// How many.
    #[garde(range(min = 1, max = 10_000))]
    pub count: u32,
    /// Cores of each.
    #[garde(range(min = 0.01, max = 1_024.0))]
    pub cores: f64,
    /// Processor time of a request, in microseconds.
    #[garde(range(min = 0.1, max = 1e6))]
    pub cpu_us: f64,
}

/// What goes between rooms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct CrossZoneTraffic {
    /// One way, in milliseconds.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub ms: f64,
    /// The share of requests that cross.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// Requests a second that may cross at most; none, no bound.
    #[garde(inner(range(min = 0.1)))]
    pub most_per_s: Option<f64>,
}

/// How recent a class's data must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// It writes: only the primary takes it.
    Write,
    /// Data no older than the bound.
    Bounded,
    /// Any member's data will do.
    Any,
}

/// What clients want of a class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// How recent its data must be.
    #[garde(skip)]
    #[serde(rename = "need")]
    pub access: Access,
    /// Wanted within so many milliseconds.
    #[garde(range(min = 1.0, max = 1e6))]
    pub goal_ms: f64,
    /// The bound on the age of data, in milliseconds, of a bounded class.
    #[serde(default = "second")]
    #[garde(range(min = 1.0, max = 1e6))]
    pub bound_ms: f64,
    /// What one in time is worth.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// How often a client tries again by itself.
    #[serde(default)]
    #[garde(range(max = 10))]
    pub retries: u32,
    /// The share of failed tries whose work is done nevertheless: 0 where the proxy refuses in time, 1 where
    /// clients give up and hosts go on.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub wasted: f64,
}

fn second() -> f64 {
    1_000.0
}

/// A load: what comes, and what it takes.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// For how long it was watched, in seconds; 0 where it was written by hand.
    #[serde(default)]
    #[garde(range(min = 0.0))]
    pub seconds: f64,
    /// What comes of each class.
    #[garde(length(min = 1), dive)]
    pub classes: BTreeMap<String, ClassLoad>,
    /// What applying one write takes at a replica, in milliseconds.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e6))]
    pub apply_ms: f64,
    /// Parts of the groups, where they are known.
    #[serde(default)]
    #[garde(skip)]
    pub groups: BTreeMap<u32, f64>,
}

/// What comes of one class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
pub struct ClassLoad {
    /// First tries a second, over the whole fleet.
    #[garde(range(min = 0.0, max = 1e9))]
    pub per_s: f64,
    /// The mean time that a core works on one, in milliseconds.
    #[garde(range(min = 0.001, max = 1e6))]
    pub mean_ms: f64,
    /// The squared coefficient of variation of that time.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e4))]
    pub cv2: f64,
    /// How many were seen; 0 where the figures were written by hand.
    #[serde(default)]
    #[garde(skip)]
    pub samples: u64,
}

impl Fleet {
    /// What contradicts itself, a line each with its key.
    pub fn faults(&self) -> Vec<String> {
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

    /// What a load says that this fleet cannot be, and where it is too short to tell.
    pub fn contradictions(&self, load: &Load) -> Vec<String> {
        let mut out = Vec::new();
        for name in load.classes.keys().filter(|n| !self.classes.contains_key(*n)) {
            out.push(format!("the load has the class {name:?}, the fleet none of that name"));
        }
        for id in load.groups.keys().filter(|id| self.groups.iter().all(|g| g.id != **id)) {
            out.push(format!("the load has group {id}, the fleet none of that number"));
        }
        let work: f64 = load.classes.values().map(|c| c.per_s * c.mean_ms / 1e3).sum();
        let cores: f64 = self.groups.iter().map(|g| self.cores(g, false)).sum();
        if load.seconds > 0.0 && work > cores {
            out.push(format!("the load was served with {work:.1} cores busy, the fleet has {cores:.1}"));
        }
        let short = load.classes.iter().filter(|c| (1..100).contains(&c.1.samples));
        out.extend(
            short.map(|(n, c)| format!("class {n:?} has {} samples only: too few to tell", c.samples)),
        );
        if load.seconds > 0.0 && load.seconds < 30.0 {
            out.push(format!("the load was watched for {:.0} s only: too short to tell", load.seconds));
        }
        out
    }

    /// Cores of a group in units of the load's; of its replicas alone where wanted.
    pub fn cores(&self, group: &Group, replicas: bool) -> f64 {
        let members = group.members.iter().filter(|m| !(replicas && m.primary));
        let each = |m: &HostSet| {
            self.kinds.get(&m.kind).map_or(0.0, |k| f64::from(k.cores) * k.speed * f64::from(m.count))
        };
        members.map(each).sum()
    }

    /// Hosts in all.
    pub fn hosts(&self) -> u32 {
        self.groups.iter().flat_map(|g| &g.members).map(|m| m.count).sum()
    }

    /// The fleet without some of its members; groups that lose their primary get a replica in its place, if they
    /// have one. Groups that lose all are gone, and their numbers are returned.
    pub fn without(&self, lost: impl Fn(&Group, &HostSet) -> bool) -> (Fleet, Vec<u32>) {
        let mut left = self.clone();
        for g in &mut left.groups {
            let whole = g.clone();
            g.members.retain(|m| !lost(&whole, m));
            if !g.members.iter().any(|m| m.primary)
                && let Some(at) = g.members.iter().position(|m| m.count > 0)
            {
                let mut heir = g.members[at].clone();
                (heir.count, heir.primary) = (1, true);
                g.members[at].count -= 1;
                g.members.retain(|m| m.count > 0);
                g.members.insert(0, heir);
            }
        }
        let gone = left.groups.iter().filter(|g| g.members.is_empty()).map(|g| g.id).collect();
        left.groups.retain(|g| !g.members.is_empty());
        (left, gone)
    }
}
