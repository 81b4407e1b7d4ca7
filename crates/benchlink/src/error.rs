//! Errors of the adapter.

use std::fmt::{self, Display, Formatter};

/// An error of input, output or an event; the program prints it and exits.
#[derive(Debug)]
pub enum AdapterError {
    /// Standard input failed.
    Input(std::io::Error),
    /// Standard output failed.
    Output(std::io::Error),
    /// A line is not a batch of events.
    MalformedLine(serde_json::Error),
    /// The settings of an instance are invalid, with the reason.
    Settings(String),
    /// An event refers to an endpoint list that was not received.
    Page(u64),
    /// An endpoint list has an unknown kind.
    Mode(String),
    /// An attempt has an unknown outcome.
    StateCode(String),
    /// A peer message is not valid base64.
    Base64(base64::DecodeError),
}

impl Display for AdapterError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Input(error) => write!(formatter, "cannot read standard input: {error}"),
            AdapterError::Output(error) => {
                write!(formatter, "cannot write to standard output: {error}")
            }
            AdapterError::MalformedLine(error) => write!(formatter, "malformed line: {error}"),
            AdapterError::Settings(reason) => formatter.write_str(reason),
            AdapterError::Page(table) => write!(
                formatter,
                "endpoint list {table} was not received before the event that refers to it"
            ),
            AdapterError::Mode(mode) => write!(
                formatter,
                "unknown mode '{mode}', expected 'lost', 'incr', 'total' or 'warm_copy'"
            ),
            AdapterError::StateCode(code) => write!(formatter, "unknown state-code '{code}'"),
            AdapterError::Base64(error) => write!(formatter, "octets are not base64: {error}"),
        }
    }
}

impl std::error::Error for AdapterError {}

impl From<serde_json::Error> for AdapterError {
    fn from(error: serde_json::Error) -> AdapterError {
        AdapterError::MalformedLine(error)
    }
}

impl From<base64::DecodeError> for AdapterError {
    fn from(error: base64::DecodeError) -> AdapterError {
        AdapterError::Base64(error)
    }
}
