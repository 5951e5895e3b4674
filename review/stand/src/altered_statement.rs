//! A client sends a write with a long value whose reference is not UTF-8. What reaches the database host has to be what the
//! client sent, or nothing.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, short, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The length of the value, over the 64 KiB beyond which values are long.
const VALUE_BYTES: usize = 200 * 1024;

fn statement(reference: &[u8]) -> Vec<u8> {
    let mut out = b"/* id=4e5a000000000001,c=ingest,d=2000,k=7c00000000000001,cluster=0 */ \
                    INSERT INTO entries (ref, payload) VALUES ('"
        .to_vec();
    out.extend(reference);
    out.extend(b"', '\\x");
    out.extend("5a".repeat(VALUE_BYTES).bytes());
    out.extend(b"') RETURNING payload");
    out
}

/// The reference in a statement: its first quoted literal.
fn reference_in(statement: &[u8]) -> Vec<u8> {
    statement.split(|b| *b == b'\'').nth(1).unwrap_or(&[]).to_vec()
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    // "frame-é-0071": its fifth letter in Latin-1, which is not UTF-8, or in UTF-8.
    let reference: &[u8] = if run.trouble { b"frame-\xe9-0071" } else { b"frame-\xc3\xa9-0071" };
    let sent = statement(reference);
    let received = Arc::new(Mutex::new(Vec::new()));
    let (host_received, host_record) = (received.clone(), record.clone());
    let primary = start_host(true, move |bytes| {
        thread::sleep(Duration::from_millis(70));
        host_record.line(format!("primary: has committed {}", short(bytes)));
        host_received.lock().expect("lock").push(bytes.to_vec());
        Act::Row(vec![0x5a; VALUE_BYTES])
    })?;
    let replica = start_host(false, |_| Act::Error("08P01"))?;
    let hosts = [("s-1", primary, true), ("s-2", replica, false)].map(|(name, address, primary)| Listed {
        name: name.into(),
        address,
        primary,
        group: 0,
    });
    let known = list(&hosts);
    let agent = start_agent(known.clone())?;
    let settings = settings("dedup");
    let start = Start { known, settings, memory_mb: 192, sockets: 1024, operator_file: None };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;
    let mut client = proxy.connect()?;
    record.line(format!("client: sends {}", short(&sent)));
    client.write_all(&wire::query(&sent))?;
    let answer = wire::read_answer(&mut client);
    match &answer {
        Ok(Answer::Served(value)) => record.line(format!("client: served, {} bytes", value.len())),
        Ok(Answer::Error(code)) => record.line(format!("client: error {code}")),
        Err(e) => record.line(format!("client: no answer: {e}")),
    }
    if let Some(status) = proxy.ended() {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    let received = received.lock().expect("lock").clone();
    let foreign = received.iter().find(|r| reference_in(r) != reference);
    if let Some(foreign) = foreign {
        return Ok(Verdict::Broken(format!(
            "the primary has committed a write that nobody sent: its reference is {}, the client's was {}; the client was {}",
            reference_in(foreign).escape_ascii(),
            reference.escape_ascii(),
            if matches!(answer, Ok(Answer::Served(_))) { "served" } else { "not served" },
        )));
    }
    if !run.trouble && received.is_empty() {
        return Err(io::Error::other("the write never ran"));
    }
    Ok(Verdict::Held)
}
