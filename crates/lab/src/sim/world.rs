//! The simulated world: virtual time, a network between machines, their disks and the trace, all in one thread. It
//! implements the machine's interface of the proxy's network code (`SimulatedWorld`) for each simulated machine. It must
//! not ask the real machine for anything, because one seed must give the same run, to the byte. Events that are due at
//! the same instant happen in an order drawn from the seed.

use oorandom::Rand64;
use sillfold::net::world::{
    LocalBoxFuture, SimulatedConnection, SimulatedDatagramSocket, SimulatedListener, SimulatedSharedFile,
    SimulatedWorld,
};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// A time in microseconds since the run began, or a duration in microseconds.
pub type Micros = u64;
/// Number of a machine. Each process has a machine of its own.
pub type Machine = usize;

/// Bytes that may be in flight or unread in one direction of a connection.
const PIPE_CAPACITY_BYTES: usize = 64 * 1024;
/// Datagrams that may wait to be read at one address; more are lost.
const MAX_QUEUED_DATAGRAMS: usize = 64;
/// Share of the datagrams that are lost, in thousandths.
const DATAGRAM_LOST_PER_MILLE: u64 = 50;
/// Share of the datagrams that arrive twice, in thousandths.
const DATAGRAM_DUPLICATED_PER_MILLE: u64 = 30;
/// Share of the datagrams that arrive with one bit changed, in thousandths.
const DATAGRAM_DAMAGED_PER_MILLE: u64 = 20;
/// Shortest and longest delay of a datagram, in microseconds.
const DATAGRAM_DELAY_US: (Micros, Micros) = (3_500, 35_000);
/// Connections that may wait to be accepted at one listener.
const MAX_PENDING_CONNECTIONS: usize = 128;
/// While calls are interrupted (`CallFaults::interrupted`), one read or write in this many is interrupted.
const INTERRUPTED_ONE_IN: u64 = 12;
/// While calls are interrupted, one accept in this many fails with `ConnectionAborted`, as if the client had given up its
/// connection before it was accepted.
const ABORTED_ONE_IN: u64 = 6;
/// Upper bound of the delay between a process's look at the clock and its write, in microseconds.
pub const MAX_WRITE_DELAY_US: Micros = 150_000;
/// Error number of a failed read of a file.
const EIO: i32 = 5;
/// Error numbers of dials and accepts that lack a resource: ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH.
const SHORTAGE_ERRNOS: [i32; 4] = [23, 105, 99, 101];
/// Lines of the trace that are kept for a report.
const TRACE_TAIL_LINES: usize = 400;
/// The wall clock at the start of the run, since the Unix epoch.
const START_UNIX_TIME: Duration = Duration::from_secs(1_767_225_600);

/// One direction of a connection.
struct Pipe {
    from: Machine,
    to: Machine,
    /// Bytes that have arrived and are not read yet.
    received: VecDeque<u8>,
    /// Bytes that were written and have not arrived yet.
    in_flight_bytes: usize,
    /// Earliest time of the next arrival, so that nothing overtakes what was sent before.
    earliest_arrival: Micros,
    /// When the bytes that arrived last were sent.
    sent: Micros,
    /// When the sender of the bytes that arrived last began its write; it may have been delayed until `sent`.
    issued: Micros,
    /// The writer has ended its sending; the end may not have arrived yet.
    end_sent: bool,
    /// The end has arrived at the reader.
    ended: bool,
    /// The reader finds the connection reset.
    reset: bool,
    /// The reader has closed its end of the connection.
    reader_closed: bool,
    /// The writer has learnt that the reader has closed.
    broken: bool,
    /// The writer has closed its end of the connection.
    writer_closed: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
}

/// What happens at a scheduled time.
enum Event {
    /// A timer expires.
    Wake(u64),
    /// Bytes arrive: the pipe, the bytes, when they were sent, and when the sender began the write.
    Data(u64, Vec<u8>, Micros, Micros),
    /// The end of a pipe arrives; the flag says whether the connection was reset.
    End(u64, bool),
    /// The writer of a pipe learns that its reader has closed.
    WriteBroken(u64),
    /// A connect attempt reaches its address.
    Connect(Machine, SocketAddr, Rc<RefCell<PendingConnect>>),
    /// The result of a connect attempt arrives: the pipes in and out, or an error.
    Connected(Rc<RefCell<PendingConnect>>, io::Result<(u64, u64)>),
    /// A datagram arrives: the machine that sent it, the source address, the destination and the bytes.
    Datagram(Machine, SocketAddr, SocketAddr, Vec<u8>),
}

/// A connect attempt that a task waits for.
#[derive(Default)]
struct PendingConnect {
    /// The pipes in and out, or an error, once the attempt has ended.
    done: Option<io::Result<(u64, u64)>>,
    waker: Option<Waker>,
    /// No task waits for the attempt any more.
    dropped: bool,
}

/// The datagrams that wait to be read at an address.
struct DatagramQueue {
    machine: Machine,
    received: VecDeque<(Vec<u8>, SocketAddr)>,
    waker: Option<Waker>,
}

/// A bound address.
#[derive(Default)]
struct ListenerState {
    machine: Machine,
    /// Whether connections are accepted: `bind` alone does not open the listener.
    open: bool,
    /// Connections that wait to be accepted: the pipe in, the pipe out, and the machine that connected.
    queue: VecDeque<(u64, u64, Machine)>,
    waker: Option<Waker>,
}

/// A machine's descriptors, disk and delay.
#[derive(Default)]
struct MachineState {
    /// Descriptors of open connections.
    open_descriptors: usize,
    /// Largest number of open descriptors.
    max_descriptors: usize,
    /// Number of its disk. Processes that follow one another share a disk and a wall clock.
    disk: usize,
    /// The machine's process is delayed until this time.
    delayed_until: Micros,
}

/// Faults of system calls, for all processes that share a disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// Signals interrupt some reads and writes, and some accepts fail as if the client had given up its connection
    /// before it was accepted. The connection that waits is kept for a later accept.
    pub interrupted: bool,
    /// Percentage of dials and accepts that fail because the machine lacks a resource.
    pub shortage_percent: u64,
    /// One in this many writes is delayed between the process's look at the clock and the network; 0 for none.
    pub delayed_write_one_in: u64,
    /// Files cannot be read.
    pub unreadable_files: bool,
}

/// The files and sockets that outlast a process.
#[derive(Default)]
struct Disk {
    files: BTreeMap<PathBuf, Vec<u8>>,
    sockets: BTreeMap<PathBuf, SocketAddr>,
    dirs: BTreeSet<PathBuf>,
    /// The files that several processes use at the same time.
    shared_files: BTreeMap<PathBuf, SharedFileState>,
    /// Writes fail because the disk is full.
    full: bool,
}

/// A file that several processes use at the same time.
#[derive(Default)]
struct SharedFileState {
    bytes: Vec<u8>,
    /// The holder of each lock: the number of an open file.
    locks: BTreeMap<u64, u64>,
}

/// The state of the world.
struct Inner {
    /// The instant of virtual time 0.
    start: Instant,
    now: Micros,
    random: Rand64,
    /// The last number given to a pipe, timer, listener or event.
    last_number: u64,
    /// Scheduled events by time, then by a random number, then by their own number.
    events: BTreeMap<(Micros, u64, u64), Event>,
    /// Tasks that wait for a timer.
    timers: BTreeMap<u64, Waker>,
    pipes: BTreeMap<u64, Pipe>,
    /// Listeners by address, each with its number; several may be bound to one address.
    listeners: BTreeMap<SocketAddr, Vec<(u64, ListenerState)>>,
    datagram_queues: BTreeMap<SocketAddr, DatagramQueue>,
    machines: Vec<MachineState>,
    disks: BTreeMap<usize, Disk>,
    /// Total steps of the wall clocks in microseconds, by disk.
    clock_steps: BTreeMap<usize, i64>,
    /// Faults of system calls, by disk.
    call_faults: BTreeMap<usize, CallFaults>,
    /// Directions between machines in which nothing arrives.
    blocked: BTreeSet<(Machine, Machine)>,
    /// Events that were due in a blocked direction; they happen once the direction is open again.
    held_back: Vec<(Machine, Machine, Event)>,
    /// Machines without power.
    powered_off: BTreeSet<Machine>,
    /// When directions were blocked or machines lost power.
    disruptions: Vec<Micros>,
    /// The machine that opened the connection accepted last, and the number of its pipe in.
    last_accepted: (Machine, u64),
    /// Connections that were closed while sent bytes were unread or in flight: the sender of the bytes, and the machine
    /// that closed.
    closed_over: Vec<(Machine, Machine)>,
    /// Whether one in four reads and writes transfers a random part of the bytes.
    partial_io: bool,
    /// FNV-1a hash of the trace.
    hash: u64,
    /// Number of lines of the trace.
    lines: u64,
    /// The last lines of the trace.
    trace_tail: VecDeque<String>,
    /// The whole trace, if it is kept.
    whole_trace: Option<Vec<String>>,
}

/// The simulated world.
pub struct World(RefCell<Inner>);

impl World {
    /// Creates a world at virtual time 0. With `partial_io`, some reads and writes transfer a part of the bytes; with
    /// `whole_trace`, the whole trace is kept.
    pub fn new(seed: u64, partial_io: bool, whole_trace: bool) -> Rc<World> {
        #[allow(clippy::disallowed_methods, reason = "an origin for virtual instants, which nothing shows")]
        let start = Instant::now();
        let inner = Inner {
            start,
            now: 0,
            random: Rand64::new(u128::from(seed) ^ 0x5eed_0000),
            last_number: 0,
            events: BTreeMap::new(),
            timers: BTreeMap::new(),
            pipes: BTreeMap::new(),
            listeners: BTreeMap::new(),
            datagram_queues: BTreeMap::new(),
            machines: Vec::new(),
            disks: BTreeMap::new(),
            clock_steps: BTreeMap::new(),
            call_faults: BTreeMap::new(),
            blocked: BTreeSet::new(),
            held_back: Vec::new(),
            powered_off: BTreeSet::new(),
            disruptions: Vec::new(),
            last_accepted: (0, 0),
            closed_over: Vec::new(),
            partial_io,
            hash: 0xcbf2_9ce4_8422_2325,
            lines: 0,
            trace_tail: VecDeque::new(),
            whole_trace: whole_trace.then(Vec::new),
        };
        Rc::new(World(RefCell::new(inner)))
    }

    /// Adds a machine with this many descriptors, for a process that uses no disk.
    pub fn add_machine(&self, max_descriptors: usize) -> Machine {
        self.add_machine_with_disk(max_descriptors, usize::MAX)
    }

    /// Adds a machine with this many descriptors and this disk.
    pub fn add_machine_with_disk(&self, max_descriptors: usize, disk: usize) -> Machine {
        let mut inner = self.0.borrow_mut();
        inner.machines.push(MachineState { max_descriptors, disk, ..MachineState::default() });
        inner.machines.len() - 1
    }

    /// Makes writes to a disk fail or succeed from now on.
    pub fn set_disk_full(&self, disk: usize, full: bool) {
        self.0.borrow_mut().disks.entry(disk).or_default().full = full;
    }

    /// Truncates one of a disk's files, drawn at random, to a third of its length. Returns its name, if there is a file.
    pub fn truncate_random_file(&self, disk: usize) -> Option<String> {
        let mut inner = self.0.borrow_mut();
        let drawn = inner.random.rand_u64();
        let files = &mut inner.disks.get_mut(&disk)?.files;
        let n = (drawn % files.len().max(1) as u64) as usize;
        let (path, bytes) = files.iter_mut().nth(n)?;
        bytes.truncate(bytes.len() / 3);
        Some(path.file_name()?.to_string_lossy().into_owned())
    }

    /// The virtual time.
    pub fn now(&self) -> Micros {
        self.0.borrow().now
    }

    /// The wall clock without the steps of any machine, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        START_UNIX_TIME.as_millis() as u64 + self.now() / 1_000
    }

    /// Draws a number from 0 to under `n`.
    pub fn draw_below(&self, n: u64) -> u64 {
        self.0.borrow_mut().random.rand_range(0..n.max(1))
    }

    /// Draws a number from 0 to under 1.
    pub fn draw_fraction(&self) -> f64 {
        self.0.borrow_mut().random.rand_float()
    }

    /// Adds a line to the trace.
    pub fn trace(&self, line: impl FnOnce() -> String) {
        self.0.borrow_mut().trace(line());
    }

    /// Hash and number of lines of the trace so far.
    pub fn trace_hash(&self) -> (u64, u64) {
        let inner = self.0.borrow();
        (inner.hash, inner.lines)
    }

    /// The last lines of the trace that contain any of the words, or all of them if there are no words.
    pub fn trace_tail(&self, words: &[String]) -> Vec<String> {
        let inner = self.0.borrow();
        let matches = |l: &&String| words.is_empty() || words.iter().any(|t| l.contains(t.as_str()));
        inner.trace_tail.iter().filter(matches).cloned().collect()
    }

    /// Takes the whole trace; empty if it is not kept.
    pub fn take_trace(&self) -> Vec<String> {
        self.0.borrow_mut().whole_trace.take().unwrap_or_default()
    }

    /// Number of open descriptors of a machine.
    pub fn open_descriptors(&self, machine: Machine) -> usize {
        self.0.borrow().machines[machine].open_descriptors
    }

    /// Blocks a direction: nothing arrives in it from now on. Or opens it again: everything that was held back arrives.
    pub fn set_blocked(&self, from: Machine, to: Machine, blocked: bool) {
        let mut inner = self.0.borrow_mut();
        if blocked {
            inner.blocked.insert((from, to));
            let now = inner.now;
            inner.disruptions.push(now);
            return;
        }
        inner.blocked.remove(&(from, to));
        let (released, still_held) =
            std::mem::take(&mut inner.held_back).into_iter().partition(|h| (h.0, h.1) == (from, to));
        inner.held_back = still_held;
        let released: Vec<(Machine, Machine, Event)> = released;
        for (at, (.., event)) in (inner.now..).zip(released) {
            inner.schedule(at, event);
        }
    }

    /// Whether a direction is blocked.
    pub fn is_blocked(&self, from: Machine, to: Machine) -> bool {
        self.0.borrow().blocked.contains(&(from, to))
    }

    /// Switches the power of a machine. Without power nothing that it sends or receives arrives, and its connections stay
    /// open at the other machines until those time out.
    pub fn set_powered(&self, machine: Machine, on: bool) {
        let mut inner = self.0.borrow_mut();
        if on {
            inner.powered_off.remove(&machine);
        } else {
            inner.powered_off.insert(machine);
            let now = inner.now;
            inner.disruptions.push(now);
        }
    }

    /// Steps the wall clock of all present and future processes with this disk.
    pub fn step_clock(&self, disk: usize, by_us: i64) {
        *self.0.borrow_mut().clock_steps.entry(disk).or_default() += by_us;
    }

    /// Changes the call faults of all present and future processes with this disk.
    pub fn change_call_faults(&self, disk: usize, change: impl FnOnce(&mut CallFaults)) {
        change(self.0.borrow_mut().call_faults.entry(disk).or_default());
    }

    /// Whether a machine's process is delayed by a write.
    pub fn is_delayed(&self, machine: Machine) -> bool {
        let inner = self.0.borrow();
        inner.machines[machine].delayed_until > inner.now
    }

    /// The machine that opened the connection accepted last, and the number of the connection.
    pub fn last_accepted(&self) -> (Machine, u64) {
        self.0.borrow().last_accepted
    }

    /// Takes the list of connections that were closed, since the last call, while sent bytes were unread or in flight:
    /// the sender of the bytes, and the machine that closed.
    pub fn take_closed_with_unread_data(&self) -> Vec<(Machine, Machine)> {
        std::mem::take(&mut self.0.borrow_mut().closed_over)
    }

    /// Whether the client of an accepted connection still has its end open.
    pub fn is_peer_end_open(&self, number: u64) -> bool {
        self.0.borrow().pipes.get(&number).is_some_and(|pipe| !pipe.writer_closed)
    }

    /// Whether bytes that are written now on an accepted connection can reach the other end.
    pub fn is_peer_reachable(&self, number: u64) -> bool {
        let inner = self.0.borrow();
        let Some(pipe) = inner.pipes.get(&number) else { return false };
        let is_off = inner.powered_off.contains(&pipe.from) || inner.powered_off.contains(&pipe.to);
        !pipe.writer_closed && !is_off && !inner.blocked.contains(&(pipe.to, pipe.from))
    }

    /// Whether any direction was blocked or any machine lost power between these times.
    pub fn was_disrupted(&self, since: Micros, by: Micros) -> bool {
        self.0.borrow().disruptions.iter().any(|at| (since..=by).contains(at))
    }

    /// When the bytes that arrived last on an accepted connection were sent, and when their sender began the write.
    pub fn last_arrival_times(&self, number: u64) -> (Micros, Micros) {
        let inner = self.0.borrow();
        inner.pipes.get(&number).map_or((inner.now, inner.now), |pipe| (pipe.sent, pipe.issued))
    }

    /// Advances to the next event and applies it. If no event is due by `until`, advances to `until` and returns false.
    pub fn step(&self, until: Micros) -> bool {
        let woken = {
            let mut inner = self.0.borrow_mut();
            match inner.events.first_key_value() {
                Some((key, _)) if key.0 <= until => {}
                _ => {
                    inner.now = inner.now.max(until);
                    return false;
                }
            }
            let Some((key, event)) = inner.events.pop_first() else { return false };
            inner.now = inner.now.max(key.0);
            inner.apply(event)
        };
        woken.into_iter().for_each(Waker::wake);
        true
    }

    /// Sends a datagram under the address of another machine.
    pub fn send_forged_datagram(&self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let mut inner = self.0.borrow_mut();
        let machine = inner.datagram_queues.get(&from).map_or(0, |m| m.machine);
        inner.send_datagram(machine, from, to, bytes);
    }

    /// The world as one machine sees it.
    pub fn view_from(self: &Rc<World>, machine: Machine) -> Rc<MachineView> {
        Rc::new(MachineView { world: self.clone(), machine })
    }
}

impl Inner {
    /// Adds a line to the trace, with the time before it.
    fn trace(&mut self, line: String) {
        let line = format!("{}.{:06} {line}", self.now / 1_000_000, self.now % 1_000_000);
        for b in line.bytes() {
            self.hash = (self.hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        }
        self.lines += 1;
        if let Some(lines) = &mut self.whole_trace {
            lines.push(line.clone());
        }
        if self.trace_tail.len() >= TRACE_TAIL_LINES {
            self.trace_tail.pop_front();
        }
        self.trace_tail.push_back(line);
    }

    /// The next number of a pipe, timer, listener or event.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Schedules an event and returns its key. A random number decides the order of events at the same time.
    fn schedule(&mut self, at: Micros, event: Event) -> (Micros, u64, u64) {
        let key = (at.max(self.now), self.random.rand_u64(), self.next_number());
        self.events.insert(key, event);
        key
    }

    /// Draws the latency of the network: 200 to 500 microseconds, and up to 3 ms more in one case in 50.
    fn draw_latency(&mut self) -> Micros {
        let slow = self.random.rand_range(0..50) == 0;
        200 + self.random.rand_range(0..300) + if slow { self.random.rand_range(0..3_000) } else { 0 }
    }

    /// The call faults of a machine's disk.
    fn call_faults_of(&self, machine: Machine) -> CallFaults {
        self.call_faults.get(&self.machines[machine].disk).copied().unwrap_or_default()
    }

    /// Draws whether a signal interrupts a call of a machine.
    fn draw_interruption(&mut self, machine: Machine) -> bool {
        self.call_faults_of(machine).interrupted && self.random.rand_range(0..INTERRUPTED_ONE_IN) == 0
    }

    /// Draws whether a dial or an accept fails because the machine lacks a resource, and with which error.
    fn draw_shortage(&mut self, machine: Machine) -> Option<io::Error> {
        let percent = self.call_faults_of(machine).shortage_percent;
        if percent == 0 || self.random.rand_range(0..100) >= percent {
            return None;
        }
        let n = self.random.rand_range(0..SHORTAGE_ERRNOS.len() as u64) as usize;
        Some(io::Error::from_raw_os_error(SHORTAGE_ERRNOS[n]))
    }

    /// Draws when a write of a machine reaches the network. The process may be delayed already, or this write may delay
    /// it.
    fn draw_write_time(&mut self, machine: Machine) -> Micros {
        let one_in = self.call_faults_of(machine).delayed_write_one_in;
        let delayed_until = self.machines[machine].delayed_until;
        if delayed_until > self.now || one_in == 0 || self.random.rand_range(0..one_in) > 0 {
            return delayed_until.max(self.now);
        }
        let delayed_until = self.now + self.random.rand_range(1..MAX_WRITE_DELAY_US);
        self.machines[machine].delayed_until = delayed_until;
        // An event at the end of the delay makes the simulation run the process again.
        let number = self.next_number();
        self.schedule(delayed_until, Event::Wake(number));
        delayed_until
    }

    /// Sends an event along a pipe now.
    fn send(&mut self, pipe_id: u64, bytes: usize, event: Event) {
        self.send_at(self.now, pipe_id, bytes, event);
    }

    /// Sends an event with this many bytes along a pipe at the time `start`: it takes the latency of the network and 1
    /// microsecond per 100 bytes, and arrives after everything that was sent before.
    fn send_at(&mut self, start: Micros, pipe_id: u64, bytes: usize, event: Event) {
        let latency = self.draw_latency() + bytes as u64 / 100;
        let Some(pipe) = self.pipes.get_mut(&pipe_id) else { return };
        pipe.earliest_arrival = pipe.earliest_arrival.max(start + latency);
        let at = pipe.earliest_arrival;
        // The next event needs a later time: at the same time, its random number might put it before this one.
        pipe.earliest_arrival += 1;
        self.schedule(at, event);
    }

    /// The machines between which an event travels, if it does.
    fn direction(&self, event: &Event) -> Option<(Machine, Machine)> {
        match event {
            Event::Data(pipe_id, ..) | Event::End(pipe_id, _) => {
                self.pipes.get(pipe_id).map(|pipe| (pipe.from, pipe.to))
            }
            Event::WriteBroken(pipe_id) => self.pipes.get(pipe_id).map(|pipe| (pipe.to, pipe.from)),
            Event::Connect(from, to, _) => {
                let to = self.listeners.get(to).and_then(|d| d.last()).map(|d| d.1.machine);
                to.map(|to| (*from, to))
            }
            Event::Connected(_, Ok((inward, _))) => self.pipes.get(inward).map(|pipe| (pipe.from, pipe.to)),
            Event::Datagram(from, _, to, _) => self.datagram_queues.get(to).map(|m| (*from, m.machine)),
            Event::Wake(_) | Event::Connected(_, Err(_)) => None,
        }
    }

    /// Applies an event and returns the waker of the task that waits for it. The event is lost if a machine without power
    /// is involved, and held back if its direction is blocked.
    fn apply(&mut self, event: Event) -> Option<Waker> {
        if let Some((from, to)) = self.direction(&event) {
            if self.powered_off.contains(&from) || self.powered_off.contains(&to) {
                return None;
            }
            if self.blocked.contains(&(from, to)) {
                self.held_back.push((from, to, event));
                return None;
            }
        }
        match event {
            Event::Wake(timer) => self.timers.remove(&timer),
            Event::Data(pipe_id, bytes, sent, issued) => {
                let pipe = self.pipes.get_mut(&pipe_id)?;
                pipe.in_flight_bytes -= bytes.len();
                if pipe.reader_closed {
                    if !pipe.writer_closed && !pipe.end_sent {
                        let ends = (pipe.from, pipe.to);
                        self.closed_over.push(ends);
                    }
                    self.send(pipe_id, 0, Event::WriteBroken(pipe_id));
                    return None;
                }
                pipe.received.extend(bytes);
                (pipe.sent, pipe.issued) = (sent, issued);
                pipe.reader_waker.take()
            }
            Event::End(pipe_id, reset) => {
                let pipe = self.pipes.get_mut(&pipe_id)?;
                (pipe.ended, pipe.reset) = (true, pipe.reset || reset);
                let reader = pipe.reader_waker.take();
                self.remove_if_closed(pipe_id);
                reader
            }
            Event::WriteBroken(pipe_id) => {
                let pipe = self.pipes.get_mut(&pipe_id)?;
                pipe.broken = true;
                let writer = pipe.writer_waker.take();
                self.remove_if_closed(pipe_id);
                writer
            }
            Event::Connect(from, to, pending) => self.deliver_connect(from, to, pending),
            Event::Datagram(_, from, to, bytes) => {
                // The datagram is lost if no socket is bound there any more, or if its queue is full.
                let queue =
                    self.datagram_queues.get_mut(&to).filter(|m| m.received.len() < MAX_QUEUED_DATAGRAMS)?;
                queue.received.push_back((bytes, from));
                queue.waker.take()
            }
            Event::Connected(pending, result) => {
                let mut attempt = pending.borrow_mut();
                if let (true, Ok((inward, outward))) = (attempt.dropped, &result) {
                    let ends = (*inward, *outward);
                    drop(attempt);
                    self.close(ends.0, ends.1);
                    return None;
                }
                attempt.done = Some(result);
                attempt.waker.take()
            }
        }
    }

    /// Sends a datagram. Some are lost, duplicated or damaged, and one often overtakes another.
    fn send_datagram(&mut self, machine: Machine, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let drawn = self.random.rand_range(0..1_000);
        let copies = if drawn < DATAGRAM_LOST_PER_MILLE {
            0
        } else {
            1 + u64::from(drawn < DATAGRAM_LOST_PER_MILLE + DATAGRAM_DUPLICATED_PER_MILLE)
        };
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if self.random.rand_range(0..1_000) < DATAGRAM_DAMAGED_PER_MILLE && !bytes.is_empty() {
                let at = self.random.rand_range(0..bytes.len() as u64) as usize;
                bytes[at] ^= 1 << self.random.rand_range(0..8);
            }
            let at = self.now + self.random.rand_range(DATAGRAM_DELAY_US.0..DATAGRAM_DELAY_US.1);
            self.schedule(at, Event::Datagram(machine, from, to, bytes));
        }
    }

    /// Delivers a connect attempt to an address: a listener there queues the connection. Without an open listener the
    /// attempt is refused; with a full queue it is never answered.
    fn deliver_connect(
        &mut self, from: Machine, to: SocketAddr, pending: Rc<RefCell<PendingConnect>>,
    ) -> Option<Waker> {
        let drawn = self.random.rand_u64();
        let latency = self.draw_latency();
        let open = |d: &&mut (u64, ListenerState)| d.1.open;
        let mut listeners: Vec<&mut (u64, ListenerState)> =
            self.listeners.get_mut(&to).map(|d| d.iter_mut().filter(open).collect()).unwrap_or_default();
        if listeners.is_empty() {
            let at = self.now + latency;
            self.schedule(at, Event::Connected(pending, Err(ErrorKind::ConnectionRefused.into())));
            return None;
        }
        // A random listener gets the connection, as on a real machine where several listen at one address.
        let n = listeners.len() as u64;
        let listener = &mut listeners.swap_remove((drawn % n) as usize).1;
        if listener.queue.len() >= MAX_PENDING_CONNECTIONS {
            return None;
        }
        let (to_listener, to_client) = (self.last_number + 1, self.last_number + 2);
        let waker = listener.waker.take();
        listener.queue.push_back((to_listener, to_client, from));
        let machine = listener.machine;
        self.last_number += 2;
        self.open_pipes(from, machine, to_listener, to_client);
        self.send(to_client, 0, Event::Connected(pending, Ok((to_client, to_listener))));
        waker
    }

    /// Creates the pipes of both directions of a connection.
    fn open_pipes(&mut self, from: Machine, machine: Machine, to_listener: u64, to_client: u64) {
        let new_pipe = |from, to| Pipe {
            from,
            to,
            received: VecDeque::new(),
            in_flight_bytes: 0,
            earliest_arrival: 0,
            sent: 0,
            issued: 0,
            end_sent: false,
            ended: false,
            reset: false,
            reader_closed: false,
            broken: false,
            writer_closed: false,
            reader_waker: None,
            writer_waker: None,
        };
        self.pipes.insert(to_listener, new_pipe(from, machine));
        self.pipes.insert(to_client, new_pipe(machine, from));
    }

    /// Closes one end of a connection, given by its pipes in and out. Unread bytes reset the connection.
    fn close(&mut self, inward: u64, outward: u64) {
        let mut reset = false;
        if let Some(pipe) = self.pipes.get_mut(&inward) {
            pipe.reader_closed = true;
            reset = !pipe.received.is_empty();
            if reset && !pipe.writer_closed {
                self.closed_over.push((pipe.from, pipe.to));
            }
            pipe.received.clear();
            if reset {
                self.send(inward, 0, Event::WriteBroken(inward));
            }
        }
        if let Some(pipe) = self.pipes.get_mut(&outward) {
            pipe.writer_closed = true;
            if !pipe.end_sent || reset {
                pipe.end_sent = true;
                self.send(outward, 0, Event::End(outward, reset));
            }
        }
        self.remove_if_closed(inward);
        self.remove_if_closed(outward);
    }

    /// Removes a pipe once both ends are closed and nothing is in flight.
    fn remove_if_closed(&mut self, pipe_id: u64) {
        if self
            .pipes
            .get(&pipe_id)
            .is_some_and(|pipe| pipe.reader_closed && pipe.writer_closed && pipe.in_flight_bytes == 0)
        {
            self.pipes.remove(&pipe_id);
        }
    }
}

/// The world as one machine sees it.
pub struct MachineView {
    world: Rc<World>,
    machine: Machine,
}

/// A timer of a machine.
struct Sleep {
    world: Rc<World>,
    when: Micros,
    /// The number of the timer and the key of its event, once it is scheduled.
    timer: Option<(u64, (Micros, u64, u64))>,
}

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let world = self.world.clone();
        let mut inner = world.0.borrow_mut();
        if inner.now >= self.when {
            return Poll::Ready(());
        }
        let id = match self.timer {
            Some((id, _)) => id,
            None => {
                let id = inner.next_number();
                let key = inner.schedule(self.when, Event::Wake(id));
                self.timer = Some((id, key));
                id
            }
        };
        inner.timers.insert(id, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some((id, key)) = self.timer {
            let mut inner = self.world.0.borrow_mut();
            inner.events.remove(&key);
            inner.timers.remove(&id);
        }
    }
}

/// Closes the connection of a connect attempt whose task no longer waits for it.
struct ConnectGuard(Rc<World>, Rc<RefCell<PendingConnect>>);

impl Drop for ConnectGuard {
    fn drop(&mut self) {
        let mut attempt = self.1.borrow_mut();
        attempt.dropped = true;
        if let Some(Ok((inward, outward))) = attempt.done.take() {
            drop(attempt);
            self.0.0.borrow_mut().close(inward, outward);
        }
    }
}

impl SimulatedWorld for MachineView {
    fn now(&self) -> Instant {
        let inner = self.world.0.borrow();
        inner.start + Duration::from_micros(inner.now)
    }

    fn unix_time(&self) -> Duration {
        let inner = self.world.0.borrow();
        let step = inner.clock_steps.get(&inner.machines[self.machine].disk).copied().unwrap_or(0);
        let now = START_UNIX_TIME.as_micros() as i64 + inner.now as i64 + step;
        Duration::from_micros(now.max(0) as u64)
    }

    fn at(&self, when: Instant) -> LocalBoxFuture<()> {
        let inner = self.world.0.borrow();
        let when = when.saturating_duration_since(inner.start).as_micros() as Micros;
        Box::pin(Sleep { world: self.world.clone(), when, timer: None })
    }

    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<io::Result<Box<dyn SimulatedConnection>>> {
        let (world, machine) = (self.world.clone(), self.machine);
        Box::pin(async move {
            let pending = Rc::new(RefCell::new(PendingConnect::default()));
            {
                let mut inner = world.0.borrow_mut();
                if inner.machines[machine].open_descriptors >= inner.machines[machine].max_descriptors {
                    return Err(io::Error::other("too many open files"));
                }
                if let Some(e) = inner.draw_shortage(machine) {
                    return Err(e);
                }
                let at = inner.now + inner.draw_latency();
                inner.schedule(at, Event::Connect(machine, to, pending.clone()));
            }
            let guard = ConnectGuard(world.clone(), pending.clone());
            let done = poll_fn(|cx| {
                let mut attempt = pending.borrow_mut();
                match attempt.done.take() {
                    Some(done) => Poll::Ready(done),
                    None => {
                        attempt.waker = Some(cx.waker().clone());
                        Poll::Pending
                    }
                }
            });
            let (inward, outward) = done.await?;
            drop(guard);
            Ok(ConnectionEnd::open(&world, machine, inward, outward))
        })
    }

    fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn SimulatedListener>> {
        let mut inner = self.world.0.borrow_mut();
        let number = inner.next_number();
        let state = ListenerState { machine: self.machine, ..ListenerState::default() };
        inner.listeners.entry(at).or_default().push((number, state));
        drop(inner);
        Ok(Box::new(ListenerHandle { world: self.world.clone(), at, number }))
    }

    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Box<dyn SimulatedDatagramSocket>> {
        let mut inner = self.world.0.borrow_mut();
        if inner.datagram_queues.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        inner
            .datagram_queues
            .insert(at, DatagramQueue { machine: self.machine, received: VecDeque::new(), waker: None });
        inner.machines[self.machine].open_descriptors += 1;
        drop(inner);
        Ok(Box::new(DatagramSocket { world: self.world.clone(), machine: self.machine, at }))
    }

    fn unique_number(&self) -> u64 {
        self.world.0.borrow_mut().random.rand_u64()
    }

    fn connect_local(&self, path: &Path) -> io::Result<Box<dyn SimulatedConnection>> {
        let mut inner = self.world.0.borrow_mut();
        let disk = inner.machines[self.machine].disk;
        let at = inner.disks.get(&disk).and_then(|d| d.sockets.get(path)).copied();
        let at = at.ok_or(io::Error::from(ErrorKind::NotFound))?;
        let (to_listener, to_client) = (inner.next_number() + 1, inner.last_number + 2);
        inner.last_number += 2;
        let listener = inner.listeners.get_mut(&at).and_then(|d| d.iter_mut().find(|d| d.1.open));
        let Some((_, listener)) = listener else { return Err(ErrorKind::ConnectionRefused.into()) };
        listener.queue.push_back((to_listener, to_client, self.machine));
        let (machine, waker) = (listener.machine, listener.waker.take());
        inner.open_pipes(self.machine, machine, to_listener, to_client);
        drop(inner);
        waker.into_iter().for_each(Waker::wake);
        Ok(ConnectionEnd::open(&self.world, self.machine, to_client, to_listener))
    }

    fn listen_local(&self, path: &Path) -> io::Result<Box<dyn SimulatedListener>> {
        let mut inner = self.world.0.borrow_mut();
        let number = inner.next_number();
        // A socket in the file system is simulated by an address that nothing else uses.
        let at = SocketAddr::from(((number as u128 | 0xfd00 << 112).to_be_bytes(), 0));
        self.disk(&mut inner)?.sockets.insert(path.into(), at);
        let state = ListenerState { machine: self.machine, open: true, ..ListenerState::default() };
        inner.listeners.entry(at).or_default().push((number, state));
        drop(inner);
        Ok(Box::new(ListenerHandle { world: self.world.clone(), at, number }))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let inner = self.world.0.borrow();
        if inner.call_faults_of(self.machine).unreadable_files {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        let disk = inner.disks.get(&inner.machines[self.machine].disk);
        disk.and_then(|d| d.files.get(path)).cloned().ok_or(ErrorKind::NotFound.into())
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.world.0.borrow_mut();
        let disk = self.disk(&mut inner)?;
        disk.files.insert(path.into(), bytes.to_vec());
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut inner = self.world.0.borrow_mut();
        let disk = inner.machines[self.machine].disk;
        let disk = inner.disks.entry(disk).or_default();
        if let Some(at) = disk.sockets.remove(from) {
            disk.sockets.insert(to.into(), at);
            return Ok(());
        }
        let bytes = disk.files.remove(from).ok_or(io::Error::from(ErrorKind::NotFound))?;
        disk.files.insert(to.into(), bytes);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut inner = self.world.0.borrow_mut();
        let disk = inner.machines[self.machine].disk;
        let removed = inner.disks.get_mut(&disk).and_then(|d| d.files.remove(path));
        removed.map(|_| ()).ok_or(ErrorKind::NotFound.into())
    }

    fn make_dirs(&self, path: &Path) -> io::Result<()> {
        let mut inner = self.world.0.borrow_mut();
        self.disk(&mut inner)?.dirs.insert(path.into());
        Ok(())
    }

    fn list(&self, path: &Path) -> io::Result<Vec<PathBuf>> {
        let inner = self.world.0.borrow();
        if inner.call_faults_of(self.machine).unreadable_files {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        let disk = inner.disks.get(&inner.machines[self.machine].disk);
        let inside = |entry: &&PathBuf| entry.parent() == Some(path);
        Ok(disk.map(|d| d.files.keys().filter(inside).cloned().collect()).unwrap_or_default())
    }

    fn since_boot(&self) -> Duration {
        Duration::from_micros(self.world.now())
    }

    fn open_shared(&self, path: &Path) -> io::Result<Box<dyn SimulatedSharedFile>> {
        let mut inner = self.world.0.borrow_mut();
        if inner.call_faults_of(self.machine).unreadable_files {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        let number = inner.next_number();
        let disk = inner.machines[self.machine].disk;
        self.disk(&mut inner)?.shared_files.entry(path.into()).or_default();
        drop(inner);
        Ok(Box::new(OpenSharedFile { world: self.world.clone(), disk, path: path.into(), number }))
    }
}

/// An open file that several processes use at the same time.
struct OpenSharedFile {
    world: Rc<World>,
    disk: usize,
    path: PathBuf,
    /// Identifies the open file.
    number: u64,
}

impl OpenSharedFile {
    fn with_state<T>(&self, work: impl FnOnce(&mut SharedFileState) -> T) -> T {
        let mut inner = self.world.0.borrow_mut();
        let disk = inner.disks.entry(self.disk).or_default();
        work(disk.shared_files.entry(self.path.clone()).or_default())
    }
}

impl SimulatedSharedFile for OpenSharedFile {
    fn try_lock(&self, offset: u64) -> io::Result<bool> {
        Ok(self.with_state(|file| *file.locks.entry(offset).or_insert(self.number) == self.number))
    }

    fn unlock(&self, offset: u64) -> io::Result<()> {
        self.with_state(|file| {
            if file.locks.get(&offset) == Some(&self.number) {
                file.locks.remove(&offset);
            }
        });
        Ok(())
    }

    fn read_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<usize> {
        self.with_state(|file| {
            let rest = file.bytes.get(offset as usize..).unwrap_or_default();
            let length = rest.len().min(buffer.len());
            buffer[..length].copy_from_slice(&rest[..length]);
            Ok(length)
        })
    }

    fn write_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        let full = self.world.0.borrow().disks.get(&self.disk).is_some_and(|disk| disk.full);
        if full {
            return Err(ErrorKind::StorageFull.into());
        }
        self.with_state(|file| {
            let (begin, end) = (offset as usize, offset as usize + bytes.len());
            file.bytes.resize(file.bytes.len().max(end), 0);
            file.bytes[begin..end].copy_from_slice(bytes);
        });
        Ok(())
    }
}

impl Drop for OpenSharedFile {
    fn drop(&mut self) {
        self.with_state(|file| file.locks.retain(|_, holder| *holder != self.number));
    }
}

impl MachineView {
    /// The machine's disk, or an error if the disk is full.
    fn disk<'a>(&self, inner: &'a mut Inner) -> io::Result<&'a mut Disk> {
        let disk = inner.machines[self.machine].disk;
        let disk = inner.disks.entry(disk).or_default();
        if disk.full { Err(ErrorKind::StorageFull.into()) } else { Ok(disk) }
    }
}

/// A socket for datagrams.
struct DatagramSocket {
    world: Rc<World>,
    machine: Machine,
    at: SocketAddr,
}

impl SimulatedDatagramSocket for DatagramSocket {
    fn poll_receive(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        let mut inner = self.world.0.borrow_mut();
        let Some(queue) = inner.datagram_queues.get_mut(&self.at) else {
            return Poll::Ready(Err(ErrorKind::NotConnected.into()));
        };
        let Some((bytes, from)) = queue.received.pop_front() else {
            queue.waker = Some(cx.waker().clone());
            return Poll::Pending;
        };
        let n = bytes.len().min(into.len());
        into[..n].copy_from_slice(&bytes[..n]);
        Poll::Ready(Ok((n, from)))
    }

    fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.world.0.borrow_mut().send_datagram(self.machine, self.at, to, bytes);
        Ok(())
    }
}

impl Drop for DatagramSocket {
    fn drop(&mut self) {
        let mut inner = self.world.0.borrow_mut();
        inner.datagram_queues.remove(&self.at);
        inner.machines[self.machine].open_descriptors -= 1;
    }
}

/// One end of a connection.
struct ConnectionEnd {
    world: Rc<World>,
    machine: Machine,
    inward: u64,
    outward: u64,
}

impl ConnectionEnd {
    /// Opens an end and counts its descriptor.
    fn open(world: &Rc<World>, machine: Machine, inward: u64, outward: u64) -> Box<dyn SimulatedConnection> {
        world.0.borrow_mut().machines[machine].open_descriptors += 1;
        Box::new(ConnectionEnd { world: world.clone(), machine, inward, outward })
    }
}

impl Drop for ConnectionEnd {
    fn drop(&mut self) {
        let mut inner = self.world.0.borrow_mut();
        inner.machines[self.machine].open_descriptors -= 1;
        inner.close(self.inward, self.outward);
    }
}

impl SimulatedConnection for ConnectionEnd {
    fn poll_read(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut inner = self.world.0.borrow_mut();
        if inner.draw_interruption(self.machine) {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        let (partial_io, drawn) = (inner.partial_io, inner.random.rand_u64());
        let Some(pipe) = inner.pipes.get_mut(&self.inward) else { return Poll::Ready(Ok(0)) };
        if pipe.reset {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if pipe.received.is_empty() {
            if pipe.ended {
                return Poll::Ready(Ok(0));
            }
            pipe.reader_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let readable = pipe.received.len().min(into.len());
        let n = if partial_io && drawn.is_multiple_of(4) {
            1 + (drawn / 4) as usize % readable
        } else {
            readable
        };
        for (to, from) in into.iter_mut().zip(pipe.received.drain(..n)) {
            *to = from;
        }
        let writer = pipe.writer_waker.take();
        drop(inner);
        writer.into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(n))
    }

    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut inner = self.world.0.borrow_mut();
        if inner.draw_interruption(self.machine) {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        let (partial_io, drawn, now) = (inner.partial_io, inner.random.rand_u64(), inner.now);
        let Some(pipe) = inner.pipes.get_mut(&self.outward) else {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        };
        if pipe.broken || pipe.end_sent {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let writable =
            PIPE_CAPACITY_BYTES.saturating_sub(pipe.received.len() + pipe.in_flight_bytes).min(bytes.len());
        if writable == 0 && !bytes.is_empty() {
            pipe.writer_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let n = if partial_io && drawn.is_multiple_of(4) && writable > 0 {
            1 + (drawn / 4) as usize % writable
        } else {
            writable
        };
        pipe.in_flight_bytes += n;
        let (pipe_id, part) = (self.outward, bytes[..n].to_vec());
        let at = inner.draw_write_time(self.machine);
        inner.send_at(at, pipe_id, n, Event::Data(pipe_id, part, at, now));
        Poll::Ready(Ok(n))
    }

    fn is_idle(&self) -> bool {
        let inner = self.world.0.borrow();
        inner
            .pipes
            .get(&self.inward)
            .is_some_and(|pipe| pipe.received.is_empty() && !pipe.ended && !pipe.reset)
    }

    fn is_hung_up(&self) -> bool {
        let inner = self.world.0.borrow();
        inner.pipes.get(&self.inward).is_none_or(|pipe| pipe.ended || pipe.reset)
    }

    fn shutdown(&self) -> io::Result<()> {
        let mut inner = self.world.0.borrow_mut();
        let Some(pipe) = inner.pipes.get_mut(&self.outward) else {
            return Err(ErrorKind::NotConnected.into());
        };
        if pipe.broken {
            return Err(ErrorKind::NotConnected.into());
        }
        if !pipe.end_sent {
            pipe.end_sent = true;
            let pipe_id = self.outward;
            inner.send(pipe_id, 0, Event::End(pipe_id, false));
        }
        Ok(())
    }
}

/// A listener of a process. When it is dropped, the connections that wait to be accepted are closed.
struct ListenerHandle {
    world: Rc<World>,
    at: SocketAddr,
    number: u64,
}

impl ListenerHandle {
    /// Draws whether the next accept fails, and with which error. The waiting connection stays for a later accept.
    fn draw_accept_error(&self) -> Option<io::Error> {
        let machine = self.with_state(|l| (!l.queue.is_empty()).then_some(l.machine)).flatten()?;
        let mut inner = self.world.0.borrow_mut();
        if inner.call_faults_of(machine).interrupted && inner.random.rand_range(0..ABORTED_ONE_IN) == 0 {
            return Some(ErrorKind::ConnectionAborted.into());
        }
        inner.draw_shortage(machine)
    }

    /// Calls a function with the state of the listener, unless its address is gone.
    fn with_state<T>(&self, work: impl FnOnce(&mut ListenerState) -> T) -> Option<T> {
        let mut inner = self.world.0.borrow_mut();
        let listeners = inner.listeners.get_mut(&self.at)?;
        listeners.iter_mut().find(|d| d.0 == self.number).map(|d| work(&mut d.1))
    }
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        let mut inner = self.world.0.borrow_mut();
        let Some(listeners) = inner.listeners.get_mut(&self.at) else { return };
        let mut unaccepted = Vec::new();
        listeners.retain_mut(|d| {
            if d.0 == self.number {
                unaccepted.extend(d.1.queue.drain(..));
            }
            d.0 != self.number
        });
        for (inward, outward, _) in unaccepted {
            inner.close(inward, outward);
        }
    }
}

impl SimulatedListener for ListenerHandle {
    fn listen(&self) -> io::Result<()> {
        self.with_state(|l| l.open = true).ok_or(ErrorKind::NotFound.into())
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn SimulatedConnection>>> {
        if let Some(e) = self.draw_accept_error() {
            return Poll::Ready(Err(e));
        }
        let next = self.with_state(|l| {
            if l.queue.is_empty() {
                l.waker = Some(cx.waker().clone());
            }
            (l.machine, l.queue.pop_front())
        });
        match next {
            Some((machine, Some((inward, outward, from)))) => {
                let mut inner = self.world.0.borrow_mut();
                inner.last_accepted = (from, inward);
                if inner.machines[machine].open_descriptors >= inner.machines[machine].max_descriptors {
                    inner.close(inward, outward);
                    return Poll::Ready(Err(io::Error::other("too many open files")));
                }
                drop(inner);
                Poll::Ready(Ok(ConnectionEnd::open(&self.world, machine, inward, outward)))
            }
            Some((_, None)) => Poll::Pending,
            None => Poll::Ready(Err(ErrorKind::NotFound.into())),
        }
    }
}
