//! What the reads of a session see of its writes, where replicas answer from what they have and the proxy remembers
//! the writes. Each story forces one crossing of a write, a read and a connection on real sockets; `docs/crossings.md`
//! is the table. The program draws its lots from the seed `1f` in its configuration.
//!
//! A group has a primary, which one unanswered write of an unrelated session keeps busy, so that reads prefer a
//! replica wherever the rules allow one, and replicas that stand where they stood when the program had just started.

mod support;

use std::cell::Cell;
use std::collections::BTreeSet;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The session whose writes must be seen, and others that have written nothing, or nothing of interest.
const SESSION: &str = "7f";
const UNRELATED: &str = "c0";
const NEVER_WROTE: &str = "e1";

/// The patience of a client that waits as long as it takes, and a time well under it.
const PATIENT_MS: u32 = 20_000;
const SOON: Duration = Duration::from_secs(5);

/// The bound of the bounded reads, as in the settings.
const BOUND_MS: u64 = 800;
/// Two of the module's steps, in each of which it takes the age of what is out.
const STEPS_MS: u64 = 20;
/// Attempts that a server of which little is known may have.
const PLACES: usize = 4;

/// Settings with a session class, replicas that do not check, and a proxy that remembers writes.
fn remembering(config: String) -> String {
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

/// The same, where a request has one attempt.
fn one_attempt(config: String) -> String {
    remembering(config).replace("\"mostTries\":10", "\"mostTries\":1")
}

fn statement(id: &str, class: &str, patience_ms: u32, sql: &str) -> String {
    format!("/* id={id},c={class},d={patience_ms},cluster=3 */ {sql}")
}

fn session_read(id: &str, session: &str) -> String {
    let sql = format!("SELECT payload FROM entries WHERE ref = '{session}'");
    statement(id, "profile", PATIENT_MS, &sql)
}

fn any_read(id: &str) -> String {
    let sql = format!("SELECT payload FROM entries WHERE ref = '{NEVER_WROTE}'");
    statement(id, "history", PATIENT_MS, &sql)
}

fn bounded_read(id: &str, patience_ms: u32) -> String {
    let sql = format!("SELECT payload FROM entries WHERE ref = '{NEVER_WROTE}'");
    statement(id, "browse", patience_ms, &sql)
}

fn write(id: &str, session: &str, patience_ms: u32) -> String {
    let sql = format!("INSERT INTO entries VALUES ('{session}', '1') RETURNING payload");
    let comment = format!("/* id={id},c=ingest,d={patience_ms},k=5c0f{id},cluster=3 */");
    format!("{comment} {sql}")
}

fn primary() -> ScriptedHost {
    let position = HostPosition::Now;
    ScriptedHost::start(HostState { value: "primary", role: HostRole::Writer, position })
}

fn replica(value: &'static str) -> ScriptedHost {
    let position = HostPosition::UnixMs(unix_ms());
    ScriptedHost::start(HostState { value, role: HostRole::Reader, position })
}

/// A whole answer of the primary's to a write that committed now.
fn committed(primary: &ScriptedHost) -> Reply {
    Reply::Bytes(primary.state().answer().complete())
}

/// An unanswered request and the way to answer it.
struct Unanswered {
    client: Client,
    reply: Sender<Reply>,
}

/// The program and a group whose roles and positions it has been taught.
struct Group {
    proxy: Proxy,
    primary: ScriptedHost,
    replicas: Vec<ScriptedHost>,
    /// Writes that keep the primary busy.
    busy: Vec<Unanswered>,
    /// Reads that taught the program something so far: no id may be used twice.
    lessons: Cell<usize>,
}

impl Group {
    fn start(replica_names: &[&'static str], change: impl Fn(String) -> String) -> Group {
        let (primary, replicas) = (primary(), replica_names.iter().map(|&name| replica(name)));
        let replicas: Vec<ScriptedHost> = replicas.collect();
        let hosts: Vec<&Host> = [&primary].into_iter().chain(&replicas).map(|member| &member.host).collect();
        let proxy = Proxy::start_with(&hosts, 1024, change);
        // What was written before the program started binds every session: the replicas have that, and nothing later.
        wait_until_after(unix_ms());
        let position = unix_ms();
        replicas.iter().for_each(|replica| replica.set_position(HostPosition::UnixMs(position)));
        wait_until_after(position);
        let mut group = Group { proxy, primary, replicas, busy: Vec::new(), lessons: Cell::new(0) };
        assert_eq!(group.ask(&write("teach", UNRELATED, PATIENT_MS)).value.as_deref(), Some("primary"));
        group.occupy_primary();
        group.teach_replicas();
        // Now the busy primary looks slower than any replica, however long the first answers took.
        wait_until_after(unix_ms() + STEPS_MS);
        group
    }

    fn replica(&self) -> &ScriptedHost {
        &self.replicas[0]
    }

    /// Asks on a connection of its own.
    fn ask(&self, statement: &str) -> Answer {
        self.proxy.client().query(statement)
    }

    /// Sends on a connection of its own.
    fn send(&self, statement: &str) -> Client {
        let mut client = self.proxy.client();
        client.send(&query(statement));
        client
    }

    /// One more write of an unrelated session is at the primary, without an answer.
    fn occupy_primary(&mut self) {
        let id = format!("busy-{}", self.busy.len());
        let reply = self.primary.hold(&id);
        let client = self.send(&write(&id, UNRELATED, 60_000));
        self.primary.wait_for_statement(&id);
        self.busy.push(Unanswered { client, reply });
    }

    /// Answers one of the writes that keep the primary busy.
    fn free_primary(&mut self) {
        let mut freed = self.busy.pop().expect("a busy one");
        freed.reply.send(committed(&self.primary)).expect("the host waits");
        assert_eq!(freed.client.answer().value.as_deref(), Some("primary"));
    }

    /// Reads of any data until every replica has told its role and position. Their answers wait for each other: a
    /// host has few places, so each gets its turn.
    fn teach_replicas(&self) {
        let members: Vec<&ScriptedHost> = self.replicas.iter().chain([&self.primary]).collect();
        let mut silent: BTreeSet<usize> = (0..self.replicas.len()).collect();
        let mut unanswered = Vec::new();
        while !silent.is_empty() {
            self.lessons.set(self.lessons.get() + 1);
            let id = format!("lesson-{}", self.lessons.get());
            let replies: Vec<Sender<Reply>> = members.iter().map(|member| member.hold(&id)).collect();
            let client = self.send(&any_read(&id));
            let number = first_to_see(&members, &id);
            silent.remove(&number);
            unanswered.push((number, Unanswered { client, reply: replies[number].clone() }));
        }
        for (number, mut lesson) in unanswered {
            let answer = members[number].state().answer();
            lesson.reply.send(Reply::Bytes(answer.complete())).expect("the host waits");
            assert_eq!(lesson.client.answer().value.as_deref(), Some(answer.value));
        }
    }

    /// Leaves the program without a connection to the replica. The next one gets no session until the test says so.
    fn hold_sessions_at_replica(&self) {
        let replica = self.replica();
        let answer = replica.state().answer();
        replica.reply("last", Reply::Close(answer.complete()));
        assert_eq!(self.ask(&session_read("last", NEVER_WROTE)).value.as_deref(), Some(answer.value));
        while replica.host.next_event() != HostEvent::Closed {}
        replica.host.hold_sessions();
    }

    /// Sends a read for which the program opens a connection to the replica that gets no session yet.
    fn send_dialling(&self, statement: &str) -> Client {
        let client = self.send(statement);
        assert_eq!(self.replica().host.next_event(), HostEvent::Opened);
        client
    }

    /// The read is served by the primary, and no replica sees it.
    fn served_by_primary(&self, id: &str, answer: &Answer) {
        assert_eq!(answer.value.as_deref(), Some("primary"), "{answer:?}");
        for replica in &self.replicas {
            self.unseen(id, &replica.take_events());
        }
    }

    fn unseen(&self, id: &str, seen: &[HostEvent]) {
        let query =
            seen.iter().find(|event| matches!(event, HostEvent::Query(text) if request_id(text) == id));
        assert_eq!(query, None);
    }

    /// The session's next read is served by the primary.
    fn next_read_sees_the_write(&self) {
        let answer = self.ask(&session_read("after", SESSION));
        self.served_by_primary("after", &answer);
    }

    /// The connection that came up late serves the next read that may go to the replica, which opens no other.
    fn late_connection_serves(&self, never_written: &str) {
        let answer = self.ask(&session_read("reuses", NEVER_WROTE));
        assert_eq!(answer.value.as_deref(), Some(self.replica().state().value), "{answer:?}");
        let seen = self.replica().take_events();
        self.unseen(never_written, &seen);
        assert!(!seen.contains(&HostEvent::Opened), "{seen:?}");
    }
}

/// Nothing comes behind CommandComplete, and the connection stays open.
#[test]
fn a_write_whose_answer_stops_behind_its_completion_is_answered_soon_and_seen_by_the_next_read() {
    let group = Group::start(&["replica"], remembering);
    let cut = group.primary.state().answer().up_to_completion();
    group.primary.reply("cut", Reply::Bytes(cut));
    let begun = Instant::now();
    let answer = group.ask(&write("cut", SESSION, PATIENT_MS));
    assert_eq!((answer.value.as_deref(), answer.end), (Some("primary"), End::Ready), "{}", answer.message);
    assert!(begun.elapsed() < SOON, "after {:?}", begun.elapsed());
    // What may still come on that connection must meet nobody else's request.
    while group.primary.host.next_event() != HostEvent::Closed {}
    group.next_read_sees_the_write();
}

/// The write comes first and waits for a place at the primary. It is sent and answered while the read waits for its
/// connection.
#[test]
fn a_write_that_is_answered_while_a_read_waits_for_its_connection_is_seen_by_it() {
    let mut group = Group::start(&["replica"], remembering);
    group.hold_sessions_at_replica();
    while group.busy.len() < PLACES {
        group.occupy_primary();
    }
    let mut writer = group.send(&write("held", SESSION, PATIENT_MS));
    group.proxy.wait_for_open_requests(PLACES as u64 + 1);
    let mut reader = group.send_dialling(&session_read("dialling", SESSION));
    group.free_primary();
    assert_eq!(writer.answer().value.as_deref(), Some("primary"));
    group.replica().host.release_sessions();
    group.served_by_primary("dialling", &reader.answer());
    group.late_connection_serves("dialling");
}

/// The read is on its way before its session writes.
#[test]
fn a_write_that_begins_and_ends_while_a_read_waits_for_its_connection_is_seen_by_it() {
    let group = Group::start(&["replica"], remembering);
    group.hold_sessions_at_replica();
    let mut reader = group.send_dialling(&session_read("dialling", SESSION));
    let answer = group.ask(&write("late", SESSION, PATIENT_MS));
    assert_eq!(answer.value.as_deref(), Some("primary"), "{answer:?}");
    group.replica().host.release_sessions();
    group.served_by_primary("dialling", &reader.answer());
    group.late_connection_serves("dialling");
}

/// Every place is in use when the read comes. Its session's write is answered, and the place that this frees at the
/// primary is taken by other writes; then a place at the replica is free.
#[test]
fn a_write_that_is_answered_while_a_read_is_held_is_seen_by_it() {
    let mut group = Group::start(&["replica"], remembering);
    while group.busy.len() < PLACES - 1 {
        group.occupy_primary();
    }
    let own = group.primary.hold("own");
    let mut writer = group.send(&write("own", SESSION, PATIENT_MS));
    group.primary.wait_for_statement("own");
    let mut at_replica = Vec::new();
    for n in 0..PLACES {
        let id = format!("place-{n}");
        let reply = group.replica().hold(&id);
        let client = group.send(&session_read(&id, NEVER_WROTE));
        group.replica().wait_for_statement(&id);
        at_replica.push(Unanswered { client, reply });
    }
    let next_writes: Vec<Unanswered> = ["next-0", "next-1"]
        .map(|id| {
            let reply = group.primary.hold(id);
            Unanswered { client: group.send(&write(id, UNRELATED, PATIENT_MS)), reply }
        })
        .into();
    group.proxy.wait_for_open_requests(2 * PLACES as u64 + 2);
    let mut reader = group.send(&session_read("held", SESSION));
    group.proxy.wait_for_open_requests(2 * PLACES as u64 + 3);
    own.send(committed(&group.primary)).expect("the host waits");
    assert_eq!(writer.answer().value.as_deref(), Some("primary"));
    for _ in &next_writes {
        assert!(request_id(&group.primary.host.next_query()).starts_with("next-"));
    }
    let mut freed = at_replica.pop().expect("four");
    freed.reply.send(Reply::Bytes(group.replica().state().answer().complete())).expect("the host waits");
    assert_eq!(freed.client.answer().value.as_deref(), Some("replica"));
    for mut written in next_writes {
        written.reply.send(committed(&group.primary)).expect("the host waits");
        assert_eq!(written.client.answer().value.as_deref(), Some("primary"));
    }
    group.served_by_primary("held", &reader.answer());
}

/// The first attempt is at one replica as its session's write is answered, and fails; the other would take it.
fn repeat_sees_the_write(failure: Reply) {
    let group = Group::start(&["replica-1", "replica-2"], remembering);
    let held = [0, 1].map(|n: usize| group.replicas[n].hold("repeated"));
    let mut reader = group.send(&session_read("repeated", SESSION));
    let first = first_to_see(&[&group.replicas[0], &group.replicas[1]], "repeated");
    // The other one would answer.
    let other = &group.replicas[1 - first];
    held[1 - first].send(Reply::Bytes(other.state().answer().complete())).expect("kept");
    let answer = group.ask(&write("between", SESSION, PATIENT_MS));
    assert_eq!(answer.value.as_deref(), Some("primary"), "{answer:?}");
    held[first].send(failure).expect("the host waits");
    let answer = reader.answer();
    assert_eq!(answer.value.as_deref(), Some("primary"), "{answer:?}");
    group.unseen("repeated", &other.take_events());
}

/// The number of the host that sees the statement of this id first.
fn first_to_see(hosts: &[&ScriptedHost], id: &str) -> usize {
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
fn the_repeat_of_a_read_that_failed_sees_a_write_that_was_answered_meanwhile() {
    repeat_sees_the_write(Reply::Error("XX000"));
}

#[test]
fn the_repeat_of_a_read_that_was_reset_sees_a_write_that_was_answered_meanwhile() {
    repeat_sees_the_write(Reply::Close(Vec::new()));
}

#[test]
fn a_write_whose_client_left_counts_for_the_next_read() {
    let group = Group::start(&["replica"], remembering);
    group.primary.reply("left", Reply::NoAnswer);
    let writer = group.send(&write("left", SESSION, PATIENT_MS));
    group.primary.wait_for_statement("left");
    drop(writer);
    while group.primary.host.next_event() != HostEvent::Closed {}
    group.next_read_sees_the_write();
}

/// Answer and departure are there at once.
#[test]
fn a_write_whose_client_left_as_its_answer_came_counts_for_the_next_read() {
    let group = Group::start(&["replica"], remembering);
    let reply = group.primary.hold("left");
    let writer = group.send(&write("left", SESSION, PATIENT_MS));
    group.primary.wait_for_statement("left");
    group.primary.host.take_reply_count();
    group.proxy.pause();
    drop(writer);
    reply.send(committed(&group.primary)).expect("the host waits");
    group.primary.host.wait_for_reply();
    group.proxy.resume();
    group.proxy.wait_for_open_requests(1);
    group.next_read_sees_the_write();
}

/// A write that comes to nothing for its client.
fn failed_write_counts(patience_ms: u32, reply: Reply) {
    let group = Group::start(&["replica"], one_attempt);
    group.primary.reply("lost", reply);
    let answer = group.ask(&write("lost", SESSION, patience_ms));
    assert_eq!((answer.code.as_str(), answer.end), ("40003", End::Ready), "{}", answer.message);
    group.next_read_sees_the_write();
}

#[test]
fn a_write_without_an_answer_in_time_counts_for_the_next_read() {
    failed_write_counts(1_500, Reply::NoAnswer);
}

#[test]
fn a_write_whose_connection_was_reset_counts_for_the_next_read() {
    failed_write_counts(PATIENT_MS, Reply::Close(Vec::new()));
}

#[test]
fn a_write_that_ended_in_an_internal_error_counts_for_the_next_read() {
    failed_write_counts(PATIENT_MS, Reply::Error("XX000"));
}

#[test]
fn a_read_does_not_go_to_a_replica_while_a_write_of_its_session_is_out() {
    let group = Group::start(&["replica"], remembering);
    let _unanswered = group.primary.hold("out");
    let _writer = group.send(&write("out", SESSION, PATIENT_MS));
    group.primary.wait_for_statement("out");
    group.next_read_sees_the_write();
}

/// The replica was inside the bound when the read was sent on its way.
#[test]
fn a_bounded_read_is_not_written_to_a_replica_that_left_the_bound_while_its_connection_came_up() {
    let group = Group::start(&["replica"], remembering);
    let position = unix_ms();
    group.replica().set_position(HostPosition::UnixMs(position));
    group.hold_sessions_at_replica();
    let mut reader = group.send_dialling(&bounded_read("bounded", PATIENT_MS));
    wait_until_after(position + BOUND_MS);
    group.replica().host.release_sessions();
    group.served_by_primary("bounded", &reader.answer());
    group.late_connection_serves("bounded");
}

/// Positions are whole milliseconds, and that of a commit is rounded up.
#[test]
fn a_replica_at_the_position_of_a_commit_has_it_and_one_a_millisecond_before_has_not() {
    let group = Group::start(&["replica"], remembering);
    let commit = unix_ms() + 1;
    let answer = HostAnswer { commit_ms: Some(commit), ..group.primary.state().answer() };
    group.primary.reply("own", Reply::Bytes(answer.complete()));
    assert_eq!(group.ask(&write("own", SESSION, PATIENT_MS)).value.as_deref(), Some("primary"));
    // A position ahead of the clock is none.
    wait_until_after(commit);
    for (id, position, expected) in [("before", commit - 1, "primary"), ("at", commit, "replica")] {
        group.replica().set_position(HostPosition::UnixMs(position));
        group.teach_replicas();
        let answer = group.ask(&session_read(id, SESSION));
        assert_eq!(answer.value.as_deref(), Some(expected), "at {position} of {commit}: {answer:?}");
    }
}

/// The host that is held for the primary says that it is none, in an answer that goes no further. Its own last
/// position is old, and so is the replica's.
#[test]
fn a_primary_that_says_it_is_none_is_read_from_as_one_no_more_while_that_answer_is_still_out() {
    let mut group = Group::start(&["replica"], remembering);
    group.free_primary();
    group.primary.set_position(HostPosition::UnixMs(unix_ms()));
    let answer = HostAnswer { commit_ms: None, ..group.primary.state().answer() };
    group.primary.reply("own", Reply::Bytes(answer.complete()));
    assert_eq!(group.ask(&write("own", SESSION, PATIENT_MS)).value.as_deref(), Some("primary"));
    wait_until_after(unix_ms() + BOUND_MS);
    let stepped_down = HostAnswer { value: "v", role: Some(HostRole::Reader), commit_ms: None };
    group.primary.reply("silent", Reply::Bytes(stepped_down.row_and_report()));
    let begun = Instant::now();
    let _silent = group.send(&write("silent", UNRELATED, PATIENT_MS));
    group.proxy.logged("is no longer primary");
    assert!(begun.elapsed() < SOON, "after {:?}", begun.elapsed());
    group.proxy.wait_for_open_requests(1);
    let reads =
        [bounded_read("bounded", 1_000), session_read("own-read", SESSION).replace("d=20000", "d=4000")];
    for read in &reads {
        let answer = group.ask(read);
        assert_eq!((answer.value, answer.code.as_str()), (None, "53300"), "{}", answer.message);
    }
    for host in [&group.primary, group.replica()] {
        let seen = host.take_events();
        reads.iter().for_each(|read| group.unseen(request_id(read), &seen));
    }
}

/// It was held for the primary as the read was sent on its way, and has said since that it is none.
#[test]
fn a_read_is_not_written_to_a_primary_that_handed_over_while_its_connection_came_up() {
    let mut group = Group::start(&["replica"], remembering);
    group.free_primary();
    let answer = HostAnswer { commit_ms: None, ..group.primary.state().answer() };
    group.primary.reply("own", Reply::Bytes(answer.complete()));
    assert_eq!(group.ask(&write("own", SESSION, PATIENT_MS)).value.as_deref(), Some("primary"));
    let last = group.primary.hold("last");
    let mut writer = group.send(&write("last", UNRELATED, PATIENT_MS));
    group.primary.wait_for_statement("last");
    group.primary.host.hold_sessions();
    group.primary.take_events();
    let mut reader = group.send(&session_read("dialling", SESSION).replace("d=20000", "d=4000"));
    // The connection that stood idle serves the write: the read needs one of its own.
    assert_eq!(group.primary.host.next_event(), HostEvent::Opened);
    let stepped_down = HostAnswer { value: "v", role: Some(HostRole::Reader), commit_ms: None };
    last.send(Reply::Bytes(stepped_down.complete())).expect("the host waits");
    assert_eq!(writer.answer().value.as_deref(), Some("v"));
    group.primary.host.release_sessions();
    let answer = reader.answer();
    assert_eq!((answer.value, answer.code.as_str()), (None, "53300"), "{}", answer.message);
    group.unseen("dialling", &group.primary.take_events());
}

/// A write of the session whose answer holds a value that is passed on in pieces, and which commits behind it.
struct LongWrite {
    client: Client,
    rest: Vec<u8>,
    pieces: Sender<Vec<u8>>,
}

impl LongWrite {
    /// The beginning of its answer has reached its client, and the replica has moved on since.
    fn begin(group: &Group) -> LongWrite {
        let value = "v".repeat(150_000);
        let mut beginning = HostAnswer { value: &value, role: None, commit_ms: None }.up_to_completion();
        let rest = beginning.split_off(100_000);
        let (reply, pieces) = Reply::streamed();
        group.primary.reply("long", reply);
        let client = group.send(&write("long", SESSION, PATIENT_MS));
        pieces.send(beginning).expect("the host waits");
        assert_eq!(client.stream.peek(&mut [0]).expect("the beginning comes"), 1);
        wait_until_after(unix_ms());
        let position = unix_ms();
        wait_until_after(position);
        group.replica().set_position(HostPosition::UnixMs(position));
        group.teach_replicas();
        LongWrite { client, rest, pieces }
    }

    /// The rest of the answer, with the position of the commit.
    fn end(mut self, group: &Group) {
        let commit = unix_ms() + 1;
        let answer = HostAnswer { commit_ms: Some(commit), ..group.primary.state().answer() };
        let notes = answer.complete().split_off(answer.up_to_completion().len());
        self.pieces.send([self.rest, notes].concat()).expect("the host waits");
        drop(self.pieces);
        assert_eq!(self.client.answer().end, End::Ready);
        wait_until_after(commit);
    }
}

#[test]
fn a_read_does_not_go_to_a_replica_while_the_value_of_a_write_of_its_session_is_passed_on() {
    let group = Group::start(&["replica"], remembering);
    let _write = LongWrite::begin(&group);
    group.next_read_sees_the_write();
}

#[test]
fn a_write_that_commits_behind_a_value_that_is_passed_on_is_seen_by_the_next_read() {
    let group = Group::start(&["replica"], remembering);
    LongWrite::begin(&group).end(&group);
    group.next_read_sees_the_write();
}

/// The clock of the hosts is ahead of the proxy's.
#[test]
fn a_commit_that_is_told_ahead_of_the_clock_is_seen_by_the_next_read() {
    const AHEAD_MS: u64 = 300;
    let group = Group::start(&["replica"], remembering);
    let commit = unix_ms() + AHEAD_MS;
    let answer = HostAnswer { commit_ms: Some(commit), ..group.primary.state().answer() };
    group.primary.reply("own", Reply::Bytes(answer.complete()));
    assert_eq!(group.ask(&write("own", SESSION, PATIENT_MS)).value.as_deref(), Some("primary"));
    let position = commit - AHEAD_MS / 3;
    wait_until_after(position);
    group.replica().set_position(HostPosition::UnixMs(position));
    group.teach_replicas();
    group.next_read_sees_the_write();
}
