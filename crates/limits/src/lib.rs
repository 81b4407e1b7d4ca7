//! Documents change at different hosts at different moments, and a volume's limit must hold over all of them
//! meanwhile. [`Turnover`] decides what each host may send for each volume until all have followed. It has no
//! I/O, no clock and no chance of its own.

mod promises;
mod turnover;

pub use promises::{Promises, Revision, Shared};
pub use turnover::{Heard, MOST_HOSTS, Note, Refused, Turnover};
