//! The door between proxies: datagrams out and in, at the address that the configuration names. It owns that socket and
//! nothing else of the talk: what is said is the module's, its form and whom to believe `sillfold_talk`'s. It must never
//! make anything wait: what the machine does not take at once is dropped, what comes too fast is left unread.
//!
//! Of two versions beside each other, the one that was there first has the address until it is told to stop; then it is
//! silent and deaf, and the other takes the address within `RETRY`.

use super::core::Core;
use super::endpoints::PeerEndpoints;
use super::warn_rate_limited;
use super::world::{self, DatagramSocket};
use async_channel::{Receiver, Sender};
use futures_lite::future;
use sillfold_talk::message::MOST;
use sillfold_talk::{Door, Figures, Item};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// The wait before an address that another process has is tried again.
const RETRY: Duration = Duration::from_millis(250);
/// Messages that may wait to be sent: the newest counts, so few.
const WAITING: usize = 4;
/// Datagrams of each proxy that may wait to be read. Guards against words that are lost because all speak at once.
const WAITING_OF_EACH: usize = 2;

/// This proxy's end of the talk.
pub struct Peers {
    core: Rc<Core>,
    talk: PeerEndpoints,
    /// The number of the proxy at each address.
    numbers: BTreeMap<SocketAddr, u16>,
    door: RefCell<Door>,
    said: Receiver<Vec<Item>>,
    /// Closed once the proxy is told to stop.
    stopping: (Sender<()>, Receiver<()>),
}

impl Peers {
    /// A door that is still shut; from now on the core's news come here.
    pub fn new(core: Rc<Core>, talk: PeerEndpoints) -> Peers {
        let started_ms = core.clock.now() / 1_000;
        let door = RefCell::new(Door::new(talk.ordinal, talk.each.len(), started_ms));
        let (say, said) = async_channel::bounded(WAITING);
        core.talks_to(say);
        // Of two proxies at one address the first counts.
        let numbers = talk.each.iter().copied().zip(0..=u16::MAX).rev().collect();
        Peers { core, talk, numbers, door, said, stopping: async_channel::bounded(1) }
    }

    /// What is counted since the start.
    pub fn figures(&self) -> Figures {
        self.door.borrow().figures
    }

    /// The address is given back at once, and nothing is said or heard any more.
    pub fn stop(&self) {
        self.stopping.0.close();
    }

    /// Talks until the proxy is told to stop.
    pub async fn run(self: Rc<Peers>) {
        let stopped = async { _ = self.stopping.1.recv().await };
        future::or(self.talk(), stopped).await;
        self.said.close();
    }

    async fn talk(&self) {
        let mut told = false;
        loop {
            match DatagramSocket::bind(self.talk.listen, self.talk.each.len() * WAITING_OF_EACH) {
                Ok(post) => {
                    info!(target: "peers", "talks with {} others at {}", self.talk.each.len() - 1, self.talk.listen);
                    self.check_room(&post);
                    // What was to be said meanwhile is old.
                    while self.said.try_recv().is_ok() {}
                    future::or(self.hear(&post), self.say(&post)).await;
                }
                Err(e) if !told => {
                    told = true;
                    let why = if e.kind() == ErrorKind::AddrInUse {
                        "another process has it"
                    } else {
                        "no talk yet"
                    };
                    info!(target: "peers", "peer_listen: {}: {e}: {why}", self.talk.listen);
                }
                Err(_) => {}
            }
            world::after(RETRY).await;
        }
    }

    /// Tells operators where the machine allows less room than all proxies may need.
    fn check_room(&self, post: &DatagramSocket) {
        let (proxies, waiting) = (self.talk.each.len(), post.waiting().unwrap_or(0));
        if waiting < proxies {
            warn!(target: "peers", "{waiting} datagrams may wait to be read, and {proxies} proxies may speak at once: \
                raise net.core.rmem_max");
        }
    }

    /// Sends what the module has to say: what does not fit into one datagram goes into the next.
    async fn say(&self, post: &DatagramSocket) {
        while let Ok(items) = self.said.recv().await {
            let mut rest = &items[..];
            while !rest.is_empty() {
                let packed = self.say_first(post, rest);
                if packed == 0 {
                    break;
                }
                rest = &rest[packed..];
                // Guards against a long message to many proxies that keeps everything else waiting.
                future::yield_now().await;
            }
        }
    }

    /// Sends as many items as one datagram holds, to all at once where there is an address for that; how many it was.
    fn say_first(&self, post: &DatagramSocket, items: &[Item]) -> usize {
        let mut door = self.door.borrow_mut();
        let (datagram, packed) = door.pack(items);
        let one = |to| post.send_now(datagram.bytes(), to).is_ok();
        let sent = match self.talk.all {
            Some(all) => one(all),
            None => {
                let others = self.talk.each.iter().enumerate();
                let others = others.filter(|(n, _)| *n != usize::from(self.talk.ordinal));
                others.fold(true, |sent, (_, to)| one(*to) && sent)
            }
        };
        door.sent(&datagram, sent);
        packed
    }

    /// Takes in what comes, so much in a second.
    async fn hear(&self, post: &DatagramSocket) {
        // One byte more than any of ours: a longer one shows.
        let mut bytes = [0; MOST + 1];
        loop {
            let now = self.core.clock.now();
            let may = self.door.borrow_mut().may_read(now);
            if let Err(from) = may {
                world::at(self.core.clock.instant(from)).await;
                continue;
            }
            let (n, from) = match post.receive(&mut bytes).await {
                Ok(came) => came,
                Err(e) => {
                    // An address that nobody has may be told so; the next one comes.
                    warn_rate_limited(|| format!("receiving: {e}"));
                    world::after(RETRY).await;
                    continue;
                }
            };
            let who = self.numbers.get(&from).copied();
            let taken = self.door.borrow_mut().take(who, &bytes[..n], self.core.clock.now() / 1_000);
            if let Ok(message) = taken {
                self.core.heard(message.sender.ordinal, &message.items);
            }
        }
    }
}
