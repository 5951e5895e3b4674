//! The messages of PostgreSQL's protocol that the stand-ins need: version 3, without encryption. This module must share no
//! code with the proxy's codec, so that a fault there is not repeated here.

use std::io::{self, Read};

/// Encodes a message: its type, its length and its body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[kind], &length[..], body].concat()
}

/// Longest message that is read, with its length field.
const MAX_MESSAGE_BYTES: usize = 256 << 20;

/// Reads one complete message; an error if it is longer than `MAX_MESSAGE_BYTES`.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(io::Error::other(format!("a message with a length of {length} bytes")));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Encodes a StartupMessage.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    for text in ["user", user, "database", database] {
        body.extend(text.bytes().chain([0]));
    }
    body.push(0);
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

/// Encodes a RowDescription whose columns all have the type text.
pub fn row_description(columns: &[&str]) -> Vec<u8> {
    let mut body = (columns.len() as i16).to_be_bytes().to_vec();
    for name in columns {
        body.extend(name.bytes().chain([0]));
        // No table and no attribute; type text (OID 25), variable length, no modifier, text format.
        body.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0]);
    }
    message(b'T', &body)
}

/// Encodes a DataRow; `None` is NULL.
pub fn data_row(values: &[Option<&str>]) -> Vec<u8> {
    let mut body = (values.len() as i16).to_be_bytes().to_vec();
    for value in values {
        match value {
            Some(v) => {
                body.extend((v.len() as i32).to_be_bytes());
                body.extend(v.as_bytes());
            }
            None => body.extend((-1i32).to_be_bytes()),
        }
    }
    message(b'D', &body)
}

/// Encodes a CommandComplete.
pub fn command_complete(tag: &str) -> Vec<u8> {
    message(b'C', &[tag.as_bytes(), b"\0"].concat())
}

/// Encodes a ParameterStatus.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat())
}

/// Encodes an ErrorResponse with the fields that PostgreSQL sends.
pub fn error_response(code: &str, text: &str) -> Vec<u8> {
    let fields =
        [("S", "ERROR"), ("V", "ERROR"), ("C", code), ("M", text), ("H", "a hint of the stand-in's")];
    let mut body: Vec<u8> = fields
        .iter()
        .flat_map(|(letter, value)| [letter.as_bytes(), value.as_bytes(), b"\0"].concat())
        .collect();
    body.push(0);
    message(b'E', &body)
}

/// Encodes a ReadyForQuery outside a transaction.
pub fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}
