//! The open requests and the attempts that have not ended, with the bytes they hold. A request stands here
//! from the moment it is accepted until its one final answer, an attempt until its end is reported to the
//! scheduler; an attempt may outlive its request, so that the node's window is released at the right time.

use super::input_output::LinkId;
use bytes::Bytes;
use gullsail_protocol::{Handle, Submit};
use gullsail_scheduler_api::{Instant, NodeId, ObjectId, RequestId, Span};
use std::collections::BTreeMap;

/// An attempt's number at this host, for its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// A request without its answer.
#[derive(Debug)]
pub struct OpenRequest {
    /// Where to send the answer.
    pub link: LinkId,
    /// What the client asked for, under the client's own id.
    pub submit: Submit,
    /// Whether it writes.
    pub write: bool,
    /// What is written.
    pub body: Bytes,
    /// When its client gives up.
    pub deadline: Instant,
    /// Its timeout was shortened by what it may have waited: its client may wait longer than that.
    pub aged: bool,
    /// Attempts that were started.
    pub attempts: u32,
}

/// An attempt that has not ended.
#[derive(Debug)]
pub struct AttemptOut {
    /// Whose it is.
    pub request: RequestId,
    /// Its place among its request's attempts, from 0.
    pub number: u32,
    /// Where it is tried.
    pub node: NodeId,
    /// When it was started.
    pub made: Instant,
    /// When its frame went out; until then it certainly never ran.
    pub sent: Option<Instant>,
    /// When it times out.
    pub ends: Instant,
}

/// An attempt that was just started.
#[derive(Clone, Copy, Debug)]
pub struct StartedAttempt {
    /// Its number.
    pub id: AttemptId,
    /// How long it may take.
    pub lasts: Span,
}

/// Lengths of the collections of [`Requests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSizes {
    /// Open requests.
    pub open: usize,
    /// Open requests by their clients' names for them.
    pub named: usize,
    /// Attempts that have not ended.
    pub attempts: usize,
}

/// All open requests and attempts of one host.
#[derive(Debug, Default)]
pub struct Requests {
    /// Boxed: the map moves its entries about.
    open: BTreeMap<RequestId, Box<OpenRequest>>,
    /// By what clients call them: one name at a time on a connection.
    named: BTreeMap<(LinkId, u64), RequestId>,
    attempts: BTreeMap<AttemptId, AttemptOut>,
    last_request: u64,
    last_attempt: u64,
    held: usize,
}

impl Requests {
    /// Body bytes of open requests.
    pub fn held(&self) -> usize {
        self.held
    }
    /// How many are open.
    pub fn open(&self) -> usize {
        self.open.len()
    }
    /// How many attempts have not ended.
    pub fn attempts_out(&self) -> usize {
        self.attempts.len()
    }
    /// The lengths of its collections.
    pub fn size_metrics(&self) -> RequestSizes {
        RequestSizes {
            open: self.open.len(),
            named: self.named.len(),
            attempts: self.attempts.len(),
        }
    }
    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.open.get(&id).map(Box::as_ref)
    }
    /// The open request that a client calls by this name.
    pub fn find(&self, link: LinkId, name: u64) -> Option<RequestId> {
        self.named.get(&(link, name)).copied()
    }

    /// Enters a new request.
    pub fn take(&mut self, open: OpenRequest) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.held += open.body.len();
        self.named.insert((open.link, open.submit.id), id);
        self.open.insert(id, Box::new(open));
        id
    }

    /// Removes a request that has its answer, or for whose answer nobody waits.
    pub fn end(&mut self, id: RequestId) -> Option<Box<OpenRequest>> {
        let open = self.open.remove(&id)?;
        self.held -= open.body.len();
        self.named.remove(&(open.link, open.submit.id));
        Some(open)
    }

    /// Is any of a client's requests open?
    pub fn has_any(&self, link: LinkId) -> bool {
        self.named
            .range((link, 0)..=(link, u64::MAX))
            .next()
            .is_some()
    }

    /// A client's open requests.
    pub fn of_link(&self, link: LinkId) -> Vec<RequestId> {
        self.named
            .range((link, 0)..=(link, u64::MAX))
            .map(|(_, id)| *id)
            .collect()
    }

    /// Starts an attempt of an open request; it never lasts beyond the deadline. The request counts it.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        node: NodeId,
        now: Instant,
        time_out: Option<Span>,
    ) -> Option<StartedAttempt> {
        let open = self.open.get_mut(&id)?;
        let left = open.deadline - now;
        let lasts = time_out.map_or(left, |t| t.min(left));
        self.last_attempt += 1;
        let attempt = AttemptOut {
            request: id,
            number: open.attempts,
            node,
            made: now,
            sent: None,
            ends: now + lasts,
        };
        open.attempts += 1;
        self.attempts.insert(AttemptId(self.last_attempt), attempt);
        Some(StartedAttempt {
            id: AttemptId(self.last_attempt),
            lasts,
        })
    }

    /// An attempt that has not ended.
    pub fn attempt(&mut self, attempt: AttemptId) -> Option<&mut AttemptOut> {
        self.attempts.get_mut(&attempt)
    }

    /// Removes an attempt that ended.
    pub fn attempt_ended(&mut self, attempt: AttemptId) -> Option<AttemptOut> {
        self.attempts.remove(&attempt)
    }

    /// The attempts at a node, in the order they were made.
    pub fn at_node(&self, node: NodeId) -> Vec<AttemptId> {
        self.attempts
            .iter()
            .filter(|(_, l)| l.node == node)
            .map(|(id, _)| *id)
            .collect()
    }
}

/// The object's number for the scheduler: requests that keep an order are one sequence for each object.
pub fn object(submit: &Submit) -> Option<ObjectId> {
    use gullsail_configuration::number;
    if !submit.order_key.is_empty() {
        return Some(ObjectId(number(&submit.order_key)));
    }
    let Handle { shard, object } = submit.handle?;
    Some(ObjectId(number(&format!("{shard}/{object:x}"))))
}
