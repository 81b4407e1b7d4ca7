//! The member's side of member leases: the shares that this host holds, the coordinator that granted them, and when
//! the lease expires by this host's clock. `Fleet` passes it the time and the coordinator's messages; it sends nothing
//! itself. The lease that makes a host the coordinator is in `coordinator_lease`.

use crate::allocation::Shares;
use crate::ballot::Ballot;
use crate::config::FleetConfig;
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use rand::Rng;
use std::collections::VecDeque;
use std::ops::Range;

/// The most renewals kept that may still be answered: more than are sent within a lease. A grant that answers a dropped
/// renewal is ignored.
const MAX_RENEWALS: usize = 16;
/// The interval between renewals, in member leases: about four in a lease, so that some may be lost. It is random so
/// that the hosts' renewals spread out.
const RENEWAL_INTERVAL_LEASES: Range<f64> = 0.2..0.3;
/// The time without a message of the coordinator after which renewals are also sent through relays, in member leases.
const RELAY_AFTER_LEASES: f64 = 0.5;
/// The time without a message of the coordinator after which this host no longer sends it renewals, in member leases.
/// By then the coordinator lease has expired, and the next coordinator has polled all hosts that it can reach.
const FORGET_COORDINATOR_AFTER_LEASES: f64 = 2.0;

/// A member lease: the shares that the member may use, and until when.
#[derive(Clone, Debug)]
pub struct MemberLease {
    /// The serial of the grant that created this lease.
    pub serial: u64,
    /// When the lease expires, by this host's clock.
    pub expires_at: Instant,
    /// The shares that the member may use under the lease.
    pub shares: Shares,
}

/// Identifies a grant by its coordinator's ballot and its serial. Later grants compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct GrantId {
    /// The coordinator's ballot.
    pub ballot: Ballot,
    /// The serial of the grant, which grows with each grant of the coordinator.
    pub serial: u64,
}

/// A renewal for the caller to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewalRequest {
    /// The renewal's number, which the coordinator's answer repeats.
    pub number: u64,
    /// Whether to send the renewal through relays as well, since the direct link may be broken: the coordinator sent no
    /// message for too long, or its poll came through a relay.
    pub use_relays: bool,
}

#[derive(Clone, Copy, Debug)]
struct SentRenewal {
    number: u64,
    sent_at: Instant,
}

/// The state of a member's lease, and when to renew it.
#[derive(Clone, Debug)]
pub struct MemberLeaseHolder {
    /// The newest ballot seen from a coordinator. Messages with an earlier ballot are ignored.
    ballot: Ballot,
    /// The host to send renewals to; `None`: no coordinator is known, or it has not sent a message for too long.
    coordinator: Option<HostId>,
    lease: Option<MemberLease>,
    /// The newest grant that was ever accepted.
    newest_grant: GrantId,
    /// Renewals that may still be answered, oldest first.
    sent: VecDeque<SentRenewal>,
    /// The number of the last renewal.
    last_number: u64,
    /// When the coordinator's last message came.
    last_contact: Instant,
    /// When the next renewal is due.
    next_renewal_at: Instant,
}

impl MemberLeaseHolder {
    /// Creates the state of a host that knows no coordinator and holds no lease.
    pub fn new(now: Instant) -> MemberLeaseHolder {
        MemberLeaseHolder {
            ballot: Ballot::default(),
            coordinator: None,
            lease: None,
            newest_grant: GrantId::default(),
            sent: VecDeque::new(),
            last_number: 0,
            last_contact: now,
            next_renewal_at: now,
        }
    }

    /// Returns the coordinator that this host sends renewals to; `None`: none is known.
    pub fn coordinator(&self) -> Option<HostId> {
        self.coordinator
    }

    /// Returns the newest ballot seen from a coordinator.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Drops the lease if it has expired; returns whether it did.
    pub fn drop_expired_lease(&mut self, now: Instant) -> bool {
        self.lease
            .take_if(|lease| now >= lease.expires_at)
            .is_some()
    }

    /// Returns when the lease expires; `None`: there is no lease.
    pub fn expires_at(&self) -> Option<Instant> {
        self.lease.as_ref().map(|lease| lease.expires_at)
    }

    /// Returns the share of a budget under the lease; `None`: there is no lease, so the floor applies.
    pub fn share(&self, id: VolumeId, now: Instant) -> Option<u32> {
        let lease = self.lease.as_ref().filter(|lease| now < lease.expires_at)?;
        Some(lease.shares.get(&id).copied().unwrap_or_default())
    }

    /// Returns the lease; `None`: there is none.
    pub fn lease(&self) -> Option<&MemberLease> {
        self.lease.as_ref()
    }

    /// Handles a poll of `from` as the coordinator with `ballot`. Returns whether to answer with a renewal: not if a
    /// later ballot is known.
    pub fn accept_poll(&mut self, from: HostId, ballot: Ballot, now: Instant) -> bool {
        if ballot < self.ballot {
            return false;
        }
        // From now on grants of earlier coordinators are refused, so the next renewal reports everything that this
        // host may use.
        self.ballot = ballot;
        self.coordinator = Some(from);
        self.last_contact = now;
        true
    }

    /// Returns the next renewal if it is due. Drops a coordinator that has not sent a message for too long.
    pub fn next_renewal(
        &mut self,
        config: &FleetConfig,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<RenewalRequest> {
        if now < self.next_renewal_at {
            return None;
        }
        self.next_renewal_at = now
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

    /// Records that a renewal is sent now, and returns its number.
    pub fn register_renewal(&mut self, now: Instant) -> u64 {
        self.last_number += 1;
        if self.sent.len() >= MAX_RENEWALS {
            self.sent.pop_front();
        }
        self.sent.push_back(SentRenewal {
            number: self.last_number,
            sent_at: now,
        });
        self.last_number
    }

    /// Replaces the lease by a grant if the grant is valid; returns whether it is. `renewal` is the number of the
    /// renewal that the grant answers; the lease counts from when that renewal was sent.
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
        // The granted lease would have expired already, or the grant is of an earlier coordinator. If round trips take
        // as long as a lease, no grant is ever valid.
        if now >= expires_at || grant.ballot < self.ballot {
            return false;
        }
        // Renewals can overtake each other, so an older grant may arrive after the lease of a newer one has expired.
        // The coordinator dropped the older grant when this host reported the newer one, and may have granted its
        // share to other hosts. Using it could exceed the budget.
        if self.newest_grant >= grant {
            return false;
        }
        self.ballot = grant.ballot;
        self.last_contact = now;
        self.newest_grant = grant;
        self.lease = Some(MemberLease {
            serial: grant.serial,
            expires_at,
            shares,
        });
        true
    }

    /// Drops the lease, so that the floors apply.
    pub fn drop_lease(&mut self) {
        self.lease = None;
    }

    /// Returns when the lease expires or the next renewal is due, whichever is first.
    pub fn next(&self) -> Instant {
        self.expires_at()
            .map_or(self.next_renewal_at, |expires_at| {
                expires_at.min(self.next_renewal_at)
            })
    }
}
