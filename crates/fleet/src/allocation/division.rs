//! Computes the shares that the members should have of one budget. A pure function: of earlier grants it knows
//! only what other hosts may still be using.

use super::share::HostShare;
use crate::config::{Budget, WHOLE};
use gullsail_scheduler_api::HostId;

/// The fraction of what is divided by demand that is divided evenly, so that a host without demand has a share when
/// its first requests come.
const EVEN_PART: f64 = 0.1;

/// The demand of one member's clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostDemand {
    /// The member.
    pub host: HostId,
    /// In any unit that is the same for all.
    pub demand: f64,
}

/// The share that each member should have of a budget: its floor share, then by demand. Where there is not
/// enough for one largest request at each member with demand, members get it in turns.
///
/// `committed_elsewhere`: what hosts that are not in `demands` may be using. The results sum to at most the
/// whole less `committed_elsewhere`, if the floors of these members do. `turn` selects who comes first where
/// turns are taken.
pub fn divide(
    budget: &Budget,
    demands: &[HostDemand],
    committed_elsewhere: u64,
    turn: u64,
) -> Vec<HostShare> {
    let floor = |host: HostId| u64::from(budget.floor(host));
    let mut shares: Vec<u64> = demands.iter().map(|member| floor(member.host)).collect();
    let floors: u64 = shares.iter().sum();
    let mut rest = u64::from(WHOLE).saturating_sub(committed_elsewhere + floors);
    let shortfall =
        |place: usize| u64::from(budget.min_share).saturating_sub(floor(demands[place].host));
    let asking: Vec<usize> = (0..demands.len())
        .filter(|place| demands[*place].demand > 0.0)
        .collect();
    let needed: u64 = asking.iter().map(|place| shortfall(*place)).sum();
    if needed > rest {
        take_turns(&mut shares, &asking, shortfall, rest, turn);
    } else {
        for place in &asking {
            rest -= shortfall(*place);
            shares[*place] += shortfall(*place);
        }
        divide_by_demand(&mut shares, demands, rest);
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

/// Gives one largest request's share to as many members as possible; the others get it in later turns.
fn take_turns(
    shares: &mut [u64],
    asking: &[usize],
    shortfall: impl Fn(usize) -> u64,
    mut rest: u64,
    turn: u64,
) {
    let first = (turn % asking.len() as u64) as usize;
    for place in asking.iter().cycle().skip(first).take(asking.len()) {
        let needed = shortfall(*place);
        if needed <= rest {
            rest -= needed;
            shares[*place] += needed;
        }
    }
    // What remains holds no whole request for another member.
    shares[asking[first]] += rest;
}

/// Divides by demand what is left after floor shares and largest requests.
fn divide_by_demand(shares: &mut [u64], demands: &[HostDemand], rest: u64) {
    let total: f64 = demands.iter().map(|member| member.demand).sum();
    let even = if total > 0.0 { EVEN_PART } else { 1.0 };
    for (share, member) in shares.iter_mut().zip(demands) {
        let by_demand = if total > 0.0 {
            (1.0 - even) * member.demand / total
        } else {
            0.0
        };
        *share += (rest as f64 * (even / demands.len() as f64 + by_demand)) as u64;
    }
}
