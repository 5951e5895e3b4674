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
use crate::mutants;
use crate::pg;
use crate::statement::Statement;
use crate::upload_clock::UploadClock;
use crate::{Micros, Outcome};
use std::time::Instant;

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
    pub hosts: &'u Hosts,
    pub clock: &'u Clock,
    pub opened: AttemptConnection,
    pub statement: &'u Statement,
    pub incoming: &'u mut IncomingStatement<'l, 'a>,
    /// The time taken off the client's deadline for sending the answer back.
    pub response_margin: Micros,
}

impl LongUpload<'_, '_, '_> {
    /// Writes the beginning of the statement, with the time that is left to its client.
    pub async fn write_head(&mut self, start: ApprovedStart) -> Result<(), UploadError> {
        let left = self.incoming.time_left(self.statement, self.clock, self.response_margin);
        if left == 0 {
            return Err(UploadError::NoConnection(Outcome::NotSent));
        }
        let announced_ms = left.div_ceil(1_000);
        let give_up_at = self.clock.now() + left;
        let mut piece = Vec::new();
        pg::put_long_query(&mut piece, self.statement, announced_ms, self.incoming.remaining());
        self.write(&piece).await?;
        self.hosts.check_started(&self.opened, &start, &self.statement.id, announced_ms * 1_000, give_up_at);
        Ok(())
    }

    /// Reads the rest of the statement from the client and writes it to the host, up to its last byte. Guards against a host
    /// that reads slowly and delays the answer: no piece is written once the client may have given up.
    pub async fn write_rest(&mut self) -> Result<(), UploadError> {
        let mut piece = Vec::new();
        while self.incoming.remaining() > 0 {
            // What was read ahead is written without a read in between, which would pause.
            work::pause().await;
            self.incoming.read_more().await?;
            self.incoming.take_piece(&mut piece);
            let last_byte_at = self.clock.micros(self.incoming.last_byte_at());
            let until = give_up_at(self.statement, last_byte_at, self.response_margin);
            let written = timeout_at(self.clock.instant(until), self.write(&piece)).await;
            written.unwrap_or(Err(UploadError::NoConnection(Outcome::ConnectFailed)))?;
        }
        Ok(())
    }

    async fn write(&mut self, piece: &[u8]) -> Result<(), UploadError> {
        let written = self.opened.write(piece).await;
        written.map_err(|_| UploadError::NoConnection(Outcome::ConnectFailed))
    }
}
