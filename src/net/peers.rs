//! Datagrams between proxies, at the address that the configuration names. This module owns that socket. The decision
//! module decides what is sent, and `sillfold_talk` decides the form of datagrams and which ones to accept. This module
//! must never wait for the socket: what cannot be sent at once is dropped, and what arrives too fast is left unread.
//!
//! Of two versions that run side by side, the one that started first has the address until it is told to stop. Then it
//! neither sends nor receives, and the other one binds the address within `BIND_RETRY_INTERVAL`.

use super::core::Core;
use super::endpoints::PeerEndpoints;
use super::warn_rate_limited;
use super::world::{self, DatagramSocket};
use async_channel::{Receiver, Sender};
use futures_lite::future;
use sillfold_talk::message::MAX_DATAGRAM_BYTES;
use sillfold_talk::{Counters, Item, PeerChannel};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// The wait before an address that another process has is tried again, and after a failed receive.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of messages that wait to be sent. It is small, since newer messages matter more than older ones.
const MAX_QUEUED_MESSAGES: usize = 4;
/// The number of datagrams of each proxy that may wait to be read. Guards against losses when all proxies send at once.
const QUEUED_DATAGRAMS_PER_PROXY: usize = 2;

/// This proxy's exchange with the other proxies.
pub struct Peers {
    core: Rc<Core>,
    endpoints: PeerEndpoints,
    /// The number of the proxy at each address.
    ordinals: BTreeMap<SocketAddr, u16>,
    channel: RefCell<PeerChannel>,
    /// Messages from the core to the other proxies.
    outgoing: Receiver<Vec<Item>>,
    /// Closed once the proxy is told to stop.
    stopping: (Sender<()>, Receiver<()>),
}

impl Peers {
    /// Registers at the core for its messages to other proxies. Nothing is sent or received before `run`.
    pub fn new(core: Rc<Core>, endpoints: PeerEndpoints) -> Peers {
        let started_ms = core.clock.now() / 1_000;
        let channel = RefCell::new(PeerChannel::new(endpoints.ordinal, endpoints.each.len(), started_ms));
        let (sender, outgoing) = async_channel::bounded(MAX_QUEUED_MESSAGES);
        core.set_peer_outbox(sender);
        // If two proxies have one address, the address belongs to the first.
        let ordinals = endpoints.each.iter().copied().zip(0..=u16::MAX).rev().collect();
        Peers { core, endpoints, ordinals, channel, outgoing, stopping: async_channel::bounded(1) }
    }

    /// The counters since the start.
    pub fn counters(&self) -> Counters {
        self.channel.borrow().counters
    }

    /// Stops the exchange and releases the address at once.
    pub fn stop(&self) {
        self.stopping.0.close();
    }

    /// Exchanges datagrams until the proxy is told to stop.
    pub async fn run(self: Rc<Peers>) {
        let stopped = async { _ = self.stopping.1.recv().await };
        future::or(self.exchange(), stopped).await;
        self.outgoing.close();
    }

    async fn exchange(&self) {
        let mut is_failure_logged = false;
        loop {
            match DatagramSocket::bind(
                self.endpoints.listen,
                self.endpoints.each.len() * QUEUED_DATAGRAMS_PER_PROXY,
            ) {
                Ok(socket) => {
                    info!(target: "peers", "talks with {} others at {}",
                        self.endpoints.each.len() - 1, self.endpoints.listen);
                    self.check_receive_capacity(&socket);
                    // Messages from before the address was bound are outdated.
                    while self.outgoing.try_recv().is_ok() {}
                    future::or(self.receive(&socket), self.send(&socket)).await;
                }
                Err(e) if !is_failure_logged => {
                    is_failure_logged = true;
                    let why = if e.kind() == ErrorKind::AddrInUse {
                        "another process has it"
                    } else {
                        "it cannot be bound"
                    };
                    info!(target: "peers", "peer_listen: {}: {e}: {why}; it is tried again until it is free",
                        self.endpoints.listen);
                }
                Err(_) => {}
            }
            world::after(BIND_RETRY_INTERVAL).await;
        }
    }

    /// Warns operators if the receive buffer holds fewer datagrams than all proxies may send at once.
    fn check_receive_capacity(&self, socket: &DatagramSocket) {
        let proxies = self.endpoints.each.len();
        let capacity = socket.receive_capacity().unwrap_or(0);
        if capacity < proxies {
            warn!(target: "peers", "the receive buffer holds {capacity} datagrams, and {proxies} proxies may send at \
                once, so some may be lost: raise net.core.rmem_max");
        }
    }

    /// Sends the core's messages. The items that do not fit into one datagram go into the next.
    async fn send(&self, socket: &DatagramSocket) {
        while let Ok(items) = self.outgoing.recv().await {
            let mut rest = &items[..];
            while !rest.is_empty() {
                let packed = self.send_first(socket, rest);
                if packed == 0 {
                    break;
                }
                rest = &rest[packed..];
                // Guards against a long message to many proxies that keeps other tasks from running.
                future::yield_now().await;
            }
        }
    }

    /// Sends as many items as one datagram holds, to the address of all proxies if there is one, otherwise to each proxy.
    /// Returns the number of items.
    fn send_first(&self, socket: &DatagramSocket, items: &[Item]) -> usize {
        let mut channel = self.channel.borrow_mut();
        let (datagram, packed) = channel.pack(items);
        let send_to = |to| socket.send_now(datagram.bytes(), to).is_ok();
        let all_sent = match self.endpoints.all {
            Some(all) => send_to(all),
            None => {
                let others = self.endpoints.each.iter().enumerate();
                let others = others.filter(|(n, _)| *n != usize::from(self.endpoints.ordinal));
                others.fold(true, |all_sent, (_, to)| send_to(*to) && all_sent)
            }
        };
        channel.record_sent(&datagram, all_sent);
        packed
    }

    /// Receives datagrams, at a limited rate, and passes the accepted ones to the core.
    async fn receive(&self, socket: &DatagramSocket) {
        // One byte more than any valid datagram, so that a longer one is recognised.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let now = self.core.clock.now();
            let may_read = self.channel.borrow_mut().reserve_read(now);
            if let Err(from) = may_read {
                world::at(self.core.clock.instant(from)).await;
                continue;
            }
            let (n, from) = match socket.receive(&mut bytes).await {
                Ok(received) => received,
                Err(e) => {
                    // The error may report that no proxy is at an address that was sent to. The next receive may succeed.
                    warn_rate_limited(|| format!("receiving: {e}; trying again"));
                    world::after(BIND_RETRY_INTERVAL).await;
                    continue;
                }
            };
            let sender = self.ordinals.get(&from).copied();
            let accepted =
                self.channel.borrow_mut().receive(sender, &bytes[..n], self.core.clock.now() / 1_000);
            if let Ok(message) = accepted {
                self.core.receive_from_peer(message.sender.ordinal, &message.items);
            }
        }
    }
}
