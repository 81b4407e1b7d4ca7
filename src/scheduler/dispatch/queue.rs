//! Wait queues of the requests for a shard or a pool, with the timers for the review of the queues. The next
//! request to send is chosen in `candidate`.

use crate::scheduler::endpoint::index::Destination;
use crate::scheduler::messages::FIRST_QUEUE_TIMER;
use gullsail_scheduler_api::{Instant, RequestClassId, RequestId, TimerId, VolumeId};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a wait queue. First attempts and retries for the same destination wait in separate queues.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) retries: bool,
    pub(crate) destination: Destination,
}

/// The requests of one volume and one class form a group within a queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueGroup {
    pub(crate) volume: VolumeId,
    pub(crate) request_class: RequestClassId,
}

/// A request in a group. The order is by objective deadline, the earliest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingRequest {
    pub(crate) objective_deadline: Instant,
    pub(crate) id: RequestId,
}

/// One queue. It exists only while a request waits in it.
#[derive(Default)]
pub(crate) struct WaitQueue {
    groups: BTreeMap<QueueGroup, BTreeSet<WaitingRequest>>,
    /// The running review timer.
    timer: Option<TimerId>,
}

impl WaitQueue {
    /// Requests whose objective deadline is not after `until`, group by group.
    pub(crate) fn due_by(&self, until: Instant) -> Vec<RequestId> {
        let groups = self.groups.values();
        let due = groups.flat_map(|group| {
            group
                .iter()
                .take_while(|waiting| waiting.objective_deadline <= until)
        });
        due.map(|waiting| waiting.id).collect()
    }

    /// All requests, group by group.
    pub(crate) fn ids(&self) -> impl Iterator<Item = RequestId> {
        self.groups.values().flatten().map(|waiting| waiting.id)
    }

    /// The volume of each group.
    pub(crate) fn volumes(&self) -> impl Iterator<Item = VolumeId> {
        self.groups.keys().map(|group| group.volume)
    }

    /// The first `count` requests of each group.
    pub(crate) fn first_of_groups(&self, count: usize) -> impl Iterator<Item = &WaitingRequest> {
        let groups = self.groups.values();
        groups.flat_map(move |group| group.iter().take(count))
    }
}

/// All wait queues of this host.
#[derive(Default)]
pub(crate) struct WaitQueues {
    by_key: BTreeMap<QueueKey, WaitQueue>,
    /// The running review timers, including those of queues that no longer exist.
    timers: BTreeMap<TimerId, QueueKey>,
    /// Number of review timers set so far; it makes their ids unique.
    timers_set: u64,
}

impl WaitQueues {
    pub(crate) fn get(&self, key: QueueKey) -> Option<&WaitQueue> {
        self.by_key.get(&key)
    }

    /// Whether first attempts or retries wait for this destination.
    pub(crate) fn waits_for(&self, destination: Destination) -> bool {
        [false, true].into_iter().any(|retries| {
            self.by_key.contains_key(&QueueKey {
                retries,
                destination,
            })
        })
    }

    pub(crate) fn insert(&mut self, key: QueueKey, group: QueueGroup, waiting: WaitingRequest) {
        let queue = self.by_key.entry(key).or_default();
        queue.groups.entry(group).or_default().insert(waiting);
    }

    /// Removes a request from its queue. False if there is no such queue.
    pub(crate) fn remove(
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

    /// Assigns a review timer to a queue. `None` if the queue does not exist or has a running timer.
    pub(crate) fn new_timer(&mut self, key: QueueKey) -> Option<TimerId> {
        let queue = self.by_key.get_mut(&key)?;
        if queue.timer.is_some() {
            return None;
        }
        self.timers_set += 1;
        let id = TimerId(FIRST_QUEUE_TIMER + self.timers_set);
        queue.timer = Some(id);
        self.timers.insert(id, key);
        Some(id)
    }

    /// The queue for which a timer was set; `None` if that queue no longer exists or has a newer timer.
    pub(crate) fn timer_fired(&mut self, id: TimerId) -> Option<QueueKey> {
        let key = self.timers.remove(&id)?;
        let queue = self.by_key.get_mut(&key)?;
        if queue.timer != Some(id) {
            return None;
        }
        queue.timer = None;
        Some(key)
    }

    /// Number of queues.
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Number of timers running.
    pub(crate) fn timer_count(&self) -> usize {
        self.timers.len()
    }
}
