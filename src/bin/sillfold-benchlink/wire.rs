//! The framing of the simulator's protocol: reads batches from the input, and builds the records of a reply. All numbers
//! are little-endian.

use std::io::{self, Read};

/// An error in the input; the text says what is malformed, and where.
#[derive(Debug)]
pub struct WireError(pub String);

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError(format!("reading a frame: {e}"))
    }
}

/// A result of the adapter.
pub type Result<T> = std::result::Result<T, WireError>;

/// The longest body of a frame that is accepted; batches reach several megabytes.
const MAX_FRAME_BYTES: u32 = 1 << 30;

/// The length of a batch header: body length, clock and number of records.
const HEADER_BYTES: usize = 16;

/// One batch of records.
pub struct Frame {
    /// The simulated time, in microseconds.
    pub now: u64,
    /// The number of records, as the header states it.
    pub records: u32,
    /// The encoded records.
    pub body: Vec<u8>,
}

/// Reads one batch; `None` if the input ends before its first byte.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>> {
    let mut header = Vec::new();
    input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        return Err(WireError(format!("truncated frame: {} of {HEADER_BYTES} header bytes", header.len())));
    }
    let mut cursor = Cursor::new(&header);
    let len = cursor.u32("frame length")?;
    let now = cursor.u64("clock")?;
    let records = cursor.u32("record count")?;
    if len > MAX_FRAME_BYTES {
        return Err(WireError(format!("frame length {len} is over {MAX_FRAME_BYTES}")));
    }
    let mut body = Vec::new();
    input.take(u64::from(len)).read_to_end(&mut body)?;
    if body.len() != len as usize {
        return Err(WireError(format!("truncated frame: {} of {len} bytes", body.len())));
    }
    Ok(Some(Frame { now, records, body }))
}

/// Decodes values from bytes, one after the other. The `field` of each method names the value in an error.
pub struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Cursor<'a> {
    /// A cursor at the first byte.
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { bytes, at: 0 }
    }
    /// The offset of the next byte.
    pub fn at(&self) -> usize {
        self.at
    }
    /// Whether every byte has been read.
    pub fn done(&self) -> bool {
        self.at == self.bytes.len()
    }
    /// Returns the next `n` bytes.
    pub fn take(&mut self, n: usize, field: &str) -> Result<&'a [u8]> {
        let left = self.bytes.len() - self.at;
        if n > left {
            let at = self.at;
            return Err(WireError(format!("{field} at byte {at}: needs {n} bytes, {left} left")));
        }
        let out = &self.bytes[self.at..self.at + n];
        self.at += n;
        Ok(out)
    }
    fn array<const N: usize>(&mut self, field: &str) -> Result<[u8; N]> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N, field)?);
        Ok(out)
    }
    /// Decodes one byte.
    pub fn u8(&mut self, field: &str) -> Result<u8> {
        Ok(self.array::<1>(field)?[0])
    }
    /// Decodes two bytes.
    pub fn u16(&mut self, field: &str) -> Result<u16> {
        Ok(u16::from_le_bytes(self.array(field)?))
    }
    /// Decodes four bytes.
    pub fn u32(&mut self, field: &str) -> Result<u32> {
        Ok(u32::from_le_bytes(self.array(field)?))
    }
    /// Decodes eight bytes.
    pub fn u64(&mut self, field: &str) -> Result<u64> {
        Ok(u64::from_le_bytes(self.array(field)?))
    }
    /// Decodes a four-byte float.
    pub fn f32(&mut self, field: &str) -> Result<f32> {
        Ok(f32::from_le_bytes(self.array(field)?))
    }
}

/// The reply under construction.
#[derive(Default)]
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// Starts a record of an instance.
    pub fn record(&mut self, code: u8, instance_id: u32) -> &mut Self {
        self.bytes.push(code);
        self.u32(instance_id)
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
    /// Appends a byte string after its length of two bytes; a longer string is cut at 65,535 bytes.
    pub fn blob(&mut self, v: &[u8]) -> &mut Self {
        let n = u16::try_from(v.len()).unwrap_or(u16::MAX);
        self.bytes.extend_from_slice(&n.to_le_bytes());
        self.bytes.extend_from_slice(&v[..usize::from(n)]);
        self
    }
    /// The complete frame: the length, then the records.
    pub fn into_frame(self) -> Vec<u8> {
        let mut out = (self.bytes.len() as u32).to_le_bytes().to_vec();
        out.extend_from_slice(&self.bytes);
        out
    }
}
