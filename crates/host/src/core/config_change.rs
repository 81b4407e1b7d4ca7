//! Configuration changes while serving. A proposed configuration is applied as a whole between two steps, or
//! rejected as a whole with the reasons. [`gullsail_config_transition::ConfigTransition`] decides which limits
//! hold until all hosts follow the new configuration. For this, the hosts send each other notices of the revisions that
//! they follow. An allocation is this host's part of a limit.

use super::Core;
use super::input_output::Output;
pub use super::proposal::{Proposal, ProposalOutcome};
use super::timer_kind::TimerKind;
use gullsail_config_transition::{ConfigTransition, NoticeEffect, Revision, RevisionNotice};
use gullsail_configuration::Deployment;
use gullsail_configuration::diff::{Change, Class};
use gullsail_protocol::{Frame, Reached};
use gullsail_scheduler_api::{Event, HostId, Instant, UpdateKind};
use std::sync::Arc;
use tracing::{info, warn};

/// Returns one line for each change that cannot be made now, with the reason. `insist`: dangerous changes are made
/// if they can be made while serving.
fn refusals(changes: &[Change], insist: bool) -> Vec<String> {
    let refused = changes
        .iter()
        .filter(|change| !change.while_serving || (change.class == Class::Dangerous && !insist));
    let describe = |change: &Change| {
        let need = match change.class {
            Class::Dangerous if change.while_serving => "dangerous, and not insisted on",
            Class::Dangerous => "dangerous, and not possible while serving",
            _ => "needs a restart",
        };
        format!(
            "{} {}: {} -> {}: {need}: {}",
            change.of, change.what, change.from, change.to, change.why
        )
    };
    refused.map(describe).collect()
}

/// The state of the transition of all hosts from one configuration to the next.
pub(super) struct ConfigChangeState {
    pub(super) transition: ConfigTransition,
    /// When the timer of the next round of revision notices fires; `None`: no timer is set.
    pub(super) next_round: Option<Instant>,
}

impl ConfigChangeState {
    pub(super) fn new(host: HostId, deployment: &Deployment, now: Instant) -> ConfigChangeState {
        let host_count = deployment.hosts.len() as u32;
        ConfigChangeState {
            transition: ConfigTransition::new(
                host,
                host_count,
                deployment.limit_history.clone(),
                now,
            ),
            next_round: None,
        }
    }

    /// Returns when the next round of revision notices is due, if a timer must be set for it; `None`: no round is
    /// due, or a timer is set that fires early enough.
    fn round_to_schedule(&self) -> Option<Instant> {
        let due = self.transition.next()?;
        let covered = self.next_round.is_some_and(|set| set <= due);
        (!covered).then_some(due)
    }
}

impl Core {
    /// Applies a proposal or rejects it, and reports the outcome.
    pub(super) fn propose(&mut self, proposal: Proposal) {
        let outcome = match self.apply_proposal(&proposal) {
            Ok(()) => ProposalOutcome::Taken {
                revision: self.config_change.transition.revision(),
            },
            Err(reasons) => ProposalOutcome::TurnedDown(reasons),
        };
        match &outcome {
            ProposalOutcome::Taken { .. } => self.counts.documents_taken += 1,
            ProposalOutcome::TurnedDown(_) => self.counts.documents_turned_down += 1,
        }
        info!(
            revision = self.config_change.transition.revision().0,
            outcome = ?outcome,
            changes = proposal.changes.len(),
            "configuration proposal decided"
        );
        self.outputs.push(Output::ProposalDecided {
            requester: proposal.requester,
            outcome,
        });
    }

    fn apply_proposal(&mut self, proposal: &Proposal) -> Result<(), Vec<String>> {
        if self.shutdown.requested {
            return Err(vec!["this host is leaving".into()]);
        }
        if !Arc::ptr_eq(&proposal.from, &self.deployment) {
            return Err(vec![
                "another configuration was applied meanwhile: try again".into(),
            ]);
        }
        let refusals = refusals(&proposal.changes, proposal.insist);
        if !refusals.is_empty() {
            return Err(refusals);
        }
        self.config_change
            .transition
            .change_revision(proposal.to.limit_history.clone(), self.now)
            .map_err(|error| vec![error.to_string()])?;
        let old = std::mem::replace(&mut self.deployment, proposal.to.clone());
        self.config_change
            .transition
            .extend_hosts(self.deployment.hosts.len() as u32);
        self.update_fleet_config();
        // The indices of plans may have changed, so the plans are reported even if no allocation changed.
        self.report_config(true);
        if old.routes.pools != self.deployment.routes.pools || old.zones != self.deployment.zones {
            let entries = self.nodes.reassign_pools(&self.deployment);
            self.events.push(Event::EndpointList {
                update_kind: UpdateKind::Delta,
                entries,
            });
        }
        self.schedule_revision_round();
        Ok(())
    }

    /// Reports plans and changed allocations to the scheduler, if an allocation changed or `always` is set.
    fn report_config(&mut self, always: bool) {
        let allocations = self.config_change.transition.changed();
        if always || !allocations.is_empty() {
            let plans = self.deployment.figures().plans.clone();
            let cross_zone_budgets = self.deployment.cross_zone_budgets_at(self.identity.host);
            self.events.push(Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets,
                fleet_membership: self.fleet.last_membership,
            });
        }
    }

    /// Reports the first allocations to the scheduler. They may differ from an equal share of each limit.
    pub(super) fn start_config_transition(&mut self) {
        self.report_config(false);
        self.schedule_revision_round();
    }

    /// Sets a timer for the next round of revision notices, unless one is set that fires early enough.
    pub(super) fn schedule_revision_round(&mut self) {
        let Some(at) = self.config_change.round_to_schedule() else {
            return;
        };
        self.config_change.next_round = Some(at);
        self.set_timer(at, TimerKind::RevisionRound);
    }

    /// Sends the revision notices that are due to peers.
    pub(super) fn revision_round(&mut self) {
        if self
            .config_change
            .next_round
            .is_some_and(|at| at <= self.now)
        {
            self.config_change.next_round = None;
            for due in self
                .config_change
                .transition
                .due_notices(self.now, &mut self.rng)
            {
                self.send_revision(due.to, due.notice);
            }
        }
        self.schedule_revision_round();
    }

    fn send_revision(&mut self, to: HostId, notice: RevisionNotice) {
        let RevisionNotice {
            held,
            revision,
            hosts,
        } = notice;
        self.send_to_peer(
            to,
            Frame::from(Reached {
                held: held.0,
                revision: revision.0,
                hosts,
            }),
        );
    }

    /// Handles a peer's notice of the revisions that hosts follow.
    pub(super) fn peer_revision(&mut self, from: HostId, reached: Reached) {
        let notice = RevisionNotice {
            held: Revision(reached.held),
            revision: Revision(reached.revision),
            hosts: reached.hosts,
        };
        let outcome = self
            .config_change
            .transition
            .handle_notice(from, &notice, self.now);
        match outcome.effect {
            NoticeEffect::Nothing => {}
            NoticeEffect::News => self.report_config(false),
            NoticeEffect::WentBack { from: before, to } => {
                warn!(
                    peer = from.0,
                    previous_revision = before.0,
                    revision = to.0,
                    "peer reverted to an older configuration revision: limits may be exceeded"
                );
            }
        }
        if let Some(notice) = outcome.reply {
            self.send_revision(from, notice);
        }
        self.schedule_revision_round();
    }

    /// Returns the id of this host in the configuration.
    pub fn host_id(&self) -> HostId {
        self.identity.host
    }

    /// Returns the current configuration.
    pub fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// Returns the hosts that are not known to follow the current revision or a later one. Hosts whose lease in the
    /// fleet has expired are left out.
    pub fn hosts_behind(&self) -> Vec<HostId> {
        self.config_change.transition.missing().collect()
    }
}
