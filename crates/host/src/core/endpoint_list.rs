//! The connection to the endpoint list, and its updates on their way to the scheduler.

use super::Core;
use super::connection_table::{FIRST_FRAME_CONNECT_TIMES, PeerKind};
use super::input_output::LinkId;
use super::reconnect::ConnectionState;
use gullsail_protocol::{EndpointListQuery, EndpointListUpdate, Frame, Hello, Role};
use gullsail_scheduler_api::{Event, UpdateKind};
use tracing::{debug, warn};

impl Core {
    /// Queries the list, once its connection is up; opens the connection where there is none.
    pub(super) fn connect_endpoint_list(&mut self) {
        if let Some(link) = self.endpoint_list.up() {
            if !self.poll_endpoints {
                self.poll_endpoints = true;
                self.send(link, Frame::from(EndpointListQuery { watch: true }));
                self.expect_response(link, FIRST_FRAME_CONNECT_TIMES);
            }
        } else if self.endpoint_list.link().is_none() {
            let address = self.deployment.list.address.clone();
            let link = self.connect(PeerKind::EndpointList, address);
            self.endpoint_list.state = ConnectionState::Connecting(link);
        }
    }

    pub(super) fn endpoint_list_hello(&mut self, id: LinkId, hello: &Hello) {
        if hello.role != Role::List as i32 {
            return self.close_link(id, "no node list answers at its address");
        }
        self.endpoint_list.is_up(id);
        self.response_received(id);
        self.connect_endpoint_list();
    }

    pub(super) fn endpoint_list_lost(&mut self, why: &str) {
        warn!(why, "node list out of reach");
        self.counts.list_lost += 1;
        self.events.push(Event::EndpointListLost);
    }

    pub(super) fn endpoint_list_update(&mut self, update: EndpointListUpdate) {
        self.poll_endpoints = false;
        debug!(
            version = update.version,
            whole = update.whole,
            entries = update.entries.len(),
            "node list"
        );
        let entries = self
            .nodes
            .listed(update.whole, update.entries, &self.deployment, self.now);
        for (shard, names) in self.nodes.duplicate_shards() {
            warn!(
                shard = shard.0,
                nodes = names.join(" "),
                "the list names two ready nodes with one cell"
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
