//! Budgets for traffic between zones: `crossing from="east" to="west" limit="20MiB/s" burst="256MiB"` limits the traffic
//! from one zone to another, `crossing plan="base" ...` all traffic between zones for the volumes of a plan.

use crate::entities::{NamedCrossZoneBudget, Place, number};
use crate::reader::{Names, Reader, entries};
use gullsail_scheduler_api::{BudgetScope, HostId, Limit, PlanId, VolumeId, ZoneId, demand_report};
use kdl::{KdlDocument, KdlNode};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Reads a `crossing` entry. `None`: what it applies to could not be read.
pub(crate) fn read(
    reader: &mut Reader,
    entry: &KdlNode,
    zones: &Names,
    plans: &Names,
    host_places: &[Place],
    everyone: &Arc<[HostId]>,
    max_bytes: f64,
) -> Option<NamedCrossZoneBudget> {
    reader.only(
        entry,
        0,
        &["from", "to", "plan", "limit", "burst", "hard"],
        &[],
    );
    let before = reader.reported();
    let budget_scope = scope(reader, entry, zones, plans)?;
    let rate = reader.bytes_per_second(entry, "limit");
    let burst = reader.bytes(entry, "burst", 0) as f64;
    if entry.entry("burst").is_none() {
        reader.report(
            "missing",
            "`crossing` needs `burst`".into(),
            entry.name().span(),
            None,
        );
    }
    let hard = reader.flag(entry, "hard");
    let name = name(budget_scope, zones, plans);
    let hosts = hosts(budget_scope, host_places, everyone);
    let min_burst = 2.0 * max_bytes * hosts.len() as f64;
    if reader.reported() == before && burst < min_burst {
        let message = format!(
            "a burst of {burst} bytes is too small for the {} hosts that share it",
            hosts.len()
        );
        let help = format!(
            "each part must hold two of the largest bodies ({max_bytes} bytes): {min_burst} or more"
        );
        reader.report("burst-too-small", message, entry.span(), Some(help));
    }
    let id = demand_report::message_volume_id(VolumeId(number(&format!("crossing/{name}"))));
    Some(NamedCrossZoneBudget {
        name,
        id,
        scope: budget_scope,
        limit: Limit { rate, burst },
        hard,
        hosts,
    })
}

/// Reports two budgets for the same scope, and budgets of plans that can never be reached.
pub(crate) fn check_together(
    reader: &mut Reader,
    document: &KdlDocument,
    all: &[NamedCrossZoneBudget],
) {
    let nodes: Vec<_> = entries(document, "crossing").collect();
    if nodes.len() != all.len() {
        return;
    }
    let mut first: BTreeMap<&str, usize> = BTreeMap::new();
    for (c, entry) in all.iter().zip(&nodes) {
        if let Some(place) = first.insert(&c.name, entry.span().offset()) {
            reader.twice(
                format!("a second budget for {}", c.name),
                entry.span(),
                place,
            );
        }
    }
    // A plan's budget has no effect if it exceeds the budgets of all pairs of zones together.
    let pairs = all
        .iter()
        .filter(|c| matches!(c.scope, BudgetScope::ZonePair(..)));
    let sum: f64 = pairs.clone().map(|c| c.limit.rate).sum();
    for (c, entry) in all
        .iter()
        .zip(&nodes)
        .filter(|(c, _)| matches!(c.scope, BudgetScope::Plan(_)))
    {
        if pairs.clone().next().is_some() && c.limit.rate > sum {
            let message = format!("{} may cross more than all pairs of zones together", c.name);
            reader.warn("over-limit", message, entry.span(), None);
        }
    }
}

/// What counts against the budget: the traffic of a plan, or between two zones.
fn scope(
    reader: &mut Reader,
    entry: &KdlNode,
    zones: &Names,
    plans: &Names,
) -> Option<BudgetScope> {
    let scope = if entry.entry("plan").is_some() {
        for key in ["from", "to"] {
            if let Some(e) = entry.entry(key) {
                let help = Some("a budget applies either to a pair of zones or to a plan".into());
                reader.report(
                    "contradiction",
                    format!("`{key}` does not go with `plan`"),
                    e.span(),
                    help,
                );
            }
        }
        BudgetScope::Plan(PlanId(reader.refer_at(entry, "plan", "plan", plans)?))
    } else {
        let (from, to) = (
            reader.refer_at(entry, "from", "zone", zones),
            reader.refer_at(entry, "to", "zone", zones),
        );
        let (from, to) = (ZoneId(from?), ZoneId(to?));
        if from == to {
            reader.report(
                "contradiction",
                "nothing crosses from a zone to itself".into(),
                entry.span(),
                None,
            );
        }
        BudgetScope::ZonePair(from, to)
    };
    Some(scope)
}

fn name(scope: BudgetScope, zones: &Names, plans: &Names) -> String {
    match scope {
        BudgetScope::Plan(plan) => format!("plan {}", plans.list()[plan.0]),
        BudgetScope::ZonePair(from, to) => {
            format!("{} to {}", zones.list()[from.0], zones.list()[to.0])
        }
    }
}

/// The hosts that share a budget: those in either zone of a pair, or all hosts for the budget of a plan.
fn hosts(scope: BudgetScope, host_places: &[Place], everyone: &Arc<[HostId]>) -> Arc<[HostId]> {
    let BudgetScope::ZonePair(from, to) = scope else {
        return everyone.clone();
    };
    let is_near = |place: &Place| place.zone == from || place.zone == to;
    let near = host_places
        .iter()
        .enumerate()
        .filter(|(_, place)| is_near(place));
    near.map(|(number, _)| HostId(number as u32)).collect()
}
