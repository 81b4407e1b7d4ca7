//! One endpoint as this host knows it: its congestion window, its health, its slow start; and the window that
//! endpoints with sparse traffic share. Each tracker takes messages and reports its capacity; which request
//! goes to it is decided in `dispatch`.

use super::{
    AttemptKey, DEMAND_WINDOW, EndpointCapacity, EndpointTracker, SlowStartAttempt,
    SparseTrafficWindow,
};
use gullsail_scheduler_api::{
    AttemptEnd, AttemptOutcome, Endpoint, EndpointState, Instant, SchedulerConfig, Span,
};

// After an endpoint is gone: no list is later than that
pub(super) const FORGET_AFTER: Span = Span::from_micros(60_000_000);
pub(super) const LARGEST_WINDOW: f64 = 32.0; // of the design page
pub(super) const INITIAL_WINDOW: f64 = 4.0; // "a few", says the design page
const IN_NODE: f64 = 0.4; // of the latency objective; the rest is for the wait at the host
const SILENCE: f64 = 3.0; // times the usual latency that an attempt is in flight and nothing came since
const STEP_BELOW_ONE: f64 = 0.25; // back at one after a few good answers
const LEAST_WINDOW: f64 = 0.125; // slower, and a host would learn nothing of it in most latency objectives
const RAMP_TRUST: f64 = 0.8; // of the growth that the ramp bounds promise to a node that warms up
const SERVED_WEIGHT: f64 = 0.33; // of a served attempt still counts: its work may be put off, or was cheap
const SPARSE_ANSWERS: f64 = 0.5; // in the last second: with fewer, its window would learn after the jam
const LONE_ATTEMPT: f64 = 0.25; // of what is borne in any case, by however many hosts
const SHARED_DECREASE: f64 = 0.7; // of the shared window that is left after a decrease

struct SlowStartUnits {
    units: f64,
    even_units: f64,
}

impl EndpointTracker {
    pub(super) fn is_forgotten(&self, now: Instant) -> bool {
        self.entry.state == EndpointState::Gone && now - self.gone_since > FORGET_AFTER
    }

    pub(super) fn listed(&mut self, entry: Endpoint, self_reported: bool, now: Instant) {
        let restarted = entry.started > self.entry.started;
        if restarted {
            self.window = INITIAL_WINDOW;
            self.last_response = now;
            self.timeouts_in_row = 0;
        }
        // The list is late: a drain is believed at once, but taken back only by a newer start.
        let leaving = self.entry.state != EndpointState::Ready && !restarted;
        let state = if leaving {
            self.entry.state.max(entry.state)
        } else {
            entry.state
        };
        if self.entry.state != EndpointState::Gone {
            self.gone_since = now;
        }
        // A connection that broke is taken for a restart until the same process says otherwise.
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

    pub(super) fn attempt_ended(
        &mut self,
        key: AttemptKey,
        outcome: AttemptOutcome,
        latency: Span,
        now: Instant,
    ) {
        use AttemptOutcome::{
            Cancelled, ConnectionLost, Failed, NotSent, Rejected, Succeeded, TimedOut,
        };
        let Some(ended) = self.in_flight.remove(&key) else {
            return;
        };
        let latency_objective = ended.latency_objective;
        if outcome == ConnectionLost {
            // The process died, no jam: the window stays. What answers next has just started.
            self.entry.started = self.entry.started.max(Some(now));
        } else if matches!(outcome, Succeeded | Failed | Rejected) {
            self.last_response = now;
            self.timeouts_in_row = 0;
        }
        self.timeouts_in_row += u32::from(outcome == TimedOut);
        self.update_slow_start(key, outcome);
        // Errors and full queues answer fast, time-outs cut short what would have taken longer: were
        // they not counted as long, a jammed node would look the best of all and stay jammed.
        let counted = match outcome {
            Succeeded => Some(latency),
            Failed | Rejected => Some(latency.max(latency_objective)),
            TimedOut => Some(latency.times(2.0).max(self.latency())),
            _ => None,
        };
        if let Some(counted) = counted {
            self.latency_sum.add(now, DEMAND_WINDOW, counted.secs());
            self.answers.add(now, DEMAND_WINDOW, 1.0);
        }
        if outcome == Succeeded && latency <= latency_objective.times(IN_NODE) {
            self.increase_window();
        } else if !matches!(outcome, NotSent | Cancelled | ConnectionLost) {
            self.decrease_window(now);
        }
    }

    fn increase_window(&mut self) {
        if self.window < 1.0 {
            self.window = (self.window + STEP_BELOW_ONE).min(1.0);
        } else if self.in_flight.len() + 1 >= self.window as usize {
            self.window = (self.window + 1.0 / self.window).min(LARGEST_WINDOW);
        }
    }

    fn decrease_window(&mut self, now: Instant) {
        if now - self.last_decrease > self.latency() {
            // Many hosts with a window of one each still jam a small or slowed node: below one, attempts are
            // spaced. It costs idle time on a node that is late for one dear request only.
            let least = if self.window > 1.0 { 1.0 } else { LEAST_WINDOW };
            self.window = (self.window / 2.0).max(least);
            self.last_decrease = now;
        }
    }

    fn latency(&self) -> Span {
        let mean = Span::from_millis(self.latency_sum.last() / self.answers.last().max(1e-9) * 1e3);
        // As before the first answer: shorter than any usual latency objective.
        mean.max(Span::from_millis(20.0))
    }

    /// How many units a node that warms up may be sent now; infinite once it is warm. What is borne in any
    /// case is split evenly between hosts and grows as the ramp promises. Attempts that were served within
    /// the rule's window prove that there was room for them and count in part. Where an even part holds no
    /// whole request, a lone attempt at a time keeps reads alive, the next once it is served; who was served
    /// none of late begins by turns, a window each, as all hosts ask for more than is borne: an attempt of
    /// each would push it over. Harms where this host asks unlike the others.
    fn slow_start_units(
        &mut self,
        now: Instant,
        config: &SchedulerConfig,
        demand: f64,
    ) -> SlowStartUnits {
        let rule = &config.slow_start;
        let Some(age) = self
            .entry
            .started
            .map(|at| now - at)
            .filter(|age| *age < rule.ramp)
        else {
            self.slow_start_attempts.clear();
            return SlowStartUnits {
                units: f64::INFINITY,
                even_units: f64::INFINITY,
            };
        };
        let ramped = (age - rule.window).secs().max(0.0) / rule.ramp.secs();
        let growth = (1.0 - rule.initial_fraction) * ramped / rule.initial_fraction.max(0.01);
        let even_share = config.slow_start_units_per_host() * (1.0 + RAMP_TRUST * growth);
        // A tenth longer than the rule's window: attempts sent apart may arrive together, or go out later.
        let window = rule.window.times(1.1) + config.connect_wait;
        self.slow_start_attempts
            .retain(|attempt| now - attempt.sent_at <= window);
        let attempts = &self.slow_start_attempts;
        let weight = |a: &SlowStartAttempt| {
            if a.served {
                a.units * SERVED_WEIGHT
            } else {
                a.units
            }
        };
        let sent: f64 = attempts.iter().map(weight).sum();
        let hosts = f64::from(config.hosts.max(1));
        let turns = (demand / (even_share * hosts)).max(1.0).ceil();
        let place = (f64::from(config.me.0) + (self.entry.node.0 % 4096) as f64) / hosts * turns;
        let own_turn = (place + now.millis() / rule.window.millis()) % turns < 1.0;
        let one = rule.units * LONE_ATTEMPT;
        let all_served = attempts.iter().all(|attempt| attempt.served);
        let lone = all_served && sent < even_share.max(one) && (own_turn || !attempts.is_empty());
        let even_units = even_share - sent;
        SlowStartUnits {
            units: if lone {
                one.max(even_units)
            } else {
                even_units
            },
            even_units,
        }
    }

    pub(super) fn capacity(
        &mut self,
        now: Instant,
        config: &SchedulerConfig,
        demand: f64,
    ) -> EndpointCapacity {
        let SlowStartUnits { units, even_units } = self.slow_start_units(now, config, demand);
        let lately_decreased =
            self.window < INITIAL_WINDOW && now - self.last_decrease < FORGET_AFTER;
        EndpointCapacity {
            entry: self.entry.clone(),
            available_slots: self.available_slots(now, config),
            units,
            even_units,
            // It halves with each second of silence: no old jam is held against a node for ever.
            latency: self
                .latency()
                .times(0.5f64.powf((now - self.last_response).secs().max(0.0))),
            silent: self.silent(now),
            degraded: units.is_finite() || lately_decreased,
            sparse_traffic: self.answers.clone().read(now, DEMAND_WINDOW) < SPARSE_ANSWERS,
        }
    }

    fn silent(&self, now: Instant) -> bool {
        let patience = self.latency().times(SILENCE);
        let oldest = self.in_flight.values().map(|attempt| attempt.sent_at).min();
        oldest.is_some_and(|sent_at| now - sent_at.max(self.last_response) > patience)
    }

    fn available_slots(&self, now: Instant, config: &SchedulerConfig) -> usize {
        let since_sent = now - self.last_sent;
        // Guards against all hosts asking one node whether it lives: where they share it out, each
        // waits for its turn. Harms a node that was late twice of itself: its next attempt waits too.
        let waits = self.timeouts_in_row > 1 && since_sent < config.probe_interval;
        if self.entry.state != EndpointState::Ready || waits {
            return 0;
        }
        if self.silent(now) {
            // Stalled, dead or cut off, it looks the same: the rest stays here, where it can still be
            // shed or wait for a successor, and one careful attempt at a time asks, ever more rarely.
            let probe_after = (now - self.last_response)
                .times(0.5)
                .max(config.probe_interval);
            return usize::from(since_sent > probe_after);
        }
        let spaced = self.window >= 1.0 || since_sent > self.latency().times(1.0 / self.window);
        if spaced {
            (self.window.max(1.0) as usize).saturating_sub(self.in_flight.len())
        } else {
            0
        }
    }
}

/// Of hundreds of hosts each sends a node an attempt now and then: no window of its own tells of jams in
/// time, but together they make one. So these nodes share a window at each host, zone by zone: one may be cut
/// off. It falls less than a node's own, and by missed latency objectives alone: one attempt in twenty is
/// late of itself. What a node misses that warms up, or was late within a minute, is its own affair. Harms
/// where many nodes there fail.
impl SparseTrafficWindow {
    pub(super) fn attempt_ended(
        &mut self,
        now: Instant,
        end: &AttemptEnd,
        latency_objective: Span,
        degraded: bool,
    ) {
        let (outcome, latency) = (end.outcome, end.latency);
        use AttemptOutcome::{Rejected, Succeeded, TimedOut};
        let in_flight = self.in_flight.len() as f64 + 1.0;
        if outcome == Succeeded && latency <= latency_objective {
            let increase = f64::from(in_flight + 1.0 >= self.window.floor()) / self.window;
            self.window = (self.window + increase).min(LARGEST_WINDOW);
        } else if !degraded
            && matches!(outcome, Succeeded | TimedOut | Rejected)
            && now - latency > self.last_decrease
        {
            self.window = (self.window.min(in_flight) * SHARED_DECREASE).max(1.0);
            self.last_decrease = now;
        }
    }
}
