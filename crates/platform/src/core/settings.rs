//! Settings that stay the same until the host restarts.

use gullsail_scheduler_api::{Idempotency, RequestClassId, SchedulerConfig};
use gullsail_scheduler_settings::{ConnectionSettings, Names};

/// Settings for requests, the scheduler and connections, from the settings document.
pub(super) struct Settings {
    /// Maps the names of zones, plans and request classes to their ids.
    pub(super) names: Names,
    /// The configuration of the scheduler.
    pub(super) config: SchedulerConfig,
    /// Settings for connections to nodes and for the validation of requests.
    pub(super) connection_settings: ConnectionSettings,
}

impl Settings {
    /// Whether requests of this class may be repeated, and under which conditions.
    pub(super) fn idempotency(&self, request_class: RequestClassId) -> Idempotency {
        self.config.request_classes[request_class.0].idempotency
    }
}
