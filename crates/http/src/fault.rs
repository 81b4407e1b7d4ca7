//! What can be wrong with a message.

/// Why a message cannot be read. Nothing behind it on the connection can be read either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The head is no HTTP.
    #[error("the head cannot be read")]
    Unreadable,
    /// The head exceeds its bound.
    #[error("the head is too long")]
    HeadTooLong,
    /// The head exceeds the bound on lines.
    #[error("the head has too many lines")]
    TooManyLines,
    /// Another version of HTTP.
    #[error("a version other than HTTP/1.1")]
    Version,
    /// More than one header frames the body.
    #[error("lengths that contradict each other")]
    ConflictingFraming,
    /// The length is not a plain decimal number.
    #[error("a length that is no number")]
    BadLength,
    /// The transfer coding is not supported.
    #[error("a transfer coding other than one final chunked")]
    Coding,
    /// The body exceeds its bound.
    #[error("the body is too long")]
    BodyTooLong,
    /// A chunk or a trailer is malformed.
    #[error("a chunk that cannot be read")]
    Chunk,
    /// Without a length a truncated response would look complete.
    #[error("an answer without a length: a cut one would look the same")]
    NoLength,
    /// Too many 1xx responses before the final one.
    #[error("too many interim answers")]
    Interim,
}
