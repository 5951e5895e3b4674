//! Everything that touches sockets, in nine parts. `core` owns the decision module, time and the
//! figures, `client` a request's life, `hosts` the connections to database hosts, `discovery` the
//! list, `console` the operators' door, `statements` the desk for plain statements,
//! `capture` the record of load, `upgrade` what two processes share, `backoff` the waits between tries.
//! This file holds only what they share; it must never decide nor keep state beyond a moment.

pub mod backoff;
pub mod capture;
pub mod client;
pub mod console;
pub mod core;
pub mod discovery;
pub mod hosts;
pub mod statements;
pub mod upgrade;

use crate::pg::Inbox;
use async_io::{Async, Timer};
use futures_lite::future;
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use tracing::warn;

/// Bytes that one read may bring.
const READ_BYTES: usize = 32 * 1024;

/// What the machine may hold of a long value for one connection, at the side where it piles up.
pub const SOCKET_BYTES: usize = 128 * 1024;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Complaints about peers that are written in a second; of the others only the number is.
const COMPLAINTS: u32 = 10;

thread_local! {
    /// Since when complaints are counted, and how many there were.
    static COMPLAINED: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
    /// Where every read lands first. One for all connections, which hold only what has come.
    static LANDING: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// A limit that two processes may have to share.
pub struct Budget {
    whole: usize,
    mine: Cell<usize>,
}

impl Budget {
    pub fn new(whole: usize) -> Budget {
        Budget { whole, mine: Cell::new(whole) }
    }
    pub fn get(&self) -> usize {
        self.mine.get()
    }
    /// Beside a process that holds so much, this one may have half of what neither holds.
    pub fn share(&self, mine: usize, theirs: Option<usize>) {
        let shared = |theirs| mine + self.whole.saturating_sub(mine + theirs) / 2;
        self.mine.set(theirs.map_or(self.whole, shared));
    }
}

/// A socket bound to the clients' address, beside another version of the program if one is there.
pub fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// From now on the machine accepts connections there.
pub fn listen(socket: Socket) -> io::Result<Async<TcpListener>> {
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

/// Waits for bytes, hands them to `take` and returns their number; 0 at the end of the connection.
async fn read_with(stream: &Async<TcpStream>, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
    stream
        .read_with(|mut s| {
            LANDING.with_borrow_mut(|landing| {
                let n = s.read(landing)?;
                take(&landing[..n]);
                Ok(n)
            })
        })
        .await
}

/// Waits for bytes and puts them into the inbox; 0 at the end of the connection.
async fn read(stream: &Async<TcpStream>, inbox: &mut Inbox) -> io::Result<usize> {
    read_with(stream, |bytes| inbox.put(bytes)).await
}

/// The future's result, or nothing once the time has come; the future is then dropped.
pub async fn by<T>(when: Instant, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::at(when).await;
        None
    })
    .await
}

/// Writes a line about a peer's misbehaviour. Guards against a peer that fills the log.
pub fn complain(line: impl FnOnce() -> String) {
    let (since, count) = COMPLAINED.get();
    let fresh = since.is_none_or(|since| since.elapsed() > Duration::from_secs(1));
    if fresh && count > COMPLAINTS {
        warn!(target: "peers", "... and {} more such lines", count - COMPLAINTS);
    }
    let (since, count) = if fresh { (Some(Instant::now()), 0) } else { (since, count) };
    if count < COMPLAINTS {
        warn!(target: "peers", "{}", line());
    }
    COMPLAINED.set((since, count + 1));
}
