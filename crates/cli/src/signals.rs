//! Signals of the serving processes: SIGTERM and SIGINT request a stop, and SIGHUP is only logged.

use miette::{IntoDiagnostic, Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tracing::warn;

/// The signal handlers of a process. They are registered before the process listens: an earlier signal ends the process
/// while no peer can be connected, and a later one is handled.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl StopSignals {
    /// Registers the handlers.
    ///
    /// # Errors
    /// The operating system refuses, or no tokio runtime is running.
    pub fn register() -> Result<StopSignals> {
        let register = |kind| {
            signal(kind)
                .into_diagnostic()
                .wrap_err("cannot register signal handlers")
        };
        Ok(StopSignals {
            terminate: register(SignalKind::terminate())?,
            interrupt: register(SignalKind::interrupt())?,
            hang_up: register(SignalKind::hangup())?,
        })
    }

    /// Completes with the first SIGTERM or SIGINT. SIGHUP makes many programs reload their configuration, so operators may
    /// send it. It is only logged here: its default action would end the process and drop its open requests.
    pub async fn stop(mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => {
                    warn!("SIGHUP ignored: a host reads its configuration again on `gullsail reload`");
                }
            }
        }
    }
}
