//! Messages between hosts: sends them, drops invalid ones with their cause, and dispatches the others.

use super::Fleet;
use super::event::{Departure, Output};
use crate::ballot::Ballot;
use crate::config::WHOLE;
use crate::maintenance::OrderBook;
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetMaintenance, FleetMessage, FleetMessageKind, FleetShare};
use gullsail_scheduler_api::{HostId, VolumeId};
use std::collections::VecDeque;

/// The version of the protocol. Messages of another version are dropped and counted.
pub const RULES: u32 = 1;

/// The ballot in a message.
pub(super) fn ballot(message: &FleetMessage) -> Ballot {
    Ballot {
        round: message.round,
        by: message.by,
    }
}

/// The process that sent a message.
pub(super) fn sender(message: &FleetMessage) -> ProcessId {
    ProcessId {
        host: HostId(message.from),
        incarnation: message.from_incarnation,
    }
}

/// The budget and share in a part of a message.
pub(super) fn part(part: &FleetShare) -> (VolumeId, u32) {
    (VolumeId(part.budget), part.share)
}

/// Messages that this host sends.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    /// To other hosts.
    pub(super) outputs: Vec<Output>,
    /// To itself, handled in the same step.
    loopback: VecDeque<FleetMessage>,
}

impl Fleet {
    /// An empty message of this host. `to_incarnation` 0: to any process of that host.
    pub(super) fn new_message(
        &self,
        what: FleetMessageKind,
        to: HostId,
        to_incarnation: u64,
    ) -> FleetMessage {
        FleetMessage {
            fleet: self.config.fleet,
            rules: RULES,
            kind: what as i32,
            from: self.process.host.0,
            from_incarnation: self.process.incarnation,
            to: to.0,
            to_incarnation,
            epoch: self.membership.epoch,
            ..FleetMessage::default()
        }
    }

    /// Sends a message, through the relay `via` if there is one.
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

    /// Handles messages of this host to itself in the same step. Each answer is one phase further in its
    /// exchange, so the loop ends.
    pub(super) fn handle_loopback(&mut self) {
        while let Some(message) = self.outbox.loopback.pop_front() {
            self.dispatch(self.process.host, message);
        }
    }

    /// Counts a message that is dropped, by cause.
    pub(super) fn count_dropped(&mut self, cause: &'static str) {
        self.statistics.count_dropped(cause);
    }

    /// A message has come from another host.
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

    /// Why a message is invalid; `None`: it is valid. The causes are keys in the status JSON, so they stay.
    fn defect(&self, link: HostId, message: &FleetMessage) -> Option<&'static str> {
        let is_known = |host: u32| host < self.config.hosts;
        let maintenance_is_sound = match message.maintenance.as_deref() {
            Some(maintenance) => self.is_sound(maintenance),
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
        } else if !message.shares.iter().all(part_is_sound) || !maintenance_is_sound {
            Some("with figures that make no sense")
        } else {
            None
        }
    }

    fn is_sound(&self, maintenance: &FleetMaintenance) -> bool {
        let order_book = maintenance.order_book.as_ref();
        let readable =
            order_book.is_none_or(|book| OrderBook::from_message(book, self.now).is_some());
        readable && maintenance.served.is_finite() && maintenance.served >= 0.0
    }

    /// Relays a message. Only messages that come directly from their sender are relayed, so none circulates.
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

    /// Dispatches a message by its kind.
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
            // The departure message was lost, or there was no coordinator when it was due.
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

fn part_is_sound(part: &FleetShare) -> bool {
    part.share <= WHOLE && part.demand.is_finite() && part.demand >= 0.0
}
