//! The messages of the control socket.
//!
//! The keys of the JSON objects stay the same from version to version. If a field or variant has another name
//! here, a serde attribute keeps its key.

use crate::core::Counts;
use crate::core::fleet::FleetView;
use crate::core::maintenance::{MaintenanceView, OperatorCommand};
use crate::core::zone_traffic::{BudgetOverrun, Crossed};
use gullsail_configuration::DiagnosticRecord;
use gullsail_configuration::diff::Change;
use serde::{Deserialize, Serialize};

/// A request of an operator's program.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum ControlRequest {
    /// Reads the configuration again and serves by it.
    Reload {
        /// Apply dangerous changes too.
        #[serde(default)]
        insist: bool,
    },
    /// Reports the host's state.
    Status,
    /// Takes servers offline or back, or cancels that.
    #[serde(rename = "word")]
    OperatorCommand(OperatorCommand),
}

/// A host's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "told", rename_all = "kebab-case")]
pub enum ControlReply {
    /// The configuration is applied.
    Taken {
        /// Its revision.
        revision: u64,
        /// What differs from the one before.
        changes: Vec<Change>,
    },
    /// The request is valid but cannot be carried out now.
    TurnedDown {
        /// One line for each reason.
        why: Vec<String>,
    },
    /// The configuration is not valid.
    Broken {
        /// Everything that is wrong with it.
        problems: Vec<DiagnosticRecord>,
    },
    /// The host's state.
    Status(Box<State>),
    /// The maintenance command is accepted, whichever host decided. The state says what it waits for.
    #[serde(rename = "word-taken")]
    CommandTaken,
    /// The host leaves before it knows the result of the maintenance command, which may still take effect.
    #[serde(rename = "word-unknown")]
    CommandResultUnknown {
        /// What to do, for the operator.
        why: String,
    },
    /// The line was not understood or could not be answered.
    Error {
        /// Why.
        why: String,
    },
}

/// The state of a host. A field that another version does not report is read as empty or 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The host's name.
    pub host: String,
    /// The revision that it serves by.
    pub revision: u64,
    /// Hosts that are not known to hold this revision. Until they do, the lower limit of both revisions holds.
    pub behind: Vec<String>,
    /// Open requests.
    pub open: usize,
    /// Attempts that have not ended.
    #[serde(rename = "legs_out")]
    pub attempts_out: usize,
    /// Bytes held for requests and for connections.
    pub held_bytes: usize,
    /// What was counted since the start.
    pub counts: Counts,
    /// Traffic between zones in this incarnation of the host.
    pub crossed: Vec<Crossed>,
    /// Overruns of cross-zone budgets.
    pub past: Vec<BudgetOverrun>,
    /// The fleet as this host sees it; `None`: there is none.
    pub fleet: Option<FleetView>,
    /// Servers offline for maintenance; `None`: maintenance is not configured.
    #[serde(rename = "works")]
    pub maintenance: Option<MaintenanceView>,
}
