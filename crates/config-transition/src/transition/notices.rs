//! Gossip about which host follows which revision: each round of notices goes to a few random hosts.

use super::ConfigTransition;
use crate::notice::{AddressedNotice, NoticeEffect, NoticeOutcome, RevisionNotice};
use crate::revision_limits::Revision;
use gullsail_scheduler_api::{HostId, Instant, Span};
use rand::Rng;

/// How many hosts a round goes to. With three, all of two hundred hosts know after five or six rounds. Fewer
/// need more rounds; more cost messages.
const FANOUT: usize = 3;
/// The first backoff between rounds after something new: some round trips. It doubles up to [`LONGEST_WAIT`]
/// while nothing new comes. When it is larger, hosts learn later; when it is smaller, more notices repeat what
/// is known.
pub(super) const FIRST_WAIT: Span = Span::from_micros(100_000);
/// The longest backoff between rounds: a host that was down waits for notices at most this long. When it is
/// smaller, hosts that wait for one that is down send more.
const LONGEST_WAIT: Span = Span::from_micros(6_400_000);
/// How many rounds a host still sends once it knows that all hosts follow its revision, so that the last hosts
/// learn it too. With fewer, the last ones wait for the longest backoff.
pub(super) const FINAL_ROUNDS: u32 = 3;

impl ConfigTransition {
    /// Notes that a host follows this revision or a later one; returns whether that is new.
    pub(super) fn reach(&mut self, host: HostId, revision: Revision) -> bool {
        match self.reached.get_mut(host.0 as usize) {
            Some(known) if *known < revision => {
                *known = revision;
                true
            }
            _ => false,
        }
    }

    fn notice(&self, revision: Revision) -> RevisionNotice {
        let mut hosts = vec![0u8; self.reached.len().div_ceil(8)];
        for (place, reached) in self.reached.iter().enumerate() {
            if *reached >= revision {
                hosts[place / 8] |= 1 << (place % 8);
            }
        }
        RevisionNotice {
            held: self.revision(),
            revision,
            hosts,
        }
    }

    /// Handles a notice of another host.
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
        let news = self.learn(from, notice);
        if news {
            self.drop_outdated();
            self.next_round = self.next_round.min(now + FIRST_WAIT);
            self.wait = FIRST_WAIT;
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

    /// Notes which hosts follow which revision; returns whether any of it is new.
    fn learn(&mut self, from: HostId, notice: &RevisionNotice) -> bool {
        let mut news = self.reach(from, notice.held);
        for place in 0..self.reached.len() {
            if notice.includes(place) {
                news |= self.reach(HostId(place as u32), notice.revision);
            }
        }
        news
    }

    /// When to call [`ConfigTransition::due_notices`] at the latest; `None`: there is nothing to report.
    pub fn next(&self) -> Option<Instant> {
        let done = self.settled() && self.final_rounds == 0;
        let has_others = self.reached.len() > 1;
        if done || self.revision() == Revision(0) || !has_others {
            None
        } else {
            Some(self.next_round)
        }
    }

    /// The notices to send now.
    pub fn due_notices(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<AddressedNotice> {
        if self.next().is_none_or(|at| now < at) {
            return Vec::new();
        }
        if self.settled() {
            self.final_rounds -= 1;
        }
        self.next_round = now + self.wait;
        self.wait = self.wait.times(2.0).min(LONGEST_WAIT);
        let notice = self.notice(self.revision());
        let others = self.reached.len() - 1;
        let me = self.me.0 as usize;
        let places = rand::seq::index::sample(rng, others, FANOUT.min(others)).into_iter();
        // The samples are places among the other hosts: from this host's own place on, each is one higher.
        let hosts = places.map(|place| HostId((place + usize::from(place >= me)) as u32));
        hosts
            .map(|to| AddressedNotice {
                to,
                notice: notice.clone(),
            })
            .collect()
    }
}
