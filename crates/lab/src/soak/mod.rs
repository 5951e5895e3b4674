//! The soak test: a few dozen real processes of the proxy on loopback, among stand-ins for hosts, discovery's agents and
//! clients, while troubles overlap and system calls fail inside the processes. This module runs the steps of a run and
//! makes its report. `checker` holds the rules and their bounds; `plan` draws the troubles from a seed.
//!
//! The sockets and the clock are real, so a seed repeats the same troubles, but not the same run.

mod agent;
mod checker;
mod client;
mod host;
mod plan;
mod process;

use agent::Agents;
use async_io::Timer;
use checker::Checker;
use host::{Hosts, Mode};
use plan::{Plan, Trouble, TroubleKind};
use process::SoakProxy;
use sillfold::net::scheduler::{Scheduler, Spawner};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of groups of hosts.
const GROUPS: usize = 2;
/// The number of hosts of a group; the first one is the primary at the start.
const HOSTS_PER_GROUP: usize = 3;
/// The number of clients of each proxy.
const CLIENTS_PER_PROXY: usize = 3;
/// How long clients send requests.
const LOAD_DURATION: Duration = Duration::from_secs(9);
/// How long the run waits for answers after that.
const DRAIN_DURATION: Duration = Duration::from_secs(7);
/// A proxy serves within this time after its first start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// The shortest flood.
const MIN_FLOOD_DURATION: Duration = Duration::from_millis(1_300);
/// The interval at which this process measures how much the machine delays it.
const SELF_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The proxy's program, built with the feature `faults`.
    pub program: PathBuf,
    /// The number of proxies.
    pub proxies: usize,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// The number of processes of proxies that were started.
    pub process_count: u64,
    /// The number of requests, by how they ended.
    pub ends: BTreeMap<String, u64>,
    /// The number of troubles, by the name of their kind.
    pub troubles: BTreeMap<String, u64>,
    /// The number of injected faults of system calls in the processes, by kind.
    pub faults: BTreeMap<String, u64>,
    /// The longest delay of this process itself, in milliseconds.
    pub max_observer_delay_ms: u64,
    /// The violations of the rules, each with its time of day.
    pub violations: Vec<String>,
}

/// Runs the soak test with the troubles of a seed.
pub fn run(seed: u64, options: &Options) -> io::Result<Report> {
    let scheduler = Scheduler::new();
    let soak = Soak::new(seed, options, Spawner::of(&scheduler))?;
    async_io::block_on(scheduler.run(soak.run()))
}

/// A run with all that belongs to it.
struct Soak {
    seed: u64,
    plan: Plan,
    checker: Rc<RefCell<Checker>>,
    hosts: Rc<Hosts>,
    agents: Rc<Agents>,
    proxies: Vec<Rc<SoakProxy>>,
    spawner: Spawner,
    /// Holds the directories of all proxies; removed after a run without violations.
    directory: PathBuf,
}

impl Soak {
    fn new(seed: u64, options: &Options, spawner: Spawner) -> io::Result<Soak> {
        let name = format!("sillfold-soak-{}-{seed}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let checker = Rc::new(RefCell::new(Checker::default()));
        let hosts = Rc::new(Hosts::new(checker.clone(), GROUPS, HOSTS_PER_GROUP, seed));
        let agents = Rc::new(Agents::new(hosts.clone(), checker.clone(), options.proxies));
        let mut proxies = Vec::new();
        for number in 0..options.proxies {
            hosts.listen(number, &spawner)?;
            agents.listen(number, &spawner)?;
            proxies.push(Rc::new(SoakProxy::new(number, seed, &options.program, &directory, &agents)?));
        }
        let plan = Plan::from_seed(seed, options.proxies, GROUPS * HOSTS_PER_GROUP);
        Ok(Soak { seed, plan, checker, hosts, agents, proxies, spawner, directory })
    }

    /// Starts all proxies, runs clients and troubles, ends all processes and returns the report.
    async fn run(self) -> io::Result<Report> {
        let max_delay = Rc::new(RefCell::new(Duration::ZERO));
        self.spawner.spawn(measure_own_delay(max_delay.clone(), self.checker.clone()));
        for proxy in &self.proxies {
            proxy.start(&self.checker)?;
        }
        for proxy in &self.proxies {
            self.wait_until_serving(proxy).await;
        }
        let started = Instant::now();
        for proxy in &self.proxies {
            for n in 0..CLIENTS_PER_PROXY {
                let number = proxy.number * CLIENTS_PER_PROXY + n;
                let client =
                    client::Client::new(number, self.seed, proxy.clone(), self.checker.clone(), GROUPS);
                self.spawner.spawn(client.run(started + LOAD_DURATION));
            }
        }
        let mut troubles: BTreeMap<String, u64> = BTreeMap::new();
        for trouble in &self.plan.troubles {
            Timer::at(started + trouble.at).await;
            *troubles.entry(trouble.kind.label().to_string()).or_default() += 1;
            self.start_trouble(trouble);
        }
        Timer::at(started + LOAD_DURATION + DRAIN_DURATION).await;
        let faults = self.stop_all().await;
        let mut checker = self.checker.borrow_mut();
        checker.check_end_of_run();
        let report = Report {
            seed: self.seed,
            process_count: self.proxies.iter().map(|proxy| proxy.process_count()).sum(),
            ends: checker.ends().clone(),
            troubles,
            faults,
            max_observer_delay_ms: max_delay.borrow().as_millis() as u64,
            violations: checker.violations().to_vec(),
        };
        drop(checker);
        if report.violations.is_empty() {
            std::fs::remove_dir_all(&self.directory)?;
        }
        Ok(report)
    }

    /// Waits until a proxy serves; a violation if it does not within `READY_TIMEOUT`.
    async fn wait_until_serving(&self, proxy: &Rc<SoakProxy>) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !client::is_serving(proxy.address).await {
            if Instant::now() > deadline {
                return self
                    .checker
                    .borrow_mut()
                    .add_violation(format!("proxy {} does not serve in time", proxy.number));
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Starts a task that makes a trouble and ends it after its duration.
    fn start_trouble(&self, trouble: &Trouble) {
        let checker = self.checker.clone();
        let hosts = self.hosts.clone();
        let agents = self.agents.clone();
        let proxy_of = |number: usize| self.proxies[number % self.proxies.len()].clone();
        let duration = trouble.duration;
        match trouble.kind.clone() {
            TroubleKind::Kill(number) => {
                let proxy = proxy_of(number);
                self.spawn(async move { proxy.kill(duration, &checker).await });
            }
            TroubleKind::Restart { proxy, signals, is_crowded, hanging_host } => {
                let proxy = proxy_of(proxy);
                self.spawn(async move {
                    let group = hanging_host.map_or(0..0, |host| hosts.group_of(host));
                    group.clone().for_each(|host| hosts.set_mode(host, Mode::Hangs));
                    proxy.restart(signals, is_crowded, &checker).await;
                    group.for_each(|host| hosts.set_mode(host, Mode::Normal));
                });
            }
            TroubleKind::UpgradeTwice(number) => {
                let proxy = proxy_of(number);
                self.spawn(async move { proxy.upgrade_twice(duration, &checker).await });
            }
            TroubleKind::StopWhileStarting(number) => {
                let proxy = proxy_of(number);
                self.spawn(async move { proxy.stop_while_starting(&checker).await });
            }
            TroubleKind::Crowd(number) => {
                let proxy = proxy_of(number);
                self.spawn(async move { proxy.crowd(duration).await });
            }
            TroubleKind::Flood { proxy, flood, clients } => {
                let (proxy, duration) = (proxy_of(proxy), duration + MIN_FLOOD_DURATION);
                self.spawn(async move { proxy.flood(flood, clients, duration).await });
            }
            TroubleKind::Upgrade(number) => {
                let proxy = proxy_of(number);
                self.spawn(async move { proxy.upgrade(duration, &checker).await });
            }
            TroubleKind::Freeze(number) => {
                let proxy = proxy_of(number);
                self.spawn(async move { proxy.freeze(duration).await });
            }
            TroubleKind::Reload { proxy, times } => {
                let proxy = proxy_of(proxy);
                self.spawn(async move { proxy.reload(times, &checker).await });
            }
            TroubleKind::InvalidReload(number) => {
                let proxy = proxy_of(number);
                self.spawn(async move { proxy.reload_invalid(&checker).await });
            }
            TroubleKind::LeaveOut { proxy, host } => {
                let (proxy, name) = (proxy_of(proxy), hosts.name(host));
                self.spawn(async move { proxy.leave_out(host, &name, duration, &checker).await });
            }
            TroubleKind::Host { host, mode } => self.spawn(async move {
                hosts.set_mode(host, mode);
                Timer::after(duration).await;
                hosts.set_mode(host, Mode::Normal);
            }),
            TroubleKind::Drain(host) => self.spawn(async move {
                agents.set_status(host, "DRAINING");
                Timer::after(duration).await;
                hosts.restart(host);
                agents.set_status(host, "SERVING");
            }),
            TroubleKind::Handover(host) => self.spawn(async move { hosts.hand_over(host, duration).await }),
            TroubleKind::AgentDown { proxy, leaves_calls_open } => {
                let number = proxy_of(proxy).number;
                self.spawn(async move {
                    agents.set_down(number, true, leaves_calls_open);
                    Timer::after(duration).await;
                    agents.set_down(number, false, leaves_calls_open);
                });
            }
        }
    }

    /// Runs a task beside the run.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.spawner.spawn(task);
    }

    /// Ends all processes gracefully, and checks that none reports a broken invariant or ends in another way. Returns the number
    /// of injected faults by kind.
    async fn stop_all(&self) -> BTreeMap<String, u64> {
        for proxy in &self.proxies {
            proxy.check_invariants(&self.checker).await;
        }
        for proxy in &self.proxies {
            proxy.signal_all_to_end();
        }
        let mut faults = BTreeMap::new();
        for proxy in &self.proxies {
            proxy.wait_for_all(&self.checker).await;
            proxy.read_logs(&self.checker, &mut faults);
        }
        faults
    }
}

/// Measures by how much the machine delays this process: it notices events that much later.
async fn measure_own_delay(longest: Rc<RefCell<Duration>>, checker: Rc<RefCell<Checker>>) {
    loop {
        let started = Instant::now();
        Timer::at(started + SELF_CHECK_INTERVAL).await;
        let delay = started.elapsed().saturating_sub(SELF_CHECK_INTERVAL);
        if delay > *longest.borrow() {
            *longest.borrow_mut() = delay;
        }
        checker.borrow_mut().record_observer_delay(delay);
    }
}

/// The directory of a proxy in that of the run.
fn directory_of(run_directory: &Path, proxy_number: usize) -> PathBuf {
    run_directory.join(format!("p{proxy_number}"))
}
