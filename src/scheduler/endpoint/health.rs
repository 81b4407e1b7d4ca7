//! Health of one endpoint: its mean latency, whether it has gone silent, and how often it may be probed.

use super::window::EndedAttempt;
use crate::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{AttemptOutcome, Instant, Span};

/// Time constant of the mean latency and of the answer rate. Longer, and an overload is noticed late; shorter,
/// and a single slow answer decides.
const LATENCY_WINDOW: Span = Span::from_micros(1_000_000);

/// Smallest mean latency assumed, in ms; also the latency before the first answer. It is shorter than any
/// usual latency objective, so an unknown endpoint is tried.
const MIN_LATENCY_MS: f64 = 20.0;

/// A timed-out attempt counts with this many times its latency. The attempt was cut short, so its real
/// latency is unknown but longer.
const TIMEOUT_LATENCY_FACTOR: f64 = 2.0;

/// The endpoint is silent when an attempt has been in flight for this many mean latencies and no answer to any
/// attempt came since. Smaller, and a slow answer is taken for a stall; larger, and more requests are sent to
/// a dead node.
const SILENT_AFTER_LATENCIES: f64 = 3.0;

/// A silent endpoint is probed again after this fraction of its silence, so probes become ever rarer.
const PROBE_BACKOFF: f64 = 0.5;

/// Below this many answers in [`LATENCY_WINDOW`], a window for this endpoint alone would react only after the
/// overload is over. Such endpoints also count against the window of `sparse_traffic`.
const SPARSE_ANSWERS: f64 = 0.5;

/// The median answer takes this fraction of the mean latency, because latencies are skewed. An attempt is
/// expected to end after this fraction of the mean. Larger, and requests that would be in time are shed; smaller,
/// and more attempts are late.
pub(crate) const MEDIAN_TO_MEAN_LATENCY: f64 = 0.7;

/// What answers and timeouts tell of one endpoint.
pub(crate) struct EndpointHealth {
    /// Sum of latencies, in seconds.
    latency_sum: DecayingSum,
    /// Number of latencies in the sum.
    answers: DecayingSum,
    last_response: Instant,
    last_sent: Instant,
    timeouts_in_row: u32,
}

impl EndpointHealth {
    pub(crate) fn new(now: Instant) -> Self {
        EndpointHealth {
            latency_sum: DecayingSum::default(),
            answers: DecayingSum::default(),
            last_response: now,
            last_sent: now,
            timeouts_in_row: 0,
        }
    }

    /// The endpoint has restarted, or has answered: it is not silent.
    pub(crate) fn record_alive(&mut self, now: Instant) {
        self.last_response = now;
        self.timeouts_in_row = 0;
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.last_sent = now;
    }

    /// Takes in the end of an attempt.
    pub(crate) fn record_ended(&mut self, ended: &EndedAttempt, now: Instant) {
        use AttemptOutcome::{Failed, Rejected, Succeeded, TimedOut};
        match ended.outcome {
            Succeeded | Failed | Rejected => self.record_alive(now),
            TimedOut => self.timeouts_in_row += 1,
            _ => {}
        }
        if let Some(counted) = self.counted_latency(ended) {
            self.latency_sum.add(now, LATENCY_WINDOW, counted.secs());
            self.answers.add(now, LATENCY_WINDOW, 1.0);
        }
    }

    /// The latency that an outcome adds to the mean, if any. Errors and rejections come fast and timeouts are
    /// cut short; counted as they are, an overloaded node would look like the fastest one.
    fn counted_latency(&self, ended: &EndedAttempt) -> Option<Span> {
        match ended.outcome {
            AttemptOutcome::Succeeded => Some(ended.latency),
            AttemptOutcome::Failed | AttemptOutcome::Rejected => {
                Some(ended.latency.max(ended.latency_objective))
            }
            AttemptOutcome::TimedOut => Some(
                ended
                    .latency
                    .times(TIMEOUT_LATENCY_FACTOR)
                    .max(self.mean_latency()),
            ),
            _ => None,
        }
    }

    /// The mean of the latencies counted recently.
    pub(crate) fn mean_latency(&self) -> Span {
        let mean_secs = self.latency_sum.last() / self.answers.last().max(1e-9);
        Span::from_millis(mean_secs * 1e3).max(Span::from_millis(MIN_LATENCY_MS))
    }

    /// The mean latency, halved for each second without an answer, so that an idle endpoint is tried again.
    pub(crate) fn expected_latency(&self, now: Instant) -> Span {
        let quiet_secs = (now - self.last_response).secs().max(0.0);
        self.mean_latency().times(0.5f64.powf(quiet_secs))
    }

    /// True if the oldest attempt in flight waits for far longer than usual and nothing was heard since.
    pub(crate) fn silent(&self, oldest_in_flight: Option<Instant>, now: Instant) -> bool {
        let patience = self.mean_latency().times(SILENT_AFTER_LATENCIES);
        oldest_in_flight.is_some_and(|sent_at| now - sent_at.max(self.last_response) > patience)
    }

    /// Whether the endpoint has sparse traffic from this host.
    pub(crate) fn answers_rarely(&self, now: Instant) -> bool {
        self.answers.clone().read(now, LATENCY_WINDOW) < SPARSE_ANSWERS
    }

    /// The time since the last attempt was sent.
    pub(crate) fn since_sent(&self, now: Instant) -> Span {
        now - self.last_sent
    }

    /// After two timeouts in a row this host sends at most one attempt in `probe_interval`. It guards against
    /// all hosts probing one node at the same time. It harms a node that was late twice for reasons of its
    /// own: its next attempt waits too.
    pub(crate) fn must_wait_to_probe(&self, probe_interval: Span, now: Instant) -> bool {
        self.timeouts_in_row > 1 && self.since_sent(now) < probe_interval
    }

    /// Whether a silent endpoint may be sent its next probe: a single attempt.
    pub(crate) fn probe_due(&self, probe_interval: Span, now: Instant) -> bool {
        let silence = now - self.last_response;
        self.since_sent(now) > silence.times(PROBE_BACKOFF).max(probe_interval)
    }
}
