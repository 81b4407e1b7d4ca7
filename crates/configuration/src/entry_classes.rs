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

pub(crate) fn request_class(reader: &mut Reader, entry: &KdlNode) -> NamedRequestClass {
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
    reader.only(entry, 1, &known, &[]);
    let idempotency = idempotency(reader, entry);
    let (latency_objective, deadline) = (reader.span(entry, "slo"), reader.span(entry, "expiry"));
    if latency_objective > deadline {
        let help = Some("the client gives up at the expiry, after the answer was wanted".into());
        reader.report(
            "slo-past-expiry",
            "the SLO time is longer than the expiry".into(),
            entry.span(),
            help,
        );
    }
    let decisions = RequestClass {
        idempotency,
        latency_objective,
        priority_weight: reader.number_at(entry, "benefit", 0.0).unwrap_or(1.0),
        late_weight: reader.fraction_at(entry, "late-part").unwrap_or_default(),
        in_order: reader.flag(entry, "in-order"),
    };
    NamedRequestClass {
        name: reader.text(entry, 0, "a name"),
        write: reader.flag(entry, "write"),
        deadline,
        decisions,
    }
}

fn idempotency(reader: &mut Reader, entry: &KdlNode) -> Idempotency {
    let keywords = [("repeatable", 0), ("keyed", 1), ("unrepeatable", 2)];
    let idempotency = match reader.keyword(entry, "effect", &keywords) {
        Some(1) => {
            let groups = [
                ("all", IdempotencyScope::All),
                ("zone", IdempotencyScope::Zone),
                ("cell", IdempotencyScope::Shard),
            ];
            let scope = reader
                .keyword(entry, "group", &groups)
                .unwrap_or(IdempotencyScope::Shard);
            Idempotency::WithKey {
                scope,
                window: reader.span(entry, "window"),
            }
        }
        Some(2) => Idempotency::NonIdempotent,
        _ => Idempotency::Idempotent,
    };
    for key in ["group", "window"] {
        if let (false, Some(e)) = (
            matches!(idempotency, Idempotency::WithKey { .. }),
            entry.entry(key),
        ) {
            let help = Some("write effect=\"keyed\", or take it out".into());
            reader.report(
                "contradiction",
                format!("`{key}` is for keyed stream types only"),
                e.span(),
                help,
            );
        }
    }
    idempotency
}

pub(crate) fn plan(reader: &mut Reader, entry: &KdlNode, unit: Option<f64>) -> NamedPlan {
    reader.only(
        entry,
        1,
        &[
            "limit", "burst", "slack", "reserve", "usual", "weight", "price",
        ],
        &[],
    );
    let reserve = reader
        .rate_at(entry, "reserve", 0.0, unit)
        .unwrap_or_default();
    let before = reader.reported();
    let limit = reader.rate_at(entry, "limit", f64::MIN_POSITIVE, unit);
    let limit = limit.map(|rate| {
        let burst = reader.number(entry, "burst", 0.0);
        Limit {
            rate,
            burst: if reader.reported() > before {
                f64::INFINITY
            } else {
                burst
            },
        }
    });
    if let Some(l) = limit.filter(|l| l.rate < reserve) {
        let message = format!("the limit ({}) is under the reserve ({reserve})", l.rate);
        reader.report("limit-under-reserve", message, entry.span(), None);
    }
    let slack = reader.number_at(entry, "slack", 0.0);
    let decisions = Plan {
        limit,
        reserve,
        nominal_rate: reader.rate_at(entry, "usual", 0.0, unit).unwrap_or(reserve),
        weight: reader.number_at(entry, "weight", 0.0).unwrap_or(1.0),
        price: reader.number_at(entry, "price", 0.0).unwrap_or(1.0),
    };
    NamedPlan {
        name: reader.text(entry, 0, "a name"),
        slack: slack.unwrap_or_default(),
        decisions,
    }
}

/// What volumes are read against.
pub(crate) struct VolumeContext<'a> {
    pub(crate) plans: &'a [NamedPlan],
    pub(crate) plan_names: &'a Names,
    pub(crate) hosts: &'a Names,
    pub(crate) everyone: &'a Arc<[HostId]>,
    /// The most units of one request.
    pub(crate) max_units: f64,
    /// Each host has an even part of the burst. With a fleet, a share too small for a largest request goes from
    /// host to host in turns instead.
    pub(crate) split: bool,
}

pub(crate) fn volume(reader: &mut Reader, entry: &KdlNode, context: &VolumeContext) -> NamedVolume {
    reader.only(entry, 1, &["plan"], &["hosts"]);
    let name = reader.text(entry, 0, "a name");
    let plan = reader.refer_at(entry, "plan", "plan", context.plan_names);
    let plan = plan.unwrap_or_default();
    let hosts = hosts_of_volume(reader, entry, context);
    if let Some(limit) = context
        .plans
        .get(plan)
        .and_then(|plan| plan.decisions.limit)
    {
        let parts = if context.split {
            hosts.len() as f64
        } else {
            1.0
        };
        let least = 2.0 * context.max_units * parts;
        if limit.burst < least {
            let message = format!(
                "the plan's burst of {} is too small for {} hosts",
                limit.burst,
                hosts.len()
            );
            let help =
                format!("each host's part must hold two of the largest transfers: {least} or more");
            reader.report("burst-too-small", message, entry.span(), Some(help));
        }
    }
    // Six bytes of the number travel in demand reports.
    let id = demand_report::message_volume_id(VolumeId(number(&name)));
    NamedVolume {
        name,
        id,
        plan: PlanId(plan),
        hosts,
    }
}

/// The hosts that a volume names; all of them if it names none.
fn hosts_of_volume(reader: &mut Reader, entry: &KdlNode, context: &VolumeContext) -> Arc<[HostId]> {
    let mut named = BTreeSet::new();
    let lists = entry.iter_children();
    for list in lists.filter(|child| child.name().value() == "hosts") {
        reader.only(list, usize::MAX, &[], &[]);
        for value in list.entries() {
            let host = reader.refer(value, "host", context.hosts);
            if host.is_some_and(|host| !named.insert(HostId(host as u32))) {
                let message = "this host stands here twice".into();
                reader.report("twice", message, value.span(), None);
            }
        }
    }
    if named.is_empty() {
        context.everyone.clone()
    } else {
        named.into_iter().collect()
    }
}
