//! The coordinator's side of maintenance, used while this host holds the coordinator lease: handles members' reports,
//! sends them the newest order book and answers operators' commands.

use super::maintenance_participant::version;
use super::{Fleet, messages};
use crate::coordinator::Member;
use crate::maintenance::coordinator::{CommandDecision, RenewalReport};
use crate::maintenance::{FleetSnapshot, OrderBook, ServerId, ServerRole, Servers};
use crate::process_id::ProcessId;
use gullsail_protocol::{FleetCommand, FleetMaintenance, FleetMessage, FleetMessageKind};
use gullsail_scheduler_api::{HostId, Span};
use std::collections::BTreeSet;

/// Times in messages are limited to this many milliseconds (35 years), so that sums of them do not overflow.
const MAX_MILLIS: u64 = 1 << 40;
const SECONDS_A_DAY: i64 = 86_400;

impl Fleet {
    /// Whether this process may be a member of the fleet, by the order for its server.
    pub(super) fn may_join(&self, process: ProcessId) -> bool {
        if self.config.maintenance.is_none() {
            return true;
        }
        let Some(role) = &self.coordinator_role else {
            return true;
        };
        let server = self.server_of(process.host);
        server.is_none_or(|server| role.maintenance.may_join(server, process.incarnation))
    }

    /// Handles the maintenance report of a renewal that is granted. Returns the version of the newest order book for
    /// the answer, with the order book itself if the member has another version.
    pub(super) fn maintenance_renewed(
        &mut self,
        renewal: &FleetMessage,
    ) -> Option<Box<FleetMaintenance>> {
        self.apply_maintenance_report(renewal)?;
        let coordinator = &mut self.coordinator_role.as_mut()?.maintenance;
        coordinator.lease_granted(HostId(renewal.from), self.now);
        let known_version = version(renewal.maintenance.as_ref()?);
        let order_book = coordinator.order_book();
        let newest = order_book
            .map(|order_book| order_book.version)
            .unwrap_or_default();
        let unknown = order_book.filter(|order_book| order_book.version != known_version);
        Some(Box::new(FleetMaintenance {
            order_book: unknown.map(|order_book| order_book.to_message(self.now)),
            round: newest.ballot.round,
            by: newest.ballot.by,
            count: newest.count,
            ..FleetMaintenance::default()
        }))
    }

    /// Handles the departure of a member: from now on it counts as using no server. Its maintenance report is applied
    /// only if it is current and of the process that reported last.
    pub(super) fn maintenance_member_left(&mut self, departure: &FleetMessage, is_current: bool) {
        let process = messages::sender(departure);
        let Some(role) = &self.coordinator_role else {
            return;
        };
        if is_current && role.maintenance.may_report(process) {
            self.apply_maintenance_report(departure);
        }
        if let Some(role) = &mut self.coordinator_role {
            role.maintenance.member_left(process);
        }
    }

    /// Applies the maintenance report in a member's message; `None`: there is no report, or no maintenance.
    fn apply_maintenance_report(&mut self, from_member: &FleetMessage) -> Option<()> {
        let config = self.config.clone();
        let maintenance = config.maintenance.as_ref()?;
        let coordinator = &mut self.coordinator_role.as_mut()?.maintenance;
        let message = from_member.maintenance.as_ref()?;
        let known_version = version(message);
        let report = RenewalReport {
            host: HostId(from_member.from),
            incarnation: from_member.from_incarnation,
            known_version: Some(known_version).filter(|version| version.count > 0),
            released: message
                .released
                .iter()
                .map(|server| ServerId(*server))
                .collect(),
            member_for: Span::from_millis(message.member_for_ms.min(MAX_MILLIS) as f64),
            served: f64::from(message.served),
        };
        coordinator.renewal_reported(&config, maintenance, report, self.now);
        let reported = message
            .order_book
            .as_ref()
            .and_then(|order_book| OrderBook::from_message(order_book, self.now));
        if let Some(order_book) = reported {
            coordinator.order_book_reported(order_book);
        }
        Some(())
    }

    pub(super) fn advance_maintenance_coordinator(&mut self) {
        let config = self.config.clone();
        let Some(maintenance) = &config.maintenance else {
            return;
        };
        let servers = self.servers_with_hosts();
        let Some(role) = &mut self.coordinator_role else {
            return;
        };
        let active = role
            .shares
            .members
            .iter()
            .filter(|(_, member)| member.is_active());
        let members: BTreeSet<u32> = active.map(|(host, _)| host.0).collect();
        let seconds = self.now.micros().div_euclid(1_000_000);
        let snapshot = FleetSnapshot {
            servers: &servers,
            members: &members,
            hosts: config.hosts,
            voters: config.voters.min(config.hosts),
            served: role.maintenance.served(&config, self.now),
            coordinator: self.process.host.0,
            second_of_day: seconds.rem_euclid(SECONDS_A_DAY) as u32,
        };
        role.maintenance.advance(
            &config,
            maintenance,
            self.now,
            &snapshot,
            role.shares.ballot,
            role.shares.takeover_complete(),
        );
    }

    /// Returns the servers as this host observes them. For hosts it adds their incarnation and whether they are active
    /// members.
    fn servers_with_hosts(&self) -> Servers {
        let Some(role) = &self.coordinator_role else {
            return Servers::new();
        };
        let mut servers = self.maintenance.servers.clone();
        for server in servers.values_mut() {
            if let ServerRole::Host(host) = server.role {
                let member = role.shares.members.get(&HostId(host));
                server.incarnation = member.map_or(0, |member| member.incarnation);
                server.in_service = member.is_some_and(Member::is_active);
            }
        }
        servers
    }

    /// Handles an operator's command that was sent by another host or by this one, and answers it once it is decided.
    pub(super) fn command_received(&mut self, message: &FleetMessage, link: HostId) {
        let config = self.config.clone();
        let command = message
            .maintenance
            .as_ref()
            .and_then(|maintenance| maintenance.command.as_ref());
        let (Some(maintenance), Some(role), Some(command)) =
            (&config.maintenance, &mut self.coordinator_role, command)
        else {
            return self.count_dropped("not the coordinator");
        };
        let decision = role.maintenance.command(
            &config,
            maintenance,
            command,
            &self.maintenance.servers,
            self.now,
        );
        let result = match decision {
            CommandDecision::Pending => return,
            CommandDecision::Accepted => FleetCommand::default(),
            CommandDecision::Refused { server, refusal } => FleetCommand {
                refused: server.0,
                refusal: refusal.to_string(),
                ..FleetCommand::default()
            },
        };
        let maintenance = FleetMaintenance {
            command: Some(result),
            ..FleetMaintenance::default()
        };
        let answer = FleetMessage {
            number: message.number,
            maintenance: Some(Box::new(maintenance)),
            ..self.new_message(
                FleetMessageKind::Heard,
                HostId(message.from),
                message.from_incarnation,
            )
        };
        self.send(answer, Some(link));
    }
}
