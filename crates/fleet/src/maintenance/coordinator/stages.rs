//! Decides which orders move to their next stage, and what the others wait for.

use super::MaintenanceCoordinator;
use crate::config::FleetConfig;
use crate::maintenance::config::MaintenanceConfig;
use crate::maintenance::order::{Order, Stage};
use crate::maintenance::order_book::OrderBook;
use crate::maintenance::server::{ServerId, ServerObservation, ServerRole};
use crate::maintenance::snapshot::FleetSnapshot;
use gullsail_scheduler_api::{HostId, Instant};

const MOST_HOSTS_UNINFORMED: &str = "a majority of hosts does not know the order yet";

/// An order moves to another stage.
pub(super) struct StageChange {
    pub(super) server: ServerId,
    pub(super) stage: Stage,
}

/// What an order waits for from now on.
pub(super) struct WaitUpdate {
    pub(super) server: ServerId,
    pub(super) waits: String,
    /// The hosts that it waits for, or did not wait for.
    pub(super) hosts: Vec<u32>,
}

impl WaitUpdate {
    pub(super) fn new(server: ServerId, waits: impl Into<String>) -> WaitUpdate {
        WaitUpdate {
            server,
            waits: waits.into(),
            hosts: Vec::new(),
        }
    }
}

/// What is to be done with the open orders.
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

    fn wait(&mut self, order: &Order, waits: &str, hosts: Vec<u32>) {
        self.updates.push(WaitUpdate {
            server: order.server,
            waits: waits.into(),
            hosts,
        });
    }
}

/// A host that runs another process than the one that was to drain.
pub(super) struct RestartedHost {
    order: u64,
    incarnation: u64,
}

/// Hosts that died while they drained and have restarted: they have to drain again.
pub(super) fn restarted_hosts(
    order_book: &OrderBook,
    snapshot: &FleetSnapshot,
) -> Vec<RestartedHost> {
    let restarted = |order: &Order| {
        let seen = snapshot.servers.get(&order.server)?;
        let is_host = matches!(seen.what, ServerRole::Host(_));
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
    /// Decides what is to be done with one open order.
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
            Stage::Requested => plan.wait(order, MOST_HOSTS_UNINFORMED, Vec::new()),
            Stage::Draining => self.plan_draining(config, maintenance, now, seen, order, plan),
            Stage::Drained if self.is_committed(config, order.version) => {
                plan.change(order, Stage::Offline);
                plan.wait(order, "", order.hosts.clone());
            }
            Stage::Drained => plan.wait(order, MOST_HOSTS_UNINFORMED, order.hosts.clone()),
            Stage::Offline | Stage::Overdue => plan_offline(now, snapshot, seen, order, plan),
            Stage::Returning if order.aged(now) >= maintenance.watched => {
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

    /// A draining host is done once it has left or released itself; a node must be released by all hosts.
    fn plan_draining(
        &self,
        config: &FleetConfig,
        maintenance: &MaintenanceConfig,
        now: Instant,
        seen: Option<&ServerObservation>,
        order: &Order,
        plan: &mut StagePlan,
    ) {
        let users: Vec<HostId> = match seen.map(|seen| &seen.what) {
            Some(ServerRole::Host(host)) => vec![HostId(*host)],
            _ => config.all_hosts().collect(),
        };
        let uses = |host: &&HostId| self.may_send_until(config, maintenance, **host, order) > now;
        let using: Vec<u32> = users.iter().filter(uses).map(|host| host.0).collect();
        if !using.is_empty() {
            return plan.wait(order, "hosts still use this server", using);
        }
        // Hosts whose process never reported that it released the server, and whose lease was waited for.
        let unreported = users
            .iter()
            .filter(|host| !self.has_released(**host, order));
        plan.change(order, Stage::Drained);
        plan.wait(order, "", unreported.map(|host| host.0).collect());
    }

    pub(super) fn follow_restarts(&mut self, restarted: &[RestartedHost]) {
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

fn plan_offline(
    now: Instant,
    snapshot: &FleetSnapshot,
    seen: Option<&ServerObservation>,
    order: &Order,
    plan: &mut StagePlan,
) {
    // A process that started before the server went offline is not a return, even if the coordinator learns of
    // it only now.
    let offline_for = if order.stage == Stage::Offline {
        order.aged(now)
    } else {
        order.longest + order.aged(now)
    };
    let has_returned = seen.is_some_and(|seen| {
        let restarted = seen.incarnation != 0 && seen.incarnation != order.incarnation;
        restarted && seen.up < offline_for && snapshot.is_well(seen)
    });
    if order.returns && has_returned {
        plan.change(order, Stage::Returning);
    } else if order.stage == Stage::Offline && order.aged(now) >= order.longest {
        plan.change(order, Stage::Overdue);
    }
}
