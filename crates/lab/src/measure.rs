//! The measurements that the documents quote, each a command that repeats it. Figures are medians; what is
//! compared takes turns in one run, since machines are noisy.

use hdrhistogram::Histogram;
use sillfold_lab::{
    Agent, Client, Group, Host, HostEntry, Options as HostOptions, Proxy, loopback_address, settings,
};
use sillfold_route::sql::{Functions, ParseLimits, StatementReader, analyze};
use sillfold_route::{Options, Shape, StatementRouter};
use std::hint::black_box;
use std::io;
use std::path::PathBuf;
use std::time::Instant;

/// Statements of about 200 bytes, each of another shape, as an application has them.
fn useful(count: usize) -> Vec<String> {
    let one = |i: usize| match i % 4 {
        0 => format!(
            "SELECT e.payload, e.taken_at, l.host_name FROM entries AS e JOIN logs_{i} AS l ON l.entry_id = e.id \
             WHERE e.ref = '7f3a9c21e0b4d655' AND l.level >= 3 AND e.kind IN ('a', 'b', 'c') \
             ORDER BY e.taken_at DESC LIMIT 20"
        ),
        1 => format!(
            "SELECT count(*), max(exposure_{i}) FROM observations WHERE night BETWEEN '2026-01-01' AND \
             '2026-01-31' AND telescope = 'T2' AND lower(filter_name) = 'ha' GROUP BY observer, instrument_id"
        ),
        2 => format!(
            "INSERT INTO entries_{i} (ref, payload, taken_at, exposure, kind) VALUES ('7f3a9c21e0b4d655', \
             'first light of the night', '2026-01-01 21:14:03', 12.5, 'a'), ('8f', 'x', now(), 3, 'b')"
        ),
        _ => format!(
            "UPDATE catalogue_{i} SET magnitude = 11.27, seen = seen + 1, changed_at = now() WHERE ref = \
             '7f3a9c21e0b4d655' AND source = 'survey' AND COALESCE(locked, false) = false AND rank < 100000"
        ),
    };
    (0..count).map(one).collect()
}

fn one_off(i: u32) -> String {
    format!("SELECT a{i}, b, lower(c) FROM t{} WHERE d{i} = {i} AND e > 'x' ORDER BY f LIMIT 10", i % 977)
}

fn summary(h: &Histogram<u64>) -> String {
    format!(
        "p50 {} ns, p99 {} ns, p99.9 {} ns",
        h.value_at_quantile(0.5),
        h.value_at_quantile(0.99),
        h.value_at_quantile(0.999)
    )
}

fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new(3).map_err(io::Error::other)
}

/// The median of rounds of so many nanoseconds each for one of `count`.
fn median_ns(rounds: usize, count: usize, mut round: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..rounds)
        .map(|_| {
            let begun = Instant::now();
            round();
            begun.elapsed().as_nanos() as f64 / count as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Time a statement, hits and bytes of the shape cache.
pub fn statements(flood: u32, bytes: usize) -> io::Result<()> {
    let useful = useful(200);
    let mean = useful.iter().map(String::len).sum::<usize>() / useful.len();
    println!("{} useful statements of {mean} bytes on average", useful.len());

    let mut reading = StatementReader::default();
    let lex = median_ns(31, useful.len() * 20, || {
        for text in useful.iter().cycle().take(useful.len() * 20) {
            let _ = black_box(reading.read(black_box(text)));
        }
    });
    println!("shape alone: {lex:.0} ns a statement");

    let functions = Functions::default();
    let shapes: Vec<String> = useful
        .iter()
        .map(|t| reading.read(t).map(|()| reading.shape().to_string()).unwrap_or_default())
        .collect();
    let new = median_ns(31, useful.len(), || {
        for shape in &shapes {
            black_box(analyze(black_box(shape), &functions, &ParseLimits::default()));
        }
    });
    println!("verdict on a new shape alone: {new:.0} ns a statement");

    let mut desk = StatementRouter::new(Options { cache_bytes: bytes, ..Options::default() });
    for text in useful.iter().cycle().take(useful.len() * 3) {
        let _ = desk.read(text);
    }
    let warm = median_ns(31, useful.len() * 20, || {
        for text in useful.iter().cycle().take(useful.len() * 20) {
            let _ = black_box(desk.read(black_box(text)));
        }
    });
    println!("warm, all of it (shape, cache, estimate): {warm:.0} ns a statement");

    // Half useful, half one-off: the useful ones must stay.
    let before = resident_kb();
    let (mut hits, mut most) = (0u32, 0);
    let (mut known, mut unknown) = (histogram()?, histogram()?);
    for i in 0..flood {
        let text = one_off(i);
        let begun = Instant::now();
        let _ = black_box(desk.read(&text));
        let _ = unknown.record(begun.elapsed().as_nanos() as u64);
        let text = &useful[i as usize % useful.len()];
        let begun = Instant::now();
        let read = desk.read(text);
        let _ = known.record(begun.elapsed().as_nanos() as u64);
        hits += u32::from(read.is_ok_and(|r| r.cached));
        most = most.max(desk.shape_cache().bytes());
    }
    let rate = 100.0 * f64::from(hits) / f64::from(flood);
    println!("flood of {flood} one-off shapes, S3-FIFO (quick_cache): {rate:.3} % of useful ones found");
    println!("  useful ones amid it: {}", summary(&known));
    println!("  one-off ones: {}", summary(&unknown));
    println!(
        "  bytes: {most} counted at most of {bytes}, {} shapes, {} in tables; resident {} KB before, {} KB after",
        desk.shape_cache().len(),
        desk.shape_cache().table_bytes(),
        before,
        resident_kb()
    );
    let rate = other_cache(&useful, flood, bytes);
    println!("the same flood, TinyLFU (mini-moka): {rate:.3} % of useful ones found");
    Ok(())
}

/// The hit rate of the useful shapes with the other library, by the same weights.
fn other_cache(useful: &[String], flood: u32, bytes: usize) -> f64 {
    let weigh = |_: &String, weight: &u32| *weight;
    let mut cache = mini_moka::unsync::Cache::builder().max_capacity(bytes as u64).weigher(weigh).build();
    let (functions, mut reading) = (Functions::default(), StatementReader::default());
    let mut hits = 0u32;
    let mut ask = |text: &str, reading: &mut StatementReader| {
        if reading.read(text).is_err() {
            return false;
        }
        if cache.get(&reading.shape().to_string()).is_some() {
            return true;
        }
        let shape =
            Shape::new(reading.shape(), analyze(reading.shape(), &functions, &ParseLimits::default()));
        cache.insert(shape.text().to_string(), shape.bytes() as u32);
        false
    };
    for text in useful.iter().cycle().take(useful.len() * 3) {
        ask(text, &mut reading);
    }
    for i in 0..flood {
        ask(&one_off(i), &mut reading);
        hits += u32::from(ask(&useful[i as usize % useful.len()], &mut reading));
    }
    100.0 * f64::from(hits) / f64::from(flood)
}

const OPERATOR: &str = "{statements: {enabled: true, rules: [
    {name: 'reads', effects: ['read'], class: 'history', deadline_ms: 8000, group: {constant: 3}},
    {name: 'writes', effects: ['write'], class: 'ingest', deadline_ms: 8000, group: {constant: 3}}]}}";

/// A stand-in host and discovery, for one proxy.
fn peers() -> io::Result<(Host, Agent)> {
    let host = Host::start(loopback_address(), &Group::new(), HostOptions::default())?;
    let agent = Agent::start(loopback_address(), vec![HostEntry::serving(&host, 3)])?;
    Ok((host, agent))
}

fn ask_many(proxy: &Proxy, requests: usize, plain: bool) -> io::Result<()> {
    let mut client = Client::connect(proxy.address, "web", "orders")?;
    for i in 0..requests {
        let text = match plain {
            true => format!("SELECT payload FROM entries WHERE ref = 'r{i}' AND true"),
            false => format!("/* id=i{i},c=history,d=9000,cluster=3 */ SELECT 'payload' AS payload"),
        };
        let answer = client.query(&text)?;
        if !answer.error.is_empty() {
            return Err(io::Error::other(format!("{text}: {answer:?}")));
        }
    }
    Ok(())
}

/// Instructions that a program takes for so many requests, its start and end included.
fn collected(program: &str, requests: usize, plain: bool, capture: bool) -> io::Result<u64> {
    let (_host, agent) = peers()?;
    let words = ["valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null", program];
    let mut quiet = settings();
    // Probes come by time, and would count with a slow machine.
    quiet["ceilings"]["mayProbe"] = false.into();
    let file = std::env::temp_dir().join(format!("sillfold-lab-capture-{}", std::process::id()));
    let recorded = format!("{{capture: {{file: '{}'}}}}", file.display());
    let operator = match (plain, capture) {
        (true, _) => Some(OPERATOR),
        (_, true) => Some(recorded.as_str()),
        _ => None,
    };
    let mut proxy = Proxy::start_at_own_address(&words, agent.address, &quiet, operator)?;
    ask_many(&proxy, requests, plain)?;
    proxy.signal("TERM")?;
    let line = proxy.logged("Collected")?;
    proxy.wait()?;
    let _ = std::fs::remove_file(file);
    let digits = line.rsplit(':').next().unwrap_or("").trim().replace(',', "");
    digits.parse().map_err(|e| io::Error::other(format!("{line}: {e}")))
}

/// Instructions a request, of each program in turn.
pub fn instructions(
    programs: &[PathBuf], requests: usize, plain: bool, capture: bool, rounds: usize,
) -> io::Result<()> {
    let few = requests / 5;
    let mut all: Vec<Vec<f64>> = vec![Vec::new(); programs.len()];
    for _ in 0..rounds.max(1) {
        for (program, figures) in programs.iter().zip(&mut all) {
            let name = program.display().to_string();
            let (short, long) =
                (collected(&name, few, plain, capture)?, collected(&name, requests, plain, capture)?);
            figures.push(long.saturating_sub(short) as f64 / (requests - few) as f64);
        }
    }
    let mut first = None;
    for (program, figures) in programs.iter().zip(&mut all) {
        figures.sort_by(f64::total_cmp);
        let median = figures[figures.len() / 2];
        let base = *first.get_or_insert(median);
        let ratio = 100.0 * (median / base - 1.0);
        println!(
            "{}: {median:.0} instructions a request ({ratio:+.1} %), of {figures:.0?}",
            program.display()
        );
    }
    Ok(())
}

/// Memory of each program, after its start and after requests.
pub fn memory(programs: &[PathBuf], requests: usize) -> io::Result<()> {
    for program in programs {
        let (_host, agent) = peers()?;
        let name = program.display().to_string();
        let proxy = Proxy::start_at_own_address(&[&name], agent.address, &settings(), None)?;
        let (start, _) = proxy.memory_kb()?;
        ask_many(&proxy, requests, false)?;
        let (now, most) = proxy.memory_kb()?;
        println!("{name}: {start} KB at its start, {now} KB after {requests} requests, {most} KB at most");
    }
    Ok(())
}

/// What recording costs: three classes, two groups, forty shapes, a record for every 400 requests.
pub fn recorder(requests: u64) -> io::Result<()> {
    let classes = ["browse", "history", "ingest"].map(String::from).to_vec();
    let mut recorder = sillfold_capture::Recorder::new(classes, 1);
    let (mut bytes, mut lines, begun) = (0, 0u64, Instant::now());
    for i in 0..requests {
        let (class, group) = ((i % 3) as u8, (i % 2) as u32);
        recorder.request_arrived(class, group, 0);
        recorder.attempt_ended(
            class,
            group,
            sillfold_capture::RecordedOutcome::Served(20_000 + i * 7_919 % 90_000),
        );
        recorder.shape_served(i % 40, 30_000);
        if i % 400 == 399 {
            let line =
                sillfold_capture::encode_line(&recorder.take_record(i, 1_000)).map_err(io::Error::other)?;
            (bytes, lines) = (bytes + line.len(), lines + 1);
        }
    }
    let ns = begun.elapsed().as_nanos() as f64 / requests as f64;
    println!(
        "{ns:.0} ns a request, lines included, of which there are {lines} of {} bytes",
        bytes as u64 / lines.max(1)
    );
    Ok(())
}
