//! The simulated world: virtual time, and a network between machines that live in one thread. It owns the clock,
//! what is due, every connection, the disks and the trace. It must never ask the machine it runs on for anything: one seed
//! gives one day, to the byte. What falls due at the same instant happens in an order drawn from the seed.

use oorandom::Rand64;
use sillfold::net::world::{
    LocalBoxFuture, SimulatedConnection, SimulatedDatagramSocket, SimulatedListener, SimulatedWorld,
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

/// Microseconds since the day began.
pub type Micros = u64;
/// A machine's number.
pub type Machine = usize;

/// What may be on its way or unread in one direction of a connection.
const ROOM: usize = 64 * 1024;
/// Datagrams that may wait to be read; of those sent, the share in a thousand that is lost, doubled, damaged.
const MAILS: usize = 64;
const LOST: u64 = 50;
const DOUBLED: u64 = 30;
const DAMAGED: u64 = 20;
/// How long one takes at least and at most, in microseconds.
const MAIL_WAY: (Micros, Micros) = (3_500, 35_000);
/// Connections that may wait to be accepted.
const BACKLOG: usize = 128;
/// One read or write in so many is interrupted, where any are; one accept in so many is of a connection that was given up.
const INTERRUPTED_ONE_IN: u64 = 12;
const ABORTED_ONE_IN: u64 = 6;
/// The longest hold-up between a look at the clock and a write.
pub const MAX_WRITE_DELAY_US: Micros = 150_000;
/// Numbers of the machine's errors: EIO, ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH.
const EIO: i32 = 5;
const SHORTAGES: [i32; 4] = [23, 105, 99, 101];
/// The last lines of the trace that are kept for a report.
const KEPT: usize = 400;
/// The wall clock at the day's begin.
const UNIX: Duration = Duration::from_secs(1_767_225_600);

/// One direction of a connection.
struct Pipe {
    from: Machine,
    to: Machine,
    came: VecDeque<u8>,
    under_way: usize,
    /// Nothing overtakes what was sent before.
    last_due: Micros,
    /// When what came last was sent, and when its sender set out to send it.
    sent: Micros,
    issued: Micros,
    ending: bool,
    ended: bool,
    reset: bool,
    /// The reader will read no more, and the writer has heard so.
    reader_gone: bool,
    broken: bool,
    writer_gone: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

/// What falls due.
enum Due {
    Wake(u64),
    /// On which connection, what, when it was sent, and when its sender set out to.
    Arrive(u64, Vec<u8>, Micros, Micros),
    End(u64, bool),
    Broken(u64),
    Dial(Machine, SocketAddr, Rc<RefCell<Dialling>>),
    Dialled(Rc<RefCell<Dialling>>, io::Result<(u64, u64)>),
    /// A datagram: who sent it, from which address, to which.
    Mail(Machine, SocketAddr, SocketAddr, Vec<u8>),
}

#[derive(Default)]
struct Dialling {
    done: Option<io::Result<(u64, u64)>>,
    waker: Option<Waker>,
    dropped: bool,
}

/// What has come to an address for datagrams.
struct Mailbox {
    machine: Machine,
    came: VecDeque<(Vec<u8>, SocketAddr)>,
    waker: Option<Waker>,
}

#[derive(Default)]
struct Listening {
    machine: Machine,
    open: bool,
    /// Connections that wait: the pipe in, the pipe out, and who dialled.
    queue: VecDeque<(u64, u64, Machine)>,
    waker: Option<Waker>,
}

/// A machine, as its neighbours see it.
#[derive(Default)]
struct Place {
    /// Descriptors of connections that are open, and how many may be.
    open: usize,
    most: usize,
    /// Its disk: processes that follow one another share one, and a wall clock.
    disk: usize,
    /// Until when its process is held up.
    held_until: Micros,
}

/// System calls that fail, for all processes that share a disk.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallFaults {
    /// Reads and writes are interrupted now and then.
    pub interrupted: bool,
    /// So many percent of dials and accepts fail for want of something on the machine.
    pub shortage: u64,
    /// One write in so many is held up between the clock and the network; none where it is 0.
    pub held_up_one_in: u64,
    /// Files cannot be read.
    pub unreadable: bool,
}

/// What outlasts a process.
#[derive(Default)]
struct Disk {
    files: BTreeMap<PathBuf, Vec<u8>>,
    sockets: BTreeMap<PathBuf, SocketAddr>,
    dirs: BTreeSet<PathBuf>,
    full: bool,
}

struct Inner {
    start: Instant,
    now: Micros,
    lots: Rand64,
    number: u64,
    due: BTreeMap<(Micros, u64, u64), Due>,
    timers: BTreeMap<u64, Waker>,
    pipes: BTreeMap<u64, Pipe>,
    doors: BTreeMap<SocketAddr, Vec<(u64, Listening)>>,
    mailboxes: BTreeMap<SocketAddr, Mailbox>,
    places: Vec<Place>,
    disks: BTreeMap<usize, Disk>,
    /// Steps of wall clocks in microseconds, and calls that fail, by disk.
    steps: BTreeMap<usize, i64>,
    call_faults: BTreeMap<usize, CallFaults>,
    /// Directions in which nothing arrives, and what would have.
    cut: BTreeSet<(Machine, Machine)>,
    held: Vec<(Machine, Machine, Due)>,
    /// Machines without power.
    dark: BTreeSet<Machine>,
    /// When directions were cut, or machines lost power.
    cuts: Vec<Micros>,
    accepted: (Machine, u64),
    /// Connections that a machine closed over bytes it had not read, or that were on their way: who sent them, who closed.
    closed_over: Vec<(Machine, Machine)>,
    choppy: bool,
    hash: u64,
    lines: u64,
    last: VecDeque<String>,
    out: Option<Vec<String>>,
}

/// The simulated world.
pub struct World(RefCell<Inner>);

impl World {
    /// A world that has not begun; with `choppy`, reads and writes are cut into parts.
    pub fn new(seed: u64, choppy: bool, whole_trace: bool) -> Rc<World> {
        #[allow(clippy::disallowed_methods, reason = "an origin for virtual instants, which nothing shows")]
        let start = Instant::now();
        let inner = Inner {
            start,
            now: 0,
            lots: Rand64::new(u128::from(seed) ^ 0x5eed_0000),
            number: 0,
            due: BTreeMap::new(),
            timers: BTreeMap::new(),
            pipes: BTreeMap::new(),
            doors: BTreeMap::new(),
            mailboxes: BTreeMap::new(),
            places: Vec::new(),
            disks: BTreeMap::new(),
            steps: BTreeMap::new(),
            call_faults: BTreeMap::new(),
            cut: BTreeSet::new(),
            held: Vec::new(),
            dark: BTreeSet::new(),
            cuts: Vec::new(),
            accepted: (0, 0),
            closed_over: Vec::new(),
            choppy,
            hash: 0xcbf2_9ce4_8422_2325,
            lines: 0,
            last: VecDeque::new(),
            out: whole_trace.then(Vec::new),
        };
        Rc::new(World(RefCell::new(inner)))
    }

    /// One more machine, with so many descriptors.
    pub fn add_machine(&self, most: usize) -> Machine {
        self.add_machine_with_disk(most, usize::MAX)
    }

    /// One more process's machine, with this disk.
    pub fn add_machine_with_disk(&self, most: usize, disk: usize) -> Machine {
        let mut w = self.0.borrow_mut();
        w.places.push(Place { most, disk, ..Place::default() });
        w.places.len() - 1
    }

    /// A disk takes nothing more from now on, or does again.
    pub fn set_disk_full(&self, disk: usize, full: bool) {
        self.0.borrow_mut().disks.entry(disk).or_default().full = full;
    }

    /// One of a disk's files, by lot, ends in its middle from now on; its name, if there is one.
    pub fn truncate_random_file(&self, disk: usize) -> Option<String> {
        let mut w = self.0.borrow_mut();
        let lot = w.lots.rand_u64();
        let files = &mut w.disks.get_mut(&disk)?.files;
        let n = (lot % files.len().max(1) as u64) as usize;
        let (path, bytes) = files.iter_mut().nth(n)?;
        bytes.truncate(bytes.len() / 3);
        Some(path.file_name()?.to_string_lossy().into_owned())
    }

    /// The present moment.
    pub fn now(&self) -> Micros {
        self.0.borrow().now
    }

    /// The wall clock, in milliseconds, where no machine's own is asked for.
    pub fn unix_ms(&self) -> u64 {
        UNIX.as_millis() as u64 + self.now() / 1_000
    }

    /// A number from 0 to under `n`.
    pub fn draw_below(&self, n: u64) -> u64 {
        self.0.borrow_mut().lots.rand_range(0..n.max(1))
    }

    /// A number from 0 to 1.
    pub fn draw_fraction(&self) -> f64 {
        self.0.borrow_mut().lots.rand_float()
    }

    /// Writes a line of the trace.
    pub fn trace(&self, line: impl FnOnce() -> String) {
        self.0.borrow_mut().note(line());
    }

    /// The trace's hash and length so far.
    pub fn trace_hash(&self) -> (u64, u64) {
        let w = self.0.borrow();
        (w.hash, w.lines)
    }

    /// The last lines of the trace that hold any of these, or all of the last where none is given.
    pub fn trace_tail(&self, with: &[String]) -> Vec<String> {
        let w = self.0.borrow();
        let held = |l: &&String| with.is_empty() || with.iter().any(|t| l.contains(t.as_str()));
        w.last.iter().filter(held).cloned().collect()
    }

    /// The whole trace, where it is kept.
    pub fn take_trace(&self) -> Vec<String> {
        self.0.borrow_mut().out.take().unwrap_or_default()
    }

    /// Descriptors of connections that a machine has open.
    pub fn open_descriptors(&self, machine: Machine) -> usize {
        self.0.borrow().places[machine].open
    }

    /// Nothing arrives in this direction from now on, or all that was held back does.
    pub fn set_blocked(&self, from: Machine, to: Machine, cut: bool) {
        let mut w = self.0.borrow_mut();
        if cut {
            w.cut.insert((from, to));
            let now = w.now;
            w.cuts.push(now);
            return;
        }
        w.cut.remove(&(from, to));
        let (go, stay) = std::mem::take(&mut w.held).into_iter().partition(|h| (h.0, h.1) == (from, to));
        w.held = stay;
        let go: Vec<(Machine, Machine, Due)> = go;
        for (at, (.., due)) in (w.now..).zip(go) {
            w.put(at, due);
        }
    }

    /// Whether nothing arrives in this direction.
    pub fn is_blocked(&self, from: Machine, to: Machine) -> bool {
        self.0.borrow().cut.contains(&(from, to))
    }

    /// Without power a machine neither sends nor hears; its connections stand at the others until they give up.
    pub fn set_powered(&self, machine: Machine, on: bool) {
        let mut w = self.0.borrow_mut();
        if on {
            w.dark.remove(&machine);
        } else {
            w.dark.insert(machine);
            let now = w.now;
            w.cuts.push(now);
        }
    }

    /// Steps the wall clock of all processes with this disk, also of those to come.
    pub fn step_clock(&self, disk: usize, by_us: i64) {
        *self.0.borrow_mut().steps.entry(disk).or_default() += by_us;
    }

    /// From now on calls of all processes with this disk fail so, also of those to come.
    pub fn change_call_faults(&self, disk: usize, change: impl FnOnce(&mut CallFaults)) {
        change(self.0.borrow_mut().call_faults.entry(disk).or_default());
    }

    /// Whether a machine's process is held up.
    pub fn is_delayed(&self, machine: Machine) -> bool {
        let w = self.0.borrow();
        w.places[machine].held_until > w.now
    }

    /// Who dialled the connection that was accepted last, and its number.
    pub fn last_accepted(&self) -> (Machine, u64) {
        self.0.borrow().accepted
    }

    /// Connections closed since over bytes that were not read, or had not come: who sent them, and who closed.
    pub fn take_closed_with_unread_data(&self) -> Vec<(Machine, Machine)> {
        std::mem::take(&mut self.0.borrow_mut().closed_over)
    }

    /// Whether the other end of an accepted connection is still held open.
    pub fn is_peer_end_open(&self, number: u64) -> bool {
        self.0.borrow().pipes.get(&number).is_some_and(|p| !p.writer_gone)
    }

    /// Whether what is written on an accepted connection now gets to the other end.
    pub fn is_peer_reachable(&self, number: u64) -> bool {
        let w = self.0.borrow();
        let Some(p) = w.pipes.get(&number) else { return false };
        let is_dark = w.dark.contains(&p.from) || w.dark.contains(&p.to);
        !p.writer_gone && !is_dark && !w.cut.contains(&(p.to, p.from))
    }

    /// Whether anything was cut, or lost its power, since this moment and by the other.
    pub fn was_disrupted(&self, since: Micros, by: Micros) -> bool {
        self.0.borrow().cuts.iter().any(|at| (since..=by).contains(at))
    }

    /// When what came last on an accepted connection was sent, and when its sender set out to.
    pub fn last_arrival_times(&self, number: u64) -> (Micros, Micros) {
        let w = self.0.borrow();
        w.pipes.get(&number).map_or((w.now, w.now), |p| (p.sent, p.issued))
    }

    /// Moves on to what is due next, and lets it happen; false if nothing is due until then.
    pub fn step(&self, until: Micros) -> bool {
        let woken = {
            let mut w = self.0.borrow_mut();
            match w.due.first_key_value() {
                Some((key, _)) if key.0 <= until => {}
                _ => {
                    w.now = w.now.max(until);
                    return false;
                }
            }
            let Some((key, due)) = w.due.pop_first() else { return false };
            w.now = w.now.max(key.0);
            w.happen(due)
        };
        woken.into_iter().for_each(Waker::wake);
        true
    }

    /// Somebody sends a datagram under another's address.
    pub fn send_forged_datagram(&self, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let mut w = self.0.borrow_mut();
        let machine = w.mailboxes.get(&from).map_or(0, |m| m.machine);
        w.mail(machine, from, to, bytes);
    }

    /// The same, seen from a machine.
    pub fn view_from(self: &Rc<World>, machine: Machine) -> Rc<MachineView> {
        Rc::new(MachineView { world: self.clone(), machine })
    }
}

impl Inner {
    fn note(&mut self, line: String) {
        let line = format!("{}.{:06} {line}", self.now / 1_000_000, self.now % 1_000_000);
        for b in line.bytes() {
            self.hash = (self.hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        }
        self.lines += 1;
        if let Some(out) = &mut self.out {
            out.push(line.clone());
        }
        if self.last.len() >= KEPT {
            self.last.pop_front();
        }
        self.last.push_back(line);
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn put(&mut self, at: Micros, due: Due) -> (Micros, u64, u64) {
        let key = (at.max(self.now), self.lots.rand_u64(), self.number());
        self.due.insert(key, due);
        key
    }

    /// How long something takes on its way.
    fn way(&mut self) -> Micros {
        let slow = self.lots.rand_range(0..50) == 0;
        200 + self.lots.rand_range(0..300) + if slow { self.lots.rand_range(0..3_000) } else { 0 }
    }

    /// The calls of a machine that fail.
    fn faults_of(&self, machine: Machine) -> CallFaults {
        self.call_faults.get(&self.places[machine].disk).copied().unwrap_or_default()
    }

    /// Whether a signal interrupts this call of a machine.
    fn interrupts(&mut self, machine: Machine) -> bool {
        self.faults_of(machine).interrupted && self.lots.rand_range(0..INTERRUPTED_ONE_IN) == 0
    }

    /// The error of a dial or an accept for want of something on the machine, if it fails.
    fn shortage(&mut self, machine: Machine) -> Option<io::Error> {
        let percent = self.faults_of(machine).shortage;
        if percent == 0 || self.lots.rand_range(0..100) >= percent {
            return None;
        }
        let n = self.lots.rand_range(0..SHORTAGES.len() as u64) as usize;
        Some(io::Error::from_raw_os_error(SHORTAGES[n]))
    }

    /// When a write of a machine gets to the network: its process may be held up until then, or be held up by this.
    fn writes_at(&mut self, machine: Machine) -> Micros {
        let one_in = self.faults_of(machine).held_up_one_in;
        let held_until = self.places[machine].held_until;
        if held_until > self.now || one_in == 0 || self.lots.rand_range(0..one_in) > 0 {
            return held_until.max(self.now);
        }
        let held_until = self.now + self.lots.rand_range(1..MAX_WRITE_DELAY_US);
        self.places[machine].held_until = held_until;
        // Something is due then, so that the process is looked at.
        let number = self.number();
        self.put(held_until, Due::Wake(number));
        held_until
    }

    fn send(&mut self, pipe: u64, bytes: usize, due: Due) {
        self.send_at(self.now, pipe, bytes, due);
    }

    fn send_at(&mut self, from: Micros, pipe: u64, bytes: usize, due: Due) {
        let way = self.way() + bytes as u64 / 100;
        let Some(p) = self.pipes.get_mut(&pipe) else { return };
        p.last_due = p.last_due.max(from + way);
        let at = p.last_due;
        // Not at the same instant as what goes before it, whose lot may be higher.
        p.last_due += 1;
        self.put(at, due);
    }

    fn on_way(&self, due: &Due) -> Option<(Machine, Machine)> {
        match due {
            Due::Arrive(pipe, ..) | Due::End(pipe, _) => self.pipes.get(pipe).map(|p| (p.from, p.to)),
            Due::Broken(pipe) => self.pipes.get(pipe).map(|p| (p.to, p.from)),
            Due::Dial(from, to, _) => {
                let to = self.doors.get(to).and_then(|d| d.last()).map(|d| d.1.machine);
                to.map(|to| (*from, to))
            }
            Due::Dialled(_, Ok((inward, _))) => self.pipes.get(inward).map(|p| (p.from, p.to)),
            Due::Mail(from, _, to, _) => self.mailboxes.get(to).map(|m| (*from, m.machine)),
            Due::Wake(_) | Due::Dialled(_, Err(_)) => None,
        }
    }

    fn happen(&mut self, due: Due) -> Option<Waker> {
        if let Some((from, to)) = self.on_way(&due) {
            if self.dark.contains(&from) || self.dark.contains(&to) {
                return None;
            }
            if self.cut.contains(&(from, to)) {
                self.held.push((from, to, due));
                return None;
            }
        }
        match due {
            Due::Wake(timer) => self.timers.remove(&timer),
            Due::Arrive(pipe, bytes, sent, issued) => {
                let p = self.pipes.get_mut(&pipe)?;
                p.under_way -= bytes.len();
                if p.reader_gone {
                    if !p.writer_gone && !p.ending {
                        let ends = (p.from, p.to);
                        self.closed_over.push(ends);
                    }
                    self.send(pipe, 0, Due::Broken(pipe));
                    return None;
                }
                p.came.extend(bytes);
                (p.sent, p.issued) = (sent, issued);
                p.reader.take()
            }
            Due::End(pipe, reset) => {
                let p = self.pipes.get_mut(&pipe)?;
                (p.ended, p.reset) = (true, p.reset || reset);
                let reader = p.reader.take();
                self.let_go(pipe);
                reader
            }
            Due::Broken(pipe) => {
                let p = self.pipes.get_mut(&pipe)?;
                p.broken = true;
                let writer = p.writer.take();
                self.let_go(pipe);
                writer
            }
            Due::Dial(from, to, dialling) => self.dialled(from, to, dialling),
            Due::Mail(_, from, to, bytes) => {
                // Nobody is there any more, or too much waits already: it is lost.
                let inbox = self.mailboxes.get_mut(&to).filter(|m| m.came.len() < MAILS)?;
                inbox.came.push_back((bytes, from));
                inbox.waker.take()
            }
            Due::Dialled(dialling, result) => {
                let mut d = dialling.borrow_mut();
                if let (true, Ok((inward, outward))) = (d.dropped, &result) {
                    let ends = (*inward, *outward);
                    drop(d);
                    self.close(ends.0, ends.1);
                    return None;
                }
                d.done = Some(result);
                d.waker.take()
            }
        }
    }

    /// Puts a datagram on its way: lost, doubled or damaged now and then, overtaken often.
    fn mail(&mut self, machine: Machine, from: SocketAddr, to: SocketAddr, bytes: &[u8]) {
        let lot = self.lots.rand_range(0..1_000);
        let times = if lot < LOST { 0 } else { 1 + u64::from(lot < LOST + DOUBLED) };
        for _ in 0..times {
            let mut bytes = bytes.to_vec();
            if self.lots.rand_range(0..1_000) < DAMAGED && !bytes.is_empty() {
                let at = self.lots.rand_range(0..bytes.len() as u64) as usize;
                bytes[at] ^= 1 << self.lots.rand_range(0..8);
            }
            let at = self.now + self.lots.rand_range(MAIL_WAY.0..MAIL_WAY.1);
            self.put(at, Due::Mail(machine, from, to, bytes));
        }
    }

    fn dialled(&mut self, from: Machine, to: SocketAddr, dialling: Rc<RefCell<Dialling>>) -> Option<Waker> {
        let lot = self.lots.rand_u64();
        let way = self.way();
        let open = |d: &&mut (u64, Listening)| d.1.open;
        let mut doors: Vec<&mut (u64, Listening)> =
            self.doors.get_mut(&to).map(|d| d.iter_mut().filter(open).collect()).unwrap_or_default();
        if doors.is_empty() {
            let at = self.now + way;
            self.put(at, Due::Dialled(dialling, Err(ErrorKind::ConnectionRefused.into())));
            return None;
        }
        // As the machine does where several listen at one address.
        let n = doors.len() as u64;
        let door = &mut doors.swap_remove((lot % n) as usize).1;
        if door.queue.len() >= BACKLOG {
            return None;
        }
        let (there, back) = (self.number + 1, self.number + 2);
        let waker = door.waker.take();
        door.queue.push_back((there, back, from));
        let machine = door.machine;
        self.number += 2;
        self.pipes(from, machine, there, back);
        self.send(back, 0, Due::Dialled(dialling, Ok((back, there))));
        waker
    }

    /// Both directions of a connection.
    fn pipes(&mut self, from: Machine, machine: Machine, there: u64, back: u64) {
        let pipe = |from, to| Pipe {
            from,
            to,
            came: VecDeque::new(),
            under_way: 0,
            last_due: 0,
            sent: 0,
            issued: 0,
            ending: false,
            ended: false,
            reset: false,
            reader_gone: false,
            broken: false,
            writer_gone: false,
            reader: None,
            writer: None,
        };
        self.pipes.insert(there, pipe(from, machine));
        self.pipes.insert(back, pipe(machine, from));
    }

    /// One end of a connection is gone: whose pipe in and pipe out these are.
    fn close(&mut self, inward: u64, outward: u64) {
        let mut reset = false;
        if let Some(p) = self.pipes.get_mut(&inward) {
            p.reader_gone = true;
            reset = !p.came.is_empty();
            if reset && !p.writer_gone {
                self.closed_over.push((p.from, p.to));
            }
            p.came.clear();
            if reset {
                self.send(inward, 0, Due::Broken(inward));
            }
        }
        if let Some(p) = self.pipes.get_mut(&outward) {
            p.writer_gone = true;
            if !p.ending || reset {
                p.ending = true;
                self.send(outward, 0, Due::End(outward, reset));
            }
        }
        self.let_go(inward);
        self.let_go(outward);
    }

    fn let_go(&mut self, pipe: u64) {
        if self.pipes.get(&pipe).is_some_and(|p| p.reader_gone && p.writer_gone && p.under_way == 0) {
            self.pipes.remove(&pipe);
        }
    }
}

/// The world as one machine sees it.
pub struct MachineView {
    world: Rc<World>,
    machine: Machine,
}

struct Sleep {
    world: Rc<World>,
    when: Micros,
    timer: Option<(u64, (Micros, u64, u64))>,
}

impl Future for Sleep {
    type Output = ();
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let world = self.world.clone();
        let mut w = world.0.borrow_mut();
        if w.now >= self.when {
            return Poll::Ready(());
        }
        let id = match self.timer {
            Some((id, _)) => id,
            None => {
                let id = w.number();
                let key = w.put(self.when, Due::Wake(id));
                self.timer = Some((id, key));
                id
            }
        };
        w.timers.insert(id, cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some((id, key)) = self.timer {
            let mut w = self.world.0.borrow_mut();
            w.due.remove(&key);
            w.timers.remove(&id);
        }
    }
}

/// Gives a dial that nobody waits for any more back.
struct Waits(Rc<World>, Rc<RefCell<Dialling>>);

impl Drop for Waits {
    fn drop(&mut self) {
        let mut d = self.1.borrow_mut();
        d.dropped = true;
        if let Some(Ok((inward, outward))) = d.done.take() {
            drop(d);
            self.0.0.borrow_mut().close(inward, outward);
        }
    }
}

impl SimulatedWorld for MachineView {
    fn now(&self) -> Instant {
        let w = self.world.0.borrow();
        w.start + Duration::from_micros(w.now)
    }

    fn unix_time(&self) -> Duration {
        let w = self.world.0.borrow();
        let step = w.steps.get(&w.places[self.machine].disk).copied().unwrap_or(0);
        let now = UNIX.as_micros() as i64 + w.now as i64 + step;
        Duration::from_micros(now.max(0) as u64)
    }

    fn at(&self, when: Instant) -> LocalBoxFuture<()> {
        let w = self.world.0.borrow();
        let when = when.saturating_duration_since(w.start).as_micros() as Micros;
        Box::pin(Sleep { world: self.world.clone(), when, timer: None })
    }

    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<io::Result<Box<dyn SimulatedConnection>>> {
        let (world, machine) = (self.world.clone(), self.machine);
        Box::pin(async move {
            let dialling = Rc::new(RefCell::new(Dialling::default()));
            {
                let mut w = world.0.borrow_mut();
                if w.places[machine].open >= w.places[machine].most {
                    return Err(io::Error::other("too many open files"));
                }
                if let Some(e) = w.shortage(machine) {
                    return Err(e);
                }
                let at = w.now + w.way();
                w.put(at, Due::Dial(machine, to, dialling.clone()));
            }
            let waits = Waits(world.clone(), dialling.clone());
            let done = poll_fn(|cx| {
                let mut d = dialling.borrow_mut();
                match d.done.take() {
                    Some(done) => Poll::Ready(done),
                    None => {
                        d.waker = Some(cx.waker().clone());
                        Poll::Pending
                    }
                }
            });
            let (inward, outward) = done.await?;
            drop(waits);
            Ok(End::open(&world, machine, inward, outward))
        })
    }

    fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn SimulatedListener>> {
        let mut w = self.world.0.borrow_mut();
        let number = w.number();
        let listening = Listening { machine: self.machine, ..Listening::default() };
        w.doors.entry(at).or_default().push((number, listening));
        drop(w);
        Ok(Box::new(Gate { world: self.world.clone(), at, number }))
    }

    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Box<dyn SimulatedDatagramSocket>> {
        let mut w = self.world.0.borrow_mut();
        if w.mailboxes.contains_key(&at) {
            return Err(ErrorKind::AddrInUse.into());
        }
        w.mailboxes.insert(at, Mailbox { machine: self.machine, came: VecDeque::new(), waker: None });
        w.places[self.machine].open += 1;
        drop(w);
        Ok(Box::new(Letters { world: self.world.clone(), machine: self.machine, at }))
    }

    fn unique_number(&self) -> u64 {
        self.world.0.borrow_mut().lots.rand_u64()
    }

    fn connect_local(&self, path: &Path) -> io::Result<Box<dyn SimulatedConnection>> {
        let mut w = self.world.0.borrow_mut();
        let disk = w.places[self.machine].disk;
        let at = w.disks.get(&disk).and_then(|d| d.sockets.get(path)).copied();
        let at = at.ok_or(io::Error::from(ErrorKind::NotFound))?;
        let (there, back) = (w.number() + 1, w.number + 2);
        w.number += 2;
        let door = w.doors.get_mut(&at).and_then(|d| d.iter_mut().find(|d| d.1.open));
        let Some((_, door)) = door else { return Err(ErrorKind::ConnectionRefused.into()) };
        door.queue.push_back((there, back, self.machine));
        let (machine, waker) = (door.machine, door.waker.take());
        w.pipes(self.machine, machine, there, back);
        drop(w);
        waker.into_iter().for_each(Waker::wake);
        Ok(End::open(&self.world, self.machine, back, there))
    }

    fn listen_local(&self, path: &Path) -> io::Result<Box<dyn SimulatedListener>> {
        let mut w = self.world.0.borrow_mut();
        let number = w.number();
        // A socket in the file system is an address that nothing else has.
        let at = SocketAddr::from(((number as u128 | 0xfd00 << 112).to_be_bytes(), 0));
        self.disk(&mut w)?.sockets.insert(path.into(), at);
        let listening = Listening { machine: self.machine, open: true, ..Listening::default() };
        w.doors.entry(at).or_default().push((number, listening));
        drop(w);
        Ok(Box::new(Gate { world: self.world.clone(), at, number }))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let w = self.world.0.borrow();
        if w.faults_of(self.machine).unreadable {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        let disk = w.disks.get(&w.places[self.machine].disk);
        disk.and_then(|d| d.files.get(path)).cloned().ok_or(ErrorKind::NotFound.into())
    }

    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        let mut w = self.world.0.borrow_mut();
        let disk = self.disk(&mut w)?;
        disk.files.insert(path.into(), bytes.to_vec());
        Ok(())
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut w = self.world.0.borrow_mut();
        let machine = w.places[self.machine].disk;
        let disk = w.disks.entry(machine).or_default();
        if let Some(at) = disk.sockets.remove(from) {
            disk.sockets.insert(to.into(), at);
            return Ok(());
        }
        let bytes = disk.files.remove(from).ok_or(io::Error::from(ErrorKind::NotFound))?;
        disk.files.insert(to.into(), bytes);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut w = self.world.0.borrow_mut();
        let disk = w.places[self.machine].disk;
        let gone = w.disks.get_mut(&disk).and_then(|d| d.files.remove(path));
        gone.map(|_| ()).ok_or(ErrorKind::NotFound.into())
    }

    fn make_dirs(&self, path: &Path) -> io::Result<()> {
        let mut w = self.world.0.borrow_mut();
        self.disk(&mut w)?.dirs.insert(path.into());
        Ok(())
    }

    fn list(&self, path: &Path) -> io::Result<Vec<PathBuf>> {
        let w = self.world.0.borrow();
        if w.faults_of(self.machine).unreadable {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        let disk = w.disks.get(&w.places[self.machine].disk);
        let inside = |p: &&PathBuf| p.parent() == Some(path);
        Ok(disk.map(|d| d.files.keys().filter(inside).cloned().collect()).unwrap_or_default())
    }
}

impl MachineView {
    /// The machine's disk, while it takes anything.
    fn disk<'w>(&self, w: &'w mut Inner) -> io::Result<&'w mut Disk> {
        let disk = w.places[self.machine].disk;
        let disk = w.disks.entry(disk).or_default();
        if disk.full { Err(ErrorKind::StorageFull.into()) } else { Ok(disk) }
    }
}

/// A process's socket for datagrams.
struct Letters {
    world: Rc<World>,
    machine: Machine,
    at: SocketAddr,
}

impl SimulatedDatagramSocket for Letters {
    fn poll_receive(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        let mut w = self.world.0.borrow_mut();
        let Some(inbox) = w.mailboxes.get_mut(&self.at) else {
            return Poll::Ready(Err(ErrorKind::NotConnected.into()));
        };
        let Some((bytes, from)) = inbox.came.pop_front() else {
            inbox.waker = Some(cx.waker().clone());
            return Poll::Pending;
        };
        let n = bytes.len().min(into.len());
        into[..n].copy_from_slice(&bytes[..n]);
        Poll::Ready(Ok((n, from)))
    }

    fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        self.world.0.borrow_mut().mail(self.machine, self.at, to, bytes);
        Ok(())
    }
}

impl Drop for Letters {
    fn drop(&mut self) {
        let mut w = self.world.0.borrow_mut();
        w.mailboxes.remove(&self.at);
        w.places[self.machine].open -= 1;
    }
}

/// One end of a connection.
struct End {
    world: Rc<World>,
    machine: Machine,
    inward: u64,
    outward: u64,
}

impl End {
    fn open(world: &Rc<World>, machine: Machine, inward: u64, outward: u64) -> Box<dyn SimulatedConnection> {
        world.0.borrow_mut().places[machine].open += 1;
        Box::new(End { world: world.clone(), machine, inward, outward })
    }
}

impl Drop for End {
    fn drop(&mut self) {
        let mut w = self.world.0.borrow_mut();
        w.places[self.machine].open -= 1;
        w.close(self.inward, self.outward);
    }
}

impl SimulatedConnection for End {
    fn poll_read(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut w = self.world.0.borrow_mut();
        if w.interrupts(self.machine) {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        let (choppy, lot) = (w.choppy, w.lots.rand_u64());
        let Some(p) = w.pipes.get_mut(&self.inward) else { return Poll::Ready(Ok(0)) };
        if p.reset {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if p.came.is_empty() {
            if p.ended {
                return Poll::Ready(Ok(0));
            }
            p.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let most = p.came.len().min(into.len());
        let n = if choppy && lot.is_multiple_of(4) { 1 + (lot / 4) as usize % most } else { most };
        for (to, from) in into.iter_mut().zip(p.came.drain(..n)) {
            *to = from;
        }
        let writer = p.writer.take();
        drop(w);
        writer.into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(n))
    }

    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut w = self.world.0.borrow_mut();
        if w.interrupts(self.machine) {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        let (choppy, lot, now) = (w.choppy, w.lots.rand_u64(), w.now);
        let Some(p) = w.pipes.get_mut(&self.outward) else {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        };
        if p.broken || p.ending {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let room = ROOM.saturating_sub(p.came.len() + p.under_way).min(bytes.len());
        if room == 0 && !bytes.is_empty() {
            p.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let n =
            if choppy && lot.is_multiple_of(4) && room > 0 { 1 + (lot / 4) as usize % room } else { room };
        p.under_way += n;
        let (pipe, part) = (self.outward, bytes[..n].to_vec());
        let at = w.writes_at(self.machine);
        w.send_at(at, pipe, n, Due::Arrive(pipe, part, at, now));
        Poll::Ready(Ok(n))
    }

    fn is_idle(&self) -> bool {
        let w = self.world.0.borrow();
        w.pipes.get(&self.inward).is_some_and(|p| p.came.is_empty() && !p.ended && !p.reset)
    }

    fn is_hung_up(&self) -> bool {
        let w = self.world.0.borrow();
        w.pipes.get(&self.inward).is_none_or(|p| p.ended || p.reset)
    }

    fn shutdown(&self) -> io::Result<()> {
        let mut w = self.world.0.borrow_mut();
        let Some(p) = w.pipes.get_mut(&self.outward) else { return Err(ErrorKind::NotConnected.into()) };
        if p.broken {
            return Err(ErrorKind::NotConnected.into());
        }
        if !p.ending {
            p.ending = true;
            let pipe = self.outward;
            w.send(pipe, 0, Due::End(pipe, false));
        }
        Ok(())
    }
}

/// A listener.
struct Gate {
    world: Rc<World>,
    at: SocketAddr,
    number: u64,
}

impl Gate {
    /// The error of the next accept, if it fails; the connection that waits is there for the one behind it.
    fn refused(&self) -> Option<io::Error> {
        let machine = self.with(|l| (!l.queue.is_empty()).then_some(l.machine)).flatten()?;
        let mut w = self.world.0.borrow_mut();
        if w.faults_of(machine).interrupted && w.lots.rand_range(0..ABORTED_ONE_IN) == 0 {
            return Some(ErrorKind::ConnectionAborted.into());
        }
        w.shortage(machine)
    }

    fn with<T>(&self, work: impl FnOnce(&mut Listening) -> T) -> Option<T> {
        let mut w = self.world.0.borrow_mut();
        let doors = w.doors.get_mut(&self.at)?;
        doors.iter_mut().find(|d| d.0 == self.number).map(|d| work(&mut d.1))
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        let mut w = self.world.0.borrow_mut();
        let Some(doors) = w.doors.get_mut(&self.at) else { return };
        let mut left = Vec::new();
        doors.retain_mut(|d| {
            if d.0 == self.number {
                left.extend(d.1.queue.drain(..));
            }
            d.0 != self.number
        });
        for (inward, outward, _) in left {
            w.close(inward, outward);
        }
    }
}

impl SimulatedListener for Gate {
    fn listen(&self) -> io::Result<()> {
        self.with(|l| l.open = true).ok_or(ErrorKind::NotFound.into())
    }

    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn SimulatedConnection>>> {
        if let Some(e) = self.refused() {
            return Poll::Ready(Err(e));
        }
        let next = self.with(|l| {
            if l.queue.is_empty() {
                l.waker = Some(cx.waker().clone());
            }
            (l.machine, l.queue.pop_front())
        });
        match next {
            Some((machine, Some((inward, outward, from)))) => {
                let mut w = self.world.0.borrow_mut();
                w.accepted = (from, inward);
                if w.places[machine].open >= w.places[machine].most {
                    w.close(inward, outward);
                    return Poll::Ready(Err(io::Error::other("too many open files")));
                }
                drop(w);
                Poll::Ready(Ok(End::open(&self.world, machine, inward, outward)))
            }
            Some((_, None)) => Poll::Pending,
            None => Poll::Ready(Err(ErrorKind::NotFound.into())),
        }
    }
}
