//! A codec for HTTP/1.1 messages that does no I/O.
//!
//! [`Decoder`] takes received bytes and returns complete messages or the [`Fault`] that makes them unusable;
//! [`Encoder`] encodes messages. The library `httparse` parses heads; this crate decides how a body is
//! delimited and enforces the [`Bounds`]. The host on the users' platform uses it for clients, nodes and
//! discovery.
//!
//! Read `decoder` first, then `framing` and `body`.

mod body;
mod decoder;
mod encoder;
mod fault;
mod framing;
mod message;

pub use decoder::Decoder;
pub use encoder::Encoder;
pub use fault::Fault;
pub use message::{Found, Message, Start};

/// How large a message may be. A larger one is a [`Fault`].
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most bytes of the head.
    pub head: usize,
    /// Most bytes of the body.
    pub body: usize,
}
