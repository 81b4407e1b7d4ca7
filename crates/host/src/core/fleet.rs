//! What the fleet settles, as this host takes part in it: its messages go to and from `gullsail-fleet` over the links between
//! hosts, what is asked of each budget is told there, and the shares that come back are terms for the decisions.

use super::*;
use gullsail_fleet::config::{floor, least};
use gullsail_fleet::delayed_increase::DelayedIncrease;
use gullsail_fleet::maintenance::SERVED;
use gullsail_fleet::{Budget, FleetConfig, Status, WHOLE};
use gullsail_protocol::FleetMessage;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tracing::{Level, enabled};

/// What cold nodes bear, among the budgets: numbers of volumes are shorter.
const COLD: VolumeId = VolumeId(u64::MAX);
/// New connections to nodes, and attempts to nodes of which nothing comes, a second to each.
const CONNECTS: VolumeId = VolumeId(u64::MAX - 1);
const PROBES: VolumeId = VolumeId(u64::MAX - 2);
/// Where a host has next to no part: as often at the least, so that no node is given up on for good.
const SELDOM: Span = Span::from_micros(60_000_000);

/// The fleet as this host sees it, with names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetView {
    pub name: String,
    pub lease_ms: f64,
    /// By their numbers, which `status` speaks of.
    pub hosts: Vec<String>,
    /// Of budgets, by their numbers there.
    pub budgets: Vec<(u64, String)>,
    pub status: Status,
}

impl Core {
    /// What the document says of the fleet, in its own terms; `None`: nothing.
    fn fleet_config(&self) -> Option<FleetConfig> {
        let d = &self.deployment;
        let fleet = d.fleet.as_ref()?;
        let mut budgets = BTreeMap::new();
        for v in &d.volumes {
            let Some(limit) = d.plans.get(v.plan.0).and_then(|p| p.decisions.limit) else { continue };
            let stragglers = self.stragglers(v.id, fleet.floor);
            let through = v.hosts.clone();
            let (floor, least) =
                (floor(fleet.floor, through.len()), least(d.figures().max_units, limit.burst));
            budgets.insert(v.id, Budget { through, floor, stragglers, least });
        }
        for c in &d.cross_zone_budgets {
            let (through, least) = (c.hosts.clone(), least(d.figures().max_bytes, c.limit.burst));
            let floor = floor(fleet.floor, through.len());
            let stragglers = self.stragglers(c.id, fleet.floor);
            budgets.insert(c.id, Budget { through, floor, stragglers, least });
        }
        // What cold nodes bear: of all hosts, by what each is asked for in all.
        let through: Arc<[HostId]> = (0..d.hosts.len() as u32).map(HostId).collect();
        let least = least(d.figures().max_units, d.figures().slow_start.units);
        let floor = floor(fleet.floor, through.len());
        let cold = Budget { through, floor, stragglers: BTreeMap::new(), least };
        // Rates have no largest that a part must hold: each is spaced out.
        let rates = [(CONNECTS, fleet.connects), (PROBES, fleet.probes)];
        budgets.extend(
            rates.iter().filter_map(|(id, rate)| rate.map(|_| (*id, Budget { least: 0, ..cold.clone() }))),
        );
        budgets.insert(COLD, cold);
        Some(FleetConfig {
            fleet: gullsail_configuration::number(&fleet.name),
            hosts: d.hosts.len() as u32,
            lease: fleet.lease,
            drift: fleet.drift,
            voters: fleet.voters,
            budgets,
            maintenance: d.maintenance.clone(),
        })
    }

    /// Who may still use a floor by a document from before.
    fn stragglers(&self, budget: VolumeId, part: f64) -> BTreeMap<HostId, u32> {
        let mut all: BTreeMap<HostId, u32> = BTreeMap::new();
        for (host, count) in self.config_transition.stragglers(budget) {
            let most = all.entry(host).or_default();
            *most = floor(part, count).max(*most);
        }
        all
    }

    pub(super) fn start_fleet(&mut self, seed: u64) {
        if let Some(fleet_config) = self.fleet_config() {
            self.fleet = Some(Fleet::new(Arc::new(fleet_config), self.me, self.incarnation, seed, self.now));
            self.settle();
            self.fleet_turn();
        }
    }

    pub(super) fn tell_fleet(&mut self, event: FleetEvent) {
        if let Some(fleet) = &mut self.fleet {
            fleet.handle(self.now, event);
        }
    }

    pub(super) fn fleet_message(&mut self, link: HostId, message: FleetMessage) {
        self.tell_fleet(FleetEvent::Message { link, message });
    }

    pub(super) fn fleet_asked(&mut self, budget: VolumeId, units: f64) {
        self.tell_fleet(FleetEvent::Asked { budget, units });
    }

    /// A request was taken: it counts for its volume, for what cold nodes bear of this host, and for how often it may ask
    /// silent ones: who has more to send has more to learn of them.
    pub(super) fn fleet_latency(&mut self, volume: VolumeId, units: f64) {
        self.fleet_asked(volume, units);
        self.fleet_asked(COLD, units);
        self.fleet_asked(PROBES, units);
    }

    /// What was done counts as served: what stays of the machines must do as much.
    pub(super) fn fleet_served(&mut self, units: f64) {
        self.fleet_asked(SERVED, units);
    }

    /// Between two of what all hosts together do so many times a second; zero: as often as this one likes.
    fn every(&self, budget: VolumeId, rate: Option<f64>) -> Span {
        let (Some(fleet), Some(rate)) = (&self.fleet, rate) else { return Span::ZERO };
        let part = f64::from(fleet.share(budget)) / f64::from(WHOLE) * rate;
        if part > 0.0 { Span::from_millis(1e3 / part).min(SELDOM) } else { SELDOM }
    }

    /// May a connection to the node be opened now? `Err`: when to ask again.
    pub(super) fn may_connect(&mut self, node: NodeId) -> Result<(), Instant> {
        let every = self.every(CONNECTS, self.deployment.fleet.as_ref().and_then(|f| f.connects));
        let Some(n) = self.nodes.get(node) else { return Ok(()) };
        let may = n.rate_pacer.take(every, self.now, &mut self.rng);
        self.fleet_asked(CONNECTS, 1.0);
        may
    }

    /// What crosses between zones counts against its budgets.
    pub(super) fn fleet_crossed(&mut self, from: ZoneId, to: ZoneId, plan: Option<PlanId>, bytes: usize) {
        if self.fleet.is_none() {
            return;
        }
        let d = self.deployment.clone();
        let of = |a: &BudgetScope| {
            *a == BudgetScope::ZonePair(from, to) || plan.is_some_and(|p| *a == BudgetScope::Plan(p))
        };
        for c in d.cross_zone_budgets.iter().filter(|c| of(&c.of)) {
            self.fleet_asked(c.id, bytes as f64);
        }
    }

    pub(super) fn fleet_document(&mut self) {
        if let Some(fleet_config) = self.fleet_config() {
            self.tell_fleet(FleetEvent::Config(Arc::new(fleet_config)));
        }
    }

    /// Before anything is decided: what the clock ended, and what came, is settled first.
    pub(super) fn fleet_turn(&mut self) {
        let Some(fleet) = &mut self.fleet else { return };
        fleet.advance(self.now);
        let outputs: Vec<_> = fleet.outputs().collect();
        let (next, changed) = (fleet.next(), fleet.changed());
        for output in outputs {
            self.tell_frame(output.to, Frame::from(output.message));
        }
        if changed || self.cold_at.is_some_and(|at| at <= self.now) {
            self.settle();
        }
        self.maintenance_turn(changed);
        if self.fleet_at.is_none_or(|at| at <= self.now || next < at) {
            // A timer that is set anew is played once more for nothing.
            let at = next.max(self.now + Span::from_micros(1000));
            self.fleet_at = Some(at);
            self.at(at, Due::Fleet);
        }
    }

    /// Shares as the decisions are told them, ahead of what came in this step.
    fn settle(&mut self) {
        let Some(fleet) = &self.fleet else { return };
        let d = self.deployment.clone();
        let share = |id: VolumeId| f64::from(fleet.share(id)) / f64::from(WHOLE);
        let ids = d.volumes.iter().map(|v| v.id).chain(d.cross_zone_budgets.iter().map(|c| c.id));
        let shares: BTreeMap<VolumeId, f64> = ids.map(|id| (id, share(id))).collect();
        let cold = fleet.share(COLD);
        let out: BTreeSet<HostId> = fleet.out().collect();
        let was_out = std::mem::replace(&mut self.fleet_out, out.clone());
        self.write_down();
        self.config_transition.settle(shares, out);
        let allocations = self.config_transition.changed();
        let (cold, look) = self.cold.hold(cold, self.now);
        self.cold_at = look;
        look.into_iter().for_each(|at| self.at(at, Due::Fleet));
        let fleet_membership = self.fleet_membership(cold);
        if !allocations.is_empty() || self.told_membership != Some(fleet_membership) {
            self.told_membership = Some(fleet_membership);
            let plans = d.figures().plans.clone();
            let event = Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets: d.cross_zone_budgets_at(self.me),
                fleet_membership: Some(fleet_membership),
            };
            // After documents that came in the same step, before all else.
            let last = self.events.iter().rposition(|e| matches!(e, Event::ConfigChanged { .. }));
            self.events.insert(last.map_or(0, |place| place + 1), event);
        }
        if was_out != self.fleet_out {
            // Floors of those who may hold to older documents are others now.
            self.fleet_document();
            self.plan_rounds();
        }
    }

    fn fleet_membership(&self, cold: u32) -> FleetMembership {
        let slow_start_share = Some(f64::from(cold) / f64::from(WHOLE));
        let probe_interval = self.every(PROBES, self.deployment.fleet.as_ref().and_then(|f| f.probes));
        FleetMembership { hosts: self.deployment.hosts.len() as u32, slow_start_share, probe_interval }
    }

    /// What this host may use from now on, and for how long, for whoever judges it later: a line for each change, as long
    /// as the document has budgets, so only where it is asked for.
    fn write_down(&self) {
        let Some(fleet) = self.fleet.as_ref().filter(|_| enabled!(target: "gullsail_parts", Level::DEBUG))
        else {
            return;
        };
        let (parts, lease) = fleet.parts();
        let held: BTreeMap<_, _> =
            parts.filter_map(|(id, share)| Some((self.budget_name(id.0)?, share))).collect();
        let (epoch, held) = (fleet.epoch(), serde_json::to_string(&held).unwrap_or_default());
        let lasts_us = lease.map_or(-1, Span::micros);
        let member = self.deployment.hosts.get(self.me.0 as usize).map_or("", |h| h.name.as_str());
        let incarnation = self.incarnation;
        debug!(target: "gullsail_parts", member, incarnation, epoch, lasts_us, parts = held, "parts");
    }

    fn budget_name(&self, id: u64) -> Option<String> {
        let d = &self.deployment;
        let own = [(COLD, "cold nodes"), (CONNECTS, "connections to nodes"), (PROBES, "probes of nodes")];
        if let Some((_, name)) = own.iter().find(|o| o.0.0 == id) {
            return Some(name.to_string());
        }
        let volume = d.volumes.iter().find(|v| v.id.0 == id).map(|v| v.name.clone());
        volume.or_else(|| {
            d.cross_zone_budgets.iter().find(|c| c.id.0 == id).map(|c| format!("crossing {}", c.name))
        })
    }

    /// All is answered: the fleet is told, and this host may leave once it knows, or soon.
    /// Shares of what cold nodes bear count a window later: a tenth longer than the rule's, as the decisions count it, and
    /// as long as an attempt may wait.
    pub(super) fn cold_delayed_increase(d: &Deployment) -> DelayedIncrease {
        DelayedIncrease::new(d.figures().slow_start.window.times(1.1) + d.figures().connect_wait)
    }

    pub(super) fn left_fleet(&mut self) -> bool {
        self.tell_fleet(FleetEvent::Leave);
        self.fleet_turn();
        self.fleet.as_ref().is_none_or(Fleet::gone)
    }

    pub fn fleet(&self) -> Option<FleetView> {
        let (fleet, named) = (self.fleet.as_ref()?, self.deployment.fleet.as_ref()?);
        let status = fleet.status();
        let names = status.budgets.iter().filter_map(|b| Some((b.budget, self.budget_name(b.budget)?)));
        Some(FleetView {
            name: named.name.clone(),
            lease_ms: named.lease.millis(),
            hosts: self.deployment.hosts.iter().map(|h| h.name.clone()).collect(),
            budgets: names.collect(),
            status,
        })
    }
}
