//! Configurations that have little in common with the current one, or are cut off.

use crate::changes::{first, propose};
use crate::rig::{Rig, ms, text_of};
use gullsail_configuration::diff::{Class, diff};
use gullsail_configuration::{Memory, load};
use gullsail_host::core::config_change::ProposalOutcome;
use gullsail_protocol::{AttemptAnswer, AttemptResult};
use gullsail_scheduler_api::Instant;
use std::sync::Arc;

const START: Instant = Instant::from_micros(1_000_000_000);

/// A document with none of the plans and volumes that were, while requests wait and attempts are out.
#[test]
fn a_document_with_other_plans_alone_is_borne() {
    let old = first();
    let mut rig = Rig::new(&old, 0, START);
    let (client, (n, _)) = (rig.client(), rig.nodes_up());
    rig.pass(ms(3000.0));
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
    rig.pass(ms(3000.0));
    assert!((1..=3).all(|id| rig.outcomes(client, id).len() == 1));
    rig.submit(client, 9, "read");
    assert_eq!(rig.not_taken(client), ["unknown volume \"v\""]);
}

/// What came of a document that was cut.
#[derive(PartialEq)]
enum Cut {
    /// It was served by as a whole.
    Taken,
    TurnedDown,
}

/// Proposes these two files to a host that serves by the first document.
fn propose_files(main: &str, tail: &str, what: &str) -> Cut {
    let before = text_of(&[]) + "revision 1\nroute to=\"all\"\n";
    let files = [
        ("new.kdl", main),
        ("tail.kdl", tail),
        ("first.kdl", &before),
    ];
    let files = files.map(|(name, text)| (name.to_string(), text.to_string()));
    let Ok((deployment, _)) = load(&Memory(files.into()), "new.kdl") else {
        return Cut::TurnedDown;
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
            assert!(Arc::ptr_eq(rig.core.deployment(), &new), "whole");
            let safe = changes.iter().all(|change| change.class == Class::Safe);
            assert!(safe, "{what}: {changes:?}");
            Cut::Taken
        }
        ProposalOutcome::TurnedDown(why) => {
            assert!(!why.is_empty());
            let unchanged = Arc::ptr_eq(rig.core.deployment(), &old);
            assert!(unchanged, "the old one, whole");
            Cut::TurnedDown
        }
    };
    rig.pass(ms(1600.0));
    assert_eq!(rig.outcomes(client, 1).len(), 1);
    cut
}

/// A document of two files cut at every byte, as if it were read half written: it is turned down, or what is
/// left of it is sound, not dangerous, and served by whole. With its revision as the last line every cut of
/// the first file is turned down.
#[test]
fn half_written_documents_are_turned_down_or_whole() {
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
    let taken = |cuts: &[Cut]| cuts.iter().filter(|cut| **cut == Cut::Taken).count();
    let taken_main = taken(&cuts_of_main);
    let taken_tail = taken(&cuts_of_tail);
    let down = cuts_of_main.len() + cuts_of_tail.len() - taken_main - taken_tail;
    // Only the line end of its last line may lack: nothing is lost with that.
    assert!(
        taken_main <= 1 && down > 500,
        "{taken_main} {taken_tail} {down}"
    );
    println!(
        "taken: {taken_main} cuts of the first file, {taken_tail} of the included one; turned down: {down}"
    );
}
