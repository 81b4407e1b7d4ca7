//! The body of one message, by its length or in chunks.

use crate::Fault;
use crate::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// The longest line of a chunk's size, or of a trailer.
const MAX_LINE_BYTES: usize = 256;
/// The most trailers, which are ignored.
const MAX_TRAILERS: u32 = 16;

#[derive(Debug)]
enum State {
    /// By length: how much is still to come.
    Plain(usize),
    /// The line with the next chunk's size.
    Size,
    /// How much of the chunk is still to come.
    Data(usize),
    /// The line end behind a chunk's data.
    End,
    /// How many trailers came.
    Trailer(u32),
    Complete,
}

/// A body as far as it came.
#[derive(Debug)]
pub(crate) struct Body {
    state: State,
    read: BytesMut,
}

impl Body {
    pub(crate) fn new(framing: Framing, most: usize) -> Result<Body, Fault> {
        let state = match framing {
            Framing::Length(n) if n > most as u64 => return Err(Fault::BodyTooLong),
            Framing::Length(n) => State::Plain(n as usize),
            Framing::Chunked => State::Size,
        };
        Ok(Body {
            state,
            read: BytesMut::new(),
        })
    }

    pub(crate) fn read(&self) -> usize {
        self.read.len()
    }

    pub(crate) fn whole(self) -> Bytes {
        self.read.freeze()
    }

    /// Takes the bytes that belong to it; `true`: it is whole.
    pub(crate) fn take(&mut self, held: &mut BytesMut, most: usize) -> Result<bool, Fault> {
        loop {
            match &mut self.state {
                State::Plain(left) | State::Data(left) if *left > 0 => {
                    let some = held.len().min(*left);
                    if some == 0 {
                        return Ok(false);
                    }
                    self.read.extend_from_slice(&held[..some]);
                    held.advance(some);
                    *left -= some;
                }
                State::Plain(_) => self.state = State::Complete,
                State::Data(_) => self.state = State::End,
                State::Size => {
                    let Some(line) = line(held)? else {
                        return Ok(false);
                    };
                    let size = size(&line)?;
                    if size > (most - self.read.len().min(most)) as u64 {
                        return Err(Fault::BodyTooLong);
                    }
                    self.state = if size == 0 {
                        State::Trailer(0)
                    } else {
                        State::Data(size as usize)
                    };
                }
                State::End => {
                    let Some(line) = line(held)? else {
                        return Ok(false);
                    };
                    if !line.is_empty() {
                        return Err(Fault::Chunk);
                    }
                    self.state = State::Size;
                }
                State::Trailer(n) => {
                    let Some(line) = line(held)? else {
                        return Ok(false);
                    };
                    *n += 1;
                    if *n > MAX_TRAILERS {
                        return Err(Fault::Chunk);
                    }
                    if line.is_empty() {
                        self.state = State::Complete;
                    }
                }
                State::Complete => return Ok(true),
            }
        }
    }
}

/// A line without its end, which is CR LF and nothing else.
fn line(held: &mut BytesMut) -> Result<Option<BytesMut>, Fault> {
    let Some(end) = held.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
        return if held.len() >= MAX_LINE_BYTES {
            Err(Fault::Chunk)
        } else {
            Ok(None)
        };
    };
    let mut line = held.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(Fault::Chunk);
    }
    line.truncate(end - 1);
    if line.iter().any(|b| matches!(b, b'\r' | 0)) {
        Err(Fault::Chunk)
    } else {
        Ok(Some(line))
    }
}

/// Hexadecimal digits, perhaps followed by an extension, which is ignored.
fn size(line: &[u8]) -> Result<u64, Fault> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let well_formed =
        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits)
        .ok()
        .filter(|_| well_formed)
        .ok_or(Fault::Chunk)?;
    u64::from_str_radix(text, 16).map_err(|_| Fault::Chunk)
}
