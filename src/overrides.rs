//! Orders by hand: which database hosts operators leave out or use again, as processes beside each other and those after
//! them agree on it. Pure: what comes is what was read, heard or asked for, with the time. It must never touch a file
//! or a connection.
//!
//! Each order has a stamp, a hybrid logical clock: the time of the process that took it, or one more than the stamp
//! it replaces where that is later. So an order that was given in knowledge of another outranks it, whatever the clocks
//! of the two processes say. Of two orders that were given in ignorance of each other the later stamp counts
//! everywhere, and of two with one stamp the one that leaves the host out.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts of which orders are kept.
pub const MAX_OVERRIDES: usize = 4_096;
/// The longest name of a host that an order may have: its file is named by it in hexadecimal.
pub const MAX_NAME_BYTES: usize = 127;
/// What is stamped further ahead of the clock than this, 24 hours, was not stamped by any clock.
pub const MAX_STAMP_AHEAD_US: Micros = 24 * 3_600_000_000;
/// A host that is used again is warm after this long, 60 s, and that it was out makes no difference any more.
pub const WARM_AFTER_US: Micros = 60_000_000;

/// Marks a stamp in a file as one that can be compared with others. Versions that do not know the mark read it as a sign.
const COMPARABLE: char = '+';

/// What operators ordered of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostOverride {
    /// Whether it is left out; else it is used again.
    pub out: bool,
    /// When, as a hybrid logical clock in microseconds since the Unix epoch.
    pub stamp: Micros,
}

impl HostOverride {
    /// Whether this order counts where the other is known.
    pub fn outranks(self, other: HostOverride) -> bool {
        (self.stamp, self.out) > (other.stamp, other.out)
    }

    /// Whether it says nothing any more to a process that does not know of the host.
    fn is_spent(self, now: Micros) -> bool {
        !self.out && self.stamp.saturating_add(WARM_AFTER_US) <= now
    }
}

/// An order as its file says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredOverride {
    /// The order.
    pub order: HostOverride,
    /// Whether its stamp can be compared; earlier versions wrote the plain time of their clock.
    pub comparable: bool,
}

impl StoredOverride {
    /// Reads what is in a file; nothing where it is no order.
    pub fn parse(text: &str) -> Option<StoredOverride> {
        let (state, stamp) = text.split_once(' ')?;
        let out = match state {
            "down" => true,
            "up" => false,
            _ => return None,
        };
        let comparable = stamp.starts_with(COMPARABLE);
        Some(StoredOverride { order: HostOverride { out, stamp: stamp.parse().ok()? }, comparable })
    }

    /// What the file of an order says.
    pub fn format(order: HostOverride) -> String {
        format!("{} {COMPARABLE}{}", if order.out { "down" } else { "up" }, order.stamp)
    }
}

/// An order of a host, as processes tell it each other.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct OverrideMessage {
    /// The host's name.
    pub host: String,
    /// Whether it is left out.
    pub out: bool,
    /// The order's stamp.
    pub stamp: Micros,
}

impl OverrideMessage {
    /// The order that is told.
    pub fn order(&self) -> HostOverride {
        HostOverride { out: self.out, stamp: self.stamp }
    }
}

/// Why an order is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its stamp is too far ahead of the clock.
    StampAhead,
    /// Its host's name is empty or too long.
    BadName,
    /// Too many hosts have orders already.
    TooMany,
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Rejection::StampAhead => "its time is too far ahead",
            Rejection::BadName => "its host's name is empty or too long",
            Rejection::TooMany => "too many hosts have orders",
        })
    }
}

/// What the file of a host was found to be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum FileState {
    /// There is none.
    #[default]
    Absent,
    /// It says this.
    Text(String),
    /// It is there, and could not be read.
    Unreadable,
}

/// What a look at a host's file means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing that was not known.
    Nothing,
    /// An order that counts from now on.
    Override(HostOverride),
    /// It is no order.
    Invalid,
    /// It says nothing any more, and may be removed.
    Expired,
}

/// What is known of one host.
#[derive(Debug, Default)]
struct Entry {
    order: Option<HostOverride>,
    file: FileState,
    /// The number of the change that made it so.
    change: u64,
}

impl Entry {
    /// The stamp in its file.
    fn stored_stamp(&self) -> Option<Micros> {
        let FileState::Text(text) = &self.file else { return None };
        StoredOverride::parse(text).map(|stored| stored.order.stamp)
    }

    /// Whether its file has to be written for the order to outlast this process.
    fn needs_saving(&self, now: Micros) -> bool {
        let Some(order) = self.order else { return false };
        match &self.file {
            FileState::Unreadable => false,
            FileState::Absent => !order.is_spent(now),
            FileState::Text(text) => match StoredOverride::parse(text) {
                Some(stored) if stored.comparable => {
                    stored.order.out != order.out || stored.order.stamp < order.stamp
                }
                // A version that compares no stamps wrote it: it takes every other text for an order.
                Some(stored) => stored.order.out != order.out,
                None => true,
            },
        }
    }
}

/// The orders that a process knows, and what the files say of them.
#[derive(Debug, Default)]
pub struct OverrideTable {
    entries: BTreeMap<String, Entry>,
    /// Hosts by the number of the change that made their order what it is.
    changes: BTreeMap<u64, String>,
    last_change: u64,
    /// Whether the whole folder was read once: what is found there from then on is news.
    has_read_folder: bool,
}

impl OverrideTable {
    /// The order that operators give now, to be written to its file and then recorded.
    pub fn create(&self, host: &str, out: bool, now: Micros) -> HostOverride {
        let entry = self.entries.get(host);
        let known =
            entry.and_then(|e| e.order).map(|order| order.stamp).max(entry.and_then(Entry::stored_stamp));
        HostOverride { out, stamp: now.max(known.map_or(0, |stamp| stamp.saturating_add(1))) }
    }

    /// What counts of a host.
    pub fn current(&self, host: &str) -> Option<HostOverride> {
        self.entries.get(host)?.order
    }

    /// Whether an order of this host may be taken.
    pub fn check(&self, host: &str, order: HostOverride, now: Micros) -> Result<(), Rejection> {
        if host.is_empty() || host.len() > MAX_NAME_BYTES {
            return Err(Rejection::BadName);
        }
        if order.stamp > now.saturating_add(MAX_STAMP_AHEAD_US) {
            return Err(Rejection::StampAhead);
        }
        if self.entries.len() >= MAX_OVERRIDES && !self.entries.contains_key(host) {
            return Err(Rejection::TooMany);
        }
        Ok(())
    }

    /// Takes an order that another process told; whether it counts from now on.
    pub fn receive(&mut self, told: &OverrideMessage, now: Micros) -> Result<bool, Rejection> {
        let order = told.order();
        self.check(&told.host, order, now)?;
        let counts = self.current(&told.host).is_none_or(|known| order.outranks(known));
        if counts {
            self.record(&told.host, order);
        }
        Ok(counts)
    }

    /// From now on this counts.
    pub fn record(&mut self, host: &str, order: HostOverride) {
        self.last_change += 1;
        let entry = self.entries.entry(host.to_string()).or_default();
        self.changes.remove(&entry.change);
        entry.order = Some(order);
        entry.change = self.last_change;
        self.changes.insert(self.last_change, host.to_string());
    }

    /// The file of a host was written, or could not be read.
    pub fn set_file(&mut self, host: &str, file: FileState) {
        self.entries.entry(host.to_string()).or_default().file = file;
    }

    /// The whole folder was read, and held files of these hosts only.
    pub fn finish_folder_read(&mut self, hosts: &BTreeSet<String>) {
        self.has_read_folder = true;
        for (host, entry) in &mut self.entries {
            if !hosts.contains(host) {
                entry.file = FileState::Absent;
            }
        }
    }

    /// The file of a host says this.
    pub fn observe_file(&mut self, host: &str, text: &str, now: Micros) -> Finding {
        let entry = self.entries.get(host);
        let file = entry.map_or(FileState::Absent, |e| e.file.clone());
        if matches!(&file, FileState::Text(known) if known == text) {
            return Finding::Nothing;
        }
        let known = self.current(host);
        let Some(stored) = StoredOverride::parse(text) else {
            self.set_file(host, FileState::Text(text.to_string()));
            return Finding::Invalid;
        };
        let is_news = match file {
            FileState::Text(_) => true,
            FileState::Absent => self.has_read_folder,
            // It was there before: when it was written is not known.
            FileState::Unreadable => false,
        };
        let is_ahead = stored.order.stamp > now.saturating_add(MAX_STAMP_AHEAD_US);
        let order = match stored {
            StoredOverride { order, comparable: true } if !is_ahead => order,
            StoredOverride { order, .. } => self.compared(host, order, is_news, now),
        };
        if self.check(host, order, now).is_err() {
            return Finding::Invalid;
        }
        self.set_file(host, FileState::Text(text.to_string()));
        match known {
            Some(known) if !order.outranks(known) => Finding::Nothing,
            None if order.is_spent(now) => {
                self.record(host, order);
                Finding::Expired
            }
            _ => {
                self.record(host, order);
                Finding::Override(order)
            }
        }
    }

    /// A plain time as a stamp. What comes as news was written in knowledge of what was there before, by a clock of
    /// which nothing is known; that the same is ordered again is no news.
    fn compared(&self, host: &str, stored: HostOverride, is_news: bool, now: Micros) -> HostOverride {
        let (out, stamp) = (stored.out, stored.stamp.min(now));
        match self.current(host) {
            Some(known) if known.out == out => known,
            Some(known) if is_news => HostOverride { out, stamp: stamp.max(known.stamp.saturating_add(1)) },
            _ => HostOverride { out, stamp },
        }
    }

    /// The number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Orders that changed behind this change, oldest first, as many as have names of so many bytes together, and one at
    /// least; with the number of the last of them.
    pub fn changed_after(&self, change: u64, most_bytes: usize) -> (Vec<OverrideMessage>, u64) {
        let (mut told, mut last, mut bytes) = (Vec::new(), change, 0);
        for (number, host) in self.changes.range(change + 1..) {
            bytes += host.len();
            if bytes > most_bytes && !told.is_empty() {
                break;
            }
            last = *number;
            let order = self.current(host);
            told.extend(order.map(|order| OverrideMessage {
                host: host.clone(),
                out: order.out,
                stamp: order.stamp,
            }));
        }
        (told, last)
    }

    /// Orders that are not in their files.
    pub fn unsaved(&self, now: Micros) -> Vec<(String, HostOverride)> {
        let unsaved = self.entries.iter().filter(|(_, entry)| entry.needs_saving(now));
        unsaved.filter_map(|(host, entry)| Some((host.clone(), entry.order?))).collect()
    }

    /// Whether this host's order is in its file.
    pub fn is_saved(&self, host: &str, now: Micros) -> bool {
        self.entries.get(host).is_none_or(|entry| !entry.needs_saving(now))
    }
}
