//! Turns updates of the endpoint lists that hosts receive into reports on single nodes.

use super::{EndpointReport, ListedNode};
use gullsail_protocol::{EndpointListUpdate, ListedEndpoint, ListedState};

/// The endpoint list of a host, as received so far on one connection.
pub(super) struct List {
    host: String,
    /// The last received entry of each node.
    entries: Vec<ListedEndpoint>,
}

/// A report on one node in the list of one host.
pub(super) struct NodeReport {
    pub(super) listed: ListedNode,
    pub(super) report: EndpointReport,
}

impl List {
    /// An empty list of the named host.
    pub(super) fn new(host: String) -> List {
        List {
            host,
            entries: Vec::new(),
        }
    }

    /// Applies an update and returns its reports. A node that a complete list does not name is gone.
    pub(super) fn update(
        &mut self,
        update: &EndpointListUpdate,
        at: i64,
        line: usize,
    ) -> Vec<NodeReport> {
        let mut reports = Vec::new();
        if update.whole {
            let is_named = |listed: &ListedEndpoint| {
                update.entries.iter().any(|entry| entry.name == listed.name)
            };
            for listed in self.entries.iter().filter(|listed| !is_named(listed)) {
                let gone = ListedEndpoint {
                    state: ListedState::Gone as i32,
                    ..listed.clone()
                };
                reports.push(self.report(&gone, at, line));
            }
        }
        for entry in &update.entries {
            reports.push(self.report(entry, at, line));
            self.entries.retain(|listed| listed.name != entry.name);
            self.entries.push(entry.clone());
        }
        reports
    }

    fn report(&self, entry: &ListedEndpoint, at: i64, line: usize) -> NodeReport {
        let state = ListedState::try_from(entry.state).unwrap_or(ListedState::Draining);
        NodeReport {
            listed: ListedNode {
                host: self.host.clone(),
                node: entry.name.clone(),
            },
            report: EndpointReport {
                at,
                line,
                state,
                incarnation: entry.incarnation,
            },
        }
    }
}
