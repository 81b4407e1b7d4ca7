//! The events that [`Fleet`](crate::Fleet) handles, and the messages that it outputs.

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
    /// A new configuration applies from now on.
    Config(Arc<FleetConfig>),
    /// The host shuts down: all its requests are answered.
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
    /// The host to send it to: the addressee or a relay.
    pub to: HostId,
    /// The message.
    pub message: FleetMessage,
}

/// How far leaving the fleet has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// The host stays.
    None,
    /// It has announced that it leaves, and waits for an acknowledgement.
    Announced {
        /// When it leaves without one.
        give_up_at: Instant,
    },
    /// The departure is acknowledged, or the wait has timed out.
    Complete,
}
