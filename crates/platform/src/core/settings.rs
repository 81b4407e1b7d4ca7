//! The settings that do not change while the host runs.

use gullsail_scheduler_api::{Idempotency, RequestClassId, SchedulerConfig};
use gullsail_scheduler_settings::{Names, Reach};

/// What the settings document says of requests, nodes and connections.
pub(super) struct Settings {
    /// Names of zones, plans and request classes.
    pub(super) names: Names,
    /// The configuration of the scheduler.
    pub(super) config: SchedulerConfig,
    /// What concerns connections and messages.
    pub(super) reach: Reach,
}

impl Settings {
    pub(super) fn idempotency(&self, request_class: RequestClassId) -> Idempotency {
        self.config.request_classes[request_class.0].idempotency
    }
}
