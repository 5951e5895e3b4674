//! Measures the true saturation of a fleet by experiment, and sets it beside the planner's prediction. The hosts are
//! stand-ins with cores, slots and one apply thread; the proxy is the real program. The load is open: requests are sent at
//! their times whether or not earlier ones are answered.

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

/// Seconds at the start of each load that do not count, while the proxy learns the capacity of the hosts.
const WARM_UP_SECONDS: f64 = 2.0;
/// The number of sessions that share the load.
const CLIENT_COUNT: usize = 160;

/// The parameters of an experiment.
#[derive(Clone, Copy)]
pub struct Plan {
    /// The share of each class that is to be served in time.
    pub goal: f64,
    /// Seconds of each load that count.
    pub seconds: f64,
    /// The number of loads that are tried.
    pub steps: u32,
    /// The seed of arrivals and service times.
    pub seed: u64,
}

/// The results of each class: requests served in time, all requests, and response times in microseconds.
type ClassResults = BTreeMap<String, (u64, u64, Histogram<u64>)>;

/// A request that is to be sent at a given time.
struct DueRequest {
    at: Instant,
    /// Whether the request counts, which it does after the warm-up.
    counts: bool,
    class: String,
    number: usize,
}

/// Reads a configuration file.
fn read<T: sillfold_conf::Configuration>(path: &Path) -> io::Result<T> {
    let text = sillfold_conf::read_text(path).map_err(io::Error::other)?;
    sillfold_conf::parse(&path.display().to_string(), &text)
        .map_err(|errors| io::Error::other(errors.join("; ")))
}

/// The proxy's settings for a fleet's classes.
fn settings_of(fleet: &Fleet) -> serde_json::Value {
    let mut settings = settings();
    let mut classes = Vec::new();
    let mut class_reads = Vec::new();
    let mut staleness_bounds = Vec::new();
    for (name, class) in &fleet.classes {
        let effect = if class.access == Access::Write { "dedup" } else { "retryable" };
        classes.push(serde_json::json!({
            "name": name, "deadlineUs": class.goal_ms * 2e3, "effect": effect, "dedupScope": "cell",
            "dedupWindowUs": 1.2e6, "sloUs": class.goal_ms * 1e3, "worth": class.worth
        }));
        class_reads.push(match class.access {
            Access::Write => "mutate",
            Access::Bounded => "lag_bound",
            Access::Any => "eventual",
        });
        staleness_bounds.push(if class.access == Access::Bounded { class.bound_ms * 1e3 } else { 0.0 });
    }
    settings["classes"] = classes.into();
    settings["familyInfo"]["classRead"] = serde_json::json!(class_reads);
    settings["familyInfo"]["stalenessBoundUs"] = serde_json::json!(staleness_bounds);
    settings["familyInfo"]["positions"] = true.into();
    settings
}

/// Starts the hosts of a fleet, with service times of the load, and the agent that lists them.
fn start_hosts(fleet: &Fleet, load: &Load, seed: u64) -> io::Result<(Vec<Host>, Agent)> {
    let mut hosts = Vec::new();
    let mut entries = Vec::new();
    let work: BTreeMap<String, (f64, f64)> =
        load.classes.iter().map(|(name, class)| (name.clone(), (class.mean_ms, class.cv2))).collect();
    for fleet_group in &fleet.groups {
        let group = Group::new();
        for member in &fleet_group.members {
            let kind = &fleet.kinds[&member.kind];
            for _ in 0..member.count {
                let capacity = Capacity {
                    cores: kind.cores,
                    slots: kind.cores * 8,
                    connections: kind.connections,
                    work: work
                        .iter()
                        .map(|(name, work)| (name.clone(), (work.0 / kind.speed, work.1)))
                        .collect(),
                    apply: Duration::from_secs_f64(load.apply_ms / 1e3 / kind.speed),
                    seed: seed * 1_000 + hosts.len() as u64,
                };
                let options = Options {
                    name: format!("s-{}", hosts.len()),
                    primary: member.primary,
                    lag: Duration::from_millis(5),
                    capacity: Some(capacity),
                    ..Options::default()
                };
                let host = Host::start(loopback_address(), &group, options)?;
                entries.push(HostEntry::serving(&host, fleet_group.id));
                hosts.push(host);
            }
        }
    }
    let agent = Agent::start(loopback_address(), entries)?;
    Ok((hosts, agent))
}

/// Draws all arrivals of a run at `times` times the load: the second of each, its class and its group. Each class is a
/// Poisson process; groups are drawn by their shares.
fn arrivals(fleet: &Fleet, load: &Load, times: f64, plan: &Plan) -> Vec<(f64, String, u32)> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let shares = sillfold_plan::model::group_shares(fleet, load);
    let mut arrivals = Vec::new();
    for (name, class) in &load.classes {
        let Ok(gaps) = Exp::new(class.per_s * times) else { continue };
        let mut at_s = gaps.sample(&mut rng);
        while at_s < WARM_UP_SECONDS + plan.seconds {
            let mut draw: f64 = rng.random();
            let group = fleet.groups.iter().zip(&shares).find(|(_, share)| {
                draw -= **share;
                draw <= 0.0
            });
            arrivals.push((at_s, name.clone(), group.map_or(fleet.groups[0].id, |found| found.0.id)));
            at_s += gaps.sample(&mut rng);
        }
    }
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    arrivals
}

/// Sends a request with the client's retries. Returns whether one was served within the latency goal of the class, and the
/// time since the request was due. A try may take as long as the goal; the next one starts at once.
fn send_request(
    client: &mut Client, proxy_address: SocketAddr, fleet: &Fleet, due: &DueRequest, group: u32,
) -> (bool, Duration) {
    let class = &fleet.classes[&due.class];
    let goal = Duration::from_secs_f64(class.goal_ms / 1e3);
    let mut started = due.at;
    for retry in 0..=class.retries {
        let time_left = (started + goal).saturating_duration_since(Instant::now());
        let comment =
            format!("id=i{}x{retry},c={},d={}", due.number, due.class, time_left.as_millis().max(1));
        let text = match class.access {
            Access::Write => format!(
                "/* {comment},k=k{},cluster={group} */ INSERT INTO entries (ref, payload) VALUES ('r{}', 'p') \
                 RETURNING payload",
                due.number, due.number
            ),
            _ => format!("/* {comment},cluster={group} */ SELECT 'payload' AS payload"),
        };
        // The proxy closes idle connections: the query is sent once more, on a new connection.
        let answer = client.query(&text).or_else(|_| {
            *client = Client::connect(proxy_address, "web", "orders")?;
            client.query(&text)
        });
        if answer.is_ok_and(|answer| answer.error.is_empty()) && started.elapsed() <= goal {
            return (true, due.at.elapsed());
        }
        started = Instant::now();
    }
    (false, due.at.elapsed())
}

/// Runs `times` times the load against a proxy, and returns the results of each class.
fn run(
    fleet: &Fleet, load: &Load, times: f64, program: &str, plan: &Plan, operator: Option<&str>,
) -> io::Result<ClassResults> {
    let (_hosts, agent) = start_hosts(fleet, load, plan.seed)?;
    let proxy = Proxy::start_at_own_address(&[program], agent.address, &settings_of(fleet), operator)?;
    let (sender, receiver) = channel::<(DueRequest, u32)>();
    let receiver = Arc::new(Mutex::new(receiver));
    let results: Arc<Mutex<ClassResults>> = Arc::default();
    let load_start = Instant::now() + Duration::from_millis(50);
    let workers: Vec<_> = (0..CLIENT_COUNT)
        .map(|_| {
            let receiver = receiver.clone();
            let results = results.clone();
            let fleet = fleet.clone();
            let proxy_address = proxy.address;
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(proxy_address, "web", "orders") else { return };
                loop {
                    let next = receiver.lock().expect("no one panics there").recv();
                    let Ok((due, group)) = next else { return };
                    let (served, response_time) =
                        send_request(&mut client, proxy_address, &fleet, &due, group);
                    if due.counts {
                        let mut results = results.lock().expect("no one panics there");
                        let empty = || (0, 0, Histogram::new(3).expect("three digits"));
                        let class_results = results.entry(due.class).or_insert_with(empty);
                        (class_results.0, class_results.1) =
                            (class_results.0 + u64::from(served), class_results.1 + 1);
                        let _ = class_results.2.record(response_time.as_micros() as u64);
                    }
                }
            })
        })
        .collect();
    for (number, (at_s, class, group)) in arrivals(fleet, load, times, plan).into_iter().enumerate() {
        let due = DueRequest {
            at: load_start + Duration::from_secs_f64(at_s),
            counts: at_s >= WARM_UP_SECONDS,
            class,
            number,
        };
        // Sent whatever became of earlier requests. A request without a free client waits in the channel, and that time counts.
        thread::sleep(due.at.saturating_duration_since(Instant::now()));
        if sender.send((due, group)).is_err() {
            break;
        }
    }
    drop(sender);
    workers.into_iter().for_each(|worker| drop(worker.join()));
    Ok(std::mem::take(&mut *results.lock().expect("no one panics there")))
}

/// The least share of a class that was served in time.
fn least_share(results: &ClassResults) -> f64 {
    results.values().map(|class| class.0 as f64 / class.1.max(1) as f64).fold(1.0, f64::min)
}

/// Runs one case: searches for the saturation by bisection. Returns a text with the predicted and the measured multiple of
/// the load, and a line for each load that was tried.
fn run_case(path: &Path, program: &str, plan: &Plan) -> io::Result<String> {
    let fleet: Fleet = read(&path.join("fleet.json5"))?;
    let load: Load = read(&path.join("load.json5"))?;
    let multiples =
        (0..fleet.groups.len()).map(|i| max_load_multiple(&fleet, &load, i, plan.goal, &Scenario::default()));
    let predicted = multiples.fold(f64::INFINITY, f64::min);
    // The interval around the prediction is wide enough to show that the prediction is wrong.
    let (mut low, mut high) = (predicted * 0.5, predicted * 1.6);
    let mut lines = String::new();
    for _ in 0..plan.steps {
        let times = (low * high).sqrt();
        let results = run(&fleet, &load, times, program, plan, None)?;
        let share = least_share(&results);
        let classes: Vec<String> = results
            .iter()
            .map(|(name, class)| {
                let percent = 100.0 * class.0 as f64 / class.1.max(1) as f64;
                format!("{name} {percent:.0} % p99 {} ms", class.2.value_at_quantile(0.99) / 1_000)
            })
            .collect();
        lines += &format!("    {times:.2} times: {}\n", classes.join(", "));
        if share >= plan.goal { low = times } else { high = times }
    }
    let found = (low * high).sqrt();
    let error_percent = 100.0 * (predicted / found - 1.0);
    let name = path.file_name().map_or(String::new(), |name| name.to_string_lossy().into_owned());
    Ok(format!(
        "{name}: told {predicted:.2}, found {found:.2} ({low:.2} to {high:.2}), off by {error_percent:+.0} %\n{lines}"
    ))
}

/// Runs all cases at the same time, since they mostly wait, and prints their results.
pub fn saturate(cases: &[PathBuf], program: &Path, plan: &Plan) -> io::Result<()> {
    let program = program.display().to_string();
    let threads: Vec<_> = cases
        .iter()
        .map(|path| {
            let (path, program, plan) = (path.clone(), program.clone(), *plan);
            thread::spawn(move || run_case(&path, &program, &plan))
        })
        .collect();
    println!("goal {:.0} % of each class in time, seed {}", 100.0 * plan.goal, plan.seed);
    for thread in threads {
        let result =
            thread.join().unwrap_or_else(|_| Err(io::Error::other("an experiment ended in a panic")))?;
        print!("{result}");
    }
    Ok(())
}

/// The share of the requested worth that was served in time, and a text with the share of each class.
fn goodput(fleet: &Fleet, results: &ClassResults) -> (f64, String) {
    let worth = |name: &str| fleet.classes[name].worth;
    let mut served = 0.0;
    let mut requested = 0.0;
    let mut text = String::new();
    for (name, class) in results {
        served += worth(name) * class.0 as f64;
        requested += worth(name) * class.1 as f64;
        text += &format!(" {name} {:.0} %", 100.0 * class.0 as f64 / class.1.max(1) as f64);
    }
    (served / f64::max(requested, 1e-9), text)
}

/// Measures goodput without and with load shedding at the proxy's admission, in turn, and prints the medians.
pub fn shed(path: &Path, times: &[f64], program: &Path, seconds: f64, seeds: &[u64]) -> io::Result<()> {
    let fleet: Fleet = read(&path.join("fleet.json5"))?;
    let load: Load = read(&path.join("load.json5"))?;
    let program = program.display().to_string();
    let variants = [("without", None), ("with", Some("{headroom: {enabled: true, shed: true}}"))];
    for &times in times {
        let mut shares = [Vec::new(), Vec::new()];
        for &seed in seeds {
            let plan = Plan { goal: 0.9, seconds, steps: 1, seed };
            for (i, (name, operator)) in variants.iter().enumerate() {
                let results = run(&fleet, &load, times, &program, &plan, *operator)?;
                let (share, text) = goodput(&fleet, &results);
                println!("    {times:.2} times, seed {seed}, {name}: {:.1} %,{text}", 100.0 * share);
                shares[i].push(share);
            }
        }
        let median = |shares: &mut Vec<f64>| {
            shares.sort_by(f64::total_cmp);
            100.0 * shares[shares.len() / 2]
        };
        let [without, with] = &mut shares;
        println!(
            "{times:.2} times: {:.1} % of the worth without, {:.1} % with",
            median(without),
            median(with)
        );
    }
    Ok(())
}
