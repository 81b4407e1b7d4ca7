//! The users' platform: clients, nodes, discovery and peers over HTTP/1.1 and UDP, as a further way in and
//! out of the scheduler ([`gullsail::Scheduler`]).
//!
//! [`settings_document`] reads what a host is configured with, [`core`] is a state machine without I/O,
//! [`runtime`] the sockets around it. No decision on a request is made here: the core tells the scheduler
//! what happened and carries out its actions. The command `gullsail platform` calls [`runtime`]; a reader
//! begins with [`core`].

pub mod core;
pub mod runtime;
pub mod settings_document;
