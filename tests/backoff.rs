//! The delays between calls to discovery. Pure.

use sillfold::ListMode::{OnRequest, Pushed};
use sillfold::net::backoff::{Backoff, NOTIFIED_AFTER};
use std::time::Duration;

/// The maximum number of calls within one second, of those that `proxies` proxies make after their first failure and after
/// their second.
fn max_calls_per_second(proxies: u32) -> [usize; 2] {
    let mut seconds = [[0; 64]; 2];
    for seed in 0..u64::from(proxies) {
        let mut backoff = Backoff::new(OnRequest, proxies, seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        for (n, wait) in [backoff.after_failure(), backoff.after_failure()].into_iter().enumerate() {
            seconds[n][wait.as_secs() as usize] += 1;
        }
    }
    seconds.map(|s| s.into_iter().max().unwrap_or(0))
}

/// All proxies lose their connections at once. They call again one after the other, as far apart as the time allows after
/// which they count as notified.
#[test]
fn a_hundred_proxies_that_lose_one_service_do_not_call_it_together() {
    for proxies in [100, 300] {
        let max_calls = (proxies as usize * 9).div_ceil(20);
        let [first, second] = max_calls_per_second(proxies);
        assert!(first <= max_calls && second <= max_calls, "{proxies}: {first} {second}");
    }
}

/// Where lists are pushed, each proxy has an agent of its own, and needs no turn.
#[test]
fn proxies_with_pushed_lists_call_at_once_however_many_there_are() {
    for proxies in [1, 3, 9, 300, u32::MAX] {
        let mut backoff = Backoff::new(Pushed, proxies, 7);
        assert_eq!(backoff.after_success(), Duration::ZERO);
        assert!(backoff.after_failure() <= Duration::from_millis(100));
        assert!((0..100).all(|_| backoff.after_failure() <= Duration::from_millis(200)));
        assert_eq!(backoff.after_success(), Duration::ZERO);
        assert!(backoff.after_failure() <= Duration::from_millis(100));
    }
}

#[test]
fn three_proxies_call_at_once_and_wait_at_most_half_a_second() {
    let mut backoff = Backoff::new(OnRequest, 3, 7);
    assert_eq!(backoff.after_success(), Duration::ZERO);
    assert!(backoff.after_failure() <= Duration::from_millis(100));
    assert!((0..100).all(|_| backoff.after_failure() <= Duration::from_millis(500)));
    assert_eq!(backoff.after_success(), Duration::ZERO);
    assert!(backoff.after_failure() <= Duration::from_millis(100));
}

/// Discovery returns just after a call was given up. The delay after that call leaves time for the next call and its answer
/// before the proxy counts as notified, whatever number of proxies the settings name.
#[test]
fn the_next_call_ends_before_the_proxy_counts_as_notified() {
    for mode in [Pushed, OnRequest] {
        for proxies in [0, 1, 8, 9, 20, 100, 300, u32::MAX] {
            let mut backoff = Backoff::new(mode, proxies, 7);
            let max_delay = (0..1_000).map(|_| backoff.after_failure()).max().unwrap_or_default();
            assert!(
                backoff.answer_timeout + max_delay + Duration::from_millis(400) <= NOTIFIED_AFTER,
                "{mode:?} {proxies}: {max_delay:?}"
            );
            assert!((0..100).all(|_| backoff.after_success() <= Duration::from_millis(250)));
        }
    }
}
