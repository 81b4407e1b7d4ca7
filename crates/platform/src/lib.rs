//! A host on the users' platform: clients, nodes and discovery over HTTP/1.1, other hosts over UDP, and the scheduler
//! ([`gullsail::Scheduler`]) behind them.
//!
//! [`settings_document`] reads the configuration of a host, [`core`] is a state machine without I/O, [`runtime`] holds
//! the sockets around it. This crate decides nothing on a request: the core tells the scheduler what happened and
//! carries out its actions. The command `gullsail platform` calls [`runtime`]. Begin to read with [`core`].

pub mod core;
pub mod runtime;
pub mod settings_document;
