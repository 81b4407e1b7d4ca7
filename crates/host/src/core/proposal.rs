//! A proposed configuration and the outcome of the proposal.

use super::ids::RequesterId;
use gullsail_config_transition::Revision;
use gullsail_configuration::Deployment;
use gullsail_configuration::diff::Change;
use std::sync::Arc;

/// A proposal to replace the host's configuration.
#[derive(Debug)]
pub struct Proposal {
    /// The requester that receives the outcome.
    pub requester: RequesterId,
    /// The configuration that `to` was compared with. The proposer keeps references to both until the outcome is
    /// known: dropping the last reference to a large configuration takes long and must not delay the event loop.
    pub from: Arc<Deployment>,
    /// The proposed configuration.
    pub to: Arc<Deployment>,
    /// The differences from `from` to `to`.
    pub changes: Vec<Change>,
    /// Whether to apply dangerous changes too, if they can be made while serving.
    pub insist: bool,
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposalOutcome {
    /// The proposed configuration is applied.
    Taken {
        /// The revision of the configuration that is in use now.
        revision: Revision,
    },
    /// The proposal is rejected, with one line for each reason. Nothing has changed.
    TurnedDown(Vec<String>),
}
