//! The ids of requests that are open, or were answered a moment ago. Guards against a client that sends the id of another
//! client's request: database hosts would take it for a second copy of that request.
//!
//! A process alone knows its own ids, and uses no file. While other processes run beside it, each id is also claimed on
//! this machine: by the lock of a byte in a file in `$TMPDIR` while its request is open, and by a record in that file for
//! `ID_RETENTION` after the answer. A lock has one holder at a time, and the operating system frees it when its process
//! ends. A claim that fails never prevents a request: it is counted and logged, and the request is served.
//!
//! This module must never answer a client, nor know why other processes run.

use super::core::fnv1a;
use super::events::{Events, IdConflict};
use super::work;
use super::world::{self, SharedFile};
use crate::answered_ids::{BUCKET_BYTES, Bucket, ID_RETENTION, IdHash};
use crate::mutants;
use futures_lite::future;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;
use tracing::info;

/// The name of the file in `$TMPDIR`.
const FILE_NAME: &str = "sillfold.ids";
/// How many ids are claimed on this machine between two pauses, when another process starts.
const IDS_PER_STEP: usize = 64;

/// How an id is in use.
#[derive(Clone, Copy, PartialEq)]
enum IdUse {
    /// Its request is open. `is_locked`: this process holds the lock of its byte.
    Open { is_locked: bool },
    /// Its request was answered at this time.
    Answered(Instant),
}

/// The ids of requests that are open, or were answered a moment ago.
pub struct RequestIds {
    /// The file in which ids are claimed; `None` without a folder that processes share.
    path: Option<PathBuf>,
    events: Rc<Events>,
    ids: RefCell<Ids>,
}

#[derive(Default)]
struct Ids {
    in_use: HashMap<IdHash, IdUse>,
    /// The ids of answered requests, oldest first.
    answered: VecDeque<(Instant, IdHash)>,
    /// Whether ids are claimed on this machine.
    is_shared: bool,
    /// The file, while ids are claimed on this machine and it could be opened.
    file: Option<Rc<SharedFile>>,
    /// Ids that were in use before they were claimed on this machine, and still have to be.
    unclaimed: VecDeque<IdHash>,
}

/// A request id in use; dropping it frees the id after `ID_RETENTION`.
pub struct IdClaim<'a> {
    ids: &'a RequestIds,
    id: IdHash,
}

impl Drop for IdClaim<'_> {
    fn drop(&mut self) {
        self.ids.release(self.id);
    }
}

impl RequestIds {
    pub fn new(directory: Option<PathBuf>, events: Rc<Events>) -> RequestIds {
        let path = directory.map(|directory| directory.join(FILE_NAME));
        RequestIds { path, events, ids: RefCell::default() }
    }

    /// Claims the id of a request; `None` if another request uses it, here or in another process of this machine.
    pub fn claim(&self, id: &str) -> Option<IdClaim<'_>> {
        let hash = IdHash(fnv1a(id));
        let mut ids = self.ids.borrow_mut();
        ids.forget_expired();
        if ids.in_use.contains_key(&hash) {
            self.events.id_conflict(id, IdConflict::SameProcess);
            return None;
        }
        let mut is_locked = false;
        if let Some(file) = &ids.file {
            match claim_on_machine(file, hash) {
                Ok(MachineClaim::Granted) => is_locked = true,
                Ok(MachineClaim::InUse) => {
                    self.events.id_conflict(id, IdConflict::OtherProcess);
                    return None;
                }
                Err(e) => self.events.id_claim_failed(&e),
            }
        } else if ids.is_shared {
            self.events.id_claim_failed(&io::Error::other("the file of ids is not open"));
        }
        ids.in_use.insert(hash, IdUse::Open { is_locked });
        Some(IdClaim { ids: self, id: hash })
    }

    /// Records that the request of an id was answered: on this machine before the lock is freed, so that no other process
    /// finds neither.
    fn release(&self, id: IdHash) {
        let answered_at = world::now();
        let mut ids = self.ids.borrow_mut();
        ids.answered.push_back((answered_at, id));
        let before = ids.in_use.insert(id, IdUse::Answered(answered_at));
        if let Some(file) = &ids.file {
            let is_locked = before == Some(IdUse::Open { is_locked: true });
            record_and_unlock(file, id, answered_at, is_locked)
                .unwrap_or_else(|e| self.events.id_claim_failed(&e));
        }
    }

    /// Claims ids on this machine from now on, since another process runs. `claim_earlier` has to follow.
    pub fn share(&self) {
        let mut ids = self.ids.borrow_mut();
        if mutants::on("ids are not shared") || self.path.is_none() {
            return;
        }
        ids.forget_expired();
        ids.is_shared = true;
        self.open_file(&mut ids);
    }

    /// Opens the file if it is not open. Then the ids in use have to be claimed again.
    fn open_file(&self, ids: &mut Ids) {
        let Some(path) = self.path.as_ref().filter(|_| ids.is_shared && ids.file.is_none()) else { return };
        match SharedFile::open(path) {
            Ok(file) => {
                ids.file = Some(Rc::new(file));
                let mut in_use: Vec<IdHash> = ids.in_use.keys().copied().collect();
                // The order of a map differs from run to run, which a simulation must not.
                in_use.sort_unstable();
                ids.unclaimed = in_use.into();
            }
            Err(e) => {
                info!(target: "upgrade", "{}: {e}; the other process will not know the ids in use here",
                    path.display());
                self.events.id_claim_failed(&e);
            }
        }
    }

    /// Claims the ids that were in use before `share` was called, a few between two pauses.
    pub async fn claim_earlier(&self) {
        while self.claim_some_earlier() {
            work::pause().await;
            future::yield_now().await;
        }
    }

    /// Claims some of the ids that were in use before. Returns whether any are left.
    fn claim_some_earlier(&self) -> bool {
        let mut ids = self.ids.borrow_mut();
        let Some(file) = ids.file.clone() else { return false };
        for _ in 0..IDS_PER_STEP {
            let Some(id) = ids.unclaimed.pop_front() else { return false };
            let claimed = match ids.in_use.get_mut(&id) {
                Some(IdUse::Open { is_locked }) => match claim_on_machine(&file, id) {
                    Ok(MachineClaim::Granted) => {
                        *is_locked = true;
                        Ok(())
                    }
                    Ok(MachineClaim::InUse) => {
                        self.events.id_conflict("", IdConflict::BeforeSharing);
                        Ok(())
                    }
                    Err(e) => Err(e),
                },
                Some(IdUse::Answered(at)) => record_and_unlock(&file, id, *at, false),
                None => Ok(()),
            };
            claimed.unwrap_or_else(|e| self.events.id_claim_failed(&e));
        }
        !ids.unclaimed.is_empty()
    }

    /// Opens the file if that failed before.
    pub fn retry_file(&self) {
        self.open_file(&mut self.ids.borrow_mut());
    }

    /// Claims ids in this process only from now on, since no other process runs. Frees all locks.
    pub fn stop_sharing(&self) {
        let mut ids = self.ids.borrow_mut();
        (ids.is_shared, ids.file) = (false, None);
        ids.unclaimed = VecDeque::new();
        for id_use in ids.in_use.values_mut() {
            if let IdUse::Open { is_locked } = id_use {
                *is_locked = false;
            }
        }
    }
}

impl Ids {
    /// Forgets the ids whose requests were answered more than `ID_RETENTION` ago.
    fn forget_expired(&mut self) {
        while let Some(&(_, expired)) = self.answered.front().filter(|e| world::since(e.0) > ID_RETENTION) {
            self.answered.pop_front();
            self.in_use.remove(&expired);
        }
    }
}

/// The result of a claim on this machine.
enum MachineClaim {
    Granted,
    /// Another process has an open request with the id, or answered one a moment ago.
    InUse,
}

/// Claims an id on this machine. The lock comes first: its last holder has recorded the answer before it freed the lock.
fn claim_on_machine(file: &SharedFile, id: IdHash) -> io::Result<MachineClaim> {
    work::charge(work::FILE_CALL);
    if !file.try_lock(id.lock_offset())? {
        return Ok(MachineClaim::InUse);
    }
    match read_bucket(file, id) {
        Ok(bucket) if bucket.contains(id, world::since_boot().as_micros() as u64) => {
            file.unlock(id.lock_offset()).map(|()| MachineClaim::InUse)
        }
        // The lock alone still keeps other processes from serving the id now.
        Ok(_) | Err(_) => Ok(MachineClaim::Granted),
    }
}

fn read_bucket(file: &SharedFile, id: IdHash) -> io::Result<Bucket> {
    let mut bytes = [0; BUCKET_BYTES];
    work::charge(work::FILE_CALL);
    file.read_at(&mut bytes, id.bucket_offset())?;
    Ok(Bucket(bytes))
}

/// Records in the file when the request of an id was answered, then frees the id's lock.
fn record_and_unlock(file: &SharedFile, id: IdHash, answered: Instant, is_locked: bool) -> io::Result<()> {
    let now = world::since_boot();
    let answered_at = now.saturating_sub(world::since(answered)).as_micros() as u64;
    let recorded = read_bucket(file, id).and_then(|bucket| {
        let record = bucket.record_answered(id, answered_at, now.as_micros() as u64);
        work::charge(work::FILE_CALL);
        file.write_at(&record.bytes, record.offset)
    });
    if is_locked {
        work::charge(work::FILE_CALL);
        file.unlock(id.lock_offset())?;
    }
    recorded
}
