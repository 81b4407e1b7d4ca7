//! Operators' commands while coordinators resign or crash and hosts leave: each command has one answer.

use crate::harness::{DRIFT, FIRST_NODE, LEASE, World};
use crate::maintenance::maintenance_config;
use crate::seeds;
use gullsail_fleet::fleet::CommandResult;
use gullsail_fleet::maintenance::ServerId;
use gullsail_fleet::maintenance::coordinator::CommandKind;
use gullsail_protocol::FleetCommand;
use rand::Rng;

const HOSTS: u32 = 5;
const NODE: ServerId = ServerId(FIRST_NODE);

fn away() -> FleetCommand {
    FleetCommand {
        shard_away: true,
        ..FleetCommand::default()
    }
}

fn host(number: u32) -> ServerId {
    ServerId(u64::from(number) + 1)
}

/// A fleet that has run for so long that no lease of an earlier process has to be waited for.
fn settled_fleet(seed: u64) -> World {
    let mut w = World::with_drift(HOSTS, seed, 10_000, DRIFT, Some(maintenance_config()));
    w.run(8 * LEASE);
    w
}

fn coordinator(w: &World) -> u32 {
    let is_coordinator = |number: &u32| {
        let fleet = w.hosts[*number as usize].fleet.as_ref();
        fleet.is_some_and(|fleet| fleet.is_coordinator(w.clock(*number, w.now)))
    };
    (0..HOSTS).find(is_coordinator).unwrap()
}

fn answers_to(w: &World, command: u64) -> Vec<CommandResult> {
    let answers = w.answers.iter().filter(|answer| answer.number == command);
    answers.map(|answer| answer.result.clone()).collect()
}

/// Guards against a coordinator that takes its own server offline, resigns and leaves without answering the command.
#[test]
fn a_coordinator_that_takes_itself_offline_answers_the_command() {
    for seed in seeds(60) {
        let mut w = settled_fleet(seed);
        let leaving = coordinator(&w);
        let command = w.command(leaving, CommandKind::TakeOffline, &[host(leaving)], away());
        w.run(6 * LEASE);
        assert!(w.hosts[leaving as usize].fleet.is_none(), "seed {seed}");
        assert_eq!(
            answers_to(&w, command),
            [CommandResult::Accepted],
            "seed {seed}"
        );
    }
}

/// Guards against a host that leaves the fleet without an answer to a command that the coordinator has not answered.
#[test]
fn a_host_that_leaves_answers_commands_with_an_unknown_result() {
    for seed in seeds(10) {
        let mut w = settled_fleet(seed);
        let leaving = (coordinator(&w) + 1) % HOSTS;
        for other in (0..HOSTS).filter(|other| *other != leaving) {
            w.cut(leaving, other, 20 * LEASE);
            w.cut(other, leaving, 20 * LEASE);
        }
        let command = w.command(leaving, CommandKind::TakeOffline, &[NODE], away());
        w.leave(leaving);
        let late = w.command(leaving, CommandKind::TakeOffline, &[NODE], away());
        w.run(2 * LEASE);
        assert_eq!(
            answers_to(&w, command),
            [CommandResult::Unknown],
            "seed {seed}"
        );
        let refused = answers_to(&w, late);
        assert!(
            matches!(refused[..], [CommandResult::Refused { .. }]),
            "seed {seed}: {refused:?}"
        );
    }
}

/// Guards against the loss of a command when the coordinator crashes, whether no host, one or a majority has the order.
#[test]
fn a_command_survives_a_crash_of_the_coordinator_at_any_time() {
    for seed in seeds(60) {
        let mut w = settled_fleet(seed);
        let killed = coordinator(&w);
        let receiver = (killed + 1) % HOSTS;
        let command = w.command(receiver, CommandKind::TakeOffline, &[NODE], away());
        let moment = w.rng.random_range(0..LEASE / 2);
        w.run(moment);
        w.kill(killed);
        w.run(8 * LEASE);
        assert_eq!(
            answers_to(&w, command),
            [CommandResult::Accepted],
            "seed {seed}, killed after {moment} us"
        );
    }
}
