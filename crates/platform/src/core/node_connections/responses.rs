//! What is received on connections to nodes, and the reports on what was written there.

use super::super::Core;
use super::super::attempt_key::AttemptKey;
use super::super::attempts::AttemptProgress;
use super::super::io::ConnectionId;
use super::ConnectionState;
use gullsail_http::{Found, Message, Start};
use gullsail_scheduler_api::AttemptOutcome;
use tracing::debug;

impl Core {
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
        attempt.progress = AttemptProgress::Written { conn, at: self.now };
        self.metrics.attempts_sent += 1;
        if early_input {
            // To which message a response behind the earlier input belongs can't be known.
            self.close_node_connection(conn);
            self.end_attempt(key, AttemptOutcome::Failed, None);
        }
    }

    pub(in super::super) fn node_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.nodes.connections.get_mut(&conn) else {
            return;
        };
        connection.bytes_received += bytes.len() as u64;
        let ConnectionState::Busy(key) = connection.state else {
            // No request is open on it: whatever this is, a response behind it would be taken for another's.
            self.metrics.unsolicited_input += 1;
            return self.close_node_connection(conn);
        };
        if self
            .attempts
            .get(&key)
            .is_some_and(|a| a.progress == AttemptProgress::Writing(conn))
        {
            // It was read before the message was written, so it is no response to it, nor the beginning of
            // one. Whether the message was written is for the connection's task to say, and it says so next.
            self.metrics.unsolicited_input += 1;
            connection.early_input = true;
            return;
        }
        connection.decoder.feed(bytes);
        match connection.decoder.take() {
            Ok(None) => {}
            Ok(Some(message)) => self.handle_response(conn, key, &message),
            Err(fault) => {
                *self
                    .metrics
                    .malformed_responses
                    .entry(fault.to_string())
                    .or_default() += 1;
                debug!(conn = conn.0, %fault, "an answer that cannot be read");
                self.close_node_connection(conn);
                self.end_attempt(key, AttemptOutcome::Failed, None);
            }
        }
    }

    fn handle_response(&mut self, conn: ConnectionId, key: AttemptKey, message: &Message) {
        let Start::Response { status } = message.start else {
            return;
        };
        let Some(connection) = self.nodes.connections.get(&conn) else {
            return;
        };
        let node = connection.node;
        let established_at = connection.established_at;
        let has_more_input = !connection.decoder.is_empty();
        let reusable = !has_more_input && !connection.stale && message.keep_alive;
        let progress = self.attempts.get(&key).map(|attempt| attempt.progress);
        let Some(AttemptProgress::Written { at: written_at, .. }) = progress else {
            return;
        };
        let never_ran = message.field("X-Never-Ran") == Found::One(b"1");
        let outcome = match status {
            200 => AttemptOutcome::Succeeded,
            503 | 504 if never_ran => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Failed,
        };
        self.node_alive(node, established_at, Some(written_at));
        if outcome == AttemptOutcome::Succeeded {
            self.succeed(key.request, &message.body);
        }
        self.metrics.unsolicited_input += u64::from(has_more_input);
        if reusable {
            self.connection_free(conn, node);
        } else {
            self.close_node_connection(conn);
        }
        self.end_attempt(key, outcome, used_fraction(message));
    }
}

/// What all hosts together used of the volume's usual rate, as a fraction; a malformed header is ignored.
fn used_fraction(message: &Message) -> Option<f64> {
    let Found::One(digits) = message.field("X-Meter") else {
        return None;
    };
    let well_formed =
        !digits.is_empty() && digits.len() <= 6 && digits.iter().all(u8::is_ascii_digit);
    let percent: f64 = std::str::from_utf8(digits)
        .ok()
        .filter(|_| well_formed)?
        .parse()
        .ok()?;
    Some(percent / 100.0)
}
