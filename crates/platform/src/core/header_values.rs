//! Parsers for the values of header fields and the segments of paths.

use gullsail_http::{Found, Message};

/// The value of a header field that is present exactly once, otherwise `None`.
pub(super) fn single_value<'a>(message: &'a Message, name: &str) -> Option<&'a [u8]> {
    if let Found::One(value) = message.field(name) {
        Some(value)
    } else {
        None
    }
}

/// The bytes as text, or `None` if they are not valid UTF-8.
pub(super) fn as_utf8(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

/// Parses exactly 16 hexadecimal digits.
pub(super) fn parse_hex_id(digits: &[u8]) -> Option<u64> {
    if digits.len() != 16 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(as_utf8(digits)?, 16).ok()
}

/// Parses 1 to 12 decimal digits. Returns `None` for any other text, also one with a sign or a space.
pub(super) fn parse_decimal(digits: &[u8]) -> Option<u64> {
    let well_formed =
        !digits.is_empty() && digits.len() <= 12 && digits.iter().all(u8::is_ascii_digit);
    if !well_formed {
        return None;
    }
    as_utf8(digits)?.parse().ok()
}
