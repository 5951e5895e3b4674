//! PostgreSQL's wire protocol, version 3: messages as small typed values, each decoded once and
//! encoded once. It owns the layout of messages, the limits on their length and the bytes that are
//! not decoded yet. It must never do I/O, and never decide what an answer means for a request.

use std::borrow::Cow;

/// The longest message that is taken whole: a value of 64 KiB as hexadecimal text, with room around it.
pub const MAX_MESSAGE_BYTES: usize = 160 * 1024;
/// The longest value; in a row beyond the first length, it is passed on in pieces.
const MOST_VALUE: i64 = 4 << 20;
const WHOLE_VALUE: i64 = 64 << 10;
/// The longest statement, with the longest value as hexadecimal text. Beyond `MAX_MESSAGE_BYTES` it is passed on
/// in pieces; what names class, group and key stands in its first bytes, so many.
const MOST_STATEMENT: usize = 2 * MOST_VALUE as usize + MAX_MESSAGE_BYTES;
const HEAD_BYTES: usize = 4 * 1024;
/// The longest message of a database host that holds no row.
const MOST_OTHER: i64 = 16 * 1024;
/// An read_buffer that has been emptied keeps this much of its memory.
const KEPT_BYTES: usize = 4 * 1024;
/// The longest startup packet accepted, as in PostgreSQL itself.
const MOST_STARTUP: usize = 10_000;

/// SQLSTATE codes that this program reads or writes.
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

    /// Whether a code says that the statement itself was wrong: not read, not supported, bad data,
    /// bad syntax or names.
    pub fn is_statement_error(code: &str) -> bool {
        code == PROTOCOL_VIOLATION || ["0A", "22", "42"].iter().any(|class| code.starts_with(class))
    }
}

/// What an error that comes before any result means for a plain statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainError {
    /// The host turned it away untouched: not the primary, or too far behind.
    Unsuitable,
    /// The host is full.
    Overloaded,
    /// The host failed; it may have run.
    Failed,
    /// The statement's own answer, whichever host is asked.
    Answer,
}

/// Reads an error's code, as PostgreSQL's appendix on error codes has them.
pub fn classify_plain_error(code: &str, writes: bool) -> PlainError {
    match code {
        code::READ_ONLY | code::SNAPSHOT_TOO_OLD => PlainError::Unsuitable,
        code::TOO_MANY_CONNECTIONS => PlainError::Overloaded,
        // A replica cancels a read that is in the way of the log; elsewhere it may succeed.
        "40001" | "40P01" if !writes => PlainError::Failed,
        "57P01" | "57P02" | "57P03" | "57P05" => PlainError::Failed,
        _ if ["08", "53", "58", "XX"].iter().any(|class| code.starts_with(class)) => PlainError::Failed,
        _ => PlainError::Answer,
    }
}

/// Bytes that are no message; the text says why.
#[derive(Debug, PartialEq)]
pub struct Malformed(pub String);

type Decoded<T> = Result<Option<T>, Malformed>;

fn bad<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}

/// Bytes of a connection that have come and are not decoded yet.
#[derive(Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    /// How much of them is decoded already. Guards against moving the rest once for every message,
    /// where hundreds come at once.
    taken: usize,
}

impl ReadBuffer {
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.taken);
        self.taken = 0;
        self.bytes.extend_from_slice(bytes);
    }
    pub fn len(&self) -> usize {
        self.bytes.len() - self.taken
    }
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Moves bytes that are not decoded, as they are, to the end of `out`, so many at most.
    pub fn move_to(&mut self, out: &mut Vec<u8>, most: usize) -> usize {
        let n = self.len().min(most);
        out.extend_from_slice(&self.rest()[..n]);
        self.take(n);
        n
    }
    /// Drops bytes that are not decoded, so many at most.
    pub fn discard(&mut self, most: usize) -> usize {
        let n = self.len().min(most);
        self.take(n);
        n
    }
    /// The memory that it holds.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }
    pub fn clear(&mut self) {
        self.take(self.len());
    }
    fn rest(&self) -> &[u8] {
        &self.bytes[self.taken..]
    }
    /// Marks bytes as decoded. Once all are, a large buffer is given back: guards against every
    /// connection keeping the memory of the longest message that it ever saw.
    fn take(&mut self, n: usize) {
        self.taken += n;
        if self.is_empty() {
            self.taken = 0;
            self.bytes.clear();
            self.bytes.shrink_to(KEPT_BYTES);
        }
    }
}

/// What a client may say before its session begins.
#[derive(Debug, PartialEq)]
pub enum Startup {
    /// Wants encryption first: TLS or GSSAPI.
    Encryption,
    /// Asks for another session's query to be cancelled.
    Cancel,
    /// Opens the session; the minor version may be newer than ours.
    Session { minor: u16, options: Vec<String>, user: String, database: String },
}

/// What a client may say in its session.
#[derive(Debug, PartialEq)]
pub enum Frontend {
    Query(String),
    /// The beginning of a long statement, and how many bytes of its message are still to come.
    LongQuery(String, usize),
    /// A whole message whose contents make no sense; the stream goes on behind it.
    Invalid(Malformed),
    Terminate,
    Sync,
    Flush,
    /// A message of the extended query protocol.
    ExtendedQuery,
}

/// What a database host may say.
#[derive(Debug, PartialEq)]
pub enum Backend {
    AuthenticationOk,
    ParameterStatus {
        name: String,
        value: String,
    },
    RowDescription(Vec<Column>),
    DataRow(Vec<Option<Vec<u8>>>),
    /// A row of one column whose value, so long, is still to come.
    LongRow(usize),
    CommandComplete(String),
    EmptyQuery,
    Error(ErrorFields),
    ReadyForQuery,
    /// Notices and the like, which change nothing here.
    Ignored,
}

/// The description of a column.
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

/// The fields of an ErrorResponse that matter here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ErrorFields {
    pub code: String,
    pub message: String,
    /// In milliseconds: when to come again.
    pub retry_in_ms: Option<u64>,
    pub fatal: bool,
    /// The body of the message as a database host wrote it, to be passed on; empty where this side speaks.
    pub raw: Vec<u8>,
}

/// A result of one row of one column, and the tag of the command that gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub column: Column,
    pub value: Option<Vec<u8>>,
    pub tag: String,
}

/// The longest message of an answer to a plain statement, by what it is: a row, and what describes or ends.
const MOST_ROW: usize = 1 << 30;
const MOST_PART: usize = 1 << 20;
/// The longest that is taken whole, since this side reads it.
const MOST_NOTE: usize = 64 * 1024;

/// The answer to a plain statement on its way through. Its messages are told apart by their heads; what is in
/// them is passed on as it comes, so that no row is ever held whole.
#[derive(Default)]
pub struct AnswerForwarder {
    /// Bytes of the present message that are still to come.
    left: usize,
    /// A result has begun.
    begun: bool,
    /// Columns of the rows of the present result.
    columns: Option<i16>,
}

/// One step of an answer on its way through.
#[derive(Debug, PartialEq)]
pub enum ForwardStep {
    /// Something was passed on.
    Forwarded,
    /// Nothing more is here.
    NeedsInput,
    /// A note of the host's.
    ParameterStatus { name: String, value: String },
    /// An error before any result.
    Error(ErrorFields),
    /// The end; false if the session has kept something open.
    Ready(bool),
}

impl AnswerForwarder {
    /// Whether a result has begun, so that an error is a part of the answer.
    pub fn started(&self) -> bool {
        self.begun
    }

    /// Takes the next part off the front; what the client is to have goes to the end of `out`.
    pub fn forward(&mut self, input: &mut ReadBuffer, out: &mut Vec<u8>) -> Result<ForwardStep, Malformed> {
        if self.left > 0 {
            let n = input.move_to(out, self.left);
            self.left -= n;
            return Ok(if n > 0 { ForwardStep::Forwarded } else { ForwardStep::NeedsInput });
        }
        let Some(&[kind, a, b, c, d]) = input.rest().first_chunk::<5>() else {
            // An unknown type is told before its length is waited for.
            return match input.rest().first() {
                Some(kind) if !b"RSKTDCIEZNAtnv".contains(kind) => {
                    bad(format!("a message of the unknown type {kind:#04x}"))
                }
                _ => Ok(ForwardStep::NeedsInput),
            };
        };
        let len = usize::try_from(i32::from_be_bytes([a, b, c, d])).unwrap_or(0);
        let most = match kind {
            b'D' => MOST_ROW,
            // Read here, and so taken whole.
            b'E' if !self.begun => MOST_NOTE,
            b'T' | b'C' | b'I' | b'N' | b'E' => MOST_PART,
            b'S' | b'A' => MOST_NOTE,
            b'Z' => 5,
            _ => return bad(format!("a message of type {:?} in an answer", kind as char)),
        };
        if !(4..=most).contains(&len) {
            return bad(format!("a message of type {:?} with {len} bytes", kind as char));
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
                    return bad(format!("a row of {columns} columns where there are {:?}", self.columns));
                }
            }
            b'S' | b'A' | b'Z' => return self.own(input, kind, len),
            b'E' if !self.begun => return self.own(input, kind, len),
            b'C' | b'I' | b'E' => self.columns = None,
            _ => {}
        }
        self.begun |= kind != b'N';
        self.left = 1 + len;
        self.forward(input, out)
    }

    /// A message that this side reads itself.
    fn own(&mut self, input: &mut ReadBuffer, kind: u8, len: usize) -> Result<ForwardStep, Malformed> {
        let Some(bytes) = input.rest().get(5..=len) else { return Ok(ForwardStep::NeedsInput) };
        let mut body = Body(bytes);
        let passed = match kind {
            b'S' => ForwardStep::ParameterStatus { name: body.text()?, value: body.text()? },
            b'E' => ForwardStep::Error(ErrorFields { raw: bytes.to_vec(), ..error_fields(&mut body)? }),
            b'Z' => ForwardStep::Ready(body.take(1)? == b"I"),
            // A notification, which nobody here listens for.
            _ => ForwardStep::Forwarded,
        };
        input.take(1 + len);
        Ok(passed)
    }
}

/// Walks over the body of one message.
struct Body<'a>(&'a [u8]);

impl<'a> Body<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        match self.0.split_at_checked(n) {
            Some((head, rest)) => {
                self.0 = rest;
                Ok(head)
            }
            None => bad("a message ends inside a field"),
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
    fn text(&mut self) -> Result<String, Malformed> {
        let Some(end) = self.0.iter().position(|&b| b == 0) else { return bad("a text is not ended") };
        let text = self.take(end)?;
        self.take(1)?;
        String::from_utf8(text.to_vec()).or_else(|_| bad("a text is not UTF-8"))
    }
    fn end(&self) -> Result<(), Malformed> {
        if self.0.is_empty() { Ok(()) } else { bad("a message is longer than its fields") }
    }
}

/// Takes one startup packet off the front, once it is whole.
pub fn decode_startup(input: &mut ReadBuffer) -> Decoded<Startup> {
    let Some(head) = input.rest().first_chunk::<8>() else { return Ok(None) };
    let (len, version) = head.split_at(4);
    let len = Body(len).i32()?;
    let code = Body(version).i32()?;
    let Ok(len) = usize::try_from(len) else { return bad("a startup packet of negative length") };
    if !(8..=MOST_STARTUP).contains(&len) {
        return bad(format!("a startup packet of {len} bytes"));
    }
    // Told before the rest is waited for: this may be another protocol.
    if code >> 16 != 3 && !(80_877_102..=80_877_104).contains(&code) {
        return bad(format!("protocol version {}.{}, this is 3.0", code >> 16, code & 0xffff));
    }
    let Some(packet) = input.rest().get(8..len) else { return Ok(None) };
    let mut body = Body(packet);
    let startup = match code {
        80_877_102 => Startup::Cancel,
        80_877_103 | 80_877_104 => Startup::Encryption,
        _ => {
            let (mut options, mut user, mut database) = (Vec::new(), String::new(), None);
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
            // As in PostgreSQL, who names no database means the one of its own name.
            let database = database.unwrap_or_else(|| user.clone());
            Startup::Session { minor: (code & 0xffff) as u16, options, user, database }
        }
    };
    input.take(len);
    Ok(Some(startup))
}

/// Finds the message at the front, once it is whole: its type and its body.
fn whole_message(input: &ReadBuffer) -> Decoded<(u8, &[u8])> {
    let Some(head) = input.rest().first_chunk::<5>() else { return Ok(None) };
    let len = Body(&head[1..]).i32()?;
    match usize::try_from(len) {
        Ok(len) if (4..=MAX_MESSAGE_BYTES).contains(&len) => {
            Ok(input.rest().get(5..=len).map(|body| (head[0], body)))
        }
        _ => bad(format!("a message of {len} bytes; the most is {MAX_MESSAGE_BYTES}")),
    }
}

/// Takes one message of a client's session.
pub fn decode_frontend(input: &mut ReadBuffer) -> Decoded<Frontend> {
    // An unknown type is told before its length is believed: this may be another protocol.
    if let Some(kind) = input.rest().first().filter(|k| !b"QXSHPBEDCdcfFp".contains(k)) {
        return bad(format!("a message of the unknown type {kind:#04x}"));
    }
    if let Some((b'Q', len)) = input.rest().first_chunk::<5>().and_then(|h| Some((h[0], long(h)?))) {
        return Ok(long_query(input, len));
    }
    let Some((kind, bytes)) = whole_message(input)? else { return Ok(None) };
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
        _ => return bad(format!("a message of type {:?}, which nothing asked for", kind as char)),
    };
    let len = 5 + bytes.len();
    input.take(len);
    Ok(Some(message))
}

/// The length of a statement that is too long to be taken whole, and not too long to be passed on.
fn long(head: &[u8; 5]) -> Option<usize> {
    let len = usize::try_from(Body(&head[1..]).i32().ok()?).ok()?;
    (MAX_MESSAGE_BYTES + 1..=MOST_STATEMENT).contains(&len).then_some(len)
}

/// Takes the beginning of a long statement, up to a whole character.
fn long_query(input: &mut ReadBuffer, len: usize) -> Option<Frontend> {
    let head = input.rest().get(5..5 + HEAD_BYTES)?;
    let end = match std::str::from_utf8(head) {
        Err(e) if e.error_len().is_none() => e.valid_up_to(),
        _ => head.len(),
    };
    let text = String::from_utf8_lossy(&head[..end]).into_owned();
    input.take(5 + end);
    Some(Frontend::LongQuery(text, len - 4 - end))
}

/// Whether the head of a host's message can be that of one. Guards against waiting for the rest of
/// an answer whose length is wrong: it never comes, and the attempt would take all of its time.
fn check_backend_head(rest: &[u8]) -> Result<(), Malformed> {
    let Some((&kind, rest)) = rest.split_first() else { return Ok(()) };
    if !b"RSKTDCIEZNAtnv".contains(&kind) {
        return bad(format!("a message of the unknown type {kind:#04x}"));
    }
    let Some((len, rest)) = rest.split_first_chunk::<4>() else { return Ok(()) };
    let len = i64::from(i32::from_be_bytes(*len));
    let most = match kind {
        b'D' => MOST_VALUE + 10,
        b'Z' => 5,
        _ => MOST_OTHER,
    };
    if !(4..=most).contains(&len) {
        return bad(format!("a message of type {:?} with {len} bytes", kind as char));
    }
    if let (b'D', Some(head)) = (kind, rest.first_chunk::<6>()) {
        let mut head = Body(head);
        let (columns, value) = (head.i16()?, i64::from(head.i32()?));
        if columns == 1 && len != 10 + value.max(0) {
            return bad(format!("a row of {len} bytes with a value of {value}"));
        }
    }
    Ok(())
}

/// Takes one message of a database host.
pub fn decode_backend(input: &mut ReadBuffer) -> Decoded<Backend> {
    check_backend_head(input.rest())?;
    if let Some(&[b'D', _, _, _, _, 0, 1, a, b, c, d]) = input.rest().first_chunk::<11>() {
        let value = i32::from_be_bytes([a, b, c, d]);
        if i64::from(value) > WHOLE_VALUE {
            input.take(11);
            return Ok(Some(Backend::LongRow(value as usize)));
        }
    }
    let Some((kind, bytes)) = whole_message(input)? else { return Ok(None) };
    let mut body = Body(bytes);
    let message = match kind {
        b'R' => match body.i32()? {
            0 => Backend::AuthenticationOk,
            other => return bad(format!("authentication of kind {other} asked for")),
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
    input.take(len);
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

/// Appends one message: its type, and what `fill` writes as its body.
fn message(out: &mut Vec<u8>, kind: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let start = out.len();
    out.extend([0; 4]);
    fill(out);
    let len = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&len.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|&b| b != 0));
    out.push(0);
}

/// The startup packet of our own sessions at database hosts.
pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let start = out.len();
    out.extend([0; 4]);
    out.extend(196_608u32.to_be_bytes());
    for text in ["user", user, "database", database] {
        put_text(out, text);
    }
    out.push(0);
    let len = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&len.to_be_bytes());
}

pub fn put_query(out: &mut Vec<u8>, statement: &str) {
    message(out, b'Q', |b| put_text(b, statement));
}

/// Tells a client with a newer minor version, or with options of it, what this side speaks.
pub fn put_negotiate_protocol_version(out: &mut Vec<u8>, options: &[String]) {
    message(out, b'v', |b| {
        b.extend(0u32.to_be_bytes());
        b.extend((options.len() as u32).to_be_bytes());
        options.iter().for_each(|o| put_text(b, o));
    });
}

/// All that welcomes a client, up to the first ReadyForQuery.
pub fn put_welcome(out: &mut Vec<u8>) {
    message(out, b'R', |b| b.extend(0u32.to_be_bytes()));
    let parameters = [
        ("server_version", "16.0 (sillfold)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        message(out, b'S', |b| {
            put_text(b, name);
            put_text(b, value);
        });
    }
    put_ready(out, false);
}

/// The session is ready for the next query, maybe in a transaction that has failed.
pub fn put_ready(out: &mut Vec<u8>, failed: bool) {
    message(out, b'Z', |b| b.push(if failed { b'E' } else { b'I' }));
}

pub fn put_empty_query(out: &mut Vec<u8>) {
    message(out, b'I', |_| {});
}

/// The beginning of a statement of which so many bytes follow as they are.
pub fn put_long_query(out: &mut Vec<u8>, beginning: &str, left: usize) {
    out.push(b'Q');
    out.extend(((4 + beginning.len() + left) as u32).to_be_bytes());
    out.extend(beginning.as_bytes());
}

/// All of a served row up to its value, of which so many bytes follow as they are.
pub fn put_long_row(out: &mut Vec<u8>, column: &Column, value: usize) {
    put_description(out, column);
    out.push(b'D');
    out.extend((10 + value as u32).to_be_bytes());
    out.extend(1i16.to_be_bytes());
    out.extend((value as u32).to_be_bytes());
}

pub fn put_command_complete(out: &mut Vec<u8>, tag: &str) {
    message(out, b'C', |b| put_text(b, tag));
}

fn put_description(out: &mut Vec<u8>, c: &Column) {
    message(out, b'T', |b| {
        b.extend(1i16.to_be_bytes());
        put_text(b, &c.name);
        b.extend(c.table.to_be_bytes());
        b.extend(c.attribute.to_be_bytes());
        b.extend(c.type_oid.to_be_bytes());
        b.extend(c.type_len.to_be_bytes());
        b.extend(c.modifier.to_be_bytes());
        b.extend(c.format.to_be_bytes());
    });
}

/// A served value: RowDescription, DataRow and CommandComplete.
pub fn put_row(out: &mut Vec<u8>, row: &Row) {
    put_description(out, &row.column);
    message(out, b'D', |b| {
        b.extend(1i16.to_be_bytes());
        match &row.value {
            Some(value) => {
                b.extend((value.len() as i32).to_be_bytes());
                b.extend(value);
            }
            None => b.extend((-1i32).to_be_bytes()),
        }
    });
    put_command_complete(out, &row.tag);
}

pub fn put_error(out: &mut Vec<u8>, fields: &ErrorFields) {
    if !fields.raw.is_empty() {
        return message(out, b'E', |b| b.extend(&fields.raw));
    }
    let severity = if fields.fatal { "FATAL" } else { "ERROR" };
    let detail = fields.retry_in_ms.map(|ms| ms.to_string());
    message(out, b'E', |b| {
        let texts = [(b'S', severity), (b'V', severity), (b'C', &fields.code), (b'M', &fields.message)];
        for (field, text) in texts.into_iter().chain(detail.as_deref().map(|d| (b'D', d))) {
            b.push(field);
            put_text(b, text);
        }
        b.push(0);
    });
}

/// What a statement's leading comment says, and the statement itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    text: String,
    /// Where the figure of `d` stands in the text; nowhere in a plain statement.
    d_at: Option<std::ops::Range<usize>>,
    /// Whether the comment names a key by which repeats are dropped.
    pub keyed: bool,
    pub id: String,
    pub class: String,
    pub deadline_ms: u64,
    pub group: u32,
    /// Unix milliseconds that the read must see, where the session carries its last commit.
    pub after_ms: Option<u64>,
    /// The client marks it as a repeat of its own.
    pub client_retry: bool,
    /// Whose it is, where the comment says so.
    pub tenant: Option<String>,
}

impl Statement {
    /// Reads the comment; the error says what is wrong with it.
    pub fn parse(text: String) -> Result<Statement, String> {
        let lead = text.len() - text.trim_start().len();
        let open = text[lead..].strip_prefix("/*").ok_or("no comment leads the statement")?;
        let end = open.find("*/").ok_or("the comment is not closed")?;
        let (mut id, mut class, mut patience, mut group, mut after) = (None, None, None, None, None);
        let (mut keyed, mut client_retry, mut tenant) = (false, false, None);
        let mut at = lead + 2;
        for part in open[..end].split(',') {
            let (name, value) = part.split_once('=').ok_or(format!("the comment holds {part:?}"))?;
            let start = at + part.len() - value.len();
            let value = value.trim_end();
            let number =
                || value.parse::<u64>().map_err(|_| format!("{}={value:?} is no number", name.trim()));
            match name.trim() {
                // Guards against a second id that only one of proxy and host would go by.
                "id" if id.is_some() => return Err("the comment has two ids".into()),
                "id" => id = Some(value.to_string()).filter(|id| !id.is_empty()),
                "c" => class = Some(value.to_string()),
                "d" => patience = Some((number()?, start..start + value.len())),
                "cluster" => {
                    let n = number()?;
                    group = Some(u32::try_from(n).map_err(|_| format!("cluster={n} is no group"))?);
                }
                "after" => after = Some(number()?),
                "k" => keyed = !value.is_empty(),
                "r" => client_retry = value == "1",
                "t" => tenant = Some(value.to_string()),
                _ => {}
            }
            at += part.len() + 1;
        }
        let (deadline_ms, d_at) = patience.ok_or("the comment has no d")?;
        Ok(Statement {
            id: id.ok_or("the comment has no id")?,
            class: class.ok_or("the comment has no c")?,
            group: group.ok_or("the comment has no cluster")?,
            deadline_ms,
            after_ms: after,
            d_at: Some(d_at),
            keyed,
            client_retry,
            tenant,
            text,
        })
    }

    /// A statement whose terms were found otherwise.
    pub fn plain(text: String, deadline_ms: u64, group: u32) -> Statement {
        let (id, class) = Default::default();
        let (keyed, client_retry) = (false, false);
        Statement {
            text,
            d_at: None,
            keyed,
            id,
            class,
            deadline_ms,
            group,
            after_ms: None,
            client_retry,
            tenant: None,
        }
    }

    /// Whether no comment names its terms.
    pub fn is_plain(&self) -> bool {
        self.d_at.is_none()
    }

    /// Whether a text begins with a comment that is meant to name terms, right or wrong. Guards against a request
    /// with a fault in its comment being taken for a plain statement, and losing its terms.
    pub fn has_request_comment(text: &str) -> bool {
        let Some(comment) = text.trim_start().strip_prefix("/*") else { return false };
        let comment = comment.split("*/").next().unwrap_or("");
        let names: Vec<&str> = comment.split(',').filter_map(|p| Some(p.split_once('=')?.0.trim())).collect();
        ["id", "c", "d", "cluster"].iter().filter(|n| names.contains(n)).count() >= 2
    }

    /// The text as the client wrote it.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The text with `d` set to what the proxy itself will wait; all else unchanged.
    pub fn with_deadline(&self, ms: u64) -> Cow<'_, str> {
        match &self.d_at {
            Some(at) => format!("{}{ms}{}", &self.text[..at.start], &self.text[at.end..]).into(),
            None => Cow::Borrowed(&self.text),
        }
    }

    /// The first quoted literal, which names the session.
    pub fn session_key(&self) -> &str {
        let from = self.d_at.as_ref().map_or(0, |at| at.end);
        self.text[from..].split('\'').nth(1).unwrap_or("")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a first ask that makes way as a repeat does, or the other way round.
    #[test]
    fn a_repeat_is_what_the_client_marks_as_one() {
        let client_retry = |mark: &str| {
            let text = format!("/* id=1,c=browse,d=9{mark},cluster=3 */ SELECT 1");
            Statement::parse(text).map(|s| s.client_retry)
        };
        assert_eq!(
            ["", ",r=1", ",r=1 ", ",r=0", ",r=", ",rr=1"].map(client_retry),
            [false, true, true, false, false, false].map(Ok)
        );
    }
}
