//! The side of the scheduler that holds requests, queues and volumes. It hands each message to the file that
//! decides on it; the methods of [`RequestScheduler`] stand in those files.

use super::admission::{Admission, FIRST_POLL_WAIT};
use super::attempt_accounts::AttemptAccounts;
use super::demand_reports::directory::UserDirectory;
use super::endpoint::index::{EndpointIndex, pools};
use super::endpoint::slow_start::FleetDemandEstimate;
use super::messages::{EPOCH_TIMER, EndpointCapacity, Outgoing, POLL_TIMER, RequestMessage};
use super::queue::WaitQueues;
use super::request_table::RequestTable;
use super::volume::table::VolumeTable;
use gullsail_scheduler_api::{
    Action, Event, Instant, RequestId, SchedulerConfig, TimerId, UpdateKind,
};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

pub(super) struct RequestScheduler {
    pub(super) now: Instant,
    pub(super) config: SchedulerConfig,
    pub(super) mailbox: VecDeque<RequestMessage>,
    /// For the trackers of endpoints.
    pub(super) outbox: VecDeque<Outgoing>,
    pub(super) actions: Vec<Action>,
    pub(super) endpoints: EndpointIndex,
    pub(super) fleet_demand: FleetDemandEstimate,
    pub(super) requests: RequestTable,
    pub(super) queues: WaitQueues,
    pub(super) volumes: VolumeTable,
    pub(super) directory: UserDirectory,
    pub(super) attempts: AttemptAccounts,
    pub(super) admission: Admission,
}

impl RequestScheduler {
    pub(super) fn new(config: SchedulerConfig, now: Instant) -> Self {
        let mut scheduler = RequestScheduler {
            now,
            admission: Admission::new(&config),
            fleet_demand: FleetDemandEstimate::new(&config),
            config,
            mailbox: VecDeque::new(),
            outbox: VecDeque::new(),
            actions: Vec::new(),
            endpoints: EndpointIndex::default(),
            requests: RequestTable::default(),
            queues: WaitQueues::default(),
            volumes: VolumeTable::new(now),
            directory: UserDirectory::default(),
            attempts: AttemptAccounts::new(now),
        };
        if scheduler.config.poll_endpoints {
            scheduler.actions.push(Action::WatchEndpoints);
        }
        scheduler.volumes.sync_budgets(now, &scheduler.config);
        scheduler.start_epoch();
        scheduler
    }

    pub(super) fn handle(&mut self, message: RequestMessage, rng: &mut ChaCha8Rng) {
        // Whatever comes, also while no node has capacity: else what is accepted then would only pile up.
        self.attempts.expire(self.now, &self.config);
        match message {
            RequestMessage::Capacity(capacity) => {
                self.update_endpoint(&capacity, rng);
                self.fill_endpoint(&capacity, rng);
            }
            RequestMessage::Event(event) => self.handle_event(event, rng),
        }
    }

    fn handle_event(&mut self, event: Event, rng: &mut ChaCha8Rng) {
        match event {
            Event::RequestArrived(request) => self.admit(request, rng),
            Event::AttemptEnded(end) => self.attempt_ended(end, rng),
            Event::ResponseStarted { id, .. } => {
                if let Some(open) = self.requests.open.get_mut(&id) {
                    open.closed = true;
                }
            }
            Event::ClientDisconnected(id) => self.close(id),
            Event::PeerMessage { from, bytes } => self.handle_peer_message(from, &bytes),
            Event::EndpointListLost => self.retry_endpoint_list(),
            Event::EndpointList { update_kind, .. } => {
                if matches!(update_kind, UpdateKind::Delta | UpdateKind::Snapshot) {
                    self.admission.poll_wait = FIRST_POLL_WAIT;
                }
            }
            Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets,
                fleet_membership,
            } => {
                self.volumes.refill_all(self.now, &self.config);
                self.config
                    .apply_change(plans, cross_zone_budgets, fleet_membership);
                self.volumes.sync_budgets(self.now, &self.config);
                self.apply_allocations(&allocations);
            }
            Event::Timer(id) => self.handle_timer(id, rng),
        }
    }

    fn handle_timer(&mut self, id: TimerId, rng: &mut ChaCha8Rng) {
        match id {
            EPOCH_TIMER => self.start_epoch(),
            POLL_TIMER => self.actions.push(Action::WatchEndpoints),
            id if id > EPOCH_TIMER => {
                if let Some(key) = self.queues.timer_fired(id) {
                    self.review_queue_on_timer(key, rng);
                }
            }
            TimerId(request) => self.shed(RequestId(request)),
        }
    }

    /// Takes in the capacity of an endpoint; one that is newly ready may be drawn for its pools.
    fn update_endpoint(&mut self, capacity: &EndpointCapacity, rng: &mut ChaCha8Rng) {
        if !self.endpoints.update(capacity, self.now) {
            return;
        }
        for pool in pools(&capacity.entry) {
            self.endpoints.add_to_pool(pool, capacity.entry.node);
            self.draw_endpoint(pool, rng);
        }
    }
}
