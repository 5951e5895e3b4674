//! The plan of a simulation run (a day): its size, its deployment and its faults. This module draws a plan from a seed,
//! reads one from a JSON5 file and proposes smaller variants of a failing one. It calls `deployment` for the
//! deployment of a drawn plan. It must not run a simulation.

use super::deployment::{Deployment, MAX_PROXIES};
use garde::Validate;
use oorandom::Rand64;
use serde::{Deserialize, Serialize};

/// One in this many drawn plans has many proxies (20 to `MAX_PROXIES`).
const MANY_PROXIES_ONE_IN: u64 = 150;

/// A simulation run. The serialised names are those of stored plans.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random draws during the run.
    #[garde(skip)]
    pub seed: u64,
    /// How replicas treat reads that they lag too far behind for; only used in a plan without a deployment.
    #[garde(skip)]
    pub family: Family,
    /// Number of proxies.
    #[garde(range(min = 1, max = MAX_PROXIES))]
    pub proxies: usize,
    /// Number of groups of hosts.
    #[garde(range(min = 1, max = 16))]
    pub groups: usize,
    /// Number of hosts in each group.
    #[garde(range(min = 1, max = 16))]
    pub members: usize,
    /// Number of clients of each proxy; each has one connection at a time.
    #[garde(range(max = 500))]
    pub clients: usize,
    /// Mean think time of a client between two requests, in milliseconds.
    #[garde(range(min = 1, max = 60_000))]
    pub rest_ms: u64,
    /// How long clients send requests, in virtual milliseconds.
    #[garde(range(min = 100, max = 3_600_000))]
    pub for_ms: u64,
    /// Whether one in four socket reads and writes transfers a random part of the bytes.
    #[garde(skip)]
    #[serde(rename = "choppy")]
    pub partial_io: bool,
    /// Whether proxies exchange peer messages.
    #[garde(skip)]
    #[serde(default, rename = "talk")]
    pub peer_messages: bool,
    /// Whether only probes report positions, not every answer; only used in a plan without a deployment.
    #[garde(skip)]
    #[serde(default, rename = "blind")]
    pub positions_from_probes_only: bool,
    /// The deployment. Without one, `Deployment::standard` applies: six classes, and clients that send the position of
    /// their session's last write.
    #[garde(dive)]
    #[serde(default)]
    pub deployment: Option<Deployment>,
    /// The faults of the run.
    #[garde(skip)]
    pub faults: Vec<Fault>,
}

/// How replicas treat reads that they lag too far behind for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Family {
    /// They answer from the data that they have, so the proxy must not send them such reads.
    #[serde(rename = "silent")]
    Unchecked,
    /// They reject them at once.
    #[serde(rename = "bounce")]
    Reject,
    /// They wait to catch up for a limited time, then reject them.
    #[serde(rename = "await")]
    Wait,
}

/// A fault, with its start and duration in virtual milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault begins.
    pub at_ms: u64,
    /// How long the fault lasts.
    #[serde(default)]
    pub for_ms: u64,
    /// The kind of fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// The kinds of fault. Hosts are numbered through all groups; the first host of a group is its primary at the start.
/// In most variants the first number is that of the host or proxy, the second a delay, a percentage or a factor.
///
/// The trace shows the names of the variants, so its hash depends on them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// All hosts of a zone lose power, and return cold.
    #[serde(rename = "room")]
    ZonePowerLoss(u8),
    /// The host's process is killed, and starts again cold.
    HostKilled(usize),
    /// The host accepts connections but sends nothing.
    #[serde(rename = "hung")]
    HostHung(usize),
    /// The group's primary is demoted; the group has no primary for the duration of the fault.
    #[serde(rename = "handover")]
    PrimaryHandover(usize),
    /// The replica applies the log with this delay, in milliseconds.
    #[serde(rename = "lag")]
    ReplicaLag(usize, u64),
    /// The host fails requests at once.
    #[serde(rename = "errors")]
    HostErrors(usize),
    /// The host works slower by this factor.
    #[serde(rename = "slow")]
    SlowHost(usize, u64),
    /// The host sends bytes that are not a valid answer, or an incomplete one.
    #[serde(rename = "garbage")]
    InvalidAnswers(usize),
    /// The host drains, is then killed, and starts again cold.
    #[serde(rename = "drain")]
    HostDrain(usize),
    /// Nothing that the proxy (first) sends reaches the host (second).
    #[serde(rename = "cut_there")]
    ProxyToHostCut(usize, usize),
    /// Nothing that the host (second) sends reaches the proxy (first).
    #[serde(rename = "cut_back")]
    HostToProxyCut(usize, usize),
    /// Nothing that discovery sends reaches the proxy.
    #[serde(rename = "agent_silent")]
    DiscoveryUnreachable(usize),
    /// Discovery serves the same list of hosts, whatever changes.
    #[serde(rename = "agent_stale")]
    DiscoveryStale,
    /// The proxy's wall clock is stepped by this many milliseconds, also for processes that start meanwhile.
    ClockStep(usize, i64),
    /// Signals interrupt some of the proxy's reads and writes, and some of its accepts return a connection that the
    /// client has aborted.
    Interruptions(usize),
    /// This percentage of the proxy's dials and accepts fails because the machine lacks a resource.
    #[serde(rename = "shortage")]
    ResourceShortage(usize, u64),
    /// One in this many writes of the proxy reaches the network up to 150 ms after the proxy read the clock; the whole
    /// process pauses meanwhile.
    #[serde(rename = "hold_ups")]
    WriteDelays(usize, u64),
    /// The files of the proxy's disk cannot be read.
    DiskUnreadable(usize),
    /// The proxy's process is killed after this many steps of its tasks, and starts again at the end of the fault.
    ProxyKilled(usize, u64),
    /// A new version of the proxy starts beside the old one, which is told to stop at the end of the fault.
    ProxyReplaced(usize),
    /// Operators leave the host (second) out at the proxy (first), and use it again at the end of the fault.
    #[serde(rename = "by_hand")]
    HostOverride(usize, usize),
    /// The proxy's disk is full.
    DiskFull(usize),
    /// One of the files on the proxy's disk is truncated.
    #[serde(rename = "torn_file")]
    TruncatedFile(usize),
    /// This many misbehaving clients connect to the proxy: they write incomplete or invalid messages, or read nothing.
    #[serde(rename = "rude")]
    MisbehavingClients(usize, u64),
    /// This many clients of the proxy send messages of one kind each as fast as the network takes them.
    #[serde(rename = "flood")]
    FloodingClients(usize, u64),
    /// This many clients send the proxy the ids of other clients' requests.
    ForeignIds(usize, u64),
    /// This many clients send the proxy several requests behind one another, with two writes to one row.
    PipeliningClients(usize, u64),
    /// All open watches of discovery stop sending, but stay open.
    #[serde(rename = "watches_silent", alias = "watches_hushed")]
    SilentWatches,
    /// Half of the host's sessions open late, by this many milliseconds.
    LateSessions(usize, u64),
    /// A forged peer sends false updates to all proxies under the address of this proxy.
    #[serde(alias = "liar")]
    ForgedPeer(usize),
    /// This percentage of the host's answers is cut behind the end of their command; the sessions stay open and silent.
    CutAnswers(usize, u64),
    /// This percentage of the host's answers is lost on the way; the sessions stay open and silent.
    LostAnswers(usize, u64),
    /// This percentage of the host's answers takes longer on the way, by this many milliseconds.
    DelayedAnswers(usize, u64, u64),
    /// This percentage of the host's answers reports the host's role and nothing more; the sessions stay open.
    RoleOnlyAnswers(usize, u64),
}

/// Draws clients that send foreign ids around a replacement of their proxy, and clients that send pipelines. The draws are
/// those of a generator of their own, so that seeds keep the other faults that they had.
fn order_and_id_faults(seed: u64, proxies: u64, faults: &[Fault]) -> Vec<Fault> {
    let mut random = Rand64::new(u128::from(seed) ^ 0x6964_7321);
    let mut below = |n: u64| random.rand_range(0..n);
    let mut drawn = Vec::new();
    let (proxy, at_ms) = (below(proxies) as usize, 1_000 + below(14_000));
    // A killed process frees its ids, and where the disk fails they cannot be claimed.
    let frees_ids = |f: &Fault| {
        matches!(f.kind, FaultKind::ProxyKilled(..) | FaultKind::DiskFull(_) | FaultKind::DiskUnreadable(_))
    };
    if below(3) == 0 && !faults.iter().any(frees_ids) {
        let for_ms = 3_000 + below(5_000);
        drawn.push(Fault { at_ms, for_ms, kind: FaultKind::ForeignIds(proxy, 2 + below(8)) });
        let kind = FaultKind::ProxyReplaced(proxy);
        drawn.push(Fault { at_ms: at_ms + below(1_000), for_ms: 500 + below(4_000), kind });
    }
    if below(3) == 0 {
        let kind = FaultKind::PipeliningClients(below(proxies) as usize, 1 + below(6));
        drawn.push(Fault { at_ms: 1_000 + below(18_000), for_ms: 1_000 + below(6_000), kind });
    }
    drawn
}

/// Steps of a wall clock that a drawn plan may have, in milliseconds.
const CLOCK_STEPS_MS: [i64; 4] = [-3_600_000, -5_000, 5_000, 3_600_000];

/// Draws faults of system calls, and of wall clocks that are wrong when a process starts. Each kind occurs in a part of
/// the plans. `below(n)` draws a number from 0 to under `n`.
fn system_faults(below: &mut impl FnMut(u64) -> u64, proxies: u64, hosts: u64) -> Vec<Fault> {
    let mut faults = Vec::new();
    let draw_proxy = |below: &mut dyn FnMut(u64) -> u64| below(proxies) as usize;
    if below(2) == 0 {
        faults.push(Fault { at_ms: 0, for_ms: 40_000, kind: FaultKind::Interruptions(draw_proxy(below)) });
    }
    for _ in 0..below(3) {
        let at_ms = 1_000 + below(22_000);
        let for_ms = 20 + below(800);
        faults.push(Fault {
            at_ms,
            for_ms,
            kind: FaultKind::ResourceShortage(draw_proxy(below), 30 + below(71)),
        });
    }
    if below(3) == 0 {
        let at_ms = 1_000 + below(15_000);
        let for_ms = 1_000 + below(10_000);
        faults.push(Fault {
            at_ms,
            for_ms,
            kind: FaultKind::WriteDelays(draw_proxy(below), 20 + below(200)),
        });
    }
    if below(3) == 0 {
        // After the clock step the process is replaced, and a host restarts around the same time.
        let at_ms = 1_000 + below(15_000);
        let proxy = draw_proxy(below);
        let host = below(hosts) as usize;
        let step = CLOCK_STEPS_MS[below(CLOCK_STEPS_MS.len() as u64) as usize];
        faults.push(Fault { at_ms, for_ms: 60_000, kind: FaultKind::ClockStep(proxy, step) });
        let replaced_ms = at_ms + 100 + below(1_000);
        faults.push(Fault {
            at_ms: replaced_ms,
            for_ms: 500 + below(2_000),
            kind: FaultKind::ProxyReplaced(proxy),
        });
        let killed_ms = (replaced_ms + below(4_000)).saturating_sub(1_500);
        faults.push(Fault {
            at_ms: killed_ms,
            for_ms: 100 + below(1_000),
            kind: FaultKind::HostKilled(host),
        });
    }
    if below(4) == 0 {
        let at_ms = 1_000 + below(20_000);
        let for_ms = 200 + below(1_500);
        let proxy = draw_proxy(below);
        faults.push(Fault { at_ms, for_ms, kind: FaultKind::DiskUnreadable(proxy) });
    }
    faults
}

impl Plan {
    /// Draws a plan from a seed. The order of the draws determines which plan a seed stands for.
    pub fn from_seed(seed: u64) -> Plan {
        let mut random = Rand64::new(u128::from(seed) ^ 0x706c_616e);
        let mut below = |n: u64| random.rand_range(0..n);
        let family = [Family::Unchecked, Family::Reject, Family::Wait][below(3) as usize];
        let proxies = 1 + below(3) as usize;
        let groups = 1 + below(2) as usize;
        let members = 2 + below(4) as usize;
        let clients = 4 + below(12) as usize;
        let rest_ms = 60 + below(200);
        let partial_io = below(3) == 0;
        // Faults cluster around a few moments, so that they overlap; other tests cover single faults.
        let cluster_times: Vec<u64> = (0..1 + below(3)).map(|_| 2_000 + below(22_000)).collect();
        let hosts = (groups * members) as u64;
        let mut faults = Vec::new();
        for _ in 0..2 + below(7) {
            let cluster_time = cluster_times[below(cluster_times.len() as u64) as usize];
            let at_ms = (cluster_time + below(3_000)).saturating_sub(1_500);
            let for_ms = 200 + below(5_000);
            let host = below(hosts) as usize;
            let proxy = below(proxies as u64) as usize;
            let kind = match below(24) {
                0 => FaultKind::ZonePowerLoss(below(2) as u8),
                1 => FaultKind::HostKilled(host),
                2 => FaultKind::HostHung(host),
                3 => FaultKind::HostHung(host / members * members),
                4 | 5 => FaultKind::PrimaryHandover(host / members),
                6 => FaultKind::ReplicaLag(host, 200 + below(4_000)),
                7 => FaultKind::HostErrors(host),
                8 => FaultKind::SlowHost(host, 2 + below(20)),
                9 => FaultKind::InvalidAnswers(host),
                10 | 11 => FaultKind::HostDrain(host),
                12 => FaultKind::ProxyToHostCut(proxy, host),
                13 => FaultKind::HostToProxyCut(proxy, host),
                14 => FaultKind::DiscoveryUnreachable(proxy),
                15 => FaultKind::DiscoveryStale,
                16 => FaultKind::ClockStep(proxy, below(4_000) as i64 - 2_000),
                17 => {
                    if below(2) == 0 {
                        FaultKind::ProxyKilled(proxy, below(40))
                    } else {
                        FaultKind::ProxyReplaced(proxy)
                    }
                }
                18 | 19 => FaultKind::ProxyReplaced(proxy),
                20 | 21 => FaultKind::HostOverride(proxy, host),
                22 => {
                    if below(2) == 0 {
                        FaultKind::DiskFull(proxy)
                    } else {
                        FaultKind::TruncatedFile(proxy)
                    }
                }
                _ => FaultKind::MisbehavingClients(proxy, 1 + below(6)),
            };
            faults.push(Fault { at_ms, for_ms, kind });
        }
        // Drawn after the faults above, so that seeds keep the faults that they had before peer messages existed.
        let peer_messages = seed.is_multiple_of(3) && proxies > 1;
        // Where hosts answer from data that is too old, their answers must report the position.
        let positions_from_probes_only = peer_messages && family != Family::Unchecked;
        if peer_messages && below(2) == 0 {
            let proxy = below(proxies as u64) as usize;
            let at_ms = 1_000 + below(20_000);
            let for_ms = 500 + below(8_000);
            faults.push(Fault { at_ms, for_ms, kind: FaultKind::ForgedPeer(proxy) });
        }
        // Silent watches with a change of the list behind them, and sessions that open late.
        if below(3) == 0 {
            let host = below(hosts) as usize;
            let at_ms = 1_000 + below(18_000);
            faults.push(Fault { at_ms, for_ms: 0, kind: FaultKind::SilentWatches });
            let at_ms = at_ms + below(3_000);
            faults.push(Fault { at_ms, for_ms: 4_000 + below(8_000), kind: FaultKind::HostDrain(host) });
        }
        if below(3) == 0 {
            let host = below(hosts) as usize;
            let at_ms = 1_000 + below(20_000);
            let for_ms = 500 + below(5_000);
            faults.push(Fault { at_ms, for_ms, kind: FaultKind::LateSessions(host, 20 + below(1_500)) });
        }
        // Answers that are cut, lost or late. Half of the faults are of a group's first primary, so that writes are
        // affected too.
        for _ in 0..below(4) {
            let host = below(hosts) as usize;
            let host = if below(2) == 0 { host / members * members } else { host };
            let percent = 10 + below(91);
            let kind = match below(4) {
                0 => FaultKind::CutAnswers(host, percent),
                1 => FaultKind::LostAnswers(host, percent),
                2 => FaultKind::DelayedAnswers(host, percent, 50 + below(1_000)),
                _ => FaultKind::RoleOnlyAnswers(host, percent),
            };
            faults.push(Fault { at_ms: 1_000 + below(22_000), for_ms: 500 + below(5_000), kind });
        }
        if below(2) == 0 {
            let kind = FaultKind::FloodingClients(below(proxies as u64) as usize, 1 + below(24));
            faults.push(Fault { at_ms: 1_000 + below(22_000), for_ms: 50 + below(250), kind });
        }
        faults.sort_by_key(|f| f.at_ms);
        let mut for_ms = 27_000;
        let mut proxies = proxies;
        let mut clients = clients;
        let mut rest_ms = rest_ms;
        // Many proxies with little load each.
        if below(MANY_PROXIES_ONE_IN) == 0 {
            proxies = 20 + below(MAX_PROXIES as u64 - 19) as usize;
            clients = 1;
            rest_ms = 1_000 + 40 * proxies as u64;
            for_ms = 12_000;
        }
        faults.extend(system_faults(&mut below, proxies as u64, hosts));
        let more = order_and_id_faults(seed, proxies as u64, &faults);
        faults.extend(more);
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

    /// The deployment of the run: the plan's own, or the standard one of its family.
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

    /// Smaller variants of this plan, the largest reductions first: a half of the faults, half the clients, one fault
    /// less, whole reads and writes, no peer messages, or one client less. Variants equal to this plan are left out.
    pub fn smaller(&self) -> Vec<Plan> {
        let mut plans = Vec::new();
        let mut add = |plan: Plan| {
            if plan != *self {
                plans.push(plan);
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
        plans
    }
}
