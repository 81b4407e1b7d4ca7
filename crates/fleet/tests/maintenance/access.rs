//! The servers that a host may send to, by its order book and its lease.

use crate::fixtures::{SERVER, maintenance_config, order};
use gullsail_fleet::maintenance::{OrderBook, Stage, may_use};
use gullsail_scheduler_api::Instant;

struct Case {
    /// The stage of the order for the server; `None`: there is no order.
    stage: Option<Stage>,
    /// When the lease that confirmed the order book expired; `None`: it has not expired.
    lease_lost: Option<i64>,
    now: i64,
    may: bool,
}

fn cases() -> [Case; 14] {
    use Stage::{Cancelled, Done, Drained, Draining, Offline, Overdue, Requested, Returning};
    let case = |stage, lease_lost, now, may| Case {
        stage,
        lease_lost,
        now,
        may,
    };
    [
        case(None, None, 0, true),
        case(Some(Requested), None, 0, true),
        case(Some(Draining), None, 0, false),
        case(Some(Drained), None, 0, false),
        case(Some(Offline), None, 0, false),
        case(Some(Overdue), None, 0, false),
        case(Some(Returning), None, 0, true),
        case(Some(Cancelled), None, 0, true),
        // Without a lease, a host may not send to servers with an open order, nor to others after the isolation grace.
        case(None, Some(100), 200, true),
        case(None, Some(100), 3000, true),
        case(None, Some(100), 3100, false),
        case(Some(Requested), Some(100), 100, false),
        case(Some(Returning), Some(100), 100, false),
        case(Some(Done), Some(100), 200, true),
    ]
}

#[test]
fn access_to_a_server_follows_the_order_book_and_the_lease() {
    let at = |ms: i64| Instant::from_micros(ms * 1000);
    let config = maintenance_config();
    for Case {
        stage,
        lease_lost,
        now,
        may,
    } in cases()
    {
        let orders = stage.map(|stage| order(1, stage, 0)).into_iter().collect();
        let order_book = OrderBook {
            orders,
            ..OrderBook::default()
        };
        let got = may_use(
            Some(&order_book),
            &config,
            0.0,
            lease_lost.map(at),
            SERVER,
            at(now),
        );
        assert_eq!(
            got, may,
            "{stage:?}, no lease since {lease_lost:?}, at {now}"
        );
    }
    assert!(
        !may_use(None, &config, 0.0, None, SERVER, at(0)),
        "a host without an order book"
    );
}
