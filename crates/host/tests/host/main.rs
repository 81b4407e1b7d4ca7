//! The host without a socket, in given time.

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
