//! Which of several orders by hand counts, pure: processes that heard the same orders agree, whatever their clocks say.

use oorandom::Rand64;
use sillfold::overrides::{
    FileState, Finding, HostOverride, MAX_STAMP_AHEAD_US, OverrideMessage, OverrideTable, Rejection,
    StoredOverride, WARM_AFTER_US,
};
use std::collections::BTreeSet;

const HOUR: u64 = 3_600_000_000;
const NOW: u64 = 1_800_000_000_000_000;

fn told(out: bool, stamp: u64) -> OverrideMessage {
    OverrideMessage { host: "h".into(), out, stamp }
}

#[test]
fn processes_that_heard_the_same_orders_agree_whatever_their_clocks_and_the_order_of_arrival() {
    for seed in 0..500 {
        let mut random = Rand64::new(seed);
        let clocks = [NOW - HOUR, NOW, NOW + HOUR];
        let mut books = [OverrideTable::default(), OverrideTable::default(), OverrideTable::default()];
        let mut given = Vec::new();
        for step in 0..8 {
            let giver = random.rand_range(0..3) as usize;
            let order = books[giver].create("h", random.rand_range(0..2) == 0, clocks[giver] + step * 1_000);
            books[giver].record("h", order);
            given.push(told(order.out, order.stamp));
            // Some of it reaches another at once.
            let other = random.rand_range(0..3) as usize;
            books[other]
                .receive(&given[random.rand_range(0..given.len() as u64) as usize], NOW)
                .expect("taken");
        }
        for book in &mut books {
            let at = random.rand_range(0..given.len() as u64) as usize;
            given.rotate_left(at);
            for order in &given {
                book.receive(order, NOW).expect("taken");
            }
        }
        let [a, b, c] = &books;
        assert!(a.current("h") == b.current("h") && b.current("h") == c.current("h"), "seed {seed}");
    }
}

#[test]
fn an_order_given_in_knowledge_of_another_outranks_it_and_of_one_stamp_the_one_that_leaves_out() {
    let mut book = OverrideTable::default();
    assert_eq!(book.receive(&told(true, NOW + HOUR), NOW), Ok(true));
    let back = book.create("h", false, NOW);
    assert_eq!(back, HostOverride { out: false, stamp: NOW + HOUR + 1 });
    book.record("h", back);
    assert_eq!(book.receive(&told(true, NOW + HOUR), NOW), Ok(false));
    assert_eq!(book.receive(&told(true, NOW + HOUR + 1), NOW), Ok(true));
    assert_eq!(book.receive(&told(false, NOW + HOUR + 1), NOW), Ok(false));
    assert_eq!(book.receive(&told(false, NOW + MAX_STAMP_AHEAD_US + 1), NOW), Err(Rejection::StampAhead));
}

#[test]
fn a_file_counts_by_the_same_rule_and_is_written_again_where_it_says_less_than_is_known() {
    let mut book = OverrideTable::default();
    let down = HostOverride { out: true, stamp: NOW };
    assert_eq!(book.observe_file("h", &StoredOverride::format(down), NOW), Finding::Override(down));
    book.finish_folder_read(&BTreeSet::from(["h".into()]));
    assert!(book.is_saved("h", NOW));
    assert_eq!(book.receive(&told(false, NOW + 5), NOW), Ok(true));
    assert_eq!(book.unsaved(NOW), [("h".into(), HostOverride { out: false, stamp: NOW + 5 })]);
    // An older order is put over it late: it does not count, and is replaced.
    assert_eq!(book.observe_file("h", "down +7", NOW), Finding::Nothing);
    assert!(!book.is_saved("h", NOW));
    // A version that compares no stamps wrote it in knowledge of what was there, by whatever clock.
    assert_eq!(
        book.observe_file("h", "down 8", NOW),
        Finding::Override(HostOverride { out: true, stamp: NOW + 6 })
    );
    assert!(book.is_saved("h", NOW));
    // Half a text is no order, and what is known gets into the file again.
    assert_eq!(book.observe_file("h", "dow", NOW), Finding::Invalid);
    assert_eq!(book.unsaved(NOW).len(), 1);
    // The file is gone: an order that a host is used is not missed once the host is warm.
    book.record("h", HostOverride { out: false, stamp: NOW + 9 });
    book.finish_folder_read(&BTreeSet::new());
    assert_eq!((book.unsaved(NOW).len(), book.unsaved(NOW + 9 + WARM_AFTER_US).len()), (1, 0));
}

/// An earlier version left a file that could not be read when this process started. Meanwhile the process beside told that the
/// host is used again: the old text is no news once it can be read, or the host would be left out again by nobody's order.
#[test]
fn a_file_of_an_earlier_version_that_can_be_read_late_is_no_news() {
    let mut book = OverrideTable::default();
    book.set_file("h", FileState::Unreadable);
    book.finish_folder_read(&BTreeSet::from(["h".into()]));
    assert_eq!(book.receive(&told(false, NOW), NOW), Ok(true));
    assert_eq!(book.observe_file("h", &format!("down {}", NOW - HOUR), NOW), Finding::Nothing);
    assert_eq!(book.current("h"), Some(HostOverride { out: false, stamp: NOW }));
}
