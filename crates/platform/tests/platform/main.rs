//! The platform's host without a socket, in given time.

mod attempts;
mod bounds;
mod clients;
mod list;
mod races;
mod rig;
mod sockets;
