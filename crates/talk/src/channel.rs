//! One proxy's state for exchanging datagrams with its peers: the sequence numbers that it sends, the newest process and
//! the received sequence numbers of each peer, the budget of reads per second, and the counters. The caller passes in
//! the time: microseconds for the budget of reads, Unix milliseconds for received datagrams.
//!
//! A datagram is accepted if it comes from the address of a peer, names that peer as its sender, belongs to the peer's
//! newest known process and was not received before. Any other datagram is counted and dropped.

use crate::message::{Datagram, DecodeError, Item, Message, Sender};

/// Lower bound of the datagrams that are read per second. Datagrams beyond the budget wait in the socket's buffer; the
/// kernel drops those that do not fit.
const MIN_READS_PER_SECOND: u32 = 2_000;
/// Datagrams that are read per second and proxy of the fleet: as many as one proxy sends at most.
const READS_PER_SECOND_AND_PROXY: u32 = 20;
/// How far a datagram's sequence number may lie behind the highest one of its sender: one bit of `received_before` each.
const REORDER_WINDOW: u32 = 64;
/// How far ahead of the local clock a sender's start time may lie. A process with a later one is not believed: it would
/// lock out the peer's real process until that time.
const MAX_START_AHEAD_MS: u64 = 60_000;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// The address is no peer's, or another peer's than the datagram names.
    UnknownSender,
    /// The datagram cannot be decoded.
    Unreadable(DecodeError),
    /// The sender's process was replaced by a newer one, or its start time lies too far in the future.
    Outdated,
    /// The datagram was received before, or is too late to tell.
    Duplicate,
    /// This proxy's own datagram, for example a broadcast that came back. It is not counted.
    Own,
}

/// Counts since the start of the process. The field names are the keys in the console's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams dropped because the kernel would not send them at once; they are not sent later.
    pub unsent: u64,
    /// Bytes sent. A datagram counts once, however many peers it goes to.
    pub bytes: u64,
    /// Datagrams received and accepted.
    pub heard: u64,
    /// Datagrams dropped as `DropReason::UnknownSender`.
    pub foreign: u64,
    /// Datagrams dropped as `DropReason::Unreadable`.
    pub unreadable: u64,
    /// Datagrams dropped as `DropReason::Outdated`.
    pub outdated: u64,
    /// Datagrams dropped as `DropReason::Duplicate`.
    pub repeated: u64,
    /// Times that a read was denied because the budget of the second was used up.
    pub floods: u64,
}

/// What was received from one peer.
#[derive(Clone, Copy, Default)]
struct ReceivedFrom {
    /// Start time of the peer's newest known process, in Unix milliseconds.
    incarnation: u64,
    /// The highest sequence number received from that process.
    highest: u32,
    /// Which of the `REORDER_WINDOW` numbers before `highest` were received: bit 0 is the number just before it.
    received_before: u64,
}

impl ReceivedFrom {
    /// Records a sequence number of the known process; returns false if it was received before, or may have been.
    fn record(&mut self, sequence: u32) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            // At a distance of the whole window only the bit of the previous highest number is left; a shift by 64 would
            // overflow.
            let shifted = self.received_before.checked_shl(ahead).unwrap_or(0);
            self.received_before = if ahead <= REORDER_WINDOW { shifted | 1 << (ahead - 1) } else { 0 };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        let bit = match behind {
            1..=REORDER_WINDOW => 1 << (behind - 1),
            _ => return false,
        };
        let is_new = self.received_before & bit == 0;
        self.received_before |= bit;
        is_new
    }
}

/// One proxy's side of the exchange with its peers.
pub struct PeerChannel {
    /// This proxy, and the sequence number of its last datagram.
    own: Sender,
    /// What was received from each proxy, by ordinal.
    received: Vec<Option<ReceivedFrom>>,
    /// The budget of reads per second.
    reads_per_second: u32,
    /// Reads left in the present second, and the start of that second in microseconds.
    reads_left: (u32, u64),
    /// Counts since the start.
    pub counters: Counters,
}

impl PeerChannel {
    /// For proxy `ordinal` of a fleet of `proxies`; `incarnation` is the start time of its process in Unix milliseconds.
    pub fn new(ordinal: u16, proxies: usize, incarnation: u64) -> PeerChannel {
        let own = Sender { ordinal, incarnation, sequence: 0 };
        let proxy_count = u32::try_from(proxies).unwrap_or(u32::MAX);
        let reads_of_all = proxy_count.saturating_mul(READS_PER_SECOND_AND_PROXY);
        let reads_per_second = reads_of_all.max(MIN_READS_PER_SECOND);
        let received = vec![None; proxies];
        let reads_left = (reads_per_second, 0);
        PeerChannel { own, received, reads_per_second, reads_left, counters: Counters::default() }
    }

    /// Encodes the leading items that fit into the next datagram, and returns their number.
    pub fn pack(&mut self, items: &[Item]) -> (Datagram, usize) {
        // When the sequence numbers run out, they start again under a later incarnation, as if the process had restarted.
        if self.own.sequence == u32::MAX {
            (self.own.sequence, self.own.incarnation) = (0, self.own.incarnation + 1);
        }
        self.own.sequence += 1;
        Datagram::pack(self.own, items)
    }

    /// Counts a datagram as sent, or as dropped if `ok` is false.
    pub fn record_sent(&mut self, datagram: &Datagram, ok: bool) {
        if ok {
            self.counters.sent += 1;
            self.counters.bytes += datagram.bytes().len() as u64;
        } else {
            self.counters.unsent += 1;
        }
    }

    /// Takes one read from the budget; if none is left, returns the time in microseconds at which the next second starts.
    pub fn reserve_read(&mut self, now_us: u64) -> Result<(), u64> {
        if now_us >= self.reads_left.1.saturating_add(1_000_000) {
            self.reads_left = (self.reads_per_second, now_us);
        }
        if self.reads_left.0 == 0 {
            self.counters.floods += 1;
            return Err(self.reads_left.1 + 1_000_000);
        }
        self.reads_left.0 -= 1;
        Ok(())
    }

    /// Decodes, checks and counts a received datagram. `from` is the ordinal of the proxy at the source address, or none
    /// if the address is not on the list of proxies.
    pub fn receive(&mut self, from: Option<u16>, bytes: &[u8], now_ms: u64) -> Result<Message, DropReason> {
        let checked = self.check(from, bytes, now_ms);
        let counters = &mut self.counters;
        *match &checked {
            Ok(_) => &mut counters.heard,
            Err(DropReason::UnknownSender) => &mut counters.foreign,
            Err(DropReason::Unreadable(_)) => &mut counters.unreadable,
            Err(DropReason::Outdated) => &mut counters.outdated,
            Err(DropReason::Duplicate) => &mut counters.repeated,
            Err(DropReason::Own) => return checked,
        } += 1;
        checked
    }

    /// Decodes a datagram, and decides whether it is accepted.
    fn check(&mut self, from: Option<u16>, bytes: &[u8], now_ms: u64) -> Result<Message, DropReason> {
        let from = from.ok_or(DropReason::UnknownSender)?;
        // A datagram that is sent to a broadcast or multicast address may come back to its sender.
        if from == self.own.ordinal {
            return Err(DropReason::Own);
        }
        let message = Message::read(bytes).map_err(DropReason::Unreadable)?;
        let Sender { ordinal, incarnation, sequence } = message.sender;
        let received = self
            .received
            .get_mut(usize::from(from))
            .filter(|_| ordinal == from)
            .ok_or(DropReason::UnknownSender)?;
        let known = received.get_or_insert_default();
        if incarnation < known.incarnation || incarnation > now_ms.saturating_add(MAX_START_AHEAD_MS) {
            return Err(DropReason::Outdated);
        }
        if incarnation > known.incarnation {
            *known = ReceivedFrom { incarnation, highest: 0, received_before: 0 };
        }
        if known.record(sequence) { Ok(message) } else { Err(DropReason::Duplicate) }
    }
}
