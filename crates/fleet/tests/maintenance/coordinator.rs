//! The coordinator's side of maintenance: when a server counts as released and as offline, and the adoption of an order
//! book.

use crate::fixtures::{Driver, SERVER, ms, order, report};
use gullsail_fleet::ballot::Ballot;
use gullsail_fleet::maintenance::coordinator::{CommandDecision, CommandKind, RenewalReport};
use gullsail_fleet::maintenance::{OrderBook, OrderBookVersion, Stage};
use gullsail_fleet::process_id::ProcessId;
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::{HostId, Span};
use std::collections::BTreeSet;

fn command(kind: CommandKind) -> FleetCommand {
    FleetCommand {
        kind: kind as u32,
        servers: vec![SERVER.0],
        ..FleetCommand::default()
    }
}

/// All three hosts renew. Host 0 renews in its first incarnation until 2000, and after that in `incarnation`.
fn renew_all(driver: &mut Driver, incarnation: u64, at: i64, released: bool) {
    for host in 0..3 {
        let later = host == 0 && at > 2000;
        let restarted = later && incarnation == 2;
        let report = RenewalReport {
            incarnation: if later { incarnation } else { 1 },
            released: if released {
                BTreeSet::from([SERVER])
            } else {
                BTreeSet::new()
            },
            member_for: if restarted {
                Span::ZERO
            } else {
                Span::from_millis(19_000.0)
            },
            ..report(host, driver.version())
        };
        driver.renew(report, ms(at));
    }
    driver.advance(ms(at), true);
}

/// A host that has restarted reports that it released the server. Its earlier process may still run without a
/// connection to the coordinator, and may use the server for a lease plus the isolation grace, so the coordinator waits
/// for that long. For a host that did not restart it does not wait.
#[test]
fn a_server_is_drained_only_after_leases_of_earlier_processes_expired() {
    for (incarnation, drained_at) in [(1, 2500), (2, 6000)] {
        let mut driver = Driver::new(3, 2, None, ms(-20_000));
        renew_all(&mut driver, incarnation, 0, false);
        let command = FleetCommand {
            shard_away: true,
            ..command(CommandKind::TakeOffline)
        };
        assert_eq!(driver.command(&command, ms(0)), CommandDecision::Pending);
        for at in [500, 1000, 1500, 2000] {
            renew_all(&mut driver, incarnation, at, false);
        }
        assert_eq!(
            driver.command(&command, ms(2000)),
            CommandDecision::Accepted
        );
        assert_eq!(driver.stage(), Some(Stage::Draining));
        let mut drained = None;
        for at in (2500..12_000).step_by(500) {
            renew_all(&mut driver, incarnation, at, true);
            if drained.is_none() && driver.stage() > Some(Stage::Draining) {
                drained = Some(at);
            }
        }
        // 2000 plus a lease and the isolation grace, or the first report of the release by a host that has the order.
        assert_eq!(drained, Some(drained_at), "incarnation {incarnation}");
    }
}

/// Host 0 has restarted and still uses the server; the other hosts have released it. The departure of host 0's earlier
/// process arrives late and must not count for the process that runs now.
#[test]
fn a_late_departure_of_an_earlier_process_does_not_count() {
    for (departed, expected) in [(1, Stage::Draining), (2, Stage::Drained)] {
        let mut driver = Driver::new(3, 2, None, ms(-20_000));
        renew_all(&mut driver, 2, 0, false);
        let command = FleetCommand {
            shard_away: true,
            ..command(CommandKind::TakeOffline)
        };
        driver.command(&command, ms(0));
        // Past 6000, until when the earlier process may use the server.
        for at in (500..=6500).step_by(500) {
            renew_all(&mut driver, 2, at, false);
        }
        assert_eq!(driver.stage(), Some(Stage::Draining));
        for host in [1, 2] {
            let report = RenewalReport {
                released: BTreeSet::from([SERVER]),
                ..report(host, driver.version())
            };
            driver.renew(report, ms(6500));
        }
        driver.coordinator.member_left(ProcessId {
            host: HostId(0),
            incarnation: departed,
        });
        driver.advance(ms(6500), true);
        assert_eq!(driver.stage(), Some(expected), "incarnation {departed}");
    }
}

fn order_book(round: u64, stage: Stage) -> OrderBook {
    let version = OrderBookVersion {
        ballot: Ballot { round, by: 0 },
        count: 3,
    };
    OrderBook {
        version,
        orders: vec![order(1, stage, 0)],
        anew: 0,
    }
}

/// The adopted order book: the stage of its order, and whether it was started without a quorum.
#[derive(Debug, PartialEq)]
struct Adopted {
    stage: Option<Stage>,
    anew: bool,
}

/// A new coordinator adopts the newest order book once so many hosts have reported theirs that every majority includes
/// one of them. If too many hosts have just started for that, it starts an order book without a quorum and marks it.
#[test]
fn an_order_book_is_adopted_from_enough_hosts_or_started_without_a_quorum() {
    let adopts = |stage, anew| {
        Some(Adopted {
            stage: Some(stage),
            anew,
        })
    };
    // round of the order book that each host reports (0: it has none); the adopted order book
    type Case = (&'static [u64], Option<Adopted>);
    let cases: [Case; 6] = [
        // One or two of five hosts have reported an order book: the other three may have a later one.
        (&[4], None),
        (&[4, 4], None),
        (&[4, 4, 0, 0], None),
        (&[4, 4, 6], adopts(Stage::Overdue, false)),
        (&[4, 4, 4], adopts(Stage::Approved, false)),
        (&[4, 0, 0, 0], adopts(Stage::Approved, true)),
    ];
    for (rounds, expected) in cases {
        let mut driver = Driver::new(5, 0, Some(order_book(4, Stage::Approved)), ms(0));
        for (host, round) in rounds.iter().enumerate() {
            let known = match round {
                0 => None,
                6 => Some(order_book(6, Stage::Offline)),
                _ => Some(order_book(4, Stage::Approved)),
            };
            let version = known.as_ref().map(|order_book| order_book.version);
            driver.report(report(host as u32, version), ms(0));
            if let Some(order_book) = known {
                driver.coordinator.order_book_reported(order_book);
            }
        }
        driver.advance(ms(500), false);
        assert_eq!(
            driver.coordinator.order_book(),
            None,
            "{rounds:?}: before earlier grants have expired"
        );
        driver.advance(ms(1000), true);
        assert_eq!(adopted(&driver), expected, "{rounds:?}");
    }
}

fn adopted(driver: &Driver) -> Option<Adopted> {
    // An approved order may start to drain in the same step.
    let stage = driver.stage().map(|stage| {
        if stage == Stage::Draining {
            Stage::Approved
        } else {
            stage
        }
    });
    let order_book = driver.coordinator.order_book()?;
    Some(Adopted {
        stage,
        anew: order_book.anew != 0,
    })
}

/// All five hosts renew and report that they released the server. The first `informed` hosts have the newest order
/// book, the others have version `old`.
fn all_released(
    driver: &mut Driver,
    at: i64,
    informed: u32,
    old: Option<OrderBookVersion>,
) -> Option<Stage> {
    for host in 0..5 {
        let known = if host < informed {
            driver.version()
        } else {
            old
        };
        let report = RenewalReport {
            released: BTreeSet::from([SERVER]),
            ..report(host, known)
        };
        driver.renew(report, ms(at));
    }
    driver.advance(ms(at), true);
    driver.stage()
}

/// All hosts have released the server, but its order becomes offline only once a majority of hosts has the drained
/// order. A drained or offline order cannot be cancelled.
#[test]
fn a_server_is_offline_once_a_majority_has_the_drained_order() {
    let before = order_book(9, Stage::Draining);
    let mut driver = Driver::new(5, 4, Some(before.clone()), ms(0));
    assert_eq!(
        all_released(&mut driver, 0, 0, Some(before.version)),
        Some(Stage::Draining),
        "no host has the adopted order book"
    );
    let adopted_version = driver.version();
    assert_eq!(
        all_released(&mut driver, 100, 5, adopted_version),
        Some(Stage::Drained)
    );
    assert_eq!(
        all_released(&mut driver, 200, 2, adopted_version),
        Some(Stage::Drained),
        "two of five have the order book"
    );
    let decision = driver.command(&command(CommandKind::Cancel), ms(200));
    let CommandDecision::Refused { refusal, .. } = decision else {
        panic!("{decision:?}")
    };
    assert!(refusal.to_string().contains("out already"));
    assert_eq!(
        all_released(&mut driver, 300, 3, adopted_version),
        Some(Stage::Offline)
    );
    let decision = driver.command(&command(CommandKind::Cancel), ms(300));
    assert!(matches!(decision, CommandDecision::Refused { .. }));
    assert_eq!(
        driver.command(&command(CommandKind::Return), ms(300)),
        CommandDecision::Pending
    );
    assert_eq!(
        all_released(&mut driver, 350, 3, adopted_version),
        Some(Stage::Returning)
    );
}
