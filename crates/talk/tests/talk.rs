//! Datagrams that come in any state, and whom the door believes.

use proptest::prelude::*;
use sillfold_talk::message::{FORMAT_VERSION, MAX_DATAGRAM_BYTES};
use sillfold_talk::*;

const NOW: u64 = 1_800_000_000_000;

fn channel(ordinal: u16) -> PeerChannel {
    PeerChannel::new(ordinal, 4, NOW - 5_000)
}

fn stands(host: u32) -> Item {
    Item::HostPosition { host, position_ms: NOW + u64::from(host), primary: host % 2 == 1 }
}

fn item() -> impl Strategy<Value = Item> {
    prop_oneof![
        (any::<u32>(), any::<u64>(), any::<bool>())
            .prop_map(|(host, position_ms, primary)| Item::HostPosition { host, position_ms, primary }),
        (any::<u16>(), any::<u32>())
            .prop_map(|(tenant, tenths_per_s)| Item::TenantRate { tenant, tenths_per_s }),
    ]
}

proptest! {
    /// However much there is to say, a datagram keeps its length, and says whole items from the first on.
    #[test]
    fn a_datagram_is_never_too_long_and_says_what_was_packed(
        items in proptest::collection::vec(item(), 0..80), ordinal: u16, incarnation: u64, sequence: u32,
    ) {
        let sender = Sender { ordinal, incarnation, sequence };
        let (datagram, packed) = Datagram::pack(sender, &items);
        prop_assert!(datagram.bytes().len() <= MAX_DATAGRAM_BYTES);
        let read = Message::read(datagram.bytes());
        prop_assert_eq!(read, Ok(Message { sender, items: items[..packed].to_vec() }));
        // Nothing that would have fitted is left out: an item takes 17 bytes at most.
        prop_assert!(packed == items.len() || datagram.bytes().len() > MAX_DATAGRAM_BYTES - 17);
    }

    /// Any bytes: refused or read, never more items than bytes.
    #[test]
    fn any_bytes_are_read_in_bounds(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        if let Ok(message) = Message::read(&bytes) {
            prop_assert!(message.items.len() < bytes.len());
        }
    }

    /// The same with a checksum that fits, so that what is behind it is read too.
    #[test]
    fn nonsense_with_a_fitting_checksum_is_refused_or_read_in_bounds(
        body in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut bytes = [&[FORMAT_VERSION][..], &body].concat();
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        match Message::read(&bytes) {
            Ok(message) => prop_assert!(message.items.len() < bytes.len()),
            Err(why) => prop_assert_eq!(why, DecodeError::InvalidContents),
        }
    }

    /// One bit is enough to be refused.
    #[test]
    fn a_damaged_datagram_says_nothing(host: u32, at in 0usize..MAX_DATAGRAM_BYTES, bit in 0u8..8) {
        let (datagram, _) = channel(0).pack(&[stands(host)]);
        let mut bytes = datagram.bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert_eq!(Message::read(&bytes), Err(DecodeError::Corrupt));
    }

    /// In any order and however often: each is taken once at most, and all that are near the newest are.
    #[test]
    fn each_datagram_is_taken_once(order in proptest::collection::vec(0usize..100, 0..400)) {
        let (mut from, mut to) = (channel(1), channel(0));
        let sent: Vec<_> = (0..100).map(|n| from.pack(&[stands(n)]).0).collect();
        let (mut taken, mut newest) = ([false; 100], 0);
        for n in order {
            let came = to.receive(Some(1), sent[n].bytes(), NOW);
            prop_assert!(!(taken[n] && came.is_ok()), "{n} is taken twice");
            prop_assert!(came.is_ok() || taken[n] || n + 64 < newest, "{n} is refused: {came:?}, newest {newest}");
            taken[n] |= came.is_ok();
            newest = newest.max(n);
        }
    }
}

/// The newest is so far ahead that the one before it stands at the very end of the window.
#[test]
fn a_datagram_at_the_end_of_the_window_is_taken_once() {
    for ahead in [1, 63, 64, 65] {
        let (mut from, mut to) = (channel(1), channel(0));
        let sent: Vec<_> = (0..=ahead).map(|n| from.pack(&[stands(n)]).0).collect();
        assert!(to.receive(Some(1), sent[0].bytes(), NOW).is_ok());
        assert!(to.receive(Some(1), sent[ahead as usize].bytes(), NOW).is_ok());
        assert_eq!(to.receive(Some(1), sent[0].bytes(), NOW), Err(DropReason::Duplicate), "{ahead} ahead");
    }
}

#[test]
fn only_a_proxy_of_the_list_is_believed_and_only_as_itself() {
    let (datagram, _) = channel(1).pack(&[stands(7)]);
    let mut to = channel(0);
    assert_eq!(to.receive(None, datagram.bytes(), NOW), Err(DropReason::UnknownSender));
    // Another proxy's address, its words.
    assert_eq!(to.receive(Some(2), datagram.bytes(), NOW), Err(DropReason::UnknownSender));
    assert_eq!(to.receive(Some(9), datagram.bytes(), NOW), Err(DropReason::UnknownSender));
    assert_eq!(to.receive(Some(0), datagram.bytes(), NOW), Err(DropReason::Own));
    assert!(to.receive(Some(1), datagram.bytes(), NOW).is_ok());
    assert_eq!((to.counters.foreign, to.counters.heard), (3, 1));
}

/// A proxy dies and comes back; what its old process had sent arrives behind what the new one says.
#[test]
fn a_datagram_that_crosses_a_restart_says_nothing() {
    let (mut old, mut new, mut to) = (channel(1), PeerChannel::new(1, 4, NOW), channel(0));
    let late = old.pack(&[stands(1)]).0;
    assert!(to.receive(Some(1), old.pack(&[stands(2)]).0.bytes(), NOW).is_ok());
    // The new process counts from one again.
    assert!(to.receive(Some(1), new.pack(&[stands(3)]).0.bytes(), NOW).is_ok());
    assert_eq!(to.receive(Some(1), late.bytes(), NOW), Err(DropReason::Outdated));
    assert_eq!(to.receive(Some(1), old.pack(&[stands(4)]).0.bytes(), NOW), Err(DropReason::Outdated));
    assert!(to.receive(Some(1), new.pack(&[stands(5)]).0.bytes(), NOW).is_ok());
}

/// A start that lies far ahead would shut the true process out for as long.
#[test]
fn a_process_from_the_future_is_not_believed_and_keeps_nobody_out() {
    let mut to = channel(0);
    let ahead = PeerChannel::new(1, 4, NOW + 3_600_000).pack(&[stands(1)]).0;
    assert_eq!(to.receive(Some(1), ahead.bytes(), NOW), Err(DropReason::Outdated));
    assert!(to.receive(Some(1), channel(1).pack(&[stands(2)]).0.bytes(), NOW).is_ok());
}

/// An older version meets a newer one: refused whole and told apart from damage.
#[test]
fn another_version_is_refused_politely() {
    let mut bytes = channel(1).pack(&[stands(1)]).0.bytes().to_vec();
    let end = bytes.len() - 4;
    bytes[0] = FORMAT_VERSION + 1;
    let sum = crc32fast::hash(&bytes[..end]).to_le_bytes();
    bytes[end..].copy_from_slice(&sum);
    assert_eq!(Message::read(&bytes), Err(DecodeError::UnknownVersion(FORMAT_VERSION + 1)));
}

/// However many come, so many are read in a second, and the next second begins anew.
#[test]
fn a_flood_costs_a_bounded_time() {
    let mut to = channel(0);
    let read = (0..10_000).filter(|_| to.reserve_read(5_000_000).is_ok()).count();
    assert!((1..=2_000).contains(&read), "{read}");
    assert_eq!(to.reserve_read(5_000_000), Err(6_000_000));
    assert_eq!(to.reserve_read(6_000_000), Ok(()));
    assert_eq!(to.counters.floods, 8_001);
}

/// The count of datagrams ends some day.
#[test]
fn numbers_that_run_out_begin_anew_as_another_process() {
    let mut to = channel(0);
    let last = Sender { ordinal: 1, incarnation: NOW, sequence: u32::MAX };
    assert!(to.receive(Some(1), Datagram::pack(last, &[]).0.bytes(), NOW).is_ok());
    let next = Sender { ordinal: 1, incarnation: NOW + 1, sequence: 1 };
    assert!(to.receive(Some(1), Datagram::pack(next, &[]).0.bytes(), NOW).is_ok());
}
