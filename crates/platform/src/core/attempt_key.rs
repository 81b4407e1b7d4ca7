//! The key of an attempt, unique on its host.

use gullsail_scheduler_api::RequestId;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    /// Counts the attempts of the request, from 0.
    pub(super) number: u32,
}
