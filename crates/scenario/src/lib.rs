//! A scripted day: [`script`] reads it from the same document as the deployment, [`run`] starts all processes
//! on free loopback ports with relays between them, plays the faults, stops everything and has the recording
//! judged. [`built_in`] holds the days that come with the program.

// Fields and variants are not all documented yet: docs/ROADMAP.md lists what is left.
#![allow(missing_docs)]

pub mod built_in;
mod error;
pub mod processes;
pub mod run;
pub mod script;

pub use run::{Report, RunError, Stage, play};
pub use script::{Fault, Script};
