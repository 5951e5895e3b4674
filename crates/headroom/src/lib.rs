//! Online estimation of capacity and admission control: the capacity of each host, the work offered to its group, and
//! the headroom that is left. Under overload it says which requests to reject: those worth least for their work. Pure:
//! it is told what happened and when. It never rejects a request to a group whose capacity limit was not yet observed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::Serialize;
use std::collections::BTreeMap;

/// A time in microseconds.
pub type Micros = u64;

/// Figures are brought up to date this often.
const PERIOD: Micros = 100_000;
/// Weight of the old value of a rate, for each period: half is forgotten in about 0.7 s.
const RATE_DECAY: f64 = 0.905;
/// The median of a class's latencies at hosts that are not full moves by this part of itself: service without wait.
const MEDIAN_STEP: f64 = 0.02;
/// An answer that took so many times that median waited: its host has no core free. Where times vary as they do, with
/// no wait, 2 (cv^2 0.3) to 9 (cv^2 1) in 100 take longer. Guards against idle hosts that pass for full ones.
const QUEUED_FACTOR: f64 = 3.0;
/// Over this share of such answers, or of attempts turned away, a host is full.
const FULL_SHARE: f64 = 0.3;
/// A capacity that was seen follows the work of a full host by this part, and is trusted for so long.
const CAPACITY_STEP: f64 = 0.2;
const CAPACITY_VALID_FOR: Micros = 30_000_000;
/// A host that is not full may do so many times as much with each period. Guards against an end that was seen too
/// early and is never reached again, since no more is let in.
const CAPACITY_GROWTH: f64 = 1.004;
/// The least part of a class that is let in: without any, nothing would show that it fits again.
const MIN_ADMITTED: f64 = 0.02;
/// So much of a group's capacity is given out.
const USABLE_SHARE: f64 = 0.95;
/// Classes whose worth for their work is within this part of each other count as alike.
const SAME_TIER: f64 = 0.6;
/// Attempts that a figure needs.
const MIN_SAMPLES: u32 = 20;
/// Hosts and groups that are kept; what was silent for so long is forgotten.
const MAX_ENTRIES: usize = 4_096;
const FORGET_AFTER: Micros = 60_000_000;

/// What a class is worth, and whether only primaries take it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// The worth of one in time.
    pub worth: f64,
    /// Whether it writes.
    pub writes: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served after so many microseconds.
    Served(Micros),
    /// Turned away, or no answer in time: the host is full, or worse.
    Overloaded,
    /// Anything else, which says nothing of capacity.
    Other,
}

/// What is known of one host.
#[derive(Default)]
struct Host {
    group: u32,
    /// Core-seconds a second that it served, and the part by each class.
    work: f64,
    /// In this period.
    served: f64,
    tried: u32,
    full: u32,
    /// Share of attempts that found it full.
    share_full: f64,
    /// What it can do, and when that was last seen.
    capacity: Option<(f64, Micros)>,
    /// The most that it did without being full.
    most: f64,
    primary: bool,
    last: Micros,
}

/// What is known of one group.
#[derive(Default)]
struct Group {
    /// Arrivals a second by class, and in this period.
    rates: Vec<f64>,
    arrived: Vec<u32>,
    /// How far its replicas are behind, and how fast that grows, in seconds and seconds a second.
    lag: Option<(f64, Micros)>,
    growth: f64,
    /// The part of each class that is let in.
    admitted: Vec<f64>,
    last: Micros,
}

/// What operators see of a group.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct GroupHeadroom {
    /// The part of its capacity that is not asked for; negative where more is asked for than it can do.
    pub headroom: f64,
    /// Whether its capacity was seen; else it is at least what it did.
    pub seen: bool,
    /// The same of its primary, by its writes.
    pub primary: f64,
    /// How much slower than the log its replicas may be: 1 where they do not fall behind, 0 where they apply nothing.
    pub apply_slack: f64,
    /// What saturates next.
    pub next: &'static str,
    /// The part of each class that is let in.
    pub admitted: Vec<f64>,
}

/// The headroom of all groups.
pub struct Headroom {
    classes: Vec<Class>,
    /// What each class takes without wait, in seconds.
    service: Vec<f64>,
    seen: Vec<u32>,
    hosts: BTreeMap<u32, Host>,
    groups: BTreeMap<u32, Group>,
    due: Micros,
}

impl Headroom {
    /// One that has seen nothing, for these classes.
    pub fn new(classes: Vec<Class>) -> Headroom {
        let n = classes.len();
        let (hosts, groups) = Default::default();
        Headroom { classes, service: vec![0.0; n], seen: vec![0; n], hosts, groups, due: 0 }
    }

    /// A request came. Whether to let it in: `lot` is drawn evenly from 0 to 1.
    pub fn admit(&mut self, class: u8, group: u32, lot: f64, now: Micros) -> bool {
        self.update(now);
        let n = self.classes.len();
        let c = usize::from(class);
        if c >= n || (self.groups.len() >= MAX_ENTRIES && !self.groups.contains_key(&group)) {
            return true;
        }
        let g = self.groups.entry(group).or_default();
        g.last = now;
        g.rates.resize(n, 0.0);
        g.arrived.resize(n, 0);
        g.admitted.resize(n, 1.0);
        g.arrived[c] += 1;
        lot < g.admitted[c]
    }

    /// An attempt ended at a host.
    pub fn attempt_ended(&mut self, class: u8, group: u32, host: u32, ended: AttemptOutcome, now: Micros) {
        self.update(now);
        let c = usize::from(class);
        let Some(of) = self.classes.get(c).copied() else { return };
        if self.hosts.len() >= MAX_ENTRIES && !self.hosts.contains_key(&host) {
            return;
        }
        let h = self.hosts.entry(host).or_default();
        (h.group, h.last) = (group, now);
        match ended {
            AttemptOutcome::Served(us) => {
                let took = us as f64 / 1e6;
                let s = &mut self.service[c];
                if self.seen[c] == 0 {
                    *s = took;
                } else if h.share_full <= FULL_SHARE {
                    // Fast at first: a rare class would else be held for its first answer for a minute.
                    let step = MEDIAN_STEP.max(0.3 / f64::from(self.seen[c] + 1));
                    *s *= if took > *s { 1.0 + step } else { 1.0 - step };
                }
                self.seen[c] = self.seen[c].saturating_add(1);
                h.served += *s;
                h.tried += 1;
                h.full += u32::from(took > *s * QUEUED_FACTOR);
                h.primary |= of.writes;
            }
            AttemptOutcome::Overloaded => {
                h.tried += 1;
                h.full += 1;
            }
            AttemptOutcome::Other => {}
        }
    }

    /// A replica is so far behind its group's log.
    pub fn replica_lag(&mut self, group: u32, lag: Micros, now: Micros) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        let lag = lag as f64 / 1e6;
        match g.lag {
            Some((before, at)) if now > at + PERIOD => {
                let grows = (lag - before) / ((now - at) as f64 / 1e6);
                g.growth = 0.7 * g.growth + 0.3 * grows.clamp(-1.0, 1.0);
                g.lag = Some((lag, now));
            }
            Some(_) => {}
            None => g.lag = Some((lag, now)),
        }
    }

    /// Brings the figures up to date, as often as is due.
    fn update(&mut self, now: Micros) {
        if self.due == 0 {
            self.due = now + PERIOD;
        }
        if now < self.due {
            return;
        }
        // After a silence one longer period stands for all that were missed.
        let span = (now + PERIOD - self.due) as f64 / 1e6;
        let old = RATE_DECAY.powf(span / (PERIOD as f64 / 1e6));
        self.due = now + PERIOD;
        self.hosts.retain(|_, h| h.last + FORGET_AFTER > now);
        self.groups.retain(|_, g| g.last + FORGET_AFTER > now);
        for h in self.hosts.values_mut() {
            h.work = old * h.work + (1.0 - old) * h.served / span;
            if h.tried > 0 {
                let share = f64::from(h.full) / f64::from(h.tried);
                let weight = 1.0 - RATE_DECAY.powf(f64::from(h.tried) / 4.0);
                h.share_full += weight * (share - h.share_full);
            }
            if h.tried == 0 {
                // Guards against a host of which nothing is heard because nothing is let in: its end is forgotten.
                h.share_full *= RATE_DECAY;
                h.capacity = h.capacity.filter(|c| c.1 + CAPACITY_VALID_FOR > now);
            } else if h.share_full > FULL_SHARE {
                let capacity = h.capacity.map_or(h.work, |c| c.0 + CAPACITY_STEP * (h.work - c.0));
                h.capacity = Some((capacity.max(1e-6), now));
            } else {
                h.most = (h.most * 0.9999).max(h.work);
                // It does more than was thought, and is not full; what it might do beyond is tried little by little.
                let grown = |c: (f64, Micros)| ((c.0 * CAPACITY_GROWTH).max(h.work), c.1);
                h.capacity = h.capacity.filter(|c| c.1 + CAPACITY_VALID_FOR > now).map(grown);
            }
            (h.served, h.tried, h.full) = (0.0, 0, 0);
        }
        for g in self.groups.values_mut() {
            for (rate, n) in g.rates.iter_mut().zip(&mut g.arrived) {
                *rate = old * *rate + (1.0 - old) * f64::from(*n) / span;
                *n = 0;
            }
        }
        let ids: Vec<u32> = self.groups.keys().copied().collect();
        for id in ids {
            let admitted = self.admission_shares(id);
            if let Some(g) = self.groups.get_mut(&id) {
                g.admitted = admitted;
            }
        }
    }

    /// What a group's hosts can do, and whether all of it was seen; of its primary alone where wanted.
    fn capacity(&self, group: u32, primary: bool) -> (f64, bool) {
        let hosts = self.hosts.values().filter(|h| h.group == group && (h.primary || !primary));
        hosts.fold((0.0, true), |(sum, seen), h| match h.capacity {
            Some((c, _)) => (sum + c, seen),
            None => (sum + h.most, false),
        })
    }

    /// Work that comes to a group, by class, in core-seconds a second.
    fn offered_work(&self, group: u32) -> Vec<f64> {
        let rates = self.groups.get(&group).map_or(&[][..], |g| &g.rates);
        rates.iter().zip(&self.service).map(|(r, s)| r * s).collect()
    }

    /// The part of each class to let in: all that fits, the worthiest for its work first.
    fn admission_shares(&self, group: u32) -> Vec<f64> {
        let n = self.classes.len();
        let (all, seen) = self.capacity(group, false);
        let asked = self.offered_work(group);
        if !seen || asked.len() < n || asked.iter().sum::<f64>() <= all * USABLE_SHARE {
            return vec![1.0; n];
        }
        let mut order: Vec<usize> = (0..n).collect();
        let value = |c: usize| self.classes[c].worth / self.service[c].max(1e-6);
        order.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
        // Of a class that was hardly seen nothing is known.
        order.retain(|&c| self.seen[c] >= MIN_SAMPLES && asked[c] > 0.0);
        let (mut left, mut shares) = (all * USABLE_SHARE, vec![1.0; n]);
        let mut rest = order.as_slice();
        while let Some(&first) = rest.first() {
            // Classes of about the same value share what is left. Guards against a rare one that is shut out by the
            // error of what it is learnt to take.
            let alike = rest.iter().take_while(|&&c| value(c) >= SAME_TIER * value(first)).count();
            let (tier, others) = rest.split_at(alike.max(1));
            let work: f64 = tier.iter().map(|&c| asked[c]).sum();
            tier.iter().for_each(|&c| shares[c] = (left / work).clamp(MIN_ADMITTED, 1.0));
            left = (left - work).max(0.0);
            rest = others;
        }
        shares
    }

    /// What is left of each group.
    pub fn by_group(&self) -> BTreeMap<u32, GroupHeadroom> {
        let one = |(&id, g): (&u32, &Group)| {
            let asked = self.offered_work(id);
            let part = |work: f64, of: f64| if of > 0.0 { 1.0 - work / of } else { 0.0 };
            let (all, seen) = self.capacity(id, false);
            let headroom = part(asked.iter().sum(), all);
            let written: f64 =
                asked.iter().zip(&self.classes).filter(|(_, c)| c.writes).map(|(w, _)| *w).sum();
            let (of_primary, _) = self.capacity(id, true);
            let primary = if written > 0.0 { part(written, of_primary) } else { 1.0 };
            let apply_slack = (1.0 - g.growth.max(0.0)).clamp(0.0, 1.0);
            let next = match () {
                () if apply_slack < 0.9 => "apply thread",
                () if primary < headroom => "primary cores",
                () => "group cores",
            };
            (id, GroupHeadroom { headroom, seen, primary, apply_slack, next, admitted: g.admitted.clone() })
        };
        self.groups.iter().map(one).collect()
    }
}
