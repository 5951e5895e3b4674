//! The lab's commands: stand-ins as processes, the demonstration, and the measurements that the documents quote.

mod days;
mod experiment;
mod measure;
mod soaks;

use clap::{Parser, Subcommand};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use sillfold_lab::sim::plan::Plan;
use sillfold_lab::soak;
use sillfold_lab::{Agent, Client, Group, Host, HostEntry, Options, Proxy, settings};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Stand-ins for what surrounds the proxy, on loopback only.
#[derive(Parser)]
#[command(version, max_term_width = 110)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start stand-in hosts, discovery and the proxy, and print how to ask.
    Demo {
        /// The proxy's program.
        #[arg(long, default_value = "target/release/sillfold")]
        program: PathBuf,
        /// The operator's file.
        #[arg(long, default_value = "deploy/demo.json5")]
        operator: PathBuf,
        /// Where the proxy listens, on loopback.
        #[arg(long, default_value_t = 15433)]
        port: u16,
        /// Ask one statement, print its answer and end: shows that it serves.
        #[arg(long)]
        once: bool,
    },
    /// Start one stand-in host; it runs until it is ended.
    Host {
        /// Where it listens.
        #[arg(long, default_value = "127.0.0.1:15434")]
        listen: SocketAddr,
        /// Whether it takes writes.
        #[arg(long)]
        primary: bool,
        /// How far it is behind, in milliseconds. Alone, it follows only itself.
        #[arg(long, default_value_t = 0)]
        lag_ms: u64,
    },
    /// Start discovery's agent with a list of hosts; it runs until it is ended.
    Discovery {
        /// Hosts as NAME=ADDRESS, the first of them the primary, all in one group.
        #[arg(required = true)]
        hosts: Vec<String>,
        /// Their group.
        #[arg(long, default_value_t = 3)]
        group: u32,
    },
    /// Measure the reading of statements: time, hits and bytes, warm, new and flooded.
    Statements {
        /// One-off shapes of the flood.
        #[arg(long, default_value_t = 1_000_000)]
        flood: u32,
        /// Bytes that the cache may hold.
        #[arg(long, default_value_t = 2 << 20)]
        bytes: usize,
    },
    /// Goodput by worth of an overloaded fleet, with the door's shedding and without, in turn and on the same seeds.
    Shed {
        /// A directory that holds a fleet.json5 and a load.json5.
        case: PathBuf,
        /// Multiples of the load.
        #[arg(long, value_delimiter = ',', default_value = "1.4,1.8,2.4")]
        times: Vec<f64>,
        /// The proxy's program.
        #[arg(long, default_value = "target/release/sillfold")]
        program: PathBuf,
        /// Seconds that count at each load.
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
        /// Seeds, one run each.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
    },
    /// Measure what recording load costs a request, and an interval.
    Recorder {
        /// Requests that are recorded.
        #[arg(long, default_value_t = 1_000_000)]
        requests: u64,
    },
    /// Count the instructions of a request through proxies, by callgrind, in turn.
    Instructions {
        /// Programs to compare, the first being the one before.
        #[arg(required = true)]
        programs: Vec<PathBuf>,
        /// Requests of the longer run; the shorter has a fifth.
        #[arg(long, default_value_t = 2_000)]
        requests: usize,
        /// Ask plain statements, which needs the operator's file, instead of commented ones.
        #[arg(long)]
        plain: bool,
        /// Record load meanwhile, with all that it costs.
        #[arg(long)]
        capture: bool,
        /// How often each is measured; the median counts.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Find the true saturation of fleets by experiment, and set it beside what the planner says.
    Saturate {
        /// Directories that hold a fleet.json5 and a load.json5 each; they are tried side by side.
        #[arg(required = true)]
        cases: Vec<PathBuf>,
        /// The proxy's program.
        #[arg(long, default_value = "target/release/sillfold")]
        program: PathBuf,
        /// The share of each class that is to be served in time.
        #[arg(long, default_value_t = 0.9)]
        goal: f64,
        /// Seconds that count at each load, after two that do not.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// Loads that are tried.
        #[arg(long, default_value_t = 6)]
        steps: u32,
        /// Of arrivals and service times.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Simulate whole days of a fleet, one for each seed, and hold the proxy's own network code to the rules.
    Sim {
        /// Seeds from the first to before the second, as `1..1001`.
        #[arg(long, default_value = "1..101")]
        seeds: String,
        /// Days that are simulated at the same time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Simulate this one day, and print its whole trace.
        #[arg(long, conflicts_with = "plan")]
        replay: Option<u64>,
        /// Simulate the day of this JSON5 file.
        #[arg(long)]
        plan: Option<PathBuf>,
        /// Print the day as such a file instead of simulating it; with `--replay`.
        #[arg(long, requires = "replay")]
        show: bool,
        /// Tries at making a failing day smaller.
        #[arg(long, default_value_t = 60)]
        shrink: usize,
    },
    /// Run a few dozen real proxies among stand-ins while troubles overlap and system calls fail, once for each seed.
    Soak {
        /// Seeds from the first to before the second, as `1..101`.
        #[arg(long, default_value = "1..4")]
        seeds: String,
        /// Runs that go on at the same time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Proxies of a run.
        #[arg(long, default_value_t = 24)]
        proxies: usize,
        /// The proxy's program, built with the feature `faults`.
        #[arg(long, default_value = "target/faults/release/sillfold")]
        program: PathBuf,
    },
    /// Measure the memory that proxies hold after their start and after requests, in turn.
    Memory {
        /// Programs to compare.
        #[arg(required = true)]
        programs: Vec<PathBuf>,
        /// Requests before the second reading.
        #[arg(long, default_value_t = 5_000)]
        requests: usize,
    },
}

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Demo { program, operator, port, once } => demo(&program, &operator, port, once),
        Command::Host { listen, primary, lag_ms } => stand_in(listen, primary, lag_ms),
        Command::Discovery { hosts, group } => discovery(&hosts, group),
        Command::Statements { flood, bytes } => measure::statements(flood, bytes),
        Command::Shed { case, times, program, seconds, seeds } => {
            experiment::shed(&case, &times, &program, seconds, &seeds)
        }
        Command::Recorder { requests } => measure::recorder(requests),
        Command::Instructions { programs, requests, plain, capture, rounds } => {
            measure::instructions(&programs, requests, plain, capture, rounds)
        }
        Command::Saturate { cases, program, goal, seconds, steps, seed } => {
            experiment::saturate(&cases, &program, &experiment::Plan { goal, seconds, steps, seed })
        }
        Command::Sim { seeds, jobs, replay, plan, show, shrink } => match (replay, plan) {
            (Some(seed), _) if show => days::print_plan(seed),
            (Some(seed), _) => days::replay(&Plan::from_seed(seed)),
            (None, Some(file)) => Plan::read(&file).map_err(io::Error::other).and_then(|p| days::replay(&p)),
            (None, None) => days::run_seeds(&seeds, jobs, shrink),
        },
        Command::Soak { seeds, jobs, proxies, program } => {
            soaks::many(&seeds, jobs, &soak::Options { program, proxies })
        }
        Command::Memory { programs, requests } => measure::memory(&programs, requests),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sillfold-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

fn until_ended() -> ! {
    loop {
        std::thread::park();
    }
}

fn stand_in(listen: SocketAddr, primary: bool, lag_ms: u64) -> io::Result<()> {
    let (name, lag) = (listen.to_string(), Duration::from_millis(lag_ms));
    let options = Options { name, primary, lag, ..Options::default() };
    let host = Host::start_at(listen, &Group::new(), options)?;
    println!("a stand-in host listens on {}", host.address);
    until_ended()
}

fn discovery(hosts: &[String], group: u32) -> io::Result<()> {
    let entries = hosts.iter().enumerate().map(|(i, text)| {
        let (name, address) = text.split_once('=').unwrap_or((text, text));
        let address = address.parse().map_err(|e| io::Error::other(format!("{text}: {e}")))?;
        Ok(HostEntry { name: name.into(), address, group, status: "SERVING", primary: i == 0 })
    });
    let agent = Agent::start(LOOPBACK, entries.collect::<io::Result<Vec<HostEntry>>>()?)?;
    println!("discovery listens on {}", agent.address);
    until_ended()
}

fn demo(program: &std::path::Path, operator: &std::path::Path, port: u16, once: bool) -> io::Result<()> {
    let operator = std::fs::read_to_string(operator)
        .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", operator.display())))?;
    let group = Group::new();
    let mut hosts = Vec::new();
    for (name, primary, lag_ms) in [("s-1", true, 0), ("s-2", false, 20), ("s-3", false, 120)] {
        let (name, lag) = (name.to_string(), Duration::from_millis(lag_ms));
        hosts.push(Host::start(LOOPBACK, &group, Options { name, primary, lag, ..Options::default() })?);
    }
    let agent = Agent::start(LOOPBACK, hosts.iter().map(|h| HostEntry::serving(h, 3)).collect())?;
    let at = SocketAddr::new(LOOPBACK, port);
    let program = program.display().to_string();
    let proxy = Proxy::start(&[&program], at, agent.address, &settings(), Some(&operator))?;
    println!("The proxy serves on {at}, before a stand-in primary and two replicas. Ask it:\n");
    println!("  psql \"host=127.0.0.1 port={port} user=web dbname=orders sslmode=disable\" \\");
    println!("    -c \"INSERT INTO entries (ref, payload) VALUES ('7f', 'first light')\" \\");
    println!("    -c \"SELECT payload FROM entries WHERE ref = '7f'\"\n");
    println!("Its figures: curl -s http://{}/ops/stats", proxy.console);
    let mut client = Client::connect(at, "web", "orders")?;
    client.query("INSERT INTO entries (ref, payload) VALUES ('demo', 'it serves')")?;
    let answer = client.query("SELECT payload FROM entries WHERE ref = 'demo'")?;
    println!("Asked here: {}", answer.value().unwrap_or("no answer"));
    if once {
        let served = answer.value() == Some("it serves");
        return if served { Ok(()) } else { Err(io::Error::other(format!("{answer:?}"))) };
    }
    println!("Ctrl-C ends all of it.");
    // Guards against a proxy that is left behind where only this process is ended.
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    drop(proxy);
    Ok(())
}
