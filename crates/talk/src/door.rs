//! Whom to believe, and how much to read. It owns what is known of each sender's process and order, the budget of
//! reading, and the figures. Times are handed in, in microseconds.
//!
//! Believed is a datagram from an address of the list, that names the sender of that address, of the newest process
//! heard of there, and not heard before. All else is counted and says nothing.

use crate::message::{Datagram, Item, Message, Sender, Unreadable};

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
pub enum Refused {
    /// From an address that is no proxy's, or another proxy's than it says.
    Foreign,
    /// It cannot be read.
    Unreadable(Unreadable),
    /// Of a process that a newer one has replaced, or that is still to come.
    Outdated,
    /// Heard before, or so late that nobody can say.
    Repeated,
    /// The proxy's own.
    Own,
}

/// What is counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Figures {
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
    fn takes(&mut self, number: u32) -> bool {
        if number > self.last {
            let ahead = number - self.last;
            // The last one keeps its bit up to the very end of the window, where all before it have left.
            let before = self.before.checked_shl(ahead).unwrap_or(0);
            self.before = if ahead <= WINDOW { before | 1 << (ahead - 1) } else { 0 };
            self.last = number;
            return true;
        }
        let behind = self.last - number;
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
pub struct Door {
    own: Sender,
    heard: Vec<Option<Heard>>,
    /// Reads allowed in a second, those left in this one, and when it began.
    reads_per_second: u32,
    left: (u32, u64),
    /// What is counted.
    pub figures: Figures,
}

impl Door {
    /// For this proxy among so many, whose process started at this time.
    pub fn new(ordinal: u16, proxies: usize, incarnation: u64) -> Door {
        let own = Sender { ordinal, incarnation, number: 0 };
        let all = u32::try_from(proxies).unwrap_or(u32::MAX).saturating_mul(READS_PER_PROXY);
        let reads_per_second = all.max(LEAST_READS);
        let (heard, left) = (vec![None; proxies], (reads_per_second, 0));
        Door { own, heard, reads_per_second, left, figures: Figures::default() }
    }

    /// The next datagram, with as many of these items as fit, and how many those are.
    pub fn pack(&mut self, items: &[Item]) -> (Datagram, usize) {
        // A process that ran long enough for that begins anew, as another.
        if self.own.number == u32::MAX {
            (self.own.number, self.own.incarnation) = (0, self.own.incarnation + 1);
        }
        self.own.number += 1;
        Datagram::pack(self.own, items)
    }

    /// What became of it.
    pub fn sent(&mut self, datagram: &Datagram, ok: bool) {
        if ok {
            self.figures.sent += 1;
            self.figures.bytes += datagram.bytes().len() as u64;
        } else {
            self.figures.unsent += 1;
        }
    }

    /// Whether one more datagram may be read now; if not, from when on.
    pub fn may_read(&mut self, now_us: u64) -> Result<(), u64> {
        if now_us >= self.left.1.saturating_add(1_000_000) {
            self.left = (self.reads_per_second, now_us);
        }
        if self.left.0 == 0 {
            self.figures.floods += 1;
            return Err(self.left.1 + 1_000_000);
        }
        self.left.0 -= 1;
        Ok(())
    }

    /// Takes in a datagram that came from the address of this proxy, or from none of the list.
    pub fn take(&mut self, from: Option<u16>, bytes: &[u8], now_ms: u64) -> Result<Message, Refused> {
        let judged = self.judge(from, bytes, now_ms);
        let f = &mut self.figures;
        *match &judged {
            Ok(_) => &mut f.heard,
            Err(Refused::Foreign) => &mut f.foreign,
            Err(Refused::Unreadable(_)) => &mut f.unreadable,
            Err(Refused::Outdated) => &mut f.outdated,
            Err(Refused::Repeated) => &mut f.repeated,
            Err(Refused::Own) => return judged,
        } += 1;
        judged
    }

    fn judge(&mut self, from: Option<u16>, bytes: &[u8], now_ms: u64) -> Result<Message, Refused> {
        let from = from.ok_or(Refused::Foreign)?;
        // What is sent to all may come back.
        if from == self.own.ordinal {
            return Err(Refused::Own);
        }
        let message = Message::read(bytes).map_err(Refused::Unreadable)?;
        let Sender { ordinal, incarnation, number } = message.sender;
        let heard =
            self.heard.get_mut(usize::from(from)).filter(|_| ordinal == from).ok_or(Refused::Foreign)?;
        let known = heard.get_or_insert_default();
        if incarnation < known.incarnation || incarnation > now_ms.saturating_add(AHEAD_MS) {
            return Err(Refused::Outdated);
        }
        if incarnation > known.incarnation {
            *known = Heard { incarnation, last: 0, before: 0 };
        }
        if known.takes(number) { Ok(message) } else { Err(Refused::Repeated) }
    }
}
