//! Reads the entries on request classes, plans and volumes.

use crate::entities::{NamedPlan, NamedRequestClass, NamedVolume, number};
use crate::reader::{Names, Reader};
use gullsail_scheduler_api::{
    HostId, Idempotency, IdempotencyScope, Limit, Plan, PlanId, RequestClass, VolumeId,
    demand_report,
};
use kdl::KdlNode;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Reads a `stream-type` entry.
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
        let help = Some("the client gives up at the expiry, so the SLO time can't be later".into());
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
        max_timeout: Some(deadline),
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
            let help = Some("write effect=\"keyed\", or remove it".into());
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

/// Reads a `plan` entry. `unit` is the number of bytes of a unit of work, if stated.
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

/// The entries and settings that volumes are checked against.
pub(crate) struct VolumeContext<'a> {
    pub(crate) plans: &'a [NamedPlan],
    pub(crate) plan_names: &'a Names,
    pub(crate) hosts: &'a Names,
    pub(crate) everyone: &'a Arc<[HostId]>,
    /// The most units of one request.
    pub(crate) max_units: f64,
    /// Whether each host gets an even share of the burst. This is so without a fleet. With a fleet, hosts use a share
    /// in turns if it is too small for the largest request.
    pub(crate) split: bool,
}

/// Reads a `volume` entry.
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
        let shares = if context.split {
            hosts.len() as f64
        } else {
            1.0
        };
        let min_burst = 2.0 * context.max_units * shares;
        if limit.burst < min_burst {
            let message = format!(
                "the plan's burst of {} is too small for {} hosts",
                limit.burst,
                hosts.len()
            );
            let help = format!(
                "each host's share must hold two of the largest transfers: {min_burst} or more"
            );
            reader.report("burst-too-small", message, entry.span(), Some(help));
        }
    }
    // Demand reports carry six bytes of the number.
    let id = demand_report::message_volume_id(VolumeId(number(&name)));
    NamedVolume {
        name,
        id,
        plan: PlanId(plan),
        hosts,
    }
}

/// The hosts that a volume names; all hosts if it names none.
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
