//! The state of the request scheduler: all components, each of which keeps its fields private. Functions that
//! make decisions take this state and call the components' methods. The methods here are those that change a
//! request, its queue and its volume together.

use super::admission::objective::LatencyObjectives;
use super::attempts::limits::AttemptLimits;
use super::demand_reports::directory::UserDirectory;
use super::dispatch::queue::{QueueKey, WaitQueues};
use super::endpoint::index::EndpointIndex;
use super::endpoint::slow_start::FleetDemandEstimate;
use super::messages::Outgoing;
use super::request_table::RequestTable;
use super::volume::table::VolumeTable;
use gullsail_scheduler_api::{Action, Instant, Request, RequestClass, RequestId, SchedulerConfig};
use std::collections::VecDeque;

/// All components of the request scheduler, with the actions and messages that they produce.
pub(super) struct SchedulerState {
    pub(super) now: Instant,
    pub(super) config: SchedulerConfig,
    /// Actions for the host to carry out, in order.
    pub(super) actions: Vec<Action>,
    /// Messages to the endpoints' trackers, in order.
    pub(super) outbox: VecDeque<Outgoing>,
    pub(super) endpoints: EndpointIndex,
    pub(super) fleet_demand: FleetDemandEstimate,
    pub(super) requests: RequestTable,
    pub(super) queues: WaitQueues,
    pub(super) volumes: VolumeTable,
    pub(super) directory: UserDirectory,
    pub(super) attempt_limits: AttemptLimits,
    pub(super) objectives: LatencyObjectives,
}

impl SchedulerState {
    pub(super) fn new(config: SchedulerConfig, now: Instant) -> Self {
        let mut volumes = VolumeTable::new(now);
        volumes.sync_budgets(now, &config);
        SchedulerState {
            now,
            actions: Vec::new(),
            outbox: VecDeque::new(),
            endpoints: EndpointIndex::default(),
            fleet_demand: FleetDemandEstimate::new(&config),
            requests: RequestTable::default(),
            queues: WaitQueues::default(),
            volumes,
            directory: UserDirectory::default(),
            attempt_limits: AttemptLimits::new(now),
            objectives: LatencyObjectives::new(&config),
            config,
        }
    }

    /// The class of a request. Admission has checked that the configuration has this class.
    pub(super) fn class_of(&self, request: &Request) -> &RequestClass {
        &self.config.request_classes[request.request_class.0]
    }

    /// Puts a request into a queue. If its next attempt is its first, its units are added to the waiting units
    /// of its volume.
    pub(super) fn enter_queue(&mut self, id: RequestId, key: QueueKey) {
        let Some(open) = self.requests.set_queue(id, key) else {
            return;
        };
        self.queues.insert(key, open.group(), open.waiting());
        let volume = self.volumes.get_mut(open.request().volume);
        if let (true, Some(volume)) = (open.is_first_attempt(), volume) {
            volume.add_waiting(open.request().units);
        }
    }

    /// Removes a request from its queue, if it waits in one, and its units from those that wait at its volume.
    pub(super) fn leave_queue(&mut self, id: RequestId) {
        let Some(key) = self.requests.take_queue(id) else {
            return;
        };
        let Some(open) = self.requests.get(id) else {
            return;
        };
        let was_queued = self.queues.remove(key, open.group(), open.waiting());
        if !was_queued || !open.is_first_attempt() {
            return;
        }
        if let Some(volume) = self.volumes.get_mut(open.request().volume) {
            volume.remove_waiting(open.request().units);
        }
    }

    /// Takes the units of a request's first attempt from its volume.
    pub(super) fn spend(&mut self, request: &Request) {
        let volume = self.volumes.get_mut(request.volume);
        let volume = volume.expect("the volume of an open request is in the table");
        volume.spend(self.now, &self.config, request.units);
    }
}
