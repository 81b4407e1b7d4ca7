//! A share whose increase counts a window later.

use gullsail_fleet::delayed_increase::DelayedIncrease;
use gullsail_scheduler_api::{Instant, Span};

struct Step {
    at: i64,
    held: u32,
    usable: u32,
    next: Option<i64>,
}

#[test]
fn an_increase_counts_a_window_later_and_a_decrease_at_once() {
    let steps = [
        Step {
            at: 0,
            held: 100,
            usable: 100,
            next: None,
        },
        Step {
            at: 10,
            held: 300,
            usable: 100,
            next: Some(1010),
        },
        Step {
            at: 500,
            held: 200,
            usable: 100,
            next: Some(1500),
        },
        Step {
            at: 600,
            held: 400,
            usable: 100,
            next: Some(1500),
        },
        Step {
            at: 1500,
            held: 400,
            usable: 200,
            next: Some(1600),
        },
        Step {
            at: 1600,
            held: 400,
            usable: 400,
            next: None,
        },
        Step {
            at: 1700,
            held: 50,
            usable: 50,
            next: None,
        },
        Step {
            at: 1800,
            held: 400,
            usable: 50,
            next: Some(2800),
        },
        Step {
            at: 2800,
            held: 400,
            usable: 400,
            next: None,
        },
    ];
    let ms = |ms: i64| Instant::from_micros(ms * 1000);
    let mut delayed_increase = DelayedIncrease::new(Span::from_millis(1000.0));
    for Step {
        at,
        held,
        usable,
        next,
    } in steps
    {
        assert_eq!(
            delayed_increase.hold(held, ms(at)),
            (usable, next.map(ms)),
            "at {at}"
        );
    }
}
