//! The entry on how hosts coordinate: `fleet "town" lease="2s" drift=0.002 voters=5 floor=0.3`. Without the entry,
//! or with `off=#true`, each host uses an even share of every limit.

use crate::entities::{NamedFleet, Place};
use crate::reader::Reader;
use gullsail_scheduler_api::Span;
use kdl::KdlNode;

/// The shortest and the longest lease in milliseconds. Delays on a busy machine let shorter leases expire. After a
/// longer one, the share of a host that has died stays unused for minutes.
const LEASE_RANGE_MS: (f64, f64) = (100.0, 60_000.0);
/// Synchronised clocks differ in rate by a few parts in ten thousand. A clock that is off by a tenth is broken.
const MAX_DRIFT: f64 = 0.1;
/// More voters only add messages: seven already tolerate the failure of three.
const MAX_VOTERS: u32 = 15;

/// Reads a positive rate, such as `"40/s"`; `None` if it is absent or invalid.
fn rate_per_second(reader: &mut Reader, entry: &KdlNode, key: &str) -> Option<f64> {
    let text = reader.text_at(entry, key)?;
    let rate = text
        .strip_suffix("/s")
        .and_then(|t| t.trim().parse::<f64>().ok());
    let rate = rate.filter(|rate| rate.is_finite() && *rate > 0.0);
    if rate.is_none() {
        let span = entry.entry(key).map_or(entry.span(), |e| e.span());
        let help = format!("a rate to one node, from all hosts together: {key}=\"40/s\"");
        reader.report(
            "wrong-kind",
            format!("`{key}` is \"{text}\""),
            span,
            Some(help),
        );
    }
    rate
}

/// Reports values of the entry that contradict each other or the deployment.
fn check_values(
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
    let (shortest, longest) = LEASE_RANGE_MS;
    let ms = fleet.lease.millis();
    if !(shortest..=longest).contains(&ms) {
        wrong(
            "lease",
            format!("a lease of {ms} ms"),
            format!("from {shortest} ms to {longest} ms; 2000 ms suit most deployments"),
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
    if fleet.drift > MAX_DRIFT {
        let help = format!("at most {MAX_DRIFT}: a clock whose rate is off by more is broken");
        wrong("drift", format!("a drift of {}", fleet.drift), help);
    }
    if fleet.voters as usize > hosts.len() || fleet.voters > MAX_VOTERS {
        let most = MAX_VOTERS.min(hosts.len() as u32);
        let message = format!("{} voters among {} hosts", fleet.voters, hosts.len());
        wrong(
            "voters",
            message,
            format!("at most {most}: the document's first so many hosts"),
        );
    }
}

/// Reads the `fleet` entry. `None`: the entry is absent, off or invalid.
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
        floor: reader.fraction(entry, "floor"),
        connects: rate_per_second(reader, entry, "connects"),
        probes: rate_per_second(reader, entry, "probes"),
    };
    // A lease that could not be read has been reported.
    if fleet.lease == Span::ZERO {
        return None;
    }
    check_values(reader, entry, &fleet, hosts, tick);
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
        let help = "if that zone fails, no coordinator can be elected: place the document's first hosts in different zones";
        reader.warn(
            "voters-together",
            "all voters are in one zone".into(),
            entry.span(),
            Some(help.into()),
        );
    }
    (!off && reader.reported() == before).then_some(fleet)
}
