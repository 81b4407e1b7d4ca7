//! What is well-formed and still makes no sense, or probably not what was meant.

use crate::deployment::Deployment;
use crate::reader::Reader;
use kdl::KdlDocument;
use std::collections::BTreeSet;

/// The part of what machines can do that reserves may take: the rest is for pauses and restarts.
const RESERVABLE: f64 = 0.9;

/// Looks at a deployment as a whole.
pub fn check(d: &Deployment, document: &KdlDocument, r: &mut Reader) {
    let all = |kind: &'static str| document.nodes().iter().filter(move |n| n.name().value() == kind);
    let name = |n: &kdl::KdlNode| n.get(0).and_then(|v| v.as_string()).unwrap_or_default().to_string();
    // Reserves against what the machines of the nodes can do, where that is stated.
    let running: Vec<_> = d.nodes.iter().filter(|n| !n.spare).collect();
    let machines: Option<Vec<_>> = running.iter().map(|n| d.machines.get(n.machine)).collect();
    if let Some(machines) = machines.filter(|m| !m.is_empty()) {
        let can: f64 = machines.iter().map(|m| f64::from(m.cores) / m.unit.secs().max(1e-9)).sum();
        let reserved: f64 =
            d.volumes.iter().map(|v| d.plans.get(v.plan.0).map_or(0.0, |p| p.decisions.reserve)).sum();
        if let Some(last) = all("volume").next_back().filter(|_| reserved > can * RESERVABLE) {
            let message = format!("reserves sum to {reserved} units a second; the nodes can do {can:.0}");
            let help =
                format!("at most {:.0} can be promised: lower reserves, or add nodes", can * RESERVABLE);
            r.note("reserves-too-large", message, last.span(), Some(help));
        }
    }
    let zones: BTreeSet<usize> = d.nodes.iter().map(|n| n.place.zone.0).collect();
    for (place, n) in all("zone").enumerate() {
        if !zones.contains(&place) && !d.nodes.is_empty() {
            r.warn("zone-empty", format!("zone \"{}\" has no node", name(n)), n.span(), None);
        }
    }
    let used: [(&'static str, BTreeSet<usize>, bool); 2] = [
        ("plan", d.volumes.iter().map(|v| v.plan.0).collect(), !d.volumes.is_empty()),
        ("machine", d.nodes.iter().map(|n| n.machine).collect(), !d.nodes.is_empty()),
    ];
    for (kind, used, counts) in used {
        for (_, n) in all(kind).enumerate().filter(|(place, _)| counts && !used.contains(place)) {
            r.warn("unused", format!("{kind} \"{}\" is used nowhere", name(n)), n.span(), None);
        }
    }
    let f = d.figures();
    if let Some(n) = all("cold").next() {
        if f.cold.window > f.cold.ramp {
            let message = "the window is longer than the ramp: a node is warm before it ends".into();
            r.note(
                "contradiction",
                message,
                n.span(),
                Some("window is how long it must be sent too much".into()),
            );
        }
        if f.cold.units < f.most_units {
            let message =
                format!("{} units are less than one largest transfer ({})", f.cold.units, f.most_units);
            r.warn("cold-too-small", message, n.span(), None);
        }
    }
    if let Some(n) = all("legs").next().filter(|_| f.leg_budget.is_some() && f.most_legs == 1) {
        r.warn(
            "no-effect",
            "with one leg for each transfer there are no further legs to budget".into(),
            n.span(),
            None,
        );
    }
}
