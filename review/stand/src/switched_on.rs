//! The operator switches plain statements on by SIGHUP while a client's session is open. The session's write belongs to the
//! group that the rules give to the database of its startup message.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const STATEMENT: &str = "INSERT INTO entries (ref, payload) VALUES ('frame-0071', 'x') RETURNING payload";

/// The operator's file: what comes from the database `school` belongs to group 1, all else to group 0.
fn operator_file(enabled: bool) -> String {
    format!(
        "{{
  statements: {{
    enabled: {enabled},
    rules: [
      {{name: 'school reads', effects: ['read'], databases: ['school'], class: 'history', deadline_ms: 750, group: {{constant: 1}}}},
      {{name: 'school writes', effects: ['write'], databases: ['school'], class: 'ingest', deadline_ms: 2000, group: {{constant: 1}}}},
      {{name: 'other reads', effects: ['read'], class: 'history', deadline_ms: 750, group: {{constant: 0}}}},
      {{name: 'other writes', effects: ['write'], class: 'ingest', deadline_ms: 2000, group: {{constant: 0}}}},
    ],
  }},
}}
"
    )
}

fn ask(client: &mut TcpStream) -> io::Result<Answer> {
    client.write_all(&wire::query(STATEMENT))?;
    wire::read_answer(client)
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let committed: Arc<Mutex<Vec<u32>>> = Arc::default();
    let mut hosts = Vec::new();
    for group in 0..2 {
        for primary in [true, false] {
            let (committed, host_record) = (committed.clone(), record.clone());
            let address = start_host(primary, move |bytes| {
                if bytes != STATEMENT.as_bytes() {
                    return Act::Error("42601");
                }
                host_record.line(format!("primary of group {group}: has committed {STATEMENT:?}"));
                committed.lock().expect("lock").push(group);
                Act::Row(b"x".to_vec())
            })?;
            hosts.push(Listed { name: format!("s-{group}-{}", u8::from(primary)), address, primary, group });
        }
    }
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let before = operator_file(!run.trouble);
    let start = Start {
        known,
        settings: settings("dedup"),
        memory_mb: 192,
        sockets: 1024,
        operator_file: Some(&before),
    };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;
    let mut client = proxy.connect_to("school")?;
    record.line("client: its startup message names the database school");
    if run.trouble {
        let answer = ask(&mut client)?;
        record.line(format!("client: its plain write is answered {answer:?} while plain statements are off"));
        thread::sleep(Duration::from_millis(1_100));
        proxy.replace_operator_file(&operator_file(true))?;
        record.line("operator: has switched plain statements on, and sent SIGHUP");
    }
    let until = Instant::now() + Duration::from_secs(5);
    let answer = loop {
        thread::sleep(Duration::from_millis(200));
        let answer = ask(&mut client)?;
        record.line(format!("client: its plain write is answered {answer:?}"));
        if matches!(answer, Answer::Served(_)) || Instant::now() > until {
            break answer;
        }
    };
    if let Some(status) = proxy.ended() {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    let committed = committed.lock().expect("lock").clone();
    record.line(format!("committed in groups {committed:?}"));
    if committed.iter().any(|group| *group != 1) {
        return Ok(Verdict::Broken(
            "a write of the database school, whose group is 1, was served and committed in group 0".into(),
        ));
    }
    if !matches!(answer, Answer::Served(_)) {
        return Err(io::Error::other("the write was not served"));
    }
    Ok(Verdict::Held)
}
