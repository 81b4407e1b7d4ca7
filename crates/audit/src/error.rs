//! The error for a recording that cannot be read.

/// A line of a recording is not a valid entry, or its configuration cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the recording is not a valid entry: {why}")]
pub struct RecordingError {
    /// The number of the line, counted from 1.
    pub line: usize,
    /// The parser's message.
    pub why: String,
}
