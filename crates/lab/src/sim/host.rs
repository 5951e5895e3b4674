//! Simulates database hosts: their sessions, the replication in their groups, and their faults. [`Fleet`] holds the state
//! of all hosts and reports to the rule checker what they receive and answer. A simulated host must not be more tolerant
//! than a real one: a replica shows only what it has applied, and rejects writes.

use super::check::{AttemptOrigin, AttemptState, HostLocation, RuleChecker};
use super::deployment::{Access, Class, DedupScope, Deployment, Idempotency, LagCheck, SessionTokens};
use super::foreign_ids::RecentRequests;
use super::world::{Micros, World};
use crate::wire;
use futures_lite::future;
use sillfold::net::scheduler::Spawner;
use sillfold::net::world::{self, Listener, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The number of cores of a host.
pub const CORES_PER_HOST: usize = 4;
/// The number of sessions that a host accepts.
const MAX_SESSIONS: usize = 100;
/// A host rejects work that would wait longer than this for a core.
const MAX_CORE_WAIT_US: Micros = 600_000;
/// How often a host that waits for replication checks what has been applied.
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The length of a long value, beyond what a proxy holds.
const LONG_VALUE_BYTES: usize = 70 * 1024;
/// How long a host takes to commit a write behind its long value.
const LONG_COMMIT_US: Micros = 30_000;
/// The limit of the length of a message; a longer one is an error.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// How a host answers requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum HostMode {
    /// As it should.
    #[default]
    Healthy,
    /// The host fails every request at once.
    Errors,
    /// The host sends invalid bytes, or a part of an answer, and closes the connection.
    Garbage,
}

/// A fault in the delivery of an answer of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnswerFault {
    /// The answer is delivered completely and at once.
    #[default]
    None,
    /// The answer ends after the completion of its command, with its status parameters or without; the session sends
    /// nothing more.
    Cut,
    /// The answer is lost, and the session sends nothing more.
    Lost,
    /// The answer is delayed by this time.
    Delayed(Micros),
    /// Only the role of the host is sent, and the session sends nothing more.
    RoleOnly,
}

/// An answer to a request, not yet written to the connection.
struct Answer {
    /// The row and the completion of the command, or an error.
    body: Vec<u8>,
    /// The status parameters: the role of the host and, where the deployment sends it, the position of the data.
    parameters: Vec<u8>,
    /// Whether the status parameters report the host as the primary; `None` if the answer has none.
    role: Option<bool>,
    /// The commit, if the request was a write.
    commit: Option<Commit>,
}

/// The commit of a write: the id and the session of its request, and its position in the log.
struct Commit {
    id: String,
    session: String,
    position: Micros,
}

/// The state of a host, which outlives the host's processes.
pub struct Host {
    /// The name of the host in the list.
    pub name: String,
    /// The address on which the host listens.
    pub address: SocketAddr,
    /// The group of the host.
    pub group: usize,
    /// The zone of the host.
    pub zone: u8,
    /// Whether the host is the primary of its group, which accepts writes.
    pub primary: bool,
    /// How far the host applies the log behind the primary.
    pub lag: Micros,
    /// When the process of the host started; 0 if it ran before the simulation began.
    pub started: Micros,
    /// The status of the host in the list.
    pub status: &'static str,
    /// How the host answers requests.
    pub mode: HostMode,
    /// The factor by which the work of the host takes longer.
    pub slowdown: u64,
    /// The delay of about half of the new sessions before their welcome.
    pub session_delay: Micros,
    /// The fault of the delivery of answers, and the percentage of answers that have it.
    pub answer_fault: (AnswerFault, u64),
    /// When the host took its role.
    pub role_since: Micros,
    /// The position up to which the host has applied the log of its group.
    applied: Micros,
    /// By core, when the work accepted so far ends.
    busy_until: [Micros; CORES_PER_HOST],
    /// The number of open sessions.
    sessions: usize,
}

/// All hosts, and the state that they share with discovery and clients.
pub struct Fleet {
    /// The simulated world: time, random draws, network and trace.
    pub world: Rc<World>,
    /// All hosts; the index is the number of the host.
    pub hosts: RefCell<Vec<Host>>,
    /// The checker of the rules.
    pub checker: RefCell<RuleChecker>,
    /// The classes of requests.
    pub classes: Vec<Rc<Class>>,
    /// The deployment that is simulated.
    pub deployment: Deployment,
    /// The version of the list of hosts; it grows with each change.
    pub list_version: Cell<u64>,
    /// The first write of each idempotency key, by the hosts that share the key.
    keyed_writes: RefCell<BTreeMap<(KeyScope, String), KeyedWrite>>,
    /// The position of the latest commit of each session.
    last_commits: RefCell<BTreeMap<String, Micros>>,
    /// The number of values answered so far; it makes each value unique.
    answered_values: Cell<u64>,
    /// The usual clients' requests that are open, or ended a moment ago.
    pub recent_requests: RecentRequests,
    /// The id of the last write to each row of pipelining clients.
    rows: RefCell<BTreeMap<String, String>>,
    /// The number of pipelines so far.
    series: Cell<u64>,
}

/// The hosts that share the idempotency keys of writes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum KeyScope {
    All,
    Zone(u8),
    Group(usize),
}

/// The first write of an idempotency key: when it ran, the value it returned and the position of its commit.
#[derive(Clone)]
struct KeyedWrite {
    committed_at: Micros,
    value: String,
    position: Micros,
}

/// Counts an open session of a host until it is dropped.
struct SessionSlot(Rc<Fleet>, usize);

impl Drop for SessionSlot {
    fn drop(&mut self) {
        self.0.hosts.borrow_mut()[self.1].sessions -= 1;
    }
}

/// A request as a host parses it.
struct HostRequest<'a> {
    id: &'a str,
    class: Rc<Class>,
    group: usize,
    session: &'a str,
    /// The position that the data must have reached, in Unix milliseconds.
    after: Option<u64>,
    /// The idempotency key of a write.
    key: Option<&'a str>,
    /// Whether the answer has a long value, which is sent before the commit.
    is_long: bool,
}

impl Fleet {
    /// A fleet in this world, without hosts.
    pub fn new(world: Rc<World>, checker: RuleChecker, deployment: Deployment) -> Fleet {
        let (hosts, keyed_writes, last_commits) = Default::default();
        let classes = deployment.classes.iter().cloned().map(Rc::new).collect();
        let (list_version, answered_values) = (Cell::new(1), Cell::new(0));
        let checker = RefCell::new(checker);
        Fleet {
            world,
            hosts,
            checker,
            classes,
            deployment,
            list_version,
            keyed_writes,
            last_commits,
            answered_values,
            recent_requests: RecentRequests::default(),
            rows: RefCell::default(),
            series: Cell::default(),
        }
    }

    /// The id of the last write to a row.
    pub fn row(&self, row: &str) -> Option<String> {
        self.rows.borrow().get(row).cloned()
    }

    /// The number of the next pipeline.
    pub fn next_series(&self) -> u64 {
        self.series.set(self.series.get() + 1);
        self.series.get()
    }

    /// How far replicas apply behind the primary while no fault is active.
    pub fn usual_lag(&self) -> Micros {
        self.deployment.replication_delay_ms * 1_000
    }

    /// Adds a host that is healthy and warm.
    pub fn add_host(&self, group: usize, zone: u8, address: SocketAddr, primary: bool) {
        let mut hosts = self.hosts.borrow_mut();
        let name = format!("s-{}", hosts.len());
        hosts.push(Host {
            name,
            address,
            group,
            zone,
            primary,
            lag: self.usual_lag(),
            started: 0,
            status: "SERVING",
            mode: HostMode::Healthy,
            slowdown: 1,
            session_delay: 0,
            answer_fault: Default::default(),
            role_since: 0,
            applied: 0,
            busy_until: [0; CORES_PER_HOST],
            sessions: 0,
        });
    }

    /// Changes a host, and gives the list a new version.
    pub fn change(&self, host: usize, change: impl FnOnce(&mut Host)) {
        self.applied_position(host);
        change(&mut self.hosts.borrow_mut()[host]);
        self.list_version.set(self.list_version.get() + 1);
    }

    /// Makes a host the primary of its group, or a replica.
    pub fn set_role(&self, host: usize, primary: bool) {
        let now = self.world.now();
        self.change(host, |h| (h.primary, h.role_since) = (primary, now));
        if !primary {
            self.checker.borrow_mut().freshness.primary_demoted(now, host);
        }
    }

    /// Resets the work of a host whose process starts anew at this time.
    pub fn start_process(&self, host: usize, started: Micros) {
        let host = &mut self.hosts.borrow_mut()[host];
        (host.busy_until, host.started) = ([0; CORES_PER_HOST], started);
    }

    /// The position up to which a host has applied the log of its group; it never decreases.
    fn applied_position(&self, host: usize) -> Micros {
        let host = &mut self.hosts.borrow_mut()[host];
        host.applied =
            host.applied.max(self.world.now().saturating_sub(if host.primary { 0 } else { host.lag }));
        host.applied
    }

    /// Sets how far a host applies the log behind the primary from now on.
    pub fn set_lag(&self, host: usize, lag: Micros) {
        self.applied_position(host);
        self.hosts.borrow_mut()[host].lag = lag;
    }

    /// Schedules work, in microseconds of one core, on the core that is free first. Returns when it ends, or `None` if it
    /// would wait too long for a core.
    fn schedule_work(&self, host: usize, work: f64) -> Option<Micros> {
        let now = self.world.now();
        let host = &mut self.hosts.borrow_mut()[host];
        let core = host.busy_until.iter_mut().min()?;
        let begin = (*core).max(now);
        if begin > now + MAX_CORE_WAIT_US {
            return None;
        }
        *core = begin + (work * host.slowdown as f64) as Micros;
        Some(*core)
    }

    /// Runs the process of a host: accepts sessions until the listener fails.
    pub async fn serve(self: Rc<Fleet>, host: usize, listener: Listener, spawner: Spawner) {
        while let Ok(stream) = listener.accept().await {
            let (peer, connection) = self.world.last_accepted();
            let fleet = self.clone();
            spawner.spawn(async move {
                fleet.hosts.borrow_mut()[host].sessions += 1;
                let session = SessionSlot(fleet.clone(), host);
                let _ = fleet.serve_session(host, &stream, peer, connection).await;
                drop(session);
            });
        }
    }

    /// Serves a session: startup, probes and requests. `peer` is the machine of the proxy process.
    async fn serve_session(
        self: &Rc<Fleet>, host: usize, stream: &Stream, peer: usize, connection: u64,
    ) -> std::io::Result<()> {
        let mut received = Vec::new();
        loop {
            if received.len() >= 4 {
                let len = u32::from_be_bytes([received[0], received[1], received[2], received[3]]) as usize;
                if received.len() >= len.max(8) {
                    received.drain(..len.max(8));
                    break;
                }
            }
            if stream.read_with(|part| received.extend(part)).await? == 0 {
                return Ok(());
            }
        }
        let delay = self.hosts.borrow()[host].session_delay;
        if delay > 0 && self.world.draw_below(2) == 0 {
            world::after(Duration::from_micros(delay)).await;
        }
        if self.hosts.borrow()[host].sessions > MAX_SESSIONS {
            return stream.write_all(&wire::error_response("53300", "too many connections")).await;
        }
        let welcome = [
            wire::message(b'R', &[0; 4]),
            wire::parameter_status("server_version", "17.0"),
            wire::ready_for_query(),
        ]
        .concat();
        stream.write_all(&welcome).await?;
        loop {
            let Some((kind, body)) = read_message(stream, &mut received).await? else { return Ok(()) };
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
            if text.trim() == "SHOW usage" {
                stream.write_all(&self.usage_answer(host)).await?;
                continue;
            }
            let Some(answer) = self.handle_request(host, &text, peer, connection, stream).await else {
                return Ok(());
            };
            if !self.deliver(host, (peer, connection), stream, answer).await? {
                // The session sends nothing more until the proxy closes it.
                while stream.read_with(|_| ()).await? > 0 {}
                return Ok(());
            }
        }
    }

    /// The answer to a probe: the applied position in Unix seconds, the role, and a fixed load.
    fn usage_answer(&self, host: usize) -> Vec<u8> {
        let (position, is_primary) =
            (self.applied_position(host), u8::from(self.hosts.borrow()[host].primary));
        let position_s =
            (position as f64 / 1e3 + (self.world.unix_ms() - self.world.now() / 1_000) as f64) / 1e3;
        let body = row(&format!("x0={position_s:.3},x1={is_primary},util=0.1,queue=0"), "SHOW");
        [body, wire::ready_for_query()].concat()
    }

    /// Writes an answer, subject to the delivery fault of the host. Returns whether the session may send anything after.
    async fn deliver(
        &self, host: usize, (peer, connection): (usize, u64), stream: &Stream, answer: Answer,
    ) -> std::io::Result<bool> {
        let (fault, percent) = self.hosts.borrow()[host].answer_fault;
        let fault =
            if percent > 0 && self.world.draw_below(100) < percent { fault } else { AnswerFault::None };
        self.record_answer(host, peer, &answer, fault);
        let Answer { body, parameters, commit, .. } = answer;
        if let Some(commit) = commit
            && matches!(fault, AnswerFault::None | AnswerFault::Cut)
            && self.world.is_peer_reachable(connection)
        {
            self.checker.borrow_mut().write_answered(self.world.now(), &commit.id);
        }
        match fault {
            AnswerFault::None => {}
            AnswerFault::Delayed(delay) => world::after(Duration::from_micros(delay)).await,
            AnswerFault::Cut => {
                let parameters = if self.world.draw_below(2) == 0 { parameters } else { Vec::new() };
                stream.write_all(&[body, parameters].concat()).await?;
                return Ok(false);
            }
            AnswerFault::Lost => return Ok(false),
            AnswerFault::RoleOnly => {
                stream.write_all(&self.role_parameter(host)).await?;
                return Ok(false);
            }
        }
        stream.write_all(&[body, parameters, wire::ready_for_query()].concat()).await?;
        Ok(true)
    }

    /// Reports an answer that is written to a process now to the rule checker, whether or not it will arrive.
    fn record_answer(&self, host: usize, peer: usize, answer: &Answer, fault: AnswerFault) {
        let now = self.world.now();
        let freshness = &mut self.checker.borrow_mut().freshness;
        if answer.role == Some(false) {
            freshness.replica_reported(now, peer, host);
        }
        if let Some(commit) = answer.commit.as_ref().filter(|_| fault != AnswerFault::RoleOnly) {
            let Commit { session, position, .. } = commit;
            freshness.commit_reported(now, peer, session, *position);
            let line =
                || format!("host {host} tells machine {peer} of a commit of session {session} at {position}");
            self.world.trace(line);
        }
        if fault != AnswerFault::None {
            self.world.trace(|| format!("host {host} to machine {peer}: {fault:?}"));
        }
    }

    /// Runs one request. Returns `None` where the connection is to end without an answer.
    async fn handle_request(
        self: &Rc<Fleet>, host: usize, text: &str, peer: usize, connection: u64, stream: &Stream,
    ) -> Option<Answer> {
        let w = &self.world;
        let Some(request) = self.parse_request(text) else {
            let description = format!("machine {peer} sent host {host} an invalid request: {text:?}");
            self.checker.borrow_mut().record_broken_rule("no answer nobody made", w.now(), description, &[]);
            return None;
        };
        let (class, id) = (request.class.clone(), request.id);
        w.trace(|| format!("host {host} has {id} from machine {peer}, session {} ", request.session));
        let (sent, issued) = w.last_arrival_times(connection);
        let origin = AttemptOrigin { process: peer, connection, sent, issued };
        let (mode, primary, started, location) = {
            let state = &self.hosts.borrow()[host];
            (
                state.mode,
                state.primary,
                state.started,
                HostLocation { host, group: state.group, zone: state.zone },
            )
        };
        if location.group != request.group {
            let description = format!(
                "{id} is for group {} but arrived at host {host} of group {}",
                request.group, location.group
            );
            self.checker.borrow_mut().record_broken_rule(
                "no answer nobody made",
                w.now(),
                description,
                &[id],
            );
        }
        let is_open = |connection| w.is_peer_end_open(connection);
        let index =
            self.checker.borrow_mut().attempt_received(w.now(), id, &class, location, origin, is_open);
        let record_end = |state| self.checker.borrow_mut().attempt_ended(id, index, state);
        let reject = |code: &str, reason: &str| {
            record_end(AttemptState::Rejected);
            w.trace(|| format!("host {host} turns {id} away: {reason}"));
            let parameters = self.status_parameters(host, self.applied_position(host), false);
            let role = Some(self.hosts.borrow()[host].primary);
            Some(Answer { body: wire::error_response(code, reason), parameters, role, commit: None })
        };
        match mode {
            HostMode::Healthy => {}
            HostMode::Errors => {
                record_end(AttemptState::MayHaveRun);
                let body = wire::error_response("XX000", "a fast error");
                return Some(Answer { body, parameters: Vec::new(), role: None, commit: None });
            }
            HostMode::Garbage => {
                record_end(AttemptState::MayHaveRun);
                let answer = [row("half", "SELECT 1"), wire::ready_for_query()].concat();
                let cut = w.draw_below(40) as usize;
                let bytes = if w.draw_below(2) == 0 { vec![0xff; 1 + cut] } else { answer[..cut].to_vec() };
                let _ = stream.write_all(&bytes).await;
                return None;
            }
        }
        if class.access == Access::Write && !primary {
            return reject("25006", "cannot execute INSERT in a read-only transaction");
        }
        let work = -class.work_us * (1.0 - w.draw_fraction()).ln();
        if started > 0 {
            self.checker.borrow_mut().work_received(w.now(), host, started, work);
        }
        if !self.wait_until_fresh(host, &request).await {
            return reject("72000", "too far behind");
        }
        let Some(done) = self.schedule_work(host, work) else { return reject("53300", "no slot is free") };
        // A read returns the data as of the beginning of its work.
        let read_at = self.applied_position(host);
        if !self.wait_for_work(stream, done.saturating_sub(w.now())).await {
            // The request may have run: the host does its work even if the proxy has closed the connection.
            record_end(AttemptState::MayHaveRun);
            return None;
        }
        record_end(AttemptState::MayHaveRun);
        self.answered_values.set(self.answered_values.get() + 1);
        let value = format!("v{host}.{}", self.answered_values.get());
        if class.access != Access::Write {
            self.checker.borrow_mut().answer_created(&value, id, read_at, host, origin);
            w.trace(|| format!("host {host} answers {id} with {value}, as of {read_at}"));
            let role = Some(self.hosts.borrow()[host].primary);
            let parameters = self.status_parameters(host, read_at, false);
            return Some(Answer { body: row(&value, "SELECT 1"), parameters, role, commit: None });
        }
        if request.is_long {
            return self.answer_long_write(host, &request, origin, stream).await;
        }
        let KeyedWrite { value, position, .. } = self.commit_write(host, &request, value);
        let replicated = self.wait_for_replication(host, position, stream).await;
        self.checker.borrow_mut().answer_created(&value, id, position, host, origin);
        w.trace(|| format!("host {host} answers {id} with {value}"));
        let role = Some(self.hosts.borrow()[host].primary);
        let parameters = self.status_parameters(host, position, true);
        let commit = Some(Commit { id: id.to_string(), session: request.session.to_string(), position });
        replicated.then(|| Answer { body: row(&value, "INSERT 0 1"), parameters, role, commit })
    }

    /// Answers a write with a long value: sends the value, commits behind it, and returns the rest of the answer. `None` if the
    /// proxy closes the connection before.
    async fn answer_long_write(
        &self, host: usize, request: &HostRequest<'_>, origin: AttemptOrigin, stream: &Stream,
    ) -> Option<Answer> {
        let value = format!("v{host}.{}{}", self.answered_values.get(), "x".repeat(LONG_VALUE_BYTES));
        let value_messages = [wire::row_description(&["v"]), wire::data_row(&[Some(&value)])].concat();
        stream.write_all(&value_messages).await.ok()?;
        if !self.wait_for_work(stream, LONG_COMMIT_US).await {
            return None;
        }
        let KeyedWrite { position, .. } = self.commit_write(host, request, value.clone());
        self.checker.borrow_mut().answer_created(&value, request.id, position, host, origin);
        self.world.trace(|| format!("host {host} commits {} behind a long value", request.id));
        let commit = Commit { id: request.id.to_string(), session: request.session.to_string(), position };
        Some(Answer {
            body: wire::command_complete("INSERT 0 1"),
            parameters: self.status_parameters(host, position, true),
            role: Some(self.hosts.borrow()[host].primary),
            commit: Some(commit),
        })
    }

    /// Waits until the data of a host are recent enough for a request, as long as the lag check of the deployment allows.
    /// Returns whether they are; always true where hosts don't check.
    async fn wait_until_fresh(&self, host: usize, request: &HostRequest<'_>) -> bool {
        let (w, check) = (&self.world, self.deployment.lag_check);
        let started = w.now();
        while check != LagCheck::Unchecked && !self.is_fresh(host, request) {
            if w.now() >= started + check.wait_ms() * 1_000 {
                return false;
            }
            world::after(REPLICATION_POLL_INTERVAL).await;
        }
        true
    }

    /// Whether a host has applied what a request must read.
    fn is_fresh(&self, host: usize, request: &HostRequest) -> bool {
        let applied = self.applied_position(host);
        match request.class.access {
            Access::AnyRead | Access::Write => true,
            Access::BoundedRead(bound_ms) => applied + bound_ms * 1_000 >= self.world.now(),
            Access::SessionRead if self.deployment.tokens == SessionTokens::FromClient => {
                // Positions in requests have a resolution of one millisecond.
                request.after.is_none_or(|ms| applied + 1_000 >= self.position_at_unix_ms(ms))
            }
            Access::SessionRead => {
                self.last_commits.borrow().get(request.session).is_none_or(|last| applied >= *last)
            }
        }
    }

    /// Commits a write. If its key was used before, within the window of its class, returns the first write instead.
    fn commit_write(&self, host: usize, request: &HostRequest, value: String) -> KeyedWrite {
        let now = self.world.now();
        let new_write = KeyedWrite { committed_at: now, value, position: self.applied_position(host) };
        let mut effective = new_write.clone();
        if let (Idempotency::Keyed(scope, window_ms), Some(key)) = (request.class.idempotency, request.key) {
            let scope = match scope {
                DedupScope::All => KeyScope::All,
                DedupScope::Zone => KeyScope::Zone(self.hosts.borrow()[host].zone),
                DedupScope::Group => KeyScope::Group(request.group),
            };
            let mut keyed_writes = self.keyed_writes.borrow_mut();
            let first = keyed_writes.entry((scope, key.to_string())).or_insert_with(|| new_write.clone());
            if now.saturating_sub(first.committed_at) > window_ms * 1_000 {
                *first = new_write;
            }
            effective = first.clone();
        }
        if effective.committed_at == now {
            self.rows.borrow_mut().insert(request.session.to_string(), request.id.to_string());
        }
        let mut last_commits = self.last_commits.borrow_mut();
        let last = last_commits.entry(request.session.to_string()).or_default();
        *last = effective.position.max(*last);
        effective
    }

    /// Waits until another member of the group has applied a commit, where the deployment commits synchronously. Returns
    /// false if the proxy closes the connection before.
    async fn wait_for_replication(&self, host: usize, position: Micros, stream: &Stream) -> bool {
        if !self.deployment.synchronous_commit {
            return true;
        }
        let others: Vec<usize> = {
            let hosts = self.hosts.borrow();
            (0..hosts.len())
                .filter(|other| *other != host && hosts[*other].group == hosts[host].group)
                .collect()
        };
        while !others.is_empty() && !others.iter().any(|other| self.applied_position(*other) >= position) {
            if !self.wait_for_work(stream, REPLICATION_POLL_INTERVAL.as_micros() as Micros).await {
                return false;
            }
        }
        true
    }

    /// Waits as long as the work takes, in microseconds. Returns false if the proxy closes the connection before.
    async fn wait_for_work(&self, stream: &Stream, work: Micros) -> bool {
        let done = async {
            world::after(Duration::from_micros(work)).await;
            true
        };
        let closed = async {
            // The proxy sends no other request before the answer, so whatever it sends is discarded.
            while let Ok(1..) = stream.read_with(|_| ()).await {}
            false
        };
        future::or(done, closed).await
    }

    /// The position that corresponds to a time in Unix milliseconds.
    pub fn position_at_unix_ms(&self, ms: u64) -> Micros {
        let run_start_ms = self.world.unix_ms() - self.world.now() / 1_000;
        ms.saturating_sub(run_start_ms) * 1_000
    }

    /// The status parameters of an answer: the role of the host and the position of the data that were read or committed.
    /// The position is left out for reads (`commit` is false) where the deployment does not send it.
    fn status_parameters(&self, host: usize, position: Micros, commit: bool) -> Vec<u8> {
        let role = self.role_parameter(host);
        if !self.deployment.answer_positions && !commit {
            return role;
        }
        let run_start_ms = self.world.unix_ms() - self.world.now() / 1_000;
        let position_ms = run_start_ms + position / 1_000;
        [role, wire::parameter_status("commit_clock", &position_ms.to_string())].concat()
    }

    /// The status parameter that reports the role of a host.
    fn role_parameter(&self, host: usize) -> Vec<u8> {
        let primary = self.hosts.borrow()[host].primary;
        wire::parameter_status("server_role", if primary { "writer" } else { "reader" })
    }

    /// Parses a request: the fields in its leading comment, and the session in its statement.
    fn parse_request<'a>(&self, text: &'a str) -> Option<HostRequest<'a>> {
        let (comment, statement) = text.strip_prefix("/*")?.split_once("*/")?;
        let session = statement.split('\'').nth(1)?;
        let field = |name: &str| {
            comment
                .split(',')
                .filter_map(|pair| pair.split_once('='))
                .find(|pair| pair.0.trim() == name)
                .map(|pair| pair.1.trim())
        };
        let class = self.classes.iter().find(|class| Some(class.name.as_str()) == field("c"))?.clone();
        let (after, key) = (field("after").and_then(|text| text.parse().ok()), field("k"));
        Some(HostRequest {
            id: field("id")?,
            class,
            group: field("cluster")?.parse().ok()?,
            session,
            after,
            key,
            is_long: field("long").is_some(),
        })
    }
}

/// Reads the next message: its type byte and its body; `None` at the end of the connection. `received` holds the bytes
/// read ahead between calls.
pub async fn read_message(stream: &Stream, received: &mut Vec<u8>) -> std::io::Result<Option<(u8, Vec<u8>)>> {
    loop {
        if received.len() >= 5 {
            let len = u32::from_be_bytes([received[1], received[2], received[3], received[4]]) as usize;
            if !(4..MAX_MESSAGE_BYTES).contains(&len) {
                return Err(std::io::Error::other(format!("invalid length of a message: {len} bytes")));
            }
            if received.len() > len {
                let message: Vec<u8> = received.drain(..=len).collect();
                return Ok(Some((message[0], message[5..].to_vec())));
            }
        }
        if stream.read_with(|part| received.extend(part)).await? == 0 {
            return Ok(None);
        }
    }
}

/// The messages of a result with one row of one value, up to the completion of the command.
fn row(value: &str, tag: &str) -> Vec<u8> {
    [wire::row_description(&["v"]), wire::data_row(&[Some(value)]), wire::command_complete(tag)].concat()
}
