//! The memory that connections of clients hold beyond their own small buffers. Every part of it is reserved in a pool
//! before it is filled, and returned when the reservation is dropped, so a pool's limit holds whatever clients and hosts
//! do. A reservation that is not granted never waits: the caller does without, and leaves bytes in the sockets. This
//! module must never read or write a connection, nor know what the bytes mean; `crate::memory` says who may hold how much.

use super::{ResourceUsage, SharedLimit};
use crate::memory::{self, MemoryPlan};
use crate::mutants;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Memory that all connections share.
pub struct MemoryPool {
    limit: SharedLimit,
    held: Cell<usize>,
    /// The most that was held at once.
    peak: Cell<usize>,
    /// How many reservations were not granted.
    denied: Cell<u64>,
}

/// The state of a pool as the operators' console shows it.
#[derive(Serialize)]
pub struct PoolFigures {
    held_bytes: usize,
    peak_bytes: usize,
    limit_bytes: usize,
    denied: u64,
}

impl MemoryPool {
    pub fn new(limit: usize) -> Rc<MemoryPool> {
        let (held, peak, denied) = Default::default();
        Rc::new(MemoryPool { limit: SharedLimit::new(limit), held, peak, denied })
    }

    /// The bytes that are reserved.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Shares the pool with another process, which holds `other_held` of it; `None` if there is no other.
    pub fn share(&self, other_held: Option<usize>) {
        self.limit.share(self.held(), other_held);
    }

    pub fn figures(&self) -> PoolFigures {
        PoolFigures {
            held_bytes: self.held(),
            peak_bytes: self.peak.get(),
            limit_bytes: self.limit.get(),
            denied: self.denied.get(),
        }
    }
}

/// What one connection holds of a pool.
pub struct MemoryAccount {
    pool: Rc<MemoryPool>,
    held: Cell<usize>,
}

impl MemoryAccount {
    pub fn new(pool: &Rc<MemoryPool>) -> Rc<MemoryAccount> {
        Rc::new(MemoryAccount { pool: pool.clone(), held: Cell::default() })
    }

    /// Reserves memory; `None` if the connection may not hold that much.
    pub fn reserve(self: &Rc<MemoryAccount>, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.reserve_nothing();
        reservation.grow_to(bytes).then_some(reservation)
    }

    /// A reservation of nothing, which may grow.
    pub fn reserve_nothing(self: &Rc<MemoryAccount>) -> Reservation {
        Reservation { account: self.clone(), bytes: 0 }
    }

    /// Takes `more` bytes of the pool; false if the connection may not hold them.
    fn take(&self, more: usize) -> bool {
        let pool = &self.pool;
        let (limit, pool_held, own_held) = (pool.limit.get(), pool.held(), self.held.get());
        if !memory::may_hold(limit, pool_held, own_held, more) {
            pool.denied.set(pool.denied.get() + 1);
            return false;
        }
        self.held.set(own_held + more);
        pool.held.set(pool_held + more);
        pool.peak.set(pool.peak.get().max(pool_held + more));
        true
    }

    /// Returns bytes to the pool.
    fn release(&self, bytes: usize) {
        if mutants::on("reservations are kept") {
            return;
        }
        self.held.set(self.held.get() - bytes);
        self.pool.held.set(self.pool.held.get() - bytes);
    }
}

/// The memory of all clients' connections.
pub struct ClientMemory {
    /// For what clients have sent and is not answered yet.
    received: Rc<MemoryPool>,
    /// For answers that their clients have not read yet. A pool of its own, so that clients that read slowly leave what
    /// others may send.
    answers: Rc<MemoryPool>,
    client_buffer_bytes: usize,
    host_buffer_bytes: usize,
}

/// The state of all pools as the operators' console shows it.
#[derive(Serialize)]
pub struct MemoryFigures {
    received: PoolFigures,
    answers: PoolFigures,
}

impl ClientMemory {
    pub fn new(plan: &MemoryPlan) -> ClientMemory {
        ClientMemory {
            received: MemoryPool::new(plan.received_bytes),
            answers: MemoryPool::new(plan.answer_bytes),
            client_buffer_bytes: plan.client_buffer_bytes,
            host_buffer_bytes: plan.host_buffer_bytes,
        }
    }

    /// The memory of a new connection, which holds nothing yet.
    pub fn connection(&self) -> ConnectionMemory {
        ConnectionMemory {
            received: MemoryAccount::new(&self.received),
            answers: MemoryAccount::new(&self.answers),
            buffer_bytes: self.client_buffer_bytes,
            host_buffer_bytes: self.host_buffer_bytes,
        }
    }

    /// The bytes that are held of what clients have sent, and of answers.
    pub fn held(&self) -> (usize, usize) {
        (self.received.held(), self.answers.held())
    }

    /// Shares the pools with another process, which holds this much of them; `None` if there is no other.
    pub fn share(&self, other: Option<ResourceUsage>) {
        self.received.share(other.map(|held| held.bytes));
        self.answers.share(other.map(|held| held.answer_bytes));
    }

    pub fn figures(&self) -> MemoryFigures {
        MemoryFigures { received: self.received.figures(), answers: self.answers.figures() }
    }
}

/// The memory of one client's connection.
pub struct ConnectionMemory {
    pub received: Rc<MemoryAccount>,
    pub answers: Rc<MemoryAccount>,
    /// How many bytes each of the connection's buffers may hold without a reservation.
    pub buffer_bytes: usize,
    /// The same for the buffers of a connection to a host.
    host_buffer_bytes: usize,
}

impl ConnectionMemory {
    /// The memory for the answer to one request.
    pub fn answer(&self) -> AnswerMemory {
        AnswerMemory::new(&self.answers, self.host_buffer_bytes)
    }
}

/// Memory that is reserved in a pool; dropping it returns the memory.
pub struct Reservation {
    account: Rc<MemoryAccount>,
    bytes: usize,
}

impl Reservation {
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows to at least `bytes`; false, and unchanged, if the connection may not hold that much.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let granted = more == 0 || self.account.take(more);
        if granted {
            self.bytes += more;
        }
        granted
    }

    /// Returns what is reserved beyond `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.account.release(excess);
        self.bytes -= excess;
    }

    /// Moves up to `bytes` into a reservation of their own.
    pub fn split_off(&mut self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Reservation { account: self.account.clone(), bytes }
    }

    /// Adds what another reservation of the same connection holds.
    pub fn absorb(&mut self, mut other: Reservation) {
        debug_assert!(Rc::ptr_eq(&self.account, &other.account), "reservations of one connection");
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// The memory for the answer to one request, from the first byte that its host sends until the client's connection takes
/// it. A small answer fits into the connections' own buffers; a longer one needs a reservation.
pub struct AnswerMemory {
    /// `None` for a connection that belongs to no client.
    reservation: RefCell<Option<Reservation>>,
    buffer_bytes: usize,
}

impl AnswerMemory {
    pub fn new(account: &Rc<MemoryAccount>, buffer_bytes: usize) -> AnswerMemory {
        AnswerMemory { reservation: RefCell::new(Some(account.reserve_nothing())), buffer_bytes }
    }

    /// The memory of a connection's own buffer alone.
    pub fn buffer_only(buffer_bytes: usize) -> AnswerMemory {
        AnswerMemory { reservation: RefCell::default(), buffer_bytes }
    }

    /// How many bytes are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.borrow().as_ref().map_or(0, Reservation::bytes)
    }

    /// How many bytes need no reservation.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Whether `bytes` may be held, which reserves them if they don't fit into a buffer.
    pub fn hold(&self, bytes: usize) -> bool {
        bytes <= self.buffer_bytes || self.reserve(bytes)
    }

    /// Reserves at least `bytes`; false if that is not granted.
    pub fn reserve(&self, bytes: usize) -> bool {
        self.reservation.borrow_mut().as_mut().is_some_and(|reservation| reservation.grow_to(bytes))
    }

    /// Returns what is reserved beyond `bytes`.
    pub fn shrink_to(&self, bytes: usize) {
        self.reservation.borrow_mut().iter_mut().for_each(|reservation| reservation.shrink_to(bytes));
    }

    /// Takes the reservation out.
    pub fn take(&self) -> Option<Reservation> {
        self.reservation.take()
    }
}
