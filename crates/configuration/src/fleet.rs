//! How hosts settle things among themselves: `fleet "town" lease="2s" drift=0.002 voters=5 floor=0.3`.
//! Without the entry, or with `off=#true`, each host keeps to even parts by the document alone.

use crate::entities::{NamedFleet, Place};
use crate::reader::Reader;
use gullsail_scheduler_api::Span;
use kdl::KdlNode;

/// Shorter, and a busy machine's delays end leases; longer, and a dead host's part lies idle for minutes.
const LEASES: (f64, f64) = (100.0, 60_000.0);
/// Between coordinated clocks it is some parts in ten thousand; a tenth is a broken one.
const MOST_DRIFT: f64 = 0.1;
/// More only cost notes: seven bear three that are down.
const MOST_VOTERS: u32 = 15;

/// So many a second, as `"40/s"`; more than none.
fn a_second(reader: &mut Reader, entry: &KdlNode, key: &str) -> Option<f64> {
    let text = reader.text_at(entry, key)?;
    let rate = text
        .strip_suffix("/s")
        .and_then(|t| t.trim().parse::<f64>().ok());
    let rate = rate.filter(|rate| rate.is_finite() && *rate > 0.0);
    if rate.is_none() {
        let span = entry.entry(key).map_or(entry.span(), |e| e.span());
        let help = format!("so many a second to one node, from all hosts together: {key}=\"40/s\"");
        reader.report(
            "wrong-kind",
            format!("`{key}` is \"{text}\""),
            span,
            Some(help),
        );
    }
    rate
}

/// Reports figures of the entry that contradict each other or the deployment.
fn check_figures(
    reader: &mut Reader,
    entry: &KdlNode,
    fleet: &NamedFleet,
    hosts: &[Place],
    tick: Span,
) {
    let mut wrong = |key: &str, message: String, help: String| {
        let span = entry.entry(key).map_or(entry.span(), |e| e.span());
        reader.report("contradiction", message, span, Some(help));
    };
    let (least, most) = LEASES;
    let ms = fleet.lease.millis();
    if !(least..=most).contains(&ms) {
        wrong(
            "lease",
            format!("a lease of {ms} ms"),
            format!("from {least} ms to {most} ms; two seconds suit most"),
        );
    } else if fleet.lease < tick.times(8.0) {
        let help = format!(
            "a lease is renewed four times, at least a tick apart: {} ms or more",
            tick.millis() * 8.0
        );
        wrong(
            "lease",
            format!("a lease of {ms} ms, with a tick of {} ms", tick.millis()),
            help,
        );
    }
    if fleet.drift > MOST_DRIFT {
        let help = format!("at most {MOST_DRIFT}: a clock that runs so unevenly is broken");
        wrong("drift", format!("a drift of {}", fleet.drift), help);
    }
    if fleet.voters as usize > hosts.len() || fleet.voters > MOST_VOTERS {
        let most = MOST_VOTERS.min(hosts.len() as u32);
        let message = format!("{} voters among {} hosts", fleet.voters, hosts.len());
        wrong(
            "voters",
            message,
            format!("at most {most}: the document's first so many hosts"),
        );
    }
}

/// `None`: there is none, or it is off.
pub(crate) fn read(
    reader: &mut Reader,
    entry: Option<&KdlNode>,
    hosts: &[Place],
    tick: Span,
) -> Option<NamedFleet> {
    let entry = entry?;
    reader.only(
        entry,
        1,
        &[
            "lease", "drift", "voters", "floor", "connects", "probes", "off",
        ],
        &[],
    );
    let before = reader.reported();
    let fleet = NamedFleet {
        name: reader.text(entry, 0, "the fleet's name"),
        lease: reader.span(entry, "lease"),
        drift: reader.number_at(entry, "drift", 0.0).unwrap_or(0.002),
        voters: reader.whole(entry, "voters", 1, 5.min(hosts.len().max(1) as u32)),
        floor: reader.part(entry, "floor"),
        connects: a_second(reader, entry, "connects"),
        probes: a_second(reader, entry, "probes"),
    };
    // A lease that could not be read is reported already.
    if fleet.lease == Span::ZERO {
        return None;
    }
    check_figures(reader, entry, &fleet, hosts, tick);
    let off = reader.flag(entry, "off");
    let zone = |p: &Place| p.zone;
    let zones = |p: &[Place]| {
        p.iter()
            .map(zone)
            .collect::<std::collections::BTreeSet<_>>()
            .len()
    };
    let voters = hosts.get(..fleet.voters as usize).unwrap_or(hosts);
    if !off && fleet.voters > 2 && zones(voters) == 1 && zones(hosts) > 1 {
        let help =
            "with that zone nobody decides: let the document's first hosts lie in different zones";
        reader.warn(
            "voters-together",
            "all voters are in one zone".into(),
            entry.span(),
            Some(help.into()),
        );
    }
    (!off && reader.reported() == before).then_some(fleet)
}
