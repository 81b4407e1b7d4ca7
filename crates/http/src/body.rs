//! The body of one message, by its length or in chunks.

use crate::Fault;
use bytes::{Buf, Bytes, BytesMut};

/// The longest line that a chunk's size, or a trailer, may take.
const LINE: usize = 256;
/// The most trailers, which are read over.
const TRAILERS: u32 = 16;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
}

#[derive(Debug)]
enum Stage {
    /// By length: what is still to come.
    Plain(usize),
    Size,
    Data(usize),
    /// The line end behind a chunk's data.
    End,
    Trailer(u32),
    Whole,
}

#[derive(Debug)]
pub(crate) struct Body {
    stage: Stage,
    read: BytesMut,
}

impl Body {
    pub(crate) fn new(framing: Framing, most: usize) -> Result<Body, Fault> {
        let stage = match framing {
            Framing::Length(n) if n > most as u64 => return Err(Fault::BodyTooLong),
            Framing::Length(n) => Stage::Plain(n as usize),
            Framing::Chunked => Stage::Size,
        };
        Ok(Body { stage, read: BytesMut::new() })
    }

    pub(crate) fn read(&self) -> usize {
        self.read.len()
    }

    pub(crate) fn whole(self) -> Bytes {
        self.read.freeze()
    }

    /// Takes its part of what is held; `true`: it is whole.
    pub(crate) fn take(&mut self, held: &mut BytesMut, most: usize) -> Result<bool, Fault> {
        loop {
            match &mut self.stage {
                Stage::Plain(left) | Stage::Data(left) if *left > 0 => {
                    let some = held.len().min(*left);
                    if some == 0 {
                        return Ok(false);
                    }
                    self.read.extend_from_slice(&held[..some]);
                    held.advance(some);
                    *left -= some;
                }
                Stage::Plain(_) => self.stage = Stage::Whole,
                Stage::Data(_) => self.stage = Stage::End,
                Stage::Size => {
                    let Some(line) = line(held)? else { return Ok(false) };
                    let size = size(&line)?;
                    if size > (most - self.read.len().min(most)) as u64 {
                        return Err(Fault::BodyTooLong);
                    }
                    self.stage = if size == 0 { Stage::Trailer(0) } else { Stage::Data(size as usize) };
                }
                Stage::End => {
                    let Some(line) = line(held)? else { return Ok(false) };
                    if !line.is_empty() {
                        return Err(Fault::Chunk);
                    }
                    self.stage = Stage::Size;
                }
                Stage::Trailer(n) => {
                    let Some(line) = line(held)? else { return Ok(false) };
                    *n += 1;
                    if *n > TRAILERS {
                        return Err(Fault::Chunk);
                    }
                    if line.is_empty() {
                        self.stage = Stage::Whole;
                    }
                }
                Stage::Whole => return Ok(true),
            }
        }
    }
}

/// A line without its end, which is CR LF and nothing else.
fn line(held: &mut BytesMut) -> Result<Option<BytesMut>, Fault> {
    let Some(end) = held.iter().take(LINE).position(|b| *b == b'\n') else {
        return if held.len() >= LINE { Err(Fault::Chunk) } else { Ok(None) };
    };
    let mut line = held.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(Fault::Chunk);
    }
    line.truncate(end - 1);
    if line.iter().any(|b| matches!(b, b'\r' | 0)) { Err(Fault::Chunk) } else { Ok(Some(line)) }
}

/// Hexadecimal digits, perhaps followed by an extension, which is read over.
fn size(line: &[u8]) -> Result<u64, Fault> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let sound = !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| sound).ok_or(Fault::Chunk)?;
    u64::from_str_radix(text, 16).map_err(|_| Fault::Chunk)
}
