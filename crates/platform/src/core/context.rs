//! State that all modules of the core share while an event is handled: the time, the timers, the counters, and the
//! queues of events for the scheduler and of outputs for the runtime.

use super::io::{ConnectionId, Output};
use super::metrics::Metrics;
use super::timer_event::TimerEvent;
use gullsail_scheduler_api::{Event, Instant, Span};
use gullsail_timers::Timers;

/// Interval between checks for client connections and idle node connections that have exceeded their age.
pub(super) const IDLE_CHECK_INTERVAL: Span = Span::from_micros(200_000);

/// Passed by mutable reference to methods of the core's modules.
pub(super) struct Context {
    /// The time that the caller of the core passed last.
    pub(super) now: Instant,
    /// Events that the next [`super::Core::advance`] passes to the scheduler, in order.
    pub(super) scheduler_events: Vec<Event>,
    /// Outputs that the runtime has not taken yet, in order.
    pub(super) outputs: Vec<Output>,
    pub(super) timers: Timers<TimerEvent>,
    pub(super) metrics: Metrics,
    /// The number of the connection created last. 0 if there was none.
    last_connection: u64,
    /// The timer of the idle check is set.
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

    /// Sets the time. A time before the present one is ignored.
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

    /// Sets the timer of the idle check unless it is set. Called when a connection is opened, and after each check
    /// while there are connections.
    pub(super) fn schedule_idle_check(&mut self) {
        if !self.idle_check_scheduled {
            self.idle_check_scheduled = true;
            self.set_timer(IDLE_CHECK_INTERVAL, TimerEvent::IdleCheck);
        }
    }

    /// Records that the timer of the idle check has fired, so that the next check can be scheduled.
    pub(super) fn idle_check_started(&mut self) {
        self.idle_check_scheduled = false;
    }
}
