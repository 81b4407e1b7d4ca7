//! Writes a message: head and body in one piece.

use bytes::{BufMut, Bytes, BytesMut};
use std::fmt::Display;

/// A message that is being written. Names and values are the caller's: what came from outside passes only if it was
/// read by [`crate::Decoder`], which lets no line end through.
#[derive(Debug)]
pub struct Encoder(BytesMut);

impl Encoder {
    pub fn request(method: &[u8], target: &[u8]) -> Encoder {
        let mut b = BytesMut::with_capacity(512);
        for part in [method, b" ", target, b" HTTP/1.1\r\n"] {
            b.put_slice(part);
        }
        Encoder(b)
    }

    pub fn answer(status: u16, reason: &str) -> Encoder {
        let mut b = BytesMut::with_capacity(256);
        b.put_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
        Encoder(b)
    }

    pub fn field(mut self, name: &str, value: &[u8]) -> Encoder {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            self.0.put_slice(part);
        }
        self
    }

    pub fn number(self, name: &str, value: impl Display) -> Encoder {
        let value = value.to_string();
        self.field(name, value.as_bytes())
    }

    /// With a body, whose length it states.
    pub fn body(self, body: &[u8]) -> Bytes {
        let mut b = self.number("Content-Length", body.len()).0;
        b.put_slice(b"\r\n");
        b.put_slice(body);
        b.freeze()
    }

    /// Without one, and without a length.
    pub fn bare(mut self) -> Bytes {
        self.0.put_slice(b"\r\n");
        self.0.freeze()
    }
}
