//! Machines out for work, as one host takes part: the line that it knows, what it may send to, what it tells with its
//! renewals, and operators' words on their way to whoever decides. The coordinator's side is `works::foreman`.

use super::*;
use crate::maintenance::coordinator::{Heard, Said};
use crate::maintenance::selection::Now;
use crate::maintenance::{LineAt, Order, SERVED, ServerObservation, ServerRole, Stage, may_use};
use gullsail_protocol::FleetMaintenance;

/// A word that is on its way: to be said again then, and given up on.
#[derive(Clone, Debug)]
struct OperatorCommand {
    command: FleetCommand,
    next: Instant,
    until: Instant,
}

/// What came of an operator's word: taken, or for which machine it is refused and why.
pub type Answer = (u64, Result<(), (ServerId, String)>);

#[derive(Clone, Debug, Default)]
pub(super) struct Maintenance {
    pub(super) line: Option<Line>,
    /// The end of the last lease that came with the word that this line is the coordinator's newest.
    confirmed: Option<Instant>,
    lost: bool,
    pub(super) sees: Servers,
    pub(super) let_go: BTreeSet<ServerId>,
    first: Option<Instant>,
    blind: bool,
    commands: BTreeMap<u64, OperatorCommand>,
    answers: Vec<Answer>,
}

/// Words that wait at one host; more are refused.
const MOST_COMMANDS: usize = 32;
/// A word is said again after this part of a lease, and given up on after so many leases: two takeovers.
const COMMAND_AGAIN: f64 = 0.125;
const COMMAND_LASTS: f64 = 6.0;

fn line_at(maintenance: &FleetMaintenance) -> LineAt {
    LineAt { ballot: Ballot { round: maintenance.round, by: maintenance.by }, count: maintenance.count }
}

impl Fleet {
    /// May this host send to a machine at that point? Yes, where there are no works.
    pub fn may_use(&self, server: ServerId, now: Instant) -> bool {
        let Some(maintenance) = &self.terms.maintenance else { return true };
        if self.fenced || self.going != Going::No {
            return false;
        }
        let Some(until) = self.maintenance.confirmed else { return false };
        let lost = Some(until).filter(|until| now >= *until);
        may_use(self.maintenance.line.as_ref(), maintenance, self.terms.drift, lost, server, now)
    }

    /// What is known of orders here, as of the newest word of a coordinator.
    pub fn line(&self) -> Option<&Line> {
        self.maintenance.line.as_ref()
    }

    /// Its own machine is to go: nothing new is to be taken, and once all is answered it leaves.
    pub fn goes(&self) -> bool {
        let own = self.server_of(self.me);
        let order = own.and_then(|m| self.maintenance.line.as_ref()?.order(m));
        // The process that started since is another.
        order.is_some_and(|o| {
            o.stage == Stage::Draining && (o.incarnation == self.incarnation || o.incarnation == 0)
        })
    }

    pub fn answers(&mut self) -> std::vec::Drain<'_, Answer> {
        self.maintenance.answers.drain(..)
    }

    fn server_of(&self, host: HostId) -> Option<ServerId> {
        let of = |s: &ServerObservation| s.what == ServerRole::Host(host.0);
        self.maintenance.sees.iter().find(|(_, s)| of(s)).map(|(m, _)| *m)
    }

    pub(super) fn maintenance_turn(&mut self) {
        let (Some(maintenance), Some(until)) = (&self.terms.maintenance, self.maintenance.confirmed) else {
            return;
        };
        let since = self.now - until;
        let (lost, blind) = (since >= Span::ZERO, since >= maintenance.blind_held(self.terms.drift));
        self.changed |= lost != self.maintenance.lost || blind != self.maintenance.blind;
        if blind && !self.maintenance.blind {
            warn!(member = self.me.0, "out of touch for too long: nothing is sent to any machine");
        }
        (self.maintenance.lost, self.maintenance.blind) = (lost, blind);
    }

    pub(super) fn maintenance_next(&self) -> Option<Instant> {
        let maintenance = self.terms.maintenance.as_ref()?;
        let lost = self.maintenance.confirmed.filter(|_| !self.maintenance.lost);
        let blind = self.maintenance.confirmed.filter(|_| !self.maintenance.blind);
        let blind = blind.map(|until| until + maintenance.blind_held(self.terms.drift));
        self.maintenance.commands.values().map(|w| w.next).chain(lost).chain(blind).min()
    }

    pub(super) fn maintenance_renewal(&mut self, message: FleetMessage) -> FleetMessage {
        if self.terms.maintenance.is_none() {
            return message;
        }
        let served = self.demand.read(self.now).find(|a| a.0 == SERVED).map_or(0.0, |a| a.1);
        let at = self.maintenance.line.as_ref().map(|l| l.at).unwrap_or_default();
        // Whoever decides since may not know it.
        let earlier = self.maintenance.line.as_ref().filter(|l| l.at.ballot != self.holder.ballot());
        let maintenance = FleetMaintenance {
            line: earlier.map(|l| l.written(self.now)),
            round: at.ballot.round,
            by: at.ballot.by,
            count: at.count,
            let_go: self.maintenance.let_go.iter().map(|m| m.0).collect(),
            member_for_ms: self.maintenance.first.map_or(0, |at| (self.now - at).millis().max(0.0) as u64),
            served: served as f32,
            command: None,
        };
        FleetMessage { maintenance: Some(Box::new(maintenance)), ..message }
    }

    pub(super) fn maintenance_granted(&mut self, n: &FleetMessage) {
        self.maintenance.first.get_or_insert(self.now);
        let Some(n) = n.maintenance.as_ref().filter(|_| self.terms.maintenance.is_some()) else { return };
        if let Some(line) = n.line.as_ref().and_then(|l| Line::read(l, self.now))
            && self.maintenance.line.as_ref().is_none_or(|l| l.at < line.at)
        {
            self.maintenance.line = Some(line);
            self.changed = true;
        }
        // Guards against a lease of one that decides and does not know the line yet, at a host whose own is old: it would
        // send to what is out. Found by a drawn world. Harms hosts whose coordinator finds no majority that remembers.
        let told = line_at(n);
        if n.count > 0 && self.maintenance.line.as_ref().is_some_and(|l| l.at == told) {
            self.maintenance.confirmed = self.holder.until();
            self.maintenance_turn();
        }
        if self.goes() && self.resign() {
            info!(member = self.me.0, "its machine goes: another decides from now on");
        }
    }

    // As the coordinator.

    pub(super) fn may_join(&self, (host, incarnation): crate::lease::Who) -> bool {
        let server = self.server_of(host);
        let maintenance_coordinator =
            self.maintenance_coordinator.as_ref().filter(|_| self.terms.maintenance.is_some());
        server.zip(maintenance_coordinator).is_none_or(|(m, f)| f.may_join(m, incarnation))
    }

    /// A member has renewed its lease: what it knows and let go of. The newest count; the line, where it does not know it.
    pub(super) fn maintenance_renewed(&mut self, n: &FleetMessage) -> Option<Box<FleetMaintenance>> {
        let terms = self.terms.clone();
        let (maintenance, maintenance_coordinator) =
            (terms.maintenance.as_ref()?, self.maintenance_coordinator.as_mut()?);
        let (message, told) = (n, n.maintenance.as_ref()?);
        let (knows, host) = (line_at(told), HostId(message.from));
        let heard = Heard {
            host,
            incarnation: message.from_incarnation,
            knows: Some(knows).filter(|k| k.count > 0),
            let_go: told.let_go.iter().map(|m| ServerId(*m)).collect(),
            member_for: Span::from_millis(told.member_for_ms.min(1 << 40) as f64),
            served: f64::from(told.served),
        };
        maintenance_coordinator.heard(&terms, maintenance, heard, self.now);
        if let Some(line) = told.line.as_ref().and_then(|l| Line::read(l, self.now)) {
            maintenance_coordinator.told(line);
        }
        maintenance_coordinator.granted(host, self.now);
        let at = maintenance_coordinator.line().map(|l| l.at).unwrap_or_default();
        let line = maintenance_coordinator.line().filter(|l| l.at != knows).map(|l| l.written(self.now));
        let (round, by, count) = (at.ballot.round, at.ballot.by, at.count);
        Some(Box::new(FleetMaintenance { line, round, by, count, ..FleetMaintenance::default() }))
    }

    pub(super) fn decide_maintenance(&mut self) {
        let terms = self.terms.clone();
        let (Some(maintenance), Some(chair), Some(maintenance_coordinator)) =
            (&terms.maintenance, &self.chair, &mut self.maintenance_coordinator)
        else {
            return;
        };
        let here =
            |s: &crate::coordinator::Seat| matches!(s.state, MemberState::Member | MemberState::Suspected);
        let members = chair.seats.iter().filter(|(_, s)| here(s)).map(|(h, _)| h.0).collect();
        // Of hosts it is known here who runs.
        let mut servers = self.maintenance.sees.clone();
        for s in servers.values_mut() {
            if let ServerRole::Host(h) = s.what {
                let seat = chair.seats.get(&HostId(h));
                (s.incarnation, s.well) = seat.map_or((0, false), |seat| (seat.incarnation, here(seat)));
            }
        }
        let stands = Now {
            servers: &servers,
            members: &members,
            hosts: terms.hosts,
            voters: terms.voters.min(terms.hosts),
            served: maintenance_coordinator.served(&terms, self.now),
            coordinator: self.me.0,
            second: (self.now.micros().div_euclid(1_000_000)).rem_euclid(86_400) as u32,
        };
        maintenance_coordinator.advance(
            &terms,
            maintenance,
            self.now,
            &stands,
            chair.ballot,
            chair.settled(),
        );
    }

    pub(super) fn command_heard(&mut self, n: &FleetMessage, link: HostId) {
        let terms = self.terms.clone();
        let command = n.maintenance.as_ref().and_then(|w| w.command.as_ref());
        let (Some(maintenance), Some(maintenance_coordinator), Some(command)) =
            (&terms.maintenance, &mut self.maintenance_coordinator, command)
        else {
            return self.drop("not the coordinator");
        };
        let (refused, why) = match maintenance_coordinator.command(
            &terms,
            maintenance,
            command,
            &self.maintenance.sees,
            self.now,
        ) {
            Said::Later => return,
            Said::Taken => (0, String::new()),
            Said::Refused(server, why) => (server.0, why),
        };
        let command = Some(FleetCommand { refused, why, ..FleetCommand::default() });
        let message = self.blank(FleetWhat::Heard, HostId(n.from), n.from_incarnation);
        let maintenance = Some(Box::new(FleetMaintenance { command, ..FleetMaintenance::default() }));
        self.tell(FleetMessage { number: n.number, maintenance, ..message }, Some(link));
    }

    // Words of operators that were said here.

    pub(super) fn command_finished(&mut self, number: u64, command: FleetCommand) {
        let refused = if self.terms.maintenance.is_none() {
            Some("the document has no `works`")
        } else if self.maintenance.commands.len() >= MOST_COMMANDS {
            Some("too many orders are on their way from this host")
        } else {
            None
        };
        if let Some(why) = refused {
            let server = ServerId(command.servers.first().copied().unwrap_or_default());
            return self.maintenance.answers.push((number, Err((server, why.into()))));
        }
        let until = self.now + self.terms.lease.times(COMMAND_LASTS);
        self.maintenance.commands.insert(number, OperatorCommand { command, next: self.now, until });
        self.say_commands();
    }

    pub(super) fn say_commands(&mut self) {
        let (now, coordinator) = (self.now, self.holder.coordinator());
        let mut late = Vec::new();
        for (number, w) in self.maintenance.commands.iter_mut().filter(|w| w.1.next <= now) {
            w.next = now + self.terms.lease.times(COMMAND_AGAIN);
            late.push((*number, w.command.clone(), now >= w.until));
        }
        for (number, command, over) in late {
            if over {
                self.maintenance.commands.remove(&number);
                let server = ServerId(command.servers.first().copied().unwrap_or_default());
                let why =
                    "nobody who decides took it in time; it may still count: say it again, it counts once";
                self.maintenance.answers.push((number, Err((server, why.into()))));
            } else if let Some(coordinator) = coordinator {
                let message = self.blank(FleetWhat::OperatorCommand, coordinator, 0);
                let maintenance = Some(Box::new(FleetMaintenance {
                    command: Some(command),
                    ..FleetMaintenance::default()
                }));
                let message = FleetMessage { number, maintenance, ..message };
                for via in self.helpers(coordinator).into_iter().take(1) {
                    self.tell(message.clone(), Some(via));
                }
                self.tell(message, None);
            }
        }
    }

    pub(super) fn command_answered(&mut self, n: &FleetMessage) {
        let Some(command) = n.maintenance.as_ref().and_then(|w| w.command.as_ref()) else { return };
        if self.maintenance.commands.remove(&n.number).is_some() {
            let said = if command.why.is_empty() {
                Ok(())
            } else {
                Err((ServerId(command.refused), command.why.clone()))
            };
            self.maintenance.answers.push((n.number, said));
        }
    }

    /// Each order as it is known here, for people, in line.
    pub fn orders(&self) -> impl Iterator<Item = &Order> {
        self.maintenance.line.iter().flat_map(|l| &l.orders)
    }
}
