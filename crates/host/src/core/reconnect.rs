//! The state of a connection that this host opens to a node, a peer or the endpoint list, and opens again when it is
//! lost. The backoff between attempts to connect grows exponentially with jitter.

use super::ids::ConnectionId;
use gullsail_scheduler_api::{Instant, Span};
use rand::Rng;

/// The backoff doubles this often at most, so that the factor cannot overflow. The configured longest backoff is
/// reached after fewer failures.
const MAX_DOUBLINGS: u32 = 20;

/// The state of a connection that this host opens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionState {
    /// There is no connection, and one may be opened at once.
    #[default]
    Idle,
    /// The connection is being established.
    Connecting(ConnectionId),
    /// The connection is established, and the other side has not sent its first frame.
    Identifying(ConnectionId),
    /// The other side has identified itself.
    Up(ConnectionId),
    /// There is no connection, and none may be opened before this time.
    BackingOff(Instant),
}

/// A connection that this host opens, and opens again when it is lost.
#[derive(Clone, Debug, Default)]
pub struct OutboundConnection {
    /// Whether there is a connection, how far it is established, and otherwise when one may be opened.
    pub state: ConnectionState,
    /// How often in a row the connection ended or could not be established, since it was up.
    failures: u32,
}

impl OutboundConnection {
    /// Returns the connection, also while it is being established; `None`: there is none.
    pub fn link(&self) -> Option<ConnectionId> {
        match self.state {
            ConnectionState::Connecting(link)
            | ConnectionState::Identifying(link)
            | ConnectionState::Up(link) => Some(link),
            ConnectionState::Idle | ConnectionState::BackingOff(_) => None,
        }
    }

    /// Returns the connection if the other side has identified itself on it.
    pub fn up(&self) -> Option<ConnectionId> {
        if let ConnectionState::Up(link) = self.state {
            Some(link)
        } else {
            None
        }
    }

    /// Records that the other side has identified itself.
    pub fn mark_up(&mut self, link: ConnectionId) {
        self.state = ConnectionState::Up(link);
        self.failures = 0;
    }

    /// Records that the connection ended or could not be established. Returns when to try again. `backoff`: the
    /// first and the longest backoff. The backoff doubles with each failure in a row. It is multiplied by a random
    /// factor from 0.5 to 1, so that hosts that lost the same node do not reconnect to it together.
    pub fn lost(&mut self, now: Instant, backoff: (Span, Span), rng: &mut impl Rng) -> Instant {
        let (first, longest) = backoff;
        let doubled = first.times(f64::from(1u32 << self.failures.min(MAX_DOUBLINGS)));
        let wait = doubled.min(longest);
        let at = now + wait.times(rng.random_range(0.5..=1.0));
        self.failures += 1;
        self.state = ConnectionState::BackingOff(at);
        at
    }
}
