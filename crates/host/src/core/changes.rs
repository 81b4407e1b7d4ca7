//! Another document while serving: taken whole between two steps, or turned down whole with the reasons. What it
//! means for limits on the way is decided by [`gullsail_config_transition::ConfigTransition`].

use super::*;
use gullsail_config_transition::{Heard, Note, Revision};
use gullsail_configuration::diff::{Change, Class};
use gullsail_protocol::Reached;

/// A document that somebody wants this host to serve by.
#[derive(Debug)]
pub struct Proposal {
    /// Whom to tell what came of it.
    pub asker: u64,
    /// What it was compared with. Whoever proposes holds both until it is told: the last hold on a large document is
    /// let go there, and not in the loop.
    pub from: Arc<Deployment>,
    pub to: Arc<Deployment>,
    pub changes: Vec<Change>,
    /// Dangerous changes are wanted too, where they can be made while serving.
    pub insist: bool,
}

/// What came of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Taken {
        revision: Revision,
    },
    /// Why, a line for each reason; nothing has changed.
    TurnedDown(Vec<String>),
}

/// What keeps changes from being made now.
fn against(changes: &[Change], insist: bool) -> Vec<String> {
    let refused = changes.iter().filter(|c| !c.while_serving || (c.class == Class::Dangerous && !insist));
    let say = |c: &Change| {
        let need = match c.class {
            Class::Dangerous if c.while_serving => "dangerous, and not insisted on",
            Class::Dangerous => "dangerous, and not to be made while serving",
            _ => "needs a restart",
        };
        format!("{} {}: {} -> {}: {need}: {}", c.of, c.what, c.from, c.to, c.why)
    };
    refused.map(say).collect()
}

impl Core {
    pub(super) fn propose(&mut self, p: Proposal) {
        let reply = match self.take(&p) {
            Ok(()) => Reply::Taken { revision: self.config_transition.revision() },
            Err(why) => Reply::TurnedDown(why),
        };
        match &reply {
            Reply::Taken { .. } => self.counts.documents_taken += 1,
            Reply::TurnedDown(_) => self.counts.documents_turned_down += 1,
        }
        info!(
            revision = self.config_transition.revision().0,
            ?reply,
            changes = p.changes.len(),
            "another document"
        );
        self.outputs.push(Output::Replied { asker: p.asker, reply });
    }

    fn take(&mut self, p: &Proposal) -> Result<(), Vec<String>> {
        if self.stopping {
            return Err(vec!["this host is leaving".into()]);
        }
        if !Arc::ptr_eq(&p.from, &self.deployment) {
            return Err(vec!["another document was taken meanwhile: ask again".into()]);
        }
        let against = against(&p.changes, p.insist);
        if !against.is_empty() {
            return Err(against);
        }
        self.config_transition.go_on(p.to.line.clone(), self.now).map_err(|e| vec![e.to_string()])?;
        let (old, new) = (self.deployment.clone(), p.to.clone());
        self.deployment = new;
        self.config_transition.joined(self.deployment.hosts.len() as u32);
        self.fleet_document();
        // Places of plans may be others now, so these come even if nobody's allocations change.
        self.change_terms(true);
        if old.routes.pools != self.deployment.routes.pools || old.zones != self.deployment.zones {
            let entries = self.nodes.sort(&self.deployment);
            self.events.push(Event::EndpointList { update_kind: UpdateKind::Delta, entries });
        }
        self.plan_rounds();
        Ok(())
    }

    fn change_terms(&mut self, plans_too: bool) {
        let allocations = self.config_transition.changed();
        if plans_too || !allocations.is_empty() {
            let plans = self.deployment.figures().plans.clone();
            let cross_zone_budgets = self.deployment.cross_zone_budgets_at(self.me);
            self.events.push(Event::ConfigChanged {
                plans,
                allocations,
                cross_zone_budgets,
                fleet_membership: self.told_membership,
            });
        }
    }

    /// What a host starts with may already differ from its even parts.
    pub(super) fn start_config_transition(&mut self) {
        self.change_terms(false);
        self.plan_rounds();
    }

    /// The next round of notes, if there is to be one.
    pub(super) fn plan_rounds(&mut self) {
        let Some(at) = self.config_transition.next().filter(|at| self.rounds_at.is_none_or(|set| *at < set))
        else {
            return;
        };
        self.rounds_at = Some(at);
        self.at(at, Due::Rounds);
    }

    pub(super) fn round(&mut self) {
        if self.rounds_at.is_some_and(|at| at <= self.now) {
            self.rounds_at = None;
            for (to, note) in self.config_transition.tell(self.now, &mut self.rng) {
                self.tell_reached(to, note);
            }
        }
        self.plan_rounds();
    }

    fn tell_reached(&mut self, to: HostId, note: Note) {
        let Note { held, revision, hosts } = note;
        self.tell_frame(to, Frame::from(Reached { held: held.0, revision: revision.0, hosts }));
    }

    pub(super) fn reached(&mut self, from: HostId, r: Reached) {
        let note = Note { held: Revision(r.held), revision: Revision(r.revision), hosts: r.hosts };
        let (heard, reply) = self.config_transition.hear(from, &note, self.now);
        match heard {
            Heard::Nothing => {}
            Heard::News => self.change_terms(false),
            Heard::WentBack { from: before, to } => {
                let peer = from.0;
                warn!(peer, before = before.0, now = to.0, "a host went back to an older document");
            }
        }
        if let Some(note) = reply {
            self.tell_reached(from, note);
        }
        self.plan_rounds();
    }

    pub fn me(&self) -> HostId {
        self.me
    }

    /// The document that is served by, and which hosts are not known to have followed to it.
    pub fn document(&self) -> (&Arc<Deployment>, Vec<HostId>) {
        (&self.deployment, self.config_transition.missing().collect())
    }
}
