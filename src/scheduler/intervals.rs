//! Intervals that several components of the scheduler keep to.

use gullsail_scheduler_api::Span;

/// Interval between reviews of all volumes, at multiples of it on the hosts' common clock. It is also the
/// shortest wait advised to a client. Longer, and estimates lag; shorter, and reviews cost more processor time.
pub(super) const EPOCH: Span = Span::from_micros(250_000);

/// Time constant of a volume's demand, and the age at which a demand report is too old to count, as in
/// docs/design.md. Longer, and shares follow the demand late; shorter, and single requests move them.
pub(super) const DEMAND_WINDOW: Span = Span::from_micros(1_000_000);

/// Interval between reviews of a wait queue. It is small against any latency objective. Longer, and requests
/// are shed late; shorter, and reviews cost more processor time.
pub(super) const QUEUE_REVIEW_INTERVAL: Span = Span::from_micros(10_000);
