//! Translates the scheduler's actions to messages of the bench's protocol.

use crate::events::Names;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use gullsail_scheduler_api::{Action, Span};
use serde_json::{Value, json};

/// The message for an action of an instance; `None`: the protocol has none for it.
pub fn translate(host: u64, action: Action, names: &Names) -> Option<Value> {
    Some(match action {
        // The bench's settings have no cross-zone budgets.
        Action::BudgetOverrun { .. } => return None,
        // The bench's host sends at once.
        Action::StartAttempt {
            id, node, time_out, ..
        } => json!({
            "type": "PassOn", "host": host, "id": id.0, "node": names.node(node),
            "give-up-after": time_out.map(Span::millis),
        }),
        Action::Reject { id, retry_after } => json!({
            "type": "NotNow", "host": host, "id": id.0, "retry-after": retry_after.map(Span::millis),
        }),
        Action::Fail { id } => json!({ "type": "Surrender", "host": host, "id": id.0 }),
        Action::WatchEndpoints => json!({ "type": "StreamChanges", "host": host, "enable": true }),
        Action::SetTimer { id, at } => {
            json!({ "type": "Defer", "host": host, "due-at": at.millis(), "name": id.0 })
        }
        Action::SendToPeer { to, bytes } => {
            json!({ "type": "Post", "host": host, "whom": to.0, "octets": BASE64.encode(bytes) })
        }
    })
}
