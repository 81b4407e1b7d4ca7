//! Slow start: how many units may be sent to an endpoint that is warming up, and the estimate of the whole
//! fleet's demand that this limit needs.
//!
//! 1. All hosts together may send what a node can serve at its start, the slow-start budget; each host has an even share of it, which
//!    grows with the ramp.
//! 2. An attempt that was served within the window proves capacity and counts in part only.
//! 3. Where the even share is smaller than one request, a host may send one attempt at a time.
//! 4. Where the hosts ask for more than the budget, they start such lone attempts in turns.
//!
//! Rules 3 and 4 are inaccurate if the demand of this host differs much from that of the others.

use crate::scheduler::messages::AttemptKey;
use gullsail_scheduler_api::{AttemptOutcome, Instant, NodeId, SchedulerConfig, Span};

/// Part of the promised ramp growth that is used. At 1.0 any node that warms up slower than promised would
/// be overloaded.
const RAMP_SAFETY: f64 = 0.8;

/// Weight of an attempt that was served. It is above zero because the node may have deferred the work, or the
/// request was cheap.
const SERVED_WEIGHT: f64 = 0.33;

/// Part of the fleet's slow-start budget that one lone attempt may have, whatever the number of hosts.
const LONE_ATTEMPT_FRACTION: f64 = 0.25;

/// Attempts count for this many times the configured window: attempts that were sent apart may arrive
/// together.
const WINDOW_MARGIN: f64 = 1.1;

/// Weight of the newest demand in the estimate, for each epoch of 250 ms. The estimate then follows over some
/// seconds, about as long as a ramp; a larger weight makes the turns of lone attempts jump.
const DEMAND_SMOOTHING: f64 = 0.05;

/// Smallest initial fraction assumed, so that the growth stays finite.
const MIN_INITIAL_FRACTION: f64 = 0.01;

/// Nodes with neighbouring numbers start their turns at different hosts; numbers are taken modulo this.
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

/// How many units an endpoint may be sent now; infinite once it has warmed up.
pub(crate) struct SlowStartUnits {
    /// With the allowance for a lone attempt.
    pub(crate) units: f64,
    /// Within this host's even share, whatever other hosts send.
    pub(crate) even_units: f64,
}

impl SlowStartUnits {
    /// For an endpoint that has warmed up.
    const UNLIMITED: SlowStartUnits = SlowStartUnits {
        units: f64::INFINITY,
        even_units: f64::INFINITY,
    };
}

/// The attempts recently sent to one endpoint. They are kept one by one, not as a decaying sum, because the
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

    /// An attempt that never went out does not count.
    pub(crate) fn record_ended(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::NotSent {
            self.attempts.retain(|attempt| attempt.key != key);
        } else if outcome == AttemptOutcome::Succeeded {
            for attempt in self.attempts.iter_mut().filter(|sent| sent.key == key) {
                attempt.served = true;
            }
        }
    }

    /// The units that `node`, which last started at `started`, may be sent now.
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
        self.forget_old(now, config);
        let even_share = ramped_share(age, config);
        let sent: f64 = self
            .attempts
            .iter()
            .map(RecentAttempt::weighted_units)
            .sum();
        let even_units = even_share - sent;
        let lone_units = config.slow_start.units * LONE_ATTEMPT_FRACTION;
        let own_turn = is_own_turn(node, even_share, now, config, fleet_demand);
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

    /// An attempt may go out later than it was decided, by up to `max_connect_wait`: it counts for that much longer.
    fn forget_old(&mut self, now: Instant, config: &SchedulerConfig) {
        let window = config.slow_start.window.times(WINDOW_MARGIN) + config.max_connect_wait;
        self.attempts
            .retain(|attempt| now - attempt.sent_at <= window);
    }

    fn all_served(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.served)
    }

    /// Number of attempts remembered.
    pub(crate) fn len(&self) -> usize {
        self.attempts.len()
    }
}

/// This host's even share of the units within the window, `age` after the node's start.
fn ramped_share(age: Span, config: &SchedulerConfig) -> f64 {
    let rule = &config.slow_start;
    let ramped = (age - rule.window).secs().max(0.0) / rule.ramp.secs();
    let initial = rule.initial_fraction.max(MIN_INITIAL_FRACTION);
    let growth = (1.0 - rule.initial_fraction) * ramped / initial;
    config.slow_start_units_per_host() * (1.0 + RAMP_SAFETY * growth)
}

/// Whether this host may start lone attempts in the current window. With `turns` groups of hosts, each group
/// has every `turns`-th window; with demand below the budget there is one group, and it is always its turn.
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
    let rotation_offset = (f64::from(config.me.0) + node_offset) / hosts * turns;
    let windows_elapsed = now.millis() / config.slow_start.window.millis();
    (rotation_offset + windows_elapsed) % turns < 1.0
}

/// Estimate of the units that all hosts together ask of one node within the slow-start window. It assumes that
/// the other hosts are asked for as much as this one.
pub(crate) struct FleetDemandEstimate {
    units_per_window: f64,
}

impl FleetDemandEstimate {
    /// A host that has just started knows nothing of its demand. It assumes as much as the slow-start budget.
    pub(crate) fn new(config: &SchedulerConfig) -> Self {
        FleetDemandEstimate {
            units_per_window: config.slow_start.units,
        }
    }

    /// Takes in this host's demand, in units a second, once in an epoch.
    pub(crate) fn update(&mut self, own_demand: f64, shards: usize, config: &SchedulerConfig) {
        let shards = shards.max(1) as f64;
        let newest =
            own_demand * f64::from(config.host_count) * config.slow_start.window.secs() / shards;
        self.units_per_window += (newest - self.units_per_window) * DEMAND_SMOOTHING;
    }
}
