//! Computes the share of one budget that each member should have. It is a pure function; its only input from
//! earlier grants is the sum of shares that other hosts may still be using.

use super::share::HostShare;
use crate::config::{Budget, WHOLE};
use gullsail_scheduler_api::HostId;

/// The fraction of what remains of a budget after floors and minimum shares that is divided evenly. The rest is divided
/// by demand. So a host without demand has a share when its first requests arrive.
const EVEN_FRACTION: f64 = 0.1;

/// The demand of one member's clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostDemand {
    /// The member that the demand is for.
    pub host: HostId,
    /// The demand, in any unit that is the same for all members; 0: none.
    pub demand: f64,
}

/// Returns the share of a budget that each member should have: its floor, plus a part by demand. If the budget
/// cannot give each member with demand enough for one request of the largest size, members get that much in turns.
///
/// `committed_elsewhere` is the sum of shares that hosts not in `demands` may be using. The returned shares sum to
/// at most the whole less `committed_elsewhere`, if the floors of these members do. `turn` selects which member
/// comes first when members take turns.
pub fn divide(
    budget: &Budget,
    demands: &[HostDemand],
    committed_elsewhere: u64,
    turn: u64,
) -> Vec<HostShare> {
    let floor = |host: HostId| u64::from(budget.floor(host));
    let mut shares: Vec<u64> = demands.iter().map(|member| floor(member.host)).collect();
    let floors: u64 = shares.iter().sum();
    let mut remaining = u64::from(WHOLE).saturating_sub(committed_elsewhere + floors);
    let shortfall =
        |index: usize| u64::from(budget.min_share).saturating_sub(floor(demands[index].host));
    let with_demand: Vec<usize> = (0..demands.len())
        .filter(|index| demands[*index].demand > 0.0)
        .collect();
    let total_shortfall: u64 = with_demand.iter().map(|index| shortfall(*index)).sum();
    if total_shortfall > remaining {
        take_turns(&mut shares, &with_demand, shortfall, remaining, turn);
    } else {
        for index in &with_demand {
            remaining -= shortfall(*index);
            shares[*index] += shortfall(*index);
        }
        divide_by_demand(&mut shares, demands, remaining);
    }
    let capped = shares
        .into_iter()
        .map(|share| share.min(u64::from(WHOLE)) as u32);
    demands
        .iter()
        .zip(capped)
        .map(|(member, share)| HostShare {
            host: member.host,
            share,
        })
        .collect()
}

/// Gives as many members as possible the share that one request of the largest size needs. The others get it in
/// later turns.
fn take_turns(
    shares: &mut [u64],
    with_demand: &[usize],
    shortfall: impl Fn(usize) -> u64,
    mut remaining: u64,
    turn: u64,
) {
    let first = (turn % with_demand.len() as u64) as usize;
    for index in with_demand
        .iter()
        .cycle()
        .skip(first)
        .take(with_demand.len())
    {
        let needed = shortfall(*index);
        if needed <= remaining {
            remaining -= needed;
            shares[*index] += needed;
        }
    }
    // The remainder is too small for a request of the largest size at another member, so the first one gets it.
    shares[with_demand[first]] += remaining;
}

/// Divides the remainder after floors and minimum shares: [`EVEN_FRACTION`] of it evenly and the rest by demand.
/// Without any demand all of it is divided evenly.
fn divide_by_demand(shares: &mut [u64], demands: &[HostDemand], remaining: u64) {
    let total: f64 = demands.iter().map(|member| member.demand).sum();
    let even_fraction = if total > 0.0 { EVEN_FRACTION } else { 1.0 };
    for (share, member) in shares.iter_mut().zip(demands) {
        let by_demand = if total > 0.0 {
            (1.0 - even_fraction) * member.demand / total
        } else {
            0.0
        };
        *share += (remaining as f64 * (even_fraction / demands.len() as f64 + by_demand)) as u64;
    }
}
