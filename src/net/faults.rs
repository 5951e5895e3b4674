//! System calls that fail on order, as the machine documents that they may: at the one place where the network code makes
//! them (`world`), by a schedule drawn from a seed. It owns that schedule. Without the feature `faults`, which only tests
//! turn on, there is none, and the compiler leaves nothing of the places that ask.

#[cfg(not(feature = "faults"))]
use std::{io, time::Duration};

/// Kinds of calls that may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Call {
    Read,
    Write,
    Peek,
    Poll,
    Accept,
    Socket,
    Connect,
    Receive,
    Send,
    File,
}

/// What becomes of a call, before it is made.
#[cfg(not(feature = "faults"))]
#[inline(always)]
pub fn before(_call: Call) -> io::Result<()> {
    Ok(())
}

/// How much of so many bytes a read or a write takes.
#[cfg(not(feature = "faults"))]
#[inline(always)]
pub const fn part(bytes: usize) -> usize {
    bytes
}

/// The wall clock as this process sees it.
#[cfg(not(feature = "faults"))]
#[inline(always)]
pub const fn stepped(unix: Duration) -> Duration {
    unix
}

#[cfg(feature = "faults")]
pub use schedule::{before, injected_counts, part, start, stepped};

#[cfg(feature = "faults")]
mod schedule {
    #![allow(clippy::disallowed_methods, reason = "a hold-up is the machine's, and so is its time")]

    use super::Call;
    use oorandom::Rand64;
    use rustix::io::Errno;
    use std::cell::RefCell;
    use std::collections::BTreeMap;
    use std::io;
    use std::time::{Duration, Instant};

    /// One call in so many is interrupted, one accept in so many is of a connection that was given up, one read or write in
    /// so many is short, one write in so many is held up.
    const INTERRUPTED_ONE_IN: u64 = 40;
    const ABORTED_ONE_IN: u64 = 30;
    const SHORT_ONE_IN: u64 = 20;
    const HELD_UP_ONE_IN: u64 = 400;
    /// A short read or write takes so many bytes at most.
    const SHORTEST: u64 = 64;
    /// The longest hold-up between the clock and a write, less what the machine sleeps longer than it is told.
    const HELD_UP: Duration = Duration::from_millis(140);
    /// Shortages come in bursts, so many of them, each at a time within this span of the process's start.
    const BURSTS: u64 = 6;
    const SPAN_MS: u64 = 30_000;
    const BURST_MS: u64 = 400;
    /// In a burst this share of calls fails, in percent.
    const BURST_PERCENT: u64 = 80;
    /// Steps of the wall clock, in milliseconds; most processes have none.
    const STEPS_MS: [i64; 6] = [0, 0, 0, -3_600_000, -5_000, 5_000];

    /// Calls of one kind that fail in this way for a while.
    struct Burst {
        call: Call,
        from: Instant,
        until: Instant,
        errno: Errno,
    }

    struct Schedule {
        lots: Rand64,
        bursts: Vec<Burst>,
        step_ms: i64,
        /// How often each fault was met.
        met: BTreeMap<String, u64>,
    }

    thread_local! {
        static SCHEDULE: RefCell<Option<Schedule>> = const { RefCell::new(None) };
    }

    /// From now on calls of this thread fail as this seed has it.
    pub fn start(seed: u64) {
        let mut lots = Rand64::new(u128::from(seed) ^ 0x6661_756c);
        let now = Instant::now();
        let kinds = [
            (Call::Accept, Errno::NFILE),
            (Call::Accept, Errno::MFILE),
            (Call::Accept, Errno::NOBUFS),
            (Call::Socket, Errno::NFILE),
            (Call::Socket, Errno::NOBUFS),
            (Call::Connect, Errno::ADDRNOTAVAIL),
            (Call::Connect, Errno::NETUNREACH),
            (Call::File, Errno::NOSPC),
            (Call::File, Errno::IO),
        ];
        let bursts = (0..BURSTS).map(|_| {
            let (call, errno) = kinds[lots.rand_range(0..kinds.len() as u64) as usize];
            let from = now + Duration::from_millis(lots.rand_range(0..SPAN_MS));
            let until = from + Duration::from_millis(20 + lots.rand_range(0..BURST_MS));
            Burst { call, from, until, errno }
        });
        let bursts = bursts.collect();
        let step_ms = STEPS_MS[lots.rand_range(0..STEPS_MS.len() as u64) as usize];
        let schedule = Schedule { lots, bursts, step_ms, met: BTreeMap::new() };
        SCHEDULE.set(Some(schedule));
    }

    /// How often each fault was met so far.
    pub fn injected_counts() -> BTreeMap<String, u64> {
        SCHEDULE.with_borrow(|s| s.as_ref().map(|s| s.met.clone()).unwrap_or_default())
    }

    impl Schedule {
        fn one_in(&mut self, n: u64) -> bool {
            self.lots.rand_range(0..n) == 0
        }

        fn count(&mut self, what: String) {
            *self.met.entry(what).or_default() += 1;
        }

        /// The error with which this call fails, if it does.
        fn fault(&mut self, call: Call) -> Option<Errno> {
            let now = Instant::now();
            let in_burst = |b: &&Burst| b.call == call && (b.from..b.until).contains(&now);
            let burst = self.bursts.iter().find(in_burst).map(|b| b.errno);
            if let Some(errno) = burst.filter(|_| self.lots.rand_range(0..100) < BURST_PERCENT) {
                return Some(errno);
            }
            match call {
                Call::Accept if self.one_in(ABORTED_ONE_IN) => Some(Errno::CONNABORTED),
                _ if self.one_in(INTERRUPTED_ONE_IN) => Some(Errno::INTR),
                _ => None,
            }
        }
    }

    fn name(errno: Errno) -> &'static str {
        match errno {
            Errno::INTR => "EINTR",
            Errno::CONNABORTED => "ECONNABORTED",
            Errno::NFILE => "ENFILE",
            Errno::MFILE => "EMFILE",
            Errno::NOBUFS => "ENOBUFS",
            Errno::ADDRNOTAVAIL => "EADDRNOTAVAIL",
            Errno::NETUNREACH => "ENETUNREACH",
            Errno::NOSPC => "ENOSPC",
            Errno::IO => "EIO",
            _ => "another",
        }
    }

    /// What becomes of a call, before it is made.
    pub fn before(call: Call) -> io::Result<()> {
        let (fault, held_up) = SCHEDULE.with_borrow_mut(|schedule| {
            let Some(s) = schedule else { return (None, None) };
            let fault = s.fault(call);
            if let Some(errno) = fault {
                s.count(format!("{call:?} {}", name(errno)));
            }
            let held_up = call == Call::Write && fault.is_none() && s.one_in(HELD_UP_ONE_IN);
            let span = held_up.then(|| HELD_UP.mul_f64(s.lots.rand_float()));
            span.iter().for_each(|_| s.count("held up".into()));
            (fault, span)
        });
        held_up.into_iter().for_each(std::thread::sleep);
        fault.map_or(Ok(()), |errno| Err(errno.into()))
    }

    /// How much of so many bytes a read or a write takes.
    pub fn part(bytes: usize) -> usize {
        SCHEDULE.with_borrow_mut(|schedule| {
            let Some(s) = schedule.as_mut().filter(|_| bytes > 1) else { return bytes };
            if !s.one_in(SHORT_ONE_IN) {
                return bytes;
            }
            s.count("short".into());
            1 + s.lots.rand_range(0..SHORTEST.min(bytes as u64 - 1)) as usize
        })
    }

    /// The wall clock as this process sees it.
    pub fn stepped(unix: Duration) -> Duration {
        let step_ms = SCHEDULE.with_borrow(|s| s.as_ref().map_or(0, |s| s.step_ms));
        let by = Duration::from_millis(step_ms.unsigned_abs());
        if step_ms < 0 { unix.saturating_sub(by) } else { unix + by }
    }
}
