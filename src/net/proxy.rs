//! One proxy, whole: it owns the order in which the parts start and stop, in the machine's world or a simulated one.
//! It must never decide about a request, speak on a connection, or read a file or a signal itself.

use super::admission::Admission;
use super::backoff::Backoff;
use super::client::Clients;
use super::console::Console;
use super::core::Core;
use super::hosts::Hosts;
use super::peers::Peers;
use super::statements::Statements;
use super::upgrade::Upgrade;
use super::world::{self, Bound, Listener, Spawner};
use super::{capture, discovery, timeout_at};
use crate::Micros;
use crate::config::Config;
use crate::invariants;
use crate::mutants;
use crate::operator::File;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// The longest wait of a client that counts at a stop, since SIGKILL comes 0.7 s after it at the soonest.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// How long the last answers may take on their way, and long values that have begun: a reader that takes nothing of one
/// is given up within this.
const LAST_WORDS: Duration = Duration::from_secs(15);

/// A proxy whose parts run, and which takes no clients yet.
pub struct Proxy {
    pub core: Rc<Core>,
    pub clients: Rc<Clients>,
    pub hosts: Rc<Hosts>,
    /// Where discovery has moved to.
    pub discovery_addresses: Sender<SocketAddr>,
    pub upgrade: Rc<Upgrade>,
    /// The talk with other proxies, where there is any.
    pub peers: Option<Rc<Peers>>,
    socket: Bound,
    name: String,
    address: SocketAddr,
    linger: Duration,
    /// The longest that a request may take.
    longest: Duration,
}

impl Proxy {
    /// Takes the addresses, and starts all parts; the error names the key that will not do.
    pub fn start(config: &mut Config, file: &File, executor: &Spawner) -> Result<Proxy, String> {
        let socket = world::bind(config.listen)
            .map_err(|e| format!("listen: cannot listen on {}: {e}", config.listen))?;
        let door = config.console.map(Listener::alone).transpose();
        let door = door.map_err(|e| format!("console: cannot listen there: {e}"))?;
        let drain_grace = config.settings.safety.drain_grace;
        let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let (core, todo) = Core::new(config.settings.clone(), config.program_settings.clone(), config.seed);
        let core = Rc::new(core);
        let (user, database) = (&file.hosts.user, &file.hosts.database);
        let hosts = Hosts::new(core.clone(), config.max_host_connections, drain_grace, user, database);
        let hosts = Rc::new(hosts);
        let (most, bytes) = (config.max_clients, config.max_client_bytes);
        let admission = Admission::new(core.clone(), most, bytes, executor.clone());
        let clients =
            Clients::new(core.clone(), hosts.clone(), admission, config.response_margin, executor.clone());
        let clients = Rc::new(clients);
        clients.set_statements(Statements::from_config(&file.statements, &config.program_settings));

        if let Some(known) = &config.known_list {
            hosts.apply_listing(&core.apply_listing(known, true), known);
        }
        let upgrade =
            Upgrade::new(config.state_dir.clone(), core.clone(), clients.admission.clone(), hosts.clone());
        let upgrade = Rc::new(upgrade);
        let peers = config.talk.clone().map(|talk| Rc::new(Peers::new(core.clone(), talk)));
        peers.iter().for_each(|peers| executor.spawn(peers.clone().run()));
        if let Some(door) = door {
            let console =
                Rc::new(Console::new(core.clone(), clients.clone(), upgrade.clone(), peers.clone()));
            executor.spawn(console.run(door, executor.clone()));
        }
        upgrade.start(executor);
        let known = config.known_list.take().map(|k| k.index);
        executor.spawn(hosts.clone().run_host_tasks(todo, executor.clone()));
        executor.spawn({
            let hosts = hosts.clone();
            async move { hosts.run_pool_maintenance().await }
        });
        executor.spawn({
            let core = core.clone();
            async move { core.run_timers().await }
        });
        if file.headroom.enabled {
            core.learn_headroom(file.headroom.shed);
        }
        executor.spawn(capture::run(core.clone(), file.capture.clone(), config.name.clone()));
        let (discovery_addresses, moved) = async_channel::unbounded();
        let (discovery, backoff) = (
            config.discovery,
            Backoff::new(config.settings.list_mode, config.settings.proxy_count, config.seed),
        );
        let watch = {
            let (core, hosts) = (core.clone(), hosts.clone());
            async move { discovery::run(discovery, moved, known, backoff, &core, &hosts).await }
        };
        executor.spawn(watch);
        let (name, address, linger) = (config.name.clone(), config.listen, config.linger);
        let longest = Duration::from_micros(longest);
        Ok(Proxy {
            core,
            clients,
            hosts,
            discovery_addresses,
            upgrade,
            peers,
            socket,
            name,
            address,
            linger,
            longest,
        })
    }

    /// Serves until told to stop, and stops in order.
    pub async fn run(self, stopped: Receiver<()>) -> Result<(), String> {
        let Proxy { core, clients, upgrade, peers, socket, name, address, linger, longest, .. } = self;
        // Beside another version no client comes here before it can be served.
        let ready = async {
            if upgrade.has_other_process() {
                let ready = future::zip(core.ready(), upgrade.wait_for_introductions());
                future::or(async { _ = ready.await }, upgrade.wait_until_alone()).await;
            }
            true
        };
        let stop_early = async {
            let _ = stopped.recv().await;
            false
        };
        if !future::or(ready, stop_early).await {
            return Ok(());
        }
        let listener = socket.listen().map_err(|e| format!("listen: cannot listen on {address}: {e}"))?;
        info!(target: "sillfold", "{name} serves on {address}");
        future::or(clients.accept(&listener), async { _ = stopped.recv().await }).await;
        let micros = |span: Duration| span.as_micros() as Micros;
        let cut_off = invariants::cut_off_after(micros(linger), micros(longest.min(LONGEST_WAIT)));
        let cut_off = world::now() + Duration::from_micros(cut_off);
        if mutants::on("never stops") {
            future::pending::<()>().await;
        }
        clients.admission.stop();
        // The other version, if there is one, talks from now on.
        peers.iter().for_each(|peers| peers.stop());
        info!(target: "sillfold", "{name} stops");
        if upgrade.other_is_ready() {
            // The other version takes whoever comes. Connections end behind their answers first: guards
            // against a close that catches a request on its way.
            clients.admission.relieve();
            clients.accept_rest(&listener).await;
            drop(listener);
            world::after(linger).await;
        } else {
            // Clients go on coming for a while, and are served as ever.
            future::or(clients.accept(&listener), world::after(linger)).await;
            clients.accept_rest(&listener).await;
            drop(listener);
        }
        if timeout_at(cut_off, clients.admission.close()).await.is_some() {
            return Ok(());
        }
        if mutants::on("stops with requests open") {
            return Ok(());
        }
        // Guards against a close on a request that was taken: whoever waits for longer hears so.
        info!(target: "sillfold", "{name} gives its last answers");
        clients.admission.cut_off();
        if timeout_at(world::now() + LAST_WORDS, clients.admission.close()).await.is_none() {
            info!(target: "sillfold", "{name} stops with clients that would not end");
        }
        Ok(())
    }
}
