//! Parses pages of the endpoint list, checks their versions and applies them.

use super::super::Core;
use super::super::context::Context;
use super::super::io::{ConnectionId, Output};
use super::super::node_connections::node::ListedNode;
use super::state::{Discovery, DiscoveryResponse};
use crate::settings_document::{EndpointEntry, Page, PageItem};
use gullsail_http::{Message, StartLine};
use gullsail_scheduler_api::{
    Endpoint, EndpointState, Event, Instant, NodeId, ShardId, Span, UpdateKind,
};
use gullsail_scheduler_settings::hash;
use tracing::{info, warn};

/// A version older than the newest one is applied only if nothing but older versions was received for this long. This
/// is the longest time that discovery takes to report a change.
const OLDER_LIST_TIMEOUT: Span = Span::from_micros(6_000_000);

/// Why a response of discovery is not applied.
#[derive(Debug, thiserror::Error)]
pub(super) enum PageError {
    #[error("unexpected response, expected status 200: {0:?}")]
    Status(StartLine),
    #[error("malformed endpoint list: {0}")]
    Json(#[from] serde_json::Error),
    #[error("changes received, expected the complete list")]
    DeltaForSnapshot,
    #[error("older version {version} received, expected {newest:?} or newer")]
    OlderVersion { version: u64, newest: Option<u64> },
    #[error("version {0} received again, expected a newer one")]
    Repeated(u64),
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
        if message.start != (StartLine::Response { status: 200 }) {
            return Err(PageError::Status(message.start.clone()));
        }
        let page: Page = serde_json::from_slice(&message.body)?;
        self.handle_page(conn, &page)
    }

    /// Applies the entries of a page that can be parsed, if the page's version may be applied.
    fn handle_page(&mut self, conn: ConnectionId, page: &Page) -> Result<(), PageError> {
        self.discovery.check_version(conn, page, self.context.now)?;
        let nodes = self.parse_entries(page);
        if page.is_complete {
            self.context.metrics.discovery_snapshots += 1;
        }
        self.context.metrics.discovery_entries += nodes.len() as u64;
        self.discovery.follow(conn, page.version, &mut self.context);
        if !self.ready {
            info!(nodes = nodes.len(), "endpoint list received");
        }
        self.ready = true;
        if page.is_complete || !nodes.is_empty() {
            let update_kind = if page.is_complete {
                UpdateKind::Snapshot
            } else {
                UpdateKind::Delta
            };
            self.apply_list(update_kind, &nodes);
        }
        self.nodes.rule_out_old_restarts(&mut self.context);
        Ok(())
    }

    /// Applies the endpoints that were stored in an earlier run of this host and may be outdated.
    pub(in super::super) fn restore_endpoints(&mut self, page: &Page) {
        let nodes = self.parse_entries(page);
        self.apply_list(UpdateKind::StaleSnapshot, &nodes);
        self.discovery.restore(page.version);
    }

    /// Parses the entries of a page. An entry that cannot be parsed changes nothing for its node; in a complete list
    /// the node's earlier entry takes its place. So one invalid entry does not prevent the others from being applied,
    /// of which drains matter most.
    fn parse_entries(&mut self, page: &Page) -> Vec<ListedNode> {
        let mut nodes = Vec::with_capacity(page.entries.len());
        for item in &page.entries {
            let (name, parsed) = match item {
                PageItem::Node(entry) => (Some(entry.name.as_str()), self.parse_entry(entry)),
                PageItem::Other(value) => (value.get("host").and_then(|host| host.as_str()), None),
            };
            if let Some(node) = parsed {
                nodes.push(node);
                continue;
            }
            self.count_skipped_entry(name);
            let earlier = name.and_then(|name| self.nodes.listed(NodeId(hash(name))));
            if let (true, Some(earlier)) = (page.is_complete, earlier) {
                nodes.push(earlier.clone());
            }
        }
        nodes
    }

    /// Counts an entry that could not be parsed. Only the first one since the start is logged: a list in another format
    /// would cause a log line for each node.
    fn count_skipped_entry(&mut self, node: Option<&str>) {
        if self.context.metrics.discovery_entries_skipped == 0 {
            warn!(
                node,
                "malformed endpoint entry skipped, its node stays as it was"
            );
        }
        self.context.metrics.discovery_entries_skipped += 1;
    }

    /// Returns `None` if the state of the node is unknown.
    fn parse_entry(&self, entry: &EndpointEntry) -> Option<ListedNode> {
        let state = match entry.state.as_str() {
            "SERVING" => EndpointState::Ready,
            "DRAINING" => EndpointState::Draining,
            "DELETED" => EndpointState::Gone,
            _ => return None,
        };
        let endpoint = Endpoint {
            node: NodeId(hash(&entry.name)),
            shard: ShardId(entry.shard),
            zone: self.settings.names.zone(&entry.zone),
            state,
            started: (entry.started_ms > 0.0).then_some(Instant::from_millis(entry.started_ms)),
            pools: Vec::new(),
        };
        Some(ListedNode {
            endpoint,
            address: entry.address.clone(),
        })
    }

    /// Updates the nodes and passes the list to the scheduler. Nodes that a complete list does not contain are gone.
    fn apply_list(&mut self, update_kind: UpdateKind, listed: &[ListedNode]) {
        if update_kind != UpdateKind::Delta {
            let is_missing =
                |node: &NodeId| listed.iter().all(|listed| listed.endpoint.node != *node);
            let missing: Vec<_> = self.nodes.node_ids().filter(is_missing).collect();
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
    /// Returns an error if the page must not be applied: it is a second copy of an earlier response, holds only changes
    /// although the complete list is needed, or its version is older than the newest one.
    fn check_version(
        &mut self,
        conn: ConnectionId,
        page: &Page,
        now: Instant,
    ) -> Result<(), PageError> {
        let connection = self.connection(conn);
        if connection
            .as_ref()
            .is_some_and(|connection| connection.is_repeated(page.version, now))
        {
            // The poll is still open, so a next one on this connection would wait behind it.
            return Err(PageError::Repeated(page.version));
        }
        let expects_snapshot = connection.is_some_and(|connection| connection.version.is_none());
        if !page.is_complete && expects_snapshot {
            return Err(PageError::DeltaForSnapshot);
        }
        if self
            .resume_from
            .is_some_and(|version| page.version < version)
        {
            // Discovery has restarted its version numbers, so the next connection must not ask for the changes since an
            // earlier version.
            self.resume_from = None;
            if !page.is_complete {
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

    /// Makes the connection on which a page was received the current one, closes the other one, and records the
    /// version.
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
        self.version_applied(version);
    }
}
