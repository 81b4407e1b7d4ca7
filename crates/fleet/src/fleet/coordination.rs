//! The coordinator's side of membership, used while this host holds the coordinator lease: polls hosts, answers
//! renewals and publishes the list of members. `Coordinator` decides which shares are granted.

use super::{Fleet, messages};
use crate::allocation::Shares;
use crate::ballot::Ballot;
use crate::config::FleetConfig;
use crate::coordinator::{
    Coordinator, Member, MemberState, MembershipTransitions, Renewal, RenewalOutcome,
};
use crate::maintenance::OrderBook;
use crate::maintenance::coordinator::MaintenanceCoordinator;
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetMember, FleetMessage, FleetMessageKind, FleetShare};
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use tracing::{info, warn};

/// The interval between polls of hosts that are not active members, in member leases.
const POLL_INTERVAL_LEASES: f64 = 0.5;
/// The number of hosts that are asked to relay a message. With one relay, a single broken link can lose the message;
/// each further relay costs one more message.
const RELAYS_PER_MESSAGE: usize = 2;

/// The state of a host while it is the coordinator.
#[derive(Clone, Debug)]
pub(super) struct CoordinatorRole {
    /// The members and the shares granted to them.
    pub(super) shares: Coordinator,
    /// The orders for servers in maintenance.
    pub(super) maintenance: MaintenanceCoordinator,
    /// When hosts that are not active members are polled next.
    next_poll: Instant,
}

impl CoordinatorRole {
    /// Creates the state of a host that has just been elected. `order_book` is its copy of the order book, if it has
    /// one.
    pub(super) fn new(
        config: &FleetConfig,
        ballot: Ballot,
        epoch: u64,
        order_book: Option<OrderBook>,
        now: Instant,
    ) -> CoordinatorRole {
        CoordinatorRole {
            shares: Coordinator::new(config, ballot, epoch, now),
            maintenance: MaintenanceCoordinator::new(ballot, order_book, now),
            next_poll: now,
        }
    }

    /// Returns the hosts to poll now: those in `missing` if a poll is due, otherwise none.
    fn hosts_to_poll(
        &mut self,
        config: &FleetConfig,
        missing: Vec<HostId>,
        now: Instant,
    ) -> Vec<HostId> {
        if now < self.next_poll {
            return Vec::new();
        }
        self.next_poll = now + config.lease.times(POLL_INTERVAL_LEASES);
        missing
    }

    fn member_messages(&self) -> Vec<FleetMember> {
        let to_message = |(host, member): (&HostId, &Member)| FleetMember {
            host: host.0,
            incarnation: member.incarnation,
            state: member.state as u32,
        };
        self.shares.members.iter().map(to_message).collect()
    }

    /// Returns the number of hosts in a state.
    fn count_in_state(&self, state: MemberState) -> usize {
        let in_state = |member: &&Member| member.state == state;
        self.shares.members.values().filter(in_state).count()
    }
}

impl Fleet {
    pub(super) fn advance_coordinator(&mut self) {
        let Some(role) = &mut self.coordinator_role else {
            return;
        };
        let transitions = role.shares.advance(&self.config, self.now);
        let ballot = role.shares.ballot;
        let missing = role.shares.missing_hosts(&self.config);
        let missing = role.hosts_to_poll(&self.config, missing, self.now);
        self.log_transitions(&transitions);
        for host in transitions.suspected {
            // The host may still run and only the link to it be broken, so the poll is also sent through relays.
            for relay in self.relays(host) {
                self.poll(host, ballot, Some(relay));
            }
            self.poll(host, ballot, None);
        }
        for host in missing {
            self.poll(host, ballot, None);
        }
        self.publish_membership();
        self.advance_maintenance_coordinator();
    }

    fn log_transitions(&self, transitions: &MembershipTransitions) {
        for host in &transitions.suspected {
            warn!(
                coordinator = self.process.host.0,
                member = host.0,
                epoch = self.membership.epoch,
                "member suspected: no renewal for half a lease, polling it through other hosts"
            );
        }
        for host in &transitions.expired {
            let role = self.coordinator_role.as_ref();
            let member = role.and_then(|role| role.shares.members.get(host));
            warn!(
                coordinator = self.process.host.0,
                member = host.0,
                incarnation = member.map(|member| member.incarnation),
                epoch = self.membership.epoch,
                "member lease expired: its share is given to other hosts"
            );
        }
        if transitions.takeover_completed {
            info!(
                coordinator = self.process.host.0,
                epoch = self.membership.epoch,
                "takeover complete: shares may grow"
            );
        }
    }

    /// Draws other members at random to relay a message to `host`, in case this host's link to it is broken.
    pub(super) fn relays(&mut self, host: HostId) -> Vec<HostId> {
        let me = self.process.host;
        let is_member = |member: &&FleetMember| {
            MemberState::from_number(member.state) == Some(MemberState::Member)
        };
        let members = self
            .membership
            .members
            .iter()
            .filter(is_member)
            .map(|member| HostId(member.host));
        members
            .filter(|other| *other != host && *other != me)
            .choose_multiple(&mut self.rng, RELAYS_PER_MESSAGE)
    }

    /// Polls a host: asks it to send a renewal. `via`: the relay to send the poll through.
    pub(super) fn poll(&mut self, host: HostId, ballot: Ballot, via: Option<HostId>) {
        let message = self.new_message(FleetMessageKind::Ask, host, 0);
        self.send(
            FleetMessage {
                round: ballot.round,
                by: ballot.by,
                ..message
            },
            via,
        );
    }

    /// Updates this host's copy of the membership from its coordinator role.
    fn publish_membership(&mut self) {
        let Some(role) = &self.coordinator_role else {
            return;
        };
        let epoch_changed = role.shares.epoch != self.membership.epoch;
        self.membership.epoch = role.shares.epoch;
        self.membership.members = role.member_messages();
        if epoch_changed {
            self.changed = true;
            info!(
                coordinator = self.process.host.0,
                epoch = self.membership.epoch,
                members = role.count_in_state(MemberState::Member),
                suspected = role.count_in_state(MemberState::Suspected),
                expired = role.count_in_state(MemberState::Out),
                left = role.count_in_state(MemberState::Left),
                "membership changed"
            );
        }
    }

    /// Handles a member's renewal and answers it if this host is the coordinator.
    pub(super) fn renewal_received(&mut self, message: &FleetMessage, link: HostId) {
        let process = messages::sender(message);
        if self.coordinator_role.is_some() && !self.may_join(process) {
            return self.count_dropped("of a machine that is out for work");
        }
        let Some(role) = &mut self.coordinator_role else {
            return self.count_dropped("not the coordinator");
        };
        let coordinator = &mut role.shares;
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
                    coordinator = self.process.host.0,
                    member = process.host.0,
                    incarnation,
                    epoch = self.membership.epoch,
                    "renewal fenced: another incarnation holds the lease of this host"
                );
                self.new_message(FleetMessageKind::Fence, process.host, incarnation)
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

    /// Builds the answer to a renewal that is granted.
    fn grant(
        &mut self,
        renewal: &FleetMessage,
        process: ProcessId,
        serial: u64,
        shares: &Shares,
    ) -> FleetMessage {
        self.statistics.counts.granted += 1;
        let maintenance = self.maintenance_renewed(renewal);
        let to_share = |(id, share): (&VolumeId, &u32)| FleetShare {
            budget: id.0,
            share: *share,
            demand: 0.0,
        };
        // The list of members is sent only to hosts that do not know the current epoch.
        let members = if renewal.epoch == self.membership.epoch {
            Vec::new()
        } else {
            self.membership.members.clone()
        };
        FleetMessage {
            serial,
            shares: shares.iter().map(to_share).collect(),
            members,
            maintenance,
            ..self.new_message(FleetMessageKind::Grant, process.host, process.incarnation)
        }
    }

    /// Handles a member's announcement that it leaves, and acknowledges it.
    pub(super) fn departure_received(&mut self, message: &FleetMessage, link: HostId) {
        let Some(role) = &mut self.coordinator_role else {
            return;
        };
        let coordinator = &mut role.shares;
        let process = messages::sender(message);
        coordinator.leave(&self.config, process);
        // A departure that was announced to an earlier coordinator may arrive late, when a later process of the same
        // host already has a newer order book. Its maintenance report is not applied then.
        let is_current = coordinator.is_current(messages::ballot(message));
        self.maintenance_member_left(message, is_current);
        self.publish_membership();
        let message = self.new_message(FleetMessageKind::Left, process.host, process.incarnation);
        self.send(message, Some(link));
    }
}

fn read_renewal(message: &FleetMessage, via: Option<HostId>) -> Renewal {
    let is_held = |part: &&FleetShare| message.serial > 0 && part.share > 0;
    let demand = |part: &FleetShare| (VolumeId(part.budget), f64::from(part.demand));
    Renewal {
        process: messages::sender(message),
        ballot: messages::ballot(message),
        via,
        serial: message.serial,
        demand: message
            .shares
            .iter()
            .map(demand)
            .collect::<BTreeMap<_, _>>(),
        held: message
            .shares
            .iter()
            .filter(is_held)
            .map(messages::budget_share)
            .collect(),
    }
}
