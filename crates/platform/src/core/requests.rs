//! The table of open requests: an entry lives from the moment its request is handed to the scheduler until
//! its one response is given and none of its attempts is in flight. It decides nothing.

use super::attempt_key::AttemptKey;
use super::io::ConnectionId;
use super::request_parser::{ForwardedHead, ParsedRequest};
use bytes::Bytes;
use gullsail_scheduler_api::{AttemptOutcome, Instant, Request, RequestClassId, RequestId};
use std::collections::BTreeMap;

/// Memory of one entry beside its bytes.
const ENTRY_OVERHEAD_BYTES: usize = 600;

/// The first attempt that may have run at a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct FirstExecution {
    /// Its number within the request.
    pub(super) attempt: u32,
    pub(super) decided_at: Instant,
}

#[derive(Debug)]
pub(super) struct OpenRequest {
    /// The connection that waits for the response; `None`: it has been given, or nobody waits for it any
    /// more.
    pub(super) client: Option<ConnectionId>,
    pub(super) trace_id: u64,
    pub(super) request_class: RequestClassId,
    pub(super) head: ForwardedHead,
    pub(super) body: Bytes,
    /// When its client stops waiting.
    pub(super) deadline: Instant,
    pub(super) attempts_started: u32,
    pub(super) attempts_in_flight: u32,
    pub(super) first_execution: Option<FirstExecution>,
    held_bytes: usize,
}

#[derive(Debug)]
pub(super) struct RequestTable {
    entries: BTreeMap<RequestId, OpenRequest>,
    /// By the clients' ids: requests that are open, and those with an attempt in flight.
    by_trace_id: BTreeMap<u64, RequestId>,
    last_id: u64,
    held_bytes: usize,
    max_held_bytes: usize,
    waiting: usize,
}

impl RequestTable {
    pub(super) fn new(max_held_bytes: usize) -> RequestTable {
        RequestTable {
            entries: BTreeMap::new(),
            by_trace_id: BTreeMap::new(),
            last_id: 0,
            held_bytes: 0,
            max_held_bytes,
            waiting: 0,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// How many wait for their response.
    pub(super) fn waiting(&self) -> usize {
        self.waiting
    }

    pub(super) fn all_waiting(&self) -> Vec<RequestId> {
        self.entries
            .iter()
            .filter(|(_, open)| open.client.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    pub(super) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(super) fn contains_trace_id(&self, trace_id: u64) -> bool {
        self.by_trace_id.contains_key(&trace_id)
    }

    pub(super) fn get(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.entries.get_mut(&id)
    }

    /// Adds an entry and numbers the request; `None`: that would exceed the memory bound.
    pub(super) fn insert(
        &mut self,
        client: ConnectionId,
        parsed: ParsedRequest,
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
            deadline: now + request.timeout,
            attempts_started: 0,
            attempts_in_flight: 0,
            first_execution: None,
            held_bytes,
        };
        self.held_bytes += held_bytes;
        self.waiting += 1;
        self.by_trace_id.insert(trace_id, id);
        self.entries.insert(id, open);
        Some(Request { id, ..request })
    }

    /// The request gets its response, or its client is gone: the connection that waited, at most once for
    /// each request.
    pub(super) fn take_client(&mut self, id: RequestId) -> Option<ConnectionId> {
        let client = self.entries.get_mut(&id)?.client.take()?;
        self.waiting -= 1;
        self.remove_if_finished(id);
        Some(client)
    }

    /// One of the attempts has ended. Says whether the request had its response before.
    pub(super) fn attempt_ended(&mut self, key: AttemptKey, outcome: AttemptOutcome) -> bool {
        let Some(open) = self.entries.get_mut(&key.request) else {
            return true;
        };
        if outcome.never_ran()
            && open
                .first_execution
                .is_some_and(|first| first.attempt == key.number)
        {
            open.first_execution = None;
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
            self.entries.remove(&id);
        }
    }
}
