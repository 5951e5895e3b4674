//! Stand-ins on loopback: database hosts that speak PostgreSQL's protocol, discovery's agent, the proxy as a
//! process among them, and a client. For tests, the demonstration and measurements. It must never be linked into the proxy.
#![warn(missing_docs)]

mod agent;
mod client;
mod host;
mod proxy;
pub mod sim;
pub mod soak;
mod wire;

pub use agent::{Agent, HostEntry};
pub use client::{Answer, Client};
pub use host::{Capacity, Fault, Group, Host, HostEvent, Options};
pub use proxy::{Proxy, loopback_address, settings};
