//! Another configuration while serving: applied as a whole between two steps, or refused as a whole with the
//! reasons. What it means for limits meanwhile is decided by
//! [`gullsail_config_transition::ConfigTransition`].

use super::Core;
use super::input_output::{Output, RequesterId};
use super::timers::TimerKind;
use gullsail_config_transition::{NoticeEffect, Revision, RevisionNotice};
use gullsail_configuration::Deployment;
use gullsail_configuration::diff::{Change, Class};
use gullsail_protocol::{Frame, Reached};
use gullsail_scheduler_api::{Event, HostId, UpdateKind};
use std::sync::Arc;
use tracing::{info, warn};

/// A configuration that somebody wants this host to serve by.
#[derive(Debug)]
pub struct Proposal {
    /// Who waits for the outcome.
    pub requester: RequesterId,
    /// What it was compared with. Whoever proposes holds both until the outcome is known: the last reference
    /// to a large configuration is dropped there, and not in the loop.
    pub from: Arc<Deployment>,
    /// The proposed configuration.
    pub to: Arc<Deployment>,
    /// What differs between them.
    pub changes: Vec<Change>,
    /// Apply dangerous changes too, where they can be made while serving.
    pub insist: bool,
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// It is applied.
    Taken {
        /// The revision that is served by now.
        revision: Revision,
    },
    /// It is refused: a line for each reason. Nothing has changed.
    TurnedDown(Vec<String>),
}

/// The changes that can't be made now, each with its reason.
fn refusals(changes: &[Change], insist: bool) -> Vec<String> {
    let refused = changes
        .iter()
        .filter(|c| !c.while_serving || (c.class == Class::Dangerous && !insist));
    let line = |c: &Change| {
        let need = match c.class {
            Class::Dangerous if c.while_serving => "dangerous, and not insisted on",
            Class::Dangerous => "dangerous, and not to be made while serving",
            _ => "needs a restart",
        };
        format!(
            "{} {}: {} -> {}: {need}: {}",
            c.of, c.what, c.from, c.to, c.why
        )
    };
    refused.map(line).collect()
}

impl Core {
    /// Applies a proposal or refuses it, and reports the outcome.
    pub(super) fn propose(&mut self, p: Proposal) {
        let outcome = match self.apply_proposal(&p) {
            Ok(()) => ProposalOutcome::Taken {
                revision: self.config_transition.revision(),
            },
            Err(why) => ProposalOutcome::TurnedDown(why),
        };
        match &outcome {
            ProposalOutcome::Taken { .. } => self.counts.documents_taken += 1,
            ProposalOutcome::TurnedDown(_) => self.counts.documents_turned_down += 1,
        }
        info!(
            revision = self.config_transition.revision().0,
            reply = ?outcome,
            changes = p.changes.len(),
            "another document"
        );
        self.outputs.push(Output::ProposalDecided {
            requester: p.requester,
            outcome,
        });
    }

    fn apply_proposal(&mut self, p: &Proposal) -> Result<(), Vec<String>> {
        if self.stopping {
            return Err(vec!["this host is leaving".into()]);
        }
        if !Arc::ptr_eq(&p.from, &self.deployment) {
            return Err(vec![
                "another document was taken meanwhile: ask again".into(),
            ]);
        }
        let refusals = refusals(&p.changes, p.insist);
        if !refusals.is_empty() {
            return Err(refusals);
        }
        self.config_transition
            .go_on(p.to.line.clone(), self.now)
            .map_err(|e| vec![e.to_string()])?;
        let old = std::mem::replace(&mut self.deployment, p.to.clone());
        self.config_transition
            .joined(self.deployment.hosts.len() as u32);
        self.update_fleet_config();
        // Positions of plans may differ now, so the plans are reported even if no allocation changes.
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

    /// Reports changed allocations to the scheduler; with `always`, the plans even if no allocation changed.
    fn report_config(&mut self, always: bool) {
        let allocations = self.config_transition.changed();
        if always || !allocations.is_empty() {
            let plans = self.deployment.figures().plans.clone();
            let cross_zone_budgets = self.deployment.cross_zone_budgets_at(self.me);
            self.events.push(Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets,
                fleet_membership: self.last_membership,
            });
        }
    }

    /// What a host starts with may already differ from its even shares.
    pub(super) fn start_config_transition(&mut self) {
        self.report_config(false);
        self.schedule_revision_round();
    }

    /// Sets the timer of the next round of revision reports, if there is to be one.
    pub(super) fn schedule_revision_round(&mut self) {
        let Some(at) = self
            .config_transition
            .next()
            .filter(|at| self.next_revision_round.is_none_or(|set| *at < set))
        else {
            return;
        };
        self.next_revision_round = Some(at);
        self.at(at, TimerKind::RevisionRound);
    }

    /// Sends the reports that are due to peers.
    pub(super) fn revision_round(&mut self) {
        if self.next_revision_round.is_some_and(|at| at <= self.now) {
            self.next_revision_round = None;
            for due in self.config_transition.due_notices(self.now, &mut self.rng) {
                self.send_revision(due.to, due.notice);
            }
        }
        self.schedule_revision_round();
    }

    fn send_revision(&mut self, to: HostId, report: RevisionNotice) {
        let RevisionNotice {
            held,
            revision,
            hosts,
        } = report;
        self.send_to_peer(
            to,
            Frame::from(Reached {
                held: held.0,
                revision: revision.0,
                hosts,
            }),
        );
    }

    /// A peer reports which revisions hosts hold.
    pub(super) fn peer_revision(&mut self, from: HostId, r: Reached) {
        let report = RevisionNotice {
            held: Revision(r.held),
            revision: Revision(r.revision),
            hosts: r.hosts,
        };
        let outcome = self
            .config_transition
            .handle_notice(from, &report, self.now);
        match outcome.effect {
            NoticeEffect::Nothing => {}
            NoticeEffect::News => self.report_config(false),
            NoticeEffect::WentBack { from: before, to } => {
                let peer = from.0;
                warn!(
                    peer,
                    before = before.0,
                    now = to.0,
                    "a host went back to an older document"
                );
            }
        }
        if let Some(report) = outcome.reply {
            self.send_revision(from, report);
        }
        self.schedule_revision_round();
    }

    /// Which host this is.
    pub fn me(&self) -> HostId {
        self.me
    }

    /// The configuration that is served by.
    pub fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// Hosts that are not known to hold the current revision.
    pub fn hosts_behind(&self) -> Vec<HostId> {
        self.config_transition.missing().collect()
    }
}
