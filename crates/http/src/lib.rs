//! A codec for HTTP/1.1 messages that does no I/O.
//!
//! [`Decoder`] takes received bytes and returns complete messages, or a [`Fault`] if they cannot be decoded.
//! [`Encoder`] encodes messages. The library `httparse` parses heads; this crate determines how a body is delimited and
//! enforces the [`Bounds`]. The host on the users' platform uses it for clients, nodes and discovery.
//!
//! Start reading with `decoder`, then `framing` and `body`.

mod body;
mod decoder;
mod encoder;
mod fault;
mod framing;
mod message;

pub use decoder::Decoder;
pub use encoder::{EncodedMessage, Encoder};
pub use fault::Fault;
pub use message::{Found, Message, StartLine};

/// The largest accepted size of a message. Decoding a larger message returns a [`Fault`].
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most bytes of the head.
    pub head: usize,
    /// Most bytes of the body.
    pub body: usize,
}
