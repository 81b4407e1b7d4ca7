//! Operator commands while a host shuts down.

use crate::rig::{Rig, document, ms};
use gullsail_host::core::Input;
use gullsail_host::core::maintenance::{CommandError, CommandOutcome, OperatorCommand};
use gullsail_scheduler_api::Instant;

/// A fleet whose other voter never answers, so that no command has a result.
const FLEET: (&str, &str) = (
    "rules tick=\"20ms\"",
    "fleet \"f\" lease=\"1s\" drift=0.01 voters=2 floor=0.3\n\
     works at-once=1 keep=0.1 longest=\"1h\" watched=\"100ms\" blind=\"1s\"\nrules tick=\"20ms\"",
);
/// The wait for results of commands, and then for the fleet to acknowledge the departure: a lease.
const LONGEST_SHUTDOWN_MS: f64 = 3_000.0;
const COMMAND_INTERVAL_MS: f64 = 50.0;

/// Guards against a shutdown whose wait for results starts again with each command, so that operators who repeat
/// commands could keep the host from ending.
#[test]
fn new_commands_do_not_delay_a_shutdown() {
    let mut rig = Rig::new(&document(&[FLEET]), 0, Instant::from_millis(1e9));
    let mut given = 1;
    let give = |rig: &mut Rig, number: u64| {
        let command = OperatorCommand {
            kind: "out".into(),
            names: vec!["n1".into()],
            ..OperatorCommand::default()
        };
        rig.handle(Input::OperatorCommand(number, command));
    };
    give(&mut rig, given);
    rig.handle(Input::Stop);
    let stopped_at = rig.now;
    while !rig.finished {
        given += 1;
        give(&mut rig, given);
        rig.run_for(ms(COMMAND_INTERVAL_MS));
        let elapsed = (rig.now - stopped_at).millis();
        assert!(
            elapsed <= LONGEST_SHUTDOWN_MS + COMMAND_INTERVAL_MS,
            "{elapsed} ms"
        );
    }
    rig.run_for(ms(COMMAND_INTERVAL_MS));
    let mut answered: Vec<u64> = rig.commands_finished.iter().map(|(of, _)| *of).collect();
    answered.sort_unstable();
    assert_eq!(answered, (1..=given).collect::<Vec<u64>>(), "each has one");
    let mut outcomes = rig.commands_finished.iter();
    let is_unknown = |outcome: &CommandOutcome| *outcome == Err(CommandError::ResultUnknown);
    assert!(
        outcomes.any(|(_, outcome)| is_unknown(outcome)),
        "{:?}",
        rig.commands_finished
    );
}
