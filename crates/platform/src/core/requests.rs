//! The table of open requests. A request is added when it is passed to the scheduler. It is removed when it has been
//! answered, or its client has disconnected, and none of its attempts is in flight.

use super::attempt_key::AttemptKey;
use super::executed_ids::ExecutedIds;
use super::io::ConnectionId;
use super::request_parser::{ForwardedHead, ParsedRequest};
use bytes::Bytes;
use gullsail::may_accept_again;
use gullsail_scheduler_api::{
    AttemptOutcome, Idempotency, Instant, Request, RequestClassId, RequestId,
};
use std::collections::BTreeMap;

/// Estimated memory of one entry in addition to its head and body. If the estimate is too small, the host exceeds its
/// memory bound; if it is too large, requests are refused earlier than necessary.
const ENTRY_OVERHEAD_BYTES: usize = 600;

#[derive(Debug)]
pub(super) struct OpenRequest {
    /// The client connection that waits for the response. `None` if the request was answered or the client has
    /// disconnected.
    pub(super) client: Option<ConnectionId>,
    pub(super) trace_id: u64,
    pub(super) request_class: RequestClassId,
    pub(super) head: ForwardedHead,
    pub(super) body: Bytes,
    /// When the request arrived.
    arrived_at: Instant,
    /// A second run does harm, so the trace id is kept when the request may have run.
    keeps_id: bool,
    /// When the client stops waiting for the response.
    pub(super) deadline: Instant,
    /// How many attempts the scheduler has started. The next attempt has this number.
    pub(super) attempts_started: u32,
    /// How many attempts have started and not ended, those that wait for a connection included.
    pub(super) attempts_in_flight: u32,
    /// The number of the first attempt that was sent and may have run. `None` if no attempt was sent, or if the attempt
    /// recorded here turned out not to have run.
    pub(super) unproven_execution: Option<u32>,
    /// Estimated memory of the entry.
    held_bytes: usize,
}

#[derive(Debug)]
pub(super) struct RequestTable {
    entries: BTreeMap<RequestId, OpenRequest>,
    /// Maps the trace ids of open requests to their request ids.
    by_trace_id: BTreeMap<u64, RequestId>,
    /// The trace ids of requests that are no longer open and may have run.
    executed_ids: ExecutedIds,
    /// The id of the request added last. 0 if there was none.
    last_id: u64,
    /// Estimated memory of all entries.
    held_bytes: usize,
    /// Bound on `held_bytes`.
    max_held_bytes: usize,
    /// How many entries have a client that waits for the response.
    awaiting_response: usize,
}

impl RequestTable {
    pub(super) fn new(max_held_bytes: usize) -> RequestTable {
        RequestTable {
            entries: BTreeMap::new(),
            by_trace_id: BTreeMap::new(),
            executed_ids: ExecutedIds::default(),
            last_id: 0,
            held_bytes: 0,
            max_held_bytes,
            awaiting_response: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// How many requests have a client that waits for the response.
    pub(super) fn awaiting_response(&self) -> usize {
        self.awaiting_response
    }

    pub(super) fn all_awaiting_response(&self) -> Vec<RequestId> {
        self.entries
            .iter()
            .filter(|(_, open)| open.client.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    pub(super) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Whether the trace id of a request allows to open it: none with the same id is open, and where one may have run,
    /// the scheduler allows another run.
    pub(super) fn may_open(
        &mut self,
        parsed: &ParsedRequest,
        idempotency: Idempotency,
        now: Instant,
    ) -> bool {
        if self.by_trace_id.contains_key(&parsed.trace_id) {
            return false;
        }
        let Some(first_arrived_at) = self.executed_ids.arrival_of(parsed.trace_id, now) else {
            return true;
        };
        let Request { shard, timeout, .. } = parsed.request;
        may_accept_again(idempotency, shard, first_arrived_at, now + timeout)
    }

    /// How many trace ids of requests are kept that are no longer open.
    pub(super) fn executed_id_count(&self) -> usize {
        self.executed_ids.len()
    }

    pub(super) fn get(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.entries.get_mut(&id)
    }

    /// Adds a request and returns it with its id. Returns `None` if that would exceed the memory bound.
    /// `keeps_id`: a second run does harm.
    pub(super) fn insert(
        &mut self,
        client: ConnectionId,
        parsed: ParsedRequest,
        keeps_id: bool,
        now: Instant,
    ) -> Option<Request> {
        let ParsedRequest {
            trace_id,
            request,
            head,
            body,
        } = parsed;
        let held_bytes = ENTRY_OVERHEAD_BYTES + head.held_bytes() + body.len();
        if self.held_bytes + held_bytes > self.max_held_bytes {
            return None;
        }
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let open = OpenRequest {
            client: Some(client),
            trace_id,
            request_class: request.request_class,
            head,
            body,
            arrived_at: now,
            keeps_id,
            deadline: now + request.timeout,
            attempts_started: 0,
            attempts_in_flight: 0,
            unproven_execution: None,
            held_bytes,
        };
        self.held_bytes += held_bytes;
        self.awaiting_response += 1;
        self.by_trace_id.insert(trace_id, id);
        self.entries.insert(id, open);
        Some(Request { id, ..request })
    }

    /// Takes the client connection from the request, to send the response or because the client has disconnected.
    /// Returns `None` if it was taken before, so a request is answered at most once.
    pub(super) fn take_client(&mut self, id: RequestId) -> Option<ConnectionId> {
        let client = self.entries.get_mut(&id)?.client.take()?;
        self.awaiting_response -= 1;
        self.remove_if_finished(id);
        Some(client)
    }

    /// Records the end of an attempt. Returns whether no client waits for the response any more.
    pub(super) fn attempt_ended(&mut self, key: AttemptKey, outcome: AttemptOutcome) -> bool {
        let Some(open) = self.entries.get_mut(&key.request) else {
            return true;
        };
        if outcome.never_ran() && open.unproven_execution == Some(key.number) {
            open.unproven_execution = None;
        }
        open.attempts_in_flight = open.attempts_in_flight.saturating_sub(1);
        let was_answered = open.client.is_none();
        self.remove_if_finished(key.request);
        was_answered
    }

    fn remove_if_finished(&mut self, id: RequestId) {
        let finished = |open: &&OpenRequest| open.client.is_none() && open.attempts_in_flight == 0;
        if let Some(open) = self.entries.get(&id).filter(finished) {
            self.held_bytes -= open.held_bytes;
            self.by_trace_id.remove(&open.trace_id);
            if open.keeps_id && open.unproven_execution.is_some() {
                self.executed_ids.insert(open.trace_id, open.arrived_at);
            }
            self.entries.remove(&id);
        }
    }
}
