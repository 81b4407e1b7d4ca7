//! Messages between hosts: sends messages, counts and drops invalid ones by cause, and dispatches the others.

use super::Fleet;
use super::event::{Departure, Output};
use crate::ballot::Ballot;
use crate::config::WHOLE;
use crate::maintenance::OrderBook;
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetMaintenance, FleetMessage, FleetMessageKind, FleetShare};
use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::VecDeque;

/// The version of the fleet protocol. Messages of another version are dropped and counted.
pub const RULES: u32 = 1;

/// Returns the ballot in a message's `round` and `by` fields.
pub(super) fn ballot(message: &FleetMessage) -> Ballot {
    Ballot {
        round: message.round,
        by: message.by,
    }
}

/// Returns the process that sent a message.
pub(super) fn sender(message: &FleetMessage) -> ProcessId {
    ProcessId {
        host: HostId(message.from),
        incarnation: message.from_incarnation,
    }
}

/// Returns the budget and the share in one entry of a message's `shares`.
pub(super) fn budget_share(entry: &FleetShare) -> (VolumeId, u32) {
    (VolumeId(entry.budget), entry.share)
}

/// Messages that wait to be sent or handled.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    /// Messages to other hosts.
    pub(super) outputs: Vec<Output>,
    /// Messages of this host to itself, handled before the current call of [`Fleet::handle`] or [`Fleet::advance`]
    /// returns.
    loopback: VecDeque<FleetMessage>,
}

impl Fleet {
    /// Creates a message of this host without content. `to_incarnation` 0: for any process of the host `to`.
    pub(super) fn new_message(
        &self,
        kind: FleetMessageKind,
        to: HostId,
        to_incarnation: u64,
    ) -> FleetMessage {
        FleetMessage {
            fleet: self.config.fleet,
            rules: RULES,
            kind: kind as i32,
            from: self.process.host.0,
            from_incarnation: self.process.incarnation,
            to: to.0,
            to_incarnation,
            epoch: self.membership.epoch,
            ..FleetMessage::default()
        }
    }

    /// Queues a message, to be sent through the relay `via` if there is one. A message of this host to itself is queued
    /// for [`Fleet::handle_loopback`].
    pub(super) fn send(&mut self, message: FleetMessage, via: Option<HostId>) {
        if message.to == self.process.host.0 {
            return self.outbox.loopback.push_back(message);
        }
        let to = via
            .filter(|via| *via != self.process.host)
            .unwrap_or(HostId(message.to));
        self.statistics.counts.messages_out += 1;
        self.outbox.outputs.push(Output { to, message });
    }

    /// Handles the messages of this host to itself. Each answer is a later phase of its exchange, so the loop ends.
    pub(super) fn handle_loopback(&mut self) {
        while let Some(message) = self.outbox.loopback.pop_front() {
            self.dispatch(self.process.host, message);
        }
    }

    /// Counts a dropped message under its cause.
    pub(super) fn count_dropped(&mut self, cause: &'static str) {
        self.statistics.count_dropped(cause);
    }

    /// Handles a message from another host: drops it if it is invalid, relays it, or dispatches it.
    pub(super) fn receive(&mut self, link: HostId, message: FleetMessage) {
        if let Some(cause) = self.defect(link, &message) {
            return self.count_dropped(cause);
        }
        if message.to != self.process.host.0 {
            return self.relay(link, message);
        }
        if message.to_incarnation != 0 && message.to_incarnation != self.process.incarnation {
            return self.count_dropped("for an earlier process of this name");
        }
        self.dispatch(link, message);
    }

    /// Returns why a message is invalid; `None`: it is valid. The causes are keys of the status JSON and stable.
    fn defect(&self, link: HostId, message: &FleetMessage) -> Option<&'static str> {
        let is_known = |host: u32| host < self.config.hosts;
        let maintenance_is_valid = match message.maintenance.as_deref() {
            Some(maintenance) => self.is_valid_maintenance(maintenance),
            None => true,
        };
        if message.rules != RULES {
            Some("of other rules")
        } else if message.fleet != self.config.fleet {
            Some("of another fleet")
        } else if !is_known(message.from) || !is_known(message.to) || !is_known(link.0) {
            Some("of an unknown host")
        } else if message.from == self.process.host.0 {
            Some("of another process with this host's name")
        } else if !message.shares.iter().all(is_valid_share) || !maintenance_is_valid {
            Some("with figures that make no sense")
        } else {
            None
        }
    }

    fn is_valid_maintenance(&self, maintenance: &FleetMaintenance) -> bool {
        let order_book = maintenance.order_book.as_ref();
        let readable =
            order_book.is_none_or(|book| OrderBook::from_message(book, self.now).is_some());
        readable && maintenance.served.is_finite() && maintenance.served >= 0.0
    }

    /// Relays a message. It must come directly from its sender, so that messages do not circulate.
    fn relay(&mut self, link: HostId, message: FleetMessage) {
        if link.0 != message.from {
            return self.count_dropped("passed on twice");
        }
        self.statistics.counts.passed_on += 1;
        self.outbox.outputs.push(Output {
            to: HostId(message.to),
            message,
        });
    }

    /// Calls the handler for a message's kind.
    fn dispatch(&mut self, link: HostId, message: FleetMessage) {
        let is_voter = self.config.is_voter(self.process.host);
        let stays = !self.membership.is_leaving();
        let announced = matches!(self.membership.departure, Departure::Announced { .. });
        match message.kind() {
            FleetMessageKind::Prepare | FleetMessageKind::Propose if is_voter && stays => {
                self.answer_candidate(&message, link);
            }
            FleetMessageKind::Release if is_voter => {
                self.election.acceptor.release(sender(&message))
            }
            FleetMessageKind::Promise => self.promise_received(&message),
            FleetMessageKind::Accept => self.acceptance_received(&message),
            FleetMessageKind::Refuse => self.election.candidate.refused(ballot(&message), self.now),
            FleetMessageKind::Ask if stays => self.poll_received(&message, link),
            // The departure message was lost, or this host was the coordinator itself when it announced the departure.
            FleetMessageKind::Ask if announced => {
                let coordinator = sender(&message);
                self.send_departure(coordinator, ballot(&message), Some(link));
            }
            FleetMessageKind::Renew => self.renewal_received(&message, link),
            FleetMessageKind::Grant if stays => self.grant_received(&message),
            FleetMessageKind::Leave => self.departure_received(&message, link),
            FleetMessageKind::Left if announced => self.membership.departure = Departure::Complete,
            FleetMessageKind::Fence
                if ballot(&message) >= self.membership.lease_holder.ballot() =>
            {
                self.fence_received()
            }
            FleetMessageKind::OperatorCommand => self.command_received(&message, link),
            FleetMessageKind::Heard => self.command_answered(&message),
            FleetMessageKind::Unknown => self.count_dropped("of an unknown kind"),
            _ => self.count_dropped("out of place"),
        }
    }
}

fn is_valid_share(share: &FleetShare) -> bool {
    share.share <= WHOLE && share.demand.is_finite() && share.demand >= 0.0
}
