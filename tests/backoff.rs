//! The waits between calls to discovery, pure.

use sillfold::ListMode::{OnRequest, Pushed};
use sillfold::net::backoff::{Backoff, NOTIFIED_AFTER};
use std::time::Duration;

/// Most calls that fall into one second, of those that so many proxies make after one failure and after
/// another.
fn busiest(proxies: u32) -> [usize; 2] {
    let mut seconds = [[0; 64]; 2];
    for seed in 0..u64::from(proxies) {
        let mut backoff = Backoff::new(OnRequest, proxies, seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        for (n, wait) in [backoff.failed(), backoff.failed()].into_iter().enumerate() {
            seconds[n][wait.as_secs() as usize] += 1;
        }
    }
    seconds.map(|s| s.into_iter().max().unwrap_or(0))
}

/// All are dropped at once: they come back one after the other, as far apart as what counts as told allows.
#[test]
fn a_hundred_proxies_that_ask_one_service_do_not_ask_together() {
    for proxies in [100, 300] {
        let most = (proxies as usize * 9).div_ceil(20);
        let [again, later] = busiest(proxies);
        assert!(again <= most && later <= most, "{proxies}: {again} {later}");
    }
}

/// Where lists are pushed the agent is the proxy's own: nobody is to wait for a turn.
#[test]
fn proxies_that_are_pushed_lists_ask_at_once_however_many_there_are() {
    for proxies in [1, 3, 9, 300, u32::MAX] {
        let mut backoff = Backoff::new(Pushed, proxies, 7);
        assert_eq!(backoff.soon(), Duration::ZERO);
        assert!(backoff.failed() <= Duration::from_millis(100));
        assert!((0..100).all(|_| backoff.failed() <= Duration::from_millis(200)));
        assert_eq!(backoff.soon(), Duration::ZERO);
        assert!(backoff.failed() <= Duration::from_millis(100));
    }
}

#[test]
fn three_proxies_ask_at_once_and_wait_half_a_second_at_most() {
    let mut backoff = Backoff::new(OnRequest, 3, 7);
    assert_eq!(backoff.soon(), Duration::ZERO);
    assert!(backoff.failed() <= Duration::from_millis(100));
    assert!((0..100).all(|_| backoff.failed() <= Duration::from_millis(500)));
    assert_eq!(backoff.soon(), Duration::ZERO);
    assert!(backoff.failed() <= Duration::from_millis(100));
}

/// A call that was let go just before discovery came back, and the wait behind it, leave time for the answer that
/// tells: whatever number a settings object names.
#[test]
fn the_next_call_comes_before_its_news_count_as_told() {
    for mode in [Pushed, OnRequest] {
        for proxies in [0, 1, 8, 9, 20, 100, 300, u32::MAX] {
            let mut backoff = Backoff::new(mode, proxies, 7);
            let worst = (0..1_000).map(|_| backoff.failed()).max().unwrap_or_default();
            assert!(
                backoff.answer + worst + Duration::from_millis(400) <= NOTIFIED_AFTER,
                "{mode:?} {proxies}: {worst:?}"
            );
            assert!((0..100).all(|_| backoff.soon() <= Duration::from_millis(250)));
        }
    }
}
