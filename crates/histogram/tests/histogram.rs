//! Compares the buckets with the logarithm that defines them.

use sillfold_histogram::{BUCKETS, bucket_of, middle_us};

/// The definition: quarter octaves from 16 us on, clamped to the first and the last bucket.
fn bucket_by_logarithm(us: u64) -> u8 {
    let quarter_octaves = ((us.max(1) as f64 / 16.0).log2() * 4.0).floor().max(0.0);
    (quarter_octaves as usize).min(BUCKETS - 1) as u8
}

#[test]
fn times_up_to_a_second_match_the_logarithm() {
    for us in 0..1_000_000 {
        assert_eq!(bucket_of(us), bucket_by_logarithm(us), "{us} us");
    }
}

#[test]
fn times_around_each_bound_match_the_logarithm() {
    for bucket in 0..=BUCKETS {
        let bound = (16.0 * (bucket as f64 / 4.0).exp2()).ceil() as u64;
        for us in bound - 2..=bound + 2 {
            assert_eq!(bucket_of(us), bucket_by_logarithm(us), "{us} us");
        }
    }
    assert_eq!(usize::from(bucket_of(u64::MAX)), BUCKETS - 1);
}

#[test]
fn middle_of_a_bucket_lies_in_the_bucket() {
    for bucket in 0..BUCKETS as u8 {
        assert_eq!(bucket_of(middle_us(bucket) as u64), bucket);
    }
}
