//! Relays that record and disturb the connections to processes. Peers connect to a relay in place of the process. The
//! relay records each frame with its time and forwards it, subject to the disturbances in force: it can delay, drop,
//! repeat or swap frames, turn answers into errors, and refuse, cut or half-close connections.

mod disturbance;
mod passage;
mod received_bytes;
mod relay;
mod wire;

pub use disturbance::{Disturbance, DisturbanceKind};
pub use relay::relay;
pub use wire::Wire;
