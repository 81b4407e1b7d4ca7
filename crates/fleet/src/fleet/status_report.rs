//! What an operator is shown of the fleet, as this host sees it. Reads everything, changes nothing.

use super::Fleet;
use crate::config::Budget;
use crate::coordinator::{Coordinator, MemberState};
use crate::status::{BudgetStatus, MemberStatus, Status};
use gullsail_protocol::FleetMember;
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};

impl Fleet {
    /// The fleet as this host sees it.
    pub fn status(&self) -> Status {
        let coordinator = self.coordinator();
        let held = coordinator.and(self.election.candidate.held(self.now));
        let takes_over = coordinator.filter(|coordinator| !coordinator.takeover_complete());
        let recovering_until =
            Some(self.election.acceptor.recovering_until()).filter(|until| *until > self.now);
        Status {
            me: self.process.host.0,
            epoch: self.membership.epoch,
            round: self.membership.lease_holder.ballot().round,
            coordinator: self
                .membership
                .lease_holder
                .coordinator()
                .map(|host| host.0),
            decides_for_ms: held.map(|lease| self.millis_until(lease.until)),
            takes_over_ms: takes_over.map(|c| self.millis_until(c.takeover_ends(&self.config))),
            lease_ms: self
                .membership
                .lease_holder
                .until()
                .map(|until| self.millis_until(until)),
            recovering_ms: recovering_until.map(|until| self.millis_until(until)),
            fenced: self.membership.fenced,
            members: self
                .membership
                .members
                .iter()
                .filter_map(|member| self.member_status(member))
                .collect(),
            budgets: self
                .config
                .budgets
                .iter()
                .map(|(id, budget)| self.budget_status(*id, budget))
                .collect(),
            dropped: self
                .statistics
                .dropped
                .iter()
                .map(|(cause, count)| (cause.to_string(), *count))
                .collect(),
            counts: self.statistics.counts,
        }
    }

    fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator_role.as_ref().map(|role| &role.shares)
    }

    fn millis_until(&self, at: Instant) -> f64 {
        (at - self.now).max(Span::ZERO).millis()
    }

    fn member_status(&self, member: &FleetMember) -> Option<MemberStatus> {
        let coordinator = self.coordinator();
        let known =
            coordinator.and_then(|coordinator| coordinator.members.get(&HostId(member.host)));
        Some(MemberStatus {
            host: member.host,
            incarnation: member.incarnation,
            state: MemberState::from_number(member.state)?,
            last_renewal_ms: known.map(|known| (self.now - known.last_renewal).millis()),
            via: known.and_then(|known| known.via).map(|via| via.0),
            over_ms: known.map(|known| self.millis_until(known.until)),
        })
    }

    fn budget_status(&self, id: VolumeId, budget: &Budget) -> BudgetStatus {
        let coordinator = self.coordinator();
        let in_use = coordinator.map(|coordinator| coordinator.shares_in_use(id, budget));
        let parts = in_use.unwrap_or_default().into_iter();
        BudgetStatus {
            budget: id.0,
            share: self.share(id),
            counted: coordinator.map(|coordinator| coordinator.committed_total(id)),
            parts: parts.map(|part| (part.host.0, part.share)).collect(),
        }
    }
}
