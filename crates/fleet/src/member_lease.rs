//! The member's side of member leases: which shares this host holds, from which coordinator, and until when by
//! its own clock. Called by `Fleet` with the time and with the coordinator's messages; it sends nothing
//! itself. The lease that makes a host the coordinator is in `coordinator_lease`.

use crate::allocation::Shares;
use crate::ballot::Ballot;
use crate::config::FleetConfig;
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use rand::Rng;
use std::collections::VecDeque;
use std::ops::Range;

/// Renewals remembered: more than are sent within a lease. An answer to a forgotten one is dropped.
const MAX_RENEWALS: usize = 16;
/// The interval between renewals, in member leases: four in a lease, so that some may be lost. It is random so that
/// the hosts' renewals spread out.
const RENEWAL_INTERVAL_LEASES: Range<f64> = 0.2..0.3;
/// After how many member leases without an answer the renewal is also sent through relays.
const RELAY_AFTER_LEASES: f64 = 0.5;
/// After how many member leases without a message the coordinator counts as unknown. By then its own lease has
/// expired and its successor has polled all hosts that it reaches.
const FORGET_COORDINATOR_AFTER_LEASES: f64 = 2.0;

/// A member lease: what the member may use, and until when.
#[derive(Clone, Debug)]
pub struct MemberLease {
    /// The serial of the grant.
    pub serial: u64,
    /// When it expires, by this host's clock.
    pub expires_at: Instant,
    /// What may be used under it.
    pub shares: Shares,
}

/// Identifies a grant: by a coordinator, the serial it gave. Ordered by time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantId {
    /// The coordinator's ballot.
    pub ballot: Ballot,
    /// Counts the coordinator's grants.
    pub serial: u64,
}

/// A renewal that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewalRequest {
    /// Its number, by which it is answered.
    pub number: u64,
    /// Whether to send it through relays too, since the coordinator does not answer.
    pub use_relays: bool,
}

#[derive(Clone, Copy, Debug)]
struct SentRenewal {
    number: u64,
    sent_at: Instant,
}

/// Holds a member's lease and says when to renew it.
#[derive(Clone, Debug)]
pub struct MemberLeaseHolder {
    /// Of the newest coordinator known: messages of earlier ones are ignored.
    ballot: Ballot,
    coordinator: Option<HostId>,
    lease: Option<MemberLease>,
    /// The newest grant ever accepted.
    newest: GrantId,
    /// Renewals that may still be answered, oldest first.
    sent: VecDeque<SentRenewal>,
    number: u64,
    /// When the coordinator's last message came.
    last_contact: Instant,
    next: Instant,
}

impl MemberLeaseHolder {
    /// A member that knows no coordinator and holds nothing.
    pub fn new(now: Instant) -> MemberLeaseHolder {
        MemberLeaseHolder {
            ballot: Ballot::default(),
            coordinator: None,
            lease: None,
            newest: GrantId::default(),
            sent: VecDeque::new(),
            number: 0,
            last_contact: now,
            next: now,
        }
    }

    /// The newest coordinator known.
    pub fn coordinator(&self) -> Option<HostId> {
        self.coordinator
    }

    /// The ballot of the newest coordinator known.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Drops the lease if it has expired; returns whether it did.
    pub fn drop_expired_lease(&mut self, now: Instant) -> bool {
        self.lease
            .take_if(|lease| now >= lease.expires_at)
            .is_some()
    }

    /// When the lease expires, if there is one.
    pub fn expires_at(&self) -> Option<Instant> {
        self.lease.as_ref().map(|lease| lease.expires_at)
    }

    /// The share of a budget under the lease; `None`: there is no lease, so the floor share applies.
    pub fn share(&self, id: VolumeId, now: Instant) -> Option<u32> {
        let lease = self.lease.as_ref().filter(|lease| now < lease.expires_at)?;
        Some(lease.shares.get(&id).copied().unwrap_or_default())
    }

    /// The lease, if there is one.
    pub fn lease(&self) -> Option<&MemberLease> {
        self.lease.as_ref()
    }

    /// A host polls as the coordinator. Returns whether to answer it.
    pub fn accept_poll(&mut self, from: HostId, ballot: Ballot, now: Instant) -> bool {
        if ballot < self.ballot {
            return false;
        }
        // From now on no grant of an earlier coordinator is accepted, so the next renewal reports everything that
        // this host holds.
        self.ballot = ballot;
        self.coordinator = Some(from);
        self.last_contact = now;
        true
    }

    /// The next renewal, if it is time for one.
    pub fn next_renewal(
        &mut self,
        config: &FleetConfig,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<RenewalRequest> {
        if now < self.next {
            return None;
        }
        self.next = now
            + config
                .lease
                .times(rng.random_range(RENEWAL_INTERVAL_LEASES));
        self.coordinator?;
        let silent = now - self.last_contact;
        if silent >= config.lease.times(FORGET_COORDINATOR_AFTER_LEASES) {
            self.coordinator = None;
            return None;
        }
        let number = self.register_renewal(now);
        Some(RenewalRequest {
            number,
            use_relays: silent >= config.lease.times(RELAY_AFTER_LEASES),
        })
    }

    /// A renewal is sent now. Returns its number.
    pub fn register_renewal(&mut self, now: Instant) -> u64 {
        self.number += 1;
        if self.sent.len() >= MAX_RENEWALS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentRenewal {
            number: self.number,
            sent_at: now,
        });
        self.number
    }

    /// Accepts a grant in place of the current one, if it is valid; returns whether it is. The lease counts
    /// from when the renewal was sent.
    pub fn accept_grant(
        &mut self,
        config: &FleetConfig,
        grant: GrantId,
        renewal: u64,
        shares: Shares,
        now: Instant,
    ) -> bool {
        let Some(sent) = self.sent.iter().find(|sent| sent.number == renewal) else {
            return false;
        };
        let expires_at = sent.sent_at + config.held_lease();
        // The grant was delayed, or comes from an earlier coordinator. It may harm when a round trip takes a
        // lease: then no grant is ever valid.
        if now >= expires_at || grant.ballot < self.ballot {
            return false;
        }
        // An older grant may arrive after the lease of a newer one has expired, where renewals overtook each
        // other. The coordinator dropped the older one when it learned of the newer, so both together could
        // exceed the budget.
        if self.newest >= grant {
            return false;
        }
        self.ballot = grant.ballot;
        self.last_contact = now;
        self.newest = grant;
        self.lease = Some(MemberLease {
            serial: grant.serial,
            expires_at,
            shares,
        });
        true
    }

    /// Drops the lease.
    pub fn drop_lease(&mut self) {
        self.lease = None;
    }

    /// When to look at the lease again at the latest.
    pub fn next(&self) -> Instant {
        self.expires_at()
            .map_or(self.next, |expires_at| expires_at.min(self.next))
    }
}
