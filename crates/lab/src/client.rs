//! A client that asks and reads whole answers, written apart from the proxy's codec.

use crate::wire;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(20);

/// All that came back up to ReadyForQuery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The rows of each result, as text.
    pub results: Vec<Vec<Vec<Option<String>>>>,
    /// Names of the columns of each result that has some.
    pub columns: Vec<Vec<String>>,
    /// Tags of commands.
    pub tags: Vec<String>,
    /// The fields of the error, if there was one, by their letters.
    pub error: Vec<(char, String)>,
    /// An empty query was answered.
    pub empty: bool,
    /// The session stands in a transaction that has failed.
    pub failed: bool,
}

impl Answer {
    /// A field of the error: `C` its code, `M` its message, `D` the time to come back.
    pub fn field(&self, letter: char) -> &str {
        self.error.iter().find(|f| f.0 == letter).map_or("", |f| &f.1)
    }
    /// The code of the error; empty if there was none.
    pub fn code(&self) -> &str {
        self.field('C')
    }
    /// The only value of the only row.
    pub fn value(&self) -> Option<&str> {
        match self.results.as_slice() {
            [rows] => rows.first()?.first()?.as_deref(),
            _ => None,
        }
    }
}

/// A session.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Opens one as this user in this database.
    pub fn connect(to: SocketAddr, user: &str, database: &str) -> io::Result<Client> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        stream.write_all(&wire::startup(user, database))?;
        let mut client = Client { stream };
        client.answer()?;
        Ok(client)
    }

    /// Asks, and reads the whole answer.
    pub fn query(&mut self, text: &str) -> io::Result<Answer> {
        self.send(text)?;
        self.answer()
    }

    /// Asks, and reads nothing.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.send_bytes(text.as_bytes())
    }

    /// The same with a text that may be none.
    pub fn send_bytes(&mut self, text: &[u8]) -> io::Result<()> {
        self.stream.write_all(&wire::message(b'Q', &[text, b"\0"].concat()))
    }

    /// Reads so many bytes of what comes, whatever they are.
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
                    answer.failed = body == b"E";
                    return Ok(answer);
                }
                b'T' => {
                    answer.columns.push(names(&body));
                    answer.results.push(Vec::new());
                }
                b'D' => {
                    let rows =
                        answer.results.last_mut().ok_or_else(|| io::Error::other("a row of nothing"))?;
                    rows.push(values(&body).ok_or_else(|| io::Error::other("a row that ends early"))?);
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

fn names(body: &[u8]) -> Vec<String> {
    let (mut names, mut rest) = (Vec::new(), body.get(2..).unwrap_or(&[]));
    while let Some(end) = rest.iter().position(|&b| b == 0) {
        names.push(String::from_utf8_lossy(&rest[..end]).into_owned());
        rest = rest.get(end + 19..).unwrap_or(&[]);
    }
    names
}

fn values(body: &[u8]) -> Option<Vec<Option<String>>> {
    let count = i16::from_be_bytes(*body.first_chunk()?);
    let mut rest = body.get(2..)?;
    let mut values = Vec::new();
    for _ in 0..count {
        let len = i32::from_be_bytes(*rest.first_chunk()?);
        rest = rest.get(4..)?;
        values.push(match usize::try_from(len) {
            Ok(len) => {
                let value = rest.get(..len)?;
                rest = rest.get(len..)?;
                Some(String::from_utf8_lossy(value).into_owned())
            }
            Err(_) => None,
        });
    }
    Some(values)
}
