//! What a volume's next unit is worth against other volumes. Units within the reserve of its plan have full
//! value. Beyond the reserve, a volume that was sent less than the others, by weight, is within its fair share
//! and has more value than one that was sent more.

use crate::decaying_sum::DecayingSum;
use crate::scheduler::intervals::DEMAND_WINDOW;
use gullsail_scheduler_api::Instant;

/// Smallest weight assumed, so that units by weight stay finite.
const MIN_WEIGHT: f64 = 0.01;

/// Smallest demand and excess that are divided by.
const MIN_DIVISOR: f64 = 1e-9;

/// Units beyond the reserve, by weight, from which on a volume counts in the mean excess. Without this bound,
/// volumes that sent almost nothing beyond their reserves would lower the mean for all others.
const MIN_EXCESS: f64 = 0.1;

/// Units of the reserve, and what was sent beyond it.
#[derive(Default)]
pub(crate) struct Reserve {
    units: f64,
    /// Units recently sent beyond the reserve, divided by the plan's weight.
    weighted_excess: DecayingSum,
}

impl Reserve {
    /// Adds what a rate brings in a time. The reserve holds at most one second of it and a largest request.
    pub(crate) fn refill(&mut self, rate: f64, elapsed_secs: f64, max_units: f64) {
        self.units = (self.units + rate * elapsed_secs).min(rate + max_units);
    }

    pub(crate) fn covers(&self, units: f64) -> bool {
        self.units >= units
    }

    /// Takes the units of a request from the reserve; if it does not cover them, they count as excess.
    pub(crate) fn spend(&mut self, units: f64, weight: f64, now: Instant) {
        if self.covers(units) {
            self.units -= units;
        } else {
            let weighted_units = units / weight.max(MIN_WEIGHT);
            self.weighted_excess.add(now, DEMAND_WINDOW, weighted_units);
        }
    }

    /// How far a volume is within its fair share: 1.0 while its weighted excess is at most the mean of all
    /// volumes, less the more it is above.
    pub(crate) fn within_fair_share(&self, mean_excess: f64) -> f64 {
        (mean_excess / self.weighted_excess.last().max(MIN_DIVISOR)).min(1.0)
    }
}

/// This host's rate of the plan's reserve, in proportion to its part of the fleet's demand. A host with little
/// demand still gets half of an even share.
pub(crate) fn reserve_rate(
    plan_reserve: f64,
    own_demand: f64,
    fleet_demand: f64,
    hosts: f64,
) -> f64 {
    let least_part = 1.0 / hosts / 2.0;
    let part = own_demand / fleet_demand.max(MIN_DIVISOR);
    plan_reserve * part.max(least_part)
}

/// The mean weighted excess over the volumes that have one.
#[derive(Default)]
pub(crate) struct MeanExcess {
    sum: f64,
    volumes: f64,
}

impl MeanExcess {
    pub(crate) fn add(&mut self, reserve: &mut Reserve, now: Instant) {
        let excess = reserve.weighted_excess.read(now, DEMAND_WINDOW);
        self.sum += excess;
        self.volumes += f64::from(excess > MIN_EXCESS);
    }

    pub(crate) fn mean(&self) -> f64 {
        self.sum / f64::max(self.volumes, 1.0)
    }
}
