//! A file that several processes of this machine use at the same time. A process can lock single bytes of it, whether or
//! not the file has that many bytes. The operating system frees the locks of a process that ends. This module must never
//! know what a byte or a lock means.

use super::{active_simulation, uninterrupted};
use crate::net::faults::{self, Call};
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, fcntl};
use nix::libc;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// The highest offset of a byte that can be locked.
const MAX_OFFSET: u64 = i64::MAX as u64 - 1;

/// A file of a simulation that several processes use at the same time.
pub trait SimulatedSharedFile {
    /// Locks one byte; false if another process holds its lock.
    fn try_lock(&self, offset: u64) -> io::Result<bool>;
    /// Frees the lock of one byte.
    fn unlock(&self, offset: u64) -> io::Result<()>;
    /// Reads bytes, fewer at the file's end.
    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize>;
    /// Writes bytes. Makes the file longer where necessary.
    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()>;
}

/// A file that several processes use at the same time. Dropping it frees its locks.
pub enum SharedFile {
    Machine(File),
    Simulated(Box<dyn SimulatedSharedFile>),
}

impl SharedFile {
    /// Opens the file, and creates it if it does not exist.
    pub fn open(path: &Path) -> io::Result<SharedFile> {
        if let Some(simulation) = active_simulation() {
            return simulation.open_shared(path).map(SharedFile::Simulated);
        }
        let open = || OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        uninterrupted(|| faults::before(Call::File).and_then(|()| open())).map(SharedFile::Machine)
    }

    /// Locks one byte for this process, without a wait; false if another process holds its lock.
    pub fn try_lock(&self, offset: u64) -> io::Result<bool> {
        match self {
            SharedFile::Machine(file) => match set_lock(file, offset, libc::F_WRLCK) {
                Ok(()) => Ok(true),
                Err(e) if is_held(&e) => Ok(false),
                Err(e) => Err(e),
            },
            SharedFile::Simulated(file) => file.try_lock(offset),
        }
    }

    /// Frees the lock of one byte.
    pub fn unlock(&self, offset: u64) -> io::Result<()> {
        match self {
            SharedFile::Machine(file) => set_lock(file, offset, libc::F_UNLCK),
            SharedFile::Simulated(file) => file.unlock(offset),
        }
    }

    /// Reads bytes, fewer at the file's end. Returns their number.
    pub fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        match self {
            SharedFile::Machine(file) => {
                uninterrupted(|| faults::before(Call::File).and_then(|()| file.read_at(buffer, offset)))
            }
            SharedFile::Simulated(file) => file.read_at(buffer, offset),
        }
    }

    /// Writes bytes. Makes the file longer where necessary.
    pub fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        match self {
            SharedFile::Machine(file) => {
                uninterrupted(|| faults::before(Call::File).and_then(|()| file.write_all_at(bytes, offset)))
            }
            SharedFile::Simulated(file) => file.write_at(bytes, offset),
        }
    }
}

/// Locks or unlocks one byte. The lock belongs to the open file, not to the process, so that closing another descriptor of
/// the same file doesn't free it.
fn set_lock(file: &File, offset: u64, kind: libc::c_int) -> io::Result<()> {
    let lock = libc::flock {
        l_type: kind as libc::c_short,
        l_whence: libc::SEEK_SET as libc::c_short,
        l_start: offset.min(MAX_OFFSET) as libc::off_t,
        l_len: 1,
        l_pid: 0,
    };
    uninterrupted(|| {
        faults::before(Call::File)?;
        fcntl(file, FcntlArg::F_OFD_SETLK(&lock)).map(drop).map_err(io::Error::from)
    })
}

/// Whether a lock was not granted because another process holds it.
fn is_held(e: &io::Error) -> bool {
    [Errno::EAGAIN, Errno::EACCES].iter().any(|errno| e.raw_os_error() == Some(*errno as i32))
}
