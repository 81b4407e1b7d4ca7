//! Legs: from the module's word until their ending is told to it. A leg takes an idle connection to its node or waits
//! for one, and whoever waited is asked again whether it still may go.

use super::*;

/// Which transfer, and which of its legs.
pub(super) type LegKey = (TransferId, u32);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum At {
    /// For a connection.
    Waiting,
    /// It is being written.
    Going(ConnId),
    /// Its last byte is with the operating system since then.
    Gone(ConnId, Instant),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Leg {
    pub(super) node: NodeId,
    pub(super) made: Instant,
    pub(super) ends: Instant,
    pub(super) at: At,
    /// The node's start as it was when the leg was decided.
    started: Option<Instant>,
}

impl Core {
    pub(super) fn start_leg(&mut self, id: TransferId, node: NodeId, time_out: Option<Span>) {
        let now = self.now;
        let Some(open) = self.transfers.get(id) else { return };
        let left = open.expiry - now;
        let (number, lasts) = (open.legs, time_out.map_or(left, |t| t.min(left)));
        (open.legs, open.out) = (open.legs + 1, open.out + 1);
        let key = (id, number);
        let started = self.links.started(node);
        let leg = Leg { node, made: now, ends: now + lasts, at: At::Waiting, started };
        self.legs.insert(key, leg);
        if lasts <= Span::ZERO {
            return self.leg_over(key, Ending::Unsent, None);
        }
        self.due.set(now + lasts, Due::LegEnds(key));
        if let Some(conn) = self.idle_link(node) {
            self.dispatch(key, conn);
        } else {
            self.wait_for_link(key, node);
        }
    }

    /// May it go out now? What was decided may be some time ago: its node drains or has started anew since, the
    /// transfer has its answer, or its time is over.
    pub(super) fn may_still_go(&mut self, key: LegKey) -> bool {
        let Some(leg) = self.legs.get(&key).copied() else { return false };
        let open = self.transfers.get(key.0).is_some_and(|o| o.client.is_some());
        open && self.now < leg.ends
            && self.links.is_ready(leg.node)
            && self.links.started(leg.node) == leg.started
    }

    /// Writes it to a connection that is up and free.
    pub(super) fn dispatch(&mut self, key: LegKey, conn: ConnId) {
        let now = self.now;
        let Some(leg) = self.legs.get_mut(&key) else { return };
        leg.at = At::Going(conn);
        let left = leg.ends - now;
        let Some(open) = self.transfers.get(key.0) else { return };
        let bytes = open.parts.message(left, &open.body);
        let seen = self.links.busy(conn, key);
        self.outputs.push(Output::Send { conn, bytes, seen });
    }

    pub(super) fn leg_ends(&mut self, key: LegKey) {
        match self.legs.get(&key).map(|l| l.at) {
            Some(At::Waiting) => self.leg_waited(key),
            Some(At::Going(conn)) => {
                // Not all of it is written, so it never ran; the connection is over with it.
                self.close_link(conn);
                self.leg_over(key, Ending::Unreached, None);
            }
            // The connection goes first: no second leg may be out beside this one.
            Some(At::Gone(conn, _)) => {
                self.close_link(conn);
                self.leg_over(key, Ending::TimedOut, None);
            }
            None => {}
        }
    }

    /// It waited for a connection as long as it may.
    pub(super) fn leg_waited(&mut self, key: LegKey) {
        let Some(leg) = self.legs.get(&key).copied().filter(|l| l.at == At::Waiting) else { return };
        let dialled = self.links.stop_waiting(leg.node, key);
        self.leg_over(key, if dialled { Ending::Unreached } else { Ending::Unsent }, None);
    }

    /// Tells the module.
    pub(super) fn leg_over(&mut self, key: LegKey, ending: Ending, used: Option<f64>) {
        let Some(leg) = self.legs.remove(&key) else { return };
        self.counts.ending(ending);
        let finished = self.transfers.leg_over(key.0);
        self.events.push(Event::LegEnded(LegEnd {
            id: key.0,
            leg: key.1,
            node: leg.node,
            ending,
            took: self.now - leg.made,
            finished,
            used,
            zone: self.links.zone(leg.node),
            bytes: 0.0,
        }));
    }
}
