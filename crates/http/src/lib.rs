//! HTTP/1.1 messages without I/O. [`Decoder`] takes bytes as they come and hands out whole messages or names
//! what is wrong with them; [`Encoder`] writes messages. Heads are parsed by the library `httparse`; framing
//! and bounds are kept here. The terms are HTTP's own. The users' platform reads and writes with it; it never
//! opens a socket.
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

/// How large a message may be.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The head, in bytes.
    pub head: usize,
    /// The body, in bytes.
    pub body: usize,
}
