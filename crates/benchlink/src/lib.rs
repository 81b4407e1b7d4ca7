//! The adapter between the bench and the scheduler: it speaks the bench's wire, lines of JSON, for many
//! instances of the scheduler in one process. The program `gullsail-benchlink` feeds it lines; tests call it
//! directly.
//!
//! [`adapter`] owns the instances, [`wire`] the shapes of the events, [`events`] and [`actions`] translate
//! both ways. Names in `wire` and in the strings of `actions` are the bench's own. Nothing is decided here.

pub mod actions;
pub mod adapter;
pub mod error;
pub mod events;
pub mod wire;
