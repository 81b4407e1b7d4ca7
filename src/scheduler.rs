//! Decides where and when each request is sent, and which requests are shed. A caller makes one [`Scheduler`]
//! for each incarnation of a host. It calls [`Scheduler::step`] with the current time and the events since the
//! last call, and carries out the returned actions in their order. Events, actions, ids and the configuration
//! are defined in `gullsail-scheduler-api`.
//!
//! This file moves messages between the two sides of the scheduler: the side that holds requests and queues,
//! and one tracker for each endpoint. Each component has a folder or file. A component imports only from
//! components that come before it in this list:
//!
//! 1. `messages`, `intervals`: types and constants that both sides use.
//! 2. `endpoint`: congestion window, health, slow start, sparse traffic, index of the ready endpoints.
//! 3. `volume`: token bucket, share of the limit, loans, reserve; also for cross-zone budgets.
//! 4. `attempts` (`retry_budget`, `overload_guard`, `idempotency`, `limits`), `dispatch::queue`,
//!    `request_table`, `admission::objective`, `demand_reports::directory`.
//! 5. `state`: the struct that holds all components. `size_metrics`: the sizes of their collections.
//! 6. `demand_reports`: epochs, messages between hosts, requests for tokens.
//! 7. `cross_zone`: budgets for traffic between zones. `final_answer`: shedding and closing of requests.
//!    `admission::starvation`: requests that would get no tokens in time.
//! 8. `dispatch`: review of queues, choice of endpoints and of requests. `admission`: arrivals, configuration
//!    changes. `attempts::outcome`: handling of an attempt that has ended.
//! 9. `endpoint_polling`: polling of the endpoint list. `request_scheduler`: hands events to the components.
//!
//! Invariants:
//!
//! 1. State changes only in [`Scheduler::step`]; the caller supplies the time.
//! 2. All random choices come from one generator, so equal seeds, times and events give equal actions.
//! 3. Every request gets at most one final answer.

mod admission;
mod attempts;
mod cross_zone;
mod demand_reports;
mod dispatch;
mod endpoint;
mod endpoint_polling;
mod final_answer;
mod intervals;
mod messages;
mod request_scheduler;
mod request_table;
mod size_metrics;
mod state;
mod volume;

pub use attempts::idempotency::may_accept_again;
use endpoint::tracker::EndpointTracker;
use gullsail_scheduler_api::{
    Action, Endpoint, EndpointState, Event, Instant, NodeId, SchedulerConfig, UpdateKind,
};
use messages::{EndpointMessage, Outgoing, RequestMessage};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use request_scheduler::RequestScheduler;
use std::collections::{BTreeMap, BTreeSet};

/// The scheduler of one host. It turns events into actions.
pub struct Scheduler {
    now: Instant,
    trackers: BTreeMap<NodeId, EndpointTracker>,
    /// The endpoints whose trackers have unhandled messages.
    trackers_with_messages: BTreeSet<NodeId>,
    requests: RequestScheduler,
    rng: ChaCha8Rng,
}

impl Scheduler {
    /// The scheduler of a host that has just started and has not received an endpoint list.
    pub fn new(config: SchedulerConfig, seed: u64, now: Instant) -> Self {
        Scheduler {
            now,
            trackers: BTreeMap::new(),
            trackers_with_messages: BTreeSet::new(),
            requests: RequestScheduler::new(config, now),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Handles the events in their order and returns the actions to carry out, in their order.
    pub fn step(&mut self, now: Instant, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.now = now;
        self.requests.set_now(now);
        for event in events {
            if let Event::EndpointList {
                update_kind,
                entries,
            } = &event
            {
                self.update_list(*update_kind, entries);
                // Later events of this step are handled with the endpoints of this list.
                self.run();
            }
            self.requests.post(RequestMessage::Event(event));
        }
        self.run();
        self.requests.take_actions()
    }

    /// The number of entries in each collection, by name; nested collections are summed.
    pub fn size_metrics(&self) -> Vec<(&'static str, usize)> {
        size_metrics::size_metrics(&self.trackers, self.requests.state())
    }

    /// Posts the entries of an endpoint list to their trackers. Known endpoints that are missing from a
    /// complete list are marked as gone. Removes the trackers of endpoints that have been gone for long enough.
    fn update_list(&mut self, update_kind: UpdateKind, entries: &[Endpoint]) {
        let is_complete = matches!(
            update_kind,
            UpdateKind::Snapshot | UpdateKind::StaleSnapshot
        );
        let gone = if is_complete {
            self.gone_endpoints(entries)
        } else {
            Vec::new()
        };
        let self_reported = update_kind == UpdateKind::SelfReported;
        for entry in gone.iter().chain(entries) {
            let new = || EndpointTracker::new(entry.clone(), self.now);
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
            .retain(|_, tracker| !tracker.is_removable(self.now));
    }

    /// Entries with the state `Gone` for the known endpoints that are missing from a complete list.
    fn gone_endpoints(&self, entries: &[Endpoint]) -> Vec<Endpoint> {
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        let known = self.trackers.values().map(EndpointTracker::entry);
        let missing = known
            .filter(|entry| entry.state != EndpointState::Gone && !listed.contains(&entry.node));
        missing
            .map(|entry| Endpoint {
                state: EndpointState::Gone,
                ..entry.clone()
            })
            .collect()
    }

    fn post(&mut self, id: NodeId, message: EndpointMessage) {
        if let Some(tracker) = self.trackers.get_mut(&id) {
            tracker.post(message);
            self.trackers_with_messages.insert(id);
        }
    }

    /// Handles messages until all mailboxes are empty. Messages to the request scheduler come first, then those
    /// of one tracker at a time. After its messages, a tracker reports its endpoint's capacity to the request
    /// scheduler.
    fn run(&mut self) {
        loop {
            self.requests.handle_messages(&mut self.rng);
            while let Some(Outgoing { to, message }) = self.requests.next_outgoing() {
                self.post(to, message);
            }
            let Some(id) = self.trackers_with_messages.pop_first() else {
                return;
            };
            let Some(tracker) = self.trackers.get_mut(&id) else {
                continue;
            };
            tracker.handle_messages(self.now);
            let state = self.requests.state();
            let capacity = tracker.capacity(self.now, &state.config, &state.fleet_demand);
            self.requests.post(RequestMessage::Capacity(capacity));
        }
    }
}
