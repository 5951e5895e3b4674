//! Which of several manual overrides is in effect: processes that received the same overrides agree, whatever their clocks
//! show. Pure.

use oorandom::Rand64;
use sillfold::overrides::{
    FileState, Finding, HostOverride, MAX_STAMP_AHEAD_US, OverrideMessage, OverrideTable, Rejection,
    StoredOverride, WARM_AFTER_US,
};
use std::collections::BTreeSet;

const HOUR_US: u64 = 3_600_000_000;
const NOW_US: u64 = 1_800_000_000_000_000;

fn message(left_out: bool, stamp: u64) -> OverrideMessage {
    OverrideMessage { host: "h".into(), left_out, stamp }
}

#[test]
fn processes_with_the_same_overrides_agree_whatever_their_clocks_and_the_order_of_arrival() {
    for seed in 0..500 {
        let mut random = Rand64::new(seed);
        let clocks = [NOW_US - HOUR_US, NOW_US, NOW_US + HOUR_US];
        let mut tables = [OverrideTable::default(), OverrideTable::default(), OverrideTable::default()];
        let mut given = Vec::new();
        for step in 0..8 {
            let process = random.rand_range(0..3) as usize;
            let value =
                tables[process].create("h", random.rand_range(0..2) == 0, clocks[process] + step * 1_000);
            tables[process].record("h", value);
            given.push(message(value.left_out, value.stamp));
            // One of the overrides reaches a process at once.
            let other = random.rand_range(0..3) as usize;
            tables[other]
                .receive(&given[random.rand_range(0..given.len() as u64) as usize], NOW_US)
                .expect("accepted");
        }
        for table in &mut tables {
            let at = random.rand_range(0..given.len() as u64) as usize;
            given.rotate_left(at);
            for message in &given {
                table.receive(message, NOW_US).expect("accepted");
            }
        }
        let [a, b, c] = &tables;
        assert!(a.current("h") == b.current("h") && b.current("h") == c.current("h"), "seed {seed}");
    }
}

#[test]
fn an_override_outranks_a_known_one_and_of_equal_stamps_the_one_that_leaves_out_wins() {
    let mut table = OverrideTable::default();
    assert_eq!(table.receive(&message(true, NOW_US + HOUR_US), NOW_US), Ok(true));
    let back = table.create("h", false, NOW_US);
    assert_eq!(back, HostOverride { left_out: false, stamp: NOW_US + HOUR_US + 1 });
    table.record("h", back);
    assert_eq!(table.receive(&message(true, NOW_US + HOUR_US), NOW_US), Ok(false));
    assert_eq!(table.receive(&message(true, NOW_US + HOUR_US + 1), NOW_US), Ok(true));
    assert_eq!(table.receive(&message(false, NOW_US + HOUR_US + 1), NOW_US), Ok(false));
    assert_eq!(
        table.receive(&message(false, NOW_US + MAX_STAMP_AHEAD_US + 1), NOW_US),
        Err(Rejection::StampAhead)
    );
}

#[test]
fn a_file_outranks_by_the_same_rule_and_is_rewritten_if_it_is_outdated() {
    let mut table = OverrideTable::default();
    let down = HostOverride { left_out: true, stamp: NOW_US };
    assert_eq!(table.observe_file("h", &StoredOverride::format(down), NOW_US), Finding::Override(down));
    table.finish_folder_read(&BTreeSet::from(["h".into()]));
    assert!(table.is_saved("h", NOW_US));
    assert_eq!(table.receive(&message(false, NOW_US + 5), NOW_US), Ok(true));
    assert_eq!(table.unsaved(NOW_US), [("h".into(), HostOverride { left_out: false, stamp: NOW_US + 5 })]);
    // An older override replaces the file late. It has no effect, and the file is written again.
    assert_eq!(table.observe_file("h", "down +7", NOW_US), Finding::Nothing);
    assert!(!table.is_saved("h", NOW_US));
    // A version that does not compare stamps wrote the file with knowledge of the one before, by any clock.
    assert_eq!(
        table.observe_file("h", "down 8", NOW_US),
        Finding::Override(HostOverride { left_out: true, stamp: NOW_US + 6 })
    );
    assert!(table.is_saved("h", NOW_US));
    // An incomplete text is invalid, and the override in effect is written to the file again.
    assert_eq!(table.observe_file("h", "dow", NOW_US), Finding::Invalid);
    assert_eq!(table.unsaved(NOW_US).len(), 1);
    // The file is removed. An override that uses a host again need not be saved once the host is warm.
    table.record("h", HostOverride { left_out: false, stamp: NOW_US + 9 });
    table.finish_folder_read(&BTreeSet::new());
    assert_eq!((table.unsaved(NOW_US).len(), table.unsaved(NOW_US + 9 + WARM_AFTER_US).len()), (1, 0));
}

/// A file of an earlier version could not be read when this process started, and another process has sent meanwhile that the
/// host is used again. Guards against the old text counting as new once it can be read, which would leave the host out although
/// no operator has asked for it.
#[test]
fn a_file_of_an_earlier_version_that_can_be_read_late_is_no_news() {
    let mut table = OverrideTable::default();
    table.set_file("h", FileState::Unreadable);
    table.finish_folder_read(&BTreeSet::from(["h".into()]));
    assert_eq!(table.receive(&message(false, NOW_US), NOW_US), Ok(true));
    assert_eq!(table.observe_file("h", &format!("down {}", NOW_US - HOUR_US), NOW_US), Finding::Nothing);
    assert_eq!(table.current("h"), Some(HostOverride { left_out: false, stamp: NOW_US }));
}
