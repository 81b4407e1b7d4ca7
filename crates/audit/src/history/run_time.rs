//! How long a process could run: the script may have paused it, or the kernel may have counted waits for a processor.

use super::{History, Span, WaitSeen};

impl History {
    /// An upper bound of the time, in microseconds, that a process ran between two points in time: the time without
    /// pauses and waits. A wait counts only as far as its sample proves that it was between the two points.
    pub fn run_time(&self, process: &str, from: i64, to: i64) -> i64 {
        let mut not_run: Vec<Span> = self.pauses(process);
        let mut short_waits = 0;
        for wait in self.waits.get(process).into_iter().flatten() {
            match certain_span(wait) {
                Some(span) => not_run.push(span),
                None if wait.since >= from && wait.at <= to => short_waits += wait.waited,
                None => {}
            }
        }
        to - from - covered(not_run, from, to) - short_waits
    }
}

/// The span in which the process certainly waited, if the waits of a sample are longer than its interval: they ended
/// after the previous sample, so the wait had begun before that sample and lasted at least until it.
fn certain_span(wait: &WaitSeen) -> Option<Span> {
    let began = wait.at - wait.waited;
    (began < wait.since).then_some(Span {
        from: began,
        to: wait.since,
    })
}

/// The total time between `from` and `to` that the spans cover; overlaps count once.
fn covered(mut spans: Vec<Span>, from: i64, to: i64) -> i64 {
    spans.sort_by_key(|span| span.from);
    let mut covered = 0;
    let mut until = from;
    for span in spans {
        let end = span.to.min(to);
        covered += (end - span.from.max(until)).max(0);
        until = until.max(end);
    }
    covered
}
