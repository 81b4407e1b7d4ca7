//! Frames between clients, hosts, storage nodes and the list service. The crate does no I/O: it decodes bytes to
//! frames and encodes frames to bytes. A frame is a header of twelve bytes, a message, and an opaque body:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 | the tag 0x9d |
//! | 1 | the sender's version of the protocol |
//! | 2, 3 | the kind of the message |
//! | 4 to 7 | the message's length |
//! | 8 to 11 | the body's length |
//!
//! Numbers are little-endian. Messages of unknown kinds and unknown fields of messages are skipped. Every other
//! violation of the format ends the connection ([`FrameError`]).

pub mod message;
pub mod record;

use bytes::{Buf, BufMut, Bytes, BytesMut};
pub use message::*;
use prost::Message as _;

/// The version of the protocol that this program speaks. It is raised when a kind of message or a field is added
/// that older versions may skip. A change that they must not skip needs another tag.
pub const VERSION: u8 = 1;
/// Largest length of a demand report and of a revision notice between hosts.
pub const MAX_DEMAND_REPORT_BYTES: usize = 256;
/// Length of a frame's header.
pub const HEADER_BYTES: usize = 12;
/// First byte of each frame.
const TAG: u8 = 0x9d;
/// Most buffer space that is reserved for the rest of a frame before it is received. All but the largest frames
/// fit into it.
pub const MAX_RESERVED_BYTES: usize = 256 << 10;

/// The largest frame that one end of a connection accepts.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest message, in bytes.
    pub message: usize,
    /// The longest body, in bytes.
    pub body: usize,
}

impl Bounds {
    /// 1 MiB for a message, which is enough for a list of some thousands of nodes, and 16 MiB for a body, which is
    /// the data of one request.
    pub const DEFAULT: Bounds = Bounds {
        message: 1 << 20,
        body: 16 << 20,
    };
}

/// A violation of the frame format, which ends the connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The first byte is not the tag.
    #[error(
        "frame starts with byte {0:#04x}, expected {TAG:#04x}: the peer is not gullsail, or frames are misaligned"
    )]
    Tag(u8),
    /// The version is 0, which no sender uses.
    #[error("frame has version 0, expected 1 or later")]
    Version,
    /// A part of the frame is longer than accepted.
    #[error("{part} of {length} bytes is too long, at most {max} are accepted")]
    TooLong {
        /// The part: message, body, or a field of a message.
        part: &'static str,
        /// The length of the part in bytes.
        length: usize,
        /// The largest accepted length in bytes.
        max: usize,
    },
    /// The message is not valid protobuf of its kind.
    #[error("message of kind {kind} cannot be decoded: {reason}")]
    Malformed {
        /// The kind of the message.
        kind: u16,
        /// The decoder's error.
        reason: String,
    },
}

macro_rules! messages {
    ($($kind:literal $name:ident as $recorded:literal;)*) => {
        /// A message of any kind.
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        pub enum Message {
            $(
                #[doc = concat!("A [`", stringify!($name), "`].")]
                #[serde(rename = $recorded)]
                $name($name),
            )*
            /// A message of a kind that this version does not know. It is skipped.
            Newer {
                /// The number of its kind.
                kind: u16,
            },
        }

        impl Message {
            /// The number of the message's kind on the wire.
            pub fn kind(&self) -> u16 {
                match self {
                    $(Message::$name(_) => $kind,)*
                    Message::Newer { kind } => *kind,
                }
            }
            /// The message's name in logs and recordings.
            pub fn name(&self) -> &'static str {
                match self {
                    $(Message::$name(_) => $recorded,)*
                    Message::Newer { .. } => "Newer",
                }
            }
            fn encoded_len(&self) -> usize {
                match self {
                    $(Message::$name(message) => message.encoded_len(),)*
                    Message::Newer { .. } => 0,
                }
            }
            fn encode_into(&self, out: &mut BytesMut) {
                match self {
                    $(Message::$name(message) => message.encode_raw(out),)*
                    Message::Newer { .. } => {}
                }
            }
            fn decode(kind: u16, bytes: Bytes) -> Result<Message, prost::DecodeError> {
                Ok(match kind {
                    $($kind => Message::$name($name::decode(bytes)?),)*
                    kind => Message::Newer { kind },
                })
            }
        }

        $(impl From<$name> for Frame {
            fn from(message: $name) -> Frame {
                Frame { message: Message::$name(message), body: Bytes::new() }
            }
        })*
    };
}

messages! {
    1 Hello as "Hello";
    10 Submit as "Submit";
    11 Answer as "Answer";
    12 NotTaken as "NotTaken";
    13 Withdraw as "Withdraw";
    14 GoAway as "GoAway";
    20 Attempt as "Leg";
    21 AttemptAnswer as "LegAnswer";
    22 Cancel as "Cancel";
    23 Probe as "Probe";
    24 ProbeAnswer as "ProbeAnswer";
    30 DemandReport as "Label";
    31 ClockQuery as "ClockAsk";
    32 ClockReply as "ClockTell";
    33 Reached as "Reached";
    34 FleetMessage as "FleetNote";
    40 EndpointListQuery as "ListAsk";
    41 EndpointListUpdate as "ListNews";
    42 EndpointListRefused as "ListRefused";
    90 Order as "Order";
}

/// A message and the bytes that follow it.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The decoded message.
    pub message: Message,
    /// The bytes that follow the message. They are passed on unchanged.
    pub body: Bytes,
}

impl Frame {
    /// The frame with its body replaced by `body`.
    pub fn with_body(self, body: Bytes) -> Frame {
        Frame { body, ..self }
    }

    /// The length of the encoded frame in bytes.
    pub fn len(&self) -> usize {
        HEADER_BYTES + self.message.encoded_len() + self.body.len()
    }

    /// Always `false`: a frame has at least its header.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Appends the encoded header and message to `out`. The caller sends the body after them, without a copy.
    pub fn encode_head(&self, out: &mut BytesMut) {
        let message = self.message.encoded_len();
        out.reserve(HEADER_BYTES + message);
        out.put_u8(TAG);
        out.put_u8(VERSION);
        out.put_u16_le(self.message.kind());
        out.put_u32_le(message as u32);
        out.put_u32_le(self.body.len() as u32);
        self.message.encode_into(out);
    }
}

/// The length in bytes of the frame at the front of the buffer, header included; `None`: its header has not been
/// received completely. The length is not checked against any bounds.
pub fn announced_frame_bytes(buf: &BytesMut) -> Option<usize> {
    let mut lengths = buf.get(4..HEADER_BYTES)?;
    Some(HEADER_BYTES + lengths.get_u32_le() as usize + lengths.get_u32_le() as usize)
}

/// Removes the next frame from the front of the bytes read so far; `None`: the frame is not complete. The frame's
/// body shares the buffer's memory. Lengths are checked before memory is reserved for them.
///
/// # Errors
/// The bytes violate the frame format. The following bytes cannot be decoded.
pub fn decode(buf: &mut BytesMut, bounds: Bounds) -> Result<Option<Frame>, FrameError> {
    let Some(tag) = buf.first() else {
        return Ok(None);
    };
    if *tag != TAG {
        return Err(FrameError::Tag(*tag));
    }
    let Some(mut header) = buf.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    header.advance(1);
    if header.get_u8() == 0 {
        return Err(FrameError::Version);
    }
    let kind = header.get_u16_le();
    let (message, body) = (header.get_u32_le() as usize, header.get_u32_le() as usize);
    for (part, length, max) in [
        ("message", message, bounds.message),
        ("body", body, bounds.body),
    ] {
        if length > max {
            return Err(FrameError::TooLong { part, length, max });
        }
    }
    let frame_bytes = HEADER_BYTES + message + body;
    if buf.len() < frame_bytes {
        // Not all at once: a sender must not cause a large reservation by a header alone.
        buf.reserve((frame_bytes - buf.len()).min(MAX_RESERVED_BYTES));
        return Ok(None);
    }
    let mut frame = buf.split_to(frame_bytes).freeze();
    frame.advance(HEADER_BYTES);
    let message =
        Message::decode(kind, frame.split_to(message)).map_err(|error| FrameError::Malformed {
            kind,
            reason: error.to_string(),
        })?;
    if let Message::DemandReport(report) = &message
        && report.bytes.len() > MAX_DEMAND_REPORT_BYTES
    {
        return Err(FrameError::TooLong {
            part: "demand report",
            length: report.bytes.len(),
            max: MAX_DEMAND_REPORT_BYTES,
        });
    }
    if let Message::Reached(notice) = &message
        && notice.hosts.len() > MAX_DEMAND_REPORT_BYTES
    {
        return Err(FrameError::TooLong {
            part: "revision notice",
            length: notice.hosts.len(),
            max: MAX_DEMAND_REPORT_BYTES,
        });
    }
    Ok(Some(Frame {
        message,
        body: frame,
    }))
}
