//! A client sends two plain reads behind one another; the database host of the first one ends its connection inside a long row.
//! The second is owed its answer.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, BufReader, Write};
use std::thread;
use std::time::Duration;

const OPERATOR_FILE: &str = "{
  statements: {
    enabled: true,
    rules: [{name: 'reads', effects: ['read'], class: 'history', deadline_ms: 750, group: {constant: 0}}],
  },
}
";
const LONG_BYTES: usize = 300 * 1024;
const BROKEN_AT: usize = 200 * 1024;
const LONG: &str = "SELECT payload FROM entries WHERE ref = 'long'";
const SHORT: &str = "SELECT payload FROM entries WHERE ref = 'short'";

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let mut hosts = Vec::new();
    for member in 0..4 {
        let (trouble, host_record) = (run.trouble, record.clone());
        let address = start_host(member == 0, move |bytes| {
            thread::sleep(Duration::from_millis(50));
            if bytes == SHORT.as_bytes() {
                return Act::Row(b"short".to_vec());
            }
            if bytes != LONG.as_bytes() {
                return Act::Error("42601");
            }
            if trouble {
                host_record.line(format!("host {member}: ends its connection inside the row"));
                return Act::Broken(vec![b'x'; LONG_BYTES], BROKEN_AT);
            }
            Act::Row(vec![b'x'; LONG_BYTES])
        })?;
        hosts.push(Listed { name: format!("s-{member}"), address, primary: member == 0, group: 0 });
    }
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let start = Start {
        known,
        settings: settings("dedup"),
        memory_mb: 192,
        sockets: 1024,
        operator_file: Some(OPERATOR_FILE),
    };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;
    let mut stream = proxy.connect()?;
    let mut reader = BufReader::new(stream.try_clone()?);
    stream.write_all(&[wire::query(LONG), wire::query(SHORT)].concat())?;
    record.line("client: has sent a read of a long row and one of a short row");
    let mut answers = 0;
    for name in ["long", "short"] {
        match wire::read_answer(&mut reader) {
            Ok(Answer::Served(value)) => {
                record.line(format!("client: the {name} one is served, {} bytes", value.len()))
            }
            Ok(Answer::Error(code)) => {
                record.line(format!("client: the {name} one is answered by error {code}"))
            }
            Err(e) => {
                record.line(format!(
                    "client: the connection ends in the place of the {name} one's answer: {e}"
                ));
                break;
            }
        }
        answers += 1;
    }
    if let Some(status) = proxy.ended() {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    if answers < 2 {
        return Ok(Verdict::Broken(
            "the second read was written whole, and its connection ended with no answer".into(),
        ));
    }
    Ok(Verdict::Held)
}
