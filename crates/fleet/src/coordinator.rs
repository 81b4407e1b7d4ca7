//! The coordinator's side of member leases: who is a member, and what each member is granted. Called by `Fleet`
//! with the renewals of members while this host holds the coordinator lease; it sends nothing itself.
//!
//! The coordinator owns no state that has to survive it: the holders know what they were granted. A new
//! coordinator takes over by polling all hosts for what they hold. Until all have answered, or one member
//! lease has passed, it grants each host only what that host reports. After one lease every grant of an
//! earlier coordinator has expired, since it answered a renewal sent before this one was elected.

mod member;
mod renewal;

pub use member::{Member, MemberState, MembershipTransitions};
pub use renewal::{Renewal, RenewalOutcome};

use crate::allocation::{HostDemand, HostShare, Ledger, Shares, divide};
use crate::ballot::Ballot;
use crate::config::{Budget, FleetConfig};
use crate::process_id::ProcessId;
use gullsail_scheduler_api::{HostId, Instant, VolumeId};
use std::collections::BTreeMap;

/// How often shares are recomputed, in member leases, while the members stay the same.
const DIVIDE_INTERVAL_LEASES: f64 = 0.125;
/// The low bits of a grant's serial count one coordinator's grants; the bits above are its round. A
/// coordinator issues fewer grants than two to this power.
const SERIAL_BITS: u32 = 20;
/// After how many member leases without a renewal a member is suspected. Renewals come four times in a lease, so two
/// are missing.
const SUSPECT_AFTER_LEASES: f64 = 0.5;
/// A share that would change by less than this fraction is left as it is: a change makes its host check all
/// its volumes.
const NEGLIGIBLE_CHANGE: f64 = 0.05;
/// How long a turn lasts, in member leases, where a budget is too small for all hosts. A share that moves to
/// another host is free only when its old lease is renewed or has expired.
const TURN_LENGTH_LEASES: f64 = 2.0;

/// Grants leases to the members of the fleet.
#[derive(Clone, Debug)]
pub struct Coordinator {
    /// The ballot by which the coordinator lease was last granted.
    pub ballot: Ballot,
    /// Counts the changes of membership.
    pub epoch: u64,
    /// The first ballot of this term: a host that does not know it yet may still accept an earlier
    /// coordinator's grants.
    first_ballot: Ballot,
    elected_at: Instant,
    takeover_complete: bool,
    /// All hosts that have renewed here.
    pub members: BTreeMap<HostId, Member>,
    ledger: Ledger,
    targets: BTreeMap<VolumeId, BTreeMap<HostId, u32>>,
    divided_at: Option<Instant>,
    serial: u64,
}

impl Coordinator {
    /// A coordinator that has just been elected and knows no member yet.
    pub fn new(config: &FleetConfig, ballot: Ballot, epoch: u64, now: Instant) -> Coordinator {
        Coordinator {
            ballot,
            epoch,
            first_ballot: ballot,
            elected_at: now,
            takeover_complete: false,
            members: BTreeMap::new(),
            ledger: Ledger::new(config),
            targets: BTreeMap::new(),
            divided_at: None,
            // Above all serials of earlier coordinators: rounds only grow.
            serial: ballot.round << SERIAL_BITS,
        }
    }

    /// Whether every grant of an earlier coordinator is known here or has expired.
    pub fn takeover_complete(&self) -> bool {
        self.takeover_complete
    }

    /// When every grant of an earlier coordinator has expired.
    pub fn takeover_ends(&self, config: &FleetConfig) -> Instant {
        self.elected_at + config.lease
    }

    /// The largest total that all hosts together may be using of a budget.
    pub fn committed_total(&self, id: VolumeId) -> u64 {
        self.ledger.committed_total(id)
    }

    /// What each host may be using of a budget, of the hosts that may use it.
    pub fn shares_in_use(&self, id: VolumeId, budget: &Budget) -> Vec<HostShare> {
        let hosts = budget.hosts.iter().chain(budget.lagging_hosts.keys());
        let share = |host: &HostId| HostShare {
            host: *host,
            share: self.ledger.committed_share(id, budget, *host),
        };
        let mut shares: Vec<HostShare> = hosts.map(share).collect();
        shares.sort_unstable();
        shares.dedup();
        shares
    }

    /// Applies a new configuration.
    pub fn config_changed(&mut self, config: &FleetConfig) {
        self.ledger.config_changed(config);
        self.divided_at = None;
    }

    fn start_epoch(&mut self) {
        self.epoch += 1;
        self.divided_at = None;
    }

    /// Updates the members' states: without renewals a member becomes suspected, then its lease expires.
    /// Completes the takeover once every earlier grant is known or has expired.
    pub fn advance(&mut self, config: &FleetConfig, now: Instant) -> MembershipTransitions {
        self.ledger.drop_expired_grants(config, now);
        let mut transitions = MembershipTransitions::default();
        for (host, member) in &mut self.members {
            let silent = now - member.last_renewal;
            match member.state {
                MemberState::Member if silent >= config.lease.times(SUSPECT_AFTER_LEASES) => {
                    member.state = MemberState::Suspected;
                    transitions.suspected.push(*host);
                }
                MemberState::Suspected if now >= member.expires_at => {
                    member.state = MemberState::Out;
                    transitions.expired.push(*host);
                }
                _ => {}
            }
        }
        if !transitions.expired.is_empty() {
            self.start_epoch();
        }
        if !self.takeover_complete && self.earlier_grants_settled(config, now) {
            self.takeover_complete = true;
            self.divided_at = None;
            transitions.takeover_completed = true;
        }
        transitions
    }

    /// Whether every grant of an earlier coordinator is known here or has expired.
    fn earlier_grants_settled(&self, config: &FleetConfig, now: Instant) -> bool {
        now >= self.takeover_ends(config) || self.all_reported(config)
    }

    /// Whether every host has reported what it holds. A host that reports nothing does not count: another
    /// process of it may still hold a share.
    fn all_reported(&self, config: &FleetConfig) -> bool {
        let complete = self.members.len() as u32 == config.hosts;
        complete
            && self
                .members
                .values()
                .all(|member| !member.shares_at_first_renewal.is_empty())
    }

    /// Whether a message with this ballot was sent in this coordinator's term.
    pub fn is_current(&self, ballot: Ballot) -> bool {
        ballot >= self.first_ballot
    }

    /// Answers a host that asks for a lease, or to renew it.
    pub fn renew(
        &mut self,
        config: &FleetConfig,
        renewal: Renewal,
        now: Instant,
    ) -> RenewalOutcome {
        let ProcessId { host, incarnation } = renewal.process;
        // A renewal that was sent before the member knew of this term may arrive late, and the member may have
        // accepted more from an earlier coordinator since. It costs the member one more message.
        if !self.is_current(renewal.ballot) {
            return RenewalOutcome::StaleBallot;
        }
        let expires_at = now + config.lease;
        let active = self.members.get(&host).filter(|member| member.is_active());
        // Two processes of one host must not both hold a lease. It may harm a host that is killed and restarts
        // within its lease: it waits until the lease expires.
        if active.is_some_and(|member| member.incarnation != incarnation && now < member.expires_at)
        {
            return RenewalOutcome::Fenced;
        }
        if active.is_some_and(|member| member.incarnation == incarnation) {
            self.renew_member(config, renewal, now);
        } else {
            self.admit(config, renewal, expires_at, now);
        }
        self.ledger.drop_expired_grants(config, now);
        self.divide(config, now);
        self.serial += 1;
        let shares = self.shares(config, host);
        self.ledger
            .grant(config, host, self.serial, expires_at, shares.clone());
        if let Some(member) = self.members.get_mut(&host) {
            member.expires_at = expires_at;
        }
        RenewalOutcome::Granted {
            serial: self.serial,
            shares,
        }
    }

    fn renew_member(&mut self, config: &FleetConfig, renewal: Renewal, now: Instant) {
        let host = renewal.process.host;
        if let Some(member) = self.members.get_mut(&host) {
            member.state = MemberState::Member;
            member.last_renewal = now;
            member.via = renewal.via;
            member.demand = renewal.demand;
        }
        if renewal.serial > 0 {
            self.ledger.drop_grants_before(config, host, renewal.serial);
        }
    }

    /// A host renews here for the first time, or after it was out: what it reports was granted by an earlier
    /// coordinator, or it holds nothing.
    fn admit(&mut self, config: &FleetConfig, renewal: Renewal, expires_at: Instant, now: Instant) {
        let host = renewal.process.host;
        let member = Member {
            incarnation: renewal.process.incarnation,
            state: MemberState::Member,
            last_renewal: now,
            via: renewal.via,
            expires_at,
            demand: renewal.demand,
            shares_at_first_renewal: renewal.held.clone(),
        };
        self.members.insert(host, member);
        if !renewal.held.is_empty() && !self.takeover_complete {
            self.ledger
                .grant(config, host, renewal.serial, expires_at, renewal.held);
        }
        self.start_epoch();
    }

    /// What is granted to a host now.
    fn shares(&self, config: &FleetConfig, host: HostId) -> Shares {
        let budgets = config
            .budgets
            .iter()
            .filter(|(_, budget)| budget.hosts.binary_search(&host).is_ok());
        budgets
            .map(|(id, budget)| (*id, self.share(*id, budget, host)))
            .collect()
    }

    fn share(&self, id: VolumeId, budget: &Budget, host: HostId) -> u32 {
        let floor = budget.floor(host);
        let target = if self.takeover_complete {
            self.targets
                .get(&id)
                .and_then(|targets| targets.get(&host))
                .copied()
                .unwrap_or(floor)
        } else {
            let shares_at_first_renewal = self
                .members
                .get(&host)
                .map(|member| &member.shares_at_first_renewal);
            shares_at_first_renewal
                .and_then(|held| held.get(&id))
                .copied()
                .unwrap_or_default()
        };
        // Never below the floor, which the host uses again without a lease, and never more than the others
        // leave.
        target
            .min(self.ledger.available(id, budget, host))
            .max(floor)
    }

    /// Computes the shares that members should have, if it is time to.
    fn divide(&mut self, config: &FleetConfig, now: Instant) {
        let recent = self
            .divided_at
            .is_some_and(|at| now - at < config.lease.times(DIVIDE_INTERVAL_LEASES));
        if recent || !self.takeover_complete {
            return;
        }
        self.divided_at = Some(now);
        let turn_length = config.lease.times(TURN_LENGTH_LEASES).micros().max(1);
        let turn = now.micros().div_euclid(turn_length) as u64;
        for (id, budget) in &config.budgets {
            self.divide_budget(*id, budget, turn);
        }
        self.targets.retain(|id, _| config.budgets.contains_key(id));
    }

    fn divide_budget(&mut self, id: VolumeId, budget: &Budget, turn: u64) {
        let demand_of = |host: &HostId| {
            let member = self.members.get(host).filter(|member| member.is_active())?;
            Some(HostDemand {
                host: *host,
                demand: member.demand.get(&id).copied().unwrap_or_default(),
            })
        };
        let demands: Vec<HostDemand> = budget.hosts.iter().filter_map(demand_of).collect();
        let own: u64 = demands
            .iter()
            .map(|member| u64::from(self.ledger.committed_share(id, budget, member.host)))
            .sum();
        let committed_elsewhere = self.ledger.committed_total(id).saturating_sub(own);
        let new = divide(budget, &demands, committed_elsewhere, turn);
        let old = self.targets.entry(id).or_default();
        let negligible = |new: &HostShare| {
            let before = f64::from(old.get(&new.host).copied().unwrap_or_default());
            (before - f64::from(new.share)).abs() <= NEGLIGIBLE_CHANGE * before
        };
        if old.len() != new.len() || !new.iter().all(negligible) {
            *old = new.into_iter().map(|new| (new.host, new.share)).collect();
        }
    }

    /// A host has released everything and leaves.
    pub fn leave(&mut self, config: &FleetConfig, process: ProcessId) {
        let member = self.members.get_mut(&process.host);
        if let Some(member) = member.filter(|member| member.incarnation == process.incarnation) {
            member.state = MemberState::Left;
            self.ledger.drop_all_grants(config, process.host);
            self.start_epoch();
        }
    }

    /// Hosts that are not active members: they are polled.
    pub fn missing_hosts(&self, config: &FleetConfig) -> Vec<HostId> {
        let is_active = |host: &HostId| self.members.get(host).is_some_and(Member::is_active);
        config.all_hosts().filter(|host| !is_active(host)).collect()
    }
}
