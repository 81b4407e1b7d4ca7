//! The side of the scheduler that holds requests and queues. It passes each event and each reported capacity to
//! the component that handles it.

use super::admission::arrival::admit;
use super::admission::config_change::{ConfigChange, apply_config_change};
use super::attempts::outcome::attempt_ended;
use super::demand_reports::epoch::start_epoch;
use super::demand_reports::peer_messages::handle_peer_message;
use super::dispatch::endpoint_choice::choose_endpoint;
use super::dispatch::review::review_queue_on_timer;
use super::dispatch::send::fill_endpoint;
use super::endpoint::index::pools;
use super::endpoint_polling::EndpointPolling;
use super::final_answer::{close, shed};
use super::messages::{EndpointCapacity, Outgoing, RequestMessage, SchedulerTimer};
use super::state::SchedulerState;
use gullsail_scheduler_api::{Action, Event, Instant, SchedulerConfig, TimerId};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Handles events and reported capacities; produces actions and messages to the endpoints' trackers.
pub(super) struct RequestScheduler {
    mailbox: VecDeque<RequestMessage>,
    polling: EndpointPolling,
    state: SchedulerState,
}

impl RequestScheduler {
    pub(super) fn new(config: SchedulerConfig, now: Instant) -> Self {
        let mut state = SchedulerState::new(config, now);
        if state.config.poll_endpoints {
            state.actions.push(Action::WatchEndpoints);
        }
        start_epoch(&mut state);
        RequestScheduler {
            mailbox: VecDeque::new(),
            polling: EndpointPolling::new(),
            state,
        }
    }

    pub(super) fn set_now(&mut self, now: Instant) {
        self.state.now = now;
    }

    pub(super) fn state(&self) -> &SchedulerState {
        &self.state
    }

    pub(super) fn post(&mut self, message: RequestMessage) {
        self.mailbox.push_back(message);
    }

    /// Handles all messages in the mailbox.
    pub(super) fn handle_messages(&mut self, rng: &mut ChaCha8Rng) {
        while let Some(message) = self.mailbox.pop_front() {
            self.handle(message, rng);
        }
    }

    /// Removes and returns the next message to an endpoint's tracker.
    pub(super) fn next_outgoing(&mut self) -> Option<Outgoing> {
        self.state.outbox.pop_front()
    }

    /// Removes and returns the actions produced since the last call.
    pub(super) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.state.actions)
    }

    fn handle(&mut self, message: RequestMessage, rng: &mut ChaCha8Rng) {
        // Expire on every message, not only when an attempt is sent. While no endpoint has room, the recorded
        // arrivals would otherwise grow without bound.
        let state = &mut self.state;
        state.attempt_limits.expire(state.now, &state.config);
        match message {
            RequestMessage::Capacity(capacity) => {
                update_endpoint(state, &capacity, rng);
                fill_endpoint(state, &capacity, rng);
            }
            RequestMessage::Event(event) => self.handle_event(event, rng),
        }
    }

    fn handle_event(&mut self, event: Event, rng: &mut ChaCha8Rng) {
        let state = &mut self.state;
        match event {
            Event::RequestArrived(request) => admit(state, request, rng),
            Event::AttemptEnded(end) => attempt_ended(state, &end, rng),
            Event::ResponseStarted { id, .. } => state.requests.set_answered(id),
            Event::ClientDisconnected(id) => close(state, id),
            Event::PeerMessage { from, bytes } => handle_peer_message(state, from, &bytes),
            Event::EndpointListLost => {
                let set_timer = self.polling.list_lost(state.now, &state.config);
                state.actions.push(set_timer);
            }
            Event::EndpointList { update_kind, .. } => self.polling.list_received(update_kind),
            Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets,
                fleet_membership,
            } => {
                let change = ConfigChange {
                    plans,
                    allocations,
                    cross_zone_budgets,
                    fleet_membership,
                };
                apply_config_change(state, change);
            }
            Event::Timer(id) => self.handle_timer(id, rng),
        }
    }

    fn handle_timer(&mut self, id: TimerId, rng: &mut ChaCha8Rng) {
        let state = &mut self.state;
        match SchedulerTimer::from(id) {
            SchedulerTimer::Epoch => start_epoch(state),
            SchedulerTimer::EndpointPoll => state.actions.push(Action::WatchEndpoints),
            SchedulerTimer::QueueReview(id) => {
                if let Some(key) = state.queues.timer_fired(id) {
                    review_queue_on_timer(state, key, rng);
                }
            }
            SchedulerTimer::RequestDeadline(request) => shed(state, request),
        }
    }
}

/// Stores the reported capacity of an endpoint. An endpoint that has just become ready is added to its pools
/// and can be chosen for a new object of each pool at once.
fn update_endpoint(state: &mut SchedulerState, capacity: &EndpointCapacity, rng: &mut ChaCha8Rng) {
    let newly_ready = state.endpoints.update(capacity, state.now);
    if !newly_ready {
        return;
    }
    for pool in pools(&capacity.entry) {
        state.endpoints.add_to_pool(pool, capacity.entry.node);
        choose_endpoint(state, pool, rng);
    }
}
