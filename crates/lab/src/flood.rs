//! Clients that send at full speed, for tests of whether others are served meanwhile: what they send, and clients that send
//! it over real sockets on a few threads of their own. No rule applies to their own requests.

use crate::wire;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Roughly how much a client writes at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// The most threads on which clients send, so that the proxy keeps a core of its own.
const MAX_THREADS: usize = 2;
/// The wait after a connection that could not be opened.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// The number of short fields in a long comment.
const MANY_FIELDS: usize = 30_000;

/// What the statements of a flood say of their requests.
#[derive(Clone, Copy, Debug)]
pub struct Terms<'a> {
    /// The name of a class of reads.
    pub read_class: &'a str,
    /// The name of a class of writes with a key.
    pub write_class: &'a str,
    /// The group of hosts.
    pub group: u32,
    /// The client deadline in milliseconds.
    pub deadline_ms: u64,
}

/// What a flooding client sends. Lengths are in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Requests for encryption, without a startup message.
    EncryptionRequests,
    /// Reads with a new id and a new tenant each.
    NewTenants,
    /// Reads with a statement of this length.
    LongReads(usize),
    /// Writes with a value of this length.
    LongWrites(usize),
    /// Reads whose comment holds thousands of fields.
    ManyFields,
    /// The same without a field that a request needs.
    ManyFieldsRefused,
    /// Queries without a statement.
    EmptyQueries,
    /// Statements without a comment.
    Uncommented,
    /// Requests of a class that the settings don't have.
    UnknownClass,
    /// Short statements that are not UTF-8.
    NotUtf8,
    /// Streamed statements that are not UTF-8, whose rest is skipped.
    LongNotUtf8,
    /// Sync messages of the extended query protocol.
    Sync,
    /// Parse messages of the extended query protocol.
    ExtendedQueries,
    /// Connections that send what is no message.
    MalformedConnections,
    /// Bytes behind a fatal error, up to the end of the connection.
    BytesBehindAnError,
    /// Several of the others in turn.
    Mixed,
}

impl Flood {
    /// All floods, each with one length.
    pub const ALL: [Flood; 17] = [
        Flood::EncryptionRequests,
        Flood::NewTenants,
        Flood::LongReads(150 * 1024),
        Flood::LongReads(2 << 20),
        Flood::LongWrites(100 * 1024),
        Flood::ManyFields,
        Flood::ManyFieldsRefused,
        Flood::EmptyQueries,
        Flood::Uncommented,
        Flood::UnknownClass,
        Flood::NotUtf8,
        Flood::LongNotUtf8,
        Flood::Sync,
        Flood::ExtendedQueries,
        Flood::MalformedConnections,
        Flood::BytesBehindAnError,
        Flood::Mixed,
    ];

    /// Whether the connection begins with a startup message.
    pub fn begins_session(self) -> bool {
        !matches!(self, Flood::EncryptionRequests | Flood::MalformedConnections)
    }

    /// Whether each message has a connection of its own.
    pub fn reconnects(self) -> bool {
        self == Flood::MalformedConnections
    }

    /// The message of this number. Its id is `f` and the number.
    pub fn message(self, number: u64, terms: &Terms<'_>) -> Vec<u8> {
        let Terms { read_class, write_class, group, deadline_ms } = terms;
        let read = |more_fields: &str| {
            format!(
                "/* id=f{number},c={read_class},d={deadline_ms},cluster={group}{more_fields} */ SELECT payload FROM \
                 entries WHERE ref = '7f'"
            )
        };
        let many_fields = || ",a=b".repeat(MANY_FIELDS);
        match self {
            Flood::EncryptionRequests => [0, 0, 0, 8, 4, 210, 22, 47].to_vec(),
            Flood::NewTenants => query(&read(&format!(",t=tenant-{number}"))),
            Flood::LongReads(bytes) => query(&format!("{} -- {}", read(""), "x".repeat(bytes))),
            Flood::LongWrites(bytes) => {
                let value = "5a".repeat(bytes / 2);
                query(&format!(
                    "/* id=f{number},c={write_class},d={deadline_ms},k=f{number},cluster={group} */ INSERT INTO entries \
                     VALUES ('7f', '{value}')"
                ))
            }
            Flood::ManyFields => query(&read(&many_fields())),
            Flood::ManyFieldsRefused => query(&format!("/* id=1{} */ SELECT 1", many_fields())),
            Flood::EmptyQueries => query(""),
            Flood::Uncommented => query("SELECT 1"),
            Flood::UnknownClass => query(&format!("/* id=1,c=none,d=100,cluster={group} */ SELECT 1")),
            Flood::NotUtf8 => wire::message(b'Q', b"SELECT \xff\0"),
            Flood::LongNotUtf8 => wire::message(b'Q', &[&[0xff; 400 * 1024][..], b"\0"].concat()),
            Flood::Sync => wire::message(b'S', b""),
            Flood::ExtendedQueries => wire::message(b'P', b"\0SELECT 1\0\0\0"),
            Flood::MalformedConnections => b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            Flood::BytesBehindAnError => [wire::message(b'p', b""), vec![0; 1 << 20]].concat(),
            Flood::Mixed => {
                const KINDS: [Flood; 8] = [
                    Flood::NewTenants,
                    Flood::LongReads(100 * 1024),
                    Flood::ManyFieldsRefused,
                    Flood::Sync,
                    Flood::Uncommented,
                    Flood::NotUtf8,
                    Flood::LongNotUtf8,
                    Flood::EmptyQueries,
                ];
                KINDS[number as usize % KINDS.len()].message(number, terms)
            }
        }
    }

    /// About this many bytes of messages, with the numbers that `next_number` gives.
    pub fn chunk(self, bytes: usize, terms: &Terms<'_>, next_number: impl Fn() -> u64) -> Vec<u8> {
        let mut chunk = self.message(next_number(), terms);
        while chunk.len() < bytes && !self.reconnects() {
            chunk.extend(self.message(next_number(), terms));
        }
        chunk
    }
}

/// Whether this is the id of a flooding client's request.
pub fn is_flood_id(id: &str) -> bool {
    id.strip_prefix('f').is_some_and(|number| number.bytes().all(|byte| byte.is_ascii_digit()))
}

/// Encodes a query message.
fn query(text: &str) -> Vec<u8> {
    wire::message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

/// What the clients of a flood share.
#[derive(Debug)]
struct Shared {
    flood: Flood,
    terms: Terms<'static>,
    address: SocketAddr,
    sent_bytes: AtomicU64,
    last_number: AtomicU64,
}

/// Clients that send at full speed, and read all that is answered, until this is ended or dropped.
#[derive(Debug)]
pub struct FloodClients {
    /// Dropped to end the clients.
    running: Option<Sender<()>>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodClients {
    /// Starts this number of clients of the proxy at `address`. The ids of their requests have numbers from `first_number`
    /// on.
    pub fn start(
        flood: Flood, clients: usize, address: SocketAddr, terms: Terms<'static>, first_number: u64,
    ) -> FloodClients {
        let (sent_bytes, last_number) = (AtomicU64::new(0), AtomicU64::new(first_number));
        let shared = Arc::new(Shared { flood, terms, address, sent_bytes, last_number });
        let (running, ended) = async_channel::bounded::<()>(1);
        let thread_count = clients.min(MAX_THREADS);
        let start = |thread_number| {
            let (ended, shared) = (ended.clone(), shared.clone());
            let clients = clients / thread_count + usize::from(thread_number < clients % thread_count);
            thread::spawn(move || {
                let executor = LocalExecutor::new();
                for _ in 0..clients {
                    executor.spawn(shared.clone().repeat()).detach();
                }
                let until_ended = async {
                    let _ = ended.recv().await;
                };
                async_io::block_on(executor.run(until_ended));
            })
        };
        let threads = (0..thread_count).map(start).collect();
        FloodClients { running: Some(running), shared, threads }
    }

    /// The number of bytes that were sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for FloodClients {
    fn drop(&mut self) {
        self.running = None;
        // A thread that has panicked has written so.
        self.threads.drain(..).for_each(|thread| drop(thread.join()));
    }
}

impl Shared {
    /// Sends on one connection after the other.
    async fn repeat(self: Arc<Shared>) {
        loop {
            match Async::<TcpStream>::connect(self.address).await {
                // An error means that the connection has ended.
                Ok(stream) => drop(self.send(&stream).await),
                Err(_) => drop(Timer::after(RECONNECT_DELAY).await),
            }
            future::yield_now().await;
        }
    }

    /// Sends on one connection until it ends.
    async fn send(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        let (mut reader, mut writer) = (stream, stream);
        let read_all = async {
            let mut buffer = vec![0; CHUNK_BYTES];
            while reader.read(&mut buffer).await? > 0 {
                future::yield_now().await;
            }
            Ok(())
        };
        let next_number = || self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let send = async {
            if self.flood.begins_session() {
                writer.write_all(&wire::startup("web", "orders")).await?;
            }
            loop {
                let chunk = self.flood.chunk(CHUNK_BYTES, &self.terms, next_number);
                writer.write_all(&chunk).await?;
                self.sent_bytes.fetch_add(chunk.len() as u64, Ordering::Relaxed);
                if self.flood.reconnects() {
                    return Ok(());
                }
                future::yield_now().await;
            }
        };
        future::or(send, read_all).await
    }
}
