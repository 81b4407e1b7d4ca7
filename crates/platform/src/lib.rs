//! The users' platform: clients, nodes, discovery and peers over HTTP/1.1 and UDP, as a further route in and out of the
//! decisions (`gullsail::Brain`). [`document`] is what a host is told at its start, [`core`] a state machine without
//! I/O, [`drive`] the sockets around it. No decision on a request is made here: the core says what is possible and
//! carries out what the module wants.

pub mod core;
pub mod document;
pub mod drive;
