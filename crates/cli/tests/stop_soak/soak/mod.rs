//! The stop soak: a host gets SIGTERM while clients continue to use their connections until the kill. Each seed draws
//! times, clients, nodes that hang, series of signals, a crowd of clients, slow readers, bodies, several requests at
//! once, and a node or discovery that falls silent within the same second.
//!
//! The verdict rests on what clients and the kernel observe at the clients' end, not on the host's account: every
//! request that was completely written to a connection before the connection's end arrived gets one complete answer in
//! time, except for the losses that the platform allows.

mod clients;
mod draw;
mod operators;
mod own_host;
mod platform_host;
mod verdict;

/// The rig of the tests of `gullsail platform`. The soak uses a part of it.
#[allow(dead_code)]
#[path = "../../platform/rig.rs"]
mod platform_rig;

/// The client of the tests of a fleet.
#[path = "../../fleet/client.rs"]
mod frame_client;

use draw::Draw;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use verdict::{Sums, Verdict, shown};

/// How many lines of the host's log the report of a failed run shows.
const SHOWN_LOG_LINES: usize = 25;

/// The command whose host is tested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostKind {
    /// `gullsail platform`.
    Platform,
    /// `gullsail host`.
    Own,
}

impl HostKind {
    /// The value of the benchmark's option `--host`.
    pub fn name(self) -> &'static str {
        match self {
            HostKind::Platform => "platform",
            HostKind::Own => "host",
        }
    }

    fn play(self, seed: u64) -> (Verdict, Vec<String>) {
        let draw = Draw::new(seed);
        match self {
            HostKind::Platform => platform_host::play(&draw),
            HostKind::Own => own_host::play(&draw),
        }
    }
}

/// The results of all runs.
#[derive(Default)]
pub struct Report {
    sums: Sums,
    /// The failed seeds, each with the text that describes the failure.
    pub failed: Vec<(u64, String)>,
    runs: usize,
}

impl Report {
    /// One line with the sums of all runs.
    pub fn summary(&self, kind: HostKind) -> String {
        let Sums {
            requests,
            answered,
            crossed,
            ignored_announcement,
            killed,
            commands,
            worst_margin,
        } = self.sums;
        format!(
            "{}: {} seeds, {} failed; {requests} requests, {answered} answered, {crossed} crossed a close, \
             {ignored_announcement} unanswered behind an announced one, {killed} unanswered at the kill as allowed; {commands} commands of operators; worst margin {:?}",
            kind.name(),
            self.runs,
            self.failed.len(),
            worst_margin.unwrap_or_default(),
        )
    }
}

/// Plays these seeds, `at_once` of them concurrently. Calls `on_failure` with a description of each failed run.
pub fn play(
    kind: HostKind,
    seeds: impl IntoIterator<Item = u64>,
    at_once: usize,
    on_failure: impl Fn(&str) + Sync,
) -> Report {
    let queue: Mutex<VecDeque<u64>> = Mutex::new(seeds.into_iter().collect());
    let report = Mutex::new(Report::default());
    let next = || {
        queue
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    };
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                while let Some(seed) = next() {
                    let (verdict, log) = kind.play(seed);
                    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
                    report.runs += 1;
                    report.sums.add(&verdict.sums);
                    if !verdict.failures.is_empty() {
                        let text = failure_text(kind, seed, &verdict, &log);
                        on_failure(&text);
                        report.failed.push((seed, text));
                    }
                }
            });
        }
    });
    let mut report = report.into_inner().unwrap_or_else(PoisonError::into_inner);
    report.failed.sort_by_key(|(seed, _)| *seed);
    report
}

/// Describes a failed run: the command that repeats it, the failed requests, the run's parameters and the end of the
/// host's log.
fn failure_text(kind: HostKind, seed: u64, verdict: &Verdict, log: &[String]) -> String {
    let from = log.len().saturating_sub(SHOWN_LOG_LINES);
    format!(
        "cargo bench -p gullsail-cli --bench stop_soak -- --host {} --seeds {seed}..{seed}\n  {} failures\n  {}\n  {:?}\n  {}",
        kind.name(),
        verdict.failures.len(),
        shown(&verdict.failures),
        Draw::new(seed),
        log[from..].join("\n  "),
    )
}
