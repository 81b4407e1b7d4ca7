//! Responses to clients. After each, the next message on the connection is served or the connection is closed.

use super::super::Core;
use super::super::io::{ConnectionId, Output};
use super::super::request_error::{HttpStatus, RequestError};
use super::client::ClientState;
use bytes::Bytes;
use gullsail_http::Encoder;
use gullsail_scheduler_api::{RequestId, Span};

impl Core {
    /// Writes a response on a connection and then keeps it open or closes it; `encode_rest` adds what follows
    /// the `Connection` header. A connection that is being written to or closed gets none.
    pub(super) fn write_response(
        &mut self,
        conn: ConnectionId,
        status: HttpStatus,
        keep_alive: bool,
        encode_rest: impl FnOnce(Encoder) -> Bytes,
    ) {
        let over_limit = self.clients.exceeds_soft_limit(0) && self.clients.must_evict(0);
        let Some(client) = self.clients.get_mut(conn) else {
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
        let bytes = encode_rest(encoder);
        self.context.outputs.push(Output::Respond { conn, bytes });
        client.since = self.context.now;
        client.messages_answered += 1;
        if keep_alive {
            client.state = ClientState::Responding;
        } else {
            self.clients.finish(conn, &mut self.context);
        }
    }

    /// Answers a message that is no request, or that the host does not accept now.
    pub(super) fn respond_invalid(
        &mut self,
        conn: ConnectionId,
        error: RequestError,
        keep_alive: bool,
    ) {
        *self
            .context
            .metrics
            .invalid_requests
            .entry(error)
            .or_default() += 1;
        self.write_response(conn, error.status(), keep_alive, |encoder| {
            encoder
                .field("Content-Type", b"text/plain")
                .body(error.expected().as_bytes())
        });
    }

    /// Gives a request its one response. Returns whether its client still waited for it.
    fn respond_to_request(
        &mut self,
        id: RequestId,
        status: HttpStatus,
        encode_rest: impl FnOnce(Encoder) -> Bytes,
    ) -> bool {
        let Some(conn) = self.requests.take_client(id) else {
            return false;
        };
        let keep_alive = match self.clients.get(conn).map(|client| &client.state) {
            Some(ClientState::Busy {
                request,
                keep_alive,
            }) if *request == id => *keep_alive,
            _ => return false,
        };
        self.write_response(conn, status, keep_alive, encode_rest);
        true
    }

    /// 200 with the body of the node's response.
    pub(in super::super) fn succeed(&mut self, id: RequestId, body: &[u8]) {
        let answered = self.respond_to_request(id, HttpStatus::OK, |encoder| encoder.body(body));
        self.context.metrics.requests_succeeded += u64::from(answered);
    }

    /// 503, with `Retry-After` where the scheduler states a time.
    pub(in super::super) fn reject(&mut self, id: RequestId, retry_after: Option<Span>) {
        let answered =
            self.respond_to_request(id, HttpStatus::UNAVAILABLE, |encoder| match retry_after {
                Some(delay) => encoder
                    .number("Retry-After", format_args!("{:.3}", delay.secs()))
                    .body(b""),
                None => encoder.body(b""),
            });
        self.context.metrics.requests_rejected += u64::from(answered);
    }

    /// 500.
    pub(in super::super) fn fail(&mut self, id: RequestId) {
        let answered =
            self.respond_to_request(id, HttpStatus::INTERNAL_ERROR, |encoder| encoder.body(b""));
        self.context.metrics.requests_failed += u64::from(answered);
    }
}
