//! The id of another client's open request, while a new version starts beside the old one. Both processes count as one proxy: the
//! second request with that id is owed an error, and no host may get it.

use crate::Case;
use crate::rig::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ROUNDS: usize = 10;
/// Connections of the bad client. The machine deals them out to the processes that listen.
const BAD_CONNECTIONS: usize = 12;
/// How long a write works at the primary.
const WORK: Duration = Duration::from_millis(110);

/// When each id came to the primary, and how many with that id were in work then.
type Seen = Arc<Mutex<BTreeMap<String, (usize, usize)>>>;

fn id_of(text: &str) -> String {
    text.split("id=").nth(1).and_then(|rest| rest.split(',').next()).unwrap_or("").to_string()
}

fn is_ready(console: SocketAddr) -> bool {
    let call = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&console, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ops/readiness HTTP/1.1\r\nHost: console\r\n\r\n")?;
        let mut text = Vec::new();
        stream.read_to_end(&mut text)?;
        Ok(text.starts_with(b"HTTP/1.1 200"))
    };
    call().unwrap_or(false)
}

pub fn run(case: &Case) -> Run<Option<String>> {
    let record = &case.record;
    let folder = Folder::create()?;
    let seen = Seen::default();
    let counted = seen.clone();
    let answer = move |text: &str, _: u64| {
        let id = id_of(text);
        {
            let mut seen = counted.lock().unwrap();
            let entry = seen.entry(id.clone()).or_default();
            (entry.0, entry.1) = (entry.0 + 1, entry.1 + 1);
        }
        thread::sleep(WORK);
        if let Some(entry) = counted.lock().unwrap().get_mut(&id) {
            entry.1 -= 1;
        }
        Reply::Rows(vec!["stored".into()], "INSERT 0 1".into())
    };
    let primary = Host::start("s-1", true, record, Box::new(answer))?;
    let agent = Agent::start(&[Entry {
        name: "s-1", address: primary.address, group: 0, status: "SERVING", writer: true, since_ms: 0,
    }])?;
    let settings = settings("await");
    let tmpdir = folder.0.join("tmp");
    let options = |name, listen| ProxyOptions {
        root: &case.root, folder: &folder, name, discovery: agent.address, settings: &settings,
        operator: None, known: None, listen, tmpdir: Some(tmpdir.clone()),
    };
    let mut old = Proxy::start(&options("n0", None), record)?;
    old.wait_until_ready(Duration::from_secs(15))?;
    let mut new = None;
    if case.trouble {
        let started = Instant::now();
        let next = Proxy::start(&options("n0", Some(old.listen)), record)?;
        while !is_ready(next.console) {
            if started.elapsed() > Duration::from_secs(6) {
                return Err("the new version was not ready within 6 s".into());
            }
            thread::sleep(Duration::from_millis(30));
        }
        record.line(format!("the new version says yes after {} ms", started.elapsed().as_millis()));
        new = Some(next);
    }
    let limit = Duration::from_secs(3);
    let connect = || Client::connect(old.listen, limit).map_err(|e| format!("a client: {e}"));
    let mut usual = connect()?;
    let mut bad: Vec<Client> = (0..BAD_CONNECTIONS).map(|_| connect()).collect::<Run<_>>()?;
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("5{round:015x}");
        let text = |key: &str, value: &str| {
            format!("/* id={id},c=ingest,d=2000,k={key},cluster=0 */ INSERT INTO entries (ref, payload) VALUES ('{key}', '\\x{value}') RETURNING payload")
        };
        usual.send(&text(&format!("a{round}"), "01")).map_err(|e| format!("the usual client: {e}"))?;
        record.line(format!("the usual client sends {id}"));
        thread::sleep(Duration::from_millis(15));
        for client in &mut bad {
            client.send(&text(&format!("b{round}"), "02")).map_err(|e| format!("the bad client: {e}"))?;
        }
        record.line(format!("the bad client sends {id} on {BAD_CONNECTIONS} connections"));
        let heard = usual.hear(limit).map_err(|e| format!("the usual client: {e}"))?;
        record.line(format!("the usual client hears {:?} {:?}", heard.tags, heard.errors));
        for (place, client) in bad.iter_mut().enumerate() {
            match client.hear(limit) {
                Ok(heard) => {
                    record.line(format!("the bad client hears on connection {place}: {:?} {:?}", heard.tags, heard.errors));
                    if heard.errors.is_empty() {
                        broken.push(format!("id {id} of another client's open request was served: {:?}", heard.tags));
                    }
                }
                Err(e) => {
                    record.line(format!("the bad client's connection {place}: {e}"));
                    *client = connect()?;
                }
            }
        }
        // An id is taken for no other request for 2 s behind its answer, so each round has its own.
        thread::sleep(Duration::from_millis(100));
    }
    if let Some(new) = &new {
        old.signal("TERM");
        record.line(format!("SIGTERM to the old version, pid {}; {} goes on", old.pid(), new.pid()));
        thread::sleep(Duration::from_millis(2_700));
    }
    for (id, (runs, _)) in seen.lock().unwrap().iter().filter(|(_, seen)| seen.0 > 1) {
        record.line(format!("the primary ran id {id} {runs} times"));
    }
    Ok(broken.first().map(|first| format!("{} requests were served with an open id: {first}", broken.len())))
}
