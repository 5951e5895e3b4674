//! When the client of a long statement may have written its last byte, as far as reads of its connection show. Pure: it is
//! told what was seen, and when.
//!
//! A client's patience begins with its last byte. Bytes that arrive while nobody reads wait in sockets, on both sides, so the
//! moment at which a byte is read says little. What is certain is when the client still owed bytes: when a read finds
//! nothing and has to wait. Behind a time without reads a short wait may only be the way of bytes that were written long
//! before, so it counts as if it had been earlier by that time.

use std::time::{Duration, Instant};

/// A wait of this length shows that the client had written nothing: bytes that it had written are under way for less.
const LONGEST_WAY: Duration = Duration::from_millis(100);

/// Follows the reads of one long statement.
#[derive(Clone, Debug)]
pub struct UploadClock {
    /// The earliest time at which the client may have written the last byte that was read.
    earliest: Instant,
    /// For how long bytes may have waited to be read, since it was last certain that none did.
    held_back: Duration,
    /// When the connection was last looked at.
    looked_at: Instant,
}

impl UploadClock {
    /// Of a statement whose time may begin at `begun_at`, and of which nothing is read since.
    pub fn new(begun_at: Instant) -> UploadClock {
        UploadClock { earliest: begun_at, held_back: Duration::ZERO, looked_at: begun_at }
    }

    /// Before a read: whether bytes wait to be read. If none do, the client still owes some. Returns whether some do.
    pub fn look(&mut self, now: Instant, has_unread: bool) -> bool {
        let unseen = now.saturating_duration_since(self.looked_at);
        self.looked_at = now;
        if has_unread {
            self.held_back += unseen;
        } else {
            self.client_owes_bytes(now, unseen);
        }
        has_unread
    }

    /// Bytes were read for which the reader had to wait since its last look.
    pub fn received_after_wait(&mut self, now: Instant) {
        let waited = now.saturating_duration_since(self.looked_at);
        self.looked_at = now;
        self.client_owes_bytes(now, waited);
    }

    fn client_owes_bytes(&mut self, now: Instant, quiet: Duration) {
        if quiet >= LONGEST_WAY {
            self.held_back = Duration::ZERO;
        }
        self.earliest = self.earliest.max(now.checked_sub(self.held_back).unwrap_or(now));
    }

    /// The earliest time at which the client may have written the last byte that was read, or waits to be read.
    pub fn last_byte_at(&self) -> Instant {
        self.earliest
    }
}
