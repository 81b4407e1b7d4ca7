//! Settings, servers and orders that the tests share, and a driver for a maintenance coordinator.

use gullsail_fleet::FleetConfig;
use gullsail_fleet::ballot::Ballot;
use gullsail_fleet::maintenance::coordinator::{
    CommandDecision, MaintenanceCoordinator, RenewalReport,
};
use gullsail_fleet::maintenance::{
    FleetSnapshot, MaintenanceConfig, Order, OrderBook, OrderBookVersion, ServerId,
    ServerObservation, ServerRole, Servers, Stage,
};
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::{HostId, Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Returns the time `ms` milliseconds after a reference time. Earlier times can be expressed too.
pub fn ms(ms: i64) -> Instant {
    Instant::from_micros(1_000_000_000 + ms * 1000)
}

pub fn maintenance_config() -> MaintenanceConfig {
    MaintenanceConfig {
        at_once: 2,
        in_zone: 1,
        in_pool: 2,
        keep: 0.5,
        keep_shard: 0.0,
        busy: 0.9,
        longest: Span::from_millis(1000.0),
        watched: Span::from_millis(100.0),
        isolation_grace: Span::from_millis(3000.0),
        quiet_hours: vec![(79_200, 21_600)],
    }
}

/// Settings with a lease of one second and no clock drift.
fn fleet_config(hosts: u32) -> FleetConfig {
    FleetConfig {
        fleet: 7,
        hosts,
        lease: Span::from_millis(1000.0),
        drift: 0.0,
        voters: 3,
        budgets: BTreeMap::new(),
        maintenance: Some(maintenance_config()),
    }
}

/// Servers 1 to 6 are nodes: two for each shard, odd ones in zone 1 and even ones in zone 0, with a capacity of 100
/// each. Servers 11 to 15 are hosts 0 to 4, in zones 2 to 6.
pub fn servers() -> Servers {
    let observation = |role, zone| ServerObservation {
        role,
        zone,
        in_service: true,
        incarnation: 1,
        uptime: Span::ZERO,
    };
    let node = |n: u64| {
        let role = ServerRole::Node {
            shard: (n as i64 + 1) / 2,
            pool: 0,
            can: 100.0,
        };
        (ServerId(n), observation(role, n as u32 % 2))
    };
    let host = |number: u32| {
        (
            ServerId(11 + u64::from(number)),
            observation(ServerRole::Host(number), 2 + number),
        )
    };
    (1..=6).map(node).chain((0..5).map(host)).collect()
}

pub fn order(server: u64, stage: Stage, times_overtaken: u32) -> Order {
    Order {
        server: ServerId(server),
        number: server,
        stage,
        version: 1,
        age: Span::ZERO,
        as_of: Instant::from_micros(0),
        max_offline: Span::from_millis(1000.0),
        shard_away: false,
        returns_on_restart: false,
        reason: String::new(),
        waiting_for: String::new(),
        hosts: Vec::new(),
        times_overtaken,
        incarnation: 1,
    }
}

/// A snapshot at about eleven o'clock, with three voters and no load.
pub fn snapshot<'a>(
    servers: &'a Servers,
    members: &'a BTreeSet<u32>,
    hosts: u32,
    coordinator: u32,
) -> FleetSnapshot<'a> {
    FleetSnapshot {
        servers,
        members,
        hosts,
        voters: 3,
        served: 0.0,
        coordinator,
        second_of_day: 40_000,
    }
}

/// The server that all orders and commands of the driver are for.
pub const SERVER: ServerId = ServerId(1);

/// A maintenance coordinator, with the settings and servers that it works on.
pub struct Driver {
    pub coordinator: MaintenanceCoordinator,
    pub ballot: Ballot,
    config: FleetConfig,
    maintenance: MaintenanceConfig,
    servers: Servers,
    members: BTreeSet<u32>,
    hosts: u32,
    /// The number of the host that is the coordinator.
    me: u32,
}

impl Driver {
    /// Host `me`, elected at `elected_at` by a ballot of round 9, with this copy of the order book.
    pub fn new(hosts: u32, me: u32, host_copy: Option<OrderBook>, elected_at: Instant) -> Driver {
        let ballot = Ballot { round: 9, by: 0 };
        Driver {
            coordinator: MaintenanceCoordinator::new(ballot, host_copy, elected_at),
            ballot,
            config: fleet_config(hosts),
            maintenance: maintenance_config(),
            servers: servers(),
            members: (0..5).collect(),
            hosts,
            me,
        }
    }

    pub fn report(&mut self, report: RenewalReport, now: Instant) {
        self.coordinator
            .renewal_reported(&self.config, &self.maintenance, report, now);
    }

    /// Handles a report and grants a lease in answer.
    pub fn renew(&mut self, report: RenewalReport, now: Instant) {
        let host = report.host;
        self.report(report, now);
        self.coordinator.lease_granted(host, now);
    }

    pub fn advance(&mut self, now: Instant, takeover_complete: bool) {
        let snapshot = snapshot(&self.servers, &self.members, self.hosts, self.me);
        self.coordinator.advance(
            &self.config,
            &self.maintenance,
            now,
            &snapshot,
            self.ballot,
            takeover_complete,
        );
    }

    pub fn command(&mut self, command: &FleetCommand, now: Instant) -> CommandDecision {
        self.coordinator
            .command(&self.config, &self.maintenance, command, &self.servers, now)
    }

    pub fn version(&self) -> Option<OrderBookVersion> {
        self.coordinator
            .order_book()
            .map(|order_book| order_book.version)
    }

    /// The stage of server 1's order.
    pub fn stage(&self) -> Option<Stage> {
        let order_book = self.coordinator.order_book();
        order_book
            .and_then(|order_book| order_book.order(SERVER))
            .map(|order| order.stage)
    }
}

/// The report of a host in its first incarnation that has been a member for a minute and released no server.
pub fn report(host: u32, known_version: Option<OrderBookVersion>) -> RenewalReport {
    RenewalReport {
        host: HostId(host),
        incarnation: 1,
        known_version,
        released: BTreeSet::new(),
        member_for: Span::from_millis(60_000.0),
        served: 0.0,
    }
}
