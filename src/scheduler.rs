//! Decides what becomes of every request. A caller makes one [`Scheduler`] for each incarnation of a host and
//! calls [`Scheduler::step`] with the clock and the events since; it carries out the actions that come back,
//! in their order. Events, actions, ids and the configuration are those of `gullsail-scheduler-api`.
//!
//! Read `endpoint` for a storage node (window, health, slow start), `dispatch` for requests (admission,
//! order, attempts, answers), `volumes` for token buckets, the rate rule, loans and demand reports. These
//! decide. Here stands only the loop over their mailboxes, in `state` the shapes of what they hold and pass
//! on.

mod dispatch;
mod endpoint;
mod size_metrics;
mod state;
mod volumes;

use crate::decaying_sum::DecayingSum;
use endpoint::LAST;
use gullsail_scheduler_api::*;
use rand::{SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use state::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use volumes::EPOCH;

pub struct Scheduler {
    nodes: BTreeMap<NodeId, Node>,
    called: BTreeSet<NodeId>, // those with notes in their inboxes: only these are looked at
    desk: Desk,
    rng: ChaCha8Rng,
}

impl Scheduler {
    pub fn new(config: SchedulerConfig, seed: u64, now: Instant) -> Self {
        let (rng, desk) = (ChaCha8Rng::seed_from_u64(seed), Desk::new(config, now));
        Scheduler { nodes: BTreeMap::new(), called: BTreeSet::new(), desk, rng }
    }

    pub fn step(&mut self, now: Instant, events: impl IntoIterator<Item = Event>) -> Vec<Action> {
        self.desk.now = now;
        for event in events {
            if let Event::EndpointList { update_kind, entries } = &event {
                self.list(*update_kind, entries);
                self.empty_inboxes(); // what comes next in this step knows the nodes of this list
            }
            self.desk.inbox.push_back(DeskNote::Event(event));
        }
        self.empty_inboxes();
        std::mem::take(&mut self.desk.actions)
    }

    fn post(&mut self, id: NodeId, note: NodeNote) {
        if let Some(nd) = self.nodes.get_mut(&id) {
            nd.inbox.push_back(note);
            self.called.insert(id);
        }
    }

    fn empty_inboxes(&mut self) {
        loop {
            while let Some(note) = self.desk.inbox.pop_front() {
                self.desk.take(note, &mut self.rng);
            }
            while let Some((id, note)) = self.desk.outbox.pop_front() {
                self.post(id, note);
            }
            let Some(id) = self.called.pop_first() else { return };
            let Some(nd) = self.nodes.get_mut(&id) else { continue };
            while let Some(note) = nd.inbox.pop_front() {
                nd.take(note, self.desk.now);
            }
            let Desk { now, config, crowd, inbox, .. } = &mut self.desk;
            inbox.push_back(DeskNote::Room(nd.room(*now, config, *crowd)));
        }
    }
}
