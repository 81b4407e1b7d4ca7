//! A client of a host on the project's own protocol, with blocking sockets.

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
    /// Connects and introduces itself. Reading gives up after `patience`.
    ///
    /// # Errors
    /// The host is not there.
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
    /// It is not written whole.
    pub fn send(&mut self, message: impl Into<Frame>) -> std::io::Result<()> {
        let mut bytes = BytesMut::new();
        message.into().encode_head(&mut bytes);
        self.stream.write_all(&bytes)
    }

    /// Sends a read that waits so long for its answer.
    ///
    /// # Errors
    /// It is not written whole.
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

    /// The next frame; `None`: the connection ended, or nothing came in time.
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
