//! Manual overrides: which database hosts operators have left out, or use again, and how processes on one machine agree
//! on it. This module is pure. Its input is what was read from a file, received from another process or requested by an
//! operator, with the time. It must never access a file or a connection.
//!
//! Each override has a stamp, a hybrid logical clock: the time of the process that accepted it, or the stamp of the
//! override that it replaces plus one where that is later. An override that is given with knowledge of another one
//! therefore outranks it, whatever the clocks of the two processes show. Of two overrides that were given without
//! knowledge of each other, every process keeps the one with the later stamp. Of two with equal stamps, every process
//! keeps the one that leaves the host out.

use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of hosts whose overrides are kept.
pub const MAX_OVERRIDES: usize = 4_096;
/// The longest host name that an override may have. The override's file is named after the host, in hexadecimal.
pub const MAX_NAME_BYTES: usize = 127;
/// A stamp further ahead of the clock than this, 24 hours, does not come from a clock.
pub const MAX_STAMP_AHEAD_US: Micros = 24 * 3_600_000_000;
/// A host that is used again is warm after this time, 60 s. From then on it makes no difference that it was left out.
pub const WARM_AFTER_US: Micros = 60_000_000;

/// Marks a stamp in a file as comparable with other stamps. Versions that don't know the mark parse it as a plus sign.
const COMPARABLE_MARK: char = '+';

/// An operator's override of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostOverride {
    /// Whether the host is left out. Otherwise it is used again.
    pub left_out: bool,
    /// When the override was given, as a hybrid logical clock in microseconds since the Unix epoch.
    pub stamp: Micros,
}

impl HostOverride {
    /// Whether this override replaces `other`.
    pub fn outranks(self, other: HostOverride) -> bool {
        (self.stamp, self.left_out) > (other.stamp, other.left_out)
    }

    /// Whether the override means nothing any more to a process that does not know the host.
    fn is_expired(self, now: Micros) -> bool {
        !self.left_out && self.stamp.saturating_add(WARM_AFTER_US) <= now
    }
}

/// An override as its file holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredOverride {
    /// The override.
    pub value: HostOverride,
    /// Whether the stamp can be compared with others. Earlier versions wrote the plain time of their clock.
    pub comparable: bool,
}

impl StoredOverride {
    /// Parses the text of a file. Returns `None` if it is not an override.
    pub fn parse(text: &str) -> Option<StoredOverride> {
        let (state, stamp) = text.split_once(' ')?;
        let left_out = match state {
            "down" => true,
            "up" => false,
            _ => return None,
        };
        let comparable = stamp.starts_with(COMPARABLE_MARK);
        Some(StoredOverride { value: HostOverride { left_out, stamp: stamp.parse().ok()? }, comparable })
    }

    /// The text of an override's file.
    pub fn format(value: HostOverride) -> String {
        format!("{} {COMPARABLE_MARK}{}", if value.left_out { "down" } else { "up" }, value.stamp)
    }
}

/// An override of one host, as processes send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct OverrideMessage {
    /// The host's name.
    pub host: String,
    /// Whether the host is left out.
    #[serde(rename = "out")]
    pub left_out: bool,
    /// The override's stamp.
    pub stamp: Micros,
}

impl OverrideMessage {
    /// The override without the host's name.
    pub fn value(&self) -> HostOverride {
        HostOverride { left_out: self.left_out, stamp: self.stamp }
    }
}

/// Why an override is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its stamp is too far ahead of the clock.
    StampAhead,
    /// Its host's name is empty or too long.
    BadName,
    /// `MAX_OVERRIDES` hosts have overrides already.
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

/// The state of a host's file when it was last read or written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum FileState {
    /// There is no file.
    #[default]
    Absent,
    /// The file holds this text.
    Text(String),
    /// The file exists, but it could not be read.
    Unreadable,
}

/// What the text of a host's file means for the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The file holds nothing new.
    Nothing,
    /// The file holds an override that is in effect from now on.
    Override(HostOverride),
    /// The text is not an override that can be accepted.
    Invalid,
    /// The override has expired, and its file may be removed.
    Expired,
}

/// What is known about one host.
#[derive(Debug, Default)]
struct Entry {
    current: Option<HostOverride>,
    file: FileState,
    /// The number of the change that set `current`.
    change: u64,
}

impl Entry {
    /// The stamp in the host's file.
    fn stored_stamp(&self) -> Option<Micros> {
        let FileState::Text(text) = &self.file else { return None };
        StoredOverride::parse(text).map(|stored| stored.value.stamp)
    }

    /// Whether the file must be written so that the override outlasts this process.
    fn needs_saving(&self, now: Micros) -> bool {
        let Some(current) = self.current else { return false };
        match &self.file {
            FileState::Unreadable => false,
            FileState::Absent => !current.is_expired(now),
            FileState::Text(text) => match StoredOverride::parse(text) {
                Some(stored) if stored.comparable => {
                    stored.value.left_out != current.left_out || stored.value.stamp < current.stamp
                }
                // Written by a version that does not compare stamps. That version takes any other text for a new
                // override, so the text stays unless it says the opposite.
                Some(stored) => stored.value.left_out != current.left_out,
                None => true,
            },
        }
    }
}

/// The overrides that a process knows, and what their files hold.
#[derive(Debug, Default)]
pub struct OverrideTable {
    entries: BTreeMap<String, Entry>,
    /// Hosts by the number of the change that set their current override.
    changes: BTreeMap<u64, String>,
    last_change: u64,
    /// Whether the whole folder was read once. A file that appears after that is new.
    has_read_folder: bool,
}

impl OverrideTable {
    /// Creates the override that an operator gives now. The caller writes it to its file, then calls `record`.
    pub fn create(&self, host: &str, left_out: bool, now: Micros) -> HostOverride {
        let entry = self.entries.get(host);
        let known_stamp = entry
            .and_then(|e| e.current)
            .map(|current| current.stamp)
            .max(entry.and_then(Entry::stored_stamp));
        HostOverride { left_out, stamp: now.max(known_stamp.map_or(0, |stamp| stamp.saturating_add(1))) }
    }

    /// The override of a host that is in effect.
    pub fn current(&self, host: &str) -> Option<HostOverride> {
        self.entries.get(host)?.current
    }

    /// Checks whether an override of this host may be accepted.
    pub fn check(&self, host: &str, value: HostOverride, now: Micros) -> Result<(), Rejection> {
        if host.is_empty() || host.len() > MAX_NAME_BYTES {
            return Err(Rejection::BadName);
        }
        if value.stamp > now.saturating_add(MAX_STAMP_AHEAD_US) {
            return Err(Rejection::StampAhead);
        }
        if self.entries.len() >= MAX_OVERRIDES && !self.entries.contains_key(host) {
            return Err(Rejection::TooMany);
        }
        Ok(())
    }

    /// Accepts an override from another process. Returns whether it is in effect from now on.
    pub fn receive(&mut self, message: &OverrideMessage, now: Micros) -> Result<bool, Rejection> {
        let value = message.value();
        self.check(&message.host, value, now)?;
        let is_newer = self.current(&message.host).is_none_or(|known| value.outranks(known));
        if is_newer {
            self.record(&message.host, value);
        }
        Ok(is_newer)
    }

    /// Puts an override into effect, and numbers the change.
    pub fn record(&mut self, host: &str, value: HostOverride) {
        self.last_change += 1;
        let entry = self.entries.entry(host.to_string()).or_default();
        self.changes.remove(&entry.change);
        entry.current = Some(value);
        entry.change = self.last_change;
        self.changes.insert(self.last_change, host.to_string());
    }

    /// Records the state of a host's file after it was written, or could not be read.
    pub fn set_file(&mut self, host: &str, file: FileState) {
        self.entries.entry(host.to_string()).or_default().file = file;
    }

    /// Records that the whole folder was read, and that it holds files of these hosts only.
    pub fn finish_folder_read(&mut self, hosts: &BTreeSet<String>) {
        self.has_read_folder = true;
        for (host, entry) in &mut self.entries {
            if !hosts.contains(host) {
                entry.file = FileState::Absent;
            }
        }
    }

    /// Takes in the text of a host's file.
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
        let is_new = match file {
            FileState::Text(_) => true,
            FileState::Absent => self.has_read_folder,
            // The file existed before, so it is not known when this text was written.
            FileState::Unreadable => false,
        };
        let is_ahead = stored.value.stamp > now.saturating_add(MAX_STAMP_AHEAD_US);
        let value = match stored {
            StoredOverride { value, comparable: true } if !is_ahead => value,
            StoredOverride { value, .. } => self.with_comparable_stamp(host, value, is_new, now),
        };
        if self.check(host, value, now).is_err() {
            return Finding::Invalid;
        }
        self.set_file(host, FileState::Text(text.to_string()));
        match known {
            Some(known) if !value.outranks(known) => Finding::Nothing,
            None if value.is_expired(now) => {
                self.record(host, value);
                Finding::Expired
            }
            _ => {
                self.record(host, value);
                Finding::Override(value)
            }
        }
    }

    /// Gives an override whose stamp cannot be compared a stamp that can. A new file was written with knowledge of the
    /// file before it, by a clock of which nothing is known, so its override outranks the known one. A file that repeats
    /// the known override changes nothing.
    fn with_comparable_stamp(
        &self, host: &str, stored: HostOverride, is_new: bool, now: Micros,
    ) -> HostOverride {
        let (left_out, stamp) = (stored.left_out, stored.stamp.min(now));
        match self.current(host) {
            Some(known) if known.left_out == left_out => known,
            Some(known) if is_new => {
                HostOverride { left_out, stamp: stamp.max(known.stamp.saturating_add(1)) }
            }
            _ => HostOverride { left_out, stamp },
        }
    }

    /// The number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// The overrides that changed after the change number `change`, oldest first, and the number of the last one
    /// returned. Returns as many as have `max_name_bytes` of host names together, and at least one if there is any.
    pub fn changed_after(&self, change: u64, max_name_bytes: usize) -> (Vec<OverrideMessage>, u64) {
        let (mut messages, mut last, mut name_bytes) = (Vec::new(), change, 0);
        for (number, host) in self.changes.range(change + 1..) {
            name_bytes += host.len();
            if name_bytes > max_name_bytes && !messages.is_empty() {
                break;
            }
            last = *number;
            let current = self.current(host);
            messages.extend(current.map(|current| OverrideMessage {
                host: host.clone(),
                left_out: current.left_out,
                stamp: current.stamp,
            }));
        }
        (messages, last)
    }

    /// The overrides that are not in their files.
    pub fn unsaved(&self, now: Micros) -> Vec<(String, HostOverride)> {
        let unsaved = self.entries.iter().filter(|(_, entry)| entry.needs_saving(now));
        unsaved.filter_map(|(host, entry)| Some((host.clone(), entry.current?))).collect()
    }

    /// Whether this host's override is in its file, or there is none.
    pub fn is_saved(&self, host: &str, now: Micros) -> bool {
        self.entries.get(host).is_none_or(|entry| !entry.needs_saving(now))
    }
}
