//! A whole message, as the decoder hands it out.

use bytes::Bytes;

/// The first line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// Of a request.
    Request {
        /// The method, such as `GET`.
        method: Bytes,
        /// The path with its query.
        target: Bytes,
    },
    /// Of a response.
    Answer {
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

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line.
    pub start: Start,
    pub(crate) fields: Vec<Field>,
    /// The body; empty if there is none.
    pub body: Bytes,
    /// The head states a length or a coding, if only of nothing.
    pub framed: bool,
    /// The connection carries further messages (keep-alive).
    pub stays: bool,
}

/// How often a field stands in a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    /// Not at all.
    None,
    /// Once, with its value.
    One(&'a [u8]),
    /// More than once.
    Several,
}

impl Message {
    /// A field by its name, whatever the case.
    pub fn field(&self, name: &str) -> Found<'_> {
        find(&self.fields, name)
    }
}

pub(crate) fn find<'a>(fields: &'a [Field], name: &str) -> Found<'a> {
    let mut matching = fields
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(name.as_bytes()));
    match (matching.next(), matching.next()) {
        (None, _) => Found::None,
        (Some(field), None) => Found::One(&field.value),
        _ => Found::Several,
    }
}
