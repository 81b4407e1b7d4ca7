//! Tracks which hosts may still send to a server, from their reports and leases.

use super::MaintenanceCoordinator;
use crate::config::FleetConfig;
use crate::maintenance::config::MaintenanceConfig;
use crate::maintenance::order::COUNT_BITS;
use crate::maintenance::order::Order;
use crate::maintenance::order_book::OrderBookVersion;
use crate::maintenance::server::ServerId;
use crate::process_id::ProcessId;
use gullsail_scheduler_api::{HostId, Instant, Span};
use std::collections::BTreeSet;

/// The last report of one host's newest process. `earlier_incarnations_until` covers its earlier processes.
#[derive(Clone, Debug)]
pub(super) struct HostUsage {
    incarnation: u64,
    /// When the process was last granted a lease, by the coordinator's clock; before that, when its first report came.
    granted_at: Instant,
    /// The version of the process's copy of the order book; `None`: it has no copy.
    known_version: Option<OrderBookVersion>,
    released: BTreeSet<ServerId>,
    /// Whether the process has left the fleet.
    left: bool,
    /// The load that the host serves, in units a second.
    served: f64,
    /// Until when earlier processes of this host may send to servers.
    earlier_incarnations_until: Instant,
}

/// A host's maintenance report, sent with its renewal.
pub struct RenewalReport {
    /// The host that reports.
    pub host: HostId,
    /// The incarnation of the process that reports.
    pub incarnation: u64,
    /// The version of the host's copy of the order book; `None`: it has no copy.
    pub known_version: Option<OrderBookVersion>,
    /// Servers that the host no longer uses: it has no attempt and no connection to them.
    pub released: BTreeSet<ServerId>,
    /// The time since the process was first granted a lease, by the host's clock.
    pub member_for: Span,
    /// The load that the host serves, in units a second.
    pub served: f64,
}

impl MaintenanceCoordinator {
    /// Returns until when a host that has not reported may send to servers. An earlier coordinator may have granted it
    /// a lease just before this one was elected.
    fn unreported_host_may_send_until(
        &self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
    ) -> Instant {
        self.elected_at + config.lease + maintenance.isolation_grace
    }

    /// Records the maintenance report of a member's renewal.
    pub fn renewal_reported(
        &mut self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
        report: RenewalReport,
        now: Instant,
    ) {
        let lease_end = |granted: Instant| granted + config.lease + maintenance.isolation_grace;
        // Whichever host was the coordinator, the leases of the host's earlier processes expired at the latest one
        // lease after this process was granted its first one. `member_for` is shortened by the largest clock drift.
        let member_for = report.member_for.times(1.0 - config.drift);
        let earlier_until = lease_end(now - member_for);
        let unreported_host_may_send_until =
            self.unreported_host_may_send_until(config, maintenance);
        let first = HostUsage {
            incarnation: report.incarnation,
            granted_at: now,
            known_version: None,
            released: BTreeSet::new(),
            left: false,
            served: 0.0,
            earlier_incarnations_until: unreported_host_may_send_until.min(earlier_until),
        };
        let usage = self
            .usage
            .entry(report.host)
            .or_insert_with(|| first.clone());
        if usage.incarnation != report.incarnation {
            let process_until = if usage.left {
                now
            } else {
                lease_end(usage.granted_at)
            };
            *usage = HostUsage {
                earlier_incarnations_until: usage.earlier_incarnations_until.max(process_until),
                ..first
            };
        }
        usage.known_version = report.known_version;
        usage.released = report.released;
        usage.left = false;
        usage.served = report.served;
        if report.known_version.is_some() {
            self.with_order_book.insert(report.host);
            self.without_order_book.remove(&report.host);
        } else {
            self.without_order_book.insert(report.host);
            self.with_order_book.remove(&report.host);
        }
    }

    /// Records that a member is granted a lease now.
    pub fn lease_granted(&mut self, host: HostId, now: Instant) {
        if let Some(usage) = self.usage.get_mut(&host) {
            usage.granted_at = now;
        }
    }

    /// Whether to apply a report of this process: not if the last report was of another process of the host.
    pub fn may_report(&self, process: ProcessId) -> bool {
        let usage = self.usage.get(&process.host);
        usage.is_none_or(|usage| usage.incarnation == process.incarnation)
    }

    /// Records that a process has left. A late departure does not affect a later process of the host.
    pub fn member_left(&mut self, process: ProcessId) {
        let usage = self.usage.get_mut(&process.host);
        if let Some(usage) = usage.filter(|usage| usage.incarnation == process.incarnation) {
            usage.left = true;
        }
    }

    /// Returns the load that all hosts with a current lease serve, in units a second.
    pub fn served(&self, config: &FleetConfig, now: Instant) -> f64 {
        let is_current = |usage: &&HostUsage| !usage.left && now - usage.granted_at < config.lease;
        self.usage
            .values()
            .filter(is_current)
            .map(|usage| usage.served)
            .sum()
    }

    /// Whether a majority of all hosts has the order book with this count, or a later one.
    pub(super) fn is_committed(&self, config: &FleetConfig, count: u64) -> bool {
        let version = OrderBookVersion {
            ballot: self.ballot,
            count,
        };
        let has_version =
            |usage: &&HostUsage| usage.known_version.is_some_and(|known| known >= version);
        self.usage.values().filter(has_version).count() >= config.majority_of_hosts()
    }

    /// Whether a host has reported that it released an order's server.
    pub(super) fn has_released(&self, host: HostId, order: &Order) -> bool {
        self.usage
            .get(&host)
            .is_some_and(|usage| self.is_released(usage, order))
    }

    /// Whether a host has released an order's server or has left. A release counts only if the host reported it with an
    /// order book in which the server drains: with an older one, the host may have used the server after the report.
    fn is_released(&self, usage: &HostUsage, order: &Order) -> bool {
        let draining = OrderBookVersion {
            ballot: self.ballot,
            count: order.version,
        };
        let has_version = usage.known_version.is_some_and(|known| known >= draining);
        usage.left || has_version && usage.released.contains(&order.server)
    }

    /// Returns until when a host may still send to the server of a draining order.
    pub(super) fn may_send_until(
        &self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
        host: HostId,
        order: &Order,
    ) -> Instant {
        let Some(usage) = self.usage.get(&host) else {
            return self.unreported_host_may_send_until(config, maintenance);
        };
        // The release counts for the present process only. Earlier processes may not have received the order.
        if self.is_released(usage, order) {
            return usage.earlier_incarnations_until;
        }
        // Without a lease, a host that has the order does not send to the server. A host that does not have it may
        // do so for the isolation grace after its lease.
        let requested = OrderBookVersion {
            ballot: self.ballot,
            count: self.first_count_with(order),
        };
        let has_order = usage.known_version.is_some_and(|known| known >= requested);
        let grace = if has_order {
            Span::ZERO
        } else {
            maintenance.isolation_grace
        };
        usage
            .earlier_incarnations_until
            .max(usage.granted_at + config.lease + grace)
    }

    /// Returns the count of this coordinator's first version of the order book that contains the order.
    fn first_count_with(&self, order: &Order) -> u64 {
        let requested_here = order.number >> COUNT_BITS == self.ballot.round;
        let count = if requested_here {
            order.number & ((1 << COUNT_BITS) - 1)
        } else {
            0
        };
        count.max(self.first_count)
    }
}
