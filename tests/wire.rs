//! The simulator's adapter as a process: valid batches are answered, and invalid input ends it with an error.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONF: &str = r#"{"balancers":1,"ordinal":0,"zone":0,"membershipMode":"pushed","unheardOf":7,
"classes":[{"deadlineUs":900000,"effect":"retryable","lateWorth":0.0,"sloUs":300000,"worth":1.0}],
"familyInfo":{"behind":"silent","classRead":["eventual"],"positions":true,"roleInList":"silent",
"stalenessBoundUs":[0],"writeMarks":"brought","zeroUs":5000},
"ceilings":{"mostTries":4,"mayProbe":false},
"loadInfo":{"fields":["x0","other","x1"]},
"safety":{"drainGraceUs":1000000,"startCapacity":0.3,"coldUs":9000000,"tipMultiple":3.0,
"overloadForUs":1000000,"askWithinUs":9000000}}"#;

/// Runs the adapter on this input, up to its exit.
fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sillfold-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all input, which some tests expect.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter ends")
}

/// A batch of records.
fn frame(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut out = (body.len() as u32).to_le_bytes().to_vec();
    out.extend(now.to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    out.extend(body);
    out
}

/// An ATTACH record, which starts an instance.
fn attach(instance_id: u32, conf: &[u8]) -> Vec<u8> {
    let mut out = vec![1];
    out.extend(instance_id.to_le_bytes());
    out.extend(42u64.to_le_bytes());
    out.extend((conf.len() as u32).to_le_bytes());
    out.extend(conf);
    out
}

/// A TABLE record with one ready host.
fn table(id: u16, host: u32) -> Vec<u8> {
    let mut out = vec![11];
    out.extend(id.to_le_bytes());
    out.extend(1u32.to_le_bytes());
    out.extend(host.to_le_bytes());
    out.extend([0, 0, 0, 0, 1]);
    out.extend(1.0f32.to_le_bytes());
    out.extend(0.0f32.to_le_bytes());
    out.extend(0u64.to_le_bytes());
    out
}

/// A DISCOVERY record with the cached list.
fn discovery(instance_id: u32, table: u16) -> Vec<u8> {
    let mut out = vec![2];
    out.extend(instance_id.to_le_bytes());
    out.push(2);
    out.extend(1u32.to_le_bytes());
    out.extend(table.to_le_bytes());
    out
}

/// A WORK_ITEM record: a read that the client gives up at this time.
fn work(instance_id: u32, ticket: u32, give_up_at_us: u64) -> Vec<u8> {
    let mut out = vec![3];
    out.extend(instance_id.to_le_bytes());
    out.extend(ticket.to_le_bytes());
    out.push(0);
    out.extend([0; 12]);
    out.extend(give_up_at_us.to_le_bytes());
    out.extend([0; 4]);
    out.extend(0.0f32.to_le_bytes());
    out.extend(0.0f32.to_le_bytes());
    out.push(0);
    out
}

/// The host in a reply's CALL_OUT record for this ticket, if there is one.
fn called_host(reply: &[u8], instance_id: u32, ticket: u32) -> Option<u32> {
    let mut record_start = vec![1];
    record_start.extend(instance_id.to_le_bytes());
    record_start.extend(ticket.to_le_bytes());
    let at = reply.windows(9).position(|w| w == record_start)?;
    Some(u32::from_le_bytes(reply[at + 9..at + 13].try_into().ok()?))
}

/// Checks that the adapter exits with one line of error that contains this text, and without a reply.
fn assert_fails_with(input: &[u8], expected: &str) {
    let out = run_adapter(input);
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success(), "{text}");
    assert!(out.stdout.is_empty(), "no partial reply");
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains(expected), "{text:?} should contain {expected:?}");
}

#[test]
fn empty_batches_are_answered_and_the_end_of_input_is_no_error() {
    let out = run_adapter(&[frame(9, &[]), frame(10, &[])].concat());
    assert!(out.status.success());
    assert_eq!(out.stdout, [0; 8]);
}

#[test]
fn a_request_is_sent_to_the_listed_host() {
    let now = 1_000_000u64;
    let records = [attach(3, CONF.as_bytes()), table(0, 77), discovery(3, 0), work(3, 5, now + 900_000)];
    let out = run_adapter(&frame(now, &records));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert_eq!(called_host(&out.stdout, 3, 5), Some(77));
}

#[test]
fn table_ids_refer_to_the_latest_table_before_the_event() {
    let now = 1_000_000u64;
    let records = [
        attach(1, CONF.as_bytes()),
        attach(2, CONF.as_bytes()),
        table(0, 77),
        discovery(1, 0),
        table(0, 88),
        discovery(2, 0),
        work(1, 5, now + 900_000),
        work(2, 6, now + 900_000),
    ];
    let out = run_adapter(&frame(now, &records));
    assert_eq!(called_host(&out.stdout, 1, 5), Some(77));
    assert_eq!(called_host(&out.stdout, 2, 6), Some(88));
}

#[test]
fn an_instance_restarted_within_a_batch_has_no_earlier_state() {
    let now = 1_000_000u64;
    let mut kill = vec![10];
    kill.extend(3u32.to_le_bytes());
    let first = [attach(3, CONF.as_bytes()), table(0, 77), discovery(3, 0), work(3, 5, now + 900_000)];
    let second = [kill, attach(3, CONF.as_bytes()), table(1, 88), discovery(3, 1), work(3, 6, now + 900_000)];
    let out = run_adapter(&[frame(now, &first), frame(now + 5_000, &second)].concat());
    assert!(out.status.success());
    assert_eq!(called_host(&out.stdout, 3, 6), Some(88));
}

#[test]
fn errors_for_invalid_frames_say_what_is_wrong() {
    assert_fails_with(&[1, 0, 0], "truncated");
    assert_fails_with(&frame(1, &[vec![99, 0, 0, 0, 0]]), "record code 99");
    let mut short = frame(1, &[attach(1, CONF.as_bytes())]);
    short.pop();
    assert_fails_with(&short, "truncated");
    let mut long = frame(1, &[vec![10, 1, 0, 0, 0]]);
    long[12] = 0;
    assert_fails_with(&long, "bytes left");
    assert_fails_with(&frame(1, &[vec![7, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]]), "unknown instance 1");
}

#[test]
fn errors_for_invalid_settings_name_the_key_or_value() {
    assert_fails_with(&frame(1, &[attach(1, &[0xff, 0xfe])]), "UTF-8");
    assert_fails_with(&frame(1, &[attach(1, b"{\"balancers\":")]), "settings");
    assert_fails_with(&frame(1, &[attach(1, CONF.replace("\"coldUs\":9000000,", "").as_bytes())]), "coldUs");
    assert_fails_with(&frame(1, &[attach(1, CONF.replace("retryable", "maybe").as_bytes())]), "maybe");
}
