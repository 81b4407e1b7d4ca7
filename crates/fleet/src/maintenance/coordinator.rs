//! The coordinator's side of maintenance. It adopts the newest order book that a majority knows, learns from
//! renewals which host has released which server, and moves each order from stage to stage. Called by
//! `Fleet` while this host is the coordinator; it sends nothing itself. It owns no state that has to survive
//! it: other hosts hold copies of the order book.

mod commands;
mod stages;
mod usage;

pub use commands::{CommandDecision, CommandKind};
pub use usage::RenewalReport;

use super::config::MaintenanceConfig;
use super::order::{Order, Stage};
use super::order_book::{OrderBook, OrderBookVersion, truncate};
use super::selection::select_next;
use super::server::ServerId;
use super::snapshot::FleetSnapshot;
use crate::ballot::Ballot;
use crate::config::FleetConfig;
use gullsail_scheduler_api::{HostId, Instant, Span};
use stages::{StagePlan, WaitUpdate, restarted_hosts};
use std::collections::{BTreeMap, BTreeSet};
use usage::HostUsage;

/// How often changed wait reasons are published while no order moves, in leases. Each publication is a new
/// version that is sent to all hosts; when it is larger, operators see older reasons.
const PUBLISH_INTERVAL_LEASES: f64 = 0.5;
/// How long a finished order is still shown to operators.
const SHOWN_AFTER_END: Span = Span::from_micros(120_000_000);

/// Moves orders from stage to stage.
#[derive(Clone, Debug)]
pub struct MaintenanceCoordinator {
    elected_at: Instant,
    ballot: Ballot,
    /// The order book's count when it first had this ballot: a host that knows that version knows all before
    /// it.
    first_count: u64,
    /// `None`: not known yet, since no majority that remembers one has reported.
    order_book: Option<OrderBook>,
    /// The newest of those that were reported.
    newest_reported: Option<OrderBook>,
    usage: BTreeMap<HostId, HostUsage>,
    /// Hosts that have reported the version that they know.
    informed: BTreeSet<HostId>,
    /// Hosts that have reported that they know none.
    uninformed: BTreeSet<HostId>,
    published_at: Instant,
}

impl MaintenanceCoordinator {
    /// `own`: the order book that this host knows, if it knows one.
    pub fn new(ballot: Ballot, own: Option<OrderBook>, now: Instant) -> MaintenanceCoordinator {
        MaintenanceCoordinator {
            elected_at: now,
            ballot,
            first_count: 0,
            order_book: None,
            newest_reported: own,
            usage: BTreeMap::new(),
            informed: BTreeSet::new(),
            uninformed: BTreeSet::new(),
            published_at: now,
        }
    }

    /// The order book, once it is taken over.
    pub fn order_book(&self) -> Option<&OrderBook> {
        self.order_book.as_ref()
    }

    /// A member reports its order book to a coordinator that may not know it.
    pub fn order_book_reported(&mut self, order_book: OrderBook) {
        if self
            .newest_reported
            .as_ref()
            .is_none_or(|newest| newest.version < order_book.version)
        {
            self.newest_reported = Some(order_book);
        }
    }

    /// Counts a change of the order book. Returns the new count; `None`: there is no order book yet.
    fn count_change(&mut self) -> Option<u64> {
        let order_book = self.order_book.as_mut()?;
        let count = order_book.version.count + 1;
        order_book.version = OrderBookVersion {
            ballot: self.ballot,
            count,
        };
        Some(count)
    }

    fn set_stage(&mut self, server: ServerId, stage: Stage, now: Instant) {
        let Some(count) = self.count_change() else {
            return;
        };
        let order_book = self.order_book.as_mut();
        if let Some(order) = order_book.and_then(|order_book| order_book.order_mut(server)) {
            order.stage = stage;
            order.version = count;
            order.age = Span::ZERO;
            order.as_of = now;
            order.waiting_for.clear();
        }
    }

    /// The coordinator lease was renewed by a later ballot: the order book's next version has it.
    fn follow_ballot(&mut self, ballot: Ballot) {
        if self.ballot != ballot {
            self.ballot = ballot;
            self.first_count = self.count_change().unwrap_or(0);
        }
    }

    /// Takes over the newest order book that a majority knows, once enough hosts have reported.
    fn adopt(&mut self, config: &FleetConfig, takeover_complete: bool) {
        if self.order_book.is_some() || !takeover_complete {
            return;
        }
        // Any set of `enough` hosts contains one of every majority, so it knows what any majority knew. If too
        // many hosts report that they know none, that quorum can never be reached.
        let enough = config.hosts as usize + 1 - config.majority_of_hosts();
        let never_enough = self.uninformed.len() + enough > config.hosts as usize;
        if self.informed.len() < enough && !never_enough {
            return;
        }
        let mut order_book = self.newest_reported.take().unwrap_or_default();
        if self.informed.len() < enough {
            order_book.anew = self.ballot.round;
        }
        order_book.version = OrderBookVersion {
            ballot: self.ballot,
            count: order_book.version.count + 1,
        };
        self.first_count = order_book.version.count;
        // A host that knows this version knows the stages of all orders in it.
        for order in &mut order_book.orders {
            order.version = self.first_count;
        }
        self.order_book = Some(order_book);
    }

    /// Does what is due. `takeover_complete`: no grant of an earlier coordinator is in force any more.
    pub fn advance(
        &mut self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
        now: Instant,
        snapshot: &FleetSnapshot,
        ballot: Ballot,
        takeover_complete: bool,
    ) {
        self.follow_ballot(ballot);
        self.adopt(config, takeover_complete);
        let Some(order_book) = &self.order_book else {
            return;
        };
        let count_before = order_book.version.count;
        let mut plan = StagePlan::default();
        for order in order_book.open() {
            self.plan_order(config, maintenance, now, snapshot, order, &mut plan);
        }
        let restarted = restarted_hosts(order_book, snapshot);
        let is_forgotten =
            |order: &&Order| order.stage.over() && order.aged(now) >= SHOWN_AFTER_END;
        let forgotten: Vec<u64> = order_book
            .orders
            .iter()
            .filter(is_forgotten)
            .map(|order| order.number)
            .collect();
        for change in &plan.changes {
            self.set_stage(change.server, change.stage, now);
        }
        self.follow_restarts(&restarted);
        self.forget(&forgotten);
        let mut updates = plan.updates;
        updates.extend(self.start_next(maintenance, now, snapshot));
        let moved = self
            .order_book
            .as_ref()
            .is_some_and(|book| book.version.count != count_before);
        self.publish_waits(updates, moved, config, now);
    }

    /// Removes orders that have been over for long.
    fn forget(&mut self, numbers: &[u64]) {
        if numbers.is_empty() {
            return;
        }
        self.count_change();
        if let Some(order_book) = &mut self.order_book {
            order_book
                .orders
                .retain(|order| !numbers.contains(&order.number));
        }
    }

    /// Starts to drain the next server, if one may go. Returns what the others wait for.
    fn start_next(
        &mut self,
        maintenance: &MaintenanceConfig,
        now: Instant,
        snapshot: &FleetSnapshot,
    ) -> Vec<WaitUpdate> {
        let Some(order_book) = &self.order_book else {
            return Vec::new();
        };
        let selection = select_next(order_book, maintenance, snapshot);
        if let Some(server) = selection.next {
            let number = order_book.order(server).map_or(0, |order| order.number);
            self.set_stage(server, Stage::Draining, now);
            let incarnation = snapshot
                .servers
                .get(&server)
                .map_or(0, |seen| seen.incarnation);
            for order in self.order_book.iter_mut().flat_map(|book| &mut book.orders) {
                if order.stage == Stage::Approved && order.number < number {
                    order.passed += 1;
                }
                if order.server == server {
                    order.incarnation = incarnation;
                }
            }
        }
        let waiting = selection.waiting.into_iter();
        waiting
            .map(|wait| WaitUpdate::new(wait.server, wait.reason))
            .collect()
    }

    /// Writes wait reasons into the order book. When only they change, a new version is published less often:
    /// each version is sent to all hosts, and hundreds of hosts that release a server one by one would cause
    /// one at each of their renewals.
    fn publish_waits(
        &mut self,
        updates: Vec<WaitUpdate>,
        moved: bool,
        config: &FleetConfig,
        now: Instant,
    ) {
        if !moved && now - self.published_at < config.lease.times(PUBLISH_INTERVAL_LEASES) {
            return;
        }
        self.published_at = now;
        let mut changed = false;
        for WaitUpdate {
            server,
            waits,
            hosts,
        } in updates
        {
            let order_book = self.order_book.as_mut();
            if let Some(order) = order_book.and_then(|order_book| order_book.order_mut(server)) {
                changed |= order.waiting_for != waits || order.hosts != hosts;
                order.waiting_for = truncate(&waits);
                order.hosts = hosts;
            }
        }
        if changed {
            self.count_change();
        }
    }

    /// Whether this process of a host may be a member. A draining host may, since it must learn that it drains.
    /// Once it has left, only another process may join, and only if the order returns on a restart.
    pub fn may_join(&self, server: ServerId, incarnation: u64) -> bool {
        let Some(order) = self.order_book.as_ref().and_then(|book| book.order(server)) else {
            return true;
        };
        match order.stage {
            Stage::Draining => true,
            stage => !stage.barred() || order.returns && order.incarnation != incarnation,
        }
    }
}
