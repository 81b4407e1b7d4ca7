//! The verdict on each rule, and the table that shows verdicts to people. `--json` prints them serialized.

use serde::Serialize;

/// How many breaches of a rule, and how many lines of a breach, the table shows.
const SHOWN_BREACHES: usize = 3;
const SHOWN_LINES: usize = 12;

/// One breach of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// A description of what broke the rule.
    pub what: String,
    /// The lines of the recording that show the breach, counted from 0.
    pub lines: Vec<usize>,
}

/// The verdict on one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The rule's number.
    pub rule: u8,
    /// A short name of the rule, for the table.
    pub name: &'static str,
    /// How often the run could have broken the rule. A rule that was never tested proves nothing by being kept.
    pub tested: u64,
    /// The closest that the run came to the rule's bound, as a fraction of it: 1 is at the bound, more is
    /// beyond it. It stays 0 for a rule without such a measure.
    pub nearest: f64,
    /// The breaches, in the order in which they were found.
    pub breaches: Vec<Breach>,
    /// Violations that do not count, because evidence from outside the host excuses them. Each names that evidence.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub allowed: Vec<Breach>,
}

impl Verdict {
    pub(crate) fn new(rule: u8, name: &'static str) -> Verdict {
        Verdict {
            rule,
            name,
            tested: 0,
            nearest: 0.0,
            breaches: Vec::new(),
            allowed: Vec::new(),
        }
    }

    pub(crate) fn allow(&mut self, what: String, lines: impl IntoIterator<Item = usize>) {
        self.allowed.push(Breach {
            what,
            lines: lines.into_iter().collect(),
        });
    }

    pub(crate) fn breach(&mut self, what: String, lines: impl IntoIterator<Item = usize>) {
        self.breaches.push(Breach {
            what,
            lines: lines.into_iter().collect(),
        });
    }

    pub(crate) fn test_if(&mut self, tested: bool) {
        self.tested += u64::from(tested);
    }

    pub(crate) fn approach(&mut self, nearness: f64) {
        self.nearest = self.nearest.max(nearness);
    }

    /// Whether there is no breach of the rule.
    pub fn passed(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// Formats the verdicts as a table for people, followed by the first breaches of each rule with their first lines.
pub fn table(verdicts: &[Verdict], recording: &str) -> String {
    let mut table = comfy_table::Table::new();
    table.load_style(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["rule", "", "kept", "tested", "closest to its bound"]);
    for verdict in verdicts {
        let kept = match verdict.breaches.len() {
            0 => "kept".into(),
            count => format!("BROKEN, {count} times"),
        };
        let nearest = format!("{:.0}%", verdict.nearest * 100.0);
        let tested = verdict.tested.to_string();
        table.add_row([
            verdict.rule.to_string(),
            verdict.name.into(),
            kept,
            tested,
            nearest,
        ]);
    }
    let mut text = format!("{table}\n");
    let lines: Vec<&str> = recording.lines().collect();
    for verdict in verdicts {
        for allowed in &verdict.allowed {
            text += &format!("rule {}, allowed: {}\n", verdict.rule, allowed.what);
        }
        for breach in verdict.breaches.iter().take(SHOWN_BREACHES) {
            text += &format!("rule {}: {}\n", verdict.rule, breach.what);
            for line in breach.lines.iter().take(SHOWN_LINES) {
                text += &format!("  {:>7}  {}\n", line + 1, lines.get(*line).unwrap_or(&""));
            }
        }
    }
    text
}
