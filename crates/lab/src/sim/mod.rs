//! A whole fleet in one thread and in virtual time: the proxy's own network code, among simulated hosts, discovery
//! and clients. It owns the day: machines, their processes, what fails, and the order of steps. It must never let
//! anything of the machine it runs on in: one seed is one day, to the byte.

pub mod agent;
pub mod check;
pub mod client;
pub mod deployment;
pub mod forged_peer;
pub mod freshness;
pub mod host;
pub mod plan;
pub mod world;

use agent::Agent;
use async_channel::Sender;
use async_executor::LocalExecutor;
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
use sillfold::net::upgrade::Upgrade;
use sillfold::net::world::{self as seam, Listener, Spawner};
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

/// Descriptors of a proxy, as its settings have it, and of other machines.
const SOCKETS: usize = 192;
const MANY: usize = 4_096;
/// So many steps of tasks without time moving on: something spins.
const SPINS: u64 = 400_000;
/// After the last request, how long answers may take; then how long a stop may take.
const REST: Micros = 7_000_000;
const STOP: Micros = 4_500_000;
/// Clients of a proxy that share each of its sessions, and one client in so many that roams over all proxies.
const CLIENTS_OF_A_SESSION: usize = 3;
const ROAMS_ONE_IN: usize = 6;
/// A process that starts is ready by then, where discovery can be reached.
const READY: Micros = 10_000_000;

/// The figures of the rules on a day of this deployment.
fn rule_limits(plan: &Plan, deployment: &Deployment) -> RuleLimits {
    let holds_up = plan.faults.iter().any(|f| matches!(f.kind, FaultKind::WriteDelays(..)));
    RuleLimits {
        max_write_delay: if holds_up { world::MAX_WRITE_DELAY_US } else { 0 },
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

/// What came of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The hash of the trace, and its lines.
    pub hash: u64,
    /// See there.
    pub lines: u64,
    /// Steps of tasks.
    pub steps: u64,
    /// What happened.
    pub counts: Counts,
    /// Invariants that the proxies themselves found broken, and how often.
    pub violations: BTreeMap<Violation, u64>,
    /// The first broken rule, with the step, and the lines of the trace about it.
    pub broken: Option<(BrokenRule, u64, Vec<String>)>,
    /// The whole trace, where it was asked for.
    pub trace: Vec<String>,
}

/// A process on a machine.
struct Process {
    machine: Machine,
    executor: Option<Rc<LocalExecutor<'static>>>,
    frozen: bool,
    /// To be killed after so many more steps.
    dying: Option<u64>,
    /// Waits for a task that can run, while there is none.
    idle: Option<Pin<Box<dyn Future<Output = ()>>>>,
    is_awake: Arc<Awake>,
}

/// Whether a process may have a task that can run.
struct Awake(AtomicBool);

impl Wake for Awake {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl Process {
    /// Whether a task of it may run: guards against asking every process after every step of the world.
    fn is_awake(&self) -> bool {
        self.is_awake.0.load(Ordering::Relaxed) && self.executor.is_some() && !self.frozen
    }

    /// No task of it can run: it is asked again once one can.
    fn sleeps(&mut self) {
        let Some(executor) = self.executor.clone() else { return };
        self.is_awake.0.store(false, Ordering::Relaxed);
        let mut idle: Pin<Box<dyn Future<Output = ()>>> = Box::pin(async move { executor.tick().await });
        let waker = Waker::from(self.is_awake.clone());
        if idle.as_mut().poll(&mut Context::from_waker(&waker)).is_ready() {
            self.is_awake.0.store(true, Ordering::Relaxed);
            return;
        }
        self.idle = Some(idle);
    }
}

/// A proxy's process, as the day knows it.
struct Runs {
    process: usize,
    machine: Machine,
    /// Since when it is to be ready, and could be.
    waits: Cell<Option<Micros>>,
    core: Rc<Core>,
    upgrade: Rc<Upgrade>,
    clients: Rc<sillfold::net::client::Clients>,
    hosts: Rc<sillfold::net::hosts::Hosts>,
    stop: Sender<()>,
    done: Rc<Cell<bool>>,
}

struct Day {
    world: Rc<World>,
    fleet: Rc<Fleet>,
    agent: Rc<Agent>,
    agent_at: (Machine, SocketAddr),
    processes: Vec<Process>,
    /// Process of each host.
    hosts: Vec<usize>,
    /// Processes of each proxy: the present one, and those that stop.
    proxies: Vec<Option<Runs>>,
    /// Old versions that run beside them.
    beside: Vec<Vec<Runs>>,
    /// Hosts that operators leave out at each proxy, as its files tell.
    out: Vec<BTreeSet<usize>>,
    stopping: Vec<(Runs, Micros)>,
    targets: Vec<Rc<Target>>,
    /// Machines of clients that behave.
    askers: BTreeSet<Machine>,
    /// Machines whose process was killed.
    killed: BTreeSet<Machine>,
    clients: usize,
    /// What each process counted, also of those that have ended.
    events: Vec<Rc<Events>>,
    plan: Plan,
    steps: u64,
}

fn address(kind: u8, n: usize, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, kind, (n / 250) as u8, (n % 250) as u8 + 1)), port)
}

/// Runs a day.
pub fn run(plan: &Plan, whole_trace: bool) -> Outcome {
    let world = World::new(plan.seed, plan.partial_io, whole_trace);
    let deployment = plan.deployment();
    let checker = RuleChecker::new(rule_limits(plan, &deployment));
    let fleet = Rc::new(Fleet::new(world.clone(), checker, deployment));
    let machine = world.add_machine(MANY);
    let agent = Rc::new(Agent::new(fleet.clone(), machine));
    let mut day = Day {
        agent_at: (machine, address(1, 0, 80)),
        world,
        fleet,
        agent,
        processes: Vec::new(),
        hosts: Vec::new(),
        proxies: Vec::new(),
        beside: Vec::new(),
        out: Vec::new(),
        stopping: Vec::new(),
        targets: Vec::new(),
        askers: BTreeSet::new(),
        killed: BTreeSet::new(),
        clients: 0,
        events: Vec::new(),
        plan: plan.clone(),
        steps: 0,
    };
    day.begin();
    day.go();
    let broken = day.fleet.checker.borrow_mut().broken.take();
    let broken = broken.map(|b| {
        let about = day.world.trace_tail(&b.trace_terms);
        (b, day.steps, about)
    });
    let ((hash, lines), counts) = (day.world.trace_hash(), day.fleet.checker.borrow().counts);
    let violations = day.violations();
    Outcome { hash, lines, steps: day.steps, counts, violations, broken, trace: day.world.take_trace() }
}

/// Smaller plans that break the same rule, as far as so many tries find.
pub fn shrink(plan: &Plan, rule: &str, tries: usize) -> Plan {
    let (mut best, mut left) = (plan.clone(), tries);
    'smaller: loop {
        for next in best.smaller() {
            if left == 0 {
                return best;
            }
            left -= 1;
            if run(&next, false).broken.is_some_and(|b| b.0.rule == rule) {
                best = next;
                continue 'smaller;
            }
        }
        return best;
    }
}

impl Day {
    fn process(&mut self, machine: Machine) -> (usize, Rc<LocalExecutor<'static>>) {
        let executor = Rc::new(LocalExecutor::new());
        self.processes.push(Process {
            machine,
            executor: Some(executor.clone()),
            frozen: false,
            dying: None,
            idle: None,
            is_awake: Arc::new(Awake(AtomicBool::new(true))),
        });
        (self.processes.len() - 1, executor)
    }

    fn listens<F: Future<Output = ()> + 'static>(
        &mut self, machine: Machine, at: SocketAddr, serve: impl FnOnce(Listener, Spawner) -> F,
    ) -> usize {
        let (process, executor) = self.process(machine);
        let seat = self.world.view_from(machine);
        let listener = seam::with(seat, || Listener::alone(at));
        if let Ok(listener) = listener {
            executor.spawn(serve(listener, Spawner::of(&executor))).detach();
        }
        process
    }

    fn begin(&mut self) {
        let (groups, members) = (self.plan.groups, self.plan.members);
        for n in 0..groups * members {
            let at = address(2, n, 5432);
            let zone = self.fleet.deployment.zone_of(n);
            self.fleet.add_host(n / members, zone, at, n % members == 0);
        }
        let agent = self.agent.clone();
        let (machine, at) = self.agent_at;
        self.listens(machine, at, |listener, spawner| {
            spawner.spawn(agent.clone().record_list_deadlines());
            agent.serve(listener, spawner)
        });
        for n in 0..groups * members {
            let machine = self.world.add_machine(MANY);
            let process = self.host(n, machine);
            self.hosts.push(process);
        }
        for p in 0..self.plan.proxies {
            let until = self.plan.for_ms * 1_000;
            let (killed_at, in_flight) = (Cell::new(None), Cell::new(0));
            self.targets.push(Rc::new(Target { address: address(3, p, 5433), killed_at, until, in_flight }));
            self.proxies.push(None);
            self.beside.push(Vec::new());
            self.out.push(BTreeSet::new());
            self.proxy(p);
        }
        for p in 0..self.plan.proxies {
            let machine = self.world.add_machine(MANY);
            self.askers.insert(machine);
            let (_, executor) = self.process(machine);
            for _ in 0..self.plan.clients {
                let client = self.client(p);
                executor.spawn(client::run_client(self.fleet.clone(), client)).detach();
            }
        }
    }

    /// One more client of a proxy; some roam over all of them.
    fn client(&mut self, p: usize) -> Client {
        self.clients += 1;
        let (number, rest_ms, groups) = (self.clients, self.plan.rest_ms, self.plan.groups);
        let shared = self.plan.clients.div_ceil(CLIENTS_OF_A_SESSION) as u64;
        let roams = number.is_multiple_of(ROAMS_ONE_IN);
        let targets = if roams { self.targets.clone() } else { vec![self.targets[p].clone()] };
        Client { number, targets, sessions: (p as u64 * shared, shared), groups, rest_ms }
    }

    /// Starts a host's process on its machine.
    fn host(&mut self, n: usize, machine: Machine) -> usize {
        let at = self.fleet.hosts.borrow()[n].address;
        let fleet = self.fleet.clone();
        self.listens(machine, at, |listener, spawner| fleet.serve(n, listener, spawner))
    }

    /// Starts a proxy's process on a machine of its own; where one was there before, beside it.
    fn proxy(&mut self, p: usize) {
        let machine = self.world.add_machine_with_disk(SOCKETS, p);
        let (process, executor) = self.process(machine);
        let settings = self.fleet.deployment.settings(p, self.plan.proxies, self.plan.peer_messages);
        let mut text = serde_json::json!({
            "name": format!("p{p}"), "listen": self.targets[p].address.to_string(),
            "discovery": self.agent_at.1.to_string(),
            "seed": format!("{:x}", self.world.draw_below(u64::MAX)),
            "limits": {"sockets": SOCKETS, "memory_mb": 48},
            "linger_ms": 300, "settings": settings,
        });
        if self.plan.peer_messages {
            text["peer_listen"] = address(4, p, 7946).to_string().into();
            text["peers"] = (0..self.plan.proxies).map(|q| address(4, q, 7946).to_string()).collect();
        }
        let started = seam::with(self.world.view_from(machine), || {
            let mut config = Config::from_text(text.to_string().as_bytes(), Some("/tmp/proxy".into()))?;
            Proxy::start(&mut config, &Default::default(), &Spawner::of(&executor))
        });
        let proxy = match started {
            Ok(proxy) => proxy,
            Err(what) => return self.breaks("it starts", what),
        };
        let (stop, stopped) = async_channel::bounded(1);
        let done = Rc::new(Cell::new(false));
        let (core, clients, hosts) = (proxy.core.clone(), proxy.clients.clone(), proxy.hosts.clone());
        let upgrade = proxy.upgrade.clone();
        self.events.push(core.events.clone());
        // What was done by hand outlasts the process that was told.
        for host in &self.out[p] {
            self.fleet.checker.borrow_mut().record_override(machine, *host, true, self.world.now());
        }
        let told = done.clone();
        let run = async move {
            let _ = proxy.run(stopped).await;
            told.set(true);
        };
        executor.spawn(run).detach();
        self.agent.proxy_started(machine);
        let waits = Cell::new(Some(self.world.now()));
        self.proxies[p] = Some(Runs { process, machine, waits, core, upgrade, clients, hosts, stop, done });
    }

    fn breaks(&self, rule: &'static str, what: String) {
        self.fleet.checker.borrow_mut().record_broken_rule(rule, self.world.now(), what, &[]);
    }

    fn is_broken(&self) -> bool {
        self.fleet.checker.borrow().broken.is_some()
    }

    fn go(&mut self) {
        // What begins and what ends, in time.
        let mut script: BTreeMap<(Micros, usize), (Fault, bool)> = BTreeMap::new();
        for (i, f) in self.plan.faults.iter().enumerate() {
            script.insert((f.at_ms * 1_000, 2 * i), (f.clone(), true));
            script.insert(((f.at_ms + f.for_ms) * 1_000, 2 * i + 1), (f.clone(), false));
        }
        let asked = self.plan.for_ms * 1_000;
        let (rested, end) = (asked + REST, asked + REST + STOP);
        let (mut stops, mut ended) = (false, false);
        while !self.is_broken() {
            self.settle();
            self.looks();
            let next = script.first_key_value().map_or(end, |(key, _)| key.0.min(end));
            let next = if stops { next } else { next.min(rested) };
            if self.world.step(next) {
                continue;
            }
            if let Some(entry) = script.first_entry().filter(|e| e.key().0 <= next) {
                let (fault, begins) = entry.remove();
                self.fault(&fault, begins);
            } else if !stops {
                stops = true;
                self.rested();
            } else if self.world.now() >= end {
                ended = true;
                break;
            }
            self.stopped();
        }
        if ended && !self.is_broken() {
            self.over();
        }
    }

    /// What no host, agent or client sees: connections closed over what was sent, and processes that are not ready.
    fn looks(&self) {
        for (from, to) in self.world.take_closed_with_unread_data() {
            // Whoever is killed does not choose when.
            if self.askers.contains(&from) && !self.killed.contains(&to) {
                let what = format!("machine {to} closed a connection over what machine {from} had sent");
                self.breaks("no close over what was sent", what);
            }
        }
        let now = self.world.now();
        for run in self.proxies.iter().flatten() {
            let Some(since) = run.waits.get() else { continue };
            let ready = seam::with(self.world.view_from(run.machine), || run.core.is_ready());
            let since = Some(since).filter(|_| !ready);
            // While nobody could tell it, it cannot know.
            let cut = self.world.is_blocked(self.agent_at.0, run.machine);
            run.waits.set(since.map(|since| if cut { now } else { since }));
            if since.is_some_and(|since| !cut && now > since + READY) {
                self.breaks(
                    "ready in time",
                    format!("machine {} is not ready after {READY} us", run.machine),
                );
            }
        }
    }

    /// Lets every task run that can.
    fn settle(&mut self) {
        let mut spins = 0;
        loop {
            let before = self.steps;
            for i in 0..self.processes.len() {
                let p = &mut self.processes[i];
                if !p.is_awake() || self.world.is_delayed(p.machine) {
                    continue;
                }
                p.idle = None;
                let Some(executor) = p.executor.clone() else { continue };
                let (seat, dying) = (self.world.view_from(p.machine), p.dying);
                let most = dying.unwrap_or(u64::MAX).min(1_000);
                let ticks = seam::with(seat, || {
                    let mut ticks = 0;
                    while ticks < most && executor.try_tick() {
                        ticks += 1;
                    }
                    ticks
                });
                if ticks < most {
                    p.sleeps();
                }
                drop(executor);
                self.steps += ticks;
                if let Some(left) = dying {
                    if left <= ticks {
                        self.kill(i);
                    } else {
                        self.processes[i].dying = Some(left - ticks);
                    }
                }
                if self.is_broken() {
                    return;
                }
            }
            spins += self.steps - before;
            if spins > SPINS {
                return self.breaks("nothing waits for ever", "tasks run on and on in one instant".into());
            }
            if self.steps == before {
                return;
            }
        }
    }

    /// Ends a process where it stands; its machine closes what it had open.
    fn kill(&mut self, process: usize) {
        let p = &mut self.processes[process];
        (p.dying, p.idle) = (None, None);
        let (executor, machine) = (p.executor.take(), p.machine);
        let killed: Vec<usize> = (0..self.proxies.len())
            .filter(|n| self.proxies[*n].as_ref().is_some_and(|r| r.process == process))
            .collect();
        self.world.trace(|| format!("the process on machine {machine} is killed"));
        for n in killed {
            self.targets[n].killed_at.set(Some(self.world.now()));
            self.proxies[n] = None;
        }
        for n in 0..self.beside.len() {
            let before = self.beside[n].len();
            self.beside[n].retain(|r| r.process != process);
            if self.beside[n].len() < before {
                self.targets[n].killed_at.set(Some(self.world.now()));
            }
        }
        self.killed.insert(machine);
        seam::with(self.world.view_from(machine), || drop(executor));
    }

    fn fault(&mut self, fault: &Fault, begins: bool) {
        self.world.trace(|| format!("{:?} {}", fault.kind, if begins { "begins" } else { "ends" }));
        let (hosts, members) = (self.hosts.len(), self.plan.members);
        let host = |n: usize| n % hosts;
        let proxies = self.plan.proxies;
        match fault.kind {
            FaultKind::ZonePowerLoss(zone) => {
                for n in 0..hosts {
                    if self.fleet.hosts.borrow()[n].zone == zone {
                        if begins { self.lose(n) } else { self.start_host(n) }
                    }
                }
            }
            FaultKind::HostKilled(n) if begins => {
                let process = self.hosts[host(n)];
                self.kill(process);
            }
            FaultKind::HostKilled(n) => self.start_host(host(n)),
            FaultKind::HostHung(n) => {
                let process = self.hosts[host(n)];
                self.processes[process].frozen = begins;
            }
            FaultKind::PrimaryHandover(group) => {
                let first = group % self.plan.groups * members;
                let present = (first..first + members).find(|n| self.fleet.hosts.borrow()[*n].primary);
                match (begins, present) {
                    (true, Some(old)) => self.fleet.set_role(old, false),
                    (false, None) => {
                        // Never one that is behind what was committed: it has caught up.
                        let n = first + self.world.draw_below(members as u64) as usize;
                        self.fleet.set_role(n, true);
                    }
                    _ => {}
                }
            }
            FaultKind::ReplicaLag(n, ms) => {
                let lag = if begins { ms * 1_000 } else { self.fleet.usual_lag() };
                self.fleet.set_lag(host(n), lag);
            }
            FaultKind::HostErrors(n) | FaultKind::InvalidAnswers(n) => {
                let mode = match fault.kind {
                    _ if !begins => HostMode::Healthy,
                    FaultKind::HostErrors(_) => HostMode::Errors,
                    _ => HostMode::Garbage,
                };
                self.fleet.hosts.borrow_mut()[host(n)].mode = mode;
            }
            FaultKind::SlowHost(n, times) => {
                self.fleet.hosts.borrow_mut()[host(n)].slowdown = if begins { times } else { 1 };
            }
            FaultKind::HostDrain(n) if begins => self.fleet.change(host(n), |h| h.status = "DRAINING"),
            FaultKind::HostDrain(n) => {
                self.kill(self.hosts[host(n)]);
                self.start_host(host(n));
                self.fleet.change(host(n), |h| h.status = "SERVING");
            }
            FaultKind::ProxyToHostCut(p, n) | FaultKind::HostToProxyCut(p, n) => {
                let Some(run) = &self.proxies[p % proxies] else { return };
                let (there, here) =
                    (self.processes[self.hosts[host(n)]].machine, self.processes[run.process].machine);
                let (from, to) = if matches!(fault.kind, FaultKind::ProxyToHostCut(..)) {
                    (here, there)
                } else {
                    (there, here)
                };
                self.world.set_blocked(from, to, begins);
            }
            FaultKind::DiscoveryUnreachable(p) => {
                let Some(run) = &self.proxies[p % proxies] else { return };
                let here = self.processes[run.process].machine;
                self.world.set_blocked(self.agent_at.0, here, begins);
                // What is held back may come, or never: nobody can say what it knows until it hears a list again.
                let after = if begins { self.world.now() } else { 0 };
                self.fleet.checker.borrow_mut().discard_reports_after(here, after);
            }
            FaultKind::DiscoveryStale => {
                self.agent.stale_version.set(begins.then(|| self.fleet.list_version.get()))
            }
            FaultKind::ClockStep(p, ms) => {
                let by = if begins { ms } else { -ms } * 1_000;
                self.world.step_clock(p % proxies, by);
            }
            FaultKind::Interruptions(p) => {
                self.world.change_call_faults(p % proxies, |f| f.interrupted = begins)
            }
            FaultKind::ResourceShortage(p, percent) => {
                self.world.change_call_faults(p % proxies, |f| {
                    f.shortage_percent = if begins { percent } else { 0 }
                });
            }
            FaultKind::WriteDelays(p, one_in) => {
                self.world.change_call_faults(p % proxies, |f| {
                    f.delayed_write_one_in = if begins { one_in } else { 0 }
                });
            }
            FaultKind::DiskUnreadable(p) => {
                self.world.change_call_faults(p % proxies, |f| f.unreadable_files = begins)
            }
            FaultKind::ProxyKilled(p, steps) if begins => {
                if let Some(run) = &self.proxies[p % proxies] {
                    self.processes[run.process].dying = Some(steps.max(1));
                }
            }
            FaultKind::ProxyKilled(p, _) => {
                if let Some(run) = &self.proxies[p % proxies] {
                    // It had too little to do to die in the middle of it.
                    let process = run.process;
                    if self.processes[process].dying.is_some() {
                        self.kill(process);
                    }
                }
                if self.proxies[p % proxies].is_none() {
                    self.proxy(p % proxies);
                }
            }
            FaultKind::ProxyReplaced(p) if begins => {
                // Two versions at a time, no more.
                if self.beside[p % proxies].is_empty()
                    && let Some(old) = self.proxies[p % proxies].take()
                {
                    self.proxy(p % proxies);
                    self.beside[p % proxies].push(old);
                }
            }
            FaultKind::ProxyReplaced(p) => {
                for old in std::mem::take(&mut self.beside[p % proxies]) {
                    self.end(old);
                }
            }
            FaultKind::SilentWatches if begins => self.agent.silence_watches(),
            FaultKind::SilentWatches => {}
            FaultKind::LateSessions(n, ms) => {
                self.fleet.hosts.borrow_mut()[host(n)].session_delay = if begins { ms * 1_000 } else { 0 };
            }
            FaultKind::CutAnswers(n, percent) => {
                self.fault_answers(host(n), begins, (AnswerFault::Cut, percent));
            }
            FaultKind::LostAnswers(n, percent) => {
                self.fault_answers(host(n), begins, (AnswerFault::Lost, percent));
            }
            FaultKind::DelayedAnswers(n, percent, ms) => {
                self.fault_answers(host(n), begins, (AnswerFault::Delayed(ms * 1_000), percent));
            }
            FaultKind::RoleOnlyAnswers(n, percent) => {
                self.fault_answers(host(n), begins, (AnswerFault::RoleOnly, percent));
            }
            FaultKind::HostOverride(p, n) => self.by_hand(p % proxies, host(n), begins),
            FaultKind::DiskFull(p) => self.world.set_disk_full(p % proxies, begins),
            FaultKind::TruncatedFile(p) if begins => {
                let torn = self.world.truncate_random_file(p % proxies);
                self.world.trace(|| format!("{torn:?} is torn"));
                // Whatever it said, the next process may not know it.
                self.out[p % proxies].clear();
            }
            FaultKind::TruncatedFile(_) => {}
            FaultKind::MisbehavingClients(p, n) if begins => {
                let machine = self.world.add_machine(MANY);
                let (_, executor) = self.process(machine);
                let until = (fault.at_ms + fault.for_ms) * 1_000;
                for _ in 0..n {
                    let (fleet, target) = (self.fleet.clone(), self.targets[p % proxies].clone());
                    executor.spawn(client::run_misbehaving_client(fleet, target, until)).detach();
                }
            }
            FaultKind::MisbehavingClients(..) => {}
            FaultKind::ForgedPeer(p) if begins && self.plan.peer_messages => {
                let machine = self.world.add_machine(MANY);
                let (_, executor) = self.process(machine);
                let until = (fault.at_ms + fault.for_ms) * 1_000;
                let all = (0..proxies).map(|q| address(4, q, 7946)).collect();
                executor.spawn(forged_peer::run(self.fleet.clone(), all, p % proxies, until)).detach();
            }
            FaultKind::ForgedPeer(_) => {}
        }
    }

    /// Something becomes of so many percent of a host's answers, or nothing any more.
    fn fault_answers(&self, host: usize, begins: bool, fault: (AnswerFault, u64)) {
        self.fleet.hosts.borrow_mut()[host].answer_fault = if begins { fault } else { Default::default() };
    }

    /// Operators leave a host out at a proxy, or take it back; both versions of it are bound.
    fn by_hand(&mut self, p: usize, host: usize, out: bool) {
        let Some(run) = &self.proxies[p] else { return };
        let name = self.fleet.hosts.borrow()[host].name.clone();
        // Before the list has come nobody knows the name.
        if !run.core.knows_host(&name) {
            return;
        }
        let told = seam::with(self.world.view_from(run.machine), || run.upgrade.set_override(&name, out));
        self.world.trace(|| format!("proxy {p}: host {host} by hand, out {out}: {told:?}"));
        if told.is_err() {
            return;
        }
        let (now, mut checker) = (self.world.now(), self.fleet.checker.borrow_mut());
        checker.record_override(run.machine, host, out, now);
        for other in &self.beside[p] {
            // It looks for what the other was told every 50 ms, where the two have met.
            if !out || other.upgrade.has_other_process() {
                checker.record_override(other.machine, host, out, now + 60_000);
            }
        }
        // One that stops hears of it as long as it lives.
        for (other, _) in self.stopping.iter().filter(|_| !out) {
            checker.record_override(other.machine, host, false, now);
        }
        if out {
            self.out[p].insert(host);
        } else {
            self.out[p].remove(&host);
        }
    }

    /// A host's machine loses power.
    fn lose(&mut self, n: usize) {
        let process = self.hosts[n];
        self.world.set_powered(self.processes[process].machine, false);
        self.kill(process);
    }

    /// A host that lost its process, or its power, has it again, and is cold.
    fn start_host(&mut self, n: usize) {
        let process = self.hosts[n];
        let machine = self.processes[process].machine;
        if self.processes[process].executor.is_some() {
            return;
        }
        self.world.set_powered(machine, true);
        let now = self.world.now();
        self.fleet.start_process(n, now);
        self.fleet.change(n, |_| {});
        self.hosts[n] = self.host(n, machine);
    }

    /// Tells a proxy to stop.
    fn end(&mut self, run: Runs) {
        let _ = run.stop.try_send(());
        let by = self.world.now() + STOP;
        self.stopping.push((run, by));
    }

    /// Looks after proxies that stop: what is over goes, what takes too long breaks a rule.
    fn stopped(&mut self) {
        let now = self.world.now();
        for (run, by) in std::mem::take(&mut self.stopping) {
            if run.done.get() {
                if let Err(what) = self.given_back(&run) {
                    self.breaks("everything is given back", format!("after its stop: {what}"));
                }
                self.kill(run.process);
                // It ended by itself.
                self.killed.remove(&run.machine);
            } else if now >= by {
                self.breaks("nothing waits for ever", "a proxy does not stop".into());
            } else {
                self.stopping.push((run, by));
            }
        }
    }

    /// Whether a proxy holds nothing but what rests.
    fn given_back(&self, run: &Runs) -> Result<(), String> {
        let (clients, bytes) = run.clients.admission.usage();
        let figures = serde_json::to_value(run.core.figures()).unwrap_or_default();
        let out = figures["inflight"].as_u64().unwrap_or(u64::MAX);
        let machine = self.processes[run.process].machine;
        let (open, hosts) = (self.world.open_descriptors(machine), run.hosts.open_connections());
        let all = clients + hosts;
        match () {
            () if out > 0 => Err(format!("{out} requests are still open")),
            () if bytes > 0 => Err(format!("{bytes} bytes of clients are still counted")),
            // A dial has its descriptor counted before it is open.
            () if all > open + 2 => Err(format!("{all} descriptors are counted, {open} are open")),
            // Beside them, a watch of discovery, what versions say to each other, and the talk.
            () if open
                > all + 1 + run.upgrade.connections().max(2) + usize::from(self.plan.peer_messages) =>
            {
                Err(format!("{open} descriptors are open, {all} of them accounted for"))
            }
            () => Ok(()),
        }
    }

    /// No request is made any more, and all have had their time.
    fn rested(&mut self) {
        for p in 0..self.proxies.len() {
            let out = self.targets[p].in_flight.get();
            if out > 0 {
                self.breaks("nothing waits for ever", format!("{out} requests at proxy {p} have no end"));
            }
            for old in std::mem::take(&mut self.beside[p]) {
                self.end(old);
            }
            if let Some(run) = self.proxies[p].take() {
                if let Err(what) = self.given_back(&run) {
                    self.breaks("everything is given back", format!("proxy {p}, at rest: {what}"));
                }
                self.end(run);
            }
        }
    }

    /// Invariants that proxies found broken, and how often.
    fn violations(&self) -> BTreeMap<Violation, u64> {
        let mut all = BTreeMap::new();
        for events in &self.events {
            let broken = events.violations().into_iter().filter(|(_, count)| *count > 0);
            broken.for_each(|(what, count)| *all.entry(what).or_default() += count);
        }
        all
    }

    /// The day is over: everything has ended.
    fn over(&mut self) {
        self.stopped();
        if self.events.iter().any(|events| events.is_violated()) {
            self.breaks("the proxies' own invariants hold", format!("{:?}", self.violations()));
        }
        let counts = self.fleet.checker.borrow().counts;
        if counts.asked != counts.served + counts.errors + counts.excused {
            self.breaks("one final answer in time", format!("requests and their ends differ: {counts:?}"));
        }
    }
}
