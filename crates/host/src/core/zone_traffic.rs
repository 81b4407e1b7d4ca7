//! Traffic between zones, counted as frames go out and come in, and overruns of its budgets as the scheduler
//! decides them. Nothing is decided by these figures here.

use super::Core;
use super::connection_table::PeerKind;
use super::input_output::LinkId;
use gullsail_protocol::{Frame, Message};
use gullsail_scheduler_api::{
    HostId, OverrunCause, PlanId, RequestClassId, RequestId, VolumeId, ZoneId,
};
use gullsail_zone_traffic::{Flow, FlowOf, Overrun, OverrunReason, Reason, Total};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A flow and its total, by the names of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crossed {
    /// The zone that it left.
    pub from: String,
    /// The zone that it went to.
    pub to: String,
    /// Why.
    pub reason: Reason,
    /// Of a request; empty where there is none.
    pub plan: String,
    /// Of a request; empty where there is none.
    pub volume: String,
    /// Of a request; empty where there is none.
    #[serde(rename = "stream_type")]
    pub request_class: String,
    /// How much.
    #[serde(flatten)]
    pub total: Total,
}

/// Bytes beyond a budget, over one interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetOverrun {
    /// The budget's name.
    pub budget: String,
    /// Why it was exceeded, as known when it was decided.
    pub cause: String,
    /// Begin of the interval, by the host's clock.
    pub from_us: i64,
    /// End of the interval, by the host's clock.
    pub to_us: i64,
    /// How much.
    pub bytes: u64,
}

/// Traffic between zones in one incarnation of a host.
#[derive(Clone, Debug, Default)]
pub struct ZoneTraffic {
    /// All flows.
    pub crossed: Vec<Crossed>,
    /// Overruns of budgets.
    pub overruns: Vec<BudgetOverrun>,
}

/// The attempt that a node answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnsweredAttempt {
    pub(super) request: RequestId,
    /// Its place among the request's attempts.
    pub(super) number: u32,
}

impl Core {
    /// The ledger and the overruns of this incarnation, by name.
    pub fn zone_traffic(&self) -> ZoneTraffic {
        let volumes = self
            .deployment
            .volumes
            .iter()
            .map(|v| (v.id, v.name.as_str()));
        let volumes: BTreeMap<VolumeId, &str> = volumes.collect();
        let flows = self.ledger.since(None).into_iter();
        ZoneTraffic {
            crossed: flows
                .map(|(flow, total)| self.named_flow(&flow, total, &volumes))
                .collect(),
            overruns: self
                .overruns
                .all()
                .map(|overrun| self.named_overrun(overrun))
                .collect(),
        }
    }

    fn named_flow(&self, flow: &Flow, total: Total, volumes: &BTreeMap<VolumeId, &str>) -> Crossed {
        let d = &self.deployment;
        let zone = |z: ZoneId| {
            d.zones
                .get(z.0)
                .cloned()
                .unwrap_or_else(|| "unknown".into())
        };
        let volume = |of: FlowOf| {
            volumes
                .get(&of.volume)
                .copied()
                .unwrap_or_default()
                .to_string()
        };
        let request_class = flow
            .of
            .and_then(|of| d.request_classes.get(of.request_class.0));
        Crossed {
            from: zone(flow.from),
            to: zone(flow.to),
            reason: flow.reason,
            plan: flow
                .of
                .map(|of| self.plan_name(of.plan))
                .unwrap_or_default(),
            volume: flow.of.map(volume).unwrap_or_default(),
            request_class: request_class.map(|s| s.name.clone()).unwrap_or_default(),
            total,
        }
    }

    fn named_overrun(&self, overrun: &Overrun) -> BudgetOverrun {
        let budgets = &self.deployment.cross_zone_budgets;
        let budget = budgets.iter().find(|c| c.id == overrun.cross_zone_budget);
        let cause = match overrun.known {
            OverrunReason::Decided(OverrunCause::DataPlacement) => "bound to data".to_string(),
            OverrunReason::Decided(OverrunCause::NoLocalNode) => "zone drained".into(),
            OverrunReason::Decided(OverrunCause::LocalNodesSilent) => "zone silent".into(),
            OverrunReason::Decided(OverrunCause::Retry) => "further legs".into(),
            OverrunReason::Surge(plan) => format!("surge of plan {}", self.plan_name(plan)),
        };
        BudgetOverrun {
            budget: budget.map(|c| c.name.clone()).unwrap_or_default(),
            cause,
            from_us: overrun.from.micros(),
            to_us: overrun.to.micros(),
            bytes: overrun.bytes.round() as u64,
        }
    }

    fn plan_name(&self, plan: PlanId) -> String {
        self.deployment
            .plans
            .get(plan.0)
            .map(|p| p.name.clone())
            .unwrap_or_default()
    }

    /// This host's zone. `None` where there are no cross-zone budgets: then nothing is counted, and counting
    /// costs nothing.
    fn here(&self) -> Option<ZoneId> {
        let place = self.deployment.hosts.get(self.me.0 as usize)?;
        (!self.deployment.cross_zone_budgets.is_empty()).then_some(place.zone)
    }

    /// Counts a frame that carries no attempt: between hosts at its sender, between a host and a node at the
    /// host.
    pub(super) fn count_frame(&mut self, link: LinkId, frame: &Frame, out: bool) {
        let Some(here) = self.here() else { return };
        if matches!(
            frame.message,
            Message::Attempt(_) | Message::AttemptAnswer(_)
        ) {
            return;
        }
        match self.links.get(&link).map(|l| &l.peer_kind) {
            Some(PeerKind::Node(node)) => {
                let Some(there) = self.nodes.get(*node).map(|n| n.zone) else {
                    return;
                };
                let (from, to) = if out { (here, there) } else { (there, here) };
                self.count_peer_bytes(from, to, frame.len());
            }
            Some(PeerKind::OutgoingPeer(host)) if out => {
                let host = *host;
                self.count_peer_frame(host, frame.len());
            }
            Some(PeerKind::IncomingPeer(peer)) if out => {
                let host = peer.host;
                self.count_peer_frame(host, frame.len());
            }
            _ => {}
        }
    }

    pub(super) fn count_peer_frame(&mut self, host: HostId, bytes: usize) {
        let there = self.deployment.hosts.get(host.0 as usize).map(|h| h.zone);
        if let Some((here, there)) = self.here().zip(there) {
            self.count_peer_bytes(here, there, bytes);
        }
    }

    fn count_peer_bytes(&mut self, from: ZoneId, to: ZoneId, bytes: usize) {
        self.ledger.count(
            self.now,
            Flow {
                from,
                to,
                reason: Reason::Peers,
                of: None,
            },
            bytes,
            false,
        );
    }

    fn flow(&self, from: ZoneId, to: ZoneId, request: RequestId, attempt: u32) -> Flow {
        let Some(open) = self.requests.get(request) else {
            return Flow {
                from,
                to,
                reason: Reason::Further,
                of: None,
            };
        };
        let reason = match (attempt, open.submit.handle.is_some()) {
            (0, true) => Reason::Bound,
            (0, false) => Reason::Placed,
            _ => Reason::Further,
        };
        let volume = self.deployment.volume(&open.submit.volume);
        let place = self
            .deployment
            .request_classes
            .iter()
            .position(|s| s.name == open.submit.request_class);
        Flow {
            from,
            to,
            reason,
            of: volume.zip(place).map(|(v, class)| FlowOf {
                plan: v.plan,
                volume: v.id,
                request_class: RequestClassId(class),
            }),
        }
    }

    /// Counts an attempt that is sent to a node in that zone.
    pub(super) fn count_attempt(
        &mut self,
        zone: ZoneId,
        request: RequestId,
        attempt: u32,
        bytes: usize,
    ) {
        let Some(here) = self.here().filter(|here| *here != zone) else {
            return;
        };
        let flow = self.flow(here, zone, request, attempt);
        self.count(flow, bytes, false);
    }

    /// Counts an answer of a node in that zone; `used`: a client has the benefit of it.
    pub(super) fn count_answer(
        &mut self,
        zone: ZoneId,
        attempt: Option<AnsweredAttempt>,
        bytes: usize,
        used: bool,
    ) {
        let Some(here) = self.here().filter(|here| *here != zone) else {
            return;
        };
        let none = Flow {
            from: zone,
            to: here,
            reason: Reason::Further,
            of: None,
        };
        let flow = attempt.map_or(none, |a| self.flow(zone, here, a.request, a.number));
        self.count(flow, bytes, !used);
    }

    fn count(&mut self, flow: Flow, bytes: usize, for_nothing: bool) {
        self.ledger.count(self.now, flow, bytes, for_nothing);
        self.record_cross_zone_demand(flow.from, flow.to, flow.of.map(|of| of.plan), bytes);
        if let Some(of) = flow.of {
            self.overruns.crossed(self.now, of.plan, bytes as f64);
        }
    }

    /// The scheduler went beyond a budget.
    pub(super) fn record_overrun(
        &mut self,
        cross_zone_budget: VolumeId,
        bytes: f64,
        cause: OverrunCause,
    ) {
        self.overruns
            .record(self.now, cross_zone_budget, bytes, cause);
    }
}
