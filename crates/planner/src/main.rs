//! `sillfold-plan`: reads a fleet and a load, asks the model, and prints what it answers. It owns the command line and
//! the words. It must never compute an answer itself.

mod page;
mod view;

use clap::{Args, Parser, Subcommand};
use serde::Serialize;
use sillfold_plan::answers::{
    Figure, Loss, Lost, Saturation, Size, WhatIf, has_writes, lose, saturate, size, what_if,
};
use sillfold_plan::fleet::{ClassLoad, Fleet, Load};
use sillfold_plan::model::Scenario;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What breaks first, how many hosts a goal needs, and what a loss does.
#[derive(Parser)]
#[command(version, max_term_width = 110)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Look into a capture.
    Capture {
        #[command(subcommand)]
        command: CaptureCommand,
    },
    /// Check a fleet's description, or print its schema.
    Check {
        /// The description, JSON5.
        #[arg(required_unless_present = "schema")]
        fleet: Option<PathBuf>,
        /// Print the schemas of fleet and load instead.
        #[arg(long)]
        schema: bool,
    },
    /// What saturates first, at what multiple of the load, and the next three.
    Saturate(Asked),
    /// The fewest hosts of each group that meet the goal.
    Size(Asked),
    /// What is served when something is lost, and whether all comes back.
    Lose {
        #[command(flatten)]
        asked: Asked,
        /// A machine room.
        #[arg(long, conflicts_with_all = ["kind", "primary"], required_unless_present_any = ["kind", "primary"])]
        room: Option<String>,
        /// All hosts of a kind.
        #[arg(long, conflicts_with = "primary")]
        kind: Option<String>,
        /// The primary that is busiest.
        #[arg(long)]
        primary: bool,
    },
    /// What is served under a change.
    WhatIf(Asked),
    /// Two fleets under the same load.
    Compare {
        #[command(flatten)]
        asked: Asked,
        /// The other fleet.
        #[arg(long)]
        other: PathBuf,
    },
    /// Load against limits in the terminal: left and right change the load, q ends.
    View {
        #[command(flatten)]
        asked: Asked,
        /// Print one picture and end.
        #[arg(long)]
        once: bool,
    },
}

#[derive(Subcommand)]
enum CaptureCommand {
    /// Print what a capture holds; exit code 1 if it is torn, with all before the tear.
    Show {
        /// The capture.
        file: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

/// What every question needs.
#[derive(Args)]
struct Asked {
    /// The fleet's description, JSON5.
    #[arg(long)]
    fleet: PathBuf,
    /// The load, JSON5, written by hand.
    #[arg(long, required_unless_present = "capture", conflicts_with = "capture")]
    load: Option<PathBuf>,
    /// The load as captured; several files, of one proxy each or one after the other, add up.
    #[arg(long)]
    capture: Vec<PathBuf>,
    /// What applying one write takes at a replica, in milliseconds: no capture tells it.
    #[arg(long)]
    apply_ms: Option<f64>,
    /// Captures are of proxies at the same time, and their rates add up; else their times do.
    #[arg(long)]
    side_by_side: bool,
    /// The share of each class that is to be served in time.
    #[arg(long, default_value_t = 0.95)]
    goal: f64,
    /// The load so many times.
    #[arg(long, default_value_t = 1.0)]
    times: f64,
    /// One class so many times, as NAME=TIMES.
    #[arg(long, value_name = "NAME=TIMES")]
    class: Vec<String>,
    /// Applying a write takes so many times as long.
    #[arg(long, default_value_t = 1.0)]
    apply: f64,
    /// As JSON.
    #[arg(long)]
    json: bool,
    /// Also write a page with plots.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// What was read: a fleet, a load, and what to say about both.
struct Read {
    fleet: Fleet,
    load: Load,
    scenario: Scenario,
    notes: Vec<String>,
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code,
        Err(lines) => {
            lines.iter().for_each(|l| eprintln!("sillfold-plan: {l}"));
            ExitCode::from(2)
        }
    }
}

fn one(what: impl ToString) -> Vec<String> {
    vec![what.to_string()]
}

fn read_fleet(path: &Path) -> Result<Fleet, Vec<String>> {
    let text = sillfold_conf::read_text(path).map_err(one)?;
    let name = path.display().to_string();
    let fleet: Fleet = sillfold_conf::parse(&name, &text)?;
    let place = |fault: &String| {
        let key = fault.split(": ").next().unwrap_or("");
        format!("{name}:{}: {fault}", sillfold_conf::locate(&text, key))
    };
    let faults: Vec<String> = fleet.faults().iter().map(place).collect();
    if faults.is_empty() { Ok(fleet) } else { Err(faults) }
}

/// The load that captures hold, and a note for each that is torn.
fn captured(files: &[PathBuf], side_by_side: bool, notes: &mut Vec<String>) -> Result<Load, Vec<String>> {
    let mut seconds: f64 = 0.0;
    let mut classes: BTreeMap<String, (f64, f64, f64, u64)> = BTreeMap::new();
    let mut groups: BTreeMap<u32, f64> = BTreeMap::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|e| one(format!("{}: {e}", file.display())))?;
        let (capture, fault) =
            sillfold_capture::parse(&bytes).map_err(|f| one(format!("{}: {f}", file.display())))?;
        notes.extend(fault.map(|f| format!("{}: {f}; what is before counts", file.display())));
        let sum = capture.summary();
        seconds = if side_by_side { seconds.max(sum.seconds) } else { seconds + sum.seconds };
        for (name, t) in sum.classes {
            let c = classes.entry(name).or_default();
            // Rate as a count; moments weigh by samples.
            c.0 += t.arrived as f64;
            c.1 += t.mean_us * t.samples as f64;
            c.2 += t.mean_us * t.mean_us * (1.0 + t.cv2) * t.samples as f64;
            c.3 += t.samples;
        }
        sum.groups.iter().for_each(|(g, n)| *groups.entry(*g).or_default() += *n as f64);
    }
    if seconds <= 0.0 {
        return Err(one("the captures hold no time at all"));
    }
    let load = classes.into_iter().filter(|c| c.1.3 > 0).map(|(name, (count, first, second, samples))| {
        let n = samples as f64;
        let mean = first / n;
        let cv2 = (second / n / (mean * mean) - 1.0).max(0.0);
        (name, ClassLoad { per_s: count / seconds, mean_ms: mean / 1e3, cv2, samples })
    });
    Ok(Load { seconds, classes: load.collect(), apply_ms: 0.0, groups })
}

impl Asked {
    fn read(&self) -> Result<Read, Vec<String>> {
        let mut notes = Vec::new();
        let fleet = read_fleet(&self.fleet)?;
        let mut load = match &self.load {
            Some(path) => {
                let text = sillfold_conf::read_text(path).map_err(one)?;
                sillfold_conf::parse(&path.display().to_string(), &text)?
            }
            None => captured(&self.capture, self.side_by_side, &mut notes)?,
        };
        if let Some(apply_ms) = self.apply_ms {
            load.apply_ms = apply_ms;
        }
        if load.apply_ms <= 0.0 && has_writes(&fleet, &load) {
            notes.push(
                "nothing tells what applying a write takes (--apply-ms): the apply thread is left out".into(),
            );
        }
        notes.extend(fleet.contradictions(&load));
        let mut scenario = Scenario { load: self.times, apply: self.apply, ..Scenario::default() };
        for text in &self.class {
            let parsed = text.split_once('=').and_then(|(n, t)| Some((n, t.parse::<f64>().ok()?)));
            let (name, times) = parsed.ok_or_else(|| one(format!("--class {text:?} is no NAME=TIMES")))?;
            if !load.classes.contains_key(name) {
                return Err(one(format!("--class {text:?}: the load has no such class")));
            }
            scenario.classes.insert(name.into(), times);
        }
        let sound = |x: f64| x.is_finite() && x > 0.0;
        if !sound(self.times) || !sound(self.apply) || !(0.0..1.0).contains(&self.goal) {
            return Err(one("--times and --apply are over 0, --goal is under 1"));
        }
        Ok(Read { fleet, load, scenario, notes })
    }

    fn answer<T: Serialize>(&self, read: &Read, answer: &T, text: impl Fn(&T)) -> Result<(), Vec<String>> {
        if self.json {
            let whole = serde_json::json!({"answer": answer, "notes": read.notes});
            println!("{whole}");
        } else {
            read.notes.iter().for_each(|n| println!("note: {n}"));
            text(answer);
        }
        if let Some(path) = &self.html {
            let page =
                page::page(&read.fleet, &read.load, &read.scenario, self.goal, &read.notes).map_err(one)?;
            std::fs::write(path, page).map_err(|e| one(format!("{}: {e}", path.display())))?;
        }
        Ok(())
    }
}

fn times(f: &Figure) -> String {
    format!("{:.2} times ({:.2} to {:.2}), hangs most on {}", f.value, f.low.max(0.0), f.high, f.hangs_on)
}

fn percent(f: &Figure) -> String {
    let p = |x: f64| 100.0 * x.clamp(0.0, 1.0);
    format!("{:.1} % ({:.1} to {:.1}), hangs most on {}", p(f.value), p(f.low), p(f.high), f.hangs_on)
}

fn say_saturation(s: &Saturation) {
    for (i, l) in s.limits.iter().enumerate() {
        println!("{}. {} of {}: {}", i + 1, l.resource, l.of, times(&l.times));
    }
    println!("the goal is missed first in group {}: {}", s.goal_group, times(&s.goal));
    match s.trap {
        Some(at) => {
            println!("from {at:.2} times on there is a worse state which it does not leave by itself")
        }
        None => println!("it has one state at each load: it comes back by itself"),
    }
}

fn say_sizes(sizes: &[Size]) {
    for s in sizes {
        match (s.needs, &s.bound_by) {
            (Some(n), _) => {
                let end = |x: Option<u32>| x.map_or("no number".into(), |x| x.to_string());
                println!(
                    "group {}: {n} hosts ({} to {}), has {}; hangs most on {}",
                    s.group,
                    end(s.low),
                    end(s.high),
                    s.has,
                    s.hangs_on
                );
            }
            (None, why) => {
                println!(
                    "group {}: no number of replicas will do: {}",
                    s.group,
                    why.as_deref().unwrap_or("")
                );
            }
        }
    }
}

fn say_loss(l: &Loss) {
    println!("{} hosts are gone", l.hosts);
    if !l.groups_gone.is_empty() {
        println!("nothing is left of groups {:?}", l.groups_gone);
    }
    if !l.primaries_gone.is_empty() {
        println!("groups {:?} have to find another primary, and take no writes meanwhile", l.primaries_gone);
    }
    println!("served in time, by worth: {}", percent(&l.served));
    match l.back_after_s {
        Some(s) => println!("once they are back, cold: nine tenths of before after {s:.1} s"),
        None => println!("once they are back, cold: it does not come back by itself"),
    }
}

fn say_what_if(w: &WhatIf) {
    println!("served in time, by worth: {}", percent(&w.worth));
    for (class, share) in &w.classes {
        println!("  {class}: {:.1} % in the group where it is lowest", 100.0 * share);
    }
    println!("busiest: {} of {}, {:.0} %", w.busiest.0, w.busiest.1, 100.0 * w.busiest.2);
    println!("bounded reads for which replicas are too far behind: {:.1} %", 100.0 * w.out_of_bound);
    println!("tries for each first one: {:.2}", w.amplification);
    if !w.trapped.is_empty() {
        println!("groups {:?} have a worse state which they would not leave by themselves", w.trapped);
    }
}

fn run(command: Command) -> Result<ExitCode, Vec<String>> {
    match command {
        Command::Capture { command: CaptureCommand::Show { file, json } } => return show(&file, json),
        Command::Check { schema: true, .. } => {
            let schemas = serde_json::json!({
                "fleet": schemars::schema_for!(Fleet), "load": schemars::schema_for!(Load)
            });
            println!("{schemas:#}");
        }
        Command::Check { fleet, .. } => {
            let path = fleet.unwrap_or_default();
            let fleet = read_fleet(&path)?;
            println!("{}: sound; {} hosts in {} groups", path.display(), fleet.hosts(), fleet.groups.len());
        }
        Command::Saturate(asked) => {
            let read = asked.read()?;
            let answer = saturate(&read.fleet, &read.load, asked.goal, &read.scenario);
            asked.answer(&read, &answer, say_saturation)?;
        }
        Command::Size(asked) => {
            let read = asked.read()?;
            let answer = size(&read.fleet, &read.load, asked.goal, &read.scenario);
            asked.answer(&read, &answer, |a| say_sizes(a))?;
        }
        Command::Lose { asked, room, kind, .. } => {
            let read = asked.read()?;
            let lost = match (room, kind) {
                (Some(room), _) if read.fleet.rooms.contains(&room) => Lost::Room(room),
                (Some(room), _) => return Err(one(format!("the fleet has no room {room:?}"))),
                (_, Some(kind)) if read.fleet.kinds.contains_key(&kind) => Lost::Kind(kind),
                (_, Some(kind)) => return Err(one(format!("the fleet has no kind {kind:?}"))),
                _ => Lost::BusiestPrimary,
            };
            let answer = lose(&read.fleet, &read.load, &lost, &read.scenario);
            asked.answer(&read, &answer, say_loss)?;
        }
        Command::WhatIf(asked) => {
            let read = asked.read()?;
            let answer = what_if(&read.fleet, &read.load, &read.scenario);
            asked.answer(&read, &answer, say_what_if)?;
        }
        Command::Compare { asked, other } => {
            let read = asked.read()?;
            let other = read_fleet(&other)?;
            let of = |f: &Fleet| {
                let s = saturate(f, &read.load, asked.goal, &read.scenario);
                (s, what_if(f, &read.load, &read.scenario))
            };
            let (a, b) = (of(&read.fleet), of(&other));
            let answer = serde_json::json!({
                "a": {"saturate": a.0, "what_if": a.1}, "b": {"saturate": b.0, "what_if": b.1}
            });
            asked.answer(&read, &answer, |_| {
                for (name, (s, w)) in [("A", &a), ("B", &b)] {
                    println!("{name}:");
                    say_saturation(s);
                    println!("served in time, by worth: {}", percent(&w.worth));
                }
                println!("B bears {:.2} times what A does", b.0.goal.value / a.0.goal.value.max(1e-9));
            })?;
        }
        Command::View { asked, once } => {
            let read = asked.read()?;
            view::run(&read.fleet, &read.load, &read.scenario, once).map_err(one)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn show(file: &Path, json: bool) -> Result<ExitCode, Vec<String>> {
    let bytes = std::fs::read(file).map_err(|e| one(format!("{}: {e}", file.display())))?;
    let (capture, fault) =
        sillfold_capture::parse(&bytes).map_err(|f| one(format!("{}: {f}", file.display())))?;
    let sum = capture.summary();
    if json {
        println!("{}", serde_json::json!({"header": capture.header, "summary": sum}));
    } else {
        println!(
            "{} from {} ms on, {:.0} s, {} records",
            capture.header.name,
            capture.header.started_ms,
            sum.seconds,
            capture.records.len()
        );
        for (name, t) in &sum.classes {
            println!(
                "  {name}: {} requests, {:.2} tries each, {:.1} % unserved, {:.1} % of tries missed, mean {:.1} ms, p95 {:.1} ms, cv2 {:.2}",
                t.arrived,
                t.tries,
                100.0 * t.unserved,
                100.0 * t.missed,
                t.mean_us / 1e3,
                t.p95_us / 1e3,
                t.cv2
            );
        }
        for (group, n) in &sum.groups {
            println!("  group {group}: {n} requests");
        }
        for (shape, n, us) in sum.shapes.iter().take(10) {
            println!("  shape {shape}: {n} times, mean {:.1} ms", us / 1e3);
        }
    }
    match fault {
        Some(fault) => {
            eprintln!("sillfold-plan: {}: {fault}; what is before is whole", file.display());
            Ok(ExitCode::FAILURE)
        }
        None => Ok(ExitCode::SUCCESS),
    }
}
