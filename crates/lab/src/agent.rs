//! Stand-in for discovery's agent. It serves the list of hosts over HTTP/1.1, as one answer or as a stream. A stream
//! sends the full list after every change, and an empty line at an interval where nothing changes.

use crate::host::Host;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// Longest time between two lines of a stream; an empty line keeps the connection alive.
const STREAM_INTERVAL: Duration = Duration::from_secs(2);

/// An entry of the list of hosts.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// The host's name.
    pub name: String,
    /// The address on which the host listens.
    pub address: SocketAddr,
    /// The id of the host's group.
    pub group: u32,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub status: &'static str,
    /// Whether the list names the host as primary.
    pub primary: bool,
}

impl HostEntry {
    /// The entry of a host that is ready to serve.
    pub fn serving(host: &Host, group: u32) -> HostEntry {
        let (name, primary) = (host.name().to_string(), host.is_primary());
        HostEntry { name, address: host.address, group, status: "SERVING", primary }
    }

    fn json(&self) -> serde_json::Value {
        let access = if self.primary { "writer" } else { "reader" };
        serde_json::json!({
            "name": self.name, "address": self.address.to_string(), "zone": "a", "type": "m",
            "group": self.group, "status": self.status, "weight": 1.0, "since_ms": 0, "access": access
        })
    }
}

#[derive(Default)]
struct List {
    /// Increases with every change.
    index: u64,
    entries: Vec<HostEntry>,
}

/// A stand-in agent, which runs until the program ends.
pub struct Agent {
    /// The address on which the agent listens.
    pub address: SocketAddr,
    /// The list, and the condition that is notified when it changes.
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Agent {
    /// Starts an agent at a free port of `ip`, with `entries` as its list.
    pub fn start(ip: IpAddr, entries: Vec<HostEntry>) -> io::Result<Agent> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let list = Arc::new((Mutex::new(List { index: 1, entries }), Condvar::new()));
        let shared = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = shared.clone();
                thread::spawn(move || serve(stream, &list));
            }
        });
        Ok(Agent { address, list })
    }

    /// Replaces the list and sends it to all open streams.
    pub fn set_hosts(&self, entries: Vec<HostEntry>) {
        let mut list = self.list.0.lock().expect("no one panics there");
        (list.index, list.entries) = (list.index + 1, entries);
        self.list.1.notify_all();
    }
}

/// The full list in discovery's JSON form.
fn full_list(list: &List) -> String {
    let entries: Vec<serde_json::Value> = list.entries.iter().map(HostEntry::json).collect();
    serde_json::json!({"index": list.index, "snapshot": true, "endpoints": entries}).to_string()
}

/// Answers one call: with the list, or with a stream of lists until the connection ends.
fn serve(mut stream: TcpStream, shared: &(Mutex<List>, Condvar)) -> io::Result<()> {
    let mut request = String::new();
    let mut reader = BufReader::new(stream.try_clone()?);
    while !request.ends_with("\r\n\r\n") && reader.read_line(&mut request)? > 0 {}
    let path = request.split(' ').nth(1).unwrap_or("").to_string();
    let (mutex, changed) = shared;
    if !path.contains("stream=1") {
        let body = full_list(&mutex.lock().expect("no one panics there"));
        return write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
    }
    let known_index =
        path.split("index=").nth(1).and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
    let mut known_index = known_index.unwrap_or(0);
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        let line = {
            let list = mutex.lock().expect("no one panics there");
            let (list, _) = changed
                .wait_timeout_while(list, STREAM_INTERVAL, |list| list.index == known_index)
                .expect("no one panics");
            let line = if list.index == known_index { String::new() } else { full_list(&list) };
            known_index = list.index;
            line
        };
        write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
    }
}
