//! Legs: from the module's word until their ending is told to it. A leg takes an idle connection to its node or waits
//! for one, and whoever waited is asked again whether it still may go.

use super::*;

/// From the order to write a message until the node has its first byte, at the longest on a link that works.
const FLIGHT: Span = Span::from_micros(10_000);

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
        let Some(open) = self.transfers.get(id) else {
            // Its client left in the batch that it was decided in: the module waits for the leg's ending all the same.
            return self.unsent(id, node);
        };
        let left = open.expiry - now;
        let (number, lasts) = (open.legs, time_out.map_or(left, |t| t.min(left)));
        (open.legs, open.out) = (open.legs + 1, open.out + 1);
        let key = (id, number);
        let started = self.links.started(node);
        let leg = Leg { node, made: now, ends: now + lasts, at: At::Waiting, started };
        self.legs.insert(key, leg);
        // What came in the batch that it was decided in may speak against it.
        if !self.may_still_go(key) {
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
        let now = self.now;
        let open = self.transfers.get(key.0).is_some_and(|o| {
            // Guards against a repeat that begins, after the wait for its connection, when nobody knows any more that the
            // first may have run. It harms where the window is about as short as that wait.
            let repeats = |effect| match (effect, o.ran) {
                (_, None) | (Effect::Repeatable, _) => true,
                (Effect::Keyed { window, .. }, Some((_, since))) => now + FLIGHT - since < window,
                (Effect::Unrepeatable, Some(_)) => false,
            };
            o.client.is_some() && repeats(self.facts.stream_types[o.stream_type.0].effect)
        });
        open && now < leg.ends && self.links.is_ready(leg.node) && self.links.started(leg.node) == leg.started
    }

    /// Writes it to a connection that is up and free.
    pub(super) fn dispatch(&mut self, key: LegKey, conn: ConnId) {
        let now = self.now;
        let Some(leg) = self.legs.get_mut(&key) else { return };
        leg.at = At::Going(conn);
        let left = leg.ends - now;
        let made = leg.made;
        let Some(open) = self.transfers.get(key.0) else { return };
        open.ran.get_or_insert((key.1, made));
        let bytes = open.parts.message(left, &open.body);
        let seen = self.links.busy(conn, key);
        self.outputs.push(Output::Send { conn, bytes, seen });
    }

    pub(super) fn leg_ends(&mut self, key: LegKey) {
        match self.legs.get(&key).map(|l| l.at) {
            Some(At::Waiting) => self.leg_waited(key),
            // The connection goes first: no second leg may be out beside this one. What was handed to its task may have
            // run until the task says otherwise: the word that all is written may be under way.
            Some(At::Going(conn) | At::Gone(conn, _)) => {
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

    /// A leg of a transfer that is no more: its first, since those of one with a leg out are kept.
    fn unsent(&mut self, id: TransferId, node: NodeId) {
        self.counts.ending(Ending::Unsent);
        self.events.push(Event::LegEnded(LegEnd {
            id,
            leg: 0,
            node,
            ending: Ending::Unsent,
            took: Span::ZERO,
            finished: true,
            used: None,
            zone: self.links.zone(node),
            bytes: 0.0,
        }));
    }

    /// Tells the module.
    pub(super) fn leg_over(&mut self, key: LegKey, ending: Ending, used: Option<f64>) {
        let Some(leg) = self.legs.remove(&key) else { return };
        self.counts.ending(ending);
        let finished = self.transfers.leg_over(key.0, key.1, ending);
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
