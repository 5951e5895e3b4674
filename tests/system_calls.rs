//! System calls that fail in the ways that their documentation allows. Interrupted calls are made again, one failed
//! connection does not affect others, and a shortage on this machine does not count as a failure of a database host.

mod support;

use async_signal::Signal;
use futures_lite::{future, stream};
use sillfold::net::signals;
use sillfold::net::world::{
    DatagramSocket, Listener, SimulatedConnection, SimulatedDatagramSocket, SimulatedListener, Stream,
};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A connection whose every call is interrupted `interruptions` times before it succeeds.
struct InterruptedConnection {
    interruptions: Cell<u32>,
    /// The interruptions that are left for the present call.
    left: Cell<u32>,
    written: Rc<RefCell<Vec<u8>>>,
}

impl InterruptedConnection {
    fn new(interruptions: u32) -> (InterruptedConnection, Rc<RefCell<Vec<u8>>>) {
        let written: Rc<RefCell<Vec<u8>>> = Rc::default();
        let (interruptions, left) = (Cell::new(interruptions), Cell::new(interruptions));
        (InterruptedConnection { interruptions, left, written: written.clone() }, written)
    }

    fn is_interrupted(&self) -> bool {
        let interrupted = self.left.get() > 0;
        self.left.set(if interrupted { self.left.get() - 1 } else { self.interruptions.get() });
        interrupted
    }
}

impl SimulatedConnection for InterruptedConnection {
    fn poll_read(&self, _: &mut Context<'_>, into: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.is_interrupted() {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        into[..2].copy_from_slice(b"ok");
        Poll::Ready(Ok(2))
    }
    fn poll_write(&self, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_interrupted() {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        self.written.borrow_mut().extend(&bytes[..1]);
        Poll::Ready(Ok(1))
    }
    fn is_idle(&self) -> bool {
        true
    }
    fn is_hung_up(&self) -> bool {
        false
    }
    fn shutdown(&self) -> io::Result<()> {
        if self.is_interrupted() { Err(ErrorKind::Interrupted.into()) } else { Ok(()) }
    }
}

/// Reads, writes and shutdowns of a connection.
#[test]
fn an_interrupted_call_on_a_connection_is_made_again() {
    let (connection, written) = InterruptedConnection::new(3);
    let stream = Stream::Simulated(Box::new(connection));
    future::block_on(async {
        let mut received = Vec::new();
        let read = stream.read_with(|bytes| received.extend(bytes)).await;
        assert_eq!((read.ok(), received.as_slice()), (Some(2), &b"ok"[..]));
        assert!(stream.write_all(b"answer").await.is_ok());
        assert_eq!(stream.write(b"x").await.ok(), Some(1));
    });
    stream.write_now(b"y");
    assert!(stream.shutdown().is_ok());
    assert_eq!(written.borrow().as_slice(), b"answerxy");
}

/// A datagram socket whose calls are interrupted once each.
struct InterruptedDatagramSocket(Cell<bool>);

impl InterruptedDatagramSocket {
    fn is_interrupted(&self) -> bool {
        !self.0.replace(!self.0.get())
    }
}

impl SimulatedDatagramSocket for InterruptedDatagramSocket {
    fn poll_receive(&self, _: &mut Context<'_>, _: &mut [u8]) -> Poll<io::Result<(usize, SocketAddr)>> {
        if self.is_interrupted() {
            return Poll::Ready(Err(ErrorKind::Interrupted.into()));
        }
        Poll::Ready(Ok((1, SocketAddr::from(([127, 0, 0, 1], 1)))))
    }
    fn send_now(&self, _: &[u8], _: SocketAddr) -> io::Result<()> {
        if self.is_interrupted() { Err(ErrorKind::Interrupted.into()) } else { Ok(()) }
    }
}

/// Datagrams between proxies.
#[test]
fn an_interrupted_datagram_call_is_made_again() {
    let socket = DatagramSocket::Simulated(Box::new(InterruptedDatagramSocket(Cell::new(false))));
    assert!(future::block_on(socket.receive(&mut [0; 8])).is_ok());
    assert!(socket.send_now(b"x", SocketAddr::from(([127, 0, 0, 1], 1))).is_ok());
}

/// A listener that returns these results one after the other, then has no connection.
struct ScriptedListener(RefCell<VecDeque<Result<(), ErrorKind>>>);

impl ScriptedListener {
    fn listener(script: &[Result<(), ErrorKind>]) -> Listener {
        Listener::Simulated(Box::new(ScriptedListener(RefCell::new(script.iter().copied().collect()))))
    }
}

impl SimulatedListener for ScriptedListener {
    fn listen(&self) -> io::Result<()> {
        Ok(())
    }
    fn poll_accept(&self, _: &mut Context<'_>) -> Poll<io::Result<Box<dyn SimulatedConnection>>> {
        match self.0.borrow_mut().pop_front() {
            Some(Ok(())) => Poll::Ready(Ok(Box::new(InterruptedConnection::new(0).0))),
            Some(Err(kind)) => Poll::Ready(Err(kind.into())),
            None => Poll::Pending,
        }
    }
}

/// At a stop all waiting connections are accepted: an interrupted accept is made again, and a connection that its client has
/// given up is skipped.
#[test]
fn all_that_wait_to_be_accepted_are_taken_behind_one_that_failed() {
    let (interrupted, aborted) = (Err(ErrorKind::Interrupted), Err(ErrorKind::ConnectionAborted));
    let listener = ScriptedListener::listener(&[Ok(()), interrupted, Ok(()), aborted, aborted, Ok(())]);
    let mut accepted_count = 0;
    while let Some(accepted) = listener.accept_now() {
        accepted_count += u32::from(accepted.is_ok());
    }
    assert_eq!(accepted_count, 3);
}

/// A failed read of the signals does not stop the program.
#[test]
fn a_failed_read_of_signals_does_not_stop_the_program() {
    let failed = |kind: ErrorKind| Err::<Signal, _>(io::Error::from(kind));
    let signals_read =
        [failed(ErrorKind::Interrupted), Ok(Signal::Hup), failed(ErrorKind::OutOfMemory), Ok(Signal::Hup)];
    let (stop, stopped) = async_channel::bounded(1);
    let mut reloads = 0;
    future::block_on(signals::follow(stream::iter(signals_read), || reloads += 1, &stop));
    assert_eq!((reloads, stopped.len()), (2, 0));
    future::block_on(signals::follow(stream::iter([Ok(Signal::Term), Ok(Signal::Int)]), || {}, &stop));
    assert_eq!(stopped.len(), 1);
}

/// The machine allows fewer descriptors than the configuration names, and idle clients hold them all. A request waits for a
/// descriptor until its connect timeout, and no host counts as unreachable.
#[test]
fn a_connect_that_lacks_a_descriptor_does_not_count_as_a_failure_of_the_host() {
    use support::*;
    let host = Host::start(|_, _| Reply::Row("v"));
    let config = |c: String| add_console(c).replacen('{', "{\"descriptors\":48,", 1);
    let proxy = Proxy::start_with(&[&host], 1024, config);
    let mut asking = proxy.client();
    let mut idle: Vec<Client> = (0..40).map(|_| Client::connect(proxy.address)).collect();
    proxy.logged("trying again in 20ms: Too many open files");
    asking.send(&query(&read("1", "history", 9_000)));
    proxy.logged("connecting: Too many open files");
    idle.clear();
    let answer = asking.answer();
    assert_eq!((answer.value.as_deref(), answer.code.as_str()), (Some("v"), ""), "{}", answer.message);
    assert_eq!(proxy.stats()["hosts_down"], 0);
}
