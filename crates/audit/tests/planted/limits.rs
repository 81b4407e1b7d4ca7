//! Volume limits over all hosts, and cross-zone budgets.

use crate::recording::{DOCUMENT, Recording, broken_rules};
use gullsail_audit::judge;
use gullsail_configuration::parse;
use gullsail_protocol::record::{Delivery, ProcessEvent, What};
use gullsail_protocol::{Attempt, Message};

/// While a limit changes, the limit of the oldest revision that a running host may use holds.
#[test]
fn limits_are_judged_by_the_oldest_revision_in_use() {
    let with = |limit: u32, revision: u64| {
        DOCUMENT.replace(
            "limit=\"10units/s\" burst=32",
            &format!("limit=\"{limit}units/s\" burst={}", (limit * 4).max(32)),
        ) + &format!("revision {revision}\n")
    };
    let d = parse("planted.kdl", &with(10, 1)).unwrap();
    // Each case: the new limit, when h1 and h2 are asked to load it, when they use it, when h2 is killed (all in ms), the
    // units of one attempt each 100 ms from 1 s to 11 s, and whether these break rule 7.
    let cases = [
        (40, [2000, 2000], [2100, 2100], None, 3.0, false),
        (40, [2000, 9500], [2100, 9600], None, 3.0, true),
        (40, [2000, 9500], [2100, 9600], Some(2200), 3.0, false),
        (10, [2000, 9500], [2100, 9600], None, 1.0, false),
        (5, [2000, 2000], [2100, 2100], None, 1.0, true),
        (5, [2000, 9500], [2100, 9600], None, 1.0, false),
    ];
    for (limit, asked, serves, killed, units, broken) in cases {
        let mut r = Recording::new();
        let document = |revision, text: Option<String>, serves| What::Document {
            revision,
            text,
            serves,
        };
        r.put(0, 0, "script", "h1", document(1, Some(with(10, 1)), false));
        for (place, host) in ["h1", "h2"].into_iter().enumerate() {
            r.put(0, 0, "script", host, document(1, None, true));
            r.put(
                asked[place],
                0,
                "script",
                host,
                document(2, Some(with(limit, 2)), false),
            );
            r.put(serves[place], 0, "script", host, document(2, None, true));
        }
        if let Some(at) = killed {
            r.process("h2", at, ProcessEvent::Killed);
        }
        for place in 0..100 {
            let attempt = Attempt {
                attempt: place,
                volume: "w".into(),
                request_class: "read".into(),
                units,
                ..Attempt::default()
            };
            r.frame(
                1000 + place as i64 * 100,
                3,
                "h1",
                "n1",
                Message::Attempt(attempt),
            );
        }
        assert_eq!(
            broken_rules(&d, &r),
            if broken { vec![7] } else { vec![] },
            "{limit} {asked:?} {killed:?}"
        );
    }
}

/// Bytes beyond a cross-zone budget that no host reported are a breach.
#[test]
fn unreported_overruns_of_a_cross_zone_budget_are_a_breach() {
    let text = DOCUMENT.replace("zone=\"a\"\nnode", "zone=\"a\"\nbounds body-bytes=\"8KiB\"\ncrossing from=\"a\" to=\"b\" limit=\"1KB/s\" burst=\"32KiB\"\nnode");
    let d = parse("planted.kdl", &text).unwrap();
    assert_eq!(d.cross_zone_budgets.len(), 1);
    // Each case: the number of attempts of 8,000 bytes to the other zone, one a second; the reported bytes; whether rule 8
    // is broken.
    for (attempts, reported, broken) in [
        (4, 0, false),
        (40, 0, true),
        (40, 300_000, false),
        (40, 100_000, true),
    ] {
        let mut r = Recording::new();
        for place in 0..attempts {
            let attempt = Attempt {
                attempt: place,
                volume: "v".into(),
                request_class: "read".into(),
                units: 1.0,
                ..Attempt::default()
            };
            let at = 1000 + place as i64 * 1000;
            r.put(
                at,
                3,
                "h1",
                "n2",
                What::Frame {
                    message: Message::Attempt(attempt.clone()),
                    body: 8000,
                    delivery: Delivery::Passed,
                },
            );
            // An attempt within the zone does not count against the budget.
            r.put(
                at,
                4,
                "h1",
                "n1",
                What::Frame {
                    message: Message::Attempt(attempt),
                    body: 8000,
                    delivery: Delivery::Passed,
                },
            );
        }
        if reported > 0 {
            r.put(
                60_000,
                0,
                "script",
                "h1",
                What::BudgetOverrun {
                    budget: "a to b".into(),
                    cause: "bound to data".into(),
                    bytes: reported,
                },
            );
        }
        let verdicts = judge(&d, &r.lines.join("\n")).unwrap();
        let verdict = verdicts.iter().find(|verdict| verdict.rule == 8).unwrap();
        assert_eq!(
            (verdict.passed(), verdict.tested > 0),
            (!broken, true),
            "{attempts} {reported}: {verdict:?}"
        );
    }
}
