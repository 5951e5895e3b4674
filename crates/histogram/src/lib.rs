//! Logarithmic buckets for histograms of service times. Each bucket is a quarter octave wide; the first also holds all
//! shorter times and ends at about 19 us, the last begins at about 56 s and also holds all longer times. Pure: callers
//! keep their own counts.
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
/// The nominal lower bound of the first bucket, in microseconds. The bucket also holds shorter times.
const FIRST_LOWER_BOUND_US: f64 = 16.0;
/// Buckets for each doubling of the service time.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// The lower bounds of all buckets but the first, in microseconds. A binary search over them takes a tenth of the time
/// of a logarithm.
static LOWER_BOUNDS_US: LazyLock<[u64; BUCKETS - 1]> =
    LazyLock::new(|| std::array::from_fn(|i| lower_bound_us(i + 1).ceil() as u64));

/// The lower bound of a bucket, in microseconds.
fn lower_bound_us(bucket: usize) -> f64 {
    FIRST_LOWER_BOUND_US * (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
}

/// The bucket of a time in microseconds.
pub fn bucket_of(us: u64) -> u8 {
    LOWER_BOUNDS_US.partition_point(|&lower_bound| lower_bound <= us) as u8
}

/// The geometric middle of a bucket, in microseconds.
pub fn middle_us(bucket: u8) -> f64 {
    FIRST_LOWER_BOUND_US * ((f64::from(bucket) + 0.5) / BUCKETS_PER_OCTAVE).exp2()
}
