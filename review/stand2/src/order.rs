//! Two writes to one row, sent at once behind a read of another group. The first has a value of 75 KB, which its host writes
//! slowly and commits behind it. The row has to hold what the second wrote.

use crate::Case;
use crate::rig::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ROUNDS: usize = 6;
/// A value over 64 KiB, whose statement is under 160 KB.
const VALUE_BYTES: usize = 75_000;

type Rows = Arc<Mutex<BTreeMap<String, String>>>;

pub fn run(case: &Case) -> Run<Option<String>> {
    let record = &case.record;
    let folder = Folder::create()?;
    let rows = Rows::default();
    let (stored, log) = (rows.clone(), record.clone());
    let writes = move |text: &str, _: u64| {
        // The row and the name of the write, as the statement has them.
        let mut quoted = text.split('\'');
        let (row, value) = (quoted.nth(1).unwrap_or("").to_string(), quoted.nth(1).unwrap_or("").to_string());
        let name = if value.len() > 100 { "the first write" } else { "the second write" };
        thread::sleep(Duration::from_millis(80));
        let (rows, log) = (stored.clone(), log.clone());
        let commit = move || {
            rows.lock().unwrap().insert(row.clone(), name.to_string());
            log.line(format!("committed: row {row} holds {name}"));
        };
        if value.len() > 100 {
            let (value, tag) = ("x".repeat(VALUE_BYTES), "INSERT 0 1".to_string());
            return Reply::Slowly { value, pieces: 8, wait: Duration::from_millis(50), commit: Box::new(commit), tag };
        }
        commit();
        Reply::Rows(vec!["02".into()], "INSERT 0 1".into())
    };
    let first = Host::start("s-1", true, record, Box::new(writes))?;
    let reads = |_: &str, _: u64| {
        thread::sleep(Duration::from_millis(150));
        Reply::Rows(vec!["value".into()], "SELECT 1".into())
    };
    let second = Host::start("s-2", true, record, Box::new(reads))?;
    let entry = |name, host: &Host, group| Entry {
        name, address: host.address, group, status: "SERVING", writer: true, since_ms: 0,
    };
    let agent = Agent::start(&[entry("s-1", &first, 0), entry("s-2", &second, 1)])?;
    let settings = settings("await");
    let options = ProxyOptions {
        root: &case.root, folder: &folder, name: "n0", discovery: agent.address, settings: &settings,
        operator: None, known: None, listen: None, tmpdir: None,
    };
    let mut proxy = Proxy::start(&options, record)?;
    proxy.wait_until_ready(Duration::from_secs(15))?;
    let limit = Duration::from_secs(4);
    let mut client = Client::connect(proxy.listen, limit).map_err(|e| format!("the client: {e}"))?;
    let mut broken = Vec::new();
    for round in 0..ROUNDS {
        let row = format!("row{round}");
        let write = |n: u8, value: &str| {
            format!(
                "/* id=6{n}{round:014x},c=ingest,d=2000,k={n}{round},cluster=0 */ INSERT INTO entries (ref, payload) VALUES ('{row}', '\\x{value}') RETURNING payload"
            )
        };
        let requests = [
            format!("/* id=60{round:014x},c=history,d=750,cluster=1 */ SELECT payload FROM entries WHERE ref = 'other'"),
            write(1, &"01".repeat(VALUE_BYTES)),
            write(2, "02"),
        ];
        let mut served = 0;
        let mut hear = |client: &mut Client, name: &str| -> Run<()> {
            let heard = client.hear(limit).map_err(|e| format!("{name}: {e}"))?;
            served += usize::from(heard.errors.is_empty());
            record.line(format!("client: {name}: {:?} {:?}", heard.tags, heard.errors));
            Ok(())
        };
        for (n, request) in requests.iter().enumerate() {
            client.send(request).map_err(|e| format!("request {n}: {e}"))?;
            record.line(format!("client sends request {n} of round {round}"));
            if !case.trouble {
                hear(&mut client, &format!("answer {n}"))?;
            }
        }
        if case.trouble {
            for n in 0..requests.len() {
                hear(&mut client, &format!("answer {n}"))?;
            }
        }
        let held = rows.lock().unwrap().get(&row).cloned().unwrap_or_default();
        if served == requests.len() && held != "the second write" {
            broken.push(format!("both writes to {row} were served, and it holds {held}"));
        }
    }
    Ok(broken.first().map(|first| format!("{} of {ROUNDS} rows lost their last write: {first}", broken.len())))
}
