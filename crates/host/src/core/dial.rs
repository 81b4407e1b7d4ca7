//! One connection that this host keeps to a node, a peer or the list: open, tried, or waiting for the next
//! try with growing, jittered waits.

use super::LinkId;
use gullsail_scheduler_api::{Instant, Span};
use rand::Rng;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    #[default]
    Idle,
    /// A connection is being made.
    Dialling(LinkId),
    /// It stands, and the other side's first frame is awaited.
    Greeting(LinkId),
    Up(LinkId),
    /// Until the next try.
    Waiting(Instant),
}

#[derive(Clone, Debug, Default)]
pub struct Dial {
    pub state: State,
    failed: u32,
}

impl Dial {
    pub fn link(&self) -> Option<LinkId> {
        match self.state {
            State::Dialling(link) | State::Greeting(link) | State::Up(link) => Some(link),
            State::Idle | State::Waiting(_) => None,
        }
    }

    pub fn up(&self) -> Option<LinkId> {
        if let State::Up(link) = self.state { Some(link) } else { None }
    }

    pub fn is_up(&mut self, link: LinkId) {
        (self.state, self.failed) = (State::Up(link), 0);
    }

    /// The connection is over, or did not come about. Says when to try again: after a wait that doubles with
    /// each failure in a row, of which at least half is kept and the rest drawn, so that hosts which lost the
    /// same node do not come back to it together.
    pub fn lost(&mut self, now: Instant, redial: (Span, Span), rng: &mut impl Rng) -> Instant {
        let longest = redial.0.times(f64::from(1u32 << self.failed.min(20))).min(redial.1);
        let at = now + longest.times(rng.random_range(0.5..=1.0));
        self.failed += 1;
        self.state = State::Waiting(at);
        at
    }
}
