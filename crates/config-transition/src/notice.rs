//! Notices by which hosts report which revisions they and others follow. The host carries them in its own
//! messages.

use crate::revision_limits::Revision;
use gullsail_scheduler_api::HostId;

/// The most hosts that one notice can report on: one bit each, so that a notice stays within 256 bytes.
pub const MOST_HOSTS: u32 = 1900;

/// Which hosts are known to follow a revision or a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionNotice {
    /// The revision that its sender follows.
    pub held: Revision,
    /// The revision that `hosts` is about.
    pub revision: Revision,
    /// One bit for each host, by number.
    pub hosts: Vec<u8>,
}

impl RevisionNotice {
    /// Whether the host at this place is known to follow the revision or a later one.
    pub(crate) fn includes(&self, place: usize) -> bool {
        self.hosts
            .get(place / 8)
            .is_some_and(|byte| byte & (1 << (place % 8)) != 0)
    }

    /// Whether it reports on a host that the other does not.
    pub(crate) fn has_more_than(&self, other: &RevisionNotice) -> bool {
        let others = other.hosts.iter().copied().chain(std::iter::repeat(0));
        self.hosts
            .iter()
            .zip(others)
            .any(|(ours, theirs)| ours & !theirs != 0)
    }
}

/// A notice that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedNotice {
    /// The host to send it to.
    pub to: HostId,
    /// The notice.
    pub notice: RevisionNotice,
}

/// What a notice changed.
#[derive(Clone, Debug, PartialEq)]
pub enum NoticeEffect {
    /// Nothing new.
    Nothing,
    /// Some host follows a later revision than this host knew.
    News,
    /// The sender follows an older revision than it did, unless this notice is late: limits may be exceeded
    /// until it follows again.
    WentBack {
        /// The revision that it followed.
        from: Revision,
        /// The revision that it follows now.
        to: Revision,
    },
}

/// What handling a notice leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeOutcome {
    /// What it changed.
    pub effect: NoticeEffect,
    /// The notice to send back, if this host knows more than the sender.
    pub reply: Option<RevisionNotice>,
}
