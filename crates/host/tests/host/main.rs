//! Tests of the host without sockets. Time is passed in by the tests, except in those of the control socket.

mod bounds;
mod changes;
mod clocks;
mod control;
mod control_compatibility;
mod core;
mod model;
mod nodes;
mod other_configurations;
mod request_stages;
mod rig;
mod shutdown_commands;
mod stall_detector;
mod waiting_attempts;
