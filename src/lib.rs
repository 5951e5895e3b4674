//! sillfold decides where a query router sends each request of a sharded, replicated database.
//!
//! The module is pure: it is told what happened and when, and says what to do. It holds no clock,
//! does no I/O and starts no thread, so one text of it runs inside a router and on a test bench.
//!
//! ```
//! use std::sync::Arc;
//! use sillfold::*;
//!
//! let settings = Settings {
//!     routers: 1, ordinal: 0, zone: 0,
//!     classes: vec![Class {
//!         need: Need::Any, effect: Effect::Safe, aim: 200_000, deadline: 1_000_000,
//!         worth: 1.0, late_worth: 0.0, aim_stretch: 0.0,
//!     }],
//!     list_mode: ListMode::Pushed, list_role: ListRole::Silent,
//!     lag_check: LagCheck::Refuse, tokens: Tokens::Carried, crossings_cost: false, positions: true,
//!     limits: Limits {
//!         cancel: true, probes: false, peers: false, retry_after: true,
//!         max_retry_after: 1_000_000, second_copies: false, max_attempts: 4,
//!     },
//!     safety: Safety {
//!         drain_grace: 1_000_000, only_draining_binds: false, start_capacity: 0.2,
//!         cold: 10_000_000, tip_multiple: 3.0, overload_for: 2_000_000, ask_within: 10_000_000,
//!     },
//!     quotas: vec![],
//!     over_quota_worth: 1.0,
//! };
//! let mut router = Router::new(settings, 7);
//! let entry = Entry {
//!     server: 41, zone: 0, kind: 0, group: 0, state: Listed::Ready, weight: 1.0,
//!     primary: false, started: 0,
//! };
//! let mut actions = Vec::new();
//! let list = Event::List { kind: ListKind::Full, entries: Arc::from([entry]) };
//! let read = Event::Request(Arrival {
//!     id: 1, class: 0, session: 0, give_up_at: 2_000_000, group: 0,
//!     ..Arrival::default()
//! });
//! router.handle(1_000_000, &[list, read], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, server: 41, .. })));
//! ```
#![forbid(unsafe_code)]

pub mod api;
pub mod invariants;
pub mod logic;
mod sessions;
pub mod settings;
mod state;

// The program around the module, here so that a simulation can run it too; no interface for others.
#[doc(hidden)]
pub mod config;
#[doc(hidden)]
pub mod mutants;
#[doc(hidden)]
pub mod net;
#[doc(hidden)]
pub mod operator;
#[doc(hidden)]
pub mod orders;
#[doc(hidden)]
pub mod pg;
#[doc(hidden)]
pub mod talk;

pub use api::*;
pub use logic::Router;
