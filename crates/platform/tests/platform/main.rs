//! The platform's host without a socket, in given time.

mod attempts;
mod clients;
mod connection_task;
mod discovery;
mod limits_and_shutdown;
mod races;
mod rig;
mod serialized_names;
