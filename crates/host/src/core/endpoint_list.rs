//! The connection to the endpoint list service, which reports the nodes with their addresses and states. Its updates
//! are passed on to the scheduler, which decides when this host connects to the service and queries it.

use super::Core;
use super::connection_table::{HANDSHAKE_TIMEOUT_FACTOR, RemoteKind};
use super::ids::ConnectionId;
use super::reconnect::ConnectionState;
use super::reconnect::OutboundConnection;
use gullsail_protocol::{EndpointListQuery, EndpointListUpdate, Frame, Hello, Role};
use gullsail_scheduler_api::{Event, UpdateKind};
use tracing::{debug, warn};

/// The connection to the endpoint list service.
#[derive(Debug, Default)]
pub(super) struct EndpointListState {
    pub(super) connection: OutboundConnection,
    /// A query was sent on the connection and has no reply yet.
    pub(super) query_outstanding: bool,
}

impl Core {
    /// Opens the connection to the endpoint list if there is none. If the connection is up and no query on it waits
    /// for its reply, sends a query.
    pub(super) fn connect_endpoint_list(&mut self) {
        if let Some(link) = self.endpoint_list.connection.up() {
            if !self.endpoint_list.query_outstanding {
                self.endpoint_list.query_outstanding = true;
                self.send(link, Frame::from(EndpointListQuery { watch: true }));
                self.expect_response(link, HANDSHAKE_TIMEOUT_FACTOR);
            }
        } else if self.endpoint_list.connection.link().is_none() {
            let address = self.deployment.list.address.clone();
            let link = self.connect(RemoteKind::EndpointList, address);
            self.endpoint_list.connection.state = ConnectionState::Connecting(link);
        }
    }

    pub(super) fn endpoint_list_hello(&mut self, id: ConnectionId, hello: &Hello) {
        if hello.role != Role::List as i32 {
            return self.close_connection(id, "not an endpoint list");
        }
        self.endpoint_list.connection.mark_up(id);
        self.connections.response_received(id);
        self.connect_endpoint_list();
    }

    pub(super) fn endpoint_list_lost(&mut self, reason: &str) {
        warn!(
            reason,
            "endpoint list unavailable: the last known endpoints stay in use"
        );
        self.counts.endpoint_list_losses += 1;
        self.events.push(Event::EndpointListLost);
    }

    pub(super) fn endpoint_list_update(&mut self, update: EndpointListUpdate) {
        self.endpoint_list.query_outstanding = false;
        debug!(
            version = update.version,
            snapshot = update.whole,
            endpoints = update.entries.len(),
            "endpoint list update received"
        );
        let entries =
            self.nodes
                .apply_list_update(update.whole, update.entries, &self.deployment, self.now);
        for (shard, names) in self.nodes.duplicate_shards() {
            warn!(
                shard = shard.0,
                nodes = names.join(" "),
                "two ready nodes hold one shard: reads of it may go to either"
            );
        }
        let update_kind = if update.whole {
            UpdateKind::Snapshot
        } else {
            UpdateKind::Delta
        };
        self.events.push(Event::EndpointList {
            update_kind,
            entries,
        });
        self.connect_nodes();
    }
}
