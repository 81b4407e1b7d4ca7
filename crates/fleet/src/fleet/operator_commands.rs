//! Commands that operators gave to this host. Each is sent to the coordinator repeatedly until it is answered or times
//! out.

use super::Fleet;
use crate::maintenance::coordinator::CommandKind;
use crate::maintenance::{CommandRefusal, ServerId};
use gullsail_protocol::{FleetCommand, FleetMaintenance, FleetMessage, FleetMessageKind};
use gullsail_scheduler_api::Instant;
use std::collections::BTreeMap;

/// The most commands pending at one host; further ones are refused. This bounds memory and the number of messages.
const MAX_COMMANDS: usize = 32;
/// The interval at which a pending command is sent again, in member leases.
const RESEND_INTERVAL_LEASES: f64 = 0.125;
/// The time after which a pending command times out, in member leases: long enough for two takeovers.
const GIVE_UP_AFTER_LEASES: f64 = 6.0;

/// The answer to an operator's command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandAnswer {
    /// The number that the caller gave to the command.
    pub number: u64,
    /// The result of the command.
    pub result: CommandResult,
}

/// The result of an operator's command.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResult {
    /// The command takes effect, and a majority of hosts has the order book with its result.
    Accepted,
    /// The command was refused and has no effect, or no coordinator answered in time and it may still take effect.
    /// `reason` says which.
    Refused {
        /// The server that is the cause of the refusal; if none is, the first server of the command.
        server: ServerId,
        /// The reason of the refusal, for the operator.
        reason: String,
    },
    /// This process left the fleet before the coordinator answered. The command may still take effect.
    Unknown,
}

#[derive(Clone, Debug)]
struct PendingCommand {
    command: FleetCommand,
    /// When the command is sent next.
    resend_at: Instant,
    times_out_at: Instant,
}

/// Commands without an answer, and answers that the host has not read yet.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingCommands {
    pending: BTreeMap<u64, PendingCommand>,
    answers: Vec<CommandAnswer>,
}

impl PendingCommands {
    /// Returns when the next command is due to be sent; `None`: none is pending.
    pub(super) fn next(&self) -> Option<Instant> {
        self.pending.values().map(|command| command.resend_at).min()
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
    /// Drains the answers to operators' commands.
    pub fn answers(&mut self) -> std::vec::Drain<'_, CommandAnswer> {
        self.maintenance.commands.answers.drain(..)
    }

    /// Accepts or refuses a command that an operator gives to this host.
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
        let times_out_at = self.now + self.config.lease.times(GIVE_UP_AFTER_LEASES);
        commands.pending.insert(
            number,
            PendingCommand {
                command,
                resend_at: self.now,
                times_out_at,
            },
        );
        self.send_commands();
    }

    /// Sends the commands that are due to the coordinator, and refuses those that have timed out.
    pub(super) fn send_commands(&mut self) {
        let now = self.now;
        let resend_at = now + self.config.lease.times(RESEND_INTERVAL_LEASES);
        let mut due = Vec::new();
        for (number, command) in &mut self.maintenance.commands.pending {
            if command.resend_at <= now {
                command.resend_at = resend_at;
                due.push((*number, command.clone()));
            }
        }
        for (
            number,
            PendingCommand {
                command,
                times_out_at,
                ..
            },
        ) in due
        {
            if now >= times_out_at {
                let commands = &mut self.maintenance.commands;
                commands.pending.remove(&number);
                commands.refuse(number, &command, CommandRefusal::Unanswered);
            } else {
                self.send_command(number, command);
            }
        }
    }

    /// Sends a command to the coordinator, directly and through one relay. Does nothing if no coordinator is known.
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

    /// Handles the coordinator's answer to a command.
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

    /// Answers the pending commands that take this host offline as accepted, once the host drains: a majority of hosts
    /// then has the order. The coordinator's answer may never arrive, since the coordinator may be this host, which
    /// resigns.
    pub(super) fn accept_commands_that_drain_this_host(&mut self) {
        let this_server = self.server_of(self.process.host);
        let Some(this_server) = this_server.filter(|_| self.going_offline()) else {
            return;
        };
        let commands = &mut self.maintenance.commands;
        let drains_this_host = |command: &FleetCommand| {
            command.kind == CommandKind::TakeOffline as u32 && command.servers == [this_server.0]
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

    /// Answers all pending commands because this process leaves the fleet and will not receive the coordinator's
    /// answers.
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
