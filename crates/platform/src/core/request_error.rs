//! Why a client's message is not accepted as a request, with the HTTP status and text of the response.

/// The reason; its serialized name is the key under which it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestError {
    /// No HTTP/1.1 message.
    #[serde(rename = "unreadable")]
    Malformed,
    /// The head exceeds its bound.
    HeadTooLong,
    /// The body exceeds its bound.
    BodyTooLong,
    /// The message was not complete in time.
    TooSlow,
    /// The path does not name a request class, a volume and an object.
    Path,
    /// The method does not fit the request class.
    Method,
    /// The header of the request class is missing or differs from the path.
    #[serde(rename = "stream_type")]
    RequestClass,
    /// The plan is missing or unknown.
    Plan,
    /// The trace id is missing or malformed.
    #[serde(rename = "trace")]
    TraceId,
    /// The deadline is missing or out of range.
    #[serde(rename = "expiry")]
    Deadline,
    /// Units, shard or host count are missing or out of range.
    Extent,
    /// The idempotency key is missing or malformed.
    #[serde(rename = "key")]
    IdempotencyKey,
    /// A write without a length.
    #[serde(rename = "length")]
    LengthRequired,
    /// A read with a body.
    ReadWithBody,
    /// A request with the same trace id is open.
    #[serde(rename = "id_is_open")]
    DuplicateTraceId,
    /// The memory bound for requests is reached.
    #[serde(rename = "no_room")]
    OutOfMemory,
    /// The host is leaving.
    ShuttingDown,
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
    pub(super) const OK: HttpStatus = HttpStatus {
        code: 200,
        reason: "OK",
    };
    pub(super) const INTERNAL_ERROR: HttpStatus = HttpStatus {
        code: 500,
        reason: "Internal Server Error",
    };
    pub(super) const UNAVAILABLE: HttpStatus = HttpStatus {
        code: 503,
        reason: "Service Unavailable",
    };
}

impl RequestError {
    /// The status of the response.
    pub fn status(self) -> HttpStatus {
        let (code, reason) = match self {
            RequestError::Path => (404, "Not Found"),
            RequestError::Method => (405, "Method Not Allowed"),
            RequestError::TooSlow => (408, "Request Timeout"),
            RequestError::DuplicateTraceId => (409, "Conflict"),
            RequestError::LengthRequired => (411, "Length Required"),
            RequestError::BodyTooLong | RequestError::OutOfMemory => (413, "Content Too Large"),
            RequestError::ShuttingDown => return HttpStatus::UNAVAILABLE,
            RequestError::HeadTooLong => (431, "Request Header Fields Too Large"),
            _ => (400, "Bad Request"),
        };
        HttpStatus { code, reason }
    }

    /// The body of the response: what would have been accepted.
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
            RequestError::Extent => "X-Extent with units, shard and hosts in range was meant",
            RequestError::IdempotencyKey => "an Idempotency-Key was meant",
            RequestError::LengthRequired => "a length of the body was meant",
            RequestError::ReadWithBody => "a read without a body was meant",
            RequestError::DuplicateTraceId => "an id that is not open was meant",
            RequestError::OutOfMemory => "the host holds all that it has room for",
            RequestError::ShuttingDown => "another host was meant: this one leaves",
        }
    }
}
