//! The signals that a running program handles: SIGHUP reloads the configuration, SIGTERM and SIGINT stop the program
//! gracefully. This module owns the meaning of each signal. It must never read a file, nor stop anything itself.

use super::warn_rate_limited;
use crate::mutants;
use async_channel::Sender;
use async_signal::Signal;
use futures_lite::{Stream, StreamExt, future};
use std::io;

/// Handles signals until the stream ends. Calls `reload` at SIGHUP, and notifies `stop` at SIGTERM and SIGINT.
pub async fn follow(
    mut signals: impl Stream<Item = io::Result<Signal>> + Unpin, mut reload: impl FnMut(), stop: &Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(),
            // A second signal to stop changes nothing.
            Ok(Signal::Term | Signal::Int) => {
                let is_second = stop.try_send(()).is_err();
                if is_second && mutants::on("a second signal is deadly") {
                    panic!("a second signal");
                }
            }
            Ok(_) => {}
            Err(e) => {
                warn_rate_limited(|| format!("signals: {e}; waiting for the next signal"));
                // Guards against an error that recurs at once, and lets no other task run.
                future::yield_now().await;
            }
        }
    }
}
