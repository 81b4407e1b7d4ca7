//! Why a recording cannot be read.

/// A line of a recording is no entry.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the recording is not a valid entry: {why}")]
pub struct RecordingError {
    /// Counted from 1.
    pub line: usize,
    /// What the parser says of it.
    pub why: String,
}
