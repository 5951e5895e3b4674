//! A client that has two requests open at any time asks a proxy that is drained. At 4 s its connection must not be in use.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, BufReader, Write};
use std::thread;
use std::time::{Duration, Instant};

const WORK: Duration = Duration::from_millis(50);

fn read(number: usize) -> Vec<u8> {
    wire::query(format!(
        "/* id=5a{number:016x},c=history,d=750,cluster=0 */ SELECT payload FROM entries WHERE ref = 'x'"
    ))
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let mut hosts = Vec::new();
    for member in 0..5 {
        let address = start_host(member == 0, |_| {
            thread::sleep(WORK);
            Act::Row(b"x".to_vec())
        })?;
        hosts.push(Listed { name: format!("s-{member}"), address, primary: member == 0, group: 0 });
    }
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let start =
        Start { known, settings: settings("dedup"), memory_mb: 192, sockets: 1024, operator_file: None };
    let proxy = Proxy::start(&run.folder, record, agent, start)?;
    let mut stream = proxy.connect()?;
    let mut reader = BufReader::new(stream.try_clone()?);
    stream.write_all(&read(0))?;
    let mut sent = 1;
    if run.trouble {
        // The second request is always half an answer behind the first.
        thread::sleep(WORK / 2);
        stream.write_all(&read(1))?;
        sent = 2;
    }
    record.line(format!("operator: drain/start is answered {}", proxy.call("POST", "/ops/drain/start")?));
    let drained = Instant::now();
    while drained.elapsed() < Duration::from_secs(5) {
        let answer = match wire::read_answer(&mut reader) {
            Ok(answer) => answer,
            Err(e) => {
                record.line(format!("client: the connection has ended behind {sent} requests: {e}"));
                return Ok(Verdict::Held);
            }
        };
        if sent % 20 == 0 {
            let what = if matches!(answer, Answer::Served(_)) { "served" } else { "not served" };
            record.line(format!("client: of {sent} requests another one is answered, {what}"));
        }
        if stream.write_all(&read(sent)).is_err() {
            record.line("client: the connection has ended");
            return Ok(Verdict::Held);
        }
        sent += 1;
    }
    Ok(Verdict::Broken(
        "5 s behind the call to drain, the client's connection still has its requests served".into(),
    ))
}
