//! Pages of the endpoint list: which versions are applied, and how entries are parsed.

use super::super::Core;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::super::node_connections::node::ListedNode;
use super::state::{Discovery, DiscoveryResponse};
use crate::settings_document::{EndpointEntry, Page, PageItem};
use gullsail_http::{Message, Start};
use gullsail_scheduler_api::{
    Endpoint, EndpointState, Event, Instant, NodeId, ShardId, Span, UpdateKind,
};
use gullsail_scheduler_settings::hash;
use tracing::{info, warn};

/// An older version than the newest one is applied only if nothing newer is received for this long: as long as
/// discovery may take to report a change.
const OLDER_LIST_TIMEOUT: Span = Span::from_micros(6_000_000);

/// Why a response of discovery is not applied.
#[derive(Debug, thiserror::Error)]
pub(super) enum PageError {
    #[error("unexpected response, expected status 200: {0:?}")]
    Status(Start),
    #[error("malformed endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("changes received, expected the complete list")]
    DeltaForSnapshot,
    #[error("older version {version} received, expected {newest:?} or newer")]
    OlderVersion { version: u64, newest: Option<u64> },
}

impl Core {
    pub(in super::super) fn discovery_received(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let response = match self.discovery.receive(conn, bytes) {
            Ok(None) => return,
            Ok(Some(response)) => response,
            Err(fault) => {
                return self
                    .discovery
                    .connection_lost(conn, &fault.to_string(), &mut self.context);
            }
        };
        let DiscoveryResponse { message, reusable } = response;
        match self.handle_list(conn, &message) {
            Ok(()) if reusable => self.discovery.poll(conn, &mut self.context),
            Ok(()) => self.discovery.connection_lost(
                conn,
                "connection closed by discovery",
                &mut self.context,
            ),
            Err(error) => {
                self.discovery
                    .connection_lost(conn, &error.to_string(), &mut self.context);
            }
        }
    }

    fn handle_list(&mut self, conn: ConnectionId, message: &Message) -> Result<(), PageError> {
        if message.start != (Start::Response { status: 200 }) {
            return Err(PageError::Status(message.start.clone()));
        }
        let page: Page = serde_json::from_slice(&message.body)?;
        self.handle_page(conn, &page)
    }

    /// Applies a page; of its entries those that can be parsed.
    fn handle_page(&mut self, conn: ConnectionId, page: &Page) -> Result<(), PageError> {
        self.discovery.check_version(conn, page, self.context.now)?;
        let nodes = self.parse_entries(page);
        if page.whole {
            self.context.metrics.discovery_snapshots += 1;
        }
        self.context.metrics.discovery_entries += nodes.len() as u64;
        self.discovery.follow(conn, page.version, &mut self.context);
        if !self.ready {
            info!(nodes = nodes.len(), "endpoint list received");
        }
        self.ready = true;
        if page.whole || !nodes.is_empty() {
            let update_kind = if page.whole {
                UpdateKind::Snapshot
            } else {
                UpdateKind::Delta
            };
            self.apply_list(update_kind, &nodes);
        }
        self.nodes.rule_out_old_restarts(&mut self.context);
        Ok(())
    }

    /// Applies the endpoints that this host knew when it last ran, perhaps long ago.
    pub(in super::super) fn restore_endpoints(&mut self, page: &Page) {
        let nodes = self.parse_entries(page);
        self.apply_list(UpdateKind::StaleSnapshot, &nodes);
        self.discovery.restore(page.version);
    }

    /// Parses the entries of a page. One that cannot be parsed changes nothing for its node, and in a complete list
    /// the node stays as it is: one unknown word must not hide what the other entries say, drains above all.
    fn parse_entries(&mut self, page: &Page) -> Vec<ListedNode> {
        let mut nodes = Vec::with_capacity(page.entries.len());
        for item in &page.entries {
            let (name, parsed) = match item {
                PageItem::Node(entry) => (Some(entry.host.as_str()), self.parse_entry(entry)),
                PageItem::Other(value) => (value.get("host").and_then(|host| host.as_str()), None),
            };
            if let Some(node) = parsed {
                nodes.push(node);
                continue;
            }
            self.count_skipped_entry(name);
            let known = name.and_then(|name| self.nodes.listed(NodeId(hash(name))));
            if let (true, Some(known)) = (page.whole, known) {
                nodes.push(known.clone());
            }
        }
        nodes
    }

    /// Only the first one is logged: a list of another form would repeat the line for each of its nodes.
    fn count_skipped_entry(&mut self, node: Option<&str>) {
        if self.context.metrics.discovery_entries_skipped == 0 {
            warn!(
                node,
                "malformed endpoint entry skipped, its node stays as it was"
            );
        }
        self.context.metrics.discovery_entries_skipped += 1;
    }

    fn parse_entry(&self, entry: &EndpointEntry) -> Option<ListedNode> {
        let state = match entry.health.as_str() {
            "SERVING" => EndpointState::Ready,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Gone,
            _ => return None,
        };
        let endpoint = Endpoint {
            node: NodeId(hash(&entry.host)),
            shard: ShardId(entry.block),
            zone: self.settings.names.zone(&entry.site),
            state,
            started: (entry.started_ms > 0.0).then_some(Instant::from_millis(entry.started_ms)),
            pools: Vec::new(),
        };
        Some(ListedNode {
            endpoint,
            address: entry.address.clone(),
        })
    }

    fn apply_list(&mut self, update_kind: UpdateKind, listed: &[ListedNode]) {
        if update_kind != UpdateKind::Delta {
            let is_missing =
                |node: &NodeId| listed.iter().all(|listed| listed.endpoint.node != *node);
            let missing: Vec<_> = self.nodes.known_nodes().filter(is_missing).collect();
            for node in missing {
                self.node_unlisted(node);
            }
        }
        for node in listed {
            self.node_listed(node);
        }
        let entries = listed
            .iter()
            .map(|listed| listed.endpoint.clone())
            .collect();
        self.context.scheduler_events.push(Event::EndpointList {
            update_kind,
            entries,
        });
    }
}

impl Discovery {
    fn check_version(
        &mut self,
        conn: ConnectionId,
        page: &Page,
        now: Instant,
    ) -> Result<(), PageError> {
        let expects_snapshot = self
            .connection(conn)
            .is_some_and(|connection| connection.version.is_none());
        if !page.whole && expects_snapshot {
            return Err(PageError::DeltaForSnapshot);
        }
        if self.resume_from.is_some_and(|known| page.version < known) {
            // The service has begun its versions anew: changes since a version of before mean nothing.
            self.resume_from = None;
            if !page.whole {
                return Err(PageError::OlderVersion {
                    version: page.version,
                    newest: self.newest_version,
                });
            }
        }
        let newest = self.newest_version;
        if newest.is_some_and(|newest| page.version < newest) {
            let since = *self.older_since.get_or_insert(now);
            if now - since < OLDER_LIST_TIMEOUT {
                return Err(PageError::OlderVersion {
                    version: page.version,
                    newest,
                });
            }
        }
        Ok(())
    }

    /// Follows the connection on which a page was received, and closes the other one.
    fn follow(&mut self, conn: ConnectionId, version: u64, context: &mut Context) {
        let suspect = self.suspect.take_if(|suspect| suspect.conn == conn);
        let other = match suspect {
            Some(answered) => self.current.replace(answered),
            None => self.suspect.take(),
        };
        if let Some(other) = other {
            context.outputs.push(Output::Close { conn: other.conn });
        }
        if let Some(connection) = &mut self.current {
            connection.version = Some(version);
        }
        self.failures_in_row = 0;
        self.last_response = Some(context.now);
        self.version_known(version);
    }
}
