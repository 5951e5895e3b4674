//! The signals that a running program follows: SIGHUP reads the configuration again, SIGTERM and SIGINT stop it in order. It
//! owns what each one means. It must never read a file, nor end anything itself.

use super::warn_rate_limited;
use crate::mutants;
use async_channel::Sender;
use async_signal::Signal;
use futures_lite::{Stream, StreamExt, future};
use std::io;

/// Follows signals for as long as they come.
pub async fn follow(
    mut signals: impl Stream<Item = io::Result<Signal>> + Unpin, mut reload: impl FnMut(), stop: &Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => reload(),
            // A second one changes nothing.
            Ok(Signal::Term | Signal::Int) => {
                let is_second = stop.try_send(()).is_err();
                if is_second && mutants::on("a second signal is deadly") {
                    panic!("a second signal");
                }
            }
            Ok(_) => {}
            Err(e) => {
                warn_rate_limited(|| format!("signals: {e}"));
                // Guards against an error that comes again at once, and keeps all else from running.
                future::yield_now().await;
            }
        }
    }
}
