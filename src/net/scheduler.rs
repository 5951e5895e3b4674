//! Runs the tasks of one process on one thread, so that none holds the core for long: each has a turn of limited work
//! (`work`), and a client's session that has used up its turn takes in nothing new before it gets the next one. It owns the executor,
//! the queue of sessions that wait for a turn, and the figures about both. It must never know what a task does.
//!
//! A round polls the tasks that are ready, up to a limit, then gives one waiting session its turn, and then lets the
//! reactor report sockets and timers. So whoever has sent little waits for one turn of others per step, however many
//! clients send at full speed.

use super::work::{self, PollResult};
use super::world;
use async_executor::LocalExecutor;
use futures_lite::future;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tracing::info;

/// The most tasks that are polled between two visits to the reactor.
const MAX_POLLS_PER_ROUND: u32 = 32;
/// The most work that is begun between two visits to the reactor.
const MAX_ROUND_WORK: u64 = 2 * work::MAX_TURN;
/// The work per microsecond that a session may do in the long run without waiting for turns: a twentieth of the core.
const FREE_WORK_PER_US: u64 = 50;
/// A poll that takes this long is logged, if it is much longer than any before.
const LONG_POLL: Duration = Duration::from_millis(1);
/// A visit to the reactor that took less than this did not wait: what it reports was there before.
const BRIEF_WAIT: Duration = Duration::from_micros(200);

/// What a task belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskKind {
    /// A client's session. It waits for its next turn behind the sessions that wait already.
    Session,
    /// A part of the proxy itself, which goes on as soon as the reactor was visited.
    Service,
}

/// The figures that the operators' console shows. Times are in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct SchedulerFigures {
    /// The longest time for which one task held the core.
    pub longest_poll_us: u64,
    /// The kind of that task.
    pub longest_poll_of: Option<TaskKind>,
    /// The most work that one poll did.
    pub most_work: u64,
    /// How long tasks have held the core in all, and the work that was counted meanwhile.
    pub busy_us: u64,
    pub work: u64,
    /// The polls that took longer than `LONG_POLL`.
    pub long_polls: u64,
    /// How often a session waited for its turn.
    pub turns_waited: u64,
    /// The longest wait of a session for its turn.
    pub longest_turn_wait_us: u64,
    /// The sessions that wait for their turn now.
    pub waiting_sessions: usize,
    /// The longest time from the arrival of a client's bytes, at the earliest, to their reading.
    pub longest_read_delay_us: u64,
}

/// The work and the waits of one task.
struct Account {
    kind: TaskKind,
    /// The work of the present turn.
    spent: Cell<u64>,
    /// When the task was last polled.
    last_polled: Cell<Option<Instant>>,
    /// Since when the task has waited for its next turn.
    waiting_since: Cell<Option<Instant>>,
    /// How long it waited for the turn that it has just got.
    last_wait: Cell<Duration>,
    /// How long it has waited for turns in all.
    all_waits: Cell<Duration>,
}

impl Account {
    fn new(kind: TaskKind) -> Account {
        let (spent, last_polled, waiting_since, last_wait, all_waits) = Default::default();
        Account { kind, spent, last_polled, waiting_since, last_wait, all_waits }
    }

    /// How much of its turn the task has spent when it is polled now. Whoever works seldom starts anew.
    fn spent_at(&self, now: Instant) -> u64 {
        let rested =
            self.last_polled.get().map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let regained = (rested.as_micros() as u64).saturating_mul(FREE_WORK_PER_US);
        self.spent.get().saturating_sub(regained)
    }

    /// Begins the task's next turn.
    fn begin_turn(&self, now: Instant) -> Duration {
        let since = self.waiting_since.take().unwrap_or(now);
        let wait = now.saturating_duration_since(since);
        self.spent.set(self.spent.get().saturating_sub(work::MAX_TURN));
        self.last_wait.set(wait);
        self.all_waits.set(self.all_waits.get() + wait);
        wait
    }
}

/// A task that waits for its next turn.
struct WaitingTask {
    account: Rc<Account>,
    waker: Waker,
}

/// The figures, as they are counted.
#[derive(Default)]
struct Counters {
    longest_poll: Cell<Duration>,
    longest_poll_of: Cell<Option<TaskKind>>,
    most_work: Cell<u64>,
    busy: Cell<Duration>,
    work: Cell<u64>,
    long_polls: Cell<u64>,
    turns_waited: Cell<u64>,
    longest_turn_wait: Cell<Duration>,
    longest_read_delay: Cell<Duration>,
}

/// When the tasks of a round were polled.
#[derive(Default)]
struct Round {
    /// The first poll of the present round; `None` before it.
    started: Cell<Option<Instant>>,
    /// The first poll of the round before.
    previous_started: Cell<Option<Instant>>,
    /// The end of the last poll so far.
    last_poll_ended: Cell<Option<Instant>>,
    /// When bytes that the present round reads can have arrived at the earliest.
    earliest_arrival: Cell<Option<Instant>>,
    /// The work of the present round.
    work: Cell<u64>,
}

impl Round {
    /// Begins the next round, before the reactor is visited or its tasks are polled.
    fn begin(&self) {
        if let Some(started) = self.started.take() {
            self.previous_started.set(Some(started));
        }
        self.work.set(0);
    }

    /// When the poll that begins now counts as started: at the end of the one before it in this round, which spares a look
    /// at the clock.
    fn poll_start(&self) -> Instant {
        self.started.get().and(self.last_poll_ended.get()).unwrap_or_else(world::now)
    }

    /// Records the start of a poll. Returns how long bytes that it reads may have waited.
    fn poll_started(&self, now: Instant) -> Duration {
        if self.started.get().is_none() {
            self.started.set(Some(now));
            let has_waited = self
                .last_poll_ended
                .get()
                .is_none_or(|ended| now.saturating_duration_since(ended) > BRIEF_WAIT);
            // If the reactor waited, the bytes came just now; otherwise they may have come during the round before.
            let arrival = if has_waited { Some(now) } else { self.previous_started.get() };
            self.earliest_arrival.set(arrival);
        }
        self.earliest_arrival.get().map_or(Duration::ZERO, |arrival| now.saturating_duration_since(arrival))
    }
}

/// Runs the tasks of one process.
#[derive(Default)]
pub struct Scheduler {
    executor: LocalExecutor<'static>,
    waiting: RefCell<VecDeque<WaitingTask>>,
    round: Round,
    counters: Counters,
}

thread_local! {
    /// What the task that is polled has waited: for its turn in all, and from the arrival of the bytes that it may read
    /// now.
    static WAITS: Cell<Waits> = const { Cell::new(Waits { turns: Duration::ZERO, since_arrival: Duration::ZERO }) };
}

/// What a task has waited for the core.
#[derive(Clone, Copy, Debug, Default)]
pub struct Waits {
    /// For its turns, in all.
    pub turns: Duration,
    /// From the arrival of bytes that it reads in this poll, at the earliest, to the poll.
    pub since_arrival: Duration,
}

/// What the present task has waited for the core.
pub fn waits() -> Waits {
    WAITS.get()
}

impl Scheduler {
    pub fn new() -> Rc<Scheduler> {
        Rc::default()
    }

    /// Runs all tasks until `main` has ended. Its result is returned.
    pub async fn run<T>(self: &Rc<Scheduler>, main: impl Future<Output = T>) -> T {
        let main = self.limited(TaskKind::Service, main);
        let tasks = async {
            self.run_tasks().await;
            future::pending().await
        };
        future::or(main, tasks).await
    }

    /// Polls one task that is ready, or the session whose turn is next; false if there is neither.
    pub fn try_tick(&self) -> bool {
        self.executor.try_tick() || (self.grant_turn() && self.executor.try_tick())
    }

    /// Returns once a task has been polled.
    pub async fn tick(&self) {
        self.executor.tick().await;
    }

    /// Runs the tasks in rounds, for as long as it is polled.
    async fn run_tasks(&self) {
        loop {
            self.round.begin();
            if !self.executor.try_tick() && self.waiting.borrow().is_empty() {
                self.executor.tick().await;
            }
            let mut polls = 1;
            while polls < MAX_POLLS_PER_ROUND
                && self.round.work.get() < MAX_ROUND_WORK
                && self.executor.try_tick()
            {
                polls += 1;
            }
            let has_more = polls == MAX_POLLS_PER_ROUND || self.round.work.get() >= MAX_ROUND_WORK;
            if self.grant_turn() {
                self.executor.try_tick();
            } else if !has_more {
                continue;
            }
            // Lets the reactor report sockets and timers.
            future::yield_now().await;
        }
    }

    /// Gives the session that has waited for longest its turn; false if none waits.
    fn grant_turn(&self) -> bool {
        let Some(WaitingTask { account, waker }) = self.waiting.borrow_mut().pop_front() else {
            return false;
        };
        let wait = account.begin_turn(world::now());
        let counters = &self.counters;
        counters.turns_waited.set(counters.turns_waited.get() + 1);
        counters.longest_turn_wait.set(counters.longest_turn_wait.get().max(wait));
        waker.wake();
        true
    }

    /// A task whose turns are limited.
    fn limited<T, F: Future<Output = T>>(
        self: &Rc<Scheduler>, kind: TaskKind, task: F,
    ) -> impl Future<Output = T> + use<T, F> {
        let scheduler = Rc::downgrade(self);
        async move {
            let account = Rc::new(Account::new(kind));
            let mut task = pin!(task);
            poll_fn(|context| match scheduler.upgrade() {
                Some(scheduler) => scheduler.poll_limited(&account, task.as_mut(), context),
                None => Poll::Pending,
            })
            .await
        }
    }

    /// Polls a task, and counts what the poll did. While it waits for its turn, it only goes on with what it has begun.
    fn poll_limited<T>(
        &self, account: &Rc<Account>, task: Pin<&mut impl Future<Output = T>>, context: &mut Context<'_>,
    ) -> Poll<T> {
        let has_turn = account.waiting_since.get().is_none();
        let started = self.round.poll_start();
        let since_arrival = self.round.poll_started(started).max(account.last_wait.take());
        WAITS.set(Waits { turns: account.all_waits.get(), since_arrival });
        let spent_before = account.spent_at(started);
        work::begin(spent_before, has_turn);
        let polled = task.poll(context);
        let PollResult { spent, has_received, is_paused } = work::end();
        let ended = world::now();
        account.spent.set(spent);
        account.last_polled.set(Some(ended));
        self.round.last_poll_ended.set(Some(ended));
        self.round.work.set(self.round.work.get() + spent - spent_before);
        self.counters.count_poll(
            account.kind,
            ended.saturating_duration_since(started),
            spent - spent_before,
        );
        if has_received && account.kind == TaskKind::Session {
            let longest = &self.counters.longest_read_delay;
            longest.set(longest.get().max(since_arrival));
        }
        if polled.is_pending() {
            if has_turn && spent >= work::MAX_TURN {
                self.await_turn(account, ended, context.waker());
            }
            if is_paused {
                context.waker().wake_by_ref();
            }
        }
        polled
    }

    /// Lets a task that has used up its turn wait for the next one.
    fn await_turn(&self, account: &Rc<Account>, now: Instant, waker: &Waker) {
        match account.kind {
            TaskKind::Session => {
                account.waiting_since.set(Some(now));
                let waiting = WaitingTask { account: account.clone(), waker: waker.clone() };
                self.waiting.borrow_mut().push_back(waiting);
            }
            TaskKind::Service => {
                account.spent.set(0);
                waker.wake_by_ref();
            }
        }
    }

    /// The most work that one poll has done.
    pub fn most_work(&self) -> u64 {
        self.counters.most_work.get()
    }

    /// The current figures.
    pub fn figures(&self) -> SchedulerFigures {
        let counters = &self.counters;
        let micros = |duration: &Cell<Duration>| duration.get().as_micros() as u64;
        SchedulerFigures {
            longest_poll_us: micros(&counters.longest_poll),
            longest_poll_of: counters.longest_poll_of.get(),
            most_work: counters.most_work.get(),
            busy_us: micros(&counters.busy),
            work: counters.work.get(),
            long_polls: counters.long_polls.get(),
            turns_waited: counters.turns_waited.get(),
            longest_turn_wait_us: micros(&counters.longest_turn_wait),
            waiting_sessions: self.waiting.borrow().len(),
            longest_read_delay_us: micros(&counters.longest_read_delay),
        }
    }
}

impl Counters {
    /// Counts a poll, and logs it if it took long.
    fn count_poll(&self, kind: TaskKind, elapsed: Duration, work: u64) {
        self.most_work.set(self.most_work.get().max(work));
        self.busy.set(self.busy.get() + elapsed);
        self.work.set(self.work.get() + work);
        if elapsed >= LONG_POLL {
            self.long_polls.set(self.long_polls.get() + 1);
        }
        let longest = self.longest_poll.get();
        if elapsed <= longest {
            return;
        }
        self.longest_poll.set(elapsed);
        self.longest_poll_of.set(Some(kind));
        // Each such line names at least twice the time of the line before.
        if elapsed >= LONG_POLL.max(2 * longest) {
            info!(target: "scheduler", ?kind, work, "a task held the core for {elapsed:?}");
        }
    }
}

/// Spawns the tasks of one process, which end with it. It holds a weak reference: guards against tasks that hold their own
/// executor, and so outlive a simulated process that was killed.
#[derive(Clone)]
pub struct Spawner(Weak<Scheduler>);

impl Spawner {
    pub fn of(scheduler: &Rc<Scheduler>) -> Spawner {
        Spawner(Rc::downgrade(scheduler))
    }

    /// Runs a part of the process concurrently with the others, for as long as the process lives.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.spawn_as(TaskKind::Service, task);
    }

    /// Runs a client's session in the same way.
    pub fn spawn_session(&self, session: impl Future<Output = ()> + 'static) {
        self.spawn_as(TaskKind::Session, session);
    }

    fn spawn_as(&self, kind: TaskKind, task: impl Future<Output = ()> + 'static) {
        if let Some(scheduler) = self.0.upgrade() {
            scheduler.executor.spawn(scheduler.limited(kind, task)).detach();
        }
    }

    /// The figures of the scheduler; `None` once the process has ended.
    pub fn figures(&self) -> Option<SchedulerFigures> {
        self.0.upgrade().map(|scheduler| scheduler.figures())
    }
}
