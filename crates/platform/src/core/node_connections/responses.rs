//! Handles bytes received from nodes, and the runtime's reports that messages to nodes are written.

use super::super::Core;
use super::super::attempt_key::AttemptKey;
use super::super::attempts::AttemptProgress;
use super::super::io::ConnectionId;
use super::connection::ConnectionState;
use gullsail_http::{Fault, Found, Message, StartLine};
use gullsail_scheduler_api::AttemptOutcome;
use tracing::debug;

impl Core {
    /// Records that the message of an attempt is written. If the node sent bytes before that, the attempt fails.
    pub(in super::super) fn node_written(&mut self, conn: ConnectionId) {
        let Some(connection) = self.nodes.connections.get(&conn) else {
            return;
        };
        let ConnectionState::Busy(key) = connection.state else {
            return;
        };
        let early_input = connection.early_input;
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if attempt.progress != AttemptProgress::Writing(conn) {
            return;
        }
        attempt.progress = AttemptProgress::Written {
            conn,
            at: self.context.now,
        };
        self.context.metrics.attempts_sent += 1;
        if early_input {
            // The host cannot tell whether input that follows the early input is the response to this message.
            self.nodes.close(conn, &mut self.context);
            self.end_attempt(key, AttemptOutcome::Failed, None);
        }
    }

    pub(in super::super) fn node_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.nodes.connections.get_mut(&conn) else {
            return;
        };
        connection.bytes_received += bytes.len() as u64;
        let ConnectionState::Busy(key) = connection.state else {
            // No attempt uses the connection. If it were reused, this input would be taken for the response to the next
            // message.
            self.context.metrics.unsolicited_input += 1;
            debug!(
                conn = conn.0,
                node = connection.node.0,
                idle_ms = (self.context.now - connection.idle_since).millis(),
                "unsolicited node input, connection closed"
            );
            return self.nodes.close(conn, &mut self.context);
        };
        let being_written = self
            .attempts
            .get(&key)
            .is_some_and(|attempt| attempt.progress == AttemptProgress::Writing(conn));
        if being_written {
            // The input was read before the message was written, so it is not part of the response. The connection's
            // task reports next whether it wrote the message.
            self.context.metrics.unsolicited_input += 1;
            connection.early_input = true;
            return;
        }
        connection.decoder.feed(bytes);
        match connection.decoder.take() {
            Ok(None) => {}
            Ok(Some(message)) => self.handle_response(conn, key, &message),
            Err(fault) => self.handle_malformed_response(conn, key, fault),
        }
    }

    fn handle_malformed_response(&mut self, conn: ConnectionId, key: AttemptKey, fault: Fault) {
        *self
            .context
            .metrics
            .malformed_responses
            .entry(fault.to_string())
            .or_default() += 1;
        let node = self
            .nodes
            .connections
            .get(&conn)
            .map(|connection| connection.node.0);
        debug!(
            node,
            request = key.request.0,
            attempt = key.number,
            %fault,
            "malformed node response, connection closed"
        );
        self.nodes.close(conn, &mut self.context);
        self.end_attempt(key, AttemptOutcome::Failed, None);
    }

    fn handle_response(&mut self, conn: ConnectionId, key: AttemptKey, message: &Message) {
        let StartLine::Response { status } = message.start else {
            return;
        };
        let Some(connection) = self.nodes.connections.get(&conn) else {
            return;
        };
        let progress = self.attempts.get(&key).map(|attempt| attempt.progress);
        let Some(AttemptProgress::Written { at: written_at, .. }) = progress else {
            return;
        };
        let node = connection.node;
        let established_at = connection.established_at;
        let has_more_input = !connection.decoder.is_empty();
        let reusable = !has_more_input && !connection.stale && message.keep_alive;
        let outcome = outcome_of(status, message);
        debug!(
            conn = conn.0,
            node = node.0,
            request = key.request.0,
            attempt = key.number,
            status,
            ms_since_written = (self.context.now - written_at).millis(),
            reusable,
            "node response"
        );
        self.nodes
            .node_alive(node, established_at, Some(written_at), &mut self.context);
        if outcome == AttemptOutcome::Succeeded {
            self.succeed(key.request, message.body.clone());
        }
        self.context.metrics.unsolicited_input += u64::from(has_more_input);
        if reusable {
            self.nodes.answered(conn, &mut self.context);
        } else {
            self.nodes.close(conn, &mut self.context);
        }
        self.end_attempt(key, outcome, used_fraction(message));
    }
}

/// The outcome of an attempt whose response has this status.
fn outcome_of(status: u16, message: &Message) -> AttemptOutcome {
    let never_ran = message.field("X-Never-Ran") == Found::One(b"1");
    match status {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if never_ran => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

/// How much of the nominal rate of the volume all hosts together use, as a fraction, from the response header
/// `X-Meter`, which states it in percent. `None` if the header is missing or malformed.
fn used_fraction(message: &Message) -> Option<f64> {
    let Found::One(digits) = message.field("X-Meter") else {
        return None;
    };
    let well_formed =
        !digits.is_empty() && digits.len() <= 6 && digits.iter().all(u8::is_ascii_digit);
    if !well_formed {
        return None;
    }
    let percent: f64 = std::str::from_utf8(digits).ok()?.parse().ok()?;
    Some(percent / 100.0)
}
