//! What comes into a host's part of the fleet and what goes out of it.

use crate::config::FleetConfig;
use crate::maintenance::{ServerId, Servers};
use gullsail_protocol::{FleetCommand, FleetMessage};
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What happens to a host.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message came.
    Message {
        /// The host whose connection it came on.
        link: HostId,
        /// The message.
        message: FleetMessage,
    },
    /// Clients ask for units of a budget.
    DemandObserved {
        /// Which budget.
        budget: VolumeId,
        /// How much.
        units: f64,
    },
    /// Another configuration is in force.
    Config(Arc<FleetConfig>),
    /// All requests are answered, and nothing is used any more: the host leaves.
    Leave,
    /// The servers as this host observes them.
    ServersObserved {
        /// All of them.
        servers: Servers,
        /// Those that it has released: no attempt, no connection.
        released: BTreeSet<ServerId>,
    },
    /// An operator's command; its result is among [`Fleet::answers`](crate::Fleet::answers) under this
    /// number.
    OperatorCommand {
        /// Chosen by the caller.
        number: u64,
        /// The command.
        command: FleetCommand,
    },
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// The host to send it to, which may have to pass it on.
    pub to: HostId,
    /// The message.
    pub message: FleetMessage,
}

/// How far leaving the fleet has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// The host stays.
    None,
    /// It has announced that it leaves, and waits for an answer until then.
    Announced(Instant),
    /// Everything is given back, or nobody takes it.
    Complete,
}
