//! The coordinator's side: when a server counts as released and as offline, and how an order book is taken
//! over.

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

/// All three hosts renew. Host 0 is last known in its first incarnation at 2000, and from then on in this
/// one.
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

/// A host that died and has restarted reports that it released the server; the process before may live on,
/// cut off, with a lease and then the blind time: the server is not drained before that process is surely
/// over. With a host that was a member all the while nothing is waited for.
#[test]
fn a_process_that_may_live_on_under_a_name_is_waited_out() {
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
        let mut went_at = None;
        for at in (2500..12_000).step_by(500) {
            renew_all(&mut driver, incarnation, at, true);
            if went_at.is_none() && driver.stage() > Some(Stage::Draining) {
                went_at = Some(at);
            }
        }
        // 2000 and a lease and the blind time, or the first report that it released the server and knows the
        // order.
        assert_eq!(went_at, Some(drained_at), "incarnation {incarnation}");
    }
}

/// Host 0 has restarted and still uses the server, the other hosts have released it. The departure of host 0's
/// earlier process comes late and does not stand for the process that runs now.
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
        // Beyond 6000, when the earlier process may have used the server last.
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

/// What is taken over: the stage of the order, and whether the order book was begun anew.
#[derive(Debug, PartialEq)]
struct TakenOver {
    stage: Option<Stage>,
    anew: bool,
}

/// A new coordinator takes over the newest order book among so many informed hosts that any majority has one
/// of them; where too many hosts have just started for that ever to be, it begins anew and says so.
#[test]
fn an_order_book_is_taken_over_from_enough_hosts_or_begun_anew() {
    let taken = |stage, anew| {
        Some(TakenOver {
            stage: Some(stage),
            anew,
        })
    };
    // what each host that reports remembers, by round (0: nothing); what is taken over
    type Case = (&'static [u64], Option<TakenOver>);
    let cases: [Case; 6] = [
        // Its own order book alone, or with one more: a majority of others may know a later one.
        (&[4], None),
        (&[4, 4], None),
        (&[4, 4, 0, 0], None),
        (&[4, 4, 6], taken(Stage::Overdue, false)),
        (&[4, 4, 4], taken(Stage::Approved, false)),
        (&[4, 0, 0, 0], taken(Stage::Approved, true)),
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
            "{rounds:?}: before earlier grants are over"
        );
        driver.advance(ms(1000), true);
        assert_eq!(taken_over(&driver), expected, "{rounds:?}");
    }
}

fn taken_over(driver: &Driver) -> Option<TakenOver> {
    // An approved order may start to drain in the same step.
    let stage = driver.stage().map(|stage| {
        if stage == Stage::Draining {
            Stage::Approved
        } else {
            stage
        }
    });
    let order_book = driver.coordinator.order_book()?;
    Some(TakenOver {
        stage,
        anew: order_book.anew != 0,
    })
}

/// All five hosts renew and have released the server. The first `informed` know the newest order book, the
/// others `old`.
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

/// All hosts have released the server, but it is offline only when most know that; from then on no
/// cancellation is accepted, whoever is coordinator.
#[test]
fn a_server_is_offline_when_most_hosts_know_that_all_released_it_and_that_is_final() {
    let before = order_book(9, Stage::Draining);
    let mut driver = Driver::new(5, 4, Some(before.clone()), ms(0));
    assert_eq!(
        all_released(&mut driver, 0, 0, Some(before.version)),
        Some(Stage::Draining),
        "nobody knows the order book that was taken over"
    );
    let taken_over = driver.version();
    assert_eq!(
        all_released(&mut driver, 100, 5, taken_over),
        Some(Stage::Drained)
    );
    assert_eq!(
        all_released(&mut driver, 200, 2, taken_over),
        Some(Stage::Drained),
        "two of five know"
    );
    let decision = driver.command(&command(CommandKind::Cancel), ms(200));
    let CommandDecision::Refused { refusal, .. } = decision else {
        panic!("{decision:?}")
    };
    assert!(refusal.to_string().contains("out already"));
    assert_eq!(
        all_released(&mut driver, 300, 3, taken_over),
        Some(Stage::Offline)
    );
    let decision = driver.command(&command(CommandKind::Cancel), ms(300));
    assert!(matches!(decision, CommandDecision::Refused { .. }));
    assert_eq!(
        driver.command(&command(CommandKind::Return), ms(300)),
        CommandDecision::Pending
    );
    assert_eq!(
        all_released(&mut driver, 350, 3, taken_over),
        Some(Stage::Returning)
    );
}
