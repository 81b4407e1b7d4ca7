//! What is found for each rule, and how it is shown to people. Serialized for `--json`.

use serde::Serialize;

/// Breaches shown of each rule, and lines of the recording shown of each breach.
const SHOWN_BREACHES: usize = 3;
const SHOWN_LINES: usize = 12;

/// One breach of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// What was seen.
    pub what: String,
    /// The lines of the recording that show it, counted from 0.
    pub lines: Vec<usize>,
}

/// What is found for one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The rule's number.
    pub rule: u8,
    /// The rule in a few words.
    pub name: &'static str,
    /// How often something could have broken it.
    pub tested: u64,
    /// How near it came to its bound: 1 is at the bound, more is a breach.
    pub nearest: f64,
    /// In the order in which they were found.
    pub breaches: Vec<Breach>,
    /// What would be a breach but for evidence from outside the host, which each names.
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

    /// Whether the rule was kept.
    pub fn passed(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// The verdicts as a table for people, each breach with some of its lines below.
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
