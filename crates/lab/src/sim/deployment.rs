//! The deployment of a simulated day: what its settings say, how its hosts behave and which classes of requests it has.
//! It owns the drawing of a deployment from a seed and its form in a plan's file. The settings object of the proxies,
//! the behaviour of the hosts and the classes of the rules all come from here, so that they cannot disagree.

use super::plan::Family;
use garde::Validate;
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Most classes, zones and proxies that a drawn deployment names.
pub const MAX_CLASSES: usize = 8;
/// See there.
pub const MAX_ZONES: usize = 6;
/// See there.
pub const MAX_PROXIES: usize = 350;
/// For how long a new version may still send to a draining host, in microseconds.
pub const DRAIN_GRACE_US: u64 = 500_000;
/// A cold host's share of its capacity at its start, and for how long it is cold.
pub const COLD_START_CAPACITY: f64 = 0.2;
/// See there, in microseconds.
pub const COLD_DURATION_US: u64 = 8_000_000;
/// So many times what a cold host can do, for so long, tips it over.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// See there, in microseconds.
pub const OVERLOAD_DURATION_US: u64 = 1_000_000;
/// How far replicas usually are behind, in milliseconds.
const REPLICATION_DELAYS_MS: [u64; 5] = [5, 20, 80, 300, 1_000];
/// Where a write waits for a replica, it does not wait for one that is further behind than this.
const MAX_SYNCHRONOUS_DELAY_MS: u64 = 80;

/// How recent the data of an answer must be, and whether the class writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Any data will do.
    #[serde(rename = "any")]
    AnyRead,
    /// So many milliseconds behind at most, as of the sending of the attempt.
    #[serde(rename = "bounded")]
    BoundedRead(u64),
    /// Every write of the request's session.
    #[serde(rename = "session")]
    SessionRead,
    /// It is a write.
    Write,
}

/// Which hosts drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of the zone of the host that had it first.
    Zone,
    /// Those of the request's group.
    Group,
}

/// How a class's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// At any time.
    #[serde(rename = "safe")]
    Idempotent,
    /// Never once one may have run.
    #[serde(rename = "once")]
    NotIdempotent,
    /// Inside the scope, for so many milliseconds after the first that may have run.
    Keyed(DedupScope, u64),
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    #[garde(length(min = 1, max = 40))]
    pub name: String,
    /// What it needs.
    #[garde(skip)]
    #[serde(rename = "need")]
    pub access: Access,
    /// How it may be repeated.
    #[garde(skip)]
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// For how long its clients wait, in milliseconds.
    #[garde(range(min = 100, max = 6_000))]
    pub deadline_ms: u64,
    /// An answer within this time earns the full worth, in milliseconds.
    #[garde(range(min = 1, max = 6_000))]
    pub aim_ms: u64,
    /// What an answer is worth.
    #[garde(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// The share of it that an answer after the aim still earns.
    #[garde(range(min = 0.0, max = 1.0))]
    pub late_worth: f64,
    /// The aim grows by this multiple of the request's own work.
    #[garde(range(min = 0.0, max = 100.0))]
    pub aim_stretch: f64,
    /// Mean work at a host, in microseconds.
    #[garde(range(min = 1.0, max = 1e6))]
    pub work_us: f64,
    /// Its share of all requests.
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
}

/// How a session's own writes are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SessionTokens {
    /// Each session read carries the position of the session's last write.
    #[serde(rename = "carried")]
    FromClient,
    /// The proxy remembers the writes of each session.
    #[serde(rename = "remembered")]
    TrackedByProxy,
}

/// What a replica does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LagCheck {
    /// It answers from what it has.
    #[serde(rename = "none")]
    Unchecked,
    /// It turns the read away at once.
    #[serde(rename = "refuse")]
    Reject,
    /// It waits so many milliseconds, then turns the read away.
    Wait(u64),
}

impl LagCheck {
    /// Its value in the settings object.
    pub fn name(self) -> &'static str {
        match self {
            LagCheck::Unchecked => "silent",
            LagCheck::Reject => "bounce",
            LagCheck::Wait(_) => "await",
        }
    }

    /// For how long a host lets a read wait, in milliseconds.
    pub fn wait_ms(self) -> u64 {
        if let LagCheck::Wait(ms) = self { ms } else { 0 }
    }
}

/// How the list of hosts tells roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListRole {
    /// So many milliseconds after they change.
    #[serde(rename = "late")]
    Delayed(u64),
    /// Those of the day's start.
    #[serde(rename = "start")]
    AtStartup,
    /// It does not.
    #[serde(rename = "silent")]
    Absent,
}

impl ListRole {
    /// Its value in the settings object.
    pub fn name(self) -> &'static str {
        match self {
            ListRole::Delayed(_) => "trailing",
            ListRole::AtStartup => "static",
            ListRole::Absent => "silent",
        }
    }
}

/// A deployment of proxies before replicated databases.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(default, deny_unknown_fields)]
pub struct Deployment {
    /// How a session's own writes are known.
    #[garde(skip)]
    pub tokens: SessionTokens,
    /// What replicas do with reads that they are too far behind for.
    #[garde(skip)]
    pub lag_check: LagCheck,
    /// How the list tells roles.
    #[garde(skip)]
    pub list_role: ListRole,
    /// Whether every answer tells the position of its data; that to a write does in any case.
    #[garde(skip)]
    pub answer_positions: bool,
    /// Whether a write is answered only once a replica has it.
    #[garde(skip)]
    pub synchronous_commit: bool,
    /// How far replicas are usually behind, in milliseconds.
    #[garde(range(max = 60_000))]
    pub replication_delay_ms: u64,
    /// Whether proxies may probe hosts.
    #[garde(skip)]
    pub probes: bool,
    /// Zones, over which hosts and proxies are spread in turn.
    #[garde(range(min = 1, max = MAX_ZONES))]
    pub zones: usize,
    /// Proxies that the settings name; it may be more than run.
    #[garde(range(min = 1, max = MAX_PROXIES))]
    pub named_proxies: usize,
    /// Whether attempts may be withdrawn.
    #[garde(skip)]
    pub cancel: bool,
    /// Attempts that a request may have.
    #[garde(range(min = 1, max = 20))]
    pub max_attempts: usize,
    /// The longest advice that a refusal may carry, in milliseconds; 0 where it may carry none.
    #[garde(range(max = 60_000))]
    pub max_retry_after_ms: u64,
    /// A session that is not up by then has failed, in milliseconds.
    #[garde(range(min = 10, max = 10_000))]
    pub dial_timeout_ms: u64,
    /// Its classes of requests.
    #[garde(length(min = 1, max = MAX_CLASSES), dive)]
    pub classes: Vec<Class>,
}

impl Default for Deployment {
    fn default() -> Deployment {
        Deployment::standard(Family::Wait, false)
    }
}

impl Deployment {
    /// The deployment of plans that name none: six classes, and sessions that carry their marks.
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

    /// A deployment drawn from a seed, of so many proxies that run.
    pub fn from_seed(seed: u64, proxies: usize) -> Deployment {
        let mut dice = Dice(Rand64::new(u128::from(seed) ^ 0x6465_706c_6f79));
        let tokens = if dice.one_in(3) { SessionTokens::FromClient } else { SessionTokens::TrackedByProxy };
        let lag_check = match dice.below(3) {
            0 => LagCheck::Unchecked,
            1 => LagCheck::Reject,
            _ => LagCheck::Wait(20 + dice.below(180)),
        };
        let list_role = match dice.below(3) {
            0 => ListRole::Delayed(dice.below(4_000)),
            1 => ListRole::AtStartup,
            _ => ListRole::Absent,
        };
        let (answer_positions, synchronous_commit, probes) =
            (!dice.one_in(3), dice.one_in(3), !dice.one_in(3));
        let delay = REPLICATION_DELAYS_MS[dice.below(REPLICATION_DELAYS_MS.len() as u64) as usize];
        let most_delay = if synchronous_commit { MAX_SYNCHRONOUS_DELAY_MS } else { u64::MAX };
        let zones = 1 + dice.below(MAX_ZONES as u64) as usize;
        let named_proxies = match dice.below(5) {
            0 | 1 => proxies,
            2 | 3 => proxies + dice.below(20) as usize,
            _ => proxies + dice.below(MAX_PROXIES as u64) as usize,
        };
        let (cancel, max_attempts) = (!dice.one_in(4), 1 + dice.below(10) as usize);
        let max_retry_after_ms = if dice.one_in(3) { 0 } else { 100 + dice.below(3_000) };
        let dial_timeout_ms = if dice.one_in(3) { 200 + dice.below(1_400) } else { 250 };
        Deployment {
            tokens,
            lag_check,
            list_role,
            answer_positions,
            synchronous_commit,
            replication_delay_ms: delay.min(most_delay),
            probes,
            zones,
            named_proxies: named_proxies.min(MAX_PROXIES),
            cancel,
            max_attempts,
            max_retry_after_ms,
            dial_timeout_ms,
            classes: dice.classes(),
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

    /// The settings object that the proxy with this number gets.
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
    /// What it needs, as the settings object says it.
    fn read_name(&self) -> &'static str {
        match self.access {
            Access::AnyRead => "eventual",
            Access::BoundedRead(_) => "lag_bound",
            Access::SessionRead => "causal",
            Access::Write => "mutate",
        }
    }

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

fn standard_classes() -> Vec<Class> {
    let keyed = Idempotency::Keyed(DedupScope::Group, 800);
    let rows = [
        // Its clients wait for longer than a stop may take.
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

/// Draws the parts of a deployment.
struct Dice(Rand64);

impl Dice {
    /// A number from 0 to under `n`.
    fn below(&mut self, n: u64) -> u64 {
        self.0.rand_range(0..n)
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// One to eight classes; where one reads what its session wrote, one writes.
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
        let all: u64 = weights.iter().sum();
        let each = accesses.into_iter().zip(weights).enumerate();
        each.map(|(n, (access, weight))| self.class(n, access, weight as f64 / all as f64)).collect()
    }

    fn access(&mut self) -> Access {
        match self.below(5) {
            0 => Access::AnyRead,
            1 | 2 => Access::BoundedRead(100 + self.below(2_400)),
            3 => Access::SessionRead,
            _ => Access::Write,
        }
    }

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

    fn idempotency(&mut self, access: Access) -> Idempotency {
        let repeats = if access == Access::Write { 2 } else { 10 };
        match self.below(repeats + 8) {
            n if n < repeats => Idempotency::Idempotent,
            n if n < repeats + 3 => Idempotency::NotIdempotent,
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
