//! The table of the request ids that were answered a moment ago, which the processes of a machine share during an upgrade:
//! its layout, and which record of a bucket is replaced. Pure: it reads and writes bytes, never a file.
//!
//! The table consists of buckets of [`RECORDS_PER_BUCKET`] records. An id belongs to one bucket. A record that another one
//! replaced too early only means that its id is forgotten early.

use std::time::Duration;

/// How long an id stays in use after its request was answered.
pub const ID_RETENTION: Duration = Duration::from_secs(2);
/// The length of a record: the hash of an id, and when its request was answered, both little-endian.
const RECORD_BYTES: usize = 16;
/// The number of records in a bucket.
const RECORDS_PER_BUCKET: usize = 4;
/// The number of buckets. The table takes 1 MiB.
const BUCKETS: u64 = 1 << 14;
/// The length of a bucket.
pub const BUCKET_BYTES: usize = RECORD_BYTES * RECORDS_PER_BUCKET;

/// The hash of a request id, which is the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdHash(pub u64);

impl IdHash {
    /// The offset of the byte whose lock claims the id.
    pub fn lock_offset(self) -> u64 {
        self.0 >> 1
    }

    /// The offset of the id's bucket in the table.
    pub fn bucket_offset(self) -> u64 {
        self.0 % BUCKETS * BUCKET_BYTES as u64
    }
}

/// A time on the clock that all processes of a machine share, in microseconds since the machine was started.
pub type MachineMicros = u64;

/// One record of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    id: IdHash,
    answered_at: MachineMicros,
}

impl Record {
    fn parse(bytes: &[u8]) -> Option<Record> {
        let (id, answered_at) = bytes.split_first_chunk::<8>()?;
        let (answered_at, _) = answered_at.split_first_chunk::<8>()?;
        Some(Record {
            id: IdHash(u64::from_le_bytes(*id)),
            answered_at: MachineMicros::from_le_bytes(*answered_at),
        })
    }

    /// Whether the record still counts. A time that has not come yet is from before a restart of the machine.
    fn is_recent(&self, now: MachineMicros) -> bool {
        now.checked_sub(self.answered_at).is_some_and(|age| age <= ID_RETENTION.as_micros() as u64)
    }
}

/// A bucket of the table, as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bucket(pub [u8; BUCKET_BYTES]);

impl Default for Bucket {
    fn default() -> Bucket {
        Bucket([0; BUCKET_BYTES])
    }
}

/// A record that is to be written, and its offset in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordWrite {
    /// The offset from the table's beginning.
    pub offset: u64,
    /// The record.
    pub bytes: [u8; RECORD_BYTES],
}

impl Bucket {
    fn records(&self) -> impl Iterator<Item = Record> {
        self.0.chunks_exact(RECORD_BYTES).filter_map(Record::parse)
    }

    /// Whether the id's request was answered a moment ago.
    pub fn contains(&self, id: IdHash, now: MachineMicros) -> bool {
        self.records().any(|record| record.id == id && record.is_recent(now))
    }

    /// The record of an id whose request was answered at `answered_at`, which is not after `now`. It takes the place of the id's
    /// earlier record, of one that no longer counts, or of the oldest.
    pub fn record_answered(&self, id: IdHash, answered_at: MachineMicros, now: MachineMicros) -> RecordWrite {
        let rank = |record: &Record| match record {
            record if record.id == id => (0, 0),
            record if !record.is_recent(now) => (1, 0),
            record => (2, record.answered_at),
        };
        let place = self.records().enumerate().min_by_key(|(_, record)| rank(record)).map_or(0, |(n, _)| n);
        let mut bytes = [0; RECORD_BYTES];
        bytes[..8].copy_from_slice(&id.0.to_le_bytes());
        bytes[8..].copy_from_slice(&answered_at.to_le_bytes());
        RecordWrite { offset: id.bucket_offset() + (place * RECORD_BYTES) as u64, bytes }
    }
}
