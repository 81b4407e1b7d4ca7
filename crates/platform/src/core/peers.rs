//! Demand reports between the hosts of the fleet, one per datagram.

use super::context::Context;
use super::io::Output;
use gullsail_scheduler_api::{Event, HostId};
use std::net::SocketAddr;

/// Most bytes of a peer message. Hosts of this version send none that is longer, so a longer datagram is counted as
/// foreign.
const MAX_PEER_MESSAGE_BYTES: usize = 256;

/// The addresses of all hosts of the fleet.
pub(super) struct Peers {
    /// The address of the host with number `i` at index `i`, this host included.
    addresses: Vec<SocketAddr>,
}

impl Peers {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Peers {
        Peers { addresses }
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends a report of the scheduler to another host. Does nothing for a host without an address: the scheduler sends
    /// reports periodically.
    pub(super) fn send(&self, to: HostId, bytes: Vec<u8>, context: &mut Context) {
        if let Some(address) = self.addresses.get(to.0 as usize) {
            context.metrics.reports_sent += 1;
            context.outputs.push(Output::Datagram {
                to: *address,
                bytes: bytes.into(),
            });
        }
    }

    /// Passes a report to the scheduler if its sender is a host of the fleet; otherwise counts it as foreign.
    pub(super) fn receive(&self, from: SocketAddr, bytes: &[u8], context: &mut Context) {
        match self.addresses.iter().position(|peer| *peer == from) {
            Some(host) if bytes.len() <= MAX_PEER_MESSAGE_BYTES => {
                context.metrics.reports_received += 1;
                context.scheduler_events.push(Event::PeerMessage {
                    from: HostId(host as u32),
                    bytes: bytes.to_vec(),
                });
            }
            _ => context.metrics.foreign_datagrams += 1,
        }
    }
}
