//! Decodes messages from the bytes of one direction of a connection.

use crate::body::Body;
use crate::framing::{Framing, framing};
use crate::message::{Field, Found, Message, Start, find};
use crate::{Bounds, Fault};
use bytes::{Buf, Bytes, BytesMut};

/// Most header fields of a head. Bounds the array on the stack that `httparse` fills.
const MAX_HEADERS: usize = 64;
/// Up to this many bytes a head is parsed whenever bytes arrive, so that input that is no HTTP is reported at
/// once. Beyond it a head is parsed only when a line has ended: a peer that sends a long head byte by byte
/// would cost a parse of all of it for each byte.
const EAGER_PARSE_BYTES: usize = 256;
/// Most 1xx responses before the final one. Without a bound a server could keep a request waiting with them
/// for ever.
const MAX_INTERIM_RESPONSES: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

/// A message whose head is decoded, with the part of the body that was received.
#[derive(Debug)]
struct PartialMessage {
    message: Message,
    body: Body,
}

/// A head as `httparse` parses it.
struct ParsedHead {
    length: usize,
    start: Start,
    /// The minor version: HTTP/1.x.
    version: u8,
    fields: Vec<Field>,
}

/// Decodes what is received on one connection, in one direction. After a [`Fault`] it is of no further use.
#[derive(Debug)]
pub struct Decoder {
    direction: Direction,
    bounds: Bounds,
    unread: BytesMut,
    partial: Option<PartialMessage>,
    /// No line has ended since the head was last parsed, so it is still incomplete.
    head_incomplete: bool,
    interim_responses: u32,
}

impl Decoder {
    /// Decodes requests, which clients send.
    pub fn requests(bounds: Bounds) -> Decoder {
        Decoder::new(Direction::Requests, bounds)
    }

    /// Decodes responses, which servers send.
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
        // Input that is no HTTP is recognised by its first bytes. Waiting for the end of its first line could
        // last until a timeout.
        self.head_incomplete &= !bytes.contains(&b'\n') && self.unread.len() > EAGER_PARSE_BYTES;
        self.unread.extend_from_slice(bytes);
    }

    /// How many bytes are buffered: unread ones and those of an incomplete body.
    pub fn buffered_bytes(&self) -> usize {
        self.unread.len()
            + self
                .partial
                .as_ref()
                .map_or(0, |partial| partial.body.received_bytes())
    }

    /// Whether nothing is buffered: the connection is between two messages.
    pub fn is_empty(&self) -> bool {
        self.unread.is_empty() && self.partial.is_none()
    }

    /// Whether a head was decoded whose body is incomplete.
    pub fn in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Takes the next complete message, if there is one.
    ///
    /// # Errors
    /// The input is no message within the bounds. The connection is of no further use.
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
                // A connection between two messages keeps no memory.
                self.unread = BytesMut::new();
            }
            if let Start::Response { status: 100..=199 } = message.start {
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
    let start = Start::Request {
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
        start: Start::Response { status },
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

/// The length of a complete head, `None` for an incomplete one.
fn parsed_length(parsed: httparse::Result<usize>) -> Result<Option<usize>, Fault> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::TooManyHeaders),
        Err(httparse::Error::Version) => Err(Fault::Version),
        Err(_) => Err(Fault::Malformed),
    }
}

/// Whether a comma-separated list, the form of `Connection`, contains this option.
fn lists_option(list: &[u8], option: &[u8]) -> bool {
    list.split(|byte| *byte == b',')
        .any(|item| item.trim_ascii().eq_ignore_ascii_case(option))
}
