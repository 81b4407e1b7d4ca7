//! What every part of the core uses while it handles an event: the time, the timers, the counters, and the two
//! ways out, to the scheduler and to the runtime.

use super::io::{ConnectionId, Output};
use super::metrics::Metrics;
use super::timer_event::TimerEvent;
use gullsail_scheduler_api::{Event, Instant, Span};
use gullsail_timers::Timers;

/// Interval at which client connections and idle node connections are checked for their age.
pub(super) const IDLE_CHECK_INTERVAL: Span = Span::from_micros(200_000);

/// Passed to the methods of every part.
pub(super) struct Context {
    pub(super) now: Instant,
    /// What the scheduler is told with the next [`super::Core::advance`].
    pub(super) scheduler_events: Vec<Event>,
    /// What the runtime carries out, in this order.
    pub(super) outputs: Vec<Output>,
    pub(super) timers: Timers<TimerEvent>,
    pub(super) metrics: Metrics,
    last_connection: u64,
    idle_check_scheduled: bool,
}

impl Context {
    pub(super) fn new(now: Instant) -> Context {
        Context {
            now,
            scheduler_events: Vec::new(),
            outputs: Vec::new(),
            timers: Timers::default(),
            metrics: Metrics::default(),
            last_connection: 0,
            idle_check_scheduled: false,
        }
    }

    /// The time never runs back.
    pub(super) fn advance_clock(&mut self, now: Instant) {
        self.now = self.now.max(now);
    }

    pub(super) fn set_timer(&mut self, delay: Span, event: TimerEvent) {
        self.timers.set(self.now + delay, event);
    }

    pub(super) fn next_connection_id(&mut self) -> ConnectionId {
        self.last_connection += 1;
        ConnectionId(self.last_connection)
    }

    /// Called whenever a connection is opened; the check is repeated for as long as there are connections.
    pub(super) fn schedule_idle_check(&mut self) {
        if !self.idle_check_scheduled {
            self.idle_check_scheduled = true;
            self.set_timer(IDLE_CHECK_INTERVAL, TimerEvent::IdleCheck);
        }
    }

    /// The timer of the idle check has fired.
    pub(super) fn idle_check_started(&mut self) {
        self.idle_check_scheduled = false;
    }
}
