//! Encodes messages. A long body is shared with the caller and not copied.

use bytes::{BufMut, Bytes, BytesMut};
use std::fmt::Display;

/// Longest body that is copied behind its head, so that a short message is written by one call and in one segment.
const MAX_COPIED_BODY: usize = 8 << 10;

/// An encoded message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedMessage {
    /// The start line and the fields, with the empty line at their end, and a short body behind them.
    head: Bytes,
    /// A long body; otherwise empty.
    body: Bytes,
}

impl EncodedMessage {
    /// The message as one buffer.
    pub fn to_vec(&self) -> Vec<u8> {
        [&self.head[..], &self.body].concat()
    }

    /// The parts to write one after the other; the second one may be empty.
    pub fn into_parts(self) -> [Bytes; 2] {
        [self.head, self.body]
    }
}

impl From<Bytes> for EncodedMessage {
    /// One or more messages that are already encoded.
    fn from(bytes: Bytes) -> EncodedMessage {
        EncodedMessage {
            head: bytes,
            body: Bytes::new(),
        }
    }
}

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
    pub fn body(self, body: Bytes) -> EncodedMessage {
        let mut head = self.number("Content-Length", body.len()).0;
        head.put_slice(b"\r\n");
        if body.len() <= MAX_COPIED_BODY {
            head.put_slice(&body);
            return head.freeze().into();
        }
        EncodedMessage {
            head: head.freeze(),
            body,
        }
    }

    /// Ends the message without a body and without `Content-Length`, and returns it.
    pub fn without_body(mut self) -> EncodedMessage {
        self.0.put_slice(b"\r\n");
        self.0.freeze().into()
    }
}
