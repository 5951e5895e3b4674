//! A blocking client that sends queries and reads complete answers. It shares no code with the proxy's codec, so that a
//! fault there does not go unnoticed here.

use crate::wire;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for bytes from the server; longer than any answer of a correct proxy takes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The complete answer to a query, up to ReadyForQuery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The rows of each result, as text.
    pub results: Vec<Vec<Vec<Option<String>>>>,
    /// The column names of each result that has columns.
    pub columns: Vec<Vec<String>>,
    /// The tags of all CommandComplete messages.
    pub tags: Vec<String>,
    /// The fields of the ErrorResponse, as pairs of the field's letter and its text; empty if there was none.
    pub error: Vec<(char, String)>,
    /// Whether EmptyQueryResponse was received.
    pub empty: bool,
    /// Whether the session is in a failed transaction.
    pub in_failed_transaction: bool,
}

impl Answer {
    /// A field of the error: `C` the SQLSTATE, `M` the message, `D` the detail, which holds the time to retry after.
    pub fn field(&self, letter: char) -> &str {
        self.error.iter().find(|f| f.0 == letter).map_or("", |f| &f.1)
    }
    /// The SQLSTATE of the error; empty if there was none.
    pub fn code(&self) -> &str {
        self.field('C')
    }
    /// The first value of the first row, where the answer has exactly one result.
    pub fn value(&self) -> Option<&str> {
        match self.results.as_slice() {
            [rows] => rows.first()?.first()?.as_deref(),
            _ => None,
        }
    }
}

/// A client with an open session.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Connects and opens a session for `user` in `database`.
    pub fn connect(address: SocketAddr, user: &str, database: &str) -> io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(&wire::startup(user, database))?;
        let mut client = Client { stream };
        client.answer()?;
        Ok(client)
    }

    /// Sends a query and reads the complete answer.
    pub fn query(&mut self, text: &str) -> io::Result<Answer> {
        self.send(text)?;
        self.answer()
    }

    /// Sends a query without reading its answer.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.send_bytes(text.as_bytes())
    }

    /// Sends a query that may hold bytes other than UTF-8, without reading its answer.
    pub fn send_bytes(&mut self, text: &[u8]) -> io::Result<()> {
        self.stream.write_all(&wire::message(b'Q', &[text, b"\0"].concat()))
    }

    /// Reads `count` bytes without decoding them.
    pub fn read_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    /// Reads up to ReadyForQuery.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let mut answer = Answer::default();
        loop {
            let (kind, body) = wire::read_message(&mut self.stream)?;
            let texts = || body.split(|&b| b == 0).map(|t| String::from_utf8_lossy(t).into_owned());
            match kind {
                b'Z' => {
                    answer.in_failed_transaction = body == b"E";
                    return Ok(answer);
                }
                b'T' => {
                    answer.columns.push(column_names(&body));
                    answer.results.push(Vec::new());
                }
                b'D' => {
                    let rows = answer
                        .results
                        .last_mut()
                        .ok_or_else(|| io::Error::other("DataRow without a RowDescription"))?;
                    rows.push(
                        row_values(&body)
                            .ok_or_else(|| io::Error::other("DataRow ends before its values"))?,
                    );
                }
                b'C' => answer.tags.extend(texts().next()),
                b'I' => answer.empty = true,
                b'E' => {
                    let fields = texts().filter_map(|t| Some((t.chars().next()?, t.get(1..)?.to_string())));
                    answer.error = fields.collect();
                }
                _ => {}
            }
        }
    }
}

/// The column names of a RowDescription.
fn column_names(body: &[u8]) -> Vec<String> {
    /// Bytes of a field's description behind its name, with the byte that ends the name.
    const BYTES_BEHIND_NAME: usize = 19;
    let mut names = Vec::new();
    let mut rest = body.get(2..).unwrap_or(&[]);
    while let Some(end) = rest.iter().position(|&b| b == 0) {
        names.push(String::from_utf8_lossy(&rest[..end]).into_owned());
        rest = rest.get(end + BYTES_BEHIND_NAME..).unwrap_or(&[]);
    }
    names
}

/// The values of a DataRow, where `None` is NULL; nothing if the message ends early.
fn row_values(body: &[u8]) -> Option<Vec<Option<String>>> {
    let count = i16::from_be_bytes(*body.first_chunk()?);
    let mut rest = body.get(2..)?;
    let mut values = Vec::new();
    for _ in 0..count {
        let length = i32::from_be_bytes(*rest.first_chunk()?);
        rest = rest.get(4..)?;
        values.push(match usize::try_from(length) {
            Ok(length) => {
                let value = rest.get(..length)?;
                rest = rest.get(length..)?;
                Some(String::from_utf8_lossy(value).into_owned())
            }
            Err(_) => None,
        });
    }
    Some(values)
}
