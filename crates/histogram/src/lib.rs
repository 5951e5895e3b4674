//! Logarithmic buckets for histograms of service times: a quarter octave wide, the first for all below about 19 us, the
//! last for all beyond about 56 s. Pure. It owns the bounds of the buckets; whoever counts keeps the counts.
//!
//! ```
//! use sillfold_histogram::{bucket_of, middle_us};
//!
//! assert_eq!(bucket_of(32), 4);
//! assert!((middle_us(4) - 34.9).abs() < 0.1);
//! ```

use std::sync::LazyLock;

/// The number of buckets.
pub const BUCKETS: usize = 88;
/// Where the first bucket begins, in microseconds; it holds smaller times too.
const SMALLEST_US: f64 = 16.0;
/// Buckets for each doubling of the time.
const PER_OCTAVE: f64 = 4.0;

/// The lower bounds of all buckets but the first. Binary search over them takes a tenth of a logarithm's time.
static LOWER_BOUNDS_US: LazyLock<[u64; BUCKETS - 1]> =
    LazyLock::new(|| std::array::from_fn(|i| lower_bound_us(i + 1).ceil() as u64));

fn lower_bound_us(bucket: usize) -> f64 {
    SMALLEST_US * (bucket as f64 / PER_OCTAVE).exp2()
}

/// The bucket of a time in microseconds.
pub fn bucket_of(us: u64) -> u8 {
    LOWER_BOUNDS_US.partition_point(|&lower_bound| lower_bound <= us) as u8
}

/// The middle of a bucket by ratio, in microseconds.
pub fn middle_us(bucket: u8) -> f64 {
    SMALLEST_US * ((f64::from(bucket) + 0.5) / PER_OCTAVE).exp2()
}
