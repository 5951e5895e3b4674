//! The deployment of a simulation run: its settings, the behaviour of its hosts and its classes of requests. This module
//! draws a deployment from a seed, defines its form in a plan's file and builds the settings object of the proxies.
//! Proxies, hosts and rules all take their values from here, so that they cannot disagree.

use super::plan::Family;
use garde::Validate;
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Largest number of classes in a deployment.
pub const MAX_CLASSES: usize = 8;
/// Largest number of zones in a deployment.
pub const MAX_ZONES: usize = 6;
/// Largest number of proxies in a plan, and in the settings of a deployment.
pub const MAX_PROXIES: usize = 350;
/// How long a proxy may still send new requests to a draining host after it learns of the drain, in microseconds.
pub const DRAIN_GRACE_US: u64 = 500_000;
/// A cold host's share of its warm capacity right after its start.
pub const COLD_START_CAPACITY: f64 = 0.2;
/// How long a host stays cold after its start, in microseconds.
pub const COLD_DURATION_US: u64 = 8_000_000;
/// A cold host is overloaded when it gets this multiple of its capacity for `OVERLOAD_DURATION_US`.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// How long a cold host must get `OVERLOAD_MULTIPLE` of its capacity to be overloaded, in microseconds.
pub const OVERLOAD_DURATION_US: u64 = 1_000_000;
/// Usual replication delays that a drawn deployment may have, in milliseconds.
const REPLICATION_DELAYS_MS: [u64; 5] = [5, 20, 80, 300, 1_000];
/// Largest replication delay of a drawn deployment with synchronous commit, in milliseconds: each write waits for a
/// replica, but not for one that lags further than this.
const MAX_SYNCHRONOUS_DELAY_MS: u64 = 80;

/// Whether a class writes, and how recent the data of its reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// A read of data of any age.
    #[serde(rename = "any")]
    AnyRead,
    /// A read of data that lag at most this many milliseconds, as of the time when the attempt is sent.
    #[serde(rename = "bounded")]
    BoundedRead(u64),
    /// A read that must reflect every write of the request's session.
    #[serde(rename = "session")]
    SessionRead,
    /// A write.
    Write,
}

/// Which hosts recognise a retry of a keyed request and do not run it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupScope {
    /// All hosts.
    All,
    /// The hosts in the zone of the host that received the request first.
    Zone,
    /// The hosts of the request's group.
    Group,
}

/// When the proxy may retry a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// At any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// Never after an attempt that may have run.
    #[serde(rename = "once")]
    NotIdempotent,
    /// Within the scope, for this many milliseconds after the first attempt that may have run: the hosts of the scope
    /// recognise the request by its key.
    Keyed(DedupScope, u64),
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// Whether the class writes, and how recent its data must be.
    #[garde(skip)]
    #[serde(rename = "need")]
    pub access: Access,
    /// When the proxy may retry the requests.
    #[garde(skip)]
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Client deadline, in milliseconds.
    #[garde(range(min = 100, max = 6_000))]
    pub deadline_ms: u64,
    /// Latency target, in milliseconds: an answer within this time earns the full worth.
    #[garde(range(min = 1, max = 6_000))]
    pub aim_ms: u64,
    /// Worth of an answer within the latency target.
    #[garde(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// Share of the worth that an answer after the latency target still earns.
    #[garde(range(min = 0.0, max = 1.0))]
    pub late_worth: f64,
    /// The latency target grows by this multiple of the request's own work.
    #[garde(range(min = 0.0, max = 100.0))]
    pub aim_stretch: f64,
    /// Mean work of a request at a host, in microseconds.
    #[garde(range(min = 1.0, max = 1e6))]
    pub work_us: f64,
    /// Share of the class in all requests.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
}

/// How a proxy learns the position of a session's last write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionTokens {
    /// Each session read carries the position of the session's last write.
    #[serde(rename = "carried")]
    FromClient,
    /// The proxy tracks the writes of each session.
    #[serde(rename = "remembered")]
    TrackedByProxy,
}

/// What a replica does with a read that it lags too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LagCheck {
    /// The replica answers from the data that it has.
    #[serde(rename = "none")]
    Unchecked,
    /// The replica rejects the read at once.
    #[serde(rename = "refuse")]
    Reject,
    /// The replica waits up to this many milliseconds to catch up, then rejects the read.
    Wait(u64),
}

impl LagCheck {
    /// Value of `familyInfo.behind` in the settings object.
    pub fn name(self) -> &'static str {
        match self {
            LagCheck::Unchecked => "silent",
            LagCheck::Reject => "bounce",
            LagCheck::Wait(_) => "await",
        }
    }

    /// How long a replica lets a read wait, in milliseconds.
    pub fn wait_ms(self) -> u64 {
        if let LagCheck::Wait(ms) = self { ms } else { 0 }
    }
}

/// How discovery's list reports the hosts' roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListRole {
    /// The list shows a change of roles after this many milliseconds.
    #[serde(rename = "late")]
    Delayed(u64),
    /// The list shows the roles of the start of the run.
    #[serde(rename = "start")]
    AtStartup,
    /// The list calls no host a primary.
    #[serde(rename = "silent")]
    Absent,
}

impl ListRole {
    /// Value of `familyInfo.roleInList` in the settings object.
    pub fn name(self) -> &'static str {
        match self {
            ListRole::Delayed(_) => "trailing",
            ListRole::AtStartup => "static",
            ListRole::Absent => "silent",
        }
    }
}

/// A deployment of proxies in front of replicated databases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Deployment {
    /// How a proxy learns the position of a session's last write.
    #[garde(skip)]
    pub tokens: SessionTokens,
    /// What replicas do with reads that they lag too far behind for.
    #[garde(skip)]
    pub lag_check: LagCheck,
    /// How discovery's list reports the hosts' roles.
    #[garde(skip)]
    pub list_role: ListRole,
    /// Whether every answer reports the position of its data; the answer to a write always does.
    #[garde(skip)]
    pub answer_positions: bool,
    /// Whether a host answers a write only once a replica has applied it.
    #[garde(skip)]
    pub synchronous_commit: bool,
    /// Usual replication delay, in milliseconds.
    #[garde(range(max = 60_000))]
    pub replication_delay_ms: u64,
    /// Whether proxies may probe hosts.
    #[garde(skip)]
    pub probes: bool,
    /// Number of zones; hosts and proxies are assigned to them round-robin.
    #[garde(range(min = 1, max = MAX_ZONES))]
    pub zones: usize,
    /// Number of proxies in the settings; fewer may run.
    #[garde(range(min = 1, max = MAX_PROXIES))]
    pub named_proxies: usize,
    /// Whether proxies may cancel attempts at hosts.
    #[garde(skip)]
    pub cancel: bool,
    /// Largest number of attempts of a request.
    #[garde(range(min = 1, max = 20))]
    pub max_attempts: usize,
    /// Largest retry-after delay that a refusal may carry, in milliseconds; 0 if it may carry none.
    #[garde(range(max = 60_000))]
    pub max_retry_after_ms: u64,
    /// Timeout for opening a session at a host, in milliseconds.
    #[garde(range(min = 10, max = 10_000))]
    pub dial_timeout_ms: u64,
    /// Classes of requests.
    #[garde(length(min = 1, max = MAX_CLASSES), dive)]
    pub classes: Vec<Class>,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment::standard(Family::Wait, false)
    }
}

impl Deployment {
    /// The deployment of plans that have none: six classes, and clients that send the position of their session's last
    /// write. With `positions_from_probes_only`, answers to reads report no position.
    pub fn standard(family: Family, positions_from_probes_only: bool) -> Deployment {
        let lag_check = match family {
            Family::Unchecked => LagCheck::Unchecked,
            Family::Reject => LagCheck::Reject,
            Family::Wait => LagCheck::Wait(100),
        };
        Deployment {
            tokens: SessionTokens::FromClient,
            lag_check,
            list_role: ListRole::Delayed(0),
            answer_positions: !positions_from_probes_only,
            synchronous_commit: false,
            replication_delay_ms: 20,
            probes: true,
            zones: 2,
            named_proxies: 1,
            cancel: true,
            max_attempts: 10,
            max_retry_after_ms: 1_000,
            dial_timeout_ms: 250,
            classes: standard_classes(),
        }
    }

    /// Draws a deployment from a seed, for a plan with `proxies` running proxies. The order of the draws determines which
    /// deployment a seed stands for.
    pub fn from_seed(seed: u64, proxies: usize) -> Deployment {
        let mut draws = DeploymentDraws(Rand64::new(u128::from(seed) ^ 0x6465_706c_6f79));
        let tokens = if draws.one_in(3) { SessionTokens::FromClient } else { SessionTokens::TrackedByProxy };
        let lag_check = match draws.below(3) {
            0 => LagCheck::Unchecked,
            1 => LagCheck::Reject,
            _ => LagCheck::Wait(20 + draws.below(180)),
        };
        let list_role = match draws.below(3) {
            0 => ListRole::Delayed(draws.below(4_000)),
            1 => ListRole::AtStartup,
            _ => ListRole::Absent,
        };
        let answer_positions = !draws.one_in(3);
        let synchronous_commit = draws.one_in(3);
        let probes = !draws.one_in(3);
        let delay_ms = REPLICATION_DELAYS_MS[draws.below(REPLICATION_DELAYS_MS.len() as u64) as usize];
        let max_delay_ms = if synchronous_commit { MAX_SYNCHRONOUS_DELAY_MS } else { u64::MAX };
        let zones = 1 + draws.below(MAX_ZONES as u64) as usize;
        let named_proxies = match draws.below(5) {
            0 | 1 => proxies,
            2 | 3 => proxies + draws.below(20) as usize,
            _ => proxies + draws.below(MAX_PROXIES as u64) as usize,
        };
        let cancel = !draws.one_in(4);
        let max_attempts = 1 + draws.below(10) as usize;
        let max_retry_after_ms = if draws.one_in(3) { 0 } else { 100 + draws.below(3_000) };
        let dial_timeout_ms = if draws.one_in(3) { 200 + draws.below(1_400) } else { 250 };
        Deployment {
            tokens,
            lag_check,
            list_role,
            answer_positions,
            synchronous_commit,
            replication_delay_ms: delay_ms.min(max_delay_ms),
            probes,
            zones,
            named_proxies: named_proxies.min(MAX_PROXIES),
            cancel,
            max_attempts,
            max_retry_after_ms,
            dial_timeout_ms,
            classes: draws.classes(),
        }
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: u8) -> String {
        char::from(b'a' + zone).to_string()
    }

    /// The zone of the host or proxy with this number.
    pub fn zone_of(&self, number: usize) -> u8 {
        (number % self.zones) as u8
    }

    /// The settings object of the proxy `ordinal`, where `running` proxies run; `peers` tells whether proxies exchange
    /// peer messages.
    pub fn settings(&self, ordinal: usize, running: usize, peers: bool) -> Value {
        let bound_us =
            |class: &Class| if let Access::BoundedRead(ms) = class.access { ms * 1_000 } else { 0 };
        let zones: Vec<String> = (0..self.zones).map(|zone| self.zone_name(zone as u8)).collect();
        json!({
            "balancers": self.named_proxies.max(running), "ordinal": ordinal,
            "zone": self.zone_of(ordinal), "membershipMode": "pushed",
            "azs": zones, "hostTypes": ["m"], "loadInfo": {"fields": ["x0", "x1", "util", "queue"]},
            "classes": self.classes.iter().map(Class::settings).collect::<Vec<_>>(),
            "familyInfo": {
                "behind": self.lag_check.name(), "catchUpWaitUs": self.lag_check.wait_ms() * 1_000,
                "classRead": self.classes.iter().map(Class::read_name).collect::<Vec<_>>(),
                "positions": self.answer_positions, "roleInList": self.list_role.name(),
                "commitWaits": self.synchronous_commit,
                "stalenessBoundUs": self.classes.iter().map(bound_us).collect::<Vec<_>>(),
                "writeMarks": if self.tokens == SessionTokens::FromClient { "brought" } else { "kept" }, "zeroUs": 0,
            },
            "ceilings": {
                "mostTries": self.max_attempts, "dialTimeoutUs": self.dial_timeout_ms * 1_000,
                "cancel": self.cancel, "mayProbe": self.probes,
                "retryAfter": self.max_retry_after_ms > 0,
                "maxRetryAfterUs": self.max_retry_after_ms * 1_000, "peerMessages": peers,
            },
            "safety": {
                "drainGraceUs": DRAIN_GRACE_US, "startCapacity": COLD_START_CAPACITY, "coldUs": COLD_DURATION_US,
                "tipMultiple": OVERLOAD_MULTIPLE, "overloadForUs": OVERLOAD_DURATION_US, "askWithinUs": 10_000_000,
            },
        })
    }
}

impl Class {
    /// Value of `familyInfo.classRead` in the settings object.
    fn read_name(&self) -> &'static str {
        match self.access {
            Access::AnyRead => "eventual",
            Access::BoundedRead(_) => "lag_bound",
            Access::SessionRead => "causal",
            Access::Write => "mutate",
        }
    }

    /// The class as an entry of `classes` in the settings object.
    fn settings(&self) -> Value {
        let mut class = json!({
            "name": self.name, "deadlineUs": self.deadline_ms * 1_000, "sloUs": self.aim_ms * 1_000,
            "worth": self.worth, "lateWorth": self.late_worth, "aimStretch": self.aim_stretch,
            "effect": match self.idempotency {
                Idempotency::Idempotent => "retryable",
                Idempotency::NotIdempotent => "fragile",
                Idempotency::Keyed(..) => "dedup",
            },
        });
        if let Idempotency::Keyed(scope, window_ms) = self.idempotency {
            class["dedupWindowUs"] = (window_ms * 1_000).into();
            class["dedupScope"] = match scope {
                DedupScope::All => "all",
                DedupScope::Zone => "zone",
                DedupScope::Group => "cell",
            }
            .into();
        }
        class
    }
}

/// The classes of the standard deployment.
fn standard_classes() -> Vec<Class> {
    let keyed = Idempotency::Keyed(DedupScope::Group, 800);
    let rows = [
        // The deadline is longer than a proxy may take to stop.
        ("report", Access::AnyRead, Idempotency::Idempotent, 6_000, 20e3, 0.02),
        ("browse", Access::BoundedRead(800), Idempotency::Idempotent, 800, 6e3, 0.45),
        ("history", Access::AnyRead, Idempotency::Idempotent, 900, 12e3, 0.23),
        ("own", Access::SessionRead, Idempotency::Idempotent, 1_000, 6e3, 0.1),
        ("post", Access::Write, Idempotency::NotIdempotent, 1_500, 9e3, 0.1),
        ("ingest", Access::Write, keyed, 2_900, 9e3, 0.1),
    ];
    let class = |(name, access, idempotency, deadline_ms, work_us, share): (&str, _, _, u64, _, _)| Class {
        name: name.into(),
        access,
        idempotency,
        deadline_ms,
        aim_ms: deadline_ms * 2 / 5,
        worth: 3.0,
        late_worth: 0.3,
        aim_stretch: 0.0,
        work_us,
        share,
    };
    rows.map(class).into()
}

/// Random draws for the parts of a deployment.
struct DeploymentDraws(Rand64);

impl DeploymentDraws {
    /// Draws a number from 0 to under `n`.
    fn below(&mut self, n: u64) -> u64 {
        self.0.rand_range(0..n)
    }

    /// Draws whether an event of probability `1 / n` occurs.
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// Draws one to eight classes. If any class has session reads, at least one class writes.
    fn classes(&mut self) -> Vec<Class> {
        let count = 1 + self.below(MAX_CLASSES as u64) as usize;
        let mut accesses: Vec<Access> = (0..count).map(|_| self.access()).collect();
        if count == 1 && accesses[0] == Access::SessionRead {
            accesses[0] = Access::Write;
        }
        if count > 1 {
            accesses[0] = Access::Write;
            accesses[1] = if self.one_in(4) { accesses[1] } else { Access::SessionRead };
        }
        let weights: Vec<u64> = accesses.iter().map(|_| 1 + self.below(6)).collect();
        let total_weight: u64 = weights.iter().sum();
        let numbered = accesses.into_iter().zip(weights).enumerate();
        numbered
            .map(|(n, (access, weight))| self.class(n, access, weight as f64 / total_weight as f64))
            .collect()
    }

    /// Draws the access of a class.
    fn access(&mut self) -> Access {
        match self.below(5) {
            0 => Access::AnyRead,
            1 | 2 => Access::BoundedRead(100 + self.below(2_400)),
            3 => Access::SessionRead,
            _ => Access::Write,
        }
    }

    /// Draws the remaining values of a class with this access and share of the requests.
    fn class(&mut self, number: usize, access: Access, share: f64) -> Class {
        let deadline_ms = if self.one_in(10) { 6_000 } else { 400 + self.below(2_600) };
        Class {
            name: format!("class{number}"),
            access,
            idempotency: self.idempotency(access),
            deadline_ms,
            aim_ms: deadline_ms * (15 + self.below(80)) / 100,
            worth: (1 + self.below(40)) as f64 / 4.0,
            late_worth: self.below(5) as f64 / 4.0,
            aim_stretch: if self.one_in(4) { self.below(5) as f64 } else { 0.0 },
            work_us: 2_000.0 + self.below(14_000) as f64,
            share,
        }
    }

    /// Draws when a class may be retried; reads are idempotent more often than writes.
    fn idempotency(&mut self, access: Access) -> Idempotency {
        let idempotent_weight = if access == Access::Write { 2 } else { 10 };
        match self.below(idempotent_weight + 8) {
            n if n < idempotent_weight => Idempotency::Idempotent,
            n if n < idempotent_weight + 3 => Idempotency::NotIdempotent,
            _ => {
                let scope = match self.below(3) {
                    0 => DedupScope::All,
                    1 => DedupScope::Zone,
                    _ => DedupScope::Group,
                };
                Idempotency::Keyed(scope, 200 + self.below(2_800))
            }
        }
    }
}
