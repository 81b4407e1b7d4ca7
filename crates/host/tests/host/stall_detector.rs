//! The detector of stalls of the process, with given times of the loop's turns.

use gullsail_host::stall_detector::{MAX_TURN_INTERVAL, StallDetector};
use std::time::Duration;
use tokio::time::Instant;

/// One turn of the loop: its time in milliseconds, and whether the queue is empty then.
type Turn = (u64, bool);

struct Case {
    turns: &'static [Turn],
    /// Length of the stall that the last turn reports, in milliseconds.
    last: Option<u64>,
    /// How long a frame that is read at the last turn may have waited, in milliseconds.
    waited: Option<u64>,
}

#[test]
fn late_turns_are_detected_as_stalls() {
    let case = |turns, last, waited| Case {
        turns,
        last,
        waited,
    };
    let cases = [
        case(&[(20, true), (40, true), (60, true)], None, None),
        case(&[(20, true), (79, true)], None, None),
        case(&[(20, true), (3020, false)], Some(3000), Some(3000)),
        // Two stalls in a row: a frame may have arrived during the first.
        case(
            &[(20, true), (820, false), (1620, false)],
            Some(800),
            Some(1600),
        ),
        // Frames may have waited until the queue is empty some time after the stall.
        case(
            &[(20, true), (820, false), (840, true), (980, false)],
            Some(140),
            Some(960),
        ),
        case(
            &[(20, true), (820, false), (870, false), (925, true)],
            None,
            None,
        ),
    ];
    let began = Instant::now();
    for case in cases {
        check(began, case);
    }
}

fn check(began: Instant, case: Case) {
    let Case {
        turns,
        last,
        waited,
    } = case;
    let mut detector = StallDetector::new(began);
    let ms = Duration::from_millis;
    let reports = turns
        .iter()
        .map(|(at, empty)| detector.record_turn(began + ms(*at), *empty));
    let reported = reports.last().flatten();
    let now = began + ms(turns[turns.len() - 1].0);
    assert_eq!(
        (reported, detector.max_wait(now)),
        (last.map(ms), waited.map(ms)),
        "{turns:?}"
    );
    assert_eq!(detector.settling(), last.is_some(), "{turns:?}");
    assert!(
        detector.next_turn(None) <= now + MAX_TURN_INTERVAL,
        "{turns:?}"
    );
}
