//! Frames between clients, hosts, storage nodes, the list service and other hosts. No I/O: bytes in, frames
//! out. A frame is a header of twelve bytes, a message, and body bytes that nobody here looks at:
//!
//! | bytes | holds |
//! | --- | --- |
//! | 0 | the tag 0x9d |
//! | 1 | the version of the sender |
//! | 2, 3 | the kind of the message |
//! | 4 to 7 | the message's length |
//! | 8 to 11 | the body's length |
//!
//! Numbers are little-endian. A kind that is not known is skipped as a whole, a field that is not known is
//! skipped by the serialization; all else that is not understood ends the connection ([`Broken`]).

pub mod message;
pub mod record;

use bytes::{Buf, BufMut, Bytes, BytesMut};
pub use message::*;
use prost::Message as _;

/// Of this program. Raised when a message gets a field or a kind that older ones may skip; anything that
/// they may not skip needs another tag.
pub const VERSION: u8 = 1;
/// The longest demand report between hosts, as the design has it.
pub const MAX_DEMAND_REPORT_BYTES: usize = 256;
/// The length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 12;
const TAG: u8 = 0x9d;
/// Room made for bytes that are announced and have not come: whole for all but the largest pieces.
pub const MAX_RESERVED_BYTES: usize = 256 << 10;

/// What one end of a connection accepts at most.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The longest message, in bytes.
    pub message: usize,
    /// The longest body, in bytes.
    pub body: usize,
}

impl Bounds {
    /// A message holds names and figures, or a list of some thousands of nodes; a body is one piece.
    pub const DEFAULT: Bounds = Bounds {
        message: 1 << 20,
        body: 16 << 20,
    };
}

/// Why a connection cannot go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    /// The first byte is not the tag.
    #[error(
        "frame starts with byte {0:#04x}, expected {TAG:#04x}: the peer is not gullsail, or frames are misaligned"
    )]
    Tag(u8),
    /// The version is 0, which was never used.
    #[error("frame has version 0, expected 1 or later")]
    Version,
    /// A part of the frame is longer than accepted.
    #[error("{part} of {length} bytes is too long, at most {max_length} are accepted")]
    TooLong {
        /// The part: message, body, or a field of a message.
        part: &'static str,
        /// Its length in bytes.
        length: usize,
        /// The most bytes that are accepted.
        max_length: usize,
    },
    /// The message is not valid protobuf of its kind.
    #[error("message of kind {kind} cannot be decoded: {why}")]
    Malformed {
        /// The kind of the message.
        kind: u16,
        /// What the decoder reported.
        why: String,
    },
}

macro_rules! messages {
    ($($kind:literal $name:ident as $recorded:literal;)*) => {
        /// Any message; each has its kind number.
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        pub enum Message {
            $(
                #[doc = concat!("A [`", stringify!($name), "`].")]
                #[serde(rename = $recorded)]
                $name($name),
            )*
            /// A message of a newer version, which is skipped.
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
            /// The name as logs and recordings have it.
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
    /// The message.
    pub message: Message,
    /// The bytes that follow it, which are passed on as they are.
    pub body: Bytes,
}

impl Frame {
    /// The same message with this body.
    pub fn with_body(self, body: Bytes) -> Frame {
        Frame { body, ..self }
    }

    /// Bytes on the wire.
    pub fn len(&self) -> usize {
        HEADER_BYTES + self.message.encoded_len() + self.body.len()
    }

    /// Never: a frame has at least its header.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Header and message; the body goes after it as it is, without a copy.
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

/// How long the frame at the front is, header included, once its header has come. Its bounds are not judged
/// here.
pub fn announced_frame_bytes(buf: &BytesMut) -> Option<usize> {
    let mut size_metrics = buf.get(4..HEADER_BYTES)?;
    Some(HEADER_BYTES + size_metrics.get_u32_le() as usize + size_metrics.get_u32_le() as usize)
}

/// Takes the next frame off the front of what has been read; `None`: more must be read first. The body is a
/// part of the same buffer. Lengths are judged before anything is set aside for them.
///
/// # Errors
/// [`Broken`], after which the bytes that follow mean nothing.
pub fn decode(buf: &mut BytesMut, bounds: Bounds) -> Result<Option<Frame>, Broken> {
    let Some(tag) = buf.first() else {
        return Ok(None);
    };
    if *tag != TAG {
        return Err(Broken::Tag(*tag));
    }
    let Some(mut header) = buf.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    header.advance(1);
    if header.get_u8() == 0 {
        return Err(Broken::Version);
    }
    let kind = header.get_u16_le();
    let (message, body) = (header.get_u32_le() as usize, header.get_u32_le() as usize);
    for (part, length, max_length) in [
        ("message", message, bounds.message),
        ("body", body, bounds.body),
    ] {
        if length > max_length {
            return Err(Broken::TooLong {
                part,
                length,
                max_length,
            });
        }
    }
    let whole = HEADER_BYTES + message + body;
    if buf.len() < whole {
        // Not all at once: a header alone must not have its whole frame set aside.
        buf.reserve((whole - buf.len()).min(MAX_RESERVED_BYTES));
        return Ok(None);
    }
    let mut frame = buf.split_to(whole).freeze();
    frame.advance(HEADER_BYTES);
    let message =
        Message::decode(kind, frame.split_to(message)).map_err(|error| Broken::Malformed {
            kind,
            why: error.to_string(),
        })?;
    if let Message::DemandReport(report) = &message
        && report.bytes.len() > MAX_DEMAND_REPORT_BYTES
    {
        return Err(Broken::TooLong {
            part: "demand report",
            length: report.bytes.len(),
            max_length: MAX_DEMAND_REPORT_BYTES,
        });
    }
    if let Message::Reached(notice) = &message
        && notice.hosts.len() > MAX_DEMAND_REPORT_BYTES
    {
        return Err(Broken::TooLong {
            part: "revision notice",
            length: notice.hosts.len(),
            max_length: MAX_DEMAND_REPORT_BYTES,
        });
    }
    Ok(Some(Frame {
        message,
        body: frame,
    }))
}
