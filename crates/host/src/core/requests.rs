//! The open requests and the attempts that are out, with the bytes they hold. A request stands here from the
//! moment it is taken until its one final answer, an attempt until its ending is told to the decisions; an attempt may
//! outlive its request, so that the node's window is given back when it should be.

use super::LinkId;
use bytes::Bytes;
use gullsail_protocol::{Handle, Submit};
use gullsail_scheduler_api::*;
use std::collections::BTreeMap;

/// A attempt's number at this host, for its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

#[derive(Debug)]
pub struct Open {
    /// Whom to answer, and what the client calls it.
    pub link: LinkId,
    pub submit: Submit,
    pub write: bool,
    pub body: Bytes,
    /// When its client gives up.
    pub deadline: Instant,
    /// Its time was shortened by what it may have waited: its client may wait longer than that.
    pub aged: bool,
    pub attempts: u32,
}

#[derive(Debug)]
pub struct AttemptOut {
    pub request: RequestId,
    pub number: u32,
    pub node: NodeId,
    pub made: Instant,
    /// When its frame went out; until then it certainly never ran.
    pub sent: Option<Instant>,
    pub ends: Instant,
}

#[derive(Debug, Default)]
pub struct Requests {
    /// Boxed: the map moves its entries about.
    open: BTreeMap<RequestId, Box<Open>>,
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
    pub fn open(&self) -> usize {
        self.open.len()
    }
    pub fn attempts_out(&self) -> usize {
        self.attempts.len()
    }
    /// Of the open ones, of their names, and of attempts.
    pub fn size_metrics(&self) -> (usize, usize, usize) {
        (self.open.len(), self.named.len(), self.attempts.len())
    }
    pub fn get(&self, id: RequestId) -> Option<&Open> {
        self.open.get(&id).map(Box::as_ref)
    }
    pub fn find(&self, link: LinkId, name: u64) -> Option<RequestId> {
        self.named.get(&(link, name)).copied()
    }

    pub fn take(&mut self, open: Open) -> RequestId {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.held += open.body.len();
        self.named.insert((open.link, open.submit.id), id);
        self.open.insert(id, Box::new(open));
        id
    }

    /// Takes it out: it has its answer, or nobody waits for one. At most once for each.
    pub fn end(&mut self, id: RequestId) -> Option<Box<Open>> {
        let open = self.open.remove(&id)?;
        self.held -= open.body.len();
        self.named.remove(&(open.link, open.submit.id));
        Some(open)
    }

    /// Is any of a client's requests open?
    pub fn has_any(&self, link: LinkId) -> bool {
        self.named.range((link, 0)..=(link, u64::MAX)).next().is_some()
    }

    pub fn of_link(&self, link: LinkId) -> Vec<RequestId> {
        self.named.range((link, 0)..=(link, u64::MAX)).map(|(_, id)| *id).collect()
    }

    /// A attempt of an open request, and how long it lasts: never past the deadline. The request counts it.
    pub fn attempt(
        &mut self,
        id: RequestId,
        node: NodeId,
        now: Instant,
        time_out: Option<Span>,
    ) -> Option<(AttemptId, Span)> {
        let open = self.open.get_mut(&id)?;
        let left = open.deadline - now;
        let lasts = time_out.map_or(left, |t| t.min(left));
        self.last_attempt += 1;
        let attempt =
            AttemptOut { request: id, number: open.attempts, node, made: now, sent: None, ends: now + lasts };
        open.attempts += 1;
        self.attempts.insert(AttemptId(self.last_attempt), attempt);
        Some((AttemptId(self.last_attempt), lasts))
    }

    pub fn out(&mut self, attempt: AttemptId) -> Option<&mut AttemptOut> {
        self.attempts.get_mut(&attempt)
    }

    pub fn attempt_ended(&mut self, attempt: AttemptId) -> Option<AttemptOut> {
        self.attempts.remove(&attempt)
    }

    /// The attempts at a node, in the order they were made.
    pub fn at_node(&self, node: NodeId) -> Vec<AttemptId> {
        self.attempts.iter().filter(|(_, l)| l.node == node).map(|(id, _)| *id).collect()
    }
}

/// The object's number for the decisions: what keeps order is one sequence for each.
pub fn object(submit: &Submit) -> Option<ObjectId> {
    use gullsail_configuration::number;
    if !submit.order_key.is_empty() {
        return Some(ObjectId(number(&submit.order_key)));
    }
    let Handle { shard, object } = submit.handle?;
    Some(ObjectId(number(&format!("{shard}/{object:x}"))))
}
