//! Reads the entries on what is served: request classes, plans, volumes.

use crate::entities::{NamedPlan, NamedRequestClass, NamedVolume, number};
use crate::reader::{Names, Reader};
use gullsail_scheduler_api::{
    HostId, Idempotency, IdempotencyScope, Limit, Plan, PlanId, RequestClass, VolumeId,
    demand_report,
};
use kdl::KdlNode;
use std::collections::BTreeSet;
use std::sync::Arc;

pub(crate) fn request_class(r: &mut Reader, n: &KdlNode) -> NamedRequestClass {
    let known = [
        "effect",
        "group",
        "window",
        "slo",
        "expiry",
        "benefit",
        "late-part",
        "in-order",
        "write",
    ];
    r.only(n, 1, &known, &[]);
    let idempotency = idempotency(r, n);
    let (latency_objective, deadline) = (r.span(n, "slo"), r.span(n, "expiry"));
    if latency_objective > deadline {
        let help = Some("the client gives up at the expiry, after the answer was wanted".into());
        r.report(
            "slo-past-expiry",
            "the SLO time is longer than the expiry".into(),
            n.span(),
            help,
        );
    }
    let decisions = RequestClass {
        idempotency,
        latency_objective,
        priority_weight: r.number_at(n, "benefit", 0.0).unwrap_or(1.0),
        late_weight: r.part_at(n, "late-part").unwrap_or_default(),
        in_order: r.flag(n, "in-order"),
    };
    NamedRequestClass {
        name: r.text(n, 0, "a name"),
        write: r.flag(n, "write"),
        deadline,
        decisions,
    }
}

fn idempotency(r: &mut Reader, n: &KdlNode) -> Idempotency {
    let keywords = [("repeatable", 0), ("keyed", 1), ("unrepeatable", 2)];
    let idempotency = match r.keyword(n, "effect", &keywords) {
        Some(1) => {
            let groups = [
                ("all", IdempotencyScope::All),
                ("zone", IdempotencyScope::Zone),
                ("cell", IdempotencyScope::Shard),
            ];
            let scope = r
                .keyword(n, "group", &groups)
                .unwrap_or(IdempotencyScope::Shard);
            Idempotency::WithKey {
                scope,
                window: r.span(n, "window"),
            }
        }
        Some(2) => Idempotency::NonIdempotent,
        _ => Idempotency::Idempotent,
    };
    for key in ["group", "window"] {
        if let (false, Some(e)) = (
            matches!(idempotency, Idempotency::WithKey { .. }),
            n.entry(key),
        ) {
            let help = Some("write effect=\"keyed\", or take it out".into());
            r.report(
                "contradiction",
                format!("`{key}` is for keyed stream types only"),
                e.span(),
                help,
            );
        }
    }
    idempotency
}

pub(crate) fn plan(r: &mut Reader, n: &KdlNode, unit: Option<f64>) -> NamedPlan {
    r.only(
        n,
        1,
        &[
            "limit", "burst", "slack", "reserve", "usual", "weight", "price",
        ],
        &[],
    );
    let reserve = r.rate_at(n, "reserve", 0.0, unit).unwrap_or_default();
    let before = r.reported();
    let limit = r.rate_at(n, "limit", f64::MIN_POSITIVE, unit);
    let limit = limit.map(|rate| {
        let burst = r.number(n, "burst", 0.0);
        Limit {
            rate,
            burst: if r.reported() > before {
                f64::INFINITY
            } else {
                burst
            },
        }
    });
    if let Some(l) = limit.filter(|l| l.rate < reserve) {
        let message = format!("the limit ({}) is under the reserve ({reserve})", l.rate);
        r.report("limit-under-reserve", message, n.span(), None);
    }
    let slack = r.number_at(n, "slack", 0.0);
    let decisions = Plan {
        limit,
        reserve,
        nominal_rate: r.rate_at(n, "usual", 0.0, unit).unwrap_or(reserve),
        weight: r.number_at(n, "weight", 0.0).unwrap_or(1.0),
        price: r.number_at(n, "price", 0.0).unwrap_or(1.0),
    };
    NamedPlan {
        name: r.text(n, 0, "a name"),
        slack: slack.unwrap_or_default(),
        decisions,
    }
}

pub(crate) fn volume(
    r: &mut Reader,
    n: &KdlNode,
    plans: &[NamedPlan],
    plan_names: &Names,
    hosts: &Names,
    everyone: &Arc<[HostId]>,
    (max_units, split): (f64, bool),
) -> NamedVolume {
    r.only(n, 1, &["plan"], &["hosts"]);
    let name = r.text(n, 0, "a name");
    let plan = r
        .refer_at(n, "plan", "plan", plan_names)
        .unwrap_or_default();
    let mut through = BTreeSet::new();
    for child in n.iter_children().filter(|c| c.name().value() == "hosts") {
        r.only(child, usize::MAX, &[], &[]);
        for e in child.entries() {
            let host = r.refer(e, "host", hosts).map(|h| HostId(h as u32));
            if host.is_some_and(|h| !through.insert(h)) {
                r.report(
                    "twice",
                    "this host stands here twice".into(),
                    e.span(),
                    None,
                );
            }
        }
    }
    // None stated: all of them.
    let through = if through.is_empty() {
        everyone.clone()
    } else {
        through.into_iter().collect()
    };
    if let Some(l) = plans.get(plan).and_then(|p| p.decisions.limit) {
        let least = 2.0 * max_units * if split { through.len() as f64 } else { 1.0 };
        if l.burst < least {
            let message = format!(
                "the plan's burst of {} is too small for {} hosts",
                l.burst,
                through.len()
            );
            let help =
                format!("each host's part must hold two of the largest transfers: {least} or more");
            r.report("burst-too-small", message, n.span(), Some(help));
        }
    }
    // Six bytes of the number travel in labels.
    let id = demand_report::carried(VolumeId(number(&name)));
    NamedVolume {
        name,
        id,
        plan: PlanId(plan),
        hosts: through,
    }
}
