//! Two versions of the program side by side, and what must outlast an upgrade. It owns all that lies
//! in `$TMPDIR`: a Unix socket, by which each process knows from its end that the other lives and what
//! it holds, and a file for each database host that operators left out or took back. It must never
//! hinder a start: what is left over or cannot be read is logged, and the program goes on without.

use super::admission::Admission;
use super::core::Core;
use super::hosts::Hosts;
use super::world::{self, Listener, Spawner, Stream};
use super::{Held, by};
use crate::Micros;
use crate::mutants;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

const SOCKET: &str = "sillfold.sock";
const HOSTS: &str = "hosts";
/// The two tell each other what they hold, and look for calls that the other took, this often: well
/// inside the grace of a drain.
const EXCHANGE: Duration = Duration::from_millis(50);
/// A process that has said nothing for this long is no longer counted on.
const SILENT: Duration = Duration::from_secs(2);
/// What the other process may have said that is not read: some lines.
const MOST_LINES: usize = 64 * 1024;
/// That a host was used again is of no more use after this long: it is warm.
const KEPT: Micros = 60_000_000;

pub struct Upgrade {
    dir: Option<PathBuf>,
    core: Rc<Core>,
    admission: Rc<Admission>,
    hosts: Rc<Hosts>,
    /// What each host's file said when it was last read or written.
    seen: RefCell<BTreeMap<String, String>>,
    /// What the other process holds, while it lives.
    other: Cell<Option<Held>>,
    /// Told when the other process has ended.
    ended: (Sender<()>, Receiver<()>),
}

impl Upgrade {
    pub fn new(dir: Option<PathBuf>, core: Rc<Core>, admission: Rc<Admission>, hosts: Rc<Hosts>) -> Upgrade {
        let (seen, other, ended) = (RefCell::default(), Cell::default(), async_channel::bounded(1));
        let upgrade = Upgrade { dir, core, admission, hosts, seen, other, ended };
        if let Some(dir) = &upgrade.dir
            && let Err(e) = world::make_dirs(&dir.join(HOSTS))
        {
            info!(target: "upgrade", "{}: {e}; hosts left out by hand are forgotten with this process",
                dir.display()
            );
        }
        upgrade.read_hands(true);
        upgrade
    }

    // ---- The other process ----

    /// Finds the process that runs already, if there is one, and takes its place at the socket.
    pub fn meet(self: &Rc<Upgrade>, executor: &Spawner) {
        let Some(dir) = &self.dir else { return };
        let path = dir.join(SOCKET);
        match Stream::connect_local(&path) {
            Ok(stream) => {
                info!(target: "upgrade", "another process runs");
                self.other.set(Some(Held::default()));
                executor.spawn(self.clone().exchange(stream));
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => info!(target: "upgrade", "{}: nobody is there: {e}", path.display()),
        }
        // Put in place whole, over what the process before has left there.
        let own = dir.join(format!("{SOCKET}.{}", world::lot()));
        let listener = match Listener::local(&path, &own) {
            Ok(listener) => listener,
            Err(e) => {
                return info!(target: "upgrade", "{}: {e}; a new version will not find this one", own.display());
            }
        };
        let (upgrade, executor2) = (self.clone(), executor.clone());
        let accept = async move {
            while let Ok(stream) = listener.accept().await {
                info!(target: "upgrade", "a new process has started");
                executor2.spawn(upgrade.clone().exchange(stream));
            }
        };
        executor.spawn(accept);
    }

    /// Tells the other process what this one holds and hears the same of it, until it ends.
    async fn exchange(self: Rc<Upgrade>, stream: Stream) {
        self.core.other_process(true);
        let tell = async {
            loop {
                let Ok(mut line) = serde_json::to_vec(&self.held()) else { return };
                line.push(b'\n');
                if stream.write_all(&line).await.is_err() {
                    return;
                }
                self.read_hands(false);
                world::after(EXCHANGE).await;
            }
        };
        let hear = async {
            let mut came = Vec::new();
            loop {
                let Some(end) = came.iter().position(|b| *b == b'\n') else {
                    let read = by(world::now() + SILENT, stream.read_with(|part| came.extend(part))).await;
                    // Guards against a line without an end.
                    if !matches!(read, Some(Ok(1..))) || came.len() > MOST_LINES {
                        return;
                    }
                    continue;
                };
                match serde_json::from_slice(&came[..end]) {
                    Ok(held) => self.beside(Some(held)),
                    Err(e) => return info!(target: "upgrade", "the other process: {e}"),
                }
                came.drain(..=end);
            }
        };
        future::or(tell, hear).await;
        info!(target: "upgrade", "the other process has ended");
        self.beside(None);
        self.core.other_process(false);
        self.read_hands(false);
        let _ = self.ended.0.try_send(());
    }

    fn held(&self) -> Held {
        let (clients, bytes) = self.admission.held();
        Held { ready: self.admission.unready().is_none(), clients, bytes, hosts: self.hosts.held() }
    }

    /// Both together stay inside the limits: what neither holds is shared out evenly.
    fn beside(&self, other: Option<Held>) {
        self.other.set(other);
        self.admission.share(other);
        self.hosts.share(other);
    }

    /// Whether another process lives.
    pub fn accompanied(&self) -> bool {
        self.other.get().is_some()
    }

    /// Whether another process takes clients.
    pub fn relieved(&self) -> bool {
        self.other.get().is_some_and(|o| o.ready)
    }

    /// Returns once the other process has ended.
    pub async fn alone(&self) {
        while self.accompanied() {
            let _ = self.ended.1.recv().await;
        }
    }

    // ---- Hosts by hand ----

    /// Leaves a database host out, or uses it again, here and in the other process; the error is why not.
    /// It is in the file before this returns.
    pub fn by_hand(&self, name: &str, out: bool) -> Result<(), String> {
        if self.core.is_out(name) == out {
            return Ok(());
        }
        let since = self.core.clock.now();
        let text = format!("{} {since}", if out { "down" } else { "up" });
        if let Some(dir) = &self.dir {
            let dir = dir.join(HOSTS);
            let (path, next) = (dir.join(file_name(name)), dir.join(format!(".{}", world::lot())));
            let put = world::put_whole(&path, &next, &text);
            put.map_err(|e| format!("{}: {e}", path.display()))?;
            self.seen.borrow_mut().insert(name.to_string(), text);
        }
        info!(target: "upgrade", "{name} is {} by hand", if out { "left out" } else { "used again" });
        self.core.by_hand(name, out, since);
        Ok(())
    }

    /// Takes in what the files say that was not seen yet.
    fn read_hands(&self, starting: bool) {
        let Some(dir) = self.dir.as_ref().filter(|_| !mutants::on("files are not read")) else { return };
        for path in world::list(&dir.join(HOSTS)) {
            match read_hand(&path) {
                Some((name, text, out, since)) => {
                    if self.seen.borrow_mut().insert(name.clone(), text.clone()).as_ref() == Some(&text) {
                        continue;
                    }
                    if out || since + KEPT > self.core.clock.now() {
                        info!(target: "upgrade", "{name} was {} by hand",
                            if out { "left out" } else { "used again" }
                        );
                        self.core.by_hand(&name, out, since);
                    } else {
                        // Warm for long: it says nothing any more.
                        let _ = world::remove(&path);
                    }
                }
                None if starting => info!(target: "upgrade", "{}: unreadable, left as it is", path.display()),
                None => {}
            }
        }
    }
}

/// A host's name as a file's: names are any text.
fn file_name(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

/// Reads a host's file: its name, the text, whether it is out, and since when.
fn read_hand(path: &Path) -> Option<(String, String, bool, Micros)> {
    let hex = path.file_name()?.to_str()?;
    let pairs = hex.as_bytes().chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).ok()?, 16).ok());
    let name = String::from_utf8(pairs.collect::<Option<_>>()?).ok()?;
    let text = world::read_text(path).ok()?;
    let (state, since) = text.split_once(' ')?;
    let out = match state {
        "down" => true,
        "up" => false,
        _ => return None,
    };
    let since = since.parse().ok()?;
    Some((name, text, out, since))
}
