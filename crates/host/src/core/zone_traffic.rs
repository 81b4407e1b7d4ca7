//! Counters of the traffic between zones. Frames are counted when they are sent and received, and overruns of
//! cross-zone budgets when the scheduler reports them. No decision depends on these counters.

use super::Core;
use super::connection_table::RemoteKind;
use super::ids::ConnectionId;
use gullsail_protocol::{Frame, Message};
use gullsail_scheduler_api::{
    HostId, Instant, OverrunCause, PlanId, RequestClassId, RequestId, Span, VolumeId, ZoneId,
};
use gullsail_zone_traffic::{
    Flow, FlowOf, Ledger, Overrun, OverrunReason, Overruns, Reason, Total,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The traffic of one flow between two zones, with the names of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneFlow {
    /// Name of the zone that the traffic left.
    pub from: String,
    /// Name of the zone that the traffic entered.
    pub to: String,
    /// Why the traffic went to another zone.
    pub reason: Reason,
    /// Name of the request's plan; empty if the traffic belongs to no open request.
    pub plan: String,
    /// Name of the request's volume; empty if the traffic belongs to no open request.
    pub volume: String,
    /// Name of the request's class; empty if the traffic belongs to no open request.
    #[serde(rename = "stream_type")]
    pub request_class: String,
    /// Frames and bytes of the flow.
    #[serde(flatten)]
    pub total: Total,
}

/// Bytes that exceeded a cross-zone budget during one interval.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetOverrun {
    /// The budget's name.
    pub budget: String,
    /// Why the budget was exceeded, as far as the scheduler knew when it decided.
    pub cause: String,
    /// Start of the interval by the host's clock, in microseconds.
    pub from_us: i64,
    /// End of the interval by the host's clock, in microseconds.
    pub to_us: i64,
    /// Bytes over the budget.
    pub bytes: u64,
}

/// The cause of overruns by retries, as written on the control socket, whose texts stay from version to version.
const RETRY_CAUSE: &str = "further legs";

impl BudgetOverrun {
    /// Returns the cause in the words that reports show to operators.
    pub fn shown_cause(&self) -> &str {
        match self.cause.as_str() {
            RETRY_CAUSE => "retries",
            cause => cause,
        }
    }
}

/// Traffic between zones in one incarnation of a host.
#[derive(Clone, Debug, Default)]
pub struct ZoneTraffic {
    /// Total of each flow between zones.
    pub crossed: Vec<ZoneFlow>,
    /// Overruns of cross-zone budgets.
    pub overruns: Vec<BudgetOverrun>,
}

/// An attempt that a node answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnsweredAttempt {
    pub(super) request: RequestId,
    /// How many attempts of the same request were started before it.
    pub(super) number: u32,
}

/// Length of one bucket of the ledger: 10 s. The ledger keeps one total for each flow and bucket, so a
/// shorter bucket costs memory and a longer one makes the traffic of a time span less exact.
const LEDGER_BUCKET: Span = Span::from_micros(10_000_000);

/// This host's counters of the traffic between zones.
pub(super) struct ZoneTrafficState {
    pub(super) ledger: Ledger,
    pub(super) overruns: Overruns,
}

impl ZoneTrafficState {
    pub(super) fn new(now: Instant) -> ZoneTrafficState {
        ZoneTrafficState {
            ledger: Ledger::new(LEDGER_BUCKET, now),
            overruns: Overruns::default(),
        }
    }
}

impl Core {
    /// Returns the flows and overruns of this incarnation, with the names of the configuration.
    pub fn zone_traffic(&self) -> ZoneTraffic {
        let volumes = self
            .deployment
            .volumes
            .iter()
            .map(|volume| (volume.id, volume.name.as_str()));
        let volumes: BTreeMap<VolumeId, &str> = volumes.collect();
        let flows = self.zone_traffic.ledger.since(None).into_iter();
        ZoneTraffic {
            crossed: flows
                .map(|(flow, total)| self.named_flow(&flow, total, &volumes))
                .collect(),
            overruns: self
                .zone_traffic
                .overruns
                .all()
                .map(|overrun| self.named_overrun(overrun))
                .collect(),
        }
    }

    fn named_flow(
        &self,
        flow: &Flow,
        total: Total,
        volumes: &BTreeMap<VolumeId, &str>,
    ) -> ZoneFlow {
        let crossed = ZoneFlow {
            from: self.zone_name(flow.from),
            to: self.zone_name(flow.to),
            reason: flow.reason,
            plan: String::new(),
            volume: String::new(),
            request_class: String::new(),
            total,
        };
        let Some(owner) = flow.of else {
            return crossed;
        };
        let volume = volumes.get(&owner.volume).copied();
        let request_class = self.deployment.request_classes.get(owner.request_class.0);
        ZoneFlow {
            plan: self.plan_name(owner.plan),
            volume: volume.unwrap_or_default().to_string(),
            request_class: request_class.map_or(String::new(), |class| class.name.clone()),
            ..crossed
        }
    }

    fn zone_name(&self, zone: ZoneId) -> String {
        let known = self.deployment.zones.get(zone.0);
        known.cloned().unwrap_or_else(|| "unknown".into())
    }

    fn named_overrun(&self, overrun: &Overrun) -> BudgetOverrun {
        let budgets = &self.deployment.cross_zone_budgets;
        let budget = budgets
            .iter()
            .find(|budget| budget.id == overrun.cross_zone_budget);
        let cause = match overrun.known {
            OverrunReason::Decided(OverrunCause::DataPlacement) => "bound to data".to_string(),
            OverrunReason::Decided(OverrunCause::NoLocalNode) => "zone drained".into(),
            OverrunReason::Decided(OverrunCause::LocalNodesSilent) => "zone silent".into(),
            OverrunReason::Decided(OverrunCause::Retry) => RETRY_CAUSE.into(),
            OverrunReason::Surge(plan) => format!("surge of plan {}", self.plan_name(plan)),
        };
        BudgetOverrun {
            budget: budget.map(|budget| budget.name.clone()).unwrap_or_default(),
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
            .map(|plan| plan.name.clone())
            .unwrap_or_default()
    }

    /// Returns this host's zone. `None` if there are no cross-zone budgets: then no traffic is counted, which saves
    /// the cost.
    fn own_zone(&self) -> Option<ZoneId> {
        let place = self.deployment.hosts.get(self.identity.host.0 as usize)?;
        (!self.deployment.cross_zone_budgets.is_empty()).then_some(place.zone)
    }

    /// Counts a frame that carries neither an attempt nor its answer; those are counted with their requests.
    /// Frames between hosts are counted by their sender, frames between a host and a node by the host. `out`:
    /// this host sent the frame.
    pub(super) fn count_frame(&mut self, link: ConnectionId, frame: &Frame, out: bool) {
        let Some(here) = self.own_zone() else { return };
        if matches!(
            frame.message,
            Message::Attempt(_) | Message::AttemptAnswer(_)
        ) {
            return;
        }
        match self
            .connections
            .open
            .get(&link)
            .map(|connection| &connection.remote_kind)
        {
            Some(RemoteKind::Node(node)) => {
                let Some(there) = self.nodes.get(*node).map(|node| node.zone) else {
                    return;
                };
                if out {
                    self.count_control_bytes(here, there, frame.len());
                } else {
                    self.count_control_bytes(there, here, frame.len());
                }
            }
            Some(RemoteKind::OutgoingPeer(host)) if out => {
                let host = *host;
                self.count_peer_frame(host, frame.len());
            }
            Some(RemoteKind::IncomingPeer(peer)) if out => {
                let host = peer.host;
                self.count_peer_frame(host, frame.len());
            }
            _ => {}
        }
    }

    pub(super) fn count_peer_frame(&mut self, host: HostId, bytes: usize) {
        let there = self
            .deployment
            .hosts
            .get(host.0 as usize)
            .map(|host| host.zone);
        if let Some((here, there)) = self.own_zone().zip(there) {
            self.count_control_bytes(here, there, bytes);
        }
    }

    fn count_control_bytes(&mut self, from: ZoneId, to: ZoneId, bytes: usize) {
        let flow = Flow {
            from,
            to,
            reason: Reason::Peers,
            of: None,
        };
        self.zone_traffic.ledger.count(self.now, flow, bytes, false);
    }

    /// Returns the flow in which an attempt of this request, or the answer to it, is counted. `attempt`: how many
    /// attempts of the request were started before it. If the request has ended, the flow names no plan, volume
    /// or class.
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
            .position(|class| class.name == open.submit.request_class);
        Flow {
            from,
            to,
            reason,
            of: volume.zip(place).map(|(volume, class)| FlowOf {
                plan: volume.plan,
                volume: volume.id,
                request_class: RequestClassId(class),
            }),
        }
    }

    /// Counts an attempt that is sent to a node in `zone`.
    pub(super) fn count_attempt(
        &mut self,
        zone: ZoneId,
        request: RequestId,
        attempt: u32,
        bytes: usize,
    ) {
        let Some(here) = self.own_zone().filter(|here| *here != zone) else {
            return;
        };
        let flow = self.flow(here, zone, request, attempt);
        self.count(flow, bytes, false);
    }

    /// Counts the answer of a node in `zone`. `attempt` is `None` if the attempt has ended or was sent to another
    /// node. `used`: the answer becomes a client's final answer.
    pub(super) fn count_answer(
        &mut self,
        zone: ZoneId,
        attempt: Option<AnsweredAttempt>,
        bytes: usize,
        used: bool,
    ) {
        let Some(here) = self.own_zone().filter(|here| *here != zone) else {
            return;
        };
        let none = Flow {
            from: zone,
            to: here,
            reason: Reason::Further,
            of: None,
        };
        let flow = attempt.map_or(none, |answered| {
            self.flow(zone, here, answered.request, answered.number)
        });
        self.count(flow, bytes, !used);
    }

    fn count(&mut self, flow: Flow, bytes: usize, wasted: bool) {
        self.zone_traffic
            .ledger
            .count(self.now, flow, bytes, wasted);
        self.record_cross_zone_demand(flow.from, flow.to, flow.of.map(|owner| owner.plan), bytes);
        if let Some(owner) = flow.of {
            self.zone_traffic
                .overruns
                .crossed(self.now, owner.plan, bytes as f64);
        }
    }

    /// Records that an attempt of the scheduler exceeds a cross-zone budget by these bytes.
    pub(super) fn record_overrun(
        &mut self,
        cross_zone_budget: VolumeId,
        bytes: f64,
        cause: OverrunCause,
    ) {
        self.zone_traffic
            .overruns
            .record(self.now, cross_zone_budget, bytes, cause);
    }
}
