//! The open requests and the attempts in flight, with the bytes they hold. A request is kept from the moment
//! it is accepted until its one final answer, an attempt until its end is reported to the scheduler. An attempt
//! may outlive its request, so that the scheduler releases the node's window only when the attempt has ended.

use super::ids::{AttemptId, ConnectionId};
use bytes::Bytes;
use gullsail_configuration::number;
use gullsail_protocol::{Handle, Submit};
use gullsail_scheduler_api::{Instant, NodeId, ObjectId, RequestId, Span};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// A request that has no final answer yet.
#[derive(Debug)]
pub struct OpenRequest {
    /// The client's connection, on which the answer is sent.
    pub link: ConnectionId,
    /// The request as the client sent it, with the id that the client chose.
    pub submit: Submit,
    /// Whether the request is a write, according to its class.
    pub write: bool,
    /// The bytes to write; empty for a read.
    pub body: Bytes,
    /// When the client stops waiting. No answer is sent after it.
    pub deadline: Instant,
    /// The request may have waited during a stall of the process, so its timeout was shortened by the longest
    /// possible wait. The client may still wait after `deadline`.
    pub timeout_shortened: bool,
    /// How many attempts of the request were started.
    pub attempts: u32,
}

/// An attempt that was started and has not ended.
#[derive(Debug)]
pub struct InFlightAttempt {
    /// The request that it belongs to.
    pub request: RequestId,
    /// How many attempts of the same request were started before it.
    pub number: u32,
    /// The node that it is sent to.
    pub node: NodeId,
    /// When the scheduler started it.
    pub started_at: Instant,
    /// The clock reading from which on its frame is no longer sent; `None`: `timeout_at` alone bounds it.
    pub send_before: Option<Instant>,
    /// When its frame was sent; `None`: it waits for the node's connection, so the node cannot have run it.
    pub sent_at: Option<Instant>,
    /// When the host stops waiting for the node's answer.
    pub timeout_at: Instant,
}

/// The result of [`Requests::start_attempt`].
#[derive(Clone, Copy, Debug)]
pub struct StartedAttempt {
    /// The id of the new attempt.
    pub id: AttemptId,
    /// How long the attempt may take, its wait for the node's connection included.
    pub timeout: Span,
}

/// Lengths of the collections of [`Requests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSizes {
    /// Number of open requests.
    pub open: usize,
    /// Number of entries of the index by connection and client's request id.
    pub client_ids: usize,
    /// Number of attempts that have not ended.
    pub attempts: usize,
}

/// Key of an open request: the client's connection and the id that the client chose. Keys are ordered by
/// connection, so that the requests of one connection are a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClientRequestKey {
    link: ConnectionId,
    client_request_id: u64,
}

impl ClientRequestKey {
    /// All keys of one connection.
    fn all_of(link: ConnectionId) -> RangeInclusive<ClientRequestKey> {
        let key = |client_request_id| ClientRequestKey {
            link,
            client_request_id,
        };
        key(0)..=key(u64::MAX)
    }
}

impl OpenRequest {
    fn client_key(&self) -> ClientRequestKey {
        ClientRequestKey {
            link: self.link,
            client_request_id: self.submit.id,
        }
    }
}

/// All open requests and attempts of one host.
#[derive(Debug, Default)]
pub struct Requests {
    /// Boxed, so that the map moves pointers instead of whole requests.
    open: BTreeMap<RequestId, Box<OpenRequest>>,
    /// Index of `open`. The id that a client chose is unique among the open requests of its connection.
    by_client_id: BTreeMap<ClientRequestKey, RequestId>,
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// Id of the newest request; 0: there was none.
    last_request: u64,
    /// Id of the newest attempt; 0: there was none.
    last_attempt: u64,
    /// Sum of the lengths of the open requests' bodies.
    held_bytes: usize,
}

impl Requests {
    /// Returns the body bytes of all open requests.
    pub fn body_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of open requests.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of attempts that have not ended.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the lengths of the collections, for the size metrics.
    pub fn size_metrics(&self) -> RequestSizes {
        RequestSizes {
            open: self.open.len(),
            client_ids: self.by_client_id.len(),
            attempts: self.attempts.len(),
        }
    }

    /// Returns a request; `None`: it is not open.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id).map(Box::as_ref)
    }

    /// Finds the open request to which the client of this connection gave this id.
    pub fn by_client_id(&self, link: ConnectionId, client_request_id: u64) -> Option<RequestId> {
        let key = ClientRequestKey {
            link,
            client_request_id,
        };
        self.by_client_id.get(&key).copied()
    }

    /// Adds a request. Returns the id that it has within this host.
    pub fn insert(&mut self, open: OpenRequest) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.held_bytes += open.body.len();
        self.by_client_id.insert(open.client_key(), id);
        self.open.insert(id, Box::new(open));
        id
    }

    /// Removes a request because it is answered, or because its client no longer waits. `None`: it was not open.
    /// Its attempts in flight stay.
    pub fn end(&mut self, id: RequestId) -> Option<Box<OpenRequest>> {
        let open = self.open.remove(&id)?;
        self.held_bytes -= open.body.len();
        self.by_client_id.remove(&open.client_key());
        Some(open)
    }

    /// Whether the client of this connection has an open request.
    pub fn has_open(&self, link: ConnectionId) -> bool {
        self.by_client_id
            .range(ClientRequestKey::all_of(link))
            .next()
            .is_some()
    }

    /// Returns the open requests of the client of this connection.
    pub fn of_client(&self, link: ConnectionId) -> Vec<RequestId> {
        self.by_client_id
            .range(ClientRequestKey::all_of(link))
            .map(|(_, id)| *id)
            .collect()
    }

    /// Adds an attempt of a request. It times out after `time_out`, or at the request's deadline if that is
    /// earlier or `time_out` is `None`. Returns `None` if the request is not open.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        node: NodeId,
        now: Instant,
        time_out: Option<Span>,
        send_before: Option<Instant>,
    ) -> Option<StartedAttempt> {
        let open = self.open.get_mut(&id)?;
        let left = open.deadline - now;
        let timeout = time_out.map_or(left, |timeout| timeout.min(left));
        self.last_attempt += 1;
        let attempt = InFlightAttempt {
            request: id,
            number: open.attempts,
            node,
            started_at: now,
            send_before,
            sent_at: None,
            timeout_at: now + timeout,
        };
        open.attempts += 1;
        self.attempts.insert(AttemptId(self.last_attempt), attempt);
        Some(StartedAttempt {
            id: AttemptId(self.last_attempt),
            timeout,
        })
    }

    /// Returns an attempt; `None`: it has ended.
    pub fn attempt(&mut self, attempt: AttemptId) -> Option<&mut InFlightAttempt> {
        self.attempts.get_mut(&attempt)
    }

    /// Removes an attempt that ended; `None`: it was removed before.
    pub fn attempt_ended(&mut self, attempt: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&attempt)
    }

    /// Returns the attempts in flight to a node, in the order in which they were started.
    pub fn in_flight_to(&self, node: NodeId) -> Vec<AttemptId> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| attempt.node == node)
            .map(|(id, _)| *id)
            .collect()
    }
}

/// Returns the object by which the scheduler keeps the order of requests: a hash of the order key, or of the
/// handle if there is no order key. `None`: the request has neither.
pub fn object(submit: &Submit) -> Option<ObjectId> {
    if !submit.order_key.is_empty() {
        return Some(ObjectId(number(&submit.order_key)));
    }
    let Handle { shard, object } = submit.handle?;
    Some(ObjectId(number(&format!("{shard}/{object:x}"))))
}
