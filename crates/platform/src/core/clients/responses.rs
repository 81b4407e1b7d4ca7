//! Responses to clients, each followed by the next message on the connection or by its end.

use super::super::io::{ConnectionId, Output};
use super::super::request_error::{HttpStatus, RequestError};
use super::super::{BOUNDS, Core};
use super::ClientState;
use bytes::Bytes;
use gullsail_http::{Decoder, Encoder};
use gullsail_scheduler_api::{RequestId, Span};

impl Core {
    /// Answers on a connection that then goes on, or is finished.
    pub(super) fn reply(
        &mut self,
        conn: ConnectionId,
        status: HttpStatus,
        keep_alive: bool,
        encode_rest: impl FnOnce(Encoder) -> Bytes,
    ) {
        let now = self.now;
        let soft_limit = self.clients.soft_limit;
        let over_limit = self.clients.len() > soft_limit && self.clients.staying() > soft_limit;
        let Some(client) = self.clients.entries.get_mut(&conn) else {
            return;
        };
        if !matches!(
            client.state,
            ClientState::Reading | ClientState::Busy { .. }
        ) {
            return;
        }
        let keep_alive =
            keep_alive && !over_limit && !client.input_overflow && self.shutdown.accepts_requests();
        let mut encoder = Encoder::response(status.code, status.reason);
        if !keep_alive {
            encoder = encoder.field("Connection", b"close");
        }
        self.outputs.push(Output::Respond {
            conn,
            bytes: encode_rest(encoder),
        });
        client.since = now;
        client.messages_answered += 1;
        if keep_alive {
            client.state = ClientState::Responding;
        } else {
            self.finish_client(conn);
        }
    }

    /// The message on the connection is no request, or cannot become one now.
    pub(super) fn refuse(&mut self, conn: ConnectionId, why: RequestError, keep_alive: bool) {
        *self.metrics.invalid_requests.entry(why).or_default() += 1;
        self.reply(conn, why.status(), keep_alive, |encoder| {
            encoder
                .field("Content-Type", b"text/plain")
                .body(why.expected().as_bytes())
        });
    }

    fn finish_client(&mut self, conn: ConnectionId) {
        let Some(client) = self.clients.entries.get_mut(&conn) else {
            return;
        };
        self.clients.buffered_bytes -= client.decoder.buffered_bytes();
        client.state = ClientState::Finishing;
        client.decoder = Decoder::requests(BOUNDS);
        self.outputs.push(Output::FinishAndClose { conn });
    }

    /// Gives a request its response. Says whether its client still waited.
    fn respond(
        &mut self,
        id: RequestId,
        status: HttpStatus,
        encode_rest: impl FnOnce(Encoder) -> Bytes,
    ) -> bool {
        let Some(conn) = self.requests.take_client(id) else {
            return false;
        };
        let keep_alive = match self.clients.entries.get(&conn).map(|client| &client.state) {
            Some(ClientState::Busy {
                request,
                keep_alive,
            }) if *request == id => *keep_alive,
            _ => return false,
        };
        self.reply(conn, status, keep_alive, encode_rest);
        true
    }

    pub(in super::super) fn succeed(&mut self, id: RequestId, body: &[u8]) {
        let answered = self.respond(id, HttpStatus::OK, |encoder| encoder.body(body));
        self.metrics.succeeded += u64::from(answered);
    }

    pub(in super::super) fn reject(&mut self, id: RequestId, retry_after: Option<Span>) {
        let answered = self.respond(id, HttpStatus::UNAVAILABLE, |encoder| match retry_after {
            Some(wait) => encoder
                .number("Retry-After", format_args!("{:.3}", wait.secs()))
                .body(b""),
            None => encoder.body(b""),
        });
        self.metrics.rejected += u64::from(answered);
    }

    pub(in super::super) fn fail(&mut self, id: RequestId) {
        let answered = self.respond(id, HttpStatus::INTERNAL_ERROR, |encoder| encoder.body(b""));
        self.metrics.failed += u64::from(answered);
    }
}
