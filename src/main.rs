//! The `sillfold` program: parses the command line, loads the configuration, handles signals and sets the exit code. It
//! owns the scheduler and runs `net::proxy` on it. It must not make decisions about requests nor use a socket.
//!
//! SIGHUP reloads both configuration files; SIGTERM and SIGINT stop the program gracefully.
//!
//! Exit codes: 0 after SIGTERM or SIGINT, 2 for an invalid configuration.

mod cli;

use async_channel::Sender;
use async_signal::{Signal, Signals};
use clap::Parser;
use cli::{Cli, Command};
use sillfold::config::Config;
use sillfold::net::client::Clients;
use sillfold::net::proxy::Proxy;
use sillfold::net::scheduler::{Scheduler, Spawner};
use sillfold::net::signals;
use sillfold::net::statements::Statements;
use sillfold::net::world;
use sillfold::operator::{self, File};
use sillfold::settings::ProgramSettings;
use sillfold_route::Classes;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{error, info, warn};

fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => run(&cli.serve),
        Some(Command::Serve(options)) => run(&options),
        Some(Command::Check(check)) => check.run(),
        Some(Command::Explain(explain)) => explain.run(),
    }
}

/// Serves until SIGTERM or SIGINT.
fn run(options: &cli::Serve) -> ExitCode {
    cli::start_log(options.log, options.log_level);
    let ended = serve_until_stopped(options);
    #[cfg(feature = "faults")]
    eprintln!("faults met: {}", serde_json::json!(sillfold::net::faults::injected_counts()));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sillfold: {e}");
            ExitCode::from(2)
        }
    }
}

/// Prepares the program and serves. What takes long is done before the first task runs.
fn serve_until_stopped(options: &cli::Serve) -> Result<(), String> {
    // Installs the handlers first, so that an early signal doesn't kill the process at once.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let signals = signals.map_err(|e| format!("signals: {e}"))?;
    let config = Config::load()?;
    #[cfg(feature = "mutants")]
    config.mutant.iter().for_each(|name| sillfold::mutants::set(name.clone().leak()));
    #[cfg(feature = "faults")]
    config.faults.into_iter().for_each(sillfold::net::faults::start);
    let operator = Operator::load(options.operator.clone(), &config)?;
    world::reserve_descriptors(config.max_clients + config.max_host_connections);
    let scheduler = Scheduler::new();
    let spawner = Spawner::of(&scheduler);
    async_io::block_on(scheduler.run(serve(config, operator, signals, &spawner)))
}

/// The operator's file in force, and what is needed to read it again.
struct Operator {
    path: Option<PathBuf>,
    file: File,
    /// The classes of the platform's settings.
    classes: Classes,
}

impl Operator {
    /// Reads the file at `path`; without a path, all options have their defaults.
    fn load(path: Option<PathBuf>, config: &Config) -> Result<Operator, String> {
        let classes = operator::classes(&config.settings, &config.program_settings.class_names);
        let mut operator = Operator { path, file: File::default(), classes };
        operator.file = operator.read()?.unwrap_or_default();
        Ok(operator)
    }

    /// Reads the file again; none if there is no path.
    fn read(&self) -> Result<Option<File>, String> {
        let Some(path) = &self.path else { return Ok(None) };
        let (file, findings) = File::load(path, Some(&self.classes));
        findings.notes.iter().for_each(|note| warn!(target: "sillfold", "{note}"));
        file.map(Some).ok_or_else(|| findings.errors.join("; "))
    }
}

/// Starts the proxy, and runs it until a signal stops it.
async fn serve(
    mut config: Config, mut operator: Operator, signals: Signals, spawner: &Spawner,
) -> Result<(), String> {
    let program_settings = config.program_settings.clone();
    let proxy = Proxy::start(&mut config, &operator.file, spawner)?;
    let discovery_addresses = proxy.discovery_addresses.clone();
    let clients = proxy.clients.clone();

    // The task keeps running while the proxy stops, so that a SIGHUP then is still a reload and doesn't end the program.
    let (stop, stopped) = async_channel::bounded(1);
    let follow_signals = async move {
        let reload = || {
            reload(&mut config, &discovery_addresses);
            reload_operator(&mut operator, &clients, &program_settings);
        };
        signals::follow(signals, reload, &stop).await;
    };
    spawner.spawn(follow_signals);
    proxy.run(stopped).await
}

/// Reloads the platform's file, and logs the keys that take effect at the next start. An invalid file changes nothing.
fn reload(config: &mut Config, discovery_addresses: &Sender<SocketAddr>) {
    let before = config.discovery;
    match config.reload() {
        Ok(keys) => {
            let notes = keys.iter().map(|key| format!("; {key} takes effect at the next start"));
            info!(target: "sillfold", "reloaded, discovery is {}{}", config.discovery, notes.collect::<String>());
            if config.discovery != before {
                // The receiver is never dropped, so this doesn't fail.
                let _ = discovery_addresses.try_send(config.discovery);
            }
        }
        Err(e) => error!(target: "sillfold", "the configuration stays as it was: {e}"),
    }
}

/// Reloads the operator's file; an invalid one changes nothing. The measured service times of statement shapes are kept
/// for shapes whose analysis stays the same.
fn reload_operator(operator: &mut Operator, clients: &Clients, program_settings: &ProgramSettings) {
    match operator.read() {
        Ok(None) => {}
        Ok(Some(file)) => {
            if file.hosts != operator.file.hosts {
                warn!(target: "sillfold", "hosts takes effect at the next start");
            }
            let (old, new) = (&operator.file, &file);
            for (key, changed) in
                [("capture", old.capture != new.capture), ("headroom", old.headroom != new.headroom)]
            {
                if changed {
                    warn!(target: "sillfold", "{key} takes effect at the next start");
                }
            }
            let rules = file.statements.rules.len();
            match clients.statements() {
                Some(statements) if file.statements.enabled => {
                    statements.replace(&file.statements, program_settings)
                }
                _ => clients.set_statements(Statements::from_config(&file.statements, program_settings)),
            }
            let on = if file.statements.enabled { "on" } else { "off" };
            info!(target: "sillfold", "the operator's file is taken: plain statements are {on}, {rules} rules");
            operator.file = file;
        }
        Err(e) => error!(target: "sillfold", "the operator's file stays as it was: {e}"),
    }
}
