//! The errors of [`ConfigTransition::change_revision`](crate::ConfigTransition::change_revision). Operators read their
//! texts.

use crate::revision_limits::Revision;

/// The reason why a host rejects a revision of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TransitionError {
    /// The revision is older than the current one, or none was given.
    #[error("revision {} is not later than {}, which this host runs", .next.0, .held.0)]
    NotLater {
        /// The current revision.
        held: Revision,
        /// The revision that was given.
        next: Revision,
    },
    /// The revision has the number of the current one, but other limits or hosts.
    #[error("limits or hosts of volumes change, but this host runs revision {} already: give the configuration the \
             next revision number, and name the file of the earlier one with `after`", .0.0)]
    SameRevision(Revision),
    /// The chain has an earlier revision with the number of the current one, but other limits or hosts.
    #[error("the configuration named with `after` as revision {} differs from the one that this host runs", .0.0)]
    Other(Revision),
    /// The chain does not contain the current revision, so the given one does not continue from it.
    #[error("revision {} follows {}, but this host runs {}", .next.0, .after.0, .held.0)]
    NotNext {
        /// The current revision.
        held: Revision,
        /// The revision before the given one in the chain; if there is none, the given one itself.
        after: Revision,
        /// The revision that was given.
        next: Revision,
    },
    /// The chain does not reach back to this revision, which some host may still follow.
    #[error("some hosts may still run revision {}: keep naming it with `after`", .0.0)]
    ChainTooShort(Revision),
}
