//! Logs on standard error, written by a thread of their own from a bounded queue. A reader that stops, a full
//! disk or a closed pipe costs log lines, which are counted, and never delays requests.

use std::io::Write;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tracing::warn;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Most lines in the queue: some megabytes of memory. With fewer, bursts of lines are lost.
const MAX_QUEUED_LINES: usize = 8192;
/// How often lost lines are looked for: a warning every few seconds at most.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Keeps the log writer running; queued lines are written when this is dropped.
pub struct Logs {
    lost: ErrorCounter,
    /// Writes the queued lines when the program ends, for a second at most.
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
    /// How many lines were lost so far.
    pub fn lost(&self) -> usize {
        self.lost.dropped_lines()
    }

    /// Warns of lost lines once the queue has room again. Never returns.
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
                // If that line was lost too, the warning is repeated.
                if self.lost() == lost {
                    reported = lost;
                }
            }
        }
    }
}

/// Prints a message for people on standard error.
pub fn say(text: &str) {
    // If standard error cannot be written, there is nowhere left to report that.
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Ignores SIGXFSZ, which ends a process that writes to a file at its size limit. The write then fails, which
/// costs a log line.
pub fn survive_file_size_limit() {
    if let Ok(mut full) = signal(SignalKind::from_raw(
        nix::sys::signal::Signal::SIGXFSZ as i32,
    )) {
        tokio::spawn(async move { while full.recv().await.is_some() {} });
    }
}
