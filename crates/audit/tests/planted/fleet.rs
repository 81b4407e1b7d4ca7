//! The rules of the fleet: shares, coordinators, and the rates of connections to and probes of a node.

use crate::recording::{DOCUMENT, MS, Recording, broken_rules};
use gullsail_configuration::parse;
use gullsail_protocol::record::{ProcessEvent, What};
use gullsail_protocol::{
    Attempt, AttemptAnswer, AttemptResult, FleetMessage, FleetMessageKind, Message, Outcome,
};

/// Shares that hosts logged and grants on the wire, with and without breaches of rules 9 and 10.
#[test]
fn shares_beyond_the_budget_and_two_granting_coordinators_are_found() {
    let text = DOCUMENT.to_string() + "fleet \"f\" lease=\"1s\" drift=0.01 voters=1 floor=0.2\n";
    let d = parse("planted.kdl", &text).unwrap();
    // Each case: the logged shares as (host, ms, lease in ms or -1, share), when h1 is killed, whether rule 9 is broken.
    type Logged = (&'static str, i64, i64, u32);
    let cases: [(&[Logged], Option<i64>, bool); 7] = [
        (
            &[("h1", 0, -1, 100_000), ("h2", 0, 1000, 900_000)],
            None,
            false,
        ),
        (
            &[("h1", 0, -1, 100_001), ("h2", 0, 1000, 900_000)],
            None,
            true,
        ),
        // By the slowest clock, the lease of h1 expires at 1010.1 ms: before the share of h2 begins, then after.
        (
            &[("h1", 0, 1000, 800_000), ("h2", 1011, 1000, 900_000)],
            None,
            false,
        ),
        (
            &[("h1", 0, 1000, 800_000), ("h2", 1009, 1000, 900_000)],
            None,
            true,
        ),
        // h1 reduces its share before that of h2 begins; h1 is killed before; h1 is killed after.
        (
            &[
                ("h1", 0, 1000, 800_000),
                ("h1", 500, 1000, 100_000),
                ("h2", 501, 1000, 900_000),
            ],
            None,
            false,
        ),
        (
            &[("h1", 0, 1000, 800_000), ("h2", 501, 1000, 900_000)],
            Some(500),
            false,
        ),
        (
            &[("h1", 0, 1000, 800_000), ("h2", 499, 1000, 900_000)],
            Some(500),
            true,
        ),
    ];
    for (logged, killed, broken) in cases {
        let mut r = Recording::new();
        for (host, at, lasts, share) in logged {
            let lasts_us = if *lasts < 0 { -1 } else { lasts * MS };
            let parts = [("w".to_string(), *share)].into();
            r.put(
                *at,
                0,
                "script",
                host,
                What::Parts {
                    incarnation: 1,
                    epoch: 1,
                    lease_us: lasts_us,
                    shares: parts,
                },
            );
        }
        killed
            .into_iter()
            .for_each(|at| r.process("h1", at, ProcessEvent::Killed));
        assert_eq!(
            broken_rules(&d, &r),
            if broken { vec![9] } else { vec![] },
            "{logged:?}"
        );
    }
    // Each case: the grants as (coordinator, round, ms), until when h1 is paused, whether rule 10 is broken.
    type Grants = &'static [(u32, u64, i64)];
    let cases: [(Grants, Option<i64>, bool); 5] = [
        (
            &[(0, 5, 0), (0, 5, 100), (1, 6, 1200), (1, 6, 1400)],
            None,
            false,
        ),
        (&[(0, 5, 0), (1, 6, 1200), (0, 5, 1300)], None, true),
        // A grant of the earlier ballot within the permitted delay of the proxy; one that was sent after a pause.
        (&[(0, 5, 0), (1, 6, 1200), (0, 5, 1210)], None, false),
        (&[(0, 5, 0), (1, 6, 1200), (0, 5, 1300)], Some(1295), false),
        // The same coordinator sends a grant by its earlier ballot after one by its later ballot.
        (&[(0, 5, 0), (0, 7, 1200), (0, 5, 1300)], None, false),
    ];
    for (grants, paused_until, broken) in cases {
        let mut r = Recording::new();
        if let Some(until) = paused_until {
            r.process("h1", 1, ProcessEvent::Paused);
            r.process("h1", until, ProcessEvent::Resumed);
        }
        for (by, round, at) in grants {
            let names = ["h1", "h2"];
            let what = FleetMessageKind::Grant as i32;
            let message = FleetMessage {
                kind: what,
                from: *by,
                to: 1 - by,
                round: *round,
                by: *by,
                ..FleetMessage::default()
            };
            r.frame(
                *at,
                9,
                names[*by as usize],
                names[1 - *by as usize],
                Message::FleetMessage(message),
            );
        }
        assert_eq!(
            broken_rules(&d, &r),
            if broken { vec![10] } else { vec![] },
            "{grants:?}"
        );
    }
}

/// Hosts whose connections to or probes of one node exceed the rate only together.
#[test]
fn connections_and_probes_beyond_their_rates_are_found() {
    let fleet =
        "fleet \"f\" lease=\"1s\" drift=0.01 voters=1 floor=0.2 connects=\"10/s\" probes=\"1/s\"\n";
    let d = parse("planted.kdl", &(DOCUMENT.to_string() + fleet)).unwrap();
    // Each case: the number of connections, the ms between them, whether rule 11 is broken. Two hosts may make one each,
    // and ten a second more.
    for (many, every, broken) in [
        (2, 0, false),
        (4, 0, true),
        (40, 100, false),
        (40, 80, true),
    ] {
        let mut r = Recording::new();
        (0..many).for_each(|n| r.put(1000 + n * every, 0, "?", "n1", What::Came));
        // Connections to another process do not count.
        (0..many).for_each(|n| r.put(1000 + n, 0, "?", "list", What::Came));
        assert_eq!(
            broken_rules(&d, &r),
            if broken { vec![11] } else { vec![] },
            "{many} each {every} ms"
        );
    }
    // Each case: the attempts of each host, the ms between them, the index of an attempt that the node answers, the index
    // of an attempt before which the node restarts, whether rule 12 is broken.
    type Case = (i64, i64, Option<i64>, Option<i64>, bool);
    let cases: [Case; 5] = [
        (9, 2100, None, None, false),
        (9, 600, None, None, true),
        // The first two attempts of each host are no probes, and each host may send one probe beyond the rate.
        (3, 600, None, None, false),
        (5, 600, Some(2), None, false),
        (5, 600, None, Some(2), false),
    ];
    for (attempts, every, answered, starts, broken) in cases {
        let mut r = Recording::new();
        for n in 0..attempts {
            let at = 1000 + n * every;
            if starts == Some(n) {
                r.process("n1", at - 50, ProcessEvent::Killed);
                r.process("n1", at - 40, ProcessEvent::Started { incarnation: 2 });
            }
            for (host, name) in ["h1", "h2"].into_iter().enumerate() {
                let id = (n * 2) as u64 + host as u64 + 1;
                r.submit(at, name, id, "read", "v", 1.0);
                let attempt = Attempt {
                    attempt: id,
                    time_out_us: 300 * MS,
                    ..Attempt::default()
                };
                r.frame(
                    at + 1,
                    20 + host as u64,
                    name,
                    "n1",
                    Message::Attempt(attempt),
                );
                if answered == Some(n) {
                    let result = AttemptResult::Failed as i32;
                    let answer = AttemptAnswer {
                        attempt: id,
                        result,
                        ..AttemptAnswer::default()
                    };
                    r.frame(
                        at + 20,
                        20 + host as u64,
                        "n1",
                        name,
                        Message::AttemptAnswer(answer),
                    );
                }
                r.answer(at + 500, name, id, Outcome::Rejected);
            }
        }
        let got: Vec<u8> = broken_rules(&d, &r)
            .into_iter()
            .filter(|rule| *rule == 12)
            .collect();
        assert_eq!(
            got,
            if broken { vec![12] } else { vec![] },
            "{attempts} each {every} ms, {answered:?} {starts:?}"
        );
    }
}
