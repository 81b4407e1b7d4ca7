//! Decides which orders move to their next stage, and determines the wait reasons of the others.

use super::MaintenanceCoordinator;
use crate::config::FleetConfig;
use crate::maintenance::config::MaintenanceConfig;
use crate::maintenance::order::{Order, Stage};
use crate::maintenance::order_book::OrderBook;
use crate::maintenance::server::{ServerId, ServerObservation, ServerRole};
use crate::maintenance::snapshot::FleetSnapshot;
use gullsail_scheduler_api::{HostId, Instant};

const NO_MAJORITY_HAS_ORDER: &str = "a majority of hosts does not know the order yet";

/// A change of an order's stage.
pub(super) struct StageChange {
    pub(super) server: ServerId,
    pub(super) stage: Stage,
}

/// A new wait reason of an order.
pub(super) struct WaitUpdate {
    pub(super) server: ServerId,
    /// What the order waits for; empty: it does not wait.
    pub(super) reason: String,
    /// The new value of [`Order::hosts`].
    pub(super) hosts: Vec<u32>,
}

impl WaitUpdate {
    pub(super) fn new(server: ServerId, reason: impl Into<String>) -> WaitUpdate {
        WaitUpdate {
            server,
            reason: reason.into(),
            hosts: Vec::new(),
        }
    }
}

/// The changes to make to the open orders.
#[derive(Default)]
pub(super) struct StagePlan {
    pub(super) changes: Vec<StageChange>,
    pub(super) updates: Vec<WaitUpdate>,
}

impl StagePlan {
    fn change(&mut self, order: &Order, stage: Stage) {
        self.changes.push(StageChange {
            server: order.server,
            stage,
        });
    }

    fn wait(&mut self, order: &Order, reason: &str, hosts: Vec<u32>) {
        self.updates.push(WaitUpdate {
            server: order.server,
            reason: reason.into(),
            hosts,
        });
    }
}

/// A host that runs another process than the one that its order drains.
pub(super) struct RestartedHost {
    /// The number of the order.
    order: u64,
    /// The incarnation of the process that runs now.
    incarnation: u64,
}

/// Returns the hosts that crashed while draining and have restarted. Their new process has to drain.
pub(super) fn restarted_hosts(
    order_book: &OrderBook,
    snapshot: &FleetSnapshot,
) -> Vec<RestartedHost> {
    let restarted = |order: &Order| {
        let seen = snapshot.servers.get(&order.server)?;
        let is_host = matches!(seen.role, ServerRole::Host(_));
        let is_other = seen.incarnation != 0 && seen.incarnation != order.incarnation;
        let restarted = order.stage == Stage::Draining && is_host && is_other;
        restarted.then_some(RestartedHost {
            order: order.number,
            incarnation: seen.incarnation,
        })
    };
    order_book.open().filter_map(restarted).collect()
}

impl MaintenanceCoordinator {
    /// Adds the changes to one open order to `plan`.
    pub(super) fn plan_order(
        &self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
        now: Instant,
        snapshot: &FleetSnapshot,
        order: &Order,
        plan: &mut StagePlan,
    ) {
        let seen = snapshot.servers.get(&order.server);
        match order.stage {
            Stage::Requested if self.is_committed(config, order.version) => {
                plan.change(order, Stage::Approved);
            }
            Stage::Requested => plan.wait(order, NO_MAJORITY_HAS_ORDER, Vec::new()),
            Stage::Draining => self.plan_draining(config, maintenance, now, seen, order, plan),
            Stage::Drained if self.is_committed(config, order.version) => {
                plan.change(order, Stage::Offline);
                plan.wait(order, "", order.hosts.clone());
            }
            Stage::Drained => plan.wait(order, NO_MAJORITY_HAS_ORDER, order.hosts.clone()),
            Stage::Offline | Stage::Overdue => plan_offline(now, snapshot, seen, order, plan),
            Stage::Returning if order.time_in_stage(now) >= maintenance.watched => {
                if seen.is_some_and(|seen| snapshot.is_well(seen)) {
                    plan.change(order, Stage::Done);
                } else {
                    plan.wait(
                        order,
                        "the server is not serving after its return",
                        Vec::new(),
                    );
                }
            }
            _ => {}
        }
    }

    /// Moves a draining order to `Drained` once the server is not in use. A node is in use while any host may send to
    /// it. A host is in use until it has left, has reported its own release, or its leases have expired.
    fn plan_draining(
        &self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
        now: Instant,
        seen: Option<&ServerObservation>,
        order: &Order,
        plan: &mut StagePlan,
    ) {
        let users: Vec<HostId> = match seen.map(|seen| &seen.role) {
            Some(ServerRole::Host(host)) => vec![HostId(*host)],
            _ => config.all_hosts().collect(),
        };
        let uses = |host: &&HostId| self.may_send_until(config, maintenance, **host, order) > now;
        let using: Vec<u32> = users.iter().filter(uses).map(|host| host.0).collect();
        if !using.is_empty() {
            return plan.wait(order, "hosts still use this server", using);
        }
        // Hosts that never reported the release of the server, so that the coordinator waited for their lease to
        // expire.
        let unreported = users
            .iter()
            .filter(|host| !self.has_released(**host, order));
        plan.change(order, Stage::Drained);
        plan.wait(order, "", unreported.map(|host| host.0).collect());
    }

    /// Sets the incarnation to drain in the orders of hosts that have restarted.
    pub(super) fn update_incarnations(&mut self, restarted: &[RestartedHost]) {
        if restarted.is_empty() {
            return;
        }
        self.count_change();
        for host in restarted {
            let orders = self
                .order_book
                .iter_mut()
                .flat_map(|order_book| &mut order_book.orders);
            for order in orders.filter(|order| order.number == host.order) {
                order.incarnation = host.incarnation;
            }
        }
    }
}

/// Moves an offline order to `Returning` once the server has restarted and serves, if that counts as its return, or to
/// `Overdue` once it has been offline for too long.
fn plan_offline(
    now: Instant,
    snapshot: &FleetSnapshot,
    seen: Option<&ServerObservation>,
    order: &Order,
    plan: &mut StagePlan,
) {
    // A process that started before the server went offline does not count as its return, even if the coordinator
    // observes it only now.
    let offline_for = if order.stage == Stage::Offline {
        order.time_in_stage(now)
    } else {
        order.max_offline + order.time_in_stage(now)
    };
    let has_returned = seen.is_some_and(|seen| {
        let restarted = seen.incarnation != 0 && seen.incarnation != order.incarnation;
        restarted && seen.uptime < offline_for && snapshot.is_well(seen)
    });
    if order.returns_on_restart && has_returned {
        plan.change(order, Stage::Returning);
    } else if order.stage == Stage::Offline && order.time_in_stage(now) >= order.max_offline {
        plan.change(order, Stage::Overdue);
    }
}
