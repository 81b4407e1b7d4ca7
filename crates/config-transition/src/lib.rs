//! Documents change at different hosts at different moments, and a volume's limit must hold over all of them
//! meanwhile. [`ConfigTransition`] decides what each host may send for each volume until all have followed. It has no
//! I/O, no clock and no chance of its own.

mod revision_limits;
mod transition;

pub use revision_limits::{Revision, RevisionLimits, Shared};
pub use transition::{ConfigTransition, Heard, MOST_HOSTS, Note, Refused};
