//! Just enough HTTP/1.1 for clients, nodes and discovery: a message with a head and a body of a stated length.

use std::io::{self, Read};
use std::net::TcpStream;

/// One message. Names of fields are in lower case.
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status code of a response.
    pub fn status(&self) -> Option<u16> {
        self.first_line.split(' ').nth(1)?.parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads messages from a stream and keeps what was read beyond the present one.
pub struct Reader {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            unread: Vec::new(),
        }
    }

    /// The next message; `None` if the stream ended before its first byte.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = find(&self.unread, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.more()? {
                if self.unread.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.unread.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_string();
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
            .collect();
        let length = fields.iter().find(|(name, _)| name == "content-length");
        let length = length
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0);
        while self.unread.len() < length {
            if !self.more()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let body = self.unread.drain(..length).collect();
        Ok(Some(Message {
            first_line,
            fields,
            body,
        }))
    }

    fn more(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16 << 10];
        let length = self.stream.read(&mut buffer)?;
        self.unread.extend_from_slice(&buffer[..length]);
        Ok(length > 0)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
