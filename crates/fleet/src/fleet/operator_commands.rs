//! Operators' commands that this host was given. Each is sent to the coordinator until it is answered or times
//! out.

use super::Fleet;
use crate::maintenance::coordinator::CommandKind;
use crate::maintenance::{CommandRefusal, ServerId};
use gullsail_protocol::{FleetCommand, FleetMaintenance, FleetMessage, FleetMessageKind};
use gullsail_scheduler_api::Instant;
use std::collections::BTreeMap;

/// Commands that may be pending at one host; more are refused. A bound on memory and on messages sent again.
const MAX_COMMANDS: usize = 32;
/// How often a pending command is sent again, in leases.
const RESEND_INTERVAL_LEASES: f64 = 0.125;
/// When a pending command times out, in leases: long enough for two takeovers.
const GIVE_UP_AFTER_LEASES: f64 = 6.0;

/// The answer to an operator's command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandAnswer {
    /// The command's number.
    pub number: u64,
    /// What became of it.
    pub result: CommandResult,
}

/// What became of an operator's command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResult {
    /// A majority of the hosts knows it.
    Accepted,
    /// It has no effect.
    Refused {
        /// The server that it is refused for.
        server: ServerId,
        /// Why, for the operator.
        reason: String,
    },
    /// This process left the fleet before the coordinator answered. It may take effect.
    Unknown,
}

#[derive(Clone, Debug)]
struct PendingCommand {
    command: FleetCommand,
    next: Instant,
    gives_up_at: Instant,
}

/// Commands that wait for an answer, and results that the host has not taken yet.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingCommands {
    pending: BTreeMap<u64, PendingCommand>,
    answers: Vec<CommandAnswer>,
}

impl PendingCommands {
    /// When the next command is due to be sent again.
    pub(super) fn next(&self) -> Option<Instant> {
        self.pending.values().map(|command| command.next).min()
    }

    fn refuse(&mut self, number: u64, command: &FleetCommand, refusal: CommandRefusal) {
        let server = ServerId(command.servers.first().copied().unwrap_or_default());
        let result = CommandResult::Refused {
            server,
            reason: refusal.to_string(),
        };
        self.answers.push(CommandAnswer { number, result });
    }
}

impl Fleet {
    /// The results of operators' commands, each once.
    pub fn answers(&mut self) -> std::vec::Drain<'_, CommandAnswer> {
        self.maintenance.commands.answers.drain(..)
    }

    /// An operator gives a command to this host.
    pub(super) fn accept_command(&mut self, number: u64, command: FleetCommand) {
        let commands = &mut self.maintenance.commands;
        if self.config.maintenance.is_none() {
            return commands.refuse(number, &command, CommandRefusal::NoMaintenance);
        }
        if self.membership.is_leaving() {
            return commands.refuse(number, &command, CommandRefusal::HostIsLeaving);
        }
        if commands.pending.len() >= MAX_COMMANDS {
            return commands.refuse(number, &command, CommandRefusal::TooManyCommands);
        }
        let gives_up_at = self.now + self.config.lease.times(GIVE_UP_AFTER_LEASES);
        commands.pending.insert(
            number,
            PendingCommand {
                command,
                next: self.now,
                gives_up_at,
            },
        );
        self.send_commands();
    }

    /// Sends the commands that are due to the coordinator, and refuses those that timed out.
    pub(super) fn send_commands(&mut self) {
        let now = self.now;
        let resend_at = now + self.config.lease.times(RESEND_INTERVAL_LEASES);
        let mut due = Vec::new();
        for (number, command) in &mut self.maintenance.commands.pending {
            if command.next <= now {
                command.next = resend_at;
                due.push((*number, command.clone()));
            }
        }
        for (
            number,
            PendingCommand {
                command,
                gives_up_at,
                ..
            },
        ) in due
        {
            if now >= gives_up_at {
                let commands = &mut self.maintenance.commands;
                commands.pending.remove(&number);
                commands.refuse(number, &command, CommandRefusal::Unanswered);
            } else {
                self.send_command(number, command);
            }
        }
    }

    fn send_command(&mut self, number: u64, command: FleetCommand) {
        let Some(coordinator) = self.membership.lease_holder.coordinator() else {
            return;
        };
        let maintenance = FleetMaintenance {
            command: Some(command),
            ..FleetMaintenance::default()
        };
        let message = FleetMessage {
            number,
            maintenance: Some(Box::new(maintenance)),
            ..self.new_message(FleetMessageKind::OperatorCommand, coordinator, 0)
        };
        if let Some(relay) = self.relays(coordinator).into_iter().next() {
            self.send(message.clone(), Some(relay));
        }
        self.send(message, None);
    }

    /// The coordinator has answered a command.
    pub(super) fn command_answered(&mut self, message: &FleetMessage) {
        let maintenance = message.maintenance.as_ref();
        let Some(result) = maintenance.and_then(|maintenance| maintenance.command.as_ref()) else {
            return;
        };
        let commands = &mut self.maintenance.commands;
        if commands.pending.remove(&message.number).is_some() {
            let result = if result.refusal.is_empty() {
                CommandResult::Accepted
            } else {
                CommandResult::Refused {
                    server: ServerId(result.refused),
                    reason: result.refusal.clone(),
                }
            };
            let number = message.number;
            commands.answers.push(CommandAnswer { number, result });
        }
    }

    /// Accepts the pending commands that take this host offline, once it drains: an order that drains is known to a
    /// majority. The coordinator's own answer may not come any more, since that may be this host, which steps down.
    pub(super) fn accept_commands_that_drain_this_host(&mut self) {
        let own = self.server_of(self.process.host);
        let Some(own) = own.filter(|_| self.going_offline()) else {
            return;
        };
        let commands = &mut self.maintenance.commands;
        let drains_this_host = |command: &FleetCommand| {
            command.kind == CommandKind::TakeOffline as u32 && command.servers == [own.0]
        };
        let accepted = commands
            .pending
            .extract_if(.., |_, pending| drains_this_host(&pending.command));
        let answers = accepted.map(|(number, _)| CommandAnswer {
            number,
            result: CommandResult::Accepted,
        });
        commands.answers.extend(answers);
    }

    /// This process leaves: nobody would receive the coordinator's answers to the commands that are pending.
    pub(super) fn end_pending_commands(&mut self) {
        self.accept_commands_that_drain_this_host();
        let commands = &mut self.maintenance.commands;
        let pending = std::mem::take(&mut commands.pending);
        let answers = pending.into_keys().map(|number| CommandAnswer {
            number,
            result: CommandResult::Unknown,
        });
        commands.answers.extend(answers);
    }
}
