//! The messages of the control socket.
//!
//! The keys and values of the JSON objects stay the same from version to version. Where a field or variant has another
//! name in the code, a serde attribute keeps the name in JSON.

use crate::core::Counts;
use crate::core::fleet::FleetView;
use crate::core::maintenance::{MaintenanceView, OperatorCommand};
use crate::core::zone_traffic::{BudgetOverrun, ZoneFlow};
use gullsail_configuration::DiagnosticRecord;
use gullsail_configuration::diff::Change;
use serde::{Deserialize, Serialize};

/// A request of an operator's program.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum ControlRequest {
    /// Reads the configuration again and applies it.
    Reload {
        /// Whether to apply dangerous changes too, if they can be made while serving.
        #[serde(default)]
        insist: bool,
    },
    /// Reports the host's state.
    Status,
    /// Takes servers offline, puts them back into service, or cancels an order.
    #[serde(rename = "word")]
    OperatorCommand(OperatorCommand),
}

/// A host's reply to a [`ControlRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "told", rename_all = "kebab-case")]
pub enum ControlReply {
    /// The configuration is applied.
    Taken {
        /// Revision of the configuration.
        revision: u64,
        /// Differences from the configuration before.
        changes: Vec<Change>,
    },
    /// The configuration or the maintenance command is rejected.
    TurnedDown {
        /// One line for each reason.
        why: Vec<String>,
    },
    /// The configuration is not valid.
    Broken {
        /// All problems that were found in the configuration.
        problems: Vec<DiagnosticRecord>,
    },
    /// The host's state.
    Status(Box<State>),
    /// The coordinator, on this host or another, accepted the maintenance command. The host's state shows what its
    /// orders wait for.
    #[serde(rename = "word-taken")]
    CommandTaken,
    /// The host leaves before it knows the result of the maintenance command, which may still take effect.
    #[serde(rename = "word-unknown")]
    CommandResultUnknown {
        /// What the operator can do about it.
        why: String,
    },
    /// The request was not understood, or could not be answered.
    Error {
        /// The cause, as a text for the operator.
        why: String,
    },
}

/// The state of a host. A field that another version does not report is read as empty or 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The host's name.
    pub host: String,
    /// Revision of the current configuration.
    pub revision: u64,
    /// Names of hosts that are not known to follow this revision or a later one, without those whose lease in the fleet
    /// has expired. Until they follow it, the lower limit of both revisions holds.
    pub behind: Vec<String>,
    /// Number of open requests.
    pub open: usize,
    /// Number of attempts that have not ended.
    #[serde(rename = "legs_out")]
    pub attempts_in_flight: usize,
    /// Bytes of the bodies of open requests, and unsent bytes of all connections.
    pub held_bytes: usize,
    /// Counters since the start of the process.
    pub counts: Counts,
    /// Total of each flow between zones in this incarnation of the host.
    pub crossed: Vec<ZoneFlow>,
    /// Overruns of cross-zone budgets in this incarnation of the host.
    pub past: Vec<BudgetOverrun>,
    /// The fleet as this host sees it; `None`: the configuration has no fleet.
    pub fleet: Option<FleetView>,
    /// The maintenance orders as this host knows them; `None`: maintenance is not configured.
    #[serde(rename = "works")]
    pub maintenance: Option<MaintenanceView>,
}
