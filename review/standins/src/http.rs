//! HTTP/1.1 messages, as far as the stand-ins need them: heads, bodies with `Content-Length`.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A message with its head as text.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn start_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// The value of a header field, or "".
    pub fn field(&self, name: &str) -> &str {
        self.head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'))
            .find(|(field, _)| field.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value.trim())
    }

    pub fn status(&self) -> u16 {
        let code = self.start_line().split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// How reading a message ended.
pub enum Read1 {
    Message(Message),
    /// The other side closed or reset the connection.
    Ended,
    /// The time was over first.
    TimedOut,
}

/// A connection with a buffer for what was read beyond the present message.
pub struct Conn {
    pub stream: TcpStream,
    unread: Vec<u8>,
    /// Bytes read from the connection so far.
    pub bytes_read: u64,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        stream.set_nodelay(true).expect("TCP_NODELAY");
        Conn {
            stream,
            unread: Vec::new(),
            bytes_read: 0,
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one message until `until`. `None`: no limit.
    pub fn read(&mut self, until: Option<Instant>) -> Read1 {
        loop {
            if let Some(message) = self.take() {
                return Read1::Message(message);
            }
            match self.fill(until) {
                Fill::More => {}
                Fill::Ended => return Read1::Ended,
                Fill::TimedOut => return Read1::TimedOut,
            }
        }
    }

    /// Whether a byte arrives until `until`.
    pub fn has_input_by(&mut self, until: Instant) -> bool {
        if !self.unread.is_empty() {
            return true;
        }
        !matches!(self.fill(Some(until)), Fill::TimedOut)
    }

    /// Whether a byte has arrived, without a wait.
    pub fn has_input_now(&mut self) -> bool {
        self.stream.set_nonblocking(true).expect("non-blocking");
        let filled = self.fill(None);
        self.stream.set_nonblocking(false).expect("blocking");
        !self.unread.is_empty() || !matches!(filled, Fill::TimedOut)
    }

    fn fill(&mut self, until: Option<Instant>) -> Fill {
        let left = until.map(|until| until.saturating_duration_since(Instant::now()));
        if left.is_some_and(|left| left.is_zero()) {
            return Fill::TimedOut;
        }
        let left = left.map(|left| left.max(Duration::from_micros(50)));
        self.stream.set_read_timeout(left).expect("read timeout");
        let mut buffer = [0; 16 << 10];
        match self.stream.read(&mut buffer) {
            Ok(0) => Fill::Ended,
            Ok(n) => {
                self.bytes_read += n as u64;
                self.unread.extend_from_slice(&buffer[..n]);
                Fill::More
            }
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Fill::TimedOut,
                io::ErrorKind::Interrupted => Fill::More,
                _ => Fill::Ended,
            },
        }
    }

    fn take(&mut self) -> Option<Message> {
        let end = self.unread.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        let message = Message {
            head,
            body: Vec::new(),
        };
        let length: usize = message.field("Content-Length").parse().unwrap_or(0);
        if self.unread.len() < end + length {
            return None;
        }
        let body = self.unread[end..end + length].to_vec();
        self.unread.drain(..end + length);
        Some(Message { body, ..message })
    }
}

enum Fill {
    More,
    Ended,
    TimedOut,
}

pub fn response(status: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
