//! The open requests, from the moment each is taken until its one final answer is given and no attempt of it is out.

use super::ConnId;
use super::ask::{Asked, Parts};
use bytes::Bytes;
use gullsail_scheduler_api::*;
use std::collections::BTreeMap;

#[derive(Debug)]
pub(super) struct Open {
    /// Whom to answer; `None`: it has its answer, or nobody waits for one.
    pub(super) client: Option<ConnId>,
    pub(super) trace: u64,
    pub(super) request_class: RequestClassId,
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    /// When its client gives up.
    pub(super) deadline: Instant,
    pub(super) attempts: u32,
    pub(super) out: u32,
    /// The first attempt that may have run, by its number, and when it was decided.
    pub(super) ran: Option<(u32, Instant)>,
    held: usize,
}

#[derive(Debug)]
pub(super) struct Requests {
    all: BTreeMap<RequestId, Open>,
    /// By what clients call them: of those that are open, and of those with an attempt out.
    traces: BTreeMap<u64, RequestId>,
    last: u64,
    held: usize,
    most_held: usize,
    open: usize,
}

/// What one takes beside its bytes.
const BESIDE: usize = 600;

impl Requests {
    pub(super) fn new(most_held: usize) -> Requests {
        Requests { all: BTreeMap::new(), traces: BTreeMap::new(), last: 0, held: 0, most_held, open: 0 }
    }
    pub(super) fn len(&self) -> usize {
        self.all.len()
    }
    /// Those that wait for their answer.
    pub(super) fn open(&self) -> usize {
        self.open
    }
    pub(super) fn all_open(&self) -> Vec<RequestId> {
        self.all.iter().filter(|(_, o)| o.client.is_some()).map(|(id, _)| *id).collect()
    }
    /// In bytes.
    pub(super) fn held(&self) -> usize {
        self.held
    }
    pub(super) fn is_open(&self, trace: u64) -> bool {
        self.traces.contains_key(&trace)
    }
    pub(super) fn get(&mut self, id: RequestId) -> Option<&mut Open> {
        self.all.get_mut(&id)
    }

    /// `None`: there is no room for it.
    pub(super) fn take(&mut self, client: ConnId, asked: Asked, now: Instant) -> Option<Request> {
        let Asked { trace, request, parts, body } = asked;
        let held = BESIDE + parts.held() + body.len();
        if self.held + held > self.most_held {
            return None;
        }
        self.last += 1;
        let id = RequestId(self.last);
        let deadline = now + request.timeout;
        let request_class = request.request_class;
        let open = Open {
            client: Some(client),
            trace,
            request_class,
            parts,
            body,
            deadline,
            attempts: 0,
            out: 0,
            ran: None,
            held,
        };
        (self.held, self.open) = (self.held + held, self.open + 1);
        self.traces.insert(trace, id);
        self.all.insert(id, open);
        Some(Request { id, ..request })
    }

    /// Whom to answer, at most once for each.
    pub(super) fn end(&mut self, id: RequestId) -> Option<ConnId> {
        let client = self.all.get_mut(&id)?.client.take()?;
        self.open -= 1;
        self.forget(id);
        Some(client)
    }

    /// One of its attempts is over. Says whether it had its answer before.
    pub(super) fn attempt_over(&mut self, id: RequestId, attempt: u32, outcome: AttemptOutcome) -> bool {
        let Some(open) = self.all.get_mut(&id) else { return true };
        open.ran = open.ran.filter(|ran| ran.0 != attempt || !outcome.never_ran());
        open.out = open.out.saturating_sub(1);
        let answered = open.client.is_none();
        self.forget(id);
        answered
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(open) = self.all.get(&id).filter(|o| o.client.is_none() && o.out == 0) {
            self.held -= open.held;
            self.traces.remove(&open.trace);
            self.all.remove(&id);
        }
    }
}
