//! Why a message cannot be decoded.

/// Why a message cannot be decoded. The decoder cannot tell where the next message on the connection begins,
/// so the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The head does not follow the syntax of HTTP/1.1.
    #[error("malformed head")]
    Malformed,
    /// The head exceeds [`crate::Bounds::head`].
    #[error("head too long")]
    HeadTooLong,
    /// The head has more header fields than the decoder reads.
    #[error("too many header fields")]
    TooManyHeaders,
    /// Another version than HTTP/1.1.
    #[error("unsupported HTTP version, expected HTTP/1.1")]
    Version,
    /// More than one header field states how long the body is.
    #[error("conflicting Content-Length and Transfer-Encoding")]
    ConflictingFraming,
    /// The length is not a plain decimal number.
    #[error("invalid Content-Length, expected decimal digits")]
    InvalidLength,
    /// The transfer coding is not supported.
    #[error("unsupported Transfer-Encoding, expected chunked alone")]
    TransferCoding,
    /// The body exceeds [`crate::Bounds::body`].
    #[error("body too long")]
    BodyTooLong,
    /// A chunk or a trailer is malformed.
    #[error("malformed chunk or trailer")]
    Chunk,
    /// The response states no length. A truncated response could not be told from a complete one.
    #[error("response without Content-Length or Transfer-Encoding")]
    MissingLength,
    /// Too many 1xx responses before the final one.
    #[error("too many interim responses")]
    TooManyInterimResponses,
}
