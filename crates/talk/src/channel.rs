//! Whom to believe, and how much to read. It owns what is known of each sender's process and order, the budget of
//! reading, and the counters. Times are handed in, in microseconds.
//!
//! Believed is a datagram from an address of the list, that names the sender of that address, of the newest process
//! heard of there, and not heard before. All else is counted and says nothing.

use crate::message::{Datagram, DecodeError, Item, Message, Sender};

/// Datagrams read in a second: so many at least, and for each proxy as many as one says at most. Beyond that they wait,
/// and the machine drops what it has no room for.
const LEAST_READS: u32 = 2_000;
const READS_PER_PROXY: u32 = 20;
/// Of one sender, so many that come late, in another order, are still taken: each is a bit.
const WINDOW: u32 = 64;
/// A process that claims to have started this much after the present is not believed, in milliseconds: it would shut out
/// the true one for as long.
const AHEAD_MS: u64 = 60_000;

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// From an address that is no proxy's, or another proxy's than it says.
    UnknownSender,
    /// It cannot be read.
    Unreadable(DecodeError),
    /// Of a process that a newer one has replaced, or that is still to come.
    Outdated,
    /// Heard before, or so late that nobody can say.
    Duplicate,
    /// The proxy's own.
    Own,
}

/// What is counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Those that the machine would not send at once: dropped, nothing waits for them.
    pub unsent: u64,
    /// Bytes sent, by datagram once, however many receive it.
    pub bytes: u64,
    /// Datagrams taken.
    pub heard: u64,
    /// Not taken: from elsewhere.
    pub foreign: u64,
    /// Not taken: damaged, of another version, nonsense.
    pub unreadable: u64,
    /// Not taken: of a process that is gone.
    pub outdated: u64,
    /// Not taken: heard before.
    pub repeated: u64,
    /// Times that reading paused, since too many came.
    pub floods: u64,
}

#[derive(Clone, Copy, Default)]
struct Heard {
    incarnation: u64,
    /// The highest number heard, and which of those before it were.
    last: u32,
    before: u64,
}

impl Heard {
    /// Takes a number of the present process in; false if it was heard, or may have been.
    fn accepts(&mut self, sequence: u32) -> bool {
        if sequence > self.last {
            let ahead = sequence - self.last;
            // The last one keeps its bit up to the very end of the window, where all before it have left.
            let before = self.before.checked_shl(ahead).unwrap_or(0);
            self.before = if ahead <= WINDOW { before | 1 << (ahead - 1) } else { 0 };
            self.last = sequence;
            return true;
        }
        let behind = self.last - sequence;
        let bit = match behind {
            1..=WINDOW => 1 << (behind - 1),
            _ => return false,
        };
        let new = self.before & bit == 0;
        self.before |= bit;
        new
    }
}

/// One proxy's end of the talk.
pub struct PeerChannel {
    own: Sender,
    heard: Vec<Option<Heard>>,
    /// Reads allowed in a second, those left in this one, and when it began.
    reads_per_second: u32,
    left: (u32, u64),
    /// What is counted.
    pub counters: Counters,
}

impl PeerChannel {
    /// For this proxy among so many, whose process started at this time.
    pub fn new(ordinal: u16, proxies: usize, incarnation: u64) -> PeerChannel {
        let own = Sender { ordinal, incarnation, sequence: 0 };
        let all = u32::try_from(proxies).unwrap_or(u32::MAX).saturating_mul(READS_PER_PROXY);
        let reads_per_second = all.max(LEAST_READS);
        let (heard, left) = (vec![None; proxies], (reads_per_second, 0));
        PeerChannel { own, heard, reads_per_second, left, counters: Counters::default() }
    }

    /// The next datagram, with as many of these items as fit, and how many those are.
    pub fn pack(&mut self, items: &[Item]) -> (Datagram, usize) {
        // A process that ran long enough for that begins anew, as another.
        if self.own.sequence == u32::MAX {
            (self.own.sequence, self.own.incarnation) = (0, self.own.incarnation + 1);
        }
        self.own.sequence += 1;
        Datagram::pack(self.own, items)
    }

    /// What became of it.
    pub fn record_sent(&mut self, datagram: &Datagram, ok: bool) {
        if ok {
            self.counters.sent += 1;
            self.counters.bytes += datagram.bytes().len() as u64;
        } else {
            self.counters.unsent += 1;
        }
    }

    /// Whether one more datagram may be read now; if not, from when on.
    pub fn reserve_read(&mut self, now_us: u64) -> Result<(), u64> {
        if now_us >= self.left.1.saturating_add(1_000_000) {
            self.left = (self.reads_per_second, now_us);
        }
        if self.left.0 == 0 {
            self.counters.floods += 1;
            return Err(self.left.1 + 1_000_000);
        }
        self.left.0 -= 1;
        Ok(())
    }

    /// Takes in a datagram that came from the address of this proxy, or from none of the list.
    pub fn receive(&mut self, from: Option<u16>, bytes: &[u8], now_ms: u64) -> Result<Message, DropReason> {
        let judged = self.judge(from, bytes, now_ms);
        let f = &mut self.counters;
        *match &judged {
            Ok(_) => &mut f.heard,
            Err(DropReason::UnknownSender) => &mut f.foreign,
            Err(DropReason::Unreadable(_)) => &mut f.unreadable,
            Err(DropReason::Outdated) => &mut f.outdated,
            Err(DropReason::Duplicate) => &mut f.repeated,
            Err(DropReason::Own) => return judged,
        } += 1;
        judged
    }

    fn judge(&mut self, from: Option<u16>, bytes: &[u8], now_ms: u64) -> Result<Message, DropReason> {
        let from = from.ok_or(DropReason::UnknownSender)?;
        // What is sent to all may come back.
        if from == self.own.ordinal {
            return Err(DropReason::Own);
        }
        let message = Message::read(bytes).map_err(DropReason::Unreadable)?;
        let Sender { ordinal, incarnation, sequence } = message.sender;
        let heard = self
            .heard
            .get_mut(usize::from(from))
            .filter(|_| ordinal == from)
            .ok_or(DropReason::UnknownSender)?;
        let known = heard.get_or_insert_default();
        if incarnation < known.incarnation || incarnation > now_ms.saturating_add(AHEAD_MS) {
            return Err(DropReason::Outdated);
        }
        if incarnation > known.incarnation {
            *known = Heard { incarnation, last: 0, before: 0 };
        }
        if known.accepts(sequence) { Ok(message) } else { Err(DropReason::Duplicate) }
    }
}
