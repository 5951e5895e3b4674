//! Discovery's agent: the list of hosts over HTTP/1.1, whole and as a watch. It tells every change to whoever
//! watches, and an empty line now and then.

use crate::host::Host;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// A watch hears something at least this often.
const BEAT: Duration = Duration::from_secs(2);

/// One line of the list.
#[derive(Clone, Debug)]
pub struct HostEntry {
    /// The host's name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its group.
    pub group: u32,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub status: &'static str,
    /// Whether the list holds it to be the primary.
    pub primary: bool,
}

impl HostEntry {
    /// The line of a host that serves.
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
    index: u64,
    entries: Vec<HostEntry>,
}

/// An agent that runs until the program ends.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Agent {
    /// Starts one at a free port of this address, with this list.
    pub fn start(at: IpAddr, entries: Vec<HostEntry>) -> io::Result<Agent> {
        let listener = TcpListener::bind((at, 0))?;
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

    /// The list is this from now on.
    pub fn set_hosts(&self, entries: Vec<HostEntry>) {
        let mut list = self.list.0.lock().expect("no one panics there");
        (list.index, list.entries) = (list.index + 1, entries);
        self.list.1.notify_all();
    }
}

fn text(list: &List) -> String {
    let entries: Vec<serde_json::Value> = list.entries.iter().map(HostEntry::json).collect();
    serde_json::json!({"index": list.index, "snapshot": true, "endpoints": entries}).to_string()
}

fn serve(mut s: TcpStream, shared: &(Mutex<List>, Condvar)) -> io::Result<()> {
    let mut request = String::new();
    let mut read = BufReader::new(s.try_clone()?);
    while !request.ends_with("\r\n\r\n") && read.read_line(&mut request)? > 0 {}
    let path = request.split(' ').nth(1).unwrap_or("").to_string();
    let (mutex, changed) = shared;
    if !path.contains("stream=1") {
        let body = text(&mutex.lock().expect("no one panics there"));
        return write!(
            s,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
    }
    let known = path.split("index=").nth(1).and_then(|i| i.split('&').next()?.parse::<u64>().ok());
    let mut known = known.unwrap_or(0);
    s.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        let line = {
            let list = mutex.lock().expect("no one panics there");
            let (list, _) =
                changed.wait_timeout_while(list, BEAT, |l| l.index == known).expect("no one panics");
            let line = if list.index == known { String::new() } else { text(&list) };
            known = list.index;
            line
        };
        write!(s, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
    }
}
