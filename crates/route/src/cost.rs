//! What a statement costs: learnt for each shape, guessed for a new one from its syntax tree and from what
//! other shapes of its tables took. It owns the sketches. It must never look at a statement's text, and
//! never give an estimate without a bound on it.

use quick_cache::unsync::Cache;
use sillfold_histogram::{BUCKETS, bucket_of, middle_us};
use sillfold_sql::{Analysis, CostFeatures};

/// At this sum all counts are halved, so that what was long ago fades.
const FADES_AT: u16 = 256;
/// So many samples make a histogram count alone; below, the guess counts in proportion.
const SURE: u16 = 8;
/// The longest estimate.
const LONGEST_US: f64 = 60_000_000.0;
/// Estimates of other shapes are made anew after so many runs.
const RENEWED_AFTER: u64 = 16;
/// Tables whose experience is kept.
const TABLES: usize = 1024;
/// Weight of the old value in a table's experience, and of how many tables of a statement one is kept.
const TABLE_OLD: f64 = 0.9;
const TABLES_EACH: usize = 8;

/// Service times of one shape: counts by size that fade as new ones come. 180 bytes, no heap.
#[derive(Clone, Debug, PartialEq)]
pub struct DurationHistogram {
    counts: [u16; BUCKETS],
    sum: u16,
}

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        DurationHistogram { counts: [0; BUCKETS], sum: 0 }
    }
}

impl DurationHistogram {
    /// Takes in a service time in microseconds.
    pub fn record(&mut self, us: u64) {
        self.counts[usize::from(bucket_of(us))] += 1;
        self.sum += 1;
        if self.sum >= FADES_AT {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.sum = self.counts.iter().sum();
        }
    }

    /// Samples that still count.
    pub fn len(&self) -> u16 {
        self.sum
    }

    /// Whether nothing counts.
    pub fn is_empty(&self) -> bool {
        self.sum == 0
    }

    /// The service time at a quantile from 0 to 1, in microseconds; within 9 % where it is over 16 us.
    pub fn quantile(&self, q: f64) -> Option<f64> {
        let rank = (q * f64::from(self.sum)).ceil().max(1.0) as u32;
        let mut seen = 0;
        let bucket = self.counts.iter().position(|&c| {
            seen += u32::from(c);
            seen >= rank
        })?;
        Some(middle_us(bucket as u8))
    }
}

/// What a statement is expected to take, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// What half of the runs take at most.
    pub p50_us: u64,
    /// What 95 of 100 take at most.
    pub p95_us: u64,
    /// Samples behind it.
    pub samples: u16,
}

/// What shapes of a table took beside what their trees let expect, by its binary logarithm.
#[derive(Clone, Copy, Default)]
struct Experience {
    log_ratio: f64,
    weight: f64,
}

/// The estimator: the guess for trees, and what tables taught.
pub struct CostModel {
    base_cost_us: f64,
    tables: Cache<Box<str>, Experience>,
    all: Experience,
    learnt: u64,
}

impl Experience {
    fn learn(&mut self, log_ratio: f64) {
        self.log_ratio = self.weight * TABLE_OLD * self.log_ratio + log_ratio;
        self.weight = self.weight * TABLE_OLD + 1.0;
        self.log_ratio /= self.weight;
    }
}

impl CostModel {
    /// An estimator for which the simplest statement takes this long, in microseconds, until it learns better.
    pub fn new(base_cost_us: u64) -> CostModel {
        CostModel {
            base_cost_us: base_cost_us.max(1) as f64,
            tables: Cache::new(TABLES),
            all: Experience::default(),
            learnt: 0,
        }
    }

    /// How old an estimate may be: it changes with every so many runs, of whatever shape.
    pub fn generation(&self) -> u64 {
        self.learnt / RENEWED_AFTER
    }

    /// What the tree alone lets expect.
    fn guess(&self, f: &CostFeatures) -> f64 {
        let part = |count: u16, each: f64| f64::from(count.min(20)) * each;
        let work =
            1.0 + part(f.joins, 1.0) + part(f.aggregates, 1.0) + part(f.sorts, 0.5) + part(f.subqueries, 0.5);
        let unbounded = if f.limited || f.keyed { 1.0 } else { 2.0 };
        let scans = 1.0 + part(f.unfiltered, 3.0);
        let keyed = if f.keyed { 0.5 } else { 1.0 };
        self.base_cost_us * work * unbounded * scans * keyed
    }

    /// How much more than guessed its tables' shapes took, else all shapes.
    fn ratio(&self, analysis: &Analysis) -> f64 {
        let tables = analysis.tables.iter().take(TABLES_EACH);
        let known: Vec<Experience> = tables.filter_map(|t| self.tables.peek(&**t).copied()).collect();
        if known.is_empty() {
            // Only part of what others took holds for a table of which nothing is known.
            return (self.all.log_ratio * 0.5).exp2();
        }
        // A statement takes as long as its slowest table.
        known.iter().map(|e| e.log_ratio).fold(f64::MIN, f64::max).exp2()
    }

    /// The estimate for a shape with this histogram.
    pub fn estimate(&self, analysis: &Analysis, histogram: &DurationHistogram) -> Estimate {
        let guess = (self.guess(&analysis.features) * self.ratio(analysis)).clamp(1.0, LONGEST_US);
        let share = f64::from(histogram.len().min(SURE)) / f64::from(SURE);
        let at = |q: f64, guess: f64| {
            let seen = histogram.quantile(q).unwrap_or(guess);
            // By ratio: one sample of a second and a guess of a millisecond are 30 ms.
            (seen.ln() * share + guess.ln() * (1.0 - share)).exp().clamp(1.0, LONGEST_US) as u64
        };
        let (p50_us, p95_us) = (at(0.5, guess), at(0.95, guess * 4.0));
        Estimate { p50_us, p95_us: p95_us.max(p50_us), samples: histogram.len() }
    }

    /// A run of a shape was served in this time; its histogram takes it in, and its tables do.
    pub fn record_duration(&mut self, analysis: &Analysis, histogram: &mut DurationHistogram, us: u64) {
        histogram.record(us);
        self.learnt += 1;
        let ratio = (us.max(1) as f64 / self.guess(&analysis.features)).log2();
        self.all.learn(ratio);
        for table in analysis.tables.iter().take(TABLES_EACH) {
            match self.tables.get_mut(&**table) {
                Some(mut known) => known.learn(ratio),
                None => {
                    let mut new = Experience::default();
                    new.learn(ratio);
                    self.tables.insert(table.clone(), new);
                }
            }
        }
    }
}
