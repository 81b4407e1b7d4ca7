//! Adds a breach of one rule to a recording that keeps all rules. The verdict on that rule alone must be a breach, and its
//! text must name the request, host, node or volume.

use crate::recording::{Recording, clean_recording};
use gullsail_protocol::AttemptResult::{Failed, Rejected, Succeeded};
use gullsail_protocol::record::ProcessEvent;
use gullsail_protocol::{ListedState, Message, NotTaken, Outcome};

/// Adds a breach to a recording.
type Plant = fn(&mut Recording);

/// The number of the rule, a part of the breach's text, and the breach that is added.
const CASES: [(u8, &str, Plant); 17] = [
    (1, "m90 at h1 got no answer", |r| {
        r.submit(50_000, "h1", 90, "read", "v", 1.0);
        r.served(60_000, "h1", 91, "read");
    }),
    (1, "m90 at h1 was answered 500000 us late", |r| {
        r.submit(50_000, "h1", 90, "read", "v", 1.0);
        r.answer(51_500, "h1", 90, Outcome::Rejected);
    }),
    (1, "m90 got 2 answers", |r| {
        r.served(50_000, "h1", 90, "read");
        r.answer(50_100, "h1", 90, Outcome::Rejected);
    }),
    (1, "m90: an attempt at n2 was sent after the answer", |r| {
        r.submit(50_000, "h1", 90, "read", "v", 1.0);
        r.answer(50_010, "h1", 90, Outcome::Rejected);
        r.attempt(50_100, "h1", "n2", 90, 0, Some((5, Succeeded)));
    }),
    (2, "m90 may have run at n1 and was sent to n2", |r| {
        r.submit(50_000, "h1", 90, "trip", "v", 1.0);
        r.attempt(50_001, "h1", "n1", 90, 0, Some((5, Failed)));
        r.attempt(50_010, "h1", "n2", 90, 1, Some((5, Rejected)));
        r.answer(50_020, "h1", 90, Outcome::Failed);
    }),
    (2, "m90 may have run at n1 and was rejected", |r| {
        r.submit(50_000, "h1", 90, "trip", "v", 1.0);
        r.attempt(50_001, "h1", "n1", 90, 0, None);
        r.answer(50_300, "h1", 90, Outcome::Rejected);
    }),
    (2, "m90 may have run at n1 and was sent to n2", |r| {
        r.submit(50_000, "h1", 90, "photo", "v", 1.0);
        r.attempt(50_001, "h1", "n1", 90, 0, Some((5, Failed)));
        r.attempt(50_010, "h1", "n2", 90, 1, Some((5, Failed)));
        r.answer(50_020, "h1", 90, Outcome::Failed);
    }),
    (2, "m90 may have run at n1 and was sent to n1", |r| {
        // The repeat is sent after the window in which nodes recognise repeats.
        r.submit(50_000, "h1", 90, "photo", "v", 1.0);
        r.attempt(50_001, "h1", "n1", 90, 0, Some((5, Failed)));
        r.attempt(52_500, "h1", "n1", 90, 1, Some((5, Failed)));
        r.answer(52_520, "h1", 90, Outcome::Failed);
    }),
    (2, "m90 took effect 2 times", |r| {
        for (at, host) in [(50_000, "h1"), (51_000, "h2")] {
            r.submit(at, host, 90, "photo", "v", 1.0);
            r.attempt(at + 1, host, "n1", 90, 0, Some((5, Succeeded)));
            r.answer(at + 7, host, 90, Outcome::Succeeded);
        }
    }),
    (3, "h2 sent to n2 1500000 us after it was notified", |r| {
        r.list(50_000, "h2", "n2", ListedState::Draining, 1);
        // A late list that reports the same incarnation as ready does not end the drain.
        r.list(50_100, "h2", "n2", ListedState::Ready, 1);
        r.submit(51_490, "h2", 90, "read", "v", 1.0);
        r.attempt(51_500, "h2", "n2", 90, 0, Some((5, Succeeded)));
        r.answer(51_510, "h2", 90, Outcome::Succeeded);
    }),
    (
        4,
        "n2 was sent 16 units during slow start; its budget is 10.0",
        |r| {
            r.process("n2", 50_000, ProcessEvent::Started { incarnation: 7 });
            for id in [90, 91] {
                let at = 50_000 + id as i64;
                r.submit(at, "h1", id, "read", "v", 8.0);
                r.attempt(at + 1, "h1", "n2", id, 0, Some((5, Succeeded)));
                r.answer(at + 7, "h1", id, Outcome::Succeeded);
            }
        },
    ),
    (5, "m91 sent while m90 was open", |r| {
        r.submit(50_000, "h1", 90, "record", "v", 1.0);
        r.submit(50_001, "h1", 91, "record", "v", 1.0);
        r.attempt(50_002, "h1", "n1", 91, 0, Some((5, Succeeded)));
        r.answer(50_008, "h1", 91, Outcome::Succeeded);
        r.attempt(50_100, "h1", "n1", 90, 0, Some((5, Succeeded)));
        r.answer(50_108, "h1", 90, Outcome::Succeeded);
    }),
    (5, "m91 sent while m90 was open", |r| {
        // The second attempt is sent before the node's answer to the first reaches the host.
        r.submit(50_000, "h1", 90, "record", "v", 1.0);
        r.submit(50_001, "h1", 91, "record", "v", 1.0);
        r.attempt(50_002, "h1", "n1", 90, 0, Some((30, Succeeded)));
        r.attempt(50_005, "h1", "n1", 91, 0, Some((5, Succeeded)));
        r.answer(50_033, "h1", 90, Outcome::Succeeded);
        r.answer(50_034, "h1", 91, Outcome::Succeeded);
    }),
    (
        5,
        "m91 sent 50000 us after an attempt of m90 ended unknown",
        |r| {
            r.submit(50_000, "h1", 90, "record", "v", 1.0);
            r.attempt(50_000, "h1", "n1", 90, 0, None);
            r.answer(50_200, "h1", 90, Outcome::Failed);
            r.submit(50_210, "h1", 91, "record", "v", 1.0);
            r.attempt(50_250, "h1", "n1", 91, 0, Some((5, Succeeded)));
            r.answer(50_260, "h1", 91, Outcome::Succeeded);
        },
    ),
    (6, "h1: 2 retries in the window, 1.0 allowed", |r| {
        r.submit(50_000, "h1", 90, "read", "v", 1.0);
        for number in 0..3 {
            r.attempt(
                50_001 + i64::from(number) * 100,
                "h1",
                "n1",
                90,
                number,
                Some((5, Failed)),
            );
        }
        r.answer(50_250, "h1", 90, Outcome::Rejected);
    }),
    (7, "volume w: 8.0 units beyond its tokens, 2 allowed", |r| {
        for id in 90..95 {
            let host = if id % 2 == 0 { "h1" } else { "h2" };
            r.submit(50_000, host, id, "read", "w", 8.0);
            r.attempt(50_001, host, "n2", id, 0, Some((5, Succeeded)));
            r.answer(50_010, host, id, Outcome::Succeeded);
        }
    }),
    (1, "m90 was refused as invalid, but more came of it", |r| {
        r.submit(50_000, "h1", 90, "read", "v", 1.0);
        let n = NotTaken {
            id: 90,
            reason: "leaving".into(),
            leaving: true,
        };
        r.frame(50_001, 1, "h1", "client", Message::NotTaken(n));
        r.attempt(50_010, "h1", "n1", 90, 0, Some((5, Succeeded)));
    }),
];

/// A host writes the client's answer and the key's next attempt in one step, on two connections. The proxy may read the
/// attempt first, which must not count as a breach of rule 5.
#[test]
fn a_request_ends_when_the_successful_answer_of_its_node_reaches_the_host() {
    let mut r = clean_recording();
    r.submit(50_000, "h1", 90, "record", "v", 1.0);
    r.submit(50_001, "h1", 91, "record", "v", 1.0);
    r.attempt(50_002, "h1", "n1", 90, 0, Some((5, Succeeded)));
    r.attempt(50_010, "h1", "n1", 91, 0, Some((5, Succeeded)));
    r.answer(50_031, "h1", 90, Outcome::Succeeded);
    r.answer(50_032, "h1", 91, Outcome::Succeeded);
    let broken: Vec<_> = r
        .judge()
        .into_iter()
        .filter(|verdict| !verdict.passed())
        .collect();
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn each_planted_breach_is_found_by_its_rule() {
    for (rule, expected, plant) in CASES {
        let mut r = clean_recording();
        plant(&mut r);
        let found: Vec<_> = r
            .judge()
            .into_iter()
            .filter(|verdict| !verdict.passed())
            .collect();
        let broken: Vec<_> = found.iter().map(|verdict| verdict.rule).collect();
        assert_eq!(broken, [rule], "{expected}: {found:?}");
        let breach = found[0]
            .breaches
            .iter()
            .find(|breach| breach.what.contains(expected));
        let breach = breach.unwrap_or_else(|| panic!("{expected}: {found:?}"));
        assert!(!breach.lines.is_empty(), "{expected}");
        assert!(
            breach.lines.iter().all(|line| *line < r.lines.len()),
            "{expected}"
        );
    }
}
