//! Proposals of configurations that have little in common with the current one, or are truncated.

use crate::changes::{first, propose};
use crate::rig::{Rig, ms, text_of};
use gullsail_configuration::diff::{Class, diff};
use gullsail_configuration::{Memory, load};
use gullsail_host::core::config_change::ProposalOutcome;
use gullsail_protocol::{AttemptAnswer, AttemptResult};
use gullsail_scheduler_api::Instant;
use std::sync::Arc;

const START: Instant = Instant::from_micros(1_000_000_000);

/// The new configuration has none of the current plans and volumes, while requests wait and attempts are in flight.
#[test]
fn a_configuration_without_the_current_plans_and_volumes_is_applied() {
    let old = first();
    let mut rig = Rig::new(&old, 0, START);
    let (client, (n, _)) = (rig.client(), rig.nodes_up());
    rig.run_for(ms(3000.0));
    (1..=3).for_each(|id| rig.submit_to(client, id, "read", ["v", "w"][id as usize % 2], 1));
    let others = |line: &&str| !line.starts_with("plan") && !line.starts_with("volume");
    let text = text_of(&[])
        .lines()
        .filter(others)
        .collect::<Vec<_>>()
        .join("\n");
    let text = text
        + "\nplan \"z\"\nvolume \"z\" plan=\"z\" { hosts \"h2\"; }\nroute to=\"all\"\nrevision 2 after=\"first.kdl\"\n";
    let before = text_of(&[]) + "revision 1\nroute to=\"all\"\n";
    let files = [
        ("new.kdl".to_string(), text),
        ("first.kdl".to_string(), before),
    ];
    let (new, _) =
        load(&Memory(files.into()), "new.kdl").unwrap_or_else(|e| panic!("{:?}", e.problems));
    let new = Arc::new(new);
    assert!(matches!(
        propose(&mut rig, &old, &new, true),
        ProposalOutcome::Taken { .. }
    ));
    for attempt in rig.attempts(n) {
        rig.frame(
            n,
            AttemptAnswer {
                attempt: attempt.attempt,
                result: AttemptResult::Succeeded as i32,
                usage_percent_plus_one: 51,
                ..AttemptAnswer::default()
            },
        );
    }
    rig.run_for(ms(3000.0));
    assert!((1..=3).all(|id| rig.outcomes(client, id).len() == 1));
    rig.submit(client, 9, "read");
    assert_eq!(rig.refusals(client), ["unknown volume \"v\""]);
}

/// The outcome for a truncated configuration.
#[derive(PartialEq)]
enum Cut {
    /// The remaining part was applied as a whole.
    Applied,
    Rejected,
}

/// Proposes a configuration of two files to a host that runs the first configuration. `what` names the case in
/// failures.
fn propose_files(main: &str, tail: &str, what: &str) -> Cut {
    let before = text_of(&[]) + "revision 1\nroute to=\"all\"\n";
    let files = [
        ("new.kdl", main),
        ("tail.kdl", tail),
        ("first.kdl", &before),
    ];
    let files = files.map(|(name, text)| (name.to_string(), text.to_string()));
    let Ok((deployment, _)) = load(&Memory(files.into()), "new.kdl") else {
        return Cut::Rejected;
    };
    let old = first();
    let mut rig = Rig::new(&old, 0, START);
    let client = rig.client();
    rig.submit(client, 1, "read");
    let new = Arc::new(deployment);
    let changes = diff(&old, &new);
    let cut = match propose(&mut rig, &old, &new, false) {
        ProposalOutcome::Taken { revision } => {
            assert_eq!(revision.0, 2);
            assert!(
                Arc::ptr_eq(rig.core.deployment(), &new),
                "the new one is current"
            );
            let safe = changes.iter().all(|change| change.class == Class::Safe);
            assert!(safe, "{what}: {changes:?}");
            Cut::Applied
        }
        ProposalOutcome::TurnedDown(why) => {
            assert!(!why.is_empty());
            let unchanged = Arc::ptr_eq(rig.core.deployment(), &old);
            assert!(unchanged, "the old one stays current");
            Cut::Rejected
        }
    };
    rig.run_for(ms(1600.0));
    assert_eq!(rig.outcomes(client, 1).len(), 1);
    cut
}

/// A configuration of two files is truncated at every byte, as if it were read while it is written. It is rejected, or
/// the remaining part is valid, makes no dangerous change, and is applied as a whole. The first file ends with the
/// revision, so it is rejected if more than its last line end is missing.
#[test]
fn a_truncated_configuration_is_rejected_or_applied_as_a_whole() {
    let whole = text_of(&[("limit=\"40units/s\"", "limit=\"50units/s\"")]);
    let (head, tail) = whole.split_at(whole.find("host \"h1\"").unwrap());
    let main =
        format!("include \"tail.kdl\"\n{head}route to=\"all\"\nrevision 2 after=\"first.kdl\"\n");
    let cuts_of_main =
        (0..main.len()).map(|cut| propose_files(&main[..cut], tail, &format!("cut {cut}")));
    let cuts_of_main: Vec<Cut> = cuts_of_main.collect();
    let cuts_of_tail =
        (0..tail.len()).map(|cut| propose_files(&main, &tail[..cut], &format!("cut {cut}")));
    let cuts_of_tail: Vec<Cut> = cuts_of_tail.collect();
    let applied = |cuts: &[Cut]| cuts.iter().filter(|cut| **cut == Cut::Applied).count();
    let applied_main = applied(&cuts_of_main);
    let applied_tail = applied(&cuts_of_tail);
    let rejected = cuts_of_main.len() + cuts_of_tail.len() - applied_main - applied_tail;
    // The first file may be applied without its last line end, with which nothing is lost.
    assert!(
        applied_main <= 1 && rejected > 500,
        "{applied_main} {applied_tail} {rejected}"
    );
    println!(
        "applied: {applied_main} cuts of the first file, {applied_tail} of the included one; rejected: {rejected}"
    );
}
