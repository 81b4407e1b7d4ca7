//! Decodes messages from the bytes received on a connection.

use crate::body::Body;
use crate::framing::{Framing, framing};
use crate::message::{Field, Found, Message, StartLine, find};
use crate::{Bounds, Fault};
use bytes::{Buf, Bytes, BytesMut};

/// Most header fields of a head. `httparse` stores them in an array of this size on the stack.
const MAX_HEADERS: usize = 64;
/// While at most this many bytes are buffered, each call of [`Decoder::feed`] leads to an attempt to parse the head, so
/// that input that is not HTTP is reported at once. Beyond this, the head is parsed only after a line end. Otherwise a
/// peer that sends a long head byte by byte would cause a parse of the whole head for each byte.
const EAGER_PARSE_BYTES: usize = 256;
/// Most 1xx responses before the final response. Without a bound a server could keep a request waiting without end.
const MAX_INTERIM_RESPONSES: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

/// A message whose head is decoded and whose body is being decoded.
#[derive(Debug)]
struct PartialMessage {
    /// The message with an empty body.
    message: Message,
    body: Body,
}

/// A head that `httparse` has parsed.
struct ParsedHead {
    /// The number of bytes of the head, with the empty line at its end.
    length: usize,
    start: StartLine,
    /// The minor version of HTTP: 1 for HTTP/1.1.
    version: u8,
    fields: Vec<Field>,
}

/// Decodes either the requests or the responses that are received on one connection. After a [`Fault`] it must not be
/// used any more.
#[derive(Debug)]
pub struct Decoder {
    direction: Direction,
    bounds: Bounds,
    /// Received bytes that are not decoded yet.
    unread: BytesMut,
    /// The message whose body is being decoded, if any.
    partial: Option<PartialMessage>,
    /// The head is incomplete, so it need not be parsed again yet. See [`EAGER_PARSE_BYTES`].
    head_incomplete: bool,
    /// The number of 1xx responses since the last final response.
    interim_responses: u32,
}

impl Decoder {
    /// Creates a decoder for requests, which a server receives.
    pub fn requests(bounds: Bounds) -> Decoder {
        Decoder::new(Direction::Requests, bounds)
    }

    /// Creates a decoder for responses, which a client receives.
    pub fn responses(bounds: Bounds) -> Decoder {
        Decoder::new(Direction::Responses, bounds)
    }

    fn new(direction: Direction, bounds: Bounds) -> Decoder {
        Decoder {
            direction,
            bounds,
            unread: BytesMut::new(),
            partial: None,
            head_incomplete: true,
            interim_responses: 0,
        }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        // Input that is not HTTP may contain no line end. Parsing its first bytes at once reports the fault without
        // waiting for a timeout.
        self.head_incomplete &= !bytes.contains(&b'\n') && self.unread.len() > EAGER_PARSE_BYTES;
        self.unread.extend_from_slice(bytes);
    }

    /// The number of buffered bytes: those not decoded yet, and the decoded part of an incomplete body.
    pub fn buffered_bytes(&self) -> usize {
        self.unread.len()
            + self
                .partial
                .as_ref()
                .map_or(0, |partial| partial.body.received_bytes())
    }

    /// Whether nothing is buffered, that is, no message has been received in part.
    pub fn is_empty(&self) -> bool {
        self.unread.is_empty() && self.partial.is_none()
    }

    /// Whether the head of a message was decoded and its body is incomplete.
    pub fn in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Takes the next complete message. Returns `None` while it is incomplete. Skips 1xx responses.
    ///
    /// # Errors
    /// The input is not a valid message, or it exceeds the bounds. The connection cannot be used any more.
    pub fn take(&mut self) -> Result<Option<Message>, Fault> {
        loop {
            if self.partial.is_none() && !self.decode_head()? {
                return Ok(None);
            }
            let Some(partial) = &mut self.partial else {
                return Ok(None);
            };
            if !partial.body.consume(&mut self.unread, self.bounds.body)? {
                return Ok(None);
            }
            let Some(PartialMessage { mut message, body }) = self.partial.take() else {
                return Ok(None);
            };
            message.body = body.into_bytes();
            self.head_incomplete = !self.unread.contains(&b'\n');
            if self.unread.is_empty() {
                // Frees the buffer, so that an idle connection holds no memory.
                self.unread = BytesMut::new();
            }
            if let StartLine::Response { status: 100..=199 } = message.start {
                self.interim_responses += 1;
                if self.interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(Fault::TooManyInterimResponses);
                }
                continue;
            }
            self.interim_responses = 0;
            return Ok(Some(message));
        }
    }

    /// Decodes the head of the next message. Returns whether it is complete.
    fn decode_head(&mut self) -> Result<bool, Fault> {
        if self.head_incomplete {
            return self.check_head_length();
        }
        self.head_incomplete = true;
        let parsed = match self.direction {
            Direction::Requests => parse_request(&self.unread)?,
            Direction::Responses => parse_response(&self.unread)?,
        };
        let Some(head) = parsed else {
            return self.check_head_length();
        };
        if head.length > self.bounds.head {
            return Err(Fault::HeadTooLong);
        }
        if head.version != 1 {
            return Err(Fault::Version);
        }
        let framing = framing(&head.fields, &head.start)?;
        let body = Body::new(framing.unwrap_or(Framing::Length(0)), self.bounds.body)?;
        let keep_alive = match find(&head.fields, "connection") {
            Found::None => true,
            Found::One(options) => !lists_option(options, b"close"),
            Found::Multiple => false,
        };
        self.unread.advance(head.length);
        let message = Message {
            start: head.start,
            fields: head.fields,
            body: Bytes::new(),
            framed: framing.is_some(),
            keep_alive,
        };
        self.partial = Some(PartialMessage { message, body });
        Ok(true)
    }

    /// Checks that the incomplete head is still within its bound.
    fn check_head_length(&self) -> Result<bool, Fault> {
        if self.unread.len() > self.bounds.head {
            Err(Fault::HeadTooLong)
        } else {
            Ok(false)
        }
    }
}

fn parse_request(bytes: &[u8]) -> Result<Option<ParsedHead>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Some(length) = parsed_length(request.parse(bytes))? else {
        return Ok(None);
    };
    let (Some(method), Some(target), Some(version)) =
        (request.method, request.path, request.version)
    else {
        return Err(Fault::Malformed);
    };
    let start = StartLine::Request {
        method: Bytes::copy_from_slice(method.as_bytes()),
        target: Bytes::copy_from_slice(target.as_bytes()),
    };
    Ok(Some(ParsedHead {
        length,
        start,
        version,
        fields: copy_fields(request.headers),
    }))
}

fn parse_response(bytes: &[u8]) -> Result<Option<ParsedHead>, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Some(length) = parsed_length(response.parse(bytes))? else {
        return Ok(None);
    };
    let (Some(status), Some(version)) = (response.code, response.version) else {
        return Err(Fault::Malformed);
    };
    let fields = copy_fields(response.headers);
    Ok(Some(ParsedHead {
        length,
        start: StartLine::Response { status },
        version,
        fields,
    }))
}

fn copy_fields(headers: &[httparse::Header]) -> Vec<Field> {
    let copy = |header: &httparse::Header| Field {
        name: Bytes::copy_from_slice(header.name.as_bytes()),
        value: Bytes::copy_from_slice(header.value),
    };
    headers.iter().map(copy).collect()
}

/// The length of a complete head. `None` if the head is incomplete.
fn parsed_length(parsed: httparse::Result<usize>) -> Result<Option<usize>, Fault> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::TooManyHeaders),
        Err(httparse::Error::Version) => Err(Fault::Version),
        Err(_) => Err(Fault::Malformed),
    }
}

/// Whether a comma-separated list, such as the value of `Connection`, contains this option in any case.
fn lists_option(list: &[u8], option: &[u8]) -> bool {
    list.split(|byte| *byte == b',')
        .any(|item| item.trim_ascii().eq_ignore_ascii_case(option))
}
