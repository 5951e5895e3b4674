//! A day as a plan: how large, which family of rules, and what fails when. It owns the drawing of a plan from a
//! seed, its form as a JSON5 file, and how a failing one is made smaller. It must never run anything.

use super::deployment::{Deployment, MAX_PROXIES};
use garde::Validate;
use oorandom::Rand64;
use serde::{Deserialize, Serialize};

/// One drawn day in so many has a tier of many proxies.
const MANY_PROXIES_ONE_IN: u64 = 150;

/// A whole day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Of everything that is drawn while the day runs.
    #[garde(skip)]
    pub seed: u64,
    /// How replicas treat reads that they are too far behind for, in a plan without a deployment.
    #[garde(skip)]
    pub family: Family,
    /// Proxies, groups of hosts and hosts of a group.
    #[garde(range(min = 1, max = MAX_PROXIES))]
    pub proxies: usize,
    /// See there.
    #[garde(range(min = 1, max = 16))]
    pub groups: usize,
    /// See there.
    #[garde(range(min = 1, max = 16))]
    pub members: usize,
    /// Clients' connections to each proxy.
    #[garde(range(max = 500))]
    pub clients: usize,
    /// Mean rest of a client between two requests, in milliseconds.
    #[garde(range(min = 1, max = 60_000))]
    pub rest_ms: u64,
    /// How long requests are made, in virtual milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    pub for_ms: u64,
    /// Whether reads and writes of sockets are cut into parts.
    #[garde(skip)]
    #[serde(rename = "choppy")]
    pub partial_io: bool,
    /// Whether proxies may talk to each other.
    #[garde(skip)]
    #[serde(default, rename = "talk")]
    pub peer_messages: bool,
    /// Whether positions show in probes only, not in answers, in a plan without a deployment.
    #[garde(skip)]
    #[serde(default, rename = "blind")]
    pub positions_from_probes_only: bool,
    /// What the settings say; where it is absent, six classes, and sessions that carry their marks.
    #[garde(dive)]
    #[serde(default)]
    pub deployment: Option<Deployment>,
    /// What fails.
    #[garde(skip)]
    pub faults: Vec<Fault>,
}

/// How replicas treat reads that they are too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Family {
    /// They serve them: the proxy must not ask.
    #[serde(rename = "silent")]
    Unchecked,
    /// They turn them away.
    #[serde(rename = "bounce")]
    Reject,
    /// They wait a while, then turn them away.
    #[serde(rename = "await")]
    Wait,
}

/// Something that fails, when, and for how long, in virtual milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at_ms: u64,
    /// How long it lasts.
    #[serde(default)]
    pub for_ms: u64,
    /// What it is.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// What fails. Hosts are counted through all groups, a group's first member being its primary at the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// All hosts of a room lose power, and return cold.
    Room(u8),
    /// A host's process is killed and starts again, cold.
    HostKilled(usize),
    /// A host accepts connections and says nothing.
    Hung(usize),
    /// A group's primary hands over; for so long there is none.
    Handover(usize),
    /// A replica applies so much later, in milliseconds.
    Lag(usize, u64),
    /// A host fails requests at once.
    Errors(usize),
    /// A host works so many times slower.
    Slow(usize, u64),
    /// A host sends bytes that are no answer, or half of one.
    Garbage(usize),
    /// A host drains, is gone, and comes back cold.
    Drain(usize),
    /// Nothing gets from a proxy to a host.
    CutThere(usize, usize),
    /// Nothing gets from a host to a proxy.
    CutBack(usize, usize),
    /// A proxy hears nothing of discovery.
    AgentSilent(usize),
    /// Discovery's list stays as it is.
    AgentStale,
    /// A proxy's wall clock is stepped by so many milliseconds; processes that start meanwhile have it so.
    ClockStep(usize, i64),
    /// Reads and writes of a proxy are interrupted now and then, and accepts are of connections that were given up.
    Interruptions(usize),
    /// So many percent of a proxy's dials and accepts fail for want of something on its machine.
    Shortage(usize, u64),
    /// One write of a proxy in so many is held up, up to 150 ms behind its look at the clock, and the proxy with it.
    HoldUps(usize, u64),
    /// The files of a proxy's disk cannot be read.
    DiskUnreadable(usize),
    /// A proxy is killed, in the middle of so many steps of its tasks, and starts again.
    ProxyKilled(usize, u64),
    /// A new version of a proxy starts beside it, and the old one is told to stop at the end of this.
    ProxyReplaced(usize),
    /// Operators leave a host out at a proxy, and take it back.
    ByHand(usize, usize),
    /// A proxy's disk takes nothing more.
    DiskFull(usize),
    /// One of the files on a proxy's disk ends in its middle.
    TornFile(usize),
    /// Clients of a proxy that write half of something, or nonsense, or read nothing.
    Rude(usize, u64),
    /// All open watches of discovery fall silent, and stay open.
    #[serde(alias = "watches_hushed")]
    WatchesSilent,
    /// Half of a host's sessions come up so late, in milliseconds.
    LateSessions(usize, u64),
    /// Somebody sends false news to all proxies in the name of one.
    #[serde(alias = "liar")]
    ForgedPeer(usize),
    /// So many percent of a host's answers are cut behind the end of their command; their sessions stay open and silent.
    CutAnswers(usize, u64),
    /// So many percent of a host's answers are lost on their way; their sessions stay open and silent.
    LostAnswers(usize, u64),
    /// So many percent of a host's answers take so much longer on their way, in milliseconds.
    DelayedAnswers(usize, u64, u64),
    /// So many percent of a host's answers tell its role and nothing more; their sessions stay open.
    RoleOnlyAnswers(usize, u64),
}

/// Wall clocks that are off, in milliseconds.
const CLOCKS_OFF_MS: [i64; 4] = [-3_600_000, -5_000, 5_000, 3_600_000];

/// System calls that fail, and wall clocks that are off as a process starts: each on a part of the days.
fn system_faults(to: &mut impl FnMut(u64) -> u64, proxies: u64, hosts: u64) -> Vec<Fault> {
    let mut faults = Vec::new();
    let proxy = |to: &mut dyn FnMut(u64) -> u64| to(proxies) as usize;
    if to(2) == 0 {
        faults.push(Fault { at_ms: 0, for_ms: 40_000, kind: FaultKind::Interruptions(proxy(to)) });
    }
    for _ in 0..to(3) {
        let (at_ms, for_ms) = (1_000 + to(22_000), 20 + to(800));
        faults.push(Fault { at_ms, for_ms, kind: FaultKind::Shortage(proxy(to), 30 + to(71)) });
    }
    if to(3) == 0 {
        let (at_ms, for_ms) = (1_000 + to(15_000), 1_000 + to(10_000));
        faults.push(Fault { at_ms, for_ms, kind: FaultKind::HoldUps(proxy(to), 20 + to(200)) });
    }
    if to(3) == 0 {
        // Behind the step the process is replaced, and around that a host starts anew.
        let (at_ms, proxy, host) = (1_000 + to(15_000), proxy(to), to(hosts) as usize);
        let step = CLOCKS_OFF_MS[to(CLOCKS_OFF_MS.len() as u64) as usize];
        faults.push(Fault { at_ms, for_ms: 60_000, kind: FaultKind::ClockStep(proxy, step) });
        let replaced_ms = at_ms + 100 + to(1_000);
        faults.push(Fault {
            at_ms: replaced_ms,
            for_ms: 500 + to(2_000),
            kind: FaultKind::ProxyReplaced(proxy),
        });
        let killed_ms = (replaced_ms + to(4_000)).saturating_sub(1_500);
        faults.push(Fault { at_ms: killed_ms, for_ms: 100 + to(1_000), kind: FaultKind::HostKilled(host) });
    }
    if to(4) == 0 {
        let (at_ms, for_ms, proxy) = (1_000 + to(20_000), 200 + to(1_500), proxy(to));
        faults.push(Fault { at_ms, for_ms, kind: FaultKind::DiskUnreadable(proxy) });
    }
    faults
}

impl Plan {
    /// A day drawn from a seed.
    pub fn from_seed(seed: u64) -> Plan {
        let mut lots = Rand64::new(u128::from(seed) ^ 0x706c_616e);
        let mut to = |n: u64| lots.rand_range(0..n);
        let family = [Family::Unchecked, Family::Reject, Family::Wait][to(3) as usize];
        let (proxies, groups, members) = (1 + to(3) as usize, 1 + to(2) as usize, 2 + to(4) as usize);
        let (clients, rest_ms) = (4 + to(12) as usize, 60 + to(200));
        let partial_io = to(3) == 0;
        // Faults gather, so that they overlap: what fails alone is found by the other tests.
        let centres: Vec<u64> = (0..1 + to(3)).map(|_| 2_000 + to(22_000)).collect();
        let hosts = (groups * members) as u64;
        let mut faults = Vec::new();
        for _ in 0..2 + to(7) {
            let centre = centres[to(centres.len() as u64) as usize];
            let at_ms = (centre + to(3_000)).saturating_sub(1_500);
            let for_ms = 200 + to(5_000);
            let (host, proxy) = (to(hosts) as usize, to(proxies as u64) as usize);
            let kind = match to(24) {
                0 => FaultKind::Room(to(2) as u8),
                1 => FaultKind::HostKilled(host),
                2 => FaultKind::Hung(host),
                3 => FaultKind::Hung(host / members * members),
                4 | 5 => FaultKind::Handover(host / members),
                6 => FaultKind::Lag(host, 200 + to(4_000)),
                7 => FaultKind::Errors(host),
                8 => FaultKind::Slow(host, 2 + to(20)),
                9 => FaultKind::Garbage(host),
                10 | 11 => FaultKind::Drain(host),
                12 => FaultKind::CutThere(proxy, host),
                13 => FaultKind::CutBack(proxy, host),
                14 => FaultKind::AgentSilent(proxy),
                15 => FaultKind::AgentStale,
                16 => FaultKind::ClockStep(proxy, to(4_000) as i64 - 2_000),
                17 => {
                    if to(2) == 0 {
                        FaultKind::ProxyKilled(proxy, to(40))
                    } else {
                        FaultKind::ProxyReplaced(proxy)
                    }
                }
                18 | 19 => FaultKind::ProxyReplaced(proxy),
                20 | 21 => FaultKind::ByHand(proxy, host),
                22 => {
                    if to(2) == 0 {
                        FaultKind::DiskFull(proxy)
                    } else {
                        FaultKind::TornFile(proxy)
                    }
                }
                _ => FaultKind::Rude(proxy, 1 + to(6)),
            };
            faults.push(Fault { at_ms, for_ms, kind });
        }
        // Drawn last, so that the others are what they were before there was talk.
        let peer_messages = seed.is_multiple_of(3) && proxies > 1;
        // Where hosts serve what is too old, answers tell it.
        let positions_from_probes_only = peer_messages && family != Family::Unchecked;
        if peer_messages && to(2) == 0 {
            let (proxy, at_ms, for_ms) = (to(proxies as u64) as usize, 1_000 + to(20_000), 500 + to(8_000));
            faults.push(Fault { at_ms, for_ms, kind: FaultKind::ForgedPeer(proxy) });
        }
        // Silent watches, and news behind them; connections that come up late.
        if to(3) == 0 {
            let (host, at_ms) = (to(hosts) as usize, 1_000 + to(18_000));
            faults.push(Fault { at_ms, for_ms: 0, kind: FaultKind::WatchesSilent });
            let at_ms = at_ms + to(3_000);
            faults.push(Fault { at_ms, for_ms: 4_000 + to(8_000), kind: FaultKind::Drain(host) });
        }
        if to(3) == 0 {
            let (host, at_ms, for_ms) = (to(hosts) as usize, 1_000 + to(20_000), 500 + to(5_000));
            faults.push(Fault { at_ms, for_ms, kind: FaultKind::LateSessions(host, 20 + to(1_500)) });
        }
        // Answers that are cut, lost or late, mostly those of a group's first primary: writes have them too.
        for _ in 0..to(4) {
            let host = to(hosts) as usize;
            let host = if to(2) == 0 { host / members * members } else { host };
            let percent = 10 + to(91);
            let kind = match to(4) {
                0 => FaultKind::CutAnswers(host, percent),
                1 => FaultKind::LostAnswers(host, percent),
                2 => FaultKind::DelayedAnswers(host, percent, 50 + to(1_000)),
                _ => FaultKind::RoleOnlyAnswers(host, percent),
            };
            faults.push(Fault { at_ms: 1_000 + to(22_000), for_ms: 500 + to(5_000), kind });
        }
        faults.sort_by_key(|f| f.at_ms);
        let (mut for_ms, mut proxies, mut clients, mut rest_ms) = (27_000, proxies, clients, rest_ms);
        // A tier of many proxies, each of which has little to do.
        if to(MANY_PROXIES_ONE_IN) == 0 {
            proxies = 20 + to(MAX_PROXIES as u64 - 19) as usize;
            (clients, rest_ms, for_ms) = (1, 1_000 + 40 * proxies as u64, 12_000);
        }
        faults.extend(system_faults(&mut to, proxies as u64, hosts));
        faults.sort_by_key(|f| f.at_ms);
        let deployment = Some(Deployment::from_seed(seed, proxies));
        Plan {
            seed,
            family,
            proxies,
            groups,
            members,
            clients,
            rest_ms,
            for_ms,
            partial_io,
            peer_messages,
            positions_from_probes_only,
            deployment,
            faults,
        }
    }

    /// What the settings of its day say.
    pub fn deployment(&self) -> Deployment {
        self.deployment
            .clone()
            .unwrap_or_else(|| Deployment::standard(self.family, self.positions_from_probes_only))
    }

    /// Reads a plan from a JSON5 file.
    pub fn read(path: &std::path::Path) -> Result<Plan, String> {
        let text = sillfold_conf::read_text(path)?;
        sillfold_conf::parse(&path.display().to_string(), &text).map_err(|e| e.join("; "))
    }

    /// Plans that are a little smaller than this one, the smallest first.
    pub fn smaller(&self) -> Vec<Plan> {
        let mut out = Vec::new();
        let mut add = |plan: Plan| {
            if plan != *self {
                out.push(plan);
            }
        };
        let n = self.faults.len();
        if n > 1 {
            add(Plan { faults: self.faults[..n / 2].to_vec(), ..self.clone() });
            add(Plan { faults: self.faults[n / 2..].to_vec(), ..self.clone() });
        }
        add(Plan { clients: self.clients / 2, ..self.clone() });
        for i in 0..n {
            let mut faults = self.faults.clone();
            faults.remove(i);
            add(Plan { faults, ..self.clone() });
        }
        add(Plan { partial_io: false, ..self.clone() });
        add(Plan { peer_messages: false, ..self.clone() });
        add(Plan { clients: self.clients.saturating_sub(1), ..self.clone() });
        out
    }
}
