//! A budget in bytes for frames that were read and wait to be handled, shared by connections.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A budget in bytes for frames that were read and wait to be handled. A queue that is bounded by the number of
/// frames alone could fill with the largest bodies. Whoever handles a frame gives its bytes back.
#[derive(Clone, Debug)]
pub struct ReadBudget {
    permits: Arc<Semaphore>,
    total_bytes: usize,
    partial: Option<PartialFrames>,
}

/// The budget for large frames of which a part was received.
#[derive(Clone, Debug)]
struct PartialFrames {
    permits: Arc<Semaphore>,
    /// A connection on which such a frame makes no progress for this long is closed.
    stall_limit: Duration,
}

impl ReadBudget {
    /// A budget of this many bytes. A frame that is larger takes all of it.
    pub fn new(total_bytes: usize) -> ReadBudget {
        let total_bytes = total_bytes.clamp(1, u32::MAX as usize);
        ReadBudget {
            permits: Arc::new(Semaphore::new(total_bytes)),
            total_bytes,
            partial: None,
        }
    }

    /// The budget for connections that others open. It shares this budget and has as many bytes again for
    /// frames longer than [`gullsail_protocol::MAX_RESERVED_BYTES`] of which a part was received. Each of these takes its
    /// whole length before more of it is read, so that many slow senders cannot fill the memory. A connection
    /// that makes no progress within such a frame for `stall_limit` is closed.
    pub fn for_incoming(&self, stall_limit: Duration) -> ReadBudget {
        let permits = Arc::new(Semaphore::new(self.total_bytes));
        ReadBudget {
            partial: Some(PartialFrames {
                permits,
                stall_limit,
            }),
            ..self.clone()
        }
    }

    /// The bytes that a frame takes of the budget.
    fn charge(&self, bytes: usize) -> u32 {
        bytes.min(self.total_bytes) as u32
    }

    /// Waits until the budget has room for a frame, and takes its bytes.
    pub(crate) async fn take(&self, bytes: usize) {
        // The semaphore is never closed.
        if let Ok(taken) = self.permits.acquire_many(self.charge(bytes)).await {
            taken.forget();
        }
    }

    /// Whether frames of which a part was received take bytes too.
    pub(crate) fn bounds_partial_frames(&self) -> bool {
        self.partial.is_some()
    }

    /// Takes the bytes of a frame of which a part was received, until the permit is dropped.
    pub(crate) async fn take_partial(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let partial = self.partial.as_ref()?;
        // The semaphore is never closed.
        partial
            .permits
            .clone()
            .acquire_many_owned(self.charge(bytes))
            .await
            .ok()
    }

    /// How long a frame of which a part was received may make no progress.
    pub(crate) fn stall_limit(&self) -> Option<Duration> {
        self.partial.as_ref().map(|partial| partial.stall_limit)
    }

    /// Gives the bytes of a frame back that was handled.
    pub fn give_back(&self, bytes: usize) {
        self.permits.add_permits(self.charge(bytes) as usize);
    }

    /// The bytes that are free now.
    pub fn free_bytes(&self) -> usize {
        self.permits.available_permits()
    }
}
