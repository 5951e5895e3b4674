//! The true saturation of a fleet, by experiment: stand-in hosts with cores, slots and one apply thread, the real proxy
//! before them, and load that comes at its own times whatever becomes of it. Beside it stands what the planner says.

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use sillfold_lab::{
    Agent, Capacity, Client, Group, Host, HostEntry, Options, Proxy, loopback_address, settings,
};
use sillfold_plan::answers::max_load_multiple;
use sillfold_plan::fleet::{Access, Fleet, Load};
use sillfold_plan::model::Scenario;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Seconds of each load that do not count: the proxy learns what hosts can do.
const WARM: f64 = 2.0;
/// Sessions over which the load comes.
const CLIENTS: usize = 160;

/// How an experiment is made.
#[derive(Clone, Copy)]
pub struct Plan {
    pub goal: f64,
    pub seconds: f64,
    pub steps: u32,
    pub seed: u64,
}

/// What became of a class: in time, asked, and response times in microseconds.
type Seen = BTreeMap<String, (u64, u64, Histogram<u64>)>;

/// One request: when it is due, and its class.
struct Due {
    at: Instant,
    counts: bool,
    class: String,
    number: usize,
}

fn read<T: sillfold_conf::Configuration>(path: &Path) -> io::Result<T> {
    let text = sillfold_conf::read_text(path).map_err(io::Error::other)?;
    sillfold_conf::parse(&path.display().to_string(), &text).map_err(|e| io::Error::other(e.join("; ")))
}

/// The proxy's settings for a fleet's classes.
fn settings_of(fleet: &Fleet) -> serde_json::Value {
    let mut s = settings();
    let (mut classes, mut reads, mut bounds) = (Vec::new(), Vec::new(), Vec::new());
    for (name, c) in &fleet.classes {
        let effect = if c.access == Access::Write { "dedup" } else { "retryable" };
        classes.push(serde_json::json!({
            "name": name, "deadlineUs": c.goal_ms * 2e3, "effect": effect, "dedupScope": "cell",
            "dedupWindowUs": 1.2e6, "sloUs": c.goal_ms * 1e3, "worth": c.worth
        }));
        reads.push(match c.access {
            Access::Write => "mutate",
            Access::Bounded => "lag_bound",
            Access::Any => "eventual",
        });
        bounds.push(if c.access == Access::Bounded { c.bound_ms * 1e3 } else { 0.0 });
    }
    s["classes"] = classes.into();
    s["familyInfo"]["classRead"] = serde_json::json!(reads);
    s["familyInfo"]["stalenessBoundUs"] = serde_json::json!(bounds);
    s["familyInfo"]["positions"] = true.into();
    s
}

fn start(fleet: &Fleet, load: &Load, seed: u64) -> io::Result<(Vec<Host>, Agent)> {
    let (mut hosts, mut entries) = (Vec::new(), Vec::new());
    let work: BTreeMap<String, (f64, f64)> =
        load.classes.iter().map(|(n, c)| (n.clone(), (c.mean_ms, c.cv2))).collect();
    for g in &fleet.groups {
        let group = Group::new();
        for m in &g.members {
            let kind = &fleet.kinds[&m.kind];
            for _ in 0..m.count {
                let capacity = Capacity {
                    cores: kind.cores,
                    slots: kind.cores * 8,
                    connections: kind.connections,
                    work: work.iter().map(|(n, w)| (n.clone(), (w.0 / kind.speed, w.1))).collect(),
                    apply: Duration::from_secs_f64(load.apply_ms / 1e3 / kind.speed),
                    seed: seed * 1_000 + hosts.len() as u64,
                };
                let options = Options {
                    name: format!("s-{}", hosts.len()),
                    primary: m.primary,
                    lag: Duration::from_millis(5),
                    capacity: Some(capacity),
                    ..Options::default()
                };
                let host = Host::start(loopback_address(), &group, options)?;
                entries.push(HostEntry::serving(&host, g.id));
                hosts.push(host);
            }
        }
    }
    let agent = Agent::start(loopback_address(), entries)?;
    Ok((hosts, agent))
}

/// All arrivals of a run, drawn from a seed: at random, of all classes and groups by their shares.
fn arrivals(fleet: &Fleet, load: &Load, times: f64, plan: &Plan) -> Vec<(f64, String, u32)> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let shares = sillfold_plan::model::group_shares(fleet, load);
    let mut out = Vec::new();
    for (name, c) in &load.classes {
        let Ok(gaps) = Exp::new(c.per_s * times) else { continue };
        let mut at = gaps.sample(&mut rng);
        while at < WARM + plan.seconds {
            let mut lot: f64 = rng.random();
            let group = fleet.groups.iter().zip(&shares).find(|(_, s)| {
                lot -= **s;
                lot <= 0.0
            });
            out.push((at, name.clone(), group.map_or(fleet.groups[0].id, |g| g.0.id)));
            at += gaps.sample(&mut rng);
        }
    }
    out.sort_by(|a, b| a.0.total_cmp(&b.0));
    out
}

/// One request with its further tries: whether one was served within the goal, and how long all took since it was
/// due. A try is as long as the goal; the next one begins at once.
fn ask(client: &mut Client, to: SocketAddr, fleet: &Fleet, due: &Due, group: u32) -> (bool, Duration) {
    let class = &fleet.classes[&due.class];
    let goal = Duration::from_secs_f64(class.goal_ms / 1e3);
    let mut begun = due.at;
    for n in 0..=class.retries {
        let left = (begun + goal).saturating_duration_since(Instant::now());
        let terms = format!("id=i{}x{n},c={},d={}", due.number, due.class, left.as_millis().max(1));
        let text = match class.access {
            Access::Write => format!(
                "/* {terms},k=k{},cluster={group} */ INSERT INTO entries (ref, payload) VALUES ('r{}', 'p') \
                 RETURNING payload",
                due.number, due.number
            ),
            _ => format!("/* {terms},cluster={group} */ SELECT 'payload' AS payload"),
        };
        // The proxy closes connections that rest; who meets such a close asks once more, on another.
        let answer = client.query(&text).or_else(|_| {
            *client = Client::connect(to, "web", "orders")?;
            client.query(&text)
        });
        if answer.is_ok_and(|a| a.error.is_empty()) && begun.elapsed() <= goal {
            return (true, due.at.elapsed());
        }
        begun = Instant::now();
    }
    (false, due.at.elapsed())
}

/// The share of each class that is served in time at a multiple of the load.
fn run(
    fleet: &Fleet, load: &Load, times: f64, program: &str, plan: &Plan, operator: Option<&str>,
) -> io::Result<Seen> {
    let (_hosts, agent) = start(fleet, load, plan.seed)?;
    let proxy = Proxy::start_at_own_address(&[program], agent.address, &settings_of(fleet), operator)?;
    let (send, receive) = channel::<(Due, u32)>();
    let receive = Arc::new(Mutex::new(receive));
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let begun = Instant::now() + Duration::from_millis(50);
    let workers: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (receive, seen, fleet, to) = (receive.clone(), seen.clone(), fleet.clone(), proxy.address);
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(to, "web", "orders") else { return };
                loop {
                    let next = receive.lock().expect("no one panics there").recv();
                    let Ok((due, group)) = next else { return };
                    let (served, took) = ask(&mut client, to, &fleet, &due, group);
                    if due.counts {
                        let mut seen = seen.lock().expect("no one panics there");
                        let new = || (0, 0, Histogram::new(3).expect("three digits"));
                        let s = seen.entry(due.class).or_insert_with(new);
                        (s.0, s.1) = (s.0 + u64::from(served), s.1 + 1);
                        let _ = s.2.record(took.as_micros() as u64);
                    }
                }
            })
        })
        .collect();
    for (number, (at, class, group)) in arrivals(fleet, load, times, plan).into_iter().enumerate() {
        let due = Due { at: begun + Duration::from_secs_f64(at), counts: at >= WARM, class, number };
        // Whatever became of those before: who is late waits in the channel, and its time runs.
        thread::sleep(due.at.saturating_duration_since(Instant::now()));
        if send.send((due, group)).is_err() {
            break;
        }
    }
    drop(send);
    workers.into_iter().for_each(|w| drop(w.join()));
    Ok(std::mem::take(&mut *seen.lock().expect("no one panics there")))
}

fn worst(seen: &Seen) -> f64 {
    seen.values().map(|s| s.0 as f64 / s.1.max(1) as f64).fold(1.0, f64::min)
}

/// One case: what the planner says, what is found, and a line for each load tried.
fn case(path: &Path, program: &str, plan: &Plan) -> io::Result<String> {
    let fleet: Fleet = read(&path.join("fleet.json5"))?;
    let load: Load = read(&path.join("load.json5"))?;
    let each =
        (0..fleet.groups.len()).map(|i| max_load_multiple(&fleet, &load, i, plan.goal, &Scenario::default()));
    let told = each.fold(f64::INFINITY, f64::min);
    // Far enough round what is told that it would be seen to be wrong.
    let (mut low, mut high) = (told * 0.5, told * 1.6);
    let mut lines = String::new();
    for _ in 0..plan.steps {
        let times = (low * high).sqrt();
        let seen = run(&fleet, &load, times, program, plan, None)?;
        let share = worst(&seen);
        let classes: Vec<String> = seen
            .iter()
            .map(|(n, s)| {
                let part = 100.0 * s.0 as f64 / s.1.max(1) as f64;
                format!("{n} {part:.0} % p99 {} ms", s.2.value_at_quantile(0.99) / 1_000)
            })
            .collect();
        lines += &format!("    {times:.2} times: {}\n", classes.join(", "));
        if share >= plan.goal { low = times } else { high = times }
    }
    let found = (low * high).sqrt();
    let off = 100.0 * (told / found - 1.0);
    let name = path.file_name().map_or(String::new(), |n| n.to_string_lossy().into_owned());
    Ok(format!(
        "{name}: told {told:.2}, found {found:.2} ({low:.2} to {high:.2}), off by {off:+.0} %\n{lines}"
    ))
}

/// All cases side by side; they wait much more than they work.
pub fn saturate(cases: &[PathBuf], program: &Path, plan: &Plan) -> io::Result<()> {
    let program = program.display().to_string();
    let threads: Vec<_> = cases
        .iter()
        .map(|path| {
            let (path, program, plan) = (path.clone(), program.clone(), *plan);
            thread::spawn(move || case(&path, &program, &plan))
        })
        .collect();
    println!("goal {:.0} % of each class in time, seed {}", 100.0 * plan.goal, plan.seed);
    for t in threads {
        let told = t.join().unwrap_or_else(|_| Err(io::Error::other("an experiment ended in a panic")))?;
        print!("{told}");
    }
    Ok(())
}

/// The share of the worth asked for that was served in time, and of each class.
fn goodput(fleet: &Fleet, seen: &Seen) -> (f64, String) {
    let worth = |n: &str| fleet.classes[n].worth;
    let (mut got, mut asked, mut text) = (0.0, 0.0, String::new());
    for (name, s) in seen {
        got += worth(name) * s.0 as f64;
        asked += worth(name) * s.1 as f64;
        text += &format!(" {name} {:.0} %", 100.0 * s.0 as f64 / s.1.max(1) as f64);
    }
    (got / f64::max(asked, 1e-9), text)
}

/// Goodput with the door's shedding and without, in turn.
pub fn shed(path: &Path, times: &[f64], program: &Path, seconds: f64, seeds: &[u64]) -> io::Result<()> {
    let (fleet, load): (Fleet, Load) = (read(&path.join("fleet.json5"))?, read(&path.join("load.json5"))?);
    let program = program.display().to_string();
    let ways = [("without", None), ("with", Some("{headroom: {enabled: true, shed: true}}"))];
    for &times in times {
        let mut all = [Vec::new(), Vec::new()];
        for &seed in seeds {
            let plan = Plan { goal: 0.9, seconds, steps: 1, seed };
            for (i, (name, operator)) in ways.iter().enumerate() {
                let seen = run(&fleet, &load, times, &program, &plan, *operator)?;
                let (share, text) = goodput(&fleet, &seen);
                println!("    {times:.2} times, seed {seed}, {name}: {:.1} %,{text}", 100.0 * share);
                all[i].push(share);
            }
        }
        let median = |v: &mut Vec<f64>| {
            v.sort_by(f64::total_cmp);
            100.0 * v[v.len() / 2]
        };
        let [without, with] = &mut all;
        println!(
            "{times:.2} times: {:.1} % of the worth without, {:.1} % with",
            median(without),
            median(with)
        );
    }
    Ok(())
}
