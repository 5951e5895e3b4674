//! Encoding and decoding of datagrams, and which received ones a `PeerChannel` accepts.

use proptest::prelude::*;
use sillfold_talk::message::{FORMAT_VERSION, MAX_DATAGRAM_BYTES};
use sillfold_talk::*;

/// The present, in Unix milliseconds.
const NOW: u64 = 1_800_000_000_000;

/// The channel of one proxy of four, whose process started five seconds ago.
fn channel(ordinal: u16) -> PeerChannel {
    PeerChannel::new(ordinal, 4, NOW - 5_000)
}

fn position_of(host: u32) -> Item {
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
    /// A datagram stays within its length, and holds the leading items that fit, each complete.
    #[test]
    fn a_datagram_is_bounded_and_decodes_to_the_packed_items(
        items in proptest::collection::vec(item(), 0..80), ordinal: u16, incarnation: u64, sequence: u32,
    ) {
        let sender = Sender { ordinal, incarnation, sequence };
        let (datagram, packed) = Datagram::pack(sender, &items);
        prop_assert!(datagram.bytes().len() <= MAX_DATAGRAM_BYTES);
        let decoded = Message::read(datagram.bytes());
        prop_assert_eq!(decoded, Ok(Message { sender, items: items[..packed].to_vec() }));
        // No item that would have fitted is left out: an item takes 17 bytes at most.
        prop_assert!(packed == items.len() || datagram.bytes().len() > MAX_DATAGRAM_BYTES - 17);
    }

    /// Arbitrary bytes are rejected, or decoded to fewer items than bytes.
    #[test]
    fn arbitrary_bytes_are_decoded_within_bounds(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        if let Ok(message) = Message::read(&bytes) {
            prop_assert!(message.items.len() < bytes.len());
        }
    }

    /// The same with a matching checksum, so that the sender and the items are decoded too.
    #[test]
    fn arbitrary_contents_with_a_valid_checksum_are_decoded_within_bounds(
        body in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut bytes = [&[FORMAT_VERSION][..], &body].concat();
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        match Message::read(&bytes) {
            Ok(message) => prop_assert!(message.items.len() < bytes.len()),
            Err(why) => prop_assert_eq!(why, DecodeError::InvalidContents),
        }
    }

    /// A datagram with a single flipped bit is rejected.
    #[test]
    fn a_flipped_bit_makes_a_datagram_corrupt(host: u32, at in 0usize..MAX_DATAGRAM_BYTES, bit in 0u8..8) {
        let (datagram, _) = channel(0).pack(&[position_of(host)]);
        let mut bytes = datagram.bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert_eq!(Message::read(&bytes), Err(DecodeError::Corrupt));
    }

    /// In any order and with repetitions, each datagram is accepted at most once, and those in the window are accepted.
    #[test]
    fn each_datagram_is_accepted_once(order in proptest::collection::vec(0usize..100, 0..400)) {
        let (mut from, mut to) = (channel(1), channel(0));
        let sent: Vec<_> = (0..100).map(|n| from.pack(&[position_of(n)]).0).collect();
        let (mut accepted, mut newest) = ([false; 100], 0);
        for n in order {
            let result = to.receive(Some(1), sent[n].bytes(), NOW);
            prop_assert!(!(accepted[n] && result.is_ok()), "{n} is accepted twice");
            prop_assert!(
                result.is_ok() || accepted[n] || n + 64 < newest,
                "{n} is dropped: {result:?}, newest {newest}"
            );
            accepted[n] |= result.is_ok();
            newest = newest.max(n);
        }
    }
}

/// Guards against an off-by-one error where the newest datagram moves the previous one to the end of the window.
#[test]
fn a_datagram_at_the_end_of_the_window_is_accepted_once() {
    for ahead in [1, 63, 64, 65] {
        let (mut from, mut to) = (channel(1), channel(0));
        let sent: Vec<_> = (0..=ahead).map(|n| from.pack(&[position_of(n)]).0).collect();
        assert!(to.receive(Some(1), sent[0].bytes(), NOW).is_ok());
        assert!(to.receive(Some(1), sent[ahead as usize].bytes(), NOW).is_ok());
        assert_eq!(to.receive(Some(1), sent[0].bytes(), NOW), Err(DropReason::Duplicate), "{ahead} ahead");
    }
}

#[test]
fn only_a_listed_proxy_is_accepted_and_only_under_its_own_number() {
    let (datagram, _) = channel(1).pack(&[position_of(7)]);
    let mut to = channel(0);
    assert_eq!(to.receive(None, datagram.bytes(), NOW), Err(DropReason::UnknownSender));
    // The address of another proxy.
    assert_eq!(to.receive(Some(2), datagram.bytes(), NOW), Err(DropReason::UnknownSender));
    assert_eq!(to.receive(Some(9), datagram.bytes(), NOW), Err(DropReason::UnknownSender));
    assert_eq!(to.receive(Some(0), datagram.bytes(), NOW), Err(DropReason::Own));
    assert!(to.receive(Some(1), datagram.bytes(), NOW).is_ok());
    assert_eq!((to.counters.foreign, to.counters.heard), (3, 1));
}

/// A proxy restarts, and datagrams of its old process arrive after those of the new one.
#[test]
fn a_datagram_of_a_replaced_process_is_dropped() {
    let (mut old, mut new, mut to) = (channel(1), PeerChannel::new(1, 4, NOW), channel(0));
    let late = old.pack(&[position_of(1)]).0;
    assert!(to.receive(Some(1), old.pack(&[position_of(2)]).0.bytes(), NOW).is_ok());
    // The new process counts from one again.
    assert!(to.receive(Some(1), new.pack(&[position_of(3)]).0.bytes(), NOW).is_ok());
    assert_eq!(to.receive(Some(1), late.bytes(), NOW), Err(DropReason::Outdated));
    assert_eq!(to.receive(Some(1), old.pack(&[position_of(4)]).0.bytes(), NOW), Err(DropReason::Outdated));
    assert!(to.receive(Some(1), new.pack(&[position_of(5)]).0.bytes(), NOW).is_ok());
}

/// Guards against a forged start time in the far future, which would lock out the peer's real process until then.
#[test]
fn a_start_time_in_the_future_is_dropped_and_locks_out_no_process() {
    let mut to = channel(0);
    let ahead = PeerChannel::new(1, 4, NOW + 3_600_000).pack(&[position_of(1)]).0;
    assert_eq!(to.receive(Some(1), ahead.bytes(), NOW), Err(DropReason::Outdated));
    assert!(to.receive(Some(1), channel(1).pack(&[position_of(2)]).0.bytes(), NOW).is_ok());
}

/// A datagram of a newer version is rejected as a whole, and not reported as corrupt.
#[test]
fn another_format_version_is_rejected() {
    let mut bytes = channel(1).pack(&[position_of(1)]).0.bytes().to_vec();
    let end = bytes.len() - 4;
    bytes[0] = FORMAT_VERSION + 1;
    let checksum = crc32fast::hash(&bytes[..end]).to_le_bytes();
    bytes[end..].copy_from_slice(&checksum);
    assert_eq!(Message::read(&bytes), Err(DecodeError::UnknownVersion(FORMAT_VERSION + 1)));
}

/// Reads are limited per second, however many datagrams arrive, and the budget is full again in the next second.
#[test]
fn reads_per_second_are_limited() {
    let mut to = channel(0);
    let read = (0..10_000).filter(|_| to.reserve_read(5_000_000).is_ok()).count();
    assert!((1..=2_000).contains(&read), "{read}");
    assert_eq!(to.reserve_read(5_000_000), Err(6_000_000));
    assert_eq!(to.reserve_read(6_000_000), Ok(()));
    assert_eq!(to.counters.floods, 8_001);
}

/// A process that has used all sequence numbers continues under a later incarnation.
#[test]
fn sequence_numbers_start_again_under_a_later_incarnation() {
    let mut to = channel(0);
    let last = Sender { ordinal: 1, incarnation: NOW, sequence: u32::MAX };
    assert!(to.receive(Some(1), Datagram::pack(last, &[]).0.bytes(), NOW).is_ok());
    let next = Sender { ordinal: 1, incarnation: NOW + 1, sequence: 1 };
    assert!(to.receive(Some(1), Datagram::pack(next, &[]).0.bytes(), NOW).is_ok());
}
