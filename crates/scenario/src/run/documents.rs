//! The configuration documents of a scenario: sets the proxies' addresses in them, applies the changes of the script,
//! and reloads them at hosts as operators do.

use super::ScenarioRun;
use super::faults::ReloadDocument;
use crate::script::Expect;
use gullsail_host::control::{ControlReply, ControlRequest, send_request};
use gullsail_protocol::record::What;
use gullsail_simulator::client::Change;
use kdl::{KdlDocument, KdlEntry, KdlNode};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// How long a host may take to reload. The time is long enough for a busy machine.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(20);

/// The result of a reload; `got` is `None` for an unexpected reply or an error.
struct ReloadResult {
    got: Option<Expect>,
    text: String,
}

/// Returns the document for the processes: with the recording proxies' addresses, and without the script. The
/// processes bind free ports. `reloads`: the document gets revision 1.
pub(super) fn with_proxy_addresses(
    text: &str,
    addresses: &BTreeMap<String, String>,
    reloads: bool,
) -> String {
    let Ok(mut document) = KdlDocument::parse_v2(text) else {
        return text.into();
    };
    document
        .nodes_mut()
        .iter_mut()
        .for_each(|node| set_address(node, addresses));
    // The scenario numbers the revisions, so a revision in the document is dropped.
    document
        .nodes_mut()
        .retain(|node| !["day", "revision"].contains(&node.name().value()));
    if reloads {
        document.nodes_mut().push(revision_entry(1, None));
    }
    document.to_string()
}

/// Sets the proxy's address and a free port to listen on, if the entry is that of a process.
fn set_address(node: &mut KdlNode, addresses: &BTreeMap<String, String>) {
    let name = match node.name().value() {
        "host" | "node" => node.get(0).and_then(|v| v.as_string()).map(str::to_string),
        "list" => Some("list".to_string()),
        _ => None,
    };
    if let Some(address) = name.and_then(|name| addresses.get(&name)) {
        for (key, value) in [("address", address.as_str()), ("listen", "127.0.0.1:0")] {
            node.entries_mut()
                .retain(|e| e.name().is_none_or(|k| k.value() != key));
            node.push(KdlEntry::new_prop(key, value));
        }
    }
}

/// Returns a `revision` entry; `after` names the file of the revision before it.
pub(super) fn revision_entry(number: u64, after: Option<&str>) -> KdlNode {
    let mut node = KdlNode::new("revision");
    node.push(KdlEntry::new(i128::from(number)));
    if let Some(after) = after {
        node.push(KdlEntry::new_prop("after", after));
    }
    node
}

/// Returns the document with `entries` added, or in place of those of the same kind and name, and with this revision
/// number.
pub(super) fn with_changes(
    text: &str,
    entries: &[String],
    number: u64,
    addresses: &BTreeMap<String, String>,
) -> String {
    let Ok(mut document) = KdlDocument::parse_v2(text) else {
        return text.into();
    };
    for entry in entries
        .iter()
        .filter_map(|e| KdlDocument::parse_v2(e).ok())
        .flat_map(|d| d.nodes().to_vec())
    {
        let same = |node: &KdlNode| {
            node.name().value() == entry.name().value() && node.get(0) == entry.get(0)
        };
        match document.nodes_mut().iter_mut().find(|node| same(node)) {
            Some(node) => {
                // The process keeps the address that it has in the document, even if the script's entry states another.
                let kept: Vec<_> = ["address", "listen"]
                    .iter()
                    .filter_map(|key| node.entry(*key).cloned())
                    .collect();
                *node = entry;
                kept.into_iter().for_each(|e| node.push(e));
            }
            None => {
                let mut entry = entry;
                set_address(&mut entry, addresses);
                document.nodes_mut().push(entry);
            }
        }
    }
    with_revision(
        &document.to_string(),
        number,
        Some(&format!("revision-{}.kdl", number - 1)),
    )
}

/// Returns the document with this revision number; `after` names the file of the revision before it.
pub(super) fn with_revision(text: &str, number: u64, after: Option<&str>) -> String {
    let Ok(mut document) = KdlDocument::parse_v2(text) else {
        return text.into();
    };
    document
        .nodes_mut()
        .retain(|node| node.name().value() != "revision");
    document.nodes_mut().push(revision_entry(number, after));
    document.to_string()
}

impl ScenarioRun<'_> {
    /// Records that a host serves by a revision (`serves`), or that it is about to be given one.
    pub(super) fn record_document(
        &self,
        host: &str,
        revision: u64,
        text: Option<String>,
        serves: bool,
    ) {
        self.wire.record(
            host,
            What::Document {
                revision,
                text,
                serves,
            },
        );
    }

    /// Records the revision in a host's file, with which the host starts.
    pub(super) fn record_start(&self, host: &str) {
        let file = self.stage.dir.join(format!("{host}.kdl"));
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let document = KdlDocument::parse_v2(&text).unwrap_or_default();
        let number = document
            .get("revision")
            .and_then(|node| node.get(0))
            .and_then(|v| v.as_integer());
        if let Some(revision) = number.and_then(|node| u64::try_from(node).ok()) {
            self.record_document(host, revision, None, true);
        }
    }

    /// Reloads a host as an operator does: writes the new document to the host's file, then sends the command. If the
    /// reload is not accepted, the old document is restored.
    pub(super) async fn reload(
        &mut self,
        host: &str,
        next: &ReloadDocument,
        clients: &mpsc::Sender<Change>,
    ) {
        let file = self.stage.dir.join(format!("{host}.kdl"));
        let before = std::fs::read_to_string(&file).unwrap_or_default();
        if let Err(e) = std::fs::write(&file, &next.text) {
            return self.failures.push(format!("{}: {e}", file.display()));
        }
        if self.processes.get(host).is_none_or(|p| p.process.is_none()) {
            self.note(format!(
                "{host} is down: it will start with revision {}",
                next.revision
            ));
            if next.expect != Expect::Taken {
                self.restore_document(&file, &before);
            }
            return;
        }
        if next.expect == Expect::Taken {
            // Without a reference to the revision before it: the audit reads each document alone.
            let standalone = with_revision(&next.text, next.revision, None);
            self.record_document(host, next.revision, Some(standalone), false);
        }
        let request = ControlRequest::Reload {
            insist: next.insist,
        };
        let reply = send_request(&self.control_socket(host), request, RELOAD_TIMEOUT).await;
        let ReloadResult { got, text } = self.reload_result(host, next, reply, clients).await;
        self.note(format!("{host}, revision {}: {text}", next.revision));
        if got != Some(next.expect) {
            self.failures.push(format!(
                "{host}, revision {}: {:?} expected, got {got:?}: {text}",
                next.revision, next.expect
            ));
        }
        if got != Some(Expect::Taken) {
            self.restore_document(&file, &before);
        }
    }

    /// Restores a host's document after a reload that was not accepted.
    fn restore_document(&mut self, file: &Path, before: &str) {
        if let Err(error) = std::fs::write(file, before) {
            self.failures.push(format!("{}: {error}", file.display()));
        }
    }

    /// Evaluates the reply to a reload. Clients switch to the configuration as soon as one host has accepted it.
    async fn reload_result(
        &mut self,
        host: &str,
        next: &ReloadDocument,
        reply: std::io::Result<ControlReply>,
        clients: &mpsc::Sender<Change>,
    ) -> ReloadResult {
        let result = |got, text| ReloadResult { got, text };
        match reply {
            Ok(ControlReply::Taken { revision, changes }) => {
                self.record_document(host, revision, None, true);
                let text = with_revision(&next.text, revision, None);
                if let Ok(deployment) = gullsail_configuration::parse("day", &text) {
                    // The error is ignored: it means that the clients have finished.
                    _ = clients.send(Change::Document(Arc::new(deployment))).await;
                }
                let text = format!("{} change(s) accepted", changes.len());
                result(Some(Expect::Taken), text)
            }
            Ok(ControlReply::TurnedDown { why }) => {
                let text = format!("refused: {}", why.join("; "));
                result(Some(Expect::TurnedDown), text)
            }
            Ok(ControlReply::Broken { problems }) => {
                let first = problems.first();
                let first = first.map(|problem| {
                    format!("{}:{} {}", problem.line, problem.column, problem.message)
                });
                let text = format!("has errors: {}", first.unwrap_or_default());
                result(Some(Expect::Broken), text)
            }
            Ok(other) => result(None, format!("{other:?}")),
            Err(error) => result(None, error.to_string()),
        }
    }
}
