//! The files in which manual overrides outlast a process: one file per database host, in the folder `hosts` of the
//! directory that the processes on one machine share. This module owns the files' names. It must never decide which
//! override is in effect.

use super::world;
use crate::overrides::{HostOverride, StoredOverride};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

const HOSTS_FOLDER: &str = "hosts";

/// The contents of the folder at one moment.
#[derive(Default)]
pub struct Folder {
    /// Each host with the text of its file, or why it could not be read.
    pub files: Vec<(String, io::Result<String>)>,
    /// Files whose names are not host names in hexadecimal.
    pub unknown_files: Vec<PathBuf>,
}

impl Folder {
    /// The hosts that have files.
    pub fn hosts(&self) -> BTreeSet<String> {
        self.files.iter().map(|(host, _)| host.clone()).collect()
    }
}

/// The folder of the override files, by its path.
pub struct OverrideFiles(PathBuf);

impl OverrideFiles {
    /// The override files in a directory that processes share.
    pub fn in_directory(dir: &Path) -> OverrideFiles {
        OverrideFiles(dir.join(HOSTS_FOLDER))
    }

    /// The folder's path, for messages.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Creates the folder if it does not exist.
    pub fn create_folder(&self) -> io::Result<()> {
        world::make_dirs(&self.0)
    }

    /// Reads all files. The error says why the folder could not be read.
    pub fn read(&self) -> io::Result<Folder> {
        let mut folder = Folder::default();
        for path in world::list(&self.0)? {
            let Some(host) = host_of_file(&path) else {
                folder.unknown_files.push(path);
                continue;
            };
            match world::read_text(&path) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => {}
                read => folder.files.push((host, read)),
            }
        }
        Ok(folder)
    }

    /// Writes an override to its file atomically. Returns the file's text, or why it could not be written.
    pub fn write(&self, host: &str, value: HostOverride) -> Result<String, String> {
        // The folder may be missing because it could not be created at the start.
        let _ = self.create_folder();
        let path = self.path_of(host);
        let temporary_path = self.0.join(format!(".{}", world::unique_number()));
        let text = StoredOverride::format(value);
        match world::write_atomically(&path, &temporary_path, &text) {
            Ok(()) => Ok(text),
            Err(e) => Err(format!("{}: {e}", path.display())),
        }
    }

    /// Removes a host's file. A file that cannot be removed does no harm.
    pub fn remove(&self, host: &str) {
        let _ = world::remove(&self.path_of(host));
    }

    fn path_of(&self, host: &str) -> PathBuf {
        self.0.join(file_name(host))
    }
}

/// A host's name in hexadecimal, since a host's name may be any text.
fn file_name(host: &str) -> String {
    host.bytes().map(|b| format!("{b:02x}")).collect()
}

/// The host that a file is named after.
fn host_of_file(path: &Path) -> Option<String> {
    let hex = path.file_name()?.to_str()?;
    let pairs = hex.as_bytes().chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok());
    String::from_utf8(pairs.collect::<Option<_>>()?).ok()
}
