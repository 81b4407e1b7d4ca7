//! Builds the status of the fleet for operators.

use super::Fleet;
use crate::config::Budget;
use crate::coordinator::{Coordinator, MemberState};
use crate::status::{BudgetStatus, MemberStatus, Status};
use gullsail_protocol::FleetMember;
use gullsail_scheduler_api::{HostId, Instant, Span, VolumeId};

impl Fleet {
    /// Returns the status of the fleet as this host sees it.
    pub fn status(&self) -> Status {
        let coordinator = self.coordinator();
        let held = coordinator.and(self.election.candidate.held(self.now));
        let taking_over = coordinator.filter(|coordinator| !coordinator.takeover_complete());
        let takeover_ends = taking_over.map(|coordinator| coordinator.takeover_ends(&self.config));
        let recovers_at = self.election.acceptor.recovering_until();
        let recovering_until = Some(recovers_at).filter(|until| *until > self.now);
        let lease_holder = &self.membership.lease_holder;
        Status {
            me: self.process.host.0,
            epoch: self.membership.epoch,
            round: lease_holder.ballot().round,
            coordinator: lease_holder.coordinator().map(|host| host.0),
            decides_for_ms: held.map(|lease| self.millis_until(lease.expires_at)),
            takes_over_ms: takeover_ends.map(|until| self.millis_until(until)),
            lease_ms: lease_holder
                .expires_at()
                .map(|until| self.millis_until(until)),
            recovering_ms: recovering_until.map(|until| self.millis_until(until)),
            fenced: self.membership.fenced,
            members: self.member_statuses(),
            budgets: self.budget_statuses(),
            dropped: self.statistics.dropped_by_cause(),
            counts: self.statistics.counts,
        }
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let members = self.membership.members.iter();
        members
            .filter_map(|member| self.member_status(member))
            .collect()
    }

    fn budget_statuses(&self) -> Vec<BudgetStatus> {
        let budgets = self.config.budgets.iter();
        budgets
            .map(|(id, budget)| self.budget_status(*id, budget))
            .collect()
    }

    fn coordinator(&self) -> Option<&Coordinator> {
        self.coordinator_role.as_ref().map(|role| &role.shares)
    }

    fn millis_until(&self, at: Instant) -> f64 {
        (at - self.now).max(Span::ZERO).millis()
    }

    fn member_status(&self, member: &FleetMember) -> Option<MemberStatus> {
        let coordinator = self.coordinator();
        let record =
            coordinator.and_then(|coordinator| coordinator.members.get(&HostId(member.host)));
        Some(MemberStatus {
            host: member.host,
            incarnation: member.incarnation,
            state: MemberState::from_number(member.state)?,
            last_renewal_ms: record.map(|record| (self.now - record.last_renewal).millis()),
            via: record.and_then(|record| record.via).map(|via| via.0),
            over_ms: record.map(|record| self.millis_until(record.expires_at)),
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
