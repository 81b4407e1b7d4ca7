//! While this host is the coordinator: who is asked, what each renewal is answered, and what of it an operator is shown.

use super::*;

impl Fleet {
    pub(super) fn decide(&mut self) {
        let Some(chair) = &mut self.chair else { return };
        let suspects = chair.advance(&self.terms, self.now);
        let (ballot, unheard) = (chair.ballot, chair.unheard(&self.terms));
        for host in suspects {
            warn!(member = host.0, epoch = self.epoch, "suspected: silent for half of its lease");
            // A death suspected by one host is none: others may reach it.
            let well = self.helpers(host);
            let vias = well.into_iter().map(Some).chain([None]);
            for via in vias.collect::<Vec<_>>() {
                self.ask(host, ballot, via);
            }
        }
        if self.now >= self.ask_at {
            self.ask_at = self.now + self.terms.lease.times(ASK);
            for host in unheard {
                self.ask(host, ballot, None);
            }
        }
        self.follow_chair();
        self.decide_maintenance();
    }

    /// Two others, drawn anew each time, that may reach whom this host does not.
    pub(super) fn helpers(&mut self, of: HostId) -> Vec<HostId> {
        let others = self.members.iter().map(|m| (HostId(m.host), MemberState::of(m.state)));
        let well = others.filter(|(h, s)| *h != of && *h != self.me && *s == Some(MemberState::Member));
        well.map(|w| w.0).choose_multiple(&mut self.rng, 2)
    }

    pub(super) fn ask(&mut self, host: HostId, ballot: Ballot, via: Option<HostId>) {
        let message =
            FleetMessage { round: ballot.round, by: ballot.by, ..self.blank(FleetWhat::Ask, host, 0) };
        self.tell(message, via);
    }

    /// What this host knows of members is what its own coordinator knows.
    pub(super) fn follow_chair(&mut self) {
        let Some(chair) = &self.chair else { return };
        let moved = chair.epoch != self.epoch;
        self.epoch = chair.epoch;
        let of = |(h, s): (&HostId, &crate::coordinator::Seat)| FleetMember {
            host: h.0,
            incarnation: s.incarnation,
            state: s.state as u32,
        };
        self.members = chair.seats.iter().map(of).collect();
        if moved {
            self.changed = true;
            let here = chair.seats.values().filter(|s| s.state == MemberState::Member).count();
            info!(epoch = self.epoch, members = here, "membership");
        }
    }

    pub(super) fn renewed(&mut self, n: &FleetMessage, link: HostId) {
        let who = (HostId(n.from), n.from_incarnation);
        if self.chair.is_some() && !self.may_join(who) {
            return self.drop("of a machine that is out for work");
        }
        let Some(chair) = &mut self.chair else { return self.drop("not the coordinator") };
        let held: Shares = n.parts.iter().filter(|p| n.serial > 0 && p.share > 0).map(part).collect();
        let asked = n.parts.iter().map(|p| (VolumeId(p.budget), f64::from(p.asked)));
        let via = Some(link).filter(|l| *l != who.0);
        let written = Ballot { round: n.round, by: n.by };
        let renewal = Renewal { who, ballot: written, via, serial: n.serial, asked: asked.collect(), held };
        let knows = n.epoch;
        let answered = chair.renew(&self.terms, renewal, self.now);
        let ballot = chair.ballot;
        self.follow_chair();
        let message = match answered {
            Answered::Early => return self.ask(who.0, ballot, via),
            Answered::Fenced => {
                warn!(member = who.0.0, incarnation = who.1, "refused: another process holds this name");
                self.blank(FleetWhat::Fence, who.0, who.1)
            }
            Answered::Granted { serial, shares } => {
                self.counts.granted += 1;
                let maintenance = self.maintenance_renewed(n);
                let parts =
                    shares.iter().map(|(id, share)| FleetPart { budget: id.0, share: *share, asked: 0.0 });
                // Who belongs is told to those that do not know it yet.
                let members = if knows == self.epoch { Vec::new() } else { self.members.clone() };
                FleetMessage {
                    serial,
                    parts: parts.collect(),
                    members,
                    maintenance,
                    ..self.blank(FleetWhat::Grant, who.0, who.1)
                }
            }
        };
        let message = FleetMessage { number: n.number, round: ballot.round, by: ballot.by, ..message };
        self.tell(message, Some(link));
    }

    pub fn status(&self) -> Status {
        let left = |at: Instant| (at - self.now).max(Span::ZERO).millis();
        let chair = self.chair.as_ref();
        let members = self.members.iter().filter_map(|m| {
            let seat = chair.and_then(|c| c.seats.get(&HostId(m.host)));
            Some(MemberStatus {
                host: m.host,
                incarnation: m.incarnation,
                state: MemberState::of(m.state)?,
                heard_ms: seat.map(|s| (self.now - s.heard).millis()),
                via: seat.and_then(|s| s.via).map(|v| v.0),
                over_ms: seat.map(|s| left(s.until)),
            })
        });
        let budgets = self.terms.budgets.iter().map(|(id, b)| BudgetStatus {
            budget: id.0,
            share: self.share(*id),
            counted: chair.map(|c| c.sum(*id)),
            parts: chair.map_or_else(Vec::new, |c| c.parts(*id, b)),
        });
        Status {
            me: self.me.0,
            epoch: self.epoch,
            round: self.holder.ballot().round,
            coordinator: self.holder.coordinator().map(|h| h.0),
            decides_for_ms: chair.and(self.office.held(self.now)).map(|h| left(h.1)),
            takes_over_ms: chair.filter(|c| !c.settled()).map(|c| left(c.settles(&self.terms))),
            lease_ms: self.holder.until().map(left),
            mute_ms: Some(self.voter.mute_until()).filter(|at| *at > self.now).map(left),
            fenced: self.fenced,
            members: members.collect(),
            budgets: budgets.collect(),
            dropped: self.dropped.iter().map(|(why, n)| (why.to_string(), *n)).collect(),
            counts: self.counts,
        }
    }
}
