//! How the memory of a process is divided, and how much of a shared part one connection may hold. Everything here is pure:
//! sizes in, sizes or a verdict out. It must not allocate, count what is held, or know what the memory is held for.
//!
//! `docs/memory.md` lists what a connection holds and what bounds it.

/// Memory of the program itself: its code, the list of hosts and the state of the decision module, in bytes.
const PROGRAM_BYTES: usize = 10 << 20;
/// What a client's connection needs at rest: its task, the state of its socket, and what its buffers keep, in bytes.
const CLIENT_BYTES: usize = 12 * 1024;
/// What an open request adds to that besides the buffers, in bytes.
const REQUEST_BYTES: usize = 12 * 1024;
/// What a connection to a host needs besides its buffers, in bytes.
const HOST_CONNECTION_BYTES: usize = 2 * 1024;
/// At most this fraction (1/3) of the descriptors are connections of clients with a request.
const BUSY_CLIENTS_DIVISOR: usize = 3;
/// How many buffers a client's connection may fill without a reservation: what was received, the statement that is served,
/// and what is due to the client.
const BUFFERS_PER_CLIENT: usize = 3;
/// How many buffers a connection to a host may fill without a reservation: what was received, and the decoded value.
const BUFFERS_PER_HOST_CONNECTION: usize = 2;
/// The smallest buffer of a client's connection, in bytes. The head of a statement that is streamed fits into it.
const MIN_CLIENT_BUFFER_BYTES: usize = 4_608;
/// The smallest buffer of a connection to a host, in bytes.
const MIN_HOST_BUFFER_BYTES: usize = 2 * 1024;
/// The largest buffer, in bytes.
const MAX_BUFFER_BYTES: usize = 8 * 1024;
/// The buffers of all connections take at most this fraction (1/8) of the memory, unless they have the smallest size.
const BUFFER_DIVISOR: usize = 8;
/// The pools take at most this fraction (1/2) of the memory.
const POOL_DIVISOR: usize = 2;
/// The smallest pool, in bytes.
const MIN_POOL_BYTES: usize = 256 * 1024;
/// A connection may hold at most this fraction (1/3) of what is free of a pool once it holds it.
const FAIR_SHARE_DIVISOR: usize = 3;

/// The limits of a process that its memory is divided by.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    /// The limit of memory.
    pub memory_bytes: usize,
    /// The limit of open descriptors.
    pub sockets: usize,
    /// The limit of open client connections.
    pub max_clients: usize,
    /// The limit of open connections to database hosts.
    pub max_host_connections: usize,
}

/// How the memory of a process is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryPlan {
    /// How many bytes a buffer of a client's connection may hold without a reservation.
    pub client_buffer_bytes: usize,
    /// How many bytes a buffer of a connection to a host may hold without a reservation.
    pub host_buffer_bytes: usize,
    /// The pool for what clients have sent and is not answered yet.
    pub received_bytes: usize,
    /// The pool for answers that their clients have not read yet.
    pub answer_bytes: usize,
}

impl MemoryPlan {
    /// Divides the memory. A quarter of what the program and the connections themselves leave is kept for the allocator.
    pub fn divide(limits: &ProcessLimits) -> MemoryPlan {
        let busy_clients = limits.max_clients.min(limits.sockets / BUSY_CLIENTS_DIVISOR);
        let client_buffers = busy_clients * BUFFERS_PER_CLIENT;
        let host_buffers = limits.max_host_connections * BUFFERS_PER_HOST_CONNECTION;
        let buffer_bytes = limits.memory_bytes / BUFFER_DIVISOR / (client_buffers + host_buffers).max(1);
        let buffer_bytes = buffer_bytes.min(MAX_BUFFER_BYTES);
        let client_buffer_bytes = buffer_bytes.max(MIN_CLIENT_BUFFER_BYTES);
        let host_buffer_bytes = buffer_bytes.max(MIN_HOST_BUFFER_BYTES);
        let fixed_bytes = PROGRAM_BYTES
            + limits.max_clients * CLIENT_BYTES
            + busy_clients * REQUEST_BYTES
            + limits.max_host_connections * HOST_CONNECTION_BYTES
            + client_buffers * client_buffer_bytes
            + host_buffers * host_buffer_bytes;
        let left_bytes = limits.memory_bytes.saturating_sub(fixed_bytes) / 4 * 3;
        let pool_bytes = left_bytes.min(limits.memory_bytes / POOL_DIVISOR);
        MemoryPlan {
            client_buffer_bytes,
            host_buffer_bytes,
            received_bytes: (pool_bytes / 3).max(MIN_POOL_BYTES),
            answer_bytes: (pool_bytes / 3 * 2).max(MIN_POOL_BYTES),
        }
    }
}

/// Whether a connection that holds `own` bytes of a pool may hold `more`. `held` is what all connections hold of the pool
/// together, `limit` what they may hold. Each may hold a fraction of what is then free, so that those that hold on to
/// their part, as clients that read slowly do, always leave a part for the others.
pub fn may_hold(limit: usize, held: usize, own: usize, more: usize) -> bool {
    let Some(free) = limit.checked_sub(held.saturating_add(more)) else { return false };
    own.saturating_add(more) <= free / FAIR_SHARE_DIVISOR
}
