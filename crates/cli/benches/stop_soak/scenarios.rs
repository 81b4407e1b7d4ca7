//! Plays scenarios of a fleet with real processes, each on many seeds.

use std::collections::VecDeque;
use std::process::Command;
use std::sync::{Mutex, PoisonError};

/// Number of lines shown from the end of a failed run's report, where its verdict is.
const SHOWN_LINES: usize = 30;

/// One run of a scenario.
#[derive(Clone, Debug)]
struct ScenarioRun {
    scenario: String,
    seed: u64,
}

impl ScenarioRun {
    /// Plays the scenario. The error holds the command and the end of its report.
    fn play(&self) -> Result<(), String> {
        let seed = self.seed.to_string();
        let arguments = ["scenario", &self.scenario, "--seed", &seed];
        let result = Command::new(env!("CARGO_BIN_EXE_gullsail"))
            .args(arguments)
            .output();
        let output = result.map_err(|error| format!("gullsail does not start: {error}"))?;
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

/// Plays each scenario on each seed, `at_once` runs at a time. Returns the number of failed runs.
pub fn play(
    scenarios: &[String],
    seeds: std::ops::RangeInclusive<u64>,
    at_once: usize,
    on_failure: impl Fn(&str) + Sync,
) -> usize {
    let runs_of_scenario = |scenario: &String| {
        let scenario = scenario.clone();
        seeds.clone().map(move |seed| ScenarioRun {
            scenario: scenario.clone(),
            seed,
        })
    };
    let queue: Mutex<VecDeque<ScenarioRun>> =
        Mutex::new(scenarios.iter().flat_map(runs_of_scenario).collect());
    let failed = Mutex::new(0);
    let next_run = || {
        queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    };
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                while let Some(run) = next_run() {
                    if let Err(failure) = run.play() {
                        on_failure(&failure);
                        *failed.lock().unwrap_or_else(PoisonError::into_inner) += 1;
                    }
                }
            });
        }
    });
    failed.into_inner().unwrap_or_else(PoisonError::into_inner)
}
