//! The datagrams that proxies exchange: their encoding, and the check of those received. [`message`] encodes and decodes
//! a datagram. [`channel`] numbers the datagrams to send, and drops those received from unknown senders, from replaced
//! processes, or twice. The crate is pure: it uses no clock, no socket and no random numbers. It keeps nothing of a
//! message's contents between calls, and cannot build a datagram longer than [`message::MAX_DATAGRAM_BYTES`].

pub mod channel;
pub mod message;

pub use channel::{Counters, DropReason, PeerChannel};
pub use message::{Datagram, DecodeError, Item, Message, Sender};
