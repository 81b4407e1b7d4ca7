//! The state of one endpoint at this host: its entry in the endpoint list and its attempts in flight. The
//! tracker handles messages, updates the congestion window, the health and the slow start from them, and
//! reports the endpoint's capacity.

use super::health::EndpointHealth;
use super::slow_start::{FleetDemandEstimate, SlowStart, SlowStartUnits};
use super::window::{CongestionWindow, EndedAttempt};
use crate::scheduler::messages::{AttemptKey, EndpointCapacity, EndpointMessage};
use gullsail_scheduler_api::{
    AttemptOutcome, Endpoint, EndpointState, Instant, SchedulerConfig, Span,
};
use std::collections::{BTreeMap, VecDeque};

/// How long the tracker of an endpoint is kept after the endpoint is gone. Updates of the endpoint list are
/// never delayed for longer. After a shorter time, a delayed update would add the endpoint again as a ready
/// one.
const GONE_RETENTION: Span = Span::from_micros(60_000_000);

struct InFlight {
    sent_at: Instant,
    latency_objective: Span,
}

/// Tracks the state of one endpoint.
pub(crate) struct EndpointTracker {
    mailbox: VecDeque<EndpointMessage>,
    entry: Endpoint,
    /// Time of the last update of an endpoint that was not yet gone. For a gone endpoint, the update that marked
    /// it as gone.
    last_present: Instant,
    in_flight: BTreeMap<AttemptKey, InFlight>,
    window: CongestionWindow,
    health: EndpointHealth,
    slow_start: SlowStart,
}

impl EndpointTracker {
    pub(crate) fn new(entry: Endpoint, now: Instant) -> Self {
        EndpointTracker {
            mailbox: VecDeque::new(),
            entry,
            last_present: now,
            in_flight: BTreeMap::new(),
            window: CongestionWindow::new(now),
            health: EndpointHealth::new(now),
            slow_start: SlowStart::default(),
        }
    }

    /// The current entry of the endpoint.
    pub(crate) fn entry(&self) -> &Endpoint {
        &self.entry
    }

    /// Whether the tracker can be removed: the endpoint has been gone for [`GONE_RETENTION`].
    pub(crate) fn is_removable(&self, now: Instant) -> bool {
        self.entry.state == EndpointState::Gone
            && now - self.last_present > GONE_RETENTION
            && self.mailbox.is_empty()
    }

    pub(crate) fn post(&mut self, message: EndpointMessage) {
        self.mailbox.push_back(message);
    }

    /// Handles all messages in the mailbox.
    pub(crate) fn handle_messages(&mut self, now: Instant) {
        while let Some(message) = self.mailbox.pop_front() {
            self.handle(message, now);
        }
    }

    fn handle(&mut self, message: EndpointMessage, now: Instant) {
        match message {
            EndpointMessage::CapacityRequested => {}
            EndpointMessage::EndpointUpdated {
                entry,
                self_reported,
            } => self.update_entry(entry, self_reported, now),
            EndpointMessage::AttemptSent {
                key,
                units,
                latency_objective,
            } => {
                let attempt = InFlight {
                    sent_at: now,
                    latency_objective,
                };
                self.in_flight.insert(key, attempt);
                self.health.record_sent(now);
                self.slow_start.record_sent(key, units, now);
            }
            EndpointMessage::AttemptEnded {
                key,
                outcome,
                latency,
            } => self.attempt_ended(key, outcome, latency, now),
        }
    }

    fn update_entry(&mut self, entry: Endpoint, self_reported: bool, now: Instant) {
        let restarted = entry.started > self.entry.started;
        if restarted {
            self.window.reset();
            self.health.reset_silence(now);
        }
        // The list may be out of date, so an entry with the same start cannot undo a drain. Only a newer start
        // makes the endpoint ready again.
        let leaving = self.entry.state != EndpointState::Ready && !restarted;
        let state = if leaving {
            self.entry.state.max(entry.state)
        } else {
            entry.state
        };
        if self.entry.state != EndpointState::Gone {
            self.last_present = now;
        }
        // After a lost connection this host assumes a restart, until the node itself reports an earlier start.
        let started = if self_reported {
            entry.started
        } else {
            entry.started.max(self.entry.started)
        };
        self.entry = Endpoint {
            state,
            started,
            ..entry
        };
    }

    fn attempt_ended(
        &mut self,
        key: AttemptKey,
        outcome: AttemptOutcome,
        latency: Span,
        now: Instant,
    ) {
        let Some(sent) = self.in_flight.remove(&key) else {
            return;
        };
        if outcome == AttemptOutcome::ConnectionLost {
            // The node's process has probably restarted, so the endpoint counts as just started. A lost
            // connection is no sign of congestion, so the window stays unchanged.
            self.entry.started = self.entry.started.max(Some(now));
        }
        self.slow_start.record_ended(key, outcome);
        let ended = EndedAttempt {
            outcome,
            latency,
            latency_objective: sent.latency_objective,
        };
        self.health.record_ended(&ended, now);
        let mean_latency = self.health.mean_latency();
        self.window
            .record(&ended, self.in_flight.len(), mean_latency, now);
    }

    /// The capacity of the endpoint now.
    pub(crate) fn capacity(
        &mut self,
        now: Instant,
        config: &SchedulerConfig,
        fleet_demand: &FleetDemandEstimate,
    ) -> EndpointCapacity {
        let SlowStartUnits { units, even_units } = self.slow_start.units(
            self.entry.node,
            self.entry.started,
            now,
            config,
            fleet_demand,
        );
        EndpointCapacity {
            entry: self.entry.clone(),
            available_slots: self.available_slots(now, config),
            units,
            even_units,
            latency: self.health.expected_latency(now),
            silent: self.is_silent(now),
            recently_degraded: units.is_finite() || self.window.recently_decreased(now),
            sparse_traffic: self.health.has_sparse_traffic(now),
        }
    }

    fn is_silent(&self, now: Instant) -> bool {
        let oldest = self.in_flight.values().map(|attempt| attempt.sent_at).min();
        self.health.is_silent(oldest, now)
    }

    fn available_slots(&self, now: Instant, config: &SchedulerConfig) -> usize {
        let ready = self.entry.state == EndpointState::Ready;
        if !ready || self.health.must_wait_to_probe(config.probe_interval, now) {
            return 0;
        }
        if self.is_silent(now) {
            // A stalled, a crashed and an unreachable node cannot be told apart. Requests stay at this host,
            // where they can still be shed or wait for a replacement. Single attempts probe the node at growing
            // intervals.
            return usize::from(self.health.probe_due(config.probe_interval, now));
        }
        self.window.available_slots(
            self.in_flight.len(),
            self.health.since_sent(now),
            self.health.mean_latency(),
        )
    }

    /// Number of attempts in flight.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of attempts that are stored for slow start.
    pub(crate) fn slow_start_count(&self) -> usize {
        self.slow_start.len()
    }
}
