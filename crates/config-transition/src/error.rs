//! The errors of [`ConfigTransition::go_on`](crate::ConfigTransition::go_on), with the texts that operators
//! read.

use crate::revision_limits::Revision;

/// Why a host does not accept the next revision of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// It is older than the current one.
    #[error("revision {} is not later than {}, which this host runs", .next.0, .held.0)]
    NotLater {
        /// The current revision.
        held: Revision,
        /// The one that was given.
        next: Revision,
    },
    /// It has the number of the current one, but other limits or hosts.
    #[error("limits or hosts of volumes change, but this host runs revision {} already: give the configuration the \
             next revision number, and name the file of the earlier one with `after`", .0.0)]
    SameRevision(Revision),
    /// It names an earlier revision with the number of the current one, but other limits or hosts.
    #[error("the configuration named with `after` as revision {} differs from the one that this host runs", .0.0)]
    Other(Revision),
    /// It does not follow the current one.
    #[error("revision {} follows {}, but this host runs {}", .next.0, .after.0, .held.0)]
    NotNext {
        /// The current revision.
        held: Revision,
        /// The one that it follows.
        after: Revision,
        /// The one that was given.
        next: Revision,
    },
    /// The chain given with it does not reach back to this revision, which some host may still follow.
    #[error("some hosts may still run revision {}: keep naming it with `after`", .0.0)]
    ChainTooShort(Revision),
}
