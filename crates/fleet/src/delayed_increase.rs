//! A part that counts work within a window, and not a store of tokens: who gives some up may have used it just now, so who
//! gains it may use it only a window later. What is lost is lost at once.

use gullsail_scheduler_api::{Instant, Span};
use std::collections::VecDeque;

/// The least that was held at any moment of the last window.
#[derive(Clone, Debug)]
pub struct DelayedIncrease {
    window: Span,
    /// Since when what was held, as far back as it counts; each is larger than those before it.
    held: VecDeque<(Instant, u32)>,
}

impl DelayedIncrease {
    pub fn new(window: Span) -> DelayedIncrease {
        DelayedIncrease { window, held: VecDeque::new() }
    }

    /// So much is held from now on; what may be used of it now, and when that is looked at again at the latest.
    pub fn hold(&mut self, share: u32, now: Instant) -> (u32, Option<Instant>) {
        if self.held.back().is_none_or(|last| last.1 != share) {
            while self.held.pop_back_if(|last| last.1 >= share).is_some() {}
            self.held.push_back((now, share));
        }
        // The first counts until the next has been held for a window.
        while self.held.get(1).is_some_and(|next| now - next.0 >= self.window) {
            self.held.pop_front();
        }
        let next = self.held.get(1).map(|next| next.0 + self.window);
        (self.held.front().map_or(0, |first| first.1), next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_gained_counts_a_window_later_and_what_is_lost_at_once() {
        // at, held from then on, may be used, looked at again
        let cases = [
            (0, 100, 100, None),
            (10, 300, 100, Some(1010)),
            (500, 200, 100, Some(1500)),
            (600, 400, 100, Some(1500)),
            (1500, 400, 200, Some(1600)),
            (1600, 400, 400, None),
            (1700, 50, 50, None),
            (1800, 400, 50, Some(2800)),
            (2800, 400, 400, None),
        ];
        let ms = |ms: i64| Instant::from_micros(ms * 1000);
        let mut delayed_increase = DelayedIncrease::new(Span::from_millis(1000.0));
        for (at, share, used, next) in cases {
            assert_eq!(delayed_increase.hold(share, ms(at)), (used, next.map(ms)), "at {at}");
        }
    }
}
