//! Estimates of how long a statement takes: measured for each shape, and for a new shape guessed from its syntax tree
//! and from the durations of other shapes of its tables. Pure: the caller reports the measured durations. The
//! estimate must never depend on a statement's text, and must always be bounded.

use quick_cache::unsync::Cache;
use sillfold_histogram::{BUCKETS, bucket_of, middle_us};
use sillfold_sql::{Analysis, CostFeatures};

/// Once a histogram holds this many samples, all its counts are halved, so that old samples lose weight.
const MAX_SAMPLES: u16 = 256;
/// From this many samples on, an estimate rests on the histogram alone. Below, the guess counts in proportion.
const TRUSTED_SAMPLES: u16 = 8;
/// The largest estimate.
const MAX_ESTIMATE_US: f64 = 60_000_000.0;
/// Measured durations, of any shapes, after which all estimates are computed again.
const DURATIONS_PER_GENERATION: u64 = 16;
/// Tables whose cost ratio is kept.
const MAX_TABLES: usize = 1024;
/// Weight of the old mean in a cost ratio when a new duration is added.
const OLD_MEAN_WEIGHT: f64 = 0.9;
/// Tables of one statement whose cost ratio is used and updated.
const MAX_TABLES_PER_STATEMENT: usize = 8;

/// The durations of one shape's statements, in buckets. Old samples lose weight as new ones are added. It takes 180
/// bytes and no heap.
#[derive(Clone, Debug, PartialEq)]
pub struct DurationHistogram {
    counts: [u16; BUCKETS],
    samples: u16,
}

impl Default for DurationHistogram {
    fn default() -> DurationHistogram {
        DurationHistogram { counts: [0; BUCKETS], samples: 0 }
    }
}

impl DurationHistogram {
    /// Adds a duration in microseconds.
    pub fn record(&mut self, us: u64) {
        self.counts[usize::from(bucket_of(us))] += 1;
        self.samples += 1;
        if self.samples >= MAX_SAMPLES {
            self.counts.iter_mut().for_each(|c| *c /= 2);
            self.samples = self.counts.iter().sum();
        }
    }

    /// The number of samples that still count.
    pub fn len(&self) -> u16 {
        self.samples
    }

    /// Whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.samples == 0
    }

    /// The duration at a quantile from 0 to 1, in microseconds. Its error is within 9 % where it is over 16 us.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        let rank = (quantile * f64::from(self.samples)).ceil().max(1.0) as u32;
        let mut cumulative = 0;
        let bucket = self.counts.iter().position(|&count| {
            cumulative += u32::from(count);
            cumulative >= rank
        })?;
        Some(middle_us(bucket as u8))
    }
}

/// How long a statement is expected to take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The median, in microseconds.
    pub p50_us: u64,
    /// The 95th percentile, in microseconds.
    pub p95_us: u64,
    /// The number of samples that the estimate rests on.
    pub samples: u16,
}

/// The weighted mean of measured to guessed duration, as a binary logarithm.
#[derive(Clone, Copy, Default)]
struct CostRatio {
    mean_log2: f64,
    weight: f64,
}

/// The cost model: the guess from a syntax tree, and the cost ratios of tables that correct it.
pub struct CostModel {
    base_cost_us: f64,
    table_ratios: Cache<Box<str>, CostRatio>,
    overall_ratio: CostRatio,
    recorded: u64,
}

impl CostRatio {
    fn add(&mut self, log2_ratio: f64) {
        self.mean_log2 = self.weight * OLD_MEAN_WEIGHT * self.mean_log2 + log2_ratio;
        self.weight = self.weight * OLD_MEAN_WEIGHT + 1.0;
        self.mean_log2 /= self.weight;
    }
}

impl CostModel {
    /// A model in which the simplest statement takes `base_cost_us` microseconds until durations are recorded.
    pub fn new(base_cost_us: u64) -> CostModel {
        CostModel {
            base_cost_us: base_cost_us.max(1) as f64,
            table_ratios: Cache::new(MAX_TABLES),
            overall_ratio: CostRatio::default(),
            recorded: 0,
        }
    }

    /// The model's generation. An estimate of an older generation is out of date.
    pub fn generation(&self) -> u64 {
        self.recorded / DURATIONS_PER_GENERATION
    }

    /// The duration that the syntax tree alone suggests, in microseconds. Each kind of feature counts at most 20 times.
    fn guess_us(&self, features: &CostFeatures) -> f64 {
        let weighted = |count: u16, weight: f64| f64::from(count.min(20)) * weight;
        let work = 1.0
            + weighted(features.joins, 1.0)
            + weighted(features.aggregates, 1.0)
            + weighted(features.sorts, 0.5)
            + weighted(features.subqueries, 0.5);
        let unbounded_factor = if features.limited || features.keyed { 1.0 } else { 2.0 };
        let scan_factor = 1.0 + weighted(features.unfiltered, 3.0);
        let key_factor = if features.keyed { 0.5 } else { 1.0 };
        self.base_cost_us * work * unbounded_factor * scan_factor * key_factor
    }

    /// The ratio of measured to guessed duration for the shape's tables, or for all shapes if none of its tables is
    /// known.
    fn ratio(&self, analysis: &Analysis) -> f64 {
        let tables = analysis.tables.iter().take(MAX_TABLES_PER_STATEMENT);
        let known: Vec<CostRatio> = tables.filter_map(|t| self.table_ratios.peek(&**t).copied()).collect();
        if known.is_empty() {
            // The ratio of other tables says only so much about an unknown one, so half of its logarithm counts.
            return (self.overall_ratio.mean_log2 * 0.5).exp2();
        }
        // A statement is assumed to take as long as its slowest table.
        known.iter().map(|ratio| ratio.mean_log2).fold(f64::MIN, f64::max).exp2()
    }

    /// The estimate for a shape with this analysis and these measured durations.
    pub fn estimate(&self, analysis: &Analysis, histogram: &DurationHistogram) -> Estimate {
        let guess_us = (self.guess_us(&analysis.features) * self.ratio(analysis)).clamp(1.0, MAX_ESTIMATE_US);
        let measured_share = f64::from(histogram.len().min(TRUSTED_SAMPLES)) / f64::from(TRUSTED_SAMPLES);
        let blend = |quantile: f64, guess_us: f64| {
            let measured_us = histogram.quantile(quantile).unwrap_or(guess_us);
            // The mean is geometric: halfway between one second and one millisecond are about 30 ms.
            (measured_us.ln() * measured_share + guess_us.ln() * (1.0 - measured_share))
                .exp()
                .clamp(1.0, MAX_ESTIMATE_US) as u64
        };
        let p50_us = blend(0.5, guess_us);
        // The 95th percentile of a shape without samples is taken to be four times its median.
        let p95_us = blend(0.95, guess_us * 4.0);
        Estimate { p50_us, p95_us: p95_us.max(p50_us), samples: histogram.len() }
    }

    /// Records the duration of a statement, in microseconds, in its shape's histogram and in the cost ratios of its
    /// tables.
    pub fn record_duration(&mut self, analysis: &Analysis, histogram: &mut DurationHistogram, us: u64) {
        histogram.record(us);
        self.recorded += 1;
        let log2_ratio = (us.max(1) as f64 / self.guess_us(&analysis.features)).log2();
        self.overall_ratio.add(log2_ratio);
        for table in analysis.tables.iter().take(MAX_TABLES_PER_STATEMENT) {
            match self.table_ratios.get_mut(&**table) {
                Some(mut ratio) => ratio.add(log2_ratio),
                None => {
                    let mut new = CostRatio::default();
                    new.add(log2_ratio);
                    self.table_ratios.insert(table.clone(), new);
                }
            }
        }
    }
}
