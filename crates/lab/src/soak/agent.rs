//! Discovery's agents of a run: one for each proxy, at two addresses, so that a new configuration can move it. They tell every
//! change at once, but where they are down.

use super::book::{Book, Source};
use super::host::Hosts;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use sillfold::net::world::Spawner;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A watch hears something at least this often.
const BEAT: Duration = Duration::from_secs(2);

/// One proxy's agent.
struct Desk {
    addresses: [SocketAddr; 2],
    down: Cell<bool>,
    /// While it is down, calls are left without an answer.
    silent: Cell<bool>,
    /// Closed, and put anew, whenever something changes.
    changed: RefCell<(Sender<()>, Receiver<()>)>,
}

/// All agents.
pub struct Agent {
    hosts: Rc<Hosts>,
    book: Rc<RefCell<Book>>,
    desks: RefCell<Vec<Rc<Desk>>>,
    /// Hosts that are not listed as serving.
    statuses: RefCell<BTreeMap<usize, &'static str>>,
    index: Cell<u64>,
}

impl Agent {
    pub fn new(hosts: Rc<Hosts>, book: Rc<RefCell<Book>>, proxies: usize) -> Agent {
        let desks = RefCell::new(Vec::with_capacity(proxies));
        Agent { hosts, book, desks, statuses: RefCell::default(), index: Cell::new(1) }
    }

    /// Listens for one more proxy.
    pub fn listen(self: &Rc<Agent>, proxy: usize, spawner: &Spawner) -> io::Result<()> {
        let bind = || Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
        let listeners = [bind()?, bind()?];
        let addresses = [listeners[0].get_ref().local_addr()?, listeners[1].get_ref().local_addr()?];
        let changed = RefCell::new(async_channel::bounded(1));
        let desk = Desk { addresses, down: Cell::default(), silent: Cell::default(), changed };
        self.desks.borrow_mut().push(Rc::new(desk));
        for listener in listeners {
            let (agent, own) = (self.clone(), spawner.clone());
            let accept = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let agent = agent.clone();
                    let call = async move {
                        // An error is the end of the connection.
                        let _ = agent.serve(proxy, stream).await;
                    };
                    own.spawn(call);
                }
            };
            spawner.spawn(accept);
        }
        Ok(())
    }

    /// Where a proxy's agent listens.
    pub fn addresses(&self, proxy: usize) -> [SocketAddr; 2] {
        self.desk(proxy).addresses
    }

    fn desk(&self, proxy: usize) -> Rc<Desk> {
        self.desks.borrow()[proxy].clone()
    }

    /// A host has this state from now on. Every proxy whose agent is up counts as told.
    pub fn change(&self, host: usize, status: &'static str) {
        self.statuses.borrow_mut().insert(host, status);
        self.index.set(self.index.get() + 1);
        for proxy in 0..self.desks.borrow().len() {
            if !self.desk(proxy).down.get() {
                self.tell(proxy);
            }
        }
    }

    /// A proxy's agent is down, or up again: what it has then counts as told.
    pub fn set_down(&self, proxy: usize, down: bool, silent: bool) {
        let desk = self.desk(proxy);
        desk.silent.set(silent);
        desk.down.set(down);
        if !down {
            self.tell(proxy);
        }
        wake(&desk);
    }

    fn tell(&self, proxy: usize) {
        let mut book = self.book.borrow_mut();
        for (host, status) in self.statuses.borrow().iter() {
            match *status {
                "SERVING" => book.tells_on(proxy, *host, Source::List),
                _ => book.tells_off(proxy, *host, Source::List),
            }
        }
        drop(book);
        wake(&self.desk(proxy));
    }

    fn list(&self, proxy: usize) -> String {
        let statuses = self.statuses.borrow();
        let status = |host: usize| statuses.get(&host).copied().unwrap_or("SERVING");
        let entries: Vec<_> =
            (0..self.hosts.count()).map(|n| self.hosts.entry(n, proxy, status(n))).collect();
        let index = self.index.get();
        serde_json::json!({"index": index, "snapshot": true, "endpoints": entries}).to_string()
    }

    async fn serve(&self, proxy: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let desk = self.desk(proxy);
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).await?;
            head.push(byte[0]);
        }
        while desk.down.get() {
            if !desk.silent.get() {
                return Ok(());
            }
            changes(&desk).await;
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        if !head.contains("stream=1") {
            let body = self.list(proxy);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            return stream.write_all(format!("{head}{body}").as_bytes()).await;
        }
        let known = head.split("index=").nth(1).and_then(|i| i.split([' ', '&']).next()?.parse().ok());
        let mut known: u64 = known.unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            let changed = known != self.index.get();
            let line = if changed { self.list(proxy) } else { String::new() };
            known = self.index.get();
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
            let beat = async {
                Timer::after(BEAT).await;
            };
            if known == self.index.get() {
                future::or(changes(&desk), beat).await;
            }
            while desk.down.get() {
                if !desk.silent.get() {
                    return Ok(());
                }
                changes(&desk).await;
            }
        }
    }
}

fn wake(desk: &Desk) {
    let before = desk.changed.replace(async_channel::bounded(1));
    before.0.close();
}

async fn changes(desk: &Desk) {
    let changed = desk.changed.borrow().1.clone();
    let _ = changed.recv().await;
}
