//! The platform's host without a socket, in given time.

mod bounds;
mod clients;
mod legs;
mod list;
mod rig;
mod sockets;
