//! This host's membership in the fleet. Messages are passed between `gullsail-fleet` and the connections to peers.
//! The demand on each budget is reported to the fleet, and the shares that the fleet grants become allocations for
//! the scheduler. A host holds its shares under a lease. A floor is the part of a budget that a host may use
//! without one.

use super::Core;
use super::timer_kind::TimerKind;
use gullsail_configuration::Deployment;
use gullsail_fleet::Event as FleetEvent;
use gullsail_fleet::delayed_increase::DelayedIncrease;
use gullsail_fleet::maintenance::SERVED;
use gullsail_fleet::{Fleet, Status, WHOLE};
use gullsail_protocol::{FleetMessage, Frame};
use gullsail_scheduler_api::{
    BudgetScope, Event, FleetMembership, HostId, Instant, NodeId, PlanId, Span, VolumeAllocation,
    VolumeId, ZoneId,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tracing::{Level, debug, enabled};

/// Id of the slow-start budget. Ids of volumes have fewer bits, so none of them equals one of these three ids.
pub(super) const SLOW_START_BUDGET: VolumeId = VolumeId(u64::MAX);
/// Id of the budget of new connections to nodes, per second and node.
pub(super) const CONNECT_BUDGET: VolumeId = VolumeId(u64::MAX - 1);
/// Id of the budget of probes of nodes that do not answer, per second and node.
pub(super) const PROBE_BUDGET: VolumeId = VolumeId(u64::MAX - 2);
/// The longest interval between two connections to a node, or two probes of it: 60 s. A host with almost no share
/// still tries each node this often, so that it uses every node eventually.
const MAX_PACING_INTERVAL: Span = Span::from_micros(60_000_000);
/// Shortest time until a fleet timer fires: 1 ms, in microseconds. Otherwise a fleet that is due again at once would
/// wake the host in a tight loop.
const MIN_FLEET_TIMER_US: i64 = 1000;

/// The fleet as this host sees it, with the names of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetView {
    /// The fleet's name in the configuration.
    pub name: String,
    /// The configured duration of a lease, in milliseconds.
    pub lease_ms: f64,
    /// Names of hosts, indexed by their numbers in `status`.
    pub hosts: Vec<String>,
    /// Numbers of budgets in `status`, each with the budget's name.
    pub budgets: Vec<(u64, String)>,
    /// The fleet's status, which refers to hosts and budgets by number.
    pub status: Status,
}

/// This host's membership in the fleet, and what was last reported to the scheduler about it.
pub(super) struct FleetState {
    /// This host as a member of the fleet; `None`: the configuration has no fleet.
    pub(super) member: Option<Fleet>,
    /// When the newest timer for the member's next advance fires; `None`: none was set.
    pub(super) next_advance: Option<Instant>,
    /// Hosts that have left the fleet or whose lease has expired, according to the coordinator. They use at most their
    /// floors.
    pub(super) inactive_members: BTreeSet<HostId>,
    /// This host's share of the slow-start budget. An increase takes effect with a delay.
    pub(super) slow_start_share: DelayedIncrease,
    /// When the slow-start share increases next; `None`: no increase is delayed.
    pub(super) next_slow_start_increase: Option<Instant>,
    /// The fleet membership that was last reported to the scheduler; `None`: none was.
    pub(super) last_membership: Option<FleetMembership>,
}

impl FleetState {
    pub(super) fn new(deployment: &Deployment) -> FleetState {
        FleetState {
            member: None,
            next_advance: None,
            inactive_members: BTreeSet::new(),
            slow_start_share: slow_start_delayed_increase(deployment),
            next_slow_start_increase: None,
            last_membership: None,
        }
    }
}

impl Core {
    pub(super) fn start_fleet(&mut self, seed: u64) {
        if let Some(fleet_config) = self.fleet_config() {
            self.fleet.member = Some(Fleet::new(
                Arc::new(fleet_config),
                self.identity.host,
                self.identity.incarnation,
                seed,
                self.now,
            ));
            self.apply_shares();
            self.advance_fleet();
        }
    }

    pub(super) fn notify_fleet(&mut self, event: FleetEvent) {
        if let Some(fleet) = &mut self.fleet.member {
            fleet.handle(self.now, event);
        }
    }

    pub(super) fn fleet_message(&mut self, link: HostId, message: FleetMessage) {
        self.notify_fleet(FleetEvent::Message { link, message });
    }

    /// Reports demand on a budget to the fleet: in bytes for a cross-zone budget, in connections for
    /// [`CONNECT_BUDGET`], and in units of work for all others.
    pub(super) fn record_demand(&mut self, budget: VolumeId, units: f64) {
        self.notify_fleet(FleetEvent::DemandObserved { budget, units });
    }

    /// Counts an accepted request as demand on its volume, on the slow-start budget, and on the budget of probes:
    /// the more requests a host has, the more of them benefit from a probe.
    pub(super) fn record_request_demand(&mut self, volume: VolumeId, units: f64) {
        self.record_demand(volume, units);
        self.record_demand(SLOW_START_BUDGET, units);
        self.record_demand(PROBE_BUDGET, units);
    }

    /// Reports units of requests that succeeded. The maintenance coordinator keeps enough servers in service to
    /// serve them.
    pub(super) fn record_served(&mut self, units: f64) {
        self.record_demand(SERVED, units);
    }

    /// Returns the interval between operations at this host's share of `rate`, which is the limit per second
    /// to one node, from all hosts together. Zero: the operations are not limited.
    fn pacing_interval(&self, budget: VolumeId, rate: Option<f64>) -> Span {
        let (Some(fleet), Some(rate)) = (&self.fleet.member, rate) else {
            return Span::ZERO;
        };
        let own_rate = f64::from(fleet.share(budget)) / f64::from(WHOLE) * rate;
        if own_rate > 0.0 {
            Span::from_millis(1e3 / own_rate).min(MAX_PACING_INTERVAL)
        } else {
            MAX_PACING_INTERVAL
        }
    }

    /// Whether a connection to the node may be opened now. `Err`: when to try again.
    pub(super) fn may_connect(&mut self, node: NodeId) -> Result<(), Instant> {
        let interval = self.pacing_interval(
            CONNECT_BUDGET,
            self.deployment
                .fleet
                .as_ref()
                .and_then(|fleet| fleet.connects),
        );
        let Some(record) = self.nodes.get(node) else {
            return Ok(());
        };
        let may = record.rate_pacer.take(interval, self.now, &mut self.rng);
        self.record_demand(CONNECT_BUDGET, 1.0);
        may
    }

    /// Counts traffic between zones as demand on each cross-zone budget that it is charged to.
    pub(super) fn record_cross_zone_demand(
        &mut self,
        from: ZoneId,
        to: ZoneId,
        plan: Option<PlanId>,
        bytes: usize,
    ) {
        if self.fleet.member.is_none() {
            return;
        }
        let deployment = self.deployment.clone();
        let is_charged = |scope: &BudgetScope| {
            *scope == BudgetScope::ZonePair(from, to)
                || plan.is_some_and(|plan| *scope == BudgetScope::Plan(plan))
        };
        for budget in &deployment.cross_zone_budgets {
            if is_charged(&budget.scope) {
                self.record_demand(budget.id, bytes as f64);
            }
        }
    }

    pub(super) fn update_fleet_config(&mut self) {
        if let Some(fleet_config) = self.fleet_config() {
            self.notify_fleet(FleetEvent::Config(Arc::new(fleet_config)));
        }
    }

    /// Advances the fleet. This comes before the scheduler's step, so that the scheduler decides with the current
    /// shares: leases may have expired and messages may have arrived.
    pub(super) fn advance_fleet(&mut self) {
        let Some(fleet) = &mut self.fleet.member else {
            return;
        };
        fleet.advance(self.now);
        let outputs: Vec<_> = fleet.outputs().collect();
        let next = fleet.next();
        let changed = fleet.changed();
        for output in outputs {
            self.send_to_peer(output.to, Frame::from(output.message));
        }
        let share_rises = self.fleet.next_slow_start_increase;
        if changed || share_rises.is_some_and(|at| at <= self.now) {
            self.apply_shares();
        }
        self.advance_maintenance(changed);
        self.schedule_fleet_advance(next);
    }

    /// Sets a timer for the fleet's next advance, unless an earlier one is set. Timers cannot be cancelled, so a later
    /// one that is set still fires, without effect.
    fn schedule_fleet_advance(&mut self, next: Instant) {
        let set = self.fleet.next_advance;
        if set.is_none_or(|at| at <= self.now || next < at) {
            let at = next.max(self.now + Span::from_micros(MIN_FLEET_TIMER_US));
            self.fleet.next_advance = Some(at);
            self.set_timer(at, TimerKind::Fleet);
        }
    }

    /// Reports this host's shares to the scheduler, ahead of all events of this step except configurations.
    fn apply_shares(&mut self) {
        let Some(fleet) = &self.fleet.member else {
            return;
        };
        let shares = self.budget_shares(fleet);
        let slow_start_share = fleet.share(SLOW_START_BUDGET);
        let inactive: BTreeSet<HostId> = fleet.inactive_hosts().collect();
        let was_inactive = std::mem::replace(&mut self.fleet.inactive_members, inactive.clone());
        self.log_shares();
        self.config_change.transition.set_shares(shares, inactive);
        let allocations = self.config_change.transition.changed();
        let slow_start_share = self.delay_slow_start_increase(slow_start_share);
        self.report_allocations(allocations, slow_start_share);
        if was_inactive != self.fleet.inactive_members {
            // The floors of hosts that may still follow an older configuration have changed.
            self.update_fleet_config();
            self.schedule_revision_round();
        }
    }

    /// Returns this host's share of each volume and of each cross-zone budget, as a fraction.
    fn budget_shares(&self, fleet: &Fleet) -> BTreeMap<VolumeId, f64> {
        let volumes = self.deployment.volumes.iter().map(|volume| volume.id);
        let cross_zone = self.deployment.cross_zone_budgets.iter();
        let budgets = volumes.chain(cross_zone.map(|budget| budget.id));
        budgets
            .map(|id| (id, f64::from(fleet.share(id)) / f64::from(WHOLE)))
            .collect()
    }

    /// Delays an increase of the slow-start share to `granted`. Returns the share that this host may use now. Both
    /// are in parts of [`WHOLE`].
    fn delay_slow_start_increase(&mut self, granted: u32) -> u32 {
        let (usable, next_increase) = self.fleet.slow_start_share.hold(granted, self.now);
        self.fleet.next_slow_start_increase = next_increase;
        if let Some(at) = next_increase {
            self.set_timer(at, TimerKind::Fleet);
        }
        usable
    }

    /// Reports allocations and the fleet membership to the scheduler, if any of them changed.
    fn report_allocations(&mut self, allocations: Vec<VolumeAllocation>, slow_start_share: u32) {
        let membership = Some(self.fleet_membership(slow_start_share));
        if allocations.is_empty() && self.fleet.last_membership == membership {
            return;
        }
        self.fleet.last_membership = membership;
        let event = Event::ConfigChanged {
            plans: self.deployment.figures().plans.clone(),
            allocations,
            cross_zone_budgets: self.deployment.cross_zone_budgets_at(self.identity.host),
            fleet_membership: membership,
        };
        // After configurations of the same step, before all other events.
        self.events
            .insert_after_last(event, |event| matches!(event, Event::ConfigChanged { .. }));
    }

    fn fleet_membership(&self, slow_start_share: u32) -> FleetMembership {
        let slow_start_share = Some(f64::from(slow_start_share) / f64::from(WHOLE));
        let probe_interval = self.pacing_interval(
            PROBE_BUDGET,
            self.deployment
                .fleet
                .as_ref()
                .and_then(|fleet| fleet.probes),
        );
        FleetMembership {
            host_count: self.deployment.hosts.len() as u32,
            slow_start_share,
            probe_interval,
        }
    }

    /// Logs the shares that this host holds and for how long. Each line contains all budgets, so it is built only
    /// if its level is enabled. The scenario runner parses these lines: their target, message and fields must stay
    /// (`parts`: share by budget name; `lasts_us`: -1 without a lease; `member`: a host name).
    fn log_shares(&self) {
        let Some(fleet) = &self.fleet.member else {
            return;
        };
        if !enabled!(target: "gullsail_parts", Level::DEBUG) {
            return;
        }
        let (shares, lease) = fleet.shares_and_lease();
        let held: BTreeMap<_, _> = shares
            .filter_map(|(id, share)| Some((self.budget_name(id.0)?, share)))
            .collect();
        let epoch = fleet.epoch();
        // Serializing a map from strings to numbers does not fail.
        let held = serde_json::to_string(&held).unwrap_or_default();
        let lasts_us = lease.map_or(-1, Span::micros);
        let own_place = self.deployment.hosts.get(self.identity.host.0 as usize);
        let member = own_place.map_or("", |host| host.name.as_str());
        let incarnation = self.identity.incarnation;
        debug!(target: "gullsail_parts", member, incarnation, epoch, lasts_us, parts = held, "parts");
    }

    /// Starts to leave the fleet, or continues. Returns whether this host may exit: the coordinator has acknowledged
    /// its departure, or did not in time.
    pub(super) fn leave_fleet(&mut self) -> bool {
        self.notify_fleet(FleetEvent::Leave);
        self.advance_fleet();
        self.fleet.member.as_ref().is_none_or(Fleet::has_left)
    }

    /// Returns the state of the fleet for operators; `None`: the configuration has no fleet.
    pub fn fleet_view(&self) -> Option<FleetView> {
        let fleet = self.fleet.member.as_ref()?;
        let configured = self.deployment.fleet.as_ref()?;
        let status = fleet.status();
        let budgets = status.budgets.iter();
        let budgets =
            budgets.filter_map(|budget| Some((budget.budget, self.budget_name(budget.budget)?)));
        let hosts = self.deployment.hosts.iter();
        Some(FleetView {
            name: configured.name.clone(),
            lease_ms: configured.lease.millis(),
            hosts: hosts.map(|host| host.name.clone()).collect(),
            budgets: budgets.collect(),
            status,
        })
    }
}

/// Creates the delay of increases of this host's slow-start share. It is one window of that budget plus the time an
/// attempt may wait for its connection. The window is a tenth longer than configured, as in the scheduler. Attempts
/// counted against the old shares have left the window by then, so the shares of all hosts never add up to more
/// than the budget.
fn slow_start_delayed_increase(deployment: &Deployment) -> DelayedIncrease {
    let figures = deployment.figures();
    DelayedIncrease::new(figures.slow_start.window.times(1.1) + figures.max_connect_wait)
}
