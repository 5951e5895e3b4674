//! The soak: a few dozen real processes of the proxy on loopback, among stand-in hosts, discovery's agents and clients,
//! while troubles overlap and system calls fail inside the processes. It owns the order of a run and its report. What is
//! judged, and by which figures, stands in `book`; the troubles are drawn from a seed in `plan`.
//!
//! The sockets and the clock are the machine's, so a seed gives the same troubles, not the same run.

mod agent;
mod book;
mod client;
mod host;
mod plan;
mod process;

use agent::Agent;
use async_executor::LocalExecutor;
use async_io::Timer;
use book::Book;
use host::{Hosts, Mode};
use plan::{Plan, Trouble, What};
use process::Slot;
use sillfold::net::world::Spawner;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Groups of hosts, and hosts of a group; the first of each is its primary at the start.
const GROUPS: usize = 2;
const MEMBERS: usize = 3;
/// Clients of each proxy.
const CLIENTS: usize = 3;
/// For how long requests are made, and answers waited for behind that.
const ASKING: Duration = Duration::from_secs(9);
const RESTING: Duration = Duration::from_secs(7);
/// A process serves by then.
const READY: Duration = Duration::from_secs(10);
/// This loop looks at itself this often, to know by how much the machine held it up.
const LOOK: Duration = Duration::from_millis(5);

/// What a run is made with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The proxy's program, built with the feature `faults`.
    pub program: PathBuf,
    /// How many proxies.
    pub proxies: usize,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Processes that ran.
    pub processes: u64,
    /// Requests, by their ends.
    pub ends: BTreeMap<String, u64>,
    /// Troubles that were made, by kind.
    pub troubles: BTreeMap<String, u64>,
    /// Failing calls that the processes met, by kind.
    pub faults: BTreeMap<String, u64>,
    /// The longest that this very process was held up, in milliseconds.
    pub held_up_ms: u64,
    /// What broke a rule.
    pub broken: Vec<String>,
}

/// Runs the troubles of a seed.
pub fn run(seed: u64, options: &Options) -> io::Result<Report> {
    let executor = Rc::new(LocalExecutor::new());
    let soak = Soak::new(seed, options, executor.clone())?;
    async_io::block_on(executor.run(soak.run()))
}

struct Soak {
    seed: u64,
    plan: Plan,
    book: Rc<RefCell<Book>>,
    hosts: Rc<Hosts>,
    agent: Rc<Agent>,
    slots: Vec<Rc<Slot>>,
    executor: Rc<LocalExecutor<'static>>,
    directory: PathBuf,
}

impl Soak {
    fn new(seed: u64, options: &Options, executor: Rc<LocalExecutor<'static>>) -> io::Result<Soak> {
        let name = format!("sillfold-soak-{}-{seed}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        let book = Rc::new(RefCell::new(Book::default()));
        let hosts = Rc::new(Hosts::new(book.clone(), GROUPS, MEMBERS, seed));
        let agent = Rc::new(Agent::new(hosts.clone(), book.clone(), options.proxies));
        // Tasks that held their own executor would outlive the run, and keep its sockets.
        let spawner = Spawner::of(&executor);
        let mut slots = Vec::new();
        for n in 0..options.proxies {
            hosts.listen(n, &spawner)?;
            agent.listen(n, &spawner)?;
            slots.push(Rc::new(Slot::new(n, seed, &options.program, &directory, &agent)?));
        }
        let plan = Plan::of(seed, options.proxies, GROUPS * MEMBERS);
        Ok(Soak { seed, plan, book, hosts, agent, slots, executor, directory })
    }

    async fn run(self) -> io::Result<Report> {
        let held_up = Rc::new(RefCell::new(Duration::ZERO));
        self.executor.spawn(watch_self(held_up.clone(), self.book.clone())).detach();
        for slot in &self.slots {
            slot.start(&self.book)?;
        }
        for slot in &self.slots {
            self.wait_until_it_serves(slot).await;
        }
        let begun = Instant::now();
        for slot in &self.slots {
            for n in 0..CLIENTS {
                let number = slot.number * CLIENTS + n;
                let client = client::Client::new(number, self.seed, slot.clone(), self.book.clone(), GROUPS);
                self.executor.spawn(client.run(begun + ASKING)).detach();
            }
        }
        let mut troubles: BTreeMap<String, u64> = BTreeMap::new();
        for trouble in &self.plan.troubles {
            Timer::at(begun + trouble.at).await;
            *troubles.entry(trouble.what.kind().to_string()).or_default() += 1;
            self.make(trouble);
        }
        Timer::at(begun + ASKING + RESTING).await;
        let faults = self.end().await;
        let mut book = self.book.borrow_mut();
        book.rested();
        let report = Report {
            seed: self.seed,
            processes: self.slots.iter().map(|slot| slot.processes()).sum(),
            ends: book.ends().clone(),
            troubles,
            faults,
            held_up_ms: held_up.borrow().as_millis() as u64,
            broken: book.broken().to_vec(),
        };
        drop(book);
        if report.broken.is_empty() {
            std::fs::remove_dir_all(&self.directory)?;
        }
        Ok(report)
    }

    async fn wait_until_it_serves(&self, slot: &Rc<Slot>) {
        let until = Instant::now() + READY;
        while !client::is_served(slot.address).await {
            if Instant::now() > until {
                return self
                    .book
                    .borrow_mut()
                    .breaks(format!("proxy {} does not serve in time", slot.number));
            }
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Makes a trouble, and ends it in its time.
    fn make(&self, trouble: &Trouble) {
        let (book, hosts, agent) = (self.book.clone(), self.hosts.clone(), self.agent.clone());
        let slot_of = |n: usize| self.slots[n % self.slots.len()].clone();
        let lasts = trouble.lasts;
        match trouble.what.clone() {
            What::Kill(n) => {
                let slot = slot_of(n);
                self.spawn(async move { slot.kill(lasts, &book).await });
            }
            What::Restart { proxy, signals, is_crowded, hangs } => {
                let slot = slot_of(proxy);
                self.spawn(async move {
                    let group = hangs.map_or(0..0, |host| hosts.group_of(host));
                    group.clone().for_each(|host| hosts.set_mode(host, Mode::Hangs));
                    slot.restart(signals, is_crowded, &book).await;
                    group.for_each(|host| hosts.set_mode(host, Mode::Well));
                });
            }
            What::UpgradeTwice(n) => {
                let slot = slot_of(n);
                self.spawn(async move { slot.upgrade_twice(lasts, &book).await });
            }
            What::StopWhileStarting(n) => {
                let slot = slot_of(n);
                self.spawn(async move { slot.stop_while_starting(&book).await });
            }
            What::Crowd(n) => {
                let slot = slot_of(n);
                self.spawn(async move { slot.crowd(lasts).await });
            }
            What::Upgrade(n) => {
                let slot = slot_of(n);
                self.spawn(async move { slot.upgrade(lasts, &book).await });
            }
            What::Freeze(n) => {
                let slot = slot_of(n);
                self.spawn(async move { slot.freeze(lasts).await });
            }
            What::Reload { proxy, times } => {
                let slot = slot_of(proxy);
                self.spawn(async move { slot.reload(times, &book).await });
            }
            What::BadReload(n) => {
                let slot = slot_of(n);
                self.spawn(async move { slot.reload_badly(&book).await });
            }
            What::LeaveOut { proxy, host } => {
                let (slot, name) = (slot_of(proxy), hosts.name(host));
                self.spawn(async move { slot.leave_out(host, &name, lasts, &book).await });
            }
            What::Host { host, mode } => self.spawn(async move {
                hosts.set_mode(host, mode);
                Timer::after(lasts).await;
                hosts.set_mode(host, Mode::Well);
            }),
            What::Drain(host) => self.spawn(async move {
                agent.change(host, "DRAINING");
                Timer::after(lasts).await;
                hosts.restart(host);
                agent.change(host, "SERVING");
            }),
            What::Handover(group) => self.spawn(async move { hosts.hand_over(group, lasts).await }),
            What::AgentDown { proxy, silent } => {
                let proxy = slot_of(proxy).number;
                self.spawn(async move {
                    agent.set_down(proxy, true, silent);
                    Timer::after(lasts).await;
                    agent.set_down(proxy, false, silent);
                });
            }
        }
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.executor.spawn(work).detach();
    }

    /// Ends all processes in order: none may have broken an invariant, or end in another way.
    async fn end(&self) -> BTreeMap<String, u64> {
        for slot in &self.slots {
            slot.check_invariants(&self.book).await;
        }
        for slot in &self.slots {
            slot.tell_all_to_end();
        }
        let mut faults = BTreeMap::new();
        for slot in &self.slots {
            slot.wait_for_all(&self.book).await;
            slot.read_logs(&self.book, &mut faults);
        }
        faults
    }
}

/// Measures by how much this process itself is held up: what it sees, it sees that much late.
async fn watch_self(longest: Rc<RefCell<Duration>>, book: Rc<RefCell<Book>>) {
    loop {
        let before = Instant::now();
        Timer::at(before + LOOK).await;
        let late = before.elapsed().saturating_sub(LOOK);
        if late > *longest.borrow() {
            *longest.borrow_mut() = late;
        }
        book.borrow_mut().observer_was_late(late);
    }
}

/// A directory of a proxy's own.
fn directory_of(whole: &Path, proxy: usize) -> PathBuf {
    whole.join(format!("p{proxy}"))
}
