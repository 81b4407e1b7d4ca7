//! What the selection of the next server is computed from, beside the order book.

use super::server::{ServerId, ServerObservation, ServerRole, Servers};
use std::collections::BTreeSet;

/// Sums of capacities are compared with this tolerance, in units a second: far above rounding errors, far
/// below one node's capacity.
pub(super) const CAPACITY_TOLERANCE: f64 = 1e-9;

/// The state of the fleet, beside the order book.
pub struct FleetSnapshot<'a> {
    /// All servers that the coordinator observes.
    pub servers: &'a Servers,
    /// The hosts that are members.
    pub members: &'a BTreeSet<u32>,
    /// How many hosts there are.
    pub hosts: u32,
    /// The first so many of them are voters.
    pub voters: u32,
    /// Units a second that all hosts serve.
    pub served: f64,
    /// The host that is the coordinator: it goes last.
    pub coordinator: u32,
    /// Seconds of the day, UTC.
    pub second_of_day: u32,
}

impl FleetSnapshot<'_> {
    /// Whether a server works: a node that serves, or a host that is a member.
    pub(super) fn is_well(&self, observation: &ServerObservation) -> bool {
        match observation.what {
            ServerRole::Node { .. } => observation.well,
            ServerRole::Host(host) => self.members.contains(&host),
        }
    }

    /// Whether two servers are both nodes or both hosts: then one takes up the limits that the other needs.
    pub(super) fn share_limits(&self, one: ServerId, other: ServerId) -> bool {
        let is_host = |server: ServerId| {
            self.servers
                .get(&server)
                .map(|seen| matches!(seen.what, ServerRole::Host(_)))
        };
        is_host(one) == is_host(other)
    }
}
