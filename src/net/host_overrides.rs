//! Orders by hand in one process: takes them from operators, from other processes and from the folder, hands those that
//! count to the core, and sees to it that each gets into its file. Which order counts is `crate::overrides`' to say. It must
//! never hinder a start: what cannot be read is logged, and read again.

use super::core::Core;
use super::override_files::OverrideFiles;
use super::warn_rate_limited;
use crate::mutants;
use crate::overrides::{FileState, Finding, HostOverride, OverrideMessage, OverrideTable};
use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use tracing::info;

/// An order that operators gave, and that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedOverride {
    /// Whether it is in its file, and so binds later processes too.
    pub outlasts_process: bool,
}

/// The orders that this process knows.
pub struct HostOverrides {
    core: Rc<Core>,
    files: Option<OverrideFiles>,
    book: RefCell<OverrideTable>,
    /// Something in the folder could not be read, and has to be.
    unread: Cell<bool>,
}

impl HostOverrides {
    /// Those that the folder holds, if there is one.
    pub fn new(dir: Option<&Path>, core: Rc<Core>) -> HostOverrides {
        let files = dir.map(OverrideFiles::within);
        let orders = HostOverrides { core, files, book: RefCell::default(), unread: Cell::default() };
        if let Some(files) = &orders.files
            && let Err(e) = files.make()
        {
            let path = files.path().display();
            info!(target: "upgrade", "{path}: {e}; made again with the next order by hand");
        }
        orders.read_folder(true);
        orders
    }

    /// Leaves a database host out, or uses it again; the error is why not, and nothing has changed then. It is in its
    /// file, where there is a folder, before this returns.
    pub fn give(&self, host: &str, out: bool) -> Result<AppliedOverride, String> {
        // Another process may have taken an order that was not heard of yet.
        self.read_folder(false);
        if self.core.is_out(host) != out {
            self.give_anew(host, out)?;
        }
        let is_saved = self.book.borrow().is_saved(host, self.core.clock.now());
        Ok(AppliedOverride { outlasts_process: self.files.is_some() && is_saved })
    }

    fn give_anew(&self, host: &str, out: bool) -> Result<(), String> {
        let now = self.core.clock.now();
        let order = self.book.borrow().create(host, out, now);
        self.book.borrow().check(host, order, order.stamp).map_err(|why| format!("{host:?}: {why}"))?;
        if let Some(files) = &self.files {
            let text = files.write(host, order)?;
            self.book.borrow_mut().set_file(host, FileState::Text(text));
        }
        self.book.borrow_mut().record(host, order);
        info!(target: "upgrade", "{host} is {} by hand", if out { "left out" } else { "used again" });
        self.core.by_hand(host, out, order.stamp);
        Ok(())
    }

    /// Takes what another process told, as far as it makes sense.
    pub fn hear(&self, told: &serde_json::Value) {
        let order = match serde_json::from_value::<OverrideMessage>(told.clone()) {
            Ok(order) => order,
            Err(e) => {
                return warn_rate_limited(|| format!("upgrade: an order that another process told: {e}"));
            }
        };
        let heard = self.book.borrow_mut().receive(&order, self.core.clock.now());
        match heard {
            Ok(true) => self.apply(&order.host, order.order()),
            Ok(false) => {}
            Err(why) => {
                warn_rate_limited(|| {
                    format!("upgrade: {:?}: an order that another process told: {why}", order.host)
                });
            }
        }
    }

    /// Orders that changed behind this change, as many as fit into so many bytes, and the last change among them.
    pub fn changed_after(&self, change: u64, most_bytes: usize) -> (Vec<OverrideMessage>, u64) {
        self.book.borrow().changed_after(change, most_bytes)
    }

    /// The number of the last change.
    pub fn last_change(&self) -> u64 {
        self.book.borrow().last_change()
    }

    /// Whether something in the folder could not be read.
    pub fn is_unread(&self) -> bool {
        self.unread.get()
    }

    /// Whether an order is not in its file.
    pub fn is_unsaved(&self) -> bool {
        self.files.is_some() && !self.book.borrow().unsaved(self.core.clock.now()).is_empty()
    }

    /// Takes in what the files say that was not seen yet.
    pub fn read_folder(&self, starting: bool) {
        let Some(files) = self.files.as_ref().filter(|_| !mutants::on("files are not read")) else { return };
        let folder = match files.read() {
            Ok(folder) => folder,
            Err(e) => {
                warn_rate_limited(|| format!("upgrade: {}: {e}; read again", files.path().display()));
                return self.unread.set(true);
            }
        };
        self.unread.set(folder.files.iter().any(|(_, read)| read.is_err()));
        for path in folder.strangers.iter().filter(|_| starting) {
            info!(target: "upgrade", "{}: unreadable, left as it is", path.display());
        }
        let hosts = folder.hosts();
        for (host, read) in folder.files {
            match read {
                Ok(text) => self.find(files, &host, &text, starting),
                Err(e) => {
                    warn_rate_limited(|| format!("upgrade: the order of {host}: {e}; read again"));
                    self.book.borrow_mut().set_file(&host, FileState::Unreadable);
                }
            }
        }
        self.book.borrow_mut().finish_folder_read(&hosts);
    }

    /// The file of a host says this.
    fn find(&self, files: &OverrideFiles, host: &str, text: &str, starting: bool) {
        let finding = self.book.borrow_mut().observe_file(host, text, self.core.clock.now());
        match finding {
            Finding::Override(order) => self.apply(host, order),
            Finding::Invalid if starting => {
                info!(target: "upgrade", "the order of {host}: unreadable, left as it is");
            }
            Finding::Expired => files.remove(host),
            Finding::Nothing | Finding::Invalid => {}
        }
    }

    /// Puts orders into their files that were heard, or could not be written.
    pub fn save(&self) {
        let Some(files) = self.files.as_ref().filter(|_| !self.unread.get()) else { return };
        let unsaved = self.book.borrow().unsaved(self.core.clock.now());
        for (host, order) in unsaved {
            match files.write(&host, order) {
                Ok(text) => {
                    info!(target: "upgrade", "the order of {host} is in its file again");
                    self.book.borrow_mut().set_file(&host, FileState::Text(text));
                }
                Err(e) => warn_rate_limited(|| format!("upgrade: {e}; written again")),
            }
        }
    }

    fn apply(&self, host: &str, order: HostOverride) {
        info!(target: "upgrade", "{host} was {} by hand", if order.out { "left out" } else { "used again" });
        self.core.by_hand(host, order.out, order.stamp);
    }
}
