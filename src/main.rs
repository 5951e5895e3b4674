//! The real proxy: start-up, signals, the planned stop and exit codes. It owns the executor and the
//! order in which the parts start and stop. It must never decide about a request nor speak on a socket.
//! SIGHUP reads the configuration again, SIGTERM and SIGINT stop the program in order.
//!
//! Exit codes: 0 after SIGTERM, 2 for a configuration that will not do.

mod cli;
mod config;
mod net;
mod operator;
mod pg;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use clap::Parser;
use cli::{Cli, Command};
use config::Config;
use futures_lite::{StreamExt, future};
use net::backoff::Backoff;
use net::client::Clients;
use net::console::Console;
use net::core::Core;
use net::discovery;
use net::statements::Statements;
use net::upgrade::Upgrade;
use operator::{File, Hosts};
use sillfold::settings::Dialect;
use sillfold_route::Classes;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// Beyond the linger and the longest wait of a client, how long a stop may take; and the longest wait
/// that counts, since SIGKILL comes 0.7 s after it at the soonest.
const STOP_SLACK: Duration = Duration::from_millis(150);
const LONGEST_STOP: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => run(&cli.serve),
        Some(Command::Serve(options)) => run(&options),
        Some(Command::Check(check)) => check.run(),
        Some(Command::Explain(explain)) => explain.run(),
    }
}

/// Serves until told to stop.
fn run(options: &cli::Serve) -> ExitCode {
    cli::start_log(options.log);
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        let config = Config::load()?;
        let operator = Operator::load(options.operator.clone(), &config)?;
        serve(config, operator, &executor).await
    };
    match async_io::block_on(executor.run(run)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("sillfold: {what}");
            ExitCode::from(2)
        }
    }
}

/// The operator's file, as it was last read.
struct Operator {
    path: Option<PathBuf>,
    file: File,
    classes: Classes,
}

impl Operator {
    /// Reads the file, if there is one.
    fn load(path: Option<PathBuf>, config: &Config) -> Result<Operator, String> {
        let classes = operator::classes(&config.settings, &config.dialect.classes);
        let mut operator = Operator { path, file: File::default(), classes };
        operator.file = operator.read()?.unwrap_or_default();
        Ok(operator)
    }

    /// The file as it is now; nothing where there is none.
    fn read(&self) -> Result<Option<File>, String> {
        let Some(path) = &self.path else { return Ok(None) };
        let (file, findings) = File::load(path, Some(&self.classes));
        findings.notes.iter().for_each(|note| warn!(target: "sillfold", "{note}"));
        file.map(Some).ok_or_else(|| findings.errors.join("; "))
    }
}

async fn serve(
    mut config: Config, mut operator: Operator, executor: &Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
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
    let Hosts { user, database } = &operator.file.hosts;
    let hosts =
        net::hosts::Hosts::new(core.clone(), config.most_host_connections, drain_grace, user, database);
    let hosts = Rc::new(hosts);
    let (most, bytes) = (config.most_clients, config.most_client_bytes);
    let clients = Clients::new(core.clone(), hosts.clone(), most, bytes, config.way_back, executor.clone());
    let clients = Rc::new(clients);
    let dialect = config.dialect.clone();
    clients.serve_plain(Statements::of(&operator.file.statements, &dialect));

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
    if operator.file.headroom.enabled {
        core.learn_headroom(operator.file.headroom.shed);
    }
    let record = net::capture::run(core.clone(), operator.file.capture.clone(), config.name.clone());
    executor.spawn(record).detach();
    let (moves, moved) = async_channel::unbounded();
    let (discovery, backoff) = (config.discovery, Backoff::new(config.settings.routers, config.seed));
    let watch = {
        let core = core.clone();
        async move { discovery::run(discovery, moved, known, backoff, &core, &hosts).await }
    };
    executor.spawn(watch).detach();
    let (name, linger, address) = (config.name.clone(), config.linger, config.listen);

    // A task of its own, so that a SIGHUP during the stop is still a reload and not the program's end.
    let (stop, stopped) = async_channel::bounded(1);
    let served = clients.clone();
    let handle_signals = async move {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => {
                    reload(&mut config, &moves);
                    reload_operator(&mut operator, &served, &dialect);
                }
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
    info!(target: "sillfold", "{name} serves on {address}");
    future::or(clients.accept(&listener), async { _ = stopped.recv().await }).await;
    let latest = Instant::now() + linger + Duration::from_micros(longest).min(LONGEST_STOP) + STOP_SLACK;
    clients.stop();
    info!(target: "sillfold", "{name} stops");
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
        info!(target: "sillfold", "{name} stops with clients that would not end");
    }
    Ok(())
}

/// Takes in a changed file. What cannot change while the program runs is told; a bad file changes nothing.
fn reload(config: &mut Config, moves: &Sender<SocketAddr>) {
    let before = config.discovery;
    match config.reload() {
        Ok(waiting) => {
            let waits = waiting.iter().map(|key| format!("; {key} counts at the next start"));
            info!(target: "sillfold", "reloaded, discovery is {}{}", config.discovery, waits.collect::<String>());
            if config.discovery != before {
                // The receiver lives as long as the program.
                let _ = moves.try_send(config.discovery);
            }
        }
        Err(what) => error!(target: "sillfold", "the configuration stays as it was: {what}"),
    }
}

/// Takes in the operator's file as it is now; a bad one changes nothing. What was learnt of shapes stays, where
/// their verdicts do.
fn reload_operator(operator: &mut Operator, clients: &Clients, dialect: &Dialect) {
    match operator.read() {
        Ok(None) => {}
        Ok(Some(file)) => {
            if file.hosts != operator.file.hosts {
                warn!(target: "sillfold", "hosts counts at the next start");
            }
            let (old, new) = (&operator.file, &file);
            for (key, differs) in
                [("capture", old.capture != new.capture), ("headroom", old.headroom != new.headroom)]
            {
                if differs {
                    warn!(target: "sillfold", "{key} counts at the next start");
                }
            }
            let rules = file.statements.rules.len();
            match clients.statements() {
                Some(statements) if file.statements.enabled => statements.replace(&file.statements, dialect),
                _ => clients.serve_plain(Statements::of(&file.statements, dialect)),
            }
            let on = if file.statements.enabled { "on" } else { "off" };
            info!(target: "sillfold", "the operator's file is taken: plain statements are {on}, {rules} rules");
            operator.file = file;
        }
        Err(what) => error!(target: "sillfold", "the operator's file stays as it was: {what}"),
    }
}
