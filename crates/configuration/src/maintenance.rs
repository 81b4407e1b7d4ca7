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
fn check_figures(
    reader: &mut Reader,
    entry: &KdlNode,
    maintenance: &MaintenanceConfig,
    fleet: &NamedFleet,
) {
    let mut wrong = |key: &str, message: String, help: String| {
        let span = entry.entry(key).map_or(entry.span(), |e| e.span());
        reader.report("contradiction", message, span, Some(help));
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
    if maintenance.longest > Span::ZERO && maintenance.isolation_grace > MOST_BLIND
        || maintenance.isolation_grace < fleet.lease
    {
        let help = format!("from one lease ({} ms) to an hour", fleet.lease.millis());
        wrong(
            "blind",
            format!(
                "a blind time of {} ms",
                maintenance.isolation_grace.millis()
            ),
            help,
        );
    }
}

/// `None`: there are no works.
pub(crate) fn read(
    reader: &mut Reader,
    entry: Option<&KdlNode>,
    fleet: Option<&NamedFleet>,
) -> Option<MaintenanceConfig> {
    let entry = entry?;
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
    reader.only(entry, 0, &known, &["rest"]);
    let before = reader.reported();
    let at_once = reader.whole(entry, "at-once", 1, 1);
    let maintenance = MaintenanceConfig {
        at_once,
        in_zone: reader.whole(entry, "in-zone", 1, at_once),
        in_pool: reader.whole(entry, "in-pool", 1, at_once),
        keep: reader.fraction(entry, "keep"),
        keep_shard: reader.fraction_at(entry, "keep-cell").unwrap_or_default(),
        busy: reader.fraction_at(entry, "busy").unwrap_or(0.9),
        longest: reader.span(entry, "longest"),
        watched: reader.span(entry, "watched"),
        isolation_grace: reader.span(entry, "blind"),
        quiet_hours: read_rests(reader, entry),
    };
    let Some(fleet) = fleet else {
        let help = "hosts settle works by their `fleet`: add one".into();
        reader.report(
            "contradiction",
            "`works` without a `fleet`".into(),
            entry.span(),
            Some(help),
        );
        return None;
    };
    check_figures(reader, entry, &maintenance, fleet);
    (reader.reported() == before).then_some(maintenance)
}

/// The times of day at which no server goes.
fn read_rests(reader: &mut Reader, entry: &KdlNode) -> Vec<(u32, u32)> {
    let mut rests = Vec::new();
    for rest in entry.iter_children().filter(|c| c.name().value() == "rest") {
        reader.only(rest, 0, &["from", "to"], &[]);
        let times = [time(reader, rest, "from"), time(reader, rest, "to")];
        if let [Some(from), Some(to)] = times {
            if from == to {
                let help = "from=\"07:00\" to=\"19:00\": one that never ends lets nobody go";
                reader.report(
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
fn time(reader: &mut Reader, entry: &KdlNode, key: &str) -> Option<u32> {
    let text = reader.text_at(entry, key).unwrap_or_default();
    let parts = text
        .split_once(':')
        .map(|(h, m)| (h.parse::<u32>(), m.parse::<u32>()));
    let time = match parts {
        Some((Ok(h), Ok(m))) if h < 24 && m < 60 => Some(h * 3600 + m * 60),
        _ => None,
    };
    if time.is_none() {
        let span = entry.entry(key).map_or(entry.span(), |e| e.span());
        let help = "a time of day in UTC: from=\"07:00\" to=\"19:00\"".to_string();
        reader.report(
            "wrong-kind",
            format!("`{key}` is \"{text}\""),
            span,
            Some(help),
        );
    }
    time
}
