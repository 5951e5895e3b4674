//! The world outside: the one door through which the network code reaches clocks, timers, sockets, files and what
//! differs from process to process. By itself it is the machine's; a simulation puts one of its own in place for its thread
//! (`with`). It must never know what a byte means, keep state of a request, or choose anything.
//!
//! Nothing else in `net` may ask for the time or open a socket: `clippy.toml` names what is refused there, so a
//! slip fails the lints, and a simulated day stays the same from run to run.
#![allow(clippy::disallowed_methods, reason = "this is the one place")]

use super::faults::{self, Call};
use crate::mutants;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::{Domain, SockRef, Socket, Type};
use std::cell::{Cell, RefCell};
use std::fs;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Bytes that one read may bring.
const READ_BYTES: usize = 32 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// What the machine may hold of a long value for one connection, at the side where it piles up.
const SOCKET_BYTES: usize = 128 * 1024;
/// What the machine takes for a short datagram that waits to be read, with what it keeps beside the bytes, and more.
const WAITING_DATAGRAM_BYTES: usize = 1024;

/// A future of a simulated world's.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A world that is not the machine's.
pub trait SimulatedWorld {
    /// The present moment, never earlier than one told before.
    fn now(&self) -> Instant;
    /// The clock on the wall, since the Unix epoch; it may be stepped.
    fn unix_time(&self) -> Duration;
    /// Ends once this moment has come.
    fn at(&self, when: Instant) -> LocalBoxFuture<()>;
    /// Dials.
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<io::Result<Box<dyn SimulatedConnection>>>;
    /// Takes an address; connections are accepted from `SimulatedListener::listen` on.
    fn bind(&self, at: SocketAddr) -> io::Result<Box<dyn SimulatedListener>>;
    /// A number that differs from process to process.
    fn unique_number(&self) -> u64;
    /// Takes an address for datagrams; one that another process has is refused.
    fn bind_datagram(&self, at: SocketAddr) -> io::Result<Box<dyn SimulatedDatagramSocket>>;
    /// Dials a socket in the file system.
    fn connect_local(&self, path: &Path) -> io::Result<Box<dyn SimulatedConnection>>;
    /// Listens at one, which comes to be with this.
    fn listen_local(&self, path: &Path) -> io::Result<Box<dyn SimulatedListener>>;
    /// A whole file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// Makes a file of this, over what was there.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Moves a file, or a socket, over what is there.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes a directory and those it is in.
    fn make_dirs(&self, path: &Path) -> io::Result<()>;
    /// What is in a directory; nothing where there is none.
    fn list(&self, path: &Path) -> io::Result<Vec<PathBuf>>;
}

/// A simulated connection.
pub trait SimulatedConnection {
    /// As of a socket; 0 at the end.
    fn poll_read(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>>;
    /// As of a socket; it may take a part.
    fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>>;
    /// Nothing has come, and it has not ended.
    fn is_idle(&self) -> bool;
    /// The other side has ended its sending, whether or not all it sent has been read.
    fn is_hung_up(&self) -> bool;
    /// Ends the sending.
    fn shutdown(&self) -> io::Result<()>;
}

/// A simulated socket for datagrams.
pub trait SimulatedDatagramSocket {
    /// The next one, cut at the end of what it goes into, and whence it came.
    fn poll_receive(&self, cx: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>>;
    /// Sends one, or fails at once.
    fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
}

/// A simulated listener.
pub trait SimulatedListener {
    /// From now on connections are accepted.
    fn listen(&self) -> io::Result<()>;
    /// The next connection.
    fn poll_accept(&self, cx: &mut Context<'_>) -> Poll<io::Result<Box<dyn SimulatedConnection>>>;
}

thread_local! {
    /// Whether this thread's world is another than the machine's: asked first, since it costs next to nothing.
    static SIMULATED: Cell<bool> = const { Cell::new(false) };
    /// The world of this thread, where it is not the machine's.
    static OUTSIDE: RefCell<Option<Rc<dyn SimulatedWorld>>> = const { RefCell::new(None) };
    /// Where every read lands first. One for all connections, which hold only what has come.
    static LANDING: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

#[inline]
fn outside() -> Option<Rc<dyn SimulatedWorld>> {
    if SIMULATED.get() { OUTSIDE.with_borrow(Option::clone) } else { None }
}

/// Does this in another world; what was before is put back.
pub fn with<T>(world: Rc<dyn SimulatedWorld>, work: impl FnOnce() -> T) -> T {
    let before = (SIMULATED.replace(true), OUTSIDE.replace(Some(world)));
    let done = work();
    SIMULATED.set(before.0);
    OUTSIDE.set(before.1);
    done
}

/// The present moment.
#[inline]
pub fn now() -> Instant {
    if SIMULATED.get() { outside().map_or_else(Instant::now, |o| o.now()) } else { Instant::now() }
}

/// How long ago this was.
#[inline]
pub fn since(then: Instant) -> Duration {
    now().saturating_duration_since(then)
}

/// The clock on the wall, since the Unix epoch.
pub fn unix_time() -> Duration {
    let machine = || faults::stepped(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default());
    outside().map_or_else(machine, |o| o.unix_time())
}

/// A number that differs from process to process.
pub fn unique_number() -> u64 {
    outside().map_or_else(|| u64::from(std::process::id()), |o| o.unique_number())
}

/// A whole file as text.
pub fn read_text(path: &Path) -> io::Result<String> {
    let machine = || faults::before(Call::File).and_then(|()| fs::read(path));
    let bytes = uninterrupted(|| outside().map_or_else(machine, |o| o.read(path)))?;
    String::from_utf8(bytes).map_err(|_| ErrorKind::InvalidData.into())
}

/// Puts a text in place whole: whoever reads meanwhile finds what was there before, or this.
pub fn write_atomically(path: &Path, next: &Path, text: &str) -> io::Result<()> {
    let put = match outside() {
        None => faults::before(Call::File)
            .and_then(|()| fs::write(next, text))
            .and_then(|()| fs::rename(next, path)),
        Some(o) => o.write(next, text.as_bytes()).and_then(|()| o.rename(next, path)),
    };
    if put.is_err() {
        // Half of it may be there.
        let _ = remove(next);
    }
    put
}

/// Removes a file.
pub fn remove(path: &Path) -> io::Result<()> {
    outside().map_or_else(|| fs::remove_file(path), |o| o.remove(path))
}

/// Makes a directory and those it is in.
pub fn make_dirs(path: &Path) -> io::Result<()> {
    let machine = || faults::before(Call::File).and_then(|()| fs::create_dir_all(path));
    outside().map_or_else(machine, |o| o.make_dirs(path))
}

/// What is in a directory; nothing where there is none.
pub fn list(path: &Path) -> io::Result<Vec<PathBuf>> {
    let machine = || {
        faults::before(Call::File)?;
        match fs::read_dir(path) {
            Ok(entries) => entries.map(|entry| Ok(entry?.path())).collect(),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Vec::new()),
            Err(e) => Err(e),
        }
    };
    uninterrupted(|| outside().map_or_else(machine, |o| o.list(path)))
}

/// Ends once this moment has come.
#[inline]
pub async fn at(when: Instant) {
    if SIMULATED.get()
        && let Some(o) = outside()
    {
        return o.at(when).await;
    }
    Timer::at(when).await;
}

/// Ends after this long.
#[inline]
pub async fn after(span: Duration) {
    at(now() + span).await;
}

/// Where tasks of one process run; they end with it. Guards against tasks that hold their own executor, and so
/// outlive a simulated process that was killed.
#[derive(Clone)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    pub fn of(executor: &Rc<LocalExecutor<'static>>) -> Spawner {
        Spawner(Rc::downgrade(executor))
    }

    /// Runs this beside the rest, for as long as the process lives.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}

/// A connection.
pub enum Stream {
    Machine(Async<TcpStream>),
    Local(Async<UnixStream>),
    Simulated(Box<dyn SimulatedConnection>),
}

impl Stream {
    /// Dials.
    pub async fn connect(to: SocketAddr) -> io::Result<Stream> {
        match outside() {
            None => Stream::connect_machine(to).await.map(Stream::Machine),
            Some(o) => o.connect(to).await.map(Stream::Simulated),
        }
    }

    async fn connect_machine(to: SocketAddr) -> io::Result<Async<TcpStream>> {
        loop {
            faults::before(Call::Socket)?;
            let dial = async {
                faults::before(Call::Connect)?;
                Async::<TcpStream>::connect(to).await
            };
            match dial.await {
                // Its socket is gone with it.
                Err(e) if is_interruption(&e) => {}
                dialled => return dialled,
            }
        }
    }

    /// Dials a socket in the file system: whoever listens there is on the same machine, and answers at once or never.
    pub fn connect_local(path: &Path) -> io::Result<Stream> {
        match outside() {
            None => {
                let stream = uninterrupted(|| {
                    faults::before(Call::Connect)?;
                    UnixStream::connect(path)
                });
                stream.and_then(Async::new).map(Stream::Local)
            }
            Some(o) => o.connect_local(path).map(Stream::Simulated),
        }
    }

    /// Small messages leave at once.
    pub fn no_delay(&self) -> io::Result<()> {
        match self {
            Stream::Machine(s) => s.get_ref().set_nodelay(true),
            Stream::Local(_) | Stream::Simulated(_) => Ok(()),
        }
    }

    /// What waits for a slow reader behind this connection counts as memory too: the machine takes no more of it.
    pub fn limit_send_buffer(&self) {
        if let Stream::Machine(s) = self {
            let _ = SockRef::from(s.get_ref()).set_send_buffer_size(SOCKET_BYTES);
        }
    }

    /// The same of what has come and is not read.
    pub fn limit_receive_buffer(&self) {
        if let Stream::Machine(s) = self {
            let _ = SockRef::from(s.get_ref()).set_recv_buffer_size(SOCKET_BYTES);
        }
    }

    /// Waits for bytes, hands them to `take` and returns their number; 0 at the end of the connection.
    #[inline]
    pub async fn read_with(&self, mut take: impl FnMut(&[u8])) -> io::Result<usize> {
        match self {
            Stream::Machine(s) => s.read_with(|s| land(s, &mut take)).await,
            Stream::Local(s) => s.read_with(|s| land(s, &mut take)).await,
            Stream::Simulated(w) => {
                let mut landing = vec![0; READ_BYTES];
                let n = poll_fn(|cx| poll_uninterrupted(|| w.poll_read(cx, &mut landing))).await?;
                take(&landing[..n]);
                Ok(n)
            }
        }
    }

    /// Writes a part, at least a byte.
    #[inline]
    pub async fn write(&self, bytes: &[u8]) -> io::Result<usize> {
        match self {
            Stream::Machine(s) => s.write_with(|s| put(s, bytes)).await,
            Stream::Local(s) => s.write_with(|s| put(s, bytes)).await,
            Stream::Simulated(w) => poll_fn(|cx| poll_uninterrupted(|| w.poll_write(cx, bytes))).await,
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

    /// Writes what fits at once, and forgets the rest.
    pub fn write_now(&self, bytes: &[u8]) {
        let context = &mut Context::from_waker(std::task::Waker::noop());
        let write = || match self {
            Stream::Machine(s) => put(s.get_ref(), bytes).map(drop),
            Stream::Local(s) => put(s.get_ref(), bytes).map(drop),
            Stream::Simulated(w) => match w.poll_write(context, bytes) {
                Poll::Ready(written) => written.map(drop),
                Poll::Pending => Ok(()),
            },
        };
        // What does not fit, or is not taken, is forgotten.
        let _ = uninterrupted(write);
    }

    /// Nothing waits to be read, and the connection has not ended.
    #[inline]
    pub fn is_idle(&self) -> bool {
        match self {
            Stream::Machine(s) => {
                let peek = || faults::before(Call::Peek).and_then(|()| s.get_ref().peek(&mut [0]));
                matches!(uninterrupted(peek), Err(e) if e.kind() == ErrorKind::WouldBlock)
            }
            // Nobody asks this of a socket in the file system.
            Stream::Local(_) => true,
            Stream::Simulated(w) => w.is_idle(),
        }
    }

    /// Whether the other side has ended its sending, also where what it sent before waits to be read. A machine that
    /// cannot tell says no.
    pub fn is_hung_up(&self) -> bool {
        match self {
            Stream::Machine(s) => {
                let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
                let mut asked = [PollFd::new(s.get_ref(), PollFlags::RDHUP)];
                let look = || {
                    faults::before(Call::Poll)?;
                    poll(&mut asked, Some(&Timespec::default())).map_err(io::Error::from)
                };
                uninterrupted(look).is_ok() && asked[0].revents().intersects(ends)
            }
            Stream::Local(_) => false,
            Stream::Simulated(w) => w.is_hung_up(),
        }
    }

    /// Ends the sending.
    pub fn shutdown(&self) -> io::Result<()> {
        uninterrupted(|| match self {
            Stream::Machine(s) => s.get_ref().shutdown(Shutdown::Write),
            Stream::Local(s) => s.get_ref().shutdown(Shutdown::Write),
            Stream::Simulated(w) => w.shutdown(),
        })
    }
}

/// One read, to where every read lands first.
fn land(mut from: impl Read, take: &mut impl FnMut(&[u8])) -> io::Result<usize> {
    LANDING.with_borrow_mut(|landing| {
        let most = faults::part(landing.len());
        let n = uninterrupted(|| faults::before(Call::Read).and_then(|()| from.read(&mut landing[..most])))?;
        take(&landing[..n]);
        Ok(n)
    })
}

/// One write, of a part or all.
fn put(mut to: impl Write, bytes: &[u8]) -> io::Result<usize> {
    let part = &bytes[..faults::part(bytes.len())];
    uninterrupted(|| faults::before(Call::Write).and_then(|()| to.write(part)))
}

/// The same as `uninterrupted` of a call of a simulated world.
fn poll_uninterrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(e)) if is_interruption(&e) => {}
            polled => return polled,
        }
    }
}

/// Whether a signal interrupted a call before it did anything: it is to be made again.
fn is_interruption(e: &io::Error) -> bool {
    e.kind() == ErrorKind::Interrupted && !mutants::on("interruptions end connections")
}

/// The result of a call that is made again as often as a signal interrupts it.
fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if is_interruption(&e) => {}
            result => return result,
        }
    }
}

/// Whether an accept failed for one connection only, as its client or its network gave it up: the next one may be had at
/// once. accept(2) asks for errors of the network to be treated so.
fn is_of_one_connection(e: &io::Error) -> bool {
    const OF_ONE: [Errno; 10] = [
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
    // An error without a number is one of a simulated world's.
    let kinds = [ErrorKind::Interrupted, ErrorKind::ConnectionAborted];
    kinds.contains(&e.kind()) || Errno::from_io_error(e).is_some_and(|errno| OF_ONE.contains(&errno))
}

/// Whether a connection could not be made for want of something on this machine, which says nothing of the other side.
pub fn is_local_shortage(e: &io::Error) -> bool {
    const LOCAL: [Errno; 9] = [
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
    Errno::from_io_error(e).is_some_and(|errno| LOCAL.contains(&errno))
}

/// An address that is taken, and where nobody listens yet.
pub enum Bound {
    Machine(Socket),
    Simulated(Box<dyn SimulatedListener>),
}

/// A socket bound to the clients' address, beside another version of the program if one is there.
pub fn bind(address: SocketAddr) -> io::Result<Bound> {
    if let Some(o) = outside() {
        return o.bind(address).map(Bound::Simulated);
    }
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(Bound::Machine(socket))
}

/// A socket for datagrams.
pub enum DatagramSocket {
    Machine(Async<UdpSocket>),
    Simulated(Box<dyn SimulatedDatagramSocket>),
}

impl DatagramSocket {
    /// Takes an address, alone, where so many short datagrams may wait to be read, as far as the machine allows it.
    pub fn bind(at: SocketAddr, waiting: usize) -> io::Result<DatagramSocket> {
        if let Some(outside) = outside() {
            return outside.bind_datagram(at).map(DatagramSocket::Simulated);
        }
        let socket = Async::<UdpSocket>::bind(at)?;
        let (options, wanted) = (SockRef::from(&socket), waiting.saturating_mul(WAITING_DATAGRAM_BYTES));
        if options.recv_buffer_size()? < wanted {
            options.set_recv_buffer_size(wanted)?;
        }
        Ok(DatagramSocket::Machine(socket))
    }

    /// How many short datagrams may wait to be read.
    pub fn waiting(&self) -> io::Result<usize> {
        match self {
            DatagramSocket::Machine(s) => Ok(SockRef::from(s).recv_buffer_size()? / WAITING_DATAGRAM_BYTES),
            DatagramSocket::Simulated(_) => Ok(usize::MAX),
        }
    }

    /// The next datagram, cut at the end of what it goes into, and whence it came.
    pub async fn receive(&self, into: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        loop {
            let received = match self {
                DatagramSocket::Machine(s) => match faults::before(Call::Receive) {
                    Ok(()) => s.recv_from(into).await,
                    Err(e) => Err(e),
                },
                DatagramSocket::Simulated(m) => poll_fn(|cx| m.poll_receive(cx, into)).await,
            };
            match received {
                Err(e) if is_interruption(&e) => {}
                received => return received,
            }
        }
    }

    /// Sends one, or fails at once where the machine has no room for it.
    pub fn send_now(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        uninterrupted(|| match self {
            DatagramSocket::Machine(s) => {
                faults::before(Call::Send)?;
                s.get_ref().send_to(bytes, to).map(|_| ())
            }
            DatagramSocket::Simulated(m) => m.send_now(bytes, to),
        })
    }
}

/// Where connections come in.
pub enum Listener {
    Machine(Async<TcpListener>),
    Local(Async<UnixListener>),
    Simulated(Box<dyn SimulatedListener>),
}

impl Bound {
    /// From now on connections are accepted there.
    pub fn listen(self) -> io::Result<Listener> {
        match self {
            Bound::Machine(socket) => {
                socket.listen(BACKLOG)?;
                Async::new(socket.into()).map(Listener::Machine)
            }
            Bound::Simulated(door) => door.listen().map(|()| Listener::Simulated(door)),
        }
    }
}

impl Listener {
    /// Binds and listens, alone.
    pub fn alone(address: SocketAddr) -> io::Result<Listener> {
        match outside() {
            None => Async::<TcpListener>::bind(address).map(Listener::Machine),
            Some(_) => bind(address)?.listen(),
        }
    }

    /// Listens at a socket in the file system, put in place whole over what was left there.
    pub fn local(path: &Path, next: &Path) -> io::Result<Listener> {
        match outside() {
            None => {
                let bound = UnixListener::bind(next).and_then(|l| fs::rename(next, path).map(|()| l));
                bound.and_then(Async::new).map(Listener::Local)
            }
            Some(o) => {
                let door = o.listen_local(next)?;
                o.rename(next, path)?;
                Ok(Listener::Simulated(door))
            }
        }
    }

    /// The next connection. One that its client has given up is passed over; what fails for want of something on this
    /// machine is told, and may be had later.
    pub async fn accept(&self) -> io::Result<Stream> {
        loop {
            match self.accept_once().await {
                Err(e) if is_of_one_connection(&e) => {}
                accepted => return accepted,
            }
        }
    }

    async fn accept_once(&self) -> io::Result<Stream> {
        match self {
            Listener::Machine(l) => {
                faults::before(Call::Accept)?;
                l.accept().await.map(|(s, _)| Stream::Machine(s))
            }
            Listener::Local(l) => {
                faults::before(Call::Accept)?;
                l.accept().await.map(|(s, _)| Stream::Local(s))
            }
            Listener::Simulated(door) => poll_fn(|cx| door.poll_accept(cx)).await.map(Stream::Simulated),
        }
    }

    /// The next one that is here already, or why it cannot be had now.
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
            Listener::Machine(l) => {
                faults::before(Call::Accept)?;
                let (stream, _) = l.get_ref().accept()?;
                Async::new(stream).map(Stream::Machine)
            }
            // Only clients' connections are taken so.
            Listener::Local(_) => Err(ErrorKind::WouldBlock.into()),
            Listener::Simulated(door) => {
                match door.poll_accept(&mut Context::from_waker(std::task::Waker::noop())) {
                    Poll::Ready(accepted) => accepted.map(Stream::Simulated),
                    Poll::Pending => Err(ErrorKind::WouldBlock.into()),
                }
            }
        }
    }
}
