//! Manual overrides in one process. `HostOverrides` takes them from operators, from other processes and from the folder,
//! passes those that are in effect to the core, and makes sure that each gets into its file. `crate::overrides` decides
//! which override is in effect. This module must never prevent a start: what cannot be read is logged and read again.

use super::core::Core;
use super::override_files::OverrideFiles;
use super::warn_rate_limited;
use crate::mutants;
use crate::overrides::{FileState, Finding, HostOverride, OverrideMessage, OverrideTable};
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use tracing::info;

/// The result of an operator's override that is in effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedOverride {
    /// Whether it is in its file, so that it binds later processes too.
    pub outlasts_process: bool,
}

/// The manual overrides that this process knows.
pub struct HostOverrides {
    core: Rc<Core>,
    files: Option<OverrideFiles>,
    table: RefCell<OverrideTable>,
    /// Whether the folder, or a file in it, could not be read and must be read again.
    has_unread_files: Cell<bool>,
}

impl HostOverrides {
    /// Starts with the overrides in the folder, if there is one.
    pub fn new(dir: Option<&Path>, core: Rc<Core>) -> HostOverrides {
        let files = dir.map(OverrideFiles::in_directory);
        let overrides =
            HostOverrides { core, files, table: RefCell::default(), has_unread_files: Cell::default() };
        if let Some(files) = &overrides.files
            && let Err(e) = files.create_folder()
        {
            let path = files.path().display();
            info!(target: "upgrade", "{path}: {e}; the next manual override tries to create the folder again");
        }
        overrides.read_folder(true);
        overrides
    }

    /// Leaves a database host out, or uses it again. If there is a folder, the override is in its file before this returns.
    /// The error says why the override failed; nothing has changed then.
    pub fn set(&self, host: &str, left_out: bool) -> Result<AppliedOverride, String> {
        // Another process may have accepted an override that this one has not received yet.
        self.read_folder(false);
        if self.core.is_left_out(host) != left_out {
            self.set_new(host, left_out)?;
        }
        let is_saved = self.table.borrow().is_saved(host, self.core.clock.now());
        Ok(AppliedOverride { outlasts_process: self.files.is_some() && is_saved })
    }

    fn set_new(&self, host: &str, left_out: bool) -> Result<(), String> {
        let now = self.core.clock.now();
        let value = self.table.borrow().create(host, left_out, now);
        self.table.borrow().check(host, value, value.stamp).map_err(|why| format!("{host:?}: {why}"))?;
        if let Some(files) = &self.files {
            let text = files.write(host, value)?;
            self.table.borrow_mut().set_file(host, FileState::Text(text));
        }
        self.table.borrow_mut().record(host, value);
        let state = if left_out { "left out" } else { "used again" };
        info!(target: "upgrade", "{host} is {state} by an operator's call to this process");
        self.core.override_host(host, left_out, value.stamp);
        Ok(())
    }

    /// Accepts an override from another process if it is valid.
    pub fn receive(&self, message: &serde_json::Value) {
        let message = match serde_json::from_value::<OverrideMessage>(message.clone()) {
            Ok(message) => message,
            Err(e) => {
                return warn_rate_limited(|| {
                    format!("upgrade: an override from another process is ignored: {e}")
                });
            }
        };
        let accepted = self.table.borrow_mut().receive(&message, self.core.clock.now());
        match accepted {
            Ok(true) => self.apply(&message.host, message.value()),
            Ok(false) => {}
            Err(why) => warn_rate_limited(|| {
                format!("upgrade: {:?}: an override from another process is ignored: {why}", message.host)
            }),
        }
    }

    /// The overrides that changed after the change number `change`, as many as have `max_name_bytes` of host names
    /// together, and the number of the last one returned.
    pub fn changed_after(&self, change: u64, max_name_bytes: usize) -> (Vec<OverrideMessage>, u64) {
        self.table.borrow().changed_after(change, max_name_bytes)
    }

    /// The number of the last change.
    pub fn last_change(&self) -> u64 {
        self.table.borrow().last_change()
    }

    /// Whether the folder, or a file in it, could not be read.
    pub fn has_unread_files(&self) -> bool {
        self.has_unread_files.get()
    }

    /// Whether an override is not in its file.
    pub fn has_unsaved(&self) -> bool {
        self.files.is_some() && !self.table.borrow().unsaved(self.core.clock.now()).is_empty()
    }

    /// Reads the folder, and applies the overrides in it that are new.
    pub fn read_folder(&self, is_starting: bool) {
        let Some(files) = self.files.as_ref().filter(|_| !mutants::on("files are not read")) else { return };
        let folder = match files.read() {
            Ok(folder) => folder,
            Err(e) => {
                let path = files.path().display();
                warn_rate_limited(|| format!("upgrade: {path}: {e}; the folder is read again soon"));
                return self.has_unread_files.set(true);
            }
        };
        self.has_unread_files.set(folder.files.iter().any(|(_, read)| read.is_err()));
        for path in folder.unknown_files.iter().filter(|_| is_starting) {
            info!(target: "upgrade", "{}: the file is named after no host and is left as it is", path.display());
        }
        let hosts = folder.hosts();
        for (host, read) in folder.files {
            match read {
                Ok(text) => self.observe_file(files, &host, &text, is_starting),
                Err(e) => {
                    warn_rate_limited(|| {
                        format!("upgrade: the override of {host}: {e}; its file is read again soon")
                    });
                    self.table.borrow_mut().set_file(&host, FileState::Unreadable);
                }
            }
        }
        self.table.borrow_mut().finish_folder_read(&hosts);
    }

    /// Takes in the text of a host's file.
    fn observe_file(&self, files: &OverrideFiles, host: &str, text: &str, is_starting: bool) {
        let finding = self.table.borrow_mut().observe_file(host, text, self.core.clock.now());
        match finding {
            Finding::Override(value) => self.apply(host, value),
            Finding::Invalid if is_starting => {
                info!(target: "upgrade", "the override of {host} is invalid; its file is left as it is");
            }
            Finding::Expired => files.remove(host),
            Finding::Nothing | Finding::Invalid => {}
        }
    }

    /// Writes overrides to their files that came from other processes, or that could not be written before.
    pub fn save(&self) {
        let Some(files) = self.files.as_ref().filter(|_| !self.has_unread_files.get()) else { return };
        let unsaved = self.table.borrow().unsaved(self.core.clock.now());
        for (host, value) in unsaved {
            match files.write(&host, value) {
                Ok(text) => {
                    info!(target: "upgrade", "the override of {host} is in its file again");
                    self.table.borrow_mut().set_file(&host, FileState::Text(text));
                }
                Err(e) => warn_rate_limited(|| format!("upgrade: {e}; the file is written again soon")),
            }
        }
    }

    /// Passes an override from a file or another process to the core.
    fn apply(&self, host: &str, value: HostOverride) {
        let state = if value.left_out { "left out" } else { "used again" };
        info!(target: "upgrade", "{host} was {state} by a manual override");
        self.core.override_host(host, value.left_out, value.stamp);
    }
}
