//! Notices by which hosts report the revisions that they and other hosts follow. The host sends them as part of its
//! messages to other hosts.

use crate::revision_limits::Revision;
use gullsail_scheduler_api::HostId;

/// The most hosts that one notice can report on: one bit each, so that a notice stays within 256 bytes.
pub const MAX_HOSTS: u32 = 1900;

/// A report of the hosts that are known to follow a revision or a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionNotice {
    /// The revision that the sender follows.
    pub held: Revision,
    /// The revision that `hosts` is about.
    pub revision: Revision,
    /// One bit for each host, by its number, lowest bit first: whether it is known to follow `revision` or a later one.
    pub hosts: Vec<u8>,
}

impl RevisionNotice {
    /// Whether the bit of the host with this number is set.
    pub(crate) fn includes(&self, number: usize) -> bool {
        self.hosts
            .get(number / 8)
            .is_some_and(|byte| byte & (1 << (number % 8)) != 0)
    }

    /// Whether a bit is set here that is not set in `other`.
    pub(crate) fn has_more_than(&self, other: &RevisionNotice) -> bool {
        let others = other.hosts.iter().copied().chain(std::iter::repeat(0));
        self.hosts
            .iter()
            .zip(others)
            .any(|(ours, theirs)| ours & !theirs != 0)
    }
}

/// A notice with its addressee, for the caller to send.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedNotice {
    /// The host to send the notice to.
    pub to: HostId,
    /// The notice to send.
    pub notice: RevisionNotice,
}

/// The effect of a notice on what this host knows.
#[derive(Clone, Debug, PartialEq)]
pub enum NoticeEffect {
    /// The notice reports nothing new.
    Nothing,
    /// The notice shows that some host follows a later revision than was known here.
    News,
    /// The sender follows an older revision than it reported before, unless this notice is late. Limits may be exceeded
    /// until the sender follows the later revision again.
    WentBack {
        /// The latest revision that the sender is known to have followed.
        from: Revision,
        /// The revision that the sender follows by this notice.
        to: Revision,
    },
}

/// The result of handling a notice.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeOutcome {
    /// The effect of the notice.
    pub effect: NoticeEffect,
    /// A notice to send back; `None`: this host knows no more than the sender.
    pub reply: Option<RevisionNotice>,
}
