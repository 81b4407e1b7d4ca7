//! A host's side of maintenance: its copy of the order book, the servers that it may send to, and the report that it
//! adds to its renewals. The coordinator's side is in `maintenance_coordination`.

use super::operator_commands::PendingCommands;
use super::{Fleet, messages};
use crate::ballot::Ballot;
use crate::maintenance::{
    Order, OrderBook, OrderBookVersion, SERVED, ServerId, ServerObservation, ServerRole, Servers,
    Stage, may_use,
};
use gullsail_protocol::{FleetMaintenance, FleetMessage};
use gullsail_scheduler_api::{HostId, Instant, Span};
use std::collections::BTreeSet;
use tracing::{info, warn};

/// One host's state of maintenance.
#[derive(Clone, Debug, Default)]
pub(super) struct MaintenanceState {
    /// The copy of the order book; `None`: this host has not received one since its start.
    pub(super) order_book: Option<OrderBook>,
    /// When the last lease expires whose grant confirmed that this copy is the coordinator's newest order book; `None`:
    /// there was no such grant yet.
    confirmed_until: Option<Instant>,
    /// Whether `confirmed_until` has passed.
    confirmation_expired: bool,
    /// Whether the isolation grace after `confirmed_until` has passed, so that this host sends to no server.
    isolated: bool,
    /// The servers as this host observes them.
    pub(super) servers: Servers,
    /// Servers that this host no longer uses: it has no attempt and no connection to them.
    pub(super) released: BTreeSet<ServerId>,
    /// When this process was first granted a lease; `None`: it was granted none yet.
    first_lease_at: Option<Instant>,
    pub(super) commands: PendingCommands,
}

/// Returns the version of the order book that a message states.
pub(super) fn version(maintenance: &FleetMaintenance) -> OrderBookVersion {
    let ballot = Ballot {
        round: maintenance.round,
        by: maintenance.by,
    };
    OrderBookVersion {
        ballot,
        count: maintenance.count,
    }
}

impl Fleet {
    /// Whether this host may send to a server at `now`. Always true if maintenance is not configured.
    pub fn may_use(&self, server: ServerId, now: Instant) -> bool {
        let Some(config) = &self.config.maintenance else {
            return true;
        };
        if self.membership.fenced || self.membership.is_leaving() {
            return false;
        }
        let Some(until) = self.maintenance.confirmed_until else {
            return false;
        };
        let unconfirmed_since = Some(until).filter(|until| now >= *until);
        may_use(
            self.maintenance.order_book.as_ref(),
            config,
            self.config.drift,
            unconfirmed_since,
            server,
            now,
        )
    }

    /// Returns this host's copy of the order book; `None`: it has not received one since its start.
    pub fn order_book(&self) -> Option<&OrderBook> {
        self.maintenance.order_book.as_ref()
    }

    /// Returns the orders in this host's copy of the order book, for operators.
    pub fn orders(&self) -> impl Iterator<Item = &Order> {
        self.maintenance
            .order_book
            .iter()
            .flat_map(|order_book| &order_book.orders)
    }

    /// Whether this process is draining for maintenance: it accepts no new requests, and leaves the fleet once all are
    /// answered.
    pub fn going_offline(&self) -> bool {
        let this_server = self.server_of(self.process.host);
        let order =
            this_server.and_then(|server| self.maintenance.order_book.as_ref()?.order(server));
        // A process that started after the host drained is not the one that the order drains.
        order.is_some_and(|order| {
            let is_this_process =
                order.incarnation == self.process.incarnation || order.incarnation == 0;
            order.stage == Stage::Draining && is_this_process
        })
    }

    pub(super) fn server_of(&self, host: HostId) -> Option<ServerId> {
        let is_host = |seen: &ServerObservation| seen.role == ServerRole::Host(host.0);
        let mut servers = self.maintenance.servers.iter();
        servers
            .find(|(_, seen)| is_host(seen))
            .map(|(server, _)| *server)
    }

    /// Updates whether the confirmation of the order book has expired, and whether the isolation grace after it has
    /// passed.
    pub(super) fn update_isolation(&mut self) {
        let (Some(config), Some(until)) =
            (&self.config.maintenance, self.maintenance.confirmed_until)
        else {
            return;
        };
        let since = self.now - until;
        let confirmation_expired = since >= Span::ZERO;
        let isolated = since >= config.isolation_grace_held(self.config.drift);
        self.changed |= confirmation_expired != self.maintenance.confirmation_expired
            || isolated != self.maintenance.isolated;
        if isolated && !self.maintenance.isolated {
            warn!(
                member = self.process.host.0,
                epoch = self.membership.epoch,
                "no confirmed order book for the isolation grace: sending to no node"
            );
        }
        self.maintenance.confirmation_expired = confirmation_expired;
        self.maintenance.isolated = isolated;
    }

    /// Returns when the next timed action of maintenance is due; `None`: there is none.
    pub(super) fn maintenance_due(&self) -> Option<Instant> {
        let config = self.config.maintenance.as_ref()?;
        let state = &self.maintenance;
        let confirmation_ends = state
            .confirmed_until
            .filter(|_| !state.confirmation_expired);
        let before_isolation = state.confirmed_until.filter(|_| !state.isolated);
        let isolation_starts =
            before_isolation.map(|until| until + config.isolation_grace_held(self.config.drift));
        [state.commands.next(), confirmation_ends, isolation_starts]
            .into_iter()
            .flatten()
            .min()
    }

    /// Adds this host's maintenance report to a renewal or a departure. The message's ballot is that of the coordinator
    /// that receives it.
    pub(super) fn add_maintenance_report(&mut self, message: FleetMessage) -> FleetMessage {
        if self.config.maintenance.is_none() {
            return message;
        }
        let served = self
            .membership
            .demand
            .rates(self.now)
            .find(|(id, _)| *id == SERVED)
            .map_or(0.0, |(_, rate)| rate);
        let state = &self.maintenance;
        let order_book = state.order_book.as_ref();
        let version = order_book
            .map(|order_book| order_book.version)
            .unwrap_or_default();
        // A coordinator with another ballot may not have this order book, so the report includes it.
        let coordinator = messages::ballot(&message);
        let earlier = order_book.filter(|book| book.version.ballot != coordinator);
        let member_for = state
            .first_lease_at
            .map_or(0.0, |at| (self.now - at).millis());
        let report = FleetMaintenance {
            order_book: earlier.map(|order_book| order_book.to_message(self.now)),
            round: version.ballot.round,
            by: version.ballot.by,
            count: version.count,
            released: state.released.iter().map(|server| server.0).collect(),
            member_for_ms: member_for.max(0.0) as u64,
            served: served as f32,
            command: None,
        };
        FleetMessage {
            maintenance: Some(Box::new(report)),
            ..message
        }
    }

    /// Applies the maintenance part of a grant: updates the order book and whether it is confirmed.
    pub(super) fn maintenance_granted(&mut self, grant: &FleetMessage) {
        self.maintenance.first_lease_at.get_or_insert(self.now);
        if self.config.maintenance.is_none() {
            return;
        }
        let Some(report) = grant.maintenance.as_ref() else {
            return;
        };
        self.update_order_book(report);
        // A coordinator that has not adopted an order book yet may grant a lease to a host whose copy is stale.
        // Without this check such a host could send to a server that is offline. The cost: hosts become isolated if
        // the coordinator cannot adopt an order book.
        let newest = version(report);
        let confirmed = self
            .maintenance
            .order_book
            .as_ref()
            .is_some_and(|book| book.version == newest);
        if report.count > 0 && confirmed {
            self.maintenance.confirmed_until = self.membership.lease_holder.expires_at();
            self.update_isolation();
        }
        self.accept_commands_that_drain_this_host();
        if self.going_offline() && self.resign() {
            info!(
                member = self.process.host.0,
                epoch = self.membership.epoch,
                "coordinator steps down: its server goes into maintenance"
            );
        }
    }

    /// Replaces the order book if the message has a newer one.
    fn update_order_book(&mut self, report: &FleetMaintenance) {
        let message = report.order_book.as_ref();
        let Some(newer) = message.and_then(|message| OrderBook::from_message(message, self.now))
        else {
            return;
        };
        if self
            .maintenance
            .order_book
            .as_ref()
            .is_none_or(|known| known.version < newer.version)
        {
            self.maintenance.order_book = Some(newer);
            self.changed = true;
        }
    }
}
