//! Messages of PostgreSQL's wire protocol, version 3, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// One message: its type, and its body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

pub fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

pub fn query(text: impl AsRef<[u8]>) -> Vec<u8> {
    message(b'Q', &[text.as_ref(), b"\0"].concat())
}

pub fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

/// RowDescription, one DataRow of one column, CommandComplete.
pub fn row(value: &[u8], tag: &str) -> Vec<u8> {
    let mut description = 1i16.to_be_bytes().to_vec();
    description.extend(b"payload\0");
    description.extend(0u32.to_be_bytes());
    description.extend(0i16.to_be_bytes());
    description.extend(17u32.to_be_bytes());
    description.extend((-1i16).to_be_bytes());
    description.extend((-1i32).to_be_bytes());
    description.extend(1i16.to_be_bytes());
    let mut data = 1i16.to_be_bytes().to_vec();
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    let mut out = message(b'T', &description);
    out.extend(message(b'D', &data));
    out.extend(message(b'C', format!("{tag}\0").as_bytes()));
    out
}

/// Reads one message; an error at the end of the connection.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=64 << 20).contains(&length) {
        return Err(io::Error::other("a length that cannot be"));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// The SQLSTATE of an ErrorResponse.
pub fn error_code(body: &[u8]) -> String {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
    field.map_or(String::new(), |f| String::from_utf8_lossy(&f[1..]).into_owned())
}

/// The value of a DataRow of one column.
pub fn value(body: &[u8]) -> Option<&[u8]> {
    body.get(6..)
}

/// Opens a client's session: writes the startup message and reads up to ReadyForQuery.
pub fn open_session(stream: &mut TcpStream, database: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut body = 196_608u32.to_be_bytes().to_vec();
    body.extend(format!("user\0web\0database\0{database}\0\0").bytes());
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend(body);
    stream.write_all(&out)?;
    loop {
        match read_message(stream)? {
            (b'Z', _) => return Ok(()),
            (b'E', body) => return Err(io::Error::other(format!("refused: {}", error_code(&body)))),
            _ => {}
        }
    }
}

/// How a request was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The value, and the command's tag.
    Served(Vec<u8>),
    /// An ErrorResponse with this code.
    Error(String),
}

impl Answer {
    pub fn is_refusal(&self) -> bool {
        matches!(self, Answer::Error(code) if code == "53300" || code == "57P03")
    }
}

/// Reads one answer, up to ReadyForQuery, or up to the error after which the connection ends. The end of the connection
/// before any answer is an error.
pub fn read_answer(stream: &mut impl Read) -> io::Result<Answer> {
    let (mut served, mut answer) = (None, None);
    loop {
        match read_message(stream) {
            Ok((b'D', body)) => served = value(&body).map(<[u8]>::to_vec),
            Ok((b'C', _)) => answer = Some(Answer::Served(served.take().unwrap_or_default())),
            Ok((b'E', body)) => answer = Some(Answer::Error(error_code(&body))),
            Ok((b'I', _)) => answer = Some(Answer::Served(Vec::new())),
            Ok((b'Z', _)) => return answer.ok_or_else(|| io::Error::other("ready without an answer")),
            Ok(_) => {}
            // After a fatal error no ReadyForQuery is needed.
            Err(e) => return answer.ok_or(e),
        }
    }
}
