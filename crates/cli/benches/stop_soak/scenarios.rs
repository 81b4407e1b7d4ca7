//! Scenarios of a fleet as processes, each on many seeds.

use std::collections::VecDeque;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Lines of a failed play's report that are shown: its verdict stands at the end.
const SHOWN_LINES: usize = 30;

/// One play.
#[derive(Clone, Debug)]
struct Play {
    scenario: String,
    seed: u64,
}

impl Play {
    /// `Err`: its command, and how its report ends.
    fn run(&self) -> Result<(), String> {
        let seed = self.seed.to_string();
        let arguments = ["scenario", &self.scenario, "--seed", &seed];
        let played = Command::new(env!("CARGO_BIN_EXE_gullsail"))
            .args(arguments)
            .output();
        let output = played.map_err(|error| format!("gullsail does not start: {error}"))?;
        if output.status.success() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&output.stdout);
        let lines: Vec<&str> = text.lines().collect();
        let from = lines.len().saturating_sub(SHOWN_LINES);
        Err(format!(
            "gullsail {}: {}\n  {}",
            arguments.join(" "),
            output.status,
            lines[from..].join("\n  ")
        ))
    }
}

/// Plays each scenario on each seed, so many at once. Returns how many failed.
pub fn play(
    scenarios: &[String],
    seeds: std::ops::RangeInclusive<u64>,
    at_once: usize,
    on_failure: impl Fn(&str) + Sync,
) -> usize {
    let of_scenario = |scenario: &String| {
        let scenario = scenario.clone();
        seeds.clone().map(move |seed| Play {
            scenario: scenario.clone(),
            seed,
        })
    };
    let queue: Mutex<VecDeque<Play>> = Mutex::new(scenarios.iter().flat_map(of_scenario).collect());
    let failed = Mutex::new(0);
    let next = || {
        queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    };
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                while let Some(play) = next() {
                    if let Err(story) = play.run() {
                        on_failure(&story);
                        *failed.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                    }
                }
            });
        }
    });
    failed.into_inner().unwrap_or_else(PoisonError::into_inner)
}
