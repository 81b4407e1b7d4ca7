//! The coordinator's side of membership, while this host holds the coordinator lease: it polls hosts, answers
//! renewals and publishes the list of members. `Coordinator` decides what is granted.

use super::{Fleet, messages};
use crate::allocation::Shares;
use crate::coordinator::{Member, MemberState, MembershipTransitions, Renewal, RenewalOutcome};
use crate::coordinator_lease::Ballot;
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetMember, FleetMessage, FleetPart, FleetWhat};
use gullsail_scheduler_api::{HostId, VolumeId};
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// How often hosts that are not members are polled, in leases. When it is larger, a host that starts joins
/// later; when it is smaller, hosts that are gone for good cost more messages.
const POLL_INTERVAL_LEASES: f64 = 0.5;
/// How many other hosts are asked to relay a message. With one, a single broken link may stop it; each more
/// costs one message.
const RELAYS_PER_MESSAGE: usize = 2;

impl Fleet {
    pub(super) fn advance_coordinator(&mut self) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let transitions = coordinator.advance(&self.config, self.now);
        let ballot = coordinator.ballot;
        let missing = coordinator.missing_hosts(&self.config);
        self.log_transitions(&transitions);
        for host in transitions.suspected {
            // Only the link between the two hosts may be broken.
            for relay in self.relays(host) {
                self.poll(host, ballot, Some(relay));
            }
            self.poll(host, ballot, None);
        }
        if self.now >= self.next_poll {
            self.next_poll = self.now + self.config.lease.times(POLL_INTERVAL_LEASES);
            for host in missing {
                self.poll(host, ballot, None);
            }
        }
        self.publish_membership();
        self.advance_maintenance_coordinator();
    }

    fn log_transitions(&self, transitions: &MembershipTransitions) {
        for host in &transitions.suspected {
            warn!(
                coordinator = self.me.0,
                member = host.0,
                epoch = self.epoch,
                "member suspected: no renewal for half a lease, polling it through other hosts"
            );
        }
        for host in &transitions.expired {
            let coordinator = self.coordinator.as_ref();
            let member = coordinator.and_then(|coordinator| coordinator.members.get(host));
            warn!(
                coordinator = self.me.0,
                member = host.0,
                incarnation = member.map(|member| member.incarnation),
                epoch = self.epoch,
                "member lease expired: its share is given to other hosts"
            );
        }
        if transitions.takeover_completed {
            info!(
                coordinator = self.me.0,
                epoch = self.epoch,
                "takeover complete: shares may grow"
            );
        }
    }

    /// Other members, drawn at random each time, that may reach a host that this one does not.
    pub(super) fn relays(&mut self, host: HostId) -> Vec<HostId> {
        let me = self.me;
        let is_member = |member: &&FleetMember| {
            MemberState::from_number(member.state) == Some(MemberState::Member)
        };
        let members = self
            .members
            .iter()
            .filter(is_member)
            .map(|member| HostId(member.host));
        members
            .filter(|other| *other != host && *other != me)
            .choose_multiple(&mut self.rng, RELAYS_PER_MESSAGE)
    }

    /// Asks a host to renew its lease.
    pub(super) fn poll(&mut self, host: HostId, ballot: Ballot, via: Option<HostId>) {
        let message = self.new_message(FleetWhat::Ask, host, 0);
        self.send(
            FleetMessage {
                round: ballot.round,
                by: ballot.by,
                ..message
            },
            via,
        );
    }

    /// What this host knows of members is what its own coordinator knows.
    pub(super) fn publish_membership(&mut self) {
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        let epoch_changed = coordinator.epoch != self.epoch;
        self.epoch = coordinator.epoch;
        let to_message = |(host, member): (&HostId, &Member)| FleetMember {
            host: host.0,
            incarnation: member.incarnation,
            state: member.state as u32,
        };
        self.members = coordinator.members.iter().map(to_message).collect();
        if epoch_changed {
            self.changed = true;
            let count = |state: MemberState| {
                let in_state = |member: &&Member| member.state == state;
                coordinator.members.values().filter(in_state).count()
            };
            let members = count(MemberState::Member);
            let suspected = count(MemberState::Suspected);
            let expired = count(MemberState::Out);
            let left = count(MemberState::Left);
            info!(
                epoch = self.epoch,
                members, suspected, expired, left, "membership changed"
            );
        }
    }

    /// Answers a member's renewal.
    pub(super) fn renewal_received(&mut self, message: &FleetMessage, link: HostId) {
        let process = messages::sender(message);
        if self.coordinator.is_some() && !self.may_join(process) {
            return self.count_dropped("of a machine that is out for work");
        }
        let Some(coordinator) = &mut self.coordinator else {
            return self.count_dropped("not the coordinator");
        };
        let via = Some(link).filter(|link| *link != process.host);
        let renewal = read_renewal(message, via);
        let outcome = coordinator.renew(&self.config, renewal, self.now);
        let ballot = coordinator.ballot;
        self.publish_membership();
        let answer = match outcome {
            RenewalOutcome::StaleBallot => return self.poll(process.host, ballot, via),
            RenewalOutcome::Fenced => {
                let incarnation = process.incarnation;
                warn!(
                    coordinator = self.me.0,
                    member = process.host.0,
                    incarnation,
                    epoch = self.epoch,
                    "renewal fenced: another incarnation holds the lease of this host"
                );
                self.new_message(FleetWhat::Fence, process.host, incarnation)
            }
            RenewalOutcome::Granted { serial, shares } => {
                self.grant(message, process, serial, &shares)
            }
        };
        let answer = FleetMessage {
            number: message.number,
            round: ballot.round,
            by: ballot.by,
            ..answer
        };
        self.send(answer, Some(link));
    }

    /// The answer to a renewal that was granted.
    fn grant(
        &mut self,
        renewal: &FleetMessage,
        process: ProcessId,
        serial: u64,
        shares: &Shares,
    ) -> FleetMessage {
        self.counts.granted += 1;
        let maintenance = self.maintenance_renewed(renewal);
        let part = |(id, share): (&VolumeId, &u32)| FleetPart {
            budget: id.0,
            share: *share,
            asked: 0.0,
        };
        // The members are sent to hosts that do not know them yet.
        let members = if renewal.epoch == self.epoch {
            Vec::new()
        } else {
            self.members.clone()
        };
        FleetMessage {
            serial,
            parts: shares.iter().map(part).collect(),
            members,
            maintenance,
            ..self.new_message(FleetWhat::Grant, process.host, process.incarnation)
        }
    }

    /// A member has announced that it leaves.
    pub(super) fn departure_received(&mut self, message: &FleetMessage, link: HostId) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        let process = messages::sender(message);
        coordinator.leave(&self.config, process);
        // A departure that was announced to an earlier coordinator may be older than what another process
        // under its name has learned since.
        let is_current = coordinator.is_current(messages::ballot(message));
        self.maintenance_member_left(message, is_current);
        self.publish_membership();
        let message = self.new_message(FleetWhat::Left, process.host, process.incarnation);
        self.send(message, Some(link));
    }
}

fn read_renewal(message: &FleetMessage, via: Option<HostId>) -> Renewal {
    let is_held = |part: &&FleetPart| message.serial > 0 && part.share > 0;
    let demand = |part: &FleetPart| (VolumeId(part.budget), f64::from(part.asked));
    Renewal {
        process: messages::sender(message),
        ballot: messages::ballot(message),
        via,
        serial: message.serial,
        demand: message.parts.iter().map(demand).collect::<BTreeMap<_, _>>(),
        held: message
            .parts
            .iter()
            .filter(is_held)
            .map(messages::part)
            .collect(),
    }
}
