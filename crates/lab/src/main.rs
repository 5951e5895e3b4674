//! The commands of the lab: stand-ins as processes, the demonstration, the simulation and the soak test, and the measurements
//! that the documents quote.

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

/// Stand-ins for the proxy's hosts, discovery and clients, on loopback only; tests and measurements with them.
#[derive(Parser)]
#[command(version, max_term_width = 110)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Start stand-in hosts, discovery and the proxy, and print how to query it.
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
        /// Query one statement, print its answer and exit; fails if the proxy does not serve.
        #[arg(long)]
        once: bool,
    },
    /// Start one stand-in host, which runs until it is ended by a signal.
    Host {
        /// The address on which the host listens.
        #[arg(long, default_value = "127.0.0.1:15434")]
        listen: SocketAddr,
        /// Make the host a primary, which accepts writes.
        #[arg(long)]
        primary: bool,
        /// The lag of a replica in milliseconds. A single host replicates from no other.
        #[arg(long, default_value_t = 0)]
        lag_ms: u64,
    },
    /// Start discovery's agent with a list of hosts; it runs until it is ended by a signal.
    Discovery {
        /// Hosts as NAME=ADDRESS, all in one group; the first is the primary.
        #[arg(required = true)]
        hosts: Vec<String>,
        /// The id of the group.
        #[arg(long, default_value_t = 3)]
        group: u32,
    },
    /// Measure how statements are read: times of known and new shapes, and hits and bytes of the cache during a flood of one-off
    /// shapes.
    Statements {
        /// The number of one-off shapes of the flood.
        #[arg(long, default_value_t = 1_000_000)]
        flood: u32,
        /// The limit of the cache in bytes.
        #[arg(long, default_value_t = 2 << 20)]
        bytes: usize,
    },
    /// Measure the goodput by worth of an overloaded fleet, without and with load shedding at the proxy's admission, in turn and
    /// on the same seeds.
    Shed {
        /// A directory that holds a fleet.json5 and a load.json5.
        case: PathBuf,
        /// Multiples of the load that are tried.
        #[arg(long, value_delimiter = ',', default_value = "1.4,1.8,2.4")]
        times: Vec<f64>,
        /// The proxy's program.
        #[arg(long, default_value = "target/release/sillfold")]
        program: PathBuf,
        /// Seconds that count at each load.
        #[arg(long, default_value_t = 6.0)]
        seconds: f64,
        /// Seeds of arrivals and service times; one run of each variant for each seed.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
        seeds: Vec<u64>,
    },
    /// Measure the cost of recording load, for a request and for a record.
    Recorder {
        /// The number of requests that are recorded.
        #[arg(long, default_value_t = 1_000_000)]
        requests: u64,
    },
    /// Count the instructions of a request in each program by callgrind, in turn.
    Instructions {
        /// Programs to compare; ratios are to the first.
        #[arg(required = true)]
        programs: Vec<PathBuf>,
        /// Requests of the longer run; the shorter one has a fifth of them.
        #[arg(long, default_value_t = 2_000)]
        requests: usize,
        /// Send plain statements, with an operator's file, instead of commented ones.
        #[arg(long)]
        plain: bool,
        /// Record a capture of the load meanwhile, so that its cost counts; without --plain.
        #[arg(long)]
        capture: bool,
        /// How often each program is measured; the median is printed.
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Find the true saturation of fleets by experiment, and compare it with the planner's prediction.
    Saturate {
        /// Directories that hold a fleet.json5 and a load.json5 each; all are run at the same time.
        #[arg(required = true)]
        cases: Vec<PathBuf>,
        /// The proxy's program.
        #[arg(long, default_value = "target/release/sillfold")]
        program: PathBuf,
        /// The share of each class that is to be served in time.
        #[arg(long, default_value_t = 0.9)]
        goal: f64,
        /// Seconds that count at each load, after two seconds of warm-up.
        #[arg(long, default_value_t = 5.0)]
        seconds: f64,
        /// The number of loads that are tried.
        #[arg(long, default_value_t = 6)]
        steps: u32,
        /// The seed of arrivals and service times.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Simulate days of a fleet, one for each seed, and check that the proxy's own network code keeps the rules.
    Sim {
        /// Range of seeds without its end, as `1..1001`.
        #[arg(long, default_value = "1..101")]
        seeds: String,
        /// The number of days that are simulated at the same time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Simulate the day of this seed, and print its whole trace.
        #[arg(long, conflicts_with = "plan")]
        replay: Option<u64>,
        /// Simulate the day whose plan is this JSON5 file.
        #[arg(long)]
        plan: Option<PathBuf>,
        /// Print the plan of the day as such a file instead of simulating it; with `--replay`.
        #[arg(long, requires = "replay")]
        show: bool,
        /// The number of tries to shrink the plan of a failing day.
        #[arg(long, default_value_t = 60)]
        shrink: usize,
    },
    /// Run a few dozen real proxies among stand-ins while troubles overlap and system calls fail; one run for each seed.
    Soak {
        /// Range of seeds without its end, as `1..101`.
        #[arg(long, default_value = "1..4")]
        seeds: String,
        /// The number of runs at the same time.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// The number of proxies of a run.
        #[arg(long, default_value_t = 24)]
        proxies: usize,
        /// The proxy's program, built with the feature `faults`.
        #[arg(long, default_value = "target/faults/release/sillfold")]
        program: PathBuf,
    },
    /// Measure the memory of each program after its start and after requests, in turn.
    Memory {
        /// Programs to compare.
        #[arg(required = true)]
        programs: Vec<PathBuf>,
        /// The number of requests before the second measurement.
        #[arg(long, default_value_t = 5_000)]
        requests: usize,
    },
}

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Demo { program, operator, port, once } => run_demo(&program, &operator, port, once),
        Command::Host { listen, primary, lag_ms } => run_host(listen, primary, lag_ms),
        Command::Discovery { hosts, group } => run_discovery(&hosts, group),
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sillfold-lab: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for ever, until a signal ends the process.
fn wait_for_ever() -> ! {
    loop {
        std::thread::park();
    }
}

/// Runs a stand-in host until the process is ended.
fn run_host(listen: SocketAddr, primary: bool, lag_ms: u64) -> io::Result<()> {
    let (name, lag) = (listen.to_string(), Duration::from_millis(lag_ms));
    let options = Options { name, primary, lag, ..Options::default() };
    let host = Host::start_at(listen, &Group::new(), options)?;
    println!("a stand-in host listens on {}", host.address);
    wait_for_ever()
}

/// Runs a stand-in for discovery until the process is ended.
fn run_discovery(hosts: &[String], group: u32) -> io::Result<()> {
    let entries = hosts.iter().enumerate().map(|(i, text)| {
        let (name, address) = text.split_once('=').unwrap_or((text, text));
        let address = address.parse().map_err(|e| io::Error::other(format!("{text}: {e}")))?;
        Ok(HostEntry { name: name.into(), address, group, status: "SERVING", primary: i == 0 })
    });
    let agent = Agent::start(LOOPBACK, entries.collect::<io::Result<Vec<HostEntry>>>()?)?;
    println!("discovery listens on {}", agent.address);
    wait_for_ever()
}

/// Runs the demonstration: stand-ins and the proxy until Ctrl-C, or for one statement if `once`.
fn run_demo(program: &std::path::Path, operator: &std::path::Path, port: u16, once: bool) -> io::Result<()> {
    let operator = std::fs::read_to_string(operator)
        .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", operator.display())))?;
    let group = Group::new();
    let mut hosts = Vec::new();
    for (name, primary, lag_ms) in [("s-1", true, 0), ("s-2", false, 20), ("s-3", false, 120)] {
        let (name, lag) = (name.to_string(), Duration::from_millis(lag_ms));
        hosts.push(Host::start(LOOPBACK, &group, Options { name, primary, lag, ..Options::default() })?);
    }
    let agent = Agent::start(LOOPBACK, hosts.iter().map(|host| HostEntry::serving(host, 3)).collect())?;
    let address = SocketAddr::new(LOOPBACK, port);
    let program = program.display().to_string();
    let proxy = Proxy::start(&[&program], address, agent.address, &settings(), Some(&operator))?;
    println!("The proxy serves on {address}, before a stand-in primary and two replicas. Ask it:\n");
    println!("  psql \"host=127.0.0.1 port={port} user=web dbname=orders sslmode=disable\" \\");
    println!("    -c \"INSERT INTO entries (ref, payload) VALUES ('7f', 'first light')\" \\");
    println!("    -c \"SELECT payload FROM entries WHERE ref = '7f'\"\n");
    println!("Its figures: curl -s http://{}/ops/stats", proxy.console);
    let mut client = Client::connect(address, "web", "orders")?;
    client.query("INSERT INTO entries (ref, payload) VALUES ('demo', 'it serves')")?;
    let answer = client.query("SELECT payload FROM entries WHERE ref = 'demo'")?;
    println!("Asked here: {}", answer.value().unwrap_or("no answer"));
    if once {
        let served = answer.value() == Some("it serves");
        return if served { Ok(()) } else { Err(io::Error::other(format!("{answer:?}"))) };
    }
    println!("Ctrl-C ends all of it.");
    // Waits for a signal instead of ending by it: dropping the proxy then ends its process, which would be left behind otherwise.
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    signals.forever().next();
    drop(proxy);
    Ok(())
}
