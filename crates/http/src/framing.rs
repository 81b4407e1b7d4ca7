//! Determines how the body of a message is delimited. An ambiguous length is a fault: if a proxy and its peers disagree
//! about where a message ends, request smuggling is possible.

use crate::Fault;
use crate::message::{Field, Found, StartLine, find};

/// How the end of a body is found.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Framing {
    /// The body has this many bytes.
    Length(u64),
    Chunked,
}

/// Returns the framing of the message. `None` if it is a request that states no framing, and so has no body.
pub(crate) fn framing(fields: &[Field], start: &StartLine) -> Result<Option<Framing>, Fault> {
    let length = find(fields, "content-length");
    let coding = find(fields, "transfer-encoding");
    let is_response = matches!(start, StartLine::Response { .. });
    let never_has_body = matches!(
        start,
        StartLine::Response {
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

/// Parses the value of `Content-Length`. Anything but decimal digits is a fault, such as a sign, a space or a list.
fn parse_length(digits: &[u8]) -> Result<u64, Fault> {
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Fault::InvalidLength);
    }
    // A number that does not fit into `u64` exceeds every bound.
    let digits = std::str::from_utf8(digits).map_err(|_| Fault::InvalidLength)?;
    Ok(digits.parse().unwrap_or(u64::MAX))
}
