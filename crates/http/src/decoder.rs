//! Reads messages from the bytes of one direction of a connection.

use crate::body::Body;
use crate::framing::{Framing, framing};
use crate::message::{Field, Found, Message, Start, find};
use crate::{Bounds, Fault};
use bytes::{Buf, Bytes, BytesMut};

/// The most lines of a head.
const MAX_HEAD_LINES: usize = 64;
/// Up to this length a head is parsed whenever bytes arrive, beyond it only when a line has ended.
const EAGER_PARSE_BYTES: usize = 256;
/// The most 1xx responses before the final one.
const MAX_INTERIM: u32 = 8;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

/// A message whose head is read, with the body as far as it came.
#[derive(Debug)]
struct PartialMessage {
    message: Message,
    body: Body,
}

/// A head as `httparse` reads it.
struct ParsedHead {
    length: usize,
    start: Start,
    /// The minor version: HTTP/1.x.
    version: u8,
    fields: Vec<Field>,
}

/// Reads what comes on one connection, in one direction.
#[derive(Debug)]
pub struct Decoder {
    direction: Direction,
    bounds: Bounds,
    unread: BytesMut,
    partial: Option<PartialMessage>,
    /// No line has ended since the last attempt to parse, so there is no whole head.
    no_head: bool,
    interim_responses: u32,
}

impl Decoder {
    /// For messages that clients send.
    pub fn requests(bounds: Bounds) -> Decoder {
        Decoder::new(Direction::Requests, bounds)
    }

    /// For what servers send back.
    pub fn answers(bounds: Bounds) -> Decoder {
        Decoder::new(Direction::Responses, bounds)
    }

    fn new(direction: Direction, bounds: Bounds) -> Decoder {
        Decoder {
            direction,
            bounds,
            unread: BytesMut::new(),
            partial: None,
            no_head: true,
            interim_responses: 0,
        }
    }

    /// Adds bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        // Noise shows in its first bytes: nobody should wait for a line's end that never comes.
        self.no_head &= !bytes.contains(&b'\n') && self.unread.len() > EAGER_PARSE_BYTES;
        self.unread.extend_from_slice(bytes);
    }

    /// Bytes that are held: unread ones, and those of a body that is not whole.
    pub fn holds(&self) -> usize {
        self.unread.len()
            + self
                .partial
                .as_ref()
                .map_or(0, |partial| partial.body.read())
    }

    /// Nothing is held: between two messages.
    pub fn is_empty(&self) -> bool {
        self.unread.is_empty() && self.partial.is_none()
    }

    /// Is a head there whose body is still coming?
    pub fn in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// The next whole message, if it is there.
    ///
    /// # Errors
    /// What comes is no message within the bounds. The connection is of no further use.
    pub fn take(&mut self) -> Result<Option<Message>, Fault> {
        loop {
            if self.partial.is_none() && !self.read_head()? {
                return Ok(None);
            }
            let Some(partial) = &mut self.partial else {
                return Ok(None);
            };
            if !partial.body.take(&mut self.unread, self.bounds.body)? {
                return Ok(None);
            }
            let Some(PartialMessage { mut message, body }) = self.partial.take() else {
                return Ok(None);
            };
            message.body = body.whole();
            self.no_head = !self.unread.contains(&b'\n');
            if self.unread.is_empty() {
                // Between messages a connection holds no memory.
                self.unread = BytesMut::new();
            }
            if let Start::Answer { status: 100..=199 } = message.start {
                self.interim_responses += 1;
                if self.interim_responses > MAX_INTERIM {
                    return Err(Fault::Interim);
                }
                continue;
            }
            self.interim_responses = 0;
            return Ok(Some(message));
        }
    }

    /// `false`: the head is not whole.
    fn read_head(&mut self) -> Result<bool, Fault> {
        if self.no_head {
            return self.incomplete_head();
        }
        self.no_head = true;
        let parsed = match self.direction {
            Direction::Requests => parse_request(&self.unread)?,
            Direction::Responses => parse_response(&self.unread)?,
        };
        let Some(head) = parsed else {
            return self.incomplete_head();
        };
        if head.length > self.bounds.head {
            return Err(Fault::HeadTooLong);
        }
        if head.version != 1 {
            return Err(Fault::Version);
        }
        let framing = framing(&head.fields, &head.start)?;
        let body = Body::new(framing.unwrap_or(Framing::Length(0)), self.bounds.body)?;
        let stays = match find(&head.fields, "connection") {
            Found::None => true,
            Found::One(options) => !lists_option(options, b"close"),
            Found::Several => false,
        };
        self.unread.advance(head.length);
        let message = Message {
            start: head.start,
            fields: head.fields,
            body: Bytes::new(),
            framed: framing.is_some(),
            stays,
        };
        self.partial = Some(PartialMessage { message, body });
        Ok(true)
    }

    fn incomplete_head(&self) -> Result<bool, Fault> {
        if self.unread.len() > self.bounds.head {
            Err(Fault::HeadTooLong)
        } else {
            Ok(false)
        }
    }
}

fn parse_request(bytes: &[u8]) -> Result<Option<ParsedHead>, Fault> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEAD_LINES];
    let mut request = httparse::Request::new(&mut lines);
    let Some(length) = parsed_length(request.parse(bytes))? else {
        return Ok(None);
    };
    let (Some(method), Some(target), Some(version)) =
        (request.method, request.path, request.version)
    else {
        return Err(Fault::Unreadable);
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
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEAD_LINES];
    let mut response = httparse::Response::new(&mut lines);
    let Some(length) = parsed_length(response.parse(bytes))? else {
        return Ok(None);
    };
    let (Some(status), Some(version)) = (response.code, response.version) else {
        return Err(Fault::Unreadable);
    };
    let fields = copy_fields(response.headers);
    Ok(Some(ParsedHead {
        length,
        start: Start::Answer { status },
        version,
        fields,
    }))
}

fn copy_fields(lines: &[httparse::Header]) -> Vec<Field> {
    let copy = |line: &httparse::Header| Field {
        name: Bytes::copy_from_slice(line.name.as_bytes()),
        value: Bytes::copy_from_slice(line.value),
    };
    lines.iter().map(copy).collect()
}

/// The length of a whole head.
fn parsed_length(parsed: httparse::Result<usize>) -> Result<Option<usize>, Fault> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::TooManyLines),
        Err(httparse::Error::Version) => Err(Fault::Version),
        Err(_) => Err(Fault::Unreadable),
    }
}

/// Does a comma-separated list, as `Connection` holds it, contain this option?
fn lists_option(list: &[u8], option: &[u8]) -> bool {
    list.split(|b| *b == b',')
        .any(|item| item.trim_ascii().eq_ignore_ascii_case(option))
}
