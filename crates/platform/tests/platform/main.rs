//! The platform's host without a socket, in given time.

mod bounds;
mod clients;
mod crossings;
mod legs;
mod list;
mod rig;
mod sockets;
