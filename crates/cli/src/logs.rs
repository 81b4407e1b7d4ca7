//! Logs on standard error, written by a separate thread from a bounded queue. When the reader stops, the disk is full
//! or the pipe is closed, log lines are lost and counted. Logging never delays requests.

use std::io::Write;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tracing::warn;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of queued lines, which take a few megabytes of memory. A smaller queue loses lines in bursts.
const MAX_QUEUED_LINES: usize = 8192;
/// Interval of the checks for lost lines, and the shortest time between two warnings of them.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the log writer running. Dropping it writes the queued lines.
pub struct Logs {
    lost: ErrorCounter,
    /// On drop, writes the queued lines for at most one second.
    _guard: WorkerGuard,
}

/// Starts logging on standard error.
pub fn start(level: &str, json: bool) -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stderr());
    let lost = writer.error_counter();
    let logs = tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::new(level))
        .log_internal_errors(false)
        .with_writer(writer);
    if json {
        logs.json().flatten_event(true).init();
    } else {
        logs.with_ansi(false).init();
    }
    Logs {
        lost,
        _guard: guard,
    }
}

impl Logs {
    /// Number of log lines lost since the start.
    pub fn lost(&self) -> usize {
        self.lost.dropped_lines()
    }

    /// Checks for lost lines at an interval and logs a warning for new ones. Never returns.
    pub async fn watch(&self) {
        let mut reported = 0;
        loop {
            tokio::time::sleep(LOSS_CHECK_INTERVAL).await;
            let lost = self.lost();
            if lost > reported {
                warn!(
                    log_lines_lost = lost,
                    "log lines lost: the reader of standard error is too slow"
                );
                // If the warning itself was lost, it is repeated after the next check.
                if self.lost() == lost {
                    reported = lost;
                }
            }
        }
    }
}

/// Prints a human-readable message on standard error, outside the log.
pub fn print_message(text: &str) {
    // A failed write to standard error cannot be reported anywhere.
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Installs a handler for SIGXFSZ, whose default action ends a process that writes to a file at its size limit. With
/// the handler, the write fails and only the log line is lost.
pub fn handle_file_size_signal() {
    if let Ok(mut size_signal) = signal(SignalKind::from_raw(
        nix::sys::signal::Signal::SIGXFSZ as i32,
    )) {
        tokio::spawn(async move { while size_signal.recv().await.is_some() {} });
    }
}
