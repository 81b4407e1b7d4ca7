//! A model of a storage node: cores, a bounded queue, pauses, deferred writes, and a slow start during which too much
//! load makes the node exit. The model uses no socket and no clock: the caller passes the time. The figures come from
//! the document's `server`.

use gullsail_configuration::Server;
use gullsail_scheduler_api::{Instant, SlowStart, Span};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Gamma};
use std::collections::{BTreeMap, VecDeque};

/// What the node does with a request that arrives.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The request runs or is queued.
    Taken,
    /// The queue is full: the request is rejected and has not run.
    Full,
    /// The node was overloaded during its slow start, and exits.
    FellOver,
}

/// A queued request with its work, in seconds of one core.
#[derive(Debug)]
struct Work {
    id: u64,
    core_seconds: f64,
    /// The part of a write's work that is done at the next flush.
    deferred_seconds: f64,
}

/// The deferred work of writes, which the node does at the next flush.
struct PendingWrites {
    /// The deferred work in seconds of one core.
    core_seconds: f64,
    next_flush: Instant,
}

/// The units of a request that arrived during the slow start.
struct ArrivedUnits {
    at: Instant,
    units: f64,
}

/// A request whose work has ended. Requests finish in this order: by time, then by id.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Finished {
    at: Instant,
    id: u64,
}

/// The number of requests at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests that occupy a core.
    pub running: u32,
    /// Requests that wait in the queue.
    pub waiting: u32,
}

/// The model of a node's server. Its methods take the current time, which must not go back between calls.
pub struct Model {
    server: Server,
    slow_start: SlowStart,
    started_at: Instant,
    waiting: VecDeque<Work>,
    running: BTreeMap<u64, Instant>,
    pending_writes: PendingWrites,
    next_pause: Instant,
    /// The end of the current pause, during which no request makes progress.
    paused_until: Instant,
    /// The factor by which new work takes longer; 1: the usual time.
    slowdown: f64,
    /// The requests within the window of the slow-start rule.
    recent_units: VecDeque<ArrivedUnits>,
    /// The node was overloaded during its slow start and accepts nothing more.
    overloaded: bool,
    rng: ChaCha8Rng,
}

impl Model {
    /// Creates the model of a node that started at `started_at`. A node that started long before `now` is warm.
    pub fn new(
        server: Server,
        slow_start: SlowStart,
        started_at: Instant,
        now: Instant,
        mut rng: ChaCha8Rng,
    ) -> Model {
        let next_pause = now + server.pause_every.times(rng.random_range(0.3..1.3));
        Model {
            pending_writes: PendingWrites {
                core_seconds: 0.0,
                next_flush: now + server.flush_every,
            },
            next_pause,
            slow_start,
            started_at,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            paused_until: now,
            slowdown: 1.0,
            recent_units: VecDeque::new(),
            overloaded: false,
            rng,
            server,
        }
    }

    /// Returns the fraction of the node's capacity that is available now.
    fn speed(&self, now: Instant) -> f64 {
        let age = (now - self.started_at).secs().max(0.0);
        let ramp = self.slow_start.ramp.secs().max(1e-9);
        let fraction = self.slow_start.initial_fraction
            + (1.0 - self.slow_start.initial_fraction) * (age / ramp).min(1.0);
        fraction.max(0.01) / self.slowdown
    }

    /// Returns the units that a node in its slow start can receive within the rule's window without an overload: the
    /// rule's minimum, or a multiple of the units that the node can process in that time at its current speed.
    fn overload_threshold(&self, now: Instant) -> f64 {
        let units_per_second = self.server.capacity();
        let units_in_window = units_per_second * self.speed(now) * self.slow_start.window.secs();
        self.slow_start
            .units
            .max(self.server.falls_over * units_in_window)
    }

    /// Accepts or rejects a request that arrives. Its work is `cost_factor` times what its units stand for.
    pub fn arrive(
        &mut self,
        now: Instant,
        id: u64,
        units: f64,
        write: bool,
        cost_factor: f64,
    ) -> Arrival {
        if self.overloaded {
            return Arrival::FellOver;
        }
        if now - self.started_at < self.slow_start.ramp {
            self.recent_units.push_back(ArrivedUnits { at: now, units });
            while self
                .recent_units
                .pop_front_if(|arrived| now - arrived.at > self.slow_start.window)
                .is_some()
            {}
            if self
                .recent_units
                .iter()
                .map(|arrived| arrived.units)
                .sum::<f64>()
                > self.overload_threshold(now)
            {
                self.overloaded = true;
                return Arrival::FellOver;
            }
        }
        if self.waiting.len() >= self.server.queue as usize {
            return Arrival::Full;
        }
        // Service times are skewed like those of disks: a gamma distribution with a mean of one.
        let skew = Gamma::new(4.0, 0.25).map_or(1.0, |gamma| gamma.sample(&mut self.rng));
        let core_seconds = units * self.server.unit.secs() * skew * cost_factor;
        let deferred_seconds = if write {
            core_seconds * self.server.put_off
        } else {
            0.0
        };
        self.waiting.push_back(Work {
            id,
            core_seconds: core_seconds - deferred_seconds,
            deferred_seconds,
        });
        self.begin(now);
        Arrival::Taken
    }

    /// Removes a request from the queue. Returns whether it was queued; a running request is not interrupted.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        self.waiting.len() < before
    }

    /// Pauses the node until `pause` from now: running requests end later by the time that this adds.
    pub fn stall(&mut self, now: Instant, pause: Span) {
        let added = now + pause - self.paused_until.max(now);
        if added > Span::ZERO {
            self.paused_until = self.paused_until.max(now) + added;
            self.running
                .values_mut()
                .for_each(|end| *end = *end + added);
        }
    }

    /// Sets the factor by which new work takes longer; 1 restores the usual time.
    pub fn slow(&mut self, times: f64) {
        self.slowdown = times.max(0.01);
    }

    /// Moves requests from the queue to free cores.
    fn begin(&mut self, now: Instant) {
        while self.running.len() < self.server.cores as usize {
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            self.pending_writes.core_seconds += work.deferred_seconds;
            let duration = Span::from_millis(work.core_seconds / self.speed(now) * 1e3);
            self.running
                .insert(work.id, now.max(self.paused_until) + duration);
        }
    }

    /// Applies the pauses and flushes that are due, and returns the ids of the requests that have finished, in order.
    pub fn advance(&mut self, now: Instant) -> Vec<u64> {
        if now >= self.next_pause && self.server.pause > Span::ZERO {
            self.stall(now, self.server.pause);
            self.next_pause = now
                + self
                    .server
                    .pause_every
                    .times(self.rng.random_range(0.5..1.5));
        }
        if now >= self.pending_writes.next_flush {
            let seconds = std::mem::take(&mut self.pending_writes.core_seconds)
                / f64::from(self.server.cores)
                / self.speed(now);
            self.stall(now, Span::from_millis(seconds * 1e3));
            self.pending_writes.next_flush = now + self.server.flush_every;
        }
        let ended = self.running.iter().filter(|(_, at)| **at <= now);
        let mut finished: Vec<Finished> = ended
            .map(|(id, at)| Finished { at: *at, id: *id })
            .collect();
        finished.sort();
        for work in &finished {
            self.running.remove(&work.id);
        }
        self.begin(now);
        finished.into_iter().map(|work| work.id).collect()
    }

    /// Returns when [`Model::advance`] has to be called next.
    pub fn next(&self) -> Instant {
        let first = self
            .running
            .values()
            .min()
            .copied()
            .unwrap_or(self.pending_writes.next_flush);
        let pause = if self.server.pause > Span::ZERO {
            self.next_pause
        } else {
            self.pending_writes.next_flush
        };
        first.min(self.pending_writes.next_flush).min(pause)
    }

    /// Returns how many requests run and how many are queued.
    pub fn load(&self) -> NodeLoad {
        NodeLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
        }
    }
}
