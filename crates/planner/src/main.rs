//! `sillfold-plan`: reads a fleet and a load, calls the model in `sillfold_plan`, and prints the answers as text, as
//! JSON or as a page. The program defines the command line and the wording of the answers. It must not compute an answer
//! itself.

mod page;
mod view;

use clap::{Args, Parser, Subcommand};
use serde::Serialize;
use sillfold_plan::answers::{
    Figure, Loss, Outage, Saturation, Size, WhatIf, has_writes, lose, saturate, size, what_if,
};
use sillfold_plan::fleet::{ClassLoad, Fleet, Load};
use sillfold_plan::model::Scenario;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Capacity planning: which resource saturates first, how many hosts a goal needs, and what an outage does.
#[derive(Parser)]
#[command(version, max_term_width = 110)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Inspect a capture.
    Capture {
        #[command(subcommand)]
        command: CaptureCommand,
    },
    /// Check a fleet's description, or print the schemas of the input files.
    Check {
        /// The fleet's description, JSON5.
        #[arg(required_unless_present = "schema")]
        fleet: Option<PathBuf>,
        /// Print the schemas of fleet and load instead of checking a file.
        #[arg(long)]
        schema: bool,
    },
    /// Print the resource that saturates first, at what multiple of the load, and the next three.
    Saturate(QuestionArgs),
    /// Print the fewest hosts of each group that meet the goal.
    Size(QuestionArgs),
    /// Print what an outage leaves served in time, and whether the fleet recovers once the lost hosts return.
    Lose {
        #[command(flatten)]
        asked: QuestionArgs,
        /// All hosts of this zone (machine room).
        #[arg(long, conflicts_with_all = ["kind", "primary"], required_unless_present_any = ["kind", "primary"])]
        room: Option<String>,
        /// All hosts of this machine type.
        #[arg(long, conflicts_with = "primary")]
        kind: Option<String>,
        /// The busiest primary.
        #[arg(long)]
        primary: bool,
    },
    /// Print what is served in time under a changed load (--times, --class, --apply).
    WhatIf(QuestionArgs),
    /// Compare two fleets under the same load.
    Compare {
        #[command(flatten)]
        asked: QuestionArgs,
        /// The other fleet.
        #[arg(long)]
        other: PathBuf,
    },
    /// Show the utilization of resources in the terminal: the left and right keys change the load, q quits.
    View {
        #[command(flatten)]
        asked: QuestionArgs,
        /// Print the view once and exit.
        #[arg(long)]
        once: bool,
    },
}

#[derive(Subcommand)]
enum CaptureCommand {
    /// Print a summary of a capture. The exit code is 1 if the capture is damaged; the summary then covers the records
    /// before the damage.
    Show {
        /// The capture's file.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// The arguments of every question.
#[derive(Args)]
struct QuestionArgs {
    /// The fleet's description, JSON5.
    #[arg(long)]
    fleet: PathBuf,
    /// The load, JSON5, written by hand.
    #[arg(long, required_unless_present = "capture", conflicts_with = "capture")]
    load: Option<PathBuf>,
    /// The load as captured. The loads of several files add up: of one proxy each, or of one period after another.
    #[arg(long)]
    capture: Vec<PathBuf>,
    /// The time that a replica takes to apply one write, in milliseconds: captures do not contain it.
    #[arg(long)]
    apply_ms: Option<f64>,
    /// The captures are of several proxies over the same time, and their rates add up; otherwise their durations do.
    #[arg(long)]
    side_by_side: bool,
    /// The share of each class to serve in time, below 1.
    #[arg(long, default_value_t = 0.95)]
    goal: f64,
    /// Multiple of the load.
    #[arg(long, default_value_t = 1.0)]
    times: f64,
    /// Multiple of the load of one class, as NAME=TIMES.
    #[arg(long, value_name = "NAME=TIMES")]
    class: Vec<String>,
    /// Multiple of the time that a replica takes to apply a write.
    #[arg(long, default_value_t = 1.0)]
    apply: f64,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Also write an HTML page with plots.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// The input of a question, and notes on it for the answer.
struct Input {
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

/// A list of one error message.
fn one_error(error: impl ToString) -> Vec<String> {
    vec![error.to_string()]
}

/// Reads and checks a fleet; each error names the file, the place and the key.
fn read_fleet(path: &Path) -> Result<Fleet, Vec<String>> {
    let text = sillfold_conf::read_text(path).map_err(one_error)?;
    let name = path.display().to_string();
    let fleet: Fleet = sillfold_conf::parse(&name, &text)?;
    let locate = |error: &String| {
        let key = error.split(": ").next().unwrap_or("");
        format!("{name}:{}: {error}", sillfold_conf::locate(&text, key))
    };
    let errors: Vec<String> = fleet.inconsistencies().iter().map(locate).collect();
    if errors.is_empty() { Ok(fleet) } else { Err(errors) }
}

/// Reads the load from captures, and adds a note for each damaged one.
fn captured_load(
    files: &[PathBuf], side_by_side: bool, notes: &mut Vec<String>,
) -> Result<Load, Vec<String>> {
    let mut seconds: f64 = 0.0;
    let mut classes: BTreeMap<String, (f64, f64, f64, u64)> = BTreeMap::new();
    let mut groups: BTreeMap<u32, f64> = BTreeMap::new();
    for file in files {
        let bytes = std::fs::read(file).map_err(|e| one_error(format!("{}: {e}", file.display())))?;
        let (capture, fault) =
            sillfold_capture::parse(&bytes).map_err(|f| one_error(format!("{}: {f}", file.display())))?;
        notes.extend(fault.map(|f| format!("{}: {f}; what is before counts", file.display())));
        let sum = capture.summary();
        seconds = if side_by_side { seconds.max(sum.seconds) } else { seconds + sum.seconds };
        for (name, t) in sum.classes {
            let c = classes.entry(name).or_default();
            // The arrivals, the first and second moments of the service time (weighted by samples), and the samples.
            c.0 += t.arrived as f64;
            c.1 += t.mean_us * t.samples as f64;
            c.2 += t.mean_us * t.mean_us * (1.0 + t.cv2) * t.samples as f64;
            c.3 += t.samples;
        }
        sum.groups.iter().for_each(|(g, n)| *groups.entry(*g).or_default() += *n as f64);
    }
    if seconds <= 0.0 {
        return Err(one_error("the captures cover no time"));
    }
    let load = classes.into_iter().filter(|c| c.1.3 > 0).map(
        |(name, (arrivals, first_moment, second_moment, samples))| {
            let n = samples as f64;
            let mean = first_moment / n;
            let cv2 = (second_moment / n / (mean * mean) - 1.0).max(0.0);
            (name, ClassLoad { per_s: arrivals / seconds, mean_ms: mean / 1e3, cv2, samples })
        },
    );
    Ok(Load { seconds, classes: load.collect(), apply_ms: 0.0, groups })
}

impl QuestionArgs {
    /// Reads the fleet, the load and the scenario, and checks the arguments.
    fn read(&self) -> Result<Input, Vec<String>> {
        let mut notes = Vec::new();
        let fleet = read_fleet(&self.fleet)?;
        let mut load = match &self.load {
            Some(path) => {
                let text = sillfold_conf::read_text(path).map_err(one_error)?;
                sillfold_conf::parse(&path.display().to_string(), &text)?
            }
            None => captured_load(&self.capture, self.side_by_side, &mut notes)?,
        };
        if let Some(apply_ms) = self.apply_ms {
            load.apply_ms = apply_ms;
        }
        if load.apply_ms <= 0.0 && has_writes(&fleet, &load) {
            notes.push(
                "nothing tells what applying a write takes (--apply-ms): the apply thread is left out".into(),
            );
        }
        notes.extend(fleet.load_warnings(&load));
        let mut scenario = Scenario { load: self.times, apply: self.apply, ..Scenario::default() };
        for text in &self.class {
            let parsed = text.split_once('=').and_then(|(n, t)| Some((n, t.parse::<f64>().ok()?)));
            let (name, times) =
                parsed.ok_or_else(|| one_error(format!("--class {text:?}: expected NAME=TIMES")))?;
            if !load.classes.contains_key(name) {
                return Err(one_error(format!("--class {text:?}: the load has no such class")));
            }
            scenario.classes.insert(name.into(), times);
        }
        let is_valid = |x: f64| x.is_finite() && x > 0.0;
        if !is_valid(self.times) || !is_valid(self.apply) || !(0.0..1.0).contains(&self.goal) {
            return Err(one_error(
                "--times and --apply must be greater than 0, and --goal must be at least 0 and below 1",
            ));
        }
        Ok(Input { fleet, load, scenario, notes })
    }

    /// Prints an answer with its notes, as JSON or by `print_text`, and writes the page if it is asked for.
    fn print_answer<T: Serialize>(
        &self, input: &Input, answer: &T, print_text: impl Fn(&T),
    ) -> Result<(), Vec<String>> {
        if self.json {
            let output = serde_json::json!({"answer": answer, "notes": input.notes});
            println!("{output}");
        } else {
            input.notes.iter().for_each(|n| println!("note: {n}"));
            print_text(answer);
        }
        if let Some(path) = &self.html {
            let page = page::page(&input.fleet, &input.load, &input.scenario, self.goal, &input.notes)
                .map_err(one_error)?;
            std::fs::write(path, page).map_err(|e| one_error(format!("{}: {e}", path.display())))?;
        }
        Ok(())
    }
}

fn format_multiple(f: &Figure) -> String {
    format!("{:.2} times ({:.2} to {:.2}), hangs most on {}", f.value, f.low.max(0.0), f.high, f.hangs_on)
}

fn format_percent(f: &Figure) -> String {
    let to_percent = |x: f64| 100.0 * x.clamp(0.0, 1.0);
    format!(
        "{:.1} % ({:.1} to {:.1}), hangs most on {}",
        to_percent(f.value),
        to_percent(f.low),
        to_percent(f.high),
        f.hangs_on
    )
}

fn print_saturation(s: &Saturation) {
    for (i, l) in s.limits.iter().enumerate() {
        println!("{}. {} of {}: {}", i + 1, l.resource, l.of, format_multiple(&l.times));
    }
    println!("the goal is missed first in group {}: {}", s.goal_group, format_multiple(&s.goal));
    match s.trap {
        Some(at) => {
            println!("from {at:.2} times on there is a worse state which it does not leave by itself")
        }
        None => println!("it has one state at each load: it comes back by itself"),
    }
}

fn print_sizes(sizes: &[Size]) {
    for s in sizes {
        match (s.needs, &s.bound_by) {
            (Some(n), _) => {
                let format_end = |x: Option<u32>| x.map_or("no number".into(), |x| x.to_string());
                println!(
                    "group {}: {n} hosts ({} to {}), has {}; hangs most on {}",
                    s.group,
                    format_end(s.low),
                    format_end(s.high),
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

fn print_loss(l: &Loss) {
    println!("{} hosts are gone", l.hosts);
    if !l.groups_gone.is_empty() {
        println!("nothing is left of groups {:?}", l.groups_gone);
    }
    if !l.primaries_gone.is_empty() {
        println!("groups {:?} have to find another primary, and take no writes meanwhile", l.primaries_gone);
    }
    println!("served in time, by worth: {}", format_percent(&l.served));
    match l.back_after_s {
        Some(s) => println!("once they are back, cold: nine tenths of before after {s:.1} s"),
        None => println!("once they are back, cold: it does not come back by itself"),
    }
}

fn print_what_if(w: &WhatIf) {
    println!("served in time, by worth: {}", format_percent(&w.worth));
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
        Command::Capture { command: CaptureCommand::Show { file, json } } => {
            return show_capture(&file, json);
        }
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
            let input = asked.read()?;
            let answer = saturate(&input.fleet, &input.load, asked.goal, &input.scenario);
            asked.print_answer(&input, &answer, print_saturation)?;
        }
        Command::Size(asked) => {
            let input = asked.read()?;
            let answer = size(&input.fleet, &input.load, asked.goal, &input.scenario);
            asked.print_answer(&input, &answer, |a| print_sizes(a))?;
        }
        Command::Lose { asked, room, kind, .. } => {
            let input = asked.read()?;
            let lost = match (room, kind) {
                (Some(room), _) if input.fleet.rooms.contains(&room) => Outage::Zone(room),
                (Some(room), _) => return Err(one_error(format!("the fleet has no room {room:?}"))),
                (_, Some(kind)) if input.fleet.kinds.contains_key(&kind) => Outage::HostType(kind),
                (_, Some(kind)) => return Err(one_error(format!("the fleet has no kind {kind:?}"))),
                _ => Outage::BusiestPrimary,
            };
            let answer = lose(&input.fleet, &input.load, &lost, &input.scenario);
            asked.print_answer(&input, &answer, print_loss)?;
        }
        Command::WhatIf(asked) => {
            let input = asked.read()?;
            let answer = what_if(&input.fleet, &input.load, &input.scenario);
            asked.print_answer(&input, &answer, print_what_if)?;
        }
        Command::Compare { asked, other } => {
            let input = asked.read()?;
            let other = read_fleet(&other)?;
            let answers = |f: &Fleet| {
                let s = saturate(f, &input.load, asked.goal, &input.scenario);
                (s, what_if(f, &input.load, &input.scenario))
            };
            let (a, b) = (answers(&input.fleet), answers(&other));
            let answer = serde_json::json!({
                "a": {"saturate": a.0, "what_if": a.1}, "b": {"saturate": b.0, "what_if": b.1}
            });
            asked.print_answer(&input, &answer, |_| {
                for (name, (s, w)) in [("A", &a), ("B", &b)] {
                    println!("{name}:");
                    print_saturation(s);
                    println!("served in time, by worth: {}", format_percent(&w.worth));
                }
                println!("B bears {:.2} times what A does", b.0.goal.value / a.0.goal.value.max(1e-9));
            })?;
        }
        Command::View { asked, once } => {
            let input = asked.read()?;
            view::run(&input.fleet, &input.load, &input.scenario, once).map_err(one_error)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a summary of a capture. A damaged capture fails after the summary of its intact records.
fn show_capture(file: &Path, json: bool) -> Result<ExitCode, Vec<String>> {
    let bytes = std::fs::read(file).map_err(|e| one_error(format!("{}: {e}", file.display())))?;
    let (capture, fault) =
        sillfold_capture::parse(&bytes).map_err(|f| one_error(format!("{}: {f}", file.display())))?;
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
            eprintln!(
                "sillfold-plan: {}: {fault}; the summary covers the records before the damage",
                file.display()
            );
            Ok(ExitCode::FAILURE)
        }
        None => Ok(ExitCode::SUCCESS),
    }
}
