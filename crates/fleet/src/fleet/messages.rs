//! Messages of hosts to each other: what is written on each, which are dropped and why, and who reads what.

use super::*;
use gullsail_protocol::FleetMaintenance;

impl Fleet {
    pub(super) fn blank(&self, what: FleetWhat, to: HostId, to_incarnation: u64) -> FleetMessage {
        FleetMessage {
            fleet: self.terms.fleet,
            rules: RULES,
            what: what as i32,
            from: self.me.0,
            from_incarnation: self.incarnation,
            to: to.0,
            to_incarnation,
            epoch: self.epoch,
            ..FleetMessage::default()
        }
    }

    pub(super) fn tell(&mut self, message: FleetMessage, via: Option<HostId>) {
        if message.to == self.me.0 {
            return self.own.push_back(message);
        }
        let to = via.filter(|v| *v != self.me).unwrap_or(HostId(message.to));
        self.counts.messages_out += 1;
        self.out.push(Output { to, message });
    }

    /// What is told to oneself is heard in the same step; each answer leads one stage further, so this ends.
    pub(super) fn own_messages(&mut self) {
        while let Some(message) = self.own.pop_front() {
            self.read(self.me, message);
        }
    }

    pub(super) fn drop(&mut self, why: &'static str) {
        *self.dropped.entry(why).or_default() += 1;
    }

    pub(super) fn message(&mut self, link: HostId, message: FleetMessage) {
        let known = |h: u32| h < self.terms.hosts;
        let sound = |p: &FleetPart| p.share <= WHOLE && p.asked.is_finite() && p.asked >= 0.0;
        let line = |w: &FleetMaintenance| w.line.as_ref().is_none_or(|l| Line::read(l, self.now).is_some());
        let maintenance = |w: &FleetMaintenance| line(w) && w.served.is_finite() && w.served >= 0.0;
        let wrong = if message.rules != RULES {
            Some("of other rules")
        } else if message.fleet != self.terms.fleet {
            Some("of another fleet")
        } else if !known(message.from) || !known(message.to) || !known(link.0) {
            Some("of an unknown host")
        } else if message.from == self.me.0 {
            Some("of another process with this host's name")
        } else if !message.parts.iter().all(sound) || !message.maintenance.as_deref().is_none_or(maintenance)
        {
            Some("with figures that make no sense")
        } else {
            None
        };
        if let Some(why) = wrong {
            return self.drop(why);
        }
        if message.to != self.me.0 {
            // Passed on once, from who wrote it.
            if link.0 != message.from {
                return self.drop("passed on twice");
            }
            self.counts.passed_on += 1;
            return self.out.push(Output { to: HostId(message.to), message });
        }
        if message.to_incarnation != 0 && message.to_incarnation != self.incarnation {
            return self.drop("for an earlier process of this name");
        }
        self.read(link, message);
    }

    pub(super) fn read(&mut self, link: HostId, n: FleetMessage) {
        let ballot = Ballot { round: n.round, by: n.by };
        let voter = self.terms.is_voter(self.me);
        match n.what() {
            FleetWhat::Prepare | FleetWhat::Propose if voter && self.going == Going::No => {
                self.voted(&n, link)
            }
            FleetWhat::Release if voter => self.voter.release((HostId(n.from), n.from_incarnation)),
            FleetWhat::Promise => {
                self.epoch = self.epoch.max(n.epoch);
                let from = HostId(n.from);
                let bid = self.office.promised(&self.terms, from, ballot, n.number > 0, self.now);
                if let Some(bid) = bid {
                    self.tell_voters(bid);
                }
            }
            FleetWhat::Accept => self.chosen(&n),
            FleetWhat::Refuse => self.office.refused(ballot, self.now),
            FleetWhat::Ask if self.going == Going::No => self.asked(&n, link),
            // What was said of leaving was lost, or there was nobody yet who decides.
            FleetWhat::Ask if matches!(self.going, Going::Said(_)) => {
                let message = self.blank(FleetWhat::Leave, HostId(n.from), n.from_incarnation);
                self.tell(message, Some(link));
            }
            FleetWhat::Renew => self.renewed(&n, link),
            FleetWhat::Grant if self.going == Going::No => self.granted(&n),
            FleetWhat::Leave => {
                if let Some(chair) = &mut self.chair {
                    chair.leave(&self.terms, (HostId(n.from), n.from_incarnation));
                    self.maintenance_coordinator.iter_mut().for_each(|f| f.left(HostId(n.from)));
                    self.follow_chair();
                    let message = self.blank(FleetWhat::Left, HostId(n.from), n.from_incarnation);
                    self.tell(message, Some(link));
                }
            }
            FleetWhat::Left if matches!(self.going, Going::Said(_)) => self.going = Going::Gone,
            FleetWhat::Fence if ballot >= self.holder.ballot() => {
                warn!(member = self.me.0, "another process holds this host's name: nothing is used");
                self.fenced = true;
                self.holder.let_go();
                self.changed = true;
            }
            FleetWhat::OperatorCommand => self.command_heard(&n, link),
            FleetWhat::Heard => self.command_answered(&n),
            FleetWhat::Unknown => self.drop("of an unknown kind"),
            _ => self.drop("out of place"),
        }
    }
}
