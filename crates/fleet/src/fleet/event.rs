//! The events that [`Fleet`](crate::Fleet) handles, and the messages that it outputs.

use crate::config::FleetConfig;
use crate::maintenance::{ServerId, Servers};
use gullsail_protocol::{FleetCommand, FleetMessage};
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// An event for the state machine of a host.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message of another host was received.
    Message {
        /// The host whose connection the message came on: the sender or a relay.
        link: HostId,
        /// The received message.
        message: FleetMessage,
    },
    /// A client's request needs units of a budget.
    DemandObserved {
        /// The budget that the units count against.
        budget: VolumeId,
        /// The number of units.
        units: f64,
    },
    /// A new configuration replaces the current one.
    Config(Arc<FleetConfig>),
    /// The host shuts down gracefully and leaves the fleet; all its requests have been answered.
    Leave,
    /// The servers as this host observes them.
    ServersObserved {
        /// All servers that the host observes.
        servers: Servers,
        /// Servers that the host has released: it has no attempt and no connection to them.
        released: BTreeSet<ServerId>,
    },
    /// An operator gives a command to this host. [`Fleet::answers`](crate::Fleet::answers) yields the result.
    OperatorCommand {
        /// A number chosen by the caller, which the result repeats.
        number: u64,
        /// The operator's command.
        command: FleetCommand,
    },
}

/// A message for the host to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// The host to send the message to: its addressee or a relay.
    pub to: HostId,
    /// The message with its addressee.
    pub message: FleetMessage,
}

/// The progress of this host's departure from the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// The host has not announced a departure.
    None,
    /// The host has announced its departure and waits for an acknowledgement.
    Announced {
        /// When the host leaves without an acknowledgement.
        give_up_at: Instant,
    },
    /// The departure is acknowledged, or the wait has timed out.
    Complete,
}
