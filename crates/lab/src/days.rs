//! Runs simulations from the command line: many seeds in parallel, or the replay of one. A failing plan is shrunk. The
//! module prints the results and calls [`sim::run`]; it must not interfere with a simulation while it runs.

use sillfold_lab::sim::check::Counts;
use sillfold_lab::sim::plan::Plan;
use sillfold_lab::sim::{self, Outcome};
use std::io::{self, IsTerminal, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

/// Prints the simulation plan of a seed as JSON.
pub fn print_plan(seed: u64) -> io::Result<()> {
    println!("{}", serde_json::to_string_pretty(&Plan::from_seed(seed))?);
    Ok(())
}

/// Runs the simulation of a plan and prints its trace, hash and counts; an error if a rule was broken.
pub fn replay(plan: &Plan) -> io::Result<()> {
    let outcome = sim::run(plan, true);
    let mut out = io::BufWriter::new(io::stdout().lock());
    for line in &outcome.trace {
        writeln!(out, "{line}")?;
    }
    writeln!(out, "hash {:016x} of {} lines, {} steps", outcome.hash, outcome.lines, outcome.steps)?;
    writeln!(out, "{:?}", outcome.counts)?;
    out.flush()?;
    match &outcome.broken {
        None => Ok(()),
        Some((broken, step, _)) => {
            let at_s = broken.at as f64 / 1e6;
            Err(io::Error::other(format!(
                "rule broken at {at_s:.6} s, step {step}: {}: {}",
                broken.rule, broken.description
            )))
        }
    }
}

/// Parses a range of seeds such as `1..101`, whose end is exclusive.
pub fn parse_seed_range(seeds: &str) -> io::Result<(u64, u64)> {
    let ends = seeds.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    ends.ok_or_else(|| io::Error::other(format!("seeds: {seeds:?} is not a range A..B")))
}

/// Runs the simulation of each seed of the range in `jobs` threads, and prints the broken rules and the sums. If a rule
/// was broken, shrinks the plan of the lowest failing seed with at most `shrink` runs, prints it and returns an error.
pub fn run_seeds(seeds: &str, jobs: usize, shrink: usize) -> io::Result<()> {
    let (from, to) = parse_seed_range(seeds)?;
    let (next, done) = (AtomicU64::new(from), Mutex::new(Vec::<(u64, Outcome)>::new()));
    let started = Instant::now();
    let shows_progress = io::stderr().is_terminal();
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let outcome = sim::run(&Plan::from_seed(seed), false);
                    let Ok(mut done) = done.lock() else { return };
                    done.push((seed, outcome));
                    if shows_progress {
                        let failing = done.iter().filter(|run| run.1.broken.is_some()).count();
                        eprint!("\r{} of {} simulations, {failing} broke a rule ", done.len(), to - from);
                    }
                }
            });
        }
    });
    if shows_progress {
        eprintln!();
    }
    let mut done = done.into_inner().map_err(|_| io::Error::other("a simulation thread panicked"))?;
    done.sort_by_key(|run| run.0);
    let mut sum = Counts::default();
    let (mut hash, mut steps) = (0u64, 0);
    for (seed, outcome) in &done {
        sum.asked += outcome.counts.asked;
        sum.served += outcome.counts.served;
        sum.errors += outcome.counts.errors;
        sum.excused += outcome.counts.excused;
        sum.attempts += outcome.counts.attempts;
        hash = (hash ^ outcome.hash).wrapping_mul(0x0100_0000_01b3);
        steps += outcome.steps;
        if let Some((broken, ..)) = &outcome.broken {
            println!(
                "seed {seed}: {} at {:.6} s: {}",
                broken.rule,
                broken.at as f64 / 1e6,
                broken.description
            );
        }
    }
    println!(
        "{} simulations in {:.1} s, {steps} steps, {sum:?}, hash {hash:016x}",
        done.len(),
        started.elapsed().as_secs_f64()
    );
    let failing: Vec<&(u64, Outcome)> = done.iter().filter(|run| run.1.broken.is_some()).collect();
    let Some((seed, outcome)) = failing.first() else { return Ok(()) };
    let Some((broken, step, _)) = &outcome.broken else { return Ok(()) };
    println!("\nseed {seed}, step {step}, shrunk plan:");
    let shrunk = sim::shrink(&Plan::from_seed(*seed), broken.rule, shrink);
    println!("{}", serde_json::to_string_pretty(&shrunk)?);
    if let Some((broken, step, trace)) = sim::run(&shrunk, false).broken {
        trace.iter().for_each(|line| println!("  {line}"));
        println!("  {:.6} step {step}: {}: {}", broken.at as f64 / 1e6, broken.rule, broken.description);
    }
    Err(io::Error::other(format!("{} of {} simulations broke a rule", failing.len(), done.len())))
}
