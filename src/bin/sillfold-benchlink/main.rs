//! Adapter between the simulator's wire and the decision module. It decides nothing.
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

struct Instance {
    router: Router,
    program_settings: ProgramSettings,
    events: Vec<Event>,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    tables: BTreeMap<u16, Arc<[HostEntry]>>,
    actions: Vec<Action>,
    /// Instances with events in this batch.
    busy: BTreeSet<u32>,
}

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    loop {
        let reply = match read_frame(&mut input) {
            Ok(None) => return ExitCode::SUCCESS,
            Ok(Some(frame)) => host.batch(&frame),
            Err(e) => Err(e),
        };
        let written = match reply {
            Ok(frame) => output.write_all(&frame).and_then(|()| output.flush()),
            Err(WireError(what)) => {
                eprintln!("sillfold-benchlink: {what}");
                return ExitCode::from(2);
            }
        };
        if let Err(e) = written {
            eprintln!("sillfold-benchlink: writing a reply: {e}");
            return ExitCode::from(3);
        }
    }
}

impl Host {
    fn batch(&mut self, frame: &Frame) -> Result<Vec<u8>> {
        let now = frame.now;
        let mut c = Cursor::new(&frame.body);
        for i in 0..frame.records {
            self.record(&mut c).map_err(|e| WireError(format!("record {i}: {}", e.0)))?;
        }
        if !c.done() {
            return Err(WireError(format!("bytes left after the last record, at {}", c.at())));
        }
        let mut reply = Reply::default();
        while let Some(who) = self.busy.pop_first() {
            let Some(instance) = self.instances.get_mut(&who) else { continue };
            if instance.events.is_empty() {
                continue;
            }
            instance.router.handle(now, &instance.events, &mut self.actions);
            instance.events.clear();
            for action in self.actions.drain(..) {
                write_action(&mut reply, who, action);
            }
        }
        Ok(reply.into_frame())
    }

    fn record(&mut self, c: &mut Cursor) -> Result<()> {
        let at = c.at();
        let code = c.u8("record code")?;
        if code == 11 {
            let id = c.u16("TABLE.setId")?;
            let table = read_table(c)?;
            self.tables.insert(id, table);
            return Ok(());
        }
        if !(1..=10).contains(&code) {
            return Err(WireError(format!("unknown record code {code} at byte {at}")));
        }
        let who = c.u32("instance")?;
        if code == 1 {
            let seed = c.u64("ATTACH.initSeed")?;
            let len = c.u32("ATTACH.conf length")? as usize;
            let (settings, program_settings) =
                settings::parse(c.take(len, "ATTACH.conf")?).map_err(|e| WireError(e.0))?;
            let router = Router::new(settings, seed);
            self.instances.insert(who, Instance { router, program_settings, events: Vec::new() });
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&who) else {
            return Err(WireError(format!("event code {code} for the unknown instance {who}")));
        };
        if code == 10 {
            self.instances.remove(&who);
            return Ok(());
        }
        let event = read_event(c, code, &instance.program_settings, &self.tables)?;
        instance.events.push(event);
        self.busy.insert(who);
        Ok(())
    }
}

fn read_table(c: &mut Cursor) -> Result<Arc<[HostEntry]>> {
    let n = c.u32("TABLE entry count")?;
    let mut entries = Vec::new();
    for _ in 0..n {
        let host = c.u32("entry.host")?;
        let zone = c.u8("entry.failureDomain")?;
        let kind = c.u8("entry.type")?;
        let group = u32::from(c.u16("entry.group")?);
        let state = match c.u8("entry.stageState")? {
            0 => HostStatus::Draining,
            1 => HostStatus::Ready,
            2 => HostStatus::Removed,
            other => return Err(WireError(format!("entry.stageState: unknown value {other}"))),
        };
        let weight = f64::from(c.f32("entry.nominal")?);
        let primary = c.f32("entry.leader")? == 1.0;
        let started = c.u64("entry.launchedUs")?;
        entries.push(HostEntry { host, zone, kind, group, state, weight, primary, started });
    }
    Ok(entries.into())
}

fn read_event(
    c: &mut Cursor, code: u8, program_settings: &ProgramSettings, tables: &BTreeMap<u16, Arc<[HostEntry]>>,
) -> Result<Event> {
    Ok(match code {
        2 => {
            let kind = match c.u8("DISCOVERY.form")? {
                0 => ListUpdate::Delta,
                1 => ListUpdate::Full,
                2 => ListUpdate::Cached,
                3 => ListUpdate::Failed,
                other => return Err(WireError(format!("DISCOVERY.form: unknown value {other}"))),
            };
            c.u32("DISCOVERY.epoch")?;
            let id = c.u16("DISCOVERY.setId")?;
            let entries = match (kind, tables.get(&id)) {
                (ListUpdate::Failed, _) => Arc::from([]),
                (_, Some(table)) => table.clone(),
                (_, None) => return Err(WireError(format!("DISCOVERY.setId: no table {id}"))),
            };
            Event::List { kind, entries }
        }
        3 => {
            let id = c.u32("WORK_ITEM.ticket")?;
            let class = c.u8("WORK_ITEM.lane")?;
            let tenant = u16::try_from(c.u32("WORK_ITEM.owner")?).ok();
            let session = c.u64("WORK_ITEM.user")?;
            let give_up_at = c.u64("WORK_ITEM.giveUpAtUs")?;
            c.u32("WORK_ITEM.costUs")?;
            let group = c.f32("WORK_ITEM.groupNo")?;
            if !group.is_finite() || group < 0.0 {
                return Err(WireError(format!("WORK_ITEM.groupNo: {group} is no group")));
            }
            let token_ms = c.f32("WORK_ITEM.tokenMs")?;
            let client_retry = c.u8("WORK_ITEM.flags")? & 2 != 0;
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
            let id = c.u32("HEADERS.ticket")?;
            c.take(8, "HEADERS fields")?;
            Event::Streaming(id, c.u8("HEADERS.n")?)
        }
        5 => {
            let id = c.u32("RETURNED.ticket")?;
            let attempt = c.u8("RETURNED.n")?;
            let host = c.u32("RETURNED.host")?;
            let outcome = read_outcome(c.u8("RETURNED.stateCode")?)?;
            let latency = u64::from(c.u32("RETURNED.latencyUs")?);
            let finished = c.u8("RETURNED.complete")? != 0;
            let note = read_note(c.u32("RETURNED.mark")?, program_settings);
            let report = read_report(c, program_settings)?;
            Event::Outcome(AttemptResult { id, attempt, host, outcome, latency, finished, note, report })
        }
        6 => Event::ClientGone(c.u32("CANCELLED_BY_CLIENT.ticket")?),
        7 => Event::Timer(c.u64("WAKEUP.mark")?),
        8 => {
            let host = c.u32("PONG.host")?;
            let ok = read_outcome(c.u8("PONG.stateCode")?)? == Outcome::Ok;
            c.u32("PONG.latencyUs")?;
            Event::Probed { host, ok, report: read_report(c, program_settings)? }
        }
        9 => {
            let from = c.u16("HEARD.neighbour")?;
            let n = usize::from(c.u16("HEARD.bytes length")?);
            // What cannot be read says nothing.
            let said = Message::read(c.take(n, "HEARD.bytes")?);
            let news = said.map_or(Vec::new(), |m| {
                m.items.into_iter().filter_map(|i| talk::from_item(i, Some)).collect()
            });
            Event::Peer { from, news }
        }
        other => return Err(WireError(format!("unknown record code {other}"))),
    })
}

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

fn read_note(mark: u32, program_settings: &ProgramSettings) -> HostReport {
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

fn read_report(c: &mut Cursor, program_settings: &ProgramSettings) -> Result<HostReport> {
    let n = usize::from(c.u8("report count")?);
    let mut values = Vec::with_capacity(n);
    for _ in 0..n {
        values.push(f64::from(c.f32("report value")?));
    }
    let get =
        |i: Option<usize>| i.and_then(|i| values.get(i)).copied().filter(|v| v.is_finite() && *v >= 0.0);
    Ok(HostReport {
        position: get(program_settings.position_index)
            .map(|s| program_settings.zero_us.saturating_add((s * 1e6).floor() as u64)),
        role: get(program_settings.role_index).map(|r| if r > 0.5 { Role::Primary } else { Role::Replica }),
        in_flight: get(program_settings.in_flight_index),
    })
}

fn write_action(reply: &mut Reply, who: u32, action: Action) {
    match action {
        // The simulator's wire has no word for when an attempt must have begun.
        Action::Send { id, host, timeout } => {
            let timeout = u32::try_from(timeout).unwrap_or(u32::MAX);
            reply.record(1, who).u32(id).u32(host).u32(timeout);
        }
        Action::Refuse { id, retry_in } => {
            reply.record(2, who).u32(id).u32(u32::try_from(retry_in).unwrap_or(u32::MAX));
        }
        Action::Fail(id) => {
            reply.record(3, who).u32(id);
        }
        Action::Cancel(id, attempt) => {
            reply.record(4, who).u32(id).u8(attempt);
        }
        Action::Timer { at, mark } => {
            reply.record(5, who).u64(at).u64(mark);
        }
        Action::Probe(host) => {
            reply.record(6, who).u32(host);
        }
        Action::CloseIdle(host) => {
            reply.record(7, who).u32(host);
        }
        Action::Broadcast(news) => {
            // Here all instances have the same numbers for hosts.
            let items: Vec<Item> = news.into_iter().filter_map(|n| talk::to_item(n, Some)).collect();
            let (datagram, _) = Datagram::pack(Sender { ordinal: 0, incarnation: 0, sequence: 0 }, &items);
            reply.record(8, who).u32(u32::MAX).blob(datagram.bytes());
        }
        Action::Subscribe => {
            reply.record(11, who).u8(1);
        }
        Action::Log(text) => {
            reply.record(9, who).blob(text.as_bytes());
        }
    }
}
