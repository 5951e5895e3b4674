//! System calls that fail in the ways that the machine documents: what fails for a moment is made again, one bad
//! connection harms no other, and what fails on this machine is not held against a database host.

mod support;

use async_signal::Signal;
use futures_lite::{future, stream};
use sillfold::net::signals;
use sillfold::net::world::{Door, Listener, Mail, Post, Stream, Wire};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A connection of which every call is interrupted so often before it works.
struct InterruptedWire {
    interruptions: Cell<u32>,
    left: Cell<u32>,
    written: Rc<RefCell<Vec<u8>>>,
}

impl InterruptedWire {
    fn new(interruptions: u32) -> (InterruptedWire, Rc<RefCell<Vec<u8>>>) {
        let written: Rc<RefCell<Vec<u8>>> = Rc::default();
        let (interruptions, left) = (Cell::new(interruptions), Cell::new(interruptions));
        (InterruptedWire { interruptions, left, written: written.clone() }, written)
    }

    fn is_interrupted(&self) -> bool {
        let interrupted = self.left.get() > 0;
        self.left.set(if interrupted { self.left.get() - 1 } else { self.interruptions.get() });
        interrupted
    }
}

impl Wire for InterruptedWire {
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
    fn quiet(&self) -> bool {
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
    let (wire, written) = InterruptedWire::new(3);
    let stream = Stream::Other(Box::new(wire));
    future::block_on(async {
        let mut came = Vec::new();
        let read = stream.read_with(|bytes| came.extend(bytes)).await;
        assert_eq!((read.ok(), came.as_slice()), (Some(2), &b"ok"[..]));
        assert!(stream.write_all(b"answer").await.is_ok());
        assert_eq!(stream.write(b"x").await.ok(), Some(1));
    });
    stream.write_now(b"y");
    assert!(stream.shutdown().is_ok());
    assert_eq!(written.borrow().as_slice(), b"answerxy");
}

/// A socket for datagrams whose calls are interrupted once each.
struct InterruptedMail(Cell<bool>);

impl InterruptedMail {
    fn is_interrupted(&self) -> bool {
        !self.0.replace(!self.0.get())
    }
}

impl Mail for InterruptedMail {
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

/// The talk between proxies.
#[test]
fn an_interrupted_call_for_a_datagram_is_made_again() {
    let post = Post::Other(Box::new(InterruptedMail(Cell::new(false))));
    assert!(future::block_on(post.receive(&mut [0; 8])).is_ok());
    assert!(post.send_now(b"x", SocketAddr::from(([127, 0, 0, 1], 1))).is_ok());
}

/// A listener that gives these one after the other, then has nothing.
struct ScriptedDoor(RefCell<VecDeque<Result<(), ErrorKind>>>);

impl ScriptedDoor {
    fn listener(script: &[Result<(), ErrorKind>]) -> Listener {
        Listener::Other(Box::new(ScriptedDoor(RefCell::new(script.iter().copied().collect()))))
    }
}

impl Door for ScriptedDoor {
    fn listen(&self) -> io::Result<()> {
        Ok(())
    }
    fn poll_accept(&self, _: &mut Context<'_>) -> Poll<io::Result<Box<dyn Wire>>> {
        match self.0.borrow_mut().pop_front() {
            Some(Ok(())) => Poll::Ready(Ok(Box::new(InterruptedWire::new(0).0))),
            Some(Err(kind)) => Poll::Ready(Err(kind.into())),
            None => Poll::Pending,
        }
    }
}

/// What waits to be accepted at a stop is taken in to its end: an interrupted accept is made again, and a connection
/// that its client has given up is one of many.
#[test]
fn all_that_wait_to_be_accepted_are_taken_behind_one_that_failed() {
    let (interrupted, aborted) = (Err(ErrorKind::Interrupted), Err(ErrorKind::ConnectionAborted));
    let listener = ScriptedDoor::listener(&[Ok(()), interrupted, Ok(()), aborted, aborted, Ok(())]);
    let mut taken = 0;
    while let Some(accepted) = listener.accept_now() {
        taken += u32::from(accepted.is_ok());
    }
    assert_eq!(taken, 3);
}

/// A read of the signals that fails is no order to stop.
#[test]
fn a_failed_read_of_signals_stops_nothing() {
    let failed = |kind: ErrorKind| Err::<Signal, _>(io::Error::from(kind));
    let come =
        [failed(ErrorKind::Interrupted), Ok(Signal::Hup), failed(ErrorKind::OutOfMemory), Ok(Signal::Hup)];
    let (stop, stopped) = async_channel::bounded(1);
    let mut reloads = 0;
    future::block_on(signals::follow(stream::iter(come), || reloads += 1, &stop));
    assert_eq!((reloads, stopped.len()), (2, 0));
    future::block_on(signals::follow(stream::iter([Ok(Signal::Term), Ok(Signal::Int)]), || {}, &stop));
    assert_eq!(stopped.len(), 1);
}

/// The machine gives fewer descriptors than the configuration says, and idle clients have them all: a request waits for one
/// inside its dial, and no host is held to be out of reach.
#[test]
fn a_dial_that_fails_for_want_of_descriptors_is_not_held_against_its_host() {
    use support::*;
    let host = Host::start(|_, _| Reply::Row("v"));
    let config = |c: String| add_console(c).replacen('{', "{\"descriptors\":48,", 1);
    let proxy = Proxy::start_with(&[&host], 1024, config);
    let mut asking = proxy.client();
    let mut idle: Vec<Client> = (0..40).map(|_| Client::connect(proxy.address)).collect();
    proxy.logged("trying again in 20 ms: Too many open files");
    asking.send(&query(&read("1", "history", 9_000)));
    proxy.logged("connecting: Too many open files");
    idle.clear();
    let answer = asking.answer();
    assert_eq!((answer.value.as_deref(), answer.code.as_str()), (Some("v"), ""), "{}", answer.message);
    assert_eq!(proxy.stats()["hosts_down"], 0);
}
