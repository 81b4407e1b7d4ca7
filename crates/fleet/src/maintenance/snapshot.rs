//! The state of the fleet that the selection of the next server uses, in addition to the order book.

use super::server::{ServerId, ServerObservation, ServerRole, Servers};
use std::collections::BTreeSet;

/// The tolerance for comparisons of sums of capacities, in units a second: far above rounding errors, far below the
/// capacity of a node.
pub(super) const CAPACITY_TOLERANCE: f64 = 1e-9;

/// The state of the fleet without the order book.
pub struct FleetSnapshot<'a> {
    /// All servers that the coordinator observes.
    pub servers: &'a Servers,
    /// The hosts that are active members.
    pub members: &'a BTreeSet<u32>,
    /// The number of hosts in the configuration.
    pub hosts: u32,
    /// The number of voters: the hosts with the lowest numbers.
    pub voters: u32,
    /// The load that all hosts together serve, in units a second.
    pub served: f64,
    /// The number of the host that is the coordinator, which drains last.
    pub coordinator: u32,
    /// The time of day, in seconds from midnight UTC.
    pub second_of_day: u32,
}

impl FleetSnapshot<'_> {
    /// Whether a server is in service: a node that serves, or a host that is an active member.
    pub(super) fn is_well(&self, observation: &ServerObservation) -> bool {
        match observation.role {
            ServerRole::Node { .. } => observation.in_service,
            ServerRole::Host(host) => self.members.contains(&host),
        }
    }

    /// Whether two servers are both nodes or both hosts, so that taking one offline counts against limits that the
    /// other needs.
    pub(super) fn share_limits(&self, one: ServerId, other: ServerId) -> bool {
        let is_host = |server: ServerId| {
            self.servers
                .get(&server)
                .map(|seen| matches!(seen.role, ServerRole::Host(_)))
        };
        is_host(one) == is_host(other)
    }
}
