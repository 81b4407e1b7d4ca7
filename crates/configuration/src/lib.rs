//! The document that a deployment is run from, in KDL: hosts, storage nodes, the list service, stream types,
//! plans, volumes, the rules' figures. [`parse`] finds every problem in one go, each with its place and what
//! was meant; what it returns is immutable. Nothing is read or written here but the text given.
//!
//! Read [`deployment`] for what a document means, [`reader`] for how its entries are read.

pub mod deployment;
pub mod reader;

pub use deployment::*;
pub use reader::{Problem, Problems, Reader};

/// Reads a whole document. `name` is what messages call it.
///
/// # Errors
/// All problems that were found, with their places.
pub fn parse(name: &str, text: &str) -> Result<Deployment, Problems> {
    let (document, mut reader) = Reader::open(name, text)?;
    let deployment = deployment::build(&document, &mut reader);
    reader.close(deployment)
}
