//! System calls that fail in the ways that the machine documents: what fails for a moment is made again, one bad
//! connection harms no other, and what fails on this machine is not held against a database host.

use futures_lite::future;
use sillfold::net::world::{Stream, Wire};
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind};
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
