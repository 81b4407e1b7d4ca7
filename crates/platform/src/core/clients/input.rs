//! Handles input on client connections, and their end.

use super::super::Core;
use super::super::io::ConnectionId;
use super::super::request_error::{HttpStatus, RequestError};
use super::super::request_parser;
use super::super::shutdown::Shutdown;
use super::client::ClientState;
use super::table::ReceivedMessage;
use bytes::Bytes;
use gullsail_http::{Fault, Message, StartLine};
use gullsail_scheduler_api::{Event, Idempotency, Span};

impl Core {
    pub(in super::super) fn client_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        if !self.clients.buffer(conn, bytes, &mut self.context) {
            return;
        }
        self.read_messages(conn);
        // Usual clients send a message at once, so the message that has been incomplete for the longest time is
        // refused.
        while self.clients.exceeds_buffer_limit() {
            let Some(slowest) = self.clients.slowest_message() else {
                break;
            };
            self.respond_invalid(slowest, RequestError::OutOfMemory, false);
        }
    }

    /// Continues with the messages received meanwhile: the operating system has accepted the whole response.
    pub(in super::super) fn client_written(&mut self, conn: ConnectionId) {
        if self.clients.response_written(conn, self.context.now) {
            self.read_messages(conn);
        }
    }

    /// Removes the connection. If a request is open on it, reports to the scheduler that the client has disconnected.
    pub(in super::super) fn client_closed(&mut self, conn: ConnectionId) {
        let Some(client) = self.clients.remove(conn) else {
            return;
        };
        if let ClientState::Busy { request, .. } = client.state {
            self.context.metrics.clients_disconnected += 1;
            self.requests.take_client(request);
            self.context
                .scheduler_events
                .push(Event::ClientDisconnected(request));
        }
    }

    /// Handles the buffered messages until one is being answered or none is complete.
    fn read_messages(&mut self, conn: ConnectionId) {
        let refused = self.clients.take_refused(conn);
        if refused > 0 {
            return self.refuse_too_far_ahead(conn, refused);
        }
        loop {
            match self.clients.next_message(conn) {
                Ok(None) => return,
                Ok(Some(received)) => self.handle_message(conn, &received),
                Err(fault) => self.respond_invalid(conn, decode_error(fault), false),
            }
        }
    }

    /// Answers a health check. Opens a request for any other message, or refuses the message.
    fn handle_message(&mut self, conn: ConnectionId, received: &ReceivedMessage) {
        let message = &received.message;
        if is_health_check(message) {
            let status = if self.ready {
                HttpStatus::OK
            } else {
                HttpStatus::INTERNAL_ERROR
            };
            return self.write_response(conn, status, message.keep_alive, |encoder| {
                encoder.body(Bytes::new())
            });
        }
        let waited = received
            .received_at
            .map_or(Span::ZERO, |at| self.context.now - at);
        if let Err(error) = self.open_request(conn, message, waited) {
            self.respond_invalid(conn, error, message.keep_alive);
        }
    }

    /// Passes the request to the scheduler, or returns why it is not accepted. `waited` is the time for which it was
    /// buffered behind another request; its deadline is reduced by it.
    fn open_request(
        &mut self,
        conn: ConnectionId,
        message: &Message,
        waited: Span,
    ) -> Result<(), RequestError> {
        let settings = &self.settings;
        let mut parsed = request_parser::parse(
            message,
            &settings.names,
            &settings.config,
            &settings.connection_settings,
        )?;
        // The scheduler rejects a request without time left at once.
        parsed.request.timeout = (parsed.request.timeout - waited).max(Span::ZERO);
        if self.shutdown == Shutdown::Flushing {
            return Err(RequestError::ShuttingDown);
        }
        let idempotency = settings.idempotency(parsed.request.request_class);
        let now = self.context.now;
        if !self.requests.may_open(&parsed, idempotency, now) {
            return Err(RequestError::DuplicateTraceId);
        }
        let keeps_id = idempotency != Idempotency::Idempotent;
        let request = self
            .requests
            .insert(conn, parsed, keeps_id, now)
            .ok_or(RequestError::OutOfMemory)?;
        self.context.metrics.requests_accepted += 1;
        self.clients
            .request_opened(conn, request.id, message.keep_alive);
        self.context
            .scheduler_events
            .push(Event::RequestArrived(request));
        Ok(())
    }
}

fn decode_error(fault: Fault) -> RequestError {
    match fault {
        Fault::HeadTooLong | Fault::TooManyHeaders => RequestError::HeadTooLong,
        Fault::BodyTooLong => RequestError::BodyTooLong,
        Fault::Malformed
        | Fault::Version
        | Fault::ConflictingFraming
        | Fault::InvalidLength
        | Fault::TransferCoding
        | Fault::Chunk
        | Fault::MissingLength
        | Fault::TooManyInterimResponses => RequestError::Malformed,
    }
}

fn is_health_check(message: &Message) -> bool {
    match &message.start {
        StartLine::Request { method, target } => {
            method.as_ref() == b"GET" && target.as_ref() == b"/_health"
        }
        StartLine::Response { .. } => false,
    }
}
