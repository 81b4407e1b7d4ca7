//! Health of one endpoint: its mean latency, whether it is silent, and how often it may be probed.

use super::window::EndedAttempt;
use crate::decaying_sum::DecayingSum;
use gullsail_scheduler_api::{AttemptOutcome, Instant, Span};

/// Time constant of the mean latency and of the answer rate. A longer one notices an overload late; with a
/// shorter one, a single slow answer dominates the mean.
const LATENCY_WINDOW: Span = Span::from_micros(1_000_000);

/// Lower bound of the mean latency, in ms, and its value before the first answer. It is shorter than any usual
/// latency objective, so that attempts are sent to an endpoint that has not answered yet.
const MIN_LATENCY_MS: f64 = 20.0;

/// Factor on the latency of a timed-out attempt. The attempt was cut short, so its real latency is unknown but
/// longer.
const TIMEOUT_LATENCY_FACTOR: f64 = 2.0;

/// The endpoint counts as silent when an attempt has been in flight for this many mean latencies and no answer
/// to any attempt has arrived in that time. A smaller number takes a slow answer for a stall; a larger one
/// sends more requests to a failed node.
const SILENT_AFTER_LATENCIES: f64 = 3.0;

/// The time between two probes of a silent endpoint, as a fraction of the time since its last answer. The
/// interval between probes therefore grows.
const PROBE_BACKOFF: f64 = 0.5;

/// An endpoint with fewer answers than this in [`LATENCY_WINDOW`] has sparse traffic. Its own congestion window
/// would react only after an overload is over, so its attempts also count against a shared window of
/// `sparse_traffic`.
const SPARSE_ANSWERS: f64 = 0.5;

/// Ratio of the median latency to the mean. It is below one because the distribution of latencies is skewed. An
/// attempt is expected to end after the median. A larger ratio sheds requests that would be in time; a smaller
/// one sends more attempts that end late.
pub(crate) const MEDIAN_TO_MEAN_LATENCY: f64 = 0.7;

/// Latencies, answers and timeouts of one endpoint.
pub(crate) struct EndpointHealth {
    /// Sum of latencies, in seconds.
    latency_sum: DecayingSum,
    /// Number of latencies in `latency_sum`, with the same decay.
    answers: DecayingSum,
    /// Time of the last answer or restart of the endpoint, or else of its first listing.
    last_response: Instant,
    last_sent: Instant,
    /// Number of timeouts since `last_response`.
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

    /// Records a restart or an answer of the endpoint, after which it is not silent.
    pub(crate) fn reset_silence(&mut self, now: Instant) {
        self.last_response = now;
        self.timeouts_in_row = 0;
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.last_sent = now;
    }

    /// Records the end of an attempt.
    pub(crate) fn record_ended(&mut self, ended: &EndedAttempt, now: Instant) {
        use AttemptOutcome::{Failed, Rejected, Succeeded, TimedOut};
        match ended.outcome {
            Succeeded | Failed | Rejected => self.reset_silence(now),
            TimedOut => self.timeouts_in_row += 1,
            _ => {}
        }
        if let Some(counted) = self.counted_latency(ended) {
            self.latency_sum.add(now, LATENCY_WINDOW, counted.secs());
            self.answers.add(now, LATENCY_WINDOW, 1.0);
        }
    }

    /// The latency that an attempt adds to the mean, if any. It is raised for errors and rejections, which
    /// arrive fast, and for timeouts, which are cut short. Otherwise an overloaded node would look like the
    /// fastest one.
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

    /// The mean of the recent latencies, at least [`MIN_LATENCY_MS`].
    pub(crate) fn mean_latency(&self) -> Span {
        let mean_secs = self.latency_sum.last() / self.answers.last().max(1e-9);
        Span::from_millis(mean_secs * 1e3).max(Span::from_millis(MIN_LATENCY_MS))
    }

    /// The mean latency, halved for each second without an answer, so that requests are again sent to an
    /// endpoint that was slow before.
    pub(crate) fn expected_latency(&self, now: Instant) -> Span {
        let quiet_secs = (now - self.last_response).secs().max(0.0);
        self.mean_latency().times(0.5f64.powf(quiet_secs))
    }

    /// Whether, for far longer than the mean latency, the oldest attempt has been in flight and no answer to any
    /// attempt has arrived. False if no attempt is in flight.
    pub(crate) fn is_silent(&self, oldest_in_flight: Option<Instant>, now: Instant) -> bool {
        let silent_after = self.mean_latency().times(SILENT_AFTER_LATENCIES);
        oldest_in_flight.is_some_and(|sent_at| now - sent_at.max(self.last_response) > silent_after)
    }

    /// Whether the endpoint has had too few answers to this host recently for its own window to react in time.
    pub(crate) fn has_sparse_traffic(&self, now: Instant) -> bool {
        self.answers.clone().read(now, LATENCY_WINDOW) < SPARSE_ANSWERS
    }

    /// The time since the last attempt was sent.
    pub(crate) fn since_sent(&self, now: Instant) -> Span {
        now - self.last_sent
    }

    /// Whether an attempt must wait because two or more attempts have timed out since the last answer and the last
    /// attempt was sent less than `probe_interval` ago. This keeps all hosts from probing one node at the same
    /// time. The drawback is that a node with two unrelated timeouts in a row is limited too.
    pub(crate) fn must_wait_to_probe(&self, probe_interval: Span, now: Instant) -> bool {
        self.timeouts_in_row > 1 && self.since_sent(now) < probe_interval
    }

    /// Whether a silent endpoint may be sent its next probe, which is a single attempt.
    pub(crate) fn probe_due(&self, probe_interval: Span, now: Instant) -> bool {
        let silence = now - self.last_response;
        self.since_sent(now) > silence.times(PROBE_BACKOFF).max(probe_interval)
    }
}
