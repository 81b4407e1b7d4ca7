//! Logs on standard error, written by a thread of their own from a queue with a bound: a reader that stops, a
//! full disk or a closed pipe costs lines, which are counted, and never holds up what is served.

use std::io::Write;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tracing::warn;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait for their reader: some megabytes.
const LINES: usize = 8192;
/// How often lost lines are looked for.
const LOOK: Duration = Duration::from_secs(5);

/// Keeps the writer of the logs running; what it still holds is written when this is dropped.
pub struct Logs {
    lost: ErrorCounter,
    /// Writes what waits when the program ends, for a second at most.
    _guard: WorkerGuard,
}

/// Begins logging on standard error.
pub fn start(level: &str, json: bool) -> Logs {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES)
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
    /// Lines that nobody will read.
    pub fn lost(&self) -> usize {
        self.lost.dropped_lines()
    }

    /// Says so, once there is room for a line again. Never ends.
    pub async fn watch(&self) {
        let mut reply = 0;
        loop {
            tokio::time::sleep(LOOK).await;
            let lost = self.lost();
            if lost > reply {
                warn!(
                    log_lines_lost = lost,
                    "the log's reader does not keep up: lines are lost"
                );
                // If that line was lost too, it is said again.
                reply = if self.lost() == lost { lost } else { reply };
            }
        }
    }
}

/// For people, on standard error; if that can't be written there is nobody to tell.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// A file that may not grow any more ends a process by a signal, unless somebody takes it; then writing
/// fails, and that costs a line.
pub fn outlive_full_files() {
    if let Ok(mut full) = signal(SignalKind::from_raw(
        nix::sys::signal::Signal::SIGXFSZ as i32,
    )) {
        tokio::spawn(async move { while full.recv().await.is_some() {} });
    }
}
