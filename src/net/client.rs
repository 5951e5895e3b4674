//! Accepts clients, and runs one session for each connection in a task of its own. It must never read or write a message.

use super::admission::Admission;
use super::client_connection::put_fatal;
use super::core::Core;
use super::events::RefusalReason;
use super::hosts::Hosts;
use super::request::ClientWatch;
use super::scheduler::Spawner;
use super::session::{Session, SessionContext};
use super::statements::Statements;
use super::warn_rate_limited;
use super::world::{self, Listener, Stream};
use crate::Micros;
use crate::invariants::CloseReason;
use crate::pg::code;
use futures_lite::future;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// The delay after a failed accept. Guards against a loop that spins while the table of descriptors is full.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often in a row a failed accept is retried at a stop.
const MAX_ACCEPT_RETRIES: u32 = 25;

/// The clients of the proxy, and what their tasks share.
pub struct Clients {
    context: Rc<SessionContext>,
    pub admission: Rc<Admission>,
    /// A connection that was accepted and waits for a slot. Kept here so that it survives when the future that accepts is
    /// dropped.
    waiting_stream: RefCell<Option<Stream>>,
    executor: Spawner,
}

impl Clients {
    pub fn new(
        core: Rc<Core>, hosts: Rc<Hosts>, admission: Admission, response_margin: Micros, executor: Spawner,
    ) -> Clients {
        let admission = Rc::new(admission);
        let context = SessionContext {
            core,
            hosts,
            admission: admission.clone(),
            response_margin,
            statements: RefCell::default(),
        };
        Clients { context: Rc::new(context), admission, waiting_stream: RefCell::default(), executor }
    }

    /// Sets how plain statements are routed; `None` turns them off.
    pub fn set_statements(&self, statements: Option<Rc<Statements>>) {
        self.context.set_statements(statements);
    }

    /// How plain statements are routed, if they are served.
    pub fn statements(&self) -> Option<Rc<Statements>> {
        self.context.statements()
    }

    /// Accepts clients until the future is dropped.
    pub async fn accept(self: &Rc<Clients>, listener: &Listener) {
        self.admission.start_accepting();
        self.start_waiting_session();
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    self.waiting_stream.replace(Some(stream));
                    self.admission.evict_idle().await;
                    self.admission.until_slot().await;
                    self.start_waiting_session();
                    // Lets the session register as idle, so that it can be evicted for the next connection.
                    future::yield_now().await;
                }
                Err(e) => {
                    warn_rate_limited(|| {
                        format!(
                            "clients: accepting a connection failed, trying again in {ACCEPT_RETRY_DELAY:?}: {e}"
                        )
                    });
                    world::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the connections that wait in the listener's backlog: those clients are connected already.
    pub async fn accept_backlog(self: &Rc<Clients>, listener: &Listener) {
        self.start_waiting_session();
        let mut retries_left = MAX_ACCEPT_RETRIES;
        while let Some(stream) = listener.accept_now() {
            match stream {
                Ok(stream) => {
                    retries_left = MAX_ACCEPT_RETRIES;
                    self.waiting_stream.replace(Some(stream));
                    self.admission.until_slot().await;
                    self.start_waiting_session();
                }
                Err(e) if retries_left == 0 => {
                    return warn!(target: "clients", "accepting at the stop failed too often, and ends: {e}");
                }
                Err(e) => {
                    warn_rate_limited(|| {
                        format!(
                            "clients: accepting a connection failed, trying again in {ACCEPT_RETRY_DELAY:?}: {e}"
                        )
                    });
                    retries_left -= 1;
                    world::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Starts the session of the connection that waits for a slot, if there is one. Guards against a stop that drops this
    /// connection.
    fn start_waiting_session(self: &Rc<Clients>) {
        let waiting_stream = self.waiting_stream.take();
        waiting_stream.into_iter().for_each(|stream| self.start_session(stream));
    }

    /// Starts a client's session, or refuses the client if all slots are taken.
    fn start_session(self: &Rc<Clients>, stream: Stream) {
        let _ = stream.no_delay();
        stream.limit_send_buffer();
        if self.admission.is_full() {
            // Written before the client's first message: it fits into the send buffer of any new connection.
            let mut out = Vec::new();
            put_fatal(&mut out, code::TOO_MANY_CONNECTIONS, "all connections are in use");
            stream.write_now(&out);
            self.context.core.events.refused("", RefusalReason::Full);
        }
        let Some((slot, refused)) = self.admission.take_slot() else {
            return self.context.core.events.closed(CloseReason::Full);
        };
        let context = self.context.clone();
        let task = async move {
            // The slot is returned only after the connection is closed.
            let mut slot = slot;
            let stream = Rc::new(stream);
            let watch = ClientWatch::new(stream.clone());
            let mut session = Session::new(&context, stream, &watch);
            if refused {
                session.connection.set_close_reason(CloseReason::Full);
            }
            // An error means that the client's connection failed, so no answer can be written.
            let ended_in_order = refused || session.run().await.is_ok();
            session.record_close();
            session.abandon();
            if ended_in_order && (!session.connection.evicted || context.admission.move_to_refused(&mut slot))
            {
                session.connection.linger().await;
            }
        };
        self.executor.spawn_session(task);
    }
}
