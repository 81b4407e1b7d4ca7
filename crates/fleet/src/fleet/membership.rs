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

/// This host's state as a member of the fleet.
#[derive(Clone, Debug)]
pub(super) struct Membership {
    pub(super) lease_holder: MemberLeaseHolder,
    pub(super) demand: Demand,
    /// The epoch of the membership that this host knows; it grows with every change.
    pub(super) epoch: u64,
    /// All hosts that have renewed a lease at the coordinator, by the newest list of members received from it.
    pub(super) members: Vec<FleetMember>,
    /// Whether a coordinator reported that another process holds the lease of this host. If so, this process uses no
    /// share until a lease is granted to it.
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

    /// Returns the share of a budget that this host, `me`, may use, in millionths of the whole. Without a lease it is
    /// the floor; while the host is fenced or leaves, it is 0.
    pub(super) fn share(
        &self,
        config: &FleetConfig,
        me: HostId,
        budget: VolumeId,
        now: Instant,
    ) -> u32 {
        if self.fenced || self.is_leaving() {
            return 0;
        }
        let floor_share = config
            .budgets
            .get(&budget)
            .map_or(0, |budget| budget.floor(me));
        self.lease_holder.share(budget, now).unwrap_or(floor_share)
    }

    /// Returns the hosts whose lease has expired or that have left.
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

    /// Returns the shares that this host holds and the demand of its clients, by budget, for a renewal.
    fn renewal_shares(&mut self, config: &FleetConfig, now: Instant) -> Vec<FleetShare> {
        let mut shares: BTreeMap<VolumeId, FleetShare> = BTreeMap::new();
        let new_share = |id: VolumeId| FleetShare {
            budget: id.0,
            ..FleetShare::default()
        };
        if let Some(lease) = self.lease_holder.lease() {
            for (id, share) in &lease.shares {
                shares.entry(*id).or_insert_with(|| new_share(*id)).share = *share;
            }
        }
        for (id, rate) in self.demand.rates(now) {
            if config.budgets.contains_key(&id) {
                shares.entry(id).or_insert_with(|| new_share(id)).demand = rate as f32;
            }
        }
        shares.into_values().collect()
    }

    /// Applies the epoch and the members in a grant; returns whether they may have changed.
    fn update_members(&mut self, grant: &FleetMessage) -> bool {
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
        let entries = self.membership.renewal_shares(&self.config, self.now);
        let ballot = self.membership.lease_holder.ballot();
        let message = FleetMessage {
            number: renewal.number,
            serial,
            round: ballot.round,
            by: ballot.by,
            shares: entries,
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

    /// Handles a coordinator's poll: answers with a renewal, or with a refusal if a later coordinator is known.
    pub(super) fn poll_received(&mut self, poll: &FleetMessage, link: HostId) {
        let ballot = messages::ballot(poll);
        if !self
            .membership
            .lease_holder
            .accept_poll(HostId(poll.from), ballot, self.now)
        {
            // The voters that elected the sender may all have restarted and lost later ballots. The refusal reports the
            // newest ballot known here, so that the sender prepares a higher one.
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

    /// Handles a coordinator's grant of a lease.
    pub(super) fn grant_received(&mut self, message: &FleetMessage) {
        let shares: Shares = message.shares.iter().map(messages::budget_share).collect();
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
        self.changed |= self.membership.update_members(message);
        let after = self.config.budgets.keys().map(|id| self.share(*id));
        self.changed |= !before.into_iter().eq(after);
    }

    /// Logs a grant to a host that held no lease or was fenced; other grants only renew a lease.
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

    /// Handles a coordinator's report that another process of this host holds its lease.
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

    /// Drops all leases and announces the departure to the coordinator, if that is another host. If no coordinator is
    /// known, the departure is complete at once.
    pub(super) fn announce_departure(&mut self) {
        self.membership.lease_holder.drop_lease();
        // A host that was the coordinator announces its departure to the next coordinator, when that polls it within a
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

    /// Announces to the coordinator with this ballot that this host leaves. The message includes the maintenance
    /// report, since a coordinator that has just been elected may receive the newest order book from no other host.
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
