//! The coordinator's side of maintenance. It adopts the newest order book that a majority of hosts has, records from
//! renewals which host has released which server, and moves orders from stage to stage. Called by `Fleet` while this
//! host is the coordinator; it sends nothing itself. Its state need not survive it, since other hosts have copies of
//! the order book.

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

/// The interval between publications of changed wait reasons while no order changes its stage, in member leases. Each
/// publication is a new version that is sent to all hosts. With a longer interval operators see older reasons.
const PUBLISH_INTERVAL_LEASES: f64 = 0.5;
/// How long a done or cancelled order is kept in the order book for operators.
const SHOWN_AFTER_END: Span = Span::from_micros(120_000_000);

/// Moves orders from stage to stage.
#[derive(Clone, Debug)]
pub struct MaintenanceCoordinator {
    elected_at: Instant,
    ballot: Ballot,
    /// The order book's count when it first had this ballot. A host that has that version has all earlier changes.
    first_count: u64,
    /// The adopted order book; `None`: none is adopted yet, since too few hosts have reported.
    order_book: Option<OrderBook>,
    /// The newest order book that a host has reported.
    newest_reported: Option<OrderBook>,
    usage: BTreeMap<HostId, HostUsage>,
    /// Hosts that have reported to have an order book.
    with_order_book: BTreeSet<HostId>,
    /// Hosts that have reported to have no order book.
    without_order_book: BTreeSet<HostId>,
    /// When wait reasons were last published.
    published_at: Instant,
}

impl MaintenanceCoordinator {
    /// Creates the state of a coordinator that was elected at `now`. `host_copy` is its host's copy of the order book,
    /// if it has one.
    pub fn new(
        ballot: Ballot,
        host_copy: Option<OrderBook>,
        now: Instant,
    ) -> MaintenanceCoordinator {
        MaintenanceCoordinator {
            elected_at: now,
            ballot,
            first_count: 0,
            order_book: None,
            newest_reported: host_copy,
            usage: BTreeMap::new(),
            with_order_book: BTreeSet::new(),
            without_order_book: BTreeSet::new(),
            published_at: now,
        }
    }

    /// Returns the order book; `None`: none is adopted yet.
    pub fn order_book(&self) -> Option<&OrderBook> {
        self.order_book.as_ref()
    }

    /// Records an order book that a member reports, if it is the newest reported so far.
    pub fn order_book_reported(&mut self, order_book: OrderBook) {
        if self
            .newest_reported
            .as_ref()
            .is_none_or(|newest| newest.version < order_book.version)
        {
            self.newest_reported = Some(order_book);
        }
    }

    /// Starts a new version of the order book. Returns its count; `None`: no order book is adopted yet.
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

    /// Starts a version with the ballot of the coordinator lease, if the lease was renewed by another ballot.
    fn follow_ballot(&mut self, ballot: Ballot) {
        if self.ballot != ballot {
            self.ballot = ballot;
            self.first_count = self.count_change().unwrap_or(0);
        }
    }

    /// Adopts the newest reported order book, once enough hosts have reported.
    fn adopt(&mut self, config: &FleetConfig, takeover_complete: bool) {
        if self.order_book.is_some() || !takeover_complete {
            return;
        }
        // Any `enough` hosts include a host of every majority, so the newest of their order books is at least as new as
        // any that a majority had. If too many hosts report to have none, so many can never be reported: the newest
        // reported one is adopted all the same, or an empty one, and `anew` records that orders may be lost.
        let enough = config.hosts as usize + 1 - config.majority_of_hosts();
        let never_enough = self.without_order_book.len() + enough > config.hosts as usize;
        if self.with_order_book.len() < enough && !never_enough {
            return;
        }
        let mut order_book = self.newest_reported.take().unwrap_or_default();
        if self.with_order_book.len() < enough {
            order_book.anew = self.ballot.round;
        }
        order_book.version = OrderBookVersion {
            ballot: self.ballot,
            count: order_book.version.count + 1,
        };
        self.first_count = order_book.version.count;
        // A host that has this version has the stages of all orders in it.
        for order in &mut order_book.orders {
            order.version = self.first_count;
        }
        self.order_book = Some(order_book);
    }

    /// Adopts the order book if that is possible, and moves orders to their next stages. `takeover_complete`: every
    /// grant of an earlier coordinator has been reported or has expired.
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
        let is_outdated =
            |order: &&Order| order.stage.has_ended() && order.time_in_stage(now) >= SHOWN_AFTER_END;
        let outdated: Vec<u64> = order_book
            .orders
            .iter()
            .filter(is_outdated)
            .map(|order| order.number)
            .collect();
        for change in &plan.changes {
            self.set_stage(change.server, change.stage, now);
        }
        self.update_incarnations(&restarted);
        self.remove_orders(&outdated);
        let mut updates = plan.updates;
        updates.extend(self.start_next(maintenance, now, snapshot));
        let stages_changed = self
            .order_book
            .as_ref()
            .is_some_and(|book| book.version.count != count_before);
        self.publish_waits(updates, stages_changed, config, now);
    }

    /// Removes the orders with these numbers from the order book.
    fn remove_orders(&mut self, numbers: &[u64]) {
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

    /// Starts to drain the next server, if one can drain now. Returns the wait reasons of the other approved orders.
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
                    order.times_overtaken += 1;
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

    /// Writes wait reasons into the order book. If no stage has changed, it does so only after the publish interval:
    /// each version is sent to all hosts, and hundreds of hosts that release a server one by one would cause a version
    /// with each of their renewals.
    fn publish_waits(
        &mut self,
        updates: Vec<WaitUpdate>,
        stages_changed: bool,
        config: &FleetConfig,
        now: Instant,
    ) {
        if !stages_changed && now - self.published_at < config.lease.times(PUBLISH_INTERVAL_LEASES)
        {
            return;
        }
        self.published_at = now;
        let mut changed = false;
        for WaitUpdate {
            server,
            reason,
            hosts,
        } in updates
        {
            let order_book = self.order_book.as_mut();
            if let Some(order) = order_book.and_then(|order_book| order_book.order_mut(server)) {
                changed |= order.waiting_for != reason || order.hosts != hosts;
                order.waiting_for = truncate(&reason);
                order.hosts = hosts;
            }
        }
        if changed {
            self.count_change();
        }
    }

    /// Whether this process of a host may be a member. A draining host may, since it must receive the order. Once it
    /// has left, only another process may join, and only if a restart counts as the return.
    pub fn may_join(&self, server: ServerId, incarnation: u64) -> bool {
        let Some(order) = self.order_book.as_ref().and_then(|book| book.order(server)) else {
            return true;
        };
        match order.stage {
            Stage::Draining => true,
            stage => {
                !stage.blocks_attempts()
                    || order.returns_on_restart && order.incarnation != incarnation
            }
        }
    }
}
