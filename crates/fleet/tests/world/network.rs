//! The simulated network: messages between hosts are delayed, lost, repeated or reordered.

use crate::harness::{LEASE, Scheduled, World};
use gullsail_fleet::Event;
use gullsail_protocol::FleetMessage;
use gullsail_scheduler_api::HostId;
use rand::Rng;

/// A broken link: messages from one host to another are lost until `until`.
pub struct Cut {
    from: u32,
    to: u32,
    until: i64,
}

impl World {
    pub fn cut(&mut self, from: u32, to: u32, span: i64) {
        self.cuts.push(Cut {
            from,
            to,
            until: self.now + span,
        });
    }

    pub fn cut_both(&mut self, one: u32, other: u32, span: i64) {
        self.cut(one, other, span);
        self.cut(other, one, span);
    }

    /// Sends a message, which may be lost, repeated or delayed at random.
    pub fn transmit(&mut self, from: u32, to: u32, message: &FleetMessage) {
        let now = self.now;
        self.cuts.retain(|cut| cut.until > now);
        let is_cut = self.cuts.iter().any(|cut| cut.from == from && cut.to == to);
        if is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.loss > 0.0 && self.rng.random_bool(0.05) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            // Most messages are fast. Some take up to two leases, so that later messages overtake them.
            let slow = self.loss > 0.0 && self.rng.random_bool(0.03);
            let delay = self
                .rng
                .random_range(100..if slow { 2 * LEASE } else { 3000 });
            let message = Scheduled::Message {
                to,
                link: from,
                message: message.clone(),
            };
            self.schedule(self.now + delay, message);
        }
    }

    pub fn deliver(&mut self, to: u32, link: u32, message: FleetMessage) {
        let now = self.clock(to, self.now);
        if let Some(fleet) = &mut self.hosts[to as usize].fleet {
            fleet.handle(
                now,
                Event::Message {
                    link: HostId(link),
                    message,
                },
            );
        }
        self.turn(to);
    }
}
