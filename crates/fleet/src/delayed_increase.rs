//! A share of a limit that is counted within a window. The host that gives up a share may have used it just
//! now, so the host that gains it may use it only one window later; a decrease applies at once. The host uses
//! it for its slow-start share. Token buckets do not need it.

use gullsail_scheduler_api::{Instant, Span};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct HeldSince {
    at: Instant,
    share: u32,
}

/// The least share held at any moment of the last window.
#[derive(Clone, Debug)]
pub struct DelayedIncrease {
    window: Span,
    /// The shares held, as far back as they count; each is larger than those before it.
    held: VecDeque<HeldSince>,
}

impl DelayedIncrease {
    /// `window`: how long an increase is delayed.
    pub fn new(window: Span) -> DelayedIncrease {
        DelayedIncrease {
            window,
            held: VecDeque::new(),
        }
    }

    /// Holds `share` from now on. Returns the share that may be used now, and when that grows next.
    pub fn hold(&mut self, share: u32, now: Instant) -> (u32, Option<Instant>) {
        if self.held.back().is_none_or(|last| last.share != share) {
            while self.held.pop_back_if(|last| last.share >= share).is_some() {}
            self.held.push_back(HeldSince { at: now, share });
        }
        // The first counts until the next has been held for a window.
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
