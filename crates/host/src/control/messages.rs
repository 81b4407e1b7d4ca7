//! What goes over the control socket.
//!
//! The keys of the JSON objects stay the same from version to version; where a field or variant has another
//! name here, a serde attribute keeps its key.

use crate::core::Counts;
use crate::core::fleet::FleetView;
use crate::core::maintenance::{MaintenanceView, OperatorCommand};
use crate::core::zone_traffic::{BudgetOverrun, Crossed};
use gullsail_configuration::DiagnosticRecord;
use gullsail_configuration::diff::Change;
use serde::{Deserialize, Serialize};

/// What an operator's program asks of a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum ControlRequest {
    /// Read the configuration again and serve by it.
    Reload {
        /// With dangerous changes too.
        #[serde(default)]
        insist: bool,
    },
    /// Report the state.
    Status,
    /// Take servers offline, or back, or cancel that.
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
    /// The request is valid, and can't be carried out now.
    TurnedDown {
        /// A line for each reason.
        why: Vec<String>,
    },
    /// The configuration is not valid.
    Broken {
        /// All that is wrong with it.
        problems: Vec<DiagnosticRecord>,
    },
    /// The state.
    Status(Box<State>),
    /// The maintenance command is accepted, whichever host decides; what it waits for is in the state.
    #[serde(rename = "word-taken")]
    CommandTaken,
    /// The line was not understood, or could not be answered.
    Error {
        /// Why.
        why: String,
    },
}

/// The state of a host. What one version does not report is empty or 0 where another reads it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct State {
    /// The host's name.
    pub host: String,
    /// The revision that it serves by.
    pub revision: u64,
    /// Hosts not known to hold this revision: until they do, the lower shares of limits hold.
    pub behind: Vec<String>,
    /// Open requests.
    pub open: usize,
    /// Attempts that have not ended.
    #[serde(rename = "legs_out")]
    pub attempts_out: usize,
    /// Bytes held for requests and connections.
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
