//! The troubles of a run, drawn from a seed: what happens, when, and for how long. They are clustered around a few moments, so
//! that several overlap.

use super::host::Mode;
use crate::flood::Flood;
use oorandom::Rand64;
use std::time::Duration;

/// The number of troubles of a run.
const TROUBLE_COUNT: u64 = 26;
/// The number of moments around which the troubles are clustered.
const MOMENT_COUNT: u64 = 4;
/// The width of the interval around a moment in which its troubles start.
const CLUSTER_WIDTH_MS: u64 = 700;
/// The most signals of a series that follows the first SIGTERM.
const MAX_SERIES_SIGNALS: u64 = 11;
/// Signals of a series are sent within this time after the first SIGTERM; SIGKILL follows.
const SERIES_MS: u64 = 3_700;
/// The most clients of a flood.
const MAX_FLOOD_CLIENTS: u64 = 24;
/// The earliest moment, counted from the first request.
const FIRST_MOMENT_MS: u64 = 800;
/// All moments are before this time, counted from the first request.
const LAST_MOMENT_MS: u64 = 7_000;

/// What goes wrong. Proxies and hosts are given by their numbers.
#[derive(Clone, Debug)]
pub enum TroubleKind {
    /// A process gets SIGKILL, and another is started later.
    Kill(usize),
    /// A process gets SIGTERM, and another is started once it has ended.
    Restart {
        /// The proxy.
        proxy: usize,
        /// The signals that follow the first SIGTERM, each with its time after it.
        signals: Vec<(Duration, Signal)>,
        /// Whether a crowd of connections occupies the slots of the process first.
        is_crowded: bool,
        /// A host that hangs during the whole stop, with all other hosts of its group.
        hanging_host: Option<usize>,
    },
    /// Two processes are started beside a running one, and then the older ones get SIGTERM.
    UpgradeTwice(usize),
    /// A process is started beside a running one, and gets SIGTERM before it serves.
    StopWhileStarting(usize),
    /// Connections that only occupy slots.
    Crowd(usize),
    /// Clients that send one kind of message each at full speed.
    Flood {
        /// The proxy.
        proxy: usize,
        /// What they send.
        flood: Flood,
        /// The number of clients.
        clients: usize,
    },
    /// A process is started beside a running one, and then the older one gets SIGTERM.
    Upgrade(usize),
    /// A process is stopped for a short time by SIGSTOP.
    Freeze(usize),
    /// Several new configurations in quick succession, each of which moves discovery to another address.
    Reload {
        /// The proxy.
        proxy: usize,
        /// The number of configurations.
        times: u32,
    },
    /// An invalid configuration.
    InvalidReload(usize),
    /// An operator leaves a host out at a proxy, and has it used again later.
    LeaveOut {
        /// The proxy.
        proxy: usize,
        /// The host.
        host: usize,
    },
    /// A host misbehaves.
    Host {
        /// The host.
        host: usize,
        /// The way in which it misbehaves.
        mode: Mode,
    },
    /// A host drains, and returns cold.
    Drain(usize),
    /// The primary of a host's group hands its role over.
    Handover(usize),
    /// The agent of a proxy is down: it closes its connections, or leaves calls without an answer.
    AgentDown {
        /// The proxy.
        proxy: usize,
        /// Whether calls are left without an answer.
        leaves_calls_open: bool,
    },
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: stop gracefully.
    Term,
    /// SIGINT: stop gracefully.
    Int,
    /// SIGHUP: read the configuration again.
    Hup,
}

impl Signal {
    /// The signal's name, as the command `kill` takes it.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Term => "TERM",
            Signal::Int => "INT",
            Signal::Hup => "HUP",
        }
    }
}

impl TroubleKind {
    /// The name of the kind in a report.
    pub fn label(&self) -> &'static str {
        match self {
            TroubleKind::Kill(_) => "kill",
            TroubleKind::Restart { is_crowded: true, .. } => "restart in a crowd",
            TroubleKind::Restart { hanging_host: Some(_), .. } => "restart beside a hanging group",
            TroubleKind::Restart { signals, .. } if !signals.is_empty() => "restart with signals in series",
            TroubleKind::Restart { .. } => "restart",
            TroubleKind::UpgradeTwice(_) => "upgrade twice",
            TroubleKind::StopWhileStarting(_) => "stop while starting",
            TroubleKind::Crowd(_) => "crowd",
            TroubleKind::Flood { .. } => "flood",
            TroubleKind::Upgrade(_) => "upgrade",
            TroubleKind::Freeze(_) => "freeze",
            TroubleKind::Reload { .. } => "reload",
            TroubleKind::InvalidReload(_) => "bad reload",
            TroubleKind::LeaveOut { .. } => "leave out by hand",
            TroubleKind::Host { mode: Mode::Hangs, .. } => "host hangs",
            TroubleKind::Host { mode: Mode::ClosesUnanswered, .. } => "host resets",
            TroubleKind::Host { mode: Mode::Slow, .. } => "host slow",
            TroubleKind::Host { mode: Mode::RejectsAll, .. } => "host full",
            TroubleKind::Host { mode: Mode::LateSessions, .. } => "late sessions",
            TroubleKind::Host { mode: Mode::CutsAnswers, .. } => "answers cut",
            TroubleKind::Host { mode: Mode::Normal, .. } => "host well",
            TroubleKind::Drain(_) => "drain",
            TroubleKind::Handover(_) => "handover",
            TroubleKind::AgentDown { leaves_calls_open: true, .. } => "agent silent",
            TroubleKind::AgentDown { leaves_calls_open: false, .. } => "agent down",
        }
    }
}

/// Draws the signals that follow the first SIGTERM of a stop, in the order of their times. One of three stops has none.
fn draw_signals(draw: &mut impl FnMut(u64) -> u64) -> Vec<(Duration, Signal)> {
    if draw(3) == 0 {
        return Vec::new();
    }
    let count = 1 + draw(MAX_SERIES_SIGNALS);
    let mut signals: Vec<_> = (0..count)
        .map(|_| {
            let signal = [Signal::Term, Signal::Int, Signal::Hup][draw(3) as usize];
            (Duration::from_millis(draw(SERIES_MS)), signal)
        })
        .collect();
    signals.sort_by_key(|(at, _)| *at);
    signals
}

/// A trouble of a run.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// When it starts, counted from the first request.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What goes wrong.
    pub kind: TroubleKind,
}

/// The troubles of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// All troubles, in the order of their starts.
    pub troubles: Vec<Trouble>,
}

impl Plan {
    /// Draws the plan of a seed, for this number of proxies and of hosts.
    pub fn from_seed(seed: u64, proxies: usize, hosts: usize) -> Plan {
        let mut rng = Rand64::new(u128::from(seed) ^ 0x736f_616b);
        let mut draw = |bound: u64| rng.rand_range(0..bound);
        let moments: Vec<u64> =
            (0..MOMENT_COUNT).map(|_| FIRST_MOMENT_MS + draw(LAST_MOMENT_MS - FIRST_MOMENT_MS)).collect();
        let mut troubles: Vec<Trouble> = (0..TROUBLE_COUNT)
            .map(|_| {
                let moment = moments[draw(MOMENT_COUNT) as usize];
                let at = Duration::from_millis(
                    (moment + draw(CLUSTER_WIDTH_MS)).saturating_sub(CLUSTER_WIDTH_MS / 2),
                );
                let proxy = draw(proxies as u64) as usize;
                let host = draw(hosts as u64) as usize;
                let duration = Duration::from_millis(200 + draw(1_500));
                let modes = [
                    Mode::Hangs,
                    Mode::ClosesUnanswered,
                    Mode::Slow,
                    Mode::RejectsAll,
                    Mode::LateSessions,
                    Mode::CutsAnswers,
                ];
                let kind = match draw(26) {
                    0 => TroubleKind::Kill(proxy),
                    1 | 2 | 20 => TroubleKind::Restart {
                        proxy,
                        signals: draw_signals(&mut draw),
                        is_crowded: draw(3) == 0,
                        hanging_host: Some(host).filter(|_| draw(3) == 0),
                    },
                    3 | 4 => TroubleKind::Upgrade(proxy),
                    21 => TroubleKind::UpgradeTwice(proxy),
                    22 => TroubleKind::StopWhileStarting(proxy),
                    23 => TroubleKind::Crowd(proxy),
                    24 | 25 => TroubleKind::Flood {
                        proxy,
                        flood: Flood::ALL[draw(Flood::ALL.len() as u64) as usize],
                        clients: 1 + draw(MAX_FLOOD_CLIENTS) as usize,
                    },
                    5 | 6 => TroubleKind::Freeze(proxy),
                    7 => TroubleKind::Reload { proxy, times: 1 + draw(4) as u32 },
                    8 => TroubleKind::InvalidReload(proxy),
                    9 | 10 => TroubleKind::LeaveOut { proxy, host },
                    11..=14 => TroubleKind::Host { host, mode: modes[draw(modes.len() as u64) as usize] },
                    15 | 16 => TroubleKind::Drain(host),
                    17 => TroubleKind::Handover(host),
                    _ => TroubleKind::AgentDown { proxy, leaves_calls_open: draw(2) == 0 },
                };
                Trouble { at, duration, kind }
            })
            .collect();
        troubles.sort_by_key(|trouble| trouble.at);
        Plan { troubles }
    }
}
