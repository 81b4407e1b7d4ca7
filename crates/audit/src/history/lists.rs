//! The endpoint lists that hosts receive: what each update reports of which node.

use super::{EndpointReport, ListedNode};
use gullsail_protocol::{EndpointListUpdate, ListedEndpoint, ListedState};

/// The endpoint list that a connection carries.
pub(super) struct List {
    host: String,
    known: Vec<ListedEndpoint>,
}

/// A report on one node.
pub(super) struct NodeReport {
    pub(super) listed: ListedNode,
    pub(super) report: EndpointReport,
}

impl List {
    /// Of this host, with nothing on it yet.
    pub(super) fn new(host: String) -> List {
        List {
            host,
            known: Vec::new(),
        }
    }

    /// What an update reports. A node that a whole list does not name is gone.
    pub(super) fn update(
        &mut self,
        update: &EndpointListUpdate,
        at: i64,
        line: usize,
    ) -> Vec<NodeReport> {
        let mut reports = Vec::new();
        if update.whole {
            let is_named = |known: &ListedEndpoint| {
                update.entries.iter().any(|entry| entry.name == known.name)
            };
            for known in self.known.iter().filter(|known| !is_named(known)) {
                let gone = ListedEndpoint {
                    state: ListedState::Gone as i32,
                    ..known.clone()
                };
                reports.push(self.report(&gone, at, line));
            }
        }
        for entry in &update.entries {
            reports.push(self.report(entry, at, line));
            self.known.retain(|known| known.name != entry.name);
            self.known.push(entry.clone());
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
