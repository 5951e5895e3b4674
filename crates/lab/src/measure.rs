//! The measurements that the documents quote; a command repeats each. Figures are medians. Alternatives that are compared
//! take turns in one run, because machines are noisy.

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

/// Statements of about 200 bytes with different shapes, like those of an application.
fn application_statements(count: usize) -> Vec<String> {
    let statement = |i: usize| match i % 4 {
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
    (0..count).map(statement).collect()
}

/// A statement whose shape no other `i` has.
fn one_off_statement(i: u32) -> String {
    format!("SELECT a{i}, b, lower(c) FROM t{} WHERE d{i} = {i} AND e > 'x' ORDER BY f LIMIT 10", i % 977)
}

/// The percentiles of a histogram in nanoseconds.
fn summary(histogram: &Histogram<u64>) -> String {
    format!(
        "p50 {} ns, p99 {} ns, p99.9 {} ns",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.value_at_quantile(0.999)
    )
}

/// An empty histogram with three significant digits.
fn new_histogram() -> io::Result<Histogram<u64>> {
    Histogram::new(3).map_err(io::Error::other)
}

/// The median time of several rounds, in nanoseconds for each of the `count` operations of a round.
fn median_ns(rounds: usize, count: usize, mut round: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..rounds)
        .map(|_| {
            let started = Instant::now();
            round();
            started.elapsed().as_nanos() as f64 / count as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// The resident memory of this process in KB.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Measures the time to read a statement, and the hits and bytes of the shape cache during a flood of one-off shapes. `bytes`
/// is the limit of the cache.
pub fn statements(flood: u32, bytes: usize) -> io::Result<()> {
    let application = application_statements(200);
    let mean = application.iter().map(String::len).sum::<usize>() / application.len();
    println!("{} useful statements of {mean} bytes on average", application.len());

    let mut reader = StatementReader::default();
    let shape_ns = median_ns(31, application.len() * 20, || {
        for text in application.iter().cycle().take(application.len() * 20) {
            let _ = black_box(reader.read(black_box(text)));
        }
    });
    println!("shape alone: {shape_ns:.0} ns a statement");

    let functions = Functions::default();
    let shapes: Vec<String> = application
        .iter()
        .map(|text| reader.read(text).map(|()| reader.shape().to_string()).unwrap_or_default())
        .collect();
    let analysis_ns = median_ns(31, application.len(), || {
        for shape in &shapes {
            black_box(analyze(black_box(shape), &functions, &ParseLimits::default()));
        }
    });
    println!("verdict on a new shape alone: {analysis_ns:.0} ns a statement");

    let mut router = StatementRouter::new(Options { cache_bytes: bytes, ..Options::default() });
    for text in application.iter().cycle().take(application.len() * 3) {
        let _ = router.read(text);
    }
    let warm_ns = median_ns(31, application.len() * 20, || {
        for text in application.iter().cycle().take(application.len() * 20) {
            let _ = black_box(router.read(black_box(text)));
        }
    });
    println!("warm, all of it (shape, cache, estimate): {warm_ns:.0} ns a statement");

    // Half of the statements have one-off shapes; the shapes of the application must stay in the cache.
    let resident_before_kb = resident_kb();
    let mut hits = 0u32;
    let mut max_bytes = 0;
    let mut application_times = new_histogram()?;
    let mut one_off_times = new_histogram()?;
    for i in 0..flood {
        let text = one_off_statement(i);
        let started = Instant::now();
        let _ = black_box(router.read(&text));
        let _ = one_off_times.record(started.elapsed().as_nanos() as u64);
        let text = &application[i as usize % application.len()];
        let started = Instant::now();
        let result = router.read(text);
        let _ = application_times.record(started.elapsed().as_nanos() as u64);
        hits += u32::from(result.is_ok_and(|read| read.cached));
        max_bytes = max_bytes.max(router.shape_cache().bytes());
    }
    let rate = 100.0 * f64::from(hits) / f64::from(flood);
    println!("flood of {flood} one-off shapes, S3-FIFO (quick_cache): {rate:.3} % of useful ones found");
    println!("  useful ones amid it: {}", summary(&application_times));
    println!("  one-off ones: {}", summary(&one_off_times));
    println!(
        "  bytes: {max_bytes} counted at most of {bytes}, {} shapes, {} in tables; resident {} KB before, {} KB after",
        router.shape_cache().len(),
        router.shape_cache().table_bytes(),
        resident_before_kb,
        resident_kb()
    );
    let rate = mini_moka_hit_rate(&application, flood, bytes);
    println!("the same flood, TinyLFU (mini-moka): {rate:.3} % of useful ones found");
    Ok(())
}

/// The hit rate of the application's shapes in percent with another cache, mini-moka, with the same weights.
fn mini_moka_hit_rate(application: &[String], flood: u32, bytes: usize) -> f64 {
    let weigh = |_: &String, weight: &u32| *weight;
    let mut cache = mini_moka::unsync::Cache::builder().max_capacity(bytes as u64).weigher(weigh).build();
    let (functions, mut reader) = (Functions::default(), StatementReader::default());
    let mut hits = 0u32;
    let mut lookup = |text: &str, reader: &mut StatementReader| {
        if reader.read(text).is_err() {
            return false;
        }
        if cache.get(&reader.shape().to_string()).is_some() {
            return true;
        }
        let shape = Shape::new(reader.shape(), analyze(reader.shape(), &functions, &ParseLimits::default()));
        cache.insert(shape.text().to_string(), shape.bytes() as u32);
        false
    };
    for text in application.iter().cycle().take(application.len() * 3) {
        lookup(text, &mut reader);
    }
    for i in 0..flood {
        lookup(&one_off_statement(i), &mut reader);
        hits += u32::from(lookup(&application[i as usize % application.len()], &mut reader));
    }
    100.0 * f64::from(hits) / f64::from(flood)
}

/// The operator's file for measurements with plain statements.
const OPERATOR: &str = "{statements: {enabled: true, rules: [
    {name: 'reads', effects: ['read'], class: 'history', deadline_ms: 8000, group: {constant: 3}},
    {name: 'writes', effects: ['write'], class: 'ingest', deadline_ms: 8000, group: {constant: 3}}]}}";

/// Starts a stand-in host and an agent that lists it.
fn start_stand_ins() -> io::Result<(Host, Agent)> {
    let host = Host::start(loopback_address(), &Group::new(), HostOptions::default())?;
    let agent = Agent::start(loopback_address(), vec![HostEntry::serving(&host, 3)])?;
    Ok((host, agent))
}

/// Sends this many requests one after the other, plain or with a comment; an error if one fails.
fn send_requests(proxy: &Proxy, requests: usize, plain: bool) -> io::Result<()> {
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

/// Counts by callgrind the instructions that a program executes for this many requests, with those of its start and its end.
fn count_instructions(program: &str, requests: usize, plain: bool, capture: bool) -> io::Result<u64> {
    let (_host, agent) = start_stand_ins()?;
    let command = ["valgrind", "--tool=callgrind", "--callgrind-out-file=/dev/null", program];
    let mut settings_without_probes = settings();
    // The number of probes depends on time, and so on the speed of the machine.
    settings_without_probes["ceilings"]["mayProbe"] = false.into();
    let capture_file = std::env::temp_dir().join(format!("sillfold-lab-capture-{}", std::process::id()));
    let capture_operator = format!("{{capture: {{file: '{}'}}}}", capture_file.display());
    let operator = match (plain, capture) {
        (true, _) => Some(OPERATOR),
        (_, true) => Some(capture_operator.as_str()),
        _ => None,
    };
    let mut proxy = Proxy::start_at_own_address(&command, agent.address, &settings_without_probes, operator)?;
    send_requests(&proxy, requests, plain)?;
    proxy.signal("TERM")?;
    let line = proxy.logged("Collected")?;
    proxy.wait()?;
    let _ = std::fs::remove_file(capture_file);
    let digits = line.rsplit(':').next().unwrap_or("").trim().replace(',', "");
    digits.parse().map_err(|e| io::Error::other(format!("{line}: {e}")))
}

/// Measures the instructions of a request for each program in turn. The difference of a long and a short run leaves out the
/// start and the end.
pub fn instructions(
    programs: &[PathBuf], requests: usize, plain: bool, capture: bool, rounds: usize,
) -> io::Result<()> {
    let short_requests = requests / 5;
    let mut all_figures: Vec<Vec<f64>> = vec![Vec::new(); programs.len()];
    for _ in 0..rounds.max(1) {
        for (program, figures) in programs.iter().zip(&mut all_figures) {
            let name = program.display().to_string();
            let (short_run, long_run) = (
                count_instructions(&name, short_requests, plain, capture)?,
                count_instructions(&name, requests, plain, capture)?,
            );
            figures.push(long_run.saturating_sub(short_run) as f64 / (requests - short_requests) as f64);
        }
    }
    let mut first_median = None;
    for (program, figures) in programs.iter().zip(&mut all_figures) {
        figures.sort_by(f64::total_cmp);
        let median = figures[figures.len() / 2];
        let base = *first_median.get_or_insert(median);
        let ratio = 100.0 * (median / base - 1.0);
        println!(
            "{}: {median:.0} instructions a request ({ratio:+.1} %), of {figures:.0?}",
            program.display()
        );
    }
    Ok(())
}

/// Measures the memory of each program after its start and after requests.
pub fn memory(programs: &[PathBuf], requests: usize) -> io::Result<()> {
    for program in programs {
        let (_host, agent) = start_stand_ins()?;
        let name = program.display().to_string();
        let proxy = Proxy::start_at_own_address(&[&name], agent.address, &settings(), None)?;
        let (start_kb, _) = proxy.memory_kb()?;
        send_requests(&proxy, requests, false)?;
        let (now_kb, max_kb) = proxy.memory_kb()?;
        println!(
            "{name}: {start_kb} KB at its start, {now_kb} KB after {requests} requests, {max_kb} KB at most"
        );
    }
    Ok(())
}

/// Measures the cost of recording load for a capture, with three classes, two groups, forty shapes and a record for every
/// 400 requests.
pub fn recorder(requests: u64) -> io::Result<()> {
    let classes = ["browse", "history", "ingest"].map(String::from).to_vec();
    let mut recorder = sillfold_capture::Recorder::new(classes, 1);
    let mut bytes = 0;
    let mut lines = 0u64;
    let started = Instant::now();
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
    let ns = started.elapsed().as_nanos() as f64 / requests as f64;
    println!(
        "{ns:.0} ns a request, lines included, of which there are {lines} of {} bytes",
        bytes as u64 / lines.max(1)
    );
    Ok(())
}
