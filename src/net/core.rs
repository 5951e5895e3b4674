//! The core: the decision module among events. It owns the `Router`, the clock, the module's
//! timers, the names behind its numbers, each request's mailbox and the figures. It turns what happened into
//! the module's events and the module's actions into messages to whoever carries them out. It must
//! never touch a socket, name a message of any protocol, or decide anything itself.

use super::backoff;
use super::events::{EventFigures, Events};
use super::listing::{Listing, Status};
use super::world;
use crate::invariants::RequestStart;
use crate::mutants;
use crate::settings::ProgramSettings;
use crate::talk;
use crate::{
    Access, Action, AttemptResult, Event, GroupId, HostEntry, HostId, HostReport, HostStatus, Idempotency,
    ListUpdate, Micros, Outcome, RequestId, RequestInfo, Role, Router, SessionEvent, Settings,
};
use async_channel::{Receiver, Sender, TryRecvError, unbounded};
use futures_lite::future;
use oorandom::Rand64;
use serde::Serialize;
use sillfold_capture::{Record, RecordedOutcome, Recorder};
use sillfold_headroom::{AttemptOutcome, Class as HeadroomClass, GroupHeadroom, Headroom};
use sillfold_talk::Item;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::info;

/// With a list of before, this much silence of discovery is waited for, unless its callers take turns.
const SILENT: Duration = Duration::from_secs(1);

/// A name that has left the list is kept for so many times as long as a server is cold: longer than
/// the module keeps it, so that a number never passes to another name meanwhile.
const KEPT_COLD: Micros = 4;

/// The one clock, and the one place where times of the sockets become the module's.
///
/// The module counts microseconds since the Unix epoch, steadily from the program's start, so a
/// position or a start in Unix milliseconds only changes its unit.
pub struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { started: world::now(), unix: world::unix_time() }
    }
    pub fn now(&self) -> Micros {
        self.micros(world::now())
    }
    /// A moment as the module counts it.
    pub fn micros(&self, at: Instant) -> Micros {
        (self.unix + at.saturating_duration_since(self.started)).as_micros() as Micros
    }
    /// When this time of the module's clock comes.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at).saturating_sub(self.unix)
    }
    /// A Unix time in milliseconds, as the sockets tell positions and starts.
    pub fn from_unix_ms(ms: u64) -> Micros {
        ms.saturating_mul(1_000)
    }
    /// A Unix time in seconds, as load reports tell positions.
    pub fn from_unix_s(s: f64) -> Micros {
        (s * 1e6) as Micros
    }
}

/// FNV-1a over a name: the same at every proxy, so that the numbers drawn from names agree.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// What all proxies call a server, whatever number each of them has for it.
pub fn shared_host_id(name: &str) -> u32 {
    let hash = fnv1a(name);
    (hash ^ (hash >> 32)) as u32
}

/// What a request's task is told to do next.
#[derive(Debug)]
pub enum Directive {
    /// Start an attempt, and stop waiting for it at `until`.
    Attempt { host: HostId, number: u8, until: Micros },
    /// Withdraw the attempt that is out.
    Withdraw,
    /// Final: refused, with advice when to come again.
    Refuse { retry_in: Micros },
    /// Final: failed.
    Fail,
}

/// What the hosts' owner is told to do.
#[derive(Debug)]
pub enum HostTask {
    Probe(HostId),
    CloseIdle(HostId),
}

/// A request as the core knows it, whatever protocol brought it.
pub struct Request {
    pub class: u8,
    pub session: u64,
    pub group: GroupId,
    pub give_up_at: Micros,
    /// The position that the read must see.
    pub after: Option<Micros>,
    /// The client marks it as a repeat of its own.
    pub again: bool,
    /// Whose it is, where known.
    pub tenant: Option<u16>,
    /// Servers know nothing of its terms.
    pub plain: bool,
    /// What an attempt is expected to take; 0 where only the class tells.
    pub expected: Micros,
}

/// How one attempt ended, with what the answer told of its server.
pub struct AttemptEnd {
    pub host: HostId,
    pub number: u8,
    pub outcome: Outcome,
    pub latency: Duration,
    pub note: HostReport,
}

/// What is counted of a class since the start, whatever protocol brought its requests.
#[derive(Clone, Default, Serialize)]
pub struct ClassCounts {
    pub success: u64,
    pub busy: u64,
    pub failure: u64,
    /// Attempts written whole to database hosts.
    pub backend_calls: u64,
}

/// What operators are told.
#[derive(Serialize)]
pub struct Figures {
    calls: BTreeMap<String, ClassCounts>,
    backend_calls: u64,
    inflight: usize,
    hosts_listed: usize,
    hosts_down: usize,
    #[serde(flatten)]
    events: EventFigures,
    /// By group, where it is learnt.
    #[serde(skip_serializing_if = "Option::is_none")]
    headroom: Option<BTreeMap<GroupId, GroupHeadroom>>,
}

struct OpenRequest {
    orders: Sender<Directive>,
    give_up_at: Micros,
    attempts: u8,
    /// Its last bytes are still to come: it is not taken yet.
    coming: bool,
}

struct Inner {
    router: Router,
    actions: Vec<Action>,
    open: BTreeMap<RequestId, OpenRequest>,
    last_id: RequestId,
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    names: BTreeMap<HostId, String>,
    ids: BTreeMap<String, HostId>,
    /// Servers by what all proxies call them; none where two are called so.
    shared: BTreeMap<u32, Option<HostId>>,
    /// Those that have left the list, and when.
    left: BTreeMap<HostId, Micros>,
    groups: BTreeSet<GroupId>,
    calls: Vec<ClassCounts>,
}

/// Owner of the decision module.
pub struct Core {
    pub clock: Clock,
    pub program_settings: ProgramSettings,
    /// When to come again after a refusal that is none of the module's; 0 where the settings allow no advice.
    pub retry_in: Micros,
    inner: RefCell<Inner>,
    /// Closes, refusals, repeats and broken invariants.
    pub events: Rc<Events>,
    /// What a second run of each class's requests does.
    effects: Vec<Idempotency>,
    kept: Micros,
    /// For how long discovery may be silent before the list of before will have to do.
    silent: Duration,
    timer_set: (Sender<()>, Receiver<()>),
    host_tasks: Sender<HostTask>,
    /// What is left of the hosts' capacity, where it is learnt, whether it binds, and the lots for that.
    headroom: RefCell<Option<Headroom>>,
    sheds_load: Cell<bool>,
    draws: RefCell<Rand64>,
    /// What each class is worth, and whether it writes.
    headroom_classes: Vec<HeadroomClass>,
    /// The record of load, where it is kept.
    recorder: RefCell<Option<Recorder>>,
    /// Where news for other proxies go, where there are any to hear them.
    peer_outbox: RefCell<Option<Sender<Vec<Item>>>>,
    /// Closed once discovery has spoken.
    listed: (Sender<()>, Receiver<()>),
    /// Whether any list has come, also one of before.
    has_list: Cell<bool>,
}

impl Core {
    /// A core that knows nothing yet; what the hosts' owner must do comes out of the receiver.
    pub fn new(
        settings: Settings, program_settings: ProgramSettings, seed: u64,
    ) -> (Core, Receiver<HostTask>) {
        let (host_tasks, todo) = unbounded();
        let limits = &settings.limits;
        let retry_in = if limits.retry_after { limits.max_retry_after / 4 } else { 0 };
        let silent = if backoff::takes_turns(settings.proxy_count) { Duration::ZERO } else { SILENT };
        let kept = settings.safety.cold_duration.saturating_mul(KEPT_COLD);
        let effects = settings.classes.iter().map(|c| c.idempotency).collect();
        let worth = |c: &crate::Class| HeadroomClass { worth: c.worth, writes: c.access == Access::Write };
        let headroom_classes = settings.classes.iter().map(worth).collect();
        let inner = Inner {
            router: Router::new(settings.clone(), seed),
            actions: Vec::new(),
            open: BTreeMap::new(),
            last_id: 0,
            timers: BinaryHeap::new(),
            names: BTreeMap::new(),
            ids: BTreeMap::new(),
            shared: BTreeMap::new(),
            left: BTreeMap::new(),
            groups: BTreeSet::new(),
            calls: vec![ClassCounts::default(); program_settings.class_names.len()],
        };
        let core = Core {
            clock: Clock::start(),
            program_settings,
            retry_in,
            inner: RefCell::new(inner),
            events: Rc::default(),
            effects,
            kept,
            silent,
            timer_set: async_channel::bounded(1),
            host_tasks,
            recorder: RefCell::default(),
            headroom: RefCell::default(),
            sheds_load: Cell::default(),
            draws: RefCell::new(Rand64::new(u128::from(seed) ^ 0x6865_6164)),
            headroom_classes,
            peer_outbox: RefCell::default(),
            listed: async_channel::bounded(1),
            has_list: Cell::default(),
        };
        (core, todo)
    }

    /// Returns once requests can be served: discovery has spoken, or it is silent for long and the
    /// list of before will have to do.
    pub async fn ready(&self) {
        let old_list = async {
            world::at(self.clock.started + self.silent).await;
            if !self.is_ready() {
                future::pending::<()>().await;
            }
        };
        future::or(async { _ = self.listed.1.recv().await }, old_list).await;
    }

    /// Whether `ready` returns at once.
    pub fn is_ready(&self) -> bool {
        self.listed.0.is_closed()
            || (self.knows_any_host() && world::since(self.clock.started) >= self.silent)
    }

    /// Counts something of a class.
    pub fn count(&self, class: u8, what: impl FnOnce(&mut ClassCounts) -> &mut u64) {
        if let Some(calls) = self.inner.borrow_mut().calls.get_mut(usize::from(class)) {
            *what(calls) += 1;
        }
    }

    /// The figures of this moment. Every class is there from the start.
    pub fn figures(&self) -> Figures {
        let inner = self.inner.borrow();
        let (hosts_listed, hosts_down) = inner.router.host_counts();
        Figures {
            calls: self
                .program_settings
                .class_names
                .iter()
                .cloned()
                .zip(inner.calls.iter().cloned())
                .collect(),
            backend_calls: inner.calls.iter().map(|c| c.backend_calls).sum(),
            inflight: inner.open.values().filter(|o| !o.coming).count(),
            hosts_listed,
            hosts_down,
            events: self.events.figures(),
            headroom: self.headroom.borrow().as_ref().map(Headroom::by_group),
        }
    }

    /// From now on headroom is learnt; where it binds, it also turns away.
    pub fn learn_headroom(&self, sheds_load: bool) {
        *self.headroom.borrow_mut() = Some(Headroom::new(self.headroom_classes.clone()));
        self.sheds_load.set(sheds_load);
    }

    /// Whether a request may come in; always, where headroom does not bind.
    pub fn lets_in(&self, call: &Request) -> bool {
        // What is turned away here has come too.
        self.note(|r| r.request_arrived(call.class, call.group, call.expected));
        let mut headroom = self.headroom.borrow_mut();
        let Some(headroom) = headroom.as_mut() else { return true };
        let lot = self.draws.borrow_mut().rand_float();
        headroom.admit(call.class, call.group, lot, self.clock.now()) || !self.sheds_load.get()
    }

    /// From now on load is recorded so, or not at all.
    pub fn set_recorder(&self, recorder: Option<Recorder>) {
        *self.recorder.borrow_mut() = recorder;
    }

    /// What was recorded in this interval; nothing where nothing is.
    pub fn take_record(&self, at_ms: u64, for_ms: u64) -> Option<Record> {
        self.recorder.borrow_mut().as_mut().map(|r| r.take_record(at_ms, for_ms))
    }

    /// Tells the record of load, if it is kept.
    pub fn note(&self, what: impl FnOnce(&mut Recorder)) {
        if let Some(recorder) = self.recorder.borrow_mut().as_mut() {
            what(recorder);
        }
    }

    /// Whether repeats of a class's requests are dropped by a key.
    pub fn is_keyed(&self, class: u8) -> bool {
        matches!(self.idempotency(class), Some(Idempotency::Keyed(..)))
    }

    /// What a second run of a class's requests does.
    pub fn idempotency(&self, class: u8) -> Option<Idempotency> {
        self.effects.get(usize::from(class)).copied()
    }

    /// Whether a class's requests write.
    pub fn writes(&self, class: u8) -> bool {
        self.headroom_classes.get(usize::from(class)).is_some_and(|c| c.writes)
    }

    /// The number of a tenant that the settings name.
    pub fn tenant(&self, name: &str) -> Option<u16> {
        self.program_settings.tenant_names.iter().position(|t| t == name).and_then(|n| u16::try_from(n).ok())
    }

    /// Whether any list has named this group.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.inner.borrow().groups.contains(&group)
    }

    /// Whether any list has named any server.
    pub fn knows_any_host(&self) -> bool {
        !self.inner.borrow().ids.is_empty()
    }

    /// Whether a list names this database host, or did so lately, or operators leave it out.
    pub fn knows_host(&self, name: &str) -> bool {
        self.inner.borrow().ids.contains_key(name)
    }

    /// Operators leave a database host out, or use it again. A name that no list holds yet is kept for
    /// when one does.
    pub fn override_host(&self, name: &str, out: bool, since: Micros) {
        let host = self.inner.borrow_mut().host_id(name);
        self.feed(Event::HostOverride { host, left_out: out, since });
    }

    /// Whether operators leave a database host out.
    pub fn is_left_out(&self, name: &str) -> bool {
        let inner = self.inner.borrow();
        inner.ids.get(name).is_some_and(|id| inner.router.left_out_since(*id).is_some())
    }

    /// Since when operators leave a database host out, if they do.
    pub fn left_out_since(&self, host: HostId) -> Option<Micros> {
        self.inner.borrow().router.left_out_since(host)
    }

    /// A request came in: the ticket through which its task hears of it. Where its last bytes are still
    /// `coming`, its time begins with `RequestHandle::whole`.
    pub fn open(&self, call: &Request, coming: bool) -> RequestHandle<'_> {
        let (orders, mailbox) = unbounded();
        let id = {
            let mut inner = self.inner.borrow_mut();
            inner.last_id = inner.last_id.wrapping_add(1);
            let id = inner.last_id;
            inner.open.insert(id, OpenRequest { orders, give_up_at: call.give_up_at, attempts: 0, coming });
            id
        };
        let now = self.clock.now();
        // 0 stands for no token, so a commit of this very moment counts as a little older.
        let age = call.after.map_or(0.0, |at| (now.saturating_sub(at) as f32 / 1e3).max(0.001));
        let arrival = RequestInfo {
            id,
            class: call.class,
            session: call.session,
            give_up_at: call.give_up_at,
            group: call.group,
            token_ms: age,
            client_retry: call.again,
            tenant: call.tenant,
            plain: call.plain,
            expected_duration: call.expected,
        };
        self.feed(if coming { Event::RequestHead(arrival) } else { Event::Request(arrival) });
        RequestHandle { core: self, id, mailbox, answered: Cell::new(false), of: (call.class, call.group) }
    }

    /// From now on news for other proxies go there; what is not taken at once is dropped.
    pub fn set_peer_outbox(&self, peer_outbox: Sender<Vec<Item>>) {
        *self.peer_outbox.borrow_mut() = Some(peer_outbox);
    }

    /// Another proxy said this.
    pub fn receive_from_peer(&self, from: u16, items: &[Item]) {
        let news = {
            let inner = self.inner.borrow();
            let own = |host| inner.shared.get(&host).copied().flatten();
            items.iter().filter_map(|item| talk::from_item(*item, own)).collect()
        };
        self.feed(Event::Peer { from, news });
    }

    /// Whether another process serves the same clients: what it answers binds the reads of this one's sessions.
    pub fn set_other_process(&self, runs: bool) {
        self.feed(Event::Sessions(SessionEvent::OtherProcess(runs)));
    }

    /// The answer to a request has begun and is passed on in pieces: where it is a write, what keeps its session's
    /// reads to what it commits, until it is dropped.
    pub fn streamed_write(self: &Rc<Core>, call: &Request) -> Option<StreamedWrite> {
        if !self.headroom_classes.get(usize::from(call.class))?.writes {
            return None;
        }
        self.feed(Event::Sessions(SessionEvent::StreamBegins(call.session)));
        Some(StreamedWrite { core: self.clone(), session: call.session, commit: None })
    }

    /// An answer that is not whole yet has told this of its server.
    pub fn partial_answer(&self, host: HostId, note: HostReport) {
        if !mutants::on("notes wait for the answer's end") {
            self.feed(Event::PartialAnswer { host, note });
        }
    }

    /// A probe returned.
    pub fn probe_finished(&self, host: HostId, report: Option<HostReport>) {
        let ok = report.is_some();
        self.feed(Event::Probed { host, ok, report: report.unwrap_or_default() });
    }

    /// News of the list, in the module's numbers. Returns the number of every entry.
    pub fn apply_listing(&self, listing: &Listing, cached: bool) -> Vec<HostId> {
        let kind = match (cached, listing.full) {
            (true, _) => ListUpdate::Cached,
            (false, true) => ListUpdate::Full,
            (false, false) => ListUpdate::Delta,
        };
        let place = |names: &[String], name: &str| {
            let found = names.iter().position(|n| n == name);
            u8::try_from(found.unwrap_or(names.len())).unwrap_or(u8::MAX)
        };
        let mut entries = Vec::new();
        for e in &listing.entries {
            let host = self.inner.borrow_mut().host_id(&e.name);
            self.inner.borrow_mut().groups.insert(e.group);
            entries.push(HostEntry {
                host,
                zone: place(&self.program_settings.zone_names, &e.zone),
                kind: place(&self.program_settings.host_type_names, &e.kind),
                group: e.group,
                state: match e.status {
                    Status::Serving => HostStatus::Ready,
                    Status::Draining => HostStatus::Draining,
                    Status::Deleted => HostStatus::Removed,
                },
                weight: e.weight,
                primary: e.writer,
                started: if mutants::on("cold is warm") { 0 } else { Clock::from_unix_ms(e.since_ms) },
            });
        }
        let ids: Vec<HostId> = entries.iter().map(|e| e.host).collect();
        self.inner.borrow_mut().track_removed(&entries, listing.full, self.clock.now());
        if !cached {
            self.listed.0.close();
        }
        let list = Event::List { kind, entries: entries.into() };
        if self.has_list.replace(true) {
            self.feed(list);
        } else {
            // Together: what comes before the first list would put off the first probes.
            self.feed_all(&[Event::Sessions(SessionEvent::Started), list]);
        }
        ids
    }

    /// Lets go of the names that left the list long ago, and returns their numbers. Guards against a
    /// day on which servers are replaced by new ones without end.
    pub fn forget_removed_hosts(&self) -> Vec<HostId> {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        let Inner { left, names, ids, router, shared, .. } = &mut *inner;
        let gone: Vec<HostId> = left
            .iter()
            .filter(|(id, at)| **at + self.kept < now && router.left_out_since(**id).is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in &gone {
            left.remove(id);
            if let Some(name) = names.remove(id) {
                ids.remove(&name);
                shared.remove(&shared_host_id(&name));
            }
        }
        gone
    }

    /// Hands one event to the module as it happens, and its actions to those who carry them out.
    fn feed(&self, event: Event) {
        self.feed_all(&[event]);
    }

    /// The same of events of one moment.
    fn feed_all(&self, events: &[Event]) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let earliest = inner.timers.peek().map(|t| t.0.0);
        let mut actions = std::mem::take(&mut inner.actions);
        inner.router.handle(self.clock.now(), events, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, host, timeout } => {
                    let Some(open) = inner.open.get_mut(&id) else { continue };
                    let until = match timeout {
                        0 => open.give_up_at,
                        span => open.give_up_at.min(self.clock.now().saturating_add(span)),
                    };
                    let order = Directive::Attempt { host, number: open.attempts, until };
                    open.attempts = open.attempts.saturating_add(1);
                    tell(open, order);
                }
                Action::Refuse { .. } | Action::Fail(_) if mutants::on("no final answer") => {}
                Action::Refuse { id, retry_in } => {
                    inner.open.get(&id).into_iter().for_each(|o| tell(o, Directive::Refuse { retry_in }));
                }
                Action::Fail(id) => inner.open.get(&id).into_iter().for_each(|o| tell(o, Directive::Fail)),
                Action::Cancel(id, _) => {
                    inner.open.get(&id).into_iter().for_each(|o| tell(o, Directive::Withdraw));
                }
                Action::Timer { at, mark } => inner.timers.push(Reverse((at, mark))),
                Action::Probe(host) => drop(self.host_tasks.try_send(HostTask::Probe(host))),
                Action::CloseIdle(host) => drop(self.host_tasks.try_send(HostTask::CloseIdle(host))),
                Action::Log(text) => {
                    // Operators know names, the module numbers.
                    let number = text.split(' ').nth(1).unwrap_or("");
                    match number.parse().ok().and_then(|id: HostId| inner.names.get(&id)) {
                        Some(name) => {
                            info!(target: "module", host = %name, "{}", text.replacen(number, name, 1))
                        }
                        None => info!(target: "module", "{text}"),
                    }
                }
                Action::Broadcast(news) => {
                    if let Some(peer_outbox) = self.peer_outbox.borrow().as_ref() {
                        let shared = |id| inner.names.get(&id).map(|name| shared_host_id(name));
                        let items = news.into_iter().filter_map(|n| talk::to_item(n, shared)).collect();
                        // A door that is shut, or behind, says newer things later.
                        let _ = peer_outbox.try_send(items);
                    }
                }
                // Discovery pushes by itself.
                Action::Subscribe => {}
            }
        }
        inner.actions = actions;
        if inner.timers.peek().map(|t| t.0.0) != earliest {
            // Full means that the timers' task is about to look anyway.
            let _ = self.timer_set.0.try_send(());
        }
    }

    /// Feeds the module its timers as they fall due, for as long as the program runs.
    pub async fn run_timers(&self) {
        loop {
            let next = self.inner.borrow().timers.peek().map(|t| t.0.0);
            match next {
                Some(at) if at <= self.clock.now() => {
                    let due = self.inner.borrow_mut().timers.pop();
                    due.into_iter().for_each(|Reverse((_, mark))| self.feed(Event::Timer(mark)));
                }
                _ => {
                    let due = async {
                        match next {
                            Some(at) => world::at(self.clock.instant(at)).await,
                            None => future::pending().await,
                        }
                    };
                    future::or(due, async { _ = self.timer_set.1.recv().await }).await;
                }
            }
        }
    }
}

impl Inner {
    fn track_removed(&mut self, entries: &[HostEntry], full: bool, now: Micros) {
        let named: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
        let missing = self.names.keys().filter(|id| full && !named.contains(id));
        let deleted = entries.iter().filter(|e| e.state == HostStatus::Removed).map(|e| &e.host);
        for id in missing.chain(deleted) {
            self.left.entry(*id).or_insert(now);
        }
        for e in entries.iter().filter(|e| e.state != HostStatus::Removed) {
            self.left.remove(&e.host);
        }
    }

    /// A server's number: drawn from its name, so that all proxies agree on the order of servers.
    fn host_id(&mut self, name: &str) -> HostId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let shared = shared_host_id(name);
        let mut id: HostId = shared;
        while self.names.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.names.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        // Two that others call the same: nobody can say which of them is meant.
        self.shared.entry(shared).and_modify(|known| *known = None).or_insert(Some(id));
        id
    }
}

fn tell(open: &OpenRequest, order: Directive) {
    // The mailbox is unbounded, and closed only when its request is over.
    let _ = open.orders.try_send(order);
}

/// A write whose answer is passed on in pieces. It is over, and committed, when this is dropped.
pub struct StreamedWrite {
    core: Rc<Core>,
    session: u64,
    /// The position of the commit, once it is told.
    pub commit: Option<Micros>,
}

impl Drop for StreamedWrite {
    fn drop(&mut self) {
        self.core.feed(Event::Sessions(SessionEvent::StreamEnds(self.session, self.commit)));
    }
}

/// A request's place in the core; dropping it gives the place back.
pub struct RequestHandle<'a> {
    core: &'a Core,
    id: RequestId,
    mailbox: Receiver<Directive>,
    answered: Cell<bool>,
    /// Its class and group.
    of: (u8, GroupId),
}

impl RequestHandle<'_> {
    /// The module's next order for this request.
    pub async fn order(&self) -> Directive {
        match self.mailbox.recv().await {
            Ok(order) => order,
            // The core outlives every ticket.
            Err(_) => Directive::Fail,
        }
    }

    /// What the start of the attempt that was ordered last rests on, asked as its first byte is about to go.
    pub fn start_conditions(&self, now: Micros) -> RequestStart {
        self.core.inner.borrow_mut().router.start_conditions(now, self.id)
    }

    /// What this answer to what was sent at that time amounts to, where the module holds it to be too old.
    pub fn stale_outcome(&self, host: HostId, note: &HostReport, sent: Micros) -> Option<Outcome> {
        let inner = self.core.inner.borrow();
        let outcome = inner.router.stale_outcome(self.id, host, note, sent);
        outcome.filter(|_| !mutants::on("stale answers pass"))
    }

    /// The request's last byte is here, and passed on.
    pub fn whole(&self, give_up_at: Micros) {
        if let Some(open) = self.core.inner.borrow_mut().open.get_mut(&self.id) {
            (open.coming, open.give_up_at) = (false, give_up_at);
        }
        self.core.feed(Event::RequestComplete(self.id, give_up_at));
    }

    /// An attempt of this request ended; its connection is given back or closed by now.
    pub fn ended(&self, e: AttemptEnd) {
        let finished = self.answered.get() || e.outcome == Outcome::Ok;
        self.answered.set(finished);
        let how = match e.outcome {
            Outcome::Ok => RecordedOutcome::Served(e.latency.as_micros() as u64),
            Outcome::Unsuitable => RecordedOutcome::Unsuitable,
            _ => RecordedOutcome::Other,
        };
        self.core.note(|r| r.attempt_ended(self.of.0, self.of.1, how));
        if let Some(headroom) = self.core.headroom.borrow_mut().as_mut() {
            let ended = match e.outcome {
                Outcome::Ok => AttemptOutcome::Served(e.latency.as_micros() as u64),
                Outcome::Overloaded | Outcome::Timeout => AttemptOutcome::Overloaded,
                _ => AttemptOutcome::Other,
            };
            let now = self.core.clock.now();
            headroom.attempt_ended(self.of.0, self.of.1, e.host, ended, now);
            if let (Some(Role::Replica), Some(at)) = (e.note.role, e.note.position) {
                headroom.replica_lag(self.of.1, now.saturating_sub(at), now);
            }
        }
        self.core.feed(Event::Outcome(AttemptResult {
            id: self.id,
            attempt: e.number,
            host: e.host,
            outcome: e.outcome,
            latency: e.latency.as_micros() as Micros,
            finished,
            note: e.note,
            report: HostReport::default(),
        }));
    }

    /// The client gets an answer that is none of the module's: with the attempt, the request is over.
    pub fn answered(&self) {
        self.answered.set(true);
    }

    /// The client has left, or gets an answer that is none of the module's: nothing is to be begun any more.
    pub fn abandoned(&self) {
        self.answered.set(true);
        self.core.feed(Event::ClientGone(self.id));
        // The order to withdraw an attempt, which its task has done already.
        while !matches!(self.mailbox.try_recv(), Err(TryRecvError::Empty | TryRecvError::Closed)) {}
    }
}

impl Drop for RequestHandle<'_> {
    fn drop(&mut self) {
        if mutants::on("places are kept") {
            return;
        }
        self.core.inner.borrow_mut().open.remove(&self.id);
    }
}
