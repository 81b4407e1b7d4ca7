//! Requests of the control socket's task to the event loop, and the requesters that wait for their results.

use super::Runtime;
use crate::control::{LoopRequest, State};
use crate::core::config_change::ProposalOutcome;
use crate::core::maintenance::CommandOutcome;
use crate::core::{Core, Input, RequesterId};
use gullsail_scheduler_api::HostId;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The requesters that wait for a result from the core, with the channel for it.
#[derive(Default)]
pub(super) struct Requesters {
    proposals: BTreeMap<RequesterId, oneshot::Sender<ProposalOutcome>>,
    commands: BTreeMap<RequesterId, oneshot::Sender<CommandOutcome>>,
    last: RequesterId,
}

impl Requesters {
    fn next_id(&mut self) -> RequesterId {
        self.last += 1;
        self.last
    }

    pub(super) fn proposal_decided(&mut self, requester: RequesterId, outcome: ProposalOutcome) {
        if let Some(reply) = self.proposals.remove(&requester) {
            // The requester may have left meanwhile.
            let _ = reply.send(outcome);
        }
    }

    pub(super) fn command_finished(&mut self, requester: RequesterId, outcome: CommandOutcome) {
        if let Some(reply) = self.commands.remove(&requester) {
            // The requester may have left meanwhile.
            let _ = reply.send(outcome);
        }
    }
}

impl Runtime {
    pub(super) fn control_request(&mut self, request: LoopRequest) {
        match request {
            LoopRequest::Deployment(reply) => {
                // A requester that left needs no answer.
                let _ = reply.send(self.core.deployment().clone());
            }
            LoopRequest::State(reply) => {
                // A requester that left needs no answer.
                let _ = reply.send(state(&self.core));
            }
            LoopRequest::Propose(propose, reply) => {
                let requester = self.requesters.next_id();
                self.requesters.proposals.insert(requester, reply);
                self.core.handle(self.clock.now(), propose(requester));
            }
            LoopRequest::OperatorCommand(command, reply) => {
                let requester = self.requesters.next_id();
                self.requesters.commands.insert(requester, reply);
                self.core
                    .handle(self.clock.now(), Input::OperatorCommand(requester, command));
            }
        }
    }
}

/// Returns the state of the host, as the control socket reports it.
fn state(core: &Core) -> State {
    let deployment = core.deployment();
    let name = |host: &HostId| {
        let place = deployment.hosts.get(host.0 as usize)?;
        Some(place.name.clone())
    };
    let load = core.load();
    let zone_traffic = core.zone_traffic();
    State {
        host: name(&core.host_id()).unwrap_or_default(),
        revision: deployment.place.revision.0,
        behind: core.hosts_behind().iter().filter_map(name).collect(),
        open: load.open_requests,
        attempts_in_flight: load.attempts_in_flight,
        held_bytes: load.bytes,
        counts: core.counts().clone(),
        crossed: zone_traffic.crossed,
        past: zone_traffic.overruns,
        fleet: core.fleet_view(),
        maintenance: core.maintenance_view(),
    }
}
