//! Gossip about the revisions that hosts follow: each round sends notices to a few hosts drawn at random.

use super::ConfigTransition;
use crate::notice::{AddressedNotice, NoticeEffect, NoticeOutcome, RevisionNotice};
use crate::revision_limits::Revision;
use gullsail_scheduler_api::{HostId, Instant, Span};
use rand::Rng;

/// The number of hosts that a round sends notices to. With three, the news reaches all of 200 hosts in five or six
/// rounds. Fewer need more rounds; more cost more messages.
const FANOUT: usize = 3;
/// The first backoff between rounds after news: some round trips. It doubles up to [`MAX_BACKOFF`] while there is no
/// news. With a larger value news spreads more slowly; with a smaller one more notices repeat known facts.
pub(super) const FIRST_BACKOFF: Span = Span::from_micros(100_000);
/// The longest backoff between rounds. It bounds the wait for notices of a host that was down. With a smaller value,
/// hosts send more notices while one of them is down.
const MAX_BACKOFF: Span = Span::from_micros(6_400_000);
/// The number of rounds that a host still sends once it knows that all hosts follow its revision, so that this reaches
/// the last hosts too. With fewer rounds the last hosts may wait for the longest backoff.
pub(super) const FINAL_ROUNDS: u32 = 3;

impl ConfigTransition {
    /// Records that a host follows this revision or a later one; returns whether that is new.
    pub(super) fn reach(&mut self, host: HostId, revision: Revision) -> bool {
        match self.reached.get_mut(host.0 as usize) {
            Some(known) if *known < revision => {
                *known = revision;
                true
            }
            _ => false,
        }
    }

    /// Builds a notice of the hosts that are known to follow `revision` or a later one.
    fn notice(&self, revision: Revision) -> RevisionNotice {
        let mut hosts = vec![0u8; self.reached.len().div_ceil(8)];
        for (number, reached) in self.reached.iter().enumerate() {
            if *reached >= revision {
                hosts[number / 8] |= 1 << (number % 8);
            }
        }
        RevisionNotice {
            held: self.revision(),
            revision,
            hosts,
        }
    }

    /// Handles a notice of host `from`. A notice of this host itself or of an unknown host is ignored.
    pub fn handle_notice(
        &mut self,
        from: HostId,
        notice: &RevisionNotice,
        now: Instant,
    ) -> NoticeOutcome {
        let known = self.reached.get(from.0 as usize).copied();
        let Some(known) = known.filter(|_| from != self.me) else {
            return NoticeOutcome {
                effect: NoticeEffect::Nothing,
                reply: None,
            };
        };
        let went_back = notice.held < known;
        let news = self.record_notice(from, notice);
        if news {
            self.drop_outdated();
            self.next_round = self.next_round.min(now + FIRST_BACKOFF);
            self.backoff = FIRST_BACKOFF;
        }
        let ours = self.notice(notice.revision);
        let effect = if went_back {
            NoticeEffect::WentBack {
                from: known,
                to: notice.held,
            }
        } else if news {
            NoticeEffect::News
        } else {
            NoticeEffect::Nothing
        };
        let reply = if ours.has_more_than(notice) {
            Some(ours)
        } else {
            None
        };
        NoticeOutcome { effect, reply }
    }

    /// Records the revisions that hosts follow by a notice; returns whether any of them is new.
    fn record_notice(&mut self, from: HostId, notice: &RevisionNotice) -> bool {
        let mut news = self.reach(from, notice.held);
        for number in 0..self.reached.len() {
            if notice.includes(number) {
                news |= self.reach(HostId(number as u32), notice.revision);
            }
        }
        news
    }

    /// Returns when to call [`ConfigTransition::due_notices`] at the latest. `None`: no notices are to be sent, since
    /// the final rounds are sent, the revision has no number, or there are no other hosts.
    pub fn next(&self) -> Option<Instant> {
        let finished = self.all_hosts_follow() && self.final_rounds == 0;
        let has_others = self.reached.len() > 1;
        if finished || self.revision() == Revision(0) || !has_others {
            None
        } else {
            Some(self.next_round)
        }
    }

    /// Returns the notices of the round that is due at `now`, if one is.
    pub fn due_notices(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<AddressedNotice> {
        if self.next().is_none_or(|at| now < at) {
            return Vec::new();
        }
        if self.all_hosts_follow() {
            self.final_rounds -= 1;
        }
        self.next_round = now + self.backoff;
        self.backoff = self.backoff.times(2.0).min(MAX_BACKOFF);
        let notice = self.notice(self.revision());
        let others = self.reached.len() - 1;
        let me = self.me.0 as usize;
        let positions = rand::seq::index::sample(rng, others, FANOUT.min(others)).into_iter();
        // The samples are positions among the other hosts. Host numbers from this host's on are one higher.
        let hosts =
            positions.map(|position| HostId((position + usize::from(position >= me)) as u32));
        hosts
            .map(|to| AddressedNotice {
                to,
                notice: notice.clone(),
            })
            .collect()
    }
}
