//! Determines how the body of a message is delimited. Anything ambiguous is a fault: a proxy that reads a length
//! differently from its neighbours allows request smuggling.

use crate::Fault;
use crate::message::{Field, Found, Start, find};

/// How a body is delimited.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Framing {
    Length(u64),
    Chunked,
}

/// The framing, or `None` if a request states none and so has no body.
pub(crate) fn framing(fields: &[Field], start: &Start) -> Result<Option<Framing>, Fault> {
    let length = find(fields, "content-length");
    let coding = find(fields, "transfer-encoding");
    let is_response = matches!(start, Start::Response { .. });
    let never_has_body = matches!(
        start,
        Start::Response {
            status: 100..=199 | 204 | 304
        }
    );
    match (length, coding) {
        (Found::Multiple, _) | (Found::One(_), Found::One(_) | Found::Multiple) => {
            Err(Fault::ConflictingFraming)
        }
        (_, Found::Multiple) => Err(Fault::TransferCoding),
        _ if never_has_body => Ok(Some(Framing::Length(0))),
        (Found::One(digits), Found::None) => Ok(Some(Framing::Length(parse_length(digits)?))),
        (Found::None, Found::One(coding)) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Found::None, Found::One(_)) => Err(Fault::TransferCoding),
        (Found::None, Found::None) if is_response => Err(Fault::MissingLength),
        (Found::None, Found::None) => Ok(None),
    }
}

/// Parses decimal digits. A sign, a blank or a list is a fault.
fn parse_length(digits: &[u8]) -> Result<u64, Fault> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Fault::InvalidLength);
    }
    // A number that overflows exceeds every bound.
    let digits = std::str::from_utf8(digits).map_err(|_| Fault::InvalidLength)?;
    Ok(digits.parse().unwrap_or(u64::MAX))
}
