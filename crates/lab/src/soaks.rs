//! The command `soak`: runs a range of seeds, prints a line for each run, and then the sums. The logs of a run that broke a
//! rule are kept.

use crate::days::parse_seed_range;
use sillfold_lab::soak::{self, Options, Report};
use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

/// Violations of one run that are printed at most.
const MAX_PRINTED_VIOLATIONS: usize = 12;

/// Runs all seeds of a range such as `1..4`, `jobs` at a time. Returns an error if a run broke a rule.
pub fn many(seeds: &str, jobs: usize, options: &Options) -> io::Result<()> {
    let (first, end) = parse_seed_range(seeds)?;
    let next_seed = AtomicU64::new(first);
    let reports = Mutex::new(Vec::new());
    let started = Instant::now();
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let report = soak::run(seed, options).unwrap_or_else(|e| Report {
                        seed,
                        violations: vec![format!("the run itself failed: {e}")],
                        ..Report::default()
                    });
                    print(&report);
                    if let Ok(mut reports) = reports.lock() {
                        reports.push(report);
                    }
                }
            });
        }
    });
    let reports = reports.into_inner().map_err(|_| io::Error::other("a run panicked"))?;
    let broken_runs = reports.iter().filter(|report| !report.violations.is_empty()).count();
    let processes: u64 = reports.iter().map(|report| report.process_count).sum();
    println!(
        "{} runs in {:.0} s, {processes} processes, {broken_runs} broke a rule",
        reports.len(),
        started.elapsed().as_secs_f64()
    );
    println!("ends: {:?}", sum(reports.iter().map(|report| &report.ends)));
    println!("troubles: {:?}", sum(reports.iter().map(|report| &report.troubles)));
    println!("failing calls met: {:?}", sum(reports.iter().map(|report| &report.faults)));
    if broken_runs > 0 { Err(io::Error::other(format!("{broken_runs} runs broke a rule"))) } else { Ok(()) }
}

/// Adds up the counts of all runs, by name.
fn sum<'a>(all: impl Iterator<Item = &'a BTreeMap<String, u64>>) -> BTreeMap<String, u64> {
    let mut sum = BTreeMap::new();
    all.flatten().for_each(|(name, count)| *sum.entry(name.clone()).or_default() += count);
    sum
}

/// Prints the line of a run, and its first violations.
fn print(report: &Report) {
    let Report { seed, process_count, ends, max_observer_delay_ms, violations, .. } = report;
    let verdict = if violations.is_empty() { "kept".into() } else { format!("{} broken", violations.len()) };
    println!(
        "seed {seed}: {verdict}, {process_count} processes, held up {max_observer_delay_ms} ms, {ends:?}"
    );
    violations.iter().take(MAX_PRINTED_VIOLATIONS).for_each(|line| println!("    {line}"));
}
