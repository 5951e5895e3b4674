//! The format of a datagram: a version byte, the sender, items and a checksum. Numbers are encoded as varints
//! (postcard). Items name a host by the hash of its name, since each proxy assigns its own host ids.

use serde::{Deserialize, Serialize};

/// The length limit of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The format version that this crate writes, and the only one that it reads.
pub const FORMAT_VERSION: u8 = 1;
/// Length of the CRC-32 checksum at the end of a datagram, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// One piece of information that a proxy sends to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    /// How far a host has applied the replication log.
    HostPosition {
        /// Hash of the host's name, the same at all proxies.
        host: u32,
        /// The commit time up to which the log is applied, in Unix milliseconds.
        position_ms: u64,
        /// Whether the host reported itself as the primary.
        primary: bool,
    },
    /// The rate at which a tenant's requests arrive at the sender.
    TenantRate {
        /// Index of the tenant in the settings.
        tenant: u16,
        /// In tenths of a request per second.
        tenths_per_s: u32,
    },
}

/// The sender of a datagram, and the datagram's place in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    /// Number of the proxy in the fleet.
    pub ordinal: u16,
    /// Start time of the proxy's process, in Unix milliseconds. A later value means that the process was replaced.
    pub incarnation: u64,
    /// Sequence number of the datagram within the process, from 1.
    pub sequence: u32,
}

/// The contents of a decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender, as the datagram names it.
    pub sender: Sender,
    /// The items, in the order of sending.
    pub items: Vec<Item>,
}

/// Why a datagram cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The datagram is too short or too long, or its checksum does not match.
    Corrupt,
    /// The format version is not `FORMAT_VERSION`.
    UnknownVersion(u8),
    /// The checksum matches, but the sender or an item cannot be decoded.
    InvalidContents,
}

/// An encoded datagram of at most `MAX_DATAGRAM_BYTES`; only this module creates one.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    bytes: [u8; MAX_DATAGRAM_BYTES],
    len: usize,
}

impl Datagram {
    /// Encodes the leading items that fit, and returns their number.
    pub fn pack(sender: Sender, items: &[Item]) -> (Datagram, usize) {
        let mut datagram = Datagram { bytes: [0; MAX_DATAGRAM_BYTES], len: 1 };
        datagram.bytes[0] = FORMAT_VERSION;
        datagram.put(&sender);
        let packed = items.iter().take_while(|item| datagram.put(item)).count();
        let checksum = crc32fast::hash(&datagram.bytes[..datagram.len]).to_le_bytes();
        datagram.bytes[datagram.len..datagram.len + CHECKSUM_BYTES].copy_from_slice(&checksum);
        datagram.len += CHECKSUM_BYTES;
        (datagram, packed)
    }

    /// Appends a value, and returns true, if the value and the checksum fit. Otherwise appends nothing.
    fn put(&mut self, value: &impl Serialize) -> bool {
        match postcard::to_slice(value, &mut self.bytes[self.len..MAX_DATAGRAM_BYTES - CHECKSUM_BYTES]) {
            Ok(encoded) => {
                self.len += encoded.len();
                true
            }
            Err(_) => {
                // Clears the partly encoded value.
                self.bytes[self.len..].fill(0);
                false
            }
        }
    }

    /// The encoded bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[..self.len]
    }
}

impl Message {
    /// Decodes a datagram. One that is damaged, incomplete or of another version is rejected as a whole.
    pub fn read(bytes: &[u8]) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Corrupt);
        }
        let (body, checksum) = bytes.split_last_chunk::<CHECKSUM_BYTES>().ok_or(DecodeError::Corrupt)?;
        if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
            return Err(DecodeError::Corrupt);
        }
        let (version, body) = body.split_first().ok_or(DecodeError::Corrupt)?;
        if *version != FORMAT_VERSION {
            return Err(DecodeError::UnknownVersion(*version));
        }
        let (sender, mut rest) = postcard::take_from_bytes(body).map_err(|_| DecodeError::InvalidContents)?;
        let mut items = Vec::new();
        while !rest.is_empty() {
            let (item, after) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::InvalidContents)?;
            // Each item takes at least one byte, so the loop ends.
            items.push(item);
            rest = after;
        }
        Ok(Message { sender, items })
    }
}
