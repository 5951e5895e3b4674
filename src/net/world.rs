//! Access to the machine: clocks, timers, sockets, files and a number that differs from process to process. All network
//! code uses this module for them. By default it makes system calls, each of which `faults` may fail. A simulation replaces
//! them for its thread (`with`). This module must never know what a byte means, keep the state of a request, or choose
//! anything.
//!
//! Nothing else in `net` may ask for the time or open a socket. `clippy.toml` lists the functions that are disallowed there,
//! so a violation fails the lints, and a simulation stays the same from run to run.
#![allow(clippy::disallowed_methods, reason = "only this module may call them")]

mod shared_file;

use super::faults::{self, Call};
use super::work;
use crate::mutants;
use async_io::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::{Errno, fcntl_dupfd_cloexec};
use rustix::time::{ClockId, clock_gettime};
pub use shared_file::{SharedFile, SimulatedSharedFile};
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::fs;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum length of one read.
pub const READ_BYTES: usize = 32 * 1024;
/// The maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1024;
/// The size of a socket buffer, on the side where a long value accumulates.
const SOCKET_BUFFER_BYTES: usize = 128 * 1024;
/// The buffer space of one short datagram that waits to be read, with its overhead and a margin.
const QUEUED_DATAGRAM_BYTES: usize = 1024;

/// A boxed future of a simulation, which runs on one thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// What a simulation provides in place of the machine.
pub trait SimulatedWorld {
    /// The current time. It never goes back.
    fn now(&self) -> Instant;
    /// The wall clock, since the Unix epoch. It may be stepped.
    fn unix_time(&self) -> Duration;
    /// Completes at this time.
    fn at(&self, when: Instant) -> LocalBoxFuture<()>;
    /// Connects.
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<io::Result<Box<dyn SimulatedConnection>>>;
    /// Binds an address. Connections are accepted after `SimulatedListener::listen`.
    fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn SimulatedListener>>;
    /// A number that differs from process to process.
    fn unique_number(&self) -> u64;
    /// Binds an address for datagrams. Fails if another process has bound it.
    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Box<dyn SimulatedDatagramSocket>>;
    /// Connects to a socket in the file system.
    fn connect_local(&self, path: &Path) -> io::Result<Box<dyn SimulatedConnection>>;
    /// Creates a socket in the file system and listens at it.
    fn listen_local(&self, path: &Path) -> io::Result<Box<dyn SimulatedListener>>;
    /// Reads a whole file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// Writes a file, and replaces one that exists.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Renames a file or a socket, and replaces one that exists.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Creates a directory and its parents.
    fn make_dirs(&self, path: &Path) -> io::Result<()>;
    /// The paths in a directory; none if it does not exist.
    fn list(&self, path: &Path) -> io::Result<Vec<PathBuf>>;
    /// The time since the machine was started, on a clock that all of its processes share.
    fn since_boot(&self) -> Duration;
    /// Opens a file that several processes use at the same time, and creates it if it does not exist.
    fn open_shared(&self, path: &Path) -> io::Result<Box<dyn SimulatedSharedFile>>;
}

/// A simulated connection.
pub trait SimulatedConnection {
    /// Reads like a socket: 0 at the end of the connection.
    fn poll_read(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>>;
    /// Writes like a socket: it may accept only a part.
    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>>;
    /// Whether nothing waits to be read, and the connection has not ended.
    fn is_idle(&self) -> bool;
    /// Whether the other side has ended its sending, whether or not everything it sent has been read.
    fn is_hung_up(&self) -> bool;
    /// Ends the sending of this side.
    fn shutdown(&self) -> io::Result<()>;
}

/// A simulated socket for datagrams.
pub trait SimulatedDatagramSocket {
    /// Receives the next datagram, truncated to the length of `into`, and its source.
    fn poll_receive(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>>;
    /// Sends a datagram, or fails at once.
    fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// A simulated listener.
pub trait SimulatedListener {
    /// Starts to accept connections.
    fn listen(&self) -> io::Result<()>;
    /// Accepts the next connection.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn SimulatedConnection>>>;
}

thread_local! {
    /// Whether this thread is simulated. It is checked first, since the check is cheap.
    static SIMULATED: Cell<bool> = const { Cell::new(false) };
    /// The simulation of this thread, if it is simulated.
    static SIMULATION: RefCell<Option<Rc<dyn SimulatedWorld>>> = const { RefCell::new(None) };
    /// The buffer for every read. It is shared by all connections, so that each holds only the bytes that it received.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// The simulation of this thread, if it is simulated.
#[inline]
fn active_simulation() -> Option<Rc<dyn SimulatedWorld>> {
    if SIMULATED.get() { SIMULATION.with_borrow(Option::clone) } else { None }
}

/// Runs `work` in a simulation, then restores the state before.
pub fn with<T>(simulated: Rc<dyn SimulatedWorld>, work: impl FnOnce() -> T) -> T {
    let before = (SIMULATED.replace(true), SIMULATION.replace(Some(simulated)));
    let result = work();
    SIMULATED.set(before.0);
    SIMULATION.set(before.1);
    result
}

/// Makes room for this many descriptors in the process's table. Guards against a growth of the table while clients are
/// served, for which the operating system stops the thread for up to 30 ms.
pub fn reserve_descriptors(count: usize) {
    if SIMULATED.get() {
        return;
    }
    // The table has room for every number up to that of the copy, which is closed at once. A limit that forbids the copy
    // also keeps the table small.
    let highest = i32::try_from(count).unwrap_or(i32::MAX);
    drop(fcntl_dupfd_cloexec(io::stderr(), highest));
}

/// The current time.
#[inline]
pub fn now() -> Instant {
    if SIMULATED.get() {
        active_simulation().map_or_else(Instant::now, |simulation| simulation.now())
    } else {
        Instant::now()
    }
}

/// The time since `then`.
#[inline]
pub fn since(then: Instant) -> Duration {
    now().saturating_duration_since(then)
}

/// The wall clock, since the Unix epoch.
pub fn unix_time() -> Duration {
    let machine =
        || faults::with_clock_step(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
    active_simulation().map_or_else(machine, |simulation| simulation.unix_time())
}

/// The time since the machine was started, on a clock that all of its processes share. It never goes back.
pub fn since_boot() -> Duration {
    let machine = || {
        let now = clock_gettime(ClockId::Monotonic);
        Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
    };
    active_simulation().map_or_else(machine, |simulation| simulation.since_boot())
}

/// A number that differs from process to process.
pub fn unique_number() -> u64 {
    active_simulation().map_or_else(|| u64::from(std::process::id()), |simulation| simulation.unique_number())
}

/// Reads a whole file as text.
pub fn read_text(path: &Path) -> io::Result<String> {
    let machine = || faults::before(Call::File).and_then(|()| fs::read(path));
    let bytes =
        uninterrupted(|| active_simulation().map_or_else(machine, |simulation| simulation.read(path)))?;
    String::from_utf8(bytes).map_err(|_| ErrorKind::InvalidData.into())
}

/// Writes a file atomically, by way of the file `next`: a reader finds either the text before or the new text.
pub fn write_atomically(path: &Path, next: &Path, text: &str) -> io::Result<()> {
    let written = match active_simulation() {
        None => faults::before(Call::File)
            .and_then(|()| fs::write(next, text))
            .and_then(|()| fs::rename(next, path)),
        Some(simulation) => {
            simulation.write(next, text.as_bytes()).and_then(|()| simulation.rename(next, path))
        }
    };
    if written.is_err() {
        // `next` may hold a part of the text.
        let _ = remove(next);
    }
    written
}

/// Removes a file.
pub fn remove(path: &Path) -> io::Result<()> {
    active_simulation().map_or_else(|| fs::remove_file(path), |simulation| simulation.remove(path))
}

/// Creates a directory and its parents.
pub fn make_dirs(path: &Path) -> io::Result<()> {
    let machine = || faults::before(Call::File).and_then(|()| fs::create_dir_all(path));
    active_simulation().map_or_else(machine, |simulation| simulation.make_dirs(path))
}

/// The paths in a directory; none if it does not exist.
pub fn list(path: &Path) -> io::Result<Vec<PathBuf>> {
    let machine = || {
        faults::before(Call::File)?;
        match fs::read_dir(path) {
            Ok(entries) => entries.map(|entry| Ok(entry?.path())).collect(),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    };
    uninterrupted(|| active_simulation().map_or_else(machine, |simulation| simulation.list(path)))
}

/// Completes at this time.
#[inline]
pub async fn at(when: Instant) {
    if SIMULATED.get()
        && let Some(simulation) = active_simulation()
    {
        return simulation.at(when).await;
    }
    Timer::at(when).await;
}

/// Completes after this time.
#[inline]
pub async fn after(span: Duration) {
    at(now() + span).await;
}

/// A connection: a TCP or Unix socket, or a simulated one.
pub enum Stream {
    Tcp(Async<TcpStream>),
    Unix(Async<UnixStream>),
    Simulated(Box<dyn SimulatedConnection>),
}

impl Stream {
    /// Connects.
    pub async fn connect(to: SocketAddr) -> io::Result<Stream> {
        match active_simulation() {
            None => Stream::connect_tcp(to).await.map(Stream::Tcp),
            Some(simulation) => {
                work::charge(work::CONNECTION);
                simulation.connect(to).await.map(Stream::Simulated)
            }
        }
    }

    async fn connect_tcp(to: SocketAddr) -> io::Result<Async<TcpStream>> {
        loop {
            faults::before(Call::Socket)?;
            work::charge(work::CONNECTION);
            let connect = async {
                faults::before(Call::Connect)?;
                Async::<TcpStream>::connect(to).await
            };
            match connect.await {
                // The socket is closed, so the next try makes a new one.
                Err(e) if is_interruption(&e) => {}
                connected => return connected,
            }
        }
    }

    /// Connects to a socket in the file system. Its listener is on the same machine, and answers at once or never.
    pub fn connect_local(path: &Path) -> io::Result<Stream> {
        match active_simulation() {
            None => {
                let stream = uninterrupted(|| {
                    faults::before(Call::Connect)?;
                    UnixStream::connect(path)
                });
                stream.and_then(Async::new).map(Stream::Unix)
            }
            Some(simulation) => simulation.connect_local(path).map(Stream::Simulated),
        }
    }

    /// Disables Nagle's algorithm, so that small messages are sent at once.
    pub fn no_delay(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(s) => s.get_ref().set_nodelay(true),
            Stream::Unix(_) | Stream::Simulated(_) => Ok(()),
        }
    }

    /// Limits the send buffer, in which bytes for a slow reader accumulate, since it uses memory too.
    pub fn limit_send_buffer(&self) {
        if let Stream::Tcp(s) = self {
            let _ = SockRef::from(s.get_ref()).set_send_buffer_size(SOCKET_BUFFER_BYTES);
        }
    }

    /// Limits the receive buffer, in which bytes accumulate that are not read yet.
    pub fn limit_receive_buffer(&self) {
        if let Stream::Tcp(s) = self {
            let _ = SockRef::from(s.get_ref()).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
        }
    }

    /// Waits for bytes, passes them to `take` and returns their number, 0 at the end of the connection.
    #[inline]
    pub async fn read_with(&self, take: impl FnMut(&[u8])) -> io::Result<usize> {
        self.read_at_most(READ_BYTES, take).await
    }

    /// The same, with at most `max_bytes` bytes; the others stay in the socket. A task that has done enough in this poll
    /// pauses first.
    #[inline]
    pub async fn read_at_most(&self, max_bytes: usize, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
        debug_assert!(max_bytes > 0, "a read of nothing looks like the end of the connection");
        work::pause().await;
        let read = match self {
            Stream::Tcp(s) => s.read_with(|s| read_once(s, max_bytes, &mut take)).await,
            Stream::Unix(s) => s.read_with(|s| read_once(s, max_bytes, &mut take)).await,
            Stream::Simulated(connection) => {
                let mut buffer = vec![0; max_bytes.min(READ_BYTES)];
                let n = poll_fn(|cx| poll_uninterrupted(|| connection.poll_read(cx, &mut buffer))).await?;
                take(&buffer[..n]);
                Ok(n)
            }
        };
        work::charge_received(*read.as_ref().unwrap_or(&0));
        read
    }

    /// Waits until a part can be written, and writes it. Returns its length. A loop that only writes has to pause
    /// itself.
    #[inline]
    pub async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        let written = match self {
            Stream::Tcp(s) => s.write_with(|s| write_once(s, bytes)).await,
            Stream::Unix(s) => s.write_with(|s| write_once(s, bytes)).await,
            Stream::Simulated(connection) => {
                poll_fn(|cx| poll_uninterrupted(|| connection.poll_write(cx, bytes))).await
            }
        };
        work::charge_sent(*written.as_ref().unwrap_or(&0));
        written
    }

    /// Waits until the socket takes more than a little: a third of its send buffer is free.
    pub async fn until_writable(&self) -> io::Result<()> {
        match self {
            Stream::Tcp(s) => s.writable().await,
            Stream::Unix(s) => s.writable().await,
            Stream::Simulated(_) => Ok(()),
        }
    }

    #[inline]
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.write(bytes).await? {
                0 => return Err(ErrorKind::WriteZero.into()),
                n => bytes = &bytes[n..],
            }
        }
        Ok(())
    }

    /// Writes what can be written at once, and ignores the rest and any error.
    pub fn write_now(&self, bytes: &[u8]) {
        let context = &mut Context::from_waker(std::task::Waker::noop());
        let write = || match self {
            Stream::Tcp(s) => write_once(s.get_ref(), bytes).map(drop),
            Stream::Unix(s) => write_once(s.get_ref(), bytes).map(drop),
            Stream::Simulated(connection) => match connection.poll_write(context, bytes) {
                Poll::Ready(written) => written.map(drop),
                Poll::Pending => Ok(()),
            },
        };
        let _ = uninterrupted(write);
    }

    /// Whether nothing waits to be read, and the connection has not ended.
    #[inline]
    pub fn is_idle(&self) -> bool {
        match self {
            Stream::Tcp(s) => {
                let peek = || faults::before(Call::Peek).and_then(|()| s.get_ref().peek(&mut [0]));
                matches!(uninterrupted(peek), Err(e) if e.kind() == ErrorKind::WouldBlock)
            }
            // No caller checks this for a socket in the file system.
            Stream::Unix(_) => true,
            Stream::Simulated(connection) => connection.is_idle(),
        }
    }

    /// Whether the other side has ended its sending, even if what it sent before waits to be read. False if the system call
    /// fails.
    pub fn is_hung_up(&self) -> bool {
        match self {
            Stream::Tcp(s) => {
                let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
                let mut polled = [PollFd::new(s.get_ref(), PollFlags::RDHUP)];
                let check = || {
                    faults::before(Call::Poll)?;
                    poll(&mut polled, Some(&Timespec::default())).map_err(io::Error::from)
                };
                uninterrupted(check).is_ok() && polled[0].revents().intersects(ends)
            }
            Stream::Unix(_) => false,
            Stream::Simulated(connection) => connection.is_hung_up(),
        }
    }

    /// Ends the sending of this side.
    pub fn shutdown(&self) -> io::Result<()> {
        uninterrupted(|| match self {
            Stream::Tcp(s) => s.get_ref().shutdown(Shutdown::Write),
            Stream::Unix(s) => s.get_ref().shutdown(Shutdown::Write),
            Stream::Simulated(connection) => connection.shutdown(),
        })
    }
}

/// One read of at most `max_bytes` into the shared buffer. Passes the bytes to `take`.
fn read_once(mut from: impl Read, max_bytes: usize, take: &mut impl FnMut(&[u8])) -> io::Result<usize> {
    READ_BUFFER.with_borrow_mut(|buffer| {
        let max_bytes = faults::limit_length(buffer.len().min(max_bytes));
        let n =
            uninterrupted(|| faults::before(Call::Read).and_then(|()| from.read(&mut buffer[..max_bytes])))?;
        take(&buffer[..n]);
        Ok(n)
    })
}

/// One write, of a part or of all bytes.
fn write_once(mut to: impl Write, bytes: &[u8]) -> io::Result<usize> {
    let part = &bytes[..faults::limit_length(bytes.len())];
    uninterrupted(|| faults::before(Call::Write).and_then(|()| to.write(part)))
}

/// Like `uninterrupted`, for a call of a simulation.
fn poll_uninterrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(e)) if is_interruption(&e) => {}
            polled => return polled,
        }
    }
}

/// Whether a signal interrupted a call before it had any effect, so that the call must be made again.
fn is_interruption(e: &io::Error) -> bool {
    e.kind() == ErrorKind::Interrupted && !mutants::on("interruptions end connections")
}

/// Makes a call, and makes it again whenever a signal interrupts it.
fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if is_interruption(&e) => {}
            result => return result,
        }
    }
}

/// Whether an accept failed for one connection only, because its client or its network gave it up. The next connection can
/// be accepted at once. accept(2) asks that network errors be treated this way.
fn is_of_one_connection(e: &io::Error) -> bool {
    const CONNECTION_ERRORS: [Errno; 10] = [
        Errno::INTR,
        Errno::CONNABORTED,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::OPNOTSUPP,
        Errno::NETDOWN,
        Errno::NETUNREACH,
        Errno::HOSTDOWN,
        Errno::HOSTUNREACH,
        Errno::NONET,
    ];
    // An error without an errno comes from a simulation.
    let kinds = [ErrorKind::Interrupted, ErrorKind::ConnectionAborted];
    kinds.contains(&e.kind())
        || Errno::from_io_error(e).is_some_and(|errno| CONNECTION_ERRORS.contains(&errno))
}

/// Whether a connect failed because this machine lacks a resource, which says nothing about the other side.
pub fn is_local_shortage(e: &io::Error) -> bool {
    const LOCAL_ERRORS: [Errno; 9] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::NETDOWN,
        Errno::NETUNREACH,
    ];
    Errno::from_io_error(e).is_some_and(|errno| LOCAL_ERRORS.contains(&errno))
}

/// A bound socket that does not listen yet.
pub enum Bound {
    Tcp(Socket),
    Simulated(Box<dyn SimulatedListener>),
}

/// Binds the address for clients. Another version of the program may be bound to it at the same time.
pub fn bind(address: SocketAddr) -> io::Result<Bound> {
    if let Some(simulation) = active_simulation() {
        return simulation.bind(address).map(Bound::Simulated);
    }
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(Bound::Tcp(socket))
}

/// A UDP socket, or a simulated one.
pub enum DatagramSocket {
    Udp(Async<UdpSocket>),
    Simulated(Box<dyn SimulatedDatagramSocket>),
}

impl DatagramSocket {
    /// Binds an address exclusively. Sizes the receive buffer for `queued` short datagrams, as far as the machine allows it.
    pub fn bind(at: SocketAddr, queued: usize) -> io::Result<DatagramSocket> {
        if let Some(simulation) = active_simulation() {
            return simulation.bind_datagram(at).map(DatagramSocket::Simulated);
        }
        let socket = Async::<UdpSocket>::bind(at)?;
        let (options, wanted) = (SockRef::from(&socket), queued.saturating_mul(QUEUED_DATAGRAM_BYTES));
        if options.recv_buffer_size()? < wanted {
            options.set_recv_buffer_size(wanted)?;
        }
        Ok(DatagramSocket::Udp(socket))
    }

    /// The number of short datagrams that the receive buffer holds.
    pub fn receive_capacity(&self) -> io::Result<usize> {
        match self {
            DatagramSocket::Udp(s) => Ok(SockRef::from(s).recv_buffer_size()? / QUEUED_DATAGRAM_BYTES),
            DatagramSocket::Simulated(_) => Ok(usize::MAX),
        }
    }

    /// Receives the next datagram, truncated to the length of `into`, and its source.
    pub async fn receive(&self, into: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            work::pause().await;
            work::charge(work::RECEIVE_CALL);
            let received = match self {
                DatagramSocket::Udp(s) => match faults::before(Call::Receive) {
                    Ok(()) => s.recv_from(into).await,
                    Err(e) => Err(e),
                },
                DatagramSocket::Simulated(socket) => poll_fn(|cx| socket.poll_receive(cx, into)).await,
            };
            match received {
                Err(e) if is_interruption(&e) => {}
                received => return received,
            }
        }
    }

    /// Sends a datagram, or fails at once if the send buffer is full.
    pub fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        work::charge_sent(bytes.len());
        uninterrupted(|| match self {
            DatagramSocket::Udp(s) => {
                faults::before(Call::Send)?;
                s.get_ref().send_to(bytes, to).map(|_| ())
            }
            DatagramSocket::Simulated(socket) => socket.send_now(bytes, to),
        })
    }
}

/// A listening socket.
pub enum Listener {
    Tcp(Async<TcpListener>),
    Unix(Async<UnixListener>),
    Simulated(Box<dyn SimulatedListener>),
}

impl Bound {
    /// Starts to listen.
    pub fn listen(self) -> io::Result<Listener> {
        match self {
            Bound::Tcp(socket) => {
                socket.listen(ACCEPT_BACKLOG)?;
                Async::new(socket.into()).map(Listener::Tcp)
            }
            Bound::Simulated(listener) => listener.listen().map(|()| Listener::Simulated(listener)),
        }
    }
}

impl Listener {
    /// Binds an address exclusively and listens.
    pub fn alone(address: SocketAddr) -> io::Result<Listener> {
        match active_simulation() {
            None => Async::<TcpListener>::bind(address).map(Listener::Tcp),
            Some(_) => bind(address)?.listen(),
        }
    }

    /// Listens at a socket in the file system. The socket is created as `next`, then renamed to `path`, so that it replaces
    /// one that exists atomically.
    pub fn local(path: &Path, next: &Path) -> io::Result<Listener> {
        match active_simulation() {
            None => {
                let bound = UnixListener::bind(next).and_then(|l| fs::rename(next, path).map(|()| l));
                bound.and_then(Async::new).map(Listener::Unix)
            }
            Some(simulation) => {
                let listener = simulation.listen_local(next)?;
                simulation.rename(next, path)?;
                Ok(Listener::Simulated(listener))
            }
        }
    }

    /// Accepts the next connection. Skips connections that their clients have given up. An error means that this machine
    /// lacks a resource, and a later call may succeed.
    pub async fn accept(&self) -> io::Result<Stream> {
        loop {
            match self.accept_once().await {
                Err(e) if is_of_one_connection(&e) => {}
                accepted => return accepted,
            }
        }
    }

    async fn accept_once(&self) -> io::Result<Stream> {
        work::pause().await;
        work::charge(work::CONNECTION);
        match self {
            Listener::Tcp(l) => {
                faults::before(Call::Accept)?;
                l.accept().await.map(|(s, _)| Stream::Tcp(s))
            }
            Listener::Unix(l) => {
                faults::before(Call::Accept)?;
                l.accept().await.map(|(s, _)| Stream::Unix(s))
            }
            Listener::Simulated(listener) => {
                poll_fn(|cx| listener.poll_accept(cx)).await.map(Stream::Simulated)
            }
        }
    }

    /// Accepts a connection that waits already, or returns why it cannot be accepted now. `None` if no connection waits.
    pub fn accept_now(&self) -> Option<io::Result<Stream>> {
        loop {
            match self.accept_now_once() {
                Err(e) if is_of_one_connection(&e) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                accepted => return Some(accepted),
            }
        }
    }

    fn accept_now_once(&self) -> io::Result<Stream> {
        match self {
            Listener::Tcp(l) => {
                faults::before(Call::Accept)?;
                let (stream, _) = l.get_ref().accept()?;
                Async::new(stream).map(Stream::Tcp)
            }
            // Only connections of clients are accepted this way.
            Listener::Unix(_) => Err(ErrorKind::WouldBlock.into()),
            Listener::Simulated(listener) => {
                match listener.poll_accept(&mut Context::from_waker(std::task::Waker::noop())) {
                    Poll::Ready(accepted) => accepted.map(Stream::Simulated),
                    Poll::Pending => Err(ErrorKind::WouldBlock.into()),
                }
            }
        }
    }
}
