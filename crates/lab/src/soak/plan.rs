//! The troubles of a run, drawn from a seed: what happens, when, and for how long. They gather around a few moments, so that
//! two or three meet.

use super::host::Mode;
use oorandom::Rand64;
use std::time::Duration;

/// Troubles of a run.
const TROUBLES: u64 = 26;
/// Moments around which they gather, and how close to them.
const MOMENTS: u64 = 4;
const CLOSE_MS: u64 = 700;
/// Signals of a series behind the first, and for how long they come: SIGKILL follows then.
const MOST_SIGNALS: u64 = 11;
const LONGEST_STOP_MS: u64 = 3_700;
/// When the first and the last moment may be.
const FIRST_MS: u64 = 800;
const LAST_MS: u64 = 7_000;

/// What goes wrong. Proxies and hosts by number.
#[derive(Clone, Debug)]
pub enum What {
    /// A process is killed outright, and started again later.
    Kill(usize),
    /// A process is told to end, and another is started once it has.
    Restart {
        /// The proxy.
        proxy: usize,
        /// What it is told behind the first SIGTERM, and when.
        signals: Vec<(Duration, Signal)>,
        /// A crowd takes its places first.
        is_crowded: bool,
        /// A host that hangs through the whole stop, with all of its group.
        hangs: Option<usize>,
    },
    /// Two more processes are started beside one, and the older ones told to end.
    UpgradeTwice(usize),
    /// A process is started beside one, and told to end before it serves.
    StopWhileStarting(usize),
    /// Connections that only take places.
    Crowd(usize),
    /// Another process is started beside one, which is told to end.
    Upgrade(usize),
    /// A process is held up.
    Freeze(usize),
    /// New configurations that move discovery, so many in quick succession.
    Reload {
        /// The proxy.
        proxy: usize,
        /// How many.
        times: u32,
    },
    /// A configuration that will not do.
    BadReload(usize),
    /// Operators leave a host out at a proxy, and use it again.
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
        /// How.
        mode: Mode,
    },
    /// A host drains, and comes back cold.
    Drain(usize),
    /// The primary of a group hands its role over.
    Handover(usize),
    /// The agent of a proxy is down: its calls end at once, or nothing answers them.
    AgentDown {
        /// The proxy.
        proxy: usize,
        /// Whether nothing answers.
        silent: bool,
    },
}

/// A signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// End in order.
    Term,
    /// The same.
    Int,
    /// Read the configuration again.
    Hup,
}

impl Signal {
    /// Its name, as `kill` takes it.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Term => "TERM",
            Signal::Int => "INT",
            Signal::Hup => "HUP",
        }
    }
}

impl What {
    /// Its kind, for a report.
    pub fn kind(&self) -> &'static str {
        match self {
            What::Kill(_) => "kill",
            What::Restart { is_crowded: true, .. } => "restart in a crowd",
            What::Restart { hangs: Some(_), .. } => "restart beside a hanging group",
            What::Restart { signals, .. } if !signals.is_empty() => "restart with signals in series",
            What::Restart { .. } => "restart",
            What::UpgradeTwice(_) => "upgrade twice",
            What::StopWhileStarting(_) => "stop while starting",
            What::Crowd(_) => "crowd",
            What::Upgrade(_) => "upgrade",
            What::Freeze(_) => "freeze",
            What::Reload { .. } => "reload",
            What::BadReload(_) => "bad reload",
            What::LeaveOut { .. } => "leave out by hand",
            What::Host { mode: Mode::Hangs, .. } => "host hangs",
            What::Host { mode: Mode::Resets, .. } => "host resets",
            What::Host { mode: Mode::Slow, .. } => "host slow",
            What::Host { mode: Mode::Full, .. } => "host full",
            What::Host { mode: Mode::LateSessions, .. } => "late sessions",
            What::Host { mode: Mode::CutsAnswers, .. } => "answers cut",
            What::Host { mode: Mode::Well, .. } => "host well",
            What::Drain(_) => "drain",
            What::Handover(_) => "handover",
            What::AgentDown { silent: true, .. } => "agent silent",
            What::AgentDown { silent: false, .. } => "agent down",
        }
    }
}

/// Signals in a series of up to a dozen while a process stops; none in one of three.
fn series(to: &mut impl FnMut(u64) -> u64) -> Vec<(Duration, Signal)> {
    if to(3) == 0 {
        return Vec::new();
    }
    let count = 1 + to(MOST_SIGNALS);
    let mut signals: Vec<_> = (0..count)
        .map(|_| {
            let signal = [Signal::Term, Signal::Int, Signal::Hup][to(3) as usize];
            (Duration::from_millis(to(LONGEST_STOP_MS)), signal)
        })
        .collect();
    signals.sort_by_key(|(at, _)| *at);
    signals
}

/// One trouble.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// When, counted from the first request.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
    /// What.
    pub what: What,
}

/// All of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// In the order of time.
    pub troubles: Vec<Trouble>,
}

impl Plan {
    /// Those of a seed, for so many proxies and hosts.
    pub fn of(seed: u64, proxies: usize, hosts: usize) -> Plan {
        let mut lots = Rand64::new(u128::from(seed) ^ 0x736f_616b);
        let mut to = |n: u64| lots.rand_range(0..n);
        let moments: Vec<u64> = (0..MOMENTS).map(|_| FIRST_MS + to(LAST_MS - FIRST_MS)).collect();
        let mut troubles: Vec<Trouble> = (0..TROUBLES)
            .map(|_| {
                let moment = moments[to(MOMENTS) as usize];
                let at = Duration::from_millis((moment + to(CLOSE_MS)).saturating_sub(CLOSE_MS / 2));
                let (proxy, host) = (to(proxies as u64) as usize, to(hosts as u64) as usize);
                let lasts = Duration::from_millis(200 + to(1_500));
                let modes = [
                    Mode::Hangs,
                    Mode::Resets,
                    Mode::Slow,
                    Mode::Full,
                    Mode::LateSessions,
                    Mode::CutsAnswers,
                ];
                let what = match to(24) {
                    0 => What::Kill(proxy),
                    1 | 2 | 20 => What::Restart {
                        proxy,
                        signals: series(&mut to),
                        is_crowded: to(3) == 0,
                        hangs: Some(host).filter(|_| to(3) == 0),
                    },
                    3 | 4 => What::Upgrade(proxy),
                    21 => What::UpgradeTwice(proxy),
                    22 => What::StopWhileStarting(proxy),
                    23 => What::Crowd(proxy),
                    5 | 6 => What::Freeze(proxy),
                    7 => What::Reload { proxy, times: 1 + to(4) as u32 },
                    8 => What::BadReload(proxy),
                    9 | 10 => What::LeaveOut { proxy, host },
                    11..=14 => What::Host { host, mode: modes[to(modes.len() as u64) as usize] },
                    15 | 16 => What::Drain(host),
                    17 => What::Handover(host),
                    _ => What::AgentDown { proxy, silent: to(2) == 0 },
                };
                Trouble { at, lasts, what }
            })
            .collect();
        troubles.sort_by_key(|t| t.at);
        Plan { troubles }
    }
}
