//! The form of a datagram: a version, who sends it and in what order, items, and a checksum. Numbers are varints
//! (postcard). Hosts go by what all proxies share, a hash of their names, since each proxy numbers them by itself.

use serde::{Deserialize, Serialize};

/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The form of this version. One that is not known is refused whole: nothing is guessed.
pub const FORMAT_VERSION: u8 = 1;
/// Bytes of the checksum, at the end.
const CHECKSUM_BYTES: usize = 4;

/// Something that one proxy tells the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// How far a host had applied the log, in Unix milliseconds, and whether it called itself the primary.
    HostPosition {
        /// What all proxies call the host.
        host: u32,
        /// Unix milliseconds.
        position_ms: u64,
        /// Whether it took writes then.
        primary: bool,
    },
    /// What the sender is asked for by a tenant.
    TenantRate {
        /// The tenant, as the settings number it.
        tenant: u16,
        /// Tenths of a request in a second.
        tenths_per_s: u32,
    },
}

/// Who sends, and where in its order a datagram stands.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Its number in the fleet.
    pub ordinal: u16,
    /// When its process started, in Unix milliseconds: a later one is another.
    pub incarnation: u64,
    /// Counts its datagrams.
    pub sequence: u32,
}

/// A whole datagram, read.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Whose it is.
    pub sender: Sender,
    /// What it says.
    pub items: Vec<Item>,
}

/// Why a datagram cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Too short, too long, or its checksum is another.
    Corrupt,
    /// Of a version that is not known here.
    UnknownVersion(u8),
    /// The checksum fits, and what it covers makes no sense.
    InvalidContents,
}

/// Bytes to be sent: never more than `MAX_DATAGRAM_BYTES`, since only this module makes them.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    bytes: [u8; MAX_DATAGRAM_BYTES],
    len: usize,
}

impl Datagram {
    /// As many of the items as fit, from the first on, and how many those are.
    pub fn pack(sender: Sender, items: &[Item]) -> (Datagram, usize) {
        let mut d = Datagram { bytes: [0; MAX_DATAGRAM_BYTES], len: 1 };
        d.bytes[0] = FORMAT_VERSION;
        d.put(&sender);
        let packed = items.iter().take_while(|item| d.put(item)).count();
        let sum = crc32fast::hash(&d.bytes[..d.len]).to_le_bytes();
        d.bytes[d.len..d.len + CHECKSUM_BYTES].copy_from_slice(&sum);
        d.len += CHECKSUM_BYTES;
        (d, packed)
    }

    /// Appends a value whole, if there is room for it and the checksum.
    fn put(&mut self, value: &impl Serialize) -> bool {
        match postcard::to_slice(value, &mut self.bytes[self.len..MAX_DATAGRAM_BYTES - CHECKSUM_BYTES]) {
            Ok(put) => {
                self.len += put.len();
                true
            }
            Err(_) => {
                // What was begun is no part of it.
                self.bytes[self.len..].fill(0);
                false
            }
        }
    }

    /// The bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..self.len]
    }
}

impl Message {
    /// Reads a datagram; one that is not whole, or of another version, says nothing at all.
    pub fn read(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Corrupt);
        }
        let (body, sum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(DecodeError::Corrupt)?;
        if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
            return Err(DecodeError::Corrupt);
        }
        let (version, body) = body.split_first().ok_or(DecodeError::Corrupt)?;
        if *version != FORMAT_VERSION {
            return Err(DecodeError::UnknownVersion(*version));
        }
        let (sender, mut rest) = postcard::take_from_bytes(body).map_err(|_| DecodeError::InvalidContents)?;
        let mut items = Vec::new();
        while !rest.is_empty() {
            let (item, left) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::InvalidContents)?;
            // Every item takes a byte at least, so this ends.
            items.push(item);
            rest = left;
        }
        Ok(Message { sender, items })
    }
}
