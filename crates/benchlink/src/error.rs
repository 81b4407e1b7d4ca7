//! What ends the adapter.

use std::fmt::{self, Display, Formatter};

/// A problem with the input or the output; the program prints it and exits.
#[derive(Debug)]
pub enum AdapterError {
    /// Standard input failed.
    Input(std::io::Error),
    /// Standard output failed.
    Output(std::io::Error),
    /// A line is no batch of events.
    Line(serde_json::Error),
    /// The settings of an instance are invalid, with the reason.
    Settings(String),
    /// An event names a page that did not come.
    Page(u64),
    /// An endpoint list of an unknown kind.
    Mode(String),
    /// An unknown outcome of an attempt.
    StateCode(String),
    /// A peer message is not encoded as it should be.
    Base64(base64::DecodeError),
}

impl Display for AdapterError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Input(e) => write!(f, "cannot read standard input: {e}"),
            AdapterError::Output(e) => write!(f, "cannot reply: {e}"),
            AdapterError::Line(e) => write!(f, "malformed line: {e}"),
            AdapterError::Settings(reason) => f.write_str(reason),
            AdapterError::Page(table) => write!(f, "unknown page {table}"),
            AdapterError::Mode(mode) => write!(f, "unknown mode '{mode}'"),
            AdapterError::StateCode(code) => write!(f, "unknown state-code '{code}'"),
            AdapterError::Base64(e) => write!(f, "octets are not base64: {e}"),
        }
    }
}

impl std::error::Error for AdapterError {}

impl From<serde_json::Error> for AdapterError {
    fn from(e: serde_json::Error) -> AdapterError {
        AdapterError::Line(e)
    }
}

impl From<base64::DecodeError> for AdapterError {
    fn from(e: base64::DecodeError) -> AdapterError {
        AdapterError::Base64(e)
    }
}
