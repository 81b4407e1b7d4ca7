//! What keeps a scenario from being played; rules that were broken are no error but part of the report.

/// What kept a scenario from being played.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RunError {
    #[error("process {name}: {why}")]
    Process { name: String, why: String },
    #[error("{what}: {error}")]
    Io { what: String, error: std::io::Error },
    #[error(transparent)]
    Recording(#[from] gullsail_audit::RecordingError),
}

pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> RunError {
    |error| RunError::Io {
        what: what.into(),
        error,
    }
}
