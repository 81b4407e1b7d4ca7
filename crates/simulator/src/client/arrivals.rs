//! Draws when requests arrive, and their volume, host and request class.

use super::objects::RequestObject;
use super::state::{Attempt, Clients};
use crate::load::Change;
use gullsail_configuration::Deployment;
use gullsail_protocol::Submit;
use gullsail_scheduler_api::Span;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_distr::{Distribution, Exp};
use std::time::Duration;
use tokio::time::Instant;

/// The longest gap between two requests of a class; also the gap of a class that has no requests.
const LONGEST_GAP_SECONDS: u64 = 3600;

/// A volume, by its place in the document, with its weight in the choice of a request's volume.
struct VolumeWeight {
    volume: usize,
    weight: f64,
}

impl Clients {
    /// Draws when the first request of each request class arrives.
    pub(super) fn first_arrivals(&mut self) -> Vec<Instant> {
        (0..self.load.rates.len())
            .map(|class| self.next_arrival(class, Instant::now()))
            .collect()
    }

    /// Sends the requests that are due, and draws when the next ones arrive.
    pub(super) fn begin_due(&mut self, arrivals: &mut [Instant], now: Instant) {
        for (class, due) in arrivals.iter_mut().enumerate() {
            while *due <= now {
                self.begin(class, now);
                *due = self.next_arrival(class, *due);
            }
        }
    }

    fn next_arrival(&mut self, class: usize, from: Instant) -> Instant {
        let rate = self.load.rates[class] * self.demand_factor();
        match Exp::new(rate) {
            Ok(gap) if rate > 0.0 => {
                let seconds = gap.sample(&mut self.rng).min(LONGEST_GAP_SECONDS as f64);
                from + Duration::from_secs_f64(seconds)
            }
            _ => from + Duration::from_secs(LONGEST_GAP_SECONDS),
        }
    }

    /// Returns the factor of the total rate, which surges of volumes raise. Drops the changes that have ended.
    fn demand_factor(&mut self) -> f64 {
        let now = Instant::now();
        self.changes.retain(|change| match change {
            Change::Surge { until, .. } | Change::Impatient { until, .. } => *until > now,
            Change::ShiftBusiestHost | Change::Document(_) => false,
        });
        let volumes = &self.deployment.volumes;
        let weights = (0..volumes.len()).map(|volume| self.weight(volume));
        let usual = volumes.iter().map(|volume| self.usual_rate(volume.plan.0));
        weights.sum::<f64>() / usual.sum::<f64>().max(1e-9)
    }

    /// Returns the rate by which volumes of a plan are weighted while no surge is in force.
    fn usual_rate(&self, plan: usize) -> f64 {
        self.deployment.plans[plan].decisions.nominal_rate.max(0.1)
    }

    fn weight(&self, volume: usize) -> f64 {
        let volume = &self.deployment.volumes[volume];
        let plan = &self.deployment.plans[volume.plan.0].name;
        let surges = self.changes.iter().map(|change| match change {
            Change::Surge { who, times, .. }
                if who == "*" || *who == volume.name || who == plan =>
            {
                *times
            }
            _ => 1.0,
        });
        self.usual_rate(volume.plan.0) * surges.product::<f64>()
    }

    fn begin(&mut self, class: usize, now: Instant) {
        // No volume has a weight, so no client sends the request.
        let Some(volume) = self.choose_volume() else {
            return;
        };
        let attempt = self.first_attempt(volume, class, now);
        let units = attempt.submit.units;
        let tally = self.tally(&attempt);
        tally.first_tries += 1;
        tally.units += units;
        self.send(attempt, now);
    }

    fn choose_volume(&mut self) -> Option<usize> {
        let weights: Vec<VolumeWeight> = (0..self.deployment.volumes.len())
            .map(|volume| VolumeWeight {
                volume,
                weight: self.weight(volume),
            })
            .collect();
        let chosen = weights.choose_weighted(&mut self.rng, |entry| entry.weight);
        chosen.ok().map(|entry| entry.volume)
    }

    /// Creates the first attempt of a request. The order of the random draws is fixed, so that a seed reproduces a run.
    fn first_attempt(&mut self, volume_index: usize, class: usize, now: Instant) -> Attempt {
        let deployment = self.deployment.clone();
        let volume = &deployment.volumes[volume_index];
        let request_class = &deployment.request_classes[class];
        let host = self.choose_host(&deployment, volume_index);
        self.attempts.last_id += 1;
        let id = self.attempts.last_id;
        let request_key = format!("{:x}-{id}", self.load.seed);
        let most_units = deployment.figures().max_units.max(1.0);
        let units = self.rng.random_range(1..=(most_units / 2.0).ceil() as u32) as f64;
        let RequestObject {
            body,
            handle,
            order_key,
        } = self.choose_object(volume_index, class, &request_key);
        let latency_objective = duration(request_class.decisions.latency_objective);
        let timeout = self.choose_timeout(latency_objective, duration(request_class.deadline));
        Attempt {
            submit: Submit {
                id,
                request_class: request_class.name.clone(),
                volume: volume.name.clone(),
                units,
                handle,
                order_key,
                idempotency_key: request_key,
                repeat: 0,
                timeout_us: 0,
            },
            body,
            request_class: class,
            plan: volume.plan.0,
            host,
            began: now,
            objective_deadline: now + latency_objective.min(timeout),
            deadline: now + timeout,
        }
    }

    /// Draws a host of the volume. Each host is half as likely as the one before it.
    fn choose_host(&mut self, deployment: &Deployment, volume: usize) -> usize {
        let hosts = &deployment.volumes[volume].hosts;
        let place = (0..hosts.len())
            .find(|_| self.rng.random_bool(0.5))
            .unwrap_or(0);
        hosts[(place + self.busiest_host_shift) % hosts.len()].0 as usize
    }

    /// Draws how long the client waits: until the deadline, or for a fraction of the latency objective if impatient.
    fn choose_timeout(&mut self, latency_objective: Duration, deadline: Duration) -> Duration {
        let impatience = self.changes.iter().find_map(|change| match change {
            Change::Impatient { share, part, .. } => Some((*share, *part)),
            _ => None,
        });
        match impatience {
            Some((share, part)) if self.rng.random_bool(share.clamp(0.0, 1.0)) => {
                latency_objective.mul_f64(part)
            }
            _ => deadline,
        }
    }
}

fn duration(span: Span) -> Duration {
    Duration::from_micros(span.micros().max(0) as u64)
}
