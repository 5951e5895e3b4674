//! Temporary state in plain statements: two clients at a time make a table of the same name in `pg_temp`, the schema of a
//! session's temporary tables, and read it. What they get has to be their own, or an error.

use crate::Case;
use crate::rig::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::Duration;

const ROUNDS: usize = 40;

/// All plain statements go to the primary.
const OPERATOR: &str = "{statements: {enabled: true, rules: [\
 {name: 'all', effects: ['read', 'write'], class: 'ingest', deadline_ms: 2000, group: {constant: 0}}]}}";

/// The temporary tables of each session, by connection and name.
type Tables = Mutex<BTreeMap<(u64, String), String>>;

/// Runs a statement as a database does whose temporary tables belong to their session.
fn answer(tables: &Tables, text: &str, session: u64) -> Reply {
    thread::sleep(Duration::from_millis(20));
    let words: Vec<&str> = text.split_whitespace().collect();
    let named = words.iter().position(|w| w.starts_with("pg_temp."));
    let Some(name) = named.map(|at| words[at].to_string()) else { return Reply::Error("42601", "not read here".into()) };
    let mut tables = tables.lock().unwrap();
    match words[0] {
        "CREATE" if tables.contains_key(&(session, name.clone())) => {
            Reply::Error("42P07", format!("{name} exists already"))
        }
        "CREATE" => {
            let value = text.split('\'').nth(1).unwrap_or("").to_string();
            tables.insert((session, name), value);
            Reply::Done("SELECT 1".into())
        }
        "SELECT" => match tables.get(&(session, name.clone())) {
            Some(value) => Reply::Rows(vec![value.clone()], "SELECT 1".into()),
            None => Reply::Error("42P01", format!("{name} does not exist")),
        },
        _ => Reply::Error("42601", "not read here".into()),
    }
}

pub fn run(case: &Case) -> Run<Option<String>> {
    let record = &case.record;
    let folder = Folder::create()?;
    let tables = Tables::default();
    let primary =
        Host::start("s-1", true, record, Box::new(move |text: &str, session| answer(&tables, text, session)))?;
    let agent = Agent::start(&[Entry {
        name: "s-1", address: primary.address, group: 0, status: "SERVING", writer: true, since_ms: 0,
    }])?;
    let settings = settings("await");
    let options = ProxyOptions {
        root: &case.root, folder: &folder, name: "n0", discovery: agent.address, settings: &settings,
        operator: Some(OPERATOR), known: None, listen: None, tmpdir: None,
    };
    let mut proxy = Proxy::start(&options, record)?;
    proxy.wait_until_ready(Duration::from_secs(15))?;
    let (listen, trouble) = (proxy.listen, case.trouble);
    let barrier = Arc::new(Barrier::new(2));
    let foreign: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = ["alice", "bob"]
        .into_iter()
        .map(|who| {
            let (barrier, foreign, record) = (barrier.clone(), foreign.clone(), record.clone());
            thread::spawn(move || -> Run<()> {
                let limit = Duration::from_secs(4);
                let mut client = Client::connect(listen, limit).map_err(|e| format!("{who}: {e}"))?;
                for round in 0..ROUNDS {
                    let table = format!("pg_temp.scratch_{round}");
                    let create = if trouble { format!("CREATE TABLE {table}") } else { format!("CREATE TEMP TABLE {table}") };
                    let create = format!("{create} AS SELECT '{who}' AS payload");
                    barrier.wait();
                    let heard = client.query(&create, limit).map_err(|e| format!("{create}: {e}"))?;
                    record.line(format!("{who}: {create} -> {:?} {:?}", heard.tags, heard.errors));
                    barrier.wait();
                    let select = format!("SELECT payload FROM {table}");
                    let heard = client.query(&select, limit).map_err(|e| format!("{select}: {e}"))?;
                    record.line(format!("{who}: {select} -> {:?} {:?}", heard.rows, heard.errors));
                    if heard.rows.iter().any(|row| row != who) {
                        foreign.lock().unwrap().push(format!("{who} got {:?} from {table}", heard.rows));
                    }
                }
                Ok(())
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client panicked".to_string())??;
    }
    let foreign = foreign.lock().unwrap();
    Ok((!foreign.is_empty())
        .then(|| format!("{} of {} reads gave another client's rows: {}", foreign.len(), 2 * ROUNDS, foreign[0])))
}
