//! Why a scenario could not be played. Broken rules are no error but part of the report.

/// Why a scenario could not be played.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RunError {
    /// A process could not be started, signalled or stopped.
    #[error("process {name}: {why}")]
    Process {
        /// The process.
        name: String,
        /// What went wrong.
        why: String,
    },
    /// A file or a socket failed.
    #[error("{what}: {error}")]
    Io {
        /// The file or socket.
        what: String,
        /// What the system reported.
        error: std::io::Error,
    },
    /// The recording cannot be read back.
    #[error(transparent)]
    Recording(#[from] gullsail_audit::RecordingError),
}

pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> RunError {
    |error| RunError::Io {
        what: what.into(),
        error,
    }
}
