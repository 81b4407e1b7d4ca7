//! What came of a day, for people and machines; hosts' own accounts held against the recording.

use super::*;
use std::path::Path;

/// What came of a day.
#[derive(Debug, Serialize)]
pub struct Report {
    pub name: String,
    pub seed: u64,
    /// When what happened, since the day began.
    pub happened: Vec<(f64, String)>,
    #[serde(serialize_with = "by_name")]
    pub outcomes: Tallies,
    pub verdicts: Vec<Verdict>,
    /// Rules that the script wants tested and that were not.
    pub untested: Vec<u8>,
    /// What went wrong besides: processes that did not stop, wrong bytes.
    #[serde(rename = "faults")]
    pub failures: Vec<String>,
    /// What hosts said of themselves at the end, before they were stopped.
    pub hosts: Vec<State>,
}

pub(super) fn by_name<S: serde::Serializer>(tallies: &Tallies, s: S) -> Result<S::Ok, S::Error> {
    s.collect_map(
        tallies
            .iter()
            .map(|((request_class, plan), t)| (format!("{request_class}/{plan}"), t)),
    )
}

impl Report {
    /// Whether all rules were kept, the wanted ones were tested, and nothing else failed.
    pub fn passed(&self) -> bool {
        self.verdicts.iter().all(Verdict::kept)
            && self.untested.is_empty()
            && self.failures.is_empty()
    }

    /// For people: what happened when, what came of it, rule by rule.
    pub fn text(&self, dir: &Path) -> String {
        let mut text = format!("{} (seed {})\n", self.name, self.seed);
        for (at, what) in &self.happened {
            text += &format!("  {at:>6.2} s  {what}\n");
        }
        text += &format!("{}\n", self.outcome_table());
        for host in &self.hosts {
            text += &host_text(host);
        }
        let recording = std::fs::read_to_string(dir.join("frames.jsonl")).unwrap_or_default();
        text += &gullsail_audit::table(&self.verdicts, &recording);
        for rule in &self.untested {
            text += &format!("rule {rule} was not put to the test\n");
        }
        for failure in &self.failures {
            text += &format!("{failure}\n");
        }
        text += if self.passed() {
            "passed\n"
        } else {
            "FAILED\n"
        };
        text
    }

    /// What came of the clients' requests, by request class and plan.
    fn outcome_table(&self) -> comfy_table::Table {
        let mut table = comfy_table::Table::new();
        table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
        table.set_header([
            "stream type",
            "plan",
            "asked",
            "in SLO time",
            "late",
            "deferred",
            "abandoned",
            "not taken",
            "unanswered",
            "units in time",
        ]);
        for ((request_class, plan), t) in &self.outcomes {
            let part = t.units_in_latency_objective / t.units.max(1e-9) * 100.0;
            let counts = [
                t.first_tries,
                t.in_latency_objective,
                t.late,
                t.rejected,
                t.failed,
                t.not_taken,
                t.unanswered,
            ];
            let mut row = vec![request_class.clone(), plan.clone()];
            row.extend(counts.iter().map(u64::to_string));
            row.push(format!("{part:.1}%"));
            table.add_row(row);
        }
        table
    }
}

/// What one host said of itself at the end.
fn host_text(h: &State) -> String {
    let counts = &h.counts;
    let longest_ms = counts.longest_step_us as f64 / 1e3;
    let mut text = format!(
        "  {} at revision {}: longest step of its loop {longest_ms:.1} ms, {} over 10 ms; documents taken {}, turned down {}\n",
        h.host, h.revision, counts.long_steps, counts.documents_taken, counts.documents_turned_down
    );
    for p in &h.past {
        let span = (p.to_us - p.from_us) as f64 / 1e6;
        text += &format!(
            "  {}: {} bytes past the budget {} in {span:.1} s: {}\n",
            h.host, p.bytes, p.budget, p.cause
        );
    }
    if !h.behind.is_empty() {
        text += &format!("  {} waits for {} to follow\n", h.host, h.behind.join(" "));
    }
    text
}

/// Bytes of attempts and answers that a host counted, by zones.
pub(super) fn attempts_bytes(h: &State) -> BTreeMap<(String, String), u64> {
    let mut counted = BTreeMap::new();
    for c in h
        .crossed
        .iter()
        .filter(|c| c.reason != gullsail_zone_traffic::Reason::Peers)
    {
        *counted.entry((c.from.clone(), c.to.clone())).or_default() += c.total.bytes;
    }
    counted
}

/// Hosts' accounts against the recording, to the byte; where connections were broken on purpose, frames that
/// a host sent may never have come to the relay.
pub(super) fn accounts(
    seen: &BTreeMap<(String, String, String), u64>,
    hosts: &[State],
    script: &Script,
) -> Vec<String> {
    let whole = |t: &Fault| {
        !matches!(
            t,
            Fault::KillHost { .. }
                | Fault::Reset { .. }
                | Fault::Cut { .. }
                | Fault::Replace { .. }
        )
    };
    if !script.faults.iter().all(|t| whole(&t.1)) {
        return Vec::new();
    }
    let mut failures = Vec::new();
    for h in hosts {
        let counted = attempts_bytes(h);
        for (key, bytes) in seen.iter().filter(|(key, _)| key.0 == h.host) {
            let counted = counted
                .get(&(key.1.clone(), key.2.clone()))
                .copied()
                .unwrap_or_default();
            if counted != *bytes {
                failures.push(format!(
                    "{}: {bytes} bytes from {} to {}, {counted} counted",
                    key.0, key.1, key.2
                ));
            }
        }
    }
    failures
}
