//! The state of one client connection, and the conditions under which it may be closed.

use super::super::bounds::BOUNDS;
use super::arrival_times::ArrivalTimes;
use gullsail_http::Decoder;
use gullsail_scheduler_api::{Instant, RequestId, Span};

/// A connection is closed after it has been idle between messages for this long. The platform's documentation allows
/// no shorter time; a longer one would occupy slots, while reconnecting is cheap.
pub(super) const IDLE_TIMEOUT: Span = Span::from_micros(2_000_000);
/// A connection whose first message is incomplete is not evicted before it has existed for this long.
const MIN_FIRST_MESSAGE_TIME: Span = Span::from_micros(300_000);

#[derive(Debug, PartialEq)]
pub(super) enum ClientState {
    /// The connection is idle or receives a message.
    Reading,
    /// A request of the client is open.
    Busy {
        request: RequestId,
        /// The client may send further messages after this one.
        keep_alive: bool,
    },
    /// A response is being written. Messages received meanwhile are decoded after that.
    Responding,
    /// The connection's task was ordered to write the last response and close the connection. If the task finds that
    /// the client has sent more, the connection stays open.
    RespondingLast,
    /// The last response is being written. Further input is ignored.
    Finishing,
    /// All responses are written and the host's direction is closed. The client has not closed its direction yet.
    WriteClosed,
}

/// The order in which connections are evicted for new ones:
/// 1. connections on which the client never sent anything, without a minimum age: usual clients send at once, and
///    silent clients may connect faster than a minimum age would allow to evict them;
/// 2. connections that have been idle for [`IDLE_TIMEOUT`];
/// 3. connections whose first message is still incomplete after [`MIN_FIRST_MESSAGE_TIME`].
///
/// Many clients that send one request each and stay connected can therefore occupy all slots for [`IDLE_TIMEOUT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    NeverSent,
    Idle,
    SlowFirstMessage,
}

/// Pipelined input beyond the buffer. Its messages are counted but not stored, and each is refused after the response
/// to the open request.
#[derive(Debug, Default)]
pub(super) struct InputOverflow {
    /// The number of complete messages that have to be refused.
    pub(super) refused: usize,
    /// Bytes received since the overflow began.
    pub(super) bytes: usize,
    /// Further input is discarded, since there was too much of it or it could not be decoded.
    pub(super) discarding: bool,
}

#[derive(Debug)]
pub(super) struct Client {
    pub(super) decoder: Decoder,
    pub(super) state: ClientState,
    /// The start of the present idle time or message: when the client connected, when its last message was answered or
    /// the response written, or when the first byte of the present message was received.
    pub(super) since: Instant,
    pub(super) messages_answered: u64,
    /// How many received bytes the core has handled. Orders to close the connection state this number and have no
    /// effect if the connection's task has read more.
    pub(super) bytes_received: u64,
    /// When the buffered bytes were received.
    pub(super) arrivals: ArrivalTimes,
    /// `None` unless the client has sent more behind an open request than the host buffers.
    pub(super) overflow: Option<InputOverflow>,
    /// The connection was idle and its task was ordered to close it unless the client has sent more.
    pub(super) idle_close_ordered: bool,
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
            idle_close_ordered: false,
        }
    }

    /// Whether the connection is about to end, so that its slot becomes free soon.
    pub(super) fn is_ending(&self) -> bool {
        self.idle_close_ordered
            || matches!(
                self.state,
                ClientState::RespondingLast | ClientState::Finishing | ClientState::WriteClosed
            )
    }

    /// Whether a request is open or its response is being written. Input received meanwhile is buffered.
    pub(super) fn is_responding(&self) -> bool {
        matches!(
            self.state,
            ClientState::Busy { .. } | ClientState::Responding | ClientState::RespondingLast
        )
    }

    /// Whether at least one message was answered and no part of the next one was received.
    pub(super) fn is_between_messages(&self) -> bool {
        self.decoder.is_empty() && self.messages_answered > 0
    }

    /// Whether a part of a message was received while no request is open.
    pub(super) fn has_incomplete_message(&self) -> bool {
        self.state == ClientState::Reading && !self.decoder.is_empty()
    }

    /// Whether no message is being received or answered. A connection on which no message was answered yet is idle only
    /// after `min_age`: before that, the first message may still be on its way.
    pub(super) fn is_idle(&self, min_age: Span, now: Instant) -> bool {
        self.state == ClientState::Reading
            && self.decoder.is_empty()
            && (self.messages_answered > 0 || now - self.since >= min_age)
    }

    /// The rank of the connection for eviction. `None` if it may not be evicted.
    pub(super) fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        if self.idle_close_ordered || self.state != ClientState::Reading {
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
