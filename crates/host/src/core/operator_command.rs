//! Operator commands on servers, and their results.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most servers in one command. It bounds the frame that carries the command to the coordinator.
pub(super) const MAX_SERVERS: usize = 1024;

/// An operator's command on servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorCommand {
    /// `out`, `back` or `cancel`.
    pub kind: String,
    /// Names of nodes, hosts, or zones. A zone stands for all nodes and hosts in it.
    pub names: Vec<String>,
    /// How long the servers may be offline, in milliseconds; 0: as configured.
    pub longest_ms: u64,
    /// The operator permits that shards are left without a node.
    #[serde(rename = "cell_away")]
    pub shard_away: bool,
    /// The servers will return.
    pub returns: bool,
    /// The reason, for other operators.
    pub reason: String,
}

/// The result of an operator command: accepted, or why not.
pub type CommandOutcome = Result<(), CommandError>;

/// Why an operator command is not accepted. The texts are shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The configuration does not provide for maintenance.
    #[error("the configuration has no `works` entry, so servers cannot be taken offline")]
    NoMaintenance,
    /// There is no such kind of command.
    #[error("unknown command \"{kind}\": expected out, back or cancel")]
    UnknownKind {
        /// What was given.
        kind: String,
    },
    /// There is no such server or zone.
    #[error("no node, host or zone is called \"{name}\" here{hint}")]
    UnknownName {
        /// What was given.
        name: String,
        /// A name that may have been meant, after a semicolon; or empty.
        hint: String,
    },
    /// Too few or too many servers are named.
    #[error("{count} servers named: expected 1 to {max}", max = MAX_SERVERS)]
    ServerCount {
        /// How many.
        count: usize,
    },
    /// The fleet rejects the command because of one of its servers.
    #[error("{server}: {reason}")]
    Refused {
        /// The server's name.
        server: String,
        /// Why.
        reason: String,
    },
    /// This host has left the fleet before the coordinator answered.
    #[error(
        "this host is leaving and does not know the result; the command may still take effect: see \
         `gullsail fleet maintenance` at another host, or repeat it there"
    )]
    ResultUnknown,
}
