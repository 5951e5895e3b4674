//! System calls that fail on a schedule, in the ways that their documentation allows. `world`, the only place where the
//! network code makes system calls, asks this module before each of them. A seed determines the schedule, which this
//! module owns. Without the feature `faults`, which only tests enable, there is no schedule, and the compiler removes the
//! code that asks.

#[cfg(not(feature = "faults"))]
use std::{io, time::Duration};

/// The kinds of system calls that may fail.
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

/// Fails if the schedule has this call fail, before it is made.
#[cfg(not(feature = "faults"))]
#[inline(always)]
pub fn before(_call: Call) -> io::Result<()> {
    Ok(())
}

/// The number of bytes that a read or write of `bytes` bytes may transfer.
#[cfg(not(feature = "faults"))]
#[inline(always)]
pub const fn limit_length(bytes: usize) -> usize {
    bytes
}

/// The wall clock of this process, with the step that the schedule gives it.
#[cfg(not(feature = "faults"))]
#[inline(always)]
pub const fn with_clock_step(unix: Duration) -> Duration {
    unix
}

#[cfg(feature = "faults")]
pub use schedule::{before, injected_counts, limit_length, start, with_clock_step};

#[cfg(feature = "faults")]
mod schedule {
    #![allow(clippy::disallowed_methods, reason = "faults happen in the machine's own time")]

    use super::Call;
    use oorandom::Rand64;
    use rustix::io::Errno;
    use std::cell::RefCell;
    use std::collections::BTreeMap;
    use std::io;
    use std::time::{Duration, Instant};

    /// One call in this many fails with EINTR.
    const INTERRUPTED_ONE_IN: u64 = 40;
    /// One accept in this many fails with ECONNABORTED, as for a connection that its client has given up.
    const ABORTED_ONE_IN: u64 = 30;
    /// One read or write in this many transfers only a part.
    const SHORT_ONE_IN: u64 = 20;
    /// One write in this many is delayed.
    const DELAYED_ONE_IN: u64 = 400;
    /// The maximum length of such a partial read or write.
    const MAX_SHORT_BYTES: u64 = 64;
    /// The maximum delay of a write after the clock was read, less a margin for sleeps that the machine overshoots.
    const MAX_DELAY: Duration = Duration::from_millis(140);
    /// The number of bursts in which calls of one kind fail for lack of a resource.
    const BURSTS: u64 = 6;
    /// Bursts begin within this time from the process's start.
    const BURST_START_MAX_MS: u64 = 30_000;
    /// The longest burst, less 20 ms.
    const BURST_MS: u64 = 400;
    /// The share of calls that fail in a burst.
    const BURST_PERCENT: u64 = 80;
    /// Steps of the wall clock, of which each process has one at random. Half of the processes have none.
    const CLOCK_STEPS_MS: [i64; 6] = [0, 0, 0, -3_600_000, -5_000, 5_000];

    /// A period in which calls of one kind fail with one error.
    struct Burst {
        call: Call,
        from: Instant,
        until: Instant,
        errno: Errno,
    }

    struct Schedule {
        rng: Rand64,
        bursts: Vec<Burst>,
        clock_step_ms: i64,
        /// How often each fault was injected.
        injected: BTreeMap<String, u64>,
    }

    thread_local! {
        static SCHEDULE: RefCell<Option<Schedule>> = const { RefCell::new(None) };
    }

    /// Starts the schedule of this seed for the calls of this thread.
    pub fn start(seed: u64) {
        let mut rng = Rand64::new(u128::from(seed) ^ 0x6661_756c);
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
            let (call, errno) = kinds[rng.rand_range(0..kinds.len() as u64) as usize];
            let from = now + Duration::from_millis(rng.rand_range(0..BURST_START_MAX_MS));
            let until = from + Duration::from_millis(20 + rng.rand_range(0..BURST_MS));
            Burst { call, from, until, errno }
        });
        let bursts = bursts.collect();
        let clock_step_ms = CLOCK_STEPS_MS[rng.rand_range(0..CLOCK_STEPS_MS.len() as u64) as usize];
        let schedule = Schedule { rng, bursts, clock_step_ms, injected: BTreeMap::new() };
        SCHEDULE.set(Some(schedule));
    }

    /// How often each fault was injected so far.
    pub fn injected_counts() -> BTreeMap<String, u64> {
        SCHEDULE.with_borrow(|s| s.as_ref().map(|s| s.injected.clone()).unwrap_or_default())
    }

    impl Schedule {
        fn one_in(&mut self, n: u64) -> bool {
            self.rng.rand_range(0..n) == 0
        }

        fn count(&mut self, fault: String) {
            *self.injected.entry(fault).or_default() += 1;
        }

        /// The error with which this call fails, if it does.
        fn fault(&mut self, call: Call) -> Option<Errno> {
            let now = Instant::now();
            let in_burst = |b: &&Burst| b.call == call && (b.from..b.until).contains(&now);
            let burst = self.bursts.iter().find(in_burst).map(|b| b.errno);
            if let Some(errno) = burst.filter(|_| self.rng.rand_range(0..100) < BURST_PERCENT) {
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

    /// Fails if the schedule has this call fail, before it is made. Delays some writes.
    pub fn before(call: Call) -> io::Result<()> {
        let (fault, delay) = SCHEDULE.with_borrow_mut(|schedule| {
            let Some(s) = schedule else { return (None, None) };
            let fault = s.fault(call);
            if let Some(errno) = fault {
                s.count(format!("{call:?} {}", name(errno)));
            }
            let is_delayed = call == Call::Write && fault.is_none() && s.one_in(DELAYED_ONE_IN);
            let delay = is_delayed.then(|| MAX_DELAY.mul_f64(s.rng.rand_float()));
            delay.iter().for_each(|_| s.count("held up".into()));
            (fault, delay)
        });
        delay.into_iter().for_each(std::thread::sleep);
        fault.map_or(Ok(()), |errno| Err(errno.into()))
    }

    /// The number of bytes that a read or write of `bytes` bytes may transfer.
    pub fn limit_length(bytes: usize) -> usize {
        SCHEDULE.with_borrow_mut(|schedule| {
            let Some(s) = schedule.as_mut().filter(|_| bytes > 1) else { return bytes };
            if !s.one_in(SHORT_ONE_IN) {
                return bytes;
            }
            s.count("short".into());
            1 + s.rng.rand_range(0..MAX_SHORT_BYTES.min(bytes as u64 - 1)) as usize
        })
    }

    /// The wall clock of this process, with the step that the schedule gives it.
    pub fn with_clock_step(unix: Duration) -> Duration {
        let step_ms = SCHEDULE.with_borrow(|s| s.as_ref().map_or(0, |s| s.clock_step_ms));
        let step = Duration::from_millis(step_ms.unsigned_abs());
        if step_ms < 0 { unix.saturating_sub(step) } else { unix + step }
    }
}
