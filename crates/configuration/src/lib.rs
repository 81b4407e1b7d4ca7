//! Reads the KDL document that describes a deployment: hosts, storage nodes, the list service, request classes,
//! plans, volumes and the parameters of the scheduler. [`parse`] reports all problems at once, each with its position
//! and, where possible, a suggestion. The result is immutable. Files are read only through a [`Loader`].
//!
//! Stages: [`source_map`] and `resolve` (files, includes and templates become one flat document), [`reader`] (reads
//! entries and collects problems), `builder` (turns entries into a deployment), [`deployment`] (the result), `lints`
//! (reports well-formed documents that contradict themselves or probably do not say what was meant).

// One-letter names are left in places: docs/ROADMAP.md lists them.
#![allow(clippy::min_ident_chars)]

mod builder;
mod cross_zone_budgets;
pub mod deployment;
pub mod diff;
mod diff_values;
mod entities;
mod entry_classes;
mod entry_processes;
pub mod explain;
pub mod fleet;
pub mod format;
mod lints;
mod maintenance;
mod problem;
mod ranges;
pub mod reader;
mod reader_values;
mod resolve;
mod revision_entry;
mod revisions;
pub mod routes;
pub mod source_map;

pub use builder::{IGNORED_ENTRIES, build};
pub use deployment::*;
pub use problem::{DiagnosticRecord, Problem, ProblemSeverity, Problems, meant};
pub use reader::{Names, Reader};
pub use source_map::{Files, LoadError, Loader, Memory};

/// Reads a document from one text. `name` is the file name in messages. The text cannot include other files.
///
/// # Errors
/// All problems that were found, with their positions.
pub fn parse(name: &str, text: &str) -> Result<Deployment, Problems> {
    let loader = Memory([(name.to_string(), text.to_string())].into());
    load(&loader, name).map(|(deployment, _)| deployment)
}

/// Reads a document and the files that it includes. Returns the deployment and the warnings.
///
/// # Errors
/// All problems that were found, with their positions.
pub fn load(loader: &dyn Loader, name: &str) -> Result<(Deployment, Vec<Problem>), Problems> {
    revisions::load(loader, name, &[])
}
