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
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Beyond the longest wait of a client, how long a stop may take.
const STOP_SLACK: Duration = Duration::from_millis(150);

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
    let listener = Async::<TcpListener>::bind(config.listen)
        .map_err(|e| format!("listen: cannot listen on {}: {e}", config.listen))?;
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
    if let Some(door) = door {
        let console = Rc::new(Console::new(core.clone(), clients.clone()));
        executor.spawn(console.run(door, executor.clone())).detach();
    }

    if let Some(known) = &config.known {
        hosts.listed(&core.list(known, true), known);
    }
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
    executor.spawn(async move { discovery::run(discovery, moved, known, &core, &hosts).await }).detach();
    eprintln!("sillfold: {} serves on {}", config.name, config.listen);
    let (name, linger) = (config.name.clone(), config.linger);

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
    future::or(clients.accept(&listener), async { _ = stopped.recv().await }).await;
    clients.stop();
    eprintln!("sillfold: {name} stops");
    // Clients go on coming for a while, and are served as ever.
    let lingered = async {
        Timer::after(linger).await;
    };
    future::or(clients.accept(&listener), lingered).await;
    clients.accept_rest(&listener);
    drop(listener);
    let latest = Instant::now() + Duration::from_micros(longest) + STOP_SLACK;
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
