//! HTTP/1.1 messages without I/O. [`Decoder`] takes bytes as they come and hands out whole messages or names what is
//! wrong with them; [`Encoder`] writes heads. Heads are read by the library `httparse`; framing and bounds are kept
//! here, strictly: whoever passes messages on must not read a length otherwise than its neighbours do. Words are
//! HTTP's own. Read [`Decoder`] first, then `body`.

mod body;
mod encode;

use body::{Body, Framing};
use bytes::{Buf, Bytes, BytesMut};
pub use encode::Encoder;

/// How large a message may be, in bytes and lines.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub head: usize,
    pub body: usize,
}

/// The most lines of a head.
const LINES: usize = 64;
/// The beginning of a head is looked at as it comes, the rest when a line has ended.
const FIRST: usize = 256;
/// The most 1xx answers before the one that counts.
const INTERIM: u32 = 8;

/// What is wrong with a message. Nothing behind it on the connection can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("the head cannot be read")]
    Unreadable,
    #[error("the head is too long")]
    HeadTooLong,
    #[error("the head has too many lines")]
    TooManyLines,
    #[error("a version other than HTTP/1.1")]
    Version,
    #[error("lengths that contradict each other")]
    SizeMetrics,
    #[error("a length that is no number")]
    BadLength,
    #[error("a transfer coding other than one final chunked")]
    Coding,
    #[error("the body is too long")]
    BodyTooLong,
    #[error("a chunk that cannot be read")]
    Chunk,
    #[error("an answer without a length: a cut one would look the same")]
    NoLength,
    #[error("too many interim answers")]
    Interim,
}

/// The first line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    Request { method: Bytes, target: Bytes },
    Answer { status: u16 },
}

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub start: Start,
    fields: Vec<(Bytes, Bytes)>,
    pub body: Bytes,
    /// Some framing was stated, if only of nothing.
    pub framed: bool,
    /// The connection carries further messages.
    pub stays: bool,
}

/// How often a field stands in a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    None,
    One(&'a [u8]),
    Several,
}

impl Message {
    /// By name, whatever its case.
    pub fn field(&self, name: &str) -> Found<'_> {
        find(&self.fields, name)
    }
}

fn find<'a>(fields: &'a [(Bytes, Bytes)], name: &str) -> Found<'a> {
    let mut all = fields.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
    match (all.next(), all.next()) {
        (None, _) => Found::None,
        (Some((_, value)), None) => Found::One(value),
        _ => Found::Several,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Side {
    Requests,
    Answers,
}

/// What comes on one connection, in one direction.
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    bounds: Bounds,
    held: BytesMut,
    /// The head whose body is still coming.
    open: Option<(Message, Body)>,
    /// Nothing new since the last look ended a line, so there is no whole head.
    no_head: bool,
    interim: u32,
}

impl Decoder {
    /// For messages that clients send.
    pub fn requests(bounds: Bounds) -> Decoder {
        Decoder::new(Side::Requests, bounds)
    }
    /// For what comes back.
    pub fn answers(bounds: Bounds) -> Decoder {
        Decoder::new(Side::Answers, bounds)
    }
    fn new(side: Side, bounds: Bounds) -> Decoder {
        Decoder { side, bounds, held: BytesMut::new(), open: None, no_head: true, interim: 0 }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        // Noise shows in its first bytes: nobody should wait for a line's end that never comes.
        self.no_head &= !bytes.contains(&b'\n') && self.held.len() > FIRST;
        self.held.extend_from_slice(bytes);
    }

    /// Bytes that are held: unread ones, and those of a body that is not whole.
    pub fn holds(&self) -> usize {
        self.held.len() + self.open.as_ref().map_or(0, |(_, body)| body.read())
    }

    /// Nothing is held: between two messages.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.open.is_none()
    }

    /// Is a head there whose body is still coming?
    pub fn in_body(&self) -> bool {
        self.open.is_some()
    }

    /// The next whole message, if it is there.
    ///
    /// # Errors
    /// What comes is no message within the bounds. The connection is of no further use.
    pub fn take(&mut self) -> Result<Option<Message>, Fault> {
        loop {
            if self.open.is_none() && !self.read_head()? {
                return Ok(None);
            }
            let Some((_, body)) = &mut self.open else { return Ok(None) };
            if !body.take(&mut self.held, self.bounds.body)? {
                return Ok(None);
            }
            let Some((mut message, body)) = self.open.take() else { return Ok(None) };
            message.body = body.whole();
            self.no_head = !self.held.contains(&b'\n');
            if self.held.is_empty() {
                // Between messages a connection holds no memory.
                self.held = BytesMut::new();
            }
            if let Start::Answer { status: 100..=199 } = message.start {
                self.interim += 1;
                if self.interim > INTERIM {
                    return Err(Fault::Interim);
                }
                continue;
            }
            self.interim = 0;
            return Ok(Some(message));
        }
    }

    fn read_head(&mut self) -> Result<bool, Fault> {
        if self.no_head {
            return if self.held.len() > self.bounds.head { Err(Fault::HeadTooLong) } else { Ok(false) };
        }
        self.no_head = true;
        let mut lines = [httparse::EMPTY_HEADER; LINES];
        let (length, start, version, lines) = match self.side {
            Side::Requests => {
                let mut r = httparse::Request::new(&mut lines);
                let Some(length) = status(r.parse(&self.held))? else { return self.too_long() };
                let (Some(method), Some(target), Some(version)) = (r.method, r.path, r.version) else {
                    return Err(Fault::Unreadable);
                };
                let copy = |s: &str| Bytes::copy_from_slice(s.as_bytes());
                (length, Start::Request { method: copy(method), target: copy(target) }, version, r.headers)
            }
            Side::Answers => {
                let mut r = httparse::Response::new(&mut lines);
                let Some(length) = status(r.parse(&self.held))? else { return self.too_long() };
                let (Some(status), Some(version)) = (r.code, r.version) else {
                    return Err(Fault::Unreadable);
                };
                (length, Start::Answer { status }, version, r.headers)
            }
        };
        if length > self.bounds.head {
            return Err(Fault::HeadTooLong);
        }
        if version != 1 {
            return Err(Fault::Version);
        }
        let copy = |l: &httparse::Header| {
            (Bytes::copy_from_slice(l.name.as_bytes()), Bytes::copy_from_slice(l.value))
        };
        let fields: Vec<_> = lines.iter().map(copy).collect();
        let (framing, framed) = framing(&fields, &start)?;
        let body = Body::new(framing, self.bounds.body)?;
        let stays = !matches!(find(&fields, "connection"), Found::One(v) if names(v, b"close"))
            && find(&fields, "connection") != Found::Several;
        self.held.advance(length);
        self.open = Some((Message { start, fields, body: Bytes::new(), framed, stays }, body));
        Ok(true)
    }

    fn too_long(&self) -> Result<bool, Fault> {
        if self.held.len() > self.bounds.head { Err(Fault::HeadTooLong) } else { Ok(false) }
    }
}

/// Does a list of words, as `Connection` holds it, name this one?
fn names(list: &[u8], word: &[u8]) -> bool {
    list.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word))
}

fn status(parsed: httparse::Result<usize>) -> Result<Option<usize>, Fault> {
    match parsed {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Fault::TooManyLines),
        Err(httparse::Error::Version) => Err(Fault::Version),
        Err(_) => Err(Fault::Unreadable),
    }
}

/// How the body is framed, and whether the head says so.
fn framing(fields: &[(Bytes, Bytes)], start: &Start) -> Result<(Framing, bool), Fault> {
    let (length, coding) = (find(fields, "content-length"), find(fields, "transfer-encoding"));
    let answer = matches!(start, Start::Answer { .. });
    let none = matches!(start, Start::Answer { status: 100..=199 | 204 | 304 });
    Ok(match (length, coding) {
        (Found::Several, _) | (Found::One(_), Found::One(_) | Found::Several) => {
            return Err(Fault::SizeMetrics);
        }
        (_, Found::Several) => return Err(Fault::Coding),
        _ if none => (Framing::Length(0), true),
        (Found::One(digits), Found::None) => (Framing::Length(number(digits)?), true),
        (Found::None, Found::One(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            (Framing::Chunked, true)
        }
        (Found::None, Found::One(_)) => return Err(Fault::Coding),
        (Found::None, Found::None) if answer => return Err(Fault::NoLength),
        (Found::None, Found::None) => (Framing::Length(0), false),
    })
}

/// Digits alone: neither sign nor blank nor list.
fn number(digits: &[u8]) -> Result<u64, Fault> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Fault::BadLength);
    }
    // More than fits is too long in any case.
    let digits = std::str::from_utf8(digits).map_err(|_| Fault::BadLength)?;
    Ok(digits.parse().unwrap_or(u64::MAX))
}
