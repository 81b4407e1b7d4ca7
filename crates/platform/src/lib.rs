//! A host on the users' platform. It serves clients, nodes and discovery over HTTP/1.1, exchanges datagrams with other
//! hosts over UDP, and runs the scheduler ([`gullsail::Scheduler`]).
//!
//! [`settings_document`] parses the configuration of a host. [`core`] is a state machine without I/O. [`runtime`] owns
//! the sockets and drives the core; the command `gullsail platform` calls it. This crate makes no scheduling
//! decisions: the core passes events to the scheduler and carries out the scheduler's actions. Start reading with
//! [`core`].

pub mod core;
pub mod runtime;
pub mod settings_document;
