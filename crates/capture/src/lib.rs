//! Recording of load: aggregates of requests by class and group in bounded memory, and the text format in which they
//! are stored. Pure: it is told what happened and returns lines, or is given bytes and returns what they hold. Memory
//! does not grow with the load; a changed or truncated line is detected by its checksum.
//!
//! A capture is text. Each line is a JSON object, a tab, and eight hexadecimal digits: FNV-1a of 32 bits over the
//! object's bytes. The first line is a [`Header`], each further one a [`Record`]. Times are in microseconds, in the buckets
//! of `sillfold_histogram`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use serde::{Deserialize, Serialize};
use sillfold_histogram::{bucket_of, middle_us};
use std::collections::BTreeMap;

/// The version of the format.
pub const VERSION: u32 = 1;
/// The most pairs of class and group that are told apart; what is beyond counts as the last of them.
const MOST_CELLS: usize = 1_024;
/// Shapes that are told apart in one record: those that came most.
const MOST_SHAPES: usize = 32;
/// One shape in so many is looked at.
const SHAPE_SAMPLE: u64 = 8;
/// The longest line that is read.
const MOST_LINE: usize = 4 << 20;

/// The first line of a capture.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// The format's version; its name tells that this is a capture at all.
    pub sillfold_capture: u32,
    /// The proxy's name.
    pub name: String,
    /// When it began, in Unix milliseconds.
    pub started_ms: u64,
    /// One service time in so many is recorded.
    pub sample: u32,
}

/// What happened in one interval.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// When it began, in Unix milliseconds.
    pub at_ms: u64,
    /// How long it was, in milliseconds.
    pub for_ms: u64,
    /// By class and group.
    pub cells: Vec<Cell>,
    /// The shapes that came most: number, how often, and the sum of their service times.
    #[serde(default)]
    pub shapes: Vec<(String, u64, u64)>,
}

/// What happened to one class in one group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cell {
    /// The class.
    pub class: String,
    /// The group.
    pub group: u32,
    /// Requests that came.
    pub arrived: u64,
    /// Attempts that were made.
    pub tries: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that a member turned away, not being the primary or too far behind.
    pub missed: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Expected costs of those that brought one: how many, and their sum in microseconds.
    #[serde(default)]
    pub expected: (u64, u64),
    /// Service times as bucket and count.
    pub us: Vec<(u8, u64)>,
}

/// What ended an attempt, as far as a capture tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// Served after so many microseconds.
    Served(u64),
    /// Turned away, being too far behind or not the primary.
    Unsuitable,
    /// Anything else.
    Other,
}

#[derive(Default)]
struct Counts {
    cell: Cell,
    us: BTreeMap<u8, u64>,
}

/// Records one interval after the other.
pub struct Recorder {
    classes: Vec<String>,
    sample: u32,
    seen: u32,
    cells: BTreeMap<(u8, u32), Counts>,
    shapes: BTreeMap<u64, (u64, u64)>,
    shapes_seen: u64,
}

impl Recorder {
    /// A recorder of classes by number; one service time in `sample` is recorded.
    pub fn new(classes: Vec<String>, sample: u32) -> Recorder {
        let (cells, shapes) = Default::default();
        Recorder { classes, sample: sample.max(1), seen: 0, cells, shapes, shapes_seen: 0 }
    }

    fn cell(&mut self, class: u8, group: u32) -> &mut Counts {
        let known = self.cells.len() < MOST_CELLS || self.cells.contains_key(&(class, group));
        // Beyond what is told apart, all count as one.
        let key = if known { (class, group) } else { (class, u32::MAX) };
        self.cells.entry(key).or_default()
    }

    /// A request came; what it is expected to take is 0 where only its class tells.
    pub fn request_arrived(&mut self, class: u8, group: u32, expected_us: u64) {
        let c = &mut self.cell(class, group).cell;
        c.arrived += 1;
        if expected_us > 0 {
            c.expected = (c.expected.0 + 1, c.expected.1.saturating_add(expected_us));
        }
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, class: u8, group: u32, how: RecordedOutcome) {
        let sample = self.sample;
        self.seen = (self.seen + 1) % sample;
        let sampled = self.seen == 0;
        let c = self.cell(class, group);
        c.cell.tries += 1;
        match how {
            RecordedOutcome::Served(us) => {
                c.cell.served += 1;
                if sampled {
                    *c.us.entry(bucket_of(us)).or_default() += 1;
                }
            }
            RecordedOutcome::Unsuitable => c.cell.missed += 1,
            RecordedOutcome::Other => {}
        }
    }

    /// A request was refused, or failed.
    pub fn request_unserved(&mut self, class: u8, group: u32, refused: bool) {
        let c = &mut self.cell(class, group).cell;
        *(if refused { &mut c.refused } else { &mut c.failed }) += 1;
    }

    /// A statement of this shape was served. Of very many shapes those that come most are kept (space saving,
    /// Metwally, Agrawal and El Abbadi 2005): a new one takes the place and the count of the rarest.
    /// Of all that come one in eight is looked at, and counts for as many: guards against a cost that many rare
    /// shapes would have on every request.
    pub fn shape_served(&mut self, number: u64, us: u64) {
        self.shapes_seen += 1;
        // An odd stride, so that no pattern of the load falls together with it.
        if (self.shapes_seen.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 61) != 0 {
            return;
        }
        if !self.shapes.contains_key(&number) && self.shapes.len() >= MOST_SHAPES {
            let rarest = self.shapes.iter().min_by_key(|s| s.1.0).map(|s| (*s.0, s.1.0));
            if let Some((rarest, count)) = rarest {
                self.shapes.remove(&rarest);
                self.shapes.insert(number, (count, 0));
            }
        }
        let s = self.shapes.entry(number).or_default();
        *s = (s.0 + SHAPE_SAMPLE, s.1.saturating_add(us * SHAPE_SAMPLE));
    }

    /// What happened since the last taking.
    pub fn take_record(&mut self, at_ms: u64, for_ms: u64) -> Record {
        let classes = &self.classes;
        let cells = std::mem::take(&mut self.cells).into_iter().map(|((class, group), counts)| Cell {
            class: classes.get(usize::from(class)).cloned().unwrap_or_default(),
            group,
            us: counts.us.into_iter().collect(),
            ..counts.cell
        });
        let cells = cells.collect();
        let shapes = std::mem::take(&mut self.shapes).into_iter();
        let shapes = shapes.map(|(n, (count, us))| (format!("{n:016x}"), count, us)).collect();
        Record { at_ms, for_ms, cells, shapes }
    }
}

fn checksum(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |h, b| (h ^ u32::from(*b)).wrapping_mul(0x0100_0193))
}

/// A line of a capture, its end included.
pub fn encode_line(value: &impl Serialize) -> Result<String, serde_json::Error> {
    let text = serde_json::to_string(value)?;
    Ok(format!("{text}\t{:08x}\n", checksum(text.as_bytes())))
}

/// What a capture holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// Its first line.
    pub header: Header,
    /// All whole records before the first fault.
    pub records: Vec<Record>,
}

/// What is wrong with a capture, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// The line, from 1 on.
    pub line: usize,
    /// What is wrong there.
    pub problem: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}: {}", self.line, self.problem)
    }
}

fn object(line: &[u8]) -> Result<&[u8], String> {
    if line.len() > MOST_LINE {
        return Err(format!("a line of {} bytes", line.len()));
    }
    let torn = "cut short, or changed";
    let at = line.iter().rposition(|&b| b == b'\t').ok_or(torn)?;
    let (text, sum) = (&line[..at], &line[at + 1..]);
    let sum = std::str::from_utf8(sum).ok().and_then(|s| u32::from_str_radix(s, 16).ok());
    if sum == Some(checksum(text)) { Ok(text) } else { Err(torn.into()) }
}

/// Reads a capture: all that is whole, and the first fault if there is one. The error is that of something that is no
/// capture, or none of this version.
pub fn parse(bytes: &[u8]) -> Result<(Capture, Option<Fault>), Fault> {
    let ended = bytes.last() == Some(&b'\n');
    let mut lines = bytes.split(|&b| b == b'\n').enumerate();
    let fault = |line: usize, problem: String| Fault { line, problem };
    let first = lines.next().map_or(&[][..], |l| l.1);
    let foreign = |what: String| fault(1, format!("no capture: {what}"));
    let text = object(first).map_err(foreign)?;
    let header: Header = serde_json::from_slice(text).map_err(|e| foreign(e.to_string()))?;
    if header.sillfold_capture != VERSION {
        let what = format!("version {} of the format; this reads {VERSION}", header.sillfold_capture);
        return Err(fault(1, what));
    }
    let mut records = Vec::new();
    let mut wrong = None;
    let mut last = 0;
    for (i, line) in lines {
        if line.is_empty() {
            continue;
        }
        last = i;
        let record = object(line).and_then(|t| serde_json::from_slice(t).map_err(|e| e.to_string()));
        match record {
            Ok(record) => records.push(record),
            Err(what) => {
                wrong = Some(fault(i + 1, what));
                break;
            }
        }
    }
    if wrong.is_none() && !ended {
        wrong = Some(fault(last + 1, "its last line has no end".into()));
    }
    Ok((Capture { header, records }, wrong))
}

/// One class over a whole capture.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Total {
    /// Requests that came.
    pub arrived: u64,
    /// Attempts for each request.
    pub tries: f64,
    /// The share of attempts that were turned away.
    pub missed: f64,
    /// The share of requests that were refused or failed.
    pub unserved: f64,
    /// Service times that were recorded.
    pub samples: u64,
    /// Their mean, in microseconds.
    pub mean_us: f64,
    /// Their squared coefficient of variation.
    pub cv2: f64,
    /// Their 95th percentile, in microseconds.
    pub p95_us: f64,
}

/// A capture as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// For how long it was watched, in seconds.
    pub seconds: f64,
    /// By class.
    pub classes: BTreeMap<String, Total>,
    /// Requests by group.
    pub groups: BTreeMap<u32, u64>,
    /// The shapes that came most: number, how often, mean service time in microseconds.
    pub shapes: Vec<(String, u64, f64)>,
}

impl Capture {
    /// All of it as one.
    pub fn summary(&self) -> Summary {
        let mut out = Summary::default();
        let mut us: BTreeMap<&str, BTreeMap<u8, u64>> = BTreeMap::new();
        let mut sums: BTreeMap<&str, [u64; 4]> = BTreeMap::new();
        let mut shapes: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for r in &self.records {
            out.seconds += r.for_ms as f64 / 1e3;
            for c in &r.cells {
                let s = sums.entry(&c.class).or_default();
                let adds = [c.arrived, c.tries, c.missed, c.refused + c.failed];
                s.iter_mut().zip(adds).for_each(|(a, b)| *a += b);
                *out.groups.entry(c.group).or_default() += c.arrived;
                let all = us.entry(&c.class).or_default();
                c.us.iter().for_each(|(b, n)| *all.entry(*b).or_default() += n);
            }
            for (n, count, took) in &r.shapes {
                let s = shapes.entry(n).or_default();
                *s = (s.0 + count, s.1 + took);
            }
        }
        for (class, [arrived, tries, missed, unserved]) in sums {
            let times = &us[class];
            let samples: u64 = times.values().sum();
            let mean = |f: &dyn Fn(f64) -> f64| {
                let sum: f64 = times.iter().map(|(b, n)| f(middle_us(*b)) * *n as f64).sum();
                if samples > 0 { sum / samples as f64 } else { 0.0 }
            };
            let (mean_us, square) = (mean(&|x| x), mean(&|x| x * x));
            let mut below = 0;
            let p95 = times.iter().find(|(_, n)| {
                below += **n;
                below as f64 >= 0.95 * samples as f64
            });
            let share = |part: u64, of: u64| if of > 0 { part as f64 / of as f64 } else { 0.0 };
            let total = Total {
                arrived,
                tries: share(tries, arrived),
                missed: share(missed, tries),
                unserved: share(unserved, arrived),
                samples,
                mean_us,
                cv2: if mean_us > 0.0 { (square / (mean_us * mean_us) - 1.0).max(0.0) } else { 0.0 },
                p95_us: p95.map_or(0.0, |(b, _)| middle_us(*b)),
            };
            out.classes.insert(class.to_string(), total);
        }
        let mean = |(count, us): (u64, u64)| us as f64 / count.max(1) as f64;
        out.shapes = shapes.into_iter().map(|(n, s)| (n.to_string(), s.0, mean(s))).collect();
        out.shapes.sort_by_key(|s| std::cmp::Reverse(s.1));
        out.shapes.truncate(MOST_SHAPES);
        out
    }
}
