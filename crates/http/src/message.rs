//! A complete message, as the decoder returns it.

use bytes::Bytes;

/// The first line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// The request line.
    Request {
        /// The method, such as `GET`.
        method: Bytes,
        /// The path with its query.
        target: Bytes,
    },
    /// The status line of a response.
    Response {
        /// The status code.
        status: u16,
    },
}

/// One header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Field {
    pub(crate) name: Bytes,
    pub(crate) value: Bytes,
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line.
    pub start: Start,
    pub(crate) fields: Vec<Field>,
    /// The body; empty if there is none.
    pub body: Bytes,
    /// Whether the head states a length or a transfer coding, even for an empty body.
    pub framed: bool,
    /// Whether the connection carries further messages: the sender did not announce a close.
    pub keep_alive: bool,
}

/// How often a header field occurs in a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    /// Not at all.
    None,
    /// Once, with this value.
    One(&'a [u8]),
    /// More than once.
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
