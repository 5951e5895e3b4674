//! The command `soak`: many runs, a line for each, and their sums. A run that broke a rule leaves its logs behind.

use crate::days::parse_seed_range;
use sillfold_lab::soak::{self, Options, Report};
use std::collections::BTreeMap;
use std::io;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

/// Broken rules of one run that are printed.
const MOST_LINES: usize = 12;

/// Runs these seeds, so many at the same time; an error where one broke a rule.
pub fn many(seeds: &str, jobs: usize, options: &Options) -> io::Result<()> {
    let (from, to) = parse_seed_range(seeds)?;
    let (next, reports, begun) = (AtomicU64::new(from), Mutex::new(Vec::new()), Instant::now());
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let report = soak::run(seed, options).unwrap_or_else(|e| Report {
                        seed,
                        broken: vec![format!("the run itself failed: {e}")],
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
    let reports = reports.into_inner().map_err(|_| io::Error::other("a run was left unfinished"))?;
    let broken = reports.iter().filter(|r| !r.broken.is_empty()).count();
    let processes: u64 = reports.iter().map(|r| r.processes).sum();
    println!(
        "{} runs in {:.0} s, {processes} processes, {broken} broke a rule",
        reports.len(),
        begun.elapsed().as_secs_f64()
    );
    println!("ends: {:?}", sum(reports.iter().map(|r| &r.ends)));
    println!("troubles: {:?}", sum(reports.iter().map(|r| &r.troubles)));
    println!("failing calls met: {:?}", sum(reports.iter().map(|r| &r.faults)));
    if broken > 0 { Err(io::Error::other(format!("{broken} runs broke a rule"))) } else { Ok(()) }
}

fn sum<'a>(all: impl Iterator<Item = &'a BTreeMap<String, u64>>) -> BTreeMap<String, u64> {
    let mut sum = BTreeMap::new();
    all.flatten().for_each(|(what, n)| *sum.entry(what.clone()).or_default() += n);
    sum
}

fn print(report: &Report) {
    let Report { seed, processes, ends, held_up_ms, broken, .. } = report;
    let verdict = if broken.is_empty() { "kept".into() } else { format!("{} broken", broken.len()) };
    println!("seed {seed}: {verdict}, {processes} processes, held up {held_up_ms} ms, {ends:?}");
    broken.iter().take(MOST_LINES).for_each(|line| println!("    {line}"));
}
