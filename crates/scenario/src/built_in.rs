//! The built-in scenarios, and random ones that combine two of them.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FLEET: &str = include_str!("../days/fleet.kdl");
/// The same nodes and volumes, with 24 hosts.
const MANY: &str = include_str!("../days/many.kdl");

macro_rules! days {
    ($($name:literal)*) => {
        const DAYS: &[(&str, &str)] = &[$(($name, include_str!(concat!("../days/", $name, ".kdl")))),*];
    };
}

days! {
    "quiet" "bad-day" "stopped-host" "budget-gone" "budget-cut" "budget-join" "budget-takeover" "budget-storm" "budget-many" "budget-new" "budget-many-nodes" "budget-many-join" "budget-many-halves" "budget-sixty" "out-nodes" "out-takeover" "out-zone" "host-crash" "burst" "release" "list-down" "give-up" "costly" "hot-volume" "mass-restart"
    "neighbour" "pauses" "lead-moves" "scan" "plan-surge" "ageing" "broken-links" "silent-links" "clocks" "reload" "zones-surge" "zones-drain" "zones-hard"
}

/// The name of each built-in scenario and a line that describes it.
pub fn all() -> impl Iterator<Item = (&'static str, &'static str)> {
    DAYS.iter().map(|(name, text)| {
        (
            *name,
            text.lines()
                .next()
                .unwrap_or_default()
                .trim_start_matches("// "),
        )
    })
}

/// The document of a built-in scenario.
pub fn find(name: &str) -> Option<String> {
    let script = DAYS.iter().find(|d| d.0 == name)?.1;
    let hosts = match name {
        // The deployment of `budget-many`, with more hosts.
        "budget-sixty" => MANY.replace("h{16..24}", "h{16..60}"),
        name if name.starts_with("budget-many") => MANY.into(),
        _ => FLEET.into(),
    };
    Some(format!("{hosts}\n{script}"))
}

/// A scenario with the faults of two built-in ones, shifted in time by the seed.
pub fn random(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let single: Vec<_> = DAYS
        .iter()
        .filter(|d| {
            !["quiet", "bad-day"].contains(&d.0)
                && !d.0.starts_with("budget")
                && !d.0.starts_with("out")
        })
        .collect();
    let mut text = String::from("// Two kinds of faults, drawn by a seed.\n");
    text += &format!("day \"random-{seed}\" lasts=\"12s\" bytes=512 fresh=0.3 tries=2 {{\n");
    for line in [
        "ask \"record-read\" rate=240",
        "ask \"photo-write\" rate=80",
        "ask \"record-write\" rate=60",
        "ask \"trip-write\" rate=40",
        "tests 1",
    ] {
        text += &format!("    {line}\n");
    }
    for day in single.choose_multiple(&mut rng, 2) {
        let shift: f64 = rng.random_range(0.0..3.0);
        text += &format!("    // of {}\n", day.0);
        for line in day.1.lines().filter(|l| l.trim_start().starts_with("at ")) {
            let Some((time, rest)) = line.trim_start()[4..].split_once('"') else {
                continue;
            };
            let at = gullsail_configuration::Reader::as_span(time).unwrap_or_default();
            text += &format!(
                "    at \"{}ms\"{rest}\n",
                (at.millis() + shift * 1e3).round()
            );
        }
    }
    format!("{FLEET}\n{text}}}\n")
}
