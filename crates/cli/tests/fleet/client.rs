//! A client of a `gullsail host`, on its frame protocol, with blocking sockets.

use bytes::BytesMut;
use gullsail_protocol::{Bounds, Frame, Handle, Hello, Role, Submit, decode};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client's connection to a host.
pub struct Client {
    pub stream: TcpStream,
    received: BytesMut,
}

impl Client {
    /// Connects and sends the client's `Hello`. Each read times out after `patience`.
    ///
    /// # Errors
    /// The host refuses the connection, or it ends at once.
    pub fn connect(address: SocketAddr, patience: Duration) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        let mut client = Client {
            stream,
            received: BytesMut::new(),
        };
        client.send(Hello {
            role: Role::Client as i32,
            name: "c".into(),
            ..Hello::default()
        })?;
        Ok(client)
    }

    /// Sends a message without a body.
    ///
    /// # Errors
    /// The message was not written completely.
    pub fn send(&mut self, message: impl Into<Frame>) -> std::io::Result<()> {
        let mut bytes = BytesMut::new();
        message.into().encode_head(&mut bytes);
        self.stream.write_all(&bytes)
    }

    /// Submits a read request with this timeout.
    ///
    /// # Errors
    /// The request was not written completely.
    pub fn submit(&mut self, id: u64, timeout: Duration) -> std::io::Result<()> {
        self.send(Submit {
            id,
            request_class: "r".into(),
            volume: "v".into(),
            units: 1.0,
            handle: Some(Handle {
                shard: 1,
                object: 3,
            }),
            idempotency_key: format!("mark-{id}"),
            timeout_us: timeout.as_micros() as i64,
            ..Submit::default()
        })
    }

    /// The next frame; `None`: the connection ended, a frame was malformed, or the read timed out.
    pub fn next(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = decode(&mut self.received, Bounds::DEFAULT).ok()? {
                return Some(frame);
            }
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(length) => self.received.extend_from_slice(&chunk[..length]),
            }
        }
    }
}
