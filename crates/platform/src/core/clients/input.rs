//! What is received on connections of clients: bytes, the reports on what was written, and their end.

use super::super::io::{ConnectionId, Output};
use super::super::request_error::{HttpStatus, RequestError};
use super::super::shutdown::Shutdown;
use super::super::{BOUNDS, Core, request_parser};
use super::ClientState;
use gullsail_http::{Decoder, Fault, Message, Start};
use gullsail_scheduler_api::Event;

/// Bytes that may wait behind an open request. Clients send one message at a time; what is received beyond
/// this is discarded, since the end of the connection stands behind it, and the connection is closed with the
/// open request's response.
const MAX_READ_AHEAD_BYTES: usize = 8 << 10;

impl Core {
    pub(in super::super) fn client_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let now = self.now;
        let Some(client) = self.clients.entries.get_mut(&conn) else {
            return;
        };
        client.bytes_received += bytes.len() as u64;
        match client.state {
            ClientState::Finishing | ClientState::WriteClosed => return,
            ClientState::Busy { .. } | ClientState::Responding
                if client.decoder.buffered_bytes() + bytes.len() > MAX_READ_AHEAD_BYTES =>
            {
                if !client.input_overflow {
                    client.input_overflow = true;
                    self.metrics.input_overflows += 1;
                    self.outputs.push(Output::DiscardInput { conn });
                }
                return;
            }
            ClientState::Reading if client.decoder.is_empty() && client.messages_answered > 0 => {
                client.since = now;
            }
            _ => {}
        }
        client.closing = false;
        let held_before = client.decoder.buffered_bytes();
        client.decoder.feed(bytes);
        self.clients.buffered_bytes += client.decoder.buffered_bytes() - held_before;
        self.read_messages(conn);
        // The connection whose message has taken longest is refused: complete messages of usual clients
        // arrive at once.
        while self.clients.buffered_bytes > self.clients.max_buffered_bytes {
            let Some(slowest) = self.clients.slowest_message() else {
                break;
            };
            self.refuse(slowest, RequestError::OutOfMemory, false);
        }
    }

    /// All of its response is with the operating system: what waited behind it is read.
    pub(in super::super) fn client_written(&mut self, conn: ConnectionId) {
        let now = self.now;
        let Some(client) = self.clients.entries.get_mut(&conn) else {
            return;
        };
        if client.state != ClientState::Responding {
            return;
        }
        client.state = ClientState::Reading;
        client.since = now;
        self.read_messages(conn);
    }

    /// Its last response is written and this side's direction is closed.
    pub(in super::super) fn client_write_closed(&mut self, conn: ConnectionId) {
        let Some(client) = self.clients.entries.get_mut(&conn) else {
            return;
        };
        self.clients.buffered_bytes -= client.decoder.buffered_bytes();
        client.state = ClientState::WriteClosed;
        client.closing = false;
        client.decoder = Decoder::requests(BOUNDS);
    }

    pub(in super::super) fn client_closed(&mut self, conn: ConnectionId) {
        let Some(client) = self.clients.remove(conn) else {
            return;
        };
        if let ClientState::Busy { request, .. } = client.state {
            self.metrics.clients_disconnected += 1;
            self.requests.take_client(request);
            self.events.push(Event::ClientDisconnected(request));
        }
    }

    fn read_messages(&mut self, conn: ConnectionId) {
        while let Some(client) = self.clients.entries.get_mut(&conn)
            && client.state == ClientState::Reading
        {
            let held_before = client.decoder.buffered_bytes();
            let next = client.decoder.take();
            self.clients.buffered_bytes -=
                held_before - client.decoder.buffered_bytes().min(held_before);
            match next {
                Ok(None) => return,
                Ok(Some(message)) => self.handle_message(conn, &message),
                Err(fault) => {
                    let why = match fault {
                        Fault::HeadTooLong | Fault::TooManyHeaders => RequestError::HeadTooLong,
                        Fault::BodyTooLong => RequestError::BodyTooLong,
                        _ => RequestError::Malformed,
                    };
                    self.refuse(conn, why, false);
                }
            }
        }
    }

    fn handle_message(&mut self, conn: ConnectionId, message: &Message) {
        let keep_alive = message.keep_alive;
        if is_health_check(message) {
            let status = if self.ready {
                HttpStatus::OK
            } else {
                HttpStatus::INTERNAL_ERROR
            };
            return self.reply(conn, status, keep_alive, |encoder| encoder.body(b""));
        }
        let parsed = match request_parser::parse(message, &self.names, &self.config, &self.reach) {
            Ok(parsed) => parsed,
            Err(why) => return self.refuse(conn, why, keep_alive),
        };
        if self.shutdown == Shutdown::Flushing {
            return self.refuse(conn, RequestError::ShuttingDown, false);
        }
        if self.requests.contains_trace_id(parsed.trace_id) {
            return self.refuse(conn, RequestError::DuplicateTraceId, keep_alive);
        }
        let Some(request) = self.requests.insert(conn, parsed, self.now) else {
            return self.refuse(conn, RequestError::OutOfMemory, keep_alive);
        };
        self.metrics.requests += 1;
        if let Some(client) = self.clients.entries.get_mut(&conn) {
            client.state = ClientState::Busy {
                request: request.id,
                keep_alive,
            };
        }
        self.events.push(Event::RequestArrived(request));
    }
}

fn is_health_check(message: &Message) -> bool {
    match &message.start {
        Start::Request { method, target } => {
            method.as_ref() == b"GET" && target.as_ref() == b"/_health"
        }
        Start::Response { .. } => false,
    }
}
