//! Scenarios with real processes. [`script`] reads a scenario (the `day` entry of a document) together with the
//! deployment. [`run`] starts all processes on free loopback ports with recording proxies between them, injects the
//! faults, stops the processes and checks the rules against the recording. [`built_in`] holds the built-in scenarios.

// One-letter names are left in places: docs/ROADMAP.md lists them.
#![allow(clippy::min_ident_chars)]

pub mod built_in;
mod error;
pub mod processes;
pub mod run;
pub mod script;

pub use run::{Report, RunError, Stage, play};
pub use script::{Fault, Script};
