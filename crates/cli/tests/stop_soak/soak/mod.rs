//! The stop soak: a host is told to stop while clients go on using their connections until the kill. Each seed draws times,
//! clients, nodes that hang, signals in series, a crowd, slow readers, bodies, several requests at once, and a node or
//! discovery that falls silent in the same second.
//!
//! The verdict comes from the clients' end and the kernel there, not from the host: every request that was written whole to
//! a connection whose end had not come gets one whole answer in time, except what the platform allows.

mod clients;
mod draw;
mod operators;
mod own_host;
mod platform_host;
mod verdict;

/// The rig of the tests of the platform's host. A run uses a part of it.
#[allow(dead_code)]
#[path = "../../platform/rig.rs"]
mod platform_rig;

/// The client of the tests of the fleet.
#[path = "../../fleet/client.rs"]
mod frame_client;

use draw::Draw;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use verdict::{Sums, Verdict, shown};

/// Lines of a failed run's log that are shown.
const SHOWN_LOG_LINES: usize = 25;

/// Which host is soaked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostKind {
    /// `gullsail platform`.
    Platform,
    /// `gullsail host`.
    Own,
}

impl HostKind {
    /// Its name on the command line.
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

/// What came of all runs.
#[derive(Default)]
pub struct Report {
    sums: Sums,
    /// Of each failed seed what was seen.
    pub failed: Vec<(u64, String)>,
    runs: usize,
}

impl Report {
    /// One line on all runs.
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

/// Plays these seeds, so many at once. `on_failure` is told of each that fails.
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

/// A failed run: its command, the requests' stories, what was drawn and the end of the host's log.
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
