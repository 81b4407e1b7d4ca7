//! This host's part in the fleet: its messages go to and from `gullsail-fleet` over the connections between
//! hosts, the demand on each budget is reported there, and the shares that come back become allocations for
//! the scheduler.

use super::Core;
use super::timers::TimerKind;
use gullsail_configuration::Deployment;
use gullsail_fleet::Event as FleetEvent;
use gullsail_fleet::delayed_increase::DelayedIncrease;
use gullsail_fleet::maintenance::SERVED;
use gullsail_fleet::{Fleet, Status, WHOLE};
use gullsail_protocol::{FleetMessage, Frame};
use gullsail_scheduler_api::{
    BudgetScope, Event, FleetMembership, HostId, Instant, NodeId, PlanId, Span, VolumeId, ZoneId,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tracing::{Level, debug, enabled};

/// The slow-start budget, among the budgets: numbers of volumes are shorter.
pub(super) const SLOW_START_BUDGET: VolumeId = VolumeId(u64::MAX);
/// New connections to nodes, a second to each.
pub(super) const CONNECT_BUDGET: VolumeId = VolumeId(u64::MAX - 1);
/// Attempts to nodes that do not answer, a second to each.
pub(super) const PROBE_BUDGET: VolumeId = VolumeId(u64::MAX - 2);
/// At the latest after so long, also where a host has next to no share: so that no node is left out for good.
const LONGEST_INTERVAL: Span = Span::from_micros(60_000_000);

/// The fleet as this host sees it, with names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetView {
    /// The fleet's name.
    pub name: String,
    /// How long a lease lasts, in milliseconds.
    pub lease_ms: f64,
    /// Names of hosts, by their numbers in `status`.
    pub hosts: Vec<String>,
    /// Names of budgets, by their numbers in `status`.
    pub budgets: Vec<(u64, String)>,
    /// What the fleet reports of itself.
    pub status: Status,
}

impl Core {
    pub(super) fn start_fleet(&mut self, seed: u64) {
        if let Some(fleet_config) = self.fleet_config() {
            self.fleet = Some(Fleet::new(
                Arc::new(fleet_config),
                self.me,
                self.incarnation,
                seed,
                self.now,
            ));
            self.apply_shares();
            self.fleet_turn();
        }
    }

    pub(super) fn notify_fleet(&mut self, event: FleetEvent) {
        if let Some(fleet) = &mut self.fleet {
            fleet.handle(self.now, event);
        }
    }

    pub(super) fn fleet_message(&mut self, link: HostId, message: FleetMessage) {
        self.notify_fleet(FleetEvent::Message { link, message });
    }

    pub(super) fn record_demand(&mut self, budget: VolumeId, units: f64) {
        self.notify_fleet(FleetEvent::DemandObserved { budget, units });
    }

    /// An accepted request counts for its volume, for the slow-start budget, and for how often this host may
    /// probe silent nodes: a host with more requests has more use of what it learns.
    pub(super) fn record_request_demand(&mut self, volume: VolumeId, units: f64) {
        self.record_demand(volume, units);
        self.record_demand(SLOW_START_BUDGET, units);
        self.record_demand(PROBE_BUDGET, units);
    }

    /// What succeeded counts as served: the servers that stay must be able to do as much.
    pub(super) fn record_served(&mut self, units: f64) {
        self.record_demand(SERVED, units);
    }

    /// This host's interval between two of what all hosts together do so many times a second; zero: as often
    /// as it likes.
    fn interval(&self, budget: VolumeId, rate: Option<f64>) -> Span {
        let (Some(fleet), Some(rate)) = (&self.fleet, rate) else {
            return Span::ZERO;
        };
        let own_rate = f64::from(fleet.share(budget)) / f64::from(WHOLE) * rate;
        if own_rate > 0.0 {
            Span::from_millis(1e3 / own_rate).min(LONGEST_INTERVAL)
        } else {
            LONGEST_INTERVAL
        }
    }

    /// Whether a connection to the node may be opened now. `Err`: when to try again.
    pub(super) fn may_connect(&mut self, node: NodeId) -> Result<(), Instant> {
        let interval = self.interval(
            CONNECT_BUDGET,
            self.deployment.fleet.as_ref().and_then(|f| f.connects),
        );
        let Some(n) = self.nodes.get(node) else {
            return Ok(());
        };
        let may = n.rate_pacer.take(interval, self.now, &mut self.rng);
        self.record_demand(CONNECT_BUDGET, 1.0);
        may
    }

    /// Traffic between zones counts against its budgets.
    pub(super) fn record_cross_zone_demand(
        &mut self,
        from: ZoneId,
        to: ZoneId,
        plan: Option<PlanId>,
        bytes: usize,
    ) {
        if self.fleet.is_none() {
            return;
        }
        let d = self.deployment.clone();
        let counts = |scope: &BudgetScope| {
            *scope == BudgetScope::ZonePair(from, to)
                || plan.is_some_and(|p| *scope == BudgetScope::Plan(p))
        };
        for c in d.cross_zone_budgets.iter().filter(|c| counts(&c.of)) {
            self.record_demand(c.id, bytes as f64);
        }
    }

    pub(super) fn update_fleet_config(&mut self) {
        if let Some(fleet_config) = self.fleet_config() {
            self.notify_fleet(FleetEvent::Config(Arc::new(fleet_config)));
        }
    }

    /// Lets the fleet act before anything is decided: on leases that ended, and on messages that came.
    pub(super) fn fleet_turn(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        fleet.advance(self.now);
        let outputs: Vec<_> = fleet.outputs().collect();
        let (next, changed) = (fleet.next(), fleet.changed());
        for output in outputs {
            self.send_to_peer(output.to, Frame::from(output.message));
        }
        if changed
            || self
                .next_slow_start_increase
                .is_some_and(|at| at <= self.now)
        {
            self.apply_shares();
        }
        self.maintenance_turn(changed);
        if self
            .next_fleet_turn
            .is_none_or(|at| at <= self.now || next < at)
        {
            // A timer that is replaced fires all the same, for nothing.
            let at = next.max(self.now + Span::from_micros(1000));
            self.next_fleet_turn = Some(at);
            self.at(at, TimerKind::Fleet);
        }
    }

    /// Reports the shares to the scheduler, ahead of all events of this step.
    fn apply_shares(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        let d = self.deployment.clone();
        let share = |id: VolumeId| f64::from(fleet.share(id)) / f64::from(WHOLE);
        let ids = d
            .volumes
            .iter()
            .map(|v| v.id)
            .chain(d.cross_zone_budgets.iter().map(|c| c.id));
        let shares: BTreeMap<VolumeId, f64> = ids.map(|id| (id, share(id))).collect();
        let slow_start_share = fleet.share(SLOW_START_BUDGET);
        let offline: BTreeSet<HostId> = fleet.out().collect();
        let was_offline = std::mem::replace(&mut self.hosts_offline, offline.clone());
        self.log_shares();
        self.config_transition.settle(shares, offline);
        let allocations = self.config_transition.changed();
        let (slow_start_share, next_increase) =
            self.slow_start_share.hold(slow_start_share, self.now);
        self.next_slow_start_increase = next_increase;
        if let Some(at) = next_increase {
            self.at(at, TimerKind::Fleet);
        }
        let fleet_membership = self.fleet_membership(slow_start_share);
        if !allocations.is_empty() || self.last_membership != Some(fleet_membership) {
            self.last_membership = Some(fleet_membership);
            let plans = d.figures().plans.clone();
            let event = Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets: d.cross_zone_budgets_at(self.me),
                fleet_membership: Some(fleet_membership),
            };
            // After configurations that came in the same step, before all else.
            self.insert_after_last(event, |e| matches!(e, Event::ConfigChanged { .. }));
        }
        if was_offline != self.hosts_offline {
            // Floors of hosts that may hold an older configuration differ now.
            self.update_fleet_config();
            self.schedule_revision_round();
        }
    }

    /// Inserts an event behind the last of those that must come first, ahead of all others of this step.
    pub(super) fn insert_after_last(&mut self, event: Event, comes_first: impl Fn(&Event) -> bool) {
        let last = self.events.iter().rposition(comes_first);
        self.events.insert(last.map_or(0, |place| place + 1), event);
    }

    fn fleet_membership(&self, slow_start_share: u32) -> FleetMembership {
        let slow_start_share = Some(f64::from(slow_start_share) / f64::from(WHOLE));
        let probe_interval = self.interval(
            PROBE_BUDGET,
            self.deployment.fleet.as_ref().and_then(|f| f.probes),
        );
        FleetMembership {
            hosts: self.deployment.hosts.len() as u32,
            slow_start_share,
            probe_interval,
        }
    }

    /// Logs what this host may use from now on, and for how long: a line for each change, with all budgets,
    /// so only where it is enabled. The scenario runner parses these lines.
    fn log_shares(&self) {
        let Some(fleet) = self
            .fleet
            .as_ref()
            .filter(|_| enabled!(target: "gullsail_parts", Level::DEBUG))
        else {
            return;
        };
        let (parts, lease) = fleet.parts();
        let held: BTreeMap<_, _> = parts
            .filter_map(|(id, share)| Some((self.budget_name(id.0)?, share)))
            .collect();
        let (epoch, held) = (
            fleet.epoch(),
            serde_json::to_string(&held).unwrap_or_default(),
        );
        let lasts_us = lease.map_or(-1, Span::micros);
        let member = self
            .deployment
            .hosts
            .get(self.me.0 as usize)
            .map_or("", |h| h.name.as_str());
        let incarnation = self.incarnation;
        debug!(target: "gullsail_parts", member, incarnation, epoch, lasts_us, parts = held, "parts");
    }

    /// Rises of this host's share of the slow-start budget count a window later: a tenth longer than the
    /// rule's, as the scheduler counts it, and as long as an attempt may wait.
    pub(super) fn slow_start_delayed_increase(d: &Deployment) -> DelayedIncrease {
        DelayedIncrease::new(d.figures().slow_start.window.times(1.1) + d.figures().connect_wait)
    }

    /// Everything is answered: the fleet is notified. Returns whether this host may leave: once the fleet
    /// knows, or soon.
    pub(super) fn leave_fleet(&mut self) -> bool {
        self.notify_fleet(FleetEvent::Leave);
        self.fleet_turn();
        self.fleet.as_ref().is_none_or(Fleet::has_left)
    }

    /// What operators see of the fleet; `None`: there is none.
    pub fn fleet(&self) -> Option<FleetView> {
        let (fleet, named) = (self.fleet.as_ref()?, self.deployment.fleet.as_ref()?);
        let status = fleet.status();
        let names = status
            .budgets
            .iter()
            .filter_map(|b| Some((b.budget, self.budget_name(b.budget)?)));
        Some(FleetView {
            name: named.name.clone(),
            lease_ms: named.lease.millis(),
            hosts: self
                .deployment
                .hosts
                .iter()
                .map(|h| h.name.clone())
                .collect(),
            budgets: names.collect(),
            status,
        })
    }
}
