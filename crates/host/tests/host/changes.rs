//! Proposals of another configuration while the host serves.

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

/// The rig's configuration with changes and these entries on revision and routes. It may name `first()` as its
/// predecessor, `first.kdl`.
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

/// A configuration without a revision is followed by one that has a revision and changes limits.
#[test]
fn revision_1_follows_an_unnumbered_configuration() {
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

/// While another host may still follow an earlier revision, each new configuration must name that revision.
#[test]
fn a_configuration_must_name_revisions_that_other_hosts_may_follow() {
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
    // The other host reports that it follows revision 2.
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

/// A change of the first configuration, and why it is rejected; `None`: it is applied.
struct Case {
    change: (&'static str, &'static str),
    revision: &'static str,
    insist: bool,
    refusal: Option<&'static str>,
}

impl Case {
    fn applied(change: (&'static str, &'static str), revision: &'static str) -> Case {
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
            ..Case::applied(change, revision)
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

/// No change.
const NOTHING: (&str, &str) = ("", "");
const HOST_REMOVED: (&str, &str) = (
    "volume \"w\" plan=\"held\"",
    "volume \"w\" plan=\"held\" { hosts \"h2\"; }",
);
const UNNUMBERED: &str = "route to=\"all\"\n";
const WITHOUT_PREDECESSOR: &str = "revision 2\nroute to=\"all\"\n";

fn applied_changes() -> Vec<Case> {
    let weight = ("slack=0", "slack=0 weight=3 price=2");
    let new_plan = ("plan \"held\"", "plan \"new\"\nplan \"held\"");
    let new_volume = ("volume \"w\"", "volume \"x\" plan=\"free\"\nvolume \"w\"");
    vec![
        Case::applied(NOTHING, FIRST),
        Case::applied(LIMIT, SECOND),
        Case::applied(weight, FIRST),
        Case::applied(new_plan, FIRST),
        Case::applied(new_volume, SECOND),
        Case::applied(HOST_REMOVED, SECOND).insisted(),
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
        Case::refused(LIMIT, WITHOUT_PREDECESSOR, "this host runs 1"),
        Case::refused(tick, FIRST, tick_refusal).insisted(),
        Case::refused(slow_start, FIRST, "cold figures").insisted(),
        Case::refused(effect, FIRST, "not possible while serving").insisted(),
        Case::refused(address, FIRST, "host \"h2\" place").insisted(),
        Case::refused(HOST_REMOVED, SECOND, "a host leaves its set"),
    ]
}

#[test]
fn configurations_are_applied_or_rejected_as_a_whole() {
    let cases = applied_changes().into_iter().chain(refused_changes());
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
        // The open request can still be answered, and new requests are accepted.
        rig.answer(n1, rig.attempts(n1)[0].attempt, AttemptResult::Succeeded);
        rig.submit(client, 6, "read");
        rig.answer(n1, rig.attempts(n1)[1].attempt, AttemptResult::Succeeded);
        assert_eq!(
            (rig.outcomes(client, 5), rig.outcomes(client, 6)),
            (vec![Outcome::Succeeded], vec![Outcome::Succeeded])
        );
        // A proposal that was compared with a configuration that is no longer current is rejected.
        if why.is_none() {
            let stale = propose(&mut rig, &old, &after(&[], FIRST), true);
            assert!(
                matches!(stale, ProposalOutcome::TurnedDown(all) if all[0].contains("meanwhile"))
            );
        }
    }
}

/// A host that no longer serves a volume rejects the volume's waiting requests at once and refuses new ones with the
/// reason. Requests whose attempts were sent get the node's answer.
#[test]
fn requests_of_a_volume_that_leaves_the_host_are_rejected() {
    let old = first();
    let mut rig = Rig::new(&old, 0, START);
    let (client, (n1, _)) = (rig.client(), rig.nodes_up());
    rig.run_for(ms(2000.0));
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
        rig.refusals(client),
        ["volume \"w\" is not served through this host"]
    );
}

/// New objects are placed by the routes of the current configuration, as soon as it is applied.
#[test]
fn new_objects_follow_the_routes_of_the_applied_configuration() {
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
            let (request_class, volume, key) = ("write".into(), "v".into(), format!("m{id}"));
            let s = Submit {
                id,
                request_class,
                volume,
                units: 1.0,
                idempotency_key: key,
                timeout_us: 1_500_000,
                ..Submit::default()
            };
            rig.frame(client, s);
            rig.run_for(ms(5.0));
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

/// The order of plans in the configuration changes. A volume with a limit keeps it, and one without a limit stays
/// without.
#[test]
fn reordered_plans_keep_the_limits_of_their_volumes() {
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
            // The scheduler knows the volume with the old index of its plan, and the bucket is full.
            rig.submit_to(client, 1, "read", volume, 1);
            rig.run_for(ms(20.0));
            rig.attempts(n1)
                .into_iter()
                .for_each(|attempt| rig.answer(n1, attempt.attempt, AttemptResult::Succeeded));
            rig.run_for(ms(4000.0));
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
