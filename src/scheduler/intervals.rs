//! Intervals that several components of the scheduler use.

use gullsail_scheduler_api::Span;

/// Interval between reviews of all volumes. Reviews take place at multiples of this interval on the hosts'
/// common clock. It is also the shortest retry delay that a rejection gives to a client, unless the configured
/// maximum is shorter. A longer interval makes estimates lag; a shorter one costs more processor time.
pub(super) const EPOCH: Span = Span::from_micros(250_000);

/// Time constant of a volume's demand, and the age from which a demand report is ignored, as in docs/design.md.
/// With a longer window, shares follow the demand late; with a shorter one, single requests change them.
pub(super) const DEMAND_WINDOW: Span = Span::from_micros(1_000_000);

/// Interval between reviews of a wait queue. It is small compared with any latency objective. A longer interval
/// sheds requests late; a shorter one costs more processor time.
pub(super) const QUEUE_REVIEW_INTERVAL: Span = Span::from_micros(10_000);
