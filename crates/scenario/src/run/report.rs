//! The report on a scenario, as text and as JSON, and the check of the hosts' traffic accounts against the recording.

use crate::script::Fault;
use crate::script::Script;
use gullsail_audit::Verdict;
use gullsail_host::control::State;
use gullsail_simulator::client::Tallies;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;

/// The report on a scenario that was played.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The name of the scenario.
    pub name: String,
    /// The seed with which the scenario was played.
    pub seed: u64,
    /// The events, such as faults and operator commands, each with its time in seconds since the scenario began.
    pub happened: Vec<(f64, String)>,
    /// The outcomes of the clients' requests, by request class and plan.
    #[serde(serialize_with = "serialize_by_name")]
    pub outcomes: Tallies,
    /// The verdict on each rule.
    pub verdicts: Vec<Verdict>,
    /// The numbers of the rules that the script requires to be tested and that were not.
    pub untested: Vec<u8>,
    /// Other failures, such as processes that did not stop, wrong bytes or unexpected replies to commands.
    #[serde(rename = "faults")]
    pub failures: Vec<String>,
    /// The states of the hosts at the end, before they were stopped.
    pub hosts: Vec<State>,
}

/// Serializes tallies as a map whose keys are `CLASS/PLAN`.
pub(super) fn serialize_by_name<S: serde::Serializer>(
    tallies: &Tallies,
    s: S,
) -> Result<S::Ok, S::Error> {
    s.collect_map(
        tallies
            .iter()
            .map(|((request_class, plan), t)| (format!("{request_class}/{plan}"), t)),
    )
}

impl Report {
    /// Returns whether all rules were kept, the required ones were tested and nothing else failed.
    pub fn passed(&self) -> bool {
        self.verdicts.iter().all(Verdict::passed)
            && self.untested.is_empty()
            && self.failures.is_empty()
    }

    /// Returns the report as text: events by time, outcomes, hosts, rules and failures. `dir` holds the recording.
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
            text += &format!("rule {rule} was not tested, which the scenario requires\n");
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

    /// Returns a table of the outcomes of the clients' requests, by request class and plan.
    fn outcome_table(&self) -> comfy_table::Table {
        let mut table = comfy_table::Table::new();
        table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
        table.set_header([
            "request class",
            "plan",
            "requests",
            "within objective",
            "late",
            "rejected",
            "failed",
            "refused",
            "unanswered",
            "units within objective",
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

/// Returns the text on a host's state at the end of the scenario.
fn host_text(state: &State) -> String {
    let counts = &state.counts;
    let longest_ms = counts.longest_step_us as f64 / 1e3;
    let mut text = format!(
        "  {} at revision {}: longest step of its event loop {longest_ms:.1} ms, {} steps over 10 ms; configurations accepted {}, refused {}\n",
        state.host,
        state.revision,
        counts.long_steps,
        counts.documents_taken,
        counts.documents_turned_down
    );
    for p in &state.past {
        let span = (p.to_us - p.from_us) as f64 / 1e6;
        text += &format!(
            "  {}: budget {} overrun by {} bytes in {span:.1} s: {}\n",
            state.host,
            p.budget,
            p.bytes,
            p.shown_cause()
        );
    }
    if !state.behind.is_empty() {
        text += &format!(
            "  {}: hosts on an earlier configuration: {}\n",
            state.host,
            state.behind.join(" ")
        );
    }
    text
}

/// Returns the bytes of attempts and responses in a host's traffic account, by sending and receiving zone.
pub(super) fn attempt_bytes(state: &State) -> BTreeMap<(String, String), u64> {
    let mut counted = BTreeMap::new();
    for c in state
        .crossed
        .iter()
        .filter(|c| c.reason != gullsail_zone_traffic::Reason::Peers)
    {
        *counted.entry((c.from.clone(), c.to.clone())).or_default() += c.total.bytes;
    }
    counted
}

/// Compares the hosts' traffic accounts with the recording, to the byte, and returns a failure for each difference.
/// `recorded` holds bytes by host, sending zone and receiving zone. Scenarios that break connections are not checked,
/// since a frame that a host sent may never have reached the recording proxy.
pub(super) fn account_mismatches(
    recorded: &BTreeMap<(String, String, String), u64>,
    hosts: &[State],
    script: &Script,
) -> Vec<String> {
    let keeps_connections = |t: &Fault| {
        !matches!(
            t,
            Fault::KillHost { .. }
                | Fault::Reset { .. }
                | Fault::Cut { .. }
                | Fault::Replace { .. }
        )
    };
    if !script.faults.iter().all(|t| keeps_connections(&t.1)) {
        return Vec::new();
    }
    let mut failures = Vec::new();
    for state in hosts {
        let counted = attempt_bytes(state);
        for (key, bytes) in recorded.iter().filter(|(key, _)| key.0 == state.host) {
            let counted = counted
                .get(&(key.1.clone(), key.2.clone()))
                .copied()
                .unwrap_or_default();
            if counted != *bytes {
                failures.push(format!(
                    "{}: {bytes} bytes recorded from {} to {}, but {counted} in the host's account",
                    key.0, key.1, key.2
                ));
            }
        }
    }
    failures
}
