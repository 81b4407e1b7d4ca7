//! The open transfers and the legs that are out, with the bytes they hold. A transfer stands here from the
//! moment it is taken until its one final answer, a leg until its ending is told to the decisions; a leg may
//! outlive its transfer, so that the node's window is given back when it should be.

use super::LinkId;
use bytes::Bytes;
use gullsail_interface::*;
use gullsail_protocol::{Handle, Submit};
use std::collections::BTreeMap;

/// A leg's number at this host, for its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LegId(pub u64);

#[derive(Debug)]
pub struct Open {
    /// Whom to answer, and what the client calls it.
    pub link: LinkId,
    pub submit: Submit,
    pub write: bool,
    pub body: Bytes,
    /// When its client gives up.
    pub expiry: Instant,
    /// Its time was shortened by what it may have waited: its client may wait longer than that.
    pub aged: bool,
    pub legs: u32,
}

#[derive(Debug)]
pub struct LegOut {
    pub transfer: TransferId,
    pub number: u32,
    pub node: NodeId,
    pub made: Instant,
    /// When its frame went out; until then it certainly never ran.
    pub sent: Option<Instant>,
    pub ends: Instant,
}

#[derive(Debug, Default)]
pub struct Transfers {
    /// Boxed: the map moves its entries about.
    open: BTreeMap<TransferId, Box<Open>>,
    /// By what clients call them: one name at a time on a connection.
    named: BTreeMap<(LinkId, u64), TransferId>,
    legs: BTreeMap<LegId, LegOut>,
    last_transfer: u64,
    last_leg: u64,
    held: usize,
}

impl Transfers {
    /// Body bytes of open transfers.
    pub fn held(&self) -> usize {
        self.held
    }
    pub fn open(&self) -> usize {
        self.open.len()
    }
    pub fn legs_out(&self) -> usize {
        self.legs.len()
    }
    /// Of the open ones, of their names, and of legs.
    pub fn lengths(&self) -> (usize, usize, usize) {
        (self.open.len(), self.named.len(), self.legs.len())
    }
    pub fn get(&self, id: TransferId) -> Option<&Open> {
        self.open.get(&id).map(Box::as_ref)
    }
    pub fn find(&self, link: LinkId, name: u64) -> Option<TransferId> {
        self.named.get(&(link, name)).copied()
    }

    pub fn take(&mut self, open: Open) -> TransferId {
        self.last_transfer += 1;
        let id = TransferId(self.last_transfer);
        self.held += open.body.len();
        self.named.insert((open.link, open.submit.id), id);
        self.open.insert(id, Box::new(open));
        id
    }

    /// Takes it out: it has its answer, or nobody waits for one. At most once for each.
    pub fn end(&mut self, id: TransferId) -> Option<Box<Open>> {
        let open = self.open.remove(&id)?;
        self.held -= open.body.len();
        self.named.remove(&(open.link, open.submit.id));
        Some(open)
    }

    /// Is any of a client's transfers open?
    pub fn has_any(&self, link: LinkId) -> bool {
        self.named.range((link, 0)..=(link, u64::MAX)).next().is_some()
    }

    pub fn of_link(&self, link: LinkId) -> Vec<TransferId> {
        self.named.range((link, 0)..=(link, u64::MAX)).map(|(_, id)| *id).collect()
    }

    /// A leg of an open transfer, and how long it lasts: never past the expiry. The transfer counts it.
    pub fn leg(
        &mut self,
        id: TransferId,
        node: NodeId,
        now: Instant,
        time_out: Option<Span>,
    ) -> Option<(LegId, Span)> {
        let open = self.open.get_mut(&id)?;
        let left = open.expiry - now;
        let lasts = time_out.map_or(left, |t| t.min(left));
        self.last_leg += 1;
        let leg = LegOut { transfer: id, number: open.legs, node, made: now, sent: None, ends: now + lasts };
        open.legs += 1;
        self.legs.insert(LegId(self.last_leg), leg);
        Some((LegId(self.last_leg), lasts))
    }

    pub fn out(&mut self, leg: LegId) -> Option<&mut LegOut> {
        self.legs.get_mut(&leg)
    }

    pub fn leg_ended(&mut self, leg: LegId) -> Option<LegOut> {
        self.legs.remove(&leg)
    }

    /// The legs at a node, in the order they were made.
    pub fn at_node(&self, node: NodeId) -> Vec<LegId> {
        self.legs.iter().filter(|(_, l)| l.node == node).map(|(id, _)| *id).collect()
    }
}

/// The object's number for the decisions: what keeps order is one sequence for each.
pub fn object(submit: &Submit) -> Option<ObjectId> {
    use gullsail_configuration::number;
    if !submit.order_key.is_empty() {
        return Some(ObjectId(number(&submit.order_key)));
    }
    let Handle { cell, object } = submit.handle?;
    Some(ObjectId(number(&format!("{cell}/{object:x}"))))
}
