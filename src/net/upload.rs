//! Long statements, which are passed to their host as fast as their client sends them. What the client sends while its
//! request is held or connecting is read as far as there is memory, so that it is known when its time began and whether it
//! has left. This module must never choose a host, nor write to a client.

use super::client_connection::{AbandonReason, ClientConnection, ReadResult};
use super::core::Clock;
use super::hosts::{ApprovedStart, AttemptConnection, Hosts};
use super::request::give_up_at;
use super::timeout_at;
use super::work;
use super::world::{self, READ_BYTES};
use crate::invariants;
use crate::mutants;
use crate::pg;
use crate::statement::Statement;
use crate::upload_clock::UploadClock;
use crate::{Micros, Outcome};
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::time::{Duration, Instant};

/// Why a long statement was not written to a host.
pub enum UploadError {
    /// There is no connection to the host; nothing has run. The outcome says why.
    NoConnection(Outcome),
    /// The client did not send the rest of the statement.
    BrokenOff,
}

/// A long statement of which a part is not passed on yet.
pub struct IncomingStatement<'l, 'a> {
    pub connection: &'l mut ClientConnection<'a>,
    /// The bytes that are not passed on yet.
    remaining: &'l mut usize,
    clock: UploadClock,
}

impl<'l, 'a> IncomingStatement<'l, 'a> {
    /// The statement of which `remaining` bytes follow its beginning. Its time begins at `begun_at` at the earliest.
    pub fn new(
        connection: &'l mut ClientConnection<'a>, remaining: &'l mut usize, begun_at: Instant,
    ) -> IncomingStatement<'l, 'a> {
        IncomingStatement { connection, remaining, clock: UploadClock::new(begun_at) }
    }

    /// The bytes that are not passed on yet.
    pub fn remaining(&self) -> usize {
        *self.remaining
    }

    /// The bytes that are not received yet.
    fn unreceived(&self) -> usize {
        self.remaining.saturating_sub(self.connection.read_buffer.len())
    }

    /// The earliest time at which the client may have written the last byte that was received.
    pub fn last_byte_at(&self) -> Instant {
        if mutants::on("long statements begin anew") { world::now() } else { self.clock.last_byte_at() }
    }

    /// Receives the statement to its end, and keeps it. Where there is no memory for more, waits until there is some. Returns why
    /// the request is abandoned, if it is abandoned first.
    pub async fn receive_rest(&mut self) -> Option<AbandonReason> {
        while self.unreceived() > 0 {
            let unreceived = self.unreceived();
            if let Some(reason) = self.connection.receive_ahead(unreceived, &mut self.clock).await {
                return Some(reason);
            }
        }
        None
    }

    /// Whether bytes of the client wait to be read, which is noted.
    fn look(&mut self) -> bool {
        self.clock.look(world::now(), self.connection.has_unread_bytes())
    }

    /// The time that is left to the client, as far as its last byte may have been written already.
    fn time_left(&mut self, statement: &Statement, clock: &Clock, response_margin: Micros) -> Micros {
        let patience = give_up_at(statement, 0, 0);
        if self.unreceived() > 0 && !self.look() {
            // The client still owes bytes, so its time has not begun.
            return patience;
        }
        let until = give_up_at(statement, clock.micros(self.last_byte_at()), response_margin);
        until.saturating_sub(clock.now()).min(patience)
    }

    /// Waits until bytes of the statement are in the read buffer.
    async fn read_more(&mut self) -> Result<(), UploadError> {
        if !self.connection.read_buffer.is_empty() {
            return Ok(());
        }
        let waits = !self.look();
        match self.connection.read_more().await {
            Ok(ReadResult::Bytes) => {}
            Ok(other) => {
                // The connection ends, whether or not the error can be written to the client.
                let _ = self.connection.end_session(other).await;
                return Err(UploadError::BrokenOff);
            }
            Err(_) => return Err(UploadError::BrokenOff),
        }
        if waits {
            self.clock.received_after_wait(world::now());
        }
        Ok(())
    }

    /// Moves the next piece of the statement to `piece`.
    fn take_piece(&mut self, piece: &mut Vec<u8>) {
        piece.clear();
        let piece_bytes = READ_BYTES.min(*self.remaining);
        *self.remaining -= self.connection.read_buffer.move_to(piece, piece_bytes);
    }
}

/// A long statement that is written to its host.
pub struct LongUpload<'u, 'l, 'a> {
    hosts: &'u Hosts,
    clock: &'u Clock,
    opened: AttemptConnection,
    statement: &'u Statement,
    incoming: &'u mut IncomingStatement<'l, 'a>,
    /// The time taken off the client's deadline for sending the answer back.
    response_margin: Micros,
    /// The remaining time that the statement's head announced.
    announced: Micros,
    /// How long writes have waited for the host to read.
    host_time: Duration,
}

impl<'u, 'l, 'a> LongUpload<'u, 'l, 'a> {
    /// An upload on this connection, of which nothing is written yet.
    pub fn new(
        hosts: &'u Hosts, clock: &'u Clock, opened: AttemptConnection, statement: &'u Statement,
        incoming: &'u mut IncomingStatement<'l, 'a>, response_margin: Micros,
    ) -> LongUpload<'u, 'l, 'a> {
        let (announced, host_time) = (0, Duration::ZERO);
        LongUpload { hosts, clock, opened, statement, incoming, response_margin, announced, host_time }
    }

    /// Writes the statement. Returns the connection on which its answer comes.
    pub async fn run(mut self, start: ApprovedStart) -> Result<AttemptConnection, UploadError> {
        self.write_head(start).await?;
        self.write_rest().await?;
        Ok(self.opened)
    }

    /// Writes the beginning of the statement, with the time that is left to its client, unless that is outdated before.
    async fn write_head(&mut self, start: ApprovedStart) -> Result<(), UploadError> {
        let left = self.incoming.time_left(self.statement, self.clock, self.response_margin);
        if left == 0 {
            return Err(UploadError::NoConnection(Outcome::NotSent));
        }
        let announced_ms = left.div_ceil(1_000);
        self.announced = announced_ms * 1_000;
        let now = self.clock.now();
        let mut piece = Vec::new();
        pg::put_long_query(&mut piece, self.statement, announced_ms, self.incoming.remaining());
        let deadline = self.clock.instant(invariants::write_deadline(now));
        let written = timeout_at(deadline, self.opened.write_before(&piece, deadline)).await;
        if !matches!(written, Some(Ok(()))) {
            return Err(UploadError::NoConnection(Outcome::ConnectFailed));
        }
        self.hosts.check_started(&self.opened, &start, &self.statement.id, self.announced, now + left);
        Ok(())
    }

    /// Reads the rest of the statement from the client and writes it to the host, up to its last byte. Guards against a host
    /// that reads slowly and delays the answer: no piece is written once the client may have given up.
    async fn write_rest(&mut self) -> Result<(), UploadError> {
        let mut piece = Vec::new();
        while self.incoming.remaining() > 0 {
            // What was read ahead is written without a read in between, which would pause.
            work::pause().await;
            self.incoming.read_more().await?;
            self.incoming.take_piece(&mut piece);
            let last_byte_at = self.clock.micros(self.incoming.last_byte_at());
            let until = give_up_at(self.statement, last_byte_at, self.response_margin);
            if self.incoming.remaining() == 0 && self.is_outdated(until) {
                return Err(UploadError::NoConnection(Outcome::ConnectFailed));
            }
            let written = timeout_at(self.clock.instant(until), self.write(&piece)).await;
            written.unwrap_or(Err(UploadError::NoConnection(Outcome::ConnectFailed)))?;
        }
        Ok(())
    }

    /// Whether the head has announced more time than is left to the client, who gives up at `until`, because of this process:
    /// a host knows how long it took to read. Without its last byte nothing of the statement has run.
    fn is_outdated(&self, until: Micros) -> bool {
        let left = until.saturating_sub(self.clock.now()) + self.host_time.as_micros() as Micros;
        invariants::is_announcement_outdated(self.announced, left)
    }

    async fn write(&mut self, piece: &[u8]) -> Result<(), UploadError> {
        let started = world::now();
        let mut has_waited = false;
        let mut write = pin!(self.opened.write(piece));
        let written = poll_fn(|context| {
            let polled = write.as_mut().poll(context);
            has_waited |= polled.is_pending();
            polled
        })
        .await;
        if has_waited {
            self.host_time += world::since(started);
        }
        written.map_err(|_| UploadError::NoConnection(Outcome::ConnectFailed))
    }
}
