//! Sequences of revisions: `revision 7 after="fleet-6.kdl"` names the document before. Hosts move to a new revision at
//! different times, so a host that starts must also respect the limits of earlier revisions. Loading a document
//! therefore loads the documents before it and collects the limits of all of them.

use crate::builder;
use crate::deployment::Deployment;
use crate::entities::{NamedCrossZoneBudget, NamedVolume};
use crate::problem::{Problem, Problems};
use crate::reader::Reader;
use crate::revision_entry::entry;
use crate::source_map::{Loader, resolve_path};
use gullsail_config_transition::{MAX_HOSTS, RevisionLimits, SharedLimit};

/// The maximum number of revisions in a sequence. It only has to reach back to the oldest revision that a host may
/// still use.
const MAX_REVISIONS: usize = 16;

/// The limits that hosts share in this revision, of volumes and of cross-zone budgets.
pub(crate) fn revision_limits(deployment: &Deployment) -> RevisionLimits {
    let shared = |v: &NamedVolume| SharedLimit {
        plan: v.plan,
        limit: deployment
            .plans
            .get(v.plan.0)
            .and_then(|p| p.decisions.limit),
        hosts: v.hosts.clone(),
    };
    let volumes = deployment.volumes.iter().map(|v| (v.id, shared(v)));
    // A host shares a cross-zone budget with others in the same way as the limit of a volume.
    let budget = |c: &NamedCrossZoneBudget| {
        (
            c.id,
            SharedLimit {
                plan: Default::default(),
                limit: Some(c.limit),
                hosts: c.hosts.clone(),
            },
        )
    };
    let volumes = volumes.chain(deployment.cross_zone_budgets.iter().map(budget));
    RevisionLimits {
        revision: deployment.place.revision,
        volumes: volumes.collect(),
    }
}

/// Loads a document and those before it. `chain` names the later documents through which this one was reached.
pub(crate) fn load(
    loader: &dyn Loader,
    name: &str,
    chain: &[String],
) -> Result<(Deployment, Vec<Problem>), Problems> {
    let (document, mut reader) = Reader::open(loader, name);
    let mut built = builder::build(&document, &mut reader);
    let mut limit_history = Vec::new();
    if let (Some(n), Some(after), true) = (
        entry(&document),
        &built.place.after,
        reader.error_count() == 0,
    ) {
        let at = n.entry("after").map_or(n.span(), |e| e.span());
        match earlier_limits(loader, name, after, chain, &built) {
            Ok(earlier) => limit_history = earlier,
            Err((message, help)) => reader.report("after", message, at, help),
        }
    }
    if let Some(n) = entry(&document).filter(|_| built.hosts.len() > MAX_HOSTS as usize) {
        let message =
            format!("documents with more than {MAX_HOSTS} hosts can't have a revision yet");
        reader.report("too-much", message, n.span(), None);
    }
    limit_history.push(revision_limits(&built));
    built.limit_history = limit_history;
    reader.close(built)
}

/// A message and a help text.
type PredecessorProblem = (String, Option<String>);

/// Loads the document before this one, checks that it can precede this one, and returns its limit history.
fn earlier_limits(
    loader: &dyn Loader,
    name: &str,
    after: &str,
    chain: &[String],
    deployment: &Deployment,
) -> Result<Vec<RevisionLimits>, PredecessorProblem> {
    if chain.len() + 1 >= MAX_REVISIONS {
        return Err((
            format!("more than {MAX_REVISIONS} documents in a sequence of revisions"),
            None,
        ));
    }
    let Some(file) = resolve_path(name, after) else {
        return Err((format!("\"{after}\" leads out of the configuration"), None));
    };
    let chain = [chain, &[name.to_string()]].concat();
    if chain.contains(&file) {
        return Err((
            format!(
                "documents come after each other in a circle: {}",
                chain.join(" -> ")
            ),
            None,
        ));
    }
    let (earlier, _) = load(loader, &file, &chain).map_err(|e| {
        let first = e
            .problems
            .first()
            .map(|p| format!("{}:{}:{}: {}", p.file, p.line, p.column, p.message));
        (format!("the document before, {file}, is not sound"), first)
    })?;
    if earlier.place.revision >= deployment.place.revision {
        let (its, ours) = (earlier.place.revision.0, deployment.place.revision.0);
        return Err((
            format!("{file} has revision {its}, which is not before {ours}"),
            None,
        ));
    }
    let names = |deployment: &Deployment| {
        deployment
            .hosts
            .iter()
            .map(|h| h.name.clone())
            .collect::<Vec<_>>()
    };
    // A fleet agrees on its members while it runs, so new hosts may be added at the end.
    let only_adds_hosts =
        deployment.fleet.is_some() && names(deployment).starts_with(&names(&earlier));
    if names(&earlier) != names(deployment) && !only_adds_hosts {
        let help = "hosts identify each other by their position in the document: change it only while all hosts are stopped; \
                    with a `fleet`, new hosts can be added at the end";
        return Err((
            format!("{file} has other hosts, or in another order"),
            Some(help.into()),
        ));
    }
    Ok(earlier.limit_history)
}
