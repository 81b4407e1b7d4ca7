//! What the coordinator knows about which host may still send to which server.

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

/// What one host reported last, all of one process; `earlier_incarnations_until` covers the processes before
/// it.
#[derive(Clone, Debug)]
pub(super) struct HostUsage {
    incarnation: u64,
    /// When it was last granted a lease, by the coordinator's clock.
    granted_at: Instant,
    known: Option<OrderBookVersion>,
    released: BTreeSet<ServerId>,
    left: bool,
    served: f64,
    /// Until when other processes of this host may send.
    earlier_incarnations_until: Instant,
}

/// What a host reports of maintenance with its renewal.
pub struct RenewalReport {
    /// Who reports.
    pub host: HostId,
    /// Its process.
    pub incarnation: u64,
    /// The version of the order book that it knows; `None`: none.
    pub known: Option<OrderBookVersion>,
    /// Servers that it no longer uses: no attempt, no connection.
    pub released: BTreeSet<ServerId>,
    /// For how long it has been a member, by its own clock.
    pub member_for: Span,
    /// Units a second that it serves.
    pub served: f64,
}

impl MaintenanceCoordinator {
    /// Until when a host that has not reported may send: it may have been granted a lease by an earlier
    /// coordinator just before this one was elected.
    fn unreported_host_may_send_until(
        &self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
    ) -> Instant {
        self.elected_at + config.lease + maintenance.isolation_grace
    }

    /// A member renews its lease.
    pub fn renewal_reported(
        &mut self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
        report: RenewalReport,
        now: Instant,
    ) {
        let lease_end = |granted: Instant| granted + config.lease + maintenance.isolation_grace;
        // One lease after this process had its first one, no other process of the host held any, whoever was
        // the coordinator.
        let member_for = report.member_for.times(1.0 - config.drift);
        let earlier_until = lease_end(now - member_for);
        let unreported_host_may_send_until =
            self.unreported_host_may_send_until(config, maintenance);
        let first = HostUsage {
            incarnation: report.incarnation,
            granted_at: now,
            known: None,
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
        usage.known = report.known;
        usage.released = report.released;
        usage.left = false;
        usage.served = report.served;
        if report.known.is_some() {
            self.informed.insert(report.host);
            self.uninformed.remove(&report.host);
        } else {
            self.uninformed.insert(report.host);
            self.informed.remove(&report.host);
        }
    }

    /// A member is granted a lease.
    pub fn lease_granted(&mut self, host: HostId, now: Instant) {
        if let Some(usage) = self.usage.get_mut(&host) {
            usage.granted_at = now;
        }
    }

    /// Whether a report of this process is taken: no other process has reported under its name.
    pub fn may_report(&self, process: ProcessId) -> bool {
        let known = self.usage.get(&process.host);
        known.is_none_or(|usage| usage.incarnation == process.incarnation)
    }

    /// A member has left. A departure that comes late does not count for a later process under its name.
    pub fn member_left(&mut self, process: ProcessId) {
        let usage = self.usage.get_mut(&process.host);
        if let Some(usage) = usage.filter(|usage| usage.incarnation == process.incarnation) {
            usage.left = true;
        }
    }

    /// Units a second, by all hosts that renewed within a lease.
    pub fn served(&self, config: &FleetConfig, now: Instant) -> f64 {
        let is_current = |usage: &&HostUsage| !usage.left && now - usage.granted_at < config.lease;
        self.usage
            .values()
            .filter(is_current)
            .map(|usage| usage.served)
            .sum()
    }

    /// Whether a majority of all hosts knows the version of the order book with this count, or a later one.
    pub(super) fn is_committed(&self, config: &FleetConfig, count: u64) -> bool {
        let version = OrderBookVersion {
            ballot: self.ballot,
            count,
        };
        let knows = |usage: &&HostUsage| usage.known.is_some_and(|known| known >= version);
        self.usage.values().filter(knows).count() >= config.majority_of_hosts()
    }

    /// Whether a host has reported that it released an order's server.
    pub(super) fn has_released(&self, host: HostId, order: &Order) -> bool {
        self.usage
            .get(&host)
            .is_some_and(|usage| self.is_released(usage, order))
    }

    /// A report made with an older order book does not count: the host may have used the server since.
    fn is_released(&self, usage: &HostUsage, order: &Order) -> bool {
        let draining = OrderBookVersion {
            ballot: self.ballot,
            count: order.version,
        };
        let knows = usage.known.is_some_and(|known| known >= draining);
        usage.left || knows && usage.released.contains(&order.server)
    }

    /// Until when a host may still send to the server of a draining order.
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
        // An earlier process of this host may not have known the order.
        if self.is_released(usage, order) {
            return usage.earlier_incarnations_until;
        }
        // A host that knows this order sends to the server only while it holds a lease.
        let requested = OrderBookVersion {
            ballot: self.ballot,
            count: self.count_with(order),
        };
        let knows = usage.known.is_some_and(|known| known >= requested);
        let blind = if knows {
            Span::ZERO
        } else {
            maintenance.isolation_grace
        };
        usage
            .earlier_incarnations_until
            .max(usage.granted_at + config.lease + blind)
    }

    /// The count of this coordinator's first version of the order book that has an order in it.
    fn count_with(&self, order: &Order) -> u64 {
        let own = order.number >> COUNT_BITS == self.ballot.round;
        let count = if own {
            order.number & ((1 << COUNT_BITS) - 1)
        } else {
            0
        };
        count.max(self.first_count)
    }
}
