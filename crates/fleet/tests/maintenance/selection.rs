//! Table tests of the selection of the next server.

use crate::fixtures::{maintenance_config, order, servers, snapshot};
use gullsail_fleet::maintenance::Stage::{Approved, Done, Draining, Offline, Requested, Returning};
use gullsail_fleet::maintenance::selection::{permanent_blocker, select_next};
use gullsail_fleet::maintenance::{FleetSnapshot, MaintenanceConfig, OrderBook, ServerId, Stage};
use std::collections::BTreeSet;

struct Case {
    /// Server, stage, and how often the order was overtaken.
    orders: &'static [(u64, Stage, u32)],
    /// Servers that have failed.
    failed: &'static [u64],
    members: &'static [u32],
    served: f64,
    second_of_day: u32,
    /// The server that is selected.
    next: Option<u64>,
    /// Servers that wait, and a part of the reason for each.
    waiting: &'static [(u64, &'static str)],
}

const CASE: Case = Case {
    orders: &[],
    failed: &[],
    members: &[0, 1, 2, 3, 4],
    served: 0.0,
    second_of_day: 40_000,
    next: None,
    waiting: &[],
};

const CASES: [Case; 17] = [
    Case {
        orders: &[(1, Approved, 0), (2, Approved, 0)],
        next: Some(1),
        waiting: &[(2, "another server goes first")],
        ..CASE
    },
    // A requested order is not approved yet. An order that is blocked by its zone's limit does not delay a later one.
    Case {
        orders: &[(1, Requested, 0)],
        ..CASE
    },
    Case {
        orders: &[(1, Offline, 0), (3, Approved, 0), (4, Approved, 0)],
        next: Some(4),
        waiting: &[(3, "1 of 1 away in its zone")],
        ..CASE
    },
    Case {
        orders: &[(1, Draining, 0), (4, Returning, 0), (12, Approved, 0)],
        waiting: &[(12, "2 of 2 away in all")],
        ..CASE
    },
    // Servers whose orders are done or cancelled are not away.
    Case {
        orders: &[(1, Done, 0), (3, Approved, 0)],
        next: Some(3),
        ..CASE
    },
    // The other holder of the shard is away by its order, or has failed.
    Case {
        orders: &[(1, Offline, 0), (2, Approved, 0)],
        waiting: &[(2, "shard 1 would have too few holders left")],
        ..CASE
    },
    Case {
        orders: &[(1, Approved, 0)],
        failed: &[2],
        waiting: &[(1, "shard 1 would have too few holders left")],
        ..CASE
    },
    // A failed server comes first, since taking it offline removes no capacity. The limit of servers under maintenance
    // still applies.
    Case {
        orders: &[(1, Approved, 0), (4, Approved, 0)],
        failed: &[4],
        next: Some(4),
        waiting: &[(1, "another server goes first")],
        ..CASE
    },
    Case {
        orders: &[(1, Offline, 0), (12, Offline, 0), (4, Approved, 0)],
        failed: &[4],
        waiting: &[(4, "2 of 2 away in all")],
        ..CASE
    },
    // Two servers have failed, so a healthy one cannot go: the limit of servers away is reached.
    Case {
        orders: &[(1, Approved, 0)],
        failed: &[4, 6],
        waiting: &[(1, "2 of 2 away in all")],
        ..CASE
    },
    // The present load must fit: five nodes have a capacity of 500 units, of which nine tenths may be used.
    Case {
        orders: &[(1, Approved, 0)],
        served: 449.0,
        next: Some(1),
        ..CASE
    },
    Case {
        orders: &[(1, Approved, 0)],
        served: 451.0,
        waiting: &[(1, "too much for the remaining capacity of")],
        ..CASE
    },
    // No server starts to drain in quiet hours.
    Case {
        orders: &[(1, Approved, 0)],
        second_of_day: 80_000,
        waiting: &[(1, "quiet hours: no server goes between 22:00 and 06:00")],
        ..CASE
    },
    Case {
        orders: &[(1, Approved, 0)],
        second_of_day: 21_600,
        next: Some(1),
        ..CASE
    },
    // The coordinator (host 0) drains last. Hosts that are not members count as away.
    Case {
        orders: &[(11, Approved, 0), (1, Approved, 0)],
        next: Some(1),
        waiting: &[(11, "this host is the coordinator and goes last")],
        ..CASE
    },
    Case {
        orders: &[(11, Approved, 0)],
        members: &[0, 1, 3],
        waiting: &[(11, "2 of 2 away in all")],
        ..CASE
    },
    // An order that was overtaken too often is protected: server 5 may not start before it.
    Case {
        orders: &[(2, Offline, 0), (4, Approved, 4), (5, Approved, 0)],
        waiting: &[(4, "1 of 1 away in its zone"), (5, "another")],
        ..CASE
    },
];

#[test]
fn selection_keeps_the_limits_and_skips_blocked_orders() {
    CASES.iter().for_each(check);
}

fn check(case: &Case) {
    let Case { orders, failed, .. } = case;
    let listed = orders
        .iter()
        .map(|(server, stage, overtaken)| order(*server, *stage, *overtaken));
    let order_book = OrderBook {
        orders: listed.collect(),
        ..OrderBook::default()
    };
    let mut servers = servers();
    for server in *failed {
        servers.get_mut(&ServerId(*server)).unwrap().in_service = false;
    }
    let members: BTreeSet<u32> = case.members.iter().copied().collect();
    let snapshot = FleetSnapshot {
        served: case.served,
        second_of_day: case.second_of_day,
        ..snapshot(&servers, &members, 5, 0)
    };
    let got = select_next(&order_book, &maintenance_config(), &snapshot);
    assert_eq!(
        got.next,
        case.next.map(ServerId),
        "{orders:?} {failed:?}: {:?}",
        got.waiting
    );
    for (server, expected) in case.waiting {
        let wait = got
            .waiting
            .iter()
            .find(|wait| wait.server == ServerId(*server));
        let reason = wait.map(|wait| wait.reason.as_str()).unwrap_or_default();
        assert!(
            reason.contains(expected),
            "{orders:?} {failed:?}: {server} waits for {reason:?}, not {expected:?}"
        );
    }
}

#[test]
fn too_small_a_quorum_or_capacity_blocks_an_order() {
    let mut config = MaintenanceConfig {
        at_once: 9,
        in_zone: 9,
        in_pool: 9,
        ..maintenance_config()
    };
    let servers = servers();
    let members: BTreeSet<u32> = (0..5).collect();
    // offline, next, whether it is selected
    let cases: [(&[u64], u64, bool); 6] = [
        (&[12], 14, true),
        (&[12], 13, false),     // two of three voters would be away
        (&[14, 15], 12, false), // three of five hosts would be away
        (&[1, 3], 5, true),     // half of all capacity would remain
        (&[1, 3, 5], 2, false),
        (&[14], 11, true),
    ];
    for (offline, server, selected) in cases {
        let mut orders: Vec<_> = offline
            .iter()
            .map(|server| order(*server, Offline, 0))
            .collect();
        orders.push(order(server, Approved, 0));
        let order_book = OrderBook {
            orders,
            ..OrderBook::default()
        };
        let selection = select_next(&order_book, &config, &snapshot(&servers, &members, 5, 9));
        assert_eq!(
            selection.next == Some(ServerId(server)),
            selected,
            "{offline:?}, then {server}"
        );
    }
    assert_eq!(permanent_blocker(&config, &servers, ServerId(1)), None);
    config.keep = 0.9;
    let refusal = permanent_blocker(&config, &servers, ServerId(1));
    assert!(refusal.is_some_and(|refusal| refusal.to_string().contains("keep=0.9")));
}
