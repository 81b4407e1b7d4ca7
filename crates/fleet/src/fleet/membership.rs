//! The member's side: renews this host's member lease, accepts grants, and leaves the fleet.

use super::event::Departure;
use super::{Fleet, messages};
use crate::allocation::Shares;
use crate::ballot::Ballot;
use crate::member_lease::{GrantId, RenewalRequest};
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetMessage, FleetPart, FleetWhat};
use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::BTreeMap;
use tracing::{info, warn};

impl Fleet {
    pub(super) fn send_renewal(&mut self, renewal: RenewalRequest) {
        let Some(coordinator) = self.lease_holder.coordinator() else {
            return;
        };
        let serial = self.lease_holder.lease().map_or(0, |lease| lease.serial);
        let parts = self.renewal_parts();
        let ballot = self.lease_holder.ballot();
        let message = FleetMessage {
            number: renewal.number,
            serial,
            round: ballot.round,
            by: ballot.by,
            parts,
            ..self.new_message(FleetWhat::Renew, coordinator, 0)
        };
        let message = self.add_maintenance_report(message);
        if renewal.use_relays {
            for via in self.relays(coordinator) {
                self.send(message.clone(), Some(via));
            }
        }
        self.send(message, None);
    }

    /// The shares that this host holds, and the demand of its clients, by budget.
    fn renewal_parts(&mut self) -> Vec<FleetPart> {
        let mut parts: BTreeMap<VolumeId, FleetPart> = BTreeMap::new();
        let new_part = |id: VolumeId| FleetPart {
            budget: id.0,
            ..FleetPart::default()
        };
        if let Some(lease) = self.lease_holder.lease() {
            for (id, share) in &lease.shares {
                parts.entry(*id).or_insert_with(|| new_part(*id)).share = *share;
            }
        }
        for (id, rate) in self.demand.rates(self.now) {
            if self.config.budgets.contains_key(&id) {
                parts.entry(id).or_insert_with(|| new_part(id)).asked = rate as f32;
            }
        }
        parts.into_values().collect()
    }

    /// A coordinator asks this host to renew its lease.
    pub(super) fn poll_received(&mut self, poll: &FleetMessage, link: HostId) {
        let ballot = messages::ballot(poll);
        if !self
            .lease_holder
            .accept_poll(HostId(poll.from), ballot, self.now)
        {
            // It may have been elected by voters that have all forgotten later ballots. It retries above the
            // ballot that is reported here.
            let known = self.lease_holder.ballot();
            let message =
                self.new_message(FleetWhat::Refuse, HostId(poll.from), poll.from_incarnation);
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
        let number = self.lease_holder.register_renewal(self.now);
        self.send_renewal(RenewalRequest {
            number,
            use_relays: link.0 != poll.from,
        });
    }

    /// A coordinator grants a lease.
    pub(super) fn grant_received(&mut self, message: &FleetMessage) {
        let shares: Shares = message.parts.iter().map(messages::part).collect();
        let grant = GrantId {
            ballot: messages::ballot(message),
            serial: message.serial,
        };
        let had_lease = self.lease_holder.lease().is_some();
        let before: Vec<u32> = self
            .config
            .budgets
            .keys()
            .map(|id| self.share(*id))
            .collect();
        if !self
            .lease_holder
            .accept_grant(&self.config, grant, message.number, shares, self.now)
        {
            return self.count_dropped("a grant that is over, or of an earlier coordinator");
        }
        if !had_lease {
            info!(
                member = self.me.0,
                epoch = message.epoch,
                coordinator = message.from,
                round = message.round,
                "member lease granted"
            );
        }
        if std::mem::take(&mut self.fenced) {
            info!(
                member = self.me.0,
                epoch = self.epoch,
                incarnation = self.incarnation,
                "fencing lifted: lease granted to this incarnation"
            );
        }
        self.maintenance_granted(message);
        if message.epoch > self.epoch || !message.members.is_empty() {
            self.epoch = message.epoch.max(self.epoch);
            if !message.members.is_empty() {
                self.members = message.members.clone();
            }
            self.changed = true;
        }
        let after = self.config.budgets.keys().map(|id| self.share(*id));
        self.changed |= !before.into_iter().eq(after);
    }

    /// A coordinator reports that another process of this host holds its lease.
    pub(super) fn fence_received(&mut self) {
        warn!(
            member = self.me.0,
            epoch = self.epoch,
            incarnation = self.incarnation,
            "fenced: another incarnation of this host holds its lease, serving stops"
        );
        self.fenced = true;
        self.lease_holder.drop_lease();
        self.changed = true;
    }

    pub(super) fn announce_departure(&mut self) {
        self.lease_holder.drop_lease();
        // A host that was the coordinator announces its departure to the next one, when that polls it within a
        // lease.
        if self.resign() || self.lease_holder.coordinator() == Some(self.me) {
            return;
        }
        match self.lease_holder.coordinator() {
            Some(host) => {
                let coordinator = ProcessId {
                    host,
                    incarnation: 0,
                };
                self.send_departure(coordinator, self.lease_holder.ballot(), None);
            }
            None => self.departure = Departure::Complete,
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
            ..self.new_message(FleetWhat::Leave, coordinator.host, coordinator.incarnation)
        };
        let message = self.add_maintenance_report(message);
        self.send(message, via);
    }
}
