//! The value of a volume's next unit relative to other volumes. Units within the reserve of the volume's plan
//! have full value. Beyond the reserve, a volume whose excess by weight is at most the mean of all volumes is
//! within its fair share. Its units have a higher value than those of a volume with a larger excess.

use crate::decaying_sum::DecayingSum;
use crate::scheduler::intervals::DEMAND_WINDOW;
use gullsail_scheduler_api::Instant;

/// Lower bound of a weight that is divided by, so that the weighted units stay finite.
const MIN_WEIGHT: f64 = 0.01;

/// Lower bound of a demand or an excess that is divided by.
const MIN_DIVISOR: f64 = 1e-9;

/// Weighted units beyond the reserve above which a volume counts in the mean excess. Without this bound,
/// volumes with almost no excess would lower the mean for all others.
const MIN_EXCESS: f64 = 0.1;

/// The unused units of a volume's reserve, and the units recently sent beyond it.
#[derive(Default)]
pub(crate) struct Reserve {
    units: f64,
    /// Units recently sent beyond the reserve, divided by the plan's weight.
    weighted_excess: DecayingSum,
}

impl Reserve {
    /// Adds the units that `rate` yields in the elapsed time. The reserve holds at most the units of one second
    /// and of one largest request.
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

    /// The degree to which a volume is within its fair share: 1.0 while its weighted excess is at most the mean
    /// of all volumes, and lower in inverse proportion to a larger excess.
    pub(crate) fn within_fair_share(&self, mean_excess: f64) -> f64 {
        (mean_excess / self.weighted_excess.last().max(MIN_DIVISOR)).min(1.0)
    }
}

/// This host's part of the plan's reserve rate, in proportion to its fraction of the fleet's demand. A host
/// with little demand still gets half of an even share.
pub(crate) fn reserve_rate(
    plan_reserve: f64,
    own_demand: f64,
    fleet_demand: f64,
    host_count: f64,
) -> f64 {
    let min_fraction = 1.0 / host_count / 2.0;
    let fraction = own_demand / fleet_demand.max(MIN_DIVISOR);
    plan_reserve * fraction.max(min_fraction)
}

/// Computes the mean weighted excess over the volumes that have an excess.
#[derive(Default)]
pub(crate) struct MeanExcess {
    sum: f64,
    volume_count: f64,
}

impl MeanExcess {
    pub(crate) fn add(&mut self, reserve: &mut Reserve, now: Instant) {
        let excess = reserve.weighted_excess.read(now, DEMAND_WINDOW);
        self.sum += excess;
        self.volume_count += f64::from(excess > MIN_EXCESS);
    }

    pub(crate) fn mean(&self) -> f64 {
        self.sum / f64::max(self.volume_count, 1.0)
    }
}
