//! A client sends four writes with long values behind one another. Each that was written whole is owed an answer.

use crate::stand::{Act, Listed, Proxy, Start, list, settings, short, start_agent, start_host};
use crate::wire::{self, Answer};
use crate::{Run, Verdict};
use std::io::{self, BufReader, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const WRITES: usize = 4;
/// The length of each value.
const VALUE_BYTES: usize = 1 << 20;
/// The work of a write at its host; the site has 64 to 110 ms.
const WORK: Duration = Duration::from_millis(100);

fn statement(number: usize) -> String {
    let hex = format!("{:02x}", 0x10 + number).repeat(VALUE_BYTES);
    format!(
        "/* id=4e5a00000000{number:04x},c=ingest,d=2000,k=7c00{number:012x},cluster=0 */ INSERT INTO entries (ref, payload) \
         VALUES ('7f3a9c21e0b4{number:04x}', '\\x{hex}') RETURNING payload"
    )
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let host_record = record.clone();
    let committed = Arc::new(Mutex::new(Vec::new()));
    let host_committed = committed.clone();
    let primary = start_host(true, move |bytes| {
        let text = std::str::from_utf8(bytes).unwrap_or("");
        host_record.line(format!("primary: begins {}", short(bytes)));
        thread::sleep(WORK);
        let number =
            text.split("id=4e5a00000000").nth(1).and_then(|t| usize::from_str_radix(t.get(..4)?, 16).ok());
        let Some(number) = number.filter(|n| *n < WRITES) else { return Act::Error("08P01") };
        if text.len() != statement(number).len() {
            return Act::Error("08P01");
        }
        host_committed.lock().expect("lock").push(number);
        host_record.line(format!("primary: has committed write {number}"));
        Act::Row(vec![0x10 + number as u8; VALUE_BYTES])
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
    let start =
        Start { known, settings: settings("dedup"), memory_mb: 192, sockets: 1024, operator_file: None };
    let mut proxy = Proxy::start(&run.folder, record, agent, start)?;

    let stream = proxy.connect()?;
    let written = Arc::new(AtomicUsize::new(0));
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut answers: Vec<Answer> = Vec::new();
    let read_one = |reader: &mut BufReader<_>, answers: &mut Vec<Answer>| match wire::read_answer(reader) {
        Ok(answer) => {
            let what = match &answer {
                Answer::Served(value) => format!("served, {} bytes", value.len()),
                Answer::Error(code) => format!("error {code}"),
            };
            record.line(format!("client: answer {} is {what}", answers.len()));
            answers.push(answer);
            true
        }
        Err(e) => {
            record.line(format!("client: the connection has ended, or nothing came for 30 s: {e}"));
            false
        }
    };
    let write_one = |writer: &mut std::net::TcpStream, number: usize| {
        let result = writer.write_all(&wire::query(&statement(number)));
        match &result {
            Ok(()) => record.line(format!("client: has written write {number}, up to its last byte")),
            Err(e) => record.line(format!("client: cannot write write {number}: {e}")),
        }
        result
    };
    if run.trouble {
        // All behind one another; a client reads while it writes.
        thread::scope(|scope| {
            let written = written.clone();
            scope.spawn(move || {
                for number in 0..WRITES {
                    if write_one(&mut writer, number).is_err() {
                        return;
                    }
                    written.fetch_add(1, Ordering::SeqCst);
                }
            });
            while answers.len() < WRITES && read_one(&mut reader, &mut answers) {}
            let _ = stream.shutdown(std::net::Shutdown::Both);
        });
    } else {
        for number in 0..WRITES {
            write_one(&mut writer, number)?;
            written.fetch_add(1, Ordering::SeqCst);
            if !read_one(&mut reader, &mut answers) {
                break;
            }
        }
    }
    let written = written.load(Ordering::SeqCst);
    let committed = committed.lock().expect("lock").clone();
    record.line(format!("{written} written whole, {} answered, committed: {committed:?}", answers.len()));
    if let Some(status) = proxy.ended() {
        return Ok(Verdict::Broken(format!("the proxy ended by itself: {status}")));
    }
    for (number, answer) in answers.iter().enumerate() {
        if let Answer::Served(value) = answer
            && *value != vec![0x10 + number as u8; VALUE_BYTES]
        {
            return Ok(Verdict::Broken(format!("answer {number} holds another value")));
        }
    }
    if answers.len() < written {
        let lost = written - answers.len();
        return Ok(Verdict::Broken(format!(
            "the proxy ended the connection with {lost} of {written} requests unanswered that were written whole"
        )));
    }
    if written == 0 {
        return Err(io::Error::other("nothing was written"));
    }
    Ok(Verdict::Held)
}
