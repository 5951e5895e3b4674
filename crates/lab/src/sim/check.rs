//! Checks the rules that must hold whatever fails. Simulated hosts, discovery and clients report what they see to a
//! [`RuleChecker`], which keeps those reports and the first broken rule. The checker must not read a proxy's state or a
//! clock: every report carries its time.

use super::deployment::{Access, Class, DedupScope, Idempotency, SessionTokens};
use super::freshness::Freshness;
use super::world::{Machine, Micros};
use std::collections::{BTreeMap, VecDeque};

/// The state of an attempt, as its host knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// The host works on it.
    Running,
    /// The host answered it, or its connection ended while the host worked on it: it may have run.
    MayHaveRun,
    /// The host rejected it, so it has never run.
    Rejected,
}

/// A host and where it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLocation {
    /// The number of the host.
    pub host: usize,
    /// The group of the host.
    pub group: usize,
    /// The zone of the host.
    pub zone: u8,
}

/// Which process sent an attempt to its host, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOrigin {
    /// The machine of the proxy process that sent the attempt.
    pub process: Machine,
    /// The number of the connection that carried the attempt.
    pub connection: u64,
    /// When the attempt was sent to the network.
    pub sent: Micros,
    /// When the process began the write of the attempt. The write may have been delayed until `sent`.
    pub issued: Micros,
}

/// An attempt that a host has received.
struct Attempt {
    location: HostLocation,
    connection: u64,
    received_at: Micros,
    state: AttemptState,
}

/// A value that a host answered, and the attempt that it answers.
struct HostAnswer {
    /// The id of the request.
    id: String,
    /// The position of the data that the value was read from or written to.
    position: Micros,
    host: usize,
    origin: AttemptOrigin,
}

/// What a client knows of a request that it has an answer to.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredRequest<'a> {
    /// The id of the request.
    pub id: &'a str,
    /// The class of the request.
    pub class: &'a Class,
    /// The session in which the request reads or writes.
    pub session: &'a str,
    /// When the client sent the request.
    pub sent: Micros,
    /// The position of the client's last write, where the request carries it; otherwise 0.
    pub write_position: Micros,
}

/// The report of a broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokenRule {
    /// The name of the rule.
    pub rule: &'static str,
    /// How the rule was broken.
    pub description: String,
    /// When the rule was broken, in microseconds of virtual time.
    pub at: Micros,
    /// Texts that occur in the lines of the trace about this report.
    pub trace_terms: Vec<String>,
}

/// The limits that the rules check, and the settings of the deployment that the rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// How long new attempts may still be sent to a host after the proxy knows that the host drains, is gone or is left
    /// out by operators.
    pub drain_grace: Micros,
    /// The share of its capacity that a cold host has at its start, from 0 to 1.
    pub cold_start_capacity: f64,
    /// How long a host is cold after its start; its capacity rises linearly to 1 during this time.
    pub cold_duration: Micros,
    /// A cold host is overloaded by more than this multiple of the work that it can do in `overload_duration`.
    pub overload_multiple: f64,
    /// The time over which the work of a cold host is summed.
    pub overload_duration: Micros,
    /// The most attempts at a request.
    pub max_attempts: usize,
    /// Whether requests carry the position of their session's last write, or proxies track it.
    pub tokens: SessionTokens,
    /// Whether every answer carries the position of its data.
    pub answer_positions: bool,
    /// How long attempts may still begin after their client disconnected.
    pub disconnect_grace: Micros,
    /// How late an answer may be because of the network alone.
    pub network_delay: Micros,
    /// The longest delay of a proxy before a write; 0 in a run without such delays.
    pub max_write_delay: Micros,
    /// The number of cores of a host.
    pub cores: f64,
}

/// A client receives a complete answer to a write within this time after its host wrote the answer.
const WRITE_ANSWER_DELIVERY_US: Micros = 250_000;

/// Positions are sent in milliseconds, so data may seem this much older than they are.
const POSITION_RESOLUTION_US: Micros = 1_000;

/// Keeps what hosts, discovery and clients report, and checks the rules with each report.
pub struct RuleChecker {
    limits: RuleLimits,
    /// The attempts that hosts have received, by request id, in order of arrival.
    attempts: BTreeMap<String, Vec<Attempt>>,
    /// The answers of hosts, by value: every value is unique.
    answers: BTreeMap<String, HostAnswer>,
    /// By request id, when the first complete answer to a write was written to a process that could receive it.
    write_answered_at: BTreeMap<String, Micros>,
    /// By proxy process and host, since when the proxy knows that the host drains or is gone.
    off_known_since: BTreeMap<(Machine, usize), Micros>,
    /// By proxy process and host, since when the proxy knows that operators leave the host out.
    override_known_since: BTreeMap<(Machine, usize), Micros>,
    /// By cold host, when work arrived and how many microseconds of one core it takes.
    cold_work: BTreeMap<usize, VecDeque<(Micros, f64)>>,
    /// By id of an open request, when its client disconnected.
    disconnected_at: BTreeMap<String, Micros>,
    /// The commits that reads must reflect.
    pub freshness: Freshness,
    /// The first broken rule.
    pub broken: Option<BrokenRule>,
    /// The number of requests and attempts so far. They show whether anything happened in a run.
    pub counts: Counts,
}

/// The number of requests and attempts of a simulation run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests that clients sent.
    pub asked: u64,
    /// Requests that were answered with a value.
    pub served: u64,
    /// Requests that were answered with an error.
    pub errors: u64,
    /// Requests without an answer where the rules allow it: the client disconnected, the proxy was killed, or the
    /// connection closed before the request arrived.
    pub excused: u64,
    /// Attempts that hosts received.
    pub attempts: u64,
}

impl RuleChecker {
    /// A checker without any report.
    pub fn new(limits: RuleLimits) -> RuleChecker {
        RuleChecker {
            limits,
            attempts: BTreeMap::new(),
            answers: BTreeMap::new(),
            write_answered_at: BTreeMap::new(),
            off_known_since: BTreeMap::new(),
            override_known_since: BTreeMap::new(),
            cold_work: BTreeMap::new(),
            disconnected_at: BTreeMap::new(),
            freshness: Freshness::default(),
            broken: None,
            counts: Counts::default(),
        }
    }

    /// Records that a rule was broken, unless another was broken before.
    pub fn record_broken_rule(
        &mut self, rule: &'static str, at: Micros, description: String, trace_terms: &[&str],
    ) {
        let trace_terms = trace_terms.iter().map(|s| s.to_string()).collect();
        self.broken.get_or_insert(BrokenRule { rule, description, at, trace_terms });
    }

    /// Records that a proxy knows, from `by` at the latest, that a host drains or is gone (`off`), or that it serves again.
    pub fn record_host_status(&mut self, proxy: Machine, host: usize, off: bool, by: Micros) {
        if off {
            let known_since = self.off_known_since.entry((proxy, host)).or_insert(by);
            *known_since = by.min(*known_since);
        } else {
            self.off_known_since.remove(&(proxy, host));
        }
    }

    /// Records that a proxy knows, from `by` at the latest, that operators leave a host out, or that they no longer do.
    /// The proxy knows it from its operators, or from the process that runs beside it or ran before it.
    pub fn record_override(&mut self, proxy: Machine, host: usize, out: bool, by: Micros) {
        if out {
            self.override_known_since.entry((proxy, host)).or_insert(by);
        } else {
            self.override_known_since.remove(&(proxy, host));
        }
    }

    /// Records that the client of a request has closed its connection.
    pub fn client_disconnected(&mut self, now: Micros, id: &str) {
        self.disconnected_at.insert(id.to_string(), now);
    }

    /// Discards the reports of hosts that a proxy was to receive after this time: they may never arrive.
    pub fn discard_reports_after(&mut self, proxy: Machine, after: Micros) {
        self.off_known_since.retain(|key, by| key.0 != proxy || *by <= after);
    }

    /// Checks the rules for an attempt that a host has received completely, and returns its index among the attempts at
    /// its request. `is_open` tells whether the proxy still holds a connection open.
    pub fn attempt_received(
        &mut self, now: Micros, id: &str, class: &Class, location: HostLocation, origin: AttemptOrigin,
        is_open: impl Fn(u64) -> bool,
    ) -> usize {
        self.counts.attempts += 1;
        let limits = self.limits;
        let HostLocation { host, .. } = location;
        let AttemptOrigin { process: proxy, connection, sent, .. } = origin;
        let earlier = self.attempts.entry(id.to_string()).or_default();
        let mut broken_rules = Vec::new();
        if let Some(a) = earlier.iter().find(|a| a.state == AttemptState::Running && is_open(a.connection)) {
            let description =
                format!("{id} arrives at host {host} while host {} works on it", a.location.host);
            broken_rules.push(("one attempt out", description));
        }
        if let Some(a) = earlier.iter().find(|a| a.state != AttemptState::Rejected) {
            let rule = "no repeat beyond the class";
            let elapsed = sent.saturating_sub(a.received_at);
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    let (name, first) = (&class.name, a.location.host);
                    broken_rules.push((
                        rule,
                        format!("{id} of class {name} arrives again, but may have run at host {first}"),
                    ));
                }
                Idempotency::Keyed(scope, window_ms)
                    if elapsed > window_ms * 1_000 || !drops_repeats(scope, a.location, location) =>
                {
                    let description = format!(
                        "{id} was sent again {elapsed} us later; its key is kept for {window_ms} ms ({scope:?})"
                    );
                    broken_rules.push((rule, description));
                }
                Idempotency::Keyed(..) => {}
            }
        }
        if earlier.len() >= limits.max_attempts {
            broken_rules.push((
                "no repeat beyond the class",
                format!("{id} arrives again after {} attempts", earlier.len()),
            ));
        }
        if let Some(by) =
            self.off_known_since.get(&(proxy, host)).filter(|by| sent > **by + limits.drain_grace)
        {
            let description = format!(
                "{id} was sent to host {host} {} us after machine {proxy} knew that the host drains or is gone",
                sent - by
            );
            broken_rules.push(("nothing new to a draining host", description));
        }
        if let Some(by) =
            self.override_known_since.get(&(proxy, host)).filter(|by| sent > **by + limits.drain_grace)
        {
            let description =
                format!("{id} was sent to host {host}, which operators left out {} us before", sent - by);
            broken_rules.push(("nothing new to a draining host", description));
        }
        if let Some(disconnected_at) = self.disconnected_at.get(id).filter(|disconnected_at| {
            origin.issued > **disconnected_at + limits.disconnect_grace + limits.network_delay
        }) {
            let description =
                format!("{id} was sent {} us after its client disconnected", sent - disconnected_at);
            broken_rules.push(("nothing begun for a client that left", description));
        }
        earlier.push(Attempt { location, connection, received_at: now, state: AttemptState::Running });
        let index = earlier.len() - 1;
        for (rule, description) in broken_rules {
            let host = format!("host {host} ");
            self.record_broken_rule(rule, now, description, &[id, &host]);
        }
        index
    }

    /// Whether a host has had a request.
    pub fn has_attempt(&self, id: &str) -> bool {
        self.attempts.get(id).is_some_and(|attempts| !attempts.is_empty())
    }

    /// Records how an attempt ended at its host.
    pub fn attempt_ended(&mut self, id: &str, index: usize, state: AttemptState) {
        if let Some(attempt) = self.attempts.get_mut(id).and_then(|attempts| attempts.get_mut(index)) {
            attempt.state = state;
        }
    }

    /// Checks that a host, which started at this time, is not overloaded while it is cold. `work` is what an attempt
    /// takes, in microseconds of one core.
    pub fn work_received(&mut self, now: Micros, host: usize, started: Micros, work: f64) {
        let limits = self.limits;
        let warm_share = now.saturating_sub(started) as f64 / limits.cold_duration as f64;
        let recent = self.cold_work.entry(host).or_default();
        if warm_share >= 1.0 {
            return recent.clear();
        }
        recent.retain(|received| received.0 >= started && received.0 + limits.overload_duration > now);
        recent.push_back((now, work));
        let capacity_share = limits.cold_start_capacity + (1.0 - limits.cold_start_capacity) * warm_share;
        let total = recent.iter().map(|received| received.1).sum::<f64>();
        let possible = capacity_share * limits.cores * limits.overload_duration as f64;
        if total > possible * limits.overload_multiple {
            let description = format!(
                "host {host} received {:.1} times the work that it can do, {warm_share:.2} of the way to warm",
                total / possible
            );
            self.record_broken_rule(
                "no cold host tipped over",
                now,
                description,
                &[&format!("host {host} ")],
            );
        }
    }

    /// Records the value with which a host answers an attempt, and the position of the data.
    pub fn answer_created(
        &mut self, value: &str, id: &str, position: Micros, host: usize, origin: AttemptOrigin,
    ) {
        self.answers.insert(value.to_string(), HostAnswer { id: id.to_string(), position, host, origin });
    }

    /// Checks a value that a client received for its request.
    pub fn value_received(&mut self, now: Micros, request: AnsweredRequest, value: &str) {
        self.counts.served += 1;
        let AnsweredRequest { id, class, .. } = request;
        let Some(answer) = self.answers.get(value).filter(|answer| answer.id == id) else {
            let description = format!("{id} received {value:?}, which no host answered to it");
            return self.record_broken_rule("no answer nobody made", now, description, &[id, value]);
        };
        let staleness = self.excess_staleness(request, answer);
        if staleness > POSITION_RESOLUTION_US {
            let (host, sent) = (answer.host, answer.origin.sent);
            let description = format!(
                "{id} of class {} received data that are {staleness} us too old; it was sent at {sent} us to host {host}",
                class.name
            );
            let (session, host) = (format!("session {} ", request.session), format!("host {host} "));
            self.record_broken_rule("no stale read", now, description, &[id, &session, &host]);
        }
    }

    /// Records that a host writes a complete answer to a write, up to the end of its command, to a process that can
    /// receive it.
    pub fn write_answered(&mut self, now: Micros, id: &str) {
        self.write_answered_at.entry(id.to_string()).or_insert(now);
    }

    /// Checks that a client does not receive an error for a write whose complete answer a host had written.
    /// `was_disrupted` tells whether any link or machine failed between two times.
    pub fn error_received(&mut self, now: Micros, id: &str, was_disrupted: impl Fn(Micros, Micros) -> bool) {
        self.counts.errors += 1;
        let Some(written) = self.write_answered_at.get(id).copied() else { return };
        // The proxy may be delayed once when the answer arrives and once when it passes the answer on.
        let delivery_limit = WRITE_ANSWER_DELIVERY_US + 2 * self.limits.max_write_delay;
        if now > written + delivery_limit && !was_disrupted(written, written + self.limits.network_delay) {
            let description =
                format!("{id} failed although a complete answer was written {} us before", now - written);
            self.record_broken_rule("no complete answer is withheld", now, description, &[id]);
        }
    }

    /// By how many microseconds the data of an answer are older than the request allows.
    fn excess_staleness(&self, request: AnsweredRequest, answer: &HostAnswer) -> Micros {
        let AttemptOrigin { process, issued: sent, .. } = answer.origin;
        let excused = self.freshness.may_target_former_primary(process, answer.host, sent);
        // Where answers carry positions, the proxy can see that the data of a former primary are too old.
        let excused_without_positions = excused && !self.limits.answer_positions;
        let required_position = match (request.class.access, self.limits.tokens) {
            (Access::AnyRead | Access::Write, _) => 0,
            (Access::SessionRead, SessionTokens::FromClient) if excused_without_positions => 0,
            (Access::SessionRead, SessionTokens::FromClient) => request.write_position,
            (Access::SessionRead, SessionTokens::TrackedByProxy) if excused => 0,
            (Access::SessionRead, SessionTokens::TrackedByProxy) => {
                self.freshness.required_position(process, request.session, sent)
            }
            (Access::BoundedRead(_), _) if excused_without_positions => 0,
            (Access::BoundedRead(bound_ms), _) => {
                let from = if excused { request.sent } else { sent };
                from.saturating_sub(bound_ms * 1_000)
            }
        };
        required_position.saturating_sub(answer.position)
    }

    /// Checks that a request is answered in time. Clients call it when the answer is complete (`answered`), and now and
    /// then before.
    pub fn check_deadline(&mut self, now: Micros, id: &str, class: &Class, sent: Micros, answered: bool) {
        let delay = now.saturating_sub(sent + class.deadline_ms * 1_000);
        if delay > self.limits.network_delay + 2 * self.limits.max_write_delay {
            let state = if answered { "was answered" } else { "is not answered" };
            let description = format!("{id} of class {} {state} {delay} us after its deadline", class.name);
            self.record_broken_rule("one final answer in time", now, description, &[id]);
        }
    }

    /// Records that a client's connection ended in the middle of a request, or that the client received messages it
    /// did not ask for.
    pub fn unexpected_reply(&mut self, now: Micros, id: &str, description: &str) {
        self.record_broken_rule("one final answer in time", now, format!("{id}: {description}"), &[id]);
    }
}

/// Whether the host at `repeated` drops a write that the host at `first` has already received.
fn drops_repeats(scope: DedupScope, first: HostLocation, repeated: HostLocation) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => first.zone == repeated.zone,
        DedupScope::Group => first.group == repeated.group,
    }
}
