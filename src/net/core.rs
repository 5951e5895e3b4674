//! The core connects the decision module (the `Router`) to the rest of the proxy. It owns the `Router`, the clock, the
//! module's timers, the map between host names and ids, the directive queue of each open request, and the figures. It
//! translates what happened into the module's events, and the module's actions into directives for requests, tasks for
//! `hosts` and updates for `peers`. It must never touch a socket, depend on a protocol's messages, or make a decision
//! itself.

use super::backoff;
use super::events::{EventFigures, Events};
use super::listing::{Listing, Status};
use super::work;
use super::world;
use crate::invariants::RequestStart;
use crate::mutants;
use crate::settings::ProgramSettings;
use crate::talk;
use crate::{
    Access, Action, AttemptResult, Class, Event, GroupId, HostEntry, HostId, HostReport, HostStatus,
    Idempotency, ListUpdate, Micros, Outcome, RequestId, RequestInfo, Role, Router, SessionEvent, Settings,
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

/// With a cached list, the proxy waits this long for discovery's first answer before it serves from the cache. It doesn't
/// wait where the proxies take turns at asking discovery.
const DISCOVERY_GRACE: Duration = Duration::from_secs(1);

/// The name of a host that left the list is kept for this many cold durations. That is longer than the module keeps the
/// host, so an id never passes to another name while the module still knows it.
const NAME_RETENTION_COLD_DURATIONS: Micros = 4;

/// The proxy's only clock, and the only place that converts other times to the module's.
///
/// The module counts microseconds since the Unix epoch, and the count advances with the monotonic clock from the
/// program's start. A position or a start time in Unix milliseconds only needs another unit.
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
    /// Converts an instant to the module's time.
    pub fn micros(&self, at: Instant) -> Micros {
        (self.unix + at.saturating_duration_since(self.started)).as_micros() as Micros
    }
    /// Converts the module's time to an instant.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros(at).saturating_sub(self.unix)
    }
    /// Converts Unix milliseconds, the unit of commit positions in answers and of start times in the list.
    pub fn from_unix_ms(ms: u64) -> Micros {
        ms.saturating_mul(1_000)
    }
    /// Converts Unix seconds, the unit of positions in load reports.
    pub fn from_unix_s(seconds: f64) -> Micros {
        (seconds * 1e6) as Micros
    }
}

/// The 64-bit FNV-1a hash of a text. Every proxy computes the same value, so ids derived from names agree between proxies.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// The id of a host that all proxies share, whatever `HostId` each of them uses for it.
pub fn shared_host_id(name: &str) -> u32 {
    let hash = fnv1a(name);
    (hash ^ (hash >> 32)) as u32
}

/// What the decision module tells a request's handler to do next.
#[derive(Debug)]
pub enum Directive {
    /// Start an attempt, and stop waiting for its answer at `deadline`.
    Attempt { host: HostId, number: u8, deadline: Micros },
    /// Withdraw the attempt that is in flight.
    Withdraw,
    /// Final: refuse the request, and advise the client to retry after this delay.
    Refuse { retry_in: Micros },
    /// Final: fail the request.
    Fail,
}

/// A task of the decision module for `hosts`.
#[derive(Debug)]
pub enum HostTask {
    /// Probe this host.
    Probe(HostId),
    /// Close the idle connections to this host.
    CloseIdle(HostId),
}

/// What the core needs to know of a request. It doesn't depend on the client's protocol.
pub struct Request {
    pub class: u8,
    pub session: u64,
    pub group: GroupId,
    /// When the client stops waiting for the answer.
    pub give_up_at: Micros,
    /// The replication position that the read must see at least.
    pub min_position: Option<Micros>,
    /// The client marks the request as a retry of its own.
    pub client_retry: bool,
    /// The client's tenant, where the request names one of the settings.
    pub tenant: Option<u16>,
    /// Hosts know nothing of the request's key and freshness bound: they recognise no second run and don't check
    /// freshness.
    pub plain: bool,
    /// How long an attempt is expected to take; 0 where only the class tells.
    pub expected_duration: Micros,
    /// An earlier request of the same connection is still open.
    pub pipelined: bool,
    /// What the request waited for before it was decoded.
    pub arrival: Arrival,
}

/// The arrival of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrival {
    /// When its last byte was received.
    pub received_at: Micros,
    /// How long its bytes may have been unread before.
    pub unread: Duration,
    /// How long its session had waited for turns until then.
    pub turn_waits: Duration,
}

/// How one attempt ended.
pub struct AttemptEnd {
    pub host: HostId,
    pub number: u8,
    pub outcome: Outcome,
    pub latency: Duration,
    /// What the answer reported about its host.
    pub note: HostReport,
}

/// The counters of one class since the start.
#[derive(Clone, Default, Serialize)]
pub struct ClassCounts {
    pub success: u64,
    pub busy: u64,
    pub failure: u64,
    /// Attempts that were written completely to database hosts.
    pub backend_calls: u64,
}

/// The figures that the operators' console shows.
#[derive(Serialize)]
pub struct Figures {
    calls: BTreeMap<String, ClassCounts>,
    backend_calls: u64,
    inflight: usize,
    hosts_listed: usize,
    hosts_down: usize,
    #[serde(flatten)]
    events: EventFigures,
    /// The headroom of each group, where the proxy learns it.
    #[serde(skip_serializing_if = "Option::is_none")]
    headroom: Option<BTreeMap<GroupId, GroupHeadroom>>,
}

/// A request that has no final answer yet.
struct OpenRequest {
    directives: Sender<Directive>,
    give_up_at: Micros,
    attempts: u8,
    /// Only the head of the statement has been read, so the request doesn't count as in flight yet.
    incomplete: bool,
}

/// The decision module, and what its events and actions are translated with.
struct Inner {
    router: Router,
    /// Empty between events; kept so that its allocation is reused.
    actions: Vec<Action>,
    open: BTreeMap<RequestId, OpenRequest>,
    last_id: RequestId,
    /// The module's timers: when each is due, and the mark that the module gave it.
    timers: BinaryHeap<Reverse<(Micros, u64)>>,
    names: BTreeMap<HostId, String>,
    ids: BTreeMap<String, HostId>,
    /// Hosts by the id that all proxies share; `None` where two hosts have the same one.
    by_shared_id: BTreeMap<u32, Option<HostId>>,
    /// When each host that is no longer listed left the list.
    removed_at: BTreeMap<HostId, Micros>,
    groups: BTreeSet<GroupId>,
    class_counts: Vec<ClassCounts>,
}

/// Owns the decision module, and gives the rest of the proxy access to it.
pub struct Core {
    pub clock: Clock,
    pub program_settings: ProgramSettings,
    /// The retry delay that clients are advised of when the proxy refuses without asking the module; 0 where the settings
    /// allow no advice.
    pub retry_in: Micros,
    inner: RefCell<Inner>,
    /// Counts and logs closes, refusals, retries and broken invariants.
    pub events: Rc<Events>,
    /// Whether requests of each class may run a second time.
    classes: Vec<Class>,
    /// How long the name of a host that left the list is kept.
    name_retention: Micros,
    /// How long the proxy waits for discovery's first answer before it serves from a cached list.
    discovery_grace: Duration,
    /// Notified when the earliest timer changes.
    timer_changed: (Sender<()>, Receiver<()>),
    host_tasks: Sender<HostTask>,
    /// The estimate of the hosts' free capacity, where the proxy learns it.
    headroom: RefCell<Option<Headroom>>,
    /// Whether requests beyond the headroom are refused.
    sheds_load: Cell<bool>,
    /// The random draws for shedding.
    draws: RefCell<Rand64>,
    /// The worth of each class, and whether it writes.
    headroom_classes: Vec<HeadroomClass>,
    /// The recorder of the load capture, where there is one.
    recorder: RefCell<Option<Recorder>>,
    /// The queue of updates for other proxies, where there are any.
    peer_outbox: RefCell<Option<Sender<Vec<Item>>>>,
    /// Closed once discovery has sent a list.
    discovery_answered: (Sender<()>, Receiver<()>),
    /// Whether any list has been applied, cached ones included.
    has_list: Cell<bool>,
}

impl Core {
    /// Creates a core that knows no hosts yet. The receiver yields the tasks for `hosts`.
    pub fn new(
        settings: Settings, program_settings: ProgramSettings, seed: u64,
    ) -> (Core, Receiver<HostTask>) {
        let (host_tasks, task_receiver) = unbounded();
        let limits = &settings.limits;
        let retry_in = if limits.retry_after { limits.max_retry_after / 4 } else { 0 };
        let takes_turns = backoff::takes_turns(settings.proxy_count);
        let discovery_grace = if takes_turns { Duration::ZERO } else { DISCOVERY_GRACE };
        let name_retention = settings.safety.cold_duration.saturating_mul(NAME_RETENTION_COLD_DURATIONS);
        let classes = settings.classes.clone();
        let headroom_class =
            |c: &crate::Class| HeadroomClass { worth: c.worth, writes: c.access == Access::Write };
        let headroom_classes = settings.classes.iter().map(headroom_class).collect();
        let inner = Inner {
            router: Router::new(settings.clone(), seed),
            actions: Vec::new(),
            open: BTreeMap::new(),
            last_id: 0,
            timers: BinaryHeap::new(),
            names: BTreeMap::new(),
            ids: BTreeMap::new(),
            by_shared_id: BTreeMap::new(),
            removed_at: BTreeMap::new(),
            groups: BTreeSet::new(),
            class_counts: vec![ClassCounts::default(); program_settings.class_names.len()],
        };
        let core = Core {
            clock: Clock::start(),
            program_settings,
            retry_in,
            inner: RefCell::new(inner),
            events: Rc::default(),
            classes,
            name_retention,
            discovery_grace,
            timer_changed: async_channel::bounded(1),
            host_tasks,
            recorder: RefCell::default(),
            headroom: RefCell::default(),
            sheds_load: Cell::default(),
            draws: RefCell::new(Rand64::new(u128::from(seed) ^ 0x6865_6164)),
            headroom_classes,
            peer_outbox: RefCell::default(),
            discovery_answered: async_channel::bounded(1),
            has_list: Cell::default(),
        };
        (core, task_receiver)
    }

    /// Returns once requests can be served: discovery has sent a list, or its grace is over and there is a cached list.
    pub async fn ready(&self) {
        let cached_list = async {
            world::at(self.clock.started + self.discovery_grace).await;
            if !self.is_ready() {
                future::pending::<()>().await;
            }
        };
        future::or(async { _ = self.discovery_answered.1.recv().await }, cached_list).await;
    }

    /// Whether `ready` returns at once.
    pub fn is_ready(&self) -> bool {
        self.discovery_answered.0.is_closed()
            || (self.knows_any_host() && world::since(self.clock.started) >= self.discovery_grace)
    }

    /// Increments the counter of a class that `counter` picks.
    pub fn count(&self, class: u8, counter: impl FnOnce(&mut ClassCounts) -> &mut u64) {
        if let Some(counts) = self.inner.borrow_mut().class_counts.get_mut(usize::from(class)) {
            *counter(counts) += 1;
        }
    }

    /// The current figures. Classes without requests are included.
    pub fn figures(&self) -> Figures {
        let inner = self.inner.borrow();
        let (hosts_listed, hosts_down) = inner.router.host_counts();
        Figures {
            calls: self
                .program_settings
                .class_names
                .iter()
                .cloned()
                .zip(inner.class_counts.iter().cloned())
                .collect(),
            backend_calls: inner.class_counts.iter().map(|c| c.backend_calls).sum(),
            inflight: inner.open.values().filter(|o| !o.incomplete).count(),
            hosts_listed,
            hosts_down,
            events: self.events.figures(),
            headroom: self.headroom.borrow().as_ref().map(Headroom::by_group),
        }
    }

    /// Starts to learn the hosts' headroom. With `sheds_load`, requests beyond it are refused.
    pub fn learn_headroom(&self, sheds_load: bool) {
        *self.headroom.borrow_mut() = Some(Headroom::new(self.headroom_classes.clone()));
        self.sheds_load.set(sheds_load);
    }

    /// Whether the hosts' headroom admits a request; always true where the proxy doesn't shed load.
    pub fn admits(&self, request: &Request) -> bool {
        // Refused requests count as load as well.
        self.record_load(|r| r.request_arrived(request.class, request.group, request.expected_duration));
        let mut headroom = self.headroom.borrow_mut();
        let Some(headroom) = headroom.as_mut() else { return true };
        let draw = self.draws.borrow_mut().rand_float();
        headroom.admit(request.class, request.group, draw, self.clock.now()) || !self.sheds_load.get()
    }

    /// Sets the recorder of the load capture; `None` ends the capture.
    pub fn set_recorder(&self, recorder: Option<Recorder>) {
        *self.recorder.borrow_mut() = recorder;
    }

    /// Takes what was recorded in the interval that ends now; `None` without a recorder.
    pub fn take_record(&self, at_ms: u64, for_ms: u64) -> Option<Record> {
        self.recorder.borrow_mut().as_mut().map(|r| r.take_record(at_ms, for_ms))
    }

    /// Calls `record` with the recorder, if there is one.
    pub fn record_load(&self, record: impl FnOnce(&mut Recorder)) {
        if let Some(recorder) = self.recorder.borrow_mut().as_mut() {
            record(recorder);
        }
    }

    /// Whether hosts recognise a second run of the class's requests by a key.
    pub fn is_keyed(&self, class: u8) -> bool {
        let class = self.classes.get(usize::from(class));
        class.is_some_and(|class| matches!(class.idempotency, Idempotency::Keyed(..)))
    }

    /// What a second run of a request does; `None` for an unknown class.
    pub fn idempotency(&self, request: &Request) -> Option<Idempotency> {
        self.classes.get(usize::from(request.class)).map(|class| class.idempotency_of(request.plain))
    }

    /// Whether the class's requests write.
    pub fn writes(&self, class: u8) -> bool {
        self.headroom_classes.get(usize::from(class)).is_some_and(|c| c.writes)
    }

    /// The index of a tenant in the settings.
    pub fn tenant(&self, name: &str) -> Option<u16> {
        self.program_settings
            .tenant_names
            .iter()
            .position(|t| t == name)
            .and_then(|index| u16::try_from(index).ok())
    }

    /// Whether any list has named this group.
    pub fn knows_group(&self, group: GroupId) -> bool {
        self.inner.borrow().groups.contains(&group)
    }

    /// Whether any host is known, from a list or from a manual override.
    pub fn knows_any_host(&self) -> bool {
        !self.inner.borrow().ids.is_empty()
    }

    /// Whether this database host is listed, was listed lately, or has a manual override.
    pub fn knows_host(&self, name: &str) -> bool {
        self.inner.borrow().ids.contains_key(name)
    }

    /// Applies a manual override: operators leave a database host out, or use it again. The override of a host that isn't
    /// listed yet is kept until a list names the host.
    pub fn override_host(&self, name: &str, left_out: bool, since: Micros) {
        let host = self.inner.borrow_mut().host_id(name);
        self.feed(Event::HostOverride { host, left_out, since });
    }

    /// Whether operators leave a database host out.
    pub fn is_left_out(&self, name: &str) -> bool {
        let inner = self.inner.borrow();
        inner.ids.get(name).is_some_and(|id| inner.router.left_out_since(*id).is_some())
    }

    /// When operators left the database host out, if they do.
    pub fn left_out_since(&self, host: HostId) -> Option<Micros> {
        self.inner.borrow().router.left_out_since(host)
    }

    /// Opens a request, and returns the handle by which its handler follows the module's directives. The time of an
    /// `incomplete` request, whose last bytes are still to come, begins with `RequestHandle::complete`.
    pub fn open(&self, request: &Request, incomplete: bool) -> RequestHandle<'_> {
        let (directives, directive_receiver) = unbounded();
        let id = {
            let mut inner = self.inner.borrow_mut();
            inner.last_id = inner.last_id.wrapping_add(1);
            let id = inner.last_id;
            let give_up_at = request.give_up_at;
            inner.open.insert(id, OpenRequest { directives, give_up_at, attempts: 0, incomplete });
            id
        };
        let now = self.clock.now();
        // An age of 0 means "no token", so a commit of this very moment counts as 1 us old.
        let token_age_ms =
            request.min_position.map_or(0.0, |at| (now.saturating_sub(at) as f32 / 1e3).max(0.001));
        let info = RequestInfo {
            id,
            class: request.class,
            session: request.session,
            give_up_at: request.give_up_at,
            group: request.group,
            token_ms: token_age_ms,
            client_retry: request.client_retry,
            tenant: request.tenant,
            plain: request.plain,
            expected_duration: request.expected_duration,
            pipelined: request.pipelined,
        };
        self.feed(if incomplete { Event::RequestHead(info) } else { Event::Request(info) });
        let class_and_group = (request.class, request.group);
        let answered = Cell::new(false);
        RequestHandle { core: self, id, directives: directive_receiver, answered, class_and_group }
    }

    /// Sets the queue of updates for other proxies. An update that the queue can't take at once is dropped.
    pub fn set_peer_outbox(&self, peer_outbox: Sender<Vec<Item>>) {
        *self.peer_outbox.borrow_mut() = Some(peer_outbox);
    }

    /// Passes updates of another proxy to the module.
    pub fn receive_from_peer(&self, from: u16, items: &[Item]) {
        let updates = {
            let inner = self.inner.borrow();
            let own_id = |shared_id| inner.by_shared_id.get(&shared_id).copied().flatten();
            items.iter().filter_map(|item| talk::from_item(*item, own_id)).collect()
        };
        self.feed(Event::Peer { from, updates });
    }

    /// Sets whether another process serves the same clients. Reads of this process's sessions must see the writes that
    /// the other process answers.
    pub fn set_other_process(&self, runs: bool) {
        self.feed(Event::Sessions(SessionEvent::OtherProcess(runs)));
    }

    /// Called when the answer to a request starts to be streamed to the client. For a write it returns a guard; until the
    /// guard is dropped, the reads of the write's session have to see what it commits.
    pub fn begin_streamed_write(self: &Rc<Core>, request: &Request) -> Option<StreamedWrite> {
        if !self.headroom_classes.get(usize::from(request.class))?.writes {
            return None;
        }
        self.feed(Event::Sessions(SessionEvent::StreamBegins(request.session)));
        Some(StreamedWrite { core: self.clone(), session: request.session, commit: None })
    }

    /// Passes on what an answer that isn't complete yet has reported about its host.
    pub fn partial_answer(&self, host: HostId, note: HostReport) {
        if !mutants::on("notes wait for the answer's end") {
            self.feed(Event::PartialAnswer { host, note });
        }
    }

    /// Passes on the result of a probe; `None` is a probe that failed.
    pub fn probe_finished(&self, host: HostId, report: Option<HostReport>) {
        let ok = report.is_some();
        self.feed(Event::Probed { host, ok, report: report.unwrap_or_default() });
    }

    /// Passes a list to the module. Returns the id of every entry, in the list's order.
    pub fn apply_listing(&self, listing: &Listing, cached: bool) -> Vec<HostId> {
        let update = match (cached, listing.full) {
            (true, _) => ListUpdate::Cached,
            (false, true) => ListUpdate::Full,
            (false, false) => ListUpdate::Delta,
        };
        // An unknown name gets the index behind all known ones.
        let index_of = |names: &[String], name: &str| {
            let found = names.iter().position(|n| n == name);
            u8::try_from(found.unwrap_or(names.len())).unwrap_or(u8::MAX)
        };
        let mut entries = Vec::new();
        for listed in &listing.entries {
            let host = self.inner.borrow_mut().host_id(&listed.name);
            self.inner.borrow_mut().groups.insert(listed.group);
            entries.push(HostEntry {
                host,
                zone: index_of(&self.program_settings.zone_names, &listed.zone),
                machine_type: index_of(&self.program_settings.host_type_names, &listed.kind),
                group: listed.group,
                state: match listed.status {
                    Status::Serving => HostStatus::Ready,
                    Status::Draining => HostStatus::Draining,
                    Status::Deleted => HostStatus::Removed,
                },
                weight: listed.weight,
                primary: listed.writer,
                started: if mutants::on("cold is warm") { 0 } else { Clock::from_unix_ms(listed.since_ms) },
            });
        }
        let ids: Vec<HostId> = entries.iter().map(|e| e.host).collect();
        self.inner.borrow_mut().track_removed(&entries, listing.full, self.clock.now());
        if !cached {
            self.discovery_answered.0.close();
        }
        let list = Event::List { update, entries: entries.into() };
        if self.has_list.replace(true) {
            self.feed(list);
        } else {
            // Both in one batch: an event before the first list would delay the first probes.
            self.feed_all(&[Event::Sessions(SessionEvent::Started), list]);
        }
        ids
    }

    /// Forgets the hosts that left the list long ago, and returns their ids. Guards against memory that grows without
    /// bound where hosts are often replaced by new ones.
    pub fn forget_removed_hosts(&self) -> Vec<HostId> {
        let now = self.clock.now();
        let mut inner = self.inner.borrow_mut();
        let Inner { removed_at, names, ids, router, by_shared_id, .. } = &mut *inner;
        let forgotten: Vec<HostId> = removed_at
            .iter()
            .filter(|(id, at)| **at + self.name_retention < now && router.left_out_since(**id).is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in &forgotten {
            removed_at.remove(id);
            if let Some(name) = names.remove(id) {
                ids.remove(&name);
                by_shared_id.remove(&shared_host_id(&name));
            }
        }
        forgotten
    }

    /// Passes one event to the module, and carries out the actions that it returns.
    fn feed(&self, event: Event) {
        self.feed_all(&[event]);
    }

    /// Passes events of one moment to the module, and carries out the actions that it returns.
    fn feed_all(&self, events: &[Event]) {
        work::charge(work::MODULE_EVENT);
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let earliest = inner.timers.peek().map(|t| t.0.0);
        let mut actions = std::mem::take(&mut inner.actions);
        inner.router.handle(self.clock.now(), events, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, host, timeout } => {
                    let Some(open) = inner.open.get_mut(&id) else { continue };
                    let deadline = match timeout {
                        0 => open.give_up_at,
                        timeout => open.give_up_at.min(self.clock.now().saturating_add(timeout)),
                    };
                    let directive = Directive::Attempt { host, number: open.attempts, deadline };
                    open.attempts = open.attempts.saturating_add(1);
                    send_directive(open, directive);
                }
                Action::Refuse { .. } | Action::Fail(_) if mutants::on("no final answer") => {}
                Action::Refuse { id, retry_in } => {
                    let refuse = |open| send_directive(open, Directive::Refuse { retry_in });
                    inner.open.get(&id).into_iter().for_each(refuse);
                }
                Action::Fail(id) => {
                    inner.open.get(&id).into_iter().for_each(|open| send_directive(open, Directive::Fail));
                }
                Action::Cancel(id, _) => {
                    let withdraw = |open| send_directive(open, Directive::Withdraw);
                    inner.open.get(&id).into_iter().for_each(withdraw);
                }
                Action::Timer { at, mark } => inner.timers.push(Reverse((at, mark))),
                Action::Probe(host) => drop(self.host_tasks.try_send(HostTask::Probe(host))),
                Action::CloseIdle(host) => drop(self.host_tasks.try_send(HostTask::CloseIdle(host))),
                Action::Log(text) => {
                    // The second word is the host's id. Operators know hosts by name, so the name replaces the id.
                    let number = text.split(' ').nth(1).unwrap_or("");
                    match number.parse().ok().and_then(|id: HostId| inner.names.get(&id)) {
                        Some(name) => {
                            info!(target: "module", host = %name, "{}", text.replacen(number, name, 1))
                        }
                        None => info!(target: "module", "{text}"),
                    }
                }
                Action::Broadcast(updates) => {
                    if let Some(peer_outbox) = self.peer_outbox.borrow().as_ref() {
                        let shared_id = |id| inner.names.get(&id).map(|name| shared_host_id(name));
                        let items = updates
                            .into_iter()
                            .filter_map(|update| talk::to_item(update, shared_id))
                            .collect();
                        // A full or closed queue loses this update; newer ones follow.
                        let _ = peer_outbox.try_send(items);
                    }
                }
                // `discovery` watches the list without being asked.
                Action::Subscribe => {}
            }
        }
        inner.actions = actions;
        if inner.timers.peek().map(|t| t.0.0) != earliest {
            // A full channel means that the timers' task is about to look at the timers anyway.
            let _ = self.timer_changed.0.try_send(());
        }
    }

    /// Passes the module its timers as they fall due. Never returns.
    pub async fn run_timers(&self) {
        loop {
            let next = self.inner.borrow().timers.peek().map(|t| t.0.0);
            match next {
                Some(at) if at <= self.clock.now() => {
                    work::pause().await;
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
                    future::or(due, async { _ = self.timer_changed.1.recv().await }).await;
                }
            }
        }
    }
}

impl Inner {
    /// Records when hosts left the list, and removes the record of hosts that are listed again.
    fn track_removed(&mut self, entries: &[HostEntry], full: bool, now: Micros) {
        let named: BTreeSet<HostId> = entries.iter().map(|e| e.host).collect();
        let missing = self.names.keys().filter(|id| full && !named.contains(id));
        let deleted = entries.iter().filter(|e| e.state == HostStatus::Removed).map(|e| &e.host);
        for id in missing.chain(deleted) {
            self.removed_at.entry(*id).or_insert(now);
        }
        for entry in entries.iter().filter(|e| e.state != HostStatus::Removed) {
            self.removed_at.remove(&entry.host);
        }
    }

    /// The id of a host, which is assigned when its name first appears. It is derived from the name, so that all proxies
    /// agree on the order of hosts.
    fn host_id(&mut self, name: &str) -> HostId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let shared_id = shared_host_id(name);
        let mut id: HostId = shared_id;
        while self.names.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.names.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        // Where two hosts have the same shared id, an update of another proxy can't be assigned to either.
        self.by_shared_id.entry(shared_id).and_modify(|known| *known = None).or_insert(Some(id));
        id
    }
}

fn send_directive(open: &OpenRequest, directive: Directive) {
    // The queue is unbounded, and closed only when its request is over.
    let _ = open.directives.try_send(directive);
}

/// Guard of a write whose answer is streamed to the client. Dropping it tells the module that the write is over and
/// committed.
pub struct StreamedWrite {
    core: Rc<Core>,
    session: u64,
    /// The position of the commit, once the host has reported it.
    pub commit: Option<Micros>,
}

impl Drop for StreamedWrite {
    fn drop(&mut self) {
        self.core.feed(Event::Sessions(SessionEvent::StreamEnds(self.session, self.commit)));
    }
}

/// An open request in the core; dropping the handle closes the request.
pub struct RequestHandle<'a> {
    core: &'a Core,
    id: RequestId,
    directives: Receiver<Directive>,
    /// The client has its final answer, or gets one that the module did not decide.
    answered: Cell<bool>,
    class_and_group: (u8, GroupId),
}

impl RequestHandle<'_> {
    /// Waits for the module's next directive for this request.
    pub async fn next_directive(&self) -> Directive {
        match self.directives.recv().await {
            Ok(directive) => directive,
            // Unreachable: the core outlives every handle.
            Err(_) => Directive::Fail,
        }
    }

    /// The conditions under which the latest attempt may start. Asked just before its first byte is written.
    pub fn start_conditions(&self, now: Micros) -> RequestStart {
        self.core.inner.borrow_mut().router.start_conditions(now, self.id)
    }

    /// The outcome of an attempt that was sent at `sent_at`, where the module finds its answer too old for the request.
    pub fn stale_outcome(&self, host: HostId, note: &HostReport, sent_at: Micros) -> Option<Outcome> {
        let inner = self.core.inner.borrow();
        let outcome = inner.router.stale_outcome(self.id, host, note, sent_at);
        outcome.filter(|_| !mutants::on("stale answers pass"))
    }

    /// Reports that the last byte of an incomplete request was received and written to its host.
    pub fn complete(&self, give_up_at: Micros) {
        if let Some(open) = self.core.inner.borrow_mut().open.get_mut(&self.id) {
            open.incomplete = false;
            open.give_up_at = give_up_at;
        }
        self.core.feed(Event::RequestComplete(self.id, give_up_at));
    }

    /// Reports the end of an attempt, whose connection has been returned to the pool or closed by now.
    pub fn attempt_ended(&self, end: AttemptEnd) {
        let finished = self.answered.get() || end.outcome == Outcome::Ok;
        self.answered.set(finished);
        let (class, group) = self.class_and_group;
        let tried = match end.outcome {
            Outcome::Ok => RecordedOutcome::Served(end.latency.as_micros() as u64),
            Outcome::Unsuitable => RecordedOutcome::Unsuitable,
            _ => RecordedOutcome::Other,
        };
        self.core.record_load(|r| r.attempt_ended(class, group, tried));
        if let Some(headroom) = self.core.headroom.borrow_mut().as_mut() {
            let ended = match end.outcome {
                Outcome::Ok => AttemptOutcome::Served(end.latency.as_micros() as u64),
                Outcome::Overloaded | Outcome::Timeout => AttemptOutcome::Overloaded,
                _ => AttemptOutcome::Other,
            };
            let now = self.core.clock.now();
            headroom.attempt_ended(class, group, end.host, ended, now);
            if let (Some(Role::Replica), Some(at)) = (end.note.role, end.note.position) {
                headroom.replica_lag(group, now.saturating_sub(at), now);
            }
        }
        self.core.feed(Event::Outcome(AttemptResult {
            id: self.id,
            attempt: end.number,
            host: end.host,
            outcome: end.outcome,
            latency: end.latency.as_micros() as Micros,
            finished,
            note: end.note,
            report: HostReport::default(),
        }));
    }

    /// Marks the request as answered by something that the module did not decide: the end of its attempt ends the
    /// request.
    pub fn mark_answered(&self) {
        self.answered.set(true);
    }

    /// Abandons the request: its client disconnected, or gets an answer that the module did not decide. No further attempt
    /// starts.
    pub fn abandon(&self) {
        self.answered.set(true);
        self.core.feed(Event::ClientGone(self.id));
        // Drops the directive to withdraw the attempt, which the handler has withdrawn already.
        while !matches!(self.directives.try_recv(), Err(TryRecvError::Empty | TryRecvError::Closed)) {}
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
