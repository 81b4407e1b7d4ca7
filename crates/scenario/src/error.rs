//! The errors that keep a scenario from being played. Broken rules are part of the report instead.

/// The reason why a scenario could not be played.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RunError {
    /// A process could not be started, signalled or stopped.
    #[error("process {name}: {cause}")]
    Process {
        /// The name of the process.
        name: String,
        /// The cause of the failure.
        cause: String,
    },
    /// A file or a socket failed.
    #[error("{resource}: {error}")]
    Io {
        /// The path of the file, or a description of the resource.
        resource: String,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The recording cannot be read.
    #[error(transparent)]
    Recording(#[from] gullsail_audit::RecordingError),
}

/// Returns a function that wraps an I/O error with a description of the file or resource.
pub(crate) fn io(resource: impl Into<String>) -> impl FnOnce(std::io::Error) -> RunError {
    |error| RunError::Io {
        resource: resource.into(),
        error,
    }
}
