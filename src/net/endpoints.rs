//! Plain configuration of the proxy's own sockets, which both the configuration and the modules that open the sockets use.
//! It holds values only. It must never use another module.

use std::net::SocketAddr;

/// The number of connections that the operators' console serves at the same time. Each holds a descriptor.
pub const CONSOLE_CONNECTIONS: usize = 16;

/// The addresses at which proxies exchange datagrams.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerEndpoints {
    /// This proxy's number among all proxies.
    pub ordinal: u16,
    /// The address on which this proxy receives.
    pub listen: SocketAddr,
    /// The address of each proxy by number: the source of its datagrams, and the destination of datagrams to it.
    pub each: Vec<SocketAddr>,
    /// One address that reaches all proxies at once, if there is one.
    pub all: Option<SocketAddr>,
}
