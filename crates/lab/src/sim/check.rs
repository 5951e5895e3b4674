//! The rules that hold whatever fails, as a book that is told what hosts, discovery and clients see. It owns what it
//! was told and the first rule that was broken. It is pure: it must never look into a proxy, nor at a clock.

use super::deployment::{Access, Class, DedupScope, Idempotency, SessionTokens};
use super::freshness::Freshness;
use super::world::{Machine, Micros};
use std::collections::{BTreeMap, VecDeque};

/// Where an attempt stands, as its host knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// In work.
    Running,
    /// Answered, or cut off in its work: it may have run.
    MayHaveRun,
    /// Turned away, and so has never run.
    Rejected,
}

/// A host, as the rules know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostLocation {
    /// Its number.
    pub host: usize,
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: u8,
}

/// From where an attempt came to its host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOrigin {
    /// The process of the proxy that sent it.
    pub process: Machine,
    /// The number of the connection over which it came.
    pub connection: u64,
    /// When it was sent.
    pub sent: Micros,
    /// When its process set out to send it: it may have been held up since.
    pub issued: Micros,
}

struct Attempt {
    place: HostLocation,
    connection: u64,
    at: Micros,
    state: AttemptState,
}

/// What a host answered, from data as of a position, and to which attempt.
struct HostAnswer {
    id: String,
    position: Micros,
    host: usize,
    origin: AttemptOrigin,
}

/// What a client knows of the request that it has an answer to.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredRequest<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its class.
    pub class: &'a Class,
    /// The session that it reads or writes in.
    pub session: &'a str,
    /// When its client sent it.
    pub sent: Micros,
    /// The position of the session's last write, where the request carries it.
    pub mark: Micros,
}

/// A broken rule, and what its report is about.
#[derive(Clone, Debug, PartialEq)]
pub struct BrokenRule {
    /// The rule.
    pub rule: &'static str,
    /// What happened.
    pub description: String,
    /// When, in virtual microseconds.
    pub at: Micros,
    /// Words that lines of the trace about it hold.
    pub trace_terms: Vec<String>,
}

/// The limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// New work may reach a draining or gone host for so long after a proxy was told.
    pub drain_grace: Micros,
    /// A cold host's share of its capacity at its start, and how long it is cold.
    pub cold_start_capacity: f64,
    /// See there.
    pub cold_duration: Micros,
    /// So many times what a cold host can do, for so long, tips it over.
    pub overload_multiple: f64,
    /// See there.
    pub overload_duration: Micros,
    /// Attempts at a request at most.
    pub max_attempts: usize,
    /// How a session's own writes are known.
    pub tokens: SessionTokens,
    /// Whether every answer tells the position of its data.
    pub answer_positions: bool,
    /// An attempt may begin for so long after its client has left.
    pub disconnect_grace: Micros,
    /// What an answer may be late by its way alone.
    pub network_delay: Micros,
    /// By how much a proxy may be held up before a write; 0 on a day without that.
    pub max_write_delay: Micros,
    /// Cores of a host.
    pub cores: f64,
}

/// A complete answer to a write is its client's within this time.
const PASSED_ON_IN: Micros = 250_000;

/// What was seen, and what rule was broken first.
pub struct RuleChecker {
    limits: RuleLimits,
    attempts: BTreeMap<String, Vec<Attempt>>,
    made: BTreeMap<String, HostAnswer>,
    /// When the first complete answer to a write was written to a process that could hear it.
    complete: BTreeMap<String, Micros>,
    /// Since when each proxy knows that a host drains or is gone.
    told: BTreeMap<(Machine, usize), Micros>,
    /// Since when each knows that operators leave a host out.
    by_hand: BTreeMap<(Machine, usize), Micros>,
    cold_work: BTreeMap<usize, VecDeque<(Micros, f64)>>,
    /// When clients of open requests left.
    left: BTreeMap<String, Micros>,
    /// What reads must reflect.
    pub freshness: Freshness,
    /// The first broken rule.
    pub broken: Option<BrokenRule>,
    /// Attempts, answers and refusals seen, to tell a day on which nothing happened.
    pub counts: Counts,
}

/// What a day held.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Requests that clients sent.
    pub asked: u64,
    /// Those with a value.
    pub served: u64,
    /// Those with an error.
    pub errors: u64,
    /// Those whose connection ended, where that is excused.
    pub excused: u64,
    /// Attempts that hosts saw.
    pub attempts: u64,
}

impl RuleChecker {
    /// An empty book.
    pub fn new(limits: RuleLimits) -> RuleChecker {
        RuleChecker {
            limits,
            attempts: BTreeMap::new(),
            made: BTreeMap::new(),
            complete: BTreeMap::new(),
            told: BTreeMap::new(),
            by_hand: BTreeMap::new(),
            cold_work: BTreeMap::new(),
            left: BTreeMap::new(),
            freshness: Freshness::default(),
            broken: None,
            counts: Counts::default(),
        }
    }

    /// Notes that a rule was broken, unless one was before.
    pub fn record_broken_rule(
        &mut self, rule: &'static str, at: Micros, description: String, trace_terms: &[&str],
    ) {
        let trace_terms = trace_terms.iter().map(|s| s.to_string()).collect();
        self.broken.get_or_insert(BrokenRule { rule, description, at, trace_terms });
    }

    /// A proxy was told, or will be by then, that a host drains or is gone; or that it serves again.
    pub fn record_host_status(&mut self, proxy: Machine, host: usize, off: bool, by: Micros) {
        if off {
            let told = self.told.entry((proxy, host)).or_insert(by);
            *told = by.min(*told);
        } else {
            self.told.remove(&(proxy, host));
        }
    }

    /// Operators left a host out at a proxy, or it heard so from the one beside it or before it, by then; or no more.
    pub fn record_override(&mut self, proxy: Machine, host: usize, out: bool, by: Micros) {
        if out {
            self.by_hand.entry((proxy, host)).or_insert(by);
        } else {
            self.by_hand.remove(&(proxy, host));
        }
    }

    /// The client of a request has closed its connection.
    pub fn client_disconnected(&mut self, now: Micros, id: &str) {
        self.left.insert(id.to_string(), now);
    }

    /// What a proxy was to hear after this moment never came.
    pub fn discard_reports_after(&mut self, proxy: Machine, after: Micros) {
        self.told.retain(|k, by| k.0 != proxy || *by <= after);
    }

    /// The whole of an attempt is at a host; `held` tells whether the proxy still holds a connection open.
    pub fn attempt_received(
        &mut self, now: Micros, id: &str, class: &Class, place: HostLocation, origin: AttemptOrigin,
        held: impl Fn(u64) -> bool,
    ) -> usize {
        self.counts.attempts += 1;
        let f = self.limits;
        let HostLocation { host, .. } = place;
        let AttemptOrigin { process: proxy, connection, sent, .. } = origin;
        let before = self.attempts.entry(id.to_string()).or_default();
        let mut faults = Vec::new();
        if let Some(a) = before.iter().find(|a| a.state == AttemptState::Running && held(a.connection)) {
            let what = format!("{id} comes to host {host} while host {} has it", a.place.host);
            faults.push(("one attempt out", what));
        }
        if let Some(a) = before.iter().find(|a| a.state != AttemptState::Rejected) {
            let rule = "no repeat beyond the class";
            let after = sent.saturating_sub(a.at);
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NotIdempotent => {
                    let (name, first) = (&class.name, a.place.host);
                    faults.push((
                        rule,
                        format!("{id} of {name} comes again, and may have run at host {first}"),
                    ));
                }
                Idempotency::Keyed(scope, window_ms)
                    if after > window_ms * 1_000 || !drops_repeats(scope, a.place, place) =>
                {
                    let what = format!(
                        "{id} was sent again {after} us later, its key is kept for {window_ms} ms ({scope:?})"
                    );
                    faults.push((rule, what));
                }
                Idempotency::Keyed(..) => {}
            }
        }
        if before.len() >= f.max_attempts {
            faults
                .push(("no repeat beyond the class", format!("{id} comes for the {}th time", before.len())));
        }
        if let Some(by) = self.told.get(&(proxy, host)).filter(|by| sent > **by + f.drain_grace) {
            let what =
                format!("{id} was sent to host {host} {} us after machine {proxy} was told", sent - by);
            faults.push(("nothing new to a draining host", what));
        }
        if let Some(by) = self.by_hand.get(&(proxy, host)).filter(|by| sent > **by + f.drain_grace) {
            let what = format!("{id} was sent to host {host}, left out by hand {} us before", sent - by);
            faults.push(("nothing new to a draining host", what));
        }
        if let Some(left) =
            self.left.get(id).filter(|left| origin.issued > **left + f.disconnect_grace + f.network_delay)
        {
            let what = format!("{id} was sent {} us after its client had left", sent - left);
            faults.push(("nothing begun for a client that left", what));
        }
        before.push(Attempt { place, connection, at: now, state: AttemptState::Running });
        let index = before.len() - 1;
        for (rule, what) in faults {
            let host = format!("host {host} ");
            self.record_broken_rule(rule, now, what, &[id, &host]);
        }
        index
    }

    /// How an attempt ended at its host.
    pub fn attempt_ended(&mut self, id: &str, index: usize, state: AttemptState) {
        if let Some(a) = self.attempts.get_mut(id).and_then(|a| a.get_mut(index)) {
            a.state = state;
        }
    }

    /// So much work came to a host that started at this time.
    pub fn work_received(&mut self, now: Micros, host: usize, started: Micros, work: f64) {
        let f = self.limits;
        let rise = now.saturating_sub(started) as f64 / f.cold_duration as f64;
        let came = self.cold_work.entry(host).or_default();
        if rise >= 1.0 {
            return came.clear();
        }
        came.retain(|c| c.0 >= started && c.0 + f.overload_duration > now);
        came.push_back((now, work));
        let share = f.cold_start_capacity + (1.0 - f.cold_start_capacity) * rise;
        let (sum, can) =
            (came.iter().map(|c| c.1).sum::<f64>(), share * f.cores * f.overload_duration as f64);
        if sum > can * f.overload_multiple {
            let what = format!("host {host} got {:.1} times what it can do, {rise:.2} warm", sum / can);
            self.record_broken_rule("no cold host tipped over", now, what, &[&format!("host {host} ")]);
        }
    }

    /// A host made this answer to an attempt, from data as of this position.
    pub fn answer_created(
        &mut self, value: &str, id: &str, position: Micros, host: usize, origin: AttemptOrigin,
    ) {
        self.made.insert(value.to_string(), HostAnswer { id: id.to_string(), position, host, origin });
    }

    /// A client got a value for its request.
    pub fn value_received(&mut self, now: Micros, asked: AnsweredRequest, value: &str) {
        self.counts.served += 1;
        let AnsweredRequest { id, class, .. } = asked;
        let Some(made) = self.made.get(value).filter(|m| m.id == id) else {
            let what = format!("{id} got {value:?}, which no host made for it");
            return self.record_broken_rule("no answer nobody made", now, what, &[id, value]);
        };
        let behind = self.behind(asked, made);
        // Positions are told in milliseconds.
        if behind > 1_000 {
            let (host, sent) = (made.host, made.origin.sent);
            let what = format!(
                "{id} of {} got data {behind} us too old, sent at {sent} us to host {host}",
                class.name
            );
            let (session, host) = (format!("session {} ", asked.session), format!("host {host} "));
            self.record_broken_rule("no stale read", now, what, &[id, &session, &host]);
        }
    }

    /// A complete answer to a write, up to the end of its command, is written to a process that can hear it.
    pub fn write_answered(&mut self, now: Micros, id: &str) {
        self.complete.entry(id.to_string()).or_insert(now);
    }

    /// A client got an error; `was_cut` tells whether a link failed between two moments.
    pub fn error_received(&mut self, now: Micros, id: &str, was_cut: impl Fn(Micros, Micros) -> bool) {
        self.counts.errors += 1;
        let Some(written) = self.complete.get(id).copied() else { return };
        // One hold-up as the answer comes, one as it is passed on.
        let passed_on_in = PASSED_ON_IN + 2 * self.limits.max_write_delay;
        if now > written + passed_on_in && !was_cut(written, written + self.limits.network_delay) {
            let what = format!("{id} failed, a complete answer was written {} us before", now - written);
            self.record_broken_rule("no complete answer is withheld", now, what, &[id]);
        }
    }

    /// How much older than they may be the data of a read are.
    fn behind(&self, asked: AnsweredRequest, made: &HostAnswer) -> Micros {
        let AttemptOrigin { process, issued: sent, .. } = made.origin;
        let excused = self.freshness.may_target_former_primary(process, made.host, sent);
        // Where answers tell positions, that of an old primary says itself that it is too old.
        let excused_unless_told = excused && !self.limits.answer_positions;
        let must_reflect = match (asked.class.access, self.limits.tokens) {
            (Access::AnyRead | Access::Write, _) => 0,
            (Access::SessionRead, SessionTokens::FromClient) if excused_unless_told => 0,
            (Access::SessionRead, SessionTokens::FromClient) => asked.mark,
            (Access::SessionRead, SessionTokens::TrackedByProxy) if excused => 0,
            (Access::SessionRead, SessionTokens::TrackedByProxy) => {
                self.freshness.required_position(process, asked.session, sent)
            }
            (Access::BoundedRead(_), _) if excused_unless_told => 0,
            (Access::BoundedRead(bound_ms), _) => {
                let from = if excused { asked.sent } else { sent };
                from.saturating_sub(bound_ms * 1_000)
            }
        };
        must_reflect.saturating_sub(made.position)
    }

    /// A client's request has no answer yet, or had one at this time; this late, the rule is broken.
    pub fn check_deadline(&mut self, now: Micros, id: &str, class: &Class, sent: Micros, answered: bool) {
        let late = now.saturating_sub(sent + class.deadline_ms * 1_000);
        if late > self.limits.network_delay + 2 * self.limits.max_write_delay {
            let what = if answered { "was answered" } else { "is not answered" };
            let what = format!("{id} of {} {what} {late} us after its time", class.name);
            self.record_broken_rule("one final answer in time", now, what, &[id]);
        }
    }

    /// A client's connection ended in the middle of a request, or said something that nobody asked for.
    pub fn unexpected_reply(&mut self, now: Micros, id: &str, what: &str) {
        self.record_broken_rule("one final answer in time", now, format!("{id}: {what}"), &[id]);
    }
}

/// Whether a host drops a repeat of what another had first.
fn drops_repeats(scope: DedupScope, first: HostLocation, again: HostLocation) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => first.zone == again.zone,
        DedupScope::Group => first.group == again.group,
    }
}
