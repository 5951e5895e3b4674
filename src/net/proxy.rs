//! One proxy: starts its parts, serves until it is told to stop, and stops the parts in order, in the real world or in a
//! simulated one. It must never decide about a request, use a connection, or read a file or a signal itself.

use super::admission::Admission;
use super::backoff::Backoff;
use super::client::Clients;
use super::console::Console;
use super::core::Core;
use super::hosts::Hosts;
use super::memory::ClientMemory;
use super::peers::Peers;
use super::request_ids::RequestIds;
use super::scheduler::Spawner;
use super::statements::Statements;
use super::upgrade::Upgrade;
use super::world::{self, Bound, Listener};
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

/// The longest request deadline that a stop waits for. SIGKILL follows at the earliest 0.7 s after it.
const MAX_STOP_WAIT: Duration = Duration::from_secs(3);
/// How long the last answers of a stop may take, with the values that are being streamed. A client that reads nothing of
/// its answer is disconnected within this time.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(15);

/// A proxy whose parts run, and which accepts no clients yet.
pub struct Proxy {
    pub core: Rc<Core>,
    pub clients: Rc<Clients>,
    pub hosts: Rc<Hosts>,
    /// Takes new addresses of discovery.
    pub discovery_addresses: Sender<SocketAddr>,
    pub upgrade: Rc<Upgrade>,
    /// The updates between proxies, where there are other proxies.
    pub peers: Option<Rc<Peers>>,
    socket: Bound,
    name: String,
    address: SocketAddr,
    linger: Duration,
    /// The longest deadline of any class of requests.
    longest_deadline: Duration,
}

impl Proxy {
    /// Binds the addresses, and starts all parts. An error names the configuration key that can't be used.
    pub fn start(config: &mut Config, file: &File, executor: &Spawner) -> Result<Proxy, String> {
        let socket = world::bind(config.listen)
            .map_err(|e| format!("listen: cannot listen on {}: {e}", config.listen))?;
        let console_listener = config.console.map(Listener::alone).transpose();
        let console_listener = console_listener.map_err(|e| format!("console: cannot listen there: {e}"))?;
        let drain_grace = config.settings.safety.drain_grace;
        let longest_deadline = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let (core, host_tasks) =
            Core::new(config.settings.clone(), config.program_settings.clone(), config.seed);
        let core = Rc::new(core);
        let (user, database) = (&file.hosts.user, &file.hosts.database);
        let memory = ClientMemory::new(&config.memory_plan);
        let (max_connections, buffer_bytes) =
            (config.max_host_connections, config.memory_plan.host_buffer_bytes);
        let hosts = Hosts::new(core.clone(), max_connections, buffer_bytes, drain_grace, user, database);
        let hosts = Rc::new(hosts);
        let max_clients = config.max_clients;
        let ids = RequestIds::new(config.state_dir.clone(), core.events.clone());
        let admission = Admission::new(core.clone(), max_clients, memory, ids, executor.clone());
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
        let peers = config.peer_endpoints.clone().map(|talk| Rc::new(Peers::new(core.clone(), talk)));
        peers.iter().for_each(|peers| executor.spawn(peers.clone().run()));
        if let Some(console_listener) = console_listener {
            let (upgrade, peers) = (upgrade.clone(), peers.clone());
            let console = Console::new(core.clone(), clients.clone(), upgrade, peers, executor.clone());
            executor.spawn(Rc::new(console).run(console_listener));
        }
        upgrade.start(executor);
        let known_index = config.known_list.take().map(|k| k.index);
        executor.spawn(hosts.clone().run_host_tasks(host_tasks, executor.clone()));
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
        let (discovery_addresses, new_addresses) = async_channel::unbounded();
        let discovery = config.discovery;
        let backoff = Backoff::new(config.settings.list_mode, config.settings.proxy_count, config.seed);
        let watch = {
            let (core, hosts) = (core.clone(), hosts.clone());
            async move { discovery::run(discovery, new_addresses, known_index, backoff, &core, &hosts).await }
        };
        executor.spawn(watch);
        let name = config.name.clone();
        let address = config.listen;
        let linger = config.linger;
        let longest_deadline = Duration::from_micros(longest_deadline);
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
            longest_deadline,
        })
    }

    /// Serves until told to stop, then stops in order.
    pub async fn run(self, stopped: Receiver<()>) -> Result<(), String> {
        let Proxy { core, clients, upgrade, peers, socket, name, address, linger, longest_deadline, .. } =
            self;
        // Next to another version, clients are accepted only once they can be served.
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
        let micros = |duration: Duration| duration.as_micros() as Micros;
        let longest_wait = longest_deadline.min(MAX_STOP_WAIT);
        let cut_off_after = invariants::cut_off_after(micros(linger), micros(longest_wait));
        let cut_off = world::now() + Duration::from_micros(cut_off_after);
        if mutants::on("never stops") {
            future::pending::<()>().await;
        }
        clients.admission.stop();
        // The other version, if there is one, exchanges updates with other proxies from now on.
        peers.iter().for_each(|peers| peers.stop());
        info!(target: "sillfold", "{name} stops");
        if upgrade.other_is_ready() {
            // The other version accepts new clients. This one closes connections behind their answers first. Guards
            // against a close that crosses a request.
            clients.admission.close_after_answers();
            clients.accept_backlog(&listener).await;
            drop(listener);
            world::after(linger).await;
        } else {
            // Clients go on connecting for a while, and are still served.
            future::or(clients.accept(&listener), world::after(linger)).await;
            clients.accept_backlog(&listener).await;
            drop(listener);
        }
        if timeout_at(cut_off, clients.admission.close()).await.is_some() {
            return Ok(());
        }
        if mutants::on("stops with requests open") {
            return Ok(());
        }
        // Requests that are still open get a final answer. Guards against a close on a request that was accepted.
        info!(target: "sillfold", "{name} gives its last answers");
        clients.admission.cut_off();
        if timeout_at(world::now() + LAST_ANSWERS_TIMEOUT, clients.admission.close()).await.is_none() {
            info!(target: "sillfold", "{name} stops although some clients have not read their last answers");
        }
        Ok(())
    }
}
