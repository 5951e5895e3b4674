//! Simulated days from the command line: many seeds side by side, one replayed, a failing one made smaller. It owns
//! what is printed. It must never touch a day while it runs.

use sillfold_lab::sim::check::Counts;
use sillfold_lab::sim::plan::Plan;
use sillfold_lab::sim::{self, Outcome};
use std::io::{self, IsTerminal, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

/// Prints a seed's day as a plan.
pub fn print_plan(seed: u64) -> io::Result<()> {
    println!("{}", serde_json::to_string_pretty(&Plan::from_seed(seed))?);
    Ok(())
}

/// Simulates a day and prints its trace.
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
        Some((b, step, _)) => {
            let at = b.at as f64 / 1e6;
            Err(io::Error::other(format!(
                "rule broken at {at:.6} s, step {step}: {}: {}",
                b.rule, b.description
            )))
        }
    }
}

/// The seeds from the first to before the second of a text such as `1..101`.
pub fn parse_seed_range(seeds: &str) -> io::Result<(u64, u64)> {
    let ends = seeds.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    ends.ok_or_else(|| io::Error::other(format!("seeds: {seeds:?} is no A..B")))
}

/// Simulates a day for each seed; the first that breaks a rule is made smaller and told.
pub fn run_seeds(seeds: &str, jobs: usize, shrink: usize) -> io::Result<()> {
    let (from, to) = parse_seed_range(seeds)?;
    let (next, done) = (AtomicU64::new(from), Mutex::new(Vec::<(u64, Outcome)>::new()));
    let begun = Instant::now();
    let shows = io::stderr().is_terminal();
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
                    if shows {
                        let failing = done.iter().filter(|d| d.1.broken.is_some()).count();
                        eprint!("\r{} of {} days, {failing} broke a rule ", done.len(), to - from);
                    }
                }
            });
        }
    });
    if shows {
        eprintln!();
    }
    let mut done = done.into_inner().map_err(|_| io::Error::other("a day was left unfinished"))?;
    done.sort_by_key(|d| d.0);
    let mut sum = Counts::default();
    let (mut hash, mut steps) = (0u64, 0);
    for (seed, o) in &done {
        sum.asked += o.counts.asked;
        sum.served += o.counts.served;
        sum.errors += o.counts.errors;
        sum.excused += o.counts.excused;
        sum.attempts += o.counts.attempts;
        hash = (hash ^ o.hash).wrapping_mul(0x0100_0000_01b3);
        steps += o.steps;
        if let Some((b, ..)) = &o.broken {
            println!("seed {seed}: {} at {:.6} s: {}", b.rule, b.at as f64 / 1e6, b.description);
        }
    }
    println!(
        "{} days in {:.1} s, {steps} steps, {sum:?}, hash {hash:016x}",
        done.len(),
        begun.elapsed().as_secs_f64()
    );
    let failing: Vec<&(u64, Outcome)> = done.iter().filter(|d| d.1.broken.is_some()).collect();
    let Some((seed, outcome)) = failing.first() else { return Ok(()) };
    let Some((broken, step, _)) = &outcome.broken else { return Ok(()) };
    println!("\nseed {seed}, step {step}, made smaller:");
    let small = sim::shrink(&Plan::from_seed(*seed), broken.rule, shrink);
    println!("{}", serde_json::to_string_pretty(&small)?);
    if let Some((b, step, about)) = sim::run(&small, false).broken {
        about.iter().for_each(|line| println!("  {line}"));
        println!("  {:.6} step {step}: {}: {}", b.at as f64 / 1e6, b.rule, b.description);
    }
    Err(io::Error::other(format!("{} of {} days broke a rule", failing.len(), done.len())))
}
