//! Plain configuration of the proxy's own endpoints, named by the configuration and by the modules that open the
//! sockets. It holds values only and must never name another module.

use std::net::SocketAddr;

/// Connections that the operators' console serves at the same time; each holds a descriptor.
pub const CONSOLE_CONNECTIONS: usize = 16;

/// The addresses by which proxies talk to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerEndpoints {
    /// This proxy's number among them.
    pub ordinal: u16,
    /// The address on which this proxy receives.
    pub listen: SocketAddr,
    /// The address of each proxy by number: the source of its messages, and where others send to it.
    pub each: Vec<SocketAddr>,
    /// One address that reaches all proxies at once, if there is any.
    pub all: Option<SocketAddr>,
}
