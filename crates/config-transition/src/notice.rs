//! What hosts report to each other of the revisions that they follow. The host carries it in its own
//! messages.

use crate::revision_limits::Revision;
use gullsail_scheduler_api::HostId;

/// Hosts that one notice can report on, within 256 bytes.
pub const MOST_HOSTS: u32 = 1900;

/// Which hosts are known to follow a revision or a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionNotice {
    /// What its sender follows.
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
    /// Nothing that was not known.
    Nothing,
    /// Some host follows a later revision than was known.
    News,
    /// The sender follows an older revision than it did, unless this notice is late: limits may be exceeded
    /// until it follows again.
    WentBack {
        /// What it followed.
        from: Revision,
        /// What it follows now.
        to: Revision,
    },
}

/// What handling a notice leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeOutcome {
    /// What it changed.
    pub effect: NoticeEffect,
    /// To be sent back, where this host knows more than the sender.
    pub reply: Option<RevisionNotice>,
}
