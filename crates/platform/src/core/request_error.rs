//! Reasons for which a client's message is not accepted as a request, with the HTTP status and body of the response.

/// Why a client's message is not accepted as a request. The serialized name is the key under which the metrics count
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestError {
    /// The message does not follow the syntax of HTTP/1.1, its length is ambiguous, or `Host` is missing.
    Malformed,
    /// The head of the message exceeds its bound, or it has too many header fields.
    HeadTooLong,
    /// The body of the message exceeds its bound.
    BodyTooLong,
    /// The client did not send the complete message in time, or its slot was needed for another client.
    TooSlow,
    /// The path does not name a request class, a volume and an object.
    Path,
    /// The method does not match the request class: `GET` reads, `PUT` writes.
    Method,
    /// `X-Qos` is missing or names another request class than the path.
    RequestClass,
    /// `X-Storage-Class` is missing or names no plan of the settings.
    Plan,
    /// `X-Trace-Id` is missing or malformed.
    TraceId,
    /// `X-Expires-In-Ms` is missing or out of range.
    Deadline,
    /// `X-Extent` is missing, or its units, shard or number of hosts are missing or out of range.
    UnitsShardOrHosts,
    /// `Idempotency-Key` is missing although the request class requires it, or it is empty, too long or repeated.
    IdempotencyKey,
    /// A write states neither `Content-Length` nor `Transfer-Encoding`.
    LengthRequired,
    /// A read has a body that is not empty.
    ReadWithBody,
    /// A request with the same trace id is open, or may have run within the last minute and must not run again.
    DuplicateTraceId,
    /// The bound on the memory of open requests or of incomplete messages is reached. Answered with 413, not 503: a 503
    /// would mean that the client may retry, which only the scheduler decides.
    OutOfMemory,
    /// The host is shutting down and accepts no more requests.
    ShuttingDown,
    /// The client sent the request too far ahead of the responses to earlier requests on the connection.
    TooFarAhead,
}

/// The status line of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStatus {
    /// The status code.
    pub code: u16,
    /// The reason phrase.
    pub reason: &'static str,
}

impl HttpStatus {
    const fn new(code: u16, reason: &'static str) -> HttpStatus {
        HttpStatus { code, reason }
    }

    pub(super) const OK: HttpStatus = HttpStatus::new(200, "OK");
    pub(super) const INTERNAL_ERROR: HttpStatus = HttpStatus::new(500, "Internal Server Error");
    pub(super) const UNAVAILABLE: HttpStatus = HttpStatus::new(503, "Service Unavailable");
}

impl RequestError {
    /// The status with which the message is answered.
    pub fn status(self) -> HttpStatus {
        match self {
            RequestError::Path => HttpStatus::new(404, "Not Found"),
            RequestError::Method => HttpStatus::new(405, "Method Not Allowed"),
            RequestError::TooSlow => HttpStatus::new(408, "Request Timeout"),
            RequestError::DuplicateTraceId => HttpStatus::new(409, "Conflict"),
            RequestError::LengthRequired => HttpStatus::new(411, "Length Required"),
            RequestError::BodyTooLong | RequestError::OutOfMemory => {
                HttpStatus::new(413, "Content Too Large")
            }
            RequestError::HeadTooLong => HttpStatus::new(431, "Request Header Fields Too Large"),
            RequestError::ShuttingDown | RequestError::TooFarAhead => HttpStatus::UNAVAILABLE,
            RequestError::Malformed
            | RequestError::RequestClass
            | RequestError::Plan
            | RequestError::TraceId
            | RequestError::Deadline
            | RequestError::UnitsShardOrHosts
            | RequestError::IdempotencyKey
            | RequestError::ReadWithBody => HttpStatus::new(400, "Bad Request"),
        }
    }

    /// The body of the response: what the host would have accepted. Clients receive these texts, so they stay the same
    /// when names in this program change.
    pub fn expected(self) -> &'static str {
        match self {
            RequestError::Malformed => "an HTTP/1.1 message with one sound length was meant",
            RequestError::HeadTooLong => "a head of at most 16 KiB was meant",
            RequestError::BodyTooLong => "a body of at most 64 KiB was meant",
            RequestError::TooSlow => "a whole message within two seconds was meant",
            RequestError::Path => "a path of stream type, volume and object was meant",
            RequestError::Method => "GET for a read and PUT for a write were meant",
            RequestError::RequestClass => "X-Qos with the stream type of the path was meant",
            RequestError::Plan => "X-Storage-Class with a plan of the settings was meant",
            RequestError::TraceId => "X-Trace-Id with 16 hexadecimal digits was meant",
            RequestError::Deadline => "X-Expires-In-Ms with whole milliseconds was meant",
            RequestError::UnitsShardOrHosts => {
                "X-Extent with units, shard and hosts in range was meant"
            }
            RequestError::IdempotencyKey => "an Idempotency-Key was meant",
            RequestError::LengthRequired => "a length of the body was meant",
            RequestError::ReadWithBody => "a read without a body was meant",
            RequestError::DuplicateTraceId => "an id that is not open was meant",
            RequestError::OutOfMemory => "the host holds all that it has room for",
            RequestError::ShuttingDown => "another host was meant: this one leaves",
            RequestError::TooFarAhead => "fewer requests ahead of their responses were meant",
        }
    }

    /// Whether the response states with `X-Never-Ran` that the request never ran, so that the client may send the same
    /// message again. For all other errors the client has to send a different message.
    pub(super) fn states_never_ran(self) -> bool {
        matches!(self, RequestError::ShuttingDown | RequestError::TooFarAhead)
    }
}
