//! Clients that send a long write and leave before it is answered, while some connections to hosts come up late. No
//! attempt may begin more than 0.1 s after its client has closed its connection.

use crate::Case;
use crate::rig::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a client says that it waits, in milliseconds: the time of the class `ingest`.
const PATIENCE_MS: u64 = 2_000;
/// When a client leaves that has no answer by then.
const LEAVES_AFTER: Duration = Duration::from_millis(50);
/// An attempt may begin 0.1 s after the close; 50 ms more are allowed on sockets.
const SLACK: Duration = Duration::from_millis(150);
const VALUE_BYTES: usize = 200_000;
const WRITES: u64 = 24;
const EVERY: Duration = Duration::from_millis(400);
/// A third of the connections come up late, by 1.5 s at most.
const LATE_MS: u64 = 1_200;

pub fn run(case: &Case) -> Run<Option<String>> {
    let record = &case.record;
    let folder = Folder::create()?;
    let answer = |primary: bool| {
        Box::new(move |_: &str, _: u64| {
            if !primary {
                return Reply::Error("25006", "this is no primary".into());
            }
            thread::sleep(Duration::from_millis(70));
            Reply::Rows(vec!["stored".into()], "INSERT 0 1".into())
        })
    };
    let names = ["s-1", "s-2", "s-3"];
    let mut hosts = Vec::new();
    for (place, name) in names.into_iter().enumerate() {
        let host = Host::start(name, place == 0, record, answer(place == 0))?;
        host.closes.store(true, Ordering::SeqCst);
        hosts.push(host);
    }
    let entries: Vec<Entry> = names
        .iter()
        .zip(&hosts)
        .map(|(name, host)| Entry {
            name, address: host.address, group: 0, status: "SERVING", writer: *name == "s-1", since_ms: 0,
        })
        .collect();
    let agent = Agent::start(&entries)?;
    let settings = settings("await");
    let options = ProxyOptions {
        root: &case.root, folder: &folder, name: "n0", discovery: agent.address, settings: &settings,
        operator: None, known: None, listen: None, tmpdir: None,
    };
    let mut proxy = Proxy::start(&options, record)?;
    proxy.wait_until_ready(Duration::from_secs(15))?;
    if case.trouble {
        hosts.iter().for_each(|host| host.late_ms.store(LATE_MS, Ordering::SeqCst));
    }
    let left: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..WRITES {
        let (to, left, record) = (proxy.listen, left.clone(), record.clone());
        clients.push(thread::spawn(move || write(to, &format!("c{number:015x}"), &left, &record)));
        thread::sleep(EVERY);
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(2_500));
    if let Some(status) = proxy.ended() {
        return Ok(Some(format!("the proxy ended: {status}")));
    }
    let left = left.lock().unwrap();
    let mut broken = Vec::new();
    for host in &hosts {
        for (began, text) in host.begun.lock().unwrap().iter() {
            let gone = left.iter().find(|(id, _)| text.contains(id.as_str()));
            let Some((id, after)) = gone.and_then(|(id, at)| Some((id, began.checked_duration_since(*at)?))) else { continue };
            let text = format!("id {id}: begun at host {} {} ms after its client had closed", host.name, after.as_millis());
            record.line(&text);
            if after > SLACK {
                broken.push(text);
            }
        }
    }
    record.line(format!("{WRITES} writes, {} clients left without an answer", left.len()));
    Ok(broken.first().map(|first| format!("{} attempts began for clients that had left: {first}", broken.len())))
}

/// One client that sends one long write, and closes its connection if it is not answered in time.
fn write(to: SocketAddr, id: &str, left: &Mutex<BTreeMap<String, Instant>>, record: &Record) {
    let Ok(mut client) = Client::connect(to, Duration::from_secs(2)) else { return };
    let value = "7f".repeat(VALUE_BYTES);
    let text = format!(
        "/* id={id},c=ingest,d={PATIENCE_MS},k={id},cluster=0 */ INSERT INTO entries (ref, payload) VALUES ('{id}', '\\x{value}') RETURNING payload"
    );
    if client.send(&text).is_err() {
        return;
    }
    let at = Instant::now();
    record.line(format!("client {id} has written its last byte"));
    match client.hear(LEAVES_AFTER) {
        Ok(heard) => record.line(format!("client {id}: after {} ms {:?} {:?}", at.elapsed().as_millis(), heard.tags, heard.errors)),
        Err(e) => {
            drop(client);
            left.lock().unwrap().insert(id.to_string(), Instant::now());
            record.line(format!("client {id} leaves after {} ms: {e}", at.elapsed().as_millis()));
        }
    }
}
