//! Room in bytes for frames that were read and wait to be handled, shared by connections.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Room in bytes for frames that were read and wait to be handled: a queue that is bounded by the number of
/// frames alone would hold as many of the largest bodies. Whoever handles a frame gives its room back.
#[derive(Clone, Debug)]
pub struct Room {
    free: Arc<Semaphore>,
    all: usize,
    partial: Option<PartialFrames>,
}

/// Room for large frames of which a part has come.
#[derive(Clone, Debug)]
struct PartialFrames {
    free: Arc<Semaphore>,
    /// A connection on which such a frame makes no progress for so long is closed.
    stall_limit: Duration,
}

impl Room {
    /// In bytes. A frame larger than all of it takes all of it.
    pub fn new(all: usize) -> Room {
        let all = all.clamp(1, u32::MAX as usize);
        Room {
            free: Arc::new(Semaphore::new(all)),
            all,
            partial: None,
        }
    }

    /// For connections that others open: as much room again for frames beyond [`gullsail_protocol::AHEAD`]
    /// that are still coming, each of which takes its whole length before more of it is read. A connection
    /// that makes no progress within such a frame for `stall_limit` is closed.
    pub fn of_strangers(&self, stall_limit: Duration) -> Room {
        let free = Arc::new(Semaphore::new(self.all));
        Room {
            partial: Some(PartialFrames { free, stall_limit }),
            ..self.clone()
        }
    }

    fn share(&self, bytes: usize) -> u32 {
        bytes.min(self.all) as u32
    }

    pub(crate) async fn take(&self, bytes: usize) {
        // The semaphore is never closed.
        if let Ok(taken) = self.free.acquire_many(self.share(bytes)).await {
            taken.forget();
        }
    }

    /// Whether frames of which a part has come need room too.
    pub(crate) fn bounds_partial_frames(&self) -> bool {
        self.partial.is_some()
    }

    /// Room for a frame of which a part has come, until the permit is dropped.
    pub(crate) async fn take_partial(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let partial = self.partial.as_ref()?;
        // The semaphore is never closed.
        partial
            .free
            .clone()
            .acquire_many_owned(self.share(bytes))
            .await
            .ok()
    }

    /// How long a frame of which a part has come may make no progress.
    pub(crate) fn stall_limit(&self) -> Option<Duration> {
        self.partial.as_ref().map(|partial| partial.stall_limit)
    }

    /// A frame of so many bytes is handled.
    pub fn give_back(&self, bytes: usize) {
        self.free.add_permits(self.share(bytes) as usize);
    }

    /// What is free now, in bytes.
    pub fn free(&self) -> usize {
        self.free.available_permits()
    }
}
