//! Slow start: the limit on the units sent to an endpoint that is warming up, and the estimate of the fleet's
//! demand that this limit uses.
//!
//! 1. The slow-start budget is what a node can serve at its start. It limits the units that all hosts together
//!    send within the slow-start window. Each host has an even share, unless the fleet assigns it another one.
//!    The share grows with the ramp.
//! 2. An attempt that was served proves capacity, so it counts only in part.
//! 3. Where the share is smaller than one request, a host may send lone attempts: each only after all earlier
//!    attempts in the window were served.
//! 4. Where the estimated demand of all hosts exceeds the budget, the hosts start lone attempts in turns.
//!
//! Rules 3 and 4 are inaccurate if the demand of this host differs much from that of the other hosts.

use crate::scheduler::messages::AttemptKey;
use gullsail_scheduler_api::{AttemptOutcome, Instant, NodeId, SchedulerConfig, Span};

/// Fraction of the configured ramp growth that is used. At 1.0, a node that warms up more slowly than
/// configured would be overloaded.
const RAMP_SAFETY: f64 = 0.8;

/// Weight of the units of an attempt that was served. It is above zero because the node may have deferred the
/// work, or the request may have been cheap.
const SERVED_WEIGHT: f64 = 0.33;

/// Fraction of the fleet's slow-start budget that a lone attempt may use, whatever the number of hosts.
const LONE_ATTEMPT_FRACTION: f64 = 0.25;

/// Factor on the configured window for which an attempt counts. It is above one because attempts that were sent
/// at different times may arrive at the node together.
const WINDOW_MARGIN: f64 = 1.1;

/// Weight of the newest demand in the moving average, updated in each epoch of 250 ms. The estimate then
/// follows the demand over some seconds, about as long as a ramp. With a larger weight, the number of turns for
/// lone attempts would change from one window to the next.
const DEMAND_SMOOTHING: f64 = 0.05;

/// Lower bound of the initial fraction that is divided by, so that the growth stays finite.
const MIN_INITIAL_FRACTION: f64 = 0.01;

/// Node ids are taken modulo this number to offset the turns of lone attempts. Nodes with consecutive ids thus
/// have their first turn at different hosts.
const NODE_OFFSETS: u64 = 4096;

struct RecentAttempt {
    key: AttemptKey,
    sent_at: Instant,
    units: f64,
    served: bool,
}

impl RecentAttempt {
    fn weighted_units(&self) -> f64 {
        if self.served {
            self.units * SERVED_WEIGHT
        } else {
            self.units
        }
    }
}

/// Units that this host may send to an endpoint now; infinite once the endpoint has warmed up.
pub(crate) struct SlowStartUnits {
    /// The units allowed, including those for a lone attempt.
    pub(crate) units: f64,
    /// The units left of this host's even share; may be negative.
    pub(crate) even_units: f64,
}

impl SlowStartUnits {
    /// The units for an endpoint that has warmed up.
    const UNLIMITED: SlowStartUnits = SlowStartUnits {
        units: f64::INFINITY,
        even_units: f64::INFINITY,
    };
}

/// The attempts recently sent to one endpoint. They are stored individually, not as a decaying sum, because the
/// slow-start limit is checked against exact counts.
#[derive(Default)]
pub(crate) struct SlowStart {
    attempts: Vec<RecentAttempt>,
}

impl SlowStart {
    pub(crate) fn record_sent(&mut self, key: AttemptKey, units: f64, now: Instant) {
        self.attempts.push(RecentAttempt {
            key,
            sent_at: now,
            units,
            served: false,
        });
    }

    /// Removes an attempt that was not sent; marks one that succeeded as served.
    pub(crate) fn record_ended(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::NotSent {
            self.attempts.retain(|attempt| attempt.key != key);
        } else if outcome == AttemptOutcome::Succeeded {
            for attempt in self.attempts.iter_mut().filter(|sent| sent.key == key) {
                attempt.served = true;
            }
        }
    }

    /// The units that this host may send to `node` now. `started` is the node's last start; `None` if unknown,
    /// in which case the node counts as warm.
    pub(crate) fn units(
        &mut self,
        node: NodeId,
        started: Option<Instant>,
        now: Instant,
        config: &SchedulerConfig,
        fleet_demand: &FleetDemandEstimate,
    ) -> SlowStartUnits {
        let age = started.map(|at| now - at);
        let Some(age) = age.filter(|age| *age < config.slow_start.ramp) else {
            self.attempts.clear();
            return SlowStartUnits::UNLIMITED;
        };
        self.remove_expired(now, config);
        let even_share = ramped_share(age, config);
        let sent: f64 = self
            .attempts
            .iter()
            .map(RecentAttempt::weighted_units)
            .sum();
        let even_units = even_share - sent;
        let lone_units = config.slow_start.units * LONE_ATTEMPT_FRACTION;
        let own_turn = is_own_turn(node, even_share, now, config, fleet_demand);
        // Lone attempts start in this host's turn. They may continue after it while an earlier attempt counts.
        let lone_allowed = self.all_served()
            && sent < even_share.max(lone_units)
            && (own_turn || !self.attempts.is_empty());
        let units = if lone_allowed {
            lone_units.max(even_units)
        } else {
            even_units
        };
        SlowStartUnits { units, even_units }
    }

    /// Removes attempts that no longer count. An attempt may leave the host up to `max_connect_wait` after the
    /// decision to send it, so it counts for that much longer.
    fn remove_expired(&mut self, now: Instant, config: &SchedulerConfig) {
        let window = config.slow_start.window.times(WINDOW_MARGIN) + config.max_connect_wait;
        self.attempts
            .retain(|attempt| now - attempt.sent_at <= window);
    }

    fn all_served(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.served)
    }

    /// Number of attempts stored.
    pub(crate) fn len(&self) -> usize {
        self.attempts.len()
    }
}

/// This host's even share of the units that may be sent within the window, `age` after the node's start.
fn ramped_share(age: Span, config: &SchedulerConfig) -> f64 {
    let slow_start = &config.slow_start;
    let ramped = (age - slow_start.window).secs().max(0.0) / slow_start.ramp.secs();
    let initial = slow_start.initial_fraction.max(MIN_INITIAL_FRACTION);
    let growth = (1.0 - slow_start.initial_fraction) * ramped / initial;
    config.slow_start_units_per_host() * (1.0 + RAMP_SAFETY * growth)
}

/// Whether this host may start lone attempts in the current slow-start window. The hosts form `turns` groups, and
/// each group has its turn in every `turns`-th window. While the demand is below the budget there is one group,
/// which always has its turn.
fn is_own_turn(
    node: NodeId,
    even_share: f64,
    now: Instant,
    config: &SchedulerConfig,
    fleet_demand: &FleetDemandEstimate,
) -> bool {
    let hosts = f64::from(config.host_count.max(1));
    let turns = (fleet_demand.units_per_window / (even_share * hosts))
        .max(1.0)
        .ceil();
    let node_offset = (node.0 % NODE_OFFSETS) as f64;
    let rotation_offset = (f64::from(config.host_id.0) + node_offset) / hosts * turns;
    let windows_elapsed = now.millis() / config.slow_start.window.millis();
    (rotation_offset + windows_elapsed) % turns < 1.0
}

/// Estimate of the units that all hosts together request from one node within the slow-start window. It assumes
/// that every host has the same demand as this one, and that the demand is spread evenly over the shards, with one
/// node for each.
pub(crate) struct FleetDemandEstimate {
    units_per_window: f64,
}

impl FleetDemandEstimate {
    /// The estimate of a host that has just started and has not measured its demand. It equals the slow-start
    /// budget.
    pub(crate) fn new(config: &SchedulerConfig) -> Self {
        FleetDemandEstimate {
            units_per_window: config.slow_start.units,
        }
    }

    /// Adds this host's current demand, in units a second, to the moving average. `shards` is the number of shards
    /// that have a ready endpoint. Called once in each epoch.
    pub(crate) fn update(&mut self, own_demand: f64, shards: usize, config: &SchedulerConfig) {
        let shards = shards.max(1) as f64;
        let newest =
            own_demand * f64::from(config.host_count) * config.slow_start.window.secs() / shards;
        self.units_per_window += (newest - self.units_per_window) * DEMAND_SMOOTHING;
    }
}
