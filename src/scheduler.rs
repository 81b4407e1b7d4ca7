//! Decides what becomes of every request. A caller makes one [`Scheduler`] for each incarnation of a host and
//! calls [`Scheduler::step`] with the clock and the events since; it carries out the actions that come back,
//! in their order. Events, actions, ids and the configuration are those of `gullsail-scheduler-api`.
//!
//! These files decide, and are listed as policy: `admission` (accept or shed, and the advice given),
//! `dispatch` (queues, choice of node), `attempts` (outcomes, retry budget, idempotency), `endpoint` (window,
//! health, slow start), `volume` (token bucket, rate, loans), `demand_reports` (epochs, what hosts report to
//! each other), `cross_zone` (budgets between zones). The others decide nothing: `request_scheduler`
//! (hands messages on), `messages`, `queue`, `request_table`,
//! `volume_table`, `attempt_accounts`, `cross_zone_ledger`, `peer_messages` and `size_metrics` hold state and
//! keep its books. Here stands the loop over the mailboxes.
//!
//! 1. State changes only in [`Scheduler::step`]; the clock is the caller's.
//! 2. All random choices come from one generator, so equal seeds and events give equal actions.
//! 3. Every request gets at most one final answer.

mod admission;
mod attempt_accounts;
mod attempts;
mod bookkeeping;
mod cross_zone;
mod cross_zone_ledger;
mod demand_reports;
mod dispatch;
mod endpoint;
mod intervals;
mod messages;
mod queue;
mod request_scheduler;
mod request_table;
mod size_metrics;
mod volume;

// The files below take each other's types from here.
use attempt_accounts::AttemptAccounts;
use attempts::{RECENT, RETURN_FACTOR};
use cross_zone_ledger::{AppliedBudget, CrossZoneBytes};
use endpoint::tracker::EndpointTracker;
use gullsail_scheduler_api::{
    Action, Endpoint, EndpointState, Event, Instant, NodeId, SchedulerConfig, UpdateKind,
};
use messages::{
    AttemptKey, EndpointCapacity, EndpointMessage, Outgoing, POLL_TIMER, RequestMessage,
};
use queue::QueueKey;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use request_scheduler::RequestScheduler;
use request_table::{OpenRequest, PossibleRun};
use std::collections::{BTreeMap, BTreeSet};

/// The decisions of one host: events in, actions out.
pub struct Scheduler {
    trackers: BTreeMap<NodeId, EndpointTracker>,
    /// Those with messages in their mailboxes: only these are looked at.
    with_mail: BTreeSet<NodeId>,
    requests: RequestScheduler,
    rng: ChaCha8Rng,
}

impl Scheduler {
    /// The scheduler of a host that has just started and knows no endpoint yet.
    pub fn new(config: SchedulerConfig, seed: u64, now: Instant) -> Self {
        Scheduler {
            trackers: BTreeMap::new(),
            with_mail: BTreeSet::new(),
            requests: RequestScheduler::new(config, now),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes in the events in their order and returns what is to be done, in its order.
    pub fn step(&mut self, now: Instant, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.requests.now = now;
        for event in events {
            if let Event::EndpointList {
                update_kind,
                entries,
            } = &event
            {
                self.update_list(*update_kind, entries);
                self.run(); // what comes next in this step knows the endpoints of this list
            }
            self.requests
                .mailbox
                .push_back(RequestMessage::Event(event));
        }
        self.run();
        std::mem::take(&mut self.requests.actions)
    }

    /// Hands the entries of a list to their trackers; what a whole list does not name is gone.
    fn update_list(&mut self, update_kind: UpdateKind, entries: &[Endpoint]) {
        let now = self.requests.now;
        let self_reported = update_kind == UpdateKind::SelfReported;
        let whole = matches!(
            update_kind,
            UpdateKind::Snapshot | UpdateKind::StaleSnapshot
        );
        let named: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        let is_missing = |entry: &&Endpoint| {
            whole && !named.contains(&entry.node) && entry.state != EndpointState::Gone
        };
        let known_entries = self.trackers.values().map(EndpointTracker::entry);
        let gone: Vec<_> = known_entries
            .filter(is_missing)
            .map(|entry| Endpoint {
                state: EndpointState::Gone,
                ..entry.clone()
            })
            .collect();
        for entry in gone.iter().chain(entries) {
            let new = || EndpointTracker::new(entry.clone(), now);
            self.trackers.entry(entry.node).or_insert_with(new);
            self.post(
                entry.node,
                EndpointMessage::EndpointUpdated {
                    entry: entry.clone(),
                    self_reported,
                },
            );
        }
        self.trackers
            .retain(|_, tracker| !tracker.is_forgotten(now));
    }

    fn post(&mut self, id: NodeId, message: EndpointMessage) {
        if let Some(tracker) = self.trackers.get_mut(&id) {
            tracker.post(message);
            self.with_mail.insert(id);
        }
    }

    /// Until all mailboxes are empty: requests first, then one endpoint at a time, which reports its
    /// capacity.
    fn run(&mut self) {
        loop {
            while let Some(message) = self.requests.mailbox.pop_front() {
                self.requests.handle(message, &mut self.rng);
            }
            while let Some(Outgoing { to, message }) = self.requests.outbox.pop_front() {
                self.post(to, message);
            }
            let Some(id) = self.with_mail.pop_first() else {
                return;
            };
            let Some(tracker) = self.trackers.get_mut(&id) else {
                continue;
            };
            tracker.handle_messages(self.requests.now);
            let requests = &mut self.requests;
            let capacity = tracker.capacity(requests.now, &requests.config, &requests.fleet_demand);
            requests
                .mailbox
                .push_back(RequestMessage::Capacity(capacity));
        }
    }
}
