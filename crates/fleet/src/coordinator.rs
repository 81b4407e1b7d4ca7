//! The coordinator's side of member leases: which hosts are members, and which shares each member is granted. `Fleet`
//! passes it the members' renewals while this host holds the coordinator lease; it sends nothing itself.
//!
//! **Takeover.** The state of an earlier coordinator may be lost, since the members hold their grants. A new
//! coordinator polls all hosts for the shares that they hold. Until every host has reported shares, or one member lease
//! has passed, it grants each host at most the shares that the host reported, or its floors. After one lease every
//! grant of an earlier coordinator has expired: such a grant answered a renewal that was sent before this coordinator
//! was elected, and its lease counts from that renewal.

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

/// The interval between computations of the shares, in member leases, while membership does not change.
const DIVIDE_INTERVAL_LEASES: f64 = 0.125;
/// The number of low bits of a serial that count one coordinator's grants; the bits above are the round by which it was
/// elected. A coordinator has to issue fewer grants than two to this power, or its serials could overlap with those of
/// the next one.
const SERIAL_BITS: u32 = 20;
/// The time without a renewal after which a member is suspected, in member leases. Members renew about four times in
/// a lease, so two renewals are missing by then.
const SUSPECT_AFTER_LEASES: f64 = 0.5;
/// The targets of a budget are kept if each would change by at most this fraction: a host checks all its volumes after
/// a change of shares.
const NEGLIGIBLE_CHANGE: f64 = 0.05;
/// The length of a turn, in member leases, when a budget is too small for one request of the largest size at each
/// member with demand, so that they take turns. A share becomes available to another host only after its last holder's
/// lease was renewed without it or has expired.
const TURN_LENGTH_LEASES: f64 = 2.0;

/// Grants leases to the members of the fleet.
#[derive(Clone, Debug)]
pub struct Coordinator {
    /// The ballot by which the coordinator lease was last granted.
    pub ballot: Ballot,
    /// The epoch of the membership; it grows with every change.
    pub epoch: u64,
    /// The ballot by which this coordinator was elected. A host that has not seen it may still accept grants of an
    /// earlier coordinator.
    first_ballot: Ballot,
    elected_at: Instant,
    /// Whether every grant of an earlier coordinator is in the ledger or has expired. Until then no share grows.
    takeover_complete: bool,
    /// All hosts that have sent a renewal to this coordinator.
    pub members: BTreeMap<HostId, Member>,
    ledger: Ledger,
    /// By budget, the share that each member should have, in millionths.
    targets: BTreeMap<VolumeId, BTreeMap<HostId, u32>>,
    /// When the targets were last computed; `None`: they have to be computed at the next renewal.
    divided_at: Option<Instant>,
    /// The serial of the last grant.
    serial: u64,
}

impl Coordinator {
    /// Creates the state of a coordinator that has just been elected and has no members yet.
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
            // Higher than all serials of earlier coordinators, since rounds only grow.
            serial: ballot.round << SERIAL_BITS,
        }
    }

    /// Whether every grant of an earlier coordinator is in the ledger or has expired.
    pub fn takeover_complete(&self) -> bool {
        self.takeover_complete
    }

    /// Returns the time at which all grants of earlier coordinators have expired.
    pub fn takeover_ends(&self, config: &FleetConfig) -> Instant {
        self.elected_at + config.lease
    }

    /// Returns the largest total that all hosts together may be using of a budget, in millionths.
    pub fn committed_total(&self, id: VolumeId) -> u64 {
        self.ledger.committed_total(id)
    }

    /// Returns the largest share of a budget that each host with access to it may be using, sorted by host.
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

    /// Updates the members' states: a member without renewals becomes suspected, then its lease expires. Completes the
    /// takeover once every grant of an earlier coordinator has been reported or has expired.
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
        if !self.takeover_complete && self.earlier_grants_accounted(config, now) {
            self.takeover_complete = true;
            self.divided_at = None;
            transitions.takeover_completed = true;
        }
        transitions
    }

    /// Whether every grant of an earlier coordinator has been reported or has expired.
    fn earlier_grants_accounted(&self, config: &FleetConfig, now: Instant) -> bool {
        now >= self.takeover_ends(config) || self.all_reported(config)
    }

    /// Whether every host has reported the shares that it holds. A host that reported none does not count, since an
    /// earlier process of it may still hold shares.
    fn all_reported(&self, config: &FleetConfig) -> bool {
        let complete = self.members.len() as u32 == config.hosts;
        complete
            && self
                .members
                .values()
                .all(|member| !member.shares_at_first_renewal.is_empty())
    }

    /// Whether the sender of a message with this ballot had seen this coordinator's election.
    pub fn is_current(&self, ballot: Ballot) -> bool {
        ballot >= self.first_ballot
    }

    /// Decides on a host's request to obtain or renew a member lease.
    pub fn renew(
        &mut self,
        config: &FleetConfig,
        renewal: Renewal,
        now: Instant,
    ) -> RenewalOutcome {
        let ProcessId { host, incarnation } = renewal.process;
        // A renewal that was sent before the member learned of this coordinator may arrive late. The member may have
        // accepted a larger grant of an earlier coordinator since. The cost: it has to send another renewal.
        if !self.is_current(renewal.ballot) {
            return RenewalOutcome::StaleBallot;
        }
        let expires_at = now + config.lease;
        let active = self.members.get(&host).filter(|member| member.is_active());
        // Two processes of one host must not both hold a lease. The cost: a host that is killed and restarts within
        // its lease has to wait until that lease expires.
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

    /// Admits a host that sends its first renewal, or the first one since its lease expired or it left. The shares that
    /// it reports were granted by an earlier coordinator.
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

    /// Returns the shares to grant to a host now.
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
        // At most what other hosts leave available, but never below the floor, which the host may use without a lease.
        target
            .min(self.ledger.available(id, budget, host))
            .max(floor)
    }

    /// Computes the members' targets if that is due and the takeover is complete.
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
        let committed_here: u64 = demands
            .iter()
            .map(|member| u64::from(self.ledger.committed_share(id, budget, member.host)))
            .sum();
        let committed_elsewhere = self
            .ledger
            .committed_total(id)
            .saturating_sub(committed_here);
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

    /// Handles the departure of a process that has released all its shares. It is ignored if another process of the
    /// host is the member.
    pub fn leave(&mut self, config: &FleetConfig, process: ProcessId) {
        let member = self.members.get_mut(&process.host);
        if let Some(member) = member.filter(|member| member.incarnation == process.incarnation) {
            member.state = MemberState::Left;
            self.ledger.drop_all_grants(config, process.host);
            self.start_epoch();
        }
    }

    /// Returns the hosts that are not active members, which are to be polled.
    pub fn missing_hosts(&self, config: &FleetConfig) -> Vec<HostId> {
        let is_active = |host: &HostId| self.members.get(host).is_some_and(Member::is_active);
        config.all_hosts().filter(|host| !is_active(host)).collect()
    }
}
