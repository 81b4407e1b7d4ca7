//! Reasons for which a message cannot be decoded.

/// Why a message cannot be decoded. Where the next message begins is unknown then, so the connection cannot be used any
/// more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The head does not follow the syntax of HTTP/1.1.
    #[error("malformed head")]
    Malformed,
    /// The head exceeds [`crate::Bounds::head`].
    #[error("head too long")]
    HeadTooLong,
    /// The head has more header fields than the decoder accepts.
    #[error("too many header fields")]
    TooManyHeaders,
    /// The message has another version than HTTP/1.1.
    #[error("unsupported HTTP version, expected HTTP/1.1")]
    Version,
    /// More than one header field determines the length of the body.
    #[error("conflicting Content-Length and Transfer-Encoding")]
    ConflictingFraming,
    /// `Content-Length` contains other characters than decimal digits, or none.
    #[error("invalid Content-Length, expected decimal digits")]
    InvalidLength,
    /// `Transfer-Encoding` is not `chunked` alone.
    #[error("unsupported Transfer-Encoding, expected chunked alone")]
    TransferCoding,
    /// The body exceeds [`crate::Bounds::body`].
    #[error("body too long")]
    BodyTooLong,
    /// A chunk or a trailer field is malformed, or there are too many trailer fields.
    #[error("malformed chunk or trailer")]
    Chunk,
    /// The response states no length, so that a truncated response could not be distinguished from a complete one.
    #[error("response without Content-Length or Transfer-Encoding")]
    MissingLength,
    /// The server sent too many 1xx responses before the final one.
    #[error("too many interim responses")]
    TooManyInterimResponses,
}
