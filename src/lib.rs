//! sillfold is a proxy for a sharded, replicated database. Its decision module, [`Router`], decides where the
//! proxy sends each request.
//!
//! The decision module takes events with their times and returns actions. It reads no clock, does no I/O and
//! starts no thread, so the same code runs inside a proxy and in a simulation.
//!
//! ```
//! use std::sync::Arc;
//! use sillfold::*;
//!
//! let settings = Settings {
//!     proxy_count: 1, ordinal: 0, zone: 0,
//!     classes: vec![Class {
//!         access: Access::AnyRead, idempotency: Idempotency::Idempotent,
//!         latency_target: 200_000, deadline: 1_000_000,
//!         worth: 1.0, late_worth: 0.0, latency_target_stretch: 0.0,
//!     }],
//!     list_mode: ListMode::Pushed, list_role: ListRole::Absent,
//!     lag_check: LagCheck::Reject, session_tokens: SessionTokens::FromClient,
//!     cross_zone_costs: false, answers_carry_positions: true,
//!     limits: Limits {
//!         cancel: true, probes: false, peers: false, retry_after: true,
//!         max_retry_after: 1_000_000, hedging: false, max_attempts: 4,
//!     },
//!     safety: Safety {
//!         drain_grace: 1_000_000, only_draining_binds: false, start_capacity: 0.2,
//!         cold_duration: 10_000_000, overload_multiple: 3.0, overload_duration: 2_000_000,
//!         max_list_age: 10_000_000,
//!     },
//!     quotas: vec![],
//!     over_quota_worth: 1.0,
//! };
//! let mut router = Router::new(settings, 7);
//! let entry = HostEntry {
//!     host: 41, zone: 0, machine_type: 0, group: 0, state: HostStatus::Ready, weight: 1.0,
//!     primary: false, started: 0,
//! };
//! let mut actions = Vec::new();
//! let list = Event::List { update: ListUpdate::Full, entries: Arc::from([entry]) };
//! let read = Event::Request(RequestInfo {
//!     id: 1, class: 0, session: 0, give_up_at: 2_000_000, group: 0,
//!     ..RequestInfo::default()
//! });
//! router.handle(1_000_000, &[list, read], &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, host: 41, .. })));
//! ```
#![forbid(unsafe_code)]

pub mod api;
pub mod invariants;
pub mod logic;
pub mod memory;
mod sessions;
pub mod settings;
mod state;

// The proxy around the decision module. It is in this crate so that a simulation can run it too, and it is no
// interface for other crates.
#[doc(hidden)]
pub mod answered_ids;
#[doc(hidden)]
pub mod config;
#[doc(hidden)]
pub mod mutants;
#[doc(hidden)]
pub mod net;
#[doc(hidden)]
pub mod operator;
#[doc(hidden)]
pub mod overrides;
#[doc(hidden)]
pub mod pg;
/// A statement and the terms of its request.
pub mod statement;
#[doc(hidden)]
pub mod talk;
#[doc(hidden)]
pub mod upload_clock;

pub use api::*;
pub use logic::Router;
