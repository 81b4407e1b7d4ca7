//! Adapter between the scheduler and the bench, a simulator of hosts and nodes. It implements the bench's protocol,
//! lines of JSON, for many instances of the scheduler in one process. The program `gullsail-benchlink` passes it
//! the lines from standard input; tests call it directly.
//!
//! [`adapter`] owns the instances, [`wire`] defines the events as they are received, [`events`] translates them
//! to the scheduler's, and [`actions`] translates the scheduler's actions back. The names in `wire` and the
//! strings in `actions` are those of the bench's protocol.

pub mod actions;
pub mod adapter;
pub mod error;
pub mod events;
pub mod wire;
