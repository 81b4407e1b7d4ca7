//! Wait queues: what waits for a shard's nodes or for a pool, with the timers by which the queues are
//! reviewed. Which request goes next is decided in `dispatch`, not here.

use super::endpoint::index::Destination;
use super::messages::FIRST_QUEUE_TIMER;
use gullsail_scheduler_api::{Instant, RequestClassId, RequestId, TimerId, VolumeId};
use std::collections::{BTreeMap, BTreeSet};

/// Retries wait in queues of their own.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) retries: bool,
    pub(super) destination: Destination,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueGroup {
    pub(super) volume: VolumeId,
    pub(super) request_class: RequestClassId,
}

/// In a group the request with the least time left comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitingRequest {
    pub(super) objective_deadline: Instant,
    pub(super) id: RequestId,
}

#[derive(Default)]
pub(super) struct WaitQueue {
    pub(super) groups: BTreeMap<QueueGroup, BTreeSet<WaitingRequest>>,
    timer: Option<TimerId>,
}

impl WaitQueue {
    /// Those whose objective deadline is not after `until`, group by group.
    pub(super) fn due_by(&self, until: Instant) -> Vec<RequestId> {
        let groups = self.groups.values();
        let due = groups.flat_map(|g| g.iter().take_while(|w| w.objective_deadline <= until));
        due.map(|waiting| waiting.id).collect()
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = RequestId> {
        self.groups.values().flatten().map(|waiting| waiting.id)
    }
}

#[derive(Default)]
pub(super) struct WaitQueues {
    pub(super) by_key: BTreeMap<QueueKey, WaitQueue>,
    pub(super) timers: BTreeMap<TimerId, QueueKey>,
    timers_set: u64,
}

impl WaitQueues {
    pub(super) fn insert(&mut self, key: QueueKey, group: QueueGroup, waiting: WaitingRequest) {
        let queue = self.by_key.entry(key).or_default();
        queue.groups.entry(group).or_default().insert(waiting);
    }

    /// False: there is no such queue.
    pub(super) fn remove(
        &mut self,
        key: QueueKey,
        group: QueueGroup,
        waiting: WaitingRequest,
    ) -> bool {
        let Some(queue) = self.by_key.get_mut(&key) else {
            return false;
        };
        if let Some(members) = queue.groups.get_mut(&group) {
            members.remove(&waiting);
        }
        queue.groups.retain(|_, members| !members.is_empty());
        if queue.groups.is_empty() {
            self.by_key.remove(&key);
        }
        true
    }

    /// A timer for a queue that has none under way.
    pub(super) fn new_timer(&mut self, key: QueueKey) -> Option<TimerId> {
        let queue = self
            .by_key
            .get_mut(&key)
            .filter(|queue| queue.timer.is_none())?;
        self.timers_set += 1;
        let id = TimerId(FIRST_QUEUE_TIMER + self.timers_set);
        queue.timer = Some(id);
        self.timers.insert(id, key);
        Some(id)
    }

    /// The queue for which this timer was set, if it is still there.
    pub(super) fn timer_fired(&mut self, id: TimerId) -> Option<QueueKey> {
        let key = self.timers.remove(&id)?;
        let queue = self
            .by_key
            .get_mut(&key)
            .filter(|queue| queue.timer == Some(id))?;
        queue.timer = None;
        Some(key)
    }
}
