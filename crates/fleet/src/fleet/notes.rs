//! Notes of hosts to each other: what is written on each, which are dropped and why, and who reads what.

use super::*;
use gullsail_protocol::FleetWorks;

impl Fleet {
    pub(super) fn blank(&self, what: FleetWhat, to: HostId, to_life: u64) -> FleetNote {
        FleetNote {
            fleet: self.terms.fleet,
            rules: RULES,
            what: what as i32,
            from: self.me.0,
            from_life: self.life,
            to: to.0,
            to_life,
            epoch: self.epoch,
            ..FleetNote::default()
        }
    }

    pub(super) fn tell(&mut self, note: FleetNote, via: Option<HostId>) {
        if note.to == self.me.0 {
            return self.own.push_back(note);
        }
        let to = via.filter(|v| *v != self.me).unwrap_or(HostId(note.to));
        self.counts.notes_out += 1;
        self.out.push(Output { to, note });
    }

    /// What is told to oneself is heard in the same step; each answer leads one stage further, so this ends.
    pub(super) fn own_notes(&mut self) {
        while let Some(note) = self.own.pop_front() {
            self.read(self.me, note);
        }
    }

    pub(super) fn drop(&mut self, why: &'static str) {
        *self.dropped.entry(why).or_default() += 1;
    }

    pub(super) fn note(&mut self, link: HostId, note: FleetNote) {
        let known = |h: u32| h < self.terms.hosts;
        let sound = |p: &FleetPart| p.share <= WHOLE && p.asked.is_finite() && p.asked >= 0.0;
        let line = |w: &FleetWorks| w.line.as_ref().is_none_or(|l| Line::read(l, self.now).is_some());
        let works = |w: &FleetWorks| line(w) && w.served.is_finite() && w.served >= 0.0;
        let wrong = if note.rules != RULES {
            Some("of other rules")
        } else if note.fleet != self.terms.fleet {
            Some("of another fleet")
        } else if !known(note.from) || !known(note.to) || !known(link.0) {
            Some("of an unknown host")
        } else if note.from == self.me.0 {
            Some("of another process with this host's name")
        } else if !note.parts.iter().all(sound) || !note.works.as_deref().is_none_or(works) {
            Some("with figures that make no sense")
        } else {
            None
        };
        if let Some(why) = wrong {
            return self.drop(why);
        }
        if note.to != self.me.0 {
            // Passed on once, from who wrote it.
            if link.0 != note.from {
                return self.drop("passed on twice");
            }
            self.counts.passed_on += 1;
            return self.out.push(Output { to: HostId(note.to), note });
        }
        if note.to_life != 0 && note.to_life != self.life {
            return self.drop("for an earlier process of this name");
        }
        self.read(link, note);
    }

    pub(super) fn read(&mut self, link: HostId, n: FleetNote) {
        let ballot = Ballot { round: n.round, by: n.by };
        let voter = self.terms.is_voter(self.me);
        match n.what() {
            FleetWhat::Prepare | FleetWhat::Propose if voter && self.going == Going::No => {
                self.voted(&n, link)
            }
            FleetWhat::Release if voter => self.voter.release((HostId(n.from), n.from_life)),
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
                let note = self.blank(FleetWhat::Leave, HostId(n.from), n.from_life);
                self.tell(note, Some(link));
            }
            FleetWhat::Renew => self.renewed(&n, link),
            FleetWhat::Grant if self.going == Going::No => self.granted(&n),
            FleetWhat::Leave => {
                if let Some(chair) = &mut self.chair {
                    chair.leave(&self.terms, (HostId(n.from), n.from_life));
                    self.foreman.iter_mut().for_each(|f| f.left(HostId(n.from)));
                    self.follow_chair();
                    let note = self.blank(FleetWhat::Left, HostId(n.from), n.from_life);
                    self.tell(note, Some(link));
                }
            }
            FleetWhat::Left if matches!(self.going, Going::Said(_)) => self.going = Going::Gone,
            FleetWhat::Fence if ballot >= self.holder.ballot() => {
                warn!(member = self.me.0, "another process holds this host's name: nothing is used");
                self.fenced = true;
                self.holder.let_go();
                self.changed = true;
            }
            FleetWhat::Word => self.word_heard(&n, link),
            FleetWhat::Heard => self.word_answered(&n),
            FleetWhat::Unknown => self.drop("of an unknown kind"),
            _ => self.drop("out of place"),
        }
    }
}
