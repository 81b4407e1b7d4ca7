//! Shares whose increases are delayed by one window.

use gullsail_fleet::delayed_increase::DelayedIncrease;
use gullsail_scheduler_api::{Instant, Span};

/// A share that the host holds from `at` on, in milliseconds, and the expected result.
struct Step {
    at: i64,
    held: u32,
    usable: u32,
    /// When the usable share grows next; `None`: no increase is pending.
    next: Option<i64>,
}

fn steps() -> [Step; 9] {
    let step = |at, held, usable, next| Step {
        at,
        held,
        usable,
        next,
    };
    [
        step(0, 100, 100, None),
        step(10, 300, 100, Some(1010)),
        step(500, 200, 100, Some(1500)),
        step(600, 400, 100, Some(1500)),
        step(1500, 400, 200, Some(1600)),
        step(1600, 400, 400, None),
        step(1700, 50, 50, None),
        step(1800, 400, 50, Some(2800)),
        step(2800, 400, 400, None),
    ]
}

#[test]
fn an_increase_applies_after_a_window_and_a_decrease_at_once() {
    let ms = |ms: i64| Instant::from_micros(ms * 1000);
    let mut delayed_increase = DelayedIncrease::new(Span::from_millis(1000.0));
    for step in steps() {
        assert_eq!(
            delayed_increase.hold(step.held, ms(step.at)),
            (step.usable, step.next.map(ms)),
            "at {}",
            step.at
        );
    }
}
