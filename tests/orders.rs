//! Which of several orders by hand counts, pure: processes that heard the same orders agree, whatever their clocks say.

use oorandom::Rand64;
use sillfold::orders::{
    FileState, Finding, MAX_STAMP_AHEAD, Order, OrderBook, Rejection, StoredOrder, ToldOrder, WARM_AFTER,
};
use std::collections::BTreeSet;

const HOUR: u64 = 3_600_000_000;
const NOW: u64 = 1_800_000_000_000_000;

fn told(out: bool, stamp: u64) -> ToldOrder {
    ToldOrder { host: "h".into(), out, stamp }
}

#[test]
fn processes_that_heard_the_same_orders_agree_whatever_their_clocks_and_the_order_of_arrival() {
    for seed in 0..500 {
        let mut random = Rand64::new(seed);
        let clocks = [NOW - HOUR, NOW, NOW + HOUR];
        let mut books = [OrderBook::default(), OrderBook::default(), OrderBook::default()];
        let mut given = Vec::new();
        for step in 0..8 {
            let giver = random.rand_range(0..3) as usize;
            let order = books[giver].next("h", random.rand_range(0..2) == 0, clocks[giver] + step * 1_000);
            books[giver].record("h", order);
            given.push(told(order.out, order.stamp));
            // Some of it reaches another at once.
            let other = random.rand_range(0..3) as usize;
            books[other].hear(&given[random.rand_range(0..given.len() as u64) as usize], NOW).expect("taken");
        }
        for book in &mut books {
            let at = random.rand_range(0..given.len() as u64) as usize;
            given.rotate_left(at);
            for order in &given {
                book.hear(order, NOW).expect("taken");
            }
        }
        let [a, b, c] = &books;
        assert!(a.order("h") == b.order("h") && b.order("h") == c.order("h"), "seed {seed}");
    }
}

#[test]
fn an_order_given_in_knowledge_of_another_outranks_it_and_of_one_stamp_the_one_that_leaves_out() {
    let mut book = OrderBook::default();
    assert_eq!(book.hear(&told(true, NOW + HOUR), NOW), Ok(true));
    let back = book.next("h", false, NOW);
    assert_eq!(back, Order { out: false, stamp: NOW + HOUR + 1 });
    book.record("h", back);
    assert_eq!(book.hear(&told(true, NOW + HOUR), NOW), Ok(false));
    assert_eq!(book.hear(&told(true, NOW + HOUR + 1), NOW), Ok(true));
    assert_eq!(book.hear(&told(false, NOW + HOUR + 1), NOW), Ok(false));
    assert_eq!(book.hear(&told(false, NOW + MAX_STAMP_AHEAD + 1), NOW), Err(Rejection::StampAhead));
}

#[test]
fn a_file_counts_by_the_same_rule_and_is_written_again_where_it_says_less_than_is_known() {
    let mut book = OrderBook::default();
    let down = Order { out: true, stamp: NOW };
    assert_eq!(book.find("h", &StoredOrder::text(down), NOW), Finding::Order(down));
    book.folder_is_read(&BTreeSet::from(["h".into()]));
    assert!(book.is_saved("h", NOW));
    assert_eq!(book.hear(&told(false, NOW + 5), NOW), Ok(true));
    assert_eq!(book.unsaved(NOW), [("h".into(), Order { out: false, stamp: NOW + 5 })]);
    // An older order is put over it late: it does not count, and is replaced.
    assert_eq!(book.find("h", "down +7", NOW), Finding::Nothing);
    assert!(!book.is_saved("h", NOW));
    // A version that compares no stamps wrote it in knowledge of what was there, by whatever clock.
    assert_eq!(book.find("h", "down 8", NOW), Finding::Order(Order { out: true, stamp: NOW + 6 }));
    assert!(book.is_saved("h", NOW));
    // Half a text is no order, and what is known gets into the file again.
    assert_eq!(book.find("h", "dow", NOW), Finding::NoOrder);
    assert_eq!(book.unsaved(NOW).len(), 1);
    // The file is gone: an order that a host is used is not missed once the host is warm.
    book.record("h", Order { out: false, stamp: NOW + 9 });
    book.folder_is_read(&BTreeSet::new());
    assert_eq!((book.unsaved(NOW).len(), book.unsaved(NOW + 9 + WARM_AFTER).len()), (1, 0));
}

/// An earlier version left a file that could not be read when this process started. Meanwhile the process beside told that the
/// host is used again: the old text is no news once it can be read, or the host would be left out again by nobody's order.
#[test]
fn a_file_of_an_earlier_version_that_can_be_read_late_is_no_news() {
    let mut book = OrderBook::default();
    book.file_is("h", FileState::Unreadable);
    book.folder_is_read(&BTreeSet::from(["h".into()]));
    assert_eq!(book.hear(&told(false, NOW), NOW), Ok(true));
    assert_eq!(book.find("h", &format!("down {}", NOW - HOUR), NOW), Finding::Nothing);
    assert_eq!(book.order("h"), Some(Order { out: false, stamp: NOW }));
}
