//! The state of an endpoint's tracker and of the window that endpoints with sparse traffic share, and the
//! handing of messages to their handlers. What follows from an outcome is decided in `endpoint`.

use super::endpoint::{INITIAL_WINDOW, LARGEST_WINDOW};
use super::messages::{AttemptKey, EndpointMessage};
use crate::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{AttemptOutcome, Endpoint, Instant, Span};
use std::collections::{BTreeMap, VecDeque};

pub(super) struct InFlight {
    pub(super) sent_at: Instant,
    pub(super) latency_objective: Span,
}

/// Kept exactly: a rule counts it.
pub(super) struct SlowStartAttempt {
    pub(super) key: AttemptKey,
    pub(super) sent_at: Instant,
    pub(super) units: f64,
    pub(super) served: bool,
}

/// One endpoint as this host knows it.
pub(super) struct EndpointTracker {
    pub(super) mailbox: VecDeque<EndpointMessage>,
    pub(super) entry: Endpoint,
    /// Below one where even one attempt at a time is too much: they are then spaced out.
    pub(super) window: f64,
    pub(super) in_flight: BTreeMap<AttemptKey, InFlight>,
    /// Of answers, in seconds, and the number of these.
    pub(super) latency_sum: DecayingSum,
    pub(super) answers: DecayingSum,
    pub(super) last_decrease: Instant,
    pub(super) last_response: Instant,
    /// Since when it is gone, if it is.
    pub(super) gone_since: Instant,
    pub(super) last_sent: Instant,
    pub(super) timeouts_in_row: u32,
    pub(super) slow_start_attempts: Vec<SlowStartAttempt>,
}

impl EndpointTracker {
    pub(super) fn new(entry: Endpoint, now: Instant) -> Self {
        EndpointTracker {
            mailbox: VecDeque::new(),
            entry,
            window: INITIAL_WINDOW,
            in_flight: BTreeMap::new(),
            latency_sum: DecayingSum::default(),
            answers: DecayingSum::default(),
            last_decrease: now,
            last_response: now,
            gone_since: now,
            last_sent: now,
            timeouts_in_row: 0,
            slow_start_attempts: Vec::new(),
        }
    }

    pub(super) fn handle(&mut self, message: EndpointMessage, now: Instant) {
        match message {
            EndpointMessage::CapacityWanted => {}
            EndpointMessage::Listed {
                entry,
                self_reported,
            } => self.listed(entry, self_reported, now),
            EndpointMessage::AttemptSent {
                key,
                units,
                latency_objective,
            } => {
                self.in_flight.insert(
                    key,
                    InFlight {
                        sent_at: now,
                        latency_objective,
                    },
                );
                self.last_sent = now;
                let attempt = SlowStartAttempt {
                    key,
                    sent_at: now,
                    units,
                    served: false,
                };
                self.slow_start_attempts.push(attempt);
            }
            EndpointMessage::AttemptEnded {
                key,
                outcome,
                latency,
            } => {
                self.attempt_ended(key, outcome, latency, now);
            }
        }
    }

    /// What never went out does not count towards slow start.
    pub(super) fn update_slow_start(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::NotSent {
            self.slow_start_attempts
                .retain(|attempt| attempt.key != key);
        } else if outcome == AttemptOutcome::Succeeded {
            for attempt in self
                .slow_start_attempts
                .iter_mut()
                .filter(|attempt| attempt.key == key)
            {
                attempt.served = true;
            }
        }
    }
}

/// The window that the endpoints with sparse traffic of one zone share at this host.
pub(super) struct SparseTrafficWindow {
    pub(super) window: f64,
    /// With their latency objectives.
    pub(super) in_flight: BTreeMap<AttemptKey, Span>,
    pub(super) last_decrease: Instant,
}

impl SparseTrafficWindow {
    pub(super) fn new() -> Self {
        let last_decrease = Instant::default();
        SparseTrafficWindow {
            window: LARGEST_WINDOW,
            in_flight: BTreeMap::new(),
            last_decrease,
        }
    }
}
