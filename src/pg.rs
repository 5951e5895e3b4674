//! Encodes and decodes messages of PostgreSQL's wire protocol, version 3, as small typed values. The module owns the
//! layout of messages, the limits on their length, and the buffer of bytes that are not decoded yet. It must not do I/O,
//! nor decide what an answer means for a request.

use crate::statement::Statement;

/// The longest message that is buffered until it is complete: a statement with a value of 64 KiB as hexadecimal text.
pub const MAX_MESSAGE_BYTES: usize = 160 * 1024;
/// The longest value in a database host's answer to a request with a comment.
const MAX_VALUE_BYTES: i64 = 4 << 20;
/// The longest value that is buffered until it is complete; a longer one is streamed.
const MAX_BUFFERED_VALUE_BYTES: i64 = 64 << 10;
/// What an answer holds besides its value: the messages around it, and the buffers' rounding.
const ANSWER_OVERHEAD_BYTES: usize = 8 * 1024;
/// The most memory that an answer needs which isn't streamed.
pub const MAX_BUFFERED_ANSWER_BYTES: usize = MAX_BUFFERED_VALUE_BYTES as usize + ANSWER_OVERHEAD_BYTES;
/// The byte behind a text in a message.
pub const TEXT_END: u8 = 0;
/// The type and the length of a message, which begin it.
pub const MESSAGE_HEAD_BYTES: usize = 5;
/// The longest statement: the longest value as hexadecimal text, and `MAX_MESSAGE_BYTES` around it. A statement beyond
/// `MAX_MESSAGE_BYTES` is streamed.
const MAX_STATEMENT_BYTES: usize = 2 * MAX_VALUE_BYTES as usize + MAX_MESSAGE_BYTES;
/// The beginning of a streamed statement that is decoded; it must hold what names class, group and key.
pub const STATEMENT_HEAD_BYTES: usize = 4 * 1024;
/// The longest message of a database host that is not a row.
const MAX_NON_ROW_BYTES: i64 = 16 * 1024;
/// The memory that a `ReadBuffer` keeps when it becomes empty.
const KEPT_BUFFER_BYTES: usize = 4 * 1024;
/// What is wrong with a text that is not UTF-8.
const NOT_UTF_8: &str = "a text is not UTF-8";
/// The bytes of the messages of a one-row result besides its value, name and tag, rounded up.
const ROW_FRAME_BYTES: usize = 64;
/// The step in which a larger buffer grows.
const BUFFER_STEP_BYTES: usize = 4 * 1024;
/// The longest startup packet, the same limit as in PostgreSQL.
pub const MAX_STARTUP_BYTES: usize = 10_000;

/// The SQLSTATE codes that the proxy sends or checks.
pub mod code {
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    pub const READ_ONLY: &str = "25006";
    pub const FAILED_TRANSACTION: &str = "25P02";
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    pub const UNTRANSLATABLE: &str = "22021";
    pub const DUPLICATE_OBJECT: &str = "42710";
    pub const OUT_OF_MEMORY: &str = "53200";
    pub const LIMIT_EXCEEDED: &str = "54000";
    pub const COMPLETION_UNKNOWN: &str = "40003";
    pub const SYNTAX_ERROR: &str = "42601";
    pub const UNDEFINED_OBJECT: &str = "42704";
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    pub const CANNOT_CONNECT_NOW: &str = "57P03";

    /// Whether a code blames the statement itself: a protocol violation, an unsupported feature, invalid data, invalid
    /// syntax or an unknown name.
    pub fn is_statement_error(code: &str) -> bool {
        code == PROTOCOL_VIOLATION || ["0A", "22", "42"].iter().any(|class| code.starts_with(class))
    }
}

/// What an error before any result means for a plain statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainError {
    /// The host rejected the statement before running it: the host is not the primary, or lags too far behind.
    Unsuitable,
    /// The host accepts no more connections.
    Overloaded,
    /// The host failed; the statement may have run.
    Failed,
    /// The error is the statement's answer, and would be the same at any host.
    Answer,
}

/// Classifies an error by its SQLSTATE code, following the appendix on error codes of PostgreSQL's manual.
pub fn classify_plain_error(code: &str, writes: bool) -> PlainError {
    match code {
        code::READ_ONLY | code::SNAPSHOT_TOO_OLD => PlainError::Unsuitable,
        code::TOO_MANY_CONNECTIONS => PlainError::Overloaded,
        // A replica cancels a read that conflicts with the replay of the log; the read may succeed at another host.
        "40001" | "40P01" if !writes => PlainError::Failed,
        "57P01" | "57P02" | "57P03" | "57P05" => PlainError::Failed,
        _ if ["08", "53", "58", "XX"].iter().any(|class| code.starts_with(class)) => PlainError::Failed,
        _ => PlainError::Answer,
    }
}

/// The bytes are not a valid message; the text says why.
#[derive(Debug, PartialEq)]
pub struct Malformed(pub String);

/// A decoded message; `None` as long as it is not complete.
pub type Decoded<T> = Result<Option<T>, Malformed>;

fn malformed<T>(reason: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(reason.into()))
}

/// The bytes received on a connection and not decoded yet.
#[derive(Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// How many of the bytes are decoded already. They are removed on the next `append`, since removing them after each
    /// message would move the rest hundreds of times where hundreds of messages arrive at once.
    consumed: usize,
}

impl ReadBuffer {
    /// Adds received bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        self.compact();
        reserve_in_steps(&mut self.bytes, bytes.len());
        self.bytes.extend_from_slice(bytes);
    }
    /// Removes the decoded bytes, and frees the memory that the rest doesn't need.
    pub fn compact(&mut self) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        if self.bytes.capacity() > KEPT_BUFFER_BYTES {
            self.bytes.shrink_to(self.bytes.len().next_multiple_of(BUFFER_STEP_BYTES).max(KEPT_BUFFER_BYTES));
        }
    }
    /// The length of the next message with its head, as far as the head has arrived. A head that is not valid is for the
    /// decoder to reject.
    pub fn message_bytes(&self) -> Option<usize> {
        let [_, length @ ..] = self.rest().first_chunk::<MESSAGE_HEAD_BYTES>()?;
        usize::try_from(i32::from_be_bytes(*length)).ok().map(|length| 1 + length)
    }
    /// The number of bytes that are not decoded yet.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }
    /// Whether all received bytes are decoded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Moves at most `limit` bytes unchanged to the end of `out`, and returns their number.
    pub fn move_to(&mut self, out: &mut Vec<u8>, limit: usize) -> usize {
        let n = self.len().min(limit);
        reserve_in_steps(out, n);
        out.extend_from_slice(&self.rest()[..n]);
        self.consume(n);
        n
    }
    /// Drops at most `limit` bytes, and returns their number.
    pub fn discard(&mut self, limit: usize) -> usize {
        let n = self.len().min(limit);
        self.consume(n);
        n
    }
    /// The memory that the buffer holds, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }
    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.consume(self.len());
    }
    /// The bytes that are not decoded yet.
    fn rest(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }
    /// Marks `n` bytes as decoded. Once most are, a large buffer is shrunk; otherwise each connection would keep the memory
    /// of its longest message.
    fn consume(&mut self, n: usize) {
        self.consumed += n;
        let is_mostly_consumed = self.consumed >= KEPT_BUFFER_BYTES && self.consumed >= self.len();
        if self.is_empty() || is_mostly_consumed {
            self.compact();
        }
    }
}

/// Makes room for `additional` bytes. A large buffer grows in steps: doubling it could take twice the memory that is
/// reserved for its contents.
pub fn reserve_in_steps(buffer: &mut Vec<u8>, additional: usize) {
    let needed = buffer.len() + additional;
    if needed > KEPT_BUFFER_BYTES && needed > buffer.capacity() {
        buffer.reserve_exact(needed.next_multiple_of(BUFFER_STEP_BYTES) - buffer.len());
    }
}

/// A client's packet before its session begins.
#[derive(Debug, PartialEq)]
pub enum Startup {
    /// A request for encryption by TLS or GSSAPI.
    Encryption,
    /// A request to cancel the query of another session.
    Cancel,
    /// Opens the session. The minor protocol version may be newer than the proxy's; `options` are the names of protocol
    /// options.
    Session { minor: u16, options: Vec<String>, user: String, database: String },
}

/// A client's message within its session.
#[derive(Debug, PartialEq)]
pub enum Frontend {
    /// A statement of the simple query protocol.
    Query(String),
    /// The beginning of a streamed statement, and the number of bytes of its message that follow.
    LongQuery(String, usize),
    /// A query whose text cannot be decoded. The session can continue, since the message's length is known.
    Invalid(Malformed),
    /// The same for a streamed statement, with the number of bytes of its message that follow.
    InvalidLong(Malformed, usize),
    Terminate,
    Sync,
    Flush,
    /// A message of the extended query protocol.
    ExtendedQuery,
}

/// A database host's message.
#[derive(Debug, PartialEq)]
pub enum Backend {
    AuthenticationOk,
    ParameterStatus {
        name: String,
        value: String,
    },
    RowDescription(Vec<Column>),
    /// The values of a row; none for NULL.
    DataRow(Vec<Option<Vec<u8>>>),
    /// A row of one column whose value is streamed: the value's length in bytes. The value's bytes follow.
    LongRow(usize),
    /// The end of a result, with the command tag.
    CommandComplete(String),
    EmptyQuery,
    Error(ErrorFields),
    ReadyForQuery,
    /// A message that the proxy ignores, for example a notice.
    Ignored,
}

/// The description of a column, as in RowDescription.
#[derive(Clone, Debug, PartialEq)]
pub struct Column {
    pub name: String,
    table: u32,
    attribute: i16,
    type_oid: u32,
    type_len: i16,
    modifier: i32,
    format: i16,
}

/// The fields of an ErrorResponse that the proxy uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ErrorFields {
    /// The SQLSTATE code.
    pub code: String,
    pub message: String,
    /// After how many milliseconds to try again, from the DETAIL field.
    pub retry_in_ms: Option<u64>,
    /// Whether the severity is FATAL or PANIC.
    pub fatal: bool,
    /// The body of the message as the database host sent it, to be forwarded; empty for an error of the proxy's own.
    pub raw: Vec<u8>,
}

impl ErrorFields {
    /// The bytes that the fields take as a message, or a little more.
    pub fn held_bytes(&self) -> usize {
        self.code.len() + self.message.len() + self.raw.len() + ROW_FRAME_BYTES
    }
}

/// A result of one row with one column.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub column: Column,
    /// The value; none for NULL.
    pub value: Option<Vec<u8>>,
    /// The command tag of the result.
    pub tag: String,
}

impl Row {
    /// The bytes that the row takes as messages, or a little more.
    pub fn held_bytes(&self) -> usize {
        let value_bytes = self.value.as_ref().map_or(0, Vec::len);
        value_bytes + self.column.name.len() + self.tag.len() + ROW_FRAME_BYTES
    }
}

/// The longest row in an answer to a plain statement: 1 GiB.
const MAX_PLAIN_ROW_BYTES: usize = 1 << 30;
/// The longest message that describes or ends a result in an answer to a plain statement.
const MAX_PLAIN_NON_ROW_BYTES: usize = 1 << 20;
/// The longest message of such an answer that the proxy decodes, and so buffers until it is complete.
pub const MAX_PLAIN_DECODED_BYTES: usize = 64 * 1024;

/// Forwards the answer to a plain statement. It decodes the type and length of each message; the contents are forwarded
/// as they arrive, so that no row is buffered.
#[derive(Default)]
pub struct AnswerForwarder {
    /// Bytes of the present message that are not forwarded yet.
    left: usize,
    /// Whether any message other than a notice has been forwarded.
    started: bool,
    /// Number of columns of the present result.
    columns: Option<i16>,
}

/// The result of one step of an `AnswerForwarder`.
#[derive(Debug, PartialEq)]
pub enum ForwardStep {
    /// Bytes were forwarded, or a notification was dropped.
    Forwarded,
    /// The next step needs more bytes in the buffer.
    NeedsInput,
    /// The host reported a parameter; it is not forwarded.
    ParameterStatus { name: String, value: String },
    /// The host reported an error before any result.
    Error(ErrorFields),
    /// The answer is complete; false if the session has a transaction open.
    Ready(bool),
}

impl AnswerForwarder {
    /// Whether a result has started, so that an error is part of the answer.
    pub fn started(&self) -> bool {
        self.started
    }

    /// Takes the next part of the answer from `input`, and appends the bytes for the client to `out`.
    pub fn forward(&mut self, input: &mut ReadBuffer, out: &mut Vec<u8>) -> Result<ForwardStep, Malformed> {
        if self.left > 0 {
            let n = input.move_to(out, self.left);
            self.left -= n;
            return Ok(if n > 0 { ForwardStep::Forwarded } else { ForwardStep::NeedsInput });
        }
        let Some(&[kind, a, b, c, d]) = input.rest().first_chunk::<5>() else {
            // Rejects an unknown type before its length has arrived.
            return match input.rest().first() {
                Some(kind) if !b"RSKTDCIEZNAtnv".contains(kind) => {
                    malformed(format!("a message of the unknown type {kind:#04x}"))
                }
                _ => Ok(ForwardStep::NeedsInput),
            };
        };
        let len = usize::try_from(i32::from_be_bytes([a, b, c, d])).unwrap_or(0);
        let max_len = match kind {
            b'D' => MAX_PLAIN_ROW_BYTES,
            // Decoded here, and so buffered until it is complete.
            b'E' if !self.started => MAX_PLAIN_DECODED_BYTES,
            b'T' | b'C' | b'I' | b'N' | b'E' => MAX_PLAIN_NON_ROW_BYTES,
            b'S' | b'A' => MAX_PLAIN_DECODED_BYTES,
            b'Z' => 5,
            _ => return malformed(format!("a message of type {:?} in an answer", kind as char)),
        };
        if !(4..=max_len).contains(&len) {
            return malformed(format!("a message of type {:?} with {len} bytes", kind as char));
        }
        match kind {
            b'T' | b'D' => {
                let Some(&[.., x, y]) = input.rest().first_chunk::<7>() else {
                    return Ok(ForwardStep::NeedsInput);
                };
                let columns = i16::from_be_bytes([x, y]);
                if kind == b'T' {
                    self.columns = Some(columns);
                } else if self.columns != Some(columns) {
                    return malformed(format!(
                        "a row of {columns} columns where there are {:?}",
                        self.columns
                    ));
                }
            }
            b'S' | b'A' | b'Z' => return self.decode(input, kind, len),
            b'E' if !self.started => return self.decode(input, kind, len),
            b'C' | b'I' | b'E' => self.columns = None,
            _ => {}
        }
        self.started |= kind != b'N';
        self.left = 1 + len;
        self.forward(input, out)
    }

    /// Decodes a message that is for the proxy itself, once it is complete.
    fn decode(&mut self, input: &mut ReadBuffer, kind: u8, len: usize) -> Result<ForwardStep, Malformed> {
        let Some(bytes) = input.rest().get(5..=len) else { return Ok(ForwardStep::NeedsInput) };
        let mut body = Body(bytes);
        let step = match kind {
            b'S' => ForwardStep::ParameterStatus { name: body.text()?, value: body.text()? },
            b'E' => ForwardStep::Error(ErrorFields { raw: bytes.to_vec(), ..error_fields(&mut body)? }),
            b'Z' => ForwardStep::Ready(body.take(1)? == b"I"),
            // NotificationResponse: the proxy drops it.
            _ => ForwardStep::Forwarded,
        };
        input.consume(1 + len);
        Ok(step)
    }
}

/// The part of a message's body that is not decoded yet.
struct Body<'a>(&'a [u8]);

impl<'a> Body<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        match self.0.split_at_checked(n) {
            Some((head, rest)) => {
                self.0 = rest;
                Ok(head)
            }
            None => malformed("a message ends inside a field"),
        }
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn i16(&mut self) -> Result<i16, Malformed> {
        Ok(i16::from_be_bytes(self.array()?))
    }
    fn i32(&mut self) -> Result<i32, Malformed> {
        Ok(i32::from_be_bytes(self.array()?))
    }
    /// Decodes a zero-terminated string.
    fn text(&mut self) -> Result<String, Malformed> {
        let Some(end) = self.0.iter().position(|&b| b == 0) else { return malformed("a text is not ended") };
        let text = self.take(end)?;
        self.take(1)?;
        String::from_utf8(text.to_vec()).or_else(|_| malformed(NOT_UTF_8))
    }
    /// Fails if bytes are left.
    fn end(&self) -> Result<(), Malformed> {
        if self.0.is_empty() { Ok(()) } else { malformed("a message is longer than its fields") }
    }
}

/// Decodes one startup packet, once it is complete.
pub fn decode_startup(input: &mut ReadBuffer) -> Decoded<Startup> {
    let Some(head) = input.rest().first_chunk::<8>() else { return Ok(None) };
    let (len, version) = head.split_at(4);
    let len = Body(len).i32()?;
    let code = Body(version).i32()?;
    let Ok(len) = usize::try_from(len) else { return malformed("a startup packet of negative length") };
    if !(8..=MAX_STARTUP_BYTES).contains(&len) {
        return malformed(format!("a startup packet of {len} bytes"));
    }
    // Rejects an unknown version before the rest has arrived, since the client may speak another protocol.
    if code >> 16 != 3 && !(80_877_102..=80_877_104).contains(&code) {
        return malformed(format!("protocol version {}.{}, this is 3.0", code >> 16, code & 0xffff));
    }
    let Some(packet) = input.rest().get(8..len) else { return Ok(None) };
    let mut body = Body(packet);
    // The codes that aren't protocol versions are CancelRequest, SSLRequest and GSSENCRequest.
    let startup = match code {
        80_877_102 => Startup::Cancel,
        80_877_103 | 80_877_104 => Startup::Encryption,
        _ => {
            let mut options = Vec::new();
            let mut user = String::new();
            let mut database = None;
            loop {
                let name = body.text()?;
                if name.is_empty() {
                    break;
                }
                let value = body.text()?;
                match name.as_str() {
                    "user" => user = value,
                    "database" => database = Some(value),
                    _ => options.extend(Some(name).filter(|n| n.starts_with("_pq_."))),
                }
            }
            // As in PostgreSQL, the database defaults to the user's name.
            let database = database.unwrap_or_else(|| user.clone());
            Startup::Session { minor: (code & 0xffff) as u16, options, user, database }
        }
    };
    input.consume(len);
    Ok(Some(startup))
}

/// The type and the body of the next message, once it is complete.
fn complete_message(input: &ReadBuffer) -> Decoded<(u8, &[u8])> {
    let Some(head) = input.rest().first_chunk::<5>() else { return Ok(None) };
    let len = Body(&head[1..]).i32()?;
    match usize::try_from(len) {
        Ok(len) if (4..=MAX_MESSAGE_BYTES).contains(&len) => {
            Ok(input.rest().get(5..=len).map(|body| (head[0], body)))
        }
        _ => malformed(format!("a message of {len} bytes; the most is {MAX_MESSAGE_BYTES}")),
    }
}

/// Decodes the next message of a client's session.
pub fn decode_frontend(input: &mut ReadBuffer) -> Decoded<Frontend> {
    // Rejects an unknown type before its length is checked, since the client may speak another protocol.
    if let Some(kind) = input.rest().first().filter(|k| !b"QXSHPBEDCdcfFp".contains(k)) {
        return malformed(format!("a message of the unknown type {kind:#04x}"));
    }
    if let Some((b'Q', len)) = input.rest().first_chunk::<5>().and_then(|h| Some((h[0], streamed_length(h)?)))
    {
        return Ok(decode_long_query(input, len));
    }
    let Some((kind, bytes)) = complete_message(input)? else { return Ok(None) };
    let mut body = Body(bytes);
    let message = match kind {
        b'Q' => match body.text().and_then(|text| body.end().map(|()| text)) {
            Ok(text) => Frontend::Query(text),
            Err(e) => Frontend::Invalid(e),
        },
        b'X' => Frontend::Terminate,
        b'S' => Frontend::Sync,
        b'H' => Frontend::Flush,
        b'P' | b'B' | b'E' | b'D' | b'C' | b'F' => Frontend::ExtendedQuery,
        _ => return malformed(format!("a message of type {:?}, which nothing asked for", kind as char)),
    };
    let len = 5 + bytes.len();
    input.consume(len);
    Ok(Some(message))
}

/// The length in the head of a message, if a statement of that length is streamed.
fn streamed_length(head: &[u8; 5]) -> Option<usize> {
    let len = usize::try_from(Body(&head[1..]).i32().ok()?).ok()?;
    (MAX_MESSAGE_BYTES + 1..=MAX_STATEMENT_BYTES).contains(&len).then_some(len)
}

/// Decodes the beginning of a statement that there is no memory to hold, so that the rest is streamed. `None` if the next
/// message is no statement, or not enough of it has arrived.
pub fn decode_unbuffered_query(input: &mut ReadBuffer) -> Option<Frontend> {
    let message_bytes = input.message_bytes().filter(|&bytes| bytes <= 1 + MAX_MESSAGE_BYTES)?;
    let is_longer_than_its_head = message_bytes > MESSAGE_HEAD_BYTES + STATEMENT_HEAD_BYTES;
    if input.rest().first() != Some(&b'Q') || !is_longer_than_its_head {
        return None;
    }
    decode_long_query(input, message_bytes - 1)
}

/// Decodes the beginning of a streamed statement, up to the end of a character, once it has arrived.
fn decode_long_query(input: &mut ReadBuffer, len: usize) -> Option<Frontend> {
    let head = input.rest().get(5..5 + STATEMENT_HEAD_BYTES)?;
    let end = match std::str::from_utf8(head) {
        Err(e) if e.error_len().is_none() => e.valid_up_to(),
        _ => head.len(),
    };
    let text = String::from_utf8(head[..end].to_vec());
    input.consume(MESSAGE_HEAD_BYTES + end);
    let remaining = len - 4 - end;
    Some(match text {
        Ok(text) => Frontend::LongQuery(text, remaining),
        Err(_) => Frontend::InvalidLong(Malformed(NOT_UTF_8.into()), remaining),
    })
}

/// Checks the type and the length of a database host's message as far as they have arrived. Guards against waiting for
/// the rest of an answer whose length is wrong: the rest never arrives, and the attempt would run into its timeout.
fn check_backend_head(rest: &[u8]) -> Result<(), Malformed> {
    let Some((&kind, rest)) = rest.split_first() else { return Ok(()) };
    if !b"RSKTDCIEZNAtnv".contains(&kind) {
        return malformed(format!("a message of the unknown type {kind:#04x}"));
    }
    let Some((len, rest)) = rest.split_first_chunk::<4>() else { return Ok(()) };
    let len = i64::from(i32::from_be_bytes(*len));
    let max_len = match kind {
        // Before the value a row of one column has its length, the number of columns and the value's length: 10 bytes.
        b'D' => MAX_VALUE_BYTES + 10,
        b'Z' => 5,
        _ => MAX_NON_ROW_BYTES,
    };
    if !(4..=max_len).contains(&len) {
        return malformed(format!("a message of type {:?} with {len} bytes", kind as char));
    }
    if let (b'D', Some(head)) = (kind, rest.first_chunk::<6>()) {
        let mut head = Body(head);
        let columns = head.i16()?;
        let value_len = i64::from(head.i32()?);
        if columns == 1 && len != 10 + value_len.max(0) {
            return malformed(format!("a row of {len} bytes with a value of {value_len}"));
        }
    }
    Ok(())
}

/// Decodes the head of a row that there is no memory to hold, so that its value is streamed. Returns the value's length;
/// `None` if the next message is no row of one value, or its head has not arrived.
pub fn decode_unbuffered_row(input: &mut ReadBuffer) -> Option<usize> {
    let Some(&[b'D', _, _, _, _, 0, 1, a, b, c, d]) = input.rest().first_chunk::<11>() else { return None };
    let value_bytes = usize::try_from(i32::from_be_bytes([a, b, c, d])).ok()?;
    input.consume(11);
    Some(value_bytes)
}

/// Decodes the next message of a database host.
pub fn decode_backend(input: &mut ReadBuffer) -> Decoded<Backend> {
    check_backend_head(input.rest())?;
    if let Some(&[b'D', _, _, _, _, 0, 1, a, b, c, d]) = input.rest().first_chunk::<11>() {
        let value_len = i32::from_be_bytes([a, b, c, d]);
        if i64::from(value_len) > MAX_BUFFERED_VALUE_BYTES {
            input.consume(11);
            return Ok(Some(Backend::LongRow(value_len as usize)));
        }
    }
    let Some((kind, bytes)) = complete_message(input)? else { return Ok(None) };
    let mut body = Body(bytes);
    let message = match kind {
        b'R' => match body.i32()? {
            0 => Backend::AuthenticationOk,
            other => return malformed(format!("authentication of kind {other} asked for")),
        },
        b'S' => Backend::ParameterStatus { name: body.text()?, value: body.text()? },
        b'T' => {
            let n = body.i16()?;
            Backend::RowDescription((0..n).map(|_| column(&mut body)).collect::<Result<_, _>>()?)
        }
        b'D' => {
            let n = body.i16()?;
            let values = (0..n).map(|_| match usize::try_from(body.i32()?) {
                Ok(len) => Ok(Some(body.take(len)?.to_vec())),
                Err(_) => Ok(None),
            });
            Backend::DataRow(values.collect::<Result<_, Malformed>>()?)
        }
        b'C' => Backend::CommandComplete(body.text()?),
        b'I' => Backend::EmptyQuery,
        b'E' => Backend::Error(error_fields(&mut body)?),
        b'Z' => {
            body.take(1)?;
            Backend::ReadyForQuery
        }
        _ => {
            body = Body(&[]);
            Backend::Ignored
        }
    };
    body.end()?;
    let len = 5 + bytes.len();
    input.consume(len);
    Ok(Some(message))
}

fn column(body: &mut Body) -> Result<Column, Malformed> {
    Ok(Column {
        name: body.text()?,
        table: u32::from_be_bytes(body.array()?),
        attribute: body.i16()?,
        type_oid: u32::from_be_bytes(body.array()?),
        type_len: body.i16()?,
        modifier: body.i32()?,
        format: body.i16()?,
    })
}

fn error_fields(body: &mut Body) -> Result<ErrorFields, Malformed> {
    let mut fields = ErrorFields::default();
    loop {
        match body.take(1)?[0] {
            0 => return Ok(fields),
            b'C' => fields.code = body.text()?,
            b'M' => fields.message = body.text()?,
            b'D' => fields.retry_in_ms = body.text()?.trim().parse().ok(),
            b'V' | b'S' => fields.fatal |= matches!(body.text()?.as_str(), "FATAL" | "PANIC"),
            _ => {
                body.text()?;
            }
        }
    }
}

/// Appends one message: its type, its length, and the body that `write_body` writes.
fn put_message(out: &mut Vec<u8>, kind: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let start = out.len();
    out.extend([0; 4]);
    write_body(out);
    let len = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&len.to_be_bytes());
}

/// Appends a zero-terminated string; a zero byte within the text is left out.
fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|&b| b != 0));
    out.push(0);
}

/// Appends the startup packet of the proxy's session at a database host.
pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let start = out.len();
    out.extend([0; 4]);
    // Protocol version 3.0.
    out.extend(196_608u32.to_be_bytes());
    for text in ["user", user, "database", database] {
        put_text(out, text);
    }
    out.push(0);
    let len = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&len.to_be_bytes());
}

/// Appends a statement of the simple query protocol.
pub fn put_query(out: &mut Vec<u8>, statement: &str) {
    put_message(out, b'Q', |body| put_text(body, statement));
}

/// Appends the message of a statement up to the value of `d`, which becomes `deadline_ms`. Returns the rest of the text,
/// which the caller writes, and `TEXT_END` behind it.
pub fn put_query_head<'s>(out: &mut Vec<u8>, statement: &'s Statement, deadline_ms: u64) -> &'s [u8] {
    let text = statement.text();
    let value = deadline_ms.to_string();
    let (beginning, value, rest) = match statement.deadline_range() {
        Some(range) => (&text[..range.start], value.as_str(), &text[range.end..]),
        None => ("", "", text),
    };
    let text_bytes = beginning.len() + value.len() + rest.len() + 1;
    out.push(b'Q');
    out.extend(((4 + text_bytes) as u32).to_be_bytes());
    out.extend_from_slice(beginning.as_bytes());
    out.extend_from_slice(value.as_bytes());
    rest.as_bytes()
}

/// Appends NegotiateProtocolVersion, the answer to a client with a newer minor version or with protocol options: the
/// proxy speaks 3.0 and supports none of the options.
pub fn put_negotiate_protocol_version(out: &mut Vec<u8>, options: &[String]) {
    put_message(out, b'v', |body| {
        body.extend(0u32.to_be_bytes());
        body.extend((options.len() as u32).to_be_bytes());
        options.iter().for_each(|o| put_text(body, o));
    });
}

/// Appends the messages from AuthenticationOk to the first ReadyForQuery, which open a client's session.
pub fn put_welcome(out: &mut Vec<u8>) {
    put_message(out, b'R', |body| body.extend(0u32.to_be_bytes()));
    let parameters = [
        ("server_version", "16.0 (sillfold)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        put_message(out, b'S', |body| {
            put_text(body, name);
            put_text(body, value);
        });
    }
    put_ready(out, false);
}

/// Appends ReadyForQuery: idle, or in a failed transaction.
pub fn put_ready(out: &mut Vec<u8>, failed: bool) {
    put_message(out, b'Z', |body| body.push(if failed { b'E' } else { b'I' }));
}

/// Appends EmptyQueryResponse.
pub fn put_empty_query(out: &mut Vec<u8>) {
    put_message(out, b'I', |_| {});
}

/// Appends the beginning of a statement, with `deadline_ms` as the client's remaining time; the caller writes the `left` bytes
/// that follow.
pub fn put_long_query(out: &mut Vec<u8>, statement: &Statement, deadline_ms: u64, left: usize) {
    let start = out.len();
    let rest = put_query_head(out, statement, deadline_ms);
    out.extend(rest);
    // The end of the text is among the bytes that follow.
    let length = (out.len() - start - 1 + left) as u32;
    out[start + 1..start + MESSAGE_HEAD_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a result up to the value of its only row; the caller writes the `value_len` bytes of the value that follow.
pub fn put_long_row(out: &mut Vec<u8>, column: &Column, value_len: usize) {
    put_row_description(out, column);
    out.push(b'D');
    out.extend((10 + value_len as u32).to_be_bytes());
    out.extend(1i16.to_be_bytes());
    out.extend((value_len as u32).to_be_bytes());
}

/// Appends CommandComplete.
pub fn put_command_complete(out: &mut Vec<u8>, tag: &str) {
    put_message(out, b'C', |body| put_text(body, tag));
}

/// Appends the RowDescription of a result with one column.
fn put_row_description(out: &mut Vec<u8>, column: &Column) {
    put_message(out, b'T', |body| {
        body.extend(1i16.to_be_bytes());
        put_text(body, &column.name);
        body.extend(column.table.to_be_bytes());
        body.extend(column.attribute.to_be_bytes());
        body.extend(column.type_oid.to_be_bytes());
        body.extend(column.type_len.to_be_bytes());
        body.extend(column.modifier.to_be_bytes());
        body.extend(column.format.to_be_bytes());
    });
}

/// Appends a result of one row: RowDescription, DataRow and CommandComplete.
pub fn put_row(out: &mut Vec<u8>, row: &Row) {
    reserve_in_steps(out, row.held_bytes());
    put_row_description(out, &row.column);
    put_message(out, b'D', |body| {
        body.extend(1i16.to_be_bytes());
        match &row.value {
            Some(value) => {
                body.extend((value.len() as i32).to_be_bytes());
                body.extend(value);
            }
            None => body.extend((-1i32).to_be_bytes()),
        }
    });
    put_command_complete(out, &row.tag);
}

/// Appends ErrorResponse: as the database host sent it, or built from the fields.
pub fn put_error(out: &mut Vec<u8>, fields: &ErrorFields) {
    if !fields.raw.is_empty() {
        return put_message(out, b'E', |body| body.extend(&fields.raw));
    }
    let severity = if fields.fatal { "FATAL" } else { "ERROR" };
    let detail = fields.retry_in_ms.map(|ms| ms.to_string());
    put_message(out, b'E', |body| {
        let required = [(b'S', severity), (b'V', severity), (b'C', &fields.code), (b'M', &fields.message)];
        for (kind, text) in required.into_iter().chain(detail.as_deref().map(|d| (b'D', d))) {
            body.push(kind);
            put_text(body, text);
        }
        body.push(0);
    });
}
