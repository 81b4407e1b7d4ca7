//! How long the body of a message is, strictly: two statements that disagree are a fault, since whoever
//! passes messages on must not read a length otherwise than its neighbours do.

use crate::Fault;
use crate::message::{Field, Found, Start, find};

/// How a body is delimited.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
}

/// The framing, `None` if the head states none: then there is no body.
pub(crate) fn framing(fields: &[Field], start: &Start) -> Result<Option<Framing>, Fault> {
    let length = find(fields, "content-length");
    let coding = find(fields, "transfer-encoding");
    let is_response = matches!(start, Start::Answer { .. });
    let never_has_body = matches!(
        start,
        Start::Answer {
            status: 100..=199 | 204 | 304
        }
    );
    match (length, coding) {
        (Found::Several, _) | (Found::One(_), Found::One(_) | Found::Several) => {
            Err(Fault::ConflictingFraming)
        }
        (_, Found::Several) => Err(Fault::Coding),
        _ if never_has_body => Ok(Some(Framing::Length(0))),
        (Found::One(digits), Found::None) => Ok(Some(Framing::Length(parse_length(digits)?))),
        (Found::None, Found::One(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Found::None, Found::One(_)) => Err(Fault::Coding),
        (Found::None, Found::None) if is_response => Err(Fault::NoLength),
        (Found::None, Found::None) => Ok(None),
    }
}

/// Digits alone: neither sign nor blank nor list.
fn parse_length(digits: &[u8]) -> Result<u64, Fault> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Fault::BadLength);
    }
    // More than fits is too long in any case.
    let digits = std::str::from_utf8(digits).map_err(|_| Fault::BadLength)?;
    Ok(digits.parse().unwrap_or(u64::MAX))
}
