//! A storage node as a model in given time: cores, a queue, pauses, work that is put off, a cold start from
//! which it may be pushed over. No socket, no clock; the figures come from the document's `server`.

use gullsail_configuration::Server;
use gullsail_scheduler_api::{Instant, SlowStart, Span};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Gamma};
use std::collections::{BTreeMap, VecDeque};

/// What becomes of a request that arrives at the node.
#[derive(Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It runs or waits.
    Taken,
    /// The queue is full: rejected, and certain not to have run.
    Full,
    /// The node was sent too much while it warmed up, and exits.
    FellOver,
}

#[derive(Debug)]
struct Work {
    id: u64,
    secs: f64,
    put_off: f64,
}

/// Writes that the node finishes later, all at once.
struct PendingWrites {
    /// In seconds of one core.
    core_seconds: f64,
    next_flush: Instant,
}

/// Units that a node took while it warmed up.
struct SentUnits {
    at: Instant,
    units: f64,
}

/// A request whose work ends at a known time. They finish in this order: by time, then by number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Finished {
    at: Instant,
    id: u64,
}

/// How many requests a node has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLoad {
    /// Requests on a core.
    pub running: u32,
    /// Requests in the queue.
    pub waiting: u32,
}

/// A node's server in given time: cores, a bounded queue, pauses, deferred writes, slow start.
pub struct Model {
    server: Server,
    slow_start: SlowStart,
    started_at: Instant,
    waiting: VecDeque<Work>,
    running: BTreeMap<u64, Instant>,
    pending_writes: PendingWrites,
    next_pause: Instant,
    still_until: Instant,
    slow: f64,
    sent: VecDeque<SentUnits>,
    fallen: bool,
    rng: ChaCha8Rng,
}

impl Model {
    /// `started_at` may lie before the model's time: then it is warm already.
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
            still_until: now,
            slow: 1.0,
            sent: VecDeque::new(),
            fallen: false,
            rng,
            server,
        }
    }

    /// The part of its capacity that it has now.
    fn speed(&self, now: Instant) -> f64 {
        let age = (now - self.started_at).secs().max(0.0);
        let ramp = self.slow_start.ramp.secs().max(1e-9);
        let part = self.slow_start.initial_fraction
            + (1.0 - self.slow_start.initial_fraction) * (age / ramp).min(1.0);
        part.max(0.01) / self.slow
    }

    /// Units that a cold node bears within the rule's window: what is borne in any case, or some times what
    /// it can do now.
    fn bears(&self, now: Instant) -> f64 {
        let a_second = self.server.capacity();
        let can = a_second * self.speed(now) * self.slow_start.window.secs();
        self.slow_start.units.max(self.server.falls_over * can)
    }

    /// `dear` times as much work as its units say.
    pub fn arrive(&mut self, now: Instant, id: u64, units: f64, write: bool, dear: f64) -> Arrival {
        if self.fallen {
            return Arrival::FellOver;
        }
        if now - self.started_at < self.slow_start.ramp {
            self.sent.push_back(SentUnits { at: now, units });
            while self
                .sent
                .pop_front_if(|sent| now - sent.at > self.slow_start.window)
                .is_some()
            {}
            if self.sent.iter().map(|sent| sent.units).sum::<f64>() > self.bears(now) {
                self.fallen = true;
                return Arrival::FellOver;
            }
        }
        if self.waiting.len() >= self.server.queue as usize {
            return Arrival::Full;
        }
        // Times are skewed, as of disks: a gamma distribution with a mean of one.
        let skew = Gamma::new(4.0, 0.25).map_or(1.0, |gamma| gamma.sample(&mut self.rng));
        let secs = units * self.server.unit.secs() * skew * dear;
        let put_off = if write {
            secs * self.server.put_off
        } else {
            0.0
        };
        self.waiting.push_back(Work {
            id,
            secs: secs - put_off,
            put_off,
        });
        self.begin(now);
        Arrival::Taken
    }

    /// Drops it if it still waits; running work goes on.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|w| w.id != id);
        self.waiting.len() < before
    }

    /// It stands still from now on, for so long.
    pub fn stall(&mut self, now: Instant, lasts: Span) {
        let lasts = now + lasts - self.still_until.max(now);
        if lasts > Span::ZERO {
            self.still_until = self.still_until.max(now) + lasts;
            self.running
                .values_mut()
                .for_each(|end| *end = *end + lasts);
        }
    }

    /// Its work takes so many times as long.
    pub fn slow(&mut self, times: f64) {
        self.slow = times.max(0.01);
    }

    fn begin(&mut self, now: Instant) {
        while self.running.len() < self.server.cores as usize {
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            self.pending_writes.core_seconds += work.put_off;
            let lasts = Span::from_millis(work.secs / self.speed(now) * 1e3);
            self.running
                .insert(work.id, now.max(self.still_until) + lasts);
        }
    }

    /// What is finished by now, in order.
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
            let all = std::mem::take(&mut self.pending_writes.core_seconds)
                / f64::from(self.server.cores)
                / self.speed(now);
            self.stall(now, Span::from_millis(all * 1e3));
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

    /// When the model next has something to do.
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

    /// How many requests run, and how many wait.
    pub fn load(&self) -> NodeLoad {
        NodeLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
        }
    }
}
