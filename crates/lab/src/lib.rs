//! Stand-ins on loopback for tests, the demonstration and measurements: database hosts that speak PostgreSQL's protocol,
//! discovery's agent, a client, and the proxy as a child process. The proxy must never link this crate.
#![warn(missing_docs)]

mod agent;
mod client;
pub mod flood;
mod host;
mod proxy;
pub mod sim;
pub mod soak;
mod wire;

pub use agent::{Agent, HostEntry};
pub use client::{Answer, Client};
pub use host::{Capacity, Fault, Group, Host, HostEvent, Options};
pub use proxy::{Proxy, loopback_address, settings};
