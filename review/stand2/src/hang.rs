//! One client sends one plain statement of plus signs. Beside it, usual clients ask as always, and each of their requests
//! is owed its one final answer in its time and half a second more.

use crate::Case;
use crate::rig::*;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a usual client waits, in milliseconds: the time of the class `history`.
const PATIENCE_MS: u64 = 750;
/// Answers count up to half a second behind the client's time; 50 ms more are allowed on sockets.
const SLACK_MS: u64 = 550;
const USUAL_CLIENTS: usize = 6;
/// Under the 160 KB up to which statements are taken.
const PLUS_SIGNS: usize = 150_000;

const OPERATOR: &str = "{statements: {enabled: true, rules: [\
 {name: 'reads', effects: ['read'], class: 'browse', deadline_ms: 800, group: {constant: 0}},\
 {name: 'writes', effects: ['write'], class: 'ingest', deadline_ms: 2000, group: {constant: 0}}]}}";

pub fn run(case: &Case) -> Run<Option<String>> {
    let record = &case.record;
    let folder = Folder::create()?;
    let answer = || {
        Box::new(|text: &str, _: u64| {
            thread::sleep(Duration::from_millis(5));
            if text.contains("++") {
                return Reply::Error("42601", "syntax error".into());
            }
            Reply::Rows(vec!["value".into()], "SELECT 1".into())
        })
    };
    let primary = Host::start("s-1", true, record, answer())?;
    let replica = Host::start("s-2", false, record, answer())?;
    let agent = Agent::start(&[
        Entry { name: "s-1", address: primary.address, group: 0, status: "SERVING", writer: true, since_ms: 0 },
        Entry { name: "s-2", address: replica.address, group: 0, status: "SERVING", writer: false, since_ms: 0 },
    ])?;
    let settings = settings("await");
    let options = ProxyOptions {
        root: &case.root, folder: &folder, name: "n0", discovery: agent.address, settings: &settings,
        operator: Some(OPERATOR), known: None, listen: None, tmpdir: None,
    };
    let mut proxy = Proxy::start(&options, record)?;
    proxy.wait_until_ready(Duration::from_secs(15))?;
    let ended = Arc::new(AtomicBool::new(false));
    let (answered, lost) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Vec::<String>::new())));
    let listen = proxy.listen;
    let clients: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (ended, answered, lost, record) = (ended.clone(), answered.clone(), lost.clone(), record.clone());
            thread::spawn(move || usual_client(number, listen, &ended, &answered, &lost, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let before = answered.load(Ordering::SeqCst);
    if before < 50 || !lost.lock().unwrap().is_empty() {
        return Err(format!("before the disruption {before} requests were answered, {:?} lost", lost.lock().unwrap()));
    }
    let signs = if case.trouble { "+".repeat(PLUS_SIGNS) } else { "+".into() };
    let statement = format!("SELECT 1{signs}1");
    let mut bad_client = Client::connect(listen, Duration::from_secs(2)).map_err(|e| format!("the bad client: {e}"))?;
    record.line(format!("one client sends: {}", short(&statement)));
    let sent = Instant::now();
    bad_client.send(&statement).map_err(|e| format!("the bad client: {e}"))?;
    let heard = bad_client.hear(Duration::from_secs(12));
    record.line(format!("that client heard after {:.3} s: {heard:?}", sent.elapsed().as_secs_f64()));
    thread::sleep(Duration::from_secs(2));
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let status = proxy.ended();
    record.line(format!("answered: {}, the proxy has ended: {status:?}", answered.load(Ordering::SeqCst)));
    let lost = lost.lock().unwrap();
    if let Some(status) = status {
        return Ok(Some(format!("the proxy ended: {status}")));
    }
    Ok((!lost.is_empty()).then(|| format!("{} requests of usual clients had no answer in their time: {}", lost.len(), lost[0])))
}

/// Asks every 40 ms on one connection, and again on a new one where a request was lost.
fn usual_client(
    number: usize, to: std::net::SocketAddr, ended: &AtomicBool, answered: &AtomicU64, lost: &Mutex<Vec<String>>,
    record: &Record,
) {
    let mut client = Client::connect(to, Duration::from_secs(2)).ok();
    let mut count = 0u64;
    while !ended.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(40));
        // A client that comes to no connection has sent nothing that could be lost.
        let Some(connection) = client.as_mut() else {
            client = Client::connect(to, Duration::from_secs(1)).ok();
            continue;
        };
        count += 1;
        let id = format!("{number:04x}{count:012x}");
        let text = format!("/* id={id},c=history,d={PATIENCE_MS},cluster=0 */ SELECT payload FROM entries WHERE ref = 'k{count}'");
        match connection.query(&text, Duration::from_millis(PATIENCE_MS + SLACK_MS)) {
            Ok(_) => drop(answered.fetch_add(1, Ordering::SeqCst)),
            Err(e) if e.kind() == ErrorKind::TimedOut => {
                record.line(format!("client {number}: request {id} has no answer {} ms after it was sent", PATIENCE_MS + SLACK_MS));
                lost.lock().unwrap().push(format!("id {id}, {} ms after it was sent", PATIENCE_MS + SLACK_MS));
                client = None;
            }
            // Between requests the proxy may close a connection.
            Err(e) => {
                record.line(format!("client {number}: {e}"));
                client = None;
            }
        }
    }
}
