//! Faults in a simulated fleet, and the repair of all of them.

use crate::harness::{LEASE, SECOND, Scheduled, World};
use gullsail_fleet::Event;
use rand::Rng;

impl World {
    pub fn leave(&mut self, host: u32) {
        let now = self.clock(host, self.now);
        if let Some(fleet) = &mut self.hosts[host as usize].fleet {
            fleet.handle(now, Event::Leave);
        }
        self.turn(host);
    }

    pub fn pause(&mut self, host: u32, span: i64) {
        let until = self.now + span;
        self.hosts[host as usize].paused_until = until;
        self.set_timer(host, until);
    }

    /// Schedules random faults until `until` and sets the fraction of messages that are lost.
    pub fn faults(&mut self, until: i64, loss: f64) {
        self.loss = loss;
        let mut at = self.now + SECOND;
        while at < until {
            self.schedule(at, Scheduled::Fault);
            at += self.rng.random_range(20_000..1_500_000);
        }
    }

    pub fn fault(&mut self) {
        let hosts = self.hosts.len() as u32;
        let host = self.rng.random_range(0..hosts);
        let span = self.rng.random_range(1000..4 * LEASE);
        match self.rng.random_range(0..9) {
            0 | 1 => self.kill(host),
            2 | 3 => self.start_all(),
            4 => self.pause(host, span),
            5 => {
                for other in (0..hosts).filter(|other| *other != host) {
                    self.cut(host, other, span);
                }
            }
            6 => self.split(span),
            7 => self.leave_unless_paused(host),
            _ => {
                let idle = self.rng.random_bool(0.3);
                let units = if idle {
                    0.0
                } else {
                    self.rng.random_range(0.0..50.0)
                };
                self.set_demand(host, units);
            }
        }
    }

    /// Starts all hosts that are down.
    fn start_all(&mut self) {
        for host in 0..self.hosts.len() as u32 {
            if self.hosts[host as usize].fleet.is_none() {
                self.start(host);
            }
        }
    }

    /// Splits the hosts into two random groups and breaks the links between them in one or both directions.
    fn split(&mut self, span: i64) {
        let hosts = self.hosts.len() as u32;
        let first_group: Vec<bool> = (0..hosts).map(|_| self.rng.random_bool(0.5)).collect();
        let both_ways = self.rng.random_bool(0.5);
        let pairs = (0..hosts).flat_map(|from| (0..hosts).map(move |to| (from, to)));
        for (from, to) in pairs {
            let apart = first_group[from as usize] != first_group[to as usize];
            if apart && (both_ways || first_group[from as usize]) {
                self.cut(from, to, span);
            }
        }
    }

    fn leave_unless_paused(&mut self, number: u32) {
        let now = self.clock(number, self.now);
        let host = &mut self.hosts[number as usize];
        if let Some(fleet) = host
            .fleet
            .as_mut()
            .filter(|_| host.paused_until <= self.now)
        {
            fleet.handle(now, Event::Leave);
        }
        self.turn(number);
    }

    /// Repairs all faults: no message is lost any more, and all hosts run.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.cuts.clear();
        for host in 0..self.hosts.len() as u32 {
            self.hosts[host as usize].paused_until = 0;
            if self.hosts[host as usize].fleet.is_none() {
                self.start(host);
            }
            self.set_timer(host, self.now);
        }
    }
}
