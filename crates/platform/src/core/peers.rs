//! Datagrams between the hosts of the fleet.

use super::context::Context;
use super::io::Output;
use gullsail_scheduler_api::{Event, HostId};
use std::net::SocketAddr;

/// Most bytes of a peer message. A longer datagram is not from a host of this version; it is counted as foreign.
const MAX_PEER_MESSAGE_BYTES: usize = 256;

/// The hosts of the fleet, this one included, by their numbers.
pub(super) struct Peers {
    addresses: Vec<SocketAddr>,
}

impl Peers {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Peers {
        Peers { addresses }
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Sends a message of the scheduler. A host without an address is skipped: the scheduler repeats its reports.
    pub(super) fn send(&self, to: HostId, bytes: Vec<u8>, context: &mut Context) {
        if let Some(address) = self.addresses.get(to.0 as usize) {
            context.metrics.reports_sent += 1;
            context.outputs.push(Output::Datagram {
                to: *address,
                bytes: bytes.into(),
            });
        }
    }

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
