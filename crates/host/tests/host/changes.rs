//! Another document while the host serves.

use crate::rig::{Rig, SentAttempt, document, ms, text_of};
use gullsail_configuration::diff::diff;
use gullsail_configuration::{Deployment, Memory, load};
use gullsail_host::core::Input;
use gullsail_host::core::config_change::{Proposal, ProposalOutcome};
use gullsail_protocol::{AttemptResult, Hello, Outcome, Reached, Role, Submit};
use gullsail_scheduler_api::Instant;
use std::sync::Arc;

const START: Instant = Instant::from_micros(1_000_000_000);
const FIRST: &str = "revision 1\nroute to=\"all\"\n";

/// The rig's document with changes, after its first one or not.
fn after(change: &[(&str, &str)], revision: &str) -> Arc<Deployment> {
    let text = text_of(change) + revision;
    let first = text_of(&[]) + FIRST;
    let files = [
        ("new.kdl".to_string(), text),
        ("first.kdl".to_string(), first),
    ];
    let (deployment, _) =
        load(&Memory(files.into()), "new.kdl").unwrap_or_else(|e| panic!("{:?}", e.problems));
    Arc::new(deployment)
}

pub fn first() -> Arc<Deployment> {
    after(&[], FIRST)
}

pub fn propose(
    rig: &mut Rig,
    from: &Arc<Deployment>,
    to: &Arc<Deployment>,
    insist: bool,
) -> ProposalOutcome {
    let changes = diff(from, to);
    let (from, to) = (from.clone(), to.clone());
    rig.handle(Input::Propose(Box::new(Proposal {
        requester: 7,
        from,
        to,
        changes,
        insist,
    })));
    let (requester, reply) = rig.proposals_decided.pop().unwrap();
    assert_eq!(requester, 7);
    reply
}

/// As a day goes on: from a document without a number to one that has it and changes limits.
#[test]
fn documents_get_their_first_numbers() {
    let old = document(&[]);
    let numbered = |change: &[(&str, &str)], revision: &str| {
        let files = [
            ("new.kdl".to_string(), text_of(change) + revision),
            ("old.kdl".to_string(), text_of(&[])),
        ];
        Arc::new(load(&Memory(files.into()), "new.kdl").unwrap().0)
    };
    for (revision, why) in [
        ("revision 1 after=\"old.kdl\"\n", None),
        (
            "revision 1\n",
            Some("revision 1 follows 1, but this host runs 0"),
        ),
        (
            "",
            Some(
                "this host runs revision 0 already: give the configuration the next revision number",
            ),
        ),
    ] {
        let mut rig = Rig::new(&old, 0, START);
        match (
            propose(&mut rig, &old, &numbered(&[LIMIT], revision), false),
            why,
        ) {
            (ProposalOutcome::Taken { revision }, None) => assert_eq!(revision.0, 1),
            (ProposalOutcome::TurnedDown(all), Some(why)) => {
                assert!(all[0].contains(why), "{all:?}")
            }
            (reply, _) => panic!("{revision}: {reply:?}"),
        }
    }
}

/// While a host is not known to have followed, documents must go on naming what it may hold to.
#[test]
fn what_others_may_hold_to_stays_named() {
    let old = first();
    let mut rig = Rig::new(&old, 0, START);
    let second = after(&[LIMIT], SECOND);
    assert!(matches!(
        propose(&mut rig, &old, &second, false),
        ProposalOutcome::Taken { .. }
    ));
    let alone = after(&[LIMIT], "revision 2\nroute to=\"all\"\n");
    match propose(&mut rig, &second, &alone, true) {
        ProposalOutcome::TurnedDown(why) => {
            assert!(
                why[0].contains("may still run revision 1: keep naming it"),
                "{why:?}"
            )
        }
        taken => panic!("{taken:?}"),
    }
    // The other host says that it has followed.
    let link = rig.core.accept(rig.now).unwrap();
    rig.frame(
        link,
        Hello {
            role: Role::Host as i32,
            name: "h2".into(),
            ..Hello::default()
        },
    );
    rig.frame(
        link,
        Reached {
            held: 2,
            revision: 2,
            hosts: vec![0b10],
        },
    );
    assert!(rig.core.hosts_behind().is_empty());
    assert!(matches!(
        propose(&mut rig, &second, &alone, false),
        ProposalOutcome::Taken { .. }
    ));
}

const SECOND: &str = "revision 2 after=\"first.kdl\"\nroute to=\"all\"\n";
const LIMIT: (&str, &str) = ("limit=\"40units/s\"", "limit=\"30units/s\"");

/// A change of the first document, and why it is turned down, if it is.
struct Case {
    change: (&'static str, &'static str),
    revision: &'static str,
    insist: bool,
    refusal: Option<&'static str>,
}

impl Case {
    fn taken(change: (&'static str, &'static str), revision: &'static str) -> Case {
        Case {
            change,
            revision,
            insist: false,
            refusal: None,
        }
    }

    fn refused(
        change: (&'static str, &'static str),
        revision: &'static str,
        refusal: &'static str,
    ) -> Case {
        Case {
            refusal: Some(refusal),
            ..Case::taken(change, revision)
        }
    }

    fn changes(&self) -> &[(&'static str, &'static str)] {
        if self.change == NOTHING {
            &[]
        } else {
            std::slice::from_ref(&self.change)
        }
    }

    fn insisted(self) -> Case {
        Case {
            insist: true,
            ..self
        }
    }
}

/// Nothing is changed.
const NOTHING: (&str, &str) = ("", "");
const HOST_LEAVES: (&str, &str) = (
    "volume \"w\" plan=\"held\"",
    "volume \"w\" plan=\"held\" { hosts \"h2\"; }",
);
const UNNUMBERED: &str = "route to=\"all\"\n";
const UNLINKED: &str = "revision 2\nroute to=\"all\"\n";

fn taken_changes() -> Vec<Case> {
    let weight = ("slack=0", "slack=0 weight=3 price=2");
    let new_plan = ("plan \"held\"", "plan \"new\"\nplan \"held\"");
    let new_volume = ("volume \"w\"", "volume \"x\" plan=\"free\"\nvolume \"w\"");
    vec![
        Case::taken(NOTHING, FIRST),
        Case::taken(LIMIT, SECOND),
        Case::taken(weight, FIRST),
        Case::taken(new_plan, FIRST),
        Case::taken(new_volume, SECOND),
        Case::taken(HOST_LEAVES, SECOND).insisted(),
    ]
}

fn refused_changes() -> Vec<Case> {
    let tick = ("tick=\"20ms\"", "tick=\"9ms\"");
    let tick_refusal = "rules tick: us(20000) -> us(9000): needs a restart";
    let slow_start = ("units=6", "units=7");
    let effect = ("effect=\"repeatable\"", "effect=\"unrepeatable\"");
    let address = ("host \"h2\" address=\"h2\"", "host \"h2\" address=\"h9\"");
    vec![
        Case::refused(LIMIT, FIRST, "this host runs revision 1 already"),
        Case::refused(LIMIT, UNNUMBERED, "not later than 1"),
        Case::refused(LIMIT, UNLINKED, "this host runs 1"),
        Case::refused(tick, FIRST, tick_refusal).insisted(),
        Case::refused(slow_start, FIRST, "cold figures").insisted(),
        Case::refused(effect, FIRST, "not possible while serving").insisted(),
        Case::refused(address, FIRST, "host \"h2\" place").insisted(),
        Case::refused(HOST_LEAVES, SECOND, "a host leaves its set"),
    ]
}

#[test]
fn documents_are_taken_whole_or_not_at_all() {
    let cases = taken_changes().into_iter().chain(refused_changes());
    for case in cases {
        let revision = case.revision;
        let why = case.refusal;
        let insist = case.insist;
        let change = case.changes();
        let old = first();
        let mut rig = Rig::new(&old, 0, START);
        let (client, (n1, _)) = (rig.client(), rig.nodes_up());
        rig.submit(client, 5, "read");
        let to = after(change, revision);
        match (propose(&mut rig, &old, &to, insist), why) {
            (ProposalOutcome::Taken { .. }, None) => {}
            (ProposalOutcome::TurnedDown(all), Some(why)) => {
                assert!(all.join("\n").contains(why), "{all:?}")
            }
            (reply, _) => panic!("{change:?} {revision}: {reply:?}"),
        }
        assert!(Arc::ptr_eq(
            rig.core.deployment(),
            if why.is_none() { &to } else { &old }
        ));
        // What was under way goes on, and new requests are taken.
        rig.answer(n1, rig.attempts(n1)[0].attempt, AttemptResult::Succeeded);
        rig.submit(client, 6, "read");
        rig.answer(n1, rig.attempts(n1)[1].attempt, AttemptResult::Succeeded);
        assert_eq!(
            (rig.outcomes(client, 5), rig.outcomes(client, 6)),
            (vec![Outcome::Succeeded], vec![Outcome::Succeeded])
        );
        // What was compared with a document that is no longer served by is not taken.
        if why.is_none() {
            let stale = propose(&mut rig, &old, &after(&[], FIRST), true);
            assert!(
                matches!(stale, ProposalOutcome::TurnedDown(all) if all[0].contains("meanwhile"))
            );
        }
    }
}

/// Who no longer serves a volume answers what waits there at once, and turns its clients away with the
/// reason; what was sent already ends as it ends.
#[test]
fn a_volume_leaves_a_host() {
    let old = first();
    let mut rig = Rig::new(&old, 0, START);
    let (client, (n1, _)) = (rig.client(), rig.nodes_up());
    rig.pass(ms(2000.0));
    (1..=60).for_each(|id| rig.submit_to(client, id, "read", "w", 1));
    let sent = rig.attempts(n1).len() as u64;
    assert!((4..60).contains(&sent), "{sent}");
    let leaves = (
        "volume \"w\" plan=\"held\"",
        "volume \"w\" plan=\"held\" { hosts \"h2\"; }",
    );
    let to = after(&[leaves], SECOND);
    assert!(matches!(
        propose(&mut rig, &old, &to, true),
        ProposalOutcome::Taken { .. }
    ));
    let rejected = (1..=60)
        .filter(|id| rig.outcomes(client, *id) == [Outcome::Rejected])
        .count() as u64;
    assert_eq!(rejected, 60 - sent, "at once");
    rig.attempts(n1)
        .into_iter()
        .for_each(|attempt| rig.answer(n1, attempt.attempt, AttemptResult::Succeeded));
    assert!((1..=60).all(|id| rig.outcomes(client, id).len() == 1));
    rig.submit_to(client, 99, "read", "w", 1);
    assert_eq!(
        rig.not_taken(client),
        ["volume \"w\" is not served through this host"]
    );
}

/// New objects go where the routes of the document lead, from the moment it is taken.
#[test]
fn routes_change_where_new_objects_go() {
    let kinds = [
        ("node \"n1\" cell=1", "node \"n1\" cell=1 kind=\"disk\""),
        ("node \"n2\" cell=2", "node \"n2\" cell=2 kind=\"chip\""),
    ];
    let pools = "revision 1\npool \"slow\" { kind \"disk\"; }\npool \"fast\" { kind \"chip\"; }\n";
    let routes = |volume: &str| {
        format!("{pools}route to=\"slow\" {{ volume \"{volume}\"; }}\nroute to=\"fast\"\n")
    };
    let old = after(&kinds, &routes("v"));
    let mut rig = Rig::new(&old, 0, START);
    let (client, nodes) = (rig.client(), rig.nodes_up());
    let put = |rig: &mut Rig, first: u64| {
        for id in first..first + 12 {
            let (request_class, volume, mark) = ("write".into(), "v".into(), format!("m{id}"));
            let s = Submit {
                id,
                request_class,
                volume,
                units: 1.0,
                idempotency_key: mark,
                timeout_us: 1_500_000,
                ..Submit::default()
            };
            rig.frame(client, s);
            rig.pass(ms(5.0));
            for SentAttempt { link, attempt, .. } in rig.new_attempts() {
                rig.answer(link, attempt.attempt, AttemptResult::Succeeded);
            }
        }
        [nodes.0, nodes.1].map(|n| {
            rig.attempts(n)
                .iter()
                .filter(|attempt| attempt.idempotency_key[1..].parse::<u64>().unwrap() >= first)
                .count()
        })
    };
    assert_eq!(put(&mut rig, 100), [12, 0]);
    let to = after(&kinds, &routes("far"));
    assert!(matches!(
        propose(&mut rig, &old, &to, false),
        ProposalOutcome::Taken { .. }
    ));
    assert_eq!(put(&mut rig, 200), [0, 12]);
}

/// Plans that stand in another order are the same plans: a volume keeps its own limit, and one without stays
/// without.
#[test]
fn plans_change_places() {
    let plans = (
        "plan \"free\"\nplan \"held\" limit=\"40units/s\" burst=64 slack=0",
        "plan \"held\" limit=\"40units/s\" burst=64 slack=0\nplan \"free\"",
    );
    let more = ("plan \"held\"", "plan \"new\"\nplan \"held\"");
    for change in [plans, more] {
        for (volume, most, least) in [("w", 33, 32), ("v", 100, 100)] {
            let old = first();
            let mut rig = Rig::new(&old, 0, START);
            let (client, (n1, _)) = (rig.client(), rig.nodes_up());
            // The volume is known by its old place, and its bucket full.
            rig.submit_to(client, 1, "read", volume, 1);
            rig.pass(ms(20.0));
            rig.attempts(n1)
                .into_iter()
                .for_each(|attempt| rig.answer(n1, attempt.attempt, AttemptResult::Succeeded));
            rig.pass(ms(4000.0));
            assert!(matches!(
                propose(&mut rig, &old, &after(&[change], FIRST), false),
                ProposalOutcome::Taken { .. }
            ));
            rig.new_attempts();
            for id in 100..200 {
                rig.submit_to(client, id, "read", volume, 1);
                for SentAttempt { link, attempt, .. } in rig.new_attempts() {
                    rig.answer(link, attempt.attempt, AttemptResult::Succeeded);
                }
            }
            let done = (100..200)
                .filter(|id| rig.outcomes(client, *id) == [Outcome::Succeeded])
                .count();
            assert!(
                (least..=most).contains(&done),
                "{change:?} {volume}: {done}"
            );
        }
    }
}
