//! When requests arrive, and for which volume, host and request class.

use super::objects::Target;
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

/// A volume with its part of the requests.
struct VolumeWeight {
    volume: usize,
    weight: f64,
}

impl Clients {
    /// When the first request of each request class arrives.
    pub(super) fn first_arrivals(&mut self) -> Vec<Instant> {
        (0..self.load.rates.len())
            .map(|class| self.next_arrival(class, Instant::now()))
            .collect()
    }

    /// Begins the requests whose time has come, and sets when the next ones arrive.
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

    /// The factor of all traffic: it grows by what the surging volumes add to it.
    fn demand_factor(&mut self) -> f64 {
        let now = Instant::now();
        self.changes.retain(|change| match change {
            Change::Surge { until, .. } | Change::Impatient { until, .. } => *until > now,
            Change::LeadMoves | Change::Document(_) => false,
        });
        let volumes = &self.deployment.volumes;
        let weights = (0..volumes.len()).map(|volume| self.weight(volume));
        let usual = volumes.iter().map(|volume| self.usual_rate(volume.plan.0));
        weights.sum::<f64>() / usual.sum::<f64>().max(1e-9)
    }

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
        // No volume has a weight: there is nobody to send the request.
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

    /// The steps draw from the random numbers in a fixed order: a seed stands for one run.
    fn first_attempt(&mut self, place: usize, class: usize, now: Instant) -> Attempt {
        let deployment = self.deployment.clone();
        let volume = &deployment.volumes[place];
        let request_class = &deployment.request_classes[class];
        let host = self.choose_host(&deployment, place);
        self.attempts.last_id += 1;
        let id = self.attempts.last_id;
        let mark = format!("{:x}-{id}", self.load.seed);
        let most_units = deployment.figures().max_units.max(1.0);
        let units = self.rng.random_range(1..=(most_units / 2.0).ceil() as u32) as f64;
        let Target {
            body,
            handle,
            order_key,
        } = self.choose_object(place, class, &mark);
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
                idempotency_key: mark,
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

    /// A volume uses its hosts unevenly: each one half as much as the one before.
    fn choose_host(&mut self, deployment: &Deployment, volume: usize) -> usize {
        let hosts = &deployment.volumes[volume].hosts;
        let place = (0..hosts.len())
            .find(|_| self.rng.random_bool(0.5))
            .unwrap_or(0);
        hosts[(place + self.lead) % hosts.len()].0 as usize
    }

    /// How long the client waits: an impatient one only a part of the latency objective.
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
