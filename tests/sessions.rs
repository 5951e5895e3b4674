//! Tests that the reads of a session see its writes, where replicas answer from the data they have and the
//! proxy tracks the writes. Each test forces one interleaving of a write, a read and a connection on real
//! sockets; `docs/crossings.md` lists them. The proxy draws its random numbers from the seed `1f` in its
//! configuration.
//!
//! In each group, one unanswered write of an unrelated session keeps the primary busy, so that reads prefer a
//! replica wherever the rules allow one. The replicas keep the position that they had just after the start of
//! the proxy.

mod support;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The session whose reads must see its writes.
const SESSION: &str = "7f";
/// A session whose writes no test reads.
const UNRELATED_SESSION: &str = "c0";
/// A session that has written nothing.
const READ_ONLY_SESSION: &str = "e1";

/// The client deadline of requests that must not run out of time.
const LONG_DEADLINE_MS: u32 = 20_000;
/// The time for a prompt reaction, well under `LONG_DEADLINE_MS`.
const PROMPT_REACTION: Duration = Duration::from_secs(5);

/// The bound of the bounded reads, as in the settings.
const STALENESS_BOUND_MS: u64 = 800;
/// Two steps of the decision module. In each step it measures the age of outstanding attempts.
const TWO_STEPS_MS: u64 = 20;
/// The concurrency limit of a host of which the proxy knows little.
const INITIAL_CONCURRENCY: usize = 4;

/// Settings with a session class, replicas that do not check positions, and a proxy that tracks writes.
fn tracking_config(config: String) -> String {
    let changes = [
        ("\"behind\":\"await\"", "\"behind\":\"silent\""),
        ("\"positions\":false", "\"positions\":true"),
        ("\"writeMarks\":\"brought\"", "\"writeMarks\":\"kept\""),
        ("\"lag_bound\",\"eventual\",\"mutate\"", "\"lag_bound\",\"eventual\",\"mutate\",\"causal\""),
        ("[800000,0,0]", "[800000,0,0,0]"),
        ("\"dialTimeoutUs\":1500000", "\"dialTimeoutUs\":19000000"),
        (
            "\"sloUs\":1600000,\"worth\":4.0}",
            "\"sloUs\":1600000,\"worth\":4.0},{\"name\":\"profile\",\"deadlineUs\":20000000,\
             \"effect\":\"retryable\",\"lateWorth\":0.9,\"sloUs\":9000000,\"worth\":3.0}",
        ),
    ];
    changes.into_iter().fold(add_console(config), |config, (from, to)| {
        assert!(config.contains(from), "{from}");
        config.replace(from, to)
    })
}

/// The settings of `tracking_config`, with one attempt per request.
fn one_attempt_config(config: String) -> String {
    tracking_config(config).replace("\"mostTries\":10", "\"mostTries\":1")
}

/// A statement with the leading comment that names its id, class and client deadline.
fn statement(id: &str, class: &str, deadline_ms: u32, sql: &str) -> String {
    format!("/* id={id},c={class},d={deadline_ms},cluster=3 */ {sql}")
}

/// A read that must see the writes of `session`.
fn session_read(id: &str, session: &str) -> String {
    let sql = format!("SELECT payload FROM entries WHERE ref = '{session}'");
    statement(id, "profile", LONG_DEADLINE_MS, &sql)
}

/// A read of any data.
fn any_read(id: &str) -> String {
    let sql = format!("SELECT payload FROM entries WHERE ref = '{READ_ONLY_SESSION}'");
    statement(id, "history", LONG_DEADLINE_MS, &sql)
}

/// A read within `STALENESS_BOUND_MS`.
fn bounded_read(id: &str, deadline_ms: u32) -> String {
    let sql = format!("SELECT payload FROM entries WHERE ref = '{READ_ONLY_SESSION}'");
    statement(id, "browse", deadline_ms, &sql)
}

/// A write of `session` with a deduplication key.
fn write(id: &str, session: &str, deadline_ms: u32) -> String {
    let sql = format!("INSERT INTO entries VALUES ('{session}', '1') RETURNING payload");
    let comment = format!("/* id={id},c=ingest,d={deadline_ms},k=5c0f{id},cluster=3 */");
    format!("{comment} {sql}")
}

/// A host that reports the writer role and always the present position.
fn primary() -> ScriptedHost {
    let position = HostPosition::Now;
    ScriptedHost::start(HostState { value: "primary", role: HostRole::Writer, position })
}

/// A host that reports the reader role and the position of its start, and answers reads with `value`.
fn replica(value: &'static str) -> ScriptedHost {
    let position = HostPosition::UnixMs(unix_ms());
    ScriptedHost::start(HostState { value, role: HostRole::Reader, position })
}

/// The complete answer of the primary to a write that commits now.
fn committed(primary: &ScriptedHost) -> Reply {
    Reply::Bytes(primary.state().answer().complete())
}

/// A request without an answer, and the sender of the host's reply.
struct Unanswered {
    client: Client,
    reply: Sender<Reply>,
}

/// A proxy and a group of hosts whose roles and positions it knows.
struct Group {
    proxy: Proxy,
    primary: ScriptedHost,
    replicas: Vec<ScriptedHost>,
    /// Unanswered writes that keep the primary busy.
    busy_writes: Vec<Unanswered>,
    /// The number of reads so far that made replicas report; it makes their ids unique.
    report_reads: Cell<usize>,
}

impl Group {
    /// Starts a proxy and its hosts. The proxy learns the role and position of each host, and the primary is
    /// busy.
    fn start(replica_names: &[&'static str], change: impl Fn(String) -> String) -> Group {
        let (primary, replicas) = (primary(), replica_names.iter().map(|&name| replica(name)));
        let replicas: Vec<ScriptedHost> = replicas.collect();
        let hosts: Vec<&Host> =
            [&primary].into_iter().chain(&replicas).map(|scripted| &scripted.host).collect();
        let proxy = Proxy::start_with(&hosts, 1024, change);
        // What was written before the proxy started binds every session. The replicas have that, and nothing
        // later.
        wait_until_after(unix_ms());
        let position = unix_ms();
        replicas.iter().for_each(|replica| replica.set_position(HostPosition::UnixMs(position)));
        wait_until_after(position);
        let mut group =
            Group { proxy, primary, replicas, busy_writes: Vec::new(), report_reads: Cell::new(0) };
        assert_eq!(
            group.execute(&write("teach", UNRELATED_SESSION, LONG_DEADLINE_MS)).value.as_deref(),
            Some("primary")
        );
        group.occupy_primary();
        group.make_replicas_report();
        // After this wait the busy primary looks slower than any replica, however long the first answers
        // took.
        wait_until_after(unix_ms() + TWO_STEPS_MS);
        group
    }

    /// The first replica.
    fn replica(&self) -> &ScriptedHost {
        &self.replicas[0]
    }

    /// Sends a statement on a new connection and waits for the answer.
    fn execute(&self, statement: &str) -> Answer {
        self.proxy.client().query(statement)
    }

    /// Sends a statement on a new connection.
    fn send(&self, statement: &str) -> Client {
        let mut client = self.proxy.client();
        client.send(&query(statement));
        client
    }

    /// Sends one more write of an unrelated session to the primary, which does not answer it yet.
    fn occupy_primary(&mut self) {
        let id = format!("busy-{}", self.busy_writes.len());
        let reply = self.primary.hold(&id);
        let client = self.send(&write(&id, UNRELATED_SESSION, 60_000));
        self.primary.wait_for_statement(&id);
        self.busy_writes.push(Unanswered { client, reply });
    }

    /// Answers one of the writes that keep the primary busy.
    fn free_primary(&mut self) {
        let mut freed_write = self.busy_writes.pop().expect("an unanswered write");
        freed_write.reply.send(committed(&self.primary)).expect("the host waits");
        assert_eq!(freed_write.client.answer().value.as_deref(), Some("primary"));
    }

    /// Sends reads of any data until every replica has one, and then answers them all, so that each replica
    /// reports its role and position. While the answers wait, the concurrency limits make the reads reach
    /// every host.
    fn make_replicas_report(&self) {
        let hosts: Vec<&ScriptedHost> = self.replicas.iter().chain([&self.primary]).collect();
        let mut without_read: BTreeSet<usize> = (0..self.replicas.len()).collect();
        let mut unanswered = Vec::new();
        while !without_read.is_empty() {
            self.report_reads.set(self.report_reads.get() + 1);
            let id = format!("report-{}", self.report_reads.get());
            let replies: Vec<Sender<Reply>> = hosts.iter().map(|host| host.hold(&id)).collect();
            let client = self.send(&any_read(&id));
            let number = first_to_receive(&hosts, &id);
            without_read.remove(&number);
            unanswered.push((number, Unanswered { client, reply: replies[number].clone() }));
        }
        for (number, mut read) in unanswered {
            let answer = hosts[number].state().answer();
            read.reply.send(Reply::Bytes(answer.complete())).expect("the host waits");
            assert_eq!(read.client.answer().value.as_deref(), Some(answer.value));
        }
    }

    /// Closes the proxy's connection to the replica. The replica gives the next connection no session until
    /// the test calls `release_sessions`.
    fn hold_sessions_at_replica(&self) {
        let replica = self.replica();
        let answer = replica.state().answer();
        replica.reply("last", Reply::Close(answer.complete()));
        assert_eq!(
            self.execute(&session_read("last", READ_ONLY_SESSION)).value.as_deref(),
            Some(answer.value)
        );
        while replica.host.next_event() != HostEvent::Closed {}
        replica.host.hold_sessions();
    }

    /// Sends a read for which the proxy opens a connection to the replica; that connection gets no session
    /// yet.
    fn send_and_dial_replica(&self, statement: &str) -> Client {
        let client = self.send(statement);
        assert_eq!(self.replica().host.next_event(), HostEvent::Opened);
        client
    }

    /// Asserts that the primary served the read and that no replica saw it.
    fn assert_served_by_primary(&self, id: &str, answer: &Answer) {
        assert_eq!(answer.value.as_deref(), Some("primary"), "{answer:?}");
        for replica in &self.replicas {
            self.assert_not_received(id, &replica.take_events());
        }
    }

    /// Asserts that the statement with this id is not among the events of a host.
    fn assert_not_received(&self, id: &str, seen: &[HostEvent]) {
        let query =
            seen.iter().find(|event| matches!(event, HostEvent::Query(text) if request_id(text) == id));
        assert_eq!(query, None);
    }

    /// Asserts that the primary serves the session's next read.
    fn assert_next_read_sees_the_write(&self) {
        let answer = self.execute(&session_read("after", SESSION));
        self.assert_served_by_primary("after", &answer);
    }

    /// Asserts that the connection that was established late serves the next read that may go to the replica,
    /// that the proxy opens no other one, and that the statement `never_written` never reached the replica.
    fn assert_late_connection_serves(&self, never_written: &str) {
        let answer = self.execute(&session_read("reuses", READ_ONLY_SESSION));
        assert_eq!(answer.value.as_deref(), Some(self.replica().state().value), "{answer:?}");
        let seen = self.replica().take_events();
        self.assert_not_received(never_written, &seen);
        assert!(!seen.contains(&HostEvent::Opened), "{seen:?}");
    }
}

/// The host sends nothing after CommandComplete and keeps the connection open.
#[test]
fn a_write_whose_answer_stops_after_command_complete_is_answered_promptly_and_seen() {
    let group = Group::start(&["replica"], tracking_config);
    let incomplete = group.primary.state().answer().up_to_completion();
    group.primary.reply("cut", Reply::Bytes(incomplete));
    let begun = Instant::now();
    let answer = group.execute(&write("cut", SESSION, LONG_DEADLINE_MS));
    assert_eq!((answer.value.as_deref(), answer.end), (Some("primary"), End::Ready), "{}", answer.message);
    assert!(begun.elapsed() < PROMPT_REACTION, "after {:?}", begun.elapsed());
    // The proxy closes the connection, so that late bytes cannot answer another request.
    while group.primary.host.next_event() != HostEvent::Closed {}
    group.assert_next_read_sees_the_write();
}

/// The write arrives first and is held until the primary has a free slot. It is sent and answered while the
/// read waits for its connection.
#[test]
fn a_read_waiting_for_its_connection_sees_an_earlier_write_answered_meanwhile() {
    let mut group = Group::start(&["replica"], tracking_config);
    group.hold_sessions_at_replica();
    while group.busy_writes.len() < INITIAL_CONCURRENCY {
        group.occupy_primary();
    }
    let mut writer = group.send(&write("held", SESSION, LONG_DEADLINE_MS));
    group.proxy.wait_for_open_requests(INITIAL_CONCURRENCY as u64 + 1);
    let mut reader = group.send_and_dial_replica(&session_read("dialling", SESSION));
    group.free_primary();
    assert_eq!(writer.answer().value.as_deref(), Some("primary"));
    group.replica().host.release_sessions();
    group.assert_served_by_primary("dialling", &reader.answer());
    group.assert_late_connection_serves("dialling");
}

/// The read is sent before its session writes.
#[test]
fn a_read_waiting_for_its_connection_sees_a_write_that_begins_and_ends_meanwhile() {
    let group = Group::start(&["replica"], tracking_config);
    group.hold_sessions_at_replica();
    let mut reader = group.send_and_dial_replica(&session_read("dialling", SESSION));
    let answer = group.execute(&write("late", SESSION, LONG_DEADLINE_MS));
    assert_eq!(answer.value.as_deref(), Some("primary"), "{answer:?}");
    group.replica().host.release_sessions();
    group.assert_served_by_primary("dialling", &reader.answer());
    group.assert_late_connection_serves("dialling");
}

/// Every slot is in use when the read arrives. Its session's write is answered, and other writes take the
/// slots that this frees at the primary; then a slot at the replica becomes free.
#[test]
fn a_held_read_sees_a_write_answered_meanwhile() {
    let mut group = Group::start(&["replica"], tracking_config);
    while group.busy_writes.len() < INITIAL_CONCURRENCY - 1 {
        group.occupy_primary();
    }
    let own = group.primary.hold("own");
    let mut writer = group.send(&write("own", SESSION, LONG_DEADLINE_MS));
    group.primary.wait_for_statement("own");
    let mut reads_at_replica = Vec::new();
    for n in 0..INITIAL_CONCURRENCY {
        let id = format!("place-{n}");
        let reply = group.replica().hold(&id);
        let client = group.send(&session_read(&id, READ_ONLY_SESSION));
        group.replica().wait_for_statement(&id);
        reads_at_replica.push(Unanswered { client, reply });
    }
    let next_writes: Vec<Unanswered> = ["next-0", "next-1"]
        .map(|id| {
            let reply = group.primary.hold(id);
            Unanswered { client: group.send(&write(id, UNRELATED_SESSION, LONG_DEADLINE_MS)), reply }
        })
        .into();
    group.proxy.wait_for_open_requests(2 * INITIAL_CONCURRENCY as u64 + 2);
    let mut reader = group.send(&session_read("held", SESSION));
    group.proxy.wait_for_open_requests(2 * INITIAL_CONCURRENCY as u64 + 3);
    own.send(committed(&group.primary)).expect("the host waits");
    assert_eq!(writer.answer().value.as_deref(), Some("primary"));
    for _ in &next_writes {
        assert!(request_id(&group.primary.host.next_query()).starts_with("next-"));
    }
    let mut answered_read = reads_at_replica.pop().expect("four reads");
    answered_read
        .reply
        .send(Reply::Bytes(group.replica().state().answer().complete()))
        .expect("the host waits");
    assert_eq!(answered_read.client.answer().value.as_deref(), Some("replica"));
    for mut answered_write in next_writes {
        answered_write.reply.send(committed(&group.primary)).expect("the host waits");
        assert_eq!(answered_write.client.answer().value.as_deref(), Some("primary"));
    }
    group.assert_served_by_primary("held", &reader.answer());
}

/// The read's first attempt fails at one replica after its session's write is answered. The retry goes to the
/// primary, although the other replica would answer it.
fn retry_sees_the_write(failure: Reply) {
    let group = Group::start(&["replica-1", "replica-2"], tracking_config);
    let held = [0, 1].map(|n: usize| group.replicas[n].hold("repeated"));
    let mut reader = group.send(&session_read("repeated", SESSION));
    let first = first_to_receive(&[&group.replicas[0], &group.replicas[1]], "repeated");
    // The other replica would answer.
    let other = &group.replicas[1 - first];
    held[1 - first].send(Reply::Bytes(other.state().answer().complete())).expect("kept");
    let answer = group.execute(&write("between", SESSION, LONG_DEADLINE_MS));
    assert_eq!(answer.value.as_deref(), Some("primary"), "{answer:?}");
    held[first].send(failure).expect("the host waits");
    let answer = reader.answer();
    assert_eq!(answer.value.as_deref(), Some("primary"), "{answer:?}");
    group.assert_not_received("repeated", &other.take_events());
}

/// The index of the host that receives the statement with this id first.
fn first_to_receive(hosts: &[&ScriptedHost], id: &str) -> usize {
    let begun = Instant::now();
    while begun.elapsed() < TEST_TIMEOUT {
        for (n, host) in hosts.iter().enumerate() {
            let seen = host.take_events();
            if seen.iter().any(|event| matches!(event, HostEvent::Query(text) if request_id(text) == id)) {
                return n;
            }
        }
        thread::yield_now();
    }
    panic!("no host sees {id}");
}

#[test]
fn the_retry_of_a_read_that_failed_sees_a_write_answered_meanwhile() {
    retry_sees_the_write(Reply::Error("XX000"));
}

#[test]
fn the_retry_of_a_read_that_was_reset_sees_a_write_answered_meanwhile() {
    retry_sees_the_write(Reply::Close(Vec::new()));
}

#[test]
fn a_write_whose_client_disconnected_binds_the_next_read() {
    let group = Group::start(&["replica"], tracking_config);
    group.primary.reply("left", Reply::NoAnswer);
    let writer = group.send(&write("left", SESSION, LONG_DEADLINE_MS));
    group.primary.wait_for_statement("left");
    drop(writer);
    while group.primary.host.next_event() != HostEvent::Closed {}
    group.assert_next_read_sees_the_write();
}

/// The proxy finds the answer and the end of the client's connection at the same time.
#[test]
fn a_write_whose_client_disconnected_as_the_answer_arrived_binds_the_next_read() {
    let group = Group::start(&["replica"], tracking_config);
    let reply = group.primary.hold("left");
    let writer = group.send(&write("left", SESSION, LONG_DEADLINE_MS));
    group.primary.wait_for_statement("left");
    group.primary.host.take_reply_count();
    group.proxy.pause();
    drop(writer);
    reply.send(committed(&group.primary)).expect("the host waits");
    group.primary.host.wait_for_reply();
    group.proxy.resume();
    group.proxy.wait_for_open_requests(1);
    group.assert_next_read_sees_the_write();
}

/// Asserts that a write that fails for its client binds the session's next read: the write may have
/// committed.
fn failed_write_binds_the_next_read(deadline_ms: u32, reply: Reply) {
    let group = Group::start(&["replica"], one_attempt_config);
    group.primary.reply("lost", reply);
    let answer = group.execute(&write("lost", SESSION, deadline_ms));
    assert_eq!((answer.code.as_str(), answer.end), ("40003", End::Ready), "{}", answer.message);
    group.assert_next_read_sees_the_write();
}

#[test]
fn a_write_that_timed_out_binds_the_next_read() {
    failed_write_binds_the_next_read(1_500, Reply::NoAnswer);
}

#[test]
fn a_write_whose_connection_was_reset_binds_the_next_read() {
    failed_write_binds_the_next_read(LONG_DEADLINE_MS, Reply::Close(Vec::new()));
}

#[test]
fn a_write_that_ended_in_an_internal_error_binds_the_next_read() {
    failed_write_binds_the_next_read(LONG_DEADLINE_MS, Reply::Error("XX000"));
}

#[test]
fn a_session_read_goes_to_the_primary_while_a_write_is_outstanding() {
    let group = Group::start(&["replica"], tracking_config);
    let _unanswered = group.primary.hold("out");
    let _writer = group.send(&write("out", SESSION, LONG_DEADLINE_MS));
    group.primary.wait_for_statement("out");
    group.assert_next_read_sees_the_write();
}

/// The replica is inside the bound when the read is sent, and beyond it when the connection is established.
#[test]
fn a_bounded_read_is_not_written_to_a_replica_beyond_the_bound() {
    let group = Group::start(&["replica"], tracking_config);
    let position = unix_ms();
    group.replica().set_position(HostPosition::UnixMs(position));
    group.hold_sessions_at_replica();
    let mut reader = group.send_and_dial_replica(&bounded_read("bounded", LONG_DEADLINE_MS));
    wait_until_after(position + STALENESS_BOUND_MS);
    group.replica().host.release_sessions();
    group.assert_served_by_primary("bounded", &reader.answer());
    group.assert_late_connection_serves("bounded");
}

/// Positions are whole milliseconds, and the position of a commit is rounded up.
#[test]
fn a_replica_serves_the_session_from_the_commit_position_on() {
    let group = Group::start(&["replica"], tracking_config);
    let commit = unix_ms() + 1;
    let answer = HostAnswer { commit_ms: Some(commit), ..group.primary.state().answer() };
    group.primary.reply("own", Reply::Bytes(answer.complete()));
    assert_eq!(group.execute(&write("own", SESSION, LONG_DEADLINE_MS)).value.as_deref(), Some("primary"));
    // The proxy ignores a position that is ahead of its clock.
    wait_until_after(commit);
    for (id, position, expected) in [("before", commit - 1, "primary"), ("at", commit, "replica")] {
        group.replica().set_position(HostPosition::UnixMs(position));
        group.make_replicas_report();
        let answer = group.execute(&session_read(id, SESSION));
        assert_eq!(answer.value.as_deref(), Some(expected), "at {position} of {commit}: {answer:?}");
    }
}

/// The primary reports in an incomplete answer that it is a replica. Its own last position is old, and so is
/// the replica's, so that neither host may serve reads.
#[test]
fn a_primary_that_reports_the_replica_role_serves_no_reads_before_its_answer_is_complete() {
    let mut group = Group::start(&["replica"], tracking_config);
    group.free_primary();
    group.primary.set_position(HostPosition::UnixMs(unix_ms()));
    let answer = HostAnswer { commit_ms: None, ..group.primary.state().answer() };
    group.primary.reply("own", Reply::Bytes(answer.complete()));
    assert_eq!(group.execute(&write("own", SESSION, LONG_DEADLINE_MS)).value.as_deref(), Some("primary"));
    wait_until_after(unix_ms() + STALENESS_BOUND_MS);
    let stepped_down = HostAnswer { value: "v", role: Some(HostRole::Reader), commit_ms: None };
    group.primary.reply("silent", Reply::Bytes(stepped_down.row_and_report()));
    let begun = Instant::now();
    let _silent = group.send(&write("silent", UNRELATED_SESSION, LONG_DEADLINE_MS));
    group.proxy.logged("is no longer primary");
    assert!(begun.elapsed() < PROMPT_REACTION, "after {:?}", begun.elapsed());
    group.proxy.wait_for_open_requests(1);
    let reads =
        [bounded_read("bounded", 1_000), session_read("own-read", SESSION).replace("d=20000", "d=4000")];
    for read in &reads {
        let answer = group.execute(read);
        assert_eq!((answer.value, answer.code.as_str()), (None, "53300"), "{}", answer.message);
    }
    for host in [&group.primary, group.replica()] {
        let seen = host.take_events();
        reads.iter().for_each(|read| group.assert_not_received(request_id(read), &seen));
    }
}

/// The read is sent to the primary, which reports that it is a replica before the connection is established.
#[test]
fn a_read_is_not_written_to_a_former_primary() {
    let mut group = Group::start(&["replica"], tracking_config);
    group.free_primary();
    let answer = HostAnswer { commit_ms: None, ..group.primary.state().answer() };
    group.primary.reply("own", Reply::Bytes(answer.complete()));
    assert_eq!(group.execute(&write("own", SESSION, LONG_DEADLINE_MS)).value.as_deref(), Some("primary"));
    let last = group.primary.hold("last");
    let mut writer = group.send(&write("last", UNRELATED_SESSION, LONG_DEADLINE_MS));
    group.primary.wait_for_statement("last");
    group.primary.host.hold_sessions();
    group.primary.take_events();
    let mut reader = group.send(&session_read("dialling", SESSION).replace("d=20000", "d=4000"));
    // The write occupies the idle connection, so the read needs a new one.
    assert_eq!(group.primary.host.next_event(), HostEvent::Opened);
    let stepped_down = HostAnswer { value: "v", role: Some(HostRole::Reader), commit_ms: None };
    last.send(Reply::Bytes(stepped_down.complete())).expect("the host waits");
    assert_eq!(writer.answer().value.as_deref(), Some("v"));
    group.primary.host.release_sessions();
    let answer = reader.answer();
    assert_eq!((answer.value, answer.code.as_str()), (None, "53300"), "{}", answer.message);
    group.assert_not_received("dialling", &group.primary.take_events());
}

/// A write of the session whose answer has a streamed value. The write commits after the value.
struct StreamedWrite {
    client: Client,
    /// The end of the value, up to CommandComplete.
    rest: Vec<u8>,
    /// What the host sends next.
    pieces: Sender<Vec<u8>>,
}

impl StreamedWrite {
    /// Sends the beginning of the answer until the client receives it; then the replica reports a newer
    /// position.
    fn begin(group: &Group) -> StreamedWrite {
        let value = "v".repeat(150_000);
        let mut beginning = HostAnswer { value: &value, role: None, commit_ms: None }.up_to_completion();
        let rest = beginning.split_off(100_000);
        let (reply, pieces) = Reply::streamed();
        group.primary.reply("long", reply);
        let client = group.send(&write("long", SESSION, LONG_DEADLINE_MS));
        pieces.send(beginning).expect("the host waits");
        assert_eq!(client.stream.peek(&mut [0]).expect("the beginning arrives"), 1);
        wait_until_after(unix_ms());
        let position = unix_ms();
        wait_until_after(position);
        group.replica().set_position(HostPosition::UnixMs(position));
        group.make_replicas_report();
        StreamedWrite { client, rest, pieces }
    }

    /// Sends the rest of the answer, with the position of the commit.
    fn end(mut self, group: &Group) {
        let commit = unix_ms() + 1;
        let answer = HostAnswer { commit_ms: Some(commit), ..group.primary.state().answer() };
        let report = answer.complete().split_off(answer.up_to_completion().len());
        self.pieces.send([self.rest, report].concat()).expect("the host waits");
        drop(self.pieces);
        assert_eq!(self.client.answer().end, End::Ready);
        wait_until_after(commit);
    }
}

#[test]
fn a_session_read_goes_to_the_primary_while_the_answer_of_a_write_is_streamed() {
    let group = Group::start(&["replica"], tracking_config);
    let _write = StreamedWrite::begin(&group);
    group.assert_next_read_sees_the_write();
}

#[test]
fn a_write_that_commits_after_a_streamed_value_is_seen_by_the_next_read() {
    let group = Group::start(&["replica"], tracking_config);
    StreamedWrite::begin(&group).end(&group);
    group.assert_next_read_sees_the_write();
}

/// The clocks of the hosts are ahead of the proxy's.
#[test]
fn a_commit_ahead_of_the_clock_is_seen_by_the_next_read() {
    const AHEAD_MS: u64 = 300;
    let group = Group::start(&["replica"], tracking_config);
    let commit = unix_ms() + AHEAD_MS;
    let answer = HostAnswer { commit_ms: Some(commit), ..group.primary.state().answer() };
    group.primary.reply("own", Reply::Bytes(answer.complete()));
    assert_eq!(group.execute(&write("own", SESSION, LONG_DEADLINE_MS)).value.as_deref(), Some("primary"));
    let position = commit - AHEAD_MS / 3;
    wait_until_after(position);
    group.replica().set_position(HostPosition::UnixMs(position));
    group.make_replicas_report();
    group.assert_next_read_sees_the_write();
}
