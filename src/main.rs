//! The real proxy: start-up, signals, the planned stop and exit codes. It owns the executor and the
//! order in which the parts start and stop. It must never decide about a request nor speak on a socket.
//! SIGHUP reads the configuration again, SIGTERM and SIGINT stop the program in order.
//!
//! Exit codes: 0 after SIGTERM, 2 for a configuration that will not do.

mod config;
mod net;
mod pg;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use config::Config;
use futures_lite::{StreamExt, future};
use net::client::Clients;
use net::console::Console;
use net::core::Core;
use net::discovery;
use net::hosts::Hosts;
use net::upgrade::Upgrade;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Beyond the linger and the longest wait of a client, how long a stop may take; and the longest wait
/// that counts, since SIGKILL comes 0.7 s after it at the soonest.
const STOP_SLACK: Duration = Duration::from_millis(150);
const LONGEST_STOP: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let executor = Rc::new(LocalExecutor::new());
    let run = async { serve(Config::load()?, &executor).await };
    match async_io::block_on(executor.run(run)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("sillfold: {what}");
            ExitCode::from(2)
        }
    }
}

async fn serve(mut config: Config, executor: &Rc<LocalExecutor<'static>>) -> Result<(), String> {
    // Before anything can be asked of the program, so that no early SIGTERM kills it outright.
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(|e| format!("signals: {e}"))?;
    let socket =
        net::bind(config.listen).map_err(|e| format!("listen: cannot listen on {}: {e}", config.listen))?;
    let door = config.console.map(Async::<TcpListener>::bind).transpose();
    let door = door.map_err(|e| format!("console: cannot listen there: {e}"))?;
    let drain_grace = config.settings.safety.drain_grace;
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let (core, todo) = Core::new(config.settings.clone(), config.dialect.clone(), config.seed);
    let core = Rc::new(core);
    let hosts = Rc::new(Hosts::new(core.clone(), config.most_host_connections, drain_grace));
    let (most, bytes) = (config.most_clients, config.most_client_bytes);
    let clients = Clients::new(core.clone(), hosts.clone(), most, bytes, config.way_back, executor.clone());
    let clients = Rc::new(clients);

    if let Some(known) = &config.known {
        hosts.listed(&core.list(known, true), known);
    }
    let upgrade = Upgrade::new(config.tmp.clone(), core.clone(), clients.clone(), hosts.clone());
    let upgrade = Rc::new(upgrade);
    if let Some(door) = door {
        let console = Rc::new(Console::new(core.clone(), clients.clone(), upgrade.clone()));
        executor.spawn(console.run(door, executor.clone())).detach();
    }
    upgrade.meet(executor);
    let known = config.known.take().map(|k| k.index);
    executor.spawn(hosts.clone().run_chores(todo, executor.clone())).detach();
    executor
        .spawn({
            let hosts = hosts.clone();
            async move { hosts.run_upkeep().await }
        })
        .detach();
    executor
        .spawn({
            let core = core.clone();
            async move { core.run_timers().await }
        })
        .detach();
    let (moves, moved) = async_channel::unbounded();
    let discovery = config.discovery;
    let watch = {
        let core = core.clone();
        async move { discovery::run(discovery, moved, known, &core, &hosts).await }
    };
    executor.spawn(watch).detach();
    let (name, linger, address) = (config.name.clone(), config.linger, config.listen);

    // A task of its own, so that a SIGHUP during the stop is still a reload and not the program's end.
    let (stop, stopped) = async_channel::bounded(1);
    let handle_signals = async move {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => reload(&mut config, &moves),
                _ => drop(stop.try_send(())),
            }
        }
    };
    executor.spawn(handle_signals).detach();
    // Beside another version no client comes here before it can be served.
    let ready = async {
        if upgrade.accompanied() {
            future::or(core.ready(), upgrade.alone()).await;
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
    let listener = net::listen(socket).map_err(|e| format!("listen: cannot listen on {address}: {e}"))?;
    eprintln!("sillfold: {name} serves on {address}");
    future::or(clients.accept(&listener), async { _ = stopped.recv().await }).await;
    let latest = Instant::now() + linger + Duration::from_micros(longest).min(LONGEST_STOP) + STOP_SLACK;
    clients.stop();
    eprintln!("sillfold: {name} stops");
    let lingered = async {
        Timer::after(linger).await;
    };
    if upgrade.relieved() {
        // The other version takes whoever comes. Connections end behind their answers first: guards
        // against a close that catches a request on its way.
        clients.relieve();
        clients.accept_rest(&listener);
        drop(listener);
        lingered.await;
    } else {
        // Clients go on coming for a while, and are served as ever.
        future::or(clients.accept(&listener), lingered).await;
        clients.accept_rest(&listener);
        drop(listener);
    }
    if net::by(latest, clients.close()).await.is_none() {
        eprintln!("sillfold: {name} stops with clients that would not end");
    }
    Ok(())
}

/// Takes in a changed file. What cannot change while the program runs is told; a bad file changes nothing.
fn reload(config: &mut Config, moves: &Sender<SocketAddr>) {
    let before = config.discovery;
    match config.reload() {
        Ok(waiting) => {
            let waits = waiting.iter().map(|key| format!("; {key} counts at the next start"));
            eprintln!("sillfold: reloaded, discovery is {}{}", config.discovery, waits.collect::<String>());
            if config.discovery != before {
                // The receiver lives as long as the program.
                let _ = moves.try_send(config.discovery);
            }
        }
        Err(what) => eprintln!("sillfold: the configuration stays as it was: {what}"),
    }
}
