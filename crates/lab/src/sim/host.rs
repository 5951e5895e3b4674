//! Simulated database hosts: a process of each, what its group replicates, and what it does when it fails. It owns
//! the state of all hosts. It must never be kinder than the real ones: a replica shows no more than it has applied,
//! and turns writes away.

use super::check::{AttemptOrigin, AttemptState, HostLocation, RuleChecker};
use super::deployment::{Access, Class, DedupScope, Deployment, Idempotency, LagCheck, SessionTokens};
use super::world::{Micros, World};
use crate::wire;
use futures_lite::future;
use sillfold::net::world::{self, Listener, Spawner, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Cores of a host, and sessions that it takes.
pub const CORES_PER_HOST: usize = 4;
const MAX_SESSIONS: usize = 100;
/// Work that waits longer than this for a core is turned away.
const MAX_CORE_WAIT: Micros = 600_000;
/// A host that waits for what has not been applied looks again this often.
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A message past this is none.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// What a host does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum HostMode {
    /// Nothing.
    #[default]
    Healthy,
    /// It fails requests at once.
    Errors,
    /// It says what is no answer, or half of one.
    Garbage,
}

/// What becomes of answers of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnswerFault {
    /// Nothing.
    #[default]
    None,
    /// It is cut behind the end of its command, with its notes or without, and the session is silent from then on.
    Cut,
    /// It is lost, and the session is silent from then on.
    Lost,
    /// It takes so much longer on its way.
    Delayed(Micros),
    /// It tells the host's role, and nothing more comes.
    RoleOnly,
}

/// An answer to a request, before it is written.
struct Answer {
    /// The row and the end of its command, or an error.
    body: Vec<u8>,
    /// What it tells of its host.
    notes: Vec<u8>,
    /// Whether the notes say that the host is the primary.
    role: Option<bool>,
    /// What a write has committed.
    commit: Option<Commit>,
}

/// What a write has committed.
struct Commit {
    id: String,
    session: String,
    position: Micros,
}

/// A host, whatever process runs there.
pub struct Host {
    /// Its name in the list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its group and room.
    pub group: usize,
    /// See there.
    pub zone: u8,
    /// Whether it takes writes.
    pub primary: bool,
    /// How far behind it applies.
    pub lag: Micros,
    /// When its process started; 0 long ago.
    pub started: Micros,
    /// Its state in the list.
    pub status: &'static str,
    /// What it does wrong, and how many times slower it works.
    pub mode: HostMode,
    /// See there.
    pub slowdown: u64,
    /// Some of its sessions come up so late.
    pub session_delay: Micros,
    /// What becomes of so many percent of its answers.
    pub answer_fault: (AnswerFault, u64),
    /// Since when it has its role.
    pub role_since: Micros,
    applied: Micros,
    busy_until: [Micros; CORES_PER_HOST],
    sessions: usize,
}

/// All hosts, and what they share with discovery and clients.
pub struct Fleet {
    /// The world.
    pub world: Rc<World>,
    /// All hosts, by number.
    pub hosts: RefCell<Vec<Host>>,
    /// The rules.
    pub checker: RefCell<RuleChecker>,
    /// Classes of requests.
    pub classes: Vec<Rc<Class>>,
    /// What the settings say of hosts.
    pub deployment: Deployment,
    /// Grows with each change of the list.
    pub list_version: Cell<u64>,
    /// Keys of writes, by where their repeats are dropped.
    keys: RefCell<BTreeMap<(KeyScope, String), KeyedWrite>>,
    /// The latest commit of each session.
    last_commits: RefCell<BTreeMap<String, Micros>>,
    serial: Cell<u64>,
}

/// Which hosts share the keys of writes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum KeyScope {
    All,
    Zone(u8),
    Group(usize),
}

/// What a key was first used for.
#[derive(Clone)]
struct KeyedWrite {
    at: Micros,
    value: String,
    position: Micros,
}

/// A session's place at its host; dropping it gives it back.
struct SessionSlot(Rc<Fleet>, usize);

impl Drop for SessionSlot {
    fn drop(&mut self) {
        self.0.hosts.borrow_mut()[self.1].sessions -= 1;
    }
}

/// What a host knows of a request.
struct HostRequest<'a> {
    id: &'a str,
    class: Rc<Class>,
    group: usize,
    session: &'a str,
    after: Option<u64>,
    key: Option<&'a str>,
}

impl Fleet {
    /// A fleet in this world, of hosts that are well and warm.
    pub fn new(world: Rc<World>, checker: RuleChecker, deployment: Deployment) -> Fleet {
        let (hosts, keys, last_commits) = Default::default();
        let classes = deployment.classes.iter().cloned().map(Rc::new).collect();
        let (list_version, serial) = (Cell::new(1), Cell::new(0));
        let checker = RefCell::new(checker);
        Fleet { world, hosts, checker, classes, deployment, list_version, keys, last_commits, serial }
    }

    /// How far replicas are behind where nothing is wrong.
    pub fn usual_lag(&self) -> Micros {
        self.deployment.replication_delay_ms * 1_000
    }

    /// One more host.
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

    /// Changes a host, and tells discovery where that shows in the list.
    pub fn change(&self, host: usize, what: impl FnOnce(&mut Host)) {
        self.applied(host);
        what(&mut self.hosts.borrow_mut()[host]);
        self.list_version.set(self.list_version.get() + 1);
    }

    /// A host becomes the primary of its group, or is it no more.
    pub fn set_role(&self, host: usize, primary: bool) {
        let now = self.world.now();
        self.change(host, |h| (h.primary, h.role_since) = (primary, now));
        if !primary {
            self.checker.borrow_mut().freshness.primary_demoted(now, host);
        }
    }

    /// The host's process begins anew, with nothing in hand.
    pub fn start_process(&self, host: usize, started: Micros) {
        let h = &mut self.hosts.borrow_mut()[host];
        (h.busy_until, h.started) = ([0; CORES_PER_HOST], started);
    }

    /// Up to where a host has applied its group's log; it never takes back what it has.
    fn applied(&self, host: usize) -> Micros {
        let h = &mut self.hosts.borrow_mut()[host];
        h.applied = h.applied.max(self.world.now().saturating_sub(if h.primary { 0 } else { h.lag }));
        h.applied
    }

    /// From now on a host applies so far behind.
    pub fn set_lag(&self, host: usize, lag: Micros) {
        self.applied(host);
        self.hosts.borrow_mut()[host].lag = lag;
    }

    /// When so much work, with all before it, is done; nothing where it would wait too long for a core.
    fn schedule_work(&self, host: usize, work: f64) -> Option<Micros> {
        let now = self.world.now();
        let h = &mut self.hosts.borrow_mut()[host];
        let core = h.busy_until.iter_mut().min()?;
        let begin = (*core).max(now);
        if begin > now + MAX_CORE_WAIT {
            return None;
        }
        *core = begin + (work * h.slowdown as f64) as Micros;
        Some(*core)
    }

    /// A host's process, for as long as it lives.
    pub async fn serve(self: Rc<Fleet>, host: usize, listener: Listener, spawner: Spawner) {
        while let Ok(stream) = listener.accept().await {
            let (peer, number) = self.world.last_accepted();
            let fleet = self.clone();
            spawner.spawn(async move {
                fleet.hosts.borrow_mut()[host].sessions += 1;
                let session = SessionSlot(fleet.clone(), host);
                let _ = fleet.serve_session(host, &stream, peer, number).await;
                drop(session);
            });
        }
    }

    async fn serve_session(
        self: &Rc<Fleet>, host: usize, stream: &Stream, peer: usize, number: u64,
    ) -> std::io::Result<()> {
        let mut came = Vec::new();
        loop {
            if came.len() >= 4 {
                let len = u32::from_be_bytes([came[0], came[1], came[2], came[3]]) as usize;
                if came.len() >= len.max(8) {
                    came.drain(..len.max(8));
                    break;
                }
            }
            if stream.read_with(|part| came.extend(part)).await? == 0 {
                return Ok(());
            }
        }
        let late = self.hosts.borrow()[host].session_delay;
        if late > 0 && self.world.draw_below(2) == 0 {
            world::after(Duration::from_micros(late)).await;
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
            let Some((kind, body)) = read_message(stream, &mut came).await? else { return Ok(()) };
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(body.strip_suffix(b"\0").unwrap_or(&body)).into_owned();
            if text.trim() == "SHOW usage" {
                stream.write_all(&self.usage(host)).await?;
                continue;
            }
            let Some(answer) = self.request(host, &text, peer, number, stream).await else { return Ok(()) };
            if !self.deliver(host, (peer, number), stream, answer).await? {
                // Silent from now on, until the other side ends it.
                while stream.read_with(|_| ()).await? > 0 {}
                return Ok(());
            }
        }
    }

    /// The answer to a probe.
    fn usage(&self, host: usize) -> Vec<u8> {
        let (x0, x1) = (self.applied(host), u8::from(self.hosts.borrow()[host].primary));
        let x0 = (x0 as f64 / 1e3 + (self.world.unix_ms() - self.world.now() / 1_000) as f64) / 1e3;
        let body = row(&format!("x0={x0:.3},x1={x1},util=0.1,queue=0"), "SHOW");
        [body, wire::ready_for_query()].concat()
    }

    /// Writes an answer, whole unless something is wrong; false where nothing may follow it.
    async fn deliver(
        &self, host: usize, (peer, connection): (usize, u64), stream: &Stream, answer: Answer,
    ) -> std::io::Result<bool> {
        let (fault, percent) = self.hosts.borrow()[host].answer_fault;
        let fault =
            if percent > 0 && self.world.draw_below(100) < percent { fault } else { AnswerFault::None };
        self.record_answer(host, peer, &answer, fault);
        let Answer { body, notes, commit, .. } = answer;
        if let Some(commit) = commit
            && matches!(fault, AnswerFault::None | AnswerFault::Cut)
            && self.world.is_peer_reachable(connection)
        {
            self.checker.borrow_mut().write_answered(self.world.now(), &commit.id);
        }
        match fault {
            AnswerFault::None => {}
            AnswerFault::Delayed(by) => world::after(Duration::from_micros(by)).await,
            AnswerFault::Cut => {
                let notes = if self.world.draw_below(2) == 0 { notes } else { Vec::new() };
                stream.write_all(&[body, notes].concat()).await?;
                return Ok(false);
            }
            AnswerFault::Lost => return Ok(false),
            AnswerFault::RoleOnly => {
                stream.write_all(&self.role_note(host)).await?;
                return Ok(false);
            }
        }
        stream.write_all(&[body, notes, wire::ready_for_query()].concat()).await?;
        Ok(true)
    }

    /// Tells the book of an answer that is written to a process now, whatever becomes of it on its way.
    fn record_answer(&self, host: usize, peer: usize, answer: &Answer, fault: AnswerFault) {
        let now = self.world.now();
        let freshness = &mut self.checker.borrow_mut().freshness;
        if answer.role == Some(false) {
            freshness.replica_reported(now, peer, host);
        }
        if let Some(commit) = answer.commit.as_ref().filter(|_| fault != AnswerFault::RoleOnly) {
            let Commit { session, position, .. } = commit;
            freshness.commit_reported(now, peer, session, *position);
            let what =
                || format!("host {host} tells machine {peer} of a commit of session {session} at {position}");
            self.world.trace(what);
        }
        if fault != AnswerFault::None {
            self.world.trace(|| format!("host {host} to machine {peer}: {fault:?}"));
        }
    }

    /// One request; nothing where the connection is to end without an answer.
    async fn request(
        self: &Rc<Fleet>, host: usize, text: &str, peer: usize, connection: u64, stream: &Stream,
    ) -> Option<Answer> {
        let w = &self.world;
        let Some(asked) = self.read(text) else {
            let what = format!("machine {peer} sent host {host} what is no request: {text:?}");
            self.checker.borrow_mut().record_broken_rule("no answer nobody made", w.now(), what, &[]);
            return None;
        };
        let (class, id) = (asked.class.clone(), asked.id);
        w.trace(|| format!("host {host} has {id} from machine {peer}, session {} ", asked.session));
        let (sent, issued) = w.last_arrival_times(connection);
        let origin = AttemptOrigin { process: peer, connection, sent, issued };
        let (mode, primary, started, place) = {
            let h = &self.hosts.borrow()[host];
            (h.mode, h.primary, h.started, HostLocation { host, group: h.group, zone: h.zone })
        };
        if place.group != asked.group {
            let what =
                format!("{id} is for group {} and came to host {host} of {}", asked.group, place.group);
            self.checker.borrow_mut().record_broken_rule("no answer nobody made", w.now(), what, &[id]);
        }
        let held = |n| w.is_peer_end_open(n);
        let index = self.checker.borrow_mut().attempt_received(w.now(), id, &class, place, origin, held);
        let ended = |state| self.checker.borrow_mut().attempt_ended(id, index, state);
        let refuse = |code: &str, why: &str| {
            ended(AttemptState::Rejected);
            w.trace(|| format!("host {host} turns {id} away: {why}"));
            let notes = self.notes(host, self.applied(host), false);
            let role = Some(self.hosts.borrow()[host].primary);
            Some(Answer { body: wire::error_response(code, why), notes, role, commit: None })
        };
        match mode {
            HostMode::Healthy => {}
            HostMode::Errors => {
                ended(AttemptState::MayHaveRun);
                let body = wire::error_response("XX000", "a fast error");
                return Some(Answer { body, notes: Vec::new(), role: None, commit: None });
            }
            HostMode::Garbage => {
                ended(AttemptState::MayHaveRun);
                let whole = [row("half", "SELECT 1"), wire::ready_for_query()].concat();
                let cut = w.draw_below(40) as usize;
                let bytes = if w.draw_below(2) == 0 { vec![0xff; 1 + cut] } else { whole[..cut].to_vec() };
                let _ = stream.write_all(&bytes).await;
                return None;
            }
        }
        if class.access == Access::Write && !primary {
            return refuse("25006", "cannot execute INSERT in a read-only transaction");
        }
        let work = -class.work_us * (1.0 - w.draw_fraction()).ln();
        if started > 0 {
            self.checker.borrow_mut().work_received(w.now(), host, started, work);
        }
        if !self.wait_until_fresh(host, &asked).await {
            return refuse("72000", "too far behind");
        }
        let Some(done) = self.schedule_work(host, work) else { return refuse("53300", "no slot is free") };
        // What was read is as of the beginning of the work.
        let read_at = self.applied(host);
        if !self.wait_for_work(stream, done.saturating_sub(w.now())).await {
            // It ran all the same: where nobody waits any more, its work is done.
            ended(AttemptState::MayHaveRun);
            return None;
        }
        ended(AttemptState::MayHaveRun);
        self.serial.set(self.serial.get() + 1);
        let value = format!("v{host}.{}", self.serial.get());
        if class.access != Access::Write {
            self.checker.borrow_mut().answer_created(&value, id, read_at, host, origin);
            w.trace(|| format!("host {host} answers {id} with {value}, as of {read_at}"));
            let role = Some(self.hosts.borrow()[host].primary);
            let notes = self.notes(host, read_at, false);
            return Some(Answer { body: row(&value, "SELECT 1"), notes, role, commit: None });
        }
        let KeyedWrite { value, position, .. } = self.commit(host, &asked, value);
        let replicated = self.wait_for_replication(host, position, stream).await;
        self.checker.borrow_mut().answer_created(&value, id, position, host, origin);
        w.trace(|| format!("host {host} answers {id} with {value}"));
        let role = Some(self.hosts.borrow()[host].primary);
        let notes = self.notes(host, position, true);
        let commit = Some(Commit { id: id.to_string(), session: asked.session.to_string(), position });
        replicated.then(|| Answer { body: row(&value, "INSERT 0 1"), notes, role, commit })
    }

    /// Whether a host's data is recent enough for a request, where it checks that; it may wait for it.
    async fn wait_until_fresh(&self, host: usize, asked: &HostRequest<'_>) -> bool {
        let (w, check) = (&self.world, self.deployment.lag_check);
        let begun = w.now();
        while check != LagCheck::Unchecked && !self.is_fresh(host, asked) {
            if w.now() >= begun + check.wait_ms() * 1_000 {
                return false;
            }
            world::after(REPLICATION_POLL_INTERVAL).await;
        }
        true
    }

    fn is_fresh(&self, host: usize, asked: &HostRequest) -> bool {
        let at = self.applied(host);
        match asked.class.access {
            Access::AnyRead | Access::Write => true,
            Access::BoundedRead(bound_ms) => at + bound_ms * 1_000 >= self.world.now(),
            Access::SessionRead if self.deployment.tokens == SessionTokens::FromClient => {
                asked.after.is_none_or(|ms| at + 1_000 >= self.position_of_mark(ms))
            }
            Access::SessionRead => {
                self.last_commits.borrow().get(asked.session).is_none_or(|last| at >= *last)
            }
        }
    }

    /// Commits a write, or finds that it is the repeat of one.
    fn commit(&self, host: usize, asked: &HostRequest, value: String) -> KeyedWrite {
        let now = self.world.now();
        let new = KeyedWrite { at: now, value, position: self.applied(host) };
        let mut kept = new.clone();
        if let (Idempotency::Keyed(scope, window_ms), Some(key)) = (asked.class.idempotency, asked.key) {
            let scope = match scope {
                DedupScope::All => KeyScope::All,
                DedupScope::Zone => KeyScope::Zone(self.hosts.borrow()[host].zone),
                DedupScope::Group => KeyScope::Group(asked.group),
            };
            let mut keys = self.keys.borrow_mut();
            let first = keys.entry((scope, key.to_string())).or_insert_with(|| new.clone());
            if now.saturating_sub(first.at) > window_ms * 1_000 {
                *first = new;
            }
            kept = first.clone();
        }
        let mut last_commits = self.last_commits.borrow_mut();
        let last = last_commits.entry(asked.session.to_string()).or_default();
        *last = kept.position.max(*last);
        kept
    }

    /// Waits until another member of the group has a commit, where writes wait for that; false if whoever asked has
    /// left meanwhile.
    async fn wait_for_replication(&self, host: usize, position: Micros, stream: &Stream) -> bool {
        if !self.deployment.synchronous_commit {
            return true;
        }
        let others: Vec<usize> = {
            let hosts = self.hosts.borrow();
            (0..hosts.len()).filter(|n| *n != host && hosts[*n].group == hosts[host].group).collect()
        };
        while !others.is_empty() && !others.iter().any(|n| self.applied(*n) >= position) {
            if !self.wait_for_work(stream, REPLICATION_POLL_INTERVAL.as_micros() as Micros).await {
                return false;
            }
        }
        true
    }

    /// Waits as long as the work takes; false if whoever asked has left meanwhile.
    async fn wait_for_work(&self, stream: &Stream, work: Micros) -> bool {
        let done = async {
            world::after(Duration::from_micros(work)).await;
            true
        };
        let left = async {
            // Nobody asks twice before the answer.
            while let Ok(1..) = stream.read_with(|_| ()).await {}
            false
        };
        future::or(done, left).await
    }

    /// A mark in Unix milliseconds as a position.
    pub fn position_of_mark(&self, ms: u64) -> Micros {
        let begin = self.world.unix_ms() - self.world.now() / 1_000;
        ms.saturating_sub(begin) * 1_000
    }

    /// What an answer tells of its host: its role, and the position of what was read, or of a write's commit.
    fn notes(&self, host: usize, position: Micros, commit: bool) -> Vec<u8> {
        let role = self.role_note(host);
        if !self.deployment.answer_positions && !commit {
            return role;
        }
        let begin = self.world.unix_ms() - self.world.now() / 1_000;
        let position = begin + position / 1_000;
        [role, wire::parameter_status("commit_clock", &position.to_string())].concat()
    }

    fn role_note(&self, host: usize) -> Vec<u8> {
        let primary = self.hosts.borrow()[host].primary;
        wire::parameter_status("server_role", if primary { "writer" } else { "reader" })
    }

    fn read<'a>(&self, text: &'a str) -> Option<HostRequest<'a>> {
        let (comment, statement) = text.strip_prefix("/*")?.split_once("*/")?;
        let session = statement.split('\'').nth(1)?;
        let get = |name: &str| {
            comment
                .split(',')
                .filter_map(|p| p.split_once('='))
                .find(|p| p.0.trim() == name)
                .map(|p| p.1.trim())
        };
        let class = self.classes.iter().find(|c| Some(c.name.as_str()) == get("c"))?.clone();
        let (after, key) = (get("after").and_then(|a| a.parse().ok()), get("k"));
        Some(HostRequest { id: get("id")?, class, group: get("cluster")?.parse().ok()?, session, after, key })
    }
}

/// The next message, or nothing at the end of the connection.
pub async fn read_message(stream: &Stream, came: &mut Vec<u8>) -> std::io::Result<Option<(u8, Vec<u8>)>> {
    loop {
        if came.len() >= 5 {
            let len = u32::from_be_bytes([came[1], came[2], came[3], came[4]]) as usize;
            if !(4..MAX_MESSAGE_BYTES).contains(&len) {
                return Err(std::io::Error::other(format!("a message of {len} bytes")));
            }
            if came.len() > len {
                let message: Vec<u8> = came.drain(..=len).collect();
                return Ok(Some((message[0], message[5..].to_vec())));
            }
        }
        if stream.read_with(|part| came.extend(part)).await? == 0 {
            return Ok(None);
        }
    }
}

/// One row of one value, and the end of its command.
fn row(value: &str, tag: &str) -> Vec<u8> {
    [wire::row_description(&["v"]), wire::data_row(&[Some(value)]), wire::command_complete(tag)].concat()
}
