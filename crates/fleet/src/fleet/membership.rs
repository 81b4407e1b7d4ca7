//! The member's side: renews this host's member lease, accepts grants, and leaves the fleet.

use super::event::Departure;
use super::{Fleet, messages};
use crate::allocation::Shares;
use crate::ballot::Ballot;
use crate::config::FleetConfig;
use crate::coordinator::MemberState;
use crate::demand::Demand;
use crate::member_lease::{GrantId, MemberLeaseHolder, RenewalRequest};
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetMember, FleetMessage, FleetMessageKind, FleetShare};
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use std::collections::BTreeMap;
use tracing::{info, warn};

/// This host as a member of the fleet.
#[derive(Clone, Debug)]
pub(super) struct Membership {
    pub(super) lease_holder: MemberLeaseHolder,
    pub(super) demand: Demand,
    /// Counts the changes of membership.
    pub(super) epoch: u64,
    /// The members, by the coordinator's newest message.
    pub(super) members: Vec<FleetMember>,
    /// A coordinator reported that another process holds the lease of this host. This process uses nothing
    /// until a lease is granted to it.
    pub(super) fenced: bool,
    pub(super) departure: Departure,
}

impl Membership {
    pub(super) fn new(now: Instant) -> Membership {
        Membership {
            lease_holder: MemberLeaseHolder::new(now),
            demand: Demand::default(),
            epoch: 0,
            members: Vec::new(),
            fenced: false,
            departure: Departure::None,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.departure != Departure::None
    }

    /// What this host, number `own`, may use of a budget, in millionths of the whole. Without a lease: the
    /// floor share only.
    pub(super) fn share(
        &self,
        config: &FleetConfig,
        own: HostId,
        budget: VolumeId,
        now: Instant,
    ) -> u32 {
        if self.fenced || self.is_leaving() {
            return 0;
        }
        let floor_share = config
            .budgets
            .get(&budget)
            .map_or(0, |budget| budget.floor(own));
        self.lease_holder.share(budget, now).unwrap_or(floor_share)
    }

    /// Hosts whose lease has expired or that have left.
    pub(super) fn inactive_hosts(&self) -> impl Iterator<Item = HostId> {
        let is_inactive = |member: &&FleetMember| {
            let state = MemberState::from_number(member.state);
            matches!(state, Some(MemberState::Out | MemberState::Left))
        };
        self.members
            .iter()
            .filter(is_inactive)
            .map(|member| HostId(member.host))
    }

    /// The shares that this host holds, and the demand of its clients, by budget.
    fn renewal_parts(&mut self, config: &FleetConfig, now: Instant) -> Vec<FleetShare> {
        let mut parts: BTreeMap<VolumeId, FleetShare> = BTreeMap::new();
        let new_part = |id: VolumeId| FleetShare {
            budget: id.0,
            ..FleetShare::default()
        };
        if let Some(lease) = self.lease_holder.lease() {
            for (id, share) in &lease.shares {
                parts.entry(*id).or_insert_with(|| new_part(*id)).share = *share;
            }
        }
        for (id, rate) in self.demand.rates(now) {
            if config.budgets.contains_key(&id) {
                parts.entry(id).or_insert_with(|| new_part(id)).demand = rate as f32;
            }
        }
        parts.into_values().collect()
    }

    /// Takes the epoch and the members from a grant; returns whether they may have changed.
    fn take_members(&mut self, grant: &FleetMessage) -> bool {
        if grant.epoch <= self.epoch && grant.members.is_empty() {
            return false;
        }
        self.epoch = grant.epoch.max(self.epoch);
        if !grant.members.is_empty() {
            self.members = grant.members.clone();
        }
        true
    }
}

impl Fleet {
    pub(super) fn send_renewal(&mut self, renewal: RenewalRequest) {
        let Some(coordinator) = self.membership.lease_holder.coordinator() else {
            return;
        };
        let serial = self
            .membership
            .lease_holder
            .lease()
            .map_or(0, |lease| lease.serial);
        let parts = self.membership.renewal_parts(&self.config, self.now);
        let ballot = self.membership.lease_holder.ballot();
        let message = FleetMessage {
            number: renewal.number,
            serial,
            round: ballot.round,
            by: ballot.by,
            shares: parts,
            ..self.new_message(FleetMessageKind::Renew, coordinator, 0)
        };
        let message = self.add_maintenance_report(message);
        if renewal.use_relays {
            for via in self.relays(coordinator) {
                self.send(message.clone(), Some(via));
            }
        }
        self.send(message, None);
    }

    /// A coordinator asks this host to renew its lease.
    pub(super) fn poll_received(&mut self, poll: &FleetMessage, link: HostId) {
        let ballot = messages::ballot(poll);
        if !self
            .membership
            .lease_holder
            .accept_poll(HostId(poll.from), ballot, self.now)
        {
            // It may have been elected by voters that have all forgotten later ballots. It retries above the
            // ballot that is reported here.
            let known = self.membership.lease_holder.ballot();
            let message = self.new_message(
                FleetMessageKind::Refuse,
                HostId(poll.from),
                poll.from_incarnation,
            );
            self.send(
                FleetMessage {
                    round: known.round,
                    by: known.by,
                    ..message
                },
                Some(link),
            );
            return self.count_dropped("of an earlier coordinator");
        }
        let number = self.membership.lease_holder.register_renewal(self.now);
        self.send_renewal(RenewalRequest {
            number,
            use_relays: link.0 != poll.from,
        });
    }

    /// A coordinator grants a lease.
    pub(super) fn grant_received(&mut self, message: &FleetMessage) {
        let shares: Shares = message.shares.iter().map(messages::part).collect();
        let grant = GrantId {
            ballot: messages::ballot(message),
            serial: message.serial,
        };
        let had_lease = self.membership.lease_holder.lease().is_some();
        let before: Vec<u32> = self
            .config
            .budgets
            .keys()
            .map(|id| self.share(*id))
            .collect();
        if !self.membership.lease_holder.accept_grant(
            &self.config,
            grant,
            message.number,
            shares,
            self.now,
        ) {
            return self.count_dropped("a grant that is over, or of an earlier coordinator");
        }
        self.log_grant(message, had_lease);
        self.membership.fenced = false;
        self.maintenance_granted(message);
        self.changed |= self.membership.take_members(message);
        let after = self.config.budgets.keys().map(|id| self.share(*id));
        self.changed |= !before.into_iter().eq(after);
    }

    /// Logs a grant that changes this host's state; most grants only renew it.
    fn log_grant(&self, grant: &FleetMessage, had_lease: bool) {
        if !had_lease {
            info!(
                member = self.process.host.0,
                epoch = grant.epoch,
                coordinator = grant.from,
                round = grant.round,
                "member lease granted"
            );
        }
        if self.membership.fenced {
            info!(
                member = self.process.host.0,
                epoch = grant.epoch,
                incarnation = self.process.incarnation,
                "fencing lifted: lease granted to this incarnation"
            );
        }
    }

    /// A coordinator reports that another process of this host holds its lease.
    pub(super) fn fence_received(&mut self) {
        warn!(
            member = self.process.host.0,
            epoch = self.membership.epoch,
            incarnation = self.process.incarnation,
            "fenced: another incarnation of this host holds its lease, serving stops"
        );
        self.membership.fenced = true;
        self.membership.lease_holder.drop_lease();
        self.changed = true;
    }

    pub(super) fn announce_departure(&mut self) {
        self.membership.lease_holder.drop_lease();
        // A host that was the coordinator announces its departure to the next one, when that polls it within a
        // lease.
        if self.resign() || self.membership.lease_holder.coordinator() == Some(self.process.host) {
            return;
        }
        match self.membership.lease_holder.coordinator() {
            Some(host) => {
                let coordinator = ProcessId {
                    host,
                    incarnation: 0,
                };
                self.send_departure(coordinator, self.membership.lease_holder.ballot(), None);
            }
            None => self.membership.departure = Departure::Complete,
        }
    }

    /// Tells the coordinator with this ballot that this host leaves. A coordinator that has just been elected
    /// may learn only from this message which orders an earlier one has moved on.
    pub(super) fn send_departure(
        &mut self,
        coordinator: ProcessId,
        ballot: Ballot,
        via: Option<HostId>,
    ) {
        let message = FleetMessage {
            round: ballot.round,
            by: ballot.by,
            ..self.new_message(
                FleetMessageKind::Leave,
                coordinator.host,
                coordinator.incarnation,
            )
        };
        let message = self.add_maintenance_report(message);
        self.send(message, via);
    }
}
