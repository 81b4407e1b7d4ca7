//! Maintenance in whole fleets, with random faults and in single cases: nothing is sent to a server that is offline,
//! the limits of servers away hold, and all orders end.

use crate::harness::{DRIFT, FIRST_NODE, Host, LEASE, NODES, Node, SECOND, World};
use crate::seeds;
use gullsail_fleet::fleet::CommandResult;
use gullsail_fleet::maintenance::coordinator::CommandKind;
use gullsail_fleet::maintenance::{MaintenanceConfig, ServerId, Stage};
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::Span;
use rand::Rng;
use std::collections::BTreeSet;

pub fn maintenance_config() -> MaintenanceConfig {
    MaintenanceConfig {
        at_once: 2,
        in_zone: 2,
        in_pool: 2,
        keep: 0.5,
        keep_shard: 0.5,
        busy: 0.9,
        longest: Span::from_millis(60_000.0),
        watched: Span::from_millis(300.0),
        isolation_grace: Span::from_millis(3000.0),
        quiet_hours: Vec::new(),
    }
}

fn node(index: u64) -> ServerId {
    ServerId(FIRST_NODE + index)
}

fn host(number: u32) -> ServerId {
    ServerId(u64::from(number) + 1)
}

fn stage(w: &World, server: ServerId) -> Option<Stage> {
    let stages = w
        .orders
        .stages
        .iter()
        .filter(|((ordered, _), _)| *ordered == server);
    stages
        .max_by_key(|((_, number), _)| *number)
        .map(|(_, stage)| *stage)
}

fn take_offline(returns: bool) -> FleetCommand {
    FleetCommand {
        shard_away: true,
        returns,
        ..FleetCommand::default()
    }
}

/// Runs for a time and acts as the operators: restarts each server that is shown as offline and commands its return.
fn run_with_operators(w: &mut World, span: i64) {
    let end = w.now + span;
    while w.now < end {
        w.run(100_000);
        // A return that only few hosts have may be lost with the coordinator. Some host then still shows the server as
        // offline, and the command is repeated.
        for server in shown_offline(w) {
            if server.0 >= FIRST_NODE {
                let index = (server.0 - FIRST_NODE) as usize;
                w.nodes[index] = Node {
                    incarnation: w.nodes[index].incarnation + 1,
                    well: true,
                };
            } else {
                let host = server.0 as u32 - 1;
                w.kill(host);
                w.start(host);
            }
            let receiver = w.rng.random_range(0..w.config.hosts);
            w.command(
                receiver,
                CommandKind::Return,
                &[server],
                FleetCommand::default(),
            );
        }
    }
}

/// The servers that are offline by the order book of any host.
fn shown_offline(w: &World) -> BTreeSet<ServerId> {
    let fleets = w.hosts.iter().filter_map(|host| host.fleet.as_ref());
    let orders = fleets.flat_map(|fleet| fleet.orders());
    let offline = orders.filter(|order| matches!(order.stage, Stage::Offline | Stage::Overdue));
    offline.map(|order| order.server).collect()
}

/// Describes the orders in each host's order book, for a failure message.
fn describe_orders(w: &World) -> String {
    let one = |host: &Host| {
        let Some(fleet) = &host.fleet else {
            return "down".to_string();
        };
        let status = fleet.status();
        let orders = fleet.orders().map(|order| {
            format!(
                "{}#{} {:?} {} {:?}",
                order.server.0, order.number, order.stage, order.waiting_for, order.hosts
            )
        });
        let orders: Vec<String> = orders.collect();
        let version = fleet.order_book().map(|order_book| order_book.version);
        format!(
            "coordinator {:?}, lease {:?}, draining {}, {version:?} {orders:?}",
            status.coordinator,
            status.lease_ms,
            fleet.going_offline()
        )
    };
    w.hosts.iter().map(one).collect::<Vec<_>>().join("\n")
}

/// The largest number of open orders in any host's order book; 1 if no host has an order book.
fn open_orders(w: &World) -> usize {
    let fleets = w.hosts.iter().filter_map(|host| host.fleet.as_ref());
    fleets
        .map(|fleet| {
            fleet
                .order_book()
                .map_or(1, |order_book| order_book.open().count())
        })
        .max()
        .unwrap_or(1)
}

/// Gives a random command for a random server, once or twice.
fn random_command(w: &mut World, hosts: u32) {
    let server = if w.rng.random_bool(0.7) {
        node(w.rng.random_range(0..NODES))
    } else {
        host(w.rng.random_range(0..hosts))
    };
    let kind = if w.rng.random_bool(0.8) {
        CommandKind::TakeOffline
    } else {
        CommandKind::Cancel
    };
    for _ in 0..w.rng.random_range(1..3) {
        let receiver = w.rng.random_range(0..hosts);
        let returns = w.rng.random_bool(0.5);
        w.command(receiver, kind, &[server], take_offline(returns));
    }
}

/// Runs a fleet for thirty seconds with random faults and with commands through random hosts, then without faults until
/// all orders have ended or the rounds are used up.
fn run_with_random_orders(seed: u64) -> World {
    let hosts = [3, 5, 5, 8][seed as usize % 4];
    let mut w = World::with_drift(hosts, seed, 10_000, DRIFT, Some(maintenance_config()));
    w.run(4 * LEASE);
    w.faults(w.now + 30 * SECOND, [0.0, 0.05, 0.3][seed as usize % 3]);
    let end = w.now + 30 * SECOND;
    while w.now < end {
        random_command(&mut w, hosts);
        let span = w.rng.random_range(0..2 * SECOND);
        run_with_operators(&mut w, span);
    }
    w.heal();
    run_with_operators(&mut w, 3 * LEASE);
    w.heal();
    // Two orders at a time drain, each for some leases. Orders that only few hosts had when the coordinator crashed
    // must not remain open.
    let mut rounds = 0;
    while open_orders(&w) > 0 && rounds < 60 {
        run_with_operators(&mut w, 2 * LEASE);
        rounds += 1;
        // Starts hosts that have left but are not shown as offline.
        if rounds % 10 == 0 {
            w.heal();
        }
    }
    w
}

#[test]
fn maintenance_keeps_its_invariants_through_random_faults() {
    let mut orders = 0;
    let mut done = 0;
    let mut anew = 0;
    for seed in seeds(60) {
        let w = run_with_random_orders(seed);
        assert_eq!(open_orders(&w), 0, "seed {seed}: {}", describe_orders(&w));
        let stages = &w.orders.stages;
        orders += stages.len();
        done += stages
            .values()
            .filter(|stage| **stage == Stage::Done)
            .count();
        anew += w.orders.anew.len();
    }
    if seeds(60).count() >= 60 {
        assert!(
            orders > 200 && done > orders / 2 && anew > 10,
            "{orders} orders, {done} done, {anew} starts without a quorum"
        );
    }
}

#[test]
fn a_node_goes_offline_and_returns() {
    for returns in [false, true] {
        let mut w = World::with_drift(5, 1, 10_000, DRIFT, Some(maintenance_config()));
        w.run(4 * LEASE);
        // The same command through two hosts results in one order.
        w.command(
            3,
            CommandKind::TakeOffline,
            &[node(0)],
            take_offline(returns),
        );
        w.command(
            1,
            CommandKind::TakeOffline,
            &[node(0)],
            take_offline(returns),
        );
        w.run(2 * LEASE);
        assert_eq!(stage(&w, node(0)), Some(Stage::Offline));
        assert_eq!(w.orders.stages.len(), 1);
        let accepted = w
            .answers
            .iter()
            .filter(|answer| answer.result == CommandResult::Accepted);
        assert_eq!(accepted.count(), 2, "{:?}", w.answers);
        // A process that started before the server went offline does not count as its return.
        w.nodes[0].incarnation = 98;
        w.up = Span::from_millis(60_000.0);
        w.run(2 * LEASE);
        assert_eq!(
            stage(&w, node(0)),
            Some(Stage::Offline),
            "returns {returns}"
        );
        w.nodes[0].incarnation = 99;
        w.up = Span::ZERO;
        w.run(2 * LEASE);
        let expected = if returns { Stage::Done } else { Stage::Offline };
        assert_eq!(stage(&w, node(0)), Some(expected), "returns {returns}");
        w.command(4, CommandKind::Return, &[node(0)], FleetCommand::default());
        w.run(3 * LEASE);
        assert_eq!(stage(&w, node(0)), Some(Stage::Done));
        let all_use = (0..5).all(|host| {
            let fleet = w.hosts[host as usize].fleet.as_ref();
            fleet.is_some_and(|fleet| fleet.may_use(node(0), w.clock(host, w.now)))
        });
        assert!(all_use, "all hosts may send to the node again");
    }
}

/// The coordinator takes its own server offline: it resigns and leaves before a majority of hosts has the draining
/// order. The next coordinator gets the order from the leaving host and does not wait for its lease to expire.
#[test]
fn the_coordinators_own_server_goes_offline_without_waiting_for_its_lease() {
    for (hosts, seed) in [(3, 1), (3, 2), (3, 3), (5, 4), (5, 5), (8, 6)] {
        let mut w = World::with_drift(hosts, seed, 10_000, DRIFT, Some(maintenance_config()));
        // Longer than the isolation grace, so that no lease of an earlier process has to be waited for.
        w.run(8 * LEASE);
        let is_coordinator = |number: &u32| {
            let fleet = w.hosts[*number as usize].fleet.as_ref();
            fleet.is_some_and(|fleet| fleet.is_coordinator(w.clock(*number, w.now)))
        };
        let coordinator = (0..hosts).find(is_coordinator).unwrap();
        let receiver = (coordinator + 1) % hosts;
        w.command(
            receiver,
            CommandKind::TakeOffline,
            &[host(coordinator)],
            take_offline(false),
        );
        w.run(4 * LEASE);
        let fleet = w.hosts[receiver as usize].fleet.as_ref().unwrap();
        let order = fleet
            .orders()
            .find(|order| order.server == host(coordinator));
        let order = order.unwrap();
        let described = describe_orders(&w);
        assert_eq!(order.stage, Stage::Offline, "seed {seed}: {described}");
        assert!(order.hosts.is_empty(), "seed {seed}: {described}");
        assert!(w.hosts[coordinator as usize].fleet.is_none());
        assert_eq!(
            w.orders.anew.len(),
            1,
            "seed {seed}: orders were lost: {described}"
        );
    }
}

/// Prints the time that all orders take and the number of messages, by the number of hosts, for docs/results.md. It is
/// run manually.
#[test]
#[ignore = "figures, not a verdict: cargo test -p gullsail-fleet --release --test world orders_by_size -- --ignored --nocapture"]
fn orders_by_size() {
    for (hosts, nodes) in [(24, 24), (100, 60), (300, 200)] {
        let config = MaintenanceConfig {
            at_once: 4,
            in_zone: 4,
            in_pool: 4,
            keep: 0.8,
            ..maintenance_config()
        };
        let mut w = World::with_drift(hosts, 1, 10_000, DRIFT, Some(config)).with_nodes(nodes);
        w.run(5 * LEASE);
        w.messages.fill(0);
        w.run(5 * LEASE);
        let mut calm = std::mem::take(&mut w.messages);
        w.messages = vec![0; hosts as usize];
        // One of the two holders of each shard, up to forty servers.
        let servers: Vec<ServerId> = (0..nodes).step_by(2).take(40).map(node).collect();
        let at = w.now;
        take_offline_and_restart(&mut w, hosts / 2, &servers);
        let leases = (w.now - at) as f64 / LEASE as f64;
        println!(
            "{hosts} hosts, {nodes} nodes: {} orders, four at once, done after {leases:.1} leases; {:.1} messages a second from a \
             host meanwhile, {:.1} before",
            servers.len(),
            median(&mut w.messages, leases),
            median(&mut calm, 5.0),
        );
    }
}

/// Takes servers offline by a command through a host and restarts each one once it is offline, until all orders are
/// done or ten minutes have passed.
fn take_offline_and_restart(w: &mut World, receiver: u32, servers: &[ServerId]) {
    let at = w.now;
    let command = FleetCommand {
        returns: true,
        ..FleetCommand::default()
    };
    w.command(receiver, CommandKind::TakeOffline, servers, command);
    let mut restarted: BTreeSet<ServerId> = BTreeSet::new();
    let in_stage = |w: &World, wanted: Stage| -> Vec<ServerId> {
        let servers = servers.iter().copied();
        servers
            .filter(|server| stage(w, *server) == Some(wanted))
            .collect()
    };
    while in_stage(w, Stage::Done).len() < servers.len() && w.now - at < 600 * SECOND {
        w.run(50_000);
        for server in in_stage(w, Stage::Offline) {
            if !restarted.insert(server) {
                continue;
            }
            let index = (server.0 - FIRST_NODE) as usize;
            w.nodes[index] = Node {
                incarnation: w.nodes[index].incarnation + 1000,
                well: true,
            };
        }
    }
}

fn median(messages: &mut [u64], leases: f64) -> f64 {
    messages.sort_unstable();
    messages[messages.len() / 2] as f64 / leases
}
