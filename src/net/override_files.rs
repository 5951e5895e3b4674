//! The files in which orders by hand outlast a process: one for each database host, in `hosts` of the folder that
//! processes on one machine share. It owns their names. It must never decide which order counts.

use super::world;
use crate::overrides::{HostOverride, StoredOverride};
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

const HOSTS: &str = "hosts";

/// What one look at the folder found.
#[derive(Default)]
pub struct Folder {
    /// Each host's text, or why it could not be read.
    pub files: Vec<(String, io::Result<String>)>,
    /// Files that are named after no host.
    pub strangers: Vec<PathBuf>,
}

impl Folder {
    /// The hosts that have files.
    pub fn hosts(&self) -> BTreeSet<String> {
        self.files.iter().map(|(host, _)| host.clone()).collect()
    }
}

/// The folder of the files.
pub struct OverrideFiles(PathBuf);

impl OverrideFiles {
    /// Those in a folder that processes share.
    pub fn within(dir: &Path) -> OverrideFiles {
        OverrideFiles(dir.join(HOSTS))
    }

    /// The folder, to name it.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Makes the folder, where there is none.
    pub fn make(&self) -> io::Result<()> {
        world::make_dirs(&self.0)
    }

    /// All files; the error is why the folder could not be read.
    pub fn read(&self) -> io::Result<Folder> {
        let mut folder = Folder::default();
        for path in world::list(&self.0)? {
            let Some(host) = host_named(&path) else {
                folder.strangers.push(path);
                continue;
            };
            match world::read_text(&path) {
                Err(e) if e.kind() == io::ErrorKind::NotFound => {}
                read => folder.files.push((host, read)),
            }
        }
        Ok(folder)
    }

    /// Puts an order in its file whole; the text that is there then, or why it cannot be.
    pub fn write(&self, host: &str, order: HostOverride) -> Result<String, String> {
        // It may not have been possible at the start.
        let _ = self.make();
        let (path, next) = (self.path_of(host), self.0.join(format!(".{}", world::unique_number())));
        let text = StoredOverride::format(order);
        match world::write_atomically(&path, &next, &text) {
            Ok(()) => Ok(text),
            Err(e) => Err(format!("{}: {e}", path.display())),
        }
    }

    /// Removes a host's file; one that cannot be removed is of no harm.
    pub fn remove(&self, host: &str) {
        let _ = world::remove(&self.path_of(host));
    }

    fn path_of(&self, host: &str) -> PathBuf {
        self.0.join(file_name(host))
    }
}

/// A host's name as a file's: names are any text.
fn file_name(host: &str) -> String {
    host.bytes().map(|b| format!("{b:02x}")).collect()
}

/// The host whose file this is.
fn host_named(path: &Path) -> Option<String> {
    let hex = path.file_name()?.to_str()?;
    let pairs = hex.as_bytes().chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok());
    String::from_utf8(pairs.collect::<Option<_>>()?).ok()
}
