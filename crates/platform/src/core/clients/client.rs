//! One connection of a client: its state, and when it may be closed.

use super::super::bounds::BOUNDS;
use super::arrival_times::ArrivalTimes;
use gullsail_http::Decoder;
use gullsail_scheduler_api::{Instant, RequestId, Span};

/// A connection that is idle between messages for this long is closed: the shortest time that the platform's pages
/// allow. Connecting anew costs little.
pub(super) const IDLE_TIMEOUT: Span = Span::from_micros(2_000_000);
/// A new connection whose first message is incomplete keeps its slot for at least this time when others need one.
const MIN_FIRST_MESSAGE_TIME: Span = Span::from_micros(300_000);

#[derive(Debug, PartialEq)]
pub(super) enum ClientState {
    /// Between messages, or receiving one.
    Reading,
    /// Its request is open.
    Busy {
        request: RequestId,
        keep_alive: bool,
    },
    /// Its response is being written; what was received behind the request is parsed after that.
    Responding,
    /// Its last response is with its task, which closes the connection after it, or keeps it open if more was received
    /// meanwhile.
    Ending,
    /// Its last response is being written, and nothing more is read.
    Finishing,
    /// Everything is written and this side's direction is closed; the client has not closed its own yet.
    WriteClosed,
}

/// The order in which connections are closed in favour of new ones:
/// 1. those that never sent anything, however young: usual clients send at once, and silent connections may
///    arrive faster than any minimum age would let them go;
/// 2. idle ones after [`IDLE_TIMEOUT`];
/// 3. those whose first message stays incomplete.
///
/// Many clients that send one request each and stay can therefore hold all slots for [`IDLE_TIMEOUT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    NeverSent,
    Idle,
    SlowFirstMessage,
}

/// What a client sent further ahead of its responses than is buffered. Its requests are counted, not held, and refused
/// once the open one has its response.
#[derive(Debug, Default)]
pub(super) struct InputOverflow {
    /// Complete messages that wait for a refusal.
    pub(super) refused: usize,
    /// Bytes received since.
    pub(super) bytes: usize,
    /// Input is no longer decoded: it is too much, or no message.
    pub(super) discarding: bool,
}

#[derive(Debug)]
pub(super) struct Client {
    pub(super) decoder: Decoder,
    pub(super) state: ClientState,
    /// When it connected, when its last message was answered, or when the first byte of the present message was
    /// received.
    pub(super) since: Instant,
    pub(super) messages_answered: u64,
    /// Bytes received and handled. An order to close the connection names them; it has no effect if the
    /// connection's task has read more.
    pub(super) bytes_received: u64,
    /// When the bytes were received that are buffered.
    pub(super) arrivals: ArrivalTimes,
    /// More was received behind an open request than is buffered.
    pub(super) overflow: Option<InputOverflow>,
    /// It is idle and ordered to close unless something was received meanwhile.
    pub(super) closing: bool,
}

impl Client {
    pub(super) fn new(now: Instant) -> Client {
        Client {
            decoder: Decoder::requests(BOUNDS),
            state: ClientState::Reading,
            since: now,
            messages_answered: 0,
            bytes_received: 0,
            arrivals: ArrivalTimes::default(),
            overflow: None,
            closing: false,
        }
    }

    /// Its connection is about to end, and its slot becomes available then.
    pub(super) fn is_ending(&self) -> bool {
        self.closing
            || matches!(
                self.state,
                ClientState::Ending | ClientState::Finishing | ClientState::WriteClosed
            )
    }

    /// A response is being prepared or written: what is received waits until it is written.
    pub(super) fn is_responding(&self) -> bool {
        matches!(
            self.state,
            ClientState::Busy { .. } | ClientState::Responding | ClientState::Ending
        )
    }

    /// At least one message was answered, and none is being received.
    pub(super) fn is_between_messages(&self) -> bool {
        self.decoder.is_empty() && self.messages_answered > 0
    }

    /// A message is being received.
    pub(super) fn has_incomplete_message(&self) -> bool {
        self.state == ClientState::Reading && !self.decoder.is_empty()
    }

    /// Nothing is received or answered on it. A connection on which nothing was answered yet counts only if it
    /// has reached `min_age`: the first message of a younger one may be on its way.
    pub(super) fn is_idle(&self, min_age: Span, now: Instant) -> bool {
        self.state == ClientState::Reading
            && self.decoder.is_empty()
            && (self.messages_answered > 0 || now - self.since >= min_age)
    }

    /// Its rank among those that may be closed in favour of a new connection, `None` if it may not.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        if self.closing || self.state != ClientState::Reading {
            return None;
        }
        let age = now - self.since;
        match (self.messages_answered > 0, self.decoder.is_empty()) {
            (false, true) => Some(EvictionRank::NeverSent),
            (true, true) if age >= IDLE_TIMEOUT => Some(EvictionRank::Idle),
            (false, false) if age >= MIN_FIRST_MESSAGE_TIME => Some(EvictionRank::SlowFirstMessage),
            _ => None,
        }
    }
}
