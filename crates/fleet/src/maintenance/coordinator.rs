//! The coordinator's side of works, for as long as it decides: takes over the newest line that a majority knows, hears who
//! let go of what, and moves each order from stage to stage. It owns no state either: all of the line is known by others.

use super::selection::{Now, never, next};
use super::{
    Line, LineAt, MOST_ORDERS, MaintenanceConfig, Order, ServerId, ServerRole, Servers, Stage, text,
};
use crate::config::FleetConfig;
use crate::lease::Ballot;
use gullsail_protocol::FleetCommand;
use gullsail_scheduler_api::{HostId, Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

/// What a host may still send to, as far as is known here.
#[derive(Clone, Debug)]
struct Sends {
    /// Of the process that holds the name: it was granted a lease last then; what line it knows; what it let go of.
    incarnation: u64,
    granted: Instant,
    knows: Option<LineAt>,
    let_go: BTreeSet<ServerId>,
    left: bool,
    served: f64,
    /// Other processes of its name may send until then.
    others: Instant,
}

/// What a host said with its renewal.
pub struct Heard {
    pub host: HostId,
    pub incarnation: u64,
    pub knows: Option<LineAt>,
    pub let_go: BTreeSet<ServerId>,
    /// Since it was granted its first lease, by its own clock.
    pub member_for: Span,
    /// Units a second.
    pub served: f64,
}

/// What an operator's word comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// It counts, whoever decides next: a majority knows.
    Taken,
    /// All of it: for this machine, and why.
    Refused(ServerId, String),
    /// Not yet: to be asked again.
    Later,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandKind {
    Out = 1,
    Back = 2,
    Cancel = 3,
}

impl CommandKind {
    pub fn of(number: u32) -> Option<CommandKind> {
        [CommandKind::Out, CommandKind::Back, CommandKind::Cancel].into_iter().find(|k| *k as u32 == number)
    }
}

#[derive(Clone, Debug)]
pub struct MaintenanceCoordinator {
    since: Instant,
    ballot: Ballot,
    /// The line's count when it first had this ballot: who knows that one knows all before it.
    first: u64,
    /// `None`: not known yet, since no majority was heard that remembers.
    line: Option<Line>,
    newest: Option<Line>,
    sends: BTreeMap<HostId, Sends>,
    remember: BTreeSet<HostId>,
    newborn: BTreeSet<HostId>,
    /// When what orders wait for was told last.
    said: Instant,
}

/// What orders wait for is told so often, in leases, while none moves.
const SAY: f64 = 0.5;
/// Changes of a line are fewer than two to this power.
const COUNTS: u32 = 20;
/// What is over is shown for so long.
const SHOWN: Span = Span::from_micros(120_000_000);

impl MaintenanceCoordinator {
    /// `own`: the line that this host knows, if it knows one.
    pub fn new(ballot: Ballot, own: Option<Line>, now: Instant) -> MaintenanceCoordinator {
        MaintenanceCoordinator {
            since: now,
            ballot,
            first: 0,
            line: None,
            newest: own,
            sends: BTreeMap::new(),
            remember: BTreeSet::new(),
            newborn: BTreeSet::new(),
            said: now,
        }
    }

    pub fn line(&self) -> Option<&Line> {
        self.line.as_ref()
    }

    /// A member's newest line, as it tells it to a coordinator that knows none yet.
    pub fn told(&mut self, line: Line) {
        if self.newest.as_ref().is_none_or(|n| n.at < line.at) {
            self.newest = Some(line);
        }
    }

    /// Hosts whose word is not heard are taken to be granted a lease by an earlier coordinator just before this one.
    fn unheard(&self, t: &FleetConfig, w: &MaintenanceConfig) -> Instant {
        self.since + t.lease + w.blind
    }

    pub fn heard(&mut self, t: &FleetConfig, w: &MaintenanceConfig, h: Heard, now: Instant) {
        let unheard = self.unheard(t, w);
        let fresh = Sends {
            incarnation: h.incarnation,
            granted: now,
            knows: None,
            let_go: BTreeSet::new(),
            left: false,
            served: 0.0,
            // Another process of its name had no lease any more a lease after this one had its first, whoever decided.
            others: unheard.min(now + t.lease + w.blind - h.member_for.times(1.0 - t.drift)),
        };
        let others = |s: &Sends| s.others.max(if s.left { now } else { s.granted + t.lease + w.blind });
        let s = self.sends.entry(h.host).or_insert(fresh.clone());
        if s.incarnation != h.incarnation {
            *s = Sends { others: others(s), ..fresh };
        }
        (s.knows, s.let_go, s.left, s.served) = (h.knows, h.let_go, false, h.served);
        let (here, there) = match h.knows {
            Some(_) => (&mut self.remember, &mut self.newborn),
            None => (&mut self.newborn, &mut self.remember),
        };
        here.insert(h.host);
        there.remove(&h.host);
    }

    pub fn granted(&mut self, host: HostId, now: Instant) {
        self.sends.entry(host).and_modify(|s| s.granted = now);
    }

    /// Units a second, by all hosts that were heard within a lease.
    pub fn served(&self, t: &FleetConfig, now: Instant) -> f64 {
        self.sends.values().filter(|s| !s.left && now - s.granted < t.lease).map(|s| s.served).sum()
    }

    pub fn left(&mut self, host: HostId) {
        self.sends.entry(host).and_modify(|s| s.left = true);
    }

    fn majority(t: &FleetConfig) -> usize {
        t.hosts as usize / 2 + 1
    }

    /// So many hosts know the line of this count or a later one.
    fn known(&self, count: u64) -> usize {
        let at = LineAt { ballot: self.ballot, count };
        self.sends.values().filter(|s| s.knows.is_some_and(|k| k >= at)).count()
    }

    fn committed(&self, t: &FleetConfig, count: u64) -> bool {
        self.known(count) >= Self::majority(t)
    }

    /// Did it say that it uses the machine no more? Of an order from before, that it may have used since, it says nothing.
    fn said(&self, s: &Sends, o: &Order) -> bool {
        let leaving = LineAt { ballot: self.ballot, count: o.version };
        s.left || s.knows.is_some_and(|k| k >= leaving) && s.let_go.contains(&o.server)
    }

    /// Until when a host may still send to a machine that leaves by this order; `None`: no longer, as it said itself.
    fn sends_until(
        &self,
        t: &FleetConfig,
        w: &MaintenanceConfig,
        host: HostId,
        o: &Order,
    ) -> Option<Instant> {
        let Some(s) = self.sends.get(&host) else { return Some(self.unheard(t, w)) };
        // Who knows a line of this one's with the order in it uses the machine no longer than its lease lasts.
        let count = if o.number >> COUNTS == self.ballot.round { o.number & ((1 << COUNTS) - 1) } else { 0 };
        let asked = LineAt { ballot: self.ballot, count: count.max(self.first) };
        let blind = if s.knows.is_some_and(|k| k >= asked) { Span::ZERO } else { w.blind };
        let own = Some(s.granted + t.lease + blind).filter(|_| !self.said(s, o));
        // What a process that is gone knew is not known here.
        own.max(Some(s.others))
    }

    fn change(&mut self) -> Option<u64> {
        let line = self.line.as_mut()?;
        line.at = LineAt { ballot: self.ballot, count: line.at.count + 1 };
        Some(line.at.count)
    }

    fn turn(&mut self, server: ServerId, stage: Stage, now: Instant) {
        let Some(count) = self.change() else { return };
        let orders = self.line.iter_mut().flat_map(|l| &mut l.orders);
        if let Some(o) = orders.rev().find(|o| o.server == server) {
            (o.stage, o.version, o.age, o.as_of) = (stage, count, Span::ZERO, now);
            o.waits.clear();
        }
    }

    /// The newest line that a majority knows is this one's from now on.
    fn adopt(&mut self, t: &FleetConfig, settled: bool) {
        if self.line.is_some() || !settled {
            return;
        }
        // One of so many knows what a majority knew; so many newborns, and there are no longer as many that remember.
        let enough = t.hosts as usize + 1 - Self::majority(t);
        let lost = self.newborn.len() + enough > t.hosts as usize;
        if self.remember.len() < enough && !lost {
            return;
        }
        let mut line = self.newest.take().unwrap_or_default();
        // Nothing is lost where nothing was ever told.
        line.anew = if self.remember.len() < enough { self.ballot.round } else { line.anew };
        line.at = LineAt { ballot: self.ballot, count: line.at.count + 1 };
        self.first = line.at.count;
        // Stages of an earlier coordinator's count are known by who knows this line.
        line.orders.iter_mut().for_each(|o| o.version = line.at.count);
        self.line = Some(line);
    }

    /// Plays what is due. `settled`: whoever decides has taken over.
    pub fn advance(
        &mut self,
        t: &FleetConfig,
        w: &MaintenanceConfig,
        now: Instant,
        stands: &Now,
        ballot: Ballot,
        settled: bool,
    ) {
        if self.ballot != ballot {
            // Renewed by a later ballot: the line's next change has it.
            self.ballot = ballot;
            self.first = self.change().unwrap_or(0);
        }
        self.adopt(t, settled);
        let Some(line) = &self.line else { return };
        let before = line.at.count;
        let hosts: Vec<HostId> = t.everyone().collect();
        let mut moves: Vec<(ServerId, Stage)> = Vec::new();
        let mut says: Vec<(ServerId, String, Vec<u32>)> = Vec::new();
        for o in line.open() {
            let seen = stands.servers.get(&o.server);
            let well = seen.is_some_and(|s| match s.what {
                ServerRole::Node { .. } => s.well,
                ServerRole::Host(h) => stands.members.contains(&h),
            });
            match o.stage {
                Stage::Requested if self.committed(t, o.version) => moves.push((o.server, Stage::Approved)),
                Stage::Requested => says.push((o.server, "most hosts do not know of it yet".into(), vec![])),
                Stage::Draining => {
                    let host = seen
                        .and_then(|s| if let ServerRole::Host(h) = s.what { Some(HostId(h)) } else { None });
                    // A host that leaves holds nothing once it said so; of a node all hosts must let go.
                    let whose = host.map_or(hosts.clone(), |h| vec![h]);
                    let until: Vec<_> = whose
                        .iter()
                        .filter_map(|h| self.sends_until(t, w, *h, o).map(|until| (*h, until)))
                        .collect();
                    let waits = until.iter().filter(|u| u.1 > now).map(|u| u.0.0).collect::<Vec<_>>();
                    // Whose process never said that it let go.
                    let said = |h: &HostId| self.sends.get(h).is_some_and(|s| self.said(s, o));
                    let expired: Vec<u32> = whose.iter().filter(|h| !said(h)).map(|h| h.0).collect();
                    if waits.is_empty() {
                        moves.push((o.server, Stage::Drained));
                        says.push((o.server, String::new(), expired));
                    } else {
                        says.push((o.server, "hosts have not let go".into(), waits));
                    }
                }
                Stage::Drained if self.committed(t, o.version) => {
                    moves.push((o.server, Stage::Offline));
                    says.push((o.server, String::new(), o.hosts.clone()));
                }
                Stage::Drained => {
                    says.push((o.server, "most hosts do not know of it yet".into(), o.hosts.clone()));
                }
                Stage::Offline | Stage::Overdue => {
                    // One that started before it was out, and of which that is heard late, is not back from work.
                    let since = if o.stage == Stage::Offline { o.aged(now) } else { o.longest + o.aged(now) };
                    let anew = seen.is_some_and(|s| {
                        s.incarnation != 0 && s.incarnation != o.incarnation && s.up < since
                    }) && well;
                    if o.returns && anew {
                        moves.push((o.server, Stage::Returning));
                    } else if o.stage == Stage::Offline && o.aged(now) >= o.longest {
                        moves.push((o.server, Stage::Overdue));
                    }
                }
                Stage::Returning if o.aged(now) >= w.watched => {
                    if well {
                        moves.push((o.server, Stage::Done));
                    } else {
                        says.push((o.server, "it does not serve since it is back".into(), vec![]));
                    }
                }
                _ => {}
            }
        }
        // A host that died while it left and is back has to leave again.
        let anew = |o: &&Order| {
            let incarnation = stands
                .servers
                .get(&o.server)
                .filter(|s| matches!(s.what, ServerRole::Host(_)))
                .map_or(0, |s| s.incarnation);
            o.stage == Stage::Draining && incarnation != 0 && o.incarnation != incarnation
        };
        let again: Vec<_> =
            line.open().filter(anew).map(|o| (o.number, stands.servers[&o.server].incarnation)).collect();
        let over = |o: &Order| !o.stage.open() && o.aged(now) >= SHOWN;
        let drop: Vec<u64> = line.orders.iter().filter(|o| over(o)).map(|o| o.number).collect();
        for (server, stage) in moves {
            self.turn(server, stage, now);
        }
        if !again.is_empty() {
            self.change();
            for (number, incarnation) in again {
                let orders = self.line.iter_mut().flat_map(|l| &mut l.orders);
                orders.filter(|o| o.number == number).for_each(|o| o.incarnation = incarnation);
            }
        }
        if !drop.is_empty() {
            self.change();
            self.line.iter_mut().for_each(|l| l.orders.retain(|o| !drop.contains(&o.number)));
        }
        let Some(line) = &self.line else { return };
        let (goes, waits) = next(line, w, stands);
        says.extend(waits.into_iter().map(|(m, why)| (m, why, vec![])));
        if let Some(server) = goes {
            let incarnation = stands.servers.get(&server).map_or(0, |s| s.incarnation);
            let number = line.order(server).map_or(0, |o| o.number);
            self.turn(server, Stage::Draining, now);
            for o in self.line.iter_mut().flat_map(|l| &mut l.orders) {
                o.passed += u32::from(o.stage == Stage::Approved && o.number < number);
                o.incarnation = if o.server == server { incarnation } else { o.incarnation };
            }
        }
        let moved = self.line.as_ref().is_some_and(|l| l.at.count != before);
        self.say(says, moved, t, now);
    }

    /// What orders wait for is part of the line, but a change of it alone makes no new one as often as hosts come and go.
    fn say(&mut self, says: Vec<(ServerId, String, Vec<u32>)>, moved: bool, t: &FleetConfig, now: Instant) {
        // A new version goes to all hosts: with hundreds that let go one by one it would at each of their renewals.
        if !moved && now - self.said < t.lease.times(SAY) {
            return;
        }
        self.said = now;
        let mut changed = false;
        for (server, waits, hosts) in says {
            let orders = self.line.iter_mut().flat_map(|l| &mut l.orders);
            if let Some(o) = orders.rev().find(|o| o.server == server) {
                changed |= o.waits != waits || o.hosts != hosts;
                (o.waits, o.hosts) = (text(&waits), hosts);
            }
        }
        if changed {
            self.change();
        }
    }

    /// May this process of a host be a member? While it leaves it must hear so; once it has left, only another one may, where
    /// that is how it comes back.
    pub fn may_join(&self, server: ServerId, incarnation: u64) -> bool {
        let order = self.line.as_ref().and_then(|l| l.order(server));
        order.is_none_or(|o| match o.stage {
            Stage::Draining => true,
            s => !s.barred() || o.returns && o.incarnation != incarnation,
        })
    }

    /// An operator's word. The same word again changes nothing, through whichever host it comes.
    pub fn command(
        &mut self,
        t: &FleetConfig,
        w: &MaintenanceConfig,
        command: &FleetCommand,
        servers: &Servers,
        now: Instant,
    ) -> Said {
        let (Some(kind), Some(line)) = (CommandKind::of(command.kind), &self.line) else {
            return Said::Later;
        };
        let named: Vec<ServerId> = command.servers.iter().map(|m| ServerId(*m)).collect();
        // All or nothing.
        for m in &named {
            let order = line.order(*m).filter(|o| o.stage.open());
            let refused = match (kind, order.map(|o| o.stage)) {
                (_, _) if !servers.contains_key(m) => {
                    Some("no such machine is known to whoever decides".to_string())
                }
                (CommandKind::Out, None) => never(w, servers, *m),
                (CommandKind::Back, None) | (CommandKind::Cancel, None) => {
                    let done = line.order(*m).map(|o| o.stage);
                    match (kind, done) {
                        (CommandKind::Back, Some(Stage::Done))
                        | (CommandKind::Cancel, Some(Stage::Cancelled)) => None,
                        _ => Some("there is no order for it".into()),
                    }
                }
                (CommandKind::Back, Some(s)) if s < Stage::Drained => {
                    Some("it is not out yet: `cancel` takes its order back".into())
                }
                (CommandKind::Cancel, Some(s)) if s >= Stage::Drained => {
                    Some("it is out already: `back` says that it is back".into())
                }
                (CommandKind::Cancel, Some(Stage::Draining)) if self.is_host(servers, *m) => {
                    Some("this host is leaving already, and will be out".into())
                }
                _ => None,
            };
            if let Some(why) = refused {
                return Said::Refused(*m, why);
            }
        }
        let new = named.iter().filter(|m| line.order(**m).is_none_or(|o| !o.stage.open())).count();
        if kind == CommandKind::Out && line.open().count() + new > MOST_ORDERS {
            return Said::Refused(named[0], format!("more than {MOST_ORDERS} orders would be open"));
        }
        let mut latest = 0;
        for m in named {
            let order =
                self.line.as_ref().and_then(|l| l.order(m)).filter(|o| o.stage.open()).map(|o| o.stage);
            match (kind, order) {
                (CommandKind::Out, None) => self.ask(w, m, command, now),
                (CommandKind::Back, Some(Stage::Drained | Stage::Offline | Stage::Overdue)) => {
                    self.turn(m, Stage::Returning, now)
                }
                (CommandKind::Cancel, Some(Stage::Requested | Stage::Approved | Stage::Draining)) => {
                    self.turn(m, Stage::Cancelled, now);
                }
                _ => {}
            }
            // One that is asked for and has gone on is known to a majority: it went on by that.
            let order = self.line.as_ref().and_then(|l| l.order(m));
            let order = order.filter(|o| kind != CommandKind::Out || o.stage == Stage::Requested);
            latest = latest.max(order.map_or(0, |o| o.version));
        }
        if self.committed(t, latest) { Said::Taken } else { Said::Later }
    }

    fn is_host(&self, servers: &Servers, m: ServerId) -> bool {
        servers.get(&m).is_some_and(|s| matches!(s.what, ServerRole::Host(_)))
    }

    fn ask(&mut self, w: &MaintenanceConfig, server: ServerId, command: &FleetCommand, now: Instant) {
        let Some(version) = self.change() else { return };
        let Some(line) = &mut self.line else { return };
        // One that is over gives its place to the new one.
        line.orders.retain(|o| o.server != server);
        let asked = Span::from_millis(command.longest_ms as f64);
        line.orders.push(Order {
            server,
            // Another coordinator may count alike, where it never heard of this one's last changes.
            number: self.ballot.round << COUNTS | version,
            stage: Stage::Requested,
            version,
            age: Span::ZERO,
            as_of: now,
            longest: if command.longest_ms == 0 { w.longest } else { asked },
            shard_away: command.shard_away,
            returns: command.returns,
            reason: text(&command.reason),
            waits: String::new(),
            hosts: Vec::new(),
            passed: 0,
            incarnation: 0,
        });
    }
}
