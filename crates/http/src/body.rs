//! Decodes the body of one message, which has a stated length or the chunked transfer coding.

use crate::Fault;
use crate::framing::Framing;
use bytes::{Bytes, BytesMut};

/// Longest accepted line with a chunk size or a trailer field, in bytes. It bounds what the decoder buffers while the
/// peer sends no data of the body.
const MAX_LINE_BYTES: usize = 256;
/// Most trailer lines after a chunked body, the empty last line included. Trailer fields are ignored. Without a bound a
/// peer could send them without end.
const MAX_TRAILERS: u32 = 16;

/// The part of the body that the decoder expects next.
#[derive(Debug)]
enum State {
    /// This many bytes of a body with a stated length.
    FixedLength(usize),
    /// The line with the size of the next chunk.
    ChunkSize,
    /// This many bytes of the data of the present chunk.
    ChunkData(usize),
    /// The line end after the data of a chunk.
    ChunkEnd,
    /// A trailer field or the empty line at the end. This many trailer fields were read.
    Trailers(u32),
    /// Nothing: the body is complete.
    Complete,
}

/// A body that is being decoded.
#[derive(Debug)]
pub(crate) struct Body {
    state: State,
    /// The decoded data of the body, without chunk sizes and trailers.
    received: BytesMut,
}

impl Body {
    /// Starts to decode a body. Fails if its stated length exceeds `max_bytes`.
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

    /// The number of bytes of the body that were decoded so far.
    pub(crate) fn received_bytes(&self) -> usize {
        self.received.len()
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        self.received.freeze()
    }

    /// Removes the bytes that belong to the body from the front of `unread`. Returns whether the body is complete.
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
                    *missing -= available;
                    self.append(&unread.split_to(available), max_bytes);
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

    /// Adds data of the body. The buffer doubles as it grows, but not beyond the longest body that is possible, so that
    /// it takes little more memory than it holds.
    fn append(&mut self, data: &[u8], max_bytes: usize) {
        let needed = self.received.len() + data.len();
        if needed > self.received.capacity() {
            let longest = match self.state {
                State::FixedLength(missing) => needed + missing,
                _ => max_bytes.max(needed),
            };
            let doubled = 2 * self.received.capacity();
            let mut larger = BytesMut::with_capacity(doubled.clamp(needed, longest));
            larger.extend_from_slice(&self.received);
            self.received = larger;
        }
        self.received.extend_from_slice(data);
    }

    /// Returns the state after a line of the chunked transfer coding.
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

/// Removes one line from the front of `unread` and returns it without its end, which must be CR LF. Returns `None`
/// while the line is incomplete.
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

/// Parses the hexadecimal size of a chunk. Chunk extensions after it are ignored.
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
