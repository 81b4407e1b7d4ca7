//! Servers in maintenance: `works at-once=1 keep=0.7 longest="30min" watched="10s" { rest from="07:00"
//! to="19:00"; }`. What it means is told in docs/maintenance.md.

use crate::entities::NamedFleet;
use crate::reader::Reader;
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::Span;
use kdl::KdlNode;

/// Longer, and a host that nobody decides for goes on with what it knows for hours.
const MOST_BLIND: Span = Span::from_micros(3_600_000_000);

/// Reports figures of the entry that contradict each other or the fleet's.
fn check_figures(r: &mut Reader, n: &KdlNode, maintenance: &MaintenanceConfig, fleet: &NamedFleet) {
    let mut wrong = |key: &str, message: String, help: String| {
        let span = n.entry(key).map_or(n.span(), |e| e.span());
        r.report("contradiction", message, span, Some(help));
    };
    for (key, most) in [
        ("in-zone", maintenance.in_zone),
        ("in-pool", maintenance.in_pool),
    ] {
        if most > maintenance.at_once {
            wrong(
                key,
                format!("{key}={most}, and {} at once in all", maintenance.at_once),
                "at most at-once".into(),
            );
        }
    }
    if maintenance.keep >= 1.0 {
        wrong(
            "keep",
            "no capacity may go".into(),
            "keep=0.8: a fifth of it may be away".into(),
        );
    }
    if maintenance.longest > Span::ZERO && maintenance.blind > MOST_BLIND
        || maintenance.blind < fleet.lease
    {
        let help = format!("from one lease ({} ms) to an hour", fleet.lease.millis());
        wrong(
            "blind",
            format!("a blind time of {} ms", maintenance.blind.millis()),
            help,
        );
    }
}

/// `None`: there are no works.
pub(crate) fn read(
    r: &mut Reader,
    n: Option<&KdlNode>,
    fleet: Option<&NamedFleet>,
) -> Option<MaintenanceConfig> {
    let n = n?;
    let known = [
        "at-once",
        "in-zone",
        "in-pool",
        "keep",
        "keep-cell",
        "busy",
        "longest",
        "watched",
        "blind",
    ];
    r.only(n, 0, &known, &["rest"]);
    let before = r.reported();
    let at_once = r.whole(n, "at-once", 1, 1);
    let maintenance = MaintenanceConfig {
        at_once,
        in_zone: r.whole(n, "in-zone", 1, at_once),
        in_pool: r.whole(n, "in-pool", 1, at_once),
        keep: r.part(n, "keep"),
        keep_shard: r.part_at(n, "keep-cell").unwrap_or_default(),
        busy: r.part_at(n, "busy").unwrap_or(0.9),
        longest: r.span(n, "longest"),
        watched: r.span(n, "watched"),
        blind: r.span(n, "blind"),
        rests: read_rests(r, n),
    };
    let Some(fleet) = fleet else {
        let help = "hosts settle works by their `fleet`: add one".into();
        r.report(
            "contradiction",
            "`works` without a `fleet`".into(),
            n.span(),
            Some(help),
        );
        return None;
    };
    check_figures(r, n, &maintenance, fleet);
    (r.reported() == before).then_some(maintenance)
}

/// The times of day at which no server goes.
fn read_rests(r: &mut Reader, n: &KdlNode) -> Vec<(u32, u32)> {
    let mut rests = Vec::new();
    for rest in n.iter_children().filter(|c| c.name().value() == "rest") {
        r.only(rest, 0, &["from", "to"], &[]);
        let times = [time(r, rest, "from"), time(r, rest, "to")];
        if let [Some(from), Some(to)] = times {
            if from == to {
                let help = "from=\"07:00\" to=\"19:00\": one that never ends lets nobody go";
                r.report(
                    "contradiction",
                    "a rest of no length".into(),
                    rest.span(),
                    Some(help.into()),
                );
            }
            rests.push((from, to));
        }
    }
    rests
}

/// Of a day, as `"07:30"`, in seconds.
fn time(r: &mut Reader, n: &KdlNode, key: &str) -> Option<u32> {
    let text = r.text_at(n, key).unwrap_or_default();
    let parts = text
        .split_once(':')
        .map(|(h, m)| (h.parse::<u32>(), m.parse::<u32>()));
    let time = match parts {
        Some((Ok(h), Ok(m))) if h < 24 && m < 60 => Some(h * 3600 + m * 60),
        _ => None,
    };
    if time.is_none() {
        let span = n.entry(key).map_or(n.span(), |e| e.span());
        let help = "a time of day in UTC: from=\"07:00\" to=\"19:00\"".to_string();
        r.report(
            "wrong-kind",
            format!("`{key}` is \"{text}\""),
            span,
            Some(help),
        );
    }
    time
}
