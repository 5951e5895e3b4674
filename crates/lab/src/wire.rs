//! PostgreSQL's messages, as far as stand-ins need them: version 3 of the protocol, without encryption. It is
//! written apart from the proxy's own codec, so that a mistake there is not made twice.

use std::io::{self, Read};

/// One message: its type, its length and its body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let len = (body.len() as u32 + 4).to_be_bytes();
    [&[kind], &len[..], body].concat()
}

/// Reads one message whole; no longer than 256 MB.
pub fn read_message(s: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    s.read_exact(&mut head)?;
    let len = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=256 << 20).contains(&len) {
        return Err(io::Error::other(format!("a message of {len} bytes")));
    }
    let mut body = vec![0; len - 4];
    s.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// A startup message.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let mut body = 196_608u32.to_be_bytes().to_vec();
    for text in ["user", user, "database", database] {
        body.extend(text.bytes().chain([0]));
    }
    body.push(0);
    [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat()
}

/// The description of columns of text.
pub fn row_description(columns: &[&str]) -> Vec<u8> {
    let mut body = (columns.len() as i16).to_be_bytes().to_vec();
    for name in columns {
        body.extend(name.bytes().chain([0]));
        // No table; the type text, of variable length, in text format.
        body.extend([0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0]);
    }
    message(b'T', &body)
}

/// A row; nothing stands for NULL.
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

/// The end of a command.
pub fn command_complete(tag: &str) -> Vec<u8> {
    message(b'C', &[tag.as_bytes(), b"\0"].concat())
}

/// A setting or a note.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"].concat())
}

/// An error with its fields, as PostgreSQL words them.
pub fn error_response(code: &str, text: &str) -> Vec<u8> {
    let fields =
        [("S", "ERROR"), ("V", "ERROR"), ("C", code), ("M", text), ("H", "a hint of the stand-in's")];
    let mut body: Vec<u8> =
        fields.iter().flat_map(|(k, v)| [k.as_bytes(), v.as_bytes(), b"\0"].concat()).collect();
    body.push(0);
    message(b'E', &body)
}

/// The session is ready for the next query.
pub fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}
