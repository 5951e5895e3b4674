//! Frame codec: cursor over one batch, and the records of the reply.

use std::io::{self, Read};

/// What is malformed, and where.
#[derive(Debug)]
pub struct WireError(pub String);

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError(format!("reading a frame: {e}"))
    }
}

/// Shorthand for this binary.
pub type Result<T> = std::result::Result<T, WireError>;

/// Largest frame accepted; batches reach several megabytes.
const MAX_FRAME: u32 = 1 << 30;

/// Bytes of a batch header: length, clock, number of records.
const HEADER: usize = 16;

/// One batch: its clock, its number of records and their bytes.
pub struct Frame {
    /// Clock value, microseconds.
    pub now: u64,
    /// Records announced.
    pub records: u32,
    /// The bytes of the records.
    pub body: Vec<u8>,
}

/// Reads one batch; `None` at the end of input between frames.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>> {
    let mut head = Vec::new();
    input.by_ref().take(HEADER as u64).read_to_end(&mut head)?;
    if head.is_empty() {
        return Ok(None);
    }
    if head.len() < HEADER {
        return Err(WireError(format!("truncated frame: {} of {HEADER} header bytes", head.len())));
    }
    let mut c = Cursor::new(&head);
    let len = c.u32("frame length")?;
    let now = c.u64("clock")?;
    let records = c.u32("record count")?;
    if len > MAX_FRAME {
        return Err(WireError(format!("frame length {len} is over {MAX_FRAME}")));
    }
    let mut body = Vec::new();
    input.take(u64::from(len)).read_to_end(&mut body)?;
    if body.len() != len as usize {
        return Err(WireError(format!("truncated frame: {} of {len} bytes", body.len())));
    }
    Ok(Some(Frame { now, records, body }))
}

/// A cursor over one frame.
pub struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Cursor<'a> {
    /// A cursor at the first byte.
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { bytes, at: 0 }
    }
    /// Offset of the next byte.
    pub fn at(&self) -> usize {
        self.at
    }
    /// Whether every byte has been read.
    pub fn done(&self) -> bool {
        self.at == self.bytes.len()
    }
    /// The next `n` bytes.
    pub fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8]> {
        let left = self.bytes.len() - self.at;
        if n > left {
            let at = self.at;
            return Err(WireError(format!("{what} at byte {at}: needs {n} bytes, {left} left")));
        }
        let out = &self.bytes[self.at..self.at + n];
        self.at += n;
        Ok(out)
    }
    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N]> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N, what)?);
        Ok(out)
    }
    /// One byte.
    pub fn u8(&mut self, what: &str) -> Result<u8> {
        Ok(self.array::<1>(what)?[0])
    }
    /// Two bytes.
    pub fn u16(&mut self, what: &str) -> Result<u16> {
        Ok(u16::from_le_bytes(self.array(what)?))
    }
    /// Four bytes.
    pub fn u32(&mut self, what: &str) -> Result<u32> {
        Ok(u32::from_le_bytes(self.array(what)?))
    }
    /// Eight bytes.
    pub fn u64(&mut self, what: &str) -> Result<u64> {
        Ok(u64::from_le_bytes(self.array(what)?))
    }
    /// A four-byte float.
    pub fn f32(&mut self, what: &str) -> Result<f32> {
        Ok(f32::from_le_bytes(self.array(what)?))
    }
}

/// The reply under construction.
#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// Starts a record.
    pub fn record(&mut self, code: u8, who: u32) -> &mut Self {
        self.bytes.push(code);
        self.u32(who)
    }
    /// Appends one byte.
    pub fn u8(&mut self, v: u8) -> &mut Self {
        self.bytes.push(v);
        self
    }
    /// Appends four bytes.
    pub fn u32(&mut self, v: u32) -> &mut Self {
        self.bytes.extend_from_slice(&v.to_le_bytes());
        self
    }
    /// Appends eight bytes.
    pub fn u64(&mut self, v: u64) -> &mut Self {
        self.bytes.extend_from_slice(&v.to_le_bytes());
        self
    }
    /// Appends a counted byte string, cut at what its count can tell.
    pub fn blob(&mut self, v: &[u8]) -> &mut Self {
        let n = u16::try_from(v.len()).unwrap_or(u16::MAX);
        self.bytes.extend_from_slice(&n.to_le_bytes());
        self.bytes.extend_from_slice(&v[..usize::from(n)]);
        self
    }
    /// The whole frame, header first.
    pub fn into_frame(self) -> Vec<u8> {
        let mut out = (self.bytes.len() as u32).to_le_bytes().to_vec();
        out.extend_from_slice(&self.bytes);
        out
    }
}
