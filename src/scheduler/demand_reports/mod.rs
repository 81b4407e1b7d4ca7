//! Messages between hosts about volumes. Each [`epoch`] reviews the volumes and searches for their other hosts.
//! The [`directory`] stores the hosts of a volume for such searches, [`peer_messages`] handles messages from
//! other hosts, and [`token_request`] asks other hosts for tokens.

pub(super) mod directory;
pub(super) mod epoch;
pub(super) mod peer_messages;
pub(super) mod token_request;
