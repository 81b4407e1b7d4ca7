//! The built-in scenarios, and random scenarios that combine the faults of two of them.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The deployment of most built-in scenarios.
const FLEET: &str = include_str!("../days/fleet.kdl");
/// A deployment with the nodes and volumes of [`FLEET`] and 24 hosts.
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

/// Returns the name of each built-in scenario with a one-line description.
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

/// Returns the document of a built-in scenario, its deployment included; `None`: there is no scenario of this name.
pub fn find(name: &str) -> Option<String> {
    let script = DAYS.iter().find(|d| d.0 == name)?.1;
    let deployment = match name {
        // The deployment of `budget-many` with 60 hosts instead of 24.
        "budget-sixty" => MANY.replace("h{16..24}", "h{16..60}"),
        name if name.starts_with("budget-many") => MANY.into(),
        _ => FLEET.into(),
    };
    Some(format!("{deployment}\n{script}"))
}

/// Returns the document of a scenario with the faults of two built-in ones. The seed selects them and shifts their
/// faults by up to three seconds.
pub fn random(seed: u64) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let combinable: Vec<_> = DAYS
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
    for day in combinable.choose_multiple(&mut rng, 2) {
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
