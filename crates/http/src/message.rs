//! A decoded message.

use bytes::Bytes;

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// The request line.
    Request {
        /// The method, such as `GET`.
        method: Bytes,
        /// The request target as received: usually a path, with its query if there is one.
        target: Bytes,
    },
    /// The status line of a response.
    Response {
        /// The status code.
        status: u16,
    },
}

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Field {
    pub(crate) name: Bytes,
    pub(crate) value: Bytes,
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The request line or the status line.
    pub start: StartLine,
    pub(crate) fields: Vec<Field>,
    /// The body, without chunk sizes and trailers. Empty if the message has none.
    pub body: Bytes,
    /// Whether the length of the body is determined by `Content-Length`, `Transfer-Encoding` or the status. `false` for
    /// a request without these fields.
    pub framed: bool,
    /// Whether the connection may carry further messages, that is, the sender did not announce a close.
    pub keep_alive: bool,
}

/// The result of looking up a header field by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    /// No field has this name.
    None,
    /// One field has this name, with this value.
    One(&'a [u8]),
    /// More than one field has this name.
    Multiple,
}

impl Message {
    /// Looks a header field up by its name, ignoring case.
    pub fn field(&self, name: &str) -> Found<'_> {
        find(&self.fields, name)
    }
}

/// Looks a header field up by its name, ignoring case.
pub(crate) fn find<'a>(fields: &'a [Field], name: &str) -> Found<'a> {
    let mut matching = fields
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(name.as_bytes()));
    match (matching.next(), matching.next()) {
        (None, _) => Found::None,
        (Some(field), None) => Found::One(&field.value),
        _ => Found::Multiple,
    }
}
