//! Stand-ins for discovery's agents of a run: one for each proxy. Each listens at two addresses, so that a new configuration
//! can move its proxy from one to the other. An agent that is not down sends every change of the list at once.

use super::checker::{Checker, DrainSource};
use super::host::Hosts;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use sillfold::net::scheduler::Spawner;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Longest time between two lines of a stream; an empty line keeps the connection alive.
const STREAM_INTERVAL: Duration = Duration::from_secs(2);

/// The agent of one proxy.
struct ProxyAgent {
    addresses: [SocketAddr; 2],
    is_down: Cell<bool>,
    /// While the agent is down, it leaves calls without an answer instead of closing their connections.
    leaves_calls_open: Cell<bool>,
    /// A channel that is closed and replaced at every change, which wakes all that wait for one.
    changed: RefCell<(Sender<()>, Receiver<()>)>,
}

/// The agents of all proxies.
pub struct Agents {
    hosts: Rc<Hosts>,
    checker: Rc<RefCell<Checker>>,
    agents: RefCell<Vec<Rc<ProxyAgent>>>,
    /// The statuses of hosts in the list, where they were changed; the others are SERVING.
    statuses: RefCell<BTreeMap<usize, &'static str>>,
    /// The index of the list, which increases with every change.
    index: Cell<u64>,
}

impl Agents {
    pub fn new(hosts: Rc<Hosts>, checker: Rc<RefCell<Checker>>, proxies: usize) -> Agents {
        let agents = RefCell::new(Vec::with_capacity(proxies));
        Agents { hosts, checker, agents, statuses: RefCell::default(), index: Cell::new(1) }
    }

    /// Starts the agent of a further proxy. Proxies are added in the order of their numbers.
    pub fn listen(self: &Rc<Agents>, proxy: usize, spawner: &Spawner) -> io::Result<()> {
        let bind = || Async::<TcpListener>::bind(([127, 0, 0, 1], 0));
        let listeners = [bind()?, bind()?];
        let addresses = [listeners[0].get_ref().local_addr()?, listeners[1].get_ref().local_addr()?];
        let changed = RefCell::new(async_channel::bounded(1));
        let agent =
            ProxyAgent { addresses, is_down: Cell::default(), leaves_calls_open: Cell::default(), changed };
        self.agents.borrow_mut().push(Rc::new(agent));
        for listener in listeners {
            let (agents, call_spawner) = (self.clone(), spawner.clone());
            let accept = async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let agents = agents.clone();
                    let call = async move {
                        // An error means that the connection has ended.
                        let _ = agents.serve(proxy, stream).await;
                    };
                    call_spawner.spawn(call);
                }
            };
            spawner.spawn(accept);
        }
        Ok(())
    }

    /// The addresses on which the agent of a proxy listens.
    pub fn addresses(&self, proxy: usize) -> [SocketAddr; 2] {
        self.agent(proxy).addresses
    }

    fn agent(&self, proxy: usize) -> Rc<ProxyAgent> {
        self.agents.borrow()[proxy].clone()
    }

    /// Changes the status of a host in the list. It counts as reported to every proxy whose agent is not down.
    pub fn set_status(&self, host: usize, status: &'static str) {
        self.statuses.borrow_mut().insert(host, status);
        self.index.set(self.index.get() + 1);
        for proxy in 0..self.agents.borrow().len() {
            if !self.agent(proxy).is_down.get() {
                self.report_list(proxy);
            }
        }
    }

    /// Sets whether the agent of a proxy is down, and whether it leaves calls open meanwhile. Once it is up again, the list counts
    /// as reported to its proxy.
    pub fn set_down(&self, proxy: usize, is_down: bool, leaves_calls_open: bool) {
        let agent = self.agent(proxy);
        agent.leaves_calls_open.set(leaves_calls_open);
        agent.is_down.set(is_down);
        if !is_down {
            self.report_list(proxy);
        }
        notify_change(&agent);
    }

    /// Reports the statuses to the checker as known to a proxy, and wakes its streams.
    fn report_list(&self, proxy: usize) {
        let mut checker = self.checker.borrow_mut();
        for (host, status) in self.statuses.borrow().iter() {
            match *status {
                "SERVING" => checker.drain_ended(proxy, *host, DrainSource::List),
                _ => checker.drain_reported(proxy, *host, DrainSource::List),
            }
        }
        drop(checker);
        notify_change(&self.agent(proxy));
    }

    /// The full list as a proxy gets it.
    fn full_list(&self, proxy: usize) -> String {
        let statuses = self.statuses.borrow();
        let status = |host: usize| statuses.get(&host).copied().unwrap_or("SERVING");
        let entries: Vec<_> =
            (0..self.hosts.count()).map(|n| self.hosts.entry(n, proxy, status(n))).collect();
        let index = self.index.get();
        serde_json::json!({"index": index, "snapshot": true, "endpoints": entries}).to_string()
    }

    /// Answers one call: with the list, or with a stream of lists until the connection ends.
    async fn serve(&self, proxy: usize, mut stream: Async<TcpStream>) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let agent = self.agent(proxy);
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).await?;
            head.push(byte[0]);
        }
        while agent.is_down.get() {
            if !agent.leaves_calls_open.get() {
                return Ok(());
            }
            wait_for_change(&agent).await;
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        if !head.contains("stream=1") {
            let body = self.full_list(proxy);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            return stream.write_all(format!("{head}{body}").as_bytes()).await;
        }
        let known_index = head.split("index=").nth(1).and_then(|i| i.split([' ', '&']).next()?.parse().ok());
        let mut known_index: u64 = known_index.unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            let changed = known_index != self.index.get();
            let line = if changed { self.full_list(proxy) } else { String::new() };
            known_index = self.index.get();
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
            let interval = async {
                Timer::after(STREAM_INTERVAL).await;
            };
            if known_index == self.index.get() {
                future::or(wait_for_change(&agent), interval).await;
            }
            while agent.is_down.get() {
                if !agent.leaves_calls_open.get() {
                    return Ok(());
                }
                wait_for_change(&agent).await;
            }
        }
    }
}

/// Wakes all that wait for a change of an agent or its list.
fn notify_change(agent: &ProxyAgent) {
    let previous = agent.changed.replace(async_channel::bounded(1));
    previous.0.close();
}

/// Waits for the next change of an agent or its list.
async fn wait_for_change(agent: &ProxyAgent) {
    let changed = agent.changed.borrow().1.clone();
    let _ = changed.recv().await;
}
