//! What proxies tell each other. It owns the form of a datagram and the judgement of those that come: whose they are,
//! whether they are whole, whether they are news. Pure: no clock, no socket, no lots. It must never hold what a message
//! says beyond the call, nor make a datagram that is too long: there is no way to.

pub mod channel;
pub mod message;

pub use channel::{Counters, DropReason, PeerChannel};
pub use message::{Datagram, DecodeError, Item, Message, Sender};
