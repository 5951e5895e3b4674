//! Everything that touches sockets, in five parts. `core` owns the decision module, time and the
//! figures, `client` a request's life, `hosts` the connections to database hosts, `discovery` the
//! list, `console` the operators' door.
//! This file holds only what they share; it must never decide nor keep state beyond a moment.

pub mod client;
pub mod console;
pub mod core;
pub mod discovery;
pub mod hosts;

use crate::pg::Inbox;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Bytes that one read may bring.
const READ_BYTES: usize = 32 * 1024;

/// Complaints about peers that are written in a second; of the others only the number is.
const COMPLAINTS: u32 = 10;

thread_local! {
    /// Since when complaints are counted, and how many there were.
    static COMPLAINED: Cell<(Option<Instant>, u32)> = const { Cell::new((None, 0)) };
    /// Where every read lands first. One for all connections, which hold only what has come.
    static LANDING: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
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
        eprintln!("... and {} more such lines", count - COMPLAINTS);
    }
    let (since, count) = if fresh { (Some(Instant::now()), 0) } else { (since, count) };
    if count < COMPLAINTS {
        eprintln!("{}", line());
    }
    COMPLAINED.set((since, count + 1));
}
