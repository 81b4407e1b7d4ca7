//! What crosses between zones, counted as frames go out and come in.

use super::*;
use gullsail_protocol::Message;
use gullsail_zone_traffic::{Breach, Flow, Known, Reason, Total};
use serde::{Deserialize, Serialize};

/// A flow and its total, by the document's names.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Crossed {
    pub from: String,
    pub to: String,
    pub reason: Reason,
    /// Of a request; empty where there is none.
    pub plan: String,
    pub volume: String,
    #[serde(rename = "stream_type")]
    pub request_class: String,
    #[serde(flatten)]
    pub total: Total,
}

/// Bytes past a budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetOverrun {
    pub budget: String,
    pub cause: String,
    /// By the host's clock.
    pub from_us: i64,
    pub to_us: i64,
    pub bytes: u64,
}

impl Core {
    /// The account and the breaches of this incarnation, by name.
    pub fn zones(&self) -> (Vec<Crossed>, Vec<BudgetOverrun>) {
        let d = &self.deployment;
        let zone = |z: ZoneId| d.zones.get(z.0).cloned().unwrap_or_else(|| "unknown".into());
        let plan = |p: PlanId| d.plans.get(p.0).map(|p| p.name.clone()).unwrap_or_default();
        let names: BTreeMap<VolumeId, &str> = d.volumes.iter().map(|v| (v.id, v.name.as_str())).collect();
        let volume = |id| names.get(&id).copied().unwrap_or_default().to_string();
        let (flows, breaches) = self.crossed();
        let said = |(f, total): (Flow, Total)| Crossed {
            from: zone(f.from),
            to: zone(f.to),
            reason: f.reason,
            plan: f.of.map(|of| plan(of.0)).unwrap_or_default(),
            volume: f.of.map(|of| volume(of.1)).unwrap_or_default(),
            request_class: f
                .of
                .and_then(|of| d.request_classes.get(of.2.0))
                .map(|s| s.name.clone())
                .unwrap_or_default(),
            total,
        };
        let cause = |k: Known| match k {
            Known::Decided(OverrunCause::DataPlacement) => "bound to data".to_string(),
            Known::Decided(OverrunCause::NoLocalNode) => "zone drained".into(),
            Known::Decided(OverrunCause::LocalNodesSilent) => "zone silent".into(),
            Known::Decided(OverrunCause::Retry) => "further legs".into(),
            Known::Surge(p) => format!("surge of plan {}", plan(p)),
        };
        let budget =
            |id| d.cross_zone_budgets.iter().find(|c| c.id == id).map(|c| c.name.clone()).unwrap_or_default();
        let past = |b: Breach| BudgetOverrun {
            budget: budget(b.cross_zone_budget),
            cause: cause(b.known),
            from_us: b.from.micros(),
            to_us: b.to.micros(),
            bytes: b.bytes.round() as u64,
        };
        (flows.into_iter().map(said).collect(), breaches.into_iter().map(past).collect())
    }

    fn here(&self) -> Option<ZoneId> {
        // Where no budgets are, nobody asks what crosses, and it costs nothing.
        let place = self.deployment.hosts.get(self.me.0 as usize)?;
        (!self.deployment.cross_zone_budgets.is_empty()).then_some(place.zone)
    }

    /// Frames that carry no attempt: counted by who sends them to a host, and at the host of those to and from nodes.
    pub(super) fn frame_crosses(&mut self, link: LinkId, frame: &Frame, out: bool) {
        let Some(here) = self.here() else { return };
        if matches!(frame.message, Message::Attempt(_) | Message::AttemptAnswer(_)) {
            return;
        }
        match self.links.get(&link).map(|l| &l.who) {
            Some(Who::Node(node)) => {
                let Some(there) = self.nodes.get(*node).map(|n| n.zone) else { return };
                let (from, to) = if out { (here, there) } else { (there, here) };
                self.peers_cross(from, to, frame.len());
            }
            Some(Who::PeerOut(host) | Who::PeerIn { host, .. }) if out => {
                let host = *host;
                self.crosses_to_peer(host, frame.len());
            }
            _ => {}
        }
    }

    pub(super) fn crosses_to_peer(&mut self, host: HostId, bytes: usize) {
        let there = self.deployment.hosts.get(host.0 as usize).map(|h| h.zone);
        if let Some((here, there)) = self.here().zip(there) {
            self.peers_cross(here, there, bytes);
        }
    }

    fn peers_cross(&mut self, from: ZoneId, to: ZoneId, bytes: usize) {
        self.account.count(self.now, Flow { from, to, reason: Reason::Peers, of: None }, bytes, false);
    }

    fn flow(&self, from: ZoneId, to: ZoneId, request: RequestId, attempt: u32) -> Flow {
        let Some(open) = self.requests.get(request) else {
            return Flow { from, to, reason: Reason::Further, of: None };
        };
        let reason = match (attempt, open.submit.handle.is_some()) {
            (0, true) => Reason::Bound,
            (0, false) => Reason::Placed,
            _ => Reason::Further,
        };
        let volume = self.deployment.volume(&open.submit.volume);
        let place = self.deployment.request_classes.iter().position(|s| s.name == open.submit.request_class);
        Flow { from, to, reason, of: volume.zip(place).map(|(v, s)| (v.plan, v.id, RequestClassId(s))) }
    }

    /// A attempt goes out to a node in that zone.
    pub(super) fn attempt_crosses(&mut self, zone: ZoneId, request: RequestId, attempt: u32, bytes: usize) {
        let Some(here) = self.here().filter(|here| *here != zone) else { return };
        let flow = self.flow(here, zone, request, attempt);
        self.count(flow, bytes, false);
    }

    /// An answer came from a node in that zone; `used`: a client has something of it.
    pub(super) fn answer_crosses(
        &mut self,
        zone: ZoneId,
        attempt: Option<(RequestId, u32)>,
        bytes: usize,
        used: bool,
    ) {
        let Some(here) = self.here().filter(|here| *here != zone) else { return };
        let none = Flow { from: zone, to: here, reason: Reason::Further, of: None };
        let flow = attempt.map_or(none, |(request, number)| self.flow(zone, here, request, number));
        self.count(flow, bytes, !used);
    }

    fn count(&mut self, flow: Flow, bytes: usize, for_nothing: bool) {
        self.account.count(self.now, flow, bytes, for_nothing);
        self.fleet_crossed(flow.from, flow.to, flow.of.map(|of| of.0), bytes);
        if let Some((plan, ..)) = flow.of {
            self.breaches.crossed(self.now, plan, bytes as f64);
        }
    }

    pub(super) fn past(&mut self, cross_zone_budget: VolumeId, bytes: f64, cause: OverrunCause) {
        self.breaches.past(self.now, cross_zone_budget, bytes, cause);
    }

    fn crossed(&self) -> (BTreeMap<Flow, Total>, Vec<Breach>) {
        (self.account.since(None), self.breaches.all().cloned().collect())
    }
}
