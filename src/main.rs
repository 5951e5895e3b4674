//! The real proxy: configuration, signals and exit codes. It owns the executor; what runs on it is `net::proxy`.
//! It must never decide about a request nor speak on a socket.
//! SIGHUP reads the configuration again, SIGTERM and SIGINT stop the program in order.
//!
//! Exit codes: 0 after SIGTERM, 2 for a configuration that will not do.

mod cli;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use clap::Parser;
use cli::{Cli, Command};
use sillfold::config::Config;
use sillfold::net::client::Clients;
use sillfold::net::proxy::Proxy;
use sillfold::net::signals;
use sillfold::net::statements::Statements;
use sillfold::net::world::Spawner;
use sillfold::operator::{self, File};
use sillfold::settings::ProgramSettings;
use sillfold_route::Classes;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
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

/// Serves until told to stop.
fn run(options: &cli::Serve) -> ExitCode {
    cli::start_log(options.log, options.log_level);
    let executor = Rc::new(LocalExecutor::new());
    let run = async {
        // Before anything can be asked of the program, so that no early signal kills it outright.
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        let signals = signals.map_err(|e| format!("signals: {e}"))?;
        let config = Config::load()?;
        #[cfg(feature = "mutants")]
        config.mutant.iter().for_each(|name| sillfold::mutants::set(name.clone().leak()));
        #[cfg(feature = "faults")]
        config.faults.into_iter().for_each(sillfold::net::faults::start);
        let operator = Operator::load(options.operator.clone(), &config)?;
        serve(config, operator, signals, &executor).await
    };
    let ended = async_io::block_on(executor.run(run));
    #[cfg(feature = "faults")]
    eprintln!("faults met: {}", serde_json::json!(sillfold::net::faults::injected_counts()));
    match ended {
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
        let classes = operator::classes(&config.settings, &config.program_settings.class_names);
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
    mut config: Config, mut operator: Operator, signals: Signals, executor: &Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    let (program_settings, proxy) =
        (config.program_settings.clone(), Proxy::start(&mut config, &operator.file, &Spawner::of(executor))?);
    let (discovery_addresses, served) = (proxy.discovery_addresses.clone(), proxy.clients.clone());

    // A task of its own, so that a SIGHUP during the stop is still a reload and not the program's end.
    let (stop, stopped) = async_channel::bounded(1);
    let follow_signals = async move {
        let reload = || {
            reload(&mut config, &discovery_addresses);
            reload_operator(&mut operator, &served, &program_settings);
        };
        signals::follow(signals, reload, &stop).await;
    };
    executor.spawn(follow_signals).detach();
    proxy.run(stopped).await
}

/// Takes in a changed file. What cannot change while the program runs is told; a bad file changes nothing.
fn reload(config: &mut Config, discovery_addresses: &Sender<SocketAddr>) {
    let before = config.discovery;
    match config.reload() {
        Ok(waiting) => {
            let waits = waiting.iter().map(|key| format!("; {key} counts at the next start"));
            info!(target: "sillfold", "reloaded, discovery is {}{}", config.discovery, waits.collect::<String>());
            if config.discovery != before {
                // The receiver lives as long as the program.
                let _ = discovery_addresses.try_send(config.discovery);
            }
        }
        Err(what) => error!(target: "sillfold", "the configuration stays as it was: {what}"),
    }
}

/// Takes in the operator's file as it is now; a bad one changes nothing. What was learnt of shapes stays, where
/// their verdicts do.
fn reload_operator(operator: &mut Operator, clients: &Clients, program_settings: &ProgramSettings) {
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
                Some(statements) if file.statements.enabled => {
                    statements.replace(&file.statements, program_settings)
                }
                _ => clients.set_statements(Statements::from_config(&file.statements, program_settings)),
            }
            let on = if file.statements.enabled { "on" } else { "off" };
            info!(target: "sillfold", "the operator's file is taken: plain statements are {on}, {rules} rules");
            operator.file = file;
        }
        Err(what) => error!(target: "sillfold", "the operator's file stays as it was: {what}"),
    }
}
