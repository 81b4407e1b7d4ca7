//! What hosts tell each other about volumes. Each [`epoch`] reviews the volumes and searches for their other
//! hosts; the [`directory`] answers such searches; [`peer_messages`] handles what other hosts send;
//! [`token_request`] asks them for tokens.

pub(super) mod directory;
pub(super) mod epoch;
pub(super) mod peer_messages;
pub(super) mod token_request;
