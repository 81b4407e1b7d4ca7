//! Judges the seven rules from what relays recorded and the document alone; it shares no state with a host and
//! none of its code. For each rule: kept or broken, how often it was put to the test, how near its bound came,
//! and for each breach the request with its frames.
//!
//! [`History`] puts the recording in order by who and what; each rule is a function of it in [`rules`].

mod fleet;
mod history;
mod maintenance;
mod rules;

use gullsail_configuration::Deployment;
pub use history::{Fault, History};
use serde::Serialize;
use std::collections::BTreeMap;

/// One breach: what was seen, and the lines of the recording that show it.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub what: String,
    pub lines: Vec<usize>,
}

/// What came of one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub rule: u8,
    pub name: &'static str,
    /// How often something could have broken it.
    pub tested: u64,
    /// How near it came to its bound: 1 is at the bound, past it is broken.
    pub nearest: f64,
    pub breaches: Vec<Breach>,
}

impl Verdict {
    fn new(rule: u8, name: &'static str) -> Verdict {
        Verdict { rule, name, tested: 0, nearest: 0.0, breaches: Vec::new() }
    }
    fn breach(&mut self, what: String, lines: impl IntoIterator<Item = usize>) {
        self.breaches.push(Breach { what, lines: lines.into_iter().collect() });
    }
    pub fn kept(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// Judges a whole recording.
///
/// # Errors
/// A line that is no entry.
pub fn judge(d: &Deployment, recording: &str) -> Result<Vec<Verdict>, Fault> {
    let h = History::read(d, recording)?;
    let mut verdicts = vec![
        rules::answered(d, &h),
        rules::once(d, &h),
        rules::drains(d, &h),
        rules::cold(d, &h),
        rules::order(d, &h),
        rules::budget(d, &h),
        rules::limits(d, &h),
    ];
    if !d.cross_zone_budgets.is_empty() {
        verdicts.push(rules::cross_zone_budgets(d, &h));
    }
    if d.fleet.is_some() {
        verdicts.extend([fleet::parts(d, &h), fleet::deciding(d, &h)]);
        verdicts.extend(fleet::rates(d, &h));
        verdicts.extend(maintenance::rules(d, &h));
    }
    Ok(verdicts)
}

/// The verdicts as a table for people, each breach with some of its frames below.
pub fn table(verdicts: &[Verdict], recording: &str) -> String {
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["rule", "", "kept", "put to the test", "nearest to its bound"]);
    for v in verdicts {
        let kept = if v.kept() { "kept".into() } else { format!("BROKEN, {} times", v.breaches.len()) };
        let nearest = format!("{:.0}%", v.nearest * 100.0);
        table.add_row([v.rule.to_string(), v.name.into(), kept, v.tested.to_string(), nearest]);
    }
    let mut text = format!("{table}\n");
    let lines: Vec<&str> = recording.lines().collect();
    for v in verdicts {
        for b in v.breaches.iter().take(3) {
            text += &format!("rule {}: {}\n", v.rule, b.what);
            for line in b.lines.iter().take(12) {
                text += &format!("  {:>7}  {}\n", line + 1, lines.get(*line).unwrap_or(&""));
            }
        }
    }
    text
}

/// Bytes of attempts and their answers that went from zone to zone to or from a host, by host and the zones' names.
///
/// # Errors
/// A line that is no entry.
pub fn crossed(d: &Deployment, recording: &str) -> Result<BTreeMap<(String, String, String), u64>, Fault> {
    let h = History::read(d, recording)?;
    let zone = |name: &str| {
        let host = d.hosts.iter().find(|p| p.name == name);
        let place = host.or_else(|| d.node(name).map(|n| &n.place))?;
        d.zones.get(place.zone.0).map(|z| (z.clone(), host.is_some()))
    };
    let mut all = BTreeMap::new();
    for (_, from, to, bytes) in &h.moved {
        if let (Some((a, host)), Some((b, _))) = (zone(from), zone(to))
            && a != b
        {
            *all.entry((if host { from } else { to }.clone(), a, b)).or_default() += *bytes as u64;
        }
    }
    Ok(all)
}
