//! A client sends a plain write; its connection to the database host is reset after it has run.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const OPERATOR_FILE: &str = "{
  statements: {
    enabled: true,
    rules: [
      {name: 'reads', effects: ['read'], class: 'history', deadline_ms: 750, group: {constant: 0}},
      {name: 'writes', effects: ['write'], class: 'ingest', deadline_ms: 2000, group: {constant: 0}},
    ],
  },
}
";
const STATEMENT: &str = "UPDATE counters SET frames = frames + 1 WHERE night = '2026-11-30' RETURNING frames";

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let host_record = record.clone();
    let runs = Arc::new(Mutex::new(0u32));
    let host_runs = runs.clone();
    let trouble = run.trouble;
    let primary = start_host(true, move |text| {
        if text != STATEMENT.as_bytes() {
            return Act::Error("42601");
        }
        thread::sleep(Duration::from_millis(20));
        let mut runs = host_runs.lock().expect("lock");
        *runs += 1;
        host_record.line(format!("primary: has run and committed {STATEMENT:?}, frames is {runs}"));
        if trouble && *runs == 1 {
            host_record.line("primary: its connection is reset before the answer");
            return Act::Reset;
        }
        Act::Row(runs.to_string().into_bytes())
    })?;
    let replica = start_host(false, |_| Act::Error("42601"))?;
    let hosts = [("s-1", primary, true), ("s-2", replica, false)].map(|(name, address, primary)| Listed {
        name: name.into(),
        address,
        primary,
        group: 0,
    });
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let start = Start {
        known,
        settings: settings("retryable"),
        memory_mb: 192,
        sockets: 1024,
        operator_file: Some(OPERATOR_FILE),
    };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;
    let mut client = proxy.connect()?;
    record.line(format!("client: sends {STATEMENT:?} once"));
    client.write_all(&wire::query(STATEMENT))?;
    let answer = wire::read_answer(&mut client);
    match &answer {
        Ok(Answer::Served(value)) => {
            record.line(format!("client: served, frames is {}", String::from_utf8_lossy(value)))
        }
        Ok(Answer::Error(code)) => record.line(format!("client: error {code}")),
        Err(e) => record.line(format!("client: no answer: {e}")),
    }
    // What was sent again would have come by now.
    thread::sleep(Duration::from_millis(1_500));
    let runs = *runs.lock().expect("lock");
    record.line(format!("the write was sent by its client once, and has run {runs} times"));
    if let Some(status) = proxy.ended() {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    if runs > 1 {
        return Ok(Verdict::Broken(format!(
            "a plain write that may have run was sent again: it ran {runs} times"
        )));
    }
    if runs == 0 {
        return Err(io::Error::other("the write never ran"));
    }
    if answer.is_ok_and(|a| a.is_refusal()) {
        return Ok(Verdict::Broken("a plain write that ran was refused: trying again is harmless".into()));
    }
    Ok(Verdict::Held)
}
