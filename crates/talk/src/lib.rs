//! What proxies tell each other. It owns the form of a datagram and the judgement of those that come: whose they are,
//! whether they are whole, whether they are news. Pure: no clock, no socket, no lots. It must never hold what a message
//! says beyond the call, nor make a datagram that is too long: there is no way to.

pub mod door;
pub mod message;

pub use door::{Door, Figures, Refused};
pub use message::{Datagram, Item, Message, Sender, Unreadable};
