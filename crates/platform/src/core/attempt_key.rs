//! What names an attempt among all of a host.

use gullsail_scheduler_api::RequestId;

/// A request, and the number of the attempt within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) number: u32,
}
