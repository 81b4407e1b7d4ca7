//! Delays increases of a host's share of a limit that is counted over a sliding window. A host that loses a share may
//! have used it within the last window, so the host that gains it has to wait for one window; a decrease applies at
//! once. Used for slow-start shares. Shares of token buckets need no delay.

use gullsail_scheduler_api::{Instant, Span};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct HeldSince {
    at: Instant,
    share: u32,
}

/// Yields the smallest share that was held at any time of the last window.
#[derive(Clone, Debug)]
pub struct DelayedIncrease {
    window: Span,
    /// The shares that may still be the smallest of the window, oldest first; each is larger than the one before.
    held: VecDeque<HeldSince>,
}

impl DelayedIncrease {
    /// Creates a state without a share; increases are delayed by `window`.
    pub fn new(window: Span) -> DelayedIncrease {
        DelayedIncrease {
            window,
            held: VecDeque::new(),
        }
    }

    /// Records that the host holds `share` from now on. Returns the share that it may use now, and when that grows
    /// next; `None`: no increase is pending.
    pub fn hold(&mut self, share: u32, now: Instant) -> (u32, Option<Instant>) {
        if self.held.back().is_none_or(|last| last.share != share) {
            while self.held.pop_back_if(|last| last.share >= share).is_some() {}
            self.held.push_back(HeldSince { at: now, share });
        }
        // The oldest share applies until the next one has been held for a window.
        while self
            .held
            .get(1)
            .is_some_and(|next| now - next.at >= self.window)
        {
            self.held.pop_front();
        }
        let usable = self.held.front().map_or(0, |first| first.share);
        let next = self.held.get(1).map(|next| next.at + self.window);
        (usable, next)
    }
}
