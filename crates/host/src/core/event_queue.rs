//! The queue of events for the scheduler's next step. Their order matters: the scheduler handles them one after
//! another.

use gullsail_scheduler_api::Event;

/// Events for the scheduler's next step, in the order in which it will handle them.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: Vec<Event>,
}

impl EventQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Appends an event.
    pub(super) fn push(&mut self, event: Event) {
        self.events.push(event);
    }

    /// Inserts an event right after the last event for which `comes_first` is true, or at the front if there is none.
    pub(super) fn insert_after_last(&mut self, event: Event, comes_first: impl Fn(&Event) -> bool) {
        let last = self.events.iter().rposition(comes_first);
        let place = last.map_or(0, |place| place + 1);
        self.events.insert(place, event);
    }

    /// Removes and returns all events, in their order.
    pub(super) fn drain(&mut self) -> std::vec::Drain<'_, Event> {
        self.events.drain(..)
    }
}
