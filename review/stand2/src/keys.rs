//! Plain statements whose group a key gives. A client inserts rows with negative keys and reads each by its key in the
//! form `ref IN (-7)`, which the operators' page names beside `ref = 'x'`. Each row that was committed has to be read.

use crate::Case;
use crate::rig::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const KEYS: i64 = 20;

const OPERATOR: &str = "{statements: {enabled: true, rules: [\
 {name: 'reads', effects: ['read'], class: 'history', deadline_ms: 750, \
  group: {by_key: {column: 'ref', among: [0, 1]}}},\
 {name: 'writes', effects: ['write'], class: 'ingest', deadline_ms: 2000, \
  group: {by_key: {column: 'ref', among: [0, 1]}}}]}}";

/// The rows of one group, which its members share.
type Rows = Arc<Mutex<BTreeMap<i64, String>>>;

/// The whole number behind `head` in a statement.
fn number_behind(text: &str, head: &str) -> Option<i64> {
    let rest = text.split(head).nth(1)?;
    let end = rest.find(|c: char| c != '-' && !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// Runs a statement as a database with one table of whole numbers does.
fn answer(rows: &Rows, text: &str) -> Reply {
    let mut rows = rows.lock().unwrap();
    if let Some(key) = number_behind(text, "VALUES (") {
        let value = format!("value of {key}");
        rows.insert(key, value.clone());
        return Reply::Rows(vec![value], "INSERT 0 1".into());
    }
    match number_behind(text, "ref IN (").or(number_behind(text, "ref = ")) {
        Some(key) => {
            let found: Vec<String> = rows.get(&key).cloned().into_iter().collect();
            let tag = format!("SELECT {}", found.len());
            Reply::Rows(found, tag)
        }
        None => Reply::Error("42601", "not read here".into()),
    }
}

pub fn run(case: &Case) -> Run<Option<String>> {
    let record = &case.record;
    let folder = Folder::create()?;
    let groups: Vec<Rows> = vec![Rows::default(), Rows::default()];
    let mut hosts = Vec::new();
    for (group, rows) in groups.iter().enumerate() {
        for (place, primary) in [true, false].into_iter().enumerate() {
            let rows = rows.clone();
            let name = format!("s-{group}{place}");
            let host = Host::start(&name, primary, record, Box::new(move |text: &str, _| answer(&rows, text)))?;
            hosts.push((host, group as u32, primary));
        }
    }
    let entries: Vec<Entry> = hosts
        .iter()
        .map(|(host, group, writer)| Entry {
            name: &host.name, address: host.address, group: *group, status: "SERVING", writer: *writer, since_ms: 0,
        })
        .collect();
    let agent = Agent::start(&entries)?;
    let settings = settings("await");
    let options = ProxyOptions {
        root: &case.root, folder: &folder, name: "n0", discovery: agent.address, settings: &settings,
        operator: Some(OPERATOR), known: None, listen: None, tmpdir: None,
    };
    let mut proxy = Proxy::start(&options, record)?;
    proxy.wait_until_ready(Duration::from_secs(15))?;
    let limit = Duration::from_secs(3);
    let connect = || Client::connect(proxy.listen, limit).map_err(|e| format!("a client: {e}"));
    let mut client = connect()?;
    let mut missing = Vec::new();
    for key in (1..=KEYS).map(|key| -key) {
        let insert = format!("INSERT INTO entries (ref, payload) VALUES ({key}, 'value of {key}') RETURNING payload");
        let heard = client.query(&insert, limit).map_err(|e| format!("{insert}: {e}"))?;
        record.line(format!("client: {insert} -> {:?} {:?}", heard.tags, heard.errors));
        if heard.tags != ["INSERT 0 1"] {
            return Err(format!("{insert} was not served: {heard:?}"));
        }
        let select = if case.trouble {
            format!("SELECT payload FROM entries WHERE ref IN ({key})")
        } else {
            format!("SELECT payload FROM entries WHERE ref = {key}")
        };
        let heard = client.query(&select, limit).map_err(|e| format!("{select}: {e}"))?;
        record.line(format!("client: {select} -> {:?} {:?} {:?}", heard.rows, heard.tags, heard.errors));
        // What was refused or failed is no wrong answer.
        if heard.errors.is_empty() && heard.rows != [format!("value of {key}")] {
            missing.push(format!("{select} gave {:?}", heard.rows));
        }
    }
    Ok((!missing.is_empty()).then(|| format!("{} of {KEYS} committed rows were not found: {}", missing.len(), missing[0])))
}
