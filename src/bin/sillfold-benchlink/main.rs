//! Adapter between the simulator and the decision module. It reads batches of records from standard input, passes them as
//! events to one router per proxy instance, and writes the routers' actions to standard output. It must not make
//! decisions.
//!
//! Exit codes: 0 at the end of the input, 2 for invalid input, 3 if a reply cannot be written.
#![forbid(unsafe_code)]

mod wire;

use sillfold::settings::{self, ProgramSettings};
use sillfold::talk;
use sillfold::{
    Action, AttemptResult, Event, HostEntry, HostReport, HostStatus, ListUpdate, Outcome, RequestInfo, Role,
    Router,
};
use sillfold_talk::{Datagram, Item, Message, Sender};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::process::ExitCode;
use std::sync::Arc;
use wire::{Cursor, Frame, Reply, Result, WireError, read_frame};

/// One simulated proxy.
struct Instance {
    router: Router,
    program_settings: ProgramSettings,
    /// The events of the present batch.
    events: Vec<Event>,
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u32, Instance>,
    /// The lists of hosts that DISCOVERY records refer to, by set id.
    tables: BTreeMap<u16, Arc<[HostEntry]>>,
    /// The actions of one router; empty between calls, and kept for its memory.
    actions: Vec<Action>,
    /// The instances with events in the present batch.
    with_events: BTreeSet<u32>,
}

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    loop {
        let reply = match read_frame(&mut input) {
            Ok(None) => return ExitCode::SUCCESS,
            Ok(Some(frame)) => adapter.handle_batch(&frame),
            Err(e) => Err(e),
        };
        let written = match reply {
            Ok(frame) => output.write_all(&frame).and_then(|()| output.flush()),
            Err(WireError(error)) => {
                eprintln!("sillfold-benchlink: {error}");
                return ExitCode::from(2);
            }
        };
        if let Err(e) = written {
            eprintln!("sillfold-benchlink: writing a reply: {e}");
            return ExitCode::from(3);
        }
    }
}

impl Adapter {
    /// Reads the records of a batch, lets each instance handle its events, and returns the frame with their actions.
    fn handle_batch(&mut self, frame: &Frame) -> Result<Vec<u8>> {
        let now = frame.now;
        let mut cursor = Cursor::new(&frame.body);
        for i in 0..frame.records {
            self.read_record(&mut cursor).map_err(|e| WireError(format!("record {i}: {}", e.0)))?;
        }
        if !cursor.done() {
            return Err(WireError(format!("bytes left after the last record, at {}", cursor.at())));
        }
        let mut reply = Reply::default();
        while let Some(instance_id) = self.with_events.pop_first() {
            let Some(instance) = self.instances.get_mut(&instance_id) else { continue };
            if instance.events.is_empty() {
                continue;
            }
            instance.router.handle(now, &instance.events, &mut self.actions);
            instance.events.clear();
            for action in self.actions.drain(..) {
                write_action(&mut reply, instance_id, action);
            }
        }
        Ok(reply.into_frame())
    }

    /// Reads one record: a table, the start or end of an instance, or an event of an instance.
    fn read_record(&mut self, cursor: &mut Cursor) -> Result<()> {
        let at = cursor.at();
        let code = cursor.u8("record code")?;
        if code == 11 {
            let id = cursor.u16("TABLE.setId")?;
            let table = read_table(cursor)?;
            self.tables.insert(id, table);
            return Ok(());
        }
        if !(1..=10).contains(&code) {
            return Err(WireError(format!("unknown record code {code} at byte {at}")));
        }
        let instance_id = cursor.u32("instance")?;
        if code == 1 {
            let seed = cursor.u64("ATTACH.initSeed")?;
            let len = cursor.u32("ATTACH.conf length")? as usize;
            let (settings, program_settings) =
                settings::parse(cursor.take(len, "ATTACH.conf")?).map_err(|e| WireError(e.0))?;
            let router = Router::new(settings, seed);
            self.instances.insert(instance_id, Instance { router, program_settings, events: Vec::new() });
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&instance_id) else {
            return Err(WireError(format!("event code {code} for the unknown instance {instance_id}")));
        };
        // The simulated process was killed.
        if code == 10 {
            self.instances.remove(&instance_id);
            return Ok(());
        }
        let event = read_event(cursor, code, &instance.program_settings, &self.tables)?;
        instance.events.push(event);
        self.with_events.insert(instance_id);
        Ok(())
    }
}

/// Reads the entries of a TABLE record.
fn read_table(cursor: &mut Cursor) -> Result<Arc<[HostEntry]>> {
    let n = cursor.u32("TABLE entry count")?;
    let mut entries = Vec::new();
    for _ in 0..n {
        let host = cursor.u32("entry.host")?;
        let zone = cursor.u8("entry.failureDomain")?;
        let machine_type = cursor.u8("entry.type")?;
        let group = u32::from(cursor.u16("entry.group")?);
        let state = match cursor.u8("entry.stageState")? {
            0 => HostStatus::Draining,
            1 => HostStatus::Ready,
            2 => HostStatus::Removed,
            other => return Err(WireError(format!("entry.stageState: unknown value {other}"))),
        };
        let weight = f64::from(cursor.f32("entry.nominal")?);
        let primary = cursor.f32("entry.leader")? == 1.0;
        let started = cursor.u64("entry.launchedUs")?;
        entries.push(HostEntry { host, zone, machine_type, group, state, weight, primary, started });
    }
    Ok(entries.into())
}

/// Reads the rest of an event record, whose code and instance are read already.
fn read_event(
    cursor: &mut Cursor, code: u8, program_settings: &ProgramSettings,
    tables: &BTreeMap<u16, Arc<[HostEntry]>>,
) -> Result<Event> {
    Ok(match code {
        2 => {
            let update = match cursor.u8("DISCOVERY.form")? {
                0 => ListUpdate::Delta,
                1 => ListUpdate::Full,
                2 => ListUpdate::Cached,
                3 => ListUpdate::Failed,
                other => return Err(WireError(format!("DISCOVERY.form: unknown value {other}"))),
            };
            cursor.u32("DISCOVERY.epoch")?;
            let id = cursor.u16("DISCOVERY.setId")?;
            let entries = match (update, tables.get(&id)) {
                (ListUpdate::Failed, _) => Arc::from([]),
                (_, Some(table)) => table.clone(),
                (_, None) => return Err(WireError(format!("DISCOVERY.setId: no table {id}"))),
            };
            Event::List { update, entries }
        }
        3 => {
            let id = cursor.u32("WORK_ITEM.ticket")?;
            let class = cursor.u8("WORK_ITEM.lane")?;
            let tenant = u16::try_from(cursor.u32("WORK_ITEM.owner")?).ok();
            let session = cursor.u64("WORK_ITEM.user")?;
            let give_up_at = cursor.u64("WORK_ITEM.giveUpAtUs")?;
            cursor.u32("WORK_ITEM.costUs")?;
            let group = cursor.f32("WORK_ITEM.groupNo")?;
            if !group.is_finite() || group < 0.0 {
                return Err(WireError(format!("WORK_ITEM.groupNo: {group} is no group")));
            }
            let token_ms = cursor.f32("WORK_ITEM.tokenMs")?;
            let client_retry = cursor.u8("WORK_ITEM.flags")? & 2 != 0;
            Event::Request(RequestInfo {
                id,
                class,
                session,
                give_up_at,
                group: group as u32,
                token_ms,
                client_retry,
                tenant,
                ..RequestInfo::default()
            })
        }
        4 => {
            let id = cursor.u32("HEADERS.ticket")?;
            cursor.take(8, "HEADERS fields")?;
            Event::Streaming(id, cursor.u8("HEADERS.n")?)
        }
        5 => {
            let id = cursor.u32("RETURNED.ticket")?;
            let attempt = cursor.u8("RETURNED.n")?;
            let host = cursor.u32("RETURNED.host")?;
            let outcome = read_outcome(cursor.u8("RETURNED.stateCode")?)?;
            let latency = u64::from(cursor.u32("RETURNED.latencyUs")?);
            let finished = cursor.u8("RETURNED.complete")? != 0;
            let note = read_mark(cursor.u32("RETURNED.mark")?, program_settings);
            let report = read_report(cursor, program_settings)?;
            Event::Outcome(AttemptResult { id, attempt, host, outcome, latency, finished, note, report })
        }
        6 => Event::ClientGone(cursor.u32("CANCELLED_BY_CLIENT.ticket")?),
        7 => Event::Timer(cursor.u64("WAKEUP.mark")?),
        8 => {
            let host = cursor.u32("PONG.host")?;
            let ok = read_outcome(cursor.u8("PONG.stateCode")?)? == Outcome::Ok;
            cursor.u32("PONG.latencyUs")?;
            Event::Probed { host, ok, report: read_report(cursor, program_settings)? }
        }
        9 => {
            let from = cursor.u16("HEARD.neighbour")?;
            let n = usize::from(cursor.u16("HEARD.bytes length")?);
            // A datagram that cannot be decoded has no updates.
            let message = Message::read(cursor.take(n, "HEARD.bytes")?);
            let updates = message.map_or(Vec::new(), |m| {
                m.items.into_iter().filter_map(|i| talk::from_item(i, Some)).collect()
            });
            Event::Peer { from, updates }
        }
        other => return Err(WireError(format!("unknown record code {other}"))),
    })
}

/// The outcome for a state code.
fn read_outcome(code: u8) -> Result<Outcome> {
    Ok(match code {
        0 => Outcome::Ok,
        2 => Outcome::Unsuitable,
        5 => Outcome::Error,
        11 => Outcome::Overloaded,
        104 => Outcome::Reset,
        110 => Outcome::Timeout,
        111 => Outcome::ConnectFailed,
        114 => Outcome::NotSent,
        125 => Outcome::Cancelled,
        other => return Err(WireError(format!("unknown outcome code {other}"))),
    })
}

/// Decodes the mark that comes with an answer: the host's role in the low two bits, its position in milliseconds above.
fn read_mark(mark: u32, program_settings: &ProgramSettings) -> HostReport {
    let position = u64::from(mark >> 2);
    HostReport {
        position: (position > 0).then(|| program_settings.zero_us.saturating_add(position * 1000)),
        role: match mark & 3 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        },
        in_flight: None,
    }
}

/// Reads the values of a host's report. A value that is negative or not finite counts as missing.
fn read_report(cursor: &mut Cursor, program_settings: &ProgramSettings) -> Result<HostReport> {
    let n = usize::from(cursor.u8("report count")?);
    let mut values = Vec::with_capacity(n);
    for _ in 0..n {
        values.push(f64::from(cursor.f32("report value")?));
    }
    let get =
        |i: Option<usize>| i.and_then(|i| values.get(i)).copied().filter(|v| v.is_finite() && *v >= 0.0);
    Ok(HostReport {
        position: get(program_settings.position_index)
            .map(|seconds| program_settings.zero_us.saturating_add((seconds * 1e6).floor() as u64)),
        role: get(program_settings.role_index).map(|r| if r > 0.5 { Role::Primary } else { Role::Replica }),
        in_flight: get(program_settings.in_flight_index),
    })
}

/// Appends the record of an action.
fn write_action(reply: &mut Reply, instance_id: u32, action: Action) {
    match action {
        // The simulator's format has no field for the time by which an attempt must have started.
        Action::Send { id, host, timeout } => {
            let timeout = u32::try_from(timeout).unwrap_or(u32::MAX);
            reply.record(1, instance_id).u32(id).u32(host).u32(timeout);
        }
        Action::Refuse { id, retry_in } => {
            reply.record(2, instance_id).u32(id).u32(u32::try_from(retry_in).unwrap_or(u32::MAX));
        }
        Action::Fail(id) => {
            reply.record(3, instance_id).u32(id);
        }
        Action::Cancel(id, attempt) => {
            reply.record(4, instance_id).u32(id).u8(attempt);
        }
        Action::Timer { at, mark } => {
            reply.record(5, instance_id).u64(at).u64(mark);
        }
        Action::Probe(host) => {
            reply.record(6, instance_id).u32(host);
        }
        Action::CloseIdle(host) => {
            reply.record(7, instance_id).u32(host);
        }
        Action::Broadcast(updates) => {
            // In the simulator all instances use the same host ids, so the ids serve as name hashes.
            let items: Vec<Item> =
                updates.into_iter().filter_map(|update| talk::to_item(update, Some)).collect();
            let (datagram, _) = Datagram::pack(Sender { ordinal: 0, incarnation: 0, sequence: 0 }, &items);
            reply.record(8, instance_id).u32(u32::MAX).blob(datagram.bytes());
        }
        Action::Subscribe => {
            reply.record(11, instance_id).u8(1);
        }
        Action::Log(text) => {
            reply.record(9, instance_id).blob(text.as_bytes());
        }
    }
}
