//! Operator commands on servers, and their results.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The most servers that one command may name. It bounds the frame that carries the command to the coordinator.
pub(super) const MAX_SERVERS: usize = 1024;

/// An operator's command to take servers offline, to put them back into service, or to cancel an order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OperatorCommand {
    /// `out`, `back` or `cancel`.
    pub kind: String,
    /// Names of nodes, hosts, or zones. A zone stands for all nodes and hosts in it.
    pub names: Vec<String>,
    /// How long the servers may be offline, in milliseconds; 0: the configured time.
    pub longest_ms: u64,
    /// Whether the operator permits that a shard is left without a node.
    #[serde(rename = "cell_away")]
    pub shard_away: bool,
    /// Whether a restart of a server counts as its return to service. Otherwise an operator must command the return.
    pub returns: bool,
    /// Why the operator gives the command, as shown to other operators.
    pub reason: String,
}

/// The result of an operator command: accepted, or the reason for which it is not.
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
        /// The kind that the command gives.
        kind: String,
    },
    /// There is no such server or zone.
    #[error("no node, host or zone is called \"{name}\" here{hint}")]
    UnknownName {
        /// The name that the command gives.
        name: String,
        /// A semicolon and a similar name that may have been meant; empty: there is none.
        hint: String,
    },
    /// The command names too few or too many servers.
    #[error("{count} servers named: expected 1 to {max}", max = MAX_SERVERS)]
    ServerCount {
        /// Number of servers that the command names, those in its zones included.
        count: usize,
    },
    /// The coordinator refuses the command because of one of its servers.
    #[error("{server}: {reason}")]
    Refused {
        /// Name of the server that the refusal is about.
        server: String,
        /// Why the coordinator refuses the command.
        reason: String,
    },
    /// This host left the fleet before the coordinator answered.
    #[error(
        "this host is leaving and does not know the result; the command may still take effect: see \
         `gullsail fleet maintenance` at another host, or repeat it there"
    )]
    ResultUnknown,
}
