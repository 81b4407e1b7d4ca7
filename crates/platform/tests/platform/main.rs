//! Tests of the platform's host: of the core without sockets and with simulated time, and of the connection task on
//! real sockets.

mod attempts;
mod clients;
mod connection_task;
mod discovery;
mod limits_and_shutdown;
mod races;
mod repeated_ids;
mod rig;
mod second_responses;
mod serialized_names;
