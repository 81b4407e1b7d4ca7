//! The document that a deployment is run from, in KDL: hosts, storage nodes, the list service, request
//! classes, plans, volumes, the rules' figures. [`parse`] finds every problem in one go, each with its place
//! and what was meant; what it returns is immutable. Files are read through a [`Loader`] alone.
//!
//! Its stages: [`source_map`] and `resolve` (files, includes, templates: one flat document comes out),
//! [`reader`] (how entries are read and problems reported), `builder` (what a document means), [`deployment`]
//! (the result), `lints` (what is well-formed and makes no sense).

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

pub use builder::{KEPT, build};
pub use deployment::*;
pub use problem::{DiagnosticRecord, Problem, ProblemSeverity, Problems, meant};
pub use reader::{Names, Reader};
pub use source_map::{Files, LoadError, Loader, Memory};

/// Reads a document of one text. `name` is what messages call it; nothing can be included.
///
/// # Errors
/// All problems that were found, with their places.
pub fn parse(name: &str, text: &str) -> Result<Deployment, Problems> {
    let loader = Memory([(name.to_string(), text.to_string())].into());
    load(&loader, name).map(|(deployment, _)| deployment)
}

/// Reads a document and all that it includes; warnings come with what was built.
///
/// # Errors
/// All problems that were found, with their places.
pub fn load(loader: &dyn Loader, name: &str) -> Result<(Deployment, Vec<Problem>), Problems> {
    revisions::load(loader, name, &[])
}
