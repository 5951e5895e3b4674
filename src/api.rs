//! The interface of the module: settings, events in, actions out.
//!
//! Times are microseconds on the router's clock; positions are such times too: a replica at
//! position `p` has applied every commit up to `p`.

use std::sync::Arc;

/// A time or a span on the router's clock, in microseconds.
pub type Micros = u64;
/// A server's id. It tells nothing of zone, kind or age.
pub type HostId = u32;
/// A request's id, never used twice at one router.
pub type RequestId = u32;
/// A group of servers that hold the same data.
pub type GroupId = u32;

/// How recent the data of an answer must be, and whether the class writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Any member's data will do.
    AnyRead,
    /// Data no older than this when the attempt is sent.
    BoundedRead(Micros),
    /// Every write of the request's session.
    SessionRead,
    /// Every commit before the request's arrival.
    StrongRead,
    /// A write: only the primary takes it.
    Write,
}

/// Where repeats of a keyed request are recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server drops repeats.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of the request's group.
    Group,
}

/// What a second run of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat and to refuse at any time.
    Idempotent,
    /// Repeats are dropped inside the scope, for the window after the first send that may have run.
    Keyed(DedupScope, Micros),
    /// Must never run twice.
    NotIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// How recent its data must be.
    pub access: Access,
    /// What a repeat would do.
    pub idempotency: Idempotency,
    /// An answer within this span earns the full worth.
    pub latency_target: Micros,
    /// The client's whole wait, over all its tries.
    pub deadline: Micros,
    /// The worth of one request.
    pub worth: f64,
    /// The share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// The aim grows by this multiple of the request's own work; 0 where it does not.
    pub latency_target_stretch: f64,
}

impl Class {
    /// What a replica's answer to a read amounts to that was sent at this time and has to see `token`, where its data is
    /// too old: as it says itself or, where it tells no position, as far as is known of the replica. It has run, and only
    /// where that does no harm does it count as turned away.
    pub fn stale_outcome(
        &self, note: &HostReport, known: Option<Micros>, token: Micros, sent: Micros,
    ) -> Option<Outcome> {
        let position = note.position.or(known).unwrap_or(0);
        let stale = match self.access {
            Access::BoundedRead(bound) => position.saturating_add(bound) < sent,
            Access::SessionRead => position < token,
            Access::AnyRead | Access::StrongRead | Access::Write => false,
        };
        let outcome =
            if self.idempotency == Idempotency::Idempotent { Outcome::Unsuitable } else { Outcome::Error };
        (stale && note.role == Some(Role::Replica)).then_some(outcome)
    }

    /// How old its data may be, where that is bounded.
    pub fn bound(&self) -> Option<Micros> {
        match self.access {
            Access::BoundedRead(bound) => Some(bound),
            _ => None,
        }
    }
}

/// What a replica does with a read for which it lags too far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LagCheck {
    /// It answers from what it has: the router alone keeps reads current.
    Unchecked,
    /// It turns the read away at once.
    Reject,
    /// It waits up to this long, then turns the read away.
    Wait(Micros),
}

/// How a session's own writes are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionTokens {
    /// Each session read carries the age of the session's last write.
    FromClient,
    /// The router remembers the writes it has seen succeed.
    TrackedByProxy,
}

/// How the list tells roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRole {
    /// It follows the role some seconds late.
    Delayed,
    /// It tells the roles of the day's start.
    AtStartup,
    /// It does not tell roles.
    Absent,
}

/// How the server list reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Changes come by themselves.
    Pushed,
    /// Changes come only after a subscription or a fetch.
    OnRequest,
}

/// What the deployment permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Routers may message each other.
    pub peers: bool,
    /// Refusals may carry retry advice.
    pub retry_after: bool,
    /// The longest wait a client heeds.
    pub max_retry_after: Micros,
    /// A request may have two attempts outstanding.
    pub hedging: bool,
    /// Attempts a request may have.
    pub max_attempts: usize,
}

/// The figures of the five rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Safety {
    /// Sends to a draining server must end this long after the router was told.
    pub drain_grace: Micros,
    /// Whether only a listing as draining binds.
    pub only_draining_binds: bool,
    /// A server starts at this share of its capacity or more.
    pub start_capacity: f64,
    /// It is warm no later than this after its start.
    pub cold_duration: Micros,
    /// Work over this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long tips a cold server over.
    pub overload_duration: Micros,
    /// Without a subscription the router must ask at least this often.
    pub max_list_age: Micros,
}

/// Everything the module is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Routers in the tier.
    pub proxy_count: u32,
    /// This router's number among them.
    pub ordinal: u32,
    /// This router's zone.
    pub zone: u8,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// How the list arrives.
    pub list_mode: ListMode,
    /// How the list tells roles.
    pub list_role: ListRole,
    /// What lagging replicas do.
    pub lag_check: LagCheck,
    /// How session writes are known.
    pub tokens: SessionTokens,
    /// Whether attempts to other zones have a price.
    pub cross_zone_costs: bool,
    /// Whether every answer carries a position.
    pub positions: bool,
    /// Permissions.
    pub limits: Limits,
    /// Figures of the rules.
    pub safety: Safety,
    /// What each tenant may send to all routers together, in requests a second; empty where there are none.
    pub quotas: Vec<f64>,
    /// What a request beyond its tenant's quota is worth, as a share of its class's worth.
    pub over_quota_worth: f64,
}

/// A server's state in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostStatus {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// The server.
    pub host: HostId,
    /// Its zone.
    pub zone: u8,
    /// Its machine type.
    pub kind: u8,
    /// Its group.
    pub group: GroupId,
    /// Its state.
    pub state: HostStatus,
    /// Listed size.
    pub weight: f64,
    /// Whether the list holds it to be the primary.
    pub primary: bool,
    /// Its last start; 0 means long past.
    pub started: Micros,
}

/// What a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as this router last held it.
    Cached,
    /// A call failed or the subscription broke; no entries.
    Failed,
}

/// The role a server claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes writes.
    Primary,
    /// Follows the primary.
    Replica,
}

/// What a server says of itself: in an answer at once, in a report somewhat dated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostReport {
    /// Position, where told.
    pub position: Option<Micros>,
    /// Role, where told.
    pub role: Option<Role>,
    /// Requests in hand, where told.
    pub in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen: full or draining. Never ran.
    Overloaded,
    /// No answer in time; may have run.
    Timeout,
    /// No connection in time. Never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Withdrawn; may have run.
    Cancelled,
    /// Not transmitted. Never ran.
    NotSent,
    /// Turned away untouched: not the primary, or lagging too far. Never ran.
    Unsuitable,
}

impl Outcome {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unsuitable)
    }
}

/// A client's request; the router now owes one final answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestInfo {
    /// Its id.
    pub id: RequestId,
    /// Its class, an index into the settings.
    pub class: u8,
    /// Its session, 0 for none.
    pub session: u64,
    /// When the client gives this try up.
    pub give_up_at: Micros,
    /// The group it must go to.
    pub group: GroupId,
    /// Age of the session's last write in ms, where carried; 0 for none.
    pub token_ms: f32,
    /// The client has asked for it before, and says so.
    pub client_retry: bool,
    /// Servers know nothing of its terms: they drop no repeat of it, and do not check its bound.
    pub plain: bool,
    /// What an attempt at it is expected to take; 0 where only its class tells.
    pub expected_duration: Micros,
    /// Whose it is, an index into the quotas, where known.
    pub tenant: Option<u16>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Its request.
    pub id: RequestId,
    /// Its number, from 0 in the order of sending.
    pub attempt: u8,
    /// The server it went to.
    pub host: HostId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency: Micros,
    /// Whether the request is concluded.
    pub finished: bool,
    /// What the answer says of the server.
    pub note: HostReport,
    /// The server's own report, somewhat dated.
    pub report: HostReport,
}

/// What sessions write beside the attempts that the module knows to be out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionEvent {
    /// This process begins: what one before it has answered binds.
    Started,
    /// Whether another process answers requests of the same sessions. What it has answered up to now binds.
    OtherProcess(bool),
    /// The answer to a write of this session has begun and is passed on in pieces: it commits at any moment up to its
    /// end, whatever its attempt's outcome says.
    StreamBegins(u64),
    /// The end of that, and the position of the commit, where one was told.
    StreamEnds(u64, Option<Micros>),
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request came in.
    Request(RequestInfo),
    /// A request came in whose last bytes are still to come, and take as long as its client does.
    RequestHead(RequestInfo),
    /// The last byte of such a request came; the client gives it up at this time.
    RequestComplete(RequestId, Micros),
    /// An attempt ended.
    Outcome(AttemptResult),
    /// The client left; the request is closed.
    ClientGone(RequestId),
    /// An answer that is not whole yet has told this of its server.
    PartialAnswer {
        /// The server.
        host: HostId,
        /// What it has told.
        note: HostReport,
    },
    /// A streamed answer began; the attempt is the client's now.
    Streaming(RequestId, u8),
    /// A timer set earlier fell due.
    Timer(u64),
    /// A probe returned.
    Probed {
        /// The server probed.
        host: HostId,
        /// Whether it answered.
        ok: bool,
        /// Its report.
        report: HostReport,
    },
    /// News of what sessions write, beside attempts and their ends.
    Sessions(SessionEvent),
    /// Operators leave a server out, or use it again, as of this time.
    HostOverride {
        /// The server.
        host: HostId,
        /// Whether it is out from then on.
        left_out: bool,
        /// Since when; the server started at that time at the latest where it is used again.
        since: Micros,
    },
    /// A message from another router.
    Peer {
        /// The sender's number.
        from: u16,
        /// What it says.
        news: Vec<PeerUpdate>,
    },
    /// News of the list.
    List {
        /// What is carried.
        kind: ListUpdate,
        /// Entries, empty for `Failed`.
        entries: Arc<[HostEntry]>,
    },
}

/// What routers tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerUpdate {
    /// How far a server had applied the log when it last said so, and whether it was the primary.
    HostPosition {
        /// The server.
        host: HostId,
        /// Its position.
        position: Micros,
        /// Whether it called itself the primary.
        primary: bool,
    },
    /// What a tenant asks the sender for.
    TenantRate {
        /// The tenant, an index into the quotas.
        tenant: u16,
        /// Requests in a second.
        per_s: f64,
    },
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        host: HostId,
        /// Its time-out; 0 means until the client gives up.
        timeout: Micros,
    },
    /// Final answer: refused, a further try is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back; 0 for no advice.
        retry_in: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Withdraw an attempt.
    Cancel(RequestId, u8),
    /// Ask for a timer event.
    Timer {
        /// When.
        at: Micros,
        /// Returned with it.
        mark: u64,
    },
    /// Probe a server.
    Probe(HostId),
    /// Close the idle connections to a server.
    CloseIdle(HostId),
    /// Message every other router: as much of this as a message holds.
    Broadcast(Vec<PeerUpdate>),
    /// Subscribe to list changes.
    Subscribe,
    /// A line for whoever is on call.
    Log(String),
}
