//! Responses to clients. After a response the host serves the next message on the connection or closes it.

use super::super::Core;
use super::super::io::{ConnectionId, Output};
use super::super::request_error::{HttpStatus, RequestError};
use super::client::ClientState;
use bytes::Bytes;
use gullsail_http::{EncodedMessage, Encoder};
use gullsail_scheduler_api::{RequestId, Span};

/// A response, encoded with and without the announcement that the connection is closed after it.
struct EncodedResponse {
    /// The response without `Connection: close`, for a connection that stays open.
    keep_open: EncodedMessage,
    /// The response with `Connection: close`, for the last one of a connection.
    last: EncodedMessage,
}

impl Core {
    /// Writes a response on a connection, and closes the connection if the client does not keep it alive or the host
    /// has to close it. `encode_rest` encodes the part of the response behind the `Connection` header. Nothing is
    /// written if another response is being written or the connection is being closed.
    ///
    /// `keep_alive`: the client may send further messages. Messages that it has sent by then are answered too, and only
    /// the last response announces the close.
    pub(super) fn write_response(
        &mut self,
        conn: ConnectionId,
        status: HttpStatus,
        keep_alive: bool,
        encode_rest: impl Fn(Encoder) -> EncodedMessage,
    ) {
        let encoder = || Encoder::response(status.code, status.reason);
        let keep_open = encode_rest(encoder());
        let last = encode_rest(encoder().field("Connection", b"close"));
        self.write_encoded(conn, keep_alive, EncodedResponse { keep_open, last });
    }

    fn write_encoded(&mut self, conn: ConnectionId, keep_alive: bool, response: EncodedResponse) {
        let over_limit = self.clients.exceeds_soft_limit(0) && self.clients.must_evict(0);
        let must_close = over_limit || !self.shutdown.accepts_requests();
        let Some(client) = self.clients.get_mut(conn) else {
            return;
        };
        if !matches!(
            client.state,
            ClientState::Reading | ClientState::Busy { .. }
        ) {
            return;
        }
        client.since = self.context.now;
        client.messages_answered += 1;
        let discarding = matches!(&client.overflow, Some(overflow) if overflow.discarding);
        let refusals_wait = matches!(&client.overflow, Some(overflow) if overflow.refused > 0);
        let more_received = refusals_wait || !client.decoder.is_empty();
        if !keep_alive || (discarding && !refusals_wait) {
            let bytes = response.last;
            self.context.outputs.push(Output::Respond { conn, bytes });
            self.clients.finish(conn, &mut self.context);
        } else if must_close && !more_received {
            self.context.outputs.push(Output::RespondLast {
                conn,
                bytes: response.last,
                if_more: response.keep_open,
                bytes_handled: client.bytes_received,
            });
            self.clients.mark_responding_last(conn);
        } else {
            client.state = ClientState::Responding;
            let bytes = response.keep_open;
            self.context.outputs.push(Output::Respond { conn, bytes });
        }
    }

    /// Refuses this number of messages that were received too far ahead. Each gets a response; all responses are
    /// written at once.
    pub(super) fn refuse_too_far_ahead(&mut self, conn: ConnectionId, messages: usize) {
        let error = RequestError::TooFarAhead;
        self.count_invalid(error, messages as u64);
        let encoder = || Encoder::response(error.status().code, error.status().reason);
        let keep_open = encode_invalid(encoder(), error).to_vec();
        let last = encode_invalid(encoder().field("Connection", b"close"), error).to_vec();
        let earlier_responses = keep_open.repeat(messages - 1);
        let response = EncodedResponse {
            keep_open: Bytes::from([&earlier_responses[..], &keep_open].concat()).into(),
            last: Bytes::from([&earlier_responses[..], &last].concat()).into(),
        };
        self.write_encoded(conn, true, response);
    }

    /// Refuses a message that is not a valid request, or that the host does not accept now.
    pub(super) fn respond_invalid(
        &mut self,
        conn: ConnectionId,
        error: RequestError,
        keep_alive: bool,
    ) {
        self.count_invalid(error, 1);
        self.write_response(conn, error.status(), keep_alive, |encoder| {
            encode_invalid(encoder, error)
        });
    }

    fn count_invalid(&mut self, error: RequestError, messages: u64) {
        let counts = &mut self.context.metrics.invalid_requests;
        *counts.entry(error).or_default() += messages;
    }

    /// Answers a request unless it was answered before. Returns whether a response was written: `false` if the client
    /// has disconnected.
    fn respond_to_request(
        &mut self,
        id: RequestId,
        status: HttpStatus,
        encode_rest: impl Fn(Encoder) -> EncodedMessage,
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

    /// Answers a request with 200 and the body of the node's response.
    pub(in super::super) fn succeed(&mut self, id: RequestId, body: Bytes) {
        let answered =
            self.respond_to_request(id, HttpStatus::OK, |encoder| encoder.body(body.clone()));
        self.context.metrics.requests_succeeded += u64::from(answered);
    }

    /// Answers a request with 503, and with `Retry-After` if the scheduler states a delay.
    pub(in super::super) fn reject(&mut self, id: RequestId, retry_after: Option<Span>) {
        let answered =
            self.respond_to_request(id, HttpStatus::UNAVAILABLE, |encoder| match retry_after {
                Some(delay) => encoder
                    .number("Retry-After", format_args!("{:.3}", delay.secs()))
                    .body(Bytes::new()),
                None => encoder.body(Bytes::new()),
            });
        self.context.metrics.requests_rejected += u64::from(answered);
    }

    /// Answers a request with 500.
    pub(in super::super) fn fail(&mut self, id: RequestId) {
        let answered = self.respond_to_request(id, HttpStatus::INTERNAL_ERROR, |encoder| {
            encoder.body(Bytes::new())
        });
        self.context.metrics.requests_failed += u64::from(answered);
    }
}

/// Encodes the part of a refusal that follows the `Connection` header.
fn encode_invalid(mut encoder: Encoder, error: RequestError) -> EncodedMessage {
    if error.states_never_ran() {
        encoder = encoder.field("X-Never-Ran", b"1");
    }
    encoder
        .field("Content-Type", b"text/plain")
        .body(Bytes::from_static(error.expected().as_bytes()))
}
