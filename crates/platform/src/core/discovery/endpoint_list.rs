//! Pages of the endpoint list: which version counts, and what its entries say.

use super::super::Core;
use super::super::io::{ConnectionId, Output};
use super::super::node_connections::ListedNode;
use super::OLDER_LIST_TIMEOUT;
use crate::settings_document::{EndpointEntry, Page, PageItem};
use gullsail_scheduler_api::{
    Endpoint, EndpointState, Event, Instant, NodeId, ShardId, UpdateKind,
};
use gullsail_scheduler_settings::hash;
use tracing::{info, warn};

/// Why an answer of discovery is no page that counts.
#[derive(Debug, thiserror::Error)]
pub(super) enum PageError {
    #[error("it does not answer the question")]
    Status,
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("changes came where the whole list was asked for")]
    DeltaForSnapshot,
    #[error("version {version} came after {newest:?}")]
    OlderVersion { version: u64, newest: Option<u64> },
}

impl Core {
    /// Takes a page; of its entries those that can be parsed.
    pub(super) fn handle_page(&mut self, conn: ConnectionId, page: &Page) -> Result<(), PageError> {
        self.check_version(conn, page)?;
        let nodes = self.parse_entries(page);
        if page.whole {
            self.metrics.discovery_snapshots += 1;
        }
        self.metrics.discovery_entries += nodes.len() as u64;
        self.follow(conn, page.version);
        if !self.ready {
            info!(nodes = nodes.len(), "ready");
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
        self.rule_out_old_restarts();
        Ok(())
    }

    fn check_version(&mut self, conn: ConnectionId, page: &Page) -> Result<(), PageError> {
        let asked_whole = self
            .discovery
            .connection(conn)
            .is_some_and(|c| c.version.is_none());
        if !page.whole && asked_whole {
            return Err(PageError::DeltaForSnapshot);
        }
        let newest = self.discovery.newest_version;
        if newest.is_some_and(|newest| page.version < newest) {
            // Nodes that it does not hold yet would be taken for gone.
            let since = *self.discovery.older_since.get_or_insert(self.now);
            if self.now - since < OLDER_LIST_TIMEOUT {
                return Err(PageError::OlderVersion {
                    version: page.version,
                    newest,
                });
            }
        }
        Ok(())
    }

    /// Whichever connection this is, it is followed from now on, and the other one is closed.
    fn follow(&mut self, conn: ConnectionId, version: u64) {
        let suspect = self.discovery.suspect.take_if(|c| c.conn == conn);
        let other = match suspect {
            Some(answered) => self.discovery.current.replace(answered),
            None => self.discovery.suspect.take(),
        };
        if let Some(other) = other {
            self.outputs.push(Output::Close { conn: other.conn });
        }
        if let Some(connection) = &mut self.discovery.current {
            connection.version = Some(version);
        }
        self.discovery.failures_in_row = 0;
        self.discovery.last_answer = Some(self.now);
        self.discovery.newest_version = Some(version);
        self.discovery.older_since = None;
    }

    /// The endpoints that this host had when it last ran, perhaps long ago.
    pub(in super::super) fn restore_endpoints(&mut self, page: &Page) {
        let nodes = self.parse_entries(page);
        self.apply_list(UpdateKind::StaleSnapshot, &nodes);
    }

    /// The entries of a page that can be parsed. One that can't be changes nothing for its node: in a whole
    /// list the node stays as it is, since one unknown word must not hide what the other entries say, drains
    /// above all.
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
            if self.metrics.discovery_entries_skipped == 0 {
                warn!(
                    node = name,
                    "an entry of the list cannot be read and is skipped"
                );
            }
            self.metrics.discovery_entries_skipped += 1;
            let known = name.and_then(|name| self.nodes.listed(NodeId(hash(name))));
            if let (true, Some(known)) = (page.whole, known) {
                nodes.push(known.clone());
            }
        }
        nodes
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
            zone: self.names.zone(&entry.site),
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
            let is_missing = |node: &NodeId| listed.iter().all(|n| n.endpoint.node != *node);
            let missing: Vec<_> = self.nodes.known_nodes().filter(is_missing).collect();
            for node in missing {
                self.node_unlisted(node);
            }
        }
        for node in listed {
            self.node_listed(node);
        }
        let entries = listed.iter().map(|n| n.endpoint.clone()).collect();
        self.events.push(Event::EndpointList {
            update_kind,
            entries,
        });
    }
}
