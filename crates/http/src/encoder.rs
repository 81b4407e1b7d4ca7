//! Encodes messages, each with head and body in one buffer.

use bytes::{BufMut, Bytes, BytesMut};
use std::fmt::Display;

/// Encodes one message. It does not check names and values. A value from outside the process may be used only if
/// [`crate::Decoder`] has decoded it: the decoder rejects values with line ends, which could inject header fields.
#[derive(Debug)]
pub struct Encoder(BytesMut);

impl Encoder {
    /// Starts a request with its request line.
    pub fn request(method: &[u8], target: &[u8]) -> Encoder {
        let mut bytes = BytesMut::with_capacity(512);
        for part in [method, b" ", target, b" HTTP/1.1\r\n"] {
            bytes.put_slice(part);
        }
        Encoder(bytes)
    }

    /// Starts a response with its status line.
    pub fn response(status: u16, reason: &str) -> Encoder {
        let mut bytes = BytesMut::with_capacity(256);
        bytes.put_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
        Encoder(bytes)
    }

    /// Adds a header field.
    pub fn field(mut self, name: &str, value: &[u8]) -> Encoder {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            self.0.put_slice(part);
        }
        self
    }

    /// Adds a header field with a value that is formatted with `Display`.
    pub fn number(self, name: &str, value: impl Display) -> Encoder {
        let value = value.to_string();
        self.field(name, value.as_bytes())
    }

    /// Ends the message with `Content-Length` and a body, and returns it.
    pub fn body(self, body: &[u8]) -> Bytes {
        let mut bytes = self.number("Content-Length", body.len()).0;
        bytes.put_slice(b"\r\n");
        bytes.put_slice(body);
        bytes.freeze()
    }

    /// Ends the message without a body and without `Content-Length`, and returns it.
    pub fn without_body(mut self) -> Bytes {
        self.0.put_slice(b"\r\n");
        self.0.freeze()
    }
}
