//! Keeps the limits of volumes while hosts change, one after the other, from one revision of the configuration to the
//! next. At every moment of the transition, the limit of a volume must hold over all hosts together.
//!
//! [`ConfigTransition`] is the state machine that a host runs. It takes revisions of the configuration and the
//! notices of other hosts, and returns allocations and the notices to send. It does no I/O, reads no clock and
//! takes its random numbers from the caller. [`RevisionLimits`] is the part of a configuration that it reads.

mod error;
mod notice;
mod revision_limits;
mod transition;

pub use error::TransitionError;
pub use notice::{AddressedNotice, MAX_HOSTS, NoticeEffect, NoticeOutcome, RevisionNotice};
pub use revision_limits::{Revision, RevisionLimits, SharedLimit};
pub use transition::{ConfigTransition, LaggingHost};
