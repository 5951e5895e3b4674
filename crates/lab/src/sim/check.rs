//! The rules that hold whatever fails, as a book that is told what hosts, discovery and clients see. It owns what it
//! was told and the first rule that was broken. It is pure: it must never look into a proxy, nor at a clock.

use super::world::{Machine, Us};
use std::collections::{BTreeMap, VecDeque};

/// How a class's requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// A read.
    Safe,
    /// A write that must not run twice.
    Once,
    /// A write whose repeats its group drops for so long.
    Keyed(Us),
}

/// What a read may be behind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Need {
    /// Any data will do.
    Any,
    /// So much at most.
    Bounded(Us),
    /// Not behind the mark that the request brings.
    Mark,
    /// It is a write.
    Write,
}

/// A class, as the page on rules has it.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// What it needs.
    pub need: Need,
    /// How it may be repeated.
    pub effect: Effect,
    /// For how long its clients wait, in milliseconds.
    pub patience_ms: u64,
    /// Mean work at a host, in microseconds.
    pub work: f64,
    /// Its share of all requests.
    pub share: f64,
}

/// Where an attempt stands, as its host knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// In work.
    Out,
    /// Answered, or cut off in its work: it may have run.
    Ran,
    /// Turned away, and so has never run.
    Refused,
}

struct Attempt {
    host: usize,
    group: usize,
    number: u64,
    at: Us,
    state: State,
}

/// What a host made, and the position that it showed.
struct Made {
    id: String,
    position: Us,
}

/// A broken rule, and what its report is about.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// The rule.
    pub rule: &'static str,
    /// What happened.
    pub what: String,
    /// When, in virtual microseconds.
    pub at: Us,
    /// Words that lines of the trace about it hold.
    pub about: Vec<String>,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// New work may reach a draining or gone host for so long after a proxy was told.
    pub grace: Us,
    /// A cold host's share of its capacity at its start, and how long it is cold.
    pub start_capacity: f64,
    /// See there.
    pub cold: Us,
    /// So many times what a cold host can do, for so long, tips it over.
    pub tip_multiple: f64,
    /// See there.
    pub overload_for: Us,
    /// Attempts at a request at most.
    pub most_tries: usize,
    /// An attempt may begin for so long after its client has left.
    pub gone: Us,
    /// What an answer may be late by its way alone.
    pub way: Us,
    /// Cores of a host.
    pub cores: f64,
}

/// So many attempts that begin for clients which left are no chance any more.
const GONE_CASES: u32 = 3;

/// What was seen, and what rule was broken first.
pub struct Book {
    figures: Figures,
    attempts: BTreeMap<String, Vec<Attempt>>,
    made: BTreeMap<String, Made>,
    /// Since when each proxy knows that a host drains or is gone.
    told: BTreeMap<(Machine, usize), Us>,
    /// Since when each knows that operators leave a host out.
    by_hand: BTreeMap<(Machine, usize), Us>,
    cold_work: BTreeMap<usize, VecDeque<(Us, f64)>>,
    /// When clients of open requests left, and attempts that began for one long after.
    left: BTreeMap<String, Us>,
    begun_late: u32,
    /// The first broken rule.
    pub broken: Option<Broken>,
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

impl Book {
    /// An empty book.
    pub fn new(figures: Figures) -> Book {
        Book {
            figures,
            attempts: BTreeMap::new(),
            made: BTreeMap::new(),
            told: BTreeMap::new(),
            by_hand: BTreeMap::new(),
            cold_work: BTreeMap::new(),
            left: BTreeMap::new(),
            begun_late: 0,
            broken: None,
            counts: Counts::default(),
        }
    }

    /// Notes that a rule was broken, unless one was before.
    pub fn breaks(&mut self, rule: &'static str, at: Us, what: String, about: &[&str]) {
        let about = about.iter().map(|s| s.to_string()).collect();
        self.broken.get_or_insert(Broken { rule, what, at, about });
    }

    /// A proxy was told, or will be by then, that a host drains or is gone; or that it serves again.
    pub fn tells(&mut self, proxy: Machine, host: usize, off: bool, by: Us) {
        if off {
            let told = self.told.entry((proxy, host)).or_insert(by);
            *told = by.min(*told);
        } else {
            self.told.remove(&(proxy, host));
        }
    }

    /// Operators left a host out at a proxy, or it heard so from the one beside it or before it, by then; or no more.
    pub fn by_hand(&mut self, proxy: Machine, host: usize, out: bool, by: Us) {
        if out {
            self.by_hand.entry((proxy, host)).or_insert(by);
        } else {
            self.by_hand.remove(&(proxy, host));
        }
    }

    /// The client of a request has closed its connection.
    pub fn leaves(&mut self, now: Us, id: &str) {
        self.left.insert(id.to_string(), now);
    }

    /// What a proxy was to hear after this moment never came.
    pub fn untells(&mut self, proxy: Machine, after: Us) {
        self.told.retain(|k, by| k.0 != proxy || *by <= after);
    }

    /// The whole of an attempt is at a host, sent at this time over the connection of this number; `held` tells
    /// whether the proxy still holds a connection open.
    #[allow(clippy::too_many_arguments, reason = "all that a host sees of an attempt")]
    pub fn attempt(
        &mut self, now: Us, id: &str, class: &Class, (host, group): (usize, usize),
        (proxy, number, sent): (Machine, u64, Us), held: impl Fn(u64) -> bool,
    ) -> usize {
        self.counts.attempts += 1;
        let f = self.figures;
        let before = self.attempts.entry(id.to_string()).or_default();
        let mut faults = Vec::new();
        if let Some(a) = before.iter().find(|a| a.state == State::Out && held(a.number)) {
            faults
                .push(("one attempt out", format!("{id} comes to host {host} while host {} has it", a.host)));
        }
        if let Some(a) = before.iter().find(|a| a.state != State::Refused) {
            match class.effect {
                Effect::Safe => {}
                Effect::Once => faults.push((
                    "no repeat beyond the class",
                    format!("{id} of {} comes again, and may have run at host {}", class.name, a.host),
                )),
                Effect::Keyed(window) if sent.saturating_sub(a.at) > window || a.group != group => {
                    let after = sent.saturating_sub(a.at);
                    faults.push((
                        "no repeat beyond the class",
                        format!("{id} was sent again {after} us later, its key is kept for {window}"),
                    ));
                }
                Effect::Keyed(_) => {}
            }
        }
        if before.len() >= f.most_tries {
            faults
                .push(("no repeat beyond the class", format!("{id} comes for the {}th time", before.len())));
        }
        if let Some(by) = self.told.get(&(proxy, host)).filter(|by| sent > **by + f.grace) {
            let what =
                format!("{id} was sent to host {host} {} us after machine {proxy} was told", sent - by);
            faults.push(("nothing new to a draining host", what));
        }
        if let Some(by) = self.by_hand.get(&(proxy, host)).filter(|by| sent > **by + f.grace) {
            let what = format!("{id} was sent to host {host}, left out by hand {} us before", sent - by);
            faults.push(("nothing new to a draining host", what));
        }
        if let Some(left) = self.left.get(id).filter(|left| sent > **left + f.gone + f.way) {
            self.begun_late += 1;
            if self.begun_late >= GONE_CASES {
                let what =
                    format!("{id} was sent {} us after its client had left, the {GONE_CASES}rd", sent - left);
                faults.push(("nothing begun for a client that left", what));
            }
        }
        before.push(Attempt { host, group, number, at: now, state: State::Out });
        let index = before.len() - 1;
        for (rule, what) in faults {
            let host = format!("host {host} ");
            self.breaks(rule, now, what, &[id, &host]);
        }
        index
    }

    /// How an attempt ended at its host.
    pub fn ended(&mut self, id: &str, index: usize, state: State) {
        if let Some(a) = self.attempts.get_mut(id).and_then(|a| a.get_mut(index)) {
            a.state = state;
        }
    }

    /// So much work came to a host that started at this time.
    pub fn works(&mut self, now: Us, host: usize, started: Us, work: f64) {
        let f = self.figures;
        let rise = now.saturating_sub(started) as f64 / f.cold as f64;
        let came = self.cold_work.entry(host).or_default();
        if rise >= 1.0 {
            return came.clear();
        }
        came.retain(|c| c.0 >= started && c.0 + f.overload_for > now);
        came.push_back((now, work));
        let share = f.start_capacity + (1.0 - f.start_capacity) * rise;
        let (sum, can) = (came.iter().map(|c| c.1).sum::<f64>(), share * f.cores * f.overload_for as f64);
        if sum > can * f.tip_multiple {
            let what = format!("host {host} got {:.1} times what it can do, {rise:.2} warm", sum / can);
            self.breaks("no cold host tipped over", now, what, &[&format!("host {host} ")]);
        }
    }

    /// A host made this answer, from data as of this position.
    pub fn makes(&mut self, value: &str, id: &str, position: Us) {
        self.made.insert(value.to_string(), Made { id: id.to_string(), position });
    }

    /// A client got a value for a request that it sent at this time, with this mark.
    pub fn gets(&mut self, now: Us, id: &str, class: &Class, (sent, mark): (Us, Us), value: &str) {
        self.counts.served += 1;
        let Some(made) = self.made.get(value).filter(|m| m.id == id) else {
            let what = format!("{id} got {value:?}, which no host made for it");
            return self.breaks("no answer nobody made", now, what, &[id, value]);
        };
        let behind = match class.need {
            Need::Bounded(bound) => sent.saturating_sub(made.position + bound),
            Need::Mark => mark.saturating_sub(made.position),
            Need::Any | Need::Write => 0,
        };
        // Positions are told in milliseconds.
        if behind > 1_000 {
            let what = format!("{id} of {} got data {behind} us too old", class.name);
            self.breaks("no stale read", now, what, &[id]);
        }
    }

    /// A client's request has no answer yet, or had one at this time; this late, the rule is broken.
    pub fn waits(&mut self, now: Us, id: &str, class: &Class, sent: Us, answered: bool) {
        let late = now.saturating_sub(sent + class.patience_ms * 1_000);
        if late > self.figures.way {
            let what = if answered { "was answered" } else { "is not answered" };
            let what = format!("{id} of {} {what} {late} us after its time", class.name);
            self.breaks("one final answer in time", now, what, &[id]);
        }
    }

    /// A client's connection ended in the middle of a request, or said something that nobody asked for.
    pub fn strange(&mut self, now: Us, id: &str, what: &str) {
        self.breaks("one final answer in time", now, format!("{id}: {what}"), &[id]);
    }
}
