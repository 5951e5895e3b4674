//! Everything that touches sockets, in four parts. `core` owns the decision module and time,
//! `client` a request's life, `hosts` the connections to database hosts, `discovery` the list.
//! This file holds only what they share; it must never decide nor keep state.

pub mod client;
pub mod core;
pub mod discovery;
pub mod hosts;

use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::time::Instant;

/// The future's result, or nothing once the time has come; the future is then dropped.
pub async fn by<T>(when: Instant, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::at(when).await;
        None
    })
    .await
}
