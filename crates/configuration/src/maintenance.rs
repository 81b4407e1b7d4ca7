//! The entry on servers in maintenance: `works at-once=1 keep=0.7 longest="30min" watched="10s" { rest from="07:00"
//! to="19:00"; }`. docs/maintenance.md explains it.

use crate::entities::NamedFleet;
use crate::reader::Reader;
use gullsail_fleet::maintenance::MaintenanceConfig;
use gullsail_scheduler_api::Span;
use kdl::KdlNode;

/// The maximum isolation grace. With a longer one, a host that is cut off from the coordinator would keep sending to
/// servers in maintenance for hours.
const MAX_ISOLATION_GRACE: Span = Span::from_micros(3_600_000_000);

/// Reports values of the entry that contradict each other or the `fleet` entry.
fn check_values(
    reader: &mut Reader,
    entry: &KdlNode,
    maintenance: &MaintenanceConfig,
    fleet: &NamedFleet,
) {
    let mut wrong = |key: &str, message: String, help: String| {
        let span = entry.entry(key).map_or(entry.span(), |e| e.span());
        reader.report("contradiction", message, span, Some(help));
    };
    for (key, limit) in [
        ("in-zone", maintenance.in_zone),
        ("in-pool", maintenance.in_pool),
    ] {
        if limit > maintenance.at_once {
            wrong(
                key,
                format!("{key}={limit}, but at-once={}", maintenance.at_once),
                "at most at-once".into(),
            );
        }
    }
    if maintenance.keep >= 1.0 {
        wrong(
            "keep",
            "no capacity may be away".into(),
            "keep=0.8: a fifth of the capacity may be away".into(),
        );
    }
    if maintenance.longest > Span::ZERO && maintenance.isolation_grace > MAX_ISOLATION_GRACE
        || maintenance.isolation_grace < fleet.lease
    {
        let help = format!("from one lease ({} ms) to an hour", fleet.lease.millis());
        wrong(
            "blind",
            format!("a `blind` of {} ms", maintenance.isolation_grace.millis()),
            help,
        );
    }
}

/// Reads the `works` entry. `None`: the entry is absent or invalid.
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
        quiet_hours: read_quiet_hours(reader, entry),
    };
    let Some(fleet) = fleet else {
        let help = "hosts agree on maintenance through the `fleet`: add one".into();
        reader.report(
            "contradiction",
            "`works` without a `fleet`".into(),
            entry.span(),
            Some(help),
        );
        return None;
    };
    check_values(reader, entry, &maintenance, fleet);
    (reader.reported() == before).then_some(maintenance)
}

/// Reads the quiet hours: pairs of start and end in seconds from midnight UTC, between which no server starts to drain.
fn read_quiet_hours(reader: &mut Reader, entry: &KdlNode) -> Vec<(u32, u32)> {
    let mut quiet_hours = Vec::new();
    for rest in entry.iter_children().filter(|c| c.name().value() == "rest") {
        reader.only(rest, 0, &["from", "to"], &[]);
        let times = [time(reader, rest, "from"), time(reader, rest, "to")];
        if let [Some(from), Some(to)] = times {
            if from == to {
                let help = "from=\"07:00\" to=\"19:00\": if a rest lasted all day, no server could ever drain";
                reader.report(
                    "contradiction",
                    "a rest of no length".into(),
                    rest.span(),
                    Some(help.into()),
                );
            }
            quiet_hours.push((from, to));
        }
    }
    quiet_hours
}

/// Reads a time of day such as `"07:30"` in seconds from midnight; `None` if it is invalid.
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
