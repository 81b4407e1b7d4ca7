//! Values of header fields and segments of paths.

use gullsail_http::{Found, Message};

/// The value of a header that is present exactly once.
pub(super) fn single<'a>(message: &'a Message, name: &str) -> Option<&'a [u8]> {
    if let Found::One(value) = message.field(name) {
        Some(value)
    } else {
        None
    }
}

/// UTF-8 text.
pub(super) fn text(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

/// Parses 16 hexadecimal digits.
pub(super) fn hex(digits: &[u8]) -> Option<u64> {
    if digits.len() != 16 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(text(digits)?, 16).ok()
}

/// Parses at most 12 decimal digits.
pub(super) fn whole_number(digits: &[u8]) -> Option<u64> {
    let well_formed =
        !digits.is_empty() && digits.len() <= 12 && digits.iter().all(u8::is_ascii_digit);
    if !well_formed {
        return None;
    }
    text(digits)?.parse().ok()
}
