//! Recording of load: aggregates of requests by class and group in bounded memory, and the text format in which they
//! are stored. Pure: the caller reports what happened and writes the returned lines, or passes a file's bytes to be parsed.
//! Memory must not grow with the load, and a changed or truncated line must be detected, by its checksum.
//!
//! A capture is text. Each line is a JSON object, a tab, and eight hexadecimal digits: the 32-bit FNV-1a hash of the
//! object's bytes. The first line is a [`Header`], each further one a [`Record`]. Service times are in microseconds, in the
//! buckets of `sillfold_histogram`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::{Deserialize, Serialize};
use sillfold_histogram::{bucket_of, middle_us};
use std::collections::BTreeMap;

/// The version of the format that this crate writes and reads.
pub const VERSION: u32 = 1;
/// The most pairs of class and group that are counted separately. All further groups of a class are counted together.
const MAX_CELLS: usize = 1_024;
/// The most shapes in one record: the most frequent ones.
const MAX_SHAPES: usize = 32;
/// One served statement in this many is sampled for the shapes.
const SHAPE_SAMPLE_INTERVAL: u64 = 8;
/// The longest line that is parsed.
const MAX_LINE_BYTES: usize = 4 << 20;

/// The first line of a capture.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The version of the format. Its name identifies the file as a capture.
    pub sillfold_capture: u32,
    /// The proxy's name.
    pub name: String,
    /// When the capture began, in Unix milliseconds.
    pub started_ms: u64,
    /// One service time in this many is recorded.
    pub sample: u32,
}

/// The load in one interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// When the interval began, in Unix milliseconds.
    pub at_ms: u64,
    /// The interval's length, in milliseconds.
    pub for_ms: u64,
    /// The counts of each class and group.
    pub cells: Vec<Cell>,
    /// The most frequent shapes: fingerprint, number of statements, and the sum of their service times in microseconds.
    #[serde(default)]
    pub shapes: Vec<(String, u64, u64)>,
}

/// The counts of one class in one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// The class's name.
    pub class: String,
    /// The group.
    pub group: u32,
    /// Requests that arrived.
    pub arrived: u64,
    /// Attempts that were made.
    pub tries: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that a member rejected because it isn't the primary or is too far behind.
    pub missed: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests with an expected cost: their number, and the sum of the expected costs in microseconds.
    #[serde(default)]
    pub expected: (u64, u64),
    /// Service times, as bucket and count.
    pub us: Vec<(u8, u64)>,
}

/// How an attempt ended, as far as a capture records it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// Served after this many microseconds.
    Served(u64),
    /// Rejected by a member that isn't the primary or is too far behind.
    Unsuitable,
    /// Anything else.
    Other,
}

/// The counts of one cell in the current interval.
#[derive(Default)]
struct CellCounts {
    cell: Cell,
    /// Service times by bucket.
    buckets: BTreeMap<u8, u64>,
}

/// Records the load of successive intervals.
pub struct Recorder {
    classes: Vec<String>,
    sample: u32,
    /// Attempts since the last sampled service time.
    since_sample: u32,
    cells: BTreeMap<(u8, u32), CellCounts>,
    /// Statements, and the sum of their service times in microseconds, by the shape's fingerprint.
    shapes: BTreeMap<u64, (u64, u64)>,
    statements_served: u64,
}

impl Recorder {
    /// A recorder for classes by number. One service time in `sample` is recorded.
    pub fn new(classes: Vec<String>, sample: u32) -> Recorder {
        let (cells, shapes) = Default::default();
        Recorder { classes, sample: sample.max(1), since_sample: 0, cells, shapes, statements_served: 0 }
    }

    fn cell(&mut self, class: u8, group: u32) -> &mut CellCounts {
        let separate = self.cells.len() < MAX_CELLS || self.cells.contains_key(&(class, group));
        // Once there are too many cells, all new groups of a class share one.
        let key = if separate { (class, group) } else { (class, u32::MAX) };
        self.cells.entry(key).or_default()
    }

    /// Records the arrival of a request. `expected_us` is 0 if the request's class alone determines its cost.
    pub fn request_arrived(&mut self, class: u8, group: u32, expected_us: u64) {
        let cell = &mut self.cell(class, group).cell;
        cell.arrived += 1;
        if expected_us > 0 {
            cell.expected = (cell.expected.0 + 1, cell.expected.1.saturating_add(expected_us));
        }
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, class: u8, group: u32, outcome: RecordedOutcome) {
        let sample = self.sample;
        self.since_sample = (self.since_sample + 1) % sample;
        let sampled = self.since_sample == 0;
        let counts = self.cell(class, group);
        counts.cell.tries += 1;
        match outcome {
            RecordedOutcome::Served(us) => {
                counts.cell.served += 1;
                if sampled {
                    *counts.buckets.entry(bucket_of(us)).or_default() += 1;
                }
            }
            RecordedOutcome::Unsuitable => counts.cell.missed += 1,
            RecordedOutcome::Other => {}
        }
    }

    /// Records a request that was refused, or that failed.
    pub fn request_unserved(&mut self, class: u8, group: u32, refused: bool) {
        let cell = &mut self.cell(class, group).cell;
        *(if refused { &mut cell.refused } else { &mut cell.failed }) += 1;
    }

    /// Records a served statement of the shape with this fingerprint, and its service time. If there are too many
    /// shapes, the most frequent ones are kept by the Space-Saving algorithm (Metwally, Agrawal and El Abbadi 2005): a
    /// new shape replaces the rarest one and takes over its count. One statement in eight is sampled and counts
    /// as eight. Guards against the cost that many rare shapes would add to every request.
    pub fn shape_served(&mut self, fingerprint: u64, us: u64) {
        self.statements_served += 1;
        // A multiplicative hash of the counter selects one statement in eight, so that the sampling doesn't coincide with
        // a periodic load.
        if (self.statements_served.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 61) != 0 {
            return;
        }
        if !self.shapes.contains_key(&fingerprint) && self.shapes.len() >= MAX_SHAPES {
            let rarest = self.shapes.iter().min_by_key(|s| s.1.0).map(|s| (*s.0, s.1.0));
            if let Some((rarest, count)) = rarest {
                self.shapes.remove(&rarest);
                self.shapes.insert(fingerprint, (count, 0));
            }
        }
        let shape = self.shapes.entry(fingerprint).or_default();
        *shape = (shape.0 + SHAPE_SAMPLE_INTERVAL, shape.1.saturating_add(us * SHAPE_SAMPLE_INTERVAL));
    }

    /// The record of the current interval, which began at `at_ms` and took `for_ms`. The next interval starts empty.
    pub fn take_record(&mut self, at_ms: u64, for_ms: u64) -> Record {
        let classes = &self.classes;
        let cells = std::mem::take(&mut self.cells).into_iter().map(|((class, group), counts)| Cell {
            class: classes.get(usize::from(class)).cloned().unwrap_or_default(),
            group,
            us: counts.buckets.into_iter().collect(),
            ..counts.cell
        });
        let cells = cells.collect();
        let shapes = std::mem::take(&mut self.shapes).into_iter();
        let shapes = shapes
            .map(|(fingerprint, (count, sum_us))| (format!("{fingerprint:016x}"), count, sum_us))
            .collect();
        Record { at_ms, for_ms, cells, shapes }
    }
}

/// The 32-bit FNV-1a hash.
fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193))
}

/// Encodes a header or a record as a line, with its line end.
pub fn encode_line(value: &impl Serialize) -> Result<String, serde_json::Error> {
    let text = serde_json::to_string(value)?;
    Ok(format!("{text}\t{:08x}\n", checksum(text.as_bytes())))
}

/// The contents of a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// The first line.
    pub header: Header,
    /// All intact records before the first fault.
    pub records: Vec<Record>,
}

/// A fault in a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The line number, from 1.
    pub line: usize,
    /// What is wrong with the line.
    pub problem: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.problem)
    }
}

/// The JSON object of a line, once its checksum was verified.
fn verified_object(line: &[u8]) -> Result<&[u8], String> {
    if line.len() > MAX_LINE_BYTES {
        return Err(format!("a line of {} bytes", line.len()));
    }
    let corrupt = "cut short, or changed";
    let tab = line.iter().rposition(|&b| b == b'\t').ok_or(corrupt)?;
    let (object, sum) = (&line[..tab], &line[tab + 1..]);
    let sum = std::str::from_utf8(sum).ok().and_then(|s| u32::from_str_radix(s, 16).ok());
    if sum == Some(checksum(object)) { Ok(object) } else { Err(corrupt.into()) }
}

/// Parses a capture up to its first fault, which is returned beside the intact part. Fails if the first line is not a
/// header, or if it is one of another version.
pub fn parse(bytes: &[u8]) -> Result<(Capture, Option<Fault>), Fault> {
    let ends_with_newline = bytes.last() == Some(&b'\n');
    let mut lines = bytes.split(|&b| b == b'\n').enumerate();
    let fault = |line: usize, problem: String| Fault { line, problem };
    let first = lines.next().map_or(&[][..], |l| l.1);
    let not_a_capture = |problem: String| fault(1, format!("no capture: {problem}"));
    let object = verified_object(first).map_err(not_a_capture)?;
    let header: Header = serde_json::from_slice(object).map_err(|e| not_a_capture(e.to_string()))?;
    if header.sillfold_capture != VERSION {
        let problem = format!("version {} of the format; this reads {VERSION}", header.sillfold_capture);
        return Err(fault(1, problem));
    }
    let mut records = Vec::new();
    let mut first_fault = None;
    let mut last_index = 0;
    for (i, line) in lines {
        if line.is_empty() {
            continue;
        }
        last_index = i;
        let record = verified_object(line).and_then(|o| serde_json::from_slice(o).map_err(|e| e.to_string()));
        match record {
            Ok(record) => records.push(record),
            Err(problem) => {
                first_fault = Some(fault(i + 1, problem));
                break;
            }
        }
    }
    if first_fault.is_none() && !ends_with_newline {
        first_fault = Some(fault(last_index + 1, "its last line has no end".into()));
    }
    Ok((Capture { header, records }, first_fault))
}

/// The totals of one class over a whole capture.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassSummary {
    /// Requests that arrived.
    pub arrived: u64,
    /// Attempts per request.
    pub tries: f64,
    /// The share of attempts that a member rejected because it isn't the primary or is too far behind.
    pub missed: f64,
    /// The share of requests that were refused or failed.
    pub unserved: f64,
    /// Recorded service times.
    pub samples: u64,
    /// Mean of the service times, in microseconds.
    pub mean_us: f64,
    /// Squared coefficient of variation of the service times.
    pub cv2: f64,
    /// 95th percentile of the service times, in microseconds.
    pub p95_us: f64,
}

/// The totals of a capture.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// The length of all intervals, in seconds.
    pub seconds: f64,
    /// The totals of each class, by name.
    pub classes: BTreeMap<String, ClassSummary>,
    /// Requests by group.
    pub groups: BTreeMap<u32, u64>,
    /// The most frequent shapes: fingerprint, number of statements, mean service time in microseconds.
    pub shapes: Vec<(String, u64, f64)>,
}

impl Capture {
    /// Sums up all records.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        let mut buckets_by_class: BTreeMap<&str, BTreeMap<u8, u64>> = BTreeMap::new();
        // Requests, attempts, rejected attempts and unserved requests of each class.
        let mut counts_by_class: BTreeMap<&str, [u64; 4]> = BTreeMap::new();
        let mut shapes: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for record in &self.records {
            summary.seconds += record.for_ms as f64 / 1e3;
            for cell in &record.cells {
                let sums = counts_by_class.entry(&cell.class).or_default();
                let counts = [cell.arrived, cell.tries, cell.missed, cell.refused + cell.failed];
                sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
                *summary.groups.entry(cell.group).or_default() += cell.arrived;
                let buckets = buckets_by_class.entry(&cell.class).or_default();
                cell.us.iter().for_each(|(bucket, n)| *buckets.entry(*bucket).or_default() += n);
            }
            for (fingerprint, count, sum_us) in &record.shapes {
                let shape = shapes.entry(fingerprint).or_default();
                *shape = (shape.0 + count, shape.1 + sum_us);
            }
        }
        for (class, [arrived, tries, missed, unserved]) in counts_by_class {
            let buckets = &buckets_by_class[class];
            let samples: u64 = buckets.values().sum();
            let mean = |f: &dyn Fn(f64) -> f64| {
                let sum: f64 = buckets.iter().map(|(b, n)| f(middle_us(*b)) * *n as f64).sum();
                if samples > 0 { sum / samples as f64 } else { 0.0 }
            };
            let mean_us = mean(&|x| x);
            let mean_square = mean(&|x| x * x);
            let mut cumulative = 0;
            let p95_bucket = buckets.iter().find(|(_, n)| {
                cumulative += **n;
                cumulative as f64 >= 0.95 * samples as f64
            });
            let ratio = |part: u64, whole: u64| if whole > 0 { part as f64 / whole as f64 } else { 0.0 };
            let class_summary = ClassSummary {
                arrived,
                tries: ratio(tries, arrived),
                missed: ratio(missed, tries),
                unserved: ratio(unserved, arrived),
                samples,
                mean_us,
                cv2: if mean_us > 0.0 { (mean_square / (mean_us * mean_us) - 1.0).max(0.0) } else { 0.0 },
                p95_us: p95_bucket.map_or(0.0, |(b, _)| middle_us(*b)),
            };
            summary.classes.insert(class.to_string(), class_summary);
        }
        let mean = |(count, sum_us): (u64, u64)| sum_us as f64 / count.max(1) as f64;
        summary.shapes =
            shapes.into_iter().map(|(fingerprint, s)| (fingerprint.to_string(), s.0, mean(s))).collect();
        summary.shapes.sort_by_key(|s| std::cmp::Reverse(s.1));
        summary.shapes.truncate(MAX_SHAPES);
        summary
    }
}
