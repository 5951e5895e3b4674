//! Simulation of a whole deployment in one thread and in virtual time: the proxies run their own network code, among
//! simulated hosts, discovery and clients. This module sets up the machines and their processes, applies the faults of
//! the plan, decides the order of steps and checks the rules that no host, agent or client can check. It must not depend
//! on anything of the machine it runs on: one seed gives the same run, to the byte.

pub mod agent;
pub mod check;
pub mod client;
pub mod deployment;
pub mod foreign_ids;
pub mod forged_peer;
pub mod freshness;
pub mod host;
pub mod pipelines;
pub mod plan;
pub mod world;

use agent::Agent;
use async_channel::Sender;
use check::{BrokenRule, Counts, RuleChecker, RuleLimits};
use client::{Client, Target};
use deployment::Deployment;
use host::{AnswerFault, Fleet, HostMode};
use plan::{Fault, FaultKind, Plan};
use sillfold::config::Config;
use sillfold::invariants::Violation;
use sillfold::net::core::Core;
use sillfold::net::events::Events;
use sillfold::net::proxy::Proxy;
use sillfold::net::scheduler::{Scheduler, Spawner};
use sillfold::net::upgrade::Upgrade;
use sillfold::net::work;
use sillfold::net::world::{self as net_world, Listener};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Wake, Waker};
use world::{Machine, Micros, World};

/// Largest number of open descriptors of a proxy, on its machine and in its settings.
const PROXY_DESCRIPTORS: usize = 192;
/// Largest number of open descriptors of any other machine.
const MACHINE_DESCRIPTORS: usize = 4_096;
/// Steps of tasks without progress of time after which the simulation reports a busy loop.
const MAX_STEPS_AT_ONE_TIME: u64 = 400_000;
/// The most work that one poll of a proxy's task may do: about a millisecond.
const MAX_POLL_WORK: u64 = work::MAX_POLL + work::MAX_STEP;
/// How long answers may take after the last request, in microseconds.
const ANSWER_TIMEOUT_US: Micros = 7_000_000;
/// How long a proxy may take to stop, in microseconds.
const STOP_TIMEOUT_US: Micros = 4_500_000;
/// Clients of a proxy that share each of its sessions.
const CLIENTS_PER_SESSION: usize = 3;
/// One client in this many sends requests to all proxies.
const ROAMING_CLIENT_ONE_IN: usize = 6;
/// How long a process may take until it is ready, while it can reach discovery, in microseconds.
const READY_TIMEOUT_US: Micros = 10_000_000;

/// The bounds of the rules for a run of this plan and deployment.
fn rule_limits(plan: &Plan, deployment: &Deployment) -> RuleLimits {
    let has_write_delays = plan.faults.iter().any(|f| matches!(f.kind, FaultKind::WriteDelays(..)));
    RuleLimits {
        max_write_delay: if has_write_delays { world::MAX_WRITE_DELAY_US } else { 0 },
        drain_grace: deployment::DRAIN_GRACE_US,
        cold_start_capacity: deployment::COLD_START_CAPACITY,
        cold_duration: deployment::COLD_DURATION_US,
        overload_multiple: deployment::OVERLOAD_MULTIPLE,
        overload_duration: deployment::OVERLOAD_DURATION_US,
        max_attempts: deployment.max_attempts,
        tokens: deployment.tokens,
        answer_positions: deployment.answer_positions,
        disconnect_grace: 100_000,
        network_delay: 20_000,
        cores: host::CORES_PER_HOST as f64,
    }
}

/// The result of a simulation run.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Hash of the trace.
    pub hash: u64,
    /// Number of lines of the trace.
    pub lines: u64,
    /// Number of steps of tasks.
    pub steps: u64,
    /// Counts of requests, results and attempts.
    pub counts: Counts,
    /// Violations that the proxies themselves reported, with their number.
    pub violations: BTreeMap<Violation, u64>,
    /// The first violated rule, the step at which it was violated, and the lines of the trace about it.
    pub broken: Option<(BrokenRule, u64, Vec<String>)>,
    /// The whole trace, if it was requested.
    pub trace: Vec<String>,
}

/// A process on a machine.
struct Process {
    machine: Machine,
    /// Runs the tasks of the process; none once the process has been killed.
    scheduler: Option<Rc<Scheduler>>,
    /// The process hangs: none of its tasks runs.
    frozen: bool,
    /// The number of steps after which the process is killed, if it is to be killed.
    kill_after_steps: Option<u64>,
    /// Completes once a task can run; set while no task can run.
    next_task: Option<Pin<Box<dyn Future<Output = ()>>>>,
    is_runnable: Arc<Runnable>,
}

/// A flag that is set while a process may have a task that can run.
struct Runnable(AtomicBool);

impl Wake for Runnable {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Process {
    /// Whether a task of the process may be able to run. Most processes are skipped by this check after each step of the
    /// world.
    fn is_runnable(&self) -> bool {
        self.is_runnable.0.load(Ordering::Relaxed) && self.scheduler.is_some() && !self.frozen
    }

    /// Marks the process as not runnable until one of its tasks can run.
    fn wait_for_task(&mut self) {
        let Some(scheduler) = self.scheduler.clone() else { return };
        self.is_runnable.0.store(false, Ordering::Relaxed);
        let mut next_task: Pin<Box<dyn Future<Output = ()>>> =
            Box::pin(async move { scheduler.tick().await });
        let waker = Waker::from(self.is_runnable.clone());
        if next_task.as_mut().poll(&mut Context::from_waker(&waker)).is_ready() {
            self.is_runnable.0.store(true, Ordering::Relaxed);
            return;
        }
        self.next_task = Some(next_task);
    }
}

/// A running process of a proxy.
struct RunningProxy {
    process: usize,
    machine: Machine,
    /// Since when the process is not ready although it could reach discovery; none once it is ready.
    unready_since: Cell<Option<Micros>>,
    core: Rc<Core>,
    upgrade: Rc<Upgrade>,
    clients: Rc<sillfold::net::client::Clients>,
    hosts: Rc<sillfold::net::hosts::Hosts>,
    /// Tells the process to stop.
    stop: Sender<()>,
    /// Whether the process has stopped.
    done: Rc<Cell<bool>>,
}

/// The state of a simulation run.
struct Simulation {
    world: Rc<World>,
    fleet: Rc<Fleet>,
    agent: Rc<Agent>,
    /// The machine and the address of discovery.
    agent_at: (Machine, SocketAddr),
    processes: Vec<Process>,
    /// Index of the process of each host.
    hosts: Vec<usize>,
    /// The current process of each proxy; none while the proxy is down.
    proxies: Vec<Option<RunningProxy>>,
    /// Replaced processes of each proxy that still run beside the current one.
    replaced: Vec<Vec<RunningProxy>>,
    /// Hosts that operators leave out at each proxy, as the proxy's files say.
    overridden: Vec<BTreeSet<usize>>,
    /// Processes that were told to stop, with the time by which they must have stopped.
    stopping: Vec<(RunningProxy, Micros)>,
    /// Each proxy as its clients know it.
    targets: Vec<Rc<Target>>,
    /// Machines of well-behaved clients.
    client_machines: BTreeSet<Machine>,
    /// Machines whose process was killed.
    killed: BTreeSet<Machine>,
    /// Number of well-behaved clients so far.
    clients: usize,
    /// Event counters of each process of a proxy, also of those that have ended.
    events: Vec<Rc<Events>>,
    plan: Plan,
    steps: u64,
}

/// The address of the `n`th machine of a kind: 1 discovery, 2 hosts, 3 proxies, 4 the proxies' peer sockets.
fn address(kind: u8, n: usize, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, kind, (n / 250) as u8, (n % 250) as u8 + 1)), port)
}

/// Runs a simulation. With `whole_trace`, the outcome holds the whole trace.
pub fn run(plan: &Plan, whole_trace: bool) -> Outcome {
    let world = World::new(plan.seed, plan.partial_io, whole_trace);
    let deployment = plan.deployment();
    let checker = RuleChecker::new(rule_limits(plan, &deployment));
    let fleet = Rc::new(Fleet::new(world.clone(), checker, deployment));
    let machine = world.add_machine(MACHINE_DESCRIPTORS);
    let agent = Rc::new(Agent::new(fleet.clone(), machine));
    let mut simulation = Simulation {
        agent_at: (machine, address(1, 0, 80)),
        world,
        fleet,
        agent,
        processes: Vec::new(),
        hosts: Vec::new(),
        proxies: Vec::new(),
        replaced: Vec::new(),
        overridden: Vec::new(),
        stopping: Vec::new(),
        targets: Vec::new(),
        client_machines: BTreeSet::new(),
        killed: BTreeSet::new(),
        clients: 0,
        events: Vec::new(),
        plan: plan.clone(),
        steps: 0,
    };
    simulation.set_up();
    simulation.run();
    let broken = simulation.fleet.checker.borrow_mut().broken.take();
    let broken = broken.map(|b| {
        let about = simulation.world.trace_tail(&b.trace_terms);
        (b, simulation.steps, about)
    });
    let ((hash, lines), counts) = (simulation.world.trace_hash(), simulation.fleet.checker.borrow().counts);
    let violations = simulation.violations();
    Outcome {
        hash,
        lines,
        steps: simulation.steps,
        counts,
        violations,
        broken,
        trace: simulation.world.take_trace(),
    }
}

/// Looks for the smallest plan that violates the same rule, with at most `tries` runs.
pub fn shrink(plan: &Plan, rule: &str, tries: usize) -> Plan {
    let (mut best, mut tries_left) = (plan.clone(), tries);
    'smaller: loop {
        for next in best.smaller() {
            if tries_left == 0 {
                return best;
            }
            tries_left -= 1;
            if run(&next, false).broken.is_some_and(|b| b.0.rule == rule) {
                best = next;
                continue 'smaller;
            }
        }
        return best;
    }
}

impl Simulation {
    /// Adds a process on a machine. Returns its index and its scheduler.
    fn add_process(&mut self, machine: Machine) -> (usize, Rc<Scheduler>) {
        let scheduler = Scheduler::new();
        self.processes.push(Process {
            machine,
            scheduler: Some(scheduler.clone()),
            frozen: false,
            kill_after_steps: None,
            next_task: None,
            is_runnable: Arc::new(Runnable(AtomicBool::new(true))),
        });
        (self.processes.len() - 1, scheduler)
    }

    /// Adds a process that serves connections at an address.
    fn start_server<F: Future<Output = ()> + 'static>(
        &mut self, machine: Machine, at: SocketAddr, serve: impl FnOnce(Listener, Spawner) -> F,
    ) -> usize {
        let (process, scheduler) = self.add_process(machine);
        let view = self.world.view_from(machine);
        let listener = net_world::with(view, || Listener::alone(at));
        if let Ok(listener) = listener {
            Spawner::of(&scheduler).spawn(serve(listener, Spawner::of(&scheduler)));
        }
        process
    }

    /// Starts discovery, the hosts, the proxies and the clients.
    fn set_up(&mut self) {
        let (groups, members) = (self.plan.groups, self.plan.members);
        for host in 0..groups * members {
            let at = address(2, host, 5432);
            let zone = self.fleet.deployment.zone_of(host);
            self.fleet.add_host(host / members, zone, at, host % members == 0);
        }
        let agent = self.agent.clone();
        let (machine, at) = self.agent_at;
        self.start_server(machine, at, |listener, spawner| {
            spawner.spawn(agent.clone().record_list_deadlines());
            agent.serve(listener, spawner)
        });
        for host in 0..groups * members {
            let machine = self.world.add_machine(MACHINE_DESCRIPTORS);
            let process = self.start_host_process(host, machine);
            self.hosts.push(process);
        }
        for proxy in 0..self.plan.proxies {
            let until = self.plan.for_ms * 1_000;
            let (killed_at, in_flight) = (Cell::new(None), Cell::new(0));
            self.targets.push(Rc::new(Target {
                address: address(3, proxy, 5433),
                killed_at,
                until,
                in_flight,
            }));
            self.proxies.push(None);
            self.replaced.push(Vec::new());
            self.overridden.push(BTreeSet::new());
            self.start_proxy(proxy);
        }
        for proxy in 0..self.plan.proxies {
            let machine = self.world.add_machine(MACHINE_DESCRIPTORS);
            self.client_machines.insert(machine);
            let (_, scheduler) = self.add_process(machine);
            for _ in 0..self.plan.clients {
                let client = self.new_client(proxy);
                Spawner::of(&scheduler).spawn(client::run_client(self.fleet.clone(), client));
            }
        }
    }

    /// Creates a client of a proxy, or of all proxies for some clients.
    fn new_client(&mut self, proxy: usize) -> Client {
        self.clients += 1;
        let (number, rest_ms, groups) = (self.clients, self.plan.rest_ms, self.plan.groups);
        let shared = self.plan.clients.div_ceil(CLIENTS_PER_SESSION) as u64;
        let roams = number.is_multiple_of(ROAMING_CLIENT_ONE_IN);
        let targets = if roams { self.targets.clone() } else { vec![self.targets[proxy].clone()] };
        Client { number, targets, sessions: (proxy as u64 * shared, shared), groups, rest_ms }
    }

    /// Starts a host's process on its machine.
    fn start_host_process(&mut self, host: usize, machine: Machine) -> usize {
        let at = self.fleet.hosts.borrow()[host].address;
        let fleet = self.fleet.clone();
        self.start_server(machine, at, |listener, spawner| fleet.serve(host, listener, spawner))
    }

    /// Starts a process of a proxy, on a machine of its own with the proxy's disk. A running process keeps running.
    fn start_proxy(&mut self, ordinal: usize) {
        let machine = self.world.add_machine_with_disk(PROXY_DESCRIPTORS, ordinal);
        let (process, scheduler) = self.add_process(machine);
        let settings = self.fleet.deployment.settings(ordinal, self.plan.proxies, self.plan.peer_messages);
        let mut text = serde_json::json!({
            "name": format!("p{ordinal}"), "listen": self.targets[ordinal].address.to_string(),
            "discovery": self.agent_at.1.to_string(),
            "seed": format!("{:x}", self.world.draw_below(u64::MAX)),
            "limits": {"sockets": PROXY_DESCRIPTORS, "memory_mb": 48},
            "linger_ms": 300, "settings": settings,
        });
        if self.plan.peer_messages {
            text["peer_listen"] = address(4, ordinal, 7946).to_string().into();
            text["peers"] = (0..self.plan.proxies).map(|peer| address(4, peer, 7946).to_string()).collect();
        }
        let started = net_world::with(self.world.view_from(machine), || {
            let mut config = Config::from_text(text.to_string().as_bytes(), Some("/tmp/proxy".into()))?;
            Proxy::start(&mut config, &Default::default(), &Spawner::of(&scheduler))
        });
        let proxy = match started {
            Ok(proxy) => proxy,
            Err(what) => return self.report_violation("it starts", what),
        };
        let (stop, stopped) = async_channel::bounded(1);
        let done = Rc::new(Cell::new(false));
        let (core, clients, hosts) = (proxy.core.clone(), proxy.clients.clone(), proxy.hosts.clone());
        let upgrade = proxy.upgrade.clone();
        self.events.push(core.events.clone());
        // Manual overrides of hosts outlast the process that received them.
        for host in &self.overridden[ordinal] {
            self.fleet.checker.borrow_mut().record_override(machine, *host, true, self.world.now());
        }
        let has_stopped = done.clone();
        let run = async move {
            let _ = proxy.run(stopped).await;
            has_stopped.set(true);
        };
        Spawner::of(&scheduler).spawn(run);
        self.agent.proxy_started(machine);
        let unready_since = Cell::new(Some(self.world.now()));
        self.proxies[ordinal] =
            Some(RunningProxy { process, machine, unready_since, core, upgrade, clients, hosts, stop, done });
    }

    /// Records the violation of a rule.
    fn report_violation(&self, rule: &'static str, what: String) {
        self.fleet.checker.borrow_mut().record_broken_rule(rule, self.world.now(), what, &[]);
    }

    /// Whether a rule was violated.
    fn is_broken(&self) -> bool {
        self.fleet.checker.borrow().broken.is_some()
    }

    /// Runs the simulation until a rule is violated or the time is over.
    fn run(&mut self) {
        // The begin and the end of each fault, by time and order; the flag is true for the begin.
        let mut fault_schedule: BTreeMap<(Micros, usize), (Fault, bool)> = BTreeMap::new();
        for (number, fault) in self.plan.faults.iter().enumerate() {
            fault_schedule.insert((fault.at_ms * 1_000, 2 * number), (fault.clone(), true));
            fault_schedule
                .insert(((fault.at_ms + fault.for_ms) * 1_000, 2 * number + 1), (fault.clone(), false));
        }
        let last_request = self.plan.for_ms * 1_000;
        let stop_time = last_request + ANSWER_TIMEOUT_US;
        let end = last_request + ANSWER_TIMEOUT_US + STOP_TIMEOUT_US;
        let (mut are_stopped, mut ended) = (false, false);
        while !self.is_broken() {
            self.run_tasks();
            self.check_world();
            let next_time = fault_schedule.first_key_value().map_or(end, |(key, _)| key.0.min(end));
            let next_time = if are_stopped { next_time } else { next_time.min(stop_time) };
            if self.world.step(next_time) {
                continue;
            }
            if let Some(entry) = fault_schedule.first_entry().filter(|e| e.key().0 <= next_time) {
                let (fault, begins) = entry.remove();
                self.apply_fault(&fault, begins);
            } else if !are_stopped {
                are_stopped = true;
                self.stop_all();
            } else if self.world.now() >= end {
                ended = true;
                break;
            }
            self.check_stopping();
        }
        if ended && !self.is_broken() {
            self.check_end();
        }
    }

    /// Checks the rules that no host, agent or client can check: connections closed while sent bytes were unread, and
    /// processes that do not become ready.
    fn check_world(&self) {
        for (from, to) in self.world.take_closed_with_unread_data() {
            // A killed process cannot choose when it closes its connections.
            if self.client_machines.contains(&from) && !self.killed.contains(&to) {
                let what =
                    format!("machine {to} closed a connection while bytes from machine {from} were unread");
                self.report_violation("no close over what was sent", what);
            }
        }
        let now = self.world.now();
        for running in self.proxies.iter().flatten() {
            let Some(since) = running.unready_since.get() else { continue };
            let ready = net_world::with(self.world.view_from(running.machine), || running.core.is_ready());
            let since = Some(since).filter(|_| !ready);
            // The process cannot learn the list of hosts while discovery cannot reach it.
            let is_blocked = self.world.is_blocked(self.agent_at.0, running.machine);
            running.unready_since.set(since.map(|since| if is_blocked { now } else { since }));
            if since.is_some_and(|since| !is_blocked && now > since + READY_TIMEOUT_US) {
                self.report_violation(
                    "ready in time",
                    format!("machine {} is not ready after {READY_TIMEOUT_US} us", running.machine),
                );
            }
        }
    }

    /// Runs all tasks that can run at the present time.
    fn run_tasks(&mut self) {
        let mut steps_at_one_time = 0;
        loop {
            let before = self.steps;
            for index in 0..self.processes.len() {
                let process = &mut self.processes[index];
                if !process.is_runnable() || self.world.is_delayed(process.machine) {
                    continue;
                }
                process.next_task = None;
                let machine = process.machine;
                let Some(scheduler) = process.scheduler.clone() else { continue };
                let (view, kill_after_steps) =
                    (self.world.view_from(process.machine), process.kill_after_steps);
                let max_ticks = kill_after_steps.unwrap_or(u64::MAX).min(1_000);
                let ticks = net_world::with(view, || {
                    let mut ticks = 0;
                    while ticks < max_ticks && scheduler.try_tick() {
                        ticks += 1;
                    }
                    ticks
                });
                if ticks < max_ticks {
                    process.wait_for_task();
                }
                let most_work = scheduler.most_work();
                drop(scheduler);
                self.steps += ticks;
                if most_work > MAX_POLL_WORK {
                    let what = format!("work of {most_work} units without a pause, on machine {machine}");
                    self.report_violation("no task holds the core", what);
                }
                if let Some(left) = kill_after_steps {
                    if left <= ticks {
                        self.kill(index);
                    } else {
                        self.processes[index].kill_after_steps = Some(left - ticks);
                    }
                }
                if self.is_broken() {
                    return;
                }
            }
            steps_at_one_time += self.steps - before;
            if steps_at_one_time > MAX_STEPS_AT_ONE_TIME {
                return self
                    .report_violation("nothing waits for ever", "tasks keep running at one time".into());
            }
            if self.steps == before {
                return;
            }
        }
    }

    /// Kills a process at once; its machine closes the connections that it had open.
    fn kill(&mut self, process: usize) {
        let p = &mut self.processes[process];
        (p.kill_after_steps, p.next_task) = (None, None);
        let (scheduler, machine) = (p.scheduler.take(), p.machine);
        let killed: Vec<usize> = (0..self.proxies.len())
            .filter(|n| self.proxies[*n].as_ref().is_some_and(|r| r.process == process))
            .collect();
        self.world.trace(|| format!("the process on machine {machine} is killed"));
        for n in killed {
            self.targets[n].killed_at.set(Some(self.world.now()));
            self.proxies[n] = None;
        }
        for n in 0..self.replaced.len() {
            let before = self.replaced[n].len();
            self.replaced[n].retain(|r| r.process != process);
            if self.replaced[n].len() < before {
                self.targets[n].killed_at.set(Some(self.world.now()));
            }
        }
        self.killed.insert(machine);
        net_world::with(self.world.view_from(machine), || drop(scheduler));
    }

    /// Applies the begin or the end of a fault.
    fn apply_fault(&mut self, fault: &Fault, begins: bool) {
        self.world.trace(|| format!("{:?} {}", fault.kind, if begins { "begins" } else { "ends" }));
        let (hosts, members) = (self.hosts.len(), self.plan.members);
        let host_index = |number: usize| number % hosts;
        let proxies = self.plan.proxies;
        match fault.kind {
            FaultKind::ZonePowerLoss(zone) => {
                for host in 0..hosts {
                    if self.fleet.hosts.borrow()[host].zone == zone {
                        if begins { self.power_off_host(host) } else { self.restart_host(host) }
                    }
                }
            }
            FaultKind::HostKilled(host) if begins => {
                let process = self.hosts[host_index(host)];
                self.kill(process);
            }
            FaultKind::HostKilled(host) => self.restart_host(host_index(host)),
            FaultKind::HostHung(host) => {
                let process = self.hosts[host_index(host)];
                self.processes[process].frozen = begins;
            }
            FaultKind::PrimaryHandover(group) => {
                let first = group % self.plan.groups * members;
                let present = (first..first + members).find(|host| self.fleet.hosts.borrow()[*host].primary);
                match (begins, present) {
                    (true, Some(old)) => self.fleet.set_role(old, false),
                    (false, None) => {
                        // Any host of the group may become the primary: a primary has applied addresses commits, whatever its lag was.
                        let host = first + self.world.draw_below(members as u64) as usize;
                        self.fleet.set_role(host, true);
                    }
                    _ => {}
                }
            }
            FaultKind::ReplicaLag(host, ms) => {
                let lag = if begins { ms * 1_000 } else { self.fleet.usual_lag() };
                self.fleet.set_lag(host_index(host), lag);
            }
            FaultKind::HostErrors(host) | FaultKind::InvalidAnswers(host) => {
                let mode = match fault.kind {
                    _ if !begins => HostMode::Healthy,
                    FaultKind::HostErrors(_) => HostMode::Errors,
                    _ => HostMode::Garbage,
                };
                self.fleet.hosts.borrow_mut()[host_index(host)].mode = mode;
            }
            FaultKind::SlowHost(host, times) => {
                self.fleet.hosts.borrow_mut()[host_index(host)].slowdown = if begins { times } else { 1 };
            }
            FaultKind::HostDrain(host) if begins => {
                self.fleet.change(host_index(host), |h| h.status = "DRAINING")
            }
            FaultKind::HostDrain(host) => {
                self.kill(self.hosts[host_index(host)]);
                self.restart_host(host_index(host));
                self.fleet.change(host_index(host), |h| h.status = "SERVING");
            }
            FaultKind::ProxyToHostCut(proxy, host) | FaultKind::HostToProxyCut(proxy, host) => {
                let Some(running) = &self.proxies[proxy % proxies] else { return };
                let (host_machine, proxy_machine) = (
                    self.processes[self.hosts[host_index(host)]].machine,
                    self.processes[running.process].machine,
                );
                let (from, to) = if matches!(fault.kind, FaultKind::ProxyToHostCut(..)) {
                    (proxy_machine, host_machine)
                } else {
                    (host_machine, proxy_machine)
                };
                self.world.set_blocked(from, to, begins);
            }
            FaultKind::DiscoveryUnreachable(proxy) => {
                let Some(running) = &self.proxies[proxy % proxies] else { return };
                let proxy_machine = self.processes[running.process].machine;
                self.world.set_blocked(self.agent_at.0, proxy_machine, begins);
                // The proxy may or may not receive what is held back, so the rules assume nothing about what it knows
                // until it receives a list again.
                let after = if begins { self.world.now() } else { 0 };
                self.fleet.checker.borrow_mut().discard_reports_after(proxy_machine, after);
            }
            FaultKind::DiscoveryStale => {
                self.agent.stale_version.set(begins.then(|| self.fleet.list_version.get()))
            }
            FaultKind::ClockStep(proxy, ms) => {
                let by = if begins { ms } else { -ms } * 1_000;
                self.world.step_clock(proxy % proxies, by);
            }
            FaultKind::Interruptions(proxy) => {
                self.world.change_call_faults(proxy % proxies, |f| f.interrupted = begins)
            }
            FaultKind::ResourceShortage(proxy, percent) => {
                self.world.change_call_faults(proxy % proxies, |f| {
                    f.shortage_percent = if begins { percent } else { 0 }
                });
            }
            FaultKind::WriteDelays(proxy, one_in) => {
                self.world.change_call_faults(proxy % proxies, |f| {
                    f.delayed_write_one_in = if begins { one_in } else { 0 }
                });
            }
            FaultKind::DiskUnreadable(proxy) => {
                self.world.change_call_faults(proxy % proxies, |f| f.unreadable_files = begins)
            }
            FaultKind::ProxyKilled(proxy, steps) if begins => {
                if let Some(running) = &self.proxies[proxy % proxies] {
                    self.processes[running.process].kill_after_steps = Some(steps.max(1));
                }
            }
            FaultKind::ProxyKilled(proxy, _) => {
                if let Some(running) = &self.proxies[proxy % proxies] {
                    // The process had fewer steps to do than the fault waits for, so it is killed now.
                    let process = running.process;
                    if self.processes[process].kill_after_steps.is_some() {
                        self.kill(process);
                    }
                }
                if self.proxies[proxy % proxies].is_none() {
                    self.start_proxy(proxy % proxies);
                }
            }
            FaultKind::ProxyReplaced(proxy) if begins => {
                // At most two versions of a proxy run at a time.
                if self.replaced[proxy % proxies].is_empty()
                    && let Some(old) = self.proxies[proxy % proxies].take()
                {
                    self.start_proxy(proxy % proxies);
                    self.replaced[proxy % proxies].push(old);
                }
            }
            FaultKind::ProxyReplaced(proxy) => {
                for old in std::mem::take(&mut self.replaced[proxy % proxies]) {
                    self.stop_proxy(old);
                }
            }
            FaultKind::SilentWatches if begins => self.agent.silence_watches(),
            FaultKind::SilentWatches => {}
            FaultKind::LateSessions(host, ms) => {
                self.fleet.hosts.borrow_mut()[host_index(host)].session_delay =
                    if begins { ms * 1_000 } else { 0 };
            }
            FaultKind::CutAnswers(host, percent) => {
                self.set_answer_fault(host_index(host), begins, (AnswerFault::Cut, percent));
            }
            FaultKind::LostAnswers(host, percent) => {
                self.set_answer_fault(host_index(host), begins, (AnswerFault::Lost, percent));
            }
            FaultKind::DelayedAnswers(host, percent, ms) => {
                self.set_answer_fault(host_index(host), begins, (AnswerFault::Delayed(ms * 1_000), percent));
            }
            FaultKind::RoleOnlyAnswers(host, percent) => {
                self.set_answer_fault(host_index(host), begins, (AnswerFault::RoleOnly, percent));
            }
            FaultKind::HostOverride(proxy, host) => {
                self.override_host(proxy % proxies, host_index(host), begins)
            }
            FaultKind::DiskFull(proxy) => self.world.set_disk_full(proxy % proxies, begins),
            FaultKind::TruncatedFile(proxy) if begins => {
                let truncated = self.world.truncate_random_file(proxy % proxies);
                self.world.trace(|| format!("{truncated:?} is truncated"));
                // The next process may not know the override that the file held.
                self.overridden[proxy % proxies].clear();
            }
            FaultKind::TruncatedFile(_) => {}
            FaultKind::MisbehavingClients(proxy, count) if begins => {
                self.start_clients(fault, proxy, count, client::run_misbehaving_client);
            }
            FaultKind::FloodingClients(proxy, count) if begins => {
                self.start_clients(fault, proxy, count, client::run_flooding_client);
            }
            FaultKind::ForeignIds(proxy, count) if begins => {
                self.start_clients(fault, proxy, count, foreign_ids::run_foreign_id_client);
            }
            FaultKind::PipeliningClients(proxy, count) if begins && self.plan.groups > 1 => {
                self.start_clients(fault, proxy, count, pipelines::run_pipelining_client);
            }
            FaultKind::ForeignIds(..) | FaultKind::PipeliningClients(..) => {}
            FaultKind::MisbehavingClients(..) | FaultKind::FloodingClients(..) => {}
            FaultKind::ForgedPeer(proxy) if begins && self.plan.peer_messages => {
                let machine = self.world.add_machine(MACHINE_DESCRIPTORS);
                let (_, scheduler) = self.add_process(machine);
                let until = (fault.at_ms + fault.for_ms) * 1_000;
                let addresses = (0..proxies).map(|peer| address(4, peer, 7946)).collect();
                Spawner::of(&scheduler).spawn(forged_peer::run(
                    self.fleet.clone(),
                    addresses,
                    proxy % proxies,
                    until,
                ));
            }
            FaultKind::ForgedPeer(_) => {}
        }
    }

    /// Starts clients of a proxy, which run until the end of the fault.
    fn start_clients<F: Future<Output = ()> + 'static>(
        &mut self, fault: &Fault, proxy: usize, count: u64, run: impl Fn(Rc<Fleet>, Rc<Target>, Micros) -> F,
    ) {
        let machine = self.world.add_machine(MACHINE_DESCRIPTORS);
        let (_, scheduler) = self.add_process(machine);
        let until = (fault.at_ms + fault.for_ms) * 1_000;
        for _ in 0..count {
            let target = self.targets[proxy % self.targets.len()].clone();
            Spawner::of(&scheduler).spawn(run(self.fleet.clone(), target, until));
        }
    }

    /// Applies or ends a fault of a percentage of a host's answers.
    fn set_answer_fault(&self, host: usize, begins: bool, fault: (AnswerFault, u64)) {
        self.fleet.hosts.borrow_mut()[host].answer_fault = if begins { fault } else { Default::default() };
    }

    /// Operators leave a host out at a proxy, or use it again. Both versions of the proxy must follow.
    fn override_host(&mut self, proxy: usize, host: usize, out: bool) {
        let Some(running) = &self.proxies[proxy] else { return };
        let name = self.fleet.hosts.borrow()[host].name.clone();
        // The proxy does not know the name before it has received a list.
        if !running.core.knows_host(&name) {
            return;
        }
        let result = net_world::with(self.world.view_from(running.machine), || {
            running.upgrade.set_override(&name, out)
        });
        self.world.trace(|| format!("proxy {proxy}: host {host} is overridden, out {out}: {result:?}"));
        if result.is_err() {
            return;
        }
        let (now, mut checker) = (self.world.now(), self.fleet.checker.borrow_mut());
        checker.record_override(running.machine, host, out, now);
        for other in &self.replaced[proxy] {
            // Connected versions look for each other's overrides every 50 ms, so the other one counts as notified after
            // 60 ms.
            if !out || other.upgrade.has_other_process() {
                checker.record_override(other.machine, host, out, now + 60_000);
            }
        }
        // A stopping process learns that a host is used again for as long as it runs.
        for (other, _) in self.stopping.iter().filter(|_| !out) {
            checker.record_override(other.machine, host, false, now);
        }
        if out {
            self.overridden[proxy].insert(host);
        } else {
            self.overridden[proxy].remove(&host);
        }
    }

    /// Switches off the power of a host's machine, and kills its process.
    fn power_off_host(&mut self, host: usize) {
        let process = self.hosts[host];
        self.world.set_powered(self.processes[process].machine, false);
        self.kill(process);
    }

    /// Starts a cold process on the machine of a host that lost its process or its power. Does nothing if it runs.
    fn restart_host(&mut self, host: usize) {
        let process = self.hosts[host];
        let machine = self.processes[process].machine;
        if self.processes[process].scheduler.is_some() {
            return;
        }
        self.world.set_powered(machine, true);
        let now = self.world.now();
        self.fleet.start_process(host, now);
        self.fleet.change(host, |_| {});
        self.hosts[host] = self.start_host_process(host, machine);
    }

    /// Tells a process of a proxy to stop.
    fn stop_proxy(&mut self, running: RunningProxy) {
        let _ = running.stop.try_send(());
        let by = self.world.now() + STOP_TIMEOUT_US;
        self.stopping.push((running, by));
    }

    /// Checks the stopping processes: removes those that have stopped, and reports those that take too long.
    fn check_stopping(&mut self) {
        let now = self.world.now();
        for (running, by) in std::mem::take(&mut self.stopping) {
            if running.done.get() {
                if let Err(what) = self.check_released(&running) {
                    self.report_violation("everything is given back", format!("after its stop: {what}"));
                }
                self.kill(running.process);
                // The process stopped by itself: the rules for killed processes do not apply to it.
                self.killed.remove(&running.machine);
            } else if now >= by {
                self.report_violation("nothing waits for ever", "a proxy has not stopped in time".into());
            } else {
                self.stopping.push((running, by));
            }
        }
    }

    /// Checks that an idle proxy holds nothing but idle connections. The error says what it holds.
    fn check_released(&self, running: &RunningProxy) -> Result<(), String> {
        let clients = running.clients.admission.usage();
        let bytes = clients.received_bytes + clients.answer_bytes;
        let figures = serde_json::to_value(running.core.figures()).unwrap_or_default();
        let in_flight = figures["inflight"].as_u64().unwrap_or(u64::MAX);
        let machine = self.processes[running.process].machine;
        let (open, hosts) = (self.world.open_descriptors(machine), running.hosts.open_connections());
        let counted = clients.connections + hosts;
        match () {
            () if in_flight > 0 => Err(format!("{in_flight} requests are still open")),
            () if bytes > 0 => Err(format!("{bytes} bytes of clients are still reserved")),
            // A connect attempt is counted before its descriptor is open.
            () if counted > open + 2 => Err(format!("{counted} descriptors are counted, {open} are open")),
            // Besides the counted ones: a watch of discovery, the connections between versions, and the peer socket.
            () if open
                > counted
                    + 1
                    + running.upgrade.connections().max(2)
                    + usize::from(self.plan.peer_messages) =>
            {
                Err(format!("{open} descriptors are open, {counted} of them accounted for"))
            }
            () => Ok(()),
        }
    }

    /// Stops all proxies once clients send no requests and all answers are due, and checks what the proxies hold.
    fn stop_all(&mut self) {
        for proxy in 0..self.proxies.len() {
            let out = self.targets[proxy].in_flight.get();
            if out > 0 {
                self.report_violation(
                    "nothing waits for ever",
                    format!("{out} requests at proxy {proxy} have not ended"),
                );
            }
            for old in std::mem::take(&mut self.replaced[proxy]) {
                self.stop_proxy(old);
            }
            if let Some(running) = self.proxies[proxy].take() {
                if let Err(what) = self.check_released(&running) {
                    self.report_violation("everything is given back", format!("proxy {proxy}, idle: {what}"));
                }
                self.stop_proxy(running);
            }
        }
    }

    /// Violations that the proxies themselves reported, with their number.
    fn violations(&self) -> BTreeMap<Violation, u64> {
        let mut all = BTreeMap::new();
        for events in &self.events {
            let broken = events.violations().into_iter().filter(|(_, count)| *count > 0);
            broken.for_each(|(what, count)| *all.entry(what).or_default() += count);
        }
        all
    }

    /// Checks that everything has ended at the end of the run.
    fn check_end(&mut self) {
        self.check_stopping();
        if self.events.iter().any(|events| events.is_violated()) {
            self.report_violation("the proxies' own invariants hold", format!("{:?}", self.violations()));
        }
        let counts = self.fleet.checker.borrow().counts;
        if counts.asked != counts.served + counts.errors + counts.excused {
            self.report_violation(
                "one final answer in time",
                format!("the numbers of requests and of results differ: {counts:?}"),
            );
        }
    }
}
