//! The body of one message, delimited by its length or in chunks.

use crate::Fault;
use crate::framing::Framing;
use bytes::{Buf, Bytes, BytesMut};

/// Longest accepted line of a chunk size or a trailer, in bytes. Bounds what a peer can make the decoder
/// buffer without sending any data of the body.
const MAX_LINE_BYTES: usize = 256;
/// Most trailer lines, the empty last one included. Trailers are ignored; without a bound a peer could send
/// them for ever.
const MAX_TRAILERS: u32 = 16;

#[derive(Debug)]
enum State {
    /// A body with a stated length: this many bytes are missing.
    FixedLength(usize),
    /// The line with the size of the next chunk comes next.
    ChunkSize,
    /// This many bytes of the chunk are missing.
    ChunkData(usize),
    /// The line end after the data of a chunk comes next.
    ChunkEnd,
    /// This many trailers were read.
    Trailers(u32),
    Complete,
}

/// A body of which a part may have been received.
#[derive(Debug)]
pub(crate) struct Body {
    state: State,
    received: BytesMut,
}

impl Body {
    pub(crate) fn new(framing: Framing, max_bytes: usize) -> Result<Body, Fault> {
        let state = match framing {
            Framing::Length(length) if length > max_bytes as u64 => return Err(Fault::BodyTooLong),
            Framing::Length(length) => State::FixedLength(length as usize),
            Framing::Chunked => State::ChunkSize,
        };
        Ok(Body {
            state,
            received: BytesMut::new(),
        })
    }

    /// How many bytes of the body were received.
    pub(crate) fn received_bytes(&self) -> usize {
        self.received.len()
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        self.received.freeze()
    }

    /// Takes the bytes that belong to the body from `unread`. Returns whether the body is complete.
    pub(crate) fn consume(
        &mut self,
        unread: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<bool, Fault> {
        loop {
            match &mut self.state {
                State::Complete => return Ok(true),
                State::FixedLength(missing) | State::ChunkData(missing) if *missing > 0 => {
                    let available = unread.len().min(*missing);
                    if available == 0 {
                        return Ok(false);
                    }
                    self.received.extend_from_slice(&unread[..available]);
                    unread.advance(available);
                    *missing -= available;
                }
                State::FixedLength(_) => self.state = State::Complete,
                State::ChunkData(_) => self.state = State::ChunkEnd,
                State::ChunkSize | State::ChunkEnd | State::Trailers(_) => {
                    let Some(line) = take_line(unread)? else {
                        return Ok(false);
                    };
                    self.state = self.after_line(&line, max_bytes)?;
                }
            }
        }
    }

    /// The state after a line of the chunked coding.
    fn after_line(&self, line: &[u8], max_bytes: usize) -> Result<State, Fault> {
        match self.state {
            State::ChunkSize => {
                let size = parse_chunk_size(line)?;
                if size > max_bytes.saturating_sub(self.received.len()) as u64 {
                    Err(Fault::BodyTooLong)
                } else if size == 0 {
                    Ok(State::Trailers(0))
                } else {
                    Ok(State::ChunkData(size as usize))
                }
            }
            State::Trailers(count) if count >= MAX_TRAILERS => Err(Fault::Chunk),
            State::Trailers(_) if line.is_empty() => Ok(State::Complete),
            State::Trailers(count) => Ok(State::Trailers(count + 1)),
            State::ChunkEnd if line.is_empty() => Ok(State::ChunkSize),
            State::ChunkEnd | State::FixedLength(_) | State::ChunkData(_) | State::Complete => {
                Err(Fault::Chunk)
            }
        }
    }
}

/// Takes one line without its end, which is CR LF and nothing else. Returns `None` while the line is
/// incomplete.
fn take_line(unread: &mut BytesMut) -> Result<Option<BytesMut>, Fault> {
    let line_feed = unread
        .iter()
        .take(MAX_LINE_BYTES)
        .position(|byte| *byte == b'\n');
    let Some(end) = line_feed else {
        return if unread.len() >= MAX_LINE_BYTES {
            Err(Fault::Chunk)
        } else {
            Ok(None)
        };
    };
    let mut line = unread.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(Fault::Chunk);
    }
    line.truncate(end - 1);
    if line.iter().any(|byte| matches!(byte, b'\r' | 0)) {
        Err(Fault::Chunk)
    } else {
        Ok(Some(line))
    }
}

/// Parses hexadecimal digits; an extension after them is ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Fault> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let well_formed =
        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    if !well_formed {
        return Err(Fault::Chunk);
    }
    let text = std::str::from_utf8(digits).map_err(|_| Fault::Chunk)?;
    u64::from_str_radix(text, 16).map_err(|_| Fault::Chunk)
}
