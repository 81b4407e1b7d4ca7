//! Documents that come after each other: `revision 7 after="fleet-6.kdl"` names the one before, so that a
//! host which starts with a document knows what others may still hold to. What the documents of such a line
//! promise of limits comes with the last of them.

use crate::builder;
use crate::deployment::Deployment;
use crate::entities::{NamedCrossZoneBudget, NamedVolume};
use crate::problem::{Problem, Problems};
use crate::reader::Reader;
use crate::revision_entry::entry;
use crate::source_map::{Loader, beside};
use gullsail_config_transition::{MAX_HOSTS, RevisionLimits, SharedLimit};

/// Documents before documents: the line is as long as hosts are behind.
const MOST: usize = 16;

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
    // Budgets between zones are limits like others.
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

pub(crate) fn load(
    loader: &dyn Loader,
    name: &str,
    chain: &[String],
) -> Result<(Deployment, Vec<Problem>), Problems> {
    let (document, mut reader) = Reader::open(loader, name);
    let mut built = builder::build(&document, &mut reader);
    let mut line = Vec::new();
    if let (Some(n), Some(after), true) = (
        entry(&document),
        &built.place.after,
        reader.noted_errors() == 0,
    ) {
        let at = n.entry("after").map_or(n.span(), |e| e.span());
        match before(loader, name, after, chain, &built) {
            Ok(earlier) => line = earlier,
            Err((message, help)) => reader.report("after", message, at, help),
        }
    }
    if let Some(n) = entry(&document).filter(|_| built.hosts.len() > MAX_HOSTS as usize) {
        let message = format!("documents of more than {MAX_HOSTS} hosts can't be numbered yet");
        reader.report("too-much", message, n.span(), None);
    }
    line.push(revision_limits(&built));
    built.limit_history = line;
    reader.close(built)
}

type Wrong = (String, Option<String>);

fn before(
    loader: &dyn Loader,
    name: &str,
    after: &str,
    chain: &[String],
    deployment: &Deployment,
) -> Result<Vec<RevisionLimits>, Wrong> {
    if chain.len() + 1 >= MOST {
        return Err((format!("more than {MOST} documents after each other"), None));
    }
    let Some(file) = beside(name, after) else {
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
    // Where hosts settle among themselves who belongs, others may come at the end.
    let joins = deployment.fleet.is_some() && names(deployment).starts_with(&names(&earlier));
    if names(&earlier) != names(deployment) && !joins {
        let help = "hosts are known to each other by their places: change them with all of them stopped; \
                    with a `fleet` new ones can stand at the end";
        return Err((
            format!("{file} has other hosts, or in another order"),
            Some(help.into()),
        ));
    }
    Ok(earlier.limit_history)
}
